//! Backends of routed pools, from the configuration and from the endpoint lists of registries.

use super::routed_pools::RoutedPools;
use super::running_pool::RunningPool;
use crate::discovery::endpoint_list::{Instance, InstanceHealth};
use crate::discovery::{self, DiscoveryEvent};
use crate::runtime_accounting::spawn_local;
use crate::time::millis;
use heathroad_balancer::api::UpdateKind;
use heathroad_routing::backend_state::{Availability, BackendStates, count_sharing_pools};
use heathroad_routing::config::{BackendSource, ListedBackend};
use heathroad_verifier::Node;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// A registry whose endpoint list is watched for the pools that use it.
pub(super) struct RegistryWatch {
    /// The instances of the endpoint list, by name.
    instances: BTreeMap<String, Instance>,
    task: AbortHandle,
}

/// An instance whose labels an update changes.
struct RelabeledInstance {
    before: Instance,
    after: Instance,
}

/// What an update of an endpoint list changes.
#[derive(Default)]
struct UpdateEffects {
    /// The backends whose availability was announced.
    announced: BTreeSet<SocketAddr>,
    relabeled: Vec<RelabeledInstance>,
}

impl UpdateEffects {
    fn announce(
        &mut self,
        states: &mut BackendStates,
        instance: &Instance,
        address: Option<SocketAddr>,
    ) {
        let accepts_requests = instance.health == InstanceHealth::Serving;
        self.announce_as(states, instance, address, accepts_requests);
    }

    fn announce_removed(&mut self, states: &mut BackendStates, instance: &Instance) {
        self.announce_as(states, instance, instance.address, false);
    }

    fn announce_as(
        &mut self,
        states: &mut BackendStates,
        instance: &Instance,
        address: Option<SocketAddr>,
        accepts_requests: bool,
    ) {
        let Some(address) = address else { return };
        let process_start = instance.started_ms.max(0.0) as u64;
        states.record_announcement(address, process_start, accepts_requests);
        if accepts_requests {
            states.restore(address, process_start);
        }
        self.announced.insert(address);
    }
}

impl RegistryWatch {
    /// Applies an update of the endpoint list.
    fn update(
        &mut self,
        kind: UpdateKind,
        instances: &[Instance],
        states: &mut BackendStates,
    ) -> UpdateEffects {
        let mut effects = UpdateEffects::default();
        if kind != UpdateKind::Delta {
            self.remove_unlisted(instances, states, &mut effects);
        }
        for instance in instances {
            let known = self.instances.get(&instance.name);
            if let Some(known) = known.filter(|known| labels(known) != labels(instance)) {
                effects.relabeled.push(RelabeledInstance {
                    before: known.clone(),
                    after: instance.clone(),
                });
            }
            // A delta may leave out an address that is known.
            let known_address = known
                .filter(|_| kind == UpdateKind::Delta)
                .and_then(|k| k.address);
            effects.announce(states, instance, instance.address.or(known_address));
            if instance.health == InstanceHealth::Deleted {
                self.instances.remove(&instance.name);
            } else {
                self.instances
                    .insert(instance.name.clone(), instance.clone());
            }
        }
        effects
    }

    fn remove_unlisted(
        &mut self,
        instances: &[Instance],
        states: &mut BackendStates,
        effects: &mut UpdateEffects,
    ) {
        let names: BTreeSet<&String> = instances.iter().map(|instance| &instance.name).collect();
        self.instances.retain(|name, instance| {
            let is_listed = names.contains(name);
            if !is_listed {
                effects.announce_removed(states, instance);
            }
            is_listed
        });
    }
}

