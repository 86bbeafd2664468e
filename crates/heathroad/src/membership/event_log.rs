//! Keeps the latest events of the membership protocol and writes them to the log.

use heathroad_membership::activity_record::UnixMillis;
use heathroad_membership::protocol::Event;
use serde::Serialize;
use std::cell::RefCell;
use std::collections::VecDeque;
use tracing::{info, warn};

/// The number of events that are kept.
const MAX_EVENTS: usize = 200;

/// An event with the time at which it was recorded.
#[derive(Debug, Clone, Copy, Serialize)]
pub(super) struct LoggedEvent {
    at: UnixMillis,
    #[serde(rename = "news")]
    event: Event,
}

/// The latest events, up to [`MAX_EVENTS`].
#[derive(Default)]
pub(super) struct EventLog(RefCell<VecDeque<LoggedEvent>>);

impl EventLog {
    /// Records an event and writes it to the log.
    pub(super) fn record(&self, now: UnixMillis, event: Event) {
        let mut events = self.0.borrow_mut();
        if events.len() == MAX_EVENTS {
            events.pop_front();
        }
        events.push_back(LoggedEvent { at: now, event });
        write_to_log(event);
    }

    /// Returns the latest events, oldest first.
    pub(super) fn latest(&self) -> Vec<LoggedEvent> {
        self.0.borrow().iter().copied().collect()
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
                "fleet: declared dead by other members, continuing as incarnation {incarnation}"
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
            "fleet: conflict: generation {generation} has the digests {lower} and {higher}"
        ),
        Event::VersionRequired { generation } => {
            info!(generation, "fleet: generation {generation} is required");
        }
        Event::Isolated => warn!("fleet: isolated: no messages from other members"),
        Event::Reconnected => info!("fleet: reconnected"),
        Event::ActiveVersionChanged { .. } => {}
        // Kinds without a message of their own; the enum is non-exhaustive.
        event => info!(?event, "fleet: event"),
    }
}
