//! How processes learn of evacuated halls from the store and from each other.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use trestleknot_lib::evacuations::{
    EvacuatedHalls, EvacuationReader, EvacuationRecords, EvacuationWatch, EvacuationsInForce,
    OfferOutcome,
};
use trestleknot_lib::ids::{HallName, Now};

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

fn records(is_complete: bool, halls: &[(&str, bool)], place: u64) -> EvacuationRecords {
    let halls = halls
        .iter()
        .map(|(hall, is_evacuated)| ((*hall).into(), *is_evacuated));
    EvacuationRecords {
        is_complete,
        halls: halls.collect(),
        position: place,
    }
}

fn state(place: u64, halls: &[&str]) -> Arc<EvacuatedHalls> {
    let halls = halls.iter().map(|hall| HallName::from(*hall));
    Arc::new(EvacuatedHalls {
        position: place,
        halls: halls.collect(),
    })
}

#[test]
fn test_read_by_case() {
    let cases: [(&str, &[EvacuationRecords], &[&str]); 6] = [
        ("nothing", &[records(true, &[], 3)], &[]),
        (
            "in force at start",
            &[records(true, &[("a", true)], 3)],
            &["a"],
        ),
        (
            "ordered twice, withdrawn once",
            &[records(true, &[("a", true), ("a", true), ("a", false)], 3)],
            &[],
        ),
        (
            "two halls, one after the other",
            &[
                records(true, &[("a", true)], 3),
                records(false, &[("b", true)], 4),
            ],
            &["a", "b"],
        ),
        (
            "withdrawn while the history was trimmed",
            &[
                records(true, &[("a", true)], 3),
                records(true, &[("b", true)], 9),
            ],
            &["b"],
        ),
        (
            "a hall that nobody knows is withdrawn",
            &[
                records(true, &[("a", true)], 3),
                records(false, &[("z", false)], 4),
            ],
            &["a"],
        ),
    ];
    for (case, reads, expected) in cases {
        let mut reader = EvacuationReader::default();
        let mut last = EvacuatedHalls::default();
        for read in reads {
            last = reader.read(read.clone());
        }
        assert_eq!(last.halls, state(0, expected).halls, "{case}");
    }
}

#[test]
fn test_offer_by_case() {
    let mut in_force = EvacuationsInForce::default();
    assert_eq!(in_force.offer(&state(0, &["a"])), OfferOutcome::Old);
    assert_eq!(in_force.offer(&state(5, &["a"])), OfferOutcome::Changed);
    assert_eq!(in_force.offer(&state(6, &["a"])), OfferOutcome::Confirmed);
    assert_eq!(in_force.offer(&state(6, &[])), OfferOutcome::Old);
    assert_eq!(in_force.offer(&state(4, &[])), OfferOutcome::Old);
    assert!(in_force.contains("a"));
    assert_eq!(in_force.offer(&state(7, &[])), OfferOutcome::Changed);
    assert!(!in_force.contains("a"));
}

#[test]
fn test_take_due_asks_only_when_nothing_is_heard() {
    let mut watch = EvacuationWatch::new(ms(0), Some(ms(5_000)));
    assert!(!watch.take_due(ms(1_400)));
    watch.confirmed(ms(1_400));
    assert!(!watch.take_due(ms(2_800)));
    assert!(watch.take_due(ms(2_900)));
    // It waits as long again before the next query.
    assert!(!watch.take_due(ms(4_000)));
    assert!(watch.take_due(ms(4_400)));
    // An older state that arrives late changes nothing.
    watch.confirmed(ms(1_000));
    assert_eq!(watch.query_at(), Some(ms(5_900)));
}

#[test]
fn test_take_due_bounds_by_case() {
    // A short bound makes the agent query more often. Without a bound it never queries.
    let cases = [
        (Some(ms(5_000)), Some(ms(1_500))),
        (Some(ms(20_000)), Some(ms(6_000))),
        (Some(ms(1_000)), Some(ms(600))),
        (Some(ms(0)), Some(ms(200))),
        (None, None),
    ];
    for (bound, query_at) in cases {
        let watch = EvacuationWatch::new(ms(0), bound);
        assert_eq!(watch.query_at(), query_at, "{bound:?}");
    }
}

