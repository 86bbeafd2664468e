//! Errors in input from the simulator.

use std::io;

/// An error in a frame or one of its records. Positions are byte offsets from the frame's start.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// Reading standard input failed.
    #[error("frame: {0}")]
    Input(#[source] io::Error),
    /// The input ended inside a frame's header.
    #[error("frame: truncated in its header, {read} of {header} bytes")]
    TruncatedHeader { read: usize, header: usize },
    /// The frame's length is too small for its clock.
    #[error("frame: byte 4: length {length} is shorter than the clock")]
    LengthTooShort { length: usize },
    /// The input ended inside a frame's body.
    #[error("frame: truncated, {read} of {length} bytes after the header")]
    TruncatedBody { read: usize, length: usize },
    /// The frame ended inside a field.
    #[error("byte {at}: truncated in {field}")]
    TruncatedField { at: usize, field: &'static str },
    /// A number is infinite or NaN.
    #[error("byte {at}: {field} is not finite")]
    NotFinite { at: usize, field: &'static str },
    /// A code is not defined by the protocol.
    #[error("byte {at}: {field} {code} is unknown")]
    UnknownCode {
        at: usize,
        field: &'static str,
        code: u16,
    },
    /// A page number is too large.
    #[error("byte {at}: page {page} is out of range")]
    PageOutOfRange { at: usize, page: u32 },
    /// An event refers to a page that was never sent.
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
    /// A well-formed record could not be processed.
    #[error("record {index}: byte {at}: {source}")]
    RejectedRecord {
        index: u32,
        at: usize,
        #[source]
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}
