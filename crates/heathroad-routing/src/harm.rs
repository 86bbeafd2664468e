//! Whether a change harms: each pool that it touches is held against the time before and against
//! the pools that it does not touch. What gets worse everywhere is not the change's doing.

use std::collections::BTreeMap;

/// Fewer requests than this prove nothing.
const ENOUGH: f64 = 40.0;
/// A difference in a share must surely be larger than this ...
const MARGIN: f64 = 0.05;
/// ... and so many standard deviations, in a test that is made again each second for every pool: 5
/// of them come by chance once in some millions of looks.
const SIGMAS: f64 = 5.0;
/// Cold backends so near their budget, as a part of it, are harm at once: past 1 they fall over and
/// stay down.
const COLD: f64 = 0.9;

/// What a pool did in a span of time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Sample {
    /// Requests that had their final answer.
    pub requests: f64,
    /// Of them, failed.
    pub failed: f64,
    /// Of them, refused.
    pub refused: f64,
    /// Of them, served later than their aim.
    pub late: f64,
    /// The nearest that one of its cold backends came to its budget, as a part of it.
    pub cold: f64,
}

impl Sample {
    fn add(&mut self, other: &Sample) {
        self.requests += other.requests;
        self.failed += other.failed;
        self.refused += other.refused;
        self.late += other.late;
        self.cold = self.cold.max(other.cold);
    }

    fn share(&self, of: f64) -> f64 {
        if self.requests > 0.0 {
            of / self.requests
        } else {
            0.0
        }
    }
}

/// What is counted of a sample, and its name.
type View = (&'static str, fn(&Sample) -> f64);

const VIEWS: [View; 4] = [
    ("failed", |s| s.failed),
    ("refused", |s| s.refused),
    ("late", |s| s.late),
    // What a change does to worth is the sum of the three: each may hide below the margin.
    ("not served in time", |s| s.failed + s.refused + s.late),
];

/// A change that harms a pool.
#[derive(Debug, Clone, PartialEq)]
pub struct Harm {
    /// The pool.
    pub pool: String,
    /// What is worse.
    pub what: &'static str,
    /// Its share before, now, and what the untouched pools let expect now. For cold backends: their
    /// budget's part.
    pub before: f64,
    /// See `before`.
    pub now: f64,
    /// See `before`.
    pub expected: f64,
}

impl Harm {
    /// In words.
    pub fn words(&self) -> String {
        let Harm {
            pool,
            what,
            before,
            now,
            expected,
        } = self;
        format!("pool {pool}: {what} {now:.3}, before {before:.3}, expected {expected:.3}")
    }
}

/// Watches a change.
#[derive(Debug, Clone, Default)]
pub struct Watch {
    before: BTreeMap<String, Sample>,
    now: BTreeMap<String, Sample>,
    touched: Vec<String>,
    /// A new pool is held against those whose requests it takes over.
    heirs: BTreeMap<String, Vec<String>>,
}

impl Watch {
    /// Watches the pools that a change touches; `heirs` tells whose requests a new pool takes over.
    pub fn new(
        before: BTreeMap<String, Sample>,
        touched: Vec<String>,
        heirs: BTreeMap<String, Vec<String>>,
    ) -> Self {
        Watch {
            before,
            now: BTreeMap::new(),
            touched,
            heirs,
        }
    }

    /// Takes note of what a pool did since the last time.
    pub fn saw(&mut self, pool: &str, sample: &Sample) {
        self.now.entry(pool.to_string()).or_default().add(sample);
    }

    /// What was seen of each pool.
    pub fn into_seen(self) -> BTreeMap<String, Sample> {
        self.now
    }

    /// The first harm that is beyond chance.
    pub fn harm(&self) -> Option<Harm> {
        let untouched = |of: &BTreeMap<String, Sample>| {
            let mut sum = Sample::default();
            of.iter()
                .filter(|(p, _)| !self.touched.contains(p))
                .for_each(|(_, s)| sum.add(s));
            sum
        };
        let (control_before, control_now) = (untouched(&self.before), untouched(&self.now));
        for pool in &self.touched {
            let Some(now) = self.now.get(pool) else {
                continue;
            };
            if now.cold > COLD {
                let (pool, what) = (pool.clone(), "a cold backend's budget");
                return Some(Harm {
                    pool,
                    what,
                    before: 0.0,
                    now: now.cold,
                    expected: COLD,
                });
            }
            if now.requests < ENOUGH {
                continue;
            }
            let before = self.baseline(pool);
            for (what, count) in VIEWS {
                let share = |s: &Sample| s.share(count(s));
                // What became worse beside the change, over enough requests to say so.
                let drift = match control_before.requests.min(control_now.requests) {
                    n if n >= ENOUGH => (share(&control_now) - share(&control_before)).max(0.0),
                    _ => 0.0,
                };
                let expected = (share(&before) + drift).min(1.0);
                // A rate that was 0 so far is not known to be 0 for ever: one more than was counted
                // (Laplace).
                let p = ((count(&before) + 1.0) / (before.requests + 2.0))
                    .max(expected)
                    .min(1.0);
                let n = 1.0 / (1.0 / now.requests + 1.0 / before.requests.max(1.0));
                let chance = SIGMAS * (p * (1.0 - p) / n).sqrt();
                let by = share(now) - expected;
                // And what was seen must itself lie beyond the margin, whatever chance there is in
                // it.
                let seen = share(now);
                let surely = by - SIGMAS * (seen * (1.0 - seen) / now.requests).sqrt();
                if by > chance && surely > MARGIN {
                    let (pool, now) = (pool.clone(), share(now));
                    return Some(Harm {
                        pool,
                        what,
                        before: share(&before),
                        now,
                        expected,
                    });
                }
            }
        }
        None
    }

    fn baseline(&self, pool: &str) -> Sample {
        let mut sum = self.before.get(pool).copied().unwrap_or_default();
        if sum.requests < ENOUGH {
            let from = self.heirs.get(pool).map(Vec::as_slice).unwrap_or_default();
            from.iter()
                .filter_map(|p| self.before.get(p))
                .for_each(|s| sum.add(s));
        }
        sum
    }
}
