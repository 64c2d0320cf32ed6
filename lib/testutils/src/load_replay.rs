//! Load patterns, played on the real cores of a fleet of any size on the virtual clock.
//!
//! A pattern is a small JSON file with comments: kinds of batches with their rates, bursts, troubles,
//! and the size of the fleet. The same pattern and seed give the same figures, so that a decision
//! can be weighed against another by them, and a test can state what must be reached.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use trestleknot_lib::batch_event::Reply;
use trestleknot_lib::ids::Now;
use trestleknot_lib::json::{self, JsonError};
use trestleknot_lib::queue::{Queue, QueueTable, RequestLimits};
use trestleknot_lib::resources::Resources;
use trestleknot_lib::timings::PlatformBounds;

use crate::run_fleet::{Caller, FleetConfig, FleetFault, Node, POWER_OFF, RunFleet, Traffic};
use crate::run_target::{SERVICE, TargetImpairment};

/// Load begins when the processes have found each other.
pub const LOAD_FROM: Now = Duration::from_millis(2_000);
/// What callers allow for on top of the stretched work.
const TARGET_LATENCY: Duration = Duration::from_millis(60);
/// Factor of the objective on the work.
const STRETCH: f64 = 1.6;
/// How long a replay goes on after the last arrival.
const SETTLE: Duration = Duration::from_millis(5_000);

/// A kind of batch.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name, which is its queue's as well.
    pub name: String,
    /// Arrivals a second.
    pub per_second: f64,
    /// Mean number of tasks; each batch has 0.5 to 1.5 times as many.
    pub tasks: u32,
    /// Mean work of a task in milliseconds; each batch has 0.5 to 1.5 times as much.
    pub work_ms: u64,
    /// Thousandths of a core that a task takes.
    pub cpu_millis: u64,
    /// Share of the batches whose first task crashes every target that starts it. These are not
    /// counted.
    #[serde(default)]
    pub crash_share: f64,
    /// Mean size of the payload in bytes; each batch has 0.4 to 1.6 times as much.
    #[serde(default)]
    pub payload_bytes: usize,
}

/// A time of more arrivals.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// The kind that comes more often; all of them if none is named.
    pub kind: Option<String>,
    /// When it begins, from the start of load.
    pub from_ms: u64,
    /// When it ends.
    pub until_ms: u64,
    /// Times as many arrivals.
    pub times: f64,
}

/// What goes wrong.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum What {
    /// Targets take so many times as long.
    Slow(f64),
    /// Targets fail all that they start.
    Fail,
    /// Half of the orders are lost, and carried out late.
    LoseOrders,
    /// Entries and agents lose power, and are back 900 ms later, one after the other within the time
    /// of the trouble.
    PowerOff,
    /// Targets crash at moments within the time of the trouble, and are back 200 ms later.
    Crash,
    /// Targets are empty and new at this moment: those of the share are switched off until then.
    Join,
}

/// Something that goes wrong.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// What.
    pub what: What,
    /// Share of the targets; of all processes for a loss of power.
    pub share: f64,
    /// When, from the start of load.
    pub at_ms: u64,
    /// How long.
    pub for_ms: u64,
}

/// How callers are spread over the entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Spread {
    /// Each batch goes to any entry.
    Even,
    /// Some 1.5 groups of callers an entry, each of which stays with it: every fifth entry has none,
    /// some have four times their share.
    ByGroup,
}

/// See the module.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPattern {
    /// Entries.
    pub entries: usize,
    /// Targets.
    pub targets: usize,
    /// What each target has, in thousandths of a core.
    pub target_cpu_millis: u64,
    /// One way between two processes in milliseconds, with what they take to read it.
    pub one_way_ms: f64,
    /// What an entry's link carries each way; without it, everything at once.
    #[serde(default)]
    pub entry_link_mbps: Option<f64>,
    /// How long load lasts.
    pub load_ms: u64,
    /// How callers are spread.
    pub spread: Spread,
    /// The kinds.
    pub kinds: Vec<Kind>,
    /// Bursts.
    #[serde(default)]
    pub bursts: Vec<Burst>,
    /// Troubles.
    #[serde(default)]
    pub troubles: Vec<Trouble>,
}

/// What became of the batches of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct KindResults {
    /// Batches asked.
    pub asked: u32,
    /// Answered well and in time.
    pub in_time: u32,
    /// Answered well, but late.
    pub late: u32,
    /// Refused before anything ran.
    pub refused: u32,
    /// How long those that were refused had waited, all together.
    pub waited_in_vain: Duration,
    /// Anything else.
    pub failed: u32,
    /// Of these, answered as failed: a task was given up.
    pub given_up: u32,
    /// Core seconds of the batches answered in time.
    pub good_work: f64,
}

