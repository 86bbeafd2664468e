//! Unit tests of the audit's answer: its JSON has the form that operators' tools read.

use super::super::query::AuditQueryError;
use super::*;
use heathroad_membership::activity_record::{ActivityRecord, FaultKind};
use serde_json::{Value, json};

const OFFSET: ClockOffset = ClockOffset {
    offset_ms: 1000,
    error_ms: 7,
};

fn record() -> RecordSnapshot {
    let mut record = ActivityRecord::new(100, 5, None);
    record.begin_interval(100, Version::default());
    record.record_fault(FaultInterval {
        kind: FaultKind::Isolated,
        from: 150,
        to: None,
    });
    record.close(200);
    record.snapshot(300)
}

fn collected() -> CollectedRecord {
    CollectedRecord {
        by: 2,
        collected_at: 400,
        clock_offset: 1000,
        clock_error: 7,
        record: record(),
    }
}

fn view() -> MemberView {
    MemberView {
        id: 3,
        state: MemberState::Dead,
        revision: Revision {
            incarnation: 5,
            refutations: 1,
        },
        state_age_ms: 10,
        last_heard_ago_ms: Some(20),
        accusers: Vec::new(),
        protocols: [1, 1],
        active_version: Some((Digest([0x11; 8]), 4)),
        version: None,
    }
}

fn member() -> MemberReport {
    MemberReport {
        view: view(),
        address: Some("127.0.0.1:9".parse().expect("an address")),
        is_self: false,
    }
}

fn to_json(value: impl Serialize) -> Value {
    serde_json::to_value(value).expect("plain")
}

fn version() -> Value {
    json!({"build": "", "protocols": [0, 0], "settings": "0000000000000000", "generation": 0,
        "routes": "0000000000000000", "sources": [], "further": 0})
}

fn counts() -> Value {
    json!({"bound": 0, "sent": 0, "served": 0, "refused": 0, "failed": 0, "fenced": 0,
        "applied": 0, "undone": 0})
}

/// The record with its times moved by the clock's offset.
fn record_json(reached: bool) -> Value {
    let digest = Version::default().digest().to_string();
    json!({"reached": reached, "clock_off_ms": -1000, "clock_error_ms": 7, "since": 1100, "at": 1300,
        "pages": [{"life": 5, "version": version(), "digest": digest, "versions": 1, "from": 1100,
            "to": 1200, "torn": false, "first": null, "last": null, "acts": counts()}],
        "lost": {"pages": 0, "acts": counts(), "until": null},
        "spells": [{"trouble": "cut_off", "from": 1150, "to": null}], "turned_down": []})
}

#[test]
fn a_member_that_was_reached_is_reported_with_its_record() {
    let report = RecordReport::new(AuditQuery::default(), &record(), OFFSET);
    let audited = AuditedMember::new(member(), AuditedRecord::Fetched(report));
    let mut expected = record_json(true);
    expected["place"] = 3.into();
    expected["address"] = "127.0.0.1:9".into();
    expected["standing"] = "gone".into();
    expected["incarnation"] = json!({"life": 5, "turn": 1});
    expected["me"] = false.into();
    assert_eq!(to_json(audited), expected);
}

#[test]
fn a_member_that_was_not_reached_is_reported_with_what_is_known() {
    let report = MissingRecordReport::new(&view(), "it did not answer", None);
    let expected = json!({"reached": false, "why": "it did not answer", "last_heard_ms": 20,
        "last_acts": ["1111111111111111", 4], "last_version": null, "unknown_until": null,
        "collected": null});
    assert_eq!(to_json(AuditedRecord::Missing(report)), expected);
}

#[test]
fn a_collected_record_is_reported_with_its_collector() {
    let report = RecordReport::of_collected(AuditQuery::default(), &collected());
    let mut expected = record_json(false);
    expected["by"] = 2.into();
    expected["collected_at"] = 400.into();
    assert_eq!(to_json(report), expected);
}

#[test]
fn intervals_are_selected_by_generation_and_time() {
    let count = |query: &str| {
        let query = AuditQuery::parse(query).expect("it is valid");
        let report = RecordReport::new(query, &record(), OFFSET);
        report.intervals.len()
    };
    assert_eq!(
        ["", "version=0", "since=1200", "at=1100"].map(count),
        [1; 4]
    );
    assert_eq!(
        ["version=1", "since=1201", "at=1099", "at=1201"].map(count),
        [0; 4]
    );
}

#[test]
fn invalid_queries_are_rejected() {
    let rejected = |query: &str| AuditQuery::parse(query).expect_err(query);
    assert!(matches!(
        rejected("since=soon"),
        AuditQueryError::InvalidValue { .. }
    ));
    assert_eq!(
        rejected("since").to_string(),
        "since: \"\": expected a whole number"
    );
    assert_eq!(
        rejected("until=5").to_string(),
        "until: expected since, version or at"
    );
}
