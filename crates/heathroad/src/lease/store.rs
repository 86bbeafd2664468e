//! What lasts, where there is a state folder: what a voter must not forget, each change synced
//! before the answer that rests on it goes; and what the collector keeps. One file, by `redb`:
//! whole at any time, whenever the process or the machine ends.

use heathroad_lease::voter::Memory;
use redb::{Builder, Database, Durability, TableDefinition, TableError};
use std::path::Path;
use std::sync::Arc;

const TABLE: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("duties");
/// What a voter must not forget.
const MEMORY: &str = "memory";
/// What the collector keeps.
const COLLECTED: &str = "collected";
/// Of the file that is held in memory, in bytes.
const CACHE: usize = 512 * 1024;

/// The file.
#[derive(Clone)]
pub struct Store {
    database: Arc<Database>,
    path: String,
}

impl Store {
    /// Opens the file in a state folder, or makes it.
    pub fn open(folder: &Path) -> Result<Store, String> {
        let file = folder.join("duties.redb");
        let path = file.display().to_string();
        let database = Builder::new()
            .set_cache_size(CACHE)
            .create(&file)
            .map_err(|e| format!("{path}: {e}"))?;
        Ok(Store {
            database: Arc::new(database),
            path,
        })
    }

    fn read(&self, key: &str) -> Result<Option<Vec<u8>>, String> {
        let wrong = |e: &dyn std::fmt::Display| format!("{}: {e}", self.path);
        let reading = self.database.begin_read().map_err(|e| wrong(&e))?;
        let table = match reading.open_table(TABLE) {
            Ok(table) => table,
            Err(TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(e) => return Err(wrong(&e)),
        };
        let value = table.get(key).map_err(|e| wrong(&e))?;
        Ok(value.map(|v| v.value().to_vec()))
    }

    fn write(&self, key: &str, bytes: &[u8], durability: Durability) -> Result<(), String> {
        let wrong = |e: &dyn std::fmt::Display| format!("{}: {e}", self.path);
        let mut writing = self.database.begin_write().map_err(|e| wrong(&e))?;
        writing.set_durability(durability);
        {
            let mut table = writing.open_table(TABLE).map_err(|e| wrong(&e))?;
            table.insert(key, bytes).map_err(|e| wrong(&e))?;
        }
        writing.commit().map_err(|e| wrong(&e))
    }

    /// What a voter had kept. One that can't be read is an error: it would grant what it had
    /// promised not to.
    pub fn memory(&self) -> Result<Memory, String> {
        let Some(bytes) = self.read(MEMORY)? else {
            return Ok(Memory::default());
        };
        serde_json::from_slice(&bytes).map_err(|e| format!("{}: {e}", self.path))
    }

    /// Keeps it; on disk when this returns.
    pub fn keep(&self, memory: &Memory) -> Result<(), String> {
        let bytes = serde_json::to_vec(memory).map_err(|e| e.to_string())?;
        self.write(MEMORY, &bytes, Durability::Immediate)
    }

    /// What the collector kept.
    pub fn collected(&self) -> Result<Option<Vec<u8>>, String> {
        self.read(COLLECTED)
    }

    /// Keeps it.
    pub fn collect(&self, bytes: &[u8]) -> Result<(), String> {
        self.write(COLLECTED, bytes, Durability::Immediate)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/duty_store.rs"]
mod tests;
