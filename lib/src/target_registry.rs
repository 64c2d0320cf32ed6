//! An entry's view of the targets: their free capacity and speed, and which target gets a task.
//!
//! A target's free capacity is the agent's last load report minus the starts sent since. Orders of
//! other entries show only in the agent's next packet. An order may therefore exceed the capacity;
//! the agent then refuses it and the entry places the task again.
//!
//! A task goes to the target with the lowest cost: the expected run time there, as a multiple of
//! the task's estimate, plus extra costs in the same unit. An ejected target fails too often or is
//! far slower than the fastest one. It gets only probes: single starts that test it.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rand::Rng as _;
use rand_chacha::ChaCha8Rng;

use crate::evacuations::EvacuatedHalls;
use crate::ids::{HallName, NodeName, Now, SessionId};
use crate::queue::Queue;
use crate::resources::Resources;
use crate::run_message::{AgentMillis, DISPATCH_NOTICE_PROTOCOL, ProtocolVersion, TargetInfo};
use crate::target_health::{HealthReport, MAX_SLOWDOWN_RATIO};
use crate::target_speeds::{self, SpeedComparison};
use crate::timings::CLOCK_SLOWDOWN;

/// An agent that has been silent for this long gets no work. Exceeds two heartbeat intervals.
const AGENT_SILENCE_LIMIT: Duration = Duration::from_millis(650);
/// Shortest time between two probes of an ejected target by one entry.
const PROBE_INTERVAL: Duration = Duration::from_millis(600);
/// Minimum average time between two probes of an ejected target by all entries together. All
/// entries learn from each probe, and every probe may cost a batch its time.
const PROBE_SPACING: Duration = Duration::from_millis(150);
/// How long a target gets no work after its agent reported it as unhealthy or unreachable.
const UNHEALTHY_PAUSE: Duration = Duration::from_millis(250);
/// How long a target gets no work after it left a call unanswered. Its agent calls it again
/// meanwhile. It has an answer within a few milliseconds.
const DOUBTFUL_PAUSE: Duration = Duration::from_millis(15);
/// Extra cost of a full target over an empty one, as a share of the run time. Spreads a batch over
/// several targets. Agents execute orders in turn, and a spread batch suffers less from one bad
/// target.
const UTILIZATION_COST: f64 = 0.35;
/// Extra cost of a target that the task would nearly fill. Another entry may have filled it
/// meanwhile, and a refused order costs time. Such an order costs about 10 ms.
const NEARLY_FULL_COST: f64 = 0.15;
/// Free share of a target's capacity below which it counts as nearly full.
const NEARLY_FULL_SHARE: f64 = 0.1;
/// Extra cost per start that the agent has not confirmed yet, for the time that the agent needs for
/// an order. That time is about 4 ms; the shortest usual task takes 60 ms.
const UNCONFIRMED_START_COST: f64 = 0.05;
/// Upper bound of the random cost that is added for a load report of age [`STALE_AFTER`] or more.
/// Keeps entries from all choosing the same target.
const MAX_STALENESS_COST: f64 = 0.7;
/// Age at which a load report counts as fully stale.
const STALE_AFTER: Duration = Duration::from_millis(200);
/// Extra cost of a target in another data hall, for the network round trip. It takes about a
/// millisecond; the shortest usual task takes 60 ms.
const OTHER_HALL_COST: f64 = 0.02;

/// One target, as known from its agent's link.
#[derive(Debug)]
pub struct TargetView {
    /// Name of the agent's process, as in its settings.
    pub agent: NodeName,
    /// Data hall of the VM.
    pub hall: HallName,
    /// The target, or `None` while the agent has none.
    pub info: Option<TargetInfo>,
    /// Whether the agent is stopping.
    pub is_leaving: bool,
    /// Whether the agent has said on this link that all its runs are listed and announced.
    pub has_listed_runs: bool,
    /// Version of the messages that the agent understands.
    pub protocol: ProtocolVersion,
    /// Whether its data hall is evacuated.
    is_evacuated: bool,
    /// When the agent's last packet arrived.
    pub heard: Now,
    /// When a packet was last sent to the agent.
    pub sent: Now,
    /// The time from which the lease in the last packet to the agent counts.
    pub lease_basis: Now,
    /// The agent's clock in its last packet.
    clock: AgentMillis,
    /// The agent's clock in the packet that was read with the least delay, and when it was read.
    least_delayed_clock: (AgentMillis, Now),
    /// Free resources in the agent's last packet.
    free: Resources,
    /// Number of starts sent on this link.
    starts_sent: u64,
    /// Sizes of the starts that the agent has not confirmed yet, oldest first.
    unconfirmed_starts: VecDeque<Resources>,
    /// `free` minus the unconfirmed starts.
    free_capacity: Resources,
    health: HealthReport,
    /// Slowdown that is assumed until the target's first run has ended.
    expected_slowdown: f64,
    /// Whether the agent has learnt a slowdown.
    has_run: bool,
    /// When the target may get work again after a start was refused.
    paused_until: Now,
    /// When the target may get its next probe if it is ejected.
    probe_at: Now,
}

