//! Estimates the offset between the clocks of two proxies, with an error bound.

use heathroad_membership::activity_record::UnixMillis;

/// The offset between another proxy's clock and this proxy's.
#[derive(Debug, Clone, Copy, Default)]
pub struct ClockOffset {
    /// What to add to the other proxy's times to get this proxy's.
    pub offset_ms: i64,
    /// The largest error of the offset.
    pub error_ms: u64,
}

impl ClockOffset {
    /// Estimates the offset from a snapshot that was taken at `taken_at` by the other clock, and
    /// within `span_ms` after `span_start` by this proxy's clock.
    pub fn estimate(span_start: UnixMillis, span_ms: u64, taken_at: UnixMillis) -> ClockOffset {
        let middle = span_start.saturating_add(span_ms / 2);
        let offset = i128::from(middle) - i128::from(taken_at);
        ClockOffset {
            offset_ms: i64::try_from(offset).unwrap_or(i64::MAX),
            error_ms: span_ms.div_ceil(2),
        }
    }

    /// Converts a time of the other proxy to this proxy's clock.
    pub fn to_local(self, time: UnixMillis) -> UnixMillis {
        time.saturating_add_signed(self.offset_ms)
    }
}
