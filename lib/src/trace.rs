//! W3C trace context: identifies the span that caused a request.

use std::fmt;
use std::str::FromStr;
use std::time::SystemTime;

use rand::Rng as _;
use snafu::{OptionExt as _, Snafu, ensure};

/// HTTP header that carries the trace context.
pub const TRACEPARENT: &str = "traceparent";

/// Identifies a span within a trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TraceContext {
    /// Id of the trace; not 0.
    pub trace_id: u128,
    /// Id of the span; not 0.
    pub span_id: u64,
    /// Whether the spans of the trace are recorded.
    pub sampled: bool,
}

/// The text is not a valid trace context.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("not a valid `traceparent` value"))]
pub struct TraceError;

impl TraceContext {
    /// Starts a new trace.
    pub fn new_root() -> Self {
        Self {
            trace_id: rand::rng().random(),
            span_id: rand::rng().random(),
            sampled: true,
        }
    }

    /// Creates a new span in the same trace.
    pub fn child(&self) -> Self {
        Self {
            span_id: rand::rng().random(),
            ..*self
        }
    }
}

impl fmt::Display for TraceContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let flags = u8::from(self.sampled);
        write!(
            f,
            "00-{:032x}-{:016x}-{flags:02x}",
            self.trace_id, self.span_id
        )
    }
}

impl FromStr for TraceContext {
    type Err = TraceError;

    fn from_str(text: &str) -> Result<Self, TraceError> {
        let mut parts = text.trim().split('-');
        ensure!(parts.next() == Some("00"), TraceSnafu);
        let trace_id = parts.next().context(TraceSnafu)?;
        let span_id = parts.next().context(TraceSnafu)?;
        let flags = parts.next().context(TraceSnafu)?;
        let trace_id = u128::from_str_radix(trace_id, 16)
            .ok()
            .context(TraceSnafu)?;
        let span_id = u64::from_str_radix(span_id, 16).ok().context(TraceSnafu)?;
        let flags = u8::from_str_radix(flags, 16).ok().context(TraceSnafu)?;
        ensure!(trace_id != 0 && span_id != 0, TraceSnafu);
        Ok(Self {
            trace_id,
            span_id,
            sampled: flags & 1 == 1,
        })
    }
}

/// A span that has ended.
#[derive(Debug, Clone)]
pub struct SpanRecord {
    /// The process that handled the request: `entry`, `agent` or `target`.
    pub name: &'static str,
    /// The span itself.
    pub context: TraceContext,
    /// The span that caused it.
    pub parent: Option<TraceContext>,
    /// Start time.
    pub start: SystemTime,
    /// End time.
    pub end: SystemTime,
    /// Free text for the span's `detail` attribute.
    pub detail: String,
}
