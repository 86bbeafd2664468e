//! Encoding and decoding of primitive fields: big-endian integers and byte strings without padding.

use crate::Incarnation;
use thiserror::Error;

/// The length of an encoded incarnation. Six bytes hold Unix time in milliseconds until the year
/// 10889.
pub(crate) const INCARNATION_BYTES: usize = 6;

/// An error in the encoding of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum DecodeError {
    /// The datagram ends within a field.
    #[error("the datagram is truncated")]
    Truncated,
    /// The datagram does not start with the magic bytes.
    #[error("the datagram does not start with the magic bytes")]
    InvalidMagic,
    /// The lowest supported protocol exceeds the highest.
    #[error("invalid protocol range: lowest {lowest}, highest {highest}")]
    InvalidProtocolRange {
        /// The lowest protocol.
        lowest: u8,
        /// The highest protocol.
        highest: u8,
    },
    /// A field exceeds its maximum length.
    #[error("{field}: length {length} exceeds the limit of {limit}")]
    TooLong {
        /// The name of the field.
        field: &'static str,
        /// The encoded length.
        length: usize,
        /// The maximum length.
        limit: usize,
    },
    /// A code is not defined in this protocol.
    #[error("{field}: unknown code {code}")]
    UnknownCode {
        /// The name of the field.
        field: &'static str,
        /// The code.
        code: u8,
    },
    /// A string is not valid UTF-8.
    #[error("{field}: invalid UTF-8")]
    InvalidUtf8 {
        /// The name of the field.
        field: &'static str,
    },
}

/// Encodes fields into a growable buffer.
#[derive(Default)]
pub struct Writer(Vec<u8>);

impl Writer {
    /// Returns the bytes written so far.
    pub fn as_slice(&self) -> &[u8] {
        &self.0
    }

    /// Returns the written bytes.
    pub fn into_vec(self) -> Vec<u8> {
        self.0
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    pub(crate) fn truncate(&mut self, length: usize) {
        self.0.truncate(length);
    }

    pub(crate) fn write_u8(&mut self, value: u8) {
        self.0.push(value);
    }

    pub(crate) fn write_u16(&mut self, value: u16) {
        self.write_bytes(&value.to_be_bytes());
    }

    pub(crate) fn write_u32(&mut self, value: u32) {
        self.write_bytes(&value.to_be_bytes());
    }

    pub(crate) fn write_u64(&mut self, value: u64) {
        self.write_bytes(&value.to_be_bytes());
    }

    pub(crate) fn write_incarnation(&mut self, incarnation: Incarnation) {
        self.write_bytes(&incarnation.to_be_bytes()[8 - INCARNATION_BYTES..]);
    }

    pub(crate) fn write_bytes(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }
}

/// Decodes fields from the front of a slice.
pub struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    /// Creates a reader at the start of `bytes`.
    pub fn new(bytes: &'a [u8]) -> Self {
        Reader(bytes)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn read_bytes(&mut self, length: usize) -> Result<&'a [u8], DecodeError> {
        let (head, rest) = self
            .0
            .split_at_checked(length)
            .ok_or(DecodeError::Truncated)?;
        self.0 = rest;
        Ok(head)
    }

    pub(crate) fn read_array<const N: usize>(&mut self) -> Result<[u8; N], DecodeError> {
        let bytes = self.read_bytes(N)?;
        bytes.try_into().map_err(|_| DecodeError::Truncated)
    }

    pub(crate) fn read_u8(&mut self) -> Result<u8, DecodeError> {
        self.read_array().map(u8::from_be_bytes)
    }

    pub(crate) fn read_u16(&mut self) -> Result<u16, DecodeError> {
        self.read_array().map(u16::from_be_bytes)
    }

    pub(crate) fn read_u32(&mut self) -> Result<u32, DecodeError> {
        self.read_array().map(u32::from_be_bytes)
    }

    pub(crate) fn read_u64(&mut self) -> Result<u64, DecodeError> {
        self.read_array().map(u64::from_be_bytes)
    }

    pub(crate) fn read_incarnation(&mut self) -> Result<Incarnation, DecodeError> {
        let mut bytes = [0; 8];
        bytes[8 - INCARNATION_BYTES..].copy_from_slice(self.read_bytes(INCARNATION_BYTES)?);
        Ok(u64::from_be_bytes(bytes))
    }
}
