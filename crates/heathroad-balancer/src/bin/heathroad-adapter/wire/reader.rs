//! Reads the little-endian fields of the protocol.

use super::error::WireError;
use heathroad_balancer::api::{Endpoint, EndpointState, Outcome};

/// Reads fields from a byte slice and tracks the position for error messages.
pub struct Reader<'a> {
    bytes: &'a [u8],
    offset: usize,
    /// The position of the slice in the frame.
    start: usize,
}

impl<'a> Reader<'a> {
    pub fn new(bytes: &'a [u8], start: usize) -> Self {
        Reader {
            bytes,
            offset: 0,
            start,
        }
    }

    /// Returns the current position in the frame.
    pub fn position(&self) -> usize {
        self.start + self.offset
    }

    /// Returns the number of unread bytes.
    pub fn remaining(&self) -> usize {
        self.bytes.len() - self.offset
    }

    pub fn bytes(&mut self, count: usize, field: &'static str) -> Result<&'a [u8], WireError> {
        let end = self.offset.checked_add(count);
        let bytes = end.and_then(|end| self.bytes.get(self.offset..end));
        let bytes = bytes.ok_or(WireError::TruncatedField {
            at: self.position(),
            field,
        })?;
        self.offset += count;
        Ok(bytes)
    }

    fn array<const N: usize>(&mut self, field: &'static str) -> Result<[u8; N], WireError> {
        let bytes = self.bytes(N, field)?;
        Ok(bytes.try_into().expect("exactly N bytes were read"))
    }

    pub fn u8(&mut self, field: &'static str) -> Result<u8, WireError> {
        Ok(u8::from_le_bytes(self.array(field)?))
    }

    pub fn u16(&mut self, field: &'static str) -> Result<u16, WireError> {
        Ok(u16::from_le_bytes(self.array(field)?))
    }

    pub fn u32(&mut self, field: &'static str) -> Result<u32, WireError> {
        Ok(u32::from_le_bytes(self.array(field)?))
    }

    pub fn u64(&mut self, field: &'static str) -> Result<u64, WireError> {
        Ok(u64::from_le_bytes(self.array(field)?))
    }

    pub fn f32(&mut self, field: &'static str) -> Result<f32, WireError> {
        Ok(f32::from_le_bytes(self.array(field)?))
    }

    /// Reads a number that must be finite.
    pub fn f64(&mut self, field: &'static str) -> Result<f64, WireError> {
        let at = self.position();
        let number = f64::from_le_bytes(self.array(field)?);
        if number.is_finite() {
            Ok(number)
        } else {
            Err(WireError::NotFinite { at, field })
        }
    }

    /// Skips a load report, which the balancer does not use.
    pub fn skip_load_report(&mut self) -> Result<(), WireError> {
        let count = self.u8("healthInfo")?;
        for _ in 0..count {
            self.f32("healthInfo")?;
        }
        Ok(())
    }

    pub fn outcome(&mut self) -> Result<Outcome, WireError> {
        let (at, field) = (self.position(), "disposition");
        Ok(match self.u16(field)? {
            0 => Outcome::Success,
            1 => Outcome::Error,
            2 => Outcome::Rejected,
            3 => Outcome::Timeout,
            4 => Outcome::ConnectFailed,
            5 => Outcome::Reset,
            6 => Outcome::Cancelled,
            7 => Outcome::NotSent,
            code => return Err(WireError::UnknownCode { at, field, code }),
        })
    }

    pub fn endpoint(&mut self) -> Result<Endpoint, WireError> {
        let state = self.endpoint_state()?;
        let endpoint = Endpoint {
            state,
            backend: self.u32("backend")?,
            zone: self.u16("hall")?,
            started_at: self.f64("startedAt")?,
            weight: f64::from(self.f32("weight")?),
            cell: self.u16("cluster")?,
        };
        self.u16("hw")?;
        Ok(endpoint)
    }

    fn endpoint_state(&mut self) -> Result<EndpointState, WireError> {
        let (at, field) = (self.position(), "phase");
        Ok(match self.u8(field)? {
            0 => EndpointState::Ready,
            1 => EndpointState::Removed,
            2 => EndpointState::Draining,
            code => {
                let code = u16::from(code);
                return Err(WireError::UnknownCode { at, field, code });
            }
        })
    }
}
