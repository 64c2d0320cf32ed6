//! Counters kept by the entry and agent cores and published by the telemetry thread.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Totals since the start of the process.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Counters {
    /// Jobs answered `complete`.
    pub complete: u64,
    /// Jobs answered `failed`.
    pub failed: u64,
    /// Requests answered `refused`.
    pub refused: u64,
    /// Tasks dispatched.
    pub dispatched: u64,
    /// Dispatches that provably never started.
    pub not_started: u64,
    /// Messages sent and received, by kind.
    pub messages: BTreeMap<String, u64>,
    /// Estimated number of messages that served no purpose: about dispatches that were refused or
    /// revoked, slots that were recalled or returned, and tasks of failed jobs.
    pub wasted: u64,
}

/// Kind of messages that only show that the sender is alive.
pub const HEARTBEAT: &str = "heartbeat";

impl Counters {
    /// Counts a message.
    pub fn message(&mut self, kind: &str) {
        if let Some(n) = self.messages.get_mut(kind) {
            *n += 1;
        } else {
            self.messages.insert(kind.to_owned(), 1);
        }
    }

    /// Returns the number of messages, without heartbeats, reports, configuration and the opening
    /// and closing of sessions.
    pub fn task_messages(&self) -> u64 {
        const CONTROL: [&str; 6] = [HEARTBEAT, "report", "config", "hello", "welcome", "goodbye"];
        let task = self.messages.iter();
        task.filter(|(kind, _)| !CONTROL.contains(&kind.as_str()))
            .map(|(_, n)| n)
            .sum()
    }
}

/// Gives messages a kind under which they are counted.
pub trait MessageKind {
    /// Returns the key in [`Counters::messages`].
    fn kind(&self) -> &'static str;
}

impl MessageKind for crate::message::EntryMessage {
    fn kind(&self) -> &'static str {
        match self {
            Self::Welcome(_) => "welcome",
            Self::Dispatch(_) => "dispatch",
            Self::Revoke(_) => "revoke",
            Self::Demand(_) => "demand",
            Self::Reserve(_) => "reserve",
            Self::GiveBack(_) => "give_back",
            Self::Heartbeat { .. } => HEARTBEAT,
            Self::Released { .. } => "released",
            Self::Config(_) => "config",
            Self::Claim(_) => "claim",
            Self::Release(_) => "release",
            Self::Settle { .. } => "settle",
            Self::Goodbye => "goodbye",
        }
    }
}

impl MessageKind for crate::message::AgentMessage {
    fn kind(&self) -> &'static str {
        match self {
            Self::Hello(_) => "hello",
            Self::Reconciled(_) => "reconciled",
            Self::Refused { .. } => "refused",
            Self::Finished { .. } => "finished",
            Self::Lend(_) => "lend",
            Self::Recall(_) => "recall",
            Self::Heartbeat { .. } => HEARTBEAT,
            Self::Claimed { .. } => "claimed",
            Self::Leaving => "leaving",
            Self::Goodbye { .. } => "goodbye",
        }
    }
}

impl MessageKind for crate::message::PeerMessage {
    fn kind(&self) -> &'static str {
        match self {
            Self::Hello(_) => "hello",
            Self::Report(_) => "report",
            Self::FetchConfig | Self::Config(_) => "config",
            Self::CancelJob { .. } => "cancel",
            Self::Goodbye => "goodbye",
        }
    }
}
