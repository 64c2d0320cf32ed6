//! Real daemons on loopback sockets: the HTTP interface, links and graceful shutdown.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::{SinkExt as _, StreamExt as _};
use ntex::client::Client;
use serde_json::{Value, json};
use testutils::caller::new_client;
use testutils::embedded::{Fleet, FleetPlan, SECRET, TeamPlan};
use testutils::stand_ins::{Collector, Placed, Service, StandIns};
use tokio_tungstenite::tungstenite::Message;
use trestleknot_lib::link_auth;
use trestleknot_lib::permit::FleetSecret;
use trestleknot_lib::worker_threads::run_system;

/// Limit after which a hanging test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

fn plan() -> FleetPlan {
    let team = |name: &str| TeamPlan {
        name: name.to_owned(),
        key: format!("{name}-key"),
        quota: 50,
    };
    FleetPlan {
        entries: 2,
        targets: 2,
        slots: 4,
        halls: vec!["hall".to_owned()],
        teams: vec![team("a"), team("b")],
        placement: None,
        otlp_url: None,
    }
}

fn with_fleet<F: Future<Output = ()> + 'static>(f: impl FnOnce(Fleet) -> F + 'static) {
    with_fleet_of(plan(), f);
}

fn with_fleet_of<F: Future<Output = ()> + 'static>(
    plan: FleetPlan,
    f: impl FnOnce(Fleet) -> F + 'static,
) {
    let done = Rc::new(RefCell::new(false));
    let finished = done.clone();
    run_system("test", async move {
        let fleet = Fleet::start(plan).expect("a fleet starts");
        wait_ready(&fleet).await;
        f(fleet).await;
        *finished.borrow_mut() = true;
    });
    assert!(*done.borrow(), "the test ran to its end");
}

