//! The backends' side: a pool of kept connections, and attempts with what each ending means.

use crate::stream::{Outgoing, Progress, Watched};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{HOST, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri, header};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};
use turnshift::api::Outcome;

/// Longest body that is passed on in either direction.
pub const MAX_BODY: usize = 64 * 1024;
/// An overtaken attempt's answer is awaited so long, to keep its connection: longer than most work takes.
const DRAIN: Duration = Duration::from_secs(5);
/// Connections on which overtaken answers are awaited, as a share of all.
const DRAIN_SHARE: usize = 4;
/// Kept connections are given up at this share of the time after which backends close them.
const RETIRE: f64 = 0.5;

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
    /// Its body.
    pub body: Bytes,
}

/// Where a backend is reached, and since when it is known to drain or be gone.
pub struct Target {
    /// Its address.
    pub dial: SocketAddr,
    /// When its process started, as discovery tells it.
    pub born_ms: f64,
    /// When this proxy was told that it takes nothing new.
    pub drained: Cell<Option<Instant>>,
}

/// How an attempt ended.
pub enum End {
    /// With an answer to pass on.
    Served(Bytes),
    /// Turned down as a request that no backend can use.
    Rejected,
    /// Otherwise.
    Unserved(Outcome),
}

impl End {
    /// The module's word for it.
    pub fn outcome(&self) -> Outcome {
        match self {
            End::Served(_) => Outcome::Ok,
            // The request's fault: it says nothing of the backend, and another would say the same.
            End::Rejected => Outcome::Cancelled,
            End::Unserved(outcome) => *outcome,
        }
    }
}

/// What the pool keeps to.
pub struct Limits {
    /// Most connections at once.
    pub connections: usize,
    /// A connect that takes longer has failed.
    pub connect: Duration,
    /// Backends close connections idle for so long.
    pub idle: Duration,
    /// Nothing is sent later than this after the notice of a drain.
    pub drain_grace: Duration,
    /// Whether an overtaken attempt may stay open beside the next one.
    pub may_duplicate: bool,
}

/// The connections to all backends.
pub struct Pool {
    limits: Limits,
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
    open: Rc<Cell<usize>>,
    draining: Rc<Cell<usize>>,
}

struct Idle {
    link: Link,
    since: Instant,
}

/// A connection that carries one request at a time.
struct Link {
    sender: SendRequest<Outgoing>,
    progress: Rc<Progress>,
}

/// One of a limited number of places; given back when dropped.
struct Place(Rc<Cell<usize>>);

impl Place {
    fn take(count: &Rc<Cell<usize>>, most: usize) -> Option<Place> {
        (count.get() < most).then(|| {
            count.set(count.get() + 1);
            Place(count.clone())
        })
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Pool {
    /// An empty pool.
    pub fn new(limits: Limits) -> Self {
        Pool { limits, idle: RefCell::default(), open: Rc::default(), draining: Rc::default() }
    }

    /// Closes what is idle to an address.
    pub fn close(&self, dial: SocketAddr) {
        self.idle.borrow_mut().remove(&dial);
    }

    /// Closes what has been idle for long. A backend closes idle connections too, and a request that crosses
    /// its close would end as a reset, which may have run: ours go clearly earlier.
    pub fn sweep(&self) {
        let age = self.limits.idle.mul_f64(RETIRE);
        self.idle.borrow_mut().retain(|_, links| {
            links.retain(|i| !i.link.sender.is_closed() && i.since.elapsed() < age);
            !links.is_empty()
        });
    }

    /// The most recently used of those still open: the others may then grow old and be closed.
    fn reuse(&self, dial: SocketAddr) -> Option<Link> {
        let age = self.limits.idle.mul_f64(RETIRE);
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&dial)?;
        while let Some(Idle { link, since }) = links.pop() {
            if link.sender.is_ready() && since.elapsed() < age {
                return Some(link);
            }
        }
        None
    }

    fn keep(&self, target: &Target, link: Link) {
        if target.drained.get().is_none() && !link.sender.is_closed() {
            let idle = Idle { link, since: Instant::now() };
            self.idle.borrow_mut().entry(target.dial).or_default().push(idle);
        }
    }

    /// Closes the connection that has been idle longest, whosoever it is.
    fn evict(&self) {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.iter().filter_map(|(dial, links)| Some((links.first()?.since, *dial))).min();
        if let Some(links) = oldest.and_then(|(_, dial)| idle.get_mut(&dial)) {
            links.remove(0);
        }
    }

    async fn connect(&self, dial: SocketAddr) -> Result<Link, Outcome> {
        let Some(place) = Place::take(&self.open, self.limits.connections) else {
            // No descriptor to spare: that says nothing of the backend, and the request was never sent.
            self.evict();
            return Err(Outcome::Moot);
        };
        if self.open.get() == self.limits.connections {
            self.evict();
        }
        let stream = match timeout(self.limits.connect, TcpStream::connect(dial)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) if out_of_descriptors(&e) => return Err(Outcome::Moot),
            Ok(Err(_)) | Err(_) => return Err(Outcome::ConnectFailed),
        };
        stream.set_nodelay(true).map_err(|_| Outcome::ConnectFailed)?;
        let watched = Watched::new(TokioIo::new(stream));
        let progress = watched.progress();
        let (sender, connection) = handshake(watched).await.map_err(|_| Outcome::ConnectFailed)?;
        tokio::task::spawn_local(async move {
            let _place = place;
            // Its end shows at the sender, where it has a meaning.
            let _ = connection.await;
        });
        Ok(Link { sender, progress })
    }
}

