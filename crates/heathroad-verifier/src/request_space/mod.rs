//! The space of all possible requests, divided into kinds that no condition distinguishes.
//!
//! A kind is a point with a value in each dimension. Values are ordered so that each condition on an
//! attribute selects an interval: names below one wildcard, or paths below one prefix, are adjacent.
//! The requests that match several conditions therefore form a box, a [`Region`].

mod builder;
mod hierarchy;
mod region;

pub use region::Region;

use builder::Builder;
use heathroad_routing::condition::{RequestAttributes, RouteCondition};
use heathroad_routing::config::Config;
use hierarchy::{Name, interval_below, join_path, split_host, split_path};

/// The maximum number of regions that make up all requests.
pub const MAX_ENTRY_POINTS: usize = 10_000;

/// The indices of the dimensions that every space has.
const LISTENER: usize = 0;
const HOST: usize = 1;
const PATH: usize = 2;
const METHOD: usize = 3;
const TENANT: usize = 4;
const CLASS: usize = 5;
/// The index of the first dimension of a header.
const FIRST_HEADER: usize = 6;

/// The error of a space with too many entry points.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{count} kinds of calls over JSON-RPC; expected {MAX_ENTRY_POINTS} at most")]
pub struct TooManyEntryPoints {
    /// The number of entry points.
    pub count: usize,
}

/// An attribute in which requests differ.
#[derive(Debug)]
struct Dimension {
    /// The name in messages.
    name: String,
    /// The values. `None` is the absence of a header.
    values: Vec<Option<String>>,
    /// The index of the value that messages omit.
    default: u32,
}

impl Dimension {
    fn new(name: &str, values: Vec<String>) -> Self {
        Dimension {
            name: name.to_string(),
            values: values.into_iter().map(Some).collect(),
            default: 0,
        }
    }

    fn header(name: &str, values: Vec<String>) -> Self {
        let mut dimension = Dimension::new(&header_dimension_name(name), values);
        dimension.values.insert(0, None);
        dimension
    }

    fn with_default(mut self, default: u32) -> Self {
        self.default = default;
        self
    }
}

fn header_dimension_name(header: &str) -> String {
    format!("header {header}")
}

/// The space of all kinds of requests.
#[derive(Debug)]
pub struct RequestSpace {
    dimensions: Vec<Dimension>,
    /// The values of the dimensions of hosts and paths, sorted.
    hosts: Vec<Name>,
    paths: Vec<Name>,
    entry_points: Vec<Region>,
}

impl RequestSpace {
    /// Returns the space as divided by the routes of a configuration and further conditions.
    ///
    /// `accepted_tenants` are the only tenants that the daemon accepts, if they are known.
    ///
    /// # Errors
    ///
    /// Fails if the space has more than [`MAX_ENTRY_POINTS`] entry points.
    pub fn new(
        config: &Config,
        conditions: &[&RouteCondition],
        accepted_tenants: Option<&[String]>,
    ) -> Result<RequestSpace, TooManyEntryPoints> {
        Builder::new(config, conditions, accepted_tenants).build()
    }

    /// Returns all points, including those that no request can have.
    pub fn full_region(&self) -> Region {
        let sizes = self
            .dimensions
            .iter()
            .map(|dimension| dimension.values.len() as u32);
        Region(sizes.map(|size| 0..size).collect())
    }

    /// Returns the requests that can exist, as disjoint regions.
    pub fn entry_points(&self) -> &[Region] {
        &self.entry_points
    }

