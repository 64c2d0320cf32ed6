//! Names and formats of the command line, of log lines and of requests to entries and the log, which
//! operators, their tools, callers and stored logs depend on.

use std::io::Write as _;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use platform::client::PlatformClient;
use platform::{names, stand_in_format};
use testutils::process_fleet::{self, HOST, PREFIX, ProcessFleet};
use testutils::target_reports::{Misheard, report_forever};
use trestleknot_lib::events::{CATALOGUE, EventCode, LogEvent};
use trestleknot_lib::log_writer::LogWriter;
use trestleknot_lib::worker_threads::run_system;

const PROGRAM: &str = env!("CARGO_BIN_EXE_trestleknot");
/// Variables that the program reads.
const VARIABLES: [&str; 5] = [
    "TRESTLEKNOT_CONFIG",
    "TRESTLEKNOT_LOG_URL",
    "TRESTLEKNOT_OPERATOR_ADDRESSES",
    "TRESTLEKNOT_ENTRY",
    "TRESTLEKNOT_KEY",
];

fn command(args: &[&str]) -> Command {
    let mut command = Command::new(PROGRAM);
    command
        .args(args)
        .env("NO_COLOR", "1")
        .env("COLUMNS", "100");
    for variable in VARIABLES {
        command.env_remove(variable);
    }
    command
}

/// What was printed, and the exit code.
fn shown(output: &Output) -> String {
    let out = String::from_utf8_lossy(&output.stdout);
    let err = String::from_utf8_lossy(&output.stderr);
    let code = output.status.code().expect("it exited");
    format!("{out}{err}exit code {code}\n")
}

fn run(args: &[&str]) -> String {
    shown(&command(args).output().expect("it runs"))
}

/// A folder of this test's own.
fn folder(name: &str) -> PathBuf {
    let name = format!("outward-{name}-{}", std::process::id());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&path).expect("a folder can be made");
    path
}

/// A file in a folder of its own.
fn file(name: &str, text: &str) -> String {
    let path = folder(name).join(name);
    std::fs::write(&path, text).expect("a file can be written");
    path.display().to_string()
}

// The command line.

const SUBCOMMANDS: [&str; 17] = [
    "entry",
    "agent",
    "serve-entry",
    "serve-agent",
    "stand-ins",
    "check",
    "apply",
    "diff",
    "status",
    "explain",
    "account",
    "hash-key",
    "submit",
    "cancel",
    "permits",
    "demo",
    "completions",
];

#[test]
fn test_help_program() {
    insta::assert_snapshot!(run(&["--help"]));
}

#[test]
fn test_help_every_subcommand() {
    let program = run(&["--help"]);
    let listed: Vec<_> = program
        .lines()
        .skip_while(|line| *line != "Commands:")
        .skip(1)
        .take_while(|line| !line.is_empty())
        .filter_map(|line| line.split_whitespace().next())
        .filter(|name| *name != "help")
        .collect();
    assert_eq!(listed, SUBCOMMANDS);
    let pages = SUBCOMMANDS.map(|name| format!("== {name}\n{}", run(&[name, "--help"])));
    insta::assert_snapshot!(pages.concat());
}

