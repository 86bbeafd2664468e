//! Unit tests of log lines.

use super::*;

#[test]
fn lines_are_bounded_a_minute() {
    let began = Instant::now();
    let mut minute = Minute {
        began,
        written: 0,
        left_out: 0,
        most: MOST,
    };
    assert!((0..MOST).all(|_| minute.pass(began) == Some(0)));
    assert!((0..5).all(|_| minute.pass(began + MINUTE / 2).is_none()));
    assert_eq!(minute.pass(began + MINUTE), Some(5));
    assert_eq!(minute.pass(began + MINUTE), Some(0));
}
