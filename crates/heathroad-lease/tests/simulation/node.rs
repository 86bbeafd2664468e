//! A simulated member: its process, its disk and its clocks.

use super::network::Delivery;
use heathroad_lease::Millis;
use heathroad_lease::lease_manager::LeaseManager;
use heathroad_lease::voter_set::VoterSet;
use heathroad_lease::voter_state::VoterState;

/// A simulated member.
pub struct Node {
    /// The process, while it runs.
    pub manager: Option<LeaseManager>,
    /// The state on disk. It is read only where there is a disk.
    pub disk: VoterState,
    pub has_disk: bool,
    pub incarnation: u64,
    pub stalled_until: Millis,
    /// How far the monotonic clock is ahead.
    pub clock_offset: Millis,
    /// How much faster the monotonic clock runs, in thousandths.
    pub clock_rate_permille: i64,
    /// How far the wall clock is ahead, in seconds.
    pub unix_offset_s: i64,
    pub voter_set: VoterSet,
    /// Messages that have arrived while the process is stalled.
    pub(super) waiting: Vec<Delivery>,
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
            waiting: Vec::new(),
        }
    }

    /// Returns the lease manager of a process that runs.
    pub fn running_manager(&mut self) -> &mut LeaseManager {
        self.manager.as_mut().expect("it runs")
    }

    pub(super) fn is_stalled(&self, now: Millis) -> bool {
        self.stalled_until > now
    }

    /// Returns the incarnation of the process, or 0 where none runs.
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
