//! Asking members whether they are there, alone and for others.

use super::Membership;
use crate::table::{Claim, Standing};
use crate::wire::Kind;
use crate::{MemberId, Millis};

/// A question that is out.
#[derive(Debug, Clone)]
pub(super) struct Probe {
    pub(super) member: MemberId,
    pub(super) nonce: u32,
    /// When others are asked; none once they were.
    help_at: Option<Millis>,
    ends: Millis,
    pub(super) begun: Millis,
    /// Helpers that were asked, and have said that they heard nothing either.
    pub(super) helpers: u8,
    pub(super) nacks: u8,
    pub(super) answered: bool,
}

impl Probe {
    pub(super) fn times(&self) -> impl Iterator<Item = Millis> {
        [self.help_at, Some(self.ends)].into_iter().flatten()
    }
}

/// A question that is asked for another member.
#[derive(Debug, Clone)]
pub(super) struct Helping {
    pub(super) whom: MemberId,
    pub(super) theirs: u32,
    pub(super) after: MemberId,
    pub(super) ours: u32,
    /// When it is told that nothing was heard.
    pub(super) nack_at: Millis,
}

/// Most questions that are asked for others at a time.
pub(super) const HELPING: usize = 16;
/// One period in so many goes to a member that is taken for gone: a cut that heals is found so,
/// from both sides.
const KNOCK: u32 = 3;

impl Membership {
    /// Whose turn it is. A member that is there, or was never heard, comes once in each round.
    fn next_member(&mut self) -> Option<MemberId> {
        let over =
            |f: &Membership, place: MemberId| f.table.get(place).is_none_or(|m| m.standing.over());
        if self.rng.u32(0..KNOCK) == 0 {
            let gone: Vec<MemberId> = self
                .order
                .iter()
                .copied()
                .filter(|p| over(self, *p))
                .collect();
            if !gone.is_empty() {
                return Some(gone[self.rng.usize(0..gone.len())]);
            }
        }
        for _ in 0..self.order.len() {
            if self.turn == 0 {
                let mut order = std::mem::take(&mut self.order);
                self.rng.shuffle(&mut order);
                self.order = order;
            }
            let place = self.order[self.turn];
            self.turn = (self.turn + 1) % self.order.len();
            if !over(self, place) {
                return Some(place);
            }
        }
        // The round began anew on the way, and has passed those who are there; where nobody is,
        // anybody may be.
        let there = self.order.iter().copied().find(|p| !over(self, *p));
        there.or(self.order.first().copied())
    }

    pub(super) fn begin_probe(&mut self, now: Millis) {
        let Some(member) = self.next_member() else {
            return;
        };
        let (nonce, factor) = (self.rng.u32(..), self.health.factor());
        self.probe = Some(Probe {
            member,
            nonce,
            help_at: Some(now + self.terms.answer * factor),
            ends: now + self.terms.period * factor,
            begun: now,
            helpers: 0,
            nacks: 0,
            answered: false,
        });
        self.send(now, member, Kind::Ping { nonce });
    }

    /// Asks others where no answer came, and concludes at the end of the period.
    pub(super) fn probe_goes_on(&mut self, now: Millis) {
        let Some(mut probe) = self.probe.take() else {
            return;
        };
        let known = self.table.get(probe.member).is_some_and(|m| {
            matches!(m.standing, Standing::Alive | Standing::Suspect) && m.incarnation.life > 0
        });
        if probe.help_at.is_some_and(|at| now >= at) {
            probe.help_at = None;
            if !probe.answered && known {
                for helper in self.some(self.terms.helpers, Some(probe.member)) {
                    self.send(
                        now,
                        helper,
                        Kind::Help {
                            nonce: probe.nonce,
                            after: probe.member,
                        },
                    );
                    probe.helpers += 1;
                }
            }
        }
        if now < probe.ends {
            self.probe = Some(probe);
            return;
        }
        if probe.answered {
            return self.health.better();
        }
        // Lifeguard: helpers who said nothing at all are a sign that this proxy hears badly; where
        // all of them did speak, the fault is the member's.
        let missing = probe.helpers.saturating_sub(probe.nacks);
        if known {
            self.health
                .worse(if probe.helpers == 0 { 1 } else { missing });
        }
        if known && !self.cut_off && !(probe.helpers > 0 && missing == probe.helpers) {
            self.accuse(now, probe.member);
        }
    }

    fn accuse(&mut self, now: Millis, member: MemberId) {
        if let Some(claim) = self.table.claim(member).filter(|c| !c.standing.over()) {
            self.hear(
                now,
                Claim {
                    standing: Standing::Suspect,
                    by: self.own,
                    ..claim
                },
            );
        }
    }

    /// Tells those who asked for help that nothing was heard.
    pub(super) fn help_ends(&mut self, now: Millis) {
        let over: Vec<Helping> = self.helping.extract_if(.., |h| h.nack_at <= now).collect();
        for h in over {
            self.send(now, h.whom, Kind::Nack { nonce: h.theirs });
        }
    }
}
