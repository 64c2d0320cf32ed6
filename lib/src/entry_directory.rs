//! What an entry shares with the other entries: the configuration in force, the evacuated halls, the
//! entries' addresses and the batches that are being closed.
//!
//! In a large fleet an entry links to a few others, its neighbours, and what is news is passed on
//! from neighbour to neighbour. So what an entry sends does not grow with the fleet.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::batch_event::{EntryAction, EntryOptions};
use crate::config_fetch::ConfigFetch;
use crate::evacuations::{EvacuatedHalls, EvacuationsInForce, Offered};
use crate::events::{EventCode, LogEvent};
use crate::ids::{Now, SessionId};
use crate::peer_closings::PeerClosings;
use crate::peer_table::PeerTable;
use crate::preferred_entries::{FULL_MESH_LIMIT, LinkStep, PREFERRED_COUNT, PreferredEntries};
use crate::queue::{ConfigInForce, ConfigVersion, QueueTable};
use crate::run::BatchId;
use crate::run_message::{ClosingBatch, Packet, PeerIntro, PeerNews, PeerPacket};

/// Entries that an entry of a large fleet links to; as many link to it. With half of the entries gone,
/// one in 4,000 has no living neighbour.
const NEIGHBOURS: usize = 6;
/// Addresses learnt at a time that are named in the log; of more only the number.
const MOST_NAMED: usize = 8;

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
    peers: PeerTable,
    neighbours: PreferredEntries,
    config_fetch: ConfigFetch,
    elsewhere: PeerClosings,
    /// Batches that are being closed here.
    closing_here: BTreeSet<BatchId>,
    out: Vec<EntryAction>,
}

