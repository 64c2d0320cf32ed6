//! An entry's picture of the targets: what is free, how fast each is, and which to give work.
//!
//! A target's free resources are the agent's last word less what this entry has sent since. Other
//! entries' orders show only in the agent's next packet, so an order may find no room; the agent
//! then says so and the task goes elsewhere.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::Rng as _;
use rand_chacha::ChaCha8Rng;

use crate::ids::{HallName, NodeName, Now, SessionId};
use crate::queue::Queue;
use crate::resources::Resources;
use crate::run::BatchId;
use crate::run_message::{AgentMillis, TargetInfo};

/// An agent that has not been heard for so long gets no work: two heartbeats and a half.
const FRESH: Duration = Duration::from_millis(650);
/// Weight of one run in the average of run time over estimate.
const PACE_WEIGHT: f64 = 0.15;
/// The same for a target that is far too slow: its few probes must bring it back within seconds.
const PROBE_WEIGHT: f64 = 0.5;
/// Share of failed runs, averaged, above which a target is set aside.
const FAILING: f64 = 0.45;
/// Weight of one run in the average share of failures: two failures in a row set a target aside.
const FAILURE_WEIGHT: f64 = 0.3;
/// An outcast, which fails what it starts or is far too slow, gets one task of each entry in this
/// time. A time and not an answer paces probes: a probe may be stopped before it tells anything.
const PROBE_EVERY: Duration = Duration::from_millis(600);
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
/// Cost of another data hall: a millisecond there and back, over the shortest usual task.
const FAR_HALL_COST: f64 = 0.02;
/// Slowest and fastest pace that is believed.
const PACE_BOUNDS: (f64, f64) = (0.3, 30.0);
/// Slowest pace that one run which ended is believed to show: its estimate may be far off.
const SLOWEST_ENDED: f64 = 3.0;
/// Slow runs of two batches within this show that the target is slow, not the estimates.
const SUSPECT_FOR: Duration = Duration::from_secs(2);
/// A run of which so little is done, in percent, stands still.
const STANDS_STILL: u32 = 3;
/// A target this much slower than the fastest gets only probes.
const TOO_SLOW: f64 = 2.6;

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
    /// When the agent was last heard.
    pub heard: Now,
    /// When something was last sent to it.
    pub sent: Now,
    clock: AgentMillis,
    free: Resources,
    starts_sent: u64,
    unseen: VecDeque<Resources>,
    pace: f64,
    failures: f64,
    closed_until: Now,
    /// When an outcast may get its next probe.
    probe_at: Now,
    /// Batch of which a run was found slow here last, and when.
    slow_batch: Option<(BatchId, Now)>,
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
            heard: now,
            sent: now,
            clock: 0,
            free: Resources::NONE,
            starts_sent: 0,
            unseen: VecDeque::new(),
            pace: 1.0,
            failures: 0.0,
            closed_until: Now::ZERO,
            probe_at: Now::ZERO,
            slow_batch: None,
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

    fn is_set_aside(&self) -> bool {
        self.failures > FAILING
    }

    fn serves(&self, need: &Need<'_>) -> bool {
        let Some(info) = &self.info else {
            return false;
        };
        let label = need.required_label;
        info.service == need.queue.service
            && label.is_none_or(|l| info.labels.iter().any(|have| have == l))
    }

    fn may_get_work(&self, now: Now) -> bool {
        let Some(info) = &self.info else {
            return false;
        };
        !self.is_leaving && !info.leaving && self.heard + FRESH > now && self.closed_until <= now
    }

    fn cost(&self, need: &Need<'_>, hall: &HallName) -> f64 {
        let Some(info) = &self.info else {
            return f64::MAX;
        };
        let used = info.capacity.minus(self.room()).plus(need.size);
        let used = used.share_of(info.capacity);
        let mut cost = self.pace * (1.0 + CROWD_COST * used);
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
            cost += FAR_RACK_COST * self.pace;
        }
        if need.avoid == Some(&*self.agent) {
            cost += self.pace;
        }
        cost
    }
}

/// What an outcome says of a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// A run ended well, in this share of its estimate.
    Done(f64),
    /// A run failed.
    Failed,
    /// A run is slow: it would take this share of its estimate.
    Slow(f64),
    /// A start was refused by a target that is unwell or silent.
    Unwell,
    /// A start was refused, for the target has just left another call unanswered.
    Doubtful,
}

/// A run that is slow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowRun {
    /// The share of its estimate that it would take.
    pub pace: f64,
    /// How much of it is done, in percent.
    pub percent: u32,
}

/// What changed about a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing to speak of.
    Same,
    /// It is set aside for its failures.
    SetAside,
    /// It may have work again.
    Returned,
}

/// See the module.
#[derive(Debug, Default)]
pub struct TargetBoard {
    views: BTreeMap<SessionId, TargetView>,
}

