//! The callers' side over JSON-RPC: takes texts, binds each call in them to its pool, and writes
//! each call's one answer.
//!
//! A connection is one task, which reads, begins calls, gathers answers and writes; each call in
//! work is a task of its own. What is read ahead is bounded by the calls in work and the answers
//! that wait to be read.

use super::batch_concurrency::Pace;
use super::connections::{FIRST, Guest, Room, SPARE as SPARE_PLACES, Stock, Taken, queued};
use crate::backend::{Call as Outward, jsonrpc};
use crate::engine::{self, Answer, Incoming, away};
use crate::metrics::Final;
use crate::retry_budget::{self, Books};
use crate::router::routed_pools::RoutedPools;
use crate::router::{BoundRequest, RoutingRequest};
use crate::runtime_accounting::{self, sleep, sleep_until, spawn_in, timeout};
use crate::stall_detector;
use crate::stream::peek;
use crate::time::millis;
use bytes::{Buf, Bytes, BytesMut};
use heathroad_balancer::api::Idempotency;
use heathroad_balancer::settings::InstanceSettings;
use heathroad_jsonrpc::message::{
    self, Call, INVALID_PARAMS, INVALID_REQUEST, METHOD_NOT_FOUND, Message, NULL, PARSE_ERROR,
    Wrong,
};
use heathroad_jsonrpc::pointer::{self, Missing, Pointer};
use heathroad_jsonrpc::{Broken, Decoder, Framing, Limits, write};
use heathroad_retry_budget::path::Mark;
use heathroad_routing::config::{Listener, TenantSource};
use heathroad_routing::traffic_split::stable_hash;
use hyper::header::HeaderMap;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::{JoinSet, yield_now};
use tokio::time::Instant;

/// Refused: trying again is harmless. This and the next two are of the range that the specification
/// leaves to servers.
pub const REFUSED: i64 = -32001;
/// Failed: nothing is promised.
pub const FAILED: i64 = -32002;
/// Failed, because its time was up: nothing is promised.
pub const TIMED_OUT: i64 = -32003;
/// Failed, because it has come round: it never ran for this call, and no other try leads out.
pub const LOOPED: i64 = -32008;

/// A text must have come whole so long after its first byte.
const ARRIVE: Duration = Duration::from_secs(2);
/// A caller that takes nothing of its answers for so long has left.
const STALL: Duration = Duration::from_secs(10);
/// No further call is begun while so many bytes of answers wait to be taken.
const MAX_OUT: usize = 256 * 1024;
/// After the last answer what still comes is passed over for so long, so that the answer is not
/// lost to a reset.
const LINGER: Duration = Duration::from_millis(200);
/// A caller's next call waits unread for so long while as many are in work as may be; then it is
/// refused.
const CROWDED: Duration = Duration::from_millis(250);
/// So long before its time is up a call that waits for its turn is refused.
const SPARE: Duration = Duration::from_millis(50);
/// A shorter answer is kept even where there is no room: what says so would be no shorter.
const SMALL: usize = 512;
/// So many members of a batch are bound at a time.
const TURN: usize = 128;
/// Longer than any call may take.
const FAR: Duration = Duration::from_secs(86_400);
/// Pause when nothing can be accepted.
const STARVED: Duration = Duration::from_millis(10);
/// Most brackets open at once in a text.
const MAX_DEPTH: u32 = 128;

/// What is needed to take calls.
pub struct Front {
    /// Says where they go, and where they come in.
    pub many: Rc<RoutedPools>,
    /// The settings.
    pub facts: InstanceSettings,
    /// Most connections at once, with those over HTTP.
    pub connections: usize,
    /// Most bytes of all texts and answers that are held.
    pub bodies: usize,
    /// Who is there.
    pub room: Rc<Room>,
    /// Budgets down a chain, where they are kept.
    pub books: Option<Rc<Books>>,
}

