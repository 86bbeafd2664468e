//! The backends' side: a pool of kept connections, and attempts with what each ending means. `http`
//! and `rpc` know how a call goes over a connection.

#[cfg(test)]
mod crossings;
pub mod http;
pub mod jsonrpc;

use crate::retry_budget::Purse;
use crate::runtime_accounting::{sleep, sleep_until, timeout};
use crate::safety::{self, Denied, Waiting, Write, WriteBy};
use crate::stream::{Progress, Written};
use bytes::Bytes;
use heathroad_balancer::api::Outcome;
use http::Link;
use rustc_hash::FxHashMap;
use std::borrow::Cow;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

/// Longest body that is passed on in either direction.
pub const MAX_BODY: usize = 64 * 1024;
/// An overtaken attempt's answer is awaited so long, to keep its connection: longer than most work
/// takes.
const DRAIN: Duration = Duration::from_secs(5);
/// Connections on which overtaken answers are awaited, as a share of all.
const DRAIN_SHARE: usize = 4;
/// Kept connections are given up at this share of the time after which backends close them.
const RETIRE: f64 = 0.5;
/// Nothing is sent later than this part of the drain's grace, as a divisor: the rest is for a late
/// loop and a slow write.
const DRAIN_PART: u32 = 2;

/// A request as every attempt of it goes out.
pub enum Call {
    /// Over HTTP.
    Http(http::Call),
    /// Over JSON-RPC.
    Rpc(jsonrpc::Call),
}

impl Call {
    /// By what log lines name it: its `Req-Id`, or its method's name.
    pub fn label(&self) -> Cow<'_, str> {
        match self {
            Call::Http(call) => String::from_utf8_lossy(call.id.as_bytes()),
            Call::Rpc(call) => String::from_utf8_lossy(&call.method),
        }
    }

    /// Whether attempts of it take budgets along.
    pub fn carries(&self) -> bool {
        match self {
            Call::Http(_) => true,
            Call::Rpc(call) => call.way.budget,
        }
    }
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
    /// With an answer to pass on, of a backend that says it is ill.
    Ill(Bytes),
    /// Sent whole; no answer ever comes to it.
    Sent,
    /// Turned down as a request that no backend can use.
    Rejected,
    /// Otherwise.
    Unserved(Outcome),
}

