//! Names and formats that other processes, tools, stored data and operators depend on: messages,
//! records, settings, answers over HTTP, metrics, log lines and hashes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::{Debug, Write as _};
use std::future::pending;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use ciborium::Value;
use futures_util::future::LocalBoxFuture;
use futures_util::{FutureExt as _, Sink, Stream};
use ntex::http::Method;
use ntex::web::{App, HttpResponse, WebResponse, test as web_test};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_bytes::ByteBuf;
use testutils::run_fleet::{FleetFault, Node, RunFleet};
use testutils::run_target::TargetImpairment;
use tokio::net::TcpListener;
use tokio_tungstenite::tungstenite::{Error as WsError, Message};
use trestleknot_lib::admission::PERMITS_PATH;
use trestleknot_lib::agent_node::AgentNode;
use trestleknot_lib::batch::{StepSpec, Unsupported};
use trestleknot_lib::batch_event;
use trestleknot_lib::codec;
use trestleknot_lib::config_chain::{
    ConfigStamp, ConfigState, LogBatch, LogRecord, StoredRecord, stamp_of,
};
use trestleknot_lib::config_document::Document;
use trestleknot_lib::counters::{Counters, MessageKind};
use trestleknot_lib::entry::{EntryEvent, Progress, Reply, ResponseMeasurement};
use trestleknot_lib::entry_input::EntryInput;
use trestleknot_lib::entry_node::EntryNode;
use trestleknot_lib::evacuations::EvacuatedHalls;
use trestleknot_lib::events::{CATALOGUE, EventCode};
use trestleknot_lib::http_answer::{NEXT_PERMIT, response_for};
use trestleknot_lib::http_api::{
    BodyLimit, Gateway, WorkerRings, caller_routes, hash_key, operator_routes,
};
use trestleknot_lib::http_platform::{Appended, LeaseBody, StartBody, StopBody};
use trestleknot_lib::ids::{JobId, Now};
use trestleknot_lib::job::{Answer, Failure, RefusalReason, TaskOutcome, TaskSpec};
use trestleknot_lib::job_history::{JobTimeline, Step, StepKind};
use trestleknot_lib::link_auth;
use trestleknot_lib::message::{
    AgentConfig, AgentHello, AgentMessage, Capacity, Claim, Dispatch, DispatchFate,
    DispatchRefusal, EntryMessage, Frame, PROTOCOL_VERSION, PeerHello, PeerMessage, PeerReport,
    SettledDispatch, TeamDemand, Welcome,
};
use trestleknot_lib::node_metrics::NodeMetrics;
use trestleknot_lib::payload::{Payload, PayloadPacker, PayloadUnpacker};
use trestleknot_lib::permit::{
    ClaimAnswer, FleetSecret, Permit, PermitId, StoredAnswer, request_digest,
};
use trestleknot_lib::placement::PlacementMode;
use trestleknot_lib::platform_ports::{
    EntryRegistry, OperatorFeed, OperatorRecords, PortResult, TargetPort,
};
use trestleknot_lib::preferred_entries::{LinkStep, PREFERRED_COUNT, PreferredEntries};
use trestleknot_lib::queue::{Queue, QueueTable, RequestLimits};
use trestleknot_lib::resources::Resources;
use trestleknot_lib::ring::{TaskWaker, ring};
use trestleknot_lib::run::{NotStarted, RunEnd, RunKey, TaskKey};
use trestleknot_lib::run_event::{AgentOptions, RenewalAnswer, StartAnswer, StartCall};
use trestleknot_lib::run_message::{
    AgentIntro, AgentNews, AgentPacket, CancelNotice, ClaimNotice, ClaimReply, ClosingBatch,
    CrashNotice, DispatchNotice, DispatchedBatch, EntryPacket, HandOver, HandOverDecline,
    HandOverOutcome, HandOverReply, Order, Packet, PeerIntro, PeerNews, PeerPacket, RunsNotice,
    StartOrder, TargetInfo, Welcome as RunWelcome,
};
use trestleknot_lib::settings::{self, AgentSettings, Checked, EntrySettings};
use trestleknot_lib::status::{EntryStatus, TargetState, TargetStatus};
use trestleknot_lib::target_health::HealthReport;
use trestleknot_lib::target_incarnation::TargetIncarnation;
use trestleknot_lib::target_lease::Renewal;
use trestleknot_lib::telemetry::{MetricLevels, Telemetry, TelemetryReport};
use trestleknot_lib::timings::{PlatformBounds, Timings};
use trestleknot_lib::trace::TraceContext;
use trestleknot_lib::vm_list::{VmRecord, VmRole, VmState};
use trestleknot_lib::worker_threads::run_system;

const KEPT_FRAMES: &str = include_str!("data/outward/frames.txt");
const KEPT_PAYLOAD: &str = include_str!("data/outward/payload.txt");
const KEPT_RECORDS: &str = include_str!("data/outward/records.txt");
const TRACE: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
const SECRET: &str = "a secret of the fleet";

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digit = |at: usize| u8::from_str_radix(&text[at..at + 2], 16);
    let starts = (0..text.len()).step_by(2);
    starts.map(|at| digit(at).expect("hexadecimal")).collect()
}

/// A decoded value on one line.
fn show(value: &Value) -> String {
    match value {
        Value::Integer(n) => i128::from(*n).to_string(),
        Value::Float(x) => format!("{x:?}"),
        Value::Bool(b) => b.to_string(),
        Value::Null => "null".to_owned(),
        Value::Text(text) => format!("{text:?}"),
        Value::Bytes(bytes) => format!("h'{}'", hex(bytes)),
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(show).collect();
            format!("[{}]", items.join(", "))
        }
        Value::Map(pairs) => {
            let pairs = pairs.iter();
            let pairs: Vec<String> = pairs
                .map(|(key, value)| format!("{}: {}", show(key), show(value)))
                .collect();
            format!("{{{}}}", pairs.join(", "))
        }
        other => panic!("{other:?} is not used"),
    }
}

/// A label, what it stands for, and its bytes.
struct Encoded {
    label: String,
    bytes: Vec<u8>,
}

fn encoded(group: &str, label: &str, value: &impl Serialize) -> Encoded {
    Encoded {
        label: format!("{group}/{label}"),
        bytes: codec::encode_value(value),
    }
}

fn page(all: &[Encoded]) -> String {
    let mut text = String::new();
    for one in all {
        let value: Value = codec::decode_value(&one.bytes).expect("own bytes");
        let (label, bytes) = (&one.label, hex(&one.bytes));
        writeln!(text, "{label}\n  {}\n  {bytes}", show(&value)).expect("a string");
    }
    text
}

fn stamp() -> ConfigStamp {
    ConfigStamp {
        version: 7,
        digest: 0x0102_0304_0506_0708,
    }
}

fn job() -> JobId {
    JobId {
        entry: 0xe1,
        seq: 12,
    }
}

fn claim() -> Claim {
    Claim {
        permit: PermitId {
            maker: 0xe1,
            number: 3,
        },
        expires_ms: 90_000,
        job: job(),
        digest: 0xdead_beef,
    }
}

fn task() -> TaskSpec {
    TaskSpec {
        kind: "resize".into(),
        payload: "a picture".into(),
        expected_ms: 250,
        memory_mib: 64,
        accelerators: 1,
    }
}

fn bare_task() -> TaskSpec {
    TaskSpec {
        kind: "resize".into(),
        payload: "".into(),
        expected_ms: 0,
        memory_mib: 0,
        accelerators: 0,
    }
}

fn config_state() -> ConfigState {
    let text = "{\"lease_ms\":3000}";
    ConfigState {
        stamp: stamp_of(7, text),
        text: text.into(),
        read_to: 42,
    }
}

fn failures() -> Vec<Failure> {
    vec![
        Failure::TaskFailed {
            task: 2,
            message: "no memory".into(),
        },
        Failure::TargetLost {
            task: 2,
            target: "target-1".into(),
        },
        Failure::DeadlinePassed,
        Failure::Cancelled,
        Failure::EarlierSubmissionUnknown,
        Failure::EntryStopped,
    ]
}

