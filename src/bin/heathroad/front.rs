//! The callers' side: takes requests, checks them, and writes each one's answer.

use crate::backend::{Call, MAX_BODY};
use crate::engine::{Answer, Engine, Incoming};
use crate::stream::Watched;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming as Inflow};
use hyper::header::{ALLOW, CONNECTION, HOST, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout_at};
use turnshift::api::Effect;
use turnshift::settings::Facts;

/// A caller may take so long to send a request's head, and may be idle for so long before it.
const HEAD: Duration = Duration::from_secs(60);
/// Pause when nothing can be accepted.
const STARVED: Duration = Duration::from_millis(10);
/// Where places are short, a connection at rest for so long is closed.
const REST: Duration = Duration::from_secs(1);
/// Connections past the limit, taken only to be refused at once.
const SPARE: usize = 32;
/// A body longer than this is not read to its end.
const MAX_UNREAD: usize = 16 * MAX_BODY;
/// Longest time that a caller may say it waits.
const MAX_PATIENCE_MS: u64 = 600_000;

type Reply = Response<Full<Bytes>>;

/// What is needed to read requests.
pub struct Front {
    /// Decides them.
    pub engine: Rc<Engine>,
    /// The settings.
    pub facts: Facts,
    /// Most connections at once.
    pub connections: usize,
}

impl Front {
    /// Accepts connections until `stop` is set; then closes them as they fall idle, and returns when the last
    /// one is.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, mut stop: watch::Receiver<bool>) {
        let mut open = JoinSet::new();
        let closing = stop.clone();
        let crowd = watch::Sender::new(());
        while !*stop.borrow_and_update() {
            let full = open.len() >= self.connections + SPARE;
            if full {
                // Connections that are left in the system's queue hold requests that we owe an answer, and
                // callers at rest may keep theirs for long: those make room.
                crowd.send_replace(());
            }
            tokio::select! {
                _ = stop.changed() => break,
                () = sleep(STARVED), if full => {}
                Some(_) = open.join_next() => {}
                accepted = listener.accept(), if !full => match accepted {
                    Ok((stream, _)) => {
                        let crowded = open.len() >= self.connections;
                        open.spawn_local(self.clone().connection(stream, closing.clone(), crowd.subscribe(), crowded));
                    }
                    // No error ends the loop, out of descriptors or other: callers are waiting, and what is
                    // short comes free again.
                    Err(_) => sleep(STARVED).await,
                }
            }
        }
        drop(listener);
        while open.join_next().await.is_some() {}
    }

    async fn connection(
        self: Rc<Self>,
        stream: TcpStream,
        mut stop: watch::Receiver<bool>,
        mut crowd: watch::Receiver<()>,
        crowded: bool,
    ) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let rests_since = Cell::new(Instant::now());
        let service = service_fn(async |request| {
            let reply = self.answer(request, crowded).await;
            rests_since.set(Instant::now());
            reply
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD)
            .serve_connection(Watched::new(TokioIo::new(stream)), service);
        let mut connection = pin!(connection);
        loop {
            tokio::select! {
                // However it ends, the caller is gone and its request, if any, was told so.
                _ = connection.as_mut() => return,
                _ = stop.wait_for(|stop| *stop) => break,
                // Not the newest ones: their requests are on their way.
                _ = crowd.changed() => if rests_since.get().elapsed() > REST { break },
            }
        }
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }

    async fn answer(&self, request: Request<Inflow>, crowded: bool) -> Result<Reply, Infallible> {
        let received = Instant::now();
        if request.uri().path() == "/health/ready" {
            let ready = self.engine.ready();
            return Ok(plain(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }));
        }
        let mut reply = match self.read(request, received).await {
            Err(reply) => *reply,
            // Places are held by callers at rest too: what is refused is work past what can be carried.
            Ok(_) if crowded && self.engine.owed() >= self.connections => {
                write(Answer::Refused { retry_after: None })
            }
            Ok(incoming) => write(self.engine.decide(incoming).await),
        };
        if crowded {
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(reply)
    }

    /// Reads a request whole, or says what is wrong with it.
    async fn read(&self, request: Request<Inflow>, received: Instant) -> Result<Incoming, Box<Reply>> {
        let (head, body) = request.into_parts();
        let wrong = |status| Box::new(plain(status));
        let name = head.uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
        let class = self.facts.site.classes.iter().position(|c| c == name);
        let class = class.ok_or_else(|| wrong(StatusCode::NOT_FOUND))?;
        let bad = || wrong(StatusCode::BAD_REQUEST);
        let id = one(&head.headers, "req-id").ok_or_else(bad)?.clone();
        let tenants = &self.facts.site.tenants;
        let owner = one(&head.headers, "req-owner").and_then(|o| o.to_str().ok());
        let tenant = match owner {
            _ if tenants.is_empty() => 0,
            owner => tenants.iter().position(|t| Some(t.as_str()) == owner).ok_or_else(bad)?,
        };
        let patience =
            one(&head.headers, "req-deadline-ms").and_then(|d| d.to_str().ok()?.parse::<u64>().ok());
        let patience = Duration::from_millis(patience.ok_or_else(bad)?.min(MAX_PATIENCE_MS));
        let key = one(&head.headers, "idempotency-key").cloned();
        let (method, keyed) = match self.facts.settings.classes[class].effect {
            Effect::Retryable => (Method::GET, None),
            Effect::Dedup { .. } => (Method::POST, Some(true)),
            Effect::Fragile => (Method::POST, Some(false)),
        };
        if head.method != method {
            let mut reply = plain(StatusCode::METHOD_NOT_ALLOWED);
            let allow = HeaderValue::from_static(if method == Method::GET { "GET" } else { "POST" });
            reply.headers_mut().insert(ALLOW, allow);
            return Err(Box::new(reply));
        }
        if keyed.is_some_and(|k| k != key.is_some()) || keyed.is_none() && !body.is_end_stream() {
            return Err(bad());
        }
        let about = head.uri.query().and_then(|q| q.split('&').find_map(|p| p.strip_prefix("k=")));
        let about = about.filter(|k| !k.is_empty()).map(str::to_string);
        // A caller that stops half-way through its body is not waited for beyond its own patience.
        let body = timeout_at(received + patience, collect(body)).await;
        let body = body.unwrap_or(Err(StatusCode::REQUEST_TIMEOUT)).map_err(wrong)?;
        let host = head.headers.get(HOST).cloned();
        let uri = head.uri.path_and_query().cloned().map(Uri::from).ok_or_else(bad)?;
        let call = Call { method, uri, host, id, key, body };
        let (class, tenant) = (class as u16, tenant as u16);
        Ok(Incoming { call, class, tenant, key: about, received, patience })
    }
}

/// A body of bounded length. One that is somewhat too long is read to its end, so that the caller, which may
/// be writing still, gets to read why it is turned down.
async fn collect(mut body: Inflow) -> Result<Bytes, StatusCode> {
    let (mut bytes, mut length) = (BytesMut::new(), 0);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| StatusCode::BAD_REQUEST)?.into_data() else { continue };
        length += data.len();
        if length <= MAX_BODY {
            bytes.extend_from_slice(&data);
        } else if length > MAX_UNREAD {
            break;
        }
    }
    if length > MAX_BODY { Err(StatusCode::PAYLOAD_TOO_LARGE) } else { Ok(bytes.freeze()) }
}

/// A header that must come once, and not empty.
fn one<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|v| !v.is_empty() && values.next().is_none())
}

fn plain(status: StatusCode) -> Reply {
    let mut reply = Response::new(Full::default());
    *reply.status_mut() = status;
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
