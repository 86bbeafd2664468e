//! The piggyback channel carries messages of other protocols in authenticated datagrams. A message
//! is addressed to one incarnation of its recipient, and is delivered at most once.

use crate::wire::Update;
use crate::{Incarnation, MemberId};

/// The maximum length of a message in bytes.
pub const MAX_MESSAGE_BYTES: usize = 190;
/// The maximum number of queued messages; further ones are discarded.
const MAX_PENDING_MESSAGES: usize = 256;

/// A message received from another member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PiggybackMessage {
    /// The sender.
    pub from: MemberId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The content of the message.
    pub bytes: Vec<u8>,
}

/// Received messages that the caller has not taken yet.
#[derive(Debug, Clone, Default)]
pub(super) struct PiggybackChannel {
    received: Vec<PiggybackMessage>,
}

impl PiggybackChannel {
    pub(super) fn is_empty(&self) -> bool {
        self.received.is_empty()
    }

    pub(super) fn drain(&mut self) -> std::vec::Drain<'_, PiggybackMessage> {
        self.received.drain(..)
    }

    pub(super) fn receive(
        &mut self,
        from: MemberId,
        incarnation: Incarnation,
        updates: Vec<Update>,
    ) {
        let room = MAX_PENDING_MESSAGES - self.received.len();
        let messages = updates.into_iter().filter_map(|update| match update {
            Update::Bytes(bytes) => Some(PiggybackMessage {
                from,
                incarnation,
                bytes,
            }),
            _ => None,
        });
        self.received.extend(messages.take(room));
    }
}

#[cfg(test)]
#[path = "tests/piggyback.rs"]
mod tests;
