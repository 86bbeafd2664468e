//! Sends attempts, handles their outcomes and counts them against the concurrency limit.

use crate::api::{Action, AttemptNumber, AttemptResult, BackendId, Outcome, RequestId};
use crate::backend::SentAttempt;
use crate::balancer::Balancer;
use crate::request::Attempt;

/// Maximum time that an attempt counts against the limit, in mean latencies of its class. With
/// exponential latencies, 2 in 100 attempts take longer.
const MAX_COUNTED_MEAN_LATENCIES: f64 = 4.0;
/// Share of the limit in flight at which it is considered saturated.
const SATURATED_SHARE: f64 = 0.8;

/// The state of a request after one of its attempts has ended.
#[derive(Clone, Copy)]
struct Progress {
    /// The request has its final response, or its client left.
    is_finished: bool,
    has_attempt_in_flight: bool,
    /// No attempt can have been executed.
    never_executed: bool,
}

impl Balancer {
    /// Starts to count an attempt against the limit.
    fn start_counting(&mut self, class: usize, slice: usize) {
        self.in_flight += 1.0;
        self.slices[slice].in_flight += 1.0;
        self.limiter.classes[class].in_flight += 1.0;
    }

    /// Stops counting an attempt against the limit.
    fn stop_counting(&mut self, class: usize, slice: usize) {
        self.in_flight -= 1.0;
        self.slices[slice].in_flight -= 1.0;
        self.limiter.classes[class].in_flight -= 1.0;
    }

    /// Sends the next attempt of a request if a backend is available. Returns whether it was sent.
    pub(crate) fn send(&mut self, now: f64, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let request = self.requests.get(&id);
        if request.is_none_or(super::request::Request::is_retry_budget_spent) {
            return false;
        }
        let Some(selected) = self.select_backend(now, id) else {
            return false;
        };
        let (Some(request), Some(backend)) =
            (self.requests.get_mut(&id), self.backends.get_mut(&selected))
        else {
            return false;
        };
        if !request.attempts.is_empty() {
            request.retries_left = request.retries_left.map(|n| n.saturating_sub(1));
        }
        backend.slow_start_tokens -= 1.0;
        if backend.in_flight.is_empty() {
            backend.last_response = now;
        }
        let attempt = Attempt {
            backend: selected,
            zone: backend.endpoint.zone,
            cell: backend.endpoint.cell,
            sent_at: now,
            is_in_flight: true,
            is_abandoned: false,
            never_executed: false,
            is_counted: !backend.is_ejected(),
        };
        backend.in_flight.push_back(attempt.as_sent(id));
        let is_counted = attempt.is_counted;
        request.attempts.push(attempt);
        actions.push(Action::Send {
            request: id,
            backend: selected,
            deadline: request.deadline,
        });
        let (class, slice) = (request.class, request.slice);
        if is_counted {
            self.start_counting(class, slice);
            self.peak_in_flight = self.peak_in_flight.max(self.in_flight);
            self.limiter.was_saturated |= self.in_flight >= SATURATED_SHARE * self.limiter.total;
        }
        true
    }

    pub(crate) fn on_attempt_ended(
        &mut self,
        now: f64,
        result: &AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        let id = result.request;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let attempt = request.attempts.get_mut(usize::from(result.attempt));
        let Some(attempt) = attempt.filter(|a| a.is_in_flight) else {
            return;
        };
        attempt.is_in_flight = false;
        attempt.never_executed = result.outcome.never_executed();
        // A backend may still be executing an attempt that timed out or was cancelled. If its
        // completion can be observed, the attempt counts against the limit until then; otherwise
        // clients that time out and retry would overload the backends with uncounted work. So would
        // upstream proxies that restart or lose their connections.
        // `stop_counting_long_attempts` bounds this for backends that never report completion.
        attempt.is_abandoned = self.settings.limits.late_completions
            && matches!(result.outcome, Outcome::Timeout | Outcome::Cancelled);
        let sent = attempt.as_sent(id);
        let is_abandoned = attempt.is_abandoned;
        let stops_counting = attempt.is_counted && !is_abandoned;
        request.retries_left = result.retries_left.or(request.retries_left);
        let (key, class, slice) = (request.key, request.class, request.slice);
        let progress = Progress {
            is_finished: result.request_closed || request.is_finished,
            has_attempt_in_flight: request.has_attempt_in_flight(),
            never_executed: request.was_never_executed(),
        };
        self.block_key_if_outcome_unknown(now, key, result.outcome);
        if stops_counting {
            self.stop_counting(class, slice);
        }
        if is_abandoned && let Some(backend) = self.backends.get_mut(&result.backend) {
            backend.abandon(sent);
        } else {
            self.record_outcome(now, result, class, sent);
        }
        self.close_idle_if_draining(result.backend, actions);
        self.continue_request(now, id, progress, actions);
    }

