//! The started program with routes and pools: where requests go, and changing that under load, by
//! hand, by harm, and across a kill.

mod rig;

use http_body_util::Full;
use hyper::Request;
use rig::scene::*;
use rig::*;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::time::Duration;
use tokio::sync::Notify;

#[tokio::test]
async fn requests_go_by_their_most_specific_route() {
    let (_, a, b) = two_backends().await;
    let text = pool("old", &[a.addr])
        + &pool("new", &[b.addr])
        + &route("all", "", "old")
        + &route("looks", "class = \"look\"", "new")
        + &route(
            "some",
            "class = \"look\"\ntenant = \"acme\"\nheader = { name = \"x-side\", is = \"old\" }",
            "old",
        );
    let s = scene(&text, 1000, |_| {}).await;
    assert_eq!(s.proxy.call("once").await, (200, "a".into()));
    assert_eq!(s.proxy.call("look").await, (200, "b".into()));
    let with = request("look")
        .header("x-side", "old")
        .body(Full::default())
        .expect("well formed");
    assert_eq!(s.proxy.caller().await.send(with).await, (200, "a".into()));
    let unknown = request("nothing")
        .body(Full::default())
        .expect("well formed");
    assert_eq!(s.proxy.caller().await.send(unknown).await.0, 404);
    // What is counted says of which pool.
    let (_, text) = s.ask("GET", "/metrics", "").await;
    let line =
        r#"heathroad_requests_total{pool="new",class="look",tenant="acme",answer="served"} 1"#;
    assert!(text.lines().any(|l| l == line), "{text}");
}

/// Two classes move from pool to pool together, 200 times, under load: what is taken after a change
/// was in force goes by it, whatever its class; nothing is lost, and no connection to a backend
/// that stays is opened anew.
#[tokio::test]
async fn no_request_sees_a_mixture_in_200_switch_overs() {
    let (_, a, b) = two_backends().await;
    let text = |to: &str| {
        pool("one", &[a.addr])
            + &pool("two", &[b.addr])
            + &route("l", "class = \"look\"", to)
            + &route("o", "class = \"once\"", to)
    };
    let s = scene(&text("one"), 20, |_| {}).await;
    let load = Load::start(&s.proxy, 8).await;
    let mut caller = s.proxy.caller().await;
    for n in 0..200u64 {
        let (to, backend) = if n % 2 == 0 {
            ("two", "b")
        } else {
            ("one", "a")
        };
        s.apply(&text(to)).await;
        for class in ["look", "once", "look", "once"] {
            let (status, body) = caller.call(class).await;
            assert!(
                status == 503 || (status, body.as_str()) == (200, backend),
                "change {n}, {class}: {status} {body}"
            );
        }
        s.stands(n + 2).await;
    }
    let (served, connections) = (load.end().await, a.total() + b.total());
    assert!(served > 2_000, "{served}");
    assert!(
        connections < 40,
        "{connections} connections for {served} calls: both generations share them"
    );
}

