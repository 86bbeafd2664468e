//! Responses of the HTTP frontend.

use super::connection::CLOSE;
use crate::engine::{Response, retry_after};
use crate::retry_budget::{LoopError, SPENT_HEADER};
use bytes::Bytes;
use heathroad_balancer::settings::InstanceSettings;
use http_body_util::Full;
use hyper::header::{ALLOW, CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Method, StatusCode};

/// An HTTP response to a client.
pub(super) type Reply = hyper::Response<Full<Bytes>>;

/// Retry budget report for a request in a forwarding loop: no retries were spent, and further ones
/// cannot succeed.
const STOP_REPORT: HeaderValue = HeaderValue::from_static("a=0, stop");

/// Why a request cannot be handled.
#[derive(Debug, thiserror::Error)]
pub(super) enum RequestError {
    /// The request is malformed; the connection closes after the reply.
    #[error("malformed request: {0}")]
    Malformed(StatusCode),
    /// The request is valid, but no route matches it.
    #[error("no route for the request: {0}")]
    NotRouted(StatusCode),
    /// The request's class requires a different method.
    #[error("method not allowed: expected {0}")]
    MethodNotAllowed(Method),
    /// A request with the same ID is open or may have been executed.
    #[error("a request with the same ID is open or may have been executed")]
    DuplicateId,
    /// There is no buffer space for the request's body.
    #[error("no buffer space for the request body")]
    NoBufferSpace,
    /// The request is in a forwarding loop.
    #[error(transparent)]
    Loop(#[from] LoopError),
}

impl RequestError {
    /// Converts the error to a reply.
    pub(super) fn into_reply(self, settings: &InstanceSettings) -> Reply {
        match self {
            RequestError::Malformed(status) => closing_reply(status),
            RequestError::NotRouted(status) => empty_reply(status),
            RequestError::MethodNotAllowed(allowed) => method_not_allowed(&allowed),
            RequestError::DuplicateId => empty_reply(StatusCode::CONFLICT),
            RequestError::NoBufferSpace => {
                let retry_after = retry_after(settings);
                to_reply(Response::Rejected { retry_after })
            }
            RequestError::Loop(error) => loop_detected(&error),
        }
    }
}

/// Returns a reply without a body.
pub(super) fn empty_reply(status: StatusCode) -> Reply {
    let mut reply = Reply::new(Full::default());
    *reply.status_mut() = status;
    reply
}

/// Returns a reply without a body that closes the connection.
fn closing_reply(status: StatusCode) -> Reply {
    let mut reply = empty_reply(status);
    reply.headers_mut().insert(CONNECTION, CLOSE);
    reply
}

fn method_not_allowed(allowed: &Method) -> Reply {
    let mut reply = empty_reply(StatusCode::METHOD_NOT_ALLOWED);
    if let Ok(allowed) = HeaderValue::from_str(allowed.as_str()) {
        reply.headers_mut().insert(ALLOW, allowed);
    }
    reply
}

/// Returns the reply to a request in a forwarding loop, which tells the caller not to retry.
fn loop_detected(error: &LoopError) -> Reply {
    let mut reply = Reply::new(Full::from(error.to_string()));
    *reply.status_mut() = StatusCode::LOOP_DETECTED;
    reply.headers_mut().insert(SPENT_HEADER, STOP_REPORT);
    reply
}

/// Converts the engine's response to a reply.
pub(super) fn to_reply(response: Response) -> Reply {
    match response {
        Response::Served(body) => Reply::new(Full::new(body)),
        Response::Rejected { retry_after } => {
            let mut reply = empty_reply(StatusCode::SERVICE_UNAVAILABLE);
            let seconds = retry_after.map(|delay| format!("{:.3}", delay.as_secs_f64()));
            let value = seconds.and_then(|seconds| HeaderValue::try_from(seconds).ok());
            if let Some(value) = value {
                reply.headers_mut().insert(RETRY_AFTER, value);
            }
            reply
        }
        Response::Failed => empty_reply(StatusCode::BAD_GATEWAY),
        Response::TimedOut => empty_reply(StatusCode::GATEWAY_TIMEOUT),
    }
}
