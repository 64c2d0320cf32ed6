//! Caches the payloads that entries have sent to an agent.
//!
//! Tasks of one batch may reach a target one after the other, and the payload is sent only with the
//! first. Later orders refer to it by the batch; if the agent no longer has it, the agent says so
//! and the entry sends it again.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::ids::SessionId;
use crate::run::BatchId;

/// Maximum number of cached payloads.
const MAX_PAYLOADS: usize = 256;

#[derive(Debug)]
struct CachedPayload {
    link: SessionId,
    batch: BatchId,
    payload: Arc<str>,
}

/// Least-recently-used cache of payloads by link and batch.
#[derive(Debug, Default)]
pub struct PayloadCache {
    /// Cached payloads, the most recently used last.
    kept: VecDeque<CachedPayload>,
}

impl PayloadCache {
    /// Stores a payload that arrived on a link.
    pub fn keep(&mut self, link: SessionId, batch: BatchId, payload: &Arc<str>) {
        self.take(link, batch);
        if self.kept.len() >= MAX_PAYLOADS {
            self.kept.pop_front();
        }
        let payload = payload.clone();
        self.kept.push_back(CachedPayload {
            link,
            batch,
            payload,
        });
    }

    fn take(&mut self, link: SessionId, batch: BatchId) -> Option<CachedPayload> {
        let position = self
            .kept
            .iter()
            .rposition(|k| k.link == link && k.batch == batch)?;
        self.kept.remove(position)
    }

    /// Returns the payload of a batch that arrived on a link, if it is still cached.
    pub fn get(&mut self, link: SessionId, batch: BatchId) -> Option<Arc<str>> {
        let kept = self.take(link, batch)?;
        let payload = kept.payload.clone();
        self.kept.push_back(kept);
        Some(payload)
    }

    /// Drops the payloads of a closed link.
    pub fn forget(&mut self, link: SessionId) {
        self.kept.retain(|k| k.link != link);
    }
}
