//! Jobs of the entry's core, from submission to answer.

use std::sync::Arc;
use std::time::Duration;

use crate::admission::{AdmissionContext, Estimate};
use crate::entry::{
    EntryAction, EntryCore, JobRequest, Progress, Reply, ResponseMeasurement, Submission,
};
use crate::ids::{Incarnation, JobId, JobSeq, RequestId, TeamName};
use crate::job::{Answer, Failure, JobSpec, RefusalReason, TaskOutcome};
use crate::job_history::StepKind;
use crate::job_table::{Job, Phase, WaitingTask};
use crate::message::PeerMessage;
use crate::permit::{StoredAnswer, request_digest};

/// A job is due after this multiple of its estimated run time. Short jobs then wait little, and
/// long jobs are not starved.
const DUE_STRETCH: f64 = 3.0;

impl EntryCore {
    /// Runs a submission through the admission filters, then admits it as a job or refuses it.
    pub(crate) fn submit(&mut self, submission: Submission) {
        let request = submission.request;
        let Some(team) = self.team_of(&submission.key_sha256) else {
            let reason = if self.config.is_current() {
                Answer::refused(RefusalReason::UnknownTeam)
            } else {
                let soon = Duration::from_secs(1);
                Answer::refused_until(RefusalReason::ConfigurationBehind, soon)
            };
            self.refuse(request, reason);
            return;
        };
        let spec = JobSpec {
            team,
            tasks: submission.tasks,
            deadline: submission.deadline,
            repeatable: submission.repeatable,
            permit: submission.permit,
            trace: submission.trace,
        };
        let estimate = self.estimate(&spec);
        match self.check_filters(&spec, estimate) {
            Ok(()) => self.admit(request, spec, estimate),
            Err(answer) => {
                self.record_quota_refusal(&spec, &answer);
                self.refuse(request, answer);
            }
        }
    }

    fn check_filters(&self, spec: &JobSpec, estimate: Estimate) -> Result<(), Answer> {
        let cx = AdmissionContext {
            now: self.now,
            document: self.config.document().map(|d| &**d),
            config_current: self.config.is_current(),
            draining: self.draining_since.is_some(),
            targets: &self.targets,
            quotas: &self.quotas,
            waiting_tasks: self.jobs.waiting().tasks,
            estimate,
        };
        self.filters.iter().try_for_each(|f| f.check(spec, &cx))
    }

    fn record_quota_refusal(&mut self, spec: &JobSpec, answer: &Answer) {
        if let Answer::Refused { refusal } = answer
            && matches!(refusal.reason, RefusalReason::OverQuota { .. })
        {
            let tasks = spec.tasks.len() as u32;
            self.quotas.refuse(&spec.team, tasks, self.now);
        }
    }

    /// Estimates the response time of a job as if all waiting work of the fleet shared all open
    /// slots.
    fn estimate(&self, spec: &JobSpec) -> Estimate {
        let slots = self.targets.open_slots().max(1);
        let times = spec
            .tasks
            .iter()
            .map(|t| self.run_times.estimate(&spec.team, t));
        let mut work = Duration::ZERO;
        let mut longest = Duration::ZERO;
        for time in times {
            work += time.mean;
            longest = longest.max(time.mean);
        }
        let ahead = self.jobs.waiting_work() + self.peers_waiting_work();
        Estimate {
            wait: ahead / slots,
            run: longest.max(work / slots),
        }
    }

    fn refuse(&mut self, request: RequestId, answer: Answer) {
        self.counters.refused += 1;
        let next_permit = None;
        self.reply(
            request,
            Reply::Answer {
                answer,
                next_permit,
            },
        );
    }

    fn admit(&mut self, request: RequestId, spec: JobSpec, estimate: Estimate) {
        let seq = self.next_job;
        self.next_job += 1;
        let id = JobId {
            entry: self.options.incarnation,
            seq,
        };
        let tasks = spec.tasks.len() as u32;
        self.quotas.admit(&spec.team, tasks);
        self.history.begin(seq, &spec.team, self.now);
        let estimate_ms = estimate.response().as_millis() as u64;
        let admitted = StepKind::Admitted { tasks, estimate_ms };
        self.history.add(seq, self.now, || admitted);
        let job = self.new_job(id, request, spec, estimate);
        self.jobs.insert(job);
        self.claim_permit(seq);
    }

