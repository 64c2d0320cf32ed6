//! Links of a virtual fleet: sessions, frames on their way, and what faults do to them.

use super::*;

impl VirtualFleet {
    pub(super) fn link(&mut self, entry: usize, agent: usize) -> &mut Link {
        let other = agent;
        self.links.entry(LinkKey { entry, other }).or_default()
    }

    pub(super) fn dial(&mut self, entry: usize, agent: usize) {
        let both_live = self.entries[entry].core.is_some() && self.agents[agent].core.is_some();
        let now = self.now;
        let paused =
            self.entries[entry].paused_until > now || self.agents[agent].paused_until > now;
        let link = self.link(entry, agent);
        if link.session.is_some() {
            return;
        }
        if paused || link.cut_to_agent || link.cut_to_entry {
            self.after(REDIAL, Happening::Dial { entry, agent });
            return;
        }
        if !both_live {
            return;
        }
        let session = self.next_session;
        self.next_session += 1;
        let link = self.link(entry, agent);
        link.session = Some(session);
        let opened_before = std::mem::replace(&mut link.opened_before, true);
        link.last_arrival = [Duration::ZERO; 2];
        let other = agent;
        self.agent_by_session
            .insert(session, LinkKey { entry, other });
        let place = self.agent_place(agent);
        self.agent_event(place, AgentEvent::EntryConnected(session));
        if opened_before {
            self.step(Step::SessionResumed, Where { entry, agent });
        }
    }

    pub(super) fn close_link(&mut self, session: SessionId) {
        let Some(key) = self.agent_by_session.remove(&session) else {
            return;
        };
        let (entry, agent) = (key.entry, key.other);
        let link = self.link(entry, agent);
        if link.session == Some(session) {
            link.session = None;
        }
        let entry_place = self.entry_place(entry);
        let agent_place = self.agent_place(agent);
        let closed = Box::new(EntryEvent::AgentClosed(session));
        self.after(LATENCY, Happening::ToEntry(entry_place, closed));
        let closed = Box::new(AgentEvent::EntryClosed(session));
        self.after(LATENCY, Happening::ToAgent(agent_place, closed));
        let pause = REDIAL.mul_f64(self.rng.random_range(0.5..1.5));
        self.after(pause, Happening::Dial { entry, agent });
        self.step(Step::SessionLost, Where { entry, agent });
    }

    /// When a frame arrives: in order, unless a fault says otherwise. None if it is lost.
    pub(super) fn arrival(&mut self, key: LinkKey, to_agent: bool) -> Vec<Duration> {
        let now = self.now;
        let link = self.links.entry(key).or_default();
        let cut = if to_agent {
            link.cut_to_agent
        } else {
            link.cut_to_entry
        };
        if cut {
            return Vec::new();
        }
        if link.lose > 0 {
            link.lose -= 1;
            return Vec::new();
        }
        let side = usize::from(to_agent);
        let mut at = (now + LATENCY).max(link.last_arrival[side]);
        if link.late > 0 {
            link.late -= 1;
            return vec![at + LATE_BY];
        }
        if link.reorder > 0 {
            link.reorder -= 1;
            return vec![at + LATENCY * 4];
        }
        link.last_arrival[side] = at;
        let mut arrivals = vec![at];
        if link.double > 0 {
            link.double -= 1;
            at += LATENCY;
            arrivals.push(at);
        }
        arrivals
    }

    pub(super) fn send_to_agent(&mut self, session: SessionId, frame: Frame<EntryMessage>) {
        let Some(key) = self.agent_by_session.get(&session).copied() else {
            return;
        };
        let (entry, agent) = (key.entry, key.other);
        let at = Where { entry, agent };
        for message in &frame.messages {
            match message {
                EntryMessage::Dispatch(_) => self.step(Step::Dispatched, at),
                EntryMessage::Claim(_) => self.step(Step::PermitClaimed, at),
                _ => {}
            }
        }
        let place = self.agent_place(agent);
        for arrival in self.arrival(key, true) {
            let frame = frame.clone();
            let event = AgentEvent::EntryFrame { session, frame };
            self.at(arrival, Happening::ToAgent(place, Box::new(event)));
        }
        let dispatched = |m: &EntryMessage| matches!(m, EntryMessage::Dispatch(_));
        if frame.messages.iter().any(dispatched) {
            self.step(Step::Received, at);
        }
    }

    pub(super) fn send_to_entry(&mut self, session: SessionId, frame: Frame<AgentMessage>) {
        let Some(key) = self.agent_by_session.get(&session).copied() else {
            return;
        };
        let (entry, agent) = (key.entry, key.other);
        let finished = |m: &AgentMessage| matches!(m, AgentMessage::Finished { .. });
        if frame.messages.iter().any(finished) {
            self.step(Step::ResultSent, Where { entry, agent });
        }
        let place = self.entry_place(entry);
        for arrival in self.arrival(key, false) {
            let frame = frame.clone();
            let event = match (frame.n, frame.messages.first()) {
                (1, Some(AgentMessage::Hello(hello))) => EntryEvent::AgentOpened {
                    session,
                    hello: hello.clone(),
                },
                _ => EntryEvent::AgentFrame { session, frame },
            };
            self.at(arrival, Happening::ToEntry(place, Box::new(event)));
        }
    }

    pub(super) fn dial_peer(&mut self, from: usize, to: usize) {
        let key = LinkKey {
            entry: from,
            other: to,
        };
        let both = self.entries[from].core.is_some() && self.entries[to].core.is_some();
        if !both || self.peers.contains_key(&key) {
            return;
        }
        let session = self.next_session;
        self.next_session += 1;
        self.peers.insert(key, session);
        self.peer_by_session.insert(session, key);
        for (here, there) in [(from, to), (to, from)] {
            let hello = self.peer_hello(there);
            let event = EntryEvent::PeerOpened { session, hello };
            self.tell_entry(here, event);
        }
    }

    pub(super) fn peer_hello(&self, index: usize) -> PeerHello {
        PeerHello {
            protocol: PROTOCOL_VERSION,
            name: format!("entry-{index}").into(),
            incarnation: ((index as u64 + 1) << 32) | self.entries[index].life,
            agent_address: format!("entry-{index}"),
            config: ConfigStamp::default(),
        }
    }

    pub(super) fn send_to_peer(
        &mut self,
        entry: usize,
        session: SessionId,
        frame: Frame<PeerMessage>,
    ) {
        let Some(key) = self.peer_by_session.get(&session).copied() else {
            return;
        };
        let other = if key.entry == entry {
            key.other
        } else {
            key.entry
        };
        let place = self.entry_place(other);
        let event = EntryEvent::PeerFrame { session, frame };
        self.after(LATENCY, Happening::ToEntry(place, Box::new(event)));
    }

    pub(super) fn close_peer(&mut self, session: SessionId) {
        let Some(key) = self.peer_by_session.remove(&session) else {
            return;
        };
        self.peers.remove(&key);
        for index in [key.entry, key.other] {
            self.tell_entry(index, EntryEvent::PeerClosed(session));
        }
        let (from, to) = (key.entry, key.other);
        self.after(REDIAL, Happening::DialPeer { from, to });
    }

    pub(super) fn sessions_of(&self, f: impl Fn(&LinkKey) -> bool) -> Vec<SessionId> {
        let of = self.agent_by_session.iter().filter(|(_, key)| f(key));
        let mut sessions: Vec<SessionId> = of.map(|(session, _)| *session).collect();
        sessions.sort_unstable();
        sessions
    }
}
