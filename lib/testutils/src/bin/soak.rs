//! A randomized soak test: the real programs as processes, with faults injected from outside.
//!
//! `soak --seed N --for 20s` starts entries, agents and stand-ins on loopback addresses, submits
//! batches and injects a schedule of faults that depends on the seed only. The faults cover
//! processes (killed, paused, stopped), the store, targets, orders to targets, configurations in
//! quick succession and connections through proxies. Throughout the soak, some callers disconnect
//! early and another writer sends target reports of its own. The soak then checks the records of
//! callers and targets and prints a summary. The exit status is nonzero if a check failed.

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
use testutils::fault_proxy::{FaultProxy, ProxyFault};
use testutils::platform_stand_ins::Fault;
use testutils::process_fleet::{self, ProcessFleet, Signal};
use testutils::run_target::{RunRecord, TargetImpairment};
use testutils::target_reports::{Misheard, report_forever};
use trestleknot_lib::ids::Now;
use trestleknot_lib::resources::Resources;
use trestleknot_lib::run::{RunEnd, TaskKey};
use trestleknot_lib::worker_threads::run_system;

/// Numbers of entries and agents.
const ENTRIES: usize = 3;
const AGENTS: usize = 4;
/// Batches per second, half of the targets' capacity.
const BATCHES_PER_SECOND: f64 = 12.0;
/// Delay before a caller submits again after a broken connection.
const RESUBMIT_DELAY: Duration = Duration::from_millis(1_300);
/// Largest number of submissions of a batch.
const MAX_SUBMISSIONS: u32 = 3;
/// Period without new faults at the end, in which service must recover.
const CALM_PERIOD: Duration = Duration::from_secs(6);
/// Minimum share of successful batches in the second half of the calm period.
const MIN_SUCCESS_SHARE: f64 = 0.9;
/// Time after the acknowledgement of a target's leave in which runs may still start there.
const LEAVE_LIMIT: Duration = Duration::from_secs(2);
/// Time from a target's leave until its next incarnation.
const LEAVE_TO_RESTART: Duration = Duration::from_millis(4_000);
/// Time from the first report of a restarted target until it has its full capacity.
const SMALL_FOR: Duration = Duration::from_millis(2_000);
/// Tasks that a target can run at a time.
const TASKS_PER_TARGET: i64 = 8;

/// A fault and the component that it affects.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Injection {
    /// A process is killed, and started again after the pause.
    Kill(usize, Duration),
    /// A process is suspended for the duration.
    Pause(usize, Duration),
    /// A process is told to stop, and is started again after six seconds.
    Stop(usize),
    /// A process is told to reload its settings.
    Hangup(usize),
    /// The store fails for the duration.
    Store(Fault, Duration),
    /// A target crashes. Targets with an odd index restart under the same name.
    Crash(usize),
    /// A target restarts under its name with a capacity of this number of tasks, takes calls at once and
    /// reports after the duration.
    Restart(usize, u64, Duration),
    /// All processes are killed, and started again after the pause.
    KillAll(Duration),
    /// A target announces that it leaves, and is replaced by its next incarnation.
    Leave(usize),
    /// A target's capacity drops to this number of tasks for the duration.
    Resize(usize, u64, Duration),
    /// A target is impaired for the duration.
    Target(usize, TargetImpairment, Duration),
    /// Orders to a target fail for the duration.
    Orders(usize, Fault, Duration),
    /// This number of configurations is published in quick succession.
    Configs(u32),
    /// A proxy applies a fault to its connections for the duration.
    Harm(Path, ProxyFault, Duration),
    /// A proxy resets its connections.
    Reset(Path),
}

/// Connections that a proxy carries.
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

fn random_proxy_fault(rng: &mut ChaCha8Rng) -> ProxyFault {
    let delay = Duration::from_millis(rng.random_range(5..400));
    let faults = [
        ProxyFault::Delay(delay),
        ProxyFault::SilentThere,
        ProxyFault::SilentBack,
        ProxyFault::Silent,
    ];
    faults[rng.random_range(0..faults.len())]
}

