//! The configuration that operators apply: one complete document in JSON with comments.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt as _, ResultExt as _, Snafu, ensure};

use crate::ids::TeamName;
use crate::json::{self, JsonError};
use crate::placement::PlacementMode;

/// Longest accepted lease in milliseconds.
const MAX_LEASE_MS: u32 = 60_000;
/// Shortest accepted lease in milliseconds; a lease is renewed three times while it lasts.
const MIN_LEASE_MS: u32 = 300;
/// Hexadecimal digits of a SHA-256.
const KEY_HASH_DIGITS: usize = 64;

/// A configuration document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Teams that may submit jobs, with their quotas.
    #[serde(default)]
    pub teams: BTreeMap<TeamName, Team>,
    /// How entries place tasks.
    #[serde(default)]
    pub placement: PlacementMode,
    /// Length of a task's lease on its target, in milliseconds.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u32,
    /// Most tasks that may wait at one entry.
    #[serde(default = "default_waiting")]
    pub max_waiting_tasks: u32,
    /// Longest deadline that a caller may request, in milliseconds.
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
    /// Most tasks in flight across the fleet.
    pub quota: u32,
}

/// Why a document was rejected or could not be encoded.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DocumentError {
    /// The text is not valid JSON of a document.
    #[snafu(transparent)]
    Json {
        /// Error of the parser, with its position.
        source: JsonError,
    },
    /// A value is not allowed.
    #[snafu(display("{origin}: `{key}` is {found}: expected {expected}"))]
    Value {
        /// Name of the document.
        origin: String,
        /// Path of the key.
        key: String,
        /// The rejected value.
        found: String,
        /// Description of the allowed values.
        expected: String,
    },
    /// The document could not be encoded.
    #[snafu(display("the document can't be encoded"))]
    Encode {
        /// Error of the encoder.
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
    /// Parses and validates a document; errors name it by `origin`.
    pub fn parse(origin: &str, text: &str) -> Result<Self, DocumentError> {
        let document: Self = json::parse(origin, text)?;
        document.check(origin)?;
        Ok(document)
    }

    /// Returns the canonical text, which is the same for equal documents.
    pub fn canonical(&self) -> Result<String, DocumentError> {
        serde_json::to_string(self).context(EncodeSnafu)
    }

    /// Length of a task's lease.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(u64::from(self.lease_ms))
    }

    fn check(&self, origin: &str) -> Result<(), DocumentError> {
        let lease_fits = (MIN_LEASE_MS..=MAX_LEASE_MS).contains(&self.lease_ms);
        ensure!(
            lease_fits,
            ValueSnafu {
                origin,
                key: "lease_ms",
                found: self.lease_ms.to_string(),
                expected: format!("{MIN_LEASE_MS} to {MAX_LEASE_MS}"),
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
        let is_digest = digits.clone().count() == KEY_HASH_DIGITS
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
