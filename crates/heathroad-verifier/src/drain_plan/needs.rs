//! Needs: the numbers of nodes that expectations require to remain while others drain.

use crate::expectations::{Expectation, Expectations, Quantity, Requirement};
use crate::failure_scenarios::{FailureDomain, FailureScenario, Loss, fewest_peers, worst_loss};
use crate::nodes::{Node, pool_nodes};
use crate::reachability::RouteRegions;
use crate::request_space::RequestSpace;
use crate::verify::{Environment, VerifyError};
use heathroad_routing::config::{DeduplicationScope, Idempotency};
use heathroad_routing::generation::Generation;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The number of nodes that must remain of a pool.
#[derive(Debug, Clone)]
pub(super) struct Need {
    /// The nodes of the pool that are available before the plan starts.
    pub(super) nodes: Vec<Node>,
    loss: Option<Loss>,
    /// The scope in which peers must remain. `None` counts nodes instead.
    pub(super) peer_scope: Option<DeduplicationScope>,
    min_remaining: f64,
    /// The name of the expectation.
    pub(super) expectation: String,
}

impl Need {
    /// Whether the need is met while some nodes drain.
    pub(super) fn is_met(&self, draining: &BTreeSet<SocketAddr>) -> bool {
        let nodes = self.nodes.iter();
        let remaining: Vec<&Node> = nodes
            .filter(|node| !draining.contains(&node.address))
            .collect();
        let count = match self.peer_scope {
            None => worst_loss(&remaining, self.loss).remaining,
            Some(scope) => {
                let worst = fewest_peers(&remaining, scope, self.loss);
                worst.map_or(0, |worst| worst.remaining)
            }
        };
        count as f64 >= self.min_remaining
    }

    /// Returns how many of the nodes may drain together, or `None` if that depends on which ones.
    pub(super) fn max_drained(&self) -> Option<usize> {
        if self.peer_scope.is_some() || !self.loses_single_nodes() {
            return None;
        }
        let lost = self.loss.map_or(0, |loss| loss.count);
        let min_remaining = self.min_remaining.ceil() as usize;
        Some(self.nodes.len().saturating_sub(lost + min_remaining))
    }

    /// Whether the loss to be tolerated is one of single nodes, if there is any.
    pub(super) fn loses_single_nodes(&self) -> bool {
        self.loss
            .is_none_or(|loss| loss.domain == FailureDomain::Node)
    }
}

/// A minimum that an expectation requires.
struct Minimum {
    counts_peers: bool,
    min_remaining: f64,
}

/// Returns the needs of all expectations, without duplicates.
pub(super) fn collect_needs(
    generation: &Generation,
    expectations: &Expectations,
    environment: &Environment,
) -> Result<Vec<Need>, VerifyError> {
    let scopes: Vec<_> = expectations.list.iter().map(|e| &e.scope).collect();
    let tenants = environment.tenants.as_deref();
    let space = RequestSpace::new(&generation.config, &scopes, tenants)?;
    let routes = RouteRegions::new(generation, &space);
    let present = FailureScenario::default();
    let mut needs: BTreeMap<String, Need> = BTreeMap::new();
    for expectation in &expectations.list {
        let minima = minima(expectation);
        if minima.is_empty() {
            continue;
        }
        let reached = reached_pools(generation, &space, &routes, expectation)?;
        let named = expectation
            .scenarios
            .iter()
            .map(|index| &expectations.scenarios[*index]);
        for scenario in [&present].into_iter().chain(named) {
            for ((pool_index, _), idempotency) in &reached {
                let pool = &generation.config.pools[*pool_index];
                let registry = environment.default_registry;
                let Some(mut nodes) = pool_nodes(pool, &environment.nodes, registry) else {
                    continue;
                };
                nodes.retain(|node| scenario.is_available(node));
                for minimum in &minima {
                    let Some(need) = need(expectation, minimum, &nodes, *idempotency) else {
                        continue;
                    };
                    needs
                        .entry(need_key(*pool_index, scenario, &need))
                        .or_insert(need);
                }
            }
        }
    }
    Ok(needs.into_values().collect())
}

/// Returns a key that is equal for equivalent needs.
fn need_key(pool: usize, scenario: &FailureScenario, need: &Need) -> String {
    let Need {
        loss,
        peer_scope,
        min_remaining,
        ..
    } = need;
    let counts_peers = peer_scope.is_some();
    let name = &scenario.name;
    format!("{pool} {name:?} {loss:?} {peer_scope:?} {min_remaining} {counts_peers}")
}

fn minima(expectation: &Expectation) -> Vec<Minimum> {
    let minimum = |counts_peers, min_remaining| {
        Some(Minimum {
            counts_peers,
            min_remaining,
        })
    };
    let requirements = expectation.requirements.iter();
    let minima = requirements.filter_map(|requirement| match requirement {
        Requirement::Served(true) => minimum(false, 1.0),
        Requirement::Quantity(quantity, bounds) if bounds.at_least > 0.0 => match quantity {
            Quantity::Nodes => minimum(false, bounds.at_least),
            Quantity::Peers => minimum(true, bounds.at_least),
            _ => None,
        },
        _ => None,
    });
    minima.collect()
}

/// Returns the pools and classes that requests of an expectation reach, with the idempotency of the
/// class in the pool.
fn reached_pools<'s>(
    generation: &Generation,
    space: &'s RequestSpace,
    routes: &'s RouteRegions,
    expectation: &Expectation,
) -> Result<BTreeMap<(usize, &'s str), Idempotency>, VerifyError> {
    let mut reached = BTreeMap::new();
    for divided in routes.divide_by_class(space, &expectation.scope)? {
        let Some(route) = divided.requests.route else {
            continue;
        };
        let destinations = generation.config.routes[route].destinations.iter();
        for destination in destinations.filter(|d| d.weight > 0.0) {
            let pool = &generation.config.pools[destination.pool];
            if let Some(class) = pool.classes.iter().find(|c| c.name == divided.class) {
                reached.insert((destination.pool, divided.class), class.idempotency);
            }
        }
    }
    Ok(reached)
}

/// Returns the need of a minimum, or `None` if it counts peers and the class is not keyed.
fn need(
    expectation: &Expectation,
    minimum: &Minimum,
    nodes: &[Node],
    idempotency: Idempotency,
) -> Option<Need> {
    let peer_scope = match (minimum.counts_peers, idempotency) {
        (false, _) => None,
        (true, Idempotency::Keyed { scope, .. }) => Some(scope),
        (true, _) => return None,
    };
    Some(Need {
        nodes: nodes.to_vec(),
        loss: expectation.loss,
        peer_scope,
        min_remaining: minimum.min_remaining,
        expectation: expectation.name.clone(),
    })
}
