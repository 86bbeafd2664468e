//! Attempts over HTTP/1.1.

mod connection;
mod response;

pub use connection::{Connection, IdleConnection};

use super::attempt::AttemptControl;
use super::outcome::{AttemptEnd, classify_status};
use super::pool::Pool;
use super::target::Target;
use crate::retry_budget::AttemptBudget;
use crate::runtime_accounting::sleep;
use crate::safety::violations;
use crate::stream::{Progress, RequestBody, Written};
use bytes::Bytes;
use heathroad_balancer::api::Outcome;
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, Uri, header};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The request id.
pub static REQUEST_ID: HeaderName = HeaderName::from_static("req-id");
/// The remaining time until the caller's timeout, in milliseconds.
pub static DEADLINE: HeaderName = HeaderName::from_static("req-deadline-ms");
/// The idempotency key by which backends deduplicate retries.
pub static IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// The configuration version that a request is bound to, for test harnesses.
static VERSION: HeaderName = HeaderName::from_static("req-version");
/// States that the backend declined the request without processing it.
static DECLINED: HeaderName = HeaderName::from_static("srv-declined");

/// The `Host` header of requests without one.
const DEFAULT_HOST: HeaderValue = HeaderValue::from_static("heathroad");

/// The content of an HTTP request, which is the same for all its attempts.
pub struct Call {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The client's `Host` header.
    pub host: Option<HeaderValue>,
    /// The `Req-Id` header.
    pub id: HeaderValue,
    /// The `Idempotency-Key` header.
    pub key: Option<HeaderValue>,
    /// The `Req-Version` header, if it is sent to backends.
    pub version: Option<HeaderValue>,
    /// The body.
    pub body: Bytes,
}

impl Call {
    fn to_request(
        &self,
        progress: &Rc<Progress>,
        expires_at: Instant,
        budget: Option<&AttemptBudget>,
    ) -> Request<RequestBody> {
        let remaining_time = expires_at.saturating_duration_since(Instant::now());
        let mut request = Request::new(RequestBody::new(self.body.clone(), progress.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        headers.insert(HOST, self.host.clone().unwrap_or(DEFAULT_HOST));
        headers.insert(&REQUEST_ID, self.id.clone());
        headers.insert(
            &DEADLINE,
            HeaderValue::from(remaining_time.as_millis() as u64),
        );
        if let Some(budget) = budget {
            budget.write_headers(headers, remaining_time);
        }
        if let Some(key) = &self.key {
            headers.insert(&IDEMPOTENCY_KEY, key.clone());
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

/// Sends a request and reads its response. The control records the connection in use.
pub(super) async fn exchange(
    pool: &Rc<Pool>,
    call: &Call,
    target: &Rc<Target>,
    expires_at: Instant,
    control: &AttemptControl,
    budget: Option<&AttemptBudget>,
) -> AttemptEnd {
    let sent = send(pool, call, target, expires_at, control, budget).await;
    let (mut connection, response) = match sent {
        Ok(sent) => sent,
        Err(result) => return result,
    };
    if connection.progress.written() != Written::Complete {
        return classify_early_response(&connection, &response);
    }
    let result = response::read(response, budget).await;
    let is_reusable = match result {
        Some(_) => response::check_trailing_bytes(&mut connection).await,
        None => None,
    };
    let Some((result, is_reusable)) = result.zip(is_reusable) else {
        // The request may have been executed.
        tracing::debug!(id = ?call.id, address = %target.address, "response truncated or malformed");
        return AttemptEnd::NotServed(Outcome::Reset);
    };
    if is_reusable {
        pool.keep_idle(target, connection);
    }
    result
}

/// Sends a request over an idle connection, or over a new one, and returns its response.
async fn send(
    pool: &Pool,
    call: &Call,
    target: &Target,
    expires_at: Instant,
    control: &AttemptControl,
    budget: Option<&AttemptBudget>,
) -> Result<(Connection, Response<Incoming>), AttemptEnd> {
    loop {
        let (mut connection, is_reused) = match pool.take_idle(target) {
            Some((connection, settle_time)) => {
                settle(settle_time).await;
                (connection, true)
            }
            None => {
                let connection = pool.connect_http(target.address).await;
                (connection.map_err(AttemptEnd::NotServed)?, false)
            }
        };
        // While the connection was established, the backend may have started to drain, the client
        // may have disconnected, or the write deadline may have passed.
        check_write(pool, call, target, control)?;
        tracing::debug!(id = ?call.id, address = %target.address, is_reused, "attempt written");
        connection.progress.set_client(control.client.clone());
        let request = call.to_request(&connection.progress, expires_at, budget);
        control.assign_connection(Some(connection.progress.clone()));
        let reason = match connection.sender.send_request(request).await {
            Ok(response) => return Ok((connection, response)),
            Err(reason) => reason,
        };
        let written = connection.progress.written();
        tracing::debug!(id = ?call.id, %reason, ?written, is_reused, "backend connection lost");
        if written == Written::None {
            // The client may have left before the first byte.
            check_write(pool, call, target, control)?;
        }
        // An idle connection may have been closed or had stray bytes. If nothing of the request was
        // written, it can be sent over another connection; otherwise the outcome depends on whether
        // the backend may have received the complete request.
        if !is_reused || written != Written::None {
            return Err(reset_unless_unwritten(&connection));
        }
    }
}

/// Checks whether the request may be written now; records the denial otherwise.
fn check_write(
    pool: &Pool,
    call: &Call,
    target: &Target,
    control: &AttemptControl,
) -> Result<(), AttemptEnd> {
    pool.check_write(target, control).map_err(|denial| {
        violations::record_denial(denial, &String::from_utf8_lossy(call.id.as_bytes()));
        AttemptEnd::NotServed(Outcome::NotSent)
    })
}

/// Waits until stray bytes on an idle connection would have been noticed.
async fn settle(time: Duration) {
    if !time.is_zero() {
        sleep(time).await;
    }
}

/// Classifies a response that arrived before the request was fully written. It is only accepted as
/// a rejection, which a backend may send after the request head.
fn classify_early_response(connection: &Connection, response: &Response<Incoming>) -> AttemptEnd {
    match classify_status(response.status(), response::is_declined(response)) {
        result @ (AttemptEnd::Rejected | AttemptEnd::NotServed(Outcome::Rejected)) => result,
        _ => reset_unless_unwritten(connection),
    }
}

/// Returns the result of a lost connection. A request that was not fully written is never executed,
/// since the connection is closed and the backend does not receive the rest.
fn reset_unless_unwritten(connection: &Connection) -> AttemptEnd {
    AttemptEnd::NotServed(match connection.progress.written() {
        Written::Complete => Outcome::Reset,
        Written::None | Written::Partial => Outcome::ConnectFailed,
    })
}
