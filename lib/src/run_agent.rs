//! The agent's core on the platform: a deterministic state machine, `(now, event) -> actions`.
//!
//! The target answers renewals of its lease with lists of its running and ended runs. The lists are
//! the authority on what runs. A restarted agent adopts the runs that they show. The agent itself
//! makes sure that the runs fit the target's resources, and it stops the runs of entries whose
//! leases have lapsed. docs/design/platform.md derives the timing bounds.

mod announcements;
mod crashes;
mod evacuation;
mod guarantors;
mod incarnations;
mod lists;
mod starts;

use std::net::SocketAddr;
use std::time::Duration;

use crate::adaptive_timeout::AdaptiveTimeout;
use crate::capacity_shares::FreeCapacity;
use crate::crash_notices::CrashNotices;
use crate::entry_discovery::EntryDiscovery;
use crate::entry_leases::EntryLeases;
use crate::evacuations::{EvacuationWatch, EvacuationsInForce};
use crate::events::{EventCode, LogEvent};
use crate::ids::{Incarnation, Now, SessionId};
use crate::payload::PayloadUnpacker;
use crate::payload_cache::PayloadCache;
use crate::preferred_entries::{LinkStep, PREFERRED_COUNT, PreferredEntries};
use crate::released_batches::ReleasedBatches;
use crate::resources::Resources;
use crate::run::{RunEnd, RunKey};
use crate::run_announcements::RunAnnouncements;
use crate::run_event::{AgentAction, AgentEvent, AgentGauges, AgentOptions};
use crate::run_message::{
    AgentIntro, AgentMillis, AgentNews, AgentPacket, EntryPacket, Order, PROTOCOL_VERSION, Welcome,
};
use crate::run_table::{Claim, Run, RunTable, Stopping};
use crate::target_health::TargetHealth;
use crate::target_incarnations::TargetIncarnations;
use crate::target_lease::{Extension, TargetLease};
use crate::withheld_answers::WithheldAnswers;
use starts::{MAX_START_TIMEOUT, MIN_START_TIMEOUT};

/// If no event was handled for this long, the process may have been stalled, and answers may wait
/// unread in its sockets.
const STALL_THRESHOLD: Duration = Duration::from_millis(10);
/// Time after a stall to read those answers before a call counts as unanswered.
const STALL_GRACE: Duration = Duration::from_millis(4);

/// State machine of an agent: its runs, its links to entries and its lease on the target.
pub struct RunAgentCore {
    options: AgentOptions,
    now: Now,
    actions: Vec<AgentAction>,
    entry_links: EntryLeases,
    incarnations: TargetIncarnations,
    lease: TargetLease,
    runs: RunTable,
    withheld: WithheldAnswers,
    crash_notices: CrashNotices,
    health: TargetHealth,
    /// Timeout of starts, learnt from how long the target takes to answer them.
    start_timeout: AdaptiveTimeout,
    /// When the last gap of at least [`STALL_THRESHOLD`] between events ended.
    resumed_at: Now,
    /// Whether the target's runs are known. The lists of its current incarnation have then been
    /// read, and no connection for a start has been refused since.
    knows_runs: bool,
    /// Claims received before the lists were read.
    early_claims: Vec<(RunKey, Claim)>,
    /// Stops received before the lists were read, each with the incarnation of its entry.
    early_stops: Vec<(Incarnation, RunKey)>,
    /// Batches whose guarantors have released them.
    released: ReleasedBatches,
    announcements: RunAnnouncements,
    preferred: PreferredEntries,
    discovery: EntryDiscovery,
    unpacker: PayloadUnpacker,
    payloads: PayloadCache,
    evacuations: EvacuationsInForce,
    evacuation_watch: EvacuationWatch,
    /// When the unanswered read of evacuations was sent to the store.
    evacuations_asked_at: Option<Now>,
    draining_since: Option<Now>,
    exited: bool,
}

