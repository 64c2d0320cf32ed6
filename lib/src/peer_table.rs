//! Other entries: their links, the configuration that each holds, and the addresses known.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::evacuations::{EvacuatedHalls, StorePosition};
use crate::ids::{NodeName, Now, SessionId};
use crate::queue::ConfigVersion;
use crate::run_message::{ClosingBatch, PeerIntro, PeerNews};

/// How often a quiet link between entries shows life.
const HEARTBEAT: Duration = Duration::from_millis(1_000);
/// News that begin here and can wait are gathered for so long: most batches that are closed are over
/// within it, so that nothing need be said.
const GATHER: Duration = Duration::from_millis(60);
/// Notices of batches are gathered for so long by each entry that passes them on. Callers whose
/// connection broke come again after 500 ms at the soonest, the least that the settings may say, and
/// every entry must have heard of their batches by then.
const GATHER_PASSED_ON: Duration = Duration::from_millis(10);
/// A link between entries that is silent for so long is closed.
const SILENT_LINK: Duration = Duration::from_millis(3_000);

/// A link to another entry.
#[derive(Debug)]
pub struct Peer {
    /// Its name.
    pub name: NodeName,
    /// Version that it holds, or has been told of.
    pub config: ConfigVersion,
    /// Place in the log up to which it is known to know the evacuations.
    pub evacuations: StorePosition,
    /// When it was last heard.
    pub heard: Now,
    /// When something was last sent.
    pub sent: Now,
    /// News to be sent.
    pub news: Vec<PeerNews>,
    /// When the news are to be sent.
    news_due: Now,
}

impl Peer {
    fn due_at(&self) -> Now {
        if self.news.is_empty() {
            self.sent + HEARTBEAT
        } else {
            self.news_due
        }
    }

    fn add(&mut self, now: Now, news: PeerNews, wait: Duration) {
        let due = now + wait;
        let is_first = self.news.is_empty();
        self.news_due = if is_first {
            due
        } else {
            self.news_due.min(due)
        };
        self.news.push(news);
    }
}

/// See the module.
#[derive(Debug, Default)]
pub struct PeerTable {
    links: BTreeMap<SessionId, Peer>,
    known: BTreeSet<SocketAddr>,
}

impl PeerTable {
    /// Notes addresses of entries; gives those that are new.
    pub fn learn(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) -> Vec<SocketAddr> {
        let addresses = addresses.into_iter();
        addresses.filter(|a| self.known.insert(*a)).collect()
    }

    /// Number of addresses known.
    pub fn count_known(&self) -> usize {
        self.known.len()
    }

    /// All addresses known.
    pub fn known(&self) -> Vec<SocketAddr> {
        self.known.iter().copied().collect()
    }

    /// Notes another entry's hello; says whether the link was unknown.
    pub fn join(&mut self, now: Now, link: SessionId, intro: &PeerIntro) -> bool {
        if let Some(peer) = self.links.get_mut(&link) {
            peer.config = peer.config.max(intro.config);
            peer.evacuations = peer.evacuations.max(intro.evacuations);
            return false;
        }
        let peer = Peer {
            name: intro.name.clone(),
            config: intro.config,
            evacuations: intro.evacuations,
            heard: now,
            sent: now,
            news: Vec::new(),
            news_due: Now::ZERO,
        };
        self.links.insert(link, peer);
        true
    }

    /// Notes that a link is gone.
    pub fn leave(&mut self, link: SessionId) -> Option<Peer> {
        self.links.remove(&link)
    }

    /// Number of entries that a link stands to.
    pub fn linked(&self) -> usize {
        let names: BTreeSet<&NodeName> = self.links.values().map(|p| &p.name).collect();
        names.len()
    }

    /// Notes that something was heard.
    pub fn heard(&mut self, now: Now, link: SessionId) {
        if let Some(peer) = self.links.get_mut(&link) {
            peer.heard = now;
        }
    }

