//! The routing table against exhaustive search: the most specific match and the detection of
//! conflicts, over all requests with a small set of attribute values.

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

fn some(value: &str) -> Option<String> {
    Some(value.to_string())
}

/// Visits every combination of the attribute values.
fn for_each_request(mut visit: impl FnMut(&RequestAttributes<'_>)) {
    for host in HOSTS {
        for path in PATHS {
            for class in WORDS {
                for (value, tenant) in [None, Some("1"), Some("2")]
                    .into_iter()
                    .flat_map(|v| WORDS.map(|t| (v, t)))
                {
                    let header = |name: &str| value.filter(|_| name == "h");
                    let (listener, method) = ("", "");
                    visit(&RequestAttributes {
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

fn random_condition(rng: &mut fastrand::Rng) -> RouteCondition {
    let mut optional = |values: &[&str]| {
        rng.bool()
            .then(|| values[rng.usize(..values.len())].to_string())
    };
    RouteCondition {
        host: optional(&["a.org", "x.a.org", "*.a.org", "*.org", "*.x.a.org"]),
        path: optional(&["/p", "/p/*", "/p/q", "/p/q/*", "/s/*", "/*"]),
        class: optional(&WORDS),
        tenant: optional(&["k", "l"]),
        header: optional(&["1", "2"]).map(|v| ("h".to_string(), v)),
        ..RouteCondition::default()
    }
}

/// Returns whether `outer` matches every request that `inner` matches.
fn is_nested(inner: &RouteCondition, outer: &RouteCondition) -> bool {
    let mut nested = true;
    for_each_request(|r| nested &= !inner.matches(r) || outer.matches(r));
    nested
}

/// In random tables without a conflict, each request takes the matching route that is nested in all
/// other matching routes. If some request has no such route, a conflict is reported.
#[test]
fn the_most_specific_route_wins_or_a_conflict_is_reported() {
    let (mut unambiguous_tables, mut conflicting_tables) = (0, 0);
    for seed in 0..3_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let n = 1 + rng.usize(..4);
        let routes: Vec<Route> = (0..n)
            .map(|i| route(&i.to_string(), random_condition(&mut rng)))
            .collect();
        let conflicts = find_conflicts(&routes);
        let mut is_ambiguous = false;
        let table = table(routes.clone());
        let nested: Vec<Vec<bool>> = routes
            .iter()
            .map(|x| {
                routes
                    .iter()
                    .map(|y| is_nested(&x.condition, &y.condition))
                    .collect()
            })
            .collect();
        for_each_request(|r| {
            let matching: Vec<usize> = (0..n).filter(|i| routes[*i].condition.matches(r)).collect();
            let most_specific: Vec<usize> = matching
                .iter()
                .copied()
                .filter(|x| matching.iter().all(|y| nested[*x][*y]))
                .collect();
            match most_specific[..] {
                [] if matching.is_empty() => {
                    assert!(table.find_route(r).is_none(), "seed {seed}");
                }
                [only] if conflicts.is_empty() => {
                    let route = table.find_route(r).expect("a matching route");
                    assert_eq!(
                        route.name, routes[only].name,
                        "seed {seed}: {} {}",
                        r.host, r.path
                    );
                }
                [_] => {}
                // No route is nested in all others, or several are identical.
                _ => is_ambiguous = true,
            }
        });
        assert!(
            !is_ambiguous || !conflicts.is_empty(),
            "seed {seed}: {routes:?}"
        );
        if conflicts.is_empty() {
            unambiguous_tables += 1;
        } else {
            conflicting_tables += 1;
        }
    }
    assert!(
        unambiguous_tables > 300 && conflicting_tables > 300,
        "{unambiguous_tables} and {conflicting_tables}"
    );
}

#[test]
fn each_condition_is_compared() {
    let matches = |condition: RouteCondition,
                   host: &str,
                   path: &str,
                   class: &str,
                   value: Option<&'static str>| {
        let header = |name: &str| value.filter(|_| name == "x-claims");
        let table = table(vec![route("r", condition)]);
        table
            .find_route(&RequestAttributes {
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
        matches(host("a.org"), "a.org", "/", "c", None)
            && !matches(host("a.org"), "x.a.org", "/", "c", None)
    );
    assert!(
        matches(host("*.a.org"), "x.a.org", "/", "c", None)
            && matches(host("*.a.org"), "y.x.a.org", "/", "c", None)
    );
    assert!(
        !matches(host("*.a.org"), "a.org", "/", "c", None)
            && !matches(host("*.a.org"), "xa.org", "/", "c", None)
    );
    let path = |p: &str| RouteCondition {
        path: some(p),
        ..RouteCondition::default()
    };
    assert!(
        matches(path("/p/*"), "", "/p", "c", None)
            && matches(path("/p/*"), "", "/p/q/r", "c", None)
    );
    assert!(
        !matches(path("/p/*"), "", "/pq", "c", None) && !matches(path("/p"), "", "/p/q", "c", None)
    );
    let class = RouteCondition {
        class: some("c"),
        ..RouteCondition::default()
    };
    assert!(matches(class.clone(), "", "/", "c", None) && !matches(class, "", "/", "d", None));
    let header = RouteCondition {
        header: Some(("x-claims".into(), "new".into())),
        ..RouteCondition::default()
    };
    assert!(matches(header.clone(), "", "/", "c", Some("new")));
    assert!(
        !matches(header.clone(), "", "/", "c", Some("old")) && !matches(header, "", "/", "c", None)
    );
    for (listener, expected) in [("in", true), ("out", false)] {
        assert_eq!(
            matches(
                RouteCondition {
                    listener: some(listener),
                    ..RouteCondition::default()
                },
                "",
                "/",
                "c",
                None
            ),
            expected
        );
    }
    assert!(matches(
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
    assert!(!matches(
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

/// A benchmark of lookup time and memory by the number of routes. Run it in release mode with
/// `--ignored --nocapture`.
#[test]
#[ignore = "a benchmark"]
fn benchmark_route_lookup() {
    for n in [10, 1_000, 10_000] {
        let mut text = String::from(
            "[[pool]]\nname = \"a\"\nbackends = [\"127.0.0.1:1\"]\n[[pool.class]]\nname = \"c\"\neffect = \"safe\"\n\
             aim_ms = 1\ndeadline_ms = 2\n",
        );
        for i in 0..n {
            let condition = match i % 4 {
                0 => format!("path = \"/s{i}/*\""),
                1 => format!("path = \"/s{i}/x\""),
                2 => format!("host = \"h{i}.org\"\npath = \"/s{i}/x\""),
                _ => format!("host = \"h{i}.org\"\npath = \"/s{i}/*\"\ntenant = \"t\""),
            };
            text += &format!("[[route]]\nname = \"r{i}\"\npool = \"a\"\n{condition}\n");
        }
        let resident_kib = || {
            let status = std::fs::read_to_string("/proc/self/status").expect("the process status");
            let line = status
                .lines()
                .find(|l| l.starts_with("VmRSS"))
                .expect("a VmRSS line");
            line.split_whitespace()
                .nth(1)
                .and_then(|kb| kb.parse::<i64>().ok())
                .expect("a number")
        };
        let kib_before = resident_kib();
        let start = std::time::Instant::now();
        let config = parse("benchmark", &text).expect("a valid file");
        let parse_time = start.elapsed();
        let table = RouteTable::new(config.routes, vec!["a".into()]).expect("few shapes");
        let table_kib = resident_kib() - kib_before;
        let requests: Vec<(String, String)> = (0..n)
            .map(|i| (format!("h{i}.org"), format!("/s{i}/x")))
            .collect();
        let start = std::time::Instant::now();
        let lookups = 1_000_000;
        let mut found = 0;
        for i in 0..lookups {
            let (host, path) = &requests[i % n];
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
            found += usize::from(table.find_route(&r).is_some());
        }
        assert_eq!(found, lookups);
        let lookup_ns = start.elapsed().as_nanos() as f64 / lookups as f64;
        println!(
            "{n} routes: parsed in {parse_time:?}, {lookup_ns:.0} ns per lookup, {table_kib} KiB resident"
        );
    }
}
