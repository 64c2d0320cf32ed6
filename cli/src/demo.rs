//! The command `demo`, which runs a fleet on stand-ins in one process, submits jobs and kills an
//! entry and a target half-way.

use std::cell::RefCell;
use std::io::{IsTerminal as _, Write as _};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use clap::ArgMatches;
use snafu::ResultExt as _;
use testutils::caller::{self, JobRecord};
use testutils::embedded::{Fleet, FleetPlan, TeamPlan};
use testutils::load::{Load, Shape};
use testutils::scenario::{self, ENTRIES, SLOTS, TARGETS};
use testutils::summary::Summary;
use trestleknot_lib::clock::BootInstant;
use trestleknot_lib::status::EntryStatus;

use crate::client::block_on;
use crate::error::{CliResult, SystemSnafu};

/// Fraction of the slots that the load keeps busy.
const UTILIZATION: f64 = 0.6;
/// How often the status line is drawn.
const REDRAW_INTERVAL: Duration = Duration::from_millis(500);
/// Index of the entry that is killed half-way.
const KILLED_ENTRY: usize = 2;
/// Index of the target that is killed half-way.
const KILLED_TARGET: usize = 7;

fn fleet_plan() -> FleetPlan {
    let team = |name: &str| TeamPlan {
        name: name.to_owned(),
        key: format!("{name}-key"),
        quota: 4_000,
    };
    FleetPlan {
        entries: ENTRIES,
        targets: TARGETS,
        slots: SLOTS,
        halls: ["Nasr", "Maadi", "Giza"].map(str::to_owned).to_vec(),
        teams: vec![team("nile-crescent"), team("taquari")],
        placement: None,
        otlp_url: None,
    }
}

/// Runs the demo. Exits with 0 only if no checked invariant is violated.
pub fn run(args: &ArgMatches) -> CliResult<ExitCode> {
    let seconds = *args.get_one::<u64>("seconds").expect("has a default");
    let seed = *args.get_one::<u64>("seed").expect("has a default");
    let length = Duration::from_secs(seconds);
    let fleet = Fleet::start(fleet_plan()).context(SystemSnafu { what: "starting" })?;
    println!("{ENTRIES} entries, {TARGETS} targets of {SLOTS} slots in 3 data halls");
    let (fleet, records, statuses) = block_on(run_load(fleet, length, seed));
    let slots = fleet.slots();
    let starts = fleet.starts.clone();
    let stop = fleet.stop();
    let summary = Summary::of(&records, slots, &starts);
    print_summary(&summary, &statuses, stop.took);
    let violations = violated_invariants(&records, &summary, &starts);
    for invariant in &violations {
        println!("VIOLATED: {invariant}");
    }
    Ok(if violations.is_empty() {
        println!("all checked invariants held");
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// The fleet after the load, the callers' records and the entries' statuses.
type DemoRun = (Fleet, Vec<JobRecord>, Vec<EntryStatus>);

async fn run_load(fleet: Fleet, length: Duration, seed: u64) -> DemoRun {
    let started_at = BootInstant::now();
    scenario::settle(&fleet).await;
    println!(
        "every target connected after {} ms",
        started_at.elapsed().as_millis()
    );
    let load = Load {
        shape: Shape::Mixed,
        slots: f64::from(SLOTS) * TARGETS as f64 * UTILIZATION,
        length,
        keys: vec!["nile-crescent-key".to_owned(), "taquari-key".to_owned()],
        seed,
    };
    let addresses = Rc::new(RefCell::new(fleet.caller_addresses()));
    let live_addresses = addresses.clone();
    // Acts as the load balancer: distributes callers round-robin over the live entries.
    let pick_address = Rc::new(move |index: usize| {
        let live = live_addresses.borrow();
        live[index % live.len()]
    });
    let submitting = ntex::rt::spawn(caller::submit_all(load.jobs(), pick_address));
    let fleet = kill_half_way(fleet, length, &addresses).await;
    let records = submitting.await.unwrap_or_default();
    let statuses = scenario::statuses_of(&fleet).await;
    (fleet, records, statuses)
}

/// Draws the status line and kills an entry and a target half-way.
async fn kill_half_way(
    mut fleet: Fleet,
    length: Duration,
    addresses: &Rc<RefCell<Vec<std::net::SocketAddr>>>,
) -> Fleet {
    let started_at = BootInstant::now();
    let mut has_killed = false;
    while started_at.elapsed() < length {
        ntex::time::sleep(REDRAW_INTERVAL).await;
        if !has_killed && started_at.elapsed() >= length / 2 {
            has_killed = true;
            println!("\nkilling entry-{KILLED_ENTRY} and target-{KILLED_TARGET}");
            fleet.kill_entry(KILLED_ENTRY);
            fleet.kill_target(KILLED_TARGET);
            *addresses.borrow_mut() = fleet.caller_addresses();
        }
        draw_status(started_at.elapsed(), &scenario::statuses_of(&fleet).await);
    }
    println!();
    fleet
}

fn draw_status(at: Duration, statuses: &[EntryStatus]) {
    let sum = |f: fn(&EntryStatus) -> u64| statuses.iter().map(f).sum::<u64>();
    let line = format!(
        "{:>5.1} s  entries {}  jobs held {:>3}  waiting {:>4}  complete {:>5}  failed {:>3}  refused {:>3}",
        at.as_secs_f64(),
        statuses.len(),
        sum(|s| u64::from(s.jobs)),
        sum(|s| u64::from(s.waiting_tasks)),
        sum(|s| s.counters.complete),
        sum(|s| s.counters.failed),
        sum(|s| s.counters.refused),
    );
    let mut out = std::io::stdout();
    let ended = if out.is_terminal() {
        write!(out, "\r{line}").and_then(|()| out.flush())
    } else {
        writeln!(out, "{line}")
    };
    // The demo continues if the output is closed because the exit code still tells the result.
    drop(ended);
}

fn print_summary(summary: &Summary, statuses: &[EntryStatus], stop: Duration) {
    println!("\n{summary}");
    let wasted: u64 = statuses.iter().map(|s| s.counters.wasted).sum();
    let total: u64 = statuses.iter().map(|s| s.counters.task_messages()).sum();
    let percent = 100.0 * wasted as f64 / total.max(1) as f64;
    println!("wasted messages       {wasted} of {total} ({percent:.2}%)");
    println!("planned stop took     {} ms", stop.as_millis());
}

/// Returns the invariants that the callers' and targets' records show to be violated.
fn violated_invariants(
    records: &[JobRecord],
    summary: &Summary,
    starts: &trestleknot_lib::memory_target::StartRecord,
) -> Vec<String> {
    let mut violations = Vec::new();
    let mut check = |held: bool, invariant: &str| {
        if !held {
            violations.push(invariant.to_owned());
        }
    };
    check(summary.started_twice == 0, "no task starts twice");
    check(
        summary.wrong == 0,
        "every answer is complete and belongs to its caller",
    );
    let false_refusals = records.iter().filter(|r| scenario::is_false(r, starts));
    check(
        false_refusals.count() == 0,
        "no refusal falsely states that nothing ran",
    );
    check(summary.complete > 0, "jobs complete");
    let unanswered = summary.nothing as f64 / summary.jobs.max(1) as f64;
    check(
        unanswered < 0.1,
        "less than a tenth of the jobs get no answer",
    );
    violations
}
