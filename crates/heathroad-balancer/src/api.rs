//! The interface of the balancer: settings and events in, actions out. This module has no logic.
//!
//! Times and durations are milliseconds as `f64`. The embedding proxy passes the current time to
//! [`Balancer::handle_event`](crate::Balancer::handle_event); its clock must be monotonic and may
//! start at any value.

use serde::Serialize;

/// Identifies a client request within one replica; never reused.
pub type RequestId = u64;
/// Identifies a backend, consistently across replicas and restarts of the backend's process.
pub type BackendId = u32;
/// The index of an attempt within its request, from 0 in the order of sending.
pub type AttemptNumber = u8;

/// The configuration of one replica.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Settings {
    /// The index of this replica, from 0 to [`replica_count`](Self::replica_count) - 1.
    pub replica_index: u32,
    /// The number of replicas that send to this tier.
    pub replica_count: u32,
    /// The index of the tier that this replica sends to; 0 is the tier that clients call.
    pub tier: u32,
    /// The zone of this replica.
    pub zone: u16,
    /// The shortest interval at which the proxy delivers events.
    pub tick: f64,
    /// Requests may carry a priority share set by the proxy that sent them.
    pub priority_forwarded: bool,
    /// The endpoint list is polled ([`Action::WatchEndpoints`]) instead of pushed.
    pub polls_endpoints: bool,
    /// The priority of a request beyond its tenant's quota, as a share of its class's weight.
    pub over_quota_priority: f64,
    /// The request classes; a request refers to its class by index.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Limits set by the site.
    pub limits: SiteLimits,
    /// Parameters of the guarantees that hold under any failure.
    pub guarantees: Guarantees,
    /// Weights and prices of the operators' objectives.
    pub objectives: Objectives,
}

/// A request class.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Class {
    /// The latency within which a response earns the full weight.
    pub latency_objective: f64,
    /// The weight of a request relative to other classes.
    pub priority_weight: f64,
    /// Whether, and on which backends, a request may be executed again.
    pub idempotency: Idempotency,
    /// Requests with the same key are executed one at a time, in order of arrival. All ordered
    /// classes share one key space.
    pub ordered_by_key: bool,
}

/// Whether a request that may have been executed can be sent again.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Idempotency {
    /// The request can be repeated on any backend.
    Idempotent,
    /// The backends within `scope` drop repeats for `window` after the first attempt that may have
    /// been executed.
    Deduplicated {
        /// The backends that share deduplication state.
        scope: DeduplicationScope,
        /// How long that state is kept.
        window: f64,
    },
    /// The request must never be executed twice.
    #[default]
    NonIdempotent,
}

/// The set of backends that share deduplication state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All backends.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// A tenant.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Tenant {
    /// The tenant's quota in requests per second, over all replicas.
    pub quota_per_s: f64,
}

/// Limits set by the site.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SiteLimits {
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// Rejections carry a retry delay.
    pub retry_after: bool,
    /// The longest retry delay that clients respect.
    pub max_retry_after: f64,
    /// The maximum number of attempts per request.
    pub max_attempts: u32,
    /// The proxy observes when abandoned attempts complete and reports it with
    /// [`Event::LateCompletion`].
    pub late_completions: bool,
}

/// Parameters of the guarantees that hold under any failure.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Guarantees {
    /// The minimum share of its capacity that a backend has right after its start.
    pub slow_start_floor: f64,
    /// The maximum time until a started backend has its full capacity.
    pub slow_start_duration: f64,
    /// A backend in slow start collapses when it is sent more than this multiple of its current
    /// capacity.
    pub overload_multiple: f64,
    /// If the endpoint list is polled: the time without a poll after which a replica is assumed to
    /// know of a change.
    pub max_poll_interval: f64,
    /// Idle connections to a draining backend are closed within this time; 0 means no guarantee.
    pub idle_close_within: f64,
    /// How long a key of an ordered class is blocked after an attempt that may still be executing.
    pub unknown_outcome_delay: f64,
}

/// Weights and prices of the operators' objectives.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Objectives {
    /// The weight of the worst-served class in the overall objective.
    pub worst_class_weight: f64,
    /// The price of a cross-zone attempt.
    pub cross_zone_price: f64,
}

/// Whether an endpoint accepts new requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// The endpoint accepts requests.
    #[default]
    Ready,
    /// The endpoint completes its requests and must not be sent new ones.
    Draining,
    /// The endpoint has been removed.
    Removed,
}

/// A backend as described by the endpoint list.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Endpoint {
    /// The backend.
    pub backend: BackendId,
    /// Whether it accepts new requests.
    pub state: EndpointState,
    /// Its zone.
    pub zone: u16,
    /// The time at which its process last started; 0 means that it is fully warmed up.
    pub started_at: f64,
    /// Its capacity relative to other backends.
    pub weight: f64,
    /// Its cell.
    pub cell: u16,
}

