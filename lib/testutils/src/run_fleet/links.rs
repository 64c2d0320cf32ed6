//! Simulates connections between processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng as _;
use trestleknot_lib::batch_event::EntryEvent;
use trestleknot_lib::ids::{Now, SessionId};
use trestleknot_lib::run::NotStarted;
use trestleknot_lib::run_event::AgentEvent;
use trestleknot_lib::run_message::{AgentNews, Order, Packet};

use super::{Event, Node, RunFleet, Silence};

/// Default one-way latency between two processes.
pub(super) const DELAY: Duration = Duration::from_micros(500);
const DIAL_EVERY: Duration = Duration::from_millis(60);

/// Time after which a lost packet is sent again.
const RETRANSMISSION: Duration = Duration::from_millis(200);

#[derive(Debug, Clone, Copy)]
pub(super) struct Link {
    dialler: Node,
    entry: usize,
    dialler_open: bool,
    entry_open: bool,
    /// Whether nothing arrives at the dialler any more.
    is_dialler_deaf: bool,
    /// Whether nothing arrives at the entry any more.
    is_entry_deaf: bool,
    /// When the last packets arrive at the dialler and at the entry: TCP keeps the order.
    last_arrivals: (Now, Now),
}

impl Link {
    pub(super) fn connects(&self, node: Node) -> bool {
        node == self.dialler || node == Node::Entry(self.entry)
    }

    fn open_side(&mut self, node: Node) -> &mut bool {
        if node == self.dialler {
            &mut self.dialler_open
        } else {
            &mut self.entry_open
        }
    }

    fn is_deaf(&self, node: Node) -> bool {
        if node == self.dialler {
            self.is_dialler_deaf
        } else {
            self.is_entry_deaf
        }
    }

    fn silence(&mut self, silence: Silence) {
        self.is_dialler_deaf |= silence != Silence::ToEntry;
        self.is_entry_deaf |= silence != Silence::FromEntry;
    }

    /// Returns when a packet that is sent to `to` arrives, if it would arrive at `at` by itself.
    fn arrival(&mut self, to: Node, at: Now) -> Now {
        let last = if to == self.dialler {
            &mut self.last_arrivals.0
        } else {
            &mut self.last_arrivals.1
        };
        *last = at.max(*last);
        *last
    }

    fn other(&self, node: Node) -> Node {
        if node == self.dialler {
            Node::Entry(self.entry)
        } else {
            self.dialler
        }
    }
}

/// All connections.
#[derive(Debug, Default)]
pub(super) struct Links {
    links: BTreeMap<SessionId, Link>,
    /// The newest link from each dialling process to each entry.
    newest: BTreeMap<(Node, usize), SessionId>,
    next: SessionId,
    /// Pairs of processes that are partitioned from each other, and until when.
    cuts: BTreeMap<(Node, Node), Now>,
    /// Pairs of processes between which packets from the first to the second wait, and until when.
    one_way_cuts: BTreeMap<(Node, Node), Now>,
    /// Percentage of the packets of processes that are lost once, and until when.
    losses: BTreeMap<Node, (u32, Now)>,
}

impl Links {
    /// Partitions two processes from each other.
    pub(super) fn cut(&mut self, a: Node, b: Node, until: Now) {
        self.cuts.insert((a.min(b), a.max(b)), until);
    }

    /// When the partition between two processes ends or has ended.
    fn cut_until(&self, a: Node, b: Node) -> Now {
        let until = self.cuts.get(&(a.min(b), a.max(b)));
        until.copied().unwrap_or_default()
    }

    /// Holds up all packets from one process to another.
    pub(super) fn cut_one_way(&mut self, from: Node, to: Node, until: Now) {
        self.one_way_cuts.insert((from, to), until);
    }

    /// Loses packets from and to a process.
    pub(super) fn lose_packets(&mut self, node: Node, percent: u32, until: Now) {
        self.losses.insert(node, (percent, until));
    }

    /// When packets from one process to another no longer wait.
    fn held_up_until(&self, from: Node, to: Node) -> Now {
        let until = self.one_way_cuts.get(&(from, to)).copied();
        until.unwrap_or_default().max(self.cut_until(from, to))
    }

