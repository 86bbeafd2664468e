//! Decodes the messages of a JSON-RPC connection and records when they arrived.

use super::answer;
use crate::frontend::connections::ConnectionTable;
use crate::frontend::reservations::BufferReservation;
use crate::time::as_millis;
use bytes::{Bytes, BytesMut};
use heathroad_jsonrpc::message::{NULL_ID, PARSE_ERROR, RequestError};
use heathroad_jsonrpc::{Decoder, FramingError, Limits};
use heathroad_routing::config::Listener;
use std::rc::Rc;
use tokio::time::Instant;

/// Maximum nesting depth of a message.
const MAX_DEPTH: u32 = 128;
/// HTTP status under which messages that cannot be decoded are counted.
const BAD_REQUEST: u16 = 400;
/// HTTP status under which messages that do not arrive in time are counted.
const REQUEST_TIMEOUT: u16 = 408;
/// HTTP status under which messages without buffer space are counted.
pub(super) const UNAVAILABLE: u16 = 503;
/// Size up to which the buffer needs no reservation, in bytes, so that short messages can always be
/// read.
const UNRESERVED_INPUT: usize = 16 * 1024;

/// Why a client's input is not read any further.
#[derive(Debug, Clone, Copy)]
pub(super) enum InputError {
    /// The stream cannot be split into messages.
    Framing(FramingError),
    /// A message did not arrive completely in time.
    Late,
    /// There is no buffer space for the rest of a message.
    NoBufferSpace,
}

impl InputError {
    /// Returns the HTTP status under which the error is counted.
    pub(super) fn status(self) -> u16 {
        match self {
            InputError::Framing(_) => BAD_REQUEST,
            InputError::Late => REQUEST_TIMEOUT,
            InputError::NoBufferSpace => UNAVAILABLE,
        }
    }

    /// Returns the answer that reports the error to the client.
    pub(super) fn to_answer(self) -> Bytes {
        match self {
            InputError::Framing(error) => answer::framing_error(error),
            InputError::Late => answer::malformed(&RequestError {
                code: PARSE_ERROR,
                expected: "a whole text within 2 s",
                id: NULL_ID,
            }),
            InputError::NoBufferSpace => answer::answer(&NULL_ID, &answer::rejected(None)),
        }
    }
}

/// Decodes a connection's input.
pub(super) struct MessageReader {
    decoder: Decoder,
    /// Whether all complete messages were returned, so that the buffer holds at most the beginning
    /// of one.
    is_drained: bool,
    /// Number of decoded messages.
    messages: u64,
    /// When the last message was decoded; before the first one, when the connection was accepted.
    last_message_at: Instant,
    /// When the partially received message started: the first bytes behind the last complete one.
    started_at: Option<Instant>,
    reservation: BufferReservation,
    /// Maximum number of bytes buffered for all clients.
    max_buffered_bytes: usize,
}

impl MessageReader {
    /// Returns the reader of a connection that was accepted at `now`.
    pub(super) fn new(
        listener: &Listener,
        table: &Rc<ConnectionTable>,
        max_buffered_bytes: usize,
        now: Instant,
    ) -> MessageReader {
        let limits = Limits {
            max_text_bytes: listener.max_message_bytes,
            max_depth: MAX_DEPTH,
            max_batch_len: listener.max_batch_size,
        };
        MessageReader {
            decoder: Decoder::new(listener.framing, limits),
            is_drained: true,
            messages: 0,
            last_message_at: now,
            started_at: None,
            reservation: BufferReservation::new(table),
            max_buffered_bytes,
        }
    }

    /// Reserves the buffer with space for a read; returns whether it succeeded.
    pub(super) fn reserve_buffer(&mut self) -> bool {
        self.decoder.release_unused();
        let needed = self.decoder.buffer().capacity();
        self.reservation.resize(
            needed.saturating_sub(UNRESERVED_INPUT),
            self.max_buffered_bytes,
        )
    }

    /// Returns the buffer for received bytes.
    pub(super) fn buffer(&mut self) -> &mut BytesMut {
        self.decoder.buffer()
    }

    /// Records that bytes were read into the buffer.
    pub(super) fn record_read(&mut self) {
        self.is_drained = false;
    }

    /// Returns whether all complete messages that were read have been returned.
    pub(super) fn is_drained(&self) -> bool {
        self.is_drained
    }

    /// Returns the next complete message, if it has arrived by `now`.
    pub(super) fn next(&mut self, now: Instant) -> Result<Option<Bytes>, FramingError> {
        let text = self.decoder.next_text()?;
        self.is_drained = text.is_none();
        if text.is_some() {
            self.messages += 1;
            self.last_message_at = now;
            self.started_at = None;
        }
        Ok(text)
    }

    /// Returns the last message at the end of input, which has no terminator. Requires that all
    /// complete messages were returned.
    pub(super) fn finish(&mut self) -> Option<Bytes> {
        self.decoder.finish()
    }

    /// Starts or stops the timer of the partially received message; returns whether it runs.
    pub(super) fn update_timer(&mut self, reads: bool, now: Instant) -> bool {
        let is_receiving = reads && self.decoder.has_pending_text();
        self.started_at = is_receiving.then(|| self.started_at.unwrap_or(now));
        is_receiving
    }

    /// Returns when the partially received message started.
    pub(super) fn started_at(&self) -> Option<Instant> {
        self.started_at
    }

    /// Logs the end of input, with what had arrived.
    pub(super) fn log_end(&self, listener: &str, error: Option<InputError>, running_calls: usize) {
        let receiving = self.started_at.map(|started_at| started_at.elapsed());
        tracing::debug!(
            listener,
            ?error,
            messages = self.messages,
            last_message_ms = as_millis(self.last_message_at.elapsed()),
            receiving_ms = as_millis(receiving.unwrap_or_default()),
            buffered_bytes = self.decoder.buffered_bytes(),
            running_calls,
            "JSON-RPC input ended"
        );
    }
}
