//! Messages between entries and agents and between entries; docs/PROTOCOL.md lists them.
//!
//! A session is one WebSocket connection. Messages travel in numbered frames. The receiver drops
//! a frame that it has seen and closes the session at a gap, so a session delivers each message
//! once and in order, or ends. Dispatches left open by a lost session are settled on the next one
//! by [`Welcome`] and [`AgentMessage::Reconciled`].

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config_chain::{ConfigStamp, ConfigState};
use crate::ids::{DispatchSeq, HallName, Incarnation, JobId, NodeName, TaskIndex, TeamName};
use crate::job::{TaskOutcome, TaskSpec};
use crate::permit::{ClaimAnswer, PermitId, RequestDigest, StoredAnswer};
use crate::placement::PlacementMode;

/// Version of this protocol. Processes with another version are refused at the hello.
pub const PROTOCOL_VERSION: u16 = 1;

/// Messages that travel together in one WebSocket message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame<M> {
    /// Number of the frame in its session, from 1.
    pub n: u64,
    /// The messages, in order.
    #[serde(rename = "m")]
    pub messages: Vec<M>,
}

/// First message of an agent on a new session.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentHello {
    /// [`PROTOCOL_VERSION`] of the sender.
    pub protocol: u16,
    /// Name from the settings.
    pub name: NodeName,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Data hall of the VM.
    pub hall: HallName,
    /// Resources of the target.
    pub capacity: Capacity,
    /// The agent's monotonic clock in milliseconds. Permits expire on this clock.
    pub uptime_ms: u64,
    /// Newest configuration that the agent has heard of.
    pub config: ConfigStamp,
    /// Whether the agent is leaving.
    pub leaving: bool,
}

/// Resources of a target for running tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Maximum number of concurrent tasks.
    pub slots: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

/// An entry's answer to an agent's hello, with the dispatches that are still open.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// Name from the settings.
    pub name: NodeName,
    /// Incarnation of the entry.
    pub incarnation: Incarnation,
    /// How this entry places tasks.
    pub placement: PlacementMode,
    /// Whether this incarnation of the entry has dispatched to this incarnation of the agent.
    pub resume: bool,
    /// Dispatches whose outcome the entry does not know.
    pub outstanding: Vec<DispatchSeq>,
    /// Every dispatch below this is settled.
    pub settled_below: DispatchSeq,
    /// Configuration that the entry holds.
    pub config: ConfigStamp,
    /// Addresses for agents of this entry and the peers that it knows.
    pub entries: Vec<String>,
    /// Either side sends a heartbeat after this many idle milliseconds.
    pub heartbeat_ms: u32,
}

/// A task dispatched to an agent.
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
    /// The task to run.
    #[serde(rename = "t")]
    pub spec: TaskSpec,
    /// Tasks still waiting at the entry.
    #[serde(rename = "w")]
    pub waiting: u32,
    /// Trace context of the job.
    #[serde(rename = "c", skip_serializing_if = "Option::is_none", default)]
    pub trace: Option<Arc<str>>,
}

/// A message from an entry to an agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum EntryMessage {
    /// Answers the hello; first on every session.
    #[serde(rename = "W")]
    Welcome(Welcome),
    /// Runs a task.
    #[serde(rename = "D")]
    Dispatch(Dispatch),
    /// Revokes dispatches: those not started never start, and those running are stopped.
    #[serde(rename = "K")]
    Revoke(Vec<DispatchSeq>),
    /// Number of tasks that wait at the entry for a slot of this agent.
    #[serde(rename = "N")]
    Demand(u32),
    /// Queues this many reservations: the agent offers a slot for each when one becomes free
    /// (late binding).
    #[serde(rename = "Q")]
    Reserve(u32),
    /// Returns this many lent slots that the entry does not need.
    #[serde(rename = "G")]
    GiveBack(u32),
    /// Keeps an idle session alive.
    #[serde(rename = "H")]
    Heartbeat {
        /// Every dispatch below this is settled.
        #[serde(rename = "f")]
        settled_below: DispatchSeq,
    },
    /// Releases a leaving agent: none of its dispatches is open, and no more will be sent.
    #[serde(rename = "E")]
    Released {
        /// Every dispatch below this is settled.
        #[serde(rename = "f")]
        settled_below: DispatchSeq,
    },
    /// The part of the configuration that agents need.
    #[serde(rename = "C")]
    Config(AgentConfig),
    /// Asks the registrar whether a request may run under its permit.
    #[serde(rename = "P")]
    Claim(Claim),
    /// Frees the permit of a claimed request that has not run and never will.
    #[serde(rename = "R")]
    Release(Claim),
    /// Reports the answer to a claimed request.
    #[serde(rename = "O")]
    Settle {
        claim: Claim,
        /// The answer given.
        answer: StoredAnswer,
    },
    /// The entry stops. This incarnation sends nothing more.
    #[serde(rename = "B")]
    Goodbye,
}

