//! One duty as a proxy seeks and holds it.
//!
//! All times of a hold are counted from before its grants were asked for, and [`Seat::holds`] is to
//! be asked before each act: a holder that has stalled finds out then.

use crate::electorate::Electorate;
use crate::message::{Message, Send, What, Why};
use crate::token::Token;
use crate::voter::{MAX_STATE, Mark};
use crate::{DutyId, Terms};
use fastrand::Rng;
use heathroad_membership::{MemberId, Millis};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};

/// Most questions that are remembered; an answer to an older one counts for nothing.
const ROUNDS: usize = 32;
/// Rounds in which an end is told to voters; what they did not hear by then they learn by the
/// lapse.
const PARTING: u8 = 6;

/// Why a hold ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ended {
    /// Its grants were not renewed in time.
    Lapsed,
    /// It was told to resign.
    Told,
    /// This proxy stops.
    Stops,
    /// This proxy fences itself.
    Fenced,
    /// The work itself finds that it can't be done here.
    Unfit,
    /// Something acted on had seen a higher token.
    Overtaken,
    /// A voter has started that grants nothing under so low a token any more: it is sought anew, at
    /// once, by the same proxy.
    Anew,
}

/// What happens to a seat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// It holds from now on. The work goes on from the mark, where there is one.
    Begin {
        /// By this token.
        token: Token,
        /// The last mark that a quorum may have kept.
        mark: Option<Mark>,
    },
    /// It holds no longer.
    End {
        /// What it held by.
        token: Token,
        /// Why.
        why: Ended,
    },
    /// A quorum keeps a mark: whoever holds next begins with it, or a later one.
    Saved {
        /// Its token.
        token: Token,
        /// Its number.
        seq: u32,
    },
}

/// Voters are asked first how it stands: a question that can be lost by nobody. To be granted it by
/// a minority would take that voter from whoever holds it (Raft's pre-vote, Ongaro 2014, section
/// 9.6).
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Looking {
    round: u32,
    until: Millis,
    again: Millis,
    /// Who says that it is free, and who does not.
    free: Vec<MemberId>,
    held: Vec<MemberId>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Asking {
    token: Token,
    until: Millis,
    again: Millis,
    /// The time up to which each voter's grant counts here.
    granted: BTreeMap<MemberId, Millis>,
    refused: BTreeMap<MemberId, Why>,
    mark: Option<Mark>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Holding {
    token: Token,
    granted: BTreeMap<MemberId, Millis>,
    until: Millis,
    renew: Millis,
    /// The last mark, and who has said that it keeps it.
    mark: Option<Mark>,
    kept: Vec<MemberId>,
    saved: bool,
    again: Millis,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase {
    Away,
    Looking(Looking),
    Asking(Asking),
    Holding(Holding),
}

/// A token that is let go, as long as voters are told.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Parting {
    token: Token,
    freed: Vec<MemberId>,
    again: Millis,
    rounds: u8,
    /// Who is to have it now.
    next: Option<MemberId>,
}

/// What everything that a seat does is done by.
pub struct With<'a> {
    /// Times.
    pub terms: Terms,
    /// Who votes.
    pub electorate: &'a Electorate,
    /// This proxy.
    pub own: MemberId,
    /// Tokens count from this, see [`count_at`](crate::token::count_at).
    pub clock: u64,
    /// Its turn among those who are there, the first being the one who should hold it.
    pub rank: u16,
    /// Chance.
    pub rng: &'a mut Rng,
    /// What is to be sent.
    pub out: &'a mut Vec<Send>,
}

/// Members after this many others don't ask of themselves: a few that stand by are enough.
pub const STANDING_BY: u16 = 3;

/// One duty.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Seat {
    duty: DutyId,
    phase: Phase,
    /// The highest token that is known.
    highest: Token,
    /// When it asks next.
    next: Millis,
    /// It does not ask before, whoever is there.
    barred: Millis,
    /// Until then it may be free though voters say that it is held: its holder has said so.
    promised: Millis,
    round: u32,
    rounds: VecDeque<(u32, Millis)>,
    parting: Option<Parting>,
    /// Why it was refused last.
    why: Option<Why>,
    events: VecDeque<Event>,
}

impl std::hash::Hash for Event {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        std::mem::discriminant(self).hash(state);
    }
}

