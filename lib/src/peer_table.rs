//! The links to other entries, the configuration that each entry holds, and the known addresses.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::entry_load::EntryLoadReport;
use crate::evacuations::{EvacuatedHalls, StorePosition};
use crate::ids::{HallName, Incarnation, NodeName, Now, SessionId};
use crate::queue::ConfigVersion;
use crate::run::BatchId;
use crate::run_message::{
    CANCEL_NOTICE_PROTOCOL, CLAIM_PROTOCOL, CRASH_NOTICE_PROTOCOL, CancelNotice, CrashNotice,
    DISPATCH_NOTICE_PROTOCOL, EntryMillis, NoticeNumber, PeerIntro, PeerNews, ProtocolVersion,
    RUNS_NOTICE_PROTOCOL, RunsNotice,
};

/// Interval of heartbeats on an idle link between entries.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval of heartbeats on a link while batches are handed over on it.
const BUSY_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// How long an entry collects news that are not urgent before it sends them. If a closing batch is
/// closed within this time, its notices are dropped unsent.
const NEWS_DELAY: Duration = Duration::from_millis(60);
/// How long an entry collects notices of closing batches before it forwards them. Every entry must
/// know of a batch before its caller retries. Callers whose connection broke retry after 500 ms at
/// the soonest, the least that the settings allow.
const FORWARDED_NOTICE_DELAY: Duration = Duration::from_millis(10);
/// Time without a packet after which a link between entries is closed.
const LINK_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Lowest protocol version of entries that understand load reports.
const LOAD_PROTOCOL: ProtocolVersion = 1;
/// Age from which a neighbour's report says nothing about its present load.
const REPORT_TTL: Duration = Duration::from_millis(1_500);
/// Change of the processor's utilization that is reported in a packet of its own, in percent.
const REPORTED_CHANGE_PERCENT: u16 = 15;
/// Shortest interval between two such packets.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// How long after the loss of a link to an entry a new one may be expected. Longer than machines are
/// cut off or suspended.
const RETURN_WINDOW: Duration = Duration::from_secs(10);
/// Number of witnesses that are asked about a batch. With two, an entry whose own witness is not linked
/// here, or that is its batch's first witness itself, is found as well.
const CLAIM_WITNESSES: usize = 2;
/// Odd factor that spreads the bits of a number (Fibonacci hashing).
const RANK_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// A link to another entry.
#[derive(Debug)]
pub struct Peer {
    /// Name of the entry.
    pub name: NodeName,
    /// Newest configuration version that it holds or was told of.
    pub config: ConfigVersion,
    /// Store position up to which it knows the evacuations or was told of them.
    pub evacuations: StorePosition,
    /// Version of the messages that it understands.
    pub protocol: ProtocolVersion,
    /// When its last packet arrived.
    pub heard: Now,
    /// When a packet was last sent to it.
    pub sent: Now,
    /// News that wait to be sent.
    pub news: Vec<PeerNews>,
    /// When the waiting news must be sent.
    news_due: Now,
    /// The input mark at which this entry closed a batch whose notice waits among the news; the
    /// earliest one.
    untold_since: Option<Now>,
    /// Incarnation of the entry.
    pub life: Incarnation,
    /// The entry's clock in its last packet; 0 if it states none.
    clock: EntryMillis,
    /// Whether batches are handed over on this link in either direction.
    carries_batches: bool,
    /// Share of a core that its process may use, in thousandths; 0 if not known.
    pub processor_millis: u32,
    /// Data hall of its VM; empty if not known.
    pub hall: HallName,
    /// Its last load report and when that arrived.
    load: Option<(Now, EntryLoadReport)>,
    /// The last load that was reported to it, and when.
    told_load: Option<(Now, EntryLoadReport)>,
}

/// A neighbour with a known load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NeighbourLoad {
    /// Link to it.
    pub link: SessionId,
    /// Its name.
    pub name: NodeName,
    /// Data hall of its VM; empty if not known.
    pub hall: HallName,
    /// Version of the messages that it understands.
    pub protocol: ProtocolVersion,
    /// Share of a core that its process may use, in thousandths; 0 if not known.
    pub processor_millis: u32,
    /// Its last report.
    pub load: EntryLoadReport,
    /// Time since the report arrived.
    pub age: Duration,
}

