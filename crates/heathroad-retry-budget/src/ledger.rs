//! One proxy's books: which requests entered with what, what is lent to calls below, and what the
//! tier above is told.
//!
//! Calls that one parent makes copy its budget as it is, and share what it holds by the number of
//! the loan: whichever of them comes first opens the account, and the others draw on it. It is kept
//! until the time it was told has passed, so that a call that comes after the others have ended
//! finds what they have left.

use crate::account::{Account, Grants, Loan};
use crate::path::{self, Held, Mark, Way};
use crate::wire::{Budget, MAX_TIME_MS, Path, Spent, Spoilt, WHOLE_WORTH};
use std::collections::HashMap;

/// Milliseconds of a clock that only goes forward.
pub type Millis = u64;

/// Most accounts that are kept at once; a request past them may send nothing again.
const MOST: usize = 100_000;

/// What a proxy keeps to.
#[derive(Debug, Clone, PartialEq)]
pub struct Terms {
    /// Its name in paths, which it shares with those that do the same.
    pub name: String,
    /// Most attempts beyond the first that a request is granted here.
    pub attempts: u16,
    /// Attempts granted for each first try, in the long run.
    pub share: f64,
    /// Attempts granted at once after a calm.
    pub depth: f64,
    /// Proxies that a request may pass, this one among them.
    pub hops: u8,
    /// How often a request may come back here by its routes.
    pub reentries: usize,
    /// So many requests of one key, class and tenant from inside that carry no path may be here at
    /// once; 0 does not look.
    pub same: usize,
    /// Its backends make calls through proxies that know budgets: attempts are lent to them.
    pub lends: bool,
}

/// What a request says of its budget.
#[derive(Debug, Clone, PartialEq)]
pub struct Told {
    /// Its budget, if any.
    pub budget: Result<Option<Budget>, Spoilt>,
    /// Its path; empty if it says none.
    pub path: Result<Path, Spoilt>,
    /// It comes from a peer that is named as inner.
    pub inner: bool,
}

/// Why a request is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turned {
    /// It has been here before.
    Loop,
    /// It has passed as many proxies as it may.
    TooFar,
}

/// What the books say in figures, since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Figures {
    /// Requests that entered without a budget that counts.
    pub entered: u64,
    /// Requests that carried one from inside.
    pub carried: u64,
    /// Headers that could not be read.
    pub spoilt: u64,
    /// Requests that came round.
    pub loops: u64,
    /// Requests that had passed too many proxies.
    pub too_far: u64,
    /// Attempts granted here.
    pub granted: u64,
    /// Attempts beyond the first that went out from here.
    pub again: u64,
    /// Attempts lent below of which nothing was heard.
    pub lost: u64,
}

/// A request that is here. It is given back to [`Ledger::leave`], once.
#[derive(Debug)]
#[must_use = "a ticket is given back"]
pub struct Ticket {
    account: u64,
    /// A caller inside is told what was spent.
    tells: bool,
    mark: Option<Mark>,
    budget: Budget,
    path: Path,
}

#[derive(Debug)]
struct Entry {
    account: Account,
    /// Requests that draw on it.
    users: u32,
    /// A loan from above is kept until then; what was granted here goes with its one request.
    until: Option<Millis>,
}

/// The books.
#[derive(Debug)]
pub struct Ledger {
    terms: Terms,
    grants: Grants,
    entries: HashMap<u64, Entry>,
    held: Held,
    rng: Numbers,
    figures: Figures,
    swept: Millis,
}

/// Numbers that nobody guesses by chance (SplitMix64: Steele, Lea and Flood 2014); they are names
/// and no secrets.
#[derive(Debug)]
struct Numbers(u64);

impl Numbers {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }
}

impl Ticket {
    /// How long the request has at the most, in milliseconds from when it entered.
    pub fn time_ms(&self) -> u32 {
        self.budget.time_ms
    }

    /// Its worth, as a part of its class's.
    pub fn worth(&self) -> f64 {
        f64::from(self.budget.worth) / f64::from(WHOLE_WORTH)
    }

    /// Its path, with this proxy's name.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Ledger {
    /// Empty books; `seed` feeds the numbers of loans, and two proxies should not share one.
    pub fn new(terms: Terms, seed: u64) -> Ledger {
        let grants = Grants::new(terms.share, terms.depth);
        let (entries, held) = (HashMap::new(), Held::default());
        Ledger {
            terms,
            grants,
            entries,
            held,
            rng: Numbers(seed),
            figures: Figures::default(),
            swept: 0,
        }
    }

    /// What the books say in figures.
    pub fn figures(&self) -> Figures {
        self.figures
    }

