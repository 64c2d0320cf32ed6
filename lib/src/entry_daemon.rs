//! The entry process: its threads and the rings between them.
//!
//! The threads are HTTP (ntex workers), core, links, platform and telemetry. All decisions are
//! made on the core thread.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::clock::BootInstant;
use crate::config_chain::ConfigStamp;
use crate::core_thread::{self, Router as _};
use crate::entry::{EntryAction, EntryCore, EntryEvent, EntryOptions};
use crate::entry_input::{CoreRequest, EntryInput};
use crate::entry_links::LinkParts;
use crate::entry_router::{EntryRouter, ServerEndSender};
use crate::events::{EventCode, LogEvent};
use crate::http_api::{RingPool, WorkerRings};
use crate::ids::Incarnation;
use crate::message::{EntryMessage, PROTOCOL_VERSION, PeerHello, PeerMessage};
use crate::permit::FleetSecret;
use crate::placement::PlacementMode;
use crate::platform_thread::{Platform, PlatformCommand, serve_platform};
use crate::ring::{RingRx, RingTx, TaskWaker, ring};
use crate::session_links::{self, LinkCommand, LinkTraffic};
use crate::settings::EntrySettings;
use crate::telemetry::{MetricsPage, Telemetry, TelemetryParts, TelemetryReport};
use crate::worker_threads::{
    CORE_RING, DaemonThreads, Factory, OUT_RING, REPORT_RING, RingThread, Routes, ServerEnd,
    ServerPlan, run_system, serve, spawn,
};

/// Number of HTTP workers that serve operators.
const OPERATOR_WORKERS: usize = 1;

/// Listening sockets of an entry, bound before it starts.
pub struct EntryListeners {
    /// Socket for callers.
    pub callers: TcpListener,
    /// Socket for agents and peers.
    pub agents: TcpListener,
    /// Socket for operators.
    pub operators: TcpListener,
}

impl EntryListeners {
    /// Binds the addresses from the settings. Fails if one of them can't be bound.
    pub fn bind(settings: &EntrySettings) -> io::Result<Self> {
        Ok(Self {
            callers: TcpListener::bind(settings.caller_listen)?,
            agents: TcpListener::bind(settings.agent_listen)?,
            operators: TcpListener::bind(settings.operator_listen)?,
        })
    }
}

/// A running entry.
pub struct EntryDaemon {
    pub caller_address: SocketAddr,
    /// Address for agents and peers.
    pub agent_address: SocketAddr,
    pub operator_address: SocketAddr,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    server_end: ServerEndSender,
    threads: DaemonThreads<EntryInput>,
}

/// Inputs for starting an entry.
pub struct EntryStart {
    /// Validated settings.
    pub settings: EntrySettings,
    /// Bound sockets.
    pub listeners: EntryListeners,
    /// Creates the platform client on the platform thread.
    pub platform: Factory<Platform>,
    /// Overrides the configuration's placement mode in measurements.
    pub placement: Option<PlacementMode>,
}

/// Bound addresses of an entry.
#[derive(Debug, Clone, Copy)]
struct Addresses {
    callers: SocketAddr,
    agents: SocketAddr,
    operators: SocketAddr,
}

impl EntryDaemon {
    /// Starts the threads of an entry. Fails if a thread can't be spawned or a socket used.
    pub fn start(start: EntryStart) -> io::Result<Self> {
        let EntryStart {
            settings,
            listeners,
            platform,
            placement,
        } = start;
        let addresses = Addresses {
            callers: listeners.callers.local_addr()?,
            agents: listeners.agents.local_addr()?,
            operators: listeners.operators.local_addr()?,
        };
        let options = entry_options(&settings, addresses, placement);
        let incarnation = options.incarnation;
        let mut core = RingThread::spawn("core", CORE_RING, CoreParts::run)?;
        let TelemetryParts { telemetry, page } =
            Telemetry::build(&settings.name, settings.otlp_url.as_deref());
        let mut telemetry = RingThread::spawn("telemetry", REPORT_RING, |rings, ()| {
            telemetry.run(rings);
        })?;
        let control = core.ring();
        let reports = telemetry.ring();
        let mut rings = WorkerRingFactory {
            core: &mut core,
            telemetry: &mut telemetry,
            next_worker: 1,
        };
        let http = start_http(
            &settings,
            listeners.callers,
            listeners.operators,
            page,
            &mut rings,
        )?;
        let platform = start_platform(platform, core.ring())?;
        let links = start_links(&options, listeners.agents, core.ring(), core.ring())?;
        let router = EntryRouter {
            pending: HashMap::new(),
            agents: links.agents,
            peers: links.peers,
            platform: platform.commands,
            reports,
            own_address: options.agent_address.clone(),
            traffic: links.traffic,
            server_end: http.end.clone(),
            levels_reported_at: BootInstant::now(),
        };
        let parts = CoreParts {
            core: EntryCore::new(options),
            router,
            seeds: settings.entries.iter().map(SocketAddr::to_string).collect(),
        };
        let threads = vec![
            http.thread,
            platform.thread,
            links.thread,
            telemetry.begin(())?,
            core.begin(parts)?,
        ];
        let detail = format!("entry {} {incarnation:016x}", settings.name);
        LogEvent::new(EventCode::Started, detail).emit();
        Ok(Self {
            caller_address: addresses.callers,
            agent_address: addresses.agents,
            operator_address: addresses.operators,
            incarnation,
            server_end: http.end,
            threads: DaemonThreads::new(control, threads),
        })
    }

    /// Begins an orderly stop.
    pub fn drain(&self) {
        let event = EntryEvent::Drain;
        self.threads
            .send(EntryInput::Ask(CoreRequest { event, reply: None }));
    }

