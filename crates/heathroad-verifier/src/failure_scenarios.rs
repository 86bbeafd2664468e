//! Failure scenarios: nodes that are assumed to be unavailable, and the worst-case loss of further
//! nodes.

use crate::nodes::Node;
use heathroad_routing::config::DeduplicationScope;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Nodes that are assumed to be unavailable, in addition to those that currently are.
///
/// The default is the scenario in which nothing else fails.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FailureScenario {
    /// The unique name.
    pub name: String,
    /// Nodes that drain or are gone.
    pub nodes: BTreeSet<SocketAddr>,
    /// Sites that are gone.
    pub sites: BTreeSet<String>,
    /// Blocks that are gone.
    pub blocks: BTreeSet<u16>,
}

impl FailureScenario {
    /// Whether nothing is assumed to be unavailable.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty() && self.sites.is_empty() && self.blocks.is_empty()
    }

    /// Whether a node takes new requests in this scenario.
    pub fn is_available(&self, node: &Node) -> bool {
        node.is_available
            && !self.nodes.contains(&node.address)
            && !self.sites.contains(&node.site)
            && !self.blocks.contains(&node.block)
    }
}

/// A set of nodes that fail together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureDomain {
    /// A single node.
    Node,
    /// All nodes of a site.
    Site,
    /// All nodes of a block.
    Block,
}

impl FailureDomain {
    /// Returns the name of the domain that a node is in.
    fn name_of(self, node: &Node) -> String {
        match self {
            FailureDomain::Node => node.address.to_string(),
            FailureDomain::Site => format!("site {}", node.site),
            FailureDomain::Block => format!("block {}", node.block),
        }
    }
}

/// A loss of any `count` failure domains of one kind at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Loss {
    /// The kind of domain.
    pub domain: FailureDomain,
    /// The number of domains.
    pub count: usize,
}

/// The worst case of a loss.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorstCase {
    /// The number of nodes that remain.
    pub remaining: usize,
    /// The names of the domains that are lost.
    pub lost: Vec<String>,
}

/// Returns the worst case of a loss among some nodes. As domains do not overlap, the largest ones
/// are lost.
pub fn worst_loss(nodes: &[&Node], loss: Option<Loss>) -> WorstCase {
    let Some(loss) = loss else {
        return WorstCase {
            remaining: nodes.len(),
            lost: Vec::new(),
        };
    };
    let mut sizes: BTreeMap<String, usize> = BTreeMap::new();
    for node in nodes {
        *sizes.entry(loss.domain.name_of(node)).or_default() += 1;
    }
    let mut domains: Vec<(String, usize)> = sizes.into_iter().collect();
    domains.sort_by(|(a, a_size), (b, b_size)| b_size.cmp(a_size).then_with(|| a.cmp(b)));
    domains.truncate(loss.count);
    let lost_nodes: usize = domains.iter().map(|(_, size)| size).sum();
    WorstCase {
        remaining: nodes.len() - lost_nodes,
        lost: domains.into_iter().map(|(name, _)| name).collect(),
    }
}

/// Returns the smallest number of peers that any node has in its deduplication scope in the worst
/// case of a loss. A request that a node may have run can be retried on its peers. Returns `None`
/// if there are no nodes.
///
/// At least one node is assumed to survive in each scope, and its peers are counted.
pub fn fewest_peers(
    nodes: &[&Node],
    scope: DeduplicationScope,
    loss: Option<Loss>,
) -> Option<WorstCase> {
    let mut scopes: BTreeMap<String, Vec<&Node>> = BTreeMap::new();
    for node in nodes {
        let name = match scope {
            DeduplicationScope::All => String::new(),
            DeduplicationScope::Site => FailureDomain::Site.name_of(node),
            DeduplicationScope::Block => FailureDomain::Block.name_of(node),
        };
        scopes.entry(name).or_default().push(node);
    }
    let worst_cases = scopes
        .values()
        .map(|members| fewest_peers_in_scope(members, loss));
    worst_cases.min_by_key(|worst| (worst.remaining, worst.lost.len()))
}

fn fewest_peers_in_scope(members: &[&Node], loss: Option<Loss>) -> WorstCase {
    let survivable = loss.map(|loss| {
        let domains: BTreeSet<String> = members
            .iter()
            .map(|node| loss.domain.name_of(node))
            .collect();
        Loss {
            count: loss.count.min(domains.len() - 1),
            ..loss
        }
    });
    let worst = worst_loss(members, survivable);
    WorstCase {
        remaining: worst.remaining - 1,
        ..worst
    }
}
