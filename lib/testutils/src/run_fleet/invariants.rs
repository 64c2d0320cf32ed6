//! Invariants of a fleet, checked on what callers and targets observed.

use std::collections::BTreeMap;
use std::time::Duration;

use trestleknot_lib::batch_event::Reply;
use trestleknot_lib::ids::Now;
use trestleknot_lib::run::{BatchId, RunEnd, RunKey, TaskKey};

use super::{Caller, RunFleet};
use crate::run_target::RunRecord;

/// How long work may still start on a target after it announced that it is leaving.
const LEAVING_GRACE: Duration = Duration::from_millis(2_000);

impl RunFleet {
    /// Describes every violated invariant.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        self.check_overlaps(&mut violations);
        self.check_capacity(&mut violations);
        self.check_labels(&mut violations);
        let mut by_batch: BTreeMap<BatchId, Vec<&RunRecord>> = BTreeMap::new();
        for record in self.records() {
            let runs = by_batch.entry(record.key.task.batch).or_default();
            runs.push(record);
        }
        for (id, caller) in &self.callers {
            let runs = by_batch.remove(id).unwrap_or_default();
            check_caller(*id, caller, &runs, &mut violations);
        }
        // The remaining runs belong to no caller; the capacity check counts them as zero.
        for (id, runs) in by_batch {
            violations.push(format!(
                "{id:016x}: ran, but no caller submitted it: {runs:?}"
            ));
        }
        violations
    }

    /// Describes runs that went on after an agent had reported them as over or not started. Valid if
    /// every caller sends one request: a later request numbers its runs from 1 again.
    pub fn ends_reported_too_soon(&self) -> Vec<String> {
        let mut reported: BTreeMap<RunKey, Now> = BTreeMap::new();
        for (at, key) in &self.reported_ends {
            reported.entry(*key).or_insert(*at);
        }
        let goes_on = |record: &&RunRecord| {
            let at = reported.get(&record.key);
            at.is_some_and(|at| record.to.is_none_or(|to| to > *at))
        };
        let describe = |record: &RunRecord| {
            let at = reported.get(&record.key);
            format!("{} reported as over at {at:?}: {record:?}", record.key)
        };
        self.records().filter(goes_on).map(describe).collect()
    }

    /// Describes runs of tasks that had ended as done before, if that end was acknowledged to the
    /// target.
    pub fn started_after_acknowledged_end(&self) -> Vec<String> {
        let mut done: BTreeMap<TaskKey, Now> = BTreeMap::new();
        for record in self.records().filter(|r| r.end == Some(RunEnd::Done)) {
            if let (Some(to), true) = (record.to, record.acknowledged.is_some()) {
                done.insert(record.key.task, to);
            }
        }
        let follows = |record: &&RunRecord| {
            let done_at = done.get(&record.key.task);
            done_at.is_some_and(|at| record.from >= *at)
        };
        let following = self.records().filter(follows);
        following.map(|record| format!("{record:?}")).collect()
    }

    fn records(&self) -> impl Iterator<Item = &RunRecord> {
        self.targets().flat_map(|t| t.records.iter())
    }

    /// Checks that no task has two runs at the same time.
    fn check_overlaps(&self, violations: &mut Vec<String>) {
        let mut by_task: BTreeMap<TaskKey, Vec<&RunRecord>> = BTreeMap::new();
        for record in self.records() {
            by_task.entry(record.key.task).or_default().push(record);
        }
        for (task, mut records) in by_task {
            records.sort_by_key(|r| r.from);
            for (index, first) in records.iter().enumerate() {
                for second in &records[index + 1..] {
                    if overlap(first, second) {
                        violations.push(format!("{task} ran twice at once: {first:?}, {second:?}"));
                    }
                }
            }
            check_crash_limit(task, &records, violations);
        }
    }

    /// Checks that no target exceeds the capacity that it had reported.
    fn check_capacity(&self, violations: &mut Vec<String>) {
        let cpu = |key: &RunKey| {
            let caller = self.callers.get(&key.task.batch);
            caller.map_or(0, |c| c.size.cpu_millis as i64)
        };
        for target in self.targets() {
            let full = target.usual_capacity.cpu_millis as i64;
            let mut changes: Vec<(Now, i64, i64)> = Vec::new();
            for record in &target.records {
                let cpu = cpu(&record.key);
                let reported = record.room.cpu_millis as i64;
                let limit = if record.is_late { full } else { reported };
                changes.push((record.from, cpu, limit));
                changes.push((record.to.unwrap_or(Now::MAX), -cpu, i64::MAX));
            }
            changes.sort();
            let mut used = 0;
            for (at, change, limit) in changes {
                used += change;
                if used > limit {
                    violations.push(format!(
                        "{} holds {used} of {limit} at {at:?}",
                        target.life()
                    ));
                    break;
                }
            }
        }
    }

    /// Checks that no task ran on a target without the label that it requires.
    fn check_labels(&self, violations: &mut Vec<String>) {
        for record in self.records() {
            let caller = self.callers.get(&record.key.task.batch);
            let required = caller.and_then(|c| c.required_label.as_ref());
            if required.is_some_and(|label| !record.labels.contains(label)) {
                violations.push(format!("{} lacks a label: {record:?}", record.key));
            }
        }
    }

    /// Batches that were answered as failed although none of their tasks crashes targets.
    pub fn failed_innocents(&self) -> Vec<BatchId> {
        let failed = |c: &Caller| c.replies.iter().any(|(_, r)| *r == Reply::Failed);
        let wrongly_failed = self.callers.iter().filter(|(_, c)| failed(c) && !c.crashes);
        wrongly_failed.map(|(id, _)| *id).collect()
    }

    /// Counts runs that began after their caller's only request had timed out. Orders that a
    /// target carried out late don't count.
    pub fn starts_in_vain(&self) -> usize {
        let is_late = |record: &&RunRecord| {
            let caller = self.callers.get(&record.key.task.batch);
            let caller = caller.filter(|c| c.requests.len() == 1 && !record.is_late);
            caller.is_some_and(|c| record.from > c.sent + c.reply_timeout)
        };
        self.records().filter(is_late).count()
    }

    /// Largest number of crashes that one task caused.
    pub fn most_crashes(&self) -> usize {
        let mut by_task: BTreeMap<TaskKey, usize> = BTreeMap::new();
        for record in self.records().filter(|r| has_crashed(r)) {
            *by_task.entry(record.key.task).or_default() += 1;
        }
        by_task.into_values().max().unwrap_or(0)
    }

    /// Describes runs of cancelled batches that lasted longer than `bound` after the cancellation,
    /// or after their start if that was later.
    pub fn unasked(&self, bound: Duration) -> Vec<String> {
        let mut unasked = Vec::new();
        for record in self.records() {
            let caller = self.callers.get(&record.key.task.batch);
            let Some(cancelled) = caller.and_then(|c| c.cancelled) else {
                continue;
            };
            let to = record.to.unwrap_or(Now::MAX);
            if to > cancelled.max(record.from) + bound {
                unasked.push(format!("cancelled at {cancelled:?}: {record:?}"));
            }
        }
        unasked
    }

    /// Describes runs that began later than `bound` after their batch's cancel was acknowledged. Orders
    /// that a target carried out late don't count.
    pub fn started_after_cancel(&self, bound: Duration) -> Vec<String> {
        let is_late = |record: &&RunRecord| {
            let caller = self.callers.get(&record.key.task.batch);
            let cancelled = caller.and_then(|c| c.cancelled);
            cancelled.is_some_and(|at| record.from > at + bound && !record.is_late)
        };
        let describe = |record: &RunRecord| {
            let caller = &self.callers[&record.key.task.batch];
            format!("cancelled at {:?}: {record:?}", caller.cancelled)
        };
        self.records().filter(is_late).map(describe).collect()
    }

    /// Counts runs that began on a leaving target after the grace period.
    pub fn starts_after_leaving(&self, target: usize, left_at: Now) -> usize {
        let records = &self.targets[target].target.records;
        let late = records.iter().filter(|r| r.from > left_at + LEAVING_GRACE);
        late.count()
    }

    /// Share of the batches sent from `from` to `to` that succeeded.
    pub fn served(&self, from: Now, to: Now) -> f64 {
        let sent = self
            .callers
            .values()
            .filter(|c| c.sent >= from && c.sent < to);
        let (mut all, mut succeeded) = (0, 0);
        for caller in sent {
            all += 1;
            succeeded += i32::from(caller.replies.iter().any(|(_, r)| *r == Reply::Succeeded));
        }
        f64::from(succeeded) / f64::from(all.max(1))
    }

    /// Runs that have not ended.
    pub fn still_running(&self) -> Vec<RunKey> {
        let open = self.records().filter(|r| r.to.is_none());
        open.map(|r| r.key).collect()
    }
}

