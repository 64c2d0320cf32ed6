//! Applies faults to the simulated fleet.

use std::time::Duration;

use trestleknot_lib::batch_event::EntryEvent;
use trestleknot_lib::resources::Resources;
use trestleknot_lib::run_event::AgentEvent;

use super::targets::{CRASHED_FOR, Down, KIND_CHANGED_FOR};
use super::{Event, FleetFault, Node, RunFleet, targets};
use crate::run_target::RunTarget;

/// Default time from a power loss to the restart.
pub const POWER_OFF: Duration = Duration::from_millis(900);

impl RunFleet {
    pub(super) fn apply_fault(&mut self, fault: FleetFault) {
        self.log.push(format!("{:?} strike {fault:?}", self.now));
        self.record_disruption(fault);
        match fault {
            FleetFault::Kill(node) => self.stop(node, Duration::from_millis(300)),
            FleetFault::PowerOff(node) => self.power_off(node, POWER_OFF),
            FleetFault::PowerOffFor(node, length) => self.power_off(node, length),
            FleetFault::Freeze(Node::Entry(i), length) => {
                let process = &mut self.entries[i];
                process.stalled_until = process.stalled_until.max(self.now + length);
            }
            FleetFault::Freeze(Node::Agent(i), length) => {
                let process = &mut self.agents[i];
                process.stalled_until = process.stalled_until.max(self.now + length);
            }
            FleetFault::Suspend(node, length) => self.suspend(node, length),
            FleetFault::Resize(i, percent, length) => {
                self.targets[i].target.capacity =
                    percent_of(self.targets[i].target.usual_capacity, percent);
                self.schedule_after(length, Event::EndFault(targets::TimedFault::Resize(i)));
            }
            FleetFault::Cut(node, length) => self.cut(node, length),
            FleetFault::CutBetween(a, b, length) => self.links.cut(a, b, self.now + length),
            FleetFault::CutCallers(i, length, close_delay) => {
                self.caller_paths[i].cut(self.now, length, close_delay);
            }
            FleetFault::CutOneWay(from, to, length) => {
                self.links.cut_one_way(from, to, self.now + length);
            }
            FleetFault::Lossy(node, percent, length) => {
                self.links.lose_packets(node, percent, self.now + length);
            }
            FleetFault::SilenceBetween(a, b, silence) => {
                self.silence(silence, 100, |link| link.connects(a) && link.connects(b));
            }
            FleetFault::SilenceLinks(node, percent, silence) => {
                self.silence(silence, percent, |link| link.connects(node));
            }
            FleetFault::SilenceAll(silence) => self.silence(silence, 100, |_| true),
            FleetFault::Reset(node) => {
                self.reset_links(node);
                if let Node::Entry(i) = node {
                    self.disconnect_callers(i, true);
                }
            }
            FleetFault::Drain(Node::Entry(i)) => self.tell_entry(i, EntryEvent::Drain),
            FleetFault::Drain(Node::Agent(i)) => self.tell_agent(i, AgentEvent::Drain),
            FleetFault::Crash(i) => self.crash(i, RunTarget::crash, Down::Silent, CRASHED_FOR),
            FleetFault::Restart(i) => self.crash(i, RunTarget::restart, Down::Silent, CRASHED_FOR),
            FleetFault::LosePower(i, keeps_name, length) => {
                let restart = if keeps_name {
                    RunTarget::restart
                } else {
                    RunTarget::crash
                };
                self.crash(i, restart, Down::Silent, length);
            }
            FleetFault::Exit(i) => self.crash(i, RunTarget::restart, Down::Refuses, CRASHED_FOR),
            FleetFault::ChangeKind(i) => {
                let target = &mut self.targets[i].target;
                target.kind = target.kind.other();
                self.crash(i, RunTarget::crash, Down::Refuses, KIND_CHANGED_FOR);
            }
            FleetFault::RestartUnreported(i, percent, unreported) => {
                self.restart_unreported(i, percent, unreported);
            }
            FleetFault::Trouble(i, impairment, length) => {
                self.targets[i].target.trouble = impairment;
                self.schedule_after(length, Event::EndFault(targets::TimedFault::Impairment(i)));
            }
            FleetFault::LateReports(i, length) => {
                self.targets[i].delays_reports = true;
                self.schedule_after(length, Event::EndFault(targets::TimedFault::LateReports(i)));
            }
            FleetFault::ForeignReports(i, length) => {
                self.targets[i].has_foreign_reports = true;
                self.schedule_after(
                    length,
                    Event::EndFault(targets::TimedFault::ForeignReports(i)),
                );
            }
            FleetFault::LateOrders(i, length) => {
                self.targets[i].loses_orders = true;
                self.schedule_after(length, Event::EndFault(targets::TimedFault::LateOrders(i)));
            }
            FleetFault::ScatteredOrders(i, longest, length) => {
                self.targets[i].order_delay = Some(longest);
                let end = targets::TimedFault::ScatteredOrders(i);
                self.schedule_after(length, Event::EndFault(end));
            }
            FleetFault::ScatteredAnswers(i, length) => {
                self.targets[i].scatters_answers_until = self.now + length;
            }
            FleetFault::LateStops(i, length) => {
                self.targets[i].delays_stops_until = self.now + length;
            }
            FleetFault::Leave(i) => self.targets[i].target.leave(),
            FleetFault::ClockBack => self.token_base -= 3_600_000,
            FleetFault::ClockStep(millis) => {
                self.token_base = self.token_base.saturating_add_signed(millis);
            }
            FleetFault::Evacuate(hall) => self.evacuate(hall),
            FleetFault::GiveBack(hall) => self.give_back(hall),
            FleetFault::StoreCut(node, length) => self.cut_from_store(node, length),
            FleetFault::StoreDown(length) => self.stop_store(length),
        }
    }

