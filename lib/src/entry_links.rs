//! The link thread of an entry: serves the sessions with agents and peers.

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::entry_input::EntryInput;
use crate::message::{EntryMessage, PeerHello, PeerMessage};
use crate::permit::FleetSecret;
use crate::ring::{RingRx, RingTx, TaskWaker};
use crate::session_links::{
    self, HandshakeConfig, LinkCommand, LinkTraffic, SessionAcceptor, SessionLinks,
};

/// URL path of agents' sessions.
pub const AGENT_PATH: &str = "/agent";
/// URL path of peers' sessions.
pub const PEER_PATH: &str = "/peer";
/// Time for sessions to write queued messages at a stop.
const FINAL_WRITE_TIME: Duration = Duration::from_millis(200);

/// Inputs of the link thread.
pub(crate) struct LinkParts {
    pub(crate) listener: TcpListener,
    pub(crate) secret: FleetSecret,
    pub(crate) hello: PeerHello,
    pub(crate) agent_events: RingTx<EntryInput>,
    pub(crate) agent_commands: RingRx<LinkCommand<EntryMessage>>,
    pub(crate) agent_waker: TaskWaker,
    pub(crate) peer_events: RingTx<EntryInput>,
    pub(crate) peer_commands: RingRx<LinkCommand<PeerMessage>>,
    pub(crate) peer_waker: TaskWaker,
    pub(crate) traffic: Arc<LinkTraffic>,
}

impl LinkParts {
    /// Serves agents and peers until the core has ended.
    pub(crate) async fn serve(self) {
        let agent_handshake = HandshakeConfig {
            our_first: None,
            await_first: true,
            path: AGENT_PATH,
        };
        let peer_handshake = HandshakeConfig {
            our_first: Some(PeerMessage::Hello(self.hello)),
            await_first: true,
            path: PEER_PATH,
        };
        let agents = SessionLinks::new(
            self.secret.clone(),
            agent_handshake,
            self.agent_events,
            EntryInput::Agent,
            self.traffic.clone(),
        );
        let peers = SessionLinks::new(
            self.secret.clone(),
            peer_handshake,
            self.peer_events,
            EntryInput::Peer,
            self.traffic,
        );
        let listener = self.listener.set_nonblocking(true);
        let listener = listener.and_then(|()| tokio::net::TcpListener::from_std(self.listener));
        let listener = match listener {
            Ok(listener) => listener,
            Err(e) => {
                log::error!("cannot listen for agents and peers: {e}");
                return;
            }
        };
        let adopters: Vec<Rc<dyn SessionAcceptor>> = vec![agents.clone(), peers.clone()];
        let accept =
            tokio::task::spawn_local(session_links::accept_all(listener, self.secret, adopters));
        tokio::join!(
            agents.serve(self.agent_commands, self.agent_waker),
            peers.serve(self.peer_commands, self.peer_waker),
        );
        accept.abort();
        // Gives the sessions time to write what is queued, including the goodbyes.
        tokio::time::sleep(FINAL_WRITE_TIME).await;
    }
}
