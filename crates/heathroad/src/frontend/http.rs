//! Requests over HTTP: takes them, checks them, and writes each one's answer.

use super::connections::{
    ARRIVE, Closed, FIRST, Held, Room, SPARE, Seat, Seated, Stage, Taken, queued,
};
use super::read_ahead::Half;
use crate::backend::http::{self, DEADLINE, ID, KEY};
use crate::backend::{Call, MAX_BODY};
use crate::engine::{self, Answer, Incoming, away};
use crate::membership::activity_log;
use crate::metrics::Final;
use crate::retry_budget::{self, Books, SPENT};
use crate::router::{BoundRequest, Router, RoutingRequest};
use crate::runtime_accounting::{sleep, spawn_in, timeout_at};
use crate::safety::Waiting;
use crate::stall_detector;
use crate::stream::{Peek, Watched};
use crate::time::as_millis;
use bytes::{Bytes, BytesMut};
use heathroad_balancer::api::Idempotency;
use heathroad_balancer::settings::InstanceSettings;
use heathroad_retry_budget::path::Mark;
use heathroad_routing::traffic_split::stable_hash;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming as Inflow};
use hyper::header::{
    ALLOW, CONNECTION, HOST, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING,
};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use std::cell::Cell;
use std::convert::Infallible;
use std::future::{Future, pending, poll_fn};
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, interval};

/// How often callers are looked through for those that are late.
const SWEEP: Duration = Duration::from_millis(250);
/// Pause when nothing can be accepted.
const STARVED: Duration = Duration::from_millis(10);
/// Share of the places that callers may fill with requests who have not been served on their
/// connection yet: a burst of requests that are worth nothing must leave room for the others.
const NEWCOMERS: f64 = 0.75;
/// A body longer than this is not read to its end.
const MAX_UNREAD: usize = 16 * MAX_BODY;
/// Longest time that a caller may say it waits.
const MAX_PATIENCE_MS: u64 = 600_000;
/// Longest head, and most lines in it. The buffer for both heads and bodies grows to this size.
/// (The library has a bound of its own on lines, of 100; told another, it makes room for them anew
/// and slowly for each head.)
const MAX_HEAD: usize = 16 * 1024;
const MAX_HEADERS: usize = 64;

/// Names the tenant.
static OWNER: HeaderName = HeaderName::from_static("req-owner");
/// Nothing more is read behind this answer.
const CLOSE: HeaderValue = HeaderValue::from_static("close");

type Reply = Response<Full<Bytes>>;

/// What is needed to read requests.
pub struct Front {
    /// Says where they go.
    pub router: Rc<Router>,
    /// The settings.
    pub facts: InstanceSettings,
    /// Most connections at once.
    pub connections: usize,
    /// Most bytes in the bodies of open requests.
    pub bodies: usize,
    /// Who is there.
    pub room: Rc<Room>,
    /// Budgets down a chain, where they are kept.
    pub books: Option<Rc<Books>>,
}

