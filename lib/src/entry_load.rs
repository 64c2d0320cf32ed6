//! Load of an entry: utilization of its event loop and of its network link.
//!
//! An entry with a small share of a core can get more batches than it can process. It then reads
//! its input late and must not conclude from the lack of input that other processes are silent or
//! that targets are full. The driver samples its event loop and passes the samples to the core;
//! docs/design/entry-load.md explains what follows from them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::Now;

/// Age from which a sample says nothing about the present load.
const SAMPLE_TTL: Duration = Duration::from_millis(1_000);
/// Utilization above which an entry counts as starved.
const STARVED_UTILIZATION: f64 = 0.85;
/// How long the utilization must exceed [`STARVED_UTILIZATION`].
const STARVED_AFTER: Duration = Duration::from_millis(200);
/// Lag above which an entry counts as starved at once.
const STARVED_LAG: Duration = Duration::from_millis(50);
/// Utilization below which an entry recovers.
const RECOVERED_UTILIZATION: f64 = 0.6;
/// How long the utilization must stay below [`RECOVERED_UTILIZATION`].
const RECOVERED_AFTER: Duration = Duration::from_millis(500);
/// How long a lag is assumed to have delayed the input as well. The timer and the sockets of an
/// entry wait for the same thread.
const LAG_TTL: Duration = Duration::from_millis(500);
/// Largest share of a link that a report carries, in percent; its demand may exceed its rate.
const MAX_LINK_PERCENT: f64 = 1_000.0;

/// A sample of the event loop.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoopLoad {
    /// Share of the last 200 ms in which the thread was not waiting for events, 0 to 1. Includes
    /// time in which the system withheld the processor.
    pub busy_share: f64,
    /// How late the timer woke the thread.
    pub lag: Duration,
}

/// An entry's load as sent to its neighbours.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "(u16, u16)", from = "(u16, u16)")]
pub struct EntryLoadReport {
    /// Utilization of the event loop in percent.
    pub processor_percent: u16,
    /// Demand for the network link in percent of its rate; 0 if the rate is not known.
    pub link_percent: u16,
}

impl From<EntryLoadReport> for (u16, u16) {
    fn from(report: EntryLoadReport) -> Self {
        (report.processor_percent, report.link_percent)
    }
}

impl From<(u16, u16)> for EntryLoadReport {
    fn from((processor_percent, link_percent): (u16, u16)) -> Self {
        Self {
            processor_percent,
            link_percent,
        }
    }
}

/// A change of state for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StarvationChange {
    /// The state is the same.
    Unchanged,
    /// The entry has become starved.
    Starved,
    /// The entry is no longer starved.
    Recovered,
}

/// Load of this entry, from the samples of its event loop.
#[derive(Debug)]
pub struct EntryLoad {
    /// Whether the process's share of a core is limited. Otherwise, samples are ignored.
    is_limited: bool,
    latest: Option<(Now, LoopLoad)>,
    /// Time since which the utilization exceeds [`STARVED_UTILIZATION`].
    high_since: Option<Now>,
    /// Time since which the utilization is below [`RECOVERED_UTILIZATION`].
    low_since: Option<Now>,
    is_starved: bool,
    /// The largest recent lag and when it was measured.
    largest_lag: Option<(Now, Duration)>,
}

impl EntryLoad {
    /// Creates the load of a process with this share of a core. Without a share, the load stays
    /// unknown.
    pub fn new(processor_share: Option<f64>) -> Self {
        Self {
            is_limited: processor_share.is_some(),
            latest: None,
            high_since: None,
            low_since: None,
            is_starved: false,
            largest_lag: None,
        }
    }

    /// Records a sample and returns whether the entry became starved or recovered.
    pub fn record(&mut self, now: Now, load: LoopLoad) -> StarvationChange {
        if !self.is_limited {
            return StarvationChange::Unchanged;
        }
        let was_starved = self.is_starved;
        // The utilization during a gap between samples is not known.
        if self.utilization(now).is_none() {
            self.high_since = None;
            self.low_since = None;
        }
        self.latest = Some((now, load));
        if self.recent_lag(now) <= load.lag {
            self.largest_lag = Some((now, load.lag));
        }
        self.note_level(now, load);
        match (was_starved, self.is_starved) {
            (false, true) => StarvationChange::Starved,
            (true, false) => StarvationChange::Recovered,
            _ => StarvationChange::Unchanged,
        }
    }

    fn note_level(&mut self, now: Now, load: LoopLoad) {
        let is_late = load.lag > STARVED_LAG;
        note_since(
            &mut self.high_since,
            now,
            load.busy_share > STARVED_UTILIZATION,
        );
        let is_low = load.busy_share < RECOVERED_UTILIZATION && !is_late;
        note_since(&mut self.low_since, now, is_low);
        if is_late || has_lasted(self.high_since, now, STARVED_AFTER) {
            self.is_starved = true;
        } else if has_lasted(self.low_since, now, RECOVERED_AFTER) {
            self.is_starved = false;
        }
    }

    /// Utilization of the event loop, 0 to 1; `None` if not known.
    pub fn utilization(&self, now: Now) -> Option<f64> {
        Some(self.fresh(now)?.busy_share)
    }

    fn fresh(&self, now: Now) -> Option<LoopLoad> {
        let (at, load) = self.latest?;
        (at + SAMPLE_TTL > now).then_some(load)
    }

    /// Whether the entry lacks processor time. Unknown load counts as no.
    pub fn is_starved(&self, now: Now) -> bool {
        self.is_starved && self.fresh(now).is_some()
    }

    /// The largest recent lag. Input may be unread for that long.
    pub fn recent_lag(&self, now: Now) -> Duration {
        let recent = self.largest_lag.filter(|(at, _)| *at + LAG_TTL > now);
        recent.map_or(Duration::ZERO, |(_, lag)| lag)
    }

    /// Whether input may be unread for so long that its lack proves nothing.
    pub fn reads_late(&self, now: Now) -> bool {
        self.recent_lag(now) > STARVED_LAG
    }

    /// The report for the neighbours, with the demand for the link as a multiple of its rate;
    /// `None` if the utilization is not known.
    pub fn report(&self, now: Now, link_usage: f64) -> Option<EntryLoadReport> {
        let utilization = self.utilization(now)?;
        let link_percent = (link_usage * 100.0).min(MAX_LINK_PERCENT);
        Some(EntryLoadReport {
            processor_percent: (utilization * 100.0).round() as u16,
            link_percent: link_percent.round() as u16,
        })
    }
}

fn note_since(since: &mut Option<Now>, now: Now, holds: bool) {
    if holds {
        since.get_or_insert(now);
    } else {
        *since = None;
    }
}

fn has_lasted(since: Option<Now>, now: Now, time: Duration) -> bool {
    since.is_some_and(|since| since + time <= now)
}
