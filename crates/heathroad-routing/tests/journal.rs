//! Fault injection for the journal: every storage operation fails, completely or partially, followed
//! by a crash. Recovery must return the last generation whose commit was acknowledged.

use heathroad_routing::journal::{
    FormatError, Journal, JournalStorage, OpenError, OpenTransaction, Record, recover,
};

/// An in-memory storage. A crash may lose or truncate unsynced data.
#[derive(Clone, Default)]
struct MemoryStorage {
    /// The content that survives a crash.
    durable: Option<Vec<u8>>,
    /// The content including unsynced data.
    current: Option<Vec<u8>>,
    /// The number of calls that succeed. `None` means that no call fails.
    fails_at: Option<usize>,
    calls: usize,
    /// The eighths of the data that a failing call writes nevertheless.
    written_eighths: usize,
}

impl MemoryStorage {
    fn fails(&mut self) -> bool {
        self.calls += 1;
        self.fails_at.is_some_and(|at| self.calls > at)
    }

    /// Returns the storage after a crash that keeps some eighths of the unsynced data.
    fn after_crash(&self, kept_eighths: usize) -> MemoryStorage {
        let durable = self.durable.clone().unwrap_or_default();
        let current = self.current.clone().unwrap_or_default();
        let kept = if current.starts_with(&durable) {
            let unsynced = current.len() - durable.len();
            current[..durable.len() + unsynced * kept_eighths / 8].to_vec()
        } else {
            durable
        };
        let kept = Some(kept).filter(|bytes| !bytes.is_empty());
        MemoryStorage {
            durable: kept.clone(),
            current: kept,
            ..MemoryStorage::default()
        }
    }
}

impl JournalStorage for MemoryStorage {
    type Error = &'static str;

    fn load(&mut self) -> Result<Option<Vec<u8>>, Self::Error> {
        if self.fails() {
            Err("load")
        } else {
            Ok(self.current.clone())
        }
    }
    fn truncate(&mut self, length: usize) -> Result<(), Self::Error> {
        if self.fails() {
            return Err("truncate");
        }
        self.current.get_or_insert_default().truncate(length);
        Ok(())
    }
    fn append(&mut self, bytes: &[u8]) -> Result<(), Self::Error> {
        let fails = self.fails();
        let written = if fails {
            bytes.len() * self.written_eighths / 8
        } else {
            bytes.len()
        };
        self.current
            .get_or_insert_default()
            .extend(&bytes[..written]);
        if fails { Err("append") } else { Ok(()) }
    }
    fn sync(&mut self) -> Result<(), Self::Error> {
        if self.fails() {
            return Err("sync");
        }
        self.durable.clone_from(&self.current);
        Ok(())
    }
    fn replace(&mut self, bytes: &[u8]) -> Result<(), Self::Error> {
        if self.fails() {
            // A rename is atomic, but it may have happened without being durable.
            if self.written_eighths == 8 {
                self.current = Some(bytes.to_vec());
            }
            return Err("replace");
        }
        self.current = Some(bytes.to_vec());
        self.durable.clone_from(&self.current);
        Ok(())
    }
}

/// The length of the line `heathroad-routing 1`.
const HEADER_BYTES: usize = 20;

fn text(n: u64) -> String {
    format!("text {n} {}", "x".repeat(n as usize % 7 * 50))
}

/// The records of five changes: two committed, one aborted, one rolled back and one left open.
fn sample_records() -> Vec<Record> {
    let committed = |number| Record::Committed {
        number,
        text: text(number),
    };
    let opened = |number| Record::Opened {
        number,
        text: text(number),
    };
    let applied = |number| Record::Applied { number };
    vec![
        committed(1),
        opened(2),
        applied(2),
        committed(2),
        opened(3),
        Record::Closed {
            number: 3,
            reason: "not ready".into(),
        },
        opened(4),
        applied(4),
        // The rollback of 4, with the text of 2.
        Record::Committed {
            number: 5,
            text: text(2),
        },
        opened(6),
        applied(6),
    ]
}

/// Returns the committed generation after some records.
fn last_committed(records: &[Record]) -> Option<(u64, String)> {
    records.iter().rev().find_map(|r| match r {
        Record::Committed { number, text } => Some((*number, text.clone())),
        _ => None,
    })
}

#[test]
fn recovery_returns_the_last_committed_generation() {
    let (mut journal, state) =
        Journal::open(MemoryStorage::default()).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!((state.committed, state.highest_number), (None, 0));
    for r in sample_records() {
        journal.write(r).expect("storage works");
    }
    let (journal, state) =
        Journal::open(journal.into_storage().after_crash(8)).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(state.committed, Some((5, text(2))));
    assert_eq!(
        (state.open_transaction, state.highest_number, state.damage),
        (
            Some(OpenTransaction {
                number: 6,
                applied: true
            }),
            6,
            None
        ),
        "the open transaction was on probation"
    );
    // Opening the journal closed the transaction.
    let state = Journal::open(journal.into_storage().after_crash(0))
        .unwrap_or_else(|e| panic!("{e}"))
        .1;
    assert_eq!(
        (
            state.committed,
            state.open_transaction,
            state.highest_number
        ),
        (Some((5, text(2))), None, 6)
    );
}

