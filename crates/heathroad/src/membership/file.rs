//! The record on disk, where there is a state folder: written beside and renamed, so that it is
//! whole at any time. What was not written yet when the process ended is on nobody's record, and
//! the next one says so.

use super::activity_log::ActivityLog;
use crate::runtime_accounting::sleep;
use heathroad_membership::activity_record::RecordSnapshot;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_blocking;

/// How often the record is written, while something is done.
const OFTEN: Duration = Duration::from_secs(1);
/// Longest record that is read.
const MAX_FILE: u64 = 4 << 20;

fn path(folder: &Path) -> PathBuf {
    folder.join("acts.json")
}

/// What an earlier process kept; what can't be read is said, and counts as none.
pub fn read(folder: &Path) -> Result<Option<RecordSnapshot>, String> {
    let file = path(folder);
    let wrong =
        |e: &dyn std::fmt::Display| format!("{}: {e}; the record begins anew", file.display());
    let length = match std::fs::metadata(&file) {
        Ok(found) => found.len(),
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(wrong(&e)),
    };
    if length > MAX_FILE {
        return Err(wrong(&format!(
            "{length} bytes, {MAX_FILE} at most are expected"
        )));
    }
    let text = std::fs::read(&file).map_err(|e| wrong(&e))?;
    serde_json::from_slice(&text)
        .map(Some)
        .map_err(|e| wrong(&e))
}

/// Writes a record down.
pub fn write(folder: &Path, told: &RecordSnapshot) -> io::Result<()> {
    let beside = folder.join("acts.json.new");
    std::fs::write(&beside, serde_json::to_vec(told)?)?;
    std::fs::rename(&beside, path(folder))
}

/// Keeps the record for as long as the process lives.
pub async fn keep(folder: PathBuf, acts: Rc<ActivityLog>) {
    let (mut written, mut failing) = (None, false);
    loop {
        let told = acts.snapshot();
        let same = written.as_ref().is_some_and(|w: &RecordSnapshot| {
            (&w.intervals, &w.discarded, &w.spells)
                == (&told.intervals, &told.discarded, &told.spells)
        });
        if !same {
            let (to, copy) = (folder.clone(), told.clone());
            let done = spawn_blocking(move || write(&to, &copy)).await;
            let done = done.unwrap_or_else(|e| Err(io::Error::other(e)));
            if let Err(e) = &done
                && !failing
            {
                tracing::warn!("fleet: record: {}: {e}", folder.display());
            }
            failing = done.is_err();
            written = done.is_ok().then_some(told);
        }
        sleep(OFTEN).await;
    }
}
