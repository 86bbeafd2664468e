//! The form of the fleet's datagrams: at most 256 bytes, big-endian, no padding.
//! `docs/specs/fleet-datagrams.md` is its page. What can't be read is torn as a whole: nothing of
//! it is used.

use crate::MemberId;
use crate::table::{Claim, Incarnation, Standing};
use crate::version::{Digest, Version};

/// Longest datagram, in bytes.
pub const MAX_DATAGRAM: usize = 256;
/// Bytes of the seal at a datagram's end.
pub const SEAL: usize = 16;
/// Longest name of a fleet, in bytes.
pub const MAX_NAME: usize = 16;
/// The protocols that this program speaks, the lowest and the highest.
pub const SPOKEN: [u8; 2] = [1, 1];

/// The highest protocol that two sides speak, told by the lowest and the highest of each.
pub fn common(ours: [u8; 2], theirs: [u8; 2]) -> Option<u8> {
    let highest = ours[1].min(theirs[1]);
    (highest >= ours[0].max(theirs[0])).then_some(highest)
}

const MAGIC: [u8; 2] = *b"hf";
/// A life is told in so many bytes: milliseconds of Unix time, for 8,900 years.
const LIFE: usize = 6;

/// The bytes end too soon, or say what can't be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DecodeError;

/// Writes a datagram.
#[derive(Default)]
pub struct Writer(Vec<u8>);

impl Writer {
    /// What was written.
    pub fn as_slice(&self) -> &[u8] {
        &self.0
    }
    /// The datagram.
    pub fn into_vec(self) -> Vec<u8> {
        self.0
    }
    pub(crate) fn u8(&mut self, n: u8) {
        self.0.push(n);
    }
    pub(crate) fn u16(&mut self, n: u16) {
        self.bytes(&n.to_be_bytes());
    }
    pub(crate) fn u32(&mut self, n: u32) {
        self.bytes(&n.to_be_bytes());
    }
    pub(crate) fn u64(&mut self, n: u64) {
        self.bytes(&n.to_be_bytes());
    }
    fn life(&mut self, n: u64) {
        self.bytes(&n.to_be_bytes()[8 - LIFE..]);
    }
    pub(crate) fn bytes(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }
}

/// Reads a datagram.
pub struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    /// From its first byte on.
    pub fn new(bytes: &'a [u8]) -> Self {
        Reader(bytes)
    }
    pub(crate) fn bytes(&mut self, n: usize) -> Result<&'a [u8], DecodeError> {
        let (head, rest) = self.0.split_at_checked(n).ok_or(DecodeError)?;
        self.0 = rest;
        Ok(head)
    }
    pub(crate) fn array<const N: usize>(&mut self) -> Result<[u8; N], DecodeError> {
        self.bytes(N)?.try_into().map_err(|_| DecodeError)
    }
    pub(crate) fn u8(&mut self) -> Result<u8, DecodeError> {
        Ok(self.array::<1>()?[0])
    }
    pub(crate) fn u16(&mut self) -> Result<u16, DecodeError> {
        self.array().map(u16::from_be_bytes)
    }
    pub(crate) fn u32(&mut self) -> Result<u32, DecodeError> {
        self.array().map(u32::from_be_bytes)
    }
    pub(crate) fn u64(&mut self) -> Result<u64, DecodeError> {
        self.array().map(u64::from_be_bytes)
    }
    fn life(&mut self) -> Result<u64, DecodeError> {
        let mut whole = [0; 8];
        whole[8 - LIFE..].copy_from_slice(self.bytes(LIFE)?);
        Ok(u64::from_be_bytes(whole))
    }
}

/// What stands before a datagram's content.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// The protocol of this datagram.
    pub protocol: u8,
    /// Those that the sender speaks, the lowest and the highest.
    pub spoken: [u8; 2],
    /// The fleet's name, at most [`MAX_NAME`] bytes.
    pub fleet: Vec<u8>,
    /// The sender.
    pub from: MemberId,
    /// The sender's life.
    pub from_life: u64,
    /// Whom it is for.
    pub to: MemberId,
    /// That one's life as far as the sender knows it; 0 if it does not.
    pub to_life: u64,
    /// Grows with every datagram of the sender's process.
    pub number: u32,
}

impl Head {
    /// Writes it.
    pub fn write(&self, to: &mut Writer) {
        to.bytes(&MAGIC);
        to.bytes(&[
            self.protocol,
            self.spoken[0],
            self.spoken[1],
            self.fleet.len() as u8,
        ]);
        to.bytes(&self.fleet);
        to.u16(self.from);
        to.life(self.from_life);
        to.u16(self.to);
        to.life(self.to_life);
        to.u32(self.number);
    }

