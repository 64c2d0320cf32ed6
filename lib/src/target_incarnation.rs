//! What tells one life of a target from another.
//!
//! A target that crashed may come back under the name that it had. It then runs nothing and knows
//! nothing of before, and all that it counts begins anew: the numbers of its reports and of its
//! ends, its clock. So a name is not enough to compare such numbers.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Name of a target. Calls name it; each life that bears it answers them.
pub type TargetName = Arc<str>;
/// When a life of a target began, in milliseconds of the time of day on the target's VM. Not
/// compared for order: clocks may step.
pub type BornMillis = u64;

/// One life of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetIncarnation {
    /// Its name.
    pub name: TargetName,
    /// When it began; none where targets do not say so and take a new name for each life.
    pub born: Option<BornMillis>,
}

impl TargetIncarnation {
    /// Whether lists that were asked for by this life's name, and whose teller began then, are this
    /// life's. Lists without a start prove nothing against it; a life without one is not a target
    /// that states its own.
    pub fn tells(&self, born: Option<BornMillis>) -> bool {
        match (self.born, born) {
            (Some(own), Some(told)) => own == told,
            (None, Some(_)) => false,
            (_, None) => true,
        }
    }
}

impl fmt::Display for TargetIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.born {
            Some(born) => write!(f, "{}@{born}", self.name),
            None => f.write_str(&self.name),
        }
    }
}
