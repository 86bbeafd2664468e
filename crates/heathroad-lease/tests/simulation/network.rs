//! The simulated network.

use super::LEASE_DURATION;
use fastrand::Rng;
use heathroad_lease::message::Message;
use heathroad_lease::{MemberId, Millis};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The faults that the network injects.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message is duplicated.
    pub duplication: f64,
    /// Maximum delay of a message.
    pub max_delay: Millis,
    /// Links that drop all messages, as (sender, receiver).
    pub blocked_links: Vec<(MemberId, MemberId)>,
}

/// A message from one process to another.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Delivery {
    pub to: MemberId,
    pub to_incarnation: u64,
    pub from: MemberId,
    pub from_incarnation: u64,
    pub message: Message,
}

/// A delivery in flight. Deliveries are ordered by arrival time, then by sequence number.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct InFlight {
    arrives_at: Millis,
    sequence: u64,
    delivery: Delivery,
}

/// The messages in flight.
#[derive(Debug, Default)]
pub(super) struct Network {
    in_flight: BinaryHeap<Reverse<InFlight>>,
    sent_count: u64,
}

impl Network {
    pub(super) fn send(&mut self, now: Millis, delivery: Delivery, faults: &Faults, rng: &mut Rng) {
        let copies = 1 + u64::from(rng.f64() < faults.duplication);
        for _ in 0..copies {
            let is_lost = rng.f64() < faults.loss
                || faults.blocked_links.contains(&(delivery.from, delivery.to));
            if is_lost {
                continue;
            }
            // Duplicates may arrive after the lease has expired.
            let duplicate_delay = if copies > 1 {
                rng.u64(0..3 * LEASE_DURATION)
            } else {
                0
            };
            let delay = 1 + rng.u64(0..faults.max_delay.max(1)) + duplicate_delay;
            self.sent_count += 1;
            self.in_flight.push(Reverse(InFlight {
                arrives_at: now + delay,
                sequence: self.sent_count,
                delivery: delivery.clone(),
            }));
        }
    }

    /// Removes and returns the next message that has arrived by `now`.
    pub(super) fn next_arrival(&mut self, now: Millis) -> Option<Delivery> {
        let Reverse(next) = self.in_flight.peek()?;
        if next.arrives_at > now {
            return None;
        }
        self.in_flight.pop().map(|Reverse(next)| next.delivery)
    }
}
