//! Fetches resources from other members in parts, one per datagram. The fetching member requests a
//! bounded number of parts at a time, retries those that do not arrive, and gives up after a time
//! without progress.

use crate::version::Digest;
use crate::wire::{Message, Resource, Update};
use crate::{MemberId, Millis};
use thiserror::Error;

/// The length of a part in bytes, except for the last one.
pub const PART_BYTES: usize = 160;
/// The maximum length of a resource in bytes.
pub const MAX_RESOURCE_BYTES: usize = 512 * 1024;
/// The maximum number of concurrent fetches.
pub const MAX_FETCHES: usize = 8;
/// The length on the wire of a resource that does not exist.
pub(super) const NOT_FOUND_LENGTH: u32 = u32::MAX;
/// The maximum number of outstanding part requests per fetch.
const MAX_PARTS_IN_FLIGHT: usize = 8;
/// A fetch fails after this time without a new part.
const FETCH_TIMEOUT: Millis = 3000;

/// The reason why a fetch failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum FetchError {
    /// The source does not have the resource.
    #[error("the member does not have the resource")]
    NotFound,
    /// No part arrived in time.
    #[error("the member did not reply in time")]
    TimedOut,
    /// The parts are inconsistent, the resource does not match its digest, or it is too long.
    #[error("the resource is corrupted")]
    Corrupted,
}

/// A fetch that has succeeded or failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletedFetch {
    /// The identifier returned when the fetch was started.
    pub id: u32,
    /// The bytes of the resource, or the reason of the failure.
    pub result: Result<Vec<u8>, FetchError>,
    /// The time from the start of the fetch to the arrival of the first part. The resource was read
    /// within this time.
    pub first_part_after: Millis,
}

/// An outgoing request for a part.
#[derive(Debug, Clone, Copy)]
pub(super) struct PartRequest {
    pub(super) source: MemberId,
    pub(super) message: Message,
}

/// A part received from another member.
#[derive(Debug, Clone)]
pub(super) struct ReceivedPart {
    pub(super) source: MemberId,
    pub(super) id: u32,
    pub(super) length: u32,
    pub(super) part: u32,
    pub(super) updates: Vec<Update>,
}

#[derive(Debug, Clone, Copy)]
struct PartInFlight {
    part: usize,
    requested_at: Millis,
}

#[derive(Debug, Clone)]
struct Fetch {
    id: u32,
    source: MemberId,
    resource: Resource,
    key: Digest,
    /// The length of the resource, known once the first part has arrived.
    length: Option<usize>,
    parts: Vec<Option<Vec<u8>>>,
    in_flight: Vec<PartInFlight>,
    next_part: usize,
    started_at: Millis,
    first_part_at: Option<Millis>,
    last_progress: Millis,
}

impl Fetch {
    fn is_complete(&self) -> bool {
        self.length.is_some() && self.parts.iter().all(Option::is_some)
    }

    fn has_timed_out(&self, now: Millis) -> bool {
        now >= self.last_progress + FETCH_TIMEOUT
    }

    fn due(&self, retry_after: Millis) -> Millis {
        let retries = self
            .in_flight
            .iter()
            .map(|part| part.requested_at + retry_after);
        retries.fold(self.last_progress + FETCH_TIMEOUT, Millis::min)
    }

    /// Stores a part. Returns an error if the fetch has failed.
    fn store(&mut self, now: Millis, received: ReceivedPart) -> Result<(), FetchError> {
        if received.length == NOT_FOUND_LENGTH {
            return Err(FetchError::NotFound);
        }
        let (length, part) = (received.length as usize, received.part as usize);
        let count = length.div_ceil(PART_BYTES).max(1);
        let length_differs = self.length.is_some_and(|known| known != length);
        if length > MAX_RESOURCE_BYTES || part >= count || length_differs {
            return Err(FetchError::Corrupted);
        }
        if self.length.is_none() {
            self.length = Some(length);
            self.parts = vec![None; count];
        }
        self.first_part_at.get_or_insert(now);
        self.in_flight.retain(|in_flight| in_flight.part != part);
        let is_last = part + 1 == count;
        let expected = if is_last {
            length - part * PART_BYTES
        } else {
            PART_BYTES
        };
        if let Some(Update::Bytes(bytes)) = received.updates.into_iter().next()
            && bytes.len() == expected
            && self.parts[part].is_none()
        {
            self.parts[part] = Some(bytes);
            self.last_progress = now;
        }
        Ok(())
    }

