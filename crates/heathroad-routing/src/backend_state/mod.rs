//! The state of backends, by address.
//!
//! The state belongs to a backend and not to the pools or generations that name it. A backend in
//! two pools is one backend for drains and warm-up, and no configuration change brings back a
//! backend that drains or is gone.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Whether a backend may be sent new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// It takes new requests.
    Available,
    /// It takes none: it drains, is gone, or was revoked.
    Withdrawn,
}

/// Returns for each pool by how many pools its most shared backend is shared, at least 1.
///
/// A pool keeps to that part of the warm-up budget of its backends. Each item of `pools` holds the
/// backends that one pool sends to.
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
    /// The start time of its process as it was announced; 0 is unknown.
    process_start: u64,
    withdrawn: bool,
    /// The pools in force that name the backend.
    pools: BTreeSet<String>,
}

/// The states of all backends that a pool names, or that were withdrawn while one did.
#[derive(Debug, Default)]
pub struct BackendStates {
    states: BTreeMap<SocketAddr, BackendState>,
}

impl BackendStates {
    /// Replaces the backends that a pool names.
    ///
    /// A backend that no pool names is forgotten unless it was withdrawn: the next change must not
    /// bring that one back.
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

    /// Records the state that a backend's process announces.
    ///
    /// A later process start is another process, which earlier drains do not concern. An
    /// announcement of an earlier process is stale and ignored.
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

    /// Makes a backend available again, as its registry announces for the same process.
    pub fn restore(&mut self, address: SocketAddr, process_start: u64) {
        let state = self.states.get_mut(&address);
        if let Some(state) = state.filter(|s| s.process_start <= process_start) {
            state.process_start = process_start;
            state.withdrawn = false;
        }
    }

    /// Returns whether a backend may be sent new requests. One that no pool names may not.
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

    /// Returns the number of backends that are remembered.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether no backend is remembered.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }
}
