//! Backends of routed pools: the lists of the configuration, and the endpoint lists of registries.

use super::pool_run::PoolRun;
use super::routed_pools::RoutedPools;
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

/// A registry that pools take their backends from.
pub(super) struct RegistryWatch {
    /// The endpoints of the list, by name.
    endpoints: BTreeMap<String, Instance>,
    task: AbortHandle,
}

/// An endpoint whose labels an update changes.
struct RelabeledInstance {
    before: Instance,
    after: Instance,
}

/// What an update of an endpoint list changes.
#[derive(Default)]
struct UpdateEffects {
    /// The backends whose state was announced.
    announced: BTreeSet<SocketAddr>,
    relabeled: Vec<RelabeledInstance>,
}

impl UpdateEffects {
    fn announce(
        &mut self,
        states: &mut BackendStates,
        endpoint: &Instance,
        address: Option<SocketAddr>,
    ) {
        let accepts_requests = endpoint.health == InstanceHealth::Serving;
        self.announce_as(states, endpoint, address, accepts_requests);
    }

    fn announce_removed(&mut self, states: &mut BackendStates, endpoint: &Instance) {
        self.announce_as(states, endpoint, endpoint.address, false);
    }

    fn announce_as(
        &mut self,
        states: &mut BackendStates,
        endpoint: &Instance,
        address: Option<SocketAddr>,
        accepts_requests: bool,
    ) {
        let Some(address) = address else { return };
        let process_start = endpoint.started_ms.max(0.0) as u64;
        states.record_announcement(address, process_start, accepts_requests);
        if accepts_requests {
            states.restore(address, process_start);
        }
        self.announced.insert(address);
    }
}

impl RegistryWatch {
    /// Takes an update of the endpoint list over.
    fn update(
        &mut self,
        kind: UpdateKind,
        endpoints: &[Instance],
        states: &mut BackendStates,
    ) -> UpdateEffects {
        let mut effects = UpdateEffects::default();
        if kind != UpdateKind::Delta {
            self.remove_unnamed(endpoints, states, &mut effects);
        }
        for endpoint in endpoints {
            let known = self.endpoints.get(&endpoint.name);
            if let Some(known) = known.filter(|known| labels(known) != labels(endpoint)) {
                effects.relabeled.push(RelabeledInstance {
                    before: known.clone(),
                    after: endpoint.clone(),
                });
            }
            // A change need not repeat the address.
            let known_address = known
                .filter(|_| kind == UpdateKind::Delta)
                .and_then(|k| k.address);
            effects.announce(states, endpoint, endpoint.address.or(known_address));
            if endpoint.health == InstanceHealth::Deleted {
                self.endpoints.remove(&endpoint.name);
            } else {
                self.endpoints
                    .insert(endpoint.name.clone(), endpoint.clone());
            }
        }
        effects
    }

    fn remove_unnamed(
        &mut self,
        endpoints: &[Instance],
        states: &mut BackendStates,
        effects: &mut UpdateEffects,
    ) {
        let names: BTreeSet<&String> = endpoints.iter().map(|endpoint| &endpoint.name).collect();
        self.endpoints.retain(|name, endpoint| {
            let is_named = names.contains(name);
            if !is_named {
                effects.announce_removed(states, endpoint);
            }
            is_named
        });
    }
}

