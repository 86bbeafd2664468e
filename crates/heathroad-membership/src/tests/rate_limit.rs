//! Unit tests of the rate limiter.

use super::*;

fn acquire_all(limiter: &mut RateLimiter, now: Millis) -> usize {
    (0..1000).take_while(|_| limiter.try_acquire(now)).count()
}

#[test]
fn the_bucket_refills_up_to_one_second_of_tokens() {
    let mut limiter = RateLimiter::new(0, 40);
    assert_eq!(acquire_all(&mut limiter, 0), 40);
    assert_eq!(acquire_all(&mut limiter, 100), 4);
    assert_eq!(acquire_all(&mut limiter, 10_000), 40);
    assert_eq!(
        acquire_all(&mut limiter, 5_000),
        0,
        "an earlier time refills nothing"
    );
}
