//! Places waiting tasks on targets.
//!
//! A round records each placement with the batches and the targets, and collects the start orders
//! to send. If a task of a step finds no capacity, the rest of the step is skipped, because all its
//! tasks need the same resources. A task that is suspected of crashing targets is an exception: it
//! may lack only an idle target.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand_chacha::ChaCha8Rng;

use crate::active_batch::{Batch, TaskState};
use crate::batch::StepSpec;
use crate::batch_table::BatchTable;
use crate::crash_history::CrashHistory;
use crate::handover_receiver::HandoverReceiver;
use crate::ids::{HallName, NodeName, Now, SessionId};
use crate::link_load::LinkLoad;
use crate::run::{BatchId, RunKey, RunNumber, TaskKey};
use crate::run_message::START_ORDER_BYTES;
use crate::target_registry::{TargetRegistry, TargetView, TaskRequirements};

/// Shortest estimate by which the payload's cost is divided.
const MIN_RUN_TIME: Duration = Duration::from_millis(10);

/// Tasks of one step to start on one target with one order.
#[derive(Debug)]
pub struct StartGroup {
    /// Link to the target's agent.
    pub link: SessionId,
    /// Id of the batch.
    pub batch: BatchId,
    /// Index of the step.
    pub step: usize,
    /// Task index in the step and run number of each task.
    pub runs: Vec<(u16, RunNumber)>,
    /// Whether the target must run nothing else meanwhile.
    pub alone: bool,
    /// Whether the payload must be sent to the target.
    pub needs_payload: bool,
}

/// A task to be placed.
struct WaitingTask {
    index: u16,
    run: RunNumber,
    avoid: Option<NodeName>,
    crashes: CrashHistory,
}

/// Target chosen for a task.
struct ChosenTarget {
    link: SessionId,
    alone: bool,
}

/// One placement round over the waiting batches.
pub struct PlacementRound<'a> {
    /// Time of the round.
    pub now: Now,
    /// Data hall of the entry.
    pub hall: &'a HallName,
    /// All batches of the entry.
    pub table: &'a mut BatchTable,
    /// All targets known to the entry.
    pub targets: &'a mut TargetRegistry,
    /// The batches that were taken over from other entries.
    pub receiver: &'a HandoverReceiver,
    /// Load of the entry's own network link.
    pub link_load: &'a mut LinkLoad,
    /// Random number generator.
    pub rng: &'a mut ChaCha8Rng,
    /// Tasks placed so far.
    pub placed: Vec<StartGroup>,
    /// Whether a task found no target with free capacity.
    pub lacked_capacity: bool,
    /// Whether a task of the last batch waits although a target has free capacity.
    pub has_declined: bool,
}

