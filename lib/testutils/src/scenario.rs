//! Scenarios to measure: a load on an embedded fleet, and what goes wrong meanwhile.

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

/// Entries of a measured fleet.
pub const ENTRIES: usize = 3;
/// Targets of a measured fleet.
pub const TARGETS: usize = 10;
/// Slots of each target.
pub const SLOTS: u32 = 8;
/// How long the fleet has to find itself.
const SETTLE_LIMIT: Duration = Duration::from_secs(10);
/// The entry or target that something happens to.
const STRUCK: usize = 1;
/// How long callers of a cancellation wave wait.
const WAVE_PATIENCE: Duration = Duration::from_millis(150);

/// What goes wrong half-way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// One target fails everything at once.
    FailingTarget,
    /// One target takes three times as long.
    SlowTarget,
    /// One target leaves in order.
    LeavingTarget,
    /// Half of the callers go away after a moment.
    CancellationWave,
    /// An entry dies.
    EntryDies,
    /// A target dies with its agent.
    TargetDies,
}

/// A scenario.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Its name on the command line.
    pub name: &'static str,
    /// Part of the slots that the load would keep busy.
    pub load: f64,
    /// Shape of the load.
    pub shape: Shape,
    /// What goes wrong.
    pub trouble: Trouble,
    /// Quota of each team.
    pub quota: u32,
}

const NO_QUOTA: u32 = 1_000_000;

const fn steady(name: &'static str, load: f64) -> Scenario {
    Scenario {
        name,
        load,
        shape: Shape::Mixed,
        trouble: Trouble::None,
        quota: NO_QUOTA,
    }
}

const fn shaped(name: &'static str, shape: Shape) -> Scenario {
    Scenario {
        shape,
        ..steady(name, 0.6)
    }
}

const fn troubled(name: &'static str, trouble: Trouble) -> Scenario {
    Scenario {
        trouble,
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
    troubled("failing-target", Trouble::FailingTarget),
    troubled("slow-target", Trouble::SlowTarget),
    troubled("leaving-target", Trouble::LeavingTarget),
    troubled("cancellation-wave", Trouble::CancellationWave),
    troubled("entry-dies", Trouble::EntryDies),
    troubled("target-dies", Trouble::TargetDies),
    Scenario {
        quota: 20,
        ..steady("over-quota", 0.8)
    },
    steady("overload1", 1.0),
    steady("overload2", 2.0),
    steady("overload5", 5.0),
];

/// What came of a scenario under one placement.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// The placement.
    pub placement: PlacementMode,
    /// Counts and lag.
    pub summary: Summary,
    /// Messages by kind over all entries that still ran at the end.
    pub counters: Counters,
    /// Wasted messages over all messages that serve tasks.
    pub waste: f64,
    /// Refusals of requests of which something ran: broken promises.
    pub false_refusals: usize,
    /// Work of complete jobs that were in time, in slots kept busy on average.
    pub goodput_slots: f64,
    /// Median time to a refusal, in milliseconds.
    pub refusal_ms: f64,
    /// Lag of a central queue that knows everything at once, for the same jobs.
    pub central: Lag,
    /// Median response less ideal of the complete jobs, in milliseconds.
    pub overhead_ms: f64,
}

/// Runs a scenario once. Must not run on an ntex system, for it starts one.
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
    let jobs = with_wave(load.jobs(), scenario.trouble, length);
    let trouble = scenario.trouble;
    let (fleet, records, counters) = block_on(drive(fleet, jobs, trouble, length));
    let starts = fleet.starts.clone();
    fleet.stop();
    Ok(outcome(placement, &records, counters, &starts))
}

/// Makes half of the callers in the second half go away.
fn with_wave(mut jobs: Vec<PlannedJob>, trouble: Trouble, length: Duration) -> Vec<PlannedJob> {
    if trouble == Trouble::CancellationWave {
        let late = jobs.iter_mut().filter(|j| j.at >= length / 2);
        for job in late.step_by(2) {
            job.give_up_after = Some(WAVE_PATIENCE);
        }
    }
    jobs
}