fn refusals() -> Vec<RefusalReason> {
    vec![
        RefusalReason::Malformed {
            message: "body: end".to_owned(),
        },
        RefusalReason::TooLarge { limit: 4_096 },
        RefusalReason::UnknownTeam,
        RefusalReason::OverQuota { share: 25 },
        RefusalReason::Impossible {
            task: 3,
            need: "8 accelerators".to_owned(),
        },
        RefusalReason::WouldMissDeadline { estimate_ms: 900 },
        RefusalReason::Busy,
        RefusalReason::NoTargets,
        RefusalReason::DeadlinePassed,
        RefusalReason::Cancelled,
        RefusalReason::Stopping,
        RefusalReason::ConfigurationBehind,
        RefusalReason::PermitNeeded {
            path: PERMITS_PATH.to_owned(),
        },
        RefusalReason::PermitInvalid,
        RefusalReason::PermitVoid,
        RefusalReason::PermitUnreachable,
        RefusalReason::EarlierSubmissionRunning,
        RefusalReason::UnknownJob,
    ]
}

fn answers() -> Vec<Answer> {
    let complete = Answer::Complete {
        job: job().to_string(),
        results: vec!["one".into(), "two".into()],
    };
    let failed = failures()
        .into_iter()
        .map(|reason| Answer::failed(job(), reason, true));
    let refused = refusals().into_iter().map(Answer::refused);
    let later = Answer::refused_until(RefusalReason::Busy, Duration::from_millis(1_200));
    std::iter::once(complete)
        .chain(failed)
        .chain(refused)
        .chain([later])
        .collect()
}

fn dispatch_refusals() -> [DispatchRefusal; 6] {
    [
        DispatchRefusal::Full,
        DispatchRefusal::Resources,
        DispatchRefusal::Leaving,
        DispatchRefusal::TargetDown,
        DispatchRefusal::Revoked,
        DispatchRefusal::NeverSeen,
    ]
}

fn placements() -> [PlacementMode; 4] {
    [
        PlacementMode::LeastLoaded,
        PlacementMode::LateBinding,
        PlacementMode::SlotGrants,
        PlacementMode::SlotGrantsAhead,
    ]
}

fn outcomes() -> [TaskOutcome; 3] {
    [
        TaskOutcome::Succeeded("done".into()),
        TaskOutcome::Failed("no memory".into()),
        TaskOutcome::Lost,
    ]
}

fn welcome(placement: PlacementMode) -> Welcome {
    Welcome {
        name: "entry-1".into(),
        incarnation: 0xe1,
        placement,
        resume: true,
        outstanding: vec![4, 6],
        settled_below: 4,
        config: stamp(),
        entries: vec!["10.0.0.2:7300".to_owned()],
        heartbeat_ms: 500,
    }
}

fn entry_messages() -> Vec<EntryMessage> {
    let dispatch = |spec: TaskSpec, trace: Option<&str>| {
        EntryMessage::Dispatch(Dispatch {
            seq: 5,
            settled_below: 4,
            job: job(),
            task: 2,
            spec,
            waiting: 9,
            trace: trace.map(Arc::from),
        })
    };
    let mut all: Vec<EntryMessage> = placements()
        .map(|p| EntryMessage::Welcome(welcome(p)))
        .into();
    all.extend([
        dispatch(task(), Some(TRACE)),
        dispatch(bare_task(), None),
        EntryMessage::Revoke(vec![5, 6]),
        EntryMessage::Demand(3),
        EntryMessage::Reserve(2),
        EntryMessage::GiveBack(1),
        EntryMessage::Heartbeat { settled_below: 4 },
        EntryMessage::Released { settled_below: 4 },
        EntryMessage::Config(AgentConfig {
            stamp: stamp(),
            lease_ms: 3_000,
        }),
        EntryMessage::Claim(claim()),
        EntryMessage::Release(claim()),
        EntryMessage::Settle {
            claim: claim(),
            answer: StoredAnswer::TooLarge,
        },
    ]);
    all.extend(answers().into_iter().map(|answer| EntryMessage::Settle {
        claim: claim(),
        answer: StoredAnswer::Whole(Box::new(answer)),
    }));
    all.push(EntryMessage::Goodbye);
    all
}

fn agent_messages() -> Vec<AgentMessage> {
    let fates = [
        vec![DispatchFate::Running, DispatchFate::Forgotten],
        dispatch_refusals().map(DispatchFate::Refused).into(),
        outcomes().map(DispatchFate::Finished).into(),
    ];
    let settled = fates.concat().into_iter().zip(1..);
    let settled = settled.map(|(fate, seq)| SettledDispatch { seq, fate });
    let mut all = vec![
        AgentMessage::Hello(AgentHello {
            protocol: PROTOCOL_VERSION,
            name: "agent-1".into(),
            incarnation: 0xa1,
            hall: "hall-1".into(),
            capacity: Capacity {
                slots: 8,
                memory_mib: 4_096,
                accelerators: 2,
            },
            uptime_ms: 1_234,
            config: stamp(),
            leaving: true,
        }),
        AgentMessage::Reconciled(settled.collect()),
    ];
    all.extend(dispatch_refusals().map(|reason| AgentMessage::Refused {
        seq: 5,
        reason,
        free: 3,
    }));
    all.extend(outcomes().map(|outcome| AgentMessage::Finished {
        seq: 5,
        outcome,
        run_ms: 249,
        free: 4,
    }));
    all.extend([
        AgentMessage::Lend(2),
        AgentMessage::Recall(1),
        AgentMessage::Heartbeat {
            uptime_ms: 2_345,
            free: 4,
            config: stamp(),
        },
    ]);
    let answers = [
        ClaimAnswer::Granted,
        ClaimAnswer::Running,
        ClaimAnswer::Unknown,
        ClaimAnswer::Ended(StoredAnswer::TooLarge),
        ClaimAnswer::Ended(StoredAnswer::Whole(Box::new(Answer::failed(
            job(),
            Failure::Cancelled,
            false,
        )))),
        ClaimAnswer::OtherRequest,
        ClaimAnswer::Void,
    ];
    all.extend(answers.map(|answer| AgentMessage::Claimed {
        claim: claim(),
        answer,
    }));
    all.push(AgentMessage::Leaving);
    all.extend([true, false].map(|clean| AgentMessage::Goodbye { clean }));
    all
}

fn peer_messages() -> Vec<PeerMessage> {
    vec![
        PeerMessage::Hello(PeerHello {
            protocol: PROTOCOL_VERSION,
            name: "entry-1".into(),
            incarnation: 0xe1,
            agent_address: "10.0.0.1:7300".to_owned(),
            config: stamp(),
        }),
        PeerMessage::Report(PeerReport {
            waiting_work_ms: 900,
            teams: vec![TeamDemand {
                team: "team-a".into(),
                tasks: 6,
            }],
            set_aside: vec![0xa1],
            config: stamp(),
        }),
        PeerMessage::Report(PeerReport::default()),
        PeerMessage::FetchConfig,
        PeerMessage::Config(config_state()),
        PeerMessage::CancelJob {
            job: job(),
            team: "team-a".into(),
        },
        PeerMessage::Goodbye,
    ]
}

const ROOM: Resources = Resources {
    cpu_millis: 16_000,
    memory_mib: 65_536,
    accelerators: 2,
};
const SIZE: Resources = Resources {
    cpu_millis: 2_000,
    memory_mib: 64,
    accelerators: 1,
};

fn run_key() -> RunKey {
    RunKey {
        task: TaskKey {
            batch: 0xaa01,
            time: 3,
            step: 1,
            index: 2,
        },
        run: 4,
    }
}

fn run_ends() -> [RunEnd; 7] {
    [
        RunEnd::Done,
        RunEnd::Failed,
        RunEnd::Stopped,
        RunEnd::Lapsed,
        RunEnd::Lost,
        RunEnd::Crashed { alone: false },
        RunEnd::Crashed { alone: true },
    ]
}

fn not_started() -> [NotStarted; 11] {
    [
        NotStarted::Full,
        NotStarted::Leaving,
        NotStarted::Evacuated,
        NotStarted::Late,
        NotStarted::Superseded,
        NotStarted::Unhealthy,
        NotStarted::Unanswered,
        NotStarted::Doubtful,
        NotStarted::Unreachable,
        NotStarted::WrongService,
        NotStarted::NoPayload,
    ]
}

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7300))
}

fn six() -> SocketAddr {
    "[fd00::1]:7300".parse().expect("an address")
}

fn halls() -> Arc<EvacuatedHalls> {
    Arc::new(EvacuatedHalls {
        position: 17,
        halls: ["hall-1".into(), "hall-2".into()].into(),
    })
}

fn target_info(born: Option<u64>) -> TargetInfo {
    TargetInfo {
        life: TargetIncarnation {
            name: "target-1".into(),
            born,
        },
        service: "service-1".into(),
        capacity: ROOM,
        labels: vec!["rack-3".to_owned()],
        leaving: true,
    }
}

