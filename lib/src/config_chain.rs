//! Determines the configuration in force from the platform's log and from peers.
//!
//! The log is totally ordered. The head is the configuration that the last effective change
//! installed. A change names the configuration that it replaces and takes effect only if that one is
//! the head at the offset of the change. All processes that have read the log to the same offset
//! therefore have the same head. The version of the held state never decreases.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::config_document::Document;
use crate::ids::Now;

/// Offset of a record in the platform's log.
pub type LogOffset = u64;
/// Number of changes since the empty configuration.
pub type ConfigVersion = u64;
/// First half of the SHA-256 of a document's canonical text.
pub type ConfigDigest = u64;

/// Identifies one configuration.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
pub struct ConfigStamp {
    /// Version of the configuration.
    #[serde(rename = "v")]
    pub version: ConfigVersion,
    /// Digest of the configuration.
    #[serde(rename = "d")]
    pub digest: ConfigDigest,
}

/// A configuration and the log offset up to which it is known to be the head.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigState {
    /// Stamp of the configuration.
    pub stamp: ConfigStamp,
    /// Canonical text of the document.
    pub text: Arc<str>,
    /// All records below this offset are taken into account.
    pub read_to: LogOffset,
}

/// A record that trestleknot writes to the platform's log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum LogRecord {
    /// An operator's change.
    Change {
        /// Random number by which the writer recognizes its own record.
        nonce: u64,
        /// Stamp of the configuration that the change replaces.
        replaces: ConfigStamp,
        /// Canonical text of the new document.
        text: Arc<str>,
        /// Author of the change, for display only.
        author: String,
    },
    /// A copy of the head, written from time to time so that the log always contains one.
    Snapshot {
        /// The state that the writer held.
        state: ConfigState,
    },
}

/// A record with its offset in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Offset in the log.
    pub offset: LogOffset,
    /// The record, or none if it is not one of trestleknot's.
    pub record: Option<LogRecord>,
}

/// Result of one read of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogBatch {
    /// Offset at which the read began: the requested one, or the oldest retained one if that is
    /// higher.
    pub from: LogOffset,
    /// The oldest retained offset.
    pub oldest: LogOffset,
    /// Records in the order of their offsets.
    pub records: Vec<StoredRecord>,
    /// Offset at which the next read begins.
    pub next: LogOffset,
    /// Offset of the next record to be appended.
    pub end: LogOffset,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change became the head.
    InForce(ConfigStamp),
    /// The configuration that the change replaces was not the head any more.
    LostRace {
        /// The head at the offset of the change.
        head: ConfigStamp,
    },
}

/// A change that was decided by reading the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeenChange {
    /// Nonce of the change's record.
    pub nonce: u64,
    /// Outcome of the change.
    pub outcome: ChangeOutcome,
}

/// Result of adopting a state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdoptOutcome {
    /// The head was replaced by a newer one.
    Newer,
    /// The head is unchanged, but known to be exact up to a higher offset.
    Extended,
    /// Nothing changed.
    Nothing,
}

/// Follows the log and holds the newest configuration that it has read or adopted.
#[derive(Debug, Default)]
pub struct ConfigChain {
    held: Option<HeldConfig>,
    newest_known: ConfigStamp,
    /// Offset of the newest record that contains the head.
    head_offset: Option<LogOffset>,
    /// When that record was read, or a snapshot sent.
    head_written_at: Now,
    oldest: LogOffset,
    read_from: LogOffset,
    gap: Option<Gap>,
}

/// A range of records that expired before they were read.
#[derive(Debug)]
struct Gap {
    /// Oldest offset that could be read after the gap.
    readable_from: LogOffset,
    since: Now,
}

#[derive(Debug)]
struct HeldConfig {
    state: ConfigState,
    document: Arc<Document>,
}

/// Returns the stamp of a document's canonical text at a version.
pub fn stamp_of(version: ConfigVersion, text: &str) -> ConfigStamp {
    let hash = Sha256::digest(text.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hash[..8]);
    ConfigStamp {
        version,
        digest: u64::from_be_bytes(first),
    }
}

