//! Permits and registrars, which keep a non-repeatable request from running twice.

use std::sync::Arc;

use trestleknot_lib::ids::JobId;
use trestleknot_lib::job::Answer;
use trestleknot_lib::message::Claim;
use trestleknot_lib::permit::{
    ClaimAnswer, FleetSecret, MOST_STORED_BYTES, Permit, PermitId, Registrar, StoredAnswer,
};

const EXPIRES_MS: u64 = 1_000;

fn claim(entry: u64, seq: u64) -> Claim {
    Claim {
        permit: PermitId {
            maker: 1,
            number: 1,
        },
        expires_ms: EXPIRES_MS,
        job: JobId { entry, seq },
        digest: 42,
    }
}

fn complete(result: &str) -> Answer {
    Answer::Complete {
        job: "job".to_owned(),
        results: vec![Arc::from(result)],
    }
}

#[test]
fn test_claim_first_only() {
    let mut registrar = Registrar::default();
    assert_eq!(registrar.claim(&claim(1, 1), 0), ClaimAnswer::Granted);
    assert_eq!(registrar.claim(&claim(2, 1), 0), ClaimAnswer::Running);
}

#[test]
fn test_claim_repeated_by_same_job() {
    let mut registrar = Registrar::default();
    registrar.claim(&claim(1, 1), 0);
    assert_eq!(registrar.claim(&claim(1, 1), 0), ClaimAnswer::Granted);
}

#[test]
fn test_claim_after_entry_gone_is_unknown() {
    let mut registrar = Registrar::default();
    registrar.claim(&claim(1, 1), 0);
    registrar.abandon(1);
    assert_eq!(registrar.claim(&claim(2, 1), 0), ClaimAnswer::Unknown);
}

#[test]
fn test_claim_after_end_gets_answer() {
    let mut registrar = Registrar::default();
    registrar.claim(&claim(1, 1), 0);
    let answer = StoredAnswer::of(&complete("paid"));
    registrar.settle(&claim(1, 1), answer.clone());
    registrar.abandon(1);
    assert_eq!(registrar.claim(&claim(2, 1), 0), ClaimAnswer::Ended(answer));
}

#[test]
fn test_claim_after_release_is_granted() {
    let mut registrar = Registrar::default();
    registrar.claim(&claim(1, 1), 0);
    registrar.release(&claim(1, 1));
    assert_eq!(registrar.claim(&claim(2, 1), 0), ClaimAnswer::Granted);
}

#[test]
fn test_release_late_copy_frees_nothing() {
    let mut registrar = Registrar::default();
    registrar.claim(&claim(1, 1), 0);
    registrar.release(&claim(1, 1));
    registrar.claim(&claim(2, 1), 0);
    registrar.release(&claim(1, 1));
    assert_eq!(registrar.claim(&claim(3, 1), 0), ClaimAnswer::Running);
}

#[test]
fn test_claim_other_request() {
    let mut registrar = Registrar::default();
    registrar.claim(&claim(1, 1), 0);
    let other = Claim {
        digest: 43,
        ..claim(2, 1)
    };
    assert_eq!(registrar.claim(&other, 0), ClaimAnswer::OtherRequest);
}

#[test]
fn test_claim_expired_is_void_even_when_forgotten() {
    let mut registrar = Registrar::default();
    registrar.claim(&claim(1, 1), 0);
    registrar.expire(EXPIRES_MS + 1);
    assert!(registrar.is_empty());
    let late = registrar.claim(&claim(2, 1), EXPIRES_MS + 1);
    assert_eq!(late, ClaimAnswer::Void);
}

#[test]
fn test_stored_answer_too_large() {
    let large = "x".repeat(MOST_STORED_BYTES + 1);
    assert_eq!(StoredAnswer::of(&complete(&large)), StoredAnswer::TooLarge);
}

#[test]
fn test_permit_text_changed_or_foreign() {
    let permit = Permit {
        id: PermitId {
            maker: 1,
            number: 2,
        },
        registrar: 3,
        expires_ms: EXPIRES_MS,
        team: "team".into(),
    };
    let secret = FleetSecret::new("one secret of a fleet");
    let text = permit.to_text(&secret);
    assert_eq!(Permit::from_text(&text, &secret), Ok(permit));
    let other = FleetSecret::new("another secret");
    assert!(Permit::from_text(&text, &other).is_err());
    let mut changed = text.into_bytes();
    changed[10] = if changed[10] == b'A' { b'B' } else { b'A' };
    let changed = String::from_utf8(changed).expect("still text");
    assert!(Permit::from_text(&changed, &secret).is_err());
}
