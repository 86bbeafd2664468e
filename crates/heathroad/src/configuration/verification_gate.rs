//! The gate of changes: what is expected of a configuration, in a file beside the routes. It is
//! judged on a thread of its own, so that no request waits for a verdict.

use heathroad_balancer::settings::InstanceSettings;
use heathroad_routing::generation::Generation;
use heathroad_verifier::{Expectations, Here, Node, Report};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tokio::task::spawn_blocking;

/// Where expectations are.
pub struct Gate {
    file: PathBuf,
}

/// Expectations as they were when a change was proposed, checked.
#[derive(Clone)]
pub struct Expected(Arc<Expectations>);

/// Reads and checks a file of expectations; an error has a line for everything that is wrong.
pub fn read(path: &Path) -> Result<Expectations, String> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
    heathroad_verifier::file::read(&name, &text).map_err(|e| e.to_string())
}

/// What is known of a place with some settings, for expectations.
pub fn here(facts: &InstanceSettings, registry: SocketAddr, nodes: Vec<Node>) -> Here {
    let (settings, site) = (&facts.balancer, &facts.site);
    Here {
        tenants: (!site.tenants.is_empty()).then(|| site.tenants.clone()),
        attempts: Some(settings.limits.max_attempts),
        open: Some(u32::try_from(site.max_open_requests).unwrap_or(u32::MAX)),
        registry: Some(registry),
        nodes,
    }
}

impl Gate {
    /// With the file as it is whenever a change is proposed.
    pub fn new(file: &Path) -> Gate {
        Gate {
            file: file.to_path_buf(),
        }
    }

    /// The file.
    pub fn file(&self) -> &Path {
        &self.file
    }

    /// What the file says now.
    pub fn expected(&self) -> Result<Expected, String> {
        Ok(Expected(Arc::new(read(&self.file)?)))
    }
}

impl Expected {
    /// Holds a checked text against them.
    pub async fn judge(&self, text: String, here: Here) -> Result<Report, String> {
        let expected = self.0.clone();
        let judged = spawn_blocking(move || {
            let generation = Generation::read(0, "routes", &text).map_err(|e| e.to_string())?;
            heathroad_verifier::judge(&generation, &expected, &here)
        });
        judged.await.map_err(|e| format!("expectations: {e}"))?
    }
}
