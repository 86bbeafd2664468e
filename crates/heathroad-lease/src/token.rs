//! Fencing tokens.

use heathroad_membership::MemberId;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;

/// A grant's number. It only grows from one holder of a duty to the next, and names one holder
/// alone: eight bits of the electorate's generation, then a count of 40 bits, then the place of
/// whoever asked.
///
/// The count is at least the Unix time in hundredths of a second of some voter's start, and grows
/// more slowly than that time goes by: a voter that has forgotten everything asks for a higher one
/// than whatever was granted before it started.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Token(u64);

/// The highest count.
const MAX_COUNT: u64 = (1 << 40) - 1;

/// Unix time in milliseconds as a count: it comes to the highest in the year 2318.
pub fn count_at(unix_ms: u64) -> u64 {
    unix_ms / 10
}

impl Token {
    /// Of its parts; a count past the highest is the highest.
    pub const fn new(generation: u8, count: u64, place: MemberId) -> Token {
        let count = if count > MAX_COUNT { MAX_COUNT } else { count };
        Token((generation as u64) << 56 | count << 16 | place as u64)
    }

    /// The electorate's generation under which it was asked for.
    pub fn generation(self) -> u8 {
        (self.0 >> 56) as u8
    }

    /// Its count.
    pub fn count(self) -> u64 {
        self.0 >> 16 & MAX_COUNT
    }

    /// Whose it is.
    pub fn place(self) -> MemberId {
        self.0 as u16
    }

    /// The least that is above this one, with a count of `floor` or more; none if there is no
    /// further count.
    pub fn above(self, floor: u64, generation: u8, place: MemberId) -> Option<Token> {
        let token = Token::new(generation, floor, place);
        if token > self {
            return Some(token);
        }
        if generation < self.generation() {
            return None;
        }
        let here =
            [self.count(), self.count() + 1].map(|count| Token::new(generation, count, place));
        here.into_iter().find(|token| *token > self)
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
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Token, Self::Err> {
        let whole = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let number = whole.then(|| u64::from_str_radix(text, 16).ok()).flatten();
        number
            .map(Token)
            .ok_or("expected a token of 16 hexadecimal digits")
    }
}

impl Serialize for Token {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        if s.is_human_readable() {
            s.collect_str(self)
        } else {
            self.0.to_be_bytes().serialize(s)
        }
    }
}

impl<'de> Deserialize<'de> for Token {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        if !d.is_human_readable() {
            return <[u8; 8]>::deserialize(d).map(|b| Token(u64::from_be_bytes(b)));
        }
        let text = std::borrow::Cow::<'de, str>::deserialize(d)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
