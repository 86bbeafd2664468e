//! The failure detector: whom to probe and when, what became of the probes, and whether the fault
//! may be this member's own.

use super::config::Config;
use crate::local_health::LocalHealth;
use crate::member_table::MemberTable;
use crate::{MemberId, Millis};

/// One period in so many probes a dead member: a partition that heals is found so, from both sides.
const DEAD_PROBE_INTERVAL: u32 = 3;
/// A member that has received nothing for so many periods is isolated. (Its local health does not
/// count: that worsens as it receives nothing, and it would suspect others for as long.)
const ISOLATION_PERIODS: u64 = 4;
/// The most probes that are made for others at a time.
const MAX_INDIRECT_PROBES: usize = 16;

/// A probe that runs.
#[derive(Debug, Clone)]
pub(super) struct Probe {
    pub(super) target: MemberId,
    pub(super) nonce: u32,
    begun: Millis,
    /// When others are asked; none once they were.
    indirect_at: Option<Millis>,
    ends: Millis,
    /// The members that were asked for an indirect probe.
    pub(super) helpers: u8,
    /// Those of them that reported that the target did not answer.
    nacks: u8,
    pub(super) acknowledged: bool,
}

impl Probe {
    /// Returns the number of helpers that reported nothing at all.
    pub(super) fn silent_helpers(&self) -> u8 {
        self.helpers.saturating_sub(self.nacks)
    }
}

/// A probe that is made for another member.
#[derive(Debug, Clone)]
pub(super) struct IndirectProbe {
    pub(super) requester: MemberId,
    pub(super) requester_nonce: u32,
    pub(super) target: MemberId,
    pub(super) nonce: u32,
    /// When the requester is told that the target did not answer.
    pub(super) nack_at: Millis,
}

/// The probes of a member.
#[derive(Debug, Clone)]
pub(super) struct FailureDetector {
    /// The other members in the order in which they are probed.
    rotation: Vec<MemberId>,
    next_in_rotation: usize,
    probe: Option<Probe>,
    indirect_probes: Vec<IndirectProbe>,
    next_period: Millis,
    health: LocalHealth,
    /// When anything was last received, by this member's clock.
    last_heard: Millis,
    isolated: bool,
}

impl FailureDetector {
    pub(super) fn new(now: Millis, rotation: Vec<MemberId>, first_period: Millis) -> Self {
        FailureDetector {
            rotation,
            next_in_rotation: 0,
            probe: None,
            indirect_probes: Vec::new(),
            next_period: first_period,
            health: LocalHealth::default(),
            last_heard: now,
            isolated: false,
        }
    }

    /// Returns when something is to be done at the latest.
    pub(super) fn due(&self) -> Millis {
        let nacks = self.indirect_probes.iter().map(|probe| probe.nack_at);
        let probe = self.probe.iter().flat_map(|probe| {
            let times = [probe.indirect_at, Some(probe.ends)];
            times.into_iter().flatten()
        });
        nacks.chain(probe).fold(self.next_period, Millis::min)
    }

    /// Begins the next period if it is due, and returns whether it is.
    pub(super) fn begin_period(&mut self, now: Millis, period: Millis) -> bool {
        let is_due = now >= self.next_period;
        if is_due {
            self.next_period = now + period * self.health.multiplier();
        }
        is_due
    }

    /// Returns the other members.
    pub(super) fn others(&self) -> &[MemberId] {
        &self.rotation
    }

    /// Chooses whom to probe. A member that is present, or was never heard, comes once in each
    /// round.
    pub(super) fn next_target(
        &mut self,
        members: &MemberTable,
        rng: &mut fastrand::Rng,
    ) -> Option<MemberId> {
        let has_ended = |id: MemberId| {
            let member = members.get(id);
            member.is_none_or(|member| member.state.is_final())
        };
        if rng.u32(0..DEAD_PROBE_INTERVAL) == 0 {
            let ended: Vec<MemberId> = self
                .rotation
                .iter()
                .copied()
                .filter(|id| has_ended(*id))
                .collect();
            if !ended.is_empty() {
                return Some(ended[rng.usize(0..ended.len())]);
            }
        }
        for _ in 0..self.rotation.len() {
            let candidate = self.advance_rotation(rng);
            if !has_ended(candidate) {
                return Some(candidate);
            }
        }
        // A new round began on the way and has passed those who are present; where nobody is, any
        // member may be probed.
        let present = self.rotation.iter().copied().find(|id| !has_ended(*id));
        present.or(self.rotation.first().copied())
    }

