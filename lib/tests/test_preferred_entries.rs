//! Which entries an agent links to as entries come and go.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::*;
use trestleknot_lib::ids::{Now, SessionId};
use trestleknot_lib::preferred_entries::{LinkStep, PREFERRED_COUNT, PreferredEntries};

const DRAIN_TIME: Duration = Duration::from_millis(500);

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

fn address(entry: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, entry as u8 + 1], 7300))
}

/// Simulates one agent's links to entries that start and die, on a virtual clock.
struct Simulation {
    now: Now,
    preferred: PreferredEntries,
    dialled: Vec<SocketAddr>,
    links: BTreeMap<SocketAddr, SessionId>,
    drained: Vec<SessionId>,
    needed: Vec<SessionId>,
    next_link: SessionId,
    dials: usize,
    alive: Vec<bool>,
}

impl Simulation {
    fn new(agent: &str, entries: usize) -> Self {
        let mut preferred = PreferredEntries::new(agent, PREFERRED_COUNT, DRAIN_TIME);
        preferred.learn(Now::ZERO, (0..entries).map(address));
        Self {
            now: Now::ZERO,
            preferred,
            dialled: Vec::new(),
            links: BTreeMap::new(),
            drained: Vec::new(),
            needed: Vec::new(),
            next_link: 1,
            dials: 0,
            alive: vec![true; entries],
        }
    }

    /// Advances the clock in steps; in each step, dials reach the living entries.
    fn run(&mut self, length: Duration) {
        let until = self.now + length;
        while self.now < until {
            self.now += ms(20);
            self.step();
        }
    }

    fn step(&mut self) {
        let needed = self.needed.clone();
        for step in self
            .preferred
            .steps(self.now, |link| needed.contains(&link))
        {
            match step {
                LinkStep::Dial(a) => {
                    self.dials += 1;
                    self.dialled.push(a);
                }
                LinkStep::Disconnect(a, link) => {
                    self.dialled.retain(|d| *d != a);
                    if let Some(link) = link {
                        assert!(!self.needed.contains(&link), "runs depended on {link}");
                        self.links.retain(|_, l| *l != link);
                    }
                }
                LinkStep::Drain(link) => self.drained.push(link),
            }
        }
        for entry in 0..self.alive.len() {
            let a = address(entry);
            let is_up = self.alive[entry] && self.dialled.contains(&a);
            match (is_up, self.links.get(&a).copied()) {
                (true, None) => {
                    self.preferred.link_up(self.now, a, self.next_link);
                    self.links.insert(a, self.next_link);
                    self.next_link += 1;
                }
                (false, Some(link)) if !self.alive[entry] => {
                    self.links.remove(&a);
                    self.preferred.link_down(self.now, link);
                }
                _ => {}
            }
        }
    }
}

#[test]
fn test_steps_small_fleet_links_to_all_and_disconnects_none() {
    let mut simulation = Simulation::new("agent", PREFERRED_COUNT);
    simulation.alive[3] = false;
    simulation.run(ms(20_000));
    assert_eq!(simulation.dialled.len(), PREFERRED_COUNT);
    assert_eq!(simulation.links.len(), PREFERRED_COUNT - 1);
}

#[test]
fn test_steps_large_fleet_shares_targets_evenly() {
    let mut links_of = [0; 55];
    for agent in 0..240 {
        let mut simulation = Simulation::new(&format!("agent-{agent}"), 55);
        simulation.run(ms(1_000));
        assert_eq!(simulation.links.len(), PREFERRED_COUNT);
        assert_eq!(simulation.dials, PREFERRED_COUNT);
        for (entry, links) in links_of.iter_mut().enumerate() {
            *links += usize::from(simulation.links.contains_key(&address(entry)));
        }
    }
    // The mean is 240 x 12 / 55 = 52; the bounds are four standard deviations away.
    let (least, most) = (links_of.iter().min(), links_of.iter().max());
    assert!(least >= Some(&30) && most <= Some(&80), "{links_of:?}");
}

