//! Pools: their backends, the classes that they serve and their JSON-RPC settings.

use super::parser::Section;
use super::{LocatedPool, MAX_DURATION_MS, MAX_POOLS};
use heathroad_jsonrpc::Framing;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use toml::Spanned;
use toml::de::DeValue;

/// The maximum number of classes of a pool.
const MAX_CLASSES: usize = 1_000;
/// The maximum value of a pool's limit on requests in flight.
const MAX_OPEN_REQUESTS: u32 = 1_000_000;
/// The minimum and maximum weight of a backend.
const BACKEND_WEIGHTS: [f64; 2] = [0.01, 1000.0];
/// The maximum priority weight of a class.
const MAX_PRIORITY_WEIGHT: f64 = 1e6;
/// The maximum number of concurrent calls on one connection to a backend.
const MAX_CONCURRENT_CALLS: u32 = 1_000;
/// The maximum absolute value of a JSON-RPC error code.
const MAX_ERROR_CODE: f64 = 1e9;
/// The labels by which a pool selects hosts from a registry.
const REGISTRY_LABELS: [&str; 3] = ["site", "class", "block"];

/// A set of backends that serve the same classes.
///
/// The daemon hashes the serialized form, so its names must not change when a field is renamed.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Pool {
    /// The unique name of the pool.
    pub name: String,
    /// Where the backends come from.
    pub source: BackendSource,
    /// The classes that the pool serves.
    pub classes: Vec<Class>,
    /// The maximum number of requests in flight. `None` applies the daemon's limit.
    #[serde(rename = "open")]
    pub max_open_requests: Option<u32>,
    /// How the backends speak JSON-RPC. `None` if they do not.
    #[serde(rename = "rpc")]
    pub jsonrpc: Option<JsonRpcSettings>,
}

/// Where the backends of a pool come from.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub enum BackendSource {
    /// The configuration file lists them.
    List(Vec<ListedBackend>),
    /// A registry announces them.
    Registry {
        /// The address of the registry. `None` means the one that the daemon was started with.
        address: Option<SocketAddr>,
        /// The labels that a host must have: `site`, `class`, `block`.
        select: BTreeMap<String, String>,
    },
}

/// A backend that the configuration file lists.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ListedBackend {
    /// The address, which also identifies the backend.
    pub address: SocketAddr,
    /// The site.
    pub site: String,
    /// The block, a small group of backends that share deduplication.
    pub block: u16,
    /// The capacity relative to that of the other backends.
    pub weight: f64,
}

/// A request class as a pool serves it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Class {
    /// The name of the class.
    pub name: String,
    /// Whether a request of the class may run more than once.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// The latency objective in milliseconds. Only responses within it count with full weight.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: f64,
    /// The maximum duration of a request in milliseconds.
    pub deadline_ms: f64,
    /// The priority weight of a request.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub enum Idempotency {
    /// A request may run any number of times.
    #[serde(rename = "Safe")]
    Idempotent,
    /// Backends deduplicate requests by idempotency key.
    Keyed {
        /// The backends that share deduplication.
        #[serde(rename = "group")]
        scope: DeduplicationScope,
        /// For how long backends remember a key, in milliseconds.
        window_ms: f64,
    },
    /// A request must never run twice.
    #[serde(rename = "Unsafe")]
    NonIdempotent,
}

/// The backends that share deduplication.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum DeduplicationScope {
    /// All backends of the pool.
    All,
    /// The backends of one site.
    Site,
    /// The backends of one block.
    Block,
}

/// How the backends of a pool speak JSON-RPC.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct JsonRpcSettings {
    /// The port for JSON-RPC. `None` means the port of the backend's address.
    pub port: Option<u16>,
    /// How messages are delimited on connections to the backends.
    pub framing: Framing,
    /// The maximum number of concurrent calls on one connection.
    #[serde(rename = "calls")]
    pub max_concurrent_calls: u32,
    /// The error code with which a backend rejects a call without running it, if any.
    #[serde(rename = "declined")]
    pub rejection_code: Option<i64>,
    /// Whether calls carry a retry budget in members that are not part of the specification.
    #[serde(rename = "budget")]
    pub carries_budget: bool,
}