/// Whether two runs overlap at a time when neither VM is suspended.
fn overlap(first: &RunRecord, second: &RunRecord) -> bool {
    let mut from = first.from.max(second.from);
    let to = |record: &RunRecord| record.to.unwrap_or(Now::MAX);
    let to = to(first).min(to(second));
    let mut suspensions: Vec<(Now, Now)> =
        [&first.suspensions[..], &second.suspensions[..]].concat();
    suspensions.sort_unstable();
    for (begin, end) in suspensions {
        if begin <= from {
            from = from.max(end);
        }
    }
    from < to
}

fn has_crashed(record: &RunRecord) -> bool {
    record.crashes && record.to.is_some() && record.end.is_none()
}

/// Checks that a task is started at most twice more after it crashed three targets.
fn check_crash_limit(task: TaskKey, records: &[&RunRecord], violations: &mut Vec<String>) {
    let mut crashed: Vec<Now> = records
        .iter()
        .filter(|r| has_crashed(r))
        .filter_map(|r| r.to)
        .collect();
    crashed.sort_unstable();
    let Some(third) = crashed.get(2) else {
        return;
    };
    let later = records.iter().filter(|r| r.from > *third);
    if later.count() >= 3 {
        violations.push(format!(
            "{task} was started again after three crashes: {records:?}"
        ));
    }
}

fn check_caller(id: BatchId, caller: &Caller, runs: &[&RunRecord], violations: &mut Vec<String>) {
    for request in &caller.requests {
        let replies = caller.replies.iter().filter(|(r, _)| r == request);
        if replies.count() > 1 {
            violations.push(format!("{id:016x}: two replies to one request"));
        }
    }
    let succeeded = caller.replies.iter().any(|(_, r)| *r == Reply::Succeeded);
    if succeeded {
        let done = |index: u32| {
            let is_done = |r: &&&RunRecord| {
                u32::from(r.key.task.index) == index && r.end == Some(RunEnd::Done)
            };
            runs.iter().find(is_done).is_some()
        };
        if !(0..caller.tasks).all(done) {
            violations.push(format!("{id:016x}: succeeded with a task not done"));
        }
    }
    let is_refused = |r: &Reply| matches!(r, Reply::Refused { .. });
    let all_refused = caller.replies.len() == caller.requests.len()
        && caller.replies.iter().all(|(_, r)| is_refused(r));
    if all_refused && !runs.is_empty() {
        violations.push(format!("{id:016x}: refused, yet it ran"));
    }
}
