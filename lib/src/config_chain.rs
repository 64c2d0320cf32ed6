//! Which configuration is in force, from the platform's log and from peers.
//!
//! The log is a total order. A change record names the version that it replaces and takes
//! effect only if that is the head when the log reaches it; so all who have read the log to the
//! same offset hold the same head. A [`ConfigState`] is a head together with the offset up to
//! which it is exact. States only ever move to a higher version, which is why nothing reverts.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::config_document::Document;
use crate::ids::Now;

/// Position in the platform's log.
pub type LogOffset = u64;
/// Count of changes since the empty configuration.
pub type ConfigVersion = u64;
/// First half of the SHA-256 of a document's canonical text.
pub type ConfigDigest = u64;

/// Names one configuration.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
pub struct ConfigStamp {
    /// Its version.
    #[serde(rename = "v")]
    pub version: ConfigVersion,
    /// Its digest.
    #[serde(rename = "d")]
    pub digest: ConfigDigest,
}

/// A configuration and up to where in the log it is known to be the head.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigState {
    /// Which one.
    pub stamp: ConfigStamp,
    /// Canonical text of the document.
    pub text: Arc<str>,
    /// Every record below this offset has been taken into account.
    pub read_to: LogOffset,
}

/// What trestleknot writes to the platform's log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum LogRecord {
    /// An operator's change.
    Change {
        /// Drawn at random by the writer, who finds its own record by it.
        nonce: u64,
        /// The configuration that it replaces.
        replaces: ConfigStamp,
        /// The new one.
        text: Arc<str>,
        /// Who wrote it, for people.
        author: String,
    },
    /// The head, written again before retention drops it.
    Snapshot {
        /// The head and where it was exact.
        state: ConfigState,
    },
}

/// A record and where it stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Offset in the log.
    pub offset: LogOffset,
    /// The record, or none for a record that is not ours to read.
    pub record: Option<LogRecord>,
}

/// What one read of the log returned.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogBatch {
    /// Where the read began: the offset asked for, or the oldest that is still kept.
    pub from: LogOffset,
    /// The oldest offset that is still kept.
    pub oldest: LogOffset,
    /// Records in order.
    pub records: Vec<StoredRecord>,
    /// Where to read on.
    pub next: LogOffset,
    /// Offset that the next append gets.
    pub end: LogOffset,
}

/// The fate of one change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeFate {
    /// It became the head.
    InForce(ConfigStamp),
    /// Another change had replaced the same version before.
    LostRace {
        /// The head that it met.
        head: ConfigStamp,
    },
}

/// A change that was reached while reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeenChange {
    /// Nonce of its writer.
    pub nonce: u64,
    /// What became of it.
    pub fate: ChangeFate,
}

/// What taking over a state changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Adopted {
    /// The head moved forward.
    Newer,
    /// The head is the same, but known to be exact further on.
    Extended,
    /// Nothing.
    Nothing,
}

/// Follows the log.
#[derive(Debug, Default)]
pub struct ConfigChain {
    held: Option<Held>,
    newest_known: ConfigStamp,
    /// Offset and time of the newest record that holds the head.
    anchor: Option<LogOffset>,
    anchored_at: Now,
    oldest: LogOffset,
    read_from: LogOffset,
    gap: Option<Gap>,
}

/// Records that expired before they were read.
#[derive(Debug)]
struct Gap {
    kept_from: LogOffset,
    since: Now,
}

#[derive(Debug)]
struct Held {
    state: ConfigState,
    document: Arc<Document>,
}

/// Stamp of a document's canonical text at a version.
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
    /// Whether the text is the one that the stamp names. Version 0 is the empty configuration.
    fn is_sound(&self) -> bool {
        self.stamp == ConfigStamp::default()
            || stamp_of(self.stamp.version, &self.text) == self.stamp
    }
}

impl ConfigChain {
    /// Where the next read of the log begins.
    pub fn read_from(&self) -> LogOffset {
        self.read_from
    }

