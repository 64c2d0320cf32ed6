//! Places the tasks of batches on targets.
//!
//! It is lent the batches and the board of targets for one round, notes in both what it places,
//! and leaves the orders to be sent. A task that finds no room ends its step's turn: the step's
//! tasks are alike.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand_chacha::ChaCha8Rng;

use crate::active_batch::{Batch, TaskState};
use crate::batch::StepSpec;
use crate::batch_table::BatchTable;
use crate::crash_history::CrashHistory;
use crate::ids::{HallName, NodeName, Now, SessionId};
use crate::link_load::LinkLoad;
use crate::run::{BatchId, RunKey, RunNumber, TaskKey};
use crate::run_message::START_BYTES;
use crate::target_registry::{Need, TargetRegistry, TargetView};

/// A run is taken to last this long at the least where costs are shares of it.
const SHORTEST_RUN: Duration = Duration::from_millis(10);

/// Tasks of one step that go to one target.
#[derive(Debug)]
pub struct Placed {
    /// Link to the target's agent.
    pub link: SessionId,
    /// The batch.
    pub batch: BatchId,
    /// The step.
    pub step: usize,
    /// Position in the step and number of the run.
    pub runs: Vec<(u16, RunNumber)>,
    /// Whether the target is to run nothing else meanwhile.
    pub alone: bool,
    /// Whether the target has to be sent the payload.
    pub needs_payload: bool,
}

/// A task that waits.
struct Waiting {
    index: u16,
    run: RunNumber,
    avoid: Option<NodeName>,
    crashes: CrashHistory,
}

/// Where a task goes.
struct Place {
    link: SessionId,
    alone: bool,
}

/// See the module.
pub struct PlacementRound<'a> {
    /// Now.
    pub now: Now,
    /// Data hall of the entry.
    pub hall: &'a HallName,
    /// The batches.
    pub table: &'a mut BatchTable,
    /// The targets.
    pub targets: &'a mut TargetRegistry,
    /// The entry's own link.
    pub link: &'a mut LinkLoad,
    /// Chance.
    pub rng: &'a mut ChaCha8Rng,
    /// What was placed.
    pub placed: Vec<Placed>,
    /// Whether a task found no target with room.
    pub lacked_room: bool,
}

impl PlacementRound<'_> {
    /// Places what waits of a batch; false if some of it found no room.
    pub fn place(&mut self, id: BatchId) -> bool {
        let Some(batch) = self.table.get(id) else {
            return true;
        };
        let steps = batch.steps.len();
        let mut all_placed = true;
        for step in 0..steps {
            if self.table.get(id).is_some_and(|b| b.is_ready(step)) {
                all_placed &= self.place_step(id, step);
            }
        }
        self.table.note_waiting(id);
        all_placed
    }

    fn waiting(&self, id: BatchId, step: usize) -> Vec<Waiting> {
        let Some(batch) = self.table.get(id) else {
            return Vec::new();
        };
        let tasks = batch.steps[step].tasks.iter().enumerate();
        let waiting = tasks.filter(|(_, t)| t.state == TaskState::Waiting);
        waiting
            .map(|(index, task)| Waiting {
                index: index as u16,
                run: task.run,
                avoid: task.avoid.clone(),
                crashes: task.crashes,
            })
            .collect()
    }

    fn place_step(&mut self, id: BatchId, step: usize) -> bool {
        let mut by_link: BTreeMap<(SessionId, bool), Vec<(u16, RunNumber)>> = BTreeMap::new();
        let mut payload_sent_to = BTreeSet::new();
        if let Some(batch) = self.table.get(id) {
            payload_sent_to.clone_from(&batch.payload_sent_to);
        }
        let mut all_placed = true;
        for task in self.waiting(id, step) {
            if self.link.full_until(self.now).is_some() {
                all_placed = false;
                break;
            }
            let Some(place) = self.place_task(id, step, &task) else {
                // That no target suits a suspect says nothing of the room for others.
                if task.crashes.is_suspect() {
                    continue;
                }
                self.lacked_room = true;
                all_placed = false;
                break;
            };
            by_link
                .entry((place.link, place.alone))
                .or_default()
                .push((task.index, task.run));
        }
        for ((link, alone), runs) in by_link {
            let batch = id;
            self.placed.push(Placed {
                link,
                batch,
                step,
                runs,
                alone,
                needs_payload: !payload_sent_to.contains(&link),
            });
        }
        all_placed
    }

    /// Notes that a target is sent the payload, unless it has it.
    fn note_payload(&mut self, id: BatchId, link: SessionId) {
        let Some(batch) = self.table.get_mut(id) else {
            return;
        };
        let is_new = batch.payload_sent_to.insert(link);
        let payload = if is_new { batch.payload.len() } else { 0 };
        self.link.sent(self.now, START_BYTES + payload);
    }

    /// What the payload costs that one more target needs, as a share of a task's run time.
    fn payload_cost(&self, batch: &Batch, spec: &StepSpec) -> f64 {
        let price = self.link.price(self.now, batch.payload.len());
        price.div_duration_f64(spec.estimate.max(SHORTEST_RUN))
    }

    /// Chooses a target for a task and notes that it has it. A suspect goes to an idle target if
    /// there is one, and otherwise to one that has no other suspect: innocents are cleared sooner, and
    /// a crash takes less along.
    fn place_task(&mut self, id: BatchId, step: usize, task: &Waiting) -> Option<Place> {
        let mut chosen = None;
        if task.crashes.is_suspect() {
            chosen = self.choose(id, step, task, true);
        }
        let alone = chosen.is_some();
        if chosen.is_none() && !task.crashes.must_run_alone() {
            chosen = self.choose(id, step, task, false);
        }
        let link = chosen?;
        let batch = self.table.get(id)?;
        let view = self.targets.get(link)?;
        let taken = match &view.info {
            Some(info) if alone => info.capacity,
            _ => batch.steps[step].spec.size,
        };
        let agent = view.agent.clone();
        let key = RunKey {
            task: TaskKey {
                batch: id,
                time: 0,
                step: step as u16,
                index: task.index,
            },
            run: task.run,
        };
        self.targets.sent_start(self.now, link, taken);
        self.note_payload(id, link);
        self.table.record_run(self.now, key, &agent);
        Some(Place { link, alone })
    }

    fn choose(
        &mut self,
        id: BatchId,
        step: usize,
        task: &Waiting,
        is_idle: bool,
    ) -> Option<SessionId> {
        let batch = self.table.get(id)?;
        let spec = &batch.steps[step].spec;
        let need = Need {
            size: spec.size,
            queue: &batch.queue,
            required_label: spec.required_label.as_deref(),
            preferred_rack: spec.preferred_rack.as_deref(),
            avoid: task.avoid.as_deref(),
            payload_sent_to: &batch.payload_sent_to,
            payload_cost: self.payload_cost(batch, spec),
            is_idle,
        };
        let table = &*self.table;
        let is_full = |view: &TargetView| {
            let most = spec.most_per_target;
            let has_most =
                most.is_some_and(|most| table.step_runs_at(&view.agent, id, step as u16) >= most);
            has_most || (task.crashes.is_suspect() && table.has_suspect_at(&view.agent))
        };
        self.targets
            .choose(self.now, &need, self.hall, is_full, self.rng)
    }
}
