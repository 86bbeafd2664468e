//! The conditions of a route, and what of a request they look at. Routes with conditions on the
//! same fields are of one shape.

use serde::Serialize;
use std::hash::{DefaultHasher, Hash, Hasher};

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
pub(crate) struct Shape {
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
            Some(Some(rest)) => {
                Part::Some(rest.split('.').count().min(usize::from(u16::MAX)) as u16)
            }
            Some(None) => Part::Whole,
        }
    }

    pub(crate) fn shape(&self) -> Shape {
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
    pub(crate) fn under(&self, shape: &Shape) -> Option<u64> {
        self.sample(|request| shape.key(request))
    }

    /// A request that fulfils the conditions and has nothing beside.
    pub(crate) fn sample<T>(&self, look: impl FnOnce(&Request<'_>) -> T) -> T {
        let own = |name: &Option<String>| name.clone().unwrap_or_default();
        // A wildcard host has one label more than it names.
        let host = self
            .host
            .as_deref()
            .map(|h| h.replace('*', "x"))
            .unwrap_or_default();
        let path = self
            .path
            .as_deref()
            .map(|p| p.strip_suffix("/*").unwrap_or(p))
            .unwrap_or_default();
        let value = self.header.as_ref().map(|(_, v)| v.as_str());
        let header =
            |name: &str| value.filter(|_| self.header.as_ref().is_some_and(|(n, _)| n == name));
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
            Some((_, Some(rest))) => r
                .host
                .strip_suffix(rest)
                .is_some_and(|h| h.len() > 1 && h.ends_with('.')),
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
        let header = self
            .header
            .as_ref()
            .is_none_or(|(name, value)| (r.header)(name) == Some(value));
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
        let mut words: Vec<String> = said
            .iter()
            .filter_map(|(name, value)| Some(format!("{name} {}", value.as_ref()?)))
            .collect();
        words.extend(
            self.header
                .as_ref()
                .map(|(name, value)| format!("header {name}: {value}")),
        );
        if words.is_empty() {
            "every request".to_string()
        } else {
            format!("requests with {}", words.join(", "))
        }
    }
}

impl Shape {
    /// Grows with each condition: a match within another's has the higher rank.
    pub(crate) fn rank(&self) -> u32 {
        let flags = [
            self.header.is_some(),
            self.class,
            self.tenant,
            self.method,
            self.listener,
        ];
        self.path.rank() + self.host.rank() + flags.into_iter().map(u32::from).sum::<u32>()
    }

    /// What both look at.
    pub(crate) fn meet(&self, other: &Shape) -> Shape {
        Shape {
            path: self.path.min(other.path),
            host: self.host.min(other.host),
            header: self
                .header
                .clone()
                .filter(|h| other.header.as_ref() == Some(h)),
            class: self.class && other.class,
            tenant: self.tenant && other.tenant,
            method: self.method && other.method,
            listener: self.listener && other.listener,
        }
    }

    /// What this shape sees of a request; none if it has no such part.
    pub(crate) fn key(&self, r: &Request<'_>) -> Option<u64> {
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
        flagged
            .into_iter()
            .filter(|(on, _)| *on)
            .for_each(|(_, text)| text.hash(&mut hash));
        Some(hash.finish())
    }
}
