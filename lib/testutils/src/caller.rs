//! Callers that submit jobs over HTTP in an open loop and record the answers.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ntex::client::{Client, Connector};
use ntex::time::{Millis, Seconds};
use serde::{Deserialize, Serialize};
use serde_json::json;
use trestleknot_lib::http_platform::MAX_CONNECTIONS;
use trestleknot_lib::job::Answer;
use trestleknot_lib::memory_target::TaskScript;

/// Response timeout, longer than any job's deadline.
const RESPONSE_TIMEOUT: Millis = Millis(120_000);
/// Largest response body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// A job to submit at a given time.
#[derive(Debug, Clone)]
pub struct PlannedJob {
    /// Submission time, from the start of the load.
    pub at: Duration,
    /// API key of the team.
    pub key: String,
    /// Kind of the tasks.
    pub kind: String,
    /// Actual run time of each task in milliseconds.
    pub run_ms: Vec<u64>,
    /// Declared run time of each task in milliseconds.
    pub declared_ms: u32,
    /// Deadline in milliseconds.
    pub deadline_ms: u64,
    /// The caller disconnects after this time, if set.
    pub give_up_after: Option<Duration>,
    /// Unique name, part of the task ids.
    pub name: String,
}

impl PlannedJob {
    /// Shortest possible response time on `slots` slots, without the round trip.
    pub fn ideal(&self, slots: u32) -> Duration {
        let longest = self.run_ms.iter().max().copied().unwrap_or(0);
        let total: u64 = self.run_ms.iter().sum();
        Duration::from_millis(longest.max(total / u64::from(slots.max(1))))
    }

    /// Id of a task in the record of starts.
    pub fn task_id(&self, index: usize) -> String {
        format!("{}/{index}", self.name)
    }

    /// Payload of a task. The stand-in target returns it as the result.
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

    /// Whether the answer has every task's own result, in order.
    fn has_own_results(&self, results: &[std::sync::Arc<str>]) -> bool {
        results.len() == self.run_ms.len()
            && results
                .iter()
                .enumerate()
                .all(|(index, result)| **result == *self.payload(index))
    }
}

/// Outcome of a job as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Heard {
    /// Answered with the results of all its tasks.
    Complete,
    /// Answered with missing or foreign results, which is a violation.
    Wrong,
    /// Answered as failed.
    Failed(Answer),
    /// Refused by the entry.
    Refused(Answer),
    /// The connection ended without an answer.
    Nothing,
    /// The caller disconnected before the answer.
    GaveUp,
}

/// A submitted job and its outcome.
#[derive(Debug, Clone)]
pub struct JobRecord {
    /// The submitted job.
    pub job: PlannedJob,
    /// Outcome.
    pub heard: Heard,
    /// Time from the planned submission to the answer; includes any delay in sending.
    pub response: Duration,
    /// Time of the answer, from the start of the load.
    pub answered_at: Duration,
}

/// Chooses the entry's address for the job with the given index.
pub type ChooseAddress = Rc<dyn Fn(usize) -> SocketAddr>;

/// Submits each job at its time without waiting for earlier answers, then waits for all answers.
/// Must run on an ntex system.
pub async fn submit_all(jobs: Vec<PlannedJob>, choose: ChooseAddress) -> Vec<JobRecord> {
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
            let heard = submit_with_limit(&client, address, &job).await;
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

/// Creates an HTTP client that keeps connections alive.
pub async fn new_client() -> Client {
    let connector = Connector::new()
        .limit(MAX_CONNECTIONS)
        .keep_alive(Seconds(30));
    Client::builder()
        .connector::<()>(connector)
        .response_timeout(RESPONSE_TIMEOUT)
        .response_payload_limit(MAX_BODY_BYTES)
        .build(ntex::SharedCfg::default())
        .await
        .expect("a client without TLS can always be built")
}

async fn submit_with_limit(client: &Client, address: SocketAddr, job: &PlannedJob) -> Heard {
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
    let Ok(body) = response.body().limit(MAX_BODY_BYTES).await else {
        return Heard::Nothing;
    };
    match serde_json::from_slice(&body) {
        Ok(Answer::Complete { results, .. }) if job.has_own_results(&results) => Heard::Complete,
        Ok(Answer::Complete { .. }) => Heard::Wrong,
        Ok(answer @ Answer::Failed { .. }) => Heard::Failed(answer),
        Ok(answer @ Answer::Refused { .. }) => Heard::Refused(answer),
        Err(_) => Heard::Nothing,
    }
}
