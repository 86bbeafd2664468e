//! Stand-ins for what surrounds the daemon: backends and the registry. They follow the protocol that the daemon
//! speaks, and fail where they are told to.

pub mod backend;
pub mod machine;
pub mod memory;
pub mod registry;
