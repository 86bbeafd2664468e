//! A record as it is stored and sent, as JSON.

use super::counts::ActivityCounts;
use super::{MAX_REASON_BYTES, UnixMillis};
use crate::Incarnation;
use crate::version::{Digest, Version};
use serde::{Deserialize, Serialize};

/// The time in which a version was in force, and what was done under it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Interval {
    /// The incarnation of the proxy.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The version in force; of merged intervals, the last one.
    pub version: Version,
    /// The digest of the version.
    pub digest: Digest,
    /// The number of versions; more than one only of merged intervals, whose versions differ in
    /// endpoint lists alone.
    #[serde(rename = "versions")]
    pub version_count: u64,
    /// When the interval began.
    pub from: UnixMillis,
    /// When it ended; none while the version is in force.
    pub to: Option<UnixMillis>,
    /// Whether the process ended without closing the interval: what it did after `to` is not on
    /// record.
    #[serde(rename = "torn", default)]
    pub truncated: bool,
    /// The time of the first activity.
    #[serde(rename = "first")]
    pub first_activity: Option<UnixMillis>,
    /// The time of the last activity, which may be later than `to`.
    #[serde(rename = "last")]
    pub last_activity: Option<UnixMillis>,
    /// The activity.
    #[serde(rename = "acts")]
    pub activity: ActivityCounts,
}

impl Interval {
    /// Whether two intervals differ in their endpoint lists alone, so that they can be merged.
    pub(super) fn is_mergeable_with(&self, next: &Interval) -> bool {
        let (version, next_version) = (&self.version, &next.version);
        self.incarnation == next.incarnation
            && self.truncated == next.truncated
            && version.build == next_version.build
            && version.settings == next_version.settings
            && version.generation == next_version.generation
            && version.routes == next_version.routes
    }

    /// Extends this interval by the one before it.
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

/// A fault that kept a proxy from its part in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// It received nothing from other members.
    #[serde(rename = "cut_off")]
    Isolated,
    /// It was held up and did nothing.
    Stalled,
    /// It had fenced itself: it bound no request and sent no attempt.
    Fenced,
}

/// The time in which a fault lasted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultInterval {
    /// The kind of fault.
    #[serde(rename = "trouble")]
    pub kind: FaultKind,
    /// When it began.
    pub from: UnixMillis,
    /// When it ended; none while it lasts.
    pub to: Option<UnixMillis>,
}

/// A generation of routes that this proxy rejected, although all should run it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectedVersion {
    /// When it was rejected.
    pub at: UnixMillis,
    /// The number of the generation.
    pub generation: u64,
    /// The digest of its text.
    pub routes: Digest,
    /// Why, in at most [`MAX_REASON_BYTES`] bytes.
    #[serde(rename = "why")]
    pub reason: String,
}

impl RejectedVersion {
    /// Cuts the reason to the permitted length.
    pub(super) fn bounded(mut self) -> RejectedVersion {
        while self.reason.len() > MAX_REASON_BYTES {
            self.reason.pop();
        }
        self
    }
}

/// What was discarded from a record for lack of room.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiscardedIntervals {
    /// The number of intervals.
    #[serde(rename = "pages")]
    pub count: u64,
    /// Their activity.
    #[serde(rename = "acts")]
    pub activity: ActivityCounts,
    /// The end of the last one.
    pub until: Option<UnixMillis>,
}

/// A record at some time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordSnapshot {
    /// When the snapshot was taken, by the proxy's clock.
    pub at: UnixMillis,
    /// When the record begins; nothing is known of the time before.
    pub since: UnixMillis,
    /// The intervals, the oldest first.
    #[serde(rename = "pages")]
    pub intervals: Vec<Interval>,
    /// What was discarded.
    #[serde(rename = "lost")]
    pub discarded: DiscardedIntervals,
    /// The faults, the oldest first.
    #[serde(rename = "spells", default)]
    pub faults: Vec<FaultInterval>,
    /// The rejected versions, the oldest first.
    #[serde(rename = "turned_down", default)]
    pub rejected: Vec<RejectedVersion>,
}

impl RecordSnapshot {
    /// Discards the oldest interval, but never the last one that is left. Returns whether there was
    /// one to discard.
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
