//! An entry's picture of the targets: what is free, how fast each is, and which to give work.
//!
//! A target's free resources are the agent's last word less what this entry has sent since. Other
//! entries' orders show only in the agent's next packet, so an order may find no room; the agent
//! then says so and the task goes elsewhere.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rand::Rng as _;
use rand_chacha::ChaCha8Rng;

use crate::evacuations::EvacuatedHalls;
use crate::ids::{HallName, NodeName, Now, SessionId};
use crate::queue::Queue;
use crate::resources::Resources;
use crate::run_message::{AgentMillis, TargetInfo};
use crate::target_health::{HealthReport, TOO_SLOW};

/// An agent that has not been heard for so long gets no work: two heartbeats and a half.
const FRESH: Duration = Duration::from_millis(650);
/// An outcast, which fails what it starts or is far too slow, gets one task of each entry in this
/// time. A time and not an answer paces probes: a probe may be stopped before it tells anything.
const PROBE_EVERY: Duration = Duration::from_millis(600);
/// Time between two probes of one outcast by any of the entries. All of them learn from each, and
/// every probe may cost a batch its time.
const PROBE_APART: Duration = Duration::from_millis(150);
/// A target that refused a start as unwell or silent gets none for this long.
const UNWELL_PAUSE: Duration = Duration::from_millis(250);
/// A target in doubt gets none for this long: its agent asks it again at once, and has an answer
/// within a few milliseconds or knows better.
const DOUBT_PAUSE: Duration = Duration::from_millis(15);
/// Cost of a full target over an empty one, as a share of the run time: agents obey orders in
/// turn, and a spread batch is hurt less by one bad target.
const CROWD_COST: f64 = 0.35;
/// Cost of a target that would be filled to the brim: another entry may have filled it meanwhile,
/// and an order that finds no room costs about 10 ms.
const TIGHT_COST: f64 = 0.15;
/// Share of a target that is left free where it does not count as tight.
const TIGHT_SHARE: f64 = 0.1;
/// Cost of one order that the agent has not confirmed yet: the time it takes an agent to obey it,
/// about 4 ms, over the shortest usual task, 60 ms.
const QUEUED_COST: f64 = 0.05;
/// Most that is added by chance to the cost of a target of which nothing was heard for
/// [`STALE_AFTER`] and longer. What is known of it was told to other entries as well, who have sent
/// their work there since; entries go apart by chance.
const STALE_COST: f64 = 0.7;
/// See [`STALE_COST`].
const STALE_AFTER: Duration = Duration::from_millis(200);
/// Cost of another data hall: a millisecond there and back, over the shortest usual task.
const FAR_HALL_COST: f64 = 0.02;

/// One target, as seen through its agent's link.
#[derive(Debug)]
pub struct TargetView {
    /// Name of the agent's VM.
    pub agent: NodeName,
    /// Its data hall.
    pub hall: HallName,
    /// The target; none while there is none.
    pub info: Option<TargetInfo>,
    /// Whether the agent is stopping.
    pub is_leaving: bool,
    /// Whether its data hall is evacuated.
    is_evacuated: bool,
    /// When the agent was last heard.
    pub heard: Now,
    /// When something was last sent to it.
    pub sent: Now,
    clock: AgentMillis,
    free: Resources,
    starts_sent: u64,
    unseen: VecDeque<Resources>,
    health: HealthReport,
    closed_until: Now,
    /// When an outcast may get its next probe.
    probe_at: Now,
}

/// What each packet of an agent says of its load.
#[derive(Debug, Clone, Copy)]
pub struct LoadReport {
    /// The agent's clock.
    pub clock: AgentMillis,
    /// Free resources that this entry may take.
    pub free: Resources,
    /// Starts of this entry that `free` takes into account.
    pub starts_seen: u64,
    /// How well the target serves.
    pub health: HealthReport,
}

/// What a task needs of a target.
#[derive(Debug, Clone, Copy)]
pub struct Need<'a> {
    /// Resources.
    pub size: Resources,
    /// Its queue.
    pub queue: &'a Queue,
    /// Label that the target must have.
    pub required_label: Option<&'a str>,
    /// Rack where it goes faster.
    pub preferred_rack: Option<&'a str>,
    /// Agent to avoid, for it has just served the task badly.
    pub avoid: Option<&'a str>,
    /// Links on which the batch's payload was sent.
    pub payload_sent_to: &'a BTreeSet<SessionId>,
    /// Cost of sending it on another one, as a share of the run time.
    pub payload_cost: f64,
    /// Whether nothing else may run there.
    pub is_idle: bool,
}

/// Factor on the run time outside the preferred rack.
const FAR_RACK_COST: f64 = 0.5;

