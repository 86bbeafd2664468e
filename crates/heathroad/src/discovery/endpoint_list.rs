//! The endpoint list in the form in which discovery sends it. The engine decides on its content.

use serde::Deserialize;
use std::net::SocketAddr;

/// An endpoint list, or a change of it.
#[derive(Deserialize)]
pub struct EndpointList {
    /// The version of the list.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether this is the whole list, and not a change of it.
    #[serde(rename = "whole")]
    pub is_complete: bool,
    /// The entries, which are parsed one by one.
    #[serde(rename = "hosts")]
    pub entries: Vec<serde_json::Value>,
}

/// A backend process of an endpoint list.
#[derive(Deserialize, Clone)]
pub struct Instance {
    /// The name of the backend.
    #[serde(rename = "host")]
    pub name: String,
    /// The address. An endpoint that takes no requests needs none.
    #[serde(rename = "dial")]
    pub address: Option<SocketAddr>,
    /// The site.
    #[serde(default)]
    pub site: String,
    /// The kind of machine.
    #[serde(default)]
    pub class: String,
    /// The block: a small group of backends that share deduplication.
    #[serde(default)]
    pub block: u16,
    /// Whether the endpoint takes new requests.
    pub health: InstanceHealth,
    /// The capacity relative to that of the other endpoints.
    #[serde(default, rename = "share")]
    pub weight: f64,
    /// The start of the process in milliseconds of Unix time, or 0 if it is unknown.
    #[serde(default, rename = "born_ms")]
    pub started_ms: f64,
}

/// Whether an endpoint takes new requests.
#[derive(Deserialize, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "UPPERCASE")]
pub enum InstanceHealth {
    /// It takes new requests.
    Serving,
    /// It finishes the requests that it has.
    Draining,
    /// It is gone.
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
    /// Parses the entries. Those that are not valid are skipped and logged in one line.
    pub fn into_instances(self) -> Vec<Instance> {
        let mut endpoints = Vec::new();
        let mut skipped = 0;
        let mut example = None;
        for entry in &self.entries {
            match parse_entry(entry) {
                Ok(endpoint) => endpoints.push(endpoint),
                Err(error) => {
                    skipped += 1;
                    example = Some(error);
                }
            }
        }
        if let Some(example) = example {
            tracing::warn!("discovery: {skipped} entries passed over, such as {example}");
        }
        endpoints
    }
}

fn parse_entry(entry: &serde_json::Value) -> Result<Instance, EntryError> {
    let endpoint = Instance::deserialize(entry).map_err(|source| EntryError::Malformed {
        entry: entry.to_string(),
        source,
    })?;
    if endpoint.health == InstanceHealth::Serving && endpoint.address.is_none() {
        return Err(EntryError::NoAddress {
            name: endpoint.name,
        });
    }
    Ok(endpoint)
}
