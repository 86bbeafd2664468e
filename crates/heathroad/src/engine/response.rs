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

/// The retry delay advertised to clients that are rejected by the proxy itself, in milliseconds.
const RETRY_AFTER_MS: f64 = 500.0;

/// What a client is answered.
#[derive(Debug)]
pub enum Response {
    /// A backend's response.
    Served(Bytes),
    /// The request was rejected; a retry is harmless.
    Rejected {
        /// The retry delay advertised to the client, if any.
        retry_after: Option<Duration>,
    },
    /// The request failed; it may have run.
    Failed,
    /// No response came in time; the request may have run.
    TimedOut,
}

impl Response {
    /// Returns the kind under which the response is counted.
    pub(super) fn kind(&self) -> ResponseKind {
        match self {
            Response::Served(_) => ResponseKind::Served,
            Response::Rejected { .. } => ResponseKind::Rejected,
            Response::Failed => ResponseKind::Failed,
            Response::TimedOut => ResponseKind::TimedOut,
        }
    }
}

/// The one response to a request, with the report for a caller that sent a retry budget.
#[derive(Debug)]
pub struct FinalResponse {
    /// What the client is answered.
    pub response: Response,
    /// The retries that were spent on it.
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

/// Whether a request still waits for its response, which can be sent only once.
pub(super) enum ResponseState {
    Pending(Rc<PendingResponse<FinalResponse>>),
    Sent,
}

/// Returns the retry delay advertised to clients that are rejected for lack of capacity, or by a
/// fenced proxy, if the settings allow one.
pub fn retry_after(settings: &InstanceSettings) -> Option<Duration> {
    let caps = &settings.balancer.limits;
    caps.retry_after
        .then(|| millis(RETRY_AFTER_MS.min(caps.max_retry_after)))
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
