//! Checkpoints: the progress of the work under a lease, stored by a quorum of voters for the next
//! holder.

use crate::token::Token;
use serde::{Deserialize, Serialize};

/// Maximum size of a checkpoint's state, in bytes.
pub const MAX_STATE_BYTES: usize = 128;

/// A checkpoint of a holder's work. Checkpoints are ordered by token, then by sequence number.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Checkpoint {
    /// The token of the holder that wrote the checkpoint.
    pub token: Token,
    /// The sequence number of the checkpoint under that token, starting at 1. It is 0 if no
    /// checkpoint has been stored.
    #[serde(rename = "seq")]
    pub sequence: u32,
    /// The state of the work, opaque to the protocol, of at most [`MAX_STATE_BYTES`].
    pub state: Vec<u8>,
}

impl Checkpoint {
    /// Returns the token and the sequence number, which order checkpoints.
    pub fn position(&self) -> (Token, u32) {
        (self.token, self.sequence)
    }
}
