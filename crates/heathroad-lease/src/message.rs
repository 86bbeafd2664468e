//! The messages of the lease protocol, in postcard's encoding.
//!
//! Messages travel inside the authenticated datagrams of the membership protocol. Those name the
//! sender and the receiver's incarnation, and let each message in only once.

use crate::checkpoint::Checkpoint;
use crate::token::Token;
use crate::{LeaseId, MemberId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Longest encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 176;

/// A message about one lease.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Message {
    /// The lease.
    pub lease: LeaseId,
    /// What is asked or answered.
    pub body: Body,
}

/// The body of a message. The order of the variants is part of the wire format.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Body {
    /// To a voter: grant the lease, or renew the grant.
    GrantRequest(GrantRequest),
    /// From a voter: the lease is granted.
    Granted(Granted),
    /// From a voter: the lease is not granted.
    Rejected(Rejected),
    /// To a voter: the sender gives up what it was granted.
    Resign {
        /// The token of the grant.
        token: Token,
    },
    /// From a voter: the resignation is noted.
    Resigned {
        /// The token of the grant.
        token: Token,
    },
    /// To a voter: store a checkpoint.
    StoreCheckpoint {
        /// The checkpoint, under the holder's token.
        checkpoint: Checkpoint,
    },
    /// From a voter: the checkpoint is stored.
    CheckpointStored {
        /// The token of the checkpoint.
        token: Token,
        /// The sequence number of the checkpoint.
        sequence: u32,
    },
    /// To the member that should hold the lease next: it is free now.
    Handover,
    /// To a voter: report the status of the lease.
    StatusRequest {
        /// The sender's number of the request.
        round: u32,
    },
    /// From a voter: the status of the lease.
    Status(Status),
}

/// A candidate or holder asks a voter to grant a lease, or to renew the grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The token to grant the lease under. It names the sender.
    pub token: Token,
    /// The sender's number of the request, by which it knows when it sent it.
    pub round: u32,
    /// The requested duration.
    pub duration_ms: u32,
}

/// A voter grants a lease.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Granted {
    /// The token of the grant.
    pub token: Token,
    /// The number of the request.
    pub round: u32,
    /// The granted duration, which is at most the requested one.
    pub duration_ms: u32,
    /// The last checkpoint that the voter stores.
    pub checkpoint: Option<Checkpoint>,
}

/// A voter does not grant a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Rejected {
    /// The number of the request.
    pub round: u32,
    /// A token must be above this one to be granted.
    pub highest_token: Token,
    /// How long the voter grants the lease to nobody but its holder.
    pub remaining_ms: u32,
    /// Why the lease is not granted.
    pub reason: RejectReason,
}

/// The status of a lease at a voter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Status {
    /// The number of the request.
    pub round: u32,
    /// The highest token that the voter has granted.
    pub highest_token: Token,
    /// How long the lease is still granted, or withheld.
    pub remaining_ms: u32,
    /// Why the voter would reject a request; `None` if the lease is free.
    pub reason: Option<RejectReason>,
    /// How many holders in a row have failed soon after they acquired the lease.
    pub early_failures: u8,
}

/// Why a voter does not grant a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RejectReason {
    /// The lease is granted to another member.
    Held,
    /// The token is not above all tokens that the voter has granted, or may have granted.
    #[serde(rename = "low")]
    TokenTooLow,
    /// The voter has just started. Grants of its former process may still be in force.
    #[serde(rename = "silent")]
    VoterStarting,
    /// The last holders failed soon after they acquired the lease.
    #[serde(rename = "held_back")]
    FailureBackoff,
    /// The sender uses an outdated voter set, or the voter already keeps as many leases as it can.
    #[serde(rename = "foreign")]
    NotAccepted,
}

/// Why bytes are not a message.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum DecodeError {
    /// There are more bytes than a message may have.
    #[error("{0} bytes; expected {MAX_MESSAGE_BYTES} at most")]
    TooLong(usize),
    /// The bytes do not follow the encoding.
    #[error("malformed message")]
    Malformed(#[source] postcard::Error),
    /// Bytes follow the message.
    #[error("{0} bytes follow the message")]
    TrailingBytes(usize),
}

impl Message {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        // Plain fields are written to memory, which cannot fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a message.
    pub fn decode(bytes: &[u8]) -> Result<Message, DecodeError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(DecodeError::TooLong(bytes.len()));
        }
        let (message, rest) = postcard::take_from_bytes(bytes).map_err(DecodeError::Malformed)?;
        if rest.is_empty() {
            Ok(message)
        } else {
            Err(DecodeError::TrailingBytes(rest.len()))
        }
    }
}

/// A message that is to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// The receiver, which may be the sender itself.
    pub to: MemberId,
    /// The message.
    pub message: Message,
}
