//! The agent's sessions with entries, from the hello to the end.

use std::time::Duration;

use crate::agent::{AgentAction, AgentCore, EntryLink};
use crate::counters::MessageKind as _;
use crate::entry_targets::{HEARTBEAT_EVERY, SILENT_HEARTBEATS};
use crate::events::EventCode;
use crate::frame_order::FrameOrder;
use crate::ids::{Incarnation, SessionId};
use crate::ledger::Resume;
use crate::message::{AgentHello, AgentMessage, EntryMessage, Frame, PROTOCOL_VERSION, Welcome};
use crate::outbox::ExchangedFrames;

impl AgentCore {
    pub(crate) fn entry_connected(&mut self, session: SessionId) {
        let passed = ExchangedFrames::default();
        self.links
            .open(session, EntryLink::default(), passed, self.now);
        // The welcome sets the real limit. This one closes the session if the welcome is lost.
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
                self.actions.push(AgentAction::CloseEntry(session));
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
            EntryMessage::Goodbye => self.entry_said_goodbye(session, entry),
        }
    }

    /// Resumes the work with an entry and reports the fates of its outstanding dispatches.
    pub(crate) fn welcomed(&mut self, session: SessionId, welcome: Welcome) {
        let entry = welcome.incarnation;
        if let Some(old) = self.sessions.insert(entry, session)
            && old != session
        {
            self.actions.push(AgentAction::CloseEntry(old));
            self.drop_session(old);
        }
        self.end_former_incarnations(&welcome);
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
            self.actions.push(AgentAction::KnowEntry(address));
        }
        self.log(
            EventCode::EntryJoined,
            format!("{} {entry:016x}", welcome.name),
        );
    }

    /// Abandons the claims of an entry's former incarnations: a welcome from a new one proves that
    /// they have ended.
    pub(crate) fn end_former_incarnations(&mut self, welcome: &Welcome) {
        let former: Vec<Incarnation> = self
            .sessions
            .iter()
            .filter(|(incarnation, session)| {
                let same_name = self
                    .links
                    .state(**session)
                    .is_some_and(|l| l.name.as_ref() == Some(&welcome.name));
                **incarnation != welcome.incarnation && same_name
            })
            .map(|(incarnation, _)| *incarnation)
            .collect();
        for incarnation in former {
            self.registrar.abandon(incarnation);
        }
    }

    /// Closes the session of an entry that has said goodbye and drops its record.
    pub(crate) fn entry_said_goodbye(&mut self, session: SessionId, entry: Incarnation) {
        self.registrar.abandon(entry);
        self.actions.push(AgentAction::CloseEntry(session));
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
                let interval = l.heartbeat_every.max(HEARTBEAT_EVERY);
                self.now.saturating_sub(l.last_sent) >= interval
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
