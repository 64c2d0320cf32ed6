//! The platform's services and targets over HTTP, with faults that can be set while they run.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::types::{Json, Query, State};
use ntex::web::{self, App, HttpResponse, HttpServer};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use trestleknot_lib::agent::RunEnd;
use trestleknot_lib::config_chain::LogRecord;
use trestleknot_lib::http_platform::{Appended, LeaseBody, StartBody, StopBody};
use trestleknot_lib::job::TaskOutcome;
use trestleknot_lib::memory_platform::{LogFaults, MemoryLog, MemoryVmList};
use trestleknot_lib::memory_target::{MemoryTarget, TargetFaults};
use trestleknot_lib::platform::LogService as _;
use trestleknot_lib::vm_list::VmRecord;
use trestleknot_lib::worker_threads::{run_system, spawn};

/// What a stand-in serves.
pub enum Service {
    /// The log.
    Log(MemoryLog),
    /// The VM list.
    VmList(MemoryVmList),
    /// A target.
    Target(MemoryTarget),
    /// A collector of spans.
    Collector(Collector),
}

/// Keeps what is exported to it. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct Collector {
    bodies: Arc<Mutex<Vec<u8>>>,
}

impl Collector {
    /// Whether a text stands in anything exported so far.
    pub fn has(&self, text: &str) -> bool {
        let bodies = self.bodies.lock().unwrap_or_else(PoisonError::into_inner);
        bodies
            .windows(text.len())
            .any(|part| part == text.as_bytes())
    }

    fn keep(&self, body: &[u8]) {
        let mut bodies = self.bodies.lock().unwrap_or_else(PoisonError::into_inner);
        bodies.extend_from_slice(body);
    }
}

/// Running stand-ins, each at an address of its own.
pub struct StandIns {
    /// Addresses in the order in which the services were given.
    pub addresses: Vec<SocketAddr>,
    end: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// A service and where it listens.
pub struct Placed {
    /// The service.
    pub service: Service,
    /// Where.
    pub listen: SocketAddr,
}

impl StandIns {
    /// Starts services on addresses.
    pub fn start(services: Vec<Placed>) -> io::Result<Self> {
        let mut bound = Vec::new();
        for placed in services {
            let listener = TcpListener::bind(placed.listen)?;
            bound.push(Bound {
                service: placed.service,
                listener,
            });
        }
        let addresses = bound.iter().map(|b| b.listener.local_addr());
        let addresses = addresses.collect::<io::Result<Vec<SocketAddr>>>()?;
        let (end, ended) = oneshot::channel();
        let thread = spawn("stand-ins", move || {
            run_system("stand-ins", async move {
                let servers: Vec<_> = bound.into_iter().filter_map(|b| b.serve().ok()).collect();
                let _ = ended.await;
                for server in servers {
                    server.stop(false).await;
                }
            });
        })?;
        Ok(Self {
            addresses,
            end: Some(end),
            thread: Some(thread),
        })
    }

    /// Base address of a service.
    pub fn url(&self, index: usize) -> String {
        format!("http://{}", self.addresses[index])
    }