impl RunAgentCore {
    /// Creates an agent at time `now` of its own clock.
    pub fn new(now: Now, options: AgentOptions) -> Self {
        let lease = TargetLease::new(now, &options.timings, options.token);
        Self {
            now,
            actions: Vec::new(),
            entry_links: EntryLeases::new(options.timings),
            incarnations: TargetIncarnations::default(),
            lease,
            runs: RunTable::default(),
            withheld: WithheldAnswers::default(),
            crash_notices: CrashNotices::default(),
            health: TargetHealth::default(),
            start_timeout: AdaptiveTimeout::new(MIN_START_TIMEOUT, MAX_START_TIMEOUT),
            resumed_at: now,
            knows_runs: false,
            early_claims: Vec::new(),
            early_stops: Vec::new(),
            released: ReleasedBatches::default(),
            announcements: RunAnnouncements::default(),
            preferred: PreferredEntries::new(
                &options.name,
                PREFERRED_COUNT,
                options.timings.start_window,
            ),
            discovery: EntryDiscovery::new(now),
            unpacker: PayloadUnpacker::default(),
            payloads: PayloadCache::default(),
            evacuations: EvacuationsInForce::default(),
            evacuation_watch: EvacuationWatch::new(now, options.evacuation_bound),
            evacuations_asked_at: None,
            draining_since: None,
            exited: false,
            options,
        }
    }

    /// Handles an event and returns the actions to execute, in order.
    pub fn handle(&mut self, now: Now, event: AgentEvent) -> Vec<AgentAction> {
        if self.now + STALL_THRESHOLD <= now {
            self.resumed_at = now;
        }
        self.now = self.now.max(now);
        if self.exited {
            return Vec::new();
        }
        self.dispatch_event(event);
        self.discover_entries();
        self.update_links();
        self.ask_evacuations();
        self.check_incarnations();
        self.fence_overdue_starts();
        self.check_leases();
        self.send_due_stops();
        self.update_announcements();
        self.tell_runs_listed();
        self.renew();
        self.send_withheld_answers();
        self.check_drain();
        self.flush();
        std::mem::take(&mut self.actions)
    }

    /// Returns when [`AgentEvent::Wake`] is due.
    pub fn next_wake(&self) -> Option<Now> {
        let mut times = vec![
            self.entry_links.next_wake(),
            self.lease.retry_at().filter(|_| !self.is_idle()),
            self.incarnations.next_wake(),
            self.clock_due_at(),
            self.ask_evacuations_at(),
            self.discovery
                .next_wake()
                .filter(|_| self.draining_since.is_none()),
            // A draining agent changes no links.
            self.preferred
                .next_wake()
                .filter(|_| self.draining_since.is_none()),
        ];
        for (key, run) in self.runs.iter() {
            times.push(Some(self.run_wake(run)));
            times.push(self.announce_at(key, run));
        }
        if !self.runs.is_empty() || !self.knows_runs {
            times.push(Some(self.lease.lapses_at()));
            times.push(self.renewal_overdue().map(|(at, _)| at));
        }
        times.push(
            self.draining_since
                .map(|since| since + self.options.timings.agent_stop),
        );
        let earliest = times.into_iter().flatten().min()?;
        // A time that has passed would wake the core again at once.
        Some(earliest.max(self.now + Duration::from_millis(1)))
    }

    /// Returns the gauges for the metrics page.
    pub fn gauges(&self) -> AgentGauges {
        AgentGauges {
            runs: self.runs.len() as u64,
            entries: self.entry_links.len() as u64,
        }
    }

    fn run_wake(&self, run: &Run) -> Now {
        let next_check = match &run.stopping {
            Some(stopping) => stopping.resend_at,
            None => self.run_owned_until(run),
        };
        let answer_deadline = self.answer_deadline(run);
        answer_deadline.map_or(next_check, |by| by.min(next_check))
    }

