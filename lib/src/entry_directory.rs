//! State that an entry shares with the other entries: the configuration in force, the evacuated
//! halls, the addresses of entries and the batches that are being closed.
//!
//! Entries that are linked are neighbours. In a large fleet an entry has only a few, and each
//! forwards news to its own neighbours. An entry's traffic therefore does not grow with the fleet.
//!
//! The store is the platform's service that holds the operators' records: the configuration and the
//! evacuations. It also registers the entries' addresses.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::batch_event::{EntryAction, EntryOptions};
use crate::config_fetch::ConfigFetch;
use crate::crash_notices::{CrashNews, CrashNotices, KnownCrash};
use crate::entry_load::EntryLoadReport;
use crate::evacuations::{EvacuatedHalls, EvacuationsInForce, OfferOutcome};
use crate::events::{EventCode, LogEvent};
use crate::ids::{Incarnation, NodeName, Now, SessionId};
use crate::peer_table::{NeighbourLoad, Peer, PeerTable};
use crate::preferred_entries::{FULL_MESH_LIMIT, LinkStep, PREFERRED_COUNT, PreferredEntries};
use crate::queue::{ConfigInForce, ConfigVersion, QueueTable};
use crate::remembered_cancels::RememberedCancels;
use crate::run::BatchId;
use crate::run_message::{
    CANCEL_NOTICE_PROTOCOL, CRASH_NOTICE_PROTOCOL, CancelNotice, CrashNotice, DispatchNotice,
    EntryMillis, NoticeNumber, PROTOCOL_VERSION, Packet, PeerIntro, PeerNews, PeerPacket,
    RunsNotice,
};
use crate::runs_notices::{NoteOutcome, RunsNotices};

/// Number of entries to which an entry of a large fleet links. On average as many link to it. With
/// half of the entries gone, one in 4,000 has no living neighbour.
const NEIGHBOUR_COUNT: usize = 6;
/// Maximum number of newly learnt addresses that one log line lists.
const MAX_LOGGED_ADDRESSES: usize = 8;

/// Effects of another entry's packet on the rest of this entry.
#[derive(Debug, Default)]
pub struct PeerEffects {
    /// Newly learnt entries, to be sent to the agents.
    pub entries: Vec<SocketAddr>,
    /// Whether a blocked batch may now be placed.
    pub may_place: bool,
    /// Whether the evacuated halls have changed.
    pub evacuations_changed: bool,
    /// Notices of target crashes.
    pub crashes: Vec<CrashNotice>,
    /// New notices that runs of a batch may be left elsewhere.
    pub runs_left: Vec<RunsNotice>,
    /// Reports of orders.
    pub dispatched: Vec<DispatchNotice>,
    /// Batches whose cancel was not known.
    pub cancelled: Vec<BatchId>,
    /// Messages on batches that are handed over, in order.
    pub hand_overs: Vec<PeerNews>,
    /// Messages on claims to batches, in order.
    pub claims: Vec<PeerNews>,
    /// Whether the entry has introduced itself.
    pub is_introduced: bool,
}

impl PeerEffects {
    fn note_runs_left(&mut self, outcome: NoteOutcome, notice: RunsNotice) {
        if outcome == NoteOutcome::New {
            self.runs_left.push(notice);
        }
    }
}

/// Source of an entry's address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The settings or the platform's registry of entries.
    Platform,
    /// The entry behind a link.
    Entry(SessionId),
}

/// Numbers of an entry's notices on one batch since the runs of the earlier ones were over.
#[derive(Debug, Clone, Copy)]
struct OwnNotices {
    first: NoticeNumber,
    last: NoticeNumber,
}

/// The shared state that one entry knows, and its links to other entries.
#[derive(Debug)]
pub struct EntryDirectory {
    options: Arc<EntryOptions>,
    /// Longest time that another entry takes to close a batch.
    closing_bound: Duration,
    config: ConfigInForce,
    evacuations: EvacuationsInForce,
    /// When the store last answered.
    store_heard: Option<Now>,
    peers: PeerTable,
    neighbours: PreferredEntries,
    config_fetch: ConfigFetch,
    runs_notices: RunsNotices,
    crash_notices: CrashNotices,
    cancels: RememberedCancels,
    /// Batches of which this entry has announced that runs may be left.
    own_notices: BTreeMap<BatchId, OwnNotices>,
    last_notice: NoticeNumber,
    /// Load of this entry; `None` if not known.
    own_load: Option<EntryLoadReport>,
    pending_actions: Vec<EntryAction>,
}