impl PlacementRound<'_> {
    /// Tries to place the waiting tasks of a batch's ready steps. Returns false if the link was
    /// full or a task that isn't suspected found no target.
    pub fn place(&mut self, id: BatchId) -> bool {
        let Some(batch) = self.table.get(id) else {
            return true;
        };
        let steps = batch.steps.len();
        self.has_declined = false;
        let mut all_placed = true;
        for step in 0..steps {
            if self.table.get(id).is_some_and(|b| b.is_ready(step)) {
                all_placed &= self.place_step(id, step);
            }
        }
        if self.has_declined
            && let Some(batch) = self.table.get_mut(id)
        {
            batch.has_declined = true;
        }
        self.table.update_waiting(id);
        all_placed
    }

    fn waiting_tasks(&self, id: BatchId, step: usize) -> Vec<WaitingTask> {
        let Some(batch) = self.table.get(id) else {
            return Vec::new();
        };
        let tasks = batch.steps[step].tasks.iter().enumerate();
        let waiting = tasks.filter(|(_, t)| t.state == TaskState::Waiting);
        waiting
            .map(|(index, task)| WaitingTask {
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
        for task in self.waiting_tasks(id, step) {
            if self.link_load.full_until(self.now).is_some() {
                all_placed = false;
                break;
            }
            let Some(place) = self.place_task(id, step, &task) else {
                // A suspect may find no target even if there is capacity for other tasks.
                if task.crashes.is_suspect() {
                    continue;
                }
                self.lacked_capacity = true;
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
            self.placed.push(StartGroup {
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

    /// Records the link load of a start order, and of the payload if the target doesn't have it.
    fn record_start(&mut self, id: BatchId, link: SessionId) {
        let Some(batch) = self.table.get_mut(id) else {
            return;
        };
        let is_new = batch.payload_sent_to.insert(link);
        let payload = if is_new { batch.payload.len() } else { 0 };
        self.link_load.sent(self.now, START_ORDER_BYTES + payload);
    }

    /// Returns the cost of sending the payload to one more target, as a multiple of a task's
    /// estimate.
    fn payload_cost(&self, batch: &Batch, spec: &StepSpec) -> f64 {
        let price = self.link_load.price(self.now, batch.payload.len());
        price.div_duration_f64(spec.estimate.max(MIN_RUN_TIME))
    }

    /// Returns the time until the batch is due, as a multiple of the step's estimate; unlimited if
    /// its tasks no longer wait for faster targets.
    fn time_left(&self, batch: &Batch, spec: &StepSpec) -> f64 {
        if batch.takes_any_target {
            return f64::INFINITY;
        }
        let left = batch.due.saturating_sub(self.now);
        left.div_duration_f64(spec.estimate.max(MIN_RUN_TIME))
    }

    /// Chooses a target for a task and records the run. A suspected task goes to an idle target. If
    /// there is none, it goes to a target without other suspects, unless it must run alone.
    /// Keeping suspects apart shows sooner which of them crashes targets. A task that may be given
    /// up waits for the verdict.
    fn place_task(&mut self, id: BatchId, step: usize, task: &WaitingTask) -> Option<ChosenTarget> {
        if task.crashes.verdict_at().is_some() {
            return None;
        }
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
        let reserved = match &view.info {
            Some(info) if alone => info.capacity,
            _ => batch.steps[step].spec.size,
        };
        let agent = view.agent.clone();
        let key = RunKey {
            task: TaskKey {
                batch: id,
                // Batches are not repeated.
                time: 0,
                step: step as u16,
                index: task.index,
            },
            run: task.run,
        };
        self.targets.sent_start(self.now, link, reserved);
        self.record_start(id, link);
        self.table.record_run(self.now, key, &agent);
        Some(ChosenTarget { link, alone })
    }

    fn choose(
        &mut self,
        id: BatchId,
        step: usize,
        task: &WaitingTask,
        needs_idle_target: bool,
    ) -> Option<SessionId> {
        let batch = self.table.get(id)?;
        let spec = &batch.steps[step].spec;
        let need = TaskRequirements {
            size: spec.size,
            queue: &batch.queue,
            required_label: spec.required_label.as_deref(),
            preferred_rack: spec.preferred_rack.as_deref(),
            avoid: task.avoid.as_deref(),
            payload_sent_to: &batch.payload_sent_to,
            payload_cost: self.payload_cost(batch, spec),
            is_idle: needs_idle_target,
            time_left: self.time_left(batch, spec),
        };
        let table = &*self.table;
        let is_excluded = |view: &TargetView| {
            let limit = spec.most_per_target;
            let is_at_limit = limit
                .is_some_and(|limit| table.step_runs_at(&view.agent, id, step as u16) >= limit);
            is_at_limit
                || self.receiver.excludes(id, &view.agent)
                || (task.crashes.is_suspect() && table.has_suspect_at(&view.agent))
        };
        let choice = self
            .targets
            .choose(self.now, &need, self.hall, is_excluded, self.rng);
        self.has_declined |= choice.link.is_none() && choice.has_declined;
        choice.link
    }
}