impl Peer {
    /// Whether a change of this entry's load must be reported to it now.
    fn needs_report(&self, now: Now, load: EntryLoadReport) -> bool {
        let Some((at, told)) = self.told_load else {
            return true;
        };
        let change = told.processor_percent.abs_diff(load.processor_percent);
        change >= REPORTED_CHANGE_PERCENT && at + REPORT_INTERVAL <= now
    }

    fn understands_load(&self) -> bool {
        self.protocol >= LOAD_PROTOCOL
    }

    /// A lower bound of the entry's clock, because the transit time of its packet is not known;
    /// `None` if it states no clock.
    pub fn clock_at(&self, now: Now) -> Option<EntryMillis> {
        let since = now.saturating_sub(self.heard).as_millis() as EntryMillis;
        (self.clock > 0).then_some(self.clock + since)
    }

    fn understands_numbers(&self) -> bool {
        self.protocol >= RUNS_NOTICE_PROTOCOL
    }

    fn runs_left(&self, notice: RunsNotice) -> PeerNews {
        if self.understands_numbers() {
            PeerNews::RunsLeft(notice)
        } else {
            PeerNews::Closing(notice.into())
        }
    }

    fn runs_over(&self, notice: RunsNotice) -> PeerNews {
        if self.understands_numbers() {
            PeerNews::RunsOver(notice)
        } else {
            PeerNews::Closed(notice.into())
        }
    }

    /// Drops unsent notices on a batch up to this one, and returns the lowest number among them.
    fn drop_unsent(&mut self, notice: RunsNotice) -> Option<NoticeNumber> {
        let mut first = None;
        self.news.retain(|news| {
            let number = match news {
                PeerNews::RunsLeft(unsent) if is_covered(*unsent, notice) => unsent.number,
                PeerNews::Closing(unsent) if *unsent == notice.into() => notice.number,
                _ => return true,
            };
            first = Some(first.map_or(number, |first: NoticeNumber| first.min(number)));
            false
        });
        let is_notice =
            |news: &PeerNews| matches!(news, PeerNews::RunsLeft(_) | PeerNews::Closing(_));
        self.untold_since = self
            .untold_since
            .filter(|_| self.news.iter().any(is_notice));
        first
    }

    fn due_at(&self) -> Now {
        if self.news.is_empty() && self.carries_batches {
            self.sent + BUSY_HEARTBEAT_INTERVAL
        } else if self.news.is_empty() {
            self.sent + HEARTBEAT_INTERVAL
        } else {
            self.news_due
        }
    }

    fn add(&mut self, now: Now, news: PeerNews, delay: Duration) {
        let due = now + delay;
        let is_first = self.news.is_empty();
        self.news_due = if is_first {
            due
        } else {
            self.news_due.min(due)
        };
        self.news.push(news);
    }
}

/// Rank of an entry as a witness of a batch; the highest comes first.
fn witness_rank(batch: BatchId, life: Incarnation) -> u64 {
    (batch ^ life).wrapping_mul(RANK_FACTOR) >> 32
}

/// Whether the end of `later` is also the end of `notice`.
fn is_covered(notice: RunsNotice, later: RunsNotice) -> bool {
    let key = |n: RunsNotice| (n.batch, n.holder, n.owner);
    key(notice) == key(later) && notice.number <= later.number
}

/// The linked entries and all known entry addresses.
#[derive(Debug, Default)]
pub struct PeerTable {
    links: BTreeMap<SessionId, Peer>,
    known: BTreeSet<SocketAddr>,
    /// When the last link was lost.
    last_lost: Option<Now>,
}

impl PeerTable {
    /// Adds addresses of entries and returns the new ones.
    pub fn learn(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) -> Vec<SocketAddr> {
        let addresses = addresses.into_iter();
        addresses.filter(|a| self.known.insert(*a)).collect()
    }

