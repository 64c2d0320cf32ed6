//! Settings of the daemons: JSON with comments, checked before anything starts.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt as _, Snafu, ensure};

use crate::json::{self, JsonError};

/// Why settings were not accepted.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
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
        /// The key.
        key: &'static str,
        /// What stands there.
        found: String,
        /// What may stand there.
        expected: &'static str,
    },
}

/// Settings that are checked beyond their shape.
pub trait Checked: DeserializeOwned {
    /// Refuses impossible values; `origin` names the file.
    fn check(&self, origin: &str) -> Result<(), SettingsError>;
}

/// Settings of an entry.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of this VM's process, as on the VM list.
    pub name: String,
    /// Data hall of the VM.
    pub hall: String,
    /// Address for callers, behind the balancer.
    pub caller_listen: SocketAddr,
    /// Address for agents and other entries.
    pub agent_listen: SocketAddr,
    /// Address for operators: status, explain, metrics.
    pub operator_listen: SocketAddr,
    /// Addresses for agents of other entries known from the start.
    #[serde(default)]
    pub entries: Vec<SocketAddr>,
    /// The secret that all our processes share.
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
    /// Longest drain, in milliseconds.
    #[serde(default = "default_drain_ms")]
    pub drain_limit_ms: u64,
    /// Life of a permit, in milliseconds.
    #[serde(default = "default_permit_ms")]
    pub permit_life_ms: u64,
    /// How often the configuration is written to the log again, in milliseconds; at most half
    /// of the log's retention.
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
    /// Longest drain.
    pub fn drain_limit(&self) -> Duration {
        Duration::from_millis(self.drain_limit_ms)
    }
}

/// Settings of an agent.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Name of this VM's process, as on the VM list.
    pub name: String,
    /// Data hall of the VM.
    pub hall: String,
    /// Base address of the target on this VM.
    pub target_url: String,
    /// Tasks that the target takes at a time.
    pub slots: u32,
    /// Memory of the target in MiB.
    pub memory_mib: u32,
    /// Accelerators of the target.
    #[serde(default)]
    pub accelerators: u32,
    /// Addresses for agents of entries; the others are learned from these.
    pub entries: Vec<SocketAddr>,
    /// The secret that all our processes share.
    pub fleet_secret: String,
    /// Address for operators: metrics.
    pub operator_listen: SocketAddr,
    /// Longest drain, in milliseconds.
    #[serde(default = "default_drain_ms")]
    pub drain_limit_ms: u64,
    /// Base address of an OTLP/HTTP collector for spans.
    #[serde(default)]
    pub otlp_url: Option<String>,
}

/// Shortest fleet secret in bytes.
const LEAST_SECRET: usize = 16;
/// Most slots of a target.
const MOST_SLOTS: u32 = 4_096;

fn check_secret(origin: &str, secret: &str) -> Result<(), SettingsError> {
    ensure!(
        secret.len() >= LEAST_SECRET,
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
    let fits = address.is_some_and(|a| a.parse::<SocketAddr>().is_ok());
    ensure!(
        fits,
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
            (1..=MOST_SLOTS).contains(&self.slots),
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

/// Reads and checks a file of settings.
pub fn load<T: Checked>(path: &Path) -> Result<T, SettingsError> {
    let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
    parse(&path.display().to_string(), &text)
}

/// Parses and checks settings; `origin` names them in errors.
pub fn parse<T: Checked>(origin: &str, text: &str) -> Result<T, SettingsError> {
    let settings: T = json::parse(origin, text)?;
    settings.check(origin)?;
    Ok(settings)
}
