//! Unit tests of the event loop's heartbeat.

use super::*;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Beats on time up to a moment, then a pause, then one beat behind it.
fn paused(start: Instant, pause: Duration) -> Beats {
    let mut beats = Beats::new(start);
    for n in 1..=5 {
        assert_eq!(beats.beat(start + PERIOD * n), None);
    }
    beats.beat(beats.last + PERIOD + pause);
    beats
}

#[test]
fn without_a_pause_things_arrive_when_they_are_seen() {
    let start = Instant::now();
    let beats = paused(start, ms(5));
    for after in 0..UNSEEN.as_millis() as u64 {
        assert_eq!(
            beats.unsure_since(beats.last + ms(after)),
            None,
            "{after} ms behind a beat"
        );
    }
}

#[test]
fn what_is_seen_in_or_right_behind_a_pause_may_have_come_at_its_beginning() {
    let start = Instant::now();
    // Before the beat that is late: the loop has got no further yet.
    let mut beats = paused(start, ms(0));
    let pause_began = beats.last;
    let seen = pause_began + ms(140);
    let since = beats.unsure_since(seen).expect("it is late");
    assert!(
        since <= pause_began && since + PERIOD * 2 >= pause_began,
        "{:?}",
        pause_began - since
    );
    // Behind it, for as long as what waited is dealt with, and no longer.
    assert!(beats.beat(seen).is_some());
    for after in 0..PERIOD.as_millis() as u64 {
        let since = beats
            .unsure_since(seen + ms(after))
            .expect("it was held up");
        assert!(since <= pause_began, "{after} ms behind it");
    }
    beats.pause = None;
    assert_eq!(beats.unsure_since(seen + ms(1)), None);
}

#[test]
fn no_pause_of_the_longest_kind_goes_unseen() {
    let start = Instant::now();
    for pause in UNSEEN.as_millis() as u64 + 1..=LONGEST.as_millis() as u64 {
        let beats = paused(start, ms(pause));
        assert!(beats.unsure_since(beats.last).is_some(), "{pause} ms");
    }
}

#[test]
fn pauses_are_counted() {
    let none = Pauses::default();
    let two = none.and(ms(40)).and(ms(30));
    assert_eq!((two.seen, two.longest), (2, ms(40)));
}

#[tokio::test(start_paused = true)]
async fn without_a_heartbeat_nothing_is_unsure() {
    assert_eq!(arrival(Instant::now()), Instant::now());
    assert!(!held_up(Instant::now()));
}
