//! The record of acts: every act on the page that it was bound under, whatever becomes of the page.

mod common;

use common::version;
use heathroad_membership::activity_record::{
    Activity, ActivityCounts, ActivityRecord, Epoch, MAX_INTERVALS, RecordSnapshot,
};
use heathroad_membership::version::{Digest, EndpointSource, Version};
use proptest::prelude::*;
use std::rc::Rc;

fn listed(generation: u64, sequence: u64) -> Version {
    Version {
        sources: vec![EndpointSource {
            address_digest: Digest::of(b"registry"),
            sequence,
        }],
        ..version(generation)
    }
}

fn sum(told: &RecordSnapshot) -> u64 {
    told.intervals
        .iter()
        .map(|p| p.activity.total())
        .sum::<u64>()
        + told.discarded.activity.total()
}

#[test]
fn an_act_is_written_under_what_it_was_bound_to() {
    let mut record = ActivityRecord::new(100, 7, None);
    let first = record.begin_interval(100, version(1));
    first.record(Activity::RequestBound, 110);
    let second = record.begin_interval(200, version(2));
    first.record(Activity::AttemptSent, 250);
    second.record(Activity::RequestBound, 260);
    first.record(Activity::RequestServed, 300);
    let told = record.snapshot(400);
    let [one, two] = &told.intervals[..] else {
        panic!("{told:?}")
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
    // The same again begins no page; going back to the first does.
    assert!(Rc::ptr_eq(&record.begin_interval(450, version(2)), &second));
    assert!(!Rc::ptr_eq(&record.begin_interval(500, version(1)), &first));
}

/// Pages past the most that differ in their lists alone become one, which goes on taking the acts
/// of both.
#[test]
fn a_full_record_joins_what_differs_in_lists_alone() {
    let mut record = ActivityRecord::new(0, 1, None);
    let mut pages: Vec<Rc<Epoch>> = Vec::new();
    for seq in 0..1000 {
        pages.push(record.begin_interval(seq, listed(1, seq)));
    }
    pages
        .iter()
        .for_each(|p| p.record(Activity::AttemptSent, 2000));
    let told = record.snapshot(2000);
    assert_eq!(told.intervals.len(), MAX_INTERVALS);
    assert_eq!((told.discarded.count, sum(&told)), (0, 1000));
    assert_eq!(
        told.intervals.iter().map(|p| p.version_count).sum::<u64>(),
        1000
    );
    assert_eq!(told.intervals[0].from, 0);
    let ends: Vec<_> = told
        .intervals
        .windows(2)
        .map(|w| (w[0].to, w[1].from))
        .collect();
    assert!(
        ends.iter().all(|(to, from)| *to == Some(*from)),
        "no interval is lost: {ends:?}"
    );
}

/// Where nothing can be joined the oldest is given up, and what it held is told as lost; late acts
/// too.
#[test]
fn a_full_record_says_what_it_has_lost() {
    let mut record = ActivityRecord::new(0, 1, None);
    let pages: Vec<_> = (0..MAX_INTERVALS as u64 + 10)
        .map(|n| record.begin_interval(n, version(n)))
        .collect();
    pages
        .iter()
        .for_each(|p| p.record(Activity::RequestRejected, 5000));
    let told = record.snapshot(5000);
    assert_eq!(
        (told.intervals.len(), told.discarded.count),
        (MAX_INTERVALS, 10)
    );
    assert_eq!(
        (told.discarded.activity.rejected, told.discarded.until),
        (10, Some(10))
    );
    assert_eq!(sum(&told), MAX_INTERVALS as u64 + 10);
}

/// A process that was killed has closed no page: what it did after it wrote last is on no record,
/// and that is said.
#[test]
fn a_restart_says_where_the_record_is_torn() {
    let mut record = ActivityRecord::new(100, 7, None);
    record
        .begin_interval(100, version(1))
        .record(Activity::AttemptSent, 120);
    let kept: RecordSnapshot =
        serde_json::from_str(&serde_json::to_string(&record.snapshot(500)).expect("plain"))
            .expect("same");
    let mut next = ActivityRecord::new(900, 8, Some(kept));
    next.begin_interval(900, version(1));
    let told = next.snapshot(1000);
    let [one, two] = &told.intervals[..] else {
        panic!("{told:?}")
    };
    assert_eq!(
        (one.incarnation, one.to, one.truncated, one.activity.sent),
        (7, Some(500), true, 1)
    );
    assert_eq!((two.incarnation, two.from, two.truncated), (8, 900, false));
    assert_eq!(told.since, 100);
    // One that was stopped as planned had closed it.
    next.close(1100);
    let told = ActivityRecord::new(1200, 9, Some(next.snapshot(1150))).snapshot(1200);
    assert_eq!(
        (told.intervals[1].to, told.intervals[1].truncated),
        (Some(1100), false)
    );
    assert_eq!(
        ActivityRecord::new(2000, 9, None).snapshot(2000).since,
        2000
    );
}

proptest! {
    /// Whatever versions come and whenever acts are done, none is unaccounted for, and pages lie in
    /// order.
    #[test]
    fn no_act_is_unaccounted_for(steps in prop::collection::vec((0..6_u64, 0..40_u64, 0..8_usize), 1..900)) {
        let mut record = ActivityRecord::new(0, 1, None);
        let (mut held, mut acts): (Vec<Rc<Epoch>>, u64) = (Vec::new(), 0);
        for (now, (generation, seq, late)) in steps.into_iter().enumerate() {
            let page = record.begin_interval(now as u64, listed(generation / 5, seq));
            held.push(page);
            let from = held.len().saturating_sub(1 + late * 50);
            held[from].record(Activity::AttemptSent, now as u64);
            acts += 1;
        }
        let told = record.snapshot(10_000);
        prop_assert_eq!(sum(&told), acts);
        prop_assert!(told.intervals.len() <= MAX_INTERVALS);
        for pair in told.intervals.windows(2) {
            prop_assert!(pair[0].to == Some(pair[1].from));
        }
    }
}
