//! End-to-end tests of the real programs as processes, with stand-ins for the platform.

use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

use platform::client::PlatformClient;
use platform::names;
use testutils::platform_stand_ins::Fault;
use testutils::process_fleet::{self, HOST, PREFIX, ProcessFleet, Role, Signal};
use testutils::target_reports::{Misheard, report_forever};
use trestleknot_lib::run::RunEnd;
use trestleknot_lib::worker_threads::run_system;

const PROGRAM: &str = env!("CARGO_BIN_EXE_trestleknot");
/// Deadline of callers.
const CALLER_DEADLINE: Duration = Duration::from_millis(6_000);

/// Working folder of a test, in the build tree.
fn folder(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("platform-{name}-{}", std::process::id()))
}

/// Runs a test on a fleet once all entries are ready.
fn with_fleet<F>(name: &'static str, network: u8, entries: usize, agents: usize, test: F)
where
    F: AsyncFnOnce(&mut ProcessFleet) + 'static,
{
    let folder = folder(name);
    let fleet = ProcessFleet::start(Path::new(PROGRAM), &folder, network, entries, agents);
    let mut fleet = fleet.expect("a fleet on loopback addresses");
    run_system(name, async move {
        let accepted_unreadable = Misheard::default();
        let (targets, agents) = (fleet.targets.clone(), fleet.agent_addresses());
        ntex::rt::spawn(report_forever(targets, agents, accepted_unreadable.clone()));
        let addresses: Vec<_> = (0..entries).map(|i| fleet.entry_address(i)).collect();
        let is_ready = process_fleet::await_ready(&addresses, Duration::from_secs(10)).await;
        assert!(is_ready, "not ready: {}", fleet.log(0));
        test(&mut fleet).await;
        assert_eq!(
            accepted_unreadable.get(),
            0,
            "reports that can't be read were acknowledged"
        );
    });
    let _ = std::fs::remove_dir_all(folder);
}

async fn client(fleet: &ProcessFleet, entry: usize) -> PlatformClient {
    PlatformClient::new(&fleet.entry_address(entry).to_string()).await
}

async fn submit(
    client: &PlatformClient,
    id: u64,
    count: u32,
    work_ms: u64,
) -> Option<(u16, String)> {
    process_fleet::submit(client, id, count, work_ms, CALLER_DEADLINE).await
}

fn succeeded() -> Option<(u16, String)> {
    Some((200, "{\"state\":\"succeeded\"}".to_owned()))
}

#[test]
fn test_serve_batch_is_answered_and_explained() {
    with_fleet("calm", 61, 2, 3, async |fleet| {
        let client = client(fleet, 0).await;
        assert_eq!(submit(&client, 0xab, 12, 60).await, succeeded());
        ntex::time::sleep(Duration::from_millis(400)).await;
        let entry_log = fleet.log(0);
        for step in ["batch admitted", "tasks sent to a target", "batch answered"] {
            let line = format!("{step}: job=00000000000000ab");
            assert!(entry_log.contains(&line), "{line} is missing: {entry_log}");
        }
        let agents = (2..5).map(|i| fleet.log(i)).collect::<String>();
        assert!(agents.contains("run ended: run=00000000000000ab.0.0.0#"));
    });
}

#[test]
fn test_serve_agent_killed_its_next_incarnation_adopts() {
    with_fleet("adopt", 62, 1, 1, async |fleet| {
        let client = client(fleet, 0).await;
        let answer = ntex::rt::spawn({
            let client = client.clone();
            async move { submit(&client, 1, 3, 1_500).await }
        });
        ntex::time::sleep(Duration::from_millis(300)).await;
        fleet.signal(1, Signal::Kill);
        assert!(fleet.await_end(1, Duration::from_secs(2)));
        fleet.start_process(1).expect("the agent starts again");
        assert_eq!(answer.await.expect("the caller"), succeeded());
        let starts = fleet.targets[0].target().records.len();
        assert_eq!(starts, 3, "each task was started once: {}", fleet.log(1));
        assert!(fleet.log(1).contains("adopted"), "{}", fleet.log(1));
    });
}

#[test]
fn test_serve_entry_killed_its_runs_are_stopped() {
    with_fleet("orphans", 63, 2, 1, async |fleet| {
        let client = client(fleet, 0).await;
        let answer = ntex::rt::spawn({
            let client = client.clone();
            async move { submit(&client, 2, 3, 3_000).await }
        });
        ntex::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(fleet.targets[0].target().running(), 3);
        fleet.signal(0, Signal::Kill);
        assert_eq!(answer.await.expect("the caller"), None);
        // Callers retry after 1.3 s. The runs must have been stopped by then.
        ntex::time::sleep(Duration::from_millis(1_000)).await;
        assert_eq!(fleet.targets[0].target().running(), 0, "{}", fleet.log(2));
    });
}

#[test]
fn test_serve_target_restarted_under_its_name_gets_work_and_leaves() {
    with_fleet("restart", 75, 1, 2, async |fleet| {
        let client = client(fleet, 0).await;
        // Raises the numbers of reports and ends of the first incarnation.
        for id in 0..6 {
            assert_eq!(submit(&client, 0x100 + id, 8, 30).await, succeeded());
        }
        let target = fleet.targets[0].clone();
        target.target().restart(target.now());
        // A restarted process loses its connections.
        fleet.target_proxies[0].reset();
        let before = target.target().records.len();
        let mut id = 0x200;
        while target.target().records.len() < before + 8 && id < 0x2ff {
            assert_eq!(submit(&client, id, 8, 30).await, succeeded());
            id += 1;
        }
        let records = target.target().records[before..].to_vec();
        assert!(!records.is_empty(), "it gets work: {}", fleet.log(1));
        let done = records.iter().filter(|r| r.end == Some(RunEnd::Done));
        let mut done: Vec<_> = done.map(|r| r.key.task).collect();
        done.sort_unstable();
        let twice = done.windows(2).find(|pair| pair[0] == pair[1]);
        assert_eq!(
            twice,
            None,
            "a task that was done ran again: {}",
            fleet.log(1)
        );
        target.target().leave();
        while target.target().leave_heard().is_none() {
            ntex::time::sleep(Duration::from_millis(20)).await;
        }
        // Orders that the agent received before the leave have been started by now.
        ntex::time::sleep(Duration::from_millis(300)).await;
        let before = target.target().records.len();
        for id in 0..3 {
            assert_eq!(submit(&client, 0x300 + id, 8, 30).await, succeeded());
        }
        let after = target.target().records.len();
        assert_eq!(after, before, "it leaves: {}", fleet.log(1));
    });
}

#[test]
fn test_serve_planned_stops_cut_off_nothing() {
    with_fleet("stops", 64, 2, 2, async |fleet| {
        let first = client(fleet, 0).await;
        let answer = ntex::rt::spawn({
            let first = first.clone();
            async move { submit(&first, 3, 4, 1_200).await }
        });
        ntex::time::sleep(Duration::from_millis(200)).await;
        fleet.signal(0, Signal::Term);
        fleet.signal(2, Signal::Term);
        ntex::time::sleep(Duration::from_millis(50)).await;
        assert!(!process_fleet::is_ready(fleet.entry_address(0)).await);
        // A stopping entry still serves the batches that the load balancer sends.
        assert_eq!(submit(&first, 4, 2, 100).await, succeeded());
        assert_eq!(answer.await.expect("the caller"), succeeded());
        assert!(fleet.await_end(0, Duration::from_secs(6)), "the entry ends");
        assert!(fleet.await_end(2, Duration::from_secs(6)), "the agent ends");
        let starts: usize = fleet.targets.iter().map(|t| t.target().records.len()).sum();
        assert_eq!(starts, 6);
    });
}

#[test]
fn test_serve_evacuated_hall_is_refused_until_given_back() {
    with_fleet("evacuated", 72, 2, 2, async |fleet| {
        let client = client(fleet, 0).await;
        assert_eq!(submit(&client, 3, 2, 50).await, succeeded());
        fleet.store.evacuate(process_fleet::HALL);
        ntex::time::sleep(Duration::from_millis(300)).await;
        let before = trestleknot_lib::clock::BootInstant::now();
        let (status, _) = submit(&client, 4, 2, 50).await.expect("an answer");
        assert_eq!(status, 503);
        assert!(before.elapsed() < CALLER_DEADLINE / 4, "refused at once");
        assert!(process_fleet::is_ready(fleet.entry_address(0)).await);
        for process in 0..4 {
            let log = fleet.log(process);
            assert!(log.contains("evacuated data halls changed"), "{log}");
        }
        fleet.store.give_back(process_fleet::HALL);
        ntex::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(submit(&client, 5, 2, 50).await, succeeded());
    });
}

#[test]
fn test_serve_caller_disconnected_its_runs_are_stopped() {
    with_fleet("gone", 65, 1, 1, async |fleet| {
        let client = client(fleet, 0).await;
        let short = Duration::from_millis(250);
        let left = process_fleet::submit_and_leave(&client, 5, (3, 5_000), CALLER_DEADLINE, short);
        let answer = left.await;
        assert_eq!(answer, None);
        ntex::time::sleep(Duration::from_millis(400)).await;
        assert_eq!(fleet.targets[0].target().running(), 0);
    });
}

#[test]
fn test_serve_store_down_entry_starts_from_another() {
    with_fleet("store", 66, 2, 1, async |fleet| {
        fleet.store.set_fault(Fault::Silent);
        fleet.signal(0, Signal::Kill);
        assert!(fleet.await_end(0, Duration::from_secs(2)));
        fleet.start_process(0).expect("the entry starts again");
        let address = [fleet.entry_address(0)];
        let is_ready = process_fleet::await_ready(&address, Duration::from_secs(4)).await;
        assert!(is_ready, "{}", fleet.log(0));
        let client = client(fleet, 0).await;
        assert_eq!(submit(&client, 6, 2, 50).await, succeeded());
    });
}

/// Sends a raw request and returns the status code of the answer.
fn raw_status(fleet: &ProcessFleet, request: &str) -> String {
    let mut stream = TcpStream::connect(fleet.entry_address(0)).expect("connect");
    stream
        .set_read_timeout(Some(Duration::from_secs(8)))
        .expect("a time limit");
    stream.write_all(request.as_bytes()).expect("send");
    let mut answer = [0; 12];
    match stream.read_exact(&mut answer) {
        Ok(()) => String::from_utf8_lossy(&answer[9..]).into_owned(),
        Err(e) => e.to_string(),
    }
}

fn post(path: &str, host: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {length}\r\n\r\n{body}")
}

#[test]
fn test_serve_bad_requests_by_case() {
    with_fleet("bad", 67, 1, 1, async |fleet| {
        let with_request = |steps: &str| {
            format!(
                "{{\"steps\":[{steps}],\"{}\":true}}",
                names::ENDS_WITH_REQUEST
            )
        };
        let good = &with_request("{\"count\":1,\"cpu\":1}");
        let kept = "{\"steps\":[{\"count\":1,\"cpu\":1}]}";
        let gang = &with_request("{\"count\":1,\"gang\":true}");
        let path = format!("{PREFIX}00000000000000aa");
        let large = format!("{{\"spec\":\"{}\"}}", "x".repeat(70_000));
        let cases = [
            (post(&path, HOST, "{"), "400"),
            (post(&path, HOST, "{\"steps\":[]}"), "400"),
            (post(&path, HOST, "{\"steps\":[{\"count\":-1}]}"), "400"),
            (post(&path, HOST, "{\"steps\":[{\"count\":9999}]}"), "400"),
            (post(&path, HOST, &large), "413"),
            (post("/q/not-an-id", HOST, good), "404"),
            (post("/other/00000000000000aa", HOST, good), "404"),
            (post(&path, "other.example", good), "404"),
            (post(&path, HOST, kept), "503"),
            (post(&path, HOST, gang), "503"),
            (
                format!("PUT {path} HTTP/1.1\r\nHost: {HOST}\r\n\r\n"),
                "405",
            ),
            (
                format!("GET {PREFIX} HTTP/1.1\r\nHost: {HOST}\r\n\r\n"),
                "200",
            ),
            (
                format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\n\r\n"),
                "410",
            ),
            (
                format!("DELETE {path} HTTP/1.1\r\nHost: {HOST}\r\n\r\n"),
                "410",
            ),
            ("nonsense\r\n\r\n".to_owned(), "400"),
            // A request with an incomplete head times out.
            (format!("POST {path} HTTP/1.1\r\nHost:"), "408"),
        ];
        for (request, expected) in cases {
            let head = request.get(..60.min(request.len())).unwrap_or(&request);
            assert_eq!(raw_status(fleet, &request), expected, "{head}");
        }
        assert!(fleet.targets[0].target().records.is_empty());
        assert!(fleet.is_running(0), "the entry is still running");
        let client = client(fleet, 0).await;
        assert_eq!(submit(&client, 7, 1, 20).await, succeeded());
        ntex::time::sleep(Duration::from_millis(400)).await;
        assert!(fleet.log(0).contains("request rejected"));
    });
}

#[test]
fn test_serve_process_list_by_role() {
    with_fleet("roles", 68, 1, 1, async |fleet| {
        assert_eq!(fleet.processes[0].role, Role::Entry);
        fleet.signal(0, Signal::Hangup);
        ntex::time::sleep(Duration::from_millis(500)).await;
        assert!(fleet.is_running(0));
        assert!(fleet.log(0).contains("settings file read again"));
    });
}

#[test]
fn test_serve_reset_behind_the_request_starts_nothing() {
    with_fleet("reset", 69, 1, 1, async |fleet| {
        let with_request = format!(
            "{{\"spec\":\"900\",\"steps\":[{{\"count\":1,\"cpu\":1}}],\"{}\":true}}",
            names::ENDS_WITH_REQUEST
        );
        // A suspended entry finds both the request and the reset in its socket when it resumes.
        fleet.signal(0, Signal::Stop);
        let request = post(&format!("{PREFIX}00000000000000ee"), HOST, &with_request);
        let stream = TcpStream::connect(fleet.entry_address(0)).expect("connect");
        (&stream).write_all(request.as_bytes()).expect("send");
        // A linger of zero makes the close a reset.
        let linger = libc::linger {
            l_onoff: 1,
            l_linger: 0,
        };
        let size = std::mem::size_of::<libc::linger>() as u32;
        // SAFETY: the descriptor is open and the option's value outlives the call.
        let set = unsafe {
            libc::setsockopt(
                std::os::fd::AsRawFd::as_raw_fd(&stream),
                libc::SOL_SOCKET,
                libc::SO_LINGER,
                (&raw const linger).cast(),
                size,
            )
        };
        assert_eq!(set, 0);
        drop(stream);
        fleet.signal(0, Signal::Continue);
        ntex::time::sleep(Duration::from_millis(600)).await;
        assert!(
            fleet.targets[0].target().records.is_empty(),
            "{}",
            fleet.log(0)
        );
    });
}

#[test]
fn test_serve_bodies_in_pieces_by_size() {
    with_fleet("pieces", 70, 1, 1, async |fleet| {
        let sizes = [1, 100, 1_000, 1_500, 4_000, 9_000, 17_000, 33_000, 60_000];
        for (index, size) in sizes.into_iter().enumerate() {
            for piece in [usize::MAX, 1_460, 8_192] {
                let body = format!(
                    "{{\"spec\":\"10\",\"pad\":\"{}\",\"steps\":[{{\"count\":1,\"cpu\":1,\"{}\":10}}],\
                     \"{}\":true}}",
                    "x".repeat(size),
                    names::ESTIMATE,
                    names::ENDS_WITH_REQUEST
                );
                let id = index * 10 + piece % 7;
                let request = post(&format!("{PREFIX}{id:016x}"), HOST, &body);
                let stream = TcpStream::connect(fleet.entry_address(0)).expect("connect");
                for part in request.as_bytes().chunks(piece.min(request.len())) {
                    (&stream).write_all(part).expect("send");
                    ntex::time::sleep(Duration::from_millis(2)).await;
                }
                stream
                    .set_read_timeout(Some(Duration::from_secs(3)))
                    .expect("a time limit");
                let mut answer = [0; 12];
                let read = ntex::rt::spawn_blocking(move || {
                    let read = (&stream).read_exact(&mut answer);
                    (read.is_ok(), answer)
                });
                let (is_read, answer) = read.await.expect("a thread");
                let status = String::from_utf8_lossy(&answer[9..]).into_owned();
                assert!(is_read, "{size} bytes in pieces of {piece}: no answer");
                assert_eq!(status, "200", "{size} bytes in pieces of {piece}");
            }
        }
    });
}

/// Waits until a process's log contains `text`. Returns false after `limit`.
async fn await_line(fleet: &ProcessFleet, index: usize, text: &str, limit: Duration) -> bool {
    let pause = Duration::from_millis(100);
    for _ in 0..limit.as_millis() / pause.as_millis() {
        if fleet.log(index).contains(text) {
            return true;
        }
        ntex::time::sleep(pause).await;
    }
    false
}

#[test]
fn test_serve_changed_settings_by_case() {
    with_fleet("settings", 71, 1, 1, async |fleet| {
        let limit = Duration::from_secs(10);
        for process in [0, 1] {
            let path = fleet.processes[process].settings.clone();
            let before = std::fs::read_to_string(&path).expect("settings");
            // A changed seed is applied without a signal.
            let changed = format!("{before}# changed\n").replace("seeds:", "seeds_before:");
            let changed = format!("{changed}seeds: [\"127.71.9.9:1\"]\n");
            std::fs::write(&path, changed).expect("write");
            let is_applied = await_line(fleet, process, "new_seeds=true", limit).await;
            assert!(is_applied, "{}", fleet.log(process));
            // An invalid file is reported on SIGHUP, and nothing changes.
            std::fs::write(&path, "node: 5\n").expect("write");
            fleet.signal(process, Signal::Hangup);
            let is_reported = await_line(fleet, process, "change=none", limit).await;
            assert!(is_reported, "{}", fleet.log(process));
            assert!(fleet.is_running(process));
            std::fs::write(&path, before).expect("write");
        }
        let client = client(fleet, 0).await;
        assert_eq!(submit(&client, 8, 2, 20).await, succeeded());
    });
}
