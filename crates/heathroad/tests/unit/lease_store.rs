//! The lease store's file stays readable, and is written as it was when the golden file was made.

use super::*;
use crate::lease::audit_collection::{AuditCollection, CollectedRecords};
use heathroad_lease::LeaseId;
use heathroad_lease::checkpoint::Checkpoint;
use heathroad_lease::token::Token;
use heathroad_lease::voter_state::DurableGrant;
use heathroad_membership::version::Digest;
use std::collections::BTreeMap;

/// The names of the file and the table, then each key and its value.
const GOLDEN: &str = include_str!("../golden/lease_store.txt");

fn golden(key: &str) -> &'static str {
    let value = |line: &'static str| line.split_once(": ").filter(|(name, _)| *name == key);
    let (_, value) = GOLDEN
        .lines()
        .find_map(value)
        .expect("it is in the golden file");
    value
}

/// Returns the state of a voter that has heard of a generation and granted nothing. The state of a
/// voter that has granted a lease can't be stored: a key of the map is no text, and JSON has no
/// other.
fn voter_state() -> VoterState {
    VoterState {
        generation: 3,
        ..VoterState::default()
    }
}

/// Creates an empty folder of this test's own.
fn create_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("heathroad-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

#[test]
fn a_store_of_the_old_code_is_read() {
    let folder = create_folder("store-read");
    let table = TableDefinition::<'_, &str, &[u8]>::new(golden("table"));
    let database = Database::create(folder.join(golden("file"))).expect("a file");
    let transaction = database.begin_write().expect("a transaction");
    for key in ["memory", "collected"] {
        let mut table = transaction.open_table(table).expect("a table");
        table.insert(key, golden(key).as_bytes()).expect("a value");
    }
    transaction.commit().expect("it is written");
    drop(database);
    let store = LeaseStore::open(&folder).expect("it opens");
    assert_eq!(store.read_voter_state().expect("it is read"), voter_state());
    let bytes = store
        .read_audit_collection()
        .expect("it is read")
        .expect("there is one");
    let records: CollectedRecords = serde_json::from_slice(&bytes).expect("it is understood");
    let collected = records.get(3).expect("of member 3");
    assert_eq!(
        (
            collected.by,
            collected.collected_at,
            collected.clock_offset,
            collected.clock_error
        ),
        (1, 1_790_000_000_000, -12, 3)
    );
    assert_eq!(collected.record.intervals.len(), 2);
    std::fs::remove_dir_all(&folder).expect("it is removed");
}

#[test]
fn a_store_is_written_as_by_the_old_code() {
    let folder = create_folder("store-write");
    let store = LeaseStore::open(&folder).expect("it opens");
    store
        .write_voter_state(&voter_state())
        .expect("it is written");
    let collection = AuditCollection::from_stored(Some(golden("collected").as_bytes()));
    let document = collection
        .document(Digest::default())
        .expect("it is not empty");
    store
        .write_audit_collection(&document)
        .expect("it is written");
    let read = |key| {
        let bytes = store.read(key).expect("it is read").expect("there is one");
        String::from_utf8(bytes).expect("text")
    };
    let actual = format!(
        "file: duties.redb\ntable: {}\nmemory: {}\ncollected: {}\n",
        redb::TableHandle::name(&TABLE),
        read("memory"),
        read("collected")
    );
    assert!(folder.join(golden("file")).is_file());
    assert!(
        GOLDEN == actual,
        "differs from the golden file; the actual text is:\n{actual}"
    );
    std::fs::remove_dir_all(&folder).expect("it is removed");
}

/// A voter must not forget what it has granted.
#[test]
fn the_state_of_a_voter_that_has_granted_a_lease_is_read_back() {
    let checkpoint = Checkpoint {
        token: Token::new(2, 300, 5),
        sequence: 77,
        state: b"state".to_vec(),
    };
    let grant = DurableGrant {
        token: Token::new(3, 179_000_000_123, 7),
        incarnation: 9,
        checkpoint,
    };
    let state = VoterState {
        generation: 3,
        leases: BTreeMap::from([(LeaseId::from_name("conductor"), grant)]),
    };
    let folder = create_folder("store-grants");
    let store = LeaseStore::open(&folder).expect("it opens");
    store.write_voter_state(&state).expect("it is written");
    assert_eq!(store.read_voter_state().expect("it is read"), state);
    std::fs::remove_dir_all(&folder).expect("it is removed");
}
