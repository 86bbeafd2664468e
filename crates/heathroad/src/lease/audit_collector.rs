//! The audit collector: collects the activity records of all members, so that the audit covers
//! members that have left.
//!
//! The collector's checkpoint is the digest of its collection. Voters mirror the collection, and
//! the next collector resumes from it.

use super::audit_collection::{CollectedRecord, CollectedRecords};
use super::service::LeaseService;
use super::store::LeaseStore;
use super::worker::{LeaseHandle, WorkError};
use crate::configuration::lease::WorkSettings;
use crate::membership::MembershipService;
use crate::membership::audit;
use crate::runtime_accounting::sleep;
use heathroad_lease::checkpoint::Checkpoint;
use heathroad_lease::{LeaseId, MemberId};
use heathroad_membership::version::Digest;
use heathroad_membership::wire::Resource;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_blocking;

/// Minimum pause between fetches from two members.
const MIN_MEMBER_PAUSE: Duration = Duration::from_millis(50);
/// Timeout of fetching a document.
const FETCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of consecutive rounds that reach no other member, after which the lease is resigned.
const MAX_UNREACHABLE_ROUNDS: u32 = 3;

/// The collection that a checkpoint refers to.
struct CheckpointedCollection {
    digest: Digest,
    collector: MemberId,
}

impl CheckpointedCollection {
    fn from_checkpoint(checkpoint: &Checkpoint) -> Option<CheckpointedCollection> {
        let digest = checkpoint.state.as_slice().try_into().ok().map(Digest)?;
        Some(CheckpointedCollection {
            digest,
            collector: checkpoint.token.member(),
        })
    }
}

/// Collects records in rounds until the lease is lost or the work fails, and returns the reason.
pub(super) async fn collect(
    handle: &LeaseHandle,
    peers: &Rc<MembershipService>,
    round_duration: Duration,
) -> WorkError {
    if let Err(error) = resume_collection(handle, peers).await {
        return error;
    }
    let mut unreachable_rounds = 0;
    loop {
        let is_unreachable = match collect_round(handle, peers, round_duration).await {
            Ok(is_unreachable) => is_unreachable,
            Err(error) => return error,
        };
        unreachable_rounds = if is_unreachable {
            unreachable_rounds + 1
        } else {
            0
        };
        if unreachable_rounds >= MAX_UNREACHABLE_ROUNDS {
            return WorkError::NobodyReached {
                rounds: MAX_UNREACHABLE_ROUNDS,
            };
        }
    }
}

/// Fetches the collection of the last checkpoint from the previous collector or from a voter.
async fn resume_collection(
    handle: &LeaseHandle,
    peers: &Rc<MembershipService>,
) -> Result<(), WorkError> {
    let service = handle.service().ok_or(WorkError::ShuttingDown)?;
    let collection = service.collection.clone();
    let last = handle
        .checkpoint()
        .and_then(CheckpointedCollection::from_checkpoint);
    let Some(last) = last.filter(|last| last.digest != collection.digest()) else {
        return Ok(());
    };
    let sources = std::iter::once(last.collector).chain(service.voters());
    // The work must not keep the service alive while it waits.
    drop(service);
    for source in sources.filter(|member| *member != peers.member_id()) {
        let fetched = peers
            .fetch(
                source,
                Resource::CollectedRecords,
                last.digest,
                FETCH_TIMEOUT,
            )
            .await;
        if fetched.is_ok_and(|fetched| collection.merge_document(&fetched.bytes)) {
            break;
        }
    }
    Ok(())
}

/// Collects the record of each present member once. Returns true if other members are present and
/// none was reached.
async fn collect_round(
    handle: &LeaseHandle,
    peers: &Rc<MembershipService>,
    round_duration: Duration,
) -> Result<bool, WorkError> {
    let service = handle.service().ok_or(WorkError::ShuttingDown)?;
    let (collection, store) = (service.collection.clone(), service.store.clone());
    drop(service);
    let members = peers.present_members(true);
    let member_count = u32::try_from(members.len().max(1)).unwrap_or(u32::MAX);
    let pause = (round_duration / member_count).max(MIN_MEMBER_PAUSE);
    let mut reached = 0;
    for member in &members {
        if !handle.is_held() {
            return Err(WorkError::LeaseLost);
        }
        if *member == peers.member_id() {
            collection.insert(*member, own_record(peers));
        } else if let Ok(fetched) = audit::fetch_record(peers, *member).await {
            reached += 1;
            collection.insert(*member, fetched_record(peers, fetched));
        }
        sleep(pause).await;
    }
    let digest = collection.update_document();
    save_collection(collection.document_to_store(), store).await;
    // If the checkpoint is not stored, the next round stores it.
    let _ = handle.store_checkpoint(digest.0.to_vec()).await;
    Ok(reached == 0 && members.len() > 1)
}

