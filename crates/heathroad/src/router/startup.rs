//! Pools by routes at a start and at a reload: what was committed goes before the file.

use super::routed_pools::{Base, Many};
use crate::backend::Pool;
use crate::configuration::Config;
use crate::configuration::routes::{numbered, rounds};
use crate::configuration::state_folder::Folder;
use crate::configuration::verification_gate::{self, Gate};
use crate::membership::activity_log::ActivityLog;
use heathroad_routing::generation::Generation;
use heathroad_routing::journal::{Journal, OpenError, Record};
use heathroad_routing::transaction::Terms;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Begins with the last committed generation, where one is kept; else with the file.
pub fn start(
    file: &Path,
    config: &Config,
    connections: &Rc<Pool>,
    acts: Option<Rc<ActivityLog>>,
) -> Result<Rc<Many>, String> {
    let (mut journal, mut highest, mut first) = (None, 1, None);
    if let Some(folder) = &config.state {
        let place = folder.display();
        match Journal::open(Folder::new(folder)) {
            Ok((opened, found)) => {
                if let Some(note) = found.note {
                    tracing::warn!("state: {place}: {note}; they are cut off");
                }
                if let Some((number, applied)) = found.open {
                    let was = if applied { "on probation" } else { "staged" };
                    tracing::warn!(
                        "state: {place}: generation {number} was {was} and is not started"
                    );
                }
                if let Some((number, text)) = found.committed {
                    let kept = Generation::read(number, &format!("{place}"), &text);
                    let kept = kept.map_err(|e| format!("state: generation {number}: {e}"))?;
                    tracing::info!(
                        "state: {place}: starting on generation {number}, digest {}",
                        kept.digest
                    );
                    first = Some(kept);
                }
                (journal, highest) = (Some(opened), found.highest.max(1));
            }
            Err(OpenError::Log(e)) => {
                tracing::info!(
                    "state: {place}: {e}; it is left as it is, and changes will not be kept"
                );
            }
            Err(OpenError::Disk(e)) => return Err(format!("state: {place}: {e}")),
        }
    }
    let gate = config.expectations.as_deref().map(Gate::new);
    let first = match first {
        Some(kept) => {
            if std::fs::read_to_string(file).is_ok_and(|text| text != kept.text) {
                tracing::info!(
                    "routes: {} differs from what is committed; apply it to change that",
                    file.display()
                );
            }
            kept
        }
        None => {
            let read = numbered(file, highest)?;
            rounds(&read, config.listen)?;
            if let Some(gate) = &gate {
                expected(gate, &read, config)?;
            }
            if let Some(journal) = &mut journal {
                let record = Record::Committed {
                    number: read.number,
                    text: read.text.clone(),
                };
                journal.write(record).map_err(|e| format!("state: {e}"))?;
            }
            read
        }
    };
    let probation = u64::try_from(config.probation.as_millis()).unwrap_or(u64::MAX);
    let base = Base {
        facts: config.facts.clone(),
        seed: config.seed,
        connections: connections.clone(),
        registry: config.discovery,
        terms: Terms {
            probation,
            judged: gate.is_some(),
            ..Terms::default()
        },
        gate,
        listens: config.listen,
        acts,
    };
    Many::new(base, first, highest, journal)
}

/// What is known to be broken of what is expected before a registry has told any node; no start is
/// made on that. (What was committed has passed, and stays whatever has become of its nodes.)
fn expected(gate: &Gate, first: &Generation, config: &Config) -> Result<(), String> {
    let here = verification_gate::here(&config.facts, config.discovery, Vec::new());
    let broken =
        heathroad_verifier::judge(first, &verification_gate::read(gate.file())?, &here)?.known();
    if broken.is_empty() {
        Ok(())
    } else {
        Err(broken.join("\n"))
    }
}

/// Proposes a file that may have changed; what is wrong with it is logged, and changes nothing.
pub async fn reload(file: PathBuf, many: Rc<Many>) {
    let name = file.display().to_string();
    let proposed = match std::fs::read_to_string(&file).map_err(|e| format!("{name}: {e}")) {
        Ok(text) => many.propose(&name, &text, None).await,
        Err(e) => Err(e),
    };
    if let Err(e) = proposed {
        tracing::warn!("configuration kept: {e}");
    }
}
