//! Which tasks are suspected of crashing the targets that run them, and when one is given up.
//!
//! The load that it answers: batches with a task that crashes every target which starts it. Started
//! again and again it takes a target after the other, and what else runs there with it. A crash says
//! only that one of the runs there may have caused it, or none: so each is suspected, and runs alone
//! next time if a target is idle. Then a crash points at it, and an end clears it. After two crashes it
//! runs alone or not at all: if no target gets idle in its caller's time, it is given up as well.

/// Crashes after which a task is given up, if it was alone at the last one.
const BLAMED_AFTER: u32 = 2;
/// Crashes after which a task is given up in any case.
const GIVEN_UP_AFTER: u32 = 3;

/// What is known of a task's part in crashes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CrashHistory {
    crashes: u32,
}

impl CrashHistory {
    /// Notes a crash of a target that had a run of the task, and whether it had no other; says
    /// whether the task is to be given up.
    pub fn note(&mut self, alone: bool) -> bool {
        self.crashes += 1;
        let is_blamed = alone && self.crashes >= BLAMED_AFTER;
        is_blamed || self.crashes >= GIVEN_UP_AFTER
    }

    /// Whether the task is to run alone if it can.
    pub fn is_suspect(self) -> bool {
        self.crashes > 0
    }

    /// Whether the task is to run alone or not at all.
    pub fn must_run_alone(self) -> bool {
        self.crashes >= BLAMED_AFTER
    }

    /// Crashes so far.
    pub fn crashes(self) -> u32 {
        self.crashes
    }
}
