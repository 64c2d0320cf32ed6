//! Measures CPU time, wire bytes and memory of the real cores and codecs at several sizes, for the
//! scaling estimates in docs/CAPACITY.md.

use std::collections::VecDeque;
use std::fs;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use clap::{Arg, Command, value_parser};
use trestleknot_lib::agent::{AgentAction, AgentCore, AgentEvent, AgentOptions, RunEnd};
use trestleknot_lib::codec;
use trestleknot_lib::config_chain::{ConfigStamp, LogBatch, LogRecord, StoredRecord};
use trestleknot_lib::config_document::{Document, Team};
use trestleknot_lib::entry::{EntryAction, EntryCore, EntryEvent, EntryOptions, Submission};
use trestleknot_lib::http_api::hash_key;
use trestleknot_lib::ids::{JobId, SessionId};
use trestleknot_lib::job::{TaskOutcome, TaskSpec};
use trestleknot_lib::message::{
    AgentHello, AgentMessage, Capacity, Claim, Dispatch, EntryMessage, Frame, PROTOCOL_VERSION,
    PeerHello, PeerMessage, PeerReport, TeamDemand, Welcome,
};
use trestleknot_lib::permit::{ClaimAnswer, FleetSecret, PermitId, Registrar};
use trestleknot_lib::placement::PlacementMode;

/// Number of teams in the measured configuration.
const TEAMS: usize = 54;
/// Slots of each target.
const SLOTS: u32 = 8;
const TASKS_PER_JOB: usize = 40;
/// Bytes of WebSocket, TCP and IP headers of a frame in its own packet.
const HEADER_BYTES: usize = 46;

fn main() {
    let matches = Command::new("measure-cost")
        .about("Measure slopes of processor time, bytes and memory")
        .arg(
            Arg::new("tasks")
                .long("tasks")
                .default_value("40000")
                .value_parser(value_parser!(usize))
                .help("Tasks for each slope of processor time"),
        )
        .get_matches();
    let tasks = *matches.get_one::<usize>("tasks").expect("has a default");
    print_sizes();
    // Memory is measured first and never freed, because reused pages would hide growth.
    memory_slopes();
    for sessions in [10, 100, 1_000, 3_000] {
        entry_slopes(sessions, tasks);
    }
    for entries in [3, 30] {
        agent_slopes(entries, tasks);
    }
}

fn options(seed: u64) -> EntryOptions {
    EntryOptions {
        name: "entry".into(),
        incarnation: seed,
        agent_address: "127.0.0.1:1".to_owned(),
        secret: FleetSecret::new("a measured fleet's secret"),
        placement: Some(PlacementMode::SlotGrants),
        permit_life: Duration::from_secs(600),
        drain_limit: Duration::from_secs(30),
        snapshot_every: Duration::from_secs(600),
        seed,
    }
}

fn document(lease_ms: u32) -> Arc<str> {
    let team = |index: usize| {
        let team = Team {
            key_sha256: hash_key(&format!("key-{index}")),
            quota: 1_000_000,
        };
        (Arc::from(format!("team-{index}")), team)
    };
    let document = Document {
        teams: (0..TEAMS).map(team).collect(),
        lease_ms,
        max_waiting_tasks: 1_000_000,
        ..Document::default()
    };
    document.canonical().expect("it can be written").into()
}

fn batch(offset: u64, replaces: ConfigStamp, lease_ms: u32) -> EntryEvent {
    let record = Some(LogRecord::Change {
        nonce: offset,
        replaces,
        text: document(lease_ms),
        author: "measure".to_owned(),
    });
    EntryEvent::LogRead(Some(LogBatch {
        from: offset,
        oldest: 0,
        records: vec![StoredRecord { offset, record }],
        next: offset + 1,
        end: offset + 1,
    }))
}

fn hello(agent: u64) -> AgentHello {
    AgentHello {
        protocol: PROTOCOL_VERSION,
        name: format!("target-{agent}").into(),
        incarnation: 1_000_000 + agent,
        hall: "Nasr".into(),
        capacity: Capacity {
            slots: SLOTS,
            memory_mib: 65_536,
            accelerators: 2,
        },
        uptime_ms: 1,
        config: ConfigStamp::default(),
        leaving: false,
    }
}

