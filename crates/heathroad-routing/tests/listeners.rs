//! What a file says of JSON-RPC: read, and every mistake told with its line.

use heathroad_jsonrpc::Framing;
use heathroad_routing::config::{Listener, TenantSource};
use heathroad_routing::diff;
use heathroad_routing::generation::Generation;
use std::rc::Rc;

const GOOD: &str = r#"
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

fn read(text: &str) -> Result<Rc<Generation>, String> {
    Generation::parse(1, "f", text).map_err(|e| e.to_string())
}

#[test]
fn a_good_file_says_where_calls_come_in_and_go() {
    let g = read(GOOD).unwrap_or_else(|e| panic!("{e}"));
    let rpc = g.config.pools[0].jsonrpc.expect("it speaks JSON-RPC");
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
fn each_mistake_has_its_line_and_what_was_expected() {
    for (from, to, want) in [
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
            "listener[0].tenant_in: is \"client\"; expected a pointer",
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
            "\"here\" is none",
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
            "no listener \"other\", unreachable",
        ),
        (
            "listener = \"batches\"\npool = \"claims\"",
            "listener = \"batches\"\npool = \"web\"",
            "remote calls would go to pool \"web\"",
        ),
        (
            "listener = \"batches\"\npool = \"claims\"",
            "method = \"none\"\nlistener = \"main\"\npool = \"claims\"",
            "no listener has a method \"none\"",
        ),
        (
            "name = \"batches\"\nlisten =",
            "name = \"main\"\nlisten =",
            "listener[0].name: \"main\" is the daemon's own",
        ),
    ] {
        assert!(GOOD.contains(from), "{from}");
        let said = read(&GOOD.replacen(from, to, 1))
            .err()
            .unwrap_or_else(|| panic!("{to} is taken"));
        assert!(said.contains(want), "{to}: {said}");
    }
    // The most general route would take calls to a pool that does not speak it.
    let said = read(&GOOD.replace("listener = \"main\"\n", "").replace(
        "listener = \"batches\"\npool = \"claims\"",
        "class = \"payout\"\npool = \"claims\"",
    ));
    let said = said.expect_err("it is turned down");
    assert!(
        said.contains("calls of \"claims.submit\" on listener \"batches\" go to pool \"web\""),
        "{said}"
    );
    let twice = format!(
        "{GOOD}{}",
        &GOOD[GOOD.find("[[listener]]").expect("there")..].replacen("batches", "more", 1)
    );
    let said = read(&twice).expect_err("it is turned down");
    assert!(
        said.contains("127.0.0.1:9300 is \"batches\"'s too"),
        "{said}"
    );
}

#[test]
fn a_change_of_listeners_is_told_in_words() {
    let other = GOOD
        .replace(
            "class = \"claim-submit\"\nkey = \"/claim/id\"",
            "class = \"payout\"",
        )
        .replace("order = \"asked\"\n", "")
        .replace("calls = 8", "calls = 4");
    let [a, b] = [GOOD, &other].map(|t| read(t).unwrap_or_else(|e| panic!("{e}")));
    let words = diff::describe_changes(&a, &b).join("\n");
    for want in [
        "listener batches changes; connections to it end",
        "listener batches, method claims.submit: class payout instead of claim-submit",
        "pool claims: its backends are called over JSON-RPC in another way",
    ] {
        assert!(words.contains(want), "{words}");
    }
    assert!(diff::describe_changes(&a, &a).is_empty());
}

#[test]
fn a_pool_that_leads_back_to_a_listener_is_a_loop() {
    let text = |backend: &str, rpc: &str, listen: &str| {
        format!(
            "[[pool]]\nname = \"p\"\nbackends = [\"{backend}\"]\n[pool.rpc]\n{rpc}\n[[pool.class]]\nname = \"c\"\neffect = \"unsafe\"\n\
             aim_ms = 1\ndeadline_ms = 1\n[[route]]\nname = \"r\"\npool = \"p\"\n[[listener]]\nname = \"l\"\n\
             protocol = \"json-rpc\"\nlisten = \"{listen}\"\n[[listener.method]]\nname = \"m\"\nclass = \"c\"\n"
        )
    };
    let said = |text: &str| {
        heathroad_routing::config::parse("f", text)
            .map_err(|e| e.to_string())
            .err()
    };
    for (backend, rpc, listen) in [
        ("127.0.0.1:9000", "", "127.0.0.1:9000"),
        ("127.0.0.1:8000", "port = 9000", "127.0.0.1:9000"),
        ("127.0.0.1:9000", "", "0.0.0.0:9000"),
    ] {
        let told = said(&text(backend, rpc, listen)).expect("a loop");
        assert!(
            told.contains("is listener \"l\", calls would come back for ever"),
            "{told}"
        );
    }
    assert_eq!(
        said(&text("127.0.0.1:9000", "port = 9001", "127.0.0.1:9000")),
        None
    );
    assert_eq!(said(&text("10.0.0.1:9000", "", "0.0.0.0:9000")), None);
    let config =
        heathroad_routing::config::parse("f", &text("127.0.0.1:9000", "", "127.0.0.1:9001"))
            .expect("good");
    assert_eq!(
        config
            .pools_looping_to(([127, 0, 0, 1], 9000).into())
            .count(),
        0,
        "its backends are called over JSON-RPC"
    );
}
