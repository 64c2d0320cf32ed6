//! Lists of the platform's services with odd records: the others are still read.

use proptest::prelude::*;
use trestleknot_lib::config_chain::LogRecord;
use trestleknot_lib::platform_lists::{decode_log_batch, decode_vm_list};
use trestleknot_lib::vm_list::VmRole;

const FIRST: &str =
    r#"{"name":"entry-1","role":"entry","state":"live","agent_address":"10.0.0.1:7"}"#;
const LAST: &str = r#"{"name":"target-1","role":"target","state":"leaving"}"#;

fn nested(depth: usize) -> String {
    format!("{}{}", "[".repeat(depth), "]".repeat(depth))
}

fn odd_values() -> Vec<String> {
    vec![
        nested(129),
        nested(50_000),
        "1e999".to_owned(),
        "9".repeat(5_000),
        "null".to_owned(),
        "\"\\ud800\"".to_owned(),
        "\"upgrading\"".to_owned(),
    ]
}

fn decoded_names(odd: &str) -> Vec<String> {
    let body = format!("[{FIRST},{odd},{LAST}]");
    let decoded = decode_vm_list(body.as_bytes()).expect("a list");
    let vms = decoded.list.iter();
    vms.map(|vm| vm.name.to_string()).collect()
}

// Guards against one odd record that hides all other VMs.
#[test]
fn test_decode_vm_list_odd_records_keep_the_others() {
    for odd in odd_values() {
        let alone = decoded_names(&odd);
        assert_eq!(alone, ["entry-1", "target-1"], "{:.40}", odd);
        let extra = format!(r#"{{"name":"target-2","role":"target","state":"live","x":{odd}}}"#);
        let names = decoded_names(&extra);
        assert_eq!(names, ["entry-1", "target-2", "target-1"], "{:.40}", odd);
    }
}

// Guards against a VM that counts as gone because another field of its record is odd: that would
// end the agent's incarnation.
#[test]
fn test_decode_vm_list_odd_field_still_shows_that_the_vm_exists() {
    for odd in odd_values() {
        for record in [
            format!(r#"{{"name":"target-2","role":{odd},"state":"live"}}"#),
            format!(r#"{{"name":"target-2","role":"target","state":{odd}}}"#),
            r#"{"name":"target-2"}"#.to_owned(),
        ] {
            let names = decoded_names(&record);
            assert_eq!(names, ["entry-1", "target-2", "target-1"], "{record:.80}");
        }
    }
    let body = format!(r#"[{{"name":"x","role":5,"state":"live"}},{LAST}]"#);
    let decoded = decode_vm_list(body.as_bytes()).expect("a list");
    assert_eq!(decoded.list[0].role, VmRole::Unknown);
    assert_eq!(decoded.unreadable.len(), 1);
}

fn log_batch(records: &[&str]) -> Vec<u8> {
    let records = records.join(",");
    format!(r#"{{"from":0,"oldest":0,"records":[{records}],"next":9,"end":9}}"#).into_bytes()
}

const CHANGE: &str = r#"{"offset":2,"record":{"record":"change","nonce":1,
    "replaces":{"v":0,"d":0},"text":"{}","author":"a"}}"#;

// Guards against one odd record that hides all configuration changes.
#[test]
fn test_decode_log_batch_odd_records_keep_the_others() {
    for odd in odd_values() {
        let as_record = format!(r#"{{"offset":1,"record":{odd}}}"#);
        let in_record = format!(r#"{{"offset":1,"record":{{"record":"change","nonce":{odd}}}}}"#);
        for odd in [odd, as_record, in_record] {
            let body = log_batch(&[&odd, CHANGE]);
            let decoded = decode_log_batch(&body).expect("a batch");
            let last = decoded.list.records.last().expect("a record");
            assert!(matches!(last.record, Some(LogRecord::Change { .. })));
            assert_eq!((last.offset, decoded.list.next), (2, 9));
        }
    }
}

proptest! {
    // Guards against any nesting or number that hides the records beside it.
    #[test]
    fn test_decode_vm_list_generated_records_keep_the_others(
        depth in 0..5_000_usize, digits in "-?[0-9]{1,400}(e[0-9]{1,4})?", as_field: bool,
    ) {
        prop_assume!(!digits.starts_with("-0") && !digits.starts_with('0'));
        let odd = format!("{}{digits}{}", "[".repeat(depth), "]".repeat(depth));
        let odd = if as_field { format!(r#"{{"name":"x","role":{odd}}}"#) } else { odd };
        let names = decoded_names(&odd);
        prop_assert_eq!(&names[0], "entry-1");
        prop_assert_eq!(names.last().map(|n| &**n), Some("target-1"));
    }
}