fn random_injection(rng: &mut ChaCha8Rng) -> Injection {
    let process = rng.random_range(0..ENTRIES + AGENTS);
    let target = rng.random_range(0..AGENTS);
    let pause = Duration::from_millis(rng.random_range(200..2_500));
    let trouble = TargetImpairment::default();
    match rng.random_range(0..17) {
        0 | 1 => Injection::Kill(process, pause / 2),
        2 | 3 => Injection::Pause(process, pause),
        4 => Injection::Stop(process),
        5 => Injection::Hangup(process),
        6 => {
            let faults = [Fault::Silent, Fault::Status(503), Fault::LostAnswer];
            Injection::Store(faults[rng.random_range(0..3)], pause)
        }
        7 => Injection::Crash(target),
        8 => Injection::Target(
            target,
            TargetImpairment {
                fails: true,
                ..trouble
            },
            pause,
        ),
        9 => Injection::Target(
            target,
            TargetImpairment {
                slowdown: 8.0,
                ..trouble
            },
            pause,
        ),
        10 => {
            let faults = [Fault::Silent, Fault::LostAnswer, Fault::Status(503)];
            Injection::Orders(target, faults[rng.random_range(0..3)], pause)
        }
        11 => Injection::Configs(rng.random_range(2..8)),
        12 | 13 => Injection::Reset(random_path(rng)),
        _ => Injection::Harm(random_path(rng), random_proxy_fault(rng), pause),
    }
}

/// Leaves of targets, about every five seconds, from a separate random stream.
fn leaves(seed: u64, length: Duration) -> Vec<(Duration, Injection)> {
    let mut rng = ChaCha8Rng::seed_from_u64(!seed);
    let mut at = Duration::from_millis(rng.random_range(1_500..3_500));
    let mut leaves = Vec::new();
    while at + CALM_PERIOD < length {
        leaves.push((at, Injection::Leave(rng.random_range(0..AGENTS))));
        at += Duration::from_millis(rng.random_range(4_000..6_000));
    }
    leaves
}

/// Temporary capacity drops of targets, about every four seconds, from a separate random stream.
fn capacity_drops(seed: u64, length: Duration) -> Vec<(Duration, Injection)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(32));
    let mut at = Duration::from_millis(rng.random_range(1_500..4_000));
    let mut capacity_drops = Vec::new();
    while at + CALM_PERIOD < length {
        let target = rng.random_range(0..AGENTS);
        let pause = Duration::from_millis(rng.random_range(3_500..5_000));
        let tasks = rng.random_range(0..TASKS_PER_TARGET as u64);
        capacity_drops.push((at, Injection::Resize(target, tasks, pause)));
        at += Duration::from_millis(rng.random_range(3_000..5_000));
    }
    capacity_drops
}

/// Restarts of targets before their first report, about every four seconds, half of them before the end of
/// all processes; from a separate random stream.
fn restarts(seed: u64, length: Duration) -> Vec<(Duration, Injection)> {
    let mut rng = ChaCha8Rng::seed_from_u64(!seed.rotate_left(32));
    let mut at = Duration::from_millis(rng.random_range(1_500..3_500));
    let mut restarts = Vec::new();
    while at + CALM_PERIOD < length {
        let target = rng.random_range(0..AGENTS);
        let tasks = rng.random_range(2..=TASKS_PER_TARGET as u64);
        let unreported = Duration::from_millis(rng.random_range(0..1_500));
        restarts.push((at, Injection::Restart(target, tasks, unreported)));
        let killed_at = at + Duration::from_millis(rng.random_range(500..4_000));
        if rng.random_bool(0.5) && killed_at + CALM_PERIOD < length {
            let pause = Duration::from_millis(rng.random_range(300..1_500));
            restarts.push((killed_at, Injection::KillAll(pause)));
        }
        at += Duration::from_millis(rng.random_range(3_000..5_000));
    }
    restarts
}

