//! Datagrams on their way: outgoing ones are numbered, signed and limited in rate, incoming ones
//! verified, and all are counted.

use super::config::Config;
use super::report::TrafficCounters;
use crate::authentication::Authenticator;
use crate::codec::{Reader, Writer};
use crate::rate_limit::RateLimiter;
use crate::wire::{
    self, Header, MAX_DATAGRAM_BYTES, Message, SUPPORTED_PROTOCOLS, TAG_BYTES, Update,
};
use crate::{Incarnation, MemberId, Millis};

/// A datagram to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transmit {
    /// The recipient.
    pub to: MemberId,
    /// At most [`MAX_DATAGRAM_BYTES`] bytes.
    pub bytes: Vec<u8>,
}

/// A member as the sender or the recipient of a datagram.
#[derive(Debug, Clone, Copy)]
pub(super) struct Endpoint {
    pub(super) id: MemberId,
    pub(super) incarnation: Incarnation,
    /// The lowest and the highest protocol that it is known to support.
    pub(super) supported_protocols: [u8; 2],
}

/// Which rate limit applies to a datagram.
#[derive(Debug, Clone, Copy)]
pub(super) enum Channel {
    /// Probes, gossip and versions.
    Membership,
    /// Parts of resources, and requests for them.
    Resource,
    /// Messages of other protocols.
    Piggyback,
}

/// Builds datagrams and keeps them until they are taken, and verifies those that arrive.
#[derive(Clone)]
pub(super) struct Transport {
    authenticator: Authenticator,
    sequence: u32,
    membership_limit: RateLimiter,
    resource_limit: RateLimiter,
    piggyback_limit: RateLimiter,
    transmits: Vec<Transmit>,
    traffic: TrafficCounters,
}

impl Transport {
    pub(super) fn new(now: Millis, authenticator: Authenticator, config: &Config) -> Transport {
        Transport {
            authenticator,
            sequence: 0,
            membership_limit: RateLimiter::new(now, config.max_datagrams_per_second),
            resource_limit: RateLimiter::new(now, config.max_resource_datagrams_per_second),
            piggyback_limit: RateLimiter::new(now, config.max_piggyback_datagrams_per_second),
            transmits: Vec::new(),
            traffic: TrafficCounters::default(),
        }
    }

    /// Returns the header and the content of a datagram, unless it is rejected and counted.
    pub(super) fn verify<'a>(&mut self, datagram: &'a [u8]) -> Option<(Header, Reader<'a>)> {
        let dropped = &mut self.traffic.dropped;
        self.authenticator.verify(datagram, dropped)
    }

    pub(super) fn traffic(&self) -> TrafficCounters {
        self.traffic
    }

    pub(super) fn traffic_mut(&mut self) -> &mut TrafficCounters {
        &mut self.traffic
    }

    pub(super) fn drain(&mut self) -> std::vec::Drain<'_, Transmit> {
        self.transmits.drain(..)
    }

    /// Sends a message with as many updates as fit, unless the rate limit forbids it. Returns the
    /// number of updates that were sent.
    pub(super) fn send(
        &mut self,
        now: Millis,
        channel: Channel,
        [sender, recipient]: [Endpoint; 2],
        message: Message,
        updates: &[Update],
    ) -> Option<usize> {
        let limit = match channel {
            Channel::Membership => &mut self.membership_limit,
            Channel::Resource => &mut self.resource_limit,
            Channel::Piggyback => &mut self.piggyback_limit,
        };
        if !limit.try_acquire(now) {
            self.traffic.rate_limited += 1;
            return None;
        }
        let header = self.next_header(sender, recipient);
        let mut datagram = Writer::default();
        header.encode(&mut datagram);
        let capacity = MAX_DATAGRAM_BYTES - TAG_BYTES - header.encoded_len();
        let sent_updates = wire::encode_content(message, updates, capacity, &mut datagram);
        self.push(recipient.id, datagram);
        Some(sent_updates)
    }

    fn next_header(&mut self, sender: Endpoint, recipient: Endpoint) -> Header {
        self.sequence = self.sequence.wrapping_add(1);
        let common =
            wire::negotiate_protocol(sender.supported_protocols, recipient.supported_protocols);
        Header {
            protocol: common.unwrap_or(SUPPORTED_PROTOCOLS[0]),
            supported_protocols: sender.supported_protocols,
            fleet_name: self.authenticator.fleet_name().to_vec(),
            sender: sender.id,
            sender_incarnation: sender.incarnation,
            recipient: recipient.id,
            recipient_incarnation: recipient.incarnation,
            sequence: self.sequence,
        }
    }

    fn push(&mut self, to: MemberId, datagram: Writer) {
        let bytes = self.authenticator.sign(datagram);
        debug_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        self.traffic.sent += 1;
        self.traffic.sent_bytes += bytes.len() as u64;
        self.transmits.push(Transmit { to, bytes });
    }
}
