//! The unwritten answers of a JSON-RPC connection, and the buffer space that they take.

use crate::frontend::connections::ConnectionTable;
use crate::frontend::reservations::BufferReservation;
use bytes::{Buf, BytesMut};
use std::rc::Rc;

/// Size of the buffer, in bytes, from which no further calls are started.
const MAX_OUTPUT: usize = 256 * 1024;
/// Size up to which the buffer needs no reservation, in bytes, so that short answers can always be
/// given.
const UNRESERVED_OUTPUT: usize = 16 * 1024;

/// Bytes to be written to a client.
pub(super) struct OutputBuffer {
    bytes: BytesMut,
    reservation: BufferReservation,
    /// Maximum number of bytes buffered for all clients.
    max_buffered_bytes: usize,
    /// Whether the buffer's space is reserved.
    is_reserved: bool,
}

impl OutputBuffer {
    /// Returns an empty buffer.
    pub(super) fn new(table: &Rc<ConnectionTable>, max_buffered_bytes: usize) -> OutputBuffer {
        OutputBuffer {
            bytes: BytesMut::new(),
            reservation: BufferReservation::new(table),
            max_buffered_bytes,
            is_reserved: true,
        }
    }

    /// Returns the bytes to be written.
    pub(super) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns whether nothing is to be written.
    pub(super) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns whether there is room for the answers of further calls.
    pub(super) fn has_capacity(&self) -> bool {
        self.is_reserved && self.bytes.len() < MAX_OUTPUT
    }

    /// Appends what `write` writes. Answers that exist are kept even if there is no room for them.
    pub(super) fn append(&mut self, write: impl FnOnce(&mut BytesMut)) {
        write(&mut self.bytes);
        self.update_reservation();
    }

    /// Removes written bytes.
    pub(super) fn advance(&mut self, written: usize) {
        self.bytes.advance(written);
        if self.bytes.is_empty() && self.bytes.capacity() > UNRESERVED_OUTPUT {
            self.bytes = BytesMut::new();
        }
        self.update_reservation();
    }

    fn update_reservation(&mut self) {
        let needed = self.bytes.capacity().saturating_sub(UNRESERVED_OUTPUT);
        self.is_reserved = self.reservation.resize(needed, self.max_buffered_bytes);
    }
}
