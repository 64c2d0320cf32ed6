//! An entry as a process: its threads and the rings between them.
//!
//! Threads: HTTP (ntex workers), core, links, platform, telemetry. The core is the only one that
//! decides anything.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use futures_util::FutureExt as _;
use tokio::sync::oneshot;

use crate::config_chain::ConfigStamp;
use crate::core_thread::{self, Admitted, Next, Router};
use crate::entry::{EntryAction, EntryCore, EntryEvent, EntryOptions, Reply};
use crate::entry_input::{Ask, EntryInput};
use crate::events::{EventCode, LogEvent};
use crate::http_api::{RingPool, WorkerRings};
use crate::http_platform::HttpPlatform;
use crate::ids::{Incarnation, NodeName, RequestId};
use crate::links::{self, Adopt, LinkCommand, LinkEvent, LinkTraffic, Links, Manners};
use crate::message::{AgentMessage, EntryMessage, PROTOCOL_VERSION, PeerHello, PeerMessage};
use crate::permit::FleetSecret;
use crate::placement::PlacementMode;
use crate::platform::{LogService, VmListService};
use crate::ring::{RingRx, RingTx, TaskWaker, ring};
use crate::settings::EntrySettings;
use crate::telemetry::{Levels, MetricsPage, Report, Telemetry, TelemetryParts};
use crate::worker_threads::{
    CORE_RING, Factory, OUT_RING, REPORT_RING, Routes, ServerEnd, ServerPlan, push_or_wait, report,
    run_system, serve, spawn, waker_of,
};

/// Path of agents' sessions.
pub const AGENT_PATH: &str = "/agent";
/// Path of peers' sessions.
pub const PEER_PATH: &str = "/peer";
/// Workers that serve operators.
const OPERATOR_WORKERS: usize = 1;
/// How often levels are reported.
const LEVELS_EVERY: Duration = Duration::from_secs(1);

/// The platform as the platform thread uses it.
pub struct Platform {
    /// The log.
    pub log: Rc<dyn LogService>,
    /// The list.
    pub vms: Rc<dyn VmListService>,
}

enum PlatformCommand {
    ReadLog(u64),
    Append(crate::config_chain::LogRecord),
    ReadList,
}

/// Sockets that an entry listens on, bound before it starts.
pub struct EntryListeners {
    /// For callers.
    pub callers: TcpListener,
    /// For agents and peers.
    pub agents: TcpListener,
    /// For operators.
    pub operators: TcpListener,
}

impl EntryListeners {
    /// Binds the addresses of the settings.
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
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where agents and peers reach it.
    pub agent_address: SocketAddr,
    /// Where operators reach it.
    pub operator_address: SocketAddr,
    /// This life.
    pub incarnation: Incarnation,
    control: Mutex<RingTx<EntryInput>>,
    server_end: Arc<Mutex<Option<oneshot::Sender<ServerEnd>>>>,
    threads: Vec<JoinHandle<()>>,
}

/// What an entry is started with.
pub struct EntryStart {
    /// Settings, checked.
    pub settings: EntrySettings,
    /// Bound sockets.
    pub listeners: EntryListeners,
    /// The platform.
    pub platform: Factory<Platform>,
    /// Overrides the configuration's placement, for measuring.
    pub placement: Option<PlacementMode>,
}

/// The platform of the settings, over HTTP.
pub fn http_platform(settings: &EntrySettings) -> Factory<Platform> {
    let log_url = settings.log_url.clone();
    let list_url = settings.vm_list_url.clone();
    Box::new(move || {
        async move {
            let platform = Rc::new(HttpPlatform::new(&log_url, &list_url).await);
            Platform {
                log: platform.clone(),
                vms: platform,
            }
        }
        .boxed_local()
    })
}

