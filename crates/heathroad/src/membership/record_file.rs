//! The activity record on disk, where there is a state folder. It is written to a temporary file
//! and renamed, so that it is complete at any time. What was not written yet when the process ended
//! is on no record, and the next record says so.

use super::activity_log::ActivityLog;
use crate::runtime_accounting::sleep;
use heathroad_membership::activity_record::RecordSnapshot;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::task::spawn_blocking;

/// The name of the file in the state folder.
const FILE_NAME: &str = "acts.json";
/// The name under which it is written before it is renamed.
const TEMPORARY_FILE_NAME: &str = "acts.json.new";
/// The pause between two writes, while anything changes.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);
/// The longest file that is read, in bytes.
const MAX_FILE_BYTES: u64 = 4 << 20;

/// Why a record cannot be read. The proxy then begins a new one.
#[derive(Debug, Error)]
#[error("{path}: {cause}; a new record begins", path = .path.display())]
pub struct RecordFileError {
    path: PathBuf,
    #[source]
    cause: RecordFileErrorCause,
}

#[derive(Debug, Error)]
enum RecordFileErrorCause {
    #[error("{0}")]
    Unreadable(#[from] io::Error),
    #[error("{length} bytes, {MAX_FILE_BYTES} at most are expected")]
    TooLong { length: u64 },
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
}

/// Reads the record of an earlier process, if there is one.
pub fn read(folder: &Path) -> Result<Option<RecordSnapshot>, RecordFileError> {
    let path = folder.join(FILE_NAME);
    read_file(&path).map_err(|cause| RecordFileError { path, cause })
}

fn read_file(path: &Path) -> Result<Option<RecordSnapshot>, RecordFileErrorCause> {
    let length = match std::fs::metadata(path) {
        Ok(metadata) => metadata.len(),
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error.into()),
    };
    if length > MAX_FILE_BYTES {
        return Err(RecordFileErrorCause::TooLong { length });
    }
    let text = std::fs::read(path)?;
    Ok(Some(serde_json::from_slice(&text)?))
}

/// Writes a record.
pub(super) fn write(folder: &Path, record: &RecordSnapshot) -> io::Result<()> {
    let temporary = folder.join(TEMPORARY_FILE_NAME);
    std::fs::write(&temporary, serde_json::to_vec(record)?)?;
    std::fs::rename(&temporary, folder.join(FILE_NAME))
}

/// Writes the record whenever it has changed, for as long as the process runs.
pub(super) async fn write_continuously(folder: PathBuf, log: Rc<ActivityLog>) {
    let mut written: Option<RecordSnapshot> = None;
    let mut is_failing = false;
    loop {
        let record = log.snapshot();
        if !written
            .as_ref()
            .is_some_and(|written| has_same_content(written, &record))
        {
            let result = write_in_background(folder.clone(), record.clone()).await;
            if let Err(error) = &result
                && !is_failing
            {
                tracing::warn!("fleet: record: {}: {error}", folder.display());
            }
            is_failing = result.is_err();
            written = result.is_ok().then_some(record);
        }
        sleep(WRITE_INTERVAL).await;
    }
}

fn has_same_content(written: &RecordSnapshot, record: &RecordSnapshot) -> bool {
    written.intervals == record.intervals
        && written.discarded == record.discarded
        && written.faults == record.faults
}

async fn write_in_background(folder: PathBuf, record: RecordSnapshot) -> io::Result<()> {
    let writing = spawn_blocking(move || write(&folder, &record));
    writing
        .await
        .unwrap_or_else(|error| Err(io::Error::other(error)))
}
