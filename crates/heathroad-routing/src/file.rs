//! The configuration file of routes and pools: TOML, read with lines, checked whole. Whatever is
//! wrong is told at once, so that nobody mends a file error by error.

mod rpc;

pub use rpc::{Listener, Method, Rpc, TenantFrom};

use crate::condition::Match;
use crate::fault::Faults;
use crate::reader::{self, Lines, Section, kind};
use crate::split::Share;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use toml::Spanned;
use toml::de::DeValue;

pub use reader::MAX_BYTES;
/// Most routes.
pub const MAX_ROUTES: usize = 100_000;
/// Most pools.
pub const MAX_POOLS: usize = 1_000;
/// Longest time that may be named, in milliseconds: a day.
const MAX_MS: f64 = 86_400_000.0;

/// What a file says, checked.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Tenants, where they are named; requests of others match no route that asks for a tenant.
    pub tenants: Vec<String>,
    /// Pools.
    pub pools: Vec<Pool>,
    /// Routes.
    pub routes: Vec<Route>,
    /// Where remote calls come in, beside the daemon's own address for HTTP.
    pub listeners: Vec<Listener>,
}

/// Backends that serve the same classes.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// Where its backends come from.
    pub source: Source,
    /// The classes that it serves.
    pub classes: Vec<Class>,
    /// Most open requests; none is the daemon's own bound.
    pub open: Option<u32>,
    /// How its backends speak JSON-RPC, where they do.
    pub rpc: Option<Rpc>,
}

/// Where a pool's backends come from.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub enum Source {
    /// A list in the file.
    List(Vec<Member>),
    /// A registry, and which of its hosts.
    Registry {
        /// Its address; none is the one that the daemon was started with.
        address: Option<SocketAddr>,
        /// Labels that a host must bear: `site`, `class`, `block`.
        select: BTreeMap<String, String>,
    },
}

/// A backend that a file lists.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Member {
    /// Its address, which is its name too.
    pub address: SocketAddr,
    /// Its site.
    pub site: String,
    /// Its block: the small group that drops each other's repeats.
    pub block: u16,
    /// Its size beside the others'.
    pub weight: f64,
}

/// A class of requests, as a pool serves it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Whether it may run again.
    pub effect: Effect,
    /// An answer within this time earns the full worth, in milliseconds.
    pub aim_ms: f64,
    /// Longest time that a request of it may take, in milliseconds.
    pub deadline_ms: f64,
    /// Worth of a request.
    pub worth: f64,
}

/// Whether a request may run again.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub enum Effect {
    /// Safe to repeat.
    Safe,
    /// Repeats are dropped by the backends of a group, for a window.
    Keyed {
        /// Which backends drop each other's repeats.
        group: Group,
        /// For how long, in milliseconds.
        window_ms: f64,
    },
    /// Must never run twice.
    Unsafe,
}

/// Which backends drop each other's repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Group {
    /// All of the pool.
    All,
    /// Those of one site.
    Site,
    /// Those of one block.
    Block,
}

/// A route: which requests, and where they go.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Which requests.
    pub when: Match,
    /// Where they go; one share for a plain route.
    pub to: Vec<Share>,
    /// Its line in the file.
    pub line: usize,
}

/// Reads and checks a file's text. `file` is its name in messages.
pub fn read(file: &str, text: &str) -> Result<Config, Faults> {
    reader::read(file, text, |lines, root| lines.config(root))
}

/// Whether a connect to an address comes to who listens at another: at all of the machine's, it may
/// be.
pub fn leads_to(address: SocketAddr, listens: SocketAddr) -> bool {
    let any = listens.ip().is_unspecified() && address.ip().is_loopback();
    listens.port() != 0 && address.port() == listens.port() && (address.ip() == listens.ip() || any)
}

impl Config {
    /// The pools whose listed backends are at an address where the daemon itself listens for HTTP.
    pub fn rounds(&self, listens: SocketAddr) -> impl Iterator<Item = &Pool> {
        self.pools.iter().filter(move |p| match &p.source {
            Source::List(members) => members
                .iter()
                .any(|m| p.rpc.is_none() && leads_to(m.address, listens)),
            Source::Registry { .. } => false,
        })
    }
}

impl<'a> Lines<'a> {
    fn config(&'a self, root: &Section<'a, '_>) -> Config {
        let tenants = root.texts("tenants");
        let pools = self.pools(root);
        let names: Vec<String> = pools.iter().map(|(p, _)| p.name.clone()).collect();
        let routes = self.routes(root, &pools, &names, &tenants);
        let listeners = self.listeners(root, &pools, &tenants);
        self.listened(&routes, &listeners, &pools);
        self.members(&pools);
        self.rounds(&pools, &listeners);
        let pools = pools.into_iter().map(|(p, _)| p).collect();
        Config {
            tenants,
            pools,
            routes,
            listeners,
        }
    }

