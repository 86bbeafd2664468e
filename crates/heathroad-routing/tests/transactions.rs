//! Transactions of configuration changes: tests of each step, and random histories of changes,
//! drains, backend restarts and crashes, in which the same invariants must always hold.

use heathroad_routing::backend_state::{Availability, BackendStates};
use heathroad_routing::config::BackendSource;
use heathroad_routing::generation::Generation;
use heathroad_routing::journal::{OpenTransaction, Record, RecoveredState};
use heathroad_routing::regression::PoolSample;
use heathroad_routing::transaction::{
    Action, Event, TransactionConfig, TransactionManager, TransactionReport,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

fn config() -> TransactionConfig {
    TransactionConfig {
        staging_timeout: 1_000,
        probation: 5_000,
        max_generations_in_use: 3,
        verify: false,
    }
}

fn open_transaction(number: u64, applied: bool) -> Option<OpenTransaction> {
    Some(OpenTransaction { number, applied })
}

/// Pools by name, with the ports of their backends.
type Pools<'a> = &'a [(&'a str, &'a [u16])];

/// Returns a configuration that splits all requests evenly among the pools.
fn text(pools: Pools<'_>) -> String {
    let mut text = String::new();
    for (name, ports) in pools {
        let backends: Vec<String> = ports
            .iter()
            .map(|port| format!("\"127.0.0.1:{port}\""))
            .collect();
        text += &format!(
            "[[pool]]\nname = \"{name}\"\nbackends = [{}]\n[[pool.class]]\nname = \"c\"\neffect = \"safe\"\n\
             aim_ms = 1\ndeadline_ms = 2\n",
            backends.join(", ")
        );
    }
    text += "[[route]]\nname = \"all\"\n";
    for (name, _) in pools {
        text += &format!("[[route.split]]\npool = \"{name}\"\nweight = 1\n");
    }
    text
}

fn generation(number: u64, pools: Pools<'_>) -> Rc<Generation> {
    Generation::parse(number, "test", &text(pools)).unwrap_or_else(|e| panic!("{e}"))
}

struct Fixture {
    manager: TransactionManager,
    actions: Vec<Action>,
}

impl Fixture {
    fn new(pools: Pools<'_>) -> Fixture {
        Fixture {
            manager: TransactionManager::new(config(), generation(1, pools), 1),
            actions: Vec::new(),
        }
    }

    /// Handles an event and returns the actions in a short form.
    fn handle(&mut self, now: u64, event: Event) -> Vec<String> {
        self.actions.clear();
        self.manager.handle(now, event, &mut self.actions);
        self.actions
            .iter()
            .map(|action| match action {
                Action::Persist(Record::Opened { number, .. }) => format!("open {number}"),
                Action::Persist(Record::Applied { number }) => format!("record applied {number}"),
                Action::Persist(Record::Committed { number, .. }) => format!("commit {number}"),
                Action::Persist(Record::Closed { number, .. }) => format!("close {number}"),
                Action::Stage {
                    generation: g,
                    pools,
                } => format!("stage {} {}", g.number, pools.join(" ")),
                Action::Verify(g) => format!("verify {}", g.number),
                Action::Apply(g) => format!("apply {}", g.number),
                Action::Retire(pools) => format!("retire {}", pools.join(" ")),
                Action::Report(report) => format!("{report:?}"),
            })
            .collect()
    }

    /// Reports a pool of the open transaction as ready.
    fn pool_ready(&mut self, now: u64, pool: &str) -> Vec<String> {
        let number = self
            .manager
            .open_transaction()
            .map_or(0, |open| open.number);
        self.handle(
            now,
            Event::PoolReady {
                number,
                pool: pool.into(),
            },
        )
    }

    fn propose(&mut self, now: u64, pools: Pools<'_>) -> Vec<String> {
        self.handle(now, Event::Propose(generation(0, pools)))
    }
}

#[test]
fn a_change_is_staged_applied_and_committed() {
    let mut s = Fixture::new(&[("a", &[1])]);
    let two: Pools<'_> = &[("a", &[1]), ("b", &[2])];
    assert_eq!(
        s.propose(0, two),
        ["open 2", "Staged { number: 2 }", "stage 2 b"]
    );
    assert_eq!(
        s.manager.current().number,
        1,
        "the change is not applied before all pools are ready"
    );
    assert_eq!(
        s.propose(1, &[("z", &[9])]),
        ["Busy { number: 2 }"],
        "only one transaction is open at a time"
    );
    assert_eq!(
        s.pool_ready(2, "a"),
        [""; 0],
        "the pool is not part of the change"
    );
    assert_eq!(
        s.pool_ready(10, "b"),
        ["record applied 2", "apply 2", "Applied { number: 2 }"]
    );
    assert_eq!(s.manager.open_transaction(), open_transaction(2, true));
    assert_eq!(s.handle(5_009, Event::Tick), [""; 0]);
    assert_eq!(
        s.handle(5_010, Event::Tick),
        ["commit 2", "Committed { number: 2 }"]
    );
    // A proposal with the same text changes nothing.
    assert_eq!(s.propose(6_000, two), ["Unchanged { number: 2 }"]);
    // A removed pool is retired on commit, not before.
    assert_eq!(
        s.propose(6_000, &[("b", &[2])]).last().expect("actions"),
        "Applied { number: 3 }"
    );
    assert_eq!(
        s.handle(11_000, Event::Tick),
        ["commit 3", "Committed { number: 3 }", "retire a"]
    );
}

#[test]
fn a_change_that_is_not_ready_in_time_is_aborted() {
    let mut s = Fixture::new(&[("a", &[1])]);
    s.propose(0, &[("b", &[2])]);
    assert_eq!(s.handle(999, Event::Tick), [""; 0]);
    let actions = s.handle(1_000, Event::Tick);
    assert_eq!(
        actions,
        [
            "close 2",
            "Aborted { number: 2, reason: \"not ready in time: b\" }",
            "retire b"
        ]
    );
    assert_eq!(
        (s.manager.current().number, s.manager.open_transaction()),
        (1, None)
    );
    assert_eq!(
        s.propose(1_001, &[("b", &[2])])[0],
        "open 3",
        "numbers are not reused"
    );
}

/// Verification starts when all pools are ready and has a timeout. A rejected change is aborted, and
/// a rollback is not verified.
#[test]
fn a_verified_change_waits_for_its_verdict() {
    let verified = |number, rejection: Option<&str>| Event::Verified {
        number,
        rejection: rejection.map(String::from),
    };
    let mut s = Fixture::new(&[("a", &[1])]);
    s.manager = TransactionManager::new(
        TransactionConfig {
            verify: true,
            ..config()
        },
        generation(1, &[("a", &[1])]),
        1,
    );
    let two: Pools<'_> = &[("a", &[1]), ("b", &[2])];
    s.propose(0, two);
    assert_eq!(
        s.handle(1, verified(2, None)),
        [""; 0],
        "verification was not requested"
    );
    assert_eq!(s.pool_ready(2, "b"), ["verify 2"]);
    assert_eq!(
        s.pool_ready(3, "b"),
        [""; 0],
        "verification is requested once"
    );
    assert_eq!(
        s.handle(4, verified(1, None)),
        [""; 0],
        "a verdict on another change"
    );
    let aborted = [
        "close 2",
        "Aborted { number: 2, reason: \"no\" }",
        "retire b",
    ];
    assert_eq!(s.handle(5, verified(2, Some("no"))), aborted);
    s.propose(10, two);
    s.pool_ready(11, "b");
    assert_eq!(
        s.handle(12, verified(3, None))[..2],
        ["record applied 3", "apply 3"]
    );
    assert_eq!(
        s.handle(13, verified(3, Some("late"))),
        [""; 0],
        "the change is already applied"
    );
    s.handle(9_000, Event::Tick);
    // The rollback of a committed change is not verified.
    let rollback = s.handle(
        9_001,
        Event::RollBack {
            reason: "requested".into(),
        },
    );
    assert!(rollback.contains(&"apply 4".to_string()), "{rollback:?}");
    s.handle(20_000, Event::Tick);
    s.propose(20_001, two);
    s.pool_ready(20_002, "b");
    assert_eq!(
        s.handle(21_001, Event::Tick)[1],
        "Aborted { number: 5, reason: \"not verified in time\" }"
    );
    assert_eq!(s.handle(21_002, verified(5, None)), [""; 0]);
}

/// An aborted change may have staged a different pool of the same name.
#[test]
fn a_pool_of_an_earlier_change_does_not_make_a_later_one_ready() {
    let mut s = Fixture::new(&[("a", &[1])]);
    s.propose(0, &[("b", &[2])]);
    s.handle(
        1,
        Event::RollBack {
            reason: "requested".into(),
        },
    );
    s.propose(2, &[("b", &[3])]);
    assert_eq!(
        s.handle(
            3,
            Event::PoolReady {
                number: 2,
                pool: "b".into()
            }
        ),
        [""; 0]
    );
    assert_eq!(
        s.handle(
            4,
            Event::PoolReady {
                number: 3,
                pool: "b".into()
            }
        )[1],
        "apply 3"
    );
}

#[test]
fn a_regression_rolls_a_change_back() {
    let mut s = Fixture::new(&[("a", &[1]), ("b", &[2])]);
    let healthy = PoolSample {
        requests: 500.0,
        failed: 2.0,
        ..PoolSample::default()
    };
    for pool in ["a", "b"] {
        assert_eq!(
            s.handle(
                0,
                Event::PoolSampled {
                    pool: pool.into(),
                    sample: healthy
                }
            ),
            [""; 0]
        );
    }
    s.propose(1, &[("a", &[1]), ("b", &[3])]);
    s.pool_ready(2, "b");
    assert_eq!(
        s.handle(
            3,
            Event::PoolSampled {
                pool: "a".into(),
                sample: healthy
            }
        ),
        [""; 0]
    );
    let failing = PoolSample {
        requests: 100.0,
        failed: 60.0,
        ..PoolSample::default()
    };
    let actions = s.handle(
        4,
        Event::PoolSampled {
            pool: "b".into(),
            sample: failing,
        },
    );
    assert_eq!(actions[..2], ["commit 3", "apply 3"]);
    assert!(
        actions[2].starts_with(
            "RolledBack { number: 2, restored_as: 3, reason: \"pool b: failed 0.600, before 0.004"
        ),
        "{}",
        actions[2]
    );
    assert_eq!(s.manager.current().text, text(&[("a", &[1]), ("b", &[2])]));
    assert_eq!(s.manager.open_transaction(), None);
}

#[test]
fn a_manual_rollback_restores_the_previous_generation() {
    let mut s = Fixture::new(&[("a", &[1])]);
    assert_eq!(
        s.handle(
            0,
            Event::RollBack {
                reason: "requested".into(),
            }
        ),
        ["NothingToRollBack"]
    );
    // A staged change is aborted, and one on probation is replaced without staging. The rollback of
    // a committed change is staged like any change.
    s.propose(0, &[("b", &[2])]);
    assert_eq!(
        s.handle(
            1,
            Event::RollBack {
                reason: "requested".into(),
            }
        ),
        [
            "close 2",
            "Aborted { number: 2, reason: \"requested\" }",
            "retire b"
        ]
    );
    s.propose(2, &[("b", &[2])]);
    s.pool_ready(3, "b");
    let actions = s.handle(
        4,
        Event::RollBack {
            reason: "requested".into(),
        },
    );
    assert_eq!(
        actions,
        [
            "commit 4",
            "apply 4",
            "RolledBack { number: 3, restored_as: 4, reason: \"requested\" }",
            "retire b"
        ]
    );
    s.propose(5, &[("b", &[2])]);
    s.pool_ready(6, "b");
    s.handle(6_000, Event::Tick);
    assert_eq!(
        s.handle(
            6_001,
            Event::RollBack {
                reason: "requested".into(),
            }
        ),
        ["open 6", "Staged { number: 6 }", "stage 6 a"]
    );
    assert_eq!(s.pool_ready(6_002, "a")[1], "apply 6");
}

#[test]
fn a_daemon_that_shuts_down_stages_and_commits_nothing() {
    let mut s = Fixture::new(&[("a", &[1])]);
    s.propose(0, &[("b", &[2])]);
    assert_eq!(s.handle(1, Event::Shutdown)[..1], ["close 2"]);
    assert_eq!(s.propose(2, &[("c", &[3])]), ["ShuttingDown"]);
    let mut s = Fixture::new(&[("a", &[1])]);
    s.propose(0, &[("b", &[2])]);
    s.pool_ready(1, "b");
    assert_eq!(s.handle(2, Event::Shutdown), [""; 0]);
    assert_eq!(
        s.handle(60_000, Event::Tick),
        [""; 0],
        "a restart uses the committed generation"
    );
}

/// Open requests keep their generations alive. Changes are rejected if there are too many of these.
#[test]
fn the_number_of_generations_in_use_is_limited() {
    let mut s = Fixture::new(&[("a", &[1])]);
    let mut bound_generations = Vec::new();
    for n in 0..3u16 {
        bound_generations.push(s.manager.current().clone());
        let now = u64::from(n) * 10_000;
        s.propose(now, &[("a", &[n + 2])]);
        s.pool_ready(now + 1, "a");
        assert_eq!(
            s.handle(now + 9_000, Event::Tick)[1],
            format!("Committed {{ number: {} }}", n + 2)
        );
        assert_eq!(s.manager.count_generations_in_use(), usize::from(n) + 1);
    }
    assert_eq!(
        s.propose(40_000, &[("a", &[9])]),
        ["TooManyGenerationsInUse { count: 3 }"]
    );
    bound_generations.pop();
    assert_eq!(s.manager.count_generations_in_use(), 2);
    assert_eq!(s.propose(40_001, &[("a", &[9])])[0], "open 5");
}

/// A step whose record could not be persisted is reverted, so that a restart finds the same
/// generation.
#[test]
fn a_failure_to_persist_a_record_reverts_the_step() {
    let fail_to_persist = |s: &mut Fixture, record: Record| {
        s.actions.clear();
        s.manager
            .handle_persist_failure(&record, "no space", &mut s.actions);
        s.manager.current().text.clone()
    };
    let (old, new): (Pools<'_>, Pools<'_>) = (&[("a", &[1])], &[("a", &[2])]);
    let opened = || Record::Opened {
        number: 2,
        text: text(new),
    };
    let mut s = Fixture::new(old);
    s.propose(0, new);
    assert_eq!(fail_to_persist(&mut s, opened()), text(old));
    assert_eq!(s.manager.open_transaction(), None);
    let mut s = Fixture::new(old);
    s.propose(0, new);
    s.pool_ready(1, "a");
    assert_eq!(
        fail_to_persist(&mut s, Record::Applied { number: 2 }),
        text(old)
    );
    let mut s = Fixture::new(old);
    s.propose(0, new);
    s.pool_ready(1, "a");
    s.handle(9_000, Event::Tick);
    assert_eq!(s.manager.current().text, text(new));
    assert_eq!(
        fail_to_persist(
            &mut s,
            Record::Committed {
                number: 2,
                text: text(new)
            }
        ),
        text(old)
    );
    // A restart uses the restored generation even if the rollback is not recorded.
    let mut s = Fixture::new(old);
    s.propose(0, new);
    s.pool_ready(1, "a");
    s.handle(
        2,
        Event::RollBack {
            reason: "requested".into(),
        },
    );
    assert_eq!(
        fail_to_persist(
            &mut s,
            Record::Committed {
                number: 3,
                text: text(old)
            }
        ),
        text(old)
    );
    assert!(s.actions.is_empty());
}

/// A daemon in a random history.
struct Daemon {
    manager: TransactionManager,
    /// The state that a restart would recover from the journal.
    journal: RecoveredState,
    backends: BackendStates,
    /// The backends that announced a drain, with their process start.
    withdrawn: BTreeSet<(SocketAddr, u64)>,
    process_starts: BTreeMap<SocketAddr, u64>,
    ready_pools: BTreeSet<String>,
    /// The generation of each open request, with its number and text when the request arrived.
    requests: Vec<(Rc<Generation>, u64, String)>,
    applied: Vec<u64>,
    /// Whether changes are verified.
    verify: bool,
    /// The last change whose verification was requested.
    verifying: Option<u64>,
    /// The changes that may be applied.
    accepted: BTreeSet<u64>,
    now: u64,
    sent: usize,
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl Daemon {
    fn start(journal: RecoveredState, verify: bool) -> Daemon {
        let (number, text) = journal.committed.clone().expect("a committed generation");
        let current = Generation::parse(number, "journal", &text).unwrap_or_else(|e| panic!("{e}"));
        let mut daemon = Daemon {
            manager: TransactionManager::new(
                TransactionConfig { verify, ..config() },
                current.clone(),
                journal.highest_number,
            ),
            journal,
            backends: BackendStates::default(),
            withdrawn: BTreeSet::new(),
            process_starts: BTreeMap::new(),
            ready_pools: BTreeSet::new(),
            requests: Vec::new(),
            applied: vec![number],
            verify,
            verifying: None,
            accepted: BTreeSet::new(),
            now: 0,
            sent: 0,
        };
        daemon.set_pool_backends(&current);
        daemon
    }

    fn set_pool_backends(&mut self, generation: &Generation) {
        for pool in &generation.config.pools {
            let BackendSource::List(backends) = &pool.source else {
                continue;
            };
            self.backends
                .set_pool_backends(&pool.name, &backends.iter().map(|b| b.address).collect());
            self.ready_pools.insert(pool.name.clone());
        }
    }

    fn persist(&mut self, record: Record) {
        match record {
            Record::Committed { number, text } => {
                self.journal.highest_number = self.journal.highest_number.max(number);
                (self.journal.committed, self.journal.open_transaction) =
                    (Some((number, text)), None);
            }
            Record::Opened { number, .. } => {
                self.journal.highest_number = self.journal.highest_number.max(number);
                self.journal.open_transaction = open_transaction(number, false);
            }
            Record::Applied { number } => {
                self.journal.open_transaction = open_transaction(number, true);
            }
            Record::Closed { .. } => self.journal.open_transaction = None,
        }
    }

    /// Handles an event. Returns false if the daemon crashes before it carries out all actions.
    fn handle(&mut self, event: Event, crash_before_action: Option<usize>) -> bool {
        let mut actions = Vec::new();
        if let Event::Verified {
            number,
            rejection: None,
        } = &event
        {
            self.accepted.insert(*number);
        }
        let is_rollback = matches!(event, Event::RollBack { .. });
        self.manager.handle(self.now, event, &mut actions);
        for (index, action) in actions.into_iter().enumerate() {
            if crash_before_action == Some(index) {
                return false;
            }
            match action {
                Action::Persist(record) => self.persist(record),
                Action::Stage {
                    generation: g,
                    pools,
                } => {
                    assert!(pools.iter().all(|p| g.pool(p).is_some()));
                    assert_eq!(
                        self.journal.open_transaction,
                        open_transaction(g.number, false),
                        "the step was recorded first"
                    );
                }
                Action::Apply(g) => {
                    assert!(
                        self.applied.last().is_none_or(|n| *n < g.number),
                        "numbers increase"
                    );
                    let is_recorded = self.journal.open_transaction
                        == open_transaction(g.number, true)
                        || self
                            .journal
                            .committed
                            .as_ref()
                            .is_some_and(|(n, _)| *n == g.number);
                    assert!(is_recorded, "the step was recorded first");
                    let is_transaction =
                        self.journal.open_transaction == open_transaction(g.number, true);
                    assert!(
                        !self.verify || !is_transaction || self.accepted.contains(&g.number),
                        "the change was verified first"
                    );
                    self.applied.push(g.number);
                    self.set_pool_backends(&g);
                }
                Action::Retire(pools) => {
                    let current = self.manager.current();
                    assert!(
                        pools.iter().all(|p| current.pool(p).is_none()),
                        "no pool of the current generation is retired"
                    );
                    pools
                        .iter()
                        .for_each(|p| self.backends.set_pool_backends(p, &BTreeSet::new()));
                }
                Action::Verify(g) => {
                    assert!(
                        self.verify
                            && self.journal.open_transaction == open_transaction(g.number, false)
                    );
                    self.verifying = Some(g.number);
                }
                // Rollbacks are not verified.
                Action::Report(TransactionReport::Staged { number }) if is_rollback => {
                    self.accepted.insert(number);
                }
                Action::Report(_) => {}
            }
        }
        true
    }

    /// Accepts a request and sends it to a backend.
    fn accept_request(&mut self, rng: &mut fastrand::Rng) {
        let g = self.manager.current().clone();
        let (number, text) = (g.number, g.text.clone());
        self.requests.push((g, number, text));
        self.send(rng, self.requests.len() - 1);
    }

    /// Sends a request to an available backend of its pool, if there is one.
    fn send(&mut self, rng: &mut fastrand::Rng, request: usize) {
        let (g, number, text) = &self.requests[request];
        // The generation of a request does not change, also for retries.
        assert!(g.number == *number && g.text == *text);
        let pool = g
            .table
            .select_pool(&g.config.routes[0], rng.u64(..))
            .expect("a weight above 0");
        let BackendSource::List(backends) = &g.config.pools[pool].source else {
            panic!("pools list their backends")
        };
        let available = backends
            .iter()
            .find(|b| self.backends.availability(b.address) == Availability::Available);
        if let Some(backend) = available {
            let process_start = self
                .process_starts
                .get(&backend.address)
                .copied()
                .unwrap_or(0);
            assert!(
                !self.withdrawn.contains(&(backend.address, process_start)),
                "{} is draining",
                backend.address
            );
            self.sent += 1;
        }
    }
}

fn random_text(rng: &mut fastrand::Rng) -> String {
    let names = ["a", "b", "c"];
    let mut pools: Vec<(&str, Vec<u16>)> = Vec::new();
    for name in names {
        if rng.u8(..3) > 0 || pools.is_empty() && name == "c" {
            let ports: BTreeSet<u16> = (0..1 + rng.usize(..3)).map(|_| 1 + rng.u16(..6)).collect();
            pools.push((name, ports.into_iter().collect()));
        }
    }
    let pools: Vec<(&str, &[u16])> = pools
        .iter()
        .map(|(name, ports)| (*name, ports.as_slice()))
        .collect();
    text(&pools)
}

/// In random histories, requests keep their generation, rollbacks do not restore draining backends,
/// and a restart after a crash between any two actions uses the last committed generation.
#[test]
fn invariants_hold_in_random_histories() {
    let (mut commits, mut rollbacks, mut crashes, mut sends, mut rejections) = (0, 0, 0, 0, 0);
    for seed in 0..10_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let first = (1, random_text(&mut rng));
        let verify = seed % 2 == 0;
        let mut daemon = Daemon::start(
            RecoveredState {
                committed: Some(first),
                highest_number: 1,
                ..RecoveredState::default()
            },
            verify,
        );
        for _ in 0..40 {
            daemon.now += rng.u64(..1_500);
            let crash = (rng.u8(..20) == 0).then(|| rng.usize(..4));
            let event = match rng.u8(..if verify { 14 } else { 12 }) {
                0..=2 => {
                    let text = random_text(&mut rng);
                    Event::Propose(
                        Generation::parse(0, "f", &text).unwrap_or_else(|e| panic!("{e}")),
                    )
                }
                3 | 4 => {
                    let number = daemon
                        .manager
                        .open_transaction()
                        .map_or(0, |open| open.number);
                    Event::PoolReady {
                        number,
                        pool: ["a", "b", "c"][rng.usize(..3)].to_string(),
                    }
                }
                5 => {
                    let failed = if rng.bool() { 90.0 } else { 0.0 };
                    let sample = PoolSample {
                        requests: 100.0,
                        failed,
                        ..PoolSample::default()
                    };
                    Event::PoolSampled {
                        pool: ["a", "b", "c"][rng.usize(..3)].to_string(),
                        sample,
                    }
                }
                6 => Event::RollBack {
                    reason: "requested".into(),
                },
                7 => {
                    // A backend drains or is replaced by another process.
                    let address = address(1 + rng.u16(..6));
                    let process_start = daemon.process_starts.entry(address).or_default();
                    if rng.bool() {
                        daemon.withdrawn.insert((address, *process_start));
                        daemon
                            .backends
                            .record_announcement(address, *process_start, false);
                    } else {
                        *process_start += 1;
                        daemon
                            .backends
                            .record_announcement(address, *process_start, true);
                    }
                    continue;
                }
                8 => {
                    daemon
                        .requests
                        .truncate(rng.usize(..=daemon.requests.len()));
                    continue;
                }
                9 if !daemon.requests.is_empty() => {
                    let retried = rng.usize(..daemon.requests.len());
                    daemon.send(&mut rng, retried);
                    continue;
                }
                9 | 10 => {
                    daemon.accept_request(&mut rng);
                    continue;
                }
                11 => Event::Tick,
                // A verdict, possibly late or on a change that is no longer open.
                _ => {
                    let rejection =
                        (rng.u8(..4) == 0).then(|| "an expectation is violated".to_string());
                    rejections += usize::from(rejection.is_some());
                    Event::Verified {
                        number: daemon.verifying.unwrap_or(1),
                        rejection,
                    }
                }
            };
            let committed_before = daemon.journal.committed.clone();
            let open_before = daemon.manager.open_transaction();
            let survived = daemon.handle(event, crash);
            let committed = daemon
                .journal
                .committed
                .clone()
                .expect("a committed generation");
            commits += usize::from(Some(&committed) != committed_before.as_ref());
            rollbacks +=
                usize::from(open_before.is_some_and(|open| {
                    open.applied && daemon.applied.last() > Some(&open.number)
                }));
            assert!(
                daemon.manager.count_generations_in_use() <= config().max_generations_in_use + 2,
                "seed {seed}"
            );
            if !survived || crash.is_some() && rng.bool() {
                // Only the journal survives a crash.
                crashes += 1;
                let highest = daemon.journal.highest_number;
                sends += daemon.sent;
                daemon = Daemon::start(daemon.journal.clone(), verify);
                assert_eq!(daemon.manager.current().number, committed.0, "seed {seed}");
                assert_eq!(
                    daemon.manager.current().text,
                    committed.1,
                    "seed {seed}: no restart uses a change on probation"
                );
                assert!(
                    daemon.manager.open_transaction().is_none()
                        && daemon.journal.highest_number == highest,
                    "seed {seed}"
                );
                daemon.journal.open_transaction = None;
            }
        }
        sends += daemon.sent;
    }
    // The histories must exercise each case often enough.
    assert!(
        commits > 2_000
            && rollbacks > 500
            && crashes > 2_000
            && sends > 20_000
            && rejections > 2_000,
        "{commits} {rollbacks} {crashes} {sends} {rejections}"
    );
}
