//! A randomized soak: the real programs as processes, with faults injected from outside them.
//!
//! `soak --seed N --for 20s` starts entries, agents and stand-ins on loopback addresses, sends
//! batches and injects a schedule of faults that the seed alone decides: processes killed, paused
//! and stopped in turn, the store down, slow or losing answers, targets that crash, fall silent or
//! lose orders, another writer that reports beside them, configurations in quick succession, callers that leave, and connections that
//! proxies delay, silence, cut one way and reset. It checks what callers and
//! targets saw and ends with a summary; the exit status is the verdict.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command, value_parser};
use platform::client::PlatformClient;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use testutils::fault_proxy::{FaultProxy, Harm};
use testutils::platform_stand_ins::Fault;
use testutils::process_fleet::{self, ProcessFleet, Signal};
use testutils::run_target::{RunRecord, TargetImpairment};
use testutils::target_reports::{Misheard, report_forever};
use trestleknot_lib::ids::Now;
use trestleknot_lib::run::{RunEnd, TaskKey};
use trestleknot_lib::worker_threads::run_system;

/// Entries and agents of a soak.
const ENTRIES: usize = 3;
const AGENTS: usize = 4;
/// Batches a second: half of what the targets carry.
const BATCHES_PER_SECOND: f64 = 12.0;
/// How long after a broken connection a caller comes again.
const COME_AGAIN: Duration = Duration::from_millis(1_300);
/// How often a caller comes again at the most.
const MOST_TRIES: u32 = 3;
/// Calm after the last fault, in which service must be back.
const CALM: Duration = Duration::from_secs(6);
/// Share of the batches of the calm's second half that must succeed.
const SERVED_AGAIN: f64 = 0.9;
/// How long after its leave was acknowledged work may still begin on a target.
const LEAVE_LIMIT: Duration = Duration::from_secs(2);
/// From a target's leave until its next life.
const LEAVES_FOR: Duration = Duration::from_millis(4_000);
/// Tasks that a target holds at a time.
const ROOM: i64 = 8;

/// A fault and what it hits.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Strike {
    /// A process is killed and started again after the pause.
    Kill(usize, Duration),
    /// A process stands still.
    Pause(usize, Duration),
    /// A process is told to stop, and started again once it has.
    Stop(usize),
    /// A process is told to read its settings again.
    Hangup(usize),
    /// The store goes wrong.
    Store(Fault, Duration),
    /// A target crashes; every second one comes back under its name.
    Crash(usize),
    /// A target says that it leaves; its next life comes a while later.
    Leave(usize),
    /// A target has room for so many tasks only, and says so with its next report.
    Resize(usize, u64, Duration),
    /// A target is in trouble.
    Target(usize, TargetImpairment, Duration),
    /// Orders to a target go wrong.
    Orders(usize, Fault, Duration),
    /// Configurations in quick succession.
    Configs(u32),
    /// A proxy harms what passes.
    Harm(Path, Harm, Duration),
    /// A proxy resets its connections.
    Reset(Path),
}

/// Which proxy.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Path {
    /// From a process to the store.
    Store(usize),
    /// From an agent to its target.
    Target(usize),
    /// From callers to an entry.
    Callers(usize),
}

fn random_path(rng: &mut ChaCha8Rng) -> Path {
    match rng.random_range(0..4) {
        0 => Path::Store(rng.random_range(0..ENTRIES + AGENTS)),
        1 => Path::Callers(rng.random_range(0..ENTRIES)),
        _ => Path::Target(rng.random_range(0..AGENTS)),
    }
}

fn random_harm(rng: &mut ChaCha8Rng) -> Harm {
    let delay = Duration::from_millis(rng.random_range(5..400));
    let harms = [
        Harm::Delay(delay),
        Harm::SilentThere,
        Harm::SilentBack,
        Harm::Silent,
    ];
    harms[rng.random_range(0..harms.len())]
}

