//! The thread that runs the WebSocket sessions of one process.
//!
//! It accepts and dials connections, authenticates them with the fleet secret, exchanges the first
//! messages and relays frames between the core's rings and the sessions. A malformed or oversized
//! frame, or too many frames a second, close only the session concerned.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures_util::future::{FutureExt as _, LocalBoxFuture};
use futures_util::{SinkExt as _, StreamExt as _};
use rand::Rng as _;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::handshake::server::{
    Callback, ErrorResponse, Request, Response,
};
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::clock::BootInstant;
use crate::codec::{self, MAX_FRAME_BYTES};
use crate::events::{EventCode, LogEvent};
use crate::ids::SessionId;
use crate::link_auth;
use crate::message::Frame;
use crate::permit::FleetSecret;
use crate::ring::{RingRx, RingTx, TaskWaker};
use crate::skipped_input::excerpt;

/// Frames that may be queued for sending on one session; the session is closed beyond that.
const MAX_UNSENT_FRAMES: usize = 4_096;
/// Frames a second that are accepted from one session.
const MAX_FRAMES_PER_SECOND: u32 = 50_000;
/// Time limit for a connection and its handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Initial backoff between dials, and pause after a failed accept.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// Longest backoff between dials.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Longest backoff once an address has been unreachable for [`UNREACHABLE_AFTER`].
const UNREACHABLE_BACKOFF: Duration = Duration::from_secs(30);
/// Time after which an address that does not answer gets [`UNREACHABLE_BACKOFF`].
const UNREACHABLE_AFTER: Duration = Duration::from_secs(60);
/// Pause before another push to a full ring.
const RING_PAUSE: Duration = Duration::from_micros(200);

/// A command from the core to its links.
#[derive(Debug)]
pub enum LinkCommand<M> {
    /// Send a frame.
    Send {
        /// Session to send it on.
        session: SessionId,
        /// Frame to send.
        frame: Frame<M>,
    },
    /// Close a session.
    Close(SessionId),
    /// Connect to this address, and reconnect whenever the connection ends.
    Dial(String),
}

/// An event that links report to the core.
#[derive(Debug)]
pub enum LinkEvent<M> {
    /// A session was opened.
    Opened {
        /// The new session.
        session: SessionId,
        /// First message of the other side, if [`HandshakeConfig::await_first`] is set.
        first: Option<M>,
    },
    /// A frame was received.
    Frame {
        /// Session that it was received on.
        session: SessionId,
        /// The received frame.
        frame: Frame<M>,
    },
    /// A session was closed.
    Closed(SessionId),
}

/// Counters of bytes and frames, for the metrics.
#[derive(Debug, Default)]
pub struct LinkTraffic {
    pub frames_sent: AtomicU64,
    /// Bytes sent, without WebSocket framing.
    pub bytes_sent: AtomicU64,
    pub frames_received: AtomicU64,
    /// Bytes received, without WebSocket framing.
    pub bytes_received: AtomicU64,
}

/// First messages and path of one kind of link.
pub struct HandshakeConfig<Out> {
    /// Message that this side sends in the first frame of every session.
    pub our_first: Option<Out>,
    /// Whether a session opens only with the other side's first message.
    pub await_first: bool,
    /// URL path of the WebSocket on the accepting side.
    pub path: &'static str,
}

/// The sessions of one kind of link: sends `Out`, receives `In` and pushes `Item` to the core's
/// ring.
pub struct SessionLinks<Out, In, Item> {
    secret: FleetSecret,
    handshake: HandshakeConfig<Out>,
    events: RefCell<RingTx<Item>>,
    wrap: fn(LinkEvent<In>) -> Item,
    sessions: RefCell<HashMap<SessionId, SessionHandle>>,
    dialled_addresses: RefCell<HashSet<String>>,
    next_session: Cell<SessionId>,
    stop: watch::Sender<bool>,
    traffic: Arc<LinkTraffic>,
}

struct SessionHandle {
    frames: mpsc::Sender<Vec<u8>>,
}

