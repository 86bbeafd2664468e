//! Nodes and what may become of them: which of them a pool has in a state, and what is left when
//! the worst is lost.

use heathroad_routing::file::{Group, Pool, Source};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A node, as a list or a registry tells it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Its address.
    pub address: SocketAddr,
    /// The registry that tells it; none is a list in the file of routes.
    #[serde(default)]
    pub registry: Option<SocketAddr>,
    /// Its site.
    #[serde(default)]
    pub site: String,
    /// Its kind.
    #[serde(default)]
    pub class: String,
    /// Its block.
    #[serde(default)]
    pub block: u16,
    /// Whether it takes new work now.
    #[serde(default = "yes")]
    pub takes: bool,
}

fn yes() -> bool {
    true
}

impl Node {
    /// One of which nothing is known but that it takes no new work.
    pub fn withdrawn(address: SocketAddr) -> Node {
        Node {
            address,
            registry: None,
            site: String::new(),
            class: String::new(),
            block: 0,
            takes: false,
        }
    }
}

/// What is assumed to be out, beside what is.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct State {
    /// Its name.
    pub name: String,
    /// Nodes that drain or are gone.
    pub nodes: BTreeSet<SocketAddr>,
    /// Sites that are gone.
    pub sites: BTreeSet<String>,
    /// Blocks that are gone.
    pub blocks: BTreeSet<u16>,
}

impl State {
    /// Whether a node takes new work in it.
    pub fn spares(&self, node: &Node) -> bool {
        node.takes
            && !self.nodes.contains(&node.address)
            && !self.sites.contains(&node.site)
            && !self.blocks.contains(&node.block)
    }
}

/// What is lost as one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A node.
    Node,
    /// All nodes of a site.
    Site,
    /// All nodes of a block.
    Block,
}

impl Kind {
    /// Tells what a node is lost with.
    fn of(self, node: &Node) -> String {
        match self {
            Kind::Node => node.address.to_string(),
            Kind::Site => format!("site {}", node.site),
            Kind::Block => format!("block {}", node.block),
        }
    }
}

/// Any so many of a kind may be lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Loss {
    /// Which kind.
    pub kind: Kind,
    /// How many.
    pub count: usize,
}

/// A pool's nodes, where they are known. `told` are those of registries; `registry` is the one of
/// pools that name none.
pub fn of(pool: &Pool, told: &[Node], registry: Option<SocketAddr>) -> Option<Vec<Node>> {
    match &pool.source {
        Source::List(members) => Some(
            members
                .iter()
                .map(|m| {
                    // A node that a registry tells is the same where a list names it.
                    let takes = told
                        .iter()
                        .find(|n| n.address == m.address)
                        .is_none_or(|n| n.takes);
                    let (address, site, block) = (m.address, m.site.clone(), m.block);
                    Node {
                        address,
                        registry: None,
                        site,
                        class: String::new(),
                        block,
                        takes,
                    }
                })
                .collect(),
        ),
        Source::Registry { address, select } => {
            let from = address.or(registry);
            let mut own = told
                .iter()
                .filter(|n| n.registry.or(registry) == from)
                .peekable();
            own.peek()?;
            let chosen = |n: &&Node| {
                select.iter().all(|(label, want)| match label.as_str() {
                    "site" => n.site == *want,
                    "class" => n.class == *want,
                    _ => n.block.to_string() == *want,
                })
            };
            Some(own.filter(chosen).cloned().collect())
        }
    }
}

/// The fewest nodes that are left when the worst is lost, and what that is: the largest first,
/// since kinds do not overlap.
pub fn left(nodes: &[&Node], loss: Option<Loss>) -> (usize, Vec<String>) {
    let Some(loss) = loss else {
        return (nodes.len(), Vec::new());
    };
    let lost = largest(nodes, loss);
    (
        nodes.len() - lost.iter().map(|(n, _)| n).sum::<usize>(),
        lost.into_iter().map(|(_, l)| l).collect(),
    )
}

/// The largest of a kind, with their sizes.
fn largest(nodes: &[&Node], loss: Loss) -> Vec<(usize, String)> {
    let mut sizes: BTreeMap<String, usize> = BTreeMap::new();
    nodes
        .iter()
        .for_each(|n| *sizes.entry(loss.kind.of(n)).or_default() += 1);
    let mut sizes: Vec<(usize, String)> = sizes.into_iter().map(|(name, n)| (n, name)).collect();
    sizes.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
    sizes.truncate(loss.count);
    sizes
}

/// The fewest others that some node has in its group when the worst is lost: those that a repeat of
/// what it may have run can go to. None where no node is left. In a group as much is lost as leaves
/// somebody to ask for the others.
pub fn mates(nodes: &[&Node], group: Group, loss: Option<Loss>) -> Option<(usize, Vec<String>)> {
    let mut groups: BTreeMap<String, Vec<&Node>> = BTreeMap::new();
    for n in nodes {
        let name = match group {
            Group::All => String::new(),
            Group::Site => Kind::Site.of(n),
            Group::Block => Kind::Block.of(n),
        };
        groups.entry(name).or_default().push(n);
    }
    let fewest = |members: &Vec<&Node>| {
        let Some(loss) = loss else {
            return (members.len() - 1, Vec::new());
        };
        let parts: BTreeSet<String> = members.iter().map(|n| loss.kind.of(n)).collect();
        let count = loss.count.min(parts.len() - 1);
        let (left, lost) = left(members, Some(Loss { count, ..loss }));
        (left - 1, lost)
    };
    groups
        .values()
        .map(fewest)
        .min_by_key(|(n, lost)| (*n, lost.len()))
}
