//! Messages between entries and agents, and between entries; docs/design/platform.md explains them.
//!
//! A link is one WebSocket connection, and a packet is one message on it. Packets of one link
//! arrive whole and in order until the link breaks. After a reconnect [`Order::Welcome`] lists
//! every run that the entry still waits for, and the agent reports the end of those that are over.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::batch::StepSpec;
use crate::entry_load::EntryLoadReport;
use crate::evacuations::{EvacuatedHalls, StorePosition};
use crate::ids::{HallName, Incarnation, NodeName};
use crate::payload::Payload;
use crate::queue::{ConfigVersion, QueueTable};
use crate::resources::Resources;
use crate::run::{BatchId, NotStarted, RunEnd, RunKey, RunNumber, TaskKey};
use crate::target_health::HealthReport;
use crate::target_incarnation::TargetIncarnation;

/// Milliseconds since the start of one incarnation of an agent.
pub type AgentMillis = u64;

/// Milliseconds since the start of one incarnation of an entry.
pub type EntryMillis = u64;

/// Version of the messages that a process understands. Processes of different builds run side by
/// side during an upgrade, and a link is closed on a message that can't be decoded. Messages of a
/// later version are therefore sent only to processes that announced it.
pub type ProtocolVersion = u32;

/// Version of the messages of this build. Builds that announce none count as version 0.
pub const PROTOCOL_VERSION: ProtocolVersion = 5;

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// One message on a link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Packet {
    /// From an agent to an entry.
    #[serde(rename = "A")]
    FromAgent(AgentPacket),
    /// From an entry to an agent.
    #[serde(rename = "E")]
    FromEntry(EntryPacket),
    #[serde(rename = "P")]
    BetweenEntries(PeerPacket),
}

/// Overhead of a packet in bytes: the headers of WebSocket, TCP and IP, and the fields that every
/// packet has.
const PACKET_OVERHEAD_BYTES: usize = 70;
/// Approximate size of an order, a piece of news or an item of their lists, in bytes.
const SMALL_ITEM_BYTES: usize = 40;
/// Approximate size of a start order without its payload, including its packet, in bytes.
pub const START_ORDER_BYTES: usize = 210;
/// Approximate size of an offer of a batch without its payload, in bytes.
const HAND_OVER_BYTES: usize = 250;
/// Approximate size of one queue in a configuration, in bytes.
const QUEUE_BYTES: usize = 180;

impl Packet {
    /// Approximate size on a link without the start orders, in bytes. Some lists of entries and
    /// halls count as one item.
    pub fn approximate_bytes(&self) -> usize {
        let content = match self {
            Self::FromAgent(packet) => packet.news.len() * SMALL_ITEM_BYTES,
            Self::FromEntry(packet) => packet.orders.iter().map(Order::approximate_bytes).sum(),
            Self::BetweenEntries(packet) => {
                packet.news.iter().map(PeerNews::approximate_bytes).sum()
            }
        };
        PACKET_OVERHEAD_BYTES + content
    }

    /// The kind under which the traffic metrics count this packet.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::FromAgent(packet) if packet.news.is_empty() => "load",
            Self::FromAgent(_) => "news",
            Self::FromEntry(packet) => packet.kind(),
            Self::BetweenEntries(packet) => packet.kind(),
        }
    }
}

/// A packet from an agent to an entry. Each one carries the agent's clock and load and thus serves
/// as a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AgentPacket {
    /// The agent's clock when it wrote the packet.
    #[serde(rename = "t")]
    pub clock: AgentMillis,
    /// Free resources; zero while the target may get no work.
    #[serde(rename = "f")]
    pub free: Resources,
    /// Starts of this entry that `free` takes into account, counted on this link.
    #[serde(rename = "s")]
    pub starts_seen: u64,
    /// Health of the target.
    #[serde(rename = "h", default)]
    pub health: HealthReport,
    /// News, in order.
    #[serde(rename = "n", default, skip_serializing_if = "Vec::is_empty")]
    pub news: Vec<AgentNews>,
}

