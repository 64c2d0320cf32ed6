//! The mesh of entries: load reports, configuration, cancellations passed on.

use std::time::Duration;

use crate::config_chain::Adopted;
use crate::counters::Kind as _;
use crate::entry::{EntryAction, EntryCore};
use crate::events::EventCode;
use crate::frame_order::FrameOrder;
use crate::ids::{Incarnation, SessionId};
use crate::message::{Frame, PROTOCOL_VERSION, PeerHello, PeerMessage, PeerReport};
use crate::outbox::{Passed, PeerLink};

/// Shortest time between reports to one peer.
const LEAST_REPORT_EVERY: Duration = Duration::from_millis(100);
/// Time between reports of an entry without jobs, if the budget allows.
const IDLE_REPORT_EVERY: Duration = Duration::from_secs(2);
/// Longest time between reports to one peer; also its sign of life.
const MOST_REPORT_EVERY: Duration = Duration::from_secs(6);
/// Bytes a second that all reports of an entry together may take.
const REPORT_BUDGET: f64 = 6_000.0;
/// Bytes of a report besides its teams, framing counted.
const REPORT_BASE: usize = 90;
/// Bytes of a team in a report.
const REPORT_TEAM: usize = 24;

impl EntryCore {
    /// Takes in a peer's hello.
    pub(crate) fn peer_opened(&mut self, session: SessionId, hello: PeerHello) {
        let ourselves = hello.incarnation == self.options.incarnation;
        if hello.protocol != PROTOCOL_VERSION || ourselves {
            self.out.push(EntryAction::ClosePeer(session));
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
        let passed = Passed {
            sent: 1,
            received: 1,
        };
        self.peers.open(session, link, passed, self.now);
        self.hear_peer_config(session, hello.config);
        self.send_report(session);
    }

    /// Takes in a peer's frame.
    pub(crate) fn peer_frame(&mut self, session: SessionId, frame: Frame<PeerMessage>) {
        match self.peers.accept(session, frame.n, self.now) {
            Some(FrameOrder::Next) => {}
            Some(FrameOrder::Gap) => {
                self.log(EventCode::SessionGap, format!("peer session {session}"));
                self.out.push(EntryAction::ClosePeer(session));
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
                if self.config.adopt(&state) == Adopted::Newer {
                    self.config_changed();
                }
            }
            PeerMessage::CancelJob { job, team } => {
                if job.entry == self.options.incarnation {
                    self.cancel_for(&team, job.seq);
                }
            }
            PeerMessage::Goodbye => {
                self.out.push(EntryAction::ClosePeer(session));
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
        self.hear_peer_config(session, report.config);
    }

    /// Fetches a peer's configuration if it is newer, or could fill a gap in what was read.
    fn hear_peer_config(&mut self, session: SessionId, stamp: crate::config_chain::ConfigStamp) {
        self.config.heard_of(stamp);
        let newer = stamp.version > self.config.stamp().version;
        let none_held = self.config.document().is_none();
        if newer || none_held || self.config.has_gap() {
            self.send_peer(session, PeerMessage::FetchConfig);
        }
    }

    /// A peer's session is gone.
    pub(crate) fn peer_closed(&mut self, session: SessionId) {
        let Some(link) = self.peers.close(session) else {
            return;
        };
        self.log(EventCode::PeerLost, &*link.name);
        if self.peer_session(link.incarnation).is_none() {
            self.quotas.peer_gone(link.incarnation);
        }
    }

    /// The session with a peer's life.
    pub(crate) fn peer_session(&mut self, peer: Incarnation) -> Option<SessionId> {
        let sessions = self.peers.sessions();
        sessions.into_iter().find(|s| {
            self.peers
                .get_mut(*s)
                .is_some_and(|l| l.incarnation == peer)
        })
    }

    /// Work that waits at peers, in time of one slot.
    pub(crate) fn peers_waiting_work(&self) -> Duration {
        let work: u64 = self.peers.states().map(|l| l.waiting_work_ms).sum();
        Duration::from_millis(work)
    }

    /// Addresses for agents of the entries known here, our own first.
    pub(crate) fn known_entries(&self) -> Vec<String> {
        let own = std::iter::once(self.options.agent_address.clone());
        let peers = self.peers.states().map(|l| l.agent_address.clone());
        own.chain(peers).collect()
    }

    /// Sends reports that are due. With more peers they get rarer, so that all of them together
    /// stay within their budget.
    pub(crate) fn tick_peers(&mut self) {
        let silent = self.peers.silent(self.now);
        for session in silent {
            self.out.push(EntryAction::ClosePeer(session));
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

    fn report_every(&self) -> Duration {
        let least = if self.jobs.is_empty() {
            IDLE_REPORT_EVERY
        } else {
            LEAST_REPORT_EVERY
        };
        let size = REPORT_BASE + REPORT_TEAM * self.quotas.report(self.now).len();
        let seconds = (size * self.peers.len()) as f64 / REPORT_BUDGET;
        Duration::from_secs_f64(seconds).clamp(least, MOST_REPORT_EVERY)
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

    /// Tells all peers at once that the configuration has changed.
    pub(crate) fn report_to_all(&mut self) {
        for session in self.peers.sessions() {
            self.send_report(session);
        }
    }
}
