//! Runs a core on its thread: events arrive through rings, and a router performs the actions.

use std::thread;
use std::time::Duration;

use crate::agent::{AgentAction, AgentCore, AgentEvent};
use crate::clock::BootInstant;
use crate::entry::{EntryAction, EntryCore, EntryEvent, TICK};
use crate::ids::Now;
use crate::ring::RingRx;

/// Maximum events taken from one ring before the next ring is polled.
const MAX_EVENTS_PER_POLL: usize = 128;

/// A deterministic state machine.
pub trait Core {
    /// Input of the state machine.
    type Event;
    /// Effect requested by the state machine.
    type Action;

    /// Returns the event that signals the passage of time.
    fn tick() -> Self::Event;

    /// Handles an event and returns the resulting actions.
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

/// Whether the thread continues.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoopControl {
    /// Keep running.
    Continue,
    /// End the thread.
    Stop,
}

/// Result of admitting an input.
#[derive(Debug)]
pub enum InputOutcome<E> {
    /// An event for the core.
    Event(E),
    /// Nothing to do.
    Nothing,
    /// End the thread at once, as a crash would.
    Halt,
}

/// Connects a core to its surroundings: admits inputs and performs actions.
pub trait Router<C: Core> {
    /// Item received from the rings.
    type Input;

    /// Converts an input into an event, and stores the state needed to answer it.
    fn admit(&mut self, input: Self::Input) -> InputOutcome<C::Event>;

    /// Performs an action.
    fn route(&mut self, action: C::Action) -> LoopControl;

    /// Called after each tick with read access to the core.
    fn observe(&mut self, core: &C);
}

/// Runs a core on this thread until its router stops it or an input halts it. The rings' wakers
/// must unpark this thread.
pub fn run<C: Core, R: Router<C>>(mut core: C, mut inputs: Vec<RingRx<R::Input>>, router: &mut R) {
    let origin = BootInstant::now();
    let mut next_tick = Duration::ZERO;
    loop {
        let mut idle = true;
        for input in &mut inputs {
            for _ in 0..MAX_EVENTS_PER_POLL {
                let Some(item) = input.pop() else {
                    break;
                };
                idle = false;
                let event = match router.admit(item) {
                    InputOutcome::Event(event) => event,
                    InputOutcome::Nothing => continue,
                    InputOutcome::Halt => return,
                };
                if step(&mut core, origin.elapsed(), event, router) == LoopControl::Stop {
                    return;
                }
            }
        }
        let now = origin.elapsed();
        if now >= next_tick {
            next_tick = now + TICK;
            if step(&mut core, now, C::tick(), router) == LoopControl::Stop {
                return;
            }
            router.observe(&core);
        } else if idle {
            thread::park_timeout(next_tick - now);
        }
    }
}

fn step<C: Core, R: Router<C>>(
    core: &mut C,
    now: Now,
    event: C::Event,
    router: &mut R,
) -> LoopControl {
    for action in core.handle(now, event) {
        if router.route(action) == LoopControl::Stop {
            return LoopControl::Stop;
        }
    }
    LoopControl::Continue
}
