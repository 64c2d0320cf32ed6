//! Size and settings of a simulated fleet.

use std::time::Duration;

use trestleknot_lib::resources::Resources;
use trestleknot_lib::timings::PlatformBounds;

use super::{AGENTS, CAPACITY, ENTRIES, ProcessorModel, links};

/// A process of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    Entry(usize),
    Agent(usize),
}

/// Size of a fleet and settings of its platform.
#[derive(Debug, Clone, Copy)]
pub struct FleetConfig {
    /// Number of entries.
    pub entries: usize,
    /// Number of agents, each with a target.
    pub agents: usize,
    /// The platform's bounds.
    pub bounds: PlatformBounds,
    /// Capacity of each target.
    pub capacity: Resources,
    /// One-way latency between two processes, including processing time.
    pub one_way: Duration,
    /// Number of data halls; processes are assigned to them round-robin.
    pub halls: usize,
    /// Longest time that a connection takes to form; each takes a random time. At zero, all form at
    /// once.
    pub longest_dial: Duration,
    /// Whether entries connect to each other.
    pub entries_meet: bool,
    /// Longest time from an evacuation's order until agents must obey it; none disables the store.
    pub evacuation_bound: Option<Duration>,
    /// Bandwidth of an entry's link in each direction, in Mbit/s; unlimited if none.
    pub entry_link_mbps: Option<f64>,
    /// Whether processes' clocks advance while their VMs are suspended.
    pub counts_suspension: bool,
    /// Factor on the time of a run outside its preferred rack, as the entries' settings give it;
    /// none if they don't.
    pub far_factor: Option<f64>,
    /// Number of entries, from the first, that processes know as seeds at start; all if none.
    pub seeds: Option<usize>,
    /// Whether the first entry reports that it is starved, and the others that they are idle.
    pub first_entry_starved: bool,
    /// Processors of the entries; unlimited if none.
    pub processor: Option<ProcessorModel>,
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
            longest_dial: Duration::ZERO,
            entries_meet: false,
            evacuation_bound: None,
            entry_link_mbps: None,
            counts_suspension: true,
            far_factor: None,
            seeds: None,
            first_entry_starved: false,
            processor: None,
        }
    }
}
