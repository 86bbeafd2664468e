//! The state folder: the log of the configuration, on a real disk.

use heathroad_routing::journal::Disk;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// A folder that holds the log.
pub struct Folder {
    folder: PathBuf,
}

impl Folder {
    /// The log in a folder, which must be there.
    pub fn new(folder: &Path) -> Folder {
        Folder {
            folder: folder.to_path_buf(),
        }
    }

    fn log(&self) -> PathBuf {
        self.folder.join("routing.log")
    }

    /// A name in a folder lasts once the folder is synced.
    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }
}

impl Disk for Folder {
    type Error = io::Error;

    fn load(&mut self) -> io::Result<Option<Vec<u8>>> {
        match std::fs::read(self.log()) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    fn truncate(&mut self, length: usize) -> io::Result<()> {
        OpenOptions::new()
            .write(true)
            .open(self.log())?
            .set_len(length as u64)
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        OpenOptions::new()
            .append(true)
            .open(self.log())?
            .write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        File::open(self.log())?.sync_all()
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        let beside = self.folder.join("routing.log.new");
        let mut file = File::create(&beside)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        std::fs::rename(&beside, self.log())?;
        self.sync_folder()
    }
}