/// The schedule of a seed: the faults with their injection times, in order.
fn schedule(seed: u64, length: Duration) -> Vec<(Duration, Injection)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at = Duration::from_millis(1_500);
    let mut injections = Vec::new();
    while at + CALM_PERIOD < length {
        injections.push((at, random_injection(&mut rng)));
        at += Duration::from_millis(rng.random_range(200..1_800));
    }
    injections.extend(leaves(seed, length));
    injections.extend(capacity_drops(seed, length));
    injections.extend(restarts(seed, length));
    injections.sort_by_key(|(at, _)| *at);
    injections
}

/// Outcome of a batch as its caller saw it.
#[derive(Debug, Clone, Default)]
struct Outcome {
    sent: Duration,
    tasks: u32,
    tries: u32,
    /// Whether the caller disconnects before the batch can complete.
    leaves_early: bool,
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

async fn submit_with_retries(
    clients: Rc<Vec<PlatformClient>>,
    id: u64,
    seed: u64,
    outcomes: Outcomes,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ id);
    let tasks = rng.random_range(1..=5);
    let work_ms = [40, 150, 600][rng.random_range(0..3)];
    // One caller in ten disconnects before its batch can complete.
    let timeout_ms = if rng.random_bool(0.1) {
        work_ms / 2
    } else {
        4_000
    };
    for _ in 0..MAX_SUBMISSIONS {
        let client = &clients[rng.random_range(0..clients.len())];
        if let Some(outcome) = outcomes.borrow_mut().get_mut(&id) {
            outcome.tasks = tasks;
            outcome.leaves_early = timeout_ms < work_ms;
            outcome.tries += 1;
        }
        let limit = Duration::from_millis(timeout_ms);
        let answer = process_fleet::submit(client, id, tasks, work_ms, limit).await;
        let retries = !matches!(&answer, Some((status, _)) if *status != 502 && *status != 504);
        if let (Some(answer), Some(outcome)) = (answer, outcomes.borrow_mut().get_mut(&id)) {
            outcome.answers.push(answer);
        }
        if !retries {
            return;
        }
        ntex::time::sleep(RESUBMIT_DELAY).await;
    }
}

fn inject(
    fleet: &mut ProcessFleet,
    injection: Injection,
    recoveries: &mut Vec<(Instant, Recovery)>,
) {
    let now = Instant::now();
    match injection {
        Injection::Kill(index, pause) => {
            fleet.signal(index, Signal::Kill);
            recoveries.push((now + pause, Recovery::Start(index)));
        }
        Injection::Pause(index, pause) => {
            fleet.signal(index, Signal::Stop);
            recoveries.push((now + pause, Recovery::Continue(index)));
        }
        Injection::Stop(index) => {
            fleet.signal(index, Signal::Continue);
            fleet.signal(index, Signal::Term);
            recoveries.push((now + Duration::from_secs(6), Recovery::Start(index)));
        }
        Injection::Hangup(index) => fleet.signal(index, Signal::Hangup),
        Injection::Store(fault, pause) => {
            fleet.store.set_fault(fault);
            recoveries.push((now + pause, Recovery::StoreHealthy));
        }
        Injection::Crash(index) => begin_next_incarnation(fleet, index),
        Injection::Restart(index, tasks, unreported) => {
            let capacity = capacity_for(tasks);
            fleet.targets[index].restart_unreported(capacity, unreported);
            let full_again_at = now + unreported + SMALL_FOR;
            recoveries.push((full_again_at, Recovery::FullCapacity(index)));
        }
        Injection::KillAll(pause) => {
            for index in 0..ENTRIES + AGENTS {
                fleet.signal(index, Signal::Kill);
                recoveries.push((now + pause, Recovery::Start(index)));
            }
        }
        Injection::Leave(index) => {
            fleet.targets[index].target().leave();
            recoveries.push((now + LEAVE_TO_RESTART, Recovery::NextIncarnation(index)));
        }
        Injection::Resize(index, tasks, pause) => {
            fleet.targets[index].target().capacity = capacity_for(tasks);
            recoveries.push((now + pause, Recovery::FullCapacity(index)));
        }
        Injection::Target(index, trouble, pause) => {
            fleet.targets[index].target().trouble = trouble;
            recoveries.push((now + pause, Recovery::TargetHealthy(index)));
        }
        Injection::Orders(index, fault, pause) => {
            fleet.targets[index].set_fault(fault);
            recoveries.push((now + pause, Recovery::OrdersHealthy(index)));
        }
        Injection::Configs(count) => (0..count).for_each(|_| fleet.publish()),
        Injection::Harm(path, fault, pause) => {
            proxy_of(fleet, path).set_fault(fault);
            recoveries.push((now + pause, Recovery::ProxyHealthy(path)));
        }
        Injection::Reset(path) => proxy_of(fleet, path).reset(),
    }
}

