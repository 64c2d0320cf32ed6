//! The platform and the target over HTTP, by the ntex client.

use std::io::ErrorKind;
use std::rc::Rc;

use futures_util::future::{FutureExt as _, LocalBoxFuture};
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, Connector};
use ntex::http::StatusCode;
use ntex::time::{Millis, Seconds};
use serde::{Deserialize, Serialize};

use crate::agent::{Renewal, RunEnd, RunId, Start};
use crate::config_chain::{LogBatch, LogOffset, LogRecord};
use crate::ids::Incarnation;
use crate::job::TaskOutcome;
use crate::platform::{
    LogService, NoAnswerSnafu, PlatformError, PlatformResult, TargetService, UnreadableSnafu,
    VmListService,
};
use crate::vm_list::VmRecord;

/// How long the platform may take to answer.
const PLATFORM_LIMIT: Millis = Millis(2_000);
/// How long a connection to the target may take.
const LEASE_LIMIT: Millis = Millis(1_000);
/// Longest time a task may take; leases and deadlines end it long before.
const RUN_LIMIT: Millis = Millis(600_000);
/// Largest answer that is read, in bytes.
const MOST_BODY: usize = 8 * 1024 * 1024;
/// Header that carries the trace context.
const TRACEPARENT: &str = "traceparent";

/// Connections at a time. Not 0, "no limit": the pool of ntex 3.12 then never wakes a request
/// that has waited for another connection to be made.
pub const MOST_CONNECTIONS: usize = 100_000;

const LOG: &str = "log service";
const LIST: &str = "VM list";

/// Body of an append's answer.
#[derive(Debug, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the new record.
    pub offset: LogOffset,
}

/// Body of a start.
#[derive(Debug, Serialize, Deserialize)]
pub struct StartBody {
    /// Name of the run, unique over all lives of all agents.
    pub run: String,
    /// What to do.
    pub kind: String,
    /// The caller's payload.
    pub payload: String,
    /// Length of the lease in milliseconds.
    pub lease_ms: u64,
}

/// Body of a renewal.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseBody {
    /// Names of the runs.
    pub runs: Vec<String>,
    /// Length of the lease from now, in milliseconds.
    pub lease_ms: u64,
}

/// Body of a stop.
#[derive(Debug, Serialize, Deserialize)]
pub struct StopBody {
    /// Name of the run.
    pub run: String,
}

/// A client that opens a connection for each request, so that none is ever sent again because
/// a pooled connection turned out stale.
async fn fresh_client(limit: Millis) -> Client {
    let connector = Connector::new()
        .keep_alive(Seconds::ZERO)
        .limit(MOST_CONNECTIONS);
    Client::builder()
        .connector::<()>(connector)
        .response_timeout(limit)
        .response_payload_limit(MOST_BODY)
        .disable_redirects()
        .build(ntex::SharedCfg::default())
        .await
        .expect("a client without TLS can always be built")
}

/// The platform's services at one address.
#[derive(Clone)]
pub struct HttpPlatform {
    client: Client,
    log: Rc<str>,
    list: Rc<str>,
}

impl HttpPlatform {
    /// Services at these base addresses, such as `http://10.0.0.5:7000`.
    pub async fn new(log: &str, list: &str) -> Self {
        Self {
            client: fresh_client(PLATFORM_LIMIT).await,
            log: Rc::from(log),
            list: Rc::from(list),
        }
    }

    async fn get<T: serde::de::DeserializeOwned>(
        &self,
        service: &'static str,
        url: String,
    ) -> PlatformResult<T> {
        let sent = self.client.get(url).force_close().send().await;
        let response = sent.map_err(|e| no_answer(service, &e))?;
        if response.status() != StatusCode::OK {
            let cause = response.status().to_string();
            return NoAnswerSnafu { service, cause }.fail();
        }
        let body = response.body().limit(MOST_BODY).await;
        let body = body.map_err(|e| no_answer(service, &e))?;
        serde_json::from_slice(&body).or_else(|e| {
            let cause = e.to_string();
            UnreadableSnafu { service, cause }.fail()
        })
    }

    async fn post_record(&self, record: LogRecord) -> PlatformResult<LogOffset> {
        let url = format!("{}/v1/records", self.log);
        let request = self.client.post(url).force_close();
        let sent = request.send_json(&record).await;
        let response = sent.map_err(|e| no_answer(LOG, &e))?;
        if response.status() != StatusCode::OK {
            let cause = response.status().to_string();
            return NoAnswerSnafu {
                service: LOG,
                cause,
            }
            .fail();
        }
        let appended = response.json::<Appended>().await;
        appended.map(|a| a.offset).map_err(|e| no_answer(LOG, &e))
    }
}

