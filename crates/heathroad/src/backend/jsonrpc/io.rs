//! The task of a JSON-RPC connection, which does its I/O.

use super::ConnectionKey;
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

/// Maximum size of a response, in bytes.
const MAX_RESPONSE: usize = 1 << 20;
/// How long to wait for a last response after a write has failed.
const FINAL_READ_TIMEOUT: Duration = Duration::from_millis(50);

/// Runs a connection until it ends, then removes it from the pool.
pub(super) async fn run(
    pool: Rc<Pool>,
    connection: Rc<Connection>,
    target: Rc<Target>,
    mut stream: TcpStream,
    key: ConnectionKey,
    _slot: ConnectionSlot,
) {
    let is_drained = || pool.is_past_drain_grace(&target);
    run_io(&connection, &mut stream, key.framing, is_drained).await;
    connection.end();
    pool.remove_jsonrpc(&key, &connection);
}

/// Reads and writes until the connection ends.
async fn run_io(
    connection: &Connection,
    stream: &mut TcpStream,
    framing: Framing,
    is_drained: impl Fn() -> bool,
) {
    let (mut reader, mut writer) = stream.split();
    let limits = Limits {
        max_text_bytes: MAX_RESPONSE,
        ..Limits::default()
    };
    let mut decoder = Decoder::new(framing, limits);
    let mut is_broken = false;
    loop {
        let is_valid = handle_messages(connection, &mut decoder, framing);
        if !is_valid || is_broken || connection.is_finished() {
            return;
        }
        let next = connection.next_bytes(is_drained());
        tokio::select! {
            biased;
            // Reads take precedence, so that a close by the backend is noticed before more is
            // written.
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
                    // A response may have arrived before the write failed.
                    is_broken = true;
                    let _ =
                        timeout(FINAL_READ_TIMEOUT, reader.read_buf(decoder.buffer())).await;
                }
            },
            () = connection.wake.notified() => {}
        }
    }
}

/// Handles the messages that were read; returns false if the connection must be closed because the
/// backend violates the protocol.
fn handle_messages(connection: &Connection, decoder: &mut Decoder, framing: Framing) -> bool {
    loop {
        match decoder.next_text() {
            Ok(Some(text)) if connection.handle_message(&text, framing) => {}
            Ok(None) => return true,
            Ok(Some(_)) | Err(_) => return false,
        }
    }
}

/// Writes the next bytes; never completes if there are none.
async fn write_next(writer: &mut WriteHalf<'_>, next: Option<&Bytes>) -> io::Result<usize> {
    match next {
        Some(bytes) => writer.write(bytes).await,
        None => std::future::pending().await,
    }
}
