//! The current status of leases for operators: the holder of each lease by the reports of voters.

use super::managed_lease::ManagedLease;
use super::report::{LeaseStatus, LocalHold, StatusReport, VoterReport};
use super::service::LeaseService;
use crate::configuration::lease::WorkSettings;
use crate::runtime_accounting::sleep;
use heathroad_lease::lease_manager::VoterStatus;
use heathroad_lease::message::RejectReason;
use heathroad_lease::token::Token;
use heathroad_lease::voter_set::VoterSet;
use heathroad_lease::{LeaseId, MemberId};
use serde_json::Value;
use std::time::Duration;
use tokio::time::Instant;

/// Voters that have not answered after this time count as unreachable.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which the answers of voters are counted.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(20);

impl From<&VoterStatus> for VoterReport {
    fn from(reported: &VoterStatus) -> VoterReport {
        VoterReport {
            voter: reported.voter,
            highest_token: reported.status.highest_token,
            remaining_ms: reported.status.remaining_ms,
            reason: reported.status.reason,
            early_failures: reported.status.early_failures,
        }
    }
}

/// Returns the lowest token that a quorum reports as granted. Its member may hold the lease.
fn token_granted_by_quorum(statuses: &[VoterStatus], voters: &VoterSet) -> Option<Token> {
    let granted_token = |reported: &VoterStatus| {
        let is_granted = reported.status.reason == Some(RejectReason::Held);
        is_granted.then_some(reported.status.highest_token)
    };
    let is_granted_by = |voter: MemberId, token: Token| {
        let mut reports_of_voter = statuses.iter().filter(|reported| reported.voter == voter);
        reports_of_voter.any(|reported| granted_token(reported) == Some(token))
    };
    let tokens = statuses.iter().filter_map(granted_token);
    tokens
        .filter(|token| voters.is_quorum(|voter| is_granted_by(voter, *token)))
        .min()
}

fn describe_work(work: &WorkSettings) -> String {
    match work {
        WorkSettings::HttpCall(target) => format!("call {}{}", target.address, target.path),
        WorkSettings::CollectAudit { .. } => "collect".into(),
    }
}

impl LeaseService {
    /// Requests the status of all leases from the voters and returns a [`StatusReport`] as JSON.
    pub async fn status_json(&self) -> Value {
        self.request_voter_statuses();
        let deadline = Instant::now() + STATUS_TIMEOUT;
        while !self.have_all_voters_answered() && Instant::now() < deadline {
            sleep(STATUS_POLL_INTERVAL).await;
        }
        serde_json::to_value(self.status_report()).unwrap_or_default()
    }

    fn status_report(&self) -> StatusReport {
        let manager = self.manager.borrow();
        let voters = manager.voters();
        let now = self.peers.now();
        let silent_ms = manager
            .voter()
            .map(|voter| voter.startup_ends_at().saturating_sub(now));
        let leases = self
            .leases
            .iter()
            .map(|(id, lease)| self.lease_status(*id, lease));
        StatusReport {
            asked: self.peers.member_id(),
            at: self.peers.activity_log().now(),
            generation: voters.generation(),
            voters: voters.members().collect(),
            is_voter: manager.voter().is_some(),
            silent_ms,
            lease_ms: self.lease_duration.as_millis() as u64,
            leases: leases.collect(),
        }
    }

    fn request_voter_statuses(&self) {
        self.voter_statuses.borrow_mut().clear();
        for lease in self.leases.keys() {
            self.manager.borrow_mut().request_status(*lease);
        }
        self.wake.notify_one();
    }

    fn have_all_voters_answered(&self) -> bool {
        let voter_count = self.voters().len();
        let statuses = self.voter_statuses.borrow();
        let mut leases = self.leases.keys();
        leases.all(|lease| {
            statuses
                .get(lease)
                .is_some_and(|known| known.len() >= voter_count)
        })
    }

    fn lease_status(&self, id: LeaseId, lease: &ManagedLease) -> LeaseStatus {
        let statuses = self.voter_statuses.borrow();
        let statuses = statuses.get(&id).map(Vec::as_slice).unwrap_or_default();
        let manager = self.manager.borrow();
        let voters = manager.voters();
        let has_answered = |voter| statuses.iter().any(|reported| reported.voter == voter);
        let candidate = manager.candidate(id);
        let now = self.peers.now();
        let hold = candidate.and_then(|candidate| candidate.hold(now));
        let token = token_granted_by_quorum(statuses, voters);
        LeaseStatus {
            name: lease.name.clone(),
            work: describe_work(&lease.work),
            holder: token.map(Token::member),
            token,
            is_quorum_reached: voters.is_quorum(has_answered),
            voters: statuses.iter().map(VoterReport::from).collect(),
            held_here: hold.map(|(token, expires_at)| LocalHold {
                token,
                remaining_ms: expires_at.saturating_sub(now),
            }),
            last_rejection: candidate
                .and_then(heathroad_lease::candidate::Candidate::last_rejection),
            work_failure: lease.work_failure(),
        }
    }
}
