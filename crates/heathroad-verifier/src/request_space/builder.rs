//! Construction of a request space from the conditions of routes and expectations.

use super::hierarchy::{
    Name, join_host, join_path, representative_names, split_host, split_path, unused_text,
};
use super::region::Region;
use super::{
    CLASS, Dimension, FIRST_HEADER, HOST, LISTENER, MAX_ENTRY_POINTS, METHOD, PATH, RequestSpace,
    TENANT, TooManyEntryPoints,
};
use heathroad_routing::condition::RouteCondition;
use heathroad_routing::config::{Config, Listener, MAIN_LISTENER, TenantSource};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

/// JSON-RPC calls of a method, which represents all methods that no condition distinguishes from
/// it.
struct CallKind {
    /// The index of the listener in the configuration.
    listener: usize,
    method: String,
    class: String,
}

/// The values of the tenant dimension.
struct TenantValues {
    values: Vec<String>,
    /// The index of the value that messages omit.
    default: u32,
    /// The number of tenants that the daemon accepts, which come first; 0 if all are accepted.
    accepted: usize,
}

/// The values of the class dimension.
struct ClassValues {
    values: Vec<String>,
    /// The number of classes that some pool serves, which come first.
    served: usize,
}

pub(super) struct Builder<'a> {
    config: &'a Config,
    conditions: Vec<&'a RouteCondition>,
    accepted_tenants: BTreeSet<String>,
}

