//! The backends' side: a pool of kept connections, and attempts with what each ending means.

use crate::stream::{Outgoing, Progress, Watched};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::{HOST, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri, header};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, oneshot};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use turnshift::api::Outcome;

/// Longest body that is passed on in either direction.
pub const MAX_BODY: usize = 64 * 1024;
/// An overtaken attempt's answer is awaited so long, to keep its connection: longer than most work takes.
const DRAIN: Duration = Duration::from_secs(5);
/// Connections on which overtaken answers are awaited, as a share of all.
const DRAIN_SHARE: usize = 4;
/// A body that has begun and makes no headway for so long is not coming: its length doesn't fit.
const PAUSE: Duration = Duration::from_millis(500);
/// Once its answer is read a connection is free in no time, unless the request itself is still being written.
const SETTLE: Duration = Duration::from_millis(50);
/// Longest answer head, and most lines in it; the buffer for heads and bodies grows to this size.
const MAX_HEAD: usize = 16 * 1024;
const MAX_HEADERS: usize = 64;
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

/// One process of a backend: where it is reached, and since when it is known to drain or be gone.
pub struct Target {
    /// Its place in the pool. Another process may be reached at the same address.
    number: u64,
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
    targets: Cell<u64>,
    /// Those in use, by name, address and start: pools that name one process share it and its connections.
    known: RefCell<HashMap<(String, SocketAddr, u64), Weak<Target>>>,
    /// By the target's number.
    idle: RefCell<HashMap<u64, Vec<Idle>>>,
    places: Arc<Semaphore>,
    draining: Rc<Cell<usize>>,
    /// Most overtaken attempts whose answers are awaited.
    draining_most: usize,
    /// Tells one of the overtaken attempts that its place is needed.
    give_way: Notify,
}

struct Idle {
    link: Link,
    since: Instant,
}

