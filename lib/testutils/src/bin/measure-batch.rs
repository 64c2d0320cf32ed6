//! Measures what a batch costs an entry by part: time, allocations, packets and bytes.
//!
//! The production core and codecs run against agents that end every run at once. System calls are
//! left out. With the argument `handed-over`, the entry is starved and hands all batches over to
//! entries that answer at once.

use std::alloc::{GlobalAlloc, Layout, System};
use std::collections::VecDeque;
use std::fmt::Write as _;
use std::hint::black_box;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use platform::batch_format;
use platform::stand_in_format::{self, PlainBatch};
use trestleknot_lib::batch_entry::BatchEntryCore;
use trestleknot_lib::batch_event::{EntryAction, EntryEvent, EntryOptions, Submission};
use trestleknot_lib::codec;
use trestleknot_lib::entry_load::{EntryLoadReport, LoopLoad};
use trestleknot_lib::ids::{Now, SessionId};
use trestleknot_lib::node_metrics::NodeMetrics;
use trestleknot_lib::resources::Resources;
use trestleknot_lib::run::RunEnd;
use trestleknot_lib::run_message::{
    AgentIntro, AgentNews, AgentPacket, HandOverOutcome, HandOverReply, Order, PROTOCOL_VERSION,
    Packet, PeerIntro, PeerNews, PeerPacket, TargetInfo,
};
use trestleknot_lib::target_health::HealthReport;
use trestleknot_lib::target_incarnation::TargetIncarnation;
use trestleknot_lib::timings::Timings;

const AGENTS: u64 = 54;
const BATCHES: u64 = 20_000;
/// Batches before the measurement, and batches that are open at a time.
const WARM_UP: u64 = 2_000;
const OPEN: usize = 60;
const CAPACITY: Resources = Resources {
    cpu_millis: 64_000,
    memory_mib: 131_072,
    accelerators: 0,
};
/// Links to other entries, and how many there are.
const FIRST_PEER: SessionId = 1_000;
const PEERS: u64 = 4;
/// Interval between samples of the event loop and between packets of other entries, in batches.
const SAMPLE_INTERVAL: u64 = 40;
const PAYLOAD_BYTES: usize = 600;

struct CountingAllocator;

static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);

