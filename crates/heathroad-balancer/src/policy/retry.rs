//! Retries: whether a further attempt of a request is allowed, and the retry budget of this
//! replica.
//!
//! The budget is a token bucket that each request fills by a fixed share of a token, as in
//! Finagle's and linkerd's retry budgets: repeats of what may have been executed stay a small share
//! of the requests, so that an outage causes no retry storm.

use crate::api::{Action, Idempotency, RequestId};
use crate::balancer::Balancer;

/// Tokens that each request adds: retries as a share of the requests.
const TOKENS_PER_REQUEST: f64 = 0.1;
/// Tokens that the budget holds at least.
const MIN_DEPTH: f64 = 10.0;

/// The retry budget of this replica.
pub(crate) struct RetryTokens {
    tokens: f64,
}

impl Default for RetryTokens {
    fn default() -> Self {
        RetryTokens { tokens: MIN_DEPTH }
    }
}

impl RetryTokens {
    /// Adds the share of a new request; the budget holds more where the limit is larger.
    pub fn deposit(&mut self, limit: f64) {
        let most = MIN_DEPTH.max(limit * TOKENS_PER_REQUEST);
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(most);
    }

    fn is_available(&self) -> bool {
        self.tokens >= 1.0
    }

    fn withdraw(&mut self) {
        self.tokens -= 1.0;
    }
}

impl Balancer {
    /// Sends another attempt, within the class's idempotency, the deadline and, for a request that
    /// may have been executed, the retry budget. Returns whether it was sent.
    pub(crate) fn retry(
        &mut self,
        now: f64,
        id: RequestId,
        never_executed: bool,
        actions: &mut Vec<Action>,
    ) -> bool {
        let request = &self.requests[&id];
        // A request that carries a retry budget was granted its attempts where it entered, for the
        // whole chain.
        let is_free = never_executed || request.retries_left.is_some();
        let in_time = now + self.settings.tick < request.deadline;
        let has_attempts = request.attempts.len() < self.max_attempts();
        let allowed = has_attempts
            && in_time
            && self.is_repeat_allowed(now, id)
            && (is_free || self.retry_tokens.is_available());
        let sent = allowed && self.send(now, id, actions);
        if sent && !is_free {
            self.retry_tokens.withdraw();
        }
        sent
    }

    /// Returns whether the class of a request allows a repeat now.
    fn is_repeat_allowed(&self, now: f64, id: RequestId) -> bool {
        let request = &self.requests[&id];
        let idempotency = self.settings.classes[request.class].idempotency;
        match (request.first_executed(), idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => true,
            (Some(first), Idempotency::Deduplicated { window, .. }) => {
                now < first.sent_at + window - self.settings.tick
            }
            (Some(_), Idempotency::NonIdempotent) => false,
        }
    }

    pub(crate) fn max_attempts(&self) -> usize {
        self.settings.limits.max_attempts as usize
    }
}
