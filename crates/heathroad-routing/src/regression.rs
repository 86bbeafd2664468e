//! Detection of regressions caused by a change on probation.
//!
//! Each affected pool is compared with its samples before the change, and with the pools that the
//! change does not affect, so that a general degradation is not attributed to the change.

use std::collections::BTreeMap;
use std::fmt;

/// The minimum number of requests for a comparison.
const MIN_REQUESTS: f64 = 40.0;
/// The minimum growth of a rate that counts as a regression, after allowing for deviations.
const RATE_MARGIN: f64 = 0.05;
/// The minimum growth of a rate in standard deviations. The test runs every second for every pool,
/// and five standard deviations occur by chance only once in millions of tests.
const MIN_DEVIATIONS: f64 = 5.0;
/// The used fraction of its warm-up budget above which a backend is overloaded.
const MAX_WARMUP_BUDGET_USED: f64 = 0.9;

/// The outcomes of a pool's requests in a period.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PoolSample {
    /// The number of requests with a final response.
    pub requests: f64,
    /// The number of these that failed.
    pub failed: f64,
    /// The number of these that were rejected.
    pub rejected: f64,
    /// The number of these that were served later than their latency objective.
    pub late: f64,
    /// The highest fraction of its warm-up budget that any backend has used.
    pub warmup_budget_used: f64,
}

impl PoolSample {
    fn add(&mut self, other: &PoolSample) {
        self.requests += other.requests;
        self.failed += other.failed;
        self.rejected += other.rejected;
        self.late += other.late;
        self.warmup_budget_used = self.warmup_budget_used.max(other.warmup_budget_used);
    }

    /// Multiplies this sample by a decay factor and adds a later sample.
    pub(crate) fn add_decayed(&mut self, factor: f64, later: &PoolSample) {
        let budget_used = self.warmup_budget_used.max(later.warmup_budget_used);
        *self = PoolSample {
            requests: self.requests * factor + later.requests,
            failed: self.failed * factor + later.failed,
            rejected: self.rejected * factor + later.rejected,
            late: self.late * factor + later.late,
            warmup_budget_used: budget_used * factor,
        };
    }

    fn rate(&self, count: f64) -> f64 {
        if self.requests > 0.0 {
            count / self.requests
        } else {
            0.0
        }
    }
}

/// A rate that is compared before and after a change.
struct Indicator {
    name: &'static str,
    count: fn(&PoolSample) -> f64,
}

impl Indicator {
    fn rate(&self, sample: &PoolSample) -> f64 {
        sample.rate((self.count)(sample))
    }
}

const INDICATORS: [Indicator; 4] = [
    Indicator {
        name: "failed",
        count: |s| s.failed,
    },
    Indicator {
        name: "rejected",
        count: |s| s.rejected,
    },
    Indicator {
        name: "late",
        count: |s| s.late,
    },
    // The sum may exceed the margin even if none of its terms does.
    Indicator {
        name: "not served in time",
        count: |s| s.failed + s.rejected + s.late,
    },
];

/// A statistically significant regression of a pool.
#[derive(Debug, Clone, PartialEq)]
pub struct Regression {
    /// The pool.
    pub pool: String,
    /// The name of the indicator that got worse.
    pub indicator: &'static str,
    /// The rate before the change.
    pub before: f64,
    /// The rate under the change.
    pub now: f64,
    /// The rate expected from the time before the change and the drift of unaffected pools.
    pub expected: f64,
}

impl fmt::Display for Regression {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Regression {
            pool,
            indicator,
            before,
            now,
            expected,
        } = self;
        write!(
            f,
            "pool {pool}: {indicator} {now:.3}, before {before:.3}, expected {expected:.3}"
        )
    }
}

/// Compares pools under a change with their samples before it.
#[derive(Debug, Clone, Default)]
pub struct RegressionDetector {
    before: BTreeMap<String, PoolSample>,
    now: BTreeMap<String, PoolSample>,
    affected_pools: Vec<String>,
    predecessors: BTreeMap<String, Vec<String>>,
}

