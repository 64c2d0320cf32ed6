//! Searches for event orders in which a dispatch starts twice or its fate is misreported.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use proptest::prelude::*;
use trestleknot_lib::job::TaskOutcome;
use trestleknot_lib::ledger::{DispatchLedger, Offer};
use trestleknot_lib::message::{DispatchFate, DispatchRefusal};

/// Id of the only entry.
const ENTRY: u64 = 7;
/// Highest sequence number of a dispatch.
const SEQS: u64 = 6;

#[derive(Debug, Clone)]
enum Step {
    Arrives(u64),
    Ends(u64),
    Revoked(u64),
    Settled(u64),
    Reconnects(BTreeSet<u64>),
    LostAndForgotten,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1..=SEQS).prop_map(Step::Arrives),
        2 => (1..=SEQS).prop_map(Step::Ends),
        2 => (1..=SEQS).prop_map(Step::Revoked),
        1 => (1..=SEQS + 1).prop_map(Step::Settled),
        2 => proptest::collection::btree_set(1..=SEQS, 0..4).prop_map(Step::Reconnects),
        1 => Just(Step::LostAndForgotten),
    ]
}

/// What the ledger has told the entry.
#[derive(Default)]
struct Told {
    starts: BTreeMap<u64, u32>,
    never_started: BTreeSet<u64>,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn test_ledger_any_order(events in proptest::collection::vec(step(), 1..60)) {
        let mut ledger = DispatchLedger::default();
        let mut told = Told::default();
        let mut settled = 1;
        ledger.open(ENTRY, false);
        for event in events {
            match event {
                Step::Arrives(seq) => {
                    if ledger.offer(ENTRY, seq) == Offer::Fresh {
                        ledger.decide(ENTRY, seq, DispatchFate::Running);
                        *told.starts.entry(seq).or_default() += 1;
                        prop_assert!(!told.never_started.contains(&seq), "{seq} started after proof");
                    }
                }
                Step::Ends(seq) => {
                    if told.starts.contains_key(&seq) {
                        ledger.finish(ENTRY, seq, TaskOutcome::Lost);
                    }
                }
                Step::Revoked(seq) => {
                    if let Some(DispatchFate::Refused(_)) = ledger.revoke(ENTRY, seq) {
                        prop_assert!(!told.starts.contains_key(&seq), "{seq} denied after start");
                        told.never_started.insert(seq);
                    }
                }
                Step::Settled(below) => {
                    settled = settled.max(below);
                    ledger.settle(ENTRY, below);
                }
                Step::Reconnects(outstanding) => {
                    let outstanding: Vec<u64> =
                        outstanding.into_iter().filter(|s| *s >= settled).collect();
                    let resume = ledger.open(ENTRY, true);
                    for fate in ledger.reconcile(ENTRY, resume, &outstanding) {
                        if let DispatchFate::Refused(reason) = fate.fate {
                            prop_assert!(!told.starts.contains_key(&fate.seq), "{} denied", fate.seq);
                            prop_assert!(matches!(reason, DispatchRefusal::NeverSeen | DispatchRefusal::Revoked));
                            told.never_started.insert(fate.seq);
                        }
                    }
                }
                Step::LostAndForgotten => {
                    // An entry that returns after this resumes, so its dispatches are forgotten.
                    ledger.lost(ENTRY, Duration::ZERO);
                    ledger.forget_lost_before(Duration::from_secs(1));
                    let resume = ledger.open(ENTRY, true);
                    let open: Vec<u64> = (settled..=SEQS).collect();
                    ledger.reconcile(ENTRY, resume, &open);
                    ledger.settle(ENTRY, SEQS + 1);
                    settled = SEQS + 1;
                }
            }
        }
        prop_assert!(told.starts.values().all(|n| *n == 1), "{:?}", told.starts);
    }
}
