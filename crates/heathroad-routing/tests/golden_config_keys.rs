//! The keys of the configuration file of routes and pools: each known key is parsed, and unknown keys
//! are reported with the list of known ones. The golden files were written by commit 1355c4b.

use heathroad_routing::condition::RouteCondition;
use heathroad_routing::config::{Config, TenantSource, parse};
use heathroad_routing::generation::Generation;

fn config() -> Config {
    parse("f", include_str!("golden/all_keys.toml")).unwrap_or_else(|e| panic!("{e}"))
}

#[test]
fn every_key_is_accepted_and_the_digest_is_unchanged() {
    let generation = Generation::parse(7, "f", include_str!("golden/all_keys.toml"))
        .unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(
        generation.digest,
        include_str!("golden/all_keys.digest").trim()
    );
}

#[test]
fn the_pools_and_conditions_are_unchanged() {
    let config = config();
    let pools: Vec<String> = config
        .pools
        .iter()
        .map(|p| serde_json::to_string(p).expect("JSON") + "\n")
        .collect();
    let conditions: Vec<&RouteCondition> = config.routes.iter().map(|r| &r.condition).collect();
    let actual = format!("{}{:#}\n", pools.concat(), serde_json::json!(conditions));
    assert!(
        actual == include_str!("golden/all_keys.json"),
        "actual:\n{actual}"
    );
}

#[test]
fn the_listeners_are_unchanged() {
    let config = config();
    let l = &config.listeners[0];
    assert_eq!(
        (
            l.ordered_responses,
            l.max_connections,
            l.max_concurrent_calls,
            l.max_message_bytes,
            l.max_batch_size,
            l.idle_timeout_ms
        ),
        (true, 12, 34, 56 * 1024, 78, 90.0)
    );
    assert_eq!(
        (l.address.port(), l.framing),
        (7001, heathroad_jsonrpc::Framing::Headers)
    );
    assert_eq!(
        l.default_method.as_ref().map(|m| m.class.as_str()),
        Some("once")
    );
    assert_eq!(
        (
            l.methods["look-up"].class.as_str(),
            l.methods["keep-up"].key.is_some()
        ),
        ("look", true)
    );
    assert_eq!(l.tenant_source, TenantSource::Fixed("zaria-foods".into()));
    assert!(
        matches!(&config.listeners[1].tenant_source, TenantSource::ClientAddress(tenants) if tenants.len() == 1)
    );
    assert!(matches!(
        config.listeners[2].tenant_source,
        TenantSource::Params(_)
    ));
    let with_defaults = &config.listeners[2];
    assert_eq!(
        (
            with_defaults.ordered_responses,
            with_defaults.max_connections,
            with_defaults.max_concurrent_calls,
            with_defaults.max_message_bytes,
            with_defaults.max_batch_size,
            with_defaults.idle_timeout_ms
        ),
        (false, 256, 64, 4096 * 1024, 10_000, 600_000.0)
    );
}

/// The error for an unknown key lists all keys of its section.
#[test]
fn unknown_keys_are_reported_with_all_known_ones() {
    let actual = parse("f", include_str!("golden/unknown_keys.toml"))
        .expect_err("it has unknown keys")
        .to_string();
    assert!(
        actual == include_str!("golden/unknown_keys.txt").trim_end(),
        "actual:\n{actual}"
    );
}
