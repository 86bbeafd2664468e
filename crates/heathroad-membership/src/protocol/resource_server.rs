//! Serves resources to other members. The bytes of a resource are kept for the duration of a fetch,
//! so that all parts belong to the same state.

use super::fetch::{MAX_RESOURCE_BYTES, NOT_FOUND_LENGTH, PART_BYTES};
use crate::MemberId;
use crate::version::Digest;
use crate::wire::{Message, Resource, Update};
use std::collections::VecDeque;

/// The maximum number of kept resources, and of pending requests.
const MAX_SERVED_RESOURCES: usize = 16;

/// A request for a resource, to be answered with [`super::Membership::serve`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResourceRequest {
    /// The member that requests the resource.
    pub from: MemberId,
    /// Identifies the fetch at that member.
    pub id: u32,
    /// The kind of resource.
    pub resource: Resource,
    /// Identifies the resource among those of its kind.
    pub key: Digest,
}

/// An outgoing part of a resource.
#[derive(Debug, Clone)]
pub(super) struct PartReply {
    pub(super) message: Message,
    pub(super) updates: Vec<Update>,
}

impl PartReply {
    /// Creates the reply for a resource that does not exist.
    fn not_found(id: u32) -> PartReply {
        PartReply {
            message: Message::Part {
                id,
                length: NOT_FOUND_LENGTH,
                part: 0,
            },
            updates: Vec::new(),
        }
    }
}

#[derive(Debug, Clone)]
struct ServedResource {
    to: MemberId,
    id: u32,
    bytes: Vec<u8>,
}

/// The resources that are being fetched from this member.
#[derive(Debug, Clone, Default)]
pub(super) struct ResourceServer {
    requests: Vec<ResourceRequest>,
    served: VecDeque<ServedResource>,
}

impl ResourceServer {
    pub(super) fn drain_requests(&mut self) -> std::vec::Drain<'_, ResourceRequest> {
        self.requests.drain(..)
    }

    /// Handles a request for a part. Returns the reply if the resource is kept or was discarded;
    /// otherwise queues a request for the resource.
    pub(super) fn receive(&mut self, request: ResourceRequest, part: u32) -> Option<PartReply> {
        let reply = self.part(request.from, request.id, part);
        if reply.is_some() {
            return reply;
        }
        if part > 0 {
            // The resource was served before and has been discarded.
            return Some(PartReply::not_found(request.id));
        }
        if self.requests.len() < MAX_SERVED_RESOURCES && !self.requests.contains(&request) {
            self.requests.push(request);
        }
        None
    }

    /// Stores a requested resource, and returns the reply with its first part.
    pub(super) fn serve(&mut self, request: ResourceRequest, bytes: Option<Vec<u8>>) -> PartReply {
        let Some(bytes) = bytes.filter(|bytes| bytes.len() <= MAX_RESOURCE_BYTES) else {
            return PartReply::not_found(request.id);
        };
        if self.served.len() >= MAX_SERVED_RESOURCES {
            self.served.pop_front();
        }
        self.served.push_back(ServedResource {
            to: request.from,
            id: request.id,
            bytes,
        });
        let first = self.part(request.from, request.id, 0);
        first.unwrap_or_else(|| PartReply::not_found(request.id))
    }

    fn part(&self, to: MemberId, id: u32, part: u32) -> Option<PartReply> {
        let resource = self
            .served
            .iter()
            .find(|served| served.to == to && served.id == id)?;
        let length = resource.bytes.len();
        let start = (part as usize).saturating_mul(PART_BYTES).min(length);
        let end = (start + PART_BYTES).min(length);
        Some(PartReply {
            message: Message::Part {
                id,
                length: length as u32,
                part,
            },
            updates: vec![Update::Bytes(resource.bytes[start..end].to_vec())],
        })
    }
}

#[cfg(test)]
#[path = "tests/resource_server.rs"]
mod tests;
