//! Traits for the platform's services. The adapter in `platform/` and the tests implement them.

use std::net::SocketAddr;

use futures_util::future::LocalBoxFuture;
use snafu::Snafu;

use crate::evacuations::EvacuationRecords;
use crate::queue::QueueTable;
use crate::run::RunKey;
use crate::run_event::{RenewalAnswer, StartAnswer, StartCall};
use crate::run_table::FencingToken;
use crate::target_incarnation::TargetName;
use crate::target_lease::Renewal;

/// Error of a call to the platform.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum PortError {
    /// No answer, or an answer that the call was not carried out.
    #[snafu(display("{operation}: {cause}"))]
    NoAnswer {
        /// The call.
        operation: &'static str,
        /// What happened.
        cause: String,
    },
    /// An answer that can't be parsed.
    #[snafu(display("{operation}: unreadable: {cause}"))]
    Unreadable {
        /// The call.
        operation: &'static str,
        /// Position and reason.
        cause: String,
    },
}

/// Result of a call to the platform.
pub type PortResult<T> = Result<T, PortError>;

/// Calls to the target beside an agent. Each completes within the limit that it names.
pub trait TargetPort {
    /// Starts a run. Only the incarnation that the call states may receive it: one with the same name
    /// has another clock and may lack the capacity, and would grant a lease up to the longest one.
    fn start(&self, call: StartCall) -> LocalBoxFuture<'static, StartAnswer>;

    /// Requests a stop. The target's lists tell whether the run has ended.
    fn stop(
        &self,
        key: RunKey,
        token: FencingToken,
        target_name: Option<TargetName>,
    ) -> LocalBoxFuture<'static, ()>;

    /// Renews the lease of all runs and reads the lists. Only the incarnation that the renewal states
    /// may renew; if another one is found, its lists are returned and nothing is renewed.
    fn renew(
        &self,
        renewal: Renewal,
        target_name: Option<TargetName>,
    ) -> LocalBoxFuture<'static, RenewalAnswer>;
}

/// Contents of a read of the operators' records.
#[derive(Debug, Clone, PartialEq)]
pub struct OperatorRecords {
    /// The newest configuration among the records.
    pub config: Option<QueueTable>,
    /// The evacuation records.
    pub evacuations: EvacuationRecords,
    /// Errors of records that can't be parsed. Such records are skipped, so they don't hide others.
    pub unreadable: Vec<PortError>,
}

/// Access to the operators' records in the platform's store.
pub trait OperatorFeed {
    /// Waits for the next records; the first call returns those in force. If none arrive for a
    /// while, the answer holds only the store position up to which there is nothing new.
    fn next(&self) -> LocalBoxFuture<'_, PortResult<OperatorRecords>>;

    /// Reads the records in force now. Does not affect what [`Self::next`] returns.
    fn newest(&self) -> LocalBoxFuture<'_, PortResult<OperatorRecords>>;
}

/// Registry of the entries' addresses, for processes whose seed addresses are all stale.
pub trait EntryRegistry {
    /// Stores an entry's address under its name.
    fn announce(&self, name: &str, address: SocketAddr) -> LocalBoxFuture<'_, PortResult<()>>;

    /// Returns all stored addresses.
    fn list(&self) -> LocalBoxFuture<'_, PortResult<Vec<SocketAddr>>>;
}
