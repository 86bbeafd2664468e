//! Routes: the most specific match, against a plain search over every route; and clashes, against a
//! search over every request of a small world.

use heathroad_routing::condition::{RequestAttributes, RouteCondition};
use heathroad_routing::config::parse;
use heathroad_routing::route::Route;
use heathroad_routing::table::{RouteTable, find_conflicts};
use heathroad_routing::traffic_split::WeightedPool;

const HOSTS: [&str; 5] = ["a.org", "x.a.org", "y.x.a.org", "b.org", "org"];
const PATHS: [&str; 6] = ["/", "/p", "/p/q", "/p/q/r", "/s", "/s/q"];
const WORDS: [&str; 3] = ["k", "l", "m"];

fn route(name: &str, condition: RouteCondition) -> Route {
    Route {
        name: name.into(),
        condition,
        destinations: vec![WeightedPool {
            pool: 0,
            weight: 1.0,
        }],
        line: 1,
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    RouteTable::new(routes, vec![]).expect("few shapes")
}

fn some(text: &str) -> Option<String> {
    Some(text.to_string())
}

/// Every request of the small world.
fn world(mut look: impl FnMut(&RequestAttributes<'_>)) {
    for host in HOSTS {
        for path in PATHS {
            for class in WORDS {
                for (value, tenant) in [None, Some("1"), Some("2")]
                    .into_iter()
                    .flat_map(|v| WORDS.map(|t| (v, t)))
                {
                    let header = |name: &str| value.filter(|_| name == "h");
                    let (listener, method) = ("", "");
                    look(&RequestAttributes {
                        listener,
                        host,
                        path,
                        method,
                        class,
                        tenant,
                        header: &header,
                    });
                }
            }
        }
    }
}

fn random_match(rng: &mut fastrand::Rng) -> RouteCondition {
    let mut maybe = |list: &[&str]| {
        rng.bool()
            .then(|| list[rng.usize(..list.len())].to_string())
    };
    RouteCondition {
        host: maybe(&["a.org", "x.a.org", "*.a.org", "*.org", "*.x.a.org"]),
        path: maybe(&["/p", "/p/*", "/p/q", "/p/q/*", "/s/*", "/*"]),
        class: maybe(&WORDS),
        tenant: maybe(&["k", "l"]),
        header: maybe(&["1", "2"]).map(|v| ("h".to_string(), v)),
        ..RouteCondition::default()
    }
}

/// Whether everything that one matches the other matches too, over the small world.
fn within(one: &RouteCondition, other: &RouteCondition) -> bool {
    let mut all = true;
    world(|r| all &= !one.matches(r) || other.matches(r));
    all
}

/// Over 3,000 random tables: where no clash is found, each request takes the one route that is
/// within all others that match it; where two such could win, a clash is found.
#[test]
fn the_most_specific_route_wins_or_a_conflict_is_reported() {
    let (mut sound, mut clashing) = (0, 0);
    for seed in 0..3_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let n = 1 + rng.usize(..4);
        let routes: Vec<Route> = (0..n)
            .map(|i| route(&i.to_string(), random_match(&mut rng)))
            .collect();
        let found = find_conflicts(&routes);
        let mut ambiguous = false;
        let compiled = table(routes.clone());
        let inside: Vec<Vec<bool>> = routes
            .iter()
            .map(|x| {
                routes
                    .iter()
                    .map(|y| within(&x.condition, &y.condition))
                    .collect()
            })
            .collect();
        world(|r| {
            let matching: Vec<usize> = (0..n).filter(|i| routes[*i].condition.matches(r)).collect();
            let best: Vec<usize> = matching
                .iter()
                .copied()
                .filter(|x| matching.iter().all(|y| inside[*x][*y]))
                .collect();
            match best[..] {
                [] if matching.is_empty() => {
                    assert!(compiled.find_route(r).is_none(), "seed {seed}");
                }
                [only] if found.is_empty() => {
                    let taken = compiled.find_route(r).expect("a match");
                    assert_eq!(
                        taken.name, routes[only].name,
                        "seed {seed}: {} {}",
                        r.host, r.path
                    );
                }
                [_] => {}
                // None is within all others, or two are the same.
                _ => ambiguous = true,
            }
        });
        assert!(!ambiguous || !found.is_empty(), "seed {seed}: {routes:?}");
        if found.is_empty() {
            sound += 1;
        } else {
            clashing += 1;
        }
    }
    assert!(sound > 300 && clashing > 300, "{sound} and {clashing}");
}

#[test]
fn each_condition_is_compared() {
    let one =
        |when: RouteCondition, host: &str, path: &str, class: &str, value: Option<&'static str>| {
            let header = |name: &str| value.filter(|_| name == "x-claims");
            let t = table(vec![route("r", when)]);
            t.find_route(&RequestAttributes {
                listener: "in",
                host,
                path,
                method: "m",
                class,
                tenant: "t",
                header: &header,
            })
            .is_some()
        };
    let host = |h: &str| RouteCondition {
        host: some(h),
        ..RouteCondition::default()
    };
    assert!(
        one(host("a.org"), "a.org", "/", "c", None)
            && !one(host("a.org"), "x.a.org", "/", "c", None)
    );
    assert!(
        one(host("*.a.org"), "x.a.org", "/", "c", None)
            && one(host("*.a.org"), "y.x.a.org", "/", "c", None)
    );
    assert!(
        !one(host("*.a.org"), "a.org", "/", "c", None)
            && !one(host("*.a.org"), "xa.org", "/", "c", None)
    );
    let path = |p: &str| RouteCondition {
        path: some(p),
        ..RouteCondition::default()
    };
    assert!(one(path("/p/*"), "", "/p", "c", None) && one(path("/p/*"), "", "/p/q/r", "c", None));
    assert!(!one(path("/p/*"), "", "/pq", "c", None) && !one(path("/p"), "", "/p/q", "c", None));
    let class = RouteCondition {
        class: some("c"),
        ..RouteCondition::default()
    };
    assert!(one(class.clone(), "", "/", "c", None) && !one(class, "", "/", "d", None));
    let header = RouteCondition {
        header: Some(("x-claims".into(), "new".into())),
        ..RouteCondition::default()
    };
    assert!(one(header.clone(), "", "/", "c", Some("new")));
    assert!(!one(header.clone(), "", "/", "c", Some("old")) && !one(header, "", "/", "c", None));
    for (field, fits) in [("in", true), ("out", false)] {
        assert_eq!(
            one(
                RouteCondition {
                    listener: some(field),
                    ..RouteCondition::default()
                },
                "",
                "/",
                "c",
                None
            ),
            fits
        );
    }
    assert!(one(
        RouteCondition {
            method: some("m"),
            tenant: some("t"),
            ..RouteCondition::default()
        },
        "",
        "/",
        "c",
        None
    ));
    assert!(!one(
        RouteCondition {
            method: some("n"),
            tenant: some("t"),
            ..RouteCondition::default()
        },
        "",
        "/",
        "c",
        None
    ));
}

