//! The leases of this proxy: connects `heathroad_lease` to the clock, the disk and the network, and
//! runs the work of each lease that this proxy holds. Disabled unless the fleet's file configures
//! voters.

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
