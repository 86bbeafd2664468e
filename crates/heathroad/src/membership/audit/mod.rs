//! The audit: which proxy ran which version, and when. A member's own record is reported as such.
//! Of a member that is not reached, the audit reports what was last received of it, and that
//! nothing is known beyond that.

mod query;
mod remote;
mod report;

pub use super::clock_offset::ClockOffset;
pub use query::AuditQuery;
pub use remote::{RemoteRecord, fetch_record, fetch_snapshot};

use super::MembershipService;
use super::member_report::MemberReport;
use crate::lease::LeaseService;
use crate::lease::audit_collection::{CollectedRecord, CollectedRecords};
use crate::runtime_accounting::spawn_in;
use heathroad_membership::MemberId;
use heathroad_membership::claim::MemberState;
use heathroad_membership::protocol::fetch::FetchError;
use report::{AuditReport, AuditedMember, AuditedRecord, RecordReport, UnreachedReport};
use serde_json::Value;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::task::JoinSet;

type FetchedRecords = BTreeMap<MemberId, Result<RemoteRecord, FetchError>>;

/// Asks every member for its record. Of a member that is not reached, the record of the fleet's
/// collector is reported, where there is one.
pub async fn audit(
    service: Rc<MembershipService>,
    leases: Option<Rc<LeaseService>>,
    query: AuditQuery,
) -> Value {
    let fleet = service.report();
    let mut records = fetch_records(&service, &fleet.members).await;
    let collected = if is_any_unreached(&records, fleet.members.len()) {
        fetch_collected(leases).await
    } else {
        None
    };
    let audited = |member: MemberReport| {
        let id = member.view.id;
        let record = if member.is_self {
            let record = service.activity_log().snapshot();
            let report = RecordReport::new(query, &record, ClockOffset::default());
            AuditedRecord::Reached(report)
        } else {
            let collected = collected.as_ref().and_then(|records| records.get(id));
            audit_member(query, &member, records.remove(&id), collected)
        };
        AuditedMember::new(member, record)
    };
    let report = AuditReport {
        fleet_name: fleet.fleet_name,
        asked: fleet.own_id,
        at: service.activity_log().now(),
        isolated: fleet.isolated,
        desired: fleet.desired,
        required: fleet.required,
        members: fleet.members.into_iter().map(audited).collect(),
    };
    serde_json::to_value(report).unwrap_or_default()
}

/// Fetches the records of all present members. Dead members are not waited for: half of a fleet
/// would take minutes.
async fn fetch_records(
    service: &Rc<MembershipService>,
    members: &[MemberReport],
) -> FetchedRecords {
    let mut fetching = JoinSet::new();
    for member in members {
        if !member.is_self && member.view.state.is_present() {
            let (service, id) = (service.clone(), member.view.id);
            spawn_in(&mut fetching, async move {
                (id, fetch_record(&service, id).await)
            });
        }
    }
    let mut records = FetchedRecords::new();
    while let Some(fetched) = fetching.join_next().await {
        records.extend(fetched);
    }
    records
}

/// Whether there is any member but this proxy and those whose records were fetched.
fn is_any_unreached(records: &FetchedRecords, members: usize) -> bool {
    let reached = records.values().filter(|record| record.is_ok()).count();
    members > reached + 1
}

async fn fetch_collected(leases: Option<Rc<LeaseService>>) -> Option<CollectedRecords> {
    leases?.collected_records().await
}

fn audit_member(
    query: AuditQuery,
    member: &MemberReport,
    fetched: Option<Result<RemoteRecord, FetchError>>,
    collected: Option<&CollectedRecord>,
) -> AuditedRecord {
    let why = match fetched {
        Some(Ok(remote)) => {
            let report = RecordReport::new(query, &remote.snapshot, remote.clock_offset);
            return AuditedRecord::Reached(report);
        }
        Some(Err(FetchError::NotFound)) => "it keeps no record",
        Some(Err(FetchError::Corrupted)) => "its record came spoilt",
        Some(Err(_)) => "it did not answer",
        None if member.view.state == MemberState::Unknown => "it was never heard",
        None => "it is not there, as far as is known here",
    };
    let collected = collected.map(|collected| RecordReport::of_collected(query, collected));
    AuditedRecord::Unreached(UnreachedReport::new(&member.view, why, collected))
}
