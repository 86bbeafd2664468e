//! Compares the computed worst-case loss with an exhaustive search.

use heathroad_routing::config::DeduplicationScope;
use heathroad_verifier::Node;
use heathroad_verifier::failure_scenarios::{FailureDomain, Loss, fewest_peers, worst_loss};
use std::collections::BTreeSet;

fn random_nodes(rng: &mut fastrand::Rng) -> Vec<Node> {
    (0..1 + rng.u16(..7))
        .map(|n| {
            let block = rng.u16(..4);
            // All nodes of a block are in one site.
            Node {
                address: ([127, 0, 0, 1], 9000 + n).into(),
                registry: None,
                site: (block % 2).to_string(),
                class: String::new(),
                block,
                is_available: true,
            }
        })
        .collect()
}

fn domain_name(domain: FailureDomain, node: &Node) -> String {
    match domain {
        FailureDomain::Node => node.address.to_string(),
        FailureDomain::Site => node.site.clone(),
        FailureDomain::Block => node.block.to_string(),
    }
}

/// Returns the remaining nodes for each loss of at most `loss.count` domains.
fn remaining_after_losses(nodes: &[Node], loss: Loss) -> Vec<Vec<&Node>> {
    let domains: Vec<String> = nodes
        .iter()
        .map(|node| domain_name(loss.domain, node))
        .collect::<BTreeSet<_>>()
        .into_iter()
        .collect();
    (0..1u32 << domains.len())
        .filter(|mask| mask.count_ones() as usize <= loss.count)
        .map(|mask| {
            let remains = |node: &&Node| {
                let domain = domains
                    .iter()
                    .position(|name| *name == domain_name(loss.domain, node))
                    .expect("the domain of the node");
                mask & (1 << domain) == 0
            };
            nodes.iter().filter(remains).collect()
        })
        .collect()
}

fn fewest_peers_by_search(nodes: &[&Node], scope: DeduplicationScope) -> Option<usize> {
    let are_peers = |a: &Node, b: &Node| match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Site => a.site == b.site,
        DeduplicationScope::Block => a.block == b.block,
    };
    nodes
        .iter()
        .map(|n| nodes.iter().filter(|o| are_peers(n, o)).count() - 1)
        .min()
}

#[test]
fn worst_loss_matches_exhaustive_search() {
    for seed in 0..3_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let nodes = random_nodes(&mut rng);
        let all: Vec<&Node> = nodes.iter().collect();
        let domain = [
            FailureDomain::Node,
            FailureDomain::Site,
            FailureDomain::Block,
        ][rng.usize(..3)];
        let loss = Loss {
            domain,
            count: 1 + rng.usize(..3),
        };
        let found = worst_loss(&all, Some(loss));
        let worst = remaining_after_losses(&nodes, loss)
            .iter()
            .map(Vec::len)
            .min()
            .expect("at least one loss");
        assert_eq!(found.remaining, worst, "seed {seed}: {loss:?} of {nodes:?}");
        assert!(found.lost.len() <= loss.count);
        let no_loss = worst_loss(&all, None);
        assert!(no_loss.remaining == all.len() && no_loss.lost.is_empty());
        for scope in [
            DeduplicationScope::All,
            DeduplicationScope::Site,
            DeduplicationScope::Block,
        ] {
            let worst = remaining_after_losses(&nodes, loss)
                .iter()
                .filter_map(|w| fewest_peers_by_search(w, scope))
                .min();
            let found = fewest_peers(&all, scope, Some(loss)).map(|worst| worst.remaining);
            assert_eq!(
                found, worst,
                "seed {seed}: {loss:?}, {scope:?} of {nodes:?}"
            );
            assert_eq!(
                fewest_peers(&all, scope, None).map(|worst| worst.remaining),
                fewest_peers_by_search(&all, scope),
                "seed {seed}"
            );
        }
    }
    assert_eq!(fewest_peers(&[], DeduplicationScope::All, None), None);
}
