//! Runs an entry on the platform: its core, links, timer and callers share one thread.
//!
//! An entry has only a fraction of a core, where handing work between threads costs callers more
//! than separate threads would gain.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::{Notify, oneshot};

use crate::batch_entry::BatchEntryCore;
use crate::batch_event::{EntryAction, EntryEvent, EntryOptions, Reply};
use crate::caller_connections::CallerConnections;
use crate::clock::BootInstant;
use crate::core_timer::CoreTimer;
use crate::entry_load::LoopLoad;
use crate::evacuations::EvacuationReader;
use crate::events::{EventCode, LogEvent};
use crate::ids::{Now, RequestId, SessionId};
use crate::loop_sampler::LoopSampler;
use crate::node_links::{LinkSink, NodeLinks};
use crate::node_metrics::NodeMetrics;
use crate::platform_ports::{EntryRegistry, OperatorFeed, PortResult};
use crate::run_message::Packet;
use crate::skipped_input::SkippedInput;

/// Most tasks through which input passes from a socket to the core, each waking the next.
const MAX_WAKES_TO_CORE: u32 = 4;
/// Shortest time between two marks of the input that is read.
const INPUT_MARK_PAUSE: Duration = Duration::from_millis(30);
/// Shortest time between two marks while no batch is held. A request that arrives then may be taken for
/// older by that much.
const IDLE_INPUT_MARK_PAUSE: Duration = Duration::from_millis(100);
/// Pause after the first call to the store that failed.
const INITIAL_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between two calls to a failing store. It is short because a configuration must be
/// in force 2 s after it was accepted.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Connects the core of an entry to its links, timer, callers and store.
pub struct EntryNode {
    me: Weak<EntryNode>,
    core: RefCell<BatchEntryCore>,
    timer: Rc<CoreTimer>,
    links: Rc<NodeLinks>,
    replies: RefCell<HashMap<RequestId, oneshot::Sender<Reply>>>,
    connections: RefCell<CallerConnections>,
    next_request: Cell<RequestId>,
    figures: NodeMetrics,
    /// Whether batches were held when the input was marked last, or are since.
    marks_often: Cell<bool>,
    /// Wakes the task that marks the input.
    batch_held: Notify,
    /// Samples the event loop; `None` if the process's share of a core is not limited.
    sampler: Option<RefCell<LoopSampler>>,
    ended: Notify,
}

impl EntryNode {
    /// Starts an entry that listens for links. Must be called on the thread that runs the entry.
    pub fn start(options: EntryOptions, links_listener: TcpListener) -> Rc<Self> {
        let timer = CoreTimer::new(BootInstant::now());
        let sampler = options.processor_share.map(|_| RefCell::default());
        let connections = CallerConnections::new(options.timings.caller_retry_interval);
        let node = Rc::new_cyclic(|me: &Weak<Self>| Self {
            me: me.clone(),
            core: RefCell::new(BatchEntryCore::new(options)),
            timer: timer.clone(),
            links: NodeLinks::new(),
            replies: RefCell::default(),
            connections: RefCell::new(connections),
            next_request: Cell::new(1),
            figures: NodeMetrics::new(),
            marks_often: Cell::new(false),
            batch_held: Notify::new(),
            sampler,
            ended: Notify::new(),
        });
        let sink: Rc<dyn LinkSink> = node.clone();
        ntex::rt::spawn(node.links.clone().accept_all(links_listener, sink));
        let woken = node.clone();
        ntex::rt::spawn(timer.run(move || woken.tell(EntryEvent::Wake)));
        node.tell(EntryEvent::InputRead(Now::ZERO));
        node.tell(EntryEvent::Wake);
        ntex::rt::spawn(node.clone().mark_input());
        node
    }

    /// Passes an event to the core and executes the resulting actions.
    pub fn tell(&self, event: EntryEvent) {
        let now = self.timer.now();
        if let Some(load) = self.sample_loop(now) {
            self.handle(now, EntryEvent::LoopLoad(load));
        }
        self.handle(now, event);
    }

    /// Takes a sample of the event loop if one is due. Samples are taken on events that arrive
    /// anyway, so an idle entry is not woken for them.
    fn sample_loop(&self, now: Now) -> Option<LoopLoad> {
        let mut sampler = self.sampler.as_ref()?.borrow_mut();
        if !sampler.is_due(now) {
            return None;
        }
        let metrics = tokio::runtime::Handle::try_current().ok()?.metrics();
        sampler.note_lag(self.timer.take_lag());
        // The entry's runtime has one thread.
        sampler.sample(now, metrics.worker_total_busy_duration(0))
    }

    fn handle(&self, now: Now, event: EntryEvent) {
        let actions = {
            let mut core = self.core.borrow_mut();
            let actions = core.handle(now, event);
            self.timer.set(core.next_wake());
            if core.holds_batches() && !self.marks_often.replace(true) {
                self.batch_held.notify_one();
            }
            actions
        };
        for action in actions {
            self.execute(action);
        }
    }

