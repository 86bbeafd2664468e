//! What happens to a lease at the member that seeks it.

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
    /// The process shuts down.
    #[serde(rename = "stops")]
    ShuttingDown,
    /// The member has fenced itself off.
    Fenced,
    /// The work cannot be done at this member.
    #[serde(rename = "unfit")]
    WorkFailed,
    /// A server that the holder called had seen a higher token.
    #[serde(rename = "overtaken")]
    Superseded,
    /// A voter has restarted without its state and grants nothing under so low a token any more.
    /// The same member campaigns again at once, under a higher token.
    #[serde(rename = "anew")]
    VoterRestarted,
}

/// Something that has happened to a lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum LeaseEvent {
    /// The member holds the lease from now on.
    Acquired {
        /// The token of the hold.
        token: Token,
        /// The last checkpoint that a quorum may have stored, from which the work resumes.
        checkpoint: Option<Checkpoint>,
    },
    /// The member holds the lease no longer.
    Ended {
        /// The token of the hold.
        token: Token,
        /// Why it ended.
        reason: EndReason,
    },
    /// A quorum has stored a checkpoint: the next holder resumes from it, or from a later one.
    CheckpointStored {
        /// The token of the checkpoint.
        token: Token,
        /// The sequence number of the checkpoint.
        sequence: u32,
    },
}
