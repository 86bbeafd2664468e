//! Delivers fetched resources to the callers that wait for them.

use heathroad_membership::Millis;
use heathroad_membership::activity_record::UnixMillis;
use heathroad_membership::protocol::fetch::{CompletedFetch, FetchError};
use std::cell::RefCell;
use std::collections::HashMap;
use tokio::sync::oneshot;

/// A resource that was fetched from another member.
pub struct FetchedResource {
    /// The content of the resource.
    pub bytes: Vec<u8>,
    /// When the resource was requested, by this proxy's clock.
    pub requested_at: UnixMillis,
    /// The time from the request to the first part. The resource was read within it.
    pub first_part_after: Millis,
}

impl FetchedResource {
    pub(super) fn new(
        requested_at: UnixMillis,
        fetch: CompletedFetch,
    ) -> Result<FetchedResource, FetchError> {
        Ok(FetchedResource {
            bytes: fetch.result?,
            requested_at,
            first_part_after: fetch.first_part_after,
        })
    }
}

/// The callers that wait for fetches, by the id of the fetch.
#[derive(Default)]
pub(super) struct PendingFetches(RefCell<HashMap<u32, oneshot::Sender<CompletedFetch>>>);

impl PendingFetches {
    pub(super) fn register(&self, id: u32) -> oneshot::Receiver<CompletedFetch> {
        let (sender, receiver) = oneshot::channel();
        self.0.borrow_mut().insert(id, sender);
        receiver
    }

    pub(super) fn remove(&self, id: u32) {
        self.0.borrow_mut().remove(&id);
    }

    /// Delivers a completed fetch to its caller.
    pub(super) fn complete(&self, fetch: CompletedFetch) {
        if let Some(sender) = self.0.borrow_mut().remove(&fetch.id) {
            // The caller may have timed out.
            let _ = sender.send(fetch);
        }
    }
}
