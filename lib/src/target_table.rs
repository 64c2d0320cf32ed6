//! What an entry knows of each target, and an index of those that can take a task now.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use rand_chacha::ChaCha8Rng;

use crate::ids::{DispatchSeq, HallName, Incarnation, JobSeq, NodeName, Now, SessionId, TaskIndex};
use crate::message::Capacity;

/// A task handed to a target whose fate is not known yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outstanding {
    /// Job of the task.
    pub job: JobSeq,
    /// Position in the job.
    pub task: TaskIndex,
    /// When it was handed over.
    pub sent_at: Now,
    /// Whether a revoke for it has been sent.
    pub revoked: bool,
}

/// One life of one agent, with its target.
#[derive(Debug)]
pub struct Target {
    /// Name of the VM's process.
    pub name: NodeName,
    /// Data hall.
    pub hall: HallName,
    /// What the target has.
    pub capacity: Capacity,
    /// The live session, if any.
    pub session: Option<SessionId>,
    /// When the session was lost.
    pub lost_at: Option<Now>,
    /// Next dispatch number.
    pub next_seq: DispatchSeq,
    /// Dispatches without a known fate.
    pub outstanding: BTreeMap<DispatchSeq, Outstanding>,
    /// Final for this life: no new work.
    pub leaving: bool,
    /// Told in [`crate::message::EntryMessage::Demand`], less what was lent since.
    pub asked: u32,
    /// Slots without a task when the agent last said so, less what was dispatched since.
    pub free_seen: u32,
    /// Reservations without an answer (late binding).
    pub reserved: u32,
    /// Agent's clock minus ours, in milliseconds.
    pub clock_offset_ms: i64,
    /// Observed run time over expected, averaged.
    pub slowness: f64,
    /// Most dispatches at a time that health allows.
    pub allowance: u32,
    /// A quiet session gets a heartbeat after this; told to the agent at the welcome.
    pub heartbeat_every: Duration,
    /// When the last message was sent on the session.
    pub last_sent: Now,
    credits: u32,
}

impl Target {
    /// A target whose agent has just said hello.
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

    /// Slots that the entry may dispatch to.
    pub fn credits(&self) -> u32 {
        self.credits
    }

    /// Slots that asking would probably bring, beyond those asked for or lent already.
    pub fn spare(&self) -> u32 {
        let unasked = self.free_seen.saturating_sub(self.credits + self.asked);
        let room = self.allowance.saturating_sub(self.outstanding.len() as u32);
        unasked.min(room)
    }

    /// Every dispatch below this is settled.
    pub fn settled_below(&self) -> DispatchSeq {
        self.outstanding
            .keys()
            .next()
            .copied()
            .unwrap_or(self.next_seq)
    }

    /// Whether it may get new work at all.
    pub fn is_open(&self) -> bool {
        self.session.is_some() && !self.leaving
    }

    fn can_take(&self) -> bool {
        self.is_open() && self.credits > 0 && (self.outstanding.len() as u32) < self.allowance
    }

    fn rank(&self, id: Incarnation) -> Rank {
        Rank {
            slowness: (self.slowness * SLOWNESS_STEPS) as u32,
            accelerators: self.capacity.accelerators.min(1),
            used: self.capacity.slots.saturating_sub(self.credits),
            id,
        }
    }
}

/// Slowness is compared in steps of half the expected run time.
const SLOWNESS_STEPS: f64 = 2.0;

/// Order in which targets are preferred: first those that run at the expected speed, then
/// those without accelerators, then those with the most credits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    slowness: u32,
    accelerators: u32,
    used: u32,
    id: Incarnation,
}

/// All targets by agent incarnation.
#[derive(Debug, Default)]
pub struct TargetTable {
    targets: HashMap<Incarnation, Target>,
    sessions: HashMap<SessionId, Incarnation>,
    ranked: BTreeSet<Rank>,
    /// Ids in the order of arrival, to pick from at random.
    order: Vec<Incarnation>,
    /// Sums over all targets, kept in step by [`Self::update`].
    sums: Sums,
    /// Next dispatch number of lives that were given up, should one come back after all.
    retired: HashMap<Incarnation, DispatchSeq>,
}