impl Seat {
    /// Of a duty, by a proxy that starts now.
    pub fn new(now: Millis, duty: DutyId) -> Seat {
        Seat {
            duty,
            phase: Phase::Away,
            highest: Token::default(),
            next: now,
            barred: now,
            promised: now,
            round: 0,
            rounds: VecDeque::new(),
            parting: None,
            why: None,
            events: VecDeque::new(),
        }
    }

    /// Which duty.
    pub fn duty(&self) -> DutyId {
        self.duty
    }

    /// The token by which this proxy holds it now, with the time up to which it does.
    pub fn holds(&self, now: Millis) -> Option<(Token, Millis)> {
        match &self.phase {
            Phase::Holding(h) if now < h.until => Some((h.token, h.until)),
            _ => None,
        }
    }

    /// Why it was refused last, where it seeks it.
    pub fn refused(&self) -> Option<Why> {
        self.why
    }

    /// What has happened since the last look.
    pub fn events(&mut self) -> impl Iterator<Item = Event> + '_ {
        self.events.drain(..)
    }

    /// When [`Seat::tick`] is to be called at the latest.
    pub fn due(&self, rank: u16) -> Millis {
        let parting = self.parting.as_ref().map_or(Millis::MAX, |p| p.again);
        let phase = match &self.phase {
            Phase::Away if rank < STANDING_BY => self.next.max(self.barred),
            Phase::Away => Millis::MAX,
            Phase::Looking(l) => l.until.min(l.again),
            Phase::Asking(a) => a.until.min(a.again),
            Phase::Holding(h) => {
                let mark = if h.saved { Millis::MAX } else { h.again };
                h.until.min(h.renew).min(mark)
            }
        };
        phase.min(parting)
    }

    /// What is over is over: work that has looked has stopped, and an answer that comes now must
    /// not bring its hold back.
    fn lapse(&mut self, now: Millis, with: &mut With<'_>) {
        if let Phase::Holding(h) = &self.phase
            && now >= h.until
        {
            let token = h.token;
            self.end(now, token, Ended::Lapsed, None, with);
        }
    }

    /// Time passes.
    pub fn tick(&mut self, now: Millis, with: &mut With<'_>) {
        self.lapse(now, with);
        self.part(now, with);
        match &mut self.phase {
            Phase::Away => {
                if with.rank < STANDING_BY && now >= self.next && now >= self.barred {
                    self.look(now, with);
                }
            }
            Phase::Looking(l) if now >= l.until => self.try_later(now, with),
            Phase::Looking(l) => {
                if now >= l.again {
                    l.again = now + with.terms.again();
                    let (round, heard) = (l.round, [&l.free[..], &l.held[..]].concat());
                    let to = with.electorate.all().filter(|v| !heard.contains(v));
                    with.out
                        .extend(to.map(|to| self.message(to, What::Look { round })));
                }
            }
            Phase::Asking(a) if now >= a.until => {
                // Not by a quorum: what it was granted is of use to nobody.
                let token = a.token;
                self.try_later(now, with);
                self.let_go(now, token, None, with);
            }
            Phase::Asking(a) => {
                if now >= a.again {
                    a.again = now + with.terms.again();
                    let (token, granted) = (a.token, a.granted.clone());
                    self.ask(
                        now,
                        token,
                        with.terms.first(),
                        |p| !granted.contains_key(&p),
                        with,
                    );
                }
            }
            Phase::Holding(h) => {
                if now >= h.renew {
                    // Those who have not answered the last time are asked again sooner than the
                    // next renewal is due.
                    let late: Vec<MemberId> = with
                        .electorate
                        .all()
                        .filter(|p| {
                            h.granted.get(p).is_none_or(|until| {
                                until.saturating_sub(now) < with.terms.lease - with.terms.renew()
                            })
                        })
                        .collect();
                    h.renew = now + with.terms.again();
                    let token = h.token;
                    if late.is_empty() {
                        h.renew = now + with.terms.renew() / 2;
                    } else {
                        self.ask(now, token, with.terms.lease, |p| late.contains(&p), with);
                    }
                }
                self.tell_mark(now, with);
            }
        }
    }

    /// No quorum has answered.
    fn try_later(&mut self, now: Millis, with: &mut With<'_>) {
        let slot = with.terms.patience();
        self.away(now + with.rng.u64(0..=slot) + slot * u64::from(with.rank));
    }

    fn look(&mut self, now: Millis, with: &mut With<'_>) {
        self.round = self.round.wrapping_add(1);
        let (round, until) = (self.round, now + with.terms.patience());
        let (free, held) = (Vec::new(), Vec::new());
        self.phase = Phase::Looking(Looking {
            round,
            until,
            again: now + with.terms.again(),
            free,
            held,
        });
        let to = with.electorate.all();
        with.out
            .extend(to.map(|to| self.message(to, What::Look { round })));
    }

    /// A voter has said how it stands.
    fn stands(
        &mut self,
        now: Millis,
        from: MemberId,
        left: Millis,
        why: Option<Why>,
        with: &mut With<'_>,
    ) {
        let Phase::Looking(l) = &mut self.phase else {
            return;
        };
        let heard = if why.is_none() {
            &mut l.free
        } else {
            &mut l.held
        };
        if !heard.contains(&from) {
            heard.push(from);
        }
        let (free, held) = (&l.free, &l.held);
        if with.electorate.quorum(|v| free.contains(&v)) {
            self.seek(now, with);
        } else if let Some(why) = why
            && !with.electorate.quorum(|v| !held.contains(&v))
        {
            self.not_now(now, left, why, with);
        }
    }

    /// No quorum grants it now.
    fn not_now(&mut self, now: Millis, left: Millis, why: Why, with: &mut With<'_>) {
        self.why = Some(why);
        let slot = with.terms.patience();
        let turn = slot * u64::from(with.rank) / 2;
        let next = match why {
            // Not at once: counts must not go faster than time, see [`Token`].
            Why::Low => now + slot / 4 + with.rng.u64(0..=slot / 4) + turn,
            // Voters have not heard yet that it is free.
            Why::Held if now < self.promised => now + with.terms.again() / 4,
            _ => now + left + with.rng.u64(0..=slot / 4) + turn,
        };
        self.away(next);
    }

    fn seek(&mut self, now: Millis, with: &mut With<'_>) {
        let Some(token) = self
            .highest
            .above(with.clock, with.electorate.generation(), with.own)
        else {
            // Counts are used up, or a later electorate votes: nothing can be asked for.
            return self.away(now + with.terms.barred());
        };
        self.phase = Phase::Asking(Asking {
            token,
            until: now + with.terms.patience(),
            again: now + with.terms.again(),
            granted: BTreeMap::new(),
            refused: BTreeMap::new(),
            mark: None,
        });
        self.ask(now, token, with.terms.first(), |_| true, with);
    }

    fn ask(
        &mut self,
        now: Millis,
        token: Token,
        lease: Millis,
        whom: impl Fn(MemberId) -> bool,
        with: &mut With<'_>,
    ) {
        self.round = self.round.wrapping_add(1);
        if self.rounds.len() >= ROUNDS {
            self.rounds.pop_front();
        }
        self.rounds.push_back((self.round, now));
        let lease = u32::try_from(lease).unwrap_or(u32::MAX);
        let what = What::Ask {
            token,
            round: self.round,
            lease,
        };
        let to = with.electorate.all().filter(|p| whom(*p));
        with.out.extend(to.map(|to| self.message(to, what.clone())));
    }

    fn message(&self, to: MemberId, what: What) -> Send {
        Send {
            to,
            message: Message {
                duty: self.duty,
                what,
            },
        }
    }

    fn away(&mut self, next: Millis) {
        self.phase = Phase::Away;
        self.next = next;
    }

    fn end(
        &mut self,
        now: Millis,
        token: Token,
        why: Ended,
        next: Option<MemberId>,
        with: &mut With<'_>,
    ) {
        self.events.push_back(Event::End { token, why });
        // Whoever is next in turn is first: this one has just shown that it is cut off, or slow, or
        // not willing.
        self.away(now + with.terms.lease / 2);
        self.let_go(now, token, next, with);
    }

    fn let_go(&mut self, now: Millis, token: Token, next: Option<MemberId>, with: &mut With<'_>) {
        self.parting = Some(Parting {
            token,
            freed: Vec::new(),
            again: now,
            rounds: 0,
            next,
        });
        self.part(now, with);
    }

    /// Tells voters of an end, again and again until all know or it is too late to be of use.
    fn part(&mut self, now: Millis, with: &mut With<'_>) {
        let Some(p) = self.parting.as_mut().filter(|p| now >= p.again) else {
            return;
        };
        (p.again, p.rounds) = (now + with.terms.again(), p.rounds + 1);
        let (token, over, next) = (p.token, p.rounds >= PARTING, p.next);
        let to: Vec<MemberId> = with
            .electorate
            .all()
            .filter(|v| !p.freed.contains(v))
            .collect();
        if over || to.is_empty() {
            self.parting = None;
        }
        with.out.extend(
            to.into_iter()
                .map(|to| self.message(to, What::Resign { token })),
        );
        with.out
            .extend(next.map(|to| self.message(to, What::Yours)));
    }

    /// Lets the duty go, or does not seek it for a while. `next` is who should have it now.
    pub fn resign(&mut self, now: Millis, why: Ended, next: Option<MemberId>, with: &mut With<'_>) {
        self.lapse(now, with);
        // Who was overtaken is as fit as any, once it knows by which token.
        if why != Ended::Overtaken {
            self.barred = now + with.terms.barred();
        }
        match &self.phase {
            Phase::Away => {}
            Phase::Looking(_) => self.away(now),
            Phase::Asking(a) => {
                let token = a.token;
                self.away(now);
                self.let_go(now, token, None, with);
            }
            Phase::Holding(h) => {
                let token = h.token;
                self.end(now, token, why, next, with);
            }
        }
    }

    /// So high a token was seen.
    pub fn seen(&mut self, token: Token) {
        self.highest = self.highest.max(token);
    }

    /// What the work has come to, to be kept by a quorum: its number; none if the duty is not held,
    /// or the state is too long.
    pub fn mark(&mut self, now: Millis, state: Vec<u8>, with: &mut With<'_>) -> Option<u32> {
        if state.len() > MAX_STATE || self.holds(now).is_none() {
            return None;
        }
        let Phase::Holding(h) = &mut self.phase else {
            return None;
        };
        // What the last holder left counts as none of this one's.
        let seq = h
            .mark
            .as_ref()
            .filter(|m| m.token == h.token)
            .map_or(0, |m| m.seq)
            .checked_add(1)?;
        h.mark = Some(Mark {
            token: h.token,
            seq,
            state,
        });
        (h.kept, h.saved, h.again) = (Vec::new(), false, now);
        self.tell_mark(now, with);
        Some(seq)
    }

    fn tell_mark(&mut self, now: Millis, with: &mut With<'_>) {
        let Phase::Holding(h) = &mut self.phase else {
            return;
        };
        if h.saved || now < h.again {
            return;
        }
        let Some(mark) = h.mark.clone() else { return };
        h.again = now + with.terms.again();
        let to: Vec<MemberId> = with
            .electorate
            .all()
            .filter(|v| !h.kept.contains(v))
            .collect();
        let what = What::Keep { mark };
        with.out
            .extend(to.into_iter().map(|to| self.message(to, what.clone())));
    }

    /// A voter has answered, or somebody says that it is free.
    pub fn hear(&mut self, now: Millis, from: MemberId, what: What, with: &mut With<'_>) {
        self.lapse(now, with);
        match what {
            What::Granted {
                token,
                round,
                lease,
                mark,
            } => self.granted(now, from, token, round, lease, mark, with),
            What::Refused {
                round,
                highest,
                left,
                why,
            } => {
                if self.rounds.iter().any(|(r, _)| *r == round) {
                    self.highest = self.highest.max(highest);
                    self.anew(now, highest, why, with);
                    self.refusal(now, from, u64::from(left), why, with);
                }
            }
            What::Freed { token } => {
                if let Some(p) = self.parting.as_mut().filter(|p| p.token == token)
                    && !p.freed.contains(&from)
                {
                    p.freed.push(from);
                }
            }
            What::Kept { token, seq } => self.kept(from, token, seq, with),
            What::Yours => {
                if let Phase::Away = self.phase
                    && now >= self.barred
                {
                    self.promised = now + with.terms.patience();
                    self.look(now, with);
                }
            }
            What::Stands {
                round,
                highest,
                left,
                why,
                ..
            } => {
                self.highest = self.highest.max(highest);
                if matches!(&self.phase, Phase::Looking(l) if l.round == round) {
                    self.stands(now, from, u64::from(left), why, with);
                }
            }
            What::Ask { .. } | What::Resign { .. } | What::Keep { .. } | What::Look { .. } => {}
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    fn granted(
        &mut self,
        now: Millis,
        from: MemberId,
        token: Token,
        round: u32,
        lease: u32,
        mark: Option<Mark>,
        with: &mut With<'_>,
    ) {
        let asked = self
            .rounds
            .iter()
            .find(|(r, _)| *r == round)
            .map(|(_, at)| *at);
        let Some(until) = asked.map(|at| at + u64::from(lease)) else {
            return;
        };
        if !with.electorate.votes(from) {
            return;
        }
        match &mut self.phase {
            Phase::Asking(a) if a.token == token => {
                let counts = a.granted.entry(from).or_insert(until);
                *counts = until.max(*counts);
                if mark.as_ref().map(|m| (m.token, m.seq))
                    > a.mark.as_ref().map(|m| (m.token, m.seq))
                {
                    a.mark = mark;
                }
                let reached = with.electorate.reached(|p| a.granted.get(&p).copied());
                if let Some(until) = reached.filter(|until| now < *until) {
                    let (granted, mark) = (std::mem::take(&mut a.granted), a.mark.take());
                    self.highest = self.highest.max(token);
                    self.why = None;
                    self.events.push_back(Event::Begin {
                        token,
                        mark: mark.clone(),
                    });
                    self.phase = Phase::Holding(Holding {
                        token,
                        granted,
                        until,
                        renew: now,
                        mark,
                        kept: Vec::new(),
                        saved: true,
                        again: now,
                    });
                    // The first grants are short.
                    self.tick(now, with);
                }
            }
            Phase::Holding(h) if h.token == token => {
                let counts = h.granted.entry(from).or_insert(until);
                *counts = until.max(*counts);
                let reached = with.electorate.reached(|p| h.granted.get(&p).copied());
                h.until = h.until.max(reached.unwrap_or(0));
                // A voter that has forgotten the mark, or never had it, is told again.
                let theirs = mark.map_or(0, |m| if m.token == token { m.seq } else { 0 });
                let ours = h
                    .mark
                    .as_ref()
                    .filter(|m| m.token == token)
                    .map_or(0, |m| m.seq);
                if theirs < ours && h.saved {
                    let mark = h.mark.clone().unwrap_or_default();
                    with.out.push(self.message(from, What::Keep { mark }));
                }
            }
            _ => {}
        }
    }

    /// A voter that has started, and remembers nothing, would be one less for as long as this hold
    /// lasts, and the next one that starts would end it by a lapse.
    fn anew(&mut self, now: Millis, highest: Token, why: Why, with: &mut With<'_>) {
        if let Phase::Holding(h) = &self.phase
            && why == Why::Low
            && highest > h.token
        {
            let token = h.token;
            self.end(now, token, Ended::Anew, None, with);
            (self.next, self.promised) =
                (now + with.terms.again() / 4, now + with.terms.patience());
        }
    }

    fn refusal(
        &mut self,
        now: Millis,
        from: MemberId,
        left: Millis,
        why: Why,
        with: &mut With<'_>,
    ) {
        let Phase::Asking(a) = &mut self.phase else {
            return;
        };
        a.refused.insert(from, why);
        a.granted.remove(&from);
        // Some quorum may yet grant it, unless these say no.
        if with.electorate.quorum(|p| !a.refused.contains_key(&p)) {
            return;
        }
        let (token, granted) = (a.token, !a.granted.is_empty());
        self.not_now(now, left, why, with);
        if granted {
            self.let_go(now, token, None, with);
        }
    }

    fn kept(&mut self, from: MemberId, token: Token, seq: u32, with: &With<'_>) {
        let Phase::Holding(h) = &mut self.phase else {
            return;
        };
        let ours = h
            .mark
            .as_ref()
            .is_some_and(|m| (m.token, m.seq) == (token, seq));
        if !ours || h.token != token || h.saved || !with.electorate.votes(from) {
            return;
        }
        if !h.kept.contains(&from) {
            h.kept.push(from);
        }
        if with.electorate.quorum(|p| h.kept.contains(&p)) {
            h.saved = true;
            self.events.push_back(Event::Saved { token, seq });
        }
    }
}