impl EntryDirectory {
    /// Of an entry that knows nothing yet.
    pub fn new(options: Arc<EntryOptions>, closing_bound: Duration) -> Self {
        let neighbours = PreferredEntries::new(&options.name, NEIGHBOURS, Duration::ZERO);
        Self {
            options,
            closing_bound,
            config: ConfigInForce::default(),
            evacuations: EvacuationsInForce::default(),
            store_heard: None,
            peers: PeerTable::default(),
            neighbours,
            config_fetch: ConfigFetch::default(),
            elsewhere: PeerClosings::default(),
            closing_here: BTreeSet::new(),
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
    pub fn is_closing_at_peer(&self, now: Now, id: BatchId) -> bool {
        self.elsewhere.blocked_until(now, id).is_some()
    }

    /// All entries known, this one included.
    pub fn entries(&self) -> Vec<SocketAddr> {
        let mut entries = self.peers.known();
        entries.push(self.options.address);
        entries
    }

    fn is_large_fleet(&self) -> bool {
        self.peers.count_known() > FULL_MESH_LIMIT
    }

    /// Number of entries that give work to the same target, this one included.
    pub fn entries_a_target(&self) -> usize {
        if self.is_large_fleet() {
            PREFERRED_COUNT
        } else {
            self.peers.linked() + 1
        }
    }

    /// When something is due next.
    pub fn next_wake(&self) -> Option<Now> {
        let times = [
            self.peers.next_wake(),
            self.neighbours.next_wake(),
            self.config_fetch.next_wake(),
        ];
        times.into_iter().flatten().min()
    }

    /// What is to be done, with the packets that are due.
    pub fn flush(&mut self, now: Now) -> Vec<EntryAction> {
        self.keep_neighbours(now);
        if let Some(link) = self.config_fetch.take_due(now, self.config.version()) {
            self.peers.tell(now, link, PeerNews::WantConfig);
        }
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
            life: self.options.incarnation,
            address: self.options.address,
            config: self.config.version(),
            evacuations: self.evacuations.state().place,
            entries: self.peers.known(),
        }
    }

    /// Dials neighbours and gives up links as the choice of them wants it.
    fn keep_neighbours(&mut self, now: Now) {
        // Nothing depends on a link between entries.
        for step in self.neighbours.steps(now, |_| false) {
            match step {
                LinkStep::Dial(address) => self.out.push(EntryAction::Dial(address)),
                LinkStep::Disconnect(address, link) => {
                    self.out.push(EntryAction::Disconnect(address));
                    if let Some(link) = link {
                        self.out.push(EntryAction::Close(link));
                        self.link_down(now, link);
                    }
                }
                // No work comes over it that a warning would keep away.
                LinkStep::Drain(_) => {}
            }
        }
    }

    /// Says hello on a link that this entry dialled.
    pub fn greet(&mut self, now: Now, link: SessionId, address: SocketAddr) {
        self.neighbours.link_up(now, address, link);
        let hello = PeerNews::Hello(self.intro());
        self.send(link, vec![hello]);
    }

    /// Notes that a link is gone.
    pub fn link_down(&mut self, now: Now, link: SessionId) {
        self.neighbours.link_down(now, link);
        self.config_fetch.forget(link);
        if let Some(peer) = self.peers.leave(link) {
            self.log(EventCode::PeerLost, format!("entry={}", peer.name));
        }
    }

    /// Closes links that have been silent for too long.
    pub fn close_silent(&mut self, now: Now) {
        for link in self.peers.silent(now) {
            self.out.push(EntryAction::Close(link));
            self.link_down(now, link);
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
                PeerNews::ConfigVersion(version) => self.note_config(now, link, version),
                PeerNews::WantConfig => self.send_config(now, link),
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
                PeerNews::Closing(closing) => self.note_closing(now, link, closing),
                PeerNews::Closed(closing) => {
                    effects.may_place |= self.note_closed(now, link, closing);
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
            self.tell_what_is_closing(now, link);
        }
        self.note_config(now, link, intro.config);
        let version = self.config.version();
        if version > intro.config {
            self.peers.holds(link, version);
            let word = PeerNews::ConfigVersion(version);
            self.peers.tell(now, link, word);
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

    /// Notes which configuration a neighbour holds.
    fn note_config(&mut self, now: Now, link: SessionId, version: ConfigVersion) {
        self.peers.holds(link, version);
        let own = self.config.version();
        if version > own {
            self.config_fetch.heard(now, link, version, own);
        }
    }

    fn send_config(&mut self, now: Now, link: SessionId) {
        if let Some(table) = self.config.table() {
            self.peers.holds(link, table.version);
            let news = PeerNews::Config(table.clone());
            self.peers.tell(now, link, news);
        }
    }

    /// Tells a new neighbour of all batches that are being closed: those notices may have come while
    /// no link stood, as when the callers' connections and those between entries are reset together.
    fn tell_what_is_closing(&mut self, now: Now, link: SessionId) {
        let here = self.closing_here.iter().map(|id| self.closing(*id));
        let closing: Vec<ClosingBatch> = here.chain(self.elsewhere.open(now)).collect();
        for closing in closing {
            self.peers.tell(now, link, PeerNews::Closing(closing));
        }
    }

    fn note_closing(&mut self, now: Now, link: SessionId, closing: ClosingBatch) {
        let is_own = closing.entry == self.options.incarnation;
        if !is_own && self.elsewhere.note(now, closing, self.closing_bound) {
            let news = PeerNews::Closing(closing);
            self.peers.pass_on(now, link, &news);
        }
    }

    fn note_closed(&mut self, now: Now, link: SessionId, closing: ClosingBatch) -> bool {
        let is_own = closing.entry == self.options.incarnation;
        let is_news = !is_own && self.elsewhere.over(now, closing, self.closing_bound);
        if is_news {
            self.peers.tell_closed(now, closing, Some(link));
        }
        is_news
    }

    /// Learns addresses of entries and passes those that are new on; gives them.
    ///
    /// In a small fleet all entries are linked, and one link between two of them is enough: of two
    /// that hear of each other, the one with the lower address dials. What the platform names is
    /// dialled in any case, for nobody else may know of this entry yet.
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
        let known = self.peers.count_known();
        let named = &fresh[..fresh.len().min(MOST_NAMED)];
        let count = fresh.len();
        self.log(
            EventCode::EntriesLearnt,
            format!("count={count} known={known} addresses={named:?}"),
        );
        if self.is_large_fleet() {
            self.neighbours.learn(now, self.peers.known());
        } else {
            let is_to_dial = |a: &SocketAddr| source == Source::Platform || own < *a;
            self.neighbours
                .learn(now, fresh.iter().copied().filter(is_to_dial));
        }
        let news = PeerNews::Entries(fresh.clone());
        match source {
            Source::Entry(link) => self.peers.pass_on(now, link, &news),
            Source::Platform => self.peers.tell_all(now, &news),
        }
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
        self.peers.tell_config(now, version);
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
        self.closing_here.insert(id);
        let news = PeerNews::Closing(self.closing(id));
        self.peers.tell_all(now, &news);
    }

    /// A batch that was being closed here is wanted again: its caller came back.
    pub fn reopened(&mut self, id: BatchId) {
        self.closing_here.remove(&id);
    }

    fn closing(&self, batch: BatchId) -> ClosingBatch {
        let entry = self.options.incarnation;
        ClosingBatch { batch, entry }
    }

    /// Tells the other entries that nothing of a batch runs here any more.
    pub fn tell_closed(&mut self, now: Now, id: BatchId) {
        self.closing_here.remove(&id);
        let closing = self.closing(id);
        self.peers.tell_closed(now, closing, None);
    }
}
