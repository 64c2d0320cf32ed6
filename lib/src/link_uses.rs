//! Counts the batches that are handed over on each link.

use std::collections::BTreeMap;

use crate::ids::{Now, SessionId};

#[derive(Debug)]
struct LinkUse {
    batches: usize,
    /// When the first of these batches was handed over.
    since: Now,
}

/// The links on which batches are handed over.
#[derive(Debug, Default)]
pub struct LinkUses {
    links: BTreeMap<SessionId, LinkUse>,
}

impl LinkUses {
    /// Counts a batch.
    pub fn add(&mut self, now: Now, link: SessionId) {
        let unused = LinkUse {
            batches: 0,
            since: now,
        };
        self.links.entry(link).or_insert(unused).batches += 1;
    }

    /// Uncounts a batch.
    pub fn remove(&mut self, link: SessionId) {
        if let Some(found) = self.links.get_mut(&link) {
            found.batches -= 1;
            if found.batches == 0 {
                self.links.remove(&link);
            }
        }
    }

    /// Whether any batch is handed over on a link.
    pub fn contains(&self, link: SessionId) -> bool {
        self.links.contains_key(&link)
    }

    /// The links with batches, and since when each has had any.
    pub fn iter(&self) -> impl Iterator<Item = (SessionId, Now)> {
        self.links.iter().map(|(link, found)| (*link, found.since))
    }
}
