//! Verdicts: a valid configuration passes, and each defect is reported for the expectation that it
//! violates.

mod common;

use common::{EXPECTED, ROUTES, environment, expectations, generation, report};
use heathroad_verifier::{Environment, verify};

#[test]
fn a_valid_configuration_passes_with_the_number_of_cases() {
    let report = report(ROUTES, EXPECTED);
    assert!(report.holds(), "{}", report.failures().join("\n"));
    let cases = |name: &str| {
        report
            .verdicts
            .iter()
            .find(|v| v.name == name)
            .expect("a verdict")
            .case_count
    };
    // HTTP: five classes, one of which goes to two pools. JSON-RPC: two methods.
    assert_eq!(cases("all are served"), 5 + 1 + 2);
    assert_eq!(cases("payouts never run twice"), 2);
    assert_eq!(cases("finance can't look at rates"), 0);
}

/// Edits of the routes: the replaced text, its replacement, the expectation that fails (or none), and
/// a part of the message.
const EDITS: &[(&str, &str, &str, &str)] = &[
    (
        "name = \"drafts\"\nclass = \"draft-save\"\npool = \"writes\"",
        "name = \"drafts\"\nclass = \"draft-save\"\ntenant = \"sahel-agro\"\npool = \"writes\"",
        "all are served",
        "class draft-save: by route \"all\" of line 58: to pool \"reads\": class \"draft-save\" is not served there",
    ),
    (
        "{ address = \"127.0.0.1:9004\", site = \"jos-dc\", block = 2 }",
        "{ address = \"127.0.0.1:9004\", site = \"minna-dc\", block = 2 }",
        "drafts of kano-textiles stay with the writes",
        "it may reach 127.0.0.1:9004 (site \"minna-dc\"",
    ),
    (
        "\"127.0.0.1:9004\", site",
        "\"127.0.0.1:9007\", site",
        "drafts of kano-textiles stay with the writes",
        "it may reach 127.0.0.1:9007",
    ),
    (
        "name = \"payout\"\neffect = \"unsafe\"",
        "name = \"payout\"\neffect = \"safe\"",
        "payouts never run twice",
        "it is safe to repeat anywhere",
    ),
    (
        "name = \"payout\"\neffect = \"unsafe\"",
        "name = \"payout\"\neffect = \"keyed\"\nwindow_ms = 5",
        "payouts never run twice",
        "it is keyed in the group all for 5 ms",
    ),
    (
        "effect = \"keyed\"\ngroup = \"block\"\nwindow_ms = 10_000",
        "effect = \"safe\"",
        "submits run again only in their block",
        "it to be retried only where backends deduplicate requests",
    ),
    (
        "group = \"block\"",
        "group = \"site\"",
        "submits run again only in their block",
        "expected it to be keyed in the group block",
    ),
    (
        "group = \"block\"",
        "group = \"all\"",
        "submits run again only in their block",
        "it is keyed in the group all",
    ),
    (
        "window_ms = 10_000",
        "window_ms = 20_000",
        "submits run again only in their block",
        "window_ms is 20000; expected 10000 at the most",
    ),
    (
        "\"127.0.0.1:9002\", site = \"kano-dc\", block = 1",
        "\"127.0.0.1:9002\", site = \"kano-dc\", block = 4",
        "submits run again only in their block",
        "mates is 0; expected 1 at the least",
    ),
    (
        "worth = 3",
        "worth = 1",
        "submits run again only in their block",
        "worth is 1; expected 2 at the least",
    ),
    (
        "name = \"submits\"\nclass = \"claim-submit\"\npool = \"writes\"",
        "name = \"submits\"\nclass = \"claim-submit\"\npool = \"writes\"\n\
        [[route]]\nname = \"astray\"\nclass = \"claim-submit\"\ntenant = \"zaria-foods\"\npath = \"/claims/*\"\npool = \"side\"",
        "what changes something never tries the trial",
        "path /claims/other, tenant zaria-foods: by route \"astray\"",
    ),
    (
        "{ address = \"127.0.0.1:9001\", site = \"kano-dc\", block = 1 },",
        "",
        "submits run again only in their block",
        "mates is 0",
    ),
    (
        "site = \"jos-dc\"",
        "site = \"kano-dc\"",
        "writes survive a site",
        "\"writes survive a site\": without site kano-dc: class claim-submit",
    ),
    (
        "{ address = \"127.0.0.1:9003\", site = \"jos-dc\", block = 2 },",
        "",
        "writes keep two nodes",
        "while kano-dc is gone: class payout: by route \"payouts\"",
    ),
    (
        "weight = 5",
        "weight = 6",
        "few rates try the trial",
        "pool \"trial\" gets a share of 0.0594; expected 0.05 at the most",
    ),
    (
        "weight = 95",
        "weight = 0",
        "few rates try the trial",
        "gets a share of 1.0000",
    ),
    (
        "aim_ms = 500",
        "aim_ms = 800",
        "few rates try the trial",
        "aim_ms is 800",
    ),
    (
        "aim_ms = 500\ndeadline_ms = 2000",
        "aim_ms = 500\ndeadline_ms = 3000",
        "few rates try the trial",
        "deadline_ms is 3000; expected 2000 at the most",
    ),
    (
        "select = { site = \"kano-dc\" }\nopen = 200",
        "select = { site = \"kano-dc\" }",
        "",
        "",
    ),
    (
        "select = { site = \"kano-dc\" }",
        "",
        "reads stay at home",
        "it may reach 127.0.0.1:9012 (site \"jos-dc\", block 3, kind \"m2\")",
    ),
    (
        "select = { site = \"kano-dc\" }",
        "select = { site = \"jos-dc\" }",
        "reads stay at home",
        "by route \"all\"",
    ),
    (
        "select = { site = \"kano-dc\" }",
        "select = { site = \"zaria-dc\" }",
        "all are served",
        "no node takes new requests",
    ),
    (
        "registry = \"default\"",
        "registry = \"127.0.0.1:8501\"",
        "reads stay at home",
        "announced by the registry at 127.0.0.1:8501 and not known here",
    ),
    (
        "[[route]]\nname = \"all\"\npool = \"reads\"",
        "[[route]]\nname = \"status\"\nclass = \"claim-status\"\npool = \"reads\"\n",
        "",
        "",
    ),
    (
        "[[route]]\nname = \"all\"\npool = \"reads\"",
        "[[route]]\nname = \"status\"\nclass = \"claim-status\"\ntenant = \"kano-textiles\"\npool = \"reads\"\n",
        "all are served",
        "class claim-status: no route takes it",
    ),
    (
        "[[route]]\nname = \"all\"\npool = \"reads\"",
        "[[route]]\nname = \"by host\"\nclass = \"claim-status\"\nhost = \"*.example.org\"\npool = \"reads\"\n",
        "all are served",
        "class claim-status: no route takes it",
    ),
    (
        "[[route]]\nname = \"all\"\npool = \"reads\"",
        "[[route]]\nname = \"all\"\npool = \"reads\"\n[[route]]\nname = \"odd\"\nclass = \"claim-status\"\nheader = { name = \"X-Canary\", is = \"1\" }\npool = \"far\"\n",
        "all are served",
        "class claim-status, header x-canary: 1: by route \"odd\"",
    ),
    (
        "[[route]]\nname = \"all\"\npool = \"reads\"",
        "[[route]]\nname = \"all\"\npool = \"reads\"\n[[route]]\nname = \"odd\"\nclass = \"claim-status\"\nhost = \"*.example.org\"\npool = \"far\"\n",
        "all are served",
        "class claim-status, host other.example.org: by route \"odd\"",
    ),
    (
        "name = \"claim-status\"\neffect",
        "name = \"claim-state\"\neffect",
        "reads stay at home",
        "there are no requests with class claim-status",
    ),
    (
        "tenants = [\"kano-textiles\", ",
        "tenants = [",
        "drafts of kano-textiles stay with the writes",
        "no tenant \"kano-textiles\"; expected one of zaria-foods",
    ),
    (
        "name = \"trial\"\nb",
        "name = \"attempt\"\nb",
        "what changes something never tries the trial",
        "no pool \"trial\"; expected one of reads, writes",
    ),
    (
        "name = \"claims.payout\"\nclass = \"payout\"",
        "name = \"claims.payout\"\nclass = \"payout\"\n[[listener.method]]\nname = \"rates.read\"\nclass = \"rate-lookup\"",
        "",
        "",
    ),
    ("port = 9100", "", "", ""),
];