impl TargetView {
    fn new(now: Now, agent: NodeName, hall: HallName) -> Self {
        Self {
            agent,
            hall,
            info: None,
            is_leaving: false,
            is_evacuated: false,
            heard: now,
            sent: now,
            clock: 0,
            free: Resources::NONE,
            starts_sent: 0,
            unseen: VecDeque::new(),
            health: HealthReport::default(),
            closed_until: Now::ZERO,
            probe_at: Now::ZERO,
        }
    }

    /// What is free as far as this entry knows.
    fn room(&self) -> Resources {
        let unseen = self.unseen.iter();
        unseen.fold(self.free, |room, size| room.minus(*size))
    }

    /// The agent's clock now, or somewhat earlier: what its packet took to get here is not known.
    pub fn agent_clock(&self, now: Now) -> AgentMillis {
        self.clock + now.saturating_sub(self.heard).as_millis() as AgentMillis
    }

    /// How old what is known of its load is, from 0 to 1.
    fn staleness(&self, now: Now) -> f64 {
        let age = now.saturating_sub(self.heard);
        age.div_duration_f64(STALE_AFTER).min(1.0)
    }

    fn serves(&self, need: &Need<'_>) -> bool {
        let Some(info) = &self.info else {
            return false;
        };
        let label = need.required_label;
        if need.is_idle && self.room() != info.capacity {
            return false;
        }
        info.service == need.queue.service
            && label.is_none_or(|l| info.labels.iter().any(|have| have == l))
    }

    fn may_get_work(&self, now: Now) -> bool {
        !self.is_evacuated && self.could_get_work(now)
    }

    /// Whether it may get work but for an evacuation.
    fn could_get_work(&self, now: Now) -> bool {
        self.stays(now) && self.closed_until <= now
    }

    /// Whether it is there and is not about to leave.
    fn stays(&self, now: Now) -> bool {
        let Some(info) = &self.info else {
            return false;
        };
        !self.is_leaving && !info.leaving && self.heard + FRESH > now
    }

    fn cost(&self, need: &Need<'_>, hall: &HallName) -> f64 {
        let Some(info) = &self.info else {
            return f64::MAX;
        };
        let used = info.capacity.minus(self.room()).plus(need.size);
        let used = used.share_of(info.capacity);
        let slowdown = self.slowdown();
        let mut cost = slowdown * (1.0 + CROWD_COST * used);
        if used > 1.0 - TIGHT_SHARE {
            cost += TIGHT_COST;
        }
        cost += QUEUED_COST * self.unseen.len() as f64;
        if self.hall != *hall {
            cost += FAR_HALL_COST;
        }
        let is_far = need
            .preferred_rack
            .is_some_and(|rack| info.labels.iter().all(|have| have != rack));
        if is_far {
            cost += FAR_RACK_COST * slowdown;
        }
        if need.avoid == Some(&*self.agent) {
            cost += slowdown;
        }
        cost
    }
}

/// Why a target refused a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartRefusal {
    /// It is unwell or silent.
    Unhealthy,
    /// It has just left another call unanswered.
    Doubtful,
}

/// What changed about a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectionChange {
    /// Nothing to speak of.
    Unchanged,
    /// It is set aside for its failures.
    Ejected,
    /// It may have work again.
    Readmitted,
}

/// See the module.
#[derive(Debug)]
pub struct TargetRegistry {
    views: BTreeMap<SessionId, TargetView>,
    /// How often this entry gives an outcast a task.
    probe_every: Duration,
    evacuated: Arc<EvacuatedHalls>,
}

impl Default for TargetRegistry {
    fn default() -> Self {
        Self {
            views: BTreeMap::new(),
            probe_every: PROBE_EVERY,
            evacuated: Arc::default(),
        }
    }
}

impl TargetRegistry {
    /// Notes an agent's hello.
    pub fn join(&mut self, now: Now, link: SessionId, agent: NodeName, hall: HallName) {
        let mut view = TargetView::new(now, agent, hall);
        view.is_evacuated = self.evacuated.contains(&view.hall);
        self.views.insert(link, view);
    }

    /// Notes which halls are evacuated.
    pub fn note_evacuations(&mut self, evacuated: &Arc<EvacuatedHalls>) {
        self.evacuated = evacuated.clone();
        for view in self.views.values_mut() {
            view.is_evacuated = evacuated.contains(&view.hall);
        }
    }

    /// Whether evacuations alone leave a service without targets.
    pub fn is_evacuated(&self, now: Now, service: &str) -> bool {
        let serves = |v: &&TargetView| v.info.as_ref().is_some_and(|i| &*i.service == service);
        let mut views = self.views.values().filter(serves);
        let has_evacuated = views.any(|v| v.is_evacuated && v.could_get_work(now));
        let mut views = self.views.values().filter(serves);
        has_evacuated && !views.any(|v| v.may_get_work(now))
    }

    /// Notes that a link is gone.
    pub fn leave(&mut self, link: SessionId) -> Option<TargetView> {
        self.views.remove(&link)
    }

