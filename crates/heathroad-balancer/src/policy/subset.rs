//! The subset of the tier that this replica sends to: a window on the ring of ready backends that
//! starts at the replica's position (deterministic subsetting) and is sized to its load.

use crate::api::BackendId;
use crate::balancer::Balancer;

/// Minimum number of members, so that selection can compare two when one or two are ejected.
const MIN_MEMBERS: f64 = 5.0;
/// Minimum number of replicas that send to a backend, on average, so that no backend depends on a
/// single replica.
const MIN_OVERLAP: f64 = 2.0;
/// Attempts in flight per member above which the subset widens.
const ATTEMPTS_PER_MEMBER: f64 = 1.0;
/// Maximum share of its width by which the subset narrows per second. Narrowing is slow because
/// new connections are expensive.
const NARROWING_PER_S: f64 = 0.03;

/// The backends that this replica sends to.
#[derive(Default)]
pub(crate) struct Subset {
    /// The members, local ones first.
    pub members: Vec<BackendId>,
    /// The number of local members: those in this replica's zone, or all where crossing zones has
    /// no price.
    local: usize,
    /// The target number of members that are not ejected.
    pub width: f64,
}

impl Subset {
    /// Returns the local and the remote members.
    pub fn by_zone(&self) -> (&[BackendId], &[BackendId]) {
        self.members.split_at(self.local)
    }
}

impl Balancer {
    /// Selects the members again, from this replica's position on the ring onwards, until enough of
    /// them are not ejected. `elapsed` is the time since the last call.
    pub(crate) fn resize_subset(&mut self, elapsed: f64) {
        self.subset.width = self.target_width(elapsed);
        let is_remote =
            |id: &&BackendId| self.is_cross_zone_priced() && self.is_in_other_zone(**id);
        let (remote, local): (Vec<BackendId>, Vec<BackendId>) =
            self.ring.iter().partition(is_remote);
        let remote_share = match (local.is_empty(), remote.is_empty()) {
            (true, _) => 1.0,
            (false, true) => 0.0,
            (false, false) => self.spillover.share(),
        };
        let mut members = self.members_of(&local, 1.0 - remote_share);
        self.subset.local = members.len();
        members.extend(self.members_of(&remote, remote_share));
        self.subset.members = members;
    }

    fn target_width(&self, elapsed: f64) -> f64 {
        let size = self.ring.len() as f64;
        let replicas = f64::from(self.settings.replica_count);
        let required = (self.peak_in_flight / ATTEMPTS_PER_MEMBER)
            .max(MIN_OVERLAP * size / replicas)
            .max(MIN_MEMBERS);
        let narrowed = self.subset.width * (1.0 - NARROWING_PER_S * elapsed / 1000.0);
        required.max(narrowed).min(size)
    }

    /// Returns the members from one part of the ring that provides a share of the width.
    fn members_of(&self, part: &[BackendId], share: f64) -> Vec<BackendId> {
        let replicas = f64::from(self.settings.replica_count);
        let position = f64::from(self.settings.replica_index) * part.len() as f64 / replicas;
        let mut missing = (self.subset.width * share).ceil().max(MIN_MEMBERS);
        let mut members = Vec::new();
        let from_position = part.iter().cycle().skip(position as usize);
        for &id in from_position.take(part.len()) {
            if missing <= 0.0 {
                break;
            }
            members.push(id);
            if !self.backends[&id].is_ejected() {
                missing -= 1.0;
            }
        }
        members
    }
}
