//! Unit tests of the `fleet` command.

use super::*;

#[test]
fn times_are_unix_or_ago() {
    assert_eq!(parse_time("1790000000000"), Ok(1_790_000_000_000));
    let [minute, hour] = ["60s", "1h"].map(|t| parse_time(t).expect("good"));
    assert!((minute - hour).abs_diff(3_540_000) < 10_000);
    for wrong in ["", "s", "5d", "-3", "1.5h"] {
        assert!(parse_time(wrong).is_err(), "{wrong}");
    }
}
