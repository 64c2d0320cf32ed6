//! The whole path in one process: real daemons on stand-ins, real jobs, and failures half-way.

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

/// Part of the slots that the load keeps busy.
const LOAD: f64 = 0.6;
/// How often the live table is drawn.
const DRAW_EVERY: Duration = Duration::from_millis(500);
/// Entry that is killed half-way.
const KILLED_ENTRY: usize = 2;
/// Target that is killed half-way.
const KILLED_TARGET: usize = 7;

fn plan() -> FleetPlan {
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

/// Runs the demo. Exit code 0 only if every promise that it can check held.
pub fn run(args: &ArgMatches) -> CliResult<ExitCode> {
    let seconds = *args.get_one::<u64>("seconds").expect("has a default");
    let seed = *args.get_one::<u64>("seed").expect("has a default");
    let length = Duration::from_secs(seconds);
    let fleet = Fleet::start(plan()).context(SystemSnafu { what: "starting" })?;
    println!("{ENTRIES} entries, {TARGETS} targets of {SLOTS} slots in 3 data halls");
    let (fleet, records, statuses) = block_on(drive(fleet, length, seed));
    let slots = fleet.slots();
    let starts = fleet.starts.clone();
    let stop = fleet.stop();
    let summary = Summary::of(&records, slots, &starts);
    print_summary(&summary, &statuses, stop.took);
    let broken = broken_promises(&records, &summary, &starts);
    for promise in &broken {
        println!("BROKEN: {promise}");
    }
    Ok(if broken.is_empty() {
        println!("every promise that this demo can check held");
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// The fleet after the load, what callers heard, and what its entries say of themselves.
type Driven = (Fleet, Vec<JobRecord>, Vec<EntryStatus>);

async fn drive(fleet: Fleet, length: Duration, seed: u64) -> Driven {
    let began = BootInstant::now();
    scenario::settle(&fleet).await;
    println!(
        "every target connected after {} ms",
        began.elapsed().as_millis()
    );
    let load = Load {
        shape: Shape::Mixed,
        slots: f64::from(SLOTS) * TARGETS as f64 * LOAD,
        length,
        keys: vec!["nile-crescent-key".to_owned(), "taquari-key".to_owned()],
        seed,
    };
    let addresses = Rc::new(RefCell::new(fleet.caller_addresses()));
    let chosen = addresses.clone();
    // The balancer: callers in turn to the entries that it knows to be there.
    let choose = Rc::new(move |index: usize| {
        let live = chosen.borrow();
        live[index % live.len()]
    });
    let submitting = ntex::rt::spawn(caller::submit_all(load.jobs(), choose));
    let fleet = break_things(fleet, length, &addresses).await;
    let records = submitting.await.unwrap_or_default();
    let statuses = scenario::statuses_of(&fleet).await;
    (fleet, records, statuses)
}

/// Draws the live table and kills an entry and a target half-way.
async fn break_things(
    mut fleet: Fleet,
    length: Duration,
    addresses: &Rc<RefCell<Vec<std::net::SocketAddr>>>,
) -> Fleet {
    let began = BootInstant::now();
    let mut broken = false;
    while began.elapsed() < length {
        ntex::time::sleep(DRAW_EVERY).await;
        if !broken && began.elapsed() >= length / 2 {
            broken = true;
            println!("\nkilling entry-{KILLED_ENTRY} and target-{KILLED_TARGET}");
            fleet.kill_entry(KILLED_ENTRY);
            fleet.kill_target(KILLED_TARGET);
            *addresses.borrow_mut() = fleet.caller_addresses();
        }
        draw(began.elapsed(), &scenario::statuses_of(&fleet).await);
    }
    println!();
    fleet
}

fn draw(at: Duration, statuses: &[EntryStatus]) {
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
    // A closed output does not stop the demo; its exit code still tells.
    drop(ended);
}

fn print_summary(summary: &Summary, statuses: &[EntryStatus], stop: Duration) {
    println!("\n{summary}");
    let wasted: u64 = statuses.iter().map(|s| s.counters.wasted).sum();
    let all: u64 = statuses.iter().map(|s| s.counters.task_messages()).sum();
    let part = 100.0 * wasted as f64 / all.max(1) as f64;
    println!("wasted messages       {wasted} of {all} ({part:.2}%)");
    println!("planned stop took     {} ms", stop.as_millis());
}

/// Checks what can be seen from outside.
fn broken_promises(
    records: &[JobRecord],
    summary: &Summary,
    starts: &trestleknot_lib::memory_target::StartRecord,
) -> Vec<String> {
    let mut broken = Vec::new();
    let mut check = |held: bool, promise: &str| {
        if !held {
            broken.push(promise.to_owned());
        }
    };
    check(summary.started_twice == 0, "no task starts twice");
    check(
        summary.wrong == 0,
        "an answer is whole and the caller's own",
    );
    let false_refusals = records.iter().filter(|r| scenario::is_false(r, starts));
    check(
        false_refusals.count() == 0,
        "a refusal says truly that nothing ran",
    );
    check(summary.complete > 0, "jobs complete");
    let cut = summary.nothing as f64 / summary.jobs.max(1) as f64;
    check(cut < 0.1, "only callers of the killed entry are cut off");
    broken
}