fn queue_table() -> QueueTable {
    QueueTable {
        version: 9,
        queues: vec![Arc::new(Queue {
            name: "queue-1".into(),
            host: "host-1".to_owned(),
            path_prefix: "/jobs".to_owned(),
            service: "service-1".into(),
            priority: 2,
            max_attempts: 3,
            stretch: 1.5,
            target_latency: Duration::from_millis(200),
            needs_advice: true,
        })],
        limits: RequestLimits { body_bytes: 65_536 },
    }
}

fn packed() -> Payload {
    Payload::Packed(Arc::new(ByteBuf::from(vec![1, 2, 250])))
}

fn start_order(payload: Option<Payload>, alone: bool) -> Order {
    Order::Start(StartOrder {
        batch: 0xaa01,
        step: 1,
        service: "service-1".into(),
        payload,
        size: SIZE,
        estimate_ms: 250,
        start_by: 5_000,
        alone,
        guarantor: None,
        target: None,
        runs: vec![(0, 1), (2, 4)],
    })
}

fn agent_packet(news: Vec<AgentNews>) -> Packet {
    Packet::FromAgent(AgentPacket {
        clock: 4_321,
        free: ROOM,
        starts_seen: 11,
        health: HealthReport {
            pace_percent: 130,
            failed_percent: 7,
        },
        news,
    })
}

fn entry_packet(orders: Vec<Order>) -> Packet {
    Packet::FromEntry(EntryPacket {
        lease_until: 9_000,
        store_heard: 4_000,
        waiting: 5,
        orders,
    })
}

fn peer_packet(news: PeerNews) -> Packet {
    Packet::BetweenEntries(PeerPacket {
        clock: 0,
        news: vec![news],
    })
}

fn agent_news() -> Vec<AgentNews> {
    let mut all = vec![
        AgentNews::Hello(AgentIntro {
            name: "agent-1".into(),
            life: 0xa1,
            hall: "hall-1".into(),
            protocol: 0,
        }),
        AgentNews::Target(Some(target_info(Some(77)))),
        AgentNews::Target(Some(target_info(None))),
        AgentNews::Target(None),
    ];
    all.extend(run_ends().map(|end| AgentNews::Ended {
        key: run_key(),
        end,
        ran_ms: 260,
    }));
    all.extend(not_started().map(|reason| AgentNews::NotStarted {
        key: run_key(),
        reason,
    }));
    all.extend([
        AgentNews::Slow {
            key: run_key(),
            ran_ms: 800,
            percent: 12,
        },
        AgentNews::Leaving,
    ]);
    all
}

fn orders() -> Vec<Order> {
    vec![
        Order::Welcome(RunWelcome {
            name: "entry-1".into(),
            life: 0xe1,
            entries: vec![address(2), six()],
            claims: vec![(run_key(), SIZE)],
            guarantors: Vec::new(),
            evacuations: halls(),
            protocol: 0,
        }),
        start_order(Some(Payload::from("a text")), true),
        start_order(Some(packed()), false),
        start_order(None, false),
        Order::Stop(vec![run_key()]),
        Order::Entries(vec![address(3)]),
        Order::Evacuations(halls()),
    ]
}

fn peer_news() -> Vec<PeerNews> {
    let closing = ClosingBatch {
        batch: 0xaa01,
        entry: 0xe1,
    };
    vec![
        PeerNews::Hello(PeerIntro {
            name: "entry-1".into(),
            life: 0xe1,
            address: address(1),
            config: 9,
            evacuations: 17,
            entries: vec![address(2)],
            protocol: 0,
            processor_millis: 0,
            hall: "".into(),
        }),
        PeerNews::ConfigVersion(9),
        PeerNews::WantConfig,
        PeerNews::Config(Arc::new(queue_table())),
        PeerNews::Evacuations(halls()),
        PeerNews::Entries(vec![address(3)]),
        PeerNews::Closing(closing),
        PeerNews::Closed(closing),
        PeerNews::Heartbeat,
    ]
}

fn packets() -> Vec<Packet> {
    let mut all = vec![agent_packet(Vec::new())];
    all.extend(agent_news().into_iter().map(|n| agent_packet(vec![n])));
    all.push(entry_packet(Vec::new()));
    all.extend(orders().into_iter().map(|o| entry_packet(vec![o])));
    all.extend(peer_news().into_iter().map(peer_packet));
    all.extend(hand_over_packets());
    all.extend(runs_notice_packets());
    all
}

/// Packets of protocol version 2.
fn runs_notice_packets() -> Vec<Packet> {
    let notice = RunsNotice {
        batch: 0xaa01,
        holder: 0xa1,
        owner: 0xe1,
        number: 3,
    };
    vec![
        agent_packet(vec![AgentNews::RunsLeft(notice)]),
        agent_packet(vec![AgentNews::RunsOver(notice)]),
        entry_packet(vec![Order::RunsNoted(vec![3, 4])]),
        peer_packet(PeerNews::RunsLeft(notice)),
        peer_packet(PeerNews::RunsOver(notice)),
    ]
}

/// Packets of protocol version 1.
fn hand_over_packets() -> Vec<Packet> {
    let mut order = start_order(None, false);
    if let Order::Start(order) = &mut order {
        order.guarantor = Some(0xe2);
    }
    let welcome = Order::Welcome(RunWelcome {
        name: "entry-1".into(),
        life: 0xe1,
        entries: Vec::new(),
        claims: vec![(run_key(), SIZE)],
        guarantors: vec![(run_key(), 0xe2)],
        evacuations: halls(),
        protocol: 1,
    });
    let not_started = AgentNews::NotStarted {
        key: run_key(),
        reason: NotStarted::NoGuarantor,
    };
    let mut all = vec![agent_packet(vec![not_started])];
    let orders = [welcome, order, Order::Release(0xaa01)];
    all.extend(orders.map(|order| entry_packet(vec![order])));
    all.extend(hand_over_news().into_iter().map(peer_packet));
    all
}

fn hand_over_news() -> Vec<PeerNews> {
    let offer = HandOver {
        number: 5,
        batch: 0xaa01,
        host: "host-1".to_owned(),
        path: "/jobs/1".to_owned(),
        steps: vec![StepSpec {
            count: 2,
            size: SIZE,
            estimate: Duration::from_millis(250),
            after: vec![0],
            required_label: Some("label-1".to_owned()),
            preferred_rack: None,
            most_per_target: Some(3),
        }],
        payload: packed(),
        timeout_ms: 1_500,
        age_ms: 20,
        proven_ms: 0,
        request: "request-1".into(),
        start_by: 7_300,
    };
    let declines = [
        HandOverDecline::Late,
        HandOverDecline::Load,
        HandOverDecline::Draining,
        HandOverDecline::Known,
        HandOverDecline::NoQueue,
        HandOverDecline::NoTarget,
    ];
    let mut outcomes: Vec<HandOverOutcome> = declines
        .map(HandOverOutcome::Declined)
        .into_iter()
        .collect();
    outcomes.extend([
        HandOverOutcome::Succeeded,
        HandOverOutcome::Failed,
        HandOverOutcome::Cancelled,
        HandOverOutcome::Busy(500),
        HandOverOutcome::Evacuated,
        HandOverOutcome::GaveUp,
    ]);
    let mut all = vec![PeerNews::HandOver(Box::new(offer))];
    all.extend(outcomes.into_iter().map(|outcome| {
        let has_runs = outcome == HandOverOutcome::Failed;
        PeerNews::HandOverReply(HandOverReply {
            number: 5,
            outcome,
            has_runs,
        })
    }));
    all.extend([PeerNews::HandOverEnd(5), PeerNews::HandOverClosed(5)]);
    all
}

fn framed<M: MessageKind + Serialize>(group: &str, messages: Vec<M>) -> Vec<Encoded> {
    let frame = |(n, message): (u64, M)| {
        let label = format!("{n:02} {}", message.kind());
        let messages = vec![message];
        let frame = Frame { n, messages };
        Encoded {
            label: format!("{group}/{label}"),
            bytes: codec::encode(&frame),
        }
    };
    (1..).zip(messages).map(frame).collect()
}

fn encoded_packets() -> Vec<Encoded> {
    let numbered = (1..).zip(packets());
    numbered
        .map(|(n, p)| encoded("packet", &format!("{n:02} {}", p.kind()), &p))
        .collect()
}

fn all_frames() -> Vec<Encoded> {
    let mut all = framed("entry", entry_messages());
    all.extend(framed("agent", agent_messages()));
    all.extend(framed("peer", peer_messages()));
    all.extend(encoded_packets());
    all
}

