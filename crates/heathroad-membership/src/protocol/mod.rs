//! One member's part of the protocol. Its owner tells it what happens at which time, and takes from
//! it what is to be sent and what has changed.
//!
//! Each component owns its state: the failure detector the probes, dissemination the updates that
//! spread, version agreement what all should run, the fetches and the resource server the resources
//! on their way, the piggyback channel messages of other protocols, and the transport the
//! datagrams. [`Membership`] connects them.

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
