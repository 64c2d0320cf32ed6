//! A target of the platform in memory, as a state machine: leases, fencing, run numbers, lists.
//!
//! It guards nothing, as the platform's targets do, and records every run for the checks. Time
//! comes in with each call, so it serves the virtual fleet and the HTTP stand-in alike.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use trestleknot_lib::ids::Now;
use trestleknot_lib::resources::Resources;
use trestleknot_lib::run::{RunEnd, RunKey, RunNumber, TaskKey};
use trestleknot_lib::run_event::{RenewalAnswer, StartAnswer};
use trestleknot_lib::run_message::TargetInfo;
use trestleknot_lib::run_table::FencingToken;
use trestleknot_lib::target_incarnation::{BornMillis, TargetIncarnation, TargetName};
use trestleknot_lib::target_lease::{EndNumber, ListedRun, TargetMillis};

/// Longest lease that is given.
pub const LONGEST_LEASE: Duration = Duration::from_millis(1_000);
/// How long a stop takes.
const STOP_TIME: Duration = Duration::from_millis(30);
/// The time of day at which everything begins, in milliseconds.
const TIME_OF_DAY: BornMillis = 1_785_000_000_000;
/// Service of all targets here.
pub const SERVICE: &str = "banca";

/// What is wrong with a target now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetImpairment {
    /// It answers nothing, and goes on running.
    pub is_mute: bool,
    /// Starts are refused as unwell.
    pub sheds: bool,
    /// Every run fails when its time is up.
    pub fails: bool,
    /// New runs take so many times as long; not finite: for ever.
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

/// Word of a payload, behind the length of the work: the batch's first task crashes its target.
pub const CRASHES: &str = "crashes";
/// How long after its start such a task crashes its target.
const CRASH_AFTER: Duration = Duration::from_millis(10);

/// One run, as it really was.
#[derive(Debug, Clone)]
pub struct RunRecord {
    /// The run.
    pub key: RunKey,
    /// Name of the target.
    pub target: Arc<str>,
    /// When it began.
    pub from: Now,
    /// When it was over; none while it runs.
    pub to: Option<Now>,
    /// How it ended, as the target listed it.
    pub end: Option<RunEnd>,
    /// Whether the target began it long after the order.
    pub is_late: bool,
    /// How long before it began the target's leave had been acknowledged, if it had.
    pub after_leave: Option<Duration>,
    /// Whether it crashes its target.
    pub crashes: bool,
    /// What the target had room for when it began, by the last report that its agent had.
    pub room: Resources,
    /// When the target's VM was suspended meanwhile.
    pub asleep: Vec<(Now, Now)>,
}

#[derive(Debug, Clone)]
struct Running {
    record: usize,
    began: Now,
    ends_at: Option<Now>,
    stops_at: Option<Now>,
    fails: bool,
}

/// An order to start, as the target reads it.
#[derive(Debug, Clone)]
pub struct StartRequest {
    /// The run.
    pub key: RunKey,
    /// Length of the work in milliseconds, as text; anything may follow it.
    pub payload: Arc<str>,
    /// End of the lease.
    pub until: TargetMillis,
    /// Token.
    pub token: FencingToken,
    /// Life that is meant.
    pub life: Option<Arc<str>>,
    /// Whether it is carried out long after it was sent.
    pub is_late: bool,
}

/// See the module.
#[derive(Debug)]
pub struct RunTarget {
    name: Arc<str>,
    /// Number of names that it has borne.
    names: u32,
    /// When its present life began; it says so.
    born: Now,
    /// What it has.
    pub capacity: Resources,
    /// What its agent was told that it has, and when: the last word, and those within
    /// `room_grace` before it.
    told: Vec<(Now, Resources)>,
    /// Number of the last of these reports.
    told_sequence: u64,
    /// How long after a word of less room a start may still come.
    room_grace: Duration,
    /// For how long its VM was suspended in this life: its clock does not count that.
    slept: Duration,
    /// When it will have crashed by what runs.
    crash_at: Option<Now>,
    /// The target's clock is this much faster than true time.
    clock_rate: f64,
    longest_lease: Duration,
    token_seen: FencingToken,
    lease_until: TargetMillis,
    running: BTreeMap<RunKey, Running>,
    highest: BTreeMap<TaskKey, RunNumber>,
    ends: Vec<(EndNumber, RunKey, RunEnd)>,
    next_end: EndNumber,
    sequence: u64,
    is_leaving: bool,
    /// When the leave was acknowledged.
    leave_heard: Option<Now>,
    /// What is wrong with it.
    pub trouble: TargetImpairment,
    /// Every run that it ever had.
    pub records: Vec<RunRecord>,
}

