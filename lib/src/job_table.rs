//! The jobs that an entry holds and the order in which their tasks wait.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::entry_permits::ClaimTicket;
use crate::ids::{JobId, JobSeq, Now, RequestId, TaskIndex};
use crate::job::{JobSpec, TaskSpec};
use crate::placement::{TaskNeed, Waiting};

/// How far a job has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// Waits for the registrar of its permit.
    Claiming,
    /// Its tasks wait or run.
    Open,
}

/// One task's place and expected length.
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
    /// Its name in the fleet.
    pub id: JobId,
    /// The request that gets the answer.
    pub request: RequestId,
    /// What was submitted.
    pub spec: JobSpec,
    /// When it arrived.
    pub arrived: Now,
    /// When its caller stops waiting.
    pub deadline: Now,
    /// When it should be done, so that no job lags much further behind its ideal than others.
    pub due: Now,
    /// How far it is.
    pub phase: Phase,
    /// Results so far.
    pub results: Vec<Option<Arc<str>>>,
    /// Tasks that have ended.
    pub ended: u32,
    /// Tasks handed out without a known end.
    pub in_flight: u32,
    /// Tasks that wait, the longest last.
    pub waiting: Vec<WaitingTask>,
    /// Run time of its longest task so far.
    pub longest_run: Duration,
    /// Run time of all its tasks so far.
    pub total_run: Duration,
    /// The claim on its permit, once sent.
    pub claim: Option<ClaimTicket>,
}

impl Job {
    /// Whether any task may have started: one has ended, or one is out without proof.
    pub fn may_have_run(&self) -> bool {
        self.ended > 0 || self.in_flight > 0
    }

    fn waiting_need(&self) -> Option<TaskNeed> {
        let task = self.waiting.last()?;
        Some(need_of(&self.spec.tasks[task.index as usize]))
    }
}

/// What a task needs of a target.
pub fn need_of(task: &TaskSpec) -> TaskNeed {
    TaskNeed {
        accelerators: task.accelerators,
        memory_mib: task.memory_mib,
    }
}

/// Place of a job in the queue: the one that is due first. docs/design/placement.md has the
/// figures for this against the order of admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    due: Now,
    job: JobSeq,
}

/// A task that is next in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NextTask {
    /// Its job.
    pub job: JobSeq,
    /// What it needs.
    pub need: TaskNeed,
}

/// Jobs by number, and those with waiting tasks in order.
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
    /// Adds a job. Its tasks wait from now on unless it still claims its permit.
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

    /// Lets the tasks of a job wait whose permit was granted.
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

    fn uncount(&mut self, task: WaitingTask, accelerators: u32) {
        self.waiting.tasks -= 1;
        self.waiting.accelerated -= u32::from(accelerators > 0);
        self.waiting_work = self.waiting_work.saturating_sub(task.expected);
    }

    /// The first waiting task whose need is not among `blocked`.
    pub fn next(&self, blocked: &BTreeSet<TaskNeed>) -> Option<NextTask> {
        let free = |key: &QueueKey| {
            let need = self.jobs[&key.job].waiting_need()?;
            (!blocked.contains(&need)).then_some(NextTask { job: key.job, need })
        };
        self.queue.iter().find_map(free)
    }

    /// Takes the next waiting task of a job to hand it out.
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
        self.uncount(task, accelerators);
        Some(task)
    }

    /// Lets a task wait again that is proven never to have started.
    pub fn put_back(&mut self, seq: JobSeq, task: WaitingTask) {
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

    /// Removes a job for good.
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
                self.uncount(*task, job.spec.tasks[task.index as usize].accelerators);
            }
        }
        Some(job)
    }

    /// Jobs whose deadline has come.
    pub fn due(&self, now: Now) -> Vec<JobSeq> {
        let due = self.deadlines.iter().take_while(|key| key.deadline <= now);
        due.map(|key| key.job).collect()
    }

    /// The next deadline.
    pub fn next_deadline(&self) -> Option<Now> {
        self.deadlines.first().map(|key| key.deadline)
    }

    /// Looks a job up.
    pub fn get(&self, seq: JobSeq) -> Option<&Job> {
        self.jobs.get(&seq)
    }

    /// Looks a job up to change what the queue does not depend on.
    pub fn get_mut(&mut self, seq: JobSeq) -> Option<&mut Job> {
        self.jobs.get_mut(&seq)
    }

    /// The job that a request waits for.
    pub fn by_request(&self, request: RequestId) -> Option<JobSeq> {
        self.requests.get(&request).copied()
    }

    /// Tasks that wait.
    pub fn waiting(&self) -> Waiting {
        self.waiting
    }

    /// Estimated work of the tasks that wait, in time of one slot.
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

    /// Whether there is no job.
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
