//! The decision module's interface: settings, events in, actions out. No logic lives here.
//!
//! Times and durations are milliseconds as `f64`; the clock is whatever the embedding proxy passes
//! to [`Balancer::handle`](crate::Balancer::handle), starts anywhere and only goes forward.

use serde::Serialize;
use std::fmt;

/// Identifies a client request at one copy; never reused.
pub type RequestId = u64;
/// Identifies a backend; the same at every copy and across restarts of its process.
pub type BackendId = u32;
/// Number of an attempt within its request, counted from 0 in the order of sends.
pub type AttemptNo = u8;

/// What a copy is told once, at its start.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Settings {
    /// This copy's number among [`copies`](Self::copies), from 0.
    pub copy: u32,
    /// How many copies send to this tier.
    pub copies: u32,
    /// Place of the tier that this copy sends to; 0 is the one that clients reach.
    pub tier: u32,
    /// Zone of this copy.
    pub zone: u16,
    /// Shortest time between two rounds of events.
    pub tick: f64,
    /// Requests may come with a part of their worth, as those before this copy found it.
    pub worth_carried: bool,
    /// Whether the list of backends must be asked for ([`Action::Watch`]) rather than being pushed.
    pub must_ask: bool,
    /// What a request beyond its tenant's quota is worth, as a share of its class's worth.
    pub over_share_worth: f64,
    /// Request classes; a request names its place in this list.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// What the site allows.
    pub caps: Caps,
    /// Figures of the four rules.
    pub rules: Rules,
    /// How the operators weigh and price results.
    pub goal: Goal,
}

/// A class of requests.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub aim: f64,
    /// Worth of a request.
    pub points: f64,
    /// Whether and where a request may run again.
    pub effect: Effect,
    /// Requests with one key run one at a time, in the order they came; all such classes share
    /// their keys.
    pub in_order: bool,
}

/// Whether a request of a class may be repeated once it may have run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Effect {
    /// Safe to repeat anywhere.
    Retryable,
    /// Repeats are dropped by the backends of `group` for `window` after the first send that may
    /// have run.
    Dedup {
        /// Which backends drop each other's repeats.
        group: Group,
        /// For how long they do.
        window: f64,
    },
    /// Must never run twice.
    #[default]
    Fragile,
}

/// The backends that drop repeats of a request which one of them has seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Group {
    /// All backends.
    All,
    /// Those in one zone.
    Zone,
    /// Those in one cell.
    Cell,
}

/// A tenant.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Tenant {
    /// Requests a second, over all copies, within its share.
    pub quota_per_s: f64,
}

/// What the site allows.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Caps {
    /// Attempts may be cancelled.
    pub cancelling: bool,
    /// Clients are told when to come back.
    pub retry_after: bool,
    /// Longest such advice that a client heeds.
    pub max_retry_after: f64,
    /// Most attempts for one request.
    pub try_limit: u32,
    /// The proxy sees the work of attempts that were given up end, and tells of it by
    /// [`Event::Late`].
    pub late_ends: bool,
}

/// Figures of the four rules.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Rules {
    /// Share of its capacity at which a backend starts, at least.
    pub cold_from: f64,
    /// Time after which it is warm, at most.
    pub cold: f64,
    /// Sent more than this multiple of its present capacity, a cold backend falls over.
    pub fall_multiple: f64,
    /// Where the list must be asked for: silence longer than this counts as knowledge.
    pub ask_within: f64,
    /// Idle connections to a draining backend are closed within this time; 0 where no such rule
    /// holds.
    pub release_within: f64,
    /// A key of an ordered class rests so long after an attempt that may still be running.
    pub settle_after_doubt: f64,
}

/// How the operators weigh and price results.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Goal {
    /// Weight of the worst-served class.
    pub worst_class: f64,
    /// Price of attempts that cross zones.
    pub cross_zone: f64,
}

