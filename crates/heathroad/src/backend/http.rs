//! Attempts over HTTP/1.1: a connection carries one request at a time.

use super::{End, Idle, Line, MAX_BODY, Pool, RETIRE, Target};
use crate::retry_budget::Purse;
use crate::runtime_accounting::{sleep, spawn_local, timeout};
use crate::safety::violations;
use crate::stall_detector;
use crate::stream::{Outgoing, Progress, Watched, Written};
use bytes::{Bytes, BytesMut};
use heathroad_balancer::api::Outcome;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::{HOST, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri, Version, header};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::error::Error;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// A body that has begun and makes no headway for so long is not coming: its length doesn't fit.
const PAUSE: Duration = Duration::from_millis(500);
/// Once its answer is read a connection is free in no time, unless the request itself is still
/// being written.
const SETTLE: Duration = Duration::from_millis(50);
/// A late second answer comes so long behind the first: a connection that has rested for longer
/// holds none that is not seen.
const REST: Duration = Duration::from_millis(50);
/// Once a backend has spoken out of its turn, for so long each connection rests before it carries
/// the next request.
const WARY: Duration = Duration::from_secs(60);
/// Longest answer head, and most lines in it; the buffer for heads and bodies grows to this size.
const MAX_HEAD: usize = 16 * 1024;
const MAX_HEADERS: usize = 64;

/// A body of fewer bytes is copied, so that a slow caller's answer does not keep the whole buffer
/// that it came in.
const SMALL: usize = 2048;

/// A request's own id.
pub static ID: HeaderName = HeaderName::from_static("req-id");
/// How long it is waited for, in milliseconds.
pub static DEADLINE: HeaderName = HeaderName::from_static("req-deadline-ms");
/// By which its repeats are known.
pub static KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// By which version a request was bound, in rehearsals.
static VERSION: HeaderName = HeaderName::from_static("req-version");
/// A backend says by it that it has not looked at the request.
static DECLINED: HeaderName = HeaderName::from_static("srv-declined");

/// A request as every attempt of it goes out.
pub struct Call {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// `Host`, as the caller gave it.
    pub host: Option<HeaderValue>,
    /// `Req-Id`.
    pub id: HeaderValue,
    /// `Idempotency-Key`.
    pub key: Option<HeaderValue>,
    /// By which version it was bound, where backends are told.
    pub version: Option<HeaderValue>,
    /// Its body.
    pub body: Bytes,
}

/// A connection that carries one request at a time. Dropped, it is closed at once, whatever is
/// still to be written to it: the HTTP library by itself would first write a request to its end for
/// which nobody waits any more.
pub(super) struct Link {
    pub(super) sender: SendRequest<Outgoing>,
    progress: Rc<Progress>,
    /// What was read and belongs to no answer, once the connection has ended.
    leftover: Rc<RefCell<Bytes>>,
    task: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Pool {
    /// The most recently used of those still open that have rested: the others may then grow old
    /// and be closed. The most recently used of all is the likeliest to get a late second answer to
    /// the request before; where none has rested, the one that was used longest ago is taken, with
    /// what it has yet to rest while such answers come.
    fn reuse(&self, target: &Target) -> Option<(Link, Duration)> {
        let (age, now) = (self.limits.idle.mul_f64(RETIRE), Instant::now());
        let wary = self.wary.get().is_some_and(|since| now - since < WARY);
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&target.number)?;
        links.retain(|i| i.link.sender.is_ready() && now - i.since < age);
        let rested = links.iter().rposition(|i| now - i.since >= REST);
        let Idle { link, since } =
            (!links.is_empty()).then(|| links.remove(rested.unwrap_or(0)))?;
        Some((
            link,
            if wary {
                REST.saturating_sub(now - since)
            } else {
                Duration::ZERO
            },
        ))
    }

    pub(super) fn keep(&self, target: &Target, link: Link) {
        if target.drained.get().is_none() && !link.sender.is_closed() {
            // Its backend counts from its answer, which may have lain unread while the process was
            // held up.
            let idle = Idle {
                link,
                since: stall_detector::arrival(Instant::now()),
            };
            self.idle
                .borrow_mut()
                .entry(target.number)
                .or_default()
                .push(idle);
        }
    }

    pub(super) async fn connect(&self, dial: SocketAddr) -> Result<Link, Outcome> {
        let (stream, place) = self.dial(dial).await?;
        self.link(stream, place).await
    }