#[test]
fn test_encode_messages_of_entry() {
    insta::assert_snapshot!(page(&framed("entry", entry_messages())));
}

#[test]
fn test_encode_messages_of_agent() {
    insta::assert_snapshot!(page(&framed("agent", agent_messages())));
}

#[test]
fn test_encode_messages_of_peer() {
    insta::assert_snapshot!(page(&framed("peer", peer_messages())));
}

#[test]
fn test_encode_value_packets() {
    insta::assert_snapshot!(page(&encoded_packets()));
}

#[test]
fn test_encode_value_crash_notices() {
    let notice = CrashNotice {
        key: run_key(),
        owner: 0xe1,
        alone: true,
        age_ms: 250,
    };
    let packets = [
        agent_packet(vec![AgentNews::Crashed(notice)]),
        peer_packet(PeerNews::Crashed(notice)),
    ];
    let encoded: Vec<Encoded> = packets
        .iter()
        .map(|p| encoded("crash notice", p.kind(), p))
        .collect();
    insta::assert_snapshot!(page(&encoded));
    for one in &encoded {
        assert_eq!(again::<Packet>(&one.bytes), one.bytes);
    }
}

/// An order that names the target's incarnation, and its refusal.
fn packets_for_a_target() -> Vec<Packet> {
    let mut order = start_order(None, false);
    if let Order::Start(order) = &mut order {
        order.target = Some(TargetIncarnation {
            name: "life-1".into(),
            born: Some(77),
        });
    }
    let refused = AgentNews::NotStarted {
        key: run_key(),
        reason: NotStarted::Replaced,
    };
    vec![entry_packet(vec![order]), agent_packet(vec![refused])]
}

#[test]
fn test_encode_value_packets_for_a_target() {
    let packets = packets_for_a_target();
    let encoded: Vec<Encoded> = packets
        .iter()
        .map(|p| encoded("target", p.kind(), p))
        .collect();
    insta::assert_snapshot!(page(&encoded));
    for one in &encoded {
        assert_eq!(again::<Packet>(&one.bytes), one.bytes);
    }
}

/// Packets of protocol version 4.
fn dispatch_notice_packets() -> Vec<Packet> {
    let notice = DispatchNotice {
        batches: vec![DispatchedBatch {
            batch: 0xaa01,
            agents: vec!["agent-1".into(), "agent-2".into()],
        }],
        ended: vec![0xaa02],
    };
    vec![
        peer_packet(PeerNews::Dispatched(notice)),
        agent_packet(vec![AgentNews::RunsListed]),
    ]
}

#[test]
fn test_encode_value_dispatch_notices() {
    let packets = dispatch_notice_packets();
    let encoded: Vec<Encoded> = packets
        .iter()
        .map(|p| encoded("dispatch notice", p.kind(), p))
        .collect();
    insta::assert_snapshot!(page(&encoded));
    for one in &encoded {
        assert_eq!(again::<Packet>(&one.bytes), one.bytes);
    }
}

/// Packets of protocol version 5.
fn claim_packets() -> Vec<Packet> {
    let notice = ClaimNotice {
        number: 7,
        claims: vec![0xaa01],
        checks: vec![0xaa02, 0xaa03],
    };
    let reply = ClaimReply {
        number: 7,
        held: vec![0xaa02],
    };
    let mut news = hand_over_news();
    let Some(PeerNews::HandOver(offer)) = news.first_mut() else {
        panic!("an offer comes first");
    };
    offer.proven_ms = 1_250;
    let offer = news.swap_remove(0);
    let news = [
        PeerNews::Claim(notice),
        PeerNews::ClaimReply(reply),
        PeerNews::Superseded(0xaa01),
        offer,
    ];
    news.map(peer_packet).to_vec()
}

#[test]
fn test_encode_value_claims() {
    let packets = claim_packets();
    let encoded: Vec<Encoded> = packets
        .iter()
        .map(|p| encoded("claim", p.kind(), p))
        .collect();
    insta::assert_snapshot!(page(&encoded));
    for one in &encoded {
        assert_eq!(again::<Packet>(&one.bytes), one.bytes);
    }
}

fn again<T: Serialize + DeserializeOwned>(bytes: &[u8]) -> Vec<u8> {
    let value: T = codec::decode_value(bytes).expect("kept bytes can be read");
    codec::encode_value(&value)
}

#[test]
fn test_decode_kept_frames() {
    let mut labels = Vec::new();
    for line in KEPT_FRAMES.lines() {
        let (label, bytes) = line.split_once(" = ").expect("label = bytes");
        let bytes = unhex(bytes);
        let written = match label.split_once('/').map(|(group, _)| group) {
            Some("entry") => again::<Frame<EntryMessage>>(&bytes),
            Some("agent") => again::<Frame<AgentMessage>>(&bytes),
            Some("peer") => again::<Frame<PeerMessage>>(&bytes),
            Some("packet") => again::<Packet>(&bytes),
            _ => panic!("{label} is of no group"),
        };
        assert_eq!(hex(&written), hex(&bytes), "{label}");
        labels.push(label.to_owned());
    }
    let all: Vec<String> = all_frames().into_iter().map(|f| f.label).collect();
    assert_eq!(labels, all);
}

/// The bytes of a packet without a key of its content.
fn without(packet: &Packet, left_out: &str) -> Vec<u8> {
    let mut value: Value = codec::decode_value(&codec::encode_value(packet)).expect("own bytes");
    let Value::Map(outer) = &mut value else {
        panic!("a packet is a map");
    };
    let Value::Map(content) = &mut outer[0].1 else {
        panic!("its content is a map");
    };
    let before = content.len();
    content.retain(|(key, _)| key.as_text() != Some(left_out));
    assert_eq!(content.len() + 1, before, "{left_out}");
    codec::encode_value(&value)
}

#[test]
fn test_decode_value_without_defaults() {
    let agent = without(&agent_packet(Vec::new()), "h");
    let entry = without(&entry_packet(Vec::new()), "k");
    let read = [("agent, no health", agent), ("entry, no store", entry)];
    let read = read.map(|(label, bytes)| Encoded {
        label: label.to_owned(),
        bytes: again::<Packet>(&bytes),
    });
    insta::assert_snapshot!(page(&read));
}

#[test]
fn test_unpack_kept_payload() {
    let text: Arc<str> = "0123456789abcdef".repeat(40).into();
    let bytes = unhex(KEPT_PAYLOAD.trim_end());
    let Payload::Packed(own) = PayloadPacker::default().pack(&text) else {
        panic!("it is worth packing");
    };
    let mut unpacker = PayloadUnpacker::default();
    let kept = Payload::Packed(Arc::new(ByteBuf::from(bytes)));
    let kept = unpacker.unpack(&kept).ok();
    assert_eq!(kept.as_ref(), Some(&text), "own bytes: {}", hex(&own));
    let own = unpacker.unpack(&Payload::Packed(own)).expect("own bytes");
    assert_eq!(own, text);
}

/// Packets of protocol version 3.
#[test]
fn test_encode_value_cancel_notice() {
    let notice = CancelNotice {
        batch: 0xaa01,
        age_ms: 250,
    };
    let packet = peer_packet(PeerNews::Cancelled(notice));
    let encoded = encoded("cancel notice", packet.kind(), &packet);
    insta::assert_snapshot!(page(std::slice::from_ref(&encoded)));
    assert_eq!(again::<Packet>(&encoded.bytes), encoded.bytes);
}

#[test]
fn test_kind_of_all() {
    let mut kinds = BTreeSet::new();
    let entry = entry_messages();
    kinds.extend(entry.iter().map(|m| format!("entry {}", m.kind())));
    let agent = agent_messages();
    kinds.extend(agent.iter().map(|m| format!("agent {}", m.kind())));
    let peer = peer_messages();
    kinds.extend(peer.iter().map(|m| format!("peer {}", m.kind())));
    kinds.extend(packets().iter().map(|p| format!("packet {}", p.kind())));
    insta::assert_snapshot!(Vec::from_iter(kinds).join("\n"));
}

fn json(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("it can be encoded")
}

fn document() -> String {
    let key = hash_key("team-a-key");
    format!(
        "{{\"teams\":{{\"team-a\":{{\"key_sha256\":\"{key}\",\"quota\":50}}}},\
         \"placement\":\"late_binding\",\"lease_ms\":2500,\"max_waiting_tasks\":100,\
         \"max_deadline_ms\":9000}}"
    )
}

fn log_records() -> [LogRecord; 2] {
    [
        LogRecord::Change {
            nonce: 5,
            replaces: stamp(),
            text: "{}".into(),
            author: "operator".to_owned(),
        },
        LogRecord::Snapshot {
            state: config_state(),
        },
    ]
}

