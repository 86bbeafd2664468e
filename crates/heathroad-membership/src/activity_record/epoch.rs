//! An epoch: a shared handle on an interval, by which activity is counted.

use super::UnixMillis;
use super::counts::Activity;
use super::snapshot::Interval;
use crate::version::Digest;
use std::cell::{Ref, RefCell, RefMut};
use std::rc::Rc;

/// A handle on an interval of a record. Whoever holds it may count activity for as long as it
/// likes, also after the interval was merged or discarded.
#[derive(Debug)]
pub struct Epoch {
    interval: RefCell<Interval>,
    /// The epoch of which this one has become a part.
    merged_into: RefCell<Option<Rc<Epoch>>>,
}

impl Epoch {
    pub(super) fn new(interval: Interval) -> Rc<Epoch> {
        Rc::new(Epoch {
            interval: RefCell::new(interval),
            merged_into: RefCell::default(),
        })
    }

    /// Counts an activity.
    pub fn record(self: &Rc<Self>, activity: Activity, now: UnixMillis) {
        let epoch = self.resolve();
        let mut interval = epoch.interval.borrow_mut();
        interval.activity += activity;
        let first = interval.first_activity.unwrap_or(now).min(now);
        let last = interval.last_activity.unwrap_or(now).max(now);
        interval.first_activity = Some(first);
        interval.last_activity = Some(last);
    }

    /// Returns the digest of the version.
    pub fn digest(&self) -> Digest {
        self.interval.borrow().digest
    }

    /// Returns the number of the version's generation of routes.
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

    /// Has activity counted by another epoch from now on.
    pub(super) fn merge_into(&self, epoch: &Rc<Epoch>) {
        self.merged_into.replace(Some(epoch.clone()));
    }

    /// Returns the epoch that counts the activity of this one.
    fn resolve(self: &Rc<Self>) -> Rc<Epoch> {
        let mut epoch = self.clone();
        loop {
            let next = epoch.merged_into.borrow().clone();
            let Some(next) = next else { return epoch };
            epoch = next;
        }
    }
}