/// Logs that the core's ring is full, so that events have to wait.
fn log_full_ring() {
    LogEvent::new(EventCode::RingFull, "links to core").emit();
}

impl<Out, In, Item> SessionLinks<Out, In, Item>
where
    Out: Serialize + Clone + 'static,
    In: DeserializeOwned + 'static,
    Item: 'static,
{
    /// Creates links that report to the core through `events`; `wrap` makes each event a ring item.
    pub fn new(
        secret: FleetSecret,
        handshake: HandshakeConfig<Out>,
        events: RingTx<Item>,
        wrap: fn(LinkEvent<In>) -> Item,
        traffic: Arc<LinkTraffic>,
    ) -> Rc<Self> {
        let (stop, _) = watch::channel(false);
        Rc::new(Self {
            secret,
            handshake,
            events: RefCell::new(events),
            wrap,
            sessions: RefCell::default(),
            dialled_addresses: RefCell::default(),
            next_session: Cell::new(1),
            stop,
            traffic,
        })
    }

    /// Executes commands until the core has ended. Sessions then send their queued frames and
    /// close.
    pub async fn serve(self: Rc<Self>, mut commands: RingRx<LinkCommand<Out>>, waker: TaskWaker) {
        loop {
            while let Some(command) = commands.pop() {
                self.execute(command);
            }
            if commands.is_finished() {
                break;
            }
            waker.0.notified().await;
        }
        self.sessions.borrow_mut().clear();
        self.stop.send_replace(true);
    }

    fn execute(self: &Rc<Self>, command: LinkCommand<Out>) {
        match command {
            LinkCommand::Send { session, frame } => self.send(session, &frame),
            LinkCommand::Close(session) => {
                self.sessions.borrow_mut().remove(&session);
            }
            LinkCommand::Dial(address) => {
                if self.dialled_addresses.borrow_mut().insert(address.clone()) {
                    let links = self.clone();
                    tokio::task::spawn_local(links.keep_connected(address));
                }
            }
        }
    }

    fn send(&self, session: SessionId, frame: &Frame<Out>) {
        let bytes = codec::encode(frame);
        let mut sessions = self.sessions.borrow_mut();
        let Some(handle) = sessions.get(&session) else {
            return;
        };
        // If the peer does not read, close its session rather than wait.
        if handle.frames.try_send(bytes).is_err() {
            sessions.remove(&session);
        }
    }

    /// Keeps one connection to an address, with jittered backoff between attempts.
    async fn keep_connected(self: Rc<Self>, address: String) {
        let mut backoff = FIRST_BACKOFF;
        let mut last_connected = BootInstant::now();
        let mut stop = self.stop.subscribe();
        while !*stop.borrow() {
            let dialled = tokio::time::timeout(HANDSHAKE_TIMEOUT, self.dial_once(&address)).await;
            if let Ok(Some(socket)) = dialled {
                backoff = FIRST_BACKOFF;
                self.clone().run_session(socket).await;
                last_connected = BootInstant::now();
            }
            let pause = backoff.mul_f64(rand::rng().random_range(0.5..1.5));
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                _ = stop.changed() => return,
            }
            let max_backoff = if last_connected.elapsed() < UNREACHABLE_AFTER {
                MAX_BACKOFF
            } else {
                UNREACHABLE_BACKOFF
            };
            backoff = (backoff * 2).min(max_backoff);
        }
    }

    async fn dial_once(&self, address: &str) -> Option<WebSocketStream<TcpStream>> {
        let stream = TcpStream::connect(address).await.ok()?;
        let _ = stream.set_nodelay(true);
        let url = format!("ws://{address}{}", self.handshake.path);
        let config = Some(socket_config());
        let dialled = tokio_tungstenite::client_async_with_config(url, stream, config).await;
        let (mut socket, _) = dialled.ok()?;
        match link_auth::dial(&mut socket, &self.secret).await {
            Ok(()) => Some(socket),
            Err(e) => {
                LogEvent::new(EventCode::StrangerRefused, format!("{address}: {e}")).emit();
                None
            }
        }
    }

    /// Exchanges the first messages, then relays frames until either side ends the session.
    async fn run_session(self: Rc<Self>, mut socket: WebSocketStream<TcpStream>) {
        let session = self.next_session.get();
        self.next_session.set(session + 1);
        if let Some(first) = self.handshake.our_first.clone() {
            let frame = Frame {
                n: 1,
                messages: vec![first],
            };
            let bytes = codec::encode(&frame);
            if socket.send(Message::Binary(bytes.into())).await.is_err() {
                return;
            }
        }
        let first = match self.await_first(&mut socket).await {
            Ok(first) => first,
            Err(MissingFirstMessage) => return,
        };
        let (frames, unsent) = mpsc::channel(MAX_UNSENT_FRAMES);
        self.sessions
            .borrow_mut()
            .insert(session, SessionHandle { frames });
        self.push_event(LinkEvent::Opened { session, first }).await;
        self.relay_frames(session, socket, unsent).await;
        self.sessions.borrow_mut().remove(&session);
        self.push_event(LinkEvent::Closed(session)).await;
    }

    async fn await_first(
        &self,
        socket: &mut WebSocketStream<TcpStream>,
    ) -> Result<Option<In>, MissingFirstMessage> {
        if !self.handshake.await_first {
            return Ok(None);
        }
        let received = tokio::time::timeout(HANDSHAKE_TIMEOUT, socket.next()).await;
        let Ok(Some(Ok(Message::Binary(bytes)))) = received else {
            return Err(MissingFirstMessage);
        };
        let frame: Frame<In> = codec::decode(&bytes).map_err(|_| MissingFirstMessage)?;
        if frame.n != 1 {
            return Err(MissingFirstMessage);
        }
        frame
            .messages
            .into_iter()
            .next()
            .map(Some)
            .ok_or(MissingFirstMessage)
    }

    async fn relay_frames(
        &self,
        session: SessionId,
        socket: WebSocketStream<TcpStream>,
        mut unsent: mpsc::Receiver<Vec<u8>>,
    ) {
        let (mut sink, mut stream) = socket.split();
        let write = async {
            while let Some(bytes) = unsent.recv().await {
                self.count_sent(bytes.len());
                sink.feed(Message::Binary(bytes.into())).await?;
                if unsent.is_empty() {
                    sink.flush().await?;
                }
            }
            sink.close().await
        };
        let read = async {
            let mut rate_limit = RateLimit::new();
            while let Some(Ok(message)) = stream.next().await {
                let Message::Binary(bytes) = message else {
                    continue;
                };
                self.count_received(bytes.len());
                let frame = match codec::decode(&bytes) {
                    Ok(frame) if rate_limit.allows() => frame,
                    Ok(_) => return log_malformed_frame(session, "too many frames per second"),
                    Err(e) => return log_malformed_frame(session, &excerpt(&e.to_string())),
                };
                self.push_event(LinkEvent::Frame { session, frame }).await;
            }
        };
        tokio::select! {
            _ = write => {}
            () = read => {}
        }
    }

    /// Pushes an event to the core's ring. Waits while the ring is full, which puts back-pressure
    /// on the session.
    async fn push_event(&self, event: LinkEvent<In>) {
        let mut event = (self.wrap)(event);
        let mut has_waited = false;
        loop {
            let result = self.events.borrow_mut().push(event);
            match result {
                Ok(()) => return,
                Err(_) if self.events.borrow().is_abandoned() => return,
                Err(returned) => event = returned,
            }
            if !has_waited {
                log_full_ring();
                has_waited = true;
            }
            tokio::time::sleep(RING_PAUSE).await;
        }
    }

    fn count_sent(&self, bytes: usize) {
        self.traffic.frames_sent.fetch_add(1, Ordering::Relaxed);
        self.traffic
            .bytes_sent
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn count_received(&self, bytes: usize) {
        self.traffic.frames_received.fetch_add(1, Ordering::Relaxed);
        self.traffic
            .bytes_received
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// Runs sessions on accepted and authenticated connections.
pub trait SessionAcceptor {
    /// URL path of the WebSockets that are handled here.
    fn path(&self) -> &'static str;

    /// Runs a session on this connection until it ends.
    fn run_accepted(
        self: Rc<Self>,
        socket: WebSocketStream<TcpStream>,
    ) -> LocalBoxFuture<'static, ()>;
}

impl<Out, In, Item> SessionAcceptor for SessionLinks<Out, In, Item>
where
    Out: Serialize + Clone + 'static,
    In: DeserializeOwned + 'static,
    Item: 'static,
{
    fn path(&self) -> &'static str {
        self.handshake.path
    }

    fn run_accepted(
        self: Rc<Self>,
        socket: WebSocketStream<TcpStream>,
    ) -> LocalBoxFuture<'static, ()> {
        self.run_session(socket).boxed_local()
    }
}

