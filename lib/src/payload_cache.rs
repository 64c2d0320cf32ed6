//! Caches the payloads that entries have sent to an agent.
//!
//! Orders of one batch may reach a target one after the other. Only the first contains the payload;
//! later ones state only the batch. If the agent no longer has the payload, it says so, and the
//! entry sends the payload again.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::ids::SessionId;
use crate::run::BatchId;

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
    /// The most recently used last.
    payloads: VecDeque<CachedPayload>,
}

impl PayloadCache {
    /// Stores a payload that arrived on a link.
    pub fn keep(&mut self, link: SessionId, batch: BatchId, payload: &Arc<str>) {
        self.remove(link, batch);
        if self.payloads.len() >= MAX_PAYLOADS {
            self.payloads.pop_front();
        }
        let payload = payload.clone();
        self.payloads.push_back(CachedPayload {
            link,
            batch,
            payload,
        });
    }

    fn remove(&mut self, link: SessionId, batch: BatchId) -> Option<CachedPayload> {
        let position = self
            .payloads
            .iter()
            .rposition(|p| p.link == link && p.batch == batch)?;
        self.payloads.remove(position)
    }

    /// Returns the payload of a batch that arrived on a link, if it is still cached.
    pub fn get(&mut self, link: SessionId, batch: BatchId) -> Option<Arc<str>> {
        let cached = self.remove(link, batch)?;
        let payload = cached.payload.clone();
        self.payloads.push_back(cached);
        Some(payload)
    }

    /// Drops the payloads of a closed link.
    pub fn forget(&mut self, link: SessionId) {
        self.payloads.retain(|p| p.link != link);
    }
}
