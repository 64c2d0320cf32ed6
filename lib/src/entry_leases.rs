//! What an agent knows of the entries: their links, and until when each answers for its runs.
//!
//! An entry's lease is given on the agent's own clock, so it holds its meaning however long the
//! packet that carries it waits in a socket while either side stands still.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::capacity_shares::{CapacityShares, Demand, FreeCapacity};
use crate::ids::{Incarnation, NodeName, Now, SessionId};
use crate::resources::Resources;
use crate::run_message::AgentNews;
use crate::timings::Timings;

/// How often an entry with waiting tasks is told of a changed load.
const LOAD_TO_WAITING: Duration = Duration::from_millis(3);
/// How often any other entry is told of a changed load, for each link that the agent has: three
/// entries hear of it within 36 ms, and what an agent sends does not grow with their number.
const LOAD_PER_LINK: Duration = Duration::from_millis(12);

/// A link to an entry.
#[derive(Debug, Default)]
pub struct EntryLink {
    /// The entry's life, once it has said so.
    pub entry: Option<Incarnation>,
    /// Its name.
    pub name: Option<NodeName>,
    /// News to be sent.
    pub news: Vec<AgentNews>,
    /// Starts received on this link.
    pub starts_seen: u64,
    /// Tasks that wait at the entry.
    pub waiting: u32,
    /// When something was last heard.
    pub heard: Now,
    /// When something was last sent.
    pub sent: Now,
    /// Free room that this entry may take.
    pub share: Resources,
    /// The share that it was told last.
    told: Resources,
}

impl EntryLink {
    /// When a packet is due.
    fn due_at(&self, load_every: Duration, heartbeat: Duration) -> Now {
        if !self.news.is_empty() {
            return Now::ZERO;
        }
        match (self.told != self.share, self.waiting > 0) {
            (true, true) => self.sent + LOAD_TO_WAITING,
            (true, false) => self.sent + load_every,
            (false, _) => self.sent + heartbeat,
        }
    }
}

/// A packet that is due.
#[derive(Debug)]
pub struct DuePacket {
    /// The link.
    pub link: SessionId,
    /// Free room that the entry may take.
    pub free: Resources,
    /// Starts received on the link.
    pub starts_seen: u64,
    /// News for the entry.
    pub news: Vec<AgentNews>,
}

/// See the module.
#[derive(Debug)]
pub struct EntryLeases {
    timings: Timings,
    links: BTreeMap<SessionId, EntryLink>,
    until: BTreeMap<Incarnation, Now>,
    shares: CapacityShares,
}

impl EntryLeases {
    /// An agent without any link.
    pub fn new(timings: Timings) -> Self {
        Self {
            timings,
            links: BTreeMap::new(),
            until: BTreeMap::new(),
            shares: CapacityShares::default(),
        }
    }

    /// Notes a new link.
    pub fn opened(&mut self, now: Now, link: SessionId) {
        let fresh = EntryLink {
            heard: now,
            sent: now,
            ..EntryLink::default()
        };
        self.links.insert(link, fresh);
    }

    /// Notes that a link is gone; its entry has a short grace to come back.
    pub fn closed(&mut self, now: Now, link: SessionId) -> Option<EntryLink> {
        let gone = self.links.remove(&link)?;
        self.shares.leave(link);
        if let Some(until) = gone.entry.and_then(|e| self.until.get_mut(&e)) {
            *until = (*until).min(now + self.timings.reconnect_grace);
        }
        Some(gone)
    }

    /// Notes an entry's word on a link. A lease from before the link was closed does not count
    /// again: leases only grow through packets of a live link.
    pub fn heard(&mut self, now: Now, link: SessionId, lease_until: Now, waiting: u32) {
        let Some(found) = self.links.get_mut(&link) else {
            return;
        };
        found.heard = now;
        found.waiting = waiting;
        if let Some(entry) = found.entry {
            let until = self.until.entry(entry).or_default();
            *until = (*until).max(lease_until);
        }
    }

    /// Whether an entry answers for its runs.
    pub fn is_held(&self, now: Now, entry: Incarnation) -> bool {
        self.until.get(&entry).is_some_and(|until| *until > now)
    }

    /// When an entry's lease runs out.
    pub fn until(&self, entry: Incarnation) -> Now {
        self.until.get(&entry).copied().unwrap_or_default()
    }

    /// Forgets entries whose lease ran out long ago.
    pub fn forget_before(&mut self, before: Now) {
        self.until.retain(|_, until| *until >= before);
    }

    /// A link.
    pub fn get(&self, link: SessionId) -> Option<&EntryLink> {
        self.links.get(&link)
    }

    /// A link.
    pub fn get_mut(&mut self, link: SessionId) -> Option<&mut EntryLink> {
        self.links.get_mut(&link)
    }

    /// All links.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (SessionId, &mut EntryLink)> {
        self.links.iter_mut().map(|(id, link)| (*id, link))
    }

    /// Number of links.
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// Whether there is no link.
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// Adds news for an entry, if a link to it stands.
    pub fn tell(&mut self, entry: Incarnation, news: AgentNews) {
        let link = self.links.values_mut().find(|l| l.entry == Some(entry));
        if let Some(link) = link {
            link.news.push(news);
        }
    }

    /// Adds news for all entries.
    pub fn tell_all(&mut self, news: &AgentNews) {
        for link in self.links.values_mut() {
            link.news.push(news.clone());
        }
    }

    /// Notes starts that an entry has ordered.
    pub fn ordered(&mut self, link: SessionId, starts: u64) {
        if let Some(found) = self.links.get_mut(&link) {
            found.starts_seen += starts;
            self.shares.used(link);
        }
    }

    /// Shares the target's free room among the entries.
    pub fn share_room(&mut self, now: Now, room: FreeCapacity) {
        let demand = |(link, found): (&SessionId, &EntryLink)| Demand {
            link: *link,
            waiting: found.waiting,
        };
        let demands: Vec<Demand> = self.links.iter().map(demand).collect();
        let shares = self.shares.share(now, room, &demands);
        for (link, share) in self.links.values_mut().zip(shares) {
            link.share = share;
        }
    }

    fn load_every(&self) -> Duration {
        (LOAD_PER_LINK * self.links.len() as u32).min(self.timings.heartbeat)
    }

    /// Links on which a packet is due, with what it is to say.
    pub fn take_due(&mut self, now: Now) -> Vec<DuePacket> {
        let mut due = Vec::new();
        let heartbeat = self.timings.heartbeat;
        let load_every = self.load_every();
        for (id, link) in &mut self.links {
            if link.due_at(load_every, heartbeat) > now {
                continue;
            }
            link.sent = now;
            link.told = link.share;
            due.push(DuePacket {
                link: *id,
                free: link.share,
                starts_seen: link.starts_seen,
                news: std::mem::take(&mut link.news),
            });
        }
        due
    }

    /// Links that have been silent for too long.
    pub fn silent(&self, now: Now) -> Vec<SessionId> {
        let silent_link = self.timings.silent_link;
        let silent = |link: &EntryLink| link.heard + silent_link <= now;
        let links = self.links.iter();
        links
            .filter(|(_, link)| silent(link))
            .map(|(id, _)| *id)
            .collect()
    }

    /// When something is due next.
    pub fn next_wake(&self) -> Option<Now> {
        let load_every = self.load_every();
        let Timings {
            heartbeat,
            silent_link,
            ..
        } = self.timings;
        let due = |link: &EntryLink| {
            link.due_at(load_every, heartbeat)
                .min(link.heard + silent_link)
        };
        let links = self.links.values().map(due);
        links.chain(self.shares.next_wake()).min()
    }
}
