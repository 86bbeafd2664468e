//! Attempts: sending them, what their ends mean for their request, and what counts against the
//! limit.

use crate::api::{Action, AttemptNumber, AttemptResult, BackendId, Outcome, RequestId};
use crate::backend::SentAttempt;
use crate::balancer::Balancer;
use crate::request::Attempt;

/// Mean latencies for which an attempt counts against the limit at most: even of an exponential
/// tail 2 in 100 take longer.
const MAX_COUNTED_MEAN_LATENCIES: f64 = 4.0;
/// Share of the limit in flight from which it counts as used.
const USED_SHARE: f64 = 0.8;

/// How far a request is after an attempt.
#[derive(Clone, Copy)]
struct Progress {
    /// The request has its final response, or its client left.
    is_over: bool,
    has_attempt_in_flight: bool,
    /// No attempt can have been executed.
    never_executed: bool,
}

impl Balancer {
    /// Counts an attempt in against the limit.
    fn count_in(&mut self, class: usize, slice: usize) {
        self.in_flight += 1.0;
        self.slices[slice].in_flight += 1.0;
        self.limiter.classes[class].in_flight += 1.0;
    }

    /// Counts an attempt out again.
    fn count_out(&mut self, class: usize, slice: usize) {
        self.in_flight -= 1.0;
        self.slices[slice].in_flight -= 1.0;
        self.limiter.classes[class].in_flight -= 1.0;
    }

    /// Sends the next attempt of a request if a backend can take it; returns whether it was sent.
    pub(crate) fn send(&mut self, now: f64, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let request = self.requests.get(&id);
        if request.is_none_or(super::request::Request::is_retry_budget_spent) {
            return false;
        }
        let Some(to) = self.select_backend(now, id) else {
            return false;
        };
        let (Some(request), Some(backend)) =
            (self.requests.get_mut(&id), self.backends.get_mut(&to))
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
            backend: to,
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
            backend: to,
            deadline: request.deadline,
        });
        let (class, slice) = (request.class, request.slice);
        if is_counted {
            self.count_in(class, slice);
            self.peak_in_flight = self.peak_in_flight.max(self.in_flight);
            self.limiter.was_used |= self.in_flight >= USED_SHARE * self.limiter.total;
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
        // A time-out or a cancellation ends the wait and not the work. Where the end of the work is
        // seen, the attempt is load until then: were its capacity free at once, clients with short
        // deadlines, who leave and send again, would fill it anew each time, and the backends jam
        // with work that nobody counts. The same holds where upstream proxies restart or lose their
        // connections. It can hurt where backends stop what is cancelled and don't say so, or fall
        // silent: `uncount_long_attempts` bounds that.
        attempt.is_abandoned = self.settings.limits.late_completions
            && matches!(result.outcome, Outcome::Timeout | Outcome::Cancelled);
        let sent = attempt.as_sent(id);
        let is_abandoned = attempt.is_abandoned;
        let is_uncounted_now = attempt.is_counted && !is_abandoned;
        request.retries_left = result.retries_left.or(request.retries_left);
        let (key, class, slice) = (request.key, request.class, request.slice);
        let progress = Progress {
            is_over: result.request_closed || request.is_finished,
            has_attempt_in_flight: request.has_attempt_in_flight(),
            never_executed: request.was_never_executed(),
        };
        self.rest_key(now, key, result.outcome);
        if is_uncounted_now {
            self.count_out(class, slice);
        }
        if is_abandoned && let Some(backend) = self.backends.get_mut(&result.backend) {
            backend.abandon(sent);
        } else {
            self.record_outcome(now, result, class, sent);
        }
        self.close_idle_if_draining(result.backend, actions);
        self.continue_request(now, id, progress, actions);
    }

    /// Closes a request after an attempt, retries it, queues it again or ends it.
    fn continue_request(
        &mut self,
        now: f64,
        id: RequestId,
        progress: Progress,
        actions: &mut Vec<Action>,
    ) {
        if progress.is_over {
            return self.close(now, id, actions);
        }
        if progress.has_attempt_in_flight || self.retry(now, id, progress.never_executed, actions) {
            return;
        }
        let request = &self.requests[&id];
        // A request is queued only with an attempt left: one past its bound would come back unsent
        // for ever.
        let has_attempts =
            request.attempts.len() < self.max_attempts() && request.retries_left != Some(0);
        if progress.never_executed && now < request.queue_deadline && has_attempts {
            let slice = request.slice;
            return self.slices[slice].queue.push_back(id);
        }
        self.finish(now, id, actions);
    }

    /// The work of an abandoned attempt has ended: its backend is judged by that end.
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
            self.count_out(class, slice);
        }
        self.record_outcome(now, result, class, sent);
        if is_finished {
            self.close(now, id, actions);
        }
    }

    /// Closes a request: nothing more is owed or sent, and attempts in flight are cancelled where
    /// that is allowed. Its record goes once its work has ended.
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

    /// Has attempts that have been out for too long count against the limit no more.
    pub(crate) fn uncount_long_attempts(&mut self, now: f64) {
        let backends = self.backends.iter();
        let busy: Vec<BackendId> = backends
            .filter(|(_, backend)| backend.has_work())
            .map(|(&id, _)| id)
            .collect();
        for id in busy {
            self.uncount_attempts(now, id, MAX_COUNTED_MEAN_LATENCIES);
        }
    }

    /// Has the attempts at a backend that have been out for so many mean latencies of their class
    /// count against the limit no more.
    pub(crate) fn uncount_attempts(&mut self, now: f64, id: BackendId, mean_latencies: f64) {
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
                self.count_out(class, slice);
            }
        }
    }
}
