//! The version fence decides whether this proxy may use its generation of routes. It may not after
//! the deadline of a higher required generation. If a fence timeout is set, it also may not while
//! the last confirmation of the requirements is older than that.

use heathroad_membership::desired_version::RequiredVersion;
use heathroad_membership::version::Digest;
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::time::Instant;

/// A required version with its deadline as an instant.
#[derive(Debug, Clone, Copy)]
pub struct Requirement {
    /// The required version.
    pub version: RequiredVersion,
    /// When older generations become forbidden.
    pub deadline: Instant,
}

impl Requirement {
    fn forbids(&self, generation: u64, routes: Digest, now: Instant) -> bool {
        let is_met = generation >= self.version.generation || routes == self.version.digest;
        !is_met && now >= self.deadline
    }
}

/// The state of the fence.
pub(super) struct VersionFence {
    requirements: RefCell<Vec<Requirement>>,
    /// How long a confirmation of the requirements is valid. Without it, this proxy does not fence
    /// itself for lack of confirmation.
    fence_unsure_after: Option<Duration>,
    confirmed_until: Cell<Option<Instant>>,
}

impl VersionFence {
    pub(super) fn new(fence_unsure_after: Option<Duration>) -> VersionFence {
        VersionFence {
            requirements: RefCell::default(),
            fence_unsure_after,
            confirmed_until: Cell::default(),
        }
    }

    pub(super) fn set_requirements(&self, requirements: Vec<Requirement>) {
        self.requirements.replace(requirements);
    }

    pub(super) fn set_confirmed_until(&self, until: Option<Instant>) {
        self.confirmed_until.set(until);
    }

    pub(super) fn fence_unsure_after(&self) -> Option<Duration> {
        self.fence_unsure_after
    }

    /// Returns whether this proxy may use a generation of routes. The clock is read on each call,
    /// so that a stalled proxy is fenced before its next action.
    pub(super) fn permits(&self, generation: u64, routes: Digest) -> bool {
        let requirements = self.requirements.borrow();
        if requirements.is_empty() && self.fence_unsure_after.is_none() {
            return true;
        }
        let now = Instant::now();
        let is_forbidden = requirements
            .iter()
            .any(|requirement| requirement.forbids(generation, routes, now));
        !is_forbidden && !self.is_unconfirmed(now)
    }

    fn is_unconfirmed(&self, now: Instant) -> bool {
        let has_expired = self.confirmed_until.get().is_none_or(|until| now >= until);
        self.fence_unsure_after.is_some() && has_expired
    }
}
