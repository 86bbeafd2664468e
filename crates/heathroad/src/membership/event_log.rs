//! The latest events of the membership protocol, for operators and for the log.

use heathroad_membership::activity_record::UnixMillis;
use heathroad_membership::protocol::Event;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::VecDeque;
use tracing::{info, warn};

/// The most events that are kept.
const MAX_EVENTS: usize = 200;

/// The latest events.
#[derive(Default)]
pub(super) struct EventLog(RefCell<VecDeque<(UnixMillis, Event)>>);

impl EventLog {
    /// Keeps an event, and writes it to the log.
    pub(super) fn record(&self, now: UnixMillis, event: Event) {
        let mut events = self.0.borrow_mut();
        if events.len() == MAX_EVENTS {
            events.pop_front();
        }
        events.push_back((now, event));
        write_to_log(event);
    }

    /// Returns the events as operators read them.
    pub(super) fn to_json(&self) -> Vec<Value> {
        let events = self.0.borrow();
        let entry = |(at, event): &(UnixMillis, Event)| json!({"at": at, "news": event});
        events.iter().map(entry).collect()
    }
}

fn write_to_log(event: Event) {
    match event {
        Event::MemberAlive {
            member,
            incarnation,
        } => info!(member, incarnation, "fleet: member {member} is alive"),
        Event::MemberSuspected { member, accuser } => {
            info!(
                member,
                accuser, "fleet: member {member} is suspected by {accuser}"
            );
        }
        Event::SuspicionRefuted { member } => {
            info!(member, "fleet: member {member} refuted the suspicion");
        }
        Event::MemberDead { member } => warn!(member, "fleet: member {member} is dead"),
        Event::MemberLeft { member } => info!(member, "fleet: member {member} has left"),
        Event::Reincarnated { incarnation } => {
            warn!(
                incarnation,
                "fleet: taken for dead, going on as incarnation {incarnation}"
            );
        }
        Event::Stalled { duration } => {
            warn!(stalled_ms = duration, "fleet: stalled for {duration} ms");
        }
        Event::DesiredVersionChanged { generation, digest } => {
            info!(generation, %digest, "fleet: generation {generation} is desired, digest {digest}");
        }
        Event::VersionConflict {
            generation,
            digests: [lower, higher],
        } => warn!(
            generation,
            %lower,
            %higher,
            "fleet: conflict: generation {generation} was committed as {lower} and as {higher}"
        ),
        Event::VersionRequired { generation } => {
            info!(generation, "fleet: generation {generation} is required");
        }
        Event::Isolated => warn!("fleet: isolated: nothing is received from other members"),
        Event::Reconnected => info!("fleet: reconnected"),
        Event::ActiveVersionChanged { .. } => {}
        // Kinds that a later version of the protocol adds.
        event => info!(?event, "fleet: event"),
    }
}
