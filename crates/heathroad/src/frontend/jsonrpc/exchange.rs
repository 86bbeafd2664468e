//! The unanswered messages of one connection: queues their calls until they may run, and collects
//! the answers until they are complete.

use super::answer::{answer, no_buffer_space};
use crate::engine::IncomingRequest;
use crate::frontend::reservations::BufferReservation;
use crate::router::BoundRequest;
use bytes::{Bytes, BytesMut};
use heathroad_jsonrpc::{Framing, write};
use heathroad_routing::config::Listener;
use std::collections::VecDeque;
use tokio::time::Instant;

/// Minimum size of an answer that is replaced with an error if there is no buffer space, in bytes;
/// for a shorter one, the error would save no space.
const MIN_DISCARDED_ANSWER: usize = 512;
/// Maximum number of unanswered messages per call that may run.
const MESSAGES_PER_CALL: usize = 2;

/// A call that is bound to its pool.
pub(super) struct BoundCall {
    /// The ID; `None` for a notification.
    pub(super) id: Option<Bytes>,
    pub(super) incoming: IncomingRequest,
    pub(super) bound: BoundRequest,
}

/// The result of a call.
pub(super) struct FinishedCall {
    /// Identifies the exchange of the call: the message that it came in, with its answers.
    pub(super) exchange: u64,
    /// The ID; `None` for a notification, which gets no answer.
    pub(super) id: Option<Bytes>,
    /// The `result` or `error` member of the answer.
    pub(super) member: Bytes,
    /// Whether the engine rejected the call.
    pub(super) is_rejected: bool,
}

/// A message of the client, and its answers.
pub(super) struct Exchange {
    /// Identifies the exchange within the connection.
    pub(super) number: u64,
    pub(super) is_batch: bool,
    /// Calls that are not started.
    pub(super) waiting: VecDeque<BoundCall>,
    /// Number of running calls.
    pub(super) running: usize,
    pub(super) answers: Vec<Bytes>,
    /// When calls that are not started are rejected, early enough for the client's deadline.
    pub(super) reject_at: Instant,
    /// The buffer space of the message and the answers.
    pub(super) reservation: BufferReservation,
}

impl Exchange {
    /// Returns an exchange without calls and answers.
    pub(super) fn new(
        number: u64,
        is_batch: bool,
        reject_at: Instant,
        reservation: BufferReservation,
    ) -> Exchange {
        Exchange {
            number,
            is_batch,
            waiting: VecDeque::new(),
            running: 0,
            answers: Vec::new(),
            reject_at,
            reservation,
        }
    }

    fn is_finished(&self) -> bool {
        self.running == 0 && self.waiting.is_empty()
    }

    /// Writes the answers: nothing, a single answer, or a batch.
    fn write_answers(&self, framing: Framing, output: &mut BytesMut) {
        match self.answers.as_slice() {
            [] => {}
            [answer] if !self.is_batch => write::frame(framing, answer, output),
            answers => write::frame(framing, &join_batch(answers), output),
        }
    }
}

fn join_batch(answers: &[Bytes]) -> BytesMut {
    let length = answers.iter().map(|answer| answer.len() + 1).sum::<usize>() + 1;
    let mut text = BytesMut::with_capacity(length);
    for (index, answer) in answers.iter().enumerate() {
        text.extend_from_slice(if index == 0 { b"[" } else { b"," });
        text.extend_from_slice(answer);
    }
    text.extend_from_slice(b"]");
    text
}

/// The exchanges of a connection, in the order of their messages.
#[derive(Default)]
pub(super) struct Exchanges {
    exchanges: VecDeque<Exchange>,
    next_number: u64,
    /// Number of running batch calls.
    running_in_batches: usize,
    /// Number of calls that are not started.
    waiting: usize,
}

