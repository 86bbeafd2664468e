//! The gate: what is expected of a configuration, on the command line and in the started program,
//! where nodes drain between check and apply.

mod rig;

use rig::scene::*;
use rig::*;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

const ONCE: &str =
    "[[expect]]\nname = \"once runs once\"\nclass = \"once\"\nagain = \"never\"\nserved = true\n";

/// The program's answer on the command line: exit code, standard output, standard error.
async fn run(args: &[&str]) -> (Option<i32>, String, String) {
    let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_heathroad"));
    let out = soon(command.args(args).output()).await.expect("it starts");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (out.status.code(), text(&out.stdout), text(&out.stderr))
}

fn name(path: &Path) -> &str {
    path.to_str().expect("text")
}

#[tokio::test]
async fn the_command_line_tells_what_breaks_an_expectation() {
    let one: SocketAddr = ([127, 0, 0, 1], 9001).into();
    let good = write_file(".toml", &(pool("p", &[one]) + &route("all", "", "p")));
    let bad = pool("p", &[one]).replace(
        "\"once\"\neffect = \"unsafe\"",
        "\"once\"\neffect = \"safe\"",
    );
    let bad = write_file(".toml", &(bad + &route("all", "", "p")));
    let expected = write_file(".toml", ONCE);
    let (code, out, _) = run(&["expect", name(&good), name(&expected)]).await;
    assert_eq!(
        (code, out.as_str()),
        (Some(0), "good: 1 expectations hold, looked at in 1 cases\n")
    );
    let (code, out, err) = run(&["expect", name(&bad), name(&expected)]).await;
    assert_eq!(code, Some(2));
    assert!(err.contains("what is expected does not hold"), "{err}");
    let line = format!(
        "{}:1: \"once runs once\": class once: by route \"all\" of line 21: to pool \"p\": it is safe to repeat anywhere",
        name(&expected)
    );
    assert!(out.starts_with(&line), "{out}");
    let (code, out, _) = run(&["expect", "--json", name(&bad), name(&expected)]).await;
    let told: Value = serde_json::from_str(&out).expect("JSON");
    let failure = &told["files"][0]["verdicts"][0]["failure"];
    assert_eq!(
        (code, &told["holds"], &failure["pool"]),
        (Some(2), &json!(false), &json!("p"))
    );
    // What can't be read is told with its line.
    let spoilt = write_file(".toml", "[[expect]]\nname = 3\n");
    let (code, _, err) = run(&["expect", name(&good), name(&spoilt)]).await;
    assert!(
        code == Some(2) && err.contains(":2: expect[0].name: is a number; expected a text"),
        "{err}"
    );
    // The daemon's settings bound attempts.
    let config = Discovery::start(vec![]).await.config(settings());
    let file = write_config(&config.to_string());
    let tries = write_file(
        ".toml",
        "[[expect]]\nname = \"few tries\"\nattempts = { at_most = 1 }\n",
    );
    let (code, out, _) = run(&["expect", name(&good), name(&tries)]).await;
    assert!(code == Some(2) && out.contains("--settings FILE"), "{out}");
    let (code, out, _) = run(&[
        "expect",
        name(&good),
        name(&tries),
        "--settings",
        name(&file),
    ])
    .await;
    assert!(code == Some(2) && out.contains("attempts is"), "{out}");
}

/// The example that is shipped holds, and its drains can be planned.
#[tokio::test]
async fn the_example_holds() {
    let at = |name: &str| {
        format!(
            "{}/../../deploy/{name}.example.toml",
            env!("CARGO_MANIFEST_DIR")
        )
    };
    let (routes, expected) = (at("routes"), at("expectations"));
    let (code, out, err) = run(&["expect", &routes, &expected]).await;
    assert!(
        code == Some(0) && out.starts_with("good: 6 expectations hold"),
        "{out}{err}"
    );
    let (code, out, err) = run(&["drains", &routes, &expected]).await;
    assert!(
        code == Some(0) && out.contains("6 nodes in 3 batches, fewer batches"),
        "{out}{err}"
    );
}

#[tokio::test]
async fn the_command_line_plans_drains() {
    let list: Vec<SocketAddr> = (9001..=9004).map(|p| ([127, 0, 0, 1], p).into()).collect();
    let routes = write_file(".toml", &(pool("p", &list) + &route("all", "", "p")));
    let text = "[[expect]]\nname = \"three stay\"\nnodes = { at_least = 3 }\n";
    let (three, five) = (
        write_file(".toml", text),
        write_file(".toml", &text.replace('3', "4")),
    );
    let (code, out, _) = run(&["drains", name(&routes), name(&three)]).await;
    assert!(
        code == Some(0) && out.contains("4 nodes in 4 batches, fewer batches can't do"),
        "{out}"
    );
    let two = write_file(".toml", &text.replace('3', "2"));
    let (code, out, _) = run(&["drains", name(&routes), name(&two)]).await;
    assert!(
        code == Some(0) && out.contains("batch 2: ") && out.contains("4 nodes in 2 batches"),
        "{out}"
    );
    let (code, out, _) = run(&[
        "drains",
        name(&routes),
        name(&five),
        "--node",
        "127.0.0.1:9002",
    ])
    .await;
    assert!(
        code == Some(2)
            && out.contains("127.0.0.1:9002 can't be drained: \"three stay\" would fail"),
        "{out}"
    );
    let (code, _, err) = run(&[
        "drains",
        name(&routes),
        name(&three),
        "--node",
        "127.0.0.1:1",
    ])
    .await;
    assert!(
        code == Some(2) && err.contains("is in no pool; expected one of 127.0.0.1:9001"),
        "{err}"
    );
}

