//! What a proxy acts on, as one value. It spreads as a digest; the value itself is told on request,
//! and always fits one datagram.

use crate::wire::{DecodeError, Reader, Writer};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::fmt;

/// Longest name of a build, in bytes; a longer one is cut.
pub const MAX_BUILD: usize = 32;
/// Most sources of lists that are told one by one; those past it are told as their number alone.
pub const MAX_SOURCES: usize = 8;

/// The first eight bytes of a SHA-256.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Digest(pub [u8; 8]);

impl Digest {
    /// Of some bytes.
    pub fn of(bytes: &[u8]) -> Digest {
        let mut digest = [0; 8];
        digest.copy_from_slice(&Sha256::digest(bytes)[..8]);
        Digest(digest)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl Serialize for Digest {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = std::borrow::Cow::<'de, str>::deserialize(d)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

impl std::str::FromStr for Digest {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Digest, Self::Err> {
        let wrong = "expected a digest of 16 hexadecimal digits";
        let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let number = digits.then(|| u64::from_str_radix(text, 16).ok()).flatten();
        number.map(|n| Digest(n.to_be_bytes())).ok_or(wrong)
    }
}

/// A source of backends, and the number that its list has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Source {
    /// Digest of its address.
    pub source: Digest,
    /// The number of the last list or change that was heard; none before the first.
    pub seq: u64,
}

/// What a proxy acts on.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Version {
    /// The program's build.
    pub build: String,
    /// The fleet's protocols that it speaks, the lowest and the highest.
    pub protocols: [u8; 2],
    /// Digest of its settings.
    pub settings: Digest,
    /// The number of the generation of routes in force; 0 without routes.
    pub generation: u64,
    /// Digest of that generation's text.
    pub routes: Digest,
    /// The lists of backends that it goes by.
    pub sources: Vec<Source>,
    /// Sources past [`MAX_SOURCES`], which are not told.
    pub further: u16,
}

impl Version {
    /// Cuts what would not fit a datagram. What is told of such a version says how much was left
    /// out.
    pub fn bounded(mut self) -> Version {
        while self.build.len() > MAX_BUILD {
            self.build.pop();
        }
        if self.sources.len() > MAX_SOURCES {
            let past = self.sources.len() - MAX_SOURCES;
            self.further = self
                .further
                .saturating_add(u16::try_from(past).unwrap_or(u16::MAX));
            self.sources.truncate(MAX_SOURCES);
        }
        self
    }

    /// Of all that it says.
    pub fn digest(&self) -> Digest {
        let mut bytes = Writer::default();
        self.write(&mut bytes);
        Digest::of(bytes.as_slice())
    }

    pub(crate) fn write(&self, to: &mut Writer) {
        to.u8(self.build.len().min(MAX_BUILD) as u8);
        to.bytes(&self.build.as_bytes()[..self.build.len().min(MAX_BUILD)]);
        to.bytes(&self.protocols);
        to.bytes(&self.settings.0);
        to.u64(self.generation);
        to.bytes(&self.routes.0);
        to.u16(self.further);
        to.u8(self.sources.len().min(MAX_SOURCES) as u8);
        for s in self.sources.iter().take(MAX_SOURCES) {
            to.bytes(&s.source.0);
            to.u64(s.seq);
        }
    }

    pub(crate) fn read(from: &mut Reader<'_>) -> Result<Version, DecodeError> {
        let length = usize::from(from.u8()?);
        if length > MAX_BUILD {
            return Err(DecodeError);
        }
        let build = std::str::from_utf8(from.bytes(length)?)
            .map_err(|_| DecodeError)?
            .to_string();
        let protocols = from.array()?;
        let (settings, generation) = (Digest(from.array()?), from.u64()?);
        let (routes, further) = (Digest(from.array()?), from.u16()?);
        let count = usize::from(from.u8()?);
        if count > MAX_SOURCES {
            return Err(DecodeError);
        }
        let mut sources = Vec::with_capacity(count);
        for _ in 0..count {
            sources.push(Source {
                source: Digest(from.array()?),
                seq: from.u64()?,
            });
        }
        Ok(Version {
            build,
            protocols,
            settings,
            generation,
            routes,
            sources,
            further,
        })
    }
}
