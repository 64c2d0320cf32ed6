//! Log lines of the programs on the platform: one event a line on standard output, as
//! `time level event name key=value ...`, bounded in volume and never waited for.
//!
//! Lines are gathered and written a few times a second by a thread of their own. What comes
//! beyond the bounds is dropped and counted; the count is a line of its own.

use std::fmt;
use std::fmt::Write as _;
use std::io::{self, Write as _};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use logforth::append::Append;
use logforth::diagnostic::Diagnostic;
use logforth::record::Record;

use crate::events::EventCode;

/// How often lines are written.
const WRITE_EVERY: Duration = Duration::from_millis(250);
/// Bytes in one write at the most, so that collectors with small buffers keep lines whole.
const MOST_CHUNK: usize = 4_096;
/// Lines gathered between two writes at the most: a kilobyte costs processor time, and the
/// busiest process of today's sizes writes about 150 lines in that time.
const MOST_LINES: usize = 600;

#[derive(Debug, Default)]
struct Gathered {
    text: String,
    lines: usize,
    dropped: u64,
}

#[derive(Debug, Default)]
struct Shared {
    gathered: Mutex<Gathered>,
    has_lines: Condvar,
}

/// See the module.
#[derive(Debug, Clone, Default)]
pub struct LogWriter {
    shared: Arc<Shared>,
}

impl LogWriter {
    /// Starts the thread that writes.
    pub fn start() -> io::Result<Self> {
        let log = Self::default();
        let shared = log.shared.clone();
        crate::worker_threads::spawn("log", move || write_forever(&shared))?;
        Ok(log)
    }

    fn lock(&self) -> MutexGuard<'_, Gathered> {
        lock(&self.shared.gathered)
    }

    /// Writes what has been gathered now, for a process that is about to end.
    pub fn write_now(&self) {
        let gathered = std::mem::take(&mut *self.lock());
        write_out(gathered);
    }
}

fn lock(gathered: &Mutex<Gathered>) -> MutexGuard<'_, Gathered> {
    gathered.lock().unwrap_or_else(PoisonError::into_inner)
}

fn write_forever(shared: &Shared) {
    loop {
        let mut gathered = lock(&shared.gathered);
        while gathered.lines == 0 {
            let waited = shared.has_lines.wait(gathered);
            gathered = waited.unwrap_or_else(PoisonError::into_inner);
        }
        drop(gathered);
        std::thread::sleep(WRITE_EVERY);
        let gathered = std::mem::take(&mut *lock(&shared.gathered));
        write_out(gathered);
    }
}

fn write_out(mut gathered: Gathered) {
    if gathered.dropped > 0 {
        let info = EventCode::LinesDropped.info();
        let dropped = gathered.dropped;
        let _ = writeln!(
            gathered.text,
            "level=warn event={} name={:?} lines={dropped}",
            info.number, info.code
        );
    }
    let mut rest = gathered.text.as_str();
    while !rest.is_empty() {
        let (chunk, after) = rest.split_at(end_of_chunk(rest));
        // There is nowhere left to report a broken standard output.
        let _ = io::stdout().lock().write_all(chunk.as_bytes());
        rest = after;
    }
}

/// Where the last whole line within a chunk ends.
fn end_of_chunk(text: &str) -> usize {
    let most = text.floor_char_boundary(MOST_CHUNK);
    if most == text.len() {
        return most;
    }
    text[..most].rfind('\n').map_or(most, |at| at + 1)
}

impl Append for LogWriter {
    fn append(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> Result<(), logforth::Error> {
        let mut gathered = self.lock();
        if gathered.lines >= MOST_LINES {
            gathered.dropped += 1;
            return Ok(());
        }
        gathered.lines += 1;
        let line = Line(record);
        // Writing to a string can't fail.
        let _ = writeln!(gathered.text, "{line}");
        if gathered.lines == 1 {
            self.shared.has_lines.notify_one();
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), logforth::Error> {
        self.write_now();
        Ok(())
    }
}

struct Line<'a>(&'a Record<'a>);

impl fmt::Display for Line<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let since_1970 = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let level = self.0.level();
        write!(f, "t={:.3} level={level}", since_1970.as_secs_f64())?;
        write!(f, " {}", self.0.payload())
    }
}
