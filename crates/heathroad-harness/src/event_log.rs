//! Event log of a run: what clients, backends and the registry recorded, each in its own list. The
//! checker interprets the records.

use crate::clock::Micros;

/// Index of a proxy in the run's list of proxies.
pub type ProxyIndex = u16;
/// Index of a backend host in the run's list of hosts.
pub type BackendIndex = u16;

/// All events recorded during a run.
#[derive(Debug, Default, Clone)]
pub struct EventLog {
    /// Requests sent by clients, and by backends to the next tier, with their outcomes.
    pub attempts: Vec<Attempt>,
    /// Clients that sent malformed requests.
    pub malformed_clients: Vec<MalformedClient>,
    /// Requests received by backends.
    pub arrivals: Vec<Arrival>,
    /// Backend processes.
    pub incarnations: Vec<Incarnation>,
    /// Changes that the registry sent to proxies.
    pub registry_updates: Vec<RegistryUpdate>,
    /// Events of proxy processes.
    pub process_events: Vec<ProcessEvent>,
}

/// One request as its sender saw it.
#[derive(Debug, Clone, PartialEq)]
pub struct Attempt {
    /// Its `Req-Id`.
    pub id: u64,
    /// Tier that it was sent to; 0 for requests of clients and for looped calls.
    pub tier: u8,
    /// Id of the request on whose behalf it was sent; none for a client's.
    pub parent: Option<u64>,
    /// Index in the schedule; meaningful for the first tier only.
    pub request_index: u32,
    /// Number of the retry; 0 for the first attempt.
    pub retry: u8,
    /// Its class.
    pub class: u16,
    /// Its tenant.
    pub tenant: u16,
    /// Its idempotency key.
    pub key: Option<u64>,
    /// Proxy that it was sent to.
    pub proxy: ProxyIndex,
    /// Time at which the schedule sends it.
    pub scheduled_at: Micros,
    /// Time at which its last byte was written, if it was.
    pub sent_at: Option<Micros>,
    /// Time at which its reused connection was closed without a response, so that it was resent on a
    /// new one. The close is valid only if the proxy had not read the request.
    pub resent_at: Option<Micros>,
    /// Deadline that its sender announced, as a duration.
    pub time_limit: Micros,
    /// Time that the sender itself spent reading the response slowly.
    pub read_delay: Micros,
    /// Outcome.
    pub end: AttemptEnd,
    /// Time of the last byte of the response, or of the failure.
    pub ended_at: Micros,
    /// Whether more data followed the response on its connection.
    pub unexpected_data: bool,
}

impl Attempt {
    /// Reports whether a client sent it, not a backend.
    pub fn is_from_client(&self) -> bool {
        self.parent.is_none()
    }

    /// Reports whether a backend sent it back to the first tier.
    pub fn is_looped(&self) -> bool {
        self.tier == 0 && !self.is_from_client()
    }
}

/// Outcome of a request as its sender saw it.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptEnd {
    /// 200, with the marker that a backend put into the response.
    Served(u64),
    /// 200, with a body that no backend made.
    UnknownBody(String),
    /// 429 or 503.
    Refused {
        /// Delay given by `Retry-After`, if present.
        after: Option<Micros>,
    },
    /// Any other status.
    Failed(u16),
    /// The connection closed before the complete response; true if a part had arrived.
    Truncated(bool),
    /// The response could not be parsed.
    Malformed,
    /// No response arrived until well after the deadline.
    NoResponse,
    /// The sender closed the connection, as scheduled.
    Cancelled,
    /// It could not be sent: no proxy, no connection, or a failure before its last byte.
    Unsent,
}

/// A client that sends a malformed request, and the response it got.
#[derive(Debug, Clone, PartialEq)]
pub struct MalformedClient {
    /// Kind of malformed request.
    pub kind: &'static str,
    /// Id of the request smuggled in its body, if any.
    pub smuggled_id: Option<u64>,
    /// Time at which it connected.
    pub at: Micros,
    /// Status of the response; none if the connection was closed.
    pub status: Option<u16>,
    /// Time of the response or close; none if neither came.
    pub ended_at: Option<Micros>,
}

