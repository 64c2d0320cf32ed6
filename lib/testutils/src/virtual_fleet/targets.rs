//! Simulates targets: runs, their ends and their leases.

use super::*;

impl VirtualFleet {
    pub(super) fn start_run(
        &mut self,
        process_id: ProcessId,
        start: trestleknot_lib::agent::Start,
    ) {
        let agent = process_id.index;
        let key = RunKey {
            incarnation: process_id.incarnation,
            run: start.run,
        };
        let target = &mut self.targets[agent];
        if target.down || target.runs.len() as u32 >= SLOTS {
            let event = AgentEvent::RunEnded {
                run: start.run,
                end: RunEnd::NotStarted,
            };
            self.schedule_after(Duration::ZERO, Event::ToAgent(process_id, Box::new(event)));
            return;
        }
        let run_ms = start.spec.payload.rsplit('/').next();
        let run_ms: u64 = run_ms.and_then(|t| t.parse().ok()).unwrap_or(0);
        let ends_at = self.now + Duration::from_millis(if target.fail_all { 1 } else { run_ms });
        let lease_until = self.now + start.lease;
        let run = Run {
            job: start.job,
            task: start.task,
            payload: start.spec.payload.clone(),
            lease_until,
            ends_at,
            stopped: false,
        };
        target.runs.insert(key, run);
        self.starts.push(StartedTask {
            at: self.now,
            agent,
            job: start.job,
            task: start.task,
            payload: start.spec.payload,
        });
        let left_at = self.leaving_since.get(&agent);
        if left_at.is_some_and(|at| self.now > *at + LEAVING_GRACE) {
            self.starts_while_leaving += 1;
        }
        self.schedule_at(ends_at, Event::RunEnds { agent, run: key });
        self.schedule_at(lease_until, Event::LeaseEnds { agent, run: key });
        let entry = self.entry_of(start.job);
        self.reach_step(Step::Started, FaultSite { entry, agent });
    }

    pub(super) fn entry_of(&self, job: JobId) -> usize {
        (job.entry >> 32) as usize - 1
    }

    pub(super) fn end_run_if_due(&mut self, agent: usize, key: RunKey) {
        let now = self.now;
        let target = &mut self.targets[agent];
        let is_over = target
            .runs
            .get(&key)
            .is_some_and(|r| r.stopped || r.ends_at <= now);
        if !is_over {
            return;
        }
        let Some(run) = target.runs.remove(&key) else {
            return;
        };
        let outcome = if run.stopped {
            TaskOutcome::Lost
        } else if target.fail_all {
            TaskOutcome::Failed("broken target".into())
        } else {
            TaskOutcome::Succeeded(run.payload.clone())
        };
        self.report_run_end(agent, key, outcome);
        let entry = self.entry_of(run.job);
        let _ = run.task;
        self.reach_step(Step::Finished, FaultSite { entry, agent });
    }

    pub(super) fn lapse_lease_if_due(&mut self, agent: usize, key: RunKey) {
        let now = self.now;
        let target = &mut self.targets[agent];
        if target.runs.get(&key).is_some_and(|r| r.lease_until <= now) {
            target.runs.remove(&key);
            self.report_run_end(agent, key, TaskOutcome::Lost);
        }
    }

    pub(super) fn report_run_end(&mut self, agent: usize, key: RunKey, outcome: TaskOutcome) {
        let process_id = ProcessId {
            index: agent,
            incarnation: key.incarnation,
        };
        let end = RunEnd::Ended(outcome);
        let event = AgentEvent::RunEnded { run: key.run, end };
        self.schedule_after(Duration::ZERO, Event::ToAgent(process_id, Box::new(event)));
    }
}