fn random_strike(rng: &mut ChaCha8Rng) -> Strike {
    let process = rng.random_range(0..ENTRIES + AGENTS);
    let target = rng.random_range(0..AGENTS);
    let pause = Duration::from_millis(rng.random_range(200..2_500));
    let trouble = TargetImpairment::default();
    match rng.random_range(0..17) {
        0 | 1 => Strike::Kill(process, pause / 2),
        2 | 3 => Strike::Pause(process, pause),
        4 => Strike::Stop(process),
        5 => Strike::Hangup(process),
        6 => {
            let faults = [Fault::Silent, Fault::Status(503), Fault::LostAnswer];
            Strike::Store(faults[rng.random_range(0..3)], pause)
        }
        7 => Strike::Crash(target),
        8 => Strike::Target(
            target,
            TargetImpairment {
                fails: true,
                ..trouble
            },
            pause,
        ),
        9 => Strike::Target(
            target,
            TargetImpairment {
                slowdown: 8.0,
                ..trouble
            },
            pause,
        ),
        10 => {
            let faults = [Fault::Silent, Fault::LostAnswer, Fault::Status(503)];
            Strike::Orders(target, faults[rng.random_range(0..3)], pause)
        }
        11 => Strike::Configs(rng.random_range(2..8)),
        12 | 13 => Strike::Reset(random_path(rng)),
        _ => Strike::Harm(random_path(rng), random_harm(rng), pause),
    }
}

/// Leaves of a seed, about one in five seconds. They have draws of their own.
fn leaves(seed: u64, length: Duration) -> Vec<(Duration, Strike)> {
    let mut rng = ChaCha8Rng::seed_from_u64(!seed);
    let mut at = Duration::from_millis(rng.random_range(1_500..3_500));
    let mut leaves = Vec::new();
    while at + CALM < length {
        leaves.push((at, Strike::Leave(rng.random_range(0..AGENTS))));
        at += Duration::from_millis(rng.random_range(4_000..6_000));
    }
    leaves
}

/// Targets of a seed that lose room for a while, about one in four seconds. They have draws of their
/// own.
fn resizes(seed: u64, length: Duration) -> Vec<(Duration, Strike)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(32));
    let mut at = Duration::from_millis(rng.random_range(1_500..4_000));
    let mut resizes = Vec::new();
    while at + CALM < length {
        let target = rng.random_range(0..AGENTS);
        let pause = Duration::from_millis(rng.random_range(3_500..5_000));
        let tasks = rng.random_range(0..ROOM as u64);
        resizes.push((at, Strike::Resize(target, tasks, pause)));
        at += Duration::from_millis(rng.random_range(3_000..5_000));
    }
    resizes
}

/// The schedule of a seed: when each fault strikes.
fn schedule(seed: u64, length: Duration) -> Vec<(Duration, Strike)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at = Duration::from_millis(1_500);
    let mut strikes = Vec::new();
    while at + CALM < length {
        strikes.push((at, random_strike(&mut rng)));
        at += Duration::from_millis(rng.random_range(200..1_800));
    }
    strikes.extend(leaves(seed, length));
    strikes.extend(resizes(seed, length));
    strikes.sort_by_key(|(at, _)| *at);
    strikes
}

/// What became of a batch.
#[derive(Debug, Clone, Default)]
struct Outcome {
    sent: Duration,
    tasks: u32,
    tries: u32,
    /// Whether its caller leaves before its work can be done.
    is_hopeless: bool,
    answers: Vec<(u16, String)>,
}

impl Outcome {
    fn succeeded(&self) -> bool {
        self.answers
            .iter()
            .any(|(s, b)| *s == 200 && b.contains("succeeded"))
    }
}

type Outcomes = Rc<RefCell<BTreeMap<u64, Outcome>>>;

async fn call(clients: Rc<Vec<PlatformClient>>, id: u64, seed: u64, outcomes: Outcomes) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ id);
    let tasks = rng.random_range(1..=5);
    let work_ms = [40, 150, 600][rng.random_range(0..3)];
    // One caller in ten leaves long before its batch can be done.
    let patience = if rng.random_bool(0.1) {
        work_ms / 2
    } else {
        4_000
    };
    for _ in 0..MOST_TRIES {
        let client = &clients[rng.random_range(0..clients.len())];
        if let Some(outcome) = outcomes.borrow_mut().get_mut(&id) {
            outcome.tasks = tasks;
            outcome.is_hopeless = patience < work_ms;
            outcome.tries += 1;
        }
        let limit = Duration::from_millis(patience);
        let answer = process_fleet::submit(client, id, tasks, work_ms, limit).await;
        let comes_again = !matches!(&answer, Some((status, _)) if *status != 502 && *status != 504);
        if let (Some(answer), Some(outcome)) = (answer, outcomes.borrow_mut().get_mut(&id)) {
            outcome.answers.push(answer);
        }
        if !comes_again {
            return;
        }
        ntex::time::sleep(COME_AGAIN).await;
    }
}

