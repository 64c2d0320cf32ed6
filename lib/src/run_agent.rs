//! The agent's core on the platform: a deterministic state machine, `(now, event) -> actions`.
//!
//! The target's own lists are the authority on what runs; the agent can be replaced at any
//! moment, and its next life adopts what it finds. It keeps the whole vector of resources, for
//! the target guards nothing, and stops what belongs to an entry that does not answer for it any
//! more. docs/design/platform.md works out the chain of times.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::answer_time::AnswerTime;
use crate::entry_leases::EntryLeases;
use crate::events::{EventCode, LogEvent};
use crate::ids::{Incarnation, Now, SessionId};
use crate::resources::Resources;
use crate::room_shares::Room;
use crate::run::{NotStarted, RunEnd, RunKey, TaskKey};
use crate::run_book::{FencingToken, Phase, Run, RunBook, Stopping};
use crate::run_event::{
    AgentAction, AgentEvent, AgentLevels, AgentOptions, RenewalAnswer, StartAnswer, StartCall,
    TargetReport,
};
use crate::run_message::{
    AgentIntro, AgentMillis, AgentNews, AgentPacket, EntryPacket, Order, StartOrder, TargetInfo,
    Welcome,
};
use crate::target_lease::{EndNumber, ListedRun, Renewal, TargetLease, TargetMillis};

/// How long a start may go unanswered. The target is on this VM and answers within a few
/// milliseconds; the rest is for a VM that is slowed down.
const START_LIMIT: Duration = Duration::from_millis(100);
/// The same, at the least, where answers are known to come quickly: four times what an answer
/// takes at a busy target, and a third of the shortest usual task.
const LEAST_START_LIMIT: Duration = Duration::from_millis(20);
/// A process that was not heard from for so long may have stood still, with answers unread in its
/// sockets.
const STOOD_STILL: Duration = Duration::from_millis(10);
/// Time to read them, before a start counts as unanswered.
const CATCH_UP: Duration = Duration::from_millis(4);
/// How often a stop is sent again until the end is listed: twice the time a stop may take.
const STOP_AGAIN: Duration = Duration::from_millis(100);
/// A run of an entry whose lease ran out must be over by then, or the target's whole lease is let
/// lapse. Bounds what entries take for proof.
const STOP_BOUND: Duration = Duration::from_millis(500);
/// How long an adopted run waits for an entry to claim it: the time of a few dials.
const CLAIM_GRACE: Duration = Duration::from_millis(700);
/// A run is slow if its progress promises an end after this many times its estimate. Estimates
/// are off by 40% as a rule and by twice that now and then, and the slowest sound targets take
/// 1.25 times as long; ailing ones take four times or more.
const SLOW_FACTOR: f64 = 3.0;
/// Added to the above: the time of a call or two.
const SLOW_SLACK: Duration = Duration::from_millis(20);
/// Share of its estimate after which a run's progress is looked at.
const LOOK_SHARE: f64 = 0.6;
/// How often one run's slowness is reported.
const SLOW_AGAIN: Duration = Duration::from_millis(300);
/// Most ends that a target lists at once; a full list may have a next page.
const FULL_PAGE: usize = 500;
/// How long a stopping agent waits for what runs. The longest tasks take 3.6 s; the platform
/// allows 6 s.
const DRAIN_LIMIT: Duration = Duration::from_millis(5_000);
/// Longest wait of a renewal while an answer is awaited elsewhere.
const CALM_WAIT: Duration = Duration::from_secs(1);

/// State of an agent.
pub struct RunAgent {
    options: AgentOptions,
    now: Now,
    out: Vec<AgentAction>,
    entries: EntryLeases,
    target: Option<TargetInfo>,
    report_sequence: u64,
    past_lives: Vec<Arc<str>>,
    lease: TargetLease,
    book: RunBook,
    /// How long the target's answers to starts take.
    start_time: AnswerTime,
    /// When this process was last found to have stood still, or to have been idle.
    resumed: Now,
    /// Whether the target's lists have been read, in this life of the agent and of the target, and
    /// no connection has been refused since.
    knows_lists: bool,
    /// Claims that came before the lists were read.
    early_claims: Vec<(Incarnation, RunKey, Resources)>,
    /// Addresses that are dialled.
    dialled: Vec<SocketAddr>,
    draining_since: Option<Now>,
    exited: bool,
}