/// Load and health of a target, as reported in every packet of its agent.
#[derive(Debug, Clone, Copy)]
pub struct LoadReport {
    /// The agent's clock when it sent the report.
    pub clock: AgentMillis,
    /// Free resources that this entry may use.
    pub free: Resources,
    /// Starts of this entry that `free` takes into account.
    pub starts_seen: u64,
    /// Health of the target.
    pub health: HealthReport,
}

/// Requirements and preferences of a task for its target.
#[derive(Debug, Clone, Copy)]
pub struct TaskRequirements<'a> {
    /// Resources that the task takes.
    pub size: Resources,
    /// Queue of the task.
    pub queue: &'a Queue,
    /// Label that the target must have.
    pub required_label: Option<&'a str>,
    /// Rack in which the task runs faster.
    pub preferred_rack: Option<&'a str>,
    /// Time until the batch is due, as a multiple of the task's estimate.
    pub time_left: f64,
    /// Agent whose target costs more, because an earlier run of the task failed, crashed or was
    /// stopped there.
    pub avoid: Option<&'a str>,
    /// Links on which the batch's payload was already sent.
    pub payload_sent_to: &'a BTreeSet<SessionId>,
    /// Cost of sending the payload on another link, as a multiple of the task's estimate.
    pub payload_cost: f64,
    /// Whether the target must be idle.
    pub is_idle: bool,
}

/// Factor on the run time outside the preferred rack if the platform states none.
const DEFAULT_FAR_FACTOR: f64 = 1.5;
/// Interval at which the speeds of all targets are compared.
const COMPARE_INTERVAL: Duration = Duration::from_millis(50);

impl TargetView {
    fn new(now: Now, agent: NodeName, hall: HallName) -> Self {
        Self {
            agent,
            hall,
            info: None,
            is_leaving: false,
            has_listed_runs: false,
            protocol: 0,
            is_evacuated: false,
            heard: now,
            sent: now,
            lease_basis: now,
            clock: 0,
            least_delayed_clock: (0, now),
            free: Resources::NONE,
            starts_sent: 0,
            unconfirmed_starts: VecDeque::new(),
            free_capacity: Resources::NONE,
            health: HealthReport::default(),
            expected_slowdown: 1.0,
            has_run: false,
            paused_until: Now::ZERO,
            probe_at: Now::ZERO,
        }
    }

    /// The reported free capacity minus the starts that the agent has not confirmed yet.
    fn free_capacity(&self) -> Resources {
        self.free_capacity
    }

    fn update_free_capacity(&mut self) {
        let unconfirmed = self.unconfirmed_starts.iter();
        self.free_capacity = unconfirmed.fold(self.free, |free, size| free.minus(*size));
    }

    /// Whether all runs of the agent are listed and announced. Agents of older builds don't say so, but
    /// announce their targets only once their lists are read.
    pub fn has_listed_runs(&self) -> bool {
        let says_so = self.protocol >= DISPATCH_NOTICE_PROTOCOL;
        self.has_listed_runs || !says_so && self.info.is_some()
    }

    /// When the agent wrote its last packet, at the latest.
    pub fn wrote_at(&self) -> Now {
        let (clock, read) = self.least_delayed_clock;
        let before = clock.saturating_sub(self.clock);
        let after = self.clock.saturating_sub(clock);
        let before = Duration::from_millis(before).div_f64(CLOCK_SLOWDOWN);
        let after = Duration::from_millis(after).mul_f64(CLOCK_SLOWDOWN);
        (read + after).saturating_sub(before).min(self.heard)
    }

    /// A lower bound of the agent's clock: the transit time of its packet is not known.
    pub fn agent_clock(&self, now: Now) -> AgentMillis {
        self.clock + now.saturating_sub(self.heard).as_millis() as AgentMillis
    }