    /// A target.
    pub fn get_mut(&mut self, link: SessionId) -> Option<&mut TargetView> {
        self.views.get_mut(&link)
    }

    /// A target.
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

    /// Number of targets that may get work, or might but for an evacuation.
    pub fn reachable(&self, now: Now) -> usize {
        let views = self.views.values();
        views.filter(|v| v.could_get_work(now)).count()
    }

    /// Links that have been silent since `before`.
    pub fn silent(&self, before: Now) -> Vec<SessionId> {
        let silent = self.views.iter().filter(|(_, v)| v.heard < before);
        silent.map(|(link, _)| *link).collect()
    }

    /// Notes an agent's packet; says what changed about its target.
    pub fn heard(&mut self, now: Now, link: SessionId, word: LoadReport) -> EjectionChange {
        let LoadReport {
            clock,
            free,
            starts_seen,
            health,
        } = word;
        let Some(view) = self.views.get_mut(&link) else {
            return EjectionChange::Unchanged;
        };
        view.heard = now;
        view.clock = clock;
        view.free = free;
        let still_unseen = view.starts_sent.saturating_sub(starts_seen) as usize;
        while view.unseen.len() > still_unseen {
            view.unseen.pop_front();
        }
        let was_aside = view.health.fails_too_often();
        view.health = health;
        match (was_aside, health.fails_too_often()) {
            (false, true) => {
                view.probe_at = now + self.probe_every;
                EjectionChange::Ejected
            }
            (true, false) => EjectionChange::Readmitted,
            _ => EjectionChange::Unchanged,
        }
    }

    /// Notes a start sent to a target.
    pub fn sent_start(&mut self, now: Now, link: SessionId, size: Resources) {
        let best_pace = self.best_pace(now);
        if let Some(view) = self.views.get_mut(&link) {
            view.starts_sent += 1;
            view.unseen.push_back(size);
            if view.is_ejected(best_pace) {
                view.probe_at = now + self.probe_every;
            }
        }
    }

    /// Notes how many entries give work to the same target, this one included.
    pub fn note_entries(&mut self, entries: usize) {
        self.probe_every = PROBE_EVERY.max(PROBE_APART * entries as u32);
    }

    /// The best target for a task, if any has room.
    pub fn choose(
        &self,
        now: Now,
        need: &Need<'_>,
        hall: &HallName,
        is_full: impl Fn(&TargetView) -> bool,
        rng: &mut ChaCha8Rng,
    ) -> Option<SessionId> {
        let mut best: Option<(f64, SessionId)> = None;
        let best_pace = self.best_pace(now);
        for (link, view) in &self.views {
            let is_open = view.may_get_work(now)
                && view.serves(need)
                && need.size.fits_in(view.room())
                && !is_full(view);
            if !is_open || (view.is_ejected(best_pace) && view.probe_at > now) {
                continue;
            }
            // A little chance keeps entries from all choosing the same one.
            let chance = rng.random_range(0.97..1.03);
            let doubt = view.staleness(now) * rng.random_range(0.0..STALE_COST);
            let mut cost = view.cost(need, hall) * chance + doubt;
            if !need.payload_sent_to.contains(link) {
                cost += need.payload_cost;
            }
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, *link));
            }
        }
        best.map(|(_, link)| link)
    }

    /// The best pace among targets that work may be sent to. One that can get none is no yardstick:
    /// against an idle target of an evacuated hall all others may seem too slow and get only probes.
    fn best_pace(&self, now: Now) -> f64 {
        let compared = |v: &&TargetView| !v.is_evacuated && v.stays(now);
        let paces = self
            .views
            .values()
            .filter(compared)
            .map(TargetView::slowdown);
        paces.fold(f64::MAX, f64::min)
    }

    /// Notes that a target refused a start: it gets none for a while.
    pub fn refused(&mut self, now: Now, link: SessionId, why: StartRefusal) {
        if let Some(view) = self.views.get_mut(&link) {
            let pause = match why {
                StartRefusal::Unhealthy => UNWELL_PAUSE,
                StartRefusal::Doubtful => DOUBT_PAUSE,
            };
            view.closed_until = view.closed_until.max(now + pause);
        }
    }

    /// Whether a target gets only probes.
    pub fn is_ejected(&self, now: Now, link: SessionId) -> bool {
        let best_pace = self.best_pace(now);
        self.views
            .get(&link)
            .is_some_and(|view| view.is_ejected(best_pace))
    }
}

impl TargetView {
    /// Whether it gets only probes: it fails what it starts, or is far slower than the best.
    fn is_ejected(&self, best_pace: f64) -> bool {
        self.health.fails_too_often() || self.slowdown() > TOO_SLOW * best_pace
    }

    /// Run time over estimate, averaged.
    pub fn slowdown(&self) -> f64 {
        self.health.slowdown()
    }
}
