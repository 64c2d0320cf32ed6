//! The entry's core on the platform: a deterministic state machine, `(now, event) -> actions`.
//!
//! It routes events to the controllers that own the state: the configuration in force, the
//! batches, the targets' board, the other entries. A task is started again only on proof that its
//! last run is over; docs/design/platform.md lists the proofs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::batch::{BatchSpec, Unsupported};
use crate::batch_table::{
    Batch, BatchNews, BatchState, BatchTable, BatchTimes, CloseReason, RunOver, TaskState,
};
use crate::closing_elsewhere::ClosingElsewhere;
use crate::events::{EventCode, LogEvent};
use crate::ids::{HallName, Incarnation, NodeName, Now, RequestId, SessionId};
use crate::peer_book::PeerBook;
use crate::queue::{ConfigInForce, Queue, QueueTable};
use crate::resources::Resources;
use crate::run::{BatchId, NotStarted, RunEnd, RunKey};
use crate::run_message::{
    AgentMillis, AgentNews, AgentPacket, EntryPacket, Order, Packet, PeerIntro, PeerNews,
    PeerPacket, StartOrder, Welcome,
};
use crate::target_board::{Need, Outcome, SlowRun, TargetBoard, Verdict};

/// How long an agent keeps an entry's runs after the entry's last word. Three heartbeats.
pub const ENTRY_LEASE: Duration = Duration::from_millis(800);
/// How long after the last word to an agent that is lost its runs are proven over: the entry's
/// lease (0.8 s), the bound on stops (0.5 s), the target's lease on a clock 2% slow (1.02 s),
/// a stop's time and some slack.
pub const LOST_PROOF: Duration = Duration::from_millis(2_600);
/// How long an order to start may take to reach the target. Later ones are refused by the agent.
const START_WINDOW: Duration = Duration::from_millis(500);
/// An agent's packet is answered at the latest after this much silence from the entry.
const ANSWER_AFTER: Duration = Duration::from_millis(150);
/// A link to an agent that has been silent for so long is closed.
const SILENT_AGENT: Duration = Duration::from_millis(1_500);
/// When to come back after a refusal for want of room.
const RETRY_BUSY: Duration = Duration::from_millis(500);
/// Share of the objective that a batch may wait before anything of it is placed, at least.
const WAIT_SHARE: f64 = 0.23;
/// How much longer than estimated work may take on the slowest sound targets. What starts later
/// than the objective allows for that is refused, for it would be late and make others late.
const SLOWEST_SOUND: f64 = 1.25;
/// The same while no target can be had: agents find an entry that has just started within this.
const WAIT_FOR_TARGETS: Duration = Duration::from_millis(500);
/// A slow run is moved if the move takes less than this share of what it still needs.
const MOVE_GAIN: f64 = 0.7;
/// What a move costs on top of the work: a stop, its news and an order.
const MOVE_COST: Duration = Duration::from_millis(25);
/// Batches in a row that find no room before the rest is left for later.
const MOST_MISSES: u32 = 6;
/// Waiting tasks are counted up to this for agents.
const MOST_COUNTED: u32 = 1_000;
/// Times its estimated work that a batch may need at the most, as a stopping entry counts.
const DRAIN_MARGIN: u32 = 2;
/// Added to the above for placing and answering.
const DRAIN_SLACK: Duration = Duration::from_millis(200);
/// After the order to stop, all new requests are served for so long: the balancer asks every
/// second and takes an entry out at the second miss.
const SERVE_ON: Duration = Duration::from_millis(3_200);
/// Latest end of a drain: before the last sixth of the 6 s that the platform allows.
const DRAIN_LIMIT: Duration = Duration::from_millis(5_300);

/// What an entry is told at start.
#[derive(Debug, Clone)]
pub struct EntryOptions {
    /// Name of the VM's process.
    pub name: NodeName,
    /// This life.
    pub life: Incarnation,
    /// Data hall.
    pub hall: HallName,
    /// Address of its links.
    pub address: SocketAddr,
    /// Entries to dial at start.
    pub seeds: Vec<SocketAddr>,
    /// Seed of all random choices.
    pub seed: u64,
}

/// A batch as it arrives.
#[derive(Debug, Clone)]
pub struct Submission {
    /// Whom to answer.
    pub request: RequestId,
    /// Host that the caller named.
    pub host: String,
    /// Path that the caller named.
    pub path: String,
    /// The batch.
    pub spec: BatchSpec,
    /// How long the caller waits.
    pub patience: Duration,
}

/// A caller's question about a queue or a batch.
#[derive(Debug, Clone)]
pub struct Question {
    /// Whom to answer.
    pub request: RequestId,
    /// Host that the caller named.
    pub host: String,
    /// Path that the caller named.
    pub path: String,
    /// The batch; none if the question is about the queue.
    pub batch: Option<BatchId>,
}

