//! The entry's core on the platform: a deterministic state machine, `(now, event) -> actions`.
//! `entry_node` runs it. `entry_daemon` runs the other core, `entry::EntryCore`, where a batch is
//! called a job.
//!
//! It routes events to the controllers that own the state: the configuration in force, the
//! batches, the targets and the other entries. A task is restarted only on proof that its last run
//! is over; docs/design/platform.md lists the proofs.
//!
//! A link is a connection to an agent or another entry, identified by its [`SessionId`]. The VM's
//! network link carries all of them.

mod agents;
mod callers;
mod cancels;
mod claims;
mod crashes;
mod handover;
mod lease_renewals;
mod starvation;
mod witness;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::backlog_monitor::BacklogMonitor;
use crate::batch_event::{EntryAction, EntryEvent, EntryGauges, EntryOptions, Reply};
use crate::batch_placing::{PlacementRound, StartGroup};
use crate::batch_table::{BatchChange, BatchTable, RunOutcome};
use crate::deferred_batches::DeferredBatches;
use crate::dispatch_reports::DispatchReports;
use crate::entry_directory::{EntryDirectory, Source};
use crate::entry_drain::EntryDrain;
use crate::entry_load::EntryLoad;
use crate::events::{EventCode, LogEvent};
use crate::handover_giver::HandoverGiver;
use crate::handover_receiver::HandoverReceiver;
use crate::handover_share::{HandoverShare, UnreportedWork};
use crate::ids::{NodeName, Now, SessionId};
use crate::link_load::LinkLoad;
use crate::own_claims::OwnClaims;
use crate::payload::PayloadPacker;
use crate::retry_detector::RetryDetector;
use crate::run::{BatchId, RunKey, TaskKey};
use crate::run_message::{AgentMillis, Order, Packet, PeerPacket, StartOrder};
use crate::target_registry::TargetRegistry;
use crate::unnamed_links::UnnamedLinks;
use crate::wait_forecast::WaitForecast;
use crate::witnessed_runs::WitnessedRuns;

/// A placement round ends after this many batches with a task that found no target.
const MAX_PLACEMENT_MISSES: u32 = 6;

/// A placement round ends after this many batches with a task that waits for a faster target.
const MAX_PLACEMENT_DECLINES: u32 = 16;

/// How long capacity counts as scarce after a task found none. Later rounds may not show it,
/// because a round ends when the VM's network link is full.
const CAPACITY_SHORTAGE_TTL: Duration = Duration::from_millis(100);

/// Time after a long stall to read what arrived meanwhile, such as the break of a caller's connection.
const UNREAD_INPUT_GRACE: Duration = Duration::from_millis(20);

/// Estimated bytes of a reply to a caller, including headers.
const REPLY_BYTES: usize = 200;

/// Messages queued for an agent.
#[derive(Debug, Default)]
struct Outbox {
    /// Orders, sent when the current event has been handled.
    orders: Vec<Order>,
    /// Newly discovered entries, sent only with the next packet: many entries may start together,
    /// and each would cause a packet.
    entries: Vec<SocketAddr>,
    /// Whether the agent understands guarantors and releases.
    knows_guarantors: bool,
}

/// Core of an entry, with all of its state.
pub struct BatchEntryCore {
    options: Arc<EntryOptions>,
    now: Now,
    rng: ChaCha8Rng,
    actions: Vec<EntryAction>,
    directory: EntryDirectory,
    table: BatchTable,
    targets: TargetRegistry,
    outboxes: BTreeMap<SessionId, Outbox>,
    unnamed_links: UnnamedLinks,
    /// Lost agents that had open runs, and when these runs are proven over.
    lost_agents: BTreeMap<NodeName, Now>,
    /// Agents without a link, and how their last one ended.
    parted_agents: BTreeMap<NodeName, witness::Parting>,
    dispatch_reports: DispatchReports,
    witnessed: WitnessedRuns,
    claims: OwnClaims,
    needs_placing: bool,
    drain: EntryDrain,
    /// Batches that arrived before the first configuration.
    deferred: DeferredBatches,
    retry_detector: RetryDetector,
    backlog: BacklogMonitor,
    forecast: WaitForecast,
    /// Load of this process.
    entry_load: EntryLoad,
    handover_share: HandoverShare,
    unreported_work: UnreportedWork,
    giver: HandoverGiver,
    receiver: HandoverReceiver,
    /// Batch that a receiver declined and that this entry takes itself.
    declined: Option<BatchId>,
    /// Until when silence proves nothing, because packets that arrived during a stall may be unread.
    resumed_until: Now,
    /// Until when nothing is placed and no agent is sent a packet. After a stall for which agents
    /// take an entry for lost, its callers may be gone without its having read that.
    unread_until: Option<Now>,
    /// How far the input is read.
    input: lease_renewals::InputProgress,
    /// Load of this VM's network link.
    link_load: LinkLoad,
    /// Tasks that crashes point at, with the time when it is decided whether to give them up.
    verdicts: BTreeSet<(Now, TaskKey)>,
    /// When a task last found no target with free capacity.
    capacity_lacked_at: Option<Now>,
    /// When this VM's network link can take another start order; `None` if it can now.
    link_full_until: Option<Now>,
    packer: PayloadPacker,
    exited: bool,
}

