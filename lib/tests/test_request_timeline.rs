//! Timelines of requests from log lines.

use trestleknot_lib::request_timeline::RequestTimeline;

fn logs() -> Vec<(String, String)> {
    let entry = "\
t=10.000 level=INFO batch admitted: job=aa01 request=r1 queue=q tasks=1
t=10.001 level=INFO tasks sent to a target: job=aa01 step=0 agent=agent-1 runs=[(0, 1)] age_ms=1
t=10.300 level=INFO batch answered: job=aa01 queue=q answer=Succeeded took_ms=300 objective_ms=200
t=10.100 level=INFO batch admitted: job=aa02 request=r2 queue=q tasks=1
t=10.200 level=INFO batch answered: job=aa02 queue=q answer=Refused { why: Busy } took_ms=100 objective_ms=200
t=10.400 level=INFO batch admitted: job=aa03 request=r3 queue=q tasks=1
t=10.500 level=INFO batch refused, nothing of it runs: job=aa04 request=r4 config=1 answer=Refused
t=10.600 level=INFO batch refused, nothing of it runs: job=aa06 request=r6 config=1 answer=Refused { why: Evacuated }
";
    let agent = "\
t=10.150 level=INFO run is far slower than its estimate: run=aa01.0.0.0#1 ran_ms=100 percent=20
t=10.299 level=INFO run ended: run=aa01.0.0.0#1 end=Done ran_ms=290
";
    vec![
        ("entry-1".to_owned(), entry.to_owned()),
        ("agent-1".to_owned(), agent.to_owned()),
    ]
}

#[test]
fn test_of_late_request() {
    insta::assert_debug_snapshot!(RequestTimeline::of("r1", &logs()));
}

#[test]
fn test_of_verdicts() {
    let ids = ["aa01", "r2", "r3", "r4", "r5", "r6"];
    let verdicts = ids.map(|id| RequestTimeline::of(id, &logs()).outcome);
    insta::assert_debug_snapshot!(verdicts);
}

/// A batch that one entry handed over to another, and one whose receiver was lost.
fn logs_of_two_entries() -> Vec<(String, String)> {
    let giver = "\
t=10.000 level=INFO batch handed over to another entry: job=bb01 request=r7 queue=q tasks=1 to=entry-2 number=1
t=10.300 level=INFO batch answered: job=bb01 queue=q answer=Succeeded took_ms=300 objective_ms=400 handed_over=entry-2
t=10.400 level=INFO batch handed over to another entry: job=bb02 request=r8 queue=q tasks=1 to=entry-2 number=2
t=11.100 level=INFO batch that was handed over released, its runs are stopped: job=bb02 number=2 to=entry-2 why=receiver_lost age_ms=700
t=11.100 level=INFO batch answered: job=bb02 queue=q answer=GaveUp took_ms=700 objective_ms=400 handed_over=entry-2
t=11.200 level=INFO batch handed over to another entry: job=bb03 request=r9 queue=q tasks=1 to=entry-2 number=3
";
    let receiver = "\
t=10.001 level=INFO batch taken over from another entry: job=bb01 request=r7 queue=q tasks=1 from=entry-1 number=1
t=10.002 level=INFO tasks sent to a target: job=bb01 step=0 agent=agent-1 runs=[(0, 1)] age_ms=1
t=10.299 level=INFO answer of a batch taken over sent to its giver: job=bb01 queue=q answer=Succeeded took_ms=298 objective_ms=400
t=10.401 level=INFO batch taken over from another entry: job=bb02 request=r8 queue=q tasks=1 from=entry-1 number=2
";
    vec![
        ("entry-1".to_owned(), giver.to_owned()),
        ("entry-2".to_owned(), receiver.to_owned()),
    ]
}

#[test]
fn test_of_batches_that_were_handed_over() {
    let logs = logs_of_two_entries();
    let served = RequestTimeline::of("r7", &logs);
    assert_eq!(served.lines.len(), 5, "{:?}", served.lines);
    let verdicts = ["r7", "r8", "r9"].map(|id| RequestTimeline::of(id, &logs).outcome);
    insta::assert_debug_snapshot!(verdicts);
}