fn capacity_for(tasks: u64) -> Resources {
    let tasks = process_fleet::TASK_SIZE.times(tasks);
    tasks.plus(process_fleet::TARGET_MEMORY)
}

/// Starts the next incarnation of a target, under the same name if its index is odd.
fn begin_next_incarnation(fleet: &ProcessFleet, index: usize) {
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

/// Step that ends a fault.
#[derive(Debug, Clone, Copy)]
enum Recovery {
    Start(usize),
    Continue(usize),
    StoreHealthy,
    TargetHealthy(usize),
    OrdersHealthy(usize),
    ProxyHealthy(Path),
    NextIncarnation(usize),
    FullCapacity(usize),
}

fn end_fault(fleet: &mut ProcessFleet, recovery: Recovery) {
    match recovery {
        Recovery::Start(index) => {
            // Ends a process that is still running or was suspended in the meantime.
            fleet.signal(index, Signal::Kill);
            fleet.await_end(index, Duration::from_secs(1));
            if let Err(e) = fleet.start_process(index) {
                println!("process {index} does not start: {e}");
            }
        }
        Recovery::Continue(index) => fleet.signal(index, Signal::Continue),
        Recovery::NextIncarnation(index) => begin_next_incarnation(fleet, index),
        Recovery::FullCapacity(index) => {
            fleet.targets[index].target().capacity = process_fleet::TARGET_CAPACITY;
        }
        Recovery::StoreHealthy => fleet.store.set_fault(Fault::None),
        Recovery::TargetHealthy(index) => {
            fleet.targets[index].target().trouble = TargetImpairment::default();
        }
        Recovery::OrdersHealthy(index) => fleet.targets[index].set_fault(Fault::None),
        Recovery::ProxyHealthy(path) => proxy_of(fleet, path).set_fault(ProxyFault::None),
    }
}

/// Checks the records of callers and targets, and returns a line for each violation.
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
    check_capacity(records, &mut broken);
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
    let calm_batches = outcomes
        .values()
        .filter(|o| o.sent + CALM_PERIOD / 2 > length && o.answers.len() == 1 && !o.leaves_early);
    let calm_batches: Vec<&Outcome> = calm_batches.collect();
    let good = calm_batches.iter().filter(|o| o.succeeded()).count();
    if (good as f64) < calm_batches.len() as f64 * MIN_SUCCESS_SHARE {
        broken.push(format!(
            "only {good} of {} served after the calm began",
            calm_batches.len()
        ));
    }
    broken
}

