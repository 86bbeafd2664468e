//! All requests that there can be, as kinds: requests of one kind fulfil the same conditions of
//! every route and of every expectation. A kind is a point with a value in each dimension, and
//! values are ordered so that what a condition asks for is an interval: names under one wildcard,
//! or paths under one prefix, stand side by side.

use heathroad_routing::condition::{Match, Request};
use heathroad_routing::file::{Config, TenantFrom};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

/// The daemon's own listener, for HTTP.
const MAIN: &str = "main";
/// Most worlds: ways in which requests come in.
pub const MAX_WORLDS: usize = 10_000;

/// Places of the dimensions that always are; those of headers follow.
const LISTENER: usize = 0;
const HOST: usize = 1;
const PATH: usize = 2;
const METHOD: usize = 3;
const TENANT: usize = 4;
const CLASS: usize = 5;
const HEADERS: usize = 6;

/// Requests that have a value of an interval in each dimension; never empty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Region(Vec<Range<u32>>);

/// One thing that requests differ in.
#[derive(Debug)]
struct Dimension {
    /// In words.
    name: String,
    /// Its values; none is a header that is not there.
    values: Vec<Option<String>>,
    /// The value of a request of which nothing is told.
    usual: u32,
}

/// All kinds of requests.
#[derive(Debug)]
pub struct Space {
    dimensions: Vec<Dimension>,
    /// Values of hosts and paths, by parts, in order.
    hosts: Vec<Vec<String>>,
    paths: Vec<Vec<String>>,
    served: u32,
    worlds: Vec<Region>,
}

impl Region {
    /// What both hold, if there is any.
    pub fn meet(&self, other: &Region) -> Option<Region> {
        let both = self
            .0
            .iter()
            .zip(&other.0)
            .map(|(a, b)| a.start.max(b.start)..a.end.min(b.end));
        let both: Vec<Range<u32>> = both.collect();
        both.iter().all(|r| r.start < r.end).then_some(Region(both))
    }

    /// Whether some request is in both.
    pub fn meets(&self, other: &Region) -> bool {
        self.0
            .iter()
            .zip(&other.0)
            .all(|(a, b)| a.start.max(b.start) < a.end.min(b.end))
    }

    /// Its intervals, by dimension.
    pub fn intervals(&self) -> &[Range<u32>] {
        &self.0
    }

    /// It, with one interval for another.
    pub fn with(&self, dimension: usize, interval: Range<u32>) -> Region {
        let mut all = self.0.clone();
        all[dimension] = interval;
        Region(all)
    }
}

fn segments(path: &str) -> Vec<String> {
    path.split('/')
        .filter(|s| !s.is_empty())
        .map(String::from)
        .collect()
}

/// A host's labels, the last one first.
fn labels(host: &str) -> Vec<String> {
    if host.is_empty() {
        Vec::new()
    } else {
        host.split('.').rev().map(String::from).collect()
    }
}

/// The interval of what begins with some parts, and of these themselves where `own`; `sorted` is in
/// order.
fn under(sorted: &[Vec<String>], parts: &[String], own: bool) -> Range<u32> {
    let first = sorted.partition_point(|v| v.as_slice() < parts || !own && v == parts);
    let last = sorted.partition_point(|v| v.as_slice() < parts || v.starts_with(parts));
    first as u32..last as u32
}

/// A text that none of some has as a part.
fn fresh<'a>(taken: impl Iterator<Item = &'a str>) -> String {
    let taken: BTreeSet<&str> = taken.collect();
    let mut name = "other".to_string();
    while taken.contains(name.as_str()) {
        name.push('-');
    }
    name
}

/// Names with parts: those that are told whole and one more under each that is told as a beginning.
fn tree(whole: &[Vec<String>], beginnings: &[Vec<String>]) -> Vec<Vec<String>> {
    let other = fresh(whole.iter().chain(beginnings).flatten().map(String::as_str));
    let below = |b: &Vec<String>| b.iter().cloned().chain([other.clone()]).collect::<Vec<_>>();
    let mut all: BTreeSet<Vec<String>> = whole.iter().cloned().collect();
    all.extend(beginnings.iter().map(below));
    all.extend([vec![], vec![other.clone()]]);
    all.into_iter().collect()
}

