//! Units: nodes that drain together. A unit is a single node, or the draining nodes of a block or
//! site if expectations do not allow a single one to drain.

use super::needs::Need;
use super::{Batch, StuckNode};
use crate::nodes::Node;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The units of a plan, and the nodes that cannot drain.
pub(super) struct DrainUnits {
    pub(super) units: Vec<Batch>,
    pub(super) stuck: Vec<StuckNode>,
}

struct Division<'a> {
    needs: &'a [Need],
    draining: &'a BTreeSet<SocketAddr>,
    max_batch_size: usize,
    nodes: BTreeMap<SocketAddr, &'a Node>,
    placed: BTreeSet<SocketAddr>,
}

/// Divides nodes into units of at most `max_batch_size` nodes.
pub(super) fn divide_into_units(
    needs: &[Need],
    draining: &BTreeSet<SocketAddr>,
    max_batch_size: usize,
) -> DrainUnits {
    let nodes = needs.iter().flat_map(|need| &need.nodes);
    let mut division = Division {
        needs,
        draining,
        max_batch_size,
        nodes: nodes.map(|node| (node.address, node)).collect(),
        placed: BTreeSet::new(),
    };
    let mut result = DrainUnits {
        units: Vec::new(),
        stuck: Vec::new(),
    };
    for address in draining {
        if division.placed.contains(address) {
            continue;
        }
        match division.unit_of(*address) {
            Ok(unit) => {
                division.placed.extend(unit.iter().copied());
                result.units.push(unit);
            }
            Err(stuck) => result.stuck.push(stuck),
        }
    }
    result
}

impl Division<'_> {
    /// Returns the smallest unit that a node can drain in.
    fn unit_of(&self, address: SocketAddr) -> Result<Batch, StuckNode> {
        let alone = BTreeSet::from([address]);
        let Some(need) = self.find_unmet_need(&alone) else {
            return Ok(alone);
        };
        let is_same_block = |a: &Node, b: &Node| (&a.site, a.block) == (&b.site, b.block);
        let is_same_site = |a: &Node, b: &Node| a.site == b.site;
        let unit = self.unit_with(address, is_same_block);
        let unit = unit.or_else(|| self.unit_with(address, is_same_site));
        unit.ok_or_else(|| StuckNode {
            address,
            expectation: need.expectation.clone(),
        })
    }

    /// Returns the draining nodes that belong together with the given one, if they can drain together.
    fn unit_with(
        &self,
        address: SocketAddr,
        belongs_together: impl Fn(&Node, &Node) -> bool,
    ) -> Option<Batch> {
        let own = self.nodes.get(&address)?;
        let belongs = |other: &&SocketAddr| {
            let node = self.nodes.get(*other);
            node.is_some_and(|node| belongs_together(node, own)) && !self.placed.contains(*other)
        };
        let unit: Batch = self.draining.iter().filter(belongs).copied().collect();
        let can_drain = unit.len() <= self.max_batch_size && self.find_unmet_need(&unit).is_none();
        can_drain.then_some(unit)
    }

    fn find_unmet_need(&self, draining: &Batch) -> Option<&Need> {
        self.needs.iter().find(|need| !need.is_met(draining))
    }
}
