//! The three ledgers of a rehearsal, kept apart by who writes them: what clients got, what backends
//! ran, what the registry told. Plain records; what they mean is the judge's to say.

use crate::clock::Micros;

/// Place of a proxy in the stage's list.
pub type ProxyIndex = u16;
/// Place of a host in the stage's list.
pub type BackendIndex = u16;

/// Everything that was seen.
#[derive(Debug, Default, Clone)]
pub struct EventLog {
    /// What clients asked and got, and what backends asked of the next tier.
    pub attempts: Vec<Attempt>,
    /// Clients that send what can't be used.
    pub malformed_clients: Vec<MalformedClient>,
    /// What came to backends.
    pub arrivals: Vec<Arrival>,
    /// Processes of backends.
    pub incarnations: Vec<Incarnation>,
    /// What the registry told.
    pub registry_updates: Vec<RegistryUpdate>,
    /// What the stage did to processes.
    pub process_events: Vec<ProcessEvent>,
}

/// One request, as who sent it saw it.
#[derive(Debug, Clone, PartialEq)]
pub struct Attempt {
    /// Its `Req-Id`.
    pub id: u64,
    /// The tier asked; 0 for a client from outside, and for calls that come round.
    pub tier: u8,
    /// The request that it is a part of; none for a client's.
    pub parent: Option<u64>,
    /// Place of its first try in the plan; means nothing behind the first tier.
    pub request_index: u32,
    /// 0 for a first try, counted up by retries.
    pub retry: u8,
    /// Its class.
    pub class: u16,
    /// Its tenant.
    pub tenant: u16,
    /// Its idempotency key.
    pub key: Option<u64>,
    /// The proxy asked.
    pub proxy: ProxyIndex,
    /// When the plan wanted it sent.
    pub scheduled_at: Micros,
    /// When its last byte was written, if it was.
    pub sent_at: Option<Micros>,
    /// When it was given up on a kept connection that the proxy had closed without a byte, to be
    /// sent once more on a new one: rightly so only if the proxy had not read it.
    pub resent_at: Option<Micros>,
    /// How long its sender said to wait.
    pub time_limit: Micros,
    /// Time that its sender took for reading, which is nobody else's.
    pub read_delay: Micros,
    /// How it ended.
    pub end: AttemptEnd,
    /// When it ended: the last byte of its answer.
    pub ended_at: Micros,
    /// Something came behind the answer on its connection.
    pub unexpected_data: bool,
}

impl Attempt {
    /// Whether a client from outside asked; else a backend did, of the next tier or, gone astray,
    /// of the first again.
    pub fn is_from_client(&self) -> bool {
        self.parent.is_none()
    }

    /// Whether a backend asked the first tier again.
    pub fn is_looped(&self) -> bool {
        self.tier == 0 && !self.is_from_client()
    }
}

/// How a request ended, as its sender saw it.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptEnd {
    /// 200, with the mark that a backend put into the answer.
    Served(u64),
    /// 200, with a body that is no backend's answer.
    UnknownBody(String),
    /// 429 or 503.
    Refused {
        /// When to come back, if that was told.
        after: Option<Micros>,
    },
    /// Any other status.
    Failed(u16),
    /// The connection ended before a whole answer; whether part of one had come.
    Truncated(bool),
    /// The answer can't be read.
    Malformed,
    /// Nothing came, long past its time.
    NoResponse,
    /// Its sender left, as planned.
    Cancelled,
    /// It could not be sent: no proxy, no connection, or it broke before the last byte.
    Unsent,
}

/// A client that sends what can't be used, and what it got.
#[derive(Debug, Clone, PartialEq)]
pub struct MalformedClient {
    /// What it sent.
    pub kind: &'static str,
    /// The id hidden in what it sent, if any.
    pub smuggled_id: Option<u64>,
    /// When it connected.
    pub at: Micros,
    /// The status it was answered; none if it got a close.
    pub status: Option<u16>,
    /// When it got one or the other; none if neither came.
    pub ended_at: Option<Micros>,
}

