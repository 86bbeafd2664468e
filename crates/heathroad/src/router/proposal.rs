//! Proposals of configuration changes, and the checks before a transaction is opened.

use super::routed_pools::{RequiredChange, RoutedPools};
use super::{ProposalError, RouterError};
use crate::configuration::routes::check_self_loop;
use crate::configuration::verification_gate::{LoadedExpectations, VerificationGate};
use heathroad_routing::generation::Generation;
use heathroad_routing::transaction::{Event, TransactionReport};
use std::rc::Rc;

impl RoutedPools {
    /// Proposes a configuration text as a change. `file` names it in error messages. With
    /// `required_within_ms`, every member of the cluster must apply the change within this time
    /// after it is committed.
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
            self.check_required_within(within_ms)?;
        }
        let reports = self.propose_numbered(file, text, 0).await?;
        if let Some(within_ms) = required_within_ms.filter(|_| is_staged(&reports)) {
            let digest = Generation::parse(0, file, text)?.digest.clone();
            let change = RequiredChange { digest, within_ms };
            self.required_change.replace(Some(change));
        }
        Ok(reports)
    }

    /// Checks that this proxy can require a change of the cluster within some time.
    fn check_required_within(&self, within_ms: u64) -> Result<(), ProposalError> {
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

    /// Proposes a configuration text under a generation number of the cluster, or under a new
    /// number if `number` is 0.
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
        // A proposal during another transaction is rejected and must not replace the expectations
        // of that transaction.
        if self.transactions.borrow().open_transaction().is_none() {
            self.expectations.replace(expectations);
        }
        self.reserve_cluster_numbers(number);
        Ok(self.handle(Event::Propose(generation)))
    }

    /// Verifies a configuration text against the current expectations, and returns these.
    ///
    /// Rejects only failures that hold whatever nodes the registries announce, since missing nodes
    /// may still be announced while the change is staged.
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

    /// Reserves the generation numbers that the cluster has assigned: a number identifies one text
    /// in the whole cluster.
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

/// Returns whether a proposal was accepted and staged.
pub(super) fn is_staged(reports: &[TransactionReport]) -> bool {
    let mut reports = reports.iter();
    reports.any(|report| matches!(report, TransactionReport::Staged { .. }))
}
