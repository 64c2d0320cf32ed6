//! The border to the platform and to targets: traits, implemented over HTTP and in memory.

use futures_util::future::LocalBoxFuture;
use snafu::Snafu;

use crate::agent::{Renewal, RunEnd, RunId, Start};
use crate::config_chain::{LogBatch, LogOffset, LogRecord};
use crate::vm_list::VmRecord;

/// The platform did not do what was asked, as far as is known.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(visibility(pub(crate)))]
pub enum PlatformError {
    /// No answer, or not in time. What was asked may have taken effect.
    #[snafu(display("{service} gave no answer: {cause}"))]
    NoAnswer {
        /// Name of the service.
        service: &'static str,
        /// What happened instead.
        cause: String,
    },
    /// An answer that can't be read.
    #[snafu(display("{service} gave an answer that can't be read: {cause}"))]
    Unreadable {
        /// Name of the service.
        service: &'static str,
        /// What is wrong with it.
        cause: String,
    },
}

/// What a call to the platform comes to.
pub type PlatformResult<T> = Result<T, PlatformError>;

/// The append-only log.
pub trait LogService {
    /// Reads records from an offset on, or from the oldest that is kept.
    fn read(&self, from: LogOffset) -> LocalBoxFuture<'_, PlatformResult<LogBatch>>;

    /// Appends a record. An error does not mean that it was not appended.
    fn append(&self, record: LogRecord) -> LocalBoxFuture<'_, PlatformResult<LogOffset>>;
}

/// The lagging list of VMs.
pub trait VmListService {
    /// The VMs that are live or leaving.
    fn list(&self) -> LocalBoxFuture<'_, PlatformResult<Vec<VmRecord>>>;
}

/// The target beside an agent.
pub trait TargetService {
    /// Runs a task to its end. [`RunEnd::NotStarted`] only on proof.
    fn run(&self, start: Start) -> LocalBoxFuture<'_, RunEnd>;

    /// Renews leases.
    fn renew(&self, renewal: Renewal) -> LocalBoxFuture<'_, ()>;

    /// Stops a run; its end is reported by [`Self::run`].
    fn stop(&self, run: RunId) -> LocalBoxFuture<'_, ()>;
}
