//! Generates loads: the jobs to submit and their times, from a seed.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::caller::PlannedJob;

/// Shape of a load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// All job kinds, with steady random arrivals.
    Mixed,
    /// Jobs arrive in bursts.
    Bursts,
    /// A few tasks run many times as long as declared.
    Stragglers,
    /// Declared run times are far too short or too long.
    WrongDeclarations,
}

/// A load on a fleet.
#[derive(Debug, Clone)]
pub struct Load {
    pub shape: Shape,
    /// Average number of slots that it keeps busy.
    pub slots: f64,
    /// How long jobs are submitted.
    pub length: Duration,
    /// Keys of the submitting teams; each job uses a random one.
    pub keys: Vec<String>,
    pub seed: u64,
}

struct JobKind {
    kind: &'static str,
    tasks: std::ops::RangeInclusive<usize>,
    run_ms: std::ops::RangeInclusive<u64>,
    deadline_ms: u64,
    /// Relative frequency.
    weight: u32,
}

const KINDS: [JobKind; 5] = [
    JobKind {
        kind: "unlock",
        tasks: 1..=1,
        run_ms: 50..=150,
        deadline_ms: 5_000,
        weight: 30,
    },
    JobKind {
        kind: "payment",
        tasks: 1..=2,
        run_ms: 100..=300,
        deadline_ms: 5_000,
        weight: 30,
    },
    JobKind {
        kind: "battery-route",
        tasks: 4..=12,
        run_ms: 100..=500,
        deadline_ms: 10_000,
        weight: 20,
    },
    JobKind {
        kind: "stock",
        tasks: 8..=24,
        run_ms: 50..=400,
        deadline_ms: 10_000,
        weight: 15,
    },
    JobKind {
        kind: "permit-batch",
        tasks: 20..=40,
        run_ms: 200..=1_000,
        deadline_ms: 20_000,
        weight: 5,
    },
];

/// One task in this many is a straggler.
const STRAGGLER_EVERY: u32 = 50;
/// Factor on the run time of a straggler.
const STRAGGLER_FACTOR: u64 = 8;
/// Number of jobs in a burst.
const BURST_JOBS: usize = 20;

impl Load {
    /// The jobs in order of submission; arrivals are random and don't depend on answers.
    pub fn jobs(&self) -> Vec<PlannedJob> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let per_second = self.slots / mean_work_seconds();
        let mut jobs = Vec::new();
        let mut at = 0.0;
        while at < self.length.as_secs_f64() {
            let burst = if self.shape == Shape::Bursts {
                BURST_JOBS
            } else {
                1
            };
            let gap = -(1.0 - rng.random::<f64>()).ln() / per_second;
            at += gap * burst as f64;
            for _ in 0..burst {
                let name = format!("{}-{}", self.seed, jobs.len());
                jobs.push(self.job(&mut rng, Duration::from_secs_f64(at), name));
            }
        }
        jobs
    }

    fn job(&self, rng: &mut ChaCha8Rng, at: Duration, name: String) -> PlannedJob {
        let kind = pick_kind(rng);
        let tasks = rng.random_range(kind.tasks.clone());
        let run_ms: Vec<u64> = (0..tasks).map(|_| self.run_ms(rng, kind)).collect();
        let mean = (kind.run_ms.start() + kind.run_ms.end()) / 2;
        PlannedJob {
            at,
            key: self.keys[rng.random_range(0..self.keys.len())].clone(),
            kind: kind.kind.to_owned(),
            run_ms,
            declared_ms: self.declared_ms(rng, mean as u32),
            deadline_ms: kind.deadline_ms,
            give_up_after: None,
            name,
        }
    }

    fn run_ms(&self, rng: &mut ChaCha8Rng, kind: &JobKind) -> u64 {
        let run = rng.random_range(kind.run_ms.clone());
        let is_straggler = self.shape == Shape::Stragglers && rng.random_ratio(1, STRAGGLER_EVERY);
        if is_straggler {
            run * STRAGGLER_FACTOR
        } else {
            run
        }
    }

    fn declared_ms(&self, rng: &mut ChaCha8Rng, mean: u32) -> u32 {
        if self.shape == Shape::WrongDeclarations {
            // From a tenth to ten times the mean.
            let factor = 10f64.powf(rng.random_range(-1.0..1.0));
            (f64::from(mean) * factor) as u32
        } else {
            mean
        }
    }
}

fn pick_kind(rng: &mut ChaCha8Rng) -> &'static JobKind {
    let total: u32 = KINDS.iter().map(|k| k.weight).sum();
    let mut remaining = rng.random_range(0..total);
    for kind in &KINDS {
        if remaining < kind.weight {
            return kind;
        }
        remaining -= kind.weight;
    }
    &KINDS[0]
}

/// Mean work of a job in slot seconds.
fn mean_work_seconds() -> f64 {
    let total: u32 = KINDS.iter().map(|k| k.weight).sum();
    let work: f64 = KINDS
        .iter()
        .map(|k| {
            let tasks = (k.tasks.start() + k.tasks.end()) as f64 / 2.0;
            let run = (k.run_ms.start() + k.run_ms.end()) as f64 / 2_000.0;
            f64::from(k.weight) * tasks * run
        })
        .sum();
    work / f64::from(total)
}
