//! WebSocket links of a process on the platform, on the thread that also runs its core.
//!
//! Each link has a task that decodes incoming packets for the sink. Outgoing packets wait in a
//! bounded queue and are written in as few writes as possible. If the queue is full because the
//! other side does not read, the link is closed.

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
use crate::skipped_input::excerpt;

/// Maximum number of packets that wait to be written on one link.
const MAX_UNSENT_PACKETS: usize = 2_048;
/// Timeout for a TCP connection. It is short because a VM without power never answers, and the next
/// attempt may find it running again. Round trips take 25 ms between regions; the rest is for a VM
/// that is slowed down.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout for the WebSocket handshake. It is longer because a process that has just started or is
/// slowed down answers late.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(800);
/// First pause before dialling again.
const INITIAL_PAUSE: Duration = Duration::from_millis(40);
/// Longest pause before dialling again. It is short because a restarted process serves no batch
/// before it is linked. A try costs some 0.1 ms.
const MAX_PAUSE: Duration = Duration::from_millis(60);
/// Longest pause before dialling an address again that has not answered for [`LONG_GONE`].
const LONG_GONE_MAX_PAUSE: Duration = Duration::from_secs(3);
/// Time without an answer after which an address is dialled less often.
const LONG_GONE: Duration = Duration::from_secs(10);
/// Identifies the task that keeps a connection to an address.
type DialNumber = u64;

/// HTTP path at which links are opened.
const PATH: &str = "/links";

/// Receives the events of links.
pub trait LinkSink {
    /// A link is open; `dialled` is its address if this side dialled it.
    fn link_up(&self, link: SessionId, dialled: Option<SocketAddr>);
    /// A packet has arrived.
    fn packet(&self, link: SessionId, packet: Packet);
    /// A link is closed.
    fn link_down(&self, link: SessionId);
}

/// The links of one process.
pub struct NodeLinks {
    writers: RefCell<BTreeMap<SessionId, mpsc::Sender<Vec<u8>>>>,
    /// Addresses to which a connection is kept, each with the number of the task that keeps it.
    dialled: RefCell<BTreeMap<SocketAddr, DialNumber>>,
    next_dial: Cell<DialNumber>,
    next_link: Cell<SessionId>,
    /// Bytes sent since the start, by kind of packet.
    bytes_sent: RefCell<BTreeMap<&'static str, u64>>,
    bytes_received: Cell<u64>,
}

impl NodeLinks {
    /// Creates an empty set of links.
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

    /// Bytes sent since the start, by kind of packet.
    pub fn bytes_sent(&self) -> BTreeMap<&'static str, u64> {
        self.bytes_sent.borrow().clone()
    }

    /// Queues a packet for sending; closes the link if its queue is full.
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

    /// Closes a link once its queued packets are written.
    pub fn close(&self, link: SessionId) {
        self.writers.borrow_mut().remove(&link);
    }

    /// Connects to an address and reconnects whenever the connection is lost.
    pub fn dial(self: &Rc<Self>, address: SocketAddr, sink: Rc<dyn LinkSink>) {
        if self.dialled.borrow().contains_key(&address) {
            return;
        }
        let number = self.next_dial.get();
        self.next_dial.set(number + 1);
        self.dialled.borrow_mut().insert(address, number);
        let links = self.clone();
        ntex::rt::spawn(links.maintain_connection(address, number, sink));
    }

    /// Stops reconnecting to an address. An open link to it must be closed with
    /// [`NodeLinks::close`].
    pub fn disconnect(&self, address: SocketAddr) {
        self.dialled.borrow_mut().remove(&address);
    }

    fn is_kept(&self, address: SocketAddr, number: DialNumber) -> bool {
        self.dialled.borrow().get(&address) == Some(&number)
    }

    async fn maintain_connection(
        self: Rc<Self>,
        address: SocketAddr,
        number: DialNumber,
        sink: Rc<dyn LinkSink>,
    ) {
        let mut pause = INITIAL_PAUSE;
        let mut last_reached = BootInstant::now();
        while self.is_kept(address, number) {
            let socket = dial_once(address).await;
            if let Some(socket) = socket.filter(|_| self.is_kept(address, number)) {
                pause = INITIAL_PAUSE;
                self.run_link(socket, Some(address), &sink).await;
                last_reached = BootInstant::now();
            }
            let jittered = pause.mul_f64(rand::rng().random_range(0.7..1.3));
            tokio::time::sleep(jittered).await;
            let max_pause = if last_reached.elapsed() < LONG_GONE {
                MAX_PAUSE
            } else {
                LONG_GONE_MAX_PAUSE
            };
            pause = (pause * 2).min(max_pause);
        }
    }

    /// Accepts links from other processes. Never returns.
    pub async fn accept_all(self: Rc<Self>, listener: TcpListener, sink: Rc<dyn LinkSink>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let (links, sink) = (self.clone(), sink.clone());
                    ntex::rt::spawn(async move { links.accept_one(stream, sink).await });
                }
                Err(e) => {
                    let detail = format!("cannot accept a link: {e}");
                    LogEvent::new(EventCode::MalformedFrame, detail).emit();
                    tokio::time::sleep(INITIAL_PAUSE).await;
                }
            }
        }
    }

    async fn accept_one(&self, stream: TcpStream, sink: Rc<dyn LinkSink>) {
        let _ = stream.set_nodelay(true);
        let config = Some(socket_config());
        let accepted = tokio_tungstenite::accept_async_with_config(stream, config);
        if let Ok(Ok(socket)) = timeout(HANDSHAKE_TIMEOUT, accepted).await {
            self.run_link(socket, None, &sink).await;
        }
    }

    /// Runs a link until either side closes it.
    async fn run_link(
        &self,
        socket: WebSocketStream<TcpStream>,
        dialled: Option<SocketAddr>,
        sink: &Rc<dyn LinkSink>,
    ) {
        let link = self.next_link.get();
        self.next_link.set(link + 1);
        let (tx, rx) = mpsc::channel(MAX_UNSENT_PACKETS);
        self.writers.borrow_mut().insert(link, tx);
        sink.link_up(link, dialled);
        self.transfer_packets(link, socket, rx, sink).await;
        self.writers.borrow_mut().remove(&link);
        sink.link_down(link);
    }

    async fn transfer_packets(
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
                        let detail = format!("link={link} {}", excerpt(&e.to_string()));
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
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected.ok()?.ok()?;
    let _ = stream.set_nodelay(true);
    let url = format!("ws://{address}{PATH}");
    let config = Some(socket_config());
    let dialled = tokio_tungstenite::client_async_with_config(url, stream, config);
    let (socket, _) = timeout(HANDSHAKE_TIMEOUT, dialled).await.ok()?.ok()?;
    Some(socket)
}
