//! Unit tests of the rate limit.

use super::*;

fn acquire_all(limiter: &mut RateLimiter, now: Millis) -> usize {
    (0..1000).take_while(|_| limiter.try_acquire(now)).count()
}

#[test]
fn a_second_refills_the_burst_and_no_more() {
    let mut limiter = RateLimiter::new(0, 40);
    assert_eq!(acquire_all(&mut limiter, 0), 40);
    assert_eq!(acquire_all(&mut limiter, 100), 4);
    assert_eq!(acquire_all(&mut limiter, 10_000), 40);
    assert_eq!(acquire_all(&mut limiter, 5_000), 0, "time does not go back");
}
