//! The intake of texts that were read on a JSON-RPC connection: their calls are bound, and wait for
//! their turn.

use super::answer::answer;
use super::connection::Session;
use super::exchange::Exchange;
use crate::frontend::reservations::BufferReservation;
use bytes::Bytes;
use heathroad_jsonrpc::message::{self, Call, Message, RequestError};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::task::yield_now;

/// A call that waits for its turn is rejected so long before its time is over.
const REJECTION_MARGIN: Duration = Duration::from_millis(50);
/// So many members of a batch are bound at a time.
const BATCH_TURN: usize = 128;
/// Longer than any call may take.
const FAR_FUTURE: Duration = Duration::from_secs(86_400);

/// A member of a text that is not bound yet.
enum Member {
    Parsed(Result<Call, RequestError>),
    Text(Bytes),
}

impl Session {
    /// Takes a text: its calls are bound, and wait for their turn. Where there is no capacity for
    /// them they are rejected.
    pub(super) async fn take_text(&mut self, text: &Bytes, is_crowded: bool) {
        let (is_batch, members) = self.parse(text);
        let frontend = self.client.frontend();
        let mut reservation = BufferReservation::new(&frontend.table);
        let is_reserved = reservation.try_grow(text.len(), frontend.max_buffered_bytes);
        let must_reject = !is_reserved || is_crowded || self.client.is_stopping.get();
        let mut exchange = Exchange {
            number: self.exchanges.next_number(),
            is_batch,
            waiting: VecDeque::new(),
            running: 0,
            answers: Vec::new(),
            reject_at: self.arrival + FAR_FUTURE,
            reservation,
        };
        for (index, member) in members.into_iter().enumerate() {
            if index % BATCH_TURN == BATCH_TURN - 1 {
                // Others are not kept waiting while a great batch is bound.
                yield_now().await;
            }
            self.take_member(member, must_reject, &mut exchange);
        }
        self.exchanges.push(exchange);
    }

    fn parse(&self, text: &Bytes) -> (bool, Vec<Member>) {
        match message::parse(text, self.client.listener().max_batch_size) {
            Ok(Message::Single(call)) => (false, vec![Member::Parsed(call)]),
            Ok(Message::Batch(texts)) => (true, texts.into_iter().map(Member::Text).collect()),
            Err(wrong) => (false, vec![Member::Parsed(Err(wrong))]),
        }
    }

    fn take_member(&self, member: Member, must_reject: bool, exchange: &mut Exchange) {
        let call = match member {
            Member::Parsed(call) => call,
            Member::Text(text) => message::parse_call(&text),
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
            Err(wrong) => {
                let wrong = RequestError {
                    id: id.unwrap_or(wrong.id.clone()),
                    ..wrong
                };
                let text = self.client.reject_malformed(&wrong);
                exchange.answers.extend((!is_notification).then_some(text));
            }
        }
    }
}
