//! HTTP responses of the admin server.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{ALLOW, CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};

const PLAIN_TEXT: &str = "text/plain; charset=utf-8";
const JSON: &str = "application/json";
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

pub(super) type Reply = Response<Full<Bytes>>;

pub(super) fn text(status: StatusCode, text: impl Into<String>) -> Reply {
    with_content(status, PLAIN_TEXT, text.into())
}

pub(super) fn json(text: String) -> Reply {
    with_content(StatusCode::OK, JSON, text)
}

pub(super) fn open_metrics(text: String) -> Reply {
    with_content(StatusCode::OK, OPEN_METRICS, text)
}

pub(super) fn method_not_allowed(allowed: &'static str) -> Reply {
    let mut reply = empty(StatusCode::METHOD_NOT_ALLOWED);
    let allowed = HeaderValue::from_static(allowed);
    reply.headers_mut().insert(ALLOW, allowed);
    reply
}

pub(super) fn not_found() -> Reply {
    empty(StatusCode::NOT_FOUND)
}

fn empty(status: StatusCode) -> Reply {
    let mut reply = Response::new(Full::default());
    *reply.status_mut() = status;
    reply
}

fn with_content(status: StatusCode, content_type: &'static str, text: String) -> Reply {
    let mut reply = Response::new(Full::from(text));
    *reply.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    reply.headers_mut().insert(CONTENT_TYPE, content_type);
    reply
}
