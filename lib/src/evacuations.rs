//! Data halls that the operator has emptied: their targets get no new work until they are given back.
//!
//! What runs there ends in peace; renewals, stops and lists go on. Entries leave an evacuated hall out
//! of every choice, and the agent beside each target refuses what an entry sends that does not know
//! yet.
//!
//! The operator's records lie in a log, so a state is named by the place in the log up to which it
//! holds. Invariant: in one life of a process that place never falls. A stale read, or an entry that
//! was cut off, can neither bring back what was withdrawn nor forget what was ordered.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{HallName, Now};

/// Place in the log of the operator's records: how many of them are known.
pub type StorePosition = u64;

/// The evacuated halls as of a place in the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedHalls {
    /// All records before this place are taken into account.
    #[serde(rename = "p")]
    pub place: StorePosition,
    /// The halls.
    #[serde(rename = "h")]
    pub halls: BTreeSet<HallName>,
}

impl EvacuatedHalls {
    /// Whether a hall's targets may get no new work.
    pub fn contains(&self, hall: &str) -> bool {
        self.halls.contains(hall)
    }

    /// The halls, for a line of the log.
    pub fn names(&self) -> String {
        let names: Vec<&str> = self.halls.iter().map(|h| &**h).collect();
        names.join(",")
    }
}

/// What a read of the operator's records says of evacuations.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationRecords {
    /// Whether these are the newest records of all keys, and not just those that came since the
    /// read before.
    pub is_whole: bool,
    /// Halls in the order of their records, each with whether it is evacuated.
    pub halls: Vec<(HallName, bool)>,
    /// Place in the log after the last record.
    pub place: StorePosition,
}

/// Adds reads of the operator's records up to a state.
#[derive(Debug, Default)]
pub struct EvacuationReader {
    halls: BTreeSet<HallName>,
}

impl EvacuationReader {
    /// Takes in a read. Reads follow one another: each begins where the one before ended, or is
    /// whole.
    pub fn read(&mut self, records: EvacuationRecords) -> EvacuatedHalls {
        if records.is_whole {
            self.halls.clear();
        }
        for (hall, is_evacuated) in records.halls {
            if is_evacuated {
                self.halls.insert(hall);
            } else {
                self.halls.remove(&hall);
            }
        }
        EvacuatedHalls {
            place: records.place,
            halls: self.halls.clone(),
        }
    }
}

/// What an offered state comes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offered {
    /// It is no newer than what is known.
    Old,
    /// It is newer and says the same.
    Confirmed,
    /// It is in force from now on.
    Changed,
}

/// The evacuations that a process obeys. They never go back in one life.
#[derive(Debug, Default)]
pub struct EvacuationsInForce {
    state: Arc<EvacuatedHalls>,
}

impl EvacuationsInForce {
    /// Takes a state in force if it is newer.
    pub fn offer(&mut self, state: &Arc<EvacuatedHalls>) -> Offered {
        if state.place <= self.state.place {
            return Offered::Old;
        }
        let is_same = state.halls == self.state.halls;
        self.state = state.clone();
        if is_same {
            Offered::Confirmed
        } else {
            Offered::Changed
        }
    }

    /// The state.
    pub fn state(&self) -> &Arc<EvacuatedHalls> {
        &self.state
    }

    /// Whether a hall's targets may get no new work.
    pub fn contains(&self, hall: &str) -> bool {
        self.state.contains(hall)
    }
}

/// Share of the bound after which an agent asks the store itself: two tries fit into the rest.
const ASK_SHARE: f64 = 0.3;
/// Share of the bound after which it asks in any case.
const MOST_ASK_SHARE: f64 = 0.6;
/// An entry hears of the store once a second when nothing happens; sooner than this, agents would
/// ask for nothing.
const USUAL_ASK: Duration = Duration::from_millis(1_500);
/// Shortest time between two questions, whatever the bound.
const LEAST_ASK: Duration = Duration::from_millis(200);

/// When an agent asks the store for evacuations itself.
///
/// It hears of them from its entries, which wait for news at the store. If none of them has heard
/// from the store for a while, they may be cut off from it while the agent is not: then it would
/// go on starting what they order in a hall that was emptied long ago.
#[derive(Debug)]
pub struct EvacuationWatch {
    /// How long nothing need be heard of the store; never too long without a bound to keep.
    ask_after: Option<Duration>,
    known_at: Now,
    asked_at: Option<Now>,
}

impl EvacuationWatch {
    /// A watch that keeps evacuations within this bound after they were ordered.
    pub fn new(now: Now, bound: Option<Duration>) -> Self {
        let ask_after = bound.map(|bound| {
            let usual = bound.mul_f64(ASK_SHARE).max(USUAL_ASK);
            usual.min(bound.mul_f64(MOST_ASK_SHARE)).max(LEAST_ASK)
        });
        Self {
            ask_after,
            known_at: now,
            asked_at: None,
        }
    }

    /// Notes that what is in force here was true at the store at a time.
    pub fn known(&mut self, at: Now) {
        self.known_at = self.known_at.max(at);
    }

    /// When the store is to be asked, if nothing is heard of it before.
    pub fn ask_at(&self) -> Option<Now> {
        let after = self.ask_after?;
        let again = self.asked_at.map_or(Now::ZERO, |at| at + after);
        Some(again.max(self.known_at + after))
    }

    /// Whether the store is to be asked now; notes that it is.
    pub fn take_due(&mut self, now: Now) -> bool {
        let is_due = self.ask_at().is_some_and(|at| at <= now);
        if is_due {
            self.asked_at = Some(now);
        }
        is_due
    }
}
