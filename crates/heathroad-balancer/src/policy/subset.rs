//! The subset of the tier that this replica sends to: a window on the ring of ready backends that
//! begins at the replica's own position (deterministic subsetting) and is as wide as its load.

use crate::api::BackendId;
use crate::balancer::Balancer;

/// Members at least, so that two can be compared when one or two are ejected.
const MIN_MEMBERS: f64 = 5.0;
/// Replicas that share a backend at least, so that none depends on a single one.
const MIN_OVERLAP: f64 = 2.0;
/// Own attempts that a member carries before the subset widens.
const ATTEMPTS_PER_MEMBER: f64 = 1.0;
/// The part of its width that the subset loses a second at most: connections cost, so it does not
/// follow every lull.
const NARROWING_PER_S: f64 = 0.03;

/// The backends that this replica sends to.
#[derive(Default)]
pub(crate) struct Subset {
    /// The members; those of this replica's zone come first.
    pub members: Vec<BackendId>,
    /// How many of the members are in this replica's zone, or as near as any.
    local: usize,
    /// The wanted number of members.
    pub width: f64,
}

impl Subset {
    /// Returns the members in this replica's zone, and those beyond it.
    pub fn by_zone(&self) -> (&[BackendId], &[BackendId]) {
        self.members.split_at(self.local)
    }
}

impl Balancer {
    /// Chooses the members anew: from this replica's position on the ring onwards until enough
    /// backends that are not ejected are in. `passed` is the time since the last choice.
    pub(crate) fn resize_subset(&mut self, passed: f64) {
        self.subset.width = self.wanted_width(passed);
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

    fn wanted_width(&self, passed: f64) -> f64 {
        let size = self.ring.len() as f64;
        let replicas = f64::from(self.settings.replica_count);
        let wanted = (self.peak_in_flight / ATTEMPTS_PER_MEMBER)
            .max(MIN_OVERLAP * size / replicas)
            .max(MIN_MEMBERS);
        let narrowed = self.subset.width * (1.0 - NARROWING_PER_S * passed / 1000.0);
        wanted.max(narrowed).min(size)
    }

    /// Returns the members of one part of the ring, which is to have a share of the width.
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
