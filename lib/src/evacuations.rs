//! Evacuated data halls: their targets get no new work until the operator ends the evacuation.
//!
//! Running tasks continue, as do renewals, stops and lists. Entries place nothing in an evacuated
//! hall, and agents there refuse starts from entries that do not know of the evacuation yet.
//!
//! A state is identified by its position in the log of the operator's records. Invariant: within
//! one incarnation of a process that position never decreases, so a stale read or a partitioned
//! entry can neither restore an ended evacuation nor drop a newer one.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{HallName, Now};

/// Position in the log of the operator's records: the number of known records.
pub type StorePosition = u64;

/// The evacuated halls as of a position in the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedHalls {
    /// Position up to which all records are included.
    #[serde(rename = "p")]
    pub position: StorePosition,
    /// Names of the evacuated halls.
    #[serde(rename = "h")]
    pub halls: BTreeSet<HallName>,
}

impl EvacuatedHalls {
    /// Whether a hall is evacuated.
    pub fn contains(&self, hall: &str) -> bool {
        self.halls.contains(hall)
    }

    /// Names of the halls, separated by commas, for log lines.
    pub fn names(&self) -> String {
        let names: Vec<&str> = self.halls.iter().map(|h| &**h).collect();
        names.join(",")
    }
}

/// Evacuation records from one read of the operator's log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationRecords {
    /// Whether these are the newest records of all keys, not only those since the previous read.
    pub is_complete: bool,
    /// Halls in the order of their records, and whether each is evacuated.
    pub halls: Vec<(HallName, bool)>,
    /// Position in the log after the last record.
    pub position: StorePosition,
}

/// Builds the current state from successive reads of the operator's records.
#[derive(Debug, Default)]
pub struct EvacuationReader {
    halls: BTreeSet<HallName>,
}

impl EvacuationReader {
    /// Applies a read and returns the new state. Each read must begin where the previous one ended,
    /// or be whole.
    pub fn read(&mut self, records: EvacuationRecords) -> EvacuatedHalls {
        if records.is_complete {
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
            position: records.position,
            halls: self.halls.clone(),
        }
    }
}

/// Result of [`EvacuationsInForce::offer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The state is not newer than the one in force.
    Old,
    /// The state is newer and holds the same halls.
    Confirmed,
    /// The state is newer, with other halls, and is in force now.
    Changed,
}

/// The evacuations that a process applies. They never revert to an older state.
#[derive(Debug, Default)]
pub struct EvacuationsInForce {
    state: Arc<EvacuatedHalls>,
}

impl EvacuationsInForce {
    /// Applies a state if it is newer than the one in force.
    pub fn offer(&mut self, state: &Arc<EvacuatedHalls>) -> OfferOutcome {
        if state.position <= self.state.position {
            return OfferOutcome::Old;
        }
        let is_same = state.halls == self.state.halls;
        self.state = state.clone();
        if is_same {
            OfferOutcome::Confirmed
        } else {
            OfferOutcome::Changed
        }
    }

    /// Returns the state in force.
    pub fn state(&self) -> &Arc<EvacuatedHalls> {
        &self.state
    }

    /// Whether a hall is evacuated.
    pub fn contains(&self, hall: &str) -> bool {
        self.state.contains(hall)
    }
}

/// Fraction of the bound after which an agent usually queries the store; leaves time for retries.
const USUAL_QUERY_FRACTION: f64 = 0.3;
/// Largest fraction of the bound after which an agent queries the store.
const MAX_QUERY_FRACTION: f64 = 0.6;
/// Usual minimum between queries. Longer than an idle entry takes to hear from the store. An idle
/// entry hears from the store once a second.
const USUAL_QUERY_INTERVAL: Duration = Duration::from_millis(1_500);
/// Minimum between queries, regardless of the bound.
const MIN_QUERY_INTERVAL: Duration = Duration::from_millis(200);

/// Decides when an agent queries the store for evacuations itself.
///
/// Agents normally learn of evacuations from their entries, which wait for news at the store. If no
/// entry has heard from the store for a while, the entries may be partitioned from it. Without its
/// own query the agent would then keep starting their tasks in an evacuated hall.
#[derive(Debug)]
pub struct EvacuationWatch {
    /// Longest age of the known state before a query; none if there is no bound.
    ask_after: Option<Duration>,
    /// Latest time at which the state in force was current at the store.
    known_at: Now,
    asked_at: Option<Now>,
}

impl EvacuationWatch {
    /// Creates a watch. `bound` is the longest time from an evacuation's record until it is
    /// applied.
    pub fn new(now: Now, bound: Option<Duration>) -> Self {
        let ask_after = bound.map(|bound| {
            let usual = bound
                .mul_f64(USUAL_QUERY_FRACTION)
                .max(USUAL_QUERY_INTERVAL);
            usual
                .min(bound.mul_f64(MAX_QUERY_FRACTION))
                .max(MIN_QUERY_INTERVAL)
        });
        Self {
            ask_after,
            known_at: now,
            asked_at: None,
        }
    }

    /// Records that the state in force here was current at the store at this time.
    pub fn confirmed(&mut self, at: Now) {
        self.known_at = self.known_at.max(at);
    }

    /// When to query the store, unless there is news from it before then.
    pub fn query_at(&self) -> Option<Now> {
        let after = self.ask_after?;
        let again = self.asked_at.map_or(Now::ZERO, |at| at + after);
        Some(again.max(self.known_at + after))
    }

    /// Whether to query the store now; if so, records the query.
    pub fn take_due(&mut self, now: Now) -> bool {
        let is_due = self.query_at().is_some_and(|at| at <= now);
        if is_due {
            self.asked_at = Some(now);
        }
        is_due
    }
}
