//! The agent's core on the platform: a deterministic state machine, `(now, event) -> actions`.
//!
//! The target's own lists are the authority on what runs; the agent can be replaced at any
//! moment, and its next life adopts what it finds. It keeps the whole vector of resources, for
//! the target guards nothing, and stops what belongs to an entry that does not answer for it any
//! more. docs/design/platform.md works out the chain of times.

mod evacuation;
mod incarnations;
mod lists;
mod starts;

use std::net::SocketAddr;
use std::time::Duration;

use crate::adaptive_timeout::AdaptiveTimeout;
use crate::capacity_shares::FreeCapacity;
use crate::entry_discovery::EntryDiscovery;
use crate::entry_leases::EntryLeases;
use crate::evacuations::{EvacuationWatch, EvacuationsInForce};
use crate::events::{EventCode, LogEvent};
use crate::ids::{Incarnation, Now, SessionId};
use crate::payload::PayloadUnpacker;
use crate::payload_cache::PayloadCache;
use crate::preferred_entries::{LinkStep, PREFERRED_COUNT, PreferredEntries};
use crate::resources::Resources;
use crate::run::{RunEnd, RunKey};
use crate::run_event::{AgentAction, AgentEvent, AgentLevels, AgentOptions};
use crate::run_message::{
    AgentIntro, AgentMillis, AgentNews, AgentPacket, EntryPacket, Order, Welcome,
};
use crate::run_table::{Run, RunTable, Stopping};
use crate::target_health::TargetHealth;
use crate::target_incarnations::TargetIncarnations;
use crate::target_lease::TargetLease;
use starts::{LEAST_START_LIMIT, START_LIMIT};

/// A process that was not heard from for so long may have stood still, with answers unread in its
/// sockets.
const STOOD_STILL: Duration = Duration::from_millis(10);
/// Time to read them, before a start counts as unanswered.
const CATCH_UP: Duration = Duration::from_millis(4);

/// State of an agent.
pub struct RunAgentCore {
    options: AgentOptions,
    now: Now,
    out: Vec<AgentAction>,
    entries: EntryLeases,
    lives: TargetIncarnations,
    lease: TargetLease,
    runs: RunTable,
    health: TargetHealth,
    /// How long the target's answers to starts take.
    start_time: AdaptiveTimeout,
    /// When this process was last found to have stood still, or to have been idle.
    resumed: Now,
    /// Whether the target's lists have been read, in this life of the agent and of the target, and
    /// no connection has been refused since.
    knows_lists: bool,
    /// Claims that came before the lists were read.
    early_claims: Vec<(Incarnation, RunKey, Resources)>,
    /// Stops that came before the lists were read, each with its entry's life.
    early_stops: Vec<(Incarnation, RunKey)>,
    preferred: PreferredEntries,
    search: EntryDiscovery,
    unpacker: PayloadUnpacker,
    payloads: PayloadCache,
    evacuations: EvacuationsInForce,
    evacuation_watch: EvacuationWatch,
    /// When the store was asked for evacuations that it has not answered yet.
    evacuations_asked: Option<Now>,
    draining_since: Option<Now>,
    exited: bool,
}

impl RunAgentCore {
    /// A new life of an agent, at time `now` of its own clock.
    pub fn new(now: Now, options: AgentOptions) -> Self {
        let lease = TargetLease::new(now, &options.timings, options.token);
        Self {
            now,
            out: Vec::new(),
            entries: EntryLeases::new(options.timings),
            lives: TargetIncarnations::default(),
            lease,
            runs: RunTable::default(),
            health: TargetHealth::default(),
            start_time: AdaptiveTimeout::new(LEAST_START_LIMIT, START_LIMIT),
            resumed: now,
            knows_lists: false,
            early_claims: Vec::new(),
            early_stops: Vec::new(),
            preferred: PreferredEntries::new(
                &options.name,
                PREFERRED_COUNT,
                options.timings.start_window,
            ),
            search: EntryDiscovery::new(now),
            unpacker: PayloadUnpacker::default(),
            payloads: PayloadCache::default(),
            evacuations: EvacuationsInForce::default(),
            evacuation_watch: EvacuationWatch::new(now, options.evacuation_bound),
            evacuations_asked: None,
            draining_since: None,
            exited: false,
            options,
        }
    }

