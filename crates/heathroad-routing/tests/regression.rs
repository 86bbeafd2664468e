//! Regression: five kinds of harmful changes are found, by seeds; harmless ones never are, whatever
//! chance and trouble elsewhere do.

use heathroad_routing::regression::{PoolSample, Regression, RegressionDetector};
use std::collections::BTreeMap;

const SECONDS: usize = 30;

/// What a pool does in a second, by chance: so many requests, and the shares of them that end
/// badly.
fn second(rng: &mut fastrand::Rng, rate: f64, failed: f64, refused: f64, late: f64) -> PoolSample {
    let mut s = PoolSample::default();
    for _ in 0..rate.round() as usize {
        s.requests += 1.0;
        let drawn = rng.f64();
        if drawn < failed {
            s.failed += 1.0;
        } else if drawn < failed + refused {
            s.rejected += 1.0;
        } else if drawn < failed + refused + late {
            s.late += 1.0;
        }
    }
    s
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

/// A change that touches `touched`: the shares of each pool before it and after it, and what comes
/// of it.
fn change(
    seed: u64,
    rate: f64,
    pools: &[(&str, [f64; 3], [f64; 3])],
    touched: &[&str],
    heirs: &[(&str, &str)],
    cold: f64,
) -> Option<(usize, Regression)> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut before = BTreeMap::new();
    for (pool, [f, r, l], _) in pools
        .iter()
        .filter(|(p, ..)| heirs.iter().all(|(heir, _)| heir != p))
    {
        before.insert(
            pool.to_string(),
            sum((0..20).map(|_| second(&mut rng, rate, *f, *r, *l))),
        );
    }
    let heirs = heirs
        .iter()
        .map(|(heir, from)| (heir.to_string(), vec![from.to_string()]))
        .collect();
    let mut detector = RegressionDetector::new(
        before,
        touched
            .iter()
            .map(std::string::ToString::to_string)
            .collect(),
        heirs,
    );
    for s in 0..SECONDS {
        for (pool, _, [f, r, l]) in pools {
            let mut sample = second(&mut rng, rate, *f, *r, *l);
            if touched.contains(pool) {
                sample.warmup_budget_used = cold * (s as f64 / 5.0).min(1.0);
            }
            detector.record(pool, &sample);
        }
        if let Some(harm) = detector.detect() {
            return Some((s, harm));
        }
    }
    None
}

const WELL: [f64; 3] = [0.01, 0.01, 0.03];

#[test]
fn five_kinds_of_regressions_are_found_soon() {
    for seed in 0..40 {
        for rate in [30.0, 200.0] {
            let one = |after| {
                change(
                    seed,
                    rate,
                    &[("a", WELL, after), ("b", WELL, WELL)],
                    &["a"],
                    &[],
                    0.0,
                )
            };
            let found = [
                ("failed", one([0.3, 0.01, 0.03])),
                ("refused", one([0.01, 0.3, 0.03])),
                ("late", one([0.01, 0.01, 0.4])),
                (
                    "a cold backend's budget",
                    change(seed, rate, &[("a", WELL, WELL)], &["a"], &[], 0.95),
                ),
                // A new pool is held against the one whose requests it takes over.
                (
                    "failed",
                    change(
                        seed,
                        rate,
                        &[("a", WELL, WELL), ("new", WELL, [0.3, 0.0, 0.0])],
                        &["new"],
                        &[("new", "a")],
                        0.0,
                    ),
                ),
            ];
            for (what, harm) in found {
                let (after, harm) =
                    harm.unwrap_or_else(|| panic!("seed {seed}, rate {rate}: {what} is not found"));
                assert!(
                    harm.indicator == what || harm.indicator == "not served in time",
                    "seed {seed}: {harm}"
                );
                assert!(
                    after <= 8,
                    "seed {seed}, rate {rate}: {what} after {after} s"
                );
                assert!(harm.now > harm.expected && harm.to_string().contains(&harm.pool));
            }
        }
    }
}

/// 600 changes that harm nothing: none is called harmful.
#[test]
fn harmless_changes_are_no_regressions() {
    for seed in 0..50 {
        let ill = [0.2, 0.1, 0.2];
        let never = [
            // Nothing changes, at low and high rates, in sickness and in health.
            change(
                seed,
                5.0,
                &[("a", WELL, WELL), ("b", WELL, WELL)],
                &["a"],
                &[],
                0.0,
            ),
            change(
                seed,
                300.0,
                &[("a", WELL, WELL), ("b", WELL, WELL)],
                &["a"],
                &[],
                0.0,
            ),
            change(
                seed,
                100.0,
                &[("a", ill, ill), ("b", WELL, WELL)],
                &["a"],
                &[],
                0.0,
            ),
            change(
                seed,
                100.0,
                &[("a", [0.0; 3], [0.004, 0.0, 0.0])],
                &["a"],
                &[],
                0.0,
            ),
            // It gets better, or a little worse than before, less than anybody would undo a change
            // for.
            change(seed, 100.0, &[("a", ill, WELL)], &["a"], &[], 0.0),
            change(
                seed,
                300.0,
                &[("a", WELL, [0.02, 0.01, 0.04])],
                &["a"],
                &[],
                0.0,
            ),
            // Trouble that strikes untouched pools alike.
            change(
                seed,
                200.0,
                &[("a", WELL, ill), ("b", WELL, ill)],
                &["a"],
                &[],
                0.0,
            ),
            change(
                seed,
                60.0,
                &[("a", WELL, ill), ("b", WELL, ill), ("c", WELL, ill)],
                &["a", "b"],
                &[],
                0.0,
            ),
            // Cold backends within their budget.
            change(seed, 100.0, &[("a", WELL, WELL)], &["a"], &[], 0.85),
            // A new pool as well as the one before, and one that takes over from an ill one.
            change(
                seed,
                100.0,
                &[("a", WELL, WELL), ("n", WELL, WELL)],
                &["n"],
                &[("n", "a")],
                0.0,
            ),
            change(
                seed,
                100.0,
                &[("a", ill, ill), ("n", WELL, ill)],
                &["n"],
                &[("n", "a")],
                0.0,
            ),
            // Nobody asks.
            change(seed, 0.0, &[("a", WELL, [1.0, 0.0, 0.0])], &["a"], &[], 0.0),
        ];
        for (i, harm) in never.into_iter().enumerate() {
            assert!(
                harm.is_none(),
                "seed {seed}, case {i}: {}",
                harm.expect("some").1
            );
        }
    }
}
