//! Unit tests of the local health score.

use super::*;

#[test]
fn the_score_stays_within_its_bounds() {
    let mut health = LocalHealth::default();
    health.improve();
    assert_eq!(health.multiplier(), 1);
    health.worsen(3);
    assert_eq!(health.multiplier(), 4);
    health.worsen(200);
    assert_eq!(health.multiplier(), u64::from(MAX_SCORE) + 1);
    health.improve();
    assert_eq!(health.multiplier(), u64::from(MAX_SCORE));
}
