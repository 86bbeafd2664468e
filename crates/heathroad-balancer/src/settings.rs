//! The settings of an instance as they are written: a JSON object that comes with its start, on the
//! simulator's wire as text and at a real proxy as a part of its configuration file.
//!
//! The keys are those of the settings' specification; the private types below map them to the
//! names that the code uses.

use crate::api;
use serde::{Deserialize, Deserializer, de::Error};

/// The settings of one instance, by who reads them.
#[derive(Debug, Clone)]
pub struct InstanceSettings {
    /// What the decisions need.
    pub balancer: api::Settings,
    /// What a proxy on real sockets needs besides.
    pub site: SiteSettings,
}

/// Names and figures that no decision needs; empty or 0 where the text leaves them out. Times are
/// milliseconds.
#[derive(Debug, Clone, Default)]
pub struct SiteSettings {
    /// The names of the classes, in the order of the settings.
    pub classes: Vec<String>,
    /// The names of the tenants.
    pub tenants: Vec<String>,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The time after which a backend closes an idle connection, at the latest.
    pub idle_timeout: f64,
    /// The time after which a connect has failed.
    pub connect_timeout: f64,
    /// The most open requests of a replica.
    pub max_open_requests: usize,
    /// A request may have two attempts in flight at once.
    pub hedging_allowed: bool,
    /// The time after the notice in which sends to a draining backend must end.
    pub drain_grace: f64,
}

