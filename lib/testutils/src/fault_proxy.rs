//! Loopback proxies that harm connections from outside: they delay, silence, cut one way and reset.
//!
//! Bytes are never changed or lost on a connection that stays open; what a silent proxy holds is
//! delivered late, as after a partition that heals.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// How often a silent proxy looks whether it may go on.
const LOOK_EVERY: Duration = Duration::from_millis(10);
/// Bytes read at a time.
const CHUNK: usize = 16 * 1024;

/// What a proxy does to the bytes that pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Harm {
    /// Nothing.
    None,
    /// Each read waits for so long.
    Delay(Duration),
    /// Requests are held.
    SilentThere,
    /// Answers are held.
    SilentBack,
    /// Both are held.
    Silent,
}

/// Which way bytes go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    There,
    Back,
}

impl Harm {
    fn holds(self, way: Way) -> bool {
        match self {
            Self::None | Self::Delay(_) => false,
            Self::SilentThere => way == Way::There,
            Self::SilentBack => way == Way::Back,
            Self::Silent => true,
        }
    }
}

/// A proxy from one address to another; it ends when it is dropped.
pub struct FaultProxy {
    harm: Arc<Mutex<Harm>>,
    /// Counts resets; none once the proxy ends.
    resets: Option<watch::Sender<u64>>,
    thread: Option<JoinHandle<()>>,
}

impl FaultProxy {
    /// Listens at `address` for connections to `target`, on a thread of its own.
    pub fn start(address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let harm = Arc::new(Mutex::new(Harm::None));
        let (resets, resets_seen) = watch::channel(0);
        let carrier = Carrier {
            target,
            harm: harm.clone(),
            resets: resets_seen,
        };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let thread = std::thread::Builder::new()
            .name(format!("proxy {address}"))
            .spawn(move || runtime.block_on(carrier.accept_all(listener)))?;
        Ok(Self {
            harm,
            resets: Some(resets),
            thread: Some(thread),
        })
    }

    /// Sets what is done to all connections from now on.
    pub fn set_harm(&self, harm: Harm) {
        *self.harm.lock().unwrap_or_else(PoisonError::into_inner) = harm;
    }

    /// Resets all connections that stand.
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
            println!("a proxy's thread has panicked");
        }
    }
}

/// What the thread of a proxy works with.
#[derive(Clone)]
struct Carrier {
    target: SocketAddr,
    harm: Arc<Mutex<Harm>>,
    resets: watch::Receiver<u64>,
}

impl Carrier {
    fn harm(&self) -> Harm {
        *self.harm.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn accept_all(self, listener: std::net::TcpListener) {
        let listener = match TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(e) => {
                println!("a proxy can't listen: {e}");
                return;
            }
        };
        let mut resets = self.resets.clone();
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((near, _)) => drop(tokio::spawn(self.clone().carry(near))),
                    Err(e) => println!("a proxy can't accept: {e}"),
                },
                changed = resets.changed() => if changed.is_err() {
                    return;
                },
            }
        }
    }

    async fn carry(self, mut near: TcpStream) {
        let mut resets = self.resets.clone();
        resets.mark_unchanged();
        let Ok(mut far) = TcpStream::connect(self.target).await else {
            // A port that is closed resets; so does the proxy before it.
            let _ = near.set_zero_linger();
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (near_read, near_write) = near.split();
        let (far_read, far_write) = far.split();
        let is_reset = tokio::select! {
            _ = self.forward(near_read, far_write, Way::There) => false,
            _ = self.forward(far_read, near_write, Way::Back) => false,
            _ = resets.changed() => true,
        };
        if is_reset {
            let _ = (near.set_zero_linger(), far.set_zero_linger());
        }
    }

    async fn forward(
        &self,
        mut from: tokio::net::tcp::ReadHalf<'_>,
        mut to: tokio::net::tcp::WriteHalf<'_>,
        way: Way,
    ) -> io::Result<()> {
        let mut buf = vec![0; CHUNK];
        loop {
            let read = from.read(&mut buf).await?;
            if read == 0 {
                return Ok(());
            }
            if let Harm::Delay(delay) = self.harm() {
                tokio::time::sleep(delay).await;
            }
            while self.harm().holds(way) {
                tokio::time::sleep(LOOK_EVERY).await;
            }
            to.write_all(&buf[..read]).await?;
        }
    }
}
