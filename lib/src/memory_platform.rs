//! The platform in memory, with the faults that the real one has.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::future::{FutureExt as _, LocalBoxFuture};

use crate::config_chain::{LogBatch, LogOffset, LogRecord, StoredRecord};
use crate::platform::{LogService, NoAnswerSnafu, PlatformResult, VmListService};
use crate::vm_list::VmRecord;

/// Most records that one read returns.
const MOST_READ: usize = 500;

/// What is wrong with the log now.
#[derive(Debug, Clone, Default)]
pub struct LogFaults {
    /// It does not answer and takes nothing in.
    pub down: bool,
    /// Appends take effect, but their answers get lost.
    pub lose_replies: bool,
    /// Every answer comes so late.
    pub delay: Duration,
}

#[derive(Debug, Default)]
struct LogState {
    records: VecDeque<StoredRecord>,
    next: LogOffset,
    kept: Option<usize>,
    faults: LogFaults,
    appends: u64,
}

/// An append-only log with limited retention. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct MemoryLog {
    state: Arc<Mutex<LogState>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl MemoryLog {
    /// A log that keeps so many records.
    pub fn keeping(records: usize) -> Self {
        let log = Self::default();
        lock(&log.state).kept = Some(records);
        log
    }

    /// Sets what is wrong from now on.
    pub fn set_faults(&self, faults: LogFaults) {
        lock(&self.state).faults = faults;
    }

    /// What is wrong now.
    pub fn faults(&self) -> LogFaults {
        lock(&self.state).faults.clone()
    }

    /// Appends that took effect.
    pub fn appends(&self) -> u64 {
        lock(&self.state).appends
    }

    /// Offset that the next append gets.
    pub fn end(&self) -> LogOffset {
        lock(&self.state).next
    }

    /// Drops the records below an offset.
    pub fn expire_below(&self, offset: LogOffset) {
        let mut state = lock(&self.state);
        while state.records.front().is_some_and(|r| r.offset < offset) {
            state.records.pop_front();
        }
    }

    /// Reads at once.
    pub fn read_now(&self, from: LogOffset) -> PlatformResult<LogBatch> {
        let state = lock(&self.state);
        if state.faults.down {
            return no_answer("down");
        }
        let first = state.records.front().map_or(state.next, |r| r.offset);
        let from = from.max(first);
        let records: Vec<StoredRecord> = state
            .records
            .iter()
            .filter(|r| r.offset >= from)
            .take(MOST_READ)
            .cloned()
            .collect();
        Ok(LogBatch {
            from,
            oldest: first,
            next: records
                .last()
                .map_or(state.next.max(from), |r| r.offset + 1),
            records,
            end: state.next,
        })
    }

    /// Appends at once.
    pub fn append_now(&self, record: LogRecord) -> PlatformResult<LogOffset> {
        let mut state = lock(&self.state);
        if state.faults.down {
            return no_answer("down");
        }
        let offset = state.next;
        state.next += 1;
        state.appends += 1;
        let record = Some(record);
        state.records.push_back(StoredRecord { offset, record });
        if let Some(kept) = state.kept
            && state.records.len() > kept
        {
            state.records.pop_front();
        }
        if state.faults.lose_replies {
            return no_answer("reply lost");
        }
        Ok(offset)
    }

    async fn pause(&self) {
        let delay = self.faults().delay;
        if !delay.is_zero() {
            ntex::time::sleep(delay).await;
        }
    }
}

fn no_answer<T>(cause: &str) -> PlatformResult<T> {
    NoAnswerSnafu {
        service: "log service",
        cause,
    }
    .fail()
}

impl LogService for MemoryLog {
    fn read(&self, from: LogOffset) -> LocalBoxFuture<'_, PlatformResult<LogBatch>> {
        async move {
            self.pause().await;
            self.read_now(from)
        }
        .boxed_local()
    }

    fn append(&self, record: LogRecord) -> LocalBoxFuture<'_, PlatformResult<LogOffset>> {
        async move {
            self.pause().await;
            self.append_now(record)
        }
        .boxed_local()
    }
}

#[derive(Debug, Default)]
struct ListState {
    vms: Vec<VmRecord>,
    down: bool,
}

/// A list of VMs that changes only when told. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct MemoryVmList {
    state: Arc<Mutex<ListState>>,
}

impl MemoryVmList {
    /// Adds or replaces a VM.
    pub fn put(&self, vm: VmRecord) {
        let mut state = lock(&self.state);
        state.vms.retain(|v| v.name != vm.name);
        state.vms.push(vm);
    }

    /// Removes a VM.
    pub fn remove(&self, name: &str) {
        lock(&self.state).vms.retain(|v| &*v.name != name);
    }

    /// Sets whether it answers.
    pub fn set_down(&self, down: bool) {
        lock(&self.state).down = down;
    }

    /// The list as it is.
    pub fn list_now(&self) -> PlatformResult<Vec<VmRecord>> {
        let state = lock(&self.state);
        if state.down {
            return NoAnswerSnafu {
                service: "VM list",
                cause: "down",
            }
            .fail();
        }
        Ok(state.vms.clone())
    }
}

impl VmListService for MemoryVmList {
    fn list(&self) -> LocalBoxFuture<'_, PlatformResult<Vec<VmRecord>>> {
        std::future::ready(self.list_now()).boxed_local()
    }
}