#[test]
fn each_defect_fails_the_expectation_that_it_violates() {
    let mut defect_count = 0;
    for (from, to, name, message) in EDITS {
        assert!(ROUTES.contains(from), "{from}");
        let mut routes = ROUTES.replace(from, to);
        if routes.contains("\"side\"") {
            routes += "[[pool]]\nname = \"side\"\nregistry = \"default\"\n[[pool.class]]\nname = \"claim-submit\"\n\
                effect = \"keyed\"\ngroup = \"block\"\nwindow_ms = 5\naim_ms = 1\ndeadline_ms = 1\nworth = 5\n";
        }
        if routes.contains("\"far\"") {
            routes += "[[pool]]\nname = \"far\"\nregistry = \"default\"\nselect = { site = \"nowhere\" }\n[[pool.class]]\n\
                name = \"claim-status\"\neffect = \"safe\"\naim_ms = 1\ndeadline_ms = 1\n";
        }
        if to.contains("attempt") {
            routes = routes.replace("pool = \"trial\"", "pool = \"attempt\"");
        }
        if to.contains("claim-state") || to.contains("rates.read") {
            // Keeps the routing file valid, so that it is not rejected before verification.
            routes = routes.replace(
                "[[listener.method]]\nname = \"rates.read\"\nclass = \"rate-lookup\"",
                "",
            );
        }
        if to.contains("keyed") {
            // A listener method of a keyed class would need `key`.
            routes.truncate(routes.find("[[listener]]").expect("a listener"));
        }
        let report = report(&routes, EXPECTED);
        let failures = report.failures();
        if name.is_empty() {
            assert!(failures.is_empty(), "{from} -> {to}: {failures:?}");
            continue;
        }
        defect_count += 1;
        let named = failures.iter().find(|f| f.contains(&format!("{name:?}")));
        let named = named
            .unwrap_or_else(|| panic!("{from} -> {to}: {name:?} does not fail: {failures:#?}"));
        assert!(named.contains(message), "{from} -> {to}: {named}");
    }
    assert!(defect_count >= 29, "{defect_count}");
}

