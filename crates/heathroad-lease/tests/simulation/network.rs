//! The simulated network.

use super::LEASE;
use fastrand::Rng;
use heathroad_lease::message::Message;
use heathroad_lease::{MemberId, Millis};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What may go wrong with messages.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// The share of messages that are lost.
    pub loss: f64,
    /// The share of messages that are duplicated.
    pub duplication: f64,
    /// Longest delay.
    pub max_delay: Millis,
    /// Links that deliver nothing, as sender and receiver.
    pub blocked_links: Vec<(MemberId, MemberId)>,
}

/// A message between two processes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Delivery {
    pub to: MemberId,
    pub to_incarnation: u64,
    pub from: MemberId,
    pub from_incarnation: u64,
    pub message: Message,
}

/// A delivery that is under way. They arrive in the order of their time, then of their number.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct InFlight {
    arrives_at: Millis,
    number: u64,
    delivery: Delivery,
}

/// All messages that are under way.
#[derive(Debug, Default)]
pub(super) struct Network {
    in_flight: BinaryHeap<Reverse<InFlight>>,
    sent: u64,
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
            // A copy may come very late.
            let lateness = if copies > 1 { rng.u64(0..3 * LEASE) } else { 0 };
            let delay = 1 + rng.u64(0..faults.max_delay.max(1)) + lateness;
            self.sent += 1;
            self.in_flight.push(Reverse(InFlight {
                arrives_at: now + delay,
                number: self.sent,
                delivery: delivery.clone(),
            }));
        }
    }

    /// Removes and returns the next message that has arrived.
    pub(super) fn next_arrival(&mut self, now: Millis) -> Option<Delivery> {
        let Reverse(next) = self.in_flight.peek()?;
        if next.arrives_at > now {
            return None;
        }
        self.in_flight.pop().map(|Reverse(next)| next.delivery)
    }
}
