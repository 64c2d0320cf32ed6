//! This entry's claims to batches whose callers may be at another entry by now.
//!
//! A request proves that its caller waits here only while it is younger than the shortest time in which
//! callers return to another entry. The network may have held it up for longer. So the witnesses of an
//! older batch are asked before its tasks start whether another entry holds it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::ids::{Now, SessionId};
use crate::run::BatchId;
use crate::run_message::ClaimNumber;

#[derive(Debug)]
enum ClaimState {
    /// Witnesses were asked.
    Asked {
        number: ClaimNumber,
        asked_at: Now,
        waiting_for: BTreeSet<SessionId>,
        /// Whether a witness may only be unlinked for the moment, so that the patience has to pass.
        lacks_witness: bool,
        is_held: bool,
    },
    /// Another entry may hold the batch; the witnesses are asked again later.
    Held { retry_at: Now },
}

/// A claim that nothing speaks against.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrantedClaim {
    /// The batch.
    pub batch: BatchId,
    /// When its witnesses were asked.
    pub asked_at: Now,
    /// Whether all of them have answered.
    pub is_answered: bool,
}

/// Changes of the claims that were due.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct SettledClaims {
    /// Claims that are granted.
    pub granted: Vec<GrantedClaim>,
    /// Whether witnesses are to be asked again.
    pub is_retry_due: bool,
}

/// The claims of an entry that were not granted yet.
#[derive(Debug)]
pub struct OwnClaims {
    claims: BTreeMap<BatchId, ClaimState>,
    /// How long an answer is waited for. A witness that does not answer by then is taken to know of nothing.
    patience: Duration,
    /// Pause before the witnesses are asked again about a batch that another entry may hold.
    retry_pause: Duration,
    last_number: ClaimNumber,
}

impl OwnClaims {
    /// Creates an empty table.
    pub fn new(patience: Duration, retry_pause: Duration) -> Self {
        Self {
            claims: BTreeMap::new(),
            patience,
            retry_pause,
            last_number: 0,
        }
    }

    /// Whether a claim to a batch is open.
    pub fn contains(&self, batch: BatchId) -> bool {
        self.claims.contains_key(&batch)
    }

    /// Until when the answers to a claim are waited for; none if no witness was asked about the batch.
    pub fn answer_due(&self, batch: BatchId) -> Option<Now> {
        match self.claims.get(&batch)? {
            ClaimState::Asked { asked_at, .. } => Some(*asked_at + self.patience),
            ClaimState::Held { .. } => None,
        }
    }

    /// The number of the next notice.
    pub fn next_number(&mut self) -> ClaimNumber {
        self.last_number += 1;
        self.last_number
    }

    /// Records that these witnesses are asked about a batch. Without any, the claim is granted at once,
    /// unless one `may_return` soon.
    pub fn ask(
        &mut self,
        now: Now,
        batch: BatchId,
        number: ClaimNumber,
        witnesses: &[SessionId],
        may_return: bool,
    ) {
        let state = ClaimState::Asked {
            number,
            asked_at: now,
            waiting_for: witnesses.iter().copied().collect(),
            lacks_witness: witnesses.is_empty() && may_return,
            is_held: false,
        };
        self.claims.insert(batch, state);
    }

    /// Records that another entry is known to hold a batch.
    pub fn note_held(&mut self, now: Now, batch: BatchId) {
        let retry_at = now + self.retry_pause;
        self.claims.insert(batch, ClaimState::Held { retry_at });
    }

    /// Records a witness's answer, with the batches that another entry may hold.
    pub fn answered(&mut self, link: SessionId, of: ClaimNumber, held: &[BatchId]) {
        for (batch, state) in &mut self.claims {
            if let ClaimState::Asked {
                number,
                waiting_for,
                is_held,
                ..
            } = state
                && *number == of
            {
                waiting_for.remove(&link);
                *is_held |= held.contains(batch);
            }
        }
    }

    /// Records that the link to a witness is gone.
    pub fn link_down(&mut self, link: SessionId) {
        for state in self.claims.values_mut() {
            if let ClaimState::Asked { waiting_for, .. } = state {
                waiting_for.remove(&link);
            }
        }
    }

    /// Drops the claims for which no witness was linked, as one is now. Returns whether there were any.
    pub fn witness_joined(&mut self) -> bool {
        let before = self.claims.len();
        let lacks_witness = |state: &ClaimState| matches!(state, ClaimState::Asked { lacks_witness, .. } if *lacks_witness);
        self.claims.retain(|_, state| !lacks_witness(state));
        self.claims.len() < before
    }

    /// Drops the claim to a batch that has ended.
    pub fn remove(&mut self, batch: BatchId) {
        self.claims.remove(&batch);
    }

    /// Takes the claims that are granted, and drops those that are due to be asked again.
    pub fn settle(&mut self, now: Now) -> SettledClaims {
        let mut settled = SettledClaims::default();
        let (patience, retry_pause) = (self.patience, self.retry_pause);
        self.claims.retain(|batch, state| match state {
            ClaimState::Held { retry_at } => {
                let is_due = *retry_at <= now;
                settled.is_retry_due |= is_due;
                !is_due
            }
            ClaimState::Asked {
                asked_at,
                waiting_for,
                lacks_witness,
                is_held,
                ..
            } => {
                let is_answered = waiting_for.is_empty() && !*lacks_witness;
                if *is_held {
                    let retry_at = now + retry_pause;
                    *state = ClaimState::Held { retry_at };
                    return true;
                }
                if !is_answered && *asked_at + patience > now {
                    return true;
                }
                settled.granted.push(GrantedClaim {
                    batch: *batch,
                    asked_at: *asked_at,
                    is_answered,
                });
                false
            }
        });
        settled
    }

    /// When [`Self::settle`] has something to do, if no answer comes before.
    pub fn next_wake(&self) -> Option<Now> {
        let times = self.claims.values().map(|state| match state {
            ClaimState::Held { retry_at } => *retry_at,
            ClaimState::Asked { asked_at, .. } => *asked_at + self.patience,
        });
        times.min()
    }
}
