//! Simulates the calls between agents and targets, with lost answers and delayed orders.

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

use super::fault_injection::percent_of;
use super::{Event, REPORT_EVERY, RunFleet};
use crate::run_target::{RunTarget, StartRequest, TargetImpairment};

/// One-way latency between an agent and its target.
const DELAY: Duration = Duration::from_micros(200);
/// Share of a target's orders that [`FleetFault::ScatteredOrders`] delays.
///
/// [`FleetFault::ScatteredOrders`]: super::FleetFault::ScatteredOrders
const SCATTERED_SHARE: f64 = 0.7;
/// Longest time in milliseconds that an answer is delayed; longer than agents wait for it.
const MAX_ANSWER_MS: u64 = 200;
/// Downtime of a target after an injected crash.
pub(super) const CRASHED_FOR: Duration = Duration::from_millis(200);
/// Downtime of a target that comes back as another kind.
pub(super) const KIND_CHANGED_FOR: Duration = Duration::from_millis(50);
/// Downtime of a target that takes calls before it reports.
const UNREPORTED_DOWN_FOR: Duration = Duration::from_millis(100);
/// Downtime of a target after a task crashed it.
const CRASHED_BY_TASK_FOR: Duration = Duration::from_millis(2_000);

/// How a target that is down treats calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Down {
    /// It does not answer, as after a power loss.
    Silent,
    /// It refuses connections, as a VM whose process has exited does.
    Refuses,
}

/// An order that is carried out late.
pub(super) enum LateOrder {
    Start(StartRequest),
    Stop(RunKey, FencingToken, Option<Arc<str>>),
    Renew(Renewal, Option<Arc<str>>),
}

/// A fault of a target that ends after a given time.
pub(super) enum TimedFault {
    Impairment(usize),
    Resize(usize),
    LateOrders(usize),
    ScatteredOrders(usize),
    LateReports(usize),
    ForeignReports(usize),
}

/// A renewal that waits for ended runs to list.
struct PendingRenewal {
    renewal: Renewal,
    target_name: Option<Arc<str>>,
    agent_incarnation: u64,
    until: Now,
}

/// A target, its faults and its pending renewals.
pub(super) struct SimulatedTarget {
    pub(super) target: RunTarget,
    pub(super) loses_orders: bool,
    /// Longest delay of its orders, most of which go unanswered; none if they are not delayed.
    pub(super) order_delay: Option<Duration>,
    /// Until when its answers take random times.
    pub(super) scatters_answers_until: Now,
    /// Stops that arrive before this time are carried out at it.
    pub(super) delays_stops_until: Now,
    /// Whether each report is repeated seconds later; half of them arrive only then.
    pub(super) delays_reports: bool,
    /// Whether a foreign report accompanies each report.
    pub(super) has_foreign_reports: bool,
    down_until: Now,
    down: Down,
    /// Until when it sends no reports.
    unreported_until: Now,
    pub(super) suspended_until: Now,
    pending_renewals: Vec<PendingRenewal>,
}

impl SimulatedTarget {
    pub(super) fn new(target: RunTarget) -> Self {
        Self {
            target,
            loses_orders: false,
            order_delay: None,
            scatters_answers_until: Now::ZERO,
            delays_stops_until: Now::ZERO,
            delays_reports: false,
            has_foreign_reports: false,
            down_until: Now::ZERO,
            down: Down::Silent,
            unreported_until: Now::ZERO,
            suspended_until: Now::ZERO,
            pending_renewals: Vec::new(),
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
        self.suspended_until = now + length;
    }
}

impl RunFleet {
    /// Draws whether an order is lost; lost orders are carried out seconds later.
    fn loses_order(&mut self, i: usize) -> bool {
        if self.targets[i].order_delay.is_some() {
            return self.rng.random_bool(SCATTERED_SHARE);
        }
        self.targets[i].loses_orders && self.rng.random_bool(0.5)
    }