/// One piece of news from an agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AgentNews {
    /// The first news on every link.
    #[serde(rename = "H")]
    Hello(AgentIntro),
    /// The current target; `None` while there is none.
    #[serde(rename = "T")]
    Target(Option<TargetInfo>),
    /// A run has ended.
    #[serde(rename = "E")]
    Ended {
        /// Run that has ended.
        #[serde(rename = "k")]
        key: RunKey,
        /// How it ended.
        #[serde(rename = "e")]
        end: RunEnd,
        /// Run time in milliseconds; 0 if not known.
        #[serde(rename = "r")]
        ran_ms: u32,
    },
    /// A start order led to no run.
    #[serde(rename = "X")]
    NotStarted {
        /// Run that was ordered.
        #[serde(rename = "k")]
        key: RunKey,
        /// Why it was not started.
        #[serde(rename = "w")]
        reason: NotStarted,
    },
    /// A run is far slower than its estimate.
    #[serde(rename = "S")]
    Slow {
        /// Run that is slow.
        #[serde(rename = "k")]
        key: RunKey,
        /// How long it has run, in milliseconds.
        #[serde(rename = "r")]
        ran_ms: u32,
        /// Progress in percent.
        #[serde(rename = "p")]
        percent: u32,
    },
    /// The target crashed during a run of another entry, or of an earlier attempt. Only for entries
    /// of protocol 1 or more.
    #[serde(rename = "C")]
    Crashed(CrashNotice),
    /// The agent takes no new work on this link. Either it is stopping, and its next incarnation
    /// adopts the remaining runs; or it has enough links and closes this one once no run of the
    /// entry is left.
    #[serde(rename = "L")]
    Leaving,
    /// Runs of a batch may outlast their owner. Other entries must not start the batch before these
    /// runs end. This and the following are sent only to entries of protocol 2 and later.
    #[serde(rename = "R")]
    RunsLeft(RunsNotice),
    /// The runs of a [`AgentNews::RunsLeft`], and of all earlier ones on the same batch and owner,
    /// are over.
    #[serde(rename = "O")]
    RunsOver(RunsNotice),
    /// The agent has read its target's lists, each run has an owner, and those that may outlast their
    /// owners were announced before this. Sent once on a link, only to entries of protocol 4 and later.
    #[serde(rename = "A")]
    RunsListed,
}

impl AgentNews {
    /// The run of the receiver that this is about, if any.
    pub fn run(&self) -> Option<RunKey> {
        match self {
            Self::Ended { key, .. } | Self::NotStarted { key, .. } | Self::Slow { key, .. } => {
                Some(*key)
            }
            _ => None,
        }
    }
}

/// Lowest protocol version that has [`CrashNotice`].
pub const CRASH_NOTICE_PROTOCOL: ProtocolVersion = 1;

/// Identity of an agent, sent in its hello.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentIntro {
    /// Name of the process on its VM.
    pub name: NodeName,
    /// Incarnation of the agent.
    pub life: Incarnation,
    /// Data hall of its VM.
    pub hall: HallName,
    /// Version of the messages that the agent understands.
    #[serde(default, skip_serializing_if = "is_default")]
    pub protocol: ProtocolVersion,
}

/// What a target reports about itself and its incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetInfo {
    /// Identity of the incarnation.
    pub life: TargetIncarnation,
    /// The service that it runs.
    pub service: Arc<str>,
    /// Its total resources.
    pub capacity: Resources,
    /// Its labels, including the rack.
    pub labels: Vec<String>,
    /// Whether the target is leaving and takes no new work.
    pub leaving: bool,
}

/// A packet from an entry to an agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryPacket {
    /// When the entry's lease on its runs lapses, on the agent's clock; the agent then stops them.
    #[serde(rename = "l")]
    pub lease_until: AgentMillis,
    /// When the platform's store last answered the entry, on the agent's clock. The entry has sent
    /// the agent everything that it had learnt from the store by then.
    #[serde(rename = "k", default)]
    pub store_heard: AgentMillis,
    /// Number of tasks that wait at the entry for free resources.
    #[serde(rename = "w")]
    pub waiting: u32,
    /// Orders, executed in sequence.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub orders: Vec<Order>,
}

impl EntryPacket {
    fn kind(&self) -> &'static str {
        if self.orders.is_empty() {
            "heartbeat"
        } else if self.orders.iter().any(|o| matches!(o, Order::Start(_))) {
            "starts"
        } else {
            "orders"
        }
    }
}

