//! Handles the agents' links and packets, and applies the outcomes of runs.

use std::net::SocketAddr;
use std::time::Duration;

use super::witness::Parting;
use super::{BatchEntryCore, Outbox};
use crate::active_batch::BatchState;
use crate::batch_event::EntryAction;
use crate::batch_table::RunOutcome;
use crate::events::EventCode;
use crate::ids::{NodeName, SessionId};
use crate::resources::Resources;
use crate::run::{NotStarted, RunEnd, RunKey};
use crate::run_message::{
    AgentMillis, AgentNews, AgentPacket, EntryPacket, Order, PROTOCOL_VERSION, Packet,
    ProtocolVersion, RunsNotice, Welcome,
};
use crate::runs_notices::NoteOutcome;
use crate::target_health::HealthReport;
use crate::target_registry::{EjectionChange, LoadReport, StartRefusal, TaskRequirements};

/// A slow run is moved if running it elsewhere takes less than this share of its remaining time.
const MOVE_THRESHOLD: f64 = 0.7;
/// Assumed overhead of a move: the stop, its report and a new start order.
const MOVE_COST: Duration = Duration::from_millis(25);
/// Lowest protocol version of agents that understand guarantors and releases.
const GUARANTOR_PROTOCOL: ProtocolVersion = 1;
const MAX_REPORTED_WAITING: u32 = 1_000;

impl BatchEntryCore {
    pub(super) fn handle_link_up(&mut self, link: SessionId, dialled: Option<SocketAddr>) {
        self.unnamed_links.add(self.now, link);
        if let Some(address) = dialled {
            self.directory.greet(self.now, link, address);
        }
    }

    pub(super) fn handle_link_down(&mut self, link: SessionId, parting: Parting) {
        self.directory.link_down(self.now, link);
        self.note_peer_link_down(link);
        self.unnamed_links.remove(link);
        self.outboxes.remove(&link);
        let Some(view) = self.targets.leave(link) else {
            return;
        };
        let runs = self.table.runs_at(&view.agent).len();
        let silent_ms = self.now.saturating_sub(view.heard).as_millis();
        let agent = view.agent;
        self.parted_agents.insert(agent.clone(), parting);
        self.log(
            EventCode::AgentLost,
            format!("agent={agent} runs={runs} heard_ms_ago={silent_ms}"),
        );
        if runs > 0 {
            self.lost_agents
                .insert(agent, view.sent + self.options.timings.lost_agent_bound);
        }
    }

    pub(super) fn handle_agent_packet(&mut self, link: SessionId, packet: AgentPacket) {
        for news in &packet.news {
            if let AgentNews::Hello(intro) = news {
                self.handle_hello(link, intro.clone(), packet.clock);
            }
        }
        let report = LoadReport {
            clock: packet.clock,
            free: packet.free,
            starts_seen: packet.starts_seen,
            health: packet.health,
        };
        let change = self.targets.heard(self.now, link, report);
        self.log_ejection_change(link, change, packet.health);
        self.needs_placing |= self.table.has_waiting();
        for news in packet.news {
            self.handle_news(link, news);
        }
        self.end_holds_of(link);
        if self.is_renewal_due(link) {
            self.send_orders(link);
        }
    }