impl BatchEntryCore {
    /// Creates the core for a new incarnation of an entry.
    pub fn new(options: EntryOptions) -> Self {
        let options = Arc::new(options);
        Self {
            now: Now::ZERO,
            rng: ChaCha8Rng::seed_from_u64(options.seed ^ options.incarnation),
            actions: Vec::new(),
            directory: EntryDirectory::new(options.clone(), options.timings.lost_agent_bound),
            table: BatchTable::default(),
            targets: TargetRegistry::with_far_factor(options.far_factor),
            outboxes: BTreeMap::new(),
            unnamed_links: UnnamedLinks::default(),
            lost_agents: BTreeMap::new(),
            parted_agents: BTreeMap::new(),
            dispatch_reports: DispatchReports::default(),
            witnessed: WitnessedRuns::default(),
            claims: OwnClaims::new(
                options.timings.caller_retry_interval / claims::PATIENCE_DIVISOR,
                claims::HELD_RETRY_PAUSE,
            ),
            needs_placing: false,
            drain: EntryDrain::new(&options.timings),
            deferred: DeferredBatches::default(),
            retry_detector: RetryDetector::default(),
            backlog: BacklogMonitor::default(),
            forecast: WaitForecast::default(),
            entry_load: EntryLoad::new(options.processor_share),
            handover_share: HandoverShare::default(),
            unreported_work: UnreportedWork::default(),
            giver: HandoverGiver::default(),
            receiver: HandoverReceiver::default(),
            declined: None,
            resumed_until: Now::ZERO,
            unread_until: None,
            input: lease_renewals::InputProgress::default(),
            link_load: LinkLoad::new(options.link_rate),
            verdicts: BTreeSet::new(),
            capacity_lacked_at: None,
            link_full_until: None,
            packer: PayloadPacker::default(),
            exited: false,
            options,
        }
    }

    /// Handles an event and returns the resulting actions in order.
    pub fn handle(&mut self, now: Now, event: EntryEvent) -> Vec<EntryAction> {
        if let EntryEvent::InputRead(until) = event {
            self.input.note_mark(now, until);
            // Unless input is read late, agents' packets are answered in time.
            let limit = self.options.timings.max_lease_lead;
            if now <= until + limit {
                self.input.note_age(now, limit);
                return Vec::new();
            }
        }
        self.note_stall(now);
        self.now = self.now.max(now);
        if self.exited {
            return Vec::new();
        }
        self.check_input_age();
        // Deadlines depend on whether the entry reads its input late.
        if let EntryEvent::LoopLoad(load) = event {
            self.note_loop_load(load);
        }
        // Deadlines come first: after a suspension, the process must not act on expired state.
        self.handle_batch_deadlines();
        self.settle_verdicts();
        self.retry_lost_runs();
        self.check_hand_overs();
        self.dispatch_event(event);
        self.relay_answers();
        self.check_hand_overs();
        self.check_witnessed();
        self.settle_deferred();
        self.settle_claims();
        if self.unread_until.is_some_and(|until| until <= self.now) {
            self.unread_until = None;
            self.needs_placing = true;
        }
        if self.link_full_until.is_some_and(|until| until <= self.now) {
            self.link_full_until = None;
            self.needs_placing = true;
        }
        self.place_waiting();
        // Tasks that wait for this VM's network link don't indicate a lack of capacity at targets.
        let waits_for_capacity = self.table.has_waiting() && self.lacks_capacity();
        self.backlog.note(self.now, waits_for_capacity);
        self.forecast.note_waiting(self.now, waits_for_capacity);
        self.check_drain();
        self.flush();
        self.record_traffic();
        std::mem::take(&mut self.actions)
    }

