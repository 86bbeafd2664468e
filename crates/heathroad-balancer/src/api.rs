//! The interface of the decision module: settings and events in, actions out. No logic lives here.
//!
//! Times and durations are milliseconds as `f64`. The clock is whatever the embedding proxy passes
//! to [`Balancer::handle_event`](crate::Balancer::handle_event); it starts anywhere and only goes
//! forward.

use serde::Serialize;

/// Identifies a client request at one replica; never reused.
pub type RequestId = u64;
/// Identifies a backend; the same at every replica and across restarts of its process.
pub type BackendId = u32;
/// The number of an attempt within its request, counted from 0 in the order of sends.
pub type AttemptNumber = u8;

/// Everything that a replica is configured with at its start.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Settings {
    /// The number of this replica among [`replica_count`](Self::replica_count), from 0.
    pub replica_index: u32,
    /// How many replicas send to this tier.
    pub replica_count: u32,
    /// The position of the tier that this replica sends to; 0 is the one that clients reach.
    pub tier: u32,
    /// The zone of this replica.
    pub zone: u16,
    /// The shortest time between two rounds of events.
    pub tick: f64,
    /// Requests may arrive with a priority share that an upstream proxy has set.
    pub priority_forwarded: bool,
    /// The endpoint list has to be polled ([`Action::WatchEndpoints`]) rather than being pushed.
    pub polls_endpoints: bool,
    /// The priority of a request beyond its tenant's quota, as a share of its class's weight.
    pub over_quota_priority: f64,
    /// The request classes; a request names its index in this list.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// What the site allows.
    pub limits: SiteLimits,
    /// The figures of the guarantees that hold whatever fails.
    pub guarantees: Guarantees,
    /// How the operators weigh and price results.
    pub objectives: Objectives,
}

/// A class of requests.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Class {
    /// A response within this time earns the full weight.
    pub latency_objective: f64,
    /// The weight of a request against those of other classes.
    pub priority_weight: f64,
    /// Whether and where a request may be executed again.
    pub idempotency: Idempotency,
    /// Requests with one key are executed one at a time, in the order of their arrival; all such
    /// classes share their keys.
    pub ordered_by_key: bool,
}

/// Whether a request of a class may be repeated once it may have been executed.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Idempotency {
    /// The request is safe to repeat anywhere.
    Idempotent,
    /// Repeats are dropped by the backends of `scope` for `window` after the first send that may
    /// have been executed.
    Deduplicated {
        /// Which backends drop each other's repeats.
        scope: DeduplicationScope,
        /// For how long they do.
        window: f64,
    },
    /// The request must never be executed twice.
    #[default]
    NonIdempotent,
}

/// The backends that drop repeats of a request that one of them has seen.
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
    /// Requests a second, over all replicas, within its quota.
    pub quota_per_s: f64,
}

/// What the site allows.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SiteLimits {
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// Rejected clients are given a retry delay.
    pub retry_after: bool,
    /// The longest retry delay that a client respects.
    pub max_retry_after: f64,
    /// The most attempts for one request.
    pub max_attempts: u32,
    /// The proxy sees the work of abandoned attempts end, and reports it by
    /// [`Event::LateCompletion`].
    pub late_completions: bool,
}

/// The figures of the guarantees.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Guarantees {
    /// The share of its capacity that a backend has right after its start, at least.
    pub slow_start_floor: f64,
    /// The time after which a backend has its full capacity, at most.
    pub slow_start_duration: f64,
    /// A backend in slow start collapses when it is sent more than this multiple of its present
    /// capacity.
    pub overload_multiple: f64,
    /// Where the endpoint list is polled: a change counts as known after this time of silence.
    pub poll_within: f64,
    /// Idle connections to a draining backend are closed within this time; 0 where no such
    /// guarantee holds.
    pub idle_close_within: f64,
    /// The time for which a key of an ordered class rests after an attempt that may still be
    /// executing.
    pub unknown_outcome_rest: f64,
}

/// How the operators weigh and price results.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Objectives {
    /// The weight of the worst-served class.
    pub worst_class_weight: f64,
    /// The price of an attempt that crosses zones.
    pub cross_zone_price: f64,
}

/// Whether an endpoint takes new requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// The endpoint takes requests.
    #[default]
    Ready,
    /// The endpoint finishes its requests and must be sent no new ones.
    Draining,
    /// The endpoint is removed.
    Removed,
}

