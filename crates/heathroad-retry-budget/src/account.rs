//! Attempts beyond the first, as an account: granted where a request enters the chain, spent by
//! whoever sends again, lent to the tier below and given back. Each operation moves attempts or
//! loses them; none makes any.

use crate::wire::{MAX_ATTEMPTS, Spent};

/// Grants attempts as a share of first tries, over all tiers: what a chain sends again is bounded
/// where it begins. What is granted and not yet known to be spent is set aside by the part that
/// lately was: in the calm, when next to nothing is spent, every request may have some; in an
/// outage, when all is, no more than there is.
#[derive(Debug, Clone)]
pub struct Grants {
    share: f64,
    depth: f64,
    tokens: f64,
    /// Granted to requests that are still here.
    out: f64,
    /// The part of what was granted that was spent lately.
    part: f64,
}

/// Weight of one request in that part.
const STEP: f64 = 0.05;

impl Grants {
    /// So many attempts for each first try, in the long run, and so many at once; both are 0 at the
    /// least.
    pub fn new(share: f64, depth: f64) -> Grants {
        let sound = |x: f64| if x.is_finite() { x.max(0.0) } else { 0.0 };
        Grants {
            share: sound(share),
            depth: sound(depth),
            tokens: sound(depth),
            out: 0.0,
            part: 1.0,
        }
    }

    /// A first try enters: it is granted what it asks for, as far as there is any.
    pub fn enter(&mut self, want: u16) -> Account {
        self.tokens = (self.tokens + self.share).min(self.depth.max(1.0));
        let free = (self.tokens - self.out * self.part).max(0.0);
        let granted = want.min(MAX_ATTEMPTS).min(free as u16);
        self.out += f64::from(granted);
        Account::new(granted)
    }

    /// A request is over: what it spent is gone.
    pub fn leave(&mut self, account: Account) {
        let (granted, spent) = (
            f64::from(account.granted),
            f64::from(account.granted - account.left),
        );
        self.out = (self.out - granted).max(0.0);
        self.tokens -= spent;
        if granted > 0.0 {
            self.part += (spent / granted - self.part) * STEP;
        }
    }
}

/// What one request may still send again, here and below.
#[derive(Debug, PartialEq, Eq)]
pub struct Account {
    granted: u16,
    left: u16,
    stop: bool,
}

/// What a call below may spend. It can't be copied: it is settled once, or lost.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a loan that is not settled is spent"]
pub struct Loan(u16);

impl Loan {
    /// How many attempts it holds.
    pub fn attempts(&self) -> u16 {
        self.0
    }
}

impl Account {
    /// With so many attempts.
    pub fn new(granted: u16) -> Account {
        let granted = granted.min(MAX_ATTEMPTS);
        Account {
            granted,
            left: granted,
            stop: false,
        }
    }

    /// What is left.
    pub fn left(&self) -> u16 {
        self.left
    }

    /// What may still go out from here: nothing once a tier below has said that no further try can
    /// help.
    pub fn usable(&self) -> u16 {
        if self.stop { 0 } else { self.left }
    }

    /// Whether a further try may go out from here: it takes one, unless a tier below has said that
    /// none can help.
    pub fn again(&mut self) -> bool {
        let may = self.left > 0 && !self.stop;
        self.left -= u16::from(may);
        may
    }

    /// Lends to a call below: all but one, which stays for the case that the call's server is lost
    /// with what it was lent; the last one goes down too, where it repeats the least.
    pub fn lend_most(&mut self) -> Loan {
        self.lend(if self.left > 1 {
            self.left - 1
        } else {
            self.left
        })
    }

    /// Lends a part to a call below. The nearer to what fails, the more a further try can help, and
    /// the less it repeats: a single call is lent all; parallel ones share.
    pub fn lend(&mut self, most: u16) -> Loan {
        let lent = most.min(self.left);
        self.left -= lent;
        Loan(lent)
    }

    /// A call below has ended. What it did not spend comes back; where it said nothing, all was
    /// spent, and where it says that it spent more than it had, too.
    pub fn settle(&mut self, loan: Loan, told: Option<Spent>) {
        let spent = told.map_or(loan.0, |s| s.attempts.min(loan.0));
        self.left += loan.0 - spent;
        self.stop |= told.is_some_and(|s| s.stop);
    }

    /// What the tier above is told; `stop` where no further try can help.
    pub fn spent(&self, stop: bool) -> Spent {
        Spent {
            attempts: self.granted - self.left,
            stop: stop || self.stop,
        }
    }
}
