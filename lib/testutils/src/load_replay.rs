//! Plays load patterns on a simulated fleet of production cores on a virtual clock.
//!
//! A pattern is a JSON file with comments: kinds of batches with their rates, bursts, faults and
//! the size of the fleet. The same pattern and seed give the same results.

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

use crate::run_fleet::{
    Caller, FleetConfig, FleetFault, Node, POWER_OFF, ProcessorModel, RunFleet, Traffic,
};
use crate::run_target::{SERVICE, TargetImpairment};

/// Start of the load, when all processes have connected.
pub const LOAD_FROM: Now = Duration::from_millis(2_000);
/// Latency that the objective allows on top of the stretched work.
const TARGET_LATENCY: Duration = Duration::from_millis(60);
/// Factor on the work in the objective.
const STRETCH: f64 = 1.6;
/// Time from the end of the load to the end of a replay.
const SETTLE_TIME: Duration = Duration::from_millis(5_000);

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BatchKind {
    /// Its name and its queue's name.
    pub name: String,
    /// Mean arrivals per second.
    pub per_second: f64,
    /// Mean number of tasks; each batch has 0.5 to 1.5 times as many.
    pub tasks: u32,
    /// Mean work of a task in milliseconds; each batch has 0.5 to 1.5 times as much.
    pub work_ms: u64,
    /// Size of a task in thousandths of a core.
    pub cpu_millis: u64,
    /// Share of batches whose first task crashes every target that starts it. The results leave
    /// them out.
    #[serde(default)]
    pub crash_share: f64,
    /// Number of racks that its batches prefer, from the first; 0 if they prefer none. The
    /// preference falls with the square root of the rack's number.
    #[serde(default)]
    pub prefers_rack: usize,
    /// Share of its batches that prefer the first rack, instead of that rack's usual share.
    #[serde(default)]
    pub hot_rack_share: Option<f64>,
    /// Mean size of the payload in bytes; each batch has 0.4 to 1.6 times as much.
    #[serde(default)]
    pub payload_bytes: usize,
}

/// A period with a different arrival rate.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// The affected kind; all kinds if none.
    pub kind: Option<String>,
    /// Start, from the start of the load.
    pub from_ms: u64,
    /// End, from the start of the load.
    pub until_ms: u64,
    /// Factor on the arrival rate.
    pub times: f64,
}

/// What a fault in a pattern does.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultKind {
    /// New runs on targets take longer by this factor.
    Slow(f64),
    /// Targets fail all runs that they start.
    Fail,
    /// Half of the orders go unanswered and are carried out late.
    LoseOrders,
    /// Entries and agents lose power together; each restarts after 900 ms and a random part of the
    /// fault's length.
    PowerOff,
    /// Targets crash at random times during the fault, and are back 200 ms later.
    Crash,
    /// Like `Crash`, but only the target's process exits: its VM refuses connections meanwhile.
    Exit,
    /// Targets start at this time; they are switched off until then.
    Join,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PatternFault {
    /// Its kind.
    pub what: FaultKind,
    /// Share of the targets affected; of all processes for a power loss.
    pub share: f64,
    /// Start, from the start of the load.
    pub at_ms: u64,
    /// Length.
    pub for_ms: u64,
}

/// Processors of the entries in a pattern.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PatternProcessor {
    /// Time that an event takes on a whole core, in microseconds.
    pub event_us: u64,
    /// Share of a core that an entry has.
    pub share: f64,
    /// Number of entries, from the first, that have a smaller share.
    #[serde(default)]
    pub narrow_entries: usize,
    /// Their share.
    #[serde(default)]
    pub narrow_share: f64,
    /// Time for which the system withholds their processor.
    #[serde(default)]
    pub narrow_pause_ms: u64,
    /// Interval between the beginnings of such pauses.
    #[serde(default)]
    pub pause_interval_ms: u64,
}

impl From<PatternProcessor> for ProcessorModel {
    fn from(processor: PatternProcessor) -> Self {
        Self {
            event_cost: Duration::from_micros(processor.event_us),
            share: processor.share,
            narrow_entries: processor.narrow_entries,
            narrow_share: processor.narrow_share,
            narrow_pause: Duration::from_millis(processor.narrow_pause_ms),
            pause_interval: Duration::from_millis(processor.pause_interval_ms),
        }
    }
}