fn log_batch() -> LogBatch {
    let [change, _] = log_records();
    LogBatch {
        from: 3,
        oldest: 1,
        records: vec![
            StoredRecord {
                offset: 3,
                record: Some(change),
            },
            StoredRecord {
                offset: 4,
                record: None,
            },
        ],
        next: 5,
        end: 9,
    }
}

fn story() -> JobTimeline {
    let kinds = [
        StepKind::Admitted {
            tasks: 2,
            estimate_ms: 300,
        },
        StepKind::PermitGranted,
        StepKind::Dispatched {
            task: 1,
            target: "target-1".into(),
        },
        StepKind::NotStarted {
            task: 1,
            target: "target-1".into(),
            reason: format!("{:?}", DispatchRefusal::Full),
        },
        StepKind::Ended {
            task: 1,
            target: "target-1".into(),
            outcome: "ok".to_owned(),
        },
        StepKind::Answered {
            status: "complete".to_owned(),
        },
    ];
    let steps = (1..).zip(kinds).map(|(at_ms, what)| Step { at_ms, what });
    JobTimeline {
        team: "team-a".into(),
        steps: steps.collect(),
        left_out: 4,
    }
}

fn vm_records() -> Vec<VmRecord> {
    let record = |role, state, address: Option<&str>| VmRecord {
        name: "vm-1".into(),
        role,
        state,
        agent_address: address.map(str::to_owned),
    };
    vec![
        record(VmRole::Entry, VmState::Live, Some("10.0.0.1:7300")),
        record(VmRole::Target, VmState::Leaving, None),
    ]
}

fn step_spec() -> StepSpec {
    StepSpec {
        count: 3,
        size: SIZE,
        estimate: Duration::from_millis(250),
        after: vec![0],
        required_label: Some("label".to_owned()),
        preferred_rack: Some("rack-3".to_owned()),
        most_per_target: Some(2),
    }
}

fn counters() -> Counters {
    let mut counters = Counters {
        complete: 5,
        failed: 2,
        refused: 3,
        dispatched: 9,
        not_started: 1,
        wasted: 4,
        ..Counters::default()
    };
    counters.message("dispatch");
    counters
}

fn status() -> EntryStatus {
    let states = [
        TargetState::Live,
        TargetState::Leaving,
        TargetState::SetAside,
        TargetState::Unreachable,
    ];
    let target = |state| TargetStatus {
        name: "target-1".into(),
        hall: "hall-1".into(),
        state,
        slots: 8,
        credits: 2,
        in_flight: 3,
        slowness: 1.25,
    };
    EntryStatus {
        name: "entry-1".into(),
        incarnation: "00000000000000e1".to_owned(),
        draining: false,
        config: stamp(),
        newest_config: stamp(),
        config_current: true,
        placement: PlacementMode::SlotGrants,
        jobs: 2,
        waiting_tasks: 4,
        peers: vec!["entry-2".into()],
        targets: states.map(target).into(),
        counters: counters(),
    }
}

/// Each record that is stored or sent as JSON, by its label.
fn json_records() -> Vec<(&'static str, String)> {
    let whole = Document::parse("kept", &document()).expect("a document");
    let default = Document::parse("kept", "{}").expect("a document");
    let [change, snapshot] = log_records();
    let [entry, target] = vm_records().try_into().expect("two");
    vec![
        ("document", whole.canonical().expect("text")),
        ("document", default.canonical().expect("text")),
        ("log_record", json(&change)),
        ("log_record", json(&snapshot)),
        ("log_batch", json(&log_batch())),
        ("appended", json(&Appended { offset: 12 })),
        ("vm", json(&entry)),
        ("vm", json(&target)),
        (
            "target_start",
            json(&StartBody {
                run: "00000000000000a1-5".to_owned(),
                kind: "resize".to_owned(),
                payload: "a picture".to_owned(),
                lease_ms: 3_000,
            }),
        ),
        (
            "target_leases",
            json(&LeaseBody {
                runs: vec!["00000000000000a1-5".to_owned()],
                lease_ms: 3_000,
            }),
        ),
        (
            "target_stop",
            json(&StopBody {
                run: "00000000000000a1-5".to_owned(),
            }),
        ),
        ("story", json(&story())),
        ("status", json(&status())),
        ("halls", json(&*halls())),
        ("queues", json(&queue_table())),
        ("step", json(&step_spec())),
        ("task", json(&task())),
        ("task", json(&bare_task())),
        ("config_state", json(&config_state())),
    ]
}

#[test]
fn test_to_string_records() {
    let mut text = String::new();
    for (label, record) in json_records() {
        writeln!(text, "{label} = {record}").expect("a string");
    }
    insta::assert_snapshot!(text);
}

fn json_again<T: Serialize + DeserializeOwned>(text: &str) -> String {
    let value: T = serde_json::from_str(text).expect("kept text can be read");
    json(&value)
}

#[test]
fn test_from_str_kept_records() {
    let mut count = 0;
    for line in KEPT_RECORDS.lines() {
        let (label, text) = line.split_once(" = ").expect("label = text");
        let written = match label {
            "document" => {
                let document = Document::parse("kept", text).expect("kept text");
                document.canonical().expect("text")
            }
            "log_record" => json_again::<LogRecord>(text),
            "log_batch" => json_again::<LogBatch>(text),
            "appended" => json_again::<Appended>(text),
            "vm" => json_again::<VmRecord>(text),
            "target_start" => json_again::<StartBody>(text),
            "target_leases" => json_again::<LeaseBody>(text),
            "target_stop" => json_again::<StopBody>(text),
            "story" => json_again::<JobTimeline>(text),
            "status" => json_again::<EntryStatus>(text),
            "halls" => json_again::<EvacuatedHalls>(text),
            "queues" => json_again::<QueueTable>(text),
            "step" => json_again::<StepSpec>(text),
            "task" => json_again::<TaskSpec>(text),
            "config_state" => json_again::<ConfigState>(text),
            _ => panic!("{label} is no record"),
        };
        assert_eq!(written, text, "{label}");
        count += 1;
    }
    assert_eq!(count, json_records().len());
}

/// What becomes of a text with an unknown key, and without each of its keys or with a list in its
/// place.
fn key_errors(whole: &str, parse: impl Fn(&str) -> Result<(), String>) -> String {
    let whole: serde_json::Map<String, serde_json::Value> =
        serde_json::from_str(whole).expect("an object");
    let verdict = |keys: &serde_json::Map<String, serde_json::Value>| match parse(&json(keys)) {
        Ok(()) => "taken".to_owned(),
        Err(e) => e,
    };
    let mut text = format!("whole: {}\n", verdict(&whole));
    let mut unknown = whole.clone();
    unknown.insert("zzz".to_owned(), 1.into());
    writeln!(text, "unknown: {}", verdict(&unknown)).expect("a string");
    for key in whole.keys() {
        let mut less = whole.clone();
        less.remove(key);
        writeln!(text, "without {key}: {}", verdict(&less)).expect("a string");
        let mut other = whole.clone();
        other.insert(key.clone(), serde_json::json!([[]]));
        writeln!(text, "wrong {key}: {}", verdict(&other)).expect("a string");
    }
    text
}

fn settings_errors<T: Checked>(whole: &str) -> String {
    key_errors(whole, |text| {
        let parsed = settings::parse::<T>("file", text);
        parsed.map(|_| ()).map_err(|e| e.to_string())
    })
}

const ENTRY_SETTINGS: &str = r#"{
    "name": "entry-1", "hall": "hall-1", "caller_listen": "127.0.0.1:7100",
    "agent_listen": "127.0.0.1:7300", "operator_listen": "127.0.0.1:7200",
    "entries": ["127.0.0.1:7301"], "fleet_secret": "0123456789abcdef",
    "log_url": "http://127.0.0.1:7400", "vm_list_url": "http://127.0.0.1:7500",
    "http_workers": 3, "body_limit": 1000, "drain_limit_ms": 2000, "permit_life_ms": 3000,
    "snapshot_every_ms": 4000, "otlp_url": "http://127.0.0.1:7600"
}"#;

const AGENT_SETTINGS: &str = r#"{
    "name": "agent-1", "hall": "hall-1", "target_url": "http://127.0.0.1:7700", "slots": 8,
    "memory_mib": 4096, "accelerators": 2, "entries": ["127.0.0.1:7300"],
    "fleet_secret": "0123456789abcdef", "operator_listen": "127.0.0.1:7200",
    "drain_limit_ms": 2000, "otlp_url": "http://127.0.0.1:7600"
}"#;