    /// Records the bytes sent over this VM's network link.
    fn record_traffic(&mut self) {
        for action in &self.actions {
            let bytes = match action {
                EntryAction::Send(_, packet) => packet.approximate_bytes(),
                EntryAction::Reply(..) => REPLY_BYTES,
                _ => continue,
            };
            self.link_load.sent(self.now, bytes);
        }
    }

    /// Returns when [`EntryEvent::Wake`] is due.
    pub fn next_wake(&self) -> Option<Now> {
        let times = [
            self.table.next_deadline(),
            self.directory.next_wake(),
            self.unnamed_links.next_wake(),
            self.lost_agents.values().min().copied(),
            self.drain.next_wake(self.now),
            self.deferred.next_wake(),
            self.verdicts.first().map(|(at, _)| *at),
            self.link_full_until,
            self.unread_until,
            self.next_hand_over_check(),
            self.next_witness_check(),
            self.dispatch_reports.next_wake(),
            self.claims.next_wake(),
        ];
        let soonest = times.into_iter().flatten().min()?;
        Some(soonest.max(self.now + self.min_wake_pause()))
    }

    /// Returns whether the load balancer should send new connections to this entry.
    pub fn is_ready(&self) -> bool {
        let has_config = self.directory.config().table().is_some();
        // Evacuated targets count: if no others are left, the entry stays ready and tells callers.
        has_config && !self.drain.has_begun() && self.targets.reachable(self.now) > 0
    }

    /// Returns whether connections should be closed after their next reply.
    pub fn is_draining(&self) -> bool {
        self.drain.has_begun()
    }

    /// Whether callers wait here, or runs of their batches may be left.
    pub fn holds_batches(&self) -> bool {
        !self.table.is_empty() || !self.giver.is_empty()
    }

    /// Returns the gauges for the metrics page.
    pub fn gauges(&self) -> EntryGauges {
        EntryGauges {
            batches: self.table.len() as u64,
            targets: self.targets.usable(self.now) as u64,
            config_version: self.directory.config().version(),
            evacuated_halls: self.directory.evacuations().halls.len() as u64,
            handed_over: self.giver.len() as u64,
            taken_over: self.receiver.len() as u64,
            loop_busy_percent: self.loop_busy_percent(),
            input_age_ms: self.input.age(self.now).as_millis() as u64,
            loop_lag_ms: self.entry_load.recent_lag(self.now).as_millis() as u64,
        }
    }

    /// Returns the largest request body that the configuration allows.
    pub fn body_limit(&self) -> Option<usize> {
        self.directory.config().table().map(|t| t.limits.body_bytes)
    }

    fn dispatch_event(&mut self, event: EntryEvent) {
        match event {
            EntryEvent::Wake => self.wake(),
            EntryEvent::Submit(submission) => self.submit(submission),
            EntryEvent::CallerGone(request) => self.handle_caller_gone(request),
            EntryEvent::Query(query) => self.answer_query(&query),
            EntryEvent::Cancel(query) => self.cancel(&query),
            EntryEvent::Config(table) => self.directory.offer_config(self.now, &table, "store"),
            EntryEvent::Evacuations(state) => {
                if self.directory.store_answered(self.now, &state) {
                    self.apply_evacuations();
                }
            }
            EntryEvent::Entries(addresses) => self.learn_entries(addresses),
            EntryEvent::LinkUp(link, dialled) => self.handle_link_up(link, dialled),
            EntryEvent::LinkDown(link) => {
                self.handle_link_down(link, witness::Parting::Closed);
                self.targets
                    .note_entries(self.directory.entries_per_target());
            }
            EntryEvent::Packet(link, Packet::FromAgent(packet)) => {
                self.handle_agent_packet(link, packet);
                self.note_named(link);
            }
            EntryEvent::Packet(link, Packet::BetweenEntries(packet)) => {
                self.handle_peer_packet(link, packet);
                self.note_named(link);
            }
            EntryEvent::Packet(link, Packet::FromEntry(_)) => {
                self.actions.push(EntryAction::Close(link))
            }
            EntryEvent::LoopLoad(_) => {}
            EntryEvent::InputRead(_) => self.renew_leases(),
            EntryEvent::Drain => self.begin_drain(),
        }
    }

