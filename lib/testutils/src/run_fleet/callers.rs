//! Simulates callers: their requests, the replies they receive, and their retries.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use trestleknot_lib::batch::{BatchSpec, StepSpec};
use trestleknot_lib::batch_event::{BatchQuery, EntryEvent, Reply, Submission};
use trestleknot_lib::ids::{Now, RequestId};
use trestleknot_lib::resources::Resources;
use trestleknot_lib::run::BatchId;

use super::{Event, Node, RunFleet};
use crate::run_target::{CRASHES, PREFERRED_RACK};

/// Default of [`Caller::reply_timeout`].
const REPLY_TIMEOUT: Duration = Duration::from_millis(2_500);

/// A batch and what its caller observed.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Number of tasks in the batch.
    pub tasks: u32,
    /// Work of each task in milliseconds.
    pub work_ms: u64,
    /// Resources of each task.
    pub size: Resources,
    /// Number of random letters in the payload after the work time.
    pub payload_letters: usize,
    /// Rack that it prefers.
    pub rack: Option<String>,
    /// Label that its targets must have.
    pub required_label: Option<String>,
    /// Whether the batch's first task crashes every target that starts it.
    pub crashes: bool,
    /// Longest time that it waits over all its requests; unlimited if none.
    pub deadline: Option<Duration>,
    /// Estimated work divided by actual work; drawn at random on submission if none.
    pub guess: Option<f64>,
    /// Index of its queue.
    pub queue: usize,
    /// The entry that it prefers while that entry runs; a random entry otherwise.
    pub entry: Option<usize>,
    /// Most requests that it sends.
    pub max_requests: usize,
    /// Longest time that it waits for the reply to one request.
    pub reply_timeout: Duration,
    /// How long its connection was idle before its first request; the later ones come on new connections.
    pub idle: Duration,
    /// Whether it ends its requests itself after `reply_timeout`, which its entry does not notice.
    pub leaves_unnoticed: bool,
    /// Replies received, by request.
    pub replies: Vec<(RequestId, Reply)>,
    /// Requests sent, in order.
    pub requests: Vec<RequestId>,
    /// When the first request was sent.
    pub sent: Now,
    /// When it learnt that all tasks had succeeded.
    pub succeeded: Option<Now>,
    /// When it was last refused.
    pub refused: Option<Now>,
    /// When its first cancel was acknowledged.
    pub cancelled: Option<Now>,
    /// The open request: the entry, its incarnation and the request.
    pub(super) open_request: Option<(usize, u64, RequestId)>,
    /// Whether the entry of its last request lost power, which it has not noticed.
    pub(super) is_cut_off: bool,
}

impl Caller {
    /// A caller that has sent nothing yet and has no preferred entry.
    pub fn new(sent: Now, tasks: u32, work_ms: u64, size: Resources) -> Self {
        Self {
            tasks,
            work_ms,
            size,
            payload_letters: 0,
            rack: None,
            required_label: None,
            crashes: false,
            deadline: None,
            guess: None,
            queue: 0,
            entry: None,
            max_requests: 3,
            reply_timeout: REPLY_TIMEOUT,
            idle: Duration::ZERO,
            leaves_unnoticed: false,
            replies: Vec::new(),
            requests: Vec::new(),
            sent,
            succeeded: None,
            refused: None,
            cancelled: None,
            open_request: None,
            is_cut_off: false,
        }
    }
}

/// The work time, followed by random letters with four bits of entropy each.
fn payload_of(caller: &Caller, id: BatchId) -> String {
    let mut payload = caller.work_ms.to_string();
    if caller.crashes {
        payload.push(' ');
        payload.push_str(CRASHES);
    }
    if let Some(rack) = &caller.rack {
        payload.push(' ');
        payload.push_str(PREFERRED_RACK);
        payload.push_str(rack);
    }
    if caller.payload_letters > 0 {
        let mut rng = ChaCha8Rng::seed_from_u64(id);
        let letters = (0..caller.payload_letters).map(|_| rng.random_range(b'a'..=b'p') as char);
        payload.push(' ');
        payload.extend(letters);
    }
    payload
}

impl RunFleet {
    pub(super) fn submit(&mut self, id: BatchId) {
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        let reply_timeout = caller.reply_timeout;
        let time_left = caller.deadline.map_or(reply_timeout, |deadline| {
            reply_timeout.min((caller.sent + deadline).saturating_sub(self.now))
        });
        if time_left.is_zero() {
            return;
        }
        let request = self.next_request;
        self.next_request += 1;
        caller.requests.push(request);
        let alive: Vec<usize> = (0..self.fleet_config.entries)
            .filter(|i| self.entries[*i].core.is_some())
            .collect();
        if alive.is_empty() {
            if caller.requests.len() < caller.max_requests {
                self.schedule_after(self.timings.caller_retry_interval, Event::Submit(id));
            }
            return;
        }
        let preferred = caller.entry.filter(|entry| alive.contains(entry));
        let entry = preferred.unwrap_or_else(|| alive[self.rng.random_range(0..alive.len())]);
        caller.open_request = Some((entry, self.entries[entry].incarnation, request));
        let leaves_unnoticed = caller.leaves_unnoticed;
        let is_first = caller.requests.len() == 1;
        let idle = if is_first {
            caller.idle
        } else {
            Duration::ZERO
        };
        // Most estimates are within 40% of the work; every 16th is far too low.
        let ratio = match caller.guess {
            Some(ratio) => ratio,
            None if id.is_multiple_of(16) => 0.08,
            None => self.rng.random_range(0.6..1.4),
        };
        let estimate = ratio * caller.work_ms as f64;
        let payload = payload_of(caller, id);
        let spec = BatchSpec {
            id,
            payload: payload.into(),
            steps: vec![StepSpec {
                count: caller.tasks,
                size: caller.size,
                estimate: Duration::from_millis(estimate as u64),
                after: Vec::new(),
                required_label: caller.required_label.clone(),
                preferred_rack: caller.rack.clone(),
                most_per_target: None,
            }],
            unsupported: None,
        };
        self.by_request.insert(request, id);
        let queue = &self.config.queues[caller.queue];
        let submission = Submission {
            request,
            host: queue.host.clone(),
            path: format!("{}{id:016x}", queue.path_prefix),
            spec,
            caller_timeout: time_left,
            max_age: Some(idle),
            caller_request: "".into(),
        };
        if let Some(arrival) = self.caller_paths[entry].hold_up(self.now, request) {
            self.schedule_after(time_left, Event::ReplyTimedOut(id, request));
            let incarnation = self.entries[entry].incarnation;
            let event = Event::RequestArrived(entry, incarnation, self.now, submission);
            return self.schedule_at(arrival, event);
        }
        if leaves_unnoticed {
            self.schedule_after(time_left, Event::ReplyTimedOut(id, request));
            // The system accepts the connection to a stalled entry.
            let incarnation = self.entries[entry].incarnation;
            let event = Event::RequestArrived(entry, incarnation, self.now, submission);
            return self.schedule_after(Duration::ZERO, event);
        }
        if self.stalled_until(Node::Entry(entry)) > self.now {
            // A stalled entry would not accept the connection; the caller gives up.
            return;
        }
        self.send_request(entry, submission);
    }

