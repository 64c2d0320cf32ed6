//! Messages between entries and agents, and between entries, for batches on the platform.
//!
//! A link is one WebSocket connection; a packet is one message on it. Packets of one link arrive
//! whole and in order, or the link is gone: TCP sees to that. What a lost link leaves open is
//! settled by [`Order::Welcome`], which names every run that the entry still waits for.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::evacuations::{EvacuatedHalls, StorePosition};
use crate::ids::{HallName, Incarnation, NodeName};
use crate::payload::Payload;
use crate::queue::{ConfigVersion, QueueTable};
use crate::resources::Resources;
use crate::run::{BatchId, NotStarted, RunEnd, RunKey, RunNumber, TaskKey};
use crate::target_health::HealthReport;
use crate::target_incarnation::TargetIncarnation;

/// Milliseconds on the clock of one agent's life, from its start.
pub type AgentMillis = u64;

/// What travels on a link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Packet {
    /// From an agent to an entry.
    #[serde(rename = "A")]
    FromAgent(AgentPacket),
    /// From an entry to an agent.
    #[serde(rename = "E")]
    FromEntry(EntryPacket),
    /// Between entries.
    #[serde(rename = "P")]
    BetweenEntries(PeerPacket),
}

/// Bytes around a packet: a frame of WebSocket, heads of TCP and IP, fields that every packet has.
const PACKET_BYTES: usize = 70;
/// Bytes of an order or a piece of news without what it carries.
const SMALL_BYTES: usize = 40;
/// Bytes of an order to start without its payload, and of the packet around it.
pub const START_BYTES: usize = 170;
/// Bytes of a queue in a configuration.
const QUEUE_BYTES: usize = 180;

impl Packet {
    /// About how many bytes it takes on a link, without orders to start.
    pub fn rough_bytes(&self) -> usize {
        let content = match self {
            Self::FromAgent(packet) => packet.news.len() * SMALL_BYTES,
            Self::FromEntry(packet) => packet.orders.iter().map(Order::rough_bytes).sum(),
            Self::BetweenEntries(packet) => packet.news.iter().map(PeerNews::rough_bytes).sum(),
        };
        PACKET_BYTES + content
    }

    /// What it is for, for counting what links carry.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::FromAgent(packet) if packet.news.is_empty() => "load",
            Self::FromAgent(_) => "news",
            Self::FromEntry(packet) => packet.kind(),
            Self::BetweenEntries(packet) => packet.kind(),
        }
    }
}

/// What an agent tells an entry. Every packet carries the agent's clock and load, so that any of
/// them serves as a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AgentPacket {
    /// The agent's clock when it wrote this.
    #[serde(rename = "t")]
    pub clock: AgentMillis,
    /// Resources that are free, zero while the target may get no work.
    #[serde(rename = "f")]
    pub free: Resources,
    /// Starts of this entry that `free` takes into account, counted on this link.
    #[serde(rename = "s")]
    pub starts_seen: u64,
    /// How well the target serves.
    #[serde(rename = "h", default)]
    pub health: HealthReport,
    /// News, in order.
    #[serde(rename = "n", default, skip_serializing_if = "Vec::is_empty")]
    pub news: Vec<AgentNews>,
}

/// One piece of news of an agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AgentNews {
    /// First on every link.
    #[serde(rename = "H")]
    Hello(AgentIntro),
    /// The target as it is now known; none while there is none.
    #[serde(rename = "T")]
    Target(Option<TargetInfo>),
    /// A run is over.
    #[serde(rename = "E")]
    Ended {
        /// The run.
        #[serde(rename = "k")]
        key: RunKey,
        /// How it ended.
        #[serde(rename = "e")]
        end: RunEnd,
        /// How long it ran, in milliseconds; 0 if not known.
        #[serde(rename = "r")]
        ran_ms: u32,
    },
    /// An order to start led to no run.
    #[serde(rename = "X")]
    NotStarted {
        /// The run.
        #[serde(rename = "k")]
        key: RunKey,
        /// Why.
        #[serde(rename = "w")]
        reason: NotStarted,
    },
    /// A run is far slower than its estimate.
    #[serde(rename = "S")]
    Slow {
        /// The run.
        #[serde(rename = "k")]
        key: RunKey,
        /// How long it has run, in milliseconds.
        #[serde(rename = "r")]
        ran_ms: u32,
        /// How much of it is done, in percent.
        #[serde(rename = "p")]
        percent: u32,
    },
    /// No new work on this link. Either the agent stops, and its next life adopts what still runs;
    /// or it has links enough and will close this one once nothing of the entry runs there.
    #[serde(rename = "L")]
    Leaving,
}

/// Who an agent is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentIntro {
    /// Name of its VM's process.
    pub name: NodeName,
    /// Its life.
    pub life: Incarnation,
    /// Its data hall.
    pub hall: HallName,
}

