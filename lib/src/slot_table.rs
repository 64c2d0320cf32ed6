//! The agent's slots: which run a task, which are lent to an entry, which are free.
//!
//! Invariant: running + lent never exceeds the number of slots, so a dispatch against a lent
//! slot never meets a full target.

use std::collections::{BTreeMap, VecDeque};

use crate::ids::SessionId;
use crate::placement::PlacementMode;

/// Share of an old weight that remains after each dispatch.
const WEIGHT_DECAY: f64 = 0.95;
/// Weight of a session that has sent nothing yet.
const BASE_WEIGHT: f64 = 0.05;

/// A change of lent slots to tell an entry about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotNotice {
    /// So many more slots are lent.
    Lend(SessionId, u32),
    /// So many lent slots are taken back.
    Recall(SessionId, u32),
}

/// Slots of one target and who holds them.
#[derive(Debug)]
pub struct SlotTable {
    total: u32,
    running: u32,
    usable: bool,
    borrowers: BTreeMap<SessionId, Borrower>,
    /// Sessions in the order in which they are served next.
    turn: VecDeque<SessionId>,
    /// Reservations of late binding, oldest first.
    reservations: VecDeque<SessionId>,
}

#[derive(Debug)]
struct Borrower {
    mode: PlacementMode,
    lent: u32,
    demand: u32,
    weight: f64,
}

impl SlotTable {
    /// A book of `total` free slots.
    pub fn new(total: u32) -> Self {
        Self {
            total,
            running: 0,
            usable: true,
            borrowers: BTreeMap::new(),
            turn: VecDeque::new(),
            reservations: VecDeque::new(),
        }
    }

    /// Adds an entry's session.
    pub fn open(&mut self, session: SessionId, mode: PlacementMode) {
        let borrower = Borrower {
            mode,
            lent: 0,
            demand: 0,
            weight: BASE_WEIGHT,
        };
        self.borrowers.insert(session, borrower);
        self.turn.push_back(session);
    }

    /// Removes a session; what it had borrowed is free again.
    pub fn close(&mut self, session: SessionId) {
        self.borrowers.remove(&session);
        self.turn.retain(|s| *s != session);
        self.reservations.retain(|s| *s != session);
    }

    /// Stops or resumes lending, for a target that is leaving or down.
    pub fn set_usable(&mut self, usable: bool) {
        self.usable = usable;
    }

    /// Slots neither running nor lent.
    pub fn free(&self) -> u32 {
        let lent: u32 = self.borrowers.values().map(|b| b.lent).sum();
        self.total.saturating_sub(self.running + lent)
    }

    /// Slots without a task, lent or not: what an entry could get by asking.
    pub fn spare(&self) -> u32 {
        if self.usable {
            self.total.saturating_sub(self.running)
        } else {
            0
        }
    }

    /// Tasks running.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Takes a slot for a dispatch of `session`: a lent one if it has any, else a free one.
    /// False if there is none.
    pub fn take(&mut self, session: SessionId) -> bool {
        let free = self.free();
        let Some(borrower) = self.borrowers.get_mut(&session) else {
            return false;
        };
        if borrower.lent > 0 {
            borrower.lent -= 1;
        } else if free == 0 || !self.usable {
            return false;
        }
        borrower.weight += 1.0 - WEIGHT_DECAY;
        for b in self.borrowers.values_mut() {
            b.weight = (b.weight * WEIGHT_DECAY).max(BASE_WEIGHT);
        }
        self.running += 1;
        true
    }

    /// Ends a task that ran.
    pub fn release(&mut self) {
        debug_assert!(self.running > 0, "a slot is released once");
        self.running = self.running.saturating_sub(1);
    }

    /// Sets how many tasks wait at an entry for slots of this target.
    pub fn set_demand(&mut self, session: SessionId, waiting: u32) {
        if let Some(borrower) = self.borrowers.get_mut(&session)
            && borrower.mode.lends_on_demand()
        {
            borrower.demand = waiting;
        }
    }

    /// Lowers the number of waiting tasks to what a dispatch says is left.
    pub fn limit_demand(&mut self, session: SessionId, waiting: u32) {
        if let Some(borrower) = self.borrowers.get_mut(&session) {
            borrower.demand = borrower.demand.min(waiting);
        }
    }

