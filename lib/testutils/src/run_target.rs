//! An in-memory model of a platform target: leases, fencing tokens, run numbers and lists of runs.
//! An order with a lower fencing token than one seen before has no effect.
//!
//! Like the platform's targets it doesn't enforce its capacity; it records every run for the
//! tests' checks. Callers pass the time, so the simulated fleet and the HTTP stand-in share it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use trestleknot_lib::ids::Now;
use trestleknot_lib::resources::Resources;
use trestleknot_lib::run::{RunEnd, RunKey, RunNumber, TaskKey};
use trestleknot_lib::run_event::{RenewalAnswer, StartAnswer};
use trestleknot_lib::run_message::TargetInfo;
use trestleknot_lib::run_table::FencingToken;
use trestleknot_lib::target_incarnation::{StartMillis, TargetIncarnation, TargetName};
use trestleknot_lib::target_lease::{EndNumber, ListedRun, Renewal, TargetMillis};

/// Default longest lease.
pub const LONGEST_LEASE: Duration = Duration::from_millis(1_000);
/// Time that a stop takes.
const STOP_TIME: Duration = Duration::from_millis(30);
/// Wall-clock time at the start, in milliseconds since the epoch.
const WALL_CLOCK_START: StartMillis = 1_785_000_000_000;
/// Name of the service of all simulated targets, the same as in the stand-in's list.
pub const SERVICE: &str = "banca";

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetImpairment {
    /// It answers no calls, but keeps running tasks.
    pub is_mute: bool,
    /// It refuses starts as unhealthy.
    pub sheds: bool,
    /// Every run fails at its end.
    pub fails: bool,
    /// Factor on the time of new runs; they never end if it is not finite.
    pub slowdown: f64,
}

impl Default for TargetImpairment {
    fn default() -> Self {
        Self {
            is_mute: false,
            sheds: false,
            fails: false,
            slowdown: 1.0,
        }
    }
}

/// Word in a payload, after the work time, that makes task 0 of each step crash its target.
pub const CRASHES: &str = "crashes";
/// Start of a word in a payload, after the work time; the preferred rack follows.
pub const PREFERRED_RACK: &str = "rack=";
/// Time from the start of such a task to the crash.
const CRASH_AFTER: Duration = Duration::from_millis(10);

/// Kind of a target, which may change with its incarnation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum TargetKind {
    #[default]
    Plain,
    Special,
}

impl TargetKind {
    /// The label that targets of this kind report.
    pub fn label(self) -> &'static str {
        match self {
            Self::Plain => "plain",
            Self::Special => "special",
        }
    }

    /// The other kind.
    pub fn other(self) -> Self {
        match self {
            Self::Plain => Self::Special,
            Self::Special => Self::Plain,
        }
    }
}

/// A run, as it actually happened on a target.
#[derive(Debug, Clone)]
pub struct RunRecord {
    /// The run.
    pub key: RunKey,
    /// Name of the target.
    pub target: Arc<str>,
    /// When it began.
    pub from: Now,
    /// When it ended; none while it runs.
    pub to: Option<Now>,
    /// How it ended, as the target lists it; none if the target crashed.
    pub end: Option<RunEnd>,
    /// When its end was acknowledged, if the lease had not lapsed between the two.
    pub acknowledged: Option<Now>,
    /// Whether a delayed order started it.
    pub is_late: bool,
    /// Time from the acknowledgement of the target's leave to the start, if it was acknowledged.
    pub after_leave: Option<Duration>,
    /// Whether it crashes its target.
    pub crashes: bool,
    /// Largest capacity that its start may have relied on, by the reports that the agent had
    /// received.
    pub room: Resources,
    /// Labels of the target's incarnation.
    pub labels: Vec<String>,
    /// Suspensions of the target's VM during the run: start and end.
    pub suspensions: Vec<(Now, Now)>,
}

#[derive(Debug, Clone)]
struct Running {
    record: usize,
    began: Now,
    ends_at: Option<Now>,
    stops_at: Option<Now>,
    fails: bool,
}

/// An order to start a run, as the target receives it.
#[derive(Debug, Clone)]
pub struct StartRequest {
    /// The run.
    pub key: RunKey,
    /// Work time in milliseconds as decimal text, 50 ms if it isn't a number; further words may
    /// follow.
    pub payload: Arc<str>,
    /// End of the lease.
    pub until: TargetMillis,
    /// Fencing token.
    pub token: FencingToken,
    /// Name of the incarnation that the order is for.
    pub life: Option<Arc<str>>,
    /// Start time of the only incarnation that its connection reaches; none if it reaches any.
    pub born: Option<StartMillis>,
    /// Whether the order was delayed.
    pub is_late: bool,
}

