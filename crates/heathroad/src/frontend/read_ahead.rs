//! Read-ahead on client connections. While a request is pending, Hyper cannot detect a disconnect
//! behind unread pipelined data. Reading that data into a buffer exposes the disconnect.

use super::connections::{Connection, ConnectionTable};
use super::reservations::BufferReservation;
use crate::backend::store_waker;
use crate::runtime_accounting;
use crate::safety::ClientPresence;
use crate::stall_detector;
use crate::stream::{Unread, peek};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io::{self, Read as _};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Maximum read-ahead per connection, in bytes; further data stays in the socket buffer. Requests on
/// a connection that exceeds it are rejected, since a disconnect would not be detected.
const MAX_READ_AHEAD: usize = 512 * 1024;
/// Read-ahead may use the buffer space of all clients divided by this; the rest is for bodies.
const BUFFER_SHARE_DIVISOR: usize = 2;
/// Size of one read, in bytes.
const READ_SIZE: usize = 8 * 1024;
/// Maximum number of arrival times per connection. Beyond it, bytes count as arrived with those
/// before them.
const MAX_SEGMENTS: usize = 256;

/// Buffered bytes with the same arrival time.
struct Segment {
    bytes: Vec<u8>,
    /// Number of bytes that were already moved out of the buffer.
    consumed: usize,
    /// The earliest time at which the bytes can have arrived.
    arrival: Instant,
}

/// Bytes that were read ahead, in segments.
#[derive(Default)]
struct ReadAheadBuffer {
    segments: VecDeque<Segment>,
    /// Number of bytes in all segments that were not moved out.
    length: usize,
}

impl ReadAheadBuffer {
    fn append(&mut self, bytes: &[u8], arrival: Instant) {
        self.length += bytes.len();
        let is_full = self.segments.len() >= MAX_SEGMENTS;
        let last = self.segments.back_mut();
        match last.filter(|last| is_full || last.arrival == arrival) {
            Some(last) => last.bytes.extend_from_slice(bytes),
            None => self.segments.push_back(Segment {
                bytes: bytes.to_vec(),
                consumed: 0,
                arrival,
            }),
        }
    }

    /// Moves bytes of the first segment to `buf`; returns their arrival time, or `None` if there
    /// are none.
    fn read(&mut self, buf: &mut ReadBufCursor<'_>) -> Option<Instant> {
        let first = self.segments.front_mut()?;
        let rest = &first.bytes[first.consumed..];
        let (length, arrival) = (rest.len().min(buf.remaining()), first.arrival);
        buf.put_slice(&rest[..length]);
        first.consumed += length;
        self.length -= length;
        if first.consumed == first.bytes.len() {
            self.segments.pop_front();
        }
        if self.segments.is_empty() {
            self.segments = VecDeque::new();
        }
        Some(arrival)
    }
}

/// The result of one read into the buffer.
enum ReadAhead {
    /// Data was read; more may be available.
    Read,
    /// No data is available.
    Drained,
    /// The client has closed or reset the connection.
    Ended,
    /// There is no buffer space for the available data.
    Full,
}

/// A client's stream with a read-ahead buffer. Hyper and the disconnect detection share it within
/// the connection's task; tasks that act for the client look for a disconnect.
pub struct ReadAheadStream {
    io: RefCell<TokioIo<TcpStream>>,
    buffer: RefCell<ReadAheadBuffer>,
    /// The earliest arrival time of Hyper's last read, if the buffer served it.
    last_read_arrival: Cell<Option<Instant>>,
    reservation: RefCell<BufferReservation>,
    /// Maximum number of bytes buffered for all clients at which data is still read ahead.
    max_buffered_bytes: usize,
    has_disconnected: Cell<bool>,
    /// Whether a read or a write of Hyper has failed.
    has_failed: Cell<bool>,
    /// Wakes the connection's task, whose view of the socket is outdated after another task's read.
    waker: Cell<Option<Waker>>,
}

impl ReadAheadStream {
    /// Returns the stream of an accepted connection. `max_buffered_bytes` bounds the bytes buffered
    /// for all clients.
    pub fn new(
        stream: TcpStream,
        table: &Rc<ConnectionTable>,
        max_buffered_bytes: usize,
    ) -> ReadAheadStream {
        ReadAheadStream {
            io: RefCell::new(TokioIo::new(stream)),
            buffer: RefCell::default(),
            last_read_arrival: Cell::default(),
            reservation: RefCell::new(BufferReservation::new(table)),
            max_buffered_bytes: max_buffered_bytes / BUFFER_SHARE_DIVISOR,
            has_disconnected: Cell::new(false),
            has_failed: Cell::new(false),
            waker: Cell::default(),
        }
    }

    /// Returns whether the client is still connected, while its request is pending. Reads ahead for
    /// that, since a disconnect shows only behind all data. `bypass_reactor` asks the socket even if
    /// the reactor does not report it as readable.
    pub fn presence(&self, bypass_reactor: bool) -> ClientPresence {
        if self.has_disconnected.get() || self.is_read_closed() {
            return self.record_disconnect();
        }
        loop {
            match self.try_read_ahead(bypass_reactor) {
                ReadAhead::Read => self.wake_connection(),
                ReadAhead::Drained => return ClientPresence::Present,
                ReadAhead::Ended => return self.record_disconnect(),
                ReadAhead::Full => return ClientPresence::Unknown,
            }
        }
    }

