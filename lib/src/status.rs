//! What an entry reports of itself and the fleet to operators.

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
    /// This life, in hexadecimal.
    pub incarnation: String,
    /// Whether it is being stopped.
    pub draining: bool,
    /// Configuration held.
    pub config: ConfigStamp,
    /// Newest configuration heard of.
    pub newest_config: ConfigStamp,
    /// Whether it admits jobs as far as the configuration goes.
    pub config_current: bool,
    /// How it places tasks.
    pub placement: PlacementMode,
    /// Jobs held.
    pub jobs: u32,
    /// Tasks that wait.
    pub waiting_tasks: u32,
    /// Names of connected entries.
    pub peers: Vec<Arc<str>>,
    /// Targets by name.
    pub targets: Vec<TargetStatus>,
    /// Counts since the start.
    pub counters: Counters,
}

/// A target as an entry sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Name of the VM's process.
    pub name: Arc<str>,
    /// Data hall.
    pub hall: Arc<str>,
    /// State.
    pub state: TargetState,
    /// Slots of the target.
    pub slots: u32,
    /// Slots lent to this entry.
    pub credits: u32,
    /// Tasks of this entry on it.
    pub in_flight: u32,
    /// Observed run time over expected.
    pub slowness: f64,
}

/// The states of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Gets work.
    Live,
    /// Finishes what it has.
    Leaving,
    /// Gets nothing or single probes for its failures.
    SetAside,
    /// No session now.
    Unreachable,
}
