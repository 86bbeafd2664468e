//! The activity record: all activity is counted in the interval to which its request was bound,
//! whatever becomes of the interval.

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
        .map(|p| p.activity.total())
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
    let [one, two] = &snapshot.intervals[..] else {
        panic!("{snapshot:?}")
    };
    assert_eq!(
        (one.from, one.to, one.first_activity, one.last_activity),
        (100, Some(200), Some(110), Some(300))
    );
    assert_eq!(
        one.activity,
        ActivityCounts {
            bound: 1,
            sent: 1,
            served: 1,
            ..ActivityCounts::default()
        }
    );
    assert_eq!(
        (two.from, two.to, two.activity.bound, two.incarnation),
        (200, None, 1, 7)
    );
    // The same version again begins no interval; going back to the first does.
    assert!(Rc::ptr_eq(&record.begin_interval(450, version(2)), &second));
    assert!(!Rc::ptr_eq(&record.begin_interval(500, version(1)), &first));
}

/// Pages past the most that differ in their lists alone become one, which goes on taking the
/// recorded of both.
#[test]
fn a_full_record_merges_intervals_that_differ_in_lists_alone() {
    let mut record = ActivityRecord::new(0, 1, None);
    let mut epochs: Vec<Rc<Epoch>> = Vec::new();
    for seq in 0..1000 {
        epochs.push(record.begin_interval(seq, version_with_list(1, seq)));
    }
    epochs
        .iter()
        .for_each(|p| p.record(Activity::AttemptSent, 2000));
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
            .map(|p| p.version_count)
            .sum::<u64>(),
        1000
    );
    assert_eq!(snapshot.intervals[0].from, 0);
    let ends: Vec<_> = snapshot
        .intervals
        .windows(2)
        .map(|w| (w[0].to, w[1].from))
        .collect();
    assert!(
        ends.iter().all(|(to, from)| *to == Some(*from)),
        "no interval is lost: {ends:?}"
    );
}

/// Where nothing can be joined the oldest is given up, and what it epochs is snapshot as lost; late
/// recorded too.
#[test]
fn a_full_record_reports_what_it_discarded() {
    let mut record = ActivityRecord::new(0, 1, None);
    let epochs: Vec<_> = (0..MAX_INTERVALS as u64 + 10)
        .map(|n| record.begin_interval(n, version(n)))
        .collect();
    epochs
        .iter()
        .for_each(|p| p.record(Activity::RequestRejected, 5000));
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

/// A process that was killed has closed no epoch: what it did after it wrote last is on no record,
/// and that is said.
#[test]
fn a_restart_marks_the_interval_that_was_truncated() {
    let mut record = ActivityRecord::new(100, 7, None);
    record
        .begin_interval(100, version(1))
        .record(Activity::AttemptSent, 120);
    let kept: RecordSnapshot =
        serde_json::from_str(&serde_json::to_string(&record.snapshot(500)).expect("plain"))
            .expect("same");
    let mut next = ActivityRecord::new(900, 8, Some(kept));
    next.begin_interval(900, version(1));
    let snapshot = next.snapshot(1000);
    let [one, two] = &snapshot.intervals[..] else {
        panic!("{snapshot:?}")
    };
    assert_eq!(
        (one.incarnation, one.to, one.truncated, one.activity.sent),
        (7, Some(500), true, 1)
    );
    assert_eq!((two.incarnation, two.from, two.truncated), (8, 900, false));
    assert_eq!(snapshot.since, 100);
    // A process that was shut down as planned had closed its interval.
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
    /// Whatever versions come and whenever recorded are done, none is unaccounted for, and epochs
    /// lie in order.
    #[test]
    fn no_activity_is_unaccounted_for(steps in prop::collection::vec((0..6_u64, 0..40_u64, 0..8_usize), 1..900)) {
        let mut record = ActivityRecord::new(0, 1, None);
        let (mut epochs, mut recorded): (Vec<Rc<Epoch>>, u64) = (Vec::new(), 0);
        for (now, (generation, seq, late)) in steps.into_iter().enumerate() {
            let epoch = record.begin_interval(now as u64, version_with_list(generation / 5, seq));
            epochs.push(epoch);
            let from = epochs.len().saturating_sub(1 + late * 50);
            epochs[from].record(Activity::AttemptSent, now as u64);
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
