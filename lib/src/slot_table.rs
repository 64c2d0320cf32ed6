//! The agent's slots: running a task, lent to an entry, or free.
//!
//! Invariant: running + lent never exceeds the number of slots. A dispatch to a lent slot is
//! therefore never refused because the target is full.

use std::collections::{BTreeMap, VecDeque};

use crate::ids::SessionId;
use crate::placement::PlacementMode;

/// Factor by which every weight decays at each dispatch.
const WEIGHT_DECAY: f64 = 0.95;
/// Initial and least weight of a session.
const MIN_WEIGHT: f64 = 0.05;

/// A change in lent slots to report to an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotNotice {
    /// Number of additional slots lent to the session.
    Lend(SessionId, u32),
    /// Number of lent slots taken back from the session.
    Recall(SessionId, u32),
}

/// Slots of one target and the sessions that borrow them.
#[derive(Debug)]
pub struct SlotTable {
    total: u32,
    running: u32,
    usable: bool,
    borrowers: BTreeMap<SessionId, Borrower>,
    /// Sessions in round-robin order, the next one first.
    round_robin: VecDeque<SessionId>,
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
    /// Creates a table of `total` free slots.
    pub fn new(total: u32) -> Self {
        Self {
            total,
            running: 0,
            usable: true,
            borrowers: BTreeMap::new(),
            round_robin: VecDeque::new(),
            reservations: VecDeque::new(),
        }
    }

    /// Adds an entry's session.
    pub fn open(&mut self, session: SessionId, mode: PlacementMode) {
        let borrower = Borrower {
            mode,
            lent: 0,
            demand: 0,
            weight: MIN_WEIGHT,
        };
        self.borrowers.insert(session, borrower);
        self.round_robin.push_back(session);
    }

    /// Removes a session and frees the slots lent to it.
    pub fn close(&mut self, session: SessionId) {
        self.borrowers.remove(&session);
        self.round_robin.retain(|s| *s != session);
        self.reservations.retain(|s| *s != session);
    }

    /// Sets whether slots may be lent. A target that is leaving or down lends none.
    pub fn set_usable(&mut self, usable: bool) {
        self.usable = usable;
    }

    /// Number of slots neither running a task nor lent.
    pub fn free(&self) -> u32 {
        let lent: u32 = self.borrowers.values().map(|b| b.lent).sum();
        self.total.saturating_sub(self.running + lent)
    }

    /// Number of slots that run no task, lent or not, or 0 if the target can't lend.
    pub fn spare(&self) -> u32 {
        if self.usable {
            self.total.saturating_sub(self.running)
        } else {
            0
        }
    }

    /// Number of running tasks.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Takes a slot for a dispatch of `session`: a lent one if it has any, else a free one.
    /// Returns false if there is none.
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
            b.weight = (b.weight * WEIGHT_DECAY).max(MIN_WEIGHT);
        }
        self.running += 1;
        true
    }

    /// Releases the slot of a task that has ended.
    pub fn release(&mut self) {
        debug_assert!(self.running > 0, "slot released twice");
        self.running = self.running.saturating_sub(1);
    }

    /// Sets the number of an entry's tasks that wait for slots of this target.
    pub fn set_demand(&mut self, session: SessionId, waiting: u32) {
        if let Some(borrower) = self.borrowers.get_mut(&session)
            && borrower.mode.lends_on_demand()
        {
            borrower.demand = waiting;
        }
    }

    /// Lowers a session's demand to the number of waiting tasks that its dispatch reports.
    pub fn limit_demand(&mut self, session: SessionId, waiting: u32) {
        if let Some(borrower) = self.borrowers.get_mut(&session) {
            borrower.demand = borrower.demand.min(waiting);
        }
    }

    /// Queues reservations of late binding.
    pub fn reserve(&mut self, session: SessionId, n: u32) {
        let unreserved = (self.total as usize * 64).saturating_sub(self.reservations.len());
        let n = (n as usize).min(unreserved);
        self.reservations.extend(std::iter::repeat_n(session, n));
    }

    /// Takes back lent slots that an entry does not need.
    pub fn give_back(&mut self, session: SessionId, n: u32) {
        if let Some(borrower) = self.borrowers.get_mut(&session) {
            borrower.lent -= n.min(borrower.lent);
        }
    }

    /// Lends free slots and recalls idle ones that other sessions need. Call after every change.
    pub fn balance(&mut self) -> Vec<SlotNotice> {
        if !self.usable {
            return Vec::new();
        }
        let mut lends = BTreeMap::new();
        self.lend_free(&mut lends);
        let mut notices = self.recall_idle();
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

    /// Takes back all lent slots of a target that can't run tasks.
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

    /// Lends one free slot: to a reservation or a session with demand, else ahead of need.
    fn next_borrower(&mut self) -> Option<SessionId> {
        let session = self
            .take_reservation()
            .or_else(|| self.next_with_demand())
            .or_else(|| self.next_ahead_of_need())?;
        let borrower = self.borrowers.get_mut(&session)?;
        borrower.lent += 1;
        borrower.demand = borrower.demand.saturating_sub(1);
        Some(session)
    }

    fn take_reservation(&mut self) -> Option<SessionId> {
        self.reservations.pop_front()
    }

    /// The next session in round-robin order that has waiting tasks.
    fn next_with_demand(&mut self) -> Option<SessionId> {
        let borrowers = &self.borrowers;
        let position = self
            .round_robin
            .iter()
            .position(|s| borrowers[s].demand > 0)?;
        let session = self.round_robin.remove(position)?;
        self.round_robin.push_back(session);
        Some(session)
    }

    /// The session with the fewest lent slots relative to its recent use.
    fn next_ahead_of_need(&self) -> Option<SessionId> {
        self.borrowers
            .iter()
            .filter(|(_, b)| b.mode == PlacementMode::SlotGrantsAhead)
            .min_by(|(_, a), (_, b)| a.relative_load().total_cmp(&b.relative_load()))
            .map(|(session, _)| *session)
    }

    /// Takes idle slots back for sessions with demand while no slot is free. A dispatch already on
    /// its way to such a slot may be refused, which proves that its task did not start.
    fn recall_idle(&mut self) -> Vec<SlotNotice> {
        if self.free() > 0 {
            return Vec::new();
        }
        let mut wanted: u32 = self.borrowers.values().map(|b| b.demand).sum();
        let mut notices = Vec::new();
        for (session, borrower) in &mut self.borrowers {
            let n = wanted.min(borrower.recallable());
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
    /// Lent slots, counting one more, relative to the session's weight.
    fn relative_load(&self) -> f64 {
        f64::from(self.lent + 1) / self.weight
    }

    /// Number of lent slots that may be recalled: all of a session without waiting tasks.
    fn recallable(&self) -> u32 {
        if self.mode.lends_on_demand() && self.demand == 0 {
            self.lent
        } else {
            0
        }
    }
}
