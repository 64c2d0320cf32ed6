//! The agent's lease on its target: fencing token, the target's clock and renewals.
//!
//! One renewal extends the lease of all runs on the target. Its answer lists the current runs and
//! the ended ones, and is the only authority on both.

use std::collections::BTreeSet;
use std::time::Duration;

pub use crate::end_numbers::EndNumber;
use crate::end_numbers::{Acknowledgement, EndNumbers};
use crate::ids::Now;
use crate::run::RunKey;
use crate::run_table::FencingToken;
use crate::target_incarnation::{StartMillis, TargetIncarnation};
use crate::timings::Timings;

/// Milliseconds on a target's clock.
pub type TargetMillis = u64;

/// Added to a token that the target refuses as too low. Tokens are derived from the time of day in
/// milliseconds; the step exceeds the expected difference between clocks.
const TOKEN_STEP: FencingToken = 10_000;
/// By how much the token may exceed the highest one that the target is known to have seen when a
/// start is sent. Each unanswered start raises it once, and few are in flight.
const MAX_UNSEEN_RAISES: FencingToken = 16;
/// Shortest wait for an end of a renewal that waits at all.
const MIN_WAIT: Duration = Duration::from_millis(20);
/// How long an answer may take beyond the requested wait before its connection is closed.
const ANSWER_SLACK: Duration = Duration::from_millis(120);
/// Period after a lost answer in which renewals wait only [`LOSSY_WAIT`], to detect another loss
/// sooner.
const LOSSY_PERIOD: Duration = Duration::from_secs(2);
/// Longest wait of a renewal during [`LOSSY_PERIOD`].
const LOSSY_WAIT: Duration = Duration::from_millis(20);
/// Pause before a refused renewal is retried. After unanswered renewals it is multiplied by the
/// number of consecutive ones less one.
const RETRY_PAUSE: Duration = Duration::from_millis(30);
/// Largest factor of [`RETRY_PAUSE`].
const MAX_PAUSES: u32 = 7;
/// Least number of renewals in the time of a lease.
const RENEWALS_PER_LEASE: u32 = 3;
/// Pause before the lists are read again while they hold ends that can't be acknowledged yet. The
/// target does not wait then, but answers at once.
const UNACKNOWLEDGED_PAUSE: Duration = Duration::from_millis(20);
/// Consecutive unanswered renewals before the target may count as silent.
const MIN_SILENT_CALLS: u32 = 2;
/// Time without an answer before the target may count as silent.
const MIN_SILENCE: Duration = Duration::from_millis(240);

/// Age at which the target's clock is read again although nothing runs. By then the clock may be 40
/// ms behind, by which the next lease is shorter on a sound clock.
const MAX_CLOCK_AGE: Duration = Duration::from_secs(2);

/// Extension of the lease that a call asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Extension {
    /// None: the call only queries the lists.
    None,
    /// The usual length.
    Full,
    /// The usual length, but so that all runs have ended by this time if it is the last one.
    EndsBy(Now),
}

/// A renewal to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Renewal {
    /// Number that matches an answer to its renewal.
    pub number: u64,
    /// Fencing token that it is sent with.
    pub token: FencingToken,
    /// New end of the lease on the target's clock; none for a query, which renews nothing.
    pub until: Option<TargetMillis>,
    /// Start time of the incarnation whose clock `until` refers to, if it states one. No other
    /// incarnation may carry out a call that extends the lease.
    pub born: Option<StartMillis>,
    /// Acknowledges the ends up to this number; zero unless they were listed just now.
    pub last_seen: EndNumber,
    /// How long the target may wait for an end before it answers.
    pub wait: Duration,
    /// How long until the answer counts as lost.
    pub timeout: Duration,
}

/// A run that the target listed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedRun {
    /// Key of the run.
    pub key: RunKey,
    /// Progress of the run in percent.
    pub percent: u32,
}

#[derive(Debug, Clone, Copy)]
struct InFlight {
    number: u64,
    sent_at: Now,
    token: FencingToken,
    /// How long the target may wait before it answers.
    wait: Duration,
}

/// A renewal that was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answered {
    /// When it was sent.
    pub sent_at: Now,
    /// Fencing token that it was sent with.
    pub token: FencingToken,
}