    /// A lower bound of the agent's clock at `at`, an earlier time than `now`.
    pub fn agent_clock_at(&self, now: Now, at: Now) -> AgentMillis {
        if at >= now {
            return self.agent_clock(now);
        }
        self.least_delayed_clock_at(at).min(self.agent_clock(now))
    }

    /// The agent's clock by the packet that was read with the least delay. Either clock may run slow.
    fn least_delayed_clock_at(&self, at: Now) -> AgentMillis {
        let (clock, read) = self.least_delayed_clock;
        let since = at.saturating_sub(read).div_f64(CLOCK_SLOWDOWN);
        let before = read.saturating_sub(at).mul_f64(CLOCK_SLOWDOWN);
        let clock = clock + since.as_millis() as AgentMillis;
        clock.saturating_sub(before.as_millis() as AgentMillis)
    }

    fn note_clock(&mut self, now: Now, clock: AgentMillis) {
        self.heard = now;
        self.clock = clock;
        if self.least_delayed_clock_at(now) <= clock {
            self.least_delayed_clock = (clock, now);
        }
    }

    /// Age of the load report, from 0 (new) to 1 (at least [`STALE_AFTER`] old).
    fn staleness(&self, now: Now) -> f64 {
        let age = now.saturating_sub(self.heard);
        age.div_duration_f64(STALE_AFTER).min(1.0)
    }

    fn can_run(&self, need: &TaskRequirements<'_>) -> bool {
        let Some(info) = &self.info else {
            return false;
        };
        let label = need.required_label;
        if need.is_idle && self.free_capacity() != info.capacity {
            return false;
        }
        info.service == need.queue.service
            && label.is_none_or(|l| info.labels.iter().any(|have| have == l))
    }

    fn may_get_work(&self, now: Now) -> bool {
        !self.is_evacuated && self.may_get_work_ignoring_evacuation(now)
    }

    /// Whether the target may get work or is kept from it only by an evacuation.
    fn may_get_work_ignoring_evacuation(&self, now: Now) -> bool {
        self.is_available(now) && self.paused_until <= now
    }

    /// Whether the target exists, has been heard lately and is not leaving.
    fn is_available(&self, now: Now) -> bool {
        let Some(info) = &self.info else {
            return false;
        };
        !self.is_leaving && !info.leaving && self.heard + AGENT_SILENCE_LIMIT > now
    }

    /// Whether a task that prefers this rack would run outside it.
    pub fn is_far(&self, preferred_rack: Option<&str>) -> bool {
        let Some(info) = &self.info else {
            return false;
        };
        preferred_rack.is_some_and(|rack| info.labels.iter().all(|have| have != rack))
    }

    fn cost(&self, need: &TaskRequirements<'_>, hall: &HallName, distance: f64) -> f64 {
        let Some(info) = &self.info else {
            return f64::MAX;
        };
        let used = info.capacity.minus(self.free_capacity()).plus(need.size);
        let used = used.share_of(info.capacity);
        let slowdown = self.slowdown();
        let mut cost = slowdown * (1.0 + UTILIZATION_COST * used);
        if used > 1.0 - NEARLY_FULL_SHARE {
            cost += NEARLY_FULL_COST;
        }
        cost += UNCONFIRMED_START_COST * self.unconfirmed_starts.len() as f64;
        if self.hall != *hall {
            cost += OTHER_HALL_COST;
        }
        cost += (distance - 1.0) * slowdown;
        if need.avoid == Some(&*self.agent) {
            cost += slowdown;
        }
        cost
    }
}

/// The target chosen for a task.
#[derive(Debug, Clone, Copy)]
pub struct TargetChoice {
    /// The link to it, if any target can take the task.
    pub link: Option<SessionId>,
    /// Whether a target with free capacity was left out because the task would be late there and
    /// can still be in time elsewhere.
    pub has_declined: bool,
}

/// Why a start was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartRefusal {
    /// The agent reported the target as unhealthy or unreachable.
    Unhealthy,
    /// The target has just left another call unanswered, or its next incarnation is about to be
    /// announced.
    Doubtful,
}

/// How a load report changes whether a target is ejected for its failures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectionChange {
    /// No change.
    Unchanged,
    /// The target is ejected: its runs fail too often.
    Ejected,
    /// The target's runs no longer fail too often.
    Readmitted,
}

