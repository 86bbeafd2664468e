//! The file: what is read of a good one, and everything that is wrong with a bad one, at once, with
//! lines.

use heathroad_routing::config::{BackendSource, DeduplicationScope, Idempotency, parse};
use heathroad_routing::diff;
use heathroad_routing::generation::Generation;

const GOOD: &str = r#"
tenants = ["kano-textiles", "zaria-foods"]

[[pool]]
name = "policy"
backends = ["127.0.0.1:9001", { address = "127.0.0.1:9002", site = "kano-dc", block = 2, weight = 0.5 }]
open = 64
[[pool.class]]
name = "claim-status"
effect = "safe"
aim_ms = 700
deadline_ms = 2000
[[pool.class]]
name = "claim-submit"
effect = "keyed"
group = "block"
window_ms = 10_000
aim_ms = 700.0
deadline_ms = 2000
worth = 3

[[pool]]
name = "policy-new"
registry = "127.0.0.1:8500"
select = { site = "kano-dc", class = "m2" }
[[pool.class]]
name = "claim-status"
effect = "safe"
aim_ms = 700
deadline_ms = 2000

[[route]]
name = "all"
pool = "policy"

[[route]]
name = "some"
class = "claim-status"
tenant = "zaria-foods"
[[route.split]]
pool = "policy"
weight = 9
[[route.split]]
pool = "policy-new"
weight = 1
"#;

#[test]
fn a_good_file_is_read() {
    let c = parse("routes.toml", GOOD).expect("good");
    assert_eq!((c.tenants.len(), c.pools.len(), c.routes.len()), (2, 2, 2));
    let BackendSource::List(members) = &c.pools[0].source else {
        panic!("a list")
    };
    assert_eq!(
        (
            members[1].site.as_str(),
            members[1].block,
            members[1].weight
        ),
        ("kano-dc", 2, 0.5)
    );
    let BackendSource::Registry { address, select } = &c.pools[1].source else {
        panic!("a registry")
    };
    assert_eq!(
        (address.map(|a| a.port()), select["class"].as_str()),
        (Some(8500), "m2")
    );
    assert_eq!(
        c.pools[0].classes[1].idempotency,
        Idempotency::Keyed {
            scope: DeduplicationScope::Block,
            window_ms: 10_000.0
        }
    );
    assert_eq!(
        (
            c.routes[1].name.as_str(),
            c.routes[1].destinations.len(),
            c.routes[1].line
        ),
        ("some", 2, 36)
    );
}

/// Every fault of one file at once, each with its line, field, reason and what was expected.
#[test]
fn everything_wrong_is_told_at_once() {
    let bad = r#"
pols = 1
[[pool]]
name = "a"
backends = ["127.0.0.1:9001", "nowhere", "127.0.0.1:9001"]
[[pool.class]]
name = "look"
effect = "safe"
window_ms = 5
aim_ms = 3000
deadline_ms = 2000
[[pool.class]]
name = "keep"
effect = "keyed"
aim_ms = 1
deadline_ms = 2000
[[pool]]
name = "a"
open = 1.5
[[route]]
name = "one"
pool = "b"
[[route]]
name = "two"
class = "no-such"
pool = "a"
[[route]]
name = "three"
class = "look"
[[route.split]]
pool = "a"
weight = 0
[[route]]
name = "four"
host = "a.org"
pool = "a"
[[route]]
name = "five"
path = "/x"
pool = "a"
"#;
    let said = parse("bad.toml", bad).expect_err("bad").to_string();
    for part in [
        "bad.toml:2: pols: unknown field; expected one of listener, pool, route, tenants",
        "bad.toml:5: pool[0].backends: is \"nowhere\"; expected an address and port",
        "pool[0].backends: 127.0.0.1:9001 comes twice; expected each address once",
        "pool[0].class[0].effect: \"safe\" with a group or a window; expected these for \"keyed\" only",
        "pool[0].class[0].aim_ms: 3000 is past the deadline of 2000; expected an aim within the deadline",
        "pool[0].class[1].window_ms: is missing; expected for how long repeats are dropped",
        "pool[1].name: \"a\" is a name of line 3 too; expected a name of its own",
        "pool[1].backends: neither a list nor a registry",
        "pool[1].class: is missing or empty",
        "pool[1].open: is 1.5; expected a whole number",
        "route[0].pool: no pool \"b\"; expected one of a, a",
        "route[1].class: pool \"a\" does not serve \"no-such\", unreachable; expected one of look, keep",
        "route[2].split: all weights are 0, nothing would be sent; expected one weight above 0",
        "bad.toml:33: route[3]: some requests match it and route \"two\" of line 23, neither more specific",
        "bad.toml:37: route[4]: some requests match it and route \"two\" of line 23, neither more specific",
    ] {
        assert!(said.contains(part), "{part}\nis not in\n{said}");
    }
    assert_eq!(said.lines().count(), 15, "{said}");
}

