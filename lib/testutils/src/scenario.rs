//! Scenarios for measurements: a load on an embedded fleet and a fault halfway through.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::Serialize;
use trestleknot_lib::counters::Counters;
use trestleknot_lib::job::Answer;
use trestleknot_lib::memory_target::{StartRecord, TargetFaults};
use trestleknot_lib::placement::PlacementMode;
use trestleknot_lib::status::EntryStatus;
use trestleknot_lib::vm_list::{VmRecord, VmRole, VmState};

use crate::caller::{self, Heard, JobRecord, PlannedJob};
use crate::central_queue;
use crate::embedded::{Fleet, FleetPlan, TeamPlan};
use crate::load::{Load, Shape};
use crate::summary::{Lag, Summary};

/// Number of entries.
pub const ENTRIES: usize = 3;
/// Number of targets.
pub const TARGETS: usize = 10;
/// Slots of each target.
pub const SLOTS: u32 = 8;
/// Longest wait until all processes have connected.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Index of the entry or target that a fault affects.
const FAULTY_INDEX: usize = 1;
/// Time after which callers of a cancellation wave give up.
const CANCEL_AFTER: Duration = Duration::from_millis(150);

/// The fault halfway through a scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScenarioFault {
    /// No fault.
    None,
    /// One target fails every task at once.
    FailingTarget,
    /// One target takes three times as long.
    SlowTarget,
    /// One target drains.
    LeavingTarget,
    /// Half of the callers disconnect shortly after submission.
    CancellationWave,
    EntryDies,
    /// A target dies with its agent.
    TargetDies,
}

#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Its name on the command line.
    pub name: &'static str,
    /// Load as a fraction of all slots.
    pub load: f64,
    /// Shape of the load.
    pub shape: Shape,
    pub fault: ScenarioFault,
    /// Quota of each team.
    pub quota: u32,
}

const NO_QUOTA: u32 = 1_000_000;

const fn steady(name: &'static str, load: f64) -> Scenario {
    Scenario {
        name,
        load,
        shape: Shape::Mixed,
        fault: ScenarioFault::None,
        quota: NO_QUOTA,
    }
}

const fn shaped(name: &'static str, shape: Shape) -> Scenario {
    Scenario {
        shape,
        ..steady(name, 0.6)
    }
}

const fn with_fault(name: &'static str, fault: ScenarioFault) -> Scenario {
    Scenario {
        fault,
        ..steady(name, 0.6)
    }
}

/// All scenarios.
pub const SCENARIOS: [Scenario; 16] = [
    steady("steady50", 0.5),
    steady("steady80", 0.8),
    steady("steady95", 0.95),
    shaped("bursts", Shape::Bursts),
    shaped("stragglers", Shape::Stragglers),
    shaped("wrong-declarations", Shape::WrongDeclarations),
    with_fault("failing-target", ScenarioFault::FailingTarget),
    with_fault("slow-target", ScenarioFault::SlowTarget),
    with_fault("leaving-target", ScenarioFault::LeavingTarget),
    with_fault("cancellation-wave", ScenarioFault::CancellationWave),
    with_fault("entry-dies", ScenarioFault::EntryDies),
    with_fault("target-dies", ScenarioFault::TargetDies),
    Scenario {
        quota: 20,
        ..steady("over-quota", 0.8)
    },
    steady("overload1", 1.0),
    steady("overload2", 2.0),
    steady("overload5", 5.0),
];

/// Results of a scenario with one placement mode.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// The placement mode.
    pub placement: PlacementMode,
    /// Counts and lag.
    pub summary: Summary,
    /// Counters summed over the entries that still ran at the end.
    pub counters: Counters,
    /// Wasted messages divided by all task messages.
    pub waste: f64,
    /// Number of refused requests although some of their tasks ran.
    pub false_refusals: usize,
    /// Average number of slots busy with jobs that completed in time.
    pub goodput_slots: f64,
    /// Median time to a refusal, in milliseconds.
    pub refusal_ms: f64,
    /// Lag of an ideal central queue with the same jobs.
    pub central: Lag,
    /// Median of response time minus ideal time over complete jobs, in milliseconds.
    pub overhead_ms: f64,
}