fn block_on<T: 'static>(future: impl Future<Output = T> + 'static) -> T {
    let slot = Rc::new(RefCell::new(None));
    let result = slot.clone();
    trestleknot_lib::worker_threads::run_system("measure", async move {
        *result.borrow_mut() = Some(future.await);
    });
    slot.take().expect("the future has run to its end")
}

type Driven = (Fleet, Vec<JobRecord>, Counters);

async fn drive(fleet: Fleet, jobs: Vec<PlannedJob>, trouble: Trouble, length: Duration) -> Driven {
    settle(&fleet).await;
    let addresses = Rc::new(RefCell::new(fleet.caller_addresses()));
    let chosen = addresses.clone();
    let choose = Rc::new(move |index: usize| {
        let live = chosen.borrow();
        live[index % live.len()]
    });
    let submitting = ntex::rt::spawn(caller::submit_all(jobs, choose));
    ntex::time::sleep(length / 2).await;
    let fleet = strike(fleet, trouble, &addresses);
    let records = submitting.await.unwrap_or_default();
    let mut counters = Counters::default();
    for status in statuses_of(&fleet).await {
        add(&mut counters, &status.counters);
    }
    (fleet, records, counters)
}

fn strike(mut fleet: Fleet, trouble: Trouble, addresses: &RefCell<Vec<SocketAddr>>) -> Fleet {
    let target = &fleet.targets[STRUCK];
    match trouble {
        Trouble::None | Trouble::CancellationWave => {}
        Trouble::FailingTarget => target.target.set_faults(TargetFaults {
            fail_all: true,
            ..TargetFaults::default()
        }),
        Trouble::SlowTarget => target.target.set_faults(TargetFaults {
            slowdown: 3.0,
            ..TargetFaults::default()
        }),
        Trouble::LeavingTarget => {
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
        Trouble::EntryDies => {
            fleet.kill_entry(STRUCK);
            *addresses.borrow_mut() = fleet.caller_addresses();
        }
        Trouble::TargetDies => fleet.kill_target(STRUCK),
    }
    fleet
}

/// Waits until every entry has every target.
pub async fn settle(fleet: &Fleet) {
    let mut left = SETTLE_LIMIT;
    let pause = Duration::from_millis(50);
    while !left.is_zero() {
        let statuses = statuses_of(fleet).await;
        let whole = |s: &EntryStatus| s.targets.len() == TARGETS && s.config_current;
        if statuses.len() == ENTRIES && statuses.iter().all(whole) {
            return;
        }
        ntex::time::sleep(pause).await;
        left = left.saturating_sub(pause);
    }
}

/// The statuses of the entries that run.
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

fn add(sum: &mut Counters, more: &Counters) {
    sum.complete += more.complete;
    sum.failed += more.failed;
    sum.refused += more.refused;
    sum.dispatched += more.dispatched;
    sum.not_started += more.not_started;
    sum.wasted += more.wasted;
    for (kind, n) in &more.messages {
        *sum.messages.entry(kind.clone()).or_default() += n;
    }
}

fn outcome(
    placement: PlacementMode,
    records: &[JobRecord],
    counters: Counters,
    starts: &StartRecord,
) -> Outcome {
    let in_time = |r: &&JobRecord| {
        r.heard == Heard::Complete && r.response.as_millis() as u64 <= r.job.deadline_ms
    };
    let work: u64 = records
        .iter()
        .filter(in_time)
        .flat_map(|r| &r.job.run_ms)
        .sum();
    let last = records.iter().map(|r| r.answered_at).max();
    let last = last.unwrap_or_default().as_secs_f64().max(1e-3);
    let waste = counters.wasted as f64 / counters.task_messages().max(1) as f64;
    Outcome {
        placement,
        summary: Summary::of(records, SLOTS * TARGETS as u32, starts),
        counters,
        waste,
        false_refusals: records.iter().filter(|r| is_false(r, starts)).count(),
        goodput_slots: work as f64 / 1e3 / last,
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

/// Whether a refusal is untrue: something of the request ran.
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