    /// Number of known addresses.
    pub fn known_count(&self) -> usize {
        self.known.len()
    }

    /// All known addresses.
    pub fn known(&self) -> Vec<SocketAddr> {
        self.known.iter().copied().collect()
    }

    /// Records another entry's hello and returns whether it is the first on this link.
    pub fn join(&mut self, now: Now, link: SessionId, intro: &PeerIntro) -> bool {
        if let Some(peer) = self.links.get_mut(&link) {
            peer.config = peer.config.max(intro.config);
            peer.evacuations = peer.evacuations.max(intro.evacuations);
            return false;
        }
        let peer = Peer {
            name: intro.name.clone(),
            config: intro.config,
            evacuations: intro.evacuations,
            protocol: intro.protocol,
            heard: now,
            sent: now,
            news: Vec::new(),
            news_due: Now::ZERO,
            untold_since: None,
            life: intro.life,
            clock: 0,
            carries_batches: false,
            processor_millis: intro.processor_millis,
            hall: intro.hall.clone(),
            load: None,
            told_load: None,
        };
        self.links.insert(link, peer);
        true
    }

    /// Removes a closed link and returns its entry.
    pub fn leave(&mut self, now: Now, link: SessionId) -> Option<Peer> {
        let peer = self.links.remove(&link)?;
        self.last_lost = Some(now);
        Some(peer)
    }

    /// Whether the link to an entry was lost a short time ago, so that it may be back soon.
    pub fn lost_lately(&self, now: Now) -> bool {
        self.last_lost.is_some_and(|at| at + RETURN_WINDOW > now)
    }

    /// The entry behind a link.
    pub fn get(&self, link: SessionId) -> Option<&Peer> {
        self.links.get(&link)
    }

    /// A link to this incarnation of an entry.
    pub fn link_to(&self, life: Incarnation) -> Option<SessionId> {
        let mut links = self.links.iter();
        links.find(|(_, p)| p.life == life).map(|(link, _)| *link)
    }

    /// Sets whether batches are handed over on a link. Its heartbeats are more frequent then, so
    /// that each side notices sooner that the other one is gone.
    pub fn set_carries_batches(&mut self, link: SessionId, carries_batches: bool) {
        if let Some(peer) = self.links.get_mut(&link) {
            peer.carries_batches = carries_batches;
        }
    }

    /// The link to the witness of a batch, if an entry that understands reports is linked. Batches are
    /// spread over all of them.
    pub fn witness_of(&self, batch: BatchId) -> Option<SessionId> {
        let links = self.links.iter();
        let able = links.filter(|(_, p)| p.protocol >= DISPATCH_NOTICE_PROTOCOL);
        let chosen = able.max_by_key(|(_, p)| witness_rank(batch, p.life));
        chosen.map(|(link, _)| *link)
    }

    /// Links to the witnesses that a claim to a batch is sent to, the first one first: the witness of this
    /// entry's reports, and the one that takes its place where this one is not linked.
    pub fn claim_witnesses(&self, batch: BatchId) -> Vec<SessionId> {
        let mut able: Vec<(&SessionId, &Peer)> = self.links.iter().collect();
        able.retain(|(_, p)| p.protocol >= CLAIM_PROTOCOL);
        able.sort_by_key(|(_, p)| std::cmp::Reverse(witness_rank(batch, p.life)));
        // Two entries may have two links.
        able.dedup_by_key(|(_, p)| p.life);
        let first = able.into_iter().take(CLAIM_WITNESSES);
        first.map(|(link, _)| *link).collect()
    }

    /// Number of linked entries; one with two links counts once.
    pub fn linked(&self) -> usize {
        let names: BTreeSet<&NodeName> = self.links.values().map(|p| &p.name).collect();
        names.len()
    }

    /// Records the arrival of a packet with the sender's clock.
    pub fn heard(&mut self, now: Now, link: SessionId, clock: EntryMillis) {
        if let Some(peer) = self.links.get_mut(&link) {
            peer.heard = now;
            peer.clock = peer.clock.max(clock);
        }
    }