    fn dispatch_event(&mut self, event: AgentEvent) {
        match event {
            AgentEvent::Wake => {
                for link in self.entry_links.silent(self.now) {
                    self.actions.push(AgentAction::Close(link));
                    self.link_down(link);
                }
                // Known addresses are never dropped, so only the first wake adds these.
                let seeds = self.options.seeds.iter().copied();
                self.preferred.learn(self.now, seeds);
            }
            AgentEvent::LinkUp(link, address) => self.link_up(link, address),
            AgentEvent::LinkDown(link) => self.link_down(link),
            AgentEvent::Packet(link, packet) => self.packet_received(link, packet),
            AgentEvent::Report(report) => self.target_reported(report),
            AgentEvent::TargetLeft(name, born) => self.target_left(&name, born),
            AgentEvent::StartAnswered { key, token, answer } => {
                self.start_answered(key, token, answer);
            }
            AgentEvent::RenewalAnswered { number, answer } => self.renewal_answered(number, answer),
            AgentEvent::IncarnationChecked { number, answer } => {
                self.incarnation_checked(number, answer)
            }
            AgentEvent::Entries(entries) => self.preferred.learn(self.now, entries),
            AgentEvent::Evacuations(answer) => self.evacuations_answered(answer),
            AgentEvent::Resumed(suspended) => self.resumed(suspended),
            AgentEvent::Drain => self.drain(),
        }
    }

    /// Handles a suspension of the VM. The target's clock, which measures the lease, stood still
    /// too, so the lease lapses later. If the runs are known, the lists are queried at once.
    fn resumed(&mut self, suspended: Duration) {
        self.lease.suspended(suspended);
        if self.knows_runs {
            let query = self.lease.renew_now(self.now, Extension::None);
            self.push_renewal(query);
        }
        let suspended_ms = suspended.as_millis();
        let running = self.runs.len();
        self.log(
            EventCode::Resumed,
            format!("suspended_ms={suspended_ms} running={running}"),
        );
    }

    fn log(&mut self, code: EventCode, detail: String) {
        self.actions
            .push(AgentAction::Log(LogEvent::new(code, detail)));
    }

    fn link_up(&mut self, link: SessionId, address: SocketAddr) {
        self.preferred.link_up(self.now, address, link);
        self.entry_links.opened(self.now, link);
        let intro = AgentIntro {
            name: self.options.name.clone(),
            life: self.options.incarnation,
            hall: self.options.hall.clone(),
            protocol: PROTOCOL_VERSION,
        };
        let target = AgentNews::Target(self.announced_target());
        if let Some(found) = self.entry_links.get_mut(link) {
            found.news.push(AgentNews::Hello(intro));
            found.news.push(target);
            if self.draining_since.is_some() {
                found.news.push(AgentNews::Leaving);
            }
        }
    }

    fn link_down(&mut self, link: SessionId) {
        self.preferred.link_down(self.now, link);
        self.payloads.forget(link);
        let Some(gone) = self.entry_links.closed(self.now, link) else {
            return;
        };
        if let Some(name) = gone.name {
            let left = self.entry_links.len();
            self.log(
                EventCode::EntryLost,
                format!("entry={name} links_left={left}"),
            );
        }
    }

    fn discover_entries(&mut self) {
        let is_linked = !self.entry_links.is_empty();
        if self.draining_since.is_none() && self.discovery.take_due(self.now, is_linked) {
            self.actions.push(AgentAction::AskEntries);
        }
    }

    /// Dials, drains and disconnects links to match the preferred entries. A draining agent changes
    /// no links.
    fn update_links(&mut self) {
        if self.draining_since.is_some() {
            return;
        }
        let (links, runs) = (&self.entry_links, &self.runs);
        let is_needed = |link| {
            let entry = links.get(link).and_then(|l| l.entry);
            let is_bound_to = |run: &Run| run.owner == entry || run.guarantor == entry;
            entry.is_some() && runs.iter().any(|(_, run)| is_bound_to(run))
        };
        for step in self.preferred.steps(self.now, is_needed) {
            match step {
                LinkStep::Dial(address) => self.actions.push(AgentAction::Dial(address)),
                LinkStep::Drain(link) => self.send_leaving(link),
                LinkStep::Disconnect(address, link) => self.disconnect(address, link),
            }
        }
    }

    /// Asks the entry to send no more work on a link.
    fn send_leaving(&mut self, link: SessionId) {
        if let Some(found) = self.entry_links.get_mut(link) {
            found.news.push(AgentNews::Leaving);
        }
    }

