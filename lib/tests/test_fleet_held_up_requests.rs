//! Requests that the network held up: they reach their entry after their callers have come to another one.

use std::time::Duration;

use testutils::run_fleet::{Caller, FleetConfig, FleetFault, RunFleet};
use trestleknot_lib::batch_event::Reply;
use trestleknot_lib::ids::Now;
use trestleknot_lib::resources::Resources;
use trestleknot_lib::run::BatchId;

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

/// The cut begins once the processes have found each other.
const CUT_AT: Now = ms(3_000);
const SENT_AT: Now = ms(3_050);
/// Ids of the callers that are cut off; other ids are random.
const FIRST: BatchId = 0x12;
const CUT_OFF: BatchId = 6;
const SIZE: Resources = Resources {
    cpu_millis: 2_000,
    memory_mib: 64,
    accelerators: 0,
};

#[derive(Debug, Clone, Copy)]
struct Scenario {
    seed: u64,
    entries: usize,
    tasks: u32,
    /// How long callers wait for an answer to their first request.
    reply_timeout: Duration,
    cut: Duration,
    /// Time from the arrival of a request to that of the close behind it.
    close_delay: Duration,
    /// How long the callers' connections were idle before.
    idle: Duration,
    /// Batches a second of other callers, at all entries.
    others: u32,
}

const USUAL: Scenario = Scenario {
    seed: 1,
    entries: 3,
    tasks: 2,
    reply_timeout: ms(1_500),
    cut: ms(2_500),
    close_delay: ms(6),
    idle: Duration::ZERO,
    others: 0,
};

fn play(scenario: Scenario) -> RunFleet {
    let fleet_config = FleetConfig {
        entries: scenario.entries,
        agents: 8,
        entries_meet: true,
        ..FleetConfig::default()
    };
    let config = testutils::run_fleet::config();
    let mut fleet = RunFleet::with_config(scenario.seed, fleet_config, config);
    fleet.load(ms(1_000), ms(9_000), scenario.others.max(1));
    for id in FIRST..FIRST + CUT_OFF {
        let mut caller = Caller::new(SENT_AT + ms(id * 7), scenario.tasks, 900, SIZE);
        caller.guess = Some(1.0);
        caller.entry = Some(0);
        caller.max_requests = 4;
        caller.reply_timeout = scenario.reply_timeout;
        caller.idle = scenario.idle;
        fleet.add_caller(id, caller);
    }
    let cut = FleetFault::CutCallers(0, scenario.cut, scenario.close_delay);
    fleet.inject(CUT_AT, cut);
    // Callers return to the other entries.
    fleet.run_until(SENT_AT + ms(200));
    for id in FIRST..FIRST + CUT_OFF {
        let others = scenario.entries - 1;
        let caller = fleet.callers.get_mut(&id).expect("it was added");
        caller.entry = Some(1 + id as usize % others);
        caller.reply_timeout = USUAL.reply_timeout;
    }
    fleet.run_until(ms(25_000));
    fleet
}

fn assert_runs_once(scenario: Scenario) {
    let fleet = play(scenario);
    let violations = fleet.violations();
    assert!(
        violations.is_empty(),
        "{scenario:?}: {violations:#?}\n{:#?}",
        fleet.log
    );
    for id in FIRST..FIRST + CUT_OFF {
        let caller = &fleet.callers[&id];
        assert!(caller.succeeded.is_some(), "{scenario:?}: {id:x} unserved");
    }
}

// Guards against a task that runs twice at once: a request that a cut held up reaches its entry while the
// batch runs at the one to which its caller has returned.
#[test]
fn test_run_until_request_arrives_after_its_caller_has_left_starts_nothing() {
    for seed in 1..=20 {
        assert_runs_once(Scenario { seed, ..USUAL });
    }
}

#[test]
fn test_run_until_held_up_request_of_any_timing_starts_nothing() {
    for reply_timeout in [200, 900, 1_500, 1_690].map(ms) {
        for cut in [2_500, 2_900, 3_100, 5_000].map(ms) {
            for close_delay in [0, 6, 400, 1_500].map(ms) {
                assert_runs_once(Scenario {
                    reply_timeout,
                    cut,
                    close_delay,
                    ..USUAL
                });
            }
        }
    }
}

#[test]
fn test_run_until_held_up_request_in_any_fleet_starts_nothing() {
    for entries in [2, 3, 4, 8, 12] {
        for tasks in [1, 5] {
            for others in [1, 40] {
                for seed in 1..=3 {
                    assert_runs_once(Scenario {
                        seed,
                        entries,
                        tasks,
                        others,
                        ..USUAL
                    });
                }
            }
        }
    }
}

#[test]
fn test_run_until_held_up_request_on_an_idle_connection_starts_nothing() {
    for idle in [500, 1_300, 60_000].map(ms) {
        assert_runs_once(Scenario { idle, ..USUAL });
    }
}

// Guards against the same overlap in a fleet whose entries have links to some of the others only.
#[test]
fn test_run_until_held_up_request_in_a_large_fleet_starts_nothing() {
    for seed in 1..=10 {
        assert_runs_once(Scenario {
            seed,
            entries: 20,
            ..USUAL
        });
    }
}

// Guards against callers that wait for nothing: no other entry holds their batches.
#[test]
fn test_run_until_requests_on_idle_connections_without_a_cut_are_served() {
    for entries in [1, 2, 5] {
        let mut fleet = play_idle(entries);
        fleet.run_until(ms(10_000));
        for id in FIRST..FIRST + CUT_OFF {
            let replies = &fleet.callers[&id].replies;
            assert_eq!(replies.len(), 1, "{entries} entries: {replies:?}");
            assert_eq!(replies[0].1, Reply::Succeeded);
        }
    }
}

fn play_idle(entries: usize) -> RunFleet {
    let fleet_config = FleetConfig {
        entries,
        entries_meet: true,
        ..FleetConfig::default()
    };
    let config = testutils::run_fleet::config();
    let mut fleet = RunFleet::with_config(1, fleet_config, config);
    for id in FIRST..FIRST + CUT_OFF {
        let mut caller = Caller::new(SENT_AT + ms(id * 7), 2, 300, SIZE);
        caller.guess = Some(1.0);
        caller.idle = ms(60_000);
        fleet.add_caller(id, caller);
    }
    fleet
}