impl fmt::Display for DeduplicationScope {
    /// Writes the value of the configuration key `group`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DeduplicationScope::All => "all",
            DeduplicationScope::Site => "site",
            DeduplicationScope::Block => "block",
        })
    }
}

/// Parses all `[[pool]]` tables.
pub(super) fn parse_pools(root: &Section<'_, '_>) -> Vec<LocatedPool> {
    let mut names = BTreeMap::new();
    let sections = root.tables("pool", MAX_POOLS);
    let pools: Vec<LocatedPool> = sections
        .iter()
        .map(|section| LocatedPool {
            pool: parse_pool(section, &mut names),
            offset: section.offset,
        })
        .collect();
    if pools.is_empty() {
        let expected = "one [[pool]] at the least";
        root.document
            .report(0, "pool", "is missing or empty", expected);
    }
    pools
}

fn parse_pool(section: &Section<'_, '_>, names: &mut BTreeMap<String, usize>) -> Pool {
    let mut class_names = BTreeMap::new();
    let pool = Pool {
        name: section.unique_name(names),
        source: parse_source(section),
        classes: section
            .tables("class", MAX_CLASSES)
            .iter()
            .map(|class| parse_class(class, &mut class_names))
            .collect(),
        max_open_requests: section.integer("open", 1, MAX_OPEN_REQUESTS),
        jsonrpc: parse_jsonrpc(section),
    };
    if pool.classes.is_empty() {
        let expected = "one [[pool.class]] at the least";
        section.report("class", "is missing or empty", expected);
    }
    section.reject_unknown_keys();
    pool
}

fn parse_source(section: &Section<'_, '_>) -> BackendSource {
    let (list, registry) = (section.value("backends"), section.value("registry"));
    let select = section.value("select");
    match (list, registry.or(select)) {
        (Some(list), None) => BackendSource::List(parse_backends(section, list)),
        (None, Some(_)) => BackendSource::Registry {
            address: registry
                .filter(|value| value.get_ref().as_str() != Some("default"))
                .and_then(|value| section.parse_address(value, "registry")),
            select: select.map_or_else(BTreeMap::new, |value| parse_labels(section, value)),
        },
        (list, _) => {
            let reason = match list {
                Some(_) => "both a list and a registry",
                None => "neither a list nor a registry",
            };
            let expected = "`backends`, or `registry` (an address, or \"default\") with `select`";
            section.report("backends", reason, expected);
            BackendSource::List(Vec::new())
        }
    }
}

fn parse_labels<'t>(
    section: &Section<'_, 't>,
    value: &'t Spanned<DeValue<'t>>,
) -> BTreeMap<String, String> {
    let Some(table) = value.get_ref().as_table() else {
        section.report_kind(value, "select", "a table of labels");
        return BTreeMap::new();
    };
    let labels = section.child(table, section.offset, section.field("select"));
    let selected = REGISTRY_LABELS
        .into_iter()
        .filter_map(|label| Some((label.to_string(), labels.string(label)?)))
        .collect();
    labels.reject_unknown_keys();
    selected
}

/// Parses a list whose items are addresses or tables with an address.
fn parse_backends<'t>(
    section: &Section<'_, 't>,
    value: &'t Spanned<DeValue<'t>>,
) -> Vec<ListedBackend> {
    let Some(array) = value.get_ref().as_array() else {
        let expected = "a list of addresses, or of tables with `address`";
        section.report_kind(value, "backends", expected);
        return Vec::new();
    };
    if array.is_empty() {
        section.report_value(value, "backends", "is empty", "one backend at the least");
    }
    let mut backends = Vec::new();
    for (index, item) in array.iter().enumerate() {
        backends.extend(match item.get_ref() {
            DeValue::Table(table) => {
                let path = format!("{}[{index}]", section.field("backends"));
                parse_backend(&section.child(table, item.span().start, path))
            }
            _ => section
                .parse_address(item, "backends")
                .map(|address| ListedBackend {
                    address,
                    site: String::new(),
                    block: 0,
                    weight: 1.0,
                }),
        });
    }
    backends
}

