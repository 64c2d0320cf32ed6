//! The leases on its runs that an entry grants in its packets to agents.
//!
//! The break of a caller's connection may be among the input that the entry has not read yet, and the
//! caller returns to another entry a fixed time after the break. So a lease counts from the time until
//! which the input is read, plus at most `Timings::max_lease_lead`.

use std::collections::VecDeque;
use std::time::Duration;

use super::{BatchEntryCore, UNREAD_INPUT_GRACE};
use crate::events::EventCode;
use crate::ids::{Now, SessionId};
use crate::run::BatchId;
use crate::target_registry::TargetView;

/// Shortest time between two log events on late input.
const LATE_INPUT_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// How far an entry has read its input.
#[derive(Debug, Default)]
pub(super) struct InputProgress {
    /// All input that had arrived by this time is handled; none if the driver does not report it.
    read_until: Option<Now>,
    /// The driver's marks, from the one that counts for requests on: when each came, and until when all
    /// input was handled by then.
    marks: VecDeque<(Now, Now)>,
    /// Since when the input is read too late to renew leases in time.
    late_since: Option<Now>,
    /// When that was logged last.
    logged_at: Option<Now>,
}

impl InputProgress {
    /// Records that all input that had arrived by this time is handled.
    pub(super) fn note_mark(&mut self, now: Now, until: Now) {
        self.marks.push_back((now, until));
        while self.marks.get(1).is_some_and(|mark| is_settled(mark, now)) {
            self.marks.pop_front();
        }
        self.read_until = self.read_until.max(Some(until));
    }

    /// Until when all requests that had arrived are handled; none if the driver does not report it.
    fn requests_read_until(&self, now: Now) -> Option<Now> {
        let settled = self.marks.iter().rfind(|mark| is_settled(mark, now));
        let (_, until) = settled.or(self.marks.front())?;
        Some(*until)
    }

    /// Time since all input was read last.
    pub(super) fn age(&self, now: Now) -> Duration {
        let until = self.read_until.unwrap_or(now);
        now.saturating_sub(until)
    }

    /// Notes whether the input is older than `limit`, and returns for how long it has been.
    pub(super) fn note_age(&mut self, now: Now, limit: Duration) -> Duration {
        if self.age(now) <= limit {
            self.late_since = None;
            return Duration::ZERO;
        }
        now.saturating_sub(*self.late_since.get_or_insert(now))
    }

    /// Whether late input is to be logged again.
    fn is_log_due(&mut self, now: Now) -> bool {
        let is_due = self
            .logged_at
            .is_none_or(|at| at + LATE_INPUT_LOG_INTERVAL <= now);
        if is_due {
            self.logged_at = Some(now);
        }
        is_due
    }
}

/// Whether a mark counts for requests. Another thread accepts connections, and may be a little later than
/// the one that marks.
fn is_settled((at, _): &(Now, Now), now: Now) -> bool {
    *at + UNREAD_INPUT_GRACE <= now
}

impl BatchEntryCore {
    /// A request that is read at `now` arrived after this time; none if the driver does not report how
    /// far the input is read.
    pub fn requests_read_until(&self, now: Now) -> Option<Now> {
        self.input.requests_read_until(now)
    }

    /// When the caller of a request that is read now stops waiting, at the latest. A request may wait in
    /// the socket; its caller counts from when it sent it.
    pub(super) fn caller_deadline(&self, timeout: Duration) -> Now {
        let arrived_after = self.requests_read_until(self.now);
        arrived_after.unwrap_or(self.now).min(self.now) + timeout
    }

    /// Until when the caller of a request that is read now can't have come to another entry since it sent
    /// it. Callers return there after a fixed time at the soonest, whatever their time-out is.
    pub(super) fn proven_until(&self, max_age: Option<Duration>) -> Now {
        let returns_after = self.options.timings.caller_retry_interval;
        let left = max_age.and_then(|age| returns_after.checked_sub(age));
        left.map_or(Now::ZERO, |left| self.now + left)
    }

    /// Logs that leases can't be renewed in time, if that lasts.
    pub(super) fn check_input_age(&mut self) {
        let limit = self.options.timings.max_lease_lead;
        let late_for = self.input.note_age(self.now, limit);
        if late_for < self.options.timings.suspect_after || !self.input.is_log_due(self.now) {
            return;
        }
        let input_age_ms = self.input.age(self.now).as_millis();
        let late_for_ms = late_for.as_millis();
        let held = self.table.len();
        self.log(
            EventCode::InputReadLate,
            format!("input_age_ms={input_age_ms} late_for_ms={late_for_ms} held={held}"),
        );
    }

    /// The time from which leases in packets to agents may count now. Until the other entries are told of a
    /// closed batch, its runs depend on this entry alone, which may be lost.
    pub(super) fn lease_basis(&self) -> Now {
        let Some(read_until) = self.input.read_until else {
            return self.now;
        };
        let untold_since = self.directory.untold_since();
        let settled_until = untold_since.map_or(read_until, |since| since.min(read_until));
        self.now
            .min(settled_until + self.options.timings.max_lease_lead)
    }

    /// Whether to send a packet to an agent: its lease would count from a time that is later by enough, or
    /// the agent would take the link for silent without one.
    pub(super) fn is_renewal_due(&self, link: SessionId) -> bool {
        let pause = self.options.timings.max_answer_delay();
        let view = self.targets.get(link);
        let heartbeat = self.options.timings.heartbeat;
        let is_due = |v: &TargetView| {
            v.lease_basis + pause <= self.lease_basis() || v.sent + heartbeat <= self.now
        };
        self.unread_until.is_none() && view.is_some_and(is_due)
    }

    /// Renews the leases at the agents that have runs, without waiting for their packets to be read.
    pub(super) fn renew_leases(&mut self) {
        let has_runs = |link: SessionId| {
            let view = self.targets.get(link);
            view.is_some_and(|v| self.table.has_runs_at(&v.agent))
        };
        // Only the receivers know at which agents the runs are that this entry guarantees.
        let guarantees_runs = !self.giver.is_empty();
        let links = self.outboxes.iter();
        let links = links.filter(|(link, outbox)| {
            has_runs(**link) || (guarantees_runs && outbox.knows_guarantors)
        });
        let due = links.filter(|(link, _)| self.is_renewal_due(**link));
        for link in due.map(|(link, _)| *link).collect::<Vec<SessionId>>() {
            self.send_orders(link);
        }
    }

    /// Tells the other entries that runs of a closed batch may be left.
    pub(super) fn tell_runs_left(&mut self, id: BatchId) {
        let since = self.input.read_until.unwrap_or(self.now);
        self.directory.tell_runs_left(self.now, id);
        self.directory.note_untold(since);
    }
}
