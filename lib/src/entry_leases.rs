//! An agent's links to the entries, and the lease that each entry has on its own runs.
//!
//! A lease's end is a time on the agent's clock, so it stays correct when a packet is delayed or
//! either process stalls.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::capacity_shares::{CapacityShares, Demand, FreeCapacity};
use crate::ids::{Incarnation, NodeName, Now, SessionId};
use crate::resources::Resources;
use crate::run_message::{AgentNews, ProtocolVersion};
use crate::timings::Timings;

/// Minimum interval between load reports to an entry with waiting tasks.
const LOAD_INTERVAL_WAITING: Duration = Duration::from_millis(3);
/// Minimum interval between load reports to any other entry. It is multiplied by the number of
/// links, up to the heartbeat interval. Three entries hear of a change within 36 ms, and an agent's
/// traffic does not grow with their number.
const LOAD_INTERVAL_PER_LINK: Duration = Duration::from_millis(12);

#[derive(Debug, Default)]
pub struct EntryLink {
    /// The entry's incarnation, once known.
    pub entry: Option<Incarnation>,
    /// The entry's name, once known.
    pub name: Option<NodeName>,
    /// Version of the messages that the entry understands; 0 until it is known.
    pub protocol: ProtocolVersion,
    /// News to be sent.
    pub news: Vec<AgentNews>,
    /// Whether the entry was told that all runs are listed.
    pub is_told_listed: bool,
    /// Starts received on this link.
    pub starts_seen: u64,
    /// Tasks that wait at the entry.
    pub waiting: u32,
    /// When a packet was last received.
    pub heard: Now,
    /// When a packet was last sent.
    pub sent: Now,
    /// Free capacity that this entry may use.
    pub share: Resources,
    /// Share in the last packet to the entry.
    sent_share: Resources,
}

impl EntryLink {
    /// When the next packet is due.
    fn due_at(&self, load_interval: Duration, heartbeat: Duration) -> Now {
        if !self.news.is_empty() {
            return Now::ZERO;
        }
        match (self.sent_share != self.share, self.waiting > 0) {
            (true, true) => self.sent + LOAD_INTERVAL_WAITING,
            (true, false) => self.sent + load_interval,
            (false, _) => self.sent + heartbeat,
        }
    }
}

#[derive(Debug)]
pub struct DuePacket {
    /// Link to send it on.
    pub link: SessionId,
    /// Free capacity that the entry may use.
    pub free: Resources,
    /// Starts received on the link.
    pub starts_seen: u64,
    /// News for the entry.
    pub news: Vec<AgentNews>,
}

/// An entry's lease on its runs.
#[derive(Debug, Clone, Copy, Default)]
struct Lease {
    /// When it lapses.
    until: Now,
    /// When the entry wrote its last packet, at the earliest.
    renewed_at: Now,
    /// When it wrote the packet before that one; none if it wrote no other.
    renewed_before: Option<Now>,
}

/// The links to the entries, with the entries' leases and shares of the free capacity.
#[derive(Debug)]
pub struct EntryLeases {
    timings: Timings,
    links: BTreeMap<SessionId, EntryLink>,
    /// Lease of each entry.
    leases: BTreeMap<Incarnation, Lease>,
    shares: CapacityShares,
}

impl EntryLeases {
    /// Creates the state of an agent without links.
    pub fn new(timings: Timings) -> Self {
        Self {
            timings,
            links: BTreeMap::new(),
            leases: BTreeMap::new(),
            shares: CapacityShares::default(),
        }
    }

    /// Adds a new link.
    pub fn opened(&mut self, now: Now, link: SessionId) {
        let fresh = EntryLink {
            heard: now,
            sent: now,
            ..EntryLink::default()
        };
        self.links.insert(link, fresh);
    }

    /// Removes a closed link. Its entry's lease is cut to the reconnect grace.
    pub fn closed(&mut self, now: Now, link: SessionId) -> Option<EntryLink> {
        let gone = self.links.remove(&link)?;
        self.shares.remove(link);
        if let Some(lease) = gone.entry.and_then(|e| self.leases.get_mut(&e)) {
            lease.until = lease.until.min(now + self.timings.reconnect_grace);
        }
        Some(gone)
    }

    /// Detaches the other links of an entry, which has replaced them. Orders that are unread there may be
    /// for runs that the entry takes for over, because their claims were answered on the new link.
    pub fn detach_others(&mut self, entry: Incarnation, link: SessionId) {
        for (other, found) in &mut self.links {
            if *other != link && found.entry == Some(entry) {
                found.entry = None;
            }
        }
    }