impl RegressionDetector {
    /// Starts to observe a change.
    ///
    /// `before` holds the samples before the change, `affected_pools` the pools that it affects, and
    /// `predecessors` the pools whose requests a pool takes over, with which a new pool is compared.
    pub fn new(
        before: BTreeMap<String, PoolSample>,
        affected_pools: Vec<String>,
        predecessors: BTreeMap<String, Vec<String>>,
    ) -> Self {
        RegressionDetector {
            before,
            now: BTreeMap::new(),
            affected_pools,
            predecessors,
        }
    }

    /// Adds a sample of a pool under the change.
    pub fn record(&mut self, pool: &str, sample: &PoolSample) {
        self.now.entry(pool.to_string()).or_default().add(sample);
    }

    /// Returns the samples under the change.
    pub fn into_samples(self) -> BTreeMap<String, PoolSample> {
        self.now
    }

    /// Returns the first statistically significant regression.
    pub fn detect(&self) -> Option<Regression> {
        let control_before = self.sum_unaffected(&self.before);
        let control_now = self.sum_unaffected(&self.now);
        self.affected_pools.iter().find_map(|pool| {
            let now = self.now.get(pool)?;
            if now.warmup_budget_used > MAX_WARMUP_BUDGET_USED {
                return Some(warmup_overload(pool, now));
            }
            if now.requests < MIN_REQUESTS {
                return None;
            }
            let before = self.baseline(pool);
            INDICATORS.iter().find_map(|indicator| {
                let drift = drift(indicator, &control_before, &control_now);
                compare(pool, indicator, &before, now, drift)
            })
        })
    }

    fn sum_unaffected(&self, samples: &BTreeMap<String, PoolSample>) -> PoolSample {
        let mut sum = PoolSample::default();
        for (pool, sample) in samples {
            if !self.affected_pools.contains(pool) {
                sum.add(sample);
            }
        }
        sum
    }

    /// Returns the sample before the change, plus those of the predecessors if it is too small.
    fn baseline(&self, pool: &str) -> PoolSample {
        let mut sum = self.before.get(pool).copied().unwrap_or_default();
        if sum.requests < MIN_REQUESTS {
            let predecessors = self.predecessors.get(pool).into_iter().flatten();
            for sample in predecessors.filter_map(|p| self.before.get(p)) {
                sum.add(sample);
            }
        }
        sum
    }
}

fn warmup_overload(pool: &str, now: &PoolSample) -> Regression {
    Regression {
        pool: pool.to_string(),
        indicator: "warm-up budget used",
        before: 0.0,
        now: now.warmup_budget_used,
        expected: MAX_WARMUP_BUDGET_USED,
    }
}

/// Returns the growth of a rate in the unaffected pools, or 0 if they have too few requests.
fn drift(indicator: &Indicator, before: &PoolSample, now: &PoolSample) -> f64 {
    if before.requests.min(now.requests) >= MIN_REQUESTS {
        (indicator.rate(now) - indicator.rate(before)).max(0.0)
    } else {
        0.0
    }
}

/// Tests whether a pool's rate has grown significantly, beyond the margin and the drift.
fn compare(
    pool: &str,
    indicator: &Indicator,
    before: &PoolSample,
    now: &PoolSample,
    drift: f64,
) -> Option<Regression> {
    let (rate_before, rate_now) = (indicator.rate(before), indicator.rate(now));
    let expected = (rate_before + drift).min(1.0);
    // Laplace's rule of succession: no occurrences so far do not imply a probability of 0.
    let smoothed = ((indicator.count)(before) + 1.0) / (before.requests + 2.0);
    let probability = smoothed.max(expected).min(1.0);
    let effective_requests = 1.0 / (1.0 / now.requests + 1.0 / before.requests.max(1.0));
    let deviation = (probability * (1.0 - probability) / effective_requests).sqrt();
    let growth = rate_now - expected;
    // The growth must also exceed the margin by the deviation of the observed rate.
    let observed_deviation = (rate_now * (1.0 - rate_now) / now.requests).sqrt();
    let significant_growth = growth - MIN_DEVIATIONS * observed_deviation;
    let is_regression = growth > MIN_DEVIATIONS * deviation && significant_growth > RATE_MARGIN;
    is_regression.then(|| Regression {
        pool: pool.to_string(),
        indicator: indicator.name,
        before: rate_before,
        now: rate_now,
        expected,
    })
}
