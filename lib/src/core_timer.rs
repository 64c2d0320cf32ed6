//! One timer for a core: it sleeps until the time that the core asked for last.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::clock::BootInstant;
use crate::ids::Now;

/// Longest sleep at a time. Timers of the system stand still in a suspended VM: what has come due
/// meanwhile is noticed this much later at the most.
const LONGEST_SLEEP: Duration = Duration::from_millis(100);

/// See the module.
pub struct CoreTimer {
    origin: BootInstant,
    at: Cell<Option<Now>>,
    /// Until when the sleeper sleeps; none if for good, zero if it is awake.
    sleeps_until: Cell<Option<Now>>,
    moved: Notify,
}

impl CoreTimer {
    /// A timer that counts from `origin`.
    pub fn new(origin: BootInstant) -> Rc<Self> {
        Rc::new(Self {
            origin,
            at: Cell::new(None),
            sleeps_until: Cell::new(Some(Now::ZERO)),
            moved: Notify::new(),
        })
    }

    /// Time since the origin.
    pub fn now(&self) -> Now {
        self.origin.elapsed()
    }

    /// Sets the time of the next wake. The sleeper is disturbed only if it would come too late; if
    /// it comes too early it sleeps again.
    pub fn set(&self, at: Option<Now>) {
        self.at.set(at);
        let Some(at) = at else {
            return;
        };
        if self.sleeps_until.get().is_none_or(|until| at < until) {
            self.moved.notify_one();
        }
    }

    /// Calls `wake` whenever the time set has come. Never returns.
    pub async fn run(self: Rc<Self>, wake: impl Fn()) {
        loop {
            let now = self.now();
            match self.at.get() {
                Some(at) if at <= now => {
                    self.at.set(None);
                    wake();
                }
                Some(at) => {
                    let until = at.min(now + LONGEST_SLEEP);
                    self.sleeps_until.set(Some(until));
                    tokio::select! {
                        () = tokio::time::sleep(until - now) => {}
                        () = self.moved.notified() => {}
                    }
                    self.sleeps_until.set(Some(Now::ZERO));
                }
                None => {
                    self.sleeps_until.set(None);
                    self.moved.notified().await;
                    self.sleeps_until.set(Some(Now::ZERO));
                }
            }
        }
    }
}
