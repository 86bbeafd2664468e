//! Regression detection on random samples: harmful changes are detected soon, and harmless changes
//! are never reported, even if all pools degrade.

use heathroad_routing::regression::{PoolSample, Regression, RegressionDetector};
use std::collections::BTreeMap;

/// The duration of an observation.
const SECONDS: usize = 30;

/// Draws the outcomes of a pool's requests in one second by their probabilities.
fn random_sample(
    rng: &mut fastrand::Rng,
    requests_per_s: f64,
    failed: f64,
    rejected: f64,
    late: f64,
) -> PoolSample {
    let mut sample = PoolSample::default();
    for _ in 0..requests_per_s.round() as usize {
        sample.requests += 1.0;
        let random = rng.f64();
        if random < failed {
            sample.failed += 1.0;
        } else if random < failed + rejected {
            sample.rejected += 1.0;
        } else if random < failed + rejected + late {
            sample.late += 1.0;
        }
    }
    sample
}

fn sum(samples: impl Iterator<Item = PoolSample>) -> PoolSample {
    samples.fold(PoolSample::default(), |a, b| PoolSample {
        requests: a.requests + b.requests,
        failed: a.failed + b.failed,
        rejected: a.rejected + b.rejected,
        late: a.late + b.late,
        warmup_budget_used: a.warmup_budget_used.max(b.warmup_budget_used),
    })
}

/// Simulates a change that affects some pools, and returns the first regression with its second.
///
/// `pools` holds the probabilities of each pool before and after the change that a request fails, is
/// rejected or is late, and `predecessors` the new pools and the pools whose requests they take over.
fn observe_change(
    seed: u64,
    requests_per_s: f64,
    pools: &[(&str, [f64; 3], [f64; 3])],
    affected: &[&str],
    predecessors: &[(&str, &str)],
    warmup_budget_used: f64,
) -> Option<(usize, Regression)> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut before = BTreeMap::new();
    for (pool, [failed, rejected, late], _) in pools
        .iter()
        .filter(|(p, ..)| predecessors.iter().all(|(new, _)| new != p))
    {
        before.insert(
            pool.to_string(),
            sum((0..20).map(|_| random_sample(&mut rng, requests_per_s, *failed, *rejected, *late))),
        );
    }
    let predecessors = predecessors
        .iter()
        .map(|(new, old)| (new.to_string(), vec![old.to_string()]))
        .collect();
    let mut detector = RegressionDetector::new(
        before,
        affected
            .iter()
            .map(std::string::ToString::to_string)
            .collect(),
        predecessors,
    );
    for second in 0..SECONDS {
        for (pool, _, [failed, rejected, late]) in pools {
            let mut sample = random_sample(&mut rng, requests_per_s, *failed, *rejected, *late);
            if affected.contains(pool) {
                sample.warmup_budget_used = warmup_budget_used * (second as f64 / 5.0).min(1.0);
            }
            detector.record(pool, &sample);
        }
        if let Some(regression) = detector.detect() {
            return Some((second, regression));
        }
    }
    None
}

const HEALTHY: [f64; 3] = [0.01, 0.01, 0.03];

#[test]
fn regressions_are_detected_within_seconds() {
    for seed in 0..40 {
        for rate in [30.0, 200.0] {
            let change_to = |after| {
                observe_change(
                    seed,
                    rate,
                    &[("a", HEALTHY, after), ("b", HEALTHY, HEALTHY)],
                    &["a"],
                    &[],
                    0.0,
                )
            };
            let found = [
                ("failed", change_to([0.3, 0.01, 0.03])),
                ("rejected", change_to([0.01, 0.3, 0.03])),
                ("late", change_to([0.01, 0.01, 0.4])),
                (
                    "warm-up budget used",
                    observe_change(seed, rate, &[("a", HEALTHY, HEALTHY)], &["a"], &[], 0.95),
                ),
                // A new pool is compared with the pool whose requests it takes over.
                (
                    "failed",
                    observe_change(
                        seed,
                        rate,
                        &[("a", HEALTHY, HEALTHY), ("new", HEALTHY, [0.3, 0.0, 0.0])],
                        &["new"],
                        &[("new", "a")],
                        0.0,
                    ),
                ),
            ];
            for (indicator, detected) in found {
                let (second, regression) = detected
                    .unwrap_or_else(|| panic!("seed {seed}, rate {rate}: {indicator} is missed"));
                assert!(
                    regression.indicator == indicator
                        || regression.indicator == "not served in time",
                    "seed {seed}: {regression}"
                );
                assert!(
                    second <= 8,
                    "seed {seed}, rate {rate}: {indicator} after {second} s"
                );
                assert!(
                    regression.now > regression.expected
                        && regression.to_string().contains(&regression.pool)
                );
            }
        }
    }
}

#[test]
fn harmless_changes_are_not_reported() {
    for seed in 0..50 {
        let degraded = [0.2, 0.1, 0.2];
        let results = [
            // Nothing changes, at low and high request rates, in healthy and degraded pools.
            observe_change(
                seed,
                5.0,
                &[("a", HEALTHY, HEALTHY), ("b", HEALTHY, HEALTHY)],
                &["a"],
                &[],
                0.0,
            ),
            observe_change(
                seed,
                300.0,
                &[("a", HEALTHY, HEALTHY), ("b", HEALTHY, HEALTHY)],
                &["a"],
                &[],
                0.0,
            ),
            observe_change(
                seed,
                100.0,
                &[("a", degraded, degraded), ("b", HEALTHY, HEALTHY)],
                &["a"],
                &[],
                0.0,
            ),
            observe_change(
                seed,
                100.0,
                &[("a", [0.0; 3], [0.004, 0.0, 0.0])],
                &["a"],
                &[],
                0.0,
            ),
            // The rates improve, or worsen by less than the margin.
            observe_change(seed, 100.0, &[("a", degraded, HEALTHY)], &["a"], &[], 0.0),
            observe_change(
                seed,
                300.0,
                &[("a", HEALTHY, [0.02, 0.01, 0.04])],
                &["a"],
                &[],
                0.0,
            ),
            // Pools that the change does not affect degrade as well.
            observe_change(
                seed,
                200.0,
                &[("a", HEALTHY, degraded), ("b", HEALTHY, degraded)],
                &["a"],
                &[],
                0.0,
            ),
            observe_change(
                seed,
                60.0,
                &[
                    ("a", HEALTHY, degraded),
                    ("b", HEALTHY, degraded),
                    ("c", HEALTHY, degraded),
                ],
                &["a", "b"],
                &[],
                0.0,
            ),
            // Warming backends within their budget.
            observe_change(seed, 100.0, &[("a", HEALTHY, HEALTHY)], &["a"], &[], 0.85),
            // A new pool performs like its healthy or degraded predecessor.
            observe_change(
                seed,
                100.0,
                &[("a", HEALTHY, HEALTHY), ("n", HEALTHY, HEALTHY)],
                &["n"],
                &[("n", "a")],
                0.0,
            ),
            observe_change(
                seed,
                100.0,
                &[("a", degraded, degraded), ("n", HEALTHY, degraded)],
                &["n"],
                &[("n", "a")],
                0.0,
            ),
            // There are no requests.
            observe_change(
                seed,
                0.0,
                &[("a", HEALTHY, [1.0, 0.0, 0.0])],
                &["a"],
                &[],
                0.0,
            ),
        ];
        for (case, detected) in results.into_iter().enumerate() {
            assert!(
                detected.is_none(),
                "seed {seed}, case {case}: {}",
                detected.expect("a regression").1
            );
        }
    }
}