#[test]
fn other_bad_files_are_told_too() {
    let with = |from: &str, to: &str| {
        assert!(GOOD.contains(from), "{from}");
        parse("f", &GOOD.replacen(from, to, 1))
            .expect_err("bad")
            .to_string()
    };
    let cases = [
        ("name = \"some\"", "name = ", "f:37: file:"),
        (
            "name = \"some\"",
            "name = \"all\"",
            "\"all\" is a name of line",
        ),
        (
            "tenant = \"zaria-foods\"",
            "tenant = \"nobody\"",
            "no tenant \"nobody\", unreachable",
        ),
        (
            "tenant = \"zaria-foods\"",
            "tenat = \"x\"",
            "route[1].tenat: unknown field",
        ),
        (
            "class = \"claim-status\"\ntenant = \"zaria-foods\"\n",
            "",
            "matches the same requests as route \"all\"",
        ),
        (
            "effect = \"safe\"",
            "effect = \"sometimes\"",
            "is \"sometimes\"; expected \"safe\", \"keyed\" or \"unsafe\"",
        ),
        (
            "window_ms = 10_000",
            "window_ms = 0",
            "is 0; expected a number from 1",
        ),
        (
            "aim_ms = 700\n",
            "aim_ms = \"soon\"\n",
            "is a text; expected a number",
        ),
        (
            "weight = 9",
            "weight = -1",
            "is -1; expected a number from 0",
        ),
        (
            "[\"127.0.0.1:9001\"",
            "[7",
            "is a number; expected an address and port",
        ),
        (
            "registry = \"127.0.0.1:8500\"",
            "backends = []",
            "both a list and a registry",
        ),
        (
            "select = { site = \"kano-dc\", class = \"m2\" }",
            "select = { sit = \"x\" }",
            "pool[1].select.sit: unknown field",
        ),
        (
            "pool = \"policy-new\"\nweight = 1",
            "pool = \"policy\"\nweight = 1",
            "\"policy\" comes twice",
        ),
        (
            "[[route]]\nname = \"all\"\npool = \"policy\"",
            "[[route]]\nname = \"all\"\npath = \"x\"\npool = \"policy\"",
            "expected a path from its /",
        ),
    ];
    for (from, to, says) in cases {
        let said = with(from, to);
        assert!(said.contains(says), "{says}\nis not in\n{said}");
    }
    let two = GOOD.replace(
        "registry = \"127.0.0.1:8500\"",
        "backends = [{ address = \"127.0.0.1:9002\", block = 3 }]",
    );
    let two = two.replace("select = { site = \"kano-dc\", class = \"m2\" }", "");
    let said = parse("f", &two).expect_err("bad").to_string();
    assert!(
        said.contains("127.0.0.1:9002 is of another site or block in pool \"policy\""),
        "{said}"
    );
    assert!(
        parse("f", "")
            .expect_err("empty")
            .to_string()
            .contains("pool: is missing or empty")
    );
}

/// No text makes the reader panic: good ones with bytes changed, cut and doubled.
#[test]
fn no_text_makes_it_panic() {
    for seed in 0..4_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut bytes = GOOD.as_bytes().to_vec();
        for _ in 0..1 + rng.usize(..6) {
            let at = rng.usize(..bytes.len());
            match rng.u8(..4) {
                0 => bytes[at] = rng.u8(32..127),
                1 => drop(bytes.drain(at..(at + rng.usize(..30)).min(bytes.len()))),
                2 => bytes.insert(at, *rng.choice(b"[]{}=\"'.,#\n0-").expect("some")),
                _ => {
                    let part = bytes[at..(at + rng.usize(..60)).min(bytes.len())].to_vec();
                    bytes.splice(at..at, part);
                }
            }
        }
        let Ok(text) = String::from_utf8(bytes) else {
            continue;
        };
        if let Err(faults) = parse("f", &text) {
            assert!(!faults.list.is_empty(), "seed {seed}");
            assert_eq!(
                faults.to_string().lines().count(),
                faults.list.len(),
                "seed {seed}: one line each"
            );
        }
    }
}

#[test]
fn a_change_is_told_in_words() {
    let read = |text: &str| Generation::parse(1, "f", text).expect("good");
    let from = read(GOOD);
    assert_eq!(diff::describe_changes(&from, &from), Vec::<String>::new());
    let to = GOOD
        .replace("weight = 9", "weight = 4")
        .replace("\"127.0.0.1:9001\", ", "\"127.0.0.1:9003\", ")
        .replace(
            "effect = \"keyed\"\ngroup = \"block\"\nwindow_ms = 10_000",
            "effect = \"unsafe\"",
        )
        .replace("worth = 3", "worth = 4");
    let to = to
        + "[[pool]]\nname = \"third\"\nregistry = \"default\"\n[[pool.class]]\nname = \"c\"\neffect = \"safe\"\n\
        aim_ms = 1\ndeadline_ms = 2\n[[route]]\nname = \"c\"\nclass = \"c\"\npool = \"third\"\n";
    let lines = diff::describe_changes(&from, &read(&to));
    for part in [
        "backend 127.0.0.1:9003 joins pool policy",
        "backend 127.0.0.1:9001 leaves pool policy",
        "pool policy, class claim-submit: never run twice instead of keyed, block for 10000 ms; calls that are out keep the old way",
        "pool policy, class claim-submit: worth 4 instead of 3",
        "pool third is new: all of the default registry",
        "requests with class claim-status, tenant zaria-foods go to 80.0% to policy, 20.0% to policy-new instead of 90.0% to policy, 10.0% to policy-new",
        "requests with class c go to third instead of policy",
    ] {
        assert!(
            lines.iter().any(|l| l == part),
            "{part}\nis not in\n{lines:#?}"
        );
    }
    assert_eq!(lines.len(), 7, "{lines:#?}");
    let back = diff::describe_changes(&read(&to), &from);
    assert!(
        back.iter().any(|l| l.starts_with("pool third is removed")),
        "{back:#?}"
    );
}
