//! A voter: what it has granted, and what it may grant.
//!
//! A grant is a promise to others for a time, by this proxy's clock, and for ever to grant nothing
//! under a lower token. The promise for ever is kept on disk where there is one ([`Hard`], before
//! the answer goes); where there is none, or an old copy of it, a voter that starts is silent for
//! longer than anything it may have granted counts, and asks for counts above its start in Unix
//! time.

use crate::history::{End, Spell};
use crate::message::{What, Why};
use crate::token::Token;
use crate::{DutyId, Terms};
use heathroad_membership::{MemberId, Millis};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Most duties that a voter keeps.
pub const MAX_DUTIES: usize = 32;
/// Longest state in a mark, in bytes.
pub const MAX_STATE: usize = 128;
/// Most spells of a duty that a voter remembers.
pub const MAX_SPELLS: usize = 64;
/// A duty whose holders die young is held back for up to so many leases.
const MOST_HELD_BACK: u64 = 63;
/// So many deaths of young holders in a row hold nothing back: they may be chance.
const CHANCE: u8 = 2;

/// What a holder's work had come to.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Mark {
    /// Under which token.
    pub token: Token,
    /// Its how-manieth under that token.
    pub seq: u32,
    /// The work's own words, at most [`MAX_STATE`] bytes.
    pub state: Vec<u8>,
}

/// What a voter must not forget of a duty.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Hard {
    /// The highest token that was granted.
    pub token: Token,
    /// In which life of its holder.
    pub life: u64,
    /// The last mark.
    pub mark: Mark,
}

/// All that a voter must not forget.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Memory {
    /// The highest generation of an electorate that it has heard of.
    pub generation: u8,
    /// Of each duty.
    pub duties: BTreeMap<DutyId, Hard>,
}

/// A grant in this life of the voter.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Grant {
    since: Millis,
    /// Until when it was renewed.
    until: Millis,
    /// It was renewed: its holder has known that it holds. Others were candidates that did not win,
    /// and whose end says nothing.
    renewed: bool,
    /// Its holder has let it go. One that has stalled and wakes does so too: it did not die.
    resigned: bool,
}

impl Grant {
    fn runs(&self, now: Millis) -> bool {
        !self.resigned && now < self.until
    }
}

/// A voter.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Voter {
    terms: Terms,
    memory: Memory,
    grants: BTreeMap<DutyId, Grant>,
    /// Holders in a row that died young.
    died: BTreeMap<DutyId, u8>,
    silent_until: Millis,
    /// Counts of tokens are at least this.
    floor: u64,
    history: BTreeMap<DutyId, VecDeque<Spell>>,
}

impl Voter {
    /// One that starts, of an electorate's generation, with what it remembers. Tokens that it
    /// grants count from `floor`, see [`count_at`](crate::token::count_at).
    pub fn new(now: Millis, floor: u64, terms: Terms, generation: u8, mut memory: Memory) -> Voter {
        memory.generation = memory.generation.max(generation);
        Voter {
            terms,
            memory,
            grants: BTreeMap::new(),
            died: BTreeMap::new(),
            silent_until: now + terms.kept(terms.lease),
            floor,
            history: BTreeMap::new(),
        }
    }

    /// What must be on disk before the answers go.
    pub fn memory(&self) -> &Memory {
        &self.memory
    }

    /// Whom it granted what, as far as it remembers.
    pub fn history(&self) -> &BTreeMap<DutyId, VecDeque<Spell>> {
        &self.history
    }

    /// Until when it keeps silent.
    pub fn silent_until(&self) -> Millis {
        self.silent_until
    }

    /// A message from a member in one of its lives: the answer, and whether [`Voter::memory`] has
    /// changed, which must be kept before that goes.
    pub fn hear(
        &mut self,
        now: Millis,
        from: MemberId,
        life: u64,
        duty: DutyId,
        what: What,
    ) -> (Option<What>, bool) {
        match what {
            What::Ask {
                token,
                round,
                lease,
            } if token.place() == from => self.ask(now, life, duty, token, round, lease),
            What::Resign { token } if token.place() == from => {
                (Some(self.resign(now, life, duty, token)), false)
            }
            What::Keep { mark } if mark.token.place() == from => self.keep(life, duty, mark),
            What::Look { round } => {
                let (highest, (left, why)) = (self.highest(duty), self.held(now, duty));
                let died = self.dead(now, duty);
                (
                    Some(What::Stands {
                        round,
                        highest,
                        left: short(left),
                        why,
                        died,
                    }),
                    false,
                )
            }
            _ => (None, false),
        }
    }

    fn highest(&self, duty: DutyId) -> Token {
        self.memory
            .duties
            .get(&duty)
            .map_or(Token::default(), |h| h.token)
    }

    /// For how long it is granted to nobody but its holder, and why.
    fn held(&self, now: Millis, duty: DutyId) -> (Millis, Option<Why>) {
        if now < self.silent_until {
            return (self.silent_until - now, Some(Why::Silent));
        }
        let Some(grant) = self.grants.get(&duty) else {
            return (0, None);
        };
        if grant.runs(now) {
            return (grant.until - now, Some(Why::Held));
        }
        let back = self.held_back(self.dead(now, duty));
        match (grant.until + back)
            .checked_sub(now)
            .filter(|left| *left > 0 && !grant.resigned)
        {
            Some(left) => (left, Some(Why::HeldBack)),
            None => (0, None),
        }
    }

