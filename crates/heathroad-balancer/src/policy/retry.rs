//! Retries: decides whether a request may be retried, and limits retries by a token bucket.
//!
//! Each request deposits a fixed fraction of a token, as in the retry budgets of Finagle and
//! Linkerd. Retries of requests that may have been executed thus stay a small share of all
//! requests, which prevents retry storms during an outage.

use crate::api::{Action, Idempotency, RequestId};
use crate::balancer::Balancer;

/// Tokens deposited per request; the maximum ratio of retries to requests.
const TOKENS_PER_REQUEST: f64 = 0.1;
/// Minimum capacity of the bucket in tokens.
const MIN_CAPACITY: f64 = 10.0;

/// The retry token bucket of this replica.
pub(crate) struct RetryTokens {
    tokens: f64,
}

impl Default for RetryTokens {
    fn default() -> Self {
        RetryTokens {
            tokens: MIN_CAPACITY,
        }
    }
}

impl RetryTokens {
    /// Deposits the tokens of a new request. The bucket's capacity grows with the concurrency
    /// limit.
    pub fn deposit(&mut self, limit: f64) {
        let capacity = MIN_CAPACITY.max(limit * TOKENS_PER_REQUEST);
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(capacity);
    }

    fn is_available(&self) -> bool {
        self.tokens >= 1.0
    }

    fn withdraw(&mut self) {
        self.tokens -= 1.0;
    }
}

impl Balancer {
    /// Sends another attempt if the request's idempotency, attempt count and deadline allow it and,
    /// for a request that may have been executed, if a retry token is available. Returns whether it
    /// was sent.
    pub(crate) fn retry(
        &mut self,
        now: f64,
        id: RequestId,
        never_executed: bool,
        actions: &mut Vec<Action>,
    ) -> bool {
        let request = &self.requests[&id];
        // The retries of a request that carries a retry budget were granted by the proxy where it
        // entered.
        let needs_no_token = never_executed || request.retries_left.is_some();
        let in_time = now + self.settings.tick < request.deadline;
        let has_attempts_left = request.attempts.len() < self.max_attempts();
        let allowed = has_attempts_left
            && in_time
            && self.is_repeat_allowed(now, id)
            && (needs_no_token || self.retry_tokens.is_available());
        let sent = allowed && self.send(now, id, actions);
        if sent && !needs_no_token {
            self.retry_tokens.withdraw();
        }
        sent
    }

    /// Returns whether the idempotency of a request allows another attempt now.
    fn is_repeat_allowed(&self, now: f64, id: RequestId) -> bool {
        let request = &self.requests[&id];
        let idempotency = self.settings.classes[request.class].idempotency;
        match (request.first_possibly_executed(), idempotency) {
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
