//! The messages of the lease protocol, encoded with postcard.
//!
//! Messages are carried in authenticated datagrams of the membership protocol, which identify the
//! sender and the receiver's incarnation and protect against replay.

use crate::checkpoint::Checkpoint;
use crate::token::Token;
use crate::{LeaseId, MemberId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum size of an encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 176;

/// A message about one lease.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Message {
    /// The lease that the message is about.
    pub lease: LeaseId,
    /// The request or answer.
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
    /// To a voter: the sender gives up its grant.
    Resign {
        /// The token of the grant.
        token: Token,
    },
    /// From a voter: acknowledges the resignation.
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
    /// To the member that should hold the lease next: the holder has resigned.
    Handover,
    /// To a voter: report the status of the lease.
    StatusRequest {
        /// The round number of the request.
        round: u32,
    },
    /// From a voter: the status of the lease.
    Status(Status),
}

/// A request by a candidate or holder to grant a lease, or to renew the grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The token to grant the lease under. It contains the sender's member id.
    pub token: Token,
    /// The round number of the request. The sender uses it to look up the send time.
    pub round: u32,
    /// The requested duration.
    pub duration_ms: u32,
}

/// A voter's answer that grants a lease.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Granted {
    /// The token of the grant.
    pub token: Token,
    /// The round number of the request.
    pub round: u32,
    /// The granted duration, which is at most the requested one.
    pub duration_ms: u32,
    /// The latest checkpoint that the voter has stored.
    pub checkpoint: Option<Checkpoint>,
}

/// A voter's answer that rejects a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Rejected {
    /// The round number of the request.
    pub round: u32,
    /// The voter only grants tokens above this one.
    pub highest_token: Token,
    /// How long the voter will not grant the lease to another candidate.
    pub remaining_ms: u32,
    /// Why the lease is not granted.
    pub reason: RejectReason,
}

/// The status of a lease at a voter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Status {
    /// The round number of the request.
    pub round: u32,
    /// The highest token that the voter has granted.
    pub highest_token: Token,
    /// How long the lease remains unavailable.
    pub remaining_ms: u32,
    /// Why the voter would reject a request; `None` if the lease is free.
    pub reason: Option<RejectReason>,
    /// Number of consecutive holders that failed soon after they acquired the lease.
    pub early_failures: u8,
}

/// Why a voter rejects a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RejectReason {
    /// The lease is granted to another member.
    Held,
    /// The token is not higher than every token that the voter granted or may have granted.
    #[serde(rename = "low")]
    TokenTooLow,
    /// The voter has just started. Grants of its previous incarnation may still be in force.
    #[serde(rename = "silent")]
    VoterStarting,
    /// Recent holders failed soon after they acquired the lease.
    #[serde(rename = "held_back")]
    FailureBackoff,
    /// The sender uses an outdated voter set, or the voter already stores its maximum number of
    /// leases.
    #[serde(rename = "foreign")]
    NotAccepted,
}

/// Why a message cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum DecodeError {
    /// The input is longer than [`MAX_MESSAGE_BYTES`].
    #[error("message of {0} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes")]
    TooLong(usize),
    /// The input is not a valid encoding of a message.
    #[error("malformed message")]
    Malformed(#[source] postcard::Error),
    /// The message is followed by further bytes.
    #[error("{0} trailing bytes after the message")]
    TrailingBytes(usize),
}

impl Message {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        // Serializing plain fields to memory cannot fail.
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

/// A message to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// The receiver, which may be the sender itself.
    pub to: MemberId,
    /// The message.
    pub message: Message,
}
