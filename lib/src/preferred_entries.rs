//! Which entries a process keeps links to: its homes.
//!
//! A link costs both sides heartbeats, news and a handshake, whether work travels on it or not. So a
//! process of a large fleet links to some entries only. Each works them out for itself from the
//! addresses that it knows: it ranks them by a hash of its own name and the address (rendezvous
//! hashing), so that entries get equal shares without talking to anybody, and a VM that comes or goes
//! moves no other links than its own.
//!
//! Links are no proof of anything: every order is checked by the agent, and the chain of times
//! holds whoever is linked. Losing a home costs an entry a target, never a promise.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use sha2::{Digest as _, Sha256};

use crate::ids::{Now, SessionId};

/// Fleets of up to so many entries: everybody links to everybody.
pub const FULL_MESH_LIMIT: usize = 12;
/// Links that an agent keeps in larger ones. With half of the entries gone, one target in 4,000 has
/// no living home.
pub const PREFERRED_COUNT: usize = 12;
/// A home that was linked is waited for this long before another entry takes its place: a process
/// that is started again is back within it.
const WAIT_FOR_LOST: Duration = Duration::from_millis(1_000);
/// A dialled address counts as missing after this long: four tries.
const WAIT_FOR_DIALLED: Duration = Duration::from_millis(300);
/// Pause between two tries at a missing address.
const RETRY: Duration = Duration::from_millis(1_000);
/// The same once it has been missing for [`LONG_GONE`].
const RETRY_GONE: Duration = Duration::from_secs(3);
/// See [`RETRY_GONE`].
const LONG_GONE: Duration = Duration::from_secs(10);
/// Links beyond those wanted are kept for so long, for a home that has just come back may go again.
const KEEP_SURPLUS: Duration = Duration::from_millis(2_000);
/// A parting link on which runs still depend is looked at again after this.
const LOOK_AGAIN: Duration = Duration::from_millis(100);

/// Place of an address in an agent's ranking; the least comes first.
type Rank = u64;

/// Where a known address stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// Not wanted now, or missing; to be tried at this time at the earliest.
    Idle { retry_at: Now },
    /// Dialled; missing if there is no link by then.
    Dialled { missing_at: Now },
    /// Linked.
    Linked { link: SessionId },
    /// Linked, but told that it is to send no more work; given up then at the earliest.
    Draining { link: SessionId, until: Now },
}

#[derive(Debug)]
struct Known {
    rank: Rank,
    standing: Standing,
    /// When it was last linked, or learnt.
    last_linked: Now,
}

impl Known {
    fn is_linked(&self) -> bool {
        matches!(self.standing, Standing::Linked { .. })
    }

    fn is_dialled(&self) -> bool {
        matches!(self.standing, Standing::Dialled { .. })
    }
}

/// What is to be done about links.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkStep {
    /// Keep a connection to this address from now on.
    Dial(SocketAddr),
    /// Keep none any more, and close the link if there is one.
    Disconnect(SocketAddr, Option<SessionId>),
    /// Tell the entry behind this link that it gets no more work.
    Drain(SessionId),
}

/// See the module.
#[derive(Debug)]
pub struct PreferredEntries {
    /// Name of the process.
    name: Box<str>,
    /// Links that are wanted.
    wanted: usize,
    known: BTreeMap<SocketAddr, Known>,
    /// Since when there have been more links than wanted.
    surplus_since: Option<Now>,
    /// When there is something to do next, as far as is known.
    look_at: Option<Now>,
    /// How long a parting link stays, so that no order is on its way.
    part_for: Duration,
}

impl PreferredEntries {
    /// Of a process that knows no entries and wants so many links. A link that is given up stays for
    /// `part_for` after its entry was told: no order may be on its way longer than that.
    pub fn new(name: &str, wanted: usize, part_for: Duration) -> Self {
        Self {
            name: name.into(),
            wanted,
            known: BTreeMap::new(),
            surplus_since: None,
            look_at: None,
            part_for,
        }
    }

