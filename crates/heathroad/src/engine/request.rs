//! Handling of requests: admission checks, the open request, and its final response.

use super::attempt::AttemptRecord;
use super::incoming_request::IncomingRequest;
use super::pending_response::PendingResponse;
use super::response::{FinalResponse, Response, ResponseState, final_activity, retry_after};
use super::timers::Deadlines;
use super::{Engine, State};
use crate::backend::Call;
use crate::membership::activity_log;
use crate::metrics::ResponseKind;
use crate::retry_budget::RequestBudget;
use crate::safety::{self, ClientHandle, PastAttempt, Violation, violations};
use crate::time::{as_millis, millis};
use heathroad_balancer::api::{Event, Idempotency, Outcome, RequestId};
use heathroad_membership::activity_record::Activity;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Initial capacity for the attempts of a request.
const ATTEMPTS_CAPACITY: usize = 2;

/// A request from its arrival at the decision module until its response is sent and its last
/// attempt has ended.
pub(super) struct OpenRequest {
    pub(super) call: Rc<Call>,
    pub(super) class: u16,
    pub(super) response: ResponseState,
    /// The deadline sent to backends.
    pub(super) backend_deadline: Instant,
    pub(super) client: Option<ClientHandle>,
    /// Attempts, indexed by their number.
    pub(super) attempts: Vec<AttemptRecord>,
    /// The outcome of the attempt that ended last.
    pub(super) last_outcome: Option<Outcome>,
    pub(super) budget: Option<RequestBudget>,
    pub(super) activity: Option<activity_log::RequestActivity>,
}

impl OpenRequest {
    /// Sends the response, unless the request already has one; returns whether it was sent.
    pub(super) fn respond(&mut self, response: Response) -> bool {
        let Some(pending) = self.close() else {
            return false;
        };
        if matches!(response, Response::Rejected { .. }) {
            // The client is told that a retry is safe.
            self.record_execution(false);
        }
        // After failed attempts, retries by upstream tiers cannot succeed.
        let has_failed = !matches!(response, Response::Served(_)) && !self.attempts.is_empty();
        let budget = self.budget.as_ref();
        let retries_spent = budget.and_then(|budget| budget.retries_spent(has_failed));
        pending.send(FinalResponse {
            response,
            retries_spent,
        });
        true
    }

    /// Tells the client's connection whether the request may have been executed. A served request
    /// counts as executed until the frontend has its response.
    fn record_execution(&self, may_have_run: bool) {
        if let Some(client) = &self.client {
            client.record_execution(may_have_run);
        }
    }

    /// Returns whether an attempt has not reported its result.
    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.in_flight.is_some())
    }

    /// Marks the response as sent and returns the pending response, if there was one. All attempts
    /// are abandoned, which ends those that are not yet fully written.
    pub(super) fn close(&mut self) -> Option<Rc<PendingResponse<FinalResponse>>> {
        let response = std::mem::replace(&mut self.response, ResponseState::Sent);
        let ResponseState::Pending(pending) = response else {
            return None;
        };
        self.record_execution(self.attempts.iter().any(AttemptRecord::may_have_run));
        let in_flight = self
            .attempts
            .iter()
            .filter_map(|attempt| attempt.in_flight.as_ref());
        in_flight.for_each(|in_flight| in_flight.control.abandon());
        Some(pending)
    }

    /// Returns whether the response was sent.
    pub(super) fn is_answered(&self) -> bool {
        matches!(self.response, ResponseState::Sent)
    }

    /// Returns whether the response was sent and all attempts have ended.
    pub(super) fn is_finished(&self) -> bool {
        self.is_answered() && !self.has_attempt_in_flight()
    }

    /// Returns the attempts as the safety rules see them.
    pub(super) fn past_attempts(&self) -> impl Iterator<Item = &PastAttempt> + Clone {
        self.attempts.iter().map(|attempt| &attempt.past)
    }
}

impl State {
    /// Sends the response to a request, unless it already has one.
    pub(super) fn respond(&mut self, request: RequestId, response: Response) {
        if let Some(open) = self.requests.get_mut(&request) {
            open.respond(response);
        }
        self.remove_if_finished(request);
    }

