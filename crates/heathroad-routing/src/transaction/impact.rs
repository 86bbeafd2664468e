//! The impact of a change: the pools that it may affect.

use crate::condition::RouteCondition;
use crate::generation::Generation;
use crate::route::Route;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// The pools that a change affects.
pub(super) struct Impact {
    /// The pools whose definition or share of the requests changes.
    pub(super) affected_pools: BTreeSet<String>,
    /// For each pool, the pools whose requests it takes over.
    pub(super) predecessors: BTreeMap<String, Vec<String>>,
}

/// Determines the impact of a change from one generation to the next.
pub(super) fn assess(current: &Generation, next: &Generation) -> Impact {
    let differing = next.pools_differing_from(current);
    let mut impact = Impact {
        affected_pools: differing.map(str::to_string).collect(),
        predecessors: BTreeMap::new(),
    };
    let current_routes: HashMap<&RouteCondition, &Route> = index_by_condition(current);
    let mut kept_routes = 0;
    for route in &next.config.routes {
        let after = pool_names(next, route);
        match current_routes.get(&route.condition) {
            Some(old) => {
                kept_routes += 1;
                let before = pool_names(current, old);
                if before != after || weights(old) != weights(route) {
                    impact.add_moved_requests(&before, &after);
                }
            }
            // The requests of a new route come from less specific routes, so from any pool.
            None => impact.affected_pools.extend(after),
        }
    }
    if kept_routes < current.config.routes.len() {
        impact.add_removed_routes(current, next);
    }
    impact
}

impl Impact {
    /// Adds the pools of removed routes, whose requests may move to any remaining pool.
    fn add_removed_routes(&mut self, current: &Generation, next: &Generation) {
        let next_routes = next.config.routes.iter();
        let next_conditions: HashSet<_> = next_routes.map(|route| &route.condition).collect();
        for route in &current.config.routes {
            if !next_conditions.contains(&route.condition) {
                self.affected_pools.extend(pool_names(current, route));
            }
        }
    }

    fn add_moved_requests(&mut self, before: &[String], after: &[String]) {
        self.affected_pools
            .extend(before.iter().chain(after).cloned());
        for pool in after {
            let predecessors = self.predecessors.entry(pool.clone()).or_default();
            predecessors.extend_from_slice(before);
        }
    }
}

fn index_by_condition(generation: &Generation) -> HashMap<&RouteCondition, &Route> {
    let routes = generation.config.routes.iter();
    routes.map(|route| (&route.condition, route)).collect()
}

/// Returns the names of the pools that a route sends requests to.
fn pool_names(generation: &Generation, route: &Route) -> Vec<String> {
    let pools = &generation.config.pools;
    let destinations = route.destinations.iter().filter(|d| d.weight > 0.0);
    destinations.map(|d| pools[d.pool].name.clone()).collect()
}

fn weights(route: &Route) -> Vec<f64> {
    route.destinations.iter().map(|d| d.weight).collect()
}
