//! Reads the configuration log and the VM list. Rewrites the configuration in force, the head, to
//! the log before retention drops it.

use std::time::Duration;

use rand::Rng as _;

use crate::config_chain::{ChangeOutcome, ConfigState, LogBatch, LogRecord};
use crate::entry::{EntryAction, EntryCore, Reply};
use crate::entry_targets::ABSENCE_TIMEOUT;
use crate::events::EventCode;
use crate::ids::{Incarnation, Now, RequestId};
use crate::status::{EntryStatus, TargetState, TargetStatus};
use crate::target_table::Target;
use crate::vm_list::{VmRecord, VmRole, VmState};

const LOG_READ_EVERY: Duration = Duration::from_millis(400);
const LIST_READ_EVERY: Duration = Duration::from_secs(1);
/// Maximum backoff between reads while the platform does not answer.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// A read without an answer counts as lost after this time.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// How long to wait for a peer or a snapshot to replace log records that expired unread.
const GAP_TIMEOUT: Duration = Duration::from_secs(5);

/// State of a resource that is polled.
#[derive(Debug, Default)]
pub struct Poll {
    asked_at: Option<Now>,
    next_at: Now,
    failures: u32,
}

impl Poll {
    fn is_due(&self, now: Now) -> bool {
        match self.asked_at {
            Some(asked) => now.saturating_sub(asked) >= ANSWER_TIMEOUT,
            None => now >= self.next_at,
        }
    }

    /// Schedules the next read. Returns true if the resource has stopped or resumed answering.
    fn answered(&mut self, succeeded: bool, now: Now, every: Duration, jitter: f64) -> bool {
        let changed = succeeded == (self.failures > 0);
        self.failures = if succeeded { 0 } else { self.failures + 1 };
        let backoff = every * 2u32.saturating_pow(self.failures.min(6));
        let wait = if succeeded {
            every
        } else {
            backoff.min(MAX_BACKOFF)
        };
        self.asked_at = None;
        self.next_at = now + wait.mul_f64(jitter);
        changed && (!succeeded || self.failures == 0)
    }
}

/// The entry's view of the platform.
#[derive(Debug, Default)]
pub struct PlatformState {
    /// The configuration log.
    log: Poll,
    /// The VM list.
    list: Poll,
    /// Incarnations whose VM has been on the list.
    listed: std::collections::BTreeSet<Incarnation>,
    /// Names of targets that were on an earlier list but not on the newest.
    absent: Vec<std::sync::Arc<str>>,
    was_behind: bool,
}

impl EntryCore {
    /// Starts the reads that are due, keeps the head in the configuration log and ends absent
    /// incarnations.
    pub(crate) fn tick_platform(&mut self) {
        if self.platform.log.is_due(self.now) {
            self.platform.log.asked_at = Some(self.now);
            self.actions
                .push(EntryAction::ReadLog(self.config.read_from()));
        }
        if self.platform.list.is_due(self.now) {
            self.platform.list.asked_at = Some(self.now);
            self.actions.push(EntryAction::ReadVmList);
        }
        self.config.close_old_gap(self.now, GAP_TIMEOUT);
        self.keep_head_in_log();
        self.end_absent_incarnations();
        self.log_if_behind();
    }

    fn jitter(&mut self) -> f64 {
        self.rng.random_range(0.8..1.2)
    }

    /// Handles the result of a read of the configuration log; `None` if it failed.
    pub(crate) fn log_read(&mut self, batch: Option<LogBatch>) {
        let jitter = self.jitter();
        let succeeded = batch.is_some();
        let changed = self
            .platform
            .log
            .answered(succeeded, self.now, LOG_READ_EVERY, jitter);
        if changed {
            let code = if succeeded {
                EventCode::LogUp
            } else {
                EventCode::LogDown
            };
            self.log(code, "configuration log");
        }
        let Some(batch) = batch else {
            return;
        };
        let before = self.config.stamp();
        let had = self.config.document().is_some();
        let more = batch.next < batch.end;
        for seen in self.config.read(&batch, self.now) {
            if let ChangeOutcome::LostRace { head } = seen.outcome {
                let detail = format!("to version {}", head.version);
                self.log(EventCode::ConfigLost, detail);
            }
        }
        if self.config.has_gap() {
            self.log(EventCode::ConfigGap, format!("kept from {}", batch.from));
        }
        if self.config.stamp() != before || !had && self.config.document().is_some() {
            self.config_changed();
        }
        if more {
            self.platform.log.next_at = self.now;
        }
    }

    /// Applies a changed configuration and announces it to agents and peers.
    pub(crate) fn config_changed(&mut self) {
        let Some(document) = self.config.document().cloned() else {
            return;
        };
        let teams = document.teams.iter();
        self.keys = teams
            .map(|(name, team)| (team.key_sha256.clone(), name.clone()))
            .collect();
        let mode = self.options.placement.unwrap_or(document.placement);
        let stamp = self.config.stamp();
        self.log(
            EventCode::ConfigInForce,
            format!("version {}", stamp.version),
        );
        if mode != self.placement.mode() {
            self.placement = mode.build();
            self.close_all_agents();
        }
        for id in self.targets.sorted_ids() {
            self.send_agent_config(id);
        }
        self.report_to_all();
    }

