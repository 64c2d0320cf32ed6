//! The agent process: its threads and the ring buffers between them.
//!
//! The threads run the core, the links, the target, telemetry and the operators' HTTP server.

use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime};

use futures_util::FutureExt as _;
use tokio::sync::oneshot;

use crate::agent::{AgentAction, AgentCore, AgentEvent, AgentOptions, Renewal, RunId, Start};
use crate::clock::BootInstant;
use crate::core_thread::{self, InputOutcome, LoopControl, Router};
use crate::entry_links::AGENT_PATH;
use crate::events::{EventCode, LogEvent};
use crate::http_platform::HttpTarget;
use crate::ids::Incarnation;
use crate::message::{AgentMessage, Capacity, EntryMessage};
use crate::permit::FleetSecret;
use crate::platform::TargetService;
use crate::ring::{RingRx, RingTx, TaskWaker, ring};
use crate::session_links::{
    self, HandshakeConfig, LinkCommand, LinkEvent, LinkTraffic, SessionLinks,
};
use crate::settings::AgentSettings;
use crate::telemetry::{MetricLevels, Telemetry, TelemetryParts, TelemetryReport};
use crate::trace::{SpanRecord, TraceContext};
use crate::worker_threads::{
    CORE_RING, DaemonThreads, Factory, OUT_RING, REPORT_RING, RingThread, ServerEnd, push_or_wait,
    report, run_system, serve_metrics, spawn,
};

/// Interval between reports of levels to telemetry.
const LEVELS_EVERY: Duration = Duration::from_secs(1);
/// Time that sessions have to write their last frames before the thread ends.
const FINAL_WRITE_TIME: Duration = Duration::from_millis(200);

enum AgentInput {
    Event(AgentEvent),
    Entry(LinkEvent<EntryMessage>),
    Halt,
}

enum TargetCommand {
    Start(Start),
    Renew(Renewal),
    Stop(RunId),
}

/// A running agent.
pub struct AgentDaemon {
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Address of the operators' HTTP server.
    pub operator_address: SocketAddr,
    threads: DaemonThreads<AgentInput>,
}

/// Parameters for [`AgentDaemon::start`].
pub struct AgentStart {
    /// Validated settings.
    pub settings: AgentSettings,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Bound socket of the operators' HTTP server.
    pub operators: TcpListener,
    /// Creates the client of the target on its thread.
    pub target: Factory<Rc<dyn TargetService>>,
}

/// A factory for an HTTP client of the target that the settings name.
pub fn http_target(
    settings: &AgentSettings,
    incarnation: Incarnation,
) -> Factory<Rc<dyn TargetService>> {
    let url = settings.target_url.clone();
    Box::new(move || {
        async move {
            let target: Rc<dyn TargetService> = Rc::new(HttpTarget::new(&url, incarnation).await);
            target
        }
        .boxed_local()
    })
}

