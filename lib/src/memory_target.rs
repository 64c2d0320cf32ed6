//! In-memory target that runs scripted tasks under leases, with fault injection.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::future::{FutureExt as _, LocalBoxFuture};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::agent::{Renewal, RunEnd, RunId, Start};
use crate::clock::BootInstant;
use crate::ids::Incarnation;
use crate::job::TaskOutcome;
use crate::platform::TargetService;

/// Instructions in a task's payload. A task with any other payload succeeds at once. The result is
/// the payload itself.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct TaskScript {
    /// Run time in milliseconds.
    #[serde(default)]
    pub run_ms: u64,
    /// Whether the task fails.
    #[serde(default)]
    pub fail: bool,
    /// Id of the task in the [`StartRecord`]; empty if its start isn't recorded.
    #[serde(default)]
    pub id: String,
}

/// Injected faults of a target.
#[derive(Debug, Clone)]
pub struct TargetFaults {
    /// Every task fails at once.
    pub fail_all: bool,
    /// The target starts no tasks.
    pub down: bool,
    /// Factor on run times, to simulate stragglers or a throttled target.
    pub slowdown: f64,
}

impl Default for TargetFaults {
    fn default() -> Self {
        Self {
            fail_all: false,
            down: false,
            slowdown: 1.0,
        }
    }
}

/// Counts how often each task of a fleet was started. Clones share their state.
#[derive(Debug, Clone, Default)]
pub struct StartRecord {
    starts: Arc<Mutex<HashMap<String, u32>>>,
}

impl StartRecord {
    /// Records a start.
    pub fn note(&self, id: &str) {
        if !id.is_empty() {
            *lock(&self.starts).entry(id.to_owned()).or_default() += 1;
        }
    }

    /// Returns the number of tasks started more than once.
    pub fn started_twice(&self) -> usize {
        lock(&self.starts).values().filter(|n| **n > 1).count()
    }

    /// Whether the task was started.
    pub fn started(&self, id: &str) -> bool {
        lock(&self.starts).contains_key(id)
    }

    /// Returns the number of started tasks.
    pub fn len(&self) -> usize {
        lock(&self.starts).len()
    }

    /// Whether no task was started.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

struct ActiveRun {
    lease_until: BootInstant,
    stopped: bool,
    changed: Arc<Notify>,
}

#[derive(Default)]
struct TargetState {
    faults: TargetFaults,
    running: HashMap<String, ActiveRun>,
}

/// An in-memory target. Clones share their state.
#[derive(Clone)]
pub struct MemoryTarget {
    state: Arc<Mutex<TargetState>>,
    starts: StartRecord,
    slots: usize,
}

impl MemoryTarget {
    /// Creates a target that records the tasks it starts in `starts`.
    pub fn new(slots: usize, starts: StartRecord) -> Self {
        Self {
            state: Arc::default(),
            starts,
            slots,
        }
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: TargetFaults) {
        lock(&self.state).faults = faults;
    }

    /// Returns the number of running tasks, which is also the usage that the target reports.
    pub fn running(&self) -> usize {
        lock(&self.state).running.len()
    }

    /// Ends every task at once and starts no more, as if the target crashed.
    pub fn kill(&self) {
        let mut state = lock(&self.state);
        state.faults.down = true;
        for running in state.running.values_mut() {
            running.stopped = true;
            running.changed.notify_one();
        }
    }

    /// Runs a task under the given run name until it ends, is stopped or its lease lapses.
    pub async fn run_named(&self, run: String, payload: &str, lease: Duration) -> RunEnd {
        let script: TaskScript = serde_json::from_str(payload).unwrap_or_default();
        let Some(changed) = self.begin(&run, lease) else {
            return RunEnd::NotStarted;
        };
        self.starts.note(&script.id);
        let faults = lock(&self.state).faults.clone();
        let outcome = if faults.fail_all {
            TaskOutcome::Failed("this target fails everything".into())
        } else {
            let time = Duration::from_millis(script.run_ms).mul_f64(faults.slowdown);
            self.wait_for_end(&run, time, &changed).await
        };
        lock(&self.state).running.remove(&run);
        RunEnd::Ended(match outcome {
            TaskOutcome::Succeeded(_) if script.fail => TaskOutcome::Failed("asked to fail".into()),
            TaskOutcome::Succeeded(_) => TaskOutcome::Succeeded(payload.into()),
            other => other,
        })
    }