impl EntryDirectory {
    /// Creates the directory of an entry that knows nothing yet.
    pub fn new(options: Arc<EntryOptions>, closing_bound: Duration) -> Self {
        let neighbours = PreferredEntries::new(&options.name, NEIGHBOUR_COUNT, Duration::ZERO);
        let cancels = RememberedCancels::new(options.timings.cancel_retention);
        Self {
            options,
            closing_bound,
            config: ConfigInForce::default(),
            evacuations: EvacuationsInForce::default(),
            store_heard: None,
            peers: PeerTable::default(),
            neighbours,
            config_fetch: ConfigFetch::default(),
            runs_notices: RunsNotices::default(),
            crash_notices: CrashNotices::default(),
            cancels,
            own_notices: BTreeMap::new(),
            last_notice: 0,
            own_load: None,
            pending_actions: Vec::new(),
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

    /// Time since the store last answered; `None` if it never has.
    pub fn store_age(&self, now: Now) -> Option<Duration> {
        let heard = self.store_heard?;
        Some(now.saturating_sub(heard))
    }

    /// Whether a batch must wait because runs of it may be left elsewhere.
    pub fn has_runs_elsewhere(&self, now: Now, id: BatchId) -> bool {
        self.blocked_until(now, id).is_some()
    }

    /// Longest time that a batch must wait because runs of it may be left elsewhere; `None` if it
    /// needn't.
    pub fn longest_hold(&self, now: Now, id: BatchId) -> Option<Duration> {
        let until = self.blocked_until(now, id)?;
        Some(until.saturating_sub(now))
    }

    fn blocked_until(&self, now: Now, id: BatchId) -> Option<Now> {
        let entry = self.options.incarnation;
        self.runs_notices.blocked_until(now, id, entry)
    }

    /// Addresses of all known entries, including this one.
    pub fn entries(&self) -> Vec<SocketAddr> {
        let mut entries = self.peers.known();
        entries.push(self.options.address);
        entries
    }

    /// Sets this entry's load, which is reported to the neighbours with the next packets.
    pub fn set_own_load(&mut self, load: Option<EntryLoadReport>) {
        self.own_load = load;
    }

    /// Neighbours whose load is known.
    pub fn known_loads(&self, now: Now) -> Vec<NeighbourLoad> {
        self.peers.known_loads(now)
    }

    /// The entry behind a link.
    pub fn peer(&self, link: SessionId) -> Option<&Peer> {
        self.peers.get(link)
    }

    /// A link to this incarnation of an entry.
    pub fn link_to(&self, life: Incarnation) -> Option<SessionId> {
        self.peers.link_to(life)
    }

    /// Same as [`PeerTable::witness_of`].
    pub fn witness_of(&self, batch: BatchId) -> Option<SessionId> {
        self.peers.witness_of(batch)
    }

    /// Same as [`PeerTable::lost_lately`].
    pub fn lost_peer_lately(&self, now: Now) -> bool {
        self.peers.lost_lately(now)
    }

    /// Same as [`PeerTable::claim_witnesses`].
    pub fn claim_witnesses(&self, batch: BatchId) -> Vec<SessionId> {
        self.peers.claim_witnesses(batch)
    }

    /// Returns a packet with news for one neighbour, to be sent before all others. It replaces no
    /// heartbeat, as those carry this entry's load.
    pub fn urgent_packet(&self, now: Now, link: SessionId, news: PeerNews) -> Option<EntryAction> {
        let peer = self.peers.get(link);
        peer.map(|_| packet_to(now, link, vec![news]))
    }

    /// Sends news to one neighbour with the next packets.
    pub fn tell(&mut self, now: Now, link: SessionId, news: PeerNews) {
        self.peers.tell(now, link, news);
    }

    /// Same as [`PeerTable::set_carries_batches`].
    pub fn set_carries_batches(&mut self, link: SessionId, carries_batches: bool) {
        self.peers.set_carries_batches(link, carries_batches);
    }

    /// Whether entries have links to only some of the others, and agents to only some entries.
    pub fn is_large_fleet(&self) -> bool {
        self.peers.known_count() > FULL_MESH_LIMIT
    }

    /// Number of entries that give work to the same target, including this one. In a large fleet,
    /// the number of links that an agent keeps.
    pub fn entries_per_target(&self) -> usize {
        if self.is_large_fleet() {
            PREFERRED_COUNT
        } else {
            self.peers.linked() + 1
        }
    }

    /// When [`EntryDirectory::flush`] must be called next, if no event comes before.
    pub fn next_wake(&self) -> Option<Now> {
        let times = [
            self.peers.next_wake(),
            self.neighbours.next_wake(),
            self.config_fetch.next_wake(),
        ];
        times.into_iter().flatten().min()
    }

    /// Takes the pending actions, including the packets that are due.
    pub fn flush(&mut self, now: Now) -> Vec<EntryAction> {
        self.update_neighbour_links(now);
        if let Some(link) = self.config_fetch.take_due(now, self.config.version()) {
            self.peers.tell(now, link, PeerNews::WantConfig);
        }
        if let Some(load) = self.own_load {
            self.peers.tell_load(now, load);
        }
        for (link, news) in self.peers.take_due(now) {
            self.send(now, link, news);
        }
        std::mem::take(&mut self.pending_actions)
    }

    /// Records that the batch of the last notice was closed at the input mark `since`.
    pub fn note_untold(&mut self, since: Now) {
        self.peers.note_untold(since);
    }

    /// The input mark at which a batch was closed whose notice waits to be sent; the earliest one.
    pub fn untold_since(&self) -> Option<Now> {
        self.peers.untold_since()
    }

    fn processor_millis(&self) -> u32 {
        let share = self.options.processor_share;
        share.map_or(0, |share| (share * 1_000.0).round() as u32)
    }

    fn send(&mut self, now: Now, link: SessionId, news: Vec<PeerNews>) {
        self.pending_actions.push(packet_to(now, link, news));
    }

    fn log(&mut self, code: EventCode, detail: String) {
        let event = LogEvent::new(code, detail);
        self.pending_actions.push(EntryAction::Log(event));
    }

    fn intro(&self) -> PeerIntro {
        PeerIntro {
            name: self.options.name.clone(),
            life: self.options.incarnation,
            address: self.options.address,
            config: self.config.version(),
            evacuations: self.evacuations.state().position,
            entries: self.peers.known(),
            protocol: PROTOCOL_VERSION,
            processor_millis: self.processor_millis(),
            hall: self.options.hall.clone(),
        }
    }

    /// Opens and closes links to match the choice of neighbours.
    fn update_neighbour_links(&mut self, now: Now) {
        // No run depends on a link between entries.
        for step in self.neighbours.steps(now, |_| false) {
            match step {
                LinkStep::Dial(address) => self.pending_actions.push(EntryAction::Dial(address)),
                LinkStep::Disconnect(address, link) => {
                    self.pending_actions.push(EntryAction::Disconnect(address));
                    if let Some(link) = link {
                        self.pending_actions.push(EntryAction::Close(link));
                        self.link_down(now, link);
                    }
                }
                // Links between entries carry no work, so there is nothing to drain.
                LinkStep::Drain(_) => {}
            }
        }
    }

    /// Records a link that this entry dialled, and sends the hello on it.
    pub fn greet(&mut self, now: Now, link: SessionId, address: SocketAddr) {
        self.neighbours.link_up(now, address, link);
        let hello = PeerNews::Hello(self.intro());
        self.send(now, link, vec![hello]);
    }

    /// Records that a link is gone.
    pub fn link_down(&mut self, now: Now, link: SessionId) {
        self.neighbours.link_down(now, link);
        self.config_fetch.forget(link);
        if let Some(peer) = self.peers.leave(now, link) {
            self.log(EventCode::PeerLost, format!("entry={}", peer.name));
        }
    }

    /// Closes links that have been silent for too long, and returns them; packets may be unread for up
    /// to `lag`.
    pub fn close_silent(&mut self, now: Now, lag: Duration) -> Vec<SessionId> {
        let silent = self.peers.silent(now.saturating_sub(lag));
        for link in &silent {
            self.pending_actions.push(EntryAction::Close(*link));
            self.link_down(now, *link);
        }
        silent
    }

    /// Handles another entry's packet.
    pub fn packet(&mut self, now: Now, link: SessionId, packet: PeerPacket) -> PeerEffects {
        self.peers.heard(now, link, packet.clock);
        let mut effects = PeerEffects::default();
        for news in packet.news {
            match news {
                PeerNews::Hello(intro) => {
                    effects.is_introduced = true;
                    effects.entries.extend(self.peer_joined(now, link, &intro));
                }
                PeerNews::ConfigVersion(version) => self.note_config(now, link, version),
                PeerNews::WantConfig => self.send_config(now, link),
                PeerNews::Config(table) => {
                    self.peers.note_config(link, table.version);
                    self.offer_config(now, &table, "entry");
                }
                PeerNews::Evacuations(state) => {
                    self.peers.note_evacuations(link, state.position);
                    effects.evacuations_changed |= self.offer_evacuations(now, &state, "entry");
                }
                PeerNews::Entries(addresses) => {
                    effects
                        .entries
                        .extend(self.learn(now, Source::Entry(link), addresses));
                }
                PeerNews::Closing(closing) => {
                    effects.note_runs_left(
                        self.note_runs_left(now, link, closing.into()),
                        closing.into(),
                    );
                }
                PeerNews::Closed(closing) => {
                    effects.may_place |= self.note_runs_over(now, link, closing.into());
                }
                PeerNews::RunsLeft(notice) => {
                    effects.note_runs_left(self.note_runs_left(now, link, notice), notice);
                }
                PeerNews::RunsOver(notice) => {
                    effects.may_place |= self.note_runs_over(now, link, notice);
                }
                PeerNews::Crashed(notice) => effects.crashes.push(notice),
                PeerNews::Cancelled(notice) => {
                    if self.note_cancel(now, notice, Some(link), true) {
                        effects.cancelled.push(notice.batch);
                    }
                }
                PeerNews::Dispatched(notice) => effects.dispatched.push(notice),
                PeerNews::Heartbeat => {}
                PeerNews::Load(load) => self.peers.note_load(now, link, load),
                PeerNews::HandOver(_)
                | PeerNews::HandOverReply(_)
                | PeerNews::HandOverEnd(_)
                | PeerNews::HandOverClosed(_) => effects.hand_overs.push(news),
                PeerNews::Claim(_) | PeerNews::ClaimReply(_) | PeerNews::Superseded(_) => {
                    effects.claims.push(news);
                }
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
        // Each side answers the first hello that it receives on a link. The dialler thus sends a
        // second one.
        if self.peers.join(now, link, intro) {
            let hello = PeerNews::Hello(self.intro());
            self.peers.tell(now, link, hello);
            self.send_runs_notices(now, link);
            if intro.protocol >= CRASH_NOTICE_PROTOCOL {
                self.send_crash_notices(now, link);
            }
            if intro.protocol >= CANCEL_NOTICE_PROTOCOL {
                self.send_cancels(now, link);
            }
        }
        self.note_config(now, link, intro.config);
        let version = self.config.version();
        if version > intro.config {
            self.peers.note_config(link, version);
            let news = PeerNews::ConfigVersion(version);
            self.peers.tell(now, link, news);
        }
        let state = self.evacuations.state();
        if state.position > intro.evacuations {
            let news = PeerNews::Evacuations(state.clone());
            self.peers.note_evacuations(link, state.position);
            self.peers.tell(now, link, news);
        }
        let mut addresses = intro.entries.clone();
        addresses.push(intro.address);
        self.learn(now, Source::Entry(link), addresses)
    }

    /// Records which configuration a neighbour holds and prepares to fetch it if it is newer.
    fn note_config(&mut self, now: Now, link: SessionId, version: ConfigVersion) {
        self.peers.note_config(link, version);
        let own = self.config.version();
        if version > own {
            self.config_fetch.add_holder(now, link, version, own);
        }
    }

    fn send_config(&mut self, now: Now, link: SessionId) {
        if let Some(table) = self.config.table() {
            self.peers.note_config(link, table.version);
            let news = PeerNews::Config(table.clone());
            self.peers.tell(now, link, news);
        }
    }

    /// Sends a new neighbour all open notices of batches of which runs may be left. It may have missed
    /// them while it had no link.
    fn send_runs_notices(&mut self, now: Now, link: SessionId) {
        let own = self.own_notices.iter();
        let own = own.map(|(id, own)| self.own_notice(*id, own.last));
        let open: Vec<RunsNotice> = own.chain(self.runs_notices.open_notices(now)).collect();
        for notice in open {
            self.peers.tell_runs_left_to(now, link, notice);
        }
    }

    /// Sends a new neighbour all kept crash notices. It may have been started after the crashes, and
    /// get the batches that their runs belong to.
    fn send_crash_notices(&mut self, now: Now, link: SessionId) {
        for notice in self.crash_notices.all(now) {
            self.peers.tell(now, link, PeerNews::Crashed(notice));
        }
    }

    /// Sends a new neighbour all remembered cancels.
    fn send_cancels(&mut self, now: Now, link: SessionId) {
        for notice in self.cancels.all(now) {
            self.peers.tell(now, link, PeerNews::Cancelled(notice));
        }
    }

    /// Remembers a cancel that this entry acknowledges, and tells the neighbours if it is new: at once,
    /// unless it `may_wait` for other news.
    pub fn note_own_cancel(&mut self, now: Now, notice: CancelNotice, may_wait: bool) {
        self.note_cancel(now, notice, None, may_wait);
    }

    fn note_cancel(
        &mut self,
        now: Now,
        notice: CancelNotice,
        from: Option<SessionId>,
        may_wait: bool,
    ) -> bool {
        let is_new = self.cancels.note(now, notice);
        if is_new {
            self.peers.tell_cancel(now, notice, from, may_wait);
        }
        is_new
    }

    /// Whether a caller has cancelled a batch, as far as this entry remembers.
    pub fn is_cancelled(&self, now: Now, id: BatchId) -> bool {
        self.cancels.contains(now, id)
    }

    /// Keeps a crash notice. If it is new, forwards it to the neighbours except `from`. `agent` is
    /// the agent that told of the crash, if it came from one.
    pub fn note_crash(
        &mut self,
        now: Now,
        notice: CrashNotice,
        from: Option<SessionId>,
        agent: Option<&NodeName>,
    ) -> CrashNews {
        let news = self.crash_notices.note(now, notice, agent);
        if news == CrashNews::New {
            self.peers.tell_crash(now, notice, from);
        }
        news
    }

    /// The known crashes of all batches.
    pub fn crash_notices(&self) -> &CrashNotices {
        &self.crash_notices
    }

    /// The known crashes during earlier runs of a batch, the oldest first.
    pub fn crashes_of(&self, now: Now, id: BatchId) -> Vec<KnownCrash> {
        self.crash_notices.of_batch(now, id)
    }

    /// Records that another entry or an agent has announced that runs of a batch may be left, and tells
    /// the neighbours except `from` if that is new.
    pub fn note_runs_left(&mut self, now: Now, from: SessionId, notice: RunsNotice) -> NoteOutcome {
        if notice.holder == self.options.incarnation {
            return NoteOutcome::Known;
        }
        let bound = self.closing_bound;
        let outcome = self.runs_notices.note_left(now, notice, bound);
        if outcome == NoteOutcome::New {
            let RunsNotice {
                batch,
                holder,
                owner,
                number,
            } = notice;
            self.log(
                EventCode::ClosingHeard,
                format!("job={batch:016x} entry={owner:x} from={holder:x} number={number}"),
            );
            self.peers.tell_runs_left(now, notice, Some(from));
        }
        outcome
    }

    /// Records that announced runs are over, and tells the neighbours except `from` if that is new.
    /// Returns whether a batch may have become free.
    pub fn note_runs_over(&mut self, now: Now, from: SessionId, notice: RunsNotice) -> bool {
        if notice.holder == self.options.incarnation {
            return false;
        }
        let bound = self.closing_bound;
        let is_news = self.runs_notices.note_over(now, notice, bound);
        if is_news {
            self.peers.tell_runs_over(now, notice, None, Some(from));
        }
        is_news
    }

    /// Adds addresses of entries, forwards the new ones to the neighbours and returns them.
    ///
    /// In a small fleet all entries are linked. Of two that learn of each other from entries'
    /// packets, the one with the lower address dials. Addresses from the platform are always
    /// dialled, because no other entry may know of this one yet; two entries may then have two
    /// links.
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
        let known = self.peers.known_count();
        let named = &fresh[..fresh.len().min(MAX_LOGGED_ADDRESSES)];
        let count = fresh.len();
        self.log(
            EventCode::EntriesLearnt,
            format!("count={count} known={known} addresses={named:?}"),
        );
        if self.is_large_fleet() {
            self.neighbours.learn(now, self.peers.known());
        } else {
            let should_dial = |a: &SocketAddr| source == Source::Platform || own < *a;
            self.neighbours
                .learn(now, fresh.iter().copied().filter(should_dial));
        }
        let news = PeerNews::Entries(fresh.clone());
        match source {
            Source::Entry(link) => self.peers.forward(now, link, &news),
            Source::Platform => self.peers.tell_all(now, &news),
        }
        fresh
    }

    /// Puts a configuration in force if it is newer, and announces its version to the neighbours.
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

    /// Applies the evacuated halls from an answer of the store. Returns whether they changed.
    pub fn store_answered(&mut self, now: Now, state: &Arc<EvacuatedHalls>) -> bool {
        self.store_heard = Some(now);
        self.offer_evacuations(now, state, "store")
    }

    /// Applies a newer state of the evacuations. If the evacuated halls differ, forwards it and
    /// returns true.
    fn offer_evacuations(&mut self, now: Now, state: &Arc<EvacuatedHalls>, from: &str) -> bool {
        if self.evacuations.offer(state) != OfferOutcome::Changed {
            return false;
        }
        let (halls, place) = (state.names(), state.position);
        self.log(
            EventCode::EvacuationsChanged,
            format!("halls=[{halls}] place={place} from={from}"),
        );
        self.peers.tell_evacuations(now, state);
        true
    }

    /// Tells the other entries that runs of a batch may be left at this entry. Each closing of the
    /// batch has its own notice.
    pub fn tell_runs_left(&mut self, now: Now, id: BatchId) {
        self.last_notice += 1;
        let number = self.last_notice;
        let own = self.own_notices.entry(id).or_insert(OwnNotices {
            first: number,
            last: number,
        });
        own.last = number;
        self.log(
            EventCode::ClosingTold,
            format!("job={id:016x} number={number}"),
        );
        let notice = self.own_notice(id, number);
        self.peers.tell_runs_left(now, notice, None);
    }

    /// Holds a batch, and tells the other entries to: agents that are silent may have runs of `owner`.
    pub fn tell_runs_of(&mut self, now: Now, batch: BatchId, owner: Incarnation) -> RunsNotice {
        self.last_notice += 1;
        let notice = RunsNotice {
            batch,
            holder: self.options.incarnation,
            owner,
            number: self.last_notice,
        };
        self.runs_notices.note_left(now, notice, self.closing_bound);
        self.peers.tell_runs_left(now, notice, None);
        notice
    }

    /// Ends a notice of [`Self::tell_runs_of`]. Returns whether the batch may have become free.
    pub fn tell_runs_of_over(&mut self, now: Now, notice: RunsNotice) -> bool {
        let bound = self.closing_bound;
        let was_open = self.runs_notices.note_over(now, notice, bound);
        self.peers.tell_runs_over(now, notice, None, None);
        was_open
    }

    fn own_notice(&self, batch: BatchId, number: NoticeNumber) -> RunsNotice {
        let entry = self.options.incarnation;
        RunsNotice {
            batch,
            holder: entry,
            owner: entry,
            number,
        }
    }

    /// Tells the other entries that no run of a batch is left at this entry, if they were told that
    /// there may be some.
    pub fn tell_runs_over(&mut self, now: Now, id: BatchId) {
        if let Some(own) = self.own_notices.remove(&id) {
            let notice = self.own_notice(id, own.last);
            self.peers
                .tell_runs_over(now, notice, Some(own.first), None);
        }
    }
}

fn packet_to(now: Now, link: SessionId, news: Vec<PeerNews>) -> EntryAction {
    let clock = now.as_millis() as EntryMillis;
    EntryAction::Send(link, Packet::BetweenEntries(PeerPacket { clock, news }))
}
