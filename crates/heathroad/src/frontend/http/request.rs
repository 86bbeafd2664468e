//! Reads HTTP requests: validates the head, binds the request to its pool, and reads the body.

use super::HttpFrontend;
use super::response::RequestError;
use crate::backend::http::{self, DEADLINE, IDEMPOTENCY_KEY, REQUEST_ID};
use crate::backend::{Call, MAX_BODY};
use crate::engine::{self, IncomingRequest};
use crate::frontend::connections::{Connection, MESSAGE_TIMEOUT};
use crate::frontend::reservations::RequestReservation;
use crate::membership::activity_log;
use crate::retry_budget::{RequestBudget, read_http_claim};
use crate::router::{BoundRequest, RoutingRequest};
use crate::runtime_accounting::timeout_at;
use bytes::{Bytes, BytesMut};
use heathroad_balancer::api::Idempotency;
use heathroad_retry_budget::loop_detection::RequestFingerprint;
use heathroad_routing::traffic_split::stable_hash;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{HOST, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, Request, StatusCode, Uri, Version};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum size of an oversized body that is still read to its end and discarded, in bytes.
const MAX_DISCARDED_BODY: usize = 16 * MAX_BODY;
/// Upper bound of a client's timeout, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 600_000;
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;
/// Name of the HTTP listener in routes.
const MAIN_LISTENER: &str = "main";
/// Prefix of the query parameter that contains the request's key.
const KEY_PARAMETER: &str = "k=";

/// Header that names the tenant.
static OWNER: HeaderName = HeaderName::from_static("req-owner");

const BAD_REQUEST: RequestError = RequestError::Malformed(StatusCode::BAD_REQUEST);

/// A request, its reservation, and the pool that it is bound to.
type ReadRequest = (IncomingRequest, RequestReservation, BoundRequest);

/// The protocol headers that the proxy reads. An empty or repeated header counts as absent.
struct ProtocolHeaders<'a> {
    id: &'a HeaderValue,
    tenant: Option<&'a str>,
    timeout: Option<&'a HeaderValue>,
    idempotency_key: Option<&'a HeaderValue>,
}

impl<'a> ProtocolHeaders<'a> {
    fn read(headers: &'a HeaderMap) -> Result<ProtocolHeaders<'a>, RequestError> {
        let names = [&REQUEST_ID, &OWNER, &DEADLINE, &IDEMPOTENCY_KEY];
        let [id, owner, timeout, idempotency_key] = single_values(headers, names);
        Ok(ProtocolHeaders {
            id: id.ok_or(BAD_REQUEST)?,
            tenant: owner.and_then(|owner| owner.to_str().ok()),
            timeout,
            idempotency_key,
        })
    }

    /// Returns the client's timeout.
    fn timeout(&self) -> Result<Duration, RequestError> {
        let text = self.timeout.and_then(|timeout| timeout.to_str().ok());
        // `parse` would accept a leading plus sign.
        let digits = text.filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
        let milliseconds = digits.and_then(|digits| digits.parse::<u64>().ok());
        let milliseconds = milliseconds.ok_or(BAD_REQUEST)?;
        Ok(Duration::from_millis(milliseconds.min(MAX_TIMEOUT_MS)))
    }
}

/// The idempotency key of a request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum KeyHeader {
    Absent,
    Valid,
    /// The header is repeated or empty.
    Invalid,
}

impl KeyHeader {
    fn read(all: &HeaderMap, known: &ProtocolHeaders<'_>) -> KeyHeader {
        match known.idempotency_key {
            Some(_) => KeyHeader::Valid,
            None if all.contains_key(&IDEMPOTENCY_KEY) => KeyHeader::Invalid,
            None => KeyHeader::Absent,
        }
    }
}