/// What an entry is told.
#[derive(Debug, Clone)]
pub enum EntryEvent {
    /// A time that was asked for has come.
    Wake,
    /// A caller submits.
    Submit(Submission),
    /// A caller's connection is gone.
    CallerGone(RequestId),
    /// A caller asks for a state or a count.
    Ask(Question),
    /// A caller cancels.
    Cancel(Question),
    /// The platform's store shows a configuration.
    Config(Arc<QueueTable>),
    /// More entries, from the platform's store.
    Entries(Vec<SocketAddr>),
    /// A link stands; whether this side dialled it.
    LinkUp(SessionId, bool),
    /// A link is gone.
    LinkDown(SessionId),
    /// A packet has come.
    Packet(SessionId, Packet),
    /// Stop in an orderly way.
    Drain,
}

/// Why a batch was refused. Nothing of it ran, and nothing will.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No configuration yet.
    NoConfig,
    /// What it asks for is not carried.
    Unsupported(Unsupported),
    /// No room within its time.
    Busy,
    /// The entry stops.
    Draining,
}

/// What is said to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// Every task has ended well.
    Succeeded,
    /// A task has used up its attempts.
    Failed,
    /// The batch was cancelled.
    Cancelled,
    /// It was not run.
    Refused {
        /// Why.
        why: Refusal,
        /// When to come back.
        retry_after: Option<Duration>,
    },
    /// Its time is up; some of it ran, and nothing of it runs any more.
    GaveUp,
    /// There is no such queue.
    NoQueue,
    /// There is no such batch.
    NoBatch,
    /// A batch waits.
    Waiting,
    /// A batch runs.
    Running,
    /// Batches of a queue of which nothing has begun.
    Pending(usize),
}

impl Reply {
    /// Its kind, for counting.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Succeeded => "succeeded",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
            Self::Refused { .. } => "refused",
            Self::GaveUp => "gave_up",
            Self::NoQueue => "no_queue",
            Self::NoBatch => "no_batch",
            Self::Waiting | Self::Running => "state",
            Self::Pending(_) => "pending",
        }
    }
}

/// What an entry wants done.
#[derive(Debug, Clone)]
pub enum EntryAction {
    /// Answer a caller.
    Reply(RequestId, Reply),
    /// Send a packet.
    Send(SessionId, Packet),
    /// Close a link.
    Close(SessionId),
    /// Keep a connection to the entry at this address.
    Dial(SocketAddr),
    /// Write a line to the log.
    Log(LogEvent),
    /// How long a batch took, in milliseconds, and its objective.
    Measured(u64, u64),
    /// Stop the process.
    Exit,
}

/// Orders that wait to be sent to an agent.
#[derive(Debug, Default)]
struct Outbox {
    orders: Vec<Order>,
}

/// State of an entry.
pub struct BatchEntry {
    options: EntryOptions,
    now: Now,
    rng: ChaCha8Rng,
    out: Vec<EntryAction>,
    config: ConfigInForce,
    table: BatchTable,
    board: TargetBoard,
    peers: PeerBook,
    elsewhere: ClosingElsewhere,
    outboxes: BTreeMap<SessionId, Outbox>,
    /// Agents that are lost with runs out, and when these are proven over.
    lost: BTreeMap<NodeName, Now>,
    needs_placing: bool,
    draining_since: Option<Now>,
    exited: bool,
}

impl BatchEntry {
    /// A new life of an entry.
    pub fn new(options: EntryOptions) -> Self {
        Self {
            now: Now::ZERO,
            rng: ChaCha8Rng::seed_from_u64(options.seed ^ options.life),
            out: Vec::new(),
            config: ConfigInForce::default(),
            table: BatchTable::default(),
            board: TargetBoard::default(),
            peers: PeerBook::default(),
            elsewhere: ClosingElsewhere::default(),
            outboxes: BTreeMap::new(),
            lost: BTreeMap::new(),
            needs_placing: false,
            draining_since: None,
            exited: false,
            options,
        }
    }

    /// Takes in an event and returns what is to be done, in order.
    pub fn handle(&mut self, now: Now, event: EntryEvent) -> Vec<EntryAction> {
        self.now = self.now.max(now);
        if self.exited {
            return Vec::new();
        }
        // Times come first: a process that stood still must not act on what has expired.
        self.end_due_batches();
        self.settle_lost();
        self.dispatch_event(event);
        self.place_waiting();
        self.check_drain();
        self.flush();
        std::mem::take(&mut self.out)
    }

    /// When [`EntryEvent::Wake`] is due.
    pub fn next_wake(&self) -> Option<Now> {
        let times = [
            self.table.next_wake(),
            self.peers.next_wake(),
            self.lost.values().min().copied(),
            self.draining_since.map(|since| {
                if self.now < since + SERVE_ON {
                    since + SERVE_ON
                } else {
                    since + DRAIN_LIMIT
                }
            }),
        ];
        let soonest = times.into_iter().flatten().min()?;
        Some(soonest.max(self.now + Duration::from_millis(1)))
    }

    /// Whether the balancer should send new connections.
    pub fn is_ready(&self) -> bool {
        let has_config = self.config.table().is_some();
        has_config && self.draining_since.is_none() && self.board.usable(self.now) > 0
    }

    /// Whether connections should be given up after their next answer.
    pub fn is_draining(&self) -> bool {
        self.draining_since.is_some()
    }

    /// Figures for the metrics page.
    pub fn levels(&self) -> EntryLevels {
        EntryLevels {
            batches: self.table.len() as u64,
            targets: self.board.usable(self.now) as u64,
            config_version: self.config.version(),
        }
    }

