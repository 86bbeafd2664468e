//! The endpoint list, as discovery sends it.

use serde::Deserialize;
use std::net::SocketAddr;

/// An endpoint list, or a change of one.
#[derive(Deserialize)]
pub struct EndpointList {
    /// The version of the list.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether this is the whole list, not a change.
    #[serde(rename = "whole")]
    pub is_complete: bool,
    /// The entries. Each is parsed separately, so that an invalid one does not affect the others.
    #[serde(rename = "hosts")]
    pub entries: Vec<serde_json::Value>,
}

/// A backend process in an endpoint list.
#[derive(Deserialize, Clone)]
pub struct Instance {
    /// The backend's name.
    #[serde(rename = "host")]
    pub name: String,
    /// The address. Only instances that take new requests must have one.
    #[serde(rename = "dial")]
    pub address: Option<SocketAddr>,
    /// The backend's site.
    #[serde(default)]
    pub site: String,
    /// The kind of machine.
    #[serde(default)]
    pub class: String,
    /// The block, a small group of backends that share deduplication.
    #[serde(default)]
    pub block: u16,
    /// Whether the instance takes new requests.
    pub health: InstanceHealth,
    /// The capacity relative to that of other instances.
    #[serde(default, rename = "share")]
    pub weight: f64,
    /// The start time of the process in milliseconds of Unix time, or 0 if unknown.
    #[serde(default, rename = "born_ms")]
    pub started_ms: f64,
}

/// Whether an instance takes new requests.
#[derive(Deserialize, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "UPPERCASE")]
pub enum InstanceHealth {
    /// Takes new requests.
    Serving,
    /// Takes no new requests, and finishes those that it has.
    Draining,
    /// Is gone.
    Deleted,
}

/// Why an entry of a list is skipped.
#[derive(Debug, thiserror::Error)]
enum EntryError {
    #[error("{name}: no address")]
    NoAddress { name: String },
    #[error("{entry}: {source}")]
    Malformed {
        entry: String,
        source: serde_json::Error,
    },
}

impl EndpointList {
    /// Parses the entries. Invalid ones are skipped, and logged in one line.
    pub fn into_instances(self) -> Vec<Instance> {
        let mut instances = Vec::new();
        let mut skipped = 0;
        let mut example = None;
        for entry in &self.entries {
            match parse_entry(entry) {
                Ok(instance) => instances.push(instance),
                Err(error) => {
                    skipped += 1;
                    example = Some(error);
                }
            }
        }
        if let Some(example) = example {
            tracing::warn!("discovery: {skipped} invalid entries skipped, for example {example}");
        }
        instances
    }
}

fn parse_entry(entry: &serde_json::Value) -> Result<Instance, EntryError> {
    let instance = Instance::deserialize(entry).map_err(|source| EntryError::Malformed {
        entry: entry.to_string(),
        source,
    })?;
    if instance.health == InstanceHealth::Serving && instance.address.is_none() {
        return Err(EntryError::NoAddress {
            name: instance.name,
        });
    }
    Ok(instance)
}
