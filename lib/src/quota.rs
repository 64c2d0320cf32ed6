//! Quotas of teams, held across entries without a coordinator.
//!
//! Each entry admits up to its share of a team's quota. Shares follow the demand that entries
//! report to each other, so with equal views they add up to the quota; with stale views they
//! may exceed it by what changed within one report interval.

use std::collections::HashMap;

use crate::ids::{Incarnation, Now, TeamName};
use crate::message::TeamDemand;

/// How long a refused task counts as demand.
const REFUSED_COUNTS: std::time::Duration = std::time::Duration::from_secs(2);
/// The least part of a quota that an entry always has, as one over this.
const LEAST_SHARE: u32 = 16;

/// Use and demand of teams.
#[derive(Debug, Default)]
pub struct Quotas {
    here: HashMap<TeamName, Use>,
    peers: HashMap<Incarnation, HashMap<TeamName, u32>>,
}

#[derive(Debug, Default, Clone, Copy)]
struct Use {
    in_flight: u32,
    refused: u32,
    refused_at: Now,
}

impl Use {
    fn demand(&self, now: Now) -> u32 {
        let fresh = now.saturating_sub(self.refused_at) < REFUSED_COUNTS;
        self.in_flight + if fresh { self.refused } else { 0 }
    }
}

impl Quotas {
    /// Tasks of a team that this entry may have in flight.
    pub fn share(&self, team: &TeamName, quota: u32, extra: u32, now: Now) -> u32 {
        let others: u32 = self
            .peers
            .values()
            .filter_map(|teams| teams.get(team))
            .sum();
        if others == 0 {
            return quota;
        }
        let mine = self.demand(team, now) + extra;
        let part = u64::from(quota) * u64::from(mine) / u64::from(mine + others).max(1);
        (part as u32).max(quota / LEAST_SHARE)
    }

    /// Tasks of a team in flight here.
    pub fn in_flight(&self, team: &TeamName) -> u32 {
        self.here.get(team).map_or(0, |u| u.in_flight)
    }

    fn demand(&self, team: &TeamName, now: Now) -> u32 {
        self.here.get(team).map_or(0, |u| u.demand(now))
    }

    /// Counts the tasks of an admitted job.
    pub fn admit(&mut self, team: &TeamName, tasks: u32) {
        self.here.entry(team.clone()).or_default().in_flight += tasks;
    }

    /// Counts the tasks of a job that has ended.
    pub fn end(&mut self, team: &TeamName, tasks: u32) {
        if let Some(u) = self.here.get_mut(team) {
            debug_assert!(u.in_flight >= tasks, "a job ends once");
            u.in_flight = u.in_flight.saturating_sub(tasks);
        }
    }

    /// Counts a job refused for quota as demand, so that the share can grow.
    pub fn refuse(&mut self, team: &TeamName, tasks: u32, now: Now) {
        let u = self.here.entry(team.clone()).or_default();
        if now.saturating_sub(u.refused_at) >= REFUSED_COUNTS {
            u.refused = 0;
            u.refused_at = now;
        }
        u.refused = u.refused.saturating_add(tasks);
    }

    /// Takes in a peer's report.
    pub fn peer_report(&mut self, peer: Incarnation, teams: &[TeamDemand]) {
        let by_team = teams.iter().map(|t| (t.team.clone(), t.tasks)).collect();
        self.peers.insert(peer, by_team);
    }

    /// Drops a peer that is gone.
    pub fn peer_gone(&mut self, peer: Incarnation) {
        self.peers.remove(&peer);
    }

    /// What to report to peers, in a fixed order.
    pub fn report(&self, now: Now) -> Vec<TeamDemand> {
        let mut teams: Vec<TeamDemand> = self
            .here
            .iter()
            .map(|(team, u)| TeamDemand {
                team: team.clone(),
                tasks: u.demand(now),
            })
            .filter(|t| t.tasks > 0)
            .collect();
        teams.sort_unstable_by(|a, b| a.team.cmp(&b.team));
        teams
    }
}
