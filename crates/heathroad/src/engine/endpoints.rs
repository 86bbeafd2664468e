//! The backends of a pool as discovery lists them, and updates of that list.

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

/// A backend that the list names, or that an open request was sent to.
pub(super) struct KnownEndpoint {
    name: String,
    is_listed: bool,
    /// Its process, once it was ready.
    pub(super) target: Option<Rc<Target>>,
    /// Where it stands, by the last list.
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

    /// Returns its process if that takes new requests.
    fn available_target(&self) -> Option<&Rc<Target>> {
        self.target.as_ref().filter(|target| !target.is_draining())
    }

    /// Sends nothing new to its process from now on.
    fn withdraw(&self, pool: &Pool, metrics: &PoolMetrics, notice: DrainReason) {
        let Some(target) = self.available_target() else {
            return;
        };
        tracing::debug!(
            backend = self.name, address = %target.address, reason = ?notice, "backend withdrawn"
        );
        // The notice may have lain unread while the process stalled.
        target.start_draining(stall_detector::earliest_arrival(Instant::now()));
        pool.close_idle_connections(target);
        metrics.record_drain(notice);
    }

    /// Replaces its process unless that is the listed one.
    fn set_ready_target(&mut self, instance: &Instance, pool: &Pool, metrics: &PoolMetrics) {
        let Some(address) = instance.address else {
            return;
        };
        // A new process knows nothing of the old one's connections. Where its machine fell silent
        // they look open still, and a request on one would end as a reset, which may have run.
        let is_same = self.available_target().is_some_and(|target| {
            target.address == address && target.born_ms == instance.started_ms
        });
        if is_same {
            return;
        }
        self.withdraw(pool, metrics, DrainReason::Replaced);
        tracing::debug!(backend = instance.name, %address, born_ms = instance.started_ms, "backend ready");
        self.target = Some(pool.target(&instance.name, address, instance.started_ms));
    }
}

/// All known backends, with the decision module's ids for them.
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

    /// Returns the processes that take new requests.
    pub(super) fn available_targets(&self) -> impl Iterator<Item = &Rc<Target>> {
        self.by_id
            .values()
            .filter_map(KnownEndpoint::available_target)
    }

    /// Returns a backend by its name, with its id. The id is made from the name, since every
    /// replica of the proxy orders the backends by it: the replicas' subsets are to overlap evenly.
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

    /// Forgets the backends that are neither listed nor in use.
    fn retain_listed_or_used(&mut self, used: &HashSet<BackendId>) {
        let ids = &mut self.ids;
        self.by_id.retain(|id, endpoint| {
            let stays = endpoint.is_listed || used.contains(id);
            if !stays {
                ids.remove(&endpoint.name);
            }
            stays
        });
    }
}

impl Engine {
    /// Applies a list of backends, or changes to it.
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
            // The pool cannot send there, and takes it out wherever it was before.
            endpoint.is_listed = false;
            endpoint.withdraw(&self.pool, &self.metrics, DrainReason::Removed);
            if instance.health == InstanceHealth::Serving {
                tracing::warn!(
                    "discovery: {}: zone {:?} is unknown, passed over",
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

    /// Forgets the backends that no list names, once no open request was sent to them: the decision
    /// module has forgotten such a backend too. Where backends are replaced all day, nothing grows
    /// with their number.
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

    /// Notifies the decision module that a call to discovery failed.
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
