//! Identifiers and names: type aliases, and the job id that callers see.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt as _, Snafu};

/// Identifies one incarnation of a process. Chosen at random at start, never reused.
pub type Incarnation = u64;
/// Identifies a connection between two processes; each side assigns its own number.
pub type SessionId = u64;
/// Sequence number of a dispatch from one entry incarnation to one agent incarnation.
pub type DispatchSeq = u64;
/// Index of a task in its job.
pub type TaskIndex = u16;
/// Number of a job within one entry incarnation.
pub type JobSeq = u64;
/// Identifies a caller's request; assigned by the driver that answers it.
pub type RequestId = u64;
/// Name of a team, as written in the configuration.
pub type TeamName = Arc<str>;
/// Name of a VM's process, as written in its settings.
pub type NodeName = Arc<str>;
/// Name of a data hall.
pub type HallName = Arc<str>;
/// Monotonic time since an arbitrary origin; comparable only within one process.
pub type Now = Duration;

/// Identifies a job across the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobId {
    /// Incarnation of the entry that admitted the job.
    pub entry: Incarnation,
    /// Number of the job within that incarnation.
    pub seq: JobSeq,
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{}", self.entry, self.seq)
    }
}

/// The text is not a job id.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("`{text}` is not a job id: expected 16 hexadecimal digits, `-`, a number"))]
pub struct ParseJobIdError {
    text: String,
}

impl FromStr for JobId {
    type Err = ParseJobIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (entry, seq) = text.split_once('-').context(ParseJobIdSnafu { text })?;
        let entry = u64::from_str_radix(entry, 16).ok();
        let seq = seq.parse().ok();
        Ok(Self {
            entry: entry.context(ParseJobIdSnafu { text })?,
            seq: seq.context(ParseJobIdSnafu { text })?,
        })
    }
}