impl RunAgent {
    /// A new life of an agent, at time `now` of its own clock.
    pub fn new(now: Now, options: AgentOptions) -> Self {
        let lease = TargetLease::new(now, options.lease, options.token);
        Self {
            now,
            out: Vec::new(),
            entries: EntryLeases::default(),
            target: None,
            report_sequence: 0,
            past_lives: Vec::new(),
            lease,
            book: RunBook::default(),
            start_time: AnswerTime::new(LEAST_START_LIMIT, START_LIMIT),
            resumed: now,
            knows_lists: false,
            early_claims: Vec::new(),
            dialled: Vec::new(),
            draining_since: None,
            exited: false,
            options,
        }
    }

    /// Takes in an event and returns what is to be done, in order.
    pub fn handle(&mut self, now: Now, event: AgentEvent) -> Vec<AgentAction> {
        if self.now + STOOD_STILL <= now {
            self.resumed = now;
        }
        self.now = self.now.max(now);
        if self.exited {
            return Vec::new();
        }
        self.dispatch_event(event);
        self.fence_overdue_starts();
        self.check_leases();
        self.send_due_stops();
        self.renew();
        self.check_drain();
        self.flush();
        std::mem::take(&mut self.out)
    }

    /// When [`AgentEvent::Wake`] is due.
    pub fn next_wake(&self) -> Option<Now> {
        let mut times = vec![self.entries.next_wake(), self.lease.retry_at()];
        for (_, run) in self.book.iter() {
            times.push(Some(self.run_wake(run)));
        }
        if !self.book.is_empty() || !self.knows_lists {
            times.push(Some(self.lease.lapses_at()));
            times.push(self.renewal_overdue().map(|(at, _)| at));
        }
        times.push(self.draining_since.map(|since| since + DRAIN_LIMIT));
        let soonest = times.into_iter().flatten().min()?;
        Some(soonest.max(self.now + Duration::from_millis(1)))
    }

    /// Figures for the metrics page.
    pub fn levels(&self) -> AgentLevels {
        AgentLevels {
            runs: self.book.len() as u64,
            entries: self.entries.len() as u64,
        }
    }

    fn run_wake(&self, run: &Run) -> Now {
        let settled = match (&run.stopping, run.owner) {
            (Some(stopping), _) => stopping.resend_at,
            (None, Some(owner)) => self.entries.until(owner),
            (None, None) => run.since + CLAIM_GRACE,
        };
        let answer_by = self.answer_by(run);
        answer_by.map_or(settled, |by| by.min(settled))
    }

    /// When a start on the way counts as unanswered.
    fn answer_by(&self, run: &Run) -> Option<Now> {
        let Phase::Starting { sent, .. } = run.phase else {
            return None;
        };
        let by = sent + self.start_time.limit();
        Some(by.max(self.resumed + CATCH_UP))
    }

    fn dispatch_event(&mut self, event: AgentEvent) {
        match event {
            AgentEvent::Wake => {
                for link in self.entries.silent(self.now) {
                    self.out.push(AgentAction::Close(link));
                    self.link_down(link);
                }
                for seed in self.options.seeds.clone() {
                    self.dial(seed);
                }
            }
            AgentEvent::LinkUp(link) => self.link_up(link),
            AgentEvent::LinkDown(link) => self.link_down(link),
            AgentEvent::Packet(link, packet) => self.packet(link, packet),
            AgentEvent::Report(report) => self.report(report),
            AgentEvent::TargetLeft(life) => self.target_left(&life),
            AgentEvent::StartAnswered { key, token, answer } => {
                self.start_answered(key, token, answer);
            }
            AgentEvent::RenewalAnswered { number, answer } => self.renewal_answered(number, answer),
            AgentEvent::Entries(entries) => entries.into_iter().for_each(|e| self.dial(e)),
            AgentEvent::Drain => self.drain(),
        }
    }

