//! Jobs that an entry holds, and the queue of their waiting tasks.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::entry_permits::ClaimTicket;
use crate::ids::{JobId, JobSeq, Now, RequestId, TaskIndex};
use crate::job::{JobSpec, TaskSpec};
use crate::placement::{TaskNeed, Waiting};

/// Phase of a job between admission and answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// The job waits for the registrar to grant its permit.
    Claiming,
    /// The tasks of the job wait or run.
    Open,
}

/// A task that waits to be dispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingTask {
    /// Position in the job.
    pub index: TaskIndex,
    /// Expected run time.
    pub expected: Duration,
}

/// A job between admission and answer.
#[derive(Debug)]
pub struct Job {
    /// Id of the job, unique in the fleet.
    pub id: JobId,
    /// The request to answer.
    pub request: RequestId,
    /// The job as submitted.
    pub spec: JobSpec,
    /// Arrival time.
    pub arrived: Now,
    /// Time when the caller stops waiting.
    pub deadline: Now,
    /// Soft target time, a multiple of the estimated run time. Jobs are queued in this order.
    pub due: Now,
    /// Current phase.
    pub phase: Phase,
    /// Results so far, by position of the task.
    pub results: Vec<Option<Arc<str>>>,
    /// Tasks that have ended.
    pub ended: u32,
    /// Tasks dispatched without a known end.
    pub in_flight: u32,
    /// Waiting tasks; the last one is dispatched first.
    pub waiting: Vec<WaitingTask>,
    /// Longest run time of a task so far.
    pub longest_run: Duration,
    /// Total run time of the tasks so far.
    pub total_run: Duration,
    /// The claim on the job's permit, once sent.
    pub claim: Option<ClaimTicket>,
}

impl Job {
    /// Whether any task may have started. An open dispatch counts, because it may be running.
    pub fn may_have_run(&self) -> bool {
        self.ended > 0 || self.in_flight > 0
    }

    fn waiting_need(&self) -> Option<TaskNeed> {
        let task = self.waiting.last()?;
        Some(need_of(&self.spec.tasks[task.index as usize]))
    }
}

/// Resources that a task needs on a target.
pub fn need_of(task: &TaskSpec) -> TaskNeed {
    TaskNeed {
        accelerators: task.accelerators,
        memory_mib: task.memory_mib,
    }
}

/// Position of a job in the queue, by due time; docs/design/placement.md compares this with the
/// order of admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    due: Now,
    job: JobSeq,
}

/// The task to dispatch next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NextTask {
    pub job: JobSeq,
    /// What it needs.
    pub need: TaskNeed,
}

/// Jobs of an entry, with indexes by request, due time and deadline.
#[derive(Debug, Default)]
pub struct JobTable {
    jobs: HashMap<JobSeq, Job>,
    requests: HashMap<RequestId, JobSeq>,
    queue: BTreeSet<QueueKey>,
    deadlines: BTreeSet<DeadlineKey>,
    waiting: Waiting,
    waiting_work: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct DeadlineKey {
    deadline: Now,
    job: JobSeq,
}

impl JobTable {
    /// Adds a job. Its tasks are queued at once unless the job still claims its permit.
    pub fn insert(&mut self, job: Job) {
        let seq = job.id.seq;
        self.requests.insert(job.request, seq);
        self.deadlines.insert(DeadlineKey {
            deadline: job.deadline,
            job: seq,
        });
        let open = job.phase == Phase::Open;
        self.jobs.insert(seq, job);
        if open {
            self.enqueue(seq);
        }
    }

    /// Queues the tasks of a job whose permit was granted.
    pub fn open(&mut self, seq: JobSeq) {
        if let Some(job) = self.jobs.get_mut(&seq) {
            job.phase = Phase::Open;
            self.enqueue(seq);
        }
    }

    fn enqueue(&mut self, seq: JobSeq) {
        let job = &self.jobs[&seq];
        for task in &job.waiting {
            let accelerated = job.spec.tasks[task.index as usize].accelerators > 0;
            self.waiting.tasks += 1;
            self.waiting.accelerated += u32::from(accelerated);
            self.waiting_work += task.expected;
        }
        if !job.waiting.is_empty() {
            self.queue.insert(queue_key(job));
        }
    }