/// Accepts connections and passes each to the links that serve its path. Never returns.
pub async fn accept_all(
    listener: TcpListener,
    secret: FleetSecret,
    links: Vec<Rc<dyn SessionAcceptor>>,
) {
    let links = Rc::new(links);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let accepted = accept_connection(stream, secret.clone(), links.clone());
                tokio::task::spawn_local(accepted);
            }
            Err(_) => tokio::time::sleep(FIRST_BACKOFF).await,
        }
    }
}

async fn accept_connection(
    stream: TcpStream,
    secret: FleetSecret,
    links: Rc<Vec<Rc<dyn SessionAcceptor>>>,
) {
    let handshake = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake(stream, &secret));
    let Ok(Some(accepted)) = handshake.await else {
        return;
    };
    let by_path = links.iter().find(|l| l.path() == accepted.path);
    if let Some(links) = by_path {
        links.clone().run_accepted(accepted.socket).await;
    }
}

struct Accepted {
    path: String,
    socket: WebSocketStream<TcpStream>,
}

async fn handshake(stream: TcpStream, secret: &FleetSecret) -> Option<Accepted> {
    let _ = stream.set_nodelay(true);
    let mut path = String::new();
    let record_path = RecordPath(&mut path);
    let config = Some(socket_config());
    let accepted =
        tokio_tungstenite::accept_hdr_async_with_config(stream, record_path, config).await;
    let mut socket = accepted.ok()?;
    match link_auth::accept(&mut socket, secret).await {
        Ok(()) => Some(Accepted { path, socket }),
        Err(e) => {
            LogEvent::new(EventCode::StrangerRefused, e.to_string()).emit();
            None
        }
    }
}

