//! Nodes, by address: what is known of a backend belongs to it and not to the pools or generations
//! that name it. A node in two pools is one node for drains and cold starts, and no change brings
//! back one that drained or went.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// What a node may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// New requests.
    Takes,
    /// Nothing new: it drains, is gone, or was revoked.
    Withdrawn,
}

/// How many of several pools, which each send to some nodes, share the node of theirs that most
/// share: each keeps to that part of its nodes' cold budgets. 1 at the least.
pub fn sharers(pools: &[BTreeSet<SocketAddr>]) -> Vec<usize> {
    let mut by_node: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    pools
        .iter()
        .flatten()
        .for_each(|node| *by_node.entry(*node).or_default() += 1);
    let most =
        |pool: &BTreeSet<SocketAddr>| pool.iter().map(|node| by_node[node]).max().unwrap_or(1);
    pools.iter().map(most).collect()
}

#[derive(Debug, Default)]
struct Node {
    /// The start of its process, as it was told; 0 is long ago.
    born: u64,
    withdrawn: bool,
    /// Pools in force that name it.
    pools: BTreeSet<String>,
}

/// All nodes that are named, or were withdrawn while they were.
#[derive(Debug, Default)]
pub struct Nodes {
    nodes: BTreeMap<SocketAddr, Node>,
}

impl Nodes {
    /// A pool names these nodes from now on, and no others. What is no longer named by any pool is
    /// forgotten, unless it was withdrawn: that is what must not be brought back by the next
    /// change.
    pub fn named(&mut self, pool: &str, addresses: &BTreeSet<SocketAddr>) {
        for address in addresses {
            self.nodes
                .entry(*address)
                .or_default()
                .pools
                .insert(pool.to_string());
        }
        self.nodes.retain(|address, node| {
            if !addresses.contains(address) {
                node.pools.remove(pool);
            }
            node.withdrawn || !node.pools.is_empty()
        });
    }

    /// A node's process is told: whether it takes new work, and when it started. A later start is
    /// another process, on which no earlier drain weighs; an older one that comes late changes
    /// nothing.
    pub fn told(&mut self, address: SocketAddr, born: u64, takes: bool) {
        let node = self.nodes.entry(address).or_default();
        if born < node.born {
            return;
        }
        if born > node.born {
            (node.born, node.withdrawn) = (born, false);
        }
        node.withdrawn |= !takes;
    }

    /// A registry that knows the node to be well again says so of the same process.
    pub fn restored(&mut self, address: SocketAddr, born: u64) {
        if let Some(node) = self.nodes.get_mut(&address).filter(|n| n.born <= born) {
            (node.born, node.withdrawn) = (born, false);
        }
    }

    /// What a node may be sent now. One that nobody names may be sent nothing.
    pub fn standing(&self, address: SocketAddr) -> Standing {
        match self.nodes.get(&address) {
            Some(n) if !n.withdrawn && !n.pools.is_empty() => Standing::Takes,
            _ => Standing::Withdrawn,
        }
    }

    /// Nodes that are withdrawn, by address.
    pub fn withdrawn(&self) -> impl Iterator<Item = SocketAddr> {
        self.nodes
            .iter()
            .filter(|(_, n)| n.withdrawn)
            .map(|(address, _)| *address)
    }

    /// How many nodes are kept.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn address(n: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], n))
    }

    fn set(list: &[u16]) -> BTreeSet<SocketAddr> {
        list.iter().map(|n| address(*n)).collect()
    }

    #[test]
    fn a_node_in_two_pools_is_one_node() {
        let mut nodes = Nodes::default();
        nodes.named("a", &set(&[1, 2]));
        nodes.named("b", &set(&[2, 3]));
        assert_eq!(
            sharers(&[set(&[1, 2]), set(&[2, 3]), set(&[4]), set(&[])]),
            [2, 2, 1, 1]
        );
        nodes.told(address(2), 0, false);
        assert_eq!(
            [1, 2, 3].map(|n| nodes.standing(address(n)) == Standing::Takes),
            [true, false, true]
        );
    }

    #[test]
    fn no_change_brings_back_what_drained() {
        let mut nodes = Nodes::default();
        nodes.named("a", &set(&[1, 2]));
        nodes.told(address(2), 5, false);
        nodes.named("a", &set(&[1]));
        nodes.named("a", &set(&[1, 2]));
        assert_eq!(nodes.standing(address(2)), Standing::Withdrawn);
        nodes.told(address(2), 4, true);
        assert_eq!(
            nodes.standing(address(2)),
            Standing::Withdrawn,
            "an older process that is told late"
        );
        nodes.told(address(2), 6, true);
        assert_eq!(
            nodes.standing(address(2)),
            Standing::Takes,
            "another process"
        );
    }

    #[test]
    fn what_nobody_names_is_forgotten() {
        let mut nodes = Nodes::default();
        for n in 1..1000 {
            nodes.named("a", &set(&[n]));
        }
        assert_eq!(nodes.len(), 1);
        assert_eq!(nodes.standing(address(5)), Standing::Withdrawn);
    }
}
