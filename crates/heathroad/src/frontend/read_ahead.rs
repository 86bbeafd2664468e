//! Read-ahead on client connections. While a request is pending, Hyper cannot detect a disconnect
//! behind unread pipelined data. Reading that data into a buffer exposes the disconnect.

use super::connections::{Connection, ConnectionTable};
use super::reservations::BufferReservation;
use crate::runtime_accounting;
use crate::stall_detector;
use crate::stream::{Unread, peek};
use bytes::{Buf, BytesMut};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Maximum read-ahead per connection, in bytes; further data stays in the socket buffer. Clients
/// are expected to send one request at a time.
const MAX_READ_AHEAD: usize = 80 * 1024;
/// Size of one read, in bytes.
const READ_SIZE: usize = 4 * 1024;
/// Maximum number of arrival times per connection. Beyond it, bytes count as arrived with those
/// before them.
const MAX_SEGMENTS: usize = 256;

/// Buffered bytes with the same arrival time.
struct Segment {
    length: usize,
    /// The earliest time at which the bytes can have arrived.
    arrival: Instant,
}

/// Bytes that were read ahead, in segments.
#[derive(Default)]
struct ReadAheadBuffer {
    bytes: BytesMut,
    segments: VecDeque<Segment>,
}

impl ReadAheadBuffer {
    fn append(&mut self, bytes: &[u8], arrival: Instant) {
        self.bytes.extend_from_slice(bytes);
        let length = bytes.len();
        let is_full = self.segments.len() >= MAX_SEGMENTS;
        let last = self.segments.back_mut();
        match last.filter(|last| is_full || last.arrival == arrival) {
            Some(last) => last.length += length,
            None => self.segments.push_back(Segment { length, arrival }),
        }
    }

    /// Moves bytes of the first segment to `buf`; returns their arrival time, or `None` if there
    /// are none.
    fn read(&mut self, buf: &mut ReadBufCursor<'_>) -> Option<Instant> {
        let first = self.segments.front_mut()?;
        let (length, arrival) = (first.length.min(buf.remaining()), first.arrival);
        buf.put_slice(&self.bytes[..length]);
        self.bytes.advance(length);
        first.length -= length;
        if first.length == 0 {
            self.segments.pop_front();
        }
        if self.segments.is_empty() {
            *self = ReadAheadBuffer::default();
        }
        Some(arrival)
    }
}

/// A client's stream with a read-ahead buffer. Hyper and the disconnect detection share it within
/// the connection's task.
pub struct ReadAheadStream {
    io: RefCell<TokioIo<TcpStream>>,
    buffer: RefCell<ReadAheadBuffer>,
    /// The earliest arrival time of Hyper's last read, if the buffer served it.
    last_read_arrival: Cell<Option<Instant>>,
    reservation: RefCell<BufferReservation>,
    has_disconnected: Cell<bool>,
}

impl ReadAheadStream {
    /// Returns the stream of an accepted connection.
    pub fn new(stream: TcpStream, table: &Rc<ConnectionTable>) -> ReadAheadStream {
        ReadAheadStream {
            io: RefCell::new(TokioIo::new(stream)),
            buffer: RefCell::default(),
            last_read_arrival: Cell::default(),
            reservation: RefCell::new(BufferReservation::new(table)),
            has_disconnected: Cell::new(false),
        }
    }

    /// Returns whether the client has closed or reset the connection and no unread data is left.
    /// `bypass_reactor` checks the socket even if the reactor does not report it as readable.
    pub fn is_disconnected(&self, bypass_reactor: bool) -> bool {
        let unread = self.with_stream(|stream| match bypass_reactor {
            true => peek(stream),
            false => stream.try_io(Interest::READABLE, || peek(stream)),
        });
        match unread {
            Ok(unread) => unread == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Waits until the client disconnects, reading ahead while `is_pending` returns true. `limit`
    /// bounds the bytes buffered for all clients. The task must poll this again whenever the result
    /// of `is_pending` may have changed.
    pub async fn wait_for_disconnect(&self, is_pending: impl Fn() -> bool, limit: usize) {
        poll_fn(|cx| {
            while is_pending() && !self.has_disconnected.get() {
                if self.poll_read_ahead(cx, limit).is_pending() {
                    return Poll::Pending;
                }
            }
            if self.has_disconnected.get() {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        })
        .await;
    }

    /// Performs one read. With a full buffer, a disconnect is detected only after the response.
    fn poll_read_ahead(&self, cx: &mut Context<'_>, limit: usize) -> Poll<()> {
        let io = self.io.borrow();
        let buffer = &mut *self.buffer.borrow_mut();
        let is_full = buffer.bytes.len() >= MAX_READ_AHEAD;
        if is_full || !self.reservation.borrow_mut().try_grow(READ_SIZE, limit) {
            return Poll::Pending;
        }
        if io.inner().poll_read_ready(cx).is_pending() {
            self.reserve_buffered(buffer.bytes.len());
            return Poll::Pending;
        }
        // Reads into the stack: most reads return no data, and then nothing is allocated.
        let mut bytes = [0; READ_SIZE];
        match io.inner().try_read(&mut bytes) {
            Ok(read @ 1..) => {
                runtime_accounting::read();
                let arrival = stall_detector::earliest_arrival(Instant::now());
                buffer.append(&bytes[..read], arrival);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Ok(0) | Err(_) => self.has_disconnected.set(true),
        }
        self.reserve_buffered(buffer.bytes.len());
        Poll::Ready(())
    }

    /// Reduces the reservation to the buffered bytes.
    fn reserve_buffered(&self, bytes: usize) {
        self.reservation.borrow_mut().shrink_to(bytes);
    }

    /// Moves buffered bytes with one arrival time to `buf`; returns false if there are none.
    fn read_buffered(&self, buf: &mut ReadBufCursor<'_>) -> bool {
        let buffer = &mut *self.buffer.borrow_mut();
        let arrival = buffer.read(buf);
        self.last_read_arrival.set(arrival);
        self.reserve_buffered(buffer.bytes.len());
        arrival.is_some()
    }

    /// Calls `operation` with the underlying TCP stream.
    pub fn with_stream<T>(&self, operation: impl FnOnce(&TcpStream) -> T) -> T {
        operation(self.io.borrow().inner())
    }
}

impl Unread for ReadAheadStream {
    fn has_unread(&self) -> bool {
        !self.buffer.borrow().bytes.is_empty() || self.io.borrow().has_unread()
    }
}

/// Adapts a client's connection to Hyper's I/O traits.
pub struct ConnectionIo(pub Rc<Connection>);

impl Unread for ConnectionIo {
    fn has_unread(&self) -> bool {
        self.0.stream.has_unread()
    }

    fn buffered_arrival(&self) -> Option<Instant> {
        self.0.stream.last_read_arrival.get()
    }
}

impl Read for ConnectionIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let stream = &self.0.stream;
        if stream.read_buffered(&mut buf) {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut *stream.io.borrow_mut()).poll_read(cx, buf)
    }
}

impl Write for ConnectionIo {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.stream.io.borrow_mut()).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.stream.io.borrow_mut()).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.stream.io.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.stream.io.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.stream.io.borrow_mut()).poll_shutdown(cx)
    }
}
