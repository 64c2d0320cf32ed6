//! Keys of tasks and of their runs on targets, and the outcomes of runs.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt as _, Snafu};

/// A batch's id, chosen by its caller: 16 hexadecimal digits.
pub type BatchId = u64;
/// Number of a run of a task. A target accepts only higher numbers than it has seen for the task.
pub type RunNumber = u32;

/// Identifies a task of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "(u64, u32, u16, u16)", from = "(u64, u32, u16, u16)")]
pub struct TaskKey {
    pub batch: BatchId,
    /// Repetition of the batch, from 0.
    pub time: u32,
    /// Position of the step in the batch.
    pub step: u16,
    /// Position of the task in the step.
    pub index: u16,
}

impl From<TaskKey> for (u64, u32, u16, u16) {
    fn from(key: TaskKey) -> Self {
        (key.batch, key.time, key.step, key.index)
    }
}

impl From<(u64, u32, u16, u16)> for TaskKey {
    fn from((batch, time, step, index): (u64, u32, u16, u16)) -> Self {
        Self {
            batch,
            time,
            step,
            index,
        }
    }
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            batch,
            time,
            step,
            index,
        } = self;
        write!(f, "{batch:016x}.{time}.{step}.{index}")
    }
}

/// Error for a text that is not a task key.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("`{text}` is not a task key: expected batch.time.step.index"))]
pub struct ParseTaskKeyError {
    text: String,
}

impl FromStr for TaskKey {
    type Err = ParseTaskKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('.');
        let batch = parts.next().and_then(parse_batch_id);
        let time = parts.next().and_then(|p| p.parse().ok());
        let step = parts.next().and_then(|p| p.parse().ok());
        let index = parts.next().and_then(|p| p.parse().ok());
        Ok(Self {
            batch: batch.context(ParseTaskKeySnafu { text })?,
            time: time.context(ParseTaskKeySnafu { text })?,
            step: step.context(ParseTaskKeySnafu { text })?,
            index: index.context(ParseTaskKeySnafu { text })?,
        })
    }
}

/// Parses a batch's id; none if the text is not 16 lower-case hexadecimal digits.
pub fn parse_batch_id(text: &str) -> Option<BatchId> {
    let is_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    if text.len() != 16 || !text.bytes().all(is_hex) {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}

/// Identifies a run of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "(TaskKey, RunNumber)", from = "(TaskKey, RunNumber)")]
pub struct RunKey {
    pub task: TaskKey,
    /// Number of the run.
    pub run: RunNumber,
}

impl From<RunKey> for (TaskKey, RunNumber) {
    fn from(key: RunKey) -> Self {
        (key.task, key.run)
    }
}

impl From<(TaskKey, RunNumber)> for RunKey {
    fn from((task, run): (TaskKey, RunNumber)) -> Self {
        Self { task, run }
    }
}

impl fmt::Display for RunKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.run)
    }
}

/// How a started run ended. Each variant is proof that nothing of it runs any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// The target reported success.
    Done,
    /// The target reported failure, caused by the task or by the target.
    Failed,
    /// The agent stopped it.
    Stopped,
    /// Its lease lapsed, or it belonged to a group of runs of which another ended.
    Lapsed,
    /// No end was reported. The target's incarnation is over, its lease must have lapsed or it does
    /// not list the run.
    Lost,
    /// The target crashed while it had the run.
    Crashed {
        /// Whether the target had no other run, which makes this task the suspect.
        alone: bool,
    },
}

/// Why a start led to no run. Each variant is proof that it never will.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotStarted {
    /// The target lacks free capacity.
    Full,
    /// The target or its agent is leaving.
    Leaving,
    /// The target's data hall is evacuated.
    Evacuated,
    /// The order was too late: its start deadline or the lease has passed.
    Late,
    /// The target has seen a higher run number, or had another run of the task, which is over now.
    Superseded,
    /// The target reported that it is unhealthy.
    Unhealthy,
    /// The start was not answered, and the target will refuse it if it arrives later.
    Unanswered,
    /// The target left the last call unanswered, or its lease must not be renewed, which a start
    /// would do.
    Doubtful,
    /// The target does not answer, or its agent has not read its lists yet.
    Unreachable,
    /// The target serves another service.
    WrongService,
    /// The order is for another incarnation of the target than the current one.
    Replaced,
    /// The order had no payload, and the agent no longer has it cached.
    NoPayload,
    /// The order names a guarantor that has no link and valid lease at the agent or has released
    /// the batch.
    NoGuarantor,
}