    fn subtract_waiting(&mut self, task: WaitingTask, accelerators: u32) {
        self.waiting.tasks -= 1;
        self.waiting.accelerated -= u32::from(accelerators > 0);
        self.waiting_work = self.waiting_work.saturating_sub(task.expected);
    }

    /// The first waiting task whose need is not among `blocked`.
    pub fn next(&self, blocked: &BTreeSet<TaskNeed>) -> Option<NextTask> {
        let unblocked = |key: &QueueKey| {
            let need = self.jobs[&key.job].waiting_need()?;
            (!blocked.contains(&need)).then_some(NextTask { job: key.job, need })
        };
        self.queue.iter().find_map(unblocked)
    }

    /// Removes the next waiting task of a job from the queue and counts it as in flight.
    pub fn take_task(&mut self, seq: JobSeq) -> Option<WaitingTask> {
        let job = self.jobs.get_mut(&seq)?;
        let old_key = queue_key(job);
        let task = job.waiting.pop()?;
        job.in_flight += 1;
        let accelerators = job.spec.tasks[task.index as usize].accelerators;
        let new_key = queue_key(job);
        let empty = job.waiting.is_empty();
        self.queue.remove(&old_key);
        if !empty {
            self.queue.insert(new_key);
        }
        self.subtract_waiting(task, accelerators);
        Some(task)
    }

    /// Queues a task again that is proven never to have started.
    pub fn requeue(&mut self, seq: JobSeq, task: WaitingTask) {
        let Some(job) = self.jobs.get_mut(&seq) else {
            return;
        };
        let old_key = queue_key(job);
        job.in_flight -= 1;
        job.waiting.push(task);
        let accelerated = job.spec.tasks[task.index as usize].accelerators > 0;
        let new_key = queue_key(job);
        self.queue.remove(&old_key);
        self.queue.insert(new_key);
        self.waiting.tasks += 1;
        self.waiting.accelerated += u32::from(accelerated);
        self.waiting_work += task.expected;
    }

    /// Removes a job and its waiting tasks.
    pub fn remove(&mut self, seq: JobSeq) -> Option<Job> {
        let job = self.jobs.remove(&seq)?;
        self.requests.remove(&job.request);
        self.deadlines.remove(&DeadlineKey {
            deadline: job.deadline,
            job: seq,
        });
        if job.phase == Phase::Open {
            self.queue.remove(&queue_key(&job));
            for task in &job.waiting {
                self.subtract_waiting(*task, job.spec.tasks[task.index as usize].accelerators);
            }
        }
        Some(job)
    }

    /// Jobs whose deadline has passed.
    pub fn expired(&self, now: Now) -> Vec<JobSeq> {
        let expired = self.deadlines.iter().take_while(|key| key.deadline <= now);
        expired.map(|key| key.job).collect()
    }

    pub fn next_deadline(&self) -> Option<Now> {
        self.deadlines.first().map(|key| key.deadline)
    }

    /// The job with this number.
    pub fn get(&self, seq: JobSeq) -> Option<&Job> {
        self.jobs.get(&seq)
    }

    /// The job with this number. Callers must not change the fields that the queue depends on.
    pub fn get_mut(&mut self, seq: JobSeq) -> Option<&mut Job> {
        self.jobs.get_mut(&seq)
    }

    /// The job that answers a request.
    pub fn by_request(&self, request: RequestId) -> Option<JobSeq> {
        self.requests.get(&request).copied()
    }

    /// Counts of the waiting tasks.
    pub fn waiting(&self) -> Waiting {
        self.waiting
    }

    /// Estimated work of the waiting tasks, as run time on one slot.
    pub fn waiting_work(&self) -> Duration {
        self.waiting_work
    }

    /// Numbers of all jobs, in order.
    pub fn seqs(&self) -> Vec<JobSeq> {
        let mut seqs: Vec<JobSeq> = self.jobs.keys().copied().collect();
        seqs.sort_unstable();
        seqs
    }

    /// Number of jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether the table holds no job.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }
}

fn queue_key(job: &Job) -> QueueKey {
    QueueKey {
        due: job.due,
        job: job.id.seq,
    }
}
