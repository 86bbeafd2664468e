//! Tests of the open allowances of several proxies in a chain: with shared, lost and forged
//! budgets, no more retries are sent than were granted at the chain's entry.

use heathroad_retry_budget::allowance::Delegation;
use heathroad_retry_budget::loop_detection::{Rejection, RequestFingerprint};
use heathroad_retry_budget::open_allowances::{Config, OpenAllowances};
use heathroad_retry_budget::request::{BudgetClaim, OpenRequest};
use heathroad_retry_budget::wire::{Budget, MalformedHeader, ProxyPath, RetriesSpent};

const UNTRACKED: RequestFingerprint = RequestFingerprint {
    key: 0,
    class: 0,
    tenant: 0,
};

fn config(name: &str, delegates: bool) -> Config {
    Config {
        proxy_name: name.into(),
        max_retries: 3,
        retry_ratio: 0.1,
        burst: 20.0,
        max_hops: 8,
        reentries: 0,
        max_identical: 4,
        delegates,
    }
}

/// The claim of an untrusted client without a budget.
fn untrusted() -> BudgetClaim {
    BudgetClaim {
        budget: Ok(None),
        path: Ok(ProxyPath::default()),
        from_trusted_peer: false,
    }
}

fn trusted(budget: Budget, path: &ProxyPath) -> BudgetClaim {
    BudgetClaim {
        budget: Ok(Some(budget)),
        path: Ok(path.clone()),
        from_trusted_peer: true,
    }
}

struct Chain<'a> {
    tiers: Vec<OpenAllowances>,
    rng: &'a mut fastrand::Rng,
    failure_probability: f64,
    loss_probability: f64,
    attempts: Vec<u64>,
    retries: u64,
    now: u64,
}

impl Chain<'_> {
    /// Handles a request in a tier as a proxy does; returns whether it was served, and its report.
    fn request(&mut self, tier: usize, claim: BudgetClaim) -> (bool, Option<RetriesSpent>) {
        let request = self.tiers[tier]
            .admit(self.now, claim, UNTRACKED, 1_000)
            .expect("no loop");
        let (mut served, mut first) = (false, true);
        while first || !served && self.tiers[tier].try_retry(&request) {
            self.retries += u64::from(!first);
            first = false;
            self.attempts[tier] += 1;
            let (delegation, budget) = self.tiers[tier].delegate(&request);
            let path = request.path().clone();
            let (is_served, reported) = self.backend_call(tier, budget, &path);
            served = is_served;
            self.tiers[tier].settle(&request, delegation, reported, false);
        }
        let reported = self.tiers[tier]
            .retries_spent(&request, !served)
            .filter(|_| self.rng.f64() >= self.loss_probability);
        self.tiers[tier].close(self.now, request);
        (served, reported)
    }

    /// Handles a call as a backend of the tier: it makes one or two downstream calls with a copy of
    /// the budget and returns the last report.
    fn backend_call(
        &mut self,
        tier: usize,
        budget: Budget,
        path: &ProxyPath,
    ) -> (bool, Option<RetriesSpent>) {
        if tier + 1 == self.tiers.len() {
            return (self.rng.f64() >= self.failure_probability, None);
        }
        let (mut all_served, mut last_report) = (true, None);
        for _ in 0..1 + self.rng.usize(..2) {
            let (is_served, reported) = self.request(tier + 1, trusted(budget, path));
            all_served &= is_served;
            last_report = reported;
        }
        (all_served, last_report)
    }
}

fn chain<'a>(
    rng: &'a mut fastrand::Rng,
    failure_probability: f64,
    loss_probability: f64,
) -> Chain<'a> {
    let tier = |n: usize| OpenAllowances::new(config(&format!("t{n}"), n < 2), n as u64);
    Chain {
        tiers: (0..3).map(tier).collect(),
        rng,
        failure_probability,
        loss_probability,
        attempts: vec![0; 3],
        retries: 0,
        now: 0,
    }
}

#[test]
fn no_chain_of_proxies_creates_retries() {
    let mut max_retries = 0;
    for seed in 0..2_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (failure_probability, loss_probability) = (rng.f64(), rng.f64() * 0.5);
        let mut chain = chain(&mut rng, failure_probability, loss_probability);
        for n in 1..=30u64 {
            chain.now += 100;
            chain.request(0, untrusted());
            let granted = chain.tiers[0].counters().retries_granted;
            assert!(
                chain.retries <= granted,
                "seed {seed}: {} of {granted}",
                chain.retries
            );
            // The burst, the retry ratio, and at most one grant of 3.
            assert!(
                chain.retries as f64 <= 20.0 + 0.1 * n as f64 + 3.0,
                "seed {seed}"
            );
        }
        max_retries = max_retries.max(chain.retries);
        chain.now += 10_000;
        for n in 0..3 {
            let claim = if n == 0 {
                untrusted()
            } else {
                trusted(budget(9), &ProxyPath::default())
            };
            let last = chain.tiers[n]
                .admit(chain.now, claim, UNTRACKED, 1)
                .expect("no loop");
            chain.tiers[n].close(chain.now + 10_000, last);
            assert!(
                chain.tiers[n].is_empty(),
                "seed {seed}: tier {n} keeps {}",
                chain.tiers[n].len()
            );
        }
    }
    assert!(max_retries > 15, "{max_retries}");
}