/// The agent's side of its target's lease: which renewals are due, and when all runs have lapsed.
#[derive(Debug)]
pub struct TargetLease {
    timings: Timings,
    token: FencingToken,
    /// Highest token with which the target has answered; none in its present incarnation yet.
    seen: Option<FencingToken>,
    /// First token that the target accepted from this incarnation of the agent.
    first_accepted: Option<FencingToken>,
    /// Last known time on the target's clock, and when it was received.
    clock: Option<(TargetMillis, Now)>,
    /// When the incarnation whose lists were last read began.
    born: Option<StartMillis>,
    ends: EndNumbers,
    /// When the lists were last read.
    listed_at: Option<Now>,
    /// What those lists allow to acknowledge.
    acknowledgement: EndNumber,
    /// When the lists are read again, if they hold ends that were not acknowledged.
    relist_at: Option<Now>,
    in_flight: Option<InFlight>,
    next_number: u64,
    /// First number of a renewal to the target's current incarnation.
    first_number: u64,
    retry_at: Option<Now>,
    lapses_at: Now,
    /// Whether a lease was asked of the target's current incarnation.
    has_asked: bool,
    silent_calls: u32,
    /// When the target last answered.
    last_answer_at: Now,
    /// Whether both [`MIN_SILENT_CALLS`] and [`MIN_SILENCE`] were reached.
    is_silent: bool,
    /// Whether the target has refused a connection since it last answered.
    is_refused: bool,
    /// Whether a renewal has timed out since the target last answered.
    has_timed_out: bool,
    lossy_until: Now,
}

impl TargetLease {
    /// Creates a lease for a target that has not answered yet.
    pub fn new(now: Now, timings: &Timings, token: FencingToken) -> Self {
        let mut lease = Self {
            timings: *timings,
            token,
            seen: None,
            first_accepted: None,
            clock: None,
            born: None,
            ends: EndNumbers::default(),
            listed_at: None,
            acknowledgement: 0,
            relist_at: None,
            in_flight: None,
            next_number: 1,
            first_number: 1,
            retry_at: None,
            lapses_at: now,
            has_asked: false,
            silent_calls: 0,
            last_answer_at: now,
            is_silent: false,
            is_refused: false,
            has_timed_out: false,
            lossy_until: Now::ZERO,
        };
        // An earlier incarnation of the agent may have renewed just before it ended.
        lease.note_renewed(now, timings.target_lease);
        lease
    }

    /// Returns the token for starts, stops and renewals.
    ///
    /// An earlier incarnation of the agent may have sent starts whose tokens exceed what the target has
    /// seen by up to [`MAX_UNSEEN_RAISES`]. So the first token only has to be accepted, and later ones
    /// exceed it by more than that. That one was derived from a later time of day proves nothing, as
    /// that time may step back.
    pub fn token(&self) -> FencingToken {
        if self.first_accepted.is_some() {
            return self.token;
        }
        self.token.saturating_sub(MAX_UNSEEN_RAISES + 1)
    }

    /// Records that the target has accepted the present token or a lower one of this incarnation of the
    /// agent.
    pub fn note_accepted(&mut self) {
        let token = self.token();
        let first = *self.first_accepted.get_or_insert(token);
        self.token = self.token.max(first + MAX_UNSEEN_RAISES + 1);
    }

    /// Records that the target has accepted a call with this token.
    pub fn note_seen(&mut self, token: FencingToken) {
        self.note_accepted();
        self.seen = self.seen.max(Some(token));
    }

    /// Whether a target that has seen this token refuses all starts of earlier incarnations of the agent.
    pub fn keeps_out_earlier(&self, token: FencingToken) -> bool {
        let first = self.first_accepted;
        first.is_some_and(|first| token > first + MAX_UNSEEN_RAISES)
    }

    /// Whether the token exceeds what the target has seen by so little that starts may be sent with it.
    pub fn is_token_seen(&self) -> bool {
        let seen = self.seen;
        seen.is_some_and(|seen| self.token <= seen + MAX_UNSEEN_RAISES)
    }