    /// Tells the core how far the input is read, less often while it holds no batches. Never returns.
    async fn mark_input(self: Rc<Self>) {
        loop {
            let begun = self.timer.now();
            handle_arrived_input().await;
            self.tell(EntryEvent::InputRead(begun));
            let took = self.timer.now().saturating_sub(begun);
            if self.core.borrow().holds_batches() {
                tokio::time::sleep(INPUT_MARK_PAUSE.saturating_sub(took)).await;
            } else {
                self.marks_often.set(false);
                let held = self.batch_held.notified();
                let _ = tokio::time::timeout(IDLE_INPUT_MARK_PAUSE, held).await;
            }
        }
    }

    /// A request that is read now arrived after this time.
    pub fn requests_read_until(&self) -> Now {
        let now = self.timer.now();
        self.core.borrow().requests_read_until(now).unwrap_or(now)
    }

    /// Records a new connection of a caller, and how long its handshake took if that is known.
    pub fn caller_accepted(&self, caller: SocketAddr, handshake: Option<Duration>) {
        let now = self.timer.now();
        let mut connections = self.connections.borrow_mut();
        match handshake {
            // It may have waited to be accepted.
            Some(took) => {
                let opened = self.requests_read_until().min(now).saturating_sub(took);
                connections.note(now, caller, opened);
            }
            None => connections.forget(caller),
        }
    }

    /// Records that the request of a caller is about to be answered.
    pub fn caller_answered(&self, caller: SocketAddr) {
        let now = self.timer.now();
        self.connections.borrow_mut().note(now, caller, now);
    }

    /// Longest time since a caller sent the request that is read now; `None` if it is not known.
    pub fn max_request_age(&self, caller: SocketAddr) -> Option<Duration> {
        let now = self.timer.now();
        self.connections.borrow().max_age(now, caller)
    }

    fn execute(&self, action: EntryAction) {
        match action {
            EntryAction::Reply(request, reply) => self.reply(request, reply),
            EntryAction::Send(link, packet) => self.links.send(link, &packet),
            EntryAction::Close(link) => self.links.close(link),
            EntryAction::Dial(address) => self.dial(address),
            EntryAction::Disconnect(address) => self.links.disconnect(address),
            EntryAction::Log(event) => self.log(event),
            EntryAction::Measured(took_ms, _) => {
                self.figures.record_response(Duration::from_millis(took_ms));
            }
            EntryAction::Exit => self.ended.notify_one(),
        }
    }

    /// Writes an event to the log and counts it in the metrics.
    fn log(&self, event: LogEvent) {
        self.figures.event(event.code);
        event.emit();
    }

    fn dial(&self, address: SocketAddr) {
        if let Some(me) = self.me.upgrade() {
            self.links.dial(address, me);
        }
    }

    fn reply(&self, request: RequestId, reply: Reply) {
        self.figures.answer(reply.kind());
        // Without a receiver the caller is gone, and its guard has told the core.
        if let Some(tx) = self.replies.borrow_mut().remove(&request) {
            let _ = tx.send(reply);
        }
    }

    /// Passes a request to the core and waits for the reply. If the future is dropped before, the
    /// core is told that the caller is gone.
    pub async fn ask(&self, event: impl FnOnce(RequestId) -> EntryEvent) -> Option<Reply> {
        let request = self.next_request.get();
        self.next_request.set(request + 1);
        let (tx, rx) = oneshot::channel();
        self.replies.borrow_mut().insert(request, tx);
        let mut guard = CallerGuard {
            node: self,
            request,
            is_answered: false,
        };
        self.tell(event(request));
        let reply = rx.await.ok();
        guard.is_answered = true;
        reply
    }

    /// Whether the load balancer should send new connections.
    pub fn is_ready(&self) -> bool {
        self.core.borrow().is_ready()
    }

    /// Whether the entry is stopping.
    pub fn is_draining(&self) -> bool {
        self.core.borrow().is_draining()
    }

    /// Largest request body that the configuration allows, in bytes.
    pub fn body_limit(&self) -> Option<usize> {
        self.core.borrow().body_limit()
    }

    /// Renders the metrics page.
    pub fn metrics(&self) -> String {
        let gauges = self.core.borrow().gauges();
        self.figures.set_gauge("batches", gauges.batches);
        self.figures.set_gauge("targets", gauges.targets);
        self.figures
            .set_gauge("config_version", gauges.config_version);
        self.figures
            .set_gauge("evacuated_halls", gauges.evacuated_halls);
        self.figures.set_gauge("handed_over", gauges.handed_over);
        self.figures.set_gauge("taken_over", gauges.taken_over);
        if let Some(percent) = gauges.loop_busy_percent {
            self.figures.set_gauge("loop_busy_percent", percent);
            self.figures.set_gauge("loop_lag_ms", gauges.loop_lag_ms);
        }
        self.figures.set_gauge("input_age_ms", gauges.input_age_ms);
        let received = self.links.bytes_received();
        self.figures.set_gauge("link_bytes_received", received);
        self.figures.link_bytes(&self.links.bytes_sent());
        self.figures.render()
    }