    /// Suspends the VM of a process, and an agent's target with it. Clocks that don't count
    /// suspension stop meanwhile.
    fn suspend(&mut self, node: Node, length: Duration) {
        // Extends a suspension that is in progress.
        let from = match node {
            Node::Entry(i) => self.entries[i].suspended_until.max(self.now),
            Node::Agent(i) => self.agents[i].suspended_until.max(self.now),
        };
        let until = from.max(self.now + length);
        let length = until - from;
        let uncounted = if self.fleet_config.counts_suspension {
            Duration::ZERO
        } else {
            length
        };
        match node {
            Node::Entry(i) => self.entries[i].suspend(until, uncounted),
            Node::Agent(i) => {
                self.agents[i].suspend(until, uncounted);
                self.targets[i].suspend(from, length);
                self.agents[i].unreported_suspension += length;
                self.schedule_at(until, Event::Resumed(i));
            }
        }
    }

    /// Ends a process, closes its connections, and restarts it after `pause`.
    pub(super) fn stop(&mut self, node: Node, pause: Duration) {
        if let Node::Entry(i) = node {
            self.disconnect_callers(i, false);
        }
        self.reset_links(node);
        self.remove_process(node);
        self.schedule_after(pause, Event::Start(node));
    }

    pub(super) fn power_off(&mut self, node: Node, length: Duration) {
        if let Node::Entry(i) = node {
            // Its callers get no notice that the connection is gone.
            let incarnation = self.entries[i].incarnation;
            for caller in self.callers.values_mut() {
                if caller
                    .open_request
                    .is_some_and(|(e, l, _)| e == i && l == incarnation)
                {
                    caller.open_request = None;
                    caller.is_cut_off = true;
                }
            }
        }
        self.links.lose_power(node);
        self.remove_process(node);
        self.schedule_after(length, Event::Start(node));
    }

    pub(super) fn remove_process(&mut self, node: Node) {
        match node {
            Node::Entry(i) => {
                self.entries[i].core = None;
                self.entries[i].incarnation = 0;
            }
            Node::Agent(i) => {
                self.agents[i].core = None;
                self.agents[i].incarnation = 0;
            }
        }
        self.dialled.remove(&node);
    }

    pub(super) fn cut(&mut self, node: Node, length: Duration) {
        let until = self.now + length;
        match node {
            Node::Entry(i) => self.entries[i].cut_until = until,
            Node::Agent(i) => self.agents[i].cut_until = until,
        }
    }
}

pub(super) fn percent_of(capacity: Resources, percent: u32) -> Resources {
    capacity.times(u64::from(percent)).divided_by(100)
}
