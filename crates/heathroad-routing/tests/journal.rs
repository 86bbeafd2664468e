//! The log under every failure of its disk: each write, cut, sync and rename fails or is torn in
//! turn, and each is a crash. A start always begins with a generation that was committed, and with
//! the last one that was said to be.

use heathroad_routing::journal::{
    FormatError, Journal, JournalStorage, OpenError, OpenTransaction, Record, recover,
};

/// A disk in memory. What was not synced may be lost or torn by a crash.
#[derive(Clone, Default)]
struct Memory {
    /// What the next crash keeps.
    lasting: Option<Vec<u8>>,
    /// What is there until then.
    present: Option<Vec<u8>>,
    /// The calls until one fails; none for ever.
    fails_at: Option<usize>,
    calls: usize,
    /// How much of what a failing call was to write gets through, of 8 parts.
    torn: usize,
}

impl Memory {
    fn fails(&mut self) -> bool {
        self.calls += 1;
        self.fails_at.is_some_and(|at| self.calls > at)
    }

    /// What a start finds after a crash now: of what was not synced, so many parts of 8 made it.
    fn crashed(&self, kept: usize) -> Memory {
        let lasting = self.lasting.clone().unwrap_or_default();
        let present = self.present.clone().unwrap_or_default();
        let found = if present.starts_with(&lasting) {
            let fresh = present.len() - lasting.len();
            present[..lasting.len() + fresh * kept / 8].to_vec()
        } else {
            lasting
        };
        let found = Some(found).filter(|f| !f.is_empty());
        Memory {
            lasting: found.clone(),
            present: found,
            ..Memory::default()
        }
    }
}

impl JournalStorage for Memory {
    type Error = &'static str;

    fn load(&mut self) -> Result<Option<Vec<u8>>, Self::Error> {
        if self.fails() {
            Err("load")
        } else {
            Ok(self.present.clone())
        }
    }
    fn truncate(&mut self, length: usize) -> Result<(), Self::Error> {
        if self.fails() {
            return Err("truncate");
        }
        self.present.get_or_insert_default().truncate(length);
        Ok(())
    }
    fn append(&mut self, bytes: &[u8]) -> Result<(), Self::Error> {
        let fails = self.fails();
        let part = if fails {
            bytes.len() * self.torn / 8
        } else {
            bytes.len()
        };
        self.present.get_or_insert_default().extend(&bytes[..part]);
        if fails { Err("append") } else { Ok(()) }
    }
    fn sync(&mut self) -> Result<(), Self::Error> {
        if self.fails() {
            return Err("sync");
        }
        self.lasting.clone_from(&self.present);
        Ok(())
    }
    fn replace(&mut self, bytes: &[u8]) -> Result<(), Self::Error> {
        if self.fails() {
            // A rename is whole or not at all; whether it lasts is not known.
            if self.torn == 8 {
                self.present = Some(bytes.to_vec());
            }
            return Err("replace");
        }
        self.present = Some(bytes.to_vec());
        self.lasting.clone_from(&self.present);
        Ok(())
    }
}

fn text(n: u64) -> String {
    format!("text {n} {}", "x".repeat(n as usize % 7 * 50))
}

/// A life of changes: two committed, one given up, one undone, one open at the end.
fn life() -> Vec<Record> {
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
        // The undoing of 4, with the text of 2.
        Record::Committed {
            number: 5,
            text: text(2),
        },
        opened(6),
        applied(6),
    ]
}

/// The committed generation after so many records.
fn committed_after(records: &[Record]) -> Option<(u64, String)> {
    records.iter().rev().find_map(|r| match r {
        Record::Committed { number, text } => Some((*number, text.clone())),
        _ => None,
    })
}

#[test]
fn a_start_begins_with_the_last_committed_generation() {
    let (mut journal, found) = Journal::open(Memory::default()).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!((found.committed, found.highest_number), (None, 0));
    for r in life() {
        journal.write(r).expect("the disk is well");
    }
    let (journal, found) =
        Journal::open(journal.into_storage().crashed(8)).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(found.committed, Some((5, text(2))));
    assert_eq!(
        (found.open_transaction, found.highest_number, found.damage),
        (
            Some(OpenTransaction {
                number: 6,
                applied: true
            }),
            6,
            None
        ),
        "it was in probation"
    );
    // The start itself closed it.
    let found = Journal::open(journal.into_storage().crashed(0))
        .unwrap_or_else(|e| panic!("{e}"))
        .1;
    assert_eq!(
        (
            found.committed,
            found.open_transaction,
            found.highest_number
        ),
        (Some((5, text(2))), None, 6)
    );
}

