//! A crash-safe write-ahead journal of configuration changes.
//!
//! A change is recorded before it takes effect. On startup, the last committed generation is
//! recovered, never one on probation. Storage is a trait, so that tests can inject failures.

mod record;
mod recovery;

pub use record::Record;
pub use recovery::{FormatError, OpenTransaction, RecoveredState, recover};

use std::fmt;

/// The journal is compacted when it exceeds its live records by this many bytes.
const COMPACTION_THRESHOLD_BYTES: usize = 1 << 20;
/// The reason recorded on startup for a transaction that the previous process left open.
const CLOSED_BY_RESTART: &str = "the daemon ended before it was committed";

/// The storage of a journal. Any operation may fail, and a crash may lose unsynced data.
pub trait JournalStorage {
    /// The error of a failed operation.
    type Error: fmt::Display;
    /// Returns the content of the journal, or `None` if there is none.
    fn load(&mut self) -> Result<Option<Vec<u8>>, Self::Error>;
    /// Truncates the journal to a length in bytes.
    fn truncate(&mut self, length: usize) -> Result<(), Self::Error>;
    /// Appends bytes to the journal.
    fn append(&mut self, bytes: &[u8]) -> Result<(), Self::Error>;
    /// Makes earlier appends and truncations durable.
    fn sync(&mut self) -> Result<(), Self::Error>;
    /// Replaces the journal atomically and durably.
    fn replace(&mut self, bytes: &[u8]) -> Result<(), Self::Error>;
}

/// The error of [`Journal::open`].
#[derive(Debug, thiserror::Error)]
pub enum OpenError<E> {
    /// The storage failed.
    #[error("{0}")]
    Storage(E),
    /// The file is not a journal of a known format. It is left as it is.
    #[error(transparent)]
    Format(FormatError),
}

/// The records that compaction keeps.
#[derive(Debug, Clone, Default)]
struct LiveRecords {
    committed: Option<Record>,
    opened: Option<Record>,
    applied: Option<Record>,
}

impl LiveRecords {
    fn add(&mut self, record: &Record) {
        match record {
            Record::Committed { .. } => {
                *self = LiveRecords {
                    committed: Some(record.clone()),
                    ..LiveRecords::default()
                };
            }
            Record::Opened { .. } => {
                self.opened = Some(record.clone());
                self.applied = None;
            }
            Record::Applied { .. } => self.applied = Some(record.clone()),
            Record::Closed { .. } => {
                self.opened = None;
                self.applied = None;
            }
        }
    }

    fn encode(&self) -> Vec<u8> {
        let records = [&self.committed, &self.opened, &self.applied];
        records
            .into_iter()
            .flatten()
            .flat_map(Record::encode)
            .collect()
    }
}

/// A journal in a storage.
pub struct Journal<S> {
    storage: S,
    length: usize,
    live: LiveRecords,
    /// Whether a failed operation left the end of the journal in an unknown state. The next write
    /// then rewrites the journal.
    needs_rewrite: bool,
}

impl<S: JournalStorage> Journal<S> {
    /// Opens or creates a journal, and returns the recovered state.
    ///
    /// A truncated or corrupt tail is removed, and an open transaction is closed.
    ///
    /// # Errors
    ///
    /// Fails if the storage does, or if its content is not a journal of a known format.
    pub fn open(mut storage: S) -> Result<(Self, RecoveredState), OpenError<S::Error>> {
        let bytes = storage.load().map_err(OpenError::Storage)?;
        let state = recover(bytes.as_deref().unwrap_or_default()).map_err(OpenError::Format)?;
        let committed = state.committed.clone();
        let mut journal = Journal {
            storage,
            length: state.valid_bytes,
            live: LiveRecords {
                committed: committed.map(|(number, text)| Record::Committed { number, text }),
                ..LiveRecords::default()
            },
            needs_rewrite: false,
        };
        let stored_bytes = bytes.map_or(0, |bytes| bytes.len());
        journal
            .repair(stored_bytes, state.open_transaction)
            .map_err(OpenError::Storage)?;
        Ok((journal, state))
    }

    /// Removes a damaged tail, and closes a transaction that was left open.
    fn repair(
        &mut self,
        stored_bytes: usize,
        open_transaction: Option<OpenTransaction>,
    ) -> Result<(), S::Error> {
        if self.length == 0 {
            // There is no journal, or its header is incomplete.
            self.rewrite()?;
        } else if stored_bytes > self.length {
            self.storage.truncate(self.length)?;
            self.storage.sync()?;
        }
        if let Some(OpenTransaction { number, .. }) = open_transaction {
            let reason = CLOSED_BY_RESTART.into();
            self.write(Record::Closed { number, reason })?;
        }
        Ok(())
    }

    /// Writes a record durably.
    ///
    /// # Errors
    ///
    /// Fails if the storage does. The record then has no effect, and may be written again.
    pub fn write(&mut self, record: Record) -> Result<(), S::Error> {
        let previous = self.live.clone();
        self.live.add(&record);
        let written = self.append_or_compact(&record);
        if written.is_err() {
            self.live = previous;
        }
        written
    }

    fn append_or_compact(&mut self, record: &Record) -> Result<(), S::Error> {
        let bytes = record.encode();
        let live_bytes = self.live.encode().len();
        let is_too_long = self.length + bytes.len() > live_bytes + COMPACTION_THRESHOLD_BYTES;
        if self.needs_rewrite || is_too_long {
            return self.rewrite();
        }
        let appended = self
            .storage
            .append(&bytes)
            .and_then(|()| self.storage.sync());
        match appended {
            Ok(()) => self.length += bytes.len(),
            // Part of the record may have been stored, durably or not.
            Err(_) => self.needs_rewrite = true,
        }
        appended
    }

    fn rewrite(&mut self) -> Result<(), S::Error> {
        let mut bytes = record::header().into_bytes();
        bytes.extend(self.live.encode());
        self.needs_rewrite = true;
        self.storage.replace(&bytes)?;
        self.length = bytes.len();
        self.needs_rewrite = false;
        Ok(())
    }

    /// Returns the storage.
    pub fn into_storage(self) -> S {
        self.storage
    }
}