    pub(super) async fn link(
        &self,
        stream: TcpStream,
        place: OwnedSemaphorePermit,
    ) -> Result<Link, Outcome> {
        let watched = Watched::new(TokioIo::new(stream));
        let progress = watched.progress();
        let mut builder = Builder::new();
        builder.max_buf_size(MAX_HEAD);
        let handshake = builder.handshake(watched).await;
        let (sender, mut connection) = handshake.map_err(|_| Outcome::ConnectFailed)?;
        let leftover = Rc::<RefCell<Bytes>>::default();
        let (left, wary) = (leftover.clone(), self.wary.clone());
        let task = spawn_local(async move {
            let _place = place;
            // Its end shows at the sender, where it has a meaning.
            let end = poll_fn(|cx| connection.poll_without_shutdown(cx)).await;
            let rest = connection.into_parts().read_buf;
            if !rest.is_empty() || end.is_err_and(|e| unclean(&e)) {
                wary.set(Some(Instant::now()));
            }
            left.replace(rest);
        });
        Ok(Link {
            sender,
            progress,
            leftover,
            task: task.abort_handle(),
        })
    }
}

/// Whether a connection ended since something lay on it before a request was written.
fn unclean(e: &hyper::Error) -> bool {
    let cause = e.source().and_then(|e| e.downcast_ref::<io::Error>());
    cause.is_some_and(|e| e.kind() == io::ErrorKind::InvalidData)
}

/// Sends the request and reads its answer; `line` is told which connection it was handed to.
pub(super) async fn exchange(
    pool: &Rc<Pool>,
    call: &Call,
    target: &Rc<Target>,
    expires: Instant,
    line: &Line,
    purse: Option<&Purse>,
) -> End {
    // What failed, or came back, before the request's last byte was out never ran: the connection
    // ends here, and no backend gets the rest. No backend made an answer for what it has not whole.
    let unless_whole = |link: &Link, outcome| match link.progress.written() {
        Written::Whole => End::Unserved(outcome),
        Written::Nothing | Written::Part => End::Unserved(Outcome::ConnectFailed),
    };
    let (mut link, answer) = loop {
        let (mut link, kept) = match pool.reuse(target) {
            Some((link, rest)) => {
                if !rest.is_zero() {
                    sleep(rest).await;
                }
                (link, true)
            }
            None => match pool.connect(target.dial).await {
                Ok(link) => (link, false),
                Err(outcome) => return End::Unserved(outcome),
            },
        };
        // The connect may have taken long: by now the backend may drain, the client have left, or a
        // repeat come too late.
        if let Err(denied) = pool.may_write(target, line) {
            violations::denied(denied, &String::from_utf8_lossy(call.id.as_bytes()));
            return End::Unserved(Outcome::NotSent);
        }
        tracing::debug!(id = ?call.id, address = %target.dial, kept, "attempt written");
        let request = call.request(&link.progress, expires, purse);
        line.goes_over(Some(link.progress.clone()));
        match link.sender.send_request(request).await {
            Ok(answer) => break (link, answer),
            // A kept connection that turned out to be closed, or to hold bytes that are no answer
            // to this: not a byte of the request was written, so that it goes over another one.
            Err(reason) if kept && link.progress.written() == Written::Nothing => {
                tracing::debug!(id = ?call.id, %reason, "kept connection of no use, another is taken");
            }
            // Only the connection knows whether the backend can have the whole request.
            Err(reason) => {
                tracing::debug!(id = ?call.id, %reason, written = ?link.progress.written(), "backend connection ended");
                return unless_whole(&link, Outcome::Reset);
            }
        }
    };
    if link.progress.written() != Written::Whole {
        let (status, declined) = (
            answer.status(),
            answer.headers().get(&DECLINED).is_some_and(|v| v == "1"),
        );
        return match unserved(status, declined) {
            // It was turned down by its head.
            end @ (End::Rejected | End::Unserved(Outcome::Rejected)) => end,
            _ => unless_whole(&link, Outcome::Reset),
        };
    }
    let sound = match read(answer, purse).await {
        Some(end) => settle(&mut link, end).await,
        None => None,
    };
    let Some((end, clean)) = sound else {
        // Spoilt: the request may have run, and what is on this connection is of no use.
        tracing::debug!(id = ?call.id, address = %target.dial, "answer broken off or malformed");
        return End::Unserved(Outcome::Reset);
    };
    if clean {
        pool.keep(target, link);
    }
    end
}