    /// Removes a request once its response is sent and all attempts have ended.
    pub(super) fn remove_if_finished(&mut self, request: RequestId) {
        if self
            .requests
            .get(&request)
            .is_some_and(OpenRequest::is_finished)
        {
            self.requests.remove(&request);
        }
    }
}

impl Engine {
    /// Handles a client's request and waits for its final response. `client` detects that the
    /// client has disconnected. Dropping the future before the response also counts as a
    /// disconnect.
    pub async fn handle_request(
        self: &Rc<Self>,
        incoming: IncomingRequest,
        client: Option<ClientHandle>,
    ) -> FinalResponse {
        if self.is_fenced() {
            return self.reject_while_fenced(&incoming);
        }
        incoming.record(Activity::RequestBound);
        let timeout = incoming.effective_timeout();
        let deadlines = Deadlines::new(incoming.received_at, timeout, self.stop_at.get());
        tracing::debug!(
            id = %incoming.call.label(), class = incoming.class, timeout_ms = as_millis(timeout),
            waited_ms = as_millis(incoming.received_at.elapsed()), "request received"
        );
        // The deadline may have passed while the request was queued on its connection.
        if Instant::now() >= deadlines.decision {
            return self.time_out_before_decision(&incoming);
        }
        let Some(request) = self.next_request_id() else {
            return self.reject_at_capacity(&incoming);
        };
        let arrival = incoming.arrival(request, self.clock.to_ms(deadlines.decision));
        let received_at = incoming.received_at;
        let pending = Rc::<PendingResponse<FinalResponse>>::default();
        let mut guard = RequestGuard::new(self.clone(), request, &incoming);
        self.open_request(request, incoming, client, &deadlines, pending.clone());
        self.notify(Event::RequestArrived(arrival));
        // The decision module normally responds before its own deadline. The watchdog covers a
        // delayed event loop and a module that does not respond.
        let response = pending.wait(deadlines.watchdog).await.unwrap_or_else(|| {
            tracing::debug!(request, reason = "watchdog deadline", "request timed out");
            Response::TimedOut.into()
        });
        guard.record_response(&response.response, received_at, deadlines.client);
        response
    }

    /// Records a request that ends before it reaches the decision module.
    pub fn record_undecided(&self, incoming: &IncomingRequest, response: ResponseKind) {
        self.metrics
            .record_response(incoming.class, incoming.tenant, response);
        incoming.record(Activity::RequestBound);
        incoming.record(final_activity(response));
    }

    fn reject_while_fenced(&self, incoming: &IncomingRequest) -> FinalResponse {
        incoming.record(Activity::RequestFenced);
        self.fenced_rejections.set(self.fenced_rejections.get() + 1);
        self.metrics
            .record_response(incoming.class, incoming.tenant, ResponseKind::Rejected);
        let retry_after = retry_after(&self.settings);
        Response::Rejected { retry_after }.into()
    }

    fn time_out_before_decision(&self, incoming: &IncomingRequest) -> FinalResponse {
        tracing::debug!(
            id = %incoming.call.label(), reason = "deadline passed before the decision", "request timed out"
        );
        self.metrics
            .record_response(incoming.class, incoming.tenant, ResponseKind::TimedOut);
        incoming.record(Activity::RequestFailed);
        Response::TimedOut.into()
    }

    fn reject_at_capacity(&self, incoming: &IncomingRequest) -> FinalResponse {
        tracing::debug!(
            id = %incoming.call.label(), reason = "limit of open requests reached", "request rejected"
        );
        self.metrics
            .record_response(incoming.class, incoming.tenant, ResponseKind::Rejected);
        incoming.record(Activity::RequestRejected);
        Response::Rejected { retry_after: None }.into()
    }

    /// Returns an unused id, or `None` if the limit of open requests is reached.
    fn next_request_id(&self) -> Option<RequestId> {
        let state = &mut *self.state.borrow_mut();
        if state.requests.len() >= self.settings.site.max_open_requests {
            return None;
        }
        let id = state.next_request_id;
        state.next_request_id += 1;
        Some(id)
    }