#[test]
fn test_variables_stand_for_flags() {
    let permits = r#"["p1"]"#;
    // Arguments, the variable, its value, and answers of servers that stand where the value says so.
    let cases: [(&[&str], &str, &str, &[&'static str]); 6] = [
        (&["serve-entry"], VARIABLES[0], "no-such-file.yaml", &[]),
        (&["serve-agent"], VARIABLES[0], "no-such-file.yaml", &[]),
        (
            &["diff", "no-such-file.json"],
            VARIABLES[1],
            "http://127.0.0.1:7000",
            &[],
        ),
        (
            &["status", "--json"],
            VARIABLES[2],
            "ADDRESS-0,ADDRESS-1",
            &[STATUS, STATUS],
        ),
        (
            &["permits", "--key", "k"],
            VARIABLES[3],
            "ADDRESS-0",
            &[permits],
        ),
        (
            &["permits", "--entry", "ADDRESS-0"],
            VARIABLES[4],
            "k",
            &[permits],
        ),
    ];
    let mut said = String::new();
    for (args, variable, value, answers) in cases {
        let servers: Vec<_> = answers
            .iter()
            .map(|body| listener(vec![(200, "", *body)]))
            .collect();
        let named = |index: usize| format!("ADDRESS-{index}");
        let real = |text: &str| {
            let servers = servers.iter().enumerate();
            servers.fold(text.to_owned(), |text, (index, (address, _))| {
                text.replace(&named(index), address)
            })
        };
        let given: Vec<_> = args.iter().map(|arg| real(arg)).collect();
        let given: Vec<_> = given.iter().map(String::as_str).collect();
        let without = run(&given);
        let output = command(&given).env(variable, real(value)).output();
        let mut with = shown(&output.expect("it runs"));
        for (index, (address, heard)) in servers.iter().enumerate() {
            with = with.replace(address, &named(index));
            let heard = heard.lock().expect("no panic");
            with += &format!("-- {} was asked\n{heard}", named(index));
        }
        let args = args.join(" ");
        said += &format!("== {args}\n{without}-- {variable}={value}\n{with}");
    }
    insta::assert_snapshot!(said);
}

#[test]
fn test_exit_codes_of_wrong_arguments() {
    let cases: [&[&str]; 5] = [
        &[],
        &["no-such-command"],
        &["check", "no-such-file.json"],
        &["check", "no-such-file.json", "--kind", "other"],
        &["hash-key", "abc", "--log-level", "loud"],
    ];
    let said = cases.map(|args| format!("== {}\n{}", args.join(" "), run(args)));
    insta::assert_snapshot!(said.concat());
}

// Settings files.

#[test]
fn test_check_settings_every_key() {
    let entry = r#"{
        // Every key that may stand here.
        "name": "entry-1", "hall": "nasr",
        "caller_listen": "10.0.0.1:7100", "agent_listen": "10.0.0.1:7200",
        "operator_listen": "10.0.0.1:7300", "entries": ["10.0.0.2:7200"],
        "fleet_secret": "a secret of at least sixteen bytes",
        "log_url": "http://10.0.0.5:7000", "vm_list_url": "http://10.0.0.5:7001",
        "http_workers": 2, "body_limit": 100000, "drain_limit_ms": 5000,
        "permit_life_ms": 60000, "snapshot_every_ms": 60000, "otlp_url": "http://10.0.0.6:4318"
    }"#;
    let agent = r#"{
        "name": "agent-1", "hall": "nasr", "target_url": "http://127.0.0.1:8000",
        "slots": 8, "memory_mib": 1024, "accelerators": 0, "entries": ["10.0.0.2:7200"],
        "fleet_secret": "a secret of at least sixteen bytes",
        "operator_listen": "10.0.0.1:7301", "drain_limit_ms": 5000,
        "otlp_url": "http://10.0.0.6:4318"
    }"#;
    let plan = stand_in_format::SettingsPlan {
        name: "name-1".to_owned(),
        ip: std::net::Ipv4Addr::new(10, 0, 0, 1).into(),
        port: 8_161,
        link_port: 7_720,
        seeds: vec!["10.0.0.2:7720".parse().expect("an address")],
        store: "10.0.0.5:8169".parse().expect("an address"),
        target: Some("10.0.0.1:8165".parse().expect("an address")),
    };
    let platform = stand_in_format::encode_settings(&plan);
    let cases = [
        ("entry", entry),
        ("agent", agent),
        ("platform-entry", &platform),
        ("platform-agent", &platform),
        ("entry", "{}"),
        ("agent", "{}"),
        ("platform-entry", "{}"),
        ("platform-agent", "{}"),
    ];
    let mut said = String::new();
    for (index, (kind, text)) in cases.into_iter().enumerate() {
        let path = file(&format!("settings-{index}"), text);
        let answer = run(&["check", &path, "--kind", kind]).replace(&path, "FILE");
        said += &format!("== {kind}\n{answer}");
    }
    insta::assert_snapshot!(said);
}

