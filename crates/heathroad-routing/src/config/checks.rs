//! Consistency checks between pools, routes and listeners.

use super::listener::Listener;
use super::parser::Document;
use super::pool::{BackendSource, ListedBackend};
use super::{LocatedPool, MAIN_LISTENER, connects_to};
use crate::route::Route;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Reports backends that a pool lists twice, and backends whose site or block differs between
/// pools.
pub(super) fn check_shared_backends(document: &Document<'_>, pools: &[LocatedPool]) {
    let mut first_seen: BTreeMap<SocketAddr, (&ListedBackend, &str)> = BTreeMap::new();
    for (index, LocatedPool { pool, offset }) in pools.iter().enumerate() {
        let BackendSource::List(backends) = &pool.source else {
            continue;
        };
        let field = format!("pool[{index}].backends");
        let mut addresses = BTreeSet::new();
        for backend in backends {
            let address = backend.address;
            if !addresses.insert(address) {
                let reason = format!("{address} is listed twice");
                document.report(
                    *offset,
                    &field,
                    reason,
                    "each address at most once per pool",
                );
            }
            let (first, first_pool) = *first_seen
                .entry(address)
                .or_insert((backend, pool.name.as_str()));
            if (&first.site, first.block) != (&backend.site, backend.block) {
                let reason =
                    format!("{address} has a different site or block in pool {first_pool:?}");
                let expected = "the same site and block in all pools";
                document.report(*offset, &field, reason, expected);
            }
        }
    }
}

/// Reports JSON-RPC backends that are a listener of this daemon, since calls would loop.
pub(super) fn check_listener_loops(
    document: &Document<'_>,
    pools: &[LocatedPool],
    listeners: &[Listener],
) {
    for (index, LocatedPool { pool, offset }) in pools.iter().enumerate() {
        let (BackendSource::List(backends), Some(jsonrpc)) = (&pool.source, pool.jsonrpc) else {
            continue;
        };
        for backend in backends {
            let port = jsonrpc.port.unwrap_or(backend.address.port());
            let address = SocketAddr::new(backend.address.ip(), port);
            let own_listener = listeners.iter().find(|l| connects_to(address, l.address));
            if let Some(listener) = own_listener {
                let name = &listener.name;
                let reason = format!("{address} is listener {name:?}, calls would loop");
                let field = format!("pool[{index}].backends");
                let expected = "no address of this daemon's listeners";
                document.report(*offset, field, reason, expected);
            }
        }
    }
}

/// Reports routes with an unknown listener or method, and routes that send JSON-RPC calls to a pool
/// that does not speak JSON-RPC.
pub(super) fn check_route_listeners(
    document: &Document<'_>,
    routes: &[Route],
    listeners: &[Listener],
    pools: &[LocatedPool],
) {
    for (index, route) in routes.iter().enumerate() {
        let offset = document.line_start(route.line);
        let report = |key: &str, reason: String, expected: String| {
            document.report(offset, format!("route[{index}].{key}"), reason, expected);
        };
        let listener_name = route.condition.listener.as_deref();
        let listener = listeners
            .iter()
            .find(|l| Some(l.name.as_str()) == listener_name);
        if let Some(name) =
            listener_name.filter(|name| *name != MAIN_LISTENER && listener.is_none())
        {
            let names = listeners.iter().map(|l| l.name.as_str());
            let known_names: Vec<&str> = [MAIN_LISTENER].into_iter().chain(names).collect();
            let reason = format!("no listener {name:?}, so the route is unreachable");
            report(
                "listener",
                reason,
                format!("one of {}", known_names.join(", ")),
            );
        }
        let method = route.condition.method.as_deref();
        if let Some(method) = method.filter(|m| !is_offered(m, listener_name, listeners)) {
            let reason =
                format!("no listener has a method {method:?}, so the route is unreachable");
            report("method", reason, "a method of a [[listener]]".into());
        }
        if listener.is_none() && method.is_none() {
            continue;
        }
        for destination in &route.destinations {
            let pool = pools.get(destination.pool).map(|located| &located.pool);
            if let Some(pool) = pool.filter(|p| p.jsonrpc.is_none()) {
                let reason = format!("JSON-RPC calls would go to pool {:?}", pool.name);
                report("pool", reason, "a pool with [pool.rpc]".into());
            }
        }
    }
}

/// Returns whether the route's listener, or any listener if it has none, offers a method.
fn is_offered(method: &str, route_listener: Option<&str>, listeners: &[Listener]) -> bool {
    listeners
        .iter()
        .filter(|l| route_listener.is_none_or(|name| name == l.name))
        .any(|l| l.methods.contains_key(method) || l.default_method.is_some())
}
