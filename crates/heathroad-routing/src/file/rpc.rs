//! What a file says of JSON-RPC: where calls come in, what their methods are, and how pools'
//! backends speak it.

use super::{Effect, MAX_MS, Pool, Route};
use crate::reader::{Lines, Section, kind};
use heathroad_jsonrpc::{Framing, Pointer};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};

/// The name of the daemon's own listener, for HTTP.
pub(crate) const MAIN: &str = "main";
/// Most listeners, and most methods of one.
const MAX_LISTENERS: usize = 64;
const MAX_METHODS: usize = 10_000;

/// How a pool's backends speak JSON-RPC.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Rpc {
    /// Their port for it, at the address that they have for HTTP; none is the very same.
    pub port: Option<u16>,
    /// How texts are told apart on connections to them.
    pub framing: Framing,
    /// Most calls at once on a connection.
    pub calls: u32,
    /// The code of an error that says: turned away unseen, never ran. None where they have no such
    /// word.
    pub declined: Option<i64>,
    /// Calls carry budgets, as members beside the specification's.
    pub budget: bool,
}

/// Where remote calls come in.
#[derive(Debug, Clone, PartialEq)]
pub struct Listener {
    /// Its name, for routes.
    pub name: String,
    /// Where callers connect.
    pub address: SocketAddr,
    /// How texts are told apart.
    pub framing: Framing,
    /// Answers go out in the order in which they were asked for.
    pub in_order: bool,
    /// Most connections at once.
    pub connections: u32,
    /// Most calls in work at once on a connection.
    pub calls: u32,
    /// Most bytes of a text.
    pub text: usize,
    /// Most members of a batch.
    pub batch: usize,
    /// A connection may rest so long, in milliseconds.
    pub idle_ms: f64,
    /// Who calls.
    pub tenant: TenantFrom,
    /// Its methods by name.
    pub methods: HashMap<String, Method>,
    /// The class of methods that are not named; without one they are turned down.
    pub unknown: Option<Method>,
}

/// What tells a caller's tenant.
#[derive(Debug, Clone, PartialEq)]
pub enum TenantFrom {
    /// Nothing: it has none.
    Nothing,
    /// The listener: all its callers are one tenant's.
    Fixed(String),
    /// The connection: by the address that it comes from.
    Connection(BTreeMap<IpAddr, String>),
    /// Each call: a text in its parameters.
    Params(Pointer),
}

/// A method.
#[derive(Debug, Clone, PartialEq)]
pub struct Method {
    /// Its class.
    pub class: String,
    /// Where its key lies in its parameters.
    pub key: Option<Pointer>,
}

/// The classes that pools which speak JSON-RPC serve, and whether one of them has it keyed or other
/// than unsafe.
struct Served {
    keyed: bool,
    repeats: bool,
}

fn served(pools: &[(Pool, usize)]) -> BTreeMap<&str, Served> {
    let mut classes = BTreeMap::new();
    for c in pools
        .iter()
        .filter(|(p, _)| p.rpc.is_some())
        .flat_map(|(p, _)| &p.classes)
    {
        let entry = classes.entry(c.name.as_str()).or_insert(Served {
            keyed: false,
            repeats: false,
        });
        entry.keyed |= matches!(c.effect, Effect::Keyed { .. });
        entry.repeats |= c.effect != Effect::Unsafe;
    }
    classes
}