impl EntryDaemon {
    /// Starts an entry's threads.
    pub fn start(start: EntryStart) -> io::Result<Self> {
        let EntryStart {
            settings,
            listeners,
            platform,
            placement,
        } = start;
        let incarnation: Incarnation = rand::random();
        let caller_address = listeners.callers.local_addr()?;
        let agent_address = listeners.agents.local_addr()?;
        let operator_address = listeners.operators.local_addr()?;
        let mut threads = Vec::new();
        let name: NodeName = settings.name.as_str().into();
        let secret = FleetSecret::new(&settings.fleet_secret);

        // The core's thread waits for its parts, which need its handle to wake it.
        let (parts_tx, parts_rx) = std::sync::mpsc::sync_channel::<CoreParts>(1);
        let core = spawn("core", move || {
            if let Ok(parts) = parts_rx.recv() {
                parts.run();
            }
        })?;
        let core_waker = waker_of(&core);
        let mut inputs = Vec::new();
        let mut input = || {
            let (tx, rx) = ring(CORE_RING, core_waker.clone());
            inputs.push(rx);
            tx
        };

        let TelemetryParts { telemetry, page } =
            Telemetry::build(&settings.name, settings.otlp_url.as_deref());
        let (report_rx_tx, report_rx_rx) = std::sync::mpsc::sync_channel::<Vec<_>>(1);
        let telemetry_thread = spawn("telemetry", move || {
            if let Ok(rings) = report_rx_rx.recv() {
                telemetry.run(rings);
            }
        })?;
        let telemetry_waker = waker_of(&telemetry_thread);
        let mut report_rings: Vec<RingRx<Report>> = Vec::new();
        let mut reports = || {
            let (tx, rx) = ring(REPORT_RING, telemetry_waker.clone());
            report_rings.push(rx);
            tx
        };

        let mut pool_of = |first: usize, workers: usize| -> RingPool {
            let rings = (first..first + workers).map(|worker| WorkerRings {
                worker: worker as u64 + 1,
                asks: input(),
                reports: reports(),
            });
            Arc::new(Mutex::new(rings.collect()))
        };
        let caller_pool = pool_of(0, settings.http_workers);
        let operator_pool = pool_of(settings.http_workers, OPERATOR_WORKERS);
        let control = input();
        let platform_events = input();
        let agent_events = input();
        let peer_events = input();
        let core_reports = reports();
        report_rx_tx
            .send(report_rings)
            .map_err(|_| io::Error::other("telemetry thread is gone"))?;
        threads.push(telemetry_thread);

        let plans = vec![
            plan(
                listeners.callers,
                Routes::Caller,
                caller_pool,
                &settings,
                &page,
            ),
            plan(
                listeners.operators,
                Routes::Operator,
                operator_pool,
                &settings,
                &page,
            ),
        ];
        let (end_tx, end_rx) = oneshot::channel();
        threads.push(spawn("http", move || {
            run_system("http", async move {
                if let Err(e) = serve(plans, end_rx).await {
                    log::error!("callers can't be served: {e}");
                }
            });
        })?);

        let platform_waker = TaskWaker::default();
        let (platform_tx, platform_rx) = ring(OUT_RING, Arc::new(platform_waker.clone()));
        threads.push(spawn("platform", move || {
            run_system("platform", async move {
                let platform = platform().await;
                serve_platform(platform, platform_rx, platform_waker, platform_events).await;
            });
        })?);

        let traffic = Arc::new(LinkTraffic::default());
        let agent_waker = TaskWaker::default();
        let (agent_tx, agent_rx) = ring(OUT_RING, Arc::new(agent_waker.clone()));
        let peer_waker = TaskWaker::default();
        let (peer_tx, peer_rx) = ring(OUT_RING, Arc::new(peer_waker.clone()));
        let links = LinkParts {
            listener: listeners.agents,
            secret: secret.clone(),
            hello: PeerHello {
                protocol: PROTOCOL_VERSION,
                name: name.clone(),
                incarnation,
                agent_address: agent_address.to_string(),
                config: ConfigStamp::default(),
            },
            agent_events,
            agent_commands: agent_rx,
            agent_waker,
            peer_events,
            peer_commands: peer_rx,
            peer_waker,
            traffic: traffic.clone(),
        };
        threads.push(spawn("links", move || {
            if let Err(e) = links::run_local(links.serve()) {
                log::error!("links can't be served: {e}");
            }
        })?);

        let server_end = Arc::new(Mutex::new(Some(end_tx)));
        let options = EntryOptions {
            name,
            incarnation,
            agent_address: agent_address.to_string(),
            secret,
            placement,
            permit_life: Duration::from_millis(settings.permit_life_ms),
            drain_limit: settings.drain_limit(),
            snapshot_every: Duration::from_millis(settings.snapshot_every_ms),
            seed: rand::random(),
        };
        let router = EntryRouter {
            pending: HashMap::new(),
            agents: agent_tx,
            peers: peer_tx,
            platform: platform_tx,
            reports: core_reports,
            own_address: agent_address.to_string(),
            traffic,
            server_end: server_end.clone(),
            levels_at: Instant::now(),
        };
        let parts = CoreParts {
            core: EntryCore::new(options),
            inputs,
            router,
            seeds: settings.entries.iter().map(SocketAddr::to_string).collect(),
        };
        parts_tx
            .send(parts)
            .map_err(|_| io::Error::other("core thread is gone"))?;
        threads.push(core);
        LogEvent::new(
            EventCode::Started,
            format!("entry {} {incarnation:016x}", settings.name),
        )
        .emit();
        Ok(Self {
            caller_address,
            agent_address,
            operator_address,
            incarnation,
            control: Mutex::new(control),
            server_end,
            threads,
        })
    }