    /// Stops at once, as a crash would: connections and sessions are cut.
    pub fn kill(self) {
        end_servers(&self.server_end, ServerEnd::Cut);
        self.threads.send(EntryInput::Halt);
        self.join();
    }

    /// Whether all threads have ended.
    pub fn is_finished(&self) -> bool {
        self.threads.is_finished()
    }

    /// Waits until all threads have ended.
    pub fn join(self) {
        self.threads.join();
    }
}

fn entry_options(
    settings: &EntrySettings,
    addresses: Addresses,
    placement: Option<PlacementMode>,
) -> EntryOptions {
    EntryOptions {
        name: settings.name.as_str().into(),
        incarnation: rand::random(),
        agent_address: addresses.agents.to_string(),
        secret: FleetSecret::new(&settings.fleet_secret),
        placement,
        permit_life: Duration::from_millis(settings.permit_life_ms),
        drain_limit: settings.drain_limit(),
        snapshot_every: Duration::from_millis(settings.snapshot_every_ms),
        seed: rand::random(),
    }
}

/// Creates the rings of HTTP workers.
struct WorkerRingFactory<'a> {
    core: &'a mut RingThread<EntryInput, CoreParts>,
    telemetry: &'a mut RingThread<TelemetryReport, ()>,
    next_worker: u64,
}

impl WorkerRingFactory<'_> {
    fn pool(&mut self, workers: usize) -> RingPool {
        let rings = (0..workers).map(|_| self.rings()).collect();
        Arc::new(Mutex::new(rings))
    }

    fn rings(&mut self) -> WorkerRings {
        let worker = self.next_worker;
        self.next_worker += 1;
        WorkerRings {
            worker,
            asks: self.core.ring(),
            reports: self.telemetry.ring(),
        }
    }
}

struct HttpThread {
    thread: JoinHandle<()>,
    end: ServerEndSender,
}

fn start_http(
    settings: &EntrySettings,
    callers: TcpListener,
    operators: TcpListener,
    page: MetricsPage,
    rings: &mut WorkerRingFactory<'_>,
) -> io::Result<HttpThread> {
    let plan = |listener, routes, workers, pool| ServerPlan {
        listener,
        routes,
        workers,
        pool,
        body_limit: settings.body_limit,
        page: page.clone(),
    };
    let workers = settings.http_workers;
    let caller_pool = rings.pool(workers);
    let operator_pool = rings.pool(OPERATOR_WORKERS);
    let plans = vec![
        plan(callers, Routes::Caller, workers, caller_pool),
        plan(operators, Routes::Operator, OPERATOR_WORKERS, operator_pool),
    ];
    let (end, ended) = oneshot::channel();
    let thread = spawn("http", move || {
        run_system("http", async move {
            if let Err(e) = serve(plans, ended).await {
                log::error!("cannot serve HTTP: {e}");
            }
        });
    })?;
    let end = Arc::new(Mutex::new(Some(end)));
    Ok(HttpThread { thread, end })
}

struct PlatformThread {
    thread: JoinHandle<()>,
    commands: RingTx<PlatformCommand>,
}

fn start_platform(
    platform: Factory<Platform>,
    events: RingTx<EntryInput>,
) -> io::Result<PlatformThread> {
    let waker = TaskWaker::default();
    let (commands, taken) = ring(OUT_RING, Arc::new(waker.clone()));
    let thread = spawn("platform", move || {
        run_system("platform", async move {
            serve_platform(platform().await, taken, waker, events).await;
        });
    })?;
    Ok(PlatformThread { thread, commands })
}

struct LinksThread {
    thread: JoinHandle<()>,
    agents: RingTx<LinkCommand<EntryMessage>>,
    peers: RingTx<LinkCommand<PeerMessage>>,
    traffic: Arc<LinkTraffic>,
}

fn start_links(
    options: &EntryOptions,
    listener: TcpListener,
    agent_events: RingTx<EntryInput>,
    peer_events: RingTx<EntryInput>,
) -> io::Result<LinksThread> {
    let traffic = Arc::new(LinkTraffic::default());
    let agent_waker = TaskWaker::default();
    let (agents, agent_commands) = ring(OUT_RING, Arc::new(agent_waker.clone()));
    let peer_waker = TaskWaker::default();
    let (peers, peer_commands) = ring(OUT_RING, Arc::new(peer_waker.clone()));
    let parts = LinkParts {
        listener,
        secret: options.secret.clone(),
        hello: PeerHello {
            protocol: PROTOCOL_VERSION,
            name: options.name.clone(),
            incarnation: options.incarnation,
            agent_address: options.agent_address.clone(),
            config: ConfigStamp::default(),
        },
        agent_events,
        agent_commands,
        agent_waker,
        peer_events,
        peer_commands,
        peer_waker,
        traffic: traffic.clone(),
    };
    let thread = spawn("links", move || {
        if let Err(e) = session_links::run_local(parts.serve()) {
            log::error!("cannot run the link thread: {e}");
        }
    })?;
    Ok(LinksThread {
        thread,
        agents,
        peers,
        traffic,
    })
}

fn end_servers(server_end: &ServerEndSender, end: ServerEnd) {
    let mut slot = server_end.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(tx) = slot.take() {
        let _ = tx.send(end);
    }
}

struct CoreParts {
    core: EntryCore,
    router: EntryRouter,
    seeds: Vec<String>,
}

impl CoreParts {
    fn run(inputs: Vec<RingRx<EntryInput>>, mut parts: Self) {
        for address in parts.seeds {
            parts.router.route(EntryAction::KnowPeer(address));
        }
        core_thread::run(parts.core, inputs, &mut parts.router);
        end_servers(&parts.router.server_end, ServerEnd::Graceful);
    }
}