impl<'a> Lines<'a> {
    pub(super) fn listeners(
        &'a self,
        root: &Section<'a, '_>,
        pools: &[(Pool, usize)],
        tenants: &[String],
    ) -> Vec<Listener> {
        let (mut names, classes) = (BTreeMap::new(), served(pools));
        let mut addresses = BTreeMap::new();
        let mut listeners = Vec::new();
        for s in root.sections("listener", MAX_LISTENERS) {
            let name = s.name(&mut names);
            if name == MAIN {
                let reason = format!("{MAIN:?} is the daemon's own, for HTTP");
                self.fault(s.at, s.field("name"), reason, "a name of its own");
            }
            let protocol = s.text("protocol");
            if protocol.as_deref() != Some("json-rpc") {
                let is = protocol.map_or("is missing".to_string(), |p| format!("is {p:?}"));
                self.fault(s.at, s.field("protocol"), is, "\"json-rpc\"");
            }
            let address = s.get("listen").and_then(|v| s.address(v, "listen"));
            if s.get("listen").is_none() {
                s.missing("listen", "an address and port");
            }
            // Port 0 is any that is free, for each listener another.
            if let Some(at) = address.filter(|a| a.port() != 0)
                && let Some(other) = addresses.insert(at, name.clone())
            {
                let reason = format!("{at} is {other:?}'s too");
                self.fault(s.at, s.field("listen"), reason, "an address of its own");
            }
            let in_order = s.choice(
                "order",
                &[("any", false), ("asked", true)],
                "\"any\" or \"asked\"",
            );
            let framing = s.framing();
            let tenant = s.tenant_from(tenants);
            let methods = s.methods(&classes);
            let unknown = s.unknown(&classes);
            if methods.is_empty() && unknown.is_none() {
                s.missing(
                    "method",
                    "one [[listener.method]] at the least, or `unknown`",
                );
            }
            let figure = |name, low, high, usual| s.whole(name, low, high).unwrap_or(usual);
            listeners.push(Listener {
                name,
                address: address.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0))),
                framing,
                in_order,
                connections: figure("connections", 1, 65_536, 256),
                calls: figure("calls", 1, 10_000, 64),
                text: figure("text_kb", 1, 65_536, 4096) as usize * 1024,
                batch: figure("batch", 1, 1_000_000, 10_000) as usize,
                idle_ms: s.number("idle_ms", 1.0, MAX_MS).unwrap_or(600_000.0),
                tenant,
                methods,
                unknown,
            });
            s.end();
        }
        listeners
    }

    /// Routes that name listeners or methods must name such that there are, and lead to where calls
    /// can go.
    pub(super) fn listened(
        &'a self,
        routes: &[Route],
        listeners: &[Listener],
        pools: &[(Pool, usize)],
    ) {
        for (i, route) in routes.iter().enumerate() {
            let (at, field) = (self.start(route.line), |name: &str| {
                format!("route[{i}].{name}")
            });
            let listener = route.when.listener.as_deref();
            let found = listeners.iter().find(|l| Some(l.name.as_str()) == listener);
            if let Some(name) = listener.filter(|n| *n != MAIN && found.is_none()) {
                let known: Vec<&str> = [MAIN]
                    .into_iter()
                    .chain(listeners.iter().map(|l| l.name.as_str()))
                    .collect();
                let reason = format!("no listener {name:?}, unreachable");
                self.fault(
                    at,
                    field("listener"),
                    reason,
                    format!("one of {}", known.join(", ")),
                );
            }
            if let Some(method) = &route.when.method {
                let offers = |l: &&Listener| l.methods.contains_key(method) || l.unknown.is_some();
                let any = listeners
                    .iter()
                    .filter(|l| listener.is_none_or(|n| n == l.name))
                    .any(|l| offers(&l));
                if !any {
                    let reason = format!("no listener has a method {method:?}, unreachable");
                    self.fault(at, field("method"), reason, "a method of a [[listener]]");
                }
            }
            if found.is_none() && route.when.method.is_none() {
                continue;
            }
            for share in &route.to {
                let Some((pool, _)) = pools.get(share.pool).filter(|(p, _)| p.rpc.is_none()) else {
                    continue;
                };
                let reason = format!("remote calls would go to pool {:?}", pool.name);
                self.fault(at, field("pool"), reason, "a pool with [pool.rpc]");
            }
        }
    }
}

impl Section<'_, '_> {
    fn framing(&self) -> Framing {
        let words = [
            ("lines", Framing::Lines),
            ("headers", Framing::Headers),
            ("run-on", Framing::RunOn),
        ];
        self.choice("framing", &words, "\"lines\", \"headers\" or \"run-on\"")
    }

    /// A pool's `[pool.rpc]`.
    pub(super) fn rpc(&self) -> Option<Rpc> {
        let s = self.table("rpc")?;
        let rpc = Rpc {
            port: s.whole("port", 1, u32::from(u16::MAX)).map(|p| p as u16),
            framing: s.framing(),
            calls: s.whole("calls", 1, 1_000).unwrap_or(1),
            declined: s.number("declined", -1e9, 1e9).map(|code| code as i64),
            budget: s.flag("budget").unwrap_or(false),
        };
        s.end();
        Some(rpc)
    }

