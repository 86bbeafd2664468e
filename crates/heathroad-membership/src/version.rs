//! The version that a proxy runs: its build, settings, routes and endpoint lists. Members
//! disseminate the digest of a version; the version itself is sent on request and always fits into
//! one datagram.

use crate::codec::{DecodeError, Reader, Writer};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::fmt;
use thiserror::Error;

/// The maximum length of a build name in bytes; longer ones are truncated.
pub const MAX_BUILD_BYTES: usize = 32;
/// The maximum number of endpoint sources listed in a version; further ones are only counted.
pub const MAX_SOURCES: usize = 8;

/// A SHA-256 truncated to eight bytes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Digest(pub [u8; 8]);

impl Digest {
    /// Computes the digest of `bytes`.
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

/// The error for a string that is not a digest.
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

/// A source of endpoint lists, and the position in its sequence of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointSource {
    /// The digest of the source's address.
    #[serde(rename = "source")]
    pub address_digest: Digest,
    /// The sequence number of the latest list or change received from it.
    #[serde(rename = "seq")]
    pub sequence: u64,
}

/// The version that a proxy runs.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Version {
    /// The build of the program.
    pub build: String,
    /// The lowest and the highest membership protocol version that the proxy supports.
    pub protocols: [u8; 2],
    /// The digest of the proxy's settings.
    pub settings: Digest,
    /// The generation of the routes in force, or 0 without routes.
    pub generation: u64,
    /// The digest of the routes.
    pub routes: Digest,
    /// The sources of the endpoint lists in use, at most [`MAX_SOURCES`].
    pub sources: Vec<EndpointSource>,
    /// The number of further sources, which are not listed.
    #[serde(rename = "further")]
    pub unlisted_sources: u16,
}

impl Version {
    /// Truncates the build name and the list of sources to their limits, and counts the sources
    /// that are no longer listed.
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
        .map_err(|_| DecodeError::InvalidUtf8 { field: "build" })?;
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