impl End {
    /// The module's word for it.
    pub fn outcome(&self) -> Outcome {
        match self {
            End::Served(_) => Outcome::Success,
            End::Ill(_) => Outcome::Error,
            // The request's fault: it says nothing of the backend, and another would say the same.
            // What has no answer says nothing of it either.
            End::Rejected | End::Sent => Outcome::Cancelled,
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
    /// Those in use, by name, address and start: pools that name one process share it and its
    /// connections.
    known: RefCell<HashMap<(String, SocketAddr, u64), Weak<Target>>>,
    /// By the target's number.
    idle: RefCell<FxHashMap<u64, Vec<Idle>>>,
    /// Connections for JSON-RPC, those in use too, by the target's number.
    rpc: RefCell<FxHashMap<u64, Vec<Rc<jsonrpc::Link>>>>,
    places: Arc<Semaphore>,
    draining: Rc<Cell<usize>>,
    /// Most overtaken attempts whose answers are awaited.
    draining_most: usize,
    /// When a backend last spoke out of its turn.
    wary: Rc<Cell<Option<Instant>>>,
    /// Tells one of the overtaken attempts that its place is needed.
    give_way: Notify,
}

struct Idle {
    link: Link,
    since: Instant,
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
        let (idle, rpc) = (RefCell::default(), RefCell::default());
        let (draining, wary, give_way) = (Rc::default(), Rc::default(), Notify::new());
        let draining_most = limits.connections / DRAIN_SHARE;
        Pool {
            limits,
            targets,
            known,
            idle,
            rpc,
            places,
            draining,
            draining_most,
            wary,
            give_way,
        }
    }

    /// A process to send to. One that is in use and takes work is the same for all who name it.
    pub fn target(&self, name: &str, dial: SocketAddr, born_ms: f64) -> Rc<Target> {
        let mut known = self.known.borrow_mut();
        let key = (name.to_string(), dial, born_ms.to_bits());
        if let Some(target) = known
            .get(&key)
            .and_then(Weak::upgrade)
            .filter(|t| t.drained.get().is_none())
        {
            return target;
        }
        let number = self.targets.get();
        self.targets.set(number + 1);
        let target = Rc::new(Target {
            number,
            dial,
            born_ms,
            drained: Cell::new(None),
        });
        known.insert(key, Rc::downgrade(&target));
        target
    }

    /// Opens a connection to a process and keeps it, if there is none at rest; whether there is one
    /// now.
    pub async fn warm(self: &Rc<Self>, target: &Rc<Target>, way: Option<jsonrpc::Way>) -> bool {
        if let Some(way) = way {
            return self.rpc_link(target, way.calls).is_some()
                || self.connect_rpc(target, way).await.is_ok();
        }
        if self
            .idle
            .borrow()
            .get(&target.number)
            .is_some_and(|links| !links.is_empty())
        {
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
        if let Some(links) = self.rpc.borrow().get(&target.number) {
            links.iter().for_each(|l| l.close());
        }
    }

    /// Closes what has been idle for long. A backend closes idle connections too, and a request
    /// that crosses its close would end as a reset, which may have run: ours go clearly earlier.
    pub fn sweep(&self) {
        let age = self.limits.idle.mul_f64(RETIRE);
        self.idle.borrow_mut().retain(|_, links| {
            links.retain(|i| !i.link.sender.is_closed() && i.since.elapsed() < age);
            !links.is_empty()
        });
        self.rpc.borrow_mut().retain(|_, links| {
            links.retain(|l| l.open());
            links
                .iter()
                .filter(|l| l.rested().is_some_and(|rested| rested >= age))
                .for_each(|l| l.close());
            !links.is_empty()
        });
        // What nobody names any more needs no connections.
        let mut known = self.known.borrow_mut();
        known.retain(|_, target| target.strong_count() > 0);
        let used: HashSet<u64> = known
            .values()
            .filter_map(Weak::upgrade)
            .map(|t| t.number)
            .collect();
        self.idle
            .borrow_mut()
            .retain(|number, _| used.contains(number));
        let unused = |(number, _): &(&u64, &Vec<Rc<jsonrpc::Link>>)| !used.contains(number);
        self.rpc
            .borrow()
            .iter()
            .filter(unused)
            .flat_map(|(_, links)| links)
            .for_each(|l| l.close());
    }

    /// Closes the connection that has been idle longest, whosoever it is.
    fn evict(&self) -> bool {
        let rpc = self.rpc.borrow();
        let resting = rpc
            .values()
            .flatten()
            .filter_map(|l| Some((l.rested()?, l)));
        if let Some((rested, link)) = resting.max_by_key(|(rested, _)| *rested) {
            let older =
                |links: &Vec<Idle>| links.first().is_some_and(|i| i.since.elapsed() > rested);
            if !self.idle.borrow().values().any(older) {
                link.close();
                return true;
            }
        }
        let mut idle = self.idle.borrow_mut();
        let oldest = idle
            .iter()
            .filter_map(|(number, links)| Some((links.first()?.since, *number)))
            .min();
        let links = oldest.and_then(|(_, number)| idle.get_mut(&number));
        links.map(|links| links.remove(0)).is_some()
    }

    /// A place for a connection. Where none is left, somebody gives way who needs his less: that
    /// takes a moment, which is waited for, since a request turned away for want of a place is
    /// turned away by number.
    async fn place(&self) -> Result<OwnedSemaphorePermit, Outcome> {
        let place = match self.places.clone().try_acquire_owned() {
            Ok(place) => place,
            Err(_) => {
                if !self.evict() && self.draining.get() > 0 {
                    self.give_way.notify_one();
                }
                let place = timeout(self.limits.connect, self.places.clone().acquire_owned()).await;
                // Without one the request was never sent, and that says nothing of the backend.
                let place = place.ok().and_then(Result::ok);
                if place.is_none() {
                    tracing::debug!(reason = "no connection slot", "backend connection failed");
                }
                place.ok_or(Outcome::NotSent)?
            }
        };
        if self.places.available_permits() == 0 {
            self.evict();
        }
        Ok(place)
    }

    /// A connection to an address, and its place.
    async fn dial(
        &self,
        address: SocketAddr,
    ) -> Result<(TcpStream, OwnedSemaphorePermit), Outcome> {
        let place = self.place().await?;
        let stream = match timeout(self.limits.connect, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => {
                tracing::debug!(%address, reason = %e, "backend connection failed");
                return Err(if out_of_descriptors(&e) {
                    Outcome::NotSent
                } else {
                    Outcome::ConnectFailed
                });
            }
            Err(_) => {
                tracing::debug!(%address, reason = "connect timeout", "backend connection failed");
                return Err(Outcome::ConnectFailed);
            }
        };
        tracing::debug!(%address, "backend connection opened");
        stream
            .set_nodelay(true)
            .map_err(|_| Outcome::ConnectFailed)?;
        Ok((stream, place))
    }

    /// Whether an attempt may be written to a process now.
    fn may_write(&self, target: &Target, line: &Line) -> Result<(), Denied> {
        let client_left = line.client.as_ref().is_some_and(Waiting::left);
        let write = Write {
            client_left,
            withdrawn: self.drained(target),
            write_by: line.write_by,
        };
        safety::write(write, Instant::now())
    }

    /// Whether a process was told to drain so long ago that nothing more may go out to it.
    fn drained(&self, target: &Target) -> bool {
        target
            .drained
            .get()
            .is_some_and(|told| told.elapsed() > self.limits.drain_grace / DRAIN_PART)
    }
}

async fn exchange(
    pool: &Rc<Pool>,
    call: &Call,
    target: &Rc<Target>,
    expires: Instant,
    line: &Rc<Line>,
    purse: Option<&Purse>,
) -> End {
    match call {
        Call::Http(call) => http::exchange(pool, call, target, expires, line, purse).await,
        // In a box, so that calls over HTTP need no room for it.
        Call::Rpc(call) => {
            Box::pin(jsonrpc::exchange(pool, call, target, expires, line, purse)).await
        }
    }
}

/// Whether the process or the machine has no descriptor left.
fn out_of_descriptors(e: &io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    matches!(e.raw_os_error(), Some(ENFILE | EMFILE))
}

/// How far an attempt was called off.
#[derive(Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Off {
    #[default]
    No,
    /// Nobody waits for it: nothing of it is sent that is not sent yet.
    Forsaken,
    /// It ends, however far it is.
    Withdrawn,
}

/// What an attempt shares with who sent it.
#[derive(Default)]
pub struct Line {
    /// For whom it is, where that is known.
    client: Option<Waiting>,
    /// Until when it may be written.
    write_by: WriteBy,
    /// How far it was written, by who writes it, or by the HTTP connection that it was handed to.
    written: Cell<Written>,
    course: RefCell<Option<Rc<Progress>>>,
    off: Cell<Off>,
    reported: Cell<bool>,
    waker: Cell<Option<Waker>>,
}

impl Line {
    /// Of an attempt for a client, that may be written until then.
    pub fn new(client: Option<Waiting>, write_by: WriteBy) -> Line {
        Line {
            client,
            write_by,
            ..Line::default()
        }
    }