    fn record_disconnect(&self) -> ClientPresence {
        if !self.has_disconnected.replace(true) {
            self.wake_connection();
        }
        ClientPresence::Left
    }

    fn wake_connection(&self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Returns whether the reactor has reported that the client closed its sending side, which it
    /// does even if data is unread. No readiness but that belongs to the interest used here.
    fn is_read_closed(&self) -> bool {
        self.with_stream(|stream| stream.try_io(Interest::PRIORITY, || Ok(())).is_ok())
    }

    /// Waits until the client disconnects, reading ahead while `is_pending` returns true. The task
    /// must poll this again whenever the result of `is_pending` may have changed.
    pub async fn wait_for_disconnect(&self, is_pending: impl Fn() -> bool) {
        poll_fn(|cx| {
            store_waker(&self.waker, cx);
            while is_pending() && !self.has_disconnected.get() {
                if self.poll_read_ahead(cx).is_pending() {
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

    /// Performs one read. Without buffer space, the connection's task notices a disconnect only
    /// after the response.
    fn poll_read_ahead(&self, cx: &mut Context<'_>) -> Poll<()> {
        if self
            .with_stream(|stream| stream.poll_read_ready(cx))
            .is_pending()
        {
            return Poll::Pending;
        }
        match self.try_read_ahead(false) {
            ReadAhead::Read | ReadAhead::Drained => Poll::Ready(()),
            ReadAhead::Ended => {
                self.has_disconnected.set(true);
                Poll::Ready(())
            }
            ReadAhead::Full if self.is_read_closed() => {
                self.has_disconnected.set(true);
                Poll::Ready(())
            }
            ReadAhead::Full => Poll::Pending,
        }
    }

    /// Performs one read, if there is buffer space and, unless `bypass_reactor` is set, the reactor
    /// reports the socket as readable.
    fn try_read_ahead(&self, bypass_reactor: bool) -> ReadAhead {
        let buffer = &mut *self.buffer.borrow_mut();
        let has_space = buffer.length + READ_SIZE <= MAX_READ_AHEAD
            && self
                .reservation
                .borrow_mut()
                .try_grow(READ_SIZE, self.max_buffered_bytes);
        if !has_space {
            return self.look(bypass_reactor);
        }
        // Reads into the stack: most reads return no data, and then nothing is allocated.
        let mut bytes = [0; READ_SIZE];
        let read = self.with_stream(|stream| {
            if bypass_reactor {
                (&*SockRef::from(stream)).read(&mut bytes)
            } else {
                stream.try_read(&mut bytes)
            }
        });
        let result = match read {
            Ok(read @ 1..) => {
                runtime_accounting::read();
                let arrival = stall_detector::earliest_arrival(Instant::now());
                buffer.append(&bytes[..read], arrival);
                ReadAhead::Read
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => ReadAhead::Drained,
            Ok(0) | Err(_) => ReadAhead::Ended,
        };
        self.reserve_buffered(buffer.length);
        result
    }

    /// Asks for available data without reading it.
    fn look(&self, bypass_reactor: bool) -> ReadAhead {
        let unread = self.with_stream(|stream| match bypass_reactor {
            true => peek(stream),
            false => stream.try_io(Interest::READABLE, || peek(stream)),
        });
        match unread {
            Ok(1..) => ReadAhead::Full,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => ReadAhead::Drained,
            Ok(0) | Err(_) => ReadAhead::Ended,
        }
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
        self.reserve_buffered(buffer.length);
        arrival.is_some()
    }

    /// Records whether a read or a write of Hyper has failed, and returns its result.
    fn record_failure<T>(&self, result: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if matches!(result, Poll::Ready(Err(_))) {
            self.has_failed.set(true);
        }
        result
    }

    /// Returns whether the connection has failed. The system reports that once, to a read, a write or this.
    pub fn has_failed(&self) -> bool {
        self.has_failed.get() || self.with_stream(|stream| !matches!(stream.take_error(), Ok(None)))
    }

    /// Returns the number of bytes that were read ahead.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.borrow().length
    }

    /// Calls `operation` with the underlying TCP stream.
    pub fn with_stream<T>(&self, operation: impl FnOnce(&TcpStream) -> T) -> T {
        operation(self.io.borrow().inner())
    }
}

impl Unread for ReadAheadStream {
    fn has_unread(&self) -> bool {
        self.buffered_bytes() > 0 || self.io.borrow().has_unread()
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
        let read = Pin::new(&mut *stream.io.borrow_mut()).poll_read(cx, buf);
        stream.record_failure(read)
    }
}

impl Write for ConnectionIo {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let stream = &self.0.stream;
        let written = Pin::new(&mut *stream.io.borrow_mut()).poll_write(cx, buf);
        stream.record_failure(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let stream = &self.0.stream;
        let written = Pin::new(&mut *stream.io.borrow_mut()).poll_write_vectored(cx, bufs);
        stream.record_failure(written)
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
