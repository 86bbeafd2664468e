//! The piggyback channel: messages of other protocols in authenticated datagrams. A message names
//! the incarnation of its sender, is for this incarnation of its recipient, and arrives at most
//! once.

use crate::wire::Update;
use crate::{Incarnation, MemberId};

/// The longest message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 190;
/// The most messages that wait to be taken; further ones are lost, as any may be.
const MAX_PENDING_MESSAGES: usize = 256;

/// A message that arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PiggybackMessage {
    /// The sender.
    pub from: MemberId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The message.
    pub bytes: Vec<u8>,
}

/// Messages that wait to be taken.
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
