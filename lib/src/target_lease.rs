//! The agent's hold on its target: fencing token, the target's clock, renewals and the list of
//! ends.
//!
//! One renewal extends the lease of everything that runs on the target, so it is sent for as long
//! as anything does. Its answer lists what runs and what has ended, and is the only authority on
//! both.

use std::time::Duration;

use crate::ids::Now;
use crate::run::RunKey;
use crate::run_table::FencingToken;
use crate::target_incarnation::BornMillis;
use crate::timings::Timings;

/// Number of an end in one life of a target.
pub type EndNumber = u64;
/// Milliseconds on a target's clock.
pub type TargetMillis = u64;

/// Added to a token that the target refuses as too low, in milliseconds of the time of day from
/// which tokens are made: more than any clock is expected to have been ahead.
const TOKEN_STEP: FencingToken = 10_000;
/// Shortest wait that is worth a call.
const LEAST_WAIT: Duration = Duration::from_millis(20);
/// How long an answer may take beyond the wait that was asked for, until its connection is given
/// up.
const ANSWER_SLACK: Duration = Duration::from_millis(120);
/// For so long after a lost answer renewals wait only [`LOSSY_WAIT`], so that the next loss is
/// noticed sooner.
const LOSSY_FOR: Duration = Duration::from_secs(2);
/// See [`LOSSY_FOR`]. What ends meanwhile is heard of this much later: a third of the shortest
/// usual task.
const LOSSY_WAIT: Duration = Duration::from_millis(20);
/// Pause before a renewal that failed is tried again, for each failure in a row after the first.
const RETRY_PAUSE: Duration = Duration::from_millis(30);
/// Failures in a row beyond which the pause grows no more: a target that returns is found in time.
const MOST_PAUSES: u32 = 7;
/// Unanswered renewals in a row after which the target may count as silent.
const SILENT_AFTER: u32 = 2;
/// The target counts as silent only if it has not answered for so long: two calls that are given
/// up.
const SILENT_FOR: Duration = Duration::from_millis(240);

/// A renewal to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Renewal {
    /// Its number, to match the answer.
    pub number: u64,
    /// Its token.
    pub token: FencingToken,
    /// New end of the lease on the target's clock; none to look only.
    pub until: Option<TargetMillis>,
    /// Ends up to this one are known, and were listed just now; otherwise zero.
    pub last_seen: EndNumber,
    /// How long the target may wait for an end before it answers.
    pub wait: Duration,
    /// When the answer counts as lost.
    pub limit: Duration,
}

/// A run that the target listed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedRun {
    /// The run.
    pub key: RunKey,
    /// How much of it is done, in percent.
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

/// What an answered renewal was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answered {
    /// When it was sent.
    pub sent_at: Now,
    /// Its token.
    pub token: FencingToken,
}

/// See the module.
#[derive(Debug)]
pub struct TargetLease {
    /// Lease that is asked for.
    length: Duration,
    /// From a renewal until what it held must be over.
    lapse: Duration,
    /// Longest wait of a renewal for an end.
    most_wait: Duration,
    token: FencingToken,
    clock: Option<(TargetMillis, Now)>,
    /// When the life whose lists were read last began.
    born: Option<BornMillis>,
    last_seen: EndNumber,
    /// When the lists were read last.
    listed_at: Option<Now>,
    in_flight: Option<InFlight>,
    next_number: u64,
    /// First number of a renewal to the present life of the target.
    first_number: u64,
    retry_at: Option<Now>,
    lapses_at: Now,
    silent_calls: u32,
    /// When the target last answered.
    heard: Now,
    /// Whether [`SILENT_AFTER`] and [`SILENT_FOR`] are both passed.
    is_silent: bool,
    /// Whether it has refused a connection since it last answered.
    is_refused: bool,
    lossy_until: Now,
}

