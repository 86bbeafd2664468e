//! The protocol state machine of one member. The caller passes in the time and incoming datagrams,
//! and takes out datagrams to send and events.
//!
//! Each component owns its state: the failure detector owns the probes; dissemination, the updates
//! to be sent; version agreement, the desired and the known versions; fetches and the resource
//! server, resource transfers; the piggyback channel, messages of other protocols; and the
//! transport, outgoing datagrams, rate limits and traffic counters. [`Membership`] connects them.

mod claims;
mod config;
mod dissemination;
mod event;
mod failure_detector;
pub mod fetch;
mod membership;
pub mod piggyback;
mod probe;
mod receive;
mod report;
mod resource_server;
mod resources;
mod transport;
mod version_agreement;
mod versions;

pub use config::Config;
pub use event::Event;
pub use membership::{Membership, Settings};
pub use report::{MemberView, TrafficCounters};
pub use resource_server::ResourceRequest;
pub use transport::Transmit;
