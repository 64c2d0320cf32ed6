//! Simulates the network between an entry and its callers while it is cut.

use std::collections::BTreeMap;
use std::time::Duration;

use trestleknot_lib::ids::{Now, RequestId};

/// Times after the first transmission at which TCP sends a segment again.
const RETRANSMISSIONS: [Duration; 6] = [
    Duration::from_millis(200),
    Duration::from_millis(600),
    Duration::from_millis(1_400),
    Duration::from_millis(3_000),
    Duration::from_millis(6_200),
    Duration::from_millis(12_600),
];

/// The network between an entry and its callers. Bytes of a connection and its close arrive in order.
#[derive(Debug, Clone, Default)]
pub(super) struct CallerPath {
    cut_from: Now,
    cut_until: Now,
    /// Time from the arrival of the bytes before a close to that of the close.
    close_delay: Duration,
    /// When the requests arrive that were held up.
    arrivals: BTreeMap<RequestId, Now>,
}

impl CallerPath {
    pub(super) fn cut(&mut self, now: Now, length: Duration, close_delay: Duration) {
        self.cut_from = now;
        self.cut_until = now + length;
        self.close_delay = close_delay;
    }

    fn is_cut(&self, at: Now) -> bool {
        self.cut_from <= at && at < self.cut_until
    }

    /// When bytes arrive that are sent now.
    fn arrival(&self, now: Now) -> Now {
        let transmissions = RETRANSMISSIONS.map(|pause| now + pause);
        let mut transmissions = std::iter::once(now).chain(transmissions);
        let last = now + RETRANSMISSIONS[RETRANSMISSIONS.len() - 1];
        transmissions.find(|at| !self.is_cut(*at)).unwrap_or(last)
    }

    /// Returns when a request arrives that is sent now, if the network holds it up.
    pub(super) fn hold_up(&mut self, now: Now, request: RequestId) -> Option<Now> {
        if !self.is_cut(now) {
            return None;
        }
        let arrival = self.arrival(now);
        self.arrivals.insert(request, arrival);
        Some(arrival)
    }

    /// Returns when the close arrives after a request that was held up.
    pub(super) fn close_arrival(&self, now: Now, request: RequestId) -> Option<Now> {
        let request_arrival = *self.arrivals.get(&request)?;
        Some(self.arrival(now).max(request_arrival + self.close_delay))
    }
}
