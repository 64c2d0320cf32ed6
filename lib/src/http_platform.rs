//! HTTP clients of the platform's services and of the target.

use std::cell::RefCell;
use std::io::ErrorKind;
use std::rc::Rc;

use futures_util::future::{FutureExt as _, LocalBoxFuture};
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, Connector};
use ntex::http::StatusCode;
use ntex::time::{Millis, Seconds};
use serde::{Deserialize, Serialize};

use crate::agent::{Renewal, RunEnd, RunId, Start};
use crate::clock::BootInstant;
use crate::config_chain::{LogBatch, LogOffset, LogRecord};
use crate::events::{EventCode, LogEvent};
use crate::ids::Incarnation;
use crate::job::TaskOutcome;
use crate::platform::{
    LogService, NoAnswerSnafu, PlatformError, PlatformResult, TargetService, UnreadableSnafu,
    VmListService,
};
use crate::platform_lists::{Decoded, decode_log_batch, decode_vm_list};
use crate::skipped_input::SkippedInput;
use crate::vm_list::VmRecord;

/// Response timeout of the platform's services.
const PLATFORM_TIMEOUT: Millis = Millis(2_000);
/// Response timeout of lease renewals and stops at the target.
const CONTROL_TIMEOUT: Millis = Millis(1_000);
/// Response timeout of a run. Leases and deadlines end a run long before.
const RUN_TIMEOUT: Millis = Millis(600_000);
/// Largest response body accepted, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// HTTP header that carries the trace context.
const TRACEPARENT: &str = "traceparent";

/// Maximum concurrent connections. Not 0 ("no limit"): the pool of ntex 3.12 then never wakes a
/// request that waits for another connection to be established.
pub const MAX_CONNECTIONS: usize = 100_000;

const LOG_SERVICE: &str = "log service";
const VM_LIST: &str = "VM list";

/// Body of the response to an append.
#[derive(Debug, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the appended record.
    pub offset: LogOffset,
}

/// Body of a request to start a run.
#[derive(Debug, Serialize, Deserialize)]
pub struct StartBody {
    /// Name of the run, unique across all incarnations of all agents.
    pub run: String,
    /// Kind of the task.
    pub kind: String,
    /// The caller's payload.
    pub payload: String,
    /// Length of the lease in milliseconds.
    pub lease_ms: u64,
}

/// Body of a lease renewal.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseBody {
    /// Names of the runs.
    pub runs: Vec<String>,
    /// Length of the lease from now, in milliseconds.
    pub lease_ms: u64,
}

/// Body of a request to stop a run.
#[derive(Debug, Serialize, Deserialize)]
pub struct StopBody {
    /// Name of the run.
    pub run: String,
}

/// Builds a client that opens a new connection for each request. A request on a stale pooled
/// connection could otherwise be sent twice.
async fn unpooled_client(timeout: Millis) -> Client {
    let connector = Connector::new()
        .keep_alive(Seconds::ZERO)
        .limit(MAX_CONNECTIONS);
    Client::builder()
        .connector::<()>(connector)
        .response_timeout(timeout)
        .response_payload_limit(MAX_RESPONSE_BYTES)
        .disable_redirects()
        .build(ntex::SharedCfg::default())
        .await
        .expect("a client without TLS can always be built")
}

/// Client of the platform's log service and VM list.
#[derive(Clone)]
pub struct HttpPlatform {
    client: Client,
    log_url: Rc<str>,
    vm_list_url: Rc<str>,
    started: BootInstant,
    skipped: Rc<RefCell<SkippedInput>>,
}

impl HttpPlatform {
    /// Creates a client for services at these base addresses, such as `http://10.0.0.5:7000`.
    pub async fn new(log_url: &str, vm_list_url: &str) -> Self {
        Self {
            client: unpooled_client(PLATFORM_TIMEOUT).await,
            log_url: Rc::from(log_url),
            vm_list_url: Rc::from(vm_list_url),
            started: BootInstant::now(),
            skipped: Rc::default(),
        }
    }

