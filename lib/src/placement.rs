//! Policies by which an entry finds slots for waiting tasks. docs/design/placement.md compares
//! them.

use std::fmt;
use std::str::FromStr;

use rand::Rng as _;
use rand::seq::SliceRandom as _;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::ids::Incarnation;
use crate::message::EntryMessage;
use crate::target_table::{Target, TargetTable};

/// The available placement policies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Default)]
#[serde(rename_all = "snake_case")]
pub enum PlacementMode {
    /// Dispatch by the free slots that agents last reported; a full agent refuses.
    LeastLoaded,
    /// Place reservations at sampled agents, which lend a slot when one becomes free.
    LateBinding,
    /// Agents lend free slots to entries that request them.
    #[default]
    SlotGrants,
    /// Agents lend all free slots before they are requested, in proportion to recent use.
    SlotGrantsAhead,
}

/// The text names no placement policy.
#[derive(Debug, Snafu)]
#[snafu(display(
    "unknown placement `{text}`: expected least_loaded, late_binding, slot_grants or \
                   slot_grants_ahead"
))]
pub struct ParsePlacementError {
    text: String,
}

impl FromStr for PlacementMode {
    type Err = ParsePlacementError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "least_loaded" => Ok(Self::LeastLoaded),
            "late_binding" => Ok(Self::LateBinding),
            "slot_grants" => Ok(Self::SlotGrants),
            "slot_grants_ahead" => Ok(Self::SlotGrantsAhead),
            _ => ParsePlacementSnafu { text }.fail(),
        }
    }
}

impl fmt::Display for PlacementMode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::LeastLoaded => "least_loaded",
            Self::LateBinding => "late_binding",
            Self::SlotGrants => "slot_grants",
            Self::SlotGrantsAhead => "slot_grants_ahead",
        })
    }
}

impl PlacementMode {
    /// Whether agents lend slots to entries that report waiting tasks to them.
    pub fn lends_on_demand(self) -> bool {
        matches!(self, Self::SlotGrants | Self::SlotGrantsAhead)
    }

    /// Creates the policy.
    pub fn build(self) -> Box<dyn Placement> {
        match self {
            Self::LeastLoaded => Box::new(LeastLoaded),
            Self::LateBinding => Box::new(LateBinding),
            Self::SlotGrants => Box::new(SlotGrants),
            Self::SlotGrantsAhead => Box::new(SlotGrantsAhead),
        }
    }
}

/// Resources that a task needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskNeed {
    /// Number of accelerators.
    pub accelerators: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
}

impl TaskNeed {
    /// Whether the target's total capacity suffices.
    pub fn fits(&self, target: &Target) -> bool {
        self.accelerators <= target.capacity.accelerators
            && self.memory_mib <= target.capacity.memory_mib
    }
}

/// Numbers of tasks that wait at an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Waiting {
    /// All tasks.
    pub tasks: u32,
    /// Tasks that need an accelerator.
    pub accelerated: u32,
}

impl Waiting {
    fn for_target(&self, target: &Target) -> u32 {
        if target.capacity.accelerators > 0 {
            self.tasks
        } else {
            self.tasks - self.accelerated
        }
    }
}

/// A message to send to the agent of a target.
#[derive(Debug, Clone, PartialEq)]
pub struct Signal {
    /// The agent.
    pub target: Incarnation,
    pub message: EntryMessage,
}

/// A placement policy. Credits in the [`TargetTable`] are slots to which the entry may dispatch
/// now. The policy decides how the entry obtains credits and in which order it uses them.
pub trait Placement: Send {
    /// The mode that selects this policy.
    fn mode(&self) -> PlacementMode;

    /// Chooses the target for one task. The task waits if there is none.
    fn choose(&self, need: &TaskNeed, targets: &TargetTable) -> Option<Incarnation> {
        let mut ready = targets.ready();
        ready.find(|(_, t)| need.fits(t)).map(|(id, _)| id)
    }

    /// Whether the free slots that agents report count as credits.
    fn trusts_reports(&self) -> bool {
        false
    }