    /// Learns addresses of entries.
    pub fn learn(&mut self, now: Now, addresses: impl IntoIterator<Item = SocketAddr>) {
        for address in addresses {
            if self.known.contains_key(&address) {
                continue;
            }
            let known = Known {
                rank: rank(&self.name, address),
                standing: Standing::Idle { retry_at: now },
                last_linked: now,
            };
            self.known.insert(address, known);
            self.look_at = Some(now);
        }
    }

    /// Notes a link.
    pub fn link_up(&mut self, now: Now, address: SocketAddr, link: SessionId) {
        self.learn(now, [address]);
        if let Some(known) = self.known.get_mut(&address) {
            known.standing = Standing::Linked { link };
            known.last_linked = now;
        }
        self.look_at = Some(now);
    }

    /// Notes that a link is gone.
    pub fn link_down(&mut self, now: Now, link: SessionId) {
        self.look_at = Some(now);
        for known in self.known.values_mut() {
            match known.standing {
                Standing::Linked { link: l } if l == link => {
                    known.last_linked = now;
                    let missing_at = now + WAIT_FOR_LOST;
                    known.standing = Standing::Dialled { missing_at };
                }
                Standing::Draining { link: l, .. } if l == link => {
                    // It is still dialled; the next step hangs up.
                    known.standing = Standing::Dialled { missing_at: now };
                }
                _ => {}
            }
        }
    }

    /// What is to be done now. `is_needed` says whether runs depend on a link.
    pub fn steps(&mut self, now: Now, is_needed: impl Fn(SessionId) -> bool) -> Vec<LinkStep> {
        let mut steps = Vec::new();
        if self.look_at.is_none_or(|at| at > now) {
            return steps;
        }
        if self.known.len() <= FULL_MESH_LIMIT {
            self.dial_all(now, &mut steps);
            self.look_at = None;
            return steps;
        }
        self.give_up_missing(now, &mut steps);
        self.end_parting(now, is_needed, &mut steps);
        self.dial_ranked(now, &mut steps);
        self.part_with_surplus(now, &mut steps);
        self.look_at = self.next_look();
        steps
    }

    /// When [`PreferredEntries::steps`] has something to do next, unless something is told before.
    pub fn next_wake(&self) -> Option<Now> {
        self.look_at
    }

    fn next_look(&self) -> Option<Now> {
        let last_wanted = self.last_wanted();
        let times = self
            .known
            .values()
            .filter_map(|known| match known.standing {
                Standing::Idle { retry_at } => Some(retry_at).filter(|_| known.rank <= last_wanted),
                Standing::Dialled { missing_at } => Some(missing_at),
                Standing::Linked { .. } => None,
                Standing::Draining { until, .. } => Some(until),
            });
        let surplus = self.surplus_since.map(|since| since + KEEP_SURPLUS);
        times.chain(surplus).min()
    }

    /// In a small fleet every address is dialled for good.
    fn dial_all(&mut self, now: Now, steps: &mut Vec<LinkStep>) {
        for (address, known) in &mut self.known {
            if let Standing::Idle { .. } = known.standing {
                known.standing = Standing::Dialled {
                    missing_at: now + WAIT_FOR_DIALLED,
                };
                steps.push(LinkStep::Dial(*address));
            }
        }
    }

    fn give_up_missing(&mut self, now: Now, steps: &mut Vec<LinkStep>) {
        for (address, known) in &mut self.known {
            let Standing::Dialled { missing_at } = known.standing else {
                continue;
            };
            if missing_at <= now {
                let is_long_gone = known.last_linked + LONG_GONE <= now;
                let pause = if is_long_gone { RETRY_GONE } else { RETRY };
                known.standing = Standing::Idle {
                    retry_at: now + pause,
                };
                steps.push(LinkStep::Disconnect(*address, None));
            }
        }
    }

