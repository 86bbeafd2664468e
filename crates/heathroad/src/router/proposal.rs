//! Proposals of configuration changes: their checks before a transaction is opened.

use super::routed_pools::{RequiredChange, RoutedPools};
use super::{ProposalError, RouterError};
use crate::configuration::routes::check_self_loop;
use crate::configuration::verification_gate::{LoadedExpectations, VerificationGate};
use heathroad_routing::generation::Generation;
use heathroad_routing::transaction::{Event, TransactionReport};
use std::rc::Rc;

impl RoutedPools {
    /// Proposes a text as a change. `file` is its name in error messages. If `required_within_ms`
    /// is given, the whole cluster must act on the change within this time once it is committed.
    ///
    /// # Errors
    ///
    /// Returns why the proposal is rejected.
    pub async fn propose(
        self: &Rc<Self>,
        file: &str,
        text: &str,
        required_within_ms: Option<u64>,
    ) -> Result<Vec<TransactionReport>, ProposalError> {
        if let Some(within_ms) = required_within_ms {
            self.check_requirement(within_ms)?;
        }
        let reports = self.propose_numbered(file, text, 0).await?;
        if let Some(within_ms) = required_within_ms.filter(|_| is_staged(&reports)) {
            let digest = Generation::parse(0, file, text)?.digest.clone();
            let change = RequiredChange { digest, within_ms };
            self.required_change.replace(Some(change));
        }
        Ok(reports)
    }

    /// Checks whether this proxy can require a change of the whole cluster.
    fn check_requirement(&self, within_ms: u64) -> Result<(), ProposalError> {
        let activity_log = self
            .config
            .activity_log
            .as_ref()
            .ok_or(ProposalError::NoCluster)?;
        let min_ms = activity_log.min_required_within_ms();
        if activity_log.is_fenced() {
            return Err(ProposalError::Fenced);
        }
        if within_ms < min_ms {
            return Err(ProposalError::RequiredTooSoon { within_ms, min_ms });
        }
        Ok(())
    }

    /// Proposes a text under the number by which the cluster knows it, or under a new number if
    /// `number` is 0.
    ///
    /// # Errors
    ///
    /// Returns why the proposal is rejected.
    pub async fn propose_numbered(
        self: &Rc<Self>,
        file: &str,
        text: &str,
        number: u64,
    ) -> Result<Vec<TransactionReport>, ProposalError> {
        let generation = Generation::parse(number, file, text)?;
        let listen_address = self.config.listen_address;
        check_self_loop(&generation, listen_address).map_err(RouterError::from)?;
        let expectations = self.check_expectations(text).await?;
        let opened = self.open_listeners(&generation);
        if opened.is_err() {
            self.release_unused();
        }
        opened?;
        // If another change is under way, this one is rejected, and the other keeps its own.
        if self.transactions.borrow().open_transaction().is_none() {
            self.expectations.replace(expectations);
        }
        self.reserve_cluster_numbers(number);
        Ok(self.handle(Event::Propose(generation)))
    }

    /// Verifies a text against the expectations as they are now, and returns these.
    ///
    /// Nodes that no registry has announced yet may be announced while the change is staged, so
    /// that only failures that no announcement can mend are a rejection here.
    async fn check_expectations(
        &self,
        text: &str,
    ) -> Result<Option<LoadedExpectations>, RouterError> {
        let gate = self.config.gate.as_ref();
        let expectations = gate.map(VerificationGate::load).transpose()?;
        if let Some(expectations) = &expectations {
            let report = expectations
                .verify(text.to_string(), self.environment())
                .await?;
            let failures = report.certain_failures();
            if !failures.is_empty() {
                return Err(RouterError::ExpectationsFail { failures });
            }
        }
        Ok(expectations)
    }

    /// Reserves the numbers that the cluster has assigned, since a number means one text in all of
    /// it.
    fn reserve_cluster_numbers(&self, number: u64) {
        if let Some(activity_log) = &self.config.activity_log {
            let assigned = if number > 0 {
                number - 1
            } else {
                activity_log.highest_known_generation()
            };
            self.transactions
                .borrow_mut()
                .reserve_numbers_up_to(assigned);
        }
    }
}

/// Whether a proposal was accepted.
pub(super) fn is_staged(reports: &[TransactionReport]) -> bool {
    let mut reports = reports.iter();
    reports.any(|report| matches!(report, TransactionReport::Staged { .. }))
}
