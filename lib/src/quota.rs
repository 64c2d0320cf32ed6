//! Enforces team quotas across entries without a coordinator.
//!
//! Each entry admits up to its share of a team's quota. Shares are proportional to the demand that
//! entries report to each other. They add up to the quota if all entries know the same demand, and
//! may exceed it by the changes of one report interval.

use std::collections::HashMap;

use crate::ids::{Incarnation, Now, TeamName};
use crate::message::TeamDemand;

/// How long a refused task counts as demand.
const REFUSED_DEMAND_WINDOW: std::time::Duration = std::time::Duration::from_secs(2);
/// An entry's share is at least the quota divided by this.
const MIN_SHARE_DIVISOR: u32 = 16;

/// Usage and demand of teams, at this entry and its peers.
#[derive(Debug, Default)]
pub struct Quotas {
    local: HashMap<TeamName, TeamUsage>,
    peers: HashMap<Incarnation, HashMap<TeamName, u32>>,
}

#[derive(Debug, Default, Clone, Copy)]
struct TeamUsage {
    in_flight: u32,
    refused: u32,
    refused_at: Now,
}

impl TeamUsage {
    fn demand(&self, now: Now) -> u32 {
        let is_recent = now.saturating_sub(self.refused_at) < REFUSED_DEMAND_WINDOW;
        self.in_flight + if is_recent { self.refused } else { 0 }
    }
}

impl Quotas {
    /// Returns how many tasks of a team this entry may have in flight. `extra` counts as further
    /// demand, for a job that isn't admitted yet.
    pub fn share(&self, team: &TeamName, quota: u32, extra: u32, now: Now) -> u32 {
        let peer_demand: u32 = self
            .peers
            .values()
            .filter_map(|teams| teams.get(team))
            .sum();
        if peer_demand == 0 {
            return quota;
        }
        let local_demand = self.demand(team, now) + extra;
        let share_of_quota = u64::from(quota) * u64::from(local_demand)
            / u64::from(local_demand + peer_demand).max(1);
        (share_of_quota as u32).max(quota / MIN_SHARE_DIVISOR)
    }

    /// Returns the number of a team's tasks in flight at this entry.
    pub fn in_flight(&self, team: &TeamName) -> u32 {
        self.local.get(team).map_or(0, |usage| usage.in_flight)
    }

    fn demand(&self, team: &TeamName, now: Now) -> u32 {
        self.local.get(team).map_or(0, |usage| usage.demand(now))
    }

    /// Counts the tasks of an admitted job.
    pub fn admit(&mut self, team: &TeamName, tasks: u32) {
        self.local.entry(team.clone()).or_default().in_flight += tasks;
    }

    /// Releases the tasks of a job that has ended.
    pub fn end(&mut self, team: &TeamName, tasks: u32) {
        if let Some(usage) = self.local.get_mut(team) {
            debug_assert!(usage.in_flight >= tasks, "a job's tasks are released twice");
            usage.in_flight = usage.in_flight.saturating_sub(tasks);
        }
    }

    /// Counts a job refused for quota as demand, which lets the share grow.
    pub fn refuse(&mut self, team: &TeamName, tasks: u32, now: Now) {
        let usage = self.local.entry(team.clone()).or_default();
        if now.saturating_sub(usage.refused_at) >= REFUSED_DEMAND_WINDOW {
            usage.refused = 0;
            usage.refused_at = now;
        }
        usage.refused = usage.refused.saturating_add(tasks);
    }

    /// Replaces a peer's demand with its latest report.
    pub fn peer_report(&mut self, peer: Incarnation, teams: &[TeamDemand]) {
        let by_team = teams.iter().map(|t| (t.team.clone(), t.tasks)).collect();
        self.peers.insert(peer, by_team);
    }

    /// Forgets the demand of a disconnected peer.
    pub fn peer_gone(&mut self, peer: Incarnation) {
        self.peers.remove(&peer);
    }

    /// Returns the demand to report to peers, ordered by team.
    pub fn report(&self, now: Now) -> Vec<TeamDemand> {
        let mut teams: Vec<TeamDemand> = self
            .local
            .iter()
            .map(|(team, usage)| TeamDemand {
                team: team.clone(),
                tasks: usage.demand(now),
            })
            .filter(|t| t.tasks > 0)
            .collect();
        teams.sort_unstable_by(|a, b| a.team.cmp(&b.team));
        teams
    }
}
