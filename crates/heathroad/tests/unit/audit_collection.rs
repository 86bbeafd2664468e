//! Unit tests of the audit collection.

use super::*;
use heathroad_membership::activity_record::ActivityRecord;
use heathroad_membership::version::Version;

fn record(at: u64, interval_count: u64) -> RecordSnapshot {
    let mut record = ActivityRecord::new(1, 0, None);
    for generation in 0..interval_count {
        let version = Version {
            generation,
            ..Version::default()
        };
        record.begin_interval(generation, version);
    }
    record.snapshot(at)
}

fn collected(at: u64, interval_count: u64) -> CollectedRecord {
    CollectedRecord {
        by: 0,
        collected_at: at,
        clock_offset: 0,
        clock_error: 0,
        record: record(at, interval_count),
    }
}

fn interval_count(records: &CollectedRecords, member: MemberId) -> Option<usize> {
    records
        .get(member)
        .map(|collected| collected.record.intervals.len())
}

#[test]
fn the_later_record_of_a_member_is_kept() {
    let mut records = CollectedRecords::default();
    records.insert(3, collected(20, 2));
    records.insert(3, collected(10, 5));
    assert_eq!(interval_count(&records, 3), Some(2));
}

#[test]
fn a_long_record_loses_its_oldest_intervals() {
    let mut records = CollectedRecords::default();
    records.insert(4, collected(10, 250));
    let long = &records.get(4).expect("it is kept").record;
    assert!(encoded_length(long) <= MAX_RECORD_BYTES);
    assert!(long.discarded.count > 0 && long.intervals.len() > 20);
}

#[test]
fn the_document_is_bounded_and_holds_the_latest_records() {
    let mut records = CollectedRecords::default();
    records.insert(4, collected(10, 250));
    for member in 0..400 {
        records.insert(member, collected(30 + u64::from(member), 40));
    }
    assert!(records.encode_within_bound().len() <= MAX_DOCUMENT_BYTES);
    let last = records.get(399).expect("what was collected last is kept");
    let generation = last
        .record
        .intervals
        .last()
        .map(|interval| interval.version.generation);
    assert_eq!(generation, Some(39));
}

#[test]
fn documents_are_found_by_their_digest() {
    let collection = AuditCollection::from_stored(None);
    assert_eq!(collection.document(Digest::default()), None);
    collection.insert(1, collected(5, 1));
    let digest = collection.update_document();
    let document = collection.document(digest).expect("it has this digest");
    assert_eq!(collection.document(Digest::of(b"other")), None);
    assert_eq!(Digest::of(&document), digest);
    let restored = AuditCollection::from_stored(Some(&document));
    assert_eq!(restored.digest(), digest);
}