    /// Takes in an event and returns what is to be done, in order.
    pub fn handle(&mut self, now: Now, event: AgentEvent) -> Vec<AgentAction> {
        if self.now + STOOD_STILL <= now {
            self.resumed = now;
        }
        self.now = self.now.max(now);
        if self.exited {
            return Vec::new();
        }
        self.dispatch_event(event);
        self.search_entries();
        self.keep_homes();
        self.ask_evacuations();
        self.ask_lives();
        self.fence_overdue_starts();
        self.check_leases();
        self.send_due_stops();
        self.renew();
        self.check_drain();
        self.flush();
        std::mem::take(&mut self.out)
    }

    /// When [`AgentEvent::Wake`] is due.
    pub fn next_wake(&self) -> Option<Now> {
        let mut times = vec![
            self.entries.next_wake(),
            self.lease.retry_at(),
            self.lives.next_wake(),
            self.ask_evacuations_at(),
            self.search
                .next_wake()
                .filter(|_| self.draining_since.is_none()),
            // A process that stops changes no links any more.
            self.preferred
                .next_wake()
                .filter(|_| self.draining_since.is_none()),
        ];
        for (_, run) in self.runs.iter() {
            times.push(Some(self.run_wake(run)));
        }
        if !self.runs.is_empty() || !self.knows_lists {
            times.push(Some(self.lease.lapses_at()));
            times.push(self.renewal_overdue().map(|(at, _)| at));
        }
        times.push(
            self.draining_since
                .map(|since| since + self.options.timings.agent_stop),
        );
        let soonest = times.into_iter().flatten().min()?;
        Some(soonest.max(self.now + Duration::from_millis(1)))
    }

    /// Figures for the metrics page.
    pub fn levels(&self) -> AgentLevels {
        AgentLevels {
            runs: self.runs.len() as u64,
            entries: self.entries.len() as u64,
        }
    }

    fn run_wake(&self, run: &Run) -> Now {
        let settled = match (&run.stopping, run.owner) {
            (Some(stopping), _) => stopping.resend_at,
            (None, Some(owner)) => self.entries.until(owner),
            (None, None) => run.since + self.options.timings.claim_grace,
        };
        let answer_by = self.answer_by(run);
        answer_by.map_or(settled, |by| by.min(settled))
    }

    fn dispatch_event(&mut self, event: AgentEvent) {
        match event {
            AgentEvent::Wake => {
                for link in self.entries.silent(self.now) {
                    self.out.push(AgentAction::Close(link));
                    self.link_down(link);
                }
                let seeds = self.options.seeds.iter().copied();
                self.preferred.learn(self.now, seeds);
            }
            AgentEvent::LinkUp(link, address) => self.link_up(link, address),
            AgentEvent::LinkDown(link) => self.link_down(link),
            AgentEvent::Packet(link, packet) => self.packet(link, packet),
            AgentEvent::Report(report) => self.report(report),
            AgentEvent::TargetLeft(name, born) => self.target_left(&name, born),
            AgentEvent::StartAnswered { key, token, answer } => {
                self.start_answered(key, token, answer);
            }
            AgentEvent::RenewalAnswered { number, answer } => self.renewal_answered(number, answer),
            AgentEvent::IncarnationChecked { number, answer } => self.life_answered(number, answer),
            AgentEvent::Entries(entries) => self.preferred.learn(self.now, entries),
            AgentEvent::Evacuations(answer) => self.evacuations_answered(answer),
            AgentEvent::Resumed(suspended) => self.resumed(suspended),
            AgentEvent::Drain => self.drain(),
        }
    }

    /// The target's clock, which measures its lease, has stood still for so long. What is proven by
    /// the end of that lease takes as much longer.
    fn resumed(&mut self, suspended: Duration) {
        self.lease.suspended(suspended);
        if self.knows_lists {
            let look = self.lease.at_once(self.now, false);
            self.push_renewal(look);
        }
        let suspended_ms = suspended.as_millis();
        let running = self.runs.len();
        self.log(
            EventCode::Resumed,
            format!("suspended_ms={suspended_ms} running={running}"),
        );
    }

    fn log(&mut self, code: EventCode, detail: String) {
        self.out.push(AgentAction::Log(LogEvent::new(code, detail)));
    }

    // Entries.

