//! Sets targets aside that fail what they start, and lets them back slowly.
//!
//! A target that fails fast frees its slots fast and so draws work towards itself. It is
//! compared with its peers: a cause that all share sets nobody aside, and a floor keeps most of
//! the fleet in use whatever happens.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::ids::{Incarnation, JobSeq, Now};

/// Ends of tasks remembered for each target.
const WINDOW: usize = 20;
/// Failures of different jobs within the window that make a target suspect.
const SUSPECT_FAILURES: usize = 3;
/// A suspect is set aside if it fails so many times as often as the rest of the fleet.
const WORSE_THAN_PEERS: f64 = 3.0;
/// First wait before a probe; it doubles at each failed probe.
const FIRST_PROBE: Duration = Duration::from_secs(2);
/// Longest wait before a probe.
const LAST_PROBE: Duration = Duration::from_secs(60);
/// Probes that must end well, one after the other, before the target is in full use.
const PROBES_TO_RETURN: u32 = 3;
/// At most one in so many targets may be set aside at a time.
const SET_ASIDE_FLOOR: usize = 3;

/// How a task ended, as health sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The target did its work.
    Good,
    /// The target reported an error or lost the task.
    Bad,
}

/// A change of what a target may get.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChange {
    /// Give it nothing.
    SetAside(Incarnation),
    /// Give it one task at a time.
    Probe(Incarnation),
    /// Give it up to this many.
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
    wait: Duration,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum State {
    #[default]
    InUse,
    SetAside {
        until: Now,
    },
    Probing {
        good: u32,
    },
}

impl TargetHealth {
    fn failures(&self) -> usize {
        self.window.iter().filter(|e| **e == Ending::Bad).count()
    }

    fn push(&mut self, ending: Ending) {
        if self.window.len() == WINDOW {
            self.window.pop_front();
        }
        self.window.push_back(ending);
    }

    fn set_aside(&mut self, now: Now) {
        let doubled = (self.wait * 2).min(LAST_PROBE);
        self.wait = doubled.max(FIRST_PROBE);
        self.state = State::SetAside {
            until: now + self.wait,
        };
        self.window.clear();
    }
}

impl HealthController {
    /// Takes in the end of a task.
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
            (State::InUse, Ending::Bad) => self.judge(target, now),
            (State::Probing { .. }, Ending::Bad) => {
                health.set_aside(now);
                Some(HealthChange::SetAside(target))
            }
            (State::Probing { good }, Ending::Good) => Some(health.probe_passed(target, good + 1)),
            _ => None,
        }
    }

    /// Sets a suspect aside if its peers do better and enough of them remain.
    fn judge(&mut self, target: Incarnation, now: Now) -> Option<HealthChange> {
        let health = &self.targets[&target];
        if health.failures() < SUSPECT_FAILURES || !self.floor_allows_one_more() {
            return None;
        }
        let own = health.failures() as f64 / health.window.len() as f64;
        if own < WORSE_THAN_PEERS * self.peer_failure_rate(target) {
            return None;
        }
        let health = self.targets.get_mut(&target)?;
        health.set_aside(now);
        Some(HealthChange::SetAside(target))
    }

    /// Failures over ends of all other targets, the most lenient view of a small sample.
    fn peer_failure_rate(&self, target: Incarnation) -> f64 {
        let peers = self.targets.iter().filter(|(id, _)| **id != target);
        let (mut bad, mut all) = (0, 0);
        for (_, health) in peers {
            bad += health.failures();
            all += health.window.len();
        }
        bad as f64 / all.max(1) as f64
    }

    fn floor_allows_one_more(&self) -> bool {
        let aside = self.targets.values().filter(|h| h.state != State::InUse);
        (aside.count() + 1) * SET_ASIDE_FLOOR <= self.targets.len()
    }

    /// Takes in that a peer has set a target aside. One failure seen here is then enough.
    pub fn peer_set_aside(&mut self, target: Incarnation, now: Now) -> Option<HealthChange> {
        let seen_here = self.targets.get(&target)?.failures() > 0;
        if !seen_here || !self.floor_allows_one_more() {
            return None;
        }
        let health = self.targets.get_mut(&target)?;
        if health.state != State::InUse {
            return None;
        }
        health.set_aside(now);
        Some(HealthChange::SetAside(target))
    }

    /// Lets targets be probed whose wait is over.
    pub fn tick(&mut self, now: Now) -> Vec<HealthChange> {
        let mut changes = Vec::new();
        for (target, health) in &mut self.targets {
            if matches!(health.state, State::SetAside { until } if until <= now) {
                health.state = State::Probing { good: 0 };
                changes.push(HealthChange::Probe(*target));
            }
        }
        changes
    }

    /// Starts to watch a target.
    pub fn add(&mut self, target: Incarnation) {
        self.targets.entry(target).or_default();
    }

    /// Drops a target that is gone.
    pub fn remove(&mut self, target: Incarnation) {
        self.targets.remove(&target);
    }

    /// Targets that are not in full use, in a fixed order.
    pub fn set_aside(&self) -> Vec<Incarnation> {
        let aside = self.targets.iter().filter(|(_, h)| h.state != State::InUse);
        let mut ids: Vec<Incarnation> = aside.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }
}

impl TargetHealth {
    fn probe_passed(&mut self, target: Incarnation, good: u32) -> HealthChange {
        if good >= PROBES_TO_RETURN {
            self.state = State::InUse;
            self.wait = Duration::ZERO;
            return HealthChange::Allow(target, u32::MAX);
        }
        self.state = State::Probing { good };
        HealthChange::Allow(target, 1 << good)
    }
}
