//! What clients hold of the proxy beside their connections: buffered bytes, ids of open requests,
//! and places for pending ones. Each is given back when its guard is dropped.

use super::connections::ConnectionTable;
use hyper::header::HeaderValue;
use std::rc::Rc;

/// Bytes that are buffered for a client.
pub struct BufferReservation {
    table: Rc<ConnectionTable>,
    bytes: usize,
}

impl BufferReservation {
    /// Returns a reservation of no bytes.
    pub fn new(table: &Rc<ConnectionTable>) -> BufferReservation {
        BufferReservation {
            table: table.clone(),
            bytes: 0,
        }
    }

    /// Reserves so many more bytes, unless all clients together would hold more than `limit`;
    /// returns whether they are reserved.
    pub fn try_grow(&mut self, bytes: usize, limit: usize) -> bool {
        let total = self.table.buffered_bytes.get() + bytes;
        let is_reserved = total <= limit;
        if is_reserved {
            self.table.buffered_bytes.set(total);
            self.bytes += bytes;
        }
        is_reserved
    }

    /// Gives back all but so many bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        let returned = self.bytes.saturating_sub(bytes);
        let total = self.table.buffered_bytes.get();
        self.table.buffered_bytes.set(total - returned);
        self.bytes -= returned;
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

/// The id of an open request, and the bytes of its body.
pub struct RequestReservation {
    /// The bytes of its body.
    pub body: BufferReservation,
    id: HeaderValue,
}

impl RequestReservation {
    /// Reserves an id; returns nothing if a request with this id is open.
    pub fn new(table: &Rc<ConnectionTable>, id: &HeaderValue) -> Option<RequestReservation> {
        let is_unused = table.open_ids.borrow_mut().insert(id.clone());
        is_unused.then(|| RequestReservation {
            body: BufferReservation::new(table),
            id: id.clone(),
        })
    }
}

impl Drop for RequestReservation {
    fn drop(&mut self) {
        self.body.table.open_ids.borrow_mut().remove(&self.id);
    }
}

/// Counts a request that waits for its response.
pub struct PendingRequestGuard<'a>(&'a ConnectionTable);

impl<'a> PendingRequestGuard<'a> {
    /// Counts one more.
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
