//! The IDs under which clients may not send a request: those of open requests, and those of requests
//! that may have been executed although their client received no response, or a failure.

use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::time::Duration;
use tokio::time::Instant;

/// How long the ID of a request that may have been executed stays taken.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of such IDs; beyond it, the oldest is free again.
const MAX_RETAINED: usize = 16 * 1024;

/// The IDs that are taken.
#[derive(Default)]
pub struct RequestIds {
    open: RefCell<HashSet<HeaderValue>>,
    retained: RefCell<RetainedIds>,
}

impl RequestIds {
    /// Takes an ID for an open request; returns false if it is taken.
    pub fn open(&self, id: &HeaderValue) -> bool {
        let is_retained = self.retained.borrow_mut().contains(id, Instant::now());
        !is_retained && self.open.borrow_mut().insert(id.clone())
    }

    /// Frees the ID of a request that has ended, unless `may_have_run` states that a second request
    /// under it could be executed as well.
    pub fn close(&self, id: &HeaderValue, may_have_run: bool) {
        self.open.borrow_mut().remove(id);
        if may_have_run {
            self.retain(self.fingerprint(id));
        }
    }

    /// Returns the fingerprint of an ID, for a later [`RequestIds::retain`].
    pub fn fingerprint(&self, id: &HeaderValue) -> IdFingerprint {
        self.retained.borrow().fingerprint(id)
    }

    /// Takes the ID of a request that may have been executed for [`RETENTION`].
    pub fn retain(&self, id: IdFingerprint) {
        self.retained.borrow_mut().insert(id, Instant::now());
    }
}

/// The hash of an ID, which a client cannot predict. It needs no memory of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct IdFingerprint(u64);

/// IDs that stay taken for [`RETENTION`].
#[derive(Default)]
struct RetainedIds {
    hasher: RandomState,
    ids: HashSet<IdFingerprint>,
    /// When each ID is free again, oldest first.
    expiries: VecDeque<(Instant, IdFingerprint)>,
}

impl RetainedIds {
    fn fingerprint(&self, id: &HeaderValue) -> IdFingerprint {
        IdFingerprint(self.hasher.hash_one(id))
    }

    fn insert(&mut self, id: IdFingerprint, now: Instant) {
        self.remove_expired(now);
        if self.expiries.len() >= MAX_RETAINED {
            self.remove_oldest();
        }
        if self.ids.insert(id) {
            self.expiries.push_back((now + RETENTION, id));
        }
    }

    fn contains(&mut self, id: &HeaderValue, now: Instant) -> bool {
        if self.ids.is_empty() {
            return false;
        }
        self.remove_expired(now);
        self.ids.contains(&self.fingerprint(id))
    }

    fn remove_expired(&mut self, now: Instant) {
        while self.expiries.front().is_some_and(|(at, _)| *at <= now) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, id)) = self.expiries.pop_front() {
            self.ids.remove(&id);
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/frontend_request_ids.rs"]
mod tests;
