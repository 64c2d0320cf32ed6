//! Interfaces to the platform and to targets, implemented over HTTP and in memory.

use futures_util::future::LocalBoxFuture;
use snafu::Snafu;

use crate::agent::{Renewal, RunEnd, RunId, Start};
use crate::config_chain::{LogBatch, LogOffset, LogRecord};
use crate::vm_list::VmRecord;

/// A request to the platform failed, or its outcome is unknown.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(visibility(pub(crate)))]
pub enum PlatformError {
    /// No usable response in time. The request may have taken effect.
    #[snafu(display("request to {service} failed: {cause}"))]
    NoAnswer {
        /// Name of the service.
        service: &'static str,
        cause: String,
    },
    /// The response could not be parsed.
    #[snafu(display("invalid response from {service}: {cause}"))]
    Unreadable {
        /// Name of the service.
        service: &'static str,
        /// Description of the parse error.
        cause: String,
    },
}

/// Result of a request to the platform.
pub type PlatformResult<T> = Result<T, PlatformError>;

/// The platform's append-only log.
pub trait LogService {
    /// Reads records from an offset, or from the oldest retained record if that is later.
    fn read(&self, from: LogOffset) -> LocalBoxFuture<'_, PlatformResult<LogBatch>>;

    /// Appends a record. The record may have been appended even if this returns an error.
    fn append(&self, record: LogRecord) -> LocalBoxFuture<'_, PlatformResult<LogOffset>>;
}

/// The platform's VM list, which may lag behind the actual state.
pub trait VmListService {
    /// Returns the VMs that are live or leaving.
    fn list(&self) -> LocalBoxFuture<'_, PlatformResult<Vec<VmRecord>>>;
}

/// The target beside an agent.
pub trait TargetService {
    /// Runs a task until it ends. Returns [`RunEnd::NotStarted`] only if the task provably did not
    /// start.
    fn run(&self, start: Start) -> LocalBoxFuture<'_, RunEnd>;

    /// Renews the leases of runs.
    fn renew(&self, renewal: Renewal) -> LocalBoxFuture<'_, ()>;

    /// Stops a run. [`Self::run`] then returns how it ended.
    fn stop(&self, run: RunId) -> LocalBoxFuture<'_, ()>;
}
