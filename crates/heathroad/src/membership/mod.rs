//! Membership of this proxy in its fleet: the socket and the clock around `heathroad_membership`,
//! the activity record, and the audit. It is off unless the daemon's file names a file of the
//! fleet.

pub mod activity_log;
pub mod audit;
mod clock_offset;
mod event_log;
mod member_report;
mod pending_fetches;
mod record_file;
mod service;
mod version_fence;

pub use record_file::read as read_record;
pub use service::{MembershipService, StartError};
