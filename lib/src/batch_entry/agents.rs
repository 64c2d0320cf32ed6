//! Agents: their links and packets, and what the outcome of a run means.

use std::net::SocketAddr;
use std::time::Duration;

use super::{BatchEntryCore, Outbox};
use crate::active_batch::BatchState;
use crate::batch_event::EntryAction;
use crate::batch_table::RunOutcome;
use crate::events::EventCode;
use crate::ids::{NodeName, SessionId};
use crate::resources::Resources;
use crate::run::{NotStarted, RunEnd, RunKey};
use crate::run_message::{
    AgentMillis, AgentNews, AgentPacket, EntryPacket, Order, Packet, Welcome,
};
use crate::target_health::HealthReport;
use crate::target_registry::{EjectionChange, LoadReport, Need, StartRefusal};

/// A slow run is moved if the move takes less than this share of what it still needs.
const MOVE_GAIN: f64 = 0.7;
/// What a move costs on top of the work: a stop, its news and an order.
const MOVE_COST: Duration = Duration::from_millis(25);
/// Waiting tasks are counted up to this for agents.
const MOST_COUNTED: u32 = 1_000;

impl BatchEntryCore {
    pub(super) fn link_up(&mut self, link: SessionId, dialled: Option<SocketAddr>) {
        if let Some(address) = dialled {
            self.directory.greet(self.now, link, address);
        }
    }

    pub(super) fn link_down(&mut self, link: SessionId) {
        self.directory.link_down(self.now, link);
        self.outboxes.remove(&link);
        let Some(view) = self.targets.leave(link) else {
            return;
        };
        let out = self.table.runs_at(&view.agent).len();
        let silent_ms = self.now.saturating_sub(view.heard).as_millis();
        let agent = view.agent;
        self.log(
            EventCode::AgentLost,
            format!("agent={agent} runs={out} heard_ms_ago={silent_ms}"),
        );
        if out > 0 {
            self.lost
                .insert(agent, view.sent + self.options.timings.lost_proof);
        }
    }

    pub(super) fn agent_packet(&mut self, link: SessionId, packet: AgentPacket) {
        for news in &packet.news {
            if let AgentNews::Hello(intro) = news {
                self.agent_joined(link, intro.clone(), packet.clock);
            }
        }
        let word = LoadReport {
            clock: packet.clock,
            free: packet.free,
            starts_seen: packet.starts_seen,
            health: packet.health,
        };
        let verdict = self.targets.heard(self.now, link, word);
        self.log_ejection_change(link, verdict, packet.health);
        self.needs_placing |= self.table.has_waiting();
        for news in packet.news {
            self.agent_news(link, news);
        }
        let answer_after = self.options.timings.answer_after();
        let is_quiet = self
            .targets
            .get(link)
            .is_some_and(|v| v.sent + answer_after <= self.now);
        if is_quiet {
            self.send_orders(link);
        }
    }

    pub(super) fn agent_joined(
        &mut self,
        link: SessionId,
        intro: crate::run_message::AgentIntro,
        clock: AgentMillis,
    ) {
        if let Some(old) = self.targets.link_of(&intro.name) {
            self.out.push(EntryAction::Close(old));
            self.targets.leave(old);
            self.outboxes.remove(&old);
        }
        let keys = self.table.runs_at(&intro.name);
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
        self.targets.join(self.now, link, intro.name, intro.hall);
        let word = LoadReport {
            clock,
            free: Resources::NONE,
            starts_seen: 0,
            health: HealthReport::default(),
        };
        self.targets.heard(self.now, link, word);
        let welcome = Welcome {
            name: self.options.name.clone(),
            life: self.options.incarnation,
            entries: self.directory.entries(),
            claims,
            evacuations: self.directory.evacuations().clone(),
        };
        let mut outbox = Outbox {
            orders: vec![Order::Welcome(welcome)],
            entries: Vec::new(),
        };
        // An order to stop may have been lost with the link before.
        if !stopping.is_empty() {
            outbox.orders.push(Order::Stop(stopping));
        }
        self.outboxes.insert(link, outbox);
    }