/// A change that breaks what is expected is turned down with the reason, by hand and by reload, and
/// changes nothing; the way back is open whatever is expected meanwhile.
#[tokio::test]
async fn a_change_that_breaks_an_expectation_is_turned_down() {
    let (_, a, b) = two_backends().await;
    let text = |to: SocketAddr| pool("p", &[to]) + &route("all", "", "p");
    let expected = write_file(".toml", ONCE);
    let mut s = scene(&text(a.addr), 20, |c| {
        c["expectations"] = name(&expected).into();
    })
    .await;
    let broken = text(b.addr).replace(
        "\"once\"\neffect = \"unsafe\"",
        "\"once\"\neffect = \"safe\"",
    );
    let (status, said) = s.ask("POST", "/config/apply", &broken).await;
    assert!(
        status == 422 && said.contains("\"once runs once\": class once: by route \"all\""),
        "{status} {said}"
    );
    assert_eq!(s.status().await["generation"], 1);
    std::fs::write(&s.file, &broken).expect("it can be written");
    s.proxy
        .reload(&s.config.to_string(), "configuration kept: ")
        .await;
    assert_eq!(s.proxy.call("once").await, (200, "a".into()));
    s.apply(&text(b.addr)).await;
    s.stands(2).await;
    assert_eq!(s.proxy.call("once").await, (200, "b".into()));
    // Expectations that nobody can read turn down any change, and none that fulfils the new ones
    // could go back.
    std::fs::write(&expected, "nonsense").expect("it can be written");
    let (status, said) = s.ask("POST", "/config/apply", &text(a.addr)).await;
    assert!(
        status == 422 && said.contains("expected TOML"),
        "{status} {said}"
    );
    let only = format!("{ONCE}only = {{ nodes = [\"{}\"] }}\n", b.addr);
    std::fs::write(&expected, only).expect("it can be written");
    let (status, said) = s.ask("POST", "/config/apply", &text(a.addr)).await;
    assert!(
        status == 422 && said.contains("it may reach"),
        "{status} {said}"
    );
    let (status, said) = s.ask("GET", "/config/expect", "").await;
    assert!(
        status == 200 && said.contains("\"holds\":true"),
        "{status} {said}"
    );
    let (status, said) = s.ask("POST", "/config/undo", "").await;
    assert!(
        status == 200 && said.contains("generation 3 is staged"),
        "{status} {said}"
    );
    s.stands(3).await;
    assert_eq!(s.proxy.call("once").await, (200, "a".into()));
    let (_, said) = s.ask("GET", "/config/expect", "").await;
    assert!(
        said.contains("\"holds\":false") && said.contains("it may reach"),
        "{said}"
    );
}

/// What holds when a change is proposed is looked at again when it is applied: a node has drained
/// meanwhile.
#[tokio::test]
async fn a_drain_between_check_and_apply_turns_the_change_down() {
    let (_, a, b) = two_backends().await;
    let others = Arc::new(Orders::default());
    let c = Backend::start("c", &others).await;
    let registry = Discovery::start(vec![]).await;
    let address = registry.config(settings())["discovery"].clone();
    let expected = write_file(
        ".toml",
        "[[expect]]\nname = \"two to go to\"\nclass = \"look\"\nnodes = { at_least = 2 }\n",
    );
    let old = pool("p", &[a.addr, b.addr]) + &route("all", "", "p");
    let new = pool("p", &[a.addr, b.addr])
        + &format!("[[pool]]\nname = \"q\"\nregistry = {address}\n")
        + &classes_of(pool("x", &[a.addr]))
        + &route("all", "", "p")
        + &route("looks", "class = \"look\"", "q");
    let s = scene(&old, 20, |c| c["expectations"] = name(&expected).into()).await;
    // Nothing is told yet: the change is staged, and waits for its nodes.
    let (status, said) = s.ask("POST", "/config/apply", &new).await;
    assert!(
        status == 200 && said.contains("generation 2 is staged"),
        "{status} {said}"
    );
    assert_eq!(s.status().await["open"]["phase"], "staging");
    // Both are told, one as draining; the other is warm, and all is ready.
    registry
        .tell(vec![b.line("DRAINING"), c.line("SERVING")])
        .await;
    soon(async {
        while !s.status().await["open"].is_null() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    })
    .await;
    let status = s.status().await;
    let told = status["told"].to_string();
    assert!(
        status["generation"] == 1 && told.contains("generation 2 is given up"),
        "{status}"
    );
    assert!(
        told.contains("\\\"two to go to\\\"")
            && told.contains("nodes is 1; expected 2 at the least"),
        "{status}"
    );
    // The drain is one of the node, in every pool that has it.
    assert!(
        s.ask("GET", "/config/nodes", "")
            .await
            .1
            .contains(&b.addr.to_string())
    );
    assert_eq!(s.proxy.call("look").await, (200, "a".into()));
    // With the node back the same change goes through.
    let mut restarted = b.line("SERVING");
    restarted["born_ms"] = json!(
        std::time::UNIX_EPOCH
            .elapsed()
            .expect("after 1970")
            .as_millis() as u64
            - 60_000
    );
    let (status, said) = s.ask("POST", "/config/apply", &new).await;
    assert!(
        status == 200 && said.contains("generation 3 is staged"),
        "{status} {said}"
    );
    registry.tell(vec![restarted, c.line("SERVING")]).await;
    s.stands(3).await;
    assert!(["b", "c"].contains(&s.proxy.call("look").await.1.as_str()));
    let (code, out, err) = run(&[
        "expect",
        "--live",
        "--admin",
        &s.admin.to_string(),
        name(&write_file(".toml", &new)),
        name(&expected),
    ])
    .await;
    assert!(code == Some(0), "{out}{err}");
}