    fn link_up(&mut self, link: SessionId, address: SocketAddr) {
        self.preferred.link_up(self.now, address, link);
        self.entries.opened(self.now, link);
        let intro = AgentIntro {
            name: self.options.name.clone(),
            life: self.options.incarnation,
            hall: self.options.hall.clone(),
        };
        let target = AgentNews::Target(self.offered_target());
        if let Some(found) = self.entries.get_mut(link) {
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
        let Some(gone) = self.entries.closed(self.now, link) else {
            return;
        };
        if let Some(name) = gone.name {
            let left = self.entries.len();
            self.log(
                EventCode::EntryLost,
                format!("entry={name} links_left={left}"),
            );
        }
    }

    fn search_entries(&mut self) {
        let is_linked = !self.entries.is_empty();
        if self.draining_since.is_none() && self.search.take_due(self.now, is_linked) {
            self.out.push(AgentAction::AskEntries);
        }
    }

    /// Dials, parts and hangs up as the choice of entries wants it. A process that stops changes
    /// nothing any more.
    fn keep_homes(&mut self) {
        if self.draining_since.is_some() {
            return;
        }
        let (entries, runs) = (&self.entries, &self.runs);
        let is_needed = |link| {
            let entry = entries.get(link).and_then(|l| l.entry);
            entry.is_some() && runs.iter().any(|(_, run)| run.owner == entry)
        };
        for step in self.preferred.steps(self.now, is_needed) {
            match step {
                LinkStep::Dial(address) => self.out.push(AgentAction::Dial(address)),
                LinkStep::Drain(link) => self.part(link),
                LinkStep::Disconnect(address, link) => self.disconnect(address, link),
            }
        }
    }

    fn part(&mut self, link: SessionId) {
        if let Some(found) = self.entries.get_mut(link) {
            found.news.push(AgentNews::Leaving);
        }
    }

    fn disconnect(&mut self, address: SocketAddr, link: Option<SessionId>) {
        self.out.push(AgentAction::Disconnect(address));
        let Some(link) = link else {
            return;
        };
        self.out.push(AgentAction::Close(link));
        let gone = self.entries.closed(self.now, link);
        let name = gone.and_then(|l| l.name);
        let left = self.entries.len();
        self.log(
            EventCode::EntryParted,
            format!("entry={} links_left={left}", name.as_deref().unwrap_or("-")),
        );
    }

    fn packet(&mut self, link: SessionId, packet: EntryPacket) {
        let welcome = packet.orders.iter().find_map(|o| match o {
            Order::Welcome(welcome) => Some((welcome.life, welcome.name.clone())),
            _ => None,
        });
        if let (Some((life, name)), Some(found)) = (welcome, self.entries.get_mut(link)) {
            found.entry = Some(life);
            found.name = Some(name);
        }
        let lease_until = Duration::from_millis(packet.lease_until);
        self.entries
            .heard(self.now, link, lease_until, packet.waiting);
        let store_heard = Duration::from_millis(packet.store_heard);
        for order in packet.orders {
            match order {
                Order::Welcome(welcome) => self.welcomed(welcome),
                Order::Start(order) => self.start_ordered(link, order),
                Order::Stop(keys) => self.stop_ordered(link, keys),
                Order::Entries(entries) => self.preferred.learn(self.now, entries),
                Order::Evacuations(state) => self.offer_evacuations(&state, "entry"),
            }
        }
        self.evacuation_watch.known(store_heard);
    }

    fn welcomed(&mut self, welcome: Welcome) {
        let Welcome {
            name,
            life,
            entries,
            claims,
            evacuations,
        } = welcome;
        let count = claims.len();
        self.log(
            EventCode::EntryJoined,
            format!("entry={name} life={life:x} claims={count}"),
        );
        self.preferred.learn(self.now, entries);
        self.offer_evacuations(&evacuations, "entry");
        self.stop_unclaimed(life, &claims);
        for (key, size) in claims {
            if self.knows_lists {
                self.claim(life, key, size);
            } else {
                self.early_claims.push((life, key, size));
            }
        }
    }

    /// Runs that their own entry does not name are not wanted any more.
    fn stop_unclaimed(&mut self, life: Incarnation, claims: &[(RunKey, Resources)]) {
        let unclaimed: Vec<RunKey> = self
            .runs
            .iter()
            .filter(|(key, run)| run.owner == Some(life) && claims.iter().all(|(k, _)| k != key))
            .map(|(key, _)| key)
            .collect();
        for key in unclaimed {
            self.ask_stop(key, None);
        }
    }

    /// Answers an entry's claim: the run is its own from now on, or it is over.
    fn claim(&mut self, life: Incarnation, key: RunKey, size: Resources) {
        if self.runs.claim(key, life, size) {
            return;
        }
        let end = self.runs.end_of(key).unwrap_or(RunEnd::Lost);
        self.entries.tell(
            life,
            AgentNews::Ended {
                key,
                end,
                ran_ms: 0,
            },
        );
    }

    fn stop_ordered(&mut self, link: SessionId, keys: Vec<RunKey>) {
        let Some(entry) = self.entries.get(link).and_then(|l| l.entry) else {
            return;
        };
        for key in keys {
            if self.knows_lists || self.runs.get(key).is_some() {
                self.stop_or_tell(entry, key);
            } else {
                // A run of an earlier life of this agent may go on: that it is not known here is no
                // proof of its end, and its task would run twice.
                self.early_stops.push((entry, key));
            }
        }
    }

    /// Stops a run, or tells its entry that it is over.
    fn stop_or_tell(&mut self, entry: Incarnation, key: RunKey) {
        if self.runs.get(key).is_some() {
            self.ask_stop(key, None);
            return;
        }
        let end = self.runs.end_of(key).unwrap_or(RunEnd::Lost);
        let ran_ms = 0;
        let news = AgentNews::Ended { key, end, ran_ms };
        self.entries.tell(entry, news);
    }

    /// Stops a run. If nobody has answered for it since a time, the stop must succeed within bounds.
    fn ask_stop(&mut self, key: RunKey, orphaned_since: Option<Now>) {
        let resend_at = self.now;
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let stopping = run.stopping.get_or_insert(Stopping {
            resend_at,
            orphaned_since,
        });
        stopping.orphaned_since = stopping.orphaned_since.or(orphaned_since);
    }

    // Runs.

    /// Ends all runs without a listed end.
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
        self.learn_health(end, ran.unwrap_or_default(), run.estimate);
        let ran_ms = ran.unwrap_or_default().as_millis() as u32;
        let running = self.runs.len();
        self.log(
            EventCode::RunEnded,
            format!("run={key} end={end:?} ran_ms={ran_ms} still_running={running}"),
        );
        if let Some(owner) = run.owner {
            self.entries
                .tell(owner, AgentNews::Ended { key, end, ran_ms });
        }
    }

