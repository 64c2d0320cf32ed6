//! WebSocket links of a process on the platform, on the thread that also runs its core.
//!
//! A link task decodes what comes and tells the sink; what goes out waits in a bounded queue and
//! is written in as few writes as possible. A side that does not read is closed, not waited for.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::{SinkExt as _, StreamExt as _};
use rand::Rng as _;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use crate::clock::BootInstant;
use crate::codec;
use crate::events::{EventCode, LogEvent};
use crate::ids::SessionId;
use crate::run_message::Packet;
use crate::session_links::socket_config;

/// Packets that may wait to be written on one link.
const MOST_UNSENT: usize = 2_048;
/// How long a connection may take: a VM without power says nothing, and the next try may find it
/// back. Round trips take 25 ms between regions; the rest is for a VM that is slowed down.
const CONNECT_LIMIT: Duration = Duration::from_millis(100);
/// How long the handshake on a connection may take: a process that has just started, or is
/// slowed down, answers late.
const HANDSHAKE_LIMIT: Duration = Duration::from_millis(800);
/// First pause before dialling again.
const FIRST_PAUSE: Duration = Duration::from_millis(40);
/// Longest pause before dialling again: a new life at the address is found within it, and no
/// batch is served before. A try costs some 0.1 ms.
const MOST_PAUSE: Duration = Duration::from_millis(60);
/// Longest pause once an address has not answered for [`LONG_GONE`].
const GONE_PAUSE: Duration = Duration::from_secs(3);
/// See [`GONE_PAUSE`].
const LONG_GONE: Duration = Duration::from_secs(10);
/// Number of a task that keeps a connection.
type DialNumber = u64;

/// Path of the links.
const PATH: &str = "/links";

/// What links tell.
pub trait LinkSink {
    /// A link stands; the address that was dialled, if this side did so.
    fn link_up(&self, link: SessionId, dialled: Option<SocketAddr>);
    /// A packet has come.
    fn packet(&self, link: SessionId, packet: Packet);
    /// A link is gone.
    fn link_down(&self, link: SessionId);
}

/// The links of one process.
pub struct NodeLinks {
    writers: RefCell<BTreeMap<SessionId, mpsc::Sender<Vec<u8>>>>,
    /// Addresses that a connection is kept to, each with the number of the task that does so.
    dialled: RefCell<BTreeMap<SocketAddr, DialNumber>>,
    next_dial: Cell<DialNumber>,
    next_link: Cell<SessionId>,
    /// Bytes sent since the start, by what they were for.
    bytes_sent: RefCell<BTreeMap<&'static str, u64>>,
    bytes_received: Cell<u64>,
}