    fn log(&mut self, code: EventCode, detail: String) {
        self.out.push(AgentAction::Log(LogEvent::new(code, detail)));
    }

    fn dial(&mut self, address: SocketAddr) {
        if !self.dialled.contains(&address) {
            self.dialled.push(address);
            self.out.push(AgentAction::Dial(address));
        }
    }

    // Entries.

    fn link_up(&mut self, link: SessionId) {
        self.entries.opened(self.now, link);
        let intro = AgentIntro {
            name: self.options.name.clone(),
            life: self.options.life,
            hall: self.options.hall.clone(),
        };
        let target = AgentNews::Target(self.target.clone());
        if let Some(found) = self.entries.get_mut(link) {
            found.news.push(AgentNews::Hello(intro));
            found.news.push(target);
            if self.draining_since.is_some() {
                found.news.push(AgentNews::Leaving);
            }
        }
    }

    fn link_down(&mut self, link: SessionId) {
        let Some(gone) = self.entries.closed(self.now, link) else {
            return;
        };
        if let Some(name) = gone.name {
            let left = self.entries.len();
            self.log(
                EventCode::EntryLost,
                format!("entry={name} links_left={left}"),
            );
        }
    }

    fn packet(&mut self, link: SessionId, packet: EntryPacket) {
        let welcome = packet.orders.iter().find_map(|o| match o {
            Order::Welcome(welcome) => Some((welcome.life, welcome.name.clone())),
            _ => None,
        });
        if let (Some((life, name)), Some(found)) = (welcome, self.entries.get_mut(link)) {
            found.entry = Some(life);
            found.name = Some(name);
        }
        let lease_until = Duration::from_millis(packet.lease_until);
        self.entries
            .heard(self.now, link, lease_until, packet.waiting);
        for order in packet.orders {
            match order {
                Order::Welcome(welcome) => self.welcomed(welcome),
                Order::Start(order) => self.start_ordered(link, order),
                Order::Stop(keys) => self.stop_ordered(link, keys),
                Order::Entries(entries) => entries.into_iter().for_each(|e| self.dial(e)),
            }
        }
    }

    fn welcomed(&mut self, welcome: Welcome) {
        let Welcome {
            name,
            life,
            entries,
            claims,
        } = welcome;
        let count = claims.len();
        self.log(
            EventCode::EntryJoined,
            format!("entry={name} life={life:x} claims={count}"),
        );
        entries.into_iter().for_each(|e| self.dial(e));
        self.stop_unclaimed(life, &claims);
        for (key, size) in claims {
            if self.knows_lists {
                self.claim(life, key, size);
            } else {
                self.early_claims.push((life, key, size));
            }
        }
    }

    /// Runs that their own entry does not name are not wanted any more.
    fn stop_unclaimed(&mut self, life: Incarnation, claims: &[(RunKey, Resources)]) {
        let unclaimed: Vec<RunKey> = self
            .book
            .iter()
            .filter(|(key, run)| run.owner == Some(life) && claims.iter().all(|(k, _)| k != key))
            .map(|(key, _)| key)
            .collect();
        for key in unclaimed {
            self.ask_stop(key, false);
        }
    }

    /// Answers an entry's claim: the run is its own from now on, or it is over.
    fn claim(&mut self, life: Incarnation, key: RunKey, size: Resources) {
        if self.book.claim(key, life, size) {
            return;
        }
        let end = self.book.end_of(key).unwrap_or(RunEnd::Lost);
        self.entries.tell(
            life,
            AgentNews::Ended {
                key,
                end,
                ran_ms: 0,
            },
        );
    }

    fn start_ordered(&mut self, link: SessionId, order: StartOrder) {
        self.entries.ordered(link, order.runs.len() as u64);
        let Some(entry) = self.entries.get_mut(link).and_then(|l| l.entry) else {
            return;
        };
        for &(index, run) in &order.runs {
            let task = TaskKey {
                batch: order.batch,
                time: 0,
                step: order.step,
                index,
            };
            let key = RunKey { task, run };
            if let Err(reason) = self.start_run(entry, key, &order) {
                self.refuse(Some(entry), key, reason);
            }
        }
    }

