//! What the daemons' threads have in common.

use std::io;
use std::net::TcpListener;
use std::sync::mpsc::{self, SyncSender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use ntex::time::Seconds;
use ntex::web::types::PayloadConfig;
use ntex::web::{self, App, HttpServer};
use tokio::sync::oneshot;

use crate::http_api::{self, BodyLimit, Gateway, RingPool};
use crate::ring::{RingRx, RingTx, ThreadWaker, Wake, ring};
use crate::telemetry::{MetricsPage, Report};

/// Items in a ring to a core.
pub const CORE_RING: usize = 8_192;
/// Items in a ring from a core.
pub const OUT_RING: usize = 16_384;
/// Reports in a ring to telemetry.
pub const REPORT_RING: usize = 4_096;
/// How long a stopped server waits for its connections.
const SERVER_STOP: Seconds = Seconds(5);
/// Pause when a ring is full.
const RING_PAUSE: Duration = Duration::from_micros(50);

/// Starts a thread with a name.
pub fn spawn(name: &str, f: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    thread::Builder::new().name(name.to_owned()).spawn(f)
}

/// Wakes the thread behind a handle.
fn waker_of(handle: &JoinHandle<()>) -> Arc<dyn Wake> {
    Arc::new(ThreadWaker(handle.thread().clone()))
}

/// Pushes an item, waiting while the ring is full. The item is dropped only if the consumer is
/// gone, which ends this process's life anyway.
pub fn push_or_wait<T>(ring: &mut RingTx<T>, item: T) {
    let mut item = item;
    while let Err(back) = ring.push(item) {
        if ring.is_abandoned() {
            return;
        }
        item = back;
        thread::sleep(RING_PAUSE);
    }
}

/// Reports to telemetry; what does not fit is dropped, for it is not worth waiting for.
pub fn report(ring: &mut RingTx<Report>, report: Report) {
    let _ = ring.push(report);
}

/// Runs a future on an ntex system of this thread.
pub fn run_system<F>(name: &str, future: F)
where
    F: Future<Output = ()> + 'static,
{
    let system = ntex::rt::System::build()
        .name(name)
        .disable_signals()
        .build(ntex::rt::DefaultRuntime);
    system.block_on(future);
}

/// How a server is to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerEnd {
    /// Let the connections finish.
    Graceful,
    /// Cut them.
    Cut,
}

/// Which routes a server serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Routes {
    /// For callers.
    Caller,
    /// For an entry's operators.
    Operator,
}

/// A server of an entry.
pub struct ServerPlan {
    /// Where it listens.
    pub listener: TcpListener,
    /// What it serves.
    pub routes: Routes,
    /// Number of workers; the pool must hold rings for each.
    pub workers: usize,
    /// Rings for the workers.
    pub pool: RingPool,
    /// Largest body.
    pub body_limit: usize,
    /// Metrics.
    pub page: MetricsPage,
}

/// Serves until told to end.
pub async fn serve(plans: Vec<ServerPlan>, end: oneshot::Receiver<ServerEnd>) -> io::Result<()> {
    let mut servers = Vec::new();
    for plan in plans {
        servers.push(start_server(plan)?);
    }
    let end = end.await.unwrap_or(ServerEnd::Cut);
    for server in servers {
        server.stop(end == ServerEnd::Graceful).await;
    }
    Ok(())
}

fn start_server(plan: ServerPlan) -> io::Result<ntex::server::Server> {
    let ServerPlan {
        listener,
        routes,
        workers,
        pool,
        body_limit,
        page,
    } = plan;
    let server = HttpServer::new(async move || {
        let gateway = Gateway::from_pool(&pool);
        App::new()
            .state(gateway)
            .state(BodyLimit(body_limit))
            .state(PayloadConfig::new(body_limit))
            .state(page.clone())
            .configure(move |cfg| match routes {
                Routes::Caller => http_api::caller_routes(cfg),
                Routes::Operator => http_api::operator_routes(cfg),
            })
    });
    let server = server
        .workers(workers)
        .disable_signals()
        .shutdown_timeout(SERVER_STOP)
        .listen(listener)?
        .run();
    Ok(server)
}

/// Serves an agent's metrics until told to end.
pub async fn serve_metrics(
    listener: TcpListener,
    page: MetricsPage,
    end: oneshot::Receiver<ServerEnd>,
) -> io::Result<()> {
    let server = HttpServer::new(async move || {
        App::new()
            .state(page.clone())
            .configure(|cfg: &mut web::ServiceConfig| http_api::agent_routes(cfg))
    });
    let server = server.workers(1).disable_signals().listen(listener)?.run();
    let _ = end.await;
    server.stop(false).await;
    Ok(())
}

/// Makes something on the thread that will use it.
pub type Factory<T> = Box<dyn FnOnce() -> LocalBoxFuture<'static, T> + Send>;

/// A thread that takes rings. It begins its work only when its rings are known, because their
/// wakers need its handle.
pub struct RingThread<T, P> {
    thread: JoinHandle<()>,
    capacity: usize,
    rings: Vec<RingRx<T>>,
    begin: SyncSender<Begin<T, P>>,
}

struct Begin<T, P> {
    rings: Vec<RingRx<T>>,
    parts: P,
}

impl<T: Send + 'static, P: Send + 'static> RingThread<T, P> {
    /// A thread that will do `work` with its rings and the parts given to [`Self::begin`].
    pub fn spawn(
        name: &str,
        capacity: usize,
        work: impl FnOnce(Vec<RingRx<T>>, P) + Send + 'static,
    ) -> io::Result<Self> {
        let (begin, begun) = mpsc::sync_channel::<Begin<T, P>>(1);
        let thread = spawn(name, move || {
            if let Ok(Begin { rings, parts }) = begun.recv() {
                work(rings, parts);
            }
        })?;
        Ok(Self {
            thread,
            capacity,
            rings: Vec::new(),
            begin,
        })
    }

    /// A new ring to the thread.
    pub fn ring(&mut self) -> RingTx<T> {
        let (tx, rx) = ring(self.capacity, waker_of(&self.thread));
        self.rings.push(rx);
        tx
    }

    /// Lets the thread begin.
    pub fn begin(self, parts: P) -> io::Result<JoinHandle<()>> {
        let rings = self.rings;
        let begin = Begin { rings, parts };
        let sent = self.begin.send(begin);
        sent.map_err(|_| io::Error::other("a thread ended before it began"))?;
        Ok(self.thread)
    }
}

/// The threads of a running daemon and the ring that tells its core what to do.
pub struct DaemonThreads<T> {
    control: Mutex<RingTx<T>>,
    threads: Vec<JoinHandle<()>>,
}

impl<T> DaemonThreads<T> {
    /// Threads whose core listens to `control`.
    pub fn new(control: RingTx<T>, threads: Vec<JoinHandle<()>>) -> Self {
        let control = Mutex::new(control);
        Self { control, threads }
    }

    /// Tells the core something.
    pub fn send(&self, input: T) {
        let mut control = self.control.lock().unwrap_or_else(PoisonError::into_inner);
        push_or_wait(&mut control, input);
    }

    /// Whether all threads have ended.
    pub fn is_finished(&self) -> bool {
        self.threads.iter().all(JoinHandle::is_finished)
    }

    /// Waits for the end. The control ring stays until the core has ended.
    pub fn join(self) {
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}
