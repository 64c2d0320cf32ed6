//! A target in memory: runs tasks under leases, and can fail, straggle, throttle and stop.

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

/// What a payload asks of this target. Anything else is answered at once with itself.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct TaskScript {
    /// How long to run, in milliseconds.
    #[serde(default)]
    pub run_ms: u64,
    /// Whether to end with an error.
    #[serde(default)]
    pub fail: bool,
    /// Names the task in the record of starts.
    #[serde(default)]
    pub id: String,
}

/// What is wrong with a target now.
#[derive(Debug, Clone)]
pub struct TargetFaults {
    /// Every task fails at once.
    pub fail_all: bool,
    /// It takes no connections.
    pub down: bool,
    /// Run times are multiplied by this: stragglers, or a throttled target.
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

/// Counts the starts of tasks in a whole fleet. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct StartRecord {
    starts: Arc<Mutex<HashMap<String, u32>>>,
}

impl StartRecord {
    /// Notes a start.
    pub fn note(&self, id: &str) {
        if !id.is_empty() {
            *lock(&self.starts).entry(id.to_owned()).or_default() += 1;
        }
    }

    /// Tasks that were started more than once.
    pub fn started_twice(&self) -> usize {
        lock(&self.starts).values().filter(|n| **n > 1).count()
    }

    /// Whether a task was started.
    pub fn started(&self, id: &str) -> bool {
        lock(&self.starts).contains_key(id)
    }

    /// Number of tasks that were started.
    pub fn len(&self) -> usize {
        lock(&self.starts).len()
    }

    /// Whether nothing was started.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Running {
    lease_until: BootInstant,
    stopped: bool,
    changed: Arc<Notify>,
}

#[derive(Default)]
struct TargetState {
    faults: TargetFaults,
    running: HashMap<String, Running>,
}

/// A target. Clones share it.
#[derive(Clone)]
pub struct MemoryTarget {
    state: Arc<Mutex<TargetState>>,
    starts: StartRecord,
    slots: usize,
}

impl MemoryTarget {
    /// A target of so many slots that notes its starts in `starts`.
    pub fn new(slots: usize, starts: StartRecord) -> Self {
        Self {
            state: Arc::default(),
            starts,
            slots,
        }
    }

    /// Sets what is wrong from now on.
    pub fn set_faults(&self, faults: TargetFaults) {
        lock(&self.state).faults = faults;
    }

    /// Tasks running now. This is also the usage that it reports.
    pub fn running(&self) -> usize {
        lock(&self.state).running.len()
    }

    /// Ends every task at once, as the death of the target does.
    pub fn kill(&self) {
        let mut state = lock(&self.state);
        state.faults.down = true;
        for running in state.running.values_mut() {
            running.stopped = true;
            running.changed.notify_one();
        }
    }

    /// Runs a task by the name of its run.
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
            self.pass_time(&run, time, &changed).await
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
        let running = Running {
            lease_until: BootInstant::now() + lease,
            stopped: false,
            changed: changed.clone(),
        };
        state.running.insert(run.to_owned(), running);
        Some(changed)
    }

    /// Lets time pass until the task's end, a stop, or the end of its lease.
    async fn pass_time(&self, run: &str, time: Duration, changed: &Notify) -> TaskOutcome {
        let end = BootInstant::now() + time;
        loop {
            let Some(lease_until) = self.lease_of(run) else {
                return TaskOutcome::Lost;
            };
            let now = BootInstant::now();
            if now >= end {
                return TaskOutcome::Succeeded("".into());
            }
            if now >= lease_until {
                return TaskOutcome::Lost;
            }
            let pause = end.min(lease_until) - now;
            // The timers of ntex get coarse with length; those of tokio keep to a millisecond.
            let _ = tokio::time::timeout(pause, changed.notified()).await;
        }
    }

    /// End of a run's lease; none if it was stopped.
    fn lease_of(&self, run: &str) -> Option<BootInstant> {
        let state = lock(&self.state);
        let running = state.running.get(run)?;
        (!running.stopped).then_some(running.lease_until)
    }

    /// Renews leases by the names of the runs.
    pub fn renew_named(&self, runs: &[String], lease: Duration) {
        let mut state = lock(&self.state);
        for run in runs {
            if let Some(running) = state.running.get_mut(run) {
                running.lease_until = BootInstant::now() + lease;
                running.changed.notify_one();
            }
        }
    }

    /// Stops a run by its name.
    pub fn stop_named(&self, run: &str) {
        if let Some(running) = lock(&self.state).running.get_mut(run) {
            running.stopped = true;
            running.changed.notify_one();
        }
    }

    /// This target as seen by one life of an agent.
    pub fn for_agent(&self, agent: Incarnation) -> AgentTarget {
        AgentTarget {
            target: self.clone(),
            agent,
        }
    }
}

/// A target in memory as seen by one life of an agent.
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
