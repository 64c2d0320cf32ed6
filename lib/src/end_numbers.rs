//! Numbers of the ends that one incarnation of a target has listed.
//!
//! A target numbers its ends from 1 on, and forgets those that an acknowledgement covers. Invariant: an
//! end counts once, whatever other numbers were listed, and an acknowledgement covers no end that was
//! not listed.

use std::collections::BTreeSet;

/// Sequence number of a run's end within one incarnation of a target.
pub type EndNumber = u64;

/// Most numbers kept. An end that was acknowledged is listed again only by an answer that was late.
const MAX_KEPT: usize = 4_000;
/// Largest number of the first end that is acknowledged. No target has that many ends.
const MAX_FIRST: EndNumber = 1 << 40;
/// Number of listed ends from which the lower half is acknowledged in any case. A target lists 500
/// ends at once, and has no room for new ones in a full list.
const MAX_UNACKNOWLEDGED: usize = 250;

/// The numbers that were listed, and the last acknowledgement.
#[derive(Debug, Default)]
pub struct EndNumbers {
    seen: BTreeSet<EndNumber>,
    /// Lower numbers are no longer kept.
    kept_from: EndNumber,
    /// Largest number that the last acknowledgement covered; zero before the first one.
    acknowledged: EndNumber,
}

/// What can be acknowledged of a list of ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Acknowledgement {
    /// Covers the ends up to this number; zero if none can be acknowledged.
    pub up_to: EndNumber,
    /// Whether it covers all listed ends.
    pub is_complete: bool,
    /// Whether it covers ends only because too many are listed.
    pub is_forced: bool,
}

impl EndNumbers {
    /// Records a listed end. Returns whether it was not listed before.
    pub fn note(&mut self, number: EndNumber) -> bool {
        if number < self.kept_from || !self.seen.insert(number) {
            return false;
        }
        while self.seen.len() > MAX_KEPT
            && let Some(dropped) = self.seen.pop_first()
        {
            self.kept_from = dropped.saturating_add(1);
        }
        true
    }

    /// Returns the acknowledgement for a list of ends: up to the first gap. A number behind a gap may
    /// be wrong, and would cover ends that were not listed yet. With an empty list, the last one is
    /// repeated.
    pub fn acknowledge(&mut self, listed: &BTreeSet<EndNumber>) -> Acknowledgement {
        if listed.is_empty() {
            return Acknowledgement {
                up_to: self.acknowledged,
                is_complete: true,
                is_forced: false,
            };
        }
        let mut up_to = 0;
        for &number in listed {
            let is_next = match up_to.max(self.acknowledged) {
                0 => number <= MAX_FIRST,
                // An earlier acknowledgement may have been lost.
                last => number <= last.saturating_add(1),
            };
            if !is_next {
                break;
            }
            up_to = number;
        }
        let is_forced = up_to == 0 && listed.len() >= MAX_UNACKNOWLEDGED;
        if is_forced {
            up_to = listed.iter().nth(listed.len() / 2).copied().unwrap_or(0);
        }
        if up_to > 0 {
            self.acknowledged = up_to;
        }
        Acknowledgement {
            up_to,
            is_complete: listed.last().is_none_or(|last| *last <= up_to),
            is_forced,
        }
    }
}
