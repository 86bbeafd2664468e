//! The books of several proxies in a chain: whatever is split, shared, lost or forged, no more goes
//! out again than was granted where a request entered.

use heathroad_retry_budget::account::Loan;
use heathroad_retry_budget::ledger::{Ledger, Terms, Ticket, Told, Turned};
use heathroad_retry_budget::path::Mark;
use heathroad_retry_budget::wire::{Budget, Path, Spent, Spoilt};

const NOBODY: Mark = Mark {
    key: 0,
    class: 0,
    tenant: 0,
};

fn terms(name: &str, lends: bool) -> Terms {
    Terms {
        name: name.into(),
        attempts: 3,
        share: 0.1,
        depth: 20.0,
        hops: 8,
        reentries: 0,
        same: 4,
        lends,
    }
}

fn outside() -> Told {
    Told {
        budget: Ok(None),
        path: Ok(Path::default()),
        inner: false,
    }
}

fn inside(budget: Budget, path: &Path) -> Told {
    Told {
        budget: Ok(Some(budget)),
        path: Ok(path.clone()),
        inner: true,
    }
}

struct Chain<'a> {
    tiers: Vec<Ledger>,
    rng: &'a mut fastrand::Rng,
    ill: f64,
    lost: f64,
    attempts: Vec<u64>,
    again: u64,
    now: u64,
}

impl Chain<'_> {
    /// One request at a tier, as a proxy handles it: whether it was served, and what it tells.
    fn request(&mut self, tier: usize, told: Told) -> (bool, Option<Spent>) {
        let ticket = self.tiers[tier]
            .enter(self.now, told, NOBODY, 1_000)
            .expect("no loop");
        let (mut served, mut first) = (false, true);
        while first || !served && self.tiers[tier].again(&ticket) {
            self.again += u64::from(!first);
            first = false;
            self.attempts[tier] += 1;
            let (loan, budget) = self.tiers[tier].lend(&ticket);
            let path = ticket.path().clone();
            let (ok, told) = self.below(tier, budget, &path);
            served = ok;
            self.tiers[tier].settle(&ticket, loan, told, false);
        }
        let told = self.tiers[tier]
            .spent(&ticket, !served)
            .filter(|_| self.rng.f64() >= self.lost);
        self.tiers[tier].leave(self.now, ticket);
        (served, told)
    }

    /// A server of the tier: it makes a call or two below, copying what it was told, and passes on
    /// the last it hears.
    fn below(&mut self, tier: usize, budget: Budget, path: &Path) -> (bool, Option<Spent>) {
        if tier + 1 == self.tiers.len() {
            return (self.rng.f64() >= self.ill, None);
        }
        let (mut all, mut last) = (true, None);
        for _ in 0..1 + self.rng.usize(..2) {
            let (ok, told) = self.request(tier + 1, inside(budget, path));
            all &= ok;
            last = told;
        }
        (all, last)
    }
}

fn chain<'a>(rng: &'a mut fastrand::Rng, ill: f64, lost: f64) -> Chain<'a> {
    let tier = |n: usize| Ledger::new(terms(&format!("t{n}"), n < 2), n as u64);
    Chain {
        tiers: (0..3).map(tier).collect(),
        rng,
        ill,
        lost,
        attempts: vec![0; 3],
        again: 0,
        now: 0,
    }
}

#[test]
fn no_chain_of_books_creates_attempts() {
    let mut most = 0;
    for seed in 0..2_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (ill, lost) = (rng.f64(), rng.f64() * 0.5);
        let mut chain = chain(&mut rng, ill, lost);
        for n in 1..=30u64 {
            chain.now += 100;
            chain.request(0, outside());
            let granted = chain.tiers[0].figures().granted;
            assert!(
                chain.again <= granted,
                "seed {seed}: {} of {granted}",
                chain.again
            );
            // The long-run share and what a calm had saved up.
            assert!(
                chain.again as f64 <= 20.0 + 0.1 * n as f64 + 3.0,
                "seed {seed}"
            );
        }
        most = most.max(chain.again);
        chain.now += 10_000;
        for n in 0..3 {
            let told = if n == 0 {
                outside()
            } else {
                inside(budget(9), &Path::default())
            };
            let last = chain.tiers[n]
                .enter(chain.now, told, NOBODY, 1)
                .expect("no loop");
            chain.tiers[n].leave(chain.now + 10_000, last);
            assert!(
                chain.tiers[n].is_empty(),
                "seed {seed}: tier {n} keeps {}",
                chain.tiers[n].len()
            );
        }
    }
    assert!(most > 15, "{most}");
}