impl Front {
    /// Serves the listeners of whichever generation is in force, until `stop` is set and the last
    /// call is answered.
    pub async fn serve(self: Rc<Self>, mut stop: watch::Receiver<bool>) {
        let (mut changed, ending) = (self.many.listener_changes(), stop.clone());
        let mut running: BTreeMap<String, (Listener, watch::Sender<bool>)> = BTreeMap::new();
        let mut open = JoinSet::new();
        loop {
            changed.borrow_and_update();
            let wanted = self.many.listeners();
            running.retain(|name, (listener, stop)| {
                let stays = wanted
                    .iter()
                    .any(|(l, _)| l.name == *name && alike(l, listener));
                if !stays {
                    stop.send_replace(true);
                }
                stays
            });
            for (listener, socket) in wanted {
                if !running.contains_key(&listener.name) {
                    let (stop, stopped) = watch::channel(false);
                    let door = Rc::new(Door::new(self.clone(), listener.clone()));
                    spawn_in(&mut open, door.accept(socket, stopped, ending.clone()));
                    running.insert(listener.name.clone(), (listener, stop));
                }
            }
            tokio::select! {
                _ = stop.wait_for(|stop| *stop) => break,
                _ = changed.changed() => {}
                Some(_) = open.join_next() => {}
            }
        }
        for (_, stop) in running.values() {
            stop.send_replace(true);
        }
        while open.join_next().await.is_some() {}
    }
}

/// Whether connections of the one can go on as the other's. Methods and tenants are looked up for
/// each call.
fn alike(a: &Listener, b: &Listener) -> bool {
    let of = |l: &Listener| {
        (
            l.address,
            l.framing,
            l.ordered_responses,
            l.max_connections,
            l.max_concurrent_calls,
            l.max_message_bytes,
            l.max_batch_size,
        )
    };
    of(a) == of(b) && a.idle_timeout_ms == b.idle_timeout_ms
}

/// A listener that is served.
struct Door {
    front: Rc<Front>,
    is: Listener,
    /// Connections by number: how long each has rested, and how it is told to leave.
    seats: RefCell<BTreeMap<u64, Rc<Seat>>>,
}

#[derive(Default)]
struct Seat {
    /// Since when it has had nothing in work.
    rests: Cell<Option<Instant>>,
    leave: Notify,
}

impl Door {
    fn new(front: Rc<Front>, is: Listener) -> Door {
        Door {
            front,
            is,
            seats: RefCell::default(),
        }
    }

    /// Takes connections until `stop` is set, which it is too where the listener is no longer
    /// wanted while the proxy goes on without `ending`.
    async fn accept(
        self: Rc<Self>,
        socket: Rc<TcpListener>,
        mut stop: watch::Receiver<bool>,
        ending: watch::Receiver<bool>,
    ) {
        let _socket = Guest::new(&self.front.room);
        let (mut open, stopped, mut number) = (JoinSet::new(), stop.clone(), 0);
        loop {
            let full = self.front.room.present() >= self.front.connections + SPARE_PLACES;
            if full {
                self.shed();
            }
            tokio::select! {
                biased;
                _ = stop.wait_for(|stop| *stop) => break,
                Some(_) = open.join_next() => {}
                // Those who leave elsewhere tell nobody here.
                () = sleep(LINGER), if full => {}
                accepted = socket.accept(), if !full => match accepted {
                    Ok((stream, _)) => {
                        number += 1;
                        self.enter(&mut open, number, stream, &stopped);
                        // Its place counts from now on.
                        yield_now().await;
                    }
                    Err(_) => {
                        self.shed();
                        sleep(STARVED).await;
                    }
                }
            }
        }
        // Whoever has come by a planned stop is in the system's queue. A socket that others go on
        // listening to is theirs.
        if *ending.borrow() {
            let room = self.front.connections + SPARE_PLACES;
            for stream in queued(&socket).take(room.saturating_sub(self.front.room.present())) {
                number += 1;
                self.enter(&mut open, number, stream, &stopped);
            }
        }
        drop(socket);
        while open.join_next().await.is_some() {}
    }

    /// A new caller, who is seated or turned away.
    fn enter(
        self: &Rc<Self>,
        open: &mut JoinSet<()>,
        number: u64,
        stream: TcpStream,
        stop: &watch::Receiver<bool>,
    ) {
        let full = self.seats.borrow().len() >= self.is.max_connections as usize
            || self.front.room.present() >= self.front.connections;
        if full && !self.shed() {
            spawn_in(open, self.clone().turn_away(stream));
        } else {
            spawn_in(open, self.clone().seat(number, stream, stop.clone()));
        }
    }

    /// Ends the connection that has rested longest.
    fn shed(&self) -> bool {
        let seats = self.seats.borrow();
        let longest = seats
            .values()
            .filter_map(|s| Some((s.rests.get()?, s)))
            .min_by_key(|(since, _)| *since);
        longest
            .map(|(_, seat)| {
                seat.rests.set(None);
                seat.leave.notify_one();
            })
            .is_some()
    }