fn budget(delegation_id: u64) -> Budget {
    Budget {
        time_ms: 500,
        retries: 2,
        priority_weight: 400,
        hops: 4,
        delegation_id,
    }
}

/// With 100 requests open at once, first none needs a retry and then every one does.
#[test]
fn all_requests_are_granted_retries_until_an_outage_limits_them_to_the_ratio() {
    let mut allowances = OpenAllowances::new(config("a", false), 1);
    let run = |allowances: &mut OpenAllowances, rounds: usize, is_outage: bool| {
        let (mut granted, mut sent) = (0, 0);
        for round in 0..rounds {
            let requests: Vec<OpenRequest> = (0..100)
                .map(|_| {
                    allowances
                        .admit(round as u64, untrusted(), UNTRACKED, 1_000)
                        .expect("no loop")
                })
                .collect();
            for request in requests {
                granted += usize::from(allowances.remaining_retries(&request) > 0);
                while is_outage && allowances.try_retry(&request) {
                    sent += 1;
                }
                allowances.close(round as u64, request);
            }
        }
        (granted, sent)
    };
    run(&mut allowances, 20, false);
    let (granted, _) = run(&mut allowances, 20, false);
    assert_eq!(granted, 2_000, "every request is granted retries");
    let (_, transient) = run(&mut allowances, 1, true);
    assert!(
        transient <= 300,
        "3 retries for each request open at the start of the outage: {transient}"
    );
    let (_, sent) = run(&mut allowances, 200, true);
    assert!(
        sent <= 2_000 + 20,
        "a tenth of 20,000 first attempts: {sent}"
    );
    let (_, sent) = run(&mut allowances, 200, true);
    assert!(
        (1_500..=2_020).contains(&sent),
        "the ratio is granted again once the overdraft is repaid: {sent}"
    );
}

#[test]
fn calls_of_one_parent_share_its_delegation() {
    let mut allowances = OpenAllowances::new(config("b", false), 2);
    let admit = |allowances: &mut OpenAllowances, claim| {
        allowances
            .admit(0, claim, UNTRACKED, 1_000)
            .expect("no loop")
    };
    let one = admit(&mut allowances, trusted(budget(7), &ProxyPath::default()));
    let two = admit(&mut allowances, trusted(budget(7), &ProxyPath::default()));
    assert_eq!(
        (
            allowances.remaining_retries(&one),
            allowances.remaining_retries(&two)
        ),
        (2, 2)
    );
    assert!(allowances.try_retry(&one) && allowances.try_retry(&two));
    assert!(
        !allowances.try_retry(&one) && !allowances.try_retry(&two),
        "the delegation of two retries is spent"
    );
    assert_eq!(
        allowances.retries_spent(&two, false),
        Some(RetriesSpent {
            retries: 2,
            stop: false
        })
    );
    assert_eq!((one.time_limit_ms(), one.priority_weight()), (500, 0.4));
    allowances.close(0, one);
    allowances.close(0, two);
    // A later call within the time limit only gets the remaining retries.
    let late = admit(&mut allowances, trusted(budget(7), &ProxyPath::default()));
    assert!(!allowances.try_retry(&late));
    allowances.close(0, late);
    let after_expiry = allowances
        .admit(
            600,
            trusted(budget(7), &ProxyPath::default()),
            UNTRACKED,
            1_000,
        )
        .expect("no loop");
    assert!(
        allowances.try_retry(&after_expiry),
        "the id can be reused once its time limit has passed"
    );
    allowances.close(600, after_expiry);
    // An untrusted peer's delegation id and retries are ignored.
    let forged = BudgetClaim {
        from_trusted_peer: false,
        ..trusted(
            Budget {
                retries: 64,
                delegation_id: 7,
                ..budget(7)
            },
            &ProxyPath::default(),
        )
    };
    let request = admit(&mut allowances, forged);
    assert_eq!(
        allowances.remaining_retries(&request),
        3,
        "only the retries that this proxy grants"
    );
    assert_eq!(allowances.retries_spent(&request, true), None);
    allowances.close(0, request);
}

