//! Reads and the close of a JSON-RPC connection's stream.

use crate::runtime_accounting::{self, timeout};
use heathroad_jsonrpc::Decoder;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::tcp::{ReadHalf, WriteHalf};

/// Bytes that still come after the last answer are discarded for so long, so that the answer is not
/// lost to a reset.
pub(super) const LINGER: Duration = Duration::from_millis(200);
/// Bytes that are discarded at a time.
const DISCARD_SIZE: usize = 1024;

/// Reads on. Of a client that has ended its side, or is not read from now, only a reset shows that
/// it has left.
pub(super) async fn read_or_wait(
    reader: &mut ReadHalf<'_>,
    decoder: &mut Decoder,
    reads: bool,
) -> io::Result<usize> {
    if reads {
        let read = reader.read_buf(decoder.buffer()).await;
        return read.inspect(|_| runtime_accounting::read());
    }
    reader.ready(Interest::ERROR).await?;
    Err(io::ErrorKind::ConnectionReset.into())
}

/// Closes a connection behind its last answer. Unread bytes would turn the close into a reset,
/// which may overtake the answer.
pub(super) async fn close(reader: &mut ReadHalf<'_>, writer: &mut WriteHalf<'_>) {
    // Whether the client ends its side too or not, nothing is owed to it any more.
    let _ = timeout(LINGER, async {
        writer.shutdown().await?;
        while reader.read(&mut [0; DISCARD_SIZE]).await? > 0 {}
        Ok::<_, io::Error>(())
    })
    .await;
}