/// What is often asked of all targets together.
#[derive(Debug, Clone, Copy, Default)]
struct Sums {
    open_slots: u32,
    asked: u32,
    outstanding: usize,
}

impl Sums {
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

/// Lives remembered after they were given up.
const MOST_RETIRED: usize = 20_000;

impl TargetTable {
    /// Adds a target unless it is there. A life that had been given up goes on with its
    /// numbers, so that none is used twice.
    pub fn insert(&mut self, id: Incarnation, mut target: Target) {
        if let Some(next_seq) = self.retired.remove(&id) {
            target.next_seq = next_seq;
        }
        if !self.targets.contains_key(&id) {
            self.sums.add(Sums::of(&target));
            self.targets.insert(id, target);
            self.order.push(id);
        }
    }

    /// Gives a life up.
    pub fn retire(&mut self, id: Incarnation) -> Option<Target> {
        let target = self.targets.remove(&id)?;
        self.sums.remove(Sums::of(&target));
        self.order.retain(|other| *other != id);
        if self.retired.len() >= MOST_RETIRED {
            self.retired.clear();
        }
        self.retired.insert(id, target.next_seq);
        self.ranked.remove(&target.rank(id));
        if let Some(session) = target.session {
            self.sessions.remove(&session);
        }
        Some(target)
    }

    /// Looks a target up.
    pub fn get(&self, id: Incarnation) -> Option<&Target> {
        self.targets.get(&id)
    }

    /// The agent behind a session.
    pub fn by_session(&self, session: SessionId) -> Option<Incarnation> {
        self.sessions.get(&session).copied()
    }

    /// Changes a target and keeps the index in step.
    pub fn update<T>(&mut self, id: Incarnation, f: impl FnOnce(&mut Target) -> T) -> Option<T> {
        let target = self.targets.get_mut(&id)?;
        self.ranked.remove(&target.rank(id));
        self.sums.remove(Sums::of(target));
        let result = f(target);
        self.sums.add(Sums::of(target));
        if target.can_take() {
            self.ranked.insert(target.rank(id));
        }
        Some(result)
    }

    /// Changes the credits of a target.
    pub fn set_credits(&mut self, id: Incarnation, credits: u32) {
        self.update(id, |t| t.credits = credits);
    }

    /// Adds to the credits of a target.
    pub fn add_credits(&mut self, id: Incarnation, n: u32) {
        self.update(id, |t| t.credits = t.credits.saturating_add(n));
    }

    /// Takes up to `n` credits; returns how many.
    pub fn take_credits(&mut self, id: Incarnation, n: u32) -> u32 {
        self.update(id, |t| {
            let taken = n.min(t.credits);
            t.credits -= taken;
            taken
        })
        .unwrap_or(0)
    }

    /// Binds a session to a target; an older session of the same life is returned.
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

    /// Unbinds a session; returns its agent.
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

    /// Targets that can take a task now, the preferred first.
    pub fn ready(&self) -> impl Iterator<Item = (Incarnation, &Target)> + '_ {
        self.ranked
            .iter()
            .map(|rank| (rank.id, &self.targets[&rank.id]))
    }

    /// All targets, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (Incarnation, &Target)> + '_ {
        self.targets.iter().map(|(id, target)| (*id, target))
    }

    /// Up to `n` different targets, picked at random from a fixed order.
    pub fn sample(&self, n: usize, rng: &mut ChaCha8Rng) -> Vec<Incarnation> {
        let picked = rand::seq::index::sample(rng, self.order.len(), n.min(self.order.len()));
        picked.iter().map(|index| self.order[index]).collect()
    }

    /// Ids of all targets in a fixed order.
    pub fn sorted_ids(&self) -> Vec<Incarnation> {
        let mut ids: Vec<Incarnation> = self.targets.keys().copied().collect();
        ids.sort_unstable();
        ids
    }

    /// Slots of the targets that may get new work.
    pub fn open_slots(&self) -> u32 {
        self.sums.open_slots
    }

    /// Slots asked for and not lent yet.
    pub fn asked(&self) -> u32 {
        self.sums.asked
    }

    /// Dispatches without a known fate.
    pub fn outstanding(&self) -> usize {
        self.sums.outstanding
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
