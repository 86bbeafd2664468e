//! A caller's connection. The HTTP library reads requests from it, and while one is in work looks
//! for the caller's end only as long as nothing lies behind that request; here what lies there is
//! read ahead, so that the end behind it is seen too.

use super::connections::{Room, Seat, Stock};
use crate::runtime_accounting;
use crate::stall_detector;
use crate::stream::{Peek, peek};
use bytes::{Buf, BytesMut};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Most that is read ahead on a connection: callers send one request at a time, and what is more
/// waits in the system.
const AHEAD: usize = 80 * 1024;
/// So much is read at a time.
const PIECE: usize = 4 * 1024;

/// A connection that two look at, both in its one task.
pub struct Wire {
    io: RefCell<TokioIo<TcpStream>>,
    ahead: RefCell<BytesMut>,
    /// When the first of what is held had come, at the earliest.
    came: Cell<Option<Instant>>,
    /// The same of what the library's last read gave, if that was held.
    gave: Cell<Option<Instant>>,
    stock: RefCell<Stock>,
    ended: Cell<bool>,
}

impl Wire {
    /// Of a connection that was taken.
    pub fn new(stream: TcpStream, room: &Rc<Room>) -> Wire {
        let (io, stock) = (
            RefCell::new(TokioIo::new(stream)),
            RefCell::new(Stock::new(room)),
        );
        let (ahead, came, gave) = (RefCell::default(), Cell::default(), Cell::default());
        Wire {
            io,
            ahead,
            came,
            gave,
            stock,
            ended: Cell::new(false),
        }
    }

    /// Whether the caller has ended by now, with nothing behind its request. Of a connection that
    /// is `fresh` the reactor knows nothing yet, and the system is asked; of others it has been
    /// told.
    pub fn left(&self, fresh: bool) -> bool {
        let lies = self.with(|s| {
            if fresh {
                peek(s)
            } else {
                s.try_io(Interest::READABLE, || peek(s))
            }
        });
        match lies {
            Ok(lies) => lies == 0,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Waits for the caller's end while `taken` says that a request of its is in work; `most` bytes
    /// are held for all callers. It has to be looked at again, by the same task, whenever `taken`
    /// may have changed.
    pub async fn gone(&self, taken: impl Fn() -> bool, most: usize) {
        poll_fn(|cx| {
            while taken() && !self.ended.get() {
                let io = self.io.borrow();
                let ahead = &mut *self.ahead.borrow_mut();
                // Past its bound a caller's end is not seen before the answer to it.
                if ahead.len() >= AHEAD || !self.stock.borrow_mut().grow(PIECE, most) {
                    return Poll::Pending;
                }
                if io.inner().poll_read_ready(cx).is_pending() {
                    self.settle(ahead.len());
                    return Poll::Pending;
                }
                // Mostly there is nothing, or the end: room is made for what has come.
                let mut piece = [0; PIECE];
                match io.inner().try_read(&mut piece) {
                    Ok(read @ 1..) => {
                        runtime_accounting::read();
                        ahead.extend_from_slice(&piece[..read]);
                        self.came.set(
                            self.came
                                .get()
                                .or_else(|| Some(stall_detector::arrival(Instant::now()))),
                        );
                    }
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    Ok(0) | Err(_) => self.ended.set(true),
                }
                self.settle(ahead.len());
            }
            if self.ended.get() {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        })
        .await;
    }

    /// Only what is held counts.
    fn settle(&self, held: usize) {
        self.stock.borrow_mut().shrink(held);
    }

    /// What the connection is asked for beside reads and writes.
    pub fn with<T>(&self, ask: impl FnOnce(&TcpStream) -> T) -> T {
        ask(self.io.borrow().inner())
    }
}

impl Peek for Wire {
    fn unread(&self) -> bool {
        !self.ahead.borrow().is_empty() || self.io.borrow().unread()
    }
}

/// A caller's connection as the HTTP library has it.
pub struct Half(pub Rc<Seat>);

impl Peek for Half {
    fn unread(&self) -> bool {
        self.0.wire.unread()
    }

    fn read_ahead(&self) -> Option<Instant> {
        self.0.wire.gave.get()
    }
}

impl Read for Half {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let ahead = &mut *self.0.wire.ahead.borrow_mut();
        self.0.wire.gave.set(None);
        if !ahead.is_empty() {
            self.0.wire.gave.set(self.0.wire.came.get());
            let most = ahead.len().min(buf.remaining());
            buf.put_slice(&ahead[..most]);
            ahead.advance(most);
            if ahead.is_empty() {
                *ahead = BytesMut::new();
                self.0.wire.came.set(None);
            }
            self.0.wire.settle(ahead.len());
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut *self.0.wire.io.borrow_mut()).poll_read(cx, buf)
    }
}

impl Write for Half {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.wire.io.borrow_mut()).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.wire.io.borrow_mut()).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.wire.io.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.wire.io.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.wire.io.borrow_mut()).poll_shutdown(cx)
    }
}