/// Stores the path that a connection requests.
struct RecordPath<'a>(&'a mut String);

impl Callback for RecordPath<'_> {
    fn on_request(self, request: &Request, response: Response) -> Result<Response, ErrorResponse> {
        request.uri().path().clone_into(self.0);
        Ok(response)
    }
}

/// The other side's first message is missing or malformed.
struct MissingFirstMessage;

fn log_malformed_frame(session: SessionId, why: &str) {
    LogEvent::new(
        EventCode::MalformedFrame,
        format!("session {session}: {why}"),
    )
    .emit();
}

/// Limits of all WebSockets between processes of the fleet.
pub fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
        .read_buffer_size(16 * 1024)
        .write_buffer_size(16 * 1024)
}

/// Limits the frames received in one second.
struct RateLimit {
    second: BootInstant,
    frames: u32,
}

impl RateLimit {
    fn new() -> Self {
        Self {
            second: BootInstant::now(),
            frames: 0,
        }
    }

    fn allows(&mut self) -> bool {
        if self.second.elapsed() >= Duration::from_secs(1) {
            *self = Self::new();
        }
        self.frames += 1;
        self.frames <= MAX_FRAMES_PER_SECOND
    }
}

/// Runs a future and the tasks that it spawns on a single-threaded runtime. Fails if the runtime
/// can't be built.
pub fn run_local<F: Future>(future: F) -> std::io::Result<F::Output> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    Ok(LocalSet::new().block_on(&runtime, future))
}
