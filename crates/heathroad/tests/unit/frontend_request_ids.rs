//! Unit tests of the IDs that are taken.

use super::*;

fn id(number: usize) -> HeaderValue {
    HeaderValue::from(number)
}

#[test]
fn an_id_is_free_once_its_request_has_ended_unless_it_may_have_run() {
    let ids = RequestIds::default();
    assert!(ids.open(&id(1)));
    assert!(!ids.open(&id(1)), "it is open");
    ids.close(&id(1), false);
    assert!(ids.open(&id(1)));
    ids.close(&id(1), true);
    assert!(!ids.open(&id(1)), "it may have run");
    assert!(ids.open(&id(2)));
}

#[test]
fn an_id_that_may_have_run_is_free_after_its_retention() {
    let (mut ids, now) = (RetainedIds::default(), Instant::now());
    ids.insert(ids.fingerprint(&id(1)), now);
    assert!(ids.contains(&id(1), now + RETENTION - Duration::from_millis(1)));
    assert!(!ids.contains(&id(1), now + RETENTION));
    assert!(ids.expiries.is_empty() && ids.ids.is_empty());
}

#[test]
fn the_number_of_retained_ids_is_bounded() {
    let (mut ids, now) = (RetainedIds::default(), Instant::now());
    for number in 0..=MAX_RETAINED {
        ids.insert(ids.fingerprint(&id(number)), now);
    }
    assert_eq!(ids.expiries.len(), MAX_RETAINED);
    assert_eq!(ids.ids.len(), MAX_RETAINED);
    assert!(!ids.contains(&id(0), now), "the oldest is free");
    assert!(ids.contains(&id(MAX_RETAINED), now));
}
