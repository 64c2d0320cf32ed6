//! Reports on where runs of batches may be: which witness gets them, and when.

use std::time::Duration;

use trestleknot_lib::dispatch_reports::DispatchReports;
use trestleknot_lib::ids::{NodeName, Now, SessionId};
use trestleknot_lib::run::BatchId;
use trestleknot_lib::run_message::{DispatchNotice, DispatchedBatch};

const FIRST: SessionId = 1;
const SECOND: SessionId = 2;
const BATCH: BatchId = 5;

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

fn agent(number: u32) -> NodeName {
    format!("agent-{number}").into()
}

fn orders(batch: BatchId, agents: &[u32]) -> DispatchNotice {
    let agents = agents.iter().map(|number| agent(*number)).collect();
    DispatchNotice {
        batches: vec![DispatchedBatch { batch, agents }],
        ended: Vec::new(),
    }
}

fn ended(batch: BatchId) -> DispatchNotice {
    DispatchNotice {
        batches: Vec::new(),
        ended: vec![batch],
    }
}

fn take(reports: &mut DispatchReports, now: Now) -> Vec<(SessionId, DispatchNotice)> {
    reports.take_due(now, |_| Some(FIRST)).into_iter().collect()
}

#[test]
fn test_take_due_names_each_agent_once() {
    let mut reports = DispatchReports::default();
    reports.note_order(BATCH, &agent(1));
    reports.note_order(BATCH, &agent(1));
    assert_eq!(take(&mut reports, ms(1)), [(FIRST, orders(BATCH, &[1]))]);
    reports.note_order(BATCH, &agent(1));
    reports.note_order(BATCH, &agent(2));
    assert_eq!(take(&mut reports, ms(2)), [(FIRST, orders(BATCH, &[2]))]);
    assert_eq!(take(&mut reports, ms(3)), []);
}

#[test]
fn test_take_due_without_a_witness_keeps_the_report() {
    let mut reports = DispatchReports::default();
    reports.note_order(BATCH, &agent(1));
    assert!(reports.take_due(ms(1), |_| None).is_empty());
    assert_eq!(take(&mut reports, ms(2)), [(FIRST, orders(BATCH, &[1]))]);
}

// Guards against a batch that no other entry knows of because its witness was lost first.
#[test]
fn test_witness_lost_reports_all_agents_to_the_next() {
    let mut reports = DispatchReports::default();
    reports.note_order(BATCH, &agent(1));
    take(&mut reports, ms(1));
    reports.note_order(BATCH, &agent(2));
    take(&mut reports, ms(2));
    reports.witness_lost(FIRST);
    let due = reports.take_due(ms(3), |_| Some(SECOND));
    assert_eq!(
        due.into_iter().collect::<Vec<_>>(),
        [(SECOND, orders(BATCH, &[1, 2]))]
    );
}

#[test]
fn test_note_ended_is_reported_with_the_next_order_or_in_a_second() {
    let mut reports = DispatchReports::default();
    reports.note_order(BATCH, &agent(1));
    take(&mut reports, ms(1));
    reports.note_ended(ms(10), BATCH);
    assert_eq!(take(&mut reports, ms(500)), []);
    assert_eq!(reports.next_wake(), Some(ms(1_010)));
    assert_eq!(take(&mut reports, ms(1_010)), [(FIRST, ended(BATCH))]);
    reports.note_order(6, &agent(1));
    take(&mut reports, ms(1_020));
    reports.note_ended(ms(1_030), 6);
    reports.note_order(7, &agent(1));
    let mut both = orders(7, &[1]);
    both.ended.push(6);
    assert_eq!(take(&mut reports, ms(1_040)), [(FIRST, both)]);
    assert_eq!(reports.next_wake(), None);
}

#[test]
fn test_note_ended_of_an_unreported_batch_tells_nobody() {
    let mut reports = DispatchReports::default();
    reports.note_order(BATCH, &agent(1));
    reports.note_ended(ms(1), BATCH);
    assert_eq!(take(&mut reports, ms(5_000)), []);
}