    /// Raises the token for all further calls. Once the target has seen the new one, it refuses
    /// earlier calls that arrive later.
    pub fn raise_token(&mut self) {
        self.token += 1;
    }

    /// Raises the token above one that an earlier incarnation of the agent sent to the target.
    pub fn raise_token_past(&mut self, refused: FencingToken) {
        let present = self.token();
        if refused >= present {
            self.token += refused - present + TOKEN_STEP;
        }
    }

    /// Records the target's clock from an answer.
    pub fn learn_clock(&mut self, now: Now, clock: TargetMillis) {
        self.clock = Some((clock, now));
        self.note_answer(now);
    }

    /// Whether the clock and the token are those of this incarnation.
    pub fn is_of(&self, incarnation: &TargetIncarnation) -> bool {
        incarnation.matches_born(self.born)
    }

    /// Whether lists come from another incarnation than those that were last read.
    pub fn is_other_incarnation(&self, born: Option<StartMillis>) -> bool {
        matches!((self.born, born), (Some(known), Some(told)) if known != told)
    }

    /// Records that the lists of this incarnation are read now.
    pub fn note_incarnation(&mut self, now: Now, born: Option<StartMillis>) {
        self.born = born.or(self.born);
        self.listed_at = Some(now);
        self.acknowledgement = 0;
    }

    /// Records that the target answered.
    pub fn note_answer(&mut self, now: Now) {
        self.silent_calls = 0;
        self.last_answer_at = now;
        self.is_silent = false;
        self.is_refused = false;
        self.has_timed_out = false;
    }

    /// Records that a connection was refused, so that no process listens there.
    pub fn note_refused(&mut self) {
        self.is_refused = true;
    }

    /// Whether connections were refused since the target last answered.
    pub fn is_refused(&self) -> bool {
        self.is_refused
    }

    /// Whether a renewal has timed out since the target last answered. A process that crashes does
    /// not cause that: its connections break at once, and new ones are refused.
    pub fn has_timed_out(&self) -> bool {
        self.has_timed_out
    }

    /// Records a renewal now and returns the end of its lease on the target's clock. The runs must
    /// have ended by `ends_by`, if given. Returns none if the clock is unknown or no time is left.
    ///
    /// The lease counts from the earliest time that the target's clock may show. A slow clock that
    /// was last read long ago would otherwise reach the end later than [`Self::lapses_at`].
    pub fn renew_until(&mut self, now: Now, ends_by: Option<Now>) -> Option<TargetMillis> {
        let (clock, at) = self.clock?;
        let length = self.length_until(now, ends_by);
        if length.is_zero() {
            return None;
        }
        let elapsed = now.saturating_sub(at);
        let advance = self.timings.least_clock_advance(elapsed) + length;
        self.note_renewed(now, length);
        self.has_asked = true;
        Some(clock.saturating_add(advance.as_millis() as u64))
    }

    /// When the target's clock is to be read again; none if it is unknown or a renewal is in flight.
    pub fn clock_due_at(&self) -> Option<Now> {
        let (_, at) = self.clock.filter(|_| self.in_flight.is_none())?;
        let due_at = at + MAX_CLOCK_AGE;
        Some(self.retry_at().map_or(due_at, |retry| retry.max(due_at)))
    }

    fn is_clock_old(&self, now: Now) -> bool {
        self.clock.is_none_or(|(_, at)| at + MAX_CLOCK_AGE <= now)
    }

    fn length_until(&self, now: Now, ends_by: Option<Now>) -> Duration {
        let length = self.timings.target_lease;
        ends_by.map_or(length, |ends_by| {
            let time = ends_by.saturating_sub(now);
            self.timings.longest_lease_within(time)
        })
    }

    fn note_renewed(&mut self, now: Now, length: Duration) {
        let lapses_at = now + self.timings.lapse_of(length);
        self.lapses_at = self.lapses_at.max(lapses_at);
    }

    /// Records that a run goes on although the lease should have lapsed: the target's clock stood still
    /// for an unknown time.
    pub fn note_outlasted(&mut self, now: Now) {
        self.lapses_at = self.lapses_at.max(now + self.timings.lapse);
    }