    fn delay_order(&mut self, i: usize, order: LateOrder) {
        let pause = match self.targets[i].order_delay {
            // Short delays are more likely: an order has an effect only within its lease.
            Some(longest) => longest.mul_f64(self.rng.random_range(0.0_f64..1.0).powi(2)),
            None => Duration::from_millis(self.rng.random_range(500..6_000)),
        };
        let accepted_by = self.targets[i].target.life();
        self.schedule_after(pause, Event::LateOrder(i, accepted_by, order));
    }

    fn answer(&mut self, i: usize, agent_incarnation: u64, pause: Duration, event: AgentEvent) {
        let extra = match self.targets[i].scatters_answers_until > self.now {
            true => Duration::from_millis(self.rng.random_range(0..MAX_ANSWER_MS)),
            false => Duration::ZERO,
        };
        let pause = pause + extra;
        self.schedule_after(pause, Event::ToAgent(i, agent_incarnation, event));
    }

    pub(super) fn order_start(&mut self, i: usize, call: StartCall) {
        let agent_incarnation = self.agents[i].incarnation;
        let (key, token, limit) = (call.key, call.token, call.limit);
        let request = StartRequest {
            key,
            payload: call.payload,
            until: call.until,
            token,
            life: Some(call.target_name),
            born: call.born,
            is_late: false,
        };
        let answered = |answer| AgentEvent::StartAnswered { key, token, answer };
        if self.targets[i].is_down(self.now) {
            let event = answered(StartAnswer::Refused);
            return self.answer(i, agent_incarnation, DELAY, event);
        }
        if self.targets[i].target.trouble.is_mute || self.loses_order(i) {
            self.delay_order(i, LateOrder::Start(request));
            return self.answer(i, agent_incarnation, limit, answered(StartAnswer::NoAnswer));
        }
        let answer = self.targets[i].target.start(self.now, &request);
        self.answer(i, agent_incarnation, DELAY * 2, answered(answer));
        self.schedule_check(i);
    }

    pub(super) fn order_stop(
        &mut self,
        i: usize,
        key: RunKey,
        token: FencingToken,
        target_name: Option<Arc<str>>,
    ) {
        if self.targets[i].is_down(self.now) {
            return;
        }
        let delayed_until = self.targets[i].delays_stops_until;
        if delayed_until > self.now {
            let accepted_by = self.targets[i].target.life();
            let stop = LateOrder::Stop(key, token, target_name);
            return self.schedule_at(delayed_until, Event::LateOrder(i, accepted_by, stop));
        }
        if self.targets[i].target.trouble.is_mute || self.loses_order(i) {
            return self.delay_order(i, LateOrder::Stop(key, token, target_name));
        }
        let target = &mut self.targets[i].target;
        target.stop(self.now, key, token, target_name.as_deref());
        self.schedule_check(i);
    }

    pub(super) fn order_renewal(
        &mut self,
        i: usize,
        renewal: Renewal,
        target_name: Option<Arc<str>>,
    ) {
        let agent_incarnation = self.agents[i].incarnation;
        let number = renewal.number;
        if self.targets[i].refuses(self.now) {
            let answer = RenewalAnswer::Refused;
            let event = AgentEvent::RenewalAnswered { number, answer };
            return self.answer(i, agent_incarnation, DELAY, event);
        }
        let is_lost = self.targets[i].is_down(self.now)
            || self.targets[i].target.trouble.is_mute
            || self.loses_order(i);
        if is_lost {
            let answer = RenewalAnswer::NoAnswer;
            let event = AgentEvent::RenewalAnswered { number, answer };
            self.answer(i, agent_incarnation, renewal.timeout, event);
            return self.delay_order(i, LateOrder::Renew(renewal, target_name));
        }
        let now = self.now;
        let target = &mut self.targets[i].target;
        // The lease is renewed on arrival; the lists are taken when the answer is sent.
        let first = target.answer_renewal(now, &renewal, target_name.as_deref());
        let waits = matches!(first, RenewalAnswer::Lists { .. })
            && !target.has_unseen_ends(renewal.last_seen)
            && !renewal.wait.is_zero();
        if !waits {
            let answer = first;
            let event = AgentEvent::RenewalAnswered { number, answer };
            return self.answer(i, agent_incarnation, DELAY * 2, event);
        }
        let until = now + renewal.wait;
        self.targets[i].pending_renewals.push(PendingRenewal {
            renewal,
            target_name,
            agent_incarnation,
            until,
        });
        self.schedule_at(until, Event::CheckTarget(i));
        self.schedule_check(i);
    }

