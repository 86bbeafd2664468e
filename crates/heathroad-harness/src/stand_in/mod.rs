//! Stand-ins for what surrounds the daemon: backends, the registry, the network between proxies.
//! They follow the protocol that the daemon speaks, and fail where they are told to.

pub mod backend;
pub mod gate;
pub mod machine;
pub mod memory;
pub mod network;
pub mod registry;
