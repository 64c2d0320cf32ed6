//! An entry's state of each target, with an index of the targets that can take a task now.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use rand_chacha::ChaCha8Rng;

use crate::ids::{DispatchSeq, HallName, Incarnation, JobSeq, NodeName, Now, SessionId, TaskIndex};
use crate::message::Capacity;

/// A dispatch whose fate is not known yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outstanding {
    /// Job of the task.
    pub job: JobSeq,
    /// Position in the job.
    pub task: TaskIndex,
    /// When it was sent.
    pub sent_at: Now,
    /// Whether a revoke for it has been sent.
    pub revoked: bool,
}

/// One incarnation of an agent, with its target.
#[derive(Debug)]
pub struct Target {
    /// Name of the agent.
    pub name: NodeName,
    /// Data hall.
    pub hall: HallName,
    /// Capacity of the target.
    pub capacity: Capacity,
    /// The live session, if any.
    pub session: Option<SessionId>,
    /// When the session was lost.
    pub lost_at: Option<Now>,
    /// Next dispatch number.
    pub next_seq: DispatchSeq,
    /// Dispatches whose fate is not known.
    pub outstanding: BTreeMap<DispatchSeq, Outstanding>,
    /// Whether the agent is draining and gets no new tasks. Never reset for an incarnation.
    pub leaving: bool,
    /// Slots requested by [`crate::message::EntryMessage::Demand`], less those lent since.
    pub asked: u32,
    /// Slots without a task in the agent's last report, less the dispatches since.
    pub free_seen: u32,
    /// Reservations that are not answered yet (late binding).
    pub reserved: u32,
    /// The agent's clock minus this entry's, in milliseconds.
    pub clock_offset_ms: i64,
    /// Average ratio of observed to expected run time.
    pub slowness: f64,
    /// Maximum number of outstanding dispatches that the health controller allows.
    pub allowance: u32,
    /// Time without messages after which either side sends a heartbeat. The welcome carries it.
    pub heartbeat_every: Duration,
    /// When the last message was sent on the session.
    pub last_sent: Now,
    credits: u32,
}

impl Target {
    /// Creates the state of a target whose agent has just sent its hello.
    pub fn new(name: NodeName, hall: HallName, capacity: Capacity) -> Self {
        Self {
            name,
            hall,
            capacity,
            session: None,
            lost_at: None,
            next_seq: 1,
            outstanding: BTreeMap::new(),
            leaving: false,
            asked: 0,
            free_seen: capacity.slots,
            reserved: 0,
            clock_offset_ms: 0,
            slowness: 1.0,
            allowance: u32::MAX,
            heartbeat_every: Duration::ZERO,
            last_sent: Now::ZERO,
            credits: 0,
        }
    }

    /// Number of slots to which the entry may dispatch.
    pub fn credits(&self) -> u32 {
        self.credits
    }

    /// Number of slots that the agent would probably lend beyond those already requested or lent.
    pub fn requestable_slots(&self) -> u32 {
        let unrequested = self.free_seen.saturating_sub(self.credits + self.asked);
        let allowed = self.allowance.saturating_sub(self.outstanding.len() as u32);
        unrequested.min(allowed)
    }

    /// Every dispatch below this is settled.
    pub fn settled_below(&self) -> DispatchSeq {
        self.outstanding
            .keys()
            .next()
            .copied()
            .unwrap_or(self.next_seq)
    }

    /// Whether the target is connected and accepts new tasks.
    pub fn is_open(&self) -> bool {
        self.session.is_some() && !self.leaving
    }

    fn is_ready(&self) -> bool {
        self.is_open() && self.credits > 0 && (self.outstanding.len() as u32) < self.allowance
    }

    fn rank(&self, id: Incarnation) -> Rank {
        Rank {
            slowness: (self.slowness * SLOWNESS_STEPS) as u32,
            accelerators: self.capacity.accelerators.min(1),
            uncredited: self.capacity.slots.saturating_sub(self.credits),
            id,
        }
    }
}

/// Number of steps per unit of slowness when targets are ranked.
const SLOWNESS_STEPS: f64 = 2.0;

/// Order of preference: targets that run at the expected speed first, then those without
/// accelerators, then those with the most credits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    slowness: u32,
    accelerators: u32,
    uncredited: u32,
    id: Incarnation,
}

/// All targets by agent incarnation.
#[derive(Debug, Default)]
pub struct TargetTable {
    targets: HashMap<Incarnation, Target>,
    sessions: HashMap<SessionId, Incarnation>,
    ranked: BTreeSet<Rank>,
    /// Ids in order of arrival, for random sampling.
    sampling_order: Vec<Incarnation>,
    /// Totals over all targets, kept current by [`Self::insert`], [`Self::update`] and
    /// [`Self::retire`].
    totals: Totals,
    /// Next dispatch number of retired incarnations, in case one reconnects.
    retired: HashMap<Incarnation, DispatchSeq>,
}

/// Frequently read totals over all targets.
#[derive(Debug, Clone, Copy, Default)]
struct Totals {
    open_slots: u32,
    asked: u32,
    outstanding: usize,
}

impl Totals {
    fn of(target: &Target) -> Self {
        let open = target.is_open();
        Self {
            open_slots: if open {
                target.capacity.slots.min(target.allowance)
            } else {
                0
            },
            asked: target.asked,
            outstanding: target.outstanding.len(),
        }
    }

