//! Events and actions of the agent's core on the platform.
//!
//! [`AgentAction::Start`], [`AgentAction::Renew`], [`AgentAction::CheckIncarnation`] and
//! [`AgentAction::AskEvacuations`] are each answered by one event, the first three within the limit
//! that they state. Actions are executed in order; each may fail.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::evacuations::EvacuatedHalls;
use crate::events::LogEvent;
use crate::ids::{HallName, Incarnation, NodeName, SessionId};
use crate::run::{RunEnd, RunKey};
use crate::run_message::{AgentPacket, EntryPacket, TargetInfo};
use crate::run_table::FencingToken;
use crate::target_incarnation::{StartMillis, TargetName};
use crate::target_lease::{EndNumber, ListedRun, Renewal, TargetMillis};
use crate::timings::Timings;

/// Options of an agent, given at start.
#[derive(Debug, Clone)]
pub struct AgentOptions {
    /// Name of the agent process on its VM.
    pub name: NodeName,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Data hall of the agent and its target.
    pub hall: HallName,
    /// Timing bounds.
    pub timings: Timings,
    /// First fencing token: the time of day in milliseconds, which usually rises with each incarnation.
    pub token: FencingToken,
    /// Entries to dial at start.
    pub seeds: Vec<SocketAddr>,
    /// Time from the order of an evacuation until it must be in force; none if the platform orders
    /// no evacuations.
    pub evacuation_bound: Option<Duration>,
}

/// A target's report on itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetReport {
    /// Incarnation, service, capacity and state of the target.
    pub info: TargetInfo,
    /// Rises with each report of one incarnation.
    pub sequence: u64,
}

/// The target's answer to a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartAnswer {
    /// The run has started.
    Started {
        /// The target's clock.
        clock: TargetMillis,
    },
    /// The target has seen a higher fencing token.
    Fenced,
    /// The target has seen a higher run number of this task.
    Superseded,
    /// The requested lease has already expired.
    Late,
    /// The target has no free capacity.
    Full,
    /// The target is unhealthy and started nothing.
    Unhealthy,
    /// An incarnation of another name answered and started nothing.
    OtherIncarnation,
    /// Another incarnation of that name was found, so the start was not sent.
    Restarted,
    /// The connection was refused, so nothing was started.
    Refused,
    /// No answer: the run may have started or may start later.
    NoAnswer,
}

/// The target's answer to a renewal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RenewalAnswer {
    /// The target's lists.
    Lists {
        /// Start time of the answering incarnation, if the target states it.
        born: Option<StartMillis>,
        /// The target's clock.
        clock: TargetMillis,
        /// Running runs.
        running: Vec<ListedRun>,
        /// Ends with higher numbers than [`Renewal::last_seen`].
        ended: Vec<(EndNumber, RunKey, RunEnd)>,
    },
    /// The target has seen a higher fencing token.
    Fenced,
    /// An incarnation of another name answered.
    OtherIncarnation,
    /// The connection was refused: no process listens.
    Refused,
    NoAnswer,
}

/// Outcome of a call that checks an incarnation of the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IncarnationAnswer {
    /// An incarnation of that name answered, with its start time if it states one.
    Alive(Option<StartMillis>),
    /// An incarnation of another name answered.
    OtherIncarnation,
    /// An incarnation of that name answered without its start time, because it has seen a higher
    /// fencing token.
    Fenced,
    NoAnswer,
}

impl From<RenewalAnswer> for IncarnationAnswer {
    fn from(answer: RenewalAnswer) -> Self {
        match answer {
            RenewalAnswer::Lists { born, .. } => Self::Alive(born),
            RenewalAnswer::Fenced => Self::Fenced,
            RenewalAnswer::OtherIncarnation => Self::OtherIncarnation,
            RenewalAnswer::Refused | RenewalAnswer::NoAnswer => Self::NoAnswer,
        }
    }
}

/// Input of an agent's core.
#[derive(Debug, Clone)]
pub enum AgentEvent {
    /// The requested wake time has come.
    Wake,
    /// A link to the entry at this address is up.
    LinkUp(SessionId, SocketAddr),
    LinkDown(SessionId),
    /// A packet from an entry.
    Packet(SessionId, EntryPacket),
    /// The target reports on itself.
    Report(TargetReport),
    /// Goodbye of a target of this name, with the start time of its incarnation if it states one.
    TargetLeft(TargetName, Option<StartMillis>),
    /// Answer to [`AgentAction::Start`].
    StartAnswered {
        /// The run.
        key: RunKey,
        /// Fencing token of the start.
        token: FencingToken,
        answer: StartAnswer,
    },
    /// Answer to [`AgentAction::Renew`].
    RenewalAnswered {
        /// Number of the renewal.
        number: u64,
        answer: RenewalAnswer,
    },
    /// Answer to [`AgentAction::CheckIncarnation`].
    IncarnationChecked {
        /// Number of the query.
        number: u64,
        answer: IncarnationAnswer,
    },
    /// Addresses of entries from the settings or the store.
    Entries(Vec<SocketAddr>),
    /// Answer to [`AgentAction::AskEvacuations`]; none if the read failed.
    Evacuations(Option<Arc<EvacuatedHalls>>),
    /// The VM, with its target, has resumed after a suspension of this length.
    Resumed(Duration),
    /// Drain and then exit.
    Drain,
}

/// A start to be sent to the target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartCall {
    /// The run.
    pub key: RunKey,
    /// Payload of the task.
    pub payload: Arc<str>,
    /// End of the lease on the target's clock.
    pub until: TargetMillis,
    /// Fencing token.
    pub token: FencingToken,
    /// Name of the target that is addressed.
    pub target_name: TargetName,
    /// Start time of the incarnation that is addressed, if it states one. `until` is a time on its
    /// clock, so no other incarnation may carry out the call.
    pub born: Option<StartMillis>,
    /// Timeout of the call.
    pub limit: Duration,
}

/// Output of an agent's core.
#[derive(Debug, Clone)]
pub enum AgentAction {
    /// Send a packet.
    Send(SessionId, AgentPacket),
    /// Close a link.
    Close(SessionId),
    /// Connect to the entry at this address and reconnect when the connection breaks.
    Dial(SocketAddr),
    /// Disconnect from the entry at this address and don't reconnect.
    Disconnect(SocketAddr),
    /// Start a run.
    Start(StartCall),
    /// Stop a run. No event answers this; the target lists the end.
    Stop {
        /// The run.
        key: RunKey,
        /// Fencing token.
        token: FencingToken,
        /// Name of the target that is addressed.
        target_name: Option<TargetName>,
    },
    /// Renew the lease and read the lists.
    Renew {
        renewal: Renewal,
        /// Name of the target that is addressed.
        target_name: Option<TargetName>,
    },
    /// Check which incarnation of this name answers, if any.
    CheckIncarnation {
        /// A query of the lists, which renews no lease.
        query: Renewal,
        /// Name of the target that is addressed.
        target_name: TargetName,
    },
    /// Read from the store which halls are evacuated.
    AskEvacuations,
    /// Read the addresses of entries from the store; they arrive as [`AgentEvent::Entries`].
    AskEntries,
    /// Write a line to the log.
    Log(LogEvent),
    /// Exit the process.
    Exit,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgentGauges {
    /// Runs in the run table.
    pub runs: u64,
    /// Links to entries.
    pub entries: u64,
}
