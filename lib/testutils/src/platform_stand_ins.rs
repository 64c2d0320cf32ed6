//! HTTP stand-ins for the platform's store and targets, with faults that can be set at run time.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use ntex::http::{Method, StatusCode};
use ntex::util::Bytes;
use ntex::web::types::State;
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer};
use platform::names;
use platform::stand_in_format::{self, OrderBody, RenewalBody};
use platform::store_format::split_records;
use tokio::sync::oneshot;
use trestleknot_lib::ids::Now;
use trestleknot_lib::queue::QueueTable;
use trestleknot_lib::resources::Resources;
use trestleknot_lib::run_event::{RenewalAnswer, StartAnswer};
use trestleknot_lib::target_incarnation::TargetIncarnation;
use trestleknot_lib::worker_threads::{run_system, spawn};

use crate::run_target::{RunTarget, StartRequest};

/// Interval at which a waiting call checks for news.
const POLL_INTERVAL: Duration = Duration::from_millis(4);
/// Time for which a silent stand-in keeps a connection open.
const SILENCE_DURATION: Duration = Duration::from_secs(20);

/// Fault that a stand-in applies to calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Calls have no effect and get this status.
    Status(u16),
    /// Calls have no effect and get no answer.
    Silent,
    /// Calls take effect and get no answer.
    LostAnswer,
    /// Calls are processed after this delay.
    Slow(Duration),
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A keyed topic of the store.
#[derive(Debug, Default)]
struct Topic {
    name: String,
    records: Vec<(String, Vec<u8>)>,
    /// Offset of the first retained record.
    first: u64,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

/// Newest record of a key: topic, key and value.
type NewestRecord = (String, String, Vec<u8>);

/// Stand-in for the store. Clones share the data.
#[derive(Clone, Default)]
pub struct StoreStandIn {
    topics: Arc<Mutex<Vec<Topic>>>,
    newest: Arc<Mutex<Vec<NewestRecord>>>,
    odd_records: Arc<Mutex<Vec<String>>>,
    fault: Arc<Mutex<Fault>>,
    calls: Arc<Mutex<u64>>,
}

impl StoreStandIn {
    /// Sets the fault for all calls.
    pub fn set_fault(&self, fault: Fault) {
        *lock(&self.fault) = fault;
    }

    /// Number of calls so far.
    pub fn calls(&self) -> u64 {
        *lock(&self.calls)
    }

    /// Leaves records of another writer, as raw JSON, among the newest of every topic.
    pub fn leave_odd_records(&self, records: Vec<String>) {
        *lock(&self.odd_records) = records;
    }

    /// Publishes a configuration, as an operator does.
    pub fn publish(&self, table: &QueueTable) {
        let value = stand_in_format::encode_config(table).into_bytes();
        self.append(names::OPERATOR_TOPIC, names::CONFIG_KEY, value);
    }

    /// Writes any value under a key of the operators' topic.
    pub fn publish_raw(&self, key: &str, value: &[u8]) {
        self.append(names::OPERATOR_TOPIC, key, value.to_vec());
    }

    /// Evacuates a data hall, as an operator does.
    pub fn evacuate(&self, hall: &str) {
        let key = format!("{}{hall}", names::EVACUATION_KEY);
        self.append(names::OPERATOR_TOPIC, &key, b"{}".to_vec());
    }

    /// Withdraws the evacuation of a data hall, as an operator does.
    pub fn give_back(&self, hall: &str) {
        let key = format!("{}{hall}", names::EVACUATION_KEY);
        self.append(names::OPERATOR_TOPIC, &key, Vec::new());
    }

    fn append(&self, topic: &str, key: &str, value: Vec<u8>) {
        let mut newest = lock(&self.newest);
        newest.retain(|(t, k, _)| t != topic || k != key);
        if !value.is_empty() {
            newest.push((topic.to_owned(), key.to_owned(), value.clone()));
        }
        let mut topics = lock(&self.topics);
        if !topics.iter().any(|t| t.name == topic) {
            topics.push(Topic {
                name: topic.to_owned(),
                ..Topic::default()
            });
        }
        let found = topics.iter_mut().find(|t| t.name == topic);
        if let Some(found) = found {
            found.records.push((key.to_owned(), value));
        }
    }

    /// Drops all records. The newest of each key can still be read with a newest call.
    pub fn trim(&self) {
        for topic in lock(&self.topics).iter_mut() {
            topic.first = topic.end();
            topic.records.clear();
        }
    }

    fn newest_of(&self, topic: &str) -> Option<String> {
        let newest = lock(&self.newest);
        let items = newest.iter().filter(|(t, ..)| t == topic);
        let items: Vec<(String, Vec<u8>)> = items.map(|(_, k, v)| (k.clone(), v.clone())).collect();
        let topics = lock(&self.topics);
        let found = topics.iter().find(|t| t.name == topic)?;
        Some(stand_in_format::encode_newest_among(
            &items,
            &lock(&self.odd_records),
            found.end(),
        ))
    }

