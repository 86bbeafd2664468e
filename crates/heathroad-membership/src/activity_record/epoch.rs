//! Shared handles through which activity is counted in an interval.

use super::UnixMillis;
use super::counts::Activity;
use super::snapshot::Interval;
use crate::version::Digest;
use std::cell::{Ref, RefCell, RefMut};
use std::rc::Rc;

/// A shared handle to an interval of a record. It stays valid after the interval has ended, has
/// been merged into another one, or has been discarded.
#[derive(Debug)]
pub struct Epoch {
    interval: RefCell<Interval>,
    /// The epoch that counts the activity of this one since the two were merged.
    merged_into: RefCell<Option<Rc<Epoch>>>,
}

impl Epoch {
    pub(super) fn new(interval: Interval) -> Rc<Epoch> {
        Rc::new(Epoch {
            interval: RefCell::new(interval),
            merged_into: RefCell::default(),
        })
    }

    /// Counts one activity.
    pub fn record(self: &Rc<Self>, activity: Activity, now: UnixMillis) {
        let epoch = self.resolve();
        let mut interval = epoch.interval.borrow_mut();
        interval.activity += activity;
        let first = interval.first_activity.unwrap_or(now).min(now);
        let last = interval.last_activity.unwrap_or(now).max(now);
        interval.first_activity = Some(first);
        interval.last_activity = Some(last);
    }

    /// Returns the digest of the version in force.
    pub fn digest(&self) -> Digest {
        self.interval.borrow().digest
    }

    /// Returns the generation of the version's routes.
    pub fn generation(&self) -> u64 {
        self.interval.borrow().version.generation
    }

    /// Returns the digest of the version's routes.
    pub fn routes(&self) -> Digest {
        self.interval.borrow().version.routes
    }

    pub(super) fn interval(&self) -> Ref<'_, Interval> {
        self.interval.borrow()
    }

    pub(super) fn interval_mut(&self) -> RefMut<'_, Interval> {
        self.interval.borrow_mut()
    }

    /// Redirects further activity to another epoch.
    pub(super) fn merge_into(&self, epoch: &Rc<Epoch>) {
        self.merged_into.replace(Some(epoch.clone()));
    }

    /// Follows merges to the epoch that counts the activity of this one.
    fn resolve(self: &Rc<Self>) -> Rc<Epoch> {
        let mut epoch = self.clone();
        loop {
            let next = epoch.merged_into.borrow().clone();
            let Some(next) = next else { return epoch };
            epoch = next;
        }
    }
}
