//! Route conditions, and the request attributes that they compare.
//!
//! Conditions that compare the same attributes have the same `ConditionShape`, so that one hash
//! lookup finds the routes of a shape that a request may match.

use serde::Serialize;
use std::hash::{DefaultHasher, Hash, Hasher};

/// The conditions of a route. An attribute without a condition matches every value.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize)]
pub struct RouteCondition {
    /// The name of the listener.
    pub listener: Option<String>,
    /// The host in lower case: a name, or `*.` and the suffix of the name.
    pub host: Option<String>,
    /// The exact path, or a path prefix that ends with `/*`.
    pub path: Option<String>,
    /// The method name of a JSON-RPC call.
    pub method: Option<String>,
    /// The request class.
    pub class: Option<String>,
    /// The tenant.
    pub tenant: Option<String>,
    /// A header name in lower case, and its value.
    pub header: Option<(String, String)>,
}

/// The request attributes that conditions compare. An absent attribute is empty.
pub struct RequestAttributes<'a> {
    /// The listener that accepted the request.
    pub listener: &'a str,
    /// The host in lower case, without a port.
    pub host: &'a str,
    /// The path without the query.
    pub path: &'a str,
    /// The method name of a JSON-RPC call.
    pub method: &'a str,
    /// The request class.
    pub class: &'a str,
    /// The tenant.
    pub tenant: &'a str,
    /// Looks up a header by its name in lower case.
    pub header: &'a dyn Fn(&str) -> Option<&'a str>,
}

/// How much of a host or path a condition compares.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum NameScope {
    /// Nothing.
    Any,
    /// A number of parts: the last labels of a host, or the first segments of a path.
    Parts(u16),
    /// The complete name.
    Whole,
}

/// The set of attributes that a condition compares.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ConditionShape {
    path: NameScope,
    host: NameScope,
    header: Option<String>,
    class: bool,
    tenant: bool,
    method: bool,
    listener: bool,
}

impl NameScope {
    /// The specificity of a complete name, above that of any number of parts.
    const WHOLE_SPECIFICITY: u32 = 1 << 17;

    fn of_parts(count: usize) -> NameScope {
        NameScope::Parts(u16::try_from(count).unwrap_or(u16::MAX))
    }

    fn specificity(self) -> u32 {
        match self {
            NameScope::Any => 0,
            NameScope::Parts(n) => 1 + u32::from(n),
            NameScope::Whole => Self::WHOLE_SPECIFICITY,
        }
    }
}

/// Iterates over the non-empty segments of a path.
fn path_segments(path: &str) -> impl Iterator<Item = &str> {
    path.trim_matches('/').split('/').filter(|s| !s.is_empty())
}

/// Returns the first `count` segments of a path, or `None` if it has fewer.
fn first_segments(path: &str, count: u16) -> Option<Vec<&str>> {
    let count = usize::from(count);
    let segments: Vec<&str> = path_segments(path).take(count).collect();
    (segments.len() == count).then_some(segments)
}

/// Returns the last `count` labels of a host, or `None` if it has no further ones.
fn last_labels(host: &str, count: u16) -> Option<&str> {
    let mut start = host.len();
    for _ in 0..count {
        start = host[..start].rfind('.')?;
    }
    Some(&host[start + 1..])
}

impl RouteCondition {
    /// Returns whether a request satisfies every condition.
    pub fn matches(&self, request: &RequestAttributes<'_>) -> bool {
        let equals = |expected: &Option<String>, actual: &str| {
            expected
                .as_deref()
                .is_none_or(|expected| expected == actual)
        };
        self.matches_host(request.host)
            && self.matches_path(request.path)
            && self.matches_header(request)
            && equals(&self.listener, request.listener)
            && equals(&self.method, request.method)
            && equals(&self.class, request.class)
            && equals(&self.tenant, request.tenant)
    }

    fn matches_host(&self, host: &str) -> bool {
        let Some(expected) = self.host.as_deref() else {
            return true;
        };
        match expected.strip_prefix("*.") {
            Some(suffix) => host
                .strip_suffix(suffix)
                .is_some_and(|labels| labels.len() > 1 && labels.ends_with('.')),
            None => expected == host,
        }
    }

    fn matches_path(&self, path: &str) -> bool {
        let Some(expected) = self.path.as_deref() else {
            return true;
        };
        let mut segments = path_segments(path);
        match expected.strip_suffix("/*") {
            Some(prefix) => path_segments(prefix).all(|s| segments.next() == Some(s)),
            None => path_segments(expected).eq(segments),
        }
    }

    fn matches_header(&self, request: &RequestAttributes<'_>) -> bool {
        let Some((name, value)) = &self.header else {
            return true;
        };
        (request.header)(name) == Some(value)
    }