fn budget(loan: u64) -> Budget {
    Budget {
        time_ms: 500,
        attempts: 2,
        worth: 400,
        hops: 4,
        loan,
    }
}

/// A hundred requests at once, none of which needs a further attempt, and then none of which does
/// without.
#[test]
fn in_the_calm_all_may_and_in_an_outage_only_the_share() {
    let mut books = Ledger::new(terms("a", false), 1);
    let run = |books: &mut Ledger, rounds: usize, needed: bool| {
        let (mut may, mut sent) = (0, 0);
        for round in 0..rounds {
            let tickets: Vec<Ticket> = (0..100)
                .map(|_| {
                    books
                        .enter(round as u64, outside(), NOBODY, 1_000)
                        .expect("no loop")
                })
                .collect();
            for ticket in tickets {
                may += usize::from(books.left(&ticket) > 0);
                while needed && books.again(&ticket) {
                    sent += 1;
                }
                books.leave(round as u64, ticket);
            }
        }
        (may, sent)
    };
    run(&mut books, 20, false);
    let (may, _) = run(&mut books, 20, false);
    assert_eq!(may, 2_000, "each could be helped");
    let (_, transient) = run(&mut books, 1, true);
    assert!(
        transient <= 300,
        "what was in flight when it began: {transient}"
    );
    let (_, sent) = run(&mut books, 200, true);
    assert!(sent <= 2_000 + 20, "a tenth of 20,000 first tries: {sent}");
    let (_, sent) = run(&mut books, 200, true);
    assert!(
        (1_500..=2_020).contains(&sent),
        "and no less, once what was overdrawn is paid back: {sent}"
    );
}

#[test]
fn calls_of_one_parent_share_what_it_was_lent() {
    let mut books = Ledger::new(terms("b", false), 2);
    let enter = |books: &mut Ledger, told| books.enter(0, told, NOBODY, 1_000).expect("no loop");
    let one = enter(&mut books, inside(budget(7), &Path::default()));
    let two = enter(&mut books, inside(budget(7), &Path::default()));
    assert_eq!((books.left(&one), books.left(&two)), (2, 2));
    assert!(books.again(&one) && books.again(&two));
    assert!(
        !books.again(&one) && !books.again(&two),
        "between them they had two"
    );
    assert_eq!(
        books.spent(&two, false),
        Some(Spent {
            attempts: 2,
            stop: false
        })
    );
    assert_eq!((one.time_ms(), one.worth()), (500, 0.4));
    books.leave(0, one);
    books.leave(0, two);
    // A call that comes later, in time, finds what is left.
    let late = enter(&mut books, inside(budget(7), &Path::default()));
    assert!(!books.again(&late));
    books.leave(0, late);
    let over = books
        .enter(600, inside(budget(7), &Path::default()), NOBODY, 1_000)
        .expect("no loop");
    assert!(
        books.again(&over),
        "its number may come again once its time is over"
    );
    books.leave(600, over);
    // From outside a number is nobody's, and neither is what it claims.
    let forged = Told {
        inner: false,
        ..inside(
            Budget {
                attempts: 64,
                loan: 7,
                ..budget(7)
            },
            &Path::default(),
        )
    };
    let ticket = enter(&mut books, forged);
    assert_eq!(books.left(&ticket), 3, "what this proxy grants and no more");
    assert_eq!(books.spent(&ticket, true), None);
    books.leave(0, ticket);
}

