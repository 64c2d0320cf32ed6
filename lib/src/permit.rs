//! Permits: how a request that must not be repeated survives a resubmission.
//!
//! A permit is made before the request and names one registrar (one life of one agent) and an
//! expiry on that registrar's own clock. The registrar lets one request run under it and keeps
//! the outcome for whoever asks later. Once that life is over the permit is void for ever, so
//! there is nothing to store and nothing to agree on. docs/design/not-repeatable.md weighs it.

use std::collections::HashMap;
use std::sync::Arc;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac as _};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use snafu::Snafu;

use crate::ids::{Incarnation, TeamName};
use crate::job::{Answer, TaskSpec};
use crate::message::Claim;

/// Names a permit: the entry life that made it, and a number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PermitId {
    /// Life of the entry that made it.
    #[serde(rename = "e")]
    pub maker: Incarnation,
    /// Number in that life.
    #[serde(rename = "n")]
    pub number: u64,
}

/// First half of the SHA-256 of a request.
pub type RequestDigest = u64;

/// A permit as its holder carries it, sealed against change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// Which one.
    pub id: PermitId,
    /// The agent life that answers for it.
    pub registrar: Incarnation,
    /// Expiry on the registrar's clock, in milliseconds.
    pub expires_ms: u64,
    /// The team that may use it.
    pub team: TeamName,
}

/// A text that is no permit of this fleet.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("not a permit of this fleet"))]
pub struct PermitTextError;

/// Length of the seal in bytes.
const SEAL_LEN: usize = 16;

/// The secret that our processes share.
#[derive(Clone)]
pub struct FleetSecret(Arc<[u8]>);

impl std::fmt::Debug for FleetSecret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FleetSecret(..)")
    }
}

impl FleetSecret {
    /// Wraps the text from the settings.
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text.as_bytes()))
    }

    /// Keyed hash of some bytes for one purpose.
    pub fn seal(&self, purpose: &str, bytes: &[u8]) -> [u8; 32] {
        let mut mac = self.mac(purpose);
        mac.update(bytes);
        mac.finalize().into_bytes().into()
    }

    /// Checks a keyed hash, or the first part of one, in constant time.
    pub fn verify(&self, purpose: &str, bytes: &[u8], seal: &[u8]) -> bool {
        let mut mac = self.mac(purpose);
        mac.update(bytes);
        mac.verify_truncated_left(seal).is_ok()
    }

    fn mac(&self, purpose: &str) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("a key of any length is taken");
        mac.update(purpose.as_bytes());
        mac.update(&[0]);
        mac
    }
}

const PERMIT_PURPOSE: &str = "permit";

impl Permit {
    /// The text that callers carry.
    pub fn to_text(&self, secret: &FleetSecret) -> String {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).expect("writing to a vector can't fail");
        let seal = secret.seal(PERMIT_PURPOSE, &bytes);
        bytes.extend_from_slice(&seal[..SEAL_LEN]);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Reads a text and checks its seal.
    pub fn from_text(text: &str, secret: &FleetSecret) -> Result<Self, PermitTextError> {
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| PermitTextError)?;
        let at = bytes.len().checked_sub(SEAL_LEN).ok_or(PermitTextError)?;
        let (body, seal) = bytes.split_at(at);
        if !secret.verify(PERMIT_PURPOSE, body, seal) {
            return Err(PermitTextError);
        }
        ciborium::from_reader(body).map_err(|_| PermitTextError)
    }
}

/// Digest of what a request asks for, so that a permit covers one request only.
pub fn request_digest(team: &TeamName, tasks: &[TaskSpec]) -> RequestDigest {
    let mut hasher = Sha256::new();
    hash_text(&mut hasher, team);
    for task in tasks {
        hash_text(&mut hasher, &task.kind);
        hash_text(&mut hasher, &task.payload);
    }
    let hash = hasher.finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&hash[..8]);
    u64::from_be_bytes(first)
}

fn hash_text(hasher: &mut Sha256, text: &str) {
    hasher.update((text.len() as u64).to_be_bytes());
    hasher.update(text.as_bytes());
}