    /// Reads it.
    pub fn read(from: &mut Reader<'_>) -> Result<Head, DecodeError> {
        if from.array()? != MAGIC {
            return Err(DecodeError);
        }
        let [protocol, low, high, length] = from.array()?;
        if low > high || usize::from(length) > MAX_NAME {
            return Err(DecodeError);
        }
        Ok(Head {
            protocol,
            spoken: [low, high],
            fleet: from.bytes(usize::from(length))?.to_vec(),
            from: from.u16()?,
            from_life: from.life()?,
            to: from.u16()?,
            to_life: from.life()?,
            number: from.u32()?,
        })
    }

    /// Its length in bytes.
    pub fn length(&self) -> usize {
        MAGIC.len() + 4 + self.fleet.len() + 2 * (2 + LIFE) + 4
    }
}

/// What a datagram is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Are you there? Answered with [`Kind::Ack`] and the same nonce.
    Ping {
        /// Chosen by who asks.
        nonce: u32,
    },
    /// Here I am; or, from a helper: the one that you asked after is.
    Ack {
        /// That of the question.
        nonce: u32,
    },
    /// Ask another one for me.
    Help {
        /// Chosen by who asks.
        nonce: u32,
        /// Whom to ask.
        after: MemberId,
    },
    /// I did ask, and heard nothing: it is not my way to you that is broken.
    Nack {
        /// That of the question.
        nonce: u32,
    },
    /// News alone.
    Gossip,
    /// Tell the whole version of a member that has this digest.
    Ask {
        /// The member.
        member: MemberId,
        /// The version's digest.
        digest: Digest,
    },
    /// A whole version stands in the items.
    Tell,
    /// Tell a part of a text.
    Fetch {
        /// Chosen by who asks.
        id: u32,
        /// Of what.
        topic: Resource,
        /// Of which of them, where there are several.
        key: Digest,
        /// Which part, from 0.
        at: u32,
    },
    /// Bytes stand in the items that are others' to understand; see [`crate::protocol::Membership::carry`].
    Carry,
    /// A part of a text stands in the items.
    Part {
        /// That of the question.
        id: u32,
        /// The text's length; [`u32::MAX`] where it is not there.
        length: u32,
        /// Which part.
        at: u32,
    },
}

/// What there are texts of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Resource {
    /// A proxy's record of its acts.
    ActivityRecord = 1,
    /// A generation of routes, by its digest.
    Routes = 2,
    /// What a proxy knows of who held which duty.
    LeaseHistory = 3,
    /// What the fleet's collector keeps, by its digest; all zeros for what there is.
    CollectedRecords = 4,
}

/// A piece of news.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Item {
    /// Somebody's word on a member.
    Claim(Claim),
    /// The digest of what a member acts on.
    Acts {
        /// The member.
        member: MemberId,
        /// In which of its lives.
        life: u64,
        /// Its how-manieth version in that life.
        change: u32,
        /// The version's digest.
        digest: Digest,
    },
    /// What a digest stands for.
    Whole(Version),
    /// Bytes of a text, at most 255.
    Bytes(Vec<u8>),
    /// A generation of routes that all are to act on.
    Want {
        /// Its number.
        number: u64,
        /// The digest of its text.
        digest: Digest,
        /// Where it was committed first.
        by: MemberId,
    },
    /// Within so many milliseconds nobody is to act on a lower generation.
    Required {
        /// The generation's number.
        number: u64,
        /// The digest of its text.
        digest: Digest,
        /// What is left of the time.
        left: u32,
    },
    /// Two texts that were committed under one number.
    Conflict {
        /// The number.
        number: u64,
        /// Their digests.
        digests: [Digest; 2],
    },
}

impl Item {
    fn write(&self, to: &mut Writer) {
        match self {
            Item::Claim(c) => {
                to.u8(1);
                to.u16(c.member);
                to.u8(c.standing as u8);
                to.life(c.incarnation.life);
                to.u16(c.incarnation.turn);
                to.u16(c.by);
            }
            Item::Acts {
                member,
                life,
                change,
                digest,
            } => {
                to.u8(2);
                to.u16(*member);
                to.life(*life);
                to.u32(*change);
                to.bytes(&digest.0);
            }
            Item::Whole(version) => {
                to.u8(3);
                version.write(to);
            }
            Item::Bytes(bytes) => {
                let bytes = &bytes[..bytes.len().min(usize::from(u8::MAX))];
                to.u8(4);
                to.u8(bytes.len() as u8);
                to.bytes(bytes);
            }
            Item::Want { number, digest, by } => {
                to.u8(5);
                to.u64(*number);
                to.bytes(&digest.0);
                to.u16(*by);
            }
            Item::Required {
                number,
                digest,
                left,
            } => {
                to.u8(7);
                to.u64(*number);
                to.bytes(&digest.0);
                to.u32(*left);
            }
            Item::Conflict { number, digests } => {
                to.u8(6);
                to.u64(*number);
                digests.iter().for_each(|d| to.bytes(&d.0));
            }
        }
    }

