//! Recovery of the transaction state from a journal.

use super::record::{FORMAT_NAME, FORMAT_VERSION, Record, header};

/// The maximum length of the first line of a journal.
const MAX_HEADER_BYTES: usize = 64;

/// A transaction that was open when the journal ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenTransaction {
    /// The number of its generation.
    pub number: u64,
    /// Whether the generation was applied and on probation.
    pub applied: bool,
}

/// The state recovered from a journal.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RecoveredState {
    /// The number and the text of the last committed generation.
    pub committed: Option<(u64, String)>,
    /// The open transaction. Startup does not resume it.
    pub open_transaction: Option<OpenTransaction>,
    /// The highest generation number ever assigned.
    pub highest_number: u64,
    /// The length of the valid part of the journal in bytes.
    pub valid_bytes: usize,
    /// A human-readable description of damage after the valid part.
    pub damage: Option<String>,
}

/// Why a file cannot be used as a journal.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum FormatError {
    /// The file has a newer format version.
    #[error("the journal has format version {0}; expected {FORMAT_VERSION} or older")]
    Newer(u32),
    /// The file is not a journal.
    #[error("not a journal of {FORMAT_NAME}")]
    Foreign,
}

/// Reads a journal up to its end or the first damaged record.
///
/// # Errors
///
/// Fails if the bytes are not a journal of a known format.
pub fn recover(bytes: &[u8]) -> Result<RecoveredState, FormatError> {
    let mut state = RecoveredState::default();
    if bytes.is_empty() {
        return Ok(state);
    }
    if header().as_bytes().starts_with(bytes) && !bytes.contains(&b'\n') {
        // The journal was being created, so it never held a record.
        state.damage = Some("the first line of the journal is truncated".into());
        return Ok(state);
    }
    state.valid_bytes = check_header(bytes)?;
    while state.valid_bytes < bytes.len() {
        match Record::decode(&bytes[state.valid_bytes..]) {
            Ok((record, length)) => {
                state.valid_bytes += length;
                state.replay(record);
            }
            Err(error) => {
                let lost_bytes = bytes.len() - state.valid_bytes;
                let damage = format!("{lost_bytes} bytes after the last valid record are {error}");
                state.damage = Some(damage);
                break;
            }
        }
    }
    Ok(state)
}

/// Checks the first line and returns its length including the line feed.
fn check_header(bytes: &[u8]) -> Result<usize, FormatError> {
    let line_end = bytes
        .iter()
        .take(MAX_HEADER_BYTES)
        .position(|b| *b == b'\n');
    let line_end = line_end.ok_or(FormatError::Foreign)?;
    let line = std::str::from_utf8(&bytes[..line_end]).map_err(|_| FormatError::Foreign)?;
    let version = line.strip_prefix(FORMAT_NAME).ok_or(FormatError::Foreign)?;
    let version = version.trim().parse().map_err(|_| FormatError::Foreign)?;
    if version > FORMAT_VERSION {
        return Err(FormatError::Newer(version));
    }
    Ok(line_end + 1)
}

impl RecoveredState {
    fn replay(&mut self, record: Record) {
        match record {
            Record::Committed { number, text } => {
                self.highest_number = self.highest_number.max(number);
                self.committed = Some((number, text));
                self.open_transaction = None;
            }
            Record::Opened { number, .. } => {
                self.highest_number = self.highest_number.max(number);
                self.open_transaction = Some(OpenTransaction {
                    number,
                    applied: false,
                });
            }
            Record::Applied { number } => {
                if let Some(open) = self.open_transaction_mut(number) {
                    open.applied = true;
                }
            }
            Record::Closed { number, .. } => {
                if self.open_transaction_mut(number).is_some() {
                    self.open_transaction = None;
                }
            }
        }
    }

    fn open_transaction_mut(&mut self, number: u64) -> Option<&mut OpenTransaction> {
        self.open_transaction
            .as_mut()
            .filter(|open| open.number == number)
    }
}