    /// Returns the messages to send after tasks were queued or placed.
    fn signal(
        &self,
        waiting: Waiting,
        targets: &mut TargetTable,
        rng: &mut ChaCha8Rng,
    ) -> Vec<Signal>;

    /// Returns the messages to send when tasks still wait at the next tick.
    fn remind(&self, _: Waiting, _: &mut TargetTable, _: &mut ChaCha8Rng) -> Vec<Signal> {
        Vec::new()
    }
}

/// Baseline policy: dispatches by the last reports, some of which are outdated and lead to
/// refusals.
struct LeastLoaded;

impl Placement for LeastLoaded {
    fn mode(&self) -> PlacementMode {
        PlacementMode::LeastLoaded
    }

    fn trusts_reports(&self) -> bool {
        true
    }

    fn signal(&self, _: Waiting, _: &mut TargetTable, _: &mut ChaCha8Rng) -> Vec<Signal> {
        Vec::new()
    }
}

/// Reservations for each waiting task, as in the Sparrow paper.
const RESERVATIONS_PER_TASK: u32 = 2;

/// Sampling with late binding: two reservations for each task. A slot that is lent when no task
/// waits is given back.
struct LateBinding;

impl Placement for LateBinding {
    fn mode(&self) -> PlacementMode {
        PlacementMode::LateBinding
    }

    fn signal(
        &self,
        waiting: Waiting,
        targets: &mut TargetTable,
        rng: &mut ChaCha8Rng,
    ) -> Vec<Signal> {
        let mut signals = give_back_unused_credits(waiting, targets);
        let open = open_targets(waiting, targets);
        if open.is_empty() {
            return signals;
        }
        let reserved: u32 = open
            .iter()
            .map(|id| targets.get(*id).map_or(0, |t| t.reserved))
            .sum();
        let wanted = (waiting.tasks * RESERVATIONS_PER_TASK).saturating_sub(reserved);
        let mut counts = std::collections::BTreeMap::new();
        for _ in 0..wanted {
            let id = open[rng.random_range(0..open.len())];
            *counts.entry(id).or_insert(0) += 1;
        }
        for (target, n) in counts {
            targets.update(target, |t| t.reserved += n);
            let message = EntryMessage::Reserve(n);
            signals.push(Signal { target, message });
        }
        signals
    }
}

fn give_back_unused_credits(waiting: Waiting, targets: &mut TargetTable) -> Vec<Signal> {
    if waiting.tasks > waiting.accelerated {
        return Vec::new();
    }
    let holders: Vec<Incarnation> = targets.ready().map(|(id, _)| id).collect();
    holders
        .into_iter()
        .filter(|id| targets.get(*id).is_some_and(|t| waiting.for_target(t) == 0))
        .collect::<Vec<_>>()
        .into_iter()
        .map(|target| {
            let n = targets.take_credits(target, u32::MAX);
            let message = EntryMessage::GiveBack(n);
            Signal { target, message }
        })
        .collect()
}

fn open_targets(waiting: Waiting, targets: &TargetTable) -> Vec<Incarnation> {
    let mut open: Vec<Incarnation> = targets
        .iter()
        .filter(|(_, t)| can_run_waiting(waiting, t))
        .map(|(id, _)| id)
        .collect();
    open.sort_unstable();
    open
}

/// Requests slots of one target unless as many were already requested.
fn request_slots(targets: &mut TargetTable, target: Incarnation, wanted: u32) -> Option<Signal> {
    let is_increase = targets.update(target, |t| {
        let is_increase = wanted > t.asked;
        t.asked = t.asked.max(wanted);
        is_increase
    });
    let message = EntryMessage::Demand(wanted);
    (is_increase == Some(true)).then_some(Signal { target, message })
}

/// Minimum number of targets to sample when requesting slots.
const MIN_SAMPLE: usize = 32;