// Requests of the commands.

/// A server that answers with these bodies in turn and keeps what it was asked.
fn listener(answers: Vec<(u16, &'static str, &'static str)>) -> (String, Arc<Mutex<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address").to_string();
    let heard = Arc::new(Mutex::new(String::new()));
    let told = heard.clone();
    std::thread::spawn(move || {
        for (status, headers, body) in answers {
            let (mut stream, _) = listener.accept().expect("a connection");
            let limit = Some(Duration::from_secs(20));
            stream.set_read_timeout(limit).expect("a time limit");
            let request = read_request(&mut stream);
            told.lock().expect("no panic").push_str(&request);
            let length = body.len();
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n\
                 Content-Length: {length}\r\nConnection: close\r\n{headers}\r\n{body}"
            );
            stream.write_all(answer.as_bytes()).expect("it is sent");
        }
    });
    (address, heard)
}

/// A request: its first line, headers that concern the other side, and body.
fn read_request(stream: &mut impl std::io::Read) -> String {
    let mut bytes = Vec::new();
    let mut piece = [0; 4_096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let mut lines = head.lines();
            let first = lines.next().unwrap_or_default();
            let headers: Vec<(String, &str)> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.to_ascii_lowercase(), value.trim()))
                .collect();
            let of = |wanted| headers.iter().find(|(name, _)| name == wanted);
            let length = of("content-length").and_then(|(_, v)| v.parse().ok());
            if body.len() >= length.unwrap_or(0) {
                let mut shown = format!("{first}\n");
                for wanted in ["authorization", "content-type", "traceparent"] {
                    if let Some((name, value)) = of(wanted) {
                        let value = match wanted {
                            "traceparent" => shape(value),
                            _ => (*value).to_owned(),
                        };
                        shown += &format!("{name}: {value}\n");
                    }
                }
                return format!("{shown}\n{body}\n");
            }
        }
        let count = stream.read(&mut piece).expect("more of the request");
        assert!(count > 0, "cut short: {text}");
        bytes.extend_from_slice(&piece[..count]);
    }
}

/// A text of random hexadecimal digits, with their number only.
fn shape(text: &str) -> String {
    let parts = text.split('-').map(|part| match part.len() {
        0..=2 => part.to_owned(),
        length => format!("{length} digits"),
    });
    parts.collect::<Vec<_>>().join("-")
}

/// Runs a command against a server with these answers; `ADDRESS` stands for the server.
fn talk(args: &[&str], answers: Vec<(u16, &'static str, &'static str)>) -> String {
    let (address, heard) = listener(answers);
    let given: Vec<_> = args
        .iter()
        .map(|a| a.replace("ADDRESS", &address))
        .collect();
    let given: Vec<_> = given.iter().map(String::as_str).collect();
    let said = run(&given).replace(&address, "ADDRESS");
    let heard = heard.lock().expect("no panic").clone();
    format!("-- asked\n{heard}-- said\n{said}")
}

