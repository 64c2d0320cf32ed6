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
