//! Attempts over JSON-RPC: a connection carries one call or several at once, under ids of the
//! proxy's own. That a call never ran is claimed only where the last byte of its text was not
//! written.

use super::{End, Line, Pool, Target};
use crate::retry_budget::Purse;
use crate::runtime_accounting::{self, spawn_local, timeout};
use crate::safety::violations;
use crate::stream::Written;
use bytes::{Buf, Bytes, BytesMut};
use heathroad_balancer::api::Outcome;
use heathroad_jsonrpc::message::{self, INTERNAL_ERROR, METHOD_NOT_FOUND, Reply};
use heathroad_jsonrpc::{Answer, Decoder, Framing, Limits, write};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::WriteHalf;
use tokio::sync::{Notify, OwnedSemaphorePermit, oneshot};
use tokio::task::yield_now;
use tokio::time::Instant;

/// Longest answer that is read.
const MAX_ANSWER: usize = 1 << 20;
/// A backend may ask so much of a proxy, which answers none of it, before its connection is closed.
const MAX_ASKED: usize = 16;
/// Where nothing more can be written, an answer that may lie there is looked for so long.
const LINGER: Duration = Duration::from_millis(50);

/// How a pool's backends are called.
#[derive(Debug, Clone, Copy)]
pub struct Way {
    /// Their port; none is that of the target.
    pub port: Option<u16>,
    /// How texts are told apart.
    pub framing: Framing,
    /// Most calls at once on a connection.
    pub calls: usize,
    /// The code that says: turned away unseen.
    pub declined: Option<i64>,
    /// Calls carry budgets, as members beside the specification's.
    pub budget: bool,
}

impl Way {
    fn address(&self, target: &Target) -> SocketAddr {
        let mut address = target.dial;
        if let Some(port) = self.port {
            address.set_port(port);
        }
        address
    }
}

/// A call as every attempt of it goes out.
pub struct Call {
    /// Its method's name, in quotes.
    pub method: Bytes,
    /// Its parameters as they stand.
    pub params: Option<Bytes>,
    /// It is a notification: nothing ever comes back.
    pub notification: bool,
    /// How it goes.
    pub way: Way,
}

/// How a call on a connection ended.
enum Ended {
    Answered(Answer),
    /// It asked for no answer, and is written.
    Sent,
    /// The backend was told to drain before its first byte went out.
    Drained,
    /// The connection has.
    Gone(Written),
}

struct Pending {
    tell: oneshot::Sender<Ended>,
    /// Holds how far it was written.
    line: Rc<Line>,
    not_past: Instant,
    notification: bool,
}

struct Frame {
    id: u64,
    left: Bytes,
    /// So many bytes may be left when a reader can have the whole text: a line's end is none of it.
    spare: usize,
}

#[derive(Default)]
struct State {
    /// Not begun to be written.
    queue: VecDeque<Frame>,
    /// Begun.
    now: Option<Frame>,
    pending: FxHashMap<u64, Pending>,
    /// Calls that nobody waits for any more, whose answers may still come.
    abandoned: HashSet<u64>,
    next: u64,
    /// How often the backend has asked something.
    asked: usize,
    closing: bool,
    ended: bool,
}

/// A connection.
pub struct Link {
    state: RefCell<State>,
    /// When its last call was over.
    since: Cell<Instant>,
    /// Tells the task that there is something to do.
    wake: Notify,
}

/// A call whose end is waited for. Dropped before that, nobody waits any more.
struct Waiting {
    link: Rc<Link>,
    id: u64,
    end: oneshot::Receiver<Ended>,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let s = &mut *self.link.state.borrow_mut();
        let Some(pending) = s.pending.remove(&self.id) else {
            return;
        };
        self.link.since.set(Instant::now());
        if pending.line.written() == Written::Nothing {
            s.queue.retain(|f| f.id != self.id);
            return;
        }
        // Its answer may come yet, or the connection be of no use: it carries what it has, and
        // nothing new. Alone on it, a text that nobody waits for is not written to its end.
        s.abandoned.insert(self.id);
        s.closing = true;
        self.link.wake.notify_one();
    }
}

impl Link {
    /// Whether it lives.
    pub fn open(&self) -> bool {
        !self.state.borrow().ended
    }

    /// For how long it has had nothing to do; nothing while it has.
    pub fn rested(&self) -> Option<Duration> {
        let s = self.state.borrow();
        (s.pending.is_empty() && !s.closing && !s.ended).then(|| self.since.get().elapsed())
    }

    /// It takes no new calls, and is closed when the last that it has is over.
    pub fn close(&self) {
        self.state.borrow_mut().closing = true;
        self.wake.notify_one();
    }

    /// How many calls it carries, if it is fit for one more. One on which an answer is overdue is
    /// not.
    fn load(&self, most: usize, now: Instant) -> Option<usize> {
        let s = self.state.borrow();
        let fit = !s.closing && !s.ended && s.pending.len() < most;
        (fit && s.pending.values().all(|p| now < p.not_past)).then(|| s.pending.len())
    }

