//! Simulates operators' evacuation orders and the store that publishes them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use trestleknot_lib::evacuations::EvacuatedHalls;
use trestleknot_lib::ids::{HallName, Now};
use trestleknot_lib::run_event::AgentEvent;

use super::{Event, FleetFault, Node, RunFleet, fault_injection};
use crate::run_target::RunRecord;

/// Time from the start of an entry to its first read of the store.
pub(super) const FIRST_READ: Duration = Duration::from_millis(20);
/// Interval between an entry's reads of the store.
const READ_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time that the store takes to answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Time after which an agent's call to the store fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Time that a process may take to reach the store again after a disruption.
const RECOVERY_TIME: Duration = Duration::from_millis(4_000);

/// An evacuation order.
#[derive(Debug, Clone)]
struct Evacuation {
    hall: HallName,
    from: Now,
    /// When it was withdrawn.
    to: Option<Now>,
}

/// Evacuation orders, the state of the store, and disruptions of processes.
#[derive(Debug, Default)]
pub(super) struct Operators {
    store_position: u64,
    halls: BTreeSet<HallName>,
    evacuations: Vec<Evacuation>,
    down_until: Now,
    cut_until: BTreeMap<Node, Now>,
    /// Disruptions: the process, or none for all processes; start and end.
    disruptions: Vec<(Option<Node>, Now, Now)>,
}

impl RunFleet {
    pub(super) fn evacuate(&mut self, hall: usize) {
        let hall = self.hall_of(hall);
        let from = self.now;
        self.operators.halls.insert(hall.clone());
        let evacuation = Evacuation {
            hall,
            from,
            to: None,
        };
        self.operators.evacuations.push(evacuation);
        self.publish();
    }

    pub(super) fn give_back(&mut self, hall: usize) {
        let hall = self.hall_of(hall);
        self.operators.halls.remove(&hall);
        let evacuations = self.operators.evacuations.iter_mut();
        for evacuation in evacuations.filter(|e| e.hall == hall && e.to.is_none()) {
            evacuation.to = Some(self.now);
        }
        self.publish();
    }

    pub(super) fn cut_from_store(&mut self, node: Node, length: Duration) {
        let until = self.now + length;
        self.operators.cut_until.insert(node, until);
    }

    pub(super) fn stop_store(&mut self, length: Duration) {
        self.operators.down_until = self.now + length;
    }

    /// Records a change in the store and answers the entries' reads.
    fn publish(&mut self) {
        self.operators.store_position += 1;
        for entry in 0..self.fleet_config.entries {
            self.answer_read(entry);
        }
    }

    fn reaches_store(&self, node: Node) -> bool {
        let cut_until = self.operators.cut_until.get(&node);
        let is_cut = cut_until.is_some_and(|until| *until > self.now);
        self.operators.down_until <= self.now && !is_cut && !self.is_cut(node)
    }

    fn evacuated(&self) -> Arc<EvacuatedHalls> {
        Arc::new(EvacuatedHalls {
            position: self.operators.store_position,
            halls: self.operators.halls.clone(),
        })
    }

    fn answer_read(&mut self, entry: usize) {
        let incarnation = self.entries[entry].incarnation;
        if self.reaches_store(Node::Entry(entry)) {
            let answer = Event::StoreAnswer(entry, incarnation, self.evacuated());
            self.schedule_after(ANSWER_TIME, answer);
        }
    }

    pub(super) fn read_store(&mut self, entry: usize, incarnation: u64) {
        if self.entries[entry].incarnation == incarnation {
            self.answer_read(entry);
            self.schedule_after(READ_INTERVAL, Event::StoreRead(entry, incarnation));
        }
    }

    pub(super) fn query_store(&mut self, agent: usize) {
        let incarnation = self.agents[agent].incarnation;
        let (pause, answer) = if self.reaches_store(Node::Agent(agent)) {
            (ANSWER_TIME, Some(self.evacuated()))
        } else {
            (CALL_TIMEOUT, None)
        };
        let event = AgentEvent::Evacuations(answer);
        self.schedule_after(pause, Event::ToAgent(agent, incarnation, event));
    }

    /// Answers an agent's query for entry addresses with all entries, unless all entries are seeds.
    pub(super) fn query_registry(&mut self, agent: usize) {
        if self.fleet_config.seeds.is_none() || !self.reaches_store(Node::Agent(agent)) {
            return;
        }
        let incarnation = self.agents[agent].incarnation;
        let entries = (0..self.fleet_config.entries).map(Self::address).collect();
        let event = AgentEvent::Entries(entries);
        self.schedule_after(ANSWER_TIME, Event::ToAgent(agent, incarnation, event));
    }

    pub(super) fn record_disruption(&mut self, fault: FleetFault) {
        let (node, length) = match fault {
            FleetFault::Kill(node) | FleetFault::Drain(node) | FleetFault::Reset(node) => {
                (Some(node), Duration::from_millis(500))
            }
            FleetFault::PowerOff(node) => (
                Some(node),
                fault_injection::POWER_OFF + Duration::from_millis(100),
            ),
            FleetFault::Freeze(node, length)
            | FleetFault::Suspend(node, length)
            | FleetFault::PowerOffFor(node, length)
            | FleetFault::Cut(node, length)
            | FleetFault::StoreCut(node, length) => (Some(node), length),
            FleetFault::StoreDown(length) => (None, length),
            _ => return,
        };
        let until = self.now + length;
        self.operators.disruptions.push((node, self.now, until));
    }

    fn has_store_contact(&self, node: Node, at: Now) -> bool {
        let is_disrupted = |(of, from, until): &(Option<Node>, Now, Now)| {
            of.is_none_or(|of| of == node) && *from <= at && *until + RECOVERY_TIME >= at
        };
        !self.operators.disruptions.iter().any(is_disrupted)
    }

    /// Starts in a hall more than the bound after its evacuation, by agents that could reach the
    /// store. Orders that a target carried out late don't count.
    pub fn starts_after_evacuation(&self) -> Vec<RunRecord> {
        let bound = self.fleet_config.evacuation_bound.unwrap_or(Duration::MAX);
        let mut starts = Vec::new();
        for (index, simulated_target) in self.targets.iter().enumerate() {
            let hall = self.hall_of(index);
            for record in &simulated_target.target.records {
                let is_forbidden = self.operators.evacuations.iter().any(|e| {
                    let until = e.to.unwrap_or(Now::MAX);
                    e.hall == hall && record.from > e.from + bound && record.from < until
                });
                let is_responsible =
                    !record.is_late && self.has_store_contact(Node::Agent(index), record.from);
                if is_forbidden && is_responsible {
                    starts.push(record.clone());
                }
            }
        }
        starts
    }

    /// Counts starts in a hall more than `grace` after its evacuation, by all agents.
    pub fn starts_in_evacuated(&self, grace: Duration) -> usize {
        let halls = self.targets.iter().enumerate();
        let starts = halls.map(|(index, simulated_target)| {
            let hall = self.hall_of(index);
            let records = simulated_target.target.records.iter();
            let is_forbidden = |r: &&RunRecord| {
                self.operators.evacuations.iter().any(|e| {
                    let until = e.to.unwrap_or(Now::MAX);
                    e.hall == hall && r.from > e.from + grace && r.from < until
                })
            };
            records.filter(is_forbidden).count()
        });
        starts.sum()
    }
}
