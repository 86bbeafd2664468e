//! Unit tests of fetches.

use super::*;

const SOURCE: MemberId = 3;
const RETRY: Millis = 250;

fn started_fetch() -> Fetches {
    let mut fetches = Fetches::default();
    let (resource, key) = (Resource::ActivityRecord, Digest::default());
    fetches.start(0, 7, SOURCE, resource, key);
    fetches
}

fn requested_parts(fetches: &mut Fetches, now: Millis) -> Vec<u32> {
    let part = |request: PartRequest| match request.message {
        Message::PartRequest { part, .. } => part,
        other => panic!("{other:?}"),
    };
    let requests = fetches.take_due_requests(now, RETRY);
    requests.into_iter().map(part).collect()
}

fn part(part: u32, length: u32, bytes: usize) -> ReceivedPart {
    ReceivedPart {
        source: SOURCE,
        id: 7,
        length,
        part,
        updates: vec![Update::Bytes(vec![part as u8; bytes])],
    }
}

#[test]
fn only_the_first_part_is_requested_and_retried() {
    let mut fetches = started_fetch();
    assert_eq!(requested_parts(&mut fetches, 0), [0]);
    assert_eq!(fetches.due(RETRY), Some(RETRY));
    assert!(requested_parts(&mut fetches, 249).is_empty());
    assert_eq!(requested_parts(&mut fetches, 250), [0]);
}

#[test]
fn a_resource_is_assembled_from_its_parts() {
    let mut fetches = started_fetch();
    requested_parts(&mut fetches, 0);
    assert!(fetches.receive(10, part(0, 165, PART_BYTES)));
    assert_eq!(requested_parts(&mut fetches, 10), [1]);
    assert!(!fetches.receive(20, part(1, 165, 5)));
    let completed: Vec<CompletedFetch> = fetches.drain_completed().collect();
    let bytes = [vec![0; PART_BYTES], vec![1; 5]].concat();
    let expected = CompletedFetch {
        id: 7,
        result: Ok(bytes),
        first_part_after: 10,
    };
    assert_eq!(completed, [expected]);
    assert_eq!(fetches.due(RETRY), None);
}

#[test]
fn parts_from_other_members_and_of_the_wrong_length_are_rejected() {
    let mut fetches = started_fetch();
    requested_parts(&mut fetches, 0);
    let mut other = part(0, 5, 5);
    other.source = 4;
    assert!(!fetches.receive(10, other));
    assert!(
        fetches.receive(10, part(0, 165, 5)),
        "the fetch is still in progress"
    );
    assert!(!fetches.receive(20, part(0, 166, PART_BYTES)));
    let completed: Vec<CompletedFetch> = fetches.drain_completed().collect();
    assert_eq!(completed[0].result, Err(FetchError::Corrupted));
}

#[test]
fn a_fetch_without_progress_times_out() {
    let mut fetches = started_fetch();
    assert!(requested_parts(&mut fetches, FETCH_TIMEOUT).is_empty());
    let completed: Vec<CompletedFetch> = fetches.drain_completed().collect();
    assert_eq!(completed[0].result, Err(FetchError::TimedOut));
    assert!(fetches.has_room());
}
