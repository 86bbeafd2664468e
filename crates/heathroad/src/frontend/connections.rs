//! The table of client connections: their state, their idle timeouts, and the choice of the
//! connection to close when the limit is reached.

use super::read_ahead::ReadAheadStream;
use super::request_ids::{IdFingerprint, RequestIds};
use crate::safety::{
    self, ClientConnection, ClientPresence, ConnectionState, Violation, violations,
};
use crate::stall_detector;
use crate::stream::{Progress, Unread};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Timeout for a request head from its first byte, for a body from its head, and for the first
/// request of a connection from its acceptance.
pub const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum idle time of a connection between requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time that a connection without a request has to send its first one after shutdown begins.
pub const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(150);
/// Maximum number of pipelined requests of a connection whose responses may be unread.
const MAX_UNREAD_IDS: usize = 64;
/// Connections accepted above the limit, so that their clients receive a rejection instead of
/// waiting in the accept queue.
pub const SPARE_CONNECTIONS: usize = 16;

/// The stage of a connection's current request.
#[derive(Clone, Copy, PartialEq)]
pub enum Stage {
    /// There is no request, or its head is incomplete.
    Idle,
    /// Its body is being read.
    ReadingBody,
    /// The request waits for its response.
    Pending,
}

/// Why a client's connection is closed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CloseReason {
    /// The client closed the connection.
    ByClient,
    /// The client reset the connection or sent invalid HTTP.
    Broken,
    /// The last response is written.
    Finished,
    /// The proxy closed the connection to free capacity, or because it was overdue.
    Shed,
}

impl CloseReason {
    /// Converts the result of Hyper's connection future.
    pub fn from_result<E>(result: &Result<(), E>) -> CloseReason {
        match result {
            Ok(()) => CloseReason::Finished,
            Err(_) => CloseReason::Broken,
        }
    }
}

/// An HTTP connection of a client.
pub struct Connection {
    /// Identifies the connection in log lines.
    pub number: u64,
    /// The stage of the current request.
    pub stage: Cell<Stage>,
    /// When the connection was accepted, or its last response was produced.
    pub idle_since: Cell<Instant>,
    /// Whether any request was answered on this connection.
    pub is_answered: Cell<bool>,
    /// Whether any request was answered with a backend's response.
    pub is_served: Cell<bool>,
    /// Whether the last request may have been executed although its client got no response that
    /// says so. Its ID then stays taken.
    pub may_have_run: Cell<bool>,
    /// The ID of the last served request, whose response the client may not have read.
    unread_id: Cell<Option<IdFingerprint>>,
    /// The IDs of earlier such requests, of a client that pipelines.
    earlier_unread_ids: RefCell<VecDeque<IdFingerprint>>,
    /// The progress of its messages.
    pub progress: Rc<Progress>,
    /// The underlying stream.
    pub stream: ReadAheadStream,
    is_closing: Cell<bool>,
    /// Notifies the connection's task of a request to close.
    pub close_requested: Notify,
}

impl Connection {
    /// Returns whether closing the connection loses no request and no response.
    fn may_close(&self, has_unread_bytes: bool) -> bool {
        safety::may_close(ConnectionState {
            has_pending_request: self.stage.get() == Stage::Pending,
            has_unsent_response: self.progress.has_unsent_bytes(),
            has_unread_bytes,
        })
    }

    /// Returns whether the connection can be selected for closing.
    fn is_sheddable(&self) -> bool {
        self.may_close(false) && !self.is_closing.get()
    }

    /// Returns whether the client has exceeded the timeout of its current stage.
    fn is_overdue(&self) -> bool {
        match (
            self.stage.get(),
            self.is_answered.get(),
            self.progress.receiving_since(),
        ) {
            (Stage::Idle, false, _) => self.idle_since.get().elapsed() > MESSAGE_TIMEOUT,
            (Stage::Idle, true, Some(since)) => since.elapsed() > MESSAGE_TIMEOUT,
            (Stage::Idle, true, None) => self.idle_since.get().elapsed() > IDLE_TIMEOUT,
            // Body reads and pending requests have their own deadlines.
            (Stage::ReadingBody | Stage::Pending, ..) => false,
        }
    }

    /// Records the ID of a request whose response is about to be written.
    pub fn add_unread_id(&self, id: IdFingerprint) {
        let Some(previous) = self.unread_id.replace(Some(id)) else {
            return;
        };
        let mut earlier = self.earlier_unread_ids.borrow_mut();
        if earlier.len() >= MAX_UNREAD_IDS {
            earlier.pop_front();
        }
        earlier.push_back(previous);
    }

    /// Records the arrival of a request. A client that sends one after a response has read that;
    /// one that pipelines may not have.
    pub fn record_request(&self, received_at: Instant) {
        if received_at > self.idle_since.get() {
            self.unread_id.take();
            self.earlier_unread_ids.borrow_mut().clear();
        }
    }

    /// Returns the time since data last arrived.
    pub fn time_since_read(&self) -> Duration {
        let last_arrival = self.progress.last_arrival();
        last_arrival.map_or(Duration::ZERO, |last_arrival| last_arrival.elapsed())
    }

    /// Logs the close, and records a violation if the proxy dropped a pending request.
    fn record_close(&self, reason: CloseReason) {
        let is_pending = self.stage.get() == Stage::Pending;
        tracing::debug!(
            connection = self.number,
            ?reason,
            is_pending,
            read_ahead_bytes = self.stream.buffered_bytes(),
            "connection closed"
        );
        let by_proxy = !matches!(reason, CloseReason::ByClient | CloseReason::Broken);
        if is_pending && by_proxy {
            let label = format!("on connection {}", self.number);
            violations::record_violation(Violation::DroppedRequest, &label);
        }
    }

