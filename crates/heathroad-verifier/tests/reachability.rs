//! Compares the computed reachability with the routing table, for every request of a small request
//! space.

use heathroad_routing::condition::{RequestAttributes, RouteCondition};
use heathroad_routing::generation::Generation;
use heathroad_verifier::reachability::RouteRegions;
use heathroad_verifier::request_space::RequestSpace;
use std::collections::BTreeSet;
use std::rc::Rc;

const HOSTS: [&str; 9] = [
    "",
    "a.org",
    "x.a.org",
    "q.a.org",
    "y.x.a.org",
    "q.x.a.org",
    "org",
    "q.org",
    "b.com",
];
const PATHS: [&str; 9] = [
    "/", "/p", "/p/q", "/p/q/r", "/p/z", "/p/q/z", "/s", "/s/z", "/z",
];
const CLASSES: [&str; 3] = ["k", "l", "m"];
const TENANTS: [&str; 5] = ["", "t1", "t2", "t3", "stranger"];
/// The listener and method of JSON-RPC calls, which have no host, path or headers.
const CALLS: [(&str, &str); 6] = [
    ("rpc", "get"),
    ("rpc", "put"),
    ("rpc", "what"),
    ("rpc", "do"),
    ("fixed", "get"),
    ("fixed", "do"),
];

fn optional_field(rng: &mut fastrand::Rng, field: &str, list: &[&str]) -> String {
    if rng.u8(..3) > 0 {
        String::new()
    } else {
        format!("{field} = {:?}\n", list[rng.usize(..list.len())])
    }
}

fn random_conditions(rng: &mut fastrand::Rng) -> String {
    let mut text = optional_field(
        rng,
        "host",
        &["a.org", "x.a.org", "*.a.org", "*.org", "*.x.a.org"],
    );
    text += &optional_field(
        rng,
        "path",
        &["/p", "/p/*", "/p/q", "/p/q/*", "/s/*", "/*", "/"],
    );
    text += &optional_field(rng, "class", &CLASSES);
    text += &optional_field(rng, "tenant", &["t1", "t2", "t3"]);
    text += &optional_field(rng, "listener", &["main", "rpc", "fixed"]);
    text += &optional_field(rng, "method", &["get", "put", "do"]);
    if rng.u8(..4) == 0 {
        text += &format!(
            "header = {{ name = \"H{}\", is = \"{}\" }}\n",
            rng.u8(..2),
            rng.u8(..2)
        );
    }
    text
}

fn random_configuration(rng: &mut fastrand::Rng) -> String {
    let mut text = "tenants = [\"t1\", \"t2\", \"t3\"]\n[[pool]]\nname = \"one\"\nbackends = [\"127.0.0.1:1\"]\n[pool.rpc]\n".to_string();
    for class in CLASSES {
        text += &format!(
            "[[pool.class]]\nname = {class:?}\neffect = \"unsafe\"\naim_ms = 1\ndeadline_ms = 1\n"
        );
    }
    text += "[[listener]]\nname = \"rpc\"\nprotocol = \"json-rpc\"\nlisten = \"127.0.0.1:0\"\ntenant_in = \"/t\"\nunknown = \"m\"\n\
        [[listener.method]]\nname = \"get\"\nclass = \"k\"\n[[listener.method]]\nname = \"put\"\nclass = \"l\"\n\
        [[listener]]\nname = \"fixed\"\nprotocol = \"json-rpc\"\nlisten = \"127.0.0.1:0\"\ntenant = \"t2\"\n\
        [[listener.method]]\nname = \"get\"\nclass = \"l\"\n[[listener.method]]\nname = \"do\"\nclass = \"m\"\n";
    for n in 0..1 + rng.usize(..7) {
        text += &format!(
            "[[route]]\nname = \"r{n}\"\npool = \"one\"\n{}",
            random_conditions(rng)
        );
    }
    text
}