impl AgentDaemon {
    /// Starts an agent's threads.
    pub fn start(start: AgentStart) -> io::Result<Self> {
        let AgentStart {
            settings,
            incarnation,
            operators,
            target,
        } = start;
        let operator_address = operators.local_addr()?;
        let mut threads = Vec::new();
        let mut core = RingThread::spawn("core", CORE_RING, CoreParts::run)?;
        let control = core.ring();
        let run_events = core.ring();
        let entry_events = core.ring();
        let TelemetryParts { telemetry, page } =
            Telemetry::build(&settings.name, settings.otlp_url.as_deref());
        let mut telemetry = RingThread::spawn("telemetry", REPORT_RING, |rings, ()| {
            telemetry.run(rings);
        })?;
        let core_reports = telemetry.ring();
        let span_reports = telemetry.ring();
        threads.push(telemetry.begin(())?);

        let (end_tx, end_rx) = oneshot::channel();
        threads.push(spawn("http", move || {
            run_system("http", async move {
                if let Err(e) = serve_metrics(operators, page, end_rx).await {
                    log::error!("operators' HTTP server failed: {e}");
                }
            });
        })?);

        let target_waker = TaskWaker::default();
        let (target_tx, target_rx) = ring(OUT_RING, Arc::new(target_waker.clone()));
        threads.push(spawn("target", move || {
            run_system("target", async move {
                let runner = Runner {
                    target: target().await,
                    events: RefCell::new(run_events),
                    spans: RefCell::new(span_reports),
                };
                Rc::new(runner).serve(target_rx, target_waker).await;
            });
        })?);

        let traffic = Arc::new(LinkTraffic::default());
        let links_traffic = traffic.clone();
        let secret = FleetSecret::new(&settings.fleet_secret);
        let link_waker = TaskWaker::default();
        let (link_tx, link_rx) = ring(OUT_RING, Arc::new(link_waker.clone()));
        threads.push(spawn("links", move || {
            let served = session_links::run_local(async move {
                let handshake = HandshakeConfig {
                    our_first: None,
                    await_first: false,
                    path: AGENT_PATH,
                };
                let links: Rc<SessionLinks<AgentMessage, EntryMessage, AgentInput>> =
                    SessionLinks::new(
                        secret,
                        handshake,
                        entry_events,
                        AgentInput::Entry,
                        links_traffic,
                    );
                links.serve(link_rx, link_waker).await;
                tokio::time::sleep(FINAL_WRITE_TIME).await;
            });
            if let Err(e) = served {
                log::error!("session links failed: {e}");
            }
        })?);

        let options = AgentOptions {
            name: settings.name.as_str().into(),
            incarnation,
            hall: settings.hall.as_str().into(),
            capacity: Capacity {
                slots: settings.slots,
                memory_mib: settings.memory_mib,
                accelerators: settings.accelerators,
            },
            entries: settings.entries.iter().map(SocketAddr::to_string).collect(),
            drain_limit: Duration::from_millis(settings.drain_limit_ms),
        };
        let router = AgentRouter {
            links: link_tx,
            target: target_tx,
            reports: core_reports,
            traffic,
            server_end: Some(end_tx),
            levels_at: BootInstant::now(),
        };
        let parts = CoreParts {
            core: AgentCore::new(options),
            router,
        };
        threads.push(core.begin(parts)?);
        let detail = format!("agent {} {incarnation:016x}", settings.name);
        LogEvent::new(EventCode::Started, detail).emit();
        Ok(Self {
            incarnation,
            operator_address,
            threads: DaemonThreads::new(control, threads),
        })
    }

    /// Begins a drain, after which the process stops.
    pub fn drain(&self) {
        self.threads.send(AgentInput::Event(AgentEvent::Drain));
    }