/// A claim on a permit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    #[serde(rename = "p")]
    pub permit: PermitId,
    /// Expiry on the registrar's clock, in milliseconds.
    #[serde(rename = "x")]
    pub expires_ms: u64,
    /// The job that claims the permit.
    #[serde(rename = "j")]
    pub job: JobId,
    /// Digest of the job's content. It binds the permit to one request.
    #[serde(rename = "d")]
    pub digest: RequestDigest,
}

/// The fields of the configuration that agents use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentConfig {
    /// Configuration version of the fields.
    pub stamp: ConfigStamp,
    /// Length of a task's lease on the target, in milliseconds.
    pub lease_ms: u32,
}

/// Why an agent did not start a dispatch. Each reason proves that the task never started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DispatchRefusal {
    /// No slot is free.
    Full,
    /// The required accelerators or memory are not free.
    Resources,
    /// The target is leaving.
    Leaving,
    /// The target refuses connections.
    TargetDown,
    /// The entry revoked the dispatch before it started.
    Revoked,
    /// The agent has never received the dispatch and will not start it.
    NeverSeen,
}

/// State of one dispatch as the agent knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DispatchFate {
    /// The task is running.
    Running,
    /// The task never started and never will.
    Refused(DispatchRefusal),
    /// The task ended.
    Finished(TaskOutcome),
    /// The agent no longer has a record of the dispatch; the task may have run.
    Forgotten,
}

/// A dispatch and its state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettledDispatch {
    /// Number of the dispatch.
    pub seq: DispatchSeq,
    /// State of the dispatch.
    pub fate: DispatchFate,
}

/// A message from an agent to an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AgentMessage {
    /// Introduces the agent; first on every session.
    #[serde(rename = "A")]
    Hello(AgentHello),
    /// States of the dispatches listed in the welcome.
    #[serde(rename = "Y")]
    Reconciled(Vec<SettledDispatch>),
    /// A dispatch was not started.
    #[serde(rename = "X")]
    Refused {
        /// Number of the dispatch.
        #[serde(rename = "s")]
        seq: DispatchSeq,
        /// Why it was not started.
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
        /// Outcome of the task.
        #[serde(rename = "o")]
        outcome: TaskOutcome,
        /// Run time on the target, in milliseconds.
        #[serde(rename = "t")]
        run_ms: u32,
        /// Slots free at the agent.
        #[serde(rename = "e")]
        free: u32,
    },
    /// Lends this many slots to the entry for dispatches.
    #[serde(rename = "L")]
    Lend(u32),
    /// Takes back this many lent slots, because another entry needs them.
    #[serde(rename = "R")]
    Recall(u32),
    /// Keeps an idle session alive.
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
    /// Answers a claim.
    #[serde(rename = "P")]
    Claimed { claim: Claim, answer: ClaimAnswer },
    /// The target is leaving and takes no new work.
    #[serde(rename = "V")]
    Leaving,
    /// The agent stops; no task is running.
    #[serde(rename = "B")]
    Goodbye {
        /// Whether every task that started has been settled. If so, dispatches still open at the
        /// entry were never started.
        #[serde(rename = "c")]
        clean: bool,
    },
}

/// First message of an entry to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHello {
    /// [`PROTOCOL_VERSION`] of the sender.
    pub protocol: u16,
    /// Name from the settings.
    pub name: NodeName,
    /// Incarnation of the entry.
    pub incarnation: Incarnation,
    /// Address where agents reach the entry.
    pub agent_address: String,
    /// Configuration that the entry holds.
    pub config: ConfigStamp,
}

/// A team's use of one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamDemand {
    #[serde(rename = "t")]
    pub team: TeamName,
    /// Tasks in flight plus tasks recently refused for quota.
    #[serde(rename = "n")]
    pub tasks: u32,
}

/// An entry's load, reported to its peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct PeerReport {
    /// Estimated waiting work, as milliseconds of run time on one slot.
    #[serde(rename = "w")]
    pub waiting_work_ms: u64,
    /// Use by team; teams without any are omitted.
    #[serde(rename = "t")]
    pub teams: Vec<TeamDemand>,
    /// Agents whose targets are ejected because their tasks fail.
    #[serde(rename = "a")]
    pub set_aside: Vec<Incarnation>,
    /// Configuration that the entry holds.
    #[serde(rename = "c")]
    pub config: ConfigStamp,
}

/// A message between entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Introduces the sender; first on every session, from both sides.
    #[serde(rename = "A")]
    Hello(PeerHello),
    /// The sender's load, sent at intervals.
    #[serde(rename = "R")]
    Report(PeerReport),
    /// Asks for the receiver's configuration.
    #[serde(rename = "Q")]
    FetchConfig,
    /// The configuration that the sender holds.
    #[serde(rename = "C")]
    Config(ConfigState),
    /// Cancels a job that the receiver holds for this team.
    #[serde(rename = "K")]
    CancelJob {
        job: JobId,
        /// Team that cancels the job.
        team: TeamName,
    },
    /// The entry is stopping.
    #[serde(rename = "B")]
    Goodbye,
}
