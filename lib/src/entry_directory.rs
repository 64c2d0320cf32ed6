//! What an entry shares with the other entries: the configuration in force, the evacuated halls, the
//! entries' addresses and the batches that are being closed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::batch_event::{EntryAction, EntryOptions};
use crate::closing_elsewhere::ClosingElsewhere;
use crate::evacuations::{EvacuatedHalls, EvacuationsInForce, Offered};
use crate::events::{EventCode, LogEvent};
use crate::ids::{Now, SessionId};
use crate::peer_book::PeerBook;
use crate::queue::{ConfigInForce, QueueTable};
use crate::run::BatchId;
use crate::run_message::{Packet, PeerIntro, PeerNews, PeerPacket};

/// What another entry's packet means for the rest of this one.
#[derive(Debug, Default)]
pub struct PeerEffects {
    /// Entries learnt, which agents are to be told of.
    pub entries: Vec<SocketAddr>,
    /// Whether a batch that was held may be placed now.
    pub may_place: bool,
    /// Whether other halls are evacuated than before.
    pub evacuations_changed: bool,
}

/// Where an entry's address was learnt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// From the settings or the registry.
    Platform,
    /// From the entry behind a link.
    Entry(SessionId),
}

/// See the module.
#[derive(Debug)]
pub struct EntryDirectory {
    options: Arc<EntryOptions>,
    /// How long another entry may take to close a batch.
    closing_bound: Duration,
    config: ConfigInForce,
    evacuations: EvacuationsInForce,
    /// When the store answered last.
    store_heard: Option<Now>,
    peers: PeerBook,
    elsewhere: ClosingElsewhere,
    out: Vec<EntryAction>,
}

impl EntryDirectory {
    /// Of an entry that knows nothing yet.
    pub fn new(options: Arc<EntryOptions>, closing_bound: Duration) -> Self {
        Self {
            options,
            closing_bound,
            config: ConfigInForce::default(),
            evacuations: EvacuationsInForce::default(),
            store_heard: None,
            peers: PeerBook::default(),
            elsewhere: ClosingElsewhere::default(),
            out: Vec::new(),
        }
    }

    /// The configuration in force.
    pub fn config(&self) -> &ConfigInForce {
        &self.config
    }

    /// The evacuated halls.
    pub fn evacuations(&self) -> &Arc<EvacuatedHalls> {
        self.evacuations.state()
    }

    /// How long ago the store answered; none if it never has.
    pub fn store_age(&self, now: Now) -> Option<Duration> {
        let heard = self.store_heard?;
        Some(now.saturating_sub(heard))
    }

    /// Whether a batch must wait until another entry has closed it.
    pub fn is_closing_elsewhere(&self, now: Now, id: BatchId) -> bool {
        self.elsewhere.held_until(now, id).is_some()
    }

    /// All entries known, this one included.
    pub fn entries(&self) -> Vec<SocketAddr> {
        let mut entries = self.peers.known();
        entries.push(self.options.address);
        entries
    }

    /// Number of entries that live, this one included.
    pub fn living_entries(&self) -> usize {
        self.peers.linked() + 1
    }

    /// When something is due next.
    pub fn next_wake(&self) -> Option<Now> {
        self.peers.next_wake()
    }

    /// What is to be done, with the packets that are due.
    pub fn flush(&mut self, now: Now) -> Vec<EntryAction> {
        for (link, news) in self.peers.take_due(now) {
            self.send(link, news);
        }
        std::mem::take(&mut self.out)
    }

    fn send(&mut self, link: SessionId, news: Vec<PeerNews>) {
        let packet = Packet::BetweenEntries(PeerPacket { news });
        self.out.push(EntryAction::Send(link, packet));
    }

    fn log(&mut self, code: EventCode, detail: String) {
        let event = LogEvent::new(code, detail);
        self.out.push(EntryAction::Log(event));
    }

    fn intro(&self) -> PeerIntro {
        PeerIntro {
            name: self.options.name.clone(),
            life: self.options.life,
            address: self.options.address,
            config: self.config.version(),
            evacuations: self.evacuations.state().place,
            entries: self.peers.known(),
        }
    }

    /// Says hello on a link that this entry dialled.
    pub fn greet(&mut self, link: SessionId) {
        let hello = PeerNews::Hello(self.intro());
        self.send(link, vec![hello]);
    }

    /// Notes that a link is gone.
    pub fn link_down(&mut self, link: SessionId) {
        if let Some(peer) = self.peers.leave(link) {
            self.log(EventCode::PeerLost, format!("entry={}", peer.name));
        }
    }

    /// Closes links that have been silent for too long.
    pub fn close_silent(&mut self, now: Now) {
        for link in self.peers.silent(now) {
            self.out.push(EntryAction::Close(link));
            self.link_down(link);
        }
    }