    pub(super) fn agent_news(&mut self, link: SessionId, news: AgentNews) {
        match news {
            AgentNews::Hello(_) => {}
            AgentNews::Target(info) => {
                if let Some(view) = self.targets.get_mut(link) {
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
                if let Some(view) = self.targets.get_mut(link) {
                    view.is_leaving = true;
                    let agent = view.agent.clone();
                    self.log(EventCode::AgentLeaving, format!("agent={agent}"));
                }
            }
        }
    }

    pub(super) fn estimate_of(&self, key: RunKey) -> Option<Duration> {
        let batch = self.table.get(key.task.batch)?;
        let step = batch.steps.get(usize::from(key.task.step))?;
        (step.spec.estimate > Duration::ZERO).then_some(step.spec.estimate)
    }

    pub(super) fn run_ended(&mut self, link: SessionId, key: RunKey, end: RunEnd, ran_ms: u32) {
        let over = match end {
            RunEnd::Done => RunOutcome::Done,
            RunEnd::Failed => RunOutcome::Failed,
            RunEnd::Crashed { alone } => RunOutcome::Crashed { alone },
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Lost => {
                RunOutcome::Retry { superseded: false }
            }
        };
        if over != RunOutcome::Done {
            let agent = self.targets.get(link).map(|v| v.agent.clone());
            let agent = agent.as_deref().unwrap_or("-");
            self.log(
                EventCode::TaskAgain,
                format!("run={key} agent={agent} end={end:?} ran_ms={ran_ms}"),
            );
        }
        if let RunEnd::Crashed { alone } = end {
            self.log_crash(link, key, alone);
        }
        self.run_over(key, over);
    }

    /// Names the task of a run that a target crashed with, for whoever looks for the cause.
    fn log_crash(&mut self, link: SessionId, key: RunKey, alone: bool) {
        let Some(mut record) = self.table.task(key).map(|task| task.crashes) else {
            return;
        };
        let is_given_up = record.note(alone);
        let code = if is_given_up {
            EventCode::TaskGivenUp
        } else {
            EventCode::TaskSuspected
        };
        let agent = self.targets.get(link).map(|v| v.agent.clone());
        let agent = agent.as_deref().unwrap_or("-");
        let crashes = record.crashes();
        self.log(
            code,
            format!("run={key} agent={agent} alone={alone} crashes={crashes}"),
        );
    }

    pub(super) fn run_not_started(&mut self, link: SessionId, key: RunKey, reason: NotStarted) {
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
            NotStarted::Full => self.forecast.note_returned(),
            NotStarted::NoPayload => self.table.forget_payload(key.task.batch, link),
            NotStarted::Doubtful => self.targets.refused(self.now, link, StartRefusal::Doubtful),
            _ => {}
        }
        let superseded = reason == NotStarted::Superseded;
        self.run_over(key, RunOutcome::Retry { superseded });
    }

    pub(super) fn log_ejection_change(
        &mut self,
        link: SessionId,
        verdict: EjectionChange,
        health: HealthReport,
    ) {
        let code = match verdict {
            EjectionChange::Unchanged => return,
            EjectionChange::Ejected => EventCode::TargetSetAside,
            EjectionChange::Readmitted => EventCode::TargetReturned,
        };
        if let Some(view) = self.targets.get(link) {
            let agent = view.agent.clone();
            self.log(code, format!("agent={agent} health={health:?}"));
        }
    }

    /// Moves a slow run if another target would end it sooner, the stop counted.
    pub(super) fn run_slow(&mut self, link: SessionId, key: RunKey, ran_ms: u32, percent: u32) {
        let Some(estimate) = self.estimate_of(key) else {
            return;
        };
        let ran = Duration::from_millis(u64::from(ran_ms));
        let percent = percent.clamp(1, 100);
        let whole = ran.mul_f64(100.0 / f64::from(percent));
        let rest = whole.saturating_sub(ran);
        let elsewhere = estimate + MOVE_COST;
        if elsewhere > rest.mul_f64(MOVE_GAIN) {
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
        let is_estimate_wrong = step.is_slow_everywhere(&agent, whole);
        if is_estimate_wrong && !self.targets.is_ejected(self.now, link) {
            return;
        }
        if !self.has_room_elsewhere(key, &agent) {
            return;
        }
        if let Some(agent) = self.table.note_moving(key) {
            self.log(
                EventCode::TaskMoved,
                format!("run={key} agent={agent} ran_ms={ran_ms} percent={percent}"),
            );
            self.order_stop(key, &agent);
        }
    }

    pub(super) fn has_room_elsewhere(&mut self, key: RunKey, agent: &NodeName) -> bool {
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
            payload_sent_to: &batch.payload_sent_to,
            payload_cost: 0.0,
            is_idle: false,
        };
        let is_same = |view: &crate::target_registry::TargetView| view.agent == *agent;
        let hall = &self.options.hall;
        let chosen = self
            .targets
            .choose(self.now, &need, hall, is_same, &mut self.rng);
        chosen.is_some()
    }

    pub(super) fn order_stop(&mut self, key: RunKey, agent: &str) {
        // Without a link the agent's own rules stop it: the entry's lease there runs out.
        let Some(link) = self.targets.link_of(agent) else {
            return;
        };
        if let Some(outbox) = self.outboxes.get_mut(&link) {
            outbox.orders.push(Order::Stop(vec![key]));
        }
    }

    pub(super) fn send_orders(&mut self, link: SessionId) {
        let now = self.now;
        // What waits for this VM's own link could not use a place if it were told of one.
        let waiting = if self.link_full_until.is_some() {
            0
        } else {
            self.table.waiting_tasks()
        };
        let waiting = waiting.min(MOST_COUNTED);
        let (Some(outbox), Some(view)) = (self.outboxes.get_mut(&link), self.targets.get_mut(link))
        else {
            return;
        };
        view.sent = now;
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
            lease_until: agent_clock + lease,
            store_heard,
            waiting,
            orders: std::mem::take(&mut outbox.orders),
        };
        self.out
            .push(EntryAction::Send(link, Packet::FromEntry(packet)));
    }
}
