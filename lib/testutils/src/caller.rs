//! Callers: submit jobs over HTTP in an open loop and keep what they hear.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ntex::client::{Client, Connector};
use ntex::time::{Millis, Seconds};
use serde::{Deserialize, Serialize};
use serde_json::json;
use trestleknot_lib::http_platform::MOST_CONNECTIONS;
use trestleknot_lib::job::Answer;
use trestleknot_lib::memory_target::TaskScript;

/// Longest wait for an answer, beyond every deadline.
const ANSWER_LIMIT: Millis = Millis(120_000);
/// Largest answer read.
const MOST_BODY: usize = 16 << 20;

/// A job to submit at a time.
#[derive(Debug, Clone)]
pub struct PlannedJob {
    /// When, counted from the start of the load.
    pub at: Duration,
    /// Key of its team.
    pub key: String,
    /// Kind of its tasks.
    pub kind: String,
    /// Real run times of its tasks in milliseconds.
    pub run_ms: Vec<u64>,
    /// Declared run time of each task in milliseconds.
    pub declared_ms: u32,
    /// Deadline in milliseconds.
    pub deadline_ms: u64,
    /// Whether to give it up after this: the caller goes away.
    pub give_up_after: Option<Duration>,
    /// Distinguishes its tasks from all others.
    pub name: String,
}

impl PlannedJob {
    /// The fastest that it could be answered with so many slots, the round trip left out.
    pub fn ideal(&self, slots: u32) -> Duration {
        let longest = self.run_ms.iter().max().copied().unwrap_or(0);
        let total: u64 = self.run_ms.iter().sum();
        Duration::from_millis(longest.max(total / u64::from(slots.max(1))))
    }

    /// Name of a task in the record of starts.
    pub fn task_id(&self, index: usize) -> String {
        format!("{}/{index}", self.name)
    }

    /// Payload of a task, which the stand-in target answers with.
    fn payload(&self, index: usize) -> String {
        let script = TaskScript {
            run_ms: self.run_ms[index],
            fail: false,
            id: self.task_id(index),
        };
        serde_json::to_string(&script).expect("a script can be written")
    }

    fn body(&self) -> serde_json::Value {
        let tasks: Vec<serde_json::Value> = (0..self.run_ms.len())
            .map(|index| {
                json!({
                    "kind": self.kind,
                    "payload": self.payload(index),
                    "expected_ms": self.declared_ms,
                })
            })
            .collect();
        json!({ "tasks": tasks, "deadline_ms": self.deadline_ms })
    }

    /// Whether an answer is whole and its own: every result is that of the task in its place.
    fn owns(&self, results: &[std::sync::Arc<str>]) -> bool {
        results.len() == self.run_ms.len()
            && results
                .iter()
                .enumerate()
                .all(|(index, result)| **result == *self.payload(index))
    }
}

/// What a caller heard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Heard {
    /// The whole answer to its own request.
    Complete,
    /// An answer that is not whole or not its own: a broken promise.
    Wrong,
    /// Failed.
    Failed(Answer),
    /// Refused.
    Refused(Answer),
    /// The connection ended without an answer.
    Nothing,
    /// It went away itself.
    GaveUp,
}

/// A submitted job and what came of it.
#[derive(Debug, Clone)]
pub struct JobRecord {
    /// The job.
    pub job: PlannedJob,
    /// What was heard.
    pub heard: Heard,
    /// From the planned time to the answer, so that waiting to be sent is not hidden.
    pub response: Duration,
    /// When it was answered, from the start of the load.
    pub answered_at: Duration,
}

/// Where to send the next job.
pub type Choose = Rc<dyn Fn(usize) -> SocketAddr>;

/// Submits jobs at their times, whatever becomes of earlier ones, and waits for all answers.
/// Must run on an ntex system.
pub async fn submit_all(jobs: Vec<PlannedJob>, choose: Choose) -> Vec<JobRecord> {
    let client = new_client().await;
    let began = Instant::now();
    let records = Rc::new(RefCell::new(Vec::with_capacity(jobs.len())));
    let mut handles = Vec::with_capacity(jobs.len());
    for (index, job) in jobs.into_iter().enumerate() {
        let wait = job.at.saturating_sub(began.elapsed());
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        let address = choose(index);
        let client = client.clone();
        let records = records.clone();
        handles.push(ntex::rt::spawn(async move {
            let heard = submit_or_give_up(&client, address, &job).await;
            let answered_at = began.elapsed();
            records.borrow_mut().push(JobRecord {
                response: answered_at.saturating_sub(job.at),
                answered_at,
                job,
                heard,
            });
        }));
    }
    for handle in handles {
        let _ = handle.await;
    }
    records.take()
}

/// A client that keeps its connections.
pub async fn new_client() -> Client {
    let connector = Connector::new()
        .limit(MOST_CONNECTIONS)
        .keep_alive(Seconds(30));
    Client::builder()
        .connector::<()>(connector)
        .response_timeout(ANSWER_LIMIT)
        .response_payload_limit(MOST_BODY)
        .build(ntex::SharedCfg::default())
        .await
        .expect("a client without TLS can always be built")
}

async fn submit_or_give_up(client: &Client, address: SocketAddr, job: &PlannedJob) -> Heard {
    let submission = submit(client, address, job);
    match job.give_up_after {
        None => submission.await,
        Some(limit) => tokio::time::timeout(limit, submission)
            .await
            .unwrap_or(Heard::GaveUp),
    }
}

async fn submit(client: &Client, address: SocketAddr, job: &PlannedJob) -> Heard {
    let request = client
        .post(format!("http://{address}/v1/jobs"))
        .header("authorization", format!("Bearer {}", job.key));
    let Ok(response) = request.send_json(&job.body()).await else {
        return Heard::Nothing;
    };
    let Ok(body) = response.body().limit(MOST_BODY).await else {
        return Heard::Nothing;
    };
    match serde_json::from_slice(&body) {
        Ok(Answer::Complete { results, .. }) if job.owns(&results) => Heard::Complete,
        Ok(Answer::Complete { .. }) => Heard::Wrong,
        Ok(answer @ Answer::Failed { .. }) => Heard::Failed(answer),
        Ok(answer @ Answer::Refused { .. }) => Heard::Refused(answer),
        Err(_) => Heard::Nothing,
    }
}
