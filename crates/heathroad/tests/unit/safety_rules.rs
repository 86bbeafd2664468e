//! Unit tests of the safety rules.

use super::*;
use crate::safety::{ClientPresence, Violation};

const FIRST: Location = Location { zone: 1, cell: 7 };
const SAME_ZONE: Location = Location { zone: 1, cell: 8 };
const OTHER_ZONE: Location = Location { zone: 2, cell: 9 };

fn past_attempt(location: Location, started_at: Instant, outcome: Option<Outcome>) -> PastAttempt {
    PastAttempt {
        location,
        started_at,
        outcome,
    }
}

fn idempotent(group: DeduplicationScope) -> Idempotency {
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
fn a_request_that_never_ran_is_retried_anywhere_at_any_time() {
    let now = Instant::now();
    for idempotency in [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        idempotent(DeduplicationScope::Cell),
    ] {
        assert_eq!(
            check_retry(idempotency, [].iter(), OTHER_ZONE, false, now),
            Ok(None)
        );
        for outcome in NEVER_RAN {
            let past = [past_attempt(FIRST, now, Some(outcome))];
            let late = now + Duration::from_secs(3600);
            assert_eq!(
                check_retry(idempotency, past.iter(), OTHER_ZONE, false, late),
                Ok(None),
                "{idempotency:?} {outcome:?}"
            );
            assert!(may_reject(idempotency, past.iter()));
        }
    }
}

#[test]
fn a_request_that_may_have_run_is_retried_by_its_class_alone() {
    let now = Instant::now();
    for ended in MAY_HAVE_RUN {
        let past = [past_attempt(FIRST, now, ended)];
        assert_eq!(
            check_retry(Idempotency::Idempotent, past.iter(), OTHER_ZONE, true, now),
            Ok(None)
        );
        assert_eq!(
            check_retry(Idempotency::NonIdempotent, past.iter(), FIRST, true, now),
            Err(Denial::NotRetryable)
        );
        assert!(
            check_retry(
                idempotent(DeduplicationScope::Cell),
                past.iter(),
                FIRST,
                true,
                now
            )
            .is_ok()
        );
        assert_eq!(
            check_retry(
                idempotent(DeduplicationScope::Cell),
                past.iter(),
                SAME_ZONE,
                true,
                now
            ),
            Err(Denial::OutsideGroup)
        );
        assert!(
            check_retry(
                idempotent(DeduplicationScope::Zone),
                past.iter(),
                SAME_ZONE,
                true,
                now
            )
            .is_ok()
        );
        assert_eq!(
            check_retry(
                idempotent(DeduplicationScope::Zone),
                past.iter(),
                OTHER_ZONE,
                true,
                now
            ),
            Err(Denial::OutsideGroup)
        );
        assert!(
            check_retry(
                idempotent(DeduplicationScope::All),
                past.iter(),
                OTHER_ZONE,
                true,
                now
            )
            .is_ok()
        );
        assert!(
            may_reject(Idempotency::Idempotent, past.iter())
                && may_reject(idempotent(DeduplicationScope::All), past.iter())
        );
        assert!(
            !may_reject(Idempotency::NonIdempotent, past.iter())
                && !may_reject(idempotent(DeduplicationScope::Zone), past.iter())
        );
    }
}

#[test]
fn the_group_is_that_of_the_first_attempt_that_may_have_run() {
    let now = Instant::now();
    let past = [
        past_attempt(OTHER_ZONE, now, Some(Outcome::Rejected)),
        past_attempt(FIRST, now, Some(Outcome::Reset)),
    ];
    assert!(
        check_retry(
            idempotent(DeduplicationScope::Zone),
            past.iter(),
            SAME_ZONE,
            true,
            now
        )
        .is_ok()
    );
    assert_eq!(
        check_retry(
            idempotent(DeduplicationScope::Zone),
            past.iter(),
            OTHER_ZONE,
            true,
            now
        ),
        Err(Denial::OutsideGroup)
    );
}

#[test]
fn a_window_ends_early_enough_for_a_stall_before_the_write() {
    let begun = Instant::now();
    let past = [past_attempt(FIRST, begun, Some(Outcome::Timeout))];
    let window = Duration::from_millis(1000);
    for ms in 0..1200 {
        let now = begun + Duration::from_millis(ms);
        match check_retry(
            idempotent(DeduplicationScope::All),
            past.iter(),
            FIRST,
            true,
            now,
        ) {
            Ok(by) => assert!(
                now < by.expect("a keyed one has an end")
                    && by.unwrap() + stall_detector::MAX_TOLERATED_STALL <= begun + window
            ),
            Err(denial) => {
                assert_eq!(denial, Denial::WindowExpired);
                assert!(now + stall_detector::MAX_TOLERATED_STALL >= begun + window);
            }
        }
    }
    // A window that is shorter than a stall permits no retry.
    let short = Idempotency::Deduplicated {
        scope: DeduplicationScope::All,
        window: 100.0,
    };
    assert_eq!(
        check_retry(short, past.iter(), FIRST, true, begun),
        Err(Denial::WindowExpired)
    );
}

#[test]
fn two_attempts_are_in_flight_only_where_that_is_allowed() {
    let now = Instant::now();
    let out = [past_attempt(FIRST, now, None)];
    assert_eq!(
        check_retry(Idempotency::Idempotent, out.iter(), OTHER_ZONE, false, now),
        Err(Denial::NotRetryable)
    );
    assert_eq!(
        check_retry(Idempotency::Idempotent, out.iter(), OTHER_ZONE, true, now),
        Ok(None)
    );
}

#[test]
fn a_write_needs_a_client_a_backend_and_time() {
    let now = Instant::now();
    let fine = PendingWrite {
        client: ClientPresence::Present,
        backend_withdrawn: false,
        deadline: None,
    };
    assert_eq!(check_write(fine, now), Ok(()));
    assert_eq!(
        check_write(
            PendingWrite {
                client: ClientPresence::Left,
                ..fine
            },
            now
        ),
        Err(Denial::ClientLeft)
    );
    assert_eq!(
        check_write(
            PendingWrite {
                client: ClientPresence::Unknown,
                ..fine
            },
            now
        ),
        Err(Denial::ClientUnknown)
    );
    assert_eq!(
        check_write(
            PendingWrite {
                backend_withdrawn: true,
                ..fine
            },
            now
        ),
        Err(Denial::BackendWithdrawn)
    );
    assert_eq!(
        check_write(
            PendingWrite {
                deadline: Some(now),
                ..fine
            },
            now
        ),
        Err(Denial::WindowExpired)
    );
    assert_eq!(
        check_write(
            PendingWrite {
                deadline: Some(now + UNIT),
                ..fine
            },
            now
        ),
        Ok(())
    );
}

const UNIT: Duration = Duration::from_millis(1);

#[test]
fn a_connection_closes_only_where_nothing_on_it_is_open() {
    for bits in 0..8 {
        let [has_pending_request, has_unsent_response, has_unread_bytes] =
            [1, 2, 4].map(|bit| bits & bit != 0);
        assert_eq!(
            may_close(ConnectionState {
                has_pending_request,
                has_unsent_response,
                has_unread_bytes
            }),
            bits == 0
        );
    }
}

#[test]
fn labels_are_in_the_order_of_their_kinds() {
    assert_eq!(
        Denial::LABELS[Denial::RequestAnswered.index()],
        "request_over"
    );
    assert_eq!(Denial::LABELS[Denial::WindowExpired.index()], "window_over");
    assert_eq!(
        Violation::LABELS[Violation::DroppedRequest.index()],
        "dropped"
    );
}
