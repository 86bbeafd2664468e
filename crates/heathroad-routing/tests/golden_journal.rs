//! The stored bytes of the routes' journal: a log of every kind of record, written by commit
//! 1355c4b, is read and written again byte by byte.

use heathroad_routing::journal::{Journal, JournalStorage, OpenTransaction, Record, recover};
use std::convert::Infallible;

const LOG: &[u8] = include_bytes!("golden/routes.journal");
/// The first line, and eight bytes of length and checksum before each record.
const HEADER: &[u8] = b"heathroad-routing 1\n";

#[derive(Default)]
struct Memory(Vec<u8>);

impl JournalStorage for Memory {
    type Error = Infallible;

    fn load(&mut self) -> Result<Option<Vec<u8>>, Infallible> {
        Ok(Some(self.0.clone()).filter(|bytes| !bytes.is_empty()))
    }
    fn truncate(&mut self, length: usize) -> Result<(), Infallible> {
        self.0.truncate(length);
        Ok(())
    }
    fn append(&mut self, bytes: &[u8]) -> Result<(), Infallible> {
        self.0.extend(bytes);
        Ok(())
    }
    fn sync(&mut self) -> Result<(), Infallible> {
        Ok(())
    }
    fn replace(&mut self, bytes: &[u8]) -> Result<(), Infallible> {
        self.0 = bytes.to_vec();
        Ok(())
    }
}

fn records() -> Vec<Record> {
    let text = |n: u64| format!("# text {n}\n[[pool]]\nname = \"täglich \\\"{n}\\\"\"\n");
    vec![
        Record::Committed {
            number: 1,
            text: text(1),
        },
        Record::Opened {
            number: 2,
            text: text(2),
        },
        Record::Applied { number: 2 },
        Record::Committed {
            number: 2,
            text: text(2),
        },
        Record::Opened {
            number: 3,
            text: text(3),
        },
        Record::Closed {
            number: 3,
            reason: "not ready in time: \"p\"".into(),
        },
        Record::Opened {
            number: u64::MAX - 1,
            text: String::new(),
        },
        Record::Applied {
            number: u64::MAX - 1,
        },
    ]
}

/// The records of the log, by the framing that is documented, each with the end of its bytes.
fn decoded() -> Vec<(Record, usize)> {
    let (mut list, mut at) = (Vec::new(), HEADER.len());
    assert_eq!(&LOG[..at], HEADER);
    while at < LOG.len() {
        let length = u32::from_le_bytes(LOG[at..at + 4].try_into().expect("four bytes")) as usize;
        at += 8 + length;
        list.push((
            serde_json::from_slice(&LOG[at - length..at]).expect("a record"),
            at,
        ));
    }
    list
}

#[test]
fn every_record_is_read_as_it_was_written() {
    let list: Vec<Record> = decoded().into_iter().map(|(record, _)| record).collect();
    assert_eq!(list, records());
}

fn open(number: u64, applied: bool) -> Option<OpenTransaction> {
    Some(OpenTransaction { number, applied })
}

#[test]
fn the_log_recovers_to_the_same_after_each_record() {
    let mut seen = Vec::new();
    for (_, end) in decoded() {
        let found = recover(&LOG[..end]).expect("a log");
        assert_eq!((found.valid_bytes, found.damage.as_deref()), (end, None));
        seen.push((
            found.committed.expect("one is committed").0,
            found.open_transaction,
            found.highest_number,
        ));
    }
    let last = u64::MAX - 1;
    let expected = [
        (1, None, 1),
        (1, open(2, false), 2),
        (1, open(2, true), 2),
        (2, None, 2),
        (2, open(3, false), 3),
        (2, None, 3),
        (2, open(last, false), last),
        (2, open(last, true), last),
    ];
    assert_eq!(seen, expected);
    let text = recover(LOG)
        .expect("a log")
        .committed
        .expect("one is committed")
        .1;
    assert_eq!(text, "# text 2\n[[pool]]\nname = \"täglich \\\"2\\\"\"\n");
}

#[test]
fn the_same_records_give_the_same_bytes() {
    let (mut journal, _) = Journal::open(Memory::default()).unwrap_or_else(|e| panic!("{e}"));
    for record in records() {
        journal.write(record).expect("memory does not fail");
    }
    let bytes = journal.into_storage().0;
    assert!(bytes == LOG, "the bytes are now:\n{}", bytes.escape_ascii());
}

#[test]
fn an_open_change_is_closed_by_the_next_start_in_the_same_bytes() {
    let (journal, _) = Journal::open(Memory(LOG.to_vec())).unwrap_or_else(|e| panic!("{e}"));
    let bytes = journal.into_storage().0;
    let payload = b"{\"what\":\"closed\",\"number\":18446744073709551614,\"why\":\"the daemon ended before it was committed\"}";
    assert_eq!(
        &bytes[LOG.len() + 8..],
        payload,
        "{}",
        bytes[LOG.len()..].escape_ascii()
    );
}
