//! Membership of this proxy in its cluster: runs the protocol of `heathroad_membership` on a socket
//! and a clock, and keeps the activity record and the audit. It is disabled unless the daemon's
//! configuration has the key `fleet`.

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