fn no_answer(service: &'static str, cause: &impl ToString) -> PlatformError {
    PlatformError::NoAnswer {
        service,
        cause: cause.to_string(),
    }
}

impl LogService for HttpPlatform {
    fn read(&self, from: LogOffset) -> LocalBoxFuture<'_, PlatformResult<LogBatch>> {
        let url = format!("{}/v1/records?from={from}", self.log);
        self.get(LOG, url).boxed_local()
    }

    fn append(&self, record: LogRecord) -> LocalBoxFuture<'_, PlatformResult<LogOffset>> {
        self.post_record(record).boxed_local()
    }
}

impl VmListService for HttpPlatform {
    fn list(&self) -> LocalBoxFuture<'_, PlatformResult<Vec<VmRecord>>> {
        let url = format!("{}/v1/vms", self.list);
        self.get(LIST, url).boxed_local()
    }
}

/// The target beside an agent, at one address.
#[derive(Clone)]
pub struct HttpTarget {
    runs: Client,
    leases: Client,
    url: Rc<str>,
    agent: Incarnation,
}

impl HttpTarget {
    /// The target at a base address, used by one life of an agent.
    pub async fn new(url: &str, agent: Incarnation) -> Self {
        Self {
            runs: fresh_client(RUN_LIMIT).await,
            leases: fresh_client(LEASE_LIMIT).await,
            url: Rc::from(url),
            agent,
        }
    }

    fn run_name(&self, run: RunId) -> String {
        format!("{:016x}-{run}", self.agent)
    }

    async fn start(&self, start: Start) -> RunEnd {
        let body = StartBody {
            run: self.run_name(start.run),
            kind: start.spec.kind.to_string(),
            payload: start.spec.payload.to_string(),
            lease_ms: start.lease.as_millis() as u64,
        };
        let mut request = self
            .runs
            .post(format!("{}/v1/tasks", self.url))
            .force_close();
        if let Some(trace) = &start.trace {
            request = request.header(TRACEPARENT, &**trace);
        }
        let response = match request.send_json(&body).await {
            Ok(response) => response,
            Err(e) if is_proof(&e) => return RunEnd::NotStarted,
            Err(_) => return RunEnd::Ended(TaskOutcome::Lost),
        };
        let status = response.status();
        let Ok(body) = response.body().limit(MOST_BODY).await else {
            return RunEnd::Ended(TaskOutcome::Lost);
        };
        let text = String::from_utf8_lossy(&body);
        run_end(status, &text)
    }

    async fn post<B: Serialize>(&self, path: &str, body: B) {
        // Without an answer the lease lapses or the next renewal tries again.
        let url = format!("{}{path}", self.url);
        let _ = self.leases.post(url).force_close().send_json(&body).await;
    }
}

/// Only a refused connection proves that the target never saw the request. The client also
/// says `Disconnected` of connections that broke later, so the cause decides.
fn is_proof(error: &ClientError) -> bool {
    match error {
        ClientError::Connect(ConnectError::Disconnected(Some(cause))) => {
            cause.kind() == ErrorKind::ConnectionRefused
        }
        _ => false,
    }
}

/// What the target's answer means. 503 is the target's word that it did not start the task.
fn run_end(status: StatusCode, text: &str) -> RunEnd {
    match status {
        StatusCode::OK => RunEnd::Ended(TaskOutcome::Succeeded(text.into())),
        StatusCode::SERVICE_UNAVAILABLE => RunEnd::NotStarted,
        StatusCode::GONE => RunEnd::Ended(TaskOutcome::Lost),
        _ => RunEnd::Ended(TaskOutcome::Failed(text.into())),
    }
}

impl TargetService for HttpTarget {
    fn run(&self, start: Start) -> LocalBoxFuture<'_, RunEnd> {
        self.start(start).boxed_local()
    }

    fn renew(&self, renewal: Renewal) -> LocalBoxFuture<'_, ()> {
        let body = LeaseBody {
            runs: renewal.runs.iter().map(|r| self.run_name(*r)).collect(),
            lease_ms: renewal.lease.as_millis() as u64,
        };
        async move { self.post("/v1/leases", body).await }.boxed_local()
    }

    fn stop(&self, run: RunId) -> LocalBoxFuture<'_, ()> {
        let body = StopBody {
            run: self.run_name(run),
        };
        async move { self.post("/v1/stops", body).await }.boxed_local()
    }
}
