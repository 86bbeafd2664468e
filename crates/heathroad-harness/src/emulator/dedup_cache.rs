//! What backends remember of keyed requests: a repeat inside the window is dropped, a later one can
//! run again. One memory serves all backends that drop each other's repeats.

use crate::clock::Micros;
use std::collections::{HashMap, VecDeque};

/// The keys seen by a group of backends.
#[derive(Debug, Default)]
pub struct DedupCache {
    seen: HashMap<u64, Micros>,
    /// By age, to forget.
    order: VecDeque<(Micros, u64)>,
}

impl DedupCache {
    /// Takes note of a key at a time, to be remembered for `window`; whether it is a repeat of one
    /// remembered. A repeat does not make it remembered for longer.
    pub fn repeats(&mut self, now: Micros, key: u64, window: Micros) -> bool {
        while let Some((_, key)) = self
            .order
            .front()
            .copied()
            .filter(|(until, _)| *until <= now)
        {
            self.order.pop_front();
            if self.seen.get(&key).is_some_and(|until| *until <= now) {
                self.seen.remove(&key);
            }
        }
        if self.seen.contains_key(&key) {
            return true;
        }
        self.seen.insert(key, now + window);
        // Windows differ by class: what is forgotten late is forgotten when it is asked for.
        let place = self
            .order
            .partition_point(|(until, _)| *until <= now + window);
        self.order.insert(place, (now + window, key));
        false
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_repeat_is_dropped_inside_the_window_and_runs_after_it() {
        let mut dedup_cache = DedupCache::default();
        assert!(!dedup_cache.repeats(0, 7, 10));
        assert!(dedup_cache.repeats(9, 7, 10), "inside the window");
        assert!(
            !dedup_cache.repeats(10, 7, 10),
            "the repeat did not lengthen it"
        );
        assert!(dedup_cache.repeats(19, 7, 10));
        assert!(!dedup_cache.repeats(12, 8, 100));
        assert!(
            !dedup_cache.repeats(25, 9, 1),
            "shorter windows end behind longer ones"
        );
        assert!(!dedup_cache.repeats(26, 9, 1));
        assert_eq!(dedup_cache.seen.len(), 2, "what is past is forgotten");
    }
}