impl HttpFrontend {
    /// Reads and validates a complete request.
    pub(super) async fn read_request(
        &self,
        request: Request<Incoming>,
        connection: &Rc<Connection>,
        received_at: Instant,
        is_trusted: bool,
    ) -> Result<ReadRequest, RequestError> {
        let (head, body) = request.into_parts();
        let class = self.check_head(&head)?;
        let headers = ProtocolHeaders::read(&head.headers)?;
        let tenant = self.tenant_index(headers.tenant)?;
        let key = key_parameter(&head.uri);
        let bound = self.bind(&head, class, &headers, key)?;
        let timeout = headers.timeout()?;
        let timeout = bound
            .deadline
            .map_or(timeout, |deadline| timeout.min(deadline));
        let key_header = KeyHeader::read(&head.headers, &headers);
        let has_body = !body.is_end_stream();
        check_method(bound.idempotency, &head.method, key_header, has_body)?;
        // Two open requests with the same ID could not be told apart, and one that may have been
        // executed could be executed again.
        let reservation = RequestReservation::new(&self.table, headers.id, connection);
        let mut reservation = reservation.ok_or(RequestError::DuplicateId)?;
        let body_deadline = body_deadline(connection, received_at, timeout);
        let body = if body.is_end_stream() {
            Bytes::new()
        } else {
            let collected = read_body(body, &mut reservation, self.max_buffered_bytes);
            let timed_out = RequestError::Malformed(StatusCode::REQUEST_TIMEOUT);
            timeout_at(body_deadline, collected)
                .await
                .unwrap_or(Err(timed_out))?
        };
        let activity = bound.activity.clone();
        let call = to_call(&head, &headers, activity.as_ref(), body)?;
        let fingerprint = RequestFingerprint {
            key: key.map_or(0, |key| stable_hash(key.as_bytes())),
            class: bound.class,
            tenant,
        };
        let budget = self.admit_budget(&head.headers, is_trusted, fingerprint, timeout)?;
        let incoming = IncomingRequest {
            call: Call::Http(call),
            class: bound.class,
            tenant,
            key: key.map_or(0, engine::hash_key),
            received_at,
            timeout,
            budget,
            activity,
        };
        Ok((incoming, reservation, bound))
    }

    /// Validates the parts of a head other than the protocol headers, and returns the name of the
    /// request's class.
    fn check_head<'a>(&self, head: &'a Parts) -> Result<&'a str, RequestError> {
        if head.headers.len() > MAX_HEADERS {
            return Err(RequestError::Malformed(
                StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            ));
        }
        // Prevents request smuggling: Hyper removes a `Content-Length` next to a
        // `Transfer-Encoding`, so that a conflict between them cannot be detected here.
        if head.headers.contains_key(TRANSFER_ENCODING) {
            return Err(RequestError::Malformed(StatusCode::LENGTH_REQUIRED));
        }
        if !has_valid_host(head) {
            return Err(BAD_REQUEST);
        }
        let path = head.uri.path().trim_start_matches('/');
        let class = path.split('/').next().unwrap_or_default();
        if !self.router.serves(class) {
            return Err(RequestError::NotRouted(StatusCode::NOT_FOUND));
        }
        Ok(class)
    }

    fn tenant_index(&self, name: Option<&str>) -> Result<u16, RequestError> {
        let tenants = &self.settings.site.tenants;
        if tenants.is_empty() {
            return Ok(0);
        }
        let index = tenants
            .iter()
            .position(|tenant| Some(tenant.as_str()) == name);
        Ok(index.ok_or(BAD_REQUEST)? as u16)
    }

    fn bind(
        &self,
        head: &Parts,
        class: &str,
        headers: &ProtocolHeaders<'_>,
        key: Option<&str>,
    ) -> Result<BoundRequest, RequestError> {
        let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
        let routing_request = RoutingRequest {
            listener: MAIN_LISTENER,
            method: "",
            host: host.unwrap_or_default(),
            path: head.uri.path(),
            class,
            tenant: headers.tenant.unwrap_or_default(),
            headers: &head.headers,
            key: key.map_or(headers.id.as_bytes(), str::as_bytes),
        };
        self.router
            .bind(&routing_request)
            .map_err(RequestError::NotRouted)
    }

    fn admit_budget(
        &self,
        headers: &HeaderMap,
        is_trusted: bool,
        fingerprint: RequestFingerprint,
        timeout: Duration,
    ) -> Result<Option<RequestBudget>, RequestError> {
        let Some(budgets) = &self.budgets else {
            return Ok(None);
        };
        let claim = read_http_claim(headers, is_trusted);
        Ok(Some(budgets.admit(claim, fingerprint, timeout)?))
    }
}

