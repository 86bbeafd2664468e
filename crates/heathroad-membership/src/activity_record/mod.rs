//! The activity record of a proxy: what it did under which version, from when to when.
//!
//! An interval is the time in which one version was in force. What is done for a request is counted
//! in the interval that was open when the request was bound, also when it is done long after; so
//! the activity of an interval goes on after its end. The record is bounded: beyond
//! [`MAX_INTERVALS`], neighbours that differ in their endpoint lists alone are merged; where there
//! are none, the oldest interval is discarded, and its activity is reported as discarded.

mod counts;
mod epoch;
mod record;
mod snapshot;

pub use counts::{Activity, ActivityCounts};
pub use epoch::Epoch;
pub use record::ActivityRecord;
pub use snapshot::{
    DiscardedIntervals, FaultInterval, FaultKind, Interval, RecordSnapshot, RejectedVersion,
};

/// Unix time in milliseconds, by the proxy's own clock.
pub type UnixMillis = u64;

/// The most intervals of a record.
pub const MAX_INTERVALS: usize = 256;
/// The most fault intervals of a record; the oldest go first.
pub const MAX_FAULT_INTERVALS: usize = 128;
/// The most rejected versions of a record; the oldest go first.
pub const MAX_REJECTED_VERSIONS: usize = 32;
/// The longest reason of a rejection, in bytes; a longer one is cut.
pub const MAX_REASON_BYTES: usize = 300;
