//! Messages between our own processes. docs/PROTOCOL.md lists them with their sizes.
//!
//! A session is one WebSocket connection. Messages travel in numbered frames; the receiver
//! drops a frame that it has seen and closes the session at a gap, so that a session is either
//! an exact ordered stream or gone. What a lost session leaves open is settled by [`Welcome`]
//! and [`AgentMessage::Reconciled`] on the next one.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config_chain::{ConfigStamp, ConfigState};
use crate::ids::{DispatchSeq, HallName, Incarnation, JobId, NodeName, TaskIndex, TeamName};
use crate::job::{TaskOutcome, TaskSpec};
use crate::permit::{ClaimAnswer, PermitId, RequestDigest, StoredAnswer};
use crate::placement::PlacementMode;

/// Version of this protocol. A peer with another one is refused at hello.
pub const PROTOCOL_VERSION: u16 = 1;

/// A batch of messages in one WebSocket message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame<M> {
    /// Position in the session, from 1.
    pub n: u64,
    /// The messages, in order.
    #[serde(rename = "m")]
    pub messages: Vec<M>,
}

/// First word of an agent on a new session.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentHello {
    /// [`PROTOCOL_VERSION`] of the sender.
    pub protocol: u16,
    /// Name from the settings.
    pub name: NodeName,
    /// This life of the agent.
    pub incarnation: Incarnation,
    /// Data hall of the VM.
    pub hall: HallName,
    /// What the target has.
    pub capacity: Capacity,
    /// The agent's monotonic clock in milliseconds; permits expire by it.
    pub uptime_ms: u64,
    /// Newest configuration that the agent has heard of.
    pub config: ConfigStamp,
    /// Whether the agent is leaving.
    pub leaving: bool,
}

/// What a target has to run tasks with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Tasks at a time.
    pub slots: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// Accelerators.
    pub accelerators: u32,
}

/// An entry's answer to a hello: who it is and what it still waits for from this agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// Name from the settings.
    pub name: NodeName,
    /// This life of the entry.
    pub incarnation: Incarnation,
    /// How this entry places tasks.
    pub placement: PlacementMode,
    /// Whether this entry's life has dispatched to this agent's life before.
    pub resume: bool,
    /// Dispatches whose fate the entry does not know.
    pub outstanding: Vec<DispatchSeq>,
    /// Every dispatch below this is settled.
    pub settled_below: DispatchSeq,
    /// Configuration that the entry holds.
    pub config: ConfigStamp,
    /// Addresses for agents of the entries that this one knows.
    pub entries: Vec<String>,
    /// Either side sends a heartbeat after so many quiet milliseconds.
    pub heartbeat_ms: u32,
}

/// One task handed to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Number of the dispatch.
    #[serde(rename = "s")]
    pub seq: DispatchSeq,
    /// Every dispatch below this is settled.
    #[serde(rename = "f")]
    pub settled_below: DispatchSeq,
    /// Job of the task.
    #[serde(rename = "j")]
    pub job: JobId,
    /// Position in the job.
    #[serde(rename = "i")]
    pub task: TaskIndex,
    /// The work.
    #[serde(rename = "t")]
    pub spec: TaskSpec,
    /// Tasks still waiting at the entry.
    #[serde(rename = "w")]
    pub waiting: u32,
    /// Trace context of the job.
    #[serde(rename = "c", skip_serializing_if = "Option::is_none", default)]
    pub trace: Option<Arc<str>>,
}

/// What an entry tells an agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum EntryMessage {
    /// Answer to the hello, first on every session.
    #[serde(rename = "W")]
    Welcome(Welcome),
    /// Run a task.
    #[serde(rename = "D")]
    Dispatch(Dispatch),
    /// Never start these, and stop those that run.
    #[serde(rename = "K")]
    Revoke(Vec<DispatchSeq>),
    /// Tasks that wait here for a slot of this agent.
    #[serde(rename = "N")]
    Demand(u32),
    /// Ask once for each of this many tasks when a slot falls free (late binding).
    #[serde(rename = "Q")]
    Reserve(u32),
    /// Lent slots that the entry does not need.
    #[serde(rename = "G")]
    GiveBack(u32),
    /// Sign of life on a quiet session.
    #[serde(rename = "H")]
    Heartbeat {
        /// Every dispatch below this is settled.
        #[serde(rename = "f")]
        settled_below: DispatchSeq,
    },
    /// To a leaving agent: nothing of it is waited for, and nothing more will be sent.
    #[serde(rename = "E")]
    Released {
        /// Every dispatch below this is settled.
        #[serde(rename = "f")]
        settled_below: DispatchSeq,
    },
    /// The part of the configuration that agents need.
    #[serde(rename = "C")]
    Config(AgentConfig),
    /// May this request run?
    #[serde(rename = "P")]
    Claim(Claim),
    /// A claimed request did not run and will not: the permit is free again.
    #[serde(rename = "R")]
    Release(Claim),
    /// How a claimed request ended.
    #[serde(rename = "O")]
    Settle {
        /// The claim.
        claim: Claim,
        /// The answer given.
        answer: StoredAnswer,
    },
    /// The entry stops; nothing more will come from this life.
    #[serde(rename = "B")]
    Goodbye,
}

/// A claim on a permit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The permit.
    #[serde(rename = "p")]
    pub permit: PermitId,
    /// Expiry on the registrar's clock, in milliseconds.
    #[serde(rename = "x")]
    pub expires_ms: u64,
    /// The job that wants to run under it.
    #[serde(rename = "j")]
    pub job: JobId,
    /// What the job is, so that a permit covers one request only.
    #[serde(rename = "d")]
    pub digest: RequestDigest,
}

