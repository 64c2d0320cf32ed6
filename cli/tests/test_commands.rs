//! Output and exit codes of the operators' commands.

use std::path::PathBuf;
use std::process::{Command, Output};

use testutils::stand_ins::{Placed, Service, StandIns};
use trestleknot_lib::memory_platform::{LogFaults, MemoryLog};

fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_trestleknot"));
    command.args(args).output().expect("it runs")
}

/// Formats the output and the exit code for a snapshot.
fn shown(output: &Output) -> String {
    let out = String::from_utf8_lossy(&output.stdout);
    let err = String::from_utf8_lossy(&output.stderr);
    let code = output.status.code().expect("it exited");
    format!("{out}{err}exit code {code}")
}

/// Writes a file for one test into the build tree.
fn write_file(name: &str, text: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = folder.join(format!("{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("a file can be written");
    path
}

fn check(name: &str, kind: &str, text: &str) -> String {
    let path = write_file(name, text);
    let path = path.display().to_string();
    shown(&run(&["check", &path, "--kind", kind])).replace(&path, name)
}

#[test]
fn test_check_config_good() {
    let text = "{ // nobody yet\n \"teams\": {} }";
    insta::assert_snapshot!(check("good.json", "config", text));
}

#[test]
fn test_check_config_unknown_key() {
    let text = "{\n  \"teams\": {},\n  \"leese_ms\": 3000\n}";
    insta::assert_snapshot!(check("unknown.json", "config", text));
}

#[test]
fn test_check_config_impossible_value() {
    let text = "{ \"teams\": { \"a\": { \"key_sha256\": \"zz\", \"quota\": 1 } } }";
    insta::assert_snapshot!(check("value.json", "config", text));
}

#[test]
fn test_check_config_syntax() {
    insta::assert_snapshot!(check("syntax.json", "config", "{\n  \"teams\": {,}\n}"));
}

#[test]
fn test_check_entry_wrong_type() {
    let text = "{\n  \"name\": 7\n}";
    insta::assert_snapshot!(check("type.json", "entry", text));
}

#[test]
fn test_hash_key_known() {
    insta::assert_snapshot!(shown(&run(&["hash-key", "abc"])));
}

#[test]
fn test_apply_race_reply_lost_and_outage() {
    let log = MemoryLog::default();
    let placed = Placed {
        service: Service::Log(log.clone()),
        listen: "127.0.0.1:0".parse().expect("an address"),
    };
    let stand_ins = StandIns::start(vec![placed]).expect("it starts");
    let url = stand_ins.url(0);
    let first = write_file("first.json", "{ \"lease_ms\": 2000 }")
        .display()
        .to_string();
    let second = write_file("second.json", "{ \"lease_ms\": 4000 }")
        .display()
        .to_string();
    let apply = |path: &str| {
        let args = ["apply", path, "--log-url", &url, "--patience-ms", "300"];
        shown(&run(&args)).replace(&url, "LOG")
    };
    insta::assert_snapshot!(apply(&first));
    insta::assert_snapshot!(apply(&first));
    log.set_faults(LogFaults {
        lose_replies: true,
        ..LogFaults::default()
    });
    insta::assert_snapshot!(apply(&second));
    log.set_faults(LogFaults {
        down: true,
        ..LogFaults::default()
    });
    insta::assert_snapshot!(apply(&first));
}

#[test]
fn test_check_platform_settings_missing_field() {
    let text = "node: \"a\"\nip: \"10.0.0.1\"\n";
    insta::assert_snapshot!(check("missing.yaml", "platform-entry", text));
}