    pub(super) fn handle_hello(
        &mut self,
        link: SessionId,
        intro: crate::run_message::AgentIntro,
        clock: AgentMillis,
    ) {
        if let Some(old) = self.targets.link_of(&intro.name) {
            self.actions.push(EntryAction::Close(old));
            self.targets.leave(old);
            self.outboxes.remove(&old);
        }
        let keys = self.table.runs_at(&intro.name);
        let knows_guarantors = intro.protocol >= GUARANTOR_PROTOCOL;
        self.receiver.note_agent(&intro.name, knows_guarantors);
        let mut guarantors = Vec::new();
        for key in &keys {
            let guarantor = self.receiver.guarantor_of_runs(key.task.batch);
            guarantors.extend(guarantor.map(|guarantor| (*key, guarantor)));
        }
        let mut stopping = keys.clone();
        // An agent of an older build may have replaced the one that started these runs. It would
        // keep them without the guarantor.
        let lacks_guarantor = |key: &RunKey| {
            !knows_guarantors && guarantors.iter().any(|(guaranteed, _)| guaranteed == key)
        };
        stopping.retain(|key| self.table.is_stopping(*key) || lacks_guarantor(key));
        if !knows_guarantors {
            guarantors.clear();
        }
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
        self.lost_agents.remove(&intro.name);
        self.parted_agents.remove(&intro.name);
        self.targets.join(self.now, link, intro.name, intro.hall);
        if let Some(view) = self.targets.get_mut(link) {
            view.protocol = intro.protocol;
        }
        let report = LoadReport {
            clock,
            free: Resources::NONE,
            starts_seen: 0,
            health: HealthReport::default(),
        };
        self.targets.heard(self.now, link, report);
        let welcome = Welcome {
            name: self.options.name.clone(),
            life: self.options.incarnation,
            entries: self.directory.entries(),
            claims,
            guarantors,
            evacuations: self.directory.evacuations().clone(),
            protocol: PROTOCOL_VERSION,
        };
        let mut outbox = Outbox {
            orders: vec![Order::Welcome(welcome)],
            entries: Vec::new(),
            knows_guarantors,
        };
        // A stop order may have been lost with the previous link.
        if !stopping.is_empty() {
            outbox.orders.push(Order::Stop(stopping));
        }
        // A release may have been lost with the previous link.
        if knows_guarantors {
            outbox.orders.extend(self.giver.ended().map(Order::Release));
        }
        self.outboxes.insert(link, outbox);
    }

    pub(super) fn handle_news(&mut self, link: SessionId, news: AgentNews) {
        if news
            .run()
            .is_some_and(|key| self.is_of_another_agent(link, key))
        {
            return;
        }
        match news {
            AgentNews::Hello(_) => {}
            AgentNews::RunsLeft(notice) => {
                let outcome = self.directory.note_runs_left(self.now, link, notice);
                if outcome == NoteOutcome::New {
                    self.check_for_late_notice(notice);
                    self.note_owner_suspected(notice);
                }
            }
            AgentNews::RunsOver(notice) => {
                self.needs_placing |= self.directory.note_runs_over(self.now, link, notice);
            }
            AgentNews::Target(info) => {
                self.targets.note_target(link, info);
            }
            AgentNews::Ended { key, end, ran_ms } => self.handle_ended(link, key, end, ran_ms),
            AgentNews::Crashed(notice) => self.handle_crash_notice(link, notice),
            AgentNews::NotStarted { key, reason } => self.handle_not_started(link, key, reason),
            AgentNews::Slow {
                key,
                ran_ms,
                percent,
            } => self.handle_slow(link, key, ran_ms, percent),
            AgentNews::RunsListed => {
                if let Some(view) = self.targets.get_mut(link) {
                    view.has_listed_runs = true;
                }
            }
            AgentNews::Leaving => {
                if let Some(view) = self.targets.get_mut(link) {
                    view.is_leaving = true;
                    let agent = view.agent.clone();
                    self.log(EventCode::AgentLeaving, format!("agent={agent}"));
                }
            }
        }
    }

    /// Whether a run is open at another agent than the one on this link, which proves nothing about it.
    fn is_of_another_agent(&self, link: SessionId, key: RunKey) -> bool {
        let agent = self.targets.get(link).map(|v| &*v.agent);
        self.table.is_at_another(key, agent)
    }

    /// Logs that a batch was started here before this entry heard that runs of another entry may be
    /// left. A giver's notice is about the runs that this entry has for it.
    pub(super) fn check_for_late_notice(&mut self, notice: RunsNotice) {
        let id = notice.batch;
        let is_own = notice.owner == self.options.incarnation
            || self.receiver.guarantor_of_runs(id) == Some(notice.owner);
        let has_started = self.table.get(id).is_some_and(|b| b.was_dispatched);
        if is_own || !has_started {
            return;
        }
        let age_ms = self.table.age(self.now, id).as_millis();
        let RunsNotice { holder, owner, .. } = notice;
        self.log(
            EventCode::RunsLeftHeardLate,
            format!("job={id:016x} entry={owner:x} from={holder:x} age_ms={age_ms}"),
        );
    }

