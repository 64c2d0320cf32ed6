//! Records of the platform's VM list. The list may lag behind the actual state.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Name of the entry or agent on a VM, as in that process's settings.
pub type VmName = Arc<str>;

/// A VM in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// Name of the entry or agent on the VM.
    pub name: VmName,
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
    /// What the VM runs is not known; the record only shows that the VM exists.
    #[serde(other)]
    Unknown,
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
