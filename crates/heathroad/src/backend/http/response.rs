//! Reading of HTTP responses: whether one is sound, and what it means.

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

/// A body that has begun and makes no headway for so long is not coming: its length does not fit.
const BODY_PAUSE: Duration = Duration::from_millis(500);
/// Once its response is read a connection is ready at once, unless the request is still being
/// written.
const READY_TIMEOUT: Duration = Duration::from_millis(50);
/// Most header lines of a response.
const MAX_HEADERS: usize = 64;
/// A shorter body is copied, so that the response to a slow client does not keep the whole buffer
/// that it came in.
const MIN_SHARED_BODY: usize = 2048;

/// What follows from a head's lines.
struct HeadSummary {
    is_declined: bool,
    lengths: usize,
    transfer_codings: usize,
    closes: bool,
}

impl HeadSummary {
    /// Reads a head. One walk over the few lines that there are costs less than a look-up for each
    /// name.
    fn read(head: &Parts) -> HeadSummary {
        let (mut declined, mut lengths, mut transfer_codings) = (None, 0, 0);
        let mut closes = head.version == Version::HTTP_10;
        for (name, value) in &head.headers {
            if name == header::CONTENT_LENGTH {
                lengths += 1;
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
            lengths,
            transfer_codings,
            closes,
        }
    }

    /// Returns whether the head tells where the body ends: once, by a length that is allowed, or by
    /// the sender's word that it closes the connection behind it. Without either the body ends
    /// nowhere, and of two lengths at most one is true.
    fn tells_body_end(&self, status: StatusCode) -> bool {
        let has_no_body = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        match self.lengths + self.transfer_codings {
            0 => has_no_body || self.closes,
            1 => !has_no_body || self.lengths == 1,
            _ => false,
        }
    }
}

/// Returns whether a response says that the backend has not looked at the request.
pub(super) fn is_declined(response: &Response<Incoming>) -> bool {
    response
        .headers()
        .get(&DECLINED)
        .is_some_and(|value| value == "1")
}

/// Reads a response and returns what it means; nothing if it is malformed. A reset is no end of a
/// body: it shows as an error of the read, since nobody else asks the system about the connection
/// meanwhile.
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
    if head.headers.len() > MAX_HEADERS || !summary.tells_body_end(head.status) || is_too_long {
        return None;
    }
    let body = read_body(body).await?;
    Some(match head.status {
        StatusCode::OK => AttemptEnd::Served(body),
        status => classify_status(status, summary.is_declined),
    })
}

/// Reads a body; returns nothing if it breaks off or is too long, since the request may have run
/// then.
async fn read_body(mut body: Incoming) -> Option<Bytes> {
    let (mut first, mut joined) = (Bytes::new(), BytesMut::new());
    while let Some(frame) = timeout(BODY_PAUSE, body.frame()).await.ok()? {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        if first.len() + joined.len() + data.len() > MAX_BODY {
            return None;
        }
        if first.is_empty() && joined.is_empty() {
            // Most bodies come in one piece.
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

/// Looks at what came behind a response before it counts, and returns whether the connection is fit
/// for the next request; nothing where the response is malformed.
///
/// The HTTP library ends a body where its length says. If that is too short, the rest of the body
/// lies behind it, and the response would be passed on cut off. A second response behind the first
/// is none of the first's business.
pub(super) async fn check_rest(connection: &mut Connection) -> Option<bool> {
    if connection.sender.is_ready() {
        return Some(true);
    }
    match timeout(READY_TIMEOUT, connection.sender.ready()).await {
        Ok(Ok(())) => Some(true),
        Ok(Err(_)) => {
            let rest = connection.unparsed.take();
            let is_sound = rest.is_empty() || rest.starts_with(b"HTTP/1.");
            is_sound.then_some(false)
        }
        Err(_) => Some(false),
    }
}