/// One order from an entry to an agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Order {
    /// The answer to the agent's hello.
    #[serde(rename = "W")]
    Welcome(Welcome),
    /// Start tasks.
    #[serde(rename = "S")]
    Start(StartOrder),
    /// Stop these runs; the entry waits for the end of each.
    #[serde(rename = "K")]
    Stop(Vec<RunKey>),
    /// Entries that the agent was not told of before.
    #[serde(rename = "N")]
    Entries(Vec<SocketAddr>),
    /// The evacuated halls have changed.
    #[serde(rename = "V")]
    Evacuations(Arc<EvacuatedHalls>),
    /// The sender no longer guarantees the runs of a batch that it had handed over: they are
    /// stopped, and no others start. Only for agents of protocol 1 or later.
    #[serde(rename = "R")]
    Release(BatchId),
    /// The sender has noted the [`AgentNews::RunsLeft`] with these numbers. Ignored; kept so that
    /// packets of entries of older protocols decode.
    #[serde(rename = "H")]
    RunsNoted(Vec<NoticeNumber>),
}

impl Order {
    fn approximate_bytes(&self) -> usize {
        match self {
            Self::Start(_) => 0,
            Self::Stop(runs) => SMALL_ITEM_BYTES + runs.len() * SMALL_ITEM_BYTES,
            Self::Welcome(welcome) => {
                let named = welcome.claims.len() + welcome.entries.len();
                SMALL_ITEM_BYTES * (1 + named)
            }
            Self::Entries(_) | Self::Evacuations(_) | Self::Release(_) => SMALL_ITEM_BYTES,
            Self::RunsNoted(numbers) => {
                SMALL_ITEM_BYTES + numbers.len() * size_of::<NoticeNumber>()
            }
        }
    }
}

/// An entry's answer to an agent's hello: its identity, what it knows and the runs it waits for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// Name of the process on the entry's VM.
    pub name: NodeName,
    /// Incarnation of the entry.
    pub life: Incarnation,
    /// Link addresses of the entries that it knows.
    pub entries: Vec<SocketAddr>,
    /// Runs at this agent that the entry waits for, with the resources of each.
    pub claims: Vec<(RunKey, Resources)>,
    /// Guarantors of those claimed runs that have one.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub guarantors: Vec<(RunKey, Incarnation)>,
    /// The evacuated halls.
    pub evacuations: Arc<EvacuatedHalls>,
    /// Version of the messages that the entry understands.
    #[serde(default, skip_serializing_if = "is_default")]
    pub protocol: ProtocolVersion,
}

/// Tasks of one step to start on one target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StartOrder {
    /// Id of the batch.
    #[serde(rename = "b")]
    pub batch: BatchId,
    /// Index of the step in the batch.
    #[serde(rename = "s")]
    pub step: u16,
    /// The service whose targets may run the tasks.
    #[serde(rename = "v")]
    pub service: Arc<str>,
    /// The payload of every task; `None` if it was sent on this link before.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub payload: Option<Payload>,
    /// Resources that each task takes.
    #[serde(rename = "z")]
    pub size: Resources,
    /// Estimated run time of each task, in milliseconds.
    #[serde(rename = "e")]
    pub estimate_ms: u32,
    /// Latest time for a start, on the agent's clock.
    #[serde(rename = "u")]
    pub start_by: AgentMillis,
    /// Whether the order's only task must run alone on the target, because it is suspected of
    /// crashing targets.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub alone: bool,
    /// Incarnation of the entry that handed the batch over to the sender. The tasks start, and the
    /// runs go on, only while its lease at the agent is valid too.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub guarantor: Option<Incarnation>,
    /// Incarnation of the target that the entry chose by its labels, service and capacity. The tasks
    /// start on no other one. None in orders of older builds.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub target: Option<TargetIncarnation>,
    /// Position of each task in the step, with the number of its run.
    #[serde(rename = "k")]
    pub runs: Vec<(u16, RunNumber)>,
}

impl StartOrder {
    /// Keys of the runs to start.
    pub fn keys(&self) -> impl Iterator<Item = RunKey> {
        let (batch, step) = (self.batch, self.step);
        self.runs.iter().map(move |&(index, run)| {
            let task = TaskKey {
                batch,
                // Batches are not repeated.
                time: 0,
                step,
                index,
            };
            RunKey { task, run }
        })
    }
}

/// A packet between two entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerPacket {
    /// The sender's clock when it wrote the packet.
    #[serde(rename = "t", default, skip_serializing_if = "is_default")]
    pub clock: EntryMillis,
    /// News, in order.
    pub news: Vec<PeerNews>,
}

impl PeerPacket {
    fn kind(&self) -> &'static str {
        let has_config = self.news.iter().any(|n| matches!(n, PeerNews::Config(_)));
        if has_config {
            "configuration"
        } else {
            "between entries"
        }
    }
}

