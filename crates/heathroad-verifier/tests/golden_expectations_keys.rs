//! The keys of the file of expectations: each is read, and whatever is no key is refused with the
//! list of those that are. The golden answer comes from commit 1355c4b.

use heathroad_routing::config::DeduplicationScope;
use heathroad_verifier::expectations::{Bounds, Quantity, Requirement, RetryLimit, parse};
use heathroad_verifier::failure_scenarios::{FailureDomain, Loss};

#[test]
fn every_key_is_read() {
    let all = parse("f", include_str!("golden/all_keys.toml")).unwrap_or_else(|e| panic!("{e}"));
    let node = &all.nodes[0];
    assert_eq!(
        (
            node.address.port(),
            node.registry.map(|r| r.port()),
            node.is_available
        ),
        (9001, Some(8500), true)
    );
    assert_eq!(
        (node.site.as_str(), node.class.as_str(), node.block),
        ("kano-dc", "m2", 1)
    );
    assert_eq!(
        (all.nodes[1].registry, all.nodes[1].is_available),
        (None, false)
    );
    let state = &all.scenarios[0];
    assert_eq!((state.name.as_str(), state.nodes.len()), ("one out", 2));
    assert!(state.sites.contains("jos") && state.blocks.contains(&7));

    let [places, figures, block] = all.list.as_slice() else {
        panic!("three expectations")
    };
    assert!(places.may_be_empty && places.scenarios == [0]);
    assert_eq!(
        places.loss,
        Some(Loss {
            domain: FailureDomain::Node,
            count: 1
        })
    );
    let scope = &places.scope;
    let texts = [
        &scope.listener,
        &scope.host,
        &scope.path,
        &scope.method,
        &scope.class,
        &scope.tenant,
    ];
    let texts: Vec<&str> = texts
        .into_iter()
        .map(|t| t.as_deref().unwrap_or_default())
        .collect();
    assert_eq!(texts, ["main", "a.org", "/x/*", "m", "look", "zaria-foods"]);
    assert_eq!(scope.header, Some(("x-canary".into(), "1".into())));
    let [
        Requirement::Only(only),
        Requirement::Never(never),
        rest @ ..,
    ] = places.requirements.as_slice()
    else {
        panic!("places")
    };
    for (places, port) in [(only, 9001), (never, 9002)] {
        assert_eq!(
            (
                places.pools.len(),
                places.nodes[0].port(),
                places.sites.len()
            ),
            (1, port, 1)
        );
        assert_eq!((places.blocks.len(), places.machine_classes.len()), (1, 1));
    }
    assert_eq!(
        rest,
        [
            Requirement::Served(true),
            Requirement::Retries(RetryLimit::Never),
            Requirement::Deduplicated(DeduplicationScope::All)
        ]
    );

    assert_eq!(
        figures.loss,
        Some(Loss {
            domain: FailureDomain::Site,
            count: 2
        })
    );
    let from = |at_least| Bounds {
        at_least,
        at_most: f64::MAX,
    };
    let expected = [
        Requirement::Retries(RetryLimit::Keyed),
        Requirement::Deduplicated(DeduplicationScope::Site),
        Requirement::Quantity(Quantity::Nodes, from(1.0)),
        Requirement::Quantity(
            Quantity::Peers,
            Bounds {
                at_least: 0.0,
                at_most: 2.0,
            },
        ),
        Requirement::Quantity(
            Quantity::Attempts,
            Bounds {
                at_least: 1.0,
                at_most: 3.0,
            },
        ),
        Requirement::Quantity(Quantity::OpenRequests, from(4.0)),
        Requirement::Quantity(Quantity::LatencyObjective, from(5.0)),
        Requirement::Quantity(Quantity::Deadline, from(6.0)),
        Requirement::Quantity(Quantity::PriorityWeight, from(7.0)),
        Requirement::Quantity(Quantity::DeduplicationWindow, from(8.0)),
        Requirement::PoolPart {
            pool: "p".into(),
            bounds: Bounds {
                at_least: 0.1,
                at_most: 0.9,
            },
        },
    ];
    assert_eq!(figures.requirements, expected);
    assert_eq!(
        block.loss,
        Some(Loss {
            domain: FailureDomain::Block,
            count: 3
        })
    );
    assert_eq!(
        block.requirements,
        [
            Requirement::Served(false),
            Requirement::Deduplicated(DeduplicationScope::Block)
        ]
    );
}

/// Each line of the answer names a section's keys, so that a key that is renamed shows.
#[test]
fn unknown_keys_are_refused_with_all_known_ones() {
    let actual = parse("f", include_str!("golden/unknown_keys.toml"))
        .expect_err("it has stray keys")
        .to_string();
    assert!(
        actual == include_str!("golden/unknown_keys.txt").trim_end(),
        "now:\n{actual}"
    );
}