    /// There is no room for a connection: what it sends is not read.
    async fn turn_away(self: Rc<Self>, mut stream: TcpStream) {
        let _guest = Guest::new(&self.front.room);
        let mut out = BytesMut::new();
        let member = self.refused(away(&self.front.facts));
        write::frame(self.is.framing, &answer(&NULL, &member), &mut out);
        let (mut reader, mut writer) = stream.split();
        // Whether it takes that or not, nothing is owed.
        if let Ok(Ok(())) = timeout(LINGER, writer.write_all(&out)).await {
            close(&mut reader, &mut writer).await;
        }
    }

    fn refused(&self, retry_after: Option<Duration>) -> Bytes {
        let ms = retry_after.map(|d| d.as_millis() as u64);
        write::error(
            REFUSED,
            "refused: nothing was done, and trying again is harmless",
            ms,
        )
    }

    async fn seat(self: Rc<Self>, number: u64, stream: TcpStream, stop: watch::Receiver<bool>) {
        // One that has gone already has no address, and nothing to ask.
        let Ok(peer) = stream.peer_addr().map(|peer| peer.ip()) else {
            return;
        };
        let _guest = Guest::new(&self.front.room);
        let seat = Rc::new(Seat::default());
        self.seats.borrow_mut().insert(number, seat.clone());
        let caller = Rc::new(Caller {
            door: self.clone(),
            peer,
            stopping: Cell::new(false),
        });
        tokio::select! {
            () = caller.talk(stream, &seat, stop) => {}
            () = seat.leave.notified() => {}
        }
        self.seats.borrow_mut().remove(&number);
    }
}

/// A text of a caller's whose answers are not written yet.
struct Group {
    number: u64,
    batch: bool,
    /// Its calls that were not begun.
    members: VecDeque<Member>,
    /// Its calls that were begun and have not ended.
    out: usize,
    answers: Vec<Bytes>,
    /// What was not begun by then is refused, while that is in time.
    limit: Instant,
    stock: Stock,
}

/// A call, or a batch's member that was not looked at yet.
enum Read {
    Call(Result<Call, Wrong>),
    Text(Bytes),
}

/// A call that was taken, and bound.
struct Member {
    id: Option<Bytes>,
    incoming: Incoming,
    bound: BoundRequest,
}

/// What becomes of a call.
struct Done {
    group: u64,
    /// Its id; a notification has none, and no answer.
    id: Option<Bytes>,
    /// Its `result` or `error`.
    member: Bytes,
    /// The module turned it away.
    refused: bool,
}

struct Caller {
    door: Rc<Door>,
    peer: IpAddr,
    /// Nothing new is taken.
    stopping: Cell<bool>,
}

/// What a connection has in work.
#[derive(Default)]
struct Work {
    groups: VecDeque<Group>,
    next: u64,
    /// Calls of batches that are out.
    batched: usize,
    /// Calls that wait to be begun.
    waiting: usize,
}

impl Work {
    /// The next call that may be begun, with its group's number: one of a batch while fewer of
    /// those than `window` are out, one by itself while there is room for it.
    fn begin(&mut self, window: usize, room: bool) -> Option<(u64, Member)> {
        let paced = self.batched < window;
        self.pop(|g| room && (paced || !g.batch))
    }

    /// A call for which there is no time left.
    fn overdue(&mut self, now: Instant) -> Option<(u64, Member)> {
        self.pop(|g| g.limit <= now)
    }

    /// The next call that waits, of the first text of which one may go.
    fn pop(&mut self, may: impl Fn(&Group) -> bool) -> Option<(u64, Member)> {
        let group = self
            .groups
            .iter_mut()
            .find(|g| !g.members.is_empty() && may(g))?;
        let member = group.members.pop_front()?;
        group.out += 1;
        self.batched += usize::from(group.batch);
        self.waiting -= 1;
        Some((group.number, member))
    }

    /// Whether a further text may be read: as many calls wait at the most as a batch has, and as
    /// many texts.
    fn takes(&self, is: &Listener) -> bool {
        self.waiting < is.max_batch_size && self.groups.len() < 2 * is.max_concurrent_calls as usize
    }