fn strike(fleet: &mut ProcessFleet, strike: Strike, later: &mut Vec<(Instant, Later)>) {
    let now = Instant::now();
    match strike {
        Strike::Kill(index, pause) => {
            fleet.signal(index, Signal::Kill);
            later.push((now + pause, Later::Start(index)));
        }
        Strike::Pause(index, pause) => {
            fleet.signal(index, Signal::Stop);
            later.push((now + pause, Later::Continue(index)));
        }
        Strike::Stop(index) => {
            fleet.signal(index, Signal::Continue);
            fleet.signal(index, Signal::Term);
            later.push((now + Duration::from_secs(6), Later::Start(index)));
        }
        Strike::Hangup(index) => fleet.signal(index, Signal::Hangup),
        Strike::Store(fault, pause) => {
            fleet.store.set_fault(fault);
            later.push((now + pause, Later::StoreGood));
        }
        Strike::Crash(index) => begin_next_life(fleet, index),
        Strike::Leave(index) => {
            fleet.targets[index].target().leave();
            later.push((now + LEAVES_FOR, Later::NextLife(index)));
        }
        Strike::Resize(index, tasks, pause) => {
            fleet.targets[index].target().capacity =
                process_fleet::TASK.times(tasks).plus(process_fleet::MEMORY);
            later.push((now + pause, Later::FullSize(index)));
        }
        Strike::Target(index, trouble, pause) => {
            fleet.targets[index].target().trouble = trouble;
            later.push((now + pause, Later::TargetGood(index)));
        }
        Strike::Orders(index, fault, pause) => {
            fleet.targets[index].set_fault(fault);
            later.push((now + pause, Later::OrdersGood(index)));
        }
        Strike::Configs(count) => (0..count).for_each(|_| fleet.publish()),
        Strike::Harm(path, harm, pause) => {
            proxy_of(fleet, path).set_harm(harm);
            later.push((now + pause, Later::ProxyGood(path)));
        }
        Strike::Reset(path) => proxy_of(fleet, path).reset(),
    }
}

/// Half of the targets come back under their names.
fn begin_next_life(fleet: &ProcessFleet, index: usize) {
    let at = fleet.targets[index].now();
    let mut target = fleet.targets[index].target();
    if index.is_multiple_of(2) {
        target.crash(at);
    } else {
        target.restart(at);
    }
}

fn proxy_of(fleet: &ProcessFleet, path: Path) -> &FaultProxy {
    match path {
        Path::Store(index) => &fleet.store_proxies[index],
        Path::Target(index) => &fleet.target_proxies[index],
        Path::Callers(index) => &fleet.caller_proxies[index],
    }
}

/// What ends a fault.
#[derive(Debug, Clone, Copy)]
enum Later {
    Start(usize),
    Continue(usize),
    StoreGood,
    TargetGood(usize),
    OrdersGood(usize),
    ProxyGood(Path),
    NextLife(usize),
    FullSize(usize),
}

fn end_fault(fleet: &mut ProcessFleet, later: Later) {
    match later {
        Later::Start(index) => {
            // A process that was paused meanwhile, or still runs, is ended first.
            fleet.signal(index, Signal::Kill);
            fleet.await_end(index, Duration::from_secs(1));
            if let Err(e) = fleet.start_process(index) {
                println!("process {index} does not start: {e}");
            }
        }
        Later::Continue(index) => fleet.signal(index, Signal::Continue),
        Later::NextLife(index) => begin_next_life(fleet, index),
        Later::FullSize(index) => {
            fleet.targets[index].target().capacity = process_fleet::CAPACITY;
        }
        Later::StoreGood => fleet.store.set_fault(Fault::None),
        Later::TargetGood(index) => {
            fleet.targets[index].target().trouble = TargetImpairment::default();
        }
        Later::OrdersGood(index) => fleet.targets[index].set_fault(Fault::None),
        Later::ProxyGood(path) => proxy_of(fleet, path).set_harm(Harm::None),
    }
}

