//! What callers hold of the proxy: places, bytes, ids. Whoever is seated may be asked to leave for
//! those who wait.

use super::read_ahead::Wire;
use crate::safety::{self, Client, Connection, Violation, violations};
use crate::stall_detector;
use crate::stream::{Peek, Progress};
use hyper::header::HeaderValue;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::Instant;

/// A head must have come whole so long after its first byte, and a body after its head. A
/// connection's first request must have come so long after the connect: whoever sends nothing, or
/// sends for ever, is not waited for.
pub const ARRIVE: Duration = Duration::from_secs(2);
/// A connection may rest so long between requests, while places last.
const REST: Duration = Duration::from_secs(60);
/// When it stops, a connection that has just come and sent nothing yet is given so long for its
/// first request.
pub const FIRST: Duration = Duration::from_millis(150);
/// Connections past the limit, taken only to be refused at once.
pub const SPARE: usize = 16;

/// What has become of a caller's present request.
#[derive(Clone, Copy, PartialEq)]
pub enum Stage {
    /// There is none, or its head has not come whole.
    Rest,
    /// Its body is being read.
    Body,
    /// It was taken, and is owed an answer.
    Taken,
}

/// Why a client's connection is closed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Closed {
    /// The client has closed it.
    ByClient,
    /// The client has reset it, or sent what is no HTTP.
    Broken,
    /// Its last answer is written.
    Ended,
    /// Its place is needed, or it has rested for long.
    Shed,
}

impl Closed {
    /// By how the HTTP library says that it ended.
    pub fn of<E>(ended: &Result<(), E>) -> Closed {
        if ended.is_ok() {
            Closed::Ended
        } else {
            Closed::Broken
        }
    }
}

/// A caller's place.
pub struct Seat {
    /// By which log lines name its connection.
    pub number: u64,
    pub stage: Cell<Stage>,
    /// When it connected, or had its last answer.
    pub since: Cell<Instant>,
    /// It has had an answer of some kind.
    pub answered: Cell<bool>,
    /// It was served with what a backend made for it.
    pub served: Cell<bool>,
    pub progress: Rc<Progress>,
    pub wire: Wire,
    leaving: Cell<bool>,
    pub leave: Notify,
}

impl Seat {
    /// Whether closing its connection takes away nothing that was taken or answered; nor what lies
    /// `unread` on it.
    fn may_close(&self, unread: bool) -> bool {
        let owed = self.stage.get() == Stage::Taken;
        safety::close(Connection {
            owed,
            unsent: self.progress.unsent(),
            unread,
        })
    }
    /// Whether it may be asked to leave.
    fn spare(&self) -> bool {
        self.may_close(false) && !self.leaving.get()
    }
    /// Whether it has had the time that it may take.
    fn late(&self) -> bool {
        let past = |since: Instant, most| since.elapsed() > most;
        match (
            self.stage.get(),
            self.answered.get(),
            self.progress.speaks(),
        ) {
            (Stage::Rest, false, _) => past(self.since.get(), ARRIVE),
            (Stage::Rest, true, Some(speaks)) => past(speaks, ARRIVE),
            (Stage::Rest, true, None) => past(self.since.get(), REST),
            // These have limits of their own.
            (Stage::Body | Stage::Taken, ..) => false,
        }
    }
    /// For how long nothing was read on its connection.
    pub fn since_read(&self) -> Duration {
        self.progress
            .heard()
            .map_or(Duration::ZERO, |heard| heard.elapsed())
    }
    /// Its connection is closed, by the client or for a reason of our own.
    pub fn closed(&self, reason: Closed) {
        let taken = self.stage.get() == Stage::Taken;
        tracing::debug!(
            connection = self.number,
            ?reason,
            taken,
            "connection closed"
        );
        if taken && !matches!(reason, Closed::ByClient | Closed::Broken) {
            violations::violated(
                Violation::Dropped,
                &format!("on connection {}", self.number),
            );
        }
    }
    fn close(&self) {
        self.leaving.set(true);
        self.leave.notify_one();
    }
    /// It was asked to leave: whether it still can. Since it was asked a request may have come,
    /// which is owed an answer; one that lies unread on a connection at rest is such. What is half
    /// read is late, or of no use.
    pub fn leaves(&self) -> bool {
        self.leaving.set(false);
        let rests = self.stage.get() == Stage::Rest && self.progress.speaks().is_none();
        self.may_close(rests && self.wire.unread())
    }
    /// Whether it has nothing in work, half read or half written.
    pub fn rests(&self) -> bool {
        self.stage.get() == Stage::Rest
            && self.progress.speaks().is_none()
            && !self.progress.unsent()
    }
}

impl Client for Seat {
    /// By what the reactor was told; after a pause, when that is old, by the system's word.
    fn left(&self) -> bool {
        self.wire.left(stall_detector::held_up(Instant::now()))
    }
}