#[test]
fn test_steps_lost_preferred_entry_is_replaced_and_comes_back() {
    let mut simulation = Simulation::new("agent", 55);
    simulation.run(ms(1_000));
    let before: Vec<SocketAddr> = simulation.links.keys().copied().collect();
    let lost = (0..55).find(|e| before.contains(&address(*e))).unwrap_or(0);
    simulation.alive[lost] = false;
    simulation.run(ms(900));
    assert_eq!(
        simulation.links.len(),
        PREFERRED_COUNT - 1,
        "it may come back soon"
    );
    simulation.run(ms(600));
    assert_eq!(
        simulation.links.len(),
        PREFERRED_COUNT,
        "another takes its place"
    );
    simulation.alive[lost] = true;
    simulation.run(ms(1_500));
    assert!(
        simulation.links.contains_key(&address(lost)),
        "found within 1.5 s"
    );
    simulation.run(ms(4_000));
    let after: Vec<SocketAddr> = simulation.links.keys().copied().collect();
    assert_eq!(after, before, "no other link has moved");
}

#[test]
fn test_steps_new_entry_is_linked_by_its_share_at_once() {
    let mut found = 0;
    for agent in 0..240 {
        let mut simulation = Simulation::new(&format!("agent-{agent}"), 56);
        let newcomer = address(55);
        simulation.preferred =
            PreferredEntries::new(&format!("agent-{agent}"), PREFERRED_COUNT, DRAIN_TIME);
        simulation.preferred.learn(Now::ZERO, (0..55).map(address));
        simulation.run(ms(1_000));
        simulation.preferred.learn(simulation.now, [newcomer]);
        simulation.run(ms(100));
        found += usize::from(simulation.links.contains_key(&newcomer));
    }
    assert!((30..=80).contains(&found), "{found} of 240 agents");
}

#[test]
fn test_steps_link_with_runs_is_kept_until_they_are_over() {
    let mut simulation = Simulation::new("agent", 55);
    simulation.run(ms(1_000));
    let lost = (0..55).find(|e| simulation.links.contains_key(&address(*e)));
    let lost = lost.unwrap_or(0);
    simulation.alive[lost] = false;
    simulation.run(ms(2_000));
    simulation.needed = simulation.links.values().copied().collect();
    simulation.alive[lost] = true;
    simulation.run(ms(8_000));
    assert_eq!(simulation.links.len(), PREFERRED_COUNT + 1);
    assert_eq!(simulation.drained.len(), 1, "the drain is announced once");
    simulation.needed.clear();
    simulation.run(ms(500));
    assert_eq!(simulation.links.len(), PREFERRED_COUNT);
}

proptest! {
    /// After any changes of membership, an agent links to all living entries up to the limit. It
    /// never dials more than a few addresses at a time.
    #[test]
    fn test_steps_any_membership_ends_in_full_links(
        entries in 1_usize..70,
        changes in prop::collection::vec((0_usize..70, any::<bool>(), 0_u64..3_000), 0..40),
        survivors in prop::collection::vec(any::<bool>(), 70),
    ) {
        let mut simulation = Simulation::new("agent", entries);
        for (entry, is_alive, pause) in changes {
            let entry = entry % entries;
            simulation.alive[entry] = is_alive;
            simulation.run(ms(pause));
            prop_assert!(simulation.dialled.len() <= 3 * PREFERRED_COUNT);
        }
        simulation.alive.copy_from_slice(&survivors[..entries]);
        let living = simulation.alive.iter().filter(|a| **a).count();
        // Addresses that have been unreachable for long are dialled every 3 s.
        simulation.run(ms(8_000));
        let linked = simulation.links.len();
        prop_assert!(linked >= living.min(PREFERRED_COUNT), "{linked} links, {living} alive");
        let most = if entries <= PREFERRED_COUNT { entries } else { PREFERRED_COUNT };
        prop_assert!(linked <= most, "{linked} links");
    }
}
