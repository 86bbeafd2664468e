//! A stream wrapper that tracks how much of a request is written, detects stalled writes, and
//! records when data arrived.

use crate::runtime_accounting::{self, sleep};
use crate::safety::{ClientHandle, ClientPresence};
use crate::stall_detector;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

/// Timeout of a write without progress; a failed machine does not reset its connections.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// How much of a request was written to the socket.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Written {
    /// Nothing.
    #[default]
    None,
    /// A part: no backend can have executed the request.
    Partial,
    /// The complete request.
    Complete,
}

/// The progress of messages on a connection.
#[derive(Default)]
pub struct Progress {
    /// A request was started and no write was attempted yet.
    is_new_request: Cell<bool>,
    /// The client of the request that was started.
    client: RefCell<Option<ClientHandle>>,
    is_body_taken: Cell<bool>,
    is_begun: Cell<bool>,
    is_flushed: Cell<bool>,
    has_unsent_bytes: Cell<bool>,
    receiving_since: Cell<Option<Instant>>,
    last_arrival: Cell<Option<Instant>>,
}

impl Progress {
    /// Returns whether written bytes have not been flushed yet.
    pub fn has_unsent_bytes(&self) -> bool {
        self.has_unsent_bytes.get()
    }

    /// Returns the earliest time at which the data of the last read can have arrived.
    pub fn last_arrival(&self) -> Option<Instant> {
        self.last_arrival.get()
    }

    /// Returns when the first data of the current incoming message was read.
    pub fn receiving_since(&self) -> Option<Instant> {
        self.receiving_since.get()
    }

    /// Treats subsequently read data as a new message.
    pub fn expect_message(&self) {
        self.receiving_since.set(None);
    }

    /// Returns how much of the current request was written. Hyper flushes a stream only when its
    /// buffer, including the body, is completely written.
    pub fn written(&self) -> Written {
        match (self.is_begun.get(), self.is_flushed.get()) {
            (false, _) => Written::None,
            (true, false) => Written::Partial,
            (true, true) => Written::Complete,
        }
    }

    /// Sets the client for whom the next request is written. It must be there at the first write.
    pub fn set_client(&self, client: Option<ClientHandle>) {
        self.client.replace(client);
    }

    /// Starts a new request.
    pub fn start_request(&self) {
        self.is_new_request.set(true);
        self.is_body_taken.set(false);
        self.is_begun.set(false);
        self.is_flushed.set(false);
    }
}

/// A request body that records when hyper has polled it.
pub struct RequestBody {
    data: Bytes,
    progress: Rc<Progress>,
}

impl RequestBody {
    /// Starts a new request and returns its body.
    pub fn new(data: Bytes, progress: Rc<Progress>) -> Self {
        progress.start_request();
        // Hyper does not poll an empty body.
        progress.is_body_taken.set(data.is_empty());
        RequestBody { data, progress }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.progress.is_body_taken.set(true);
        let data = std::mem::take(&mut self.data);
        Poll::Ready((!data.is_empty()).then(|| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.data.len() as u64)
    }
}

/// A stream that can be checked for unread data.
pub trait Unread {
    /// Asks the system whether the stream has unread bytes or was closed.
    fn has_unread(&self) -> bool;

    /// Returns the earliest time at which the bytes of the last read can have arrived, if they came
    /// from a read-ahead buffer.
    fn buffered_arrival(&self) -> Option<Instant> {
        None
    }
}

/// Asks the system for unread bytes on a stream: returns 1 if there are any and 0 if the stream has
/// ended. The reactor's readiness may be outdated.
pub fn peek(stream: &TcpStream) -> io::Result<usize> {
    runtime_accounting::look();
    SockRef::from(stream).peek(&mut [MaybeUninit::uninit()])
}

impl Unread for TokioIo<TcpStream> {
    fn has_unread(&self) -> bool {
        !matches!(peek(self.inner()), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}

/// A stream that records its progress.
pub struct WatchedStream<S> {
    stream: S,
    progress: Rc<Progress>,
    write_timer: Option<Pin<Box<Sleep>>>,
}

impl<S> WatchedStream<S> {
    /// Wraps a stream.
    pub fn new(stream: S) -> Self {
        WatchedStream::with_progress(stream, Rc::default())
    }

    /// Wraps a stream and records its progress in `progress`.
    pub fn with_progress(stream: S, progress: Rc<Progress>) -> Self {
        WatchedStream {
            stream,
            progress,
            write_timer: None,
        }
    }

    /// Returns the stream's progress.
    pub fn progress(&self) -> Rc<Progress> {
        self.progress.clone()
    }

    /// Records the result of a write, and fails it after [`WRITE_TIMEOUT`] without progress.
    fn record_write(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        self.progress.has_unsent_bytes.set(true);
        if result.is_pending() {
            let start_timer = || Box::pin(sleep(WRITE_TIMEOUT));
            let timer = self.write_timer.get_or_insert_with(start_timer);
            return timer
                .as_mut()
                .poll(cx)
                .map(|()| Err(io::ErrorKind::TimedOut.into()));
        }
        self.write_timer = None;
        runtime_accounting::wrote();
        if let Poll::Ready(Ok(1..)) = result {
            self.progress.is_begun.set(true);
        }
        result
    }
}

impl<S: Unread> WatchedStream<S> {
    /// Checks the state before the first write of a request. Fails if there are unread bytes: a
    /// stray second response to the previous request would be taken for the response to this one.
    /// Fails too if the client is not there, as it was when the request was passed to this task.
    fn check_first_write(&self) -> io::Result<()> {
        if !self.progress.is_new_request.replace(false) {
            return Ok(());
        }
        if self.stream.has_unread() {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let client = self.progress.client.take();
        if client.is_some_and(|client| client.presence() != ClientPresence::Present) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }
}

impl<S: Read + Unread + Unpin> Read for WatchedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if read.is_ready() {
            runtime_accounting::read();
            let now = Instant::now();
            let arrival = self.stream.buffered_arrival();
            let arrival = arrival.unwrap_or_else(|| stall_detector::earliest_arrival(now));
            self.progress.last_arrival.set(Some(arrival));
            let receiving_since = self.progress.receiving_since.get();
            self.progress
                .receiving_since
                .set(receiving_since.or(Some(now)));
        }
        read
    }
}

impl<S: Write + Unread + Unpin> Write for WatchedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_first_write()?;
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_first_write()?;
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.progress.is_begun.get() && self.progress.is_body_taken.get() {
            self.progress.is_flushed.set(true);
        }
        self.progress.has_unsent_bytes.set(false);
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
#[path = "../tests/unit/stream.rs"]
mod tests;
