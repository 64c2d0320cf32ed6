//! The status of an entry and its view of the fleet, as shown to operators.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config_chain::ConfigStamp;
use crate::counters::Counters;
use crate::placement::PlacementMode;

/// An entry's view of itself and of the fleet.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Name from the settings.
    pub name: Arc<str>,
    /// Incarnation of the process, in hexadecimal.
    pub incarnation: String,
    /// Whether the entry is draining.
    pub draining: bool,
    /// Configuration in force at this entry.
    pub config: ConfigStamp,
    /// Newest configuration that this entry knows of.
    pub newest_config: ConfigStamp,
    /// Whether the configuration is current enough to admit jobs.
    pub config_current: bool,
    /// Placement mode.
    pub placement: PlacementMode,
    /// Jobs held.
    pub jobs: u32,
    /// Tasks waiting for a target.
    pub waiting_tasks: u32,
    /// Names of connected entries.
    pub peers: Vec<Arc<str>>,
    /// Targets by name.
    pub targets: Vec<TargetStatus>,
    /// Counters since the start.
    pub counters: Counters,
}

/// A target as an entry sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Name of the VM's process.
    pub name: Arc<str>,
    /// Data hall of the VM.
    pub hall: Arc<str>,
    /// State of the target.
    pub state: TargetState,
    /// Slots of the target.
    pub slots: u32,
    /// Slots lent to this entry.
    pub credits: u32,
    /// Tasks of this entry on it.
    pub in_flight: u32,
    /// Observed run time divided by expected run time.
    pub slowness: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Receives work.
    Live,
    /// Finishes its tasks and receives no new ones.
    Leaving,
    /// Ejected for its failures; receives single probes or nothing.
    SetAside,
    /// Has no session with this entry.
    Unreachable,
}
