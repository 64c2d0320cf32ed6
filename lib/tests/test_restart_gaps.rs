//! Gaps between the runs of a task, from logs.

use trestleknot_lib::restart_gaps::{RestartCause, restart_gaps};

fn logs() -> Vec<(String, String)> {
    let first = "\
t=10.100 level=INFO run ended: run=aa01.0.0.0#1 end=Lost ran_ms=80 still_running=0
t=12.000 level=INFO run ended: run=aa01.0.0.1#2 end=Done ran_ms=50 still_running=0
";
    let second = "\
t=10.150 level=INFO run ended: run=aa01.0.0.0#2 end=Done ran_ms=60 still_running=0
t=11.000 level=INFO run ended: run=aa01.0.0.1#1 end=Crashed { alone: true } ran_ms=40 still_running=0
t=13.400 level=INFO run ended: run=aa01.0.0.1#1 end=Done ran_ms=100 still_running=0
a line of another kind
";
    [("agent-1", first), ("agent-2", second)]
        .map(|(name, log)| (name.to_owned(), log.to_owned()))
        .to_vec()
}

fn cause(end: &str, is_resubmitted: bool) -> RestartCause {
    let end = end.to_owned();
    RestartCause {
        end,
        is_resubmitted,
    }
}

#[test]
fn test_restart_gaps_are_told_apart_by_cause() {
    let gaps = restart_gaps(&logs());
    let of = |end, is_resubmitted| {
        let found = &gaps[&cause(end, is_resubmitted)];
        (found.pairs, (found.shortest * 1e3).round(), &*found.run)
    };
    // The second run of this task began 10 ms before the end of the first one was logged.
    assert_eq!(of("Lost", false), (1, -10.0, "aa01.0.0.0#2"));
    assert_eq!(of("Crashed", false), (1, 950.0, "aa01.0.0.1#2"));
    assert_eq!(of("Done", true), (1, 1_300.0, "aa01.0.0.1#1"));
    assert_eq!(gaps.len(), 3);
}
