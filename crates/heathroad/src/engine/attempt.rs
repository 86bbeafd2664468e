//! The attempts of open requests: checking them against the safety rules, sending them and
//! recording their results.

use super::endpoints::KnownEndpoint;
use super::pending_response::RunningAttempt;
use super::request::OpenRequest;
use super::response::{Response, ResponseState, retry_after};
use super::{Engine, State};
use crate::backend::{Attempt, AttemptControl, AttemptEnd, Target};
use crate::membership::activity_log;
use crate::metrics::UnjudgedEnd;
use crate::retry_budget::{DelegatedBudget, RequestBudget};
use crate::safety::{self, Denial, Location, PastAttempt, Violation, WriteDeadline, violations};
use crate::time::as_millis;
use bytes::Bytes;
use heathroad_balancer::api::{AttemptResult, BackendId, Event, Outcome, RequestId};
use heathroad_membership::activity_record::Activity;
use std::rc::Rc;
use tokio::time::Instant;

/// An attempt that the decision module requested.
pub(super) struct AttemptRecord {
    pub(super) backend: BackendId,
    /// The attempt as the safety rules see it.
    pub(super) past: PastAttempt,
    /// `None` once the attempt has reported its result.
    pub(super) in_flight: Option<InFlightAttempt>,
}

impl AttemptRecord {
    /// Returns whether the attempt may have been executed, or may still be: not if it is abandoned
    /// before it is fully written.
    pub(super) fn may_have_run(&self) -> bool {
        match &self.in_flight {
            Some(in_flight) => in_flight.control.is_fully_written(),
            None => self.past.may_have_run(),
        }
    }
}

/// The state of an attempt until it reports its result.
pub(super) struct InFlightAttempt {
    pub(super) control: Rc<AttemptControl>,
    budget: Option<DelegatedBudget>,
}

/// The result of a permitted attempt's checks.
struct GrantedAttempt {
    target: Rc<Target>,
    location: Location,
    write_deadline: WriteDeadline,
}

/// Identifies an attempt.
#[derive(Clone, Copy)]
struct AttemptId {
    request: RequestId,
    number: usize,
    backend: BackendId,
    started_at: Instant,
}

impl AttemptId {
    /// Returns the result that is reported to the decision module.
    fn attempt_result(
        &self,
        outcome: Outcome,
        elapsed_ms: f64,
        open: &OpenRequest,
    ) -> AttemptResult {
        AttemptResult {
            request: self.request,
            attempt: self.number as u8,
            backend: self.backend,
            outcome,
            elapsed: elapsed_ms,
            request_closed: open.is_answered(),
            retries_left: open.budget.as_ref().map(RequestBudget::remaining_retries),
        }
    }
}

impl Engine {
    /// Sends an attempt that the decision module requested, unless a safety rule denies it.
    pub(super) fn send_attempt(
        self: &Rc<Self>,
        state: &mut State,
        request: RequestId,
        backend: BackendId,
        times_out_at_ms: f64,
    ) {
        let Some(open) = state.requests.get(&request) else {
            return;
        };
        let started_at = Instant::now();
        let granted = match self.check_attempt(open, state.endpoints.get(backend), started_at) {
            Ok(granted) => granted,
            Err(denial) => return self.deny_attempt(state, request, backend, denial),
        };
        let priority_weight = state.balancer.priority_share(request);
        let Some(open) = state.requests.get_mut(&request) else {
            return;
        };
        let ResponseState::Pending(pending) = &open.response else {
            return;
        };
        let pending = pending.clone();
        let id = AttemptId {
            request,
            number: open.attempts.len(),
            backend,
            started_at,
        };
        let times_out_at = self.clock.to_instant(times_out_at_ms);
        let attempt = self.begin_attempt(open, id, granted, priority_weight, times_out_at);
        let control = attempt.control.clone();
        pending.add_attempt(RunningAttempt {
            future: Box::pin(self.run_attempt(id, attempt)),
            times_out_at,
            control,
        });
    }

