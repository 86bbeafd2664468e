//! The way of a request through the engine: it is checked, opened, decided by the decision module,
//! and answered once.

use super::attempt::AttemptRecord;
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
use heathroad_balancer::api::{Event, Idempotency, Outcome, RequestArrival, RequestId};
use heathroad_membership::activity_record::Activity;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Attempts that most requests need at most.
const USUAL_ATTEMPTS: usize = 2;

/// A request as the frontend has read it, its names resolved.
pub struct IncomingRequest {
    /// What is sent to backends.
    pub call: Call,
    /// Index of its class in the settings.
    pub class: u16,
    /// Index of its tenant.
    pub tenant: u16,
    /// Hash of its key, by [`super::hash_key`]; 0 means that it has none.
    pub key: u64,
    /// When its head arrived, at the earliest.
    pub received_at: Instant,
    /// How long its client waits.
    pub timeout: Duration,
    /// Its retry budget, where budgets are configured.
    pub budget: Option<RequestBudget>,
    /// Records its activities, where a record is kept.
    pub activity: Option<activity_log::RequestActivity>,
}

impl IncomingRequest {
    fn record(&self, activity: Activity) {
        if let Some(log) = &self.activity {
            log.record(activity);
        }
    }

    /// Returns how long its client waits, within its budget.
    fn effective_timeout(&self) -> Duration {
        let budget = self.budget.as_ref();
        budget.map_or(self.timeout, |budget| self.timeout.min(budget.time_limit()))
    }

    fn arrival(&self, request: RequestId, deadline: f64) -> RequestArrival {
        let budget = self.budget.as_ref();
        RequestArrival {
            request,
            key: self.key,
            class: self.class,
            tenant: self.tenant,
            deadline,
            retries_left: budget.map(RequestBudget::remaining_retries),
            priority_share: budget.map_or(1.0, RequestBudget::priority_weight),
        }
    }
}

/// A request that is decided, until its response is sent and its last attempt has ended.
pub(super) struct OpenRequest {
    pub(super) call: Rc<Call>,
    pub(super) class: u16,
    pub(super) response: ResponseState,
    /// Backends are told to be done by then.
    pub(super) backend_deadline: Instant,
    pub(super) client: Option<ClientHandle>,
    /// Attempts by number.
    pub(super) attempts: Vec<AttemptRecord>,
    /// The outcome of the attempt that ended last.
    pub(super) last_outcome: Option<Outcome>,
    pub(super) budget: Option<RequestBudget>,
    pub(super) activity: Option<activity_log::RequestActivity>,
}

impl OpenRequest {
    /// Sends the response, unless one was sent before.
    pub(super) fn respond(&mut self, response: Response) {
        if let Some(pending) = self.close() {
            // Where attempts have failed here, a retry from above is of no use.
            let has_failed = !matches!(response, Response::Served(_)) && !self.attempts.is_empty();
            let budget = self.budget.as_ref();
            let retries_spent = budget.and_then(|budget| budget.retries_spent(has_failed));
            pending.send(FinalResponse {
                response,
                retries_spent,
            });
        }
    }

    /// Marks the response as sent, and returns who waited for it. Attempts that are not written
    /// whole yet are not written on, whatever the settings say of cancelling.
    pub(super) fn close(&mut self) -> Option<Rc<PendingResponse<FinalResponse>>> {
        let response = std::mem::replace(&mut self.response, ResponseState::Sent);
        let ResponseState::Pending(pending) = response else {
            return None;
        };
        let in_flight = self
            .attempts
            .iter()
            .filter_map(|attempt| attempt.in_flight.as_ref());
        in_flight.for_each(|in_flight| in_flight.control.abandon());
        Some(pending)
    }

    /// Returns whether its response was sent.
    pub(super) fn is_answered(&self) -> bool {
        matches!(self.response, ResponseState::Sent)
    }

    /// Returns whether its response was sent and all attempts have ended.
    pub(super) fn is_finished(&self) -> bool {
        self.is_answered()
            && self
                .attempts
                .iter()
                .all(|attempt| attempt.in_flight.is_none())
    }

    /// Returns the attempts as the safety rules look at them.
    pub(super) fn past_attempts(&self) -> impl Iterator<Item = &PastAttempt> + Clone {
        self.attempts.iter().map(|attempt| &attempt.past)
    }
}

