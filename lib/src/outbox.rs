//! Collects the messages for each session during one event and sends them as one frame per session.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::frame_order::{FrameOrder, FrameReceiver, FrameSender};
use crate::ids::{Incarnation, Now, SessionId};
use crate::message::{EntryMessage, Frame, PeerMessage};

/// Default time without a frame after which a session counts as silent. It exceeds the longest
/// interval between reports of a peer.
const DEFAULT_SILENCE_LIMIT: Duration = Duration::from_secs(20);

/// Sessions with agents.
pub type AgentOutboxes = Outboxes<EntryMessage, AgentLink>;
/// Sessions with peers.
pub type PeerOutboxes = Outboxes<PeerMessage, PeerLink>;

/// State that a core keeps for an agent's session.
#[derive(Debug, Default)]
pub struct AgentLink;

/// State that a core keeps for a peer's session.
#[derive(Debug)]
pub struct PeerLink {
    /// Name of the peer.
    pub name: Arc<str>,
    /// Incarnation of the peer.
    pub incarnation: Incarnation,
    /// Address of the peer to which agents connect.
    pub agent_address: String,
    /// Work that waits at the peer, in milliseconds of one slot.
    pub waiting_work_ms: u64,
    /// When the last report was sent to the peer.
    pub reported_at: Now,
}

/// Frame numbers, silence limit and unsent messages of one session.
#[derive(Debug)]
struct Link<M, S> {
    state: S,
    sender: FrameSender,
    receiver: FrameReceiver,
    heard_at: Now,
    silence: Duration,
    messages: Vec<M>,
}

/// The open sessions of one kind, with their unsent messages.
#[derive(Debug)]
pub struct Outboxes<M, S> {
    links: BTreeMap<SessionId, Link<M, S>>,
    /// Sessions with unsent messages.
    unflushed: Vec<SessionId>,
}

impl<M, S> Default for Outboxes<M, S> {
    fn default() -> Self {
        Self {
            links: BTreeMap::new(),
            unflushed: Vec::new(),
        }
    }
}

/// Numbers of frames exchanged on a session before the core takes it over.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ExchangedFrames {
    /// Frames sent by this side.
    pub sent: u64,
    /// Frames received from the other side.
    pub received: u64,
}

pub type SessionFrame<M> = (SessionId, Frame<M>);

impl<M, S> Outboxes<M, S> {
    /// Adds a session on which the hello frames have already been exchanged.
    pub fn open(&mut self, session: SessionId, state: S, passed: ExchangedFrames, now: Now) {
        let link = Link {
            state,
            sender: FrameSender::after(passed.sent),
            receiver: FrameReceiver::after(passed.received),
            heard_at: now,
            silence: DEFAULT_SILENCE_LIMIT,
            messages: Vec::new(),
        };
        self.links.insert(session, link);
    }

    /// Drops a session with its unsent messages and returns its state.
    pub fn close(&mut self, session: SessionId) -> Option<S> {
        self.links.remove(&session).map(|link| link.state)
    }

    /// Whether a session is open.
    pub fn is_open(&self, session: SessionId) -> bool {
        self.links.contains_key(&session)
    }

    /// Classifies a received frame by its number; `None` if the session is not open.
    pub fn accept(&mut self, session: SessionId, n: u64, now: Now) -> Option<FrameOrder> {
        let link = self.links.get_mut(&session)?;
        link.heard_at = now;
        Some(link.receiver.accept(n))
    }

    /// Adds a message to the session's next frame.
    pub fn push(&mut self, session: SessionId, message: M) {
        if let Some(link) = self.links.get_mut(&session) {
            if link.messages.is_empty() {
                self.unflushed.push(session);
            }
            link.messages.push(message);
        }
    }

    /// Takes all unsent messages, as one frame per session.
    pub fn flush(&mut self) -> Vec<SessionFrame<M>> {
        let mut frames = Vec::with_capacity(self.unflushed.len());
        for session in self.unflushed.drain(..) {
            if let Some(link) = self.links.get_mut(&session)
                && !link.messages.is_empty()
            {
                let messages = std::mem::take(&mut link.messages);
                frames.push((session, link.sender.frame(messages)));
            }
        }
        frames
    }

    /// Sets the time without a frame after which a session counts as silent.
    pub fn set_silence(&mut self, session: SessionId, silence: Duration) {
        if let Some(link) = self.links.get_mut(&session) {
            link.silence = silence;
        }
    }

    /// Sessions whose last frame arrived longer ago than their silence limit.
    pub fn silent(&self, now: Now) -> Vec<SessionId> {
        let is_silent = |l: &Link<M, S>| now.saturating_sub(l.heard_at) > l.silence;
        let silent = self.links.iter().filter(|(_, l)| is_silent(l));
        silent.map(|(session, _)| *session).collect()
    }

    /// All sessions.
    pub fn sessions(&self) -> Vec<SessionId> {
        self.links.keys().copied().collect()
    }

    /// Mutable state of a session.
    pub fn get_mut(&mut self, session: SessionId) -> Option<&mut S> {
        self.links.get_mut(&session).map(|l| &mut l.state)
    }

    /// State of a session.
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
