//! What the programs need of the platform, as traits. The adapter in `platform/` and the
//! stand-ins of the tests implement them.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::future::LocalBoxFuture;
use snafu::Snafu;

use crate::queue::QueueTable;
use crate::run::RunKey;
use crate::run_book::FencingToken;
use crate::run_event::{RenewalAnswer, StartAnswer, StartCall};
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
        life: Option<Arc<str>>,
    ) -> LocalBoxFuture<'static, ()>;

    /// Renews the lease of all that runs and reads the lists.
    fn renew(
        &self,
        renewal: Renewal,
        life: Option<Arc<str>>,
    ) -> LocalBoxFuture<'static, RenewalAnswer>;
}

/// The operators' configuration, as the platform's store holds it.
pub trait ConfigFeed {
    /// Waits for the next configuration; the first call gives the one in force. An `Ok(None)`
    /// says that there was nothing new for a while.
    fn next(&self) -> LocalBoxFuture<'_, PortResult<Option<QueueTable>>>;
}

/// Where entries leave their addresses for those whose seeds are all stale.
pub trait EntryRegistry {
    /// Leaves an entry's address under its name.
    fn announce(&self, name: &str, address: SocketAddr) -> LocalBoxFuture<'_, PortResult<()>>;

    /// All addresses left.
    fn list(&self) -> LocalBoxFuture<'_, PortResult<Vec<SocketAddr>>>;
}