impl TargetBoard {
    /// Notes an agent's hello.
    pub fn join(&mut self, now: Now, link: SessionId, agent: NodeName, hall: HallName) {
        self.views.insert(link, TargetView::new(now, agent, hall));
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

    /// Links that have been silent since `before`.
    pub fn silent(&self, before: Now) -> Vec<SessionId> {
        let silent = self.views.iter().filter(|(_, v)| v.heard < before);
        silent.map(|(link, _)| *link).collect()
    }

    /// Notes an agent's packet; says whether room may have grown.
    pub fn heard(
        &mut self,
        now: Now,
        link: SessionId,
        clock: AgentMillis,
        free: Resources,
        starts_seen: u64,
    ) {
        let Some(view) = self.views.get_mut(&link) else {
            return;
        };
        view.heard = now;
        view.clock = clock;
        view.free = free;
        let still_unseen = view.starts_sent.saturating_sub(starts_seen) as usize;
        while view.unseen.len() > still_unseen {
            view.unseen.pop_front();
        }
    }

    /// Notes a start sent to a target.
    pub fn sent_start(&mut self, now: Now, link: SessionId, size: Resources) {
        let best_pace = self.best_pace();
        if let Some(view) = self.views.get_mut(&link) {
            view.starts_sent += 1;
            view.unseen.push_back(size);
            if view.is_outcast(best_pace) {
                view.probe_at = now + PROBE_EVERY;
            }
        }
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
        let best_pace = self.best_pace();
        for (link, view) in &self.views {
            let is_open = view.may_get_work(now)
                && view.serves(need)
                && need.size.fits_in(view.room())
                && !is_full(view);
            if !is_open || (view.is_outcast(best_pace) && view.probe_at > now) {
                continue;
            }
            // A little chance keeps entries from all choosing the same one.
            let cost = view.cost(need, hall) * rng.random_range(0.97..1.03);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, *link));
            }
        }
        best.map(|(_, link)| link)
    }

    fn best_pace(&self) -> f64 {
        let paces = self.views.values().map(|v| v.pace);
        paces.fold(f64::MAX, f64::min)
    }

    /// Learns from an outcome.
    pub fn learn(&mut self, now: Now, link: SessionId, outcome: Outcome) -> Verdict {
        let Some(view) = self.views.get_mut(&link) else {
            return Verdict::Same;
        };
        let was_aside = view.is_set_aside();
        match outcome {
            Outcome::Done(pace) => {
                view.failures *= 1.0 - FAILURE_WEIGHT;
                view.learn_pace(pace.min(SLOWEST_ENDED));
            }
            Outcome::Failed => {
                view.failures += FAILURE_WEIGHT * (1.0 - view.failures);
            }
            Outcome::Slow(pace) => view.learn_pace(pace.max(view.pace)),
            Outcome::Unwell => view.close_for(now, UNWELL_PAUSE),
            Outcome::Doubtful => view.close_for(now, DOUBT_PAUSE),
        }
        if view.is_set_aside() && !was_aside {
            view.probe_at = now + PROBE_EVERY;
        }
        match (was_aside, view.is_set_aside()) {
            (false, true) => Verdict::SetAside,
            (true, false) => Verdict::Returned,
            _ => Verdict::Same,
        }
    }

    /// Takes in that a run of a batch is slow, with the pace that its progress promises. It counts
    /// against the target if the run stands still or another batch's was slow there of late.
    pub fn found_slow(
        &mut self,
        now: Now,
        link: SessionId,
        batch: BatchId,
        run: SlowRun,
    ) -> Verdict {
        let Some(view) = self.views.get_mut(&link) else {
            return Verdict::Same;
        };
        let is_suspect = view
            .slow_batch
            .is_some_and(|(before, at)| before != batch && at + SUSPECT_FOR > now);
        view.slow_batch = Some((batch, now));
        if is_suspect || run.percent < STANDS_STILL {
            return self.learn(now, link, Outcome::Slow(run.pace));
        }
        Verdict::Same
    }

    /// Whether a target gets only probes.
    pub fn is_outcast(&self, link: SessionId) -> bool {
        let best_pace = self.best_pace();
        self.views
            .get(&link)
            .is_some_and(|view| view.is_outcast(best_pace))
    }
}

impl TargetView {
    fn close_for(&mut self, now: Now, pause: Duration) {
        self.closed_until = self.closed_until.max(now + pause);
    }

    /// Whether it gets only probes: it fails what it starts, or is far slower than the best.
    fn is_outcast(&self, best_pace: f64) -> bool {
        self.is_set_aside() || self.pace > TOO_SLOW * best_pace
    }

    fn learn_pace(&mut self, pace: f64) {
        let pace = pace.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
        let weight = if self.pace > TOO_SLOW {
            PROBE_WEIGHT
        } else {
            PACE_WEIGHT
        };
        self.pace += weight * (pace - self.pace);
    }

    /// Run time over estimate, averaged.
    pub fn pace(&self) -> f64 {
        self.pace
    }
}
