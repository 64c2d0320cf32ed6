//! Traffic between entries as the fleet grows, counted in packets and configuration tables.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use trestleknot_lib::batch_event::{EntryAction, EntryOptions};
use trestleknot_lib::entry_directory::{EntryDirectory, Source};
use trestleknot_lib::ids::{Now, SessionId};
use trestleknot_lib::queue::{QueueTable, RequestLimits};
use trestleknot_lib::run::BatchId;
use trestleknot_lib::run_message::{Packet, PeerIntro, PeerNews, PeerPacket, ProtocolVersion};
use trestleknot_lib::timings::Timings;

/// One-way delay between two entries.
const DELAY: Duration = Duration::from_millis(1);
/// Time by which a fleet of any size has connected and closed its surplus links.
const SETTLED: Now = Duration::from_secs(10);
/// Time within which every entry must know of a batch that is being closed. Callers return after
/// 500 ms at the earliest.
const HEARD_OF_CLOSING: Duration = Duration::from_millis(300);
/// Time within which a configuration must be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(2);
const BATCH: BatchId = 77;

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

fn address(entry: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (entry / 200) as u8, (entry % 200) as u8 + 1], 7300))
}

#[derive(Clone, Copy)]
struct Link {
    dialler: usize,
    other: usize,
}

enum Event {
    Wake(usize, Now),
    Dial(usize, SocketAddr),
    Packet(usize, SessionId, PeerPacket),
    Closed(usize, SessionId),
}

/// The directories of all entries on a virtual clock. A dead entry sends and receives nothing.
struct Mesh {
    now: Now,
    entries: Vec<EntryDirectory>,
    alive: Vec<bool>,
    wake_at: Vec<Option<Now>>,
    links: BTreeMap<SessionId, Link>,
    next_link: SessionId,
    queue: BinaryHeap<Reverse<(Now, u64)>>,
    events: BTreeMap<u64, Event>,
    /// Packets that carry more than heartbeats.
    packets: usize,
    /// Configuration tables sent.
    tables: usize,
}

impl Mesh {
    /// Starts `count` entries with three seeds and runs until they have found each other.
    fn settled(count: usize) -> Self {
        let mut mesh = Self {
            now: Now::ZERO,
            entries: (0..count).map(directory).collect(),
            alive: vec![true; count],
            wake_at: vec![None; count],
            links: BTreeMap::new(),
            next_link: 1,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            packets: 0,
            tables: 0,
        };
        for entry in 0..count {
            let seeds = (0..3.min(count)).map(address).collect();
            mesh.entries[entry].learn(Now::ZERO, Source::Platform, seeds);
            mesh.flush(entry);
        }
        mesh.run_until(SETTLED);
        mesh.packets = 0;
        mesh
    }

    fn at(&mut self, at: Now, event: Event) {
        let number = self.events.keys().next_back().map_or(0, |last| last + 1);
        self.events.insert(number, event);
        self.queue.push(Reverse((at, number)));
    }