    /// When all runs on the target have lapsed if no more renewals are sent.
    pub fn lapses_at(&self) -> Now {
        self.lapses_at
    }

    /// Records that the target's clock may have stopped for this long. The clock is unknown until
    /// the next answer.
    pub fn suspended(&mut self, time: Duration) {
        self.lapses_at += time;
        self.clock = None;
    }

    /// Whether the last call was not answered. No run is started and no lease is extended then, so
    /// that the runs of a lost target lapse sooner.
    pub fn has_unanswered_call(&self) -> bool {
        self.silent_calls > 0
    }

    /// Whether the target has left calls unanswered for some time.
    pub fn is_silent(&self) -> bool {
        self.is_silent
    }

    /// Whether a renewal was sent to an earlier incarnation of the target. Its answer may hold the
    /// clock and the ends of that incarnation.
    pub fn is_of_past_incarnation(&self, number: u64) -> bool {
        number < self.first_number
    }

    /// Number of the next renewal or query.
    pub fn next_number(&self) -> u64 {
        self.next_number
    }

    /// Returns a query of the lists, which renews nothing and acknowledges no end.
    pub fn query(&mut self) -> Renewal {
        let number = self.next_number;
        self.next_number += 1;
        Renewal {
            number,
            token: self.token(),
            until: None,
            born: None,
            last_seen: 0,
            wait: Duration::ZERO,
            timeout: ANSWER_SLACK,
        }
    }

    /// Records that the renewal in flight was not answered; ignores any other number. The next
    /// renewal is due at once after the first such failure, and after a pause otherwise.
    pub fn unanswered(&mut self, now: Now, number: u64) {
        if self.in_flight.is_none_or(|f| f.number != number) {
            return;
        }
        self.silent_calls += 1;
        self.is_silent |=
            self.silent_calls >= MIN_SILENT_CALLS && self.last_answer_at + MIN_SILENCE <= now;
        self.lossy_until = now + LOSSY_PERIOD;
        let pauses = self.silent_calls - 1;
        self.pause(now, number, pauses.min(MAX_PAUSES));
    }

    /// Records that the renewal in flight was not answered in time; ignores any other number.
    pub fn timed_out(&mut self, now: Now, number: u64) {
        self.has_timed_out |= self.in_flight.is_some_and(|f| f.number == number);
        self.unanswered(now, number);
    }

    /// When the renewal in flight is overdue, and its number. An answer may take `limit` beyond the
    /// requested wait.
    pub fn overdue_at(&self, limit: Duration) -> Option<(Now, u64)> {
        let in_flight = self.in_flight?;
        let at = in_flight.sent_at + in_flight.wait + limit;
        Some((at, in_flight.number))
    }

    /// Whether an end was not seen before; marks it as seen.
    pub fn mark_end_seen(&mut self, number: EndNumber) -> bool {
        self.ends.note(number)
    }

    /// Records the numbers of all ends in lists that were read now. The next renewal acknowledges them
    /// if it is sent now.
    pub fn note_listed_ends(&mut self, now: Now, listed: &BTreeSet<EndNumber>) -> Acknowledgement {
        let acknowledgement = self.ends.acknowledge(listed);
        self.acknowledgement = acknowledgement.up_to;
        self.relist_at = if acknowledgement.is_complete {
            None
        } else if acknowledgement.up_to > 0 {
            Some(now)
        } else {
            Some(now + UNACKNOWLEDGED_PAUSE)
        };
        acknowledgement
    }

    /// Records that another incarnation of the target has answered. Calls to the earlier one may have
    /// reached it, and have asked for a lease by the earlier one's clock, which the target has cut to
    /// the longest one. A higher token keeps out those that are still on their way.
    pub fn incarnation_changed(&mut self, now: Now) {
        if !std::mem::take(&mut self.has_asked) {
            return;
        }
        self.raise_token();
        self.note_renewed(now, self.timings.target_lease);
    }

    /// Forgets the clock and the end numbers of an earlier incarnation of the target, after the
    /// current one answered renewal `number`. Answers to earlier renewals may be the earlier one's.
    pub fn forget_ends(&mut self, number: u64) {
        self.seen = None;
        self.clock = None;
        self.born = None;
        self.forget_end_numbers();
        self.first_number = number;
    }