    fn refuse(&mut self, entry: Option<Incarnation>, key: RunKey, reason: NotStarted) {
        self.log(
            EventCode::RunNotStarted,
            format!("run={key} reason={reason:?}"),
        );
        if let Some(entry) = entry {
            self.entries
                .tell(entry, AgentNews::NotStarted { key, reason });
        }
    }

    fn start_run(
        &mut self,
        entry: Incarnation,
        key: RunKey,
        order: &StartOrder,
    ) -> Result<(), NotStarted> {
        if self.draining_since.is_some() {
            return Err(NotStarted::Leaving);
        }
        let start_by = Duration::from_millis(order.start_by);
        if start_by <= self.now || !self.entries.is_held(self.now, entry) {
            return Err(NotStarted::Late);
        }
        let target = self.target.clone().ok_or(NotStarted::Unreachable)?;
        if target.leaving {
            return Err(NotStarted::Leaving);
        }
        if target.service != order.service {
            return Err(NotStarted::WrongService);
        }
        if !self.knows_lists || self.lease.is_silent() {
            return Err(NotStarted::Unreachable);
        }
        if self.lease.is_in_doubt() {
            return Err(NotStarted::Doubtful);
        }
        if self.book.has_task(key.task) {
            return Err(NotStarted::Superseded);
        }
        if !order.size.fits_in(self.book.free(target.capacity)) {
            return Err(NotStarted::Full);
        }
        let run = Run {
            owner: Some(entry),
            size: Some(order.size),
            payload: order.payload.clone(),
            estimate: Duration::from_millis(u64::from(order.estimate_ms)),
            start_by,
            since: self.now,
            running_since: None,
            phase: Phase::Unsure {
                token: 0,
                sent: self.now,
            },
            is_resent: false,
            stopping: None,
            slow_report_at: Now::ZERO,
        };
        self.book.insert(key, run);
        self.send_start(key, target.life).inspect_err(|_| {
            self.book.remove(key);
        })
    }

    fn send_start(&mut self, key: RunKey, life: Arc<str>) -> Result<(), NotStarted> {
        let until = self.lease.new_until(self.now);
        let until = until.ok_or(NotStarted::Unreachable)?;
        let token = self.lease.token();
        let sent = self.now;
        let Some(run) = self.book.get_mut(key) else {
            return Ok(());
        };
        run.phase = Phase::Starting { token, sent };
        self.out.push(AgentAction::Start(StartCall {
            key,
            payload: run.payload.clone(),
            until,
            token,
            life,
            limit: START_LIMIT,
        }));
        Ok(())
    }

    fn stop_ordered(&mut self, link: SessionId, keys: Vec<RunKey>) {
        let entry = self.entries.get_mut(link).and_then(|l| l.entry);
        for key in keys {
            if self.book.get(key).is_some() {
                self.ask_stop(key, false);
                continue;
            }
            let end = self.book.end_of(key).unwrap_or(RunEnd::Lost);
            if let Some(entry) = entry {
                let ran_ms = 0;
                self.entries
                    .tell(entry, AgentNews::Ended { key, end, ran_ms });
            }
        }
    }

    fn ask_stop(&mut self, key: RunKey, is_overdue_bound: bool) {
        let now = self.now;
        let Some(run) = self.book.get_mut(key) else {
            return;
        };
        let stopping = run.stopping.get_or_insert(Stopping {
            since: now,
            resend_at: now,
            is_overdue_bound,
        });
        stopping.is_overdue_bound |= is_overdue_bound;
    }

    // The target.