/// Runs a scenario once. Must not be called on an ntex system, because it starts one.
pub fn run(
    scenario: &Scenario,
    placement: PlacementMode,
    length: Duration,
    seed: u64,
) -> io::Result<Outcome> {
    let team = |name: &str| TeamPlan {
        name: name.to_owned(),
        key: format!("{name}-key"),
        quota: scenario.quota,
    };
    let plan = FleetPlan {
        entries: ENTRIES,
        targets: TARGETS,
        slots: SLOTS,
        halls: ["Nasr", "Maadi", "Giza"].map(str::to_owned).to_vec(),
        teams: vec![team("nile-crescent"), team("taquari")],
        placement: Some(placement),
        otlp_url: None,
    };
    let fleet = Fleet::start(plan)?;
    let slots = f64::from(SLOTS) * TARGETS as f64 * scenario.load;
    let load = Load {
        shape: scenario.shape,
        slots,
        length,
        keys: vec!["nile-crescent-key".to_owned(), "taquari-key".to_owned()],
        seed,
    };
    let jobs = with_cancellations(load.jobs(), scenario.fault, length);
    let fault = scenario.fault;
    let (fleet, records, counters) = block_on(drive(fleet, jobs, fault, length));
    let starts = fleet.starts.clone();
    fleet.stop();
    Ok(outcome(placement, &records, counters, &starts))
}

/// For a cancellation wave, makes every second caller in the second half give up early.
fn with_cancellations(
    mut jobs: Vec<PlannedJob>,
    fault: ScenarioFault,
    length: Duration,
) -> Vec<PlannedJob> {
    if fault == ScenarioFault::CancellationWave {
        let late = jobs.iter_mut().filter(|j| j.at >= length / 2);
        for job in late.step_by(2) {
            job.give_up_after = Some(CANCEL_AFTER);
        }
    }
    jobs
}

fn block_on<T: 'static>(future: impl Future<Output = T> + 'static) -> T {
    let result = Rc::new(RefCell::new(None));
    let shared = result.clone();
    trestleknot_lib::worker_threads::run_system("measure", async move {
        *shared.borrow_mut() = Some(future.await);
    });
    result.take().expect("the future has completed")
}

/// The fleet after the load, the jobs' records and the summed counters.
type Driven = (Fleet, Vec<JobRecord>, Counters);

async fn drive(
    fleet: Fleet,
    jobs: Vec<PlannedJob>,
    fault: ScenarioFault,
    length: Duration,
) -> Driven {
    settle(&fleet).await;
    let addresses = Rc::new(RefCell::new(fleet.caller_addresses()));
    let current = addresses.clone();
    let choose = Rc::new(move |index: usize| {
        let alive = current.borrow();
        alive[index % alive.len()]
    });
    let submitting = ntex::rt::spawn(caller::submit_all(jobs, choose));
    ntex::time::sleep(length / 2).await;
    let fleet = inject_fault(fleet, fault, &addresses);
    let records = submitting.await.unwrap_or_default();
    let mut counters = Counters::default();
    for status in statuses_of(&fleet).await {
        add(&mut counters, &status.counters);
    }
    (fleet, records, counters)
}

fn inject_fault(
    mut fleet: Fleet,
    fault: ScenarioFault,
    addresses: &RefCell<Vec<SocketAddr>>,
) -> Fleet {
    let target = &fleet.targets[FAULTY_INDEX];
    match fault {
        ScenarioFault::None | ScenarioFault::CancellationWave => {}
        ScenarioFault::FailingTarget => target.target.set_faults(TargetFaults {
            fail_all: true,
            ..TargetFaults::default()
        }),
        ScenarioFault::SlowTarget => target.target.set_faults(TargetFaults {
            slowdown: 3.0,
            ..TargetFaults::default()
        }),
        ScenarioFault::LeavingTarget => {
            fleet.vms.put(VmRecord {
                name: target.name.as_str().into(),
                role: VmRole::Target,
                state: VmState::Leaving,
                agent_address: None,
            });
            if let Some(agent) = &target.agent {
                agent.drain();
            }
        }
        ScenarioFault::EntryDies => {
            fleet.kill_entry(FAULTY_INDEX);
            *addresses.borrow_mut() = fleet.caller_addresses();
        }
        ScenarioFault::TargetDies => fleet.kill_target(FAULTY_INDEX),
    }
    fleet
}

