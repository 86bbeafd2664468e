//! Golden tests of the stored activity record.

mod common;

use heathroad_membership::activity_record::{
    Activity, ActivityCounts, ActivityRecord, DiscardedIntervals, FaultInterval, FaultKind,
    MAX_INTERVALS, RecordSnapshot, RejectedVersion,
};
use heathroad_membership::version::{Digest, EndpointSource, Version};

const START: u64 = 1_790_000_000_000;

fn digest(byte: u8) -> Digest {
    Digest([byte; 8])
}

fn version(generation: u64) -> Version {
    Version {
        build: "0.2.0".into(),
        protocols: [1, 1],
        settings: digest(0xaa),
        generation,
        routes: digest(generation as u8),
        sources: vec![EndpointSource {
            address_digest: digest(0xbb),
            sequence: 41,
        }],
        unlisted_sources: 2,
    }
}

/// Returns a record of two incarnations that has a truncated interval, discarded intervals, faults
/// and a rejected version.
fn record() -> RecordSnapshot {
    let mut first = ActivityRecord::new(START, START, None);
    for generation in 1..=MAX_INTERVALS as u64 {
        first
            .begin_interval(START + generation, version(generation))
            .record(Activity::AttemptSent, START + generation);
    }
    let mut snapshot = first.snapshot(START + 1000);
    // Keeps the golden file short.
    while snapshot.intervals.len() > 1 {
        assert!(snapshot.discard_oldest());
    }
    let mut second = ActivityRecord::new(START + 2000, START + 2000, Some(snapshot));
    let epoch = second.begin_interval(START + 2000, version(300));
    for (activity, count) in [
        (Activity::RequestBound, 9),
        (Activity::AttemptSent, 8),
        (Activity::RequestServed, 7),
        (Activity::RequestRejected, 6),
        (Activity::RequestFailed, 5),
        (Activity::RequestFenced, 4),
        (Activity::ChangeApplied, 3),
        (Activity::ChangeRolledBack, 2),
    ] {
        (0..count).for_each(|n| epoch.record(activity, START + 2100 + n));
    }
    second.begin_interval(START + 2500, version(301));
    second.record_fault(FaultInterval {
        kind: FaultKind::Isolated,
        from: START + 2600,
        to: Some(START + 2700),
    });
    second.record_fault(FaultInterval {
        kind: FaultKind::Stalled,
        from: START + 2710,
        to: Some(START + 2720),
    });
    second.record_fault(FaultInterval {
        kind: FaultKind::Fenced,
        from: START + 2730,
        to: None,
    });
    let (at, routes, reason) = (
        START + 2800,
        digest(0xcc),
        "pool \"main\": is missing".to_string(),
    );
    second.record_rejection(RejectedVersion {
        at,
        generation: 302,
        routes,
        reason,
    });
    second.snapshot(START + 3000)
}

#[test]
fn a_stored_record_matches_the_golden_file() {
    let mut text = serde_json::to_string(&record()).expect("the record is serializable");
    text.push('\n');
    common::assert_golden("activity_record.json", &text);
}

#[test]
fn the_record_in_the_golden_file_is_read() {
    let text = std::fs::read_to_string(common::golden("activity_record.json"))
        .expect("the golden file exists");
    let snapshot: RecordSnapshot = serde_json::from_str(&text).expect("the record is valid");
    assert_eq!(snapshot, record());
    assert_eq!((snapshot.at, snapshot.since), (START + 3000, START));
    let discarded = DiscardedIntervals {
        count: 255,
        activity: ActivityCounts {
            sent: 255,
            ..ActivityCounts::default()
        },
        until: Some(START + 256),
    };
    assert_eq!(snapshot.discarded, discarded);
    let [truncated, closed, open] = &snapshot.intervals[..] else {
        panic!("{snapshot:?}")
    };
    assert_eq!(
        (
            truncated.truncated,
            truncated.incarnation,
            truncated.to,
            truncated.version_count
        ),
        (true, START, Some(START + 1000), 1)
    );
    assert_eq!((closed.from, closed.to), (START + 2000, Some(START + 2500)));
    assert_eq!(
        (closed.first_activity, closed.last_activity),
        (Some(START + 2100), Some(START + 2108))
    );
    let activity = ActivityCounts {
        bound: 9,
        sent: 8,
        served: 7,
        rejected: 6,
        failed: 5,
        fenced: 4,
        applied: 3,
        rolled_back: 2,
    };
    assert_eq!(closed.activity, activity);
    assert_eq!(
        (open.version.clone(), open.digest, open.to),
        (version(301), version(301).digest(), None)
    );
    let faults: Vec<FaultKind> = snapshot.faults.iter().map(|fault| fault.kind).collect();
    assert_eq!(
        faults,
        [FaultKind::Isolated, FaultKind::Stalled, FaultKind::Fenced]
    );
    assert_eq!(snapshot.rejected[0].reason, "pool \"main\": is missing");
}

/// Records of the first releases contain neither faults nor rejected versions.
#[test]
fn a_record_without_faults_and_rejections_is_read() {
    let text =
        r#"{"at":5,"since":1,"pages":[],"lost":{"pages":0,"acts":{"bound":1},"until":null}}"#;
    let snapshot: RecordSnapshot = serde_json::from_str(text).expect("the record is valid");
    assert_eq!(
        (
            snapshot.at,
            snapshot.since,
            snapshot.discarded.activity.bound
        ),
        (5, 1, 1)
    );
    assert!(
        snapshot.intervals.is_empty() && snapshot.faults.is_empty() && snapshot.rejected.is_empty()
    );
}
