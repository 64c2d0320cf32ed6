//! Inputs that the other threads of an entry push into the core's rings.

use tokio::sync::oneshot;

use crate::entry::{EntryEvent, Reply};
use crate::ids::RequestId;
use crate::message::{AgentMessage, PeerMessage};
use crate::session_links::LinkEvent;

/// An event for the core, with the request that waits for its reply.
#[derive(Debug)]
pub struct CoreRequest {
    pub event: EntryEvent,
    /// The request that waits for a reply, if any.
    pub reply: Option<PendingReply>,
}

/// A request that waits for its reply.
#[derive(Debug)]
pub struct PendingReply {
    /// Id of the request.
    pub request: RequestId,
    /// Channel for the reply.
    pub reply: oneshot::Sender<Reply>,
}

/// An input of the core thread.
#[derive(Debug)]
pub enum EntryInput {
    /// An event, with or without a request that waits for a reply.
    Ask(CoreRequest),
    /// An event of an agent's session.
    Agent(LinkEvent<AgentMessage>),
    /// An event of a peer's session.
    Peer(LinkEvent<PeerMessage>),
    /// Stop at once, as a crash would.
    Halt,
}
