//! Parses the log lines of entries and agents: `... t=SECONDS level=LEVEL TEXT: key=value ...`.

/// A parsed log line and the process that wrote it.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// Seconds since the Unix epoch.
    pub at: f64,
    /// Name of the process, taken from its log file.
    pub process: String,
    /// The line after its time and level.
    pub text: String,
}

/// Returns the value of the first `key=value` pair with this key.
pub fn value<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let tokens = text.split(' ');
    let pairs = tokens.filter_map(|token| token.split_once('='));
    pairs
        .filter(|(name, _)| *name == key)
        .map(|(_, value)| value)
        .next()
}

/// Returns the number after `key=`, or 0 if the line has none.
pub fn number(text: &str, key: &str) -> u64 {
    value(text, key)
        .and_then(|v| v.parse().ok())
        .unwrap_or_default()
}

/// Parses a line `... t=SECONDS level=LEVEL TEXT`.
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
