//! Primitive fields of datagrams: big-endian integers and byte strings without padding.

use crate::Incarnation;
use thiserror::Error;

/// An incarnation takes six bytes, which hold milliseconds of Unix time for 8,900 years.
pub(crate) const INCARNATION_BYTES: usize = 6;

/// Why bytes cannot be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum DecodeError {
    /// The bytes end within a field.
    #[error("the datagram is truncated")]
    Truncated,
    /// The first bytes are not those of this protocol.
    #[error("the datagram does not begin with the magic bytes")]
    InvalidMagic,
    /// The lowest supported protocol exceeds the highest.
    #[error("the range of protocols from {lowest} to {highest} is empty")]
    InvalidProtocolRange {
        /// The lowest protocol.
        lowest: u8,
        /// The highest protocol.
        highest: u8,
    },
    /// A field is longer than permitted.
    #[error("{field}: the length {length} exceeds {limit}")]
    TooLong {
        /// The name of the field.
        field: &'static str,
        /// The length that the datagram states.
        length: usize,
        /// The permitted length.
        limit: usize,
    },
    /// A code has no meaning in this protocol.
    #[error("{field}: the code {code} is unknown")]
    UnknownCode {
        /// The name of the field.
        field: &'static str,
        /// The code.
        code: u8,
    },
    /// A text is not UTF-8.
    #[error("{field}: the text is not UTF-8")]
    InvalidText {
        /// The name of the field.
        field: &'static str,
    },
}

/// Encodes fields into a buffer that grows.
#[derive(Default)]
pub struct Writer(Vec<u8>);

impl Writer {
    /// Returns the bytes that were written so far.
    pub fn as_slice(&self) -> &[u8] {
        &self.0
    }

    /// Returns the bytes that were written.
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
    /// Starts at the first of these bytes.
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
