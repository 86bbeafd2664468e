//! Builds, signs and rate-limits outgoing datagrams, verifies incoming ones, and counts both.

use super::config::Config;
use super::report::TrafficCounters;
use crate::authentication::Authenticator;
use crate::codec::{Reader, Writer};
use crate::rate_limit::RateLimiter;
use crate::wire::{
    self, Header, MAX_DATAGRAM_BYTES, Message, SUPPORTED_PROTOCOLS, TAG_BYTES, Update,
};
use crate::{Incarnation, MemberId, Millis};

/// An outgoing datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transmit {
    /// The recipient.
    pub to: MemberId,
    /// The encoded datagram, at most [`MAX_DATAGRAM_BYTES`] long.
    pub bytes: Vec<u8>,
}

/// The sender or the recipient of a datagram.
#[derive(Debug, Clone, Copy)]
pub(super) struct Endpoint {
    pub(super) id: MemberId,
    pub(super) incarnation: Incarnation,
    /// The lowest and the highest protocol version that the member is known to support.
    pub(super) supported_protocols: [u8; 2],
}

/// The traffic class of a datagram, which determines its rate limit.
#[derive(Debug, Clone, Copy)]
pub(super) enum Channel {
    /// Probes, gossip, and requests for versions.
    Membership,
    /// Requests for parts of resources, and the parts.
    Resource,
    /// Messages of other protocols.
    Piggyback,
}

/// Queues outgoing datagrams, and verifies incoming ones.
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

    /// Verifies a datagram, and returns its header and content. A rejected datagram is counted.
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

    /// Queues a message with as many updates as fit. Returns the number of these updates, or `None`
    /// if the rate limit is exceeded.
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
        let negotiated =
            wire::negotiate_protocol(sender.supported_protocols, recipient.supported_protocols);
        Header {
            protocol: negotiated.unwrap_or(SUPPORTED_PROTOCOLS[0]),
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