impl Front {
    /// Accepts connections until `stop` is set; then closes them as they fall idle, and returns
    /// when the last one is. Nobody is kept waiting in the system's queue, where requests may lie
    /// that are owed an answer: whom there is no place for takes that of a caller that has long
    /// said nothing.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, mut stop: watch::Receiver<bool>) {
        let mut open = JoinSet::new();
        let closing = stop.clone();
        let mut sweep = interval(SWEEP);
        let present = || self.room.present();
        while !*stop.borrow_and_update() {
            let full = present() >= self.connections + SPARE;
            if full {
                self.room.shed();
            }
            tokio::select! {
                _ = stop.changed() => break,
                Some(_) = open.join_next() => {}
                _ = sweep.tick() => self.room.sweep(),
                accepted = listener.accept(), if !full => match accepted {
                    // Its place counts from now on. Those behind it are taken at once, as far as a
                    // task's turn goes: a turn of all that are served for each would leave new
                    // callers waiting for seconds.
                    Ok((stream, _)) => spawn_in(&mut open, self.clone().seat(stream, closing.clone())),
                    // No error ends the loop, out of descriptors or other: callers are waiting, and
                    // what is short comes free again.
                    Err(_) => {
                        self.room.shed();
                        sleep(STARVED).await;
                    }
                }
            }
        }
        // Whoever has come by now is in the system's queue.
        let mut queue = queued(&listener);
        while present() < self.connections + SPARE
            && let Some(stream) = queue.next()
        {
            spawn_in(&mut open, self.clone().seat(stream, closing.clone()));
        }
        drop(queue);
        drop(listener);
        loop {
            tokio::select! {
                ended = open.join_next() => if ended.is_none() { return },
                _ = sweep.tick() => self.room.sweep(),
            }
        }
    }

    /// A new caller's place, which counts at once, and what becomes of it.
    fn seat(
        self: Rc<Self>,
        stream: TcpStream,
        stop: watch::Receiver<bool>,
    ) -> impl Future<Output = ()> {
        let crowded = self.room.present() >= self.connections && !self.room.shed();
        let seated = Seated::new(&self.room, stream);
        self.connection(seated, stop, crowded)
    }

    async fn connection(
        self: Rc<Self>,
        seated: Seated,
        mut stop: watch::Receiver<bool>,
        crowded: bool,
    ) {
        let seat = &seated.seat;
        let wire = &seat.wire;
        let inner = match (&self.books, wire.with(TcpStream::peer_addr)) {
            (Some(books), Ok(peer)) => books.inner(peer.ip()),
            _ => false,
        };
        if wire.with(|stream| stream.set_nodelay(true)).is_err() {
            return;
        }
        tracing::debug!(
            connection = seat.number,
            crowded,
            present = self.room.present(),
            "connection accepted"
        );
        // Its next answer is its last.
        let last = Cell::new(crowded);
        let service = service_fn(async |request| {
            let mut reply = self.answer(request, seat, crowded, inner).await;
            // With a further request behind it the connection stays for that one.
            if last.get() && (crowded || !wire.unread()) {
                reply
                    .iter_mut()
                    .for_each(|r| drop(r.headers_mut().insert(CONNECTION, CLOSE)));
            }
            if let Ok(reply) = &reply {
                tracing::debug!(
                    connection = seat.number,
                    status = reply.status().as_u16(),
                    elapsed_ms = as_millis(seat.since_read()),
                    "request answered"
                );
            }
            seat.stage.set(Stage::Rest);
            seat.progress.listen();
            seat.since.set(Instant::now());
            seat.answered.set(true);
            reply
        });
        let watched = Watched::over(Half(seated.seat.clone()), seat.progress.clone());
        let connection = http1::Builder::new()
            .header_read_timeout(None)
            .max_buf_size(MAX_HEAD)
            .serve_connection(watched, service);
        let mut connection = pin!(connection);
        let mut gone = pin!(wire.gone(|| seat.stage.get() == Stage::Taken, self.bodies));
        loop {
            let over = poll_fn(|cx| {
                // That the client has left is seen before anything is done for it, and looked for
                // again once it is.
                if gone.as_mut().poll(cx).is_ready() {
                    return Poll::Ready(Closed::ByClient);
                }
                if let Poll::Ready(ended) = connection.as_mut().poll(cx) {
                    return Poll::Ready(Closed::of(&ended));
                }
                gone.as_mut().poll(cx).map(|()| Closed::ByClient)
            });
            tokio::select! {
                biased;
                // However it ends, the caller is gone and its request, if any, was told so.
                reason = over => return seat.closed(reason),
                () = seat.leave.notified() => if seat.leaves() { return seat.closed(Closed::Shed) },
                _ = stop.wait_for(|stop| *stop) => break,
            }
        }
        // What was taken is answered, and so is what lies here to be read; then the connection
        // closes.
        last.set(true);
        let mut first = pin!(sleep(FIRST));
        loop {
            let ended = poll_fn(|cx| {
                let waited = seat.answered.get() || first.as_mut().poll(cx).is_ready();
                if gone.as_mut().poll(cx).is_ready() {
                    return Poll::Ready(Closed::ByClient);
                }
                if let Poll::Ready(ended) = connection.as_mut().poll(cx) {
                    return Poll::Ready(Closed::of(&ended));
                }
                if gone.as_mut().poll(cx).is_ready() {
                    return Poll::Ready(Closed::ByClient);
                }
                if waited && seat.rests() && !wire.unread() {
                    connection.as_mut().graceful_shutdown();
                    return connection.as_mut().poll(cx).map(|ended| Closed::of(&ended));
                }
                Poll::Pending
            });
            tokio::select! {
                biased;
                // What lies here is read before anybody is asked to leave.
                reason = ended => return seat.closed(reason),
                () = seat.leave.notified() => if seat.leaves() { return seat.closed(Closed::Shed) },
            }
        }
    }

    async fn answer(
        &self,
        request: Request<Inflow>,
        seat: &Rc<Seat>,
        crowded: bool,
        inner: bool,
    ) -> Result<Reply, Infallible> {
        // A request that came behind another has waited for its turn since it was read.
        let received = seat.progress.heard().unwrap_or_else(Instant::now);
        seat.progress.listen();
        if request.uri().path() == "/health/ready" {
            let ready = self.router.ready();
            return Ok(plain(if ready {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            }));
        }
        seat.stage.set(Stage::Body);
        let reply = match self.read(request, seat, received, inner).await {
            Err(reply) => {
                tracing::debug!(
                    connection = seat.number,
                    status = reply.status().as_u16(),
                    "request unusable"
                );
                self.router.meter().unusable(reply.status().as_u16());
                *reply
            }
            Ok((incoming, _, bound)) if self.overrun(seat, crowded) => {
                tracing::debug!(id = %incoming.call.label(), reason = "no room", "request refused");
                bound.engine.undecided(&incoming, Final::Refused);
                write(Answer::Refused {
                    retry_after: away(&self.facts),
                })
            }
            Ok((incoming, _held, bound)) => {
                seat.stage.set(Stage::Taken);
                // Its caller may have left while it lay unread: nothing is begun for nobody. The
                // connection's task sees the same, and ends.
                if seat
                    .wire
                    .left(!seat.answered.get() || stall_detector::held_up(Instant::now()))
                {
                    tracing::debug!(id = %incoming.call.label(), reason = "client left", "request dropped");
                    bound.engine.undecided(&incoming, Final::Left);
                    return pending().await;
                }
                let _taken = Taken::new(&self.room);
                tracing::debug!(id = %incoming.call.label(), connection = seat.number, "request taken");
                let (answer, spent) = bound
                    .engine
                    .decide(incoming, Some(Waiting::new(seat)))
                    .await;
                seat.served
                    .set(seat.served.get() || matches!(answer, Answer::Served(_)));
                let mut reply = write(answer);
                if let Some(value) = spent.and_then(|s| HeaderValue::try_from(s.to_string()).ok()) {
                    reply.headers_mut().insert(SPENT, value);
                }
                reply
            }
        };
        Ok(reply)
    }

    /// Whether there is no room for one more request. Places are held by callers at rest too: what
    /// is refused is work past what can be carried.
    fn overrun(&self, seat: &Seat, crowded: bool) -> bool {
        let (taken, most) = (self.room.taken.get(), self.connections);
        let newcomers = (most as f64 * NEWCOMERS) as usize;
        crowded && taken >= most || !seat.served.get() && taken >= newcomers
    }

    /// Reads a request whole, or says what is wrong with it.
    async fn read(
        &self,
        request: Request<Inflow>,
        seat: &Rc<Seat>,
        received: Instant,
        inner: bool,
    ) -> Result<(Incoming, Held, BoundRequest), Box<Reply>> {
        let (head, body) = request.into_parts();
        let wrong = |status| Box::new(closing(status));
        if head.headers.len() > MAX_HEADERS {
            return Err(wrong(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
        }
        // The library takes a length beside a transfer coding away before it can be seen here, and
        // what hides in such a body must not go on. Nobody needs the coding: bodies are short and
        // their length is known.
        if head.headers.contains_key(TRANSFER_ENCODING) {
            return Err(wrong(StatusCode::LENGTH_REQUIRED));
        }
        let name = head
            .uri
            .path()
            .trim_start_matches('/')
            .split('/')
            .next()
            .unwrap_or_default();
        if !self.router.serves(name) {
            return Err(Box::new(plain(StatusCode::NOT_FOUND)));
        }
        let bad = || wrong(StatusCode::BAD_REQUEST);
        let [id, owner, patience, key] = sole(&head.headers, [&ID, &OWNER, &DEADLINE, &KEY]);
        let id = id.ok_or_else(bad)?.clone();
        let tenants = &self.facts.site.tenants;
        let owner = owner.and_then(|o| o.to_str().ok());
        let tenant = match owner {
            _ if tenants.is_empty() => 0,
            owner => tenants
                .iter()
                .position(|t| Some(t.as_str()) == owner)
                .ok_or_else(bad)?,
        };
        let about = head
            .uri
            .query()
            .and_then(|q| q.split('&').find_map(|p| p.strip_prefix("k=")));
        let about = about.filter(|k| !k.is_empty());
        let ask = RoutingRequest {
            listener: "main",
            method: "",
            host: head
                .headers
                .get(HOST)
                .and_then(|h| h.to_str().ok())
                .unwrap_or_default(),
            path: head.uri.path(),
            class: name,
            tenant: owner.unwrap_or_default(),
            headers: &head.headers,
            key: about.map_or(id.as_bytes(), str::as_bytes),
        };
        let bound = self
            .router
            .bind(&ask)
            .map_err(|status| Box::new(plain(status)))?;
        let patience = patience.and_then(|d| d.to_str().ok()).filter(|d| digits(d));
        let patience = patience.and_then(|d| d.parse::<u64>().ok());
        let patience = Duration::from_millis(patience.ok_or_else(bad)?.min(MAX_PATIENCE_MS));
        let patience = bound.deadline.map_or(patience, |most| patience.min(most));
        let key = key.cloned();
        let (method, keyed) = match bound.effect {
            Idempotency::Idempotent => (Method::GET, None),
            Idempotency::Deduplicated { .. } => (Method::POST, Some(true)),
            Idempotency::NonIdempotent => (Method::POST, Some(false)),
        };
        if head.method != method {
            let mut reply = plain(StatusCode::METHOD_NOT_ALLOWED);
            let allow =
                HeaderValue::from_static(if method == Method::GET { "GET" } else { "POST" });
            reply.headers_mut().insert(ALLOW, allow);
            return Err(Box::new(reply));
        }
        if keyed.is_some_and(|k| k != key.is_some()) || keyed.is_none() && !body.is_end_stream() {
            return Err(bad());
        }
        // Of two requests with one id only the first can be told from its repeat.
        let held = Held::new(&self.room, &id).ok_or_else(|| Box::new(plain(StatusCode::CONFLICT)));
        let mut held = held?;
        // A caller that stops half-way through its body is not waited for.
        let begun = if seat.answered.get() {
            received
        } else {
            seat.since.get()
        };
        let limit = (begun + ARRIVE).min(received + patience);
        let body = if body.is_end_stream() {
            Ok(Bytes::new())
        } else {
            let body = timeout_at(limit, collect(body, &mut held, self.bodies)).await;
            body.unwrap_or(Err(StatusCode::REQUEST_TIMEOUT))
        };
        let body = match body {
            Ok(body) => body,
            Err(StatusCode::SERVICE_UNAVAILABLE) => {
                return Err(Box::new(write(Answer::Refused {
                    retry_after: away(&self.facts),
                })));
            }
            Err(status) => return Err(wrong(status)),
        };
        let key_of = about.map_or(0, engine::key);
        let host = head.headers.get(HOST).cloned();
        let uri = head
            .uri
            .path_and_query()
            .cloned()
            .map(Uri::from)
            .ok_or_else(bad)?;
        let (class, tenant) = (bound.class, tenant as u16);
        let enter = |books: &Rc<Books>| {
            let mark = Mark {
                key: about.map_or(0, |k| stable_hash(k.as_bytes())),
                class,
                tenant,
            };
            books
                .enter(retry_budget::told(&head.headers, inner), mark, patience)
                .map_err(|why| Box::new(looped(why)))
        };
        let budget = self.books.as_ref().map(enter).transpose()?;
        let acts = bound.acts.clone();
        let version = acts
            .as_ref()
            .and_then(activity_log::RequestActivity::version_header);
        let call = Call::Http(http::Call {
            method,
            uri,
            host,
            id,
            key,
            version,
            body,
        });
        let key = key_of;
        let incoming = Incoming {
            call,
            class,
            tenant,
            key,
            received,
            patience,
            budget,
            acts,
        };
        Ok((incoming, held, bound))
    }
}

/// A body of bounded length. One that is somewhat too long is read to its end, so that the caller,
/// which may be writing still, gets to read why it is turned down.
async fn collect(mut body: Inflow, held: &mut Held, most: usize) -> Result<Bytes, StatusCode> {
    let (mut bytes, mut length) = (BytesMut::new(), 0);
    if body.size_hint().lower() > MAX_UNREAD as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| StatusCode::BAD_REQUEST)?.into_data() else {
            continue;
        };
        length += data.len();
        if length <= MAX_BODY {
            if !held.stock.grow(data.len(), most) {
                return Err(StatusCode::SERVICE_UNAVAILABLE);
            }
            bytes.extend_from_slice(&data);
        } else if length > MAX_UNREAD {
            break;
        }
    }
    if length > MAX_BODY {
        Err(StatusCode::PAYLOAD_TOO_LARGE)
    } else {
        Ok(bytes.freeze())
    }
}