/// Checks that no target ran more tasks than it had capacity for.
fn check_capacity(records: &[RunRecord], broken: &mut Vec<String>) {
    let mut by_target: BTreeMap<&str, Vec<(Now, i64, i64)>> = BTreeMap::new();
    for record in records {
        // A delayed order may have been sent before the capacity dropped.
        let capacity = if record.is_late {
            TASKS_PER_TARGET
        } else {
            process_fleet::TASK_SIZE.fit_count(record.room) as i64
        };
        let changes = by_target.entry(&record.target).or_default();
        changes.push((record.from, 1, capacity));
        changes.push((record.to.unwrap_or(Now::MAX), -1, i64::MAX));
    }
    for (target, mut changes) in by_target {
        changes.sort();
        let mut running = 0;
        for (at, change, capacity) in changes {
            running += change;
            if running > capacity {
                broken.push(format!("{target} holds {running} of {capacity} at {at:?}"));
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
        let accepted_unreadable = Misheard::default();
        let (targets, agents) = (self.fleet.targets.clone(), self.fleet.agent_addresses());
        ntex::rt::spawn(report_forever(targets, agents, accepted_unreadable.clone()));
        let entries: Vec<_> = (0..ENTRIES).map(|i| self.fleet.entry_address(i)).collect();
        if !process_fleet::await_ready(&entries, Duration::from_secs(10)).await {
            return vec!["the fleet did not become ready".to_owned()];
        }
        let mut clients = Vec::new();
        for index in 0..ENTRIES {
            let address = self.fleet.caller_address(index);
            clients.push(PlatformClient::new(&address.to_string()).await);
        }
        let (clients, started) = (Rc::new(clients), Instant::now());
        let calling = Rc::new(Cell::new(true));
        ntex::rt::spawn({
            let (outcomes, calling) = (self.outcomes.clone(), calling.clone());
            let seed = self.seed;
            async move {
                let mut rng = ChaCha8Rng::seed_from_u64(seed);
                while calling.get() {
                    let id = rng.random();
                    let sent = started.elapsed();
                    let outcome = Outcome {
                        sent,
                        ..Outcome::default()
                    };
                    outcomes.borrow_mut().insert(id, outcome);
                    ntex::rt::spawn(submit_with_retries(
                        clients.clone(),
                        id,
                        seed,
                        outcomes.clone(),
                    ));
                    let pause = rng.random_range(0.5..1.5) / BATCHES_PER_SECOND;
                    ntex::time::sleep(Duration::from_secs_f64(pause)).await;
                }
            }
        });
        self.inject_faults(started).await;
        calling.set(false);
        // Waiting callers get an answer or time out.
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
        if accepted_unreadable.get() > 0 {
            let count = accepted_unreadable.get();
            broken.push(format!(
                "{count} reports that can't be read were acknowledged"
            ));
        }
        broken
    }

    async fn inject_faults(&mut self, started: Instant) {
        let injections = schedule(self.seed, self.length);
        let mut injections = injections.into_iter().peekable();
        let mut recoveries: Vec<(Instant, Recovery)> = Vec::new();
        while started.elapsed() < self.length {
            while let Some((at, next)) = injections.next_if(|(at, _)| *at <= started.elapsed()) {
                println!("{:7.3} s  {next:?}", at.as_secs_f64());
                inject(&mut self.fleet, next, &mut recoveries);
            }
            let now = Instant::now();
            let (due, kept) = recoveries.into_iter().partition(|(at, _)| *at <= now);
            recoveries = kept;
            for (_, ended) in due {
                end_fault(&mut self.fleet, ended);
            }
            ntex::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

fn command() -> Command {
    Command::new("soak")
        .about("Runs the real programs under random faults and checks their guarantees")
        .arg(
            Arg::new("seed")
                .long("seed")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Seed of the first soak; determines the schedule of faults"),
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Number of soaks to run, with consecutive seeds"),
        )
        .arg(
            Arg::new("for")
                .long("for")
                .default_value("20s")
                .help("Length of each soak, such as 60s; no new faults in the last 6 s"),
        )
        .arg(
            Arg::new("network")
                .long("network")
                .default_value("90")
                .value_parser(value_parser!(u8))
                .help("Loopback network 127.N; must differ between concurrent soaks"),
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
                .help("Folder for settings files and logs"),
        )
}

/// Parses `--for`, such as `60s`. Returns none unless it is longer than the calm period.
fn length_of(args: &ArgMatches) -> Option<Duration> {
    let text = args.get_one::<String>("for")?;
    let seconds = text.strip_suffix('s').unwrap_or(text).parse().ok()?;
    let length = Duration::from_secs(seconds);
    (length > CALM_PERIOD).then_some(length)
}

fn program_of(args: &ArgMatches) -> PathBuf {
    let default_path = || {
        let own = std::env::current_exe().unwrap_or_default();
        own.with_file_name("trestleknot")
    };
    args.get_one::<PathBuf>("program")
        .cloned()
        .unwrap_or_else(default_path)
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
