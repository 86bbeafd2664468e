//! The offset between the clocks of two proxies, which is known up to an error.

use heathroad_membership::activity_record::UnixMillis;

/// How far another proxy's clock is from this one's.
#[derive(Debug, Clone, Copy, Default)]
pub struct ClockOffset {
    /// To be added to the other proxy's times.
    pub offset_ms: i64,
    /// The offset is exact up to this.
    pub error_ms: u64,
}

impl ClockOffset {
    /// Estimates the offset of a snapshot that was taken at some time in a span of this proxy's
    /// clock.
    pub fn estimate(span_start: UnixMillis, span_ms: u64, taken_at: UnixMillis) -> ClockOffset {
        let middle = span_start.saturating_add(span_ms / 2);
        let offset = i128::from(middle) - i128::from(taken_at);
        ClockOffset {
            offset_ms: i64::try_from(offset).unwrap_or(i64::MAX),
            error_ms: span_ms.div_ceil(2),
        }
    }

    /// Returns another proxy's time by this proxy's clock.
    pub fn to_local(self, time: UnixMillis) -> UnixMillis {
        time.saturating_add_signed(self.offset_ms)
    }
}
