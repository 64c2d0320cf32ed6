//! The thread that turns what other threads report into metrics and spans.

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
use crate::entry::Measure;
use crate::ring::RingRx;
use crate::trace::{SpanRecord, TraceContext};

/// Longest rest between looks at the rings.
const REST: Duration = Duration::from_millis(100);
/// Bounds of the histogram of response over ideal.
const LAG_BOUNDS: [f64; 10] = [1.02, 1.05, 1.1, 1.2, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0];

/// What threads report.
#[derive(Debug)]
pub enum Report {
    /// Counts and levels of an entry or agent, sent once a second.
    Levels(Box<Levels>),
    /// How long a job took.
    Measure(Measure),
    /// A span.
    Span(SpanRecord),
}

/// Counts since the start and levels now.
#[derive(Debug, Clone, Default)]
pub struct Levels {
    /// Counts.
    pub counters: Counters,
    /// Tasks waiting.
    pub waiting: u64,
    /// Jobs held, or tasks running at an agent.
    pub in_flight: u64,
    /// Slots that may get work.
    pub slots: u64,
    /// Configuration version in force.
    pub config_version: u64,
    /// Bytes by direction on our own links.
    pub link_bytes: BTreeMap<&'static str, u64>,
}

struct Instruments {
    messages: Counter<u64>,
    jobs: Counter<u64>,
    wasted: Counter<u64>,
    link_bytes: Counter<u64>,
    lag: Histogram<f64>,
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
            lag: meter
                .f64_histogram("trestleknot_response_over_ideal")
                .with_boundaries(LAG_BOUNDS.to_vec())
                .build(),
            waiting: meter.u64_gauge("trestleknot_tasks_waiting").build(),
            in_flight: meter.u64_gauge("trestleknot_in_flight").build(),
            slots: meter.u64_gauge("trestleknot_slots").build(),
            config_version: meter.u64_gauge("trestleknot_config_version").build(),
        }
    }

    fn set(&self, levels: &Levels, before: &Levels) {
        self.waiting.record(levels.waiting, &[]);
        self.in_flight.record(levels.in_flight, &[]);
        self.slots.record(levels.slots, &[]);
        self.config_version.record(levels.config_version, &[]);
        for (kind, n) in &levels.counters.messages {
            let old = before.counters.messages.get(kind).copied().unwrap_or(0);
            let label = KeyValue::new("kind", kind.clone());
            self.messages.add(n.saturating_sub(old), &[label]);
        }
        for (direction, n) in &levels.link_bytes {
            let old = before.link_bytes.get(direction).copied().unwrap_or(0);
            let label = KeyValue::new("direction", *direction);
            self.link_bytes.add(n.saturating_sub(old), &[label]);
        }
        let (new, old) = (&levels.counters, &before.counters);
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
    static NEXT_SPAN: Cell<Option<TraceContext>> = const { Cell::new(None) };
}

/// Gives a span the ids that were already sent on with the request.
#[derive(Debug)]
struct GivenIds;

impl IdGenerator for GivenIds {
    fn new_trace_id(&self) -> TraceId {
        TraceId::from(NEXT_SPAN.get().map_or(1, |c| c.trace_id))
    }

    fn new_span_id(&self) -> SpanId {
        SpanId::from(NEXT_SPAN.get().map_or(1, |c| c.span_id))
    }
}

/// Metrics and spans of one process.
pub struct Telemetry {
    instruments: Instruments,
    _meters: SdkMeterProvider,
    tracers: Option<SdkTracerProvider>,
    tracer: Option<SdkTracer>,
    last: Levels,
}

/// Reads the metrics page.
#[derive(Clone)]
pub struct MetricsPage {
    registry: Registry,
}

impl MetricsPage {
    /// The page in Prometheus' text format.
    pub fn render(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}

/// Telemetry and the page that shows its metrics.
pub struct TelemetryParts {
    /// To be run on a thread of its own.
    pub telemetry: Telemetry,
    /// For the operators' address.
    pub page: MetricsPage,
}

impl Telemetry {
    /// Telemetry of the process `name`; spans go to `otlp`, the base address of a collector.
    pub fn build(name: &str, otlp: Option<&str>) -> TelemetryParts {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("a new registry has no name twice");
        let resource = Resource::builder()
            .with_service_name(name.to_owned())
            .build();
        let meters = SdkMeterProvider::builder()
            .with_reader(exporter)
            .with_resource(resource.clone())
            .build();
        let instruments = Instruments::new(&meters.meter("trestleknot"));
        let tracers = otlp.and_then(|url| tracer_provider(url, resource));
        let telemetry = Self {
            instruments,
            _meters: meters,
            tracer: tracers.as_ref().map(|t| t.tracer("trestleknot")),
            tracers,
            last: Levels::default(),
        };
        TelemetryParts {
            telemetry,
            page: MetricsPage { registry },
        }
    }

    /// Serves the rings until all their producers are gone.
    pub fn run(mut self, mut rings: Vec<RingRx<Report>>) {
        while !rings.iter().all(RingRx::is_finished) {
            for ring in &mut rings {
                while let Some(report) = ring.pop() {
                    self.take_in(report);
                }
            }
            thread::park_timeout(REST);
        }
        if let Some(tracers) = &self.tracers {
            let _ = tracers.shutdown();
        }
    }

    fn take_in(&mut self, report: Report) {
        match report {
            Report::Levels(levels) => {
                self.instruments.set(&levels, &self.last);
                self.last = *levels;
            }
            Report::Measure(measure) => {
                let ideal = measure.ideal.as_secs_f64().max(1e-4);
                let ratio = measure.response.as_secs_f64() / ideal;
                self.instruments.lag.record(ratio, &[]);
            }
            Report::Span(span) => self.export(span),
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
        NEXT_SPAN.set(Some(record.context));
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
            log::warn!("spans are not exported: {e}");
            return None;
        }
    };
    let provider = SdkTracerProvider::builder()
        .with_batch_exporter(exporter)
        .with_id_generator(GivenIds)
        .with_resource(resource)
        .build();
    Some(provider)
}