    fn ask(
        self: &Rc<Self>,
        call: &Call,
        not_past: Instant,
        line: &Rc<Line>,
        purse: Option<&Purse>,
    ) -> Waiting {
        let (tell, end) = oneshot::channel();
        let s = &mut *self.state.borrow_mut();
        s.next += 1;
        let (id, notification) = (s.next, call.notification);
        let mut text = BytesMut::new();
        write::call(
            (!notification).then_some(id),
            &call.method,
            call.params.as_deref(),
            &mut text,
        );
        if let Some(purse) = purse {
            let (budget, path) = purse.texts(not_past.saturating_duration_since(Instant::now()));
            write::carry(&mut text, &budget, path);
        }
        s.queue.push_back(Frame::new(id, call.way.framing, &text));
        line.goes_over(None);
        s.pending.insert(
            id,
            Pending {
                tell,
                line: line.clone(),
                not_past,
                notification,
            },
        );
        self.wake.notify_one();
        Waiting {
            link: self.clone(),
            id,
            end,
        }
    }

    /// What is to be written next; where nothing is begun, the next that may be.
    fn next(&self, drained: bool) -> Option<Bytes> {
        let s = &mut *self.state.borrow_mut();
        if s.now.is_none() && drained {
            for frame in std::mem::take(&mut s.queue) {
                self.over(s, frame.id, Ended::Drained);
            }
        }
        if s.now.is_none() {
            s.now = s.queue.pop_front();
        }
        s.now.as_ref().map(|f| f.left.clone())
    }

    fn wrote(&self, bytes: usize) {
        let s = &mut *self.state.borrow_mut();
        let Some(frame) = &mut s.now else { return };
        frame.left.advance(bytes);
        let whole = frame.left.len() <= frame.spare;
        let (id, done) = (frame.id, frame.left.is_empty());
        if let Some(pending) = s.pending.get(&id) {
            pending
                .line
                .wrote(if whole { Written::Whole } else { Written::Part });
        }
        if whole && s.pending.get(&id).is_some_and(|p| p.notification) {
            self.over(s, id, Ended::Sent);
        }
        if done {
            s.now = None;
        }
    }

    fn over(&self, s: &mut State, id: u64, end: Ended) {
        if let Some(pending) = s.pending.remove(&id) {
            self.since.set(Instant::now());
            // Who waits may just have left.
            let _ = pending.tell.send(end);
        }
    }

    /// Takes a backend's text; false where nothing more on this connection can be trusted.
    fn take(&self, text: &Bytes, framing: Framing) -> bool {
        let s = &mut *self.state.borrow_mut();
        match message::reply(text) {
            Reply::Answer(answer) => {
                let id = std::str::from_utf8(&answer.id)
                    .ok()
                    .and_then(|id| id.parse().ok());
                let Some(id) = id else { return false };
                // To what was not sent whole nobody can have an answer.
                if s.pending
                    .get(&id)
                    .is_some_and(|p| p.line.written() == Written::Whole && !p.notification)
                {
                    self.over(s, id, Ended::Answered(answer));
                    return true;
                }
                // One that is late is nobody's; one to what was never asked, or for the second
                // time, says that ids are mixed up, and then whose the others are is not known.
                s.abandoned.remove(&id)
            }
            Reply::Call(None) => true,
            Reply::Call(Some(id)) => {
                // A backend is no caller here.
                let mut answer = BytesMut::new();
                write::answer(
                    &id,
                    &write::error(METHOD_NOT_FOUND, "no calls are taken here", None),
                    &mut answer,
                );
                s.queue.push_back(Frame::new(0, framing, &answer));
                s.asked += 1;
                s.asked <= MAX_ASKED
            }
            Reply::Wrong(_) => false,
        }
    }

    /// Whether its last call is over and no new one comes.
    fn done(&self) -> bool {
        let s = self.state.borrow();
        s.closing && s.pending.is_empty()
    }

    fn end(&self) {
        let s = &mut *self.state.borrow_mut();
        s.ended = true;
        s.queue.clear();
        for (_, pending) in s.pending.drain() {
            // Who waits may just have left.
            let _ = pending.tell.send(Ended::Gone(pending.line.written()));
        }
    }
}

impl Frame {
    fn new(id: u64, framing: Framing, text: &[u8]) -> Frame {
        let mut out = BytesMut::new();
        write::frame(framing, text, &mut out);
        Frame {
            id,
            left: out.freeze(),
            spare: usize::from(framing == Framing::Lines),
        }
    }
}

