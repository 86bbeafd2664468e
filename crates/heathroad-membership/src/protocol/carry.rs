//! Messages of others than the fleet itself, in its sealed datagrams: from a known life of their
//! sender, for this life, each once.

use super::Membership;
use crate::wire::{Head, Item, Kind};
use crate::{MemberId, Millis};

/// Longest message, in bytes.
pub const MAX_CARRIED: usize = 190;
/// Most messages that wait to be taken; further ones are lost, as any may be.
const WAITING: usize = 256;

/// A message that came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Carried {
    /// From whom.
    pub from: MemberId,
    /// In which of its lives.
    pub incarnation: u64,
    /// What.
    pub bytes: Vec<u8>,
}

impl Membership {
    /// Sends a message, unless it is too long or too many have gone this second: it may be lost,
    /// late or overtaken, but comes once at the most, and to no later life of its receiver than is
    /// known here.
    pub fn carry(&mut self, now: Millis, to: MemberId, bytes: Vec<u8>) {
        let life = self.table.get(to).map(|m| m.incarnation.life);
        let Some(life) = life.filter(|_| to != self.own && bytes.len() <= MAX_CARRIED) else {
            return;
        };
        if !self.carries.take(now) {
            self.traffic.held_back += 1;
            return;
        }
        self.write(to, life, Kind::Carry, &[Item::Bytes(bytes)]);
    }

    /// Whether any message waits to be taken.
    pub fn any_carried(&self) -> bool {
        !self.carried.is_empty()
    }

    /// Messages that came since the last look.
    pub fn carried(&mut self) -> std::vec::Drain<'_, Carried> {
        self.carried.drain(..)
    }

    pub(super) fn carry_came(&mut self, head: &Head, items: Vec<Item>) {
        let room = WAITING - self.carried.len();
        let bytes = items.into_iter().filter_map(|item| {
            if let Item::Bytes(b) = item {
                Some(b)
            } else {
                None
            }
        });
        let carried = bytes.map(|bytes| Carried {
            from: head.from,
            incarnation: head.from_life,
            bytes,
        });
        self.carried.extend(carried.take(room));
    }
}
