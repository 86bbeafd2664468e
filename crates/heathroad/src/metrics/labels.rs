//! The labels of metrics, and the values that a label can have.

use heathroad_balancer::api::Outcome;
use prometheus_client::encoding::EncodeLabelSet;
use serde::Serialize;

/// The final response to a request, or that its client left before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// The response of a backend.
    Served,
    /// Rejected: a retry is harmless.
    Rejected,
    /// Failed: the request may have been executed.
    Failed,
    /// Failed at its deadline.
    TimedOut,
    /// The client left before its response.
    ClientLeft,
}

impl ResponseKind {
    /// The values of the label `answer`, in the order of the kinds.
    pub const LABELS: [&'static str; 5] = ["served", "refused", "failed", "timed_out", "left"];

    pub fn index(self) -> usize {
        self as usize
    }

    pub fn label(self) -> &'static str {
        Self::LABELS[self.index()]
    }
}

/// An end of an attempt that says nothing of its backend, and that the decision module is notified
/// of as another outcome.
#[derive(Clone, Copy)]
pub enum UnjudgedEnd {
    /// A backend rejected the request as unusable.
    Unusable,
    /// A notification was written; it gets no response.
    NotificationSent,
}

/// The values of the label `outcome`: the decision module's outcomes, then the unjudged ends.
pub const OUTCOME_LABELS: [&str; 10] = [
    "served",
    "error",
    "declined",
    "timeout",
    "connect_failed",
    "reset",
    "cancelled",
    "unsent",
    "rejected",
    "notified",
];

/// Returns the index of an outcome in [`OUTCOME_LABELS`].
pub fn outcome_index(outcome: Outcome) -> usize {
    match outcome {
        Outcome::Success => 0,
        Outcome::Error => 1,
        Outcome::Rejected => 2,
        Outcome::Timeout => 3,
        Outcome::ConnectFailed => 4,
        Outcome::Reset => 5,
        Outcome::Cancelled => 6,
        Outcome::NotSent => 7,
    }
}

/// Returns the index of an unjudged end in [`OUTCOME_LABELS`].
pub fn unjudged_index(end: UnjudgedEnd) -> usize {
    match end {
        UnjudgedEnd::Unusable => 8,
        UnjudgedEnd::NotificationSent => 9,
    }
}

/// Why a backend's process gets no new requests.
#[derive(Clone, Copy, Debug)]
pub enum DrainReason {
    /// It is draining.
    Draining,
    /// The endpoint list no longer has it.
    Removed,
    /// Another process has taken its name.
    Replaced,
}

impl DrainReason {
    /// The values of the label `notice`, in the order of the reasons.
    pub const LABELS: [&'static str; 3] = ["draining", "gone", "replaced"];

    pub fn index(self) -> usize {
        self as usize
    }
}

/// The labels of a request with its final response.
#[derive(Clone, Debug, Hash, PartialEq, Eq, PartialOrd, Ord, EncodeLabelSet, Serialize)]
pub struct RequestLabels {
    #[serde(skip_serializing_if = "String::is_empty")]
    pub pool: String,
    pub class: String,
    pub tenant: String,
    pub answer: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct OutcomeLabels {
    pub pool: String,
    pub outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct RetryLabels {
    pub pool: String,
    /// How the attempt before ended.
    pub after: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct DrainLabels {
    pub pool: String,
    pub notice: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct EventLabels {
    pub event: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct ReasonLabels {
    pub reason: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct RuleLabels {
    pub rule: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct StatusLabels {
    pub status: u16,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct SliceLabels {
    pub pool: String,
    pub slice: u32,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct PoolLabels {
    pub pool: String,
}