impl Space {
    /// The kinds of requests that the routes of a configuration and some further conditions tell
    /// apart. Where it is known which tenants the daemon takes, there are no others.
    pub fn new(
        config: &Config,
        conditions: &[&Match],
        tenants: Option<&[String]>,
    ) -> Result<Space, String> {
        let all: Vec<&Match> = config
            .routes
            .iter()
            .map(|r| &r.when)
            .chain(conditions.iter().copied())
            .collect();
        let parts = |name: fn(&Match) -> Option<&str>, ends: bool, cut: fn(&str) -> Vec<String>| {
            let of = all.iter().filter_map(|m| name(m));
            of.filter(|n| (n.ends_with("/*") || n.starts_with("*.")) == ends)
                .map(|n| cut(n.trim_start_matches("*.").trim_end_matches("/*")))
                .collect::<Vec<_>>()
        };
        let host: fn(&Match) -> Option<&str> = |m| m.host.as_deref();
        let path: fn(&Match) -> Option<&str> = |m| m.path.as_deref();
        let hosts = tree(&parts(host, false, labels), &parts(host, true, labels));
        let paths = tree(&parts(path, false, segments), &parts(path, true, segments));
        let told = |of: fn(&Match) -> &Option<String>| {
            all.iter()
                .filter_map(|m| of(m).clone())
                .collect::<BTreeSet<String>>()
        };

        let served: BTreeSet<String> = config
            .pools
            .iter()
            .flat_map(|p| &p.classes)
            .map(|c| c.name.clone())
            .collect();
        let mut classes: Vec<String> = served.iter().cloned().collect();
        classes.extend(told(|m| &m.class).difference(&served).cloned());

        let taken: BTreeSet<String> = tenants.unwrap_or_default().iter().cloned().collect();
        let mut named = told(|m| &m.tenant);
        named.extend(config.tenants.iter().cloned());
        for l in &config.listeners {
            match &l.tenant {
                TenantFrom::Fixed(t) => drop(named.insert(t.clone())),
                TenantFrom::Connection(by) => named.extend(by.values().cloned()),
                TenantFrom::Nothing | TenantFrom::Params(_) => {}
            }
        }
        let mut tenant_values: Vec<String> = taken.iter().cloned().collect();
        tenant_values.extend(named.difference(&taken).cloned());
        let other = fresh(tenant_values.iter().map(String::as_str));
        let usual_tenant = if taken.is_empty() {
            tenant_values.len() as u32
        } else {
            0
        };
        tenant_values.extend([String::new(), other]);

        let mut methods: BTreeSet<String> = told(|m| &m.method);
        let told_methods = methods.clone();
        let offered = config.listeners.iter().flat_map(|l| l.methods.keys());
        let unnamed = fresh(offered.chain(&methods).map(String::as_str));
        methods.extend([String::new(), unnamed.clone()]);
        // Methods that no condition names differ by their class only: one stands for all.
        let mut stand_for: Vec<(usize, String, String)> = Vec::new();
        for (n, l) in config.listeners.iter().enumerate() {
            let mut by_class: BTreeMap<&str, &str> = BTreeMap::new();
            for (name, method) in &l.methods {
                if told_methods.contains(name) {
                    stand_for.push((n, name.clone(), method.class.clone()));
                } else {
                    let first = by_class.entry(&method.class).or_insert(name);
                    *first = (*first).min(name.as_str());
                }
            }
            for (class, name) in by_class {
                stand_for.push((n, name.to_string(), class.to_string()));
            }
            if let Some(method) = &l.unknown {
                stand_for.push((n, unnamed.clone(), method.class.clone()));
                let others = told_methods.iter().filter(|m| !l.methods.contains_key(*m));
                stand_for.extend(others.map(|m| (n, m.clone(), method.class.clone())));
            }
        }
        methods.extend(stand_for.iter().map(|(_, name, _)| name.clone()));
        let methods: Vec<String> = methods.into_iter().collect();

        let mut listeners: Vec<String> = vec![MAIN.to_string()];
        listeners.extend(config.listeners.iter().map(|l| l.name.clone()));
        let unknown: Vec<String> = told(|m| &m.listener)
            .into_iter()
            .filter(|l| !listeners.contains(l))
            .collect();
        listeners.extend(unknown);

        let mut headers: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        for (name, value) in all.iter().filter_map(|m| m.header.as_ref()) {
            headers
                .entry(name.clone())
                .or_default()
                .insert(value.clone());
        }
        let dimension = |name: &str, values: Vec<String>, usual: u32| Dimension {
            name: name.to_string(),
            values: values.into_iter().map(Some).collect(),
            usual,
        };
        let host_values = hosts
            .iter()
            .map(|h| h.iter().rev().cloned().collect::<Vec<_>>().join("."))
            .collect();
        let path_values = paths.iter().map(|p| format!("/{}", p.join("/"))).collect();
        let mut dimensions = vec![
            dimension("listener", listeners, 0),
            dimension("host", host_values, 0),
            dimension("path", path_values, 0),
            dimension("method", methods.clone(), 0),
            dimension("tenant", tenant_values.clone(), usual_tenant),
            dimension("class", classes.clone(), 0),
        ];
        for (name, values) in headers {
            let values = [None]
                .into_iter()
                .chain(values.into_iter().map(Some))
                .collect();
            dimensions.push(Dimension {
                name: format!("header {name}"),
                values,
                usual: 0,
            });
        }
        let mut space = Space {
            dimensions,
            hosts,
            paths,
            served: served.len() as u32,
            worlds: Vec::new(),
        };

        // Over HTTP anything goes with anything; over JSON-RPC a method has its class and a
        // listener its tenants.
        let every = space.every();
        let closed = if taken.is_empty() {
            every.0[TENANT].clone()
        } else {
            0..taken.len() as u32
        };
        let at =
            |list: &[String], name: &str| list.iter().position(|n| n == name).map(|i| i as u32);
        if space.served > 0 {
            let main = every.with(LISTENER, 0..1).with(TENANT, closed.clone());
            // A call over HTTP has no method; the empty one is the first.
            space
                .worlds
                .push(main.with(METHOD, 0..1).with(CLASS, 0..space.served));
        }
        for (n, method, class) in stand_for {
            let l = &config.listeners[n];
            let (Some(m), Some(c)) = (at(&methods, &method), at(&classes, &class)) else {
                continue;
            };
            let mut one = every.with(LISTENER, n as u32 + 1..n as u32 + 2);
            // Calls have neither host nor path nor headers: these values come first.
            (HEADERS..one.0.len())
                .chain([HOST, PATH])
                .for_each(|d| one.0[d] = 0..1);
            one = one.with(METHOD, m..m + 1).with(CLASS, c..c + 1);
            let named = |name: &str| at(&tenant_values, name).map(|t| t..t + 1);
            let tenants: Vec<Range<u32>> = match &l.tenant {
                TenantFrom::Nothing => named("").into_iter().collect(),
                TenantFrom::Fixed(name) => named(name).into_iter().collect(),
                TenantFrom::Connection(by) => {
                    let names: BTreeSet<&str> =
                        by.values().map(String::as_str).chain([""]).collect();
                    names.into_iter().filter_map(named).collect()
                }
                TenantFrom::Params(_) => vec![closed.clone()],
            };
            space
                .worlds
                .extend(tenants.into_iter().map(|t| one.with(TENANT, t)));
        }
        if space.worlds.len() > MAX_WORLDS {
            return Err(format!(
                "{} kinds of calls over JSON-RPC; expected {MAX_WORLDS} at most",
                space.worlds.len()
            ));
        }
        Ok(space)
    }

