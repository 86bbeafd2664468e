//! Changes: each step by itself, and thousands of random histories of changes, drains, deaths and
//! kills, in which the same few things must always hold.

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

fn open(number: u64, applied: bool) -> Option<OpenTransaction> {
    Some(OpenTransaction { number, applied })
}

/// Pools by name, with the ports of their members.
type Pools<'a> = &'a [(&'a str, &'a [u16])];

/// A configuration of pools by their members, all requests split evenly among them.
fn text(pools: &[(&str, &[u16])]) -> String {
    let mut text = String::new();
    for (name, members) in pools {
        let list: Vec<String> = members
            .iter()
            .map(|m| format!("\"127.0.0.1:{m}\""))
            .collect();
        text += &format!(
            "[[pool]]\nname = \"{name}\"\nbackends = [{}]\n[[pool.class]]\nname = \"c\"\neffect = \"safe\"\n\
             aim_ms = 1\ndeadline_ms = 2\n",
            list.join(", ")
        );
    }
    text += "[[route]]\nname = \"all\"\n";
    for (name, _) in pools {
        text += &format!("[[route.split]]\npool = \"{name}\"\nweight = 1\n");
    }
    text
}

fn generation(number: u64, pools: &[(&str, &[u16])]) -> Rc<Generation> {
    Generation::parse(number, "test", &text(pools)).unwrap_or_else(|e| panic!("{e}"))
}

struct Scene {
    manager: TransactionManager,
    actions: Vec<Action>,
}

impl Scene {
    fn new(pools: &[(&str, &[u16])]) -> Scene {
        Scene {
            manager: TransactionManager::new(config(), generation(1, pools), 1),
            actions: Vec::new(),
        }
    }