/// How callers are spread over the entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallerSpread {
    /// Each batch goes to a random entry.
    Even,
    /// Callers form 1.5 times as many groups as there are entries; each group uses one random
    /// entry, which makes the load uneven.
    ByGroup,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPattern {
    /// Number of entries.
    pub entries: usize,
    /// Number of targets.
    pub targets: usize,
    /// Capacity of each target in thousandths of a core.
    pub target_cpu_millis: u64,
    /// Factors on the capacity that targets take in turn.
    #[serde(default = "no_factors")]
    pub capacity_factors: Vec<f64>,
    /// Speeds that targets take in turn: work done per unit of time.
    #[serde(default = "no_factors")]
    pub speeds: Vec<f64>,
    /// Number of consecutive targets in a rack; all are in the same one if none.
    #[serde(default)]
    pub rack_size: Option<usize>,
    /// Factor on the time of runs outside the preferred rack, also in the entries' settings.
    #[serde(default)]
    pub far_factor: Option<f64>,
    /// One-way latency between two processes in milliseconds, including processing time.
    pub one_way_ms: f64,
    /// Bandwidth of an entry's link in each direction; unlimited if none.
    #[serde(default)]
    pub entry_link_mbps: Option<f64>,
    /// Processors of the entries; unlimited if none.
    #[serde(default)]
    pub entry_processor: Option<PatternProcessor>,
    /// Whether entries connect to each other.
    #[serde(default)]
    pub entries_meet: bool,
    /// Length of the load.
    pub load_ms: u64,
    /// How callers are spread over the entries.
    pub spread: CallerSpread,
    /// Kinds of batches.
    pub kinds: Vec<BatchKind>,
    #[serde(default)]
    pub bursts: Vec<Burst>,
    /// Faults.
    #[serde(default)]
    pub troubles: Vec<PatternFault>,
}

fn no_factors() -> Vec<f64> {
    vec![1.0]
}

/// Results of the batches of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct KindResults {
    /// Number of batches sent.
    pub asked: u32,
    /// Succeeded within the objective.
    pub in_time: u32,
    /// Succeeded after the objective.
    pub late: u32,
    pub refused: u32,
    /// Total time that refused batches had waited.
    pub wait_until_refused: Duration,
    /// Neither succeeded nor refused.
    pub failed: u32,
    /// Of the failed ones, those answered as failed, because a task was given up.
    pub given_up: u32,
    /// Core seconds of the batches that succeeded in time.
    pub core_seconds_in_time: f64,
}

impl KindResults {
    /// Share that succeeded in time.
    pub fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }

    /// Mean time until a refusal.
    pub fn wait_to_refusal(&self) -> Duration {
        self.wait_until_refused / self.refused.max(1)
    }

    fn add(&mut self, other: &Self) {
        self.asked += other.asked;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.wait_until_refused += other.wait_until_refused;
        self.failed += other.failed;
        self.given_up += other.given_up;
        self.core_seconds_in_time += other.core_seconds_in_time;
    }
}

#[derive(Debug, Clone, PartialEq)]
pub struct ReplayResults {
    /// Results by kind, in the order of the pattern.
    pub kinds: Vec<(String, KindResults)>,
    /// Number of starts that entries ordered.
    pub orders: u64,
    /// Number of those starts that targets rejected as full.
    pub full: u64,
    /// Number of packets sent between processes.
    pub packets: u64,
    /// Core seconds of batches that succeeded in time, per second and core of all targets.
    pub goodput: f64,
    /// Traffic on the entries' links by kind; empty if their bandwidth is unlimited.
    pub traffic: BTreeMap<&'static str, Traffic>,
}

impl ReplayResults {
    /// Sum over all kinds.
    pub fn all(&self) -> KindResults {
        let mut total = KindResults::default();
        for (_, kind) in &self.kinds {
            total.add(kind);
        }
        total
    }

    /// Share of starts that targets rejected as full.
    pub fn share_full(&self) -> f64 {
        self.full as f64 / self.orders.max(1) as f64
    }
}

impl LoadPattern {
    /// Parses a pattern; `origin` names it in errors.
    pub fn parse(origin: &str, text: &str) -> Result<Self, JsonError> {
        json::parse(origin, text)
    }