impl RoutedPools {
    /// Passes the backends that a pool lists to its engine, with their current availability.
    pub(super) fn update_listed_backends(&self, pool: &RunningPool) {
        let BackendSource::List(backends) = &pool.definition.source else {
            return;
        };
        let settings = &self.config.settings;
        let own_site = settings.site.zones.get(usize::from(settings.balancer.zone));
        let own_site = own_site.cloned().unwrap_or_default();
        let states = self.backend_states.borrow();
        let instance = |backend: &ListedBackend| Instance {
            name: backend.address.to_string(),
            address: Some(backend.address),
            site: match backend.site.as_str() {
                "" => own_site.clone(),
                site => site.to_string(),
            },
            class: String::new(),
            block: backend.block,
            health: match states.availability(backend.address) {
                Availability::Available => InstanceHealth::Serving,
                Availability::Withdrawn => InstanceHealth::Draining,
            },
            weight: backend.weight,
            started_ms: 0.0,
        };
        pool.engine.update_endpoints(
            UpdateKind::Snapshot,
            backends.iter().map(instance).collect(),
        );
    }

    /// Returns the instances of a registry, or `None` if the registry is not watched.
    pub(super) fn known_instances(&self, registry: SocketAddr) -> Option<Vec<Instance>> {
        let registries = self.registries.borrow();
        let watch = registries.get(&registry)?;
        Some(watch.instances.values().cloned().collect())
    }

    /// Starts to watch the endpoint list of a registry.
    pub(super) fn watch_registry(self: &Rc<Self>, address: SocketAddr) {
        let pools = Rc::downgrade(self);
        let on_event = move |event| {
            if let Some(pools) = pools.upgrade() {
                pools.handle_registry_event(address, event);
            }
        };
        // The list is watched all the time, so polls on demand are never requested.
        let (_, watch_requested) = watch::channel(true);
        let grace = millis(self.config.settings.site.drain_grace);
        let following = discovery::follow(on_event, address, false, grace, watch_requested);
        let task = spawn_local(following);
        let watch = RegistryWatch {
            instances: BTreeMap::new(),
            task: task.abort_handle(),
        };
        self.registries.borrow_mut().insert(address, watch);
    }

    fn handle_registry_event(self: &Rc<Self>, registry: SocketAddr, event: DiscoveryEvent) {
        let DiscoveryEvent::Update(update) = event else {
            return;
        };
        if let Some(activity_log) = &self.config.activity_log {
            activity_log.endpoint_list_received(registry, update.version);
        }
        self.update_instances(registry, update.kind, &update.instances);
    }

    /// Applies an update of a registry's endpoint list to all pools that it concerns.
    fn update_instances(
        self: &Rc<Self>,
        registry: SocketAddr,
        kind: UpdateKind,
        instances: &[Instance],
    ) {
        self.endpoint_updates.set(self.endpoint_updates.get() + 1);
        let effects = {
            let mut registries = self.registries.borrow_mut();
            let Some(watch) = registries.get_mut(&registry) else {
                return;
            };
            watch.update(kind, instances, &mut self.backend_states.borrow_mut())
        };
        let pools = self.live_pools();
        let uses_registry =
            |pool: &RunningPool| pool.registry(self.default_registry.get()) == Some(registry);
        // Removal from a pool withdraws the instance's process in all pools, so relabeled instances
        // are removed from their old pools before any pool adds them.
        for pool in pools.iter().filter(|pool| uses_registry(pool)) {
            remove_relabeled(pool, &effects.relabeled);
        }
        for pool in &pools {
            match &pool.definition.source {
                BackendSource::Registry { select, .. } if uses_registry(pool) => {
                    let list = instances.iter().map(|i| deleted_unless_selected(i, select));
                    pool.engine.update_endpoints(kind, list.collect());
                }
                // The availability that a registry announces also applies to listed backends.
                BackendSource::List(backends)
                    if backends
                        .iter()
                        .any(|b| effects.announced.contains(&b.address)) =>
                {
                    self.update_listed_backends(pool);
                }
                _ => {}
            }
        }
    }

    /// Divides the slow-start budget of each backend among the pools that send to it.
    pub(super) fn share_slow_start_budgets(&self) {
        let pools = self.live_pools();
        let addresses = |pool: &Rc<RunningPool>| -> BTreeSet<SocketAddr> {
            pool.engine
                .available_targets()
                .iter()
                .map(|target| target.address)
                .collect()
        };
        let backends: Vec<BTreeSet<SocketAddr>> = pools.iter().map(addresses).collect();
        for (pool, sharing_pools) in pools.iter().zip(count_sharing_pools(&backends)) {
            pool.engine.share_slow_start_budget(sharing_pools);
        }
    }