    fn begin(&self, run: &str, lease: Duration) -> Option<Arc<Notify>> {
        let mut state = lock(&self.state);
        let full = state.running.len() >= self.slots;
        if state.faults.down || full || state.running.contains_key(run) {
            return None;
        }
        let changed = Arc::new(Notify::new());
        let running = ActiveRun {
            lease_until: BootInstant::now() + lease,
            stopped: false,
            changed: changed.clone(),
        };
        state.running.insert(run.to_owned(), running);
        Some(changed)
    }

    /// Waits until the task ends, is stopped or its lease lapses.
    async fn wait_for_end(&self, run: &str, time: Duration, changed: &Notify) -> TaskOutcome {
        let end = BootInstant::now() + time;
        loop {
            let Some(lease_until) = self.lease_end(run) else {
                return TaskOutcome::Lost;
            };
            let now = BootInstant::now();
            if now >= end {
                return TaskOutcome::Succeeded("".into());
            }
            if now >= lease_until {
                return TaskOutcome::Lost;
            }
            let remaining = end.min(lease_until) - now;
            // Long ntex timers are coarse; tokio's are accurate to a millisecond.
            let _ = tokio::time::timeout(remaining, changed.notified()).await;
        }
    }

    /// Returns the end of a run's lease, or None if the run was stopped or has ended.
    fn lease_end(&self, run: &str) -> Option<BootInstant> {
        let state = lock(&self.state);
        let running = state.running.get(run)?;
        (!running.stopped).then_some(running.lease_until)
    }

    /// Renews the leases of the named runs.
    pub fn renew_named(&self, runs: &[String], lease: Duration) {
        let mut state = lock(&self.state);
        for run in runs {
            if let Some(running) = state.running.get_mut(run) {
                running.lease_until = BootInstant::now() + lease;
                running.changed.notify_one();
            }
        }
    }

    /// Stops the named run.
    pub fn stop_named(&self, run: &str) {
        if let Some(running) = lock(&self.state).running.get_mut(run) {
            running.stopped = true;
            running.changed.notify_one();
        }
    }

    /// Returns this target as seen by one incarnation of an agent.
    pub fn for_agent(&self, agent: Incarnation) -> AgentTarget {
        AgentTarget {
            target: self.clone(),
            agent,
        }
    }
}

/// An in-memory target as seen by one incarnation of an agent.
pub struct AgentTarget {
    target: MemoryTarget,
    agent: Incarnation,
}

impl AgentTarget {
    fn run_name(&self, run: RunId) -> String {
        format!("{:016x}-{run}", self.agent)
    }
}

impl TargetService for AgentTarget {
    fn run(&self, start: Start) -> LocalBoxFuture<'_, RunEnd> {
        let run = self.run_name(start.run);
        async move {
            self.target
                .run_named(run, &start.spec.payload, start.lease)
                .await
        }
        .boxed_local()
    }

    fn renew(&self, renewal: Renewal) -> LocalBoxFuture<'_, ()> {
        let runs: Vec<String> = renewal.runs.iter().map(|r| self.run_name(*r)).collect();
        self.target.renew_named(&runs, renewal.lease);
        std::future::ready(()).boxed_local()
    }

    fn stop(&self, run: RunId) -> LocalBoxFuture<'_, ()> {
        self.target.stop_named(&self.run_name(run));
        std::future::ready(()).boxed_local()
    }
}