/// How a claimed request ended, as the registrar keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredAnswer {
    /// The whole answer.
    Whole(Box<Answer>),
    /// It was too large to keep; the request has run to its end.
    TooLarge,
}

/// Longest answer that a registrar keeps, in bytes of its results.
pub const MOST_STORED_BYTES: usize = 16 * 1024;

impl StoredAnswer {
    /// What to keep of an answer.
    pub fn of(answer: &Answer) -> Self {
        let size: usize = match answer {
            Answer::Complete { results, .. } => results.iter().map(|r| r.len()).sum(),
            _ => 0,
        };
        if size > MOST_STORED_BYTES {
            Self::TooLarge
        } else {
            Self::Whole(Box::new(answer.clone()))
        }
    }
}

/// A registrar's answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The request may run, and no other ever will under this permit.
    Granted,
    /// An earlier request is running under it.
    Running,
    /// The entry that ran an earlier request is gone: it may have run.
    Unknown,
    /// An earlier request ended so.
    Ended(StoredAnswer),
    /// The permit was used for something else.
    OtherRequest,
    /// Expired, or not this registrar's.
    Void,
}

/// Most permits in use at one registrar.
const MOST_CLAIMS: usize = 50_000;

/// The agent's side: who has claimed which permit.
#[derive(Debug, Default)]
pub struct Registrar {
    claims: HashMap<PermitId, ClaimRecord>,
}

#[derive(Debug)]
struct ClaimRecord {
    claim: Claim,
    state: ClaimState,
}

#[derive(Debug)]
enum ClaimState {
    Running,
    Abandoned,
    Ended(StoredAnswer),
}

impl Registrar {
    /// Decides a claim. `now_ms` is the registrar's clock. A claim that is repeated by the same
    /// job, because the first answer was lost, gets the same answer.
    pub fn claim(&mut self, claim: &Claim, now_ms: u64) -> ClaimAnswer {
        if now_ms > claim.expires_ms {
            return ClaimAnswer::Void;
        }
        if let Some(record) = self.claims.get(&claim.permit) {
            return record.answer(claim);
        }
        if self.claims.len() >= MOST_CLAIMS {
            return ClaimAnswer::Void;
        }
        let record = ClaimRecord {
            claim: claim.clone(),
            state: ClaimState::Running,
        };
        self.claims.insert(claim.permit, record);
        ClaimAnswer::Granted
    }

    /// Frees a permit whose claimant has not run and will not.
    pub fn release(&mut self, claim: &Claim) {
        let held = self.claims.get(&claim.permit);
        let same =
            held.is_some_and(|r| r.claim == *claim && matches!(r.state, ClaimState::Running));
        if same {
            self.claims.remove(&claim.permit);
        }
    }

    /// Keeps how a claimant's request ended.
    pub fn settle(&mut self, claim: &Claim, answer: StoredAnswer) {
        if let Some(record) = self.claims.get_mut(&claim.permit)
            && record.claim == *claim
        {
            record.state = ClaimState::Ended(answer);
        }
    }

    /// Notes that an entry is gone for good: what it ran may or may not have run.
    pub fn abandon(&mut self, entry: Incarnation) {
        for record in self.claims.values_mut() {
            if record.claim.job.entry == entry && matches!(record.state, ClaimState::Running) {
                record.state = ClaimState::Abandoned;
            }
        }
    }

    /// Drops what has expired; a later claim is refused by its expiry.
    pub fn expire(&mut self, now_ms: u64) {
        self.claims
            .retain(|_, record| record.claim.expires_ms >= now_ms);
    }

    /// Permits in use.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no permit is in use.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }
}

impl ClaimRecord {
    fn answer(&self, claim: &Claim) -> ClaimAnswer {
        if self.claim.digest != claim.digest {
            return ClaimAnswer::OtherRequest;
        }
        match &self.state {
            ClaimState::Running if self.claim.job == claim.job => ClaimAnswer::Granted,
            ClaimState::Running => ClaimAnswer::Running,
            ClaimState::Abandoned => ClaimAnswer::Unknown,
            ClaimState::Ended(answer) => ClaimAnswer::Ended(answer.clone()),
        }
    }
}