#[test]
fn test_submit_requests_and_answers() {
    let job = file("job.json", r#"{"tasks":[{"kind":"k"}],"deadline_ms":500}"#);
    let plain = ["submit", &job, "--entry", "ADDRESS", "--key", "k"];
    let once = [plain.as_slice(), &["--once"]].concat();
    let again = [once.as_slice(), &["--permit", "p0"]].concat();
    let complete = r#"{"status":"complete","job":"j1","results":["a","b"]}"#;
    let failed = r#"{"status":"failed","job":"j1","reason":{"why":"task_failed","task":1,
        "message":"m"},"may_have_run":true}"#;
    let refused = r#"{"status":"refused","why":"busy","retry_after_ms":200}"#;
    let next = "x-trestleknot-permit: p2\r\n";
    let said = [
        talk(&plain, vec![(200, "", complete)]),
        talk(&plain, vec![(200, "", failed)]),
        talk(&plain, vec![(503, "", refused)]),
        talk(&once, vec![(200, "", r#"["p1"]"#), (200, next, complete)]),
        talk(&again, vec![(200, next, complete)]),
    ];
    insta::assert_snapshot!(said.join("==\n"));
}

#[test]
fn test_cancel_and_permits_requests() {
    let to = ["--entry", "ADDRESS", "--key", "k"];
    let cancel = [&["cancel", "j1"], to.as_slice()].concat();
    let permits = [&["permits", "--count", "2"], to.as_slice()].concat();
    let said = [
        talk(&cancel, vec![(200, "", "")]),
        talk(&cancel, vec![(404, "", "")]),
        talk(&permits, vec![(200, "", r#"["p1","p2"]"#)]),
        talk(&permits, vec![(401, "", "")]),
    ];
    insta::assert_snapshot!(said.join("==\n"));
}

const STATUS: &str = r#"{"name":"entry-1","incarnation":"ab","draining":false,
    "config":{"v":3,"d":5},"newest_config":{"v":3,"d":5},"config_current":true,
    "placement":"slot_grants","jobs":1,"waiting_tasks":2,"peers":["entry-2"],
    "targets":[
     {"name":"a","hall":"nasr","state":"live","slots":8,"credits":3,"in_flight":2,"slowness":1.25},
     {"name":"b","hall":"nasr","state":"leaving","slots":8,"credits":0,"in_flight":1,"slowness":1},
     {"name":"c","hall":"giza","state":"set_aside","slots":8,"credits":0,"in_flight":0,"slowness":1},
     {"name":"d","hall":"giza","state":"unreachable","slots":8,"credits":0,"in_flight":0,
      "slowness":1}],
    "counters":{"complete":4,"failed":5,"refused":6,"dispatched":7,"not_started":8,
     "messages":{"heartbeat":9},"wasted":10}}"#;

#[test]
fn test_status_request_and_tables() {
    let text = ["status", "--entry", "ADDRESS"];
    let json = ["status", "--entry", "ADDRESS", "--json"];
    let said = [
        talk(&text, vec![(200, "", STATUS)]),
        talk(&json, vec![(200, "", STATUS)]),
        talk(&json, vec![(503, "", "")]),
    ];
    insta::assert_snapshot!(said.join("==\n"));
}

const STORY: &str = r#"{"team":"t","steps":[
    {"at_ms":0,"step":"admitted","tasks":2,"estimate_ms":30},
    {"at_ms":1,"step":"permit_granted"},
    {"at_ms":2,"step":"dispatched","task":0,"target":"a"},
    {"at_ms":3,"step":"not_started","task":0,"target":"a","reason":"full"},
    {"at_ms":40,"step":"ended","task":0,"target":"a","outcome":"done"},
    {"at_ms":41,"step":"answered","status":"complete"}],"left_out":1}"#;

#[test]
fn test_explain_request_and_story() {
    let text = ["explain", "j1", "--entry", "ADDRESS"];
    let json = ["explain", "j1", "--entry", "ADDRESS", "--json"];
    let said = [
        talk(&text, vec![(200, "", STORY)]),
        talk(&json, vec![(200, "", STORY)]),
        talk(&text, vec![(404, "", "")]),
    ];
    insta::assert_snapshot!(said.join("==\n"));
}

// Log files that were kept.

const ENTRY_LOG: &str = "\
t=10.000 level=INFO batch admitted: job=00000000000000aa request=r1 queue=q tasks=2
t=10.001 level=INFO tasks sent to a target: job=00000000000000aa step=0 agent=agent-1 runs=[(0, 1), (1, 1)] age_ms=1 heard_ms_ago=20 pace=1.00
t=10.005 level=INFO run over without success, its task waits again: run=00000000000000aa.0.0.1#1 agent=agent-1 not_started=Full
t=10.006 level=INFO tasks sent to a target: job=00000000000000aa step=0 agent=agent-2 runs=[(1, 2)] age_ms=6 heard_ms_ago=4 pace=1.00
t=10.300 level=INFO batch answered: job=00000000000000aa queue=q answer=Succeeded took_ms=300 objective_ms=200 tried=true
t=10.310 level=INFO batch admitted: job=00000000000000ab request=r2 queue=q tasks=1
t=10.400 level=INFO batch answered: job=00000000000000ab queue=q answer=Refused { why: Busy } took_ms=90 objective_ms=200 tried=false
t=10.410 level=INFO batch admitted: job=00000000000000ac request=r3 queue=p tasks=1
t=10.450 level=INFO batch answered: job=00000000000000ac queue=p answer=Succeeded took_ms=40 objective_ms=200 tried=true
t=10.460 level=INFO batch admitted: job=00000000000000ad request=r4 queue=p tasks=1
t=10.480 level=INFO batch answered: job=00000000000000ad queue=p answer=GaveUp took_ms=20 objective_ms=200 tried=true
t=10.500 level=INFO batch refused, nothing of it runs: job=00000000000000ae request=r5 config=1 answer=Refused { why: Busy, retry_after: Some(200ms) }
t=10.510 level=INFO batch refused, nothing of it runs: job=00000000000000af request=r6 config=1 answer=Refused { why: Unsupported(Kept), retry_after: None }
t=10.520 level=INFO batch refused, nothing of it runs: job=00000000000000b0 request=r7 config=1 answer=Refused { why: Evacuated, retry_after: None }
t=10.600 level=INFO batch admitted: job=00000000000000b1 request=r8 queue=q tasks=1
t=10.700 level=INFO slow run stopped, to go on elsewhere: run=00000000000000b1.0.0.0#1 agent=agent-1 ran_ms=50 percent=9
level=warn event=1704 name=LinesDropped lines=12
not a line of ours
";

const AGENT_LOG: &str = "\
t=10.150 level=INFO run is far slower than its estimate: run=00000000000000aa.0.0.0#1 ran_ms=100 percent=20
t=10.299 level=INFO run ended: run=00000000000000aa.0.0.0#1 end=Done ran_ms=290
";

fn kept_logs(name: &str) -> String {
    let folder = folder(name);
    for (file, text) in [("entry-1.log", ENTRY_LOG), ("agent-1.log", AGENT_LOG)] {
        std::fs::write(folder.join(file), text).expect("a file can be written");
    }
    folder.display().to_string()
}

#[test]
fn test_account_of_kept_logs() {
    let logs = kept_logs("account");
    insta::assert_snapshot!(run(&["account", "--logs", &logs]));
}

#[test]
fn test_explain_from_kept_logs() {
    let logs = kept_logs("explain");
    let ids = ["r1", "00000000000000ab", "r3", "r4", "r5", "r7", "r8", "r9"];
    let said = ids.map(|id| format!("== {id}\n{}", run(&["explain", id, "--logs", &logs])));
    insta::assert_snapshot!(said.concat());
}

// Log lines that are written.

#[test]
fn test_catalogue_of_events() {
    let lines: String = CATALOGUE
        .iter()
        .map(|info| format!("{} {} {}\n", info.number, info.level, info.text))
        .collect();
    insta::assert_snapshot!(lines);
}

/// Digits of times and other figures that differ from run to run.
fn without_figures(line: &str) -> String {
    let mut shown = String::new();
    for letter in line.chars() {
        match letter {
            '0'..='9' if shown.ends_with('N') => {}
            '0'..='9' => shown.push('N'),
            other => shown.push(other),
        }
    }
    shown
}

/// Set in the process that writes lines for the test below.
const WRITER: &str = "OUTWARD_NAMES_WRITER";

#[test]
fn test_line_log_lines_and_dropped_lines() {
    let name = "test_line_log_lines_and_dropped_lines";
    if std::env::var_os(WRITER).is_some() {
        write_lines();
        return;
    }
    let program = std::env::current_exe().expect("this program");
    let mut command = Command::new(program);
    let args = ["--exact", name, "--nocapture", "--test-threads=1"];
    let output = command.args(args).env(WRITER, "1").output();
    let output = output.expect("it runs");
    let text = String::from_utf8_lossy(&output.stdout);
    let lines: Vec<_> = text.lines().filter(|l| l.contains("level=")).collect();
    // Lines up to the bound, and one that counts those beyond it.
    assert_eq!(lines.len(), 601);
    let first = lines[..4].iter().map(|line| {
        let (time, rest) = line.split_once(' ').expect("a time and a line");
        format!("{} {rest}\n", without_figures(time))
    });
    let first: String = first.collect();
    insta::assert_snapshot!(format!("{first}{}\n", lines[600]));
}

/// Writes lines as the daemons on the platform do.
fn write_lines() {
    let log = LogWriter::default();
    let append = log.clone();
    logforth::starter_log::builder()
        .dispatch(|d| d.append(append))
        .apply();
    println!();
    LogEvent::new(EventCode::Started, "name=n hall=h").emit();
    LogEvent::new(EventCode::StoreDown, "cause=\"c\"").emit();
    LogEvent::new(EventCode::RecordUnreadable, "detail").emit();
    log::warn!("a line of a library");
    for number in 0..600 {
        LogEvent::new(EventCode::TasksPlaced, format!("number={number}")).emit();
    }
    log.flush_now();
}

/// The first line of a log with this event.
fn line_of(log: &str, event: &str) -> String {
    let line = log
        .lines()
        .find(|line| line.contains(&format!(" {event}: ")));
    let line = line.unwrap_or_else(|| panic!("{event} is missing: {log}"));
    let words = line.split(' ').map(|word| match word.split_once('=') {
        Some((key @ ("life" | "version"), _)) => format!("{key}=X"),
        Some(("job", _)) => word.to_owned(),
        _ => without_figures(word),
    });
    words.collect::<Vec<_>>().join(" ")
}

#[test]
fn test_serve_log_lines_of_a_batch() {
    let folder = folder("fleet");
    let fleet = ProcessFleet::start(Path::new(PROGRAM), &folder, 77, 1, 1);
    let fleet = fleet.expect("a fleet on loopback addresses");
    run_system("lines", async move {
        let (targets, agents) = (fleet.targets.clone(), fleet.agent_addresses());
        ntex::rt::spawn(report_forever(targets, agents, Misheard::default()));
        let entry = fleet.entry_address(0);
        let is_ready = process_fleet::await_ready(&[entry], Duration::from_secs(20)).await;
        assert!(is_ready, "not ready: {}", fleet.log(0));
        let client = PlatformClient::new(&entry.to_string()).await;
        let batch = stand_in_format::PlainBatch {
            payload: "40",
            count: 1,
            cpu_millis: 100,
            estimate: Duration::from_millis(40),
        };
        let body = stand_in_format::encode_batch(&batch).into_bytes();
        let request = client
            .request(
                ntex::http::Method::POST,
                &format!("{PREFIX}00000000000000ab"),
            )
            .header("host", HOST)
            .header(names::REQUEST_ID, "the-callers-id");
        let limit = Duration::from_secs(20);
        let answer = PlatformClient::call(request, body, limit).await;
        assert_eq!(answer.expect("an answer").status.as_u16(), 200);
        // Lines are written a few times a second.
        for _ in 0..100 {
            let is_written =
                fleet.log(0).contains("batch answered") && fleet.log(1).contains("run ended");
            if is_written {
                break;
            }
            ntex::time::sleep(Duration::from_millis(100)).await;
        }
        let of_entry = [
            "process started",
            "configuration in force",
            "batch admitted",
            "tasks sent to a target",
            "batch answered",
        ];
        let of_agent = ["process started", "target reported its state", "run ended"];
        let entry = of_entry.map(|event| line_of(&fleet.log(0), event));
        let agent = of_agent.map(|event| line_of(&fleet.log(1), event));
        insta::assert_snapshot!([entry.join("\n"), agent.join("\n")].join("\n"));
    });
    let _ = std::fs::remove_dir_all(folder);
}
