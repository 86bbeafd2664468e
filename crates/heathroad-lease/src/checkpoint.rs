//! Checkpoints: how far the work under a lease has come, stored by a quorum of voters for the next
//! holder.

use crate::token::Token;
use serde::{Deserialize, Serialize};

/// Longest state of a checkpoint, in bytes.
pub const MAX_STATE_BYTES: usize = 128;

/// How far the work of a holder has come. Checkpoints are ordered by token, then by sequence
/// number.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Checkpoint {
    /// The token of the holder that wrote the checkpoint.
    pub token: Token,
    /// The number of the checkpoint under that token, from 1 on. A voter that stores none has
    /// number 0.
    #[serde(rename = "seq")]
    pub sequence: u32,
    /// The state of the work, in a form of its own, of at most [`MAX_STATE_BYTES`].
    pub state: Vec<u8>,
}

impl Checkpoint {
    /// Returns what orders checkpoints: the token and the sequence number.
    pub fn position(&self) -> (Token, u32) {
        (self.token, self.sequence)
    }
}
