//! The routing table, which finds the most specific route that matches a request.
//!
//! Routes are grouped by the shape of their conditions. Each shape costs one hash lookup; shapes
//! are tried in descending order of specificity. Two routes conflict if some request matches both
//! and neither is more specific; [`find_conflicts`] detects this when a configuration is checked.

use crate::condition::{ConditionShape, RequestAttributes};
use crate::route::Route;
use crate::traffic_split;
use std::collections::{BTreeSet, HashMap};

/// The maximum number of shapes, each of which costs every request a lookup.
pub const MAX_SHAPES: usize = 128;

/// Two routes that match the same request, neither of which is more specific.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteConflict {
    /// The index of the first route.
    pub first: usize,
    /// The index of the second route, which follows the first one in the file.
    pub second: usize,
    /// Whether both match exactly the same requests, rather than only some in common.
    pub identical: bool,
}

impl RouteConflict {
    /// Describes the conflict as an error of the second route. `first` is the first route.
    pub fn describe(&self, first: &Route) -> String {
        let Route { name, line, .. } = first;
        if self.identical {
            format!(
                "matches the same requests as route {name:?} on line {line}, so it is unreachable"
            )
        } else {
            format!(
                "some requests match both it and route {name:?} on line {line}, and neither is more specific"
            )
        }
    }
}

/// The error of a table with more than [`MAX_SHAPES`] shapes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{count} condition shapes; expected at most {MAX_SHAPES}")]
pub struct TooManyShapes {
    /// The number of shapes.
    pub count: usize,
}

/// Finds conflicts between routes, at most one per second route.
///
/// Only the first [`MAX_SHAPES`] shapes are compared; [`RouteTable::new`] rejects more.
pub fn find_conflicts(routes: &[Route]) -> Vec<RouteConflict> {
    let mut routes_by_shape: HashMap<ConditionShape, Vec<usize>> = HashMap::new();
    for (index, route) in routes.iter().enumerate() {
        let shape = route.condition.shape();
        routes_by_shape.entry(shape).or_default().push(index);
    }
    let mut shapes: Vec<(&ConditionShape, &Vec<usize>)> = routes_by_shape.iter().collect();
    shapes.sort();
    let mut conflicts = Vec::new();
    let mut reported = BTreeSet::new();
    for (n, (shape, indices)) in shapes.iter().enumerate().take(MAX_SHAPES) {
        for (other_shape, other_indices) in shapes.iter().skip(n).take(MAX_SHAPES) {
            let common = shape.intersection(other_shape);
            let is_nested = common == **shape || common == **other_shape;
            if is_nested && shape != other_shape {
                // The route that compares fewer attributes is less specific.
                continue;
            }
            for (first, second) in find_common_keys(routes, &common, indices, other_indices) {
                if reported.insert(second) {
                    conflicts.push(RouteConflict {
                        first,
                        second,
                        identical: shape == other_shape,
                    });
                }
            }
        }
    }
    conflicts.sort_by_key(|c| c.second);
    conflicts
}

/// Finds pairs of routes that have the same key in a shape. The lower index comes first.
fn find_common_keys(
    routes: &[Route],
    shape: &ConditionShape,
    indices: &[usize],
    other_indices: &[usize],
) -> Vec<(usize, usize)> {
    let mut indices_by_key: HashMap<u64, Vec<usize>> = HashMap::new();
    for index in indices {
        if let Some(key) = routes[*index].condition.key_in(shape) {
            indices_by_key.entry(key).or_default().push(*index);
        }
    }
    let mut pairs = Vec::new();
    for other in other_indices {
        let key = routes[*other].condition.key_in(shape);
        let same_key = key.and_then(|key| indices_by_key.get(&key));
        if let Some(index) = same_key.and_then(|list| list.iter().find(|i| *i != other)) {
            pairs.push((*index.min(other), *index.max(other)));
        }
    }
    pairs
}

/// The routes of a configuration, indexed by the shapes of their conditions.
#[derive(Debug)]
pub struct RouteTable {
    /// The shapes by descending specificity, with the indices of their routes by key.
    shapes: Vec<(ConditionShape, HashMap<u64, Vec<u32>>)>,
    routes: Vec<Route>,
    pool_names: Vec<String>,
}

impl RouteTable {
    /// Indexes routes without conflicts. `pool_names` are the names of the pools to which their
    /// destinations refer.
    ///
    /// # Errors
    ///
    /// Fails if the routes have more than [`MAX_SHAPES`] shapes.
    pub fn new(routes: Vec<Route>, pool_names: Vec<String>) -> Result<RouteTable, TooManyShapes> {
        let mut keys_by_shape: HashMap<ConditionShape, HashMap<u64, Vec<u32>>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            let shape = route.condition.shape();
            if let Some(key) = route.condition.key_in(&shape) {
                let keys = keys_by_shape.entry(shape).or_default();
                keys.entry(key).or_default().push(index as u32);
            }
        }
        if keys_by_shape.len() > MAX_SHAPES {
            return Err(TooManyShapes {
                count: keys_by_shape.len(),
            });
        }
        let mut shapes: Vec<_> = keys_by_shape.into_iter().collect();
        shapes.sort_by(|(a, _), (b, _)| {
            let by_specificity = b.specificity().cmp(&a.specificity());
            by_specificity.then_with(|| a.cmp(b))
        });
        Ok(RouteTable {
            shapes,
            routes,
            pool_names,
        })
    }

    /// Finds the most specific route that matches a request.
    pub fn find_route(&self, request: &RequestAttributes<'_>) -> Option<&Route> {
        self.shapes.iter().find_map(|(shape, routes_by_key)| {
            let indices = routes_by_key.get(&shape.key_of(request)?)?;
            let mut candidates = indices.iter().map(|i| &self.routes[*i as usize]);
            // Keys are hashes, so a candidate may not match the request.
            candidates.find(|route| route.condition.matches(request))
        })
    }

    /// Returns, for each route, the index of the most specific other route that matches all of its
    /// requests.
    ///
    /// The routes of a checked configuration are nested or disjoint, since any others conflict.
    pub fn enclosing_routes(&self) -> Vec<Option<usize>> {
        self.routes
            .iter()
            .map(|route| self.enclosing_route(route))
            .collect()
    }

    fn enclosing_route(&self, route: &Route) -> Option<usize> {
        let own_shape = route.condition.shape();
        let mut less_specific = self
            .shapes
            .iter()
            .filter(|(shape, _)| *shape != own_shape && shape.intersection(&own_shape) == *shape);
        less_specific.find_map(|(shape, routes_by_key)| {
            let indices = routes_by_key.get(&route.condition.key_in(shape)?)?;
            let encloses = |index: &&u32| {
                let other = &self.routes[**index as usize].condition;
                route.condition.with_minimal_request(|r| other.matches(r))
            };
            indices.iter().find(encloses).map(|index| *index as usize)
        })
    }

    /// Selects the destination pool of a route for a key, and returns the index of the pool.
    /// Requests with the same key go to the same pool.
    pub fn select_pool(&self, route: &Route, key: u64) -> Option<usize> {
        let selected = traffic_split::select_pool(&route.destinations, &self.pool_names, key);
        selected.map(|destination| destination.pool)
    }
}