/// Guards against ignoring that a listed node is known to be unavailable.
#[test]
fn a_known_drain_makes_a_listed_node_unavailable() {
    let e = expectations(EXPECTED);
    let (generation, mut environment) = (generation(ROUTES), environment(&e));
    environment.nodes.push(heathroad_verifier::Node::withdrawn(
        "127.0.0.1:9003".parse().expect("an address"),
    ));
    let report = verify(&generation, &e, &environment).expect("can be verified");
    let failures = report.failures();
    // Site and block come from the list, and the availability from the environment.
    assert!(
        failures.iter().any(|f| f.contains("mates is 0")),
        "{failures:?}"
    );
    assert!(
        failures
            .iter()
            .any(|f| f.contains("while kano-dc is gone") && f.contains("nodes is 1")),
        "{failures:?}"
    );
    assert!(
        !failures.iter().any(|f| f.contains("survive a site")),
        "{failures:?}"
    );
}

/// Guards against passing an expectation that depends on unknown nodes or settings.
#[test]
fn unknown_nodes_and_settings_fail_with_a_hint() {
    let text = EXPECTED.replace("[[node]]", "[[gone]]");
    let cut = text.find("[[state]]").expect("states");
    let e = expectations(&text[cut..]);
    let report = verify(&generation(ROUTES), &e, &Environment::default()).expect("can be verified");
    let failures = report.failures();
    let messages = [
        "not known here; expected them to be told (`--settings FILE`)",
        "never blocks 3",
    ];
    assert!(
        failures.iter().any(|f| f.contains(messages[0])),
        "{failures:?}"
    );
    assert!(
        failures
            .iter()
            .any(|f| f.contains("pool \"reads\" are announced by the default registry")),
        "{failures:?}"
    );
    // The pool's label selector alone restricts its nodes to one site.
    let site = "[[expect]]\nname = \"home\"\nclass = \"claim-status\"\nonly = { sites = [\"kano-dc\"] }\nnever = { sites = [\"jos-dc\"] }";
    assert!(
        verify(
            &generation(ROUTES),
            &expectations(site),
            &Environment::default()
        )
        .expect("can be verified")
        .holds()
    );
    let other = site.replace(
        "only = { sites = [\"kano-dc\"] }",
        "only = { sites = [\"jos-dc\"] }",
    );
    assert!(
        !verify(
            &generation(ROUTES),
            &expectations(&other),
            &Environment::default()
        )
        .expect("can be verified")
        .holds()
    );
}

/// Guards against failures for requests of tenants that the daemon does not accept.
#[test]
fn requests_of_rejected_tenants_are_not_verified() {
    let routes = ROUTES.replace(
        "name = \"all\"\npool = \"reads\"",
        "name = \"one\"\ntenant = \"kano-textiles\"\npool = \"reads\"\n[[route]]\nname = \"two\"\ntenant = \"zaria-foods\"\npool = \"reads\"",
    );
    let routes = routes.replace(
        "class = \"claim-submit\"\npool",
        "class = \"claim-submit\"\npath=\"/*\"\npool",
    );
    let text = "[[expect]]\nname = \"status is served\"\nclass = \"claim-status\"\nserved = true";
    // Routes by class and by tenant would overlap, so only claim-status keeps a route.
    let routes = routes
        .split("[[route]]")
        .filter(|r| {
            !["submits", "payouts", "drafts", "rates"]
                .iter()
                .any(|n| r.starts_with(&format!("\nname = \"{n}\"\nclass")))
        })
        .collect::<Vec<_>>()
        .join("[[route]]");
    let routes = &routes[..routes.find("[[listener]]").unwrap_or(routes.len())];
    let (generation, e) = (generation(routes), expectations(text));
    let failures = verify(&generation, &e, &Environment::default())
        .expect("can be verified")
        .failures();
    assert!(
        failures[0].contains("class claim-status: no route takes it"),
        "{failures:?}"
    );
    let two = vec!["kano-textiles".to_string(), "zaria-foods".to_string()];
    let two_tenants = Environment {
        tenants: Some(two.clone()),
        ..Environment::default()
    };
    assert!(
        verify(&generation, &e, &two_tenants)
            .expect("can be verified")
            .holds()
    );
    let three_tenants = Environment {
        tenants: Some([two, vec!["sahel-agro".into()]].concat()),
        ..Environment::default()
    };
    let failures = verify(&generation, &e, &three_tenants)
        .expect("can be verified")
        .failures();
    assert!(
        failures[0].contains("tenant sahel-agro: no route takes it"),
        "{failures:?}"
    );
}
