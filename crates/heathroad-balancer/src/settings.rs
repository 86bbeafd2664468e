//! Reads an instance's settings from the JSON object that comes with its start: on the simulator's
//! wire as text, at a real proxy as a part of its configuration.

use crate::api;
use serde::{Deserialize, Deserializer, de::Error};

/// The settings, split by who reads them.
#[derive(Debug, Clone)]
pub struct Facts {
    /// What the decisions need.
    pub settings: api::Settings,
    /// What a proxy on real sockets needs beside them.
    pub site: Site,
}

/// Names and figures that no decision needs; empty or 0 where the text leaves them out.
#[derive(Debug, Clone, Default)]
pub struct Site {
    /// Names of the classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Idle connections are closed by the backend after this, at the latest.
    pub conn_idle: f64,
    /// A connection not made by then has failed.
    pub connect_timeout: f64,
    /// Most open requests of a copy.
    pub open_cap: usize,
    /// A request may have two attempts out at once.
    pub may_duplicate: bool,
    /// Time after the notice in which sends to a draining backend must end.
    pub drain_grace: f64,
}

/// A figure that must be finite and not negative.
fn figure<'de, D: Deserializer<'de>>(d: D) -> Result<f64, D::Error> {
    let x = f64::deserialize(d)?;
    if x.is_finite() && x >= 0.0 {
        Ok(x)
    } else {
        Err(D::Error::custom("must be finite and not negative"))
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Text {
    slot_no: u32,
    peers_total: u32,
    tier: u32,
    locality: u16,
    #[serde(default)]
    localities: Vec<String>,
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
    #[serde(default)]
    name: String,
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
    #[serde(default)]
    name: String,
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
    #[serde(default)]
    open_cap: usize,
    #[serde(default)]
    may_duplicate: bool,
    #[serde(default, deserialize_with = "figure")]
    conn_idle: f64,
    #[serde(default, deserialize_with = "figure")]
    connect_timeout: f64,
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
    #[serde(default, deserialize_with = "figure")]
    stop_sending_within: f64,
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
pub fn parse(text: &[u8]) -> Result<Facts, String> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let facts = read(&mut json)?;
    json.end().map_err(|e| format!("settings: {e}"))?;
    Ok(facts)
}

/// Reads the object from where it stands; an error names the key.
pub fn read<'de, D: Deserializer<'de>>(from: D) -> Result<Facts, String> {
    let f: Text = serde_path_to_error::deserialize(from).map_err(|e| format!("settings: {e}"))?;
    let site = Site {
        classes: f.classes.iter().map(|c| c.name.clone()).collect(),
        tenants: f.tenants.iter().map(|t| t.name.clone()).collect(),
        zones: f.localities,
        conn_idle: f.caps.conn_idle,
        connect_timeout: f.caps.connect_timeout,
        open_cap: f.caps.open_cap,
        may_duplicate: f.caps.may_duplicate,
        drain_grace: f.guarantees.stop_sending_within,
    };
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
    let settings = api::Settings {
        copy: f.slot_no,
        copies: f.peers_total,
        tier: f.tier,
        zone: f.locality,
        tick: f.tick,
        worth_carried: false, // by the embedding proxy
        must_ask: matches!(f.discovery, Discovery::Subscribe),
        over_share_worth: f.over_share_worth,
        classes: f.classes.into_iter().map(class).collect(),
        tenants: f
            .tenants
            .iter()
            .map(|t| api::Tenant {
                quota_per_s: t.quota_per_s,
            })
            .collect(),
        caps: api::Caps {
            cancelling: f.caps.cancelling,
            retry_after: f.caps.retry_after,
            max_retry_after: f.caps.max_retry_after,
            try_limit: f.caps.try_limit,
            late_ends: false, // the embedding proxy knows
        },
        rules: api::Rules {
            cold_from: f.guarantees.cold_from,
            cold: f.guarantees.cold,
            fall_multiple: f.guarantees.fall_multiple,
            ask_within: f.guarantees.ask_within,
            release_within: f.guarantees.release_within,
            settle_after_doubt: f.guarantees.settle_after_doubt,
        },
        goal: api::Goal {
            worst_class: f.goal.worst_class,
            cross_zone: f.prices.cross_zone,
        },
    };
    Ok(Facts { settings, site })
}