/// One piece of news from one entry to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerNews {
    /// The first news on every link, sent by both sides.
    Hello(PeerIntro),
    /// A configuration version newer than the one that the receiver is known to hold.
    ConfigVersion(ConfigVersion),
    /// Asks the receiver for its configuration.
    WantConfig,
    /// The configuration, in answer to [`PeerNews::WantConfig`].
    Config(Arc<QueueTable>),
    /// The evacuated halls, as of a later store position than the receiver is known to have.
    Evacuations(Arc<EvacuatedHalls>),
    /// Entries that the receiver was not told of before.
    Entries(Vec<SocketAddr>),
    /// [`PeerNews::RunsLeft`] for entries of protocol 1 or less.
    Closing(ClosingBatch),
    /// [`PeerNews::RunsOver`] for entries of protocol 1 or less.
    Closed(ClosingBatch),
    /// A target crashed during a run. Only for entries of protocol 1 or more.
    Crashed(CrashNotice),
    /// Sent on an idle link to show that the sender is alive.
    Heartbeat,
    /// The sender's load. Sent to processes of protocol 1 and later.
    Load(EntryLoadReport),
    /// Offers a batch to the receiver. This and the following are sent only to processes of
    /// protocol 1 and later.
    HandOver(Box<HandOver>),
    /// The receiver's answer to an offer.
    HandOverReply(HandOverReply),
    /// The giver waits for no answer to its offer of this number any more: the receiver starts no
    /// task of the batch and stops its runs.
    HandOverEnd(HandOverNumber),
    /// No run is left of the ended batch of this number, and none will start.
    HandOverClosed(HandOverNumber),
    /// Runs of a batch may be left whose caller may retry at another entry, which must not start the
    /// batch before these runs end. This and the following are sent only to processes of protocol 2
    /// and later.
    RunsLeft(RunsNotice),
    /// The runs of a [`PeerNews::RunsLeft`], and of all earlier ones on the same batch and owner from
    /// the same process, are over.
    RunsOver(RunsNotice),
    /// A caller has cancelled a batch: it is closed, and starts nowhere. Sent only to processes of
    /// protocol 3 and later.
    Cancelled(CancelNotice),
    /// The sender holds batches, or is about to order tasks of them. Sent only to processes of protocol 4
    /// and later.
    Dispatched(DispatchNotice),
    /// Asks for batches whose callers may be at another entry by now. This and the following are sent only
    /// to processes of protocol 5 and later.
    Claim(ClaimNotice),
    /// The answer to [`PeerNews::Claim`].
    ClaimReply(ClaimReply),
    /// The caller of this batch has come to another entry since it came to the receiver.
    Superseded(BatchId),
}

/// Lowest protocol version of entries that understand [`ClaimNotice`].
pub const CLAIM_PROTOCOL: ProtocolVersion = 5;

/// Number of a claim notice, rising within one incarnation of the entry that sends it.
pub type ClaimNumber = u64;

/// Asks a witness whether another entry may hold batches. The sender starts none of them before the answer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimNotice {
    /// Number of the notice.
    #[serde(rename = "n")]
    pub number: ClaimNumber,
    /// Batches of which the receiver is the first witness. It grants one to no other entry for a while.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub claims: Vec<BatchId>,
    /// Batches of which another entry is the first witness.
    #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
    pub checks: Vec<BatchId>,
}

/// A witness's answer to a [`ClaimNotice`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimReply {
    /// Number of the notice.
    #[serde(rename = "n")]
    pub number: ClaimNumber,
    /// Batches that another entry may hold. The witness knows of no other holder of the rest.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub held: Vec<BatchId>,
}

/// Lowest protocol version that has [`DispatchNotice`] and [`AgentNews::RunsListed`].
pub const DISPATCH_NOTICE_PROTOCOL: ProtocolVersion = 4;

/// Tells an entry, the witness, which agents may have runs of the sender's batches.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchNotice {
    /// Batches that are held, or of which tasks are about to be ordered.
    #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
    pub batches: Vec<DispatchedBatch>,
    /// Batches of earlier notices that have ended. No run of them is left.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<BatchId>,
}

/// A batch and the agents that may have runs of it from now on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "(BatchId, Vec<NodeName>)", from = "(BatchId, Vec<NodeName>)")]
pub struct DispatchedBatch {
    /// Id of the batch.
    pub batch: BatchId,
    /// Names of the agents, without those that were named before.
    pub agents: Vec<NodeName>,
}

