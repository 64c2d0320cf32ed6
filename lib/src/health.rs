//! Ejects targets whose tasks fail and readmits them through probes.
//!
//! A target that fails fast frees its slots fast and therefore attracts more tasks. Each target is
//! compared with its peers, so a cause that all targets share ejects none. A limit on ejections
//! keeps most of the fleet in use.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::ids::{Incarnation, JobSeq, Now};

/// Number of recent task results kept for each target.
const WINDOW_LEN: usize = 20;
/// Failures of different jobs within the window before a target may be ejected.
const MIN_FAILURES: usize = 3;
/// Least ratio of a target's failure rate to its peers' for an ejection.
const MIN_FAILURE_RATIO: f64 = 3.0;
/// Delay before the first probe. It doubles at each failed probe.
const INITIAL_PROBE_DELAY: Duration = Duration::from_secs(2);
/// Longest delay before a probe.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(60);
/// Consecutive successful probes that readmit a target.
const PROBES_TO_READMIT: u32 = 3;
/// At most one in this many targets may be ejected or probing at a time.
const TARGETS_PER_EJECTION: usize = 3;

/// The result of a task for the health of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The target ran the task.
    Good,
    /// The target reported an error or lost the task.
    Bad,
}

/// A change in the number of tasks that a target may get.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChange {
    /// The target is ejected and gets no tasks.
    SetAside(Incarnation),
    /// The target is probed with one task at a time.
    Probe(Incarnation),
    /// The target gets up to this many tasks at a time.
    Allow(Incarnation, u32),
}

/// Health of all targets.
#[derive(Debug, Default)]
pub struct HealthController {
    targets: HashMap<Incarnation, TargetHealth>,
}

#[derive(Debug, Default)]
struct TargetHealth {
    window: VecDeque<Ending>,
    last_failed_job: Option<JobSeq>,
    state: State,
    probe_delay: Duration,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum State {
    #[default]
    InUse,
    Ejected {
        until: Now,
    },
    Probing {
        passed: u32,
    },
}

impl TargetHealth {
    fn failures(&self) -> usize {
        self.window.iter().filter(|e| **e == Ending::Bad).count()
    }

    fn push(&mut self, ending: Ending) {
        if self.window.len() == WINDOW_LEN {
            self.window.pop_front();
        }
        self.window.push_back(ending);
    }

    fn eject(&mut self, now: Now) {
        let doubled = (self.probe_delay * 2).min(MAX_PROBE_DELAY);
        self.probe_delay = doubled.max(INITIAL_PROBE_DELAY);
        self.state = State::Ejected {
            until: now + self.probe_delay,
        };
        self.window.clear();
    }
}

impl HealthController {
    /// Records the result of a task.
    pub fn observe(
        &mut self,
        target: Incarnation,
        job: JobSeq,
        ending: Ending,
        now: Now,
    ) -> Option<HealthChange> {
        let health = self.targets.entry(target).or_default();
        if ending == Ending::Bad {
            if health.last_failed_job == Some(job) {
                return None;
            }
            health.last_failed_job = Some(job);
        }
        health.push(ending);
        match (health.state, ending) {
            (State::InUse, Ending::Bad) => self.eject_if_outlier(target, now),
            (State::Probing { .. }, Ending::Bad) => {
                health.eject(now);
                Some(HealthChange::SetAside(target))
            }
            (State::Probing { passed }, Ending::Good) => {
                Some(health.probe_passed(target, passed + 1))
            }
            _ => None,
        }
    }

    /// Ejects a target that fails far more often than its peers, if the limit allows it.
    fn eject_if_outlier(&mut self, target: Incarnation, now: Now) -> Option<HealthChange> {
        let health = &self.targets[&target];
        if health.failures() < MIN_FAILURES || !self.may_eject_another() {
            return None;
        }
        let failure_rate = health.failures() as f64 / health.window.len() as f64;
        if failure_rate < MIN_FAILURE_RATIO * self.peer_failure_rate(target) {
            return None;
        }
        let health = self.targets.get_mut(&target)?;
        health.eject(now);
        Some(HealthChange::SetAside(target))
    }

    /// Failure rate of all other targets together, or 0 without results.
    fn peer_failure_rate(&self, target: Incarnation) -> f64 {
        let peers = self.targets.iter().filter(|(id, _)| **id != target);
        let (mut failures, mut results) = (0, 0);
        for (_, health) in peers {
            failures += health.failures();
            results += health.window.len();
        }
        failures as f64 / results.max(1) as f64
    }

    fn may_eject_another(&self) -> bool {
        let ejected = self.targets.values().filter(|h| h.state != State::InUse);
        (ejected.count() + 1) * TARGETS_PER_EJECTION <= self.targets.len()
    }

    /// Records that a peer has ejected a target. One failure seen by this entry then suffices to
    /// eject it.
    pub fn peer_set_aside(&mut self, target: Incarnation, now: Now) -> Option<HealthChange> {
        let has_failed = self.targets.get(&target)?.failures() > 0;
        if !has_failed || !self.may_eject_another() {
            return None;
        }
        let health = self.targets.get_mut(&target)?;
        if health.state != State::InUse {
            return None;
        }
        health.eject(now);
        Some(HealthChange::SetAside(target))
    }

    /// Starts probing the targets whose delay is over.
    pub fn tick(&mut self, now: Now) -> Vec<HealthChange> {
        let mut changes = Vec::new();
        for (target, health) in &mut self.targets {
            if matches!(health.state, State::Ejected { until } if until <= now) {
                health.state = State::Probing { passed: 0 };
                changes.push(HealthChange::Probe(*target));
            }
        }
        changes
    }

    /// Adds a target to compare with its peers.
    pub fn add(&mut self, target: Incarnation) {
        self.targets.entry(target).or_default();
    }

    /// Removes a target.
    pub fn remove(&mut self, target: Incarnation) {
        self.targets.remove(&target);
    }

    /// Targets that are ejected or probing, in ascending order.
    pub fn set_aside(&self) -> Vec<Incarnation> {
        let ejected = self.targets.iter().filter(|(_, h)| h.state != State::InUse);
        let mut ids: Vec<Incarnation> = ejected.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }
}

impl TargetHealth {
    fn probe_passed(&mut self, target: Incarnation, passed: u32) -> HealthChange {
        if passed >= PROBES_TO_READMIT {
            self.state = State::InUse;
            self.probe_delay = Duration::ZERO;
            return HealthChange::Allow(target, u32::MAX);
        }
        self.state = State::Probing { passed };
        HealthChange::Allow(target, 1 << passed)
    }
}