    /// Every point, also those that no request is at.
    pub fn every(&self) -> Region {
        Region(
            self.dimensions
                .iter()
                .map(|d| 0..d.values.len() as u32)
                .collect(),
        )
    }

    /// The requests that there can be: no two overlap.
    pub fn worlds(&self) -> &[Region] {
        &self.worlds
    }

    /// What fulfils a match; none if nothing can.
    pub fn region(&self, when: &Match) -> Option<Region> {
        let mut all = self.every();
        let exactly = |d: usize, value: &str| {
            let values = &self.dimensions[d].values;
            let at = values.iter().position(|v| v.as_deref() == Some(value))? as u32;
            Some(at..at + 1)
        };
        for (d, value) in [
            (LISTENER, &when.listener),
            (METHOD, &when.method),
            (TENANT, &when.tenant),
            (CLASS, &when.class),
        ] {
            if let Some(value) = value {
                all.0[d] = exactly(d, value)?;
            }
        }
        if let Some(host) = &when.host {
            all.0[HOST] = match host.strip_prefix("*.") {
                Some(rest) => under(&self.hosts, &labels(rest), false),
                None => exactly(HOST, host)?,
            };
        }
        if let Some(path) = &when.path {
            all.0[PATH] = match path.strip_suffix("/*") {
                Some(prefix) => under(&self.paths, &segments(prefix), true),
                None => exactly(PATH, &format!("/{}", segments(path).join("/")))?,
            };
        }
        if let Some((name, value)) = &when.header {
            let name = format!("header {name}");
            let d = (HEADERS..self.dimensions.len()).find(|d| self.dimensions[*d].name == name)?;
            all.0[d] = exactly(d, value)?;
        }
        all.0.iter().all(|r| r.start < r.end).then_some(all)
    }