/// Broken promises, in words.
fn check(
    records: &[RunRecord],
    outcomes: &BTreeMap<u64, Outcome>,
    length: Duration,
) -> Vec<String> {
    let mut broken = Vec::new();
    let mut by_task: BTreeMap<TaskKey, Vec<&RunRecord>> = BTreeMap::new();
    for record in records {
        by_task.entry(record.key.task).or_default().push(record);
        if !outcomes.contains_key(&record.key.task.batch) {
            broken.push(format!("{} was never sent", record.key));
        }
        if record.after_leave.is_some_and(|after| after > LEAVE_LIMIT) {
            broken.push(format!("began on a target that leaves: {record:?}"));
        }
    }
    for (task, runs) in &mut by_task {
        runs.sort_by_key(|r| r.from);
        for pair in runs.windows(2) {
            if pair[1].from < pair[0].to.unwrap_or(Now::MAX) {
                broken.push(format!("{task} ran twice at once: {pair:?}"));
            }
        }
    }
    check_room(records, &mut broken);
    for (id, outcome) in outcomes {
        let runs = |index: u32| {
            let runs = by_task
                .iter()
                .filter(move |(task, _)| task.batch == *id && u32::from(task.index) == index);
            runs.flat_map(|(_, runs)| runs.iter())
        };
        let is_done = |index| runs(index).any(|r| r.end == Some(RunEnd::Done));
        if outcome.succeeded() && !(0..outcome.tasks).all(is_done) {
            broken.push(format!("{id:016x} succeeded with a task not done"));
        }
        let all_refused = outcome.answers.len() as u32 == outcome.tries
            && outcome.answers.iter().all(|(status, _)| *status == 503);
        if all_refused && runs(0).next().is_some() {
            broken.push(format!("{id:016x} was refused, yet it ran"));
        }
    }
    if records.iter().any(|r| r.to.is_none()) {
        broken.push("runs are left over at the end".to_owned());
    }
    let late = outcomes
        .values()
        .filter(|o| o.sent + CALM / 2 > length && o.answers.len() == 1 && !o.is_hopeless);
    let late: Vec<&Outcome> = late.collect();
    let good = late.iter().filter(|o| o.succeeded()).count();
    if (good as f64) < late.len() as f64 * SERVED_AGAIN {
        broken.push(format!(
            "only {good} of {} served after the calm began",
            late.len()
        ));
    }
    broken
}

fn check_room(records: &[RunRecord], broken: &mut Vec<String>) {
    let mut by_target: BTreeMap<&str, Vec<(Now, i64, i64)>> = BTreeMap::new();
    for record in records {
        // An order that was carried out late was given for the room of before.
        let room = if record.is_late {
            ROOM
        } else {
            process_fleet::TASK.times_in(record.room) as i64
        };
        let changes = by_target.entry(&record.target).or_default();
        changes.push((record.from, 1, room));
        changes.push((record.to.unwrap_or(Now::MAX), -1, i64::MAX));
    }
    for (target, mut changes) in by_target {
        changes.sort();
        let mut running = 0;
        for (at, change, room) in changes {
            running += change;
            if running > room {
                broken.push(format!("{target} holds {running} of {room} at {at:?}"));
                break;
            }
        }
    }
}

struct Soak {
    fleet: ProcessFleet,
    seed: u64,
    length: Duration,
    outcomes: Outcomes,
}

impl Soak {
    async fn run(mut self) -> Vec<String> {
        let misheard = Misheard::default();
        let (targets, agents) = (self.fleet.targets.clone(), self.fleet.agent_addresses());
        ntex::rt::spawn(report_forever(targets, agents, misheard.clone()));
        let entries: Vec<_> = (0..ENTRIES).map(|i| self.fleet.entry_address(i)).collect();
        if !process_fleet::await_ready(&entries, Duration::from_secs(10)).await {
            return vec!["the fleet did not become ready".to_owned()];
        }
        let mut clients = Vec::new();
        for index in 0..ENTRIES {
            let address = self.fleet.caller_address(index);
            clients.push(PlatformClient::new(&address.to_string()).await);
        }
        let (clients, begun) = (Rc::new(clients), Instant::now());
        let calling = Rc::new(Cell::new(true));
        ntex::rt::spawn({
            let (outcomes, calling) = (self.outcomes.clone(), calling.clone());
            let seed = self.seed;
            async move {
                let mut rng = ChaCha8Rng::seed_from_u64(seed);
                while calling.get() {
                    let id = rng.random();
                    let sent = begun.elapsed();
                    let outcome = Outcome {
                        sent,
                        ..Outcome::default()
                    };
                    outcomes.borrow_mut().insert(id, outcome);
                    ntex::rt::spawn(call(clients.clone(), id, seed, outcomes.clone()));
                    let pause = rng.random_range(0.5..1.5) / BATCHES_PER_SECOND;
                    ntex::time::sleep(Duration::from_secs_f64(pause)).await;
                }
            }
        });
        self.play(begun).await;
        calling.set(false);
        // Callers that wait hear or give up.
        ntex::time::sleep(Duration::from_millis(4_500)).await;
        let mut records = Vec::new();
        for target in &self.fleet.targets {
            records.extend(target.target().records.clone());
        }
        let outcomes = self.outcomes.borrow();
        let good = outcomes.values().filter(|o| o.succeeded()).count();
        println!(
            "seed {}: {} batches, {good} succeeded, {} runs",
            self.seed,
            outcomes.len(),
            records.len()
        );
        let mut broken = check(&records, &outcomes, self.length);
        if misheard.get() > 0 {
            let count = misheard.get();
            broken.push(format!(
                "{count} reports that can't be read were acknowledged"
            ));
        }
        broken
    }

