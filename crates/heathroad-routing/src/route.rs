//! A route: the requests that it matches and the pools that serve them.

use crate::condition::RouteCondition;
use crate::traffic_split::WeightedPool;

/// A route of a configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The unique name of the route.
    pub name: String,
    /// The requests that the route matches.
    pub condition: RouteCondition,
    /// The pools that serve these requests: exactly one without a traffic split.
    pub destinations: Vec<WeightedPool>,
    /// The line of the route in the configuration file.
    pub line: usize,
}