    fn run_until(&mut self, until: Now) {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > until {
                self.queue.push(Reverse((at, number)));
                break;
            }
            self.now = self.now.max(at);
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
        self.now = until;
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Wake(entry, at) if self.wake_at[entry] == Some(at) => {
                self.wake_at[entry] = None;
                self.entries[entry].close_silent(now, Duration::ZERO);
                self.flush(entry);
            }
            Event::Wake(..) => {}
            Event::Dial(entry, to) => self.dial(entry, to),
            Event::Packet(entry, link, packet) => {
                if self.alive[entry] && self.links.contains_key(&link) {
                    self.entries[entry].packet(now, link, packet);
                    self.flush(entry);
                }
            }
            Event::Closed(entry, link) => {
                self.entries[entry].link_down(now, link);
                self.flush(entry);
            }
        }
    }

    fn dial(&mut self, dialler: usize, to: SocketAddr) {
        let other = (0..self.entries.len()).find(|e| address(*e) == to);
        let Some(other) = other.filter(|other| self.alive[*other] && self.alive[dialler]) else {
            return;
        };
        let link = self.next_link;
        self.next_link += 1;
        self.links.insert(link, Link { dialler, other });
        self.entries[dialler].greet(self.now, link, to);
        self.flush(dialler);
    }

    fn flush(&mut self, entry: usize) {
        if !self.alive[entry] {
            return;
        }
        for action in self.entries[entry].flush(self.now) {
            match action {
                EntryAction::Dial(to) => self.at(self.now + DELAY, Event::Dial(entry, to)),
                EntryAction::Close(link) => {
                    if let Some(ends) = self.links.remove(&link) {
                        let other = if ends.dialler == entry {
                            ends.other
                        } else {
                            ends.dialler
                        };
                        self.at(self.now + DELAY, Event::Closed(other, link));
                    }
                }
                EntryAction::Send(link, Packet::BetweenEntries(packet)) => {
                    self.send(entry, link, packet);
                }
                _ => {}
            }
        }
        let Some(at) = self.entries[entry].next_wake() else {
            return;
        };
        let at = at.max(self.now + ms(1));
        if self.wake_at[entry].is_none_or(|planned| at < planned) {
            self.wake_at[entry] = Some(at);
            self.at(at, Event::Wake(entry, at));
        }
    }

    fn send(&mut self, from: usize, link: SessionId, packet: PeerPacket) {
        let Some(ends) = self.links.get(&link).copied() else {
            return;
        };
        let is_heartbeat = packet.news.iter().all(|n| *n == PeerNews::Heartbeat);
        self.packets += usize::from(!is_heartbeat);
        let is_table = |n: &&PeerNews| matches!(n, PeerNews::Config(_));
        self.tables += packet.news.iter().filter(is_table).count();
        let to = if ends.dialler == from {
            ends.other
        } else {
            ends.dialler
        };
        self.at(self.now + DELAY, Event::Packet(to, link, packet));
    }

    /// Gives the entries in `heard_by` a configuration from the store.
    fn configure(&mut self, version: u64, heard_by: std::ops::Range<usize>) {
        let table = Arc::new(QueueTable {
            version,
            queues: Vec::new(),
            limits: RequestLimits { body_bytes: 1 },
        });
        for entry in heard_by {
            self.entries[entry].offer_config(self.now, &table, "store");
            self.flush(entry);
        }
    }

    fn run_for(&mut self, length: Duration) {
        self.run_until(self.now + length);
    }

    /// Number of living entries that know that a peer is closing `batch`.
    fn count_closing(&self, batch: BatchId) -> usize {
        let entries = self.entries.iter().zip(&self.alive);
        let knows = |(entry, alive): &(&EntryDirectory, &bool)| {
            **alive && entry.has_runs_elsewhere(self.now, batch)
        };
        entries.filter(knows).count()
    }
}

fn directory(entry: usize) -> EntryDirectory {
    let options = EntryOptions {
        name: format!("entry-{entry}").into(),
        incarnation: entry as u64 + 1,
        hall: "hall".into(),
        address: address(entry),
        seeds: Vec::new(),
        seed: 1,
        timings: Timings::default(),
        link_rate: None,
        processor_share: None,
        far_factor: None,
    };
    EntryDirectory::new(Arc::new(options), Timings::default().lost_agent_bound)
}

const SIZES: [usize; 3] = [48, 96, 192];

#[test]
fn test_flush_change_known_to_all_costs_each_the_same_at_any_size() {
    let mut costs = Vec::new();
    for count in SIZES {
        let mut mesh = Mesh::settled(count);
        mesh.configure(5, 0..count);
        mesh.run_for(ms(1_500));
        assert_eq!(mesh.tables, 0, "{count} entries: all hold it already");
        costs.push(mesh.packets / count);
    }
    assert!(costs[2] <= costs[0] + 2, "packets an entry: {costs:?}");
}

