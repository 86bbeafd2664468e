//! A simulated member with its process, disk and clocks.

use super::network::Delivery;
use heathroad_lease::Millis;
use heathroad_lease::lease_manager::LeaseManager;
use heathroad_lease::voter_set::VoterSet;
use heathroad_lease::voter_state::VoterState;

/// A simulated member.
pub struct Node {
    /// The lease manager of the process; `None` while the process is not running.
    pub manager: Option<LeaseManager>,
    /// The voter state on disk, which is only read at a start if `has_disk` is set.
    pub disk: VoterState,
    pub has_disk: bool,
    pub incarnation: u64,
    pub stalled_until: Millis,
    /// Offset of the monotonic clock.
    pub clock_offset: Millis,
    /// Rate error of the monotonic clock, in thousandths; positive if it runs fast.
    pub clock_rate_permille: i64,
    /// Offset of the wall clock, in seconds.
    pub unix_offset_s: i64,
    pub voter_set: VoterSet,
    /// Messages that arrived while the process was stalled.
    pub(super) queued: Vec<Delivery>,
}

impl Node {
    pub(super) fn new(voter_set: VoterSet) -> Node {
        Node {
            manager: None,
            disk: VoterState::default(),
            has_disk: true,
            incarnation: 0,
            stalled_until: 0,
            clock_offset: 0,
            clock_rate_permille: 0,
            unix_offset_s: 0,
            voter_set,
            queued: Vec::new(),
        }
    }

    /// Returns the lease manager of a running process.
    pub fn running_manager(&mut self) -> &mut LeaseManager {
        self.manager.as_mut().expect("the process is not running")
    }

    pub(super) fn is_stalled(&self, now: Millis) -> bool {
        self.stalled_until > now
    }

    /// Returns the incarnation of the process, or 0 if it is not running.
    pub(super) fn running_incarnation(&self) -> u64 {
        if self.manager.is_some() {
            self.incarnation
        } else {
            0
        }
    }

    pub(super) fn local_time(&self, now: Millis) -> Millis {
        let elapsed = now as i64 + now as i64 * self.clock_rate_permille / 1000;
        self.clock_offset + elapsed as Millis
    }
}