/// The fields of the configuration that agents use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentConfig {
    /// Where the fields come from.
    pub stamp: ConfigStamp,
    /// Length of a task's lease on the target, in milliseconds.
    pub lease_ms: u32,
}

/// Why an agent did not start a dispatch. Each is proof that it never started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DispatchRefusal {
    /// No slot is free.
    Full,
    /// The accelerators or memory needed are not free.
    Resources,
    /// The target is leaving.
    Leaving,
    /// The target refuses connections.
    TargetDown,
    /// The entry revoked it first.
    Revoked,
    /// The agent has never seen it and will not start it.
    NeverSeen,
}

/// What an agent knows of one dispatch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DispatchFate {
    /// It runs.
    Running,
    /// It never started and never will.
    Refused(DispatchRefusal),
    /// It ended.
    Finished(TaskOutcome),
    /// The agent has dropped what it knew: it may have run.
    Forgotten,
}

/// A dispatch and its fate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettledDispatch {
    /// Number of the dispatch.
    pub seq: DispatchSeq,
    /// Its fate.
    pub fate: DispatchFate,
}

/// What an agent tells an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AgentMessage {
    /// First on every session.
    #[serde(rename = "A")]
    Hello(AgentHello),
    /// Fates of the dispatches that the welcome named.
    #[serde(rename = "Y")]
    Reconciled(Vec<SettledDispatch>),
    /// A dispatch was not started.
    #[serde(rename = "X")]
    Refused {
        /// Number of the dispatch.
        #[serde(rename = "s")]
        seq: DispatchSeq,
        /// Why.
        #[serde(rename = "w")]
        reason: DispatchRefusal,
        /// Slots free at the agent.
        #[serde(rename = "e")]
        free: u32,
    },
    /// A dispatch ended.
    #[serde(rename = "F")]
    Finished {
        /// Number of the dispatch.
        #[serde(rename = "s")]
        seq: DispatchSeq,
        /// How.
        #[serde(rename = "o")]
        outcome: TaskOutcome,
        /// Run time on the target, in milliseconds.
        #[serde(rename = "t")]
        run_ms: u32,
        /// Slots free at the agent.
        #[serde(rename = "e")]
        free: u32,
    },
    /// Slots that the entry may dispatch to.
    #[serde(rename = "L")]
    Lend(u32),
    /// Lent slots that are taken back, for another entry needs them.
    #[serde(rename = "R")]
    Recall(u32),
    /// Sign of life on a quiet session.
    #[serde(rename = "H")]
    Heartbeat {
        /// The agent's clock in milliseconds.
        #[serde(rename = "u")]
        uptime_ms: u64,
        /// Slots free at the agent.
        #[serde(rename = "e")]
        free: u32,
        /// Newest configuration that the agent has heard of.
        #[serde(rename = "c")]
        config: ConfigStamp,
    },
    /// Answer to a claim.
    #[serde(rename = "P")]
    Claimed {
        /// The claim.
        claim: Claim,
        /// The answer.
        answer: ClaimAnswer,
    },
    /// The target is leaving: no new work.
    #[serde(rename = "V")]
    Leaving,
    /// The agent stops; nothing runs any more.
    #[serde(rename = "B")]
    Goodbye {
        /// Whether every task that ever started has been settled: what the entry still waits for
        /// was then never started.
        #[serde(rename = "c")]
        clean: bool,
    },
}

/// First word of an entry to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHello {
    /// [`PROTOCOL_VERSION`] of the sender.
    pub protocol: u16,
    /// Name from the settings.
    pub name: NodeName,
    /// This life of the entry.
    pub incarnation: Incarnation,
    /// Address for agents.
    pub agent_address: String,
    /// Configuration that the entry holds.
    pub config: ConfigStamp,
}

/// A team's use of one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamDemand {
    /// The team.
    #[serde(rename = "t")]
    pub team: TeamName,
    /// Tasks in flight and refused for quota of late.
    #[serde(rename = "n")]
    pub tasks: u32,
}

/// An entry's load, as its peers need it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct PeerReport {
    /// Estimated work that waits, in milliseconds of one slot.
    #[serde(rename = "w")]
    pub waiting_work_ms: u64,
    /// Use by team, teams without any left out.
    #[serde(rename = "t")]
    pub teams: Vec<TeamDemand>,
    /// Agents whose targets fail what they start.
    #[serde(rename = "a")]
    pub set_aside: Vec<Incarnation>,
    /// Configuration that the entry holds.
    #[serde(rename = "c")]
    pub config: ConfigStamp,
}

/// What entries tell each other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// First on every session, from both sides.
    #[serde(rename = "A")]
    Hello(PeerHello),
    /// Load, sent at intervals.
    #[serde(rename = "R")]
    Report(PeerReport),
    /// Send me the configuration that you hold.
    #[serde(rename = "Q")]
    FetchConfig,
    /// The configuration that the sender holds.
    #[serde(rename = "C")]
    Config(ConfigState),
    /// Cancel a job of the receiver's for this team.
    #[serde(rename = "K")]
    CancelJob {
        /// The job.
        job: JobId,
        /// Who asks.
        team: TeamName,
    },
    /// The entry stops.
    #[serde(rename = "B")]
    Goodbye,
}
