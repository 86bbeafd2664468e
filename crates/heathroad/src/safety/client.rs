//! Whether a client still waits for its response.

use std::rc::{Rc, Weak};

/// A client's connection, as far as those who act for the client need it.
pub trait ClientConnection {
    /// Returns whether the client has closed the connection by now.
    fn has_left(&self) -> bool;
}

/// Refers to a client's connection without keeping it open.
#[derive(Clone)]
pub struct ClientHandle(Weak<dyn ClientConnection>);

impl ClientHandle {
    /// Returns a handle of a connection.
    pub fn new<C: ClientConnection + 'static>(connection: &Rc<C>) -> ClientHandle {
        let connection: Rc<dyn ClientConnection> = connection.clone();
        ClientHandle(Rc::downgrade(&connection))
    }

    /// Returns whether the client has left: it closed its connection, or the proxy did.
    pub fn has_left(&self) -> bool {
        let connection = self.0.upgrade();
        connection.is_none_or(|connection| connection.has_left())
    }
}
