//! Divides a target's free capacity among the entries that wait for it.
//!
//! A slot is the free capacity for one typical task. An entry uses a slot as soon as it learns of
//! it. If all entries learnt of the same slot, all but one of their orders would be rejected. So a
//! scarce slot is reserved for one entry at a time, by round robin weighted by the number of
//! waiting tasks. A reservation is only a hint: the agent checks every order against the capacity
//! that is really free.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{Now, SessionId};
use crate::resources::Resources;

/// Lifetime of a reservation that its entry doesn't use. An order takes a packet each way, some 5
/// ms on busy VMs.
const RESERVATION_TTL: Duration = Duration::from_millis(20);

/// Number of tasks that wait at an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// Link to the entry.
    pub link: SessionId,
    /// Number of tasks waiting at the entry.
    pub waiting: u32,
}

/// Free capacity of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreeCapacity {
    /// All free resources.
    pub free: Resources,
    /// Resources that a typical task takes: one slot.
    pub typical_size: Resources,
}

/// Round-robin state of an entry.
#[derive(Debug, Default)]
struct EntryTurn {
    /// Credit in smooth weighted round robin: grows by the entry's weight in each round, and falls
    /// by the total weight when the entry is chosen.
    credit: i64,
    /// Expiry of the entry's reservation, if it has one.
    reserved_until: Option<Now>,
}

/// Round-robin state of the entries that compete for one target's capacity.
#[derive(Debug, Default)]
pub struct CapacityShares {
    turns: BTreeMap<SessionId, EntryTurn>,
}

impl CapacityShares {
    /// Drops the state of an entry whose link is gone.
    pub fn remove(&mut self, link: SessionId) {
        self.turns.remove(&link);
    }

    /// Clears the reservation of an entry that has sent an order.
    pub fn clear_reservation(&mut self, link: SessionId) {
        if let Some(turn) = self.turns.get_mut(&link) {
            turn.reserved_until = None;
        }
    }

    /// Returns when the next reservation expires.
    pub fn next_wake(&self) -> Option<Now> {
        self.turns.values().filter_map(|t| t.reserved_until).min()
    }

    /// Returns the free resources that each entry may use, in the order of `demands`. All entries
    /// see the whole capacity if at most one waits.
    pub fn share(
        &mut self,
        now: Now,
        capacity: FreeCapacity,
        demands: &[Demand],
    ) -> Vec<Resources> {
        let waiting_entries = demands.iter().filter(|d| d.waiting > 0).count() as u64;
        let slots = capacity.typical_size.fit_count(capacity.free);
        if waiting_entries <= 1 {
            self.turns.clear();
            return vec![capacity.free; demands.len()];
        }
        if slots >= waiting_entries {
            self.turns.clear();
            let equal = capacity.free.divided_by(waiting_entries);
            let share = |d: &Demand| if d.waiting > 0 { equal } else { capacity.free };
            return demands.iter().map(share).collect();
        }
        self.reserve_slots(now, slots, demands);
        let reserved = self.reserved();
        // An entry with a reservation may use all that the other reservations leave.
        let reserved_by_others = capacity.typical_size.times(reserved.saturating_sub(1));
        let share = |d: &Demand| {
            let has_reservation = self.has_reservation(d.link);
            if has_reservation {
                capacity.free.minus(reserved_by_others)
            } else {
                Resources::NONE
            }
        };
        demands.iter().map(share).collect()
    }

    fn has_reservation(&self, link: SessionId) -> bool {
        let turn = self.turns.get(&link);
        turn.is_some_and(|t| t.reserved_until.is_some())
    }

    fn reserved(&self) -> u64 {
        let turns = self.turns.values();
        turns.filter(|t| t.reserved_until.is_some()).count() as u64
    }

    /// Drops expired reservations, then adds or revokes some until there are `slots` of them. There
    /// are fewer if too few entries wait.
    fn reserve_slots(&mut self, now: Now, slots: u64, demands: &[Demand]) {
        for turn in self.turns.values_mut() {
            turn.reserved_until = turn.reserved_until.filter(|until| *until > now);
        }
        while self.reserved() > slots {
            self.revoke_latest();
        }
        while self.reserved() < slots {
            let Some(link) = self.next_entry(demands) else {
                return;
            };
            let turn = self.turns.entry(link).or_default();
            turn.reserved_until = Some(now + RESERVATION_TTL);
        }
    }

    fn revoke_latest(&mut self) {
        let reserved = self.turns.iter_mut();
        let latest = reserved.max_by_key(|(_, turn)| turn.reserved_until);
        if let Some((_, turn)) = latest {
            turn.reserved_until = None;
        }
    }

    /// Chooses the next entry among those with waiting tasks and no reservation.
    fn next_entry(&mut self, demands: &[Demand]) -> Option<SessionId> {
        let mut total_weight = 0;
        let mut best: Option<(i64, SessionId)> = None;
        for demand in demands {
            if demand.waiting == 0 || self.has_reservation(demand.link) {
                continue;
            }
            let weight = i64::from(demand.waiting);
            total_weight += weight;
            let turn = self.turns.entry(demand.link).or_default();
            turn.credit += weight;
            if best.is_none_or(|(credit, _)| turn.credit > credit) {
                best = Some((turn.credit, demand.link));
            }
        }
        let (_, link) = best?;
        self.turns.entry(link).or_default().credit -= total_weight;
        Some(link)
    }
}
