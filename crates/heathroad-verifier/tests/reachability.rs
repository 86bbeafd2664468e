//! What is reasoned out, against the table that routes, asked for every request of a small world.

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
/// Listener and method; calls have neither host nor path nor headers.
const CALLS: [(&str, &str); 6] = [
    ("rpc", "get"),
    ("rpc", "put"),
    ("rpc", "what"),
    ("rpc", "do"),
    ("fixed", "get"),
    ("fixed", "do"),
];

fn word(rng: &mut fastrand::Rng, field: &str, list: &[&str]) -> String {
    if rng.u8(..3) > 0 {
        String::new()
    } else {
        format!("{field} = {:?}\n", list[rng.usize(..list.len())])
    }
}

fn conditions(rng: &mut fastrand::Rng) -> String {
    let mut text = word(
        rng,
        "host",
        &["a.org", "x.a.org", "*.a.org", "*.org", "*.x.a.org"],
    );
    text += &word(
        rng,
        "path",
        &["/p", "/p/*", "/p/q", "/p/q/*", "/s/*", "/*", "/"],
    );
    text += &word(rng, "class", &CLASSES);
    text += &word(rng, "tenant", &["t1", "t2", "t3"]);
    text += &word(rng, "listener", &["main", "rpc", "fixed"]);
    text += &word(rng, "method", &["get", "put", "do"]);
    if rng.u8(..4) == 0 {
        text += &format!(
            "header = {{ name = \"H{}\", is = \"{}\" }}\n",
            rng.u8(..2),
            rng.u8(..2)
        );
    }
    text
}

fn configuration(rng: &mut fastrand::Rng) -> String {
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
            conditions(rng)
        );
    }
    text
}

/// Every request of the small world.
fn world(mut look: impl FnMut(&RequestAttributes<'_>)) {
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
            look(&RequestAttributes {
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

/// 2,000 random configurations that are good, each with a random scope: the routes that requests of
/// the scope take, by class, are those that the table gives; and the smallest request of each takes
/// it.
#[test]
fn reasoning_and_routing_agree() {
    let (mut good, mut taken_in_all, mut nowhere, mut hidden) = (0, 0, 0, 0);
    let mut seed = 0;
    while good < 2_000 {
        seed += 1;
        let mut rng = fastrand::Rng::with_seed(seed);
        let Ok(generation) = Generation::parse(1, "t", &configuration(&mut rng)) else {
            continue;
        };
        good += 1;
        let scope = scope(&mut rng);
        let space = RequestSpace::new(&generation.config, &[&scope], None).expect("few worlds");
        let routes = RouteRegions::new(&generation, &space);
        let mut reasoned = BTreeSet::new();
        if let Some(region) = space.region(&scope) {
            for region in space
                .entry_points()
                .iter()
                .filter_map(|w| w.intersection(&region))
            {
                for (place, class) in space.classes(&region) {
                    for taken in routes
                        .divide(&space.with_class(&region, place))
                        .expect("can be counted")
                    {
                        reasoned.insert((class.to_string(), taken.route));
                        let smallest = taken.smallest_request(&space).expect("can be counted");
                        let told = space.with_first_request(&smallest, |r| {
                            assert!(
                                scope.matches(r),
                                "seed {seed}: {}",
                                space.describe(&smallest)
                            );
                            generation.table.find_route(r).map(|r| r.name.clone())
                        });
                        let name = taken
                            .route
                            .map(|r| generation.config.routes[r].name.clone());
                        assert_eq!(told, name, "seed {seed}: {}", space.describe(&smallest));
                    }
                }
            }
        }
        let mut routed = BTreeSet::new();
        world(|r| {
            if scope.matches(r) {
                let route = generation.table.find_route(r);
                let place = route.and_then(|r| {
                    generation
                        .config
                        .routes
                        .iter()
                        .position(|o| o.name == r.name)
                });
                routed.insert((r.class.to_string(), place));
            }
        });
        assert_eq!(
            reasoned,
            routed,
            "seed {seed}: {}\n{}",
            scope.describe(),
            generation.text
        );
        taken_in_all += routed.len();
        nowhere += routed.iter().filter(|(_, r)| r.is_none()).count();
        let reached: BTreeSet<usize> = routed.iter().filter_map(|(_, r)| *r).collect();
        hidden += generation.config.routes.len() - reached.len();
    }
    assert!(
        taken_in_all > 4_000 && nowhere > 1_000 && hidden > 1_000,
        "{taken_in_all} {nowhere} {hidden}"
    );
}

fn scope(rng: &mut fastrand::Rng) -> RouteCondition {
    let mut maybe =
        |list: &[&str]| (rng.u8(..4) == 0).then(|| list[rng.usize(..list.len())].to_string());
    RouteCondition {
        host: maybe(&["a.org", "q.a.org", "*.a.org", "*.org"]),
        path: maybe(&["/p", "/p/*", "/p/q/*", "/z"]),
        class: maybe(&CLASSES),
        tenant: maybe(&["t1", "t2"]),
        listener: maybe(&["main", "rpc", "fixed"]),
        method: maybe(&["get", "what"]),
        header: maybe(&["1"]).map(|v| ("h1".to_string(), v)),
    }
}

fn parse(text: &str) -> Rc<Generation> {
    Generation::parse(1, "t", text).unwrap_or_else(|e| panic!("{e}"))
}

/// A route that narrower ones hide takes nothing; where one kind of request is left to it, that is
/// found.
#[test]
fn a_route_that_others_hide_takes_nothing() {
    let pool = "[[pool]]\nname = \"one\"\nbackends = [\"127.0.0.1:1\"]\n[[pool.class]]\nname = \"k\"\neffect = \"safe\"\naim_ms = 1\n\
        deadline_ms = 1\n[[pool.class]]\nname = \"l\"\neffect = \"safe\"\naim_ms = 1\ndeadline_ms = 1\n";
    let both = format!(
        "{pool}[[route]]\nname = \"all\"\npool = \"one\"\n[[route]]\nname = \"k\"\nclass = \"k\"\npool = \"one\"\n\
         [[route]]\nname = \"l\"\nclass = \"l\"\npool = \"one\"\n"
    );
    let takes = |text: &str| {
        let generation = parse(text);
        let space = RequestSpace::new(&generation.config, &[], None).expect("few");
        let routes = RouteRegions::new(&generation, &space);
        let mut all = BTreeSet::new();
        for world in space.entry_points() {
            for t in routes.divide(world).expect("few") {
                all.insert(t.route.map(|r| generation.config.routes[r].name.clone()));
            }
        }
        all.into_iter().flatten().collect::<Vec<_>>()
    };
    assert_eq!(
        takes(&both),
        ["k", "l"],
        "nothing is left to the route of all"
    );
    let narrower = both.replace("name = \"l\"\nclass", "name = \"l\"\ntenant = \"t\"\nclass");
    assert_eq!(takes(&narrower), ["all", "k", "l"]);
}

/// As many routes as a large installation has: all are looked through.
#[test]
fn a_thousand_routes_are_counted_through() {
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
    let space = RequestSpace::new(&generation.config, &[], None).expect("few");
    let routes = RouteRegions::new(&generation, &space);
    let world = &space.entry_points()[0];
    assert_eq!(
        routes.divide(world).expect("few").len(),
        1_001,
        "each, and requests of other tenants"
    );
    assert_eq!(
        routes
            .divide(&space.with_class(world, 3))
            .expect("few")
            .len(),
        101
    );
}