    /// Percentage of the packets between two processes that are lost.
    fn loss(&self, now: Now, a: Node, b: Node) -> u32 {
        let lossy = [a, b].into_iter().filter_map(|node| self.losses.get(&node));
        let current = lossy.filter(|(_, until)| *until > now);
        current.map(|(percent, _)| *percent).max().unwrap_or(0)
    }

    /// Closes a process's side of its links without notifying the other side, as a power loss does.
    pub(super) fn lose_power(&mut self, node: Node) {
        for link in self.links.values_mut().filter(|l| l.connects(node)) {
            *link.open_side(node) = false;
        }
    }
}

impl RunFleet {
    /// Makes a process keep a connection to an address.
    pub(super) fn keep_dialled(&mut self, node: Node, address: SocketAddr) {
        if self.dialled.entry(node).or_default().insert(address) {
            self.schedule_after(Duration::ZERO, Event::Dial(node, address));
        }
    }

    /// Stops dialling an address; an open connection stays.
    pub(super) fn disconnect(&mut self, node: Node, address: SocketAddr) {
        self.dialled.entry(node).or_default().remove(&address);
    }

    fn is_dialled(&self, node: Node, address: SocketAddr) -> bool {
        let dialled = self.dialled.get(&node);
        dialled.is_some_and(|d| d.contains(&address))
    }

    /// Tells an entry about a new link, and its address only if the entry itself dialled.
    pub(super) fn entry_linked(&mut self, entry: usize, id: SessionId, dialled: bool) {
        let link = self.links.links.get(&id).filter(|_| dialled);
        let address = link.map(|l| Self::address(l.entry));
        self.tell_entry(entry, EntryEvent::LinkUp(id, address));
    }

    pub(super) fn agent_linked(&mut self, agent: usize, id: SessionId) {
        let link = self.links.links.get(&id);
        if let Some(address) = link.map(|l| Self::address(l.entry)) {
            self.tell_agent(agent, AgentEvent::LinkUp(id, address));
        }
    }

    pub(super) fn dial(&mut self, dialler: Node, address: SocketAddr) {
        // Dialling ends with the process; its next incarnation starts its own.
        if !self.is_alive(dialler) || !self.is_dialled(dialler, address) {
            return;
        }
        let entry = (0..self.fleet_config.entries).find(|i| Self::address(*i) == address);
        let Some(entry) = entry else {
            return;
        };
        self.schedule_after(DIAL_EVERY, Event::Dial(dialler, address));
        let newest = self.links.newest.get(&(dialler, entry));
        let newest = newest.and_then(|id| self.links.links.get(id));
        let is_linked = newest.is_some_and(|l| l.dialler_open);
        let can_reach = self.entries[entry].core.is_some()
            && !self.is_cut(Node::Entry(entry))
            && !self.is_cut(dialler)
            && self.links.held_up_until(dialler, Node::Entry(entry)) <= self.now
            && self.links.held_up_until(Node::Entry(entry), dialler) <= self.now;
        if is_linked || !can_reach {
            return;
        }
        self.links.next += 1;
        let id = self.links.next;
        let link = Link {
            dialler,
            entry,
            dialler_open: true,
            entry_open: true,
            is_dialler_deaf: false,
            is_entry_deaf: false,
            last_arrivals: (Now::ZERO, Now::ZERO),
        };
        self.links.links.insert(id, link);
        self.links.newest.insert((dialler, entry), id);
        let delay = self.fleet_config.one_way + self.draw_dial_time();
        self.schedule_after(delay, Event::LinkUp(Node::Entry(entry), id, false));
        self.schedule_after(delay, Event::LinkUp(dialler, id, true));
    }

    fn draw_dial_time(&mut self) -> Duration {
        let longest = self.fleet_config.longest_dial;
        if longest.is_zero() {
            return Duration::ZERO;
        }
        longest.mul_f64(self.rng.random_range(0.0..1.0))
    }