    fn request_close(&self) {
        self.is_closing.set(true);
        self.close_requested.notify_one();
    }

    /// Returns whether a requested close is still safe. A request that arrived in the meantime,
    /// including an unread one on an idle connection, must be answered first; a partially read one
    /// may be dropped.
    pub fn confirm_close(&self) -> bool {
        self.is_closing.set(false);
        let is_idle = self.stage.get() == Stage::Idle && self.progress.receiving_since().is_none();
        self.may_close(is_idle && self.stream.has_unread())
    }

    /// Returns whether no request is pending and no message is partially read or written.
    pub fn is_quiescent(&self) -> bool {
        self.stage.get() == Stage::Idle
            && self.progress.receiving_since().is_none()
            && !self.progress.has_unsent_bytes()
    }
}

impl ClientConnection for Connection {
    /// Checks the reactor's readiness state or, after a stall that may have made it outdated, and
    /// on a new connection, which it does not know yet, the socket itself.
    fn presence(&self) -> ClientPresence {
        let bypass_reactor =
            !self.is_answered.get() || stall_detector::may_have_stalled(Instant::now());
        self.stream.presence(bypass_reactor)
    }

    fn record_execution(&self, may_have_run: bool) {
        self.may_have_run.set(may_have_run);
    }
}

/// Accepts the connections in a listener's accept queue, which would be reset when the listener
/// closes. Calls `accept` on the socket directly, as the reactor's readiness state may be outdated.
pub fn accept_queued(listener: &TcpListener) -> impl Iterator<Item = TcpStream> {
    let socket = SockRef::from(listener);
    let accept = move || {
        let (stream, _) = socket.accept().ok()?;
        Some(std::net::TcpStream::from(stream))
    };
    // Skips unusable streams.
    std::iter::from_fn(accept).filter_map(|stream| {
        stream.set_nonblocking(true).ok()?;
        TcpStream::from_std(stream).ok()
    })
}

/// The connections of all clients, and the other resources that clients hold.
#[derive(Default)]
pub struct ConnectionTable {
    connections: RefCell<BTreeMap<u64, Rc<Connection>>>,
    next_number: Cell<u64>,
    /// Number of descriptors of JSON-RPC listeners and connections.
    other_descriptors: Cell<usize>,
    /// The IDs of requests that are taken.
    pub(super) request_ids: RequestIds,
    /// Number of requests that wait for their responses.
    pub(super) pending_requests: Cell<usize>,
    /// Bytes buffered for clients.
    pub(super) buffered_bytes: Cell<usize>,
}

impl ConnectionTable {
    /// Requests the close of the longest idle connection that can be closed without loss,
    /// preferring connections that were never served. Returns whether there is one.
    pub fn shed_one(&self) -> bool {
        let connections = self.connections.borrow();
        let sheddable = connections
            .values()
            .filter(|connection| connection.is_sheddable());
        let chosen = sheddable
            .min_by_key(|connection| (connection.is_served.get(), connection.idle_since.get()));
        chosen
            .inspect(|connection| connection.request_close())
            .is_some()
    }

    /// Returns the number of descriptors used for clients.
    pub fn descriptors(&self) -> usize {
        self.connections.borrow().len() + self.other_descriptors.get()
    }

    /// Requests the close of overdue connections.
    pub fn close_overdue(&self) {
        let connections = self.connections.borrow();
        let overdue = connections
            .values()
            .filter(|connection| connection.is_sheddable() && connection.is_overdue());
        overdue.for_each(|connection| connection.request_close());
    }
}

/// A connection in the table, removed from it on drop.
pub struct RegisteredConnection {
    table: Rc<ConnectionTable>,
    /// The connection.
    pub connection: Rc<Connection>,
}

impl RegisteredConnection {
    /// Registers an accepted stream.
    ///
    /// `max_buffered_bytes` bounds the bytes buffered for all clients.
    pub fn new(table: &Rc<ConnectionTable>, stream: TcpStream, max_buffered_bytes: usize) -> Self {
        let number = table.next_number.get();
        table.next_number.set(number + 1);
        let connection = Rc::new(Connection {
            number,
            stage: Cell::new(Stage::Idle),
            idle_since: Cell::new(Instant::now()),
            is_answered: Cell::new(false),
            is_served: Cell::new(false),
            may_have_run: Cell::new(false),
            unread_id: Cell::default(),
            earlier_unread_ids: RefCell::default(),
            progress: Rc::default(),
            stream: ReadAheadStream::new(stream, table, max_buffered_bytes),
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

impl RegisteredConnection {
    /// Logs the close. The client may not have read the last response if it reset the connection,
    /// or closed it before the response was written.
    pub fn record_close(&self, reason: CloseReason) {
        let connection = &self.connection;
        connection.record_close(reason);
        let is_reset = connection.stream.has_failed();
        let earlier = connection.earlier_unread_ids.take();
        for id in earlier.into_iter().chain(connection.unread_id.take()) {
            if is_reset {
                self.table.request_ids.retain(id);
            }
        }
    }
}

impl Drop for RegisteredConnection {
    fn drop(&mut self) {
        let mut connections = self.table.connections.borrow_mut();
        connections.remove(&self.connection.number);
    }
}

/// Counts a descriptor used for clients that is not in the connection table.
pub struct DescriptorGuard(Rc<ConnectionTable>);

impl DescriptorGuard {
    /// Adds one descriptor to the count.
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
