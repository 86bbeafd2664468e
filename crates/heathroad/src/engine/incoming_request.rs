//! A request as the frontends pass it to the engine.

use crate::backend::Call;
use crate::membership::activity_log;
use crate::retry_budget::RequestBudget;
use heathroad_balancer::api::{RequestArrival, RequestId};
use heathroad_membership::activity_record::Activity;
use std::time::Duration;
use tokio::time::Instant;

/// A request that the frontend has parsed, with its class and tenant resolved.
pub struct IncomingRequest {
    /// The call that is sent to backends.
    pub call: Call,
    /// Index of the class in the settings.
    pub class: u16,
    /// Index of the tenant in the settings.
    pub tenant: u16,
    /// Hash of the key, by [`super::hash_key`]; 0 if the request has none.
    pub key: u64,
    /// Earliest time at which the request head can have arrived.
    pub received_at: Instant,
    /// The client's timeout.
    pub timeout: Duration,
    /// The retry budget, if budgets are configured.
    pub budget: Option<RequestBudget>,
    /// Records the request's activities, if activities are recorded.
    pub activity: Option<activity_log::RequestActivity>,
}

impl IncomingRequest {
    /// Records an activity, if activities are recorded.
    pub(super) fn record(&self, activity: Activity) {
        if let Some(log) = &self.activity {
            log.record(activity);
        }
    }

    /// Returns the client's timeout, limited by the retry budget's time.
    pub(super) fn effective_timeout(&self) -> Duration {
        let budget = self.budget.as_ref();
        budget.map_or(self.timeout, |budget| self.timeout.min(budget.time_limit()))
    }

    /// Returns the event by which the decision module learns of the request.
    pub(super) fn arrival(&self, request: RequestId, deadline: f64) -> RequestArrival {
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