    /// Stops at once without a drain.
    pub fn kill(self) {
        self.threads.send(AgentInput::Halt);
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

struct CoreParts {
    core: AgentCore,
    router: AgentRouter,
}

impl CoreParts {
    fn run(inputs: Vec<RingRx<AgentInput>>, mut parts: Self) {
        for action in parts.core.start() {
            parts.router.route(action);
        }
        core_thread::run(parts.core, inputs, &mut parts.router);
        if let Some(end) = parts.router.server_end.take() {
            let _ = end.send(ServerEnd::Cut);
        }
    }
}

struct AgentRouter {
    links: RingTx<LinkCommand<AgentMessage>>,
    target: RingTx<TargetCommand>,
    reports: RingTx<TelemetryReport>,
    traffic: Arc<LinkTraffic>,
    server_end: Option<oneshot::Sender<ServerEnd>>,
    levels_at: BootInstant,
}

impl Router<AgentCore> for AgentRouter {
    type Input = AgentInput;

    fn admit(&mut self, input: AgentInput) -> InputOutcome<AgentEvent> {
        InputOutcome::Event(match input {
            AgentInput::Event(event) => event,
            AgentInput::Entry(LinkEvent::Opened { session, .. }) => {
                AgentEvent::EntryConnected(session)
            }
            AgentInput::Entry(LinkEvent::Frame { session, frame }) => {
                AgentEvent::EntryFrame { session, frame }
            }
            AgentInput::Entry(LinkEvent::Closed(session)) => AgentEvent::EntryClosed(session),
            AgentInput::Halt => return InputOutcome::Halt,
        })
    }

    fn route(&mut self, action: AgentAction) -> LoopControl {
        match action {
            AgentAction::KnowEntry(address) => {
                push_or_wait(&mut self.links, LinkCommand::Dial(address));
            }
            AgentAction::SendEntry { session, frame } => {
                push_or_wait(&mut self.links, LinkCommand::Send { session, frame });
            }
            AgentAction::CloseEntry(session) => {
                push_or_wait(&mut self.links, LinkCommand::Close(session));
            }
            AgentAction::Start(start) => {
                push_or_wait(&mut self.target, TargetCommand::Start(start));
            }
            AgentAction::Renew(renewal) => {
                push_or_wait(&mut self.target, TargetCommand::Renew(renewal));
            }
            AgentAction::StopRun(run) => {
                push_or_wait(&mut self.target, TargetCommand::Stop(run));
            }
            AgentAction::Log(event) => event.emit(),
            AgentAction::Stop => return LoopControl::Stop,
        }
        LoopControl::Continue
    }

    fn observe(&mut self, core: &AgentCore) {
        if self.levels_at.elapsed() < LEVELS_EVERY {
            return;
        }
        self.levels_at = BootInstant::now();
        let levels = MetricLevels {
            counters: core.counters().clone(),
            in_flight: core.running() as u64,
            slots: u64::from(core.slots()),
            config_version: core.config().version,
            link_bytes: [
                ("sent", self.traffic.bytes_sent.load(Ordering::Relaxed)),
                (
                    "received",
                    self.traffic.bytes_received.load(Ordering::Relaxed),
                ),
            ]
            .into(),
            ..MetricLevels::default()
        };
        report(&mut self.reports, TelemetryReport::Levels(Box::new(levels)));
    }
}

/// Runs tasks on the target.
struct Runner {
    target: Rc<dyn TargetService>,
    events: RefCell<RingTx<AgentInput>>,
    spans: RefCell<RingTx<TelemetryReport>>,
}

impl Runner {
    async fn serve(self: Rc<Self>, mut commands: RingRx<TargetCommand>, waker: TaskWaker) {
        loop {
            while let Some(command) = commands.pop() {
                let runner = self.clone();
                ntex::rt::spawn(async move { runner.execute(command).await });
            }
            if commands.is_finished() {
                return;
            }
            waker.0.notified().await;
        }
    }

    async fn execute(&self, command: TargetCommand) {
        match command {
            TargetCommand::Start(start) => self.run(start).await,
            TargetCommand::Renew(renewal) => self.target.renew(renewal).await,
            TargetCommand::Stop(run) => self.target.stop(run).await,
        }
    }

    async fn run(&self, mut start: Start) {
        let run = start.run;
        let parent: Option<TraceContext> = start.trace.as_ref().and_then(|t| t.parse().ok());
        let context = parent.map(|p| p.child());
        start.trace = context.map(|c| c.to_string().into());
        let detail = format!("{} task {}", start.job, start.task);
        let started = SystemTime::now();
        let end = self.target.run(start).await;
        if let Some(context) = context {
            let span = SpanRecord {
                name: "agent",
                context,
                parent,
                start: started,
                end: SystemTime::now(),
                detail,
            };
            report(&mut self.spans.borrow_mut(), TelemetryReport::Span(span));
        }
        self.send_to_core(AgentInput::Event(AgentEvent::RunEnded { run, end }))
            .await;
    }

    /// Sends an input to the core and waits while its ring is full.
    async fn send_to_core(&self, input: AgentInput) {
        let mut input = input;
        loop {
            let pushed = self.events.borrow_mut().push(input);
            match pushed {
                Ok(()) => return,
                Err(_) if self.events.borrow().is_abandoned() => return,
                Err(rejected) => input = rejected,
            }
            ntex::time::sleep(Duration::from_millis(1)).await;
        }
    }
}
