//! The activity record of a proxy: which versions were in force at which times, and what the proxy
//! did under each of them.
//!
//! An interval is a period in which one version was in force. All activity for a request counts
//! towards the interval in which the request was bound, so an interval can gain activity after its
//! end. The record is bounded: beyond [`MAX_INTERVALS`], adjacent intervals that differ only in
//! their endpoint lists are merged. If there are none, the oldest interval is discarded and its
//! activity is reported as discarded.

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

/// Unix time in milliseconds, according to the proxy's own clock.
pub type UnixMillis = u64;

/// The maximum number of intervals in a record.
pub const MAX_INTERVALS: usize = 256;
/// The maximum number of fault intervals in a record; the oldest are dropped first.
pub const MAX_FAULT_INTERVALS: usize = 128;
/// The maximum number of rejected versions in a record; the oldest are dropped first.
pub const MAX_REJECTED_VERSIONS: usize = 32;
/// The maximum length of a rejection reason in bytes; longer ones are truncated.
pub const MAX_REASON_BYTES: usize = 300;
