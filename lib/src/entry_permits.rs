//! Permits as the entry handles them: minting, claiming and settling them with the registrar.

use std::time::Duration;

use rand::Rng as _;

use crate::entry::{EntryCore, PermitRequest, Reply};
use crate::entry_targets::{HEARTBEAT_EVERY, SILENT_HEARTBEATS};
use crate::ids::{Incarnation, JobSeq, Now, TeamName};
use crate::job::{Answer, Failure, RefusalReason};
use crate::job_history::StepKind;
use crate::job_table::{Job, Phase};
use crate::message::{Claim, EntryMessage};
use crate::permit::{ClaimAnswer, Permit, StoredAnswer};

/// Maximum number of permits per request.
const MAX_PERMITS: u32 = 100;
/// Shortest pause before a claim is repeated; pauses double up to [`CLAIM_RETRY_AFTER`].
const MIN_CLAIM_PAUSE: Duration = Duration::from_millis(20);
/// Retry time given to callers whose permit is in use or whose registrar can't be reached.
const CLAIM_RETRY_AFTER: Duration = Duration::from_millis(500);

impl EntryCore {
    /// Mints permits for the caller's team.
    pub(crate) fn mint_permits(&mut self, request: PermitRequest) {
        let count = request.count.clamp(1, MAX_PERMITS);
        let permits = match self.team_of(&request.key_sha256) {
            Some(team) => (0..count).filter_map(|_| self.mint_permit(&team)).collect(),
            None => Vec::new(),
        };
        self.reply(request.request, Reply::Permits(permits));
    }

    /// Mints a permit whose registrar is a random open target. None if there is no such target.
    pub(crate) fn mint_permit(&mut self, team: &TeamName) -> Option<String> {
        let open = self.targets.iter().filter(|(_, t)| t.is_open());
        let mut registrars: Vec<Incarnation> = open.map(|(id, _)| id).collect();
        if registrars.is_empty() {
            return None;
        }
        registrars.sort_unstable();
        let registrar = registrars[self.rng.random_range(0..registrars.len())];
        let offset = self.targets.get(registrar)?.clock_offset_ms;
        let expires = self.now + self.options.permit_life;
        let permit = Permit {
            id: self.new_permit_id(),
            registrar,
            expires_ms: (expires.as_millis() as i64 + offset).max(0) as u64,
            team: team.clone(),
        };
        Some(permit.to_text(&self.options.secret))
    }

    /// Claims the job's permit at its registrar, if the job has one.
    pub(crate) fn claim_permit(&mut self, seq: JobSeq) {
        let Some(job) = self.jobs.get(seq) else {
            return;
        };
        let Some(text) = &job.spec.permit else {
            return;
        };
        let permit = Permit::from_text(text, &self.options.secret)
            .ok()
            .filter(|p| p.team == job.spec.team);
        let Some(permit) = permit else {
            self.answer(seq, Answer::refused(RefusalReason::PermitInvalid));
            return;
        };
        let claim = Claim {
            permit: permit.id,
            expires_ms: permit.expires_ms,
            job: job.id,
            digest: Self::digest_of(job),
        };
        self.send_claim(seq, permit.registrar, claim);
    }

    fn send_claim(&mut self, seq: JobSeq, registrar: Incarnation, claim: Claim) {
        let reachable = self
            .targets
            .get(registrar)
            .is_some_and(|t| t.session.is_some());
        if !reachable {
            let reason = RefusalReason::PermitUnreachable;
            self.answer(seq, Answer::refused_until(reason, CLAIM_RETRY_AFTER));
            return;
        }
        if let Some(job) = self.jobs.get_mut(seq) {
            job.claim = Some(ClaimTicket {
                registrar,
                claim: claim.clone(),
                waits_since: None,
            });
        }
        self.send_agent(registrar, EntryMessage::Claim(claim));
    }

