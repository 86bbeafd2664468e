//! Batches of drains: every expectation holds in each, and no fewer could do, against every way to
//! make them.

mod common;

use common::{EXPECTED, ROUTES, environment, expectations, generation};
use heathroad_verifier::drain_plan::{DrainPlan, plan_drains};
use heathroad_verifier::nodes::Node;
use heathroad_verifier::{Environment, verify};
use std::collections::BTreeSet;
use std::net::SocketAddr;

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn ports(plan: &DrainPlan) -> Vec<Vec<u16>> {
    plan.batches
        .iter()
        .map(|b| b.iter().map(SocketAddr::port).collect())
        .collect()
}

fn drained(batch: &BTreeSet<SocketAddr>) -> Vec<Node> {
    batch.iter().map(|a| Node::withdrawn(*a)).collect()
}

/// Nodes of a block are each other's mates: one alone leaves the other without, both leave the
/// other block whole.
#[test]
fn where_only_a_whole_block_can_go_it_goes_whole() {
    let keyed = EXPECTED.replace(
        "mates = { at_least = 1 }",
        "mates = { at_least = 1 }\nserved = true",
    );
    // Of what the example expects, only this is about how many nodes there are.
    let cut = keyed
        .replace("nodes = { at_least = 2 }", "again = \"never\"")
        .replace("losing = { sites = 1 }", "");
    let e = expectations(&cut.replace("states = [\"node 9001 drains\"]", ""));
    let all: BTreeSet<SocketAddr> = (9001..=9004).map(address).collect();
    let plan =
        plan_drains(&generation(ROUTES), &e, &environment(&e), &all, 10).expect("can be planned");
    assert_eq!(ports(&plan), [[9001, 9002], [9003, 9004]]);
    assert!(plan.stuck.is_empty());
    // One of the two alone can't go.
    let one = BTreeSet::from([address(9001)]);
    let plan =
        plan_drains(&generation(ROUTES), &e, &environment(&e), &one, 10).expect("can be planned");
    assert_eq!((plan.batches.len(), plan.stuck.len()), (0, 1));
    assert_eq!(
        plan.stuck[0].expectation,
        "submits run again only in their block"
    );
}

#[test]
fn what_fails_before_anything_drains_is_no_base_for_a_plan() {
    let e = expectations(EXPECTED);
    let routes = ROUTES.replace("worth = 3", "worth = 1");
    let nodes = BTreeSet::from([address(9005)]);
    let error = plan_drains(&generation(&routes), &e, &environment(&e), &nodes, 1)
        .expect_err("worth is too small")
        .to_string();
    assert!(
        error.starts_with("before anything drains:\nexpect.toml:"),
        "{error}"
    );
}

/// Pools that share nodes, with needs of their own; all drains at random.
#[test]
fn batches_hold_and_no_fewer_do() {
    let (mut proven, mut smaller_than_one_by_one, mut stuck) = (0, 0, 0);
    for seed in 0..400 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let n = 3 + rng.u16(..4);
        let mut routes = String::new();
        let mut expected = String::new();
        for pool in 0..1 + rng.usize(..3) {
            let members: Vec<u16> = (0..n).filter(|_| rng.u8(..3) > 0).collect();
            if members.is_empty() {
                continue;
            }
            let list: Vec<String> = members
                .iter()
                .map(|m| {
                    format!(
                        "{{ address = \"127.0.0.1:{}\", site = \"s{}\" }}",
                        9000 + m,
                        m % 3
                    )
                })
                .collect();
            routes += &format!(
                "[[pool]]\nname = \"p{pool}\"\nbackends = [{}]\n[[pool.class]]\nname = \"c{pool}\"\neffect = \"safe\"\n\
                 aim_ms = 1\ndeadline_ms = 1\n[[route]]\nname = \"r{pool}\"\nclass = \"c{pool}\"\npool = \"p{pool}\"\n",
                list.join(", ")
            );
            expected += &format!(
                "[[expect]]\nname = \"e{pool}\"\nclass = \"c{pool}\"\nnodes = {{ at_least = {} }}\n{}",
                1 + rng.usize(..members.len()),
                if rng.u8(..4) == 0 {
                    "losing = { sites = 1 }\n"
                } else {
                    ""
                }
            );
        }
        if routes.is_empty() {
            continue;
        }
        let (generation, e) = (generation(&routes), expectations(&expected));
        let holds = |batch: &BTreeSet<SocketAddr>| {
            let environment = Environment {
                nodes: drained(batch),
                ..Environment::default()
            };
            verify(&generation, &e, &environment)
                .expect("can be judged")
                .holds()
        };
        if !holds(&BTreeSet::new()) {
            continue;
        }
        let all: BTreeSet<SocketAddr> = (9000..9000 + n).map(address).collect();
        let at_once = 1 + rng.usize(..4);
        let plan = plan_drains(&generation, &e, &Environment::default(), &all, at_once)
            .expect("can be planned");
        let can: Vec<SocketAddr> = all
            .iter()
            .copied()
            .filter(|a| holds(&BTreeSet::from([*a])))
            .collect();
        let planned: Vec<SocketAddr> = plan.batches.iter().flatten().copied().collect();
        assert_eq!(
            planned.iter().collect::<BTreeSet<_>>(),
            can.iter().collect(),
            "seed {seed}: each that can"
        );
        assert_eq!(planned.len(), can.len(), "seed {seed}: once");
        assert_eq!(plan.stuck.len() + can.len(), all.len(), "seed {seed}");
        for batch in &plan.batches {
            assert!(
                batch.len() <= at_once && holds(&batch.iter().copied().collect()),
                "seed {seed}: {batch:?}"
            );
        }
        let fewest = fewest(&can, at_once, &holds);
        assert!(plan.batches.len() >= fewest, "seed {seed}");
        if plan.is_minimal {
            assert_eq!(plan.batches.len(), fewest, "seed {seed}: fewer would do");
            proven += 1;
        }
        smaller_than_one_by_one += usize::from(plan.batches.len() < can.len());
        stuck += usize::from(!plan.stuck.is_empty());
    }
    assert!(
        proven > 100 && smaller_than_one_by_one > 50 && stuck > 20,
        "{proven} {smaller_than_one_by_one} {stuck}"
    );
}

/// By every set of nodes: the fewest batches that make it up.
fn fewest(
    can: &[SocketAddr],
    at_once: usize,
    holds: &impl Fn(&BTreeSet<SocketAddr>) -> bool,
) -> usize {
    let sets = 1usize << can.len();
    let set = |mask: usize| -> BTreeSet<SocketAddr> {
        (0..can.len())
            .filter(|i| mask & (1 << i) != 0)
            .map(|i| can[i])
            .collect()
    };
    let good: Vec<usize> = (1..sets)
        .filter(|m| m.count_ones() as usize <= at_once && holds(&set(*m)))
        .collect();
    let mut least = vec![usize::MAX; sets];
    least[0] = 0;
    for mask in 1..sets {
        let through = good
            .iter()
            .filter(|g| **g & mask == **g && least[mask ^ **g] < usize::MAX);
        least[mask] = through
            .map(|g| least[mask ^ *g] + 1)
            .min()
            .unwrap_or(usize::MAX);
    }
    least[sets - 1]
}
