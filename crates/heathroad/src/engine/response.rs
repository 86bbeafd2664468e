//! The final response to a request.

use super::pending_response::PendingResponse;
use crate::metrics::ResponseKind;
use crate::time::millis;
use bytes::Bytes;
use heathroad_balancer::settings::InstanceSettings;
use heathroad_membership::activity_record::Activity;
use heathroad_retry_budget::wire::RetriesSpent;
use std::rc::Rc;
use std::time::Duration;

/// The retry delay advertised to clients that the proxy itself rejects, in milliseconds.
const RETRY_AFTER_MS: f64 = 500.0;

/// The response to a client.
#[derive(Debug)]
pub enum Response {
    /// A backend's response.
    Served(Bytes),
    /// The request was rejected and can be retried safely.
    Rejected {
        /// The retry delay advertised to the client, if any.
        retry_after: Option<Duration>,
    },
    /// The request failed; it may have been executed.
    Failed,
    /// No response was received in time; the request may have been executed.
    TimedOut,
}

impl Response {
    /// Returns the kind of the response for metrics.
    pub(super) fn kind(&self) -> ResponseKind {
        match self {
            Response::Served(_) => ResponseKind::Served,
            Response::Rejected { .. } => ResponseKind::Rejected,
            Response::Failed => ResponseKind::Failed,
            Response::TimedOut => ResponseKind::TimedOut,
        }
    }
}

/// The final response to a request, with the report for a caller that sent a retry budget.
#[derive(Debug)]
pub struct FinalResponse {
    /// The response to the client.
    pub response: Response,
    /// The retries spent on the request, if the caller sent a retry budget.
    pub retries_spent: Option<RetriesSpent>,
}

impl From<Response> for FinalResponse {
    fn from(response: Response) -> Self {
        FinalResponse {
            response,
            retries_spent: None,
        }
    }
}

/// Whether the response to a request is pending or was sent. It is sent at most once.
pub(super) enum ResponseState {
    Pending(Rc<PendingResponse<FinalResponse>>),
    Sent,
}

/// Returns the retry delay advertised to clients that are rejected for lack of capacity, or by a
/// fenced proxy, if the settings allow one.
pub fn retry_after(settings: &InstanceSettings) -> Option<Duration> {
    let limits = &settings.balancer.limits;
    limits
        .retry_after
        .then(|| millis(RETRY_AFTER_MS.min(limits.max_retry_after)))
}

/// Returns the activity that records a final response.
pub(super) fn final_activity(response: ResponseKind) -> Activity {
    match response {
        ResponseKind::Served => Activity::RequestServed,
        ResponseKind::Rejected => Activity::RequestRejected,
        ResponseKind::Failed | ResponseKind::TimedOut | ResponseKind::ClientLeft => {
            Activity::RequestFailed
        }
    }
}