impl Exchanges {
    /// Returns the number for a new exchange.
    pub(super) fn next_number(&mut self) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    /// Adds an exchange.
    pub(super) fn push(&mut self, exchange: Exchange) {
        self.waiting += exchange.waiting.len();
        self.exchanges.push_back(exchange);
    }

    /// Returns whether all messages are answered.
    pub(super) fn is_empty(&self) -> bool {
        self.exchanges.is_empty()
    }

    /// Returns the next call to start, with its exchange's number. Requires capacity and, for a
    /// batch call, fewer than `batch_limit` running batch calls.
    pub(super) fn take_next(
        &mut self,
        batch_limit: usize,
        has_capacity: bool,
    ) -> Option<(u64, BoundCall)> {
        let may_start_batched = self.running_in_batches < batch_limit;
        self.take_first(|exchange| has_capacity && (may_start_batched || !exchange.is_batch))
    }

    /// Returns a waiting call that is due for rejection, with its exchange's number.
    pub(super) fn take_overdue(&mut self, now: Instant) -> Option<(u64, BoundCall)> {
        self.take_first(|exchange| exchange.reject_at <= now)
    }

    /// Removes the first waiting call of the first exchange for which `may_take` returns true, and
    /// counts it as running.
    fn take_first(&mut self, may_take: impl Fn(&Exchange) -> bool) -> Option<(u64, BoundCall)> {
        let mut exchanges = self.exchanges.iter_mut();
        let exchange =
            exchanges.find(|exchange| !exchange.waiting.is_empty() && may_take(exchange))?;
        let call = exchange.waiting.pop_front()?;
        exchange.running += 1;
        self.running_in_batches += usize::from(exchange.is_batch);
        self.waiting -= 1;
        Some((exchange.number, call))
    }

    /// Returns whether another message may be read: the number of waiting calls is limited to the
    /// maximum batch size, and the number of messages to a multiple of the calls that may run.
    pub(super) fn has_capacity(&self, listener: &Listener) -> bool {
        let max_texts = MESSAGES_PER_CALL * listener.max_concurrent_calls as usize;
        self.waiting < listener.max_batch_size && self.exchanges.len() < max_texts
    }

    /// Returns the earliest time at which a waiting call is rejected.
    pub(super) fn first_reject_at(&self) -> Option<Instant> {
        let waiting = self
            .exchanges
            .iter()
            .filter(|exchange| !exchange.waiting.is_empty());
        waiting.map(|exchange| exchange.reject_at).min()
    }

    /// Records the answer of a call that was removed from the queue.
    pub(super) fn record_answer(&mut self, finished: FinishedCall, max_buffered_bytes: usize) {
        let mut exchanges = self.exchanges.iter_mut();
        let exchange = exchanges.find(|exchange| exchange.number == finished.exchange);
        let Some(exchange) = exchange else { return };
        exchange.running -= 1;
        self.running_in_batches -= usize::from(exchange.is_batch);
        let Some(id) = finished.id else { return };
        let mut text = answer(&id, &finished.member);
        let is_reserved = exchange
            .reservation
            .try_grow(text.len(), max_buffered_bytes);
        if !is_reserved && text.len() >= MIN_DISCARDED_ANSWER {
            // The call has run, but its answer cannot be buffered.
            text = answer(&id, &no_buffer_space());
        }
        exchange.answers.push(text);
    }

    /// Writes the answers of finished exchanges, in the order of their messages if `in_order`.
    pub(super) fn write_finished(
        &mut self,
        in_order: bool,
        framing: Framing,
        output: &mut BytesMut,
    ) {
        if in_order {
            while self.exchanges.front().is_some_and(Exchange::is_finished) {
                let finished = self.exchanges.pop_front();
                finished
                    .iter()
                    .for_each(|exchange| exchange.write_answers(framing, output));
            }
            return;
        }
        self.exchanges.retain(|exchange| {
            let is_finished = exchange.is_finished();
            if is_finished {
                exchange.write_answers(framing, output);
            }
            !is_finished
        });
    }
}
