//! Routes of the configuration file: their conditions and destinations.

use super::parser::Section;
use super::{LocatedPool, MAX_ROUTES};
use crate::condition::RouteCondition;
use crate::route::Route;
use crate::table::find_conflicts;
use crate::traffic_split::WeightedPool;
use std::collections::BTreeMap;

/// The maximum number of pools in a traffic split.
const MAX_SPLIT_POOLS: usize = 64;
/// The maximum weight of a pool in a traffic split.
const MAX_WEIGHT: f64 = 1e6;

/// Parses all `[[route]]` tables and reports conflicts between them.
pub(super) fn parse_routes(
    root: &Section<'_, '_>,
    pools: &[LocatedPool],
    tenants: &[String],
) -> Vec<Route> {
    let mut names = BTreeMap::new();
    let sections = root.tables("route", MAX_ROUTES);
    let routes: Vec<Route> = sections
        .iter()
        .map(|section| parse_route(section, pools, tenants, &mut names))
        .collect();
    if routes.is_empty() {
        let expected = "one [[route]] at the least";
        root.document
            .report(0, "route", "is missing or empty", expected);
    }
    report_conflicts(root, &routes);
    routes
}

fn parse_route(
    section: &Section<'_, '_>,
    pools: &[LocatedPool],
    tenants: &[String],
    names: &mut BTreeMap<String, usize>,
) -> Route {
    let route = Route {
        name: section.unique_name(names),
        condition: parse_condition(section),
        destinations: parse_destinations(section, pools),
        line: section.document.line_at(section.offset),
    };
    report_unknown_tenant(section, &route.condition, tenants);
    report_unserved_class(section, &route, pools);
    section.reject_unknown_keys();
    route
}

fn report_unknown_tenant(
    section: &Section<'_, '_>,
    condition: &RouteCondition,
    tenants: &[String],
) {
    let Some(tenant) = &condition.tenant else {
        return;
    };
    if !tenants.is_empty() && !tenants.contains(tenant) {
        let reason = format!("no tenant {tenant:?}, so the route is unreachable");
        let expected = format!("one of `tenants`: {}", tenants.join(", "));
        section.report("tenant", reason, expected);
    }
}

fn report_unserved_class(section: &Section<'_, '_>, route: &Route, pools: &[LocatedPool]) {
    let Some(class) = &route.condition.class else {
        return;
    };
    for destination in &route.destinations {
        let Some(LocatedPool { pool, .. }) = pools.get(destination.pool) else {
            continue;
        };
        let served: Vec<&str> = pool.classes.iter().map(|c| c.name.as_str()).collect();
        if !served.contains(&class.as_str()) {
            let reason = format!("pool {:?} does not serve class {class:?}", pool.name);
            section.report("class", reason, format!("one of {}", served.join(", ")));
        }
    }
}

fn report_conflicts(root: &Section<'_, '_>, routes: &[Route]) {
    for conflict in find_conflicts(routes) {
        let first = &routes[conflict.first];
        let offset = root.document.line_start(routes[conflict.second].line);
        let field = format!("route[{}]", conflict.second);
        let expected = "one most specific route for each request";
        root.document
            .report(offset, field, conflict.describe(first), expected);
    }
}

/// Parses the keys of a section that are conditions on requests.
pub fn parse_condition(section: &Section<'_, '_>) -> RouteCondition {
    RouteCondition {
        listener: section.string("listener"),
        host: parse_host(section),
        path: parse_path(section),
        method: section.string("method"),
        class: section.string("class"),
        tenant: section.string("tenant"),
        header: parse_header(section),
    }
}

fn parse_path(section: &Section<'_, '_>) -> Option<String> {
    let path = section.string("path")?;
    if !path.starts_with('/') || path.contains("/*/") || path.contains('?') {
        let expected = "a path that starts with /, or a prefix that ends with /*";
        section.report("path", format!("is {path:?}"), expected);
    }
    Some(path)
}

fn parse_host(section: &Section<'_, '_>) -> Option<String> {
    let host = section.string("host")?.to_ascii_lowercase();
    if host.trim_start_matches("*.").contains(['*', '/']) {
        let expected = "a host name, optionally with the prefix *.";
        section.report("host", format!("is {host:?}"), expected);
    }
    Some(host)
}

fn parse_header(section: &Section<'_, '_>) -> Option<(String, String)> {
    let value = section.value("header")?;
    let Some(table) = value.get_ref().as_table() else {
        section.report_kind(value, "header", "a table with `name` and `is`");
        return None;
    };
    let header = section.child(table, value.span().start, section.field("header"));
    let (name, value) = (header.string("name"), header.string("is"));
    if name.is_none() || value.is_none() {
        header.report_missing("name", "`name` and `is`");
    }
    header.reject_unknown_keys();
    Some((name?.to_ascii_lowercase(), value?))
}

fn parse_destinations(section: &Section<'_, '_>, pools: &[LocatedPool]) -> Vec<WeightedPool> {
    let pool = section.string("pool");
    let split = section.tables("split", MAX_SPLIT_POOLS);
    match (pool, split.is_empty()) {
        (Some(name), true) => {
            let pool = find_pool(section, pools, &name);
            pool.map(|pool| WeightedPool { pool, weight: 1.0 })
                .into_iter()
                .collect()
        }
        (None, false) => parse_split(section, &split, pools),
        (pool, _) => {
            let reason = match pool {
                Some(_) => "both a pool and a split",
                None => "neither a pool nor a split",
            };
            let expected = "`pool`, or `[[route.split]]` with weights";
            section.report("pool", reason, expected);
            Vec::new()
        }
    }
}

fn parse_split(
    section: &Section<'_, '_>,
    split: &[Section<'_, '_>],
    pools: &[LocatedPool],
) -> Vec<WeightedPool> {
    let mut destinations: Vec<WeightedPool> = Vec::new();
    for part in split {
        let weight = part.required_number("weight", 0.0, MAX_WEIGHT);
        let name = part.string("pool");
        if name.is_none() {
            part.report_missing("pool", "a pool's name");
        }
        let pool = name.as_ref().and_then(|name| find_pool(part, pools, name));
        if let (Some(pool), Some(name)) = (pool, name) {
            if destinations.iter().any(|d| d.pool == pool) {
                part.report(
                    "pool",
                    format!("{name:?} is listed twice"),
                    "each pool once",
                );
            } else {
                destinations.push(WeightedPool { pool, weight });
            }
        }
        part.reject_unknown_keys();
    }
    let is_complete = destinations.len() == split.len();
    if is_complete && destinations.iter().all(|d| d.weight == 0.0) {
        let reason = "all weights are 0";
        section.report("split", reason, "one weight above 0 at the least");
    }
    destinations
}

/// Returns the index of a pool by name, or reports that there is none.
fn find_pool(section: &Section<'_, '_>, pools: &[LocatedPool], name: &str) -> Option<usize> {
    let index = pools.iter().position(|located| located.pool.name == name);
    if index.is_none() {
        let names: Vec<&str> = pools.iter().map(|l| l.pool.name.as_str()).collect();
        let expected = format!("one of {}", names.join(", "));
        section.report("pool", format!("no pool {name:?}"), expected);
    }
    index
}
