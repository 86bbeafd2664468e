//! The commands that verify a routing configuration: `expect` and `drains`.

use super::admin_client;
use super::arguments::VerificationInputs;
use crate::configuration::{self, routes, verification_gate};
use heathroad_routing::generation::Generation;
use heathroad_verifier::drain_plan::{DrainPlan, plan_drains};
use heathroad_verifier::nodes::pool_nodes;
use heathroad_verifier::{Environment, Expectations, Node, Report, verify};
use hyper::Method;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

/// The path of the admin address that returns the nodes of a running daemon.
const NODES_PATH: &str = "/config/nodes";

/// Why a command fails.
pub enum CommandError {
    /// An expectation fails or a node can't drain. The text is the output of the command.
    Negative(String),
    /// Something can't be read, requested or verified.
    Other(String),
}

/// What the arguments of a command refer to.
struct Inputs {
    generation: Rc<Generation>,
    files: Vec<Expectations>,
    environment: Environment,
}

/// Reads a file of routes.
pub(super) fn read_routes(file: &Path) -> Result<Rc<Generation>, String> {
    routes::read(file, 0).map_err(|error| error.to_string())
}

fn read_expectations(file: &Path) -> Result<Expectations, String> {
    verification_gate::read(file).map_err(|error| error.to_string())
}

fn read_inputs(arguments: &VerificationInputs) -> Result<Inputs, String> {
    let generation = read_routes(&arguments.routes)?;
    let files = arguments
        .expectations
        .iter()
        .map(|file| read_expectations(file));
    let files = files.collect::<Result<Vec<_>, _>>()?;
    let mut environment = match &arguments.settings {
        Some(file) => {
            let config = configuration::check(file).map_err(|error| error.to_string())?;
            verification_gate::environment(&config.settings, config.discovery, Vec::new())
        }
        None => Environment::default(),
    };
    if arguments.live {
        environment.nodes = request_nodes(arguments)?;
        // A daemon tells the addresses of its registries. Without its settings, the default one is
        // known if there is no other.
        let only_registry = find_only_registry(&environment.nodes);
        environment.default_registry = environment.default_registry.or(only_registry);
    } else {
        environment.nodes = files.iter().flat_map(|file| file.nodes.clone()).collect();
    }
    Ok(Inputs {
        generation,
        files,
        environment,
    })
}

/// Requests the nodes of a running daemon.
fn request_nodes(arguments: &VerificationInputs) -> Result<Vec<Node>, String> {
    let address = arguments.at.admin;
    let response = admin_client::call(address, Method::GET, NODES_PATH, String::new())?;
    serde_json::from_str(&response).map_err(|error| format!("the daemon's nodes: {error}"))
}

/// Returns the registry of all nodes, if they have only one.
fn find_only_registry(nodes: &[Node]) -> Option<SocketAddr> {
    let registries: BTreeSet<SocketAddr> = nodes.iter().filter_map(|node| node.registry).collect();
    let mut registries = registries.into_iter();
    registries.next().filter(|_| registries.next().is_none())
}

/// Verifies routes against files of expectations, and returns the output of the command.
///
/// # Errors
///
/// Fails if an expectation does, or if something can't be read or verified.
pub fn run_expect(arguments: &VerificationInputs) -> Result<String, CommandError> {
    let inputs = read_inputs(arguments).map_err(CommandError::Other)?;
    let files = inputs.files.iter();
    let reports = files.map(|file| verify(&inputs.generation, file, &inputs.environment));
    let reports: Vec<Report> = reports
        .collect::<Result<_, _>>()
        .map_err(|error| CommandError::Other(error.to_string()))?;
    let output = if arguments.json {
        reports_as_json(&inputs.generation, &reports)
    } else {
        reports_as_text(&reports)
    };
    if reports.iter().all(Report::holds) {
        Ok(output)
    } else {
        Err(CommandError::Negative(output))
    }
}

fn reports_as_json(generation: &Generation, reports: &[Report]) -> String {
    let holds = reports.iter().all(Report::holds);
    let files: Vec<_> = reports
        .iter()
        .map(|report| json!({"file": report.file, "verdicts": report.verdicts}))
        .collect();
    json!({"digest": generation.digest, "holds": holds, "files": files}).to_string()
}

fn reports_as_text(reports: &[Report]) -> String {
    let mut lines: Vec<String> = reports.iter().flat_map(Report::failures).collect();
    let verdicts = || reports.iter().flat_map(|report| &report.verdicts);
    let expectations = verdicts().count();
    let cases: usize = verdicts().map(|verdict| verdict.case_count).sum();
    let failures = lines.len();
    lines.push(match failures {
        0 => format!("good: {expectations} expectations hold, looked at in {cases} cases"),
        _ => format!("{failures} of {expectations} expectations fail"),
    });
    lines.join("\n")
}

