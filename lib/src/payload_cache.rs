//! Payloads that entries have sent to an agent.
//!
//! A batch whose tasks find their places one after the other needs its payload once at each target.
//! An entry names a batch whose payload it has sent on the same link before; the agent says so if it
//! has forgotten it, and the entry sends it again.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::ids::SessionId;
use crate::run::BatchId;

/// Payloads kept: what a target of ten places that ends a task every 20 ms gets in some five seconds.
const MOST_KEPT: usize = 256;

#[derive(Debug)]
struct Kept {
    link: SessionId,
    batch: BatchId,
    payload: Arc<str>,
}

/// See the module.
#[derive(Debug, Default)]
pub struct PayloadCache {
    /// Those used last stand last.
    kept: VecDeque<Kept>,
}

impl PayloadCache {
    /// Keeps a payload that came on a link.
    pub fn keep(&mut self, link: SessionId, batch: BatchId, payload: &Arc<str>) {
        self.take(link, batch);
        if self.kept.len() >= MOST_KEPT {
            self.kept.pop_front();
        }
        let payload = payload.clone();
        self.kept.push_back(Kept {
            link,
            batch,
            payload,
        });
    }

    fn take(&mut self, link: SessionId, batch: BatchId) -> Option<Kept> {
        let position = self
            .kept
            .iter()
            .rposition(|k| k.link == link && k.batch == batch)?;
        self.kept.remove(position)
    }

    /// The payload that came on a link for a batch, if it is still known.
    pub fn get(&mut self, link: SessionId, batch: BatchId) -> Option<Arc<str>> {
        let kept = self.take(link, batch)?;
        let payload = kept.payload.clone();
        self.kept.push_back(kept);
        Some(payload)
    }

    /// Forgets what came on a link, for it is gone.
    pub fn forget(&mut self, link: SessionId) {
        self.kept.retain(|k| k.link != link);
    }
}
