//! The agent's sessions with entries: hello, welcome, heartbeats, ends.

use std::time::Duration;

use crate::agent::{AgentAction, AgentCore, EntryLink};
use crate::counters::Kind as _;
use crate::entry_targets::{HEARTBEAT_EVERY, SILENT_HEARTBEATS};
use crate::events::EventCode;
use crate::frame_order::FrameOrder;
use crate::ids::{Incarnation, SessionId};
use crate::ledger::Resume;
use crate::message::{AgentHello, AgentMessage, EntryMessage, Frame, PROTOCOL_VERSION, Welcome};
use crate::outbox::Passed;

impl AgentCore {
    pub(crate) fn entry_connected(&mut self, session: SessionId) {
        let passed = Passed::default();
        self.links
            .open(session, EntryLink::default(), passed, self.now);
        // Until the welcome names an interval; a lost welcome must not hold the session up.
        let silence = HEARTBEAT_EVERY.mul_f64(SILENT_HEARTBEATS);
        self.links.set_silence(session, silence);
        let hello = AgentHello {
            protocol: PROTOCOL_VERSION,
            name: self.options.name.clone(),
            incarnation: self.options.incarnation,
            hall: self.options.hall.clone(),
            capacity: self.options.capacity,
            uptime_ms: self.uptime_ms(),
            config: self.config,
            leaving: self.draining_since.is_some(),
        };
        self.send(session, AgentMessage::Hello(hello));
    }

    pub(crate) fn entry_frame(&mut self, session: SessionId, frame: Frame<EntryMessage>) {
        match self.links.accept(session, frame.n, self.now) {
            Some(FrameOrder::Next) => {}
            Some(FrameOrder::Gap) => {
                self.log(EventCode::SessionGap, format!("entry session {session}"));
                self.out.push(AgentAction::CloseEntry(session));
                self.entry_closed(session);
                return;
            }
            Some(FrameOrder::Copy) | None => return,
        }
        for message in frame.messages {
            if !self.links.is_open(session) {
                return;
            }
            self.counters.message(message.kind());
            self.entry_message(session, message);
        }
    }

    pub(crate) fn entry_message(&mut self, session: SessionId, message: EntryMessage) {
        if let EntryMessage::Welcome(welcome) = message {
            self.welcomed(session, welcome);
            return;
        }
        let Some(entry) = self.links.get_mut(session).and_then(|l| l.entry) else {
            return;
        };
        match message {
            EntryMessage::Welcome(_) => {}
            EntryMessage::Dispatch(dispatch) => self.dispatched(session, entry, dispatch),
            EntryMessage::Revoke(seqs) => self.revoked(entry, &seqs),
            EntryMessage::Demand(n) => self.slots.set_demand(session, n),
            EntryMessage::Reserve(n) => self.slots.reserve(session, n),
            EntryMessage::GiveBack(n) => self.slots.give_back(session, n),
            EntryMessage::Heartbeat { settled_below } => {
                self.ledger.settle(entry, settled_below);
            }
            EntryMessage::Released { settled_below } => {
                self.ledger.settle(entry, settled_below);
                if let Some(link) = self.links.get_mut(session) {
                    link.released = true;
                }
            }
            EntryMessage::Config(config) => {
                if config.stamp.version >= self.config.version {
                    self.config = config.stamp;
                    self.lease = Duration::from_millis(u64::from(config.lease_ms));
                }
            }
            EntryMessage::Claim(claim) => {
                let answer = self.registrar.claim(&claim, self.uptime_ms());
                self.send(session, AgentMessage::Claimed { claim, answer });
            }
            EntryMessage::Release(claim) => self.registrar.release(&claim),
            EntryMessage::Settle { claim, answer } => self.registrar.settle(&claim, answer),
            EntryMessage::Goodbye => self.entry_gone(session, entry),
        }
    }

    /// Resumes with an entry: answers for all that it waits for.
    pub(crate) fn welcomed(&mut self, session: SessionId, welcome: Welcome) {
        let entry = welcome.incarnation;
        if let Some(old) = self.sessions.insert(entry, session)
            && old != session
        {
            self.out.push(AgentAction::CloseEntry(old));
            self.drop_session(old);
        }
        self.end_former_lives(&welcome);
        if let Some(link) = self.links.get_mut(session) {
            link.entry = Some(entry);
            link.name = Some(welcome.name.clone());
            link.heartbeat_every = Duration::from_millis(u64::from(welcome.heartbeat_ms));
            let silence = link.heartbeat_every.mul_f64(SILENT_HEARTBEATS);
            self.links.set_silence(session, silence);
        }
        let resume = self.ledger.open(entry, welcome.resume);
        if resume == Resume::Known {
            self.ledger.settle(entry, welcome.settled_below);
        }
        let fates = self.ledger.reconcile(entry, resume, &welcome.outstanding);
        if !fates.is_empty() {
            self.send(session, AgentMessage::Reconciled(fates));
        }
        self.slots.open(session, welcome.placement);
        if welcome.config.version > self.config.version {
            self.config = welcome.config;
        }
        for address in welcome.entries {
            self.out.push(AgentAction::KnowEntry(address));
        }
        self.log(
            EventCode::EntryJoined,
            format!("{} {entry:016x}", welcome.name),
        );
    }

    /// A new life of an entry is proof that its former one is over.
    pub(crate) fn end_former_lives(&mut self, welcome: &Welcome) {
        let former: Vec<Incarnation> = self
            .sessions
            .iter()
            .filter(|(life, session)| {
                let same_name = self
                    .links
                    .state(**session)
                    .is_some_and(|l| l.name.as_ref() == Some(&welcome.name));
                **life != welcome.incarnation && same_name
            })
            .map(|(life, _)| *life)
            .collect();
        for life in former {
            self.registrar.abandon(life);
        }
    }

    /// An entry's life is over by its own word.
    pub(crate) fn entry_gone(&mut self, session: SessionId, entry: Incarnation) {
        self.registrar.abandon(entry);
        self.out.push(AgentAction::CloseEntry(session));
        self.entry_closed(session);
        self.ledger.remove(entry);
    }

    pub(crate) fn entry_closed(&mut self, session: SessionId) {
        let entry = self.links.get_mut(session).and_then(|l| l.entry);
        self.drop_session(session);
        let Some(entry) = entry else {
            return;
        };
        if self.sessions.get(&entry) == Some(&session) {
            self.sessions.remove(&entry);
            self.ledger.lost(entry, self.now);
            self.log(EventCode::EntryLost, format!("{entry:016x}"));
        }
    }

    pub(crate) fn drop_session(&mut self, session: SessionId) {
        self.links.close(session);
        self.slots.close(session);
    }

    pub(crate) fn send_heartbeats(&mut self) {
        for session in self.links.sessions() {
            let is_quiet = |l: &EntryLink| {
                let every = l.heartbeat_every.max(HEARTBEAT_EVERY);
                self.now.saturating_sub(l.last_sent) >= every
            };
            let quiet = self.links.state(session).is_some_and(is_quiet);
            if quiet {
                let message = AgentMessage::Heartbeat {
                    uptime_ms: self.uptime_ms(),
                    free: self.slots.spare(),
                    config: self.config,
                };
                self.send(session, message);
            }
        }
    }
}
