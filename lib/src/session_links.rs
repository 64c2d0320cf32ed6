//! The thread that holds the WebSocket sessions of one process.
//!
//! It accepts and dials, proves the fleet secret, exchanges hellos where a side needs one, and
//! from then on carries frames between the core's rings and the sessions. A malformed frame, an
//! overlong one or too many a second close that session and nothing else.

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
use crate::codec::{self, MOST_FRAME_BYTES};
use crate::events::{EventCode, LogEvent};
use crate::ids::SessionId;
use crate::link_auth;
use crate::message::Frame;
use crate::permit::FleetSecret;
use crate::ring::{RingRx, RingTx, TaskWaker};

/// Frames that may wait to be written on one session; beyond it the session is closed.
const MOST_UNSENT: usize = 4_096;
/// Frames a second that one session may send us.
const MOST_FRAMES_PER_SECOND: u32 = 50_000;
/// How long a connection and its handshake may take.
const HANDSHAKE_LIMIT: Duration = Duration::from_secs(2);
/// First pause before dialling again.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// Longest pause before dialling again.
const MOST_BACKOFF: Duration = Duration::from_secs(2);
/// Longest pause once an address has not answered for [`LONG_GONE`]: it may never again.
const GONE_BACKOFF: Duration = Duration::from_secs(30);
/// See [`GONE_BACKOFF`].
const LONG_GONE: Duration = Duration::from_secs(60);
/// Pause when a ring is full.
const RING_PAUSE: Duration = Duration::from_micros(200);

/// What the core wants of its links.
#[derive(Debug)]
pub enum LinkCommand<M> {
    /// Send a frame.
    Send {
        /// The session.
        session: SessionId,
        /// The frame.
        frame: Frame<M>,
    },
    /// Close a session.
    Close(SessionId),
    /// Keep a connection to this address from now on.
    Dial(String),
}

/// What links tell the core.
#[derive(Debug)]
pub enum LinkEvent<M> {
    /// A session stands. Where the other side speaks first, this is its first message.
    Opened {
        /// The session.
        session: SessionId,
        /// First message of the other side, if one was awaited.
        first: Option<M>,
    },
    /// A frame has come.
    Frame {
        /// The session.
        session: SessionId,
        /// The frame.
        frame: Frame<M>,
    },
    /// A session is gone.
    Closed(SessionId),
}

/// Bytes and frames that have passed, for the metrics.
#[derive(Debug, Default)]
pub struct LinkTraffic {
    /// Frames sent.
    pub frames_sent: AtomicU64,
    /// Bytes sent, WebSocket framing left out.
    pub bytes_sent: AtomicU64,
    /// Frames received.
    pub frames_received: AtomicU64,
    /// Bytes received, WebSocket framing left out.
    pub bytes_received: AtomicU64,
}

/// How the hellos go on this kind of link.
pub struct HandshakeConfig<Out> {
    /// Sent by us as the first frame of every session.
    pub our_first: Option<Out>,
    /// Whether the core is told of a session only with the other side's first message.
    pub await_first: bool,
    /// Path of the WebSocket on the accepting side.
    pub path: &'static str,
}

/// The sessions of one kind: `Out` goes out, `In` comes in, `Item` is what the core's ring takes.
pub struct SessionLinks<Out, In, Item> {
    secret: FleetSecret,
    handshake: HandshakeConfig<Out>,
    events: RefCell<RingTx<Item>>,
    wrap: fn(LinkEvent<In>) -> Item,
    sessions: RefCell<HashMap<SessionId, SessionHandle>>,
    dialled: RefCell<HashSet<String>>,
    next_session: Cell<SessionId>,
    stop: watch::Sender<bool>,
    traffic: Arc<LinkTraffic>,
}

struct SessionHandle {
    frames: mpsc::Sender<Vec<u8>>,
}

/// Told that a ring was full for long; the process can't go on in order.
fn complain_of_ring() {
    LogEvent::new(EventCode::RingFull, "links to core").emit();
}

