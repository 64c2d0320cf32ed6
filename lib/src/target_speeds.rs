//! Comparison of targets by their slowdowns: which target is too slow to get work, what to expect of
//! a target that has not run anything, and which target a task should wait for.

/// Slowdown up to which a target is not ejected, as a multiple of the median of all targets. A sound
/// target of speed 0.7 beside one of 1.7 reaches 2.4 times its slowdown, and more by the error of
/// estimates.
const MAX_RATIO_TO_MEDIAN: f64 = 1.5;
/// Bound of the median in that rule, as a multiple of the least slowdown. Otherwise targets would
/// not be ejected if most of them turned slow.
const MAX_MEDIAN_RATIO: f64 = 2.8;
/// Share of the targets, from the fastest, that is left out when speeds are compared.
const TAIL_SHARE: f64 = 0.15;
/// Ratio of the median slowdown to that of fast targets above which speeds count as uneven. The
/// median keeps a fault that slows a minority of equal targets from counting.
const UNEVEN_RATIO: f64 = 1.4;
/// Share of free capacity below which capacity counts as scarce.
const SCARCE_SHARE: f64 = 0.5;
/// Bounds of the slowdown that is expected of a target that has not run anything.
const EXPECTED_BOUNDS: (f64, f64) = (0.5, 2.0);
/// Longest predicted run that a task starts with, as a share of the time left. Covers part of the
/// error of estimates.
const LONGEST_RUN_SHARE: f64 = 0.8;
/// A task waits for a faster target only while a run on the fastest fits in this share of the time
/// left.
const FEASIBLE_SHARE: f64 = 0.85;
/// Least ratio of the run times on the free target and the fastest one for a task to wait.
const MIN_GAIN: f64 = 1.8;
/// Share of the time left within which a run is considered in time when a target is chosen.
const IN_TIME_SHARE: f64 = 0.9;

/// Slowdowns and free capacity of all targets, compared.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SpeedComparison {
    highest_usual: f64,
    are_uneven: bool,
    is_scarce: bool,
}

impl SpeedComparison {
    /// Compares targets with these slowdowns, of whose capacity this share is free.
    pub fn of(mut slowdowns: Vec<f64>, free_share: f64) -> Self {
        slowdowns.sort_by(f64::total_cmp);
        let Some(median) = median(&slowdowns) else {
            return Self::default();
        };
        let last = (slowdowns.len() - 1) as f64;
        let at = |share: f64| slowdowns[(last * share).round() as usize];
        Self {
            highest_usual: MAX_RATIO_TO_MEDIAN * median.min(MAX_MEDIAN_RATIO * slowdowns[0]),
            are_uneven: median > UNEVEN_RATIO * at(TAIL_SHARE),
            is_scarce: free_share < SCARCE_SHARE,
        }
    }

    /// Whether a target with this slowdown is slower than the usual differences explain.
    pub fn is_unusual(&self, slowdown: f64) -> bool {
        slowdown > self.highest_usual
    }

    /// The rules for a task. `is_bound` tells whether its run time depends on the distance from a
    /// rack, `time_left` is the time until its batch is due as a multiple of the estimate.
    pub fn for_task(&self, is_bound: bool, time_left: f64, least_slowdown: f64) -> TaskFit {
        let may_wait = self.are_uneven || is_bound;
        let is_feasible = least_slowdown <= FEASIBLE_SHARE * time_left;
        TaskFit {
            longest_run: if may_wait && is_feasible {
                (LONGEST_RUN_SHARE * time_left).max(MIN_GAIN * least_slowdown)
            } else {
                f64::MAX
            },
            in_time_run: if self.are_uneven && self.is_scarce {
                IN_TIME_SHARE * time_left
            } else {
                0.0
            },
            least_slowdown,
        }
    }
}

/// How the predicted run time on a target decides about a task, in multiples of its estimate.
#[derive(Debug, Clone, Copy)]
pub struct TaskFit {
    longest_run: f64,
    in_time_run: f64,
    least_slowdown: f64,
}

impl TaskFit {
    /// Whether the task would be late on this target, but can still be in time on a faster one. A
    /// task that would be late anywhere takes any target.
    pub fn should_wait(&self, slowdown: f64, distance: f64) -> bool {
        slowdown * distance > self.longest_run
    }

    /// Reduction of the target's cost. While capacity is scarce, a task that is in time on a slow
    /// target of its rack has no use for a fast one, which other tasks may need.
    pub fn cost_reduction(&self, slowdown: f64, is_far: bool) -> f64 {
        if is_far || slowdown > self.in_time_run {
            return 0.0;
        }
        (slowdown - self.least_slowdown).max(0.0)
    }
}

fn median(sorted: &[f64]) -> Option<f64> {
    sorted.get(sorted.len() / 2).copied()
}

/// Slowdown expected of a target by those of targets like it; 1 if there are none.
pub fn expected_slowdown(mut alike: Vec<f64>) -> f64 {
    alike.sort_by(f64::total_cmp);
    let median = median(&alike).unwrap_or(1.0);
    median.clamp(EXPECTED_BOUNDS.0, EXPECTED_BOUNDS.1)
}
