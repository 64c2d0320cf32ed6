//! Orders to the targets of the virtual fleet, with answers that get lost and orders that come
//! late.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng as _;
use trestleknot_lib::ids::Now;
use trestleknot_lib::run::RunKey;
use trestleknot_lib::run_event::{
    AgentEvent, IncarnationAnswer, RenewalAnswer, StartAnswer, StartCall, TargetReport,
};
use trestleknot_lib::run_table::FencingToken;
use trestleknot_lib::target_incarnation::TargetIncarnation;
use trestleknot_lib::target_lease::Renewal;

use super::{Event, REPORT_EVERY, RunFleet};
use crate::run_target::{RunTarget, StartRequest, TargetImpairment};

/// One way between an agent and its target.
const DELAY: Duration = Duration::from_micros(200);
/// How long a target that crashed is away.
pub(super) const CRASHED_FOR: Duration = Duration::from_millis(200);
/// How long a target that a task crashed is away.
const CRASHED_BY_TASK_FOR: Duration = Duration::from_millis(2_000);

/// What a target that is down does to those who call it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Down {
    /// Nothing, as one without power.
    Silent,
    /// It refuses their connections, as a VM does whose process is gone.
    Refuses,
}

/// An order that is carried out late.
pub(super) enum LateOrder {
    Start(StartRequest),
    Stop(RunKey, FencingToken, Option<Arc<str>>),
    Renew(Renewal, Option<Arc<str>>),
}

/// Something that passes.
pub(super) enum Ending {
    Trouble(usize),
    Resize(usize),
    LateOrders(usize),
    LateReports(usize),
    ForeignReports(usize),
}

struct Waiting {
    renewal: Renewal,
    life: Option<Arc<str>>,
    agent_life: u64,
    until: Now,
}

/// A target and what waits at it.
pub(super) struct Served {
    pub(super) target: RunTarget,
    pub(super) loses_orders: bool,
    /// Whether each report comes a second time seconds later, and half of them only then.
    pub(super) delays_reports: bool,
    /// Whether another writer's report comes beside each.
    pub(super) has_strangers: bool,
    down_until: Now,
    down: Down,
    pub(super) asleep_until: Now,
    waiting: Vec<Waiting>,
}

impl Served {
    pub(super) fn new(target: RunTarget) -> Self {
        Self {
            target,
            loses_orders: false,
            delays_reports: false,
            has_strangers: false,
            down_until: Now::ZERO,
            down: Down::Silent,
            asleep_until: Now::ZERO,
            waiting: Vec::new(),
        }
    }

    pub(super) fn is_down(&self, now: Now) -> bool {
        self.down_until > now
    }

    fn refuses(&self, now: Now) -> bool {
        self.is_down(now) && self.down == Down::Refuses
    }

    pub(super) fn suspend(&mut self, now: Now, length: Duration) {
        self.target.suspend(now, length);
        self.asleep_until = now + length;
    }
}

impl RunFleet {
    /// Whether an order is lost on its way, to be carried out seconds later.
    fn loses(&mut self, i: usize) -> bool {
        self.targets[i].loses_orders && self.rng.random_bool(0.5)
    }

    fn carry_out_late(&mut self, i: usize, order: LateOrder) {
        let pause = Duration::from_millis(self.rng.random_range(500..6_000));
        let life = self.targets[i].target.life();
        self.after(pause, Event::Order(i, life, order));
    }

    fn answer(&mut self, i: usize, agent_life: u64, pause: Duration, event: AgentEvent) {
        self.after(pause, Event::Agent(i, agent_life, event));
    }

    pub(super) fn order_start(&mut self, i: usize, call: StartCall) {
        let agent_life = self.agents[i].life;
        let (key, token, limit) = (call.key, call.token, call.limit);
        let request = StartRequest {
            key,
            payload: call.payload,
            until: call.until,
            token,
            life: Some(call.target_name),
            is_late: false,
        };
        let answered = |answer| AgentEvent::StartAnswered { key, token, answer };
        if self.targets[i].is_down(self.now) {
            let event = answered(StartAnswer::Refused);
            return self.answer(i, agent_life, DELAY, event);
        }
        if self.targets[i].target.trouble.is_mute || self.loses(i) {
            self.carry_out_late(i, LateOrder::Start(request));
            return self.answer(i, agent_life, limit, answered(StartAnswer::Silent));
        }
        let answer = self.targets[i].target.start(self.now, &request);
        self.answer(i, agent_life, DELAY * 2, answered(answer));
        self.watch(i);
    }

