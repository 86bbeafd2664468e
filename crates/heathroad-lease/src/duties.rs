//! A proxy's whole part in the duties of its fleet: it seeks and holds some, and votes where it is
//! a voter.

use crate::electorate::Electorate;
use crate::message::{MAX_MESSAGE, Message, Send, What};
use crate::seat::{Ended, Event, Seat, With};
use crate::token::{Token, count_at};
use crate::voter::{Memory, Voter};
use crate::{DutyId, Terms};
use fastrand::Rng;
use heathroad_membership::version::Digest;
use heathroad_membership::{MemberId, Millis};
use std::collections::BTreeMap;

/// What is to be done, in this order: what is to be kept must be on disk before what is behind it
/// goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Keep this, where there is a disk.
    Keep(Memory),
    /// Send this; what is for this proxy itself comes back to [`Duties::receive`].
    Send(Send),
    /// Something happened to a duty.
    Event(DutyId, Event),
    /// A voter has said how a duty stands there.
    Stands(MemberId, DutyId, What),
}

/// Who this proxy is, and what it goes by.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Its place.
    pub own: MemberId,
    /// Who votes.
    pub electorate: Electorate,
    /// Times.
    pub terms: Terms,
    /// The duties that it can hold.
    pub duties: Vec<DutyId>,
    /// Of its chance.
    pub seed: u64,
}

/// A proxy's part.
#[derive(Clone)]
pub struct Duties {
    own: MemberId,
    electorate: Electorate,
    terms: Terms,
    seats: Vec<Seat>,
    voter: Option<Voter>,
    /// Who is there, as far as is known; this proxy too.
    present: Vec<MemberId>,
    ranks: BTreeMap<DutyId, u16>,
    clock: u64,
    rng: Rng,
    out: Vec<Output>,
}

/// The order in which members should hold a duty: another one for each, so that duties are spread.
pub fn turn(duty: DutyId, present: &[MemberId]) -> Vec<MemberId> {
    let weight = |place: &MemberId| {
        let [a, b] = place.to_be_bytes();
        Digest::of(&[duty.0[0], duty.0[1], duty.0[2], duty.0[3], a, b])
    };
    let mut order = present.to_vec();
    order.sort_by_cached_key(weight);
    order
}

impl Duties {
    /// A proxy that starts, with what it remembers as a voter, at a Unix time in milliseconds as
    /// far as it is known.
    pub fn new(now: Millis, unix: u64, settings: Settings, memory: Memory) -> Duties {
        let Settings {
            own,
            electorate,
            terms,
            duties,
            seed,
        } = settings;
        let (clock, generation) = (count_at(unix), electorate.generation());
        let voter = electorate
            .votes(own)
            .then(|| Voter::new(now, clock, terms, generation, memory));
        let seats: Vec<Seat> = duties
            .into_iter()
            .map(|duty| Seat::new(now, duty))
            .collect();
        let rng = Rng::with_seed(seed);
        let (present, ranks, out) = (Vec::new(), BTreeMap::new(), Vec::new());
        let mut all = Duties {
            own,
            electorate,
            terms,
            seats,
            voter,
            present,
            ranks,
            clock,
            rng,
            out,
        };
        all.present(vec![own]);
        all
    }

    /// Who is there now, this proxy too if it is willing.
    pub fn present(&mut self, present: Vec<MemberId>) {
        if present == self.present {
            return;
        }
        for seat in &self.seats {
            let order = turn(seat.duty(), &present);
            let rank = order
                .iter()
                .position(|p| *p == self.own)
                .unwrap_or(usize::MAX);
            self.ranks
                .insert(seat.duty(), u16::try_from(rank).unwrap_or(u16::MAX));
        }
        self.present = present;
    }

    /// Unix time in milliseconds has come to this, as far as is known.
    pub fn unix(&mut self, unix: u64) {
        self.clock = count_at(unix);
    }

    /// When [`Duties::tick`] is to be called at the latest.
    pub fn due(&self) -> Millis {
        self.seats
            .iter()
            .map(|s| s.due(self.rank(s.duty())))
            .min()
            .unwrap_or(Millis::MAX)
    }

    fn rank(&self, duty: DutyId) -> u16 {
        self.ranks.get(&duty).copied().unwrap_or(u16::MAX)
    }

