//! Summaries of log lines.

use trestleknot_lib::log_summary::LogSummary;

const ENTRY: &str = "\
t=10.000 level=INFO batch admitted: job=aa01 request=r1 queue=q tasks=2
t=10.001 level=INFO tasks sent to a target: job=aa01 step=0 agent=agent-1 runs=[(0, 1), (1, 1)] age_ms=1 heard_ms_ago=20 pace=1.00
t=10.005 level=INFO run over without success, its task waits again: run=aa01.0.0.1#1 agent=agent-1 not_started=Full
t=10.006 level=INFO tasks sent to a target: job=aa01 step=0 agent=agent-2 runs=[(1, 2)] age_ms=6 heard_ms_ago=4 pace=1.00
t=10.300 level=INFO batch answered: job=aa01 queue=q answer=Succeeded took_ms=300 objective_ms=200 tried=true
t=10.310 level=INFO batch admitted: job=aa02 request=r2 queue=q tasks=1
t=10.400 level=INFO batch answered: job=aa02 queue=q answer=Refused { why: Busy } took_ms=100 objective_ms=200 tried=false
t=10.500 level=INFO batch refused, nothing of it runs: job=aa03 request=r3 config=1 answer=Refused { why: Busy, retry_after: Some(200ms) }
t=10.600 level=INFO batch admitted: job=aa01 request=r1 again=true
t=10.700 level=INFO slow run stopped, to go on elsewhere: run=aa04.0.0.0#1 agent=agent-1 ran_ms=50 percent=9
level=warn event=1704 name=LinesDropped lines=12
not a line of ours
";

#[test]
fn test_of_entry_log() {
    let logs = [("entry-1".to_owned(), ENTRY.to_owned())];
    insta::assert_debug_snapshot!(LogSummary::of(&logs));
}

#[test]
fn test_quantile_without_values() {
    assert_eq!(LogSummary::default().waited.quantile(0.5), 0);
}

#[test]
fn test_of_batches_that_were_handed_over_counts_each_once() {
    // The second one was declined, and its giver took it itself.
    let giver = "\
t=10.000 level=INFO batch handed over to another entry: job=bb01 queue=q tasks=1 to=entry-2 number=1
t=10.300 level=INFO batch answered: job=bb01 queue=q answer=Succeeded took_ms=300 objective_ms=400 handed_over=entry-2
t=10.400 level=INFO batch handed over to another entry: job=bb02 queue=q tasks=1 to=entry-2 number=2
t=10.402 level=INFO offer of a batch declined, nothing of it runs: job=bb02 queue=q by=entry-2 why=Load
t=10.402 level=INFO batch admitted: job=bb02 request=r8 queue=q tasks=1
t=10.700 level=INFO batch answered: job=bb02 queue=q answer=Succeeded took_ms=298 objective_ms=400
";
    let receiver = "\
t=10.001 level=INFO batch taken over from another entry: job=bb01 queue=q tasks=1 from=entry-1 number=1
t=10.299 level=INFO answer of a batch taken over sent to its giver: job=bb01 queue=q answer=Succeeded took_ms=298 objective_ms=400
t=10.401 level=INFO offer of a batch declined, nothing of it runs: job=bb02 number=2 why=Declined(Load)
";
    let logs = [giver, receiver].map(|log| ("entry".to_owned(), log.to_owned()));
    let summary = LogSummary::of(&logs);
    let queue = summary.queues["q"];
    assert_eq!((queue.admitted, queue.in_time), (2, 2), "{queue:?}");
}
