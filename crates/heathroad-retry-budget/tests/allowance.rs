//! Tests of allowance accounting: with splitting, lost reports, retries and hedging, a call chain
//! never sends more retries than were issued at its entry.

use heathroad_retry_budget::allowance::{Allowance, Issuer};
use heathroad_retry_budget::wire::RetriesSpent;

const TIERS: usize = 4;

/// A random call chain that counts the attempts of each tier.
struct Chain<'a> {
    rng: &'a mut fastrand::Rng,
    /// Probability that a call in the last tier fails.
    failure_probability: f64,
    /// Probability that a report is lost.
    loss_probability: f64,
    fan_out: usize,
    attempts: [u32; TIERS],
    /// Number of retries sent by all tiers.
    retries: u32,
}

impl Chain<'_> {
    /// Handles a request in a tier; returns whether it was served, and its report.
    fn request(&mut self, tier: usize, granted: u16) -> (bool, Option<RetriesSpent>) {
        let mut allowance = Allowance::new(granted);
        let mut served = false;
        loop {
            // Some attempts are hedged; the hedge counts as a retry.
            let copies = if self.rng.u8(..8) == 0 && allowance.try_spend() {
                2
            } else {
                1
            };
            self.retries += copies - 1;
            for _ in 0..copies {
                served |= self.attempt(tier, &mut allowance);
            }
            if served || !allowance.try_spend() {
                break;
            }
            self.retries += 1;
        }
        let stop = !served && self.rng.u8(..4) == 0;
        let reported =
            Some(allowance.retries_spent(stop)).filter(|_| self.rng.f64() >= self.loss_probability);
        (served, reported)
    }

    fn attempt(&mut self, tier: usize, allowance: &mut Allowance) -> bool {
        self.attempts[tier] += 1;
        if tier + 1 == TIERS {
            return self.rng.f64() >= self.failure_probability;
        }
        let mut all_served = true;
        // Parallel calls share the remaining retries.
        let delegations: Vec<_> = (0..self.fan_out)
            .map(|n| allowance.delegate(allowance.remaining() / (self.fan_out - n) as u16))
            .collect();
        for delegation in delegations {
            let (served, reported) = self.request(tier + 1, delegation.retries());
            all_served &= served;
            allowance.settle(delegation, reported);
        }
        all_served
    }
}

/// Covers parallel calls, lost reports, retries and hedged attempts.
#[test]
fn no_chain_creates_retries() {
    let (mut max_retries, mut total_retries) = (0, 0);
    for seed in 0..20_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let granted = rng.u16(..=6);
        let (failure_probability, loss_probability, fan_out) =
            (rng.f64(), rng.f64() * 0.5, 1 + rng.usize(..3));
        let mut chain = Chain {
            rng: &mut rng,
            failure_probability,
            loss_probability,
            fan_out,
            attempts: [0; TIERS],
            retries: 0,
        };
        chain.request(0, granted);
        assert!(
            chain.retries <= u32::from(granted),
            "seed {seed}: {} retries of {granted} granted",
            chain.retries
        );
        max_retries = max_retries.max(chain.retries);
        total_retries += chain.retries;
    }
    assert!(
        max_retries > 3 && total_retries > 10_000,
        "at most {max_retries} per chain, {total_retries} in total"
    );
}

/// With a retry ratio of 0.1, no tier receives more than 1.2 times the first attempts.
#[test]
fn a_chain_whose_last_tier_is_down_sends_few_retries() {
    const REQUESTS: u32 = 10_000;
    let mut rng = fastrand::Rng::with_seed(1);
    let mut issuer = Issuer::new(0.1, 20.0);
    let mut chain = Chain {
        rng: &mut rng,
        failure_probability: 1.0,
        loss_probability: 0.1,
        fan_out: 1,
        attempts: [0; TIERS],
        retries: 0,
    };
    for _ in 0..REQUESTS {
        let allowance = issuer.issue(5);
        chain.request(0, allowance.remaining());
    }
    for (tier, attempts) in chain.attempts.iter().enumerate() {
        let multiple = f64::from(*attempts) / f64::from(REQUESTS);
        assert!((1.0..=1.2).contains(&multiple), "tier {tier}: {multiple}");
    }
}

#[test]
fn unspent_retries_are_issued_again() {
    let mut issuer = Issuer::new(0.1, 3.0);
    let first = issuer.issue(5);
    assert_eq!(first.remaining(), 3);
    assert_eq!(
        issuer.issue(5).remaining(),
        0,
        "all available retries are outstanding"
    );
    issuer.reclaim(first);
    assert_eq!(issuer.issue(5).remaining(), 3);
    assert_eq!(Issuer::new(f64::NAN, -1.0).issue(5).remaining(), 0);
}

#[test]
fn a_stop_report_is_passed_up() {
    let mut allowance = Allowance::new(3);
    let delegation = allowance.delegate(2);
    allowance.settle(
        delegation,
        Some(RetriesSpent {
            retries: 1,
            stop: true,
        }),
    );
    assert_eq!((allowance.remaining(), allowance.try_spend()), (2, false));
    assert_eq!(
        allowance.retries_spent(false),
        RetriesSpent {
            retries: 1,
            stop: true
        }
    );
    // Without a report, or with one above the delegation, all delegated retries count as spent.
    for reported in [
        Some(RetriesSpent {
            retries: 60,
            stop: false,
        }),
        None,
    ] {
        let mut allowance = Allowance::new(3);
        let delegation = allowance.delegate(5);
        allowance.settle(delegation, reported);
        assert_eq!(allowance.remaining(), 0);
    }
}
