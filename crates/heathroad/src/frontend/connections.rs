//! The clients' connections: which there are, how long each may be idle, and which is closed when
//! another client needs its place.

use super::read_ahead::ReadAheadStream;
use crate::safety::{self, ClientConnection, ConnectionState, Violation, violations};
use crate::stall_detector;
use crate::stream::{Progress, Unread};
use hyper::header::HeaderValue;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::Instant;

/// A head must arrive whole so long after its first byte, and a body after its head. A connection's
/// first request must arrive so long after the connect: a client that sends nothing, or sends for
/// ever, is not waited for.
pub const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection may be idle so long between requests, while there are free places.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// At a stop, a connection that has just come and sent nothing yet is given so long for its first
/// request.
pub const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(150);
/// Connections above the limit, which are accepted only to be rejected at once.
pub const SPARE_CONNECTIONS: usize = 16;

/// What has become of a connection's present request.
#[derive(Clone, Copy, PartialEq)]
pub enum Stage {
    /// There is none, or its head has not arrived whole.
    Idle,
    /// Its body is being read.
    ReadingBody,
    /// It waits for its response.
    Pending,
}

/// Why a client's connection is closed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CloseReason {
    /// The client has closed it.
    ByClient,
    /// The client has reset it, or sent what is no HTTP.
    Broken,
    /// Its last response is written.
    Finished,
    /// Its place is needed, or it has been idle for long.
    Shed,
}

impl CloseReason {
    /// Returns the reason by how the HTTP library ended the connection.
    pub fn from_result<E>(result: &Result<(), E>) -> CloseReason {
        match result {
            Ok(()) => CloseReason::Finished,
            Err(_) => CloseReason::Broken,
        }
    }
}

/// A client's connection over HTTP.
pub struct Connection {
    /// The number by which log lines name it.
    pub number: u64,
    /// What has become of its present request.
    pub stage: Cell<Stage>,
    /// When it was accepted, or its last response was made.
    pub since: Cell<Instant>,
    /// Whether it was answered at all.
    pub is_answered: Cell<bool>,
    /// Whether it was answered with a backend's response.
    pub is_served: Cell<bool>,
    /// How far its messages have got.
    pub progress: Rc<Progress>,
    /// Its stream.
    pub stream: ReadAheadStream,
    is_closing: Cell<bool>,
    /// Notifies its task that it is asked to close.
    pub close_requested: Notify,
}

impl Connection {
    /// Returns whether closing it takes nothing from the client that was taken or answered, nor
    /// what lies unread on it.
    fn may_close(&self, has_unread_bytes: bool) -> bool {
        safety::may_close(ConnectionState {
            has_pending_request: self.stage.get() == Stage::Pending,
            has_unsent_response: self.progress.has_unsent_bytes(),
            has_unread_bytes,
        })
    }

    /// Returns whether it may be asked to close.
    fn is_sheddable(&self) -> bool {
        self.may_close(false) && !self.is_closing.get()
    }

    /// Returns whether its client has taken longer than it may.
    fn is_overdue(&self) -> bool {
        match (
            self.stage.get(),
            self.is_answered.get(),
            self.progress.receiving_since(),
        ) {
            (Stage::Idle, false, _) => self.since.get().elapsed() > MESSAGE_TIMEOUT,
            (Stage::Idle, true, Some(since)) => since.elapsed() > MESSAGE_TIMEOUT,
            (Stage::Idle, true, None) => self.since.get().elapsed() > IDLE_TIMEOUT,
            // These have deadlines of their own.
            (Stage::ReadingBody | Stage::Pending, ..) => false,
        }
    }

    /// Returns for how long nothing was read on it.
    pub fn time_since_read(&self) -> Duration {
        let last_arrival = self.progress.last_arrival();
        last_arrival.map_or(Duration::ZERO, |last_arrival| last_arrival.elapsed())
    }

    /// Records that it is closed.
    pub fn record_close(&self, reason: CloseReason) {
        let is_pending = self.stage.get() == Stage::Pending;
        tracing::debug!(
            connection = self.number,
            ?reason,
            is_pending,
            "connection closed"
        );
        let is_ours = !matches!(reason, CloseReason::ByClient | CloseReason::Broken);
        if is_pending && is_ours {
            let label = format!("on connection {}", self.number);
            violations::record_violation(Violation::DroppedRequest, &label);
        }
    }

    fn request_close(&self) {
        self.is_closing.set(true);
        self.close_requested.notify_one();
    }

    /// Returns whether it can still close as it was asked to. A request may have come since, which
    /// is owed a response; one that lies unread on an idle connection is such. What is half read is
    /// overdue, or of no use.
    pub fn confirm_close(&self) -> bool {
        self.is_closing.set(false);
        let is_idle = self.stage.get() == Stage::Idle && self.progress.receiving_since().is_none();
        self.may_close(is_idle && self.stream.has_unread())
    }