    fn read(from: &mut Reader<'_>) -> Result<Item, DecodeError> {
        match from.u8()? {
            1 => {
                let member = from.u16()?;
                let standing = Standing::read(from.u8()?).ok_or(DecodeError)?;
                let incarnation = Incarnation {
                    life: from.life()?,
                    turn: from.u16()?,
                };
                Ok(Item::Claim(Claim {
                    member,
                    standing,
                    incarnation,
                    by: from.u16()?,
                }))
            }
            2 => Ok(Item::Acts {
                member: from.u16()?,
                life: from.life()?,
                change: from.u32()?,
                digest: Digest(from.array()?),
            }),
            3 => Version::read(from).map(Item::Whole),
            4 => {
                let length = usize::from(from.u8()?);
                Ok(Item::Bytes(from.bytes(length)?.to_vec()))
            }
            5 => Ok(Item::Want {
                number: from.u64()?,
                digest: Digest(from.array()?),
                by: from.u16()?,
            }),
            7 => Ok(Item::Required {
                number: from.u64()?,
                digest: Digest(from.array()?),
                left: from.u32()?,
            }),
            6 => {
                let number = from.u64()?;
                Ok(Item::Conflict {
                    number,
                    digests: [Digest(from.array()?), Digest(from.array()?)],
                })
            }
            _ => Err(DecodeError),
        }
    }
}

/// Writes a content: its kind, and as many items as there is room for. How many were written.
pub fn write(kind: Kind, items: &[Item], room: usize, to: &mut Writer) -> usize {
    let end = to.0.len() + room;
    match kind {
        Kind::Ping { nonce } => (to.u8(1), to.u32(nonce)).1,
        Kind::Ack { nonce } => (to.u8(2), to.u32(nonce)).1,
        Kind::Help { nonce, after } => (to.u8(3), to.u32(nonce), to.u16(after)).2,
        Kind::Nack { nonce } => (to.u8(4), to.u32(nonce)).1,
        Kind::Gossip => to.u8(5),
        Kind::Ask { member, digest } => (to.u8(6), to.u16(member), to.bytes(&digest.0)).2,
        Kind::Tell => to.u8(7),
        Kind::Fetch { id, topic, key, at } => {
            to.u8(8);
            to.u32(id);
            to.u8(topic as u8);
            to.bytes(&key.0);
            to.u32(at);
        }
        Kind::Carry => to.u8(10),
        Kind::Part { id, length, at } => (to.u8(9), to.u32(id), to.u32(length), to.u32(at)).3,
    }
    let mut written = 0;
    for item in items {
        let before = to.0.len();
        item.write(to);
        if to.0.len() > end {
            to.0.truncate(before);
            break;
        }
        written += 1;
    }
    written
}

/// Reads a content whole.
pub fn read(from: &mut Reader<'_>) -> Result<(Kind, Vec<Item>), DecodeError> {
    let kind = match from.u8()? {
        1 => Kind::Ping { nonce: from.u32()? },
        2 => Kind::Ack { nonce: from.u32()? },
        3 => Kind::Help {
            nonce: from.u32()?,
            after: from.u16()?,
        },
        4 => Kind::Nack { nonce: from.u32()? },
        5 => Kind::Gossip,
        6 => Kind::Ask {
            member: from.u16()?,
            digest: Digest(from.array()?),
        },
        7 => Kind::Tell,
        8 => {
            let id = from.u32()?;
            let topic = match from.u8()? {
                1 => Resource::ActivityRecord,
                2 => Resource::Routes,
                3 => Resource::LeaseHistory,
                4 => Resource::CollectedRecords,
                _ => return Err(DecodeError),
            };
            Kind::Fetch {
                id,
                topic,
                key: Digest(from.array()?),
                at: from.u32()?,
            }
        }
        10 => Kind::Carry,
        9 => Kind::Part {
            id: from.u32()?,
            length: from.u32()?,
            at: from.u32()?,
        },
        _ => return Err(DecodeError),
    };
    let mut items = Vec::new();
    while !from.0.is_empty() {
        items.push(Item::read(from)?);
    }
    Ok((kind, items))
}