/// A target and the record of its runs.
#[derive(Debug)]
pub struct RunTarget {
    name: Arc<str>,
    /// Number of names that it has used.
    names_used: u32,
    /// Start of its current incarnation, which it reports.
    born: Now,
    pub capacity: Resources,
    /// Its capacity when no fault changes it.
    pub usual_capacity: Resources,
    /// Its speed: work done per unit of time.
    pub speed: f64,
    /// Its rack, which it reports as a label.
    pub rack: String,
    /// Its kind, which it reports as a label too.
    pub kind: TargetKind,
    /// Factor on the time of a run whose payload prefers another rack.
    pub far_factor: f64,
    /// Capacities that its agent received in reports, and when.
    reported_capacities: Vec<(Now, Resources)>,
    /// Sequence number of the last of these reports.
    reported_sequence: u64,
    /// How long after a new report a start may still rely on the previous one.
    capacity_grace: Duration,
    /// Suspended time of its VM in this incarnation, which its clock does not count.
    suspended: Duration,
    /// When a running task will crash it.
    crash_at: Option<Now>,
    /// Rate of the target's clock relative to true time.
    clock_rate: f64,
    /// Longest time that its clock shows at the start of an incarnation; the time differs for each.
    max_clock_start: TargetMillis,
    longest_lease: Duration,
    token_seen: FencingToken,
    lease_until: TargetMillis,
    /// When the lease last lapsed before it was extended again.
    lapsed_at: Now,
    running: BTreeMap<RunKey, Running>,
    highest_runs: BTreeMap<TaskKey, RunNumber>,
    ended: Vec<(EndNumber, RunKey, RunEnd)>,
    next_end: EndNumber,
    sequence: u64,
    is_leaving: bool,
    /// When its agent acknowledged that it is leaving.
    leave_heard: Option<Now>,
    /// Its impairments.
    pub trouble: TargetImpairment,
    /// All runs, over all incarnations.
    pub records: Vec<RunRecord>,
}

impl RunTarget {
    /// A target in its first incarnation.
    pub fn new(name: &str, capacity: Resources, clock_rate: f64) -> Self {
        Self {
            name: Arc::from(name),
            names_used: 1,
            born: Now::ZERO,
            capacity,
            usual_capacity: capacity,
            speed: 1.0,
            rack: "rack-1".to_owned(),
            kind: TargetKind::default(),
            far_factor: 1.0,
            reported_capacities: vec![(Now::ZERO, capacity)],
            reported_sequence: 0,
            capacity_grace: Duration::ZERO,
            suspended: Duration::ZERO,
            crash_at: None,
            clock_rate,
            max_clock_start: 0,
            longest_lease: LONGEST_LEASE,
            token_seen: 0,
            lease_until: 0,
            lapsed_at: Now::ZERO,
            running: BTreeMap::new(),
            highest_runs: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            sequence: 0,
            is_leaving: false,
            leave_heard: None,
            trouble: TargetImpairment::default(),
            records: Vec::new(),
        }
    }

    /// Sets the longest lease.
    pub fn with_lease(mut self, longest: Duration) -> Self {
        self.longest_lease = longest;
        self
    }

    /// Sets the rate of its clock relative to true time.
    pub fn with_clock_rate(mut self, rate: f64) -> Self {
        self.clock_rate = rate;
        self
    }

    /// Lets the clock of each incarnation start at another time, up to this one.
    pub fn with_clock_start(mut self, latest: TargetMillis) -> Self {
        self.max_clock_start = latest;
        self
    }

    /// Sets its usual capacity.
    pub fn with_capacity(mut self, capacity: Resources) -> Self {
        self.capacity = capacity;
        self.usual_capacity = capacity;
        self.reported_capacities = vec![(Now::ZERO, capacity)];
        self
    }

    /// Sets how long an order may be in transit, and so rely on an outdated capacity.
    pub fn with_room_grace(mut self, grace: Duration) -> Self {
        self.capacity_grace = grace;
        self
    }

    /// Name of its current incarnation.
    pub fn life_name(&self) -> TargetName {
        format!("{}-{}", self.name, self.names_used).into()
    }

