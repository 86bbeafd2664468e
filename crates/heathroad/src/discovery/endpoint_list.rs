//! The list of backends as discovery words it. What is read here has not been decided upon: the
//! engine does that.

use serde::Deserialize;
use std::net::SocketAddr;

/// A list, or changes to one.
#[derive(Deserialize)]
pub struct Page {
    /// Its version.
    pub seq: u64,
    /// Whether it is the whole list.
    pub whole: bool,
    /// Its entries as they came.
    pub hosts: Vec<serde_json::Value>,
}

/// An entry of a list.
#[derive(Deserialize, Clone)]
pub struct Host {
    /// The backend's name.
    pub host: String,
    /// Its address; one that is gone needs none.
    pub dial: Option<SocketAddr>,
    /// Its zone.
    #[serde(default)]
    pub site: String,
    /// Its kind.
    #[serde(default)]
    pub class: String,
    /// Its cell.
    #[serde(default)]
    pub block: u16,
    /// Whether it takes new work.
    pub health: Health,
    /// Its size beside the others'.
    #[serde(default)]
    pub share: f64,
    /// When it started, Unix time in milliseconds; 0 for long ago.
    #[serde(default)]
    pub born_ms: f64,
}

/// Whether a backend takes new work.
#[derive(Deserialize, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "UPPERCASE")]
pub enum Health {
    /// Takes work.
    Serving,
    /// Finishes its work.
    Draining,
    /// Gone.
    Deleted,
}

impl Page {
    /// Its entries; those that can't be read are logged in one line and passed over.
    pub fn entries(self) -> Vec<Host> {
        let (mut good, mut bad, mut example) = (Vec::new(), 0, String::new());
        for value in self.hosts {
            match Host::deserialize(&value) {
                // What takes nothing new needs no address.
                Ok(host) if host.health != Health::Serving || host.dial.is_some() => {
                    good.push(host);
                }
                Ok(host) => (bad, example) = (bad + 1, format!("{}: no address", host.host)),
                Err(e) => (bad, example) = (bad + 1, format!("{value}: {e}")),
            }
        }
        if bad > 0 {
            tracing::warn!("discovery: {bad} entries passed over, such as {example}");
        }
        good
    }
}
