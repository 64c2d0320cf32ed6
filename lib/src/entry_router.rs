//! Carries out the actions of an entry's core by way of the rings to the other threads.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::oneshot;

use crate::clock::BootInstant;
use crate::core_thread::{InputOutcome, LoopControl, Router};
use crate::entry::{EntryAction, EntryCore, EntryEvent, Reply};
use crate::entry_input::EntryInput;
use crate::ids::RequestId;
use crate::message::{AgentMessage, EntryMessage, PeerMessage};
use crate::platform_thread::PlatformCommand;
use crate::ring::RingTx;
use crate::session_links::{LinkCommand, LinkEvent, LinkTraffic};
use crate::telemetry::{MetricLevels, TelemetryReport};
use crate::worker_threads::{ServerEnd, push_or_wait, report};

/// Interval between reports of levels to telemetry.
const LEVELS_INTERVAL: Duration = Duration::from_secs(1);

/// Sender that ends the HTTP servers; taken at its first use.
pub(crate) type ServerEndSender = Arc<Mutex<Option<oneshot::Sender<ServerEnd>>>>;

/// Rings from the core to the other threads, and the requests that wait for a reply.
pub(crate) struct EntryRouter {
    pub(crate) pending: HashMap<RequestId, oneshot::Sender<Reply>>,
    pub(crate) agents: RingTx<LinkCommand<EntryMessage>>,
    pub(crate) peers: RingTx<LinkCommand<PeerMessage>>,
    pub(crate) platform: RingTx<PlatformCommand>,
    pub(crate) reports: RingTx<TelemetryReport>,
    pub(crate) own_address: String,
    pub(crate) traffic: Arc<LinkTraffic>,
    pub(crate) server_end: ServerEndSender,
    pub(crate) levels_reported_at: BootInstant,
}

impl EntryRouter {
    fn admit_agent(&mut self, event: LinkEvent<AgentMessage>) -> InputOutcome<EntryEvent> {
        InputOutcome::Event(match event {
            LinkEvent::Opened {
                session,
                first: Some(AgentMessage::Hello(hello)),
            } => EntryEvent::AgentOpened { session, hello },
            LinkEvent::Opened { session, .. } => {
                push_or_wait(&mut self.agents, LinkCommand::Close(session));
                return InputOutcome::Nothing;
            }
            LinkEvent::Frame { session, frame } => EntryEvent::AgentFrame { session, frame },
            LinkEvent::Closed(session) => EntryEvent::AgentClosed(session),
        })
    }

    fn admit_peer(&mut self, event: LinkEvent<PeerMessage>) -> InputOutcome<EntryEvent> {
        InputOutcome::Event(match event {
            LinkEvent::Opened {
                session,
                first: Some(PeerMessage::Hello(hello)),
            } => EntryEvent::PeerOpened { session, hello },
            LinkEvent::Opened { session, .. } => {
                push_or_wait(&mut self.peers, LinkCommand::Close(session));
                return InputOutcome::Nothing;
            }
            LinkEvent::Frame { session, frame } => EntryEvent::PeerFrame { session, frame },
            LinkEvent::Closed(session) => EntryEvent::PeerClosed(session),
        })
    }
}

impl Router<EntryCore> for EntryRouter {
    type Input = EntryInput;

    fn admit(&mut self, input: EntryInput) -> InputOutcome<EntryEvent> {
        match input {
            EntryInput::Ask(ask) => {
                if let Some(awaited) = ask.reply {
                    self.pending.insert(awaited.request, awaited.reply);
                }
                if let EntryEvent::CallerGone(request) = &ask.event {
                    self.pending.remove(request);
                }
                InputOutcome::Event(ask.event)
            }
            EntryInput::Agent(event) => self.admit_agent(event),
            EntryInput::Peer(event) => self.admit_peer(event),
            EntryInput::Halt => InputOutcome::Halt,
        }
    }

    fn route(&mut self, action: EntryAction) -> LoopControl {
        match action {
            EntryAction::Reply { request, reply } => {
                // The send fails if the caller has disconnected; the reply is dropped then.
                if let Some(tx) = self.pending.remove(&request) {
                    let _ = tx.send(reply);
                }
            }
            EntryAction::SendAgent { session, frame } => {
                push_or_wait(&mut self.agents, LinkCommand::Send { session, frame });
            }
            EntryAction::CloseAgent(session) => {
                push_or_wait(&mut self.agents, LinkCommand::Close(session));
            }
            EntryAction::SendPeer { session, frame } => {
                push_or_wait(&mut self.peers, LinkCommand::Send { session, frame });
            }
            EntryAction::ClosePeer(session) => {
                push_or_wait(&mut self.peers, LinkCommand::Close(session));
            }
            EntryAction::KnowPeer(address) => {
                // Only the entry with the lower address dials, so two entries hold one session.
                if address > self.own_address {
                    push_or_wait(&mut self.peers, LinkCommand::Dial(address));
                }
            }
            EntryAction::ReadLog(from) => {
                push_or_wait(&mut self.platform, PlatformCommand::ReadLog(from));
            }
            EntryAction::AppendLog(record) => {
                push_or_wait(&mut self.platform, PlatformCommand::Append(record));
            }
            EntryAction::ReadVmList => {
                push_or_wait(&mut self.platform, PlatformCommand::ReadList);
            }
            EntryAction::Log(event) => event.emit(),
            EntryAction::Measured(measure) => {
                report(&mut self.reports, TelemetryReport::Measure(measure));
            }
            EntryAction::Stop => return LoopControl::Stop,
        }
        LoopControl::Continue
    }

    fn observe(&mut self, core: &EntryCore) {
        if self.levels_reported_at.elapsed() < LEVELS_INTERVAL {
            return;
        }
        self.levels_reported_at = BootInstant::now();
        let levels = MetricLevels {
            counters: core.counters().clone(),
            waiting: u64::from(core.waiting_tasks()),
            in_flight: core.jobs_held() as u64,
            slots: u64::from(core.targets().open_slots()),
            config_version: core.config().stamp().version,
            link_bytes: [
                ("sent", self.traffic.bytes_sent.load(Ordering::Relaxed)),
                (
                    "received",
                    self.traffic.bytes_received.load(Ordering::Relaxed),
                ),
            ]
            .into(),
        };
        report(&mut self.reports, TelemetryReport::Levels(Box::new(levels)));
    }
}