/// An entry's core with simulated agents that answer immediately.
struct Bench {
    core: EntryCore,
    now: Duration,
    sent: Vec<u64>,
    inbox: VecDeque<EntryEvent>,
    complete: usize,
    codec: Duration,
    messages: usize,
    is_unresponsive: bool,
}

impl Bench {
    fn new(sessions: u64) -> Self {
        let mut bench = Self {
            core: EntryCore::new(options(7)),
            now: Duration::from_secs(1),
            sent: vec![1; sessions as usize + 1],
            inbox: VecDeque::new(),
            complete: 0,
            codec: Duration::ZERO,
            messages: 0,
            is_unresponsive: false,
        };
        bench.handle(batch(0, ConfigStamp::default(), 3_000));
        for agent in 1..=sessions {
            bench.handle(EntryEvent::AgentOpened {
                session: agent,
                hello: hello(agent),
            });
        }
        bench.drain_inbox();
        bench
    }

    /// A bench with one agent for each of `jobs`, which admits them all. The agents never answer.
    fn unresponsive(jobs: u64) -> Self {
        let mut bench = Self::new(jobs);
        bench.is_unresponsive = true;
        bench
    }

    fn handle(&mut self, event: EntryEvent) {
        for action in self.core.handle(self.now, event) {
            match action {
                EntryAction::SendAgent { session, frame } if !self.is_unresponsive => {
                    self.answer(session, &frame);
                }
                EntryAction::Reply { .. } => self.complete += 1,
                _ => {}
            }
        }
    }

    /// Answers a frame as an agent: lends the demanded slots and finishes the dispatched tasks. Both
    /// frames pass through the codec.
    fn answer(&mut self, session: SessionId, frame: &Frame<EntryMessage>) {
        let mut messages = Vec::new();
        for message in &frame.messages {
            match message {
                EntryMessage::Demand(n) => messages.push(AgentMessage::Lend(*n)),
                EntryMessage::Dispatch(d) => messages.push(AgentMessage::Finished {
                    seq: d.seq,
                    outcome: TaskOutcome::Succeeded("done".into()),
                    run_ms: 100,
                    free: SLOTS,
                }),
                _ => {}
            }
        }
        let began = Instant::now();
        black_box(codec::encode(frame));
        self.messages += frame.messages.len() + messages.len();
        if messages.is_empty() {
            self.codec += began.elapsed();
            return;
        }
        let n = &mut self.sent[session as usize];
        *n += 1;
        let reply = Frame { n: *n, messages };
        let bytes = codec::encode(&reply);
        let frame = codec::decode(&bytes).expect("our own frame");
        self.codec += began.elapsed();
        self.inbox
            .push_back(EntryEvent::AgentFrame { session, frame });
    }

    fn drain_inbox(&mut self) {
        while let Some(event) = self.inbox.pop_front() {
            self.handle(event);
        }
    }

    fn submit(&mut self, number: u64, tasks: usize) {
        let task = TaskSpec {
            kind: "unlock".into(),
            payload: "{\"scooter\":\"c-1234567\"}".into(),
            expected_ms: 100,
            memory_mib: 64,
            accelerators: 0,
        };
        self.handle(EntryEvent::Submit(Submission {
            request: number,
            key_sha256: hash_key(&format!("key-{}", number as usize % TEAMS)),
            tasks: vec![task; tasks].into(),
            deadline: Duration::from_secs(50),
            repeatable: true,
            permit: None,
            trace: None,
        }));
    }
}

fn micros_per_item(time: Duration, count: usize) -> f64 {
    time.as_secs_f64() * 1e6 / count.max(1) as f64
}

