//! The open allowances of several proxies in a chain: whatever is split, shared, lost or forged, no
//! more retries are sent than were granted where a request entered.

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

fn outside() -> BudgetClaim {
    BudgetClaim {
        budget: Ok(None),
        path: Ok(ProxyPath::default()),
        from_trusted_peer: false,
    }
}

fn inside(budget: Budget, path: &ProxyPath) -> BudgetClaim {
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
    /// Carries out a request at a tier as a proxy does; returns whether it was served, and its
    /// report.
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
            let (ok, reported) = self.below(tier, budget, &path);
            served = ok;
            self.tiers[tier].settle(&request, delegation, reported, false);
        }
        let reported = self.tiers[tier]
            .retries_spent(&request, !served)
            .filter(|_| self.rng.f64() >= self.loss_probability);
        self.tiers[tier].close(self.now, request);
        (served, reported)
    }

    /// Acts as a server of the tier: it makes a call or two below, copies the budget, and passes on
    /// the last report.
    fn below(
        &mut self,
        tier: usize,
        budget: Budget,
        path: &ProxyPath,
    ) -> (bool, Option<RetriesSpent>) {
        if tier + 1 == self.tiers.len() {
            return (self.rng.f64() >= self.failure_probability, None);
        }
        let (mut all, mut last) = (true, None);
        for _ in 0..1 + self.rng.usize(..2) {
            let (ok, reported) = self.request(tier + 1, inside(budget, path));
            all &= ok;
            last = reported;
        }
        (all, last)
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
    let mut most = 0;
    for seed in 0..2_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (failure_probability, loss_probability) = (rng.f64(), rng.f64() * 0.5);
        let mut chain = chain(&mut rng, failure_probability, loss_probability);
        for n in 1..=30u64 {
            chain.now += 100;
            chain.request(0, outside());
            let granted = chain.tiers[0].counters().retries_granted;
            assert!(
                chain.retries <= granted,
                "seed {seed}: {} of {granted}",
                chain.retries
            );
            // The long-run ratio and the burst that a calm period had saved up.
            assert!(
                chain.retries as f64 <= 20.0 + 0.1 * n as f64 + 3.0,
                "seed {seed}"
            );
        }
        most = most.max(chain.retries);
        chain.now += 10_000;
        for n in 0..3 {
            let claim = if n == 0 {
                outside()
            } else {
                inside(budget(9), &ProxyPath::default())
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
    assert!(most > 15, "{most}");
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

/// A hundred requests are open at once: first none needs a retry, and then every one does.
#[test]
fn a_calm_period_grants_all_and_an_outage_only_the_ratio() {
    let mut allowances = OpenAllowances::new(config("a", false), 1);
    let run = |allowances: &mut OpenAllowances, rounds: usize, needed: bool| {
        let (mut may, mut sent) = (0, 0);
        for round in 0..rounds {
            let requests: Vec<OpenRequest> = (0..100)
                .map(|_| {
                    allowances
                        .admit(round as u64, outside(), UNTRACKED, 1_000)
                        .expect("no loop")
                })
                .collect();
            for request in requests {
                may += usize::from(allowances.remaining_retries(&request) > 0);
                while needed && allowances.try_retry(&request) {
                    sent += 1;
                }
                allowances.close(round as u64, request);
            }
        }
        (may, sent)
    };
    run(&mut allowances, 20, false);
    let (may, _) = run(&mut allowances, 20, false);
    assert_eq!(may, 2_000, "each could be helped");
    let (_, transient) = run(&mut allowances, 1, true);
    assert!(
        transient <= 300,
        "what was in flight when it began: {transient}"
    );
    let (_, sent) = run(&mut allowances, 200, true);
    assert!(sent <= 2_000 + 20, "a tenth of 20,000 first tries: {sent}");
    let (_, sent) = run(&mut allowances, 200, true);
    assert!(
        (1_500..=2_020).contains(&sent),
        "and no less, once what was overdrawn is paid back: {sent}"
    );
}

#[test]
fn calls_of_one_parent_share_its_delegation() {
    let mut allowances = OpenAllowances::new(config("b", false), 2);
    let admit = |allowances: &mut OpenAllowances, told| {
        allowances
            .admit(0, told, UNTRACKED, 1_000)
            .expect("no loop")
    };
    let one = admit(&mut allowances, inside(budget(7), &ProxyPath::default()));
    let two = admit(&mut allowances, inside(budget(7), &ProxyPath::default()));
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
        "between them they had two"
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
    // A call that comes later, in time, finds what remains.
    let late = admit(&mut allowances, inside(budget(7), &ProxyPath::default()));
    assert!(!allowances.try_retry(&late));
    allowances.close(0, late);
    let over = allowances
        .admit(
            600,
            inside(budget(7), &ProxyPath::default()),
            UNTRACKED,
            1_000,
        )
        .expect("no loop");
    assert!(
        allowances.try_retry(&over),
        "its id may be used again once its time is over"
    );
    allowances.close(600, over);
    // The id and the retries that an untrusted peer claims do not count.
    let forged = BudgetClaim {
        from_trusted_peer: false,
        ..inside(
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
        "what this proxy grants and no more"
    );
    assert_eq!(allowances.retries_spent(&request, true), None);
    allowances.close(0, request);
}

/// Delegated retries without a report are spent, but for the one that was kept; those of an attempt
/// that was never sent come back.
#[test]
fn a_lost_server_loses_its_delegation() {
    let mut allowances = OpenAllowances::new(config("a", true), 3);
    let request = allowances
        .admit(0, outside(), UNTRACKED, 1_000)
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
    // A tier below that could not help says so, and what is left is of no use.
    let request = allowances
        .admit(0, outside(), UNTRACKED, 1_000)
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

/// A tier that forgets by a restart opens a delegated allowance anew, once for each restart.
#[test]
fn a_restart_costs_one_delegation_at_most() {
    let mut sent = 0;
    for incarnation in 0..3 {
        let mut allowances = OpenAllowances::new(config("b", false), incarnation);
        for _ in 0..10 {
            let request = allowances
                .admit(0, inside(budget(7), &ProxyPath::default()), UNTRACKED, 100)
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
fn loops_are_found_by_path_and_without_one_by_identical_requests() {
    let mut allowances = OpenAllowances::new(config("a", true), 4);
    let here = ProxyPath::default().with("a").expect("a name");
    let rejection = |allowances: &mut OpenAllowances, told| {
        allowances
            .admit(0, told, UNTRACKED, 100)
            .map(|t| allowances.close(0, t))
            .err()
    };
    assert_eq!(
        rejection(&mut allowances, inside(budget(1), &here)),
        Some(Rejection::Loop)
    );
    // A path from an untrusted peer counts too.
    assert_eq!(
        rejection(
            &mut allowances,
            BudgetClaim {
                from_trusted_peer: false,
                ..inside(budget(1), &here)
            }
        ),
        Some(Rejection::Loop)
    );
    let spent = Budget {
        hops: 0,
        ..budget(1)
    };
    assert_eq!(
        rejection(&mut allowances, inside(spent, &ProxyPath::default())),
        Some(Rejection::TooManyHops)
    );
    let fingerprint = RequestFingerprint {
        key: 9,
        class: 1,
        tenant: 1,
    };
    let stripped = || BudgetClaim {
        from_trusted_peer: true,
        ..outside()
    };
    let identical: Vec<OpenRequest> = (0..4)
        .map(|_| {
            allowances
                .admit(0, stripped(), fingerprint, 100)
                .expect("four may")
        })
        .collect();
    assert_eq!(
        allowances.admit(0, stripped(), fingerprint, 100).err(),
        Some(Rejection::Loop)
    );
    let another = allowances
        .admit(0, outside(), fingerprint, 100)
        .expect("a caller outside may repeat what it likes");
    allowances.close(0, another);
    identical.into_iter().for_each(|t| allowances.close(0, t));
    let again = allowances
        .admit(0, stripped(), fingerprint, 100)
        .expect("they are closed");
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
        .expect("as if it had none");
    assert_eq!(
        (
            allowances.counters().malformed_headers,
            allowances.remaining_retries(&request)
        ),
        (2, 3)
    );
    allowances.close(0, request);
}