/// Delegated retries without a report count as spent; those of an attempt that was never sent are
/// returned.
#[test]
fn a_lost_server_loses_its_delegation() {
    let mut allowances = OpenAllowances::new(config("a", true), 3);
    let request = allowances
        .admit(0, untrusted(), UNTRACKED, 1_000)
        .expect("no loop");
    let (delegation, carried) = allowances.delegate(&request);
    assert_eq!(
        (
            delegation.retries(),
            carried.retries,
            allowances.remaining_retries(&request)
        ),
        (2, 2, 1)
    );
    allowances.settle(&request, delegation, None, true);
    assert_eq!(allowances.remaining_retries(&request), 3);
    let (delegation, _) = allowances.delegate(&request);
    allowances.settle(&request, delegation, None, false);
    assert_eq!(
        (
            allowances.remaining_retries(&request),
            allowances.counters().retries_lost
        ),
        (1, 2)
    );
    assert!(allowances.try_retry(&request) && !allowances.try_retry(&request));
    allowances.close(0, request);
    // After a stop report of the downstream tier, the remaining retries are unusable.
    let request = allowances
        .admit(0, untrusted(), UNTRACKED, 1_000)
        .expect("no loop");
    let (delegation, _): (Delegation, _) = allowances.delegate(&request);
    allowances.settle(
        &request,
        delegation,
        Some(RetriesSpent {
            retries: 1,
            stop: true,
        }),
        false,
    );
    assert_eq!(
        (
            allowances.remaining_retries(&request),
            allowances.try_retry(&request)
        ),
        (0, false)
    );
    allowances.close(0, request);
}

/// A tier that loses its state in a restart grants a delegated allowance again.
#[test]
fn a_restart_costs_at_most_one_delegation() {
    let mut sent = 0;
    for incarnation in 0..3 {
        let mut allowances = OpenAllowances::new(config("b", false), incarnation);
        for _ in 0..10 {
            let request = allowances
                .admit(0, trusted(budget(7), &ProxyPath::default()), UNTRACKED, 100)
                .expect("no loop");
            while allowances.try_retry(&request) {
                sent += 1;
            }
            allowances.close(0, request);
        }
    }
    assert_eq!(sent, 3 * 2);
}

#[test]
fn loops_are_detected_by_path_or_by_identical_requests() {
    let mut allowances = OpenAllowances::new(config("a", true), 4);
    let looped_path = ProxyPath::default().with("a").expect("valid name");
    let rejection = |allowances: &mut OpenAllowances, claim| {
        allowances
            .admit(0, claim, UNTRACKED, 100)
            .map(|request| allowances.close(0, request))
            .err()
    };
    assert_eq!(
        rejection(&mut allowances, trusted(budget(1), &looped_path)),
        Some(Rejection::Loop)
    );
    // A loop is also detected by the path of an untrusted peer.
    assert_eq!(
        rejection(
            &mut allowances,
            BudgetClaim {
                from_trusted_peer: false,
                ..trusted(budget(1), &looped_path)
            }
        ),
        Some(Rejection::Loop)
    );
    let without_hops = Budget {
        hops: 0,
        ..budget(1)
    };
    assert_eq!(
        rejection(
            &mut allowances,
            trusted(without_hops, &ProxyPath::default())
        ),
        Some(Rejection::TooManyHops)
    );
    let fingerprint = RequestFingerprint {
        key: 9,
        class: 1,
        tenant: 1,
    };
    let without_headers = || BudgetClaim {
        from_trusted_peer: true,
        ..untrusted()
    };
    let identical: Vec<OpenRequest> = (0..4)
        .map(|_| {
            allowances
                .admit(0, without_headers(), fingerprint, 100)
                .expect("four identical requests are allowed")
        })
        .collect();
    assert_eq!(
        allowances
            .admit(0, without_headers(), fingerprint, 100)
            .err(),
        Some(Rejection::Loop)
    );
    let another = allowances
        .admit(0, untrusted(), fingerprint, 100)
        .expect("untrusted clients may repeat requests");
    allowances.close(0, another);
    identical
        .into_iter()
        .for_each(|request| allowances.close(0, request));
    let again = allowances
        .admit(0, without_headers(), fingerprint, 100)
        .expect("the identical requests are closed");
    allowances.close(0, again);
    assert_eq!(
        (
            allowances.counters().loops,
            allowances.counters().too_many_hops
        ),
        (3, 1)
    );
    // A malformed header counts as absent.
    let malformed = BudgetClaim {
        budget: Err(MalformedHeader { expected: "x" }),
        path: Err(MalformedHeader { expected: "y" }),
        from_trusted_peer: true,
    };
    let request = allowances
        .admit(0, malformed, UNTRACKED, 100)
        .expect("admitted without a budget");
    assert_eq!(
        (
            allowances.counters().malformed_headers,
            allowances.remaining_retries(&request)
        ),
        (2, 3)
    );
    allowances.close(0, request);
}