/// The targets that an entry can reach, by link.
#[derive(Debug)]
pub struct TargetRegistry {
    views: BTreeMap<SessionId, TargetView>,
    /// [`PROBE_INTERVAL`], or longer if many entries share a target.
    probe_interval: Duration,
    evacuated: Arc<EvacuatedHalls>,
    /// Result of [`Self::least_slowdown`] and its time, until a target changes. Every task of a
    /// placement round needs it.
    least_slowdown: Cell<Option<(Now, f64)>>,
    /// Factor on the run time outside the preferred rack, if the platform states it.
    far_factor: Option<f64>,
    /// The least slowdown of the targets that take new work, as of the last comparison. Failing and
    /// paused targets are left out, because a task must not wait for one of them.
    least_open_slowdown: f64,
    /// Comparison of all targets, at most [`COMPARE_INTERVAL`] old in a placement round.
    speeds: SpeedComparison,
    compared_at: Option<Now>,
}

impl Default for TargetRegistry {
    fn default() -> Self {
        Self {
            views: BTreeMap::new(),
            probe_interval: PROBE_INTERVAL,
            evacuated: Arc::default(),
            least_slowdown: Cell::new(None),
            far_factor: None,
            least_open_slowdown: f64::MAX,
            speeds: SpeedComparison::default(),
            compared_at: None,
        }
    }
}

impl TargetRegistry {
    /// A registry with the platform's factor on the run time outside the preferred rack.
    pub fn with_far_factor(far_factor: Option<f64>) -> Self {
        Self {
            far_factor,
            ..Self::default()
        }
    }

    /// Factor on the run time of a task on a target, by the distance from its preferred rack. 1 if
    /// the platform states none.
    pub fn distance_factor(&self, link: SessionId, preferred_rack: Option<&str>) -> f64 {
        match (self.far_factor, self.views.get(&link)) {
            (Some(factor), Some(view)) if view.is_far(preferred_rack) => factor,
            _ => 1.0,
        }
    }

    /// Records the target that an agent announced. Until it has run a task, its slowdown is assumed
    /// to be the median of targets with the same labels and capacity.
    pub fn note_target(&mut self, link: SessionId, info: Option<TargetInfo>) {
        let alike = info
            .as_ref()
            .map(|info| self.slowdowns_of_alike(link, info));
        if let Some(view) = self.get_mut(link) {
            if let Some(alike) = alike {
                view.expected_slowdown = target_speeds::expected_slowdown(alike);
            }
            view.info = info;
        }
    }

    fn slowdowns_of_alike(&self, link: SessionId, info: &TargetInfo) -> Vec<f64> {
        let is_alike = |view: &TargetView| {
            view.has_run
                && view
                    .info
                    .as_ref()
                    .is_some_and(|i| i.capacity == info.capacity && i.labels == info.labels)
        };
        let others = self.views.iter().filter(|(l, _)| **l != link);
        let alike = others.filter(|(_, view)| is_alike(view));
        alike.map(|(_, view)| view.health.slowdown()).collect()
    }

    /// Compares the speeds of all targets if that was not done recently.
    pub fn compare_speeds(&mut self, now: Now) {
        if self
            .compared_at
            .is_some_and(|at| at + COMPARE_INTERVAL > now)
        {
            return;
        }
        self.compared_at = Some(now);
        let compared = |v: &&TargetView| !v.is_evacuated && v.is_available(now);
        let (mut free, mut capacity) = (0_u64, 0_u64);
        let mut least_open = f64::MAX;
        let mut slowdowns = Vec::with_capacity(self.views.len());
        for view in self.views.values().filter(compared) {
            slowdowns.push(view.slowdown());
            if view.may_get_work(now) && !view.health.fails_too_often() {
                least_open = least_open.min(view.slowdown());
            }
            let of_target = view.info.as_ref().map_or(0, |i| i.capacity.cpu_millis);
            free = free.saturating_add(view.free_capacity().cpu_millis);
            capacity = capacity.saturating_add(of_target);
        }
        let free_share = free as f64 / capacity.max(1) as f64;
        self.speeds = SpeedComparison::of(slowdowns, free_share);
        self.least_open_slowdown = least_open;
    }

    /// Adds an agent that has said hello.
    pub fn join(&mut self, now: Now, link: SessionId, agent: NodeName, hall: HallName) {
        let mut view = TargetView::new(now, agent, hall);
        view.is_evacuated = self.evacuated.contains(&view.hall);
        self.least_slowdown.set(None);
        self.views.insert(link, view);
    }