    fn tenant_from(&self, tenants: &[String]) -> TenantFrom {
        let known = |at: usize, field: String, name: &String| {
            if !tenants.is_empty() && !tenants.contains(name) {
                let expected = format!("one of `tenants`: {}", tenants.join(", "));
                self.lines
                    .fault(at, field, format!("no tenant {name:?}"), expected);
            }
        };
        let (fixed, pointer, from) = (
            self.text("tenant"),
            self.text("tenant_in"),
            self.get("tenant_from"),
        );
        match (fixed, pointer, from) {
            (None, None, None) => TenantFrom::Nothing,
            (Some(name), None, None) => {
                known(self.at, self.field("tenant"), &name);
                TenantFrom::Fixed(name)
            }
            (None, Some(pointer), None) => self
                .pointer("tenant_in", &pointer)
                .map_or(TenantFrom::Nothing, TenantFrom::Params),
            (None, None, Some(value)) => {
                let expected = "a table of addresses and tenants";
                let Some(table) = value.get_ref().as_table() else {
                    self.wrong(
                        value,
                        "tenant_from",
                        format!("is {}", kind(value.get_ref())),
                        expected,
                    );
                    return TenantFrom::Nothing;
                };
                let mut by = BTreeMap::new();
                for (key, value) in table {
                    let (address, name) = (key.get_ref().parse(), value.get_ref().as_str());
                    match (address, name) {
                        (Ok(address), Some(name)) => {
                            known(
                                value.span().start,
                                self.field("tenant_from"),
                                &name.to_string(),
                            );
                            by.insert(address, name.to_string());
                        }
                        _ => self.wrong(
                            value,
                            "tenant_from",
                            format!("{:?} is none", key.get_ref()),
                            expected,
                        ),
                    }
                }
                TenantFrom::Connection(by)
            }
            _ => {
                let expected = "one of `tenant`, `tenant_in` and `tenant_from`";
                self.lines.fault(
                    self.at,
                    self.field("tenant"),
                    "is told more than once",
                    expected,
                );
                TenantFrom::Nothing
            }
        }
    }

    fn pointer(&self, name: &'static str, text: &str) -> Option<Pointer> {
        match Pointer::read(text) {
            Ok(pointer) => Some(pointer),
            Err(expected) => {
                self.lines
                    .fault(self.at, self.field(name), format!("is {text:?}"), expected);
                None
            }
        }
    }

    fn known_class<'s>(
        &self,
        classes: &'s BTreeMap<&str, Served>,
        field: &str,
        class: &str,
    ) -> Option<&'s Served> {
        let served = classes.get(class);
        if served.is_none() {
            let known: Vec<&str> = classes.keys().copied().collect();
            let expected = match known.as_slice() {
                [] => "a class of a pool with [pool.rpc]; there is none".to_string(),
                known => format!("one of {}", known.join(", ")),
            };
            let reason = format!("no pool that speaks JSON-RPC serves {class:?}");
            self.lines
                .fault(self.at, self.field(field), reason, expected);
        }
        served
    }

    fn methods(&self, classes: &BTreeMap<&str, Served>) -> HashMap<String, Method> {
        let (mut names, mut methods) = (BTreeMap::new(), HashMap::new());
        for s in self.sections("method", MAX_METHODS) {
            let name = s.name(&mut names);
            let class = s.text("class");
            if class.is_none() {
                s.missing("class", "the class of its calls");
            }
            let class = class.unwrap_or_default();
            let served = s.known_class(classes, "class", &class);
            let key = s.text("key").and_then(|k| s.pointer("key", &k));
            if key.is_none() && s.get("key").is_none() && served.is_some_and(|c| c.keyed) {
                s.missing(
                    "key",
                    "where a keyed call's key lies in its params, such as /claim/id",
                );
            }
            s.end();
            methods.insert(name, Method { class, key });
        }
        methods
    }

    /// The class of methods that nobody named: nothing is known of them, so that it must be one
    /// that never runs twice.
    fn unknown(&self, classes: &BTreeMap<&str, Served>) -> Option<Method> {
        let class = self.text("unknown")?;
        if self
            .known_class(classes, "unknown", &class)
            .is_some_and(|c| c.repeats)
        {
            let reason = format!("class {class:?} may run again");
            self.lines.fault(
                self.at,
                self.field("unknown"),
                reason,
                "a class that is unsafe in every pool",
            );
        }
        Some(Method { class, key: None })
    }
}
