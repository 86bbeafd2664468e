//! JSON-RPC listeners: their limits, their methods and the source of a call's tenant.

use super::parser::Section;
use super::pool::{Idempotency, parse_framing};
use super::{LocatedPool, MAIN_LISTENER, MAX_DURATION_MS};
use heathroad_jsonrpc::{Framing, Pointer};
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use toml::Spanned;
use toml::de::DeValue;

/// The maximum number of listeners.
const MAX_LISTENERS: usize = 64;
/// The maximum number of methods of a listener.
const MAX_METHODS: usize = 10_000;
/// The only supported value of `protocol`.
const PROTOCOL: &str = "json-rpc";
/// The default value of `idle_ms`.
const DEFAULT_IDLE_TIMEOUT_MS: f64 = 600_000.0;

/// A JSON-RPC listener.
#[derive(Debug, Clone, PartialEq)]
pub struct Listener {
    /// The unique name of the listener, by which routes refer to it.
    pub name: String,
    /// The address that clients connect to.
    pub address: SocketAddr,
    /// How messages are delimited.
    pub framing: Framing,
    /// Whether responses are sent in the order of their calls.
    pub ordered_responses: bool,
    /// The maximum number of connections.
    pub max_connections: u32,
    /// The maximum number of concurrent calls on one connection.
    pub max_concurrent_calls: u32,
    /// The maximum size of a message in bytes.
    pub max_message_bytes: usize,
    /// The maximum number of calls in a batch.
    pub max_batch_size: usize,
    /// The maximum idle time of a connection, in milliseconds.
    pub idle_timeout_ms: f64,
    /// How the tenant of a call is determined.
    pub tenant_source: TenantSource,
    /// The methods by name.
    pub methods: HashMap<String, Method>,
    /// How calls to unlisted methods are treated. `None` rejects them.
    pub default_method: Option<Method>,
}

/// How the tenant of a call is determined.
#[derive(Debug, Clone, PartialEq)]
pub enum TenantSource {
    /// Calls have no tenant.
    None,
    /// All calls belong to one tenant.
    Fixed(String),
    /// The tenant is looked up by the client's IP address.
    ClientAddress(BTreeMap<IpAddr, String>),
    /// The tenant is a string in the call's parameters.
    Params(Pointer),
}

/// A method of a listener.
#[derive(Debug, Clone, PartialEq)]
pub struct Method {
    /// The class of its calls.
    pub class: String,
    /// The location of the idempotency key in the call's parameters.
    pub key: Option<Pointer>,
}

/// How JSON-RPC pools serve a class.
#[derive(Default)]
struct ServedClass {
    /// Some pool deduplicates calls by idempotency key.
    is_keyed: bool,
    /// Some pool may run a call of the class more than once.
    may_repeat: bool,
}

/// The classes that JSON-RPC pools serve, by name.
type ServedClasses<'a> = BTreeMap<&'a str, ServedClass>;

fn collect_served_classes(pools: &[LocatedPool]) -> ServedClasses<'_> {
    let mut classes = ServedClasses::new();
    let jsonrpc_pools = pools
        .iter()
        .map(|l| &l.pool)
        .filter(|p| p.jsonrpc.is_some());
    for class in jsonrpc_pools.flat_map(|pool| &pool.classes) {
        let served = classes.entry(class.name.as_str()).or_default();
        served.is_keyed |= matches!(class.idempotency, Idempotency::Keyed { .. });
        served.may_repeat |= class.idempotency != Idempotency::NonIdempotent;
    }
    classes
}

/// Parses all `[[listener]]` tables.
pub(super) fn parse_listeners(
    root: &Section<'_, '_>,
    pools: &[LocatedPool],
    tenants: &[String],
) -> Vec<Listener> {
    let classes = collect_served_classes(pools);
    let mut names = BTreeMap::new();
    let mut names_by_address = BTreeMap::new();
    let sections = root.tables("listener", MAX_LISTENERS);
    sections
        .iter()
        .map(|section| {
            let listener = parse_listener(section, &classes, tenants, &mut names);
            report_shared_address(section, &listener, &mut names_by_address);
            listener
        })
        .collect()
}