    /// Returns the requests that match a condition, or `None` if there can be none.
    pub fn region(&self, condition: &RouteCondition) -> Option<Region> {
        let mut region = self.full_region();
        let attributes = [
            (LISTENER, &condition.listener),
            (METHOD, &condition.method),
            (TENANT, &condition.tenant),
            (CLASS, &condition.class),
        ];
        for (dimension, wanted) in attributes {
            if let Some(wanted) = wanted {
                region = region.with_value(dimension, self.find_value(dimension, wanted)?);
            }
        }
        if let Some(host) = &condition.host {
            region = match host.strip_prefix("*.") {
                Some(suffix) => {
                    let interval = interval_below(&self.hosts, &split_host(suffix), false);
                    region.with_interval(HOST, interval)
                }
                None => region.with_value(HOST, self.find_value(HOST, host)?),
            };
        }
        if let Some(path) = &condition.path {
            region = match path.strip_suffix("/*") {
                Some(prefix) => {
                    let interval = interval_below(&self.paths, &split_path(prefix), true);
                    region.with_interval(PATH, interval)
                }
                None => {
                    let path = join_path(&split_path(path));
                    region.with_value(PATH, self.find_value(PATH, &path)?)
                }
            };
        }
        if let Some((name, value)) = &condition.header {
            let dimension = self.find_header(name)?;
            region = region.with_value(dimension, self.find_value(dimension, value)?);
        }
        region.non_empty()
    }

    /// Iterates over the classes of a region, by value and name.
    pub fn classes<'a>(&'a self, region: &Region) -> impl Iterator<Item = (u32, &'a str)> {
        let values = region.intervals()[CLASS].clone();
        values.map(|value| (value, self.value(CLASS, value).unwrap_or_default()))
    }

    /// Returns the part of a region that is of one class.
    pub fn with_class(&self, region: &Region, class: u32) -> Region {
        region.with_value(CLASS, class)
    }

    /// Returns the default value of a dimension, or the first value of the region if the region
    /// does not contain the default.
    pub fn default_value(&self, region: &Region, dimension: usize) -> u32 {
        let default = self.dimensions[dimension].default;
        let interval = &region.intervals()[dimension];
        if interval.contains(&default) {
            default
        } else {
            interval.start
        }
    }

    /// Calls a function with the first request of a region, as the attributes that the
    /// routing table takes.
    pub fn with_first_request<T>(
        &self,
        region: &Region,
        inspect: impl FnOnce(&RequestAttributes<'_>) -> T,
    ) -> T {
        let first = |dimension: usize| self.value(dimension, region.intervals()[dimension].start);
        let text = |dimension: usize| first(dimension).unwrap_or_default();
        let header = |name: &str| first(self.find_header(name)?);
        // A call over JSON-RPC has no path.
        let is_call = !text(METHOD).is_empty();
        inspect(&RequestAttributes {
            listener: text(LISTENER),
            host: text(HOST),
            path: if is_call { "" } else { text(PATH) },
            method: text(METHOD),
            class: text(CLASS),
            tenant: text(TENANT),
            header: &header,
        })
    }

    /// Describes the first request of a region in a message: its class, and each value that is not
    /// the default.
    pub fn describe(&self, region: &Region) -> String {
        let class = self.value(CLASS, region.intervals()[CLASS].start);
        let mut parts = vec![format!("class {}", class.unwrap_or_default())];
        for (index, dimension) in self.dimensions.iter().enumerate() {
            let value = region.intervals()[index].start;
            if index == CLASS || value == dimension.default {
                continue;
            }
            parts.push(match self.value(index, value) {
                Some("") | None => format!("no {}", dimension.name),
                Some(text) if index >= FIRST_HEADER => format!("{}: {text}", dimension.name),
                Some(text) => format!("{} {text}", dimension.name),
            });
        }
        parts.join(", ")
    }

    fn value(&self, dimension: usize, value: u32) -> Option<&str> {
        self.dimensions[dimension]
            .values
            .get(value as usize)?
            .as_deref()
    }

    fn find_value(&self, dimension: usize, wanted: &str) -> Option<u32> {
        let mut values = self.dimensions[dimension].values.iter();
        let index = values.position(|value| value.as_deref() == Some(wanted))?;
        Some(index as u32)
    }

    fn find_header(&self, header: &str) -> Option<usize> {
        let name = header_dimension_name(header);
        let headers = FIRST_HEADER..self.dimensions.len();
        headers
            .into_iter()
            .find(|index| self.dimensions[*index].name == name)
    }
}
