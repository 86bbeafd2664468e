//! The record that a replica keeps of one backend.

use crate::api::{Endpoint, RequestId};
use std::collections::VecDeque;

/// An attempt as its backend's record knows it.
#[derive(Clone, Copy, PartialEq)]
pub(crate) struct SentAttempt {
    pub request: RequestId,
    pub sent_at: f64,
}

/// A backend, as the endpoint list and its responses show it.
#[derive(Default)]
pub(crate) struct Backend {
    pub endpoint: Endpoint,
    /// Attempts that have not ended, oldest first.
    pub in_flight: VecDeque<SentAttempt>,
    /// Attempts that were given up and whose work goes on.
    pub abandoned: VecDeque<SentAttempt>,
    /// The time of its last response, or of the first attempt after it had none.
    pub last_response: f64,
    /// Its latency over its class's mean.
    pub latency_ratio: f64,
    /// Responses that the latency ratio covers.
    pub latency_samples: f64,
    pub error_rate: f64,
    /// The end of its ejection; 0 while it is in service.
    pub ejected_until: f64,
    /// Ejections since it was last in service.
    pub ejections: u32,
    /// Attempts that it may be sent in slow start; means nothing once it is warm.
    pub slow_start_tokens: f64,
}

impl Backend {
    /// Returns whether there is work of this replica at the backend.
    pub fn has_work(&self) -> bool {
        !self.in_flight.is_empty() || !self.abandoned.is_empty()
    }

    /// Moves an attempt that was given up from those in flight to the abandoned ones.
    pub fn abandon(&mut self, attempt: SentAttempt) {
        self.in_flight.retain(|&other| other != attempt);
        self.abandoned.push_back(attempt);
    }

    /// Removes an attempt whose work has ended.
    pub fn remove(&mut self, attempt: SentAttempt) {
        if let Some(index) = self.in_flight.iter().position(|&other| other == attempt) {
            self.in_flight.remove(index);
        }
        self.abandoned.retain(|&other| other != attempt);
    }
}