    /// Returns a human-readable description of the matching requests.
    pub fn describe(&self) -> String {
        let attributes = [
            ("listener", &self.listener),
            ("host", &self.host),
            ("path", &self.path),
            ("method", &self.method),
            ("class", &self.class),
            ("tenant", &self.tenant),
        ];
        let mut parts: Vec<String> = attributes
            .into_iter()
            .filter_map(|(name, value)| Some(format!("{name} {}", value.as_ref()?)))
            .collect();
        if let Some((name, value)) = &self.header {
            parts.push(format!("header {name}: {value}"));
        }
        if parts.is_empty() {
            return "every request".to_string();
        }
        format!("requests with {}", parts.join(", "))
    }

    fn path_scope(&self) -> NameScope {
        let Some(path) = self.path.as_deref() else {
            return NameScope::Any;
        };
        match path.strip_suffix("/*") {
            Some(prefix) => match path_segments(prefix).count() {
                0 => NameScope::Any,
                count => NameScope::of_parts(count),
            },
            None => NameScope::Whole,
        }
    }

    fn host_scope(&self) -> NameScope {
        let Some(host) = self.host.as_deref() else {
            return NameScope::Any;
        };
        match host.strip_prefix("*.") {
            Some(suffix) => NameScope::of_parts(suffix.split('.').count()),
            None => NameScope::Whole,
        }
    }

    pub(crate) fn shape(&self) -> ConditionShape {
        ConditionShape {
            path: self.path_scope(),
            host: self.host_scope(),
            header: self.header.as_ref().map(|(name, _)| name.clone()),
            class: self.class.is_some(),
            tenant: self.tenant.is_some(),
            method: self.method.is_some(),
            listener: self.listener.is_some(),
        }
    }

    /// Returns the hash key of this condition in a shape that is at most as specific as its own.
    pub(crate) fn key_in(&self, shape: &ConditionShape) -> Option<u64> {
        self.with_minimal_request(|request| shape.key_of(request))
    }

    /// Calls a function with a request that has only the attributes that the conditions require.
    pub(crate) fn with_minimal_request<T>(
        &self,
        inspect: impl FnOnce(&RequestAttributes<'_>) -> T,
    ) -> T {
        let text = |value: &Option<String>| value.clone().unwrap_or_default();
        // A host that matches a wildcard has at least one more label than the suffix.
        let host = text(&self.host).replace('*', "x");
        let path = self.path.as_deref().unwrap_or_default();
        let header = |name: &str| {
            let (expected_name, value) = self.header.as_ref()?;
            (expected_name == name).then_some(value.as_str())
        };
        inspect(&RequestAttributes {
            listener: &text(&self.listener),
            host: &host,
            path: path.strip_suffix("/*").unwrap_or(path),
            method: &text(&self.method),
            class: &text(&self.class),
            tenant: &text(&self.tenant),
            header: &header,
        })
    }
}

impl ConditionShape {
    /// Returns a rank that increases with each compared attribute, so that a condition nested in
    /// another one has the higher rank.
    pub(crate) fn specificity(&self) -> u32 {
        let flags = [
            self.header.is_some(),
            self.class,
            self.tenant,
            self.method,
            self.listener,
        ];
        let flag_count: u32 = flags.into_iter().map(u32::from).sum();
        self.path.specificity() + self.host.specificity() + flag_count
    }

    /// Returns the attributes that both shapes compare.
    pub(crate) fn intersection(&self, other: &ConditionShape) -> ConditionShape {
        let header = self.header.as_ref();
        ConditionShape {
            path: self.path.min(other.path),
            host: self.host.min(other.host),
            header: header.filter(|h| other.header.as_ref() == Some(h)).cloned(),
            class: self.class && other.class,
            tenant: self.tenant && other.tenant,
            method: self.method && other.method,
            listener: self.listener && other.listener,
        }
    }

    /// Hashes the request attributes that the shape compares. Returns `None` if the request lacks
    /// one of them.
    pub(crate) fn key_of(&self, request: &RequestAttributes<'_>) -> Option<u64> {
        // The key never leaves this process, so it need not be stable across builds.
        let mut hasher = DefaultHasher::new();
        match self.path {
            NameScope::Any => {}
            NameScope::Parts(n) => first_segments(request.path, n)?.hash(&mut hasher),
            NameScope::Whole => path_segments(request.path).for_each(|s| s.hash(&mut hasher)),
        }
        0u8.hash(&mut hasher);
        match self.host {
            NameScope::Any => {}
            NameScope::Parts(n) => last_labels(request.host, n)?.hash(&mut hasher),
            NameScope::Whole => request.host.hash(&mut hasher),
        }
        if let Some(name) = &self.header {
            (request.header)(name)?.hash(&mut hasher);
        }
        let attributes = [
            (self.class, request.class),
            (self.tenant, request.tenant),
            (self.method, request.method),
            (self.listener, request.listener),
        ];
        for (compared, value) in attributes {
            if compared {
                value.hash(&mut hasher);
            }
        }
        Some(hasher.finish())
    }
}
