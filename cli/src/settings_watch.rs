//! Reads the settings file again when a hang-up says that it has changed, or its time of change
//! does.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use platform::settings::{CommonSettings, SettingsError};
use tokio::signal::unix::{SignalKind, signal};
use trestleknot_lib::events::{EventCode, LogEvent};

/// How often the file's time of change is looked at: the file may change without a signal, and
/// new seeds are wanted within seconds.
const LOOK_EVERY: Duration = Duration::from_secs(2);

/// A file and what it said when it was read last.
pub struct SettingsWatch {
    path: PathBuf,
    load: fn(&Path) -> Result<CommonSettings, SettingsError>,
    known: CommonSettings,
    changed_at: Option<SystemTime>,
}

impl SettingsWatch {
    /// Watches a file that said `known` when it was read.
    pub fn new(
        path: PathBuf,
        load: fn(&Path) -> Result<CommonSettings, SettingsError>,
        known: CommonSettings,
    ) -> Self {
        let changed_at = time_of_change(&path);
        Self {
            path,
            load,
            known,
            changed_at,
        }
    }

    /// Gives new seeds to `learn`. Never returns, unless signals can't be had.
    pub async fn run(mut self, learn: impl Fn(Vec<SocketAddr>)) {
        let Ok(mut hangup) = signal(SignalKind::hangup()) else {
            LogEvent::new(EventCode::SettingsReload, "cause=\"no signals\"").emit();
            return;
        };
        loop {
            tokio::select! {
                _ = hangup.recv() => {}
                () = tokio::time::sleep(LOOK_EVERY) => {
                    if time_of_change(&self.path) == self.changed_at {
                        continue;
                    }
                }
            }
            if let Some(seeds) = self.reload() {
                learn(seeds);
            }
        }
    }

    /// Reads the file; gives the seeds if they have changed.
    fn reload(&mut self) -> Option<Vec<SocketAddr>> {
        self.changed_at = time_of_change(&self.path);
        let fresh = match (self.load)(&self.path) {
            Ok(fresh) => fresh,
            Err(e) => {
                let detail = format!("cause=\"{e}\" change=none");
                LogEvent::new(EventCode::SettingsReload, detail).emit();
                return None;
            }
        };
        let before = std::mem::replace(&mut self.known, fresh);
        let has_new_seeds = before.seeds != self.known.seeds;
        let rest = CommonSettings {
            seeds: self.known.seeds.clone(),
            ..before
        };
        let at_next_start = rest != self.known;
        let detail = format!(
            "seeds={:?} new_seeds={has_new_seeds} more_at_next_start={at_next_start}",
            self.known.seeds
        );
        LogEvent::new(EventCode::SettingsReload, detail).emit();
        has_new_seeds.then(|| self.known.seeds.clone())
    }
}

/// None if the file is not there, which counts as a state like any other.
fn time_of_change(path: &Path) -> Option<SystemTime> {
    path.metadata().and_then(|m| m.modified()).ok()
}
