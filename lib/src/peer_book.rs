//! Other entries: their links, the configuration that each holds, and the addresses known.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{NodeName, Now, SessionId};
use crate::queue::ConfigVersion;
use crate::run_message::{PeerIntro, PeerNews};

/// How often a quiet link between entries shows life.
const HEARTBEAT: Duration = Duration::from_millis(1_000);
/// A link between entries that is silent for so long is closed.
const SILENT_LINK: Duration = Duration::from_millis(3_000);

/// A link to another entry.
#[derive(Debug)]
pub struct Peer {
    /// Its name.
    pub name: NodeName,
    /// Version that it is known to hold.
    pub config: ConfigVersion,
    /// When it was last heard.
    pub heard: Now,
    /// When something was last sent.
    pub sent: Now,
    /// News to be sent.
    pub news: Vec<PeerNews>,
}

/// See the module.
#[derive(Debug, Default)]
pub struct PeerBook {
    links: BTreeMap<SessionId, Peer>,
    known: BTreeSet<SocketAddr>,
}

impl PeerBook {
    /// Notes addresses of entries; gives those that are new.
    pub fn learn(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) -> Vec<SocketAddr> {
        let addresses = addresses.into_iter();
        addresses.filter(|a| self.known.insert(*a)).collect()
    }

    /// All addresses known.
    pub fn known(&self) -> Vec<SocketAddr> {
        self.known.iter().copied().collect()
    }

    /// Notes another entry's hello; says whether the link was unknown.
    pub fn join(&mut self, now: Now, link: SessionId, intro: &PeerIntro) -> bool {
        if let Some(peer) = self.links.get_mut(&link) {
            peer.config = peer.config.max(intro.config);
            return false;
        }
        let peer = Peer {
            name: intro.name.clone(),
            config: intro.config,
            heard: now,
            sent: now,
            news: Vec::new(),
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

    /// Adds news for one entry.
    pub fn tell(&mut self, link: SessionId, news: PeerNews) {
        if let Some(peer) = self.links.get_mut(&link) {
            peer.news.push(news);
        }
    }

    /// Adds news for every entry but one.
    pub fn tell_others(&mut self, except: Option<SessionId>, news: &PeerNews) {
        for (link, peer) in &mut self.links {
            if Some(*link) != except {
                peer.news.push(news.clone());
            }
        }
    }

    /// Tells every entry that holds an older configuration.
    pub fn tell_config(&mut self, version: ConfigVersion, news: &PeerNews) {
        for peer in self.links.values_mut() {
            if peer.config < version {
                peer.config = version;
                peer.news.push(news.clone());
            }
        }
    }

    /// Packets that are due.
    pub fn take_due(&mut self, now: Now) -> Vec<(SessionId, Vec<PeerNews>)> {
        let mut due = Vec::new();
        for (link, peer) in &mut self.links {
            if peer.news.is_empty() && peer.sent + HEARTBEAT <= now {
                peer.news.push(PeerNews::Heartbeat);
            }
            if !peer.news.is_empty() {
                peer.sent = now;
                due.push((*link, std::mem::take(&mut peer.news)));
            }
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
        let due = |p: &Peer| (p.sent + HEARTBEAT).min(p.heard + SILENT_LINK);
        self.links.values().map(due).min()
    }
}