/// Waits until every entry has all targets and the current configuration, up to a limit.
pub async fn settle(fleet: &Fleet) {
    let mut time_left = SETTLE_TIMEOUT;
    let pause = Duration::from_millis(50);
    while !time_left.is_zero() {
        let statuses = statuses_of(fleet).await;
        let is_settled = |s: &EntryStatus| s.targets.len() == TARGETS && s.config_current;
        if statuses.len() == ENTRIES && statuses.iter().all(is_settled) {
            return;
        }
        ntex::time::sleep(pause).await;
        time_left = time_left.saturating_sub(pause);
    }
}

/// Statuses of the running entries.
pub async fn statuses_of(fleet: &Fleet) -> Vec<EntryStatus> {
    let client = caller::new_client().await;
    let mut statuses = Vec::new();
    for address in fleet.operator_addresses() {
        let sent = client.get(format!("http://{address}/status")).send().await;
        if let Ok(response) = sent
            && let Ok(body) = response.body().await
            && let Ok(status) = serde_json::from_slice(&body)
        {
            statuses.push(status);
        }
    }
    statuses
}

fn add(sum: &mut Counters, other: &Counters) {
    sum.complete += other.complete;
    sum.failed += other.failed;
    sum.refused += other.refused;
    sum.dispatched += other.dispatched;
    sum.not_started += other.not_started;
    sum.wasted += other.wasted;
    for (kind, n) in &other.messages {
        *sum.messages.entry(kind.clone()).or_default() += n;
    }
}

fn outcome(
    placement: PlacementMode,
    records: &[JobRecord],
    counters: Counters,
    starts: &StartRecord,
) -> Outcome {
    let is_in_time = |r: &&JobRecord| {
        r.heard == Heard::Complete && r.response.as_millis() as u64 <= r.job.deadline_ms
    };
    let work: u64 = records
        .iter()
        .filter(is_in_time)
        .flat_map(|r| &r.job.run_ms)
        .sum();
    let last_answer = records.iter().map(|r| r.answered_at).max();
    let last_answer = last_answer.unwrap_or_default().as_secs_f64().max(1e-3);
    let waste = counters.wasted as f64 / counters.task_messages().max(1) as f64;
    Outcome {
        placement,
        summary: Summary::of(records, SLOTS * TARGETS as u32, starts),
        counters,
        waste,
        false_refusals: records.iter().filter(|r| is_false(r, starts)).count(),
        goodput_slots: work as f64 / 1e3 / last_answer,
        refusal_ms: median_refusal_ms(records),
        central: central_lag(records),
        overhead_ms: median_overhead_ms(records),
    }
}

fn central_lag(records: &[JobRecord]) -> Lag {
    let mut jobs: Vec<PlannedJob> = records.iter().map(|r| r.job.clone()).collect();
    jobs.sort_by_key(|j| j.at);
    let slots = SLOTS * TARGETS as u32;
    Lag::of(central_queue::records(&jobs, slots).iter(), slots)
}

fn median_overhead_ms(records: &[JobRecord]) -> f64 {
    let slots = SLOTS * TARGETS as u32;
    let complete = records.iter().filter(|r| r.heard == Heard::Complete);
    let overhead = complete.map(|r| r.response.saturating_sub(r.job.ideal(slots)));
    median_ms(overhead.collect())
}

fn median_ms(mut times: Vec<Duration>) -> f64 {
    times.sort_unstable();
    times
        .get(times.len() / 2)
        .map_or(0.0, |t| t.as_secs_f64() * 1e3)
}

/// Whether a request was refused although some of its tasks ran.
pub fn is_false(record: &JobRecord, starts: &StartRecord) -> bool {
    let refused = matches!(&record.heard, Heard::Refused(Answer::Refused { .. }));
    let mut ids = (0..record.job.run_ms.len()).map(|index| record.job.task_id(index));
    refused && ids.any(|id| starts.started(&id))
}

fn median_refusal_ms(records: &[JobRecord]) -> f64 {
    let refused = records
        .iter()
        .filter(|r| matches!(r.heard, Heard::Refused(_)));
    median_ms(refused.map(|r| r.response).collect())
}