    /// Records from `from` on. Fails with the first retained offset if `from` precedes it.
    fn read(&self, topic: &str, from: u64) -> Result<Option<Vec<u8>>, u64> {
        let topics = lock(&self.topics);
        let Some(found) = topics.iter().find(|t| t.name == topic) else {
            return Ok(None);
        };
        if from < found.first {
            return Err(found.first);
        }
        let skip = (from - found.first) as usize;
        let records = found.records.get(skip..).unwrap_or_default();
        if records.is_empty() {
            return Ok(None);
        }
        let body = stand_in_format::encode_read(found.end(), found.first, records);
        Ok(Some(body))
    }
}

/// Stand-in for a target. Clones share the state.
#[derive(Clone)]
pub struct TargetStandIn {
    target: Arc<Mutex<RunTarget>>,
    fault: Arc<Mutex<Fault>>,
    /// The incarnation that accepted each connection, by the caller's address.
    accepted_by: Arc<Mutex<BTreeMap<SocketAddr, TargetIncarnation>>>,
    /// Until when it takes calls but sends no reports.
    unreported_until: Arc<Mutex<Now>>,
    origin: Instant,
}

impl TargetStandIn {
    /// Creates a target that counts time from `origin`. Targets with the same origin have comparable
    /// records.
    pub fn new(origin: Instant, target: RunTarget) -> Self {
        Self {
            target: Arc::new(Mutex::new(target)),
            fault: Arc::default(),
            accepted_by: Arc::default(),
            unreported_until: Arc::default(),
            origin,
        }
    }

    /// Begins its next incarnation under the same name, which first reports after this time.
    pub fn restart_unreported(&self, capacity: Resources, unreported: Duration) {
        let now = self.now();
        *lock(&self.unreported_until) = now + unreported;
        let mut target = self.target();
        target.capacity = capacity;
        target.restart(now);
    }

    /// Whether it sends reports.
    pub fn reports(&self) -> bool {
        *lock(&self.unreported_until) <= self.now()
    }

    /// Whether a connection from this address was accepted by an incarnation that has ended. Its process
    /// would have closed the connection.
    fn is_from_former(&self, caller: SocketAddr) -> bool {
        let present = lock(&self.target).life();
        let mut accepted_by = lock(&self.accepted_by);
        let is_former = *accepted_by.entry(caller).or_insert(present.clone()) != present;
        if is_former {
            // The connection is closed, and another one may come from this address.
            accepted_by.remove(&caller);
        }
        is_former
    }

    /// Sets the fault for orders.
    pub fn set_fault(&self, fault: Fault) {
        *lock(&self.fault) = fault;
    }

    /// The target, advanced to the present time.
    pub fn target(&self) -> MutexGuard<'_, RunTarget> {
        let now = self.now();
        let mut target = lock(&self.target);
        target.advance(now);
        target
    }

    /// Time since the origin.
    pub fn now(&self) -> Now {
        self.origin.elapsed()
    }

    async fn serve(&self, path: &str, target_name: Option<Arc<str>>, body: &[u8]) -> HttpResponse {
        let answer = match path {
            names::START => self.start(target_name, body),
            names::STOP => self.stop(target_name.as_deref(), body),
            names::RENEW => self.renew(target_name, body).await,
            _ => Ok(Some((404, String::new()))),
        };
        match answer {
            Ok(Some((status, body))) => respond(status, body),
            Ok(None) => silence().await,
            Err(cause) => respond(400, cause),
        }
    }

    fn start(&self, target_name: Option<Arc<str>>, body: &[u8]) -> OrderResult {
        let order = OrderBody::decode(body)?;
        let request = StartRequest {
            key: order.key()?,
            payload: order.payload.into(),
            until: order.lease_until,
            token: order.token,
            life: target_name,
            born: None,
            is_late: false,
        };
        let now = self.now();
        let answer = lock(&self.target).start(now, &request);
        Ok(stand_in_format::encode_start_answer(&answer))
    }

    fn stop(&self, target_name: Option<&str>, body: &[u8]) -> OrderResult {
        let order = OrderBody::decode(body)?;
        let now = self.now();
        lock(&self.target).stop(now, order.key()?, order.token, target_name);
        let clock = now.as_millis() as u64;
        Ok(stand_in_format::encode_start_answer(
            &StartAnswer::Started { clock },
        ))
    }

    async fn renew(&self, target_name: Option<Arc<str>>, body: &[u8]) -> OrderResult {
        let order = RenewalBody::decode(body)?;
        let until = self.now() + Duration::from_millis(order.wait_ms);
        let mut lease = order.lease_until;
        loop {
            let now = self.now();
            let answer = {
                let mut target = lock(&self.target);
                target.renew(
                    now,
                    order.token,
                    lease.take(),
                    order.last_seen,
                    target_name.as_deref(),
                )
            };
            let is_pending =
                matches!(&answer, RenewalAnswer::Lists { ended, .. } if ended.is_empty());
            if !is_pending || now >= until {
                return Ok(stand_in_format::encode_renewal_answer(&answer));
            }
            ntex::time::sleep(POLL_INTERVAL).await;
        }
    }
}

type OrderResult = Result<Option<(u16, String)>, String>;

fn respond(status: u16, body: impl Into<Bytes>) -> HttpResponse {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    HttpResponse::build(status).body(body.into())
}