fn parse_listener(
    section: &Section<'_, '_>,
    classes: &ServedClasses<'_>,
    tenants: &[String],
    names: &mut BTreeMap<String, usize>,
) -> Listener {
    let limit = |key, max, default| section.integer(key, 1, max).unwrap_or(default);
    let orders = [("any", false), ("asked", true)];
    let any_local_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = Listener {
        name: parse_name(section, names),
        address: section.required_address("listen").unwrap_or(any_local_port),
        framing: parse_framing(section),
        ordered_responses: section.choice("order", &orders, "\"any\" or \"asked\""),
        max_connections: limit("connections", 65_536, 256),
        max_concurrent_calls: limit("calls", 10_000, 64),
        max_message_bytes: limit("text_kb", 65_536, 4096) as usize * 1024,
        max_batch_size: limit("batch", 1_000_000, 10_000) as usize,
        idle_timeout_ms: section
            .number("idle_ms", 1.0, MAX_DURATION_MS)
            .unwrap_or(DEFAULT_IDLE_TIMEOUT_MS),
        tenant_source: parse_tenant_source(section, tenants),
        methods: parse_methods(section, classes),
        default_method: parse_default_method(section, classes),
    };
    check_protocol(section);
    if listener.methods.is_empty() && listener.default_method.is_none() {
        let expected = "one [[listener.method]] at the least, or `unknown`";
        section.report_missing("method", expected);
    }
    section.reject_unknown_keys();
    listener
}

fn parse_name(section: &Section<'_, '_>, names: &mut BTreeMap<String, usize>) -> String {
    let name = section.unique_name(names);
    if name == MAIN_LISTENER {
        let reason = format!("{MAIN_LISTENER:?} is the daemon's own, for HTTP");
        section.report("name", reason, "a name of its own");
    }
    name
}

fn check_protocol(section: &Section<'_, '_>) {
    let protocol = section.string("protocol");
    if protocol.as_deref() != Some(PROTOCOL) {
        let reason = protocol.map_or("is missing".to_string(), |p| format!("is {p:?}"));
        section.report("protocol", reason, format!("{PROTOCOL:?}"));
    }
}

/// Reports a listener whose address is already used by another one. Port 0 stands for any free
/// port, so it can be used repeatedly.
fn report_shared_address(
    section: &Section<'_, '_>,
    listener: &Listener,
    names_by_address: &mut BTreeMap<SocketAddr, String>,
) {
    let address = listener.address;
    if address.port() == 0 {
        return;
    }
    if let Some(other) = names_by_address.insert(address, listener.name.clone()) {
        let reason = format!("{address} is already used by listener {other:?}");
        section.report("listen", reason, "an address of its own");
    }
}

fn parse_tenant_source(section: &Section<'_, '_>, tenants: &[String]) -> TenantSource {
    let (fixed, pointer) = (section.string("tenant"), section.string("tenant_in"));
    match (fixed, pointer, section.value("tenant_from")) {
        (None, None, None) => TenantSource::None,
        (Some(name), None, None) => {
            report_unknown_tenant(section, section.offset, "tenant", &name, tenants);
            TenantSource::Fixed(name)
        }
        (None, Some(pointer), None) => parse_pointer(section, "tenant_in", &pointer)
            .map_or(TenantSource::None, TenantSource::Params),
        (None, None, Some(value)) => parse_client_addresses(section, value, tenants),
        _ => {
            let expected = "one of `tenant`, `tenant_in` and `tenant_from`";
            section.report("tenant", "is told more than once", expected);
            TenantSource::None
        }
    }
}

