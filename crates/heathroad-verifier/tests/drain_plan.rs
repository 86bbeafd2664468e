//! Drain plans: every expectation holds during each batch, and plans that claim to be minimal are, as
//! compared with an exhaustive search.

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

fn withdrawn_nodes(batch: &BTreeSet<SocketAddr>) -> Vec<Node> {
    batch.iter().map(|a| Node::withdrawn(*a)).collect()
}

/// Guards against splitting a block of two nodes: if one drains alone, the other has no peer.
#[test]
fn nodes_of_a_block_drain_together_if_one_cannot_drain_alone() {
    let with_served = EXPECTED.replace(
        "mates = { at_least = 1 }",
        "mates = { at_least = 1 }\nserved = true",
    );
    // Removes the other requirements on the number of nodes.
    let only_peers = with_served
        .replace("nodes = { at_least = 2 }", "again = \"never\"")
        .replace("losing = { sites = 1 }", "");
    let e = expectations(&only_peers.replace("states = [\"node 9001 drains\"]", ""));
    let all: BTreeSet<SocketAddr> = (9001..=9004).map(address).collect();
    let plan =
        plan_drains(&generation(ROUTES), &e, &environment(&e), &all, 10).expect("can be planned");
    assert_eq!(ports(&plan), [[9001, 9002], [9003, 9004]]);
    assert!(plan.stuck.is_empty());
    // One of the two nodes can't drain alone.
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
fn planning_fails_if_an_expectation_already_fails() {
    let e = expectations(EXPECTED);
    let routes = ROUTES.replace("worth = 3", "worth = 1");
    let nodes = BTreeSet::from([address(9005)]);
    let error = plan_drains(&generation(&routes), &e, &environment(&e), &nodes, 1)
        .expect_err("an expectation fails")
        .to_string();
    assert!(
        error.starts_with("before anything drains:\nexpect.toml:"),
        "{error}"
    );
}

/// Checks random pools with shared nodes against an exhaustive search.
#[test]
fn batches_satisfy_expectations_and_are_minimal_if_proven() {
    let (mut proven, mut batched, mut stuck) = (0, 0, 0);
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
                nodes: withdrawn_nodes(batch),
                ..Environment::default()
            };
            verify(&generation, &e, &environment)
                .expect("can be verified")
                .holds()
        };
        if !holds(&BTreeSet::new()) {
            continue;
        }
        let all: BTreeSet<SocketAddr> = (9000..9000 + n).map(address).collect();
        let max_batch_size = 1 + rng.usize(..4);
        let plan = plan_drains(
            &generation,
            &e,
            &Environment::default(),
            &all,
            max_batch_size,
        )
        .expect("can be planned");
        let drainable: Vec<SocketAddr> = all
            .iter()
            .copied()
            .filter(|a| holds(&BTreeSet::from([*a])))
            .collect();
        let planned: Vec<SocketAddr> = plan.batches.iter().flatten().copied().collect();
        assert_eq!(
            planned.iter().collect::<BTreeSet<_>>(),
            drainable.iter().collect(),
            "seed {seed}: each drainable node is planned"
        );
        assert_eq!(
            planned.len(),
            drainable.len(),
            "seed {seed}: no node is planned twice"
        );
        assert_eq!(plan.stuck.len() + drainable.len(), all.len(), "seed {seed}");
        for batch in &plan.batches {
            assert!(
                batch.len() <= max_batch_size && holds(&batch.iter().copied().collect()),
                "seed {seed}: {batch:?}"
            );
        }
        let min_count = fewest_batches(&drainable, max_batch_size, &holds);
        assert!(plan.batches.len() >= min_count, "seed {seed}");
        if plan.is_minimal {
            assert_eq!(
                plan.batches.len(),
                min_count,
                "seed {seed}: the plan is not minimal"
            );
            proven += 1;
        }
        batched += usize::from(plan.batches.len() < drainable.len());
        stuck += usize::from(!plan.stuck.is_empty());
    }
    assert!(
        proven > 100 && batched > 50 && stuck > 20,
        "{proven} {batched} {stuck}"
    );
}

/// Returns the smallest number of batches of all nodes, by dynamic programming over all subsets.
fn fewest_batches(
    drainable: &[SocketAddr],
    max_batch_size: usize,
    holds: &impl Fn(&BTreeSet<SocketAddr>) -> bool,
) -> usize {
    let sets = 1usize << drainable.len();
    let set = |mask: usize| -> BTreeSet<SocketAddr> {
        (0..drainable.len())
            .filter(|i| mask & (1 << i) != 0)
            .map(|i| drainable[i])
            .collect()
    };
    let valid_batches: Vec<usize> = (1..sets)
        .filter(|m| m.count_ones() as usize <= max_batch_size && holds(&set(*m)))
        .collect();
    let mut min_counts = vec![usize::MAX; sets];
    min_counts[0] = 0;
    for mask in 1..sets {
        let candidates = valid_batches
            .iter()
            .filter(|g| **g & mask == **g && min_counts[mask ^ **g] < usize::MAX);
        min_counts[mask] = candidates
            .map(|g| min_counts[mask ^ *g] + 1)
            .min()
            .unwrap_or(usize::MAX);
    }
    min_counts[sets - 1]
}