    fn report(&mut self, report: TargetReport) {
        let TargetReport { info, sequence } = report;
        if self.past_lives.contains(&info.life) {
            return;
        }
        let is_same_life = self.target.as_ref().is_some_and(|t| t.life == info.life);
        if is_same_life && sequence <= self.report_sequence {
            return;
        }
        self.report_sequence = sequence;
        if self.target.as_ref() == Some(&info) {
            return;
        }
        if !is_same_life {
            self.end_life("a new life reports");
        }
        let TargetInfo {
            life,
            service,
            leaving,
            ..
        } = &info;
        let detail = format!("life={life} service={service} leaving={leaving}");
        let code = if *leaving {
            EventCode::TargetLeaving
        } else {
            EventCode::TargetReported
        };
        self.log(code, detail);
        self.target = Some(info);
        self.tell_target();
    }

    fn tell_target(&mut self) {
        let news = AgentNews::Target(self.target.clone());
        self.entries.tell_all(&news);
    }

    fn target_left(&mut self, life: &Arc<str>) {
        if self.target.as_ref().is_some_and(|t| t.life == *life) {
            self.end_life("it said goodbye");
            self.tell_target();
        }
    }

    /// The known life of the target is over, and everything that ran on it.
    fn end_life(&mut self, why: &str) {
        let Some(target) = self.target.take() else {
            return;
        };
        let runs = self.book.len();
        let life = target.life;
        self.log(
            EventCode::TargetLifeOver,
            format!("life={life} runs={runs} why=\"{why}\""),
        );
        self.past_lives.push(life);
        self.lease.reset_life();
        // The next life's clock is learnt with its lists.
        self.knows_lists = false;
        self.end_all(RunEnd::Lost);
    }

    fn end_all(&mut self, end: RunEnd) {
        for key in self.book.keys() {
            self.end_run(key, end);
        }
    }

    fn end_run(&mut self, key: RunKey, end: RunEnd) {
        self.book.remember_end(self.now, key, end);
        let Some(run) = self.book.remove(key) else {
            return;
        };
        let ran = run
            .running_since
            .map(|since| self.now.saturating_sub(since));
        let ran_ms = ran.unwrap_or_default().as_millis() as u32;
        let running = self.book.len();
        self.log(
            EventCode::RunEnded,
            format!("run={key} end={end:?} ran_ms={ran_ms} still_running={running}"),
        );
        if let Some(owner) = run.owner {
            self.entries
                .tell(owner, AgentNews::Ended { key, end, ran_ms });
        }
    }

    fn not_started(&mut self, key: RunKey, reason: NotStarted) {
        if let Some(run) = self.book.remove(key) {
            self.refuse(run.owner, key, reason);
        }
    }

    fn start_answered(&mut self, key: RunKey, token: FencingToken, answer: StartAnswer) {
        if let StartAnswer::Started { clock } = answer {
            self.lease.learn_clock(self.now, clock);
        }
        let Some(phase) = self.book.get(key).map(|run| run.phase) else {
            return;
        };
        match phase {
            Phase::Starting { token: t, sent } | Phase::Unsure { token: t, sent } if t == token => {
                if !matches!(answer, StartAnswer::Silent | StartAnswer::Refused) {
                    self.start_time.learn(self.now.saturating_sub(sent));
                    self.lease.note_answer(self.now);
                }
            }
            _ => return,
        }
        match answer {
            StartAnswer::Started { .. } => self.mark_running(key),
            StartAnswer::Fenced => self.start_fenced(key, token),
            StartAnswer::Superseded => self.not_started(key, NotStarted::Superseded),
            StartAnswer::Late => self.not_started(key, NotStarted::Late),
            StartAnswer::Full => self.not_started(key, NotStarted::Full),
            StartAnswer::Unhealthy => self.not_started(key, NotStarted::Unhealthy),
            StartAnswer::Refused => {
                // Nothing more is started before the lists have been read again.
                self.knows_lists = false;
                self.not_started(key, NotStarted::Unreachable);
            }
            StartAnswer::OtherLife => {
                self.not_started(key, NotStarted::Unreachable);
                self.end_life("another life answers");
                self.tell_target();
            }
            StartAnswer::Silent => self.starts_unanswered(&[(key, token)]),
        }
    }

    fn mark_running(&mut self, key: RunKey) {
        let now = self.now;
        if let Some(run) = self.book.get_mut(key) {
            run.phase = Phase::Running;
            run.running_since.get_or_insert(now);
        }
    }

