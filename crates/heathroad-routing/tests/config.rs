//! Parsing of configuration files: the values of a valid file, and the errors of invalid ones.

use heathroad_routing::config::{BackendSource, DeduplicationScope, Idempotency, parse};
use heathroad_routing::diff;
use heathroad_routing::generation::Generation;

const VALID: &str = r#"
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
fn a_valid_file_is_parsed() {
    let c = parse("routes.toml", VALID).expect("a valid file");
    assert_eq!((c.tenants.len(), c.pools.len(), c.routes.len()), (2, 2, 2));
    let BackendSource::List(backends) = &c.pools[0].source else {
        panic!("pool 0 lists its backends")
    };
    assert_eq!(
        (
            backends[1].site.as_str(),
            backends[1].block,
            backends[1].weight
        ),
        ("kano-dc", 2, 0.5)
    );
    let BackendSource::Registry { address, select } = &c.pools[1].source else {
        panic!("pool 1 has a registry")
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

/// All errors of a file are reported together, each with its line, field, reason and expectation.
#[test]
fn all_errors_of_a_file_are_reported() {
    let invalid = r#"
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
    let errors = parse("invalid.toml", invalid)
        .expect_err("an invalid file")
        .to_string();
    for part in [
        "invalid.toml:2: pols: unknown field; expected one of listener, pool, route, tenants",
        "invalid.toml:5: pool[0].backends: is \"nowhere\"; expected an address and port",
        "pool[0].backends: 127.0.0.1:9001 is listed twice; expected each address at most once",
        "pool[0].class[0].effect: \"safe\" with `group` or `window_ms`; expected these keys only with \"keyed\"",
        "pool[0].class[0].aim_ms: 3000 exceeds the deadline of 2000; expected at most the deadline",
        "pool[0].class[1].window_ms: is missing; expected for how long repeats are dropped",
        "pool[1].name: \"a\" is already used on line 3; expected a name of its own",
        "pool[1].backends: neither a list nor a registry",
        "pool[1].class: is missing or empty",
        "pool[1].open: is 1.5; expected a whole number",
        "route[0].pool: no pool \"b\"; expected one of a, a",
        "route[1].class: pool \"a\" does not serve class \"no-such\"; expected one of look, keep",
        "route[2].split: all weights are 0; expected one weight above 0",
        "invalid.toml:33: route[3]: some requests match both it and route \"two\" on line 23, and neither is more specific",
        "invalid.toml:37: route[4]: some requests match both it and route \"two\" on line 23, and neither is more specific",
    ] {
        assert!(errors.contains(part), "{part}\nis not in\n{errors}");
    }
    assert_eq!(errors.lines().count(), 15, "{errors}");
}

#[test]
fn each_invalid_value_is_reported() {
    let parse_with = |from: &str, to: &str| {
        assert!(VALID.contains(from), "{from}");
        parse("f", &VALID.replacen(from, to, 1))
            .expect_err("an invalid file")
            .to_string()
    };
    let cases = [
        ("name = \"some\"", "name = ", "f:37: file:"),
        (
            "name = \"some\"",
            "name = \"all\"",
            "\"all\" is already used on line",
        ),
        (
            "tenant = \"zaria-foods\"",
            "tenant = \"nobody\"",
            "no tenant \"nobody\", so the route is unreachable",
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
            "\"policy\" is listed twice",
        ),
        (
            "[[route]]\nname = \"all\"\npool = \"policy\"",
            "[[route]]\nname = \"all\"\npath = \"x\"\npool = \"policy\"",
            "expected a path that starts with /",
        ),
    ];
    for (from, to, expected) in cases {
        let errors = parse_with(from, to);
        assert!(errors.contains(expected), "{expected}\nis not in\n{errors}");
    }
    let conflicting = VALID.replace(
        "registry = \"127.0.0.1:8500\"",
        "backends = [{ address = \"127.0.0.1:9002\", block = 3 }]",
    );
    let conflicting = conflicting.replace("select = { site = \"kano-dc\", class = \"m2\" }", "");
    let errors = parse("f", &conflicting)
        .expect_err("an invalid file")
        .to_string();
    assert!(
        errors.contains("127.0.0.1:9002 has a different site or block in pool \"policy\""),
        "{errors}"
    );
    assert!(
        parse("f", "")
            .expect_err("an empty file")
            .to_string()
            .contains("pool: is missing or empty")
    );
}

/// Mutates a valid file: bytes are replaced, removed, inserted and duplicated.
#[test]
fn the_parser_does_not_panic_on_malformed_input() {
    for seed in 0..4_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut bytes = VALID.as_bytes().to_vec();
        for _ in 0..1 + rng.usize(..6) {
            let offset = rng.usize(..bytes.len());
            match rng.u8(..4) {
                0 => bytes[offset] = rng.u8(32..127),
                1 => drop(bytes.drain(offset..(offset + rng.usize(..30)).min(bytes.len()))),
                2 => bytes.insert(offset, *rng.choice(b"[]{}=\"'.,#\n0-").expect("a byte")),
                _ => {
                    let part = bytes[offset..(offset + rng.usize(..60)).min(bytes.len())].to_vec();
                    bytes.splice(offset..offset, part);
                }
            }
        }
        let Ok(text) = String::from_utf8(bytes) else {
            continue;
        };
        if let Err(errors) = parse("f", &text) {
            assert!(!errors.list.is_empty(), "seed {seed}");
            assert_eq!(
                errors.to_string().lines().count(),
                errors.list.len(),
                "seed {seed}: one line per error"
            );
        }
    }
}

#[test]
fn a_diff_describes_each_change() {
    let parse = |text: &str| Generation::parse(1, "f", text).expect("a valid file");
    let from = parse(VALID);
    assert_eq!(diff::describe_changes(&from, &from), Vec::<String>::new());
    let to = VALID
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
    let lines = diff::describe_changes(&from, &parse(&to));
    for part in [
        "backend 127.0.0.1:9003 joins pool policy",
        "backend 127.0.0.1:9001 leaves pool policy",
        "pool policy, class claim-submit: non-idempotent instead of keyed, scope block, window 10000 ms; open requests are not affected",
        "pool policy, class claim-submit: worth 4 instead of 3",
        "pool third is added: all of the default registry",
        "requests with class claim-status, tenant zaria-foods go to 80.0% to policy, 20.0% to policy-new instead of 90.0% to policy, 10.0% to policy-new",
        "requests with class c go to third instead of policy",
    ] {
        assert!(
            lines.iter().any(|l| l == part),
            "{part}\nis not in\n{lines:#?}"
        );
    }
    assert_eq!(lines.len(), 7, "{lines:#?}");
    let reverse = diff::describe_changes(&parse(&to), &from);
    assert!(
        reverse
            .iter()
            .any(|l| l.starts_with("pool third is removed")),
        "{reverse:#?}"
    );
}
