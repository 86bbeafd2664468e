//! The datagram format: a header, a message, any number of updates, and the authentication tag, in
//! at most [`MAX_DATAGRAM_BYTES`]. A datagram that cannot be decoded completely is dropped.
//! `docs/specs/membership-datagrams.md` specifies the format.

mod header;
mod message;
mod update;

pub use header::{Header, MAX_FLEET_NAME_BYTES};
pub use message::{Message, Resource};
pub use update::Update;

use crate::codec::{DecodeError, Reader, Writer};

/// The maximum length of a datagram in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// The length of the authentication tag in bytes.
pub const TAG_BYTES: usize = 16;
/// The lowest and the highest protocol version that this build supports.
pub const SUPPORTED_PROTOCOLS: [u8; 2] = [1, 1];

/// Returns the highest protocol version that both members support, given the lowest and the highest
/// of each.
pub fn negotiate_protocol(ours: [u8; 2], theirs: [u8; 2]) -> Option<u8> {
    let highest = ours[1].min(theirs[1]);
    let lowest = ours[0].max(theirs[0]);
    (highest >= lowest).then_some(highest)
}

/// Encodes a message and as many of the updates, in order, as fit into `capacity` bytes. Returns
/// the number of encoded updates.
pub fn encode_content(
    message: Message,
    updates: &[Update],
    capacity: usize,
    writer: &mut Writer,
) -> usize {
    let end = writer.len() + capacity;
    message.encode(writer);
    let mut encoded = 0;
    for update in updates {
        let start = writer.len();
        update.encode(writer);
        if writer.len() > end {
            writer.truncate(start);
            break;
        }
        encoded += 1;
    }
    encoded
}

/// Decodes a message and the updates that follow it.
pub fn decode_content(reader: &mut Reader<'_>) -> Result<(Message, Vec<Update>), DecodeError> {
    let message = Message::decode(reader)?;
    let mut updates = Vec::new();
    while !reader.is_empty() {
        updates.push(Update::decode(reader)?);
    }
    Ok((message, updates))
}