fn parse_backend(section: &Section<'_, '_>) -> Option<ListedBackend> {
    let [min_weight, max_weight] = BACKEND_WEIGHTS;
    let address = section.required_address("address");
    let site = section.string("site").unwrap_or_default();
    let block = section
        .integer("block", 0, u32::from(u16::MAX))
        .unwrap_or(0) as u16;
    let weight = section
        .number("weight", min_weight, max_weight)
        .unwrap_or(1.0);
    section.reject_unknown_keys();
    Some(ListedBackend {
        address: address?,
        site,
        block,
        weight,
    })
}

fn parse_class(section: &Section<'_, '_>, names: &mut BTreeMap<String, usize>) -> Class {
    let name = section.unique_name(names);
    let idempotency = parse_idempotency(section);
    let latency_objective_ms = section.required_number("aim_ms", 1.0, MAX_DURATION_MS);
    let deadline_ms = section.required_number("deadline_ms", 1.0, MAX_DURATION_MS);
    if latency_objective_ms > deadline_ms {
        let reason = format!("{latency_objective_ms} exceeds the deadline of {deadline_ms}");
        section.report("aim_ms", reason, "at most the deadline");
    }
    let priority_weight = section
        .number("worth", 0.0, MAX_PRIORITY_WEIGHT)
        .unwrap_or(1.0);
    section.reject_unknown_keys();
    Class {
        name,
        idempotency,
        latency_objective_ms,
        deadline_ms,
        priority_weight,
    }
}

fn parse_idempotency(section: &Section<'_, '_>) -> Idempotency {
    let expected = "\"safe\", \"keyed\" or \"unsafe\"";
    let has_scope = section.string("group").is_some();
    let window_ms = section.number("window_ms", 1.0, MAX_DURATION_MS);
    let has_window = section.has("window_ms");
    let effect = section.string("effect");
    match effect.as_deref() {
        Some("keyed") => {
            if !has_window {
                let expected = "for how long repeats are dropped, in milliseconds";
                section.report_missing("window_ms", expected);
            }
            return Idempotency::Keyed {
                scope: parse_deduplication_scope(section),
                window_ms: window_ms.unwrap_or(1.0),
            };
        }
        Some(effect @ ("safe" | "unsafe")) => {
            if has_scope || has_window {
                let reason = format!("{effect:?} with `group` or `window_ms`");
                section.report("effect", reason, "these keys only with \"keyed\"");
            }
            if effect == "safe" {
                return Idempotency::Idempotent;
            }
        }
        Some(other) => section.report("effect", format!("is {other:?}"), expected),
        None if !section.has("effect") => section.report_missing("effect", expected),
        None => {}
    }
    Idempotency::NonIdempotent
}

/// Parses the key `group`, which defaults to all backends of the pool.
pub fn parse_deduplication_scope(section: &Section<'_, '_>) -> DeduplicationScope {
    let words = [
        ("all", DeduplicationScope::All),
        ("site", DeduplicationScope::Site),
        ("block", DeduplicationScope::Block),
    ];
    section.choice("group", &words, "\"all\", \"site\" or \"block\"")
}

fn parse_jsonrpc(section: &Section<'_, '_>) -> Option<JsonRpcSettings> {
    let table = section.table("rpc")?;
    let port = table.integer("port", 1, u32::from(u16::MAX));
    let rejection_code = table.number("declined", -MAX_ERROR_CODE, MAX_ERROR_CODE);
    let settings = JsonRpcSettings {
        port: port.map(|port| port as u16),
        framing: parse_framing(&table),
        max_concurrent_calls: table.integer("calls", 1, MAX_CONCURRENT_CALLS).unwrap_or(1),
        rejection_code: rejection_code.map(|code| code as i64),
        carries_budget: table.boolean("budget").unwrap_or(false),
    };
    table.reject_unknown_keys();
    Some(settings)
}

/// Parses the key `framing`, which defaults to one message per line.
pub(super) fn parse_framing(section: &Section<'_, '_>) -> Framing {
    let words = [
        ("lines", Framing::Lines),
        ("headers", Framing::Headers),
        ("run-on", Framing::Concatenated),
    ];
    section.choice("framing", &words, "\"lines\", \"headers\" or \"run-on\"")
}
