//! Tracks which tasks may crash the targets that run them, and decides when to give one up.
//!
//! Retrying a task that crashes its target would take down one target after another, with all other
//! runs there. A crash doesn't tell which run caused it, so every task that ran there is a suspect
//! and next runs alone if a target is idle. After two crashes it runs only alone.
//!
//! A target may also crash of itself while a suspect runs alone there. Two crashes therefore count
//! against a task only once the other suspects of the first one had time to show that they caused
//! it. If one of them has crashed a target again meanwhile, the evidence is disputed and a third
//! crash decides.

use crate::ids::Now;

/// Number of crashes after which a task is given up if it ran alone at the last one and the evidence
/// is not disputed.
const ALONE_CRASH_LIMIT: u32 = 2;
/// Number of crashes after which a task is given up in any case.
const CRASH_LIMIT: u32 = 3;

/// Target crashes during runs of one task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CrashHistory {
    crashes: u32,
    /// When it is decided whether the crashes so far suffice to give the task up.
    verdict_at: Option<Now>,
    is_given_up: bool,
}

impl CrashHistory {
    /// Records a crash of a target that had a run of the task. `alone` tells whether it had no
    /// other run. If the crashes point at the task now, [`Self::settle`] decides at `verdict_at`.
    pub fn record(&mut self, alone: bool, verdict_at: Now) {
        self.crashes += 1;
        if self.crashes >= CRASH_LIMIT {
            self.is_given_up = true;
            self.verdict_at = None;
        } else if alone && self.crashes >= ALONE_CRASH_LIMIT {
            self.verdict_at = Some(verdict_at);
        }
    }

    /// Returns when it is decided whether to give the task up. It doesn't run before.
    pub fn verdict_at(self) -> Option<Now> {
        self.verdict_at
    }

    /// Gives the task up if that is due, unless `is_disputed`.
    pub fn settle(&mut self, now: Now, is_disputed: bool) {
        if self.verdict_at.is_some_and(|at| at <= now) {
            self.verdict_at = None;
            self.is_given_up = !is_disputed;
        }
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