fn entry_slopes(sessions: u64, tasks: usize) {
    let mut bench = Bench::new(sessions);
    let jobs = tasks / TASKS_PER_JOB;
    bench.codec = Duration::ZERO;
    bench.messages = 0;
    let began = Instant::now();
    for number in 0..jobs as u64 {
        bench.now += Duration::from_micros(100);
        bench.submit(number, TASKS_PER_JOB);
        bench.drain_inbox();
    }
    let total = began.elapsed();
    assert_eq!(bench.complete, jobs, "every job completes");
    let per_task = micros_per_item(total - bench.codec, jobs * TASKS_PER_JOB);
    let codec = micros_per_item(bench.codec, jobs * TASKS_PER_JOB);
    let messages = bench.messages as f64 / (jobs * TASKS_PER_JOB) as f64;

    let ticks = 200;
    let began = Instant::now();
    for _ in 0..ticks {
        bench.now += Duration::from_millis(5);
        bench.handle(EntryEvent::Tick);
    }
    let per_second = micros_per_item(began.elapsed(), 1);
    let changes = 20;
    let began = Instant::now();
    for change in 1..=changes {
        let head = bench.core.config().stamp();
        bench.handle(batch(change, head, 3_000 + change as u32));
    }
    let per_change = micros_per_item(began.elapsed(), changes as usize);
    println!(
        "entry, {sessions:>5} sessions: {per_task:.2} us a task, {codec:.2} us codec, \
         {messages:.2} messages a task; idle {per_second:.0} us a second; {per_change:.0} us a \
         configuration change"
    );
}

fn agent_slopes(entries: u64, tasks: usize) {
    let mut core = AgentCore::new(AgentOptions {
        name: "target".into(),
        incarnation: 5,
        hall: "Nasr".into(),
        capacity: hello(1).capacity,
        entries: Vec::new(),
        drain_limit: Duration::from_secs(30),
    });
    let mut now = Duration::from_secs(1);
    for session in 1..=entries {
        core.handle(now, AgentEvent::EntryConnected(session));
        let messages = vec![EntryMessage::Welcome(welcome(session))];
        let frame = Frame { n: 1, messages };
        core.handle(now, AgentEvent::EntryFrame { session, frame });
    }
    let began = Instant::now();
    let mut seqs = vec![0; entries as usize + 1];
    for task in 0..tasks as u64 {
        now += Duration::from_micros(100);
        let session = task % entries + 1;
        let seq = &mut seqs[session as usize];
        *seq += 1;
        let messages = vec![EntryMessage::Dispatch(dispatch(*seq))];
        let frame = Frame {
            n: *seq + 1,
            messages,
        };
        let frame = codec::decode(&codec::encode(&frame)).expect("our own frame");
        let actions = core.handle(now, AgentEvent::EntryFrame { session, frame });
        for action in actions {
            if let AgentAction::Start(start) = action {
                let end = RunEnd::Ended(TaskOutcome::Succeeded("done".into()));
                let run = start.run;
                for sent in core.handle(now, AgentEvent::RunEnded { run, end }) {
                    if let AgentAction::SendEntry { frame, .. } = sent {
                        black_box(codec::encode(&frame));
                    }
                }
            }
        }
    }
    let per_task = micros_per_item(began.elapsed(), tasks);
    let began = Instant::now();
    for _ in 0..200 {
        now += Duration::from_millis(5);
        black_box(core.handle(now, AgentEvent::Tick));
    }
    let idle = micros_per_item(began.elapsed(), 1);
    println!(
        "agent, {entries:>5} sessions: {per_task:.2} us a task with codec; idle {idle:.0} us a second"
    );
}

fn welcome(session: u64) -> Welcome {
    Welcome {
        name: format!("entry-{session}").into(),
        incarnation: session,
        placement: PlacementMode::SlotGrants,
        resume: false,
        outstanding: Vec::new(),
        settled_below: 1,
        config: ConfigStamp::default(),
        entries: vec!["127.0.0.1:7200".to_owned(); 3],
        heartbeat_ms: 1_000,
    }
}

fn dispatch(seq: u64) -> Dispatch {
    Dispatch {
        seq,
        settled_below: seq,
        job: JobId {
            entry: u64::MAX / 3,
            seq: 123_456,
        },
        task: 17,
        spec: TaskSpec {
            kind: "unlock".into(),
            payload: "{\"scooter\":\"c-1234567\"}".into(),
            expected_ms: 100,
            memory_mib: 64,
            accelerators: 0,
        },
        waiting: 3,
        trace: Some("00-0123456789abcdef0123456789abcdef-0123456789abcdef-01".into()),
    }
}

/// Prints the bytes of a frame with one message, without and with headers.
fn print_size<M: serde::Serialize>(kind: &str, message: M) {
    let frame = Frame {
        n: 100_000,
        messages: vec![message],
    };
    let bytes = codec::encode(&frame).len();
    println!(
        "bytes  {kind:<22} {bytes:>5}  with framing {:>5}",
        bytes + HEADER_BYTES
    );
}

