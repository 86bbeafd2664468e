//! The task of a JSON-RPC connection, which does its I/O.

use super::ConnectionKey;
use super::connection::Connection;
use crate::backend::pool::{ConnectionSlot, Pool};
use crate::backend::target::Target;
use crate::runtime_accounting::{self, timeout};
use heathroad_jsonrpc::{Decoder, Framing, Limits};
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWrite};
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
            written = write_next(connection, &mut writer, &is_drained) => {
                if !written.is_ok_and(|bytes| bytes > 0) {
                    // A response may have arrived before the write failed.
                    is_broken = true;
                    let _ =
                        timeout(FINAL_READ_TIMEOUT, reader.read_buf(decoder.buffer())).await;
                }
            }
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

/// Writes and records the next bytes; never completes if there are none. The bytes are chosen when
/// the stream accepts them, since their call may be abandoned while the stream is full.
async fn write_next(
    connection: &Connection,
    writer: &mut WriteHalf<'_>,
    is_drained: &impl Fn() -> bool,
) -> io::Result<usize> {
    poll_fn(|cx| {
        let Some(next) = connection.next_bytes(is_drained()) else {
            return Poll::Pending;
        };
        let written = ready!(Pin::new(&mut *writer).poll_write(cx, &next))?;
        runtime_accounting::wrote();
        connection.record_written(written);
        Poll::Ready(Ok(written))
    })
    .await
}
