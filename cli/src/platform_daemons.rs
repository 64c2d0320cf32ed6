//! The commands `serve-entry` and `serve-agent`, which run an entry or an agent on the users'
//! platform. Each runs on one thread.

use std::cell::OnceCell;
use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clap::ArgMatches;
use ntex::SharedCfg;
use ntex::http::{HttpService, HttpServiceConfig};
use ntex::server::{self, Config as ServerConfig, Stream};
use ntex::time::Seconds;
use ntex::web::{self, App, HttpServer};
use platform::settings::{self, AgentSettings, CommonSettings, EntrySettings, SettingsError};
use platform::store::Store;
use platform::target_client::TargetClient;
use platform::{caller_server, target_server};
use snafu::ResultExt as _;
use tokio::signal::unix::{SignalKind, signal};
use trestleknot_lib::agent_node::AgentNode;
use trestleknot_lib::batch_event::{EntryEvent, EntryOptions};
use trestleknot_lib::entry_node::EntryNode;
use trestleknot_lib::events::{EventCode, LogEvent};
use trestleknot_lib::handshake::handshake_time;
use trestleknot_lib::log_writer::LogWriter;
use trestleknot_lib::run_event::{AgentEvent, AgentOptions};
use trestleknot_lib::worker_threads::run_system;

use crate::error::{CliResult, SystemSnafu};
use crate::logging;
use crate::settings_watch::SettingsWatch;

/// Name of the service that callers connect to.
const CALLERS: &str = "callers";
/// Port of the metrics page. It matches deploy/system.toml.
const METRICS_PORT: u16 = 9464;
/// How long an idle connection is kept. Callers normally close their connections first.
const IDLE_TIMEOUT: Seconds = Seconds(75);
/// Time limit for a request's head, as in the platform's first configuration.
const HEAD_TIMEOUT: Seconds = Seconds(3);
/// Pause between the last answer and the process's exit, in which sockets are flushed.
const FLUSH_PAUSE: Duration = Duration::from_millis(60);

fn settings_path(args: &ArgMatches) -> CliResult<PathBuf> {
    match args.get_one::<PathBuf>("settings") {
        Some(path) => Ok(path.clone()),
        None => Ok(settings::path_from_environment()?),
    }
}

fn listen(address: SocketAddr) -> CliResult<TcpListener> {
    let what = format!("listening on {address}");
    TcpListener::bind(address).context(SystemSnafu { what })
}

fn metrics_address(ip: IpAddr) -> SocketAddr {
    SocketAddr::new(ip, METRICS_PORT)
}

fn http_config() -> SharedCfg {
    let http = HttpServiceConfig::new()
        .set_keepalive(IDLE_TIMEOUT)
        .set_client_timeout(HEAD_TIMEOUT);
    SharedCfg::new("http").add(http).into()
}

/// Returns a random number that identifies this incarnation of the process.
fn new_incarnation() -> u64 {
    rand::random()
}

fn log_started(common: &CommonSettings, incarnation: u64) {
    let CommonSettings { name, hall, .. } = common;
    let version = env!("CARGO_PKG_VERSION");
    let detail = format!("name={name} hall={hall} life={incarnation:x} version={version}");
    LogEvent::new(EventCode::Started, detail).emit();
}

/// Calls `drain` on each SIGTERM and SIGINT.
async fn drain_on_signals(drain: impl Fn()) {
    let term = signal(SignalKind::terminate());
    let int = signal(SignalKind::interrupt());
    let (Ok(mut term), Ok(mut int)) = (term, int) else {
        LogEvent::new(EventCode::RequestRejected, "can't install signal handlers").emit();
        return;
    };
    loop {
        tokio::select! {
            _ = term.recv() => drain(),
            _ = int.recv() => drain(),
        }
    }
}

fn load_entry_common(path: &Path) -> Result<CommonSettings, SettingsError> {
    settings::load_entry(path).map(|s| s.common)
}

fn load_agent_common(path: &Path) -> Result<CommonSettings, SettingsError> {
    settings::load_agent(path).map(|s| s.common)
}

/// Waits until sockets are flushed, writes the remaining log lines and exits.
async fn flush_and_exit(log: LogWriter) {
    tokio::time::sleep(FLUSH_PAUSE).await;
    log.flush_now();
    std::process::exit(0);
}

thread_local! {
    static ENTRY: OnceCell<Rc<EntryNode>> = const { OnceCell::new() };
    static AGENT: OnceCell<Rc<AgentNode>> = const { OnceCell::new() };
}

/// Runs an entry.
pub fn entry(args: &ArgMatches) -> CliResult<ExitCode> {
    let path = settings_path(args)?;
    let settings = settings::load_entry(&path)?;
    let log = logging::start_platform_logging().context(SystemSnafu { what: "logging" })?;
    let callers = listen(settings.callers)?;
    let ready = listen(settings.ready)?;
    let metrics = listen(metrics_address(settings.common.ip))?;
    run_system("entry", async move {
        let app = async move |cfg: ServerConfig| {
            cfg.config(http_config());
            let node = entry_of_thread(&settings, &path, &log).await;
            let app = App::new().state(node).configure(caller_server::routes);
            HttpService::new(app.default_service(caller_server::any_path()))
        };
        let server = server::build().workers(1).disable_signals();
        let server = server.on_accept(note_accepted);
        let listening = server
            .listen(CALLERS, callers, app.clone())
            .and_then(|s| s.listen("ready", ready, app.clone()))
            .and_then(|s| s.listen("metrics", metrics, app));
        run_server(listening.map(|s| s.run())).await;
    });
    Ok(ExitCode::FAILURE)
}

