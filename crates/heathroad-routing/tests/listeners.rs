//! Parsing of JSON-RPC listeners and pools: valid values, errors and the description of changes.

use heathroad_jsonrpc::Framing;
use heathroad_routing::config::{Listener, TenantSource};
use heathroad_routing::diff;
use heathroad_routing::generation::Generation;
use std::rc::Rc;

const VALID: &str = r#"
tenants = ["sahel-agro", "zaria-foods"]
[[pool]]
name = "claims"
backends = ["127.0.0.1:9000"]
rpc = { port = 9100, framing = "headers", calls = 8, declined = -32050 }
[[pool.class]]
name = "claim-submit"
effect = "keyed"
window_ms = 10000
aim_ms = 700
deadline_ms = 2000
[[pool.class]]
name = "payout"
effect = "unsafe"
aim_ms = 700
deadline_ms = 2000
[[pool]]
name = "web"
backends = ["127.0.0.1:9001"]
[[pool.class]]
name = "claim-status"
effect = "safe"
aim_ms = 700
deadline_ms = 2000
[[route]]
name = "web"
listener = "main"
pool = "web"
[[route]]
name = "batches"
listener = "batches"
pool = "claims"
[[listener]]
name = "batches"
listen = "127.0.0.1:9300"
protocol = "json-rpc"
order = "asked"
tenant_in = "/client"
unknown = "payout"
[[listener.method]]
name = "claims.submit"
class = "claim-submit"
key = "/claim/id"
"#;

fn parse(text: &str) -> Result<Rc<Generation>, String> {
    Generation::parse(1, "f", text).map_err(|e| e.to_string())
}

#[test]
fn a_valid_file_is_parsed() {
    let g = parse(VALID).unwrap_or_else(|e| panic!("{e}"));
    let rpc = g.config.pools[0].jsonrpc.expect("JSON-RPC settings");
    assert_eq!(
        (
            rpc.port,
            rpc.framing,
            rpc.max_concurrent_calls,
            rpc.rejection_code
        ),
        (Some(9100), Framing::Headers, 8, Some(-32050))
    );
    let Listener {
        ordered_responses,
        framing,
        max_concurrent_calls,
        max_batch_size,
        tenant_source,
        default_method,
        methods,
        ..
    } = &g.config.listeners[0];
    assert_eq!(
        (
            *ordered_responses,
            *framing,
            *max_concurrent_calls,
            *max_batch_size
        ),
        (true, Framing::Lines, 64, 10_000)
    );
    assert!(matches!(tenant_source, TenantSource::Params(_)));
    assert_eq!(
        default_method.as_ref().map(|m| m.class.as_str()),
        Some("payout")
    );
    assert!(methods["claims.submit"].key.is_some());
}

#[test]
fn each_invalid_value_is_reported() {
    for (from, to, expected) in [
        (
            "protocol = \"json-rpc\"",
            "protocol = \"soap\"",
            "listener[0].protocol: is \"soap\"; expected \"json-rpc\"",
        ),
        (
            "protocol = \"json-rpc\"\n",
            "",
            "listener[0].protocol: is missing",
        ),
        (
            "order = \"asked\"",
            "order = \"random\"",
            "listener[0].order: is \"random\"",
        ),
        (
            "listen = \"127.0.0.1:9300\"",
            "listen = \"here\"",
            "listener[0].listen: is \"here\"",
        ),
        (
            "listen = \"127.0.0.1:9300\"\n",
            "",
            "listener[0].listen: is missing",
        ),
        (
            "tenant_in = \"/client\"",
            "tenant_in = \"client\"",
            "listener[0].tenant_in: is \"client\"; expected a JSON pointer",
        ),
        (
            "tenant_in = \"/client\"",
            "tenant = \"nobody\"",
            "listener[0].tenant: no tenant \"nobody\"",
        ),
        (
            "tenant_in = \"/client\"",
            "tenant = \"sahel-agro\"\ntenant_in = \"/c\"",
            "is told more than once",
        ),
        (
            "tenant_in = \"/client\"",
            "tenant_from = { \"here\" = \"x\" }",
            "invalid entry \"here\"",
        ),
        (
            "unknown = \"payout\"",
            "unknown = \"claim-submit\"",
            "class \"claim-submit\" may run again; expected a class that is unsafe",
        ),
        (
            "unknown = \"payout\"",
            "unknown = \"claim-status\"",
            "no pool that speaks JSON-RPC serves \"claim-status\"",
        ),
        (
            "key = \"/claim/id\"",
            "",
            "listener[0].method[0].key: is missing",
        ),
        (
            "key = \"/claim/id\"",
            "key = \"/~2\"",
            "listener[0].method[0].key: is \"/~2\"",
        ),
        (
            "class = \"claim-submit\"\nkey",
            "class = \"nothing\"\nkey",
            "listener[0].method[0].class: no pool that speaks",
        ),
        (
            "framing = \"headers\"",
            "framing = \"xml\"",
            "pool[0].rpc.framing: is \"xml\"",
        ),
        ("calls = 8", "calls = 0", "pool[0].rpc.calls: is 0"),
        (
            "declined = -32050",
            "odd = 1",
            "pool[0].rpc.odd: unknown field",
        ),
        (
            "listener = \"batches\"\npool = \"claims\"",
            "listener = \"other\"\npool = \"claims\"",
            "no listener \"other\", so the route is unreachable",
        ),
        (
            "listener = \"batches\"\npool = \"claims\"",
            "listener = \"batches\"\npool = \"web\"",
            "JSON-RPC calls would go to pool \"web\"",
        ),
        (
            "listener = \"batches\"\npool = \"claims\"",
            "method = \"none\"\nlistener = \"main\"\npool = \"claims\"",
            "no listener has a method \"none\", so",
        ),
        (
            "name = \"batches\"\nlisten =",
            "name = \"main\"\nlisten =",
            "listener[0].name: \"main\" is the daemon's own",
        ),
    ] {
        assert!(VALID.contains(from), "{from}");
        let errors = parse(&VALID.replacen(from, to, 1))
            .err()
            .unwrap_or_else(|| panic!("{to} is accepted"));
        assert!(errors.contains(expected), "{to}: {errors}");
    }
    // The least specific route would send calls to a pool that does not speak JSON-RPC.
    let result = parse(&VALID.replace("listener = \"main\"\n", "").replace(
        "listener = \"batches\"\npool = \"claims\"",
        "class = \"payout\"\npool = \"claims\"",
    ));
    let errors = result.expect_err("an unserved method");
    assert!(
        errors.contains("calls of \"claims.submit\" on listener \"batches\" go to pool \"web\""),
        "{errors}"
    );
    let duplicate = format!(
        "{VALID}{}",
        &VALID[VALID.find("[[listener]]").expect("a listener")..].replacen("batches", "more", 1)
    );
    let errors = parse(&duplicate).expect_err("a shared address");
    assert!(
        errors.contains("127.0.0.1:9300 is already used by listener \"batches\""),
        "{errors}"
    );
}