    fn open_request(
        &self,
        request: RequestId,
        incoming: IncomingRequest,
        client: Option<ClientHandle>,
        deadlines: &Deadlines,
        pending: Rc<PendingResponse<FinalResponse>>,
    ) {
        tracing::debug!(request, id = %incoming.call.label(), "request opened");
        let open = OpenRequest {
            call: Rc::new(incoming.call),
            class: incoming.class,
            response: ResponseState::Pending(pending),
            backend_deadline: deadlines.backend,
            client,
            attempts: Vec::with_capacity(ATTEMPTS_CAPACITY),
            last_outcome: None,
            budget: incoming.budget,
            activity: incoming.activity,
        };
        self.state.borrow_mut().requests.insert(request, open);
    }

    /// Rejects a request as the decision module decided. The request fails instead if it may have
    /// been executed and a retry is not safe, which is a violation, or if its client would be told
    /// that nothing was executed.
    pub(super) fn reject(&self, state: &mut State, request: RequestId, retry_after: Duration) {
        tracing::debug!(request, reason = "balancer decision", "request rejected");
        let retry_after = Some(retry_after).filter(|delay| !delay.is_zero());
        let Some(open) = state.requests.get(&request) else {
            return;
        };
        if !self.is_retry_safe(open) {
            violations::record_violation(Violation::UnsafeRejection, &open.call.label());
        }
        let response = self.rejection(open, retry_after);
        state.respond(request, response);
    }

    /// Returns the response that rejects a request, or that fails it if a rejection would claim
    /// more than is known of its attempts.
    pub(super) fn rejection(&self, open: &OpenRequest, retry_after: Option<Duration>) -> Response {
        let claims_too_much =
            open.call.rejects_as_never_executed() && safety::may_have_run(open.past_attempts());
        if self.is_retry_safe(open) && !claims_too_much {
            Response::Rejected { retry_after }
        } else {
            Response::Failed
        }
    }

    fn is_retry_safe(&self, open: &OpenRequest) -> bool {
        safety::may_reject(self.idempotency(open.class), open.past_attempts())
    }

    /// Returns the idempotency of a class; an unknown class counts as non-idempotent.
    pub(super) fn idempotency(&self, class: u16) -> Idempotency {
        let classes = &self.settings.balancer.classes;
        classes
            .get(usize::from(class))
            .map_or(Idempotency::NonIdempotent, |class| class.idempotency)
    }

    /// Returns the latency objective of a class.
    fn latency_objective(&self, class: u16) -> Duration {
        let classes = &self.settings.balancer.classes;
        millis(
            classes
                .get(usize::from(class))
                .map_or(0.0, |class| class.latency_objective),
        )
    }
}

/// Records the end of a request when dropped. If no response was sent by then, the client has
/// disconnected, and the decision module is notified.
struct RequestGuard {
    engine: Rc<Engine>,
    request: RequestId,
    class: u16,
    tenant: u16,
    activity: Option<activity_log::RequestActivity>,
    /// How the request ends: `ClientLeft` until a response is recorded.
    outcome: ResponseKind,
}

impl RequestGuard {
    fn new(engine: Rc<Engine>, request: RequestId, incoming: &IncomingRequest) -> Self {
        RequestGuard {
            engine,
            request,
            class: incoming.class,
            tenant: incoming.tenant,
            activity: incoming.activity.clone(),
            outcome: ResponseKind::ClientLeft,
        }
    }

    /// Records the response that is sent to the client.
    fn record_response(
        &mut self,
        response: &Response,
        received_at: Instant,
        client_deadline: Instant,
    ) {
        self.outcome = response.kind();
        if Instant::now() > client_deadline {
            // The request's label is no longer available, only its internal id.
            let label = format!("number {}", self.request);
            violations::record_violation(Violation::LateResponse, &label);
        }
        let is_served = self.outcome == ResponseKind::Served;
        if is_served && received_at.elapsed() > self.engine.latency_objective(self.class) {
            self.engine.metrics.record_served_late();
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        tracing::debug!(request = self.request, outcome = ?self.outcome, "request ended");
        self.engine
            .metrics
            .record_response(self.class, self.tenant, self.outcome);
        if let Some(activity) = &self.activity {
            activity.record(final_activity(self.outcome));
        }
        let has_left = {
            let state = &mut *self.engine.state.borrow_mut();
            let open = state.requests.get_mut(&self.request);
            let has_left = open.and_then(OpenRequest::close).is_some();
            state.remove_if_finished(self.request);
            has_left
        };
        if has_left {
            self.engine.notify(Event::ClientLeft {
                request: self.request,
            });
        }
    }
}