    /// Changes the address of the default registry. Its whole endpoint list is requested, unless it
    /// is watched already.
    pub fn set_default_registry(self: &Rc<Self>, address: SocketAddr) {
        let previous = self.default_registry.replace(address);
        if previous == address || !self.registries.borrow().contains_key(&previous) {
            return;
        }
        match self.known_instances(address) {
            Some(instances) => self.update_instances(address, UpdateKind::Snapshot, &instances),
            None => self.watch_registry(address),
        }
        self.release_unused();
    }

    /// Stops watching the registries that no live pool takes its backends from.
    pub(super) fn release_unused_registries(&self) {
        let default_registry = self.default_registry.get();
        let pools = self.live_pools();
        let used: BTreeSet<SocketAddr> = pools
            .iter()
            .filter_map(|pool| pool.registry(default_registry))
            .collect();
        self.registries.borrow_mut().retain(|address, watch| {
            let is_used = used.contains(address);
            if !is_used {
                watch.task.abort();
                if let Some(activity_log) = &self.config.activity_log {
                    activity_log.endpoint_source_removed(*address);
                }
            }
            is_used
        });
    }

    /// Returns the nodes that registries announce, and withdrawn nodes that none announces.
    pub fn known_nodes(&self) -> Vec<Node> {
        let withdrawn: BTreeSet<SocketAddr> = self.backend_states.borrow().withdrawn().collect();
        let mut nodes = Vec::new();
        for (registry, watch) in &*self.registries.borrow() {
            let node = |instance: &Instance| {
                let address = instance.address?;
                Some(Node {
                    address,
                    registry: Some(*registry),
                    site: instance.site.clone(),
                    class: instance.class.clone(),
                    block: instance.block,
                    is_available: instance.health == InstanceHealth::Serving
                        && !withdrawn.contains(&address),
                })
            };
            nodes.extend(watch.instances.values().filter_map(node));
        }
        let announced: BTreeSet<SocketAddr> = nodes.iter().map(|node| node.address).collect();
        let unannounced = withdrawn.difference(&announced);
        nodes.extend(unannounced.map(|address| Node::withdrawn(*address)));
        nodes
    }
}

/// Removes relabeled instances that a pool no longer selects from its engine.
fn remove_relabeled(pool: &RunningPool, relabeled: &[RelabeledInstance]) {
    let BackendSource::Registry { select, .. } = &pool.definition.source else {
        return;
    };
    let leaving = relabeled.iter().filter(|instance| {
        is_selected(&instance.before, select) && !is_selected(&instance.after, select)
    });
    let removed: Vec<Instance> = leaving
        .map(|instance| Instance {
            health: InstanceHealth::Deleted,
            ..instance.after.clone()
        })
        .collect();
    if !removed.is_empty() {
        pool.engine.update_endpoints(UpdateKind::Delta, removed);
    }
}

/// Returns an instance as a pool's engine gets it: deleted if the pool does not select it.
fn deleted_unless_selected(instance: &Instance, select: &BTreeMap<String, String>) -> Instance {
    let health = match is_selected(instance, select) {
        true => instance.health,
        false => InstanceHealth::Deleted,
    };
    Instance {
        health,
        ..instance.clone()
    }
}

/// Returns the labels by which pools select instances: site, class and block.
fn labels(instance: &Instance) -> (&str, &str, u16) {
    (&instance.site, &instance.class, instance.block)
}

/// Returns whether an instance has all the label values that a pool selects.
pub(super) fn is_selected(instance: &Instance, select: &BTreeMap<String, String>) -> bool {
    select.iter().all(|(label, value)| match label.as_str() {
        "site" => instance.site == *value,
        "class" => instance.class == *value,
        _ => instance.block.to_string() == *value,
    })
}
