//! The entry's core on the platform: a deterministic state machine, `(now, event) -> actions`.
//!
//! It routes events to the controllers that own the state: the configuration in force, the
//! batches, the targets' board, the other entries. A task is started again only on proof that its
//! last run is over; docs/design/platform.md lists the proofs.

mod agents;
mod callers;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::backlog_monitor::BacklogMonitor;
use crate::batch_event::{EntryAction, EntryEvent, EntryLevels, EntryOptions, Reply};
use crate::batch_placing::{Placed, PlacementRound};
use crate::batch_table::{BatchNews, BatchTable, RunOutcome};
use crate::deferred_batches::DeferredBatches;
use crate::entry_directory::{EntryDirectory, Source};
use crate::entry_drain::EntryDrain;
use crate::events::{EventCode, LogEvent};
use crate::ids::{NodeName, Now, SessionId};
use crate::link_load::LinkLoad;
use crate::payload::PayloadPacker;
use crate::retry_detector::RetryDetector;
use crate::run::{BatchId, RunKey};
use crate::run_message::{AgentMillis, Order, Packet, PeerPacket, StartOrder};
use crate::target_registry::TargetRegistry;
use crate::wait_forecast::WaitForecast;

/// Batches in a row that find no room before the rest is left for later.
const MOST_MISSES: u32 = 6;

/// A task that found no room tells this much about the time after it. Where the link and the targets
/// are both full, rounds end at the link and don't get to see that room lacks.
const ROOM_LACKS_FOR: Duration = Duration::from_millis(100);

/// Bytes of an answer to a caller, heads included.
const ANSWER_BYTES: usize = 200;

/// What waits to be sent to an agent.
#[derive(Debug, Default)]
struct Outbox {
    /// Orders, sent at once.
    orders: Vec<Order>,
    /// Entries learnt, sent with the next packet: a heartbeat carries them soon enough, and at a
    /// start of 55 entries each agent would have 55 packets of every entry otherwise.
    entries: Vec<SocketAddr>,
}

/// State of an entry.
pub struct BatchEntryCore {
    options: Arc<EntryOptions>,
    now: Now,
    rng: ChaCha8Rng,
    out: Vec<EntryAction>,
    directory: EntryDirectory,
    table: BatchTable,
    targets: TargetRegistry,
    outboxes: BTreeMap<SessionId, Outbox>,
    /// Agents that are lost with runs out, and when these are proven over.
    lost: BTreeMap<NodeName, Now>,
    needs_placing: bool,
    drain: EntryDrain,
    early: DeferredBatches,
    retry_detector: RetryDetector,
    standing: BacklogMonitor,
    forecast: WaitForecast,
    link: LinkLoad,
    /// When a task last found no target with room.
    lacked_room: Option<Now>,
    /// When the link has room again for what waits.
    link_full_until: Option<Now>,
    packer: PayloadPacker,
    exited: bool,
}

