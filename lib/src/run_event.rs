//! What the agent's core on the platform is told and what it wants done.
//!
//! [`AgentAction::Start`], [`AgentAction::Renew`], [`AgentAction::CheckIncarnation`] and
//! [`AgentAction::AskEvacuations`] are each answered by one event, within the limit that they name. Actions are carried out in order; each may fail.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::evacuations::EvacuatedHalls;
use crate::events::LogEvent;
use crate::ids::{HallName, Incarnation, NodeName, SessionId};
use crate::run::{RunEnd, RunKey};
use crate::run_message::{AgentPacket, EntryPacket, TargetInfo};
use crate::run_table::FencingToken;
use crate::target_incarnation::{BornMillis, TargetName};
use crate::target_lease::{EndNumber, ListedRun, Renewal, TargetMillis};
use crate::timings::Timings;

/// What an agent is told at start.
#[derive(Debug, Clone)]
pub struct AgentOptions {
    /// Name of the VM's process.
    pub name: NodeName,
    /// This life.
    pub incarnation: Incarnation,
    /// Data hall.
    pub hall: HallName,
    /// The chain of times.
    pub timings: Timings,
    /// First fencing token: the time of day in milliseconds, so that it rises with each life.
    pub token: FencingToken,
    /// Entries to dial at start.
    pub seeds: Vec<SocketAddr>,
    /// How long after its order an evacuation must be obeyed; none if the platform orders none.
    pub evacuation_bound: Option<Duration>,
}

/// A target's report on itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetReport {
    /// What it is.
    pub info: TargetInfo,
    /// Rises with each report of one life.
    pub sequence: u64,
}

/// What the target answered to an order to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartAnswer {
    /// It runs.
    Started {
        /// The target's clock.
        clock: TargetMillis,
    },
    /// A higher fencing token was seen.
    Fenced,
    /// A higher number of this task was seen.
    Superseded,
    /// The lease asked for is over already.
    Late,
    /// No room.
    Full,
    /// The target is unwell and has done nothing.
    Unhealthy,
    /// Another life of the target answered, which has done nothing.
    OtherIncarnation,
    /// The connection was refused: nothing was done.
    Refused,
    /// No answer: it may have been done, or may be done later.
    Silent,
}

/// What the target answered to a renewal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RenewalAnswer {
    /// The lists.
    Lists {
        /// When the life that tells them began, if it says so.
        born: Option<BornMillis>,
        /// The target's clock.
        clock: TargetMillis,
        /// What runs.
        running: Vec<ListedRun>,
        /// What has ended since the number that was sent.
        ended: Vec<(EndNumber, RunKey, RunEnd)>,
    },
    /// A higher fencing token was seen.
    Fenced,
    /// Another life of the target answered.
    OtherIncarnation,
    /// The connection was refused: no process is there.
    Refused,
    /// No answer.
    Silent,
}

/// What came of a call that names one life of the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IncarnationAnswer {
    /// A life of that name answered, which began then if it says so.
    Alive(Option<BornMillis>),
    /// A life of another name answered.
    OtherIncarnation,
    /// A life of that name answered, and not which: a higher fencing token was seen.
    Fenced,
    /// No answer.
    Silent,
}

impl From<RenewalAnswer> for IncarnationAnswer {
    fn from(answer: RenewalAnswer) -> Self {
        match answer {
            RenewalAnswer::Lists { born, .. } => Self::Alive(born),
            RenewalAnswer::Fenced => Self::Fenced,
            RenewalAnswer::OtherIncarnation => Self::OtherIncarnation,
            RenewalAnswer::Refused | RenewalAnswer::Silent => Self::Silent,
        }
    }
}

/// What an agent is told.
#[derive(Debug, Clone)]
pub enum AgentEvent {
    /// A time that was asked for has come.
    Wake,
    /// A link to the entry at this address stands.
    LinkUp(SessionId, SocketAddr),
    /// A link is gone.
    LinkDown(SessionId),
    /// A packet of an entry.
    Packet(SessionId, EntryPacket),
    /// The target reports on itself.
    Report(TargetReport),
    /// A target of this name says goodbye, and when its life began if it says so.
    TargetLeft(TargetName, Option<BornMillis>),
    /// Answer to [`AgentAction::Start`].
    StartAnswered {
        /// The run.
        key: RunKey,
        /// Token of the order.
        token: FencingToken,
        /// The answer.
        answer: StartAnswer,
    },
    /// Answer to [`AgentAction::Renew`].
    RenewalAnswered {
        /// Number of the renewal.
        number: u64,
        /// The answer.
        answer: RenewalAnswer,
    },
    /// Answer to [`AgentAction::CheckIncarnation`].
    IncarnationChecked {
        /// Number of the look.
        number: u64,
        /// The answer.
        answer: IncarnationAnswer,
    },
    /// More entries, from the settings or the registry.
    Entries(Vec<SocketAddr>),
    /// Answer to [`AgentAction::AskEvacuations`]; none if the store gave none.
    Evacuations(Option<Arc<EvacuatedHalls>>),
    /// The VM was suspended for so long, the target with it, and goes on now.
    Resumed(Duration),
    /// Stop in an orderly way.
    Drain,
}

/// A start to be sent to the target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartCall {
    /// The run.
    pub key: RunKey,
    /// What the task is given.
    pub payload: Arc<str>,
    /// End of the lease on the target's clock.
    pub until: TargetMillis,
    /// Token.
    pub token: FencingToken,
    /// Name of the target's life that is meant.
    pub target_name: TargetName,
    /// When the answer counts as lost.
    pub limit: Duration,
}

/// What an agent wants done.
#[derive(Debug, Clone)]
pub enum AgentAction {
    /// Send a packet.
    Send(SessionId, AgentPacket),
    /// Close a link.
    Close(SessionId),
    /// Keep a connection to the entry at this address.
    Dial(SocketAddr),
    /// Keep no connection to the entry at this address any more.
    Disconnect(SocketAddr),
    /// Start a run.
    Start(StartCall),
    /// Stop a run. No answer is expected: the end will be listed.
    Stop {
        /// The run.
        key: RunKey,
        /// Token.
        token: FencingToken,
        /// Name of the target's life that is meant.
        target_name: Option<TargetName>,
    },
    /// Renew the lease and read the lists.
    Renew {
        /// The renewal.
        renewal: Renewal,
        /// Name of the target's life that is meant.
        target_name: Option<TargetName>,
    },
    /// Ask the target whether a life of this name answers, and which.
    CheckIncarnation {
        /// A look at the lists that renews nothing.
        look: Renewal,
        /// The name.
        target_name: TargetName,
    },
    /// Ask the store which halls are evacuated.
    AskEvacuations,
    /// Ask the store for entries; what it knows comes as [`AgentEvent::Entries`].
    AskEntries,
    /// Write a line to the log.
    Log(LogEvent),
    /// Stop the process.
    Exit,
}

/// Figures of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgentLevels {
    /// Runs booked.
    pub runs: u64,
    /// Links to entries.
    pub entries: u64,
}
