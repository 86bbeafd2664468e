//! The events that a candidate reports to its caller.

use crate::checkpoint::Checkpoint;
use crate::token::Token;
use serde::Serialize;

/// Why a hold ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// The grants were not renewed in time.
    #[serde(rename = "lapsed")]
    Expired,
    /// An operator asked the member to resign.
    #[serde(rename = "told")]
    Resigned,
    /// The process is shutting down.
    #[serde(rename = "stops")]
    ShuttingDown,
    /// The member has fenced itself.
    Fenced,
    /// The work under the lease failed at this member.
    #[serde(rename = "unfit")]
    WorkFailed,
    /// A server rejected the holder's token because it had seen a higher one.
    #[serde(rename = "overtaken")]
    Superseded,
    /// A voter restarted without its state and now requires a higher token. The member campaigns
    /// again immediately.
    #[serde(rename = "anew")]
    VoterRestarted,
}

/// A change to a lease at a member that campaigns for it or holds it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum LeaseEvent {
    /// The member has acquired the lease.
    Acquired {
        /// The token of the hold.
        token: Token,
        /// The latest checkpoint that the granting voters have stored. The work resumes from it.
        checkpoint: Option<Checkpoint>,
    },
    /// The member no longer holds the lease.
    Ended {
        /// The token of the hold.
        token: Token,
        /// Why it ended.
        reason: EndReason,
    },
    /// A quorum has stored a checkpoint. The next holder resumes from it or from a later one.
    CheckpointStored {
        /// The token of the checkpoint.
        token: Token,
        /// The sequence number of the checkpoint.
        sequence: u32,
    },
}
