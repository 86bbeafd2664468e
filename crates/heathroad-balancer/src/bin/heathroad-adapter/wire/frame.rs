//! Reads frames: batches of records with a clock time.

use super::error::WireError;
use super::reader::Reader;
use std::io::Read;

/// Size of a frame's header.
pub const HEADER_BYTES: usize = 16;
/// Size of the clock, which is part of the header but included in the frame's length.
const CLOCK_BYTES: usize = 8;

/// A frame with undecoded records.
pub struct Frame {
    /// The clock time in milliseconds.
    pub now: f64,
    /// The number of records.
    pub count: u32,
    /// The encoded records.
    pub body: Vec<u8>,
}

/// Reads a frame. Returns `None` if the input ends before it.
pub fn read_frame(input: &mut impl Read) -> Result<Option<Frame>, WireError> {
    let header = read_up_to(input, HEADER_BYTES)?;
    if header.is_empty() {
        return Ok(None);
    }
    if header.len() < HEADER_BYTES {
        return Err(WireError::TruncatedHeader {
            read: header.len(),
            header: HEADER_BYTES,
        });
    }
    let mut reader = Reader::new(&header, 0);
    let count = reader.u32("count")?;
    let length = reader.u32("length")? as usize;
    let now = reader.f64("clock")?;
    let Some(length) = length.checked_sub(CLOCK_BYTES) else {
        return Err(WireError::LengthTooShort { length });
    };
    let body = read_up_to(input, length)?;
    if body.len() < length {
        return Err(WireError::TruncatedBody {
            read: body.len(),
            length,
        });
    }
    Ok(Some(Frame { now, count, body }))
}

/// Reads `length` bytes, or fewer if the input ends.
fn read_up_to(input: &mut impl Read, length: usize) -> Result<Vec<u8>, WireError> {
    let mut bytes = Vec::new();
    input
        .by_ref()
        .take(length as u64)
        .read_to_end(&mut bytes)
        .map_err(WireError::Input)?;
    Ok(bytes)
}
