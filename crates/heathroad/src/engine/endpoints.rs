//! The backends of a pool, and updates of the endpoint list from discovery.

use super::{Engine, hash_text};
use crate::backend::{Pool, Target};
use crate::discovery::endpoint_list::{Instance, InstanceHealth};
use crate::metrics::{DrainReason, PoolMetrics};
use crate::safety::Location;
use crate::stall_detector;
use heathroad_balancer::api::{BackendId, Endpoint, EndpointState, Event, UpdateKind};
use rustc_hash::FxHashMap;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use tokio::time::Instant;

/// A backend that is in the endpoint list or has attempts of open requests.
pub(super) struct KnownEndpoint {
    name: String,
    is_listed: bool,
    /// The backend's process; `None` until it has been ready.
    pub(super) target: Option<Rc<Target>>,
    /// The backend's zone and cell in the last update.
    pub(super) location: Location,
}

impl KnownEndpoint {
    fn new(name: &str) -> KnownEndpoint {
        KnownEndpoint {
            name: name.to_string(),
            is_listed: false,
            target: None,
            location: Location::default(),
        }
    }

    /// Returns the process if it accepts new requests.
    fn available_target(&self) -> Option<&Rc<Target>> {
        self.target.as_ref().filter(|target| !target.is_draining())
    }

    /// Marks the process as draining, so that it receives no new attempts, and closes its idle
    /// connections.
    fn withdraw(&self, pool: &Pool, metrics: &PoolMetrics, reason: DrainReason) {
        let Some(target) = self.available_target() else {
            return;
        };
        tracing::debug!(
            backend = self.name, address = %target.address, ?reason, "backend withdrawn"
        );
        // The update may have arrived during a stall of the event loop.
        target.start_draining(stall_detector::earliest_arrival(Instant::now()));
        pool.close_idle_connections(target);
        metrics.record_drain(reason);
    }

    /// Replaces the process unless it is the one in the endpoint list.
    fn set_ready_target(&mut self, instance: &Instance, pool: &Pool, metrics: &PoolMetrics) {
        let Some(address) = instance.address else {
            return;
        };
        // Connections to a replaced process must not be reused. If its machine failed without
        // closing them they still appear open, and a request on one would end in a reset, after
        // which it may have been executed.
        let is_same = self.available_target().is_some_and(|target| {
            target.address == address && target.started_ms == instance.started_ms
        });
        if is_same {
            return;
        }
        self.withdraw(pool, metrics, DrainReason::Replaced);
        tracing::debug!(backend = instance.name, %address, born_ms = instance.started_ms, "backend ready");
        self.target = Some(pool.target(&instance.name, address, instance.started_ms));
    }
}

/// All known backends, by name and by the decision module's ids.
#[derive(Default)]
pub(super) struct Endpoints {
    pub(super) ids: HashMap<String, BackendId>,
    pub(super) by_id: FxHashMap<BackendId, KnownEndpoint>,
}

impl Endpoints {
    /// Returns a backend by its id.
    pub(super) fn get(&self, id: BackendId) -> Option<&KnownEndpoint> {
        self.by_id.get(&id)
    }

    /// Returns the processes that accept new requests.
    pub(super) fn available_targets(&self) -> impl Iterator<Item = &Rc<Target>> {
        self.by_id
            .values()
            .filter_map(KnownEndpoint::available_target)
    }

    /// Returns a backend and its id by name, and adds it if it is unknown. The id is a hash of the
    /// name, so that all replicas of the proxy order the backends alike and their subsets overlap
    /// evenly.
    fn get_or_insert(&mut self, name: &str) -> (BackendId, &mut KnownEndpoint) {
        let id = self.ids.get(name).copied().unwrap_or_else(|| {
            let mut id = hash_text(name) as BackendId;
            while self.by_id.contains_key(&id) {
                id = id.wrapping_add(1);
            }
            self.ids.insert(name.to_string(), id);
            id
        });
        let endpoint = self
            .by_id
            .entry(id)
            .or_insert_with(|| KnownEndpoint::new(name));
        (id, endpoint)
    }

