//! Simulates sessions and the delivery of frames, with the faults of links.

use super::*;

impl VirtualFleet {
    pub(super) fn link(&mut self, entry: usize, agent: usize) -> &mut Link {
        let other = agent;
        self.links.entry(LinkKey { entry, other }).or_default()
    }

    pub(super) fn dial(&mut self, entry: usize, agent: usize) {
        let both_run = self.entries[entry].core.is_some() && self.agents[agent].core.is_some();
        let now = self.now;
        let paused =
            self.entries[entry].paused_until > now || self.agents[agent].paused_until > now;
        let link = self.link(entry, agent);
        if link.session.is_some() {
            return;
        }
        if paused || link.cut_to_agent || link.cut_to_entry {
            self.schedule_after(REDIAL, Event::Dial { entry, agent });
            return;
        }
        if !both_run {
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
        let process_id = self.agent_process_id(agent);
        self.agent_event(process_id, AgentEvent::EntryConnected(session));
        if opened_before {
            self.reach_step(Step::SessionResumed, FaultSite { entry, agent });
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
        let entry_process_id = self.entry_process_id(entry);
        let agent_process_id = self.agent_process_id(agent);
        let event = Box::new(EntryEvent::AgentClosed(session));
        self.schedule_after(LATENCY, Event::ToEntry(entry_process_id, event));
        let event = Box::new(AgentEvent::EntryClosed(session));
        self.schedule_after(LATENCY, Event::ToAgent(agent_process_id, event));
        let pause = REDIAL.mul_f64(self.rng.random_range(0.5..1.5));
        self.schedule_after(pause, Event::Dial { entry, agent });
        self.reach_step(Step::SessionLost, FaultSite { entry, agent });
    }

    /// Arrival times of a frame: none if it is lost, two if it is duplicated. Frames arrive in
    /// order unless a fault delays, reorders or duplicates them.
    pub(super) fn arrivals(&mut self, key: LinkKey, to_agent: bool) -> Vec<Duration> {
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
        if link.frames_to_lose > 0 {
            link.frames_to_lose -= 1;
            return Vec::new();
        }
        let direction = usize::from(to_agent);
        let mut at = (now + LATENCY).max(link.last_arrival[direction]);
        if link.frames_to_delay > 0 {
            link.frames_to_delay -= 1;
            return vec![at + LATE_BY];
        }
        if link.frames_to_reorder > 0 {
            link.frames_to_reorder -= 1;
            return vec![at + LATENCY * 4];
        }
        link.last_arrival[direction] = at;
        let mut arrivals = vec![at];
        if link.frames_to_duplicate > 0 {
            link.frames_to_duplicate -= 1;
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
        let site = FaultSite { entry, agent };
        for message in &frame.messages {
            match message {
                EntryMessage::Dispatch(_) => self.reach_step(Step::Dispatched, site),
                EntryMessage::Claim(_) => self.reach_step(Step::PermitClaimed, site),
                _ => {}
            }
        }
        let process_id = self.agent_process_id(agent);
        for arrival in self.arrivals(key, true) {
            let frame = frame.clone();
            let event = AgentEvent::EntryFrame { session, frame };
            self.schedule_at(arrival, Event::ToAgent(process_id, Box::new(event)));
        }
        let is_dispatch = |m: &EntryMessage| matches!(m, EntryMessage::Dispatch(_));
        if frame.messages.iter().any(is_dispatch) {
            // The frame was sent; it may still be lost.
            self.reach_step(Step::Received, site);
        }
    }

    pub(super) fn send_to_entry(&mut self, session: SessionId, frame: Frame<AgentMessage>) {
        let Some(key) = self.agent_by_session.get(&session).copied() else {
            return;
        };
        let (entry, agent) = (key.entry, key.other);
        let is_finished = |m: &AgentMessage| matches!(m, AgentMessage::Finished { .. });
        if frame.messages.iter().any(is_finished) {
            self.reach_step(Step::ResultSent, FaultSite { entry, agent });
        }
        let process_id = self.entry_process_id(entry);
        for arrival in self.arrivals(key, false) {
            let frame = frame.clone();
            let event = match (frame.n, frame.messages.first()) {
                (1, Some(AgentMessage::Hello(hello))) => EntryEvent::AgentOpened {
                    session,
                    hello: hello.clone(),
                },
                _ => EntryEvent::AgentFrame { session, frame },
            };
            self.schedule_at(arrival, Event::ToEntry(process_id, Box::new(event)));
        }
    }

    pub(super) fn dial_peer(&mut self, from: usize, to: usize) {
        let key = LinkKey {
            entry: from,
            other: to,
        };
        let both_run = self.entries[from].core.is_some() && self.entries[to].core.is_some();
        if !both_run || self.peers.contains_key(&key) {
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
            incarnation: ((index as u64 + 1) << 32) | self.entries[index].incarnation,
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
        let process_id = self.entry_process_id(other);
        let event = EntryEvent::PeerFrame { session, frame };
        self.schedule_after(LATENCY, Event::ToEntry(process_id, Box::new(event)));
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
        self.schedule_after(REDIAL, Event::DialPeer { from, to });
    }

    pub(super) fn sessions_of(&self, is_wanted: impl Fn(&LinkKey) -> bool) -> Vec<SessionId> {
        let matching = self
            .agent_by_session
            .iter()
            .filter(|(_, key)| is_wanted(key));
        let mut sessions: Vec<SessionId> = matching.map(|(session, _)| *session).collect();
        sessions.sort_unstable();
        sessions
    }
}
