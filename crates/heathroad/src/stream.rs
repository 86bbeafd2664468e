//! A stream that watches itself: whether a request got out whole, whether the other side has
//! stopped taking bytes, and since when it speaks.

use crate::runtime_accounting::{self, sleep};
use crate::stall_detector;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::Cell;
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

/// A silent machine resets nothing: a write that makes no headway for so long has failed.
const STALL: Duration = Duration::from_secs(10);

/// How far a request was written, by the bytes that the system took of it.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Written {
    /// Nothing of it.
    #[default]
    Nothing,
    /// A part: no backend can have begun it.
    Part,
    /// All of it.
    Whole,
}

/// How far the messages on a connection have got.
#[derive(Default)]
pub struct Progress {
    fresh: Cell<bool>,
    body_taken: Cell<bool>,
    begun: Cell<bool>,
    flushed: Cell<bool>,
    unsent: Cell<bool>,
    speaks: Cell<Option<Instant>>,
    heard: Cell<Option<Instant>>,
}

impl Progress {
    /// Whether something is written that the system has not taken yet.
    pub fn unsent(&self) -> bool {
        self.unsent.get()
    }
    /// When what was read last had come, at the earliest.
    pub fn heard(&self) -> Option<Instant> {
        self.heard.get()
    }
    /// Since when the other side speaks, counted from the last `listen`.
    pub fn speaks(&self) -> Option<Instant> {
        self.speaks.get()
    }
    /// What comes from now on is something new.
    pub fn listen(&self) {
        self.speaks.set(None);
    }
    /// How far the present request was written. The HTTP library flushes a stream only once all
    /// that it has buffered is written, and by then it has taken the body.
    pub fn written(&self) -> Written {
        match (self.begun.get(), self.flushed.get()) {
            (false, _) => Written::Nothing,
            (true, false) => Written::Part,
            (true, true) => Written::Whole,
        }
    }
    /// A new request is about to be written.
    pub fn begin(&self) {
        self.fresh.set(true);
        self.body_taken.set(false);
        self.begun.set(false);
        self.flushed.set(false);
    }
}

/// A request's body; tells when the HTTP library has taken it.
pub struct Outgoing {
    data: Bytes,
    progress: Rc<Progress>,
}

impl Outgoing {
    /// The body of the request that is about to be written.
    pub fn new(data: Bytes, progress: Rc<Progress>) -> Self {
        progress.begin();
        // The library does not ask for a body that is empty.
        progress.body_taken.set(data.is_empty());
        Outgoing { data, progress }
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.progress.body_taken.set(true);
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

/// A stream that can be asked whether something lies there to be read, or it was closed.
pub trait Peek {
    /// Whether it is so now, by the system's word.
    fn unread(&self) -> bool;

    /// When what the last read gave had come, at the earliest, if it had been taken from the system
    /// before that read.
    fn read_ahead(&self) -> Option<Instant> {
        None
    }
}

/// Whether something lies on a stream, none if it has ended, by the system's word: the reactor
/// knows only what it was told when it last looked.
pub fn peek(stream: &TcpStream) -> io::Result<usize> {
    runtime_accounting::look();
    SockRef::from(stream).peek(&mut [MaybeUninit::uninit()])
}

impl Peek for TokioIo<TcpStream> {
    fn unread(&self) -> bool {
        !matches!(peek(self.inner()), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// A stream that sees what is written to it.
pub struct Watched<S> {
    stream: S,
    progress: Rc<Progress>,
    stalled: Option<Pin<Box<Sleep>>>,
}

impl<S> Watched<S> {
    /// Watches a stream.
    pub fn new(stream: S) -> Self {
        Watched::over(stream, Rc::default())
    }

    /// Watches a stream, and tells it here.
    pub fn over(stream: S, progress: Rc<Progress>) -> Self {
        Watched {
            stream,
            progress,
            stalled: None,
        }
    }

    /// What is seen.
    pub fn progress(&self) -> Rc<Progress> {
        self.progress.clone()
    }

    fn wrote(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        self.progress.unsent.set(true);
        if result.is_pending() {
            let stalled = self.stalled.get_or_insert_with(|| Box::pin(sleep(STALL)));
            return stalled
                .as_mut()
                .poll(cx)
                .map(|()| Err(io::ErrorKind::TimedOut.into()));
        }
        self.stalled = None;
        runtime_accounting::wrote();
        if let Poll::Ready(Ok(1..)) = result {
            self.progress.begun.set(true);
        }
        result
    }
}

impl<S: Peek> Watched<S> {
    /// Before the first byte of a request nothing may lie on its connection: a late second copy of
    /// the answer before would be taken for the answer to this one.
    fn check(&self) -> io::Result<()> {
        let unclean = self.progress.fresh.replace(false) && self.stream.unread();
        if unclean {
            Err(io::ErrorKind::InvalidData.into())
        } else {
            Ok(())
        }
    }
}

impl<S: Read + Peek + Unpin> Read for Watched<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if read.is_ready() {
            runtime_accounting::read();
            let now = Instant::now();
            let came = self
                .stream
                .read_ahead()
                .unwrap_or_else(|| stall_detector::arrival(now));
            self.progress.heard.set(Some(came));
            self.progress
                .speaks
                .set(self.progress.speaks.get().or(Some(now)));
        }
        read
    }
}

impl<S: Write + Peek + Unpin> Write for Watched<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.wrote(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.wrote(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.progress.begun.get() && self.progress.body_taken.get() {
            self.progress.flushed.set(true);
        }
        self.progress.unsent.set(false);
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
#[path = "../tests/unit/stream.rs"]
mod tests;
