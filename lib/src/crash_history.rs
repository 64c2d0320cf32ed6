//! Tracks which tasks may crash the targets that run them, and decides when to give one up.
//!
//! Retrying a task that crashes its target would take down one target after another, with all other
//! runs there. A crash doesn't tell which run caused it, so every task that ran there is a suspect
//! and next runs alone if a target is idle. After two crashes it runs only alone.

/// Number of crashes after which a task is given up if it ran alone at the last one.
const ALONE_CRASH_LIMIT: u32 = 2;
/// Number of crashes after which a task is given up in any case.
const CRASH_LIMIT: u32 = 3;

/// Target crashes during runs of one task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CrashHistory {
    crashes: u32,
    is_given_up: bool,
}

impl CrashHistory {
    /// Records a crash of a target that had a run of the task. `alone` tells whether it had no
    /// other run.
    pub fn record(&mut self, alone: bool) {
        self.crashes += 1;
        let is_cause = alone && self.crashes >= ALONE_CRASH_LIMIT;
        self.is_given_up |= is_cause || self.crashes >= CRASH_LIMIT;
    }

    /// Returns whether the task must not run again.
    pub fn is_given_up(self) -> bool {
        self.is_given_up
    }

    /// Returns whether the task should run alone if a target is idle.
    pub fn is_suspect(self) -> bool {
        self.crashes > 0
    }

    /// Returns whether the task may only run alone.
    pub fn must_run_alone(self) -> bool {
        self.crashes >= ALONE_CRASH_LIMIT
    }

    /// Returns the number of crashes so far.
    pub fn crashes(self) -> u32 {
        self.crashes
    }
}