/// Samples open targets in random order. The sample grows with the waiting tasks and not with the
/// fleet, which bounds the cost of requests. A small fleet is sampled whole.
fn sample_open_targets(
    waiting: Waiting,
    targets: &TargetTable,
    rng: &mut ChaCha8Rng,
) -> Vec<Incarnation> {
    let sample_size = MIN_SAMPLE.max(waiting.tasks as usize / 2);
    if targets.len() <= sample_size {
        let mut open = open_targets(waiting, targets);
        open.shuffle(rng);
        return open;
    }
    let mut sample = targets.sample(sample_size, rng);
    sample.retain(|id| {
        targets
            .get(*id)
            .is_some_and(|t| can_run_waiting(waiting, t))
    });
    sample
}

fn can_run_waiting(waiting: Waiting, target: &Target) -> bool {
    target.is_open() && target.allowance > 0 && waiting.for_target(target) > 0
}

/// Slots requested in total for each waiting task when too few are reported free.
const SLOT_REQUESTS_PER_TASK: u32 = 1;

/// Requests slots of open targets in random order until `limit` slots are requested in total.
/// The targets that have a slot free first lend it.
fn request_slots_widely(
    waiting: Waiting,
    limit: u32,
    targets: &mut TargetTable,
    rng: &mut ChaCha8Rng,
) -> Vec<Signal> {
    let open = sample_open_targets(waiting, targets, rng);
    let per_target = limit.div_ceil(open.len().max(1) as u32);
    let mut asked = targets.asked();
    let mut signals = Vec::new();
    for target in open {
        if asked >= limit {
            break;
        }
        let Some(t) = targets.get(target) else {
            continue;
        };
        let wanted = per_target.min(waiting.for_target(t)).min(t.capacity.slots);
        let added = wanted.saturating_sub(t.asked);
        // An earlier request is raised only to twice its size or more, to save messages.
        if t.asked == 0 || wanted >= t.asked * 2 {
            asked += added;
            signals.extend(request_slots(targets, target, wanted));
        }
    }
    signals
}

/// Slot grants on demand: requests a slot for each waiting task, first of the targets that last
/// reported free slots.
struct SlotGrants;

impl Placement for SlotGrants {
    fn mode(&self) -> PlacementMode {
        PlacementMode::SlotGrants
    }

    fn signal(
        &self,
        waiting: Waiting,
        targets: &mut TargetTable,
        rng: &mut ChaCha8Rng,
    ) -> Vec<Signal> {
        let asked = targets.asked();
        let mut missing = waiting.tasks.saturating_sub(asked);
        if missing == 0 {
            return Vec::new();
        }
        let mut open = sample_open_targets(waiting, targets, rng);
        open.sort_by_key(|id| {
            std::cmp::Reverse(targets.get(*id).map_or(0, Target::requestable_slots))
        });
        let mut signals = Vec::new();
        for target in open {
            let Some(t) = targets.get(target) else {
                continue;
            };
            let n = t
                .requestable_slots()
                .min(missing)
                .min(waiting.for_target(t));
            if n == 0 {
                continue;
            }
            missing -= n;
            let wanted = t.asked + n;
            signals.extend(request_slots(targets, target, wanted));
        }
        if missing > 0 {
            let limit = waiting.tasks * SLOT_REQUESTS_PER_TASK;
            signals.extend(request_slots_widely(waiting, limit, targets, rng));
        }
        signals
    }

    fn remind(
        &self,
        waiting: Waiting,
        targets: &mut TargetTable,
        rng: &mut ChaCha8Rng,
    ) -> Vec<Signal> {
        let limit = targets.asked() + waiting.tasks;
        request_slots_widely(waiting, limit, targets, rng)
    }
}

/// Slot grants ahead of need: agents lend slots before tasks arrive.
struct SlotGrantsAhead;

impl Placement for SlotGrantsAhead {
    fn mode(&self) -> PlacementMode {
        PlacementMode::SlotGrantsAhead
    }

    fn signal(
        &self,
        waiting: Waiting,
        targets: &mut TargetTable,
        rng: &mut ChaCha8Rng,
    ) -> Vec<Signal> {
        if waiting.tasks == 0 {
            return Vec::new();
        }
        request_slots_widely(waiting, u32::MAX / 2, targets, rng)
    }
}