    fn forget_end_numbers(&mut self) {
        self.ends = EndNumbers::default();
        self.acknowledgement = 0;
        self.relist_at = None;
    }

    /// Forgets all state of an earlier incarnation of the target, renewals in flight included.
    pub fn reset_incarnation(&mut self) {
        self.seen = None;
        self.clock = None;
        self.born = None;
        self.forget_end_numbers();
        self.first_number = self.next_number;
        self.in_flight = None;
        self.retry_at = None;
        self.silent_calls = 0;
        self.is_silent = false;
        self.is_refused = false;
        self.has_timed_out = false;
    }

    /// Returns the next renewal, unless one is in flight or a pause lasts. `max_wait` limits the
    /// wait for an end.
    pub fn next_renewal(
        &mut self,
        now: Now,
        max_wait: Duration,
        extension: Extension,
    ) -> Option<Renewal> {
        if self.in_flight.is_some() || self.retry_at().is_some_and(|at| at > now) {
            return None;
        }
        // A call that reads the clock and one that tests the target after an unanswered call don't
        // wait for an end. The target doesn't wait either while it lists ends.
        let reads_at_once =
            self.is_clock_old(now) || self.silent_calls > 0 || self.relist_at.is_some();
        let wait = if reads_at_once {
            Duration::ZERO
        } else if self.lossy_until > now {
            max_wait.clamp(MIN_WAIT, LOSSY_WAIT)
        } else {
            max_wait.clamp(MIN_WAIT, self.timings.renewal_wait)
        };
        Some(self.send(now, extension, wait))
    }

    /// Returns a renewal that does not wait, even if another one is in flight.
    pub fn renew_now(&mut self, now: Now, extension: Extension) -> Renewal {
        self.send(now, extension, Duration::ZERO)
    }

    fn send(&mut self, now: Now, extension: Extension, wait: Duration) -> Renewal {
        self.retry_at = None;
        self.relist_at = None;
        // A target that may be lost is only queried: its leases must lapse to end its runs.
        let until = match extension {
            Extension::None => None,
            _ if self.has_unanswered_call() => None,
            Extension::Full => self.renew_until(now, None),
            Extension::EndsBy(ends_by) => self.renew_until(now, Some(ends_by)),
        };
        // A short lease is renewed sooner.
        let wait = match (extension, until) {
            (Extension::EndsBy(ends_by), Some(_)) => {
                wait.min(self.length_until(now, Some(ends_by)) / RENEWALS_PER_LEASE)
            }
            _ => wait,
        };
        let number = self.next_number;
        self.next_number += 1;
        self.in_flight = Some(InFlight {
            number,
            sent_at: now,
            token: self.token(),
            wait,
        });
        // After a silence or a pause a new incarnation may answer. The number would make it forget
        // its own ends, and the runs that it finished would count as lost.
        let last_seen = if self.listed_at == Some(now) {
            self.acknowledgement
        } else {
            0
        };
        Renewal {
            number,
            token: self.token(),
            until,
            born: until.and(self.born),
            last_seen,
            wait,
            timeout: wait + ANSWER_SLACK,
        }
    }

    /// Records the answer to a renewal. Returns none if a later renewal has replaced it, as its
    /// lists may then be out of date.
    pub fn answered(&mut self, number: u64) -> Option<Answered> {
        let in_flight = self.in_flight.filter(|f| f.number == number)?;
        self.in_flight = None;
        Some(Answered {
            sent_at: in_flight.sent_at,
            token: in_flight.token,
        })
    }

    /// Records that a renewal was refused; it is retried after a pause.
    pub fn failed(&mut self, now: Now, number: u64) {
        self.pause(now, number, 1);
    }

    fn pause(&mut self, now: Now, number: u64, pauses: u32) {
        if self.answered(number).is_some() {
            self.retry_at = Some(now + RETRY_PAUSE * pauses);
        }
    }

    /// When a failed renewal is to be retried, or lists with unacknowledged ends are read again.
    pub fn retry_at(&self) -> Option<Now> {
        self.retry_at.max(self.relist_at)
    }
}
