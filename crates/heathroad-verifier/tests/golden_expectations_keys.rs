//! The keys of the expectations file: each one is parsed, and an unknown one is rejected with the
//! list of valid keys.

use heathroad_routing::config::DeduplicationScope;
use heathroad_verifier::expectations::{Bounds, Quantity, Requirement, RetryLimit, parse};
use heathroad_verifier::failure_scenarios::{FailureDomain, Loss};

#[test]
fn every_key_is_parsed() {
    let parsed = parse("f", include_str!("golden/all_keys.toml")).unwrap_or_else(|e| panic!("{e}"));
    let node = &parsed.nodes[0];
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
        (parsed.nodes[1].registry, parsed.nodes[1].is_available),
        (None, false)
    );
    let scenario = &parsed.scenarios[0];
    assert_eq!(
        (scenario.name.as_str(), scenario.nodes.len()),
        ("one out", 2)
    );
    assert!(scenario.sites.contains("jos") && scenario.blocks.contains(&7));

    let [targets, quantities, block] = parsed.list.as_slice() else {
        panic!("expected three expectations")
    };
    assert!(targets.may_be_empty && targets.scenarios == [0]);
    assert_eq!(
        targets.loss,
        Some(Loss {
            domain: FailureDomain::Node,
            count: 1
        })
    );
    let scope = &targets.scope;
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
    ] = targets.requirements.as_slice()
    else {
        panic!("expected the requirements `only` and `never` first")
    };
    for (named, port) in [(only, 9001), (never, 9002)] {
        assert_eq!(
            (named.pools.len(), named.nodes[0].port(), named.sites.len()),
            (1, port, 1)
        );
        assert_eq!((named.blocks.len(), named.machine_classes.len()), (1, 1));
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
        quantities.loss,
        Some(Loss {
            domain: FailureDomain::Site,
            count: 2
        })
    );
    let at_least = |at_least| Bounds {
        at_least,
        at_most: f64::MAX,
    };
    let expected = [
        Requirement::Retries(RetryLimit::Keyed),
        Requirement::Deduplicated(DeduplicationScope::Site),
        Requirement::Quantity(Quantity::Nodes, at_least(1.0)),
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
        Requirement::Quantity(Quantity::OpenRequests, at_least(4.0)),
        Requirement::Quantity(Quantity::LatencyObjective, at_least(5.0)),
        Requirement::Quantity(Quantity::Deadline, at_least(6.0)),
        Requirement::Quantity(Quantity::PriorityWeight, at_least(7.0)),
        Requirement::Quantity(Quantity::DeduplicationWindow, at_least(8.0)),
        Requirement::PoolPart {
            pool: "p".into(),
            bounds: Bounds {
                at_least: 0.1,
                at_most: 0.9,
            },
        },
    ];
    assert_eq!(quantities.requirements, expected);
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

/// Guards against renamed keys: the errors list all keys of each section.
#[test]
fn unknown_keys_are_rejected_with_all_valid_ones() {
    let actual = parse("f", include_str!("golden/unknown_keys.toml"))
        .expect_err("the file has unknown keys")
        .to_string();
    assert!(
        actual == include_str!("golden/unknown_keys.txt").trim_end(),
        "actual:\n{actual}"
    );
}