async fn wait_ready(fleet: &Fleet) {
    let client = new_client().await;
    for address in fleet.operator_addresses() {
        loop {
            let status = get(&client, &format!("http://{address}/status")).await;
            let live = status["targets"].as_array().map_or(0, Vec::len);
            if live == 2 && status["config_current"] == json!(true) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

async fn get(client: &Client, url: &str) -> Value {
    let response = client.get(url).send().await.expect("an answer");
    let body = response.body().await.expect("a body");
    serde_json::from_slice(&body).expect("JSON")
}

struct JobAnswer {
    status: u16,
    body: Value,
    permit: Option<String>,
}

async fn post(client: &Client, address: SocketAddr, key: &str, body: &Value) -> JobAnswer {
    let request = client
        .post(format!("http://{address}/v1/jobs"))
        .header("authorization", format!("Bearer {key}"));
    let response = request.send_json(body).await.expect("an answer");
    let permit = response.header("x-trestleknot-permit");
    let permit = permit.and_then(|p| p.to_str().ok()).map(str::to_owned);
    let text = response.body().await.expect("a body");
    JobAnswer {
        status: response.status().as_u16(),
        body: serde_json::from_slice(&text).expect("JSON"),
        permit,
    }
}

fn job(run_ms: u64, id: &str) -> Value {
    let payload = json!({ "run_ms": run_ms, "id": id }).to_string();
    json!({ "tasks": [{ "kind": "work", "payload": payload }], "deadline_ms": 10_000 })
}

#[test]
fn test_submit_answers_by_case() {
    with_fleet(|fleet| async move {
        let client = new_client().await;
        let address = fleet.caller_addresses()[0];
        let many: Vec<Value> = (0..51).map(|_| json!({ "kind": "w" })).collect();
        let too_many: Vec<Value> = (0..1_101).map(|_| json!({ "kind": "w" })).collect();
        let cases = [
            ("a-key", job(5, "x"), 200, "complete", ""),
            ("wrong", job(5, "y"), 401, "refused", "unknown_team"),
            ("a-key", json!({ "tasks": [] }), 400, "refused", "malformed"),
            ("a-key", json!({ "tusks": 1 }), 400, "refused", "malformed"),
            (
                "a-key",
                json!({ "tasks": many }),
                429,
                "refused",
                "over_quota",
            ),
            (
                "a-key",
                json!({ "tasks": too_many }),
                413,
                "refused",
                "too_large",
            ),
            (
                "a-key",
                json!({ "tasks": [{ "kind": "w", "accelerators": 9 }] }),
                422,
                "refused",
                "impossible",
            ),
            (
                "a-key",
                json!({ "tasks": [{ "kind": "w", "expected_ms": 9_000 }], "deadline_ms": 100 }),
                503,
                "refused",
                "would_miss_deadline",
            ),
            (
                "a-key",
                json!({ "tasks": [{ "kind": "w" }], "repeatable": false }),
                428,
                "refused",
                "permit_needed",
            ),
            (
                "a-key",
                json!({ "tasks": [{ "kind": "w", "payload": "{\"fail\":true}" }] }),
                500,
                "failed",
                "",
            ),
        ];
        for (key, body, status, kind, why) in cases {
            let answer = post(&client, address, key, &body).await;
            assert_eq!(answer.status, status, "{}", answer.body);
            assert_eq!(answer.body["status"], json!(kind), "{}", answer.body);
            if !why.is_empty() {
                assert_eq!(answer.body["why"], json!(why), "{}", answer.body);
            }
        }
        assert_eq!(fleet.starts.started_twice(), 0);
        fleet.stop();
    });
}

#[test]
fn test_submit_with_permit_to_another_entry_gets_same_answer() {
    with_fleet(|fleet| async move {
        let client = new_client().await;
        let [first, second] = fleet.caller_addresses()[..] else {
            panic!("two entries");
        };
        let request = client
            .post(format!("http://{first}/v1/permits?count=1"))
            .header("authorization", "Bearer a-key");
        let response = request.send().await.expect("an answer");
        let permits: Vec<String> =
            serde_json::from_slice(&response.body().await.expect("a body")).expect("JSON");
        let mut body = job(20, "charge");
        body["repeatable"] = json!(false);
        body["permit"] = json!(permits[0]);
        let answer = post(&client, first, "a-key", &body).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
        assert!(answer.permit.is_some(), "the answer carries a new permit");
        let again = post(&client, second, "a-key", &body).await;
        assert_eq!(again.body, answer.body, "the stored answer");
        let other_team = post(&client, second, "b-key", &body).await;
        assert_eq!(other_team.body["why"], json!("permit_invalid"));
        assert_eq!(fleet.starts.len(), 1);
        assert_eq!(fleet.starts.started_twice(), 0);
        fleet.stop();
    });
}

#[test]
fn test_cancel_only_by_own_team_through_any_entry() {
    with_fleet(|fleet| async move {
        let client = new_client().await;
        let [first, second] = fleet.caller_addresses()[..] else {
            panic!("two entries");
        };
        let submitting = client.clone();
        let long_job = ntex::rt::spawn(async move {
            post(&submitting, first, "a-key", &job(20_000, "long")).await
        });
        let incarnation = fleet.entries[0].daemon.as_ref().map(|d| d.incarnation);
        let id = format!("{:016x}-1", incarnation.expect("it runs"));
        while !fleet.starts.started("long") {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let cancel = async |key: &str| {
            let request = client
                .delete(format!("http://{second}/v1/jobs/{id}"))
                .header("authorization", format!("Bearer {key}"));
            request.send().await.expect("an answer").status().as_u16()
        };
        assert_eq!(cancel("wrong").await, 404);
        // The request is forwarded, but the entry that holds the job checks its team.
        cancel("b-key").await;
        let state = client
            .get(format!("http://{first}/v1/jobs/{id}"))
            .header("authorization", "Bearer a-key");
        let state = state.send().await.expect("an answer");
        assert_eq!(state.status().as_u16(), 200, "still there");
        assert_eq!(cancel("a-key").await, 202);
        let answer = tokio::time::timeout(TEST_TIMEOUT, long_job)
            .await
            .expect("no hang");
        let answer = answer.expect("it ran");
        assert_eq!(
            answer.body["reason"]["why"],
            json!("cancelled"),
            "{}",
            answer.body
        );
        fleet.stop();
    });
}

#[test]
fn test_drain_cuts_off_nothing_in_flight() {
    with_fleet(|fleet| async move {
        let client = new_client().await;
        let address = fleet.caller_addresses()[0];
        let submitting = client.clone();
        let running = ntex::rt::spawn(async move {
            post(&submitting, address, "a-key", &job(600, "in-flight")).await
        });
        while !fleet.starts.started("in-flight") {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let daemon = fleet.entries[0].daemon.as_ref().expect("it runs");
        daemon.drain();
        let late = post(&client, address, "a-key", &job(5, "late")).await;
        assert_eq!(late.body["why"], json!("stopping"), "{}", late.body);
        let answer = tokio::time::timeout(TEST_TIMEOUT, running)
            .await
            .expect("no hang");
        assert_eq!(answer.expect("it ran").status, 200);
        assert!(!fleet.starts.started("late"));
        fleet.stop();
    });
}

#[test]
fn test_links_unauthenticated_peer_gets_no_answer() {
    with_fleet(|fleet| async move {
        let daemon = fleet.entries[0].daemon.as_ref().expect("it runs");
        let agent_address = daemon.agent_address;
        let unauthenticated = ntex::rt::spawn(async move {
            let stream = tokio::net::TcpStream::connect(agent_address)
                .await
                .expect("connects");
            let url = format!("ws://{agent_address}/agent");
            let (mut socket, _) = tokio_tungstenite::client_async(url, stream)
                .await
                .expect("upgrades");
            let nonce = socket.next().await;
            assert!(matches!(nonce, Some(Ok(Message::Binary(_)))));
            let guess = Message::Binary(vec![0; 48].into());
            socket.send(guess).await.expect("sent");
            // The entry may only close the connection.
            while let Some(Ok(message)) = socket.next().await {
                assert!(!message.is_binary(), "an unauthenticated peer was answered");
            }
        });
        tokio::time::timeout(TEST_TIMEOUT, unauthenticated)
            .await
            .expect("no hang")
            .expect("it ran");
        let client = new_client().await;
        let answer = post(
            &client,
            fleet.caller_addresses()[0],
            "a-key",
            &job(5, "after"),
        )
        .await;
        assert_eq!(answer.status, 200, "other callers are still served");
        fleet.stop();
    });
}

#[test]
fn test_links_malformed_frame_closes_that_session_only() {
    with_fleet(|fleet| async move {
        let daemon = fleet.entries[0].daemon.as_ref().expect("it runs");
        let agent_address = daemon.agent_address;
        let misbehaving = ntex::rt::spawn(async move {
            let stream = tokio::net::TcpStream::connect(agent_address)
                .await
                .expect("connects");
            let url = format!("ws://{agent_address}/agent");
            let dialled = tokio_tungstenite::client_async(url, stream).await;
            let (mut socket, _) = dialled.expect("upgrades");
            let secret = FleetSecret::new(SECRET);
            link_auth::dial(&mut socket, &secret).await.expect("proved");
            let garbage = Message::Binary(vec![0xff; 100].into());
            socket.send(garbage).await.expect("sent");
            while let Some(Ok(_)) = socket.next().await {}
        });
        // The task ends only when the entry closes the session.
        let ended = tokio::time::timeout(TEST_TIMEOUT, misbehaving).await;
        ended.expect("no hang").expect("it ran");
        let client = new_client().await;
        let address = fleet.caller_addresses()[0];
        let answer = post(&client, address, "a-key", &job(5, "after")).await;
        assert_eq!(answer.status, 200, "the other sessions stay open");
        fleet.stop();
    });
}

#[test]
fn test_spans_of_entry_and_agent_reach_the_collector() {
    let collector = Collector::default();
    let placed = Placed {
        service: Service::Collector(collector.clone()),
        listen: "127.0.0.1:0".parse().expect("an address"),
    };
    let stand_ins = StandIns::start(vec![placed]).expect("it starts");
    let plan = FleetPlan {
        otlp_url: Some(stand_ins.url(0)),
        ..plan()
    };
    with_fleet_of(plan, |fleet| async move {
        let client = new_client().await;
        let address = fleet.caller_addresses()[0];
        let answer = post(&client, address, "a-key", &job(5, "traced")).await;
        assert_eq!(answer.status, 200);
        // Spans are flushed at the latest when the daemons stop.
        fleet.stop();
    });
    for name in ["entry-0", "target-", "agent"] {
        assert!(collector.has(name), "{name}");
    }
}

#[test]
fn test_daemon_holds_no_io_uring() {
    with_fleet(|fleet| async move {
        let descriptors = std::fs::read_dir("/proc/self/fd").expect("Linux");
        let uses_ring = descriptors
            .filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok())
            .any(|path| path.to_string_lossy().contains("io_uring"));
        assert!(!uses_ring);
        fleet.stop();
    });
}
