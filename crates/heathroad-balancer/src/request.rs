//! The per-request state of a replica.

use crate::api::{BackendId, RequestId};
use crate::backend::SentAttempt;

/// An attempt of a request.
pub(crate) struct Attempt {
    pub backend: BackendId,
    /// The zone and cell of the backend when the attempt was sent.
    pub zone: u16,
    pub cell: u16,
    pub sent_at: f64,
    pub is_in_flight: bool,
    /// The attempt timed out or was cancelled, and may still be executing.
    pub is_abandoned: bool,
    pub never_executed: bool,
    /// The attempt counts against the concurrency limit.
    pub is_counted: bool,
}

impl Attempt {
    /// Returns the identification of the attempt in its backend's state.
    pub fn as_sent(&self, request: RequestId) -> SentAttempt {
        SentAttempt {
            request,
            sent_at: self.sent_at,
        }
    }
}

/// A request that has no final response yet or has attempts that have not completed.
pub(crate) struct Request {
    /// The ordering key; 0 means none.
    pub key: u64,
    pub class: usize,
    pub slice: usize,
    /// The tenant whose quota was charged for the request.
    pub charged_tenant: Option<usize>,
    pub deadline: f64,
    /// The time at which the request is rejected if it is still queued.
    pub queue_deadline: f64,
    /// The request has its final response, or its client left.
    pub is_finished: bool,
    /// The remaining retries, if the request carries a retry budget.
    pub retries_left: Option<u32>,
    pub attempts: Vec<Attempt>,
}

impl Request {
    /// Returns the first attempt that may have been executed.
    pub fn first_possibly_executed(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| !a.never_executed)
    }

    /// Returns whether no attempt can have been executed.
    pub fn was_never_executed(&self) -> bool {
        self.attempts.iter().all(|a| a.never_executed)
    }

    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|a| a.is_in_flight)
    }

    pub fn has_abandoned_attempt(&self) -> bool {
        self.attempts.iter().any(|a| a.is_abandoned)
    }

    /// Returns whether a further attempt would exceed the request's retry budget.
    pub fn is_retry_budget_spent(&self) -> bool {
        self.retries_left == Some(0) && !self.attempts.is_empty()
    }
}