    pub(super) fn check_incarnation(&mut self, i: usize, query: Renewal, target_name: &Arc<str>) {
        let agent_incarnation = self.agents[i].incarnation;
        let number = query.number;
        let answered = |answer| AgentEvent::IncarnationChecked { number, answer };
        let is_lost = self.targets[i].is_down(self.now)
            || self.targets[i].target.trouble.is_mute
            || self.loses_order(i);
        if is_lost {
            return self.answer(
                i,
                agent_incarnation,
                query.timeout,
                answered(IncarnationAnswer::NoAnswer),
            );
        }
        let target = &mut self.targets[i].target;
        let answer = target.answer_renewal(self.now, &query, Some(target_name));
        self.answer(i, agent_incarnation, DELAY * 2, answered(answer.into()));
    }

    /// Sends a target's report to its agent, and schedules the next one if `repeats` is set.
    pub(super) fn report(&mut self, i: usize, repeats: bool) {
        if repeats {
            self.schedule_after(REPORT_EVERY, Event::Report(i, true));
        }
        let target = &self.targets[i];
        if target.is_down(self.now) || target.unreported_until > self.now {
            return;
        }
        let (info, sequence) = self.targets[i].target.report();
        let report = TargetReport { info, sequence };
        if self.targets[i].has_foreign_reports {
            self.send_foreign_report(i, report.clone());
        }
        if self.targets[i].delays_reports {
            let pause = Duration::from_millis(self.rng.random_range(100..4_000));
            self.schedule_after(pause, Event::LateReport(i, report.clone()));
        }
        let is_delayed = self.targets[i].delays_reports && self.rng.random_bool(0.5);
        if !is_delayed {
            let incarnation = self.agents[i].incarnation;
            let event = AgentEvent::Report(report);
            self.schedule_after(
                Duration::from_millis(1),
                Event::ToAgent(i, incarnation, event),
            );
        }
    }

    /// Sends the agent a report that the target did not write: with a name or start time that it
    /// never had or a service that it does not run, and a sequence number far ahead.
    fn send_foreign_report(&mut self, i: usize, mut report: TargetReport) {
        report.sequence += 1_000;
        report.info.leaving = self.rng.random_bool(0.5);
        match self.rng.random_range(0..4) {
            0 => report.info.life.name = "stranger".into(),
            1 => report.info.life.born = None,
            2 => report.info.life.born = Some(self.rng.random()),
            _ => report.info.service = "nobody's".into(),
        }
        let incarnation = self.agents[i].incarnation;
        let pause = Duration::from_millis(self.rng.random_range(0..500));
        self.schedule_after(
            pause,
            Event::ToAgent(i, incarnation, AgentEvent::Report(report)),
        );
    }

    /// Schedules a check at the target's next change of its own.
    fn schedule_check(&mut self, i: usize) {
        if let Some(at) = self.targets[i].target.next_change() {
            self.schedule_at(at.max(self.now), Event::CheckTarget(i));
        }
    }