    /// Creates an attempt and records it in the request and the metrics.
    fn begin_attempt(
        &self,
        open: &mut OpenRequest,
        id: AttemptId,
        granted: GrantedAttempt,
        priority_weight: f64,
        times_out_at: Instant,
    ) -> Attempt {
        let started_at = id.started_at;
        self.record_attempt_start(open, &granted.target, started_at);
        let client = open.client.clone();
        let control = Rc::new(AttemptControl::new(client, granted.write_deadline));
        let budget = open.budget.as_ref().filter(|_| open.call.carries_budget());
        let budget = budget.and_then(|budget| budget.delegate(priority_weight));
        tracing::debug!(
            request = id.request, id = %open.call.label(), attempt = id.number,
            address = %granted.target.address, after = ?open.last_outcome,
            timeout_ms = as_millis(times_out_at.saturating_duration_since(started_at)),
            "attempt started"
        );
        let attempt = Attempt {
            call: open.call.clone(),
            target: granted.target,
            times_out_at,
            expires_at: open.backend_deadline,
            control: control.clone(),
            budget: budget.as_ref().map(|budget| budget.attempt.clone()),
        };
        let (location, outcome) = (granted.location, None);
        open.attempts.push(AttemptRecord {
            backend: id.backend,
            past: PastAttempt {
                location,
                started_at,
                outcome,
            },
            in_flight: Some(InFlightAttempt { control, budget }),
        });
        attempt
    }

    /// Checks whether an attempt may be sent to a backend now.
    fn check_attempt(
        &self,
        open: &OpenRequest,
        endpoint: Option<&KnownEndpoint>,
        now: Instant,
    ) -> Result<GrantedAttempt, Denial> {
        if open.is_answered() {
            return Err(Denial::RequestAnswered);
        }
        if let Some(client) = &open.client {
            safety::check_client(client.presence())?;
        }
        if open.attempts.len() >= self.settings.balancer.limits.max_attempts as usize {
            return Err(Denial::AttemptLimit);
        }
        let endpoint = endpoint.ok_or(Denial::BackendWithdrawn)?;
        let target = endpoint.target.clone().ok_or(Denial::BackendWithdrawn)?;
        let location = endpoint.location;
        let (idempotency, may_duplicate) = (
            self.idempotency(open.class),
            self.settings.site.hedging_allowed,
        );
        let write_deadline = safety::check_retry(
            idempotency,
            open.past_attempts(),
            location,
            may_duplicate,
            now,
        )?;
        let is_permitted = open
            .activity
            .as_ref()
            .is_none_or(activity_log::RequestActivity::permits_attempt);
        let is_first = open.attempts.is_empty();
        let has_budget = || is_first || open.budget.as_ref().is_none_or(RequestBudget::try_retry);
        if !is_permitted || !has_budget() {
            return Err(Denial::NotGranted);
        }
        Ok(GrantedAttempt {
            target,
            location,
            write_deadline,
        })
    }

    /// Records a denied attempt and reports it to the decision module as not sent. If the client
    /// has disconnected, that is reported first.
    fn deny_attempt(
        &self,
        state: &mut State,
        request: RequestId,
        backend: BackendId,
        denial: Denial,
    ) {
        let Some(open) = state.requests.get_mut(&request) else {
            return;
        };
        let label = open.call.label().into_owned();
        violations::record_denial(denial, &label);
        if matches!(denial, Denial::NotRetryable | Denial::OutsideGroup) {
            violations::record_violation(Violation::UnsafeRetry, &label);
        }
        let is_over = match denial {
            Denial::ClientLeft => open.close().is_some(),
            // No further attempt may begin; one that is in flight may still be served.
            Denial::ClientUnknown if !open.has_attempt_in_flight() => {
                open.respond(self.rejection(open, retry_after(&self.settings)))
            }
            _ => false,
        };
        if is_over {
            state.events.push_back(Event::ClientLeft { request });
        }
        let (number, started_at) = (open.attempts.len(), Instant::now());
        let (location, outcome) = (Location::default(), Some(Outcome::NotSent));
        open.attempts.push(AttemptRecord {
            backend,
            past: PastAttempt {
                location,
                started_at,
                outcome,
            },
            in_flight: None,
        });
        self.metrics.record_attempt_end(Outcome::NotSent, None);
        let id = AttemptId {
            request,
            number,
            backend,
            started_at,
        };
        let result = id.attempt_result(Outcome::NotSent, 0.0, open);
        state.events.push_back(Event::AttemptEnded(result));
    }

