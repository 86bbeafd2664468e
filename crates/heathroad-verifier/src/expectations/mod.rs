//! Expectations: requirements on requests, and the failure scenarios in which they must hold.
//!
//! They are in a file separate from the routes, so that either can change alone. Verification
//! reports names that the routes do not define.

mod parser;

pub use parser::parse;

use crate::failure_scenarios::{FailureScenario, Loss};
use crate::nodes::Node;
use heathroad_routing::condition::RouteCondition;
use heathroad_routing::config::DeduplicationScope;
use std::net::SocketAddr;

/// The maximum number of expectations, of scenarios, and of nodes in a file.
pub const MAX_ENTRIES: usize = 10_000;

/// The content of an expectations file.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Expectations {
    /// The name of the file, as given by the caller.
    pub file: String,
    /// The nodes that registries are assumed to announce, unless a running daemon is queried.
    pub nodes: Vec<Node>,
    /// The scenarios that expectations refer to.
    pub scenarios: Vec<FailureScenario>,
    /// The expectations.
    pub list: Vec<Expectation>,
}

/// Requirements on some requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Expectation {
    /// The unique name.
    pub name: String,
    /// The line in the file.
    pub line: usize,
    /// The requests that the requirements are about.
    pub scope: RouteCondition,
    /// Whether the expectation holds if there are no such requests.
    pub may_be_empty: bool,
    /// The indices of the scenarios in which the requirements must hold as well.
    pub scenarios: Vec<usize>,
    /// A loss of nodes that must be tolerated in addition.
    pub loss: Option<Loss>,
    /// The requirements, which must all hold.
    pub requirements: Vec<Requirement>,
}

/// A requirement on requests.
#[derive(Debug, Clone, PartialEq)]
pub enum Requirement {
    /// They reach no other targets.
    Only(Targets),
    /// They reach none of the targets.
    Never(Targets),
    /// Each of them goes to a pool that serves its class, or none of them does.
    Served(bool),
    /// A request that may have run is retried at most in this way.
    Retries(RetryLimit),
    /// They are deduplicated by key in this scope, in every pool.
    Deduplicated(DeduplicationScope),
    /// A pool gets a part of the requests of each route within bounds.
    PoolPart {
        /// The name of the pool.
        pool: String,
        /// The bounds, from 0 to 1.
        bounds: Bounds,
    },
    /// A quantity is within bounds.
    Quantity(Quantity, Bounds),
}

/// When a request that may have run may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryLimit {
    /// It is never retried.
    Never,
    /// It is retried only where backends deduplicate requests by key.
    Keyed,
}

/// A quantity that can be bounded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Quantity {
    /// The available nodes of a pool.
    Nodes,
    /// The other nodes that share deduplication with the node that may have run a request.
    Peers,
    /// The attempts of a request that the daemon's settings allow.
    Attempts,
    /// The requests in flight that a pool may have.
    OpenRequests,
    /// The latency objective in milliseconds.
    LatencyObjective,
    /// The maximum duration of a request in milliseconds.
    Deadline,
    /// The priority weight of a request.
    PriorityWeight,
    /// How long backends remember an idempotency key, in milliseconds.
    DeduplicationWindow,
}

/// The quantities with their keys in the file.
pub const QUANTITIES: [(&str, Quantity); 8] = [
    ("nodes", Quantity::Nodes),
    ("mates", Quantity::Peers),
    ("attempts", Quantity::Attempts),
    ("open", Quantity::OpenRequests),
    ("aim_ms", Quantity::LatencyObjective),
    ("deadline_ms", Quantity::Deadline),
    ("worth", Quantity::PriorityWeight),
    ("window_ms", Quantity::DeduplicationWindow),
];

impl Quantity {
    /// Returns the key of the quantity in the file.
    pub fn key(self) -> &'static str {
        let entry = QUANTITIES.iter().find(|(_, quantity)| *quantity == self);
        entry.map_or("", |(key, _)| key)
    }
}

/// Bounds of a quantity, both included.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// The lower bound; 0 is none.
    pub at_least: f64,
    /// The upper bound; [`f64::MAX`] is none.
    pub at_most: f64,
}

impl Bounds {
    /// Whether a value is within the bounds.
    pub fn contains(&self, value: f64) -> bool {
        value >= self.at_least && value <= self.at_most
    }

    /// Describes the bounds in a message.
    pub fn describe(&self) -> String {
        match (self.at_least > 0.0, self.at_most < f64::MAX) {
            (true, true) => format!("from {} to {}", self.at_least, self.at_most),
            (true, false) => format!("{} at the least", self.at_least),
            _ => format!("{} at the most", self.at_most),
        }
    }
}

/// Pools and nodes that requests may reach. A kind of target without entries restricts nothing.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Targets {
    /// Pools by name.
    pub pools: Vec<String>,
    /// Nodes by address.
    pub nodes: Vec<SocketAddr>,
    /// Sites of nodes.
    pub sites: Vec<String>,
    /// Blocks of nodes.
    pub blocks: Vec<u16>,
    /// Kinds of machines: the label `class` of a registry's hosts.
    pub machine_classes: Vec<String>,
}

impl Targets {
    /// Describes the targets in a message.
    pub fn describe(&self) -> String {
        let addresses: Vec<String> = self.nodes.iter().map(SocketAddr::to_string).collect();
        let kinds = [
            ("pools", self.pools.clone()),
            ("nodes", addresses),
            ("sites", self.sites.clone()),
            ("blocks", self.block_labels()),
            ("kinds", self.machine_classes.clone()),
        ];
        let named = kinds.into_iter().filter(|(_, entries)| !entries.is_empty());
        let parts: Vec<String> = named
            .map(|(kind, entries)| format!("{kind} {}", entries.join(", ")))
            .collect();
        parts.join("; ")
    }

    /// Returns the blocks as label values of a registry's hosts.
    pub(crate) fn block_labels(&self) -> Vec<String> {
        self.blocks.iter().map(u16::to_string).collect()
    }
}
