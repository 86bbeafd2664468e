//! Unit tests of the stall detector.

use super::*;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Ticks on time up to a moment, then a stall, then one beat behind it.
fn stalled(start: Instant, stall: Duration) -> Ticks {
    let mut ticks = Ticks::new(start);
    for n in 1..=5 {
        assert_eq!(ticks.tick(start + TICK_INTERVAL * n), None);
    }
    ticks.tick(ticks.last + TICK_INTERVAL + stall);
    ticks
}

#[test]
fn without_a_stall_bytes_arrive_when_they_are_seen() {
    let start = Instant::now();
    let ticks = stalled(start, ms(5));
    for after in 0..DETECTION_THRESHOLD.as_millis() as u64 {
        assert_eq!(
            ticks.uncertain_since(ticks.last + ms(after)),
            None,
            "{after} ms behind a beat"
        );
    }
}

#[test]
fn what_is_seen_in_or_right_after_a_stall_may_have_arrived_at_its_beginning() {
    let start = Instant::now();
    // Before the beat that is late: the loop has got no further yet.
    let mut ticks = stalled(start, ms(0));
    let stall_began = ticks.last;
    let seen = stall_began + ms(140);
    let since = ticks.uncertain_since(seen).expect("it is late");
    assert!(
        since <= stall_began && since + TICK_INTERVAL * 2 >= stall_began,
        "{:?}",
        stall_began - since
    );
    // Behind it, for as long as what waited is dealt with, and no longer.
    assert!(ticks.tick(seen).is_some());
    for after in 0..TICK_INTERVAL.as_millis() as u64 {
        let since = ticks
            .uncertain_since(seen + ms(after))
            .expect("it was held up");
        assert!(since <= stall_began, "{after} ms behind it");
    }
    ticks.stalled_since = None;
    assert_eq!(ticks.uncertain_since(seen + ms(1)), None);
}

#[test]
fn no_stall_up_to_the_tolerated_one_goes_undetected() {
    let start = Instant::now();
    for stall in DETECTION_THRESHOLD.as_millis() as u64 + 1..=MAX_TOLERATED_STALL.as_millis() as u64
    {
        let ticks = stalled(start, ms(stall));
        assert!(ticks.uncertain_since(ticks.last).is_some(), "{stall} ms");
    }
}

#[test]
fn stalls_are_counted() {
    let none = Stalls::default();
    let two = none.with(ms(40)).with(ms(30));
    assert_eq!((two.count, two.longest), (2, ms(40)));
}

#[tokio::test(start_paused = true)]
async fn without_ticks_no_stall_is_detected() {
    assert_eq!(earliest_arrival(Instant::now()), Instant::now());
    assert!(!may_have_stalled(Instant::now()));
}