    fn advance_rotation(&mut self, rng: &mut fastrand::Rng) -> MemberId {
        if self.next_in_rotation == 0 {
            rng.shuffle(&mut self.rotation);
        }
        let candidate = self.rotation[self.next_in_rotation];
        self.next_in_rotation = (self.next_in_rotation + 1) % self.rotation.len();
        candidate
    }

    pub(super) fn start_probe(
        &mut self,
        now: Millis,
        target: MemberId,
        nonce: u32,
        config: &Config,
    ) {
        let multiplier = self.health.multiplier();
        self.probe = Some(Probe {
            target,
            nonce,
            begun: now,
            indirect_at: Some(now + config.ack_timeout * multiplier),
            ends: now + config.probe_period * multiplier,
            helpers: 0,
            nacks: 0,
            acknowledged: false,
        });
    }

    pub(super) fn probe(&self) -> Option<&Probe> {
        self.probe.as_ref()
    }

    /// Whether others are to be asked now. The answer is yes at most once for each probe.
    pub(super) fn take_indirect_probe_due(&mut self, now: Millis) -> bool {
        let Some(probe) = &mut self.probe else {
            return false;
        };
        if probe.indirect_at.is_none_or(|at| now < at) {
            return false;
        }
        probe.indirect_at = None;
        !probe.acknowledged
    }

    pub(super) fn count_helper(&mut self) {
        if let Some(probe) = &mut self.probe {
            probe.helpers += 1;
        }
    }

    /// Returns the probe if its period is over.
    pub(super) fn take_ended_probe(&mut self, now: Millis) -> Option<Probe> {
        self.probe.take_if(|probe| now >= probe.ends)
    }

    /// Takes the answer to a probe, and returns when the probe began.
    pub(super) fn acknowledge(&mut self, nonce: u32) -> Option<Millis> {
        let probe = self.probe.as_mut().filter(|probe| probe.nonce == nonce)?;
        probe.acknowledged = true;
        Some(probe.begun)
    }

    /// Takes a helper's report that the target did not answer.
    pub(super) fn record_nack(&mut self, nonce: u32) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.nonce == nonce) {
            probe.nacks = probe.nacks.saturating_add(1).min(probe.helpers);
        }
    }

    pub(super) fn has_room_for_indirect_probe(&self) -> bool {
        self.indirect_probes.len() < MAX_INDIRECT_PROBES
    }

    pub(super) fn start_indirect_probe(&mut self, probe: IndirectProbe) {
        self.indirect_probes.push(probe);
    }

    /// Returns the probe for another member that this answer ends.
    pub(super) fn acknowledge_indirect(
        &mut self,
        nonce: u32,
        target: MemberId,
    ) -> Option<IndirectProbe> {
        let position = self
            .indirect_probes
            .iter()
            .position(|probe| probe.nonce == nonce && probe.target == target);
        position.map(|at| self.indirect_probes.swap_remove(at))
    }

    /// Returns the probes for other members that were not answered in time.
    pub(super) fn take_unanswered(&mut self, now: Millis) -> Vec<IndirectProbe> {
        self.indirect_probes
            .extract_if(.., |probe| probe.nack_at <= now)
            .collect()
    }

    pub(super) fn health(&self) -> LocalHealth {
        self.health
    }

    pub(super) fn health_mut(&mut self) -> &mut LocalHealth {
        &mut self.health
    }

    /// Forgets all probes: a member that was held up finds all timeouts expired at once, and
    /// nothing follows from that, since what others sent meanwhile is not read yet.
    pub(super) fn resume_after_stall(&mut self, now: Millis, stalled_for: Millis, pause: Millis) {
        self.probe = None;
        self.indirect_probes.clear();
        self.next_period = now + pause;
        self.last_heard += stalled_for.min(self.silent_for(now));
        self.health.worsen(1);
    }

    /// Returns how long nothing was received.
    pub(super) fn silent_for(&self, now: Millis) -> Millis {
        now.saturating_sub(self.last_heard)
    }

    pub(super) fn is_isolated(&self) -> bool {
        self.isolated
    }

    /// Checks whether this member has become isolated, and returns whether it just has.
    pub(super) fn detect_isolation(&mut self, now: Millis, period: Millis, present: usize) -> bool {
        let silent = self.silent_for(now) > ISOLATION_PERIODS * period;
        let begins = !self.isolated && silent && present > 1;
        self.isolated |= begins;
        begins
    }

    /// Records that something was received, and returns whether that ends an isolation.
    pub(super) fn record_heard(&mut self, now: Millis) -> bool {
        self.last_heard = now;
        std::mem::take(&mut self.isolated)
    }
}

#[cfg(test)]
#[path = "tests/failure_detector.rs"]
mod tests;
