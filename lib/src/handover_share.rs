//! How many of its new batches a loaded entry hands over, and to which neighbour.

use std::time::Duration;

use rand::Rng as _;
use rand::seq::IndexedRandom as _;
use rand_chacha::ChaCha8Rng;

use crate::ids::{HallName, NodeName, Now};
use crate::peer_table::NeighbourLoad;

/// Utilization that handing over aims at.
const TARGET_UTILIZATION: f64 = 0.7;
/// Utilization below which a neighbour may get batches.
const MAX_RECEIVER_UTILIZATION: f64 = 0.6;
/// Interval at which the share is adjusted.
const ADJUST_INTERVAL: Duration = Duration::from_millis(100);
/// Change of the share at each adjustment, as a multiple of the distance from the target. A larger
/// one overshoots, because the utilization is an average over two intervals.
const GAIN: f64 = 0.3;
/// Most adjustments that one call makes up for after a time without calls.
const MAX_ADJUSTMENTS: u32 = 5;
/// Assumed processor time of a batch at its receiver.
const BATCH_COST: Duration = Duration::from_micros(300);
/// Period to which the utilization in a load report refers.
const REPORT_PERIOD: Duration = Duration::from_millis(200);

/// The share of new batches that an entry hands over.
#[derive(Debug, Default)]
pub struct HandoverShare {
    share: f64,
    adjusted_at: Now,
}

impl HandoverShare {
    /// Adjusts the share to the utilization and returns it. Nothing is handed over while the
    /// utilization is not known.
    pub fn adjust(&mut self, now: Now, utilization: Option<f64>) -> f64 {
        let Some(utilization) = utilization else {
            *self = Self::default();
            return 0.0;
        };
        let intervals = now
            .saturating_sub(self.adjusted_at)
            .div_duration_f64(ADJUST_INTERVAL);
        let adjustments = (intervals as u32).min(MAX_ADJUSTMENTS);
        if adjustments > 0 {
            let step = GAIN * (utilization - TARGET_UTILIZATION);
            let share = self.share + step * f64::from(adjustments);
            self.share = share.clamp(0.0, 1.0);
            self.adjusted_at = now;
        }
        self.share
    }
}

/// Batches handed over to a neighbour since it last reported its load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreportedBatches {
    /// Name of the neighbour.
    pub name: NodeName,
    /// When each was handed over, oldest first.
    pub sent: Vec<Now>,
}

/// The batches that neighbours' load reports don't show yet.
#[derive(Debug, Default)]
pub struct UnreportedWork {
    neighbours: Vec<UnreportedBatches>,
}

impl UnreportedWork {
    /// Records that a batch is handed over to a neighbour.
    pub fn add(&mut self, now: Now, name: &NodeName) {
        match self.neighbours.iter_mut().find(|n| n.name == *name) {
            Some(neighbour) => neighbour.sent.push(now),
            None => self.neighbours.push(UnreportedBatches {
                name: name.clone(),
                sent: vec![now],
            }),
        }
    }

    /// Number of batches handed over to a neighbour since its report. Older ones are forgotten.
    fn count(&mut self, now: Now, neighbour: &NeighbourLoad) -> usize {
        let reported_at = now.saturating_sub(neighbour.age);
        let Some(known) = self
            .neighbours
            .iter_mut()
            .find(|n| n.name == neighbour.name)
        else {
            return 0;
        };
        known.sent.retain(|at| *at >= reported_at);
        known.sent.len()
    }

    /// Utilization of a neighbour's processor: the reported one, and the batches since then.
    fn utilization(&mut self, now: Now, neighbour: &NeighbourLoad) -> f64 {
        let added = BATCH_COST * self.count(now, neighbour) as u32;
        let available = REPORT_PERIOD.mul_f64(processor_share(neighbour));
        let reported = f64::from(neighbour.load.processor_percent) / 100.0;
        reported + added.div_duration_f64(available)
    }

    /// Chooses a receiver: of two random neighbours with a known load that may get batches, the one
    /// with more spare capacity, or the one in this entry's hall if they have equally much.
    pub fn choose(
        &mut self,
        now: Now,
        neighbours: &[NeighbourLoad],
        hall: &HallName,
        rng: &mut ChaCha8Rng,
    ) -> Option<NeighbourLoad> {
        let mut candidates = Vec::new();
        for neighbour in neighbours.iter().filter(|n| n.processor_millis > 0) {
            let utilization = self.utilization(now, neighbour);
            let link_usage = f64::from(neighbour.load.link_percent) / 100.0;
            if utilization < MAX_RECEIVER_UTILIZATION && link_usage < MAX_RECEIVER_UTILIZATION {
                let spare = processor_share(neighbour) * (1.0 - utilization);
                candidates.push((spare, neighbour.hall == *hall, neighbour));
            }
        }
        let drawn: Vec<_> = candidates.choose_multiple(rng, 2).collect();
        let more_spare = |a: &(f64, bool, &NeighbourLoad), b: &(f64, bool, &NeighbourLoad)| {
            a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))
        };
        let best = drawn.into_iter().max_by(|a, b| more_spare(a, b))?;
        Some(best.2.clone())
    }
}

fn processor_share(neighbour: &NeighbourLoad) -> f64 {
    f64::from(neighbour.processor_millis) / 1_000.0
}

/// Whether a share of batches calls for handing over the next one.
pub fn is_drawn(share: f64, rng: &mut ChaCha8Rng) -> bool {
    share > 0.0 && rng.random_range(0.0..1.0) < share
}