    fn end_parting(
        &mut self,
        now: Now,
        is_needed: impl Fn(SessionId) -> bool,
        steps: &mut Vec<LinkStep>,
    ) {
        for (address, known) in &mut self.known {
            let Standing::Draining { link, until } = known.standing else {
                continue;
            };
            if until > now {
                continue;
            }
            if is_needed(link) {
                let until = now + LOOK_AGAIN;
                known.standing = Standing::Draining { link, until };
            } else {
                known.standing = Standing::Idle { retry_at: now };
                steps.push(LinkStep::Disconnect(*address, Some(link)));
            }
        }
    }

    fn count(&self, is_counted: impl Fn(&Known) -> bool) -> usize {
        self.known.values().filter(|k| is_counted(k)).count()
    }

    /// Rank up to which idle addresses are dialled: that of the last home, or any while links are
    /// missing.
    fn last_wanted(&self) -> Rank {
        let kept = self.count(|k| k.is_linked() || k.is_dialled());
        if kept < self.wanted {
            Rank::MAX
        } else {
            self.last_rank()
        }
    }

    /// Rank of the last home, whoever lives.
    fn last_rank(&self) -> Rank {
        let mut ranks: Vec<Rank> = self.known.values().map(|k| k.rank).collect();
        if ranks.len() < self.wanted {
            return Rank::MAX;
        }
        let (_, last, _) = ranks.select_nth_unstable(self.wanted - 1);
        *last
    }

    /// Dials the homes that are not linked, and others for as many as are missing. Those that have
    /// waited longest go first, or addresses that nobody answers at would keep the rest from being
    /// tried.
    fn dial_ranked(&mut self, now: Now, steps: &mut Vec<LinkStep>) {
        let mut due: Vec<(Now, Rank, SocketAddr)> = Vec::new();
        for (address, known) in &self.known {
            if let Standing::Idle { retry_at } = known.standing
                && retry_at <= now
            {
                due.push((retry_at, known.rank, *address));
            }
        }
        due.sort_unstable();
        let mut kept = self.count(|k| k.is_linked() || k.is_dialled());
        let last_rank = self.last_rank();
        for (_, rank, address) in due {
            if kept >= self.wanted && rank > last_rank {
                continue;
            }
            kept += 1;
            if let Some(known) = self.known.get_mut(&address) {
                let missing_at = now + WAIT_FOR_DIALLED;
                known.standing = Standing::Dialled { missing_at };
            }
            steps.push(LinkStep::Dial(address));
        }
    }

    /// Gives up the last in rank of more links than wanted, once that has stood for a while.
    fn part_with_surplus(&mut self, now: Now, steps: &mut Vec<LinkStep>) {
        let linked = self.count(Known::is_linked);
        if linked <= self.wanted {
            self.surplus_since = None;
            return;
        }
        let since = *self.surplus_since.get_or_insert(now);
        if since + KEEP_SURPLUS > now {
            return;
        }
        self.surplus_since = None;
        let mut links: Vec<(Rank, SocketAddr, SessionId)> = Vec::new();
        for (address, known) in &self.known {
            if let Standing::Linked { link } = known.standing {
                links.push((known.rank, *address, link));
            }
        }
        links.sort_unstable();
        for (_, address, link) in links.split_off(self.wanted) {
            if let Some(known) = self.known.get_mut(&address) {
                let until = now + self.part_for;
                known.standing = Standing::Draining { link, until };
            }
            steps.push(LinkStep::Drain(link));
        }
    }
}

fn rank(name: &str, address: SocketAddr) -> Rank {
    let mut hash = Sha256::new();
    hash.update(name.as_bytes());
    hash.update(address.to_string().as_bytes());
    let digest = hash.finalize();
    let mut first = [0; size_of::<Rank>()];
    first.copy_from_slice(&digest[..size_of::<Rank>()]);
    Rank::from_be_bytes(first)
}