/// How an endpoint update applies to the replica's current list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateKind {
    /// The complete list; endpoints missing from it are removed.
    Snapshot,
    /// Only the changed endpoints.
    Delta,
    /// The complete list from a cache, possibly outdated.
    Cached,
    /// A poll failed or a watch was interrupted; the update has no endpoints.
    Failed,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The backend returned a successful response.
    Success,
    /// The backend returned an error; the request may have been executed.
    Error,
    /// The backend rejected the request before processing it; it was never executed.
    Rejected,
    /// No response arrived before the deadline; the request may have been executed.
    Timeout,
    /// The connection could not be established; the request was never executed.
    ConnectFailed,
    /// The connection was lost; the request may have been executed.
    Reset,
    /// The attempt was cancelled; the request may have been executed.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
}

impl Outcome {
    /// Returns whether this outcome guarantees that the request was never executed.
    pub fn never_executed(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// A request from a client.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestArrival {
    /// The request.
    pub request: RequestId,
    /// The ordering key; 0 means none. Ignored unless the class is ordered.
    pub key: u64,
    /// The index of its class.
    pub class: u16,
    /// The index of its tenant; 0 if no tenants are configured.
    pub tenant: u16,
    /// The time at which the client gives up.
    pub deadline: f64,
    /// The maximum number of retries, if the request carries a retry budget.
    pub retries_left: Option<u32>,
    /// Its priority, as a share of its class's weight.
    pub priority_share: f64,
}

/// The result of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptResult {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// Its backend.
    pub backend: BackendId,
    /// How it ended.
    pub outcome: Outcome,
    /// The time since it was sent.
    pub elapsed: f64,
    /// The request has its final response; the replica must not produce another.
    pub request_closed: bool,
    /// The remaining retries, if the request carries a retry budget. Retries that the backends
    /// made themselves have been deducted.
    pub retries_left: Option<u32>,
}

/// An event delivered to a replica.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The endpoint list, or a change to it.
    EndpointUpdate {
        /// How the endpoints apply to the replica's current list.
        kind: UpdateKind,
        /// The endpoints.
        endpoints: Vec<Endpoint>,
    },
    /// A request arrived; it needs exactly one final response.
    RequestArrived(RequestArrival),
    /// An attempt ended.
    AttemptEnded(AttemptResult),
    /// A timed-out or cancelled attempt has completed at its backend. The outcome is that of its
    /// late response, or the earlier one again if its connection was closed without a response.
    LateCompletion(AttemptResult),
    /// The client disconnected; no response is needed any more.
    ClientLeft {
        /// The request.
        request: RequestId,
    },
    /// A timer expired.
    TimerFired {
        /// The token of its [`Action::SetTimer`].
        token: u64,
    },
}

/// An action for the proxy; the actions of an event must be performed in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt of a request.
    Send {
        /// The request.
        request: RequestId,
        /// The backend to send it to.
        backend: BackendId,
        /// The time at which the attempt times out.
        deadline: f64,
    },
    /// Respond with a rejection: the client can safely retry.
    Reject {
        /// The request.
        request: RequestId,
        /// The retry delay advertised to the client; 0 means none.
        retry_after: f64,
    },
    /// Respond with a failure: the request may have been executed.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Set a timer that delivers an [`Event::TimerFired`].
    SetTimer {
        /// The delay from now.
        delay: f64,
        /// The token to return with the event.
        token: u64,
    },
    /// Close the idle connections to a backend.
    CloseIdle {
        /// The backend.
        backend: BackendId,
    },
    /// Start or stop watching the endpoint list.
    WatchEndpoints {
        /// Whether to watch.
        on: bool,
    },
}

/// The state of a replica's concurrency limit, for monitoring only.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Load {
    /// The learned concurrency limit.
    pub limit: f64,
    /// The attempts that count against it.
    pub in_flight: f64,
    /// Its class slices, highest priority first.
    pub slices: Vec<SliceLoad>,
}

/// The state of one class slice.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct SliceLoad {
    /// The slice's own limit.
    pub limit: f64,
    /// Its attempts in flight.
    #[serde(rename = "busy")]
    pub in_flight: f64,
    /// The requests queued for it.
    #[serde(rename = "held")]
    pub queued: usize,
}

/// An invalid setting.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("settings: {field}: {reason}")]
#[non_exhaustive]
pub struct SettingsError {
    /// The path of the setting, such as `classes[1].aim`.
    pub field: String,
    /// What is wrong with it.
    pub reason: &'static str,
}