    /// Closes all agents' sessions. Agents learn the placement mode only from the welcome, so a
    /// new mode needs new sessions.
    fn close_all_agents(&mut self) {
        for session in self.agents.sessions() {
            self.actions.push(EntryAction::CloseAgent(session));
            self.agent_closed(session);
        }
    }

    /// Writes the head to the configuration log again before retention drops it, unless another
    /// entry has done so.
    fn keep_head_in_log(&mut self) {
        let jitter = self.jitter();
        let every = self.options.snapshot_every.mul_f64(jitter);
        if !self.config.is_current() || !self.config.needs_snapshot(self.now, every) {
            return;
        }
        let Some(state) = self.config.state().cloned() else {
            return;
        };
        self.send_snapshot(state);
    }

    fn send_snapshot(&mut self, state: ConfigState) {
        let detail = format!("version {}", state.stamp.version);
        self.log(EventCode::SnapshotSent, detail);
        self.actions
            .push(EntryAction::AppendLog(LogRecord::Snapshot { state }));
        self.config.snapshot_sent(self.now);
    }

    fn log_if_behind(&mut self) {
        let behind = self.config.newest_known().version > self.config.stamp().version;
        if behind && !self.platform.was_behind {
            let newest = self.config.newest_known().version;
            self.log(EventCode::ConfigBehind, format!("version {newest}"));
        }
        self.platform.was_behind = behind;
    }

    /// Handles the VM list. It may add peers and retire targets; a failed read ends no incarnation.
    pub(crate) fn vm_list(&mut self, list: Option<Vec<VmRecord>>) {
        let jitter = self.jitter();
        let succeeded = list.is_some();
        let changed = self
            .platform
            .list
            .answered(succeeded, self.now, LIST_READ_EVERY, jitter);
        if changed {
            let code = if succeeded {
                EventCode::ListUp
            } else {
                EventCode::ListDown
            };
            self.log(code, "VM list");
        }
        let Some(list) = list else {
            self.platform.absent.clear();
            return;
        };
        for vm in &list {
            self.apply_vm_record(vm);
        }
        self.record_absent(&list);
    }

    fn apply_vm_record(&mut self, vm: &VmRecord) {
        match vm.role {
            VmRole::Entry => {
                let own = vm.name == self.options.name;
                if let (Some(address), VmState::Live, false) = (&vm.agent_address, vm.state, own) {
                    self.actions.push(EntryAction::KnowPeer(address.clone()));
                }
            }
            VmRole::Target => {
                for id in self.incarnations_of(&vm.name) {
                    self.platform.listed.insert(id);
                    if vm.state == VmState::Leaving {
                        self.target_leaves(id);
                    }
                }
            }
            VmRole::Unknown => {}
        }
    }

    /// Records the targets that were on an earlier list and are not on this one.
    fn record_absent(&mut self, list: &[VmRecord]) {
        let on_list: std::collections::BTreeSet<_> = list.iter().map(|vm| &vm.name).collect();
        let absent = self
            .targets
            .iter()
            .filter(|(id, t)| self.platform.listed.contains(id) && !on_list.contains(&t.name));
        self.platform.absent = absent.map(|(_, t)| t.name.clone()).collect();
    }

    /// Ends incarnations that left the list and have had no session for [`ABSENCE_TIMEOUT`].
    fn end_absent_incarnations(&mut self) {
        let absent = std::mem::take(&mut self.platform.absent);
        for name in &absent {
            for id in self.incarnations_of(name) {
                let lost_at = self.targets.get(id).and_then(|t| t.lost_at);
                if lost_at.is_some_and(|at| self.now.saturating_sub(at) >= ABSENCE_TIMEOUT) {
                    self.platform.listed.remove(&id);
                    self.end_incarnation(id);
                }
            }
        }
        self.platform.absent = absent;
    }

    /// Replies to an operator with the status.
    pub(crate) fn report_status(&mut self, request: RequestId) {
        let status = self.status();
        self.reply(request, Reply::Status(Box::new(status)));
    }

    /// State of this entry and its targets, for operators.
    pub fn status(&self) -> EntryStatus {
        let mut targets: Vec<TargetStatus> =
            self.targets.iter().map(|(_, t)| target_status(t)).collect();
        targets.sort_by(|a, b| a.name.cmp(&b.name));
        EntryStatus {
            name: self.options.name.clone(),
            incarnation: format!("{:016x}", self.options.incarnation),
            draining: self.draining_since.is_some(),
            config: self.config.stamp(),
            newest_config: self.config.newest_known(),
            config_current: self.config.is_current(),
            placement: self.placement.mode(),
            jobs: self.jobs.len() as u32,
            waiting_tasks: self.jobs.waiting().tasks,
            peers: self.peers.states().map(|l| l.name.clone()).collect(),
            targets,
            counters: self.counters.clone(),
        }
    }
}

fn target_status(target: &Target) -> TargetStatus {
    let state = if target.leaving {
        TargetState::Leaving
    } else if target.session.is_none() {
        TargetState::Unreachable
    } else if target.allowance < target.capacity.slots {
        TargetState::SetAside
    } else {
        TargetState::Live
    };
    TargetStatus {
        name: target.name.clone(),
        hall: target.hall.clone(),
        state,
        slots: target.capacity.slots,
        credits: target.credits(),
        in_flight: target.outstanding.len() as u32,
        slowness: target.slowness,
    }
}
