//! The history of leases for operators, merged from the records of holders and voters.

use super::managed_lease::{ManagedLease, OwnHold};
use super::report::{HistoryReport, Hold, LeaseHistory};
use super::service::LeaseService;
use crate::membership::audit::{self, ClockOffset};
use crate::runtime_accounting::spawn_in;
use heathroad_lease::candidate::EndReason;
use heathroad_lease::grant_history::GrantEnd;
use heathroad_lease::token::Token;
use heathroad_lease::{LeaseId, MemberId};
use heathroad_membership::wire::Resource;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use tokio::task::JoinSet;

/// A member's records of all leases. Members fetch them from each other as JSON.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct LocalHistory {
    /// When the records were read, in Unix milliseconds. All times are by the member's clock.
    at: u64,
    #[serde(rename = "duties")]
    leases: Vec<LeaseRecords>,
}

/// A member's records of one lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct LeaseRecords {
    name: String,
    #[serde(rename = "own")]
    own_holds: Vec<OwnHoldRecord>,
    #[serde(rename = "granted")]
    grants: Vec<VoterGrantRecord>,
}

/// A hold of the lease by the member.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct OwnHoldRecord {
    token: Token,
    from: u64,
    to: Option<u64>,
    /// The JSON name of an [`EndReason`]. Unknown names of other versions are passed on unchanged.
    #[serde(rename = "why")]
    end_reason: Option<String>,
}

/// A grant that the member made as a voter.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct VoterGrantRecord {
    token: Token,
    from: u64,
    /// The latest time until which the lease may have been held.
    until: u64,
    end: GrantEnd,
}

/// The history of one member, with the offset of its clock.
struct MemberHistory {
    member: MemberId,
    history: LocalHistory,
    /// The offset between the member's clock and this proxy's.
    clock: ClockOffset,
}

/// A hold, merged from the records of its holder and of voters.
#[derive(Debug, Default)]
struct HoldSummary {
    from: Option<u64>,
    to: Option<u64>,
    end_reason: Option<String>,
    is_held: bool,
    granted_from: Option<u64>,
    granted_until: Option<u64>,
    is_resigned: bool,
    reported_by: Vec<MemberId>,
    clock_error_ms: u64,
}

impl HoldSummary {
    fn add_own_hold(&mut self, member: MemberId, hold: &OwnHoldRecord, clock: ClockOffset) {
        self.from = Some(clock.to_local(hold.from));
        self.to = hold.to.map(|to| clock.to_local(to));
        self.end_reason = hold.end_reason.clone();
        self.is_held = hold.to.is_none();
        self.clock_error_ms = self.clock_error_ms.max(clock.error_ms);
        self.reported_by.push(member);
    }

    fn add_grant(&mut self, member: MemberId, grant: &VoterGrantRecord, clock: ClockOffset) {
        let (from, until) = (clock.to_local(grant.from), clock.to_local(grant.until));
        self.granted_from = Some(self.granted_from.map_or(from, |first| first.min(from)));
        self.granted_until = Some(self.granted_until.map_or(until, |last| last.max(until)));
        self.is_resigned |= grant.end == GrantEnd::Resigned;
        self.clock_error_ms = self.clock_error_ms.max(clock.error_ms);
        if !self.reported_by.contains(&member) {
            self.reported_by.push(member);
        }
    }

    fn into_hold(self, token: Token) -> Hold {
        Hold {
            token,
            holder: token.member(),
            from: self.from.or(self.granted_from),
            to: self.to,
            end_reason: self.end_reason,
            is_confirmed: self.from.is_some(),
            is_held: self.is_held,
            ended_by: self.to.or(self.granted_until),
            is_resigned: self.is_resigned,
            reported_by: self.reported_by,
            clock_error_ms: self.clock_error_ms,
        }
    }
}

