//! Class slices: each priority level has its own share of the concurrency limit and its own queue.

use crate::api::{Class, RequestId, Settings};
use std::collections::VecDeque;

/// Priorities that differ by less than this share a level.
const LEVEL_TOLERANCE: f64 = 1e-9;
/// Lower bound of a sum or mean of weights, to avoid division by zero.
const MIN_WEIGHT: f64 = 1e-9;

/// A slice of the concurrency limit.
#[derive(Default)]
pub(crate) struct Slice {
    /// Its share of the limit.
    pub share: f64,
    /// Its attempts that count against the limit.
    pub in_flight: f64,
    /// Its queued requests, oldest first.
    pub queue: VecDeque<RequestId>,
}

impl Slice {
    /// Returns the slice's limit: its share of the total, rounded up, at least one attempt.
    pub fn limit(&self, total: f64) -> f64 {
        (total * self.share).ceil().max(1.0)
    }
}

/// The two slices of a class.
#[derive(Clone, Copy)]
struct SlicesOfClass {
    regular: usize,
    low_priority: usize,
}

/// The priorities of a class's regular and demoted requests.
struct ClassPriority {
    regular: f64,
    low: f64,
}

/// All slices, highest priority first.
#[derive(Default)]
pub(crate) struct ClassSlices {
    slices: Vec<Slice>,
    by_class: Vec<SlicesOfClass>,
}

impl ClassSlices {
    pub fn new(settings: &Settings) -> Self {
        let priorities = class_priorities(settings);
        let levels = priority_levels(settings, &priorities);
        // A level with only demoted requests has no guaranteed share beyond the minimum of one
        // attempt; it uses the capacity that other slices leave free.
        let weight = |level: f64| {
            let is_regular = priorities.iter().any(|p| is_same_level(p.regular, level));
            if is_regular { level } else { 0.0 }
        };
        let sum: f64 = levels.iter().map(|&l| weight(l)).sum();
        let sum = sum.max(MIN_WEIGHT);
        let index = |priority: f64| {
            let found = levels.iter().position(|&l| is_same_level(l, priority));
            found.unwrap_or(0)
        };
        let slice = |&level: &f64| Slice {
            share: weight(level) / sum,
            ..Slice::default()
        };
        let of_class = |priority: &ClassPriority| SlicesOfClass {
            regular: index(priority.regular),
            low_priority: index(priority.low),
        };
        ClassSlices {
            slices: levels.iter().map(slice).collect(),
            by_class: priorities.iter().map(of_class).collect(),
        }
    }

    /// Returns the index of the slice for a class's regular or low-priority requests.
    pub fn index(&self, class: usize, low_priority: bool) -> usize {
        let slices = self.by_class[class];
        if low_priority {
            slices.low_priority
        } else {
            slices.regular
        }
    }

    pub fn len(&self) -> usize {
        self.slices.len()
    }

    pub fn iter(&self) -> impl Iterator<Item = &Slice> {
        self.slices.iter()
    }

    /// Returns the number of requests in all queues.
    pub fn queued(&self) -> usize {
        self.slices.iter().map(|s| s.queue.len()).sum()
    }

    /// Returns whether an attempt may be sent, which is the case until both the total limit and the
    /// slice's limit are reached.
    pub fn admits(&self, index: usize, in_flight: f64, limit: f64) -> bool {
        let (slice, total) = (&self.slices[index], limit.floor());
        in_flight < total || slice.in_flight < slice.limit(total)
    }
}

impl std::ops::Index<usize> for ClassSlices {
    type Output = Slice;

    fn index(&self, index: usize) -> &Slice {
        &self.slices[index]
    }
}

impl std::ops::IndexMut<usize> for ClassSlices {
    fn index_mut(&mut self, index: usize) -> &mut Slice {
        &mut self.slices[index]
    }
}

fn is_same_level(a: f64, b: f64) -> bool {
    (a - b).abs() < LEVEL_TOLERANCE
}

/// Returns the priorities of each class. The weight of the worst-served class is distributed
/// equally over all classes, the rest by priority weight.
fn class_priorities(settings: &Settings) -> Vec<ClassPriority> {
    let weights = settings.classes.iter().map(|c| c.priority_weight);
    let mean = weights.sum::<f64>() / settings.classes.len() as f64;
    let equal_part = settings.objectives.worst_class_weight;
    let priority = |class: &Class| {
        let regular =
            (1.0 - equal_part) * class.priority_weight / mean.max(MIN_WEIGHT) + equal_part;
        ClassPriority {
            regular,
            low: regular * settings.over_quota_priority,
        }
    };
    settings.classes.iter().map(priority).collect()
}

/// Returns the distinct priorities, highest first. Priorities of demoted requests are included if
/// requests can be demoted.
fn priority_levels(settings: &Settings, priorities: &[ClassPriority]) -> Vec<f64> {
    let has_quotas = settings.tier == 0 && !settings.tenants.is_empty();
    let can_demote = has_quotas || settings.priority_forwarded;
    let mut levels = Vec::new();
    for priority in priorities {
        levels.push(priority.regular);
        if can_demote {
            levels.push(priority.low);
        }
    }
    levels.sort_by(|a, b| b.total_cmp(a));
    levels.dedup_by(|a, b| is_same_level(*a, *b));
    levels
}
