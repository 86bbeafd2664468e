//! Unit tests of the concurrency of batches.

use super::*;

/// Returns the fraction of calls that are rejected where so many at once are served.
fn rejected_fraction(served: usize, most: usize, calls: usize) -> f64 {
    let (mut concurrency, mut left, mut rejected) = (BatchConcurrency::new(most), calls, 0);
    while left > 0 {
        let round = concurrency.limit().min(left);
        left -= round;
        for n in 0..round {
            concurrency.record_answer(n >= served);
            rejected += usize::from(n >= served);
        }
    }
    rejected as f64 / calls as f64
}

#[test]
fn a_batch_runs_at_the_concurrency_that_is_served() {
    for served in [2, 8, 30] {
        let fraction = rejected_fraction(served, 64, 10_000);
        assert!(
            fraction < 0.08,
            "{fraction} rejected where {served} are served at once"
        );
    }
    assert_eq!(rejected_fraction(64, 64, 10_000), 0.0);
}

#[test]
fn the_limit_stays_within_its_bounds() {
    let mut concurrency = BatchConcurrency::new(3);
    (0..100).for_each(|_| concurrency.record_answer(false));
    assert_eq!(concurrency.limit(), 3);
    (0..100).for_each(|_| concurrency.record_answer(true));
    assert_eq!(concurrency.limit(), 1);
}
