//! The configuration that operators apply: one whole document in JSON with comments.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt as _, ResultExt as _, Snafu, ensure};

use crate::ids::TeamName;
use crate::json::{self, JsonError};
use crate::placement::PlacementMode;

/// Longest lease that is accepted.
const MOST_LEASE_MS: u32 = 60_000;
/// Shortest lease that is accepted; renewals go out three times a lease.
const LEAST_LEASE_MS: u32 = 300;
/// Hexadecimal digits of a SHA-256.
const KEY_DIGITS: usize = 64;

/// A configuration document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Who may submit, and how much.
    #[serde(default)]
    pub teams: BTreeMap<TeamName, Team>,
    /// How entries place tasks.
    #[serde(default)]
    pub placement: PlacementMode,
    /// Length of a task's lease on its target, in milliseconds.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u32,
    /// Most tasks that wait at one entry.
    #[serde(default = "default_waiting")]
    pub max_waiting_tasks: u32,
    /// Longest deadline a caller may ask for, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub max_deadline_ms: u64,
}

fn default_lease_ms() -> u32 {
    3_000
}

fn default_waiting() -> u32 {
    20_000
}

fn default_deadline_ms() -> u64 {
    60_000
}

/// A team that submits jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// SHA-256 of the team's key, in hexadecimal.
    pub key_sha256: String,
    /// Most tasks in flight in the whole fleet.
    pub quota: u32,
}

/// Why a document was not accepted.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DocumentError {
    /// It does not parse.
    #[snafu(transparent)]
    Json {
        /// Place and cause.
        source: JsonError,
    },
    /// A value can't be.
    #[snafu(display("{origin}: `{key}` is {found}: expected {expected}"))]
    Value {
        /// The file.
        origin: String,
        /// Path of the key.
        key: String,
        /// What stands there.
        found: String,
        /// What may stand there.
        expected: String,
    },
    /// It can't be written.
    #[snafu(display("the document can't be encoded"))]
    Encode {
        /// Cause.
        source: serde_json::Error,
    },
}

impl Default for Document {
    fn default() -> Self {
        Self {
            teams: BTreeMap::new(),
            placement: PlacementMode::default(),
            lease_ms: default_lease_ms(),
            max_waiting_tasks: default_waiting(),
            max_deadline_ms: default_deadline_ms(),
        }
    }
}

impl Document {
    /// Reads a document; `origin` names it in errors.
    pub fn parse(origin: &str, text: &str) -> Result<Self, DocumentError> {
        let document: Self = json::parse(origin, text)?;
        document.check(origin)?;
        Ok(document)
    }

    /// The text that goes to the log: the same for equal documents.
    pub fn canonical(&self) -> Result<String, DocumentError> {
        serde_json::to_string(self).context(EncodeSnafu)
    }

    /// Length of a lease.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(u64::from(self.lease_ms))
    }

    fn check(&self, origin: &str) -> Result<(), DocumentError> {
        let lease_fits = (LEAST_LEASE_MS..=MOST_LEASE_MS).contains(&self.lease_ms);
        ensure!(
            lease_fits,
            ValueSnafu {
                origin,
                key: "lease_ms",
                found: self.lease_ms.to_string(),
                expected: format!("{LEAST_LEASE_MS} to {MOST_LEASE_MS}"),
            }
        );
        for (name, team) in &self.teams {
            team.check(origin, name)?;
        }
        self.check_keys_differ(origin)
    }

    fn check_keys_differ(&self, origin: &str) -> Result<(), DocumentError> {
        let mut owners: BTreeMap<&str, &TeamName> = BTreeMap::new();
        for (name, team) in &self.teams {
            if let Some(other) = owners.insert(&team.key_sha256, name) {
                return ValueSnafu {
                    origin,
                    key: format!("teams.{name}.key_sha256"),
                    found: format!("the same as that of `{other}`"),
                    expected: "a key of its own",
                }
                .fail();
            }
        }
        Ok(())
    }
}

impl Team {
    fn check(&self, origin: &str, name: &str) -> Result<(), DocumentError> {
        let digits = self.key_sha256.chars();
        let is_digest = digits.clone().count() == KEY_DIGITS
            && digits.clone().all(|c| matches!(c, '0'..='9' | 'a'..='f'));
        ensure!(
            is_digest,
            ValueSnafu {
                origin,
                key: format!("teams.{name}.key_sha256"),
                found: format!("`{}`", self.key_sha256),
                expected: "64 lower-case hexadecimal digits",
            }
        );
        (self.quota > 0).then_some(()).context(ValueSnafu {
            origin,
            key: format!("teams.{name}.quota"),
            found: "0",
            expected: "1 or more",
        })
    }
}