    /// Records that an entry holds, or was told of, a configuration version.
    pub fn note_config(&mut self, link: SessionId, version: ConfigVersion) {
        if let Some(peer) = self.links.get_mut(&link) {
            peer.config = peer.config.max(version);
        }
    }

    /// Records the store position up to which an entry knows the evacuations.
    pub fn note_evacuations(&mut self, link: SessionId, position: StorePosition) {
        if let Some(peer) = self.links.get_mut(&link) {
            peer.evacuations = peer.evacuations.max(position);
        }
    }

    /// Adds news for one entry that are due at once.
    pub fn tell(&mut self, now: Now, link: SessionId, news: PeerNews) {
        if let Some(peer) = self.links.get_mut(&link) {
            peer.add(now, news, Duration::ZERO);
        }
    }

    /// Adds news of this entry for every neighbour; other news may be collected with them.
    pub fn tell_all(&mut self, now: Now, news: &PeerNews) {
        for peer in self.links.values_mut() {
            peer.add(now, news.clone(), NEWS_DELAY);
        }
    }

    /// Adds news of one neighbour for all others.
    pub fn forward(&mut self, now: Now, from: SessionId, news: &PeerNews) {
        for (link, peer) in &mut self.links {
            if *link != from {
                peer.add(now, news.clone(), NEWS_DELAY);
            }
        }
    }

    /// Announces a configuration at once to every neighbour that may not hold it. Only the version
    /// is sent, because most neighbours learn of the change from the store too.
    pub fn tell_config(&mut self, now: Now, version: ConfigVersion) {
        for peer in self.links.values_mut() {
            if peer.config < version {
                peer.config = version;
                peer.add(now, PeerNews::ConfigVersion(version), Duration::ZERO);
            }
        }
    }

    /// Sends the evacuated halls at once to every entry that knows an older state.
    pub fn tell_evacuations(&mut self, now: Now, state: &Arc<EvacuatedHalls>) {
        for peer in self.links.values_mut() {
            if peer.evacuations < state.position {
                peer.evacuations = state.position;
                let news = PeerNews::Evacuations(state.clone());
                peer.add(now, news, Duration::ZERO);
            }
        }
    }

    /// Tells every neighbour but `from` that runs of a batch may be left.
    pub fn tell_runs_left(&mut self, now: Now, notice: RunsNotice, from: Option<SessionId>) {
        let delay = from.map_or(NEWS_DELAY, |_| FORWARDED_NOTICE_DELAY);
        for (link, peer) in &mut self.links {
            if Some(*link) != from {
                let news = peer.runs_left(notice);
                peer.add(now, news, delay);
            }
        }
    }

    /// Tells one neighbour at once that runs of a batch may be left.
    pub fn tell_runs_left_to(&mut self, now: Now, link: SessionId, notice: RunsNotice) {
        if let Some(peer) = self.links.get_mut(&link) {
            let news = peer.runs_left(notice);
            peer.add(now, news, Duration::ZERO);
        }
    }

    /// Tells every neighbour but `from` that the runs of a notice are over. Notices to a neighbour
    /// that are still unsent are dropped. `first` is the number of the earliest notice on the batch
    /// whose end was not told, if known: a neighbour that got none since needs no news.
    pub fn tell_runs_over(
        &mut self,
        now: Now,
        notice: RunsNotice,
        first: Option<NoticeNumber>,
        from: Option<SessionId>,
    ) {
        let delay = from.map_or(NEWS_DELAY, |_| FORWARDED_NOTICE_DELAY);
        for (link, peer) in &mut self.links {
            if Some(*link) == from {
                continue;
            }
            let first_unsent = peer.drop_unsent(notice);
            if first.is_none() || first_unsent != first {
                let news = peer.runs_over(notice);
                peer.add(now, news, delay);
            }
        }
    }