impl NodeLinks {
    /// No links yet.
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            writers: RefCell::default(),
            dialled: RefCell::default(),
            next_dial: Cell::new(1),
            next_link: Cell::new(1),
            bytes_sent: RefCell::default(),
            bytes_received: Cell::new(0),
        })
    }

    /// Bytes received since the start.
    pub fn bytes_received(&self) -> u64 {
        self.bytes_received.get()
    }

    /// Bytes sent since the start, by what they were for.
    pub fn bytes_sent(&self) -> BTreeMap<&'static str, u64> {
        self.bytes_sent.borrow().clone()
    }

    /// Sends a packet; a link that can't take it is closed.
    pub fn send(&self, link: SessionId, packet: &Packet) {
        let mut writers = self.writers.borrow_mut();
        let Some(writer) = writers.get(&link) else {
            return;
        };
        let bytes = codec::encode_value(packet);
        let mut sent = self.bytes_sent.borrow_mut();
        *sent.entry(packet.kind()).or_default() += bytes.len() as u64;
        if writer.try_send(bytes).is_err() {
            writers.remove(&link);
        }
    }

    /// Closes a link once what was sent before is written.
    pub fn close(&self, link: SessionId) {
        self.writers.borrow_mut().remove(&link);
    }

    /// Keeps a connection to an address from now on.
    pub fn dial(self: &Rc<Self>, address: SocketAddr, sink: Rc<dyn LinkSink>) {
        if self.dialled.borrow().contains_key(&address) {
            return;
        }
        let number = self.next_dial.get();
        self.next_dial.set(number + 1);
        self.dialled.borrow_mut().insert(address, number);
        let links = self.clone();
        ntex::rt::spawn(links.keep_dialled(address, number, sink));
    }

    /// Keeps no connection to an address any more. A link that stands is closed by its number.
    pub fn disconnect(&self, address: SocketAddr) {
        self.dialled.borrow_mut().remove(&address);
    }

    fn is_kept(&self, address: SocketAddr, number: DialNumber) -> bool {
        self.dialled.borrow().get(&address) == Some(&number)
    }

    async fn keep_dialled(
        self: Rc<Self>,
        address: SocketAddr,
        number: DialNumber,
        sink: Rc<dyn LinkSink>,
    ) {
        let mut pause = FIRST_PAUSE;
        let mut reached = BootInstant::now();
        while self.is_kept(address, number) {
            let socket = dial_once(address).await;
            if let Some(socket) = socket.filter(|_| self.is_kept(address, number)) {
                pause = FIRST_PAUSE;
                self.run(socket, Some(address), &sink).await;
                reached = BootInstant::now();
            }
            let jittered = pause.mul_f64(rand::rng().random_range(0.7..1.3));
            tokio::time::sleep(jittered).await;
            let most = if reached.elapsed() < LONG_GONE {
                MOST_PAUSE
            } else {
                GONE_PAUSE
            };
            pause = (pause * 2).min(most);
        }
    }

    /// Accepts links. Never returns.
    pub async fn accept_all(self: Rc<Self>, listener: TcpListener, sink: Rc<dyn LinkSink>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let (links, sink) = (self.clone(), sink.clone());
                    ntex::rt::spawn(async move { links.accept_one(stream, sink).await });
                }
                Err(e) => {
                    let detail = format!("accepting links: {e}");
                    LogEvent::new(EventCode::MalformedFrame, detail).emit();
                    tokio::time::sleep(FIRST_PAUSE).await;
                }
            }
        }
    }

    async fn accept_one(&self, stream: TcpStream, sink: Rc<dyn LinkSink>) {
        let _ = stream.set_nodelay(true);
        let config = Some(socket_config());
        let accepted = tokio_tungstenite::accept_async_with_config(stream, config);
        if let Ok(Ok(socket)) = timeout(HANDSHAKE_LIMIT, accepted).await {
            self.run(socket, None, &sink).await;
        }
    }

    /// Carries packets until either side ends the link.
    async fn run(
        &self,
        socket: WebSocketStream<TcpStream>,
        dialled: Option<SocketAddr>,
        sink: &Rc<dyn LinkSink>,
    ) {
        let link = self.next_link.get();
        self.next_link.set(link + 1);
        let (tx, rx) = mpsc::channel(MOST_UNSENT);
        self.writers.borrow_mut().insert(link, tx);
        sink.link_up(link, dialled);
        self.carry(link, socket, rx, sink).await;
        self.writers.borrow_mut().remove(&link);
        sink.link_down(link);
    }

    async fn carry(
        &self,
        link: SessionId,
        socket: WebSocketStream<TcpStream>,
        mut unsent: mpsc::Receiver<Vec<u8>>,
        sink: &Rc<dyn LinkSink>,
    ) {
        let (mut write, mut read) = socket.split();
        let writing = async {
            while let Some(bytes) = unsent.recv().await {
                write.feed(Message::Binary(bytes.into())).await?;
                if unsent.is_empty() {
                    write.flush().await?;
                }
            }
            write.close().await
        };
        let reading = async {
            while let Some(Ok(message)) = read.next().await {
                let Message::Binary(bytes) = message else {
                    continue;
                };
                self.bytes_received
                    .set(self.bytes_received.get() + bytes.len() as u64);
                match codec::decode_value(&bytes) {
                    Ok(packet) => sink.packet(link, packet),
                    Err(e) => {
                        let detail = format!("link={link} {e}");
                        LogEvent::new(EventCode::MalformedFrame, detail).emit();
                        return;
                    }
                }
            }
        };
        tokio::select! {
            _ = writing => {}
            () = reading => {}
        }
    }
}

async fn dial_once(address: SocketAddr) -> Option<WebSocketStream<TcpStream>> {
    let connected = timeout(CONNECT_LIMIT, TcpStream::connect(address)).await;
    let stream = connected.ok()?.ok()?;
    let _ = stream.set_nodelay(true);
    let url = format!("ws://{address}{PATH}");
    let config = Some(socket_config());
    let dialled = tokio_tungstenite::client_async_with_config(url, stream, config);
    let (socket, _) = timeout(HANDSHAKE_LIMIT, dialled).await.ok()?.ok()?;
    Some(socket)
}