    /// Largest body that the configuration allows.
    pub fn body_limit(&self) -> Option<usize> {
        self.config.table().map(|t| t.limits.body_bytes)
    }

    fn dispatch_event(&mut self, event: EntryEvent) {
        match event {
            EntryEvent::Wake => self.wake(),
            EntryEvent::Submit(submission) => self.submit(submission),
            EntryEvent::CallerGone(request) => self.caller_gone(request),
            EntryEvent::Ask(question) => self.ask(&question),
            EntryEvent::Cancel(question) => self.cancel(&question),
            EntryEvent::Config(table) => self.offer_config(&table, "store"),
            EntryEvent::Entries(addresses) => self.learn_entries(None, addresses),
            EntryEvent::LinkUp(link, dialled) => self.link_up(link, dialled),
            EntryEvent::LinkDown(link) => self.link_down(link),
            EntryEvent::Packet(link, Packet::FromAgent(packet)) => self.agent_packet(link, packet),
            EntryEvent::Packet(link, Packet::BetweenEntries(packet)) => {
                self.peer_packet(link, packet);
            }
            EntryEvent::Packet(link, Packet::FromEntry(_)) => {
                self.out.push(EntryAction::Close(link))
            }
            EntryEvent::Drain => self.drain(),
        }
    }

    fn log(&mut self, code: EventCode, detail: String) {
        self.out.push(EntryAction::Log(LogEvent::new(code, detail)));
    }

    fn wake(&mut self) {
        let seeds = self.options.seeds.clone();
        self.learn_entries(None, seeds);
        for link in self.peers.silent(self.now) {
            self.out.push(EntryAction::Close(link));
            self.link_down(link);
        }
        let before = self.now.saturating_sub(SILENT_AGENT);
        for link in self.board.silent(before) {
            self.out.push(EntryAction::Close(link));
            self.link_down(link);
        }
    }

    // Callers.

    fn queue_of(&self, host: &str, path: &str) -> Result<Arc<Queue>, Reply> {
        let Some(table) = self.config.table() else {
            return Err(refused(Refusal::NoConfig));
        };
        table.find(host, path).cloned().ok_or(Reply::NoQueue)
    }

    fn submit(&mut self, submission: Submission) {
        let request = submission.request;
        let id = submission.spec.id;
        match self.admit(submission) {
            Ok(()) => self.needs_placing = true,
            Err(reply) => {
                let version = self.config.version();
                self.log(
                    EventCode::BatchRefused,
                    format!("job={id:016x} config={version} answer={reply:?}"),
                );
                self.out.push(EntryAction::Reply(request, reply));
            }
        }
    }

    fn admit(&mut self, submission: Submission) -> Result<(), Reply> {
        let Submission {
            request,
            host,
            path,
            spec,
            patience,
        } = submission;
        let queue = self.queue_of(&host, &path)?;
        if let Some(unsupported) = spec.unsupported {
            return Err(refused(Refusal::Unsupported(unsupported)));
        }
        if queue.needs_advice {
            return Err(refused(Refusal::Unsupported(Unsupported::Advice)));
        }
        if self.would_outlast_drain(&spec) {
            return Err(refused(Refusal::Draining));
        }
        let times = self.times_of(&spec, &queue, patience);
        if self.table.get(spec.id).is_some() {
            return self.admit_again(&spec, request, times);
        }
        let tasks: u32 = spec.steps.iter().map(|s| s.count).sum();
        let objective_ms = (times.due - times.arrived).as_millis();
        let usable = self.board.usable(self.now);
        self.log(
            EventCode::BatchAdmitted,
            format!(
                "job={:016x} queue={} tasks={tasks} objective_ms={objective_ms} patience_ms={} \
                 config={} targets={usable} held={}",
                spec.id,
                queue.name,
                patience.as_millis(),
                self.config.version(),
                self.table.len(),
            ),
        );
        let batch = Batch::new(&spec, queue, request, times);
        self.table.insert(spec.id, batch);
        Ok(())
    }

    /// Whether a stopping entry could not see a batch through: callers with open connections send
    /// for longer than the balancer does.
    fn would_outlast_drain(&self, spec: &BatchSpec) -> bool {
        self.draining_since.is_some_and(|since| {
            let needs = spec.longest_chain() * DRAIN_MARGIN + DRAIN_SLACK;
            self.now >= since + SERVE_ON && self.now + needs > since + DRAIN_LIMIT
        })
    }

    /// The same batch again: the caller's connection broke, and what ran of it may not be over
    /// yet. Its tasks go on from where they are.
    fn admit_again(
        &mut self,
        spec: &BatchSpec,
        request: RequestId,
        times: BatchTimes,
    ) -> Result<(), Reply> {
        let id = spec.id;
        let before = self.table.take_request(id);
        if let Some(before) = before {
            self.out.push(EntryAction::Reply(before, Reply::GaveUp));
        }
        self.log(
            EventCode::BatchAdmitted,
            format!("job={id:016x} again=true"),
        );
        self.table.reopen(id, request, times);
        Ok(())
    }