    /// Tells every neighbour but `from` of a crash, if it understands the notice.
    pub fn tell_crash(&mut self, now: Now, notice: CrashNotice, from: Option<SessionId>) {
        for (link, peer) in &mut self.links {
            if Some(*link) != from && peer.protocol >= CRASH_NOTICE_PROTOCOL {
                peer.add(now, PeerNews::Crashed(notice), FORWARDED_NOTICE_DELAY);
            }
        }
    }

    /// Tells every neighbour but `from` of a cancel, if it understands the notice: at once, unless it
    /// `may_wait` for other news.
    pub fn tell_cancel(
        &mut self,
        now: Now,
        notice: CancelNotice,
        from: Option<SessionId>,
        may_wait: bool,
    ) {
        let delay = if may_wait { NEWS_DELAY } else { Duration::ZERO };
        for (link, peer) in &mut self.links {
            if Some(*link) != from && peer.protocol >= CANCEL_NOTICE_PROTOCOL {
                peer.add(now, PeerNews::Cancelled(notice), delay);
            }
        }
    }

    /// Records the load that an entry reported.
    pub fn note_load(&mut self, now: Now, link: SessionId, load: EntryLoadReport) {
        if let Some(peer) = self.links.get_mut(&link) {
            peer.load = Some((now, load));
        }
    }

    /// Neighbours whose load is known, each once.
    pub fn known_loads(&self, now: Now) -> Vec<NeighbourLoad> {
        let mut loads: BTreeMap<&NodeName, NeighbourLoad> = BTreeMap::new();
        for (link, peer) in &self.links {
            let Some((at, load)) = peer.load.filter(|(at, _)| *at + REPORT_TTL > now) else {
                continue;
            };
            let neighbour = NeighbourLoad {
                link: *link,
                name: peer.name.clone(),
                hall: peer.hall.clone(),
                protocol: peer.protocol,
                processor_millis: peer.processor_millis,
                load,
                age: now.saturating_sub(at),
            };
            // Two entries may have two links; the fresher report counts.
            match loads.get_mut(&peer.name) {
                Some(known) if known.age <= neighbour.age => {}
                Some(known) => *known = neighbour,
                None => {
                    loads.insert(&peer.name, neighbour);
                }
            }
        }
        loads.into_values().collect()
    }

    /// Adds this entry's load to the packets that are due. A large change is due by itself.
    pub fn tell_load(&mut self, now: Now, load: EntryLoadReport) {
        for peer in self.links.values_mut().filter(|p| p.understands_load()) {
            if peer.due_at() <= now || peer.needs_report(now, load) {
                peer.add(now, PeerNews::Load(load), Duration::ZERO);
                peer.told_load = Some((now, load));
            }
        }
    }

    /// Records that this entry closed a batch, on input read until `since`, whose notice waits to be
    /// sent.
    pub fn note_untold(&mut self, since: Now) {
        for peer in self.links.values_mut() {
            peer.untold_since.get_or_insert(since);
        }
    }

    /// Until when the input was read on which a batch was closed whose notice is unsent; the earliest.
    pub fn untold_since(&self) -> Option<Now> {
        self.links.values().filter_map(|p| p.untold_since).min()
    }

    /// Takes the packets that are due.
    pub fn take_due(&mut self, now: Now) -> Vec<(SessionId, Vec<PeerNews>)> {
        let mut due = Vec::new();
        for (link, peer) in &mut self.links {
            if peer.due_at() > now {
                continue;
            }
            if peer.news.is_empty() {
                peer.news.push(PeerNews::Heartbeat);
            }
            peer.sent = now;
            peer.untold_since = None;
            due.push((*link, std::mem::take(&mut peer.news)));
        }
        due
    }

    /// Links whose last packet arrived too long ago.
    pub fn silent(&self, now: Now) -> Vec<SessionId> {
        let links = self.links.iter();
        let silent = links.filter(|(_, p)| p.heard + LINK_TIMEOUT <= now);
        silent.map(|(link, _)| *link).collect()
    }

    /// When the next packet or timeout is due.
    pub fn next_wake(&self) -> Option<Now> {
        let due = |p: &Peer| p.due_at().min(p.heard + LINK_TIMEOUT);
        self.links.values().map(due).min()
    }
}