    /// Waits for ever, for stand-ins that run as a process.
    pub fn wait(mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for StandIns {
    fn drop(&mut self) {
        drop(self.end.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Bound {
    service: Service,
    listener: TcpListener,
}

impl Bound {
    fn serve(self) -> io::Result<ntex::server::Server> {
        match self.service {
            Service::Log(log) => serve_log(self.listener, log),
            Service::VmList(list) => serve_list(self.listener, list),
            Service::Target(target) => serve_target(self.listener, target),
            Service::Collector(collector) => serve_collector(self.listener, collector),
        }
    }
}

macro_rules! serve {
    ($listener:expr, $state:expr, $routes:expr) => {{
        let state = $state;
        let server =
            HttpServer::new(async move || App::new().state(state.clone()).configure($routes));
        Ok(server.workers(1).disable_signals().listen($listener)?.run())
    }};
}

fn serve_log(listener: TcpListener, log: MemoryLog) -> io::Result<ntex::server::Server> {
    serve!(listener, log, log_routes)
}

fn serve_list(listener: TcpListener, list: MemoryVmList) -> io::Result<ntex::server::Server> {
    serve!(listener, list, list_routes)
}

fn serve_target(listener: TcpListener, target: MemoryTarget) -> io::Result<ntex::server::Server> {
    serve!(listener, target, target_routes)
}

fn serve_collector(
    listener: TcpListener,
    collector: Collector,
) -> io::Result<ntex::server::Server> {
    serve!(listener, collector, collector_routes)
}

fn collector_routes(cfg: &mut web::ServiceConfig) {
    cfg.service(web::resource("/v1/traces").route(web::post().to(collect)));
}

async fn collect(body: Bytes, collector: State<Collector>) -> HttpResponse {
    collector.keep(&body);
    HttpResponse::new(StatusCode::OK)
}

fn log_routes(cfg: &mut web::ServiceConfig) {
    cfg.service((
        web::resource("/v1/records")
            .route(web::get().to(read_log))
            .route(web::post().to(append_log)),
        web::resource("/faults").route(web::put().to(set_log_faults)),
    ));
}

fn list_routes(cfg: &mut web::ServiceConfig) {
    cfg.service((
        web::resource("/v1/vms")
            .route(web::get().to(read_list))
            .route(web::put().to(put_vm))
            .route(web::delete().to(remove_vm)),
        web::resource("/faults").route(web::put().to(set_list_faults)),
    ));
}

fn target_routes(cfg: &mut web::ServiceConfig) {
    cfg.service((
        web::resource("/v1/tasks").route(web::post().to(run_task)),
        web::resource("/v1/leases").route(web::post().to(renew)),
        web::resource("/v1/stops").route(web::post().to(stop)),
        web::resource("/v1/usage").route(web::get().to(usage)),
        web::resource("/faults").route(web::put().to(set_target_faults)),
    ));
}

#[derive(Deserialize)]
struct From {
    from: u64,
}

fn down() -> HttpResponse {
    HttpResponse::new(StatusCode::SERVICE_UNAVAILABLE)
}

async fn read_log(query: Query<From>, log: State<MemoryLog>) -> HttpResponse {
    match log.read(query.from).await {
        Ok(batch) => HttpResponse::Ok().json(&batch),
        Err(_) => down(),
    }
}

async fn append_log(record: Json<LogRecord>, log: State<MemoryLog>) -> HttpResponse {
    match log.append(record.into_inner()).await {
        Ok(offset) => HttpResponse::Ok().json(&Appended { offset }),
        Err(_) => down(),
    }
}

/// Faults of the log, as set over HTTP.
#[derive(Debug, Serialize, Deserialize)]
pub struct LogFaultsBody {
    /// It does not answer and takes nothing in.
    #[serde(default)]
    pub down: bool,
    /// Appends take effect, but their answers get lost.
    #[serde(default)]
    pub lose_replies: bool,
    /// Every answer comes so late, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
}

async fn set_log_faults(body: Json<LogFaultsBody>, log: State<MemoryLog>) -> HttpResponse {
    log.set_faults(LogFaults {
        down: body.down,
        lose_replies: body.lose_replies,
        delay: Duration::from_millis(body.delay_ms),
    });
    HttpResponse::new(StatusCode::NO_CONTENT)
}

async fn read_list(list: State<MemoryVmList>) -> HttpResponse {
    match list.list_now() {
        Ok(vms) => HttpResponse::Ok().json(&vms),
        Err(_) => down(),
    }
}

async fn put_vm(vm: Json<VmRecord>, list: State<MemoryVmList>) -> HttpResponse {
    list.put(vm.into_inner());
    HttpResponse::new(StatusCode::NO_CONTENT)
}

#[derive(Deserialize)]
struct Name {
    name: String,
}

async fn remove_vm(query: Query<Name>, list: State<MemoryVmList>) -> HttpResponse {
    list.remove(&query.name);
    HttpResponse::new(StatusCode::NO_CONTENT)
}

/// Faults of the VM list, as set over HTTP.
#[derive(Debug, Serialize, Deserialize)]
pub struct ListFaultsBody {
    /// It does not answer.
    #[serde(default)]
    pub down: bool,
}

async fn set_list_faults(body: Json<ListFaultsBody>, list: State<MemoryVmList>) -> HttpResponse {
    list.set_down(body.down);
    HttpResponse::new(StatusCode::NO_CONTENT)
}

async fn run_task(body: Json<StartBody>, target: State<MemoryTarget>) -> HttpResponse {
    let lease = Duration::from_millis(body.lease_ms);
    let end = target
        .run_named(body.run.clone(), &body.payload, lease)
        .await;
    match end {
        RunEnd::NotStarted => down(),
        RunEnd::Ended(TaskOutcome::Succeeded(result)) => {
            HttpResponse::Ok().body(result.to_string())
        }
        RunEnd::Ended(TaskOutcome::Failed(message)) => {
            HttpResponse::InternalServerError().body(message.to_string())
        }
        RunEnd::Ended(TaskOutcome::Lost) => HttpResponse::new(StatusCode::GONE),
    }
}

async fn renew(body: Json<LeaseBody>, target: State<MemoryTarget>) -> HttpResponse {
    target.renew_named(&body.runs, Duration::from_millis(body.lease_ms));
    HttpResponse::new(StatusCode::NO_CONTENT)
}

async fn stop(body: Json<StopBody>, target: State<MemoryTarget>) -> HttpResponse {
    target.stop_named(&body.run);
    HttpResponse::new(StatusCode::NO_CONTENT)
}

/// What a target reports of its use.
#[derive(Debug, Serialize, Deserialize)]
pub struct UsageBody {
    /// Tasks running.
    pub running: usize,
}

async fn usage(target: State<MemoryTarget>) -> HttpResponse {
    let running = target.running();
    HttpResponse::Ok().json(&UsageBody { running })
}

/// Faults of a target, as set over HTTP.
#[derive(Debug, Serialize, Deserialize)]
pub struct TargetFaultsBody {
    /// Every task fails at once.
    #[serde(default)]
    pub fail_all: bool,
    /// It takes no tasks.
    #[serde(default)]
    pub down: bool,
    /// Run times are multiplied by this.
    #[serde(default = "one")]
    pub slowdown: f64,
}

fn one() -> f64 {
    1.0
}

async fn set_target_faults(
    body: Json<TargetFaultsBody>,
    target: State<MemoryTarget>,
) -> HttpResponse {
    target.set_faults(TargetFaults {
        fail_all: body.fail_all,
        down: body.down,
        slowdown: body.slowdown,
    });
    HttpResponse::new(StatusCode::NO_CONTENT)
}