/// Plans drains by files of expectations, and returns the output of the command.
///
/// `nodes` and `sites` select the nodes to drain; without either, all nodes drain.
///
/// # Errors
///
/// Fails if a node can't drain, or if something can't be read or verified.
pub fn run_drains(
    arguments: &VerificationInputs,
    nodes: &[SocketAddr],
    sites: &[String],
    max_batch_size: usize,
) -> Result<String, CommandError> {
    let inputs = read_inputs(arguments).map_err(CommandError::Other)?;
    let known = collect_nodes(&inputs);
    let draining = select_nodes(&known, nodes, sites).map_err(CommandError::Other)?;
    let expectations = join_files(inputs.files);
    let plan = plan_drains(
        &inputs.generation,
        &expectations,
        &inputs.environment,
        &draining,
        max_batch_size,
    );
    let plan = plan.map_err(|error| CommandError::Other(error.to_string()))?;
    let output = if arguments.json {
        json!(plan).to_string()
    } else {
        plan_as_text(&plan, &known)
    };
    if plan.stuck.is_empty() {
        Ok(output)
    } else {
        Err(CommandError::Negative(output))
    }
}

/// Returns the nodes of all pools, by address.
fn collect_nodes(inputs: &Inputs) -> BTreeMap<SocketAddr, Node> {
    let environment = &inputs.environment;
    let pools = inputs.generation.config.pools.iter();
    let nodes =
        pools.filter_map(|p| pool_nodes(p, &environment.nodes, environment.default_registry));
    nodes.flatten().map(|node| (node.address, node)).collect()
}

/// Returns the available nodes that the arguments select.
fn select_nodes(
    known: &BTreeMap<SocketAddr, Node>,
    nodes: &[SocketAddr],
    sites: &[String],
) -> Result<BTreeSet<SocketAddr>, String> {
    if let Some(unknown) = nodes.iter().find(|address| !known.contains_key(address)) {
        let addresses: Vec<String> = known.keys().map(SocketAddr::to_string).collect();
        let expected = addresses.join(", ");
        return Err(format!(
            "--node: {unknown} is in no pool; expected one of {expected}"
        ));
    }
    let known_sites: BTreeSet<&str> = known.values().map(|node| node.site.as_str()).collect();
    if let Some(unknown) = sites
        .iter()
        .find(|site| !known_sites.contains(site.as_str()))
    {
        let expected = known_sites.into_iter().collect::<Vec<_>>().join(", ");
        return Err(format!(
            "--site: no node is of {unknown:?}; expected one of {expected}"
        ));
    }
    let selects_all = nodes.is_empty() && sites.is_empty();
    let is_selected = |node: &&Node| {
        node.is_available
            && (selects_all || nodes.contains(&node.address) || sites.contains(&node.site))
    };
    let selected = known.values().filter(is_selected);
    Ok(selected.map(|node| node.address).collect())
}

/// Joins several files. The references to scenarios stay within their file.
fn join_files(files: Vec<Expectations>) -> Expectations {
    let mut joined = Expectations::default();
    let names: Vec<String> = files.iter().map(|file| file.file.clone()).collect();
    joined.file = names.join(", ");
    for mut file in files {
        let offset = joined.scenarios.len();
        for expectation in &mut file.list {
            for scenario in &mut expectation.scenarios {
                *scenario += offset;
            }
        }
        joined.list.extend(file.list);
        joined.scenarios.extend(file.scenarios);
        joined.nodes.extend(file.nodes);
    }
    joined
}

fn plan_as_text(plan: &DrainPlan, known: &BTreeMap<SocketAddr, Node>) -> String {
    let describe = |address: &SocketAddr| match known.get(address) {
        Some(node) if !node.site.is_empty() => format!("{address} ({})", node.site),
        _ => address.to_string(),
    };
    let mut lines = Vec::new();
    for (index, batch) in plan.batches.iter().enumerate() {
        let nodes: Vec<String> = batch.iter().map(describe).collect();
        lines.push(format!("batch {}: {}", index + 1, nodes.join(", ")));
    }
    for node in &plan.stuck {
        let (address, expectation) = (node.address, &node.expectation);
        lines.push(format!(
            "{address} can't be drained: {expectation:?} would fail"
        ));
    }
    let node_count: usize = plan.batches.iter().map(Vec::len).sum();
    let batch_count = plan.batches.len();
    let certainty = if plan.is_minimal {
        "fewer batches can't do"
    } else {
        "fewer batches may do"
    };
    lines.push(format!(
        "{node_count} nodes in {batch_count} batches, {certainty}; begin each when the one before \
         serves again and is warm"
    ));
    lines.join("\n")
}
