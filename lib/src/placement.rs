//! How an entry finds a slot for a waiting task. docs/design/placement.md weighs the ways.

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

/// The ways to place tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Default)]
#[serde(rename_all = "snake_case")]
pub enum PlacementMode {
    /// Dispatch by the last reported free slots; a full agent refuses.
    LeastLoaded,
    /// Reserve at sampled agents, which ask for a task when a slot falls free.
    LateBinding,
    /// Agents lend free slots to entries when these ask for them.
    #[default]
    SlotGrants,
    /// Agents lend all free slots ahead of need, in proportion to recent use.
    SlotGrantsAhead,
}

/// A text that names no placement.
#[derive(Debug, Snafu)]
#[snafu(display(
    "`{text}` is no placement: expected least_loaded, late_binding, slot_grants or \
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
    /// Whether agents lend slots to entries that tell them of waiting tasks.
    pub fn lends_on_demand(self) -> bool {
        matches!(self, Self::SlotGrants | Self::SlotGrantsAhead)
    }

    /// The policy that implements it.
    pub fn build(self) -> Box<dyn Placement> {
        match self {
            Self::LeastLoaded => Box::new(LeastLoaded),
            Self::LateBinding => Box::new(LateBinding),
            Self::SlotGrants => Box::new(SlotGrants),
            Self::SlotGrantsAhead => Box::new(SlotGrantsAhead),
        }
    }
}

/// What a task needs of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskNeed {
    /// Accelerators.
    pub accelerators: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
}

impl TaskNeed {
    /// Whether a target of this kind could ever run it.
    pub fn fits(&self, target: &Target) -> bool {
        self.accelerators <= target.capacity.accelerators
            && self.memory_mib <= target.capacity.memory_mib
    }
}

/// Tasks that wait at an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Waiting {
    /// All of them.
    pub tasks: u32,
    /// Those that need an accelerator.
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

/// A message to the agent of a target.
#[derive(Debug, Clone, PartialEq)]
pub struct Signal {
    /// The agent.
    pub target: Incarnation,
    /// The message.
    pub message: EntryMessage,
}

/// A way to place tasks. Credits in the [`TargetTable`] say where a dispatch may go now; a
/// policy decides how they come about and in which order they are used.
pub trait Placement: Send {
    /// Its name.
    fn mode(&self) -> PlacementMode;

    /// The target for one task, or none: then it waits.
    fn choose(&self, need: &TaskNeed, targets: &TargetTable) -> Option<Incarnation> {
        let mut ready = targets.ready();
        ready.find(|(_, t)| need.fits(t)).map(|(id, _)| id)
    }

    /// Whether reported free slots are taken for credits.
    fn trusts_reports(&self) -> bool {
        false
    }

    /// What to tell agents after tasks have come to wait or have been placed.
    fn signal(
        &self,
        waiting: Waiting,
        targets: &mut TargetTable,
        rng: &mut ChaCha8Rng,
    ) -> Vec<Signal>;

    /// What to tell agents when tasks still wait some time after they were asked for.
    fn remind(&self, _: Waiting, _: &mut TargetTable, _: &mut ChaCha8Rng) -> Vec<Signal> {
        Vec::new()
    }
}

/// Baseline: believe the last report, dispatch, be refused now and then.
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

/// Reservations for each waiting task, as in Sparrow's published result.
const RESERVATIONS_PER_TASK: u32 = 2;

/// Sampling with late binding: two reservations a task; an ask that finds no task is returned.
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
        let mut signals = give_back_unused(waiting, targets);
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

fn give_back_unused(waiting: Waiting, targets: &mut TargetTable) -> Vec<Signal> {
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
        .filter(|(_, t)| is_useful(waiting, t))
        .map(|(id, _)| id)
        .collect();
    open.sort_unstable();
    open
}

/// Asks one target for slots, if that adds to what was asked before.
fn ask(targets: &mut TargetTable, target: Incarnation, wanted: u32) -> Option<Signal> {
    let asked = targets.update(target, |t| {
        let more = wanted > t.asked;
        t.asked = t.asked.max(wanted);
        more
    });
    let message = EntryMessage::Demand(wanted);
    (asked == Some(true)).then_some(Signal { target, message })
}

/// Targets looked at, at the least, to ask for slots.
const LEAST_SAMPLE: usize = 32;

/// Some open targets in random order: all of a small fleet, and of a large one enough for the
/// tasks that wait, so that asking does not cost more with the size of the fleet.
fn sample_open(waiting: Waiting, targets: &TargetTable, rng: &mut ChaCha8Rng) -> Vec<Incarnation> {
    let most = LEAST_SAMPLE.max(waiting.tasks as usize / 2);
    if targets.len() <= most {
        let mut open = open_targets(waiting, targets);
        open.shuffle(rng);
        return open;
    }
    let mut sample = targets.sample(most, rng);
    sample.retain(|id| targets.get(*id).is_some_and(|t| is_useful(waiting, t)));
    sample
}

fn is_useful(waiting: Waiting, target: &Target) -> bool {
    target.is_open() && target.allowance > 0 && waiting.for_target(target) > 0
}

/// Slots asked for at a time for each waiting task while no slot is seen free.
const ASKED_PER_TASK: u32 = 1;

/// Asks open targets in random order for slots until `most` are asked for in all: whichever
/// target is free first is to answer.
fn ask_widely(
    waiting: Waiting,
    most: u32,
    targets: &mut TargetTable,
    rng: &mut ChaCha8Rng,
) -> Vec<Signal> {
    let open = sample_open(waiting, targets, rng);
    let each = most.div_ceil(open.len().max(1) as u32);
    let mut asked = targets.asked();
    let mut signals = Vec::new();
    for target in open {
        if asked >= most {
            break;
        }
        let Some(t) = targets.get(target) else {
            continue;
        };
        let wanted = each.min(waiting.for_target(t)).min(t.capacity.slots);
        let more = wanted.saturating_sub(t.asked);
        // What is asked already is raised only when it has doubled, to save messages.
        if t.asked == 0 || wanted >= t.asked * 2 {
            asked += more;
            signals.extend(ask(targets, target, wanted));
        }
    }
    signals
}

/// Slot grants on demand: ask as many slots as tasks wait, where slots were last seen free.
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
        let mut open = sample_open(waiting, targets, rng);
        open.sort_by_key(|id| std::cmp::Reverse(targets.get(*id).map_or(0, Target::spare)));
        let mut signals = Vec::new();
        for target in open {
            let Some(t) = targets.get(target) else {
                continue;
            };
            let take = t.spare().min(missing).min(waiting.for_target(t));
            if take == 0 {
                continue;
            }
            missing -= take;
            let wanted = t.asked + take;
            signals.extend(ask(targets, target, wanted));
        }
        if missing > 0 {
            let most = waiting.tasks * ASKED_PER_TASK;
            signals.extend(ask_widely(waiting, most, targets, rng));
        }
        signals
    }

    fn remind(
        &self,
        waiting: Waiting,
        targets: &mut TargetTable,
        rng: &mut ChaCha8Rng,
    ) -> Vec<Signal> {
        let most = targets.asked() + waiting.tasks;
        ask_widely(waiting, most, targets, rng)
    }
}

/// Slot grants ahead of need: most tasks find a slot lent already.
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
        ask_widely(waiting, u32::MAX / 2, targets, rng)
    }
}
