//! The per-backend state of a replica.

use crate::api::{Endpoint, RequestId};
use std::collections::VecDeque;

/// Identifies an attempt in its backend's state.
#[derive(Clone, Copy, PartialEq)]
pub(crate) struct SentAttempt {
    pub request: RequestId,
    pub sent_at: f64,
}

/// A backend with its endpoint and the statistics of its responses.
#[derive(Default)]
pub(crate) struct Backend {
    pub endpoint: Endpoint,
    /// Attempts without an outcome, oldest first.
    pub in_flight: VecDeque<SentAttempt>,
    /// Attempts that timed out or were cancelled and may still be executing.
    pub abandoned: VecDeque<SentAttempt>,
    /// The time of its last response, or of the last attempt sent while it was idle.
    pub last_response: f64,
    /// Mean ratio of its latencies to the mean latencies of their classes.
    pub latency_ratio: f64,
    /// Number of samples in `latency_ratio`, up to a maximum.
    pub latency_samples: f64,
    pub error_rate: f64,
    /// The end of its ejection; 0 while it is in service.
    pub ejected_until: f64,
    /// Consecutive ejections without a return to service.
    pub ejections: u32,
    /// Attempts that it may be sent during slow start; unused afterwards.
    pub slow_start_tokens: f64,
}

impl Backend {
    /// Returns whether the backend has in-flight or abandoned attempts of this replica.
    pub fn has_attempts(&self) -> bool {
        !self.in_flight.is_empty() || !self.abandoned.is_empty()
    }

    /// Moves an attempt from the in-flight to the abandoned ones.
    pub fn abandon(&mut self, attempt: SentAttempt) {
        self.in_flight.retain(|&other| other != attempt);
        self.abandoned.push_back(attempt);
    }

    /// Removes a completed attempt.
    pub fn remove(&mut self, attempt: SentAttempt) {
        if let Some(index) = self.in_flight.iter().position(|&other| other == attempt) {
            self.in_flight.remove(index);
        }
        self.abandoned.retain(|&other| other != attempt);
    }
}
