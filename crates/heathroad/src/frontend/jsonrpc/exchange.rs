//! The texts of one connection that are not answered yet: their calls are queued until they may
//! run, and their answers gathered until all are there.

use super::answer::{answer, too_large_to_keep};
use crate::engine::IncomingRequest;
use crate::frontend::reservations::BufferReservation;
use crate::router::BoundRequest;
use bytes::{Bytes, BytesMut};
use heathroad_jsonrpc::{Framing, write};
use heathroad_routing::config::Listener;
use std::collections::VecDeque;
use tokio::time::Instant;

/// A shorter answer is kept even where there is no memory, in bytes: what says so would be no
/// shorter.
const MIN_DISCARDED_ANSWER: usize = 512;
/// Most texts that wait, as a multiple of the calls that may run.
const TEXTS_PER_CALL: usize = 2;

/// A call that was bound and may run.
pub(super) struct BoundCall {
    /// Its id; a notification has none.
    pub(super) id: Option<Bytes>,
    pub(super) incoming: IncomingRequest,
    pub(super) bound: BoundRequest,
}

/// What became of a call.
pub(super) struct FinishedCall {
    /// The number of its exchange.
    pub(super) exchange: u64,
    /// Its id; a notification has none, and no answer.
    pub(super) id: Option<Bytes>,
    /// Its `result` or `error`.
    pub(super) member: Bytes,
    /// The engine rejected it.
    pub(super) is_rejected: bool,
}

/// A text of the client's, and its answers.
pub(super) struct Exchange {
    /// Its number on the connection.
    pub(super) number: u64,
    pub(super) is_batch: bool,
    /// Its calls that are not begun.
    pub(super) waiting: VecDeque<BoundCall>,
    /// Number of its calls that run.
    pub(super) running: usize,
    pub(super) answers: Vec<Bytes>,
    /// Calls that are not begun by then are rejected, while that is in time.
    pub(super) reject_at: Instant,
    /// The bytes of its text and its answers.
    pub(super) reservation: BufferReservation,
}

impl Exchange {
    fn is_finished(&self) -> bool {
        self.running == 0 && self.waiting.is_empty()
    }

    /// Writes its answers: none, one, or those of a batch.
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

/// The exchanges of a connection, in the order of their texts.
#[derive(Default)]
pub(super) struct Exchanges {
    exchanges: VecDeque<Exchange>,
    next_number: u64,
    /// Number of calls of batches that run.
    running_in_batches: usize,
    /// Number of calls that are not begun.
    waiting: usize,
}

impl Exchanges {
    /// Returns an unused number for an exchange.
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

    /// Returns whether all texts are answered.
    pub(super) fn is_empty(&self) -> bool {
        self.exchanges.is_empty()
    }

    /// Returns the next call that may begin, with its exchange's number: one of a batch while fewer
    /// of those than `batch_limit` run, any other while there is capacity for it.
    pub(super) fn take_next(
        &mut self,
        batch_limit: usize,
        has_capacity: bool,
    ) -> Option<(u64, BoundCall)> {
        let may_begin_batched = self.running_in_batches < batch_limit;
        self.take_first(|exchange| has_capacity && (may_begin_batched || !exchange.is_batch))
    }

    /// Returns a call for which there is no time left, with its exchange's number.
    pub(super) fn take_overdue(&mut self, now: Instant) -> Option<(u64, BoundCall)> {
        self.take_first(|exchange| exchange.reject_at <= now)
    }

    /// Returns the first waiting call of the first exchange of which one may be taken.
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

    /// Returns whether a further text may be read: as many calls wait at most as a batch has, and
    /// twice as many texts as calls run.
    pub(super) fn has_capacity(&self, listener: &Listener) -> bool {
        let max_texts = TEXTS_PER_CALL * listener.max_concurrent_calls as usize;
        self.waiting < listener.max_batch_size && self.exchanges.len() < max_texts
    }

    /// Returns when the first of the waiting calls is rejected.
    pub(super) fn first_reject_at(&self) -> Option<Instant> {
        let waiting = self
            .exchanges
            .iter()
            .filter(|exchange| !exchange.waiting.is_empty());
        waiting.map(|exchange| exchange.reject_at).min()
    }

    /// Records the answer of a call that was taken.
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
            // It ran, and its answer cannot be kept for the others of its batch.
            text = answer(&id, &too_large_to_keep());
        }
        exchange.answers.push(text);
    }

    /// Writes the answers of finished exchanges, in their order where that is asked for.
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