    /// Its current incarnation.
    pub fn life(&self) -> TargetIncarnation {
        TargetIncarnation {
            name: self.life_name(),
            born: Some(self.born_millis()),
        }
    }

    fn born_millis(&self) -> StartMillis {
        WALL_CLOCK_START + self.born.as_millis() as StartMillis
    }

    fn labels(&self) -> Vec<String> {
        vec![self.rack.clone(), self.kind.label().to_owned()]
    }

    /// Its next report, with its sequence number.
    pub fn report(&mut self) -> (TargetInfo, u64) {
        self.sequence += 1;
        let info = TargetInfo {
            life: self.life(),
            service: SERVICE.into(),
            capacity: self.capacity,
            labels: self.labels(),
            leaving: self.is_leaving,
        };
        (info, self.sequence)
    }

    /// Records that its agent received a report.
    pub fn record_report(&mut self, now: Now, info: &TargetInfo, sequence: u64) {
        let is_own = info.life == self.life() && &*info.service == SERVICE;
        if !is_own || sequence <= self.reported_sequence {
            return;
        }
        self.reported_sequence = sequence;
        if self
            .reported_capacities
            .last()
            .is_some_and(|(_, capacity)| *capacity == info.capacity)
        {
            return;
        }
        self.reported_capacities.push((now, info.capacity));
    }

    /// Records that a report is sent. Its agent may use a larger capacity before the answer to the report
    /// is read.
    pub fn record_report_sent(&mut self, now: Now, info: &TargetInfo) {
        let last = self.reported_capacities.last();
        let is_larger = last.is_some_and(|(_, c)| c.cpu_millis < info.capacity.cpu_millis);
        if is_larger && info.life == self.life() {
            self.reported_capacities.push((now, info.capacity));
        }
    }

    /// The capacity that a start may rely on: the largest that the agent knew within the grace
    /// period.
    fn usable_capacity(&self, now: Now) -> Resources {
        let mut capacity = Resources::NONE;
        let mut valid_until = Now::MAX;
        for (from, reported) in self.reported_capacities.iter().rev() {
            if valid_until != Now::MAX && valid_until + self.capacity_grace <= now {
                break;
            }
            if reported.cpu_millis > capacity.cpu_millis {
                capacity = *reported;
            }
            valid_until = *from;
        }
        capacity
    }

    /// Makes it report from now on that it is leaving.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Records that the leaving report of an incarnation was acknowledged.
    pub fn record_leave_acknowledged(&mut self, now: Now, incarnation: &TargetIncarnation) {
        if self.is_leaving && self.life() == *incarnation {
            self.leave_heard.get_or_insert(now);
        }
    }

    /// When the leave of its current incarnation was acknowledged.
    pub fn leave_heard(&self) -> Option<Now> {
        self.leave_heard
    }

    /// Restarts it under a new name.
    pub fn crash(&mut self, now: Now) {
        self.restart(now);
        self.names_used += 1;
    }

    /// Ends its incarnation and begins another with the same name. Its capacity, impairments and
    /// records stay; its other state is lost.
    pub fn restart(&mut self, now: Now) {
        self.advance(now);
        for (_, run) in std::mem::take(&mut self.running) {
            self.records[run.record].to = Some(now);
        }
        self.born = now;
        // A start relies on what this incarnation reports.
        self.reported_capacities = vec![(now, self.capacity)];
        self.suspended = Duration::ZERO;
        self.crash_at = None;
        self.is_leaving = false;
        self.leave_heard = None;
        self.token_seen = 0;
        self.lease_until = 0;
        self.highest_runs.clear();
        self.ended.clear();
        self.next_end = 1;
        self.sequence = 0;
        self.reported_sequence = 0;
    }

    fn clock(&self, now: Now) -> TargetMillis {
        let elapsed = now.saturating_sub(self.born + self.suspended);
        self.clock_start() + (elapsed.as_secs_f64() * 1e3 * self.clock_rate) as TargetMillis
    }