    fn new_job(&self, id: JobId, request: RequestId, spec: JobSpec, estimate: Estimate) -> Job {
        let phase = if spec.permit.is_some() {
            Phase::Claiming
        } else {
            Phase::Open
        };
        Job {
            id,
            request,
            arrived: self.now,
            deadline: self.now + spec.deadline,
            due: self.now + estimate.run.mul_f64(DUE_STRETCH).min(spec.deadline),
            phase,
            results: vec![None; spec.tasks.len()],
            ended: 0,
            in_flight: 0,
            waiting: self.sort_tasks(&spec),
            longest_run: Duration::ZERO,
            total_run: Duration::ZERO,
            claim: None,
            spec,
        }
    }

    /// Sorts the tasks of a job by expected run time, the longest last. They are dispatched from
    /// the end, because a long task that starts late delays the whole job.
    fn sort_tasks(&self, spec: &JobSpec) -> Vec<WaitingTask> {
        let waiting = |(index, task)| WaitingTask {
            index: index as u16,
            expected: self.run_times.estimate(&spec.team, task).mean,
        };
        let mut tasks: Vec<WaitingTask> = spec.tasks.iter().enumerate().map(waiting).collect();
        tasks.sort_by_key(|t| (t.expected, std::cmp::Reverse(t.index)));
        tasks
    }

    /// Handles the end of a task that may have run.
    pub(crate) fn task_ended(
        &mut self,
        seq: JobSeq,
        index: u16,
        target: &Arc<str>,
        outcome: TaskOutcome,
    ) {
        let now = self.now;
        self.history.add(seq, now, || StepKind::Ended {
            task: index,
            target: target.clone(),
            outcome: outcome_name(&outcome).to_owned(),
        });
        let Some(job) = self.jobs.get_mut(seq) else {
            return;
        };
        job.in_flight -= 1;
        job.ended += 1;
        match outcome {
            TaskOutcome::Succeeded(result) => {
                job.results[index as usize] = Some(result);
                if job.ended as usize == job.results.len() {
                    self.complete(seq);
                }
            }
            TaskOutcome::Failed(message) => {
                self.fail(
                    seq,
                    Failure::TaskFailed {
                        task: index,
                        message,
                    },
                );
            }
            TaskOutcome::Lost => {
                let target = target.clone();
                self.fail(
                    seq,
                    Failure::TargetLost {
                        task: index,
                        target,
                    },
                );
            }
        }
    }

    fn complete(&mut self, seq: JobSeq) {
        let Some(job) = self.jobs.get_mut(seq) else {
            return;
        };
        let results: Vec<Arc<str>> = job.results.drain(..).flatten().collect();
        let slots = self.targets.open_slots().max(1);
        let measure = ResponseMeasurement {
            response: self.now.saturating_sub(job.arrived),
            ideal: job.longest_run.max(job.total_run / slots),
        };
        self.actions.push(EntryAction::Measured(measure));
        let job_text = job.id.to_string();
        self.answer(
            seq,
            Answer::Complete {
                job: job_text,
                results,
            },
        );
    }

    /// Fails a job, or refuses it if none of its tasks can have run.
    pub(crate) fn fail(&mut self, seq: JobSeq, reason: Failure) {
        let Some(job) = self.jobs.get(seq) else {
            return;
        };
        let answer = if job.may_have_run() {
            Answer::failed(job.id, reason, true)
        } else {
            unstarted_answer(job.id, reason)
        };
        self.answer(seq, answer);
    }

    /// Answers and removes a job. Revokes its open dispatches, and releases its permit if no task
    /// ran.
    pub(crate) fn answer(&mut self, seq: JobSeq, answer: Answer) {
        let Some(job) = self.jobs.remove(seq) else {
            return;
        };
        self.count_answer(&job, &answer);
        if job.in_flight > 0 {
            self.revoke_job(seq);
        }
        self.settle_permit(&job, &answer);
        self.quotas.end(&job.spec.team, job.spec.tasks.len() as u32);
        let status = answer_status(&answer).to_owned();
        self.history
            .add(seq, self.now, || StepKind::Answered { status });
        let next_permit = job
            .spec
            .permit
            .as_ref()
            .and_then(|_| self.mint_permit(&job.spec.team));
        let reply = Reply::Answer {
            answer,
            next_permit,
        };
        self.reply(job.request, reply);
    }

    fn count_answer(&mut self, job: &Job, answer: &Answer) {
        match answer {
            Answer::Complete { .. } => self.counters.complete += 1,
            Answer::Failed { .. } => {
                self.counters.failed += 1;
                self.counters.wasted += u64::from(job.ended) * 2;
            }
            Answer::Refused { .. } => self.counters.refused += 1,
        }
    }