    /// The configuration in force as far as is known here.
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.held.as_ref().map(|h| &h.document)
    }

    /// Its state, for peers and snapshots.
    pub fn state(&self) -> Option<&ConfigState> {
        self.held.as_ref().map(|h| &h.state)
    }

    /// Its stamp; version 0 while none is held.
    pub fn stamp(&self) -> ConfigStamp {
        self.state().map(|s| s.stamp).unwrap_or_default()
    }

    /// Takes in that somebody holds or has heard of a configuration.
    pub fn heard_of(&mut self, stamp: ConfigStamp) {
        if stamp.version > self.newest_known.version {
            self.newest_known = stamp;
        }
    }

    /// Newest configuration heard of.
    pub fn newest_known(&self) -> ConfigStamp {
        self.newest_known.max(self.stamp())
    }

    /// Whether a configuration is held and none newer is known of.
    pub fn is_current(&self) -> bool {
        self.held.is_some() && !self.has_gap() && self.stamp().version >= self.newest_known.version
    }

    /// Takes over a state from a peer or a snapshot.
    pub fn adopt(&mut self, state: &ConfigState) -> Adopted {
        let newer = match &self.held {
            None => true,
            Some(held) => state.stamp.version > held.state.stamp.version,
        };
        if newer && state.is_sound() && self.install(state.clone()) {
            return Adopted::Newer;
        }
        if let Some(held) = &mut self.held
            && held.state.stamp == state.stamp
            && held.state.read_to < state.read_to
        {
            held.state.read_to = state.read_to;
            self.read_from = state.read_to;
            return Adopted::Extended;
        }
        Adopted::Nothing
    }

    fn install(&mut self, state: ConfigState) -> bool {
        let Ok(document) = Document::parse("log", &state.text) else {
            return false;
        };
        self.heard_of(state.stamp);
        self.read_from = state.read_to;
        self.anchor = None;
        self.held = Some(Held {
            document: Arc::new(document),
            state,
        });
        true
    }

    /// Takes in a read of the log. Returns the changes that it decided.
    ///
    /// If records between what is held and what is kept have expired, the held state can't be
    /// carried forward by the log; then a snapshot or a peer must, see [`Self::has_gap`].
    pub fn read(&mut self, batch: &LogBatch, now: Now) -> Vec<SeenChange> {
        if self.held.is_none() && batch.from == 0 {
            self.install(empty_state());
        }
        self.oldest = batch.oldest;
        let mut seen = Vec::new();
        let mut at = 0;
        while let Some(stored) = batch.records.get(at) {
            let adopted = self.read_record(stored, batch.from, now, &mut seen);
            // Records between the snapshot's state and the snapshot have to be read again.
            at = if adopted == Adopted::Nothing {
                at + 1
            } else {
                0
            };
        }
        self.read_from = self.read_from.max(batch.next);
        self.note_read_to(batch, now);
        seen
    }

    fn note_read_to(&mut self, batch: &LogBatch, now: Now) {
        let Some(held) = &mut self.held else {
            return;
        };
        if held.state.read_to >= batch.from {
            held.state.read_to = held.state.read_to.max(batch.next);
            self.gap = None;
        } else if self.gap.is_none() {
            self.gap = Some(Gap {
                kept_from: batch.from,
                since: now,
            });
        }
    }

    /// Whether records expired unread, so that a change may have been missed.
    pub fn has_gap(&self) -> bool {
        match (&self.gap, self.state()) {
            (Some(gap), Some(state)) => state.read_to < gap.kept_from,
            _ => false,
        }
    }

    /// Ends a gap that nobody could fill for `patience`: no peer and no snapshot knows better,
    /// so what is held is the newest that still exists.
    pub fn close_old_gap(&mut self, now: Now, patience: std::time::Duration) {
        let Some(gap) = &self.gap else {
            return;
        };
        if now.saturating_sub(gap.since) < patience {
            return;
        }
        if let Some(held) = &mut self.held {
            held.state.read_to = held.state.read_to.max(gap.kept_from);
            self.read_from = held.state.read_to;
        }
        self.gap = None;
    }

    /// Reads one record. Returns what a snapshot changed.
    fn read_record(
        &mut self,
        stored: &StoredRecord,
        from: LogOffset,
        now: Now,
        seen: &mut Vec<SeenChange>,
    ) -> Adopted {
        match &stored.record {
            Some(LogRecord::Change {
                nonce,
                replaces,
                text,
                ..
            }) => {
                if let Some(fate) = self.read_change(stored.offset, from, *replaces, text) {
                    if matches!(fate, ChangeFate::InForce(_)) {
                        self.set_anchor(stored.offset, now);
                    }
                    let nonce = *nonce;
                    seen.push(SeenChange { nonce, fate });
                }
                Adopted::Nothing
            }
            Some(LogRecord::Snapshot { state }) => {
                let usable = state.read_to >= from;
                let adopted = if usable {
                    self.adopt(state)
                } else {
                    Adopted::Nothing
                };
                if state.stamp == self.stamp() {
                    self.set_anchor(stored.offset, now);
                }
                adopted
            }
            None => Adopted::Nothing,
        }
    }

    fn set_anchor(&mut self, offset: LogOffset, now: Now) {
        self.anchor = Some(offset);
        self.anchored_at = now;
    }

    /// Applies a change if the held state is exact up to it.
    fn read_change(
        &mut self,
        offset: LogOffset,
        from: LogOffset,
        replaces: ConfigStamp,
        text: &Arc<str>,
    ) -> Option<ChangeFate> {
        let state = &self.held.as_ref()?.state;
        if offset < state.read_to || state.read_to < from {
            return None;
        }
        let head = state.stamp;
        let stamp = stamp_of(head.version + 1, text);
        let next = ConfigState {
            stamp,
            text: text.clone(),
            read_to: offset + 1,
        };
        if replaces == head && self.install(next) {
            return Some(ChangeFate::InForce(stamp));
        }
        if let Some(held) = &mut self.held {
            held.state.read_to = offset + 1;
        }
        Some(ChangeFate::LostRace { head })
    }

    /// Whether the head was last written to the log so long ago that retention may drop it, or
    /// has dropped out of it already.
    pub fn needs_snapshot(&self, now: Now, every: std::time::Duration) -> bool {
        let held = self
            .held
            .as_ref()
            .is_some_and(|h| h.state.stamp.version > 0);
        let expired = self.anchor.is_none_or(|anchor| anchor < self.oldest);
        held && (expired || now.saturating_sub(self.anchored_at) >= every)
    }

    /// Puts the next snapshot off, because one was just sent.
    pub fn snapshot_sent(&mut self, now: Now) {
        self.anchor = Some(self.read_from);
        self.anchored_at = now;
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
