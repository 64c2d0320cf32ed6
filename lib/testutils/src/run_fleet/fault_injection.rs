//! What strikes do to the virtual fleet.

use std::time::Duration;

use trestleknot_lib::batch_event::EntryEvent;
use trestleknot_lib::resources::Resources;
use trestleknot_lib::run_event::AgentEvent;

use super::targets::{CRASHED_FOR, Down};
use super::{Event, FleetFault, Node, RunFleet, targets};
use crate::run_target::RunTarget;

/// How long a process without power is away as a rule.
pub const POWER_OFF: Duration = Duration::from_millis(900);

impl RunFleet {
    pub(super) fn apply_fault(&mut self, strike: FleetFault) {
        self.log.push(format!("{:?} strike {strike:?}", self.now));
        self.note_trouble(strike);
        match strike {
            FleetFault::Kill(node) => self.stop(node, Duration::from_millis(300)),
            FleetFault::PowerOff(node) => self.power_off(node, POWER_OFF),
            FleetFault::PowerOffFor(node, length) => self.power_off(node, length),
            FleetFault::Freeze(Node::Entry(i), length) => {
                self.entries[i].frozen_until = self.now + length;
            }
            FleetFault::Freeze(Node::Agent(i), length) => {
                self.agents[i].frozen_until = self.now + length;
            }
            FleetFault::Suspend(node, length) => self.suspend(node, length),
            FleetFault::Resize(i, percent, length) => {
                self.targets[i].target.capacity = percent_of(self.shape.capacity, percent);
                self.after(length, Event::End(targets::Ending::Resize(i)));
            }
            FleetFault::Cut(node, length) => self.cut(node, length),
            FleetFault::Reset(node) => {
                self.reset_links(node);
                if let Node::Entry(i) = node {
                    self.break_callers(i, true);
                }
            }
            FleetFault::Drain(Node::Entry(i)) => self.tell_entry(i, EntryEvent::Drain),
            FleetFault::Drain(Node::Agent(i)) => self.tell_agent(i, AgentEvent::Drain),
            FleetFault::Crash(i) => self.crash(i, RunTarget::crash, Down::Silent, CRASHED_FOR),
            FleetFault::Restart(i) => self.crash(i, RunTarget::restart, Down::Silent, CRASHED_FOR),
            FleetFault::Trouble(i, trouble, length) => {
                self.targets[i].target.trouble = trouble;
                self.after(length, Event::End(targets::Ending::Trouble(i)));
            }
            FleetFault::LateReports(i, length) => {
                self.targets[i].delays_reports = true;
                self.after(length, Event::End(targets::Ending::LateReports(i)));
            }
            FleetFault::ForeignReports(i, length) => {
                self.targets[i].has_strangers = true;
                self.after(length, Event::End(targets::Ending::ForeignReports(i)));
            }
            FleetFault::LateOrders(i, length) => {
                self.targets[i].loses_orders = true;
                self.after(length, Event::End(targets::Ending::LateOrders(i)));
            }
            FleetFault::Leave(i) => self.targets[i].target.leave(),
            FleetFault::ClockBack => self.token_base -= 3_600_000,
            FleetFault::Evacuate(hall) => self.evacuate(hall),
            FleetFault::GiveBack(hall) => self.give_back(hall),
            FleetFault::StoreCut(node, length) => self.cut_from_store(node, length),
            FleetFault::StoreDown(length) => self.stop_store(length),
        }
    }

    /// Suspends a VM: its process, and for an agent its target, stand still, and so does a clock that
    /// does not count it.
    fn suspend(&mut self, node: Node, length: Duration) {
        // One that sleeps already sleeps on.
        let from = match node {
            Node::Entry(i) => self.entries[i].asleep_until.max(self.now),
            Node::Agent(i) => self.agents[i].asleep_until.max(self.now),
        };
        let until = from.max(self.now + length);
        let length = until - from;
        let uncounted = if self.shape.counts_suspension {
            Duration::ZERO
        } else {
            length
        };
        match node {
            Node::Entry(i) => self.entries[i].sleep(until, uncounted),
            Node::Agent(i) => {
                self.agents[i].sleep(until, uncounted);
                self.targets[i].suspend(from, length);
                self.agents[i].untold_sleep += length;
                self.at(until, Event::Awake(i));
            }
        }
    }

    /// Ends a process; its connections are closed by its kernel, and it starts again.
    pub(super) fn stop(&mut self, node: Node, pause: Duration) {
        if let Node::Entry(i) = node {
            self.break_callers(i, false);
        }
        self.reset_links(node);
        self.forget_process(node);
        self.after(pause, Event::Start(node));
    }

    pub(super) fn power_off(&mut self, node: Node, length: Duration) {
        if let Node::Entry(i) = node {
            // Its callers hear nothing until their own time is up.
            let life = self.entries[i].life;
            for caller in self.callers.values_mut() {
                if caller.at.is_some_and(|(e, l, _)| e == i && l == life) {
                    caller.at = None;
                }
            }
        }
        self.links.silence(node);
        self.forget_process(node);
        self.after(length, Event::Start(node));
    }

    pub(super) fn forget_process(&mut self, node: Node) {
        match node {
            Node::Entry(i) => {
                self.entries[i].core = None;
                self.entries[i].life = 0;
            }
            Node::Agent(i) => {
                self.agents[i].core = None;
                self.agents[i].life = 0;
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

fn percent_of(room: Resources, percent: u32) -> Resources {
    room.times(u64::from(percent)).divided_by(100)
}