    fn disconnect(&mut self, address: SocketAddr, link: Option<SessionId>) {
        self.actions.push(AgentAction::Disconnect(address));
        let Some(link) = link else {
            return;
        };
        self.actions.push(AgentAction::Close(link));
        let gone = self.entry_links.closed(self.now, link);
        let name = gone.and_then(|l| l.name);
        let left = self.entry_links.len();
        self.log(
            EventCode::EntryParted,
            format!("entry={} links_left={left}", name.as_deref().unwrap_or("-")),
        );
    }

    fn packet_received(&mut self, link: SessionId, packet: EntryPacket) {
        let welcome = packet.orders.iter().find_map(|o| match o {
            Order::Welcome(welcome) => Some((welcome.life, welcome.name.clone(), welcome.protocol)),
            _ => None,
        });
        if let (Some((entry, name, protocol)), Some(found)) =
            (welcome, self.entry_links.get_mut(link))
        {
            found.entry = Some(entry);
            found.name = Some(name);
            found.protocol = protocol;
            self.entry_links.detach_others(entry, link);
            self.send_crash_notices(link);
            self.send_announcements(link);
        }
        let lease_until = Duration::from_millis(packet.lease_until);
        self.entry_links
            .record_packet(self.now, link, lease_until, packet.waiting);
        let store_heard = Duration::from_millis(packet.store_heard);
        for order in packet.orders {
            match order {
                Order::Welcome(welcome) => self.welcomed(welcome),
                Order::Start(order) => self.start_ordered(link, order),
                Order::Stop(keys) => self.stop_ordered(link, keys),
                Order::Entries(entries) => self.preferred.learn(self.now, entries),
                Order::Evacuations(state) => self.offer_evacuations(&state, "entry"),
                Order::Release(batch) => self.release_ordered(link, batch),
                // The entry may be lost, or cut off from the one that the caller reaches.
                Order::RunsNoted(_) => {}
            }
        }
        self.evacuation_watch.confirmed(store_heard);
    }

    fn welcomed(&mut self, welcome: Welcome) {
        let Welcome {
            name,
            life: entry,
            entries,
            claims,
            guarantors,
            evacuations,
            protocol: _,
        } = welcome;
        let count = claims.len();
        self.log(
            EventCode::EntryJoined,
            format!("entry={name} life={entry:x} claims={count}"),
        );
        self.preferred.learn(self.now, entries);
        self.offer_evacuations(&evacuations, "entry");
        self.stop_unclaimed(entry, &claims);
        for (key, size) in claims {
            let named = guarantors.iter().find(|(run, _)| *run == key);
            let claim = Claim {
                owner: entry,
                guarantor: named.map(|(_, guarantor)| *guarantor),
                size,
            };
            if self.knows_runs || self.runs.get(key).is_some() {
                self.answer_claim(key, &claim);
            } else {
                self.early_claims.push((key, claim));
            }
        }
    }

    /// Stops those runs of an entry that are missing from its claims.
    fn stop_unclaimed(&mut self, entry: Incarnation, claims: &[(RunKey, Resources)]) {
        let unclaimed: Vec<RunKey> = self
            .runs
            .iter()
            .filter(|(key, run)| run.owner == Some(entry) && claims.iter().all(|(k, _)| k != key))
            .map(|(key, _)| key)
            .collect();
        let last_wanted = self.entry_links.lease_renewed_before(entry);
        for key in unclaimed {
            self.request_stop(key, last_wanted, None);
        }
    }

    /// Makes the entry the owner of a run, or tells it that the run is over.
    fn answer_claim(&mut self, key: RunKey, claim: &Claim) {
        let entry = claim.owner;
        if self.runs.claim(key, claim) {
            self.stop_if_released(key);
            return;
        }
        self.answer_over(entry, key);
    }

    /// Tells an entry that its run, which is not in the table, is over.
    fn answer_over(&mut self, entry: Incarnation, key: RunKey) {
        let end = self.runs.end_for(key, entry).unwrap_or(RunEnd::Lost);
        let ran_ms = 0;
        self.answer(entry, key, AgentNews::Ended { key, end, ran_ms });
    }