    /// The start never happened; it is sent once more with a token that counts.
    fn start_fenced(&mut self, key: RunKey, token: FencingToken) {
        self.lease.step_over(token);
        self.send_start_again(key, NotStarted::Late);
    }

    /// Sends a start again that is known not to have happened, or tells the entry why not.
    fn send_start_again(&mut self, key: RunKey, reason: NotStarted) {
        let may_retry = self
            .book
            .get(key)
            .is_some_and(|r| r.start_by > self.now && r.stopping.is_none());
        let life = self.target.as_ref().map(|t| t.life.clone());
        let Some(life) = life.filter(|_| may_retry) else {
            self.not_started(key, reason);
            return;
        };
        if let Err(reason) = self.send_start(key, life) {
            self.not_started(key, reason);
        }
    }

    /// Gives up on starts whose answers are overdue.
    fn fence_overdue_starts(&mut self) {
        let mut overdue = Vec::new();
        for (key, run) in self.book.iter() {
            let is_overdue = self.answer_by(run).is_some_and(|by| by <= self.now);
            if let (Phase::Starting { token, .. }, true) = (run.phase, is_overdue) {
                overdue.push((key, token));
            }
        }
        self.starts_unanswered(&overdue);
    }

    /// These starts may have been done or may be done later. A higher token, once the target has
    /// seen it, makes the second impossible, and its lists tell the first.
    fn starts_unanswered(&mut self, starts: &[(RunKey, FencingToken)]) {
        let mut is_any_new = false;
        for &(key, token) in starts {
            let Some(run) = self.book.get_mut(key) else {
                continue;
            };
            let Phase::Starting { sent, .. } = run.phase else {
                continue;
            };
            run.phase = Phase::Unsure { token, sent };
            is_any_new = true;
            let after_ms = self.now.saturating_sub(sent).as_millis();
            self.log(
                EventCode::StartUnanswered,
                format!("run={key} token={token} after_ms={after_ms}"),
            );
            if self.lease.token() <= token {
                self.lease.raise_token();
            }
        }
        if is_any_new {
            let renew = self.may_renew();
            let renewal = self.lease.at_once(self.now, renew);
            self.push_renewal(renewal);
        }
    }

    fn push_renewal(&mut self, renewal: Renewal) {
        let life = self.target.as_ref().map(|t| t.life.clone());
        self.out.push(AgentAction::Renew { renewal, life });
    }

    fn renewal_answered(&mut self, number: u64, answer: RenewalAnswer) {
        match answer {
            RenewalAnswer::Lists {
                clock,
                running,
                ended,
            } => self.lists_read(number, clock, &running, &ended),
            RenewalAnswer::Fenced => {
                let refused = self.lease.token();
                self.lease.failed(self.now, number);
                self.lease.step_over(refused);
            }
            RenewalAnswer::OtherLife => {
                self.lease.failed(self.now, number);
                self.end_life("another life answers");
                self.tell_target();
            }
            RenewalAnswer::Silent => self.lease.unanswered(self.now, number),
        }
    }

    fn lists_read(
        &mut self,
        number: u64,
        clock: TargetMillis,
        running: &[ListedRun],
        ended: &[(EndNumber, RunKey, RunEnd)],
    ) {
        self.lease.learn_clock(self.now, clock);
        for &(end_number, key, end) in ended {
            if self.lease.is_new_end(end_number) {
                self.end_run(key, end);
            }
        }
        let Some(answered) = self.lease.answered(number) else {
            return;
        };
        for listed in running {
            self.listed_running(listed);
        }
        if ended.len() < FULL_PAGE {
            self.settle_unlisted(answered.sent_at, answered.token, running);
        }
        if !self.knows_lists {
            self.knows_lists = true;
            let adopted = self.book.len();
            self.log(EventCode::TargetListsRead, format!("adopted={adopted}"));
            self.answer_early_claims();
        }
    }

    fn answer_early_claims(&mut self) {
        for (life, key, size) in std::mem::take(&mut self.early_claims) {
            self.claim(life, key, size);
        }
    }

