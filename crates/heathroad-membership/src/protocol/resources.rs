//! The interface of [`Membership`] for resource transfers and for messages of other protocols.

use super::fetch::CompletedFetch;
use super::membership::Membership;
use super::piggyback::{MAX_MESSAGE_BYTES, PiggybackMessage};
use super::resource_server::{PartReply, ResourceRequest};
use super::transport::Channel;
use crate::version::Digest;
use crate::wire::{Message, Resource, Update};
use crate::{MemberId, Millis};

impl Membership {
    /// Starts to fetch a resource from a member. Returns the identifier under which
    /// [`Membership::completed_fetches`] reports the result, or `None` if `from` is not another
    /// member or too many fetches are in progress.
    pub fn fetch(
        &mut self,
        now: Millis,
        from: MemberId,
        resource: Resource,
        key: Digest,
    ) -> Option<u32> {
        if !self.fetches.has_room() || from == self.id || from >= self.members.size() {
            return None;
        }
        let id = self.rng.u32(..);
        self.fetches.start(now, id, from, resource, key);
        self.advance_fetches(now);
        Some(id)
    }

    /// Returns the fetches that have succeeded or failed since the last call.
    pub fn completed_fetches(&mut self) -> std::vec::Drain<'_, CompletedFetch> {
        self.fetches.drain_completed()
    }

    pub(super) fn advance_fetches(&mut self, now: Millis) {
        let requests = self.fetches.take_due_requests(now, self.config.ack_timeout);
        for request in requests {
            let recipient = self.endpoint(request.source);
            self.send_updates(now, Channel::Resource, recipient, request.message, &[]);
        }
    }

    /// Returns the requests for resources received since the last call, to be answered with
    /// [`Membership::serve`].
    pub fn resource_requests(&mut self) -> std::vec::Drain<'_, ResourceRequest> {
        self.resources.drain_requests()
    }

    /// Replies to a request for a resource; `None` means that the resource does not exist.
    pub fn serve(&mut self, now: Millis, request: ResourceRequest, bytes: Option<Vec<u8>>) {
        let reply = self.resources.serve(request, bytes);
        self.send_part(now, request.from, reply);
    }

    pub(super) fn send_part(&mut self, now: Millis, to: MemberId, reply: PartReply) {
        let recipient = self.endpoint(to);
        let PartReply { message, updates } = reply;
        self.send_updates(now, Channel::Resource, recipient, message, &updates);
    }

    /// Sends a message of another protocol. The message is dropped if it is too long, if `to` is
    /// not another member, or if the rate limit is exceeded. Messages may be lost, delayed or
    /// reordered, but are delivered at most once, and never to a later incarnation of the recipient
    /// than the one known here.
    pub fn send_message(&mut self, now: Millis, to: MemberId, bytes: Vec<u8>) {
        let is_member = self.members.get(to).is_some();
        if !is_member || to == self.id || bytes.len() > MAX_MESSAGE_BYTES {
            return;
        }
        let (recipient, updates) = (self.endpoint(to), [Update::Bytes(bytes)]);
        let channel = Channel::Piggyback;
        self.send_updates(now, channel, recipient, Message::Piggyback, &updates);
    }

    /// Whether a message of another protocol has been received and not yet been taken.
    pub fn has_messages(&self) -> bool {
        !self.piggyback.is_empty()
    }

    /// Returns the messages of other protocols received since the last call.
    pub fn messages(&mut self) -> std::vec::Drain<'_, PiggybackMessage> {
        self.piggyback.drain()
    }
}
