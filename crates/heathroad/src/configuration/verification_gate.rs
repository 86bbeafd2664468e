//! The verification gate: checks configuration changes against a file of expectations.
//!
//! Verification runs on a blocking thread, so it does not delay requests.

use heathroad_balancer::settings::InstanceSettings;
use heathroad_routing::config::error::ConfigErrors;
use heathroad_routing::generation::Generation;
use heathroad_verifier::{Environment, Expectations, Node, Report, VerifyError, verify};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tokio::task::{JoinError, spawn_blocking};

/// An error while expectations are read or verified.
#[derive(Debug, thiserror::Error)]
pub enum GateError {
    /// The file cannot be read.
    #[error("{file}: {source}")]
    Read {
        /// The name of the file.
        file: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The text of the expectations, or of the routes, has errors.
    #[error(transparent)]
    Config(#[from] ConfigErrors),
    /// The expectations cannot be verified.
    #[error(transparent)]
    Verify(#[from] VerifyError),
    /// The verification thread failed.
    #[error("expectations: {0}")]
    Thread(#[from] JoinError),
}

/// The file of expectations, which is read again for every proposed change.
pub struct VerificationGate {
    file: PathBuf,
}

/// The expectations loaded for one proposed change.
#[derive(Clone)]
pub struct LoadedExpectations(Arc<Expectations>);

/// Reads and validates a file of expectations.
///
/// # Errors
///
/// Returns an error if the file cannot be read, or all errors found in its text.
pub fn read(path: &Path) -> Result<Expectations, GateError> {
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => Ok(heathroad_verifier::expectations::parse(&file, &text)?),
        Err(source) => Err(GateError::Read { file, source }),
    }
}

/// Returns the properties of the daemon that verification depends on.
pub fn environment(
    settings: &InstanceSettings,
    registry: SocketAddr,
    nodes: Vec<Node>,
) -> Environment {
    let (settings, site) = (&settings.balancer, &settings.site);
    Environment {
        tenants: (!site.tenants.is_empty()).then(|| site.tenants.clone()),
        max_attempts: Some(settings.limits.max_attempts),
        max_open_requests: Some(u32::try_from(site.max_open_requests).unwrap_or(u32::MAX)),
        default_registry: Some(registry),
        nodes,
    }
}

impl VerificationGate {
    /// Creates a gate for a file of expectations.
    pub fn new(file: &Path) -> VerificationGate {
        VerificationGate {
            file: file.to_path_buf(),
        }
    }

    /// Returns the path of the file.
    pub fn file(&self) -> &Path {
        &self.file
    }

    /// Reads the current contents of the file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, or all errors found in its text.
    pub fn load(&self) -> Result<LoadedExpectations, GateError> {
        Ok(LoadedExpectations(Arc::new(read(&self.file)?)))
    }
}

impl LoadedExpectations {
    /// Verifies a configuration text on a blocking thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is invalid or verification cannot run.
    pub async fn verify(
        &self,
        text: String,
        environment: Environment,
    ) -> Result<Report, GateError> {
        let expectations = self.0.clone();
        let verification = spawn_blocking(move || {
            let generation = Generation::parse(0, "routes", &text)?;
            Ok::<_, GateError>(verify(&generation, &expectations, &environment)?)
        });
        verification.await?
    }
}
