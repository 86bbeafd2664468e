//! Which route a request takes: the most specific one that matches. Routes with conditions on the same fields are of
//! one shape; a shape is one hash look-up, and shapes are tried from the most specific on. Two routes that could both
//! be the most specific for some request are a clash, found when the table is made and not when that request comes.

use crate::file::{Config, Route};
use crate::split::{self, Share};
use serde::Serialize;
use std::collections::{BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Most shapes; each costs every request a look-up.
pub const MAX_SHAPES: usize = 128;

/// The conditions of a route; those that are none match everything.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize)]
pub struct Match {
    /// The listener's name.
    pub listener: Option<String>,
    /// The host, in lower case: a name, or `*.` and what it ends with.
    pub host: Option<String>,
    /// The path, whole or, with `/*` at its end, its first segments.
    pub path: Option<String>,
    /// The method's name, of a remote call.
    pub method: Option<String>,
    /// The class.
    pub class: Option<String>,
    /// The tenant.
    pub tenant: Option<String>,
    /// A header, its name in lower case, and its value.
    pub header: Option<(String, String)>,
}

/// What routes ask of a request. Texts that it does not have are empty.
pub struct Request<'a> {
    /// The listener that took it.
    pub listener: &'a str,
    /// Its host, in lower case, without a port.
    pub host: &'a str,
    /// Its path, without a query.
    pub path: &'a str,
    /// Its method's name, for a remote call.
    pub method: &'a str,
    /// Its class.
    pub class: &'a str,
    /// Its tenant.
    pub tenant: &'a str,
    /// Its headers, by their name in lower case.
    pub header: &'a dyn Fn(&str) -> Option<&'a str>,
}

/// How exactly a shape looks at a name that has parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Part {
    Any,
    /// At so many parts: a host's last labels, a path's first segments.
    Some(u16),
    Whole,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Shape {
    path: Part,
    host: Part,
    header: Option<String>,
    class: bool,
    tenant: bool,
    method: bool,
    listener: bool,
}

impl Part {
    fn rank(self) -> u32 {
        match self {
            Part::Any => 0,
            Part::Some(n) => 1 + u32::from(n),
            Part::Whole => 1 << 17,
        }
    }
}

fn segments(path: &str) -> impl Iterator<Item = &str> {
    path.trim_matches('/').split('/').filter(|s| !s.is_empty())
}

/// A path's first segments, if it has so many.
fn head(path: &str, n: u16) -> Option<Vec<&str>> {
    let first: Vec<&str> = segments(path).take(usize::from(n)).collect();
    (first.len() == usize::from(n)).then_some(first)
}

/// A host's last labels, if it has more than these.
fn tail(host: &str, n: u16) -> Option<&str> {
    let mut at = host.len();
    for _ in 0..n {
        at = host[..at].rfind('.')?;
    }
    Some(&host[at + 1..])
}

impl Match {
    fn path_part(&self) -> Part {
        match self.path.as_deref().map(|p| (p, p.strip_suffix("/*"))) {
            None => Part::Any,
            Some((_, Some(prefix))) => match segments(prefix).count() {
                0 => Part::Any,
                n => Part::Some(n.min(usize::from(u16::MAX)) as u16),
            },
            Some((_, None)) => Part::Whole,
        }
    }

    fn host_part(&self) -> Part {
        match self.host.as_deref().map(|h| h.strip_prefix("*.")) {
            None => Part::Any,
            Some(Some(rest)) => Part::Some(rest.split('.').count().min(usize::from(u16::MAX)) as u16),
            Some(None) => Part::Whole,
        }
    }

    fn shape(&self) -> Shape {
        Shape {
            path: self.path_part(),
            host: self.host_part(),
            header: self.header.as_ref().map(|(name, _)| name.clone()),
            class: self.class.is_some(),
            tenant: self.tenant.is_some(),
            method: self.method.is_some(),
            listener: self.listener.is_some(),
        }
    }

    /// What of this match a shape that is no more specific looks at.
    fn under(&self, shape: &Shape) -> Option<u64> {
        self.sample(|request| shape.key(request))
    }

