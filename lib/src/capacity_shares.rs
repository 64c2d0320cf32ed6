//! Shares a target's free room among the entries that wait for it.
//!
//! An entry that is told of a free place orders it at once. Told the same place, ten entries send
//! ten orders and nine come back; so a scarce place is promised to one entry at a time, in turns
//! weighted by how much waits there. A promise is a hint: the agent checks every order against the
//! room that there really is.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{Now, SessionId};
use crate::resources::Resources;

/// How long an entry has to use a promised place, before another gets it. An order takes a packet
/// each way, some 5 ms on busy VMs.
const PROMISE_HOLDS: Duration = Duration::from_millis(20);

/// What an entry waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// Link to the entry.
    pub link: SessionId,
    /// Tasks that wait there.
    pub waiting: u32,
}

/// What a target has free.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreeCapacity {
    /// All of it.
    pub free: Resources,
    /// What a task takes as a rule.
    pub place: Resources,
}

/// An entry's turn.
#[derive(Debug, Default)]
struct Turn {
    /// Smooth weighted round robin: grows by the entry's weight in each round, and falls by the
    /// weight of all when the entry is chosen.
    credit: i64,
    /// Until when a place is promised to it.
    promised_until: Option<Now>,
}

/// See the module.
#[derive(Debug, Default)]
pub struct CapacityShares {
    turns: BTreeMap<SessionId, Turn>,
}

impl CapacityShares {
    /// Forgets a link.
    pub fn leave(&mut self, link: SessionId) {
        self.turns.remove(&link);
    }

    /// Notes that an entry has sent an order: its promise is used.
    pub fn used(&mut self, link: SessionId) {
        if let Some(turn) = self.turns.get_mut(&link) {
            turn.promised_until = None;
        }
    }

    /// When a promise runs out next.
    pub fn next_wake(&self) -> Option<Now> {
        self.turns.values().filter_map(|t| t.promised_until).min()
    }

    /// What each entry may take for free, in the order of `demands`.
    pub fn share(&mut self, now: Now, room: FreeCapacity, demands: &[Demand]) -> Vec<Resources> {
        let hungry = demands.iter().filter(|d| d.waiting > 0).count() as u64;
        let places = room.place.times_in(room.free);
        if hungry <= 1 {
            self.turns.clear();
            return vec![room.free; demands.len()];
        }
        if places >= hungry {
            self.turns.clear();
            let equal = room.free.divided_by(hungry);
            let share = |d: &Demand| if d.waiting > 0 { equal } else { room.free };
            return demands.iter().map(share).collect();
        }
        self.promise(now, places, demands);
        let promised = self.promised();
        // Whoever has a promise may take what the others' promises leave.
        let others = room.place.times(promised.saturating_sub(1));
        let share = |d: &Demand| {
            let is_promised = self.is_promised(d.link);
            if is_promised {
                room.free.minus(others)
            } else {
                Resources::NONE
            }
        };
        demands.iter().map(share).collect()
    }

    fn is_promised(&self, link: SessionId) -> bool {
        let turn = self.turns.get(&link);
        turn.is_some_and(|t| t.promised_until.is_some())
    }

    fn promised(&self) -> u64 {
        let turns = self.turns.values();
        turns.filter(|t| t.promised_until.is_some()).count() as u64
    }

    /// Promises as many places as there are.
    fn promise(&mut self, now: Now, places: u64, demands: &[Demand]) {
        for turn in self.turns.values_mut() {
            turn.promised_until = turn.promised_until.filter(|until| *until > now);
        }
        while self.promised() > places {
            self.take_back_latest();
        }
        while self.promised() < places {
            let Some(link) = self.next_turn(demands) else {
                return;
            };
            let turn = self.turns.entry(link).or_default();
            turn.promised_until = Some(now + PROMISE_HOLDS);
        }
    }

    fn take_back_latest(&mut self) {
        let promised = self.turns.iter_mut();
        let latest = promised.max_by_key(|(_, turn)| turn.promised_until);
        if let Some((_, turn)) = latest {
            turn.promised_until = None;
        }
    }

    /// The entry whose turn it is, among those that wait and have no promise.
    fn next_turn(&mut self, demands: &[Demand]) -> Option<SessionId> {
        let mut whole = 0;
        let mut first: Option<(i64, SessionId)> = None;
        for demand in demands {
            if demand.waiting == 0 || self.is_promised(demand.link) {
                continue;
            }
            let weight = i64::from(demand.waiting);
            whole += weight;
            let turn = self.turns.entry(demand.link).or_default();
            turn.credit += weight;
            if first.is_none_or(|(most, _)| turn.credit > most) {
                first = Some((turn.credit, demand.link));
            }
        }
        let (_, link) = first?;
        self.turns.entry(link).or_default().credit -= whole;
        Some(link)
    }
}
