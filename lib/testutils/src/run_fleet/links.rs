//! Connections between the processes of the virtual fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use trestleknot_lib::batch_event::EntryEvent;
use trestleknot_lib::ids::SessionId;
use trestleknot_lib::run::NotStarted;
use trestleknot_lib::run_event::AgentEvent;
use trestleknot_lib::run_message::{AgentNews, Order, Packet};

use super::{Event, Node, RunFleet};

/// One way between two processes.
pub(super) const DELAY: Duration = Duration::from_micros(500);
/// Pause between dials.
const DIAL_EVERY: Duration = Duration::from_millis(60);

#[derive(Debug, Clone, Copy)]
struct Link {
    dialler: Node,
    entry: usize,
    dialler_open: bool,
    entry_open: bool,
}

impl Link {
    fn has(&self, node: Node) -> bool {
        node == self.dialler || node == Node::Entry(self.entry)
    }

    fn side(&mut self, node: Node) -> &mut bool {
        if node == self.dialler {
            &mut self.dialler_open
        } else {
            &mut self.entry_open
        }
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
    /// The newest link of a process that dialled to an entry.
    newest: BTreeMap<(Node, usize), SessionId>,
    next: SessionId,
}

impl Links {
    /// A process loses power: its side is gone, the other hears nothing.
    pub(super) fn silence(&mut self, node: Node) {
        for link in self.links.values_mut().filter(|l| l.has(node)) {
            *link.side(node) = false;
        }
    }
}

impl RunFleet {
    /// Keeps a connection of a process to an address.
    pub(super) fn keep_dialled(&mut self, node: Node, address: SocketAddr) {
        if self.dialled.entry(node).or_default().insert(address) {
            self.after(Duration::ZERO, Event::Dial(node, address));
        }
    }

    /// Keeps it no more.
    pub(super) fn disconnect(&mut self, node: Node, address: SocketAddr) {
        self.dialled.entry(node).or_default().remove(&address);
    }

    fn is_dialled(&self, node: Node, address: SocketAddr) -> bool {
        let dialled = self.dialled.get(&node);
        dialled.is_some_and(|d| d.contains(&address))
    }

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
        // A dial belongs to a process; a new life dials anew, so copies end here.
        if !self.is_alive(dialler) || !self.is_dialled(dialler, address) {
            return;
        }
        let entry = (0..self.shape.entries).find(|i| Self::address(*i) == address);
        let Some(entry) = entry else {
            return;
        };
        self.after(DIAL_EVERY, Event::Dial(dialler, address));
        let newest = self.links.newest.get(&(dialler, entry));
        let newest = newest.and_then(|id| self.links.links.get(id));
        let is_linked = newest.is_some_and(|l| l.dialler_open);
        let can_reach = self.entries[entry].core.is_some()
            && !self.is_cut(Node::Entry(entry))
            && !self.is_cut(dialler);
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
        };
        self.links.links.insert(id, link);
        self.links.newest.insert((dialler, entry), id);
        self.after(self.shape.one_way, Event::Up(Node::Entry(entry), id, false));
        self.after(self.shape.one_way, Event::Up(dialler, id, true));
    }

    pub(super) fn send(&mut self, from: Node, id: SessionId, packet: Packet) {
        let Some(link) = self.links.links.get_mut(&id) else {
            return;
        };
        if !*link.side(from) {
            return;
        }
        let to = link.other(from);
        self.packets += 1;
        count_orders(&packet, &mut self.orders, &mut self.full);
        // TCP holds back what a cut delays and delivers it in order.
        let healed = self.cut_until(from).max(self.cut_until(to));
        let through = self.traffic.packet(self.now, from, to, &packet);
        let at = healed.max(through) + self.shape.one_way;
        self.at(at, Event::Deliver(to, id, packet));
    }

    pub(super) fn deliver(&mut self, to: Node, id: SessionId, packet: Packet) {
        let is_open = self
            .links
            .links
            .get_mut(&id)
            .is_some_and(|link| *link.side(to));
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

    /// One side closes; the other hears of it unless a cut is between them.
    pub(super) fn close(&mut self, by: Node, id: SessionId) {
        let Some(link) = self.links.links.get_mut(&id) else {
            return;
        };
        *link.side(by) = false;
        let other = link.other(by);
        if !self.is_cut(by) && !self.is_cut(other) {
            self.after(self.shape.one_way, Event::Down(other, id));
        }
    }

    pub(super) fn side_down(&mut self, node: Node, id: SessionId) {
        let Some(link) = self.links.links.get_mut(&id) else {
            return;
        };
        let side = link.side(node);
        if !*side {
            return;
        }
        *side = false;
        match node {
            Node::Entry(i) => self.tell_entry(i, EntryEvent::LinkDown(id)),
            Node::Agent(i) => self.tell_agent(i, AgentEvent::LinkDown(id)),
        }
    }

    /// Both sides of all connections of a process hear that they are gone.
    pub(super) fn reset_links(&mut self, node: Node) {
        let links = self.links.links.iter().filter(|(_, l)| l.has(node));
        let ids: Vec<(SessionId, Node)> = links.map(|(id, l)| (*id, l.other(node))).collect();
        for (id, other) in ids {
            self.after(self.shape.one_way, Event::Down(other, id));
            self.after(self.shape.one_way, Event::Down(node, id));
        }
    }
}

/// Counts starts ordered, and those that found no room.
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
