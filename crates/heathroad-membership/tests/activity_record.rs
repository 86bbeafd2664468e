//! Tests of the activity record: activity counts towards the interval in which its request was
//! bound, even if the interval is merged or discarded.

mod common;

use common::version;
use heathroad_membership::activity_record::{
    Activity, ActivityCounts, ActivityRecord, Epoch, MAX_INTERVALS, RecordSnapshot,
};
use heathroad_membership::version::{Digest, EndpointSource, Version};
use proptest::prelude::*;
use std::rc::Rc;

fn version_with_list(generation: u64, sequence: u64) -> Version {
    Version {
        sources: vec![EndpointSource {
            address_digest: Digest::of(b"registry"),
            sequence,
        }],
        ..version(generation)
    }
}

fn total_activity(snapshot: &RecordSnapshot) -> u64 {
    snapshot
        .intervals
        .iter()
        .map(|interval| interval.activity.total())
        .sum::<u64>()
        + snapshot.discarded.activity.total()
}

#[test]
fn activity_is_counted_under_the_version_it_was_bound_to() {
    let mut record = ActivityRecord::new(100, 7, None);
    let first = record.begin_interval(100, version(1));
    first.record(Activity::RequestBound, 110);
    let second = record.begin_interval(200, version(2));
    first.record(Activity::AttemptSent, 250);
    second.record(Activity::RequestBound, 260);
    first.record(Activity::RequestServed, 300);
    let snapshot = record.snapshot(400);
    let [first_interval, second_interval] = &snapshot.intervals[..] else {
        panic!("{snapshot:?}")
    };
    assert_eq!(
        (
            first_interval.from,
            first_interval.to,
            first_interval.first_activity,
            first_interval.last_activity
        ),
        (100, Some(200), Some(110), Some(300))
    );
    assert_eq!(
        first_interval.activity,
        ActivityCounts {
            bound: 1,
            sent: 1,
            served: 1,
            ..ActivityCounts::default()
        }
    );
    assert_eq!(
        (
            second_interval.from,
            second_interval.to,
            second_interval.activity.bound,
            second_interval.incarnation
        ),
        (200, None, 1, 7)
    );
    // Setting the same version again continues the interval; returning to an earlier one starts a
    // new interval.
    assert!(Rc::ptr_eq(&record.begin_interval(450, version(2)), &second));
    assert!(!Rc::ptr_eq(&record.begin_interval(500, version(1)), &first));
}

/// Merged intervals continue to count the activity of all their epochs.
#[test]
fn a_full_record_merges_intervals_that_differ_only_in_endpoint_lists() {
    let mut record = ActivityRecord::new(0, 1, None);
    let mut epochs: Vec<Rc<Epoch>> = Vec::new();
    for sequence in 0..1000 {
        epochs.push(record.begin_interval(sequence, version_with_list(1, sequence)));
    }
    epochs
        .iter()
        .for_each(|epoch| epoch.record(Activity::AttemptSent, 2000));
    let snapshot = record.snapshot(2000);
    assert_eq!(snapshot.intervals.len(), MAX_INTERVALS);
    assert_eq!(
        (snapshot.discarded.count, total_activity(&snapshot)),
        (0, 1000)
    );
    assert_eq!(
        snapshot
            .intervals
            .iter()
            .map(|interval| interval.version_count)
            .sum::<u64>(),
        1000
    );
    assert_eq!(snapshot.intervals[0].from, 0);
    let boundaries: Vec<_> = snapshot
        .intervals
        .windows(2)
        .map(|pair| (pair[0].to, pair[1].from))
        .collect();
    assert!(
        boundaries.iter().all(|(to, from)| *to == Some(*from)),
        "gap between intervals: {boundaries:?}"
    );
}

/// Activity that is recorded after its interval was discarded is reported as discarded, too.
#[test]
fn a_full_record_reports_what_it_discarded() {
    let mut record = ActivityRecord::new(0, 1, None);
    let epochs: Vec<_> = (0..MAX_INTERVALS as u64 + 10)
        .map(|generation| record.begin_interval(generation, version(generation)))
        .collect();
    epochs
        .iter()
        .for_each(|epoch| epoch.record(Activity::RequestRejected, 5000));
    let snapshot = record.snapshot(5000);
    assert_eq!(
        (snapshot.intervals.len(), snapshot.discarded.count),
        (MAX_INTERVALS, 10)
    );
    assert_eq!(
        (
            snapshot.discarded.activity.rejected,
            snapshot.discarded.until
        ),
        (10, Some(10))
    );
    assert_eq!(total_activity(&snapshot), MAX_INTERVALS as u64 + 10);
}

/// A killed process does not close its interval, so activity after its last snapshot is unknown.
#[test]
fn a_restart_marks_the_interval_that_was_truncated() {
    let mut record = ActivityRecord::new(100, 7, None);
    record
        .begin_interval(100, version(1))
        .record(Activity::AttemptSent, 120);
    let json = serde_json::to_string(&record.snapshot(500)).expect("the snapshot is serializable");
    let stored: RecordSnapshot = serde_json::from_str(&json).expect("the snapshot is valid");
    let mut next = ActivityRecord::new(900, 8, Some(stored));
    next.begin_interval(900, version(1));
    let snapshot = next.snapshot(1000);
    let [first_interval, second_interval] = &snapshot.intervals[..] else {
        panic!("{snapshot:?}")
    };
    assert_eq!(
        (
            first_interval.incarnation,
            first_interval.to,
            first_interval.truncated,
            first_interval.activity.sent
        ),
        (7, Some(500), true, 1)
    );
    assert_eq!(
        (
            second_interval.incarnation,
            second_interval.from,
            second_interval.truncated
        ),
        (8, 900, false)
    );
    assert_eq!(snapshot.since, 100);
    // A process that shuts down gracefully closes its interval.
    next.close(1100);
    let snapshot = ActivityRecord::new(1200, 9, Some(next.snapshot(1150))).snapshot(1200);
    assert_eq!(
        (snapshot.intervals[1].to, snapshot.intervals[1].truncated),
        (Some(1100), false)
    );
    assert_eq!(
        ActivityRecord::new(2000, 9, None).snapshot(2000).since,
        2000
    );
}

proptest! {
    /// For any sequence of versions and any delay between binding and activity, the counts add up
    /// and the intervals are contiguous.
    #[test]
    fn all_activity_is_accounted_for(steps in prop::collection::vec((0..6_u64, 0..40_u64, 0..8_usize), 1..900)) {
        let mut record = ActivityRecord::new(0, 1, None);
        let (mut epochs, mut recorded): (Vec<Rc<Epoch>>, u64) = (Vec::new(), 0);
        for (now, (generation, sequence, delay)) in steps.into_iter().enumerate() {
            let epoch = record.begin_interval(now as u64, version_with_list(generation / 5, sequence));
            epochs.push(epoch);
            let bound_at = epochs.len().saturating_sub(1 + delay * 50);
            epochs[bound_at].record(Activity::AttemptSent, now as u64);
            recorded += 1;
        }
        let snapshot = record.snapshot(10_000);
        prop_assert_eq!(total_activity(&snapshot), recorded);
        prop_assert!(snapshot.intervals.len() <= MAX_INTERVALS);
        for pair in snapshot.intervals.windows(2) {
            prop_assert!(pair[0].to == Some(pair[1].from));
        }
    }
}
