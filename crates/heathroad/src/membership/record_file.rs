//! Stores the activity record in the state folder, if there is one. Each write goes to a temporary
//! file that is then renamed, so that readers never see a partial record. Activity after the last
//! write is lost if the process dies; the next record reports the gap.

use super::activity_log::ActivityLog;
use crate::runtime_accounting::sleep;
use heathroad_membership::activity_record::RecordSnapshot;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::task::spawn_blocking;

/// The name of the record in the state folder.
const FILE_NAME: &str = "acts.json";
/// The name of the temporary file.
const TEMPORARY_FILE_NAME: &str = "acts.json.new";
/// The interval at which changes are written.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);
/// The largest file that is read.
const MAX_FILE_BYTES: u64 = 4 << 20;

/// Why a record cannot be read. The proxy then starts a new one.
#[derive(Debug, Error)]
#[error("{path}: {cause}; starting a new record", path = .path.display())]
pub struct RecordFileError {
    path: PathBuf,
    #[source]
    cause: RecordFileErrorCause,
}

#[derive(Debug, Error)]
enum RecordFileErrorCause {
    #[error("{0}")]
    Unreadable(#[from] io::Error),
    #[error("file has {length} bytes, the limit is {MAX_FILE_BYTES}")]
    TooLong { length: u64 },
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
}

/// Reads the record of the previous process, if there is one.
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

/// Writes the record whenever it has changed. Never returns.
pub(super) async fn run_writer(folder: PathBuf, log: Rc<ActivityLog>) {
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