    fn send(&self, input: EntryInput) {
        let mut control = self.control.lock().unwrap_or_else(PoisonError::into_inner);
        push_or_wait(&mut control, input);
    }

    /// Begins an orderly stop.
    pub fn drain(&self) {
        let event = EntryEvent::Drain;
        self.send(EntryInput::Ask(Ask { event, reply: None }));
    }

    /// Ends at once, as a crash would: callers and sessions are cut.
    pub fn kill(self) {
        end_servers(&self.server_end, ServerEnd::Cut);
        self.send(EntryInput::Halt);
        self.join();
    }

    /// Whether all threads have ended.
    pub fn is_finished(&self) -> bool {
        self.threads.iter().all(JoinHandle::is_finished)
    }

    /// Waits for the end.
    pub fn join(self) {
        let Self {
            threads, control, ..
        } = self;
        // The control ring must stay until the core has ended.
        for thread in threads {
            let _ = thread.join();
        }
        drop(control);
    }
}

fn plan(
    listener: TcpListener,
    routes: Routes,
    pool: RingPool,
    settings: &EntrySettings,
    page: &MetricsPage,
) -> ServerPlan {
    let workers = match routes {
        Routes::Caller => settings.http_workers,
        Routes::Operator => OPERATOR_WORKERS,
    };
    ServerPlan {
        listener,
        routes,
        workers,
        pool,
        body_limit: settings.body_limit,
        page: page.clone(),
    }
}

fn end_servers(server_end: &Mutex<Option<oneshot::Sender<ServerEnd>>>, end: ServerEnd) {
    let mut slot = server_end.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(tx) = slot.take() {
        let _ = tx.send(end);
    }
}

struct CoreParts {
    core: EntryCore,
    inputs: Vec<RingRx<EntryInput>>,
    router: EntryRouter,
    seeds: Vec<String>,
}

impl CoreParts {
    fn run(mut self) {
        for address in self.seeds {
            self.router.route(EntryAction::KnowPeer(address));
        }
        core_thread::run(self.core, self.inputs, &mut self.router);
        end_servers(&self.router.server_end, ServerEnd::Graceful);
    }
}

struct EntryRouter {
    pending: HashMap<RequestId, oneshot::Sender<Reply>>,
    agents: RingTx<LinkCommand<EntryMessage>>,
    peers: RingTx<LinkCommand<PeerMessage>>,
    platform: RingTx<PlatformCommand>,
    reports: RingTx<Report>,
    own_address: String,
    traffic: Arc<LinkTraffic>,
    server_end: Arc<Mutex<Option<oneshot::Sender<ServerEnd>>>>,
    levels_at: Instant,
}