    fn log(&mut self, code: EventCode, detail: String) {
        self.actions
            .push(EntryAction::Log(LogEvent::new(code, detail)));
    }

    fn wake(&mut self) {
        let seeds = self.options.seeds.clone();
        self.learn_entries(seeds);
        // Packets may wait unread for as long as the entry is late.
        let lag = self.entry_load.recent_lag(self.now);
        for link in self.directory.close_silent(self.now, lag) {
            self.note_peer_link_down(link);
        }
        let silence = self.options.timings.link_timeout + lag;
        let before = self.now.saturating_sub(silence);
        for link in self.targets.silent(before) {
            self.actions.push(EntryAction::Close(link));
            self.handle_link_down(link, witness::Parting::Silent);
        }
        for link in self.unnamed_links.overdue(self.now.saturating_sub(lag)) {
            self.log(
                EventCode::PeerLost,
                format!("entry=- link={link} why=no_hello"),
            );
            self.actions.push(EntryAction::Close(link));
            self.handle_link_down(link, witness::Parting::Silent);
        }
    }

    fn note_named(&mut self, link: SessionId) {
        if self.targets.get(link).is_some() || self.directory.peer(link).is_some() {
            self.unnamed_links.remove(link);
        }
    }

    /// Returns whether a task recently found no target with free capacity.
    fn lacks_capacity(&self) -> bool {
        let at = self.capacity_lacked_at;
        at.is_some_and(|at| at + CAPACITY_SHORTAGE_TTL > self.now)
    }

    fn place_waiting(&mut self) {
        if !self.needs_placing || self.unread_until.is_some() {
            return;
        }
        self.needs_placing = false;
        self.refuse_unplaceable_batches();
        self.claim_unproven();
        self.targets.compare_speeds(self.now);
        let ids: Vec<BatchId> = self.table.in_placement_order().collect();
        let directory = &self.directory;
        let receiver = &self.receiver;
        let giver = &self.giver;
        let mut round = PlacementRound {
            receiver,
            now: self.now,
            hall: &self.options.hall,
            table: &mut self.table,
            targets: &mut self.targets,
            link_load: &mut self.link_load,
            rng: &mut self.rng,
            placed: Vec::new(),
            lacked_capacity: false,
            has_declined: false,
        };
        let (mut misses, mut declines) = (0, 0);
        for id in ids {
            if round.link_load.full_until(self.now).is_some() {
                break;
            }
            let batch = round.table.get(id);
            let is_blocked = batch.is_some_and(|b| !b.is_vouched_for(self.now))
                || directory.has_runs_elsewhere(self.now, id)
                || giver.has_ended(id)
                || receiver.has_runs_left(id);
            if !is_blocked && !round.place(id) {
                misses += u32::from(!round.has_declined);
                declines += u32::from(round.has_declined);
            }
            if misses >= MAX_PLACEMENT_MISSES || declines >= MAX_PLACEMENT_DECLINES {
                break;
            }
        }
        let placed = round.placed;
        // Without any usable target, tasks wait for targets to be discovered and not for capacity.
        if round.lacked_capacity && round.targets.usable(self.now) > 0 {
            self.capacity_lacked_at = Some(self.now);
        }
        self.link_full_until = self.link_load.full_until(self.now);
        for placed in placed {
            self.order_start(placed);
        }
    }