impl From<DispatchedBatch> for (BatchId, Vec<NodeName>) {
    fn from(dispatched: DispatchedBatch) -> Self {
        (dispatched.batch, dispatched.agents)
    }
}

impl From<(BatchId, Vec<NodeName>)> for DispatchedBatch {
    fn from((batch, agents): (BatchId, Vec<NodeName>)) -> Self {
        Self { batch, agents }
    }
}

/// Number of an offer, unique for one incarnation of the giver.
pub type HandOverNumber = u64;

/// A new batch that its entry, the giver, offers to another entry, the receiver.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HandOver {
    /// Number of the offer.
    #[serde(rename = "n")]
    pub number: HandOverNumber,
    /// Id of the batch.
    #[serde(rename = "b")]
    pub batch: BatchId,
    /// Host named in the request.
    #[serde(rename = "h")]
    pub host: String,
    /// Path named in the request.
    #[serde(rename = "q")]
    pub path: String,
    /// Steps of the batch.
    #[serde(rename = "s")]
    pub steps: Vec<StepSpec>,
    /// Payload of every task.
    #[serde(rename = "p")]
    pub payload: Payload,
    /// How long the caller still waits, in milliseconds.
    #[serde(rename = "w")]
    pub timeout_ms: u32,
    /// How long ago the caller sent the batch for the first time, in milliseconds, as far as the
    /// giver knows.
    #[serde(rename = "a")]
    pub age_ms: u32,
    /// For how long from the offer no other entry can have been given the batch by its caller, in
    /// milliseconds.
    #[serde(rename = "x", default, skip_serializing_if = "is_default")]
    pub proven_ms: u32,
    /// The caller's id of its request, for the log.
    #[serde(rename = "r")]
    pub request: Arc<str>,
    /// Latest time for taking the batch, on the receiver's clock.
    #[serde(rename = "u")]
    pub start_by: EntryMillis,
}

/// A receiver's answer to an offer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOverReply {
    /// Number of the offer.
    #[serde(rename = "n")]
    pub number: HandOverNumber,
    /// What became of the batch.
    #[serde(rename = "o")]
    pub outcome: HandOverOutcome,
    /// Whether runs of the batch are still being stopped. [`PeerNews::HandOverClosed`] follows.
    #[serde(rename = "l", default, skip_serializing_if = "is_default")]
    pub has_runs: bool,
}

/// What became of a batch that was offered to another entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandOverOutcome {
    /// The receiver does not take the batch. Nothing of it ran or will run there.
    Declined(HandOverDecline),
    /// Every task succeeded.
    Succeeded,
    /// A task used up its attempts.
    Failed,
    /// A query at the receiver cancelled the batch.
    Cancelled,
    /// The batch was refused for lack of capacity and has not run; the caller may retry after this
    /// time in milliseconds.
    Busy(u32),
    /// The batch was refused because all its targets are evacuated.
    Evacuated,
    /// The batch ran out of time.
    GaveUp,
}

/// Why a receiver declines an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandOverDecline {
    /// It was read after its latest time.
    Late,
    /// The receiver is loaded, or its load is not known.
    Load,
    /// The receiver is shutting down.
    Draining,
    /// The receiver holds the batch, or an earlier run of it may not be over.
    Known,
    /// The receiver has no such queue.
    NoQueue,
    /// The receiver has no target that may get work.
    NoTarget,
}

impl PeerNews {
    fn approximate_bytes(&self) -> usize {
        match self {
            Self::Config(table) => SMALL_ITEM_BYTES + table.queues.len() * QUEUE_BYTES,
            Self::HandOver(offer) => HAND_OVER_BYTES + offer.payload.len(),
            Self::Dispatched(notice) => {
                let names = notice.batches.iter().flat_map(|b| &b.agents);
                let name_bytes: usize = names.map(|name| name.len() + 1).sum();
                let ids = notice.batches.len() + notice.ended.len();
                name_bytes + (ids + 1) * size_of::<BatchId>()
            }
            Self::Claim(notice) => {
                (notice.claims.len() + notice.checks.len() + 1) * size_of::<BatchId>()
            }
            Self::ClaimReply(reply) => (reply.held.len() + 1) * size_of::<BatchId>(),
            _ => SMALL_ITEM_BYTES,
        }
    }
}

