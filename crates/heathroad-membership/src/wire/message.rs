//! Messages, of which each datagram carries one.

use crate::MemberId;
use crate::codec::{DecodeError, Reader, Writer};
use crate::version::Digest;

/// Message codes on the wire.
mod code {
    pub const PING: u8 = 1;
    pub const ACK: u8 = 2;
    pub const PING_REQUEST: u8 = 3;
    pub const NACK: u8 = 4;
    pub const GOSSIP: u8 = 5;
    pub const VERSION_REQUEST: u8 = 6;
    pub const VERSION_REPLY: u8 = 7;
    pub const PART_REQUEST: u8 = 8;
    pub const PART: u8 = 9;
    pub const PIGGYBACK: u8 = 10;
}

/// The purpose of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Message {
    /// Probes the recipient, which replies with [`Message::Ack`] and the same nonce.
    Ping {
        /// Chosen by the sender.
        nonce: u32,
    },
    /// Replies to a probe, or reports that the target of a [`Message::PingRequest`] replied.
    Ack {
        /// The nonce of the [`Message::Ping`] or [`Message::PingRequest`].
        nonce: u32,
    },
    /// Asks the recipient to probe another member.
    PingRequest {
        /// The nonce of the sender's own probe.
        nonce: u32,
        /// The member to probe.
        target: MemberId,
    },
    /// Reports that the target of a [`Message::PingRequest`] did not reply in time. It also shows
    /// that the helper itself is reachable.
    Nack {
        /// The nonce of the [`Message::PingRequest`].
        nonce: u32,
    },
    /// Carries only updates.
    Gossip,
    /// Requests the version with this digest.
    VersionRequest {
        /// The member that runs the version.
        member: MemberId,
        /// The digest of the version.
        digest: Digest,
    },
    /// Replies to [`Message::VersionRequest`]; the version follows as an update.
    VersionReply,
    /// Requests one part of a resource.
    PartRequest {
        /// Identifies the fetch; chosen by the sender.
        id: u32,
        /// The kind of resource.
        resource: Resource,
        /// Identifies the resource among those of its kind.
        key: Digest,
        /// The index of the part.
        part: u32,
    },
    /// Carries one part of a resource; its bytes follow as an update.
    Part {
        /// Identifies the fetch.
        id: u32,
        /// The length of the resource in bytes, or [`u32::MAX`] if it does not exist.
        length: u32,
        /// The index of the part.
        part: u32,
    },
    /// Carries a message of another protocol; its bytes follow as an update.
    Piggyback,
}

/// A kind of resource that members fetch from each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Resource {
    /// The activity record of a proxy.
    ActivityRecord = 1,
    /// A generation of routes, identified by digest.
    Routes = 2,
    /// The history of lease holders as known to a proxy.
    LeaseHistory = 3,
    /// The records of the fleet's audit collector, identified by digest; a zero digest stands for
    /// the current ones.
    CollectedRecords = 4,
}

impl Resource {
    fn from_code(code: u8) -> Result<Resource, DecodeError> {
        match code {
            1 => Ok(Resource::ActivityRecord),
            2 => Ok(Resource::Routes),
            3 => Ok(Resource::LeaseHistory),
            4 => Ok(Resource::CollectedRecords),
            _ => Err(DecodeError::UnknownCode {
                field: "resource",
                code,
            }),
        }
    }
}

impl Message {
    pub(super) fn encode(self, writer: &mut Writer) {
        match self {
            Message::Ping { nonce } => encode_nonce(writer, code::PING, nonce),
            Message::Ack { nonce } => encode_nonce(writer, code::ACK, nonce),
            Message::PingRequest { nonce, target } => {
                encode_nonce(writer, code::PING_REQUEST, nonce);
                writer.write_u16(target);
            }
            Message::Nack { nonce } => encode_nonce(writer, code::NACK, nonce),
            Message::Gossip => writer.write_u8(code::GOSSIP),
            Message::VersionRequest { member, digest } => {
                writer.write_u8(code::VERSION_REQUEST);
                writer.write_u16(member);
                writer.write_bytes(&digest.0);
            }
            Message::VersionReply => writer.write_u8(code::VERSION_REPLY),
            Message::PartRequest {
                id,
                resource,
                key,
                part,
            } => {
                writer.write_u8(code::PART_REQUEST);
                writer.write_u32(id);
                writer.write_u8(resource as u8);
                writer.write_bytes(&key.0);
                writer.write_u32(part);
            }
            Message::Part { id, length, part } => {
                writer.write_u8(code::PART);
                writer.write_u32(id);
                writer.write_u32(length);
                writer.write_u32(part);
            }
            Message::Piggyback => writer.write_u8(code::PIGGYBACK),
        }
    }

    pub(super) fn decode(reader: &mut Reader<'_>) -> Result<Message, DecodeError> {
        match reader.read_u8()? {
            code::PING => Ok(Message::Ping {
                nonce: reader.read_u32()?,
            }),
            code::ACK => Ok(Message::Ack {
                nonce: reader.read_u32()?,
            }),
            code::PING_REQUEST => Ok(Message::PingRequest {
                nonce: reader.read_u32()?,
                target: reader.read_u16()?,
            }),
            code::NACK => Ok(Message::Nack {
                nonce: reader.read_u32()?,
            }),
            code::GOSSIP => Ok(Message::Gossip),
            code::VERSION_REQUEST => Ok(Message::VersionRequest {
                member: reader.read_u16()?,
                digest: Digest(reader.read_array()?),
            }),
            code::VERSION_REPLY => Ok(Message::VersionReply),
            code::PART_REQUEST => Ok(Message::PartRequest {
                id: reader.read_u32()?,
                resource: Resource::from_code(reader.read_u8()?)?,
                key: Digest(reader.read_array()?),
                part: reader.read_u32()?,
            }),
            code::PART => Ok(Message::Part {
                id: reader.read_u32()?,
                length: reader.read_u32()?,
                part: reader.read_u32()?,
            }),
            code::PIGGYBACK => Ok(Message::Piggyback),
            code => Err(DecodeError::UnknownCode {
                field: "message",
                code,
            }),
        }
    }
}

fn encode_nonce(writer: &mut Writer, code: u8, nonce: u32) {
    writer.write_u8(code);
    writer.write_u32(nonce);
}
