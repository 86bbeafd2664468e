//! Accepts the messages decoded on a JSON-RPC connection: binds their calls and queues them.

use super::answer::{answer, rejected};
use super::connection::Session;
use super::exchange::{BoundCall, Exchange};
use super::message_reader::{InputError, UNAVAILABLE};
use crate::engine::retry_after;
use crate::frontend::reservations::BufferReservation;
use bytes::Bytes;
use heathroad_jsonrpc::message::{self, Call, Message, NULL_ID, RequestError};
use std::time::Duration;
use tokio::task::yield_now;

/// Time before its timeout at which a queued call is rejected.
const REJECTION_MARGIN: Duration = Duration::from_millis(50);
/// Memory of a call besides its text until its answer is written, in bytes.
const CALL_BYTES: usize = size_of::<BoundCall>() + ANSWER_BYTES;
/// Memory of an answer that the proxy gives by itself, in bytes.
const ANSWER_BYTES: usize = 256;
/// Number of batch members that are bound before the task yields.
const MEMBERS_PER_YIELD: usize = 128;
/// Exceeds the timeout of any call.
const FAR_FUTURE: Duration = Duration::from_secs(86_400);

/// A call of a message that is not bound yet.
enum Member {
    Parsed(Result<Call, RequestError>),
    /// The JSON text of a batch member.
    Unparsed(Bytes),
}

impl Session {
    /// Binds and queues the calls of a message, or rejects them if there is no capacity.
    pub(super) async fn accept_message(&mut self, text: &Bytes, is_crowded: bool) {
        let (is_batch, members) = self.parse(text);
        let frontend = self.client.frontend();
        let mut reservation = BufferReservation::new(&frontend.table);
        let needed = text.len() + members.len() * CALL_BYTES;
        let is_reserved = reservation.try_grow(needed, frontend.max_buffered_bytes);
        if is_batch && !is_reserved {
            return self.reject_batch(reservation);
        }
        let must_reject = !is_reserved || is_crowded || self.client.is_stopping.get();
        let number = self.exchanges.next_number();
        let reject_at = self.arrival + FAR_FUTURE;
        let mut exchange = Exchange::new(number, is_batch, reject_at, reservation);
        for (index, member) in members.into_iter().enumerate() {
            if index % MEMBERS_PER_YIELD == MEMBERS_PER_YIELD - 1 {
                // Keeps a large batch from blocking other tasks.
                yield_now().await;
            }
            self.accept_member(member, must_reject, &mut exchange);
        }
        self.exchanges.push(exchange);
    }

    /// Rejects a batch as a whole: the answers of its calls would need space too.
    fn reject_batch(&mut self, reservation: BufferReservation) {
        let frontend = self.client.frontend();
        frontend.pools.metrics().record_unusable(UNAVAILABLE);
        let rejection = rejected(retry_after(&frontend.settings));
        let number = self.exchanges.next_number();
        let mut exchange = Exchange::new(number, false, self.arrival + FAR_FUTURE, reservation);
        exchange.answers.push(answer(&NULL_ID, &rejection));
        self.exchanges.push(exchange);
    }

    /// Reserves the space of the next read. Without it, reading ends: the rest of a message that
    /// is partially received would have to be held.
    pub(super) fn reserve_input(&mut self) {
        if !self.has_input_ended && !self.messages.reserve_buffer() {
            self.abort_input(InputError::NoBufferSpace);
        }
    }

    fn parse(&self, text: &Bytes) -> (bool, Vec<Member>) {
        match message::parse(text, self.client.listener().max_batch_size) {
            Ok(Message::Single(call)) => (false, vec![Member::Parsed(call)]),
            Ok(Message::Batch(texts)) => (true, texts.into_iter().map(Member::Unparsed).collect()),
            Err(error) => (false, vec![Member::Parsed(Err(error))]),
        }
    }

    fn accept_member(&self, member: Member, must_reject: bool, exchange: &mut Exchange) {
        let call = match member {
            Member::Parsed(call) => call,
            Member::Unparsed(text) => message::parse_call(&text),
        };
        let id = call.as_ref().ok().and_then(|call| call.id.clone());
        let is_notification = call.as_ref().is_ok_and(|call| call.id.is_none());
        match call.and_then(|call| self.client.bind_call(call, self.arrival)) {
            Ok(call) if must_reject => {
                let finished = self.client.reject_call(exchange.number, call);
                let text = finished.id.map(|id| answer(&id, &finished.member));
                exchange.answers.extend(text);
            }
            Ok(call) => {
                let time = call.incoming.timeout.saturating_sub(REJECTION_MARGIN);
                exchange.reject_at = exchange.reject_at.min(self.arrival + time);
                exchange.waiting.push_back(call);
            }
            Err(error) => {
                let error = RequestError {
                    id: id.unwrap_or(error.id.clone()),
                    ..error
                };
                let text = self.client.reject_malformed(&error);
                exchange.answers.extend((!is_notification).then_some(text));
            }
        }
    }
}
