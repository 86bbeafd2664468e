//! Parses the JSON settings of an instance. The simulator sends them when it starts an instance; a
//! real proxy has them in its configuration file.
//!
//! The private types map the keys of the settings' specification to the names in the code.

use crate::api;
use serde::{Deserialize, Deserializer, de::Error};

/// The settings of one instance.
#[derive(Debug, Clone)]
pub struct InstanceSettings {
    /// The settings of the balancer.
    pub balancer: api::Settings,
    /// Further settings for a proxy on real sockets.
    pub site: SiteSettings,
}

/// Settings that the balancer does not use; empty or 0 if missing. Times are milliseconds.
#[derive(Debug, Clone, Default)]
pub struct SiteSettings {
    /// The names of the classes, by class index.
    pub classes: Vec<String>,
    /// The names of the tenants, by tenant index.
    pub tenants: Vec<String>,
    /// The names of the zones, by zone index.
    pub zones: Vec<String>,
    /// The maximum time after which a backend closes an idle connection.
    pub idle_timeout: f64,
    /// The time after which a connection attempt fails.
    pub connect_timeout: f64,
    /// The maximum number of open requests per replica.
    pub max_open_requests: usize,
    /// A request may have two attempts in flight at once.
    pub hedging_allowed: bool,
    /// The time after a drain notice within which a proxy must stop sending to the backend.
    pub drain_grace: f64,
}

