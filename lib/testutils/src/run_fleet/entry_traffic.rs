//! Models the bandwidth of entries' links, one queue in each direction, and counts bytes by kind.

use std::collections::BTreeMap;
use std::time::Duration;

use trestleknot_lib::batch_event::{EntryEvent, Reply, Submission};
use trestleknot_lib::codec;
use trestleknot_lib::ids::{Now, RequestId};
use trestleknot_lib::run_message::Packet;

use super::{Event, Node, RunFleet};

/// Overhead of a packet in bytes: WebSocket frame, TCP and IP headers.
const FRAMING_BYTES: usize = 46;
/// Bytes of a caller's request besides the payload: HTTP headers and the fields of the batch.
const REQUEST_OVERHEAD_BYTES: usize = 400;
/// Size of a reply to a caller in bytes.
const REPLY_BYTES: usize = 200;

/// Direction of traffic, as the entry sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Direction {
    In,
    Out,
}

/// Traffic of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of packets, requests or replies.
    pub count: u64,
    /// Their size in bytes, with framing.
    pub bytes: u64,
}

/// Transmit queues and traffic counters of the entries' links.
#[derive(Debug)]
pub struct EntryTraffic {
    bytes_per_second: Option<f64>,
    busy_until: BTreeMap<(usize, Direction), Now>,
    /// Traffic of all entries by kind.
    pub by_kind: BTreeMap<&'static str, Traffic>,
}

impl EntryTraffic {
    /// Links of this rate; without one, transmission is instant and nothing is counted.
    pub(super) fn new(mbps: Option<f64>) -> Self {
        Self {
            bytes_per_second: mbps.map(|mbps| mbps * 1e6 / 8.0),
            busy_until: BTreeMap::new(),
            by_kind: BTreeMap::new(),
        }
    }

    fn count(&mut self, kind: &'static str, bytes: usize) {
        let traffic = self.by_kind.entry(kind).or_default();
        traffic.count += 1;
        traffic.bytes += bytes as u64;
    }

    /// Queues bytes on a link; returns when they are transmitted.
    fn transmit(&mut self, now: Now, entry: usize, direction: Direction, bytes: usize) -> Now {
        let Some(rate) = self.bytes_per_second else {
            return now;
        };
        let busy_until = self.busy_until.entry((entry, direction)).or_default();
        let transmission = Duration::from_secs_f64(bytes as f64 / rate);
        *busy_until = now.max(*busy_until) + transmission;
        *busy_until
    }

    /// Queues a packet on the links of the entries at both ends; returns when it is transmitted.
    pub(super) fn packet(&mut self, now: Now, from: Node, to: Node, packet: &Packet) -> Now {
        if self.bytes_per_second.is_none() {
            return now;
        }
        let bytes = codec::encode_value(packet).len() + FRAMING_BYTES;
        self.count(packet.kind(), bytes);
        let mut at = now;
        if let Node::Entry(entry) = from {
            at = self.transmit(at, entry, Direction::Out, bytes);
        }
        if let Node::Entry(entry) = to {
            at = self.transmit(at, entry, Direction::In, bytes);
        }
        at
    }
}

impl RunFleet {
    /// Sends a caller's request through an entry's link.
    pub(super) fn send_request(&mut self, entry: usize, submission: Submission) {
        let incarnation = self.entries[entry].incarnation;
        let bytes = submission.spec.payload.len() + REQUEST_OVERHEAD_BYTES;
        if self.traffic.bytes_per_second.is_none() {
            let event = Event::RequestArrived(entry, incarnation, self.now, submission);
            if let Some(event) = self.queue_at_processor(entry, event) {
                self.handle_event(event);
            }
            return;
        }
        self.traffic.count("request", bytes);
        let at = self.traffic.transmit(self.now, entry, Direction::In, bytes);
        let event = Event::RequestArrived(entry, incarnation, self.now, submission);
        self.schedule_at(at, event);
    }

    /// Delivers a request, unless that incarnation of the entry has ended.
    pub(super) fn request_arrived(
        &mut self,
        entry: usize,
        incarnation: u64,
        sent: Now,
        mut submission: Submission,
    ) {
        let took = self.now.saturating_sub(sent);
        submission.max_age = submission.max_age.map(|age| age + took);
        if self.entries[entry].incarnation == incarnation {
            self.tell_entry(entry, EntryEvent::Submit(submission));
        }
    }

    /// Sends a reply to a caller through an entry's link.
    pub(super) fn send_answer(&mut self, entry: usize, request: RequestId, reply: Reply) {
        if self.traffic.bytes_per_second.is_none() {
            return self.reply_arrived(entry, request, reply);
        }
        self.traffic.count("answer", REPLY_BYTES);
        let at = self
            .traffic
            .transmit(self.now, entry, Direction::Out, REPLY_BYTES);
        self.schedule_at(at, Event::ReplyArrived(entry, request, reply));
    }
}
