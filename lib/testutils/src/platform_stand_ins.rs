//! Stand-ins that speak the platform's protocol over HTTP: its store and its targets, with faults
//! that can be set while they run.

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
use trestleknot_lib::run_event::{RenewalAnswer, StartAnswer};
use trestleknot_lib::worker_threads::{run_system, spawn};

use crate::run_target::{RunTarget, StartRequest};

/// How often waiting calls look again.
const LOOK_EVERY: Duration = Duration::from_millis(4);
/// How long a silent stand-in keeps a connection open.
const SILENCE: Duration = Duration::from_secs(20);

/// How calls to a stand-in go wrong.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// They don't.
    #[default]
    None,
    /// Answered with this status; nothing is done.
    Status(u16),
    /// Nothing is done, and no answer comes.
    Silent,
    /// It is done, and no answer comes.
    LostAnswer,
    /// Answered after this pause.
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
    /// Offset of the first record that is kept.
    first: u64,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

/// The newest record of a key: topic, key, value.
type Newest = (String, String, Vec<u8>);

/// The store. Clones share it.
#[derive(Clone, Default)]
pub struct StoreStandIn {
    topics: Arc<Mutex<Vec<Topic>>>,
    newest: Arc<Mutex<Vec<Newest>>>,
    fault: Arc<Mutex<Fault>>,
    calls: Arc<Mutex<u64>>,
}

impl StoreStandIn {
    /// Sets what goes wrong.
    pub fn set_fault(&self, fault: Fault) {
        *lock(&self.fault) = fault;
    }

    /// Calls so far.
    pub fn calls(&self) -> u64 {
        *lock(&self.calls)
    }

    /// An operator publishes a configuration.
    pub fn publish(&self, table: &QueueTable) {
        let value = stand_in_format::encode_config(table).into_bytes();
        self.append(names::OPERATOR_TOPIC, names::CONFIG_KEY, value);
    }

    /// An operator writes anything under a key.
    pub fn publish_raw(&self, key: &str, value: &[u8]) {
        self.append(names::OPERATOR_TOPIC, key, value.to_vec());
    }

    /// An operator evacuates a data hall.
    pub fn evacuate(&self, hall: &str) {
        let key = format!("{}{hall}", names::EVACUATION_KEY);
        self.append(names::OPERATOR_TOPIC, &key, b"{}".to_vec());
    }

    /// An operator takes a data hall back.
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

    /// Drops all records; the newest of each key stay readable as such.
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
        Some(stand_in_format::encode_newest(&items, found.end()))
    }

    /// Records from an offset on; an error names the first offset kept.
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

/// A target. Clones share it.
#[derive(Clone)]
pub struct TargetStandIn {
    target: Arc<Mutex<RunTarget>>,
    fault: Arc<Mutex<Fault>>,
    origin: Instant,
}

impl TargetStandIn {
    /// A target that counts time from `origin`, so that the records of several can be compared.
    pub fn new(origin: Instant, target: RunTarget) -> Self {
        Self {
            target: Arc::new(Mutex::new(target)),
            fault: Arc::default(),
            origin,
        }
    }

    /// Sets what goes wrong with orders.
    pub fn set_fault(&self, fault: Fault) {
        *lock(&self.fault) = fault;
    }

    /// The target, brought up to now.
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

    async fn serve(&self, path: &str, life: Option<Arc<str>>, body: &[u8]) -> HttpResponse {
        let answer = match path {
            names::START => self.start(life, body),
            names::STOP => self.stop(life.as_deref(), body),
            names::RENEW => self.renew(life, body).await,
            _ => Ok(Some((404, String::new()))),
        };
        match answer {
            Ok(Some((status, body))) => respond(status, body),
            Ok(None) => silence().await,
            Err(cause) => respond(400, cause),
        }
    }