    fn pools(&'a self, root: &Section<'a, '_>) -> Vec<(Pool, usize)> {
        let mut pools = Vec::new();
        let mut names = BTreeMap::new();
        for s in root.sections("pool", MAX_POOLS) {
            let name = s.name(&mut names);
            let source = s.source();
            let mut class_names = BTreeMap::new();
            let classes: Vec<Class> = s
                .sections("class", 1_000)
                .iter()
                .map(|c| c.class(&mut class_names))
                .collect();
            if classes.is_empty() {
                self.fault(
                    s.at,
                    s.field("class"),
                    "is missing or empty",
                    "one [[pool.class]] at the least",
                );
            }
            let open = s.whole("open", 1, 1_000_000);
            let rpc = s.rpc();
            s.end();
            pools.push((
                Pool {
                    name,
                    source,
                    classes,
                    open,
                    rpc,
                },
                s.at,
            ));
        }
        if pools.is_empty() {
            self.fault(
                0,
                "pool",
                "is missing or empty",
                "one [[pool]] at the least",
            );
        }
        pools
    }

    /// One address is one node: whoever names it must say the same of it.
    fn members(&self, pools: &[(Pool, usize)]) {
        let mut seen: BTreeMap<SocketAddr, (&Member, &str)> = BTreeMap::new();
        for (i, (pool, at)) in pools.iter().enumerate() {
            let Source::List(members) = &pool.source else {
                continue;
            };
            let mut own = BTreeSet::new();
            for m in members {
                let field = format!("pool[{i}].backends");
                if !own.insert(m.address) {
                    self.fault(
                        *at,
                        &field,
                        format!("{} comes twice", m.address),
                        "each address once in a pool",
                    );
                }
                match seen.get(&m.address) {
                    Some((other, of)) if (&other.site, other.block) != (&m.site, m.block) => self
                        .fault(
                            *at,
                            &field,
                            format!("{} is of another site or block in pool {of:?}", m.address),
                            "one node to be the same in all pools",
                        ),
                    Some(_) => {}
                    None => drop(seen.insert(m.address, (m, &pool.name))),
                }
            }
        }
    }

    /// A backend that is one of the daemon's own listeners sends calls round and round.
    fn rounds(&self, pools: &[(Pool, usize)], listeners: &[Listener]) {
        for (i, (pool, at)) in pools.iter().enumerate() {
            let Source::List(members) = &pool.source else {
                continue;
            };
            for m in members {
                // Calls go to the port for them, if there is one.
                let port = pool.rpc.and_then(|r| r.port).unwrap_or(m.address.port());
                let address = SocketAddr::new(m.address.ip(), port);
                if let Some(l) = listeners
                    .iter()
                    .find(|l| pool.rpc.is_some() && leads_to(address, l.address))
                {
                    let reason = format!(
                        "{address} is listener {:?}, calls would come back for ever",
                        l.name
                    );
                    self.fault(
                        *at,
                        format!("pool[{i}].backends"),
                        reason,
                        "servers, and none of its own listeners",
                    );
                }
            }
        }
    }

    fn routes(
        &'a self,
        root: &Section<'a, '_>,
        pools: &[(Pool, usize)],
        pool_names: &[String],
        tenants: &[String],
    ) -> Vec<Route> {
        let mut routes = Vec::new();
        let mut names = BTreeMap::new();
        for s in root.sections("route", MAX_ROUTES) {
            let name = s.name(&mut names);
            let when = s.when();
            if let Some(tenant) = when
                .tenant
                .as_ref()
                .filter(|t| !tenants.is_empty() && !tenants.contains(t))
            {
                let expected = format!("one of `tenants`: {}", tenants.join(", "));
                self.fault(
                    s.at,
                    s.field("tenant"),
                    format!("no tenant {tenant:?}, unreachable"),
                    expected,
                );
            }
            let to = s.to(pool_names);
            for share in &to {
                let Some((pool, _)) = pools.get(share.pool) else {
                    continue;
                };
                let serves = |class: &String| pool.classes.iter().any(|c| c.name == *class);
                if let Some(class) = when.class.as_ref().filter(|c| !serves(c)) {
                    let reason =
                        format!("pool {:?} does not serve {class:?}, unreachable", pool.name);
                    let known: Vec<&str> = pool.classes.iter().map(|c| c.name.as_str()).collect();
                    self.fault(
                        s.at,
                        s.field("class"),
                        reason,
                        format!("one of {}", known.join(", ")),
                    );
                }
            }
            s.end();
            routes.push(Route {
                name,
                when,
                to,
                line: self.line(s.at),
            });
        }
        if routes.is_empty() {
            self.fault(
                0,
                "route",
                "is missing or empty",
                "one [[route]] at the least",
            );
        }
        for clash in crate::table::clashes(&routes) {
            let (one, other) = (&routes[clash.one], &routes[clash.other]);
            let (field, reason) = (format!("route[{}]", clash.other), clash.reason(one));
            self.fault(
                self.start(other.line),
                field,
                reason,
                "for each request one route that is most specific",
            );
        }
        routes
    }
}