impl TargetLease {
    /// A hold that has not been answered yet.
    pub fn new(now: Now, timings: &Timings, token: FencingToken) -> Self {
        let mut lease = Self {
            length: timings.target_lease,
            lapse: timings.lapse,
            most_wait: timings.renewal_wait,
            token,
            clock: None,
            born: None,
            last_seen: 0,
            listed_at: None,
            in_flight: None,
            next_number: 1,
            first_number: 1,
            retry_at: None,
            lapses_at: now,
            silent_calls: 0,
            heard: now,
            is_silent: false,
            is_refused: false,
            lossy_until: Now::ZERO,
        };
        // The agent's life before this one may have renewed just before it ended.
        lease.note_renewed(now);
        lease
    }

    /// The token for orders.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Makes every order with the present token, that has not reached the target, void. Takes
    /// effect when the next renewal is answered.
    pub fn raise_token(&mut self) {
        self.token += 1;
    }

    /// Steps over a token that the target has seen from an earlier life of the agent.
    pub fn raise_token_past(&mut self, refused: FencingToken) {
        if refused >= self.token {
            self.token = refused + TOKEN_STEP;
        }
    }

    /// Learns the target's clock from an answer.
    pub fn learn_clock(&mut self, now: Now, clock: TargetMillis) {
        self.clock = Some((clock, now));
        self.note_answer(now);
    }

    /// Whether lists are told by another life than those that were read last.
    pub fn is_other_incarnation(&self, born: Option<BornMillis>) -> bool {
        matches!((self.born, born), (Some(known), Some(told)) if known != told)
    }

    /// Notes which life tells the lists that are read.
    pub fn note_incarnation(&mut self, now: Now, born: Option<BornMillis>) {
        self.born = born.or(self.born);
        self.listed_at = Some(now);
    }

    /// Notes that the target answers.
    pub fn note_answer(&mut self, now: Now) {
        self.silent_calls = 0;
        self.heard = now;
        self.is_silent = false;
        self.is_refused = false;
    }

    /// Notes that a connection was refused: no process is there.
    pub fn note_refused(&mut self) {
        self.is_refused = true;
    }

    /// Whether connections were refused since the target last answered.
    pub fn is_refused(&self) -> bool {
        self.is_refused
    }

    /// End of a lease that begins now, on the target's clock, and notes that it was asked for.
    pub fn new_until(&mut self, now: Now) -> Option<TargetMillis> {
        let (clock, at) = self.clock?;
        let elapsed = now.saturating_sub(at) + self.length;
        self.note_renewed(now);
        Some(clock + elapsed.as_millis() as u64)
    }

    fn note_renewed(&mut self, now: Now) {
        self.lapses_at = self.lapses_at.max(now + self.lapse);
    }

    /// When everything on the target has lapsed if no renewal is sent any more.
    pub fn lapses_at(&self) -> Now {
        self.lapses_at
    }

    /// Notes that the target's clock may have stood still for so long. It has to be learnt anew.
    pub fn suspended(&mut self, time: Duration) {
        self.lapses_at += time;
        self.clock = None;
    }

    /// Whether the last call was not answered. Nothing new is started then, and no lease is
    /// extended: what runs on a target that is lost is over the sooner.
    pub fn has_unanswered_call(&self) -> bool {
        self.silent_calls > 0
    }

    /// Whether the target has left calls unanswered for some time.
    pub fn is_silent(&self) -> bool {
        self.is_silent
    }

    /// Whether a renewal was sent to a life of the target that is over. Its answer tells the clock
    /// and the ends of that life.
    pub fn is_of_past_incarnation(&self, number: u64) -> bool {
        number < self.first_number
    }

    /// Number of the next renewal or look.
    pub fn next_number(&self) -> u64 {
        self.next_number
    }

    /// A look at the lists that renews nothing and takes note of no end.
    pub fn look(&mut self) -> Renewal {
        let number = self.next_number;
        self.next_number += 1;
        Renewal {
            number,
            token: self.token,
            until: None,
            last_seen: 0,
            wait: Duration::ZERO,
            limit: ANSWER_SLACK,
        }
    }

    /// Notes that a renewal was not answered, unless that is known; the next one is due at once
    /// or, if it is not the first, after a pause.
    pub fn unanswered(&mut self, now: Now, number: u64) {
        if self.in_flight.is_none_or(|f| f.number != number) {
            return;
        }
        self.silent_calls += 1;
        self.is_silent |= self.silent_calls >= SILENT_AFTER && self.heard + SILENT_FOR <= now;
        self.lossy_until = now + LOSSY_FOR;
        let pauses = self.silent_calls - 1;
        self.pause(now, number, pauses.min(MOST_PAUSES));
    }