    /// What is to be done since the last look.
    pub fn outputs(&mut self) -> std::vec::Drain<'_, Output> {
        self.out.drain(..)
    }

    fn with<R>(
        &mut self,
        duty: DutyId,
        act: impl FnOnce(&mut Seat, &mut With<'_>) -> R,
    ) -> Option<R> {
        let rank = self.rank(duty);
        let seat = self.seats.iter_mut().find(|s| s.duty() == duty)?;
        let mut out = Vec::new();
        let mut with = With {
            terms: self.terms,
            electorate: &self.electorate,
            own: self.own,
            clock: self.clock,
            rank,
            rng: &mut self.rng,
            out: &mut out,
        };
        let done = act(seat, &mut with);
        self.out
            .extend(seat.events().map(|e| Output::Event(duty, e)));
        self.out.extend(out.into_iter().map(Output::Send));
        Some(done)
    }

    /// Time passes.
    pub fn tick(&mut self, now: Millis) {
        let due: Vec<DutyId> = self.seats.iter().map(Seat::duty).collect();
        for duty in due {
            self.with(duty, |seat, with| seat.tick(now, with));
        }
    }

    /// Bytes have come from a member in one of its lives.
    pub fn receive(&mut self, now: Millis, from: MemberId, life: u64, bytes: &[u8]) {
        if let Some(message) = Message::read(bytes).filter(|_| bytes.len() <= MAX_MESSAGE) {
            self.hear(now, from, life, message);
        }
    }

    /// A message has come from a member in one of its lives.
    pub fn hear(&mut self, now: Millis, from: MemberId, life: u64, message: Message) {
        let Message { duty, what } = message;
        let to_voter = matches!(
            what,
            What::Ask { .. } | What::Resign { .. } | What::Keep { .. } | What::Look { .. }
        );
        if to_voter {
            let Some(voter) = &mut self.voter else { return };
            let (answer, changed) = voter.hear(now, from, life, duty, what);
            if changed {
                self.out.push(Output::Keep(voter.memory().clone()));
            }
            let answer = answer.map(|what| Send {
                to: from,
                message: Message { duty, what },
            });
            self.out.extend(answer.map(Output::Send));
            return;
        }
        if let What::Stands { .. } = what {
            self.out.push(Output::Stands(from, duty, what.clone()));
        }
        self.with(duty, |seat, with| seat.hear(now, from, what, with));
    }

    /// The token by which this proxy holds a duty now; to be asked before each act.
    pub fn holds(&self, now: Millis, duty: DutyId) -> Option<Token> {
        self.seat(duty)?.holds(now).map(|(token, _)| token)
    }

    /// A duty as it is sought and held here.
    pub fn seat(&self, duty: DutyId) -> Option<&Seat> {
        self.seats.iter().find(|s| s.duty() == duty)
    }

    /// Lets a duty go, and does not seek it for a while. Whoever is next in turn is told.
    pub fn resign(&mut self, now: Millis, duty: DutyId, why: Ended) {
        let next = turn(duty, &self.present)
            .into_iter()
            .find(|p| *p != self.own);
        self.with(duty, |seat, with| seat.resign(now, why, next, with));
    }

    /// Something that was acted on has seen this token: the next one that is asked for is above it.
    pub fn seen(&mut self, duty: DutyId, token: Token) {
        self.with(duty, |seat, _| seat.seen(token));
    }

    /// What a duty's work has come to, to be kept by a quorum: its number, told by [`Event::Saved`]
    /// once it is.
    pub fn mark(&mut self, now: Millis, duty: DutyId, state: Vec<u8>) -> Option<u32> {
        self.with(duty, |seat, with| seat.mark(now, state, with))
            .flatten()
    }

    /// Asks all voters how a duty stands; they are told by [`Output::Stands`].
    pub fn look(&mut self, duty: DutyId) {
        let round = self.rng.u32(..);
        let to = self.electorate.all();
        let message = Message {
            duty,
            what: What::Look { round },
        };
        self.out.extend(to.map(|to| {
            Output::Send(Send {
                to,
                message: message.clone(),
            })
        }));
    }

    /// Who votes.
    pub fn electorate(&self) -> &Electorate {
        &self.electorate
    }

    /// This proxy as a voter, if it is one.
    pub fn voter(&self) -> Option<&Voter> {
        self.voter.as_ref()
    }
}
