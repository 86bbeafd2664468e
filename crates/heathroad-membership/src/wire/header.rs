//! The datagram header, whose format is the same in all protocol versions.

use crate::codec::{DecodeError, INCARNATION_BYTES, Reader, Writer};
use crate::{Incarnation, MemberId};

/// The maximum length of a fleet's name in bytes.
pub const MAX_FLEET_NAME_BYTES: usize = 16;

const MAGIC: [u8; 2] = *b"hf";
/// The protocol version, the supported range, and the length of the fleet's name.
const FIXED_FIELD_BYTES: usize = 4;
const MEMBER_ID_BYTES: usize = 2;
const SEQUENCE_BYTES: usize = 4;

/// The header of a datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// The protocol version of this datagram.
    pub protocol: u8,
    /// The lowest and the highest protocol version that the sender supports.
    pub supported_protocols: [u8; 2],
    /// The name of the fleet, at most [`MAX_FLEET_NAME_BYTES`] long.
    pub fleet_name: Vec<u8>,
    /// The sender.
    pub sender: MemberId,
    /// The sender's incarnation.
    pub sender_incarnation: Incarnation,
    /// The recipient.
    pub recipient: MemberId,
    /// The recipient's incarnation as known to the sender, or 0 if it is unknown.
    pub recipient_incarnation: Incarnation,
    /// Increases with every datagram that the sender's process sends.
    pub sequence: u32,
}

impl Header {
    /// Appends the encoded header to `writer`.
    pub fn encode(&self, writer: &mut Writer) {
        writer.write_bytes(&MAGIC);
        writer.write_u8(self.protocol);
        writer.write_bytes(&self.supported_protocols);
        writer.write_u8(self.fleet_name.len() as u8);
        writer.write_bytes(&self.fleet_name);
        writer.write_u16(self.sender);
        writer.write_incarnation(self.sender_incarnation);
        writer.write_u16(self.recipient);
        writer.write_incarnation(self.recipient_incarnation);
        writer.write_u32(self.sequence);
    }

    /// Decodes a header from the front of `reader`.
    pub fn decode(reader: &mut Reader<'_>) -> Result<Header, DecodeError> {
        if reader.read_array()? != MAGIC {
            return Err(DecodeError::InvalidMagic);
        }
        let [protocol, lowest, highest, name_length] = reader.read_array()?;
        if lowest > highest {
            return Err(DecodeError::InvalidProtocolRange { lowest, highest });
        }
        let name_length = usize::from(name_length);
        if name_length > MAX_FLEET_NAME_BYTES {
            return Err(DecodeError::TooLong {
                field: "fleet name",
                length: name_length,
                limit: MAX_FLEET_NAME_BYTES,
            });
        }
        Ok(Header {
            protocol,
            supported_protocols: [lowest, highest],
            fleet_name: reader.read_bytes(name_length)?.to_vec(),
            sender: reader.read_u16()?,
            sender_incarnation: reader.read_incarnation()?,
            recipient: reader.read_u16()?,
            recipient_incarnation: reader.read_incarnation()?,
            sequence: reader.read_u32()?,
        })
    }

    /// Returns the length of the encoded header in bytes.
    pub fn encoded_len(&self) -> usize {
        let endpoint = MEMBER_ID_BYTES + INCARNATION_BYTES;
        MAGIC.len() + FIXED_FIELD_BYTES + self.fleet_name.len() + 2 * endpoint + SEQUENCE_BYTES
    }
}