    /// Concatenates the parts. Routes must match the digest by which they were requested.
    fn assemble(&self) -> Result<Vec<u8>, FetchError> {
        let bytes: Vec<u8> = self.parts.iter().flatten().flatten().copied().collect();
        let is_valid = self.resource != Resource::Routes || Digest::of(&bytes) == self.key;
        is_valid.then_some(bytes).ok_or(FetchError::Corrupted)
    }

    /// Returns the parts to request now: retries first, then further parts.
    fn take_due_parts(&mut self, now: Millis, retry_after: Millis) -> Vec<usize> {
        let mut due = Vec::new();
        for in_flight in &mut self.in_flight {
            if now >= in_flight.requested_at + retry_after {
                in_flight.requested_at = now;
                due.push(in_flight.part);
            }
        }
        // Only the first part is requested until the length is known.
        let count = if self.length.is_some() {
            self.parts.len()
        } else {
            1
        };
        while self.in_flight.len() < MAX_PARTS_IN_FLIGHT && self.next_part < count {
            self.in_flight.push(PartInFlight {
                part: self.next_part,
                requested_at: now,
            });
            due.push(self.next_part);
            self.next_part += 1;
        }
        due
    }

    fn part_request(&self, part: usize) -> PartRequest {
        PartRequest {
            source: self.source,
            message: Message::PartRequest {
                id: self.id,
                resource: self.resource,
                key: self.key,
                part: part as u32,
            },
        }
    }
}

/// The fetches of a member, in progress and completed.
#[derive(Debug, Clone, Default)]
pub(super) struct Fetches {
    in_progress: Vec<Fetch>,
    completed: Vec<CompletedFetch>,
}

impl Fetches {
    pub(super) fn has_room(&self) -> bool {
        self.in_progress.len() < MAX_FETCHES
    }

    pub(super) fn start(
        &mut self,
        now: Millis,
        id: u32,
        source: MemberId,
        resource: Resource,
        key: Digest,
    ) {
        self.in_progress.push(Fetch {
            id,
            source,
            resource,
            key,
            length: None,
            parts: Vec::new(),
            in_flight: Vec::new(),
            next_part: 0,
            started_at: now,
            first_part_at: None,
            last_progress: now,
        });
    }

    pub(super) fn drain_completed(&mut self) -> std::vec::Drain<'_, CompletedFetch> {
        self.completed.drain(..)
    }

    /// Returns when the next retry or timeout is due.
    pub(super) fn due(&self, retry_after: Millis) -> Option<Millis> {
        self.in_progress
            .iter()
            .map(|fetch| fetch.due(retry_after))
            .min()
    }

    /// Ends the fetches that have timed out, and returns the requests that are due.
    pub(super) fn take_due_requests(
        &mut self,
        now: Millis,
        retry_after: Millis,
    ) -> Vec<PartRequest> {
        while let Some(index) = self
            .in_progress
            .iter()
            .position(|fetch| fetch.has_timed_out(now))
        {
            self.complete(index, Err(FetchError::TimedOut));
        }
        let mut requests = Vec::new();
        for fetch in &mut self.in_progress {
            let parts = fetch.take_due_parts(now, retry_after);
            requests.extend(parts.into_iter().map(|part| fetch.part_request(part)));
        }
        requests
    }

    /// Handles a received part, and returns whether its fetch is still in progress.
    pub(super) fn receive(&mut self, now: Millis, received: ReceivedPart) -> bool {
        let matches_part =
            |fetch: &Fetch| fetch.id == received.id && fetch.source == received.source;
        let Some(index) = self.in_progress.iter().position(matches_part) else {
            return false;
        };
        let fetch = &mut self.in_progress[index];
        if let Err(error) = fetch.store(now, received) {
            self.complete(index, Err(error));
            return false;
        }
        if fetch.is_complete() {
            let result = fetch.assemble();
            self.complete(index, result);
            return false;
        }
        true
    }

    fn complete(&mut self, index: usize, result: Result<Vec<u8>, FetchError>) {
        let fetch = self.in_progress.swap_remove(index);
        let first_part_at = fetch.first_part_at.unwrap_or(fetch.last_progress);
        self.completed.push(CompletedFetch {
            id: fetch.id,
            result,
            first_part_after: first_part_at.saturating_sub(fetch.started_at),
        });
    }
}

#[cfg(test)]
#[path = "tests/fetch.rs"]
mod tests;