    /// The places of the classes in a region, with their names.
    pub fn classes<'a>(&'a self, region: &Region) -> impl Iterator<Item = (u32, &'a str)> {
        region.0[CLASS]
            .clone()
            .map(|c| (c, self.value(CLASS, c).unwrap_or_default()))
    }

    /// The part of a region that is of one class.
    pub fn of_class(&self, region: &Region, class: u32) -> Region {
        region.with(CLASS, class..class + 1)
    }

    /// The value of a request of which nothing is told, where a region has it.
    pub fn usual(&self, region: &Region, dimension: usize) -> u32 {
        let (usual, interval) = (self.dimensions[dimension].usual, &region.0[dimension]);
        if interval.contains(&usual) {
            usual
        } else {
            interval.start
        }
    }

    fn value(&self, dimension: usize, value: u32) -> Option<&str> {
        self.dimensions[dimension]
            .values
            .get(value as usize)?
            .as_deref()
    }

    /// A region's first request, as the table is asked for it.
    pub fn request<T>(&self, region: &Region, ask: impl FnOnce(&Request<'_>) -> T) -> T {
        let at = |d: usize| self.value(d, region.0[d].start).unwrap_or_default();
        let header = |name: &str| {
            let name = format!("header {name}");
            let d = (HEADERS..self.dimensions.len()).find(|d| self.dimensions[*d].name == name)?;
            self.value(d, region.0[d].start)
        };
        // The empty path is the one of calls.
        let path = if at(METHOD).is_empty() { at(PATH) } else { "" };
        ask(&Request {
            listener: at(LISTENER),
            host: at(HOST),
            path,
            method: at(METHOD),
            class: at(CLASS),
            tenant: at(TENANT),
            header: &header,
        })
    }

    /// A region's first request in words: what it has beside the usual.
    pub fn words(&self, region: &Region) -> String {
        let mut words = vec![format!(
            "class {}",
            self.value(CLASS, region.0[CLASS].start).unwrap_or_default()
        )];
        for (d, dimension) in self
            .dimensions
            .iter()
            .enumerate()
            .filter(|(d, _)| *d != CLASS)
        {
            let value = region.0[d].start;
            match self.value(d, value) {
                _ if value == dimension.usual => {}
                Some("") => words.push(format!("no {}", dimension.name)),
                Some(text) if d >= HEADERS => words.push(format!("{}: {text}", dimension.name)),
                Some(text) => words.push(format!("{} {text}", dimension.name)),
                None => words.push(format!("no {}", dimension.name)),
            }
        }
        words.join(", ")
    }
}
