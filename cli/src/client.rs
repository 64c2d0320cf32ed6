//! HTTP client of the commands.

use std::cell::RefCell;
use std::rc::Rc;

use ntex::client::{Client, ClientResponse, Connector};
use ntex::time::Millis;
use serde::de::DeserializeOwned;
use trestleknot_lib::worker_threads::run_system;

use crate::error::{CliResult, NoAnswerSnafu};

/// Timeout of a request. A job's own deadline passes earlier.
const RESPONSE_TIMEOUT: Millis = Millis(120_000);
/// Largest response body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Runs a future on an ntex system and returns its output.
pub fn block_on<T: 'static>(future: impl Future<Output = T> + 'static) -> T {
    let output = Rc::new(RefCell::new(None));
    let result = output.clone();
    run_system("command", async move {
        *result.borrow_mut() = Some(future.await);
    });
    output.take().expect("the future has completed")
}

/// Creates the client of a command.
pub async fn new_client() -> Client {
    Client::builder()
        .connector::<()>(Connector::new())
        .response_timeout(RESPONSE_TIMEOUT)
        .response_payload_limit(MAX_BODY_BYTES)
        .build(ntex::SharedCfg::default())
        .await
        .expect("a client without TLS can always be built")
}

/// Requests a URL and decodes the JSON response.
pub async fn get_json<T: DeserializeOwned>(client: &Client, url: &str) -> CliResult<T> {
    let sent = client.get(url).send().await;
    let response = sent.or_else(|e| no_answer(url, e.to_string()))?;
    if !response.status().is_success() {
        return no_answer(url, response.status().to_string());
    }
    read_json(url, &response).await
}

/// Decodes the JSON body of a response.
pub async fn read_json<T: DeserializeOwned>(url: &str, response: &ClientResponse) -> CliResult<T> {
    let body = response.body().limit(MAX_BODY_BYTES).await;
    let body = body.or_else(|e| no_answer(url, e.to_string()))?;
    serde_json::from_slice(&body).or_else(|e| no_answer(url, e.to_string()))
}

/// Returns the error for a server that gave no usable answer.
pub fn no_answer<T>(url: &str, cause: String) -> CliResult<T> {
    NoAnswerSnafu { url, cause }.fail()
}