impl RunTarget {
    /// A target that has just begun its first life.
    pub fn new(name: &str, capacity: Resources, clock_rate: f64) -> Self {
        Self {
            name: Arc::from(name),
            names: 1,
            born: Now::ZERO,
            capacity,
            told: vec![(Now::ZERO, capacity)],
            told_sequence: 0,
            room_grace: Duration::ZERO,
            slept: Duration::ZERO,
            crash_at: None,
            clock_rate,
            longest_lease: LONGEST_LEASE,
            token_seen: 0,
            lease_until: 0,
            running: BTreeMap::new(),
            highest: BTreeMap::new(),
            ends: Vec::new(),
            next_end: 1,
            sequence: 0,
            is_leaving: false,
            leave_heard: None,
            trouble: TargetImpairment::default(),
            records: Vec::new(),
        }
    }

    /// The same with another bound on leases.
    pub fn with_lease(mut self, longest: Duration) -> Self {
        self.longest_lease = longest;
        self
    }

    /// The same where orders may be on their way for so long.
    pub fn with_room_grace(mut self, grace: Duration) -> Self {
        self.room_grace = grace;
        self
    }

    /// Name of its present life.
    pub fn life_name(&self) -> TargetName {
        format!("{}-{}", self.name, self.names).into()
    }

    /// Its present life.
    pub fn life(&self) -> TargetIncarnation {
        TargetIncarnation {
            name: self.life_name(),
            born: Some(self.born_millis()),
        }
    }

    fn born_millis(&self) -> BornMillis {
        TIME_OF_DAY + self.born.as_millis() as BornMillis
    }

    /// Its next report on itself, with its number.
    pub fn report(&mut self) -> (TargetInfo, u64) {
        self.sequence += 1;
        let info = TargetInfo {
            life: self.life(),
            service: SERVICE.into(),
            capacity: self.capacity,
            labels: vec!["rack-1".to_owned()],
            leaving: self.is_leaving,
        };
        (info, self.sequence)
    }

    /// Notes that its agent has heard a report.
    pub fn note_report_heard(&mut self, now: Now, info: &TargetInfo, sequence: u64) {
        let is_own = info.life == self.life() && &*info.service == SERVICE;
        if !is_own || sequence <= self.told_sequence {
            return;
        }
        self.told_sequence = sequence;
        if self
            .told
            .last()
            .is_some_and(|(_, room)| *room == info.capacity)
        {
            return;
        }
        self.told.push((now, info.capacity));
    }

    /// The room that a start may count on: the last that its agent was told, or one before it that
    /// held until a moment ago.
    fn room_known(&self, now: Now) -> Resources {
        let mut room = Resources::NONE;
        let mut held_until = Now::MAX;
        for (from, told) in self.told.iter().rev() {
            if held_until != Now::MAX && held_until + self.room_grace <= now {
                break;
            }
            if told.cpu_millis > room.cpu_millis {
                room = *told;
            }
            held_until = *from;
        }
        room
    }

    /// Says from now on that it leaves.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Notes that the report of a life that leaves was acknowledged.
    pub fn note_leave_heard(&mut self, now: Now, life: &TargetIncarnation) {
        if self.is_leaving && self.life() == *life {
            self.leave_heard.get_or_insert(now);
        }
    }

    /// When the leave of its present life was acknowledged.
    pub fn leave_heard(&self) -> Option<Now> {
        self.leave_heard
    }

    /// Ends its life, and begins another that runs nothing and has another name.
    pub fn crash(&mut self, now: Now) {
        self.restart(now);
        self.names += 1;
    }

    /// Ends its life, and begins another under its name, which knows nothing of before.
    pub fn restart(&mut self, now: Now) {
        self.advance(now);
        for (_, run) in std::mem::take(&mut self.running) {
            self.records[run.record].to = Some(now);
        }
        self.born = now;
        self.slept = Duration::ZERO;
        self.crash_at = None;
        self.is_leaving = false;
        self.leave_heard = None;
        self.token_seen = 0;
        self.lease_until = 0;
        self.highest.clear();
        self.ends.clear();
        self.next_end = 1;
        self.sequence = 0;
        self.told_sequence = 0;
    }

    fn clock(&self, now: Now) -> TargetMillis {
        let ran = now.saturating_sub(self.born + self.slept);
        (ran.as_secs_f64() * 1e3 * self.clock_rate) as TargetMillis
    }

    fn true_time(&self, clock: TargetMillis) -> Now {
        let ran = Duration::from_secs_f64(clock as f64 / 1e3 / self.clock_rate);
        self.born + self.slept + ran
    }

    /// Its VM is suspended: nothing of it goes on, and its clock stands still.
    pub fn suspend(&mut self, now: Now, length: Duration) {
        self.advance(now);
        self.slept += length;
        self.crash_at = self.crash_at.map(|at| at + length);
        for run in self.running.values_mut() {
            run.began += length;
            run.ends_at = run.ends_at.map(|at| at + length);
            run.stops_at = run.stops_at.map(|at| at + length);
            self.records[run.record].asleep.push((now, now + length));
        }
    }

    /// Whether what runs has crashed it by now.
    pub fn has_crashed(&self, now: Now) -> bool {
        self.crash_at.is_some_and(|at| at <= now)
    }