    /// Handles a registrar's answer to a claim.
    pub(crate) fn claimed(&mut self, claim: Claim, answer: ClaimAnswer) {
        let seq = claim.job.seq;
        let is_pending = self.jobs.get(seq).is_some_and(|job| {
            job.phase == Phase::Claiming && job.claim.as_ref().is_some_and(|c| c.claim == claim)
        });
        if !is_pending {
            return;
        }
        if answer == ClaimAnswer::Granted {
            self.history.add(seq, self.now, || StepKind::PermitGranted);
            self.jobs.open(seq);
            return;
        }
        if answer == ClaimAnswer::Running && self.wait_for_earlier(seq) {
            return;
        }
        if let Some(job) = self.jobs.get_mut(seq) {
            job.claim = None;
        }
        let id = claim.job;
        let answer = match answer {
            ClaimAnswer::Granted => return,
            ClaimAnswer::Running => {
                Answer::refused_until(RefusalReason::EarlierSubmissionRunning, CLAIM_RETRY_AFTER)
            }
            ClaimAnswer::Unknown => Answer::failed(id, Failure::EarlierSubmissionUnknown, true),
            ClaimAnswer::Ended(StoredAnswer::Whole(answer)) => *answer,
            ClaimAnswer::Ended(StoredAnswer::TooLarge) => {
                Answer::failed(id, Failure::EarlierSubmissionUnknown, true)
            }
            ClaimAnswer::OtherRequest => Answer::refused(RefusalReason::PermitInvalid),
            ClaimAnswer::Void => Answer::refused(RefusalReason::PermitVoid),
        };
        self.answer(seq, answer);
    }

    /// Lets a job wait for the end of an earlier one under its permit; returns false once it has waited
    /// long enough, or its caller would leave.
    fn wait_for_earlier(&mut self, seq: JobSeq) -> bool {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(seq) else {
            return false;
        };
        let Some(ticket) = &mut job.claim else {
            return false;
        };
        let since = *ticket.waits_since.get_or_insert(now);
        let last = job.deadline.saturating_sub(MIN_CLAIM_PAUSE);
        let until = last.min(since + longest_wait_for_earlier());
        if now >= until {
            return false;
        }
        let pause = (now - since).clamp(MIN_CLAIM_PAUSE, CLAIM_RETRY_AFTER);
        self.claim_repeats.insert((until.min(now + pause), seq));
        true
    }

    /// Repeats the claims of jobs that wait for the end of an earlier one.
    pub(crate) fn repeat_claims(&mut self) {
        while let Some((at, seq)) = self.claim_repeats.first().copied()
            && at <= self.now
        {
            self.claim_repeats.pop_first();
            let job = self.jobs.get(seq);
            let waiting = job.filter(|job| job.phase == Phase::Claiming);
            if let Some(ticket) = waiting.and_then(|job| job.claim.clone()) {
                self.send_agent(ticket.registrar, EntryMessage::Claim(ticket.claim));
            }
        }
    }

    /// Refuses the jobs that wait for a registrar that can't be reached. None of their tasks ran.
    pub(crate) fn refuse_claims_at(&mut self, registrar: Incarnation) {
        for seq in self.jobs.seqs() {
            let waits = self.jobs.get(seq).is_some_and(|job| {
                job.phase == Phase::Claiming
                    && job.claim.as_ref().is_some_and(|c| c.registrar == registrar)
            });
            if waits {
                let reason = RefusalReason::PermitUnreachable;
                self.answer(seq, Answer::refused_until(reason, CLAIM_RETRY_AFTER));
            }
        }
    }

    /// Reports the answer of a claimed job to the registrar, or releases the permit if no task ran.
    pub(crate) fn settle_permit(&mut self, job: &Job, answer: &Answer) {
        let Some(ticket) = &job.claim else {
            return;
        };
        let registrar = ticket.registrar;
        let claim = ticket.claim.clone();
        let ran = job.may_have_run();
        let connected = self
            .targets
            .get(registrar)
            .is_some_and(|t| t.session.is_some());
        if ran {
            let answer = Self::stored_answer(answer);
            self.send_agent(registrar, EntryMessage::Settle { claim, answer });
        } else if connected {
            self.send_agent(registrar, EntryMessage::Release(claim));
        } else {
            self.deferred_releases
                .entry(registrar)
                .or_default()
                .push(claim);
        }
    }

    /// Sends the releases that were deferred because the registrar was not connected.
    pub(crate) fn send_deferred_releases(&mut self, registrar: Incarnation) {
        for claim in self
            .deferred_releases
            .remove(&registrar)
            .unwrap_or_default()
        {
            self.send_agent(registrar, EntryMessage::Release(claim));
        }
    }
}

/// Longest time that a request waits for the end of an earlier one under its permit. The answer may be
/// on its way to the registrar; it arrives, or its link counts as silent, within this time.
fn longest_wait_for_earlier() -> Duration {
    HEARTBEAT_EVERY.mul_f64(SILENT_HEARTBEATS)
}

/// A claim that was sent to a registrar.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimTicket {
    pub registrar: Incarnation,
    pub claim: Claim,
    /// Since when the job waits for the end of an earlier one under its permit.
    pub waits_since: Option<Now>,
}
