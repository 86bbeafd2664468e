//! Reading, validation and classification of HTTP responses.

use super::DECLINED;
use super::connection::Connection;
use crate::backend::MAX_BODY;
use crate::backend::outcome::{AttemptEnd, classify_status};
use crate::retry_budget::AttemptBudget;
use crate::runtime_accounting::timeout;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode, Version, header};
use std::time::Duration;

/// Maximum time between two parts of a body; a longer pause means that the body is truncated.
const BODY_READ_TIMEOUT: Duration = Duration::from_millis(500);
/// How long to wait for a connection to become ready after its response was read.
const READY_TIMEOUT: Duration = Duration::from_millis(50);
/// Maximum number of header lines of a response.
const MAX_HEADERS: usize = 64;
/// Bodies below this size, in bytes, are copied, so that a response to a slow client does not keep
/// the read buffer alive.
const MIN_SHARED_BODY: usize = 2048;

/// The header fields that determine how a response is handled.
struct HeadSummary {
    is_declined: bool,
    content_lengths: usize,
    transfer_codings: usize,
    closes: bool,
}

impl HeadSummary {
    /// Reads a response head. One pass over the headers is faster than separate look-ups.
    fn read(head: &Parts) -> HeadSummary {
        let (mut declined, mut content_lengths, mut transfer_codings) = (None, 0, 0);
        let mut closes = head.version == Version::HTTP_10;
        for (name, value) in &head.headers {
            if name == header::CONTENT_LENGTH {
                content_lengths += 1;
            } else if name == header::TRANSFER_ENCODING {
                transfer_codings += 1;
            } else if name == header::CONNECTION {
                let mut options = value.to_str().unwrap_or_default().split(',');
                closes |= options.any(|option| option.trim().eq_ignore_ascii_case("close"));
            } else if name == DECLINED {
                declined.get_or_insert(value == "1");
            }
        }
        let is_declined = declined.unwrap_or(false);
        HeadSummary {
            is_declined,
            content_lengths,
            transfer_codings,
            closes,
        }
    }

    /// Returns whether the head delimits the body unambiguously: by exactly one content length or
    /// transfer coding, by the end of the connection, or because the status allows no body.
    fn delimits_body(&self, status: StatusCode) -> bool {
        let has_no_body = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        match self.content_lengths + self.transfer_codings {
            0 => has_no_body || self.closes,
            1 => !has_no_body || self.content_lengths == 1,
            _ => false,
        }
    }
}

/// Returns whether the backend declined the request without processing it.
pub(super) fn is_declined(response: &Response<Incoming>) -> bool {
    response
        .headers()
        .get(&DECLINED)
        .is_some_and(|value| value == "1")
}

/// Reads and classifies a response; returns `None` if it is malformed or truncated. A connection
/// reset is reported as a read error and does not end a body.
pub(super) async fn read(
    response: Response<Incoming>,
    budget: Option<&AttemptBudget>,
) -> Option<AttemptEnd> {
    let (head, body) = response.into_parts();
    if let Some(budget) = budget {
        budget.read_http_report(&head.headers);
    }
    let summary = HeadSummary::read(&head);
    let is_too_long = body.size_hint().lower() > MAX_BODY as u64;
    if head.headers.len() > MAX_HEADERS || !summary.delimits_body(head.status) || is_too_long {
        return None;
    }
    let body = read_body(body).await?;
    Some(match head.status {
        StatusCode::OK => AttemptEnd::Served(body),
        status => classify_status(status, summary.is_declined),
    })
}

/// Reads a body; returns `None` if it is truncated or too long, since the request may have been
/// executed then.
async fn read_body(mut body: Incoming) -> Option<Bytes> {
    let (mut first, mut joined) = (Bytes::new(), BytesMut::new());
    while let Some(frame) = timeout(BODY_READ_TIMEOUT, body.frame()).await.ok()? {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        if first.len() + joined.len() + data.len() > MAX_BODY {
            return None;
        }
        if first.is_empty() && joined.is_empty() {
            // Most bodies consist of one frame.
            let is_short = data.len() < MIN_SHARED_BODY;
            first = if is_short {
                Bytes::copy_from_slice(&data)
            } else {
                data
            };
            if body.is_end_stream() {
                break;
            }
            continue;
        }
        joined.extend_from_slice(&std::mem::take(&mut first));
        joined.extend_from_slice(&data);
    }
    Some(if joined.is_empty() {
        first
    } else {
        joined.freeze()
    })
}

/// Checks the bytes after a response and returns whether the connection can be reused, or `None` if
/// the response is malformed.
///
/// If the content length is too small, hyper returns a truncated body and leaves the rest in the
/// buffer. A second response after the first does not invalidate the first.
pub(super) async fn check_trailing_bytes(connection: &mut Connection) -> Option<bool> {
    if connection.sender.is_ready() {
        return Some(true);
    }
    match timeout(READY_TIMEOUT, connection.sender.ready()).await {
        Ok(Ok(())) => Some(true),
        Ok(Err(_)) => {
            let trailing = connection.unparsed.take();
            let is_valid = trailing.is_empty() || trailing.starts_with(b"HTTP/1.");
            is_valid.then_some(false)
        }
        Err(_) => Some(false),
    }
}