    /// What its clock showed at the start of its current incarnation.
    fn clock_start(&self) -> TargetMillis {
        let scattered = (self.born_millis() + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 16;
        scattered % (self.max_clock_start + 1)
    }

    fn true_time(&self, clock: TargetMillis) -> Now {
        let clock = clock.saturating_sub(self.clock_start());
        let elapsed = Duration::from_secs_f64(clock as f64 / 1e3 / self.clock_rate);
        self.born + self.suspended + elapsed
    }

    /// Suspends its VM: runs and its clock stop for this time.
    pub fn suspend(&mut self, now: Now, length: Duration) {
        self.advance(now);
        self.suspended += length;
        self.crash_at = self.crash_at.map(|at| at + length);
        for run in self.running.values_mut() {
            run.began += length;
            run.ends_at = run.ends_at.map(|at| at + length);
            run.stops_at = run.stops_at.map(|at| at + length);
            self.records[run.record]
                .suspensions
                .push((now, now + length));
        }
    }

    /// Whether the time of a planned crash has come.
    pub fn has_crashed(&self, now: Now) -> bool {
        self.crash_at.is_some_and(|at| at <= now)
    }

    /// Time of its next change that no call causes: the end of a run, a lapse or a crash.
    pub fn next_change(&self) -> Option<Now> {
        let runs = self.running.values();
        let ends = runs.filter_map(|r| match (r.ends_at, r.stops_at) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        });
        let lapse = (!self.running.is_empty()).then(|| self.true_time(self.lease_until));
        ends.chain(lapse).chain(self.crash_at).min()
    }

    /// Advances to `now`: ends runs that are due and lapses the lease. Stops at a crash.
    pub fn advance(&mut self, now: Now) {
        while let Some(at) = self.next_change().filter(|at| *at <= now) {
            if self.crash_at == Some(at) {
                return;
            }
            let lapse_at = self.true_time(self.lease_until);
            if at >= lapse_at {
                let keys: Vec<RunKey> = self.running.keys().copied().collect();
                for key in keys {
                    self.end_run(key, lapse_at, RunEnd::Lapsed);
                }
                continue;
            }
            let due = self.running.iter().find_map(|(key, run)| {
                if run.stops_at == Some(at) {
                    return Some((*key, RunEnd::Stopped));
                }
                let end = if run.fails {
                    RunEnd::Failed
                } else {
                    RunEnd::Done
                };
                (run.ends_at == Some(at)).then_some((*key, end))
            });
            match due {
                Some((key, end)) => self.end_run(key, at, end),
                None => return,
            }
        }
    }

    fn end_run(&mut self, key: RunKey, at: Now, end: RunEnd) {
        let Some(run) = self.running.remove(&key) else {
            return;
        };
        self.records[run.record].to = Some(at);
        self.records[run.record].end = Some(end);
        self.ended.push((self.next_end, key, end));
        self.next_end += 1;
    }

    fn is_other_incarnation(&self, target_name: Option<&str>) -> bool {
        target_name.is_some_and(|name| name != &*self.life_name())
    }

    /// Whether calls on a connection to the incarnation that started at `born` no longer reach it.
    fn is_past(&self, born: Option<StartMillis>) -> bool {
        born.is_some_and(|born| born != self.born_millis())
    }

    /// Handles an order to start a run.
    pub fn start(&mut self, now: Now, request: &StartRequest) -> StartAnswer {
        self.advance(now);
        if self.is_other_incarnation(request.life.as_deref()) {
            return StartAnswer::OtherIncarnation;
        }
        if self.is_past(request.born) {
            return StartAnswer::Restarted;
        }
        if self.trouble.sheds {
            return StartAnswer::Unhealthy;
        }
        if request.token < self.token_seen {
            return StartAnswer::Fenced;
        }
        self.token_seen = request.token;
        let clock = self.clock(now);
        let task = request.key.task;
        if self.running.contains_key(&request.key) {
            return StartAnswer::Started { clock };
        }
        if self
            .highest_runs
            .get(&task)
            .is_some_and(|h| *h >= request.key.run)
        {
            return StartAnswer::Superseded;
        }
        if request.until <= clock {
            return StartAnswer::Late;
        }
        self.extend_lease(now, request.until);
        self.highest_runs.insert(task, request.key.run);
        let work_ms = request.payload.split(' ').next().unwrap_or_default();
        let work = Duration::from_millis(work_ms.parse().unwrap_or(50));
        let requests_crash = request.payload.split(' ').any(|word| word == CRASHES);
        let crashes = requests_crash && task.index == 0;
        if crashes {
            self.crash_at.get_or_insert(now + CRASH_AFTER);
        }
        let rack = request
            .payload
            .split(' ')
            .find_map(|word| word.strip_prefix(PREFERRED_RACK));
        let distance = match rack {
            Some(rack) if rack != self.rack => self.far_factor,
            _ => 1.0,
        };
        let slowdown = self.trouble.slowdown * distance / self.speed;
        let ends_at = slowdown.is_finite().then(|| now + work.mul_f64(slowdown));
        self.records.push(RunRecord {
            key: request.key,
            target: self.name.clone(),
            from: now,
            to: None,
            end: None,
            acknowledged: None,
            is_late: request.is_late,
            after_leave: self.leave_heard.map(|at| now.saturating_sub(at)),
            crashes,
            room: self.usable_capacity(now),
            labels: self.labels(),
            suspensions: Vec::new(),
        });
        let run = Running {
            record: self.records.len() - 1,
            began: now,
            ends_at,
            stops_at: None,
            fails: self.trouble.fails,
        };
        self.running.insert(request.key, run);
        StartAnswer::Started { clock }
    }

