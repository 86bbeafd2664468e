//! Events that a member reports to its caller.

use crate::version::Digest;
use crate::{Incarnation, MemberId, Millis};
use serde::Serialize;

/// The maximum number of queued events; further ones are discarded.
const MAX_PENDING_EVENTS: usize = 256;

/// A change in the local state of a member. In JSON, `what` names the kind of event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(tag = "what")]
#[non_exhaustive]
pub enum Event {
    /// A member became alive, or continues in a new incarnation.
    #[serde(rename = "up")]
    MemberAlive {
        /// The member.
        member: MemberId,
        /// Its incarnation.
        #[serde(rename = "life")]
        incarnation: Incarnation,
    },
    /// A member is suspected to have failed.
    #[serde(rename = "suspected")]
    MemberSuspected {
        /// The member.
        member: MemberId,
        /// The member that suspects it.
        #[serde(rename = "by")]
        accuser: MemberId,
    },
    /// A suspected member refuted the suspicion.
    #[serde(rename = "refuted")]
    SuspicionRefuted {
        /// The member.
        member: MemberId,
    },
    /// A member was declared dead.
    #[serde(rename = "gone")]
    MemberDead {
        /// The member.
        member: MemberId,
    },
    /// A member announced its shutdown.
    #[serde(rename = "left")]
    MemberLeft {
        /// The member.
        member: MemberId,
    },
    /// A member runs another version.
    #[serde(rename = "acts")]
    ActiveVersionChanged {
        /// The member.
        member: MemberId,
        /// The digest of the version.
        digest: Digest,
    },
    /// This member continues in a new incarnation, because others considered its previous one dead
    /// or know a later one.
    #[serde(rename = "reborn")]
    Reincarnated {
        /// The new incarnation.
        #[serde(rename = "life")]
        incarnation: Incarnation,
    },
    /// This member was stalled: it could not run for some time.
    #[serde(rename = "woke")]
    Stalled {
        /// The duration of the stall in milliseconds.
        #[serde(rename = "after")]
        duration: Millis,
    },
    /// The desired generation of routes changed.
    #[serde(rename = "wanted")]
    DesiredVersionChanged {
        /// The generation.
        #[serde(rename = "number")]
        generation: u64,
        /// The digest of its routes.
        digest: Digest,
    },
    /// A generation is required: no member may run a lower one after a deadline.
    #[serde(rename = "required")]
    VersionRequired {
        /// The generation.
        #[serde(rename = "number")]
        generation: u64,
    },
    /// Two different sets of routes were committed with the same generation.
    #[serde(rename = "conflict")]
    VersionConflict {
        /// The generation.
        #[serde(rename = "number")]
        generation: u64,
        /// The digests of the routes, the lower one first.
        digests: [Digest; 2],
    },
    /// This member no longer receives anything from the others.
    #[serde(rename = "cutoff")]
    Isolated,
    /// This member received a datagram after it was isolated.
    #[serde(rename = "heard")]
    Reconnected,
}

/// Events that the caller has not taken yet.
#[derive(Debug, Clone, Default)]
pub(super) struct EventQueue(Vec<Event>);

impl EventQueue {
    pub(super) fn push(&mut self, event: Event) {
        if self.0.len() < MAX_PENDING_EVENTS {
            self.0.push(event);
        }
    }

    pub(super) fn drain(&mut self) -> std::vec::Drain<'_, Event> {
        self.0.drain(..)
    }
}