/// An error in reading settings.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum SettingsReadError {
    /// A key is missing, or its value has a wrong type or is out of range.
    #[error("settings: {0}")]
    InvalidValue(#[source] serde_path_to_error::Error<serde_json::Error>),
    /// Data follows the JSON object.
    #[error("settings: {0}")]
    TrailingData(#[source] serde_json::Error),
}

/// Deserializes a number that must be finite and not negative.
fn non_negative<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    let number = f64::deserialize(deserializer)?;
    if number.is_finite() && number >= 0.0 {
        Ok(number)
    } else {
        Err(D::Error::custom("must be finite and not negative"))
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct SettingsJson {
    #[serde(rename = "slotNo")]
    replica_index: u32,
    #[serde(rename = "peersTotal")]
    replica_count: u32,
    tier: u32,
    #[serde(rename = "locality")]
    zone: u16,
    #[serde(default, rename = "localities")]
    zones: Vec<String>,
    #[serde(deserialize_with = "non_negative")]
    tick: f64,
    #[serde(rename = "overShareWorth", deserialize_with = "non_negative")]
    over_quota_priority: f64,
    discovery: DiscoveryJson,
    classes: Vec<ClassJson>,
    tenants: Vec<TenantJson>,
    #[serde(rename = "caps")]
    limits: LimitsJson,
    guarantees: GuaranteesJson,
    #[serde(default)]
    goal: GoalJson,
    #[serde(default)]
    prices: PricesJson,
}

#[derive(Deserialize)]
enum DiscoveryJson {
    #[serde(rename = "automatic")]
    Pushed,
    #[serde(rename = "subscribe")]
    Polled,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ClassJson {
    #[serde(default)]
    name: String,
    #[serde(rename = "aim", deserialize_with = "non_negative")]
    latency_objective: f64,
    #[serde(rename = "points", deserialize_with = "non_negative")]
    priority_weight: f64,
    #[serde(rename = "semantics")]
    idempotency: IdempotencyJson,
    #[serde(rename = "group")]
    scope: ScopeJson,
    #[serde(deserialize_with = "non_negative")]
    window: f64,
    #[serde(default, rename = "fifoByKey")]
    ordered_by_key: bool,
}

#[derive(Deserialize)]
enum IdempotencyJson {
    #[serde(rename = "retryable")]
    Idempotent,
    #[serde(rename = "dedup")]
    Deduplicated,
    #[serde(rename = "fragile")]
    NonIdempotent,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
enum ScopeJson {
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct TenantJson {
    #[serde(default)]
    name: String,
    #[serde(deserialize_with = "non_negative")]
    quota_per_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct LimitsJson {
    #[serde(rename = "cancelling")]
    cancellation: bool,
    retry_after: bool,
    #[serde(deserialize_with = "non_negative")]
    max_retry_after: f64,
    #[serde(rename = "tryLimit")]
    max_attempts: u32,
    #[serde(default, rename = "openCap")]
    max_open_requests: usize,
    #[serde(default, rename = "mayDuplicate")]
    hedging_allowed: bool,
    #[serde(default, rename = "connIdle", deserialize_with = "non_negative")]
    idle_timeout: f64,
    #[serde(default, deserialize_with = "non_negative")]
    connect_timeout: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct GuaranteesJson {
    #[serde(rename = "coldFrom", deserialize_with = "non_negative")]
    slow_start_floor: f64,
    #[serde(rename = "cold", deserialize_with = "non_negative")]
    slow_start_duration: f64,
    #[serde(rename = "fallMultiple", deserialize_with = "non_negative")]
    overload_multiple: f64,
    #[serde(default, rename = "askWithin", deserialize_with = "non_negative")]
    max_poll_interval: f64,
    #[serde(default, rename = "releaseWithin", deserialize_with = "non_negative")]
    idle_close_within: f64,
    #[serde(
        default,
        rename = "settleAfterDoubt",
        deserialize_with = "non_negative"
    )]
    unknown_outcome_delay: f64,
    #[serde(
        default,
        rename = "stopSendingWithin",
        deserialize_with = "non_negative"
    )]
    drain_grace: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct GoalJson {
    #[serde(rename = "worstClass", deserialize_with = "non_negative")]
    worst_class_weight: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct PricesJson {
    #[serde(rename = "crossZone", deserialize_with = "non_negative")]
    cross_zone_price: f64,
}

/// Parses settings from JSON text.
///
/// # Errors
///
/// Returns an error that names the invalid key, or reports data after the object.
pub fn parse(text: &[u8]) -> Result<InstanceSettings, SettingsReadError> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let settings = read(&mut json)?;
    json.end().map_err(SettingsReadError::TrailingData)?;
    Ok(settings)
}

/// Reads settings from a JSON deserializer.
///
/// # Errors
///
/// Returns an error that names the invalid key.
pub fn read<'de, D>(json: D) -> Result<InstanceSettings, SettingsReadError>
where
    D: Deserializer<'de, Error = serde_json::Error>,
{
    let settings: SettingsJson =
        serde_path_to_error::deserialize(json).map_err(SettingsReadError::InvalidValue)?;
    let site = settings.site();
    Ok(InstanceSettings {
        balancer: settings.into_balancer(),
        site,
    })
}

impl SettingsJson {
    fn site(&self) -> SiteSettings {
        SiteSettings {
            classes: self.classes.iter().map(|c| c.name.clone()).collect(),
            tenants: self.tenants.iter().map(|t| t.name.clone()).collect(),
            zones: self.zones.clone(),
            idle_timeout: self.limits.idle_timeout,
            connect_timeout: self.limits.connect_timeout,
            max_open_requests: self.limits.max_open_requests,
            hedging_allowed: self.limits.hedging_allowed,
            drain_grace: self.guarantees.drain_grace,
        }
    }

    fn into_balancer(self) -> api::Settings {
        let tenant = |t: &TenantJson| api::Tenant {
            quota_per_s: t.quota_per_s,
        };
        api::Settings {
            replica_index: self.replica_index,
            replica_count: self.replica_count,
            tier: self.tier,
            zone: self.zone,
            tick: self.tick,
            // Set by the embedding proxy.
            priority_forwarded: false,
            polls_endpoints: matches!(self.discovery, DiscoveryJson::Polled),
            over_quota_priority: self.over_quota_priority,
            tenants: self.tenants.iter().map(tenant).collect(),
            classes: self
                .classes
                .into_iter()
                .map(ClassJson::into_class)
                .collect(),
            limits: self.limits.into_limits(),
            guarantees: self.guarantees.into_guarantees(),
            objectives: api::Objectives {
                worst_class_weight: self.goal.worst_class_weight,
                cross_zone_price: self.prices.cross_zone_price,
            },
        }
    }
}

impl ClassJson {
    fn into_class(self) -> api::Class {
        let scope = match self.scope {
            ScopeJson::All => api::DeduplicationScope::All,
            ScopeJson::Zone => api::DeduplicationScope::Zone,
            ScopeJson::Cell => api::DeduplicationScope::Cell,
        };
        let window = self.window;
        api::Class {
            latency_objective: self.latency_objective,
            priority_weight: self.priority_weight,
            ordered_by_key: self.ordered_by_key,
            idempotency: match self.idempotency {
                IdempotencyJson::Idempotent => api::Idempotency::Idempotent,
                IdempotencyJson::NonIdempotent => api::Idempotency::NonIdempotent,
                IdempotencyJson::Deduplicated => api::Idempotency::Deduplicated { scope, window },
            },
        }
    }
}

impl LimitsJson {
    fn into_limits(self) -> api::SiteLimits {
        api::SiteLimits {
            cancellation: self.cancellation,
            retry_after: self.retry_after,
            max_retry_after: self.max_retry_after,
            max_attempts: self.max_attempts,
            // Set by the embedding proxy.
            late_completions: false,
        }
    }
}

impl GuaranteesJson {
    fn into_guarantees(self) -> api::Guarantees {
        api::Guarantees {
            slow_start_floor: self.slow_start_floor,
            slow_start_duration: self.slow_start_duration,
            overload_multiple: self.overload_multiple,
            max_poll_interval: self.max_poll_interval,
            idle_close_within: self.idle_close_within,
            unknown_outcome_delay: self.unknown_outcome_delay,
        }
    }
}