    async fn get<T>(
        &self,
        service: &'static str,
        url: String,
        decode: fn(&[u8]) -> Result<Decoded<T>, serde_json::Error>,
    ) -> PlatformResult<T> {
        let sent = self.client.get(url).force_close().send().await;
        let response = sent.map_err(|e| no_answer(service, &e))?;
        if response.status() != StatusCode::OK {
            let cause = response.status().to_string();
            return NoAnswerSnafu { service, cause }.fail();
        }
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|e| no_answer(service, &e))?;
        match decode(&body) {
            Ok(decoded) => {
                self.log_skipped(service, &decoded.unreadable);
                Ok(decoded.list)
            }
            Err(e) => {
                let cause = e.to_string();
                UnreadableSnafu { service, cause }.fail()
            }
        }
    }

    fn log_skipped(&self, service: &str, unreadable: &[String]) {
        let mut skipped = self.skipped.borrow_mut();
        for cause in unreadable {
            skipped.note_new(&format!("{service}: {cause}"));
        }
        if let Some(detail) = skipped.take_line(self.started.elapsed()) {
            LogEvent::new(EventCode::RecordUnreadable, detail).emit();
        }
    }

    async fn post_record(&self, record: LogRecord) -> PlatformResult<LogOffset> {
        let url = format!("{}/v1/records", self.log_url);
        let request = self.client.post(url).force_close();
        let sent = request.send_json(&record).await;
        let response = sent.map_err(|e| no_answer(LOG_SERVICE, &e))?;
        if response.status() != StatusCode::OK {
            let cause = response.status().to_string();
            return NoAnswerSnafu {
                service: LOG_SERVICE,
                cause,
            }
            .fail();
        }
        let appended = response.json::<Appended>().await;
        appended
            .map(|a| a.offset)
            .map_err(|e| no_answer(LOG_SERVICE, &e))
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
        let url = format!("{}/v1/records?from={from}", self.log_url);
        self.get(LOG_SERVICE, url, decode_log_batch).boxed_local()
    }

    fn append(&self, record: LogRecord) -> LocalBoxFuture<'_, PlatformResult<LogOffset>> {
        self.post_record(record).boxed_local()
    }
}

impl VmListService for HttpPlatform {
    fn list(&self) -> LocalBoxFuture<'_, PlatformResult<Vec<VmRecord>>> {
        let url = format!("{}/v1/vms", self.vm_list_url);
        self.get(VM_LIST, url, decode_vm_list).boxed_local()
    }
}

/// Client of the target beside an agent.
#[derive(Clone)]
pub struct HttpTarget {
    run_client: Client,
    control_client: Client,
    url: Rc<str>,
    agent: Incarnation,
}

impl HttpTarget {
    /// Creates a client for the target at a base address, used by one incarnation of an agent.
    pub async fn new(url: &str, agent: Incarnation) -> Self {
        Self {
            run_client: unpooled_client(RUN_TIMEOUT).await,
            control_client: unpooled_client(CONTROL_TIMEOUT).await,
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
            .run_client
            .post(format!("{}/v1/tasks", self.url))
            .force_close();
        if let Some(trace) = &start.trace {
            request = request.header(TRACEPARENT, &**trace);
        }
        let response = match request.send_json(&body).await {
            Ok(response) => response,
            Err(e) if proves_not_started(&e) => return RunEnd::NotStarted,
            Err(_) => return RunEnd::Ended(TaskOutcome::Lost),
        };
        let status = response.status();
        let Ok(body) = response.body().limit(MAX_RESPONSE_BYTES).await else {
            return RunEnd::Ended(TaskOutcome::Lost);
        };
        let text = String::from_utf8_lossy(&body);
        run_end(status, &text)
    }

    async fn post<B: Serialize>(&self, path: &str, body: B) {
        // Failures are ignored: the lease lapses, or the next renewal replaces this one.
        let url = format!("{}{path}", self.url);
        let _ = self
            .control_client
            .post(url)
            .force_close()
            .send_json(&body)
            .await;
    }
}

/// Whether an error proves that the target never received the request. Only a refused connection
/// does. The client also reports `Disconnected` for connections that broke later, so this checks
/// the cause.
fn proves_not_started(error: &ClientError) -> bool {
    match error {
        ClientError::Connect(ConnectError::Disconnected(Some(cause))) => {
            cause.kind() == ErrorKind::ConnectionRefused
        }
        _ => false,
    }
}

/// Maps the target's response to a run's end. With 503 the target states that it did not start the
/// task.
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