#[test]
fn test_flush_frequent_changes_known_to_all_send_no_tables() {
    let mut mesh = Mesh::settled(96);
    for version in 0..10 {
        mesh.configure(5 + version, 0..96);
        mesh.run_for(ms(330));
    }
    assert_eq!(mesh.tables, 0);
}

#[test]
fn test_flush_change_known_to_one_reaches_all() {
    for count in SIZES {
        let mut mesh = Mesh::settled(count);
        mesh.configure(5, 7..8);
        mesh.run_for(IN_FORCE);
        let behind = mesh.entries.iter().filter(|e| e.config().version() < 5);
        assert_eq!(behind.count(), 0, "{count} entries");
        assert!(
            mesh.tables < 2 * count,
            "{count} entries: {} tables",
            mesh.tables
        );
    }
}

#[test]
fn test_flush_change_reaches_entries_without_the_store_while_half_are_dead() {
    let mut mesh = Mesh::settled(192);
    for entry in (0..192).step_by(2) {
        mesh.alive[entry] = false;
    }
    mesh.configure(5, 64..192);
    mesh.run_for(IN_FORCE);
    let living = mesh
        .entries
        .iter()
        .zip(&mesh.alive)
        .filter(|(_, alive)| **alive);
    let behind: Vec<u64> = living
        .map(|(entry, _)| entry.config().version())
        .filter(|version| *version < 5)
        .collect();
    assert!(behind.is_empty(), "{} of 96 are behind", behind.len());
}

#[test]
fn test_flush_closing_batch_is_known_everywhere_in_time_and_then_forgotten() {
    for count in [3, 12, 48, 192] {
        let mut mesh = Mesh::settled(count);
        let now = mesh.now;
        mesh.entries[1].tell_runs_left(now, BATCH);
        mesh.flush(1);
        mesh.run_for(HEARD_OF_CLOSING);
        assert_eq!(mesh.count_closing(BATCH), count - 1, "{count} entries");
        let now = mesh.now;
        mesh.entries[1].tell_runs_over(now, BATCH);
        mesh.flush(1);
        mesh.run_for(HEARD_OF_CLOSING);
        assert_eq!(mesh.count_closing(BATCH), 0, "{count} entries");
        // News that arrives on several links is passed on once.
        let before = mesh.packets;
        mesh.run_for(ms(5_000));
        assert_eq!(mesh.packets, before, "{count} entries");
    }
}

#[test]
fn test_flush_small_fleet_links_each_pair_once() {
    let mesh = Mesh::settled(8);
    assert!(mesh.links.len() >= 28, "{} links", mesh.links.len());
}

#[test]
fn test_flush_links_of_an_entry_do_not_grow_with_the_fleet() {
    let mut most = Vec::new();
    for count in SIZES {
        let mesh = Mesh::settled(count);
        most.push(2 * mesh.links.len() / count);
        let every = (0..count).all(|e| {
            let has = |l: &&Link| l.dialler == e || l.other == e;
            mesh.links.values().filter(has).count() >= 6
        });
        assert!(every, "{count} entries: one has too few links");
    }
    assert!(most[2] <= most[0] + 2, "links an entry: {most:?}");
}

#[test]
fn test_flush_neighbour_that_joins_late_learns_of_closing_batches() {
    // All connections are reset at once, so no link is up when the entry notices the caller's end.
    let mut mesh = Mesh::settled(4);
    for link in mesh.links.keys().copied().collect::<Vec<_>>() {
        let ends = mesh.links.remove(&link).expect("it was listed");
        for entry in [ends.dialler, ends.other] {
            let now = mesh.now;
            mesh.entries[entry].link_down(now, link);
            mesh.flush(entry);
        }
    }
    let now = mesh.now;
    mesh.entries[1].tell_runs_left(now, BATCH);
    mesh.flush(1);
    for (from, to) in [(0, 1), (1, 2), (2, 3)] {
        mesh.dial(from, address(to));
    }
    mesh.run_for(HEARD_OF_CLOSING);
    assert_eq!(mesh.count_closing(BATCH), 3);
}