/// One life of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetInfo {
    /// The life.
    pub life: TargetIncarnation,
    /// The service that it runs.
    pub service: Arc<str>,
    /// All that it has.
    pub capacity: Resources,
    /// Its labels, the rack among them.
    pub labels: Vec<String>,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// What an entry tells an agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryPacket {
    /// Until when, on the agent's clock, the entry answers for its runs; past it the agent stops
    /// them.
    #[serde(rename = "l")]
    pub lease_until: AgentMillis,
    /// When, on the agent's clock, the entry last heard from the store; all that it heard has been
    /// told on this link.
    #[serde(rename = "k", default)]
    pub store_heard: AgentMillis,
    /// Tasks that wait at the entry for free resources.
    #[serde(rename = "w")]
    pub waiting: u32,
    /// Orders, to be obeyed in turn.
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

/// One order of an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Order {
    /// Answer to a hello.
    #[serde(rename = "W")]
    Welcome(Welcome),
    /// Start tasks.
    #[serde(rename = "S")]
    Start(StartOrder),
    /// Stop these runs; an end of each is awaited.
    #[serde(rename = "K")]
    Stop(Vec<RunKey>),
    /// More entries than the agent was told of before.
    #[serde(rename = "N")]
    Entries(Vec<SocketAddr>),
    /// The evacuated halls have changed.
    #[serde(rename = "V")]
    Evacuations(Arc<EvacuatedHalls>),
}

impl Order {
    fn rough_bytes(&self) -> usize {
        match self {
            Self::Start(_) => 0,
            Self::Stop(runs) => SMALL_BYTES + runs.len() * SMALL_BYTES,
            Self::Welcome(welcome) => {
                let named = welcome.claims.len() + welcome.entries.len();
                SMALL_BYTES * (1 + named)
            }
            Self::Entries(_) | Self::Evacuations(_) => SMALL_BYTES,
        }
    }
}

/// An entry's answer to an agent's hello.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// Name of the entry's VM's process.
    pub name: NodeName,
    /// The entry's life.
    pub life: Incarnation,
    /// Entries that it knows, by the address of their links.
    pub entries: Vec<SocketAddr>,
    /// Runs that it waits for here, with what each takes.
    pub claims: Vec<(RunKey, Resources)>,
    /// Evacuated halls.
    pub evacuations: Arc<EvacuatedHalls>,
}

/// Tasks of one step to start on one target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The batch.
    #[serde(rename = "b")]
    pub batch: BatchId,
    /// The step.
    #[serde(rename = "s")]
    pub step: u16,
    /// The service whose targets may run it.
    #[serde(rename = "v")]
    pub service: Arc<str>,
    /// What every task is given; none if it was sent on this link before.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub payload: Option<Payload>,
    /// What each task takes.
    #[serde(rename = "z")]
    pub size: Resources,
    /// How long each may take, in milliseconds.
    #[serde(rename = "e")]
    pub estimate_ms: u32,
    /// Not to be obeyed later than this, on the agent's clock.
    #[serde(rename = "u")]
    pub start_by: AgentMillis,
    /// Whether the task is to have the target for itself: it is suspected of crashing targets.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub alone: bool,
    /// Position in the step and number of the run.
    #[serde(rename = "k")]
    pub runs: Vec<(u16, RunNumber)>,
}

impl StartOrder {
    /// The runs.
    pub fn keys(&self) -> impl Iterator<Item = RunKey> {
        let (batch, step) = (self.batch, self.step);
        self.runs.iter().map(move |&(index, run)| {
            let task = TaskKey {
                batch,
                time: 0,
                step,
                index,
            };
            RunKey { task, run }
        })
    }
}

/// What entries tell each other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerPacket {
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

/// One piece of news of an entry to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerNews {
    /// First on every link, from both sides.
    Hello(PeerIntro),
    /// The version of a configuration newer than the one that the other is known to hold.
    ConfigVersion(ConfigVersion),
    /// The other is to send its configuration.
    WantConfig,
    /// The configuration, for one who wants it.
    Config(Arc<QueueTable>),
    /// Evacuated halls, as of a later place than the other is known to hold.
    Evacuations(Arc<EvacuatedHalls>),
    /// More entries than the other was told of before.
    Entries(Vec<SocketAddr>),
    /// A batch whose caller has gone while runs of it are out: the caller may come to another entry,
    /// which must not start it before these runs are over.
    Closing(ClosingBatch),
    /// A batch named so before, of which nothing runs any more.
    Closed(ClosingBatch),
    /// Sign of life on a quiet link.
    Heartbeat,
}

impl PeerNews {
    fn rough_bytes(&self) -> usize {
        match self {
            Self::Config(table) => SMALL_BYTES + table.queues.len() * QUEUE_BYTES,
            _ => SMALL_BYTES,
        }
    }
}

/// A batch that an entry is closing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "(u64, u64)", from = "(u64, u64)")]
pub struct ClosingBatch {
    /// The batch.
    pub batch: BatchId,
    /// Life of the entry.
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

/// Who an entry is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerIntro {
    /// Name of its VM's process.
    pub name: NodeName,
    /// Its life.
    pub life: Incarnation,
    /// Address of its links.
    pub address: SocketAddr,
    /// Version of the configuration that it holds.
    pub config: ConfigVersion,
    /// Place in the log up to which it knows the evacuations.
    pub evacuations: StorePosition,
    /// Entries that it knows.
    pub entries: Vec<SocketAddr>,
}
