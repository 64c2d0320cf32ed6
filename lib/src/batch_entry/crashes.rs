//! Target crashes during runs of tasks: those of this entry's runs and those that agents and other
//! entries tell of.

use super::BatchEntryCore;
use crate::active_batch::{Batch, BatchState};
use crate::batch_event::{EntryAction, Reply};
use crate::crash_history::CrashHistory;
use crate::crash_notices::CrashNews;
use crate::events::EventCode;
use crate::ids::{RequestId, SessionId};
use crate::run::{BatchId, RunKey, TaskKey};
use crate::run_message::CrashNotice;

impl BatchEntryCore {
    /// Records the crash of a target during a run of this entry, and tells the neighbours.
    pub(super) fn note_own_crash(&mut self, link: SessionId, key: RunKey, alone: bool) {
        let notice = CrashNotice {
            key,
            owner: self.options.incarnation,
            alone,
            age_ms: 0,
        };
        let agent = self.targets.get(link).map(|v| v.agent.clone());
        let news = self
            .directory
            .note_crash(self.now, notice, None, agent.as_ref());
        let counts = match news {
            CrashNews::New => true,
            // Another process told of the crash before the run's end was reported.
            CrashNews::Known => false,
            // The end of a current run is reported once.
            CrashNews::Full => self.table.task(key).is_some(),
        };
        if !counts {
            return;
        }
        if let Some(history) = self.record_crash(key.task, alone) {
            let agent = agent.as_deref().unwrap_or("-");
            self.log_crash(history, &format!("run={key} agent={agent} alone={alone}"));
        }
    }

    /// Handles a notice of an agent or another entry. If the batch is held here, its task's history
    /// grows as by a crash of an own run, and the batch may fail by it.
    pub(super) fn handle_crash_notice(&mut self, link: SessionId, notice: CrashNotice) {
        // A link to another entry has no agent.
        let agent = self.targets.get(link).map(|v| v.agent.clone());
        let news = self
            .directory
            .note_crash(self.now, notice, Some(link), agent.as_ref());
        if news != CrashNews::New {
            return;
        }
        let CrashNotice {
            key, owner, alone, ..
        } = notice;
        let Some(history) = self.record_crash(key.task, alone) else {
            return;
        };
        let age_ms = notice.age_ms;
        let detail = format!("run={key} owner={owner:x} alone={alone} age_ms={age_ms}");
        self.log_crash(history, &detail);
        if history.is_given_up() {
            self.fail_open_batch(key.task.batch);
        }
    }

    fn fail_open_batch(&mut self, id: BatchId) {
        let batch = self.table.get(id);
        if batch.is_some_and(|b| b.state == BatchState::Open) {
            self.fail_batch(id);
        }
    }

    /// Records a crash in the history of a task that is held here, and schedules the verdict if it
    /// is due later.
    fn record_crash(&mut self, task: TaskKey, alone: bool) -> Option<CrashHistory> {
        let notices = self.directory.crash_notices();
        let verdict_at = notices.verdict_at(self.now, task, self.options.timings.lapse);
        let history = self.table.crash_history(task)?;
        history.record(alone, verdict_at);
        history.settle(self.now, notices.is_disputed(task));
        if let Some(at) = history.verdict_at() {
            self.verdicts.insert((at, task));
        }
        Some(*history)
    }

    /// Gives up the tasks whose verdict is due, unless the evidence against them is disputed.
    pub(super) fn settle_verdicts(&mut self) {
        while let Some(&(at, task)) = self.verdicts.first() {
            if at > self.now {
                return;
            }
            self.verdicts.pop_first();
            let is_disputed = self.directory.crash_notices().is_disputed(task);
            let history = self.table.crash_history(task);
            // A further crash may have decided already.
            let Some(history) = history.filter(|h| h.verdict_at().is_some()) else {
                continue;
            };
            history.settle(self.now, is_disputed);
            let history = *history;
            self.log_crash(history, &format!("task={task} disputed={is_disputed}"));
            self.needs_placing = true;
            if history.is_given_up() {
                self.fail_open_batch(task.batch);
            }
        }
    }

    fn log_crash(&mut self, history: CrashHistory, detail: &str) {
        let code = if history.is_given_up() {
            EventCode::TaskGivenUp
        } else {
            EventCode::TaskSuspected
        };
        let crashes = history.crashes();
        self.log(code, format!("{detail} crashes={crashes}"));
    }

    /// Adds the known crashes of earlier attempts to a new batch. If they suffice to give up one of
    /// its tasks, answers the batch as failed and returns false.
    pub(super) fn add_known_crashes(
        &mut self,
        id: BatchId,
        batch: &mut Batch,
        request: RequestId,
    ) -> bool {
        let crashes = self.directory.crashes_of(self.now, id);
        if crashes.is_empty() {
            return true;
        }
        let notices = self.directory.crash_notices();
        let lapse = self.options.timings.lapse;
        let verdicts = batch.add_known_crashes(self.now, &crashes, notices, lapse);
        self.verdicts.extend(verdicts);
        let is_given_up = batch.is_given_up();
        let count = crashes.len();
        self.log(
            EventCode::CrashesKnown,
            format!("job={id:016x} crashes={count} given_up={is_given_up}"),
        );
        if is_given_up {
            let queue = &batch.queue.name;
            let detail = format!("job={id:016x} queue={queue} answer=Failed took_ms=0");
            self.log(EventCode::BatchAnswered, detail);
            self.actions
                .push(EntryAction::Reply(request, Reply::Failed));
        }
        !is_given_up
    }
}