    pub(super) fn check_target(&mut self, i: usize) {
        let now = self.now;
        self.targets[i].target.advance(now);
        if self.targets[i].target.has_crashed(now) {
            self.crash(i, RunTarget::restart, Down::Refuses, CRASHED_BY_TASK_FOR);
            return;
        }
        for pending in std::mem::take(&mut self.targets[i].pending_renewals) {
            let PendingRenewal {
                renewal,
                target_name,
                agent_incarnation,
                until,
            } = pending;
            let target = &mut self.targets[i].target;
            if until > now && !target.has_unseen_ends(renewal.last_seen) {
                self.targets[i].pending_renewals.push(PendingRenewal {
                    renewal,
                    target_name,
                    agent_incarnation,
                    until,
                });
                continue;
            }
            let query = Renewal {
                until: None,
                ..renewal
            };
            let answer = target.answer_renewal(now, &query, target_name.as_deref());
            let number = renewal.number;
            let event = AgentEvent::RenewalAnswered { number, answer };
            self.answer(i, agent_incarnation, DELAY, event);
        }
        self.schedule_check_if_running(i);
    }

    fn schedule_check_if_running(&mut self, i: usize) {
        if self.targets[i].target.running() > 0 {
            let now = self.now;
            let next = self.targets[i].target.next_change().filter(|at| *at > now);
            if let Some(at) = next {
                self.schedule_at(at, Event::CheckTarget(i));
            }
        }
    }

    pub(super) fn handle_late_order(
        &mut self,
        i: usize,
        accepted_by: &TargetIncarnation,
        order: LateOrder,
    ) {
        let now = self.now;
        if self.targets[i].is_down(now) {
            return;
        }
        let target = &mut self.targets[i].target;
        // Accepted orders are lost when the target's incarnation ends. Renewals may also be delayed
        // in transit, and reach the next incarnation.
        let is_delayed_in_transit = matches!(order, LateOrder::Renew(..));
        if !is_delayed_in_transit && target.life() != *accepted_by {
            return;
        }
        match order {
            LateOrder::Start(mut request) => {
                request.is_late = true;
                target.start(now, &request);
            }
            LateOrder::Stop(key, token, target_name) => {
                target.stop(now, key, token, target_name.as_deref())
            }
            LateOrder::Renew(renewal, target_name) => {
                let late = Renewal {
                    last_seen: 0,
                    ..renewal
                };
                target.answer_renewal(now, &late, target_name.as_deref());
            }
        }
        self.schedule_check(i);
    }

    pub(super) fn crash(
        &mut self,
        i: usize,
        restart: fn(&mut RunTarget, Now),
        down: Down,
        length: Duration,
    ) {
        let now = self.now;
        let simulated_target = &mut self.targets[i];
        restart(&mut simulated_target.target, now);
        simulated_target.down_until = now + length;
        simulated_target.down = down;
        for pending in std::mem::take(&mut simulated_target.pending_renewals) {
            let number = pending.renewal.number;
            let answer = RenewalAnswer::NoAnswer;
            let event = AgentEvent::RenewalAnswered { number, answer };
            self.answer(i, pending.agent_incarnation, DELAY, event);
        }
        self.schedule_after(length, Event::Report(i, false));
    }

    pub(super) fn restart_unreported(&mut self, i: usize, percent: u32, unreported: Duration) {
        let target = &mut self.targets[i].target;
        target.capacity = percent_of(target.usual_capacity, percent);
        let reports_after = UNREPORTED_DOWN_FOR + unreported;
        self.targets[i].unreported_until = self.now + reports_after;
        self.crash(i, RunTarget::restart, Down::Refuses, UNREPORTED_DOWN_FOR);
        self.schedule_after(reports_after, Event::Report(i, false));
    }

    pub(super) fn end_fault(&mut self, fault: TimedFault) {
        match fault {
            TimedFault::Impairment(i) => {
                self.targets[i].target.trouble = TargetImpairment::default()
            }
            TimedFault::Resize(i) => {
                let target = &mut self.targets[i].target;
                target.capacity = target.usual_capacity;
            }
            TimedFault::LateOrders(i) => self.targets[i].loses_orders = false,
            TimedFault::ScatteredOrders(i) => self.targets[i].order_delay = None,
            TimedFault::LateReports(i) => self.targets[i].delays_reports = false,
            TimedFault::ForeignReports(i) => self.targets[i].has_foreign_reports = false,
        }
    }
}
