//! Budgets on real requests: headers in, the books, headers out. What is decided is decided in
//! `heathroad-retry-budget` and the module; here is who is inner, the clock, and that each ticket
//! is given back.

use heathroad_jsonrpc::message::Carried;
use heathroad_retry_budget::account::Loan;
use heathroad_retry_budget::ledger::{Figures, Ledger, Terms, Ticket, Told, Turned};
use heathroad_retry_budget::path::Mark;
use heathroad_retry_budget::wire::{Budget, MAX_ATTEMPTS, MAX_HOPS, Path, Spent, is_name};
use hyper::header::{HeaderMap, HeaderValue};
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// What a request may still spend.
pub const BUDGET: &str = "req-budget";
/// The proxies that it has passed.
pub const PATH: &str = "req-path";
/// What was spent below, with an answer.
pub const SPENT: &str = "req-spent";

/// The configuration file's `budget`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    name: String,
    #[serde(default)]
    inner: Vec<IpAddr>,
    #[serde(default = "attempts")]
    attempts: u16,
    #[serde(default = "share")]
    share: f64,
    #[serde(default = "depth")]
    depth: f64,
    #[serde(default = "hops")]
    hops: u8,
    #[serde(default)]
    reentries: usize,
    #[serde(default = "same")]
    same: usize,
    #[serde(default)]
    lends: bool,
    #[serde(default)]
    stops: bool,
}

fn attempts() -> u16 {
    2
}

fn share() -> f64 {
    0.2
}

fn depth() -> f64 {
    20.0
}

fn hops() -> u8 {
    8
}

fn same() -> usize {
    64
}

/// What a proxy keeps to, and which peers it takes at their word.
#[derive(Debug, Clone)]
pub struct Settings {
    terms: Terms,
    inner: BTreeSet<IpAddr>,
    stops: bool,
}

impl File {
    /// Checked; an error names the field.
    pub fn check(self) -> Result<Settings, String> {
        let File {
            name,
            inner,
            attempts,
            share,
            depth,
            hops,
            reentries,
            same,
            lends,
            stops,
        } = self;
        let wrong = [
            (
                !is_name(&name),
                "name: expected 1 to 32 letters, digits, `-`, `_` and `.`",
            ),
            (attempts > MAX_ATTEMPTS, "attempts: expected 64 at the most"),
            (
                !(0.0..=1.0).contains(&share),
                "share: expected a number from 0 to 1",
            ),
            (
                !(0.0..=1e6).contains(&depth),
                "depth: expected a number from 0 to 1000000",
            ),
            (
                !(1..=MAX_HOPS).contains(&hops),
                "hops: expected a number from 1 to 32",
            ),
            (
                reentries >= usize::from(MAX_HOPS),
                "reentries: expected a number below 32",
            ),
        ];
        if let Some((_, what)) = wrong.iter().find(|(bad, _)| *bad) {
            return Err(format!("budget: {what}"));
        }
        let terms = Terms {
            name,
            attempts,
            share,
            depth,
            hops,
            reentries,
            same,
            lends,
        };
        Ok(Settings {
            terms,
            inner: inner.into_iter().collect(),
            stops,
        })
    }
}

/// What a request over HTTP says of its budget.
pub fn told(headers: &HeaderMap, inner: bool) -> Told {
    let values = |name: &str| headers.get_all(name).iter().map(HeaderValue::as_bytes);
    Told {
        budget: Budget::read(values(BUDGET)),
        path: Path::read(values(PATH)),
        inner,
    }
}

/// What a call over JSON-RPC says of it.
pub fn told_in(carried: &Carried, inner: bool) -> Told {
    let budget = Budget::read(carried.budget.iter().map(|b| &b[..]));
    Told {
        budget,
        path: Path::read(carried.path.iter().map(|p| &p[..])),
        inner,
    }
}

/// The books of this proxy.
pub struct Books {
    ledger: RefCell<Ledger>,
    name: String,
    inner: BTreeSet<IpAddr>,
    stops: bool,
    start: Instant,
}

/// A request that is on the books, until it is dropped.
pub struct OnBooks {
    books: Rc<Books>,
    ticket: Option<Ticket>,
    path: Rc<str>,
}

/// What an attempt takes along and brings back.
pub struct Purse {
    budget: Budget,
    path: Rc<str>,
    spent: Cell<Option<Spent>>,
    stops: bool,
}

impl Books {
    /// Empty ones; two proxies should not share a seed.
    pub fn new(settings: &Settings, seed: u64) -> Rc<Books> {
        let Settings {
            terms,
            inner,
            stops,
        } = settings.clone();
        let name = terms.name.clone();
        let ledger = RefCell::new(Ledger::new(terms, seed));
        Rc::new(Books {
            ledger,
            name,
            inner,
            stops,
            start: Instant::now(),
        })
    }