/// A target crash during a run, for entries that may get the run's batch next. The run's key and
/// its owner identify the crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNotice {
    /// The run.
    #[serde(rename = "k")]
    pub key: RunKey,
    /// Incarnation of the entry that owned it.
    #[serde(rename = "o")]
    pub owner: Incarnation,
    /// Whether the target had no other run.
    #[serde(rename = "a")]
    pub alone: bool,
    /// Time since the crash was detected, in milliseconds.
    #[serde(rename = "t")]
    pub age_ms: u32,
}

/// Lowest protocol version of entries that understand [`CancelNotice`].
pub const CANCEL_NOTICE_PROTOCOL: ProtocolVersion = 3;

/// Announces that a caller has cancelled a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "(u64, u32)", from = "(u64, u32)")]
pub struct CancelNotice {
    /// Id of the batch.
    pub batch: BatchId,
    /// Time since the cancel was acknowledged, in milliseconds.
    pub age_ms: u32,
}

impl From<CancelNotice> for (u64, u32) {
    fn from(notice: CancelNotice) -> Self {
        (notice.batch, notice.age_ms)
    }
}

impl From<(u64, u32)> for CancelNotice {
    fn from((batch, age_ms): (u64, u32)) -> Self {
        Self { batch, age_ms }
    }
}

/// Number of a notice, rising within one incarnation of the process that announces it.
pub type NoticeNumber = u64;

/// Stands for the number of a notice of an older build, which numbers none.
pub const UNNUMBERED: NoticeNumber = 0;

/// Lowest protocol version that has [`RunsNotice`].
pub const RUNS_NOTICE_PROTOCOL: ProtocolVersion = 2;

/// Announces that runs of a batch may be left. The number tells apart several notices on one batch
/// from the same process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "(u64, u64, u64, u64)", from = "(u64, u64, u64, u64)")]
pub struct RunsNotice {
    /// Id of the batch.
    pub batch: BatchId,
    /// Incarnation of the process that announces it: the owner, or an agent.
    pub holder: Incarnation,
    /// Incarnation of the entry that owns the runs.
    pub owner: Incarnation,
    /// Number of the notice.
    pub number: NoticeNumber,
}

impl From<RunsNotice> for (u64, u64, u64, u64) {
    fn from(notice: RunsNotice) -> Self {
        (notice.batch, notice.holder, notice.owner, notice.number)
    }
}

impl From<(u64, u64, u64, u64)> for RunsNotice {
    fn from((batch, holder, owner, number): (u64, u64, u64, u64)) -> Self {
        Self {
            batch,
            holder,
            owner,
            number,
        }
    }
}

impl From<ClosingBatch> for RunsNotice {
    fn from(closing: ClosingBatch) -> Self {
        let ClosingBatch { batch, entry } = closing;
        Self {
            batch,
            holder: entry,
            owner: entry,
            number: UNNUMBERED,
        }
    }
}

impl From<RunsNotice> for ClosingBatch {
    fn from(notice: RunsNotice) -> Self {
        Self {
            batch: notice.batch,
            entry: notice.holder,
        }
    }
}

/// A batch that an entry is closing, as processes of protocol 1 or less announce it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "(u64, u64)", from = "(u64, u64)")]
pub struct ClosingBatch {
    /// Id of the batch.
    pub batch: BatchId,
    /// Incarnation of the entry that closes it.
    pub entry: Incarnation,
}

impl From<ClosingBatch> for (u64, u64) {
    fn from(closing: ClosingBatch) -> Self {
        (closing.batch, closing.entry)
    }
}

impl From<(u64, u64)> for ClosingBatch {
    fn from((batch, entry): (u64, u64)) -> Self {
        Self { batch, entry }
    }
}

/// Identity of an entry and what it knows, sent in its hello.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerIntro {
    /// Name of the process on its VM.
    pub name: NodeName,
    /// Incarnation of the entry.
    pub life: Incarnation,
    /// Address at which it accepts links.
    pub address: SocketAddr,
    /// Version of the configuration that it holds.
    pub config: ConfigVersion,
    /// Store position up to which it knows the evacuations.
    pub evacuations: StorePosition,
    /// Entries that it knows.
    pub entries: Vec<SocketAddr>,
    /// Version of the messages that it understands.
    #[serde(default, skip_serializing_if = "is_default")]
    pub protocol: ProtocolVersion,
    /// Share of a core that its process may use, in thousandths; 0 if not known.
    #[serde(default, skip_serializing_if = "is_default")]
    pub processor_millis: u32,
    /// Data hall of its VM; empty if not known.
    #[serde(default, skip_serializing_if = "is_default")]
    pub hall: HallName,
}
