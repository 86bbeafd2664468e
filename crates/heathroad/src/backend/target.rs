//! Backend processes.

use std::cell::Cell;
use std::net::SocketAddr;
use tokio::time::Instant;

/// One process of a backend.
pub struct Target {
    /// Id in the connection pool, which distinguishes successive processes at the same address.
    pub(super) id: u64,
    /// The backend's name from discovery.
    name: String,
    /// The process's address.
    pub address: SocketAddr,
    /// Unix time of the process's start from discovery, in milliseconds; 0 if unknown.
    pub started_ms: f64,
    draining_since: Cell<Option<Instant>>,
}

impl Target {
    /// Returns a process that accepts new requests.
    pub(super) fn new(id: u64, name: &str, address: SocketAddr, started_ms: f64) -> Target {
        Target {
            id,
            name: name.to_string(),
            address,
            started_ms,
            draining_since: Cell::new(None),
        }
    }

    /// Returns whether both are the same process, at the same address.
    pub(super) fn is_same_process(&self, other: &Target) -> bool {
        self.name == other.name && self.started_ms == other.started_ms
    }

    /// Returns whether the process is draining or was removed and accepts no new requests.
    pub fn is_draining(&self) -> bool {
        self.draining_since.get().is_some()
    }

    /// Returns when the proxy was notified of the drain or removal.
    pub(super) fn draining_since(&self) -> Option<Instant> {
        self.draining_since.get()
    }

    /// Marks the process as draining or removed.
    pub fn start_draining(&self, notified_at: Instant) {
        self.draining_since.set(Some(notified_at));
    }
}