#[test]
fn test_parse_keys_of_settings() {
    let entry = settings_errors::<EntrySettings>(ENTRY_SETTINGS);
    let agent = settings_errors::<AgentSettings>(AGENT_SETTINGS);
    insta::assert_snapshot!(format!("entry\n{entry}\nagent\n{agent}"));
}

#[test]
fn test_parse_values_of_settings() {
    fn show_entry(text: &str) -> String {
        let s: EntrySettings = settings::parse("file", text).expect("settings");
        let (name, hall, secret) = (s.name, s.hall, s.fleet_secret);
        let (caller, agent) = (s.caller_listen, s.agent_listen);
        let (operator, entries) = (s.operator_listen, s.entries);
        let (log, list, otlp) = (s.log_url, s.vm_list_url, s.otlp_url);
        let (workers, body) = (s.http_workers, s.body_limit);
        let (drain, permit) = (s.drain_limit_ms, s.permit_life_ms);
        let every = s.snapshot_every_ms;
        format!(
            "{name} {hall} {secret} caller={caller} agent={agent} operator={operator} \
             entries={entries:?} {log} {list} otlp={otlp:?} workers={workers} body={body} \
             drain={drain} permit={permit} snapshot={every}\n"
        )
    }
    fn show_agent(text: &str) -> String {
        let s: AgentSettings = settings::parse("file", text).expect("settings");
        let (name, hall, secret) = (s.name, s.hall, s.fleet_secret);
        let (target, operator) = (s.target_url, s.operator_listen);
        let (slots, memory, accelerators) = (s.slots, s.memory_mib, s.accelerators);
        let (entries, drain, otlp) = (s.entries, s.drain_limit_ms, s.otlp_url);
        format!(
            "{name} {hall} {secret} target={target} operator={operator} slots={slots} \
             memory={memory} accelerators={accelerators} entries={entries:?} drain={drain} \
             otlp={otlp:?}\n"
        )
    }
    /// The text without its keys that may be missing.
    fn least(text: &str, optional: &[&str]) -> String {
        let mut keys: serde_json::Map<String, serde_json::Value> =
            serde_json::from_str(text).expect("an object");
        keys.retain(|key, _| !optional.contains(&key.as_str()));
        json(&keys)
    }
    let entry = least(
        ENTRY_SETTINGS,
        &[
            "entries",
            "http_workers",
            "body_limit",
            "drain_limit_ms",
            "permit_life_ms",
            "snapshot_every_ms",
            "otlp_url",
        ],
    );
    let agent = least(
        AGENT_SETTINGS,
        &["accelerators", "drain_limit_ms", "otlp_url"],
    );
    let shown = [
        show_entry(ENTRY_SETTINGS),
        show_entry(&entry),
        show_agent(AGENT_SETTINGS),
        show_agent(&agent),
    ];
    insta::assert_snapshot!(shown.concat());
}

#[test]
fn test_parse_keys_of_document() {
    let document_errors = key_errors(&document(), |text| {
        let parsed = Document::parse("file", text);
        parsed.map(|_| ()).map_err(|e| e.to_string())
    });
    let team = |text: &str| {
        let text = format!("{{\"teams\":{{\"team-a\":{text}}}}}");
        let parsed = Document::parse("file", &text);
        parsed.map(|_| ()).map_err(|e| e.to_string())
    };
    let key = hash_key("team-a-key");
    let whole = format!("{{\"key_sha256\":\"{key}\",\"quota\":50}}");
    let team_errors = key_errors(&whole, team);
    insta::assert_snapshot!(format!("document\n{document_errors}\nteam\n{team_errors}"));
}

async fn read_answer(response: WebResponse) -> String {
    let status = response.status().as_u16();
    let mut headers: Vec<String> = Vec::new();
    for (name, value) in response.headers() {
        let value = value.to_str().expect("text");
        headers.push(format!("{name}: {value}"));
    }
    headers.sort_unstable();
    let headers = headers.join("; ");
    let body = web_test::read_body(response).await;
    let body = String::from_utf8_lossy(&body);
    format!("{status} [{headers}] {}\n", body.trim_end())
}

fn answer_page(response: HttpResponse) -> impl Future<Output = String> {
    let request = web_test::TestRequest::default().to_http_request();
    read_answer(WebResponse::new(response, request))
}

#[test]
fn test_response_for_answers() {
    run_system("test", async {
        let mut text = String::new();
        for answer in answers() {
            text += &answer_page(response_for(&answer, None)).await;
        }
        let complete = &answers()[0];
        text += &answer_page(response_for(complete, Some("a permit"))).await;
        insta::assert_snapshot!(format!("{NEXT_PERMIT}\n{text}"));
    });
}

#[test]
fn test_from_str_own_answers() {
    for answer in answers() {
        let text = json(&answer);
        assert_eq!(serde_json::from_str::<Answer>(&text).expect("own"), answer);
    }
}

/// A core that answers each question of the gateway; a job of entry 0 is unknown to it.
fn core_reply(event: &EntryEvent) -> Reply {
    match event {
        EntryEvent::Submit(submission) => {
            let tasks: Vec<Arc<str>> = submission.tasks.iter().map(|t| t.kind.clone()).collect();
            let detail = format!(
                "key={} deadline={} repeatable={} permit={:?}",
                submission.key_sha256,
                submission.deadline.as_millis(),
                submission.repeatable,
                submission.permit
            );
            let mut results = tasks;
            results.push(detail.into());
            Reply::Answer {
                answer: Answer::Complete {
                    job: job().to_string(),
                    results,
                },
                next_permit: Some("a permit".to_owned()),
            }
        }
        EntryEvent::Cancel(request) => Reply::Cancelled(request.job.entry != 0),
        EntryEvent::JobState(request) => {
            let progress = Progress {
                tasks: 6,
                waiting: 1,
                in_flight: 2,
                ended: 3,
            };
            Reply::Progress(Some(progress).filter(|_| request.job.entry != 0))
        }
        EntryEvent::MintPermits(request) => {
            let one = "a permit".to_owned();
            Reply::Permits(vec![one; request.count as usize])
        }
        EntryEvent::Status(_) => Reply::Status(Box::new(status())),
        EntryEvent::Explain { job, .. } => Reply::Story(Some(story()).filter(|_| job.entry != 0)),
        other => panic!("{other:?} is not asked"),
    }
}