    /// A request that fulfils the conditions and has nothing beside.
    fn sample<T>(&self, look: impl FnOnce(&Request<'_>) -> T) -> T {
        let own = |name: &Option<String>| name.clone().unwrap_or_default();
        // A wildcard host has one label more than it names.
        let host = self.host.as_deref().map(|h| h.replace('*', "x")).unwrap_or_default();
        let path = self.path.as_deref().map(|p| p.strip_suffix("/*").unwrap_or(p)).unwrap_or_default();
        let value = self.header.as_ref().map(|(_, v)| v.as_str());
        let header = |name: &str| value.filter(|_| self.header.as_ref().is_some_and(|(n, _)| n == name));
        look(&Request {
            listener: &own(&self.listener),
            host: &host,
            path,
            method: &own(&self.method),
            class: &own(&self.class),
            tenant: &own(&self.tenant),
            header: &header,
        })
    }

    /// Whether a request fulfils every condition.
    pub fn matches(&self, r: &Request<'_>) -> bool {
        let is = |want: &Option<String>, have: &str| want.as_deref().is_none_or(|w| w == have);
        let host = match self.host.as_deref().map(|h| (h, h.strip_prefix("*."))) {
            None => true,
            Some((_, Some(rest))) => {
                r.host.strip_suffix(rest).is_some_and(|h| h.len() > 1 && h.ends_with('.'))
            }
            Some((whole, None)) => whole == r.host,
        };
        let path = match self.path.as_deref().map(|p| (p, p.strip_suffix("/*"))) {
            None => true,
            Some((_, Some(prefix))) => {
                let mut have = segments(r.path);
                segments(prefix).all(|want| have.next() == Some(want))
            }
            Some((whole, None)) => segments(whole).eq(segments(r.path)),
        };
        let header = self.header.as_ref().is_none_or(|(name, value)| (r.header)(name) == Some(value));
        host && path
            && header
            && is(&self.listener, r.listener)
            && is(&self.method, r.method)
            && is(&self.class, r.class)
            && is(&self.tenant, r.tenant)
    }

    /// In words, for people.
    pub fn words(&self) -> String {
        let said = [
            ("listener", &self.listener),
            ("host", &self.host),
            ("path", &self.path),
            ("method", &self.method),
            ("class", &self.class),
            ("tenant", &self.tenant),
        ];
        let mut words: Vec<String> =
            said.iter().filter_map(|(name, value)| Some(format!("{name} {}", value.as_ref()?))).collect();
        words.extend(self.header.as_ref().map(|(name, value)| format!("header {name}: {value}")));
        if words.is_empty() {
            "every request".to_string()
        } else {
            format!("requests with {}", words.join(", "))
        }
    }
}

impl Shape {
    /// Grows with each condition: a match within another's has the higher rank.
    fn rank(&self) -> u32 {
        let flags = [self.header.is_some(), self.class, self.tenant, self.method, self.listener];
        self.path.rank() + self.host.rank() + flags.into_iter().map(u32::from).sum::<u32>()
    }

    /// What both look at.
    fn meet(&self, other: &Shape) -> Shape {
        Shape {
            path: self.path.min(other.path),
            host: self.host.min(other.host),
            header: self.header.clone().filter(|h| other.header.as_ref() == Some(h)),
            class: self.class && other.class,
            tenant: self.tenant && other.tenant,
            method: self.method && other.method,
            listener: self.listener && other.listener,
        }
    }

    /// What this shape sees of a request; none if it has no such part.
    fn key(&self, r: &Request<'_>) -> Option<u64> {
        // The same in every run of one build, which is all that is needed: it stays in memory.
        let mut hash = DefaultHasher::new();
        match self.path {
            Part::Any => {}
            Part::Some(n) => head(r.path, n)?.hash(&mut hash),
            Part::Whole => segments(r.path).for_each(|s| s.hash(&mut hash)),
        }
        0u8.hash(&mut hash);
        match self.host {
            Part::Any => {}
            Part::Some(n) => tail(r.host, n)?.hash(&mut hash),
            Part::Whole => r.host.hash(&mut hash),
        }
        if let Some(name) = &self.header {
            (r.header)(name)?.hash(&mut hash);
        }
        let flagged = [
            (self.class, r.class),
            (self.tenant, r.tenant),
            (self.method, r.method),
            (self.listener, r.listener),
        ];
        flagged.into_iter().filter(|(on, _)| *on).for_each(|(_, text)| text.hash(&mut hash));
        Some(hash.finish())
    }
}

/// Two routes that could both win.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Clash {
    /// Place of the one.
    pub one: usize,
    /// Place of the other, which stands behind it.
    pub other: usize,
    /// They match the very same requests; else only some alike.
    pub same: bool,
}

impl Clash {
    /// In words, at the place of the other.
    pub fn reason(&self, one: &Route) -> String {
        if self.same {
            format!("matches the same requests as route {:?} of line {}, unreachable", one.name, one.line)
        } else {
            format!(
                "some requests match it and route {:?} of line {}, neither more specific",
                one.name, one.line
            )
        }
    }
}

