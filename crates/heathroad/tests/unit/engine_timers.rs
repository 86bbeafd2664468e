//! Unit tests of request deadlines.

use super::*;

/// The margin grows with the client's timeout, up to what a stall asks for.
#[test]
fn the_margin_leaves_time_for_work_and_for_a_stall() {
    let ms = Duration::from_millis;
    assert_eq!(deadline_margin(ms(60_000)), MAX_DEADLINE_MARGIN);
    assert_eq!(deadline_margin(ms(545)), MAX_DEADLINE_MARGIN);
    assert_eq!(deadline_margin(ms(240)), MAX_DEADLINE_MARGIN);
    assert_eq!(deadline_margin(ms(200)), ms(100));
    assert_eq!(deadline_margin(ms(40)), TRANSIT_TIME);
    assert!(
        MAX_DEADLINE_MARGIN + CLIENT_GRACE
            >= stall_detector::MAX_TOLERATED_STALL + stall_detector::DETECTION_THRESHOLD
    );
}