    /// Plays the pattern and returns the fleet at the end.
    pub fn play(&self, seed: u64) -> RunFleet {
        let fleet_config = FleetConfig {
            entries: self.entries,
            agents: self.targets,
            bounds: PlatformBounds::default(),
            capacity: self.capacity_of(0),
            one_way: Duration::from_secs_f64(self.one_way_ms / 1_000.0),
            entry_link_mbps: self.entry_link_mbps,
            entries_meet: self.entries_meet,
            processor: self.entry_processor.map(ProcessorModel::from),
            far_factor: self.far_factor,
            ..FleetConfig::default()
        };
        let mut fleet = RunFleet::with_config(seed, fleet_config, self.config());
        fleet.keeps_log = false;
        self.reshape_targets(&mut fleet);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let groups = self.groups(&mut rng);
        for index in 0..self.kinds.len() {
            self.plan_kind(index, &groups, &mut rng, &mut fleet);
        }
        for fault in &self.troubles {
            self.plan_fault(fault, &mut rng, &mut fleet);
        }
        fleet.run_until(self.load_until() + SETTLE_TIME);
        fleet
    }

    /// Plays the pattern and sums up the batches sent in a span of time from the start of the load.
    pub fn figures(&self, seed: u64, span: std::ops::Range<Duration>) -> ReplayResults {
        let fleet = self.play(seed);
        self.count(&fleet, span)
    }

    /// Sums up the batches sent in a span of time from the start of the load.
    pub fn count(&self, fleet: &RunFleet, span: std::ops::Range<Duration>) -> ReplayResults {
        let empty = |kind: &BatchKind| (kind.name.clone(), KindResults::default());
        let mut kinds: Vec<(String, KindResults)> = self.kinds.iter().map(empty).collect();
        let (from, to) = (LOAD_FROM + span.start, LOAD_FROM + span.end);
        for caller in fleet.callers.values() {
            if caller.sent >= from && caller.sent < to && !caller.crashes {
                count_caller(caller, &mut kinds[caller.queue].1);
            }
        }
        let core_seconds_in_time: f64 = kinds.iter().map(|(_, k)| k.core_seconds_in_time).sum();
        let cpu_millis = |index| self.capacity_of(index).cpu_millis as f64;
        let cores = (0..self.targets).map(cpu_millis).sum::<f64>() / 1_000.0;
        ReplayResults {
            kinds,
            orders: fleet.orders,
            full: fleet.full,
            packets: fleet.packets,
            goodput: core_seconds_in_time / cores / (span.end - span.start).as_secs_f64(),
            traffic: fleet.traffic.by_kind.clone(),
        }
    }

    fn capacity_of(&self, target: usize) -> Resources {
        let factor = self.capacity_factors[target % self.capacity_factors.len()];
        Resources {
            cpu_millis: (self.target_cpu_millis as f64 * factor).round() as u64,
            memory_mib: 32_768,
            accelerators: 0,
        }
    }

    fn rack_name(&self, rack: usize) -> String {
        format!("rack-{}", rack + 1)
    }

    fn reshape_targets(&self, fleet: &mut RunFleet) {
        fleet.reshape_targets(|index, target| {
            let mut target = target.with_capacity(self.capacity_of(index));
            target.speed = self.speeds[index % self.speeds.len()];
            target.rack = self.rack_name(self.rack_size.map_or(0, |size| index / size));
            target.far_factor = self.far_factor.unwrap_or(1.0);
            target
        });
    }

    /// Draws the rack that a batch of a kind prefers.
    fn draw_rack(&self, kind: &BatchKind, rng: &mut ChaCha8Rng) -> usize {
        if kind
            .hot_rack_share
            .is_some_and(|share| rng.random_bool(share))
        {
            return 0;
        }
        // With a hot rack, the others share the rest of the batches.
        let first = usize::from(kind.hot_rack_share.is_some());
        let weight = |rack: usize| 1.0 / ((rack + 1) as f64).sqrt();
        let total: f64 = (first..kind.prefers_rack).map(weight).sum();
        let mut left = rng.random_range(0.0..total);
        for rack in first..kind.prefers_rack {
            left -= weight(rack);
            if left < 0.0 {
                return rack;
            }
        }
        kind.prefers_rack - 1
    }

    fn load_until(&self) -> Now {
        LOAD_FROM + Duration::from_millis(self.load_ms)
    }

    /// The entry of each group of callers; none for a random entry.
    fn groups(&self, rng: &mut ChaCha8Rng) -> Vec<Option<usize>> {
        match self.spread {
            CallerSpread::Even => vec![None],
            CallerSpread::ByGroup => (0..self.entries * 3 / 2)
                .map(|_| Some(rng.random_range(0..self.entries)))
                .collect(),
        }
    }