    /// Records a packet from an entry. Does nothing if the link is closed: only packets on an open
    /// link extend a lease.
    pub fn record_packet(&mut self, now: Now, link: SessionId, lease_until: Now, waiting: u32) {
        let Some(found) = self.links.get_mut(&link) else {
            return;
        };
        found.heard = now;
        found.waiting = waiting;
        if let Some(entry) = found.entry {
            let lease = self.leases.entry(entry);
            let lease = lease.and_modify(|l| l.renewed_before = Some(l.renewed_at));
            let lease = lease.or_default();
            lease.until = lease.until.max(lease_until);
            let renewed_at = lease_until.saturating_sub(self.timings.entry_lease);
            lease.renewed_at = lease.renewed_at.max(renewed_at);
        }
    }

    /// Whether an entry's lease on its runs is still valid.
    pub fn has_valid_lease(&self, now: Now, entry: Incarnation) -> bool {
        self.lease_until(entry) > now
    }

    /// When an entry's lease lapses; zero if the entry is unknown.
    pub fn lease_until(&self, entry: Incarnation) -> Now {
        self.leases.get(&entry).map_or(Now::ZERO, |l| l.until)
    }

    /// When an entry wrote its last packet, at the earliest; zero if the entry is unknown.
    pub fn lease_renewed_at(&self, entry: Incarnation) -> Now {
        self.leases.get(&entry).map_or(Now::ZERO, |l| l.renewed_at)
    }

    /// When an entry wrote the packet before its last one, at the earliest; none if no such packet is
    /// known.
    pub fn lease_renewed_before(&self, entry: Incarnation) -> Option<Now> {
        self.leases.get(&entry)?.renewed_before
    }

    /// Whether an entry has sent packets here. Entries are forgotten a while after their lease.
    pub fn knows(&self, entry: Incarnation) -> bool {
        self.leases.contains_key(&entry)
    }

    /// Whether an entry has an open link and a valid lease.
    pub fn is_present(&self, now: Now, entry: Incarnation) -> bool {
        let has_link = self.links.values().any(|l| l.entry == Some(entry));
        has_link && self.has_valid_lease(now, entry)
    }

    /// Forgets entries whose lease lapsed before this time.
    pub fn forget_before(&mut self, before: Now) {
        self.leases.retain(|_, lease| lease.until >= before);
    }

    /// Returns a link.
    pub fn get(&self, link: SessionId) -> Option<&EntryLink> {
        self.links.get(&link)
    }

    /// Returns a link.
    pub fn get_mut(&mut self, link: SessionId) -> Option<&mut EntryLink> {
        self.links.get_mut(&link)
    }

    /// Iterates over all links.
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

    /// Queues news for an entry, if there is a link to it.
    pub fn tell(&mut self, entry: Incarnation, news: AgentNews) {
        let link = self.links.values_mut().find(|l| l.entry == Some(entry));
        if let Some(link) = link {
            link.news.push(news);
        }
    }

    /// Queues news for all entries.
    pub fn tell_all(&mut self, news: &AgentNews) {
        for link in self.links.values_mut() {
            link.news.push(news.clone());
        }
    }

    /// Records starts that an entry has requested.
    pub fn record_starts(&mut self, link: SessionId, starts: u64) {
        if let Some(found) = self.links.get_mut(&link) {
            found.starts_seen += starts;
            self.shares.clear_reservation(link);
        }
    }

    /// Divides the target's free capacity among the entries.
    pub fn share_capacity(&mut self, now: Now, free: FreeCapacity) {
        let demand = |(link, found): (&SessionId, &EntryLink)| Demand {
            link: *link,
            waiting: found.waiting,
        };
        let demands: Vec<Demand> = self.links.iter().map(demand).collect();
        let shares = self.shares.share(now, free, &demands);
        for (link, share) in self.links.values_mut().zip(shares) {
            link.share = share;
        }
    }

    fn load_interval(&self) -> Duration {
        (LOAD_INTERVAL_PER_LINK * self.links.len() as u32).min(self.timings.heartbeat)
    }

    /// Takes the packets that are due, at most one for each link.
    pub fn take_due(&mut self, now: Now) -> Vec<DuePacket> {
        let mut due = Vec::new();
        let heartbeat = self.timings.heartbeat;
        let load_interval = self.load_interval();
        for (id, link) in &mut self.links {
            if link.due_at(load_interval, heartbeat) > now {
                continue;
            }
            link.sent = now;
            link.sent_share = link.share;
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
        let link_timeout = self.timings.link_timeout;
        let silent = |link: &EntryLink| link.heard + link_timeout <= now;
        let links = self.links.iter();
        links
            .filter(|(_, link)| silent(link))
            .map(|(id, _)| *id)
            .collect()
    }

    /// When the next packet, silence timeout or change of shares is due.
    pub fn next_wake(&self) -> Option<Now> {
        let load_interval = self.load_interval();
        let Timings {
            heartbeat,
            link_timeout,
            ..
        } = self.timings;
        let due = |link: &EntryLink| {
            link.due_at(load_interval, heartbeat)
                .min(link.heard + link_timeout)
        };
        let links = self.links.values().map(due);
        links.chain(self.shares.next_wake()).min()
    }
}