const REQUESTS: &[(&str, &str, &str)] = &[
    (
        "POST",
        "/v1/jobs",
        r#"{"tasks":[{"kind":"resize","payload":"p","expected_ms":1,"memory_mib":2,"accelerators":3}],"deadline_ms":900,"repeatable":false,"permit":"p"}"#,
    ),
    ("POST", "/v1/jobs", r#"{"tasks":[{"kind":"resize"}]}"#),
    ("POST", "/v1/jobs", r#"{"tasks":[],"zzz":1}"#),
    ("POST", "/v1/jobs", r#"{"tasks":[{"kind":"a","zzz":1}]}"#),
    ("POST", "/v1/jobs", r#"{"tasks":[{}]}"#),
    ("POST", "/v1/jobs", "{}"),
    ("GET", "/v1/jobs/00000000000000e1-12", ""),
    ("GET", "/v1/jobs/0000000000000000-12", ""),
    ("GET", "/v1/jobs/zzz", ""),
    ("DELETE", "/v1/jobs/00000000000000e1-12", ""),
    ("DELETE", "/v1/jobs/0000000000000000-12", ""),
    ("POST", "/v1/permits", ""),
    ("POST", "/v1/permits?count=2", ""),
    ("POST", "/v1/permits?count=0", ""),
    ("GET", "/health", ""),
    ("GET", "/status", ""),
    ("GET", "/explain/00000000000000e1-12", ""),
    ("GET", "/explain/0000000000000000-12", ""),
];

#[test]
fn test_caller_routes_and_operator_routes() {
    run_system("test", async {
        let (asks, mut asked) = ring::<EntryInput>(64, Arc::new(TaskWaker::default()));
        let (reports, _reported) = ring::<TelemetryReport>(64, Arc::new(TaskWaker::default()));
        let rings = WorkerRings {
            worker: 0,
            asks,
            reports,
        };
        let gateway = Gateway::from_pool(&Arc::new(Mutex::new(vec![rings])));
        let parts = Telemetry::build("entry", None);
        let app = App::new()
            .state(gateway)
            .state(BodyLimit(4_096))
            .state(parts.page)
            .configure(caller_routes)
            .configure(operator_routes);
        let app = web_test::init_service(app).await;
        ntex::rt::spawn(async move {
            loop {
                while let Some(input) = asked.pop() {
                    let EntryInput::Ask(ask) = input else {
                        continue;
                    };
                    if let Some(awaited) = ask.reply {
                        let _ = awaited.reply.send(core_reply(&ask.event));
                    }
                }
                ntex::time::sleep(ntex::time::Millis(1)).await;
            }
        });
        let mut text = String::new();
        for &(method, path, body) in REQUESTS {
            let request = web_test::TestRequest::with_uri(path)
                .method(method.parse::<Method>().expect("a method"))
                .header("authorization", "Bearer team-a-key")
                .set_payload(body)
                .to_request();
            let response = web_test::call_service(&app, request).await;
            let answer = read_answer(response).await;
            write!(text, "{method} {path} {body}\n  {answer}").expect("a string");
        }
        insta::assert_snapshot!(text);
    });
}

/// What a page of metrics has, without the values.
fn names_of(page: &str) -> String {
    let mut names = Vec::new();
    // The exporter's own line names the program that runs the test.
    let lines = page.lines().filter(|l| !l.contains("target_info"));
    for line in lines {
        if line.starts_with('#') {
            names.push(line.to_owned());
        } else if let Some((name, _)) = line.rsplit_once(' ') {
            names.push(name.to_owned());
        }
    }
    names.join("\n")
}

#[test]
fn test_render_metrics_page() {
    let parts = Telemetry::build("entry", None);
    let (mut reports, reported) = ring(8, Arc::new(TaskWaker::default()));
    let levels = MetricLevels {
        counters: counters(),
        waiting: 1,
        in_flight: 2,
        slots: 3,
        config_version: 4,
        link_bytes: BTreeMap::from([("received", 5), ("sent", 6)]),
    };
    let measure = ResponseMeasurement {
        response: Duration::from_millis(300),
        ideal: Duration::from_millis(200),
    };
    for report in [
        TelemetryReport::Levels(Box::new(levels)),
        TelemetryReport::Measure(measure),
    ] {
        assert!(reports.push(report).is_ok());
    }
    drop(reports);
    let page = parts.page.clone();
    let (last, more) = ring::<TelemetryReport>(1, Arc::new(TaskWaker::default()));
    let running = std::thread::spawn(move || parts.telemetry.run(vec![reported, more]));
    let mut text = page.render();
    while !text.contains("_bucket") {
        std::thread::sleep(ms(5));
        text = page.render();
    }
    drop(last);
    running.join().expect("it ends");
    insta::assert_snapshot!(names_of(&text));
}

#[test]
fn test_render_figures() {
    let figures = NodeMetrics::new();
    figures.event(EventCode::BatchAdmitted);
    figures.answer(batch_event::Reply::Succeeded.kind());
    figures.record_response(Duration::from_millis(3));
    figures.record_call(Duration::from_millis(3));
    figures.set_gauge("batches", 3);
    figures.link_bytes(&BTreeMap::from([("starts", 7)]));
    insta::assert_snapshot!(names_of(&figures.render()));
}

/// A platform that never answers.
struct Mute;

impl TargetPort for Mute {
    fn start(&self, _: StartCall) -> LocalBoxFuture<'static, StartAnswer> {
        pending().boxed_local()
    }

    fn stop(&self, _: RunKey, _: u64, _: Option<Arc<str>>) -> LocalBoxFuture<'static, ()> {
        pending().boxed_local()
    }

    fn renew(&self, _: Renewal, _: Option<Arc<str>>) -> LocalBoxFuture<'static, RenewalAnswer> {
        pending().boxed_local()
    }
}

impl OperatorFeed for Mute {
    fn next(&self) -> LocalBoxFuture<'_, PortResult<OperatorRecords>> {
        pending().boxed_local()
    }

    fn newest(&self) -> LocalBoxFuture<'_, PortResult<OperatorRecords>> {
        pending().boxed_local()
    }
}

impl EntryRegistry for Mute {
    fn announce(&self, _: &str, _: SocketAddr) -> LocalBoxFuture<'_, PortResult<()>> {
        pending().boxed_local()
    }

    fn list(&self) -> LocalBoxFuture<'_, PortResult<Vec<SocketAddr>>> {
        pending().boxed_local()
    }
}

/// The levels of a page of metrics.
fn levels_of(page: &str) -> String {
    let names = names_of(page);
    let levels = names.lines().filter(|l| l.starts_with("trestleknot_level"));
    Vec::from_iter(levels).join("\n")
}

#[test]
fn test_metrics_levels_of_nodes() {
    run_system("test", async {
        let timings = Timings::new(PlatformBounds::default()).expect("usual bounds");
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let entry = EntryNode::start(
            batch_event::EntryOptions {
                name: "entry-1".into(),
                incarnation: 0xe1,
                hall: "hall-1".into(),
                address: listener.local_addr().expect("an address"),
                seeds: Vec::new(),
                seed: 1,
                timings,
                link_rate: None,
                processor_share: None,
                far_factor: None,
            },
            listener,
        );
        let mute = Rc::new(Mute);
        let agent = AgentNode::start(
            AgentOptions {
                name: "agent-1".into(),
                incarnation: 0xa1,
                hall: "hall-1".into(),
                timings,
                token: 1,
                seeds: Vec::new(),
                evacuation_bound: None,
            },
            mute.clone(),
            mute.clone(),
            mute,
        );
        let (entry, agent) = (levels_of(&entry.metrics()), levels_of(&agent.metrics()));
        insta::assert_snapshot!(format!("entry\n{entry}\nagent\n{agent}"));
    });
}

/// Texts by which tools find lines.
const MATCHED_TEXTS: [&str; 7] = [
    "batch admitted",
    "batch answered",
    "batch refused, nothing of it runs",
    "tasks sent to a target",
    "run over without success, its task waits again",
    "slow run stopped, to go on elsewhere",
    "run is far slower",
];

#[test]
fn test_catalogue_numbers() {
    let mut text = String::new();
    for info in CATALOGUE {
        let matched = MATCHED_TEXTS.iter().find(|t| info.text.starts_with(*t));
        let matched = matched.copied().unwrap_or_default();
        let (number, level, code) = (info.number, info.level, info.code);
        let line = format!("{number} {level} {code:?} {matched}");
        writeln!(text, "{}", line.trim_end()).expect("a string");
    }
    insta::assert_snapshot!(text);
}

fn unsupported() -> [Unsupported; 5] {
    [
        Unsupported::Kept,
        Unsupported::Gang,
        Unsupported::Persistent,
        Unsupported::Repeated,
        Unsupported::Advice,
    ]
}

fn batch_replies() -> Vec<batch_event::Reply> {
    use batch_event::{Refusal, Reply};
    let mut why = vec![
        Refusal::NoConfig,
        Refusal::Busy,
        Refusal::Draining,
        Refusal::Evacuated,
    ];
    why.extend(unsupported().map(Refusal::Unsupported));
    let refused = why.into_iter().map(|why| Reply::Refused {
        why,
        retry_after: Some(Duration::from_millis(200)),
    });
    let mut all = vec![
        Reply::Succeeded,
        Reply::Failed,
        Reply::Cancelled,
        Reply::GaveUp,
        Reply::NoQueue,
        Reply::NoBatch,
        Reply::Waiting,
        Reply::Running,
        Reply::Pending(3),
        Reply::Refused {
            why: Refusal::Busy,
            retry_after: None,
        },
    ];
    all.extend(refused);
    all
}

#[test]
fn test_fmt_values_in_logs() {
    let mut text = String::new();
    let mut add = |group: &str, value: &dyn Debug, kind: &str| {
        let line = format!("{group} {value:?} {kind}");
        writeln!(text, "{}", line.trim_end()).expect("a string");
    };
    for reply in batch_replies() {
        add("answer", &reply, reply.kind());
    }
    for reason in not_started().into_iter().chain([NotStarted::Replaced]) {
        add("not_started", &reason, "");
    }
    for end in run_ends() {
        add("end", &end, "");
    }
    for refusal in dispatch_refusals() {
        add("dispatch", &refusal, "");
    }
    for reason in refusals() {
        add("refusal", &reason, "");
    }
    for placement in placements() {
        add("placement", &placement, &placement.to_string());
        let read: Result<PlacementMode, _> = placement.to_string().parse();
        assert_eq!(read.ok(), Some(placement));
    }
    let (agent, health) = ("agent-1", HealthReport::default());
    writeln!(text, "agent={agent} health={health:?}").expect("a string");
    writeln!(text, "{:?}", FleetSecret::new(SECRET)).expect("a string");
    insta::assert_snapshot!(text);
}

