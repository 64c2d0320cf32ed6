//! Reads a folder of log files with one file per process.

use std::fs;
use std::path::Path;

use snafu::ResultExt as _;

use crate::error::{CliResult, ReadFileSnafu};

/// Returns the name of each process and its log.
pub fn read_logs(folder: &Path) -> CliResult<Vec<(String, String)>> {
    let mut logs = Vec::new();
    let files = fs::read_dir(folder).context(ReadFileSnafu { path: folder })?;
    for file in files {
        let path = file.context(ReadFileSnafu { path: folder })?.path();
        if !path.is_file() {
            continue;
        }
        let log = fs::read(&path).context(ReadFileSnafu { path: &path })?;
        let process = path.file_stem().unwrap_or_default().to_string_lossy();
        let text = String::from_utf8_lossy(&log);
        logs.push((process.into_owned(), text.into_owned()));
    }
    Ok(logs)
}