    /// Gives an entry a final answer about a run, which is not in the table any more. An answer that
    /// lets the entry start the task elsewhere waits until no run of the task is left.
    fn answer(&mut self, entry: Incarnation, key: RunKey, answer: AgentNews) {
        let is_done = matches!(answer, AgentNews::Ended { end, .. } if end == RunEnd::Done);
        if is_done || !self.runs.has_task(key.task) {
            self.entry_links.tell(entry, answer);
        } else if self.withheld.add(entry, key, answer) {
            self.log(
                EventCode::AnswerWithheld,
                format!("run={key} entry={entry:x}"),
            );
        }
    }

    fn send_withheld_answers(&mut self) {
        let runs = &self.runs;
        for (entry, key, answer) in self.withheld.take_due(|task| runs.has_task(task)) {
            let answer = match runs.end_for(key, entry) {
                // The target has listed it since.
                Some(end @ RunEnd::Done) => AgentNews::Ended {
                    key,
                    end,
                    ran_ms: 0,
                },
                _ => answer,
            };
            self.entry_links.tell(entry, answer);
        }
    }

    fn stop_ordered(&mut self, link: SessionId, keys: Vec<RunKey>) {
        let Some(entry) = self.entry_links.get(link).and_then(|l| l.entry) else {
            return;
        };
        // The order may have waited for a new link or for the end of a cut. The entry wanted the runs
        // when it wrote its former packet.
        let last_wanted = self.entry_links.lease_renewed_before(entry);
        for key in keys {
            if self.knows_runs || self.runs.get(key).is_some() {
                self.stop_or_report_end(entry, key, last_wanted);
            } else {
                // The run may have been started by an earlier incarnation of this agent and still
                // be running. Reporting it as over could make its task run twice.
                self.early_stops.push((entry, key));
            }
        }
    }

    /// Stops a run, or tells the entry that it is over.
    fn stop_or_report_end(&mut self, entry: Incarnation, key: RunKey, last_wanted: Option<Now>) {
        if self.runs.get(key).is_some_and(|run| run.may_be_of(entry)) {
            self.request_stop(key, last_wanted, None);
            return;
        }
        self.answer_over(entry, key);
    }

    /// Requests that a run be stopped. Its entries still wanted it at `last_wanted`, so that callers may
    /// have left since then. A run is orphaned if its owner's lease has lapsed. If it then doesn't end
    /// within `timings.stop_bound`, the target's lease is no longer renewed.
    fn request_stop(&mut self, key: RunKey, last_wanted: Option<Now>, orphaned_since: Option<Now>) {
        let now = self.now;
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let stopping = run.stopping.get_or_insert(Stopping {
            requested_at: now,
            resend_at: now,
            last_wanted,
            orphaned_since,
        });
        stopping.last_wanted = stopping.last_wanted.min(last_wanted);
        stopping.orphaned_since = stopping.orphaned_since.or(orphaned_since);
    }

    /// Ends all runs. The target listed no end for them, so each gets its `end_if_unlisted`.
    fn end_all(&mut self) {
        for key in self.runs.keys() {
            let end = self.runs.get(key).map(|run| run.end_if_unlisted);
            self.end_run(key, end.unwrap_or(RunEnd::Lost));
        }
    }

    fn end_run(&mut self, key: RunKey, end: RunEnd) {
        self.runs.remember_end(self.now, key, end);
        let Some(run) = self.runs.remove(key) else {
            return;
        };
        let ran = run
            .running_since
            .map(|since| self.now.saturating_sub(since));
        self.update_health(end, ran.unwrap_or_default(), run.estimate);
        let ran_ms = ran.unwrap_or_default().as_millis() as u32;
        let running = self.runs.len();
        self.log(
            EventCode::RunEnded,
            format!("run={key} end={end:?} ran_ms={ran_ms} still_running={running}"),
        );
        if let Some(owner) = run.owner {
            self.answer(owner, key, AgentNews::Ended { key, end, ran_ms });
            if let RunEnd::Crashed { alone } = end {
                self.notify_crash(key, owner, alone);
            }
        }
    }

    fn update_health(&mut self, end: RunEnd, ran: Duration, estimate: Duration) {
        match end {
            RunEnd::Done if !ran.is_zero() && !estimate.is_zero() => {
                self.health.run_done(ran.div_duration_f64(estimate));
            }
            RunEnd::Failed => self.health.run_failed(),
            RunEnd::Done
            | RunEnd::Stopped
            | RunEnd::Lapsed
            | RunEnd::Lost
            | RunEnd::Crashed { .. } => {}
        }
    }