    pub(super) fn estimate_of(&self, key: RunKey) -> Option<Duration> {
        let batch = self.table.get(key.task.batch)?;
        let step = batch.steps.get(usize::from(key.task.step))?;
        (step.spec.estimate > Duration::ZERO).then_some(step.spec.estimate)
    }

    pub(super) fn handle_ended(&mut self, link: SessionId, key: RunKey, end: RunEnd, ran_ms: u32) {
        let outcome = match end {
            RunEnd::Done => RunOutcome::Done,
            RunEnd::Failed => RunOutcome::Failed,
            RunEnd::Crashed { .. } => RunOutcome::Crashed,
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Lost => {
                RunOutcome::Retry { superseded: false }
            }
        };
        if outcome != RunOutcome::Done {
            let agent = self.targets.get(link).map(|v| v.agent.clone());
            let agent = agent.as_deref().unwrap_or("-");
            self.log(
                EventCode::TaskAgain,
                format!("run={key} agent={agent} end={end:?} ran_ms={ran_ms}"),
            );
        }
        if let RunEnd::Crashed { alone } = end {
            self.note_own_crash(link, key, alone);
        }
        self.handle_run_end(key, outcome);
    }

    pub(super) fn handle_not_started(&mut self, link: SessionId, key: RunKey, reason: NotStarted) {
        let agent = self.targets.get(link).map(|v| v.agent.clone());
        let agent = agent.as_deref().unwrap_or("-");
        self.log(
            EventCode::TaskAgain,
            format!("run={key} agent={agent} not_started={reason:?}"),
        );
        match reason {
            NotStarted::Unhealthy | NotStarted::Unreachable => {
                self.targets
                    .refused(self.now, link, StartRefusal::Unhealthy);
            }
            NotStarted::Full => self.forecast.note_rejected(),
            NotStarted::NoPayload => self.table.forget_payload(key.task.batch, link),
            NotStarted::NoGuarantor => self.note_guarantor_lacking(key.task.batch, agent),
            // The agent announces the next incarnation once it has read its lists.
            NotStarted::Doubtful | NotStarted::Replaced => {
                self.targets.refused(self.now, link, StartRefusal::Doubtful);
            }
            _ => {}
        }
        let superseded = reason == NotStarted::Superseded;
        self.handle_run_end(key, RunOutcome::Retry { superseded });
    }

    /// Logs that a target was ejected or readmitted. Events call this "set aside" and "returned".
    pub(super) fn log_ejection_change(
        &mut self,
        link: SessionId,
        change: EjectionChange,
        health: HealthReport,
    ) {
        let code = match change {
            EjectionChange::Unchanged => return,
            EjectionChange::Ejected => EventCode::TargetSetAside,
            EjectionChange::Readmitted => EventCode::TargetReturned,
        };
        if let Some(view) = self.targets.get(link) {
            let agent = view.agent.clone();
            self.log(code, format!("agent={agent} health={health:?}"));
        }
    }

