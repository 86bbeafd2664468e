//! The failure detector: schedules probes, tracks their results, and detects whether this member
//! itself is isolated.

use super::config::Config;
use crate::local_health::LocalHealth;
use crate::member_table::MemberTable;
use crate::{MemberId, Millis};

/// On average, one of this many probes targets a member that is dead or has left, if there is one,
/// to detect that a partition has healed.
const DEAD_PROBE_INTERVAL: u32 = 3;
/// A member is isolated when it has received nothing for this many probe periods. The local health
/// multiplier does not extend this time, since the member would suspect others meanwhile.
const ISOLATION_PERIODS: u64 = 4;
/// The maximum number of concurrent indirect probes.
const MAX_INDIRECT_PROBES: usize = 16;

/// A probe in progress.
#[derive(Debug, Clone)]
pub(super) struct Probe {
    pub(super) target: MemberId,
    pub(super) nonce: u32,
    started_at: Millis,
    /// When indirect probes are requested; `None` once that time has passed.
    indirect_at: Option<Millis>,
    ends_at: Millis,
    /// The number of members that were asked for an indirect probe.
    pub(super) helpers: u8,
    /// The number of helpers that reported that the target did not reply.
    nacks: u8,
    pub(super) acknowledged: bool,
}

impl Probe {
    /// Returns the number of helpers that did not send a nack.
    pub(super) fn missed_nacks(&self) -> u8 {
        self.helpers.saturating_sub(self.nacks)
    }
}

/// A probe on behalf of another member.
#[derive(Debug, Clone)]
pub(super) struct IndirectProbe {
    pub(super) requester: MemberId,
    pub(super) requester_nonce: u32,
    pub(super) target: MemberId,
    pub(super) nonce: u32,
    /// When a nack is sent to the requester.
    pub(super) nack_at: Millis,
}

/// The failure detector of a member.
#[derive(Debug, Clone)]
pub(super) struct FailureDetector {
    /// The other members in probing order, which is shuffled for each round.
    rotation: Vec<MemberId>,
    next_in_rotation: usize,
    probe: Option<Probe>,
    indirect_probes: Vec<IndirectProbe>,
    next_period: Millis,
    health: LocalHealth,
    /// When a datagram was last accepted from any member.
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

    /// Returns when the failure detector next has to act.
    pub(super) fn due(&self) -> Millis {
        let nacks = self.indirect_probes.iter().map(|probe| probe.nack_at);
        let probe = self.probe.iter().flat_map(|probe| {
            let times = [probe.indirect_at, Some(probe.ends_at)];
            times.into_iter().flatten()
        });
        nacks.chain(probe).fold(self.next_period, Millis::min)
    }

    /// Starts the next period if it is due, and returns whether it was.
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

    /// Chooses the next member to probe. Each member that is present or unknown is chosen once in
    /// each round.
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
        // The order was shuffled within the loop, which may have skipped candidates. If all members
        // are dead or have left, any of them may be probed.
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
            started_at: now,
            indirect_at: Some(now + config.ack_timeout * multiplier),
            ends_at: now + config.probe_period * multiplier,
            helpers: 0,
            nacks: 0,
            acknowledged: false,
        });
    }

    pub(super) fn probe(&self) -> Option<&Probe> {
        self.probe.as_ref()
    }

    /// Returns whether indirect probes have to be requested now, at most once for each probe.
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

    /// Removes and returns the probe if its period has ended.
    pub(super) fn take_ended_probe(&mut self, now: Millis) -> Option<Probe> {
        self.probe.take_if(|probe| now >= probe.ends_at)
    }

    /// Records the ack of a probe, and returns when the probe was started.
    pub(super) fn acknowledge(&mut self, nonce: u32) -> Option<Millis> {
        let probe = self.probe.as_mut().filter(|probe| probe.nonce == nonce)?;
        probe.acknowledged = true;
        Some(probe.started_at)
    }

    /// Records a nack from a helper.
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

    /// Removes and returns the indirect probe that an ack from `target` completes.
    pub(super) fn acknowledge_indirect(
        &mut self,
        nonce: u32,
        target: MemberId,
    ) -> Option<IndirectProbe> {
        let position = self
            .indirect_probes
            .iter()
            .position(|probe| probe.nonce == nonce && probe.target == target);
        position.map(|index| self.indirect_probes.swap_remove(index))
    }

    /// Removes and returns the indirect probes that have timed out.
    pub(super) fn take_timed_out_indirect_probes(&mut self, now: Millis) -> Vec<IndirectProbe> {
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

    /// Cancels all probes after a stall of this member. Their timeouts have expired, but replies
    /// may be waiting in the socket's buffer.
    pub(super) fn resume_after_stall(&mut self, now: Millis, stalled_for: Millis, pause: Millis) {
        self.probe = None;
        self.indirect_probes.clear();
        self.next_period = now + pause;
        self.last_heard += stalled_for.min(self.silent_for(now));
        self.health.worsen(1);
    }

    /// Returns the time since a datagram was last accepted from any member.
    pub(super) fn silent_for(&self, now: Millis) -> Millis {
        now.saturating_sub(self.last_heard)
    }

    pub(super) fn is_isolated(&self) -> bool {
        self.isolated
    }

    /// Updates whether this member is isolated, and returns whether it just became isolated.
    pub(super) fn detect_isolation(&mut self, now: Millis, period: Millis, present: usize) -> bool {
        let silent = self.silent_for(now) > ISOLATION_PERIODS * period;
        let became_isolated = !self.isolated && silent && present > 1;
        self.isolated |= became_isolated;
        became_isolated
    }

    /// Records that a datagram was accepted, and returns whether this member was isolated before.
    pub(super) fn record_heard(&mut self, now: Millis) -> bool {
        self.last_heard = now;
        std::mem::take(&mut self.isolated)
    }
}

#[cfg(test)]
#[path = "tests/failure_detector.rs"]
mod tests;