    /// Fails jobs whose deadline has passed.
    pub(crate) fn fail_expired_jobs(&mut self) {
        for seq in self.jobs.expired(self.now) {
            self.fail(seq, Failure::DeadlinePassed);
        }
    }

    pub(crate) fn fail_all_for_stop(&mut self) {
        for seq in self.jobs.seqs() {
            self.fail(seq, Failure::EntryStopped);
        }
    }

    /// Cancels the job of a caller that has disconnected.
    pub(crate) fn caller_gone(&mut self, request: RequestId) {
        if let Some(seq) = self.jobs.by_request(request) {
            self.fail(seq, Failure::Cancelled);
        }
    }

    /// Cancels a job held here, or forwards the request to the entry that holds it.
    pub(crate) fn cancel(&mut self, request: JobRequest) {
        let done = match self.team_of(&request.key_sha256) {
            Some(team) if request.job.entry == self.options.incarnation => {
                self.cancel_for(&team, request.job.seq)
            }
            Some(team) => self.forward_cancel(request.job, team),
            None => false,
        };
        self.reply(request.request, Reply::Cancelled(done));
    }

    /// Cancels a job if it belongs to the team; returns whether it did.
    pub(crate) fn cancel_for(&mut self, team: &TeamName, seq: JobSeq) -> bool {
        let owned = self.jobs.get(seq).is_some_and(|j| j.spec.team == *team);
        if owned {
            self.fail(seq, Failure::Cancelled);
        }
        owned
    }

    fn forward_cancel(&mut self, job: JobId, team: TeamName) -> bool {
        let Some(session) = self.peer_session(job.entry) else {
            return false;
        };
        self.send_peer(session, PeerMessage::CancelJob { job, team });
        true
    }

    /// Replies with the progress of a job if it is held here and belongs to the caller's team.
    pub(crate) fn job_state(&mut self, request: JobRequest) {
        let team = self.team_of(&request.key_sha256);
        let here = request.job.entry == self.options.incarnation;
        let job = self.jobs.get(request.job.seq).filter(|_| here);
        let progress = job
            .filter(|j| Some(&j.spec.team) == team.as_ref())
            .map(|j| Progress {
                tasks: j.spec.tasks.len() as u32,
                waiting: j.waiting.len() as u32,
                in_flight: j.in_flight,
                ended: j.ended,
            });
        self.reply(request.request, Reply::Progress(progress));
    }

    /// Replies with the timeline of a job.
    pub(crate) fn explain(&mut self, request: RequestId, job: JobId) {
        let here = job.entry == self.options.incarnation;
        let timeline = self.history.timeline(job.seq).filter(|_| here).cloned();
        self.reply(request, Reply::Story(timeline));
    }

    /// The digest of a job's team and tasks. It binds a permit to one request.
    pub(crate) fn digest_of(job: &Job) -> u64 {
        request_digest(&job.spec.team, &job.spec.tasks)
    }

    /// The form of an answer that the registrar stores.
    pub(crate) fn stored_answer(answer: &Answer) -> StoredAnswer {
        StoredAnswer::of(answer)
    }

    /// Name of a target for logs and answers.
    pub(crate) fn target_name(&self, target: Incarnation) -> Arc<str> {
        match self.targets.get(target) {
            Some(t) => t.name.clone(),
            None => Arc::from("unknown"),
        }
    }
}

/// The answer to a job that ends before any of its tasks ran: a refusal where one matches.
fn unstarted_answer(id: JobId, reason: Failure) -> Answer {
    match reason {
        Failure::DeadlinePassed => Answer::refused(RefusalReason::DeadlinePassed),
        Failure::Cancelled => Answer::refused(RefusalReason::Cancelled),
        Failure::EntryStopped => Answer::refused(RefusalReason::Stopping),
        other => Answer::failed(id, other, false),
    }
}

fn outcome_name(outcome: &TaskOutcome) -> &'static str {
    match outcome {
        TaskOutcome::Succeeded(_) => "succeeded",
        TaskOutcome::Failed(_) => "failed",
        TaskOutcome::Lost => "lost",
    }
}

fn answer_status(answer: &Answer) -> &'static str {
    match answer {
        Answer::Complete { .. } => "complete",
        Answer::Failed { .. } => "failed",
        Answer::Refused { .. } => "refused",
    }
}