impl KindResults {
    /// Share answered in time.
    pub fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }

    /// Mean wait of those that were refused.
    pub fn wait_to_refusal(&self) -> Duration {
        self.waited_in_vain / self.refused.max(1)
    }

    fn add(&mut self, other: &Self) {
        self.asked += other.asked;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.waited_in_vain += other.waited_in_vain;
        self.failed += other.failed;
        self.given_up += other.given_up;
        self.good_work += other.good_work;
    }
}

/// What a replay shows.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplayResults {
    /// By kind, in the order of the pattern.
    pub kinds: Vec<(String, KindResults)>,
    /// Starts ordered.
    pub orders: u64,
    /// Of these, orders that found no room.
    pub full: u64,
    /// Packets between entries and agents.
    pub packets: u64,
    /// Core seconds answered in time, a second, over what all targets have.
    pub goodput: f64,
    /// What entries' links carried, by what it was for; nothing where links have no rate.
    pub traffic: BTreeMap<&'static str, Traffic>,
}

impl ReplayResults {
    /// All kinds together.
    pub fn all(&self) -> KindResults {
        let mut all = KindResults::default();
        for (_, kind) in &self.kinds {
            all.add(kind);
        }
        all
    }

    /// Share of the orders that found no room.
    pub fn share_full(&self) -> f64 {
        self.full as f64 / self.orders.max(1) as f64
    }
}

impl LoadPattern {
    /// Reads a pattern; `origin` names it in errors.
    pub fn parse(origin: &str, text: &str) -> Result<Self, JsonError> {
        json::parse(origin, text)
    }

    /// Plays it.
    pub fn play(&self, seed: u64) -> RunFleet {
        let shape = FleetConfig {
            entries: self.entries,
            agents: self.targets,
            bounds: PlatformBounds::default(),
            capacity: Resources {
                cpu_millis: self.target_cpu_millis,
                memory_mib: 32_768,
                accelerators: 0,
            },
            one_way: Duration::from_secs_f64(self.one_way_ms / 1_000.0),
            entry_link_mbps: self.entry_link_mbps,
            ..FleetConfig::default()
        };
        let mut fleet = RunFleet::with_config(seed, shape, self.config());
        fleet.keeps_log = false;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let groups = self.groups(&mut rng);
        for index in 0..self.kinds.len() {
            self.plan_kind(index, &groups, &mut rng, &mut fleet);
        }
        for trouble in &self.troubles {
            self.plan_trouble(trouble, &mut rng, &mut fleet);
        }
        fleet.run_until(self.load_until() + SETTLE);
        fleet
    }

    /// Plays it and adds up what became of the batches that came in a span of time, counted from
    /// the start of load.
    pub fn figures(&self, seed: u64, span: std::ops::Range<Duration>) -> ReplayResults {
        let fleet = self.play(seed);
        self.count(&fleet, span)
    }

    /// Adds up what became of the batches that came in a span of time.
    pub fn count(&self, fleet: &RunFleet, span: std::ops::Range<Duration>) -> ReplayResults {
        let none = |kind: &Kind| (kind.name.clone(), KindResults::default());
        let mut kinds: Vec<(String, KindResults)> = self.kinds.iter().map(none).collect();
        let (from, to) = (LOAD_FROM + span.start, LOAD_FROM + span.end);
        for caller in fleet.callers.values() {
            if caller.sent >= from && caller.sent < to && !caller.crashes {
                count_caller(caller, &mut kinds[caller.queue].1);
            }
        }
        let good_work: f64 = kinds.iter().map(|(_, k)| k.good_work).sum();
        let cores = self.targets as f64 * self.target_cpu_millis as f64 / 1_000.0;
        ReplayResults {
            kinds,
            orders: fleet.orders,
            full: fleet.full,
            packets: fleet.packets,
            goodput: good_work / cores / (span.end - span.start).as_secs_f64(),
            traffic: fleet.traffic.by_kind.clone(),
        }
    }

    fn load_until(&self) -> Now {
        LOAD_FROM + Duration::from_millis(self.load_ms)
    }

    /// The entry of each group of callers.
    fn groups(&self, rng: &mut ChaCha8Rng) -> Vec<Option<usize>> {
        match self.spread {
            Spread::Even => vec![None],
            Spread::ByGroup => (0..self.entries * 3 / 2)
                .map(|_| Some(rng.random_range(0..self.entries)))
                .collect(),
        }
    }

    fn rate(&self, kind: &Kind, at: Now) -> f64 {
        let at = at.saturating_sub(LOAD_FROM).as_millis() as u64;
        let hits = |b: &&Burst| {
            let is_meant = b.kind.as_ref().is_none_or(|name| *name == kind.name);
            is_meant && b.from_ms <= at && at < b.until_ms
        };
        let times: f64 = self.bursts.iter().filter(hits).map(|b| b.times).product();
        kind.per_second * times
    }

