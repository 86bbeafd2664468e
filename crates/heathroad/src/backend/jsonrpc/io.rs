//! The task of a JSON-RPC connection, which reads from and writes to its stream.

use super::connection::Connection;
use crate::backend::pool::{ConnectionSlot, Pool};
use crate::backend::target::Target;
use crate::runtime_accounting::{self, timeout};
use bytes::Bytes;
use heathroad_jsonrpc::{Decoder, Framing, Limits};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::WriteHalf;

/// Longest answer that is read, in bytes.
const MAX_ANSWER: usize = 1 << 20;
/// Where nothing more can be written, an answer that may have come is looked for so long.
const LINGER: Duration = Duration::from_millis(50);

/// Runs a connection to its end, and removes it from the pool.
pub(super) async fn run(
    pool: Rc<Pool>,
    connection: Rc<Connection>,
    target: Rc<Target>,
    mut stream: TcpStream,
    framing: Framing,
    _slot: ConnectionSlot,
) {
    let is_drained = || pool.is_past_drain_grace(&target);
    carry(&connection, &mut stream, framing, is_drained).await;
    connection.end();
    pool.remove_jsonrpc(&target, &connection);
}

/// Reads and writes until the connection ends.
async fn carry(
    connection: &Connection,
    stream: &mut TcpStream,
    framing: Framing,
    is_drained: impl Fn() -> bool,
) {
    let (mut reader, mut writer) = stream.split();
    let limits = Limits {
        max_text_bytes: MAX_ANSWER,
        ..Limits::default()
    };
    let mut decoder = Decoder::new(framing, limits);
    let mut is_broken = false;
    loop {
        if !take_texts(connection, &mut decoder, framing) || is_broken || connection.is_finished() {
            return;
        }
        let next = connection.next_bytes(is_drained());
        tokio::select! {
            biased;
            // What the backend has sent, or that it has left, is seen before more is written to it.
            read = reader.read_buf(decoder.buffer()) => {
                runtime_accounting::read();
                if !read.is_ok_and(|bytes| bytes > 0) {
                    return;
                }
            }
            written = write_next(&mut writer, next.as_ref()) => match written {
                Ok(bytes) if bytes > 0 => {
                    runtime_accounting::wrote();
                    connection.record_written(bytes);
                }
                _ => {
                    // An answer may have come before the end.
                    is_broken = true;
                    let _ = timeout(LINGER, reader.read_buf(decoder.buffer())).await;
                }
            },
            () = connection.wake.notified() => {}
        }
    }
}

/// Takes the texts that were read; returns false where nothing more can be trusted.
fn take_texts(connection: &Connection, decoder: &mut Decoder, framing: Framing) -> bool {
    loop {
        match decoder.next_text() {
            Ok(Some(text)) if connection.take_text(&text, framing) => {}
            Ok(None) => return true,
            Ok(Some(_)) | Err(_) => return false,
        }
    }
}

/// Writes what is next, or waits for ever.
async fn write_next(writer: &mut WriteHalf<'_>, next: Option<&Bytes>) -> io::Result<usize> {
    match next {
        Some(bytes) => writer.write(bytes).await,
        None => std::future::pending().await,
    }
}
