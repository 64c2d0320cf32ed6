//! Settings of the entry and agent daemons: JSON with comments, validated at startup.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt as _, Snafu, ensure};

use crate::json::{self, JsonError};

/// Why settings were rejected.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file could not be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The text could not be parsed.
    #[snafu(transparent)]
    Json {
        /// Position and cause.
        source: JsonError,
    },
    /// A value is invalid or out of range.
    #[snafu(display("{origin}: `{key}` is {found}: expected {expected}"))]
    Value {
        /// The file.
        origin: String,
        key: &'static str,
        /// The rejected value, or a description of it.
        found: String,
        /// Description of the valid values.
        expected: &'static str,
    },
}

/// Settings whose values are validated after parsing.
pub trait Checked: DeserializeOwned {
    /// Rejects invalid values. `origin` names the file.
    fn check(&self, origin: &str) -> Result<(), SettingsError>;
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name under which the VM list holds this VM.
    pub name: String,
    /// Data hall of the VM.
    pub hall: String,
    /// Listen address for callers, behind the load balancer.
    pub caller_listen: SocketAddr,
    /// Listen address for agents and other entries.
    pub agent_listen: SocketAddr,
    /// Listen address for operators: status, explain, metrics.
    pub operator_listen: SocketAddr,
    /// The `agent_listen` addresses of other entries, as far as known at startup.
    #[serde(default)]
    pub entries: Vec<SocketAddr>,
    /// Secret shared by all entries and agents of the fleet.
    pub fleet_secret: String,
    /// Base address of the log service.
    pub log_url: String,
    /// Base address of the VM list.
    pub vm_list_url: String,
    /// Threads that serve callers.
    #[serde(default = "default_http_workers")]
    pub http_workers: usize,
    /// Largest request body in bytes.
    #[serde(default = "default_body_limit")]
    pub body_limit: usize,
    /// Longest time that a stopping entry waits for its jobs, in milliseconds.
    #[serde(default = "default_drain_ms")]
    pub drain_limit_ms: u64,
    /// How long a permit (see [`crate::permit`]) is valid, in milliseconds.
    #[serde(default = "default_permit_ms")]
    pub permit_life_ms: u64,
    /// Interval at which the configuration is written to the log again, in milliseconds. Should be
    /// at most half of the log's retention, which isn't checked.
    #[serde(default = "default_snapshot_ms")]
    pub snapshot_every_ms: u64,
    /// Base address of an OTLP/HTTP collector for spans.
    #[serde(default)]
    pub otlp_url: Option<String>,
}

fn default_http_workers() -> usize {
    2
}

fn default_body_limit() -> usize {
    4 * 1024 * 1024
}

fn default_drain_ms() -> u64 {
    30_000
}

fn default_permit_ms() -> u64 {
    600_000
}

fn default_snapshot_ms() -> u64 {
    600_000
}

impl EntrySettings {
    /// Returns `drain_limit_ms` as a duration.
    pub fn drain_limit(&self) -> Duration {
        Duration::from_millis(self.drain_limit_ms)
    }
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Name under which the VM list holds this VM.
    pub name: String,
    /// Data hall of the VM.
    pub hall: String,
    /// Base address of the target on this VM.
    pub target_url: String,
    /// Number of tasks that the target runs concurrently.
    pub slots: u32,
    /// Memory of the target in MiB.
    pub memory_mib: u32,
    /// Accelerators of the target.
    #[serde(default)]
    pub accelerators: u32,
    /// The `agent_listen` addresses of some entries. The agent learns the others from these.
    pub entries: Vec<SocketAddr>,
    /// Secret shared by all entries and agents of the fleet.
    pub fleet_secret: String,
    /// Listen address for operators: metrics.
    pub operator_listen: SocketAddr,
    /// Longest time that a stopping agent waits for its runs, in milliseconds.
    #[serde(default = "default_drain_ms")]
    pub drain_limit_ms: u64,
    /// Base address of an OTLP/HTTP collector for spans.
    #[serde(default)]
    pub otlp_url: Option<String>,
}

const MIN_SECRET_BYTES: usize = 16;
const MAX_SLOTS: u32 = 4_096;

fn check_secret(origin: &str, secret: &str) -> Result<(), SettingsError> {
    ensure!(
        secret.len() >= MIN_SECRET_BYTES,
        ValueSnafu {
            origin,
            key: "fleet_secret",
            found: format!("{} bytes long", secret.len()),
            expected: "16 bytes or more",
        }
    );
    Ok(())
}

fn check_url(origin: &str, key: &'static str, url: &str) -> Result<(), SettingsError> {
    let address = url.strip_prefix("http://");
    let is_valid = address.is_some_and(|a| a.parse::<SocketAddr>().is_ok());
    ensure!(
        is_valid,
        ValueSnafu {
            origin,
            key,
            found: format!("`{url}`"),
            expected: "`http://IP:PORT`",
        }
    );
    Ok(())
}

fn check_name(origin: &str, key: &'static str, name: &str) -> Result<(), SettingsError> {
    ensure!(
        !name.trim().is_empty(),
        ValueSnafu {
            origin,
            key,
            found: "empty",
            expected: "a name",
        }
    );
    Ok(())
}

impl Checked for EntrySettings {
    fn check(&self, origin: &str) -> Result<(), SettingsError> {
        check_name(origin, "name", &self.name)?;
        check_name(origin, "hall", &self.hall)?;
        check_secret(origin, &self.fleet_secret)?;
        check_url(origin, "log_url", &self.log_url)?;
        check_url(origin, "vm_list_url", &self.vm_list_url)?;
        if let Some(url) = &self.otlp_url {
            check_url(origin, "otlp_url", url)?;
        }
        ensure!(
            (1..=64).contains(&self.http_workers),
            ValueSnafu {
                origin,
                key: "http_workers",
                found: self.http_workers.to_string(),
                expected: "1 to 64",
            }
        );
        Ok(())
    }
}

impl Checked for AgentSettings {
    fn check(&self, origin: &str) -> Result<(), SettingsError> {
        check_name(origin, "name", &self.name)?;
        check_name(origin, "hall", &self.hall)?;
        check_secret(origin, &self.fleet_secret)?;
        check_url(origin, "target_url", &self.target_url)?;
        if let Some(url) = &self.otlp_url {
            check_url(origin, "otlp_url", url)?;
        }
        ensure!(
            (1..=MAX_SLOTS).contains(&self.slots),
            ValueSnafu {
                origin,
                key: "slots",
                found: self.slots.to_string(),
                expected: "1 to 4096",
            }
        );
        ensure!(
            !self.entries.is_empty(),
            ValueSnafu {
                origin,
                key: "entries",
                found: "empty",
                expected: "at least one address",
            }
        );
        Ok(())
    }
}

/// Reads, parses and validates a settings file.
pub fn load<T: Checked>(path: &Path) -> Result<T, SettingsError> {
    let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
    parse(&path.display().to_string(), &text)
}

/// Parses and validates settings. `origin` names them in errors.
pub fn parse<T: Checked>(origin: &str, text: &str) -> Result<T, SettingsError> {
    let settings: T = json::parse(origin, text)?;
    settings.check(origin)?;
    Ok(settings)
}
