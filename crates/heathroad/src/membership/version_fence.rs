//! The version fence: whether this proxy may still act on its generation of routes. It may not
//! after the deadline of a higher generation that is required, nor, where it is told to fence
//! itself, while it cannot know what is required.

use heathroad_membership::desired_version::RequiredVersion;
use heathroad_membership::version::Digest;
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::time::Instant;

/// A requirement, with its deadline as an instant.
#[derive(Debug, Clone, Copy)]
pub struct Requirement {
    /// What is required.
    pub version: RequiredVersion,
    /// When it takes effect.
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
    /// For how long all requirements are known after a member has answered; none if this proxy does
    /// not fence itself when it cannot know them.
    fence_unsure_after: Option<Duration>,
    sure_until: Cell<Option<Instant>>,
}

impl VersionFence {
    pub(super) fn new(fence_unsure_after: Option<Duration>) -> VersionFence {
        VersionFence {
            requirements: RefCell::default(),
            fence_unsure_after,
            sure_until: Cell::default(),
        }
    }

    pub(super) fn set_requirements(&self, requirements: Vec<Requirement>) {
        self.requirements.replace(requirements);
    }

    pub(super) fn set_sure_until(&self, until: Option<Instant>) {
        self.sure_until.set(until);
    }

    pub(super) fn fence_unsure_after(&self) -> Option<Duration> {
        self.fence_unsure_after
    }

    /// Whether this proxy may act on a generation of routes. The clock is read each time: a proxy
    /// that has stalled finds out before its next action.
    pub(super) fn permits(&self, generation: u64, routes: Digest) -> bool {
        let requirements = self.requirements.borrow();
        if requirements.is_empty() && self.fence_unsure_after.is_none() {
            return true;
        }
        let now = Instant::now();
        let is_forbidden = requirements
            .iter()
            .any(|requirement| requirement.forbids(generation, routes, now));
        !is_forbidden && !self.is_unsure(now)
    }

    fn is_unsure(&self, now: Instant) -> bool {
        let has_expired = self.sure_until.get().is_none_or(|until| now >= until);
        self.fence_unsure_after.is_some() && has_expired
    }
}
