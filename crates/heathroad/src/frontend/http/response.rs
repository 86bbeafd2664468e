//! The replies of the HTTP frontend.

use super::connection::CLOSE;
use crate::engine::{Response, retry_after};
use crate::retry_budget::{LoopError, SPENT_HEADER};
use bytes::Bytes;
use heathroad_balancer::settings::InstanceSettings;
use http_body_util::Full;
use hyper::header::{ALLOW, CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Method, StatusCode};

/// A reply to a client.
pub(super) type Reply = hyper::Response<Full<Bytes>>;

/// The report to the caller of a request that goes round: nothing was spent, and no retry can help.
const STOP_REPORT: HeaderValue = HeaderValue::from_static("a=0, stop");

/// Why a request cannot be handled.
#[derive(Debug, thiserror::Error)]
pub(super) enum RequestError {
    /// Nothing more is read behind it.
    #[error("the request is malformed: {0}")]
    Malformed(StatusCode),
    /// It is understood, and has no place to go.
    #[error("the request goes nowhere: {0}")]
    NotRouted(StatusCode),
    /// Its class needs another method.
    #[error("the request's method must be {0}")]
    MethodNotAllowed(Method),
    /// A request with this id is open.
    #[error("a request with this id is open")]
    DuplicateId,
    /// There is no memory for its body.
    #[error("there is no memory for the request's body")]
    NoBufferSpace,
    /// It goes round.
    #[error(transparent)]
    Loop(#[from] LoopError),
}

impl RequestError {
    /// Returns the reply to the client.
    pub(super) fn into_reply(self, facts: &InstanceSettings) -> Reply {
        match self {
            RequestError::Malformed(status) => closing(status),
            RequestError::NotRouted(status) => plain(status),
            RequestError::MethodNotAllowed(allowed) => method_not_allowed(&allowed),
            RequestError::DuplicateId => plain(StatusCode::CONFLICT),
            RequestError::NoBufferSpace => {
                let retry_after = retry_after(facts);
                to_reply(Response::Rejected { retry_after })
            }
            RequestError::Loop(error) => loop_detected(&error),
        }
    }
}

/// Returns a reply without a body.
pub(super) fn plain(status: StatusCode) -> Reply {
    let mut reply = Reply::new(Full::default());
    *reply.status_mut() = status;
    reply
}

/// Returns a reply without a body behind which nothing more is read.
fn closing(status: StatusCode) -> Reply {
    let mut reply = plain(status);
    reply.headers_mut().insert(CONNECTION, CLOSE);
    reply
}

fn method_not_allowed(allowed: &Method) -> Reply {
    let mut reply = plain(StatusCode::METHOD_NOT_ALLOWED);
    if let Ok(allowed) = HeaderValue::from_str(allowed.as_str()) {
        reply.headers_mut().insert(ALLOW, allowed);
    }
    reply
}

/// Returns the reply to a request that goes round. No other way leads out of a loop.
fn loop_detected(error: &LoopError) -> Reply {
    let mut reply = Reply::new(Full::from(error.to_string()));
    *reply.status_mut() = StatusCode::LOOP_DETECTED;
    reply.headers_mut().insert(SPENT_HEADER, STOP_REPORT);
    reply
}

/// Returns the reply for the engine's response.
pub(super) fn to_reply(response: Response) -> Reply {
    match response {
        Response::Served(body) => Reply::new(Full::new(body)),
        Response::Rejected { retry_after } => {
            let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE);
            let seconds = retry_after.map(|delay| format!("{:.3}", delay.as_secs_f64()));
            let value = seconds.and_then(|seconds| HeaderValue::try_from(seconds).ok());
            if let Some(value) = value {
                reply.headers_mut().insert(RETRY_AFTER, value);
            }
            reply
        }
        Response::Failed => plain(StatusCode::BAD_GATEWAY),
        Response::TimedOut => plain(StatusCode::GATEWAY_TIMEOUT),
    }
}
