//! The serialized form of an activity record, which is stored on disk and sent to other members.

use super::counts::ActivityCounts;
use super::{MAX_REASON_BYTES, UnixMillis};
use crate::Incarnation;
use crate::version::{Digest, Version};
use serde::{Deserialize, Serialize};

/// A period in which one version was in force, and the activity under it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Interval {
    /// The incarnation of the proxy that ran the version.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The version in force; for merged intervals, the latest one.
    pub version: Version,
    /// The digest of the version.
    pub digest: Digest,
    /// The number of versions. It exceeds one only for merged intervals, whose versions differ only
    /// in their endpoint lists.
    #[serde(rename = "versions")]
    pub version_count: u64,
    /// When the interval began.
    pub from: UnixMillis,
    /// When the interval ended; `None` while the version is in force.
    pub to: Option<UnixMillis>,
    /// Whether the process ended without closing the interval, so that its activity after `to` is
    /// unknown.
    #[serde(rename = "torn", default)]
    pub truncated: bool,
    /// The time of the first activity.
    #[serde(rename = "first")]
    pub first_activity: Option<UnixMillis>,
    /// The time of the last activity, which can be later than `to`.
    #[serde(rename = "last")]
    pub last_activity: Option<UnixMillis>,
    /// The activity in this interval.
    #[serde(rename = "acts")]
    pub activity: ActivityCounts,
}

impl Interval {
    /// Whether the two intervals differ only in their endpoint lists.
    pub(super) fn is_mergeable_with(&self, next: &Interval) -> bool {
        let (version, next_version) = (&self.version, &next.version);
        self.incarnation == next.incarnation
            && self.truncated == next.truncated
            && version.build == next_version.build
            && version.settings == next_version.settings
            && version.generation == next_version.generation
            && version.routes == next_version.routes
    }

    /// Extends this interval to include the one before it.
    pub(super) fn absorb_previous(&mut self, previous: &Interval) {
        let first = [previous.first_activity, self.first_activity];
        let last = [previous.last_activity, self.last_activity];
        self.version_count += previous.version_count;
        self.from = previous.from;
        self.activity += previous.activity;
        self.first_activity = first.into_iter().flatten().min();
        self.last_activity = last.into_iter().flatten().max();
    }
}

/// A fault that impaired a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The proxy received nothing from other members.
    #[serde(rename = "cut_off")]
    Isolated,
    /// The process was not scheduled or was suspended.
    Stalled,
    /// The proxy had fenced itself: it bound no requests and sent no attempts.
    Fenced,
}

/// The period in which a fault lasted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultInterval {
    /// The kind of fault.
    #[serde(rename = "trouble")]
    pub kind: FaultKind,
    /// When the fault began.
    pub from: UnixMillis,
    /// When the fault ended; `None` while it lasts.
    pub to: Option<UnixMillis>,
}

/// A desired generation of routes that this proxy rejected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectedVersion {
    /// When the proxy rejected it.
    pub at: UnixMillis,
    /// The generation.
    pub generation: u64,
    /// The digest of its routes.
    pub routes: Digest,
    /// The reason, at most [`MAX_REASON_BYTES`] bytes long.
    #[serde(rename = "why")]
    pub reason: String,
}

impl RejectedVersion {
    /// Truncates the reason to [`MAX_REASON_BYTES`].
    pub(super) fn bounded(mut self) -> RejectedVersion {
        while self.reason.len() > MAX_REASON_BYTES {
            self.reason.pop();
        }
        self
    }
}

/// Intervals that were discarded to keep the record within its limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiscardedIntervals {
    /// The number of discarded intervals.
    #[serde(rename = "pages")]
    pub count: u64,
    /// Their activity.
    #[serde(rename = "acts")]
    pub activity: ActivityCounts,
    /// The end of the latest discarded interval.
    pub until: Option<UnixMillis>,
}

/// A copy of an activity record at one point in time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordSnapshot {
    /// When the snapshot was taken, according to the proxy's clock.
    pub at: UnixMillis,
    /// When the record begins.
    pub since: UnixMillis,
    /// The intervals, oldest first.
    #[serde(rename = "pages")]
    pub intervals: Vec<Interval>,
    /// The discarded intervals.
    #[serde(rename = "lost")]
    pub discarded: DiscardedIntervals,
    /// The faults, oldest first.
    #[serde(rename = "spells", default)]
    pub faults: Vec<FaultInterval>,
    /// The rejected versions, oldest first.
    #[serde(rename = "turned_down", default)]
    pub rejected: Vec<RejectedVersion>,
}

impl RecordSnapshot {
    /// Discards the oldest interval unless it is the only one. Returns whether an interval was
    /// discarded.
    pub fn discard_oldest(&mut self) -> bool {
        if self.intervals.len() < 2 {
            return false;
        }
        let interval = self.intervals.remove(0);
        self.discarded.count += 1;
        self.discarded.activity += interval.activity;
        self.discarded.until = interval.to;
        true
    }
}
