//! What survives a kill: a log of records with lengths and checksums. A change is written down
//! before it is made; a start reads the last committed generation, never one in probation. The disk
//! is behind a trait, so that every point at which it can fail is tried.
//!
//! The file: the line `heathroad-routing 1`, then records, each its payload's length and CRC-32
//! (little-endian, four bytes each) and the payload, one JSON object.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The format that is written, and read.
const FORMAT: u32 = 1;
const NAME: &str = "heathroad-routing";
/// Longest payload.
const MAX_RECORD: usize = 64 << 20;
/// The log is written anew when it is longer than its live part by this.
const COMPACT: usize = 1 << 20;

/// What is written down.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Record {
    /// A generation stands: a start begins with it.
    Committed {
        /// Its number.
        number: u64,
        /// Its text.
        text: String,
    },
    /// A change was begun.
    Opened {
        /// The number that it will have.
        number: u64,
        /// Its text.
        text: String,
    },
    /// It is in force, on probation.
    Applied {
        /// Its number.
        number: u64,
    },
    /// It was undone, or given up before it was applied.
    Closed {
        /// Its number.
        number: u64,
        /// Why.
        why: String,
    },
}

/// What a log says of the past.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Recovered {
    /// The last committed generation, number and text.
    pub committed: Option<(u64, String)>,
    /// A change that was open, and whether it had been applied: it is not started.
    pub open: Option<(u64, bool)>,
    /// The highest number that was ever given.
    pub highest: u64,
    /// Bytes of the log that are sound.
    pub sound: usize,
    /// What was wrong with the rest.
    pub note: Option<String>,
}

/// Why a log can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Unusable {
    /// It is of a newer format.
    Newer(u32),
    /// It is no such log.
    Foreign,
}

impl fmt::Display for Unusable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unusable::Newer(n) => write!(f, "the log is of format {n}; expected {FORMAT} or older"),
            Unusable::Foreign => write!(f, "this is no log of {NAME}"),
        }
    }
}

impl std::error::Error for Unusable {}

fn header() -> String {
    format!("{NAME} {FORMAT}\n")
}

fn encode(record: &Record) -> Vec<u8> {
    // Texts and numbers always make JSON.
    let payload = serde_json::to_vec(record).unwrap_or_default();
    let mut bytes = (payload.len() as u32).to_le_bytes().to_vec();
    bytes.extend(crc32fast::hash(&payload).to_le_bytes());
    bytes.extend(payload);
    bytes
}

/// Reads a log as far as it is sound. A torn or spoilt tail is noted, and what stands before it
/// holds.
pub fn read(bytes: &[u8]) -> Result<Recovered, Unusable> {
    let mut r = Recovered::default();
    if bytes.is_empty() {
        return Ok(r);
    }
    let line = bytes.iter().take(64).position(|b| *b == b'\n');
    let head = line.and_then(|end| std::str::from_utf8(&bytes[..end]).ok());
    let format = match (
        head.and_then(|h| h.strip_prefix(NAME)),
        header().as_bytes().starts_with(bytes),
    ) {
        (Some(rest), _) => rest.trim().parse::<u32>().map_err(|_| Unusable::Foreign)?,
        // Torn in its very first line: nothing was ever written behind it.
        (None, true) => {
            r.note = Some("the log was torn in its first line".into());
            return Ok(r);
        }
        (None, false) => return Err(Unusable::Foreign),
    };
    if format > FORMAT {
        return Err(Unusable::Newer(format));
    }
    r.sound = line.map_or(0, |end| end + 1);
    while r.sound < bytes.len() {
        match next(&bytes[r.sound..]) {
            Ok((record, length)) => {
                r.sound += length;
                r.apply(record);
            }
            Err(why) => {
                r.note = Some(format!(
                    "{} bytes behind the last sound record are {why}",
                    bytes.len() - r.sound
                ));
                break;
            }
        }
    }
    Ok(r)
}

fn next(bytes: &[u8]) -> Result<(Record, usize), &'static str> {
    let word = |at: usize| {
        bytes
            .get(at..at + 4)
            .and_then(|b| b.try_into().ok())
            .map(u32::from_le_bytes)
    };
    let (length, sum) = word(0).zip(word(4)).ok_or("torn")?;
    let length = length as usize;
    if length > MAX_RECORD {
        return Err("spoilt");
    }
    let payload = bytes.get(8..8 + length).ok_or("torn")?;
    if crc32fast::hash(payload) != sum {
        return Err("spoilt");
    }
    let record = serde_json::from_slice(payload).map_err(|_| "not understood")?;
    Ok((record, 8 + length))
}

impl Recovered {
    fn apply(&mut self, record: Record) {
        match record {
            Record::Committed { number, text } => {
                self.highest = self.highest.max(number);
                self.committed = Some((number, text));
                self.open = None;
            }
            Record::Opened { number, .. } => {
                self.highest = self.highest.max(number);
                self.open = Some((number, false));
            }
            Record::Applied { number } => {
                if self.open.is_some_and(|(n, _)| n == number) {
                    self.open = Some((number, true));
                }
            }
            Record::Closed { number, .. } => {
                if self.open.is_some_and(|(n, _)| n == number) {
                    self.open = None;
                }
            }
        }
    }
}