impl RoutedPools {
    /// Tells the engine of a pool its listed backends, as available as they are known to be.
    pub(super) fn announce_listed_backends(&self, run: &PoolRun) {
        let BackendSource::List(backends) = &run.pool.source else {
            return;
        };
        let settings = &self.config.settings;
        let own_site = settings.site.zones.get(usize::from(settings.balancer.zone));
        let own_site = own_site.cloned().unwrap_or_default();
        let states = self.backend_states.borrow();
        let endpoint = |backend: &ListedBackend| Instance {
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
        run.engine.update_endpoints(
            UpdateKind::Snapshot,
            backends.iter().map(endpoint).collect(),
        );
    }

    /// Returns the endpoints of a registry that is watched.
    pub(super) fn known_endpoints(&self, registry: SocketAddr) -> Option<Vec<Instance>> {
        let registries = self.registries.borrow();
        let watch = registries.get(&registry)?;
        Some(watch.endpoints.values().cloned().collect())
    }

    /// Begins to watch a registry.
    pub(super) fn watch_registry(self: &Rc<Self>, address: SocketAddr) {
        let pools = Rc::downgrade(self);
        let on_event = move |event| {
            if let Some(pools) = pools.upgrade() {
                pools.handle_registry_event(address, event);
            }
        };
        // The registry pushes its list, so that no poll is ever requested.
        let (_, wanted) = watch::channel(true);
        let grace = millis(self.config.settings.site.drain_grace);
        let task = spawn_local(discovery::follow(on_event, address, false, grace, wanted));
        let watch = RegistryWatch {
            endpoints: BTreeMap::new(),
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
        self.update_endpoints(registry, update.kind, &update.instances);
    }

    /// Passes an endpoint list of a registry, or a change of it, on to the pools.
    fn update_endpoints(
        self: &Rc<Self>,
        registry: SocketAddr,
        kind: UpdateKind,
        endpoints: &[Instance],
    ) {
        self.endpoint_updates.set(self.endpoint_updates.get() + 1);
        let effects = {
            let mut registries = self.registries.borrow_mut();
            let Some(watch) = registries.get_mut(&registry) else {
                return;
            };
            watch.update(kind, endpoints, &mut self.backend_states.borrow_mut())
        };
        let runs = self.present_runs();
        let is_watching =
            |run: &PoolRun| run.registry(self.default_registry.get()) == Some(registry);
        // A relabeled endpoint first leaves its old pool, which withdraws its process for all
        // pools, and only then joins the new one.
        for run in runs.iter().filter(|run| is_watching(run)) {
            remove_relabeled(run, &effects.relabeled);
        }
        for run in &runs {
            match &run.pool.source {
                BackendSource::Registry { select, .. } if is_watching(run) => {
                    let list = endpoints.iter().map(|e| deselected(e, select));
                    run.engine.update_endpoints(kind, list.collect());
                }
                // A backend that a registry announces is the same one where a list names it.
                BackendSource::List(backends)
                    if backends
                        .iter()
                        .any(|b| effects.announced.contains(&b.address)) =>
                {
                    self.announce_listed_backends(run);
                }
                _ => {}
            }
        }
    }

    /// Divides the warm-up budget of a backend among all runs that send to it.
    pub(super) fn share_warmup_budgets(&self) {
        let runs = self.present_runs();
        let addresses = |run: &Rc<PoolRun>| -> BTreeSet<SocketAddr> {
            run.engine
                .available_targets()
                .iter()
                .map(|target| target.address)
                .collect()
        };
        let pools: Vec<BTreeSet<SocketAddr>> = runs.iter().map(addresses).collect();
        for (run, sharing_pools) in runs.iter().zip(count_sharing_pools(&pools)) {
            run.engine.share_slow_start_budget(sharing_pools);
        }
    }

    /// Changes the address of the default registry. The whole list is requested there.
    pub fn set_default_registry(self: &Rc<Self>, address: SocketAddr) {
        let previous = self.default_registry.replace(address);
        if previous == address || !self.registries.borrow().contains_key(&previous) {
            return;
        }
        match self.known_endpoints(address) {
            // Some pool watches it already.
            Some(endpoints) => self.update_endpoints(address, UpdateKind::Snapshot, &endpoints),
            None => self.watch_registry(address),
        }
        self.release_unused();
    }

    /// Ends the watches of registries that no pool takes its backends from.
    pub(super) fn release_unused_registries(&self) {
        let default_registry = self.default_registry.get();
        let runs = self.present_runs();
        let used: BTreeSet<SocketAddr> = runs
            .iter()
            .filter_map(|run| run.registry(default_registry))
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

    /// Returns the nodes that registries announce, and the withdrawn ones that only lists name.
    pub fn known_nodes(&self) -> Vec<Node> {
        let withdrawn: BTreeSet<SocketAddr> = self.backend_states.borrow().withdrawn().collect();
        let mut nodes = Vec::new();
        for (registry, watch) in &*self.registries.borrow() {
            let node = |endpoint: &Instance| {
                let address = endpoint.address?;
                Some(Node {
                    address,
                    registry: Some(*registry),
                    site: endpoint.site.clone(),
                    class: endpoint.class.clone(),
                    block: endpoint.block,
                    is_available: endpoint.health == InstanceHealth::Serving
                        && !withdrawn.contains(&address),
                })
            };
            nodes.extend(watch.endpoints.values().filter_map(node));
        }
        let announced: BTreeSet<SocketAddr> = nodes.iter().map(|node| node.address).collect();
        let only_listed = withdrawn.difference(&announced);
        nodes.extend(only_listed.map(|address| Node::withdrawn(*address)));
        nodes
    }
}

/// Removes the endpoints from a run that its pool does not select any more.
fn remove_relabeled(run: &PoolRun, relabeled: &[RelabeledInstance]) {
    let BackendSource::Registry { select, .. } = &run.pool.source else {
        return;
    };
    let leaving = relabeled.iter().filter(|endpoint| {
        is_selected(&endpoint.before, select) && !is_selected(&endpoint.after, select)
    });
    let removed: Vec<Instance> = leaving
        .map(|endpoint| Instance {
            health: InstanceHealth::Deleted,
            ..endpoint.after.clone()
        })
        .collect();
    if !removed.is_empty() {
        run.engine.update_endpoints(UpdateKind::Delta, removed);
    }
}

/// Returns an endpoint as a pool sees it: deleted if the pool does not select it.
fn deselected(endpoint: &Instance, select: &BTreeMap<String, String>) -> Instance {
    let health = match is_selected(endpoint, select) {
        true => endpoint.health,
        false => InstanceHealth::Deleted,
    };
    Instance {
        health,
        ..endpoint.clone()
    }
}

/// Returns the labels by which a pool can select an endpoint.
fn labels(endpoint: &Instance) -> (&str, &str, u16) {
    (&endpoint.site, &endpoint.class, endpoint.block)
}

/// Whether an endpoint has the labels that a pool selects.
pub(super) fn is_selected(endpoint: &Instance, select: &BTreeMap<String, String>) -> bool {
    select.iter().all(|(label, wanted)| match label.as_str() {
        "site" => endpoint.site == *wanted,
        "class" => endpoint.class == *wanted,
        _ => endpoint.block.to_string() == *wanted,
    })
}
