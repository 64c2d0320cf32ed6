//! HTTP API for callers and operators, served by ntex workers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime};

use ntex::http::StatusCode;
use ntex::http::error::PayloadError as HttpPayloadError;
use ntex::util::Bytes;
use ntex::web::error::PayloadError;
use ntex::web::types::{Path, Query, State};
use ntex::web::{self, HttpRequest, HttpResponse};
use serde::Deserialize;
use sha2::{Digest as _, Sha256};
use tokio::sync::oneshot;

use crate::admission::PERMITS_PATH;
use crate::entry::{EntryEvent, JobRequest, PermitRequest, Reply, Submission};
use crate::entry_input::{CoreRequest, EntryInput, PendingReply};
use crate::events::{EventCode, LogEvent};
use crate::http_answer::response_for;
use crate::ids::{JobId, RequestId};
use crate::job::{Answer, Failure, RefusalReason, TaskSpec};
use crate::ring::RingTx;
use crate::telemetry::{MetricsPage, TelemetryReport};
use crate::trace::{SpanRecord, TRACEPARENT, TraceContext};

/// Deadline of a job that sets none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
/// Suggested retry delay if the core's ring is full.
const FULL_RING_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Size of each worker's range of request ids.
const REQUEST_IDS_PER_WORKER: u64 = 1 << 48;

/// The rings of one worker.
pub struct WorkerRings {
    /// Number of the worker.
    pub worker: u64,
    /// Ring to the core.
    pub asks: RingTx<EntryInput>,
    /// Ring to telemetry.
    pub reports: RingTx<TelemetryReport>,
}

/// Rings for workers that have not started yet.
pub type RingPool = Arc<Mutex<Vec<WorkerRings>>>;

/// Connects the handlers of one worker to the core and telemetry.
pub struct Gateway {
    asks: RefCell<RingTx<EntryInput>>,
    reports: RefCell<RingTx<TelemetryReport>>,
    next_request: Cell<RequestId>,
}

/// Why the core did not answer a request.
enum Unavailable {
    /// The core's ring is full; the core has not received the request.
    RingFull,
    /// The core has stopped; what it did with the request is unknown.
    CoreStopped,
}

impl Gateway {
    /// Takes the rings of one worker from the pool.
    pub fn from_pool(pool: &RingPool) -> Rc<Self> {
        let mut pool = pool.lock().unwrap_or_else(PoisonError::into_inner);
        let rings = pool.pop().expect("the pool holds rings for every worker");
        Rc::new(Self {
            asks: RefCell::new(rings.asks),
            reports: RefCell::new(rings.reports),
            next_request: Cell::new(rings.worker * REQUEST_IDS_PER_WORKER),
        })
    }

    fn new_request(&self) -> RequestId {
        let request = self.next_request.get();
        self.next_request.set(request + 1);
        request
    }

    async fn ask(&self, request: RequestId, event: EntryEvent) -> Result<Reply, Unavailable> {
        let (tx, rx) = oneshot::channel();
        let reply = Some(PendingReply { request, reply: tx });
        let pushed = self
            .asks
            .borrow_mut()
            .push(EntryInput::Ask(CoreRequest { event, reply }));
        pushed.map_err(|_| Unavailable::RingFull)?;
        rx.await.map_err(|_| Unavailable::CoreStopped)
    }

    fn notify(&self, event: EntryEvent) {
        let ask = CoreRequest { event, reply: None };
        if self.asks.borrow_mut().push(EntryInput::Ask(ask)).is_err() {
            LogEvent::new(EventCode::RingFull, "callers to core").emit();
        }
    }

    /// Reports a span without delaying the caller. Drops the span if the ring is full.
    fn report(&self, span: SpanRecord) {
        let _ = self.reports.borrow_mut().push(TelemetryReport::Span(span));
    }
}