    fn rate(&self, kind: &BatchKind, at: Now) -> f64 {
        let at = at.saturating_sub(LOAD_FROM).as_millis() as u64;
        let applies = |b: &&Burst| {
            let matches_kind = b.kind.as_ref().is_none_or(|name| *name == kind.name);
            matches_kind && b.from_ms <= at && at < b.until_ms
        };
        let factor: f64 = self
            .bursts
            .iter()
            .filter(applies)
            .map(|b| b.times)
            .product();
        kind.per_second * factor
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
            if kind.prefers_rack > 0 {
                caller.rack = Some(self.rack_name(self.draw_rack(kind, rng)));
            }
            caller.crashes = kind.crash_share > 0.0 && rng.random_bool(kind.crash_share);
            if kind.payload_bytes > 0 {
                let payload_letters = kind.payload_bytes as f64 * rng.random_range(0.4..1.6);
                caller.payload_letters = payload_letters as usize;
            }
            fleet.add_caller(rng.random(), caller);
            let pause = -f64::ln(rng.random_range(1e-9..1.0)) / self.rate(kind, at).max(1e-3);
            at += Duration::from_secs_f64(pause);
        }
    }

    fn plan_fault(&self, fault: &PatternFault, rng: &mut ChaCha8Rng, fleet: &mut RunFleet) {
        let at = LOAD_FROM + Duration::from_millis(fault.at_ms);
        let length = Duration::from_millis(fault.for_ms);
        if let FaultKind::PowerOff = fault.what {
            for entry in 0..self.entries {
                if rng.random_bool(fault.share) {
                    let off = power_off(Node::Entry(entry), length, rng);
                    fleet.inject(at, off);
                }
            }
        }
        for target in 0..self.targets {
            if !rng.random_bool(fault.share) {
                continue;
            }
            let impaired = |impairment| FleetFault::Trouble(target, impairment, length);
            match fault.what {
                FaultKind::Slow(slowdown) => {
                    let slow = TargetImpairment {
                        slowdown,
                        ..TargetImpairment::default()
                    };
                    fleet.inject(at, impaired(slow));
                }
                FaultKind::Fail => {
                    let fails = TargetImpairment {
                        fails: true,
                        ..TargetImpairment::default()
                    };
                    fleet.inject(at, impaired(fails));
                }
                FaultKind::LoseOrders => fleet.inject(at, FleetFault::LateOrders(target, length)),
                FaultKind::PowerOff => {
                    let off = power_off(Node::Agent(target), length, rng);
                    fleet.inject(at, off);
                }
                FaultKind::Crash => {
                    let at = random_time(at, length, rng);
                    fleet.inject(at, FleetFault::Restart(target));
                }
                FaultKind::Exit => {
                    let at = random_time(at, length, rng);
                    fleet.inject(at, FleetFault::Exit(target));
                }
                FaultKind::Join => fleet.start_later(Node::Agent(target), at),
            }
        }
    }

    fn config(&self) -> QueueTable {
        let queue = |kind: &BatchKind| Queue {
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

fn random_time(from: Now, within: Duration, rng: &mut ChaCha8Rng) -> Now {
    from + within.mul_f64(rng.random_range(0.0..1.0))
}

/// A power loss; the process restarts at a random time within `spread` after [`POWER_OFF`].
fn power_off(node: Node, spread: Duration, rng: &mut ChaCha8Rng) -> FleetFault {
    if spread.is_zero() {
        return FleetFault::PowerOff(node);
    }
    let restart_after = POWER_OFF + spread.mul_f64(rng.random_range(0.0..1.0));
    FleetFault::PowerOffFor(node, restart_after)
}

fn count_caller(caller: &Caller, results: &mut KindResults) {
    results.asked += 1;
    let objective = Duration::from_millis(caller.work_ms).mul_f64(STRETCH) + TARGET_LATENCY;
    let is_refused = |reply: &Reply| matches!(reply, Reply::Refused { .. });
    match caller.succeeded {
        Some(at) if at <= caller.sent + objective => {
            results.in_time += 1;
            let core_ms = u64::from(caller.tasks) * caller.work_ms * caller.size.cpu_millis;
            results.core_seconds_in_time += core_ms as f64 / 1e6;
        }
        Some(_) => results.late += 1,
        None if caller.replies.last().is_some_and(|(_, r)| is_refused(r)) => {
            results.refused += 1;
            let refused = caller.refused.unwrap_or(caller.sent);
            results.wait_until_refused += refused.saturating_sub(caller.sent);
        }
        None => {
            results.failed += 1;
            let is_given_up = caller.replies.iter().any(|(_, r)| *r == Reply::Failed);
            results.given_up += u32::from(is_given_up);
        }
    }
}