    /// When the first of the calls that wait is to be refused.
    fn limit(&self) -> Option<Instant> {
        self.groups
            .iter()
            .filter(|g| !g.members.is_empty())
            .map(|g| g.limit)
            .min()
    }

    fn done(&mut self, done: Done, most: usize) {
        let Some(group) = self.groups.iter_mut().find(|g| g.number == done.group) else {
            return;
        };
        group.out -= 1;
        self.batched -= usize::from(group.batch);
        let Some(id) = done.id else { return };
        let mut text = answer(&id, &done.member);
        if !group.stock.grow(text.len(), most) && text.len() >= SMALL {
            // It ran, and its answer can't be kept for the others of its batch.
            text = answer(
                &id,
                &write::error(FAILED, "failed: there is no room for its answer", None),
            );
        }
        group.answers.push(text);
    }

    /// Moves the answers of texts that are done to what is written.
    fn flush(&mut self, in_order: bool, framing: Framing, out: &mut BytesMut) {
        let done = |g: &Group| g.out == 0 && g.members.is_empty();
        let put = |g: &Group, out: &mut BytesMut| match g.answers.as_slice() {
            [] => {}
            [one] if !g.batch => write::frame(framing, one, out),
            all => {
                let mut text =
                    BytesMut::with_capacity(all.iter().map(|a| a.len() + 1).sum::<usize>() + 1);
                for (i, one) in all.iter().enumerate() {
                    text.extend_from_slice(if i == 0 { b"[" } else { b"," });
                    text.extend_from_slice(one);
                }
                text.extend_from_slice(b"]");
                write::frame(framing, &text, out);
            }
        };
        if in_order {
            while self.groups.front().is_some_and(done) {
                self.groups.pop_front().iter().for_each(|g| put(g, out));
            }
        } else {
            self.groups
                .iter()
                .filter(|g| done(g))
                .for_each(|g| put(g, out));
            self.groups.retain(|g| !done(g));
        }
    }
}

/// Reads on. One that has ended its side, or is not read from now, shows by a reset alone that it
/// has left.
async fn listen(
    reader: &mut ReadHalf<'_>,
    decoder: &mut Decoder,
    reading: bool,
) -> std::io::Result<usize> {
    if reading {
        return reader
            .read_buf(decoder.buffer())
            .await
            .inspect(|_| runtime_accounting::read());
    }
    reader.ready(Interest::ERROR).await?;
    Err(std::io::ErrorKind::ConnectionReset.into())
}

/// Ends a connection behind its last answer. What lies unread would turn the close into a reset,
/// which may overtake it.
async fn close(reader: &mut ReadHalf<'_>, writer: &mut WriteHalf<'_>) {
    // Whether the caller ends its side too or not, nothing is owed any more.
    let _ = timeout(LINGER, async {
        writer.shutdown().await?;
        while reader.read(&mut [0; 1024]).await? > 0 {}
        Ok::<_, std::io::Error>(())
    })
    .await;
}

fn answer(id: &Bytes, member: &[u8]) -> Bytes {
    let mut text = BytesMut::new();
    write::answer(id, member, &mut text);
    text.freeze()
}

fn wrong_answer(wrong: &Wrong) -> Bytes {
    let what = match wrong.code {
        PARSE_ERROR => "Parse error",
        METHOD_NOT_FOUND => "Method not found",
        INVALID_PARAMS => "Invalid params",
        _ => "Invalid Request",
    };
    let member = write::error(
        wrong.code,
        &format!("{what}: expected {}", wrong.expected),
        None,
    );
    answer(&wrong.id, &member)
}

