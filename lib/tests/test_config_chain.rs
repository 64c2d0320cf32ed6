//! Which configuration is in force, in single cases and in any order of events.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use trestleknot_lib::config_chain::{ChangeOutcome, ConfigChain, ConfigStamp, LogRecord};
use trestleknot_lib::config_document::Document;
use trestleknot_lib::memory_platform::{LogFaults, MemoryLog};

fn text(lease_ms: u32) -> Arc<str> {
    let document = Document {
        lease_ms,
        ..Document::default()
    };
    document.canonical().expect("it can be written").into()
}

fn change(nonce: u64, replaces: ConfigStamp) -> LogRecord {
    LogRecord::Change {
        nonce,
        replaces,
        text: text(1_000 + nonce as u32),
        author: "test".to_owned(),
    }
}

fn read(chain: &mut ConfigChain, log: &MemoryLog) -> Vec<ChangeOutcome> {
    let batch = log.read_now(chain.read_from()).expect("the log is up");
    let seen = chain.read(&batch, Duration::ZERO);
    seen.into_iter().map(|s| s.outcome).collect()
}

#[test]
fn test_read_race_has_one_winner() {
    let log = MemoryLog::default();
    log.append_now(change(1, ConfigStamp::default()))
        .expect("up");
    log.append_now(change(2, ConfigStamp::default()))
        .expect("up");
    let mut chain = ConfigChain::default();
    let fates = read(&mut chain, &log);
    let head = chain.stamp();
    assert_eq!(
        fates,
        [
            ChangeOutcome::InForce(head),
            ChangeOutcome::LostRace { head }
        ]
    );
    assert_eq!(head.version, 1);
}

#[test]
fn test_append_reply_lost_takes_effect() {
    let log = MemoryLog::default();
    log.set_faults(LogFaults {
        lose_replies: true,
        ..LogFaults::default()
    });
    assert!(log.append_now(change(1, ConfigStamp::default())).is_err());
    let mut chain = ConfigChain::default();
    read(&mut chain, &log);
    assert_eq!(chain.stamp().version, 1);
}

#[test]
fn test_read_stale_snapshot_does_not_revert() {
    let log = MemoryLog::default();
    log.append_now(change(1, ConfigStamp::default()))
        .expect("up");
    let mut slow = ConfigChain::default();
    read(&mut slow, &log);
    let stale = slow.state().cloned().expect("held");
    log.append_now(change(2, stale.stamp)).expect("up");
    log.append_now(LogRecord::Snapshot { state: stale })
        .expect("up");
    // A fresh process finds only the change to version 2 and the late snapshot of version 1.
    log.expire_below(1);
    let mut fresh = ConfigChain::default();
    read(&mut fresh, &log);
    assert_eq!(fresh.stamp().version, 2);
}

#[test]
fn test_read_expired_base_admits_nothing() {
    let log = MemoryLog::default();
    log.append_now(change(1, ConfigStamp::default()))
        .expect("up");
    log.append_now(change(2, ConfigStamp::default()))
        .expect("up");
    log.expire_below(1);
    let mut fresh = ConfigChain::default();
    read(&mut fresh, &log);
    // Only the change that lost the race is left. It must not become the head.
    assert_eq!(fresh.document(), None);
    assert!(!fresh.is_current());
}

#[test]
fn test_is_current_newer_known() {
    let log = MemoryLog::default();
    let mut chain = ConfigChain::default();
    read(&mut chain, &log);
    assert!(chain.is_current());
    chain.note_known_version(ConfigStamp {
        version: 3,
        digest: 1,
    });
    assert!(!chain.is_current());
}

#[test]
fn test_read_snapshot_of_same_head_fills_gap() {
    // A snapshot of the state that a reader already holds must not skip the change between that
    // state and the snapshot.
    let log = MemoryLog::default();
    log.append_now(change(1, ConfigStamp::default()))
        .expect("up");
    let mut slow = ConfigChain::default();
    read(&mut slow, &log);
    log.append_now(change(2, ConfigStamp::default()))
        .expect("up");
    log.append_now(change(3, ConfigStamp::default()))
        .expect("up");
    let mut other = ConfigChain::default();
    read(&mut other, &log);
    let state = other.state().cloned().expect("held");
    log.append_now(change(4, state.stamp)).expect("up");
    log.append_now(LogRecord::Snapshot { state }).expect("up");
    log.expire_below(2);
    read(&mut slow, &log);
    assert_eq!(slow.stamp().version, 2);
}

#[derive(Debug, Clone)]
enum Step {
    Change { reader: usize },
    Snapshot { reader: usize },
    Read { reader: usize },
    Gossip { from: usize, to: usize },
    Restart { reader: usize },
}

const READERS: usize = 3;

fn step() -> impl Strategy<Value = Step> {
    let reader = 0..READERS;
    prop_oneof![
        3 => reader.clone().prop_map(|reader| Step::Change { reader }),
        2 => reader.clone().prop_map(|reader| Step::Snapshot { reader }),
        5 => reader.clone().prop_map(|reader| Step::Read { reader }),
        2 => (reader.clone(), reader.clone()).prop_map(|(from, to)| Step::Gossip { from, to }),
        1 => reader.prop_map(|reader| Step::Restart { reader }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, failure_persistence: None, ..ProptestConfig::default() })]

    /// In any order of reads, races, late snapshots, gossip, restarts and expiry, no reader goes
    /// back to an older version, and each current reader agrees with one that read every record.
    #[test]
    fn test_chain_any_order(events in proptest::collection::vec(step(), 1..60), expire in 0u64..20) {
        let log = MemoryLog::default();
        let mut reference = ConfigChain::default();
        let mut readers: Vec<ConfigChain> = (0..READERS).map(|_| ConfigChain::default()).collect();
        let mut nonce = 10;
        for event in events {
            match event {
                Step::Change { reader } => {
                    nonce += 1;
                    log.append_now(change(nonce, readers[reader].stamp())).expect("up");
                }
                Step::Snapshot { reader } => {
                    if let Some(state) = readers[reader].state().cloned() {
                        log.append_now(LogRecord::Snapshot { state }).expect("up");
                    }
                }
                Step::Read { reader } => {
                    let before = readers[reader].stamp();
                    read(&mut readers[reader], &log);
                    prop_assert!(readers[reader].stamp().version >= before.version);
                }
                Step::Gossip { from, to } => {
                    if let Some(state) = readers[from].state().cloned() {
                        readers[to].adopt(&state);
                    }
                }
                Step::Restart { reader } => readers[reader] = ConfigChain::default(),
            }
            read(&mut reference, &log);
        }
        log.expire_below(expire.min(log.end()));
        for reader in &mut readers {
            read(reader, &log);
            if reader.is_current() {
                prop_assert_eq!(reader.stamp(), reference.stamp());
            }
        }
    }
}
