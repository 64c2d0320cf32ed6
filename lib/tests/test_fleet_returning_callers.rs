//! Callers whose connections break, and who return while runs of their earlier attempts may go on.

use std::time::Duration;

use testutils::run_fleet::{Caller, FleetConfig, FleetFault, Node, RunFleet};
use testutils::run_target::RunTarget;
use trestleknot_lib::ids::Now;
use trestleknot_lib::resources::Resources;
use trestleknot_lib::run::BatchId;
use trestleknot_lib::timings::Timings;

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

const BATCH: BatchId = 0x5c0e;
/// The batch arrives once the processes have found each other.
const ARRIVAL: Now = ms(2_000);
/// Time from an attempt's arrival until its connection breaks.
const CONNECTED: Duration = ms(400);
/// Longer than callers wait before they return.
const LATE_STOPS: Duration = ms(1_600);

const AGENTS: usize = 3;
/// Work of the task; longer than any lease.
const WORK_MS: u64 = 4_000;

/// Two entries, targets with room for one task each, and a batch of one long task. A second run of
/// the task can't start on the target of the first one.
fn fleet_with_batch() -> RunFleet {
    fleet_of(2)
}

fn fleet_of(entries: usize) -> RunFleet {
    seeded_fleet(1, entries, Duration::ZERO)
}

/// Like [`fleet_of`], with connections that form in an order drawn from this seed.
fn seeded_fleet(seed: u64, entries: usize, longest_dial: Duration) -> RunFleet {
    let size = Resources {
        cpu_millis: 2_000,
        memory_mib: 64,
        accelerators: 0,
    };
    let fleet_config = FleetConfig {
        entries,
        agents: AGENTS,
        capacity: size,
        entries_meet: true,
        longest_dial,
        ..FleetConfig::default()
    };
    let mut fleet = RunFleet::with_config(seed, fleet_config, testutils::run_fleet::config());
    let mut caller = Caller::new(ARRIVAL, 1, WORK_MS, size);
    caller.guess = Some(1.0);
    caller.max_requests = 5;
    caller.reply_timeout = ms(9_000);
    fleet.add_caller(BATCH, caller);
    fleet
}

fn delay_stops(fleet: &mut RunFleet, at: Now, length: Duration) {
    for agent in 0..AGENTS {
        fleet.inject(at, FleetFault::LateStops(agent, length));
    }
}

/// Lets the caller's next request go to `entry`, and breaks its connection after [`CONNECTED`].
fn submit_and_disconnect(fleet: &mut RunFleet, entry: usize, arrival: Now) {
    let caller = fleet.callers.get_mut(&BATCH).expect("the batch was added");
    caller.entry = Some(entry);
    fleet.add_disconnect(arrival + CONNECTED, BATCH);
    fleet.run_until(arrival + CONNECTED + ms(10));
}

// Guards against a task that runs twice at once: an entry closes a batch a second time, and the
// other entries take its notice for a copy of the first one.
#[test]
fn test_run_until_batch_closed_twice_by_one_entry_is_held_each_time() {
    let attempt = CONNECTED + Timings::default().caller_retry_interval;
    let mut fleet = fleet_with_batch();
    let arrivals = [ARRIVAL, ARRIVAL + attempt, ARRIVAL + attempt * 2];
    // The stops after the first break are late, so that the other entries are told of the closing.
    delay_stops(&mut fleet, arrivals[0] + CONNECTED - ms(20), ms(300));
    submit_and_disconnect(&mut fleet, 0, arrivals[0]);
    submit_and_disconnect(&mut fleet, 1, arrivals[1]);
    delay_stops(&mut fleet, arrivals[2] + CONNECTED - ms(20), LATE_STOPS);
    submit_and_disconnect(&mut fleet, 0, arrivals[2]);
    let caller = fleet.callers.get_mut(&BATCH).expect("the batch was added");
    caller.entry = Some(1);
    fleet.run_until(ms(15_000));
    let violations = fleet.violations();
    assert!(violations.is_empty(), "{violations:#?}\n{:#?}", fleet.log);
    assert!(fleet.callers[&BATCH].succeeded.is_some());
}

/// When the first entry is lost, some time after it has started the task.
const LOST_AT: Now = ms(2_500);

