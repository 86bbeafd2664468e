//! Idempotency keys that backends have seen: a duplicate within the window is dropped, a later one
//! runs again. Backends that deduplicate each other's requests share one cache.

use crate::clock::Micros;
use std::collections::{HashMap, VecDeque};

/// The idempotency keys seen by a group of backends, each with its expiry.
#[derive(Debug, Default)]
pub struct DedupCache {
    expiries: HashMap<u64, Micros>,
    /// Entries sorted by expiry, for eviction.
    by_expiry: VecDeque<(Micros, u64)>,
}

impl DedupCache {
    /// Returns whether `key` is a duplicate of a key that has not expired; otherwise stores it for
    /// `window`. A duplicate does not extend the expiry.
    pub fn is_duplicate(&mut self, now: Micros, key: u64, window: Micros) -> bool {
        while let Some((_, key)) = self
            .by_expiry
            .front()
            .copied()
            .filter(|(expiry, _)| *expiry <= now)
        {
            self.by_expiry.pop_front();
            if self.expiries.get(&key).is_some_and(|expiry| *expiry <= now) {
                self.expiries.remove(&key);
            }
        }
        if self.expiries.contains_key(&key) {
            return true;
        }
        self.expiries.insert(key, now + window);
        // Windows differ by class, so a new entry may expire before older ones.
        let position = self
            .by_expiry
            .partition_point(|(expiry, _)| *expiry <= now + window);
        self.by_expiry.insert(position, (now + window, key));
        false
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn duplicate_is_dropped_within_the_window_and_runs_after_it() {
        let mut dedup_cache = DedupCache::default();
        assert!(!dedup_cache.is_duplicate(0, 7, 10));
        assert!(dedup_cache.is_duplicate(9, 7, 10), "within the window");
        assert!(
            !dedup_cache.is_duplicate(10, 7, 10),
            "a duplicate does not extend the expiry"
        );
        assert!(dedup_cache.is_duplicate(19, 7, 10));
        assert!(!dedup_cache.is_duplicate(12, 8, 100));
        assert!(
            !dedup_cache.is_duplicate(25, 9, 1),
            "a shorter window added after a longer one expires first"
        );
        assert!(!dedup_cache.is_duplicate(26, 9, 1));
        assert_eq!(dedup_cache.expiries.len(), 2, "expired keys are evicted");
    }
}