    /// Applies a change of the evacuated halls to all targets.
    pub fn note_evacuations(&mut self, evacuated: &Arc<EvacuatedHalls>) {
        self.evacuated = evacuated.clone();
        self.least_slowdown.set(None);
        for view in self.views.values_mut() {
            view.is_evacuated = evacuated.contains(&view.hall);
        }
    }

    /// Whether a service has no usable target only because of evacuations.
    pub fn is_evacuated(&self, now: Now, service: &str) -> bool {
        let runs_service =
            |v: &&TargetView| v.info.as_ref().is_some_and(|i| &*i.service == service);
        let mut views = self.views.values().filter(runs_service);
        let has_evacuated =
            views.any(|v| v.is_evacuated && v.may_get_work_ignoring_evacuation(now));
        let mut views = self.views.values().filter(runs_service);
        has_evacuated && !views.any(|v| v.may_get_work(now))
    }

    /// Removes the target of a closed link.
    pub fn leave(&mut self, link: SessionId) -> Option<TargetView> {
        self.least_slowdown.set(None);
        self.views.remove(&link)
    }

    /// The target behind a link, to be modified.
    pub fn get_mut(&mut self, link: SessionId) -> Option<&mut TargetView> {
        self.least_slowdown.set(None);
        self.views.get_mut(&link)
    }

    /// The target behind a link.
    pub fn get(&self, link: SessionId) -> Option<&TargetView> {
        self.views.get(&link)
    }

    /// The link to an agent.
    pub fn link_of(&self, agent: &str) -> Option<SessionId> {
        let found = self.views.iter().find(|(_, v)| &*v.agent == agent);
        found.map(|(link, _)| *link)
    }

    /// All links.
    pub fn links(&self) -> Vec<SessionId> {
        self.views.keys().copied().collect()
    }

    /// Number of targets that may get work.
    pub fn usable(&self, now: Now) -> usize {
        self.views.values().filter(|v| v.may_get_work(now)).count()
    }

    /// Number of targets that may get work or are kept from it only by evacuations.
    pub fn reachable(&self, now: Now) -> usize {
        let views = self.views.values();
        views
            .filter(|v| v.may_get_work_ignoring_evacuation(now))
            .count()
    }

    /// Links on which nothing has arrived since `before`.
    pub fn silent(&self, before: Now) -> Vec<SessionId> {
        let silent = self.views.iter().filter(|(_, v)| v.heard < before);
        silent.map(|(link, _)| *link).collect()
    }

    /// Applies the load report of an agent's packet. Returns whether its target was ejected for its
    /// failures or readmitted.
    pub fn heard(&mut self, now: Now, link: SessionId, report: LoadReport) -> EjectionChange {
        let LoadReport {
            clock,
            free,
            starts_seen,
            health,
        } = report;
        self.least_slowdown.set(None);
        let Some(view) = self.views.get_mut(&link) else {
            return EjectionChange::Unchanged;
        };
        view.note_clock(now, clock);
        view.free = free;
        let still_unconfirmed = view.starts_sent.saturating_sub(starts_seen) as usize;
        while view.unconfirmed_starts.len() > still_unconfirmed {
            view.unconfirmed_starts.pop_front();
        }
        view.update_free_capacity();
        let default_pace = HealthReport::default().pace_percent;
        view.has_run |= health.pace_percent != default_pace;
        let was_ejected = view.health.fails_too_often();
        view.health = health;
        match (was_ejected, health.fails_too_often()) {
            (false, true) => {
                view.probe_at = now + self.probe_interval;
                EjectionChange::Ejected
            }
            (true, false) => EjectionChange::Readmitted,
            _ => EjectionChange::Unchanged,
        }
    }

    /// Counts a start that was sent to a target. If the target is ejected, the start is a probe,
    /// and the time of the next one does not depend on its result: a probe may be stopped without
    /// one.
    pub fn sent_start(&mut self, now: Now, link: SessionId, size: Resources) {
        let least_slowdown = self.least_slowdown(now);
        if let Some(view) = self.views.get_mut(&link) {
            view.starts_sent += 1;
            view.unconfirmed_starts.push_back(size);
            view.update_free_capacity();
            if view.is_ejected(least_slowdown, &self.speeds) {
                view.probe_at = now + self.probe_interval;
            }
        }
    }