    /// Ends a request that has had no reply. The caller retries.
    pub(super) fn reply_timed_out(&mut self, id: BatchId, request: RequestId) {
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        let open_request = caller.open_request.take_if(|(_, _, r)| *r == request);
        let Some((entry, incarnation, _)) = open_request else {
            return;
        };
        let may_return = caller.requests.len() < caller.max_requests;
        if let Some(at) = self.caller_paths[entry].close_arrival(self.now, request) {
            self.schedule_at(at, Event::CallerGone(entry, incarnation, request));
        }
        if may_return {
            self.schedule_after(self.timings.caller_retry_interval, Event::Submit(id));
        }
    }

    /// Cancels a batch at the entry where its caller waits; does nothing if no request is open.
    pub(super) fn cancel(&mut self, id: BatchId) {
        let open_request = self.callers.get(&id).and_then(|caller| caller.open_request);
        let Some((entry, incarnation, _)) = open_request else {
            return;
        };
        if self.entries[entry].incarnation == incarnation {
            self.cancel_at(id, entry);
        }
    }

    /// Cancels a batch at this entry; does nothing if the entry is down or stalled, since it would not
    /// acknowledge the cancel.
    pub(super) fn cancel_at(&mut self, id: BatchId, entry: usize) {
        let is_down = self.entries[entry].core.is_none();
        if is_down || self.stalled_until(Node::Entry(entry)) > self.now {
            return;
        }
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        caller.cancelled.get_or_insert(self.now);
        let queue = &self.config.queues[caller.queue];
        let query = BatchQuery {
            request: self.next_request,
            host: queue.host.clone(),
            path: format!("{}{id:016x}", queue.path_prefix),
            batch: Some(id),
        };
        self.next_request += 1;
        self.tell_entry(entry, EntryEvent::Cancel(query));
    }

    pub(super) fn reply_arrived(&mut self, entry: usize, request: RequestId, reply: Reply) {
        let Some(id) = self.by_request.get(&request).copied() else {
            return;
        };
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        let retries = reply == Reply::GaveUp && caller.requests.len() < caller.max_requests;
        if reply == Reply::Succeeded {
            caller.succeeded = Some(self.now);
        }
        if matches!(reply, Reply::Refused { .. }) {
            caller.refused = Some(self.now);
        }
        caller.replies.push((request, reply));
        if caller
            .open_request
            .is_some_and(|(e, _, r)| e == entry && r == request)
        {
            caller.open_request = None;
            if retries {
                self.schedule_after(self.timings.caller_retry_interval, Event::Submit(id));
            }
        }
    }

    /// Closes the connection of a caller, which the entry notices. The caller retries.
    pub(super) fn disconnect_caller(&mut self, id: BatchId) {
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        let is_cut_off = std::mem::take(&mut caller.is_cut_off);
        let open_request = caller.open_request.take();
        if caller.requests.len() >= caller.max_requests || (open_request.is_none() && !is_cut_off) {
            return;
        }
        if let Some((entry, incarnation, request)) = open_request {
            let delay = Duration::from_millis(2);
            self.schedule_after(delay, Event::CallerGone(entry, incarnation, request));
        }
        self.schedule_after(self.timings.caller_retry_interval, Event::Submit(id));
    }

    /// Closes the connections of all callers at an entry; the entry notices if `notify_entry` is
    /// set.
    pub(super) fn disconnect_callers(&mut self, entry: usize, notify_entry: bool) {
        let incarnation = self.entries[entry].incarnation;
        let mut disconnected = Vec::new();
        for (id, caller) in &mut self.callers {
            if let Some((e, l, request)) = caller.open_request
                && e == entry
                && l == incarnation
            {
                caller.open_request = None;
                let retries = caller.requests.len() < caller.max_requests;
                disconnected.push((*id, request, retries));
            }
        }
        for (id, request, retries) in disconnected {
            if notify_entry {
                let delay = Duration::from_millis(2);
                self.schedule_after(delay, Event::CallerGone(entry, incarnation, request));
            }
            if retries {
                self.schedule_after(self.timings.caller_retry_interval, Event::Submit(id));
            }
        }
    }
}
