//! HTTP stand-ins for the platform's services and targets, with faults that can be set at run time.

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

/// Service that a stand-in provides.
pub enum Service {
    /// The configuration log.
    Log(MemoryLog),
    VmList(MemoryVmList),
    Target(MemoryTarget),
    /// An OTLP trace collector.
    Collector(Collector),
}

/// Keeps the bytes exported to it. Clones share the data.
#[derive(Debug, Clone, Default)]
pub struct Collector {
    bodies: Arc<Mutex<Vec<u8>>>,
}

impl Collector {
    /// Whether any export so far contains `text`.
    pub fn has(&self, text: &str) -> bool {
        let bodies = self.bodies.lock().unwrap_or_else(PoisonError::into_inner);
        bodies
            .windows(text.len())
            .any(|part| part == text.as_bytes())
    }

    fn append(&self, body: &[u8]) {
        let mut bodies = self.bodies.lock().unwrap_or_else(PoisonError::into_inner);
        bodies.extend_from_slice(body);
    }
}

/// Running stand-ins, each on its own address.
pub struct StandIns {
    /// Addresses, in the order of the services passed to `start`.
    pub addresses: Vec<SocketAddr>,
    end: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// A service and its listen address.
pub struct Placed {
    pub service: Service,
    /// Listen address.
    pub listen: SocketAddr,
}

impl StandIns {
    /// Binds all addresses and starts the services.
    pub fn start(services: Vec<Placed>) -> io::Result<Self> {
        let mut bound = Vec::new();
        for placed in services {
            let listener = TcpListener::bind(placed.listen)?;
            bound.push(BoundService {
                service: placed.service,
                listener,
            });
        }
        let addresses = bound.iter().map(|b| b.listener.local_addr());
        let addresses = addresses.collect::<io::Result<Vec<SocketAddr>>>()?;
        let (end, end_rx) = oneshot::channel();
        let thread = spawn("stand-ins", move || {
            run_system("stand-ins", async move {
                let servers: Vec<_> = bound.into_iter().filter_map(|b| b.serve().ok()).collect();
                let _ = end_rx.await;
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

    /// Base URL of a service.
    pub fn url(&self, index: usize) -> String {
        format!("http://{}", self.addresses[index])
    }

    /// Blocks while the services run. Programs that only run stand-ins call this.
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

struct BoundService {
    service: Service,
    listener: TcpListener,
}

impl BoundService {
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
    collector.append(&body);
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
struct ReadQuery {
    from: u64,
}

fn unavailable() -> HttpResponse {
    HttpResponse::new(StatusCode::SERVICE_UNAVAILABLE)
}

async fn read_log(query: Query<ReadQuery>, log: State<MemoryLog>) -> HttpResponse {
    match log.read(query.from).await {
        Ok(batch) => HttpResponse::Ok().json(&batch),
        Err(_) => unavailable(),
    }
}

async fn append_log(record: Json<LogRecord>, log: State<MemoryLog>) -> HttpResponse {
    match log.append(record.into_inner()).await {
        Ok(offset) => HttpResponse::Ok().json(&Appended { offset }),
        Err(_) => unavailable(),
    }
}

/// Body of a request that sets the log's faults.
#[derive(Debug, Serialize, Deserialize)]
pub struct LogFaultsBody {
    /// Reads and appends fail.
    #[serde(default)]
    pub down: bool,
    /// Appends take effect, but their replies are lost.
    #[serde(default)]
    pub lose_replies: bool,
    /// Delay of every reply in milliseconds.
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
        Err(_) => unavailable(),
    }
}

async fn put_vm(vm: Json<VmRecord>, list: State<MemoryVmList>) -> HttpResponse {
    list.put(vm.into_inner());
    HttpResponse::new(StatusCode::NO_CONTENT)
}

#[derive(Deserialize)]
struct VmQuery {
    name: String,
}

async fn remove_vm(query: Query<VmQuery>, list: State<MemoryVmList>) -> HttpResponse {
    list.remove(&query.name);
    HttpResponse::new(StatusCode::NO_CONTENT)
}

/// Body of a request that sets the VM list's faults.
#[derive(Debug, Serialize, Deserialize)]
pub struct ListFaultsBody {
    /// Reads fail.
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
        RunEnd::NotStarted => unavailable(),
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

/// Usage of a target.
#[derive(Debug, Serialize, Deserialize)]
pub struct UsageBody {
    /// Number of running tasks.
    pub running: usize,
}

async fn usage(target: State<MemoryTarget>) -> HttpResponse {
    let running = target.running();
    HttpResponse::Ok().json(&UsageBody { running })
}

/// Body of a request that sets a target's faults.
#[derive(Debug, Serialize, Deserialize)]
pub struct TargetFaultsBody {
    /// Every task fails immediately.
    #[serde(default)]
    pub fail_all: bool,
    /// The target accepts no tasks.
    #[serde(default)]
    pub down: bool,
    /// Factor on run times.
    #[serde(default = "no_slowdown")]
    pub slowdown: f64,
}

fn no_slowdown() -> f64 {
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
