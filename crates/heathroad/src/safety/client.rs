//! Detection of disconnected clients.

use std::rc::{Rc, Weak};

/// A client's connection, as seen by the tasks that act for the client.
pub trait ClientConnection {
    /// Returns whether the client has closed the connection.
    fn has_left(&self) -> bool;
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

    /// Returns whether the connection was closed, by the client or by the proxy.
    pub fn has_left(&self) -> bool {
        let connection = self.0.upgrade();
        connection.is_none_or(|connection| connection.has_left())
    }
}
