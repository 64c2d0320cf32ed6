//! The commands `check`, `apply`, `diff` and `hash-key`.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::ArgMatches;
use similar::TextDiff;
use snafu::ResultExt as _;
use trestleknot_lib::apply::{self, ApplyOutcome, Change};
use trestleknot_lib::config_document::Document;
use trestleknot_lib::http_api::hash_key as hash;
use trestleknot_lib::http_platform::HttpPlatform;
use trestleknot_lib::settings::{self, AgentSettings, EntrySettings};

use crate::client::{block_on, no_answer};
use crate::error::{CliResult, LOST_RACE, NotAppliedSnafu, ReadFileSnafu, UNKNOWN_OUTCOME};

fn file_arg(args: &ArgMatches) -> PathBuf {
    let path = args.get_one::<PathBuf>("file");
    path.expect("clap requires it").clone()
}

fn text_arg<'a>(args: &'a ArgMatches, name: &str) -> &'a str {
    args.get_one::<String>(name).expect("clap requires it")
}

fn load_document(path: &Path) -> CliResult<Document> {
    let text = std::fs::read_to_string(path).context(ReadFileSnafu { path })?;
    Ok(Document::parse(&path.display().to_string(), &text)?)
}

/// Checks a file with the parser that a daemon or `apply` uses.
pub fn check(args: &ArgMatches) -> CliResult<ExitCode> {
    let path = file_arg(args);
    match text_arg(args, "kind") {
        "entry" => {
            settings::load::<EntrySettings>(&path)?;
        }
        "agent" => {
            settings::load::<AgentSettings>(&path)?;
        }
        "platform-entry" => {
            platform::settings::load_entry(&path)?;
        }
        "platform-agent" => {
            platform::settings::load_agent(&path)?;
        }
        _ => {
            load_document(&path)?;
        }
    }
    anstream::println!("{}: good", path.display());
    Ok(ExitCode::SUCCESS)
}

/// Applies a configuration and reports whether it is in force.
pub fn apply(args: &ArgMatches) -> CliResult<ExitCode> {
    let document = load_document(&file_arg(args))?;
    let patience = *args.get_one::<u64>("patience-ms").expect("has a default");
    let change = Change {
        text: document.canonical()?.into(),
        nonce: rand::random(),
        author: text_arg(args, "author").to_owned(),
        timeout: Duration::from_millis(patience),
    };
    let url = text_arg(args, "log-url").to_owned();
    let outcome = block_on(async move {
        let platform = HttpPlatform::new(&url, &url).await;
        apply::apply(&platform, change).await
    });
    report_outcome(&outcome)
}

fn report_outcome(outcome: &ApplyOutcome) -> CliResult<ExitCode> {
    let (message, code) = match outcome {
        ApplyOutcome::InForce { version } => {
            anstream::println!("version {version} is in force");
            return Ok(ExitCode::SUCCESS);
        }
        ApplyOutcome::Unchanged { version } => {
            anstream::println!("version {version} in force is the same document; nothing written");
            return Ok(ExitCode::SUCCESS);
        }
        ApplyOutcome::LostRace { head } => (
            format!("not applied: version {head} came first; look at `diff` and apply again"),
            LOST_RACE,
        ),
        ApplyOutcome::NotWritten { cause } => {
            (format!("not applied, nothing was written: {cause}"), 1)
        }
        ApplyOutcome::Unknown { cause } => (
            format!(
                "it is not known whether this was applied: {cause}; look at `diff` when the log \
                 answers, and apply again if it shows a difference"
            ),
            UNKNOWN_OUTCOME,
        ),
    };
    NotAppliedSnafu { message, code }.fail()
}

/// Prints the difference between the configuration in force and a file.
pub fn diff(args: &ArgMatches) -> CliResult<ExitCode> {
    let desired = load_document(&file_arg(args))?;
    let url = text_arg(args, "log-url").to_owned();
    let head = block_on(async move {
        let platform = HttpPlatform::new(&url, &url).await;
        match apply::read_head(&platform).await {
            Ok(head) => Ok(head),
            Err(e) => no_answer(&url, e.to_string()),
        }
    })?;
    let version = head.as_ref().map_or(0, |h| h.stamp.version);
    let in_force = to_pretty_json(&apply::document_of(head.as_ref()));
    let desired = to_pretty_json(&desired);
    if in_force == desired {
        anstream::println!("no difference to version {version}");
        return Ok(ExitCode::SUCCESS);
    }
    let diff = TextDiff::from_lines(&in_force, &desired);
    let unified = diff.unified_diff();
    let mut unified = unified;
    unified.header(&format!("version {version} in force"), "file");
    anstream::print!("{unified}");
    Ok(ExitCode::SUCCESS)
}

fn to_pretty_json(document: &Document) -> String {
    let text = serde_json::to_string_pretty(document).expect("a document always serializes");
    text + "\n"
}

/// Prints the hash of a team's key.
pub fn hash_key(args: &ArgMatches) -> CliResult<ExitCode> {
    anstream::println!("{}", hash(text_arg(args, "key")));
    Ok(ExitCode::SUCCESS)
}