    fn add(&mut self, other: Self) {
        self.open_slots += other.open_slots;
        self.asked += other.asked;
        self.outstanding += other.outstanding;
    }

    fn remove(&mut self, other: Self) {
        self.open_slots -= other.open_slots;
        self.asked -= other.asked;
        self.outstanding -= other.outstanding;
    }
}

/// Maximum number of retired incarnations to remember.
const MAX_RETIRED: usize = 20_000;

impl TargetTable {
    /// Adds a target unless it is present. A retired incarnation continues its dispatch numbers,
    /// so none is used twice.
    pub fn insert(&mut self, id: Incarnation, mut target: Target) {
        if let Some(next_seq) = self.retired.remove(&id) {
            target.next_seq = next_seq;
        }
        if !self.targets.contains_key(&id) {
            self.totals.add(Totals::of(&target));
            self.targets.insert(id, target);
            self.sampling_order.push(id);
        }
    }

    /// Removes an incarnation and remembers its next dispatch number.
    pub fn retire(&mut self, id: Incarnation) -> Option<Target> {
        let target = self.targets.remove(&id)?;
        self.totals.remove(Totals::of(&target));
        self.sampling_order.retain(|other| *other != id);
        if self.retired.len() >= MAX_RETIRED {
            self.retired.clear();
        }
        self.retired.insert(id, target.next_seq);
        self.ranked.remove(&target.rank(id));
        if let Some(session) = target.session {
            self.sessions.remove(&session);
        }
        Some(target)
    }

    /// Returns a target.
    pub fn get(&self, id: Incarnation) -> Option<&Target> {
        self.targets.get(&id)
    }

    /// Returns the agent of a session.
    pub fn by_session(&self, session: SessionId) -> Option<Incarnation> {
        self.sessions.get(&session).copied()
    }

    /// Updates a target, the index and the totals.
    pub fn update<T>(&mut self, id: Incarnation, f: impl FnOnce(&mut Target) -> T) -> Option<T> {
        let target = self.targets.get_mut(&id)?;
        self.ranked.remove(&target.rank(id));
        self.totals.remove(Totals::of(target));
        let result = f(target);
        self.totals.add(Totals::of(target));
        if target.is_ready() {
            self.ranked.insert(target.rank(id));
        }
        Some(result)
    }

    /// Sets the credits of a target.
    pub fn set_credits(&mut self, id: Incarnation, credits: u32) {
        self.update(id, |t| t.credits = credits);
    }

    /// Adds to the credits of a target.
    pub fn add_credits(&mut self, id: Incarnation, n: u32) {
        self.update(id, |t| t.credits = t.credits.saturating_add(n));
    }

    /// Takes up to `n` credits and returns the number taken.
    pub fn take_credits(&mut self, id: Incarnation, n: u32) -> u32 {
        self.update(id, |t| {
            let taken = n.min(t.credits);
            t.credits -= taken;
            taken
        })
        .unwrap_or(0)
    }

    /// Binds a session to a target and returns the previous session, if any.
    pub fn attach(&mut self, id: Incarnation, session: SessionId) -> Option<SessionId> {
        let old = self.update(id, |t| {
            t.credits = 0;
            t.asked = 0;
            t.reserved = 0;
            t.lost_at = None;
            t.session.replace(session)
        })?;
        if let Some(old) = old {
            self.sessions.remove(&old);
        }
        self.sessions.insert(session, id);
        old
    }

    /// Unbinds a session and returns its agent.
    pub fn detach(&mut self, session: SessionId, now: Now) -> Option<Incarnation> {
        let id = self.sessions.remove(&session)?;
        self.update(id, |t| {
            t.session = None;
            t.lost_at = Some(now);
            t.credits = 0;
            t.asked = 0;
            t.reserved = 0;
        });
        Some(id)
    }

    /// Targets that can take a task now, in order of preference.
    pub fn ready(&self) -> impl Iterator<Item = (Incarnation, &Target)> + '_ {
        self.ranked
            .iter()
            .map(|rank| (rank.id, &self.targets[&rank.id]))
    }

    /// All targets, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (Incarnation, &Target)> + '_ {
        self.targets.iter().map(|(id, target)| (*id, target))
    }

    /// Up to `n` distinct targets chosen at random.
    pub fn sample(&self, n: usize, rng: &mut ChaCha8Rng) -> Vec<Incarnation> {
        let picked = rand::seq::index::sample(
            rng,
            self.sampling_order.len(),
            n.min(self.sampling_order.len()),
        );
        picked
            .iter()
            .map(|index| self.sampling_order[index])
            .collect()
    }

    /// Ids of all targets in ascending order.
    pub fn sorted_ids(&self) -> Vec<Incarnation> {
        let mut ids: Vec<Incarnation> = self.targets.keys().copied().collect();
        ids.sort_unstable();
        ids
    }

    /// Number of slots of open targets, limited by their allowances.
    pub fn open_slots(&self) -> u32 {
        self.totals.open_slots
    }

    /// Number of slots requested and not lent yet.
    pub fn asked(&self) -> u32 {
        self.totals.asked
    }

    /// Number of dispatches whose fate is not known.
    pub fn outstanding(&self) -> usize {
        self.totals.outstanding
    }

    /// Number of targets.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether there is no target.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }
}