impl Caller {
    /// Reads, begins calls, and writes answers, until the caller has ended and has them all, or has
    /// left.
    async fn talk(
        self: Rc<Self>,
        mut stream: TcpStream,
        seat: &Seat,
        mut stop: watch::Receiver<bool>,
    ) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let (front, is) = (&self.door.front, &self.door.is);
        let (mut reader, mut writer) = stream.split();
        let limits = Limits {
            text: is.max_message_bytes,
            depth: MAX_DEPTH,
            batch: is.max_batch_size,
        };
        let (mut decoder, mut work) = (Decoder::new(is.framing, limits), Work::default());
        let (mut calls, mut out): (JoinSet<Done>, _) = (JoinSet::new(), BytesMut::new());
        // The answer to what can't be read any further: it goes out last.
        let (mut last, mut ended) = (None, false);
        let (mut moved, mut begun) = (Instant::now(), None);
        // As many calls are in work as may be: what comes next waits unread until then.
        let mut full: Option<Instant> = None;
        let idle = millis(is.idle_timeout_ms);
        let mut pace = Pace::new(is.max_concurrent_calls as usize);
        // When what was read last had come, at the earliest.
        let mut arrived = stall_detector::arrival(Instant::now());
        // By a stop, one who has just come and said nothing yet is waited for until then.
        let (mut heard, mut first) = (false, None);
        loop {
            while let Some((group, member)) = work.overdue(Instant::now()) {
                work.done(self.turn_away(group, member), front.bodies);
            }
            while out.len() < MAX_OUT {
                let room = calls.len() < is.max_concurrent_calls as usize;
                full = if room {
                    None
                } else {
                    full.or(Some(Instant::now() + CROWDED))
                };
                if let Some((group, member)) = work.begin(pace.window(), room) {
                    if self.stopping.get() {
                        work.done(self.turn_away(group, member), front.bodies);
                    } else {
                        spawn_in(&mut calls, self.clone().carry(group, member));
                    }
                    continue;
                }
                // Nobody is kept waiting unread for long: what finds no room then is refused.
                let crowded = full.is_some_and(|until| until <= Instant::now());
                if !work.takes(is) || !room && !crowded {
                    break;
                }
                match decoder.next_text() {
                    Ok(Some(text)) => self.take(&text, arrived, crowded, &mut work).await,
                    Ok(None) => break,
                    Err(_) if ended => break,
                    Err(broken) => {
                        (last, ended) = (Some(broken_answer(broken)), true);
                        front.many.meter().unusable(400);
                        break;
                    }
                }
            }
            work.flush(is.ordered_responses, is.framing, &mut out);
            let quiet = calls.is_empty() && work.groups.is_empty();
            // At a stop, what lies here is read before the connection ends.
            let leaves = quiet
                && self.stopping.get()
                && first.is_none_or(|first| heard || first <= Instant::now())
                && !matches!(peek(reader.as_ref()), Ok(1..));
            if quiet && ended || leaves {
                if let Some(last) = last.take() {
                    write::frame(is.framing, &last, &mut out);
                }
                if out.is_empty() {
                    break;
                }
            }
            let waits = full.filter(|until| Instant::now() < *until);
            let reading = !ended && waits.is_none() && work.takes(is) && out.len() < MAX_OUT;
            begun = (reading && decoder.begun()).then(|| begun.unwrap_or_else(Instant::now));
            let rests = quiet && out.is_empty() && begun.is_none();
            seat.rests.set(rests.then_some(moved));
            let limit = match begun {
                _ if !out.is_empty() => moved + STALL,
                Some(begun) => begun + ARRIVE,
                None if rests => moved + idle,
                // Calls have limits of their own.
                None => Instant::now() + STALL,
            };
            let first_by = first.filter(|_| quiet && !heard);
            let wake = [work.limit(), waits, first_by]
                .into_iter()
                .flatten()
                .fold(limit, Instant::min);
            tokio::select! {
                biased;
                wrote = writer.write(&out), if !out.is_empty() => match wrote {
                    Ok(n) if n > 0 => {
                        runtime_accounting::wrote();
                        out.advance(n);
                        moved = Instant::now();
                    }
                    _ => return,
                },
                Some(done) = calls.join_next(), if !calls.is_empty() => {
                    // A task of ours neither panics nor is aborted while this one lives.
                    if let Ok(done) = done {
                        pace.answered(done.refused);
                        work.done(done, front.bodies);
                    }
                    moved = Instant::now();
                }
                read = listen(&mut reader, &mut decoder, reading) => match read {
                    // It may have ended its side only, and wait for what it asked.
                    Ok(0) => {
                        ended = true;
                        if let Some(text) = decoder.rest() {
                            self.take(&text, arrived, false, &mut work).await;
                        }
                    }
                    Ok(_) => {
                        (heard, moved) = (true, Instant::now());
                        arrived = stall_detector::arrival(moved);
                    }
                    Err(_) => return,
                },
                _ = stop.wait_for(|stop| *stop), if !self.stopping.get() => {
                    self.stopping.set(true);
                    first = Some(Instant::now() + FIRST);
                }
                () = sleep_until(wake) => match begun {
                    _ if wake < limit => {}
                    _ if !out.is_empty() => return,
                    Some(_) => {
                        let late = Wrong { code: PARSE_ERROR, expected: "a whole text within 2 s", id: NULL };
                        (last, ended) = (Some(wrong_answer(&late)), true);
                        front.many.meter().unusable(408);
                    }
                    None if rests => break,
                    None => {}
                },
            }
        }
        close(&mut reader, &mut writer).await;
    }

    /// Takes a text that was `received` then: its calls are bound, and wait for their turn. Where
    /// there is no room for them they are refused.
    async fn take(&self, text: &Bytes, received: Instant, crowded: bool, work: &mut Work) {
        let (batch, read) = match message::read(text, self.door.is.max_batch_size) {
            Ok(Message::One(call)) => (false, vec![Read::Call(call)]),
            Ok(Message::Batch(list)) => (true, list.into_iter().map(Read::Text).collect()),
            Err(wrong) => (false, vec![Read::Call(Err(wrong))]),
        };
        let mut stock = Stock::new(&self.door.front.room);
        let refuse =
            !stock.grow(text.len(), self.door.front.bodies) || crowded || self.stopping.get();
        let number = work.next;
        work.next += 1;
        let (mut members, mut answers, mut limit) = (VecDeque::new(), Vec::new(), received + FAR);
        for (n, read) in read.into_iter().enumerate() {
            if n % TURN == TURN - 1 {
                // Others are not kept waiting while a great batch is bound.
                yield_now().await;
            }
            let call = match read {
                Read::Call(call) => call,
                Read::Text(text) => message::call(&text),
            };
            let id = call.as_ref().ok().and_then(|c| c.id.clone());
            let notification = call.as_ref().is_ok_and(|c| c.id.is_none());
            match call.and_then(|call| self.prepare(call, received)) {
                Ok((incoming, bound)) if refuse => {
                    let Done { id, member, .. } = self.turn_away(
                        number,
                        Member {
                            id,
                            incoming,
                            bound,
                        },
                    );
                    answers.extend(id.map(|id| answer(&id, &member)));
                }
                Ok((incoming, bound)) => {
                    limit = limit.min(received + incoming.patience.saturating_sub(SPARE));
                    members.push_back(Member {
                        id,
                        incoming,
                        bound,
                    });
                }
                Err(wrong) => {
                    let wrong = Wrong {
                        id: id.unwrap_or(wrong.id.clone()),
                        ..wrong
                    };
                    let text = self.unusable(&wrong);
                    answers.extend((!notification).then_some(text));
                }
            }
        }
        work.waiting += members.len();
        work.groups.push_back(Group {
            number,
            batch,
            members,
            out: 0,
            answers,
            limit,
            stock,
        });
    }

    /// Refuses a call that was not begun.
    fn turn_away(&self, group: u64, member: Member) -> Done {
        let Member {
            id,
            incoming,
            bound,
        } = member;
        bound
            .engine
            .counts()
            .answered(incoming.class, incoming.tenant, Final::Refused);
        let member = self.door.refused(away(&self.door.front.facts));
        Done {
            group,
            id,
            member,
            refused: false,
        }
    }

    fn unusable(&self, wrong: &Wrong) -> Bytes {
        let status = match wrong.code {
            METHOD_NOT_FOUND => 404,
            INVALID_PARAMS => 422,
            LOOPED => 508,
            _ => 400,
        };
        self.door.front.many.meter().unusable(status);
        wrong_answer(wrong)
    }

    /// Carries a call to its end.
    async fn carry(self: Rc<Self>, group: u64, member: Member) -> Done {
        let Member {
            id,
            incoming,
            bound,
        } = member;
        let _taken = Taken::new(&self.door.front.room);
        let mut refused = false;
        let (answer, spent) = bound.engine.decide(incoming, None).await;
        let member = match answer {
            Answer::Served(member) => member,
            Answer::Refused { retry_after } => {
                refused = true;
                self.door.refused(retry_after)
            }
            Answer::Failed => write::error(FAILED, "failed: it may have run", None),
            Answer::TimedOut => write::error(
                TIMED_OUT,
                "failed: no answer in time; it may have run",
                None,
            ),
        };
        let member = spent.map_or(member.clone(), |s| write::spent(&member, &s.to_string()));
        Done {
            group,
            id,
            member,
            refused,
        }
    }

    /// Finds out what a call is and where it goes.
    fn prepare(&self, call: Call, received: Instant) -> Result<(Incoming, BoundRequest), Wrong> {
        let wrong = |code, expected| Wrong {
            code,
            expected,
            id: NULL,
        };
        let front = &self.door.front;
        let generation = front.many.current_generation();
        let mut listeners = generation.config.listeners.iter();
        let listener = listeners.find(|l| l.name == self.door.is.name);
        let method =
            listener.and_then(|l| l.methods.get(&call.method).or(l.default_method.as_ref()));
        let (listener, method) = listener
            .zip(method)
            .ok_or(wrong(METHOD_NOT_FOUND, "a method of this listener"))?;
        let params = call
            .params
            .as_ref()
            .and_then(|p| std::str::from_utf8(p).ok())
            .unwrap_or("[]");
        let find = |pointer: &Pointer, expected| {
            pointer.find(params).map_err(|missing| match missing {
                Missing::Nothing => wrong(INVALID_PARAMS, expected),
                Missing::Twice => wrong(
                    INVALID_PARAMS,
                    "each name on the way to a key or tenant once",
                ),
            })
        };
        let tenant = match &listener.tenant_source {
            TenantSource::None => None,
            TenantSource::Fixed(name) => Some(name.clone()),
            TenantSource::ClientAddress(by) => {
                let name = by
                    .get(&self.peer)
                    .ok_or(wrong(INVALID_REQUEST, "an address with a tenant"))?;
                Some(name.clone())
            }
            TenantSource::Params(pointer) => {
                let value = find(pointer, "a tenant where the listener looks for it")?;
                Some(pointer::text(value).ok_or(wrong(INVALID_PARAMS, "a tenant that is a text"))?)
            }
        };
        let tenants = &front.facts.site.tenants;
        let place = match &tenant {
            _ if tenants.is_empty() => 0,
            name => {
                let known = tenants.iter().position(|t| Some(t) == name.as_ref());
                known.ok_or(wrong(INVALID_PARAMS, "a known tenant"))?
            }
        };
        let key = match &method.key {
            Some(pointer) => Some(
                find(pointer, "a key where the method looks for it")?
                    .get()
                    .to_string(),
            ),
            None => None,
        };
        let bound = front.many.bind(&RoutingRequest {
            listener: &listener.name,
            method: &call.method,
            host: "",
            path: "",
            class: &method.class,
            tenant: tenant.as_deref().unwrap_or_default(),
            headers: &HeaderMap::new(),
            key: key
                .as_deref()
                .map_or(call.id.as_deref().unwrap_or_default(), str::as_bytes),
        });
        let nowhere = wrong(
            METHOD_NOT_FOUND,
            "a method that some route takes to where it is served",
        );
        let bound = bound.ok_or(nowhere.clone())?;
        let way = bound.way.ok_or(nowhere)?;
        if matches!(bound.effect, Idempotency::Deduplicated { .. }) && key.is_none() {
            return Err(wrong(INVALID_PARAMS, "a key"));
        }
        let (notification, class, tenant) = (call.id.is_none(), bound.class, place as u16);
        let patience = bound.deadline.unwrap_or_default();
        let enter = |books: &Rc<Books>| {
            let told = retry_budget::told_in(&call.carried, books.inner(self.peer));
            let mark = Mark {
                key: key.as_deref().map_or(0, |k| stable_hash(k.as_bytes())),
                class,
                tenant,
            };
            let looped = "a call that has not passed this proxy before, nor too many";
            books
                .enter(told, mark, patience)
                .map_err(|_| wrong(LOOPED, looped))
        };
        let budget = front.books.as_ref().map(enter).transpose()?;
        let call = jsonrpc::Call {
            method: call.method_text,
            params: call.params,
            notification,
            way,
        };
        let key = key.as_deref().map_or(0, engine::key);
        let acts = bound.acts.clone();
        let call = Outward::Rpc(call);
        Ok((
            Incoming {
                call,
                class,
                tenant,
                key,
                received,
                patience,
                budget,
                acts,
            },
            bound,
        ))
    }
}

fn broken_answer(broken: Broken) -> Bytes {
    let code = if broken == Broken::TooLong {
        INVALID_REQUEST
    } else {
        PARSE_ERROR
    };
    wrong_answer(&Wrong {
        code,
        expected: broken.expected(),
        id: NULL,
    })
}
