//! The telemetry thread: records the other threads' reports as metrics and spans.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider as _};
use opentelemetry::trace::{
    Span as _, SpanContext, SpanId, SpanKind, TraceContextExt as _, TraceFlags, TraceId,
    TraceState, Tracer as _, TracerProvider as _,
};
use opentelemetry::{Context, KeyValue};
use opentelemetry_otlp::{Protocol, WithExportConfig as _};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use opentelemetry_sdk::trace::{IdGenerator, SdkTracer, SdkTracerProvider};
use prometheus::{Registry, TextEncoder};

use crate::counters::Counters;
use crate::entry::ResponseMeasurement;
use crate::ring::RingRx;
use crate::trace::{SpanRecord, TraceContext};

/// Longest time between two polls of the rings.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Bucket bounds of the histogram of response time divided by ideal time.
const RESPONSE_RATIO_BUCKETS: [f64; 10] = [1.02, 1.05, 1.1, 1.2, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0];

/// A report from another thread.
#[derive(Debug)]
pub enum TelemetryReport {
    /// Counters and gauges of an entry or agent, sent once a second.
    Levels(Box<MetricLevels>),
    /// Response time of a job.
    Measure(ResponseMeasurement),
    /// A span that has ended.
    Span(SpanRecord),
}

/// Counters since the start and current gauge values.
#[derive(Debug, Clone, Default)]
pub struct MetricLevels {
    /// Counters since the start.
    pub counters: Counters,
    /// Tasks waiting.
    pub waiting: u64,
    /// Jobs held by an entry, or tasks running at an agent.
    pub in_flight: u64,
    /// Slots open for work.
    pub slots: u64,
    /// Configuration version in force.
    pub config_version: u64,
    /// Bytes on the links of this process, by direction.
    pub link_bytes: BTreeMap<&'static str, u64>,
}

struct Instruments {
    messages: Counter<u64>,
    jobs: Counter<u64>,
    wasted: Counter<u64>,
    link_bytes: Counter<u64>,
    response_ratio: Histogram<f64>,
    waiting: Gauge<u64>,
    in_flight: Gauge<u64>,
    slots: Gauge<u64>,
    config_version: Gauge<u64>,
}

impl Instruments {
    fn new(meter: &Meter) -> Self {
        Self {
            messages: meter.u64_counter("trestleknot_messages").build(),
            jobs: meter.u64_counter("trestleknot_jobs").build(),
            wasted: meter.u64_counter("trestleknot_messages_wasted").build(),
            link_bytes: meter.u64_counter("trestleknot_link_bytes").build(),
            response_ratio: meter
                .f64_histogram("trestleknot_response_over_ideal")
                .with_boundaries(RESPONSE_RATIO_BUCKETS.to_vec())
                .build(),
            waiting: meter.u64_gauge("trestleknot_tasks_waiting").build(),
            in_flight: meter.u64_gauge("trestleknot_in_flight").build(),
            slots: meter.u64_gauge("trestleknot_slots").build(),
            config_version: meter.u64_gauge("trestleknot_config_version").build(),
        }
    }

    fn set(&self, levels: &MetricLevels, previous: &MetricLevels) {
        self.waiting.record(levels.waiting, &[]);
        self.in_flight.record(levels.in_flight, &[]);
        self.slots.record(levels.slots, &[]);
        self.config_version.record(levels.config_version, &[]);
        for (kind, n) in &levels.counters.messages {
            let old = previous.counters.messages.get(kind).copied().unwrap_or(0);
            let label = KeyValue::new("kind", kind.clone());
            self.messages.add(n.saturating_sub(old), &[label]);
        }
        for (direction, n) in &levels.link_bytes {
            let old = previous.link_bytes.get(direction).copied().unwrap_or(0);
            let label = KeyValue::new("direction", *direction);
            self.link_bytes.add(n.saturating_sub(old), &[label]);
        }
        let (new, old) = (&levels.counters, &previous.counters);
        self.add_jobs("complete", new.complete - old.complete);
        self.add_jobs("failed", new.failed - old.failed);
        self.add_jobs("refused", new.refused - old.refused);
        self.wasted.add(new.wasted - old.wasted, &[]);
    }

    fn add_jobs(&self, status: &'static str, n: u64) {
        self.jobs.add(n, &[KeyValue::new("status", status)]);
    }
}

thread_local! {
    static NEXT_SPAN_CONTEXT: Cell<Option<TraceContext>> = const { Cell::new(None) };
}

/// Gives each span the ids in [`NEXT_SPAN_CONTEXT`], which the request has already carried
/// downstream.
#[derive(Debug)]
struct PresetIds;

