//! The operators' configuration: queues of batches, by host and path.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Version of a configuration. Versions rise, with gaps.
pub type ConfigVersion = u64;

/// One queue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name.
    pub name: Arc<str>,
    /// Host that callers name.
    pub host: String,
    /// Start of the path.
    pub path_prefix: String,
    /// The service whose targets run the tasks.
    pub service: Arc<str>,
    /// 0 goes first.
    pub priority: u32,
    /// Failed runs of one task after which the batch has failed.
    pub max_attempts: u32,
    /// Factor on the batch's longest chain of work in its objective.
    pub stretch: f64,
    /// Time on top of the stretched work in the objective.
    pub target_latency: Duration,
    /// Whether only targets named by the platform's advice may run its steps.
    pub needs_advice: bool,
}

/// Bounds for requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Largest body in bytes.
    pub body_bytes: usize,
}

/// A whole configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueTable {
    /// Its version.
    pub version: ConfigVersion,
    /// The queues.
    pub queues: Vec<Arc<Queue>>,
    /// Bounds for requests.
    pub limits: RequestLimits,
}

impl QueueTable {
    /// The queue that a request belongs to: same host, longest prefix of the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Queue>> {
        let matching = self
            .queues
            .iter()
            .filter(|q| q.host == host && path.starts_with(&q.path_prefix));
        matching.max_by_key(|q| q.path_prefix.len())
    }
}

/// The configuration in force at one process. It never goes back in one life.
#[derive(Debug, Default)]
pub struct ConfigInForce {
    table: Option<Arc<QueueTable>>,
}

impl ConfigInForce {
    /// Takes a table in force if it is newer; says whether it was.
    pub fn offer(&mut self, table: &Arc<QueueTable>) -> bool {
        let is_newer = table.version > self.version();
        if is_newer {
            self.table = Some(table.clone());
        }
        is_newer
    }

    /// The table, if there is one yet.
    pub fn table(&self) -> Option<&Arc<QueueTable>> {
        self.table.as_ref()
    }

    /// Its version; 0 without one.
    pub fn version(&self) -> ConfigVersion {
        self.table.as_ref().map_or(0, |t| t.version)
    }
}
