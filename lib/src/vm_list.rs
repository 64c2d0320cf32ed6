//! Records of the platform's VM list. The list may lag behind the actual state.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A VM in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// Name of the entry or agent on the VM, as in that process's settings.
    pub name: Arc<str>,
    /// What runs on the VM.
    pub role: VmRole,
    /// Whether the VM is about to be stopped.
    pub state: VmState,
    /// Address that agents connect to; set only for entries.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub agent_address: Option<String>,
}

/// What runs on a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// Runs an entry.
    Entry,
    /// Runs a target and its agent.
    Target,
}

/// Whether a VM is about to be stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In use.
    Live,
    /// About to be stopped.
    Leaving,
}