/// Returns the call that attempts of a request send to a backend.
fn to_call(
    head: &Parts,
    headers: &ProtocolHeaders<'_>,
    activity: Option<&activity_log::RequestActivity>,
    body: Bytes,
) -> Result<http::Call, RequestError> {
    let path_and_query = head.uri.path_and_query().cloned();
    Ok(http::Call {
        method: head.method.clone(),
        uri: path_and_query.map(Uri::from).ok_or(BAD_REQUEST)?,
        host: head.headers.get(HOST).cloned(),
        id: headers.id.clone(),
        key: headers.idempotency_key.cloned(),
        version: activity.and_then(activity_log::RequestActivity::version_header),
        body,
    })
}

/// Returns the deadline for reading a body.
fn body_deadline(connection: &Connection, received_at: Instant, timeout: Duration) -> Instant {
    let is_first = !connection.is_answered.get();
    let started_at = if is_first {
        connection.idle_since.get()
    } else {
        received_at
    };
    (started_at + MESSAGE_TIMEOUT).min(received_at + timeout)
}

/// Returns whether a head has one valid `Host` line, as HTTP/1.1 requires (RFC 9112, section 3.2).
fn has_valid_host(head: &Parts) -> bool {
    let mut hosts = head.headers.get_all(HOST).iter();
    let Some(host) = hosts.next() else {
        return head.version == Version::HTTP_10;
    };
    host.as_bytes().iter().all(|byte| is_host_byte(*byte)) && hosts.next().is_none()
}

/// Returns whether a byte may stand in a host with a port (RFC 3986, section 3.2).
fn is_host_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-._~%!$&'()*+,;=:[]".contains(&byte)
}

/// Returns the key in a request's query.
fn key_parameter(uri: &Uri) -> Option<&str> {
    let mut parameters = uri.query()?.split('&');
    let key = parameters.find_map(|parameter| parameter.strip_prefix(KEY_PARAMETER))?;
    Some(key).filter(|key| !key.is_empty())
}

/// Checks a request's method, idempotency key and body against the idempotency of its class.
fn check_method(
    idempotency: Idempotency,
    method: &Method,
    key_header: KeyHeader,
    has_body: bool,
) -> Result<(), RequestError> {
    let is_idempotent = matches!(idempotency, Idempotency::Idempotent);
    let required = if is_idempotent {
        Method::GET
    } else {
        Method::POST
    };
    if *method != required {
        return Err(RequestError::MethodNotAllowed(required));
    }
    let is_valid = match idempotency {
        Idempotency::Idempotent => !has_body,
        Idempotency::Deduplicated { .. } => key_header == KeyHeader::Valid,
        Idempotency::NonIdempotent => key_header == KeyHeader::Absent,
    };
    if is_valid { Ok(()) } else { Err(BAD_REQUEST) }
}

/// Reads a body of at most `MAX_BODY` bytes. A moderately oversized body is read to its end and
/// discarded, so that a client that is still writing can receive the error response.
async fn read_body(
    mut body: Incoming,
    reservation: &mut RequestReservation,
    max_buffered_bytes: usize,
) -> Result<Bytes, RequestError> {
    const TOO_LARGE: RequestError = RequestError::Malformed(StatusCode::PAYLOAD_TOO_LARGE);
    let (mut bytes, mut length) = (BytesMut::new(), 0);
    if body.size_hint().lower() > MAX_DISCARDED_BODY as u64 {
        return Err(TOO_LARGE);
    }
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BAD_REQUEST)?.into_data() else {
            continue;
        };
        length += data.len();
        if length <= MAX_BODY {
            if !reservation.body.try_grow(data.len(), max_buffered_bytes) {
                return Err(RequestError::NoBufferSpace);
            }
            bytes.extend_from_slice(&data);
        } else if length > MAX_DISCARDED_BODY {
            break;
        }
    }
    if length > MAX_BODY {
        Err(TOO_LARGE)
    } else {
        Ok(bytes.freeze())
    }
}

/// Returns the values of the named headers, with `None` for absent, repeated or empty ones. A
/// single pass over the few headers is cheaper than a lookup per name.
fn single_values<'a, const N: usize>(
    headers: &'a HeaderMap,
    names: [&HeaderName; N],
) -> [Option<&'a HeaderValue>; N] {
    let (mut values, mut is_repeated) = ([None; N], [false; N]);
    for (name, value) in headers {
        if let Some(index) = names.iter().position(|known| *known == name) {
            is_repeated[index] |= values[index].replace(value).is_some();
        }
    }
    std::array::from_fn(|index| {
        values[index].filter(|value: &&HeaderValue| !value.is_empty() && !is_repeated[index])
    })
}
