//! Messages collected per session during one event, sent as one frame each.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::frame_order::{FrameOrder, FrameReceiver, FrameSender};
use crate::ids::{Incarnation, Now, SessionId};
use crate::message::{EntryMessage, Frame, PeerMessage};

/// How long a session may be silent unless set otherwise: well over the longest time between
/// reports of a peer.
const LONGEST_SILENCE: Duration = Duration::from_secs(20);

/// Sessions with agents.
pub type AgentOutboxes = Outboxes<EntryMessage, AgentLink>;
/// Sessions with peers.
pub type PeerOutboxes = Outboxes<PeerMessage, PeerLink>;

/// What a core keeps of an agent's session.
#[derive(Debug, Default)]
pub struct AgentLink;

/// What a core keeps of a peer's session.
#[derive(Debug)]
pub struct PeerLink {
    /// Name of the peer.
    pub name: Arc<str>,
    /// Life of the peer.
    pub incarnation: Incarnation,
    /// Address of the peer for agents.
    pub agent_address: String,
    /// Work that waits there, in milliseconds of one slot.
    pub waiting_work_ms: u64,
    /// When the last report was sent to it.
    pub reported_at: Now,
}

/// A session's order of frames and what waits to be sent.
#[derive(Debug)]
struct Link<M, S> {
    state: S,
    sender: FrameSender,
    receiver: FrameReceiver,
    heard_at: Now,
    silence: Duration,
    messages: Vec<M>,
}

/// Sessions of one kind.
#[derive(Debug)]
pub struct Outboxes<M, S> {
    links: BTreeMap<SessionId, Link<M, S>>,
    dirty: Vec<SessionId>,
}

impl<M, S> Default for Outboxes<M, S> {
    fn default() -> Self {
        Self {
            links: BTreeMap::new(),
            dirty: Vec::new(),
        }
    }
}

/// Frames that a driver has exchanged before the core takes a session over.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Passed {
    /// Sent by this side.
    pub sent: u64,
    /// Received from the other side.
    pub received: u64,
}

/// A frame for a session.
pub type SessionFrame<M> = (SessionId, Frame<M>);

impl<M, S> Outboxes<M, S> {
    /// Adds a session on which some frames, the hellos, have passed already.
    pub fn open(&mut self, session: SessionId, state: S, passed: Passed, now: Now) {
        let link = Link {
            state,
            sender: FrameSender::after(passed.sent),
            receiver: FrameReceiver::after(passed.received),
            heard_at: now,
            silence: LONGEST_SILENCE,
            messages: Vec::new(),
        };
        self.links.insert(session, link);
    }

    /// Drops a session with what waits for it.
    pub fn close(&mut self, session: SessionId) -> Option<S> {
        self.links.remove(&session).map(|link| link.state)
    }

    /// Whether a session is open.
    pub fn is_open(&self, session: SessionId) -> bool {
        self.links.contains_key(&session)
    }

    /// Judges a frame that has come; none if the session is not open.
    pub fn accept(&mut self, session: SessionId, n: u64, now: Now) -> Option<FrameOrder> {
        let link = self.links.get_mut(&session)?;
        link.heard_at = now;
        Some(link.receiver.accept(n))
    }

    /// Collects a message.
    pub fn push(&mut self, session: SessionId, message: M) {
        if let Some(link) = self.links.get_mut(&session) {
            if link.messages.is_empty() {
                self.dirty.push(session);
            }
            link.messages.push(message);
        }
    }

    /// Frames of all that was collected.
    pub fn flush(&mut self) -> Vec<SessionFrame<M>> {
        let mut frames = Vec::with_capacity(self.dirty.len());
        for session in self.dirty.drain(..) {
            if let Some(link) = self.links.get_mut(&session)
                && !link.messages.is_empty()
            {
                let messages = std::mem::take(&mut link.messages);
                frames.push((session, link.sender.frame(messages)));
            }
        }
        frames
    }

    /// Sets after how long without a frame a session counts as silent.
    pub fn set_silence(&mut self, session: SessionId, silence: Duration) {
        if let Some(link) = self.links.get_mut(&session) {
            link.silence = silence;
        }
    }

    /// Sessions not heard from for longer than they may be silent.
    pub fn silent(&self, now: Now) -> Vec<SessionId> {
        let is_silent = |l: &Link<M, S>| now.saturating_sub(l.heard_at) > l.silence;
        let silent = self.links.iter().filter(|(_, l)| is_silent(l));
        silent.map(|(session, _)| *session).collect()
    }

    /// All sessions.
    pub fn sessions(&self) -> Vec<SessionId> {
        self.links.keys().copied().collect()
    }

    /// State of a session.
    pub fn get_mut(&mut self, session: SessionId) -> Option<&mut S> {
        self.links.get_mut(&session).map(|l| &mut l.state)
    }

    /// State of a session, to look at.
    pub fn state(&self, session: SessionId) -> Option<&S> {
        self.links.get(&session).map(|l| &l.state)
    }

    /// States of all sessions.
    pub fn states(&self) -> impl Iterator<Item = &S> + '_ {
        self.links.values().map(|l| &l.state)
    }

    /// Number of sessions.
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// Whether there is no session.
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }
}