/// A measurement and no test: look-ups and memory by the number of routes. `--ignored --nocapture`,
/// in release.
#[test]
#[ignore = "a measurement"]
fn what_a_look_up_costs() {
    for n in [10, 1_000, 10_000] {
        let mut text = String::from(
            "[[pool]]\nname = \"a\"\nbackends = [\"127.0.0.1:1\"]\n[[pool.class]]\nname = \"c\"\neffect = \"safe\"\n\
             aim_ms = 1\ndeadline_ms = 2\n",
        );
        for i in 0..n {
            let when = match i % 4 {
                0 => format!("path = \"/s{i}/*\""),
                1 => format!("path = \"/s{i}/x\""),
                2 => format!("host = \"h{i}.org\"\npath = \"/s{i}/x\""),
                _ => format!("host = \"h{i}.org\"\npath = \"/s{i}/*\"\ntenant = \"t\""),
            };
            text += &format!("[[route]]\nname = \"r{i}\"\npool = \"a\"\n{when}\n");
        }
        let memory = || {
            let status =
                std::fs::read_to_string("/proc/self/status").expect("the system's account");
            let line = status
                .lines()
                .find(|l| l.starts_with("VmRSS"))
                .expect("it is there");
            line.split_whitespace()
                .nth(1)
                .and_then(|kb| kb.parse::<i64>().ok())
                .expect("a number")
        };
        let before = memory();
        let begun = std::time::Instant::now();
        let config = parse("measured", &text).expect("good");
        let checked = begun.elapsed();
        let t = RouteTable::new(config.routes, vec!["a".into()]).expect("few shapes");
        let held = memory() - before;
        let asked: Vec<(String, String)> = (0..n)
            .map(|i| (format!("h{i}.org"), format!("/s{i}/x")))
            .collect();
        let begun = std::time::Instant::now();
        let looks = 1_000_000;
        let mut found = 0;
        for i in 0..looks {
            let (host, path) = &asked[i % n];
            let header = |_: &str| None;
            let r = RequestAttributes {
                listener: "",
                host,
                path,
                method: "",
                class: "c",
                tenant: "t",
                header: &header,
            };
            found += usize::from(t.find_route(&r).is_some());
        }
        assert_eq!(found, looks);
        let took = begun.elapsed().as_nanos() as f64 / looks as f64;
        println!(
            "{n} routes: read and checked in {checked:?}, {took:.0} ns a look-up, {held} KiB held"
        );
    }
}