/// Every call fails in turn, torn at every eighth, and is followed by a crash that keeps any eighth
/// of what was not synced. Whoever was told that a record is written finds it; what was not may be
/// there or not.
#[test]
fn every_crash_point_starts_on_a_committed_generation() {
    let mut points = 0;
    for fails_at in 0..60 {
        for torn in 0..=8 {
            for kept in 0..=8 {
                let disk = Memory {
                    fails_at: Some(fails_at),
                    torn,
                    ..Memory::default()
                };
                let mut told = Vec::new();
                let mut tried = None;
                let disk = match Journal::open(disk.clone()) {
                    // Nothing was ever written there.
                    Err(_) => Memory::default(),
                    Ok((mut journal, _)) => {
                        for r in life() {
                            if journal.write(r.clone()).is_err() {
                                tried = Some(r);
                                break;
                            }
                            told.push(r);
                        }
                        journal.into_storage()
                    }
                };
                let found = match Journal::open(disk.crashed(kept)) {
                    Ok((_, found)) => found,
                    Err(e) => panic!("point {fails_at}/{torn}/{kept}: {e}"),
                };
                let before = committed_after(&told);
                told.extend(tried);
                let after = committed_after(&told);
                assert!(
                    found.committed == before || found.committed == after,
                    "point {fails_at}/{torn}/{kept}: {:?} is neither {before:?} nor {after:?}",
                    found.committed
                );
                points += 1;
            }
        }
    }
    assert_eq!(points, 60 * 81);
}

/// A disk that fails once: the record is written at the next try, and the log is whole.
#[test]
fn a_failed_write_is_tried_again_on_a_whole_log() {
    for torn in 0..=8 {
        for fails_at in 2..8 {
            let (mut journal, _) =
                Journal::open(Memory::default()).unwrap_or_else(|e| panic!("{e}"));
            let mut disk = {
                journal
                    .write(Record::Committed {
                        number: 1,
                        text: text(1),
                    })
                    .expect("well");
                journal.into_storage()
            };
            (disk.fails_at, disk.torn, disk.calls) = (Some(fails_at), torn, 0);
            let Ok((mut journal, _)) = Journal::open(disk) else {
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
                    // The disk is well again.
                    let mut disk = journal.into_storage();
                    disk.fails_at = None;
                    journal = Journal::open(disk).unwrap_or_else(|e| panic!("{e}")).0;
                }
            }
            assert_eq!(failed, 1, "{torn} {fails_at}");
            let found = Journal::open(journal.into_storage().crashed(0))
                .unwrap_or_else(|e| panic!("{e}"))
                .1;
            assert_eq!((found.committed, found.damage), (Some((5, text(5))), None));
        }
    }
}

#[test]
fn a_torn_or_spoilt_log_says_so_and_keeps_what_is_sound() {
    let (mut journal, _) = Journal::open(Memory::default()).unwrap_or_else(|e| panic!("{e}"));
    life()
        .into_iter()
        .for_each(|r| journal.write(r).expect("well"));
    let bytes = journal.into_storage().lasting.expect("a log");
    for cut in 0..bytes.len() {
        let found = recover(&bytes[..cut]).expect("this format");
        assert!(
            found.valid_bytes <= cut && (found.valid_bytes == cut) == found.damage.is_none(),
            "{cut}: {found:?}"
        );
        if let Some((number, held)) = found.committed {
            assert!(
                [(1, text(1)), (2, text(2)), (5, text(2))].contains(&(number, held)),
                "{cut}"
            );
        }
    }
    for at in 20..bytes.len() {
        let mut spoilt = bytes.clone();
        spoilt[at] ^= 0x20;
        let found = recover(&spoilt).expect("this format");
        assert!(
            found
                .damage
                .is_some_and(|n| n.contains("behind the last sound record")),
            "{at}"
        );
        assert!(found.committed.is_none_or(|(n, held)| {
            [(1, text(1)), (2, text(2)), (5, text(2))].contains(&(n, held))
        }));
    }
    assert_eq!(
        recover(b"heathroad-routing 2\nwhatever"),
        Err(FormatError::Newer(2))
    );
    assert_eq!(recover(b"something else\n"), Err(FormatError::Foreign));
    let newer = Memory {
        present: Some(b"heathroad-routing 9\n".to_vec()),
        ..Memory::default()
    };
    match Journal::open(newer) {
        Err(OpenError::Format(e)) => {
            assert_eq!(e.to_string(), "the log is of format 9; expected 1 or older");
        }
        _ => panic!("it is not to be touched"),
    }
}

/// Thousands of changes do not make the log grow without end.
#[test]
fn the_log_is_written_anew_before_it_grows_long() {
    let (mut journal, _) = Journal::open(Memory::default()).unwrap_or_else(|e| panic!("{e}"));
    let long = "y".repeat(10_000);
    for number in 1..1_000 {
        journal
            .write(Record::Opened {
                number,
                text: long.clone(),
            })
            .expect("well");
        journal
            .write(Record::Committed {
                number,
                text: long.clone(),
            })
            .expect("well");
    }
    let disk = journal.into_storage();
    assert!(disk.lasting.as_ref().is_some_and(|b| b.len() < 1_200_000));
    let found = Journal::open(disk.crashed(0))
        .unwrap_or_else(|e| panic!("{e}"))
        .1;
    assert_eq!(found.committed, Some((999, long)));
}
