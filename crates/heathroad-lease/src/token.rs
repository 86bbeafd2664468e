//! Fencing tokens, which order the holders of a lease.

use crate::MemberId;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::borrow::Cow;
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// Highest count of a token.
const MAX_COUNT: u64 = (1 << COUNT_BITS) - 1;
/// Width of the count, in bits.
const COUNT_BITS: u32 = 40;
/// Width of the member id below the count, in bits.
const MEMBER_BITS: u32 = 16;
/// Bit position of the generation above the count.
const GENERATION_SHIFT: u32 = COUNT_BITS + MEMBER_BITS;
/// Length of a token in text form.
const HEX_DIGITS: usize = 16;
/// Unit of the count, in milliseconds of Unix time.
const COUNT_STEP_MS: u64 = 10;

/// The fencing token of a grant.
///
/// Each holder of a lease has a higher token than the holders before it. From the most significant
/// bit on, a token consists of the voter set's generation (8 bits), a count (40 bits), and the id
/// of the member that requested the lease (16 bits).
///
/// The count is at least the Unix time of a voter's start in hundredths of a second, and increases
/// more slowly than that time. A voter that has lost its state excludes all tokens granted before
/// by requiring counts of at least the time of its own start.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Token(u64);

/// The text is not a valid token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("expected a token of 16 hexadecimal digits")]
pub struct ParseTokenError;

/// Converts a Unix time in milliseconds to a token count. Counts last until the year 2318.
pub fn count_at(unix_ms: u64) -> u64 {
    unix_ms / COUNT_STEP_MS
}

impl Token {
    /// Creates a token from its parts. Counts above the maximum are clamped to it.
    pub const fn new(generation: u8, count: u64, member: MemberId) -> Token {
        let count = if count > MAX_COUNT { MAX_COUNT } else { count };
        Token((generation as u64) << GENERATION_SHIFT | count << MEMBER_BITS | member as u64)
    }

    /// Returns the generation of the voter set under which the token was requested.
    pub fn generation(self) -> u8 {
        (self.0 >> GENERATION_SHIFT) as u8
    }

    /// Returns the count.
    pub fn count(self) -> u64 {
        self.0 >> MEMBER_BITS & MAX_COUNT
    }

    /// Returns the member that requested the token.
    pub fn member(self) -> MemberId {
        self.0 as MemberId
    }

    /// Returns the lowest token of `member` above this one whose count is at least `min_count`, or
    /// `None` if no count is left or the generation is older than this token's.
    pub fn successor(self, min_count: u64, generation: u8, member: MemberId) -> Option<Token> {
        let token = Token::new(generation, min_count, member);
        if token > self {
            return Some(token);
        }
        if generation < self.generation() {
            return None;
        }
        [self.count(), self.count() + 1]
            .map(|count| Token::new(generation, count, member))
            .into_iter()
            .find(|token| *token > self)
    }
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Token {
    type Err = ParseTokenError;

    fn from_str(text: &str) -> Result<Token, ParseTokenError> {
        // `from_str_radix` alone would accept a sign.
        let is_token = text.len() == HEX_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
        if !is_token {
            return Err(ParseTokenError);
        }
        u64::from_str_radix(text, 16)
            .map(Token)
            .map_err(|_| ParseTokenError)
    }
}

impl Serialize for Token {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.to_be_bytes().serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for Token {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if !deserializer.is_human_readable() {
            return <[u8; 8]>::deserialize(deserializer)
                .map(|bytes| Token(u64::from_be_bytes(bytes)));
        }
        let text = Cow::<'de, str>::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
