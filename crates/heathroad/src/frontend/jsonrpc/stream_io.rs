//! Reads from and closes the stream of a JSON-RPC connection.

use crate::runtime_accounting::{self, timeout};
use bytes::BytesMut;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::tcp::{ReadHalf, WriteHalf};

/// Maximum time to discard input after the last answer, so that no reset prevents its delivery.
pub(super) const LINGER: Duration = Duration::from_millis(200);
/// Size of one discarding read, in bytes.
const DISCARD_SIZE: usize = 1024;

/// Reads into a buffer or, if `reads` is false, waits for an error: while the stream is not read,
/// only a reset shows that the client has disconnected.
pub(super) async fn read_or_wait(
    reader: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
    reads: bool,
) -> io::Result<usize> {
    if reads {
        let read = reader.read_buf(buffer).await;
        return read.inspect(|_| runtime_accounting::read());
    }
    reader.ready(Interest::ERROR).await?;
    Err(io::ErrorKind::ConnectionReset.into())
}

/// Closes a connection after its last answer. Discards input first, since a close with unread data
/// sends a reset, which may prevent the client from reading the answer.
pub(super) async fn close(reader: &mut ReadHalf<'_>, writer: &mut WriteHalf<'_>) {
    // Best effort: all answers are written.
    let _ = timeout(LINGER, async {
        writer.shutdown().await?;
        while reader.read(&mut [0; DISCARD_SIZE]).await? > 0 {}
        Ok::<_, io::Error>(())
    })
    .await;
}
