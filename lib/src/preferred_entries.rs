//! Chooses the entries to which a process keeps links: its preferred entries.
//!
//! Every link costs both sides heartbeats, news and a handshake, so a process of a large fleet
//! links to only a few entries. It ranks the known addresses by a hash of its own name and the
//! address (rendezvous hashing). This spreads links evenly without coordination, and a VM that
//! joins or leaves moves only its own links.
//!
//! Correctness does not depend on links: the agent checks every order, and leases expire whether or
//! not a link exists. An entry that loses a link loses only the use of a target.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use sha2::{Digest as _, Sha256};

use crate::ids::{Now, SessionId};

/// Largest number of known entries at which a process still links to all of them.
pub const FULL_MESH_LIMIT: usize = 12;
/// Number of links that an agent keeps in a larger fleet. With half of the entries gone, one target
/// in 4,000 has no living preferred entry.
pub const PREFERRED_COUNT: usize = 12;
/// How long a preferred entry that lost its link may take to return before another entry replaces
/// it.
const RECONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a dialled address may take to answer before it counts as missing.
const DIAL_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause before a missing address is dialled again.
const RETRY_PAUSE: Duration = Duration::from_millis(1_000);
/// Pause before an address without a link for [`LONG_GONE`] is dialled again.
const LONG_GONE_RETRY_PAUSE: Duration = Duration::from_secs(3);
/// Time without a link after which an address is dialled less often.
const LONG_GONE: Duration = Duration::from_secs(10);
/// How long surplus links are kept, because a preferred entry that has just returned may fail
/// again.
const SURPLUS_GRACE: Duration = Duration::from_millis(2_000);
/// Interval at which a draining link is checked for runs that still depend on it.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Rank of an address for a process; the lowest is preferred most.
type Rank = u64;

/// State of a known address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AddressState {
    /// Not dialled; may be dialled from `retry_at` on.
    Idle { retry_at: Now },
    /// Dialled; counts as missing if there is no link at `missing_at`.
    Dialled { missing_at: Now },
    /// Connected by a link that may carry new work.
    Linked { link: SessionId },
    /// Connected, but the entry was told to send no more work; closed at `until` at the earliest.
    Draining { link: SessionId, until: Now },
}

#[derive(Debug)]
struct KnownEntry {
    rank: Rank,
    state: AddressState,
    /// When it was last linked, or when it was learnt if it never was.
    last_linked: Now,
}

impl KnownEntry {
    fn is_linked(&self) -> bool {
        matches!(self.state, AddressState::Linked { .. })
    }

    fn is_dialled(&self) -> bool {
        matches!(self.state, AddressState::Dialled { .. })
    }
}

/// An action on a link that the caller must carry out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkStep {
    /// Establish a connection to this address and keep it up.
    Dial(SocketAddr),
    /// Stop keeping a connection to this address, and close the link if there is one.
    Disconnect(SocketAddr, Option<SessionId>),
    /// Tell the entry behind this link to send no more work.
    Drain(SessionId),
}

/// The known entry addresses of a process and the state of its link to each.
#[derive(Debug)]
pub struct PreferredEntries {
    /// Name of the process.
    name: Box<str>,
    /// Number of links to keep in a large fleet.
    wanted: usize,
    known: BTreeMap<SocketAddr, KnownEntry>,
    /// When the number of links began to exceed `wanted`.
    surplus_since: Option<Now>,
    /// When the next step is due, or `None` if only an event can cause one.
    next_step_at: Option<Now>,
    /// How long a draining link stays open, so that orders in transit still arrive.
    drain_for: Duration,
}

impl PreferredEntries {
    /// Creates the state of a process that knows no entries and keeps `wanted` links. A draining
    /// link stays open for `drain_for` after its entry was told, which must exceed an order's
    /// transit time.
    pub fn new(name: &str, wanted: usize, drain_for: Duration) -> Self {
        Self {
            name: name.into(),
            wanted,
            known: BTreeMap::new(),
            surplus_since: None,
            next_step_at: None,
            drain_for,
        }
    }

    /// Adds addresses of entries.
    pub fn learn(&mut self, now: Now, addresses: impl IntoIterator<Item = SocketAddr>) {
        for address in addresses {
            if self.known.contains_key(&address) {
                continue;
            }
            let known = KnownEntry {
                rank: rank(&self.name, address),
                state: AddressState::Idle { retry_at: now },
                last_linked: now,
            };
            self.known.insert(address, known);
            self.next_step_at = Some(now);
        }
    }

    /// Records a new link.
    pub fn link_up(&mut self, now: Now, address: SocketAddr, link: SessionId) {
        self.learn(now, [address]);
        if let Some(known) = self.known.get_mut(&address) {
            known.state = AddressState::Linked { link };
            known.last_linked = now;
        }
        self.next_step_at = Some(now);
    }

    /// Records that a link is gone.
    pub fn link_down(&mut self, now: Now, link: SessionId) {
        self.next_step_at = Some(now);
        for known in self.known.values_mut() {
            match known.state {
                AddressState::Linked { link: l } if l == link => {
                    known.last_linked = now;
                    let missing_at = now + RECONNECT_TIMEOUT;
                    known.state = AddressState::Dialled { missing_at };
                }
                AddressState::Draining { link: l, .. } if l == link => {
                    // The address is still dialled; the next step disconnects it.
                    known.state = AddressState::Dialled { missing_at: now };
                }
                _ => {}
            }
        }
    }