    /// Notes the version that an entry holds.
    pub fn holds(&mut self, link: SessionId, version: ConfigVersion) {
        if let Some(peer) = self.links.get_mut(&link) {
            peer.config = peer.config.max(version);
        }
    }

    /// Notes the place up to which an entry knows the evacuations.
    pub fn knows_evacuations(&mut self, link: SessionId, place: StorePosition) {
        if let Some(peer) = self.links.get_mut(&link) {
            peer.evacuations = peer.evacuations.max(place);
        }
    }

    /// Adds news for one entry, to be sent at once.
    pub fn tell(&mut self, now: Now, link: SessionId, news: PeerNews) {
        if let Some(peer) = self.links.get_mut(&link) {
            peer.add(now, news, Duration::ZERO);
        }
    }

    /// Adds news that begin here for every neighbour, to be sent with others soon.
    pub fn tell_all(&mut self, now: Now, news: &PeerNews) {
        for peer in self.links.values_mut() {
            peer.add(now, news.clone(), GATHER);
        }
    }

    /// Passes news of one neighbour on to the others.
    pub fn pass_on(&mut self, now: Now, from: SessionId, news: &PeerNews) {
        let wait = match news {
            PeerNews::Closing(_) | PeerNews::Closed(_) => GATHER_PASSED_ON,
            _ => GATHER,
        };
        for (link, peer) in &mut self.links {
            if *link != from {
                peer.add(now, news.clone(), wait);
            }
        }
    }

    /// Tells every neighbour that is not known to hold it of a configuration, at once. A word and not
    /// the table: all entries hear of a change from the store at the same moment, and whole tables
    /// from each to each would fill their links.
    pub fn tell_config(&mut self, now: Now, version: ConfigVersion) {
        for peer in self.links.values_mut() {
            if peer.config < version {
                peer.config = version;
                peer.add(now, PeerNews::ConfigVersion(version), Duration::ZERO);
            }
        }
    }

    /// Tells every entry that knows of older evacuations, at once.
    pub fn tell_evacuations(&mut self, now: Now, state: &Arc<EvacuatedHalls>) {
        for peer in self.links.values_mut() {
            if peer.evacuations < state.place {
                peer.evacuations = state.place;
                let news = PeerNews::Evacuations(state.clone());
                peer.add(now, news, Duration::ZERO);
            }
        }
    }

    /// Takes back that a batch is being closed from every neighbour that was not told yet, and tells
    /// the others that it is.
    pub fn tell_closed(&mut self, now: Now, closing: ClosingBatch, from: Option<SessionId>) {
        for (link, peer) in &mut self.links {
            if Some(*link) == from {
                continue;
            }
            let unsent = PeerNews::Closing(closing);
            match peer.news.iter().position(|news| *news == unsent) {
                Some(position) => {
                    peer.news.remove(position);
                }
                None => {
                    let wait = from.map_or(GATHER, |_| GATHER_PASSED_ON);
                    peer.add(now, PeerNews::Closed(closing), wait);
                }
            }
        }
    }

    /// Packets that are due.
    pub fn take_due(&mut self, now: Now) -> Vec<(SessionId, Vec<PeerNews>)> {
        let mut due = Vec::new();
        for (link, peer) in &mut self.links {
            if peer.due_at() > now {
                continue;
            }
            if peer.news.is_empty() {
                peer.news.push(PeerNews::Heartbeat);
            }
            peer.sent = now;
            due.push((*link, std::mem::take(&mut peer.news)));
        }
        due
    }

    /// Links that have been silent for too long.
    pub fn silent(&self, now: Now) -> Vec<SessionId> {
        let links = self.links.iter();
        let silent = links.filter(|(_, p)| p.heard + SILENT_LINK <= now);
        silent.map(|(link, _)| *link).collect()
    }

    /// When something is due next.
    pub fn next_wake(&self) -> Option<Now> {
        let due = |p: &Peer| p.due_at().min(p.heard + SILENT_LINK);
        self.links.values().map(due).min()
    }
}
