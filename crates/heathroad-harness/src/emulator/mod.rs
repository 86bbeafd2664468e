//! Stand-ins for what surrounds the daemon: backends, the registry, the network between proxies.
//! They follow the protocol that the daemon speaks, and fail where they are told to.

pub mod backend;
pub mod dedup_cache;
pub mod fencing_server;
pub mod host;
pub mod network;
pub mod registry;
