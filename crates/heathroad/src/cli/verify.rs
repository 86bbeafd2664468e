//! Expectations on the command line: held against a file of routes, and drains planned by them.

use super::admin_client;
use crate::cli::arguments::With;
use crate::configuration::{self as config, routes, verification_gate};
use heathroad_routing::generation::Generation;
use heathroad_verifier::nodes;
use heathroad_verifier::plan::{Plan, drains};
use heathroad_verifier::{Expectations, Here, Node, Report, judge};
use hyper::Method;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

/// Why a command did not end well.
pub enum Trouble {
    /// What is expected does not hold; it was said.
    Broken(String),
    /// Something could not be read, asked or judged.
    Other(String),
}

struct Given {
    generation: Rc<Generation>,
    files: Vec<Expectations>,
    here: Here,
}

fn given(with: &With) -> Result<Given, String> {
    let generation = routes::read(&with.routes)?;
    let files = with
        .expectations
        .iter()
        .map(|f| verification_gate::read(f))
        .collect::<Result<Vec<_>, _>>()?;
    let mut here = match &with.settings {
        Some(file) => {
            let config = config::check(file)?;
            verification_gate::here(&config.facts, config.discovery, Vec::new())
        }
        None => Here::default(),
    };
    here.nodes = if with.live {
        let told = admin_client::call(with.at.admin, Method::GET, "/config/nodes", String::new())?;
        serde_json::from_str(&told).map_err(|e| format!("the daemon's nodes: {e}"))?
    } else {
        files.iter().flat_map(|f| f.nodes.clone()).collect()
    };
    if with.live {
        // Its registries have their addresses; the default one is that of its settings.
        here.registry = here.registry.or_else(|| one_registry(&here.nodes));
    }
    Ok(Given {
        generation,
        files,
        here,
    })
}

/// The only registry that nodes are told by.
fn one_registry(nodes: &[Node]) -> Option<SocketAddr> {
    let all: BTreeSet<SocketAddr> = nodes.iter().filter_map(|n| n.registry).collect();
    if all.len() == 1 {
        all.into_iter().next()
    } else {
        None
    }
}

/// Holds the files of expectations against the routes; the text to say.
pub fn expect(with: &With) -> Result<String, Trouble> {
    let given = given(with).map_err(Trouble::Other)?;
    let judged = given
        .files
        .iter()
        .map(|f| judge(&given.generation, f, &given.here));
    let reports = judged
        .collect::<Result<Vec<Report>, _>>()
        .map_err(Trouble::Other)?;
    let holds = reports.iter().all(Report::holds);
    let text = if with.json {
        let files: Vec<_> = reports
            .iter()
            .map(|r| json!({"file": r.file, "verdicts": r.verdicts}))
            .collect();
        json!({"digest": given.generation.digest, "holds": holds, "files": files}).to_string()
    } else {
        let mut lines: Vec<String> = reports.iter().flat_map(Report::failures).collect();
        let all: usize = reports.iter().map(|r| r.verdicts.len()).sum();
        let cases: usize = reports
            .iter()
            .flat_map(|r| &r.verdicts)
            .map(|v| v.cases)
            .sum();
        let failed = lines.len();
        lines.push(match failed {
            0 => format!("good: {all} expectations hold, looked at in {cases} cases"),
            _ => format!("{failed} of {all} expectations fail"),
        });
        lines.join("\n")
    };
    if holds {
        Ok(text)
    } else {
        Err(Trouble::Broken(text))
    }
}

/// Plans drains by the files of expectations; the text to say.
pub fn plan(
    with: &With,
    nodes: &[SocketAddr],
    sites: &[String],
    at_once: usize,
) -> Result<String, Trouble> {
    let Given {
        generation,
        files,
        here,
    } = given(with).map_err(Trouble::Other)?;
    let known: BTreeMap<SocketAddr, Node> = generation
        .config
        .pools
        .iter()
        .filter_map(|p| nodes::of(p, &here.nodes, here.registry))
        .flatten()
        .map(|n| (n.address, n))
        .collect();
    if let Some(unknown) = nodes.iter().find(|n| !known.contains_key(n)) {
        let all: Vec<String> = known.keys().map(SocketAddr::to_string).collect();
        return Err(Trouble::Other(format!(
            "--node: {unknown} is in no pool; expected one of {}",
            all.join(", ")
        )));
    }
    if let Some(unknown) = sites.iter().find(|s| known.values().all(|n| n.site != **s)) {
        let all: BTreeSet<&str> = known.values().map(|n| n.site.as_str()).collect();
        let all: Vec<&str> = all.into_iter().collect();
        return Err(Trouble::Other(format!(
            "--site: no node is of {unknown:?}; expected one of {}",
            all.join(", ")
        )));
    }
    let all = nodes.is_empty() && sites.is_empty();
    let chosen =
        |n: &&Node| n.takes && (all || nodes.contains(&n.address) || sites.contains(&n.site));
    let drain: BTreeSet<SocketAddr> = known.values().filter(chosen).map(|n| n.address).collect();
    let together = join(files);
    let plan = drains(&generation, &together, &here, &drain, at_once).map_err(Trouble::Other)?;
    let text = if with.json {
        json!(plan).to_string()
    } else {
        words(&plan, &known)
    };
    if plan.stuck.is_empty() {
        Ok(text)
    } else {
        Err(Trouble::Broken(text))
    }
}

/// Several files as one: each state keeps to its own file's expectations.
fn join(files: Vec<Expectations>) -> Expectations {
    files
        .into_iter()
        .fold(Expectations::default(), |mut all, file| {
            let before = all.states.len();
            let moved = file.list.into_iter().map(|mut e| {
                e.states.iter_mut().for_each(|s| *s += before);
                e
            });
            all.list.extend(moved);
            all.states.extend(file.states);
            all.nodes.extend(file.nodes);
            all.file = if all.file.is_empty() {
                file.file
            } else {
                format!("{}, {}", all.file, file.file)
            };
            all
        })
}

fn words(plan: &Plan, known: &BTreeMap<SocketAddr, Node>) -> String {
    let mut lines = Vec::new();
    for (n, batch) in plan.batches.iter().enumerate() {
        let node = |a: &SocketAddr| match known.get(a).filter(|n| !n.site.is_empty()) {
            Some(node) => format!("{a} ({})", node.site),
            None => a.to_string(),
        };
        lines.push(format!(
            "batch {}: {}",
            n + 1,
            batch.iter().map(node).collect::<Vec<_>>().join(", ")
        ));
    }
    lines.extend(
        plan.stuck
            .iter()
            .map(|(node, why)| format!("{node} can't be drained: {why:?} would fail")),
    );
    let drained: usize = plan.batches.iter().map(Vec::len).sum();
    let sure = if plan.proven {
        "fewer batches can't do"
    } else {
        "fewer batches may do"
    };
    lines.push(format!(
        "{drained} nodes in {} batches, {sure}; begin each when the one before serves again and is warm",
        plan.batches.len()
    ));
    lines.join("\n")
}