    fn extend_lease(&mut self, now: Now, until: TargetMillis) {
        if self.lease_until < self.clock(now) {
            self.lapsed_at = self.true_time(self.lease_until);
        }
        let longest = self.clock(now) + self.longest_lease.as_millis() as u64;
        self.lease_until = self.lease_until.max(until.min(longest));
    }

    /// Handles an order to stop a run.
    pub fn stop(&mut self, now: Now, key: RunKey, token: FencingToken, target_name: Option<&str>) {
        self.advance(now);
        if self.is_other_incarnation(target_name) || token < self.token_seen {
            return;
        }
        self.token_seen = token;
        let highest = self.highest_runs.entry(key.task).or_default();
        *highest = (*highest).max(key.run);
        if let Some(run) = self.running.get_mut(&key) {
            run.stops_at.get_or_insert(now + STOP_TIME);
        }
    }

    /// Answers a renewal. One for another incarnation does not reach this one, which is only asked
    /// for its lists.
    pub fn answer_renewal(
        &mut self,
        now: Now,
        renewal: &Renewal,
        target_name: Option<&str>,
    ) -> RenewalAnswer {
        let (until, last_seen) = match self.is_past(renewal.born) {
            true => (None, 0),
            false => (renewal.until, renewal.last_seen),
        };
        self.renew(now, renewal.token, until, last_seen, target_name)
    }

    /// Renews the lease if `until` is set, and lists running and ended runs.
    pub fn renew(
        &mut self,
        now: Now,
        token: FencingToken,
        until: Option<TargetMillis>,
        last_seen: EndNumber,
        target_name: Option<&str>,
    ) -> RenewalAnswer {
        self.advance(now);
        if self.is_other_incarnation(target_name) {
            return RenewalAnswer::OtherIncarnation;
        }
        if token < self.token_seen {
            return RenewalAnswer::Fenced;
        }
        self.token_seen = token;
        if let Some(until) = until {
            self.extend_lease(now, until);
        }
        self.acknowledge_ends(now, last_seen);
        self.ended.retain(|(number, ..)| *number > last_seen);
        RenewalAnswer::Lists {
            born: Some(self.born_millis()),
            clock: self.clock(now),
            running: self.list(now),
            ended: self.ended.clone(),
        }
    }

    fn acknowledge_ends(&mut self, now: Now, last_seen: EndNumber) {
        let lapses_at = self.true_time(self.lease_until);
        let last_lapse = if lapses_at <= now {
            lapses_at
        } else {
            self.lapsed_at
        };
        for (_, key, _) in self.ended.iter().filter(|(n, ..)| *n <= last_seen) {
            let mut records = self.records.iter_mut().rev();
            let record = records.find(|r| r.key == *key);
            if let Some(record) = record.filter(|r| r.to.is_some_and(|to| last_lapse < to)) {
                record.acknowledged = Some(now);
            }
        }
    }

    fn list(&self, now: Now) -> Vec<ListedRun> {
        let listed = self.running.iter().map(|(key, run)| {
            let elapsed = now.saturating_sub(run.began).as_secs_f64();
            let total = run
                .ends_at
                .map_or(f64::INFINITY, |e| (e - run.began).as_secs_f64());
            ListedRun {
                key: *key,
                percent: (100.0 * elapsed / total) as u32,
            }
        });
        listed.collect()
    }

    /// Whether an ended run is listed after number `last_seen`.
    pub fn has_unseen_ends(&self, last_seen: EndNumber) -> bool {
        self.ended.iter().any(|(number, ..)| *number > last_seen)
    }

    /// Number of runs in progress.
    pub fn running(&self) -> usize {
        self.running.len()
    }
}
