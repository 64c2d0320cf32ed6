//! The platform's lagging list of VMs.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A VM on the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// Name of the process on it, as in its settings.
    pub name: Arc<str>,
    /// What runs on it.
    pub role: VmRole,
    /// Whether it is leaving.
    pub state: VmState,
    /// Address for agents, for an entry VM.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub agent_address: Option<String>,
}

/// What runs on a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// An entry.
    Entry,
    /// A target with its agent.
    Target,
}

/// State of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In use.
    Live,
    /// To be stopped soon.
    Leaving,
}
