//! The division of the file descriptors between clients, backends and the daemon's own needs.

use crate::admin;
use crate::configuration::Config;
use crate::frontend::connections::SPARE_CONNECTIONS;

/// Descriptors that are neither clients' nor backends' connections: standard streams, the listener,
/// the reactor, signals, discovery, and connections that are accepted only to be rejected.
const RESERVED: usize = 16 + SPARE_CONNECTIONS;
/// The descriptor of the port for other members.
const MEMBERSHIP: usize = 1;
/// Descriptors of leases: their store, and calls of their work.
const LEASES: usize = 4;

/// How many connections clients and backends may have. Each request in work holds one on either
/// side; idle ones fill what is left.
#[derive(Clone, Copy)]
pub(super) struct Capacity {
    pub client_connections: usize,
    pub backend_connections: usize,
}

impl Capacity {
    pub fn new(config: &Config) -> Self {
        let admin = match config.admin {
            Some(_) => 1 + admin::MAX_CONNECTIONS,
            None => 0,
        };
        let membership = match &config.membership {
            Some(settings) if settings.leases.is_some() => MEMBERSHIP + LEASES,
            Some(_) => MEMBERSHIP,
            None => 0,
        };
        let usable = config.sockets - RESERVED - admin - membership;
        let backend_connections = usable / 2;
        Capacity {
            client_connections: usable - backend_connections,
            backend_connections,
        }
    }
}