// SAFETY: every call is passed on to the system's allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
        // SAFETY: as for this function.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, block: *mut u8, layout: Layout) {
        // SAFETY: as for this function.
        unsafe { System.dealloc(block, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Total cost of one part.
#[derive(Default)]
struct Cost {
    time: Duration,
    allocations: u64,
    calls: u64,
    bytes: usize,
}

impl Cost {
    fn measure<T>(&mut self, part: impl FnOnce() -> T) -> T {
        let before = ALLOCATIONS.load(Ordering::Relaxed);
        let start = Instant::now();
        let value = part();
        self.time += start.elapsed();
        self.allocations += ALLOCATIONS.load(Ordering::Relaxed) - before;
        self.calls += 1;
        value
    }

    fn print(&self, name: &str) {
        let batches = BATCHES as f64;
        println!(
            "{name:18} {:7.2} us {:6.1} allocations {:6.2} calls {:7.0} bytes",
            self.time.as_secs_f64() * 1e6 / batches,
            self.allocations as f64 / batches,
            self.calls as f64 / batches,
            self.bytes as f64 / batches,
        );
    }
}

#[derive(Default)]
struct Costs {
    parse: Cost,
    submit: Cost,
    receive: Cost,
    handle_packet: Cost,
    encode: Cost,
    log: Cost,
}

struct Bench {
    core: BatchEntryCore,
    now: Now,
    metrics: NodeMetrics,
    log: String,
    /// Starts that each agent has seen.
    starts_seen: Vec<u64>,
    /// Encoded packets to the entry.
    incoming: VecDeque<(SessionId, Vec<u8>)>,
    costs: Costs,
    handed_over: u64,
}

impl Bench {
    fn new() -> Self {
        let options = EntryOptions {
            name: "entry".into(),
            incarnation: 1,
            hall: "hall-0".into(),
            address: "10.0.0.1:7720".parse().expect("an address"),
            seeds: Vec::new(),
            seed: 1,
            timings: Timings::default(),
            link_rate: Some(25e6),
            processor_share: Some(0.5),
            far_factor: None,
        };
        let mut bench = Self {
            core: BatchEntryCore::new(options),
            now: Duration::from_millis(1),
            metrics: NodeMetrics::new(),
            log: String::new(),
            starts_seen: vec![0; AGENTS as usize],
            incoming: VecDeque::new(),
            costs: Costs::default(),
            handed_over: 0,
        };
        let mut table = testutils::run_fleet::config();
        Arc::make_mut(&mut table.queues[0]).service = "service".into();
        bench
            .core
            .handle(bench.now, EntryEvent::Config(Arc::new(table)));
        for agent in 0..AGENTS {
            bench
                .core
                .handle(bench.now, EntryEvent::LinkUp(agent, None));
            bench.send_from(agent, vec![hello(agent), target(agent)]);
        }
        bench.receive_all();
        bench
    }

    fn send_from(&mut self, agent: SessionId, news: Vec<AgentNews>) {
        let packet = Packet::FromAgent(AgentPacket {
            clock: self.now.as_millis() as u64,
            free: CAPACITY,
            starts_seen: self.starts_seen[agent as usize],
            health: HealthReport::default(),
            news,
        });
        self.incoming
            .push_back((agent, codec::encode_value(&packet)));
    }

    /// Links other entries that are idle.
    fn join_peers(&mut self) {
        for peer in 0..PEERS {
            let link = FIRST_PEER + peer;
            self.core.handle(self.now, EntryEvent::LinkUp(link, None));
            let hello = PeerNews::Hello(PeerIntro {
                name: format!("peer-{peer}").into(),
                life: link,
                address: format!("10.0.1.{peer}:7720").parse().expect("an address"),
                config: 1,
                evacuations: 0,
                entries: Vec::new(),
                protocol: PROTOCOL_VERSION,
                processor_millis: 500,
                hall: "hall-0".into(),
            });
            self.send_from_peer(link, vec![hello]);
        }
        self.receive_all();
    }

    fn send_from_peer(&mut self, link: SessionId, mut news: Vec<PeerNews>) {
        news.push(PeerNews::Load(EntryLoadReport {
            processor_percent: 10,
            link_percent: 0,
        }));
        let clock = self.now.as_millis() as u64;
        let packet = Packet::BetweenEntries(PeerPacket { clock, news });
        self.incoming
            .push_back((link, codec::encode_value(&packet)));
    }

    /// Samples a starved event loop, and lets the other entries report.
    fn starve(&mut self) {
        let load = LoopLoad {
            busy_share: 1.0,
            lag: Duration::ZERO,
        };
        self.core.handle(self.now, EntryEvent::LoopLoad(load));
        for peer in 0..PEERS {
            self.send_from_peer(FIRST_PEER + peer, Vec::new());
        }
    }

    fn submit(&mut self, number: u64, body: &[u8]) {
        let spec = self
            .costs
            .parse
            .measure(|| batch_format::decode_batch(number, body).expect("the body is valid"));
        self.costs.parse.bytes += body.len();
        let submission = Submission {
            request: number,
            host: "host".to_owned(),
            path: format!("/q/{number:016x}"),
            spec,
            caller_timeout: Duration::from_millis(1_500),
            max_age: Some(Duration::ZERO),
            caller_request: "r-1".into(),
        };
        let (core, now) = (&mut self.core, self.now);
        let event = EntryEvent::Submit(submission);
        let actions = self.costs.submit.measure(|| core.handle(now, event));
        black_box(self.core.next_wake());
        self.execute(actions);
    }

    fn receive_one(&mut self) -> bool {
        let Some((link, bytes)) = self.incoming.pop_front() else {
            return false;
        };
        let decode = || codec::decode_value(&bytes).expect("the packet is valid");
        let packet: Packet = self.costs.receive.measure(decode);
        self.costs.receive.bytes += bytes.len();
        let (core, now) = (&mut self.core, self.now);
        let event = EntryEvent::Packet(link, packet);
        let actions = self.costs.handle_packet.measure(|| core.handle(now, event));
        black_box(self.core.next_wake());
        self.execute(actions);
        true
    }

    fn receive_all(&mut self) {
        while self.receive_one() {}
    }

    fn execute(&mut self, actions: Vec<EntryAction>) {
        for action in actions {
            match action {
                EntryAction::Send(link, packet) => {
                    let bytes = self.costs.encode.measure(|| codec::encode_value(&packet));
                    self.costs.encode.bytes += bytes.len();
                    self.answer(link, packet);
                }
                EntryAction::Log(event) => {
                    let (metrics, log) = (&self.metrics, &mut self.log);
                    let before = log.len();
                    self.costs.log.measure(|| {
                        metrics.event(event.code);
                        let info = event.code.info();
                        let _ = writeln!(log, "t=1.000 {}: {}", info.text, event.detail);
                    });
                    self.costs.log.bytes += log.len() - before;
                    if log.len() > 1 << 20 {
                        log.clear();
                    }
                }
                _ => {}
            }
        }
    }

    /// Ends the runs of a start order, or answers the batches that were handed over, with one packet.
    fn answer(&mut self, link: SessionId, packet: Packet) {
        let packet = match packet {
            Packet::FromEntry(packet) => packet,
            Packet::BetweenEntries(packet) => return self.answer_offers(link, &packet),
            Packet::FromAgent(_) => return,
        };
        let mut news = Vec::new();
        for order in &packet.orders {
            if let Order::Start(start) = order {
                self.starts_seen[link as usize] += start.runs.len() as u64;
                news.extend(start.keys().map(|key| AgentNews::Ended {
                    key,
                    end: RunEnd::Done,
                    ran_ms: 60,
                }));
            }
        }
        if !news.is_empty() {
            self.send_from(link, news);
        }
    }
}

impl Bench {
    fn answer_offers(&mut self, link: SessionId, packet: &PeerPacket) {
        let answers = packet.news.iter().filter_map(|news| match news {
            PeerNews::HandOver(offer) => Some(PeerNews::HandOverReply(HandOverReply {
                number: offer.number,
                outcome: HandOverOutcome::Succeeded,
                has_runs: false,
            })),
            _ => None,
        });
        let answers: Vec<PeerNews> = answers.collect();
        if !answers.is_empty() {
            self.handed_over += answers.len() as u64;
            self.send_from_peer(link, answers);
        }
    }
}

fn hello(agent: SessionId) -> AgentNews {
    AgentNews::Hello(AgentIntro {
        name: format!("agent-{agent}").into(),
        life: agent,
        hall: format!("hall-{}", agent % 3).into(),
        protocol: 1,
    })
}

fn target(agent: SessionId) -> AgentNews {
    AgentNews::Target(Some(TargetInfo {
        life: TargetIncarnation {
            name: format!("target-{agent}").into(),
            born: None,
        },
        service: "service".into(),
        capacity: CAPACITY,
        labels: vec![format!("rack-{}", agent / 6)],
        leaving: false,
    }))
}

/// A batch of two or eight tasks; the mean of the measured mix is 3.5.
fn body(number: u64) -> Vec<u8> {
    let payload: String = (0..PAYLOAD_BYTES as u64)
        .map(|i| char::from(b'a' + ((number * 31 + i * i * 7) % 16) as u8))
        .collect();
    let batch = PlainBatch {
        payload: &payload,
        count: if number.is_multiple_of(4) { 8 } else { 2 },
        cpu_millis: 5_800,
        estimate: Duration::from_millis(60),
    };
    stand_in_format::encode_batch(&batch).into_bytes()
}

fn main() {
    let hands_over = std::env::args()
        .nth(1)
        .is_some_and(|arg| arg == "handed-over");
    let mut bench = Bench::new();
    if hands_over {
        bench.join_peers();
    }
    for number in 1..=WARM_UP + BATCHES {
        if number == WARM_UP + 1 {
            bench.costs = Costs::default();
            bench.handed_over = 0;
        }
        bench.now += Duration::from_micros(1_200);
        if hands_over && number % SAMPLE_INTERVAL == 0 {
            bench.starve();
        }
        bench.submit(number, &body(number));
        while bench.incoming.len() > OPEN {
            bench.receive_one();
        }
    }
    println!("{} of {BATCHES} handed over", bench.handed_over);
    let costs = &bench.costs;
    costs.parse.print("parse request");
    costs.submit.print("decide new batch");
    costs.receive.print("decode packet");
    costs.handle_packet.print("handle packet");
    costs.encode.print("encode packet");
    costs.log.print("log and count");
    let parts = [
        &costs.parse,
        &costs.submit,
        &costs.receive,
        &costs.handle_packet,
        &costs.encode,
        &costs.log,
    ];
    let mut total = Cost::default();
    for part in parts {
        total.time += part.time;
        total.allocations += part.allocations;
        total.calls += part.calls;
        total.bytes += part.bytes;
    }
    total.print("all");
}
