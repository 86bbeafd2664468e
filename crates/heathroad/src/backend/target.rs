//! A backend's process.

use std::cell::Cell;
use std::net::SocketAddr;
use tokio::time::Instant;

/// One process of a backend: where it is reached, and whether it takes new requests.
pub struct Target {
    /// Its id in the pool. Another process may be reached at the same address.
    pub(super) id: u64,
    /// Its address.
    pub address: SocketAddr,
    /// When its process started, as discovery tells it.
    pub born_ms: f64,
    draining_since: Cell<Option<Instant>>,
}

impl Target {
    /// Returns a process that takes new requests.
    pub(super) fn new(id: u64, address: SocketAddr, born_ms: f64) -> Target {
        Target {
            id,
            address,
            born_ms,
            draining_since: Cell::new(None),
        }
    }

    /// Returns whether it drains or is gone, and takes no new requests.
    pub fn is_draining(&self) -> bool {
        self.draining_since.get().is_some()
    }

    /// Returns when the proxy was notified that it drains or is gone.
    pub(super) fn draining_since(&self) -> Option<Instant> {
        self.draining_since.get()
    }

    /// Records the notice that it drains or is gone.
    pub fn start_draining(&self, notified_at: Instant) {
        self.draining_since.set(Some(notified_at));
    }
}