/// Whether the process or the machine has no descriptor left.
fn out_of_descriptors(e: &io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    matches!(e.raw_os_error(), Some(ENFILE | EMFILE))
}

/// One attempt: when it must end, and who may call it off.
pub struct Attempt {
    /// The request.
    pub call: Rc<Call>,
    /// Where it goes.
    pub target: Rc<Target>,
    /// When it is given up.
    pub not_past: Instant,
    /// Withdraws it.
    pub cancelled: oneshot::Receiver<()>,
}

impl Attempt {
    /// Carries the attempt out and reports its end, once. The connection of an attempt that was given up is
    /// kept for a while after that: here no backend stops its work, so that closing would spare nothing
    /// and cost both sides a new connection.
    pub async fn run(self, pool: Rc<Pool>, report: impl FnOnce(End)) {
        let Attempt { call, target, not_past, mut cancelled } = self;
        let written = Rc::new(Cell::new(false));
        let mut exchange = pin!(exchange(&pool, &call, &target, not_past, written.clone()));
        let given_up = tokio::select! {
            biased;
            end = &mut exchange => return report(end),
            () = sleep_until(not_past) => Outcome::Timeout,
            Ok(()) = &mut cancelled => Outcome::Cancelled,
        };
        report(End::Unserved(given_up));
        if written.get() && pool.limits.may_duplicate {
            let most = pool.limits.connections / DRAIN_SHARE;
            if let Some(_place) = Place::take(&pool.draining, most) {
                // Whether it came or not, nobody waits for the answer itself.
                let _ = timeout_at(Instant::now() + DRAIN, exchange).await;
            }
        }
    }
}

/// Sends the request and reads its answer; `written` tells that it was handed to a connection.
async fn exchange(
    pool: &Rc<Pool>,
    call: &Call,
    target: &Rc<Target>,
    not_past: Instant,
    written: Rc<Cell<bool>>,
) -> End {
    let mut link = match pool.reuse(target.dial) {
        Some(link) => link,
        None => match pool.connect(target.dial).await {
            Ok(link) => link,
            Err(outcome) => return End::Unserved(outcome),
        },
    };
    // The connect may have begun before the backend was told to drain and ended long after: by then a send
    // would break the drain. Half the grace leaves room for a late loop and a slow write.
    if target.drained.get().is_some_and(|told| told.elapsed() > pool.limits.drain_grace / 2) {
        return End::Unserved(Outcome::Moot);
    }
    let Some(request) = call.request(&link.progress, not_past) else {
        return End::Unserved(Outcome::Moot);
    };
    written.set(true);
    let answer = match link.sender.send_request(request).await {
        Ok(answer) => answer,
        // Only the connection knows whether the backend can have the whole request.
        Err(_) if link.progress.whole() => return End::Unserved(Outcome::Reset),
        Err(_) => return End::Unserved(Outcome::ConnectFailed),
    };
    let end = read(answer).await;
    if end.outcome() != Outcome::Reset {
        let (pool, target) = (pool.clone(), target.clone());
        tokio::task::spawn_local(async move {
            if link.sender.ready().await.is_ok() {
                pool.keep(&target, link);
            }
        });
    }
    end
}

/// What an answer means.
async fn read(answer: Response<hyper::body::Incoming>) -> End {
    let (head, body) = answer.into_parts();
    let declined = head.headers.get("srv-declined").is_some_and(|v| v == "1");
    // An answer that breaks off is none: the request may have run.
    let Ok(body) = Limited::new(body, MAX_BODY).collect().await else {
        return End::Unserved(Outcome::Reset);
    };
    match head.status {
        StatusCode::OK => End::Served(body.to_bytes()),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => {
            End::Unserved(Outcome::Full)
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
    fn request(&self, progress: &Rc<Progress>, not_past: Instant) -> Option<Request<Outgoing>> {
        let left = not_past.saturating_duration_since(Instant::now()).as_millis() as u64;
        let mut request = Request::builder().method(self.method.clone()).uri(self.uri.clone());
        let headers = request.headers_mut()?;
        let host = self.host.clone().unwrap_or(HeaderValue::from_static("heathroad"));
        headers.insert(HOST, host);
        headers.insert("req-id", self.id.clone());
        headers.insert("req-deadline-ms", HeaderValue::from(left));
        if let Some(key) = &self.key {
            headers.insert("idempotency-key", key.clone());
        }
        if self.body.is_empty() && self.method != Method::GET {
            headers.insert(header::CONTENT_LENGTH, HeaderValue::from_static("0"));
        }
        request.body(Outgoing::new(self.body.clone(), progress.clone())).ok()
    }
}
