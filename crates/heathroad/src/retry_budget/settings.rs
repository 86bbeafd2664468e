//! The `budget` section of the configuration file.

use heathroad_retry_budget::open_allowances::Config;
use heathroad_retry_budget::wire::{MAX_HOPS, MAX_RETRIES, is_proxy_name};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::IpAddr;

/// Allowed range of the burst, in retries.
const BURST_BOUNDS: std::ops::RangeInclusive<f64> = 0.0..=1e6;

/// The section as read from the file, before validation.
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

/// An invalid field of the section.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The name is not a valid proxy name.
    #[error("budget: name: expected 1 to 32 letters, digits, `-`, `_` and `.`")]
    ProxyName,
    /// The number of retries is out of range.
    #[error("budget: attempts: expected 64 at the most")]
    MaxRetries,
    /// The retry ratio is out of range.
    #[error("budget: share: expected a number from 0 to 1")]
    RetryRatio,
    /// The burst is out of range.
    #[error("budget: depth: expected a number from 0 to 1000000")]
    Burst,
    /// The hop limit is out of range.
    #[error("budget: hops: expected a number from 1 to 32")]
    MaxHops,
    /// The number of reentries is not below the maximum number of hops.
    #[error("budget: reentries: expected a number below 32")]
    Reentries,
}

/// The validated settings of the section.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Configuration of the retry budget crate.
    pub(super) config: Config,
    /// Peers whose budget claims are trusted.
    pub(super) trusted_peers: BTreeSet<IpAddr>,
    /// Backends cancel their work when their caller closes the connection.
    pub(super) cancels_downstream: bool,
}

impl RawSettings {
    /// Validates all fields.
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
        if let Some((_, error)) = checks.into_iter().find(|(is_valid, _)| !is_valid) {
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
