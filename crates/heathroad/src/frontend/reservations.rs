//! Guards for the resources that clients hold besides connections: buffered bytes, IDs of open
//! requests, and pending requests. Each guard releases its resource on drop.

use super::connections::{Connection, ConnectionTable};
use super::request_ids::IdFingerprint;
use hyper::header::HeaderValue;
use std::rc::Rc;

/// A reservation of buffer bytes for a client.
pub struct BufferReservation {
    table: Rc<ConnectionTable>,
    bytes: usize,
}

impl BufferReservation {
    /// Returns an empty reservation.
    pub fn new(table: &Rc<ConnectionTable>) -> BufferReservation {
        BufferReservation {
            table: table.clone(),
            bytes: 0,
        }
    }

    /// Reserves `bytes` more, unless the total of all clients would exceed `limit`; returns whether
    /// it succeeded.
    pub fn try_grow(&mut self, bytes: usize, limit: usize) -> bool {
        let total = self.table.buffered_bytes.get() + bytes;
        let is_reserved = total <= limit;
        if is_reserved {
            self.table.buffered_bytes.set(total);
            self.bytes += bytes;
        }
        is_reserved
    }

    /// Changes the reservation to `bytes`, unless the total of all clients would exceed `limit`;
    /// returns whether it succeeded.
    pub fn resize(&mut self, bytes: usize, limit: usize) -> bool {
        match bytes.checked_sub(self.bytes) {
            Some(0) => true,
            Some(growth) => self.try_grow(growth, limit),
            None => {
                self.shrink_to(bytes);
                true
            }
        }
    }

    /// Releases all but `bytes` of the reservation.
    pub fn shrink_to(&mut self, bytes: usize) {
        let released = self.bytes.saturating_sub(bytes);
        let total = self.table.buffered_bytes.get();
        self.table.buffered_bytes.set(total - released);
        self.bytes -= released;
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

/// Reserves the ID of an open request and the buffer space of its body.
pub struct RequestReservation {
    /// The buffer space of the body.
    pub body: BufferReservation,
    /// The connection that the request came on.
    connection: Rc<Connection>,
    id: HeaderValue,
}

impl RequestReservation {
    /// Reserves an ID; returns `None` if it is taken.
    pub fn new(
        table: &Rc<ConnectionTable>,
        id: &HeaderValue,
        connection: &Rc<Connection>,
    ) -> Option<RequestReservation> {
        table.request_ids.open(id).then(|| RequestReservation {
            body: BufferReservation::new(table),
            connection: connection.clone(),
            id: id.clone(),
        })
    }
}

impl RequestReservation {
    /// Returns the fingerprint of the ID.
    pub fn fingerprint(&self) -> IdFingerprint {
        self.body.table.request_ids.fingerprint(&self.id)
    }
}

impl Drop for RequestReservation {
    fn drop(&mut self) {
        let may_have_run = self.connection.may_have_run.take();
        self.body.table.request_ids.close(&self.id, may_have_run);
    }
}

/// Counts a request while it waits for its response.
pub struct PendingRequestGuard<'a>(&'a ConnectionTable);

impl<'a> PendingRequestGuard<'a> {
    /// Adds one request to the count.
    pub fn new(table: &'a ConnectionTable) -> Self {
        table.pending_requests.set(table.pending_requests.get() + 1);
        PendingRequestGuard(table)
    }
}

impl Drop for PendingRequestGuard<'_> {
    fn drop(&mut self) {
        self.0
            .pending_requests
            .set(self.0.pending_requests.get() - 1);
    }
}