    /// How many accounts are kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// A request enters, and would wait so long.
    pub fn enter(
        &mut self,
        now: Millis,
        told: Told,
        mark: Mark,
        wait_ms: u32,
    ) -> Result<Ticket, Turned> {
        self.sweep(now);
        let spoilt = u64::from(told.budget.is_err()) + u64::from(told.path.is_err());
        self.figures.spoilt += spoilt;
        let budget = told.budget.unwrap_or(None);
        let own = Budget {
            time_ms: wait_ms.min(MAX_TIME_MS),
            attempts: self.terms.attempts,
            worth: WHOLE_WORTH,
            hops: self.terms.hops,
            loan: 0,
        };
        let mut admitted = Budget::admit(budget, told.inner, own);
        let told_path = told.path.unwrap_or_default();
        let path = match path::enter(
            &told_path,
            &self.terms.name,
            self.terms.reentries,
            admitted.hops,
        ) {
            Way::On(path) => path,
            Way::Loop => {
                self.figures.loops += 1;
                return Err(Turned::Loop);
            }
            Way::TooFar => {
                self.figures.too_far += 1;
                return Err(Turned::TooFar);
            }
        };
        // Without a path only a heap of the same tells that one request goes round and round.
        let looks = told.inner && told_path.names().is_empty() && self.terms.same > 0;
        if looks && !self.held.enter(mark, true, self.terms.same - 1) {
            self.figures.loops += 1;
            return Err(Turned::Loop);
        }
        let carries = told.inner && budget.is_some();
        let account = match carries {
            true => {
                self.figures.carried += 1;
                self.share(now, admitted)
            }
            false => {
                self.figures.entered += 1;
                self.grant(admitted.attempts)
            }
        };
        admitted.hops -= 1;
        let mark = looks.then_some(mark);
        Ok(Ticket {
            account,
            tells: carries,
            mark,
            budget: admitted,
            path,
        })
    }

    /// A loan from above: whoever comes with its number first opens the account.
    fn share(&mut self, now: Millis, told: Budget) -> u64 {
        let until = now + Millis::from(told.time_ms);
        let over = |e: &Entry| e.users == 0 && e.until.is_some_and(|until| until <= now);
        if self.entries.get(&told.loan).is_some_and(over) {
            self.entries.remove(&told.loan);
        }
        if let Some(known) = self.entries.get_mut(&told.loan) {
            known.users += 1;
            known.until = known.until.map(|u| u.max(until));
            return told.loan;
        }
        let room = self.entries.len() < MOST;
        let account = Account::new(if room { told.attempts } else { 0 });
        let number = if room { told.loan } else { self.number() };
        self.entries.insert(
            number,
            Entry {
                account,
                users: 1,
                until: room.then_some(until),
            },
        );
        number
    }

    fn grant(&mut self, want: u16) -> u64 {
        let account = self
            .grants
            .enter(if self.entries.len() < MOST { want } else { 0 });
        self.figures.granted += u64::from(account.left());
        let number = self.number();
        self.entries.insert(
            number,
            Entry {
                account,
                users: 1,
                until: None,
            },
        );
        number
    }

    fn number(&mut self) -> u64 {
        loop {
            let number = self.rng.next();
            if number != 0 && !self.entries.contains_key(&number) {
                return number;
            }
        }
    }

    fn account(&mut self, ticket: &Ticket) -> Option<&mut Account> {
        self.entries
            .get_mut(&ticket.account)
            .map(|e| &mut e.account)
    }

    /// How many attempts beyond those that went out may still do so.
    pub fn left(&self, ticket: &Ticket) -> u16 {
        self.entries
            .get(&ticket.account)
            .map_or(0, |e| e.account.usable())
    }

    /// A further attempt goes out, if one may.
    pub fn again(&mut self, ticket: &Ticket) -> bool {
        let may = self.account(ticket).is_some_and(Account::again);
        self.figures.again += u64::from(may);
        may
    }

    /// What an attempt takes along: the loan, and the budget that its call is told, whose time is
    /// the sender's to fill in.
    pub fn lend(&mut self, ticket: &Ticket) -> (Loan, Budget) {
        let lends = self.terms.lends;
        let loan = match self.account(ticket) {
            Some(account) if lends => account.lend_most(),
            _ => Account::new(0).lend(0),
        };
        let budget = Budget {
            attempts: loan.attempts(),
            loan: self.number(),
            ..ticket.budget
        };
        (loan, budget)
    }

    /// An attempt ended, and told what was spent below. One that was never sent has spent nothing.
    pub fn settle(&mut self, ticket: &Ticket, loan: Loan, told: Option<Spent>, unsent: bool) {
        let told = if unsent {
            Some(Spent {
                attempts: 0,
                stop: false,
            })
        } else {
            told
        };
        if told.is_none() {
            self.figures.lost += u64::from(loan.attempts());
        }
        if let Some(account) = self.account(ticket) {
            account.settle(loan, told);
        }
    }

    /// What the tier above is told with the answer, where it asked by a budget; `failed` where this
    /// tier has tried and could not help, so that another way to the same will not either.
    pub fn spent(&self, ticket: &Ticket, failed: bool) -> Option<Spent> {
        let entry = self.entries.get(&ticket.account).filter(|_| ticket.tells)?;
        Some(entry.account.spent(failed))
    }

    /// A request is over, with all that it sent.
    pub fn leave(&mut self, now: Millis, ticket: Ticket) {
        if let Some(mark) = ticket.mark {
            self.held.leave(mark);
        }
        let Some(entry) = self.entries.get_mut(&ticket.account) else {
            return;
        };
        entry.users -= 1;
        let over = entry.users == 0 && entry.until.is_none_or(|until| until <= now);
        if over && let Some(entry) = self.entries.remove(&ticket.account) {
            // What came from above is above's to grant again.
            if entry.until.is_none() {
                self.grants.leave(entry.account);
            }
        }
    }

    /// Forgets loans whose time is over, once a second.
    fn sweep(&mut self, now: Millis) {
        if now >= self.swept + 1_000 {
            self.swept = now;
            self.entries
                .retain(|_, e| e.users > 0 || e.until.is_none_or(|until| until > now));
        }
    }
}