/// A disk, as far as a log needs one. Each may fail at any time; what was not synced may be lost by
/// a crash.
pub trait Disk {
    /// Why it failed.
    type Error: fmt::Display;
    /// The log's bytes; none if there is no log.
    fn load(&mut self) -> Result<Option<Vec<u8>>, Self::Error>;
    /// Cuts the log to a length.
    fn truncate(&mut self, length: usize) -> Result<(), Self::Error>;
    /// Writes behind the log's end.
    fn append(&mut self, bytes: &[u8]) -> Result<(), Self::Error>;
    /// Makes what was appended or cut last.
    fn sync(&mut self) -> Result<(), Self::Error>;
    /// Puts other bytes in the log's place: beside it, synced, then renamed, and the folder synced.
    fn replace(&mut self, bytes: &[u8]) -> Result<(), Self::Error>;
}

/// A log on a disk.
pub struct Journal<D> {
    disk: D,
    length: usize,
    /// What a log written anew would hold.
    committed: Option<Record>,
    open: Option<Record>,
    applied: Option<Record>,
    /// An append failed, so that the log's end is unknown: it is written anew before anything else.
    doubtful: bool,
}

/// Why a log could not be opened.
#[derive(Debug)]
pub enum OpenError<E> {
    /// The disk failed.
    Disk(E),
    /// The log can't be used, and was left as it is.
    Log(Unusable),
}

impl<E: fmt::Display> fmt::Display for OpenError<E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OpenError::Disk(e) => e.fmt(f),
            OpenError::Log(e) => e.fmt(f),
        }
    }
}

impl<D: Disk> Journal<D> {
    /// Opens the log, or begins one, and tells what it says. A tail that is not sound is cut away.
    pub fn open(mut disk: D) -> Result<(Self, Recovered), OpenError<D::Error>> {
        let bytes = disk.load().map_err(OpenError::Disk)?;
        let found = read(bytes.as_deref().unwrap_or_default()).map_err(OpenError::Log)?;
        let committed = found
            .committed
            .clone()
            .map(|(number, text)| Record::Committed { number, text });
        let mut journal = Journal {
            disk,
            length: found.sound,
            committed,
            open: None,
            applied: None,
            doubtful: false,
        };
        if found.sound == 0 {
            // None, or torn in its first line.
            journal.rewrite().map_err(OpenError::Disk)?;
        } else if bytes.is_some_and(|b| b.len() > found.sound) {
            journal
                .disk
                .truncate(found.sound)
                .and_then(|()| journal.disk.sync())
                .map_err(OpenError::Disk)?;
        }
        if let Some((number, _)) = found.open {
            // It is told that it ended by this start, so that the next start need not.
            let why = "the daemon ended before it was committed".into();
            journal
                .write(Record::Closed { number, why })
                .map_err(OpenError::Disk)?;
        }
        Ok((journal, found))
    }

    /// Writes a record down for good. If this fails, nothing of it counts, and it may be tried
    /// again.
    pub fn write(&mut self, record: Record) -> Result<(), D::Error> {
        let before = (
            self.committed.clone(),
            self.open.clone(),
            self.applied.clone(),
        );
        match &record {
            Record::Committed { .. } => {
                (self.committed, self.open, self.applied) = (Some(record.clone()), None, None);
            }
            Record::Opened { .. } => (self.open, self.applied) = (Some(record.clone()), None),
            Record::Applied { .. } => self.applied = Some(record.clone()),
            Record::Closed { .. } => (self.open, self.applied) = (None, None),
        }
        let bytes = encode(&record);
        let done = if self.doubtful || self.length + bytes.len() > self.live() + COMPACT {
            self.rewrite()
        } else {
            let done = self.disk.append(&bytes).and_then(|()| self.disk.sync());
            match done {
                Ok(()) => self.length += bytes.len(),
                // Part of it may lie there, synced or not.
                Err(_) => self.doubtful = true,
            }
            done
        };
        if done.is_err() {
            (self.committed, self.open, self.applied) = before;
        }
        done
    }

    fn records(&self) -> impl Iterator<Item = &Record> {
        [&self.committed, &self.open, &self.applied]
            .into_iter()
            .flatten()
    }

    fn live(&self) -> usize {
        self.records().map(|r| encode(r).len()).sum()
    }

    fn rewrite(&mut self) -> Result<(), D::Error> {
        let mut bytes = header().into_bytes();
        self.records().for_each(|r| bytes.extend(encode(r)));
        self.doubtful = true;
        self.disk.replace(&bytes)?;
        (self.length, self.doubtful) = (bytes.len(), false);
        Ok(())
    }

    /// The disk again.
    pub fn into_disk(self) -> D {
        self.disk
    }
}
