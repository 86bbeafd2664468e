//! Resources that other members fetch from this one. A resource is kept as it was when it was first
//! asked for, so that all its parts fit together.

use super::fetch::{MAX_RESOURCE_BYTES, NOT_FOUND_LENGTH, PART_BYTES};
use crate::MemberId;
use crate::version::Digest;
use crate::wire::{Message, Resource, Update};
use std::collections::VecDeque;

/// The most resources that are kept, and the most requests that wait to be answered.
const MAX_SERVED: usize = 16;

/// A request for a resource, to be answered by [`super::Membership::serve`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResourceRequest {
    /// Who asks.
    pub from: MemberId,
    /// The number of the fetch at that member.
    pub id: u32,
    /// The kind of resource.
    pub resource: Resource,
    /// Which of several resources of this kind.
    pub key: Digest,
}

/// A part of a resource, to be sent.
#[derive(Debug, Clone)]
pub(super) struct PartReply {
    pub(super) message: Message,
    pub(super) updates: Vec<Update>,
}

impl PartReply {
    /// The answer that the resource does not exist.
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

    /// Takes a request for a part, and returns the answer if there is one already.
    pub(super) fn receive(&mut self, request: ResourceRequest, part: u32) -> Option<PartReply> {
        let reply = self.part(request.from, request.id, part);
        if reply.is_some() {
            return reply;
        }
        if part > 0 {
            // The resource was kept once, and is no longer.
            return Some(PartReply::not_found(request.id));
        }
        if self.requests.len() < MAX_SERVED && !self.requests.contains(&request) {
            self.requests.push(request);
        }
        None
    }

    /// Keeps the resource that was asked for, and returns the answer to the request.
    pub(super) fn serve(&mut self, request: ResourceRequest, bytes: Option<Vec<u8>>) -> PartReply {
        let Some(bytes) = bytes.filter(|bytes| bytes.len() <= MAX_RESOURCE_BYTES) else {
            return PartReply::not_found(request.id);
        };
        if self.served.len() >= MAX_SERVED {
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