/// A request keeps the generation that it was taken under, its second try included.
#[tokio::test]
async fn a_resend_stays_in_the_generation_that_took_the_request() {
    let orders = Arc::new(Orders::default());
    let others = Arc::new(Orders::default());
    let (a, b) = (
        Backend::start("a", &orders).await,
        Backend::start("b", &orders).await,
    );
    let c = Backend::start("c", &others).await;
    let text = |members: &[SocketAddr]| pool("p", members) + &route("all", "", "p");
    let s = scene(&text(&[a.addr, b.addr]), 20, |_| {}).await;
    let release = Arc::new(Notify::new());
    orders.give([Do::Hold(release.clone())]);
    let mut caller = s.proxy.caller().await;
    let held = tokio::spawn(async move { caller.call("look").await });
    orders.came(1).await;
    let first = orders.seen.borrow()[0].0;
    s.apply(&text(&[c.addr])).await;
    s.stands(2).await;
    assert_eq!(s.proxy.call("look").await, (200, "c".into()));
    assert_eq!(
        s.status().await["older_generations_in_use"],
        1,
        "the one that is held pins it"
    );
    // Its connection breaks: the second try goes to the other of the old two.
    let (went, other) = if first == "a" { (&a, "b") } else { (&b, "a") };
    went.break_all().await;
    assert_eq!(held.await.expect("no panic"), (200, other.into()));
    soon(async {
        while s.status().await["older_generations_in_use"] != 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
    // What the run that has gone had counted stays counted, with its successor's.
    let counts: Value = counts(s.admin).await;
    assert_eq!(
        counts["requests"],
        json!([{"pool": "p", "class": "look", "tenant": "acme", "answer": "served", "count": 2}])
    );
    assert_eq!(
        (&counts["attempts"]["served"], &counts["resends"]["reset"]),
        (&json!(2), &json!(1))
    );
}

#[tokio::test]
async fn a_change_is_turned_down_whole_or_undone_on_demand() {
    let (_, a, b) = two_backends().await;
    let text = |to: SocketAddr| pool("p", &[to]) + &route("all", "", "p");
    let s = scene(&text(a.addr), 60_000, |_| {}).await;
    let (status, said) = s
        .ask(
            "POST",
            "/config/apply",
            &text(a.addr).replace("pool = \"p\"", "pool = \"q\""),
        )
        .await;
    assert!(
        status == 422 && said.contains("route[0].pool: no pool \"q\""),
        "{status} {said}"
    );
    let (status, said) = s.ask("POST", "/config/apply", &text(a.addr)).await;
    assert!(
        status == 200 && said.contains("nothing changes"),
        "{status} {said}"
    );
    assert_eq!(s.ask("POST", "/config/undo", "").await.0, 409);
    s.apply(&text(b.addr)).await;
    assert_eq!(s.proxy.call("once").await, (200, "b".into()));
    let (status, said) = s.ask("POST", "/config/apply", &text(a.addr)).await;
    assert!(
        status == 409 && said.contains("change to generation 2 is still in progress"),
        "{status} {said}"
    );
    let (status, said) = s.ask("POST", "/config/undo", "").await;
    assert!(
        status == 200 && said.contains("generation 2 is undone by 3"),
        "{status} {said}"
    );
    assert_eq!(s.proxy.call("once").await, (200, "a".into()));
    assert_eq!(s.ask("GET", "/config/apply", "").await.0, 405);
    // A pool whose backends can't be reached is never ready: what is in force stays.
    let nobody = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port")
        .local_addr()
        .expect("bound");
    let (status, said) = s.ask("POST", "/config/apply", &text(nobody)).await;
    assert!(
        status == 200 && said.contains("generation 4 is staged"),
        "{status} {said}"
    );
    assert_eq!(s.proxy.call("once").await, (200, "a".into()));
    assert!(
        s.ask("POST", "/config/undo", "")
            .await
            .1
            .contains("generation 4 is given up")
    );
}

/// The new backend answers with errors: the change is undone by itself, soon, and says why.
#[tokio::test]
async fn a_harmful_change_is_undone_by_itself() {
    let (good, bad) = (Arc::new(Orders::default()), Arc::new(Orders::default()));
    let (a, b) = (
        Backend::start("a", &good).await,
        Backend::start("b", &bad).await,
    );
    let text = |to: SocketAddr| pool("p", &[to]) + &route("all", "", "p");
    let mut s = scene(&text(a.addr), 20_000, |_| {}).await;
    bad.give((0..100_000).map(|_| Do::Answer(500)));
    let stop = Arc::new(AtomicBool::new(false));
    let load: Vec<_> = (0..4)
        .map(|_| {
            let (stop, addr) = (stop.clone(), s.proxy.addr);
            tokio::spawn(async move {
                let mut caller = Caller(connect(addr).await);
                while !stop.load(SeqCst) {
                    assert!([200, 502, 503].contains(&caller.call("once").await.0));
                }
            })
        })
        .collect();
    // Enough of the time before to be held against.
    soon(good.seen.subscribe().wait_for(|s| s.len() > 500))
        .await
        .expect("open");
    tokio::time::sleep(Duration::from_millis(1500)).await;
    s.apply(&text(b.addr)).await;
    s.proxy.says("generation 2 is undone by 3: pool p:").await;
    assert_eq!(s.proxy.call("once").await, (200, "a".into()));
    stop.store(true, SeqCst);
    for task in load {
        task.await.expect("every call was answered");
    }
}

/// Killed on probation, the daemon starts on the last committed generation, and says so; a spoilt
/// log is told.
#[tokio::test]
async fn a_start_after_a_kill_begins_with_what_was_committed() {
    let (_, a, b) = two_backends().await;
    let text = |to: SocketAddr| pool("p", &[to]) + &route("all", "", "p");
    let folder = folder();
    let state = folder.to_str().expect("text").to_string();
    let mut s = scene(&text(a.addr), 60_000, |c| c["state"] = state.clone().into()).await;
    s.apply(&text(b.addr)).await;
    assert_eq!(s.proxy.call("once").await, (200, "b".into()));
    s.proxy.kill().await;
    let restart = async |config: &Value, says: &str| {
        let mut config = config.clone();
        config["probation_ms"] = json!(20);
        Proxy::start_and_hear(&config, says).await
    };
    let (proxy, admin) = restart(
        &s.config,
        "generation 2 was on probation and is not started",
    )
    .await;
    (s.proxy, s.admin) = (proxy, admin);
    assert_eq!(s.proxy.call("once").await, (200, "a".into()));
    assert_eq!(s.status().await["generation"], 1);
    // Committed, it is started; the file, which says otherwise, is named.
    s.apply(&text(b.addr)).await;
    s.stands(3).await;
    s.proxy.kill().await;
    (s.proxy, s.admin) = restart(&s.config, "differs from what is committed").await;
    assert_eq!(
        (s.proxy.call("once").await, &s.status().await["generation"]),
        ((200, "b".into()), &json!(3))
    );
    s.proxy.kill().await;
    // Torn behind the last record.
    let log = folder.join("routing.log");
    let mut bytes = std::fs::read(&log).expect("it is there");
    bytes.extend(b"torn");
    std::fs::write(&log, &bytes).expect("it can be written");
    (s.proxy, s.admin) = restart(
        &s.config,
        "4 bytes after the last valid record are truncated; they are cut off",
    )
    .await;
    assert_eq!(s.proxy.call("once").await, (200, "b".into()));
    s.proxy.kill().await;
    // Of a newer format: it is left alone, and the file serves.
    std::fs::write(&log, "heathroad-routing 7\n").expect("it can be written");
    (s.proxy, s.admin) = restart(
        &s.config,
        "the journal has format version 7; expected 1 or older; it is left as it is",
    )
    .await;
    assert_eq!(s.proxy.call("once").await, (200, "a".into()));
    assert_eq!(
        std::fs::read(&log).expect("it is there"),
        b"heathroad-routing 7\n"
    );
}

#[tokio::test]
async fn a_reload_proposes_the_file_and_the_command_line_speaks_to_a_daemon() {
    let (_, a, b) = two_backends().await;
    let text = |to: SocketAddr| pool("p", &[to]) + &route("all", "", "p");
    let mut s = scene(&text(a.addr), 20, |_| {}).await;
    std::fs::write(&s.file, text(b.addr)).expect("it can be written");
    s.proxy
        .reload(&s.config.to_string(), "generation 2 is applied")
        .await;
    assert_eq!(s.proxy.call("look").await, (200, "b".into()));
    s.stands(2).await;
    std::fs::write(&s.file, "nonsense").expect("it can be written");
    s.proxy
        .reload(&s.config.to_string(), "configuration kept: ")
        .await;
    std::fs::write(&s.file, text(a.addr)).expect("it can be written");
    let run = async |args: &[&str]| {
        let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_heathroad"));
        command.args(args).args(["--admin", &s.admin.to_string()]);
        let out = soon(command.output()).await.expect("it starts");
        (
            out.status.code(),
            String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned(),
        )
    };
    let (code, said) = run(&["apply", s.file.to_str().expect("text")]).await;
    assert!(
        code == Some(0) && said.contains("generation 3 is staged"),
        "{said}"
    );
    s.stands(3).await;
    let (code, said) = run(&["status"]).await;
    assert!(
        code == Some(0) && said.contains("\"generation\":3"),
        "{said}"
    );
    let (code, said) = run(&["undo"]).await;
    assert!(
        code == Some(0) && said.contains("generation 4 is staged"),
        "{said}"
    );
    s.stands(4).await;
    assert_eq!(s.proxy.call("look").await, (200, "b".into()));
}

/// Pools that choose hosts of one registry by their labels; a drain there is a drain in a pool that
/// lists the node.
#[tokio::test]
async fn pools_choose_hosts_by_label_and_one_node_is_one_node() {
    let (_, a, b) = two_backends().await;
    let mut lines = [a.line("SERVING"), b.line("SERVING")];
    lines[1]["class"] = "m3".into();
    let discovery = Discovery::start(lines.to_vec()).await;
    let chosen = |name: &str, class: &str| {
        format!(
            "[[pool]]\nname = \"{name}\"\nregistry = \"default\"\nselect = {{ class = \"{class}\" }}\n"
        ) + &classes_of(pool("x", &[a.addr]))
    };
    let text = chosen("m", "m")
        + &chosen("m3", "m3")
        + &pool("listed", &[a.addr, b.addr])
        + &route("l", "class = \"look\"", "m")
        + &route("k", "class = \"keep\"", "m3")
        + &route("o", "class = \"once\"", "listed");
    let s = scene(&text, 1000, |c| {
        c["discovery"] = discovery.config(settings())["discovery"].clone();
    })
    .await;
    discovery.settled().await;
    soon(async {
        while s.proxy.call("look").await != (200, "a".into())
            || s.proxy.call("keep").await != (200, "b".into())
        {}
    })
    .await;
    let mut drains = lines.clone();
    drains[0]["health"] = "DRAINING".into();
    discovery.tell(drains.to_vec()).await;
    for _ in 0..20 {
        assert_eq!(
            s.proxy.call("once").await,
            (200, "b".into()),
            "the list names it, and it drains all the same"
        );
    }
    discovery.tell(lines.to_vec()).await;
    soon(async { while s.proxy.call("once").await != (200, "a".into()) {} }).await;
}

/// A class turns from safe to unsafe while a call of it is out: that call is sent again as when it
/// was taken, and one that is taken after the change is not.
#[tokio::test]
async fn calls_that_are_out_keep_the_effect_that_their_class_had() {
    let (orders, a, b) = two_backends().await;
    let both = [a.addr, b.addr];
    let safe = pool("p", &both) + &route("all", "", "p");
    let unsafe_now = safe.replacen("effect = \"safe\"", "effect = \"unsafe\"", 1);
    assert_ne!(safe, unsafe_now);
    let s = scene(&safe, 20, |_| {}).await;
    let release = Arc::new(Notify::new());
    let hold = async |call: Request<Full<bytes::Bytes>>| {
        let before = orders.seen.borrow().len();
        orders.give([Do::Hold(release.clone())]);
        let mut caller = s.proxy.caller().await;
        let held = tokio::spawn(async move { caller.send(call).await });
        orders.came(before + 1).await;
        let went = orders.seen.borrow()[before].0;
        (held, if went == "a" { (&a, "b") } else { (&b, "a") })
    };
    let (held, (went, other)) =
        hold(request("look").body(Full::default()).expect("well formed")).await;
    s.apply(&unsafe_now).await;
    s.stands(2).await;
    went.break_all().await;
    assert_eq!(
        held.await.expect("no panic"),
        (200, other.into()),
        "it was safe when it was taken"
    );
    let post = request("look")
        .method("POST")
        .header("content-length", "0")
        .body(Full::default());
    let (held, (went, _)) = hold(post.expect("well formed")).await;
    went.break_all().await;
    assert_eq!(
        held.await.expect("no panic").0,
        502,
        "it may have run, and is unsafe by now"
    );
}

/// A planned stop meets a change on probation: all that was taken is answered, and a start begins
/// with what stood.
#[tokio::test]
async fn a_planned_stop_on_probation_commits_nothing() {
    let (orders, a, b) = two_backends().await;
    let text = |to: SocketAddr| pool("p", &[to]) + &route("all", "", "p");
    let folder = folder();
    let state = folder.to_str().expect("text").to_string();
    let mut s = scene(&text(a.addr), 60_000, |c| c["state"] = state.clone().into()).await;
    s.apply(&text(b.addr)).await;
    let release = Arc::new(Notify::new());
    orders.give([Do::Hold(release.clone())]);
    let mut caller = s.proxy.caller().await;
    let held = tokio::spawn(async move { caller.call("once").await });
    orders.came(1).await;
    s.proxy.terminate().await;
    assert_eq!(
        s.ask("POST", "/config/apply", &text(a.addr)).await.0,
        409,
        "nothing new is begun"
    );
    release.notify_one();
    assert_eq!(held.await.expect("no panic"), (200, "b".into()));
    assert!(s.proxy.ended().await.success());
    let (proxy, _) = Proxy::start_and_hear(
        &s.config,
        "generation 2 was on probation and is not started",
    )
    .await;
    soon(async { while proxy.call("once").await != (200, "a".into()) {} }).await;
}

/// A request that is bound to an older generation hears of drains as others do: its second try does
/// not go to a node that drained since.
#[tokio::test]
async fn a_drain_is_kept_by_requests_of_an_older_generation() {
    let (orders, a, b) = two_backends().await;
    let others = Arc::new(Orders::default());
    let c = Backend::start("c", &others).await;
    let discovery = Discovery::start(vec![a.line("SERVING"), b.line("SERVING")]).await;
    let old = "[[pool]]\nname = \"p\"\nregistry = \"default\"\n".to_string()
        + &classes_of(pool("x", &[a.addr]));
    let old = old + &route("all", "", "p");
    let new = pool("p", &[c.addr]) + &route("all", "", "p");
    let s = scene(&old, 20, |c| {
        c["discovery"] = discovery.config(settings())["discovery"].clone();
    })
    .await;
    discovery.settled().await;
    orders.give([Do::Hold(Arc::new(Notify::new()))]);
    let mut caller = s.proxy.caller().await;
    let held = tokio::spawn(async move { caller.call("look").await });
    orders.came(1).await;
    let went = orders.seen.borrow()[0].0;
    s.apply(&new).await;
    s.stands(2).await;
    let (at, drains) = if went == "a" { (&a, &b) } else { (&b, &a) };
    discovery
        .tell(vec![at.line("SERVING"), drains.line("DRAINING")])
        .await;
    at.break_all().await;
    assert_ne!(
        held.await.expect("no panic").0,
        200,
        "its other backend drains"
    );
    assert_eq!(orders.by(drains.name), 0);
    assert_eq!(s.proxy.call("look").await, (200, "c".into()));
}

/// A host's labels change, and it leaves one pool for another; two that change places do so at
/// once. Neither pool sends to what has left it, and the process that one pool withdrew serves the
/// other.
#[tokio::test]
async fn hosts_whose_labels_change_go_from_pool_to_pool() {
    let (_, a, b) = two_backends().await;
    let lines = |a_class: &str, b_class: &str| {
        let mut lines = [a.line("SERVING"), b.line("SERVING")];
        lines[0]["class"] = a_class.into();
        lines[1]["class"] = b_class.into();
        lines.to_vec()
    };
    let discovery = Discovery::start(lines("m", "m3")).await;
    let chosen = |name: &str, class: &str| {
        format!(
            "[[pool]]\nname = \"{name}\"\nregistry = \"default\"\nselect = {{ class = \"{class}\" }}\n"
        ) + &classes_of(pool("x", &[a.addr]))
    };
    // Whichever hears first: the pools are told in the order of their names, and both orders come.
    let text = chosen("m", "m") + &chosen("m3", "m3");
    let text = text + &route("l", "class = \"look\"", "m") + &route("o", "class = \"once\"", "m3");
    let s = scene(&text, 1000, |c| {
        c["discovery"] = discovery.config(settings())["discovery"].clone();
    })
    .await;
    discovery.settled().await;
    for n in 0..6 {
        let (look, once) = if n % 2 == 0 { ("a", "b") } else { ("b", "a") };
        discovery
            .tell(if n % 2 == 0 {
                lines("m", "m3")
            } else {
                lines("m3", "m")
            })
            .await;
        soon(async { while s.proxy.call("look").await != (200, look.into()) {} }).await;
        for _ in 0..5 {
            assert_eq!(s.proxy.call("look").await, (200, look.into()), "change {n}");
            assert_eq!(s.proxy.call("once").await, (200, once.into()), "change {n}");
        }
    }
}

/// The registry can't be reached when a change is undone, and a node restarts meanwhile: the pool
/// before goes on with what was last heard, the node's new process is sent to once it is told of,
/// and its old one never again.
#[tokio::test]
async fn an_undo_meets_a_registry_outage_and_a_restart() {
    let (orders, a, b) = two_backends().await;
    let others = Arc::new(Orders::default());
    let c = Backend::start("c", &others).await;
    let discovery = Discovery::start(vec![a.line("SERVING"), b.line("SERVING")]).await;
    let old = "[[pool]]\nname = \"p\"\nregistry = \"default\"\n".to_string()
        + &classes_of(pool("x", &[a.addr]))
        + &route("all", "", "p");
    let new = pool("p", &[c.addr]) + &route("all", "", "p");
    let s = scene(&old, 60_000, |c| {
        c["discovery"] = discovery.config(settings())["discovery"].clone();
    })
    .await;
    discovery.settled().await;
    s.apply(&new).await;
    assert_eq!(s.proxy.call("once").await, (200, "c".into()));
    // The outage begins, and b dies in it.
    discovery.outage(true);
    b.break_all().await;
    let (status, said) = s.ask("POST", "/config/undo", "").await;
    assert!(
        status == 200 && said.contains("generation 2 is undone by 3"),
        "{status} {said}"
    );
    for _ in 0..20 {
        assert_eq!(
            s.proxy.call("look").await.0,
            200,
            "what was last heard serves on"
        );
    }
    assert_eq!(others.by("c"), 1, "nothing more goes to what was undone");
    // It ends: b is told of as another process, and drains a.
    discovery.outage(false);
    let mut restarted = b.line("SERVING");
    restarted["born_ms"] = json!(
        std::time::UNIX_EPOCH
            .elapsed()
            .expect("after 1970")
            .as_millis() as u64
            - 60_000
    );
    discovery.tell(vec![a.line("DRAINING"), restarted]).await;
    let before = orders.by("a");
    for _ in 0..20 {
        assert_eq!(s.proxy.call("once").await, (200, "b".into()));
    }
    assert_eq!(orders.by("a"), before, "it drains");
}

/// A tenant disappears from the configuration: its calls that are out end as they were taken, and
/// its new ones go by what is left for them, or nowhere.
#[tokio::test]
async fn a_tenant_that_goes_has_its_calls_finished() {
    let (orders, a, b) = two_backends().await;
    let both = |routes: &str| pool("own", &[a.addr]) + &pool("all", &[b.addr]) + routes;
    let with = "tenants = [\"acme\", \"other\"]\n".to_string()
        + &both(
            &(route("all", "tenant = \"other\"", "all")
                + &route("acme", "tenant = \"acme\"", "own")),
        );
    let without =
        "tenants = [\"other\"]\n".to_string() + &both(&route("all", "tenant = \"other\"", "all"));
    let dangling = without.clone() + &route("acme", "tenant = \"acme\"", "own");
    let s = scene(&with, 20, |_| {}).await;
    let release = Arc::new(Notify::new());
    orders.give([Do::Hold(release.clone())]);
    let mut caller = s.proxy.caller().await;
    let held = tokio::spawn(async move { caller.call("once").await });
    orders.came(1).await;
    let (status, said) = s.ask("POST", "/config/apply", &dangling).await;
    assert!(
        status == 422 && said.contains("no tenant \"acme\", so the route is unreachable"),
        "{status} {said}"
    );
    s.apply(&without).await;
    s.stands(2).await;
    assert_eq!(s.proxy.call("once").await.0, 404, "nothing is left for it");
    release.notify_one();
    assert_eq!(held.await.expect("no panic"), (200, "a".into()));
}

/// A pool that gains a backend is worded otherwise, and goes on with the limit that was learned for
/// those it had.
#[tokio::test]
async fn a_limit_is_handed_on_with_the_backends_it_was_learned_for() {
    let (_, a, b) = two_backends().await;
    let text = |members: &[SocketAddr]| pool("p", members) + &route("all", "", "p");
    let s = scene(&text(&[a.addr]), 20, |_| {}).await;
    let limit = async || {
        let counts: Value = counts(s.admin).await;
        counts["limit"]
            .as_f64()
            .unwrap_or_else(|| panic!("{counts}"))
    };
    let stop = Arc::new(AtomicBool::new(false));
    let load: Vec<_> = (0..24)
        .map(|_| {
            let (stop, addr) = (stop.clone(), s.proxy.addr);
            tokio::spawn(async move {
                let mut caller = Caller(connect(addr).await);
                while !stop.load(SeqCst) {
                    assert!([200, 503].contains(&caller.call("look").await.0));
                }
            })
        })
        .collect();
    soon(async { while limit().await < 12.0 {} }).await;
    stop.store(true, SeqCst);
    for task in load {
        task.await.expect("every call was served or refused");
    }
    // Without load it stands still. Both pools are told of together until the old one has gone.
    let before = limit().await;
    s.apply(&text(&[a.addr, b.addr])).await;
    s.stands(2).await;
    soon(async { while limit().await > before + 0.1 {} }).await;
    let after = limit().await;
    assert!(
        after > before - 0.1,
        "{after} after {before}: two backends begin at 8"
    );
}
