//! What the programs need of the platform, as traits. The adapter in `platform/` and the
//! stand-ins of the tests implement them.

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

/// Why the platform gave nothing usable.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum PortError {
    /// No answer, or one that says that nothing was done.
    #[snafu(display("{what}: {cause}"))]
    NoAnswer {
        /// The call.
        what: &'static str,
        /// What happened.
        cause: String,
    },
    /// An answer that can't be read.
    #[snafu(display("{what}: unreadable: {cause}"))]
    Unreadable {
        /// The call.
        what: &'static str,
        /// Where and why.
        cause: String,
    },
}

/// What calls to the platform come to.
pub type PortResult<T> = Result<T, PortError>;

/// The target beside an agent. Calls are answered within the limit that they name.
pub trait TargetPort {
    /// Orders a start.
    fn start(&self, call: StartCall) -> LocalBoxFuture<'static, StartAnswer>;

    /// Orders a stop. Whether it came to pass, the target's lists tell.
    fn stop(
        &self,
        key: RunKey,
        token: FencingToken,
        life: Option<TargetName>,
    ) -> LocalBoxFuture<'static, ()>;

    /// Renews the lease of all that runs and reads the lists.
    fn renew(
        &self,
        renewal: Renewal,
        life: Option<TargetName>,
    ) -> LocalBoxFuture<'static, RenewalAnswer>;
}

/// What a read of the operators' records shows.
#[derive(Debug, Clone, PartialEq)]
pub struct OperatorNews {
    /// The newest configuration among what was read.
    pub config: Option<QueueTable>,
    /// What it says of evacuations.
    pub evacuations: EvacuationRecords,
    /// Records that can't be read. They are passed over: one of them must not hide the others.
    pub unreadable: Vec<PortError>,
}

/// The operators' records, as the platform's store holds them.
pub trait OperatorFeed {
    /// Waits for the next records; the first call gives what is in force. Without any for a while
    /// the answer says just up to which place nothing is new.
    fn next(&self) -> LocalBoxFuture<'_, PortResult<OperatorNews>>;

    /// What is in force now. Does not change what [`Self::next`] gives.
    fn newest(&self) -> LocalBoxFuture<'_, PortResult<OperatorNews>>;
}

/// Where entries leave their addresses for those whose seeds are all stale.
pub trait EntryRegistry {
    /// Leaves an entry's address under its name.
    fn announce(&self, name: &str, address: SocketAddr) -> LocalBoxFuture<'_, PortResult<()>>;

    /// All addresses left.
    fn list(&self) -> LocalBoxFuture<'_, PortResult<Vec<SocketAddr>>>;
}