/// Faults by which the first entry is lost to its caller.
fn losses() -> Vec<FleetFault> {
    let entry = Node::Entry(0);
    let length = ms(2_000);
    vec![
        FleetFault::Freeze(entry, length),
        FleetFault::Suspend(entry, length),
        FleetFault::Kill(entry),
        FleetFault::PowerOffFor(entry, length),
        FleetFault::Cut(entry, length),
        FleetFault::Freeze(entry, ms(850)),
        FleetFault::Freeze(entry, ms(1_250)),
        FleetFault::Reset(entry),
    ]
}

/// Runs the batch at the first entry. The caller's connection breaks at `broken_at`, and the caller
/// returns to the second entry. `faults` returns the faults for the agent that has the run.
fn break_connection(
    mut fleet: RunFleet,
    broken_at: Now,
    faults: impl Fn(usize) -> Vec<(Now, FleetFault)>,
) -> RunFleet {
    let caller = fleet.callers.get_mut(&BATCH).expect("the batch was added");
    caller.entry = Some(0);
    fleet.run_until(LOST_AT - ms(110));
    let has_run = |target: &RunTarget| target.running() > 0;
    let agent = fleet.targets().position(has_run).expect("the task runs");
    let caller = fleet.callers.get_mut(&BATCH).expect("the batch was added");
    caller.entry = Some(1);
    for (at, fault) in faults(agent) {
        fleet.inject(at, fault);
    }
    fleet.add_disconnect(broken_at, BATCH);
    fleet.run_until(ms(20_000));
    fleet
}

/// Like [`break_connection`], with the first entry lost as the connection breaks. `more` returns
/// further faults.
fn lose_entry(loss: FleetFault, more: impl Fn(usize) -> Vec<(Now, FleetFault)>) -> RunFleet {
    break_connection(fleet_with_batch(), LOST_AT, |agent| {
        let mut faults = vec![(LOST_AT, loss)];
        faults.extend(more(agent));
        faults
    })
}

fn assert_no_overlap(fleet: &RunFleet, scenario: &str) {
    let violations = fleet.violations();
    assert!(
        violations.is_empty(),
        "{scenario}: {violations:#?}\n{:#?}",
        fleet.log
    );
}

fn late_stops(agent: usize) -> Vec<(Now, FleetFault)> {
    vec![(LOST_AT - ms(100), FleetFault::LateStops(agent, ms(2_200)))]
}

// Guards against a task that runs twice at once: its entry is lost, the agent's stops are lost too,
// and the lease of its run is renewed until after the caller has reached another entry.
#[test]
fn test_run_until_entry_is_lost_while_stops_are_late() {
    for loss in losses() {
        let fleet = lose_entry(loss, late_stops);
        assert_no_overlap(&fleet, &format!("{loss:?}"));
        assert!(fleet.callers[&BATCH].succeeded.is_some(), "{loss:?}");
    }
}

// Guards against the same overlap if the agent is lost too, at any moment before the caller returns:
// it can then neither stop the run nor tell the other entry of it.
#[test]
fn test_run_until_entry_and_agent_are_lost_one_after_the_other() {
    let offsets = (0..1_400).step_by(25).map(ms);
    for (offset, loss) in offsets.flat_map(|o| losses().into_iter().map(move |l| (o, l))) {
        for agent_fault in [
            |n| FleetFault::Freeze(n, ms(3_000)),
            |n| FleetFault::PowerOffFor(n, ms(3_000)),
            |n| FleetFault::Cut(n, ms(3_000)),
            FleetFault::Kill,
        ] {
            let fleet = lose_entry(loss, |agent| {
                let mut faults = late_stops(agent);
                faults.push((LOST_AT + offset, agent_fault(Node::Agent(agent))));
                faults
            });
            let fault = agent_fault(Node::Agent(0));
            let scenario = format!("{loss:?}, then {fault:?} {offset:?} later");
            assert_no_overlap(&fleet, &scenario);
        }
    }
}

/// Cuts the second entry off from the first one and from this agent. Links stay open, and packets
/// wait until the cut ends.
fn cut_off_second_entry(agent: usize) -> Vec<(Now, FleetFault)> {
    let second = Node::Entry(1);
    let others = [Node::Entry(0), Node::Agent(agent)];
    let cuts = others.map(|node| FleetFault::CutBetween(node, second, ms(4_000)));
    cuts.map(|cut| (LOST_AT - ms(100), cut)).to_vec()
}

