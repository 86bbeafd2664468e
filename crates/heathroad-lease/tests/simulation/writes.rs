//! Writes of lease holders to the fenced server.

use super::{LEASE_DURATION, Simulation, lease};
use heathroad_lease::token::Token;
use heathroad_lease::{MemberId, Millis};

/// A write to the fenced server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Write {
    pub at: Millis,
    pub by: MemberId,
    pub token: Token,
    pub is_admitted: bool,
}

/// A write in flight: its holder has checked the lease, and the server has not received it.
pub(super) struct PendingWrite {
    arrives_at: Millis,
    by: MemberId,
    incarnation: u64,
    token: Token,
}

impl Simulation {
    /// Sends a write if the member holds the lease and a write is due. The write arrives after a
    /// delay, in which the lease may change hands.
    pub(super) fn start_write(&mut self, member: MemberId) {
        let Some(interval) = self.write_interval else {
            return;
        };
        let index = usize::from(member);
        if self.now < self.next_write_at[index] {
            return;
        }
        let now = self.local_time(member);
        let manager = self.nodes[index].manager.as_ref();
        let Some(token) = manager.and_then(|manager| manager.held_token(now, lease())) else {
            return;
        };
        self.next_write_at[index] = self.now + interval;
        let is_late = self.rng.f64() < self.late_write_share;
        let max_delay = if is_late { 2 * LEASE_DURATION } else { 20 };
        let delay = 1 + self.rng.u64(0..max_delay);
        self.pending_writes.push(PendingWrite {
            arrives_at: self.now + delay,
            by: member,
            incarnation: self.nodes[index].incarnation,
            token,
        });
    }

    /// Delivers the writes that have arrived. Writes of a stalled process arrive when it continues;
    /// writes of a killed process are dropped.
    pub(super) fn deliver_writes(&mut self) {
        let now = self.now;
        let nodes = &self.nodes;
        let node = |write: &PendingWrite| &nodes[usize::from(write.by)];
        self.pending_writes
            .retain(|write| node(write).running_incarnation() == write.incarnation);
        let arrived = self.pending_writes.extract_if(.., |write| {
            now >= write.arrives_at.max(node(write).stalled_until)
        });
        for write in arrived {
            let is_admitted = self.guard.admit(lease(), write.token) || !self.checks_tokens;
            self.writes.push(Write {
                at: now,
                by: write.by,
                token: write.token,
                is_admitted,
            });
        }
    }
}
