//! Applies a configuration by compare-and-set on the log. The outcome is learned by reading the
//! log, because the response to the append may be lost. The head is the configuration in force.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::BootInstant;
use crate::config_chain::{ChangeOutcome, ConfigChain, ConfigState, LogRecord, SeenChange};
use crate::config_document::Document;
use crate::platform::{LogService, PlatformResult};

/// Delay between reads until the change appears in the log.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A configuration change to apply.
#[derive(Debug, Clone)]
pub struct Change {
    /// Canonical text of the document.
    pub text: Arc<str>,
    /// Random number that identifies the record in the log.
    pub nonce: u64,
    /// Author of the change.
    pub author: String,
    /// How long to wait for the record to appear in the log.
    pub timeout: Duration,
}

/// Outcome of a change, as far as it is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The change is in force.
    InForce { version: u64 },
    /// The same document is in force already; nothing was written.
    Unchanged { version: u64 },
    /// Another change was appended first. This one has no effect and never will.
    LostRace {
        /// The version in force when the change reached the log.
        head: u64,
    },
    /// The change was not sent, because the log could not be read or no longer holds the
    /// configuration in force.
    NotWritten { cause: String },
    /// The change was sent but did not appear in the log in time. It may still take effect.
    Unknown { cause: String },
}

/// Reads the log to its end and returns the configuration in force. Returns None if the log no
/// longer holds it.
pub async fn read_head(log: &dyn LogService) -> PlatformResult<Option<ConfigState>> {
    let mut follower = LogFollower::default();
    follower.catch_up(log).await?;
    Ok(follower.chain.state().cloned())
}

#[derive(Default)]
struct LogFollower {
    chain: ConfigChain,
}

impl LogFollower {
    async fn catch_up(&mut self, log: &dyn LogService) -> PlatformResult<Vec<SeenChange>> {
        let mut seen = Vec::new();
        loop {
            let batch = log.read(self.chain.read_from()).await?;
            let at_end = batch.next >= batch.end;
            // The time matters only for gaps and snapshots, which aren't handled here.
            seen.extend(self.chain.read(&batch, Duration::ZERO));
            if at_end {
                return Ok(seen);
            }
        }
    }
}

/// Applies a change on top of the configuration in force.
pub async fn apply(log: &dyn LogService, change: Change) -> ApplyOutcome {
    let mut follower = LogFollower::default();
    if let Err(e) = follower.catch_up(log).await {
        let cause = e.to_string();
        return ApplyOutcome::NotWritten { cause };
    }
    let Some(head) = follower.chain.state().cloned() else {
        let cause = "the log no longer holds the configuration in force; an entry writes it again \
                     within its `snapshot_every_ms`"
            .to_owned();
        return ApplyOutcome::NotWritten { cause };
    };
    if head.text == change.text && head.stamp.version > 0 {
        let version = head.stamp.version;
        return ApplyOutcome::Unchanged { version };
    }
    let record = LogRecord::Change {
        nonce: change.nonce,
        replaces: head.stamp,
        text: change.text.clone(),
        author: change.author.clone(),
    };
    // The response only gives the cause for `Unknown`: the record may be written although it was
    // lost.
    let reply = log.append(record).await;
    let cause = match reply {
        Ok(_) => "the record did not appear in the log".to_owned(),
        Err(e) => e.to_string(),
    };
    await_outcome(&mut follower, log, &change)
        .await
        .unwrap_or(ApplyOutcome::Unknown { cause })
}

async fn await_outcome(
    follower: &mut LogFollower,
    log: &dyn LogService,
    change: &Change,
) -> Option<ApplyOutcome> {
    let began = BootInstant::now();
    loop {
        let seen = follower.catch_up(log).await.unwrap_or_default();
        if let Some(own_change) = seen.iter().find(|s| s.nonce == change.nonce) {
            return Some(match own_change.outcome {
                ChangeOutcome::InForce(stamp) => ApplyOutcome::InForce {
                    version: stamp.version,
                },
                ChangeOutcome::LostRace { head } => ApplyOutcome::LostRace { head: head.version },
            });
        }
        if began.elapsed() >= change.timeout {
            return None;
        }
        ntex::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the document in force, or an empty one if there is none or it can't be parsed.
pub fn document_of(state: Option<&ConfigState>) -> Document {
    state
        .and_then(|s| Document::parse("log", &s.text).ok())
        .unwrap_or_default()
}
