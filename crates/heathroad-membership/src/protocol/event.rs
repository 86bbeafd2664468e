//! Events: changes that the owner of a member logs and acts on.

use crate::version::Digest;
use crate::{Incarnation, MemberId, Millis};
use serde::Serialize;

/// The most events that wait to be taken; further ones are lost.
const MAX_PENDING_EVENTS: usize = 256;

/// A change in what a member knows. As JSON, `what` tells the kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(tag = "what")]
#[non_exhaustive]
pub enum Event {
    /// A member is alive.
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
        /// Who suspects it.
        #[serde(rename = "by")]
        accuser: MemberId,
    },
    /// A suspected member is alive after all.
    #[serde(rename = "refuted")]
    SuspicionRefuted {
        /// The member.
        member: MemberId,
    },
    /// A member counts as dead.
    #[serde(rename = "gone")]
    MemberDead {
        /// The member.
        member: MemberId,
    },
    /// A member announced that it shuts down.
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
    /// This member was taken for dead, or for an older incarnation, and goes on in a new one.
    #[serde(rename = "reborn")]
    Reincarnated {
        /// The new incarnation.
        #[serde(rename = "life")]
        incarnation: Incarnation,
    },
    /// This member was held up: it could do nothing for some time.
    #[serde(rename = "woke")]
    Stalled {
        /// For how long, in milliseconds.
        #[serde(rename = "after")]
        duration: Millis,
    },
    /// All members should run another generation of routes.
    #[serde(rename = "wanted")]
    DesiredVersionChanged {
        /// The number of the generation.
        #[serde(rename = "number")]
        generation: u64,
        /// The digest of its text.
        digest: Digest,
    },
    /// No member may run a lower generation after a deadline.
    #[serde(rename = "required")]
    VersionRequired {
        /// The number of the generation.
        #[serde(rename = "number")]
        generation: u64,
    },
    /// Two texts were committed under one generation.
    #[serde(rename = "conflict")]
    VersionConflict {
        /// The number of the generation.
        #[serde(rename = "number")]
        generation: u64,
        /// The digests of the texts.
        digests: [Digest; 2],
    },
    /// This member receives nothing from the others.
    #[serde(rename = "cutoff")]
    Isolated,
    /// This member receives something again.
    #[serde(rename = "heard")]
    Reconnected,
}

/// Events that wait to be taken.
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