    /// Withdraws the attempt; one that has ended needs no withdrawal.
    pub fn withdraw(&self) {
        self.call_off(Off::Withdrawn);
    }

    /// Its request is over. An attempt that is not written whole by now never ran, and ends here;
    /// one that is goes on, or is withdrawn, as the settings will have it.
    pub fn forsake(&self) {
        self.call_off(Off::Forsaken);
    }

    fn call_off(&self, off: Off) {
        self.off.set(self.off.get().max(off));
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// The attempt reports its end.
    pub fn report(&self) {
        self.reported.set(true);
    }

    /// Whether the attempt has reported its end; its work may go on.
    pub fn reported(&self) -> bool {
        self.reported.get()
    }

    /// The request was handed to a connection; how far it is written is told by the bytes that go
    /// out there.
    fn goes_over(&self, course: Option<Rc<Progress>>) {
        self.written.set(Written::Nothing);
        self.course.replace(course);
    }

    fn wrote(&self, written: Written) {
        self.written.set(written);
    }

    fn written(&self) -> Written {
        self.course
            .borrow()
            .as_ref()
            .map_or(self.written.get(), |c| c.written())
    }
}

/// Keeps a task's waker, anew only where it is another's.
pub fn keep(slot: &Cell<Option<Waker>>, cx: &Context<'_>) {
    let waker = slot.take().filter(|w| w.will_wake(cx.waker()));
    slot.set(Some(waker.unwrap_or_else(|| cx.waker().clone())));
}

/// One attempt: when it must end, and who may call it off.
pub struct Attempt {
    /// The request.
    pub call: Rc<Call>,
    /// Where it goes.
    pub target: Rc<Target>,
    /// When it is given up.
    pub not_past: Instant,
    /// Until when its client waits, less the way there: what the backend is told.
    pub expires: Instant,
    /// What it shares with who sent it, who may withdraw it.
    pub line: Rc<Line>,
    /// What it takes along and brings back, where budgets are kept.
    pub purse: Option<Rc<Purse>>,
}

impl Attempt {
    /// Carries the attempt out and reports its end, once. The connection of an attempt that was
    /// given up is kept for a while after that: here no backend stops its work, so that closing
    /// would spare nothing and cost both sides a new connection. The backend works on, and is
    /// loaded by that: when the answer has come after all, or the connection is closed, `late`
    /// tells of it, once.
    pub async fn run(self, pool: Rc<Pool>, report: impl FnOnce(End), late: impl FnOnce(End)) {
        let Attempt {
            call,
            target,
            not_past,
            expires,
            line,
            purse,
        } = self;
        let exchange = exchange(&pool, &call, &target, expires, &line, purse.as_deref());
        let mut exchange = pin!(Some(exchange));
        let report = |end| {
            line.report();
            report(end);
        };
        let mut time = pin!(sleep_until(not_past));
        let ended = poll_fn(|cx| {
            // Before each step: what has no byte out when nobody waits any more sends none,
            // whatever else has just come (a connect, a place), and what has not its last one out
            // sends that no more.
            let (whole, off) = (line.written() == Written::Whole, line.off.get());
            let late = time.as_mut().poll(cx).is_ready();
            if !whole && (late || off != Off::No) {
                return Poll::Ready(Err(if late {
                    Outcome::Timeout
                } else {
                    Outcome::Cancelled
                }));
            }
            if let Some(Poll::Ready(end)) = exchange.as_mut().as_pin_mut().map(|e| e.poll(cx)) {
                return Poll::Ready(Ok(end));
            }
            if late || off == Off::Withdrawn {
                return Poll::Ready(Err(if late {
                    Outcome::Timeout
                } else {
                    Outcome::Cancelled
                }));
            }
            keep(&line.waker, cx);
            Poll::Pending
        });
        let given_up = match ended.await {
            Ok(end) => return report(end),
            Err(given_up) => given_up,
        };
        if line.written() != Written::Whole {
            // Its connection, if it has one, ends with it: no backend ever has the whole of it.
            exchange.set(None);
            return report(End::Unserved(Outcome::NotSent));
        }
        report(End::Unserved(given_up));
        let unseen = End::Unserved(given_up);
        // Its server is told by the close, and what it has not sent on yet is dropped: the work
        // ends here and now.
        if purse.as_ref().is_some_and(|p| p.stops()) {
            return late(unseen);
        }
        let place = Place::take(&pool.draining, pool.draining_most);
        late(
            if let Some(exchange) = exchange.as_pin_mut()
                && pool.limits.may_duplicate
                && place.is_some()
            {
                // Whether it came or not, nobody waits for the answer itself.
                tokio::select! {
                    end = exchange => end,
                    () = sleep(DRAIN) => unseen,
                    () = pool.give_way.notified() => unseen,
                }
            } else {
                unseen
            },
        );
    }
}

#[cfg(test)]
#[path = "../../tests/unit/backend.rs"]
mod tests;
