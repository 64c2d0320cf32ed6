//! The one mapping from answers to HTTP, as docs/PROTOCOL.md lists it.

use ntex::http::StatusCode;
use ntex::web::HttpResponse;

use crate::job::{Answer, Failure, RefusalReason};

/// Header with a fresh permit.
pub const NEXT_PERMIT: &str = "x-trestleknot-permit";

/// Status of an answer.
pub fn status_of(answer: &Answer) -> StatusCode {
    match answer {
        Answer::Complete { .. } => StatusCode::OK,
        Answer::Failed { reason, .. } => status_of_failure(reason),
        Answer::Refused { refusal } => status_of_refusal(&refusal.reason),
    }
}

fn status_of_failure(reason: &Failure) -> StatusCode {
    match reason {
        Failure::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        Failure::TargetLost { .. } | Failure::EntryStopped => StatusCode::BAD_GATEWAY,
        Failure::Cancelled | Failure::EarlierSubmissionUnknown => StatusCode::CONFLICT,
        Failure::TaskFailed { .. } => StatusCode::INTERNAL_SERVER_ERROR,
    }
}

fn status_of_refusal(reason: &RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::Malformed { .. } => StatusCode::BAD_REQUEST,
        RefusalReason::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalReason::UnknownTeam => StatusCode::UNAUTHORIZED,
        RefusalReason::OverQuota { .. } => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::Impossible { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalReason::PermitNeeded { .. } => StatusCode::PRECONDITION_REQUIRED,
        RefusalReason::PermitInvalid => StatusCode::FORBIDDEN,
        RefusalReason::PermitVoid => StatusCode::GONE,
        RefusalReason::Cancelled | RefusalReason::EarlierSubmissionRunning => StatusCode::CONFLICT,
        RefusalReason::UnknownJob => StatusCode::NOT_FOUND,
        RefusalReason::WouldMissDeadline { .. }
        | RefusalReason::Busy
        | RefusalReason::NoTargets
        | RefusalReason::DeadlinePassed
        | RefusalReason::Stopping
        | RefusalReason::ConfigurationBehind
        | RefusalReason::PermitUnreachable => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// The response that carries an answer. It is sent with its length, so that a cut connection
/// is seen to be no answer.
pub fn response_for(answer: &Answer, next_permit: Option<&str>) -> HttpResponse {
    let mut response = HttpResponse::build(status_of(answer));
    if let Answer::Refused { refusal } = answer
        && let Some(ms) = refusal.retry_after_ms
    {
        response.header("retry-after", ms.div_ceil(1_000).to_string());
    }
    if let Some(permit) = next_permit {
        response.header(NEXT_PERMIT, permit);
    }
    response.json(answer)
}