#[tokio::test]
async fn no_start_is_made_on_a_file_that_breaks_what_is_expected() {
    let (_, a, _b) = two_backends().await;
    let text = pool("p", &[a.addr]) + &route("all", "", "p");
    let expected = write_file(
        ".toml",
        &ONCE.replace("\"never\"", "\"never\"\nnodes = { at_least = 2 }"),
    );
    let discovery = Discovery::start(vec![]).await;
    let mut config = discovery.config(settings());
    config["routes"] = name(&write_file(".toml", &text)).into();
    config["expectations"] = name(&expected).into();
    let file = write_config(&config.to_string());
    let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_heathroad"));
    let out = soon(command.env("RELAY_CONFIG", &file).output())
        .await
        .expect("it starts");
    let said = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(
        out.status.code() == Some(1) && said.contains("nodes is 1; expected 2 at the least"),
        "{said}"
    );
    // Without routes there is nothing to be expected of.
    config["routes"] = Value::Null;
    let file = write_config(&config.to_string());
    let (code, _, said) = run(&["check", name(&file)]).await;
    assert!(
        code == Some(2) && said.contains("expectations: are of use with `routes` only"),
        "{said}"
    );
}

/// Changes that are judged while requests come: each is applied or turned down as expected, and no
/// request is lost or held up by a verdict over many routes.
#[tokio::test]
async fn requests_go_on_while_changes_are_judged() {
    let (_, a, b) = two_backends().await;
    let many: String = (0..300)
        .map(|n| {
            route(
                &format!("r{n}"),
                &format!("class = \"look\"\ntenant = \"acme\"\npath = \"/p{n}\""),
                "one",
            )
        })
        .collect();
    let text = |to: &str, effect: &str| {
        pool("one", &[a.addr])
            + &pool("two", &[b.addr]).replace(
                "\"once\"\neffect = \"unsafe\"",
                &format!("\"once\"\neffect = {effect:?}"),
            )
            + &route("l", "class = \"look\"", to)
            + &route("o", "class = \"once\"", to)
            + &many
    };
    let more: String = (0..50)
        .map(|n| ONCE.replace("once runs once", &format!("{n}")))
        .collect();
    let expected = write_file(".toml", &(ONCE.to_string() + &more));
    let s = scene(&text("one", "unsafe"), 20, |c| {
        c["expectations"] = name(&expected).into();
    })
    .await;
    let load = Load::start(&s.proxy, 4).await;
    for n in 0..20u64 {
        let to = if n % 2 == 0 { "two" } else { "one" };
        let (status, said) = s.ask("POST", "/config/apply", &text("two", "safe")).await;
        assert!(
            status == 422 && said.lines().count() == 51,
            "change {n}: {status} {said}"
        );
        s.apply(&text(to, "unsafe")).await;
        s.stands(n + 2).await;
        let before = load.served();
        soon(async {
            while load.served() < before + 10 {
                tokio::task::yield_now().await;
            }
        })
        .await;
    }
    load.end().await;
}

/// A daemon that would send requests to itself is not started, and `check` says so.
#[tokio::test]
async fn a_configuration_that_leads_back_to_the_daemon_is_a_loop() {
    let own: SocketAddr = ([127, 0, 0, 1], 9).into();
    let mut config = Discovery::start(vec![]).await.config(settings());
    config["listen"] = json!(own.to_string());
    config["routes"] = name(&write_file(
        ".toml",
        &(pool("p", &[own]) + &route("all", "", "p")),
    ))
    .into();
    let file = write_config(&config.to_string());
    let (code, _, said) = run(&["check", name(&file)]).await;
    assert!(
        code == Some(2) && said.contains("is this daemon itself, at 127.0.0.1:9"),
        "{said}"
    );
}
