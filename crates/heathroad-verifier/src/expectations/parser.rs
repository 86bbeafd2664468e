//! The parser of the expectations file.

use super::{
    Bounds, Expectation, Expectations, MAX_ENTRIES, QUANTITIES, Requirement, RetryLimit, Targets,
};
use crate::failure_scenarios::{FailureDomain, FailureScenario, Loss};
use crate::nodes::Node;
use heathroad_routing::config::error::ConfigErrors;
use heathroad_routing::config::parser::{Section, parse_document};
use heathroad_routing::config::{parse_condition, parse_deduplication_scope};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use toml::de::DeValue;

/// The maximum number of nodes, sites or blocks that may be lost together.
const MAX_LOST: u32 = 1_000;
/// The maximum bound of a quantity.
const MAX_QUANTITY: f64 = 1e9;
/// The maximum number of pools with a required share of a route's requests.
const MAX_POOL_PARTS: usize = 64;

/// Parses and checks the text of a file. `file` is its name in error messages.
///
/// # Errors
///
/// Returns all errors of the file, sorted by line.
pub fn parse(file: &str, text: &str) -> Result<Expectations, ConfigErrors> {
    parse_document(file, text, |root| {
        let scenarios = parse_scenarios(root);
        Expectations {
            file: file.to_string(),
            nodes: parse_nodes(root),
            list: parse_list(root, &scenarios),
            scenarios,
        }
    })
}

fn parse_nodes(root: &Section<'_, '_>) -> Vec<Node> {
    let mut nodes: Vec<Node> = Vec::new();
    for section in root.tables("node", MAX_ENTRIES) {
        let Some(node) = parse_node(&section) else {
            continue;
        };
        if nodes.iter().any(|other| other.address == node.address) {
            let reason = format!("{} is listed twice", node.address);
            section.report("address", reason, "each node once");
        }
        nodes.push(node);
    }
    nodes
}

fn parse_node(section: &Section<'_, '_>) -> Option<Node> {
    let address = section.required_address("address");
    let registry = section.value("registry");
    let registry = registry.filter(|r| r.get_ref().as_str() != Some("default"));
    let registry = registry.and_then(|r| section.parse_address(r, "registry"));
    let site = section.string("site").unwrap_or_default();
    let class = section.string("class").unwrap_or_default();
    let block = section
        .integer("block", 0, u32::from(u16::MAX))
        .unwrap_or(0) as u16;
    let is_available = section.boolean("takes").unwrap_or(true);
    section.reject_unknown_keys();
    Some(Node {
        address: address?,
        registry,
        site,
        class,
        block,
        is_available,
    })
}

fn parse_scenarios(root: &Section<'_, '_>) -> Vec<FailureScenario> {
    let mut names = BTreeMap::new();
    let sections = root.tables("state", MAX_ENTRIES);
    sections
        .iter()
        .map(|section| parse_scenario(section, &mut names))
        .collect()
}

fn parse_scenario(
    section: &Section<'_, '_>,
    names: &mut BTreeMap<String, usize>,
) -> FailureScenario {
    let name = section.unique_name(names);
    let draining = parse_addresses(section, "drains");
    let gone = parse_addresses(section, "gone");
    let scenario = FailureScenario {
        name,
        nodes: draining.into_iter().chain(gone).collect(),
        sites: section.string_list("sites_gone").into_iter().collect(),
        blocks: parse_blocks(section, "blocks_gone")
            .into_iter()
            .collect::<BTreeSet<_>>(),
    };
    section.reject_unknown_keys();
    if scenario.is_empty() {
        let expected = "one of `drains`, `gone`, `sites_gone` and `blocks_gone`, not empty";
        section.report_missing("drains", expected);
    }
    scenario
}

fn parse_list(root: &Section<'_, '_>, scenarios: &[FailureScenario]) -> Vec<Expectation> {
    let mut names = BTreeMap::new();
    let sections = root.tables("expect", MAX_ENTRIES);
    let list: Vec<Expectation> = sections
        .iter()
        .map(|section| parse_expectation(section, scenarios, &mut names))
        .collect();
    if list.is_empty() {
        let expected = "one [[expect]] at the least";
        root.document
            .report(0, "expect", "is missing or empty", expected);
    }
    list
}

fn parse_expectation(
    section: &Section<'_, '_>,
    scenarios: &[FailureScenario],
    names: &mut BTreeMap<String, usize>,
) -> Expectation {
    let expectation = Expectation {
        name: section.unique_name(names),
        line: section.document.line_at(section.offset),
        scope: parse_condition(section),
        may_be_empty: section.boolean("may_be_empty").unwrap_or(false),
        scenarios: parse_scenario_references(section, scenarios),
        loss: parse_loss(section),
        requirements: parse_requirements(section),
    };
    if expectation.requirements.is_empty() {
        let expected = "a requirement, such as `only`, `never`, `served` or `nodes`";
        section.report_missing("only", expected);
    }
    section.reject_unknown_keys();
    expectation
}

