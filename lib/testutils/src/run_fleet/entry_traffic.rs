//! What the links of entries carry in the virtual fleet: a rate and a queue each way, and bytes counted
//! by what they are for.

use std::collections::BTreeMap;
use std::time::Duration;

use trestleknot_lib::batch_event::{EntryEvent, Reply, Submission};
use trestleknot_lib::codec;
use trestleknot_lib::ids::{Now, RequestId};
use trestleknot_lib::run_message::Packet;

use super::{Event, Node, RunFleet};

/// Bytes around a packet: a frame of WebSocket, heads of TCP and IP.
const FRAMING: usize = 46;
/// Bytes around a caller's payload: the head of its request and the fields of its batch.
const REQUEST_HEAD: usize = 400;
/// Bytes of an answer to a caller.
const ANSWER: usize = 200;

/// Which way something goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Way {
    In,
    Out,
}

/// What was carried of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Packets, requests or answers.
    pub count: u64,
    /// Their bytes, framing included.
    pub bytes: u64,
}

/// See the module.
#[derive(Debug)]
pub struct EntryTraffic {
    bytes_per_second: Option<f64>,
    busy_until: BTreeMap<(usize, Way), Now>,
    /// By what it is for, all entries together.
    pub by_kind: BTreeMap<&'static str, Traffic>,
}

impl EntryTraffic {
    /// Links of this rate, or ones that carry everything at once; nothing is counted then.
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

    /// Puts bytes behind what is on its way already; gives when they are through.
    fn carry(&mut self, now: Now, entry: usize, way: Way, bytes: usize) -> Now {
        let Some(rate) = self.bytes_per_second else {
            return now;
        };
        let busy_until = self.busy_until.entry((entry, way)).or_default();
        let took = Duration::from_secs_f64(bytes as f64 / rate);
        *busy_until = now.max(*busy_until) + took;
        *busy_until
    }

    /// When a packet that is sent now is through the links of the entries at its ends.
    pub(super) fn packet(&mut self, now: Now, from: Node, to: Node, packet: &Packet) -> Now {
        if self.bytes_per_second.is_none() {
            return now;
        }
        let bytes = codec::encode_value(packet).len() + FRAMING;
        self.count(packet.kind(), bytes);
        let mut at = now;
        if let Node::Entry(entry) = from {
            at = self.carry(at, entry, Way::Out, bytes);
        }
        if let Node::Entry(entry) = to {
            at = self.carry(at, entry, Way::In, bytes);
        }
        at
    }
}

impl RunFleet {
    /// Sends a caller's request through an entry's link.
    pub(super) fn send_request(&mut self, entry: usize, submission: Submission) {
        let life = self.entries[entry].life;
        let bytes = submission.spec.payload.len() + REQUEST_HEAD;
        if self.traffic.bytes_per_second.is_none() {
            return self.submitted(entry, life, submission);
        }
        self.traffic.count("request", bytes);
        let at = self.traffic.carry(self.now, entry, Way::In, bytes);
        self.at(at, Event::Submitted(entry, life, submission));
    }

    /// A request has come, unless the entry's life is over.
    pub(super) fn submitted(&mut self, entry: usize, life: u64, submission: Submission) {
        if self.entries[entry].life == life {
            self.tell_entry(entry, EntryEvent::Submit(submission));
        }
    }

    /// Sends an answer to a caller through an entry's link.
    pub(super) fn send_answer(&mut self, entry: usize, request: RequestId, reply: Reply) {
        if self.traffic.bytes_per_second.is_none() {
            return self.replied(entry, request, reply);
        }
        self.traffic.count("answer", ANSWER);
        let at = self.traffic.carry(self.now, entry, Way::Out, ANSWER);
        self.at(at, Event::Answered(entry, request, reply));
    }
}