/// Carries a connection to its end.
async fn carry(link: &Link, stream: &mut TcpStream, framing: Framing, drained: impl Fn() -> bool) {
    let (mut reader, mut writer) = stream.split();
    let limits = Limits {
        text: MAX_ANSWER,
        ..Limits::default()
    };
    let mut decoder = Decoder::new(framing, limits);
    let put = async |writer: &mut WriteHalf<'_>, next: Option<&Bytes>| match next {
        Some(bytes) => writer.write(bytes).await,
        None => std::future::pending().await,
    };
    let mut broken = false;
    loop {
        loop {
            match decoder.next_text() {
                Ok(Some(text)) if link.take(&text, framing) => {}
                Ok(None) => break,
                Ok(Some(_)) | Err(_) => return,
            }
        }
        if broken || link.done() {
            return;
        }
        let next = link.next(drained());
        tokio::select! {
            biased;
            // What the backend has said, or that it has left, is seen before more is written to it.
            read = reader.read_buf(decoder.buffer()) => {
                runtime_accounting::read();
                if !read.is_ok_and(|n| n > 0) {
                    return;
                }
            }
            wrote = put(&mut writer, next.as_ref()) => match wrote {
                Ok(n) if n > 0 => {
                    runtime_accounting::wrote();
                    link.wrote(n);
                }
                _ => {
                    // An answer may lie there beside the end.
                    broken = true;
                    let _ = timeout(LINGER, reader.read_buf(decoder.buffer())).await;
                }
            },
            () = link.wake.notified() => {}
        }
    }
}

impl Pool {
    /// A connection that can take one more call: the least loaded.
    pub(super) fn rpc_link(&self, target: &Target, most: usize) -> Option<Rc<Link>> {
        let (links, now) = (self.rpc.borrow(), Instant::now());
        let age = self.limits.idle.mul_f64(super::RETIRE);
        let fit = |l: &Rc<Link>| {
            let load = l
                .load(most, now)
                .filter(|_| l.rested().is_none_or(|rested| rested < age))?;
            Some((load, l.clone()))
        };
        links
            .get(&target.number)?
            .iter()
            .rev()
            .filter_map(fit)
            .min_by_key(|(load, _)| *load)
            .map(|(_, l)| l)
    }

    /// Opens a connection.
    pub(super) async fn connect_rpc(
        self: &Rc<Self>,
        target: &Rc<Target>,
        way: Way,
    ) -> Result<Rc<Link>, Outcome> {
        let (stream, place) = self.dial(way.address(target)).await?;
        let link = Rc::new(Link {
            state: RefCell::default(),
            since: Cell::new(Instant::now()),
            wake: Notify::new(),
        });
        self.rpc
            .borrow_mut()
            .entry(target.number)
            .or_default()
            .push(link.clone());
        spawn_local(run(
            self.clone(),
            link.clone(),
            target.clone(),
            stream,
            way.framing,
            place,
        ));
        Ok(link)
    }
}

async fn run(
    pool: Rc<Pool>,
    link: Rc<Link>,
    target: Rc<Target>,
    mut stream: TcpStream,
    framing: Framing,
    _place: OwnedSemaphorePermit,
) {
    carry(&link, &mut stream, framing, || pool.drained(&target)).await;
    link.end();
    let mut links = pool.rpc.borrow_mut();
    if let Some(list) = links.get_mut(&target.number) {
        list.retain(|l| !Rc::ptr_eq(l, &link));
        if list.is_empty() {
            links.remove(&target.number);
        }
    }
}

/// Sends a call and waits for its answer; `line` is told which connection it was handed to.
pub(super) async fn exchange(
    pool: &Rc<Pool>,
    call: &Call,
    target: &Rc<Target>,
    expires: Instant,
    line: &Rc<Line>,
    purse: Option<&Purse>,
) -> End {
    loop {
        let (link, kept) = match pool.rpc_link(target, call.way.calls) {
            Some(link) => (link, true),
            None => match pool.connect_rpc(target, call.way).await {
                Ok(link) => (link, false),
                Err(outcome) => return End::Unserved(outcome),
            },
        };
        if let Err(denied) = pool.may_write(target, line) {
            violations::denied(denied, &String::from_utf8_lossy(&call.method));
            return End::Unserved(Outcome::NotSent);
        }
        let mut waiting = link.ask(call, expires, line, purse);
        return match (&mut waiting.end).await {
            Ok(Ended::Answered(answer)) => {
                if let Some(purse) = purse {
                    purse.read_text(answer.spent.as_deref());
                }
                meaning(answer, call.way.declined)
            }
            Ok(Ended::Sent) => End::Sent,
            Ok(Ended::Drained) => End::Unserved(Outcome::NotSent),
            // A kept connection that turned out to be closed: not a byte was written, so that it
            // goes over another.
            Ok(Ended::Gone(Written::Nothing)) if kept => {
                // The others that rested beside it may be closed too: their tasks get to see it
                // first.
                yield_now().await;
                continue;
            }
            Ok(Ended::Gone(Written::Nothing | Written::Part)) => {
                End::Unserved(Outcome::ConnectFailed)
            }
            Ok(Ended::Gone(Written::Whole)) | Err(_) => End::Unserved(Outcome::Reset),
        };
    }
}

/// What an answer means. Errors of the application are answers; that the backend itself is ill is
/// told to the module beside the answer.
fn meaning(answer: Answer, declined: Option<i64>) -> End {
    match answer.code {
        Some(code) if Some(code) == declined => End::Unserved(Outcome::Rejected),
        Some(INTERNAL_ERROR) => End::Ill(answer.member),
        _ => End::Served(answer.member),
    }
}