/// Tells the entry of a new connection of a caller.
async fn note_accepted(service: Arc<str>, connection: Stream) -> Result<Stream, Infallible> {
    let node = ENTRY.with(|n| n.get().cloned());
    if &*service == CALLERS
        && let (Some(node), Stream::Tcp(connection)) = (node, &connection)
        && let Ok(caller) = connection.peer_addr()
    {
        node.caller_accepted(caller, handshake_time(connection));
    }
    Ok(connection)
}

async fn run_server(server: std::io::Result<ntex::server::Server>) {
    let served = match server {
        Ok(server) => server.await,
        Err(e) => Err(e),
    };
    if let Err(e) = served {
        anstream::eprintln!("error: serving: {e}");
    }
}

/// Returns the thread's entry, which the first call starts. The server calls this for each address.
async fn entry_of_thread(
    settings: &EntrySettings,
    path: &std::path::Path,
    log: &LogWriter,
) -> Rc<EntryNode> {
    if let Some(node) = ENTRY.with(|n| n.get().cloned()) {
        return node;
    }
    let common = &settings.common;
    let listener = tokio::net::TcpListener::bind(common.link_address).await;
    let listener = listener.unwrap_or_else(|e| {
        anstream::eprintln!("error: listening on {}: {e}", common.link_address);
        std::process::exit(1);
    });
    let incarnation = new_incarnation();
    log_started(common, incarnation);
    let options = EntryOptions {
        name: common.name.as_str().into(),
        incarnation,
        hall: common.hall.as_str().into(),
        address: common.link_address,
        seeds: common.seeds.clone(),
        seed: incarnation,
        timings: common.timings,
        link_rate: common.link_rate,
        processor_share: common.processor_share,
        far_factor: common.far_factor,
    };
    let node = EntryNode::start(options, listener);
    let feed = Rc::new(Store::new(common.store).await);
    ntex::rt::spawn(node.clone().follow_operators(feed.clone()));
    let (name, address) = (common.name.clone(), common.link_address);
    ntex::rt::spawn(node.clone().register(feed, name, address));
    let drain_node = node.clone();
    let drain = move || drain_node.tell(EntryEvent::Drain);
    ntex::rt::spawn(drain_on_signals(drain));
    let watch = SettingsWatch::new(path.to_owned(), load_entry_common, common.clone());
    let seeds_node = node.clone();
    let on_new_seeds = move |seeds| seeds_node.tell(EntryEvent::Entries(seeds));
    ntex::rt::spawn(watch.run(on_new_seeds));
    let (ended_node, log) = (node.clone(), log.clone());
    ntex::rt::spawn(async move {
        ended_node.ended().await;
        flush_and_exit(log).await;
    });
    ENTRY.with(|n| n.set(node.clone()).ok());
    node
}

/// Runs an agent.
pub fn agent(args: &ArgMatches) -> CliResult<ExitCode> {
    let path = settings_path(args)?;
    let settings = settings::load_agent(&path)?;
    let log = logging::start_platform_logging().context(SystemSnafu { what: "logging" })?;
    let reports = listen(settings.reports)?;
    let metrics = listen(metrics_address(settings.common.ip))?;
    run_system("agent", async move {
        let server = HttpServer::new(async move || {
            let node = agent_of_thread(&settings, &path, &log).await;
            App::new()
                .state(node)
                .configure(|cfg: &mut web::ServiceConfig| target_server::routes(cfg))
        });
        let server = server.workers(1).disable_signals().config(http_config());
        let listening = server.listen(reports).and_then(|s| s.listen(metrics));
        run_server(listening.map(|s| s.run())).await;
    });
    Ok(ExitCode::FAILURE)
}

/// Returns the thread's agent, which the first call starts.
async fn agent_of_thread(
    settings: &AgentSettings,
    path: &std::path::Path,
    log: &LogWriter,
) -> Rc<AgentNode> {
    if let Some(node) = AGENT.with(|n| n.get().cloned()) {
        return node;
    }
    let common = &settings.common;
    let incarnation = new_incarnation();
    log_started(common, incarnation);
    let options = AgentOptions {
        name: common.name.as_str().into(),
        incarnation,
        hall: common.hall.as_str().into(),
        timings: common.timings,
        token: unix_time_ms(),
        seeds: common.seeds.clone(),
        evacuation_bound: common.evacuation_bound,
    };
    let target = Rc::new(TargetClient::new(settings.target).await);
    let store = Rc::new(Store::new(common.store).await);
    let node = AgentNode::start(options, target, store.clone(), store);
    let drain_node = node.clone();
    let drain = move || drain_node.deliver(AgentEvent::Drain);
    ntex::rt::spawn(drain_on_signals(drain));
    let watch = SettingsWatch::new(path.to_owned(), load_agent_common, common.clone());
    let seeds_node = node.clone();
    let on_new_seeds = move |seeds| seeds_node.deliver(AgentEvent::Entries(seeds));
    ntex::rt::spawn(watch.run(on_new_seeds));
    let (ended_node, log) = (node.clone(), log.clone());
    ntex::rt::spawn(async move {
        ended_node.ended().await;
        flush_and_exit(log).await;
    });
    AGENT.with(|n| n.set(node.clone()).ok());
    node
}

/// Milliseconds since 1970. Fencing tokens start at this value, so that they usually rise from one
/// incarnation of an agent to the next.
fn unix_time_ms() -> u64 {
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
    since_1970.unwrap_or_default().as_millis() as u64
}
