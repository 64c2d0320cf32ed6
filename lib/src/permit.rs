//! Permits, which let a caller safely resubmit a request that must not run twice.
//!
//! A permit is created before the request. It names one registrar, which is one incarnation of an
//! agent, and an expiry on that registrar's own clock. The registrar lets one request run under
//! the permit and keeps the outcome for later claims. The permit is void once that incarnation
//! has ended, so permits need neither durable storage nor consensus.
//! docs/design/not-repeatable.md compares the alternatives.

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

/// Identifies a permit by the entry incarnation that created it and a number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PermitId {
    /// Incarnation of the entry that created it.
    #[serde(rename = "e")]
    pub maker: Incarnation,
    /// Number within that incarnation.
    #[serde(rename = "n")]
    pub number: u64,
}

/// First eight bytes of the SHA-256 digest of a request.
pub type RequestDigest = u64;

/// The content of a permit. Its text form carries an authentication code.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// Identifier.
    pub id: PermitId,
    /// The agent incarnation that decides its claims.
    pub registrar: Incarnation,
    /// Expiry on the registrar's clock, in milliseconds.
    pub expires_ms: u64,
    /// The team that may use it.
    pub team: TeamName,
}

/// The text is not a valid permit of this fleet.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("not a permit of this fleet"))]
pub struct PermitTextError;

/// Length in bytes of the truncated authentication code.
const SEAL_LEN: usize = 16;

/// The secret that the processes of the fleet share.
#[derive(Clone)]
pub struct FleetSecret(Arc<[u8]>);

impl std::fmt::Debug for FleetSecret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FleetSecret(..)")
    }
}

impl FleetSecret {
    /// Creates the secret from the text in the settings.
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text.as_bytes()))
    }

    /// Computes the HMAC-SHA256 of `bytes` for one purpose.
    pub fn seal(&self, purpose: &str, bytes: &[u8]) -> [u8; 32] {
        let mut mac = self.mac(purpose);
        mac.update(bytes);
        mac.finalize().into_bytes().into()
    }

    /// Verifies an authentication code or a prefix of one in constant time.
    pub fn verify(&self, purpose: &str, bytes: &[u8], seal: &[u8]) -> bool {
        let mut mac = self.mac(purpose);
        mac.update(bytes);
        mac.verify_truncated_left(seal).is_ok()
    }

    fn mac(&self, purpose: &str) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC accepts a key of any length");
        mac.update(purpose.as_bytes());
        mac.update(&[0]);
        mac
    }
}

const PERMIT_PURPOSE: &str = "permit";

impl Permit {
    /// Encodes the permit and its authentication code as the text that callers receive.
    pub fn to_text(&self, secret: &FleetSecret) -> String {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).expect("writing to a vector can't fail");
        let seal = secret.seal(PERMIT_PURPOSE, &bytes);
        bytes.extend_from_slice(&seal[..SEAL_LEN]);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Decodes a permit's text and verifies its authentication code.
    pub fn from_text(text: &str, secret: &FleetSecret) -> Result<Self, PermitTextError> {
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| PermitTextError)?;
        let body_len = bytes.len().checked_sub(SEAL_LEN).ok_or(PermitTextError)?;
        let (body, seal) = bytes.split_at(body_len);
        if !secret.verify(PERMIT_PURPOSE, body, seal) {
            return Err(PermitTextError);
        }
        ciborium::from_reader(body).map_err(|_| PermitTextError)
    }
}

/// Digest of a request's team and tasks, which limits a permit to one request.
pub fn request_digest(team: &TeamName, tasks: &[TaskSpec]) -> RequestDigest {
    let mut hasher = Sha256::new();
    update_with_text(&mut hasher, team);
    for task in tasks {
        update_with_text(&mut hasher, &task.kind);
        update_with_text(&mut hasher, &task.payload);
    }
    let hash = hasher.finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&hash[..8]);
    u64::from_be_bytes(first)
}

fn update_with_text(hasher: &mut Sha256, text: &str) {
    hasher.update((text.len() as u64).to_be_bytes());
    hasher.update(text.as_bytes());
}

/// The stored outcome of a request that ran under a permit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredAnswer {
    /// The complete answer.
    Whole(Box<Answer>),
    /// The request has ended, but its answer was too large to store.
    TooLarge,
}

/// Largest answer that a registrar stores, in bytes of its results.
pub const MOST_STORED_BYTES: usize = 16 * 1024;

impl StoredAnswer {
    /// Returns the form of an answer to store.
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
    /// The request may run. No other request will ever run under this permit.
    Granted,
    /// An earlier request is running under the permit.
    Running,
    /// The entry of an earlier request is gone; that request may have run.
    Unknown,
    /// An earlier request ended with this outcome.
    Ended(StoredAnswer),
    /// The permit was used for a different request.
    OtherRequest,
    /// The permit has expired or does not belong to this registrar.
    Void,
}

/// Maximum number of permits in use at one registrar.
const MAX_CLAIMS: usize = 50_000;

/// The agent's record of claimed permits.
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
    /// Decides a claim. `now_ms` is the registrar's clock. The job may repeat its claim if the
    /// first answer was lost, and gets the same answer.
    pub fn claim(&mut self, claim: &Claim, now_ms: u64) -> ClaimAnswer {
        if now_ms > claim.expires_ms {
            return ClaimAnswer::Void;
        }
        if let Some(record) = self.claims.get(&claim.permit) {
            return record.answer(claim);
        }
        if self.claims.len() >= MAX_CLAIMS {
            return ClaimAnswer::Void;
        }
        let record = ClaimRecord {
            claim: claim.clone(),
            state: ClaimState::Running,
        };
        self.claims.insert(claim.permit, record);
        ClaimAnswer::Granted
    }

    /// Releases a permit whose claimant has not run and will not run.
    pub fn release(&mut self, claim: &Claim) {
        let record = self.claims.get(&claim.permit);
        let is_running =
            record.is_some_and(|r| r.claim == *claim && matches!(r.state, ClaimState::Running));
        if is_running {
            self.claims.remove(&claim.permit);
        }
    }

    /// Stores the outcome of a claimant's request.
    pub fn settle(&mut self, claim: &Claim, answer: StoredAnswer) {
        if let Some(record) = self.claims.get_mut(&claim.permit)
            && record.claim == *claim
        {
            record.state = ClaimState::Ended(answer);
        }
    }

    /// Records that an entry is gone for good. Whether its requests ran is then unknown.
    pub fn abandon(&mut self, entry: Incarnation) {
        for record in self.claims.values_mut() {
            if record.claim.job.entry == entry && matches!(record.state, ClaimState::Running) {
                record.state = ClaimState::Abandoned;
            }
        }
    }

    /// Drops expired claims. Later claims of the same permits are void by their expiry.
    pub fn expire(&mut self, now_ms: u64) {
        self.claims
            .retain(|_, record| record.claim.expires_ms >= now_ms);
    }

    /// Number of permits in use.
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