/// A connection that carries one request at a time.
struct Link {
    sender: SendRequest<Outgoing>,
    progress: Rc<Progress>,
    /// What was read and belongs to no answer, once the connection has ended.
    leftover: Rc<RefCell<Bytes>>,
    task: AbortHandle,
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
        let places = Arc::new(Semaphore::new(limits.connections));
        let (targets, known) = (Cell::default(), RefCell::default());
        let (idle, draining, give_way) = (RefCell::default(), Rc::default(), Notify::new());
        let draining_most = limits.connections / DRAIN_SHARE;
        Pool { limits, targets, known, idle, places, draining, draining_most, give_way }
    }

    /// A process to send to. One that is in use and takes work is the same for all who name it.
    pub fn target(&self, name: &str, dial: SocketAddr, born_ms: f64) -> Rc<Target> {
        let mut known = self.known.borrow_mut();
        let key = (name.to_string(), dial, born_ms.to_bits());
        if let Some(target) = known.get(&key).and_then(Weak::upgrade).filter(|t| t.drained.get().is_none()) {
            return target;
        }
        let number = self.targets.get();
        self.targets.set(number + 1);
        let target = Rc::new(Target { number, dial, born_ms, drained: Cell::new(None) });
        known.insert(key, Rc::downgrade(&target));
        target
    }

    /// Opens a connection to a process and keeps it, if there is none at rest; whether there is one now.
    pub async fn warm(&self, target: &Rc<Target>) -> bool {
        if self.idle.borrow().get(&target.number).is_some_and(|links| !links.is_empty()) {
            return true;
        }
        match self.connect(target.dial).await {
            Ok(link) => {
                self.keep(target, link);
                true
            }
            Err(_) => false,
        }
    }

    /// Closes what is idle to a process.
    pub fn close(&self, target: &Target) {
        self.idle.borrow_mut().remove(&target.number);
    }

    /// Closes what has been idle for long. A backend closes idle connections too, and a request that crosses
    /// its close would end as a reset, which may have run: ours go clearly earlier.
    pub fn sweep(&self) {
        let age = self.limits.idle.mul_f64(RETIRE);
        self.idle.borrow_mut().retain(|_, links| {
            links.retain(|i| !i.link.sender.is_closed() && i.since.elapsed() < age);
            !links.is_empty()
        });
        // What nobody names any more needs no connections.
        let mut known = self.known.borrow_mut();
        known.retain(|_, target| target.strong_count() > 0);
        let used: HashSet<u64> = known.values().filter_map(Weak::upgrade).map(|t| t.number).collect();
        self.idle.borrow_mut().retain(|number, _| used.contains(number));
    }

    /// The most recently used of those still open: the others may then grow old and be closed.
    fn reuse(&self, target: &Target) -> Option<Link> {
        let age = self.limits.idle.mul_f64(RETIRE);
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&target.number)?;
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
            self.idle.borrow_mut().entry(target.number).or_default().push(idle);
        }
    }

    /// Closes the connection that has been idle longest, whosoever it is.
    fn evict(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.iter().filter_map(|(number, links)| Some((links.first()?.since, *number))).min();
        let links = oldest.and_then(|(_, number)| idle.get_mut(&number));
        links.map(|links| links.remove(0)).is_some()
    }

    /// A place for a connection. Where none is left, somebody gives way who needs his less: that takes a moment,
    /// which is waited for, since a request turned away for want of a place is turned away by number.
    async fn place(&self) -> Result<OwnedSemaphorePermit, Outcome> {
        let place = match self.places.clone().try_acquire_owned() {
            Ok(place) => place,
            Err(_) => {
                if !self.evict() && self.draining.get() > 0 {
                    self.give_way.notify_one();
                }
                let place = timeout(self.limits.connect, self.places.clone().acquire_owned()).await;
                // Without one the request was never sent, and that says nothing of the backend.
                place.ok().and_then(Result::ok).ok_or(Outcome::Moot)?
            }
        };
        if self.places.available_permits() == 0 {
            self.evict();
        }
        Ok(place)
    }

    async fn connect(&self, dial: SocketAddr) -> Result<Link, Outcome> {
        let place = self.place().await?;
        let stream = match timeout(self.limits.connect, TcpStream::connect(dial)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) if out_of_descriptors(&e) => return Err(Outcome::Moot),
            Ok(Err(_)) | Err(_) => return Err(Outcome::ConnectFailed),
        };
        stream.set_nodelay(true).map_err(|_| Outcome::ConnectFailed)?;
        let watched = Watched::new(TokioIo::new(stream));
        let progress = watched.progress();
        let mut builder = Builder::new();
        builder.max_buf_size(MAX_HEAD).max_headers(MAX_HEADERS);
        let handshake = builder.handshake(watched).await;
        let (sender, mut connection) = handshake.map_err(|_| Outcome::ConnectFailed)?;
        let leftover = Rc::<RefCell<Bytes>>::default();
        let left = leftover.clone();
        let task = tokio::task::spawn_local(async move {
            let _place = place;
            // Its end shows at the sender, where it has a meaning.
            let _ = poll_fn(|cx| connection.poll_without_shutdown(cx)).await;
            left.replace(connection.into_parts().read_buf);
        });
        Ok(Link { sender, progress, leftover, task: task.abort_handle() })
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
    /// and cost both sides a new connection. The backend works on, and is loaded by that: when the answer
    /// has come after all, or the connection is closed, `late` tells of it, once.
    pub async fn run(self, pool: Rc<Pool>, report: impl FnOnce(End), late: impl FnOnce(End)) {
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
        let unseen = End::Unserved(given_up);
        let place = Place::take(&pool.draining, pool.draining_most);
        late(if written.get() && pool.limits.may_duplicate && place.is_some() {
            // Whether it came or not, nobody waits for the answer itself.
            tokio::select! {
                end = exchange => end,
                () = sleep(DRAIN) => unseen,
                () = pool.give_way.notified() => unseen,
            }
        } else {
            unseen
        });
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
    let (mut link, answer) = loop {
        let (mut link, kept) = match pool.reuse(target) {
            Some(link) => (link, true),
            None => match pool.connect(target.dial).await {
                Ok(link) => (link, false),
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
        match link.sender.send_request(request).await {
            Ok(answer) => break (link, answer),
            // A kept connection that turned out to be closed, or to hold bytes that are no answer to this: not a
            // byte of the request was written, so that it goes over another one.
            Err(_) if kept && !link.progress.begun() => {}
            // Only the connection knows whether the backend can have the whole request.
            Err(_) if link.progress.whole() => return End::Unserved(Outcome::Reset),
            Err(_) => return End::Unserved(Outcome::ConnectFailed),
        }
    };
    let sound = match read(answer).await {
        Some(end) => settle(&mut link, end).await,
        None => None,
    };
    let Some((end, clean)) = sound else {
        // Spoilt: the request may have run, and what is on this connection is of no use.
        link.task.abort();
        return End::Unserved(Outcome::Reset);
    };
    if clean {
        pool.keep(target, link);
    }
    end
}

/// Sees what came behind an answer before it counts. The HTTP library ends a body where its length says: if the
/// length was too short, the rest of the body lies there, and the answer would be passed on cut off. A second
/// answer behind the first is none of the first's business. Tells whether the connection is fit for the next
/// request; nothing where the answer is spoilt.
async fn settle(link: &mut Link, end: End) -> Option<(End, bool)> {
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

/// What an answer means; nothing if it is spoilt. Its length must be told, once, and be one that is allowed: what
/// has none ends nowhere, and of two at most one is true.
async fn read(answer: Response<Incoming>) -> Option<End> {
    let (head, mut body) = answer.into_parts();
    let declined = head.headers.get("srv-declined").is_some_and(|v| v == "1");
    let lengths = head.headers.get_all(header::CONTENT_LENGTH).iter().count();
    let codings = head.headers.get_all(header::TRANSFER_ENCODING).iter().count();
    let bodiless = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if lengths + codings != usize::from(!bodiless) && !(bodiless && lengths == 1)
        || body.size_hint().lower() > MAX_BODY as u64
    {
        return None;
    }
    let mut bytes = BytesMut::new();
    // An answer that breaks off is none: the request may have run.
    while let Some(frame) = timeout(PAUSE, body.frame()).await.ok()? {
        let Ok(data) = frame.ok()?.into_data() else { continue };
        if bytes.len() + data.len() > MAX_BODY {
            return None;
        }
        bytes.extend_from_slice(&data);
    }
    Some(match head.status {
        StatusCode::OK => End::Served(bytes.freeze()),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => {
            End::Unserved(Outcome::Full)
        }
        // These speak of the moment and not of the request.
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_EARLY | StatusCode::TOO_MANY_REQUESTS => {
            End::Unserved(Outcome::Error)
        }
        status if status.is_client_error() => End::Rejected,
        _ => End::Unserved(Outcome::Error),
    })
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

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::AsyncReadExt;
    use tokio::net::TcpListener;
    use tokio::task::{LocalSet, spawn_local};

    /// With a single place: an attempt that was overtaken holds it, then one at rest does.
    #[tokio::test]
    async fn a_place_for_a_connection_is_waited_for() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let dial = listener.local_addr().expect("bound");
        let (connect, idle) = (Duration::from_secs(20), Duration::from_secs(60));
        let (connections, may_duplicate) = (1, true);
        let limits = Limits { connections, connect, idle, drain_grace: connect, may_duplicate };
        let pool = Rc::new(Pool { draining_most: 1, ..Pool::new(limits) });
        let tasks = LocalSet::new();
        tasks
            .run_until(async {
                let target = pool.target("a", dial, 0.0);
                let id = HeaderValue::from_static("1");
                let uri = Uri::from_static("/look");
                let call = Call { method: Method::GET, uri, host: None, id, key: None, body: Bytes::new() };
                let (cancel, cancelled) = oneshot::channel();
                let not_past = Instant::now() + connect;
                let (call, target) = (Rc::new(call), target.clone());
                let attempt = Attempt { call, target: target.clone(), not_past, cancelled };
                let (report, reported) = oneshot::channel();
                let report = |end: End| report.send(end.outcome()).expect("awaited");
                let (late, ended) = oneshot::channel();
                let late = |end: End| late.send(end.outcome()).expect("awaited");
                spawn_local(attempt.run(pool.clone(), report, late));
                let (mut backend, _) = listener.accept().await.expect("it came");
                assert_ne!(backend.read(&mut [0; 1024]).await.expect("open"), 0);
                cancel.send(()).expect("it is out");
                assert_eq!(reported.await, Ok(Outcome::Cancelled));
                let link = pool.connect(dial).await.expect("the overtaken one gives way");
                assert_eq!(ended.await, Ok(Outcome::Cancelled));
                pool.keep(&target, link);
                assert!(pool.connect(dial).await.is_ok(), "the one at rest gives way");
            })
            .await;
    }
}