fn parse_client_addresses(
    section: &Section<'_, '_>,
    value: &Spanned<DeValue<'_>>,
    tenants: &[String],
) -> TenantSource {
    let (key, expected) = ("tenant_from", "a table that maps IP addresses to tenants");
    let Some(table) = value.get_ref().as_table() else {
        section.report_kind(value, key, expected);
        return TenantSource::None;
    };
    let mut tenants_by_address = BTreeMap::new();
    for (address, tenant) in table {
        match (address.get_ref().parse(), tenant.get_ref().as_str()) {
            (Ok(address), Some(name)) => {
                report_unknown_tenant(section, tenant.span().start, key, name, tenants);
                tenants_by_address.insert(address, name.to_string());
            }
            _ => {
                let reason = format!("invalid entry {:?}", address.get_ref());
                section.report_value(tenant, key, reason, expected);
            }
        }
    }
    TenantSource::ClientAddress(tenants_by_address)
}

fn report_unknown_tenant(
    section: &Section<'_, '_>,
    offset: usize,
    key: &str,
    tenant: &str,
    tenants: &[String],
) {
    if !tenants.is_empty() && !tenants.iter().any(|t| t == tenant) {
        let reason = format!("no tenant {tenant:?}");
        let expected = format!("one of `tenants`: {}", tenants.join(", "));
        section
            .document
            .report(offset, section.field(key), reason, expected);
    }
}

fn parse_pointer(section: &Section<'_, '_>, key: &str, text: &str) -> Option<Pointer> {
    let pointer = Pointer::parse(text);
    pointer
        .map_err(|expected| section.report(key, format!("is {text:?}"), expected))
        .ok()
}

fn parse_methods(
    section: &Section<'_, '_>,
    classes: &ServedClasses<'_>,
) -> HashMap<String, Method> {
    let mut names = BTreeMap::new();
    let sections = section.tables("method", MAX_METHODS);
    let methods = sections.iter();
    methods
        .map(|method| {
            (
                method.unique_name(&mut names),
                parse_method(method, classes),
            )
        })
        .collect()
}

fn parse_method(section: &Section<'_, '_>, classes: &ServedClasses<'_>) -> Method {
    let class = section.string("class");
    if class.is_none() {
        section.report_missing("class", "the class of its calls");
    }
    let class = class.unwrap_or_default();
    let served = find_served_class(section, classes, "class", &class);
    let key = section.string("key");
    let key = key.and_then(|key| parse_pointer(section, "key", &key));
    if !section.has("key") && served.is_some_and(|c| c.is_keyed) {
        let expected = "the location of the idempotency key in the params, such as /claim/id";
        section.report_missing("key", expected);
    }
    section.reject_unknown_keys();
    Method { class, key }
}

/// Parses the class of calls to unlisted methods. Nothing is known about these methods, so no pool
/// may run a call of this class more than once.
fn parse_default_method(section: &Section<'_, '_>, classes: &ServedClasses<'_>) -> Option<Method> {
    let class = section.string("unknown")?;
    let served = find_served_class(section, classes, "unknown", &class);
    if served.is_some_and(|c| c.may_repeat) {
        let reason = format!("class {class:?} may run again");
        section.report("unknown", reason, "a class that is unsafe in every pool");
    }
    Some(Method { class, key: None })
}

/// Finds a class that some JSON-RPC pool serves, or reports that there is none.
fn find_served_class<'c>(
    section: &Section<'_, '_>,
    classes: &'c ServedClasses<'_>,
    key: &str,
    class: &str,
) -> Option<&'c ServedClass> {
    let served = classes.get(class);
    if served.is_none() {
        let names: Vec<&str> = classes.keys().copied().collect();
        let expected = match names.as_slice() {
            [] => "a pool with [pool.rpc], but there is none".to_string(),
            names => format!("one of {}", names.join(", ")),
        };
        let reason = format!("no pool that speaks JSON-RPC serves {class:?}");
        section.report(key, reason, expected);
    }
    served
}
