//! Drain plans: groups nodes into batches that may drain together without violating an expectation,
//! in as few batches as possible.
//!
//! Batches are found by first fit and improved by a search. A plan counts as minimal only if this
//! is proven.

mod needs;
mod search;
mod units;

use crate::expectations::Expectations;
use crate::nodes::Node;
use crate::verify::{Environment, VerifyError, verify};
use heathroad_routing::config::DeduplicationScope;
use heathroad_routing::generation::Generation;
use needs::{Need, collect_needs};
use search::Search;
use serde::Serialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use units::{DrainUnits, divide_into_units};

/// The maximum number of nodes of a plan.
pub const MAX_NODES: usize = 10_000;
/// The maximum number of units that are searched. With more, the plan is that of first fit.
const MAX_SEARCHED_UNITS: usize = 512;

/// Nodes that drain together.
pub(crate) type Batch = BTreeSet<SocketAddr>;

/// A plan of drains.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DrainPlan {
    /// The nodes to drain together, batch by batch.
    pub batches: Vec<Vec<SocketAddr>>,
    /// Whether the number of batches is proven to be minimal.
    #[serde(rename = "proven")]
    pub is_minimal: bool,
    /// Nodes that can't drain.
    pub stuck: Vec<StuckNode>,
}

/// A node that can't drain. The serialized form is a list of both fields.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(into = "(SocketAddr, String)")]
pub struct StuckNode {
    /// The address of the node.
    pub address: SocketAddr,
    /// The name of an expectation that would fail.
    pub expectation: String,
}

impl From<StuckNode> for (SocketAddr, String) {
    fn from(node: StuckNode) -> Self {
        (node.address, node.expectation)
    }
}

/// Why drains can't be planned at all.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum PlanError {
    /// There are too many nodes to drain.
    #[error("{count} nodes to drain; expected {MAX_NODES} at most")]
    TooManyNodes {
        /// The number of nodes.
        count: usize,
    },
    /// Expectations can't be verified.
    #[error(transparent)]
    Verify(#[from] VerifyError),
    /// Expectations fail before any node drains.
    #[error("before anything drains:\n{}", failures.join("\n"))]
    AlreadyFailing {
        /// A line for each expectation that fails.
        failures: Vec<String>,
    },
    /// A batch of the plan violates an expectation.
    #[error("a planned batch violates an expectation: {failure}")]
    InvalidBatch {
        /// The line of the expectation.
        failure: String,
    },
}

/// Plans the drains of some nodes, in batches of at most `max_batch_size`.
///
/// # Errors
///
/// Fails if the expectations can't be verified or fail before anything drains.
pub fn plan_drains(
    generation: &Generation,
    expectations: &Expectations,
    environment: &Environment,
    draining: &BTreeSet<SocketAddr>,
    max_batch_size: usize,
) -> Result<DrainPlan, PlanError> {
    if draining.len() > MAX_NODES {
        let count = draining.len();
        return Err(PlanError::TooManyNodes { count });
    }
    let failures = verify(generation, expectations, environment)?.failures();
    if !failures.is_empty() {
        return Err(PlanError::AlreadyFailing { failures });
    }
    let needs = collect_needs(generation, expectations, environment)?;
    let max_batch_size = max_batch_size.max(1);
    let DrainUnits { units, stuck } = divide_into_units(&needs, draining, max_batch_size);
    let (batches, is_minimal) = find_batches(&needs, &units, max_batch_size);
    for batch in &batches {
        check_batch(generation, expectations, environment, batch)?;
    }
    Ok(DrainPlan {
        batches: batches
            .into_iter()
            .map(|batch| batch.into_iter().collect())
            .collect(),
        is_minimal,
        stuck,
    })
}

/// Returns batches of all units, and whether their number is proven to be minimal.
fn find_batches(needs: &[Need], units: &[Batch], max_batch_size: usize) -> (Vec<Batch>, bool) {
    let mut search = Search::new(needs, units, max_batch_size);
    let mut best = search.first_fit();
    let min_count = min_batch_count(needs, units, max_batch_size);
    if units.len() > MAX_SEARCHED_UNITS {
        let is_minimal = best.len() <= min_count;
        return (best, is_minimal);
    }
    let is_exhaustive = needs.iter().all(is_monotonic);
    let mut is_minimal = true;
    for count in min_count..best.len() {
        match search.find_batches(count) {
            search::Outcome::Found(batches) => {
                best = batches;
                break;
            }
            search::Outcome::Impossible => is_minimal &= is_exhaustive,
            search::Outcome::GaveUp => is_minimal = false,
        }
    }
    (best, is_minimal)
}

/// Whether an unmet need stays unmet when more nodes drain, so that the search may discard all
/// extensions of a batch.
///
/// This is not so for peers within a site or block: once the whole site or block has drained, no
/// node of it needs peers.
fn is_monotonic(need: &Need) -> bool {
    match need.peer_scope {
        None => true,
        Some(scope) => scope == DeduplicationScope::All && need.loses_single_nodes(),
    }
}

/// Returns a lower bound of the number of batches, by counting nodes.
fn min_batch_count(needs: &[Need], units: &[Batch], max_batch_size: usize) -> usize {
    let draining_of = |need: &Need| {
        let nodes = need.nodes.iter();
        nodes
            .filter(|node| units.iter().any(|unit| unit.contains(&node.address)))
            .count()
    };
    let by_need = needs.iter().map(|need| match need.max_drained() {
        Some(max_drained) if max_drained > 0 => draining_of(need).div_ceil(max_drained),
        _ => 0,
    });
    let node_count: usize = units.iter().map(BTreeSet::len).sum();
    by_need
        .chain([node_count.div_ceil(max_batch_size)])
        .max()
        .unwrap_or(0)
}

/// Verifies all expectations while a batch drains, as a cross-check of the needs.
fn check_batch(
    generation: &Generation,
    expectations: &Expectations,
    environment: &Environment,
    batch: &Batch,
) -> Result<(), PlanError> {
    let mut assumed = environment.clone();
    assumed.nodes.retain(|node| !batch.contains(&node.address));
    for address in batch {
        let known = environment
            .nodes
            .iter()
            .find(|node| node.address == *address);
        let node = known.cloned().unwrap_or_else(|| Node::withdrawn(*address));
        assumed.nodes.push(Node {
            is_available: false,
            ..node
        });
    }
    let failures = verify(generation, expectations, &assumed)?.failures();
    match failures.into_iter().next() {
        Some(failure) => Err(PlanError::InvalidBatch { failure }),
        None => Ok(()),
    }
}
