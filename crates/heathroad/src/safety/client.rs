//! What is known of clients, and what clients know of their requests.

use std::rc::{Rc, Weak};

/// What is known of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientPresence {
    /// Its connection is open.
    Present,
    /// It has closed its connection.
    Left,
    /// So much unread input is buffered that the end of the connection would not be seen.
    Unknown,
}

/// A client's connection, as seen by the tasks that act for the client.
pub trait ClientConnection {
    /// Returns whether the client has closed the connection, as far as can be seen now.
    fn presence(&self) -> ClientPresence;

    /// Records, when the client's request ends, whether it may have been executed.
    fn record_execution(&self, _may_have_run: bool) {}
}

/// Refers to a client's connection without keeping it open.
#[derive(Clone)]
pub struct ClientHandle(Weak<dyn ClientConnection>);

impl ClientHandle {
    /// Returns a handle to a connection.
    pub fn new<C: ClientConnection + 'static>(connection: &Rc<C>) -> ClientHandle {
        let connection: Rc<dyn ClientConnection> = connection.clone();
        ClientHandle(Rc::downgrade(&connection))
    }

    /// Returns whether the client is there. It counts as left if the proxy closed the connection.
    pub fn presence(&self) -> ClientPresence {
        let connection = self.0.upgrade();
        connection.map_or(ClientPresence::Left, |connection| connection.presence())
    }

    /// Records, when the client's request ends, whether it may have been executed.
    pub fn record_execution(&self, may_have_run: bool) {
        if let Some(connection) = self.0.upgrade() {
            connection.record_execution(may_have_run);
        }
    }
}