fn parse_scenario_references(
    section: &Section<'_, '_>,
    scenarios: &[FailureScenario],
) -> Vec<usize> {
    let mut indices = Vec::new();
    for name in section.string_list("states") {
        match scenarios.iter().position(|scenario| scenario.name == name) {
            Some(index) => indices.push(index),
            None => {
                let known: Vec<&str> = scenarios.iter().map(|s| s.name.as_str()).collect();
                let expected = format!("one of the [[state]] names: {}", known.join(", "));
                section.report("states", format!("no state {name:?}"), expected);
            }
        }
    }
    indices
}

fn parse_loss(section: &Section<'_, '_>) -> Option<Loss> {
    let table = section.table("losing")?;
    let domains = [
        ("nodes", FailureDomain::Node),
        ("sites", FailureDomain::Site),
        ("blocks", FailureDomain::Block),
    ];
    let parse = |(key, domain)| {
        let count = table.integer(key, 1, MAX_LOST)? as usize;
        Some(Loss { domain, count })
    };
    let losses: Vec<Loss> = domains.into_iter().filter_map(parse).collect();
    table.reject_unknown_keys();
    let [loss] = losses.as_slice() else {
        let expected = "one of `nodes`, `sites` and `blocks`, and how many";
        let (field, reason) = (
            section.field("losing"),
            format!("has {} of them", losses.len()),
        );
        section
            .document
            .report(table.offset, field, reason, expected);
        return None;
    };
    Some(*loss)
}

fn parse_requirements(section: &Section<'_, '_>) -> Vec<Requirement> {
    let mut requirements = Vec::new();
    requirements.extend(parse_targets(section, "only").map(Requirement::Only));
    requirements.extend(parse_targets(section, "never").map(Requirement::Never));
    requirements.extend(section.boolean("served").map(Requirement::Served));
    if section.has("again") {
        let choices = [("never", RetryLimit::Never), ("keyed", RetryLimit::Keyed)];
        let limit = section.choice("again", &choices, "\"never\" or \"keyed\"");
        requirements.push(Requirement::Retries(limit));
    }
    if section.has("group") {
        let scope = parse_deduplication_scope(section);
        requirements.push(Requirement::Deduplicated(scope));
    }
    for (key, quantity) in QUANTITIES {
        if let Some(table) = section.table(key) {
            let bounds = parse_bounds(&table, MAX_QUANTITY);
            requirements.push(Requirement::Quantity(quantity, bounds));
            table.reject_unknown_keys();
        }
    }
    let pool_parts = section.tables("share", MAX_POOL_PARTS);
    requirements.extend(pool_parts.iter().map(parse_pool_part));
    requirements
}

fn parse_pool_part(section: &Section<'_, '_>) -> Requirement {
    let pool = section.string("pool");
    if pool.is_none() {
        section.report_missing("pool", "a pool's name");
    }
    let bounds = parse_bounds(section, 1.0);
    section.reject_unknown_keys();
    Requirement::PoolPart {
        pool: pool.unwrap_or_default(),
        bounds,
    }
}

fn parse_bounds(section: &Section<'_, '_>, max: f64) -> Bounds {
    let at_least = section.number("at_least", 0.0, max);
    let at_most = section.number("at_most", 0.0, max);
    if !section.has("at_least") && !section.has("at_most") {
        section.report_missing("at_least", "`at_least`, `at_most` or both");
    }
    let bounds = Bounds {
        at_least: at_least.unwrap_or(0.0),
        at_most: at_most.unwrap_or(f64::MAX),
    };
    if bounds.at_least > bounds.at_most {
        let reason = format!("{} is above at_most, {}", bounds.at_least, bounds.at_most);
        let expected = "a lower bound that is not above the upper one";
        section.report("at_least", reason, expected);
    }
    bounds
}

fn parse_targets(section: &Section<'_, '_>, key: &'static str) -> Option<Targets> {
    let table = section.table(key)?;
    let targets = Targets {
        pools: table.string_list("pools"),
        nodes: parse_addresses(&table, "nodes"),
        sites: table.string_list("sites"),
        blocks: parse_blocks(&table, "blocks"),
        machine_classes: table.string_list("kinds"),
    };
    table.reject_unknown_keys();
    if targets == Targets::default() {
        let expected = "one of `pools`, `nodes`, `sites`, `blocks` and `kinds`, not empty";
        table.report_missing("pools", expected);
    }
    Some(targets)
}

fn parse_addresses(section: &Section<'_, '_>, key: &'static str) -> Vec<SocketAddr> {
    let expected = "addresses and ports, such as 10.1.0.18:9000";
    section.list(key, expected, |value| value.as_str()?.parse().ok())
}

fn parse_blocks(section: &Section<'_, '_>, key: &'static str) -> Vec<u16> {
    section.list(key, "numbers of blocks", |value| match value {
        DeValue::Integer(i) => u16::from_str_radix(i.as_str(), i.radix()).ok(),
        _ => None,
    })
}
