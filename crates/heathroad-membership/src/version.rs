//! What a proxy runs, as one value. It spreads as a digest; the value itself is sent on request and
//! always fits one datagram.

use crate::codec::{DecodeError, Reader, Writer};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::fmt;
use thiserror::Error;

/// The longest name of a build, in bytes; a longer one is cut.
pub const MAX_BUILD_BYTES: usize = 32;
/// The most sources of endpoint lists that are sent one by one; of further ones only the number is.
pub const MAX_SOURCES: usize = 8;

/// The first eight bytes of a SHA-256.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Digest(pub [u8; 8]);

impl Digest {
    /// Returns the digest of these bytes.
    pub fn of(bytes: &[u8]) -> Digest {
        let mut digest = [0; 8];
        digest.copy_from_slice(&Sha256::digest(bytes)[..8]);
        Digest(digest)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl Serialize for Digest {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = std::borrow::Cow::<'de, str>::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// A text is not a digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("expected a digest of 16 hexadecimal digits")]
pub struct ParseDigestError;

impl std::str::FromStr for Digest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<Digest, ParseDigestError> {
        if text.len() != 16 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(ParseDigestError);
        }
        let number = u64::from_str_radix(text, 16).map_err(|_| ParseDigestError)?;
        Ok(Digest(number.to_be_bytes()))
    }
}

/// A source of endpoint lists, and the sequence number of its list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointSource {
    /// The digest of the source's address.
    #[serde(rename = "source")]
    pub address_digest: Digest,
    /// The number of the last list or change that was received.
    #[serde(rename = "seq")]
    pub sequence: u64,
}

/// What a proxy runs.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Version {
    /// The build of the program.
    pub build: String,
    /// The lowest and the highest membership protocol that it supports.
    pub protocols: [u8; 2],
    /// The digest of its settings.
    pub settings: Digest,
    /// The number of the generation of routes in force; 0 without routes.
    pub generation: u64,
    /// The digest of that generation's text.
    pub routes: Digest,
    /// The endpoint lists that it uses.
    pub sources: Vec<EndpointSource>,
    /// The number of sources beyond [`MAX_SOURCES`], which are not listed.
    #[serde(rename = "further")]
    pub unlisted_sources: u16,
}

impl Version {
    /// Cuts what would not fit a datagram. The result says how many sources were left out.
    pub fn bounded(mut self) -> Version {
        while self.build.len() > MAX_BUILD_BYTES {
            self.build.pop();
        }
        if self.sources.len() > MAX_SOURCES {
            let excess = self.sources.len() - MAX_SOURCES;
            let excess = u16::try_from(excess).unwrap_or(u16::MAX);
            self.unlisted_sources = self.unlisted_sources.saturating_add(excess);
            self.sources.truncate(MAX_SOURCES);
        }
        self
    }

    /// Returns the digest of the encoded version.
    pub fn digest(&self) -> Digest {
        let mut writer = Writer::default();
        self.encode(&mut writer);
        Digest::of(writer.as_slice())
    }

    pub(crate) fn encode(&self, writer: &mut Writer) {
        let build = &self.build.as_bytes()[..self.build.len().min(MAX_BUILD_BYTES)];
        writer.write_u8(build.len() as u8);
        writer.write_bytes(build);
        writer.write_bytes(&self.protocols);
        writer.write_bytes(&self.settings.0);
        writer.write_u64(self.generation);
        writer.write_bytes(&self.routes.0);
        writer.write_u16(self.unlisted_sources);
        writer.write_u8(self.sources.len().min(MAX_SOURCES) as u8);
        for source in self.sources.iter().take(MAX_SOURCES) {
            writer.write_bytes(&source.address_digest.0);
            writer.write_u64(source.sequence);
        }
    }

    pub(crate) fn decode(reader: &mut Reader<'_>) -> Result<Version, DecodeError> {
        let build = decode_build(reader)?;
        let protocols = reader.read_array()?;
        let settings = Digest(reader.read_array()?);
        let generation = reader.read_u64()?;
        let routes = Digest(reader.read_array()?);
        let unlisted_sources = reader.read_u16()?;
        let sources = decode_sources(reader)?;
        Ok(Version {
            build,
            protocols,
            settings,
            generation,
            routes,
            sources,
            unlisted_sources,
        })
    }
}

fn decode_build(reader: &mut Reader<'_>) -> Result<String, DecodeError> {
    let length = decode_length(reader, "build", MAX_BUILD_BYTES)?;
    let build = std::str::from_utf8(reader.read_bytes(length)?)
        .map_err(|_| DecodeError::InvalidText { field: "build" })?;
    Ok(build.to_string())
}

fn decode_sources(reader: &mut Reader<'_>) -> Result<Vec<EndpointSource>, DecodeError> {
    let count = decode_length(reader, "sources", MAX_SOURCES)?;
    let mut sources = Vec::with_capacity(count);
    for _ in 0..count {
        sources.push(EndpointSource {
            address_digest: Digest(reader.read_array()?),
            sequence: reader.read_u64()?,
        });
    }
    Ok(sources)
}

fn decode_length(
    reader: &mut Reader<'_>,
    field: &'static str,
    limit: usize,
) -> Result<usize, DecodeError> {
    let length = usize::from(reader.read_u8()?);
    if length > limit {
        return Err(DecodeError::TooLong {
            field,
            length,
            limit,
        });
    }
    Ok(length)
}
