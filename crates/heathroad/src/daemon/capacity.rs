//! Divides the file descriptor limit between client connections, backend connections and the
//! daemon itself.

use crate::admin;
use crate::configuration::Config;
use crate::frontend::connections::SPARE_CONNECTIONS;

/// Descriptors not used for client or backend connections: standard streams, the listener, the
/// reactor, signals, discovery, and connections that are accepted only to be rejected.
const RESERVED_DESCRIPTORS: usize = 16 + SPARE_CONNECTIONS;
/// The socket for messages between cluster members.
const MEMBERSHIP_DESCRIPTORS: usize = 1;
/// Descriptors of the lease service: its store, and the HTTP calls of leased work.
const LEASE_DESCRIPTORS: usize = 4;

/// Connection limits. An active request uses one client and one backend connection; the rest of
/// each limit is available to idle connections.
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
            Some(settings) if settings.leases.is_some() => {
                MEMBERSHIP_DESCRIPTORS + LEASE_DESCRIPTORS
            }
            Some(_) => MEMBERSHIP_DESCRIPTORS,
            None => 0,
        };
        let usable = config.sockets - RESERVED_DESCRIPTORS - admin - membership;
        let backend_connections = usable / 2;
        Capacity {
            client_connections: usable - backend_connections,
            backend_connections,
        }
    }
}
