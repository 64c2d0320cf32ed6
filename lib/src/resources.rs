//! Amounts of processor, memory and accelerators: what a task needs or a target offers.

use serde::{Deserialize, Serialize};

/// An amount of each kind of resource.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Processor, in thousandths of a core.
    #[serde(rename = "c")]
    pub cpu_millis: u64,
    /// Memory, in MiB.
    #[serde(rename = "m")]
    pub memory_mib: u64,
    /// Number of accelerators.
    #[serde(rename = "a")]
    pub accelerators: u64,
}

impl Resources {
    /// No resources.
    pub const NONE: Self = Self {
        cpu_millis: 0,
        memory_mib: 0,
        accelerators: 0,
    };

    /// Returns whether `capacity` covers this amount of every resource.
    pub fn fits_in(self, capacity: Self) -> bool {
        self.cpu_millis <= capacity.cpu_millis
            && self.memory_mib <= capacity.memory_mib
            && self.accelerators <= capacity.accelerators
    }

    /// Returns the sum of both amounts, saturating at the largest number.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Subtracts `other`, saturating at zero.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Multiplies each amount by `factor`, saturating at the largest number.
    #[must_use]
    pub fn times(self, factor: u64) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_mul(factor),
            memory_mib: self.memory_mib.saturating_mul(factor),
            accelerators: self.accelerators.saturating_mul(factor),
        }
    }

    /// Divides each amount by `parts`, rounding down. `parts` must not be 0.
    #[must_use]
    pub fn divided_by(self, parts: u64) -> Self {
        Self {
            cpu_millis: self.cpu_millis / parts,
            memory_mib: self.memory_mib / parts,
            accelerators: self.accelerators / parts,
        }
    }

    /// Returns how many times this fits in `capacity`; `u64::MAX` if all its amounts are 0.
    pub fn fit_count(self, capacity: Self) -> u64 {
        let kinds = [
            (self.cpu_millis, capacity.cpu_millis),
            (self.memory_mib, capacity.memory_mib),
            (self.accelerators, capacity.accelerators),
        ];
        let times = kinds.into_iter().filter(|(part, _)| *part > 0);
        times
            .map(|(part, capacity)| capacity / part)
            .min()
            .unwrap_or(u64::MAX)
    }

    /// Returns the largest share of any resource of `whole` that this takes: 0 to 1 if it fits.
    pub fn share_of(self, whole: Self) -> f64 {
        let shares = [
            (self.cpu_millis, whole.cpu_millis),
            (self.memory_mib, whole.memory_mib),
            (self.accelerators, whole.accelerators),
        ];
        let share = |(part, whole): (u64, u64)| {
            if part == 0 {
                0.0
            } else {
                part as f64 / whole.max(1) as f64
            }
        };
        shares.into_iter().map(share).fold(0.0, f64::max)
    }
}