    async fn play(&mut self, begun: Instant) {
        let strikes = schedule(self.seed, self.length);
        let mut strikes = strikes.into_iter().peekable();
        let mut later: Vec<(Instant, Later)> = Vec::new();
        while begun.elapsed() < self.length {
            while let Some((at, next)) = strikes.next_if(|(at, _)| *at <= begun.elapsed()) {
                println!("{:7.3} s  {next:?}", at.as_secs_f64());
                strike(&mut self.fleet, next, &mut later);
            }
            let now = Instant::now();
            let (due, kept) = later.into_iter().partition(|(at, _)| *at <= now);
            later = kept;
            for (_, ended) in due {
                end_fault(&mut self.fleet, ended);
            }
            ntex::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

fn command() -> Command {
    Command::new("soak")
        .about("Runs the real programs under random faults and checks their promises")
        .arg(
            Arg::new("seed")
                .long("seed")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Seed of the first soak; it alone decides the schedule of faults"),
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("How many soaks to run, one seed after the other"),
        )
        .arg(
            Arg::new("for")
                .long("for")
                .default_value("20s")
                .help("How long each runs, such as 60s; the last 6 s are calm"),
        )
        .arg(
            Arg::new("network")
                .long("network")
                .default_value("90")
                .value_parser(value_parser!(u8))
                .help("Loopback network 127.N, to run several at once"),
        )
        .arg(
            Arg::new("program")
                .long("program")
                .value_parser(value_parser!(PathBuf))
                .help("The trestleknot program [default: beside this one]"),
        )
        .arg(
            Arg::new("folder")
                .long("folder")
                .default_value("target/soak")
                .value_parser(value_parser!(PathBuf))
                .help("Where settings files and logs are left"),
        )
}

/// A length such as `60s`.
fn length_of(args: &ArgMatches) -> Option<Duration> {
    let text = args.get_one::<String>("for")?;
    let seconds = text.strip_suffix('s').unwrap_or(text).parse().ok()?;
    let length = Duration::from_secs(seconds);
    (length > CALM).then_some(length)
}

fn program_of(args: &ArgMatches) -> PathBuf {
    let beside = || {
        let own = std::env::current_exe().unwrap_or_default();
        own.with_file_name("trestleknot")
    };
    args.get_one::<PathBuf>("program")
        .cloned()
        .unwrap_or_else(beside)
}

fn main() -> ExitCode {
    let args = command().get_matches();
    let Some(length) = length_of(&args) else {
        eprintln!("error: --for: expected seconds, more than 6, such as 60s");
        return ExitCode::from(2);
    };
    let first = *args.get_one::<u64>("seed").expect("has a default");
    let seeds = *args.get_one::<u64>("seeds").expect("has a default");
    let network = *args.get_one::<u8>("network").expect("has a default");
    let folder = args.get_one::<PathBuf>("folder").expect("has a default");
    let program = program_of(&args);
    let mut failed = Vec::new();
    for seed in first..first + seeds {
        let folder = folder.join(format!("seed-{seed}"));
        let _ = std::fs::remove_dir_all(&folder);
        let fleet = match ProcessFleet::start(&program, &folder, network, ENTRIES, AGENTS) {
            Ok(fleet) => fleet,
            Err(e) => {
                eprintln!("error: {}: {e}", program.display());
                return ExitCode::from(2);
            }
        };
        let soak = Soak {
            fleet,
            seed,
            length,
            outcomes: Outcomes::default(),
        };
        let broken = Rc::new(RefCell::new(Vec::new()));
        let found = broken.clone();
        run_system("soak", async move {
            found.replace(soak.run().await);
        });
        for line in broken.borrow().iter() {
            println!("BROKEN, seed {seed}: {line}");
        }
        if !broken.borrow().is_empty() {
            failed.push(seed);
        }
    }
    println!("{seeds} seeds, broken: {failed:?}");
    if failed.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
