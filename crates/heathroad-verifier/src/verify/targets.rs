//! Checks of requirements on the targets of requests.

use super::violation::Violation;
use crate::expectations::Targets;
use crate::nodes::Node;
use heathroad_routing::config::{BackendSource, Pool};

/// Checks that a pool and its available nodes are among the targets. `nodes` is `None` if they are
/// not known.
pub(super) fn check_only(
    targets: &Targets,
    pool: &Pool,
    nodes: Option<&[&Node]>,
) -> Option<Violation> {
    if !targets.pools.is_empty() && !targets.pools.contains(&pool.name) {
        let found = format!("it goes to pool {:?}", pool.name);
        return Some(Violation::new(
            found,
            format!("only {}", targets.pools.join(", ")),
        ));
    }
    let Some(nodes) = nodes else {
        // The pool's label selector restricts the nodes that its registry can announce.
        let is_selected = |label: &str, wanted: &[String]| {
            wanted.is_empty() || selected_label(pool, label).is_some_and(|l| wanted.contains(l))
        };
        let is_certain = targets.nodes.is_empty()
            && is_selected("site", &targets.sites)
            && is_selected("block", &targets.block_labels())
            && is_selected("class", &targets.machine_classes);
        return (!is_certain).then(|| Violation::unknown_nodes(pool));
    };
    let outside = nodes.iter().find(|node| !is_within(targets, node))?;
    let expected = format!("only {}", targets.describe());
    Some(Violation::new(reaches(outside), expected))
}

/// Checks that neither a pool nor its available nodes are among the targets. `nodes` is `None` if
/// they are not known.
pub(super) fn check_never(
    targets: &Targets,
    pool: &Pool,
    nodes: Option<&[&Node]>,
) -> Option<Violation> {
    if targets.pools.contains(&pool.name) {
        let found = format!("it goes to pool {:?}", pool.name);
        return Some(Violation::new(
            found,
            format!("never {}", targets.pools.join(", ")),
        ));
    }
    let Some(nodes) = nodes else {
        let is_excluded = |label: &str, excluded: &[String]| {
            excluded.is_empty()
                || selected_label(pool, label).is_some_and(|l| !excluded.contains(l))
        };
        let is_certain = targets.nodes.is_empty()
            && is_excluded("site", &targets.sites)
            && is_excluded("block", &targets.block_labels())
            && is_excluded("class", &targets.machine_classes);
        return (!is_certain).then(|| Violation::unknown_nodes(pool));
    };
    let named = nodes.iter().find(|node| is_named(targets, node))?;
    let expected = format!("never {}", targets.describe());
    Some(Violation::new(reaches(named), expected))
}

/// Whether a node matches each kind of target that has entries.
fn is_within(targets: &Targets, node: &Node) -> bool {
    (targets.nodes.is_empty() || targets.nodes.contains(&node.address))
        && (targets.sites.is_empty() || targets.sites.contains(&node.site))
        && (targets.blocks.is_empty() || targets.blocks.contains(&node.block))
        && (targets.machine_classes.is_empty() || targets.machine_classes.contains(&node.class))
}

/// Whether a node matches any kind of target.
fn is_named(targets: &Targets, node: &Node) -> bool {
    targets.nodes.contains(&node.address)
        || targets.sites.contains(&node.site)
        || targets.blocks.contains(&node.block)
        || targets.machine_classes.contains(&node.class)
}

/// Returns the value that a pool's selector requires of a label.
fn selected_label<'p>(pool: &'p Pool, label: &str) -> Option<&'p String> {
    match &pool.source {
        BackendSource::Registry { select, .. } => select.get(label),
        BackendSource::List(_) => None,
    }
}

fn reaches(node: &Node) -> String {
    let Node {
        address,
        site,
        block,
        class,
        ..
    } = node;
    format!("it may reach {address} (site {site:?}, block {block}, kind {class:?})")
}
