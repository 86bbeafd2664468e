//! Who gets in: datagrams of this fleet, whole, made with its key, for this proxy's present life,
//! and each once. All else is counted and dropped.
//!
//! A datagram names the life of its receiver. One that was recorded names a life that has ended
//! once the receiver starts anew, and within a life its number is seen only once: nothing can be
//! replayed, without any clock that two proxies would share.

use crate::wire::{DecodeError, Head, MAX_DATAGRAM, MAX_NAME, Reader, SEAL, SPOKEN, Writer};
use hmac::{Hmac, Mac};
use serde::Serialize;
use sha2::Sha256;

/// Shortest key, in bytes.
pub const MIN_KEY: usize = 16;
/// Longest key, in bytes.
pub const MAX_KEY: usize = 1024;

/// What was dropped, and why.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Dropped {
    /// Too long, too short or not understood.
    pub torn: u64,
    /// Of another fleet.
    pub foreign: u64,
    /// Of a protocol that is not spoken here.
    pub protocol: u64,
    /// Not made with the key.
    pub forged: u64,
    /// For another proxy, or said to be from this one or from none of the fleet.
    pub astray: u64,
    /// Of or for a life that has ended.
    pub stale: u64,
    /// Seen before, or too far behind those seen.
    pub replayed: u64,
}

impl Dropped {
    /// All of them.
    pub fn sum(&self) -> u64 {
        let Dropped {
            torn,
            foreign,
            protocol,
            forged,
            astray,
            stale,
            replayed,
        } = *self;
        torn + foreign + protocol + forged + astray + stale + replayed
    }
}

/// Why a fleet's name or key can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Unfit {
    /// The name is empty or longer than [`MAX_NAME`] bytes.
    Name,
    /// The key is shorter than [`MIN_KEY`] bytes or longer than [`MAX_KEY`].
    Key,
}

impl std::fmt::Display for Unfit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Unfit::Name => write!(f, "name: expected 1 to {MAX_NAME} bytes"),
            Unfit::Key => write!(f, "key: expected {MIN_KEY} to {MAX_KEY} bytes"),
        }
    }
}

impl std::error::Error for Unfit {}

/// The fleet's name and key.
#[derive(Clone)]
pub struct Seal {
    name: Vec<u8>,
    mac: Hmac<Sha256>,
}

impl Seal {
    /// With a name and a key.
    pub fn new(name: &str, key: &[u8]) -> Result<Seal, Unfit> {
        if name.is_empty() || name.len() > MAX_NAME {
            return Err(Unfit::Name);
        }
        if key.len() < MIN_KEY || key.len() > MAX_KEY {
            return Err(Unfit::Key);
        }
        let mac = Hmac::new_from_slice(key).map_err(|_| Unfit::Key)?;
        Ok(Seal {
            name: name.as_bytes().to_vec(),
            mac,
        })
    }

    /// The fleet's name.
    pub fn name(&self) -> &[u8] {
        &self.name
    }

    /// Ends a datagram: the first bytes of an HMAC-SHA-256 over all before it.
    pub fn close(&self, mut datagram: Writer) -> Vec<u8> {
        let sum = self
            .mac
            .clone()
            .chain_update(datagram.as_slice())
            .finalize()
            .into_bytes();
        datagram.bytes(&sum[..SEAL]);
        datagram.into_vec()
    }

    /// A datagram's head, and what is left to read; what is wrong with it is counted.
    pub fn open<'a>(&self, bytes: &'a [u8], dropped: &mut Dropped) -> Option<(Head, Reader<'a>)> {
        if bytes.len() > MAX_DATAGRAM || bytes.len() < SEAL {
            dropped.torn += 1;
            return None;
        }
        let (text, sum) = bytes.split_at(bytes.len() - SEAL);
        let mut reader = Reader::new(text);
        let head = match Head::read(&mut reader) {
            Ok(head) => head,
            Err(DecodeError) => {
                dropped.torn += 1;
                return None;
            }
        };
        // Cheap looks first: what another fleet sends here costs no sum.
        let why = if head.fleet != self.name {
            &mut dropped.foreign
        } else if self
            .mac
            .clone()
            .chain_update(text)
            .verify_truncated_left(sum)
            .is_err()
        {
            &mut dropped.forged
        } else if head.protocol < SPOKEN[0] || head.protocol > SPOKEN[1] {
            &mut dropped.protocol
        } else {
            return Some((head, reader));
        };
        *why += 1;
        None
    }
}

/// The numbers that were seen of one life of a sender: the highest, and which of the 64 before it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Window {
    life: u64,
    highest: u32,
    seen: u64,
}

impl Window {
    /// Whether a number is new. It is seen from now on.
    pub fn take(&mut self, life: u64, number: u32) -> bool {
        if life != self.life {
            // Lives only grow; an ended one was turned away before.
            *self = Window {
                life,
                highest: number,
                seen: 1,
            };
            return true;
        }
        if number > self.highest {
            let by = number - self.highest;
            self.seen = if by < u64::BITS {
                self.seen << by | 1
            } else {
                1
            };
            self.highest = number;
            return true;
        }
        let behind = self.highest - number;
        if behind >= u64::BITS || self.seen >> behind & 1 == 1 {
            return false;
        }
        self.seen |= 1 << behind;
        true
    }
}
