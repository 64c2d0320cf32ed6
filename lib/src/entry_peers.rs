//! Sessions between entries: load reports, configuration and forwarded cancellations.

use std::time::Duration;

use crate::config_chain::AdoptOutcome;
use crate::counters::MessageKind as _;
use crate::entry::{EntryAction, EntryCore};
use crate::events::EventCode;
use crate::frame_order::FrameOrder;
use crate::ids::{Incarnation, SessionId};
use crate::message::{Frame, PROTOCOL_VERSION, PeerHello, PeerMessage, PeerReport};
use crate::outbox::{ExchangedFrames, PeerLink};

/// Minimum interval between reports to one peer.
const MIN_REPORT_EVERY: Duration = Duration::from_millis(100);
/// Minimum interval between reports of an entry without jobs.
const IDLE_REPORT_EVERY: Duration = Duration::from_secs(2);
/// Maximum interval between reports to one peer; reports also serve as heartbeats.
const MAX_REPORT_EVERY: Duration = Duration::from_secs(6);
/// Bytes per second for all reports of an entry.
const REPORT_BUDGET: f64 = 6_000.0;
/// Bytes of a report without its teams, framing included.
const REPORT_BASE_BYTES: usize = 90;
/// Bytes of one team in a report.
const REPORT_TEAM_BYTES: usize = 24;

impl EntryCore {
    /// Handles a peer's hello. Refuses other protocol versions and sessions with this entry itself.
    pub(crate) fn peer_opened(&mut self, session: SessionId, hello: PeerHello) {
        let is_self = hello.incarnation == self.options.incarnation;
        if hello.protocol != PROTOCOL_VERSION || is_self {
            self.actions.push(EntryAction::ClosePeer(session));
            return;
        }
        self.log(EventCode::PeerJoined, &*hello.name);
        let link = PeerLink {
            name: hello.name,
            incarnation: hello.incarnation,
            agent_address: hello.agent_address,
            waiting_work_ms: 0,
            reported_at: self.now,
        };
        let passed = ExchangedFrames {
            sent: 1,
            received: 1,
        };
        self.peers.open(session, link, passed, self.now);
        self.check_peer_config(session, hello.config);
        self.send_report(session);
    }

    /// Handles a frame of a peer.
    pub(crate) fn peer_frame(&mut self, session: SessionId, frame: Frame<PeerMessage>) {
        match self.peers.accept(session, frame.n, self.now) {
            Some(FrameOrder::Next) => {}
            Some(FrameOrder::Gap) => {
                self.log(EventCode::SessionGap, format!("peer session {session}"));
                self.actions.push(EntryAction::ClosePeer(session));
                self.peer_closed(session);
                return;
            }
            Some(FrameOrder::Copy) | None => return,
        }
        for message in frame.messages {
            if !self.peers.is_open(session) {
                return;
            }
            self.counters.message(message.kind());
            self.peer_message(session, message);
        }
    }

    fn peer_message(&mut self, session: SessionId, message: PeerMessage) {
        match message {
            PeerMessage::Hello(_) => {}
            PeerMessage::Report(report) => self.peer_report(session, report),
            PeerMessage::FetchConfig => {
                if let Some(state) = self.config.state().cloned() {
                    self.send_peer(session, PeerMessage::Config(state));
                }
            }
            PeerMessage::Config(state) => {
                if self.config.adopt(&state) == AdoptOutcome::Newer {
                    self.config_changed();
                }
            }
            PeerMessage::CancelJob { job, team } => {
                if job.entry == self.options.incarnation {
                    self.cancel_for(&team, job.seq);
                }
            }
            PeerMessage::Goodbye => {
                self.actions.push(EntryAction::ClosePeer(session));
                self.peer_closed(session);
            }
        }
    }

