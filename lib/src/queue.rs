//! The operators' configuration: batch queues, selected by host and path.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::batch::MAX_STATED_TIME;

/// Version of a configuration. Versions increase and may skip numbers.
pub type ConfigVersion = u64;

/// A batch queue: the requests it serves, its service and its objective.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the queue.
    pub name: Arc<str>,
    /// Host that requests must name.
    pub host: String,
    /// Prefix that the request path must have.
    pub path_prefix: String,
    /// The service whose targets run the tasks.
    pub service: Arc<str>,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of one task that fails the batch.
    pub max_attempts: u32,
    /// Factor applied to the batch's critical path to compute its objective.
    pub stretch: f64,
    /// Constant time added to the stretched critical path in the objective.
    pub target_latency: Duration,
    /// Whether only targets named by the platform's advice may run its steps.
    pub needs_advice: bool,
}

impl Queue {
    /// Returns the objective of a batch with this critical path, at most [`MAX_STATED_TIME`]. A
    /// stretch below 0 counts as 0.
    pub fn objective(&self, critical_path: Duration) -> Duration {
        let stretched = critical_path.as_secs_f64() * self.stretch.max(0.0);
        let stretched = Duration::try_from_secs_f64(stretched).unwrap_or(MAX_STATED_TIME);
        let objective = stretched.saturating_add(self.target_latency);
        objective.min(MAX_STATED_TIME)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Largest body in bytes.
    pub body_bytes: usize,
}

/// A complete configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueTable {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// All queues.
    pub queues: Vec<Arc<Queue>>,
    /// Limits on requests.
    pub limits: RequestLimits,
}

impl QueueTable {
    /// Returns the queue with the request's host and the longest matching path prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Queue>> {
        let matching = self
            .queues
            .iter()
            .filter(|q| q.host == host && path.starts_with(&q.path_prefix));
        matching.max_by_key(|q| q.path_prefix.len())
    }
}

/// The configuration in force in one process. Its version never decreases within an incarnation.
#[derive(Debug, Default)]
pub struct ConfigInForce {
    table: Option<Arc<QueueTable>>,
}

impl ConfigInForce {
    /// Adopts `table` if it is newer; returns whether it was.
    pub fn offer(&mut self, table: &Arc<QueueTable>) -> bool {
        let is_newer = table.version > self.version();
        if is_newer {
            self.table = Some(table.clone());
        }
        is_newer
    }

    /// Returns the table in force, if any.
    pub fn table(&self) -> Option<&Arc<QueueTable>> {
        self.table.as_ref()
    }

    /// Returns the version in force, or 0 if there is no configuration yet.
    pub fn version(&self) -> ConfigVersion {
        self.table.as_ref().map_or(0, |t| t.version)
    }
}
