//! Reloads the settings file on SIGHUP or when its modification time changes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use platform::settings::{CommonSettings, SettingsError};
use tokio::signal::unix::{SignalKind, signal};
use trestleknot_lib::events::{EventCode, LogEvent};

/// How often the modification time is checked. The file may change without a signal, and new seeds
/// are needed within seconds.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Watches a settings file for new seeds.
pub struct SettingsWatch {
    path: PathBuf,
    load: fn(&Path) -> Result<CommonSettings, SettingsError>,
    current: CommonSettings,
    modified_at: Option<SystemTime>,
}

impl SettingsWatch {
    /// Watches a file. `current` holds the settings that were read from it.
    pub fn new(
        path: PathBuf,
        load: fn(&Path) -> Result<CommonSettings, SettingsError>,
        current: CommonSettings,
    ) -> Self {
        let modified_at = modification_time(&path);
        Self {
            path,
            load,
            current,
            modified_at,
        }
    }

    /// Passes new seeds to `on_new_seeds`. Returns only if the signal handler can't be installed.
    pub async fn run(mut self, on_new_seeds: impl Fn(Vec<SocketAddr>)) {
        let Ok(mut hangup) = signal(SignalKind::hangup()) else {
            LogEvent::new(
                EventCode::SettingsReload,
                "cause=\"can't install the SIGHUP handler\"",
            )
            .emit();
            return;
        };
        loop {
            tokio::select! {
                _ = hangup.recv() => {}
                () = tokio::time::sleep(POLL_INTERVAL) => {
                    if modification_time(&self.path) == self.modified_at {
                        continue;
                    }
                }
            }
            if let Some(seeds) = self.reload() {
                on_new_seeds(seeds);
            }
        }
    }

    /// Reloads the file. Returns the seeds if they have changed.
    fn reload(&mut self) -> Option<Vec<SocketAddr>> {
        self.modified_at = modification_time(&self.path);
        let reloaded = match (self.load)(&self.path) {
            Ok(reloaded) => reloaded,
            Err(e) => {
                let detail = format!("cause=\"{e}\" change=none");
                LogEvent::new(EventCode::SettingsReload, detail).emit();
                return None;
            }
        };
        let before = std::mem::replace(&mut self.current, reloaded);
        let has_new_seeds = before.seeds != self.current.seeds;
        let before_with_new_seeds = CommonSettings {
            seeds: self.current.seeds.clone(),
            ..before
        };
        let needs_restart = before_with_new_seeds != self.current;
        let detail = format!(
            "seeds={:?} new_seeds={has_new_seeds} more_at_next_start={needs_restart}",
            self.current.seeds
        );
        LogEvent::new(EventCode::SettingsReload, detail).emit();
        has_new_seeds.then(|| self.current.seeds.clone())
    }
}

/// Returns the modification time, or None if the file is absent. A file that appears or disappears
/// thus counts as changed.
fn modification_time(path: &Path) -> Option<SystemTime> {
    path.metadata().and_then(|m| m.modified()).ok()
}
