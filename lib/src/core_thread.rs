//! The thread that runs a core: events in by rings, actions out by a router.

use std::thread;
use std::time::Duration;

use crate::agent::{AgentAction, AgentCore, AgentEvent};
use crate::clock::BootInstant;
use crate::entry::{EntryAction, EntryCore, EntryEvent, TICK};
use crate::ids::Now;
use crate::ring::RingRx;

/// Events taken from one ring before the next has its turn.
const TURN: usize = 128;

/// A deterministic state machine.
pub trait Core {
    /// What it is told.
    type Event;
    /// What it wants done.
    type Action;

    /// The event that says that time has passed.
    fn tick() -> Self::Event;

    /// Takes in an event.
    fn handle(&mut self, now: Now, event: Self::Event) -> Vec<Self::Action>;
}

impl Core for EntryCore {
    type Event = EntryEvent;
    type Action = EntryAction;

    fn tick() -> EntryEvent {
        EntryEvent::Tick
    }

    fn handle(&mut self, now: Now, event: EntryEvent) -> Vec<EntryAction> {
        EntryCore::handle(self, now, event)
    }
}

impl Core for AgentCore {
    type Event = AgentEvent;
    type Action = AgentAction;

    fn tick() -> AgentEvent {
        AgentEvent::Tick
    }

    fn handle(&mut self, now: Now, event: AgentEvent) -> Vec<AgentAction> {
        AgentCore::handle(self, now, event)
    }
}

/// Whether to go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Go on.
    Continue,
    /// End the thread.
    Stop,
}

/// What an input comes to.
#[derive(Debug)]
pub enum Admitted<E> {
    /// An event for the core.
    Event(E),
    /// Nothing to do.
    Nothing,
    /// End the thread at once, as a crash would.
    Halt,
}

/// Carries out what a core wants.
pub trait Router<C: Core> {
    /// What comes in by the rings.
    type Input;

    /// Turns an input into an event, keeping what the answer will need.
    fn admit(&mut self, input: Self::Input) -> Admitted<C::Event>;

    /// Carries out an action.
    fn route(&mut self, action: C::Action) -> Next;

    /// Called after each tick, to look at the core.
    fn observe(&mut self, core: &C);
}

/// Runs a core on this thread until its router says stop. The rings' wakers must unpark this
/// thread.
pub fn run<C: Core, R: Router<C>>(mut core: C, mut inputs: Vec<RingRx<R::Input>>, router: &mut R) {
    let origin = BootInstant::now();
    let mut next_tick = Duration::ZERO;
    loop {
        let mut idle = true;
        for input in &mut inputs {
            for _ in 0..TURN {
                let Some(item) = input.pop() else {
                    break;
                };
                idle = false;
                let event = match router.admit(item) {
                    Admitted::Event(event) => event,
                    Admitted::Nothing => continue,
                    Admitted::Halt => return,
                };
                if step(&mut core, origin.elapsed(), event, router) == Next::Stop {
                    return;
                }
            }
        }
        let now = origin.elapsed();
        if now >= next_tick {
            next_tick = now + TICK;
            if step(&mut core, now, C::tick(), router) == Next::Stop {
                return;
            }
            router.observe(&core);
        } else if idle {
            thread::park_timeout(next_tick - now);
        }
    }
}

fn step<C: Core, R: Router<C>>(core: &mut C, now: Now, event: C::Event, router: &mut R) -> Next {
    for action in core.handle(now, event) {
        if router.route(action) == Next::Stop {
            return Next::Stop;
        }
    }
    Next::Continue
}
