//! What the other threads of an entry push into the core's rings.

use tokio::sync::oneshot;

use crate::entry::{EntryEvent, Reply};
use crate::ids::RequestId;
use crate::message::{AgentMessage, PeerMessage};
use crate::session_links::LinkEvent;

/// An event for the core, and where its answer goes.
#[derive(Debug)]
pub struct Ask {
    /// The event.
    pub event: EntryEvent,
    /// Whom to answer, if anybody.
    pub reply: Option<Awaited>,
}

/// A request that waits for its answer.
#[derive(Debug)]
pub struct Awaited {
    /// Its number.
    pub request: RequestId,
    /// Where the answer goes.
    pub reply: oneshot::Sender<Reply>,
}

/// What goes to the core.
#[derive(Debug)]
pub enum EntryInput {
    /// An event, perhaps with somebody who waits.
    Ask(Ask),
    /// From the agents' sessions.
    Agent(LinkEvent<AgentMessage>),
    /// From the peers' sessions.
    Peer(LinkEvent<PeerMessage>),
    /// End at once, as a crash would.
    Halt,
}