    fn times_of(&self, spec: &BatchSpec, queue: &Queue, patience: Duration) -> BatchTimes {
        let arrived = self.now;
        let chain = spec.longest_chain();
        let objective = chain.mul_f64(queue.stretch) + queue.target_latency;
        let latest = objective.saturating_sub(chain.mul_f64(SLOWEST_SOUND));
        let mut wait = latest.max(objective.mul_f64(WAIT_SHARE));
        if self.board.usable(self.now) == 0 {
            wait = wait.max(WAIT_FOR_TARGETS);
        }
        BatchTimes {
            arrived,
            due: arrived + objective,
            give_up: arrived + patience,
            place_by: arrived + wait.min(patience),
        }
    }

    fn caller_gone(&mut self, request: RequestId) {
        let Some(id) = self.table.of_request(request) else {
            return;
        };
        self.table.take_request(id);
        let age_ms = self.table.age(self.now, id).as_millis();
        self.log(
            EventCode::BatchClosed,
            format!("job={id:016x} why=caller_gone age_ms={age_ms}"),
        );
        self.close(id, CloseReason::CallerGone);
        if self.table.get(id).is_some() {
            self.peers.tell_others(None, &PeerNews::Closing(vec![id]));
        }
    }

    fn ask(&mut self, question: &Question) {
        let reply = match self.queue_of(&question.host, &question.path) {
            Err(reply) => reply,
            Ok(queue) => match question.batch {
                None => Reply::Pending(self.table.pending(&queue.name)),
                Some(id) => self.state_of(id),
            },
        };
        self.out.push(EntryAction::Reply(question.request, reply));
    }

    fn state_of(&self, id: BatchId) -> Reply {
        match self.table.get(id) {
            None => Reply::NoBatch,
            Some(batch) if batch.is_tried => Reply::Running,
            Some(_) => Reply::Waiting,
        }
    }

    fn cancel(&mut self, question: &Question) {
        let id = question.batch.filter(|id| self.table.get(*id).is_some());
        let Some(id) = id else {
            self.out
                .push(EntryAction::Reply(question.request, Reply::NoBatch));
            return;
        };
        self.log(
            EventCode::BatchClosed,
            format!("job={id:016x} why=cancelled"),
        );
        if let Some(request) = self.table.take_request(id) {
            self.out.push(EntryAction::Reply(request, Reply::Cancelled));
        }
        self.close(id, CloseReason::Cancelled);
        self.out
            .push(EntryAction::Reply(question.request, Reply::Cancelled));
    }

    /// Stops what runs of a batch and starts nothing more of it.
    fn close(&mut self, id: BatchId, reason: CloseReason) {
        let stops = self.table.close(id, reason);
        for (key, agent) in stops {
            self.order_stop(key, &agent);
        }
        if self.table.get(id).is_some_and(|b| b.out == 0) {
            self.closed(id);
        }
    }

    /// A batch that is not wanted has nothing out any more.
    fn closed(&mut self, id: BatchId) {
        let Some(batch) = self.table.remove(id) else {
            return;
        };
        if batch.state == BatchState::Closing(CloseReason::CallerGone) && batch.is_tried {
            self.peers.tell_others(None, &PeerNews::Closed(vec![id]));
        }
        if let Some(request) = batch.request {
            let reply = if batch.is_tried {
                Reply::GaveUp
            } else {
                busy()
            };
            self.answer(id, &batch, request, reply);
        }
    }

    fn answer(&mut self, id: BatchId, batch: &Batch, request: RequestId, reply: Reply) {
        let took = self.now.saturating_sub(batch.arrived).as_millis() as u64;
        let objective = batch.due.saturating_sub(batch.arrived).as_millis() as u64;
        let queue = &batch.queue.name;
        let usable = self.board.usable(self.now);
        self.log(
            EventCode::BatchAnswered,
            format!(
                "job={id:016x} queue={queue} answer={reply:?} took_ms={took} \
                 objective_ms={objective} tried={} targets={usable}",
                batch.is_tried
            ),
        );
        if reply == Reply::Succeeded {
            self.out.push(EntryAction::Measured(took, objective));
        }
        self.out.push(EntryAction::Reply(request, reply));
    }

    fn order_stop(&mut self, key: RunKey, agent: &str) {
        // Without a link the agent's own rules stop it: the entry's lease there runs out.
        let Some(link) = self.board.link_of(agent) else {
            return;
        };
        if let Some(outbox) = self.outboxes.get_mut(&link) {
            outbox.orders.push(Order::Stop(vec![key]));
        }
    }

    fn end_due_batches(&mut self) {
        for id in self.table.take_woken(self.now) {
            let Some(batch) = self.table.get(id) else {
                continue;
            };
            if batch.state != BatchState::Open {
                continue;
            }
            if batch.give_up <= self.now {
                let out = batch.out;
                self.log(
                    EventCode::BatchClosed,
                    format!("job={id:016x} why=deadline out={out}"),
                );
                self.close(id, CloseReason::Deadline);
            } else if batch.place_by <= self.now && !batch.is_tried {
                self.close(id, CloseReason::Deadline);
            }
        }
    }

    // Runs.

    fn place_waiting(&mut self) {
        if !self.needs_placing {
            return;
        }
        self.needs_placing = false;
        let mut misses = 0;
        let ids: Vec<BatchId> = self.table.in_order().collect();
        for id in ids {
            if !self.place(id) {
                misses += 1;
                if misses >= MOST_MISSES {
                    break;
                }
            }
        }
    }