    /// Decides how a request continues after an attempt: closes, retries, requeues or ends it.
    fn continue_request(
        &mut self,
        now: f64,
        id: RequestId,
        progress: Progress,
        actions: &mut Vec<Action>,
    ) {
        if progress.is_finished {
            return self.close(now, id, actions);
        }
        if progress.has_attempt_in_flight || self.retry(now, id, progress.never_executed, actions) {
            return;
        }
        let request = &self.requests[&id];
        // A request without attempts left must not be requeued: it would never be sent, and would
        // block its queue.
        let has_attempts_left =
            request.attempts.len() < self.max_attempts() && request.retries_left != Some(0);
        if progress.never_executed && now < request.queue_deadline && has_attempts_left {
            let slice = request.slice;
            return self.slices[slice].queue.push_back(id);
        }
        self.reject_or_fail(now, id, actions);
    }

    /// Handles the completion of an abandoned attempt: records the outcome for its backend and
    /// stops counting it against the limit.
    pub(crate) fn on_late_completion(
        &mut self,
        now: f64,
        result: &AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        let id = result.request;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let attempt = request.attempts.get_mut(usize::from(result.attempt));
        let Some(attempt) = attempt.filter(|a| a.is_abandoned) else {
            return;
        };
        attempt.is_abandoned = false;
        let was_counted = std::mem::take(&mut attempt.is_counted);
        let sent = attempt.as_sent(id);
        let (class, slice, is_finished) = (request.class, request.slice, request.is_finished);
        if was_counted {
            self.stop_counting(class, slice);
        }
        self.record_outcome(now, result, class, sent);
        if is_finished {
            self.close(now, id, actions);
        }
    }

    /// Closes a request: no further response or attempt is sent, and in-flight attempts are
    /// cancelled where allowed. The request is removed once all its attempts have completed.
    pub(crate) fn close(&mut self, now: f64, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let was_finished = std::mem::replace(&mut request.is_finished, true);
        if request.has_attempt_in_flight() {
            if !was_finished && self.settings.limits.cancellation {
                let attempts = request.attempts.iter().enumerate();
                let in_flight = attempts.filter(|(_, attempt)| attempt.is_in_flight);
                actions.extend(in_flight.map(|(number, _)| Action::Cancel {
                    request: id,
                    attempt: number as AttemptNumber,
                }));
            }
            return;
        }
        let key = request.key;
        if !request.has_abandoned_attempt() {
            self.requests.remove(&id);
        }
        self.leave_key_queue(now, key, id);
    }

    /// Stops counting attempts against the limit that have taken too long.
    pub(crate) fn stop_counting_long_attempts(&mut self, now: f64) {
        let backends = self.backends.iter();
        let busy: Vec<BackendId> = backends
            .filter(|(_, backend)| backend.has_attempts())
            .map(|(&id, _)| id)
            .collect();
        for id in busy {
            self.stop_counting_attempts(now, id, MAX_COUNTED_MEAN_LATENCIES);
        }
    }

    /// Stops counting the attempts at a backend that have taken at least `mean_latencies` times
    /// the mean latency of their class.
    pub(crate) fn stop_counting_attempts(&mut self, now: f64, id: BackendId, mean_latencies: f64) {
        let backend = &self.backends[&id];
        let sent = backend.in_flight.iter().chain(&backend.abandoned);
        let sent: Vec<SentAttempt> = sent.copied().collect();
        for SentAttempt { request, sent_at } in sent {
            let Some(request) = self.requests.get_mut(&request) else {
                continue;
            };
            let (class, slice) = (request.class, request.slice);
            let expected = self.limiter.classes[class].expected();
            if now - sent_at < mean_latencies * expected {
                continue;
            }
            let attempt = request.attempts.iter_mut().find(|a| {
                a.backend == id && a.sent_at == sent_at && (a.is_in_flight || a.is_abandoned)
            });
            if attempt.is_some_and(|a| std::mem::take(&mut a.is_counted)) {
                self.stop_counting(class, slice);
            }
        }
    }
}
