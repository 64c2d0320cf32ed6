//! Writes log records to standard output, one event per line:
//! `time level event name key=value ...`.
//!
//! Logging never blocks on output: a separate thread writes the buffered lines at a fixed interval.
//! Lines beyond the buffer limit are dropped, and a separate line reports their number.

use std::fmt;
use std::fmt::Write as _;
use std::io::{self, Write as _};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use logforth::append::Append;
use logforth::diagnostic::Diagnostic;
use logforth::record::Record;

use crate::events::EventCode;

/// Interval between writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum bytes per write. Log collectors with small buffers split lines in larger writes.
const MAX_WRITE_BYTES: usize = 4_096;
/// Maximum lines buffered between two writes. Bounds the CPU time spent on logging.
const MAX_BUFFERED_LINES: usize = 600;

#[derive(Debug, Default)]
struct LineBuffer {
    text: String,
    lines: usize,
    dropped: u64,
}

#[derive(Debug, Default)]
struct Shared {
    buffer: Mutex<LineBuffer>,
    has_lines: Condvar,
}

/// A `logforth` appender that buffers lines for its writer thread. Clones share the buffer.
#[derive(Debug, Clone, Default)]
pub struct LogWriter {
    shared: Arc<Shared>,
}

impl LogWriter {
    /// Starts the writer thread.
    pub fn start() -> io::Result<Self> {
        let log = Self::default();
        let shared = log.shared.clone();
        crate::worker_threads::spawn("log", move || run_writer(&shared))?;
        Ok(log)
    }

    fn lock(&self) -> MutexGuard<'_, LineBuffer> {
        lock(&self.shared.buffer)
    }

    /// Writes the buffered lines at once. Called before the process exits.
    pub fn flush_now(&self) {
        let buffer = std::mem::take(&mut *self.lock());
        write_lines(buffer);
    }
}

fn lock(buffer: &Mutex<LineBuffer>) -> MutexGuard<'_, LineBuffer> {
    buffer.lock().unwrap_or_else(PoisonError::into_inner)
}

fn run_writer(shared: &Shared) {
    loop {
        let mut buffer = lock(&shared.buffer);
        while buffer.lines == 0 {
            let woken = shared.has_lines.wait(buffer);
            buffer = woken.unwrap_or_else(PoisonError::into_inner);
        }
        drop(buffer);
        std::thread::sleep(WRITE_INTERVAL);
        let buffer = std::mem::take(&mut *lock(&shared.buffer));
        write_lines(buffer);
    }
}

fn write_lines(mut buffer: LineBuffer) {
    if buffer.dropped > 0 {
        let info = EventCode::LinesDropped.info();
        let dropped = buffer.dropped;
        let _ = writeln!(
            buffer.text,
            "level=warn event={} name={:?} lines={dropped}",
            info.number, info.code
        );
    }
    let mut rest = buffer.text.as_str();
    while !rest.is_empty() {
        let (chunk, after) = rest.split_at(chunk_end(rest));
        // A failing standard output can't be reported anywhere else.
        let _ = io::stdout().lock().write_all(chunk.as_bytes());
        rest = after;
    }
}

/// Returns the end of the last whole line that fits into one write.
fn chunk_end(text: &str) -> usize {
    let limit = text.floor_char_boundary(MAX_WRITE_BYTES);
    if limit == text.len() {
        return limit;
    }
    text[..limit].rfind('\n').map_or(limit, |at| at + 1)
}

impl Append for LogWriter {
    fn append(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> Result<(), logforth::Error> {
        let mut buffer = self.lock();
        if buffer.lines >= MAX_BUFFERED_LINES {
            buffer.dropped += 1;
            return Ok(());
        }
        buffer.lines += 1;
        let line = LineDisplay(record);
        // Writing to a string can't fail.
        let _ = writeln!(buffer.text, "{line}");
        if buffer.lines == 1 {
            self.shared.has_lines.notify_one();
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), logforth::Error> {
        self.flush_now();
        Ok(())
    }
}

struct LineDisplay<'a>(&'a Record<'a>);

impl fmt::Display for LineDisplay<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let level = self.0.level();
        write!(f, "t={:.3} level={level}", since_epoch.as_secs_f64())?;
        write!(f, " {}", self.0.payload())
    }
}
