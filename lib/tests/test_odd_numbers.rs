//! Numbers of other writers at the ends of their ranges: no panic, no wrapped sum, and a target's
//! own reports still count.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use trestleknot_lib::batch::{BatchSpec, MAX_TASKS, StepSpec};
use trestleknot_lib::batch_entry::BatchEntryCore;
use trestleknot_lib::batch_event::{EntryAction, EntryEvent, EntryOptions, Submission};
use trestleknot_lib::config_chain::{
    ConfigChain, ConfigState, LogBatch, LogRecord, StoredRecord, stamp_of,
};
use trestleknot_lib::config_document::Document;
use trestleknot_lib::ids::Now;
use trestleknot_lib::queue::{Queue, QueueTable, RequestLimits};
use trestleknot_lib::resources::Resources;
use trestleknot_lib::run_event::TargetReport;
use trestleknot_lib::run_message::TargetInfo;
use trestleknot_lib::target_health::HealthReport;
use trestleknot_lib::target_incarnation::TargetIncarnation;
use trestleknot_lib::target_incarnations::{ReportOutcome, TargetIncarnations};
use trestleknot_lib::target_lease::TargetLease;
use trestleknot_lib::target_registry::{LoadReport, TargetRegistry};
use trestleknot_lib::timings::Timings;

const ALL: Resources = Resources {
    cpu_millis: u64::MAX,
    memory_mib: u64::MAX,
    accelerators: u64::MAX,
};

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

fn entry() -> BatchEntryCore {
    BatchEntryCore::new(EntryOptions {
        name: "entry".into(),
        incarnation: 1,
        hall: "hall".into(),
        address: "10.0.0.1:7720".parse().expect("an address"),
        seeds: Vec::new(),
        seed: 1,
        timings: Timings::default(),
        link_rate: None,
        processor_share: None,
        far_factor: None,
    })
}

fn config(stretch: f64, target_latency: Duration) -> EntryEvent {
    let queue = Queue {
        name: "queue".into(),
        host: "host".into(),
        path_prefix: "/q/".into(),
        service: "service".into(),
        priority: u32::MAX,
        max_attempts: u32::MAX,
        stretch,
        target_latency,
        needs_advice: false,
    };
    EntryEvent::Config(Arc::new(QueueTable {
        version: 1,
        queues: vec![Arc::new(queue)],
        limits: RequestLimits { body_bytes: 65_536 },
    }))
}

fn submission(steps: Vec<StepSpec>, caller_timeout: Duration) -> EntryEvent {
    EntryEvent::Submit(Submission {
        request: 5,
        host: "host".to_owned(),
        path: "/q/0000000000000005".to_owned(),
        spec: BatchSpec {
            id: 5,
            payload: "work".into(),
            steps,
            unsupported: None,
        },
        caller_timeout,
        max_age: Some(Duration::ZERO),
        caller_request: "".into(),
    })
}

/// Steps that each depend on the one before.
fn chained_steps(count: u16, estimate: Duration) -> Vec<StepSpec> {
    let step = |index: u16| StepSpec {
        count: 1,
        size: ALL,
        estimate,
        after: index.checked_sub(1).into_iter().collect(),
        required_label: None,
        preferred_rack: None,
        most_per_target: None,
    };
    (0..count).map(step).collect()
}

/// Serves one batch until its answer, for a minute at most.
fn serve(config: EntryEvent, batch: EntryEvent) -> Vec<EntryAction> {
    let mut entry = entry();
    let mut actions = entry.handle(ms(1), config);
    actions.extend(entry.handle(ms(2), batch));
    while let Some(wake) = entry.next_wake().filter(|at| *at < ms(60_000)) {
        actions.extend(entry.handle(wake, EntryEvent::Wake));
        if actions.iter().any(|a| matches!(a, EntryAction::Reply(..))) {
            break;
        }
    }
    actions
}

// Guards against a caller whose estimates stop the entry: their sum overflows a duration.
#[test]
fn test_handle_batch_with_the_largest_estimates_is_answered() {
    let longest = Duration::from_millis(u64::MAX);
    let steps = chained_steps(MAX_TASKS as u16, longest);
    let actions = serve(config(1.6, ms(60)), submission(steps, longest));
    assert!(!actions.is_empty());
}

// Guards against a queue whose stretch or latency stops the entry at its next batch.
#[test]
fn test_handle_batch_of_a_queue_with_extreme_objectives_is_answered() {
    let longest = Duration::from_millis(u64::MAX);
    for stretch in [1e300, f64::MAX, f64::INFINITY, f64::NAN, -1.0, -1e300, 0.0] {
        for latency in [Duration::ZERO, longest] {
            let steps = chained_steps(3, longest);
            let actions = serve(config(stretch, latency), submission(steps, ms(2_000)));
            assert!(!actions.is_empty(), "{stretch} {latency:?}");
        }
    }
}

// Guards against amounts that wrap to small ones, or panic, when they are added.
#[test]
fn test_resources_at_the_top_saturate() {
    let one = Resources {
        cpu_millis: 1,
        memory_mib: 1,
        accelerators: 1,
    };
    assert_eq!(ALL.plus(one), ALL);
    assert_eq!(ALL.times(3), ALL);
    assert_eq!(one.minus(ALL), Resources::NONE);
    assert!(!ALL.plus(one).fits_in(one));
}

fn target_info(capacity: Resources) -> TargetInfo {
    TargetInfo {
        life: TargetIncarnation {
            name: "target".into(),
            born: Some(7),
        },
        service: "service".into(),
        capacity,
        labels: Vec::new(),
        leaving: false,
    }
}

