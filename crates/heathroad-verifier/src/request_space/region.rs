//! Regions: boxes in the request space.

use std::ops::Range;

/// The requests whose value in each dimension lies in an interval. A region is never empty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Region(pub(super) Vec<Range<u32>>);

impl Region {
    /// Returns the requests that are in both regions, if there are any.
    pub fn intersection(&self, other: &Region) -> Option<Region> {
        let pairs = self.0.iter().zip(&other.0);
        let intervals: Vec<Range<u32>> = pairs
            .map(|(a, b)| a.start.max(b.start)..a.end.min(b.end))
            .collect();
        Region(intervals).non_empty()
    }

    /// Whether some request is in both regions.
    pub fn intersects(&self, other: &Region) -> bool {
        let mut pairs = self.0.iter().zip(&other.0);
        pairs.all(|(a, b)| a.start.max(b.start) < a.end.min(b.end))
    }

    /// Returns the intervals by dimension.
    pub fn intervals(&self) -> &[Range<u32>] {
        &self.0
    }

    /// Returns the region with another interval in one dimension.
    pub fn with_interval(&self, dimension: usize, interval: Range<u32>) -> Region {
        let mut intervals = self.0.clone();
        intervals[dimension] = interval;
        Region(intervals)
    }

    /// Returns the region with a single value in one dimension.
    pub fn with_value(&self, dimension: usize, value: u32) -> Region {
        self.with_interval(dimension, value..value + 1)
    }

    /// Returns the region if it contains a request.
    pub(super) fn non_empty(self) -> Option<Region> {
        let is_empty = self.0.iter().any(|interval| interval.start >= interval.end);
        (!is_empty).then_some(self)
    }
}