    /// Places what waits of a batch; false if some of it found no room.
    fn place(&mut self, id: BatchId) -> bool {
        if self.elsewhere.held_until(self.now, id).is_some() {
            return true;
        }
        let Some(batch) = self.table.get(id) else {
            return true;
        };
        let steps = batch.steps.len();
        let mut all_placed = true;
        for step in 0..steps {
            if self.table.get(id).is_some_and(|b| b.is_ready(step)) {
                all_placed &= self.place_step(id, step);
            }
        }
        self.table.note_waiting(id);
        all_placed
    }

    fn place_step(&mut self, id: BatchId, step: usize) -> bool {
        let Some(batch) = self.table.get(id) else {
            return true;
        };
        let queue = batch.queue.clone();
        let spec = batch.steps[step].spec.clone();
        let waiting: Vec<(u16, u32, Option<NodeName>)> = batch.steps[step]
            .tasks
            .iter()
            .enumerate()
            .filter(|(_, t)| t.state == TaskState::Waiting)
            .map(|(index, t)| (index as u16, t.run, t.avoid.clone()))
            .collect();
        let mut by_link: BTreeMap<SessionId, Vec<(u16, u32)>> = BTreeMap::new();
        let mut all_placed = true;
        for (index, run, avoid) in waiting {
            let need = Need {
                size: spec.size,
                queue: &queue,
                required_label: spec.required_label.as_deref(),
                preferred_rack: spec.preferred_rack.as_deref(),
                avoid: avoid.as_deref(),
            };
            let table = &self.table;
            let most = spec.most_per_target;
            let is_full = |view: &crate::target_board::TargetView| {
                most.is_some_and(|most| table.step_outs_at(&view.agent, id, step as u16) >= most)
            };
            let hall = &self.options.hall;
            let chosen = self
                .board
                .choose(self.now, &need, hall, is_full, &mut self.rng);
            let Some(link) = chosen else {
                all_placed = false;
                break;
            };
            self.note_placed(id, step, index, run, link, spec.size);
            by_link.entry(link).or_default().push((index, run));
        }
        for (link, runs) in by_link {
            self.order_start(id, step, link, runs);
        }
        all_placed
    }

    fn note_placed(
        &mut self,
        id: BatchId,
        step: usize,
        index: u16,
        run: u32,
        link: SessionId,
        size: Resources,
    ) {
        let Some(view) = self.board.get(link) else {
            return;
        };
        let agent = view.agent.clone();
        let key = RunKey {
            task: crate::run::TaskKey {
                batch: id,
                time: 0,
                step: step as u16,
                index,
            },
            run,
        };
        self.board.sent_start(self.now, link, size);
        self.table.note_out(self.now, key, &agent);
    }

    fn order_start(&mut self, id: BatchId, step: usize, link: SessionId, runs: Vec<(u16, u32)>) {
        let (Some(batch), Some(view)) = (self.table.get(id), self.board.get(link)) else {
            return;
        };
        let spec = &batch.steps[step].spec;
        let start_by = view.agent_clock(self.now) + START_WINDOW.as_millis() as AgentMillis;
        let order = StartOrder {
            batch: id,
            step: step as u16,
            service: batch.queue.service.clone(),
            payload: batch.payload.clone(),
            size: spec.size,
            estimate_ms: spec.estimate.as_millis() as u32,
            start_by,
            runs,
        };
        let age_ms = self.now.saturating_sub(batch.arrived).as_millis();
        let heard_ms = self.now.saturating_sub(view.heard).as_millis();
        let detail = format!(
            "job={id:016x} step={step} agent={} runs={:?} age_ms={age_ms} heard_ms_ago={heard_ms} \
             pace={:.2}",
            view.agent,
            order.runs,
            view.pace(),
        );
        self.log(EventCode::TasksPlaced, detail);
        if let Some(outbox) = self.outboxes.get_mut(&link) {
            outbox.orders.push(Order::Start(order));
        }
    }

    fn run_over(&mut self, key: RunKey, over: RunOver) {
        let id = key.task.batch;
        self.needs_placing = true;
        match self.table.run_over(key, over) {
            BatchNews::None => {}
            BatchNews::Closed => self.closed(id),
            BatchNews::Done => {
                if let Some(batch) = self.table.remove(id)
                    && let Some(request) = batch.request
                {
                    self.answer(id, &batch, request, Reply::Succeeded);
                }
            }
            BatchNews::Failed => self.failed(id),
        }
    }

    /// A task has used up its attempts. The caller hears it at once; the rest is stopped.
    fn failed(&mut self, id: BatchId) {
        let request = self.table.take_request(id);
        if let (Some(request), Some(batch)) = (request, self.table.get(id)) {
            let took = self.now.saturating_sub(batch.arrived).as_millis();
            let queue = batch.queue.name.clone();
            self.log(
                EventCode::BatchAnswered,
                format!("job={id:016x} queue={queue} answer=Failed took_ms={took}"),
            );
            self.out.push(EntryAction::Reply(request, Reply::Failed));
        }
        self.close(id, CloseReason::Failed);
    }