    pub(super) fn send(&mut self, from: Node, id: SessionId, packet: Packet) {
        let Some(link) = self.links.links.get_mut(&id) else {
            return;
        };
        if !*link.open_side(from) {
            return;
        }
        let to = link.other(from);
        self.packets += 1;
        if link.is_deaf(to) {
            return;
        }
        count_orders(&packet, &mut self.orders, &mut self.full);
        // TCP delivers packets in order once a partition ends, here at `connected_at`.
        let connected_at = self
            .cut_until(from)
            .max(self.cut_until(to))
            .max(self.links.held_up_until(from, to));
        let transmitted_at = self.traffic.packet(self.now, from, to, &packet);
        let mut at = connected_at.max(transmitted_at) + self.fleet_config.one_way;
        let loss = self.links.loss(self.now, from, to);
        if loss > 0 && self.rng.random_range(0..100) < loss {
            at += RETRANSMISSION;
        }
        if let Some(link) = self.links.links.get_mut(&id) {
            at = link.arrival(to, at);
        }
        self.schedule_at(at, Event::Deliver(to, id, packet));
    }

    pub(super) fn deliver(&mut self, to: Node, id: SessionId, packet: Packet) {
        let is_open = self
            .links
            .links
            .get_mut(&id)
            .is_some_and(|link| *link.open_side(to));
        if !is_open {
            return;
        }
        match (to, packet) {
            (Node::Entry(i), packet) => self.tell_entry(i, EntryEvent::Packet(id, packet)),
            (Node::Agent(i), Packet::FromEntry(packet)) => {
                self.tell_agent(i, AgentEvent::Packet(id, packet));
            }
            (Node::Agent(_), _) => {}
        }
    }

    /// Silences for good this percentage of the open links that are selected.
    pub(super) fn silence(
        &mut self,
        silence: Silence,
        percent: u32,
        is_selected: impl Fn(&Link) -> bool,
    ) {
        for link in self.links.links.values_mut() {
            if is_selected(link) && self.rng.random_range(0..100) < percent {
                link.silence(silence);
            }
        }
    }

    /// Closes one side; the other side is notified unless a partition separates them.
    pub(super) fn close(&mut self, by: Node, id: SessionId) {
        let Some(link) = self.links.links.get_mut(&id) else {
            return;
        };
        *link.open_side(by) = false;
        let other = link.other(by);
        let is_deaf = link.is_deaf(other);
        let is_cut = is_deaf || self.links.held_up_until(by, other) > self.now;
        if !self.is_cut(by) && !self.is_cut(other) && !is_cut {
            self.schedule_after(self.fleet_config.one_way, Event::LinkDown(other, id));
        }
    }

    pub(super) fn side_down(&mut self, node: Node, id: SessionId) {
        let Some(link) = self.links.links.get_mut(&id) else {
            return;
        };
        let side = link.open_side(node);
        if !*side {
            return;
        }
        *side = false;
        match node {
            Node::Entry(i) => self.tell_entry(i, EntryEvent::LinkDown(id)),
            Node::Agent(i) => self.tell_agent(i, AgentEvent::LinkDown(id)),
        }
    }

    /// Closes all links of a process and notifies both sides, except a side that is partitioned from
    /// just this process.
    pub(super) fn reset_links(&mut self, node: Node) {
        let links = self.links.links.iter().filter(|(_, l)| l.connects(node));
        let of_link = |(id, link): (&SessionId, &Link)| {
            let other = link.other(node);
            (*id, other, link.is_deaf(other))
        };
        let ids: Vec<(SessionId, Node, bool)> = links.map(of_link).collect();
        for (id, other, is_deaf) in ids {
            if !is_deaf && self.links.held_up_until(node, other) <= self.now {
                self.schedule_after(self.fleet_config.one_way, Event::LinkDown(other, id));
            }
            self.schedule_after(self.fleet_config.one_way, Event::LinkDown(node, id));
        }
    }
}

/// Counts ordered starts and those rejected as full.
fn count_orders(packet: &Packet, orders: &mut u64, full: &mut u64) {
    match packet {
        Packet::FromEntry(packet) => {
            for order in &packet.orders {
                if let Order::Start(start) = order {
                    *orders += start.runs.len() as u64;
                }
            }
        }
        Packet::FromAgent(packet) => {
            let is_full = |news: &&AgentNews| matches!(news, AgentNews::NotStarted { reason, .. } if *reason == NotStarted::Full);
            *full += packet.news.iter().filter(is_full).count() as u64;
        }
        Packet::BetweenEntries(_) => {}
    }
}
