//! What a task needs and a target has: processor, memory, accelerators.

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
    /// Accelerators.
    #[serde(rename = "a")]
    pub accelerators: u64,
}

impl Resources {
    /// Nothing of anything.
    pub const NONE: Self = Self {
        cpu_millis: 0,
        memory_mib: 0,
        accelerators: 0,
    };

    /// Whether `room` holds all of this.
    pub fn fits_in(self, room: Self) -> bool {
        self.cpu_millis <= room.cpu_millis
            && self.memory_mib <= room.memory_mib
            && self.accelerators <= room.accelerators
    }

    /// Both amounts together.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis + other.cpu_millis,
            memory_mib: self.memory_mib + other.memory_mib,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// What is left after taking `other` away; never below nothing.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// This many times as much.
    #[must_use]
    pub fn times(self, factor: u64) -> Self {
        Self {
            cpu_millis: self.cpu_millis * factor,
            memory_mib: self.memory_mib * factor,
            accelerators: self.accelerators * factor,
        }
    }

    /// An equal part of this, rounded down. `parts` must not be 0.
    #[must_use]
    pub fn divided_by(self, parts: u64) -> Self {
        Self {
            cpu_millis: self.cpu_millis / parts,
            memory_mib: self.memory_mib / parts,
            accelerators: self.accelerators / parts,
        }
    }

    /// How many times this fits in `room`; without end if it is nothing.
    pub fn times_in(self, room: Self) -> u64 {
        let kinds = [
            (self.cpu_millis, room.cpu_millis),
            (self.memory_mib, room.memory_mib),
            (self.accelerators, room.accelerators),
        ];
        let times = kinds.into_iter().filter(|(part, _)| *part > 0);
        times
            .map(|(part, room)| room / part)
            .min()
            .unwrap_or(u64::MAX)
    }

    /// The largest share that this takes of any resource of `whole`, from 0 to 1 where it fits.
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