    fn settle_lost(&mut self) {
        let due = self.lost.iter().filter(|(_, at)| **at <= self.now);
        let due: Vec<NodeName> = due.map(|(agent, _)| agent.clone()).collect();
        for agent in due {
            self.lost.remove(&agent);
            let keys = self.table.outs_at(&agent);
            let runs = keys.len();
            self.log(
                EventCode::AgentGone,
                format!("agent={agent} runs={runs} proof=time"),
            );
            for key in keys {
                self.run_over(key, RunOver::Again { superseded: false });
            }
        }
    }

    // Agents.

    fn link_up(&mut self, link: SessionId, dialled: bool) {
        if dialled {
            let intro = self.peer_intro();
            let packet = PeerPacket {
                news: vec![PeerNews::Hello(intro)],
            };
            self.out
                .push(EntryAction::Send(link, Packet::BetweenEntries(packet)));
        }
    }

    fn link_down(&mut self, link: SessionId) {
        if let Some(peer) = self.peers.leave(link) {
            self.log(EventCode::PeerLost, format!("entry={}", peer.name));
        }
        self.outboxes.remove(&link);
        let Some(view) = self.board.leave(link) else {
            return;
        };
        let out = self.table.outs_at(&view.agent).len();
        let silent_ms = self.now.saturating_sub(view.heard).as_millis();
        let agent = view.agent;
        self.log(
            EventCode::AgentLost,
            format!("agent={agent} runs={out} heard_ms_ago={silent_ms}"),
        );
        if out > 0 {
            self.lost.insert(agent, view.sent + LOST_PROOF);
        }
    }

    fn agent_packet(&mut self, link: SessionId, packet: AgentPacket) {
        for news in &packet.news {
            if let AgentNews::Hello(intro) = news {
                self.agent_joined(link, intro.clone(), packet.clock);
            }
        }
        self.board.heard(
            self.now,
            link,
            packet.clock,
            packet.free,
            packet.starts_seen,
        );
        self.needs_placing |= self.table.has_waiting();
        for news in packet.news {
            self.agent_news(link, news);
        }
        let is_quiet = self
            .board
            .get(link)
            .is_some_and(|v| v.sent + ANSWER_AFTER <= self.now);
        if is_quiet {
            self.send_orders(link);
        }
    }

    fn agent_joined(
        &mut self,
        link: SessionId,
        intro: crate::run_message::AgentIntro,
        clock: AgentMillis,
    ) {
        if let Some(old) = self.board.link_of(&intro.name) {
            self.out.push(EntryAction::Close(old));
            self.board.leave(old);
            self.outboxes.remove(&old);
        }
        let keys = self.table.outs_at(&intro.name);
        let stopping = keys.iter().copied();
        let stopping: Vec<RunKey> = stopping.filter(|k| self.table.is_stopping(*k)).collect();
        let claims: Vec<(RunKey, Resources)> = keys
            .into_iter()
            .filter_map(|key| {
                let batch = self.table.get(key.task.batch)?;
                let step = batch.steps.get(usize::from(key.task.step))?;
                Some((key, step.spec.size))
            })
            .collect();
        let count = claims.len();
        self.log(
            EventCode::AgentJoined,
            format!("agent={} life={:x} claims={count}", intro.name, intro.life),
        );
        self.lost.remove(&intro.name);
        self.board.join(self.now, link, intro.name, intro.hall);
        self.board.heard(self.now, link, clock, Resources::NONE, 0);
        let mut entries = self.peers.known();
        entries.push(self.options.address);
        let welcome = Welcome {
            name: self.options.name.clone(),
            life: self.options.life,
            entries,
            claims,
        };
        let mut outbox = Outbox {
            orders: vec![Order::Welcome(welcome)],
        };
        // An order to stop may have been lost with the link before.
        if !stopping.is_empty() {
            outbox.orders.push(Order::Stop(stopping));
        }
        self.outboxes.insert(link, outbox);
    }

    fn agent_news(&mut self, link: SessionId, news: AgentNews) {
        match news {
            AgentNews::Hello(_) => {}
            AgentNews::Target(info) => {
                if let Some(view) = self.board.get_mut(link) {
                    view.info = info;
                }
            }
            AgentNews::Ended { key, end, ran_ms } => self.run_ended(link, key, end, ran_ms),
            AgentNews::NotStarted { key, reason } => self.run_not_started(link, key, reason),
            AgentNews::Slow {
                key,
                ran_ms,
                percent,
            } => self.run_slow(link, key, ran_ms, percent),
            AgentNews::Leaving => {
                if let Some(view) = self.board.get_mut(link) {
                    view.is_leaving = true;
                    let agent = view.agent.clone();
                    self.log(EventCode::AgentLeaving, format!("agent={agent}"));
                }
            }
        }
    }

    fn estimate_of(&self, key: RunKey) -> Option<Duration> {
        let batch = self.table.get(key.task.batch)?;
        let step = batch.steps.get(usize::from(key.task.step))?;
        (step.spec.estimate > Duration::ZERO).then_some(step.spec.estimate)
    }

