//! A route: the requests that it matches, and the pools that they go to.

use crate::condition::RouteCondition;
use crate::traffic_split::WeightedPool;

/// A route of a configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The unique name of the route.
    pub name: String,
    /// The requests that the route matches.
    pub condition: RouteCondition,
    /// The pools that these go to. A route without a split has one.
    pub destinations: Vec<WeightedPool>,
    /// The line of the route in the configuration file.
    pub line: usize,
}
