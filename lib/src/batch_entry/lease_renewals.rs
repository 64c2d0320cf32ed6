//! The time that an entry vouches for in its packets to agents.
//!
//! A packet tells an agent until when the entry's runs may go on. The break of a caller's connection
//! may be among the input that the entry has not read yet, and the caller returns to another entry a
//! fixed time after the break. So a packet vouches for no later time than the input that was read,
//! give or take `Timings::max_word_lead`.

use super::BatchEntryCore;
use crate::ids::{Now, SessionId};
use crate::run::BatchId;

/// How far an entry has read its input.
#[derive(Debug, Default)]
pub(super) struct InputProgress {
    /// All input that had arrived by this time is handled; none if the driver does not report it.
    read_until: Option<Now>,
}

impl InputProgress {
    /// Records that all input that had arrived by this time is handled.
    pub(super) fn note_read(&mut self, until: Now) {
        self.read_until = self.read_until.max(Some(until));
    }

    /// Records that no caller waits, so that no unread input can matter.
    pub(super) fn note_idle(&mut self, now: Now) {
        if self.read_until.is_some() {
            self.note_read(now);
        }
    }
}

impl BatchEntryCore {
    /// The time that packets to agents may vouch for now. Until the other entries are told of a
    /// closed batch, its runs depend on this entry alone, which may be lost.
    pub(super) fn vouched_time(&self) -> Now {
        let Some(read_until) = self.input.read_until else {
            return self.now;
        };
        let untold_since = self.directory.untold_since();
        let settled_until = untold_since.map_or(read_until, |since| since.min(read_until));
        self.now
            .min(settled_until + self.options.timings.max_word_lead)
    }

    /// Whether a packet to an agent would vouch for a time that is later by enough to send one.
    pub(super) fn is_word_due(&self, link: SessionId) -> bool {
        let pause = self.options.timings.max_answer_delay();
        let view = self.targets.get(link);
        self.unread_until.is_none()
            && view.is_some_and(|v| v.vouched + pause <= self.vouched_time())
    }

    /// Sends packets to the agents that have runs, without waiting for theirs to be read.
    pub(super) fn renew_words(&mut self) {
        let has_runs = |link: &SessionId| {
            let view = self.targets.get(*link);
            view.is_some_and(|v| !self.table.runs_at(&v.agent).is_empty())
        };
        let links = self.outboxes.keys().copied();
        let due = links.filter(|link| self.is_word_due(*link) && has_runs(link));
        for link in due.collect::<Vec<SessionId>>() {
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
