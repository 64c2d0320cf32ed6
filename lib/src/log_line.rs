//! Lines of the processes' logs, read back: `... t=SECONDS level=LEVEL TEXT: key=value ...`.

/// A line and the process that wrote it.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// Seconds since 1970.
    pub at: f64,
    /// The process, as its log file is named.
    pub process: String,
    /// What it wrote after the time and level.
    pub text: String,
}

/// The value of `key=value` in a line.
pub fn value<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let words = text.split(' ');
    let found = words.filter_map(|word| word.split_once('='));
    found
        .filter(|(name, _)| *name == key)
        .map(|(_, value)| value)
        .next()
}

/// The number after `key=` in a line; 0 without one.
pub fn number(text: &str, key: &str) -> u64 {
    value(text, key)
        .and_then(|v| v.parse().ok())
        .unwrap_or_default()
}

/// Reads a line: `... t=SECONDS level=LEVEL TEXT`.
pub fn read_line(process: &str, line: &str) -> Option<LogLine> {
    let (_, rest) = line.split_once("t=")?;
    let (at, rest) = rest.split_once(' ')?;
    let (_, text) = rest.split_once(' ')?;
    Some(LogLine {
        at: at.parse().ok()?,
        process: process.to_owned(),
        text: text.to_owned(),
    })
}