/// Whether a text is a number without a sign.
fn digits(text: &str) -> bool {
    text.bytes().all(|b| b.is_ascii_digit())
}

/// Headers that must come once, and not empty; nothing for one that does not. One walk over the few
/// lines that there are costs less than a look-up for each name.
fn sole<'a, const N: usize>(
    headers: &'a HeaderMap,
    names: [&HeaderName; N],
) -> [Option<&'a HeaderValue>; N] {
    let (mut found, mut twice) = ([None; N], [false; N]);
    for (name, value) in headers {
        if let Some(at) = names.iter().position(|n| *n == name) {
            twice[at] |= found[at].replace(value).is_some();
        }
    }
    std::array::from_fn(|at| found[at].filter(|v: &&HeaderValue| !v.is_empty() && !twice[at]))
}

fn plain(status: StatusCode) -> Reply {
    let mut reply = Response::new(Full::default());
    *reply.status_mut() = status;
    reply
}

/// The end of a request that has come round. No other way leads out of a loop.
fn looped(why: String) -> Reply {
    let mut reply = Response::new(Full::from(why));
    *reply.status_mut() = StatusCode::LOOP_DETECTED;
    reply
        .headers_mut()
        .insert(SPENT, HeaderValue::from_static("a=0, stop"));
    reply
}

/// An answer to what can't be used, after which nothing more is read.
fn closing(status: StatusCode) -> Reply {
    let mut reply = plain(status);
    reply.headers_mut().insert(CONNECTION, CLOSE);
    reply
}

fn write(answer: Answer) -> Reply {
    match answer {
        Answer::Served(body) => Response::new(Full::new(body)),
        Answer::Refused { retry_after } => {
            let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE);
            let seconds = retry_after.map(|d| format!("{:.3}", d.as_secs_f64()));
            if let Some(value) = seconds.and_then(|s| HeaderValue::try_from(s).ok()) {
                reply.headers_mut().insert(RETRY_AFTER, value);
            }
            reply
        }
        Answer::Failed => plain(StatusCode::BAD_GATEWAY),
        Answer::TimedOut => plain(StatusCode::GATEWAY_TIMEOUT),
    }
}

#[cfg(test)]
#[path = "../../tests/unit/frontend_http.rs"]
mod tests;