/// Notifies the core of a disconnected caller when the handler is dropped before the answer.
struct CallerGuard {
    gateway: Rc<Gateway>,
    request: RequestId,
    answered: bool,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if !self.answered {
            self.gateway.notify(EntryEvent::CallerGone(self.request));
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SubmitBody {
    tasks: Vec<TaskSpec>,
    #[serde(default)]
    deadline_ms: Option<u64>,
    #[serde(default = "default_repeatable")]
    repeatable: bool,
    #[serde(default)]
    permit: Option<String>,
}

fn default_repeatable() -> bool {
    true
}

#[derive(Debug, Deserialize)]
struct CountQuery {
    #[serde(default = "default_count")]
    count: u32,
}

fn default_count() -> u32 {
    1
}

/// Returns the SHA-256 of a team's key in hexadecimal.
pub fn hash_key(key: &str) -> String {
    let hash = Sha256::digest(key.as_bytes());
    hash.iter().map(|b| format!("{b:02x}")).collect()
}

fn key_hash_of(req: &HttpRequest) -> String {
    let header = req.headers().get("authorization");
    let text = header.and_then(|h| h.to_str().ok()).unwrap_or_default();
    hash_key(text.strip_prefix("Bearer ").unwrap_or_default())
}

fn refused(reason: RefusalReason) -> HttpResponse {
    response_for(&Answer::refused(reason), None)
}

fn unavailable() -> HttpResponse {
    response_for(
        &Answer::refused_until(RefusalReason::Busy, FULL_RING_RETRY_AFTER),
        None,
    )
}

/// Answers a submission that the core received but can no longer answer itself.
fn core_stopped() -> HttpResponse {
    let answer = Answer::Failed {
        job: String::new(),
        reason: Failure::EntryStopped,
        may_have_run: true,
    };
    response_for(&answer, None)
}

fn malformed(message: impl ToString) -> HttpResponse {
    let message = message.to_string();
    refused(RefusalReason::Malformed { message })
}

/// `POST /v1/jobs`: submits a job and waits until it ends.
async fn submit(
    req: HttpRequest,
    body: Result<Bytes, PayloadError>,
    gateway: State<Rc<Gateway>>,
    limits: State<BodyLimit>,
) -> HttpResponse {
    let body = match body {
        Ok(body) => body,
        Err(PayloadError::Payload(HttpPayloadError::Overflow)) => {
            let limit = limits.0 as u64;
            return refused(RefusalReason::TooLarge { limit });
        }
        Err(e) => return malformed(e),
    };
    let body: SubmitBody = match serde_json::from_slice(&body) {
        Ok(body) => body,
        Err(e) => return malformed(format!("body: {e}")),
    };
    let parent = parent_of(&req);
    let context = parent.map_or_else(TraceContext::new_root, |p| p.child());
    let start = SystemTime::now();
    let request = gateway.new_request();
    let event = EntryEvent::Submit(submission(&req, body, request, context));
    let mut guard = CallerGuard {
        gateway: gateway.get_ref().clone(),
        request,
        answered: false,
    };
    let reply = gateway.ask(request, event).await;
    guard.answered = true;
    gateway.report(SpanRecord {
        name: "entry",
        context,
        parent,
        start,
        end: SystemTime::now(),
        detail: format!("request {request:x}"),
    });
    match reply {
        Ok(Reply::Answer {
            answer,
            next_permit,
        }) => response_for(&answer, next_permit.as_deref()),
        Err(Unavailable::RingFull) => unavailable(),
        Ok(_) | Err(Unavailable::CoreStopped) => core_stopped(),
    }
}

fn parent_of(req: &HttpRequest) -> Option<TraceContext> {
    let header = req.headers().get(TRACEPARENT)?;
    header.to_str().ok()?.parse().ok()
}

fn submission(
    req: &HttpRequest,
    body: SubmitBody,
    request: RequestId,
    context: TraceContext,
) -> Submission {
    Submission {
        request,
        key_sha256: key_hash_of(req),
        tasks: body.tasks.into(),
        deadline: body
            .deadline_ms
            .map_or(DEFAULT_DEADLINE, Duration::from_millis),
        repeatable: body.repeatable,
        permit: body.permit,
        trace: Some(context.to_string().into()),
    }
}

/// `DELETE /v1/jobs/{id}`: cancels a job.
async fn cancel(req: HttpRequest, id: Path<String>, gateway: State<Rc<Gateway>>) -> HttpResponse {
    let job: JobId = match id.parse() {
        Ok(job) => job,
        Err(e) => return malformed(e),
    };
    let request = gateway.new_request();
    let event = EntryEvent::Cancel(JobRequest {
        request,
        key_sha256: key_hash_of(&req),
        job,
    });
    match gateway.ask(request, event).await {
        Ok(Reply::Cancelled(true)) => HttpResponse::new(StatusCode::ACCEPTED),
        Ok(_) => refused(RefusalReason::UnknownJob),
        Err(_) => unavailable(),
    }
}

/// `GET /v1/jobs/{id}`: returns the progress of a job.
async fn job_state(
    req: HttpRequest,
    id: Path<String>,
    gateway: State<Rc<Gateway>>,
) -> HttpResponse {
    let job: JobId = match id.parse() {
        Ok(job) => job,
        Err(e) => return malformed(e),
    };
    let request = gateway.new_request();
    let event = EntryEvent::JobState(JobRequest {
        request,
        key_sha256: key_hash_of(&req),
        job,
    });
    match gateway.ask(request, event).await {
        Ok(Reply::Progress(Some(progress))) => HttpResponse::Ok().json(&progress),
        Ok(_) => refused(RefusalReason::UnknownJob),
        Err(_) => unavailable(),
    }
}

/// `POST /v1/permits?count=N`: issues permits.
async fn permits(
    req: HttpRequest,
    query: Query<CountQuery>,
    gateway: State<Rc<Gateway>>,
) -> HttpResponse {
    let request = gateway.new_request();
    let event = EntryEvent::MintPermits(PermitRequest {
        request,
        key_sha256: key_hash_of(&req),
        count: query.count,
    });
    match gateway.ask(request, event).await {
        Ok(Reply::Permits(permits)) if permits.is_empty() => refused(RefusalReason::UnknownTeam),
        Ok(Reply::Permits(permits)) => HttpResponse::Ok().json(&permits),
        _ => unavailable(),
    }
}

/// `GET /health`: tells the load balancer whether to send callers to this entry.
async fn health(gateway: State<Rc<Gateway>>) -> HttpResponse {
    let request = gateway.new_request();
    match gateway.ask(request, EntryEvent::Status(request)).await {
        Ok(Reply::Status(status)) if !status.draining && status.config_current => {
            HttpResponse::Ok().body("ready\n")
        }
        _ => HttpResponse::ServiceUnavailable().body("not ready\n"),
    }
}

/// `GET /status` on the operators' address: returns the entry's status.
async fn status(gateway: State<Rc<Gateway>>) -> HttpResponse {
    let request = gateway.new_request();
    match gateway.ask(request, EntryEvent::Status(request)).await {
        Ok(Reply::Status(status)) => HttpResponse::Ok().json(&*status),
        _ => unavailable(),
    }
}

/// `GET /explain/{job}` on the operators' address: returns the history of a job.
async fn explain(id: Path<String>, gateway: State<Rc<Gateway>>) -> HttpResponse {
    let job: JobId = match id.parse() {
        Ok(job) => job,
        Err(e) => return malformed(e),
    };
    let request = gateway.new_request();
    let event = EntryEvent::Explain { request, job };
    match gateway.ask(request, event).await {
        Ok(Reply::Story(Some(story))) => HttpResponse::Ok().json(&story),
        Ok(_) => refused(RefusalReason::UnknownJob),
        Err(_) => unavailable(),
    }
}

async fn metrics(page: State<MetricsPage>) -> String {
    page.render()
}

/// Largest request body in bytes, reported when a body exceeds it.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimit(pub usize);

pub fn caller_routes(cfg: &mut web::ServiceConfig) {
    cfg.service((
        web::resource("/v1/jobs").route(web::post().to(submit)),
        web::resource("/v1/jobs/{id}")
            .route(web::delete().to(cancel))
            .route(web::get().to(job_state)),
        web::resource(PERMITS_PATH).route(web::post().to(permits)),
        web::resource("/health").route(web::get().to(health)),
    ));
}

/// Routes for an entry's operators.
pub fn operator_routes(cfg: &mut web::ServiceConfig) {
    cfg.service((
        web::resource("/status").route(web::get().to(status)),
        web::resource("/explain/{id}").route(web::get().to(explain)),
        web::resource("/metrics").route(web::get().to(metrics)),
    ));
}

/// Routes for an agent's operators.
pub fn agent_routes(cfg: &mut web::ServiceConfig) {
    cfg.service(web::resource("/metrics").route(web::get().to(metrics)));
}
