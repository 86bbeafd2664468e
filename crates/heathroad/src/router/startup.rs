//! Startup and reload of routed pools. A committed generation takes precedence over the file.

use super::RouterError;
use super::routed_pools::{RoutedPools, RoutedPoolsConfig};
use crate::backend::Pool;
use crate::configuration::Config;
use crate::configuration::routes::{self, check_self_loop};
use crate::configuration::state_folder::StateFolder;
use crate::configuration::verification_gate::{self, GateError, VerificationGate};
use crate::membership::activity_log::ActivityLog;
use heathroad_routing::generation::Generation;
use heathroad_routing::journal::{Journal, OpenError, OpenTransaction, Record, RecoveredState};
use heathroad_routing::transaction::TransactionConfig;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// The number of the first generation.
const FIRST_GENERATION: u64 = 1;

/// The journal of the state folder, and what was recovered from it.
struct StoredState {
    /// `None` if no state folder is configured or its journal has another format. Changes are then
    /// not recorded.
    journal: Option<Journal<StateFolder>>,
    committed: Option<Rc<Generation>>,
    highest_number: u64,
}

/// Starts the pools of the last committed generation, or of the routes file if there is none.
///
/// # Errors
///
/// Fails if the state folder or the file can't be used, or if the file does not meet its
/// expectations.
pub fn start(
    file: &Path,
    config: &Config,
    connections: &Rc<Pool>,
    activity_log: Option<Rc<ActivityLog>>,
) -> Result<Rc<RoutedPools>, RouterError> {
    let mut state = open_state(config)?;
    let gate = config.expectations.as_deref().map(VerificationGate::new);
    let initial = match state.committed.take() {
        Some(committed) => {
            log_if_different(file, &committed);
            committed
        }
        None => commit_file(file, config, gate.as_ref(), &mut state)?,
    };
    let probation = u64::try_from(config.probation.as_millis()).unwrap_or(u64::MAX);
    let pools_config = RoutedPoolsConfig {
        settings: config.settings.clone(),
        seed: config.seed,
        connections: connections.clone(),
        default_registry: config.discovery,
        transactions: TransactionConfig {
            probation,
            verify: gate.is_some(),
            ..TransactionConfig::default()
        },
        gate,
        listen_address: config.listen,
        activity_log,
    };
    RoutedPools::start(pools_config, &initial, state.highest_number, state.journal)
}

fn open_state(config: &Config) -> Result<StoredState, RouterError> {
    let mut state = StoredState {
        journal: None,
        committed: None,
        highest_number: FIRST_GENERATION,
    };
    let Some(path) = &config.state else {
        return Ok(state);
    };
    let folder = path.display().to_string();
    match Journal::open(StateFolder::new(path)) {
        Ok((journal, recovered)) => {
            log_recovery(&folder, &recovered);
            state.journal = Some(journal);
            state.highest_number = recovered.highest_number.max(FIRST_GENERATION);
            state.committed = parse_committed(&folder, recovered.committed)?;
        }
        Err(OpenError::Format(error)) => tracing::info!(
            "state: {folder}: {error}; it is left as it is, and changes are not recorded"
        ),
        Err(OpenError::Storage(source)) => {
            return Err(RouterError::ReadState { folder, source });
        }
    }
    Ok(state)
}

fn log_recovery(folder: &str, recovered: &RecoveredState) {
    if let Some(damage) = &recovered.damage {
        tracing::warn!("state: {folder}: {damage}; they are cut off");
    }
    if let Some(OpenTransaction { number, applied }) = recovered.open_transaction {
        let phase = if applied { "on probation" } else { "staged" };
        tracing::warn!("state: {folder}: generation {number} was {phase} and is not started");
    }
}

fn parse_committed(
    folder: &str,
    committed: Option<(u64, String)>,
) -> Result<Option<Rc<Generation>>, RouterError> {
    let Some((number, text)) = committed else {
        return Ok(None);
    };
    let generation = Generation::parse(number, folder, &text)
        .map_err(|source| RouterError::Committed { number, source })?;
    let digest = &generation.digest;
    tracing::info!("state: {folder}: starting with generation {number}, digest {digest}");
    Ok(Some(generation))
}

fn log_if_different(file: &Path, committed: &Generation) {
    if std::fs::read_to_string(file).is_ok_and(|text| text != committed.text) {
        let file = file.display();
        tracing::info!(
            "routes: {file} differs from what is committed; apply it to put it in force"
        );
    }
}

/// Reads and checks the routes file, and records it as committed.
fn commit_file(
    file: &Path,
    config: &Config,
    gate: Option<&VerificationGate>,
    state: &mut StoredState,
) -> Result<Rc<Generation>, RouterError> {
    let generation = routes::read(file, state.highest_number)?;
    check_self_loop(&generation, config.listen)?;
    if let Some(gate) = gate {
        check_expectations(gate, &generation, config)?;
    }
    if let Some(journal) = &mut state.journal {
        let (number, text) = (generation.number, generation.text.clone());
        let committed = Record::Committed { number, text };
        journal.write(committed).map_err(RouterError::WriteState)?;
    }
    Ok(generation)
}

/// Verifies the generation of the routes file as far as possible before registries have announced
/// nodes. A committed generation is not verified again, so that lost nodes don't prevent a start.
fn check_expectations(
    gate: &VerificationGate,
    generation: &Generation,
    config: &Config,
) -> Result<(), RouterError> {
    let expectations = verification_gate::read(gate.file())?;
    let environment =
        verification_gate::environment(&config.settings, config.discovery, Vec::new());
    let report = heathroad_verifier::verify(generation, &expectations, &environment);
    let failures = report.map_err(GateError::from)?.certain_failures();
    if !failures.is_empty() {
        return Err(RouterError::ExpectationsFail { failures });
    }
    Ok(())
}

/// Proposes the routes file, which may have changed. On an error, which is logged, the generation
/// in force stays.
pub async fn reload(file: PathBuf, pools: Rc<RoutedPools>) {
    let name = file.display().to_string();
    let text = match std::fs::read_to_string(&file) {
        Ok(text) => text,
        Err(error) => {
            tracing::warn!("configuration kept: {name}: {error}");
            return;
        }
    };
    if let Err(error) = pools.propose(&name, &text, None).await {
        tracing::warn!("configuration kept: {error}");
    }
}
