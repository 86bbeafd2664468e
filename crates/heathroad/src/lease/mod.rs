//! The leases of this proxy: drives `heathroad_lease` with the clock, the disk and the network, and
//! runs the work of each lease that is held here. It is off unless the fleet's file names voters.

pub mod audit_collection;
mod audit_collector;
mod history;
mod http_call;
mod managed_lease;
pub mod report;
mod service;
mod status;
mod store;
mod worker;

pub use service::LeaseService;
pub use store::StoreError;