impl<Out, In, Item> SessionLinks<Out, In, Item>
where
    Out: Serialize + Clone + 'static,
    In: DeserializeOwned + 'static,
    Item: 'static,
{
    /// Links that tell their core through `events`, each event wrapped as the ring takes it.
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
            dialled: RefCell::default(),
            next_session: Cell::new(1),
            stop,
            traffic,
        })
    }

    /// Serves commands until the core is gone. Sessions then end with what was queued sent.
    pub async fn serve(self: Rc<Self>, mut commands: RingRx<LinkCommand<Out>>, waker: TaskWaker) {
        loop {
            while let Some(command) = commands.pop() {
                self.obey(command);
            }
            if commands.is_finished() {
                break;
            }
            waker.0.notified().await;
        }
        self.sessions.borrow_mut().clear();
        self.stop.send_replace(true);
    }

    fn obey(self: &Rc<Self>, command: LinkCommand<Out>) {
        match command {
            LinkCommand::Send { session, frame } => self.send(session, &frame),
            LinkCommand::Close(session) => {
                self.sessions.borrow_mut().remove(&session);
            }
            LinkCommand::Dial(address) => {
                if self.dialled.borrow_mut().insert(address.clone()) {
                    let links = self.clone();
                    tokio::task::spawn_local(links.keep_dialled(address));
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
        // A peer that does not read is closed rather than waited for.
        if handle.frames.try_send(bytes).is_err() {
            sessions.remove(&session);
        }
    }

    /// Keeps one connection to an address, with jittered back-off between tries.
    async fn keep_dialled(self: Rc<Self>, address: String) {
        let mut backoff = FIRST_BACKOFF;
        let mut reached = BootInstant::now();
        let mut stop = self.stop.subscribe();
        while !*stop.borrow() {
            let dialled = tokio::time::timeout(HANDSHAKE_LIMIT, self.dial_once(&address)).await;
            if let Ok(Some(socket)) = dialled {
                backoff = FIRST_BACKOFF;
                self.clone().run_session(socket).await;
                reached = BootInstant::now();
            }
            let pause = backoff.mul_f64(rand::rng().random_range(0.5..1.5));
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                _ = stop.changed() => return,
            }
            let most = if reached.elapsed() < LONG_GONE {
                MOST_BACKOFF
            } else {
                GONE_BACKOFF
            };
            backoff = (backoff * 2).min(most);
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

    /// Carries frames until either side ends the session.
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
            Err(NoHello) => return,
        };
        let (frames, unsent) = mpsc::channel(MOST_UNSENT);
        self.sessions
            .borrow_mut()
            .insert(session, SessionHandle { frames });
        self.tell(LinkEvent::Opened { session, first }).await;
        self.carry(session, socket, unsent).await;
        self.sessions.borrow_mut().remove(&session);
        self.tell(LinkEvent::Closed(session)).await;
    }

    async fn await_first(
        &self,
        socket: &mut WebSocketStream<TcpStream>,
    ) -> Result<Option<In>, NoHello> {
        if !self.handshake.await_first {
            return Ok(None);
        }
        let received = tokio::time::timeout(HANDSHAKE_LIMIT, socket.next()).await;
        let Ok(Some(Ok(Message::Binary(bytes)))) = received else {
            return Err(NoHello);
        };
        let frame: Frame<In> = codec::decode(&bytes).map_err(|_| NoHello)?;
        if frame.n != 1 {
            return Err(NoHello);
        }
        frame.messages.into_iter().next().map(Some).ok_or(NoHello)
    }

    async fn carry(
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
            let mut pace = Pace::new();
            while let Some(Ok(message)) = stream.next().await {
                let Message::Binary(bytes) = message else {
                    continue;
                };
                self.count_received(bytes.len());
                let frame = match codec::decode(&bytes) {
                    Ok(frame) if pace.allows() => frame,
                    Ok(_) => return malformed(session, "too many frames a second"),
                    Err(e) => return malformed(session, &e.to_string()),
                };
                self.tell(LinkEvent::Frame { session, frame }).await;
            }
        };
        tokio::select! {
            _ = write => {}
            () = read => {}
        }
    }

    /// Tells the core, waiting while its ring is full: that is back-pressure on the session.
    async fn tell(&self, event: LinkEvent<In>) {
        let mut event = (self.wrap)(event);
        let mut waited = false;
        loop {
            let pushed = self.events.borrow_mut().push(event);
            match pushed {
                Ok(()) => return,
                Err(_) if self.events.borrow().is_abandoned() => return,
                Err(back) => event = back,
            }
            if !waited {
                complain_of_ring();
                waited = true;
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

/// Takes over a connection that has been accepted and has proved the secret.
pub trait Adopt {
    /// Path of the WebSocket that leads here.
    fn path(&self) -> &'static str;

    /// Runs the session to its end.
    fn adopt(self: Rc<Self>, socket: WebSocketStream<TcpStream>) -> LocalBoxFuture<'static, ()>;
}

impl<Out, In, Item> Adopt for SessionLinks<Out, In, Item>
where
    Out: Serialize + Clone + 'static,
    In: DeserializeOwned + 'static,
    Item: 'static,
{
    fn path(&self) -> &'static str {
        self.handshake.path
    }

    fn adopt(self: Rc<Self>, socket: WebSocketStream<TcpStream>) -> LocalBoxFuture<'static, ()> {
        self.run_session(socket).boxed_local()
    }
}

/// Accepts connections and hands each to the links that its path names. Never returns.
pub async fn accept_all(listener: TcpListener, secret: FleetSecret, links: Vec<Rc<dyn Adopt>>) {
    let links = Rc::new(links);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let accepted = accept_one(stream, secret.clone(), links.clone());
                tokio::task::spawn_local(accepted);
            }
            Err(_) => tokio::time::sleep(FIRST_BACKOFF).await,
        }
    }
}