    fn record_attempt_start(&self, open: &OpenRequest, target: &Target, started_at: Instant) {
        if !open.attempts.is_empty() {
            self.metrics.record_retry(open.last_outcome);
        }
        let age_ms = self.clock.to_ms(started_at) - target.started_ms;
        if target.started_ms > 0.0 && age_ms < self.settings.balancer.guarantees.slow_start_duration
        {
            self.metrics.record_slow_start_send();
        }
        if let Some(activity) = &open.activity {
            activity.record(Activity::AttemptSent);
        }
    }

    fn run_attempt(
        self: &Rc<Self>,
        id: AttemptId,
        attempt: Attempt,
    ) -> impl Future<Output = ()> + use<> {
        let (engine, late_engine) = (self.clone(), self.clone());
        let on_result = move |result| engine.record_attempt_result(id.request, id.number, result);
        let on_late_result = move |result| late_engine.record_late_result(id, &result);
        attempt.run(self.pool.clone(), on_result, on_late_result)
    }

    /// Records the result of an attempt and notifies the decision module. The first served response
    /// is sent to the client immediately.
    fn record_attempt_result(
        self: &Rc<Self>,
        request: RequestId,
        number: usize,
        result: AttemptEnd,
    ) {
        let is_unjudged = result.is_unjudged();
        let attempt_result = {
            let state = &mut *self.state.borrow_mut();
            let Some(open) = state.requests.get_mut(&request) else {
                return;
            };
            let Some(attempt) = open.attempts.get_mut(number) else {
                return;
            };
            let Some(in_flight) = attempt.in_flight.take() else {
                return;
            };
            let outcome = result.outcome();
            attempt.past.outcome = Some(outcome);
            let (backend, started_at) = (attempt.backend, attempt.past.started_at);
            let id = AttemptId {
                request,
                number,
                backend,
                started_at,
            };
            let elapsed_ms = as_millis(started_at.elapsed());
            tracing::debug!(
                request,
                attempt = number,
                ?outcome,
                elapsed_ms,
                "attempt ended"
            );
            open.last_outcome = Some(outcome);
            if let (Some(budget), Some(delegated)) = (&open.budget, in_flight.budget) {
                budget.settle(delegated, outcome.never_executed());
            }
            self.count_result(&result);
            open.respond_with_result(result);
            let attempt_result = id.attempt_result(outcome, elapsed_ms, open);
            state.remove_if_finished(request);
            attempt_result
        };
        self.notify(Event::AttemptEnded(attempt_result.clone()));
        if is_unjudged {
            // Nothing of the attempt is awaited any more.
            self.notify(Event::LateCompletion(attempt_result));
        }
    }

    fn count_result(&self, result: &AttemptEnd) {
        let unjudged_end = match result {
            AttemptEnd::Rejected => Some(UnjudgedEnd::Unusable),
            AttemptEnd::NotificationSent => Some(UnjudgedEnd::NotificationSent),
            _ => None,
        };
        self.metrics
            .record_attempt_end(result.outcome(), unjudged_end);
    }

    /// Notifies the decision module of the late result of an abandoned attempt, whose request is
    /// closed.
    fn record_late_result(self: &Rc<Self>, id: AttemptId, result: &AttemptEnd) {
        let outcome = result.outcome();
        self.metrics.record_late_completion(outcome);
        self.notify(Event::LateCompletion(AttemptResult {
            request: id.request,
            attempt: id.number as u8,
            backend: id.backend,
            outcome,
            elapsed: as_millis(id.started_at.elapsed()),
            request_closed: true,
            retries_left: None,
        }));
    }
}

impl OpenRequest {
    /// Responds to the client if an attempt's result determines the response.
    fn respond_with_result(&mut self, result: AttemptEnd) {
        match result {
            AttemptEnd::Served(body) | AttemptEnd::ServedWithError(body) => {
                self.respond(Response::Served(body))
            }
            AttemptEnd::NotificationSent => self.respond(Response::Served(Bytes::new())),
            AttemptEnd::Rejected => self.respond(Response::Failed),
            AttemptEnd::NotServed(_) => false,
        };
    }
}
