//! What the entry's core on the platform is told and what it wants done.
//!
//! Each request gets exactly one reply, unless [`EntryEvent::CallerGone`] is told first or the
//! process ends. Actions are carried out in order; each may fail without an answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::batch::{BatchSpec, Unsupported};
use crate::evacuations::EvacuatedHalls;
use crate::events::LogEvent;
use crate::ids::{HallName, Incarnation, NodeName, RequestId, SessionId};
use crate::link_load::ByteRate;
use crate::queue::QueueTable;
use crate::run::BatchId;
use crate::run_message::Packet;
use crate::timings::Timings;

/// What an entry is told at start.
#[derive(Debug, Clone)]
pub struct EntryOptions {
    /// Name of the VM's process.
    pub name: NodeName,
    /// This life.
    pub incarnation: Incarnation,
    /// Data hall.
    pub hall: HallName,
    /// Address of its links.
    pub address: SocketAddr,
    /// Entries to dial at start.
    pub seeds: Vec<SocketAddr>,
    /// Seed of all random choices.
    pub seed: u64,
    /// The chain of times.
    pub timings: Timings,
    /// What the VM's link carries, in bytes a second; none if it is not known.
    pub link_rate: Option<ByteRate>,
}

/// A batch as it arrives.
#[derive(Debug, Clone)]
pub struct Submission {
    /// Whom to answer.
    pub request: RequestId,
    /// Host that the caller named.
    pub host: String,
    /// Path that the caller named.
    pub path: String,
    /// The batch.
    pub spec: BatchSpec,
    /// How long the caller waits.
    pub patience: Duration,
    /// The caller's own id of its request, for the log; empty if it gave none.
    pub caller_request: Arc<str>,
}

/// A caller's question about a queue or a batch.
#[derive(Debug, Clone)]
pub struct Question {
    /// Whom to answer.
    pub request: RequestId,
    /// Host that the caller named.
    pub host: String,
    /// Path that the caller named.
    pub path: String,
    /// The batch; none if the question is about the queue.
    pub batch: Option<BatchId>,
}

/// What an entry is told.
#[derive(Debug, Clone)]
pub enum EntryEvent {
    /// A time that was asked for has come.
    Wake,
    /// A caller submits.
    Submit(Submission),
    /// A caller's connection is gone.
    CallerGone(RequestId),
    /// A caller asks for a state or a count.
    Ask(Question),
    /// A caller cancels.
    Cancel(Question),
    /// The platform's store shows a configuration.
    Config(Arc<QueueTable>),
    /// The platform's store has answered: these halls are evacuated.
    Evacuations(Arc<EvacuatedHalls>),
    /// More entries, from the platform's store.
    Entries(Vec<SocketAddr>),
    /// A link stands; the address if this side dialled it.
    LinkUp(SessionId, Option<SocketAddr>),
    /// A link is gone.
    LinkDown(SessionId),
    /// A packet has come.
    Packet(SessionId, Packet),
    /// Stop in an orderly way.
    Drain,
}

/// Why a batch was refused. Nothing of it ran, and nothing will.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No configuration yet.
    NoConfig,
    /// What it asks for is not carried.
    Unsupported(Unsupported),
    /// No room within its time.
    Busy,
    /// The entry stops.
    Draining,
    /// Every target that could serve it is in an evacuated data hall.
    Evacuated,
}

/// What is said to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// Every task has ended well.
    Succeeded,
    /// A task has used up its attempts.
    Failed,
    /// The batch was cancelled.
    Cancelled,
    /// It was not run.
    Refused {
        /// Why.
        why: Refusal,
        /// When to come back.
        retry_after: Option<Duration>,
    },
    /// Its time is up; some of it ran, and nothing of it runs any more.
    GaveUp,
    /// There is no such queue.
    NoQueue,
    /// There is no such batch.
    NoBatch,
    /// A batch waits.
    Waiting,
    /// A batch runs.
    Running,
    /// Batches of a queue of which nothing has begun.
    Pending(usize),
}

impl Reply {
    /// Its kind, for counting.
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

/// What an entry wants done.
#[derive(Debug, Clone)]
pub enum EntryAction {
    /// Answer a caller.
    Reply(RequestId, Reply),
    /// Send a packet.
    Send(SessionId, Packet),
    /// Close a link.
    Close(SessionId),
    /// Keep a connection to the entry at this address.
    Dial(SocketAddr),
    /// Keep no connection to the entry at this address any more.
    Disconnect(SocketAddr),
    /// Write a line to the log.
    Log(LogEvent),
    /// How long a batch took, in milliseconds, and its objective.
    Measured(u64, u64),
    /// Stop the process.
    Exit,
}

/// Figures of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryLevels {
    /// Batches held.
    pub batches: u64,
    /// Targets that may get work.
    pub targets: u64,
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Data halls that are evacuated.
    pub evacuated_halls: u64,
}
