//! Events and actions of the entry's core on the platform.
//!
//! Each request gets exactly one reply, unless [`EntryEvent::CallerGone`] comes first or the
//! process ends. Actions are carried out in order. Each may fail without notice to the core.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::batch::{BatchSpec, Unsupported};
use crate::entry_load::LoopLoad;
use crate::evacuations::EvacuatedHalls;
use crate::events::LogEvent;
use crate::ids::{HallName, Incarnation, NodeName, Now, RequestId, SessionId};
use crate::link_load::ByteRate;
use crate::queue::QueueTable;
use crate::run::BatchId;
use crate::run_message::Packet;
use crate::timings::Timings;

/// Options of an entry, set at start.
#[derive(Debug, Clone)]
pub struct EntryOptions {
    /// Name of the entry's process.
    pub name: NodeName,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Data hall of the entry.
    pub hall: HallName,
    /// Address on which it accepts links.
    pub address: SocketAddr,
    /// Entries to dial at start.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Timeouts and intervals.
    pub timings: Timings,
    /// Rate of the VM's network link in bytes per second, if known.
    pub link_rate: Option<ByteRate>,
    /// Share of a core that the process may use, if limited.
    pub processor_share: Option<f64>,
    /// Factor on the run time of a task outside its preferred rack, if the platform states it.
    pub far_factor: Option<f64>,
}

/// A batch as it arrives from a caller.
#[derive(Debug, Clone)]
pub struct Submission {
    /// Request to answer.
    pub request: RequestId,
    /// Host named in the request.
    pub host: String,
    /// Path named in the request.
    pub path: String,
    /// The submitted batch.
    pub spec: BatchSpec,
    /// How long the caller waits for an answer.
    pub caller_timeout: Duration,
    /// Longest time since the caller sent the request; `None` if it is not known.
    pub max_age: Option<Duration>,
    /// The caller's id of its request, for the log; empty if it gave none.
    pub caller_request: Arc<str>,
}

/// What is known of the caller of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerWait {
    /// When it stops waiting, at the latest.
    pub deadline: Now,
    /// Until when it can't have given the batch to another entry since it sent the request.
    pub proven_until: Now,
}

/// A caller's query about a queue or a batch, or its request to cancel a batch.
#[derive(Debug, Clone)]
pub struct BatchQuery {
    /// Request to answer.
    pub request: RequestId,
    /// Host named in the request.
    pub host: String,
    /// Path named in the request.
    pub path: String,
    /// The batch; `None` if the query is about the queue.
    pub batch: Option<BatchId>,
}

/// Input of the entry's core.
#[derive(Debug, Clone)]
pub enum EntryEvent {
    /// The time returned by `next_wake` has come.
    Wake,
    /// A caller submits a batch.
    Submit(Submission),
    /// A caller's connection was closed.
    CallerGone(RequestId),
    /// A caller asks for the state of a batch or the number of pending batches.
    Query(BatchQuery),
    /// A caller cancels a batch.
    Cancel(BatchQuery),
    /// The platform's store returned a configuration.
    Config(Arc<QueueTable>),
    /// The platform's store returned the evacuated halls.
    Evacuations(Arc<EvacuatedHalls>),
    /// The platform's store returned addresses of entries.
    Entries(Vec<SocketAddr>),
    /// A link is up; with its address if this side dialled.
    LinkUp(SessionId, Option<SocketAddr>),
    LinkDown(SessionId),
    /// A packet was received.
    Packet(SessionId, Packet),
    /// A sample of the event loop. It precedes the event during which it was taken.
    LoopLoad(LoopLoad),
    /// All input that had arrived by this time was passed on. An entry whose driver never reports
    /// that counts all input as read.
    InputRead(Now),
    /// Shut down gracefully.
    Drain,
}

/// Reason why a batch was refused. None of its tasks has run or will run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The entry has no configuration yet.
    NoConfig,
    /// It requests an unsupported feature.
    Unsupported(Unsupported),
    /// No capacity became free in time.
    Busy,
    /// The entry is shutting down.
    Draining,
    /// Every target that could serve it is in an evacuated data hall.
    Evacuated,
}

/// Reply to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// Every task succeeded.
    Succeeded,
    /// A task used up its attempts.
    Failed,
    /// The batch was cancelled.
    Cancelled,
    /// The batch was refused and has not run.
    Refused {
        /// Reason of the refusal.
        why: Refusal,
        /// Time after which the caller may retry; `None` if a retry is pointless.
        retry_after: Option<Duration>,
    },
    /// The batch ran out of time. Some of its tasks ran, and none is still running.
    GaveUp,
    /// No queue matches the request.
    NoQueue,
    /// The batch is unknown.
    NoBatch,
    /// No task of the batch has been dispatched yet.
    Waiting,
    /// A task of the batch has been dispatched.
    Running,
    /// Number of batches of a queue that haven't been dispatched.
    Pending(usize),
}

impl Reply {
    /// Returns the reply's kind, as used in metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Succeeded => "succeeded",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
            Self::Refused { .. } => "refused",
            Self::GaveUp => "gave_up",
            Self::NoQueue => "no_queue",
            Self::NoBatch => "no_batch",
            Self::Waiting | Self::Running => "state",
            Self::Pending(_) => "pending",
        }
    }
}

/// Output of the entry's core.
#[derive(Debug, Clone)]
pub enum EntryAction {
    /// Send a reply to a caller.
    Reply(RequestId, Reply),
    /// Send a packet over a link.
    Send(SessionId, Packet),
    /// Close a link.
    Close(SessionId),
    /// Connect to the entry at this address, and reconnect after a loss.
    Dial(SocketAddr),
    /// Close the connection to the entry at this address, and stop reconnecting.
    Disconnect(SocketAddr),
    /// Write an event to the log.
    Log(LogEvent),
    /// Record a batch's response time and its objective, both in milliseconds.
    Measured(u64, u64),
    /// Exit the process.
    Exit,
}

/// Gauges of an entry for its metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryGauges {
    /// Number of batches held.
    pub batches: u64,
    /// Number of targets that may get work.
    pub targets: u64,
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Number of evacuated data halls.
    pub evacuated_halls: u64,
    /// Number of batches handed over to other entries and not answered.
    pub handed_over: u64,
    /// Number of batches taken over from other entries and not answered.
    pub taken_over: u64,
    /// Utilization of the event loop in percent, if known.
    pub loop_busy_percent: Option<u64>,
    /// Largest recent delay of the timer in milliseconds.
    pub loop_lag_ms: u64,
    /// Time in milliseconds since all input was read last; 0 while no batch is held.
    pub input_age_ms: u64,
}
