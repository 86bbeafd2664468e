//! A human-readable description of a change: which requests move to which pools, and how pools and
//! listeners change.

use crate::condition::{RequestAttributes, RouteCondition};
use crate::config::{
    BackendSource, Class, Config, Idempotency, Listener, Method, Pool, TenantSource,
};
use crate::generation::Generation;
use crate::traffic_split::WeightedPool;
use std::collections::{BTreeSet, HashSet};

/// A value that matches no condition.
const UNMATCHED_VALUE: &str = "\u{1}";

/// Describes the change from one generation to another. Returns no lines if nothing changes.
pub fn describe_changes(from: &Generation, to: &Generation) -> Vec<String> {
    let mut lines = Vec::new();
    describe_pools(&from.config, &to.config, &mut lines);
    describe_routes(from, to, &mut lines);
    describe_listeners(&from.config, &to.config, &mut lines);
    lines
}

fn describe_pools(from: &Config, to: &Config, lines: &mut Vec<String>) {
    let find =
        |config: &Config, name: &str| config.pools.iter().find(|pool| pool.name == name).cloned();
    for new in &to.pools {
        match find(from, &new.name) {
            None => {
                let source = describe_source(&new.source);
                lines.push(format!("pool {} is added: {source}", new.name));
            }
            Some(old) => describe_pool(&old, new, lines),
        }
    }
    for old in from
        .pools
        .iter()
        .filter(|pool| find(to, &pool.name).is_none())
    {
        lines.push(format!(
            "pool {} is removed; its open requests are completed",
            old.name
        ));
    }
}

fn describe_source(source: &BackendSource) -> String {
    match source {
        BackendSource::List(backends) => format!("{} listed backends", backends.len()),
        BackendSource::Registry { address, select } => {
            let registry = match address {
                Some(address) => format!("the registry at {address}"),
                None => "the default registry".to_string(),
            };
            let labels: Vec<String> = select.iter().map(|(k, v)| format!("{k} {v}")).collect();
            if labels.is_empty() {
                format!("all of {registry}")
            } else {
                format!("{} of {registry}", labels.join(", "))
            }
        }
    }
}

fn describe_pool(old: &Pool, new: &Pool, lines: &mut Vec<String>) {
    let name = &new.name;
    describe_backends(old, new, lines);
    for class in &new.classes {
        match old.classes.iter().find(|o| o.name == class.name) {
            None => lines.push(format!("pool {name} begins to serve class {}", class.name)),
            Some(old_class) => describe_class(name, old_class, class, lines),
        }
    }
    for class in &old.classes {
        if new.classes.iter().all(|c| c.name != class.name) {
            lines.push(format!("pool {name} no longer serves class {}", class.name));
        }
    }
    if old.jsonrpc != new.jsonrpc {
        lines.push(format!(
            "pool {name}: the JSON-RPC settings of its backends change"
        ));
    }
    if old.max_open_requests != new.max_open_requests {
        let limit = |limit: Option<u32>| {
            limit.map_or("the daemon's limit".to_string(), |limit| limit.to_string())
        };
        lines.push(format!(
            "pool {name}: maximum open requests {} instead of {}",
            limit(new.max_open_requests),
            limit(old.max_open_requests)
        ));
    }
}

fn describe_backends(old: &Pool, new: &Pool, lines: &mut Vec<String>) {
    let name = &new.name;
    match (&old.source, &new.source) {
        (BackendSource::List(old_list), BackendSource::List(new_list)) => {
            let [before, after] = [old_list, new_list]
                .map(|list| list.iter().map(|b| b.address).collect::<BTreeSet<_>>());
            for (addresses, verb) in [(&after - &before, "joins"), (&before - &after, "leaves")] {
                let changes = addresses.iter();
                lines
                    .extend(changes.map(|address| format!("backend {address} {verb} pool {name}")));
            }
            if before == after && old_list != new_list {
                lines.push(format!(
                    "pool {name}: sites, blocks or weights of its backends change"
                ));
            }
        }
        (old_source, new_source) if old_source != new_source => lines.push(format!(
            "pool {name} takes its backends from {} instead of {}",
            describe_source(new_source),
            describe_source(old_source)
        )),
        _ => {}
    }
}

fn describe_idempotency(idempotency: Idempotency) -> String {
    match idempotency {
        Idempotency::Idempotent => "idempotent".into(),
        Idempotency::NonIdempotent => "non-idempotent".into(),
        Idempotency::Keyed { scope, window_ms } => {
            format!("keyed, scope {scope}, window {window_ms} ms")
        }
    }
}

fn describe_class(pool: &str, old: &Class, new: &Class, lines: &mut Vec<String>) {
    let name = &new.name;
    if old.idempotency != new.idempotency {
        lines.push(format!(
            "pool {pool}, class {name}: {} instead of {}; open requests are not affected",
            describe_idempotency(new.idempotency),
            describe_idempotency(old.idempotency)
        ));
    }
    let durations = [
        ("aim", old.latency_objective_ms, new.latency_objective_ms),
        ("deadline", old.deadline_ms, new.deadline_ms),
    ];
    for (key, before, after) in durations {
        if before != after {
            lines.push(format!(
                "pool {pool}, class {name}: {key} {after} ms instead of {before} ms"
            ));
        }
    }
    if old.priority_weight != new.priority_weight {
        lines.push(format!(
            "pool {pool}, class {name}: worth {} instead of {}",
            new.priority_weight, old.priority_weight
        ));
    }
}