#[test]
fn a_diff_describes_each_change_of_a_listener() {
    let changed = VALID
        .replace(
            "class = \"claim-submit\"\nkey = \"/claim/id\"",
            "class = \"payout\"",
        )
        .replace("order = \"asked\"\n", "")
        .replace("calls = 8", "calls = 4");
    let [a, b] = [VALID, &changed].map(|t| parse(t).unwrap_or_else(|e| panic!("{e}")));
    let lines = diff::describe_changes(&a, &b).join("\n");
    for expected in [
        "listener batches changes; its connections close",
        "listener batches, method claims.submit: class payout instead of claim-submit",
        "pool claims: the JSON-RPC settings of its backends change",
    ] {
        assert!(lines.contains(expected), "{lines}");
    }
    assert!(diff::describe_changes(&a, &a).is_empty());
}

#[test]
fn a_backend_that_is_an_own_listener_is_reported() {
    let config_text = |backend: &str, rpc: &str, listen: &str| {
        format!(
            "[[pool]]\nname = \"p\"\nbackends = [\"{backend}\"]\n[pool.rpc]\n{rpc}\n[[pool.class]]\nname = \"c\"\neffect = \"unsafe\"\n\
             aim_ms = 1\ndeadline_ms = 1\n[[route]]\nname = \"r\"\npool = \"p\"\n[[listener]]\nname = \"l\"\n\
             protocol = \"json-rpc\"\nlisten = \"{listen}\"\n[[listener.method]]\nname = \"m\"\nclass = \"c\"\n"
        )
    };
    let parse_errors = |text: &str| {
        heathroad_routing::config::parse("f", text)
            .map_err(|e| e.to_string())
            .err()
    };
    for (backend, rpc, listen) in [
        ("127.0.0.1:9000", "", "127.0.0.1:9000"),
        ("127.0.0.1:8000", "port = 9000", "127.0.0.1:9000"),
        ("127.0.0.1:9000", "", "0.0.0.0:9000"),
    ] {
        let errors = parse_errors(&config_text(backend, rpc, listen)).expect("a loop");
        assert!(
            errors.contains("is listener \"l\", calls would loop"),
            "{errors}"
        );
    }
    assert_eq!(
        parse_errors(&config_text(
            "127.0.0.1:9000",
            "port = 9001",
            "127.0.0.1:9000"
        )),
        None
    );
    assert_eq!(
        parse_errors(&config_text("10.0.0.1:9000", "", "0.0.0.0:9000")),
        None
    );
    let config =
        heathroad_routing::config::parse("f", &config_text("127.0.0.1:9000", "", "127.0.0.1:9001"))
            .expect("a valid file");
    assert_eq!(
        config
            .pools_looping_to(([127, 0, 0, 1], 9000).into())
            .count(),
        0,
        "JSON-RPC pools receive no HTTP requests"
    );
}