    fn listed_running(&mut self, listed: &ListedRun) {
        let ListedRun { key, percent } = *listed;
        if self.book.get(key).is_none() {
            if self.book.end_of(key).is_none() {
                self.adopt(key);
            }
            return;
        }
        self.mark_running(key);
        self.check_slow(key, percent);
    }

    fn adopt(&mut self, key: RunKey) {
        self.log(EventCode::RunAdopted, format!("run={key}"));
        let run = Run {
            owner: None,
            size: None,
            payload: Arc::from(""),
            estimate: Duration::ZERO,
            start_by: Now::ZERO,
            since: self.now,
            running_since: None,
            phase: Phase::Running,
            is_resent: false,
            stopping: None,
            slow_report_at: Now::ZERO,
        };
        self.book.insert(key, run);
    }

    /// Settles runs that the target does not list. Only what was known to run, or was fenced off,
    /// before the lists were asked for: an answer may be older than a start that it lacks.
    fn settle_unlisted(&mut self, asked_at: Now, asked: FencingToken, running: &[ListedRun]) {
        let mut gone = Vec::new();
        let mut never = Vec::new();
        for (key, run) in self.book.iter() {
            if running.iter().any(|l| l.key == key) {
                continue;
            }
            match run.phase {
                Phase::Unsure { token, .. } if token < asked => never.push(key),
                Phase::Running if run.running_since.is_none_or(|since| since < asked_at) => {
                    gone.push(key);
                }
                _ => {}
            }
        }
        for key in never {
            self.start_lost(key);
        }
        for key in gone {
            self.end_run(key, RunEnd::Lost);
        }
    }

    /// A start was lost on its way. It is sent once more; the second loss is the entry's to mend,
    /// for a target may swallow all orders.
    fn start_lost(&mut self, key: RunKey) {
        let Some(run) = self.book.get_mut(key) else {
            return;
        };
        if std::mem::replace(&mut run.is_resent, true) {
            self.not_started(key, NotStarted::Unanswered);
        } else {
            self.send_start_again(key, NotStarted::Unanswered);
        }
    }

    fn check_slow(&mut self, key: RunKey, percent: u32) {
        let now = self.now;
        let Some(run) = self.book.get_mut(key) else {
            return;
        };
        let Some(since) = run.running_since else {
            return;
        };
        let ran = now.saturating_sub(since);
        let allowed = run.estimate.mul_f64(SLOW_FACTOR) + SLOW_SLACK;
        let projected = ran.mul_f64(100.0 / f64::from(percent.max(1)));
        let is_slow = run.estimate > Duration::ZERO
            && ran >= run.estimate.mul_f64(LOOK_SHARE)
            && projected > allowed
            && run.slow_report_at <= now;
        if !is_slow || run.stopping.is_some() {
            return;
        }
        run.slow_report_at = now + SLOW_AGAIN;
        let Some(owner) = run.owner else {
            return;
        };
        let ran_ms = ran.as_millis() as u32;
        self.log(
            EventCode::RunSlow,
            format!("run={key} ran_ms={ran_ms} percent={percent}"),
        );
        let news = AgentNews::Slow {
            key,
            ran_ms,
            percent,
        };
        self.entries.tell(owner, news);
    }

    // Time.

    /// Stops what nobody answers for, and gives up what must have lapsed.
    fn check_leases(&mut self) {
        let now = self.now;
        let mut orphans = Vec::new();
        for (key, run) in self.book.iter() {
            let is_held = match run.owner {
                Some(owner) => self.entries.is_held(now, owner),
                None => run.since + CLAIM_GRACE > now,
            };
            if !is_held && run.stopping.is_none_or(|s| !s.is_overdue_bound) {
                orphans.push(key);
            }
        }
        for key in orphans {
            self.log(EventCode::RunOrphaned, format!("run={key}"));
            self.ask_stop(key, true);
        }
        self.entries
            .forget_before(now.saturating_sub(Duration::from_secs(60)));
        if now < self.lease.lapses_at() {
            return;
        }
        if !self.book.is_empty() {
            self.end_all(RunEnd::Lost);
        }
        if !self.early_claims.is_empty() {
            self.answer_early_claims();
        }
    }