    /// Stops orphaned runs. Ends all runs once the target's lease must have lapsed.
    fn check_leases(&mut self) {
        let now = self.now;
        let mut orphans = Vec::new();
        for (key, run) in self.runs.iter() {
            let owned_until = self.run_owned_until(run);
            if owned_until <= now && run.stopping.is_none_or(|s| s.orphaned_since.is_none()) {
                let last_wanted = self.guaranteed_at(run);
                orphans.push((key, last_wanted, owned_until));
            }
        }
        for (key, last_wanted, owned_until) in orphans {
            self.log(EventCode::RunOrphaned, format!("run={key}"));
            self.request_stop(key, last_wanted, Some(owned_until));
        }
        // Entries are forgotten a minute after their leases have lapsed.
        self.entry_links
            .forget_before(now.saturating_sub(Duration::from_secs(60)));
        if now < self.lease.lapses_at() {
            return;
        }
        if !self.runs.is_empty() {
            if self.lease.is_refused() && self.may_have_crashed() {
                self.runs.note_crash();
            }
            self.end_all();
        }
        self.answer_early_orders();
    }

    fn send_due_stops(&mut self) {
        let now = self.now;
        let token = self.lease.token();
        let target_name = self.incarnations.current_name();
        for (key, run) in self.runs.iter_mut() {
            let Some(stopping) = &mut run.stopping else {
                continue;
            };
            if stopping.resend_at > now {
                continue;
            }
            // The bound of an orphaned run leaves time for few attempts, and if all are lost, the lease
            // of all runs on the target lapses.
            let retry_interval = self.options.timings.stop_retry_interval;
            // The same holds while the lease isn't extended because of the stop.
            let is_urgent = stopping.orphaned_since.is_some() || stopping.last_wanted.is_none();
            stopping.resend_at = now + retry_interval / if is_urgent { 2 } else { 1 };
            let target_name = target_name.clone();
            self.actions.push(AgentAction::Stop {
                key,
                token,
                target_name,
            });
        }
    }

    fn drain(&mut self) {
        if self.draining_since.is_some() {
            return;
        }
        self.draining_since = Some(self.now);
        let running = self.runs.len();
        self.log(EventCode::Draining, format!("running={running}"));
        self.entry_links.tell_all(&AgentNews::Leaving);
    }

    /// Exits once nothing runs or the drain limit is reached. Runs that remain are adopted by the
    /// next incarnation of the agent.
    fn check_drain(&mut self) {
        let Some(since) = self.draining_since else {
            return;
        };
        let is_limit_reached = self.now >= since + self.options.timings.agent_stop;
        if !self.runs.is_empty() && !is_limit_reached {
            return;
        }
        let running = self.runs.len();
        let code = if running > 0 {
            EventCode::DrainCut
        } else {
            EventCode::Drained
        };
        self.log(code, format!("running={running}"));
        self.flush();
        self.actions.push(AgentAction::Exit);
        self.exited = true;
    }

    fn free(&self) -> Resources {
        let Some(target) = self.incarnations.current() else {
            return Resources::NONE;
        };
        let takes_no_work = self.draining_since.is_some()
            || self.incarnations.may_be_leaving()
            || self.is_evacuated()
            || !self.knows_runs
            || self.lease.is_silent();
        if takes_no_work {
            return Resources::NONE;
        }
        self.runs.free(target.capacity)
    }

    fn flush(&mut self) {
        let clock = self.now.as_millis() as AgentMillis;
        let free_capacity = FreeCapacity {
            free: self.free(),
            typical_size: self.runs.typical_size(),
        };
        self.entry_links.share_capacity(self.now, free_capacity);
        for due in self.entry_links.take_due(self.now) {
            let packet = AgentPacket {
                clock,
                free: due.free,
                starts_seen: due.starts_seen,
                health: self.health.report(),
                news: due.news,
            };
            self.actions.push(AgentAction::Send(due.link, packet));
        }
    }
}