    /// Whether a peer's word is taken.
    pub fn inner(&self, peer: IpAddr) -> bool {
        self.inner.contains(&peer.to_canonical())
    }

    /// What they say in figures.
    pub fn figures(&self) -> Figures {
        self.ledger.borrow().figures()
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// A request enters with what it told; why it is turned down, where it has come round.
    pub fn enter(
        self: &Rc<Self>,
        told: Told,
        mark: Mark,
        wait: Duration,
    ) -> Result<OnBooks, String> {
        let wait = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        let ticket = self.ledger.borrow_mut().enter(self.now(), told, mark, wait);
        let ticket = ticket.map_err(|turned| match turned {
            Turned::Loop => format!("loop: the request has passed {} before", self.name),
            Turned::TooFar => {
                format!(
                    "loop: the request has passed as many proxies as it may before {}",
                    self.name
                )
            }
        })?;
        let path = ticket.path().to_string().into();
        Ok(OnBooks {
            books: self.clone(),
            ticket: Some(ticket),
            path,
        })
    }
}

impl OnBooks {
    /// How long the request has at the most.
    pub fn time(&self) -> Duration {
        Duration::from_millis(self.ticket.as_ref().map_or(0, |t| u64::from(t.time_ms())))
    }

    /// Its worth, as a part of its class's.
    pub fn worth(&self) -> f64 {
        self.ticket.as_ref().map_or(1.0, Ticket::worth)
    }

    /// How many further attempts it has.
    pub fn left(&self) -> u32 {
        self.ticket
            .as_ref()
            .map_or(0, |t| u32::from(self.books.ledger.borrow().left(t)))
    }

    /// A further attempt goes out, if one may.
    pub fn again(&self) -> bool {
        self.ticket
            .as_ref()
            .is_some_and(|t| self.books.ledger.borrow_mut().again(t))
    }

    /// What an attempt takes along. Here it is held for such a part of its class's worth.
    pub fn lend(&self, worth: f64) -> Option<(Loan, Rc<Purse>)> {
        let ticket = self.ticket.as_ref()?;
        let (loan, budget) = self.books.ledger.borrow_mut().lend(ticket);
        // What came with less keeps that: it is not lowered twice.
        let worth = ((worth * 1000.0) as u16).min(budget.worth);
        let budget = Budget { worth, ..budget };
        let (path, spent) = (self.path.clone(), Cell::new(None));
        Some((
            loan,
            Rc::new(Purse {
                budget,
                path,
                spent,
                stops: self.books.stops,
            }),
        ))
    }

    /// An attempt ended; one that was never sent has spent nothing.
    pub fn settle(&self, loan: Loan, purse: &Purse, unsent: bool) {
        if let Some(ticket) = &self.ticket {
            self.books
                .ledger
                .borrow_mut()
                .settle(ticket, loan, purse.spent.get(), unsent);
        }
    }

    /// What the caller is told, where it asked by a budget.
    pub fn spent(&self, failed: bool) -> Option<Spent> {
        self.books
            .ledger
            .borrow()
            .spent(self.ticket.as_ref()?, failed)
    }
}

impl Drop for OnBooks {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            let now = self.books.now();
            self.books.ledger.borrow_mut().leave(now, ticket);
        }
    }
}

impl Purse {
    /// What the call is told: durations only, so that no clocks are compared; and the path.
    pub fn texts(&self, left: Duration) -> (String, &str) {
        let left = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
        let budget = Budget {
            time_ms: left.min(self.budget.time_ms),
            ..self.budget
        };
        (budget.to_string(), &self.path)
    }

    /// Whether a server stops what its caller has left: its connection is closed then, and so on
    /// down the chain.
    pub fn stops(&self) -> bool {
        self.stops
    }

    /// Writes it as headers.
    pub fn write(&self, headers: &mut HeaderMap, left: Duration) {
        let (budget, path) = self.texts(left);
        // Both are plain text.
        if let (Ok(budget), Ok(path)) = (HeaderValue::try_from(budget), HeaderValue::from_str(path))
        {
            headers.insert(BUDGET, budget);
            headers.insert(PATH, path);
        }
    }

    /// Reads what an answer over JSON-RPC tells.
    pub fn read_text(&self, spent: Option<&[u8]>) {
        self.spent
            .set(Spent::read(spent.into_iter()).unwrap_or(None));
    }

    /// Reads what was spent below; what can't be read counts as nothing told.
    pub fn read(&self, headers: &HeaderMap) {
        let values = headers.get_all(SPENT).iter().map(HeaderValue::as_bytes);
        self.spent.set(Spent::read(values).unwrap_or(None));
    }
}