/// Finds the routes that clash, one other for each at the most. (Too many shapes are found by [`Table::new`].)
pub fn clashes(routes: &[Route]) -> Vec<Clash> {
    let mut by_shape: HashMap<Shape, Vec<usize>> = HashMap::new();
    for (i, r) in routes.iter().enumerate() {
        by_shape.entry(r.when.shape()).or_default().push(i);
    }
    let mut shapes: Vec<&Shape> = by_shape.keys().collect();
    shapes.sort();
    let (mut clashes, mut named) = (Vec::new(), BTreeSet::new());
    for (n, one) in shapes.iter().enumerate().take(MAX_SHAPES) {
        for other in shapes.iter().skip(n).take(MAX_SHAPES) {
            let meet = one.meet(other);
            // Where one looks at nothing that the other does not, it is the less specific, and no clash.
            if n < shapes.len() && (meet == **one || meet == **other) && one != other {
                continue;
            }
            let mut seen: HashMap<u64, Vec<usize>> = HashMap::new();
            for i in &by_shape[*one] {
                if let Some(key) = routes[*i].when.under(&meet) {
                    seen.entry(key).or_default().push(*i);
                }
            }
            for j in &by_shape[*other] {
                let Some(key) = routes[*j].when.under(&meet) else { continue };
                let Some(i) = seen.get(&key).and_then(|list| list.iter().find(|i| **i != *j)) else {
                    continue;
                };
                let (first, second) = (*i.min(j), *i.max(j));
                if named.insert(second) {
                    clashes.push(Clash { one: first, other: second, same: one == other });
                }
            }
        }
    }
    clashes.sort_by_key(|c| c.other);
    clashes
}

/// The routes of a configuration, ready to be asked.
#[derive(Debug)]
pub struct Table {
    /// From the most specific on.
    shapes: Vec<(Shape, HashMap<u64, Vec<u32>>)>,
    routes: Vec<Route>,
    pools: Vec<String>,
}

impl Table {
    /// Compiles a checked configuration's routes; more than [`MAX_SHAPES`] kinds of conditions are told.
    pub fn new(config: &Config) -> Result<Table, String> {
        let mut by_shape: HashMap<Shape, HashMap<u64, Vec<u32>>> = HashMap::new();
        for (i, route) in config.routes.iter().enumerate() {
            let shape = route.when.shape();
            if let Some(key) = route.when.under(&shape) {
                by_shape.entry(shape).or_default().entry(key).or_default().push(i as u32);
            }
        }
        if by_shape.len() > MAX_SHAPES {
            return Err(format!(
                "route: {} kinds of conditions; expected {MAX_SHAPES} at most, for each costs every request a look-up",
                by_shape.len()
            ));
        }
        let mut shapes: Vec<_> = by_shape.into_iter().collect();
        shapes.sort_by(|(a, _), (b, _)| b.rank().cmp(&a.rank()).then_with(|| a.cmp(b)));
        let pools = config.pools.iter().map(|p| p.name.clone()).collect();
        Ok(Table { shapes, routes: config.routes.clone(), pools })
    }

    /// The route that a request takes: the most specific one that matches.
    pub fn route(&self, request: &Request<'_>) -> Option<&Route> {
        self.shapes.iter().find_map(|(shape, routes)| {
            let found = routes.get(&shape.key(request)?)?;
            // Keys are hashes: what they find is looked at.
            found.iter().map(|i| &self.routes[*i as usize]).find(|r| r.when.matches(request))
        })
    }

    /// For each route the place of the narrowest other one that matches all that it matches. The routes of a checked
    /// configuration are nested or apart: two that only overlap are a clash.
    pub fn outer(&self) -> Vec<Option<usize>> {
        let outer = |route: &Route| {
            let own = route.when.shape();
            // They are tried from the most specific on.
            self.shapes.iter().filter(|(s, _)| *s != own && s.meet(&own) == *s).find_map(|(shape, routes)| {
                let found = routes.get(&route.when.under(shape)?)?;
                let around = |i: &&u32| route.when.sample(|r| self.routes[**i as usize].when.matches(r));
                found.iter().find(around).map(|i| *i as usize)
            })
        };
        self.routes.iter().map(outer).collect()
    }

    /// Where a request with a key goes by a route; `key` is what keeps together what belongs together.
    pub fn share(&self, route: &Route, key: u64) -> Option<usize> {
        split::pick(&route.to, &self.pools, key).map(|s: &Share| s.pool)
    }
}