/// Merges the records of all members for one lease.
fn combine(name: &str, histories: &[MemberHistory]) -> LeaseHistory {
    let mut holds: BTreeMap<Token, HoldSummary> = BTreeMap::new();
    for MemberHistory {
        member,
        history,
        clock,
    } in histories
    {
        for records in history.leases.iter().filter(|records| records.name == name) {
            for hold in &records.own_holds {
                holds
                    .entry(hold.token)
                    .or_default()
                    .add_own_hold(*member, hold, *clock);
            }
            for grant in &records.grants {
                holds
                    .entry(grant.token)
                    .or_default()
                    .add_grant(*member, grant, *clock);
            }
        }
    }
    let holds = holds
        .into_iter()
        .map(|(token, summary)| summary.into_hold(token));
    LeaseHistory {
        name: name.to_string(),
        holds: holds.collect(),
    }
}

/// Returns the JSON name of a reason.
fn reason_name(reason: EndReason) -> Option<String> {
    let value = serde_json::to_value(reason).ok()?;
    value.as_str().map(str::to_string)
}

fn own_hold_record(hold: OwnHold) -> OwnHoldRecord {
    OwnHoldRecord {
        token: hold.token,
        from: hold.from,
        to: hold.to,
        end_reason: hold.end_reason.and_then(reason_name),
    }
}

impl LeaseService {
    /// Returns this proxy's records of all leases.
    pub(super) fn local_history(&self) -> LocalHistory {
        let leases = self
            .leases
            .iter()
            .map(|(id, lease)| self.lease_records(*id, lease));
        LocalHistory {
            at: self.peers.activity_log().now(),
            leases: leases.collect(),
        }
    }

    fn lease_records(&self, id: LeaseId, lease: &ManagedLease) -> LeaseRecords {
        let manager = self.manager.borrow();
        let grants = manager.voter().and_then(|voter| voter.history().get(&id));
        let grants = grants.into_iter().flatten().map(|grant| VoterGrantRecord {
            token: grant.token,
            from: self.unix_time_at(grant.from),
            until: self.unix_time_at(grant.until),
            end: grant.end,
        });
        LeaseRecords {
            name: lease.name.clone(),
            own_holds: lease.own_holds().into_iter().map(own_hold_record).collect(),
            grants: grants.collect(),
        }
    }

    /// Returns a [`HistoryReport`] as JSON, from the records of all members that can be reached.
    pub async fn history_json(&self) -> Value {
        serde_json::to_value(self.history_report().await).unwrap_or_default()
    }

    async fn history_report(&self) -> HistoryReport {
        let own = MemberHistory {
            member: self.peers.member_id(),
            history: self.local_history(),
            clock: ClockOffset::default(),
        };
        let mut histories = vec![own];
        let mut unreached = Vec::new();
        let mut fetches = self.start_history_fetches();
        while let Some(fetched) = fetches.join_next().await {
            match fetched {
                Ok(Ok(history)) => histories.push(history),
                Ok(Err(member)) => unreached.push(member),
                Err(_) => {}
            }
        }
        unreached.sort_unstable();
        let leases = self
            .leases
            .values()
            .map(|lease| combine(&lease.name, &histories));
        HistoryReport {
            asked: self.peers.member_id(),
            at: self.peers.activity_log().now(),
            unreached,
            leases: leases.collect(),
        }
    }

    /// Fetches the histories of all other present members. A failed fetch returns the member's id.
    fn start_history_fetches(&self) -> JoinSet<Result<MemberHistory, MemberId>> {
        let mut fetches = JoinSet::new();
        for member in self.peers.present_members(false) {
            let peers = self.peers.clone();
            spawn_in(&mut fetches, async move {
                let at = |history: &LocalHistory| history.at;
                let fetched =
                    audit::fetch_snapshot(&peers, member, Resource::LeaseHistory, at).await;
                let (history, clock) = fetched.map_err(|_| member)?;
                Ok(MemberHistory {
                    member,
                    history,
                    clock,
                })
            });
        }
        fetches
    }
}

#[cfg(test)]
#[path = "../../tests/unit/lease_history.rs"]
mod tests;
