//! `check`, `apply`, `diff` and `hash-key`.

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
use crate::error::{CliResult, LOST_RACE, NotAppliedSnafu, ReadFileSnafu, UNKNOWN};

fn file_of(args: &ArgMatches) -> PathBuf {
    let path = args.get_one::<PathBuf>("file");
    path.expect("clap demands it").clone()
}

fn text_of<'a>(args: &'a ArgMatches, name: &str) -> &'a str {
    args.get_one::<String>(name).expect("clap demands it")
}

fn load_document(path: &Path) -> CliResult<Document> {
    let text = std::fs::read_to_string(path).context(ReadFileSnafu { path })?;
    Ok(Document::parse(&path.display().to_string(), &text)?)
}

/// Checks a file as a daemon or `apply` would.
pub fn check(args: &ArgMatches) -> CliResult<ExitCode> {
    let path = file_of(args);
    match text_of(args, "kind") {
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

/// Applies a configuration and says truly what became of it.
pub fn apply(args: &ArgMatches) -> CliResult<ExitCode> {
    let document = load_document(&file_of(args))?;
    let patience = *args.get_one::<u64>("patience-ms").expect("has a default");
    let change = Change {
        text: document.canonical()?.into(),
        nonce: rand::random(),
        author: text_of(args, "author").to_owned(),
        patience: Duration::from_millis(patience),
    };
    let url = text_of(args, "log-url").to_owned();
    let outcome = block_on(async move {
        let platform = HttpPlatform::new(&url, &url).await;
        apply::apply(&platform, change).await
    });
    tell_outcome(&outcome)
}

fn tell_outcome(outcome: &ApplyOutcome) -> CliResult<ExitCode> {
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
            UNKNOWN,
        ),
    };
    NotAppliedSnafu { message, code }.fail()
}

/// Shows what applying a file would change.
pub fn diff(args: &ArgMatches) -> CliResult<ExitCode> {
    let wanted = load_document(&file_of(args))?;
    let url = text_of(args, "log-url").to_owned();
    let head = block_on(async move {
        let platform = HttpPlatform::new(&url, &url).await;
        match apply::read_head(&platform).await {
            Ok(head) => Ok(head),
            Err(e) => no_answer(&url, e.to_string()),
        }
    })?;
    let version = head.as_ref().map_or(0, |h| h.stamp.version);
    let held = pretty(&apply::document_of(head.as_ref()));
    let wanted = pretty(&wanted);
    if held == wanted {
        anstream::println!("no difference to version {version}");
        return Ok(ExitCode::SUCCESS);
    }
    let diff = TextDiff::from_lines(&held, &wanted);
    let shown = diff.unified_diff();
    let mut shown = shown;
    shown.header(&format!("version {version} in force"), "file");
    anstream::print!("{shown}");
    Ok(ExitCode::SUCCESS)
}

fn pretty(document: &Document) -> String {
    let text = serde_json::to_string_pretty(document).expect("a document can be written");
    text + "\n"
}

/// Prints the hash of a key.
pub fn hash_key(args: &ArgMatches) -> CliResult<ExitCode> {
    anstream::println!("{}", hash(text_of(args, "key")));
    Ok(ExitCode::SUCCESS)
}
