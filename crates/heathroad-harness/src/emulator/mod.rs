//! Emulators of the daemon's environment: backends, the registry, the fencing server and the
//! network between proxies. They speak the daemon's protocols and inject faults on request.

pub mod backend;
pub mod dedup_cache;
pub mod fencing_server;
pub mod host;
pub mod network;
pub mod registry;