    pub(super) fn order_stop(
        &mut self,
        i: usize,
        key: RunKey,
        token: FencingToken,
        life: Option<Arc<str>>,
    ) {
        if self.targets[i].is_down(self.now) {
            return;
        }
        if self.targets[i].target.trouble.is_mute || self.loses(i) {
            return self.carry_out_late(i, LateOrder::Stop(key, token, life));
        }
        let target = &mut self.targets[i].target;
        target.stop(self.now, key, token, life.as_deref());
        self.watch(i);
    }

    pub(super) fn order_renewal(&mut self, i: usize, renewal: Renewal, life: Option<Arc<str>>) {
        let agent_life = self.agents[i].life;
        let number = renewal.number;
        if self.targets[i].refuses(self.now) {
            let answer = RenewalAnswer::Refused;
            let event = AgentEvent::RenewalAnswered { number, answer };
            return self.answer(i, agent_life, DELAY, event);
        }
        let is_lost = self.targets[i].is_down(self.now)
            || self.targets[i].target.trouble.is_mute
            || self.loses(i);
        if is_lost {
            let answer = RenewalAnswer::Silent;
            let event = AgentEvent::RenewalAnswered { number, answer };
            self.answer(i, agent_life, renewal.limit, event);
            return self.carry_out_late(i, LateOrder::Renew(renewal, life));
        }
        let now = self.now;
        let target = &mut self.targets[i].target;
        // The lease counts from the arrival, the lists from the answer.
        let first = target.renew(
            now,
            renewal.token,
            renewal.until,
            renewal.last_seen,
            life.as_deref(),
        );
        let waits = matches!(first, RenewalAnswer::Lists { .. })
            && !target.has_news(renewal.last_seen)
            && !renewal.wait.is_zero();
        if !waits {
            let answer = first;
            let event = AgentEvent::RenewalAnswered { number, answer };
            return self.answer(i, agent_life, DELAY * 2, event);
        }
        let until = now + renewal.wait;
        self.targets[i].waiting.push(Waiting {
            renewal,
            life,
            agent_life,
            until,
        });
        self.at(until, Event::Look(i));
        self.watch(i);
    }

    pub(super) fn ask_life(&mut self, i: usize, look: Renewal, life: &Arc<str>) {
        let agent_life = self.agents[i].life;
        let number = look.number;
        let answered = |answer| AgentEvent::IncarnationChecked { number, answer };
        let is_lost = self.targets[i].is_down(self.now)
            || self.targets[i].target.trouble.is_mute
            || self.loses(i);
        if is_lost {
            return self.answer(
                i,
                agent_life,
                look.limit,
                answered(IncarnationAnswer::Silent),
            );
        }
        let target = &mut self.targets[i].target;
        let answer = target.renew(self.now, look.token, look.until, look.last_seen, Some(life));
        self.answer(i, agent_life, DELAY * 2, answered(answer.into()));
    }

    /// A report on its way to the agent, late if the target's reports are held back.
    pub(super) fn report(&mut self, i: usize, again: bool) {
        if again {
            self.after(REPORT_EVERY, Event::Report(i, true));
        }
        if self.targets[i].is_down(self.now) {
            return;
        }
        let (info, sequence) = self.targets[i].target.report();
        let report = TargetReport { info, sequence };
        if self.targets[i].has_strangers {
            self.report_of_stranger(i, report.clone());
        }
        if self.targets[i].delays_reports {
            let pause = Duration::from_millis(self.rng.random_range(100..4_000));
            self.after(pause, Event::LateReport(i, report.clone()));
        }
        let is_held = self.targets[i].delays_reports && self.rng.random_bool(0.5);
        if !is_held {
            let life = self.agents[i].life;
            let event = AgentEvent::Report(report);
            self.after(Duration::from_millis(1), Event::Agent(i, life, event));
        }
    }