/// What is lent and not heard of is spent, but for the one that was kept; what was never sent comes
/// back whole.
#[test]
fn a_server_that_is_lost_takes_its_loan_along() {
    let mut books = Ledger::new(terms("a", true), 3);
    let ticket = books.enter(0, outside(), NOBODY, 1_000).expect("no loop");
    let (loan, told) = books.lend(&ticket);
    assert_eq!(
        (loan.attempts(), told.attempts, books.left(&ticket)),
        (2, 2, 1)
    );
    books.settle(&ticket, loan, None, true);
    assert_eq!(books.left(&ticket), 3);
    let (loan, _) = books.lend(&ticket);
    books.settle(&ticket, loan, None, false);
    assert_eq!((books.left(&ticket), books.figures().lost), (1, 2));
    assert!(books.again(&ticket) && !books.again(&ticket));
    books.leave(0, ticket);
    // A tier below that could not help says so, and what is left is of no use.
    let ticket = books.enter(0, outside(), NOBODY, 1_000).expect("no loop");
    let (loan, _): (Loan, _) = books.lend(&ticket);
    books.settle(
        &ticket,
        loan,
        Some(Spent {
            attempts: 1,
            stop: true,
        }),
        false,
    );
    assert_eq!((books.left(&ticket), books.again(&ticket)), (0, false));
    books.leave(0, ticket);
}

/// A tier that forgets by a restart opens the account of a loan anew: once more than was lent for
/// each restart, and no more.
#[test]
fn a_restart_costs_one_loan_at_the_most() {
    let mut sent = 0;
    for life in 0..3 {
        let mut books = Ledger::new(terms("b", false), life);
        for _ in 0..10 {
            let ticket = books
                .enter(0, inside(budget(7), &Path::default()), NOBODY, 100)
                .expect("no loop");
            while books.again(&ticket) {
                sent += 1;
            }
            books.leave(0, ticket);
        }
    }
    assert_eq!(sent, 3 * 2);
}

#[test]
fn loops_are_found_by_path_and_without_one_by_the_heap() {
    let mut books = Ledger::new(terms("a", true), 4);
    let here = Path::default().with("a").expect("a name");
    let turned = |books: &mut Ledger, told| {
        books
            .enter(0, told, NOBODY, 100)
            .map(|t| books.leave(0, t))
            .err()
    };
    assert_eq!(
        turned(&mut books, inside(budget(1), &here)),
        Some(Turned::Loop)
    );
    // From outside too: who names this proxy in a path has passed it, or wants to be turned down.
    assert_eq!(
        turned(
            &mut books,
            Told {
                inner: false,
                ..inside(budget(1), &here)
            }
        ),
        Some(Turned::Loop)
    );
    let spent = Budget {
        hops: 0,
        ..budget(1)
    };
    assert_eq!(
        turned(&mut books, inside(spent, &Path::default())),
        Some(Turned::TooFar)
    );
    let mark = Mark {
        key: 9,
        class: 1,
        tenant: 1,
    };
    let stripped = || Told {
        inner: true,
        ..outside()
    };
    let held: Vec<Ticket> = (0..4)
        .map(|_| books.enter(0, stripped(), mark, 100).expect("four may"))
        .collect();
    assert_eq!(
        books.enter(0, stripped(), mark, 100).err(),
        Some(Turned::Loop)
    );
    let another = books
        .enter(0, outside(), mark, 100)
        .expect("a caller outside may repeat what it likes");
    books.leave(0, another);
    held.into_iter().for_each(|t| books.leave(0, t));
    let again = books
        .enter(0, stripped(), mark, 100)
        .expect("they are gone");
    books.leave(0, again);
    assert_eq!((books.figures().loops, books.figures().too_far), (3, 1));
    // What can't be read counts as absent.
    let spoilt = Told {
        budget: Err(Spoilt("x")),
        path: Err(Spoilt("y")),
        inner: true,
    };
    let ticket = books
        .enter(0, spoilt, NOBODY, 100)
        .expect("as if it had none");
    assert_eq!((books.figures().spoilt, books.left(&ticket)), (2, 3));
    books.leave(0, ticket);
}
