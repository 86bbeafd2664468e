//! Nodes from a list or a registry, and the nodes of a pool.

use heathroad_routing::config::{BackendSource, ListedBackend, Pool};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A node that may serve requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// The address.
    pub address: SocketAddr,
    /// The registry that announces the node. `None` means that the routing file lists it.
    #[serde(default)]
    pub registry: Option<SocketAddr>,
    /// The site.
    #[serde(default)]
    pub site: String,
    /// The kind of machine.
    #[serde(default)]
    pub class: String,
    /// The block: a small group of nodes that share deduplication state.
    #[serde(default)]
    pub block: u16,
    /// Whether the node takes new requests now.
    #[serde(default = "available_by_default", rename = "takes")]
    pub is_available: bool,
}

fn available_by_default() -> bool {
    true
}

impl Node {
    /// Returns a node that takes no new requests and whose other attributes are unknown.
    pub fn withdrawn(address: SocketAddr) -> Node {
        Node {
            address,
            registry: None,
            site: String::new(),
            class: String::new(),
            block: 0,
            is_available: false,
        }
    }

    fn has_label(&self, label: &str, wanted: &str) -> bool {
        match label {
            "site" => self.site == wanted,
            "class" => self.class == wanted,
            _ => self.block.to_string() == wanted,
        }
    }
}

/// Returns the nodes of a pool, or `None` if its registry has announced none.
///
/// `announced` are the nodes that registries announce. `default_registry` is the registry of pools
/// that name none.
pub fn pool_nodes(
    pool: &Pool,
    announced: &[Node],
    default_registry: Option<SocketAddr>,
) -> Option<Vec<Node>> {
    match &pool.source {
        BackendSource::List(backends) => {
            let nodes = backends
                .iter()
                .map(|backend| listed_node(backend, announced));
            Some(nodes.collect())
        }
        BackendSource::Registry { address, select } => {
            let registry = address.or(default_registry);
            let from_registry = |node: &&Node| node.registry.or(default_registry) == registry;
            let mut nodes = announced.iter().filter(from_registry).peekable();
            nodes.peek()?;
            Some(
                nodes
                    .filter(|node| is_selected(node, select))
                    .cloned()
                    .collect(),
            )
        }
    }
}

/// Returns a listed backend as a node. It is unavailable if the announced node with the same
/// address is.
fn listed_node(backend: &ListedBackend, announced: &[Node]) -> Node {
    let same = announced
        .iter()
        .find(|node| node.address == backend.address);
    Node {
        address: backend.address,
        registry: None,
        site: backend.site.clone(),
        class: String::new(),
        block: backend.block,
        is_available: same.is_none_or(|node| node.is_available),
    }
}

fn is_selected(node: &Node, select: &BTreeMap<String, String>) -> bool {
    select
        .iter()
        .all(|(label, wanted)| node.has_label(label, wanted))
}
