//! What is left when the worst is lost, against every way to lose it.

use heathroad_routing::file::Group;
use heathroad_verifier::Node;
use heathroad_verifier::nodes::{Kind, Loss, left, mates};
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
                takes: true,
            }
        })
        .collect()
}

fn of(kind: Kind, n: &Node) -> String {
    match kind {
        Kind::Node => n.address.to_string(),
        Kind::Site => n.site.clone(),
        Kind::Block => n.block.to_string(),
    }
}

/// The nodes that stay, for each way to lose so many of a kind or fewer.
fn ways(nodes: &[Node], loss: Loss) -> Vec<Vec<&Node>> {
    let parts: Vec<String> = nodes
        .iter()
        .map(|n| of(loss.kind, n))
        .collect::<BTreeSet<_>>()
        .into_iter()
        .collect();
    (0..1u32 << parts.len())
        .filter(|mask| mask.count_ones() as usize <= loss.count)
        .map(|mask| {
            let stays = |n: &&Node| {
                let part = parts
                    .iter()
                    .position(|p| *p == of(loss.kind, n))
                    .expect("its part");
                mask & (1 << part) == 0
            };
            nodes.iter().filter(stays).collect()
        })
        .collect()
}

fn fewest_mates(nodes: &[&Node], group: Group) -> Option<usize> {
    let together = |a: &Node, b: &Node| match group {
        Group::All => true,
        Group::Site => a.site == b.site,
        Group::Block => a.block == b.block,
    };
    nodes
        .iter()
        .map(|n| nodes.iter().filter(|o| together(n, o)).count() - 1)
        .min()
}

#[test]
fn the_worst_is_as_bad_as_every_way_to_lose() {
    for seed in 0..3_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let nodes = nodes(&mut rng);
        let all: Vec<&Node> = nodes.iter().collect();
        let kind = [Kind::Node, Kind::Site, Kind::Block][rng.usize(..3)];
        let loss = Loss {
            kind,
            count: 1 + rng.usize(..3),
        };
        let (fewest, lost) = left(&all, Some(loss));
        let worst = ways(&nodes, loss)
            .iter()
            .map(Vec::len)
            .min()
            .expect("one way at the least");
        assert_eq!(fewest, worst, "seed {seed}: {loss:?} of {nodes:?}");
        assert!(lost.len() <= loss.count && left(&all, None) == (all.len(), vec![]));
        for group in [Group::All, Group::Site, Group::Block] {
            let worst = ways(&nodes, loss)
                .iter()
                .filter_map(|w| fewest_mates(w, group))
                .min();
            let found = mates(&all, group, Some(loss)).map(|(n, _)| n);
            assert_eq!(
                found, worst,
                "seed {seed}: {loss:?}, {group:?} of {nodes:?}"
            );
            assert_eq!(
                mates(&all, group, None).map(|(n, _)| n),
                fewest_mates(&all, group),
                "seed {seed}"
            );
        }
    }
    assert_eq!(mates(&[], Group::All, None), None);
}
