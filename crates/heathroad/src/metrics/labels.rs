//! Metric labels and their values.

use heathroad_balancer::api::Outcome;
use prometheus_client::encoding::EncodeLabelSet;
use serde::Serialize;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// A backend's response was returned.
    Served,
    /// Rejected without being executed; a retry is safe.
    Rejected,
    /// Failed: the request may have been executed.
    Failed,
    /// Failed at its deadline.
    TimedOut,
    /// The client disconnected before the response.
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

/// The end of an attempt that says nothing about the backend's health. The metrics count it
/// separately; the decision module is notified of an ordinary outcome.
#[derive(Clone, Copy)]
pub enum UnjudgedEnd {
    /// A backend rejected the request as unusable.
    Unusable,
    /// A JSON-RPC notification was sent; it has no response.
    NotificationSent,
}

/// The values of the label `outcome`: first [`Outcome`], then [`UnjudgedEnd`].
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

/// Why a backend process receives no new requests.
#[derive(Clone, Copy, Debug)]
pub enum DrainReason {
    /// It is draining.
    Draining,
    /// It is no longer in the endpoint list.
    Removed,
    /// Another process replaced it under the same name.
    Replaced,
}

impl DrainReason {
    /// The values of the label `notice`, in the order of the reasons.
    pub const LABELS: [&'static str; 3] = ["draining", "gone", "replaced"];

    pub fn index(self) -> usize {
        self as usize
    }
}

/// The labels of a completed request.
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
    /// The outcome of the previous attempt.
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