/// Each storage call fails in turn, after writing any number of eighths, and is followed by a crash
/// that keeps any number of eighths of the unsynced data. Acknowledged records must be recovered;
/// the failed record may or may not be.
#[test]
fn recovery_finds_the_committed_generation_after_a_crash_at_any_point() {
    let mut points = 0;
    for fails_at in 0..60 {
        for written_eighths in 0..=8 {
            for kept_eighths in 0..=8 {
                let storage = MemoryStorage {
                    fails_at: Some(fails_at),
                    written_eighths,
                    ..MemoryStorage::default()
                };
                let mut acknowledged = Vec::new();
                let mut failed = None;
                let storage = match Journal::open(storage.clone()) {
                    // Nothing was written.
                    Err(_) => MemoryStorage::default(),
                    Ok((mut journal, _)) => {
                        for r in sample_records() {
                            if journal.write(r.clone()).is_err() {
                                failed = Some(r);
                                break;
                            }
                            acknowledged.push(r);
                        }
                        journal.into_storage()
                    }
                };
                let state = match Journal::open(storage.after_crash(kept_eighths)) {
                    Ok((_, state)) => state,
                    Err(e) => panic!("point {fails_at}/{written_eighths}/{kept_eighths}: {e}"),
                };
                let before = last_committed(&acknowledged);
                acknowledged.extend(failed);
                let after = last_committed(&acknowledged);
                assert!(
                    state.committed == before || state.committed == after,
                    "point {fails_at}/{written_eighths}/{kept_eighths}: {:?} is neither {before:?} nor {after:?}",
                    state.committed
                );
                points += 1;
            }
        }
    }
    assert_eq!(points, 60 * 81);
}

/// A record whose write failed once can be written again, and the journal is valid.
#[test]
fn a_failed_write_can_be_retried() {
    for written_eighths in 0..=8 {
        for fails_at in 2..8 {
            let (mut journal, _) =
                Journal::open(MemoryStorage::default()).unwrap_or_else(|e| panic!("{e}"));
            let mut storage = {
                journal
                    .write(Record::Committed {
                        number: 1,
                        text: text(1),
                    })
                    .expect("storage works");
                journal.into_storage()
            };
            (storage.fails_at, storage.written_eighths, storage.calls) =
                (Some(fails_at), written_eighths, 0);
            let Ok((mut journal, _)) = Journal::open(storage) else {
                continue;
            };
            let mut failed = 0;
            for number in 2..6 {
                let record = Record::Committed {
                    number,
                    text: text(number),
                };
                while journal.write(record.clone()).is_err() {
                    failed += 1;
                    let mut storage = journal.into_storage();
                    storage.fails_at = None;
                    journal = Journal::open(storage).unwrap_or_else(|e| panic!("{e}")).0;
                }
            }
            assert_eq!(failed, 1, "{written_eighths} {fails_at}");
            let state = Journal::open(journal.into_storage().after_crash(0))
                .unwrap_or_else(|e| panic!("{e}"))
                .1;
            assert_eq!((state.committed, state.damage), (Some((5, text(5))), None));
        }
    }
}

#[test]
fn a_truncated_or_corrupt_journal_is_recovered_up_to_the_damage() {
    let (mut journal, _) =
        Journal::open(MemoryStorage::default()).unwrap_or_else(|e| panic!("{e}"));
    sample_records()
        .into_iter()
        .for_each(|r| journal.write(r).expect("storage works"));
    let bytes = journal.into_storage().durable.expect("a journal");
    let ever_committed = [(1, text(1)), (2, text(2)), (5, text(2))];
    for length in 0..bytes.len() {
        let state = recover(&bytes[..length]).expect("a known format");
        assert!(
            state.valid_bytes <= length && (state.valid_bytes == length) == state.damage.is_none(),
            "{length}: {state:?}"
        );
        if let Some(committed) = state.committed {
            assert!(ever_committed.contains(&committed), "{length}");
        }
    }
    for offset in HEADER_BYTES..bytes.len() {
        let mut corrupt = bytes.clone();
        corrupt[offset] ^= 0x20;
        let state = recover(&corrupt).expect("a known format");
        assert!(
            state
                .damage
                .is_some_and(|damage| damage.contains("after the last valid record")),
            "{offset}"
        );
        assert!(
            state
                .committed
                .is_none_or(|committed| ever_committed.contains(&committed))
        );
    }
    assert_eq!(
        recover(b"heathroad-routing 2\nwhatever"),
        Err(FormatError::Newer(2))
    );
    assert_eq!(recover(b"something else\n"), Err(FormatError::Foreign));
    let newer = MemoryStorage {
        current: Some(b"heathroad-routing 9\n".to_vec()),
        ..MemoryStorage::default()
    };
    match Journal::open(newer) {
        Err(OpenError::Format(e)) => {
            assert_eq!(
                e.to_string(),
                "the journal has format version 9; expected 1 or older"
            );
        }
        _ => panic!("a journal of a newer version must be rejected"),
    }
}

/// The journal stays small after many changes.
#[test]
fn the_journal_is_compacted() {
    let (mut journal, _) =
        Journal::open(MemoryStorage::default()).unwrap_or_else(|e| panic!("{e}"));
    let long = "y".repeat(10_000);
    for number in 1..1_000 {
        journal
            .write(Record::Opened {
                number,
                text: long.clone(),
            })
            .expect("storage works");
        journal
            .write(Record::Committed {
                number,
                text: long.clone(),
            })
            .expect("storage works");
    }
    let storage = journal.into_storage();
    assert!(
        storage
            .durable
            .as_ref()
            .is_some_and(|b| b.len() < 1_200_000)
    );
    let state = Journal::open(storage.after_crash(0))
        .unwrap_or_else(|e| panic!("{e}"))
        .1;
    assert_eq!(state.committed, Some((999, long)));
}
