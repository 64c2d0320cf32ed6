//! Counters and histograms of a process on the platform, as a page in Prometheus' text format.
//!
//! They are counted on the thread that runs the core; the page is made when it is asked for.

use std::collections::BTreeMap;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::events::EventCode;

/// Bounds of the histogram of times, in milliseconds: from an agent's order to the longest
/// deadline.
const TIME_BOUNDS_MS: [f64; 12] = [
    1.0, 5.0, 20.0, 50.0, 100.0, 150.0, 250.0, 400.0, 800.0, 1_500.0, 3_000.0, 6_000.0,
];

/// See the module.
pub struct NodeMetrics {
    registry: Registry,
    _meters: SdkMeterProvider,
    events: Counter<u64>,
    answers: Counter<u64>,
    response_ms: Histogram<f64>,
    run_ms: Histogram<f64>,
    levels: Gauge<u64>,
    link_bytes: Gauge<u64>,
}

impl NodeMetrics {
    /// Figures that all stand at zero.
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("a fresh registry takes the exporter");
        let meters = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = meters.meter("trestleknot");
        let histogram = |name: &'static str| {
            let bounds = TIME_BOUNDS_MS.to_vec();
            meter.f64_histogram(name).with_boundaries(bounds).build()
        };
        Self {
            events: meter.u64_counter("trestleknot_events").build(),
            answers: meter.u64_counter("trestleknot_answers").build(),
            response_ms: histogram("trestleknot_response_ms"),
            run_ms: histogram("trestleknot_run_ms"),
            link_bytes: meter.u64_gauge("trestleknot_link_bytes_sent").build(),
            levels: meter.u64_gauge("trestleknot_level").build(),
            registry,
            _meters: meters,
        }
    }

    /// Counts an event of the log catalogue.
    pub fn event(&self, code: EventCode) {
        let number = i64::from(code.info().number);
        self.events.add(1, &[KeyValue::new("event", number)]);
    }

    /// Counts an answer to a caller.
    pub fn answer(&self, kind: &'static str) {
        self.answers.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Notes how long a batch took that ended well.
    pub fn response(&self, took: Duration) {
        self.response_ms.record(took.as_secs_f64() * 1e3, &[]);
    }

    /// Notes how long a call to the target took.
    pub fn call(&self, took: Duration) {
        self.run_ms.record(took.as_secs_f64() * 1e3, &[]);
    }

    /// Sets a level.
    pub fn level(&self, what: &'static str, value: u64) {
        self.levels.record(value, &[KeyValue::new("what", what)]);
    }

    /// Sets the bytes sent on links, by what they were for.
    pub fn link_bytes(&self, sent: &BTreeMap<&'static str, u64>) {
        for (kind, bytes) in sent {
            self.link_bytes
                .record(*bytes, &[KeyValue::new("kind", *kind)]);
        }
    }

    /// The page.
    pub fn render(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_else(|e| format!("# {e}\n"))
    }
}

impl Default for NodeMetrics {
    fn default() -> Self {
        Self::new()
    }
}