    /// Sets the number of entries that give work to the same target, including this one.
    pub fn note_entries(&mut self, entries: usize) {
        self.probe_interval = PROBE_INTERVAL.max(PROBE_SPACING * entries as u32);
    }

    /// The target with the lowest cost for a task, if any can take it.
    pub fn choose(
        &self,
        now: Now,
        need: &TaskRequirements<'_>,
        hall: &HallName,
        is_excluded: impl Fn(&TargetView) -> bool,
        rng: &mut ChaCha8Rng,
    ) -> TargetChoice {
        let mut best: Option<(f64, SessionId)> = None;
        let least_slowdown = self.least_slowdown(now);
        let far_factor = self.far_factor.unwrap_or(DEFAULT_FAR_FACTOR);
        let is_bound = self.far_factor.is_some() && need.preferred_rack.is_some();
        let fit = self
            .speeds
            .for_task(is_bound, need.time_left, self.least_open_slowdown);
        let mut has_declined = false;
        for (link, view) in &self.views {
            let is_open = view.may_get_work(now)
                && view.can_run(need)
                && need.size.fits_in(view.free_capacity())
                && !is_excluded(view);
            if !is_open || (view.is_ejected(least_slowdown, &self.speeds) && view.probe_at > now) {
                continue;
            }
            let is_far = view.is_far(need.preferred_rack);
            let distance = self.far_factor.filter(|_| is_far).unwrap_or(1.0);
            let cost_factor = if is_far { far_factor } else { 1.0 };
            if fit.should_wait(view.slowdown(), distance) {
                has_declined = true;
                continue;
            }
            // Jitter keeps entries from all choosing the same target.
            let jitter = rng.random_range(0.97..1.03);
            let staleness_cost = view.staleness(now) * rng.random_range(0.0..MAX_STALENESS_COST);
            let mut cost = view.cost(need, hall, cost_factor) * jitter + staleness_cost;
            cost -= fit.cost_reduction(view.slowdown(), is_far);
            if !need.payload_sent_to.contains(link) {
                cost += need.payload_cost;
            }
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, *link));
            }
        }
        TargetChoice {
            link: best.map(|(_, link)| link),
            has_declined,
        }
    }

    /// The slowdown of the fastest available target, paused ones included. Evacuated targets are
    /// left out: compared with one that is idle, all others might count as too slow and get only
    /// probes.
    fn least_slowdown(&self, now: Now) -> f64 {
        if let Some((at, known)) = self.least_slowdown.get()
            && at == now
        {
            return known;
        }
        let found = self.find_least_slowdown(now);
        self.least_slowdown.set(Some((now, found)));
        found
    }

    fn find_least_slowdown(&self, now: Now) -> f64 {
        let compared = |v: &&TargetView| !v.is_evacuated && v.is_available(now);
        let slowdowns = self
            .views
            .values()
            .filter(compared)
            .map(TargetView::slowdown);
        slowdowns.fold(f64::MAX, f64::min)
    }

    /// Gives a target no work for a while after a start was refused.
    pub fn refused(&mut self, now: Now, link: SessionId, why: StartRefusal) {
        if let Some(view) = self.views.get_mut(&link) {
            let pause = match why {
                StartRefusal::Unhealthy => UNHEALTHY_PAUSE,
                StartRefusal::Doubtful => DOUBTFUL_PAUSE,
            };
            view.paused_until = view.paused_until.max(now + pause);
        }
    }

    /// Whether a target is ejected and gets only probes.
    pub fn is_ejected(&self, now: Now, link: SessionId) -> bool {
        let least_slowdown = self.least_slowdown(now);
        self.views
            .get(&link)
            .is_some_and(|view| view.is_ejected(least_slowdown, &self.speeds))
    }
}

impl TargetView {
    /// Whether the target gets only probes because it fails too often or is much slower than the
    /// fastest target.
    fn is_ejected(&self, least_slowdown: f64, speeds: &SpeedComparison) -> bool {
        let slowdown = self.slowdown();
        self.health.fails_too_often()
            || (slowdown > MAX_SLOWDOWN_RATIO * least_slowdown && speeds.is_unusual(slowdown))
    }

    /// Average ratio of run time to estimate.
    pub fn slowdown(&self) -> f64 {
        if !self.has_run {
            return self.expected_slowdown;
        }
        self.health.slowdown()
    }
}