/// The operators' records in the store, and the state at each position.
#[derive(Debug, Default)]
struct Log {
    records: Vec<(HallName, bool)>,
    first_kept: usize,
}

impl Log {
    fn halls_at(&self, place: usize) -> BTreeSet<HallName> {
        let mut halls = BTreeSet::new();
        for (hall, is_evacuated) in &self.records[..place] {
            if *is_evacuated {
                halls.insert(hall.clone());
            } else {
                halls.remove(hall);
            }
        }
        halls
    }

    fn whole(&self, place: usize) -> EvacuationRecords {
        let halls = self.halls_at(place);
        EvacuationRecords {
            is_complete: true,
            halls: halls.into_iter().map(|hall| (hall, true)).collect(),
            position: place as u64,
        }
    }

    fn since(&self, from: usize) -> EvacuationRecords {
        EvacuationRecords {
            is_complete: false,
            halls: self.records[from..].to_vec(),
            position: self.records.len() as u64,
        }
    }
}

/// An event at one of three processes or at the store.
#[derive(Debug, Clone)]
enum Step {
    Order(u8, bool),
    Trim,
    /// A process reads on, or reads all halls if it has read nothing or the records are trimmed.
    Read(usize),
    /// A process reads all halls as they were some records ago.
    StaleRead(usize, usize),
    /// A process tells another what it knows.
    Tell(usize, usize),
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..4u8, any::<bool>()).prop_map(|(hall, evacuates)| Step::Order(hall, evacuates)),
        1 => Just(Step::Trim),
        4 => (0..3usize).prop_map(Step::Read),
        1 => (0..3usize, 0..6usize).prop_map(|(index, behind)| Step::StaleRead(index, behind)),
        3 => (0..3usize, 0..3usize).prop_map(|(from, to)| Step::Tell(from, to)),
        1 => (0..3usize).prop_map(Step::Restart),
    ]
}

#[derive(Default)]
struct Process {
    reader: EvacuationReader,
    next: Option<usize>,
    in_force: EvacuationsInForce,
}

impl Process {
    fn read(&mut self, records: EvacuationRecords) {
        self.next = Some(records.position as usize);
        let state = self.reader.read(records);
        self.in_force.offer(&Arc::new(state));
    }
}

proptest! {
    /// In any order of reads and exchanges, a process holds the state at its store position. The
    /// position never falls until a restart, and a read to the end brings the process up to date.
    #[test]
    fn test_offer_any_order_matches_its_position(steps in prop::collection::vec(step(), 1..80)) {
        let mut log = Log::default();
        let mut processes = [Process::default(), Process::default(), Process::default()];
        for step in steps {
            let before: Vec<u64> = processes.iter().map(|p| p.in_force.state().position).collect();
            let mut restarted = None;
            match step {
                Step::Order(hall, evacuates) => {
                    log.records.push((format!("hall-{hall}").into(), evacuates))
                }
                Step::Trim => log.first_kept = log.records.len(),
                Step::Read(index) => {
                    let read = match processes[index].next {
                        Some(from) if from >= log.first_kept => log.since(from),
                        _ => log.whole(log.records.len()),
                    };
                    processes[index].read(read);
                    let halls = &processes[index].in_force.state().halls;
                    prop_assert_eq!(halls, &log.halls_at(log.records.len()));
                }
                Step::StaleRead(index, behind) => {
                    let place = log.records.len().saturating_sub(behind);
                    processes[index].read(log.whole(place));
                }
                Step::Tell(from, to) => {
                    let state = processes[from].in_force.state().clone();
                    processes[to].in_force.offer(&state);
                }
                Step::Restart(index) => {
                    processes[index] = Process::default();
                    restarted = Some(index);
                }
            }
            for (index, process) in processes.iter().enumerate() {
                let known = process.in_force.state();
                prop_assert_eq!(&known.halls, &log.halls_at(known.position as usize));
                prop_assert!(known.position >= before[index] || restarted == Some(index));
            }
        }
    }
}