fn own_record(peers: &MembershipService) -> CollectedRecord {
    CollectedRecord {
        by: peers.member_id(),
        collected_at: peers.activity_log().now(),
        clock_offset: 0,
        clock_error: 0,
        record: peers.activity_log().snapshot(),
    }
}

fn fetched_record(peers: &MembershipService, fetched: audit::RemoteRecord) -> CollectedRecord {
    CollectedRecord {
        by: peers.member_id(),
        collected_at: peers.activity_log().now(),
        clock_offset: fetched.clock_offset.offset_ms,
        clock_error: fetched.clock_offset.error_ms,
        record: fetched.snapshot,
    }
}

async fn save_collection(document: Vec<u8>, store: Option<LeaseStore>) {
    let Some(store) = store else {
        return;
    };
    match spawn_blocking(move || store.write_audit_collection(&document)).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => tracing::warn!("audit collector: {error}"),
        Err(error) => tracing::warn!("audit collector: {error}"),
    }
}

/// Mirrors the collection at a voter.
pub(super) async fn mirror(service: Rc<LeaseService>) {
    let Some((lease, round_duration)) = service.audit_lease() else {
        return;
    };
    loop {
        sleep(round_duration).await;
        let Some(wanted) = service.collection_to_mirror(lease) else {
            continue;
        };
        let fetched = service
            .peers
            .fetch(
                wanted.collector,
                Resource::CollectedRecords,
                wanted.digest,
                FETCH_TIMEOUT,
            )
            .await;
        let collection = &service.collection;
        if fetched.is_ok_and(|fetched| collection.merge_document(&fetched.bytes)) {
            collection.update_document();
            save_collection(collection.document_to_store(), service.store.clone()).await;
        }
    }
}

impl LeaseService {
    /// Returns the lease of the audit collector and the duration of a round.
    pub(super) fn audit_lease(&self) -> Option<(LeaseId, Duration)> {
        self.leases.iter().find_map(|(id, lease)| match lease.work {
            WorkSettings::CollectAudit { round_duration } => Some((*id, round_duration)),
            WorkSettings::HttpCall(_) => None,
        })
    }

    /// Returns the collection that this voter's checkpoint refers to, unless this proxy has the
    /// collection already or is the collector.
    fn collection_to_mirror(&self, lease: LeaseId) -> Option<CheckpointedCollection> {
        let manager = self.manager.borrow();
        let durable = manager.voter()?.state().leases.get(&lease)?;
        let wanted = CheckpointedCollection::from_checkpoint(&durable.checkpoint)?;
        let is_missing = wanted.digest != self.collection.digest();
        (is_missing && wanted.collector != self.peers.member_id()).then_some(wanted)
    }

    /// Returns the collected records of this proxy, or else of a voter that can be reached.
    pub async fn collected_records(&self) -> Option<CollectedRecords> {
        let (lease, _) = self.audit_lease()?;
        let voters = self.voters();
        if self.held_token(lease).is_some() || voters.contains(&self.peers.member_id()) {
            return Some(self.collection.records());
        }
        let present = self.peers.present_members(false);
        for voter in voters.into_iter().filter(|voter| present.contains(voter)) {
            let fetched = self
                .peers
                .fetch(
                    voter,
                    Resource::CollectedRecords,
                    Digest::default(),
                    FETCH_TIMEOUT,
                )
                .await;
            let records = fetched
                .ok()
                .and_then(|fetched| serde_json::from_slice(&fetched.bytes).ok());
            if records.is_some() {
                return records;
            }
        }
        None
    }
}
