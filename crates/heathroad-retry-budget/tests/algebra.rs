//! The algebra: whatever is split, lost, repeated or hedged, a chain sends no more again than was
//! granted where it begins.

use heathroad_retry_budget::account::{Account, Grants};
use heathroad_retry_budget::path::{Held, Mark, Way, enter};
use heathroad_retry_budget::wire::{Path, Spent};

const TIERS: usize = 4;

/// A chain at random: what calls of each tier do, and how many attempts each tier has seen.
struct Chain<'a> {
    rng: &'a mut fastrand::Rng,
    /// Odds that a call of the last tier fails.
    ill: f64,
    /// Odds that an answer gets lost with what it told, and that a tier is an old one that tells
    /// nothing.
    lost: f64,
    fan: usize,
    attempts: [u32; TIERS],
    /// Sent again by a tier itself.
    again: u32,
}

impl Chain<'_> {
    /// A request at a tier that may spend so much; whether it was served, and what it tells.
    fn request(&mut self, tier: usize, granted: u16) -> (bool, Option<Spent>) {
        let mut account = Account::new(granted);
        let mut served = false;
        loop {
            // An attempt, and beside it now and then a hedge, which is one like any other.
            let hedges = if self.rng.u8(..8) == 0 && account.again() {
                2
            } else {
                1
            };
            self.again += hedges - 1;
            for _ in 0..hedges {
                served |= self.attempt(tier, &mut account);
            }
            if served || !account.again() {
                break;
            }
            self.again += 1;
        }
        let stop = !served && self.rng.u8(..4) == 0;
        let told = Some(account.spent(stop)).filter(|_| self.rng.f64() >= self.lost);
        (served, told)
    }

    fn attempt(&mut self, tier: usize, account: &mut Account) -> bool {
        self.attempts[tier] += 1;
        if tier + 1 == TIERS {
            return self.rng.f64() >= self.ill;
        }
        let mut all = true;
        // Parallel calls of one parent share what is left.
        let loans: Vec<_> = (0..self.fan)
            .map(|n| account.lend(account.left() / (self.fan - n) as u16))
            .collect();
        for loan in loans {
            let (served, told) = self.request(tier + 1, loan.attempts());
            all &= served;
            account.settle(loan, told);
        }
        all
    }
}

/// Splits among parallel calls, answers that get lost, tiers that tell nothing, repeats and hedges.
#[test]
fn no_path_creates_attempts() {
    let (mut most, mut used) = (0, 0);
    for seed in 0..20_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let granted = rng.u16(..=6);
        let (ill, lost, fan) = (rng.f64(), rng.f64() * 0.5, 1 + rng.usize(..3));
        let mut chain = Chain {
            rng: &mut rng,
            ill,
            lost,
            fan,
            attempts: [0; TIERS],
            again: 0,
        };
        chain.request(0, granted);
        assert!(
            chain.again <= u32::from(granted),
            "seed {seed}: {} sent again of {granted} granted",
            chain.again
        );
        most = most.max(chain.again);
        used += chain.again;
    }
    assert!(most > 3 && used > 10_000, "{most} {used}");
}

/// Over many requests through an honest chain whose end is wholly down: each tier sees no more than
/// 1.2 times its first tries, after the depth of the bucket is used up.
#[test]
fn a_chain_whose_end_is_down_sends_little_again() {
    const REQUESTS: u32 = 10_000;
    let mut rng = fastrand::Rng::with_seed(1);
    let mut grants = Grants::new(0.1, 20.0);
    let mut chain = Chain {
        rng: &mut rng,
        ill: 1.0,
        lost: 0.1,
        fan: 1,
        attempts: [0; TIERS],
        again: 0,
    };
    for _ in 0..REQUESTS {
        let account = grants.enter(5);
        chain.request(0, account.left());
    }
    for (tier, attempts) in chain.attempts.iter().enumerate() {
        let multiple = f64::from(*attempts) / f64::from(REQUESTS);
        assert!((1.0..=1.2).contains(&multiple), "tier {tier}: {multiple}");
    }
}

#[test]
fn what_was_not_needed_is_granted_again() {
    let mut grants = Grants::new(0.1, 3.0);
    let first = grants.enter(5);
    assert_eq!(first.left(), 3);
    assert_eq!(grants.enter(5).left(), 0, "nothing is left for the next");
    grants.leave(first);
    assert_eq!(grants.enter(5).left(), 3);
    assert_eq!(Grants::new(f64::NAN, -1.0).enter(5).left(), 0);
}

#[test]
fn a_stop_travels_up() {
    let mut account = Account::new(3);
    let loan = account.lend(2);
    account.settle(
        loan,
        Some(Spent {
            attempts: 1,
            stop: true,
        }),
    );
    assert_eq!((account.left(), account.again()), (2, false));
    assert_eq!(
        account.spent(false),
        Spent {
            attempts: 1,
            stop: true
        }
    );
    // What is told to be more than was lent, and what is not told, is all of it.
    for told in [
        Some(Spent {
            attempts: 60,
            stop: false,
        }),
        None,
    ] {
        let mut account = Account::new(3);
        let loan = account.lend(5);
        account.settle(loan, told);
        assert_eq!(account.left(), 0);
    }
}

#[test]
fn loops_of_any_length_end_and_honest_re_entries_do_not() {
    for length in [1, 2, 5] {
        let (mut path, mut passes) = (Path::default(), 0);
        let end = loop {
            let own = format!("proxy-{}", passes % length);
            match enter(&path, &own, 0, 32) {
                Way::On(next) => path = next,
                end => break end,
            }
            passes += 1;
        };
        assert_eq!((end, passes), (Way::Loop, length), "within one pass");
    }
    // A route that comes back once may, and not twice.
    let once = Path::default()
        .with("gate")
        .and_then(|p| p.with("policy"))
        .expect("names");
    assert!(matches!(enter(&once, "gate", 1, 8), Way::On(_)));
    let twice = once.with("gate").expect("a name");
    assert_eq!(enter(&twice, "gate", 1, 8), Way::Loop);
    assert_eq!(enter(&Path::default(), "gate", 0, 0), Way::TooFar);
}

#[test]
fn without_headers_a_loop_shows_by_what_is_held() {
    let (mut held, mark) = (
        Held::default(),
        Mark {
            key: 7,
            class: 1,
            tenant: 2,
        },
    );
    assert!(held.enter(mark, false, 0));
    assert!(held.enter(mark, false, 0), "its caller tries again");
    assert!(
        !held.enter(mark, true, 0),
        "from inside it is the same come round"
    );
    assert!(
        held.enter(Mark { key: 8, ..mark }, true, 0)
            && held.enter(Mark { tenant: 3, ..mark }, true, 0)
    );
    assert!(
        held.enter(Mark { key: 0, ..mark }, true, 0),
        "without a key nothing can be told"
    );
    held.leave(mark);
    held.leave(mark);
    assert!(held.enter(mark, true, 0), "it is held no more");
    assert!(
        held.enter(mark, true, 1) && !held.enter(mark, true, 1),
        "a route that comes back once"
    );
    for key in 10..300_000 {
        held.enter(Mark { key, ..mark }, false, 0);
    }
    assert!(held.len() <= 100_000);
}