    fn are_all_listed(&self) -> bool {
        self.by_id.values().all(|endpoint| endpoint.is_listed)
    }

    /// Removes the backends that are neither listed nor in use.
    fn retain_listed_or_used(&mut self, used: &HashSet<BackendId>) {
        let ids = &mut self.ids;
        self.by_id.retain(|id, endpoint| {
            let is_kept = endpoint.is_listed || used.contains(id);
            if !is_kept {
                ids.remove(&endpoint.name);
            }
            is_kept
        });
    }
}

impl Engine {
    /// Applies a full endpoint list or a delta.
    pub fn update_endpoints(self: &Rc<Self>, kind: UpdateKind, list: Vec<Instance>) {
        let updated = {
            let endpoints = &mut self.state.borrow_mut().endpoints;
            if kind != UpdateKind::Delta {
                endpoints
                    .by_id
                    .values_mut()
                    .for_each(|endpoint| endpoint.is_listed = false);
            }
            let updated = list
                .into_iter()
                .map(|instance| self.update_endpoint(endpoints, instance))
                .collect();
            let unlisted = endpoints
                .by_id
                .values()
                .filter(|endpoint| !endpoint.is_listed);
            unlisted.for_each(|endpoint| {
                endpoint.withdraw(&self.pool, &self.metrics, DrainReason::Removed);
            });
            updated
        };
        self.notify(Event::EndpointUpdate {
            kind,
            endpoints: updated,
        });
        self.remove_unused_endpoints();
    }

    fn update_endpoint(&self, endpoints: &mut Endpoints, instance: Instance) -> Endpoint {
        let (backend, endpoint) = endpoints.get_or_insert(&instance.name);
        endpoint.is_listed = instance.health != InstanceHealth::Deleted;
        let zones = &self.settings.site.zones;
        let Some(zone) = zones.iter().position(|zone| *zone == instance.site) else {
            // Backends in unknown zones are not used, even if their previous zone was known.
            endpoint.is_listed = false;
            endpoint.withdraw(&self.pool, &self.metrics, DrainReason::Removed);
            if instance.health == InstanceHealth::Serving {
                tracing::warn!(
                    "discovery: backend {} ignored: unknown zone {:?}",
                    instance.name,
                    instance.site
                );
            }
            return Endpoint {
                backend,
                state: EndpointState::Removed,
                ..Endpoint::default()
            };
        };
        let state = endpoint_state(instance.health);
        match state {
            EndpointState::Ready if instance.address.is_some() => {
                endpoint.set_ready_target(&instance, &self.pool, &self.metrics);
            }
            EndpointState::Removed => {
                endpoint.withdraw(&self.pool, &self.metrics, DrainReason::Removed);
            }
            _ => endpoint.withdraw(&self.pool, &self.metrics, DrainReason::Draining),
        }
        let (zone, cell) = (zone as u16, instance.block);
        endpoint.location = Location { zone, cell };
        Endpoint {
            backend,
            state,
            zone,
            started_at: instance.started_ms.max(0.0),
            weight: instance.weight.max(0.0),
            cell,
        }
    }

    /// Removes the backends that are neither in the endpoint list nor used by an open request, so
    /// that replaced backends do not accumulate.
    pub fn remove_unused_endpoints(&self) {
        let state = &mut *self.state.borrow_mut();
        if state.endpoints.are_all_listed() {
            return;
        }
        let attempts = state
            .requests
            .values()
            .flat_map(|request| &request.attempts);
        let used = attempts.map(|attempt| attempt.backend).collect();
        state.endpoints.retain_listed_or_used(&used);
    }

    /// Notifies the decision module that a poll of discovery failed.
    pub fn record_discovery_failure(self: &Rc<Self>) {
        self.watch_requested.send_replace(false);
        self.notify(Event::EndpointUpdate {
            kind: UpdateKind::Failed,
            endpoints: Vec::new(),
        });
    }
}

fn endpoint_state(health: InstanceHealth) -> EndpointState {
    match health {
        InstanceHealth::Serving => EndpointState::Ready,
        InstanceHealth::Draining => EndpointState::Draining,
        InstanceHealth::Deleted => EndpointState::Removed,
    }
}
