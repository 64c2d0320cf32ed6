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
use crate::batch_event::{
    EntryAction, EntryEvent, EntryLevels, EntryOptions, Question, Refusal, Reply, Submission,
};
use crate::batch_placing::{Placed, Placing};
use crate::batch_table::{
    Batch, BatchNews, BatchState, BatchTable, BatchTimes, CloseReason, RunOver,
};
use crate::entry_directory::EntryDirectory;
use crate::entry_drain::EntryDrain;
use crate::events::{EventCode, LogEvent};
use crate::ids::{NodeName, Now, RequestId, SessionId};
use crate::queue::Queue;
use crate::resources::Resources;
use crate::run::{BatchId, NotStarted, RunEnd, RunKey};
use crate::run_message::{
    AgentMillis, AgentNews, AgentPacket, EntryPacket, Order, Packet, PeerPacket, StartOrder,
    Welcome,
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
/// How much longer than estimated work may take on the slowest sound targets. What the objective
/// leaves beyond that is a batch's slack; what waits longer would be late and make others late.
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
/// Orders that wait to be sent to an agent.
#[derive(Debug, Default)]
struct Outbox {
    orders: Vec<Order>,
}

/// State of an entry.
pub struct BatchEntry {
    options: Arc<EntryOptions>,
    now: Now,
    rng: ChaCha8Rng,
    out: Vec<EntryAction>,
    directory: EntryDirectory,
    table: BatchTable,
    board: TargetBoard,
    outboxes: BTreeMap<SessionId, Outbox>,
    /// Agents that are lost with runs out, and when these are proven over.
    lost: BTreeMap<NodeName, Now>,
    needs_placing: bool,
    drain: EntryDrain,
    exited: bool,
}

impl BatchEntry {
    /// A new life of an entry.
    pub fn new(options: EntryOptions) -> Self {
        let options = Arc::new(options);
        Self {
            now: Now::ZERO,
            rng: ChaCha8Rng::seed_from_u64(options.seed ^ options.life),
            out: Vec::new(),
            directory: EntryDirectory::new(options.clone(), LOST_PROOF),
            table: BatchTable::default(),
            board: TargetBoard::default(),
            outboxes: BTreeMap::new(),
            lost: BTreeMap::new(),
            needs_placing: false,
            drain: EntryDrain::default(),
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
            self.directory.next_wake(),
            self.lost.values().min().copied(),
            self.drain.next_wake(self.now),
        ];
        let soonest = times.into_iter().flatten().min()?;
        Some(soonest.max(self.now + Duration::from_millis(1)))
    }

    /// Whether the balancer should send new connections.
    pub fn is_ready(&self) -> bool {
        let has_config = self.directory.config().table().is_some();
        has_config && !self.drain.has_begun() && self.board.usable(self.now) > 0
    }

    /// Whether connections should be given up after their next answer.
    pub fn is_draining(&self) -> bool {
        self.drain.has_begun()
    }

    /// Figures for the metrics page.
    pub fn levels(&self) -> EntryLevels {
        EntryLevels {
            batches: self.table.len() as u64,
            targets: self.board.usable(self.now) as u64,
            config_version: self.directory.config().version(),
        }
    }

    /// Largest body that the configuration allows.
    pub fn body_limit(&self) -> Option<usize> {
        self.directory.config().table().map(|t| t.limits.body_bytes)
    }

    fn dispatch_event(&mut self, event: EntryEvent) {
        match event {
            EntryEvent::Wake => self.wake(),
            EntryEvent::Submit(submission) => self.submit(submission),
            EntryEvent::CallerGone(request) => self.caller_gone(request),
            EntryEvent::Ask(question) => self.ask(&question),
            EntryEvent::Cancel(question) => self.cancel(&question),
            EntryEvent::Config(table) => self.directory.offer_config(&table, "store"),
            EntryEvent::Entries(addresses) => self.learn_entries(addresses),
            EntryEvent::LinkUp(link, dialled) => self.link_up(link, dialled),
            EntryEvent::LinkDown(link) => self.link_down(link),
            EntryEvent::Packet(link, Packet::FromAgent(packet)) => self.agent_packet(link, packet),
            EntryEvent::Packet(link, Packet::BetweenEntries(packet)) => {
                self.peer_packet(link, packet);
            }
            EntryEvent::Packet(link, Packet::FromEntry(_)) => {
                self.out.push(EntryAction::Close(link))
            }
            EntryEvent::Drain => self.begin_drain(),
        }
    }

    fn log(&mut self, code: EventCode, detail: String) {
        self.out.push(EntryAction::Log(LogEvent::new(code, detail)));
    }

    fn wake(&mut self) {
        let seeds = self.options.seeds.clone();
        self.learn_entries(seeds);
        self.directory.close_silent(self.now);
        let before = self.now.saturating_sub(SILENT_AGENT);
        for link in self.board.silent(before) {
            self.out.push(EntryAction::Close(link));
            self.link_down(link);
        }
    }

    // Callers.

    fn queue_of(&self, host: &str, path: &str) -> Result<Arc<Queue>, Reply> {
        let Some(table) = self.directory.config().table() else {
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
                let version = self.directory.config().version();
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
        let chain = spec.longest_chain();
        if self.drain.would_be_outlasted(self.now, chain) {
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
                self.directory.config().version(),
                self.table.len(),
            ),
        );
        let batch = Batch::new(&spec, queue, request, times);
        self.table.insert(spec.id, batch);
        Ok(())
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
        let slack = objective.saturating_sub(chain.mul_f64(SLOWEST_SOUND));
        let mut wait = slack;
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
            self.directory.tell_closing(id);
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
            self.directory.tell_closed(id);
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
        let ids: Vec<BatchId> = self.table.in_order().collect();
        let directory = &self.directory;
        let mut placing = Placing {
            now: self.now,
            hall: &self.options.hall,
            table: &mut self.table,
            board: &mut self.board,
            rng: &mut self.rng,
            placed: Vec::new(),
        };
        let mut misses = 0;
        for id in ids {
            let is_held = directory.is_closing_elsewhere(self.now, id);
            if !is_held && !placing.place(id) {
                misses += 1;
            }
            if misses >= MOST_MISSES {
                break;
            }
        }
        for placed in placing.placed {
            self.order_start(placed);
        }
    }

    fn order_start(&mut self, placed: Placed) {
        let Placed {
            link,
            batch: id,
            step,
            runs,
        } = placed;
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
            self.directory.greet(link);
        }
    }

    fn link_down(&mut self, link: SessionId) {
        self.directory.link_down(link);
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
        let welcome = Welcome {
            name: self.options.name.clone(),
            life: self.options.life,
            entries: self.directory.entries(),
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
        match reason {
            NotStarted::Unhealthy | NotStarted::Unreachable => self.learn(link, Outcome::Unwell),
            NotStarted::Doubtful => self.learn(link, Outcome::Doubtful),
            _ => {}
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

    // The end, and packets.

    fn learn_entries(&mut self, addresses: Vec<SocketAddr>) {
        let fresh = self.directory.learn(None, addresses);
        self.tell_agents(fresh);
    }

    fn tell_agents(&mut self, entries: Vec<SocketAddr>) {
        if entries.is_empty() {
            return;
        }
        for outbox in self.outboxes.values_mut() {
            outbox.orders.push(Order::Entries(entries.clone()));
        }
    }

    fn peer_packet(&mut self, link: SessionId, packet: PeerPacket) {
        let effects = self.directory.packet(self.now, link, packet);
        self.tell_agents(effects.entries);
        self.needs_placing |= effects.may_place;
    }

    fn begin_drain(&mut self) {
        if self.drain.begin(self.now) {
            let held = self.table.len();
            self.log(EventCode::Draining, format!("held={held}"));
        }
    }

    fn check_drain(&mut self) {
        if !self.drain.is_over(self.now, self.table.is_empty()) {
            return;
        }
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
        let shared = self.directory.flush(self.now);
        self.out.extend(shared);
    }
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
