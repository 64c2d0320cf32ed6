//! Threads, rings and HTTP servers shared by the entry and agent daemons.
//!
//! A core is the state machine of an entry or agent; it runs on a thread of its own.

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
use crate::telemetry::{MetricsPage, TelemetryReport};

/// Capacity of a ring to a core, in items.
pub const CORE_RING: usize = 8_192;
/// Capacity of a ring from a core, in items.
pub const OUT_RING: usize = 16_384;
/// Capacity of a ring to the telemetry thread, in items.
pub const REPORT_RING: usize = 4_096;
/// How long a server that shuts down waits for open connections.
const SERVER_SHUTDOWN_TIMEOUT: Seconds = Seconds(5);
/// Delay between pushes to a full ring.
const FULL_RING_DELAY: Duration = Duration::from_micros(50);

/// Spawns a named thread.
pub fn spawn(name: &str, f: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    thread::Builder::new().name(name.to_owned()).spawn(f)
}

/// Returns a waker that unparks the thread.
fn waker_of(handle: &JoinHandle<()>) -> Arc<dyn Wake> {
    Arc::new(ThreadWaker(handle.thread().clone()))
}

/// Pushes an item, waiting while the ring is full. Drops the item only if the consumer is gone, in
/// which case the process is ending anyway.
pub fn push_or_wait<T>(ring: &mut RingTx<T>, item: T) {
    let mut item = item;
    while let Err(rejected) = ring.push(item) {
        if ring.is_abandoned() {
            return;
        }
        item = rejected;
        thread::sleep(FULL_RING_DELAY);
    }
}

/// Sends a report to telemetry without blocking. Drops the report if the ring is full.
pub fn report(ring: &mut RingTx<TelemetryReport>, report: TelemetryReport) {
    let _ = ring.push(report);
}

/// Runs a future to completion on a new ntex system on this thread.
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

/// How a server shuts down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerEnd {
    /// Wait for open connections.
    Graceful,
    /// Close open connections at once.
    Cut,
}

/// Selects the routes of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Routes {
    /// Routes for callers.
    Caller,
    /// Routes for an entry's operators.
    Operator,
}

/// Parameters of an HTTP server of an entry.
pub struct ServerPlan {
    /// Listener, already bound to its address.
    pub listener: TcpListener,
    /// Whether it serves callers or operators.
    pub routes: Routes,
    /// Number of worker threads. The pool must hold rings for each of them.
    pub workers: usize,
    /// Rings between the workers and the core.
    pub pool: RingPool,
    /// Largest request body, in bytes.
    pub body_limit: usize,
    /// Source of the metrics that it serves.
    pub page: MetricsPage,
}

/// Runs the servers until `end` resolves. If the sender of `end` is dropped, open connections are
/// closed at once.
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
        .shutdown_timeout(SERVER_SHUTDOWN_TIMEOUT)
        .listen(listener)?
        .run();
    Ok(server)
}

/// Serves an agent's metrics until `end` resolves, with any value; open connections are then
/// closed.
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

/// Constructs a value on the thread that uses it, for values that are not `Send`.
pub type Factory<T> = Box<dyn FnOnce() -> LocalBoxFuture<'static, T> + Send>;

/// A thread that consumes rings. The rings' wakers need the thread's handle, so the thread starts
/// first and waits for its rings before it does any work. `P` is whatever else the work needs and
/// is not known at the start.
pub struct RingThread<T, P> {
    thread: JoinHandle<()>,
    capacity: usize,
    rings: Vec<RingRx<T>>,
    inputs: SyncSender<WorkInputs<T, P>>,
}

struct WorkInputs<T, P> {
    rings: Vec<RingRx<T>>,
    parts: P,
}

impl<T: Send + 'static, P: Send + 'static> RingThread<T, P> {
    /// Spawns a thread that waits for [`Self::begin`] and then runs `work` with the rings and
    /// `parts` handed over there.
    pub fn spawn(
        name: &str,
        capacity: usize,
        work: impl FnOnce(Vec<RingRx<T>>, P) + Send + 'static,
    ) -> io::Result<Self> {
        let (inputs, inputs_rx) = mpsc::sync_channel::<WorkInputs<T, P>>(1);
        let thread = spawn(name, move || {
            if let Ok(WorkInputs { rings, parts }) = inputs_rx.recv() {
                work(rings, parts);
            }
        })?;
        Ok(Self {
            thread,
            capacity,
            rings: Vec::new(),
            inputs,
        })
    }

    /// Creates a ring to the thread.
    pub fn ring(&mut self) -> RingTx<T> {
        let (tx, rx) = ring(self.capacity, waker_of(&self.thread));
        self.rings.push(rx);
        tx
    }

    /// Hands over the rings and `parts`, and lets the thread start its work.
    pub fn begin(self, parts: P) -> io::Result<JoinHandle<()>> {
        let rings = self.rings;
        let inputs = WorkInputs { rings, parts };
        let sent = self.inputs.send(inputs);
        sent.map_err(|_| io::Error::other("thread ended before it received its rings"))?;
        Ok(self.thread)
    }
}

/// The threads of a running daemon and the control ring to its core.
pub struct DaemonThreads<T> {
    control: Mutex<RingTx<T>>,
    threads: Vec<JoinHandle<()>>,
}

impl<T> DaemonThreads<T> {
    /// Bundles the threads with the control ring to their core.
    pub fn new(control: RingTx<T>, threads: Vec<JoinHandle<()>>) -> Self {
        let control = Mutex::new(control);
        Self { control, threads }
    }

    /// Sends an input to the core, waiting while the ring is full.
    pub fn send(&self, input: T) {
        let mut control = self.control.lock().unwrap_or_else(PoisonError::into_inner);
        push_or_wait(&mut control, input);
    }

    /// Whether all threads have ended.
    pub fn is_finished(&self) -> bool {
        self.threads.iter().all(JoinHandle::is_finished)
    }

    /// Waits until all threads have ended. Keeps the control ring open until then.
    pub fn join(self) {
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}