    /// A report that the target did not write: of a name or a start that it never had, or of a
    /// service that it does not run, with a number far ahead.
    fn report_of_stranger(&mut self, i: usize, mut report: TargetReport) {
        report.sequence += 1_000;
        report.info.leaving = self.rng.random_bool(0.5);
        match self.rng.random_range(0..4) {
            0 => report.info.life.name = "stranger".into(),
            1 => report.info.life.born = None,
            2 => report.info.life.born = Some(self.rng.random()),
            _ => report.info.service = "nobody's".into(),
        }
        let life = self.agents[i].life;
        let pause = Duration::from_millis(self.rng.random_range(0..500));
        self.after(pause, Event::Agent(i, life, AgentEvent::Report(report)));
    }

    /// Looks at a target again when something happens there by itself.
    fn watch(&mut self, i: usize) {
        if let Some(at) = self.targets[i].target.next_change() {
            self.at(at.max(self.now), Event::Look(i));
        }
    }

    pub(super) fn look(&mut self, i: usize) {
        let now = self.now;
        self.targets[i].target.advance(now);
        if self.targets[i].target.has_crashed(now) {
            self.crash(i, RunTarget::restart, Down::Refuses, CRASHED_BY_TASK_FOR);
            return;
        }
        for waiting in std::mem::take(&mut self.targets[i].waiting) {
            let Waiting {
                renewal,
                life,
                agent_life,
                until,
            } = waiting;
            let target = &mut self.targets[i].target;
            if until > now && !target.has_news(renewal.last_seen) {
                self.targets[i].waiting.push(Waiting {
                    renewal,
                    life,
                    agent_life,
                    until,
                });
                continue;
            }
            let answer = target.renew(now, renewal.token, None, renewal.last_seen, life.as_deref());
            let number = renewal.number;
            let event = AgentEvent::RenewalAnswered { number, answer };
            self.answer(i, agent_life, DELAY, event);
        }
        self.watch_if_running(i);
    }

    fn watch_if_running(&mut self, i: usize) {
        if self.targets[i].target.running() > 0 {
            let now = self.now;
            let next = self.targets[i].target.next_change().filter(|at| *at > now);
            if let Some(at) = next {
                self.at(at, Event::Look(i));
            }
        }
    }

    pub(super) fn late_order(&mut self, i: usize, taken_by: &TargetIncarnation, order: LateOrder) {
        let now = self.now;
        if self.targets[i].is_down(now) {
            return;
        }
        let target = &mut self.targets[i].target;
        // What a target has taken in and not done yet dies with it. Renewals may also have been
        // held on their way.
        let is_held_on_its_way = matches!(order, LateOrder::Renew(..));
        if !is_held_on_its_way && target.life() != *taken_by {
            return;
        }
        match order {
            LateOrder::Start(mut request) => {
                request.is_late = true;
                target.start(now, &request);
            }
            LateOrder::Stop(key, token, life) => target.stop(now, key, token, life.as_deref()),
            LateOrder::Renew(r, life) => {
                target.renew(now, r.token, r.until, 0, life.as_deref());
            }
        }
        self.watch(i);
    }

    pub(super) fn crash(
        &mut self,
        i: usize,
        how: fn(&mut RunTarget, Now),
        down: Down,
        length: Duration,
    ) {
        let now = self.now;
        let served = &mut self.targets[i];
        how(&mut served.target, now);
        served.down_until = now + length;
        served.down = down;
        for waiting in std::mem::take(&mut served.waiting) {
            let number = waiting.renewal.number;
            let answer = RenewalAnswer::Silent;
            let event = AgentEvent::RenewalAnswered { number, answer };
            self.answer(i, waiting.agent_life, DELAY, event);
        }
        self.after(length, Event::Report(i, false));
    }

    pub(super) fn end_trouble(&mut self, ending: Ending) {
        match ending {
            Ending::Trouble(i) => self.targets[i].target.trouble = TargetImpairment::default(),
            Ending::Resize(i) => self.targets[i].target.capacity = self.shape.capacity,
            Ending::LateOrders(i) => self.targets[i].loses_orders = false,
            Ending::LateReports(i) => self.targets[i].delays_reports = false,
            Ending::ForeignReports(i) => self.targets[i].has_strangers = false,
        }
    }
}
