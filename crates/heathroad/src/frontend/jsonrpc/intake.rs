//! Accepts the messages decoded on a JSON-RPC connection: binds their calls and queues them.

use super::answer::answer;
use super::connection::Session;
use super::exchange::Exchange;
use crate::frontend::reservations::BufferReservation;
use bytes::Bytes;
use heathroad_jsonrpc::message::{self, Call, Message, RequestError};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::task::yield_now;

/// Time before its timeout at which a queued call is rejected.
const REJECTION_MARGIN: Duration = Duration::from_millis(50);
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
            if index % MEMBERS_PER_YIELD == MEMBERS_PER_YIELD - 1 {
                // Keeps a large batch from blocking other tasks.
                yield_now().await;
            }
            self.accept_member(member, must_reject, &mut exchange);
        }
        self.exchanges.push(exchange);
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
