//! The commands `submit`, `cancel` and `permits`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::ArgMatches;
use ntex::client::Client;
use serde_json::Value;
use snafu::ResultExt as _;
use trestleknot_lib::http_answer::NEXT_PERMIT;
use trestleknot_lib::job::Answer;
use trestleknot_lib::trace::{TRACEPARENT, TraceContext};

use crate::client::{block_on, new_client, no_answer, read_json};
use crate::error::{BAD_INPUT, CliResult, NotAppliedSnafu, ReadFileSnafu};

/// Address of an entry and the caller's key.
#[derive(Clone)]
struct Caller {
    entry: String,
    key: String,
}

impl Caller {
    fn of(args: &ArgMatches) -> Self {
        let text = |name| {
            args.get_one::<String>(name)
                .expect("clap requires it")
                .clone()
        };
        Self {
            entry: text("entry"),
            key: text("key"),
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.entry)
    }

    fn bearer(&self) -> String {
        format!("Bearer {}", self.key)
    }

    async fn permits(&self, client: &Client, count: u32) -> CliResult<Vec<String>> {
        let url = self.url(&format!("/v1/permits?count={count}"));
        let request = client.post(&url).header("authorization", self.bearer());
        let response = match request.send().await {
            Ok(response) => response,
            Err(e) => return no_answer(&url, e.to_string()),
        };
        if !response.status().is_success() {
            return no_answer(&url, response.status().to_string());
        }
        read_json(&url, &response).await
    }
}

/// Submits a job and prints its answer. Exits with 0 only if the job is complete.
pub fn submit(args: &ArgMatches) -> CliResult<ExitCode> {
    let caller = Caller::of(args);
    let mut body = read_job(args)?;
    let once = args.get_flag("once");
    let permit = args.get_one::<String>("permit").cloned();
    let answer = block_on(async move {
        let client = new_client().await;
        if once {
            let permit = match permit {
                Some(permit) => permit,
                None => fetch_permit(&caller, &client).await?,
            };
            anstream::eprintln!("permit: {permit}");
            body["repeatable"] = Value::Bool(false);
            body["permit"] = Value::String(permit);
        }
        send_job(&caller, &client, &body).await
    })?;
    let text = serde_json::to_string_pretty(&answer).expect("an answer always serializes");
    anstream::println!("{text}");
    Ok(match answer {
        Answer::Complete { .. } => ExitCode::SUCCESS,
        Answer::Failed { .. } | Answer::Refused { .. } => ExitCode::FAILURE,
    })
}

fn read_job(args: &ArgMatches) -> CliResult<Value> {
    let path = args.get_one::<PathBuf>("file").expect("clap requires it");
    let text = std::fs::read_to_string(path).context(ReadFileSnafu { path })?;
    let parsed = trestleknot_lib::json::parse(&path.display().to_string(), &text);
    parsed.or_else(|e| {
        let message = e.to_string();
        let code = BAD_INPUT;
        NotAppliedSnafu { message, code }.fail()
    })
}

async fn fetch_permit(caller: &Caller, client: &Client) -> CliResult<String> {
    let permits = caller.permits(client, 1).await?;
    match permits.into_iter().next() {
        Some(permit) => Ok(permit),
        None => no_answer(&caller.entry, "no permit".to_owned()),
    }
}

async fn send_job(caller: &Caller, client: &Client, body: &Value) -> CliResult<Answer> {
    let url = caller.url("/v1/jobs");
    let trace = TraceContext::new_root();
    let request = client
        .post(&url)
        .header("authorization", caller.bearer())
        .header(TRACEPARENT, trace.to_string());
    let response = match request.send_json(body).await {
        Ok(response) => response,
        Err(e) => return no_answer(&url, format!("{e}; it is not known whether the job ran")),
    };
    if let Some(permit) = response.header(NEXT_PERMIT).and_then(|p| p.to_str().ok()) {
        anstream::eprintln!("next permit: {permit}");
    }
    read_json(&url, &response).await
}

/// Cancels a job.
pub fn cancel(args: &ArgMatches) -> CliResult<ExitCode> {
    let caller = Caller::of(args);
    let job = args
        .get_one::<String>("job")
        .expect("clap requires it")
        .clone();
    block_on(async move {
        let client = new_client().await;
        let url = caller.url(&format!("/v1/jobs/{job}"));
        let request = client.delete(&url).header("authorization", caller.bearer());
        match request.send().await {
            Ok(response) if response.status().is_success() => Ok(()),
            Ok(response) => no_answer(&url, response.status().to_string()),
            Err(e) => no_answer(&url, e.to_string()),
        }
    })?;
    anstream::println!("cancellation passed on");
    Ok(ExitCode::SUCCESS)
}

/// Prints permits, one per line.
pub fn permits(args: &ArgMatches) -> CliResult<ExitCode> {
    let caller = Caller::of(args);
    let count = *args.get_one::<u32>("count").expect("has a default");
    let permits = block_on(async move {
        let client = new_client().await;
        caller.permits(&client, count).await
    })?;
    for permit in permits {
        anstream::println!("{permit}");
    }
    Ok(ExitCode::SUCCESS)
}
