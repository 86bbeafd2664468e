//! The `budget` section of the daemon's configuration file.

use heathroad_retry_budget::open_allowances::Config;
use heathroad_retry_budget::wire::{MAX_HOPS, MAX_RETRIES, is_proxy_name};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::IpAddr;

/// Bounds of the burst: the most retries that a calm period saves up.
const BURST_BOUNDS: std::ops::RangeInclusive<f64> = 0.0..=1e6;

/// The section as it stands in the file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    #[serde(rename = "name")]
    proxy_name: String,
    #[serde(rename = "inner", default)]
    trusted_peers: Vec<IpAddr>,
    #[serde(rename = "attempts", default = "default_max_retries")]
    max_retries: u16,
    #[serde(rename = "share", default = "default_retry_ratio")]
    retry_ratio: f64,
    #[serde(rename = "depth", default = "default_burst")]
    burst: f64,
    #[serde(rename = "hops", default = "default_max_hops")]
    max_hops: u8,
    #[serde(default)]
    reentries: usize,
    #[serde(rename = "same", default = "default_max_identical")]
    max_identical: usize,
    #[serde(rename = "lends", default)]
    delegates: bool,
    #[serde(rename = "stops", default)]
    cancels_downstream: bool,
}

fn default_max_retries() -> u16 {
    2
}

fn default_retry_ratio() -> f64 {
    0.2
}

fn default_burst() -> f64 {
    20.0
}

fn default_max_hops() -> u8 {
    8
}

fn default_max_identical() -> usize {
    64
}

/// A field of the section that is out of its bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The name cannot stand in a path.
    #[error("budget: name: expected 1 to 32 letters, digits, `-`, `_` and `.`")]
    ProxyName,
    /// A request would be granted too many retries.
    #[error("budget: attempts: expected 64 at the most")]
    MaxRetries,
    /// The ratio is no ratio.
    #[error("budget: share: expected a number from 0 to 1")]
    RetryRatio,
    /// The burst is negative or too large.
    #[error("budget: depth: expected a number from 0 to 1000000")]
    Burst,
    /// A request could pass no proxy, or too many.
    #[error("budget: hops: expected a number from 1 to 32")]
    MaxHops,
    /// A request could come back more often than it may pass proxies.
    #[error("budget: reentries: expected a number below 32")]
    Reentries,
}

/// What a proxy grants, and which peers it trusts.
#[derive(Debug, Clone)]
pub struct Settings {
    /// What the decisions need.
    pub(super) config: Config,
    /// Peers whose budgets count in full.
    pub(super) trusted_peers: BTreeSet<IpAddr>,
    /// Backends stop what their caller has given up.
    pub(super) cancels_downstream: bool,
}

impl RawSettings {
    /// Checks the bounds of all fields.
    pub fn check(self) -> Result<Settings, SettingsError> {
        let checks = [
            (is_proxy_name(&self.proxy_name), SettingsError::ProxyName),
            (self.max_retries <= MAX_RETRIES, SettingsError::MaxRetries),
            (
                (0.0..=1.0).contains(&self.retry_ratio),
                SettingsError::RetryRatio,
            ),
            (BURST_BOUNDS.contains(&self.burst), SettingsError::Burst),
            (
                (1..=MAX_HOPS).contains(&self.max_hops),
                SettingsError::MaxHops,
            ),
            (
                self.reentries < usize::from(MAX_HOPS),
                SettingsError::Reentries,
            ),
        ];
        if let Some((_, error)) = checks.into_iter().find(|(holds, _)| !holds) {
            return Err(error);
        }
        let config = Config {
            proxy_name: self.proxy_name,
            max_retries: self.max_retries,
            retry_ratio: self.retry_ratio,
            burst: self.burst,
            max_hops: self.max_hops,
            reentries: self.reentries,
            max_identical: self.max_identical,
            delegates: self.delegates,
        };
        Ok(Settings {
            config,
            trusted_peers: self.trusted_peers.into_iter().collect(),
            cancels_downstream: self.cancels_downstream,
        })
    }
}
