//! Classification of attempt results.

use bytes::Bytes;
use heathroad_balancer::api::Outcome;
use heathroad_jsonrpc::Response;
use heathroad_jsonrpc::message::INTERNAL_ERROR;
use hyper::StatusCode;

/// How an attempt ended.
pub enum AttemptEnd {
    /// With a response for the client.
    Served(Bytes),
    /// With a response for the client that reports an internal error of the backend.
    ServedWithError(Bytes),
    /// A JSON-RPC notification was written, which has no response.
    NotificationSent,
    /// The backend rejected the request as invalid.
    Rejected,
    /// Without a response for the client.
    NotServed(Outcome),
}

impl AttemptEnd {
    /// Returns whether the attempt is complete and says nothing about the backend's health. Such an
    /// attempt has the outcome of a cancelled one.
    pub fn is_unjudged(&self) -> bool {
        matches!(self, AttemptEnd::Rejected | AttemptEnd::NotificationSent)
    }

    /// Returns the outcome that is reported to the decision module.
    pub fn outcome(&self) -> Outcome {
        match self {
            AttemptEnd::Served(_) => Outcome::Success,
            AttemptEnd::ServedWithError(_) => Outcome::Error,
            // An invalid request and a notification without a response say nothing about the
            // backend's health; another backend would reject the request too.
            AttemptEnd::Rejected | AttemptEnd::NotificationSent => Outcome::Cancelled,
            AttemptEnd::NotServed(outcome) => *outcome,
        }
    }
}

/// Classifies an HTTP response that is not served to the client. `is_declined` states that the
/// backend declined the request without processing it.
pub(super) fn classify_status(status: StatusCode, is_declined: bool) -> AttemptEnd {
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_declined => {
            AttemptEnd::NotServed(Outcome::Rejected)
        }
        // Temporary conditions: the request itself is not invalid.
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_EARLY | StatusCode::TOO_MANY_REQUESTS => {
            AttemptEnd::NotServed(Outcome::Error)
        }
        status if status.is_client_error() => AttemptEnd::Rejected,
        _ => AttemptEnd::NotServed(Outcome::Error),
    }
}

/// Classifies a JSON-RPC response. Application errors are served to the client; an internal error
/// also counts as an error of the backend.
pub(super) fn classify_response(answer: Response, declined_code: Option<i64>) -> AttemptEnd {
    match answer.error_code {
        Some(code) if Some(code) == declined_code => AttemptEnd::NotServed(Outcome::Rejected),
        Some(INTERNAL_ERROR) => AttemptEnd::ServedWithError(answer.member),
        _ => AttemptEnd::Served(answer.member),
    }
}
