//! The availability of backends, by address.
//!
//! State belongs to a backend, not to the pools or generations that list it. A backend in two pools
//! drains and warms up as one, and no configuration change makes a draining or departed backend
//! available again.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Whether a backend accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// It accepts new requests.
    Available,
    /// It accepts none: it is draining, gone or revoked.
    Withdrawn,
}

/// Returns, for each pool, the number of pools that share its most shared backend, at least 1.
///
/// Each pool divides the warm-up budget of its backends by this number. Each item of `pools` is the
/// set of backends of one pool.
pub fn count_sharing_pools(pools: &[BTreeSet<SocketAddr>]) -> Vec<usize> {
    let mut pools_by_backend: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for backend in pools.iter().flatten() {
        *pools_by_backend.entry(*backend).or_default() += 1;
    }
    let max_sharing = |pool: &BTreeSet<SocketAddr>| {
        let counts = pool.iter().map(|backend| pools_by_backend[backend]);
        counts.max().unwrap_or(1)
    };
    pools.iter().map(max_sharing).collect()
}

#[derive(Debug, Default)]
struct BackendState {
    /// The announced start time of its process; 0 if unknown.
    process_start: u64,
    withdrawn: bool,
    /// The active pools that list the backend.
    pools: BTreeSet<String>,
}

/// The states of all backends that a pool lists, and of withdrawn backends.
#[derive(Debug, Default)]
pub struct BackendStates {
    states: BTreeMap<SocketAddr, BackendState>,
}

impl BackendStates {
    /// Replaces the backends that a pool lists.
    ///
    /// A backend that no pool lists any more is removed, unless it is withdrawn: a later change
    /// must not make it available again.
    pub fn set_pool_backends(&mut self, pool: &str, addresses: &BTreeSet<SocketAddr>) {
        for address in addresses {
            let state = self.states.entry(*address).or_default();
            state.pools.insert(pool.to_string());
        }
        self.states.retain(|address, state| {
            if !addresses.contains(address) {
                state.pools.remove(pool);
            }
            state.withdrawn || !state.pools.is_empty()
        });
    }

    /// Records an announcement by a backend's process.
    ///
    /// A later process start means a new process, to which earlier drains do not apply. An
    /// announcement by an earlier process is stale and ignored.
    pub fn record_announcement(
        &mut self,
        address: SocketAddr,
        process_start: u64,
        accepts_requests: bool,
    ) {
        let state = self.states.entry(address).or_default();
        if process_start < state.process_start {
            return;
        }
        if process_start > state.process_start {
            state.process_start = process_start;
            state.withdrawn = false;
        }
        state.withdrawn |= !accepts_requests;
    }

    /// Makes a backend available again after its registry announced this for the same process.
    pub fn restore(&mut self, address: SocketAddr, process_start: u64) {
        let state = self.states.get_mut(&address);
        if let Some(state) = state.filter(|s| s.process_start <= process_start) {
            state.process_start = process_start;
            state.withdrawn = false;
        }
    }

    /// Returns whether a backend accepts new requests. A backend that no pool lists does not.
    pub fn availability(&self, address: SocketAddr) -> Availability {
        match self.states.get(&address) {
            Some(s) if !s.withdrawn && !s.pools.is_empty() => Availability::Available,
            _ => Availability::Withdrawn,
        }
    }

    /// Iterates over the withdrawn backends, by address.
    pub fn withdrawn(&self) -> impl Iterator<Item = SocketAddr> {
        let withdrawn = self.states.iter().filter(|(_, state)| state.withdrawn);
        withdrawn.map(|(address, _)| *address)
    }

    /// Returns the number of tracked backends.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns whether no backend is tracked.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }
}