    /// Whether the lease may be renewed: not while an overdue stop has failed for too long.
    fn may_renew(&self) -> bool {
        let now = self.now;
        self.book.iter().all(|(_, run)| {
            run.stopping
                .is_none_or(|s| !s.is_overdue_bound || s.since + STOP_BOUND > now)
        })
    }

    fn send_due_stops(&mut self) {
        let now = self.now;
        let token = self.lease.token();
        let life = self.target.as_ref().map(|t| t.life.clone());
        for (key, run) in self.book.iter_mut() {
            let Some(stopping) = &mut run.stopping else {
                continue;
            };
            if stopping.resend_at > now {
                continue;
            }
            stopping.resend_at = now + STOP_AGAIN;
            let life = life.clone();
            self.out.push(AgentAction::Stop { key, token, life });
        }
    }

    /// When the renewal on the way counts as unanswered, and its number.
    fn renewal_overdue(&self) -> Option<(Now, u64)> {
        let (at, number) = self.lease.overdue_at(self.start_time.limit())?;
        Some((at.max(self.resumed + CATCH_UP), number))
    }

    fn renew(&mut self) {
        if let Some((at, number)) = self.renewal_overdue()
            && at <= self.now
        {
            self.lease.unanswered(self.now, number);
        }
        // A target in doubt is asked until it answers, though nothing may be left to renew.
        let is_idle = self.book.is_empty() && self.knows_lists && !self.lease.is_in_doubt();
        if is_idle {
            return;
        }
        let wait = self.shortest_look();
        let renew = self.may_renew();
        if let Some(renewal) = self.lease.next(self.now, wait, renew) {
            self.push_renewal(renewal);
        }
    }

    /// Time until a run is to be looked at for slowness.
    fn shortest_look(&self) -> Duration {
        let mut shortest = CALM_WAIT;
        for (_, run) in self.book.iter() {
            let since = run.running_since.unwrap_or(self.now);
            let look = since + run.estimate.mul_f64(LOOK_SHARE) + SLOW_SLACK;
            let look = look.max(run.slow_report_at);
            if run.estimate > Duration::ZERO && look > self.now {
                shortest = shortest.min(look - self.now);
            }
        }
        shortest
    }

    fn drain(&mut self) {
        if self.draining_since.is_some() {
            return;
        }
        self.draining_since = Some(self.now);
        let running = self.book.len();
        self.log(EventCode::Draining, format!("running={running}"));
        self.entries.tell_all(&AgentNews::Leaving);
    }

    /// Ends the process once nothing runs. What still runs at the limit is left to the next life,
    /// with a lease as long as can be had.
    fn check_drain(&mut self) {
        let Some(since) = self.draining_since else {
            return;
        };
        let is_over = self.now >= since + DRAIN_LIMIT;
        if !self.book.is_empty() && !is_over {
            return;
        }
        let running = self.book.len();
        let code = if running > 0 {
            EventCode::DrainCut
        } else {
            EventCode::Drained
        };
        self.log(code, format!("running={running}"));
        self.flush();
        self.out.push(AgentAction::Exit);
        self.exited = true;
    }

    // Packets.

    fn free(&self) -> Resources {
        let Some(target) = &self.target else {
            return Resources::NONE;
        };
        let is_closed = self.draining_since.is_some()
            || target.leaving
            || !self.knows_lists
            || self.lease.is_silent();
        if is_closed {
            return Resources::NONE;
        }
        self.book.free(target.capacity)
    }

    fn flush(&mut self) {
        let clock = self.now.as_millis() as AgentMillis;
        let room = Room {
            free: self.free(),
            place: self.book.usual_size(),
        };
        self.entries.share_room(self.now, room);
        for due in self.entries.take_due(self.now) {
            let packet = AgentPacket {
                clock,
                free: due.free,
                starts_seen: due.starts_seen,
                news: due.news,
            };
            self.out.push(AgentAction::Send(due.link, packet));
        }
    }
}