    /// Queues reservations of late binding.
    pub fn reserve(&mut self, session: SessionId, n: u32) {
        let room = (self.total as usize * 64).saturating_sub(self.reservations.len());
        let n = (n as usize).min(room);
        self.reservations.extend(std::iter::repeat_n(session, n));
    }

    /// Takes lent slots back from an entry that does not need them.
    pub fn give_back(&mut self, session: SessionId, n: u32) {
        if let Some(borrower) = self.borrowers.get_mut(&session) {
            borrower.lent -= n.min(borrower.lent);
        }
    }

    /// Lends what is free and recalls what others need more. Call after every change.
    pub fn balance(&mut self) -> Vec<SlotNotice> {
        if !self.usable {
            return Vec::new();
        }
        let mut lends = BTreeMap::new();
        self.lend_free(&mut lends);
        let mut notices = self.recall_for_the_hungry();
        self.lend_free(&mut lends);
        let lent = lends.into_iter();
        notices.extend(lent.map(|(session, n)| SlotNotice::Lend(session, n)));
        notices
    }

    fn lend_free(&mut self, lends: &mut BTreeMap<SessionId, u32>) {
        while self.free() > 0 {
            let Some(session) = self.next_borrower() else {
                return;
            };
            *lends.entry(session).or_default() += 1;
        }
    }

    /// Takes all lent slots back, for a target that can't use them.
    pub fn recall_all(&mut self) -> Vec<SlotNotice> {
        let mut notices = Vec::new();
        for (session, borrower) in &mut self.borrowers {
            let n = std::mem::take(&mut borrower.lent);
            if n > 0 {
                notices.push(SlotNotice::Recall(*session, n));
            }
        }
        notices
    }

    /// Lends one free slot: to a waiting task first, else ahead of need.
    fn next_borrower(&mut self) -> Option<SessionId> {
        let session = self
            .take_reservation()
            .or_else(|| self.next_hungry())
            .or_else(|| self.next_idle())?;
        let borrower = self.borrowers.get_mut(&session)?;
        borrower.lent += 1;
        borrower.demand = borrower.demand.saturating_sub(1);
        Some(session)
    }

    fn take_reservation(&mut self) -> Option<SessionId> {
        self.reservations.pop_front()
    }

    /// The next session in turn that has waiting tasks.
    fn next_hungry(&mut self) -> Option<SessionId> {
        let borrowers = &self.borrowers;
        let at = self.turn.iter().position(|s| borrowers[s].demand > 0)?;
        let session = self.turn.remove(at)?;
        self.turn.push_back(session);
        Some(session)
    }

    /// The session with the fewest idle slots for its recent use.
    fn next_idle(&self) -> Option<SessionId> {
        self.borrowers
            .iter()
            .filter(|(_, b)| b.mode == PlacementMode::SlotGrantsAhead)
            .min_by(|(_, a), (_, b)| a.crowding().total_cmp(&b.crowding()))
            .map(|(session, _)| *session)
    }

    /// Takes idle slots back for sessions that wait while nothing is free. A dispatch may be on
    /// its way to a slot taken back; it is refused then, which is proof that it did not start.
    fn recall_for_the_hungry(&mut self) -> Vec<SlotNotice> {
        if self.free() > 0 {
            return Vec::new();
        }
        let mut wanted: u32 = self.borrowers.values().map(|b| b.demand).sum();
        let mut notices = Vec::new();
        for (session, borrower) in &mut self.borrowers {
            let n = wanted.min(borrower.idle());
            if n > 0 {
                borrower.lent -= n;
                wanted -= n;
                notices.push(SlotNotice::Recall(*session, n));
            }
        }
        notices
    }
}

impl Borrower {
    fn crowding(&self) -> f64 {
        f64::from(self.lent + 1) / self.weight
    }

    /// Lent slots that may be asked back: those of a session with nothing waiting.
    fn idle(&self) -> u32 {
        if self.mode.lends_on_demand() && self.demand == 0 {
            self.lent
        } else {
            0
        }
    }
}
