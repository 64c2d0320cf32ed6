//! Applying a configuration: compare-and-set on the log, whose fate is learned by reading.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::BootInstant;
use crate::config_chain::{ChangeFate, ConfigChain, ConfigState, LogRecord, SeenChange};
use crate::config_document::Document;
use crate::platform::{LogService, PlatformResult};

/// Pause between reads while a change has not shown up yet.
const READ_AGAIN: Duration = Duration::from_millis(100);

/// What to apply.
#[derive(Debug, Clone)]
pub struct Change {
    /// Canonical text of the document.
    pub text: Arc<str>,
    /// Drawn at random, to find the record again.
    pub nonce: u64,
    /// Who applies it.
    pub author: String,
    /// How long to wait for the record to show up in the log.
    pub patience: Duration,
}

/// What became of a change, as far as is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It is in force.
    InForce {
        /// Its version.
        version: u64,
    },
    /// The same document is in force already; nothing was written.
    Unchanged {
        /// Its version.
        version: u64,
    },
    /// Another change came first; this one has no effect and never will.
    LostRace {
        /// The version that came first.
        head: u64,
    },
    /// The log gave no answer before anything was written; nothing was applied.
    NotWritten {
        /// Cause.
        cause: String,
    },
    /// It was sent, but the log does not show it. It may still take effect.
    Unknown {
        /// Cause.
        cause: String,
    },
}

/// Reads the log to its end. None if the log no longer tells which configuration is in force.
pub async fn read_head(log: &dyn LogService) -> PlatformResult<Option<ConfigState>> {
    let mut follower = Follower::default();
    follower.catch_up(log).await?;
    Ok(follower.chain.state().cloned())
}

/// Reads the log and remembers the fates of changes.
#[derive(Default)]
struct Follower {
    chain: ConfigChain,
}

impl Follower {
    async fn catch_up(&mut self, log: &dyn LogService) -> PlatformResult<Vec<SeenChange>> {
        let mut seen = Vec::new();
        loop {
            let batch = log.read(self.chain.read_from()).await?;
            let at_end = batch.next >= batch.end;
            seen.extend(self.chain.read(&batch, Duration::ZERO));
            if at_end {
                return Ok(seen);
            }
        }
    }
}

/// Applies a change on top of the head of the log.
pub async fn apply(log: &dyn LogService, change: Change) -> ApplyOutcome {
    let mut follower = Follower::default();
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
    // The reply may be lost although the record was written, so it decides nothing.
    let reply = log.append(record).await;
    let cause = match reply {
        Ok(_) => "the record does not show up".to_owned(),
        Err(e) => e.to_string(),
    };
    await_fate(&mut follower, log, &change)
        .await
        .unwrap_or(ApplyOutcome::Unknown { cause })
}

async fn await_fate(
    follower: &mut Follower,
    log: &dyn LogService,
    change: &Change,
) -> Option<ApplyOutcome> {
    let began = BootInstant::now();
    loop {
        let seen = follower.catch_up(log).await.unwrap_or_default();
        if let Some(ours) = seen.iter().find(|s| s.nonce == change.nonce) {
            return Some(match ours.fate {
                ChangeFate::InForce(stamp) => ApplyOutcome::InForce {
                    version: stamp.version,
                },
                ChangeFate::LostRace { head } => ApplyOutcome::LostRace { head: head.version },
            });
        }
        if began.elapsed() >= change.patience {
            return None;
        }
        ntex::time::sleep(READ_AGAIN).await;
    }
}

/// The document in force, or the empty one.
pub fn document_of(state: Option<&ConfigState>) -> Document {
    state
        .and_then(|s| Document::parse("log", &s.text).ok())
        .unwrap_or_default()
}