impl EntryRouter {
    fn admit_agent(&mut self, event: LinkEvent<AgentMessage>) -> Admitted<EntryEvent> {
        Admitted::Event(match event {
            LinkEvent::Opened {
                session,
                first: Some(AgentMessage::Hello(hello)),
            } => EntryEvent::AgentOpened { session, hello },
            LinkEvent::Opened { session, .. } => {
                push_or_wait(&mut self.agents, LinkCommand::Close(session));
                return Admitted::Nothing;
            }
            LinkEvent::Frame { session, frame } => EntryEvent::AgentFrame { session, frame },
            LinkEvent::Closed(session) => EntryEvent::AgentClosed(session),
        })
    }

    fn admit_peer(&mut self, event: LinkEvent<PeerMessage>) -> Admitted<EntryEvent> {
        Admitted::Event(match event {
            LinkEvent::Opened {
                session,
                first: Some(PeerMessage::Hello(hello)),
            } => EntryEvent::PeerOpened { session, hello },
            LinkEvent::Opened { session, .. } => {
                push_or_wait(&mut self.peers, LinkCommand::Close(session));
                return Admitted::Nothing;
            }
            LinkEvent::Frame { session, frame } => EntryEvent::PeerFrame { session, frame },
            LinkEvent::Closed(session) => EntryEvent::PeerClosed(session),
        })
    }
}

impl Router<EntryCore> for EntryRouter {
    type Input = EntryInput;

    fn admit(&mut self, input: EntryInput) -> Admitted<EntryEvent> {
        match input {
            EntryInput::Ask(ask) => {
                if let Some(awaited) = ask.reply {
                    self.pending.insert(awaited.request, awaited.reply);
                }
                if let EntryEvent::CallerGone(request) = &ask.event {
                    self.pending.remove(request);
                }
                Admitted::Event(ask.event)
            }
            EntryInput::Agent(event) => self.admit_agent(event),
            EntryInput::Peer(event) => self.admit_peer(event),
            EntryInput::Halt => Admitted::Halt,
        }
    }

    fn route(&mut self, action: EntryAction) -> Next {
        match action {
            EntryAction::Reply { request, reply } => {
                // Without a receiver the caller is gone, and nobody is left to answer.
                if let Some(tx) = self.pending.remove(&request) {
                    let _ = tx.send(reply);
                }
            }
            EntryAction::SendAgent { session, frame } => {
                push_or_wait(&mut self.agents, LinkCommand::Send { session, frame });
            }
            EntryAction::CloseAgent(session) => {
                push_or_wait(&mut self.agents, LinkCommand::Close(session));
            }
            EntryAction::SendPeer { session, frame } => {
                push_or_wait(&mut self.peers, LinkCommand::Send { session, frame });
            }
            EntryAction::ClosePeer(session) => {
                push_or_wait(&mut self.peers, LinkCommand::Close(session));
            }
            EntryAction::KnowPeer(address) => {
                // Of two entries only one dials, so that they hold one session.
                if address > self.own_address {
                    push_or_wait(&mut self.peers, LinkCommand::Dial(address));
                }
            }
            EntryAction::ReadLog(from) => {
                push_or_wait(&mut self.platform, PlatformCommand::ReadLog(from));
            }
            EntryAction::AppendLog(record) => {
                push_or_wait(&mut self.platform, PlatformCommand::Append(record));
            }
            EntryAction::ReadVmList => {
                push_or_wait(&mut self.platform, PlatformCommand::ReadList);
            }
            EntryAction::Log(event) => event.emit(),
            EntryAction::Measured(measure) => {
                report(&mut self.reports, Report::Measure(measure));
            }
            EntryAction::Stop => return Next::Stop,
        }
        Next::Continue
    }

