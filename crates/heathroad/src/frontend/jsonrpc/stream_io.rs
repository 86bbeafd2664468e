//! The stream of a JSON-RPC connection: reads, writes and the close, and whether its client is there.

use crate::runtime_accounting::{self, timeout};
use crate::safety::{ClientConnection, ClientPresence};
use crate::stall_detector;
use crate::stream::peek;
use bytes::BytesMut;
use socket2::SockRef;
use std::cell::Cell;
use std::io;
use std::net::Shutdown;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::Instant;

/// Maximum time to discard input after the last answer, so that no reset prevents its delivery.
pub(super) const LINGER: Duration = Duration::from_millis(200);
/// Number of reads after which the task yields. The reads themselves do not, as long as the client
/// sends.
const READS_PER_YIELD: u32 = 4;
/// Size of one discarding read, in bytes.
const DISCARD_SIZE: usize = 1024;

/// The stream of a client's connection, which the connection's task and the tasks of its calls share.
pub(super) struct ClientStream {
    stream: TcpStream,
    /// Whether a reset was seen. The system reports it once.
    is_reset: Cell<bool>,
    /// Number of reads since the task last yielded.
    reads: Cell<u32>,
}

impl ClientStream {
    /// Returns the stream of an accepted connection.
    pub(super) fn new(stream: TcpStream) -> ClientStream {
        ClientStream {
            stream,
            is_reset: Cell::new(false),
            reads: Cell::new(0),
        }
    }

    /// Reads into a buffer or, if `reads` is false, waits for an error: while the stream is not
    /// read, only a reset shows that the client has disconnected.
    pub(super) async fn read_or_wait(
        &self,
        buffer: &mut BytesMut,
        reads: bool,
    ) -> io::Result<usize> {
        if !reads {
            self.stream.ready(Interest::ERROR).await?;
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        // Before the read, since this may be cancelled while it waits.
        if self.reads.get() >= READS_PER_YIELD {
            self.reads.set(0);
            yield_now().await;
        }
        loop {
            self.stream.readable().await?;
            match self.stream.try_read_buf(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => {
                    runtime_accounting::read();
                    self.reads.set(self.reads.get() + 1);
                    return read;
                }
            }
        }
    }

    /// Writes a part of `bytes`; returns its length.
    pub(super) async fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        loop {
            self.stream.writable().await?;
            match self.stream.try_write(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return written.inspect(|_| runtime_accounting::wrote()),
            }
        }
    }

    /// Writes all of `bytes`.
    pub(super) async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            let written = self.write(bytes).await?;
            bytes = &bytes[written..];
        }
        Ok(())
    }

    /// Returns whether input is unread.
    pub(super) fn has_unread(&self) -> bool {
        matches!(peek(&self.stream), Ok(1..))
    }

    /// Closes the connection after its last answer. Discards input first, since a close with unread
    /// data sends a reset, which may prevent the client from reading the answer.
    pub(super) async fn close(&self) {
        // Best effort: all answers are written.
        let _ = timeout(LINGER, async {
            SockRef::from(&self.stream).shutdown(Shutdown::Write)?;
            loop {
                self.stream.readable().await?;
                match self.stream.try_read(&mut [0; DISCARD_SIZE]) {
                    Ok(0) => return Ok(()),
                    Err(error) if error.kind() != io::ErrorKind::WouldBlock => return Err(error),
                    _ => {}
                }
            }
        })
        .await;
    }

    /// Returns whether the client has reset the connection: by the reactor's word or, after a stall
    /// that may have made it outdated, by the socket's.
    fn has_reset(&self) -> bool {
        let is_reported = self.stream.try_io(Interest::ERROR, || Ok(())).is_ok();
        if is_reported {
            return true;
        }
        if !stall_detector::may_have_stalled(Instant::now()) {
            return false;
        }
        runtime_accounting::look();
        !matches!(self.stream.take_error(), Ok(None))
    }
}

impl ClientConnection for ClientStream {
    /// A client that has closed its sending side only may still wait for its answers, so a reset
    /// alone shows that it has left. It counts even if input lies unread before it.
    fn presence(&self) -> ClientPresence {
        if self.is_reset.get() || self.has_reset() {
            self.is_reset.set(true);
            return ClientPresence::Left;
        }
        ClientPresence::Present
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/frontend_jsonrpc_stream.rs"]
mod tests;