    /// Returns the steps that are due. `is_needed` tells whether runs depend on a link.
    pub fn steps(&mut self, now: Now, is_needed: impl Fn(SessionId) -> bool) -> Vec<LinkStep> {
        let mut steps = Vec::new();
        if self.next_step_at.is_none_or(|at| at > now) {
            return steps;
        }
        if self.known.len() <= FULL_MESH_LIMIT {
            self.dial_all(now, &mut steps);
            self.next_step_at = None;
            return steps;
        }
        self.give_up_missing(now, &mut steps);
        self.end_draining(now, is_needed, &mut steps);
        self.dial_ranked(now, &mut steps);
        self.drain_surplus(now, &mut steps);
        self.next_step_at = self.compute_next_step();
        steps
    }

    /// When [`PreferredEntries::steps`] must be called next, if no event comes before.
    pub fn next_wake(&self) -> Option<Now> {
        self.next_step_at
    }

    fn compute_next_step(&self) -> Option<Now> {
        let last_wanted = self.last_wanted();
        let times = self.known.values().filter_map(|known| match known.state {
            AddressState::Idle { retry_at } => Some(retry_at).filter(|_| known.rank <= last_wanted),
            AddressState::Dialled { missing_at } => Some(missing_at),
            AddressState::Linked { .. } => None,
            AddressState::Draining { until, .. } => Some(until),
        });
        let surplus = self.surplus_since.map(|since| since + SURPLUS_GRACE);
        times.chain(surplus).min()
    }

    /// Dials every address permanently; used in small fleets.
    fn dial_all(&mut self, now: Now, steps: &mut Vec<LinkStep>) {
        for (address, known) in &mut self.known {
            if let AddressState::Idle { .. } = known.state {
                known.state = AddressState::Dialled {
                    missing_at: now + DIAL_TIMEOUT,
                };
                steps.push(LinkStep::Dial(*address));
            }
        }
    }

    fn give_up_missing(&mut self, now: Now, steps: &mut Vec<LinkStep>) {
        for (address, known) in &mut self.known {
            let AddressState::Dialled { missing_at } = known.state else {
                continue;
            };
            if missing_at <= now {
                let is_long_gone = known.last_linked + LONG_GONE <= now;
                let pause = if is_long_gone {
                    LONG_GONE_RETRY_PAUSE
                } else {
                    RETRY_PAUSE
                };
                known.state = AddressState::Idle {
                    retry_at: now + pause,
                };
                steps.push(LinkStep::Disconnect(*address, None));
            }
        }
    }

    fn end_draining(
        &mut self,
        now: Now,
        is_needed: impl Fn(SessionId) -> bool,
        steps: &mut Vec<LinkStep>,
    ) {
        for (address, known) in &mut self.known {
            let AddressState::Draining { link, until } = known.state else {
                continue;
            };
            if until > now {
                continue;
            }
            if is_needed(link) {
                let until = now + DRAIN_CHECK_INTERVAL;
                known.state = AddressState::Draining { link, until };
            } else {
                known.state = AddressState::Idle { retry_at: now };
                steps.push(LinkStep::Disconnect(*address, Some(link)));
            }
        }
    }

    fn count(&self, is_counted: impl Fn(&KnownEntry) -> bool) -> usize {
        self.known.values().filter(|k| is_counted(k)).count()
    }

    /// Highest rank up to which idle addresses are dialled: that of the last preferred entry, or
    /// any rank while there are too few links.
    fn last_wanted(&self) -> Rank {
        let kept = self.count(|k| k.is_linked() || k.is_dialled());
        if kept < self.wanted {
            Rank::MAX
        } else {
            self.last_rank()
        }
    }

    /// Rank of the last preferred entry, whether or not it is reachable.
    fn last_rank(&self) -> Rank {
        let mut ranks: Vec<Rank> = self.known.values().map(|k| k.rank).collect();
        if ranks.len() < self.wanted {
            return Rank::MAX;
        }
        let (_, last, _) = ranks.select_nth_unstable(self.wanted - 1);
        *last
    }

    /// Dials the preferred entries that are not linked, and one other address for each that is
    /// missing. The addresses that have waited longest come first; otherwise unreachable addresses
    /// would keep the rest from being dialled.
    fn dial_ranked(&mut self, now: Now, steps: &mut Vec<LinkStep>) {
        let mut due: Vec<(Now, Rank, SocketAddr)> = Vec::new();
        for (address, known) in &self.known {
            if let AddressState::Idle { retry_at } = known.state
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
                let missing_at = now + DIAL_TIMEOUT;
                known.state = AddressState::Dialled { missing_at };
            }
            steps.push(LinkStep::Dial(address));
        }
    }

    /// Drains the links with the highest ranks once there have been more than wanted for
    /// [`SURPLUS_GRACE`].
    fn drain_surplus(&mut self, now: Now, steps: &mut Vec<LinkStep>) {
        let linked = self.count(KnownEntry::is_linked);
        if linked <= self.wanted {
            self.surplus_since = None;
            return;
        }
        let since = *self.surplus_since.get_or_insert(now);
        if since + SURPLUS_GRACE > now {
            return;
        }
        self.surplus_since = None;
        let mut links: Vec<(Rank, SocketAddr, SessionId)> = Vec::new();
        for (address, known) in &self.known {
            if let AddressState::Linked { link } = known.state {
                links.push((known.rank, *address, link));
            }
        }
        links.sort_unstable();
        for (_, address, link) in links.split_off(self.wanted) {
            if let Some(known) = self.known.get_mut(&address) {
                let until = now + self.drain_for;
                known.state = AddressState::Draining { link, until };
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