// Guards against a batch that is not held: its entry closes it a second time, and the others take the
// notice for a copy of the first one.
#[test]
fn test_flush_batch_that_is_closed_again_is_known_everywhere_each_time() {
    for count in [3, 48] {
        let mut mesh = Mesh::settled(count);
        for _ in 0..3 {
            let now = mesh.now;
            mesh.entries[1].tell_runs_left(now, BATCH);
            mesh.flush(1);
            mesh.run_for(HEARD_OF_CLOSING);
            assert_eq!(mesh.count_closing(BATCH), count - 1, "{count} entries");
            let now = mesh.now;
            mesh.entries[1].tell_runs_over(now, BATCH);
            mesh.flush(1);
            mesh.run_for(HEARD_OF_CLOSING);
            assert_eq!(mesh.count_closing(BATCH), 0, "{count} entries");
        }
    }
}

// Guards against a batch that stays held: its entry goes on with it for a returning caller, closes it
// again, and tells of the end before the second notice is sent.
#[test]
fn test_flush_end_of_several_notices_frees_the_batch_everywhere() {
    let mut mesh = Mesh::settled(3);
    let now = mesh.now;
    mesh.entries[1].tell_runs_left(now, BATCH);
    mesh.flush(1);
    mesh.run_for(HEARD_OF_CLOSING);
    let now = mesh.now;
    mesh.entries[1].tell_runs_left(now, BATCH);
    mesh.entries[1].tell_runs_over(now, BATCH);
    mesh.flush(1);
    mesh.run_for(HEARD_OF_CLOSING);
    assert_eq!(mesh.count_closing(BATCH), 0);
}

#[test]
fn test_flush_closing_that_ends_at_once_is_not_told() {
    let mut mesh = Mesh::settled(3);
    let now = mesh.now;
    mesh.entries[1].tell_runs_left(now, BATCH);
    mesh.entries[1].tell_runs_over(now, BATCH);
    mesh.flush(1);
    mesh.run_for(HEARD_OF_CLOSING);
    assert_eq!(mesh.packets, 0);
}

/// News that a neighbour of this protocol version gets when a batch is closed and its runs are over.
fn closing_news(protocol: ProtocolVersion) -> Vec<PeerNews> {
    let link = 1;
    let mut entry = directory(0);
    let intro = PeerIntro {
        name: "other".into(),
        life: 0xe1,
        address: address(1),
        config: 0,
        evacuations: 0,
        entries: Vec::new(),
        protocol,
        processor_millis: 0,
        hall: "".into(),
    };
    let hello = PeerPacket {
        clock: 1,
        news: vec![PeerNews::Hello(intro)],
    };
    entry.packet(ms(1), link, hello);
    entry.flush(ms(1));
    entry.tell_runs_left(ms(2), BATCH);
    let mut actions = entry.flush(ms(100));
    entry.tell_runs_over(ms(101), BATCH);
    actions.extend(entry.flush(ms(200)));
    let sent = actions.into_iter().filter_map(|action| match action {
        EntryAction::Send(_, Packet::BetweenEntries(packet)) => Some(packet.news),
        _ => None,
    });
    sent.flatten().collect()
}

#[test]
fn test_flush_neighbour_of_an_older_protocol_gets_notices_without_numbers() {
    let [left, over] = &closing_news(1)[..] else {
        panic!("expected two notices");
    };
    assert!(matches!(left, PeerNews::Closing(c) if c.batch == BATCH));
    assert!(matches!(over, PeerNews::Closed(c) if c.batch == BATCH));
    let [left, over] = &closing_news(2)[..] else {
        panic!("expected two notices");
    };
    assert!(matches!(left, PeerNews::RunsLeft(n) if n.batch == BATCH && n.number == 1));
    assert!(matches!(over, PeerNews::RunsOver(n) if n.batch == BATCH && n.number == 1));
}
