//! Loopback TCP proxies that inject network faults: delays, stalls in one or both directions and
//! resets.
//!
//! Bytes are never changed or lost on a connection that stays open; a proxy delivers what it held
//! back once the fault ends, as after a network partition.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Interval at which a stalled connection checks whether the fault has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Size of the read buffer in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// Fault that a proxy applies to its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxyFault {
    /// No fault.
    None,
    /// Each chunk is forwarded after this delay.
    Delay(Duration),
    /// Bytes towards the server are held back.
    SilentThere,
    /// Bytes towards the client are held back.
    SilentBack,
    /// Both directions are held back.
    Silent,
}

/// Direction of a byte stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

impl ProxyFault {
    fn blocks(self, direction: Direction) -> bool {
        match self {
            Self::None | Self::Delay(_) => false,
            Self::SilentThere => direction == Direction::ToServer,
            Self::SilentBack => direction == Direction::ToClient,
            Self::Silent => true,
        }
    }
}

/// A proxy from one address to another. Dropping it stops its thread.
pub struct FaultProxy {
    fault: Arc<Mutex<ProxyFault>>,
    /// Number of resets so far; none once the proxy shuts down.
    resets: Option<watch::Sender<u64>>,
    thread: Option<JoinHandle<()>>,
}

impl FaultProxy {
    /// Listens on `address` and forwards to `target`, on a separate thread.
    pub fn start(address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let fault = Arc::new(Mutex::new(ProxyFault::None));
        let (resets, resets_rx) = watch::channel(0);
        let forwarder = Forwarder {
            target,
            fault: fault.clone(),
            resets: resets_rx,
        };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let thread = std::thread::Builder::new()
            .name(format!("proxy {address}"))
            .spawn(move || runtime.block_on(forwarder.accept_all(listener)))?;
        Ok(Self {
            fault,
            resets: Some(resets),
            thread: Some(thread),
        })
    }

    /// Sets the fault for all present and future connections.
    pub fn set_fault(&self, fault: ProxyFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        if let Some(resets) = &self.resets {
            resets.send_modify(|count| *count += 1);
        }
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.resets = None;
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            println!("a fault proxy thread panicked");
        }
    }
}

/// State that the connections of a proxy share.
#[derive(Clone)]
struct Forwarder {
    target: SocketAddr,
    fault: Arc<Mutex<ProxyFault>>,
    resets: watch::Receiver<u64>,
}

impl Forwarder {
    fn fault(&self) -> ProxyFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn accept_all(self, listener: std::net::TcpListener) {
        let listener = match TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(e) => {
                println!("a fault proxy can't listen: {e}");
                return;
            }
        };
        let mut resets = self.resets.clone();
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((client, _)) => drop(tokio::spawn(self.clone().forward_connection(client))),
                    Err(e) => println!("a fault proxy can't accept a connection: {e}"),
                },
                changed = resets.changed() => if changed.is_err() {
                    return;
                },
            }
        }
    }

    async fn forward_connection(self, mut client: TcpStream) {
        let mut resets = self.resets.clone();
        resets.mark_unchanged();
        let Ok(mut server) = TcpStream::connect(self.target).await else {
            // A closed port answers with a reset, and the proxy does the same.
            let _ = client.set_zero_linger();
            return;
        };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (client_read, client_write) = client.split();
        let (server_read, server_write) = server.split();
        let is_reset = tokio::select! {
            _ = self.forward(client_read, server_write, Direction::ToServer) => false,
            _ = self.forward(server_read, client_write, Direction::ToClient) => false,
            _ = resets.changed() => true,
        };
        if is_reset {
            let _ = (client.set_zero_linger(), server.set_zero_linger());
        }
    }

    async fn forward(
        &self,
        mut from: tokio::net::tcp::ReadHalf<'_>,
        mut to: tokio::net::tcp::WriteHalf<'_>,
        direction: Direction,
    ) -> io::Result<()> {
        let mut buf = vec![0; CHUNK_BYTES];
        loop {
            let read = from.read(&mut buf).await?;
            if read == 0 {
                return Ok(());
            }
            if let ProxyFault::Delay(delay) = self.fault() {
                tokio::time::sleep(delay).await;
            }
            while self.fault().blocks(direction) {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            to.write_all(&buf[..read]).await?;
        }
    }
}
