//! The operators' evacuations in the virtual fleet, and the store that tells of them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use trestleknot_lib::evacuations::EvacuatedHalls;
use trestleknot_lib::ids::{HallName, Now};
use trestleknot_lib::run_event::AgentEvent;

use super::{Event, FleetFault, Node, RunFleet, fault_injection};
use crate::run_target::RunRecord;

/// From the start of an entry to its first answer of the store.
pub(super) const FIRST_READ: Duration = Duration::from_millis(20);
/// How long a read waits for news.
const READ_WAIT: Duration = Duration::from_millis(1_000);
/// How long an answer of the store takes.
const ANSWER: Duration = Duration::from_millis(4);
/// How long an agent waits for one.
const CALL_LIMIT: Duration = Duration::from_millis(800);
/// A process that has suffered nothing for so long is in touch.
const CONTACT: Duration = Duration::from_millis(4_000);

/// An evacuation as it was ordered.
#[derive(Debug, Clone)]
struct Evacuation {
    hall: HallName,
    from: Now,
    /// When it was withdrawn.
    to: Option<Now>,
}

/// See the module.
#[derive(Debug, Default)]
pub(super) struct Operators {
    place: u64,
    halls: BTreeSet<HallName>,
    evacuations: Vec<Evacuation>,
    down_until: Now,
    cut_until: BTreeMap<Node, Now>,
    /// What each process suffered: from, until. Without a process, all of them.
    troubles: Vec<(Option<Node>, Now, Now)>,
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

    /// A record was written: reads that wait are answered.
    fn publish(&mut self) {
        self.operators.place += 1;
        for entry in 0..self.shape.entries {
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
            place: self.operators.place,
            halls: self.operators.halls.clone(),
        })
    }

    fn answer_read(&mut self, entry: usize) {
        let life = self.entries[entry].life;
        if self.reaches_store(Node::Entry(entry)) {
            let answer = Event::StoreAnswer(entry, life, self.evacuated());
            self.after(ANSWER, answer);
        }
    }

    pub(super) fn read_store(&mut self, entry: usize, life: u64) {
        if self.entries[entry].life == life {
            self.answer_read(entry);
            self.after(READ_WAIT, Event::StoreRead(entry, life));
        }
    }

    pub(super) fn ask_store(&mut self, agent: usize) {
        let life = self.agents[agent].life;
        let (pause, answer) = if self.reaches_store(Node::Agent(agent)) {
            (ANSWER, Some(self.evacuated()))
        } else {
            (CALL_LIMIT, None)
        };
        let event = AgentEvent::Evacuations(answer);
        self.after(pause, Event::Agent(agent, life, event));
    }

    /// An agent asks the store for entries. All have left their addresses there; where processes are
    /// told of all of them at start, there is nothing to learn.
    pub(super) fn ask_registry(&mut self, agent: usize) {
        if self.shape.seeds.is_none() || !self.reaches_store(Node::Agent(agent)) {
            return;
        }
        let life = self.agents[agent].life;
        let entries = (0..self.shape.entries).map(Self::address).collect();
        let event = AgentEvent::Entries(entries);
        self.after(ANSWER, Event::Agent(agent, life, event));
    }

    pub(super) fn note_trouble(&mut self, strike: FleetFault) {
        let (node, length) = match strike {
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
        self.operators.troubles.push((node, self.now, until));
    }

    fn is_in_touch(&self, node: Node, at: Now) -> bool {
        let fault_injection = |(of, from, until): &(Option<Node>, Now, Now)| {
            of.is_none_or(|of| of == node) && *from <= at && *until + CONTACT >= at
        };
        !self.operators.troubles.iter().any(fault_injection)
    }

    /// Starts in an evacuated hall later than the bound, by agents that were in touch. Orders that
    /// a target carried out late are its own.
    pub fn starts_after_evacuation(&self) -> Vec<RunRecord> {
        let bound = self.shape.evacuation_bound.unwrap_or(Duration::MAX);
        let mut starts = Vec::new();
        for (index, served) in self.targets.iter().enumerate() {
            let hall = self.hall_of(index);
            for record in &served.target.records {
                let is_forbidden = self.operators.evacuations.iter().any(|e| {
                    let until = e.to.unwrap_or(Now::MAX);
                    e.hall == hall && record.from > e.from + bound && record.from < until
                });
                let is_own = !record.is_late && self.is_in_touch(Node::Agent(index), record.from);
                if is_forbidden && is_own {
                    starts.push(record.clone());
                }
            }
        }
        starts
    }

    /// Starts in a hall while it was evacuated for longer than `grace`, whoever was in touch.
    pub fn starts_in_evacuated(&self, grace: Duration) -> usize {
        let halls = self.targets.iter().enumerate();
        let starts = halls.map(|(index, served)| {
            let hall = self.hall_of(index);
            let records = served.target.records.iter();
            let is_inside = |r: &&RunRecord| {
                self.operators.evacuations.iter().any(|e| {
                    let until = e.to.unwrap_or(Now::MAX);
                    e.hall == hall && r.from > e.from + grace && r.from < until
                })
            };
            records.filter(is_inside).count()
        });
        starts.sum()
    }
}