/// A request that came whole to a backend.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// The host.
    pub backend: BackendIndex,
    /// Which of its processes, from 0.
    pub incarnation: u16,
    /// The tier.
    pub tier: u8,
    /// Who sent it.
    pub proxy: ProxyIndex,
    /// Its `Req-Id`.
    pub id: u64,
    /// Its class.
    pub class: u16,
    /// Its idempotency key.
    pub key: Option<u64>,
    /// The digest of the version that it was bound by, where proxies tell.
    pub version: Option<String>,
    /// When its first byte came.
    pub first_byte_at: Micros,
    /// How long the backend was told that it is waited for.
    pub announced_limit: Option<Micros>,
    /// When its last byte came.
    pub received_at: Micros,
    /// Work that it brought, in microseconds of a standard core, a handshake's included.
    pub work: u64,
    /// What the backend did with it.
    pub disposition: Disposition,
    /// The mark in its answer.
    pub marker: u64,
    /// What was answered.
    pub response: ResponseKind,
    /// When the answer's last byte was written.
    pub responded_at: Option<Micros>,
}

/// What a backend does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disposition {
    /// It began to run: its effect counts as happened.
    Executed,
    /// A repeat of what has run here or in the group: dropped, and answered.
    Duplicate,
    /// Turned away unseen.
    Declined,
}

/// What a backend answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// Nothing yet, or ever.
    None,
    /// A whole 200.
    Served,
    /// Turned away.
    Declined,
    /// A 500.
    Error,
    /// Broken off in the middle.
    Truncated,
    /// Noise.
    Malformed,
}

/// One process of a backend.
#[derive(Debug, Clone, PartialEq)]
pub struct Incarnation {
    /// The host.
    pub backend: BackendIndex,
    /// Which of its processes, from 0.
    pub number: u16,
    /// When it started; 0 with `warm` for one that ran before the rehearsal.
    pub started_at: Micros,
    /// It needs no warming up.
    pub warm: bool,
    /// When it was sent more than it can bear and fell over, as the stand-in saw it.
    pub overloaded_at: Option<Micros>,
}

/// A change that the registry wrote to a proxy.
#[derive(Debug, Clone, PartialEq)]
pub struct RegistryUpdate {
    /// When the answer that held it was written.
    pub at: Micros,
    /// To whom.
    pub proxy: ProxyIndex,
    /// Of which host.
    pub backend: BackendIndex,
    /// Which of its processes.
    pub incarnation: u16,
    /// The version of the host's entry; a lower one is an older state that came late.
    pub version: u64,
    /// Whether it takes new work.
    pub health: Health,
}

/// A backend's health, in the registry's words.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Takes work.
    Serving,
    /// Finishes its work.
    Draining,
    /// Gone.
    Deleted,
}

impl Health {
    /// The registry's word.
    pub fn as_str(self) -> &'static str {
        match self {
            Health::Serving => "SERVING",
            Health::Draining => "DRAINING",
            Health::Deleted => "DELETED",
        }
    }
}

/// Something that the stage did to a proxy's process.
#[derive(Debug, Clone, PartialEq)]
pub struct ProcessEvent {
    /// When it was begun.
    pub at: Micros,
    /// When it was done: a process that is killed takes a moment to be gone.
    pub until: Micros,
    /// To whom.
    pub proxy: ProxyIndex,
    /// What.
    pub kind: ProcessEventKind,
}

/// What the stage does to processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessEventKind {
    /// It was started and answers that it is ready.
    Started,
    /// Killed outright.
    Killed,
    /// It did nothing for that time, and went on.
    Stalled,
    /// Told to stop.
    Stopped,
    /// Told to read its configuration again.
    Reloaded,
    /// It ended though nobody told it to.
    Crashed,
}