async fn silence() -> HttpResponse {
    ntex::time::sleep(SILENCE_DURATION).await;
    HttpResponse::InternalServerError().finish()
}

/// Value of a query parameter, without percent-decoding.
fn query_value<'a>(req: &'a HttpRequest, name: &str) -> Option<&'a str> {
    let pairs = req.query_string().split('&');
    let mut pairs = pairs.filter_map(|p| p.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

fn query_number(req: &HttpRequest, name: &str) -> u64 {
    query_value(req, name)
        .and_then(|v| v.parse().ok())
        .unwrap_or(0)
}

async fn serve_store(req: HttpRequest, body: Bytes, store: State<StoreStandIn>) -> HttpResponse {
    *lock(&store.calls) += 1;
    let fault = *lock(&store.fault);
    match fault {
        Fault::Status(status) => return respond(status, ""),
        Fault::Silent => return silence().await,
        Fault::Slow(pause) => ntex::time::sleep(pause).await,
        Fault::None | Fault::LostAnswer => {}
    }
    let response = answer_store(&req, &body, &store).await;
    if fault == Fault::LostAnswer {
        return silence().await;
    }
    response
}

async fn answer_store(req: &HttpRequest, body: &[u8], store: &StoreStandIn) -> HttpResponse {
    let topic = query_value(req, "topic").unwrap_or_default();
    match (req.method(), req.path()) {
        (&Method::GET, names::LOG_NEWEST) => match store.newest_of(topic) {
            Some(body) => respond(200, body),
            None => respond(404, ""),
        },
        (&Method::GET, names::LOG_READ) => {
            let until = Instant::now() + Duration::from_millis(query_number(req, names::WAIT));
            loop {
                match store.read(topic, query_number(req, "from")) {
                    Err(_) => return respond(410, ""),
                    Ok(Some(body)) => return respond(200, body),
                    Ok(None) if Instant::now() >= until => {
                        let end = query_number(req, "from");
                        return respond(200, stand_in_format::encode_read(end, 0, &[]));
                    }
                    Ok(None) => ntex::time::sleep(POLL_INTERVAL).await,
                }
            }
        }
        (&Method::POST, names::LOG_APPEND) => {
            let padded = [&[0; 16], body].concat();
            let Some(records) = split_records(&padded) else {
                return respond(400, "records are cut short");
            };
            for record in records {
                let Ok(record) = record else {
                    return respond(400, "a record can't be read");
                };
                let key = String::from_utf8_lossy(record.key);
                store.append(topic, &key, record.value.to_vec());
            }
            respond(200, "{\"offset\":0,\"end\":1}")
        }
        _ => respond(404, ""),
    }
}

async fn serve_target(req: HttpRequest, body: Bytes, target: State<TargetStandIn>) -> HttpResponse {
    let fault = *lock(&target.fault);
    let target_name = req.headers().get(names::EXPECT_INCARNATION);
    let target_name = target_name.and_then(|h| h.to_str().ok()).map(Arc::from);
    if req
        .peer_addr()
        .is_some_and(|caller| target.is_from_former(caller))
    {
        return HttpResponse::InternalServerError().force_close().finish();
    }
    match fault {
        Fault::Status(status) => return respond(status, ""),
        Fault::Silent => return silence().await,
        Fault::Slow(pause) => ntex::time::sleep(pause).await,
        Fault::None | Fault::LostAnswer => {}
    }
    let is_mute = lock(&target.target).trouble.is_mute;
    let response = target.serve(req.path(), target_name, &body).await;
    if fault == Fault::LostAnswer || is_mute {
        return silence().await;
    }
    response
}

/// Service that a stand-in provides.
pub enum StandIn {
    Store(StoreStandIn),
    Target(TargetStandIn),
}

/// A running stand-in. Dropping it stops the server.
pub struct Running {
    end: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// Starts a stand-in on `address`.
pub fn start(address: SocketAddr, stand_in: StandIn) -> io::Result<Running> {
    let listener = TcpListener::bind(address)?;
    let (end, end_rx) = oneshot::channel();
    let thread = spawn("stand-in", move || {
        run_system("stand-in", async move {
            if let Ok(server) = serve(listener, stand_in) {
                let _ = end_rx.await;
                server.stop(false).await;
            }
        });
    })?;
    Ok(Running {
        end: Some(end),
        thread: Some(thread),
    })
}

fn serve(listener: TcpListener, stand_in: StandIn) -> io::Result<ntex::server::Server> {
    let server = match stand_in {
        StandIn::Store(store) => HttpServer::new(async move || {
            let app = App::new().state(store.clone());
            app.default_service(web::to(serve_store))
        })
        .workers(1)
        .disable_signals()
        .listen(listener)?
        .run(),
        StandIn::Target(target) => HttpServer::new(async move || {
            let app = App::new().state(target.clone());
            app.default_service(web::to(serve_target))
        })
        .workers(1)
        .disable_signals()
        .listen(listener)?
        .run(),
    };
    Ok(server)
}

impl Drop for Running {
    fn drop(&mut self) {
        drop(self.end.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