/// Why settings could not be read.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum SettingsReadError {
    /// A key is missing, or its value has a wrong type or is out of range.
    #[error("settings: {0}")]
    InvalidValue(#[source] serde_path_to_error::Error<serde_json::Error>),
    /// Something follows the object.
    #[error("settings: {0}")]
    TrailingData(#[source] serde_json::Error),
}

/// Deserializes a number that must be finite and not negative.
fn figure<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    let number = f64::deserialize(deserializer)?;
    if number.is_finite() && number >= 0.0 {
        Ok(number)
    } else {
        Err(D::Error::custom("must be finite and not negative"))
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct SettingsText {
    #[serde(rename = "slotNo")]
    replica_index: u32,
    #[serde(rename = "peersTotal")]
    replica_count: u32,
    tier: u32,
    #[serde(rename = "locality")]
    zone: u16,
    #[serde(default, rename = "localities")]
    zones: Vec<String>,
    #[serde(deserialize_with = "figure")]
    tick: f64,
    #[serde(rename = "overShareWorth", deserialize_with = "figure")]
    over_quota_priority: f64,
    discovery: DiscoveryText,
    classes: Vec<ClassText>,
    tenants: Vec<TenantText>,
    #[serde(rename = "caps")]
    limits: LimitsText,
    guarantees: GuaranteesText,
    #[serde(default)]
    goal: GoalText,
    #[serde(default)]
    prices: PricesText,
}

#[derive(Deserialize)]
enum DiscoveryText {
    #[serde(rename = "automatic")]
    Pushed,
    #[serde(rename = "subscribe")]
    Polled,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ClassText {
    #[serde(default)]
    name: String,
    #[serde(rename = "aim", deserialize_with = "figure")]
    latency_objective: f64,
    #[serde(rename = "points", deserialize_with = "figure")]
    priority_weight: f64,
    #[serde(rename = "semantics")]
    idempotency: IdempotencyText,
    #[serde(rename = "group")]
    scope: ScopeText,
    #[serde(deserialize_with = "figure")]
    window: f64,
    #[serde(default, rename = "fifoByKey")]
    ordered_by_key: bool,
}

#[derive(Deserialize)]
enum IdempotencyText {
    #[serde(rename = "retryable")]
    Idempotent,
    #[serde(rename = "dedup")]
    Deduplicated,
    #[serde(rename = "fragile")]
    NonIdempotent,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
enum ScopeText {
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct TenantText {
    #[serde(default)]
    name: String,
    #[serde(deserialize_with = "figure")]
    quota_per_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct LimitsText {
    #[serde(rename = "cancelling")]
    cancellation: bool,
    retry_after: bool,
    #[serde(deserialize_with = "figure")]
    max_retry_after: f64,
    #[serde(rename = "tryLimit")]
    max_attempts: u32,
    #[serde(default, rename = "openCap")]
    max_open_requests: usize,
    #[serde(default, rename = "mayDuplicate")]
    hedging_allowed: bool,
    #[serde(default, rename = "connIdle", deserialize_with = "figure")]
    idle_timeout: f64,
    #[serde(default, deserialize_with = "figure")]
    connect_timeout: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct GuaranteesText {
    #[serde(rename = "coldFrom", deserialize_with = "figure")]
    slow_start_floor: f64,
    #[serde(rename = "cold", deserialize_with = "figure")]
    slow_start_duration: f64,
    #[serde(rename = "fallMultiple", deserialize_with = "figure")]
    overload_multiple: f64,
    #[serde(default, rename = "askWithin", deserialize_with = "figure")]
    max_poll_interval: f64,
    #[serde(default, rename = "releaseWithin", deserialize_with = "figure")]
    idle_close_within: f64,
    #[serde(default, rename = "settleAfterDoubt", deserialize_with = "figure")]
    unknown_outcome_delay: f64,
    #[serde(default, rename = "stopSendingWithin", deserialize_with = "figure")]
    drain_grace: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct GoalText {
    #[serde(rename = "worstClass", deserialize_with = "figure")]
    worst_class_weight: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct PricesText {
    #[serde(rename = "crossZone", deserialize_with = "figure")]
    cross_zone_price: f64,
}

/// Parses settings from JSON text.
///
/// # Errors
///
/// Returns an error that names the key, or says that something follows the object.
pub fn parse(text: &[u8]) -> Result<InstanceSettings, SettingsReadError> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let settings = read(&mut json)?;
    json.end().map_err(SettingsReadError::TrailingData)?;
    Ok(settings)
}

/// Reads settings from a deserializer of JSON.
///
/// # Errors
///
/// Returns an error that names the key.
pub fn read<'de, D>(json: D) -> Result<InstanceSettings, SettingsReadError>
where
    D: Deserializer<'de, Error = serde_json::Error>,
{
    let text: SettingsText =
        serde_path_to_error::deserialize(json).map_err(SettingsReadError::InvalidValue)?;
    let site = text.site();
    Ok(InstanceSettings {
        balancer: text.into_balancer(),
        site,
    })
}

impl SettingsText {
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
        let tenant = |t: &TenantText| api::Tenant {
            quota_per_s: t.quota_per_s,
        };
        api::Settings {
            replica_index: self.replica_index,
            replica_count: self.replica_count,
            tier: self.tier,
            zone: self.zone,
            tick: self.tick,
            // The embedding proxy knows.
            priority_forwarded: false,
            polls_endpoints: matches!(self.discovery, DiscoveryText::Polled),
            over_quota_priority: self.over_quota_priority,
            tenants: self.tenants.iter().map(tenant).collect(),
            classes: self
                .classes
                .into_iter()
                .map(ClassText::into_class)
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

impl ClassText {
    fn into_class(self) -> api::Class {
        let scope = match self.scope {
            ScopeText::All => api::DeduplicationScope::All,
            ScopeText::Zone => api::DeduplicationScope::Zone,
            ScopeText::Cell => api::DeduplicationScope::Cell,
        };
        let window = self.window;
        api::Class {
            latency_objective: self.latency_objective,
            priority_weight: self.priority_weight,
            ordered_by_key: self.ordered_by_key,
            idempotency: match self.idempotency {
                IdempotencyText::Idempotent => api::Idempotency::Idempotent,
                IdempotencyText::NonIdempotent => api::Idempotency::NonIdempotent,
                IdempotencyText::Deduplicated => api::Idempotency::Deduplicated { scope, window },
            },
        }
    }
}

impl LimitsText {
    fn into_limits(self) -> api::SiteLimits {
        api::SiteLimits {
            cancellation: self.cancellation,
            retry_after: self.retry_after,
            max_retry_after: self.max_retry_after,
            max_attempts: self.max_attempts,
            // The embedding proxy knows.
            late_completions: false,
        }
    }
}

impl GuaranteesText {
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
