//! Targets of a virtual fleet: runs, their ends and their leases.

use super::*;

impl VirtualFleet {
    pub(super) fn start_run(&mut self, place: Place, start: trestleknot_lib::agent::Start) {
        let agent = place.index;
        let key = RunKey {
            life: place.life,
            run: start.run,
        };
        let target = &mut self.targets[agent];
        if target.down || target.runs.len() as u32 >= SLOTS {
            let event = AgentEvent::RunEnded {
                run: start.run,
                end: RunEnd::NotStarted,
            };
            self.after(Duration::ZERO, Happening::ToAgent(place, Box::new(event)));
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
        let drained_at = self.drained_agents.get(&agent);
        if drained_at.is_some_and(|at| self.now > *at + LEAVING_GRACE) {
            self.starts_while_leaving += 1;
        }
        self.at(ends_at, Happening::RunOver { agent, run: key });
        self.at(lease_until, Happening::LeaseOver { agent, run: key });
        let entry = self.entry_of(start.job);
        self.step(Step::Started, Where { entry, agent });
    }

    pub(super) fn entry_of(&self, job: JobId) -> usize {
        (job.entry >> 32) as usize - 1
    }

    pub(super) fn run_over(&mut self, agent: usize, key: RunKey) {
        let now = self.now;
        let target = &mut self.targets[agent];
        let over = target
            .runs
            .get(&key)
            .is_some_and(|r| r.stopped || r.ends_at <= now);
        if !over {
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
        self.end_run(agent, key, outcome);
        let entry = self.entry_of(run.job);
        let _ = run.task;
        self.step(Step::Finished, Where { entry, agent });
    }

    pub(super) fn lease_over(&mut self, agent: usize, key: RunKey) {
        let now = self.now;
        let target = &mut self.targets[agent];
        if target.runs.get(&key).is_some_and(|r| r.lease_until <= now) {
            target.runs.remove(&key);
            self.end_run(agent, key, TaskOutcome::Lost);
        }
    }

    pub(super) fn end_run(&mut self, agent: usize, key: RunKey, outcome: TaskOutcome) {
        let place = Place {
            index: agent,
            life: key.life,
        };
        let end = RunEnd::Ended(outcome);
        let event = AgentEvent::RunEnded { run: key.run, end };
        self.after(Duration::ZERO, Happening::ToAgent(place, Box::new(event)));
    }
}
