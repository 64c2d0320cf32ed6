//! Maps answers to HTTP responses, as specified in docs/PROTOCOL.md.

use ntex::http::StatusCode;
use ntex::web::HttpResponse;

use crate::job::{Answer, Failure, RefusalReason};

/// Header that carries a new permit for the caller's next job.
pub const NEXT_PERMIT: &str = "x-trestleknot-permit";

/// Returns the HTTP status of an answer.
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

/// Builds the response that carries an answer. `json` sets its content length, which lets a caller
/// detect a truncated answer.
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