    /// Holders in a row that have died young, the last one too.
    fn dead(&self, now: Millis, duty: DutyId) -> u8 {
        let before = self.died.get(&duty).copied().unwrap_or(0);
        match self.grants.get(&duty) {
            Some(g) if !g.renewed => before,
            Some(g) if !g.runs(now) && !g.resigned => {
                let young = g.until.saturating_sub(g.since) < self.terms.young();
                if young { before.saturating_add(1) } else { 0 }
            }
            Some(g) if g.resigned => 0,
            _ => before,
        }
    }

    fn held_back(&self, died: u8) -> Millis {
        let doubled = 1_u64
            .checked_shl(u32::from(died.saturating_sub(CHANCE)))
            .unwrap_or(u64::MAX);
        (doubled - 1).min(MOST_HELD_BACK) * self.terms.lease
    }

    fn ask(
        &mut self,
        now: Millis,
        life: u64,
        duty: DutyId,
        token: Token,
        round: u32,
        lease: u32,
    ) -> (Option<What>, bool) {
        let refused = |highest, left, why| {
            let left = short(left);
            (
                Some(What::Refused {
                    round,
                    highest,
                    left,
                    why,
                }),
                false,
            )
        };
        let known = self.memory.duties.get(&duty);
        let highest = self.highest(duty);
        let place_left = known.is_some() || self.memory.duties.len() < MAX_DUTIES;
        if token.generation() < self.memory.generation || !place_left {
            return refused(highest, self.terms.lease, Why::Foreign);
        }
        let (left, why) = self.held(now, duty);
        if let Some(Why::Silent) = why {
            return refused(highest, left, Why::Silent);
        }
        let lease = u64::from(lease).min(self.terms.lease);
        let until = now + self.terms.kept(lease);
        let same = known.is_some_and(|h| h.token == token && h.life == life);
        let mut changed = false;
        if same {
            let since = self.grants.get(&duty).map_or(now, |g| g.since);
            if self.grants.get(&duty).is_some_and(|g| g.resigned) {
                return refused(highest, 0, Why::Low);
            }
            let until = self.grants.get(&duty).map_or(until, |g| g.until.max(until));
            self.grants.insert(
                duty,
                Grant {
                    since,
                    until,
                    renewed: true,
                    resigned: false,
                },
            );
            if until - since >= self.terms.young() {
                self.died.remove(&duty);
            }
            self.note(duty, |spell| spell.until = until);
        } else {
            let least = Token::new(token.generation(), self.floor, 0);
            let (left, why) = self.held(now, duty);
            match why {
                _ if token <= highest || token < least => {
                    return refused(highest.max(least), left, Why::Low);
                }
                Some(why) => return refused(highest, left, why),
                None => {}
            }
            self.died.insert(duty, self.dead(now, duty));
            self.memory.generation = token.generation();
            let hard = self.memory.duties.entry(duty).or_default();
            (hard.token, hard.life) = (token, life);
            self.grants.insert(
                duty,
                Grant {
                    since: now,
                    until,
                    renewed: false,
                    resigned: false,
                },
            );
            let spells = self.history.entry(duty).or_default();
            if spells.len() >= MAX_SPELLS {
                spells.pop_front();
            }
            spells.push_back(Spell {
                token,
                life,
                from: now,
                until,
                end: End::Open,
            });
            changed = true;
        }
        let mark = self
            .memory
            .duties
            .get(&duty)
            .map(|h| h.mark.clone())
            .filter(|m| m.seq > 0);
        (
            Some(What::Granted {
                token,
                round,
                lease: short(lease),
                mark,
            }),
            changed,
        )
    }

    fn note(&mut self, duty: DutyId, by: impl FnOnce(&mut Spell)) {
        if let Some(spell) = self.history.get_mut(&duty).and_then(VecDeque::back_mut) {
            by(spell);
        }
    }

    fn resign(&mut self, now: Millis, life: u64, duty: DutyId, token: Token) -> What {
        let theirs = self
            .memory
            .duties
            .get(&duty)
            .is_some_and(|h| h.token == token && h.life == life);
        if theirs
            && let Some(grant) = self.grants.get_mut(&duty)
            && !grant.resigned
        {
            grant.resigned = true;
            let until = now.min(grant.until);
            self.note(duty, |spell| {
                (spell.until, spell.end) = (until, End::Resigned)
            });
        }
        What::Freed { token }
    }

    fn keep(&mut self, life: u64, duty: DutyId, mark: Mark) -> (Option<What>, bool) {
        let Some(hard) = self.memory.duties.get_mut(&duty) else {
            return (None, false);
        };
        // A holder that others have followed has nothing to say any more.
        if hard.token != mark.token || hard.life != life || mark.state.len() > MAX_STATE {
            return (None, false);
        }
        let kept = What::Kept {
            token: mark.token,
            seq: mark.seq,
        };
        let newer = (hard.mark.token, hard.mark.seq) < (mark.token, mark.seq);
        if newer {
            hard.mark = mark;
        }
        (Some(kept), newer)
    }
}

fn short(time: Millis) -> u32 {
    u32::try_from(time).unwrap_or(u32::MAX)
}