    /// Moves a slow run if another target has room and would take clearly less time, see
    /// [`MOVE_THRESHOLD`]. Does nothing if the step's estimate counts as wrong, unless the run's
    /// target is ejected.
    pub(super) fn handle_slow(&mut self, link: SessionId, key: RunKey, ran_ms: u32, percent: u32) {
        let Some(estimate) = self.estimate_of(key) else {
            return;
        };
        // The news may be about a run of an earlier attempt.
        if self.table.task(key).is_none() {
            return;
        }
        let ran = Duration::from_millis(u64::from(ran_ms));
        let percent = percent.clamp(1, 100);
        let projected = ran.mul_f64(100.0 / f64::from(percent));
        let remaining = projected.saturating_sub(ran);
        let elsewhere_cost = estimate + MOVE_COST;
        if elsewhere_cost > remaining.mul_f64(MOVE_THRESHOLD) {
            return;
        }
        let Some(agent) = self.targets.get(link).map(|v| v.agent.clone()) else {
            return;
        };
        let Some(batch) = self.table.get_mut(key.task.batch) else {
            return;
        };
        if batch.state != BatchState::Open {
            return;
        }
        let step = &mut batch.steps[usize::from(key.task.step)];
        let rack = step.spec.preferred_rack.as_deref();
        let distance = self.targets.distance_factor(link, rack);
        let is_estimate_wrong = step.record_slow_task(&agent, projected.div_f64(distance));
        if is_estimate_wrong && !self.targets.is_ejected(self.now, link) {
            return;
        }
        if !self.has_capacity_elsewhere(key, &agent) {
            return;
        }
        if let Some(agent) = self.table.mark_moving(key) {
            self.log(
                EventCode::TaskMoved,
                format!("run={key} agent={agent} ran_ms={ran_ms} percent={percent}"),
            );
            self.order_stop(key, &agent);
        }
    }

    pub(super) fn has_capacity_elsewhere(&mut self, key: RunKey, agent: &NodeName) -> bool {
        let Some(batch) = self.table.get(key.task.batch) else {
            return false;
        };
        let spec = &batch.steps[usize::from(key.task.step)].spec;
        let need = TaskRequirements {
            size: spec.size,
            queue: &batch.queue,
            required_label: spec.required_label.as_deref(),
            preferred_rack: None,
            avoid: None,
            payload_sent_to: &batch.payload_sent_to,
            payload_cost: 0.0,
            is_idle: false,
            time_left: f64::INFINITY,
        };
        let id = key.task.batch;
        let is_current = |view: &crate::target_registry::TargetView| {
            view.agent == *agent || self.receiver.excludes(id, &view.agent)
        };
        let hall = &self.options.hall;
        let chosen = self
            .targets
            .choose(self.now, &need, hall, is_current, &mut self.rng);
        chosen.link.is_some()
    }

    pub(super) fn order_stop(&mut self, key: RunKey, agent: &str) {
        // Without a link, the agent stops the run itself when the entry's lease lapses.
        let Some(link) = self.targets.link_of(agent) else {
            return;
        };
        if let Some(outbox) = self.outboxes.get_mut(&link) {
            outbox.orders.push(Order::Stop(vec![key]));
        }
    }

    pub(super) fn send_orders(&mut self, link: SessionId) {
        let now = self.now;
        // Agents reserve capacity for waiting tasks. Tasks that wait for this VM's network link
        // couldn't use it.
        let waiting = if self.link_full_until.is_some() {
            0
        } else {
            self.table.waiting_tasks()
        };
        let waiting = waiting.min(MAX_REPORTED_WAITING);
        let lease_basis = self.lease_basis();
        let (Some(outbox), Some(view)) = (self.outboxes.get_mut(&link), self.targets.get_mut(link))
        else {
            return;
        };
        view.sent = now;
        view.lease_basis = lease_basis;
        let lease = self.options.timings.entry_lease.as_millis() as AgentMillis;
        let agent_clock = view.agent_clock(now);
        let store_age = self.directory.store_age(now);
        let store_heard = store_age.map_or(0, |age| {
            agent_clock.saturating_sub(age.as_millis() as AgentMillis)
        });
        if !outbox.entries.is_empty() {
            let entries = std::mem::take(&mut outbox.entries);
            outbox.orders.push(Order::Entries(entries));
        }
        let packet = EntryPacket {
            lease_until: view.agent_clock_at(now, lease_basis) + lease,
            store_heard,
            waiting,
            orders: std::mem::take(&mut outbox.orders),
        };
        self.actions
            .push(EntryAction::Send(link, Packet::FromEntry(packet)));
    }
}