    /// What is said and done, in short.
    fn at(&mut self, now: u64, event: Event) -> Vec<String> {
        self.actions.clear();
        self.manager.handle(now, event, &mut self.actions);
        self.actions
            .iter()
            .map(|s| match s {
                Action::Persist(Record::Opened { number, .. }) => format!("open {number}"),
                Action::Persist(Record::Applied { number }) => format!("write applied {number}"),
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

    /// A pool of the change under way is ready.
    fn ready(&mut self, now: u64, pool: &str) -> Vec<String> {
        let number = self
            .manager
            .open_transaction()
            .map_or(0, |open| open.number);
        self.at(
            now,
            Event::PoolReady {
                number,
                pool: pool.into(),
            },
        )
    }

    fn propose(&mut self, now: u64, pools: &[(&str, &[u16])]) -> Vec<String> {
        self.at(now, Event::Propose(generation(0, pools)))
    }
}

#[test]
fn a_change_is_staged_applied_and_committed() {
    let mut s = Scene::new(&[("a", &[1])]);
    let two: &[(&str, &[u16])] = &[("a", &[1]), ("b", &[2])];
    assert_eq!(
        s.propose(0, two),
        ["open 2", "Staged { number: 2 }", "stage 2 b"]
    );
    assert_eq!(
        s.manager.current().number,
        1,
        "nothing is in force before all is ready"
    );
    assert_eq!(
        s.propose(1, &[("z", &[9])]),
        ["Busy { number: 2 }"],
        "one at a time"
    );
    assert_eq!(s.ready(2, "a"), [""; 0], "not what is waited for");
    assert_eq!(
        s.ready(10, "b"),
        ["write applied 2", "apply 2", "Applied { number: 2 }"]
    );
    assert_eq!(s.manager.open_transaction(), open(2, true));
    assert_eq!(s.at(5_009, Event::Tick), [""; 0]);
    assert_eq!(
        s.at(5_010, Event::Tick),
        ["commit 2", "Committed { number: 2 }"]
    );
    // The same again: nothing happens.
    assert_eq!(s.propose(6_000, two), ["Unchanged { number: 2 }"]);
    // A pool that goes is retired when that stands, and not before.
    assert_eq!(
        s.propose(6_000, &[("b", &[2])]).last().expect("steps"),
        "Applied { number: 3 }"
    );
    assert_eq!(
        s.at(11_000, Event::Tick),
        ["commit 3", "Committed { number: 3 }", "retire a"]
    );
}

#[test]
fn what_is_not_ready_in_time_is_aborted() {
    let mut s = Scene::new(&[("a", &[1])]);
    s.propose(0, &[("b", &[2])]);
    assert_eq!(s.at(999, Event::Tick), [""; 0]);
    let steps = s.at(1_000, Event::Tick);
    assert_eq!(
        steps,
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
        "numbers are never given twice"
    );
}

/// A change that is verified is verified last, applied only if it may be, and not at all once its
/// time is over. The way back is open.
#[test]
fn a_change_that_is_verified_waits_for_its_verdict() {
    let verified = |number, rejection: Option<&str>| Event::Verified {
        number,
        rejection: rejection.map(String::from),
    };
    let mut s = Scene::new(&[("a", &[1])]);
    s.manager = TransactionManager::new(
        TransactionConfig {
            verify: true,
            ..config()
        },
        generation(1, &[("a", &[1])]),
        1,
    );
    let two: &[(&str, &[u16])] = &[("a", &[1]), ("b", &[2])];
    s.propose(0, two);
    assert_eq!(s.at(1, verified(2, None)), [""; 0], "nobody has asked");
    assert_eq!(s.ready(2, "b"), ["verify 2"]);
    assert_eq!(s.ready(3, "b"), [""; 0], "once");
    assert_eq!(s.at(4, verified(1, None)), [""; 0], "of another change");
    let down = [
        "close 2",
        "Aborted { number: 2, reason: \"no\" }",
        "retire b",
    ];
    assert_eq!(s.at(5, verified(2, Some("no"))), down);
    s.propose(10, two);
    s.ready(11, "b");
    assert_eq!(
        s.at(12, verified(3, None))[..2],
        ["write applied 3", "apply 3"]
    );
    assert_eq!(
        s.at(13, verified(3, Some("late"))),
        [""; 0],
        "it is in force"
    );
    s.at(9_000, Event::Tick);
    // A committed change is undone without a verdict.
    let undo = s.at(
        9_001,
        Event::RollBack {
            reason: "asked".into(),
        },
    );
    assert!(undo.contains(&"apply 4".to_string()), "{undo:?}");
    s.at(20_000, Event::Tick);
    s.propose(20_001, two);
    s.ready(20_002, "b");
    assert_eq!(
        s.at(21_001, Event::Tick)[1],
        "Aborted { number: 5, reason: \"not judged in time\" }"
    );
    assert_eq!(s.at(21_002, verified(5, None)), [""; 0]);
}

/// A pool of the same name, worded otherwise, was staged by a change that was given up: its
/// connections are no news.
#[test]
fn what_an_earlier_change_staged_makes_no_later_one_ready() {
    let mut s = Scene::new(&[("a", &[1])]);
    s.propose(0, &[("b", &[2])]);
    s.at(
        1,
        Event::RollBack {
            reason: "asked".into(),
        },
    );
    s.propose(2, &[("b", &[3])]);
    assert_eq!(
        s.at(
            3,
            Event::PoolReady {
                number: 2,
                pool: "b".into()
            }
        ),
        [""; 0]
    );
    assert_eq!(
        s.at(
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
fn a_regression_rolls_a_change_back_by_another() {
    let mut s = Scene::new(&[("a", &[1]), ("b", &[2])]);
    let well = PoolSample {
        requests: 500.0,
        failed: 2.0,
        ..PoolSample::default()
    };
    for pool in ["a", "b"] {
        assert_eq!(
            s.at(
                0,
                Event::PoolSampled {
                    pool: pool.into(),
                    sample: well
                }
            ),
            [""; 0]
        );
    }
    s.propose(1, &[("a", &[1]), ("b", &[3])]);
    s.ready(2, "b");
    assert_eq!(
        s.at(
            3,
            Event::PoolSampled {
                pool: "a".into(),
                sample: well
            }
        ),
        [""; 0]
    );
    let ill = PoolSample {
        requests: 100.0,
        failed: 60.0,
        ..PoolSample::default()
    };
    let steps = s.at(
        4,
        Event::PoolSampled {
            pool: "b".into(),
            sample: ill,
        },
    );
    assert_eq!(steps[..2], ["commit 3", "apply 3"]);
    assert!(
        steps[2].starts_with(
            "RolledBack { number: 2, restored_as: 3, reason: \"pool b: failed 0.600, before 0.004"
        ),
        "{}",
        steps[2]
    );
    assert_eq!(s.manager.current().text, text(&[("a", &[1]), ("b", &[2])]));
    assert_eq!(s.manager.open_transaction(), None);
}

#[test]
fn a_rollback_on_demand_goes_back_to_the_generation_before() {
    let mut s = Scene::new(&[("a", &[1])]);
    assert_eq!(
        s.at(
            0,
            Event::RollBack {
                reason: "asked".into(),
            }
        ),
        ["NothingToRollBack"]
    );
    // While it is staged, on probation, and once it stands: then it is a change like any other.
    s.propose(0, &[("b", &[2])]);
    assert_eq!(
        s.at(
            1,
            Event::RollBack {
                reason: "asked".into(),
            }
        ),
        [
            "close 2",
            "Aborted { number: 2, reason: \"asked\" }",
            "retire b"
        ]
    );
    s.propose(2, &[("b", &[2])]);
    s.ready(3, "b");
    let steps = s.at(
        4,
        Event::RollBack {
            reason: "asked".into(),
        },
    );
    assert_eq!(
        steps,
        [
            "commit 4",
            "apply 4",
            "RolledBack { number: 3, restored_as: 4, reason: \"asked\" }",
            "retire b"
        ]
    );
    s.propose(5, &[("b", &[2])]);
    s.ready(6, "b");
    s.at(6_000, Event::Tick);
    assert_eq!(
        s.at(
            6_001,
            Event::RollBack {
                reason: "asked".into(),
            }
        ),
        ["open 6", "Staged { number: 6 }", "stage 6 a"]
    );
    assert_eq!(s.ready(6_002, "a")[1], "apply 6");
}

#[test]
fn a_daemon_that_stops_begins_and_commits_nothing() {
    let mut s = Scene::new(&[("a", &[1])]);
    s.propose(0, &[("b", &[2])]);
    assert_eq!(s.at(1, Event::Shutdown)[..1], ["close 2"]);
    assert_eq!(s.propose(2, &[("c", &[3])]), ["ShuttingDown"]);
    let mut s = Scene::new(&[("a", &[1])]);
    s.propose(0, &[("b", &[2])]);
    s.ready(1, "b");
    assert_eq!(s.at(2, Event::Shutdown), [""; 0]);
    assert_eq!(
        s.at(60_000, Event::Tick),
        [""; 0],
        "a start will begin with what was committed"
    );
}

/// A request that lasts pins its generation; too many of those, and a change waits.
#[test]
fn generations_that_requests_use_are_bounded_and_counted() {
    let mut s = Scene::new(&[("a", &[1])]);
    let mut pinned = Vec::new();
    for n in 0..3u16 {
        pinned.push(s.manager.current().clone());
        let now = u64::from(n) * 10_000;
        s.propose(now, &[("a", &[n + 2])]);
        s.ready(now + 1, "a");
        assert_eq!(
            s.at(now + 9_000, Event::Tick)[1],
            format!("Committed {{ number: {} }}", n + 2)
        );
        assert_eq!(s.manager.count_generations_in_use(), usize::from(n) + 1);
    }
    assert_eq!(
        s.propose(40_000, &[("a", &[9])]),
        ["TooManyGenerationsInUse { count: 3 }"]
    );
    pinned.pop();
    assert_eq!(s.manager.count_generations_in_use(), 2);
    assert_eq!(s.propose(40_001, &[("a", &[9])])[0], "open 5");
}

/// What can't be written down is not done: an open or an apply is given up or undone, a commit is
/// undone, so that a start and this life agree on what stands.
#[test]
fn a_record_that_is_not_persisted_undoes_its_step() {
    let fail = |s: &mut Scene, record: Record| {
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
    let mut s = Scene::new(old);
    s.propose(0, new);
    assert_eq!(fail(&mut s, opened()), text(old));
    assert_eq!(s.manager.open_transaction(), None);
    let mut s = Scene::new(old);
    s.propose(0, new);
    s.ready(1, "a");
    assert_eq!(fail(&mut s, Record::Applied { number: 2 }), text(old));
    let mut s = Scene::new(old);
    s.propose(0, new);
    s.ready(1, "a");
    s.at(9_000, Event::Tick);
    assert_eq!(s.manager.current().text, text(new));
    assert_eq!(
        fail(
            &mut s,
            Record::Committed {
                number: 2,
                text: text(new)
            }
        ),
        text(old)
    );
    // The undoing of one that was never committed is what a start begins with anyhow.
    let mut s = Scene::new(old);
    s.propose(0, new);
    s.ready(1, "a");
    s.at(
        2,
        Event::RollBack {
            reason: "asked".into(),
        },
    );
    assert_eq!(
        fail(
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

/// A daemon in a random history: the machine, its log as a start would find it, backends, and
/// requests that are bound.
struct World {
    manager: TransactionManager,
    log: RecoveredState,
    backends: BackendStates,
    /// BackendStates that were told to drain or gone, by their process.
    withdrawn: BTreeSet<(SocketAddr, u64)>,
    born: BTreeMap<SocketAddr, u64>,
    ready: BTreeSet<String>,
    /// Requests: the generation they were taken under, and its number and text then.
    requests: Vec<(Rc<Generation>, u64, String)>,
    applied: Vec<u64>,
    /// Changes are verified; the one whose verdict is pending, and those that may be applied.
    verified: bool,
    asked: Option<u64>,
    may: BTreeSet<u64>,
    now: u64,
    sent: usize,
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl World {
    fn start(log: RecoveredState, verified: bool) -> World {
        let (number, text) = log.committed.clone().expect("something was committed");
        let current = Generation::parse(number, "log", &text).unwrap_or_else(|e| panic!("{e}"));
        let mut world = World {
            manager: TransactionManager::new(
                TransactionConfig {
                    verify: verified,
                    ..config()
                },
                current.clone(),
                log.highest_number,
            ),
            log,
            backends: BackendStates::default(),
            withdrawn: BTreeSet::new(),
            born: BTreeMap::new(),
            ready: BTreeSet::new(),
            requests: Vec::new(),
            applied: vec![number],
            verified,
            asked: None,
            may: BTreeSet::new(),
            now: 0,
            sent: 0,
        };
        world.name(&current);
        world
    }

    fn name(&mut self, g: &Generation) {
        for pool in &g.config.pools {
            let BackendSource::List(members) = &pool.source else {
                continue;
            };
            self.backends
                .set_pool_backends(&pool.name, &members.iter().map(|m| m.address).collect());
            self.ready.insert(pool.name.clone());
        }
    }

    fn write(&mut self, record: Record) {
        match record {
            Record::Committed { number, text } => {
                self.log.highest_number = self.log.highest_number.max(number);
                (self.log.committed, self.log.open_transaction) = (Some((number, text)), None);
            }
            Record::Opened { number, .. } => {
                self.log.highest_number = self.log.highest_number.max(number);
                self.log.open_transaction = open(number, false);
            }
            Record::Applied { number } => self.log.open_transaction = open(number, true),
            Record::Closed { .. } => self.log.open_transaction = None,
        }
    }

    /// Takes an event; some steps may not be reached, if the daemon is killed between them.
    fn tell(&mut self, event: Event, killed_after: Option<usize>) -> bool {
        let mut steps = Vec::new();
        if let Event::Verified {
            number,
            rejection: None,
        } = &event
        {
            self.may.insert(*number);
        }
        let undoing = matches!(event, Event::RollBack { .. });
        self.manager.handle(self.now, event, &mut steps);
        for (i, step) in steps.into_iter().enumerate() {
            if killed_after == Some(i) {
                return false;
            }
            match step {
                Action::Persist(record) => self.write(record),
                Action::Stage {
                    generation: g,
                    pools,
                } => {
                    assert!(pools.iter().all(|p| g.pool(p).is_some()));
                    assert_eq!(
                        self.log.open_transaction,
                        open(g.number, false),
                        "it was written down first"
                    );
                }
                Action::Apply(g) => {
                    assert!(
                        self.applied.last().is_none_or(|n| *n < g.number),
                        "numbers grow"
                    );
                    let durable = self.log.open_transaction == open(g.number, true)
                        || self
                            .log
                            .committed
                            .as_ref()
                            .is_some_and(|(n, _)| *n == g.number);
                    assert!(durable, "it was written down first");
                    let change = self.log.open_transaction == open(g.number, true);
                    assert!(
                        !self.verified || !change || self.may.contains(&g.number),
                        "it was verified first"
                    );
                    self.applied.push(g.number);
                    self.name(&g);
                }
                Action::Retire(pools) => {
                    let current = self.manager.current();
                    assert!(
                        pools.iter().all(|p| current.pool(p).is_none()),
                        "none that is in force"
                    );
                    pools
                        .iter()
                        .for_each(|p| self.backends.set_pool_backends(p, &BTreeSet::new()));
                }
                Action::Verify(g) => {
                    assert!(self.verified && self.log.open_transaction == open(g.number, false));
                    self.asked = Some(g.number);
                }
                // Nothing that is expected stands in the way back.
                Action::Report(TransactionReport::Staged { number }) if undoing => {
                    self.may.insert(number);
                }
                Action::Report(_) => {}
            }
        }
        true
    }

    /// A request is taken, and sent to some node of its pool that may be sent to.
    fn request(&mut self, rng: &mut fastrand::Rng) {
        let g = self.manager.current().clone();
        let (number, text) = (g.number, g.text.clone());
        self.requests.push((g, number, text));
        self.send(rng, self.requests.len() - 1);
    }

    fn send(&mut self, rng: &mut fastrand::Rng, request: usize) {
        let (g, number, held) = &self.requests[request];
        // One generation a request, unchanged to its end, resends included.
        assert!(g.number == *number && g.text == *held);
        let share = g
            .table
            .select_pool(&g.config.routes[0], rng.u64(..))
            .expect("some weight");
        let BackendSource::List(members) = &g.config.pools[share].source else {
            panic!("a list")
        };
        let may = members
            .iter()
            .find(|m| self.backends.availability(m.address) == Availability::Available);
        if let Some(m) = may {
            let born = self.born.get(&m.address).copied().unwrap_or(0);
            assert!(
                !self.withdrawn.contains(&(m.address, born)),
                "{} drains",
                m.address
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
            let members: BTreeSet<u16> =
                (0..1 + rng.usize(..3)).map(|_| 1 + rng.u16(..6)).collect();
            pools.push((name, members.into_iter().collect()));
        }
    }
    let pools: Vec<(&str, &[u16])> = pools.iter().map(|(n, m)| (*n, m.as_slice())).collect();
    text(&pools)
}

/// 10,000 histories: one generation a request, drains kept whatever is undone, and a start on the
/// last committed generation, killed between any two steps.
#[test]
fn histories_of_changes_drains_deaths_and_kills() {
    let (mut commits, mut undone, mut kills, mut sends, mut downs) = (0, 0, 0, 0, 0);
    for seed in 0..10_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let first = (1, random_text(&mut rng));
        let mut world = World::start(
            RecoveredState {
                committed: Some(first),
                highest_number: 1,
                ..RecoveredState::default()
            },
            seed % 2 == 0,
        );
        for _ in 0..40 {
            world.now += rng.u64(..1_500);
            let killed = (rng.u8(..20) == 0).then(|| rng.usize(..4));
            let event = match rng.u8(..if seed % 2 == 0 { 14 } else { 12 }) {
                0..=2 => {
                    let text = random_text(&mut rng);
                    Event::Propose(
                        Generation::parse(0, "f", &text).unwrap_or_else(|e| panic!("{e}")),
                    )
                }
                3 | 4 => {
                    let number = world
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
                    reason: "asked".into(),
                },
                7 => {
                    // A drain, a death, or another process at the address.
                    let at = address(1 + rng.u16(..6));
                    let born = world.born.entry(at).or_default();
                    if rng.bool() {
                        world.withdrawn.insert((at, *born));
                        world.backends.record_announcement(at, *born, false);
                    } else {
                        *born += 1;
                        world.backends.record_announcement(at, *born, true);
                    }
                    continue;
                }
                8 => {
                    world.requests.truncate(rng.usize(..=world.requests.len()));
                    continue;
                }
                9 if !world.requests.is_empty() => {
                    let again = rng.usize(..world.requests.len());
                    world.send(&mut rng, again);
                    continue;
                }
                9 | 10 => {
                    world.request(&mut rng);
                    continue;
                }
                11 => Event::Tick,
                // The answer to what was asked, late or not at all, or to what nobody asks any
                // more.
                _ => {
                    let rejection =
                        (rng.u8(..4) == 0).then(|| "it breaks what is expected".to_string());
                    downs += usize::from(rejection.is_some());
                    Event::Verified {
                        number: world.asked.unwrap_or(1),
                        rejection,
                    }
                }
            };
            let before = (
                world.log.committed.clone(),
                world.manager.open_transaction(),
            );
            let alive = world.tell(event, killed);
            let committed = world.log.committed.clone().expect("since the start");
            commits += usize::from(Some(&committed) != before.0.as_ref());
            undone += usize::from(
                before
                    .1
                    .is_some_and(|open| open.applied && world.applied.last() > Some(&open.number)),
            );
            assert!(
                world.manager.count_generations_in_use() <= config().max_generations_in_use + 2,
                "seed {seed}"
            );
            if !alive || killed.is_some() && rng.bool() {
                // Killed: a start finds the log and nothing else.
                kills += 1;
                let highest = world.log.highest_number;
                sends += world.sent;
                world = World::start(world.log.clone(), seed % 2 == 0);
                assert_eq!(world.manager.current().number, committed.0, "seed {seed}");
                assert_eq!(
                    world.manager.current().text,
                    committed.1,
                    "seed {seed}: never one on probation"
                );
                assert!(
                    world.manager.open_transaction().is_none()
                        && world.log.highest_number == highest,
                    "seed {seed}"
                );
                world.log.open_transaction = None;
            }
        }
        sends += world.sent;
    }
    // The histories hold what they are for.
    assert!(
        commits > 2_000 && undone > 500 && kills > 2_000 && sends > 20_000 && downs > 2_000,
        "{commits} {undone} {kills} {sends} {downs}"
    );
}