    fn learn_health(&mut self, end: RunEnd, ran: Duration, estimate: Duration) {
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

    // Time.

    /// Stops what nobody answers for, and gives up what must have lapsed.
    fn check_leases(&mut self) {
        let now = self.now;
        let mut orphans = Vec::new();
        for (key, run) in self.runs.iter() {
            let held_until = match run.owner {
                Some(owner) => self.entries.until(owner),
                None => run.since + self.options.timings.claim_grace,
            };
            if held_until <= now && run.stopping.is_none_or(|s| s.orphaned_since.is_none()) {
                orphans.push((key, held_until));
            }
        }
        for (key, held_until) in orphans {
            self.log(EventCode::RunOrphaned, format!("run={key}"));
            self.ask_stop(key, Some(held_until));
        }
        self.entries
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
        let life = self.lives.current_name();
        for (key, run) in self.runs.iter_mut() {
            let Some(stopping) = &mut run.stopping else {
                continue;
            };
            if stopping.resend_at > now {
                continue;
            }
            stopping.resend_at = now + self.options.timings.stop_again;
            let life = life.clone();
            self.out.push(AgentAction::Stop {
                key,
                token,
                target_name: life,
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
        self.entries.tell_all(&AgentNews::Leaving);
    }

    /// Ends the process once nothing runs. What still runs at the limit is left to the next life,
    /// with a lease as long as can be had.
    fn check_drain(&mut self) {
        let Some(since) = self.draining_since else {
            return;
        };
        let is_over = self.now >= since + self.options.timings.agent_stop;
        if !self.runs.is_empty() && !is_over {
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
        self.out.push(AgentAction::Exit);
        self.exited = true;
    }

    // Packets.

    fn free(&self) -> Resources {
        let Some(target) = self.lives.current() else {
            return Resources::NONE;
        };
        let is_closed = self.draining_since.is_some()
            || self.lives.may_be_leaving()
            || self.is_evacuated()
            || !self.knows_lists
            || self.lease.is_silent();
        if is_closed {
            return Resources::NONE;
        }
        self.runs.free(target.capacity)
    }

    fn flush(&mut self) {
        let clock = self.now.as_millis() as AgentMillis;
        let room = FreeCapacity {
            free: self.free(),
            place: self.runs.usual_size(),
        };
        self.entries.share_room(self.now, room);
        for due in self.entries.take_due(self.now) {
            let packet = AgentPacket {
                clock,
                free: due.free,
                starts_seen: due.starts_seen,
                health: self.health.word(),
                news: due.news,
            };
            self.out.push(AgentAction::Send(due.link, packet));
        }
    }
}
