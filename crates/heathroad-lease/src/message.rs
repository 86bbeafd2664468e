//! What proxies tell each other of duties: a few fields each, in postcard's form, inside the
//! fleet's sealed datagrams, which say from whom and for which of the receiver's lives they are and
//! let none in twice.

use crate::DutyId;
use crate::token::Token;
use crate::voter::Mark;
use heathroad_membership::MemberId;
use serde::{Deserialize, Serialize};

/// Longest message, in bytes.
pub const MAX_MESSAGE: usize = 176;

/// A message on one duty.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Message {
    /// Which.
    pub duty: DutyId,
    /// What is said of it.
    pub what: What,
}

/// What is said of a duty.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum What {
    /// To a voter: grant it to me, or go on granting it.
    Ask {
        /// Under this token, whose place is the asker's.
        token: Token,
        /// The asker's number for this question: it knows when it asked.
        round: u32,
        /// For so many milliseconds.
        lease: u32,
    },
    /// From a voter: it is granted.
    Granted {
        /// Under this token.
        token: Token,
        /// That of the question.
        round: u32,
        /// For so many milliseconds, no more than were asked for.
        lease: u32,
        /// The last mark that it keeps.
        mark: Option<Mark>,
    },
    /// From a voter: it is not granted.
    Refused {
        /// That of the question.
        round: u32,
        /// A token must be above this one.
        highest: Token,
        /// For so many milliseconds nobody is granted it, but its holder.
        left: u32,
        /// Why.
        why: Why,
    },
    /// To a voter: what was granted to me under this token is free.
    Resign {
        /// The token.
        token: Token,
    },
    /// From a voter: it is.
    Freed {
        /// The token.
        token: Token,
    },
    /// To a voter: keep this mark.
    Keep {
        /// The mark; its token is the holder's.
        mark: Mark,
    },
    /// From a voter: it is kept.
    Kept {
        /// The mark's token.
        token: Token,
        /// Its number.
        seq: u32,
    },
    /// To whom the sender thinks best: the duty is free now.
    Yours,
    /// To a voter: how does it stand?
    Look {
        /// The asker's number for this question.
        round: u32,
    },
    /// From a voter: so.
    Stands {
        /// That of the question.
        round: u32,
        /// The highest token that was granted here.
        highest: Token,
        /// For so many milliseconds it is granted, or held back where there is a reason to.
        left: u32,
        /// How it stands, in the words of a refusal; none where it is free.
        why: Option<Why>,
        /// So many holders in a row have died young.
        died: u8,
    },
}

/// Why a voter does not grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Why {
    /// It is granted to somebody.
    Held,
    /// The token is not above all that were granted here, or may have been.
    Low,
    /// The voter has started lately: what it granted before may still be counted on.
    Silent,
    /// The last holders died soon after they had got it.
    HeldBack,
    /// The asker goes by an older electorate than the voter has heard of, or the voter keeps too
    /// many duties.
    Foreign,
}

impl Message {
    /// Its bytes.
    pub fn write(&self) -> Vec<u8> {
        // Into memory, and of plain fields: it can't fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Of bytes; none where they are no whole message.
    pub fn read(bytes: &[u8]) -> Option<Message> {
        let (message, rest) = postcard::take_from_bytes(bytes).ok()?;
        rest.is_empty().then_some(message)
    }
}

/// A message that is to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Send {
    /// To whom; it may be to this proxy itself.
    pub to: MemberId,
    /// What.
    pub message: Message,
}