impl<'t> Section<'_, 't> {
    fn source(&self) -> Source {
        let (list, registry, select) = (
            self.get("backends"),
            self.get("registry"),
            self.get("select"),
        );
        match (list, registry.or(select)) {
            (Some(list), None) => Source::List(self.list(list)),
            (None, Some(_)) => {
                let address = match registry.map(|r| (r, r.get_ref().as_str())) {
                    None | Some((_, Some("default"))) => None,
                    Some((value, _)) => self.address(value, "registry"),
                };
                let mut labels = BTreeMap::new();
                match select.map(|s| (s, s.get_ref().as_table())) {
                    None => {}
                    Some((_, Some(table))) => {
                        let s = self.lines.section(table, self.at, self.field("select"));
                        for label in ["site", "class", "block"] {
                            if let Some(value) = s.text(label) {
                                labels.insert(label.to_string(), value);
                            }
                        }
                        s.end();
                    }
                    Some((value, None)) => {
                        self.wrong(
                            value,
                            "select",
                            format!("is {}", kind(value.get_ref())),
                            "a table of labels",
                        );
                    }
                }
                Source::Registry {
                    address,
                    select: labels,
                }
            }
            (both, _) => {
                let reason = if both.is_some() {
                    "both a list and a registry"
                } else {
                    "neither a list nor a registry"
                };
                let expected =
                    "`backends`, or `registry` (an address, or \"default\") with `select`";
                self.lines
                    .fault(self.at, self.field("backends"), reason, expected);
                Source::List(Vec::new())
            }
        }
    }

    /// Addresses, or tables of address, site, block and weight.
    fn list(&self, value: &'t Spanned<DeValue<'t>>) -> Vec<Member> {
        let expected = "a list of addresses, or of tables with `address`";
        let Some(array) = value.get_ref().as_array() else {
            self.wrong(
                value,
                "backends",
                format!("is {}", kind(value.get_ref())),
                expected,
            );
            return Vec::new();
        };
        if array.is_empty() {
            self.wrong(value, "backends", "is empty", "one backend at the least");
        }
        let mut members = Vec::new();
        for (i, item) in array.iter().enumerate() {
            let member = match item.get_ref() {
                DeValue::Table(table) => {
                    let path = format!("{}[{i}]", self.field("backends"));
                    let s = self.lines.section(table, item.span().start, path);
                    let address = s.get("address").and_then(|a| s.address(a, "address"));
                    if s.get("address").is_none() {
                        s.missing("address", "an address and port");
                    }
                    let site = s.text("site").unwrap_or_default();
                    let block = s.whole("block", 0, u32::from(u16::MAX)).unwrap_or(0) as u16;
                    let weight = s.number("weight", 0.01, 1000.0).unwrap_or(1.0);
                    s.end();
                    address.map(|address| Member {
                        address,
                        site,
                        block,
                        weight,
                    })
                }
                _ => self.address(item, "backends").map(|address| Member {
                    address,
                    site: String::new(),
                    block: 0,
                    weight: 1.0,
                }),
            };
            members.extend(member);
        }
        members
    }

    fn class(&self, names: &mut BTreeMap<String, usize>) -> Class {
        let name = self.name(names);
        let expected = "\"safe\", \"keyed\" or \"unsafe\"";
        let effect = self.text("effect");
        let group = self.text("group");
        let window = self.number("window_ms", 1.0, MAX_MS);
        let effect = match (effect.as_deref(), &group, self.get("window_ms")) {
            (Some("keyed"), _, _) => {
                let groups = [
                    ("all", Group::All),
                    ("site", Group::Site),
                    ("block", Group::Block),
                ];
                let group = self.choice("group", &groups, "\"all\", \"site\" or \"block\"");
                if self.get("window_ms").is_none() {
                    self.missing(
                        "window_ms",
                        "for how long repeats are dropped, in milliseconds",
                    );
                }
                Effect::Keyed {
                    group,
                    window_ms: window.unwrap_or(1.0),
                }
            }
            (Some(word @ ("safe" | "unsafe")), group, window) => {
                if group.is_some() || window.is_some() {
                    let reason = format!("{word:?} with a group or a window");
                    self.lines.fault(
                        self.at,
                        self.field("effect"),
                        reason,
                        "these for \"keyed\" only",
                    );
                }
                if word == "safe" {
                    Effect::Safe
                } else {
                    Effect::Unsafe
                }
            }
            (Some(other), ..) => {
                self.lines.fault(
                    self.at,
                    self.field("effect"),
                    format!("is {other:?}"),
                    expected,
                );
                Effect::Unsafe
            }
            (None, ..) => {
                if self.get("effect").is_none() {
                    self.missing("effect", expected);
                }
                Effect::Unsafe
            }
        };
        let (aim_ms, deadline_ms) = (
            self.must("aim_ms", 1.0, MAX_MS),
            self.must("deadline_ms", 1.0, MAX_MS),
        );
        if aim_ms > deadline_ms {
            let reason = format!("{aim_ms} is past the deadline of {deadline_ms}");
            self.lines.fault(
                self.at,
                self.field("aim_ms"),
                reason,
                "an aim within the deadline",
            );
        }
        let worth = self.number("worth", 0.0, 1e6).unwrap_or(1.0);
        self.end();
        Class {
            name,
            effect,
            aim_ms,
            deadline_ms,
            worth,
        }
    }

    /// The conditions that a route has, and whatever else is about some requests only.
    pub fn when(&self) -> Match {
        let path = self.text("path");
        if let Some(p) = path
            .as_ref()
            .filter(|p| !p.starts_with('/') || p.contains("/*/") || p.contains('?'))
        {
            let expected = "a path from its /, or a prefix that ends with /*";
            self.lines
                .fault(self.at, self.field("path"), format!("is {p:?}"), expected);
        }
        let host = self.text("host").map(|h| h.to_ascii_lowercase());
        if let Some(h) = host
            .as_ref()
            .filter(|h| h.trim_start_matches("*.").contains(['*', '/']))
        {
            let expected = "a name, or one that begins with *.";
            self.lines
                .fault(self.at, self.field("host"), format!("is {h:?}"), expected);
        }
        let header = self
            .get("header")
            .and_then(|value| match value.get_ref().as_table() {
                Some(table) => {
                    let s = self
                        .lines
                        .section(table, value.span().start, self.field("header"));
                    let (name, is) = (s.text("name"), s.text("is"));
                    if name.is_none() || is.is_none() {
                        s.missing("name", "`name` and `is`");
                    }
                    s.end();
                    name.zip(is)
                        .map(|(name, is)| (name.to_ascii_lowercase(), is))
                }
                None => {
                    self.wrong(
                        value,
                        "header",
                        format!("is {}", kind(value.get_ref())),
                        "a table with `name` and `is`",
                    );
                    None
                }
            });
        let [listener, method, class, tenant] =
            ["listener", "method", "class", "tenant"].map(|f| self.text(f));
        Match {
            listener,
            host,
            path,
            method,
            class,
            tenant,
            header,
        }
    }

    fn to(&self, pools: &[String]) -> Vec<Share> {
        let place = |name: &str| pools.iter().position(|p| p == name);
        let dangling = |at: usize, field: String, name: &str| {
            let expected = format!("one of {}", pools.join(", "));
            self.lines
                .fault(at, field, format!("no pool {name:?}"), expected);
        };
        let (pool, split) = (self.text("pool"), self.sections("split", 64));
        match (pool, split.is_empty()) {
            (Some(name), true) => match place(&name) {
                Some(pool) => vec![Share { pool, weight: 1.0 }],
                None => {
                    dangling(self.at, self.field("pool"), &name);
                    Vec::new()
                }
            },
            (None, false) => {
                let mut shares: Vec<Share> = Vec::new();
                for s in &split {
                    let weight = s.must("weight", 0.0, 1e6);
                    match s.text("pool").map(|name| (place(&name), name)) {
                        Some((Some(pool), name)) if shares.iter().any(|s| s.pool == pool) => {
                            self.lines.fault(
                                s.at,
                                s.field("pool"),
                                format!("{name:?} comes twice"),
                                "each once",
                            );
                        }
                        Some((Some(pool), _)) => shares.push(Share { pool, weight }),
                        Some((None, name)) => dangling(s.at, s.field("pool"), &name),
                        None => s.missing("pool", "a pool's name"),
                    }
                    s.end();
                }
                if shares.len() == split.len() && shares.iter().all(|s| s.weight == 0.0) {
                    let expected = "one weight above 0 at the least";
                    self.lines.fault(
                        self.at,
                        self.field("split"),
                        "all weights are 0, nothing would be sent",
                        expected,
                    );
                }
                shares
            }
            (pool, _) => {
                let reason = if pool.is_some() {
                    "both a pool and a split"
                } else {
                    "neither a pool nor a split"
                };
                self.lines.fault(
                    self.at,
                    self.field("pool"),
                    reason,
                    "`pool`, or `[[route.split]]` with weights",
                );
                Vec::new()
            }
        }
    }
}
