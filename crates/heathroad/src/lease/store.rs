//! The lease store: the durable state of leases, if a state folder is configured.
//!
//! It stores the voter's state, which is synced before the answers that depend on it are sent, and
//! the audit collection. Both are in one `redb` file, which stays consistent if the process or the
//! machine crashes.

use heathroad_lease::voter_state::VoterState;
use redb::{Builder, Database, Durability, TableDefinition, TableError};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use thiserror::Error;
use tokio::task::JoinError;

/// Name of the file in the state folder.
const FILE_NAME: &str = "duties.redb";
const TABLE: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("duties");
/// Key of the voter's state.
const VOTER_STATE_KEY: &str = "memory";
/// Key of the audit collection.
const AUDIT_COLLECTION_KEY: &str = "collected";
/// Size of the database cache.
const CACHE_BYTES: usize = 512 * 1024;

/// Why a store operation failed.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum StoreError {
    /// The database cannot be opened, read or written.
    #[error("{}: {source}", .path.display())]
    Database {
        /// The file.
        path: PathBuf,
        /// The database error.
        #[source]
        source: Box<redb::Error>,
    },
    /// The stored voter state cannot be decoded.
    #[error("{}: {source}", .path.display())]
    Decode {
        /// The file.
        path: PathBuf,
        /// The decoding error.
        #[source]
        source: serde_json::Error,
    },
    /// The voter state cannot be encoded.
    #[error("cannot encode the voter state: {0}")]
    Encode(#[source] serde_json::Error),
    /// The task that writes to the store has failed.
    #[error("write task failed: {0}")]
    WriterFailed(#[source] JoinError),
}

/// Boxes a database error, which would make results large.
fn boxed(error: impl Into<redb::Error>) -> Box<redb::Error> {
    Box::new(error.into())
}

/// The durable store of a proxy's leases.
#[derive(Clone)]
pub struct LeaseStore {
    database: Arc<Database>,
    path: PathBuf,
}

impl LeaseStore {
    /// Opens the store in a state folder. Creates it if it does not exist.
    pub fn open(folder: &Path) -> Result<LeaseStore, StoreError> {
        let path = folder.join(FILE_NAME);
        match Builder::new().set_cache_size(CACHE_BYTES).create(&path) {
            Ok(database) => Ok(LeaseStore {
                database: Arc::new(database),
                path,
            }),
            Err(error) => Err(StoreError::Database {
                path,
                source: boxed(error),
            }),
        }
    }

    fn database_error(&self, source: Box<redb::Error>) -> StoreError {
        StoreError::Database {
            path: self.path.clone(),
            source,
        }
    }

    fn read(&self, key: &str) -> Result<Option<Vec<u8>>, StoreError> {
        self.try_read(key)
            .map_err(|source| self.database_error(source))
    }

    fn try_read(&self, key: &str) -> Result<Option<Vec<u8>>, Box<redb::Error>> {
        let transaction = self.database.begin_read().map_err(boxed)?;
        let table = match transaction.open_table(TABLE) {
            Ok(table) => table,
            Err(TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(error) => return Err(boxed(error)),
        };
        let value = table.get(key).map_err(boxed)?;
        Ok(value.map(|value| value.value().to_vec()))
    }

    fn write(&self, key: &str, bytes: &[u8]) -> Result<(), StoreError> {
        self.try_write(key, bytes)
            .map_err(|source| self.database_error(source))
    }

    /// Writes a value and syncs it to disk.
    fn try_write(&self, key: &str, bytes: &[u8]) -> Result<(), Box<redb::Error>> {
        let mut transaction = self.database.begin_write().map_err(boxed)?;
        transaction.set_durability(Durability::Immediate);
        let mut table = transaction.open_table(TABLE).map_err(boxed)?;
        table.insert(key, bytes).map_err(boxed)?;
        drop(table);
        transaction.commit().map_err(boxed)
    }

    /// Reads the voter's state, which is empty if none is stored. A state that cannot be decoded is
    /// an error, because a voter without it could break promises of earlier grants.
    pub fn read_voter_state(&self) -> Result<VoterState, StoreError> {
        let Some(bytes) = self.read(VOTER_STATE_KEY)? else {
            return Ok(VoterState::default());
        };
        serde_json::from_slice(&bytes).map_err(|source| StoreError::Decode {
            path: self.path.clone(),
            source,
        })
    }

    /// Writes the voter's state and syncs it to disk.
    pub fn write_voter_state(&self, state: &VoterState) -> Result<(), StoreError> {
        let bytes = serde_json::to_vec(state).map_err(StoreError::Encode)?;
        self.write(VOTER_STATE_KEY, &bytes)
    }

    /// Reads the encoded audit collection.
    pub fn read_audit_collection(&self) -> Result<Option<Vec<u8>>, StoreError> {
        self.read(AUDIT_COLLECTION_KEY)
    }

    /// Writes the encoded audit collection.
    pub fn write_audit_collection(&self, bytes: &[u8]) -> Result<(), StoreError> {
        self.write(AUDIT_COLLECTION_KEY, bytes)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/lease_store.rs"]
mod tests;
