//! Ordering by key: requests of ordered classes that share a key are executed one at a time, in
//! order of arrival.

use crate::api::{Outcome, RequestId};
use crate::balancer::Balancer;
use std::collections::VecDeque;

/// The queue of one key.
#[derive(Default)]
pub(crate) struct KeyQueue {
    /// The requests in order of arrival.
    pub requests: VecDeque<RequestId>,
    /// The first request has been passed on to its slice.
    pub first_released: bool,
    /// No request is released before this time, since an attempt may still be executing.
    pub blocked_until: f64,
}

impl Balancer {
    /// Adds a request to the queue of its key, unless the key is 0. Returns whether the request has
    /// to wait for another one.
    pub(crate) fn join_key_queue(&mut self, key: u64, id: RequestId) -> bool {
        if key == 0 {
            return false;
        }
        let waits = self.key_queues.contains_key(&key);
        let queue = self.key_queues.entry(key).or_default();
        queue.requests.push_back(id);
        queue.first_released |= !waits;
        waits
    }

    /// Passes the first request in a key's queue on to its slice, unless the key is blocked.
    pub(crate) fn release_next_of_key(&mut self, now: f64, key: u64) {
        let Some(queue) = self.key_queues.get_mut(&key) else {
            return;
        };
        if queue.first_released || now <= queue.blocked_until {
            return;
        }
        let first = queue.requests.front();
        let known = first.and_then(|id| self.requests.get(id).map(|r| (*id, r.slice)));
        let Some((id, slice)) = known else {
            self.key_queues.remove(&key);
            return;
        };
        queue.first_released = true;
        self.slices[slice].queue.push_back(id);
    }

    /// Removes a request from the queue of its key, and releases the next one if it was the first.
    /// Must not be called while the request has an attempt in flight: only the first request of a
    /// key can have been sent, and its position is kept until all its attempts have ended.
    pub(crate) fn leave_key_queue(&mut self, now: f64, key: u64, id: RequestId) {
        let Some(queue) = self.key_queues.get_mut(&key) else {
            return;
        };
        queue.first_released &= queue.requests.front() != Some(&id);
        queue.requests.retain(|&other| other != id);
        self.release_next_of_key(now, key);
    }

    /// Blocks a key for a while after an attempt that may still be executing.
    pub(crate) fn block_key_if_outcome_unknown(&mut self, now: f64, key: u64, outcome: Outcome) {
        let may_execute = matches!(
            outcome,
            Outcome::Timeout | Outcome::Reset | Outcome::Cancelled
        );
        if let Some(queue) = self.key_queues.get_mut(&key).filter(|_| may_execute) {
            queue.blocked_until = now + self.settings.guarantees.unknown_outcome_delay;
        }
    }

    /// Returns the requests whose queue deadline passed while they waited for their key.
    pub(crate) fn expired_in_key_queues(&self, now: f64) -> Vec<RequestId> {
        let waiting = |queue: &KeyQueue| {
            let released = usize::from(queue.first_released);
            queue
                .requests
                .iter()
                .skip(released)
                .copied()
                .collect::<Vec<_>>()
        };
        let expired = |id: &RequestId| {
            let request = self.requests.get(id);
            request.is_some_and(|r| now >= r.queue_deadline)
        };
        self.key_queues
            .values()
            .flat_map(waiting)
            .filter(expired)
            .collect()
    }

    pub(crate) fn release_unblocked_keys(&mut self, now: f64) {
        let keys: Vec<u64> = self.key_queues.keys().copied().collect();
        for key in keys {
            self.release_next_of_key(now, key);
        }
    }
}
