//! How large a virtual fleet is.

use std::time::Duration;

use trestleknot_lib::resources::Resources;
use trestleknot_lib::timings::PlatformBounds;

use super::{AGENTS, CAPACITY, ENTRIES, links};

/// A process of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    /// An entry.
    Entry(usize),
    /// An agent.
    Agent(usize),
}

/// How large a fleet is, and what it runs on.
#[derive(Debug, Clone, Copy)]
pub struct FleetConfig {
    /// Number of entries.
    pub entries: usize,
    /// Number of agents, each with a target.
    pub agents: usize,
    /// The platform's bounds.
    pub bounds: PlatformBounds,
    /// What each target has.
    pub capacity: Resources,
    /// One way between two processes, their own work included.
    pub one_way: Duration,
    /// Number of data halls, over which processes are dealt in turn.
    pub halls: usize,
    /// Whether entries link to each other.
    pub entries_meet: bool,
    /// How long after its order an evacuation must be obeyed; without it there is no store.
    pub evacuation_bound: Option<Duration>,
    /// What an entry's link carries each way, in Mbit/s; without it, everything at once.
    pub entry_link_mbps: Option<f64>,
    /// Whether the processes' clocks count the time for which their VMs are suspended.
    pub counts_suspension: bool,
    /// Number of entries, the first ones, that processes are told of at start; all if there is none.
    pub seeds: Option<usize>,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            entries: ENTRIES,
            agents: AGENTS,
            bounds: PlatformBounds::default(),
            capacity: CAPACITY,
            one_way: links::DELAY,
            halls: 1,
            entries_meet: false,
            evacuation_bound: None,
            entry_link_mbps: None,
            counts_suspension: true,
            seeds: None,
        }
    }
}