/// Whether a backend takes new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Phase {
    /// Takes work.
    #[default]
    Ready,
    /// Finishes its work; to be sent nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// One backend, as the list tells it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Entry {
    /// The backend.
    pub backend: BackendId,
    /// Whether it takes new work.
    pub phase: Phase,
    /// Its zone.
    pub zone: u16,
    /// When its process last started; 0 is long ago.
    pub started_at: f64,
    /// Its size beside the others'.
    pub weight: f64,
    /// Its cell.
    pub cell: u16,
}

/// How a list event relates to what the copy holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// The whole list; what it lacks is gone.
    Full,
    /// Changed entries only.
    Delta,
    /// The whole list as last held; may be old.
    Cached,
    /// A call failed or a subscription broke; no entries.
    Failed,
}

/// How an attempt or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The backend answered with an error; the request may have run.
    Error,
    /// Turned away unseen; never ran.
    Full,
    /// No answer in time; may have run.
    Timeout,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Withdrawn; may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// Whether this outcome proves that the request never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }
}

/// A request that arrived.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// The request.
    pub request: RequestId,
    /// What it is about; requests with one key belong together. 0 is none.
    pub key: u64,
    /// Its class.
    pub class: u16,
    /// Its tenant; 0 where there are none.
    pub tenant: u16,
    /// When its client gives up.
    pub deadline: f64,
    /// Most attempts beyond the first, where it carries a budget.
    pub spare: Option<u32>,
    /// Its worth, as a share of its class's.
    pub worth: f64,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq)]
pub struct Resolved {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// Its backend.
    pub backend: BackendId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub wait: f64,
    /// The request is over; nothing more is owed.
    pub closed: bool,
    /// How many further attempts its budget has now, where it carries one: what went out below came
    /// off.
    pub spare: Option<u32>,
}

/// What the copy is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The list of backends, or changes to it.
    List {
        /// Relation to what is held.
        kind: ListKind,
        /// Its entries.
        entries: Vec<Entry>,
    },
    /// A request arrived; exactly one final answer is owed.
    Request(Arrival),
    /// An attempt ended.
    Resolved(Resolved),
    /// The work of an attempt that had timed out or was withdrawn has ended: with its answer, or
    /// unseen with its connection, which repeats its outcome.
    Late(Resolved),
    /// The client left; nothing more is owed.
    Hangup {
        /// The request.
        request: RequestId,
    },
    /// A timer came due.
    Wake {
        /// As given in [`Action::WakeMe`].
        token: u64,
    },
}

/// What the copy decides, to be carried out in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt of a request.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        backend: BackendId,
        /// When the attempt is abandoned.
        not_past: f64,
    },
    /// Final answer: rejected, a further try is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should stay away; 0 is no advice.
        retry_after: f64,
    },
    /// Final answer: failed, nothing is promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Abandon one attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Ask for an [`Event::Wake`].
    WakeMe {
        /// Time from now.
        delay: f64,
        /// Comes back with the event.
        token: u64,
    },
    /// Close idle connections to a backend.
    Close {
        /// The backend.
        backend: BackendId,
    },
    /// Subscribe to the list of backends, or end the subscription.
    Watch {
        /// On or off.
        on: bool,
    },
}

/// What a copy's limit stands at. It is for those who watch; nothing is decided by it.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Load {
    /// The learned total.
    pub limit: f64,
    /// Calls counted against it.
    pub in_flight: f64,
    /// Its slices, most worth first.
    pub slices: Vec<SliceLoad>,
}

/// What a slice of the limit stands at.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct SliceLoad {
    /// Its own limit.
    pub limit: f64,
    /// Its calls in flight.
    pub busy: f64,
    /// Requests held for it.
    pub held: usize,
}

/// Why settings were turned down.
#[derive(Debug, Clone, PartialEq)]
pub struct SettingsError {
    /// The setting, as a path such as `classes[1].aim`.
    pub field: String,
    /// What is wrong with it.
    pub reason: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {}: {}", self.field, self.reason)
    }
}

impl std::error::Error for SettingsError {}