    /// Takes in another entry's packet.
    pub fn packet(&mut self, now: Now, link: SessionId, packet: PeerPacket) -> PeerEffects {
        self.peers.heard(now, link);
        let mut effects = PeerEffects::default();
        for news in packet.news {
            match news {
                PeerNews::Hello(intro) => {
                    effects.entries.extend(self.peer_joined(now, link, &intro));
                }
                PeerNews::Config(table) => {
                    self.peers.holds(link, table.version);
                    self.offer_config(now, &table, "entry");
                }
                PeerNews::Evacuations(state) => {
                    self.peers.knows_evacuations(link, state.place);
                    effects.evacuations_changed |= self.offer_evacuations(now, &state, "entry");
                }
                PeerNews::Entries(addresses) => {
                    effects
                        .entries
                        .extend(self.learn(now, Source::Entry(link), addresses));
                }
                PeerNews::Closing(ids) => {
                    for id in ids {
                        self.elsewhere.note(now, id, self.closing_bound);
                    }
                }
                PeerNews::Closed(ids) => {
                    for id in ids {
                        effects.may_place |= self.elsewhere.over(id);
                    }
                }
                PeerNews::Heartbeat => {}
            }
        }
        effects
    }

    fn peer_joined(&mut self, now: Now, link: SessionId, intro: &PeerIntro) -> Vec<SocketAddr> {
        self.log(
            EventCode::PeerJoined,
            format!(
                "entry={} life={:x} config={}",
                intro.name, intro.life, intro.config
            ),
        );
        // Both sides say hello; an answer to an answer is not needed.
        if self.peers.join(now, link, intro) {
            let hello = PeerNews::Hello(self.intro());
            self.peers.tell(now, link, hello);
        }
        if let Some(table) = self.config.table()
            && table.version > intro.config
        {
            self.peers.holds(link, table.version);
            self.peers.tell(now, link, PeerNews::Config(table.clone()));
        }
        let state = self.evacuations.state();
        if state.place > intro.evacuations {
            let news = PeerNews::Evacuations(state.clone());
            self.peers.knows_evacuations(link, state.place);
            self.peers.tell(now, link, news);
        }
        let mut addresses = intro.entries.clone();
        addresses.push(intro.address);
        self.learn(now, Source::Entry(link), addresses)
    }

    /// Learns addresses of entries, dials those that are new and passes them on; gives them.
    ///
    /// One link between two entries is enough: of two that hear of each other, the one with the
    /// lower address dials. What the platform names is dialled in any case, for nobody else may know
    /// of this entry yet.
    pub fn learn(
        &mut self,
        now: Now,
        source: Source,
        addresses: Vec<SocketAddr>,
    ) -> Vec<SocketAddr> {
        let own = self.options.address;
        let others = addresses.into_iter().filter(|a| *a != own);
        let fresh = self.peers.learn(others);
        if fresh.is_empty() {
            return fresh;
        }
        self.log(EventCode::EntriesLearnt, format!("addresses={fresh:?}"));
        for address in &fresh {
            if source == Source::Platform || own < *address {
                self.out.push(EntryAction::Dial(*address));
            }
        }
        let from = match source {
            Source::Entry(link) => Some(link),
            Source::Platform => None,
        };
        let news = PeerNews::Entries(fresh.clone());
        self.peers.tell_others(now, from, &news);
        fresh
    }

    /// Takes a configuration in force if it is newer, and passes it on.
    pub fn offer_config(&mut self, now: Now, table: &Arc<QueueTable>, from: &str) {
        if !self.config.offer(table) {
            return;
        }
        let version = table.version;
        let queues = table.queues.len();
        self.log(
            EventCode::ConfigInForce,
            format!("version={version} queues={queues} from={from}"),
        );
        let news = PeerNews::Config(table.clone());
        self.peers.tell_config(now, version, &news);
    }

    /// The store has answered: these halls are evacuated. Says whether others were before.
    pub fn store_answered(&mut self, now: Now, state: &Arc<EvacuatedHalls>) -> bool {
        self.store_heard = Some(now);
        self.offer_evacuations(now, state, "store")
    }

    /// Takes evacuations in force if they are newer, and passes them on if they are others; says
    /// whether they are.
    fn offer_evacuations(&mut self, now: Now, state: &Arc<EvacuatedHalls>, from: &str) -> bool {
        if self.evacuations.offer(state) != Offered::Changed {
            return false;
        }
        let (halls, place) = (state.names(), state.place);
        self.log(
            EventCode::EvacuationsChanged,
            format!("halls=[{halls}] place={place} from={from}"),
        );
        self.peers.tell_evacuations(now, state);
        true
    }

    /// Tells the other entries that a batch is being closed here.
    pub fn tell_closing(&mut self, now: Now, id: BatchId) {
        let news = PeerNews::Closing(vec![id]);
        self.peers.tell_others(now, None, &news);
    }

    /// Tells the other entries that nothing of a batch runs here any more.
    pub fn tell_closed(&mut self, now: Now, id: BatchId) {
        self.peers.tell_closed(now, id);
    }
}