    fn peer_report(&mut self, session: SessionId, report: PeerReport) {
        let Some(link) = self.peers.get_mut(session) else {
            return;
        };
        link.waiting_work_ms = report.waiting_work_ms;
        let peer = link.incarnation;
        self.quotas.peer_report(peer, &report.teams);
        for target in report.set_aside {
            if let Some(change) = self.health.peer_set_aside(target, self.now) {
                self.apply_health(change);
            }
        }
        self.check_peer_config(session, report.config);
    }

    /// Fetches a peer's configuration if it is newer, if none is held here, or if it could fill a
    /// gap in the log as read here.
    fn check_peer_config(&mut self, session: SessionId, stamp: crate::config_chain::ConfigStamp) {
        self.config.note_known_version(stamp);
        let newer = stamp.version > self.config.stamp().version;
        let none_held = self.config.document().is_none();
        if newer || none_held || self.config.has_gap() {
            self.send_peer(session, PeerMessage::FetchConfig);
        }
    }

    /// Handles the end of a peer's session.
    pub(crate) fn peer_closed(&mut self, session: SessionId) {
        let Some(link) = self.peers.close(session) else {
            return;
        };
        self.log(EventCode::PeerLost, &*link.name);
        if self.peer_session(link.incarnation).is_none() {
            self.quotas.peer_gone(link.incarnation);
        }
    }

    /// The session with a peer's incarnation.
    pub(crate) fn peer_session(&mut self, peer: Incarnation) -> Option<SessionId> {
        let sessions = self.peers.sessions();
        sessions.into_iter().find(|s| {
            self.peers
                .get_mut(*s)
                .is_some_and(|l| l.incarnation == peer)
        })
    }

    /// Estimated work that waits at peers, as run time on one slot.
    pub(crate) fn peers_waiting_work(&self) -> Duration {
        let work: u64 = self.peers.states().map(|l| l.waiting_work_ms).sum();
        Duration::from_millis(work)
    }

    /// Addresses for agents of this entry and of its peers, in this order.
    pub(crate) fn known_entries(&self) -> Vec<String> {
        let own = std::iter::once(self.options.agent_address.clone());
        let peers = self.peers.states().map(|l| l.agent_address.clone());
        own.chain(peers).collect()
    }

    /// Closes silent sessions and sends the reports that are due.
    pub(crate) fn tick_peers(&mut self) {
        let silent = self.peers.silent(self.now);
        for session in silent {
            self.actions.push(EntryAction::ClosePeer(session));
            self.peer_closed(session);
        }
        let every = self.report_every();
        for session in self.peers.sessions() {
            let link = self.peers.get_mut(session);
            let due = link.is_some_and(|l| self.now.saturating_sub(l.reported_at) >= every);
            if due {
                self.send_report(session);
            }
        }
    }

    /// The report interval. It grows with the number of peers to keep all reports within their
    /// byte budget.
    fn report_every(&self) -> Duration {
        let min = if self.jobs.is_empty() {
            IDLE_REPORT_EVERY
        } else {
            MIN_REPORT_EVERY
        };
        let size = REPORT_BASE_BYTES + REPORT_TEAM_BYTES * self.quotas.report(self.now).len();
        let seconds = (size * self.peers.len()) as f64 / REPORT_BUDGET;
        Duration::from_secs_f64(seconds).clamp(min, MAX_REPORT_EVERY)
    }

    fn send_report(&mut self, session: SessionId) {
        let report = PeerReport {
            waiting_work_ms: self.jobs.waiting_work().as_millis() as u64,
            teams: self.quotas.report(self.now),
            set_aside: self.health.set_aside(),
            config: self.config.stamp(),
        };
        if let Some(link) = self.peers.get_mut(session) {
            link.reported_at = self.now;
        }
        self.send_peer(session, PeerMessage::Report(report));
    }

    /// Sends a report to all peers at once, for a changed configuration.
    pub(crate) fn report_to_all(&mut self) {
        for session in self.peers.sessions() {
            self.send_report(session);
        }
    }
}
