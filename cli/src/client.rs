//! HTTP requests of the command line, by the ntex client.

use std::cell::RefCell;
use std::rc::Rc;

use ntex::client::{Client, ClientResponse, Connector};
use ntex::time::Millis;
use serde::de::DeserializeOwned;
use trestleknot_lib::worker_threads::run_system;

use crate::error::{CliResult, NoAnswerSnafu};

/// Longest wait for an answer; a job's own deadline ends it before.
const ANSWER_LIMIT: Millis = Millis(120_000);
/// Largest answer read.
const MOST_BODY: usize = 16 << 20;

/// Runs a future on an ntex system and returns what it comes to.
pub fn block_on<T: 'static>(future: impl Future<Output = T> + 'static) -> T {
    let slot = Rc::new(RefCell::new(None));
    let result = slot.clone();
    run_system("command", async move {
        *result.borrow_mut() = Some(future.await);
    });
    slot.take().expect("the future has run to its end")
}

/// A client for one command.
pub async fn new_client() -> Client {
    Client::builder()
        .connector::<()>(Connector::new())
        .response_timeout(ANSWER_LIMIT)
        .response_payload_limit(MOST_BODY)
        .build(ntex::SharedCfg::default())
        .await
        .expect("a client without TLS can always be built")
}

/// Gets JSON from a server.
pub async fn get_json<T: DeserializeOwned>(client: &Client, url: &str) -> CliResult<T> {
    let sent = client.get(url).send().await;
    let response = sent.or_else(|e| no_answer(url, e.to_string()))?;
    if !response.status().is_success() {
        return no_answer(url, response.status().to_string());
    }
    read_json(url, &response).await
}

/// Reads the JSON of a response.
pub async fn read_json<T: DeserializeOwned>(url: &str, response: &ClientResponse) -> CliResult<T> {
    let body = response.body().limit(MOST_BODY).await;
    let body = body.or_else(|e| no_answer(url, e.to_string()))?;
    serde_json::from_slice(&body).or_else(|e| no_answer(url, e.to_string()))
}

/// The error of a server that gave no usable answer.
pub fn no_answer<T>(url: &str, cause: String) -> CliResult<T> {
    NoAnswerSnafu { url, cause }.fail()
}
