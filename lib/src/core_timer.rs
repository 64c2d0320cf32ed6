//! Wake-up timer of a core, which sleeps until the wake time that was set last.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::clock::BootInstant;
use crate::ids::Now;

/// Longest single sleep. The system's timers stop while a VM is suspended; this bounds the delay of
/// wakes that came due meanwhile.
const MAX_SLEEP: Duration = Duration::from_millis(100);

/// Calls a wake function at the time that was set last.
pub struct CoreTimer {
    origin: BootInstant,
    wake_at: Cell<Option<Now>>,
    /// End of the current sleep; none if it has no end, zero while awake.
    sleeps_until: Cell<Option<Now>>,
    rescheduled: Notify,
    /// The largest delay of a wake since it was last taken.
    lag: Cell<Duration>,
}

impl CoreTimer {
    /// Creates a timer that counts from `origin`.
    pub fn new(origin: BootInstant) -> Rc<Self> {
        Rc::new(Self {
            origin,
            wake_at: Cell::new(None),
            sleeps_until: Cell::new(Some(Now::ZERO)),
            rescheduled: Notify::new(),
            lag: Cell::new(Duration::ZERO),
        })
    }

    /// Time since the origin.
    pub fn now(&self) -> Now {
        self.origin.elapsed()
    }

    /// Takes the largest delay of a wake since the last call. A wake that is overdue counts: other
    /// events may be handled before it.
    pub fn take_lag(&self) -> Duration {
        let overdue = self.wake_at.get().map(|at| self.now().saturating_sub(at));
        self.lag.take().max(overdue.unwrap_or_default())
    }

    fn note_lag(&self, lag: Duration) {
        self.lag.set(self.lag.get().max(lag));
    }

    /// Sets the time of the next wake. The current sleep is interrupted only if it would end too
    /// late; after an early end the timer sleeps again.
    pub fn set(&self, at: Option<Now>) {
        self.wake_at.set(at);
        let Some(at) = at else {
            return;
        };
        if self.sleeps_until.get().is_none_or(|until| at < until) {
            self.rescheduled.notify_one();
        }
    }

    /// Calls `wake` whenever the set time has come. Never returns.
    pub async fn run(self: Rc<Self>, wake: impl Fn()) {
        loop {
            let now = self.now();
            match self.wake_at.get() {
                Some(at) if at <= now => {
                    self.note_lag(now - at);
                    self.wake_at.set(None);
                    wake();
                }
                Some(at) => {
                    let until = at.min(now + MAX_SLEEP);
                    self.sleeps_until.set(Some(until));
                    tokio::select! {
                        () = tokio::time::sleep(until - now) => {
                            self.note_lag(self.now().saturating_sub(until));
                        }
                        () = self.rescheduled.notified() => {}
                    }
                    self.sleeps_until.set(Some(Now::ZERO));
                }
                None => {
                    self.sleeps_until.set(None);
                    self.rescheduled.notified().await;
                    self.sleeps_until.set(Some(Now::ZERO));
                }
            }
        }
    }
}
