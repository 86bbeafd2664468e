//! The lease store's file stays readable, and is written as it was when the golden file was made.

use super::*;
use crate::lease::audit_collector::{Collected, Collection};
use heathroad_membership::version::Digest;
use std::path::PathBuf;

/// The table's name, then each key and its value.
const GOLDEN: &str = include_str!("../golden/lease_store.txt");

fn golden(key: &str) -> &'static str {
    let of = |line: &'static str| line.split_once(": ").filter(|(name, _)| *name == key);
    GOLDEN
        .lines()
        .find_map(of)
        .unwrap_or_else(|| panic!("{key} is not in the golden file"))
        .1
}

/// A voter that has heard of a generation and granted nothing. One that has granted a duty can't be
/// kept: a key of the map is no text, and JSON has no other.
fn memory() -> Memory {
    Memory {
        generation: 3,
        ..Memory::default()
    }
}

/// An empty folder of this test's own.
fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("heathroad-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

#[test]
fn what_the_old_code_wrote_is_read() {
    let folder = folder("store-read");
    let table = TableDefinition::<'_, &str, &[u8]>::new(golden("table"));
    let database = Database::create(folder.join(golden("file"))).expect("a file");
    let writing = database.begin_write().expect("a transaction");
    for key in ["memory", "collected"] {
        let mut table = writing.open_table(table).expect("a table");
        table.insert(key, golden(key).as_bytes()).expect("a value");
    }
    writing.commit().expect("it is written");
    drop(database);
    let store = Store::open(&folder).expect("it opens");
    assert_eq!(store.memory(), Ok(memory()));
    let bytes = store
        .collected()
        .expect("it is read")
        .expect("there is one");
    let collected: Collected = serde_json::from_slice(&bytes).expect("it is understood");
    let kept = collected.get(3).expect("of member 3");
    assert_eq!(
        (kept.by, kept.at, kept.off, kept.error),
        (1, 1_790_000_000_000, -12, 3)
    );
    assert_eq!(kept.told.intervals.len(), 2);
    std::fs::remove_dir_all(&folder).expect("it goes");
}

#[test]
fn the_same_is_written_as_by_the_old_code() {
    let folder = folder("store-write");
    let store = Store::open(&folder).expect("it opens");
    store.keep(&memory()).expect("it is kept");
    let collection = Collection::new(Some(golden("collected").as_bytes()));
    store
        .collect(&collection.text(Digest::default()).expect("it is not empty"))
        .expect("it is kept");
    let read = |key| {
        String::from_utf8(store.read(key).expect("read").expect("there is one")).expect("text")
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
    std::fs::remove_dir_all(&folder).expect("it goes");
}