    fn observe(&mut self, core: &EntryCore) {
        if self.levels_at.elapsed() < LEVELS_EVERY {
            return;
        }
        self.levels_at = Instant::now();
        let levels = Levels {
            counters: core.counters().clone(),
            waiting: u64::from(core.waiting_tasks()),
            in_flight: core.jobs_held() as u64,
            slots: u64::from(core.targets().open_slots()),
            config_version: core.config().stamp().version,
            link_bytes: [
                ("sent", self.traffic.bytes_sent.load(Ordering::Relaxed)),
                (
                    "received",
                    self.traffic.bytes_received.load(Ordering::Relaxed),
                ),
            ]
            .into(),
        };
        report(&mut self.reports, Report::Levels(Box::new(levels)));
    }
}

struct LinkParts {
    listener: TcpListener,
    secret: FleetSecret,
    hello: PeerHello,
    agent_events: RingTx<EntryInput>,
    agent_commands: RingRx<LinkCommand<EntryMessage>>,
    agent_waker: TaskWaker,
    peer_events: RingTx<EntryInput>,
    peer_commands: RingRx<LinkCommand<PeerMessage>>,
    peer_waker: TaskWaker,
    traffic: Arc<LinkTraffic>,
}

impl LinkParts {
    /// Serves agents and peers until the core is gone.
    async fn serve(self) {
        let agent_manners = Manners {
            our_first: None,
            await_first: true,
            path: AGENT_PATH,
        };
        let peer_manners = Manners {
            our_first: Some(PeerMessage::Hello(self.hello)),
            await_first: true,
            path: PEER_PATH,
        };
        let agents = Links::new(
            self.secret.clone(),
            agent_manners,
            self.agent_events,
            EntryInput::Agent,
            self.traffic.clone(),
        );
        let peers = Links::new(
            self.secret.clone(),
            peer_manners,
            self.peer_events,
            EntryInput::Peer,
            self.traffic,
        );
        let listener = self.listener.set_nonblocking(true);
        let listener = listener.and_then(|()| tokio::net::TcpListener::from_std(self.listener));
        let listener = match listener {
            Ok(listener) => listener,
            Err(e) => {
                log::error!("agents can't be served: {e}");
                return;
            }
        };
        let adopters: Vec<Rc<dyn Adopt>> = vec![agents.clone(), peers.clone()];
        let accept = tokio::task::spawn_local(links::accept_all(listener, self.secret, adopters));
        tokio::join!(
            agents.serve(self.agent_commands, self.agent_waker),
            peers.serve(self.peer_commands, self.peer_waker),
        );
        accept.abort();
        // Lets the sessions write what was queued, the goodbyes last.
        tokio::time::sleep(LAST_WORDS).await;
    }
}

/// How long sessions have to write their last words.
const LAST_WORDS: Duration = Duration::from_millis(200);

/// Carries out the core's wishes towards the platform, each on its own, so that a slow one
/// holds up no other.
async fn serve_platform(
    platform: Platform,
    mut commands: RingRx<PlatformCommand>,
    waker: TaskWaker,
    events: RingTx<EntryInput>,
) {
    let events = Rc::new(std::cell::RefCell::new(events));
    loop {
        while let Some(command) = commands.pop() {
            let events = events.clone();
            let log = platform.log.clone();
            let vms = platform.vms.clone();
            ntex::rt::spawn(async move {
                if let Some(event) = call_platform(command, &*log, &*vms).await {
                    let input = EntryInput::Ask(Ask { event, reply: None });
                    // A lost answer counts as none: the core asks again.
                    let _ = events.borrow_mut().push(input);
                }
            });
        }
        if commands.is_finished() {
            return;
        }
        waker.0.notified().await;
    }
}

async fn call_platform(
    command: PlatformCommand,
    log: &dyn LogService,
    vms: &dyn VmListService,
) -> Option<EntryEvent> {
    match command {
        PlatformCommand::ReadLog(from) => Some(EntryEvent::LogRead(log.read(from).await.ok())),
        PlatformCommand::ReadList => Some(EntryEvent::VmList(vms.list().await.ok())),
        PlatformCommand::Append(record) => {
            // The fate of an append is learned by reading the log.
            let _ = log.append(record).await;
            None
        }
    }
}