impl State {
    /// Sends a request's response, unless one was sent before.
    pub(super) fn respond(&mut self, request: RequestId, response: Response) {
        if let Some(open) = self.requests.get_mut(&request) {
            open.respond(response);
        }
        self.remove_if_finished(request);
    }

    /// Removes a request if nothing of it is open.
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
    /// Handles a client's request, whose connection can be watched for the client's leaving, and
    /// waits for its one response. If the future is dropped before that, the client has left.
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
        // Its time may have passed while it waited for its turn on its connection.
        if Instant::now() >= deadlines.decision {
            return self.time_out_undecided(&incoming);
        }
        let Some(request) = self.next_request_id() else {
            return self.reject_above_capacity(&incoming);
        };
        let arrival = incoming.arrival(request, self.clock.to_ms(deadlines.decision));
        let received_at = incoming.received_at;
        let pending = Rc::<PendingResponse<FinalResponse>>::default();
        let mut guard = RequestGuard::new(self.clone(), request, &incoming);
        self.open_request(request, incoming, client, &deadlines, pending.clone());
        self.notify(Event::RequestArrived(arrival));
        // The decision module answers in time; the watchdog guards against a late loop and its
        // silence.
        let response = pending.wait(deadlines.watchdog).await.unwrap_or_else(|| {
            tracing::debug!(request, reason = "watchdog deadline", "request timed out");
            Response::TimedOut.into()
        });
        guard.record_response(&response.response, received_at, deadlines.client);
        response
    }

    /// Counts a request that ends before it is decided, and records it.
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

    fn time_out_undecided(&self, incoming: &IncomingRequest) -> FinalResponse {
        tracing::debug!(
            id = %incoming.call.label(), reason = "deadline passed before the decision", "request timed out"
        );
        self.metrics
            .record_response(incoming.class, incoming.tenant, ResponseKind::TimedOut);
        incoming.record(Activity::RequestFailed);
        Response::TimedOut.into()
    }

    fn reject_above_capacity(&self, incoming: &IncomingRequest) -> FinalResponse {
        tracing::debug!(
            id = %incoming.call.label(), reason = "open requests at their limit", "request rejected"
        );
        self.metrics
            .record_response(incoming.class, incoming.tenant, ResponseKind::Rejected);
        incoming.record(Activity::RequestRejected);
        Response::Rejected { retry_after: None }.into()
    }

    /// Returns an unused id, or nothing where as many requests are open as may be.
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
        tracing::debug!(request, id = %incoming.call.label(), "request open");
        let open = OpenRequest {
            call: Rc::new(incoming.call),
            class: incoming.class,
            response: ResponseState::Pending(pending),
            backend_deadline: deadlines.backend,
            client,
            attempts: Vec::with_capacity(USUAL_ATTEMPTS),
            last_outcome: None,
            budget: incoming.budget,
            activity: incoming.activity,
        };
        self.state.borrow_mut().requests.insert(request, open);
    }

    /// Rejects a request as the decision module asked. Where it may have run, that is a violation,
    /// and the request has failed.
    pub(super) fn reject(&self, state: &mut State, request: RequestId, retry_after: Duration) {
        tracing::debug!(request, reason = "decided", "request rejected");
        let retry_after = Some(retry_after).filter(|delay| !delay.is_zero());
        let may_reject = self.may_reject(state, request);
        let response = if may_reject {
            Response::Rejected { retry_after }
        } else {
            Response::Failed
        };
        state.respond(request, response);
    }

    fn may_reject(&self, state: &State, request: RequestId) -> bool {
        let Some(open) = state.requests.get(&request) else {
            return true;
        };
        let may_reject = safety::may_reject(self.idempotency(open.class), open.past_attempts());
        if !may_reject {
            violations::record_violation(Violation::UnsafeRejection, &open.call.label());
        }
        may_reject
    }

    /// Returns the idempotency that a class declares for its requests; an unknown class is taken
    /// for the strictest.
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

/// Stands for a client that waits. When it is dropped, the request's end is counted; if no response
/// was sent by then, the client has left, and the decision module is notified.
struct RequestGuard {
    engine: Rc<Engine>,
    request: RequestId,
    class: u16,
    tenant: u16,
    activity: Option<activity_log::RequestActivity>,
    /// How the request ends, by what is known now.
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

    /// Records the response that the client is given.
    fn record_response(
        &mut self,
        response: &Response,
        received_at: Instant,
        client_deadline: Instant,
    ) {
        self.outcome = response.kind();
        if Instant::now() > client_deadline {
            // The request's own id is gone by then.
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