    /// Returns whether nothing on it is pending, half read or half written.
    pub fn is_quiet(&self) -> bool {
        self.stage.get() == Stage::Idle
            && self.progress.receiving_since().is_none()
            && !self.progress.has_unsent_bytes()
    }
}

impl ClientConnection for Connection {
    /// Asks the reactor, and the system after a stall, when the reactor's knowledge is old.
    fn has_left(&self) -> bool {
        self.stream
            .has_ended(stall_detector::may_have_stalled(Instant::now()))
    }
}

/// Accepts the clients that wait in a listener's queue by the system's word, since the reactor
/// knows only what it was told when it last looked. They would be reset when the listener is
/// closed.
pub fn accept_queued(listener: &TcpListener) -> impl Iterator<Item = TcpStream> {
    let socket = SockRef::from(listener);
    let accept = move || {
        let (stream, _) = socket.accept().ok()?;
        Some(std::net::TcpStream::from(stream))
    };
    // A stream that cannot be used any more is no reason to leave the others there.
    std::iter::from_fn(accept).filter_map(|stream| {
        stream.set_nonblocking(true).ok()?;
        TcpStream::from_std(stream).ok()
    })
}

/// All clients' connections, and what clients hold of the proxy.
#[derive(Default)]
pub struct ConnectionTable {
    connections: RefCell<BTreeMap<u64, Rc<Connection>>>,
    next_number: Cell<u64>,
    /// Descriptors of other connections and listeners of clients.
    other_descriptors: Cell<usize>,
    /// Ids of the open requests.
    pub(super) open_ids: RefCell<HashSet<HeaderValue>>,
    /// Number of requests that wait for their response.
    pub(super) pending_requests: Cell<usize>,
    /// Bytes that are buffered for clients.
    pub(super) buffered_bytes: Cell<usize>,
}

impl ConnectionTable {
    /// Asks one connection to close that can be closed without loss: the one that has been silent
    /// longest, and before all others one that was never served. Returns whether there was one.
    pub fn shed_one(&self) -> bool {
        let connections = self.connections.borrow();
        let sheddable = connections
            .values()
            .filter(|connection| connection.is_sheddable());
        let chosen =
            sheddable.min_by_key(|connection| (connection.is_served.get(), connection.since.get()));
        chosen
            .inspect(|connection| connection.request_close())
            .is_some()
    }

    /// Returns the number of descriptors that clients hold.
    pub fn descriptors(&self) -> usize {
        self.connections.borrow().len() + self.other_descriptors.get()
    }

    /// Asks overdue connections to close.
    pub fn close_overdue(&self) {
        let connections = self.connections.borrow();
        let overdue = connections
            .values()
            .filter(|connection| connection.is_sheddable() && connection.is_overdue());
        overdue.for_each(|connection| connection.request_close());
    }
}

/// A connection of the table, which is removed when this is dropped.
pub struct RegisteredConnection {
    table: Rc<ConnectionTable>,
    /// The connection.
    pub connection: Rc<Connection>,
}

impl RegisteredConnection {
    /// Registers an accepted stream.
    pub fn new(table: &Rc<ConnectionTable>, stream: TcpStream) -> Self {
        let number = table.next_number.get();
        table.next_number.set(number + 1);
        let connection = Rc::new(Connection {
            number,
            stage: Cell::new(Stage::Idle),
            since: Cell::new(Instant::now()),
            is_answered: Cell::new(false),
            is_served: Cell::new(false),
            progress: Rc::default(),
            stream: ReadAheadStream::new(stream, table),
            is_closing: Cell::new(false),
            close_requested: Notify::new(),
        });
        let mut connections = table.connections.borrow_mut();
        connections.insert(number, connection.clone());
        RegisteredConnection {
            table: table.clone(),
            connection,
        }
    }
}

impl Drop for RegisteredConnection {
    fn drop(&mut self) {
        let mut connections = self.table.connections.borrow_mut();
        connections.remove(&self.connection.number);
    }
}

/// Counts a descriptor of a client that is no connection of the table.
pub struct DescriptorGuard(Rc<ConnectionTable>);

impl DescriptorGuard {
    /// Counts one more.
    pub fn new(table: &Rc<ConnectionTable>) -> DescriptorGuard {
        table
            .other_descriptors
            .set(table.other_descriptors.get() + 1);
        DescriptorGuard(table.clone())
    }
}

impl Drop for DescriptorGuard {
    fn drop(&mut self) {
        self.0
            .other_descriptors
            .set(self.0.other_descriptors.get() - 1);
    }
}