fn print_sizes() {
    let stamp = ConfigStamp {
        version: 4_300,
        digest: u64::MAX / 5,
    };
    let claim = Claim {
        permit: PermitId {
            maker: u64::MAX / 3,
            number: 1_000,
        },
        expires_ms: 100_000_000,
        job: dispatch(1).job,
        digest: u64::MAX / 7,
    };
    print_size("entry Welcome", EntryMessage::Welcome(welcome(1)));
    print_size("entry Dispatch", EntryMessage::Dispatch(dispatch(100_000)));
    print_size("entry Demand", EntryMessage::Demand(8));
    let settled_below = 100_000;
    print_size("entry Heartbeat", EntryMessage::Heartbeat { settled_below });
    print_size(
        "entry Revoke of 8",
        EntryMessage::Revoke((100_000..100_008).collect()),
    );
    print_size("entry Claim", EntryMessage::Claim(claim.clone()));
    print_size("agent Hello", AgentMessage::Hello(hello(2_800)));
    print_size("agent Lend", AgentMessage::Lend(8));
    print_size(
        "agent Heartbeat",
        AgentMessage::Heartbeat {
            uptime_ms: 100_000_000,
            free: 8,
            config: stamp,
        },
    );
    print_size(
        "agent Finished",
        AgentMessage::Finished {
            seq: 100_000,
            outcome: TaskOutcome::Succeeded("unlocked".into()),
            run_ms: 120,
            free: 7,
        },
    );
    let answer = ClaimAnswer::Granted;
    print_size("agent Claimed", AgentMessage::Claimed { claim, answer });
    let teams = (0..TEAMS).map(|index| TeamDemand {
        team: format!("team-{index}").into(),
        tasks: 4_000,
    });
    let report = PeerReport {
        waiting_work_ms: 123_456,
        teams: teams.collect(),
        set_aside: Vec::new(),
        config: stamp,
    };
    print_size("peer Report, 54 teams", PeerMessage::Report(report));
    print_size(
        "peer Hello",
        PeerMessage::Hello(PeerHello {
            protocol: PROTOCOL_VERSION,
            name: "entry-12".into(),
            incarnation: u64::MAX / 3,
            agent_address: "10.0.0.12:7200".to_owned(),
            config: stamp,
        }),
    );
    println!(
        "bytes  document of {TEAMS} teams {:>5}",
        document(3_000).len()
    );
}

/// Resident memory of this process in bytes.
fn resident_bytes() -> usize {
    const PAGE: usize = 4_096;
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|p| p.parse().ok());
    pages.unwrap_or(0) * PAGE
}

/// Growth of resident memory since `before`, per item.
fn growth_per_item(before: usize, count: usize) -> f64 {
    resident_bytes().saturating_sub(before) as f64 / count as f64
}

fn memory_slopes() {
    for sessions in [1_000, 3_000, 10_000] {
        let before = resident_bytes();
        let bench = Bench::new(sessions);
        let bytes = growth_per_item(before, sessions as usize);
        println!("memory {bytes:>7.0} bytes a session, {sessions} sessions");
        std::mem::forget(bench);
    }
    for jobs in [1_000, 5_000] {
        let mut bench = Bench::unresponsive(jobs);
        let before = resident_bytes();
        for number in 0..jobs {
            bench.submit(number, TASKS_PER_JOB);
        }
        let held = bench.core.jobs_held();
        let bytes = growth_per_item(before, held * TASKS_PER_JOB);
        println!("memory {bytes:>7.0} bytes a waiting task, {held} jobs of {TASKS_PER_JOB}");
        std::mem::forget(bench);
    }
    let mut registrar = Registrar::default();
    let before = resident_bytes();
    let permits = 40_000;
    for number in 0..permits {
        let claim = Claim {
            permit: PermitId { maker: 1, number },
            expires_ms: u64::MAX,
            job: JobId {
                entry: 1,
                seq: number,
            },
            digest: number,
        };
        registrar.claim(&claim, 0);
    }
    println!(
        "memory {:>7.0} bytes a permit in use",
        growth_per_item(before, permits as usize)
    );
}