    /// When the renewal on the way is overdue, if the target's answers take `limit` at the most,
    /// and its number.
    pub fn overdue_at(&self, limit: Duration) -> Option<(Now, u64)> {
        let in_flight = self.in_flight?;
        let at = in_flight.sent_at + in_flight.wait + limit;
        Some((at, in_flight.number))
    }

    /// Whether an end is news.
    pub fn is_new_end(&mut self, number: EndNumber) -> bool {
        let is_new = number > self.last_seen;
        self.last_seen = self.last_seen.max(number);
        is_new
    }

    /// Forgets the numbers of another life of the target, at an answer to this renewal of the one
    /// that lives now. Answers to earlier ones may be the other's.
    pub fn forget_numbers(&mut self, number: u64) {
        self.clock = None;
        self.born = None;
        self.last_seen = 0;
        self.first_number = number;
    }

    /// Forgets what belonged to another life of the target.
    pub fn reset_incarnation(&mut self) {
        self.clock = None;
        self.born = None;
        self.last_seen = 0;
        self.first_number = self.next_number;
        self.in_flight = None;
        self.retry_at = None;
        self.silent_calls = 0;
        self.is_silent = false;
        self.is_refused = false;
    }

    /// A renewal, if none is on the way and no pause is kept. `most_wait` bounds the wait for an
    /// end; `renew` is false to look only.
    pub fn next(&mut self, now: Now, most_wait: Duration, renew: bool) -> Option<Renewal> {
        if self.in_flight.is_some() || self.retry_at.is_some_and(|at| at > now) {
            return None;
        }
        // The first call only learns the clock; after a lost answer there is no time to wait.
        let wait = if self.clock.is_none() || self.silent_calls > 0 {
            Duration::ZERO
        } else if self.lossy_until > now {
            most_wait.clamp(LEAST_WAIT, LOSSY_WAIT)
        } else {
            most_wait.clamp(LEAST_WAIT, self.most_wait)
        };
        Some(self.send(now, renew, wait))
    }

    /// A renewal that does not wait, though another may be on the way.
    pub fn at_once(&mut self, now: Now, renew: bool) -> Renewal {
        self.send(now, renew, Duration::ZERO)
    }

    fn send(&mut self, now: Now, renew: bool, wait: Duration) -> Renewal {
        self.retry_at = None;
        // A target in doubt is only looked at: its leases must run out for its runs to be over.
        let until = if renew && !self.has_unanswered_call() {
            self.new_until(now)
        } else {
            None
        };
        let number = self.next_number;
        self.next_number += 1;
        self.in_flight = Some(InFlight {
            number,
            sent_at: now,
            token: self.token,
            wait,
        });
        // Behind a silence or a pause a new life may answer, whose ends this number would make it
        // forget: runs that it has done would then pass for lost.
        let last_seen = if self.listed_at == Some(now) {
            self.last_seen
        } else {
            0
        };
        Renewal {
            number,
            token: self.token,
            until,
            last_seen,
            wait,
            limit: wait + ANSWER_SLACK,
        }
    }

    /// Notes the answer to a renewal. None if a later one has taken its place: what it lists may
    /// then be out of date.
    pub fn answered(&mut self, number: u64) -> Option<Answered> {
        let in_flight = self.in_flight.filter(|f| f.number == number)?;
        self.in_flight = None;
        Some(Answered {
            sent_at: in_flight.sent_at,
            token: in_flight.token,
        })
    }

    /// Notes that a renewal was refused; it is tried again after a pause.
    pub fn failed(&mut self, now: Now, number: u64) {
        self.pause(now, number, 1);
    }

    fn pause(&mut self, now: Now, number: u64, pauses: u32) {
        if self.answered(number).is_some() {
            self.retry_at = Some(now + RETRY_PAUSE * pauses);
        }
    }

    /// When a failed renewal is due again.
    pub fn retry_at(&self) -> Option<Now> {
        self.retry_at
    }
}