/// Calls a function with every request of the small request space.
fn for_each_request(mut inspect: impl FnMut(&RequestAttributes<'_>)) {
    for host in HOSTS {
        for path in PATHS {
            for class in CLASSES {
                for tenant in TENANTS {
                    for h in 0..9u8 {
                        let value = |v: u8| [None, Some("0"), Some("1")][usize::from(v)];
                        let header = |name: &str| match name {
                            "h0" => value(h % 3),
                            "h1" => value(h / 3),
                            _ => None,
                        };
                        let (listener, method) = ("main", "");
                        inspect(&RequestAttributes {
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
    let header = |_: &str| None;
    for (listener, method) in CALLS {
        let class = match (listener, method) {
            ("rpc", "get") => "k",
            ("rpc", "put") | ("fixed", "get") => "l",
            _ => "m",
        };
        let tenants = if listener == "rpc" {
            &TENANTS[..]
        } else {
            &TENANTS[2..3]
        };
        for tenant in tenants.iter().copied() {
            inspect(&RequestAttributes {
                listener,
                host: "",
                path: "",
                method,
                class,
                tenant,
                header: &header,
            });
        }
    }
}

/// Checks 2,000 valid random configurations, each with a random scope. Guards against routes that
/// are reached but not reported, or reported but not reached, and wrong smallest requests.
#[test]
fn computed_routes_match_the_routing_table() {
    let (mut valid, mut reached_count, mut unrouted, mut unreachable) = (0, 0, 0, 0);
    let mut seed = 0;
    while valid < 2_000 {
        seed += 1;
        let mut rng = fastrand::Rng::with_seed(seed);
        let Ok(generation) = Generation::parse(1, "t", &random_configuration(&mut rng)) else {
            continue;
        };
        valid += 1;
        let scope = random_scope(&mut rng);
        let space =
            RequestSpace::new(&generation.config, &[&scope], None).expect("few entry points");
        let routes = RouteRegions::new(&generation, &space);
        let mut computed = BTreeSet::new();
        if let Some(region) = space.region(&scope) {
            for region in space
                .entry_points()
                .iter()
                .filter_map(|entry_point| entry_point.intersection(&region))
            {
                for (value, class) in space.classes(&region) {
                    for requests in routes
                        .divide(&space.with_class(&region, value))
                        .expect("can be counted")
                    {
                        computed.insert((class.to_string(), requests.route));
                        let smallest = requests.smallest_request(&space).expect("can be counted");
                        let routed_name = space.with_first_request(&smallest, |r| {
                            assert!(
                                scope.matches(r),
                                "seed {seed}: {}",
                                space.describe(&smallest)
                            );
                            generation.table.find_route(r).map(|r| r.name.clone())
                        });
                        let name = requests
                            .route
                            .map(|r| generation.config.routes[r].name.clone());
                        assert_eq!(
                            routed_name,
                            name,
                            "seed {seed}: {}",
                            space.describe(&smallest)
                        );
                    }
                }
            }
        }
        let mut routed = BTreeSet::new();
        for_each_request(|r| {
            if scope.matches(r) {
                let route = generation.table.find_route(r);
                let index = route.and_then(|r| {
                    generation
                        .config
                        .routes
                        .iter()
                        .position(|o| o.name == r.name)
                });
                routed.insert((r.class.to_string(), index));
            }
        });
        assert_eq!(
            computed,
            routed,
            "seed {seed}: {}\n{}",
            scope.describe(),
            generation.text
        );
        reached_count += routed.len();
        unrouted += routed.iter().filter(|(_, r)| r.is_none()).count();
        let reached: BTreeSet<usize> = routed.iter().filter_map(|(_, r)| *r).collect();
        unreachable += generation.config.routes.len() - reached.len();
    }
    assert!(
        reached_count > 4_000 && unrouted > 1_000 && unreachable > 1_000,
        "{reached_count} {unrouted} {unreachable}"
    );
}

fn random_scope(rng: &mut fastrand::Rng) -> RouteCondition {
    let mut optional =
        |list: &[&str]| (rng.u8(..4) == 0).then(|| list[rng.usize(..list.len())].to_string());
    RouteCondition {
        host: optional(&["a.org", "q.a.org", "*.a.org", "*.org"]),
        path: optional(&["/p", "/p/*", "/p/q/*", "/z"]),
        class: optional(&CLASSES),
        tenant: optional(&["t1", "t2"]),
        listener: optional(&["main", "rpc", "fixed"]),
        method: optional(&["get", "what"]),
        header: optional(&["1"]).map(|v| ("h1".to_string(), v)),
    }
}

fn parse(text: &str) -> Rc<Generation> {
    Generation::parse(1, "t", text).unwrap_or_else(|e| panic!("{e}"))
}

/// Guards against reporting a route whose requests all take narrower routes, and against missing it
/// when one kind of request remains.
#[test]
fn a_route_covered_by_narrower_ones_takes_no_requests() {
    let pool = "[[pool]]\nname = \"one\"\nbackends = [\"127.0.0.1:1\"]\n[[pool.class]]\nname = \"k\"\neffect = \"safe\"\naim_ms = 1\n\
        deadline_ms = 1\n[[pool.class]]\nname = \"l\"\neffect = \"safe\"\naim_ms = 1\ndeadline_ms = 1\n";
    let covered = format!(
        "{pool}[[route]]\nname = \"all\"\npool = \"one\"\n[[route]]\nname = \"k\"\nclass = \"k\"\npool = \"one\"\n\
         [[route]]\nname = \"l\"\nclass = \"l\"\npool = \"one\"\n"
    );
    let takes = |text: &str| {
        let generation = parse(text);
        let space = RequestSpace::new(&generation.config, &[], None).expect("few kinds");
        let routes = RouteRegions::new(&generation, &space);
        let mut all = BTreeSet::new();
        for entry_point in space.entry_points() {
            for requests in routes.divide(entry_point).expect("few kinds") {
                all.insert(
                    requests
                        .route
                        .map(|r| generation.config.routes[r].name.clone()),
                );
            }
        }
        all.into_iter().flatten().collect::<Vec<_>>()
    };
    assert_eq!(
        takes(&covered),
        ["k", "l"],
        "no request remains for the route of all"
    );
    let narrower = covered.replace("name = \"l\"\nclass", "name = \"l\"\ntenant = \"t\"\nclass");
    assert_eq!(takes(&narrower), ["all", "k", "l"]);
}

/// Guards against missed routes in a configuration with 1,000 routes.
#[test]
fn a_thousand_routes_are_all_reached() {
    let mut text = "[[pool]]\nname = \"one\"\nbackends = [\"127.0.0.1:1\"]\n".to_string();
    for class in 0..10 {
        text += &format!(
            "[[pool.class]]\nname = \"c{class}\"\neffect = \"safe\"\naim_ms = 1\ndeadline_ms = 1\n"
        );
    }
    for n in 0..1_000 {
        text += &format!(
            "[[route]]\nname = \"r{n}\"\npool = \"one\"\ntenant = \"t{}\"\nclass = \"c{}\"\n",
            n / 10,
            n % 10
        );
    }
    let generation = parse(&text);
    let space = RequestSpace::new(&generation.config, &[], None).expect("few kinds");
    let routes = RouteRegions::new(&generation, &space);
    let entry_point = &space.entry_points()[0];
    assert_eq!(
        routes.divide(entry_point).expect("few kinds").len(),
        1_001,
        "each route, and the requests of other tenants"
    );
    assert_eq!(
        routes
            .divide(&space.with_class(entry_point, 3))
            .expect("few kinds")
            .len(),
        101
    );
}
