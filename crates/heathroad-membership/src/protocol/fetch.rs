//! Fetches of resources from other members, in parts of a datagram each. The fetching side sets the
//! pace: it asks again for parts that did not arrive, and gives up when nothing arrives.

use crate::version::Digest;
use crate::wire::{Message, Resource, Update};
use crate::{MemberId, Millis};
use thiserror::Error;

/// The bytes of a resource in one datagram.
pub const PART_BYTES: usize = 160;
/// The longest resource, in bytes.
pub const MAX_RESOURCE_BYTES: usize = 512 * 1024;
/// The most fetches at a time.
pub const MAX_FETCHES: usize = 8;
/// The length that says that a resource does not exist.
pub(super) const NOT_FOUND_LENGTH: u32 = u32::MAX;
/// The most parts of one resource that are asked for at a time.
const MAX_PARTS_IN_FLIGHT: usize = 8;
/// A fetch is given up when nothing has arrived for so long.
const FETCH_TIMEOUT: Millis = 3000;

/// Why a resource was not fetched.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum FetchError {
    /// The member that was asked does not have it.
    #[error("the member does not have the resource")]
    NotFound,
    /// Nothing arrived for too long.
    #[error("the member did not answer in time")]
    TimedOut,
    /// It does not match its digest, or is longer than permitted.
    #[error("the resource arrived corrupted")]
    Corrupted,
}

/// A fetch that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletedFetch {
    /// The number of the fetch.
    pub id: u32,
    /// The resource.
    pub result: Result<Vec<u8>, FetchError>,
    /// How long after the start the first part arrived: the resource is as it was at some time in
    /// this span.
    pub first_part_after: Millis,
}

/// A request for a part, to be sent.
#[derive(Debug, Clone, Copy)]
pub(super) struct PartRequest {
    pub(super) source: MemberId,
    pub(super) message: Message,
}

/// A part that arrived.
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
    /// Known from the first part on.
    length: Option<usize>,
    parts: Vec<Option<Vec<u8>>>,
    in_flight: Vec<PartInFlight>,
    next_part: usize,
    begun: Millis,
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

    /// Stores a part. Returns an error if the resource cannot be fetched.
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

    /// Returns the whole resource. Routes must match the digest by which they were asked for.
    fn assemble(&self) -> Result<Vec<u8>, FetchError> {
        let bytes: Vec<u8> = self.parts.iter().flatten().flatten().copied().collect();
        let is_sound = self.resource != Resource::Routes || Digest::of(&bytes) == self.key;
        is_sound.then_some(bytes).ok_or(FetchError::Corrupted)
    }

    /// Returns the parts to ask for now: those that did not arrive in time, and further ones.
    fn take_due_parts(&mut self, now: Millis, retry_after: Millis) -> Vec<usize> {
        let mut due = Vec::new();
        for in_flight in &mut self.in_flight {
            if now >= in_flight.requested_at + retry_after {
                in_flight.requested_at = now;
                due.push(in_flight.part);
            }
        }
        // Until the length is known, the first part alone is asked for.
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

/// The fetches of a member.
#[derive(Debug, Clone, Default)]
pub(super) struct Fetches {
    running: Vec<Fetch>,
    completed: Vec<CompletedFetch>,
}

impl Fetches {
    pub(super) fn has_room(&self) -> bool {
        self.running.len() < MAX_FETCHES
    }

    pub(super) fn begin(
        &mut self,
        now: Millis,
        id: u32,
        source: MemberId,
        resource: Resource,
        key: Digest,
    ) {
        self.running.push(Fetch {
            id,
            source,
            resource,
            key,
            length: None,
            parts: Vec::new(),
            in_flight: Vec::new(),
            next_part: 0,
            begun: now,
            first_part_at: None,
            last_progress: now,
        });
    }

    pub(super) fn drain_completed(&mut self) -> std::vec::Drain<'_, CompletedFetch> {
        self.completed.drain(..)
    }

    /// Returns when a part is asked for again, or a fetch given up.
    pub(super) fn due(&self, retry_after: Millis) -> Option<Millis> {
        self.running
            .iter()
            .map(|fetch| fetch.due(retry_after))
            .min()
    }

    /// Gives up the fetches that have timed out, and returns the requests that are due.
    pub(super) fn take_due_requests(
        &mut self,
        now: Millis,
        retry_after: Millis,
    ) -> Vec<PartRequest> {
        while let Some(at) = self.running.iter().position(|f| f.has_timed_out(now)) {
            self.complete(at, Err(FetchError::TimedOut));
        }
        let mut requests = Vec::new();
        for fetch in &mut self.running {
            let parts = fetch.take_due_parts(now, retry_after);
            requests.extend(parts.into_iter().map(|part| fetch.part_request(part)));
        }
        requests
    }

    /// Takes a part, and returns whether its fetch goes on.
    pub(super) fn receive(&mut self, now: Millis, received: ReceivedPart) -> bool {
        let is_its_fetch = |f: &Fetch| f.id == received.id && f.source == received.source;
        let Some(at) = self.running.iter().position(is_its_fetch) else {
            return false;
        };
        let fetch = &mut self.running[at];
        if let Err(error) = fetch.store(now, received) {
            self.complete(at, Err(error));
            return false;
        }
        if fetch.is_complete() {
            let result = fetch.assemble();
            self.complete(at, result);
            return false;
        }
        true
    }

    fn complete(&mut self, at: usize, result: Result<Vec<u8>, FetchError>) {
        let fetch = self.running.swap_remove(at);
        let first_part_at = fetch.first_part_at.unwrap_or(fetch.last_progress);
        self.completed.push(CompletedFetch {
            id: fetch.id,
            result,
            first_part_after: first_part_at.saturating_sub(fetch.begun),
        });
    }
}

#[cfg(test)]
#[path = "tests/fetch.rs"]
mod tests;
