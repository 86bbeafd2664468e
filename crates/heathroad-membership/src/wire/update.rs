//! Updates, which are appended to messages.

use crate::claim::{Claim, MemberState, Revision};
use crate::codec::{DecodeError, Reader, Writer};
use crate::version::{Digest, Version};
use crate::{Incarnation, MemberId};

/// Update codes on the wire.
mod code {
    pub const CLAIM: u8 = 1;
    pub const ACTIVE_VERSION: u8 = 2;
    pub const VERSION: u8 = 3;
    pub const BYTES: u8 = 4;
    pub const DESIRED_VERSION: u8 = 5;
    pub const VERSION_CONFLICT: u8 = 6;
    pub const REQUIRED_VERSION: u8 = 7;
}

/// A piece of state or data that a datagram carries in addition to its message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Update {
    /// A claim about the state of a member.
    Claim(Claim),
    /// The version that a member runs.
    ActiveVersion {
        /// The member.
        member: MemberId,
        /// The incarnation of the member.
        incarnation: Incarnation,
        /// Numbers the versions that the member has run in this incarnation.
        sequence: u32,
        /// The digest of the version.
        digest: Digest,
    },
    /// A version in full.
    Version(Version),
    /// At most 255 bytes of a resource or of a message of another protocol.
    Bytes(Vec<u8>),
    /// A generation of routes that all members should run.
    DesiredVersion {
        /// The generation.
        generation: u64,
        /// The digest of its routes.
        digest: Digest,
        /// The member that committed it first.
        origin: MemberId,
    },
    /// A deadline after which no member may run a lower generation.
    RequiredVersion {
        /// The generation.
        generation: u64,
        /// The digest of its routes.
        digest: Digest,
        /// The remaining time until the deadline.
        remaining_ms: u32,
    },
    /// Two different sets of routes were committed with the same generation.
    VersionConflict {
        /// The generation.
        generation: u64,
        /// The digests of the routes, the lower one first.
        digests: [Digest; 2],
    },
}

impl Update {
    pub(super) fn encode(&self, writer: &mut Writer) {
        match self {
            Update::Claim(claim) => encode_claim(claim, writer),
            Update::ActiveVersion {
                member,
                incarnation,
                sequence,
                digest,
            } => {
                writer.write_u8(code::ACTIVE_VERSION);
                writer.write_u16(*member);
                writer.write_incarnation(*incarnation);
                writer.write_u32(*sequence);
                writer.write_bytes(&digest.0);
            }
            Update::Version(version) => {
                writer.write_u8(code::VERSION);
                version.encode(writer);
            }
            Update::Bytes(bytes) => {
                let bytes = &bytes[..bytes.len().min(usize::from(u8::MAX))];
                writer.write_u8(code::BYTES);
                writer.write_u8(bytes.len() as u8);
                writer.write_bytes(bytes);
            }
            Update::DesiredVersion {
                generation,
                digest,
                origin,
            } => {
                encode_generation(writer, code::DESIRED_VERSION, *generation, digest);
                writer.write_u16(*origin);
            }
            Update::RequiredVersion {
                generation,
                digest,
                remaining_ms,
            } => {
                encode_generation(writer, code::REQUIRED_VERSION, *generation, digest);
                writer.write_u32(*remaining_ms);
            }
            Update::VersionConflict {
                generation,
                digests: [lower, higher],
            } => {
                encode_generation(writer, code::VERSION_CONFLICT, *generation, lower);
                writer.write_bytes(&higher.0);
            }
        }
    }

    pub(super) fn decode(reader: &mut Reader<'_>) -> Result<Update, DecodeError> {
        match reader.read_u8()? {
            code::CLAIM => decode_claim(reader).map(Update::Claim),
            code::ACTIVE_VERSION => Ok(Update::ActiveVersion {
                member: reader.read_u16()?,
                incarnation: reader.read_incarnation()?,
                sequence: reader.read_u32()?,
                digest: Digest(reader.read_array()?),
            }),
            code::VERSION => Version::decode(reader).map(Update::Version),
            code::BYTES => {
                let length = usize::from(reader.read_u8()?);
                Ok(Update::Bytes(reader.read_bytes(length)?.to_vec()))
            }
            code::DESIRED_VERSION => Ok(Update::DesiredVersion {
                generation: reader.read_u64()?,
                digest: Digest(reader.read_array()?),
                origin: reader.read_u16()?,
            }),
            code::REQUIRED_VERSION => Ok(Update::RequiredVersion {
                generation: reader.read_u64()?,
                digest: Digest(reader.read_array()?),
                remaining_ms: reader.read_u32()?,
            }),
            code::VERSION_CONFLICT => Ok(Update::VersionConflict {
                generation: reader.read_u64()?,
                digests: [Digest(reader.read_array()?), Digest(reader.read_array()?)],
            }),
            code => Err(DecodeError::UnknownCode {
                field: "update",
                code,
            }),
        }
    }
}

fn encode_claim(claim: &Claim, writer: &mut Writer) {
    writer.write_u8(code::CLAIM);
    writer.write_u16(claim.member);
    writer.write_u8(claim.state as u8);
    writer.write_incarnation(claim.revision.incarnation);
    writer.write_u16(claim.revision.refutations);
    writer.write_u16(claim.source);
}

fn decode_claim(reader: &mut Reader<'_>) -> Result<Claim, DecodeError> {
    let member = reader.read_u16()?;
    let code = reader.read_u8()?;
    let state = MemberState::from_code(code).ok_or(DecodeError::UnknownCode {
        field: "member state",
        code,
    })?;
    let revision = Revision {
        incarnation: reader.read_incarnation()?,
        refutations: reader.read_u16()?,
    };
    Ok(Claim {
        member,
        state,
        revision,
        source: reader.read_u16()?,
    })
}

fn encode_generation(writer: &mut Writer, code: u8, generation: u64, digest: &Digest) {
    writer.write_u8(code);
    writer.write_u64(generation);
    writer.write_bytes(&digest.0);
}
