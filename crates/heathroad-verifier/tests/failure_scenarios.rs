//! What is left when the worst is lost, against every way to lose it.

use heathroad_routing::config::DeduplicationScope;
use heathroad_verifier::Node;
use heathroad_verifier::failure_scenarios::{FailureDomain, Loss, fewest_peers, worst_loss};
use std::collections::BTreeSet;

fn nodes(rng: &mut fastrand::Rng) -> Vec<Node> {
    (0..1 + rng.u16(..7))
        .map(|n| {
            let block = rng.u16(..4);
            // A block is in one site, as the group that drops each other's repeats.
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

fn of(domain: FailureDomain, n: &Node) -> String {
    match domain {
        FailureDomain::Node => n.address.to_string(),
        FailureDomain::Site => n.site.clone(),
        FailureDomain::Block => n.block.to_string(),
    }
}

/// The nodes that stay, for each way to lose so many of a kind or fewer.
fn ways(nodes: &[Node], loss: Loss) -> Vec<Vec<&Node>> {
    let parts: Vec<String> = nodes
        .iter()
        .map(|n| of(loss.domain, n))
        .collect::<BTreeSet<_>>()
        .into_iter()
        .collect();
    (0..1u32 << parts.len())
        .filter(|mask| mask.count_ones() as usize <= loss.count)
        .map(|mask| {
            let stays = |n: &&Node| {
                let part = parts
                    .iter()
                    .position(|p| *p == of(loss.domain, n))
                    .expect("its part");
                mask & (1 << part) == 0
            };
            nodes.iter().filter(stays).collect()
        })
        .collect()
}

fn fewest_peers_by_search(nodes: &[&Node], group: DeduplicationScope) -> Option<usize> {
    let together = |a: &Node, b: &Node| match group {
        DeduplicationScope::All => true,
        DeduplicationScope::Site => a.site == b.site,
        DeduplicationScope::Block => a.block == b.block,
    };
    nodes
        .iter()
        .map(|n| nodes.iter().filter(|o| together(n, o)).count() - 1)
        .min()
}

#[test]
fn the_worst_loss_is_the_worst_of_all_losses() {
    for seed in 0..3_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let nodes = nodes(&mut rng);
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
        let worst = ways(&nodes, loss)
            .iter()
            .map(Vec::len)
            .min()
            .expect("one way at the least");
        assert_eq!(found.remaining, worst, "seed {seed}: {loss:?} of {nodes:?}");
        assert!(found.lost.len() <= loss.count);
        let nothing = worst_loss(&all, None);
        assert!(nothing.remaining == all.len() && nothing.lost.is_empty());
        for group in [
            DeduplicationScope::All,
            DeduplicationScope::Site,
            DeduplicationScope::Block,
        ] {
            let worst = ways(&nodes, loss)
                .iter()
                .filter_map(|w| fewest_peers_by_search(w, group))
                .min();
            let found = fewest_peers(&all, group, Some(loss)).map(|worst| worst.remaining);
            assert_eq!(
                found, worst,
                "seed {seed}: {loss:?}, {group:?} of {nodes:?}"
            );
            assert_eq!(
                fewest_peers(&all, group, None).map(|worst| worst.remaining),
                fewest_peers_by_search(&all, group),
                "seed {seed}"
            );
        }
    }
    assert_eq!(fewest_peers(&[], DeduplicationScope::All, None), None);
}
