//! Audits which proxy ran which version, and when. The report contains the record of each reachable
//! member. For the others it contains the last information received, and marks the time since as
//! unknown.

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
use report::{AuditReport, AuditedMember, AuditedRecord, MissingRecordReport, RecordReport};
use serde_json::Value;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::task::JoinSet;

type FetchedRecords = BTreeMap<MemberId, Result<RemoteRecord, FetchError>>;

/// Fetches the record of every present member. For an unreachable member, the report contains the
/// copy of the cluster's collector, if there is one.
pub async fn audit(
    service: Rc<MembershipService>,
    leases: Option<Rc<LeaseService>>,
    query: AuditQuery,
) -> Value {
    let cluster = service.report();
    let mut records = fetch_records(&service, &cluster.members).await;
    let collected = if is_any_unreachable(&records, cluster.members.len()) {
        fetch_collected(leases).await
    } else {
        None
    };
    let audit_one = |member: MemberReport| {
        let id = member.view.id;
        let record = if member.is_self {
            let record = service.activity_log().snapshot();
            let report = RecordReport::new(query, &record, ClockOffset::default());
            AuditedRecord::Fetched(report)
        } else {
            let collected = collected.as_ref().and_then(|records| records.get(id));
            audit_member(query, &member, records.remove(&id), collected)
        };
        AuditedMember::new(member, record)
    };
    let report = AuditReport {
        cluster_name: cluster.cluster_name,
        reported_by: cluster.own_id,
        at: service.activity_log().now(),
        isolated: cluster.isolated,
        desired: cluster.desired,
        required: cluster.required,
        members: cluster.members.into_iter().map(audit_one).collect(),
    };
    serde_json::to_value(report).unwrap_or_default()
}

/// Fetches the records of all present members. Dead members are skipped, since waiting for each to
/// time out could take minutes.
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

/// Returns whether the record of any other member was not fetched.
fn is_any_unreachable(records: &FetchedRecords, member_count: usize) -> bool {
    let fetched = records.values().filter(|record| record.is_ok()).count();
    member_count > fetched + 1
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
    let reason = match fetched {
        Some(Ok(remote)) => {
            let report = RecordReport::new(query, &remote.snapshot, remote.clock_offset);
            return AuditedRecord::Fetched(report);
        }
        Some(Err(FetchError::NotFound)) => "it keeps no record",
        Some(Err(FetchError::Corrupted)) => "its record came spoilt",
        Some(Err(_)) => "it did not answer",
        None if member.view.state == MemberState::Unknown => "it was never heard",
        None => "it is not there, as far as is known here",
    };
    let collected = collected.map(|collected| RecordReport::of_collected(query, collected));
    AuditedRecord::Missing(MissingRecordReport::new(&member.view, reason, collected))
}