    fn run_ended(&mut self, link: SessionId, key: RunKey, end: RunEnd, ran_ms: u32) {
        let ran = Duration::from_millis(u64::from(ran_ms));
        let estimate = self.estimate_of(key);
        let over = match end {
            RunEnd::Done => RunOver::Done,
            RunEnd::Failed => RunOver::Failed,
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Lost => RunOver::Again { superseded: false },
        };
        match (end, estimate) {
            (RunEnd::Done, Some(estimate)) if ran > Duration::ZERO => {
                let pace = ran.as_secs_f64() / estimate.as_secs_f64();
                self.learn(link, Outcome::Done(pace));
            }
            (RunEnd::Failed, _) => self.learn(link, Outcome::Failed),
            _ => {}
        }
        if over != RunOver::Done {
            let agent = self.board.get(link).map(|v| v.agent.clone());
            let agent = agent.as_deref().unwrap_or("-");
            self.log(
                EventCode::TaskAgain,
                format!("run={key} agent={agent} end={end:?} ran_ms={ran_ms}"),
            );
        }
        self.run_over(key, over);
    }

    fn run_not_started(&mut self, link: SessionId, key: RunKey, reason: NotStarted) {
        let agent = self.board.get(link).map(|v| v.agent.clone());
        let agent = agent.as_deref().unwrap_or("-");
        self.log(
            EventCode::TaskAgain,
            format!("run={key} agent={agent} not_started={reason:?}"),
        );
        if matches!(reason, NotStarted::Unhealthy | NotStarted::Unreachable) {
            self.learn(link, Outcome::Unwell);
        }
        let superseded = reason == NotStarted::Superseded;
        self.run_over(key, RunOver::Again { superseded });
    }

    fn learn(&mut self, link: SessionId, outcome: Outcome) {
        let verdict = self.board.learn(self.now, link, outcome);
        self.log_verdict(link, verdict, &format!("{outcome:?}"));
    }

    fn log_verdict(&mut self, link: SessionId, verdict: Verdict, cause: &str) {
        let code = match verdict {
            Verdict::Same => return,
            Verdict::SetAside => EventCode::TargetSetAside,
            Verdict::Returned => EventCode::TargetReturned,
        };
        if let Some(view) = self.board.get(link) {
            let agent = view.agent.clone();
            self.log(code, format!("agent={agent} last={cause}"));
        }
    }

    /// Moves a slow run if another target would end it sooner, the stop counted.
    fn run_slow(&mut self, link: SessionId, key: RunKey, ran_ms: u32, percent: u32) {
        let Some(estimate) = self.estimate_of(key) else {
            return;
        };
        let ran = Duration::from_millis(u64::from(ran_ms));
        let percent = percent.clamp(1, 100);
        let whole = ran.mul_f64(100.0 / f64::from(percent));
        let pace = whole.as_secs_f64() / estimate.as_secs_f64();
        let batch = key.task.batch;
        let slow = SlowRun { pace, percent };
        let verdict = self.board.found_slow(self.now, link, batch, slow);
        self.log_verdict(link, verdict, "slow");
        let rest = whole.saturating_sub(ran);
        let elsewhere = estimate + MOVE_COST;
        if elsewhere > rest.mul_f64(MOVE_GAIN) {
            return;
        }
        let Some(agent) = self.board.get(link).map(|v| v.agent.clone()) else {
            return;
        };
        let Some(batch) = self.table.get_mut(key.task.batch) else {
            return;
        };
        if batch.state != BatchState::Open {
            return;
        }
        let step = &mut batch.steps[usize::from(key.task.step)];
        let is_estimate_wrong = step.is_slow_everywhere(&agent);
        if is_estimate_wrong && !self.board.is_outcast(link) {
            return;
        }
        if !self.has_room_elsewhere(key, &agent) {
            return;
        }
        if let Some(agent) = self.table.note_stopping(key) {
            self.log(
                EventCode::TaskMoved,
                format!("run={key} agent={agent} ran_ms={ran_ms} percent={percent}"),
            );
            self.order_stop(key, &agent);
        }
    }

    fn has_room_elsewhere(&mut self, key: RunKey, agent: &NodeName) -> bool {
        let Some(batch) = self.table.get(key.task.batch) else {
            return false;
        };
        let spec = &batch.steps[usize::from(key.task.step)].spec;
        let need = Need {
            size: spec.size,
            queue: &batch.queue,
            required_label: spec.required_label.as_deref(),
            preferred_rack: None,
            avoid: None,
        };
        let is_same = |view: &crate::target_board::TargetView| view.agent == *agent;
        let hall = &self.options.hall;
        let chosen = self
            .board
            .choose(self.now, &need, hall, is_same, &mut self.rng);
        chosen.is_some()
    }

    // Entries and configuration.

    fn peer_intro(&self) -> PeerIntro {
        PeerIntro {
            name: self.options.name.clone(),
            life: self.options.life,
            address: self.options.address,
            config: self.config.version(),
            entries: self.peers.known(),
        }
    }