/// Who waits in a listener's queue by the system's word, since the reactor knows only what it was
/// told when it last looked. With the listener they would be reset.
pub fn queued(listener: &TcpListener) -> impl Iterator<Item = TcpStream> {
    let queue = SockRef::from(listener);
    let next = move || {
        queue
            .accept()
            .ok()
            .map(|(stream, _)| std::net::TcpStream::from(stream))
    };
    // One that can't be used any more is no reason to leave the others there.
    std::iter::from_fn(next).filter_map(|stream| {
        stream.set_nonblocking(true).ok()?;
        TcpStream::from_std(stream).ok()
    })
}

/// What callers hold of the proxy.
#[derive(Default)]
pub struct Room {
    seats: RefCell<BTreeMap<u64, Rc<Seat>>>,
    next: Cell<u64>,
    /// Descriptors of those who come in elsewhere.
    guests: Cell<usize>,
    /// Ids of the requests that are open.
    ids: RefCell<HashSet<HeaderValue>>,
    /// Requests that are owed an answer.
    pub taken: Cell<usize>,
    /// Bytes of their bodies.
    bytes: Cell<usize>,
}

impl Room {
    /// Makes room for one more: of those whose connection can be closed without loss the one that
    /// has been silent longest, and before all others one that was never served.
    pub fn shed(&self) -> bool {
        let seats = self.seats.borrow();
        let spare = seats.values().filter(|s| s.spare());
        let longest = spare.min_by_key(|s| (s.served.get(), s.since.get()));
        longest.inspect(|s| s.close()).is_some()
    }

    /// Descriptors that callers hold.
    pub fn present(&self) -> usize {
        self.seats.borrow().len() + self.guests.get()
    }

    pub fn sweep(&self) {
        self.seats
            .borrow()
            .values()
            .filter(|s| s.spare() && s.late())
            .for_each(|s| s.close());
    }
}

/// A place that is given back when dropped.
pub struct Seated {
    room: Rc<Room>,
    number: u64,
    pub seat: Rc<Seat>,
}

impl Seated {
    pub fn new(room: &Rc<Room>, stream: TcpStream) -> Self {
        let number = room.next.get();
        room.next.set(number + 1);
        let seat = Rc::new(Seat {
            number,
            stage: Cell::new(Stage::Rest),
            since: Cell::new(Instant::now()),
            answered: Cell::new(false),
            served: Cell::new(false),
            progress: Rc::default(),
            wire: Wire::new(stream, room),
            leaving: Cell::new(false),
            leave: Notify::new(),
        });
        room.seats.borrow_mut().insert(number, seat.clone());
        Seated {
            room: room.clone(),
            number,
            seat,
        }
    }
}

impl Drop for Seated {
    fn drop(&mut self) {
        self.room.seats.borrow_mut().remove(&self.number);
    }
}

/// A descriptor of somebody who comes in elsewhere.
pub struct Guest(Rc<Room>);

impl Guest {
    /// One more.
    pub fn new(room: &Rc<Room>) -> Guest {
        room.guests.set(room.guests.get() + 1);
        Guest(room.clone())
    }
}

impl Drop for Guest {
    fn drop(&mut self) {
        self.0.guests.set(self.0.guests.get() - 1);
    }
}

/// Bytes that are held for a caller; given back when dropped.
pub struct Stock {
    room: Rc<Room>,
    bytes: usize,
}

impl Stock {
    /// None yet.
    pub fn new(room: &Rc<Room>) -> Stock {
        Stock {
            room: room.clone(),
            bytes: 0,
        }
    }

    /// Whether there is room for so many more bytes.
    pub fn grow(&mut self, by: usize, most: usize) -> bool {
        let all = self.room.bytes.get() + by;
        if all <= most {
            self.room.bytes.set(all);
            self.bytes += by;
        }
        all <= most
    }

    /// Gives all back but so many.
    pub fn shrink(&mut self, to: usize) {
        let less = self.bytes.saturating_sub(to);
        self.room.bytes.set(self.room.bytes.get() - less);
        self.bytes -= less;
    }
}

impl Drop for Stock {
    fn drop(&mut self) {
        self.room.bytes.set(self.room.bytes.get() - self.bytes);
    }
}

/// An open request's id, and the bytes that its body holds.
pub struct Held {
    pub stock: Stock,
    id: HeaderValue,
}

impl Held {
    /// None if a request with this id is open.
    pub fn new(room: &Rc<Room>, id: &HeaderValue) -> Option<Held> {
        let held = || Held {
            stock: Stock::new(room),
            id: id.clone(),
        };
        room.ids.borrow_mut().insert(id.clone()).then(held)
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.stock.room.ids.borrow_mut().remove(&self.id);
    }
}

/// A request that is owed an answer, counted.
pub struct Taken<'a>(&'a Room);

impl<'a> Taken<'a> {
    /// One more.
    pub fn new(room: &'a Room) -> Self {
        room.taken.set(room.taken.get() + 1);
        Taken(room)
    }
}

impl Drop for Taken<'_> {
    fn drop(&mut self) {
        self.0.taken.set(self.0.taken.get() - 1);
    }
}