impl<'a> Builder<'a> {
    pub(super) fn new(
        config: &'a Config,
        conditions: &[&'a RouteCondition],
        accepted_tenants: Option<&[String]>,
    ) -> Self {
        let routes = config.routes.iter().map(|route| &route.condition);
        Builder {
            config,
            conditions: routes.chain(conditions.iter().copied()).collect(),
            accepted_tenants: accepted_tenants
                .unwrap_or_default()
                .iter()
                .cloned()
                .collect(),
        }
    }

    pub(super) fn build(&self) -> Result<RequestSpace, TooManyEntryPoints> {
        let hosts = self.names(|condition| condition.host.as_deref(), split_host);
        let paths = self.names(|condition| condition.path.as_deref(), split_path);
        let call_kinds = self.call_kinds();
        let tenants = self.tenants();
        let classes = self.classes();
        let mut dimensions = vec![
            Dimension::new("listener", self.listeners()),
            Dimension::new("host", hosts.iter().map(|name| join_host(name)).collect()),
            Dimension::new("path", paths.iter().map(|name| join_path(name)).collect()),
            Dimension::new("method", self.methods(&call_kinds)),
            Dimension::new("tenant", tenants.values.clone()).with_default(tenants.default),
            Dimension::new("class", classes.values.clone()),
        ];
        dimensions.extend(self.headers());
        let mut space = RequestSpace {
            dimensions,
            hosts,
            paths,
            entry_points: Vec::new(),
        };
        space.entry_points = self.entry_points(&space, &tenants, &classes, &call_kinds);
        if space.entry_points.len() > MAX_ENTRY_POINTS {
            return Err(TooManyEntryPoints {
                count: space.entry_points.len(),
            });
        }
        Ok(space)
    }

    /// Returns the distinct values that conditions require of an attribute.
    fn condition_values(
        &self,
        attribute: fn(&RouteCondition) -> &Option<String>,
    ) -> BTreeSet<String> {
        let values = self.conditions.iter().map(|condition| attribute(condition));
        values.flatten().cloned().collect()
    }

    fn names(
        &self,
        attribute: fn(&RouteCondition) -> Option<&str>,
        split: fn(&str) -> Name,
    ) -> Vec<Name> {
        let condition_values = self
            .conditions
            .iter()
            .filter_map(|condition| attribute(condition));
        let is_prefix = |text: &&str| text.ends_with("/*") || text.starts_with("*.");
        let (prefixes, whole): (Vec<&str>, Vec<&str>) = condition_values.partition(is_prefix);
        let split_all = |texts: Vec<&str>| -> Vec<Name> {
            let trimmed = texts.into_iter().map(|text| {
                let text = text.trim_start_matches("*.");
                text.trim_end_matches("/*")
            });
            trimmed.map(split).collect()
        };
        representative_names(&split_all(whole), &split_all(prefixes))
    }

    fn listeners(&self) -> Vec<String> {
        let mut listeners = vec![MAIN_LISTENER.to_string()];
        listeners.extend(self.config.listeners.iter().map(|l| l.name.clone()));
        let condition_values = self.condition_values(|condition| &condition.listener);
        let unknown: Vec<String> = condition_values
            .into_iter()
            .filter(|name| !listeners.contains(name))
            .collect();
        listeners.extend(unknown);
        listeners
    }

    fn classes(&self) -> ClassValues {
        let pools = self.config.pools.iter();
        let served: BTreeSet<String> = pools
            .flat_map(|pool| &pool.classes)
            .map(|class| class.name.clone())
            .collect();
        let condition_values = self.condition_values(|condition| &condition.class);
        ClassValues {
            served: served.len(),
            values: served
                .iter()
                .chain(condition_values.difference(&served))
                .cloned()
                .collect(),
        }
    }

    fn tenants(&self) -> TenantValues {
        let mut named = self.condition_values(|condition| &condition.tenant);
        named.extend(self.config.tenants.iter().cloned());
        for listener in &self.config.listeners {
            match &listener.tenant_source {
                TenantSource::Fixed(tenant) => drop(named.insert(tenant.clone())),
                TenantSource::ClientAddress(tenants) => named.extend(tenants.values().cloned()),
                TenantSource::None | TenantSource::Params(_) => {}
            }
        }
        let accepted = &self.accepted_tenants;
        let others = named.difference(accepted);
        let mut values: Vec<String> = accepted.iter().chain(others).cloned().collect();
        let unnamed = unused_text(values.iter().map(String::as_str));
        // Without known tenants, the default is a request without a tenant.
        let default = if accepted.is_empty() {
            values.len() as u32
        } else {
            0
        };
        values.extend([String::new(), unnamed]);
        TenantValues {
            values,
            default,
            accepted: accepted.len(),
        }
    }

    fn headers(&self) -> Vec<Dimension> {
        let mut values_by_name: BTreeMap<&String, BTreeSet<&String>> = BTreeMap::new();
        for (name, value) in self.conditions.iter().filter_map(|c| c.header.as_ref()) {
            values_by_name.entry(name).or_default().insert(value);
        }
        let dimension = |(name, values): (&String, BTreeSet<&String>)| {
            let values = values.into_iter().cloned();
            Dimension::header(name, values.collect())
        };
        values_by_name.into_iter().map(dimension).collect()
    }

    /// Returns a method that neither a condition nor a listener names.
    fn unnamed_method(&self) -> String {
        let condition_values = self.condition_values(|condition| &condition.method);
        let offered = self.config.listeners.iter().flat_map(|l| l.methods.keys());
        unused_text(offered.chain(&condition_values).map(String::as_str))
    }

    fn methods(&self, call_kinds: &[CallKind]) -> Vec<String> {
        let mut methods = self.condition_values(|condition| &condition.method);
        methods.extend([String::new(), self.unnamed_method()]);
        methods.extend(call_kinds.iter().map(|kind| kind.method.clone()));
        methods.into_iter().collect()
    }

    fn call_kinds(&self) -> Vec<CallKind> {
        let condition_values = self.condition_values(|condition| &condition.method);
        let unnamed = self.unnamed_method();
        let listeners = self.config.listeners.iter().enumerate();
        let kinds = listeners.flat_map(|(index, listener)| {
            let methods = representative_methods(listener, &condition_values, &unnamed);
            methods.into_iter().map(move |(method, class)| CallKind {
                listener: index,
                method,
                class,
            })
        });
        kinds.collect()
    }

    /// Returns the requests that can exist, as disjoint regions: any HTTP request, and the JSON-RPC
    /// calls, whose method determines the class and whose listener determines the tenants.
    fn entry_points(
        &self,
        space: &RequestSpace,
        tenants: &TenantValues,
        classes: &ClassValues,
        call_kinds: &[CallKind],
    ) -> Vec<Region> {
        let full_region = space.full_region();
        let accepted = match tenants.accepted {
            0 => full_region.intervals()[TENANT].clone(),
            accepted => 0..accepted as u32,
        };
        let mut entry_points = Vec::new();
        if classes.served > 0 {
            // The first listener is the HTTP one, and the first method is empty.
            let http = full_region.with_value(LISTENER, 0).with_value(METHOD, 0);
            let http = http.with_interval(TENANT, accepted.clone());
            entry_points.push(http.with_interval(CLASS, 0..classes.served as u32));
        }
        for kind in call_kinds {
            let Some(region) = call_region(space, &full_region, kind) else {
                continue;
            };
            let source = &self.config.listeners[kind.listener].tenant_source;
            let intervals = tenant_intervals(source, &tenants.values, &accepted);
            let regions = intervals
                .into_iter()
                .map(|i| region.with_interval(TENANT, i));
            entry_points.extend(regions);
        }
        entry_points
    }
}

/// Returns methods of a listener with their classes that represent all calls in every condition. Of
/// the methods that no condition names, one of each class is enough.
fn representative_methods(
    listener: &Listener,
    condition_values: &BTreeSet<String>,
    unnamed: &str,
) -> Vec<(String, String)> {
    let mut methods = Vec::new();
    let mut first_by_class: BTreeMap<&str, &str> = BTreeMap::new();
    for (name, method) in &listener.methods {
        if condition_values.contains(name) {
            methods.push((name.clone(), method.class.clone()));
        } else {
            let first = first_by_class.entry(&method.class).or_insert(name);
            *first = (*first).min(name.as_str());
        }
    }
    let firsts = first_by_class.into_iter();
    methods.extend(firsts.map(|(class, name)| (name.to_string(), class.to_string())));
    if let Some(default) = &listener.default_method {
        methods.push((unnamed.to_string(), default.class.clone()));
        let others = condition_values
            .iter()
            .filter(|name| !listener.methods.contains_key(*name));
        methods.extend(others.map(|name| (name.clone(), default.class.clone())));
    }
    methods
}

/// Returns the calls of a kind, with any tenant.
fn call_region(space: &RequestSpace, full_region: &Region, kind: &CallKind) -> Option<Region> {
    let method = space.find_value(METHOD, &kind.method)?;
    let class = space.find_value(CLASS, &kind.class)?;
    // The configured listeners follow the HTTP listener.
    let listener = kind.listener as u32 + 1;
    let mut region = full_region
        .with_value(LISTENER, listener)
        .with_value(METHOD, method)
        .with_value(CLASS, class);
    // A call has no host, path or headers; the first value of each dimension means absent.
    let headers = FIRST_HEADER..space.dimensions.len();
    for dimension in headers.chain([HOST, PATH]) {
        region = region.with_value(dimension, 0);
    }
    Some(region)
}

/// Returns the tenants of calls to a listener.
fn tenant_intervals(
    source: &TenantSource,
    values: &[String],
    accepted: &Range<u32>,
) -> Vec<Range<u32>> {
    let interval = |name: &str| {
        let index = values.iter().position(|value| value == name)? as u32;
        Some(index..index + 1)
    };
    match source {
        TenantSource::None => interval("").into_iter().collect(),
        TenantSource::Fixed(tenant) => interval(tenant).into_iter().collect(),
        TenantSource::ClientAddress(tenants) => {
            let names: BTreeSet<&str> = tenants.values().map(String::as_str).chain([""]).collect();
            names.into_iter().filter_map(interval).collect()
        }
        TenantSource::Params(_) => vec![accepted.clone()],
    }
}
