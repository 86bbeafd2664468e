//! What the end of an attempt means.

use bytes::Bytes;
use heathroad_balancer::api::Outcome;
use heathroad_jsonrpc::Response;
use heathroad_jsonrpc::message::INTERNAL_ERROR;
use hyper::StatusCode;

/// How an attempt ended.
pub enum AttemptEnd {
    /// With a response to pass on.
    Served(Bytes),
    /// With a response to pass on, of a backend that reports an internal error.
    ServedWithError(Bytes),
    /// A notification was written; no response ever comes to it.
    NotificationSent,
    /// The backend rejected the request as one that no backend can use.
    Rejected,
    /// Without a response to pass on.
    NotServed(Outcome),
}

impl AttemptEnd {
    /// Returns the result as the decision module knows it.
    pub fn outcome(&self) -> Outcome {
        match self {
            AttemptEnd::Served(_) => Outcome::Success,
            AttemptEnd::ServedWithError(_) => Outcome::Error,
            // A rejection is the request's fault: it says nothing of the backend, and another would
            // reject it too. What has no response says nothing of the backend either.
            AttemptEnd::Rejected | AttemptEnd::NotificationSent => Outcome::Cancelled,
            AttemptEnd::NotServed(outcome) => *outcome,
        }
    }
}

/// Returns what an HTTP response means that is not passed on. A backend declines a request that it
/// has not looked at.
pub(super) fn classify_status(status: StatusCode, is_declined: bool) -> AttemptEnd {
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_declined => {
            AttemptEnd::NotServed(Outcome::Rejected)
        }
        // These speak of the moment and not of the request.
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_EARLY | StatusCode::TOO_MANY_REQUESTS => {
            AttemptEnd::NotServed(Outcome::Error)
        }
        status if status.is_client_error() => AttemptEnd::Rejected,
        _ => AttemptEnd::NotServed(Outcome::Error),
    }
}

/// Returns what a JSON-RPC answer means. Errors of the application are passed on; the decision
/// module is told beside that if the backend reports an internal error.
pub(super) fn classify_answer(answer: Response, declined_code: Option<i64>) -> AttemptEnd {
    match answer.error_code {
        Some(code) if Some(code) == declined_code => AttemptEnd::NotServed(Outcome::Rejected),
        Some(INTERNAL_ERROR) => AttemptEnd::ServedWithError(answer.member),
        _ => AttemptEnd::Served(answer.member),
    }
}