    /// When something happens by itself next.
    pub fn next_change(&self) -> Option<Now> {
        let runs = self.running.values();
        let ends = runs.filter_map(|r| match (r.ends_at, r.stops_at) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        });
        let lapse = (!self.running.is_empty()).then(|| self.true_time(self.lease_until));
        ends.chain(lapse).chain(self.crash_at).min()
    }

    /// Lets time pass: runs end, leases lapse.
    pub fn advance(&mut self, now: Now) {
        while let Some(at) = self.next_change().filter(|at| *at <= now) {
            if self.crash_at == Some(at) {
                return;
            }
            let lapse_at = self.true_time(self.lease_until);
            if at >= lapse_at {
                let keys: Vec<RunKey> = self.running.keys().copied().collect();
                for key in keys {
                    self.end(key, lapse_at, RunEnd::Lapsed);
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
                Some((key, end)) => self.end(key, at, end),
                None => return,
            }
        }
    }

    fn end(&mut self, key: RunKey, at: Now, end: RunEnd) {
        let Some(run) = self.running.remove(&key) else {
            return;
        };
        self.records[run.record].to = Some(at);
        self.records[run.record].end = Some(end);
        self.ends.push((self.next_end, key, end));
        self.next_end += 1;
    }

    fn is_other_incarnation(&self, life: Option<&str>) -> bool {
        life.is_some_and(|life| life != &*self.life_name())
    }

    /// Obeys an order to start.
    pub fn start(&mut self, now: Now, request: &StartRequest) -> StartAnswer {
        self.advance(now);
        if self.is_other_incarnation(request.life.as_deref()) {
            return StartAnswer::OtherIncarnation;
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
            .highest
            .get(&task)
            .is_some_and(|h| *h >= request.key.run)
        {
            return StartAnswer::Superseded;
        }
        if request.until <= clock {
            return StartAnswer::Late;
        }
        self.hold(now, request.until);
        self.highest.insert(task, request.key.run);
        let length = request.payload.split(' ').next().unwrap_or_default();
        let work = Duration::from_millis(length.parse().unwrap_or(50));
        let names_crash = request.payload.split(' ').any(|word| word == CRASHES);
        let crashes = names_crash && task.index == 0;
        if crashes {
            self.crash_at.get_or_insert(now + CRASH_AFTER);
        }
        let slowdown = self.trouble.slowdown;
        let ends_at = slowdown.is_finite().then(|| now + work.mul_f64(slowdown));
        self.records.push(RunRecord {
            key: request.key,
            target: self.name.clone(),
            from: now,
            to: None,
            end: None,
            is_late: request.is_late,
            after_leave: self.leave_heard.map(|heard| now.saturating_sub(heard)),
            crashes,
            room: self.room_known(now),
            asleep: Vec::new(),
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

    fn hold(&mut self, now: Now, until: TargetMillis) {
        let longest = self.clock(now) + self.longest_lease.as_millis() as u64;
        self.lease_until = self.lease_until.max(until.min(longest));
    }

    /// Obeys an order to stop.
    pub fn stop(&mut self, now: Now, key: RunKey, token: FencingToken, life: Option<&str>) {
        self.advance(now);
        if self.is_other_incarnation(life) || token < self.token_seen {
            return;
        }
        self.token_seen = token;
        let highest = self.highest.entry(key.task).or_default();
        *highest = (*highest).max(key.run);
        if let Some(run) = self.running.get_mut(&key) {
            run.stops_at.get_or_insert(now + STOP_TIME);
        }
    }

    /// Renews the lease and lists what runs and what has ended.
    pub fn renew(
        &mut self,
        now: Now,
        token: FencingToken,
        until: Option<TargetMillis>,
        last_seen: EndNumber,
        life: Option<&str>,
    ) -> RenewalAnswer {
        self.advance(now);
        if self.is_other_incarnation(life) {
            return RenewalAnswer::OtherIncarnation;
        }
        if token < self.token_seen {
            return RenewalAnswer::Fenced;
        }
        self.token_seen = token;
        if let Some(until) = until {
            self.hold(now, until);
        }
        self.ends.retain(|(number, ..)| *number > last_seen);
        RenewalAnswer::Lists {
            born: Some(self.born_millis()),
            clock: self.clock(now),
            running: self.list(now),
            ended: self.ends.clone(),
        }
    }

    fn list(&self, now: Now) -> Vec<ListedRun> {
        let rows = self.running.iter().map(|(key, run)| {
            let ran = now.saturating_sub(run.began).as_secs_f64();
            let whole = run
                .ends_at
                .map_or(f64::INFINITY, |e| (e - run.began).as_secs_f64());
            ListedRun {
                key: *key,
                percent: (100.0 * ran / whole) as u32,
            }
        });
        rows.collect()
    }

    /// Whether it lists an end that a caller has not seen.
    pub fn has_news(&self, last_seen: EndNumber) -> bool {
        self.ends.iter().any(|(number, ..)| *number > last_seen)
    }

    /// Number of runs.
    pub fn running(&self) -> usize {
        self.running.len()
    }
}