    fn start(&self, life: Option<Arc<str>>, body: &[u8]) -> Served {
        let order = OrderBody::decode(body)?;
        let request = StartRequest {
            key: order.key()?,
            payload: order.payload.into(),
            until: order.lease_until,
            token: order.token,
            life,
            is_late: false,
        };
        let now = self.now();
        let answer = lock(&self.target).start(now, &request);
        Ok(stand_in_format::encode_start_answer(&answer))
    }

    fn stop(&self, life: Option<&str>, body: &[u8]) -> Served {
        let order = OrderBody::decode(body)?;
        let now = self.now();
        lock(&self.target).stop(now, order.key()?, order.token, life);
        let clock = now.as_millis() as u64;
        Ok(stand_in_format::encode_start_answer(
            &StartAnswer::Started { clock },
        ))
    }

    async fn renew(&self, life: Option<Arc<str>>, body: &[u8]) -> Served {
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
                    life.as_deref(),
                )
            };
            let waits = matches!(&answer, RenewalAnswer::Lists { ended, .. } if ended.is_empty());
            if !waits || now >= until {
                return Ok(stand_in_format::encode_renewal_answer(&answer));
            }
            ntex::time::sleep(LOOK_EVERY).await;
        }
    }
}

type Served = Result<Option<(u16, String)>, String>;

fn respond(status: u16, body: impl Into<Bytes>) -> HttpResponse {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    HttpResponse::build(status).body(body.into())
}

async fn silence() -> HttpResponse {
    ntex::time::sleep(SILENCE).await;
    HttpResponse::InternalServerError().finish()
}

/// A value of the query; it holds no escapes.
fn query<'a>(req: &'a HttpRequest, name: &str) -> Option<&'a str> {
    let pairs = req.query_string().split('&');
    let mut pairs = pairs.filter_map(|p| p.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

fn number(req: &HttpRequest, name: &str) -> u64 {
    query(req, name).and_then(|v| v.parse().ok()).unwrap_or(0)
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
    let topic = query(req, "topic").unwrap_or_default();
    match (req.method(), req.path()) {
        (&Method::GET, names::LOG_NEWEST) => match store.newest_of(topic) {
            Some(body) => respond(200, body),
            None => respond(404, ""),
        },
        (&Method::GET, names::LOG_READ) => {
            let until = Instant::now() + Duration::from_millis(number(req, names::WAIT));
            loop {
                match store.read(topic, number(req, "from")) {
                    Err(_) => return respond(410, ""),
                    Ok(Some(body)) => return respond(200, body),
                    Ok(None) if Instant::now() >= until => {
                        let end = number(req, "from");
                        return respond(200, stand_in_format::encode_read(end, 0, &[]));
                    }
                    Ok(None) => ntex::time::sleep(LOOK_EVERY).await,
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
    let life = req.headers().get(names::EXPECT_LIFE);
    let life = life.and_then(|h| h.to_str().ok()).map(Arc::from);
    match fault {
        Fault::Status(status) => return respond(status, ""),
        Fault::Silent => return silence().await,
        Fault::Slow(pause) => ntex::time::sleep(pause).await,
        Fault::None | Fault::LostAnswer => {}
    }
    let is_mute = lock(&target.target).trouble.is_mute;
    let response = target.serve(req.path(), life, &body).await;
    if fault == Fault::LostAnswer || is_mute {
        return silence().await;
    }
    response
}

/// What stands in.
pub enum StandIn {
    /// The store.
    Store(StoreStandIn),
    /// A target.
    Target(TargetStandIn),
}

/// A running stand-in.
pub struct Running {
    end: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// Starts a stand-in on an address.
pub fn start(address: SocketAddr, stand_in: StandIn) -> io::Result<Running> {
    let listener = TcpListener::bind(address)?;
    let (end, ended) = oneshot::channel();
    let thread = spawn("stand-in", move || {
        run_system("stand-in", async move {
            if let Ok(server) = serve(listener, stand_in) {
                let _ = ended.await;
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