/// Describes the changed destinations of all routes of both generations.
fn describe_routes(from: &Generation, to: &Generation, lines: &mut Vec<String>) {
    let mut seen = HashSet::new();
    for route in from.config.routes.iter().chain(&to.config.routes) {
        let condition = &route.condition;
        if !seen.insert(condition) {
            continue;
        }
        let [before, after] = [from, to].map(|generation| pool_shares(generation, condition));
        if before != after {
            lines.push(format!(
                "{} go to {} instead of {}",
                condition.describe(),
                describe_shares(&after),
                describe_shares(&before)
            ));
        }
    }
}

/// A pool's share of the requests of a route.
#[derive(Debug, PartialEq)]
struct PoolShare {
    pool: String,
    /// From 0 to 1.
    fraction: f64,
}

/// Returns the pools to which a generation sends the requests that satisfy a condition, by name.
fn pool_shares(generation: &Generation, condition: &RouteCondition) -> Vec<PoolShare> {
    let host = condition.host.as_deref().unwrap_or(UNMATCHED_VALUE);
    let path = condition.path.as_deref().unwrap_or("/*");
    let text =
        |value: &Option<String>| value.clone().unwrap_or_else(|| UNMATCHED_VALUE.to_string());
    let header = |name: &str| {
        let (expected_name, value) = condition.header.as_ref()?;
        (expected_name == name).then_some(value.as_str())
    };
    let route = generation.table.find_route(&RequestAttributes {
        listener: &text(&condition.listener),
        host: &host.replace('*', UNMATCHED_VALUE),
        path: &path.replace('*', UNMATCHED_VALUE),
        method: &text(&condition.method),
        class: &text(&condition.class),
        tenant: &text(&condition.tenant),
        header: &header,
    });
    let destinations: &[WeightedPool] = route.map_or(&[], |route| &route.destinations);
    let total: f64 = destinations.iter().map(|d| d.weight).sum();
    let mut shares: Vec<PoolShare> = destinations
        .iter()
        .filter(|destination| destination.weight > 0.0)
        .map(|destination| PoolShare {
            pool: generation.config.pools[destination.pool].name.clone(),
            fraction: destination.weight / total,
        })
        .collect();
    shares.sort_by(|a, b| a.pool.cmp(&b.pool));
    shares
}

fn describe_shares(shares: &[PoolShare]) -> String {
    match shares {
        [] => "no pool".to_string(),
        [only] => only.pool.clone(),
        several => {
            let percentages = several
                .iter()
                .map(|PoolShare { pool, fraction }| format!("{:.1}% to {pool}", fraction * 100.0));
            percentages.collect::<Vec<_>>().join(", ")
        }
    }
}

fn describe_listeners(from: &Config, to: &Config, lines: &mut Vec<String>) {
    let find =
        |config: &Config, name: &str| config.listeners.iter().find(|l| l.name == name).cloned();
    for new in &to.listeners {
        match find(from, &new.name) {
            None => lines.push(format!("listener {} is added on {}", new.name, new.address)),
            Some(old) => describe_listener(&old, new, lines),
        }
    }
    for old in from
        .listeners
        .iter()
        .filter(|l| find(to, &l.name).is_none())
    {
        lines.push(format!(
            "listener {} is removed; its open calls are completed",
            old.name
        ));
    }
}

fn describe_listener(old: &Listener, new: &Listener, lines: &mut Vec<String>) {
    let name = &new.name;
    if (&old.tenant_source, &old.default_method) != (&new.tenant_source, &new.default_method) {
        lines.push(format!(
            "listener {name}: the tenant source or the class of unknown methods changes"
        ));
    }
    // Connections are kept if only tenants and methods change.
    let connection_settings = |listener: &Listener| Listener {
        methods: Default::default(),
        tenant_source: TenantSource::None,
        default_method: None,
        ..listener.clone()
    };
    if connection_settings(old) != connection_settings(new) {
        lines.push(format!(
            "listener {name} changes; its connections close once their calls are answered"
        ));
    }
    let methods: BTreeSet<&String> = old.methods.keys().chain(new.methods.keys()).collect();
    for method in methods {
        let (before, after) = (old.methods.get(method), new.methods.get(method));
        lines.extend(describe_method(name, method, before, after));
    }
}

fn describe_method(
    listener: &str,
    method: &str,
    old: Option<&Method>,
    new: Option<&Method>,
) -> Option<String> {
    match (old, new) {
        (Some(old), Some(new)) if old.class != new.class => Some(format!(
            "listener {listener}, method {method}: class {} instead of {}",
            new.class, old.class
        )),
        (Some(old), Some(new)) if old != new => Some(format!(
            "listener {listener}, method {method}: the location of the idempotency key changes"
        )),
        (None, Some(new)) => Some(format!(
            "listener {listener} begins to accept method {method}, class {}",
            new.class
        )),
        (Some(_), None) => Some(format!(
            "listener {listener} no longer accepts method {method}"
        )),
        _ => None,
    }
}