impl IdGenerator for PresetIds {
    fn new_trace_id(&self) -> TraceId {
        TraceId::from(NEXT_SPAN_CONTEXT.get().map_or(1, |c| c.trace_id))
    }

    fn new_span_id(&self) -> SpanId {
        SpanId::from(NEXT_SPAN_CONTEXT.get().map_or(1, |c| c.span_id))
    }
}

/// Records the metrics and exports the spans of one process.
pub struct Telemetry {
    instruments: Instruments,
    _meter_provider: SdkMeterProvider,
    tracers: Option<SdkTracerProvider>,
    tracer: Option<SdkTracer>,
    last_levels: MetricLevels,
}

/// Renders the metrics of one process.
#[derive(Clone)]
pub struct MetricsPage {
    registry: Registry,
}

impl MetricsPage {
    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}

/// Telemetry and the page that renders its metrics.
pub struct TelemetryParts {
    /// Runs on its own thread.
    pub telemetry: Telemetry,
    /// Served on the operators' address.
    pub page: MetricsPage,
}

impl Telemetry {
    /// Builds the telemetry of the process `name`. Spans go to the collector at the base address
    /// `otlp`, if given.
    pub fn build(name: &str, otlp: Option<&str>) -> TelemetryParts {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("the exporter registers with an empty registry");
        let resource = Resource::builder()
            .with_service_name(name.to_owned())
            .build();
        let meter_provider = SdkMeterProvider::builder()
            .with_reader(exporter)
            .with_resource(resource.clone())
            .build();
        let instruments = Instruments::new(&meter_provider.meter("trestleknot"));
        let tracers = otlp.and_then(|url| tracer_provider(url, resource));
        let telemetry = Self {
            instruments,
            _meter_provider: meter_provider,
            tracer: tracers.as_ref().map(|t| t.tracer("trestleknot")),
            tracers,
            last_levels: MetricLevels::default(),
        };
        TelemetryParts {
            telemetry,
            page: MetricsPage { registry },
        }
    }

    /// Handles reports until all producers are dropped, then flushes the spans.
    pub fn run(mut self, mut rings: Vec<RingRx<TelemetryReport>>) {
        while !rings.iter().all(RingRx::is_finished) {
            for ring in &mut rings {
                while let Some(report) = ring.pop() {
                    self.handle(report);
                }
            }
            thread::park_timeout(POLL_INTERVAL);
        }
        if let Some(tracers) = &self.tracers {
            let _ = tracers.shutdown();
        }
    }

    fn handle(&mut self, report: TelemetryReport) {
        match report {
            TelemetryReport::Levels(levels) => {
                self.instruments.set(&levels, &self.last_levels);
                self.last_levels = *levels;
            }
            TelemetryReport::Measure(measure) => {
                let ideal = measure.ideal.as_secs_f64().max(1e-4);
                let ratio = measure.response.as_secs_f64() / ideal;
                self.instruments.response_ratio.record(ratio, &[]);
            }
            TelemetryReport::Span(span) => self.export(span),
        }
    }

    fn export(&self, record: SpanRecord) {
        let Some(tracer) = &self.tracer else {
            return;
        };
        let mut cx = Context::new();
        if let Some(parent) = record.parent {
            cx = cx.with_remote_span_context(span_context(parent));
        }
        NEXT_SPAN_CONTEXT.set(Some(record.context));
        let mut span = tracer
            .span_builder(record.name)
            .with_kind(SpanKind::Server)
            .with_start_time(record.start)
            .with_attributes([KeyValue::new("detail", record.detail)])
            .start_with_context(tracer, &cx);
        span.end_with_timestamp(record.end);
    }
}

fn span_context(context: TraceContext) -> SpanContext {
    SpanContext::new(
        TraceId::from(context.trace_id),
        SpanId::from(context.span_id),
        TraceFlags::new(u8::from(context.sampled)),
        true,
        TraceState::default(),
    )
}

fn tracer_provider(url: &str, resource: Resource) -> Option<SdkTracerProvider> {
    let exporter = opentelemetry_otlp::SpanExporter::builder()
        .with_http()
        .with_protocol(Protocol::HttpBinary)
        .with_endpoint(format!("{}/v1/traces", url.trim_end_matches('/')))
        .build();
    let exporter = match exporter {
        Ok(exporter) => exporter,
        Err(e) => {
            log::warn!("cannot build the span exporter, spans are not exported: {e}");
            return None;
        }
    };
    let provider = SdkTracerProvider::builder()
        .with_batch_exporter(exporter)
        .with_id_generator(PresetIds)
        .with_resource(resource)
        .build();
    Some(provider)
}
