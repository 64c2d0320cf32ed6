//! In-memory implementation of the platform's services, with fault injection.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::future::{FutureExt as _, LocalBoxFuture};

use crate::config_chain::{LogBatch, LogOffset, LogRecord, StoredRecord};
use crate::platform::{LogService, NoAnswerSnafu, PlatformResult, VmListService};
use crate::vm_list::VmRecord;

/// Maximum records returned by one read.
const MAX_READ_RECORDS: usize = 500;

/// Injected faults of the log.
#[derive(Debug, Clone, Default)]
pub struct LogFaults {
    /// Reads and appends fail without effect.
    pub down: bool,
    /// Appends take effect, but their responses are lost.
    pub lose_replies: bool,
    /// Delay before each request is processed.
    pub delay: Duration,
}

#[derive(Debug, Default)]
struct LogState {
    records: VecDeque<StoredRecord>,
    next: LogOffset,
    retention: Option<usize>,
    faults: LogFaults,
    appends: u64,
}

/// An append-only log with limited retention. Clones share their state.
#[derive(Debug, Clone, Default)]
pub struct MemoryLog {
    state: Arc<Mutex<LogState>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl MemoryLog {
    /// Creates a log that retains only the newest `records` records.
    pub fn with_retention(records: usize) -> Self {
        let log = Self::default();
        lock(&log.state).retention = Some(records);
        log
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: LogFaults) {
        lock(&self.state).faults = faults;
    }

    /// Returns the injected faults.
    pub fn faults(&self) -> LogFaults {
        lock(&self.state).faults.clone()
    }

    /// Returns the number of appends that took effect.
    pub fn appends(&self) -> u64 {
        lock(&self.state).appends
    }

    /// Returns the offset of the next append.
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

    /// Reads without the injected delay.
    pub fn read_now(&self, from: LogOffset) -> PlatformResult<LogBatch> {
        let state = lock(&self.state);
        if state.faults.down {
            return no_answer("down");
        }
        let oldest_offset = state.records.front().map_or(state.next, |r| r.offset);
        let from = from.max(oldest_offset);
        let records: Vec<StoredRecord> = state
            .records
            .iter()
            .filter(|r| r.offset >= from)
            .take(MAX_READ_RECORDS)
            .cloned()
            .collect();
        Ok(LogBatch {
            from,
            oldest: oldest_offset,
            next: records
                .last()
                .map_or(state.next.max(from), |r| r.offset + 1),
            records,
            end: state.next,
        })
    }

    /// Appends without the injected delay.
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
        if let Some(retention) = state.retention
            && state.records.len() > retention
        {
            state.records.pop_front();
        }
        if state.faults.lose_replies {
            return no_answer("reply lost");
        }
        Ok(offset)
    }

    async fn inject_delay(&self) {
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
            self.inject_delay().await;
            self.read_now(from)
        }
        .boxed_local()
    }

    fn append(&self, record: LogRecord) -> LocalBoxFuture<'_, PlatformResult<LogOffset>> {
        async move {
            self.inject_delay().await;
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

/// A VM list that changes only on request. Clones share their state.
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

    /// Sets whether reads fail.
    pub fn set_down(&self, down: bool) {
        lock(&self.state).down = down;
    }

    /// Returns the current list.
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