/// Sees what came behind an answer before it counts. The HTTP library ends a body where its length
/// says: if the length was too short, the rest of the body lies there, and the answer would be
/// passed on cut off. A second answer behind the first is none of the first's business. Tells
/// whether the connection is fit for the next request; nothing where the answer is spoilt.
async fn settle(link: &mut Link, end: End) -> Option<(End, bool)> {
    if link.sender.is_ready() {
        return Some((end, true));
    }
    match timeout(SETTLE, link.sender.ready()).await {
        Ok(Ok(())) => Some((end, true)),
        Ok(Err(_)) => {
            let rest = link.leftover.take();
            let sound = rest.is_empty() || rest.starts_with(b"HTTP/1.");
            sound.then_some((end, false))
        }
        Err(_) => Some((end, false)),
    }
}

/// What an answer means; nothing if it is spoilt. Where it ends must be told, once, by a length
/// that is allowed, or by its sender's word that it closes the connection behind it: what says
/// neither ends nowhere, and of two lengths at most one is true. A reset is no end: it shows as an
/// error of the read, since nobody else asks the system about this connection meanwhile.
async fn read(answer: Response<Incoming>, purse: Option<&Purse>) -> Option<End> {
    let (head, mut body) = answer.into_parts();
    if let Some(purse) = purse {
        purse.read(&head.headers);
    }
    // One walk over the few lines that there are costs less than a look-up for each name.
    let (mut declined, mut lengths, mut codings) = (None, 0, 0);
    let mut closes = head.version == Version::HTTP_10;
    for (name, value) in &head.headers {
        if name == header::CONTENT_LENGTH {
            lengths += 1;
        } else if name == header::TRANSFER_ENCODING {
            codings += 1;
        } else if name == header::CONNECTION {
            let words = value.to_str().unwrap_or_default().split(',');
            closes |= words
                .into_iter()
                .any(|w| w.trim().eq_ignore_ascii_case("close"));
        } else if name == DECLINED {
            declined.get_or_insert(value == "1");
        }
    }
    let declined = declined.unwrap_or(false);
    let bodiless = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    let told = match lengths + codings {
        0 => bodiless || closes,
        1 => !bodiless || lengths == 1,
        _ => false,
    };
    if head.headers.len() > MAX_HEADERS || !told || body.size_hint().lower() > MAX_BODY as u64 {
        return None;
    }
    let (mut first, mut bytes) = (Bytes::new(), BytesMut::new());
    // An answer that breaks off is none: the request may have run.
    while let Some(frame) = timeout(PAUSE, body.frame()).await.ok()? {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        if first.len() + bytes.len() + data.len() > MAX_BODY {
            return None;
        }
        if first.is_empty() && bytes.is_empty() {
            // Most answers come in one piece.
            first = if data.len() < SMALL {
                Bytes::copy_from_slice(&data)
            } else {
                data
            };
            if body.is_end_stream() {
                break;
            }
            continue;
        }
        bytes.extend_from_slice(&std::mem::take(&mut first));
        bytes.extend_from_slice(&data);
    }
    let whole = if bytes.is_empty() {
        first
    } else {
        bytes.freeze()
    };
    Some(match head.status {
        StatusCode::OK => End::Served(whole),
        status => unserved(status, declined),
    })
}

/// What an answer means that is none to pass on.
fn unserved(status: StatusCode, declined: bool) -> End {
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => {
            End::Unserved(Outcome::Rejected)
        }
        // These speak of the moment and not of the request.
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_EARLY | StatusCode::TOO_MANY_REQUESTS => {
            End::Unserved(Outcome::Error)
        }
        status if status.is_client_error() => End::Rejected,
        _ => End::Unserved(Outcome::Error),
    }
}

impl Call {
    fn request(
        &self,
        progress: &Rc<Progress>,
        expires: Instant,
        purse: Option<&Purse>,
    ) -> Request<Outgoing> {
        let remains = expires.saturating_duration_since(Instant::now());
        let left = remains.as_millis() as u64;
        let mut request = Request::new(Outgoing::new(self.body.clone(), progress.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        let host = self
            .host
            .clone()
            .unwrap_or(HeaderValue::from_static("heathroad"));
        headers.insert(HOST, host);
        headers.insert(&ID, self.id.clone());
        headers.insert(&DEADLINE, HeaderValue::from(left));
        if let Some(purse) = purse {
            purse.write(headers, remains);
        }
        if let Some(key) = &self.key {
            headers.insert(&KEY, key.clone());
        }
        if let Some(version) = &self.version {
            headers.insert(&VERSION, version.clone());
        }
        if self.body.is_empty() && self.method != Method::GET {
            headers.insert(header::CONTENT_LENGTH, HeaderValue::from_static("0"));
        }
        request
    }
}
