//! Metrics of an entry or agent process, rendered on request in the Prometheus text format.
//!
//! The thread that runs the core records all values.

use std::collections::BTreeMap;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::events::EventCode;

/// Bucket bounds of the duration histograms, in milliseconds.
const DURATION_BUCKETS_MS: [f64; 12] = [
    1.0, 5.0, 20.0, 50.0, 100.0, 150.0, 250.0, 400.0, 800.0, 1_500.0, 3_000.0, 6_000.0,
];

/// The metrics of one process.
pub struct NodeMetrics {
    registry: Registry,
    _meter_provider: SdkMeterProvider,
    events: Counter<u64>,
    answers: Counter<u64>,
    response_ms: Histogram<f64>,
    run_ms: Histogram<f64>,
    levels: Gauge<u64>,
    link_bytes: Gauge<u64>,
}

impl NodeMetrics {
    /// Creates metrics without recorded values.
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("the exporter registers with an empty registry");
        let meter_provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = meter_provider.meter("trestleknot");
        let histogram = |name: &'static str| {
            let bounds = DURATION_BUCKETS_MS.to_vec();
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
            _meter_provider: meter_provider,
        }
    }

    /// Counts a log event.
    pub fn event(&self, code: EventCode) {
        let number = i64::from(code.info().number);
        self.events.add(1, &[KeyValue::new("event", number)]);
    }

    /// Counts an answer to a caller, by its kind.
    pub fn answer(&self, kind: &'static str) {
        self.answers.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Records the response time of a batch that succeeded.
    pub fn record_response(&self, duration: Duration) {
        self.response_ms.record(duration.as_secs_f64() * 1e3, &[]);
    }

    /// Records the duration of a call to the target.
    pub fn record_call(&self, duration: Duration) {
        self.run_ms.record(duration.as_secs_f64() * 1e3, &[]);
    }

    /// Sets the gauge named `what`.
    pub fn set_gauge(&self, what: &'static str, value: u64) {
        self.levels.record(value, &[KeyValue::new("what", what)]);
    }

    /// Sets the bytes sent on links, by kind of message.
    pub fn link_bytes(&self, sent: &BTreeMap<&'static str, u64>) {
        for (kind, bytes) in sent {
            self.link_bytes
                .record(*bytes, &[KeyValue::new("kind", *kind)]);
        }
    }

    /// Renders all metrics in the Prometheus text format.
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
