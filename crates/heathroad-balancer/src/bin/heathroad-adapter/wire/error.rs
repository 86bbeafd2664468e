//! What can be wrong with input on the simulator's wire.

use std::io;

/// Why a frame or one of its records can't be used. Positions are bytes from the frame's start.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// Standard input failed.
    #[error("frame: {0}")]
    Input(#[source] io::Error),
    /// The input ended inside a frame's header.
    #[error("frame: truncated in its header, {read} of {header} bytes")]
    TruncatedHeader { read: usize, header: usize },
    /// The frame's length has no room for its clock.
    #[error("frame: byte 4: length {length} is shorter than the clock")]
    LengthWithoutClock { length: usize },
    /// The input ended inside a frame's body.
    #[error("frame: truncated, {read} of {length} bytes after the header")]
    TruncatedBody { read: usize, length: usize },
    /// The frame ended inside a field.
    #[error("byte {at}: truncated in {field}")]
    TruncatedField { at: usize, field: &'static str },
    /// A number is infinite or not a number.
    #[error("byte {at}: {field} is not finite")]
    NotFinite { at: usize, field: &'static str },
    /// A code is none that the wire defines.
    #[error("byte {at}: {field} {code} is unknown")]
    UnknownCode {
        at: usize,
        field: &'static str,
        code: u16,
    },
    /// A list's number is too large.
    #[error("byte {at}: page {page} is out of range")]
    PageOutOfRange { at: usize, page: u32 },
    /// An event names a list that was never sent.
    #[error("byte {at}: page {page} was never defined")]
    UndefinedPage { at: usize, page: u32 },
    /// Bytes follow the last record.
    #[error("byte {at}: {count} bytes left over after the last record")]
    TrailingBytes { at: usize, count: usize },
    /// A record is malformed.
    #[error("record {index}: {source}")]
    MalformedRecord {
        index: u32,
        #[source]
        source: Box<WireError>,
    },
    /// A record is well-formed and can't be carried out.
    #[error("record {index}: byte {at}: {source}")]
    RejectedRecord {
        index: u32,
        at: usize,
        #[source]
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}