impl BatchEntryCore {
    /// A new life of an entry.
    pub fn new(options: EntryOptions) -> Self {
        let options = Arc::new(options);
        Self {
            now: Now::ZERO,
            rng: ChaCha8Rng::seed_from_u64(options.seed ^ options.incarnation),
            out: Vec::new(),
            directory: EntryDirectory::new(options.clone(), options.timings.lost_proof),
            table: BatchTable::default(),
            targets: TargetRegistry::default(),
            outboxes: BTreeMap::new(),
            lost: BTreeMap::new(),
            needs_placing: false,
            drain: EntryDrain::new(&options.timings),
            early: DeferredBatches::default(),
            retry_detector: RetryDetector::default(),
            standing: BacklogMonitor::default(),
            forecast: WaitForecast::default(),
            link: LinkLoad::new(options.link_rate),
            lacked_room: None,
            link_full_until: None,
            packer: PayloadPacker::default(),
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
        self.settle_deferred();
        if self.link_full_until.is_some_and(|until| until <= self.now) {
            self.link_full_until = None;
            self.needs_placing = true;
        }
        self.place_waiting();
        // What waits for this VM's link says nothing of the room at targets.
        let waits_for_room = self.table.has_waiting() && self.lacks_room();
        self.standing.note(self.now, waits_for_room);
        self.forecast.note_waiting(self.now, waits_for_room);
        self.check_drain();
        self.flush();
        self.note_traffic();
        std::mem::take(&mut self.out)
    }

    /// Notes what goes through this VM's link.
    fn note_traffic(&mut self) {
        for action in &self.out {
            let bytes = match action {
                EntryAction::Send(_, packet) => packet.rough_bytes(),
                EntryAction::Reply(..) => ANSWER_BYTES,
                _ => continue,
            };
            self.link.sent(self.now, bytes);
        }
    }

    /// When [`EntryEvent::Wake`] is due.
    pub fn next_wake(&self) -> Option<Now> {
        let times = [
            self.table.next_wake(),
            self.directory.next_wake(),
            self.lost.values().min().copied(),
            self.drain.next_wake(self.now),
            self.early.next_wake(),
            self.link_full_until,
        ];
        let soonest = times.into_iter().flatten().min()?;
        Some(soonest.max(self.now + Duration::from_millis(1)))
    }

    /// Whether the balancer should send new connections.
    pub fn is_ready(&self) -> bool {
        let has_config = self.directory.config().table().is_some();
        // Without a target for evacuations alone, callers are best told so at once.
        has_config && !self.drain.has_begun() && self.targets.reachable(self.now) > 0
    }

    /// Whether connections should be given up after their next answer.
    pub fn is_draining(&self) -> bool {
        self.drain.has_begun()
    }

    /// Figures for the metrics page.
    pub fn levels(&self) -> EntryLevels {
        EntryLevels {
            batches: self.table.len() as u64,
            targets: self.targets.usable(self.now) as u64,
            config_version: self.directory.config().version(),
            evacuated_halls: self.directory.evacuations().halls.len() as u64,
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
            EntryEvent::Config(table) => self.directory.offer_config(self.now, &table, "store"),
            EntryEvent::Evacuations(state) => {
                if self.directory.store_answered(self.now, &state) {
                    self.evacuations_changed();
                }
            }
            EntryEvent::Entries(addresses) => self.learn_entries(addresses),
            EntryEvent::LinkUp(link, dialled) => self.link_up(link, dialled),
            EntryEvent::LinkDown(link) => {
                self.link_down(link);
                self.targets.note_entries(self.directory.entries_a_target());
            }
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
        let before = self.now.saturating_sub(self.options.timings.silent_link);
        for link in self.targets.silent(before) {
            self.out.push(EntryAction::Close(link));
            self.link_down(link);
        }
    }

    /// Whether targets lack room, as far as is known: what waits then may wait for this VM's link.
    fn lacks_room(&self) -> bool {
        let at = self.lacked_room;
        at.is_some_and(|at| at + ROOM_LACKS_FOR > self.now)
    }

    // Runs.

    fn place_waiting(&mut self) {
        if !self.needs_placing {
            return;
        }
        self.needs_placing = false;
        self.refuse_what_came_to_be_hopeless();
        let ids: Vec<BatchId> = self.table.in_order().collect();
        let directory = &self.directory;
        let mut placing = PlacementRound {
            now: self.now,
            hall: &self.options.hall,
            table: &mut self.table,
            targets: &mut self.targets,
            link: &mut self.link,
            rng: &mut self.rng,
            placed: Vec::new(),
            lacked_room: false,
        };
        let mut misses = 0;
        for id in ids {
            if placing.link.full_until(self.now).is_some() {
                break;
            }
            let is_held = directory.is_closing_at_peer(self.now, id);
            if !is_held && !placing.place(id) {
                misses += 1;
            }
            if misses >= MOST_MISSES {
                break;
            }
        }
        let placed = placing.placed;
        // Without any target, what waits is news of targets and not room.
        if placing.lacked_room && placing.targets.usable(self.now) > 0 {
            self.lacked_room = Some(self.now);
        }
        self.link_full_until = self.link.full_until(self.now);
        for placed in placed {
            self.order_start(placed);
        }
    }

    fn order_start(&mut self, placed: Placed) {
        let Placed {
            link,
            batch: id,
            step,
            runs,
            alone,
            needs_payload,
        } = placed;
        let (Some(batch), Some(view)) = (self.table.get(id), self.targets.get(link)) else {
            return;
        };
        let spec = &batch.steps[step].spec;
        let window = self.options.timings.start_window.as_millis() as AgentMillis;
        let start_by = view.agent_clock(self.now) + window;
        self.forecast.note_placed(self.now, runs.len() as u32);
        let order = StartOrder {
            batch: id,
            step: step as u16,
            service: batch.queue.service.clone(),
            payload: needs_payload.then(|| batch.payload.clone()),
            size: spec.size,
            estimate_ms: spec.estimate.as_millis() as u32,
            start_by,
            alone,
            runs,
        };
        let age_ms = self.now.saturating_sub(batch.arrived).as_millis();
        let heard_ms = self.now.saturating_sub(view.heard).as_millis();
        let detail = format!(
            "job={id:016x} step={step} agent={} runs={:?} alone={alone} age_ms={age_ms} heard_ms_ago={heard_ms} \
             pace={:.2}",
            view.agent,
            order.runs,
            view.slowdown(),
        );
        self.log(EventCode::TasksPlaced, detail);
        if let Some(outbox) = self.outboxes.get_mut(&link) {
            outbox.orders.push(Order::Start(order));
        }
    }

    fn run_over(&mut self, key: RunKey, over: RunOutcome) {
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

    fn settle_lost(&mut self) {
        let due = self.lost.iter().filter(|(_, at)| **at <= self.now);
        let due: Vec<NodeName> = due.map(|(agent, _)| agent.clone()).collect();
        for agent in due {
            self.lost.remove(&agent);
            let keys = self.table.runs_at(&agent);
            let runs = keys.len();
            self.log(
                EventCode::AgentGone,
                format!("agent={agent} runs={runs} proof=time"),
            );
            for key in keys {
                self.run_over(key, RunOutcome::Retry { superseded: false });
            }
        }
    }

    // The end, and packets.

    fn learn_entries(&mut self, addresses: Vec<SocketAddr>) {
        let fresh = self.directory.learn(self.now, Source::Platform, addresses);
        self.tell_agents(fresh);
    }

    fn tell_agents(&mut self, entries: Vec<SocketAddr>) {
        if entries.is_empty() {
            return;
        }
        for outbox in self.outboxes.values_mut() {
            outbox.entries.extend(&entries);
        }
    }

    fn peer_packet(&mut self, link: SessionId, packet: PeerPacket) {
        let effects = self.directory.packet(self.now, link, packet);
        self.targets.note_entries(self.directory.entries_a_target());
        self.tell_agents(effects.entries);
        self.needs_placing |= effects.may_place;
        if effects.evacuations_changed {
            self.evacuations_changed();
        }
    }

    /// Obeys other evacuations from now on, and has the agents obey them.
    fn evacuations_changed(&mut self) {
        let state = self.directory.evacuations().clone();
        self.targets.note_evacuations(&state);
        for outbox in self.outboxes.values_mut() {
            outbox.orders.push(Order::Evacuations(state.clone()));
        }
        self.refuse_evacuated();
        self.needs_placing = true;
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