    /// Waits until the core asks the process to exit.
    pub async fn ended(&self) {
        self.ended.notified().await;
    }

    /// Passes the operators' evacuations and configurations to the core. Never returns.
    pub async fn follow_operators(self: Rc<Self>, feed: Rc<dyn OperatorFeed>) {
        let mut health = StoreHealth::default();
        let mut evacuations = EvacuationReader::default();
        let mut skipped = SkippedInput::default();
        loop {
            match feed.next().await {
                Ok(news) => {
                    health.answered();
                    for e in &news.unreadable {
                        if news.evacuations.is_complete {
                            skipped.note_new(&e.to_string());
                        } else {
                            skipped.note(&e.to_string());
                        }
                    }
                    if let Some(detail) = skipped.take_line(self.timer.now()) {
                        self.log(LogEvent::new(EventCode::RecordUnreadable, detail));
                    }
                    let evacuated = evacuations.read(news.evacuations);
                    self.tell(EntryEvent::Evacuations(Arc::new(evacuated)));
                    if let Some(table) = news.config {
                        self.tell(EntryEvent::Config(Arc::new(table)));
                    }
                }
                Err(e) => health.failed(&e.to_string()).await,
            }
        }
    }

    /// Registers the entry's address and passes the addresses of all entries to the core. Retries
    /// until the registry answers.
    pub async fn register(
        self: Rc<Self>,
        registry: Rc<dyn EntryRegistry>,
        name: String,
        address: SocketAddr,
    ) {
        let mut health = StoreHealth::default();
        loop {
            match announce_and_list(&*registry, &name, address).await {
                Ok(addresses) => {
                    self.tell(EntryEvent::Entries(addresses));
                    return;
                }
                Err(e) => health.failed(&e.to_string()).await,
            }
        }
    }
}

/// Returns once all input of this thread that has arrived by now is handled.
pub async fn handle_arrived_input() {
    // All tasks whose sockets are ready come before this one.
    tokio::task::yield_now().await;
    // So do those that they wake.
    for _ in 0..MAX_WAKES_TO_CORE {
        requeue().await;
    }
}

/// Moves this task behind those of this thread that are ready.
async fn requeue() {
    let mut is_queued = false;
    std::future::poll_fn(|cx| {
        if std::mem::replace(&mut is_queued, true) {
            return Poll::Ready(());
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

async fn announce_and_list(
    registry: &dyn EntryRegistry,
    name: &str,
    address: SocketAddr,
) -> PortResult<Vec<SocketAddr>> {
    registry.announce(name, address).await?;
    registry.list().await
}

impl LinkSink for EntryNode {
    fn link_up(&self, link: SessionId, dialled: Option<SocketAddr>) {
        self.tell(EntryEvent::LinkUp(link, dialled));
    }

    fn packet(&self, link: SessionId, packet: Packet) {
        self.tell(EntryEvent::Packet(link, packet));
    }

    fn link_down(&self, link: SessionId) {
        self.tell(EntryEvent::LinkDown(link));
    }
}

/// Tells the core that a caller is gone if its handler is dropped before the reply.
struct CallerGuard<'a> {
    node: &'a EntryNode,
    request: RequestId,
    is_answered: bool,
}

impl Drop for CallerGuard<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.node.replies.borrow_mut().remove(&self.request);
            self.node.tell(EntryEvent::CallerGone(self.request));
        }
    }
}

/// Tracks whether the store answers, logs each change and paces retries with exponential backoff.
#[derive(Debug)]
pub struct StoreHealth {
    is_down: bool,
    pause: Duration,
}

impl Default for StoreHealth {
    fn default() -> Self {
        Self {
            is_down: false,
            pause: INITIAL_PAUSE,
        }
    }
}

impl StoreHealth {
    /// Records an answer.
    pub fn answered(&mut self) {
        if self.is_down {
            LogEvent::new(EventCode::StoreUp, "").emit();
        }
        *self = Self::default();
    }

    /// Records a failure and waits before the next attempt, with jitter.
    pub async fn failed(&mut self, cause: &str) {
        if !self.is_down {
            self.is_down = true;
            LogEvent::new(EventCode::StoreDown, format!("cause=\"{cause}\"")).emit();
        }
        let jitter = rand::random_range(0.5..1.5);
        tokio::time::sleep(self.pause.mul_f64(jitter)).await;
        self.pause = (self.pause * 2).min(MAX_PAUSE);
    }
}
