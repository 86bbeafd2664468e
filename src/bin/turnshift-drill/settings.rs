//! Reads an instance's settings from the JSON text that comes with its start.

use serde::{Deserialize, Deserializer, de::Error};
use turnshift::api;

/// A figure that must be finite and not negative.
fn figure<'de, D: Deserializer<'de>>(d: D) -> Result<f64, D::Error> {
    let x = f64::deserialize(d)?;
    if x.is_finite() && x >= 0.0 { Ok(x) } else { Err(D::Error::custom("must be finite and not negative")) }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Facts {
    slot_no: u32,
    peers_total: u32,
    tier: u32,
    locality: u16,
    #[serde(deserialize_with = "figure")]
    tick: f64,
    #[serde(deserialize_with = "figure")]
    over_share_worth: f64,
    discovery: Discovery,
    classes: Vec<Class>,
    tenants: Vec<Tenant>,
    caps: Caps,
    guarantees: Guarantees,
    #[serde(default)]
    goal: Goal,
    #[serde(default)]
    prices: Prices,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
enum Discovery {
    Automatic,
    Subscribe,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Class {
    #[serde(deserialize_with = "figure")]
    aim: f64,
    #[serde(deserialize_with = "figure")]
    points: f64,
    semantics: Semantics,
    group: Group,
    #[serde(deserialize_with = "figure")]
    window: f64,
    #[serde(default)]
    fifo_by_key: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
enum Semantics {
    Retryable,
    Dedup,
    Fragile,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Tenant {
    #[serde(deserialize_with = "figure")]
    quota_per_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Caps {
    cancelling: bool,
    retry_after: bool,
    #[serde(deserialize_with = "figure")]
    max_retry_after: f64,
    try_limit: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Guarantees {
    #[serde(deserialize_with = "figure")]
    cold_from: f64,
    #[serde(deserialize_with = "figure")]
    cold: f64,
    #[serde(deserialize_with = "figure")]
    fall_multiple: f64,
    #[serde(default, deserialize_with = "figure")]
    ask_within: f64,
    #[serde(default, deserialize_with = "figure")]
    release_within: f64,
    #[serde(default, deserialize_with = "figure")]
    settle_after_doubt: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Goal {
    #[serde(deserialize_with = "figure")]
    worst_class: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Prices {
    #[serde(deserialize_with = "figure")]
    cross_zone: f64,
}

/// Parses the text; an error names the key.
pub fn parse(text: &[u8]) -> Result<api::Settings, String> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let f: Facts = serde_path_to_error::deserialize(&mut json).map_err(|e| format!("settings: {e}"))?;
    json.end().map_err(|e| format!("settings: {e}"))?;
    let class = |c: Class| api::Class {
        aim: c.aim,
        points: c.points,
        in_order: c.fifo_by_key,
        effect: match c.semantics {
            Semantics::Retryable => api::Effect::Retryable,
            Semantics::Fragile => api::Effect::Fragile,
            Semantics::Dedup => api::Effect::Dedup {
                window: c.window,
                group: match c.group {
                    Group::All => api::Group::All,
                    Group::Zone => api::Group::Zone,
                    Group::Cell => api::Group::Cell,
                },
            },
        },
    };
    Ok(api::Settings {
        copy: f.slot_no,
        copies: f.peers_total,
        tier: f.tier,
        zone: f.locality,
        tick: f.tick,
        must_ask: matches!(f.discovery, Discovery::Subscribe),
        over_share_worth: f.over_share_worth,
        classes: f.classes.into_iter().map(class).collect(),
        tenants: f.tenants.iter().map(|t| api::Tenant { quota_per_s: t.quota_per_s }).collect(),
        caps: api::Caps {
            cancelling: f.caps.cancelling,
            retry_after: f.caps.retry_after,
            max_retry_after: f.caps.max_retry_after,
            try_limit: f.caps.try_limit,
        },
        rules: api::Rules {
            cold_from: f.guarantees.cold_from,
            cold: f.guarantees.cold,
            fall_multiple: f.guarantees.fall_multiple,
            ask_within: f.guarantees.ask_within,
            release_within: f.guarantees.release_within,
            settle_after_doubt: f.guarantees.settle_after_doubt,
        },
        goal: api::Goal { worst_class: f.goal.worst_class, cross_zone: f.prices.cross_zone },
    })
}