    fn plan_kind(
        &self,
        index: usize,
        groups: &[Option<usize>],
        rng: &mut ChaCha8Rng,
        fleet: &mut RunFleet,
    ) {
        let kind = &self.kinds[index];
        let mut at = LOAD_FROM;
        while at < self.load_until() {
            let tasks = f64::from(kind.tasks) * rng.random_range(0.5..1.5);
            let work_ms = kind.work_ms as f64 * rng.random_range(0.5..1.5);
            let size = Resources {
                cpu_millis: kind.cpu_millis,
                memory_mib: 64,
                accelerators: 0,
            };
            let tasks = (tasks.round() as u32).max(1);
            let work_ms = (work_ms as u64).max(1);
            let mut caller = Caller::new(at, tasks, work_ms, size);
            caller.queue = index;
            caller.guess = Some(rng.random_range(0.6..1.4));
            caller.entry = groups[rng.random_range(0..groups.len())];
            caller.crashes = kind.crash_share > 0.0 && rng.random_bool(kind.crash_share);
            if kind.payload_bytes > 0 {
                let letters = kind.payload_bytes as f64 * rng.random_range(0.4..1.6);
                caller.payload_letters = letters as usize;
            }
            fleet.add_caller(rng.random(), caller);
            let pause = -f64::ln(rng.random_range(1e-9..1.0)) / self.rate(kind, at).max(1e-3);
            at += Duration::from_secs_f64(pause);
        }
    }

    fn plan_trouble(&self, trouble: &Trouble, rng: &mut ChaCha8Rng, fleet: &mut RunFleet) {
        let at = LOAD_FROM + Duration::from_millis(trouble.at_ms);
        let length = Duration::from_millis(trouble.for_ms);
        if let What::PowerOff = trouble.what {
            for entry in 0..self.entries {
                if rng.random_bool(trouble.share) {
                    let off = power_off(Node::Entry(entry), length, rng);
                    fleet.inject(at, off);
                }
            }
        }
        for target in 0..self.targets {
            if !rng.random_bool(trouble.share) {
                continue;
            }
            let troubled = |trouble| FleetFault::Trouble(target, trouble, length);
            match trouble.what {
                What::Slow(slowdown) => {
                    let slow = TargetImpairment {
                        slowdown,
                        ..TargetImpairment::default()
                    };
                    fleet.inject(at, troubled(slow));
                }
                What::Fail => {
                    let fails = TargetImpairment {
                        fails: true,
                        ..TargetImpairment::default()
                    };
                    fleet.inject(at, troubled(fails));
                }
                What::LoseOrders => fleet.inject(at, FleetFault::LateOrders(target, length)),
                What::PowerOff => {
                    let off = power_off(Node::Agent(target), length, rng);
                    fleet.inject(at, off);
                }
                What::Crash => {
                    let at = at + length.mul_f64(rng.random_range(0.0..1.0));
                    fleet.inject(at, FleetFault::Restart(target));
                }
                What::Join => fleet.start_later(Node::Agent(target), at),
            }
        }
    }

    fn config(&self) -> QueueTable {
        let queue = |kind: &Kind| Queue {
            name: kind.name.as_str().into(),
            host: "host".to_owned(),
            path_prefix: format!("/{}/", kind.name),
            service: SERVICE.into(),
            priority: 0,
            max_attempts: 3,
            stretch: STRETCH,
            target_latency: TARGET_LATENCY,
            needs_advice: false,
        };
        QueueTable {
            version: 1,
            queues: self.kinds.iter().map(|k| queue(k).into()).collect(),
            limits: RequestLimits {
                body_bytes: 262_144,
            },
        }
    }
}

/// A loss of power, after which processes are back within `spread` of each other.
fn power_off(node: Node, spread: Duration, rng: &mut ChaCha8Rng) -> FleetFault {
    if spread.is_zero() {
        return FleetFault::PowerOff(node);
    }
    let back_after = POWER_OFF + spread.mul_f64(rng.random_range(0.0..1.0));
    FleetFault::PowerOffFor(node, back_after)
}

fn count_caller(caller: &Caller, figures: &mut KindResults) {
    figures.asked += 1;
    let objective = Duration::from_millis(caller.work_ms).mul_f64(STRETCH) + TARGET_LATENCY;
    let is_refused = |reply: &Reply| matches!(reply, Reply::Refused { .. });
    match caller.succeeded {
        Some(at) if at <= caller.sent + objective => {
            figures.in_time += 1;
            let core_ms = u64::from(caller.tasks) * caller.work_ms * caller.size.cpu_millis;
            figures.good_work += core_ms as f64 / 1e6;
        }
        Some(_) => figures.late += 1,
        None if caller.replies.last().is_some_and(|(_, r)| is_refused(r)) => {
            figures.refused += 1;
            let refused = caller.refused.unwrap_or(caller.sent);
            figures.waited_in_vain += refused.saturating_sub(caller.sent);
        }
        None => {
            figures.failed += 1;
            let is_given_up = caller.replies.iter().any(|(_, r)| *r == Reply::Failed);
            figures.given_up += u32::from(is_given_up);
        }
    }
}