async fn accept_one(stream: TcpStream, secret: FleetSecret, links: Rc<Vec<Rc<dyn Adopt>>>) {
    let handshake = tokio::time::timeout(HANDSHAKE_LIMIT, handshake(stream, &secret));
    let Ok(Some(accepted)) = handshake.await else {
        return;
    };
    let by_path = links.iter().find(|l| l.path() == accepted.path);
    if let Some(links) = by_path {
        links.clone().adopt(accepted.socket).await;
    }
}

struct Accepted {
    path: String,
    socket: WebSocketStream<TcpStream>,
}

async fn handshake(stream: TcpStream, secret: &FleetSecret) -> Option<Accepted> {
    let _ = stream.set_nodelay(true);
    let mut path = String::new();
    let note_path = NotePath(&mut path);
    let config = Some(socket_config());
    let accepted = tokio_tungstenite::accept_hdr_async_with_config(stream, note_path, config).await;
    let mut socket = accepted.ok()?;
    match link_auth::accept(&mut socket, secret).await {
        Ok(()) => Some(Accepted { path, socket }),
        Err(e) => {
            LogEvent::new(EventCode::StrangerRefused, e.to_string()).emit();
            None
        }
    }
}

/// Remembers the path that a connection asks for.
struct NotePath<'a>(&'a mut String);

impl Callback for NotePath<'_> {
    fn on_request(self, request: &Request, response: Response) -> Result<Response, ErrorResponse> {
        request.uri().path().clone_into(self.0);
        Ok(response)
    }
}

struct NoHello;

fn malformed(session: SessionId, why: &str) {
    LogEvent::new(
        EventCode::MalformedFrame,
        format!("session {session}: {why}"),
    )
    .emit();
}

/// Bounds of every WebSocket between our processes.
pub fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MOST_FRAME_BYTES))
        .max_frame_size(Some(MOST_FRAME_BYTES))
        .read_buffer_size(16 * 1024)
        .write_buffer_size(16 * 1024)
}

/// Counts frames by the second.
struct Pace {
    second: BootInstant,
    frames: u32,
}

impl Pace {
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
        self.frames <= MOST_FRAMES_PER_SECOND
    }
}

/// Runs a future and all that it spawns on a single-threaded runtime of this thread.
pub fn run_local<F: Future>(future: F) -> std::io::Result<F::Output> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    Ok(LocalSet::new().block_on(&runtime, future))
}