/// One backend, as the endpoint list describes it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Endpoint {
    /// The backend.
    pub backend: BackendId,
    /// Whether it takes new requests.
    pub state: EndpointState,
    /// Its zone.
    pub zone: u16,
    /// The time at which its process last started; 0 is long ago.
    pub started_at: f64,
    /// Its capacity relative to the others'.
    pub weight: f64,
    /// Its cell.
    pub cell: u16,
}

/// How an endpoint update relates to the list that the replica has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateKind {
    /// The complete list; an endpoint that it lacks is removed.
    Snapshot,
    /// The changed endpoints only.
    Delta,
    /// The complete list from a cache; it may be old.
    Cached,
    /// A poll failed or a watch broke; the update has no endpoints.
    Failed,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The backend served the request.
    Success,
    /// The backend answered with an error; the request may have been executed.
    Error,
    /// The backend rejected the request unseen; it was never executed.
    Rejected,
    /// No response came in time; the request may have been executed.
    Timeout,
    /// No connection was made; the request was never executed.
    ConnectFailed,
    /// The connection broke; the request may have been executed.
    Reset,
    /// The attempt was cancelled; the request may have been executed.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
}

impl Outcome {
    /// Returns whether this outcome proves that the request was never executed.
    pub fn never_executed(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// A request that arrived.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestArrival {
    /// The request.
    pub request: RequestId,
    /// The key of an ordered class; 0 is none.
    pub key: u64,
    /// The index of its class.
    pub class: u16,
    /// The index of its tenant; 0 where there are none.
    pub tenant: u16,
    /// The time at which its client gives up.
    pub deadline: f64,
    /// The most attempts beyond the first, where the request carries a retry budget.
    pub retries_left: Option<u32>,
    /// Its priority, as a share of its class's weight.
    pub priority_share: f64,
}

/// How an attempt ended.
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
    /// The request has its final response; nothing more is owed.
    pub request_closed: bool,
    /// How many further attempts its retry budget has now, where it carries one: what backends
    /// spent on retries of their own has been deducted.
    pub retries_left: Option<u32>,
}

/// What a replica is notified of.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The endpoint list, or a change of it.
    EndpointUpdate {
        /// How the endpoints relate to the list that the replica has.
        kind: UpdateKind,
        /// The endpoints.
        endpoints: Vec<Endpoint>,
    },
    /// A request arrived; exactly one final response is owed.
    RequestArrived(RequestArrival),
    /// An attempt ended.
    AttemptEnded(AttemptResult),
    /// The work of an attempt that had timed out or was cancelled has ended: with its response, or
    /// unseen with its connection, which repeats the earlier outcome.
    LateCompletion(AttemptResult),
    /// The client left; nothing more is owed.
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

/// What a replica decides, to be carried out in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt of a request.
    Send {
        /// The request.
        request: RequestId,
        /// The backend to send it to.
        backend: BackendId,
        /// The time at which the attempt is abandoned.
        deadline: f64,
    },
    /// The final response: rejected, and a retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// The retry delay advertised to the client; 0 is none.
        retry_after: f64,
    },
    /// The final response: failed, and the request may have been executed.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Cancel one attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Set a timer that fires an [`Event::TimerFired`].
    SetTimer {
        /// The time from now.
        delay: f64,
        /// The token that comes back with the event.
        token: u64,
    },
    /// Close the idle connections to a backend.
    CloseIdle {
        /// The backend.
        backend: BackendId,
    },
    /// Watch the endpoint list, or end the watch.
    WatchEndpoints {
        /// On or off.
        on: bool,
    },
}

/// The state of a replica's concurrency limit, for monitoring; nothing is decided by it.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Load {
    /// The learned total.
    pub limit: f64,
    /// The attempts counted against it.
    pub in_flight: f64,
    /// Its class slices, highest priority first.
    pub slices: Vec<SliceLoad>,
}

/// The state of one slice of the limit.
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

/// Why settings were rejected.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("settings: {field}: {reason}")]
#[non_exhaustive]
pub struct SettingsError {
    /// The setting, as a path such as `classes[1].latency_objective`.
    pub field: String,
    /// What is wrong with it.
    pub reason: &'static str,
}
