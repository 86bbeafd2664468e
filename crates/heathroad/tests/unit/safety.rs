//! Unit tests of the rules on what may be done now.

use super::*;

const HERE: Place = Place { zone: 1, cell: 7 };
const NEXT_DOOR: Place = Place { zone: 1, cell: 8 };
const FAR: Place = Place { zone: 2, cell: 9 };

fn attempted(place: Place, begun: Instant, ended: Option<Outcome>) -> Attempted {
    Attempted {
        place,
        begun,
        ended,
    }
}

fn keyed(group: DeduplicationScope) -> Idempotency {
    Idempotency::Deduplicated {
        scope: group,
        window: 1000.0,
    }
}

const MAY_HAVE_RUN: [Option<Outcome>; 6] = [
    None,
    Some(Outcome::Success),
    Some(Outcome::Error),
    Some(Outcome::Timeout),
    Some(Outcome::Reset),
    Some(Outcome::Cancelled),
];
const NEVER_RAN: [Outcome; 3] = [Outcome::Rejected, Outcome::ConnectFailed, Outcome::NotSent];

#[test]
fn what_never_ran_may_be_sent_anywhere_at_any_time() {
    let now = Instant::now();
    for effect in [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        keyed(DeduplicationScope::Cell),
    ] {
        assert_eq!(repeat(effect, [].iter(), FAR, false, now), Ok(None));
        for outcome in NEVER_RAN {
            let before = [attempted(HERE, now, Some(outcome))];
            let late = now + Duration::from_secs(3600);
            assert_eq!(
                repeat(effect, before.iter(), FAR, false, late),
                Ok(None),
                "{effect:?} {outcome:?}"
            );
            assert!(refusal(effect, before.iter()));
        }
    }
}

#[test]
fn what_may_have_run_is_repeated_by_its_class_alone() {
    let now = Instant::now();
    for ended in MAY_HAVE_RUN {
        let before = [attempted(HERE, now, ended)];
        assert_eq!(
            repeat(Idempotency::Idempotent, before.iter(), FAR, true, now),
            Ok(None)
        );
        assert_eq!(
            repeat(Idempotency::NonIdempotent, before.iter(), HERE, true, now),
            Err(Denied::NotRepeatable)
        );
        assert!(
            repeat(
                keyed(DeduplicationScope::Cell),
                before.iter(),
                HERE,
                true,
                now
            )
            .is_ok()
        );
        assert_eq!(
            repeat(
                keyed(DeduplicationScope::Cell),
                before.iter(),
                NEXT_DOOR,
                true,
                now
            ),
            Err(Denied::OutsideGroup)
        );
        assert!(
            repeat(
                keyed(DeduplicationScope::Zone),
                before.iter(),
                NEXT_DOOR,
                true,
                now
            )
            .is_ok()
        );
        assert_eq!(
            repeat(
                keyed(DeduplicationScope::Zone),
                before.iter(),
                FAR,
                true,
                now
            ),
            Err(Denied::OutsideGroup)
        );
        assert!(
            repeat(
                keyed(DeduplicationScope::All),
                before.iter(),
                FAR,
                true,
                now
            )
            .is_ok()
        );
        assert!(
            refusal(Idempotency::Idempotent, before.iter())
                && refusal(keyed(DeduplicationScope::All), before.iter())
        );
        assert!(
            !refusal(Idempotency::NonIdempotent, before.iter())
                && !refusal(keyed(DeduplicationScope::Zone), before.iter())
        );
    }
}

#[test]
fn the_group_is_that_of_the_first_attempt_that_may_have_run() {
    let now = Instant::now();
    let before = [
        attempted(FAR, now, Some(Outcome::Rejected)),
        attempted(HERE, now, Some(Outcome::Reset)),
    ];
    assert!(
        repeat(
            keyed(DeduplicationScope::Zone),
            before.iter(),
            NEXT_DOOR,
            true,
            now
        )
        .is_ok()
    );
    assert_eq!(
        repeat(
            keyed(DeduplicationScope::Zone),
            before.iter(),
            FAR,
            true,
            now
        ),
        Err(Denied::OutsideGroup)
    );
}

#[test]
fn a_window_ends_early_enough_for_a_pause_before_the_write() {
    let begun = Instant::now();
    let before = [attempted(HERE, begun, Some(Outcome::Timeout))];
    let window = Duration::from_millis(1000);
    for ms in 0..1200 {
        let now = begun + Duration::from_millis(ms);
        match repeat(
            keyed(DeduplicationScope::All),
            before.iter(),
            HERE,
            true,
            now,
        ) {
            Ok(by) => assert!(
                now < by.expect("a keyed one has an end")
                    && by.unwrap() + stall_detector::LONGEST <= begun + window
            ),
            Err(denied) => {
                assert_eq!(denied, Denied::WindowOver);
                assert!(now + stall_detector::LONGEST >= begun + window);
            }
        }
    }
    // A window that is shorter than a pause allows no repeat.
    let short = Idempotency::Deduplicated {
        scope: DeduplicationScope::All,
        window: 100.0,
    };
    assert_eq!(
        repeat(short, before.iter(), HERE, true, begun),
        Err(Denied::WindowOver)
    );
}

#[test]
fn two_attempts_at_once_only_where_that_is_allowed() {
    let now = Instant::now();
    let out = [attempted(HERE, now, None)];
    assert_eq!(
        repeat(Idempotency::Idempotent, out.iter(), FAR, false, now),
        Err(Denied::NotRepeatable)
    );
    assert_eq!(
        repeat(Idempotency::Idempotent, out.iter(), FAR, true, now),
        Ok(None)
    );
}

#[test]
fn nothing_is_written_for_a_client_or_to_a_backend_that_is_gone_or_too_late() {
    let now = Instant::now();
    let fine = Write {
        client_left: false,
        withdrawn: false,
        write_by: None,
    };
    assert_eq!(write(fine, now), Ok(()));
    assert_eq!(
        write(
            Write {
                client_left: true,
                ..fine
            },
            now
        ),
        Err(Denied::ClientLeft)
    );
    assert_eq!(
        write(
            Write {
                withdrawn: true,
                ..fine
            },
            now
        ),
        Err(Denied::BackendWithdrawn)
    );
    assert_eq!(
        write(
            Write {
                write_by: Some(now),
                ..fine
            },
            now
        ),
        Err(Denied::WindowOver)
    );
    assert_eq!(
        write(
            Write {
                write_by: Some(now + UNIT),
                ..fine
            },
            now
        ),
        Ok(())
    );
}

const UNIT: Duration = Duration::from_millis(1);

#[test]
fn a_connection_is_closed_only_where_nothing_on_it_is_open() {
    for bits in 0..8 {
        let [owed, unsent, unread] = [1, 2, 4].map(|bit| bits & bit != 0);
        assert_eq!(
            close(Connection {
                owed,
                unsent,
                unread
            }),
            bits == 0
        );
    }
}

#[test]
fn names_are_in_the_order_of_their_kinds() {
    assert_eq!(Denied::NAMES[Denied::RequestOver.place()], "request_over");
    assert_eq!(Denied::NAMES[Denied::WindowOver.place()], "window_over");
    assert_eq!(Violation::NAMES[Violation::Dropped.place()], "dropped");
}