#[test]
fn test_display_ids() {
    let life = |born| TargetIncarnation {
        name: "target-1".into(),
        born,
    };
    let task = run_key().task;
    assert_eq!(task.to_string().parse::<TaskKey>(), Ok(task));
    assert_eq!(job().to_string().parse::<JobId>(), Ok(job()));
    let trace: TraceContext = TRACE.parse().expect("a context");
    let shown = [
        job().to_string(),
        task.to_string(),
        run_key().to_string(),
        life(Some(77)).to_string(),
        life(None).to_string(),
        trace.to_string(),
        halls().names(),
    ];
    insta::assert_snapshot!(shown.join("\n"));
}

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

/// Keys of a log line's `key=value` words; what stands in brackets is a value.
fn keys_of(detail: &str) -> BTreeSet<&str> {
    let mut depth = 0_i32;
    let mut keys = BTreeSet::new();
    for word in detail.split(' ') {
        if depth == 0
            && let Some((key, _)) = word.split_once('=')
        {
            keys.insert(key);
        }
        let count = |of: [char; 3]| word.chars().filter(|c| of.contains(c)).count() as i32;
        depth += count(['(', '[', '{']) - count([')', ']', '}']);
    }
    keys
}

#[test]
fn test_run_until_keys_of_log_lines() {
    let (entry, agent) = (Node::Entry(0), Node::Agent(0));
    let slow = TargetImpairment {
        slowdown: 6.0,
        ..TargetImpairment::default()
    };
    let sheds = TargetImpairment {
        sheds: true,
        ..TargetImpairment::default()
    };
    let fails = TargetImpairment {
        fails: true,
        ..TargetImpairment::default()
    };
    let mute = TargetImpairment {
        is_mute: true,
        ..TargetImpairment::default()
    };
    let strikes = [
        FleetFault::Trouble(0, slow, ms(2_000)),
        FleetFault::Trouble(1, sheds, ms(1_500)),
        FleetFault::Trouble(1, fails, ms(2_000)),
        FleetFault::Trouble(0, mute, ms(2_000)),
        FleetFault::Drain(entry),
        FleetFault::Drain(agent),
        FleetFault::Kill(agent),
        FleetFault::Kill(entry),
        FleetFault::Freeze(agent, ms(2_500)),
        FleetFault::Suspend(entry, ms(2_500)),
        FleetFault::Cut(agent, ms(3_000)),
        FleetFault::Crash(2),
        FleetFault::Restart(2),
        FleetFault::Leave(3),
        FleetFault::LateOrders(0, ms(2_500)),
        FleetFault::LateReports(0, ms(2_500)),
        FleetFault::ForeignReports(0, ms(2_500)),
        FleetFault::Evacuate(1),
        FleetFault::GiveBack(1),
        FleetFault::StoreDown(ms(2_000)),
        FleetFault::Exit(2),
        // The second crash comes before all reports of the life that the first one began.
        FleetFault::LateReports(2, ms(2_500)),
        FleetFault::Crash(2),
        FleetFault::Crash(2),
    ];
    // Not every line is written with every seed.
    let logs = [7, 8, 9].map(|seed| {
        let mut fleet = RunFleet::new(seed);
        fleet.load(ms(500), ms(30_000), 40);
        for (index, strike) in (0..).zip(strikes) {
            fleet.inject(ms(1_500 + 1_300 * index), strike);
        }
        fleet.run_until(ms(36_000));
        fleet.log
    });
    let mut seen: BTreeMap<u16, BTreeSet<String>> = BTreeMap::new();
    for line in logs.iter().flatten() {
        let mut words = line.splitn(4, ' ');
        let code = words.nth(2).unwrap_or_default();
        let info = CATALOGUE
            .iter()
            .find(|info| format!("{:?}", info.code) == code);
        let Some(info) = info else {
            continue;
        };
        let keys = keys_of(words.next().unwrap_or_default());
        let keys = Vec::from_iter(keys).join(" ");
        seen.entry(info.number).or_default().insert(keys);
    }
    let mut text = String::new();
    for (number, sets) in seen {
        for keys in sets {
            writeln!(text, "{}", format!("{number} {keys}").trim_end()).expect("a string");
        }
    }
    insta::assert_snapshot!(text);
}

#[test]
fn test_steps_ranked_homes() {
    let mut text = String::new();
    for name in ["agent-1", "agent-2", "entry-1"] {
        let mut homes = PreferredEntries::new(name, PREFERRED_COUNT, ms(500));
        homes.learn(Now::ZERO, (1..=30).map(address));
        homes.learn(Now::ZERO, [six()]);
        let dialled = homes.steps(Now::ZERO, |_| false);
        let dialled: Vec<String> = dialled
            .iter()
            .map(|step| match step {
                LinkStep::Dial(address) => address.to_string(),
                other => panic!("{other:?} at the start"),
            })
            .collect();
        writeln!(text, "{name}: {}", dialled.join(" ")).expect("a string");
    }
    insta::assert_snapshot!(text);
}

/// A socket whose other side answers each message by a function.
struct Played<F> {
    incoming: VecDeque<Vec<u8>>,
    sent: Vec<Vec<u8>>,
    answer: F,
}

impl<F: FnMut(&[u8]) -> Option<Vec<u8>> + Unpin> Sink<Message> for Played<F> {
    type Error = WsError;

    fn poll_ready(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<(), WsError>> {
        Poll::Ready(Ok(()))
    }

    fn start_send(self: Pin<&mut Self>, item: Message) -> Result<(), WsError> {
        let this = self.get_mut();
        let bytes = item.into_data().to_vec();
        this.incoming.extend((this.answer)(&bytes));
        this.sent.push(bytes);
        Ok(())
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<(), WsError>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<(), WsError>> {
        Poll::Ready(Ok(()))
    }
}

impl<F: Unpin> Stream for Played<F> {
    type Item = Result<Message, WsError>;

    fn poll_next(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let next = self.get_mut().incoming.pop_front();
        Poll::Ready(next.map(|bytes| Ok(Message::Binary(bytes.into()))))
    }
}

#[test]
fn test_dial_proof() {
    let secret = FleetSecret::new(SECRET);
    let other = secret.clone();
    let mut socket = Played {
        incoming: VecDeque::from([vec![7; 16]]),
        sent: Vec::new(),
        answer: move |reply: &[u8]| Some(other.seal("accept", &reply[32..]).to_vec()),
    };
    let dialled = link_auth::dial(&mut socket, &secret).now_or_never();
    assert!(matches!(dialled, Some(Ok(()))));
    let [reply] = socket.sent.try_into().expect("one message");
    assert_eq!(reply.len(), 48);
    insta::assert_snapshot!(hex(&reply[..32]));
}

#[test]
fn test_accept_proof() {
    let secret = FleetSecret::new(SECRET);
    let other = secret.clone();
    let mut socket = Played {
        incoming: VecDeque::new(),
        sent: Vec::new(),
        answer: move |nonce: &[u8]| {
            let proof = [other.seal("dial", nonce).to_vec(), vec![9; 16]].concat();
            Some(proof).filter(|_| nonce.len() == 16)
        },
    };
    let accepted = link_auth::accept(&mut socket, &secret).now_or_never();
    assert!(matches!(accepted, Some(Ok(()))));
    let [nonce, proof] = socket.sent.try_into().expect("two messages");
    assert_eq!(nonce.len(), 16);
    insta::assert_snapshot!(hex(&proof));
}

#[test]
fn test_to_text_permit() {
    let secret = FleetSecret::new(SECRET);
    let permit = Permit {
        id: claim().permit,
        registrar: 0xa1,
        expires_ms: 90_000,
        team: "team-a".into(),
    };
    let text = permit.to_text(&secret);
    assert_eq!(Permit::from_text(&text, &secret), Ok(permit));
    insta::assert_snapshot!(text);
}

#[test]
fn test_digests_of_fixed_inputs() {
    let secret = FleetSecret::new(SECRET);
    let request = request_digest(&"team-a".into(), &[task(), bare_task()]);
    let stamp = stamp_of(7, &document());
    let shown = [
        format!("seal {}", hex(&secret.seal("permit", b"bytes"))),
        format!("request {request:016x}"),
        format!("config {} {:016x}", stamp.version, stamp.digest),
        format!("key {}", hash_key("team-a-key")),
        format!("protocol {PROTOCOL_VERSION}"),
    ];
    insta::assert_snapshot!(shown.join("\n"));
}
