//! Kinds of activity and their counters.

use serde::{Deserialize, Serialize};
use std::ops::{Add, AddAssign};

/// An action of a proxy that depends on the version in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Activity {
    /// A request was bound to the version in force.
    RequestBound,
    /// An attempt was sent to a backend.
    AttemptSent,
    /// A request was answered with a response from a backend.
    RequestServed,
    /// A request was rejected.
    RequestRejected,
    /// A request failed or timed out, or its client disconnected.
    RequestFailed,
    /// A request was rejected before it was bound, because the proxy had fenced itself.
    RequestFenced,
    /// A configuration change was applied.
    ChangeApplied,
    /// A configuration change was rolled back.
    ChangeRolledBack,
}

/// The number of activities of each kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ActivityCounts {
    /// [`Activity::RequestBound`].
    pub bound: u64,
    /// [`Activity::AttemptSent`].
    pub sent: u64,
    /// [`Activity::RequestServed`].
    pub served: u64,
    /// [`Activity::RequestRejected`].
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// [`Activity::RequestFailed`].
    pub failed: u64,
    /// [`Activity::RequestFenced`].
    pub fenced: u64,
    /// [`Activity::ChangeApplied`].
    pub applied: u64,
    /// [`Activity::ChangeRolledBack`].
    #[serde(rename = "undone")]
    pub rolled_back: u64,
}

impl ActivityCounts {
    /// Returns the number of activities of all kinds.
    pub fn total(&self) -> u64 {
        let requests = self.bound + self.served + self.rejected + self.failed + self.fenced;
        requests + self.sent + self.applied + self.rolled_back
    }
}

impl AddAssign<Activity> for ActivityCounts {
    fn add_assign(&mut self, activity: Activity) {
        let count = match activity {
            Activity::RequestBound => &mut self.bound,
            Activity::AttemptSent => &mut self.sent,
            Activity::RequestServed => &mut self.served,
            Activity::RequestRejected => &mut self.rejected,
            Activity::RequestFailed => &mut self.failed,
            Activity::RequestFenced => &mut self.fenced,
            Activity::ChangeApplied => &mut self.applied,
            Activity::ChangeRolledBack => &mut self.rolled_back,
        };
        *count += 1;
    }
}

impl Add for ActivityCounts {
    type Output = ActivityCounts;

    fn add(self, other: ActivityCounts) -> ActivityCounts {
        ActivityCounts {
            bound: self.bound + other.bound,
            sent: self.sent + other.sent,
            served: self.served + other.served,
            rejected: self.rejected + other.rejected,
            failed: self.failed + other.failed,
            fenced: self.fenced + other.fenced,
            applied: self.applied + other.applied,
            rolled_back: self.rolled_back + other.rolled_back,
        }
    }
}

impl AddAssign for ActivityCounts {
    fn add_assign(&mut self, other: ActivityCounts) {
        *self = *self + other;
    }
}