// Guards against a task that runs twice at once: its entry stops it, the stops are lost and no other
// entry hears of it, but each packet of the entry extends the lease of the run.
#[test]
fn test_run_until_entry_that_goes_on_stops_runs_whose_stops_are_late() {
    for since in (0..300).step_by(10).map(ms) {
        let fleet = break_connection(fleet_with_batch(), LOST_AT + since, |agent| {
            let mut faults = late_stops(agent);
            faults.extend(cut_off_second_entry(agent));
            faults
        });
        assert_no_overlap(&fleet, &format!("{since:?}"));
        assert!(fleet.callers[&BATCH].succeeded.is_some(), "{since:?}");
    }
}

// Guards against the same overlap if the agent's link breaks with the stop, if the stop is on its way
// until a cut ends, and if the agent is started anew: it then learns late that the run must end.
#[test]
fn test_run_until_stop_that_reaches_the_agent_late_ends_the_run_in_time() {
    let offsets = (0..800).step_by(20).map(ms);
    let first = Node::Entry(0);
    type Loss = fn(Node, Node) -> FleetFault;
    let losses: [Loss; 5] = [
        |agent, _| FleetFault::Reset(agent),
        |agent, first| FleetFault::CutBetween(agent, first, ms(300)),
        |agent, first| FleetFault::CutBetween(agent, first, ms(700)),
        |agent, _| FleetFault::Kill(agent),
        |agent, _| FleetFault::Freeze(agent, ms(600)),
    ];
    for (offset, loss) in offsets.flat_map(|o| losses.into_iter().map(move |l| (o, l))) {
        let fault_of = |agent| loss(Node::Agent(agent), first);
        let fleet = break_connection(fleet_with_batch(), LOST_AT + ms(100), |agent| {
            let mut faults = late_stops(agent);
            faults.extend(cut_off_second_entry(agent));
            faults.push((LOST_AT + offset, fault_of(agent)));
            faults
        });
        let scenario = format!("{:?} after {offset:?}", fault_of(0));
        assert_no_overlap(&fleet, &scenario);
    }
}

// Guards against the same overlap although a third entry holds the batch: the entry that the caller
// reaches hears neither from that one nor from the agent.
#[test]
fn test_run_until_entry_that_knows_of_the_runs_is_cut_off() {
    for loss in losses() {
        let fleet = break_connection(fleet_of(3), LOST_AT, |agent| {
            let mut faults = late_stops(agent);
            faults.extend(cut_off_second_entry(agent));
            let cut = FleetFault::CutBetween(Node::Entry(1), Node::Entry(2), ms(4_000));
            faults.push((LOST_AT - ms(100), cut));
            faults.push((LOST_AT, loss));
            faults
        });
        assert_no_overlap(&fleet, &format!("{loss:?}"));
        assert!(fleet.callers[&BATCH].succeeded.is_some(), "{loss:?}");
    }
}

/// Time from a kill until the process is back.
const KILLED_FOR: Duration = ms(300);
/// Longest time that a connection takes to form between busy processes.
const LONGEST_DIAL: Duration = ms(60);

// Guards against the same overlap if the entry that holds the batch is lost too, and the caller
// reaches one that was started again and has linked to some agents only.
#[test]
fn test_run_until_entry_started_again_does_not_know_what_lost_ones_held() {
    let restarts = (1_150..1_320).step_by(5).map(ms);
    for (restart, seed) in restarts.flat_map(|r| (0..10).map(move |s| (r, s))) {
        let fleet = break_connection(seeded_fleet(seed, 3, LONGEST_DIAL), LOST_AT, |agent| {
            let off = |entry| FleetFault::PowerOffFor(Node::Entry(entry), ms(9_000));
            let mut faults = late_stops(agent);
            faults.push((LOST_AT, FleetFault::Kill(Node::Entry(0))));
            faults.push((LOST_AT + ms(600), off(0)));
            faults.push((LOST_AT + ms(600), off(2)));
            let killed_at = LOST_AT + restart - KILLED_FOR;
            faults.push((killed_at, FleetFault::Kill(Node::Entry(1))));
            faults
        });
        assert_no_overlap(&fleet, &format!("back after {restart:?}, seed {seed}"));
    }
}
