//! Identity of a target's incarnation.
//!
//! A target that crashed may restart under the same name. It then has no runs and no state, and its
//! clock and the numbers of its reports and ends start again. Such numbers can be compared only
//! within one incarnation, which the name alone does not identify.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Name of a target. Calls state it, and any incarnation of that name answers them.
pub type TargetName = Arc<str>;
/// Start time of a target's incarnation, in milliseconds of the time of day on the target's VM.
/// Compared only for equality, because clocks may step.
pub type StartMillis = u64;

/// Identifies an incarnation of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetIncarnation {
    /// Name of the target.
    pub name: TargetName,
    /// Start time; none for targets that don't state one and take a new name for each incarnation.
    pub born: Option<StartMillis>,
}

impl TargetIncarnation {
    /// Whether lists requested by this name that state the start time `born` can be from this
    /// incarnation. Lists without a start time always can; lists with one can't be from an
    /// incarnation without.
    pub fn matches_born(&self, born: Option<StartMillis>) -> bool {
        match (self.born, born) {
            (Some(own), Some(stated)) => own == stated,
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
