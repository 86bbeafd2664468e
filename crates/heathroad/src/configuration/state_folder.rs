//! The state folder, which holds the journal of configuration changes on disk.

use heathroad_routing::journal::JournalStorage;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The name of the journal's file.
const JOURNAL_FILE: &str = "routing.log";
/// The temporary file that holds a new journal until it is renamed over the old one.
const REPLACEMENT_FILE: &str = "routing.log.new";

/// The folder with the journal, as its storage.
pub struct StateFolder {
    path: PathBuf,
}

impl StateFolder {
    /// Creates the storage in an existing folder.
    pub fn new(path: &Path) -> StateFolder {
        StateFolder {
            path: path.to_path_buf(),
        }
    }

    fn journal_path(&self) -> PathBuf {
        self.path.join(JOURNAL_FILE)
    }

    /// Flushes the folder's entries to disk, so that a rename survives a crash.
    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

impl JournalStorage for StateFolder {
    type Error = io::Error;

    fn load(&mut self) -> io::Result<Option<Vec<u8>>> {
        match std::fs::read(self.journal_path()) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    fn truncate(&mut self, length: usize) -> io::Result<()> {
        OpenOptions::new()
            .write(true)
            .open(self.journal_path())?
            .set_len(length as u64)
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        OpenOptions::new()
            .append(true)
            .open(self.journal_path())?
            .write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        File::open(self.journal_path())?.sync_all()
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        let replacement = self.path.join(REPLACEMENT_FILE);
        let mut file = File::create(&replacement)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        std::fs::rename(&replacement, self.journal_path())?;
        self.sync_folder()
    }
}