// Guards against an entry that a target's odd capacity stops, or that takes the sum of all
// capacities for a small one.
#[test]
fn test_compare_speeds_with_the_largest_capacities_goes_on() {
    let mut registry = TargetRegistry::default();
    for link in 1..=3 {
        registry.join(ms(1), link, format!("agent-{link}").into(), "hall".into());
        registry.note_target(link, Some(target_info(ALL)));
        let report = LoadReport {
            clock: u64::MAX / 2,
            free: ALL,
            starts_seen: 0,
            health: HealthReport::default(),
        };
        registry.heard(ms(1), link, report);
    }
    registry.compare_speeds(ms(2));
    assert_eq!(registry.usable(ms(2)), 3);
}

// Guards against an agent that a target's clock stops.
#[test]
fn test_renew_until_with_the_largest_clock_goes_on() {
    let mut lease = TargetLease::new(ms(1), &Timings::default(), 7);
    lease.learn_clock(ms(2), u64::MAX);
    assert_eq!(lease.renew_until(ms(3), None), Some(u64::MAX));
}

// Guards against a snapshot of another writer that stops the entry at the next change.
#[test]
fn test_read_change_after_the_largest_version_goes_on() {
    let mut chain = ConfigChain::default();
    let text: Arc<str> = Document::default().canonical().expect("a document").into();
    let head = stamp_of(u64::MAX, &text);
    let state = ConfigState {
        stamp: head,
        text: text.clone(),
        read_to: 1,
    };
    let change = LogRecord::Change {
        nonce: 1,
        replaces: head,
        text,
        author: "author".to_owned(),
    };
    let records = [LogRecord::Snapshot { state }, change];
    let stored = records.into_iter().zip([0, u64::MAX]);
    let batch = LogBatch {
        from: 0,
        oldest: 0,
        records: stored
            .map(|(record, offset)| StoredRecord {
                offset,
                record: Some(record),
            })
            .collect(),
        next: 2,
        end: 2,
    };
    assert_eq!(chain.read(&batch, ms(1)).len(), 1);
}

fn report(sequence: u64, leaving: bool) -> TargetReport {
    let info = TargetInfo {
        leaving,
        ..target_info(ALL)
    };
    TargetReport { info, sequence }
}

/// A target whose current report has this number.
fn current(sequence: u64) -> TargetIncarnations {
    let mut incarnations = TargetIncarnations::default();
    let first = report(sequence, false);
    let life = first.info.life.clone();
    assert_eq!(incarnations.report(ms(1), first), ReportOutcome::NeedsCheck);
    incarnations.make_current(ms(2), &life);
    incarnations
}

fn is_leaving(incarnations: &TargetIncarnations) -> bool {
    incarnations.current().expect("a target").leaving
}

// Guards against another writer's number at the top of its range, after which the target's own
// reports would count as late for good.
#[test]
fn test_report_numbers_at_the_top_leave_the_targets_own_reports_in_force() {
    for odd in [u64::MAX, u64::MAX - 1, u64::MAX / 2, 10_000_000] {
        let mut incarnations = current(4);
        incarnations.report(ms(3), report(odd, true));
        assert!(!is_leaving(&incarnations), "{odd} is in force");
        let outcome = incarnations.report(ms(4), report(5, true));
        assert_eq!(outcome, ReportOutcome::Changed, "after {odd}");
        // The odd report came first, before the target's own.
        let mut incarnations = current(odd);
        incarnations.report(ms(3), report(5, true));
        incarnations.report(ms(4), report(6, true));
        assert!(is_leaving(&incarnations), "after {odd} as the first");
        let outcome = incarnations.report(ms(5), report(7, false));
        assert_eq!(outcome, ReportOutcome::Changed, "after {odd} as the first");
    }
}

// Guards against a target that counts in large steps and whose state is then never taken over.
#[test]
fn test_report_numbers_in_large_steps_count_after_two_reports() {
    let mut incarnations = current(4);
    for (turn, leaving) in (1_u64..).zip([true, true, false, false, true, true]) {
        let number = turn * 1_000_000_000;
        incarnations.report(ms(turn), report(number, leaving));
        if turn % 2 == 0 {
            assert_eq!(is_leaving(&incarnations), leaving, "{number}");
        }
    }
}

// Guards against a late report that is taken for a new one.
#[test]
fn test_report_late_ones_stay_ignored() {
    let mut incarnations = current(100);
    for late in [100, 98, 99, 1, 2, 3] {
        let outcome = incarnations.report(ms(3), report(late, true));
        assert_eq!(outcome, ReportOutcome::Late(100), "{late}");
    }
    assert!(!is_leaving(&incarnations));
}

proptest! {
    // Guards against any odd numbers among a target's reports that hide the target's own.
    #[test]
    fn test_report_odd_numbers_between_own_ones_hide_none_for_long(
        odd in prop::collection::vec(1_000_000..=u64::MAX, 1..20),
    ) {
        let mut incarnations = current(4);
        for (own, odd) in (5_u64..).zip(&odd) {
            incarnations.report(ms(own), report(*odd, true));
            prop_assert!(!is_leaving(&incarnations));
            let outcome = incarnations.report(ms(own), report(own, false));
            prop_assert_eq!(outcome, ReportOutcome::Known);
        }
    }

    // Guards against amounts whose sum depends on their order, or is less than each.
    #[test]
    fn test_resources_any_amounts_add_without_wrapping(a: u64, b: u64, factor: u64) {
        let (a, b) = (amounts(a), amounts(b));
        prop_assert!(a.fits_in(a.plus(b)) && b.fits_in(a.plus(b)));
        prop_assert_eq!(a.plus(b), b.plus(a));
        prop_assert!(factor == 0 || a.fits_in(a.times(factor)));
    }
}

fn amounts(amount: u64) -> Resources {
    Resources {
        cpu_millis: amount,
        memory_mib: amount,
        accelerators: amount,
    }
}