impl ConfigState {
    /// Whether the stamp matches the text. The default stamp stands for the empty configuration and
    /// is always valid.
    fn has_valid_stamp(&self) -> bool {
        self.stamp == ConfigStamp::default()
            || stamp_of(self.stamp.version, &self.text) == self.stamp
    }
}

impl ConfigChain {
    /// Offset at which the next read of the log begins.
    pub fn read_from(&self) -> LogOffset {
        self.read_from
    }

    /// The held configuration, if any.
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.held.as_ref().map(|h| &h.document)
    }

    /// State of the held configuration, for peers and snapshots.
    pub fn state(&self) -> Option<&ConfigState> {
        self.held.as_ref().map(|h| &h.state)
    }

    /// Stamp of the held configuration; version 0 while none is held.
    pub fn stamp(&self) -> ConfigStamp {
        self.state().map(|s| s.stamp).unwrap_or_default()
    }

    /// Records the stamp of a configuration that exists elsewhere.
    pub fn note_known_version(&mut self, stamp: ConfigStamp) {
        if stamp.version > self.newest_known.version {
            self.newest_known = stamp;
        }
    }

    /// Stamp of the newest configuration that is known to exist.
    pub fn newest_known(&self) -> ConfigStamp {
        self.newest_known.max(self.stamp())
    }

    /// Whether a configuration is held, with no gap and no newer one known.
    pub fn is_current(&self) -> bool {
        self.held.is_some() && !self.has_gap() && self.stamp().version >= self.newest_known.version
    }

    /// Adopts a state from a peer or a snapshot if it is newer or exact up to a higher offset.
    pub fn adopt(&mut self, state: &ConfigState) -> AdoptOutcome {
        let newer = match &self.held {
            None => true,
            Some(held) => state.stamp.version > held.state.stamp.version,
        };
        if newer && state.has_valid_stamp() && self.install(state.clone()) {
            return AdoptOutcome::Newer;
        }
        if let Some(held) = &mut self.held
            && held.state.stamp == state.stamp
            && held.state.read_to < state.read_to
        {
            held.state.read_to = state.read_to;
            self.read_from = state.read_to;
            return AdoptOutcome::Extended;
        }
        AdoptOutcome::Nothing
    }

    fn install(&mut self, state: ConfigState) -> bool {
        let Ok(document) = Document::parse("log", &state.text) else {
            return false;
        };
        self.note_known_version(state.stamp);
        self.read_from = state.read_to;
        self.head_offset = None;
        self.held = Some(HeldConfig {
            document: Arc::new(document),
            state,
        });
        true
    }

    /// Applies a read of the log and returns the changes that it decided.
    ///
    /// If records after the held state have expired unread, the log can't bring that state up to
    /// date. A snapshot or a peer has to fill the gap, see [`Self::has_gap`].
    pub fn read(&mut self, batch: &LogBatch, now: Now) -> Vec<SeenChange> {
        if self.held.is_none() && batch.from == 0 {
            self.install(empty_state());
        }
        self.oldest = batch.oldest;
        let mut seen = Vec::new();
        let mut at = 0;
        while let Some(stored) = batch.records.get(at) {
            let adopted = self.read_record(stored, batch.from, now, &mut seen);
            // A snapshot raised the held state. Earlier records of this batch may now follow it, so
            // start again.
            at = if adopted == AdoptOutcome::Nothing {
                at + 1
            } else {
                0
            };
        }
        self.read_from = self.read_from.max(batch.next);
        self.advance_read_to(batch, now);
        seen
    }

    fn advance_read_to(&mut self, batch: &LogBatch, now: Now) {
        let Some(held) = &mut self.held else {
            return;
        };
        if held.state.read_to >= batch.from {
            held.state.read_to = held.state.read_to.max(batch.next);
            self.gap = None;
        } else if self.gap.is_none() {
            self.gap = Some(Gap {
                readable_from: batch.from,
                since: now,
            });
        }
    }

    /// Whether records have expired unread, so that a change may have been missed.
    pub fn has_gap(&self) -> bool {
        match (&self.gap, self.state()) {
            (Some(gap), Some(state)) => state.read_to < gap.readable_from,
            _ => false,
        }
    }

    /// Closes a gap that no peer and no snapshot has filled for `timeout`. The held state then
    /// counts as the head, though a change may have been lost.
    pub fn close_old_gap(&mut self, now: Now, timeout: std::time::Duration) {
        let Some(gap) = &self.gap else {
            return;
        };
        if now.saturating_sub(gap.since) < timeout {
            return;
        }
        if let Some(held) = &mut self.held {
            held.state.read_to = held.state.read_to.max(gap.readable_from);
            self.read_from = held.state.read_to;
        }
        self.gap = None;
    }

    /// Applies one record. Returns what it changed if it is a snapshot.
    fn read_record(
        &mut self,
        stored: &StoredRecord,
        from: LogOffset,
        now: Now,
        seen: &mut Vec<SeenChange>,
    ) -> AdoptOutcome {
        match &stored.record {
            Some(LogRecord::Change {
                nonce,
                replaces,
                text,
                ..
            }) => {
                if let Some(outcome) = self.read_change(stored.offset, from, *replaces, text) {
                    if matches!(outcome, ChangeOutcome::InForce(_)) {
                        self.note_head_record(stored.offset, now);
                    }
                    let nonce = *nonce;
                    seen.push(SeenChange { nonce, outcome });
                }
                AdoptOutcome::Nothing
            }
            Some(LogRecord::Snapshot { state }) => {
                let usable = state.read_to >= from;
                let adopted = if usable {
                    self.adopt(state)
                } else {
                    AdoptOutcome::Nothing
                };
                if state.stamp == self.stamp() {
                    self.note_head_record(stored.offset, now);
                }
                adopted
            }
            None => AdoptOutcome::Nothing,
        }
    }

    fn note_head_record(&mut self, offset: LogOffset, now: Now) {
        self.head_offset = Some(offset);
        self.head_written_at = now;
    }

    /// Applies a change to the held state. Returns none if none is held, if the state already
    /// includes the change or if records between them are missing.
    fn read_change(
        &mut self,
        offset: LogOffset,
        from: LogOffset,
        replaces: ConfigStamp,
        text: &Arc<str>,
    ) -> Option<ChangeOutcome> {
        let state = &self.held.as_ref()?.state;
        if offset < state.read_to || state.read_to < from {
            return None;
        }
        let head = state.stamp;
        let stamp = stamp_of(head.version.saturating_add(1), text);
        let next = ConfigState {
            stamp,
            text: text.clone(),
            read_to: offset.saturating_add(1),
        };
        if replaces == head && self.install(next) {
            return Some(ChangeOutcome::InForce(stamp));
        }
        if let Some(held) = &mut self.held {
            held.state.read_to = offset.saturating_add(1);
        }
        Some(ChangeOutcome::LostRace { head })
    }

    /// Whether the last record with the head is older than `every` or has expired from the log.
    pub fn needs_snapshot(&self, now: Now, every: std::time::Duration) -> bool {
        let held = self
            .held
            .as_ref()
            .is_some_and(|h| h.state.stamp.version > 0);
        let expired = self
            .head_offset
            .is_none_or(|head_offset| head_offset < self.oldest);
        held && (expired || now.saturating_sub(self.head_written_at) >= every)
    }

    /// Records that a snapshot was sent, which delays the next one.
    pub fn snapshot_sent(&mut self, now: Now) {
        // The snapshot's offset is at least this one.
        self.head_offset = Some(self.read_from);
        self.head_written_at = now;
    }
}

fn empty_state() -> ConfigState {
    let text: Arc<str> = Document::default()
        .canonical()
        .unwrap_or_else(|_| "{}".to_owned())
        .into();
    ConfigState {
        stamp: ConfigStamp::default(),
        text,
        read_to: 0,
    }
}
