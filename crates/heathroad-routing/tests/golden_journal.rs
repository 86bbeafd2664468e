//! Compatibility of the journal's storage format: a journal with every type of record, written by
//! commit 1355c4b, is read, and written again with the same bytes.

use heathroad_routing::journal::{Journal, JournalStorage, OpenTransaction, Record, recover};
use std::convert::Infallible;

const JOURNAL: &[u8] = include_bytes!("golden/routes.journal");
/// The first line of the file.
const HEADER: &[u8] = b"heathroad-routing 1\n";
/// The size of the length and checksum that precede each record.
const FRAME_HEADER_BYTES: usize = 8;

#[derive(Default)]
struct MemoryStorage(Vec<u8>);

impl JournalStorage for MemoryStorage {
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

/// Decodes the frames of the journal independently. Returns the records with their end offsets.
fn decode_journal() -> Vec<(Record, usize)> {
    let (mut records, mut at) = (Vec::new(), HEADER.len());
    assert_eq!(&JOURNAL[..at], HEADER);
    while at < JOURNAL.len() {
        let length =
            u32::from_le_bytes(JOURNAL[at..at + 4].try_into().expect("four bytes")) as usize;
        at += FRAME_HEADER_BYTES + length;
        records.push((
            serde_json::from_slice(&JOURNAL[at - length..at]).expect("a record"),
            at,
        ));
    }
    records
}

#[test]
fn every_record_is_read_as_it_was_written() {
    let decoded: Vec<Record> = decode_journal()
        .into_iter()
        .map(|(record, _)| record)
        .collect();
    assert_eq!(decoded, records());
}

fn open_transaction(number: u64, applied: bool) -> Option<OpenTransaction> {
    Some(OpenTransaction { number, applied })
}

#[test]
fn the_recovered_state_is_unchanged_after_each_record() {
    let mut states = Vec::new();
    for (_, end) in decode_journal() {
        let state = recover(&JOURNAL[..end]).expect("a valid journal");
        assert_eq!((state.valid_bytes, state.damage.as_deref()), (end, None));
        states.push((
            state.committed.expect("a committed generation").0,
            state.open_transaction,
            state.highest_number,
        ));
    }
    let last = u64::MAX - 1;
    let expected = [
        (1, None, 1),
        (1, open_transaction(2, false), 2),
        (1, open_transaction(2, true), 2),
        (2, None, 2),
        (2, open_transaction(3, false), 3),
        (2, None, 3),
        (2, open_transaction(last, false), last),
        (2, open_transaction(last, true), last),
    ];
    assert_eq!(states, expected);
    let text = recover(JOURNAL)
        .expect("a valid journal")
        .committed
        .expect("a committed generation")
        .1;
    assert_eq!(text, "# text 2\n[[pool]]\nname = \"täglich \\\"2\\\"\"\n");
}

#[test]
fn the_same_records_are_written_as_the_same_bytes() {
    let (mut journal, _) =
        Journal::open(MemoryStorage::default()).unwrap_or_else(|e| panic!("{e}"));
    for record in records() {
        journal
            .write(record)
            .expect("in-memory storage does not fail");
    }
    let bytes = journal.into_storage().0;
    assert!(bytes == JOURNAL, "actual bytes:\n{}", bytes.escape_ascii());
}

#[test]
fn startup_closes_an_open_transaction_with_the_same_bytes() {
    let (journal, _) =
        Journal::open(MemoryStorage(JOURNAL.to_vec())).unwrap_or_else(|e| panic!("{e}"));
    let bytes = journal.into_storage().0;
    let payload = b"{\"what\":\"closed\",\"number\":18446744073709551614,\"why\":\"the daemon ended before it was committed\"}";
    assert_eq!(
        &bytes[JOURNAL.len() + FRAME_HEADER_BYTES..],
        payload,
        "{}",
        bytes[JOURNAL.len()..].escape_ascii()
    );
}