    fn peer_packet(&mut self, link: SessionId, packet: PeerPacket) {
        self.peers.heard(self.now, link);
        for news in packet.news {
            match news {
                PeerNews::Hello(intro) => self.peer_joined(link, &intro),
                PeerNews::Config(table) => {
                    self.peers.holds(link, table.version);
                    self.offer_config(&table, "entry");
                }
                PeerNews::Entries(addresses) => self.learn_entries(Some(link), addresses),
                PeerNews::Closing(ids) => {
                    for id in ids {
                        self.elsewhere.note(self.now, id, LOST_PROOF);
                    }
                }
                PeerNews::Closed(ids) => {
                    for id in ids {
                        self.needs_placing |= self.elsewhere.over(id);
                    }
                }
                PeerNews::Heartbeat => {}
            }
        }
    }

    fn peer_joined(&mut self, link: SessionId, intro: &PeerIntro) {
        self.log(
            EventCode::PeerJoined,
            format!(
                "entry={} life={:x} config={}",
                intro.name, intro.life, intro.config
            ),
        );
        let is_new = self.peers.join(self.now, link, intro);
        // Both sides say hello; an answer to an answer is not needed.
        if is_new {
            let ours = self.peer_intro();
            self.peers.tell(link, PeerNews::Hello(ours));
        }
        if let Some(table) = self.config.table()
            && table.version > intro.config
        {
            let news = PeerNews::Config(table.clone());
            self.peers.holds(link, table.version);
            self.peers.tell(link, news);
        }
        let mut addresses = intro.entries.clone();
        addresses.push(intro.address);
        self.learn_entries(Some(link), addresses);
    }

    fn learn_entries(&mut self, from: Option<SessionId>, addresses: Vec<SocketAddr>) {
        let own = self.options.address;
        let fresh = self
            .peers
            .learn(addresses.into_iter().filter(|a| *a != own));
        if fresh.is_empty() {
            return;
        }
        self.log(EventCode::EntriesLearnt, format!("addresses={fresh:?}"));
        for address in &fresh {
            self.out.push(EntryAction::Dial(*address));
        }
        self.peers
            .tell_others(from, &PeerNews::Entries(fresh.clone()));
        for outbox in self.outboxes.values_mut() {
            outbox.orders.push(Order::Entries(fresh.clone()));
        }
    }

    fn offer_config(&mut self, table: &Arc<QueueTable>, from: &str) {
        if !self.config.offer(table) {
            return;
        }
        let version = table.version;
        let queues = table.queues.len();
        self.log(
            EventCode::ConfigInForce,
            format!("version={version} queues={queues} from={from}"),
        );
        self.peers
            .tell_config(version, &PeerNews::Config(table.clone()));
    }

    // The end, and packets.

    fn drain(&mut self) {
        if self.draining_since.is_none() {
            self.draining_since = Some(self.now);
            let held = self.table.len();
            self.log(EventCode::Draining, format!("held={held}"));
        }
    }

    fn check_drain(&mut self) {
        let Some(since) = self.draining_since else {
            return;
        };
        let may_end = self.table.is_empty() && self.now >= since + SERVE_ON;
        let must_end = self.now >= since + DRAIN_LIMIT;
        if may_end || must_end {
            let held = self.table.len();
            let code = if held == 0 {
                EventCode::Drained
            } else {
                EventCode::DrainCut
            };
            self.log(code, format!("held={held}"));
            self.give_up_all();
            self.flush();
            self.out.push(EntryAction::Exit);
            self.exited = true;
        }
    }

    /// Answers whoever still waits, so that no connection ends without an answer. Agents stop what
    /// runs within half a second of this process's end.
    fn give_up_all(&mut self) {
        for id in self.table.ids() {
            if let Some(request) = self.table.take_request(id) {
                self.out.push(EntryAction::Reply(request, Reply::GaveUp));
            }
        }
    }

    fn send_orders(&mut self, link: SessionId) {
        let now = self.now;
        let waiting = self.table.waiting_tasks(MOST_COUNTED);
        let (Some(outbox), Some(view)) = (self.outboxes.get_mut(&link), self.board.get_mut(link))
        else {
            return;
        };
        view.sent = now;
        let lease = ENTRY_LEASE.as_millis() as AgentMillis;
        let packet = EntryPacket {
            lease_until: view.agent_clock(now) + lease,
            waiting,
            orders: std::mem::take(&mut outbox.orders),
        };
        self.out
            .push(EntryAction::Send(link, Packet::FromEntry(packet)));
    }

    fn flush(&mut self) {
        let with_orders = self.outboxes.iter().filter(|(_, o)| !o.orders.is_empty());
        let links: Vec<SessionId> = with_orders.map(|(link, _)| *link).collect();
        for link in links {
            self.send_orders(link);
        }
        for (link, news) in self.peers.take_due(self.now) {
            let packet = Packet::BetweenEntries(PeerPacket { news });
            self.out.push(EntryAction::Send(link, packet));
        }
    }
}

/// Figures of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryLevels {
    /// Batches held.
    pub batches: u64,
    /// Targets that may get work.
    pub targets: u64,
    /// Version of the configuration in force.
    pub config_version: u64,
}

fn refused(why: Refusal) -> Reply {
    let retry_after = match why {
        Refusal::Unsupported(_) => None,
        Refusal::NoConfig | Refusal::Busy | Refusal::Draining => Some(RETRY_BUSY),
    };
    Reply::Refused { why, retry_after }
}

fn busy() -> Reply {
    refused(Refusal::Busy)
}