/// A request that a backend received completely.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// The host.
    pub backend: BackendIndex,
    /// Number of the process on its host, from 0.
    pub incarnation: u16,
    /// The tier.
    pub tier: u8,
    /// Proxy that forwarded it.
    pub proxy: ProxyIndex,
    /// Its `Req-Id`.
    pub id: u64,
    /// Its class.
    pub class: u16,
    /// Its idempotency key.
    pub key: Option<u64>,
    /// Digest of the configuration version that the proxy applied, if it sends one.
    pub version: Option<String>,
    /// Time of its first byte.
    pub first_byte_at: Micros,
    /// Time limit that the proxy announced to the backend.
    pub announced_limit: Option<Micros>,
    /// Time of its last byte.
    pub received_at: Micros,
    /// Work including any handshake, in microseconds of a standard core.
    pub work: u64,
    /// How the backend handled it.
    pub disposition: Disposition,
    /// Marker in the response.
    pub marker: u64,
    /// Kind of the response.
    pub response: ResponseKind,
    /// Time at which the last byte of the response was written.
    pub responded_at: Option<Micros>,
}

/// How a backend handles a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disposition {
    /// Execution started, so its effect counts as having happened.
    Executed,
    /// Duplicate of a request that ran in this backend's group: answered without execution.
    Duplicate,
    /// Declined without execution.
    Declined,
}

/// Kind of a backend's response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// No response.
    None,
    /// A complete 200.
    Served,
    /// Declined.
    Declined,
    /// A 500.
    Error,
    /// Cut off before its end.
    Truncated,
    /// Not valid HTTP.
    Malformed,
}

/// One process of a backend host.
#[derive(Debug, Clone, PartialEq)]
pub struct Incarnation {
    /// The host.
    pub backend: BackendIndex,
    /// Number of the process on its host, from 0.
    pub number: u16,
    /// Start time; 0 with `warm` if it ran before the run.
    pub started_at: Micros,
    /// Whether it needs no warm-up.
    pub warm: bool,
    /// Time at which the emulator saw it fail from overload.
    pub overloaded_at: Option<Micros>,
}

/// A change that the registry sent to a proxy.
#[derive(Debug, Clone, PartialEq)]
pub struct RegistryUpdate {
    /// Time at which the response containing it was written.
    pub at: Micros,
    /// Receiving proxy.
    pub proxy: ProxyIndex,
    /// Changed host.
    pub backend: BackendIndex,
    /// Process of the host.
    pub incarnation: u16,
    /// Version of the host's entry; updates may arrive out of order.
    pub version: u64,
    /// Health of the host.
    pub health: Health,
}

/// Health of a backend in the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Accepts requests.
    Serving,
    /// Finishes its open requests and accepts no new ones.
    Draining,
    /// Removed.
    Deleted,
}

impl Health {
    /// Returns the name used by the registry.
    pub fn as_str(self) -> &'static str {
        match self {
            Health::Serving => "SERVING",
            Health::Draining => "DRAINING",
            Health::Deleted => "DELETED",
        }
    }
}

/// An event of a proxy's process.
#[derive(Debug, Clone, PartialEq)]
pub struct ProcessEvent {
    /// Start time.
    pub at: Micros,
    /// End time; a killed process takes a moment to exit.
    pub until: Micros,
    /// Affected proxy.
    pub proxy: ProxyIndex,
    /// Kind of event.
    pub kind: ProcessEventKind,
}

/// Kind of a process event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessEventKind {
    /// Started, and reported ready.
    Started,
    /// Killed by a signal.
    Killed,
    /// Paused, then resumed.
    Stalled,
    /// Asked to stop.
    Stopped,
    /// Asked to reload its configuration.
    Reloaded,
    /// Exited without being asked to.
    Crashed,
}