    fn order_start(&mut self, placed: StartGroup) {
        let StartGroup {
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
        let distance = self
            .targets
            .distance_factor(link, spec.preferred_rack.as_deref());
        let start_window = self.options.timings.start_window.as_millis() as AgentMillis;
        let start_by = view.agent_clock(self.now) + start_window;
        self.forecast.note_placed(self.now, runs.len() as u32);
        let order = StartOrder {
            batch: id,
            step: step as u16,
            service: batch.queue.service.clone(),
            payload: needs_payload.then(|| batch.payload.clone()),
            size: spec.size,
            estimate_ms: spec.estimate.mul_f64(distance).as_millis() as u32,
            start_by,
            alone,
            guarantor: self.receiver.guarantor(id),
            target: view.info.as_ref().map(|info| info.life.clone()),
            runs,
        };
        let age_ms = self.now.saturating_sub(batch.arrived).as_millis();
        let heard_ms = self.now.saturating_sub(view.heard).as_millis();
        let detail = format!(
            "job={id:016x} step={step} agent={} runs={:?} alone={alone} age_ms={age_ms} heard_ms_ago={heard_ms} \
             pace={:.2} distance={distance:.1}",
            view.agent,
            order.runs,
            view.slowdown(),
        );
        let agent = view.agent.clone();
        self.log(EventCode::TasksPlaced, detail);
        self.dispatch_reports.note_order(id, &agent);
        if let Some(outbox) = self.outboxes.get_mut(&link) {
            outbox.orders.push(Order::Start(order));
        }
    }

    fn handle_run_end(&mut self, key: RunKey, outcome: RunOutcome) {
        let id = key.task.batch;
        self.needs_placing = true;
        match self.table.end_run(key, outcome) {
            BatchChange::None => {}
            BatchChange::Closed => self.finish_closing(id),
            BatchChange::Done => {
                if let Some(batch) = self.remove_batch(id)
                    && let Some(request) = batch.request
                {
                    self.answer(id, &batch, request, Reply::Succeeded);
                }
            }
            BatchChange::Failed => self.fail_batch(id),
        }
    }

    fn retry_lost_runs(&mut self) {
        let due = self.lost_agents.iter().filter(|(_, at)| **at <= self.now);
        let due: Vec<NodeName> = due.map(|(agent, _)| agent.clone()).collect();
        for agent in due {
            self.lost_agents.remove(&agent);
            let keys = self.table.runs_at(&agent);
            let runs = keys.len();
            self.log(
                EventCode::AgentGone,
                format!("agent={agent} runs={runs} proof=time"),
            );
            for key in keys {
                self.handle_run_end(key, RunOutcome::Retry { superseded: false });
            }
        }
    }

    fn learn_entries(&mut self, addresses: Vec<SocketAddr>) {
        let new_entries = self.directory.learn(self.now, Source::Platform, addresses);
        self.announce_entries(new_entries);
    }

    fn announce_entries(&mut self, entries: Vec<SocketAddr>) {
        if entries.is_empty() {
            return;
        }
        for outbox in self.outboxes.values_mut() {
            outbox.entries.extend(&entries);
        }
    }

    fn handle_peer_packet(&mut self, link: SessionId, packet: PeerPacket) {
        let effects = self.directory.packet(self.now, link, packet);
        self.targets
            .note_entries(self.directory.entries_per_target());
        self.announce_entries(effects.entries);
        self.needs_placing |= effects.may_place;
        if effects.is_introduced && self.claims.witness_joined() {
            self.needs_placing = true;
        }
        for notice in effects.runs_left {
            self.check_for_late_notice(notice);
            self.note_owner_suspected(notice);
        }
        for notice in effects.dispatched {
            self.note_dispatched(link, notice);
        }
        for notice in effects.crashes {
            self.handle_crash_notice(link, notice);
        }
        if effects.evacuations_changed {
            self.apply_evacuations();
        }
        for id in effects.cancelled {
            self.cancel_held(id);
        }
        for news in effects.claims {
            self.handle_claim_news(link, news);
        }
        for message in effects.hand_overs {
            self.handle_hand_over(link, message);
        }
    }

    /// Applies changed evacuations, and sends them to the agents.
    fn apply_evacuations(&mut self) {
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
        let holds_nothing = self.table.is_empty() && self.giver.is_empty();
        if !self.drain.is_over(self.now, holds_nothing) {
            return;
        }
        let held = self.table.len() + self.giver.len();
        let code = if held == 0 {
            EventCode::Drained
        } else {
            EventCode::DrainCut
        };
        self.log(code, format!("held={held}"));
        self.answer_open_requests();
        self.flush();
        self.actions.push(EntryAction::Exit);
        self.exited = true;
    }

    fn flush_orders(&mut self) {
        let with_orders = self.outboxes.iter().filter(|(_, o)| !o.orders.is_empty());
        let links: Vec<SessionId> = with_orders.map(|(link, _)| *link).collect();
        for link in links {
            self.send_orders(link);
        }
    }

    fn flush(&mut self) {
        self.relay_answers();
        self.confirm_closed();
        if self.unread_until.is_none() {
            self.tell_witnesses();
            self.flush_orders();
        }
        let usage = self.link_load.usage(self.now);
        let load = self.entry_load.report(self.now, usage);
        self.directory.set_own_load(load);
        let shared = self.directory.flush(self.now);
        self.actions.extend(shared);
    }
}
