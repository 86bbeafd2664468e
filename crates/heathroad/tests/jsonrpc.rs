//! The started program between JSON-RPC callers and nodes: every call has its one answer, whatever
//! breaks and wherever.

mod rig;

use rig::rpc::{Act, FAILED, REFUSED, Raw, Script, TIMED_OUT, call, code};
use rig::rpc_scene::{Plan, nodes, scene};
use rig::*;
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{Notify, watch};

/// A measurement and no test: calls a second and CPU a call, one by one or pipelined towards nodes,
/// beside HTTP into the same pool. Run it in release with `--ignored --nocapture`.
#[tokio::test]
#[ignore = "a measurement"]
async fn what_a_call_costs() {
    const CALLERS: usize = 32;
    const SPAN: Duration = Duration::from_secs(3);
    for round in 0..3 {
        for calls in [0, 1, 8, 64] {
            let (_script, _nodes, list) = nodes(&["a", "b", "c", "d"]).await;
            let s = scene(&Plan {
                nodes: &list,
                calls: calls.max(1),
                ..Plan::default()
            })
            .await;
            let until = Instant::now() + SPAN;
            let (before, _) = s.proxy.used();
            let mut tasks = Vec::new();
            for _ in 0..CALLERS {
                let (addr, http) = (s.addr, s.proxy.addr);
                tasks.push(tokio::spawn(async move {
                    let mut served = 0usize;
                    if calls == 0 {
                        let mut caller = Caller(connect(http).await);
                        while Instant::now() < until {
                            served += usize::from(caller.call("look").await.0 == 200);
                        }
                    } else {
                        let mut raw = Raw::to(addr).await;
                        while Instant::now() < until {
                            served += usize::from(
                                code(&raw.call(&call("claims.look", "x", "1")).await) == 0,
                            );
                        }
                    }
                    served
                }));
            }
            let mut served = 0;
            for task in tasks {
                served += task.await.expect("no panic");
            }
            let cpu = s.proxy.used().0 - before;
            let what = if calls == 0 {
                "HTTP".to_string()
            } else {
                format!("JSON-RPC, {calls} a connection")
            };
            println!(
                "round {round}, {what}: {:.0} a second, {:.1} us of CPU each",
                served as f64 / SPAN.as_secs_f64(),
                cpu as f64 / served.max(1) as f64
            );
        }
    }
}

/// A measurement and no test: what a batch of 10,000 does to a caller over HTTP beside it.
#[tokio::test]
#[ignore = "a measurement"]
async fn what_a_great_batch_costs_others() {
    let (_script, _nodes, list) = nodes(&["a", "b", "c", "d"]).await;
    let s = scene(&Plan {
        nodes: &list,
        ..Plan::default()
    })
    .await;
    let members: Vec<String> = (0..10_000)
        .map(|n| call("claims.look", &format!("m{n}"), &n.to_string()))
        .collect();
    let text = format!("[{}]", members.join(","));
    for batches in [0, 5] {
        let (addr, text) = (s.addr, text.clone());
        let posting = tokio::spawn(async move {
            let mut raw = Raw::to(addr).await;
            for _ in 0..batches {
                raw.call(&text).await;
            }
        });
        let (mut caller, mut waits) = (s.proxy.caller().await, Vec::new());
        while waits.len() < 2_000 {
            let begun = Instant::now();
            caller.call("look").await;
            waits.push(begun.elapsed());
        }
        posting.await.expect("no panic");
        waits.sort();
        println!(
            "{batches} batches: median {:?}, 99th {:?}, most {:?}",
            waits[1_000], waits[1_980], waits[1_999]
        );
    }
}

/// A measurement and no test: memory at 1,000 connections with 32 calls each in work.
#[tokio::test]
#[ignore = "a measurement"]
async fn what_a_thousand_connections_hold() {
    let (script, _nodes, list) = nodes(&["a"]).await;
    let discovery = Discovery::start(vec![]).await;
    let listener = "connections = 1100\ncalls = 32";
    let plan = Plan {
        nodes: &list,
        calls: 1000,
        deadline_ms: 60_000,
        listener,
        ..Plan::default()
    };
    let file = write_file(".toml", &plan.text());
    let mut config = discovery.config(settings());
    config["admin"] = "127.0.0.1:0".into();
    config["routes"] = file.to_str().expect("text").into();
    config["limits"]["sockets"] = 4096.into();
    config["settings"]["caps"]["openCap"] = 100_000.into();
    let (proxy, listeners, _) = Proxy::start_with_listeners(&config, &["claims"]).await;
    let (_, begin) = proxy.used();
    let held = Arc::new(Notify::new());
    script.give((0..40_000).map(|_| Act::Hold(held.clone())));
    let mut raws = Vec::new();
    for n in 0..1_000 {
        let mut raw = Raw::to(listeners[0]).await;
        // In a batch, whose members wait for their turn; by themselves most would be refused past
        // the limit.
        let members: Vec<String> = (0..32)
            .map(|i| call("claims.look", &format!("{n}-{i}"), "1"))
            .collect();
        raw.send(&format!("[{}]", members.join(","))).await;
        raws.push(raw);
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (_, peak) = proxy.used();
    let out = script.seen.borrow().len();
    println!("{begin} KiB at first, {peak} KiB with 1,000 connections of 32 calls, {out} at nodes");
}

#[tokio::test]
async fn a_call_passes_byte_for_byte() {
    let (script, _nodes, list) = nodes(&["a"]).await;
    let s = scene(&Plan {
        nodes: &list,
        ..Plan::default()
    })
    .await;
    let mut raw = s.raw().await;
    for id in [
        "7",
        "1.0",
        "\"1\"",
        "null",
        "-0",
        "12345678901234567890123",
        "\"\\ud800\"",
    ] {
        script.give([Act::Raw("{\"result\": {\"z\":1.10,\"a\":[1e2, 12345678901234567890.01]},\"id\":$ID,\"jsonrpc\":\"2.0\"}\n")]);
        let params = r#"{"z":1.10, "a":1e2,"b":"\u0041\ud800","claim":{"id":9}}"#;
        raw.send(&format!(
            r#"{{"method":"claims.keep","params":{params},"id":{id},"jsonrpc":"2.0"}}"#
        ))
        .await;
        let answer = raw.line().await;
        let result = r#"{"z":1.10,"a":[1e2, 12345678901234567890.01]}"#;
        assert_eq!(
            answer,
            format!(r#"{{"jsonrpc":"2.0","result":{result},"id":{id}}}"#)
        );
        let seen = script.seen.borrow().last().expect("it came").text.clone();
        assert!(seen.contains(&format!(r#""params":{params},"#)), "{seen}");
    }
    // An error of the application is an answer like any other.
    script.give([Act::Raw(
        "{\"jsonrpc\":\"2.0\",\"error\":{\"code\":-32050,\"message\":\"no\",\"data\":[1.10]},\"id\":$ID}\n",
    )]);
    raw.send(&call("claims.once", "c", "8")).await;
    let error = r#"{"code":-32050,"message":"no","data":[1.10]}"#;
    assert_eq!(
        raw.line().await,
        format!(r#"{{"jsonrpc":"2.0","error":{error},"id":8}}"#)
    );
    let counts = s.counts().await;
    assert_eq!(counts["attempts"]["served"], 8, "{counts}");
}

#[tokio::test]
async fn what_cannot_be_taken_is_told_by_the_specifications_codes() {
    let (script, _nodes, list) = nodes(&["a"]).await;
    let s = scene(&Plan {
        nodes: &list,
        ..Plan::default()
    })
    .await;
    let mut raw = s.raw().await;
    for (text, want, id) in [
        (
            r#"{"jsonrpc": "2.0", "method": "foobar, "params": "bar", "baz]"#,
            -32700,
            json!(null),
        ),
        (
            r#"{"jsonrpc": "2.0", "method": 1, "params": "bar"}"#,
            -32600,
            json!(null),
        ),
        (
            r#"{"jsonrpc": "2.0", "method": "foobar", "id": "1"}"#,
            -32601,
            json!("1"),
        ),
        (
            r#"{"jsonrpc": "2.0", "method": "claims.keep", "id": 5}"#,
            -32602,
            json!(5),
        ),
        (
            r#"{"jsonrpc": "2.0", "method": "claims.keep", "params": {"claim":{"id":1,"id":2}}, "id": 5}"#,
            -32602,
            json!(5),
        ),
        (
            r#"{"jsonrpc":"2.0","method":"claims.look","id":5,"id":6}"#,
            -32600,
            json!(null),
        ),
        ("[]", -32600, json!(null)),
        ("\u{0}", -32700, json!(null)),
    ] {
        let answer = raw.call(text).await;
        assert_eq!((code(&answer), &answer["id"]), (want, &id), "{text}");
    }
    // The connection is kept, and goes on.
    assert_eq!(
        raw.call(&call("claims.once", "c", "1")).await["result"],
        "a"
    );
    // A batch of all kinds: one answer each, none to notifications.
    let batch = format!(
        r#"[{},{{"jsonrpc":"2.0","method":"claims.look"}},{{"foo":"boo"}},1,{},{{"jsonrpc":"2.0","method":"nothing","id":"9"}}]"#,
        call("claims.once", "x", "\"1\""),
        call("claims.keep", "y", "2"),
    );
    let answers = raw.call(&batch).await;
    let mut told: Vec<(String, i64)> = answers
        .as_array()
        .expect("a batch")
        .iter()
        .map(|a| (a["id"].to_string(), code(a)))
        .collect();
    told.sort();
    let want = [
        ("\"1\"", 0),
        ("\"9\"", -32601),
        ("2", 0),
        ("null", -32600),
        ("null", -32600),
    ];
    assert_eq!(told, want.map(|(id, code)| (id.to_string(), code)));
    // A batch of notifications has no answer at all: what comes next is the next one's.
    raw.send(
        r#"[{"jsonrpc":"2.0","method":"claims.look"},{"jsonrpc":"2.0","method":"claims.once"}]"#,
    )
    .await;
    assert_eq!(raw.call(&call("claims.look", "z", "77")).await["id"], 77);
    script.came(7).await;
    let notified = script
        .seen
        .borrow()
        .iter()
        .filter(|s| s.value().get("id").is_none())
        .count();
    assert_eq!(notified, 3);
    soon(async { while s.counts().await["attempts"]["notified"] != 3 {} }).await;
}

/// The node breaks off after each byte of its answer, and falls silent after each: a safe or keyed
/// call is served by another try, an unsafe one fails and is not sent again, and each has exactly
/// one answer.
#[tokio::test]
async fn faults_at_each_byte_of_an_answer() {
    let (script, _nodes, list) = nodes(&["a", "b"]).await;
    let s = scene(&Plan {
        nodes: &list,
        deadline_ms: 400,
        ..Plan::default()
    })
    .await;
    let answer = "{\"jsonrpc\":\"2.0\",\"result\":\"a\",\"id\":1}\n".len();
    let mut raw = s.raw().await;
    for at in 0..answer - 1 {
        for (n, (method, class)) in [
            ("claims.look", "safe"),
            ("claims.keep", "keyed"),
            ("claims.once", "unsafe"),
        ]
        .into_iter()
        .enumerate()
        {
            let (what, id) = (format!("cut-{at}-{n}"), 10 * at + n);
            script.give([Act::Cut(at)]);
            let told = raw.call(&call(method, &what, &id.to_string())).await;
            let sent = script.of(&format!("\"{what}\"")).len();
            assert_eq!(told["id"], id);
            match class {
                // A second try is not for certain: retries have a budget.
                "unsafe" => assert_eq!((code(&told), sent), (FAILED, 1), "{what}: {told}"),
                _ => {
                    assert!(
                        code(&told) == 0 && sent == 2 || code(&told) != 0,
                        "{what}: {told}, sent {sent}"
                    );
                }
            }
            // What serves in between earns the retries.
            for _ in 0..12 {
                assert_eq!(
                    code(&raw.call(&call("claims.look", "between", "0")).await),
                    0
                );
            }
        }
        if at % 8 == 0 {
            let what = format!("half-{at}");
            script.give([Act::Half(at)]);
            let begun = Instant::now();
            let told = raw.call(&call("claims.once", &what, "5")).await;
            assert_eq!(
                (code(&told), script.of(&format!("\"{what}\"")).len()),
                (TIMED_OUT.max(code(&told)), 1)
            );
            assert!(
                [FAILED, TIMED_OUT].contains(&code(&told))
                    && begun.elapsed() < Duration::from_secs(3),
                "{told}"
            );
        }
    }
    // Nothing but answers has come.
    raw.shut().await;
    assert_eq!(raw.rest().await, "");
}

/// A node that vanishes in the middle of a reply takes several calls of one connection with it:
/// each has its one answer, and what may have run there runs again only where it may.
#[tokio::test]
async fn a_node_vanishes_in_the_middle_of_a_reply() {
    let (script, nodes, list) = nodes(&["a"]).await;
    let s = scene(&Plan {
        nodes: &list,
        calls: 8,
        ..Plan::default()
    })
    .await;
    let mut raw = s.raw().await;
    assert_eq!(
        raw.call(&call("claims.look", "first", "0")).await["result"],
        "a"
    );
    let held = Arc::new(Notify::new());
    script.give([
        Act::Hold(held.clone()),
        Act::Hold(held.clone()),
        Act::Cut(20),
    ]);
    for (id, method) in [(1, "claims.look"), (2, "claims.once"), (3, "claims.once")] {
        raw.send(&call(method, &format!("v{id}"), &id.to_string()))
            .await;
        script.came(id + 1).await;
    }
    assert_eq!(script.connections(), 1, "one connection carries them all");
    let mut answers = [raw.next().await, raw.next().await, raw.next().await];
    answers.sort_by_key(|a| a["id"].as_u64());
    let told: Vec<(i64, usize)> = (0..3)
        .map(|i| {
            (
                code(&answers[i]),
                script.of(&format!("\"v{}\"", i + 1)).len(),
            )
        })
        .collect();
    // The safe one may run again, but there is no other node. It may have run at the one that
    // vanished, so that none of them is a refusal.
    assert!([(0, 2), (FAILED, 1)].contains(&told[0]), "{told:?}");
    assert_eq!(told[1..], [(FAILED, 1), (FAILED, 1)]);
    drop(nodes);
}

/// Ids that are mixed up spoil a connection: nobody gets another's answer.
#[tokio::test]
async fn replies_that_belong_to_nobody() {
    let (script, _nodes, list) = nodes(&["a"]).await;
    let s = scene(&Plan {
        nodes: &list,
        calls: 4,
        deadline_ms: 1_500,
        ..Plan::default()
    })
    .await;
    let mut raw = s.raw().await;
    let good = "{\"jsonrpc\":\"2.0\",\"result\":1,\"id\":$ID}\n";
    for (n, bytes) in [
        "{\"jsonrpc\":\"2.0\",\"result\":1,\"id\":999}\n",
        "{\"jsonrpc\":\"2.0\",\"result\":1,\"id\":null}\n",
        "{\"jsonrpc\":\"2.0\",\"result\":1,\"id\":\"$ID\"}\n",
        "{\"jsonrpc\":\"2.0\",\"result\":1,\"error\":{},\"id\":$ID}\n",
        "{\"jsonrpc\":\"2.0\",\"id\":$ID}\n",
        "noise\n",
        "[]\n",
    ]
    .into_iter()
    .enumerate()
    {
        script.give([Act::Raw(bytes)]);
        let (what, id) = (format!("n{n}"), n + 10);
        let told = raw.call(&call("claims.once", &what, &id.to_string())).await;
        let sent = script.of(&format!("\"{what}\"")).len();
        assert_eq!(
            (code(&told), &told["id"], sent),
            (FAILED, &json!(id), 1),
            "{bytes}"
        );
    }
    // Twice: the first is the answer, and the second spoils what is carried beside it.
    let held = Arc::new(Notify::new());
    script.give([Act::Hold(held.clone())]);
    let before = script.seen.borrow().len();
    raw.send(&call("claims.once", "beside", "51")).await;
    script.came(before + 1).await;
    script.give([Act::Raw("{\"jsonrpc\":\"2.0\",\"result\":\"one\",\"id\":$ID}\n{\"jsonrpc\":\"2.0\",\"result\":\"two\",\"id\":$ID}\n")]);
    raw.send(&call("claims.once", "twice", "50")).await;
    let mut answers = [raw.next().await, raw.next().await];
    answers.sort_by_key(|a| a["id"].as_u64());
    assert_eq!(
        (&answers[0]["result"], code(&answers[1])),
        (&json!("one"), FAILED)
    );
    // One that was given up is answered after all: that is nobody's answer, whatever is under way
    // by then.
    let late = Arc::new(Notify::new());
    script.give([Act::Hold(late.clone())]);
    let told = raw.call(&call("claims.once", "late", "60")).await;
    assert!([FAILED, TIMED_OUT].contains(&code(&told)), "{told}");
    script.give([Act::Raw(good)]);
    let told = raw.call(&call("claims.once", "next", "60")).await;
    late.notify_one();
    assert_eq!(
        (&told["id"], &told["result"]),
        (&json!(60), &json!(1)),
        "an id that came round again"
    );
    // A node that calls the proxy: what it notifies is passed over, what it asks is turned down.
    script.give([Act::Raw(
        "{\"jsonrpc\":\"2.0\",\"method\":\"log\"}\n{\"jsonrpc\":\"2.0\",\"method\":\"ask\",\"id\":\"x\"}\n{\"jsonrpc\":\"2.0\",\"result\":2,\"id\":$ID}\n",
    )]);
    assert_eq!(
        raw.call(&call("claims.once", "asks", "61")).await["result"],
        2
    );
    soon(async {
        while !script
            .seen
            .borrow()
            .iter()
            .any(|s| s.text.contains("-32601") && s.text.contains("\"x\""))
        {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
}

/// Equal ids in flight are two calls with two answers; answers come as they are made, or in the
/// order asked.
#[tokio::test]
async fn pipelined_calls_with_equal_ids_and_in_either_order() {
    for order in ["any", "asked"] {
        let (script, _nodes, list) = nodes(&["a"]).await;
        let listener = format!("order = \"{order}\"");
        let s = scene(&Plan {
            nodes: &list,
            listener: &listener,
            ..Plan::default()
        })
        .await;
        let mut raw = s.raw().await;
        let held = Arc::new(Notify::new());
        script.give([Act::Hold(held.clone())]);
        raw.send(&call("claims.look", "slow", "1")).await;
        script.came(1).await;
        script.give([Act::Raw(
            "{\"jsonrpc\":\"2.0\",\"result\":\"quick\",\"id\":$ID}\n",
        )]);
        raw.send(&call("claims.look", "quick", "1")).await;
        script.came(2).await;
        if order == "any" {
            assert_eq!(raw.next().await["result"], "quick");
            held.notify_one();
            assert_eq!(raw.next().await["result"], "a");
        } else {
            held.notify_one();
            assert_eq!(raw.next().await["result"], "a");
            assert_eq!(raw.next().await["result"], "quick");
        }
    }
}

/// A batch of 10,000 with one unsafe call that a dead node takes with it: 10,000 answers, each
/// once.
#[tokio::test]
async fn a_great_batch_with_one_unsafe_call_on_a_dying_node() {
    let (script, _nodes, list) = nodes(&["a", "b"]).await;
    let s = scene(&Plan {
        nodes: &list,
        ..Plan::default()
    })
    .await;
    let mut raw = s.raw().await;
    // Its limit has grown to what the nodes bear.
    for _ in 0..50 {
        raw.call(&call("claims.look", "warm", "0")).await;
    }
    script.victim.lock().expect("sound").replace("\"m0\"");
    let members: Vec<String> = (0..10_000)
        .map(|n| {
            call(
                if n == 0 { "claims.once" } else { "claims.look" },
                &format!("m{n}"),
                &n.to_string(),
            )
        })
        .collect();
    let answers = raw.call(&format!("[{}]", members.join(","))).await;
    let answers = answers.as_array().expect("a batch");
    let mut ids: Vec<u64> = answers.iter().filter_map(|a| a["id"].as_u64()).collect();
    ids.sort_unstable();
    assert!(ids.into_iter().eq(0..10_000), "{} answers", answers.len());
    let broken = answers
        .iter()
        .filter(|a| ![0, REFUSED].contains(&code(a)))
        .count();
    let unsafe_one = answers.iter().find(|a| a["id"] == 0).expect("it is there");
    assert_eq!((code(unsafe_one), script.of("\"m0\"").len()), (FAILED, 1));
    assert!(broken <= 2, "{broken}");
    let served = answers.iter().filter(|a| code(a) == 0).count();
    assert!(served > 9_000, "{served}");
}

/// A drain with calls pipelined: those that are out are answered, and nothing new goes there. A
/// node that comes back at its address is called without a failure.
#[tokio::test]
async fn a_drain_with_forty_calls_pipelined_and_a_restart() {
    let (script, nodes, list) = nodes(&["a", "b"]).await;
    let s = scene(&Plan {
        nodes: &list,
        calls: 64,
        listener: "calls = 100",
        ..Plan::default()
    })
    .await;
    let mut raws = Vec::new();
    for _ in 0..40 {
        raws.push(s.raw().await);
    }
    // So many calls are carried by now.
    for round in 0..500 {
        for raw in &mut raws {
            raw.send(&call("claims.look", "warm", "0")).await;
        }
        for raw in &mut raws {
            raw.next().await;
        }
        if s.counts().await["limit"]
            .as_f64()
            .is_some_and(|l| l >= 44.0)
        {
            break;
        }
        assert!(round < 499, "the limit grows");
    }
    let held: Vec<Arc<Notify>> = (0..40).map(|_| Arc::default()).collect();
    script.give(held.iter().cloned().map(Act::Hold));
    let before = script.seen.borrow().len();
    for (n, raw) in raws.iter_mut().enumerate() {
        raw.send(&call("claims.once", &format!("d{n}"), &n.to_string()))
            .await;
    }
    script.came(before + 40).await;
    let connections = script.connections();
    assert!(connections < 20, "{connections} connections carry 40 calls");
    let at_a = |list: &[rig::rpc::Seen]| list.iter().filter(|s| s.node == "a").count();
    let (status, said) = s
        .ask(
            "POST",
            "/config/apply",
            &Plan {
                nodes: &list[1..],
                calls: 64,
                listener: "calls = 100",
                ..Plan::default()
            }
            .text(),
        )
        .await;
    assert_eq!(status, 200, "{said}");
    soon(async {
        while !s
            .ask("GET", "/config/status", "")
            .await
            .1
            .contains("generation 2 is committed")
        {}
    })
    .await;
    let then = at_a(&script.seen.borrow());
    for _ in 0..30 {
        assert_eq!(
            s.raw().await.call(&call("claims.once", "new", "1")).await["result"],
            "b"
        );
    }
    assert_eq!(at_a(&script.seen.borrow()), then, "nothing new goes there");
    held.iter().for_each(|h| h.notify_one());
    for (n, raw) in raws.iter_mut().enumerate() {
        let answer = raw.next().await;
        assert_eq!((code(&answer), &answer["id"]), (0, &json!(n)), "{answer}");
    }
    let mut raw = s.raw().await;
    // Its connections end, in good order or not, and it is called on new ones.
    for n in 0..6 {
        if n % 2 == 0 {
            nodes[1].close_all();
        } else {
            nodes[1].break_all();
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
        assert_eq!(
            raw.call(&call("claims.once", "again", "1")).await["result"],
            "b"
        );
    }
}

/// A planned stop in the middle of a batch: the batch is answered whole, what comes behind it is
/// refused, and the connection ends in good order.
#[tokio::test]
async fn a_planned_stop_in_the_middle_of_a_batch() {
    let (script, _nodes, list) = nodes(&["a"]).await;
    let mut s = scene(&Plan {
        nodes: &list,
        ..Plan::default()
    })
    .await;
    let mut raw = s.raw().await;
    let mut resting = s.raw().await;
    assert_eq!(
        resting.call(&call("claims.look", "x", "1")).await["result"],
        "a"
    );
    let held = Arc::new(Notify::new());
    script.give([Act::Hold(held.clone())]);
    raw.send(&format!(
        "[{},{}]",
        call("claims.once", "b1", "1"),
        call("claims.look", "b2", "2")
    ))
    .await;
    script.came(3).await;
    s.proxy.terminate().await;
    assert_eq!(resting.line().await, "", "it ends");
    raw.send(&call("claims.once", "behind", "3")).await;
    assert_eq!(code(&raw.next().await), REFUSED);
    held.notify_one();
    let answers = raw.next().await;
    assert_eq!(
        answers.as_array().map(|a| a.iter().map(code).sum::<i64>()),
        Some(0),
        "{answers}"
    );
    assert_eq!(raw.rest().await, "");
    assert!(s.proxy.ended().await.success());
    assert!(script.of("\"behind\"").is_empty());
}

/// Guards against an answer that claims too much: a call that a silent node has and may run was
/// answered "nothing was done" when its time ended, if its class may be repeated.
#[tokio::test]
async fn a_call_that_may_have_run_is_not_answered_as_never_executed() {
    let (script, _nodes, list) = nodes(&["a"]).await;
    let s = scene(&Plan {
        nodes: &list,
        deadline_ms: 1000,
        ..Plan::default()
    })
    .await;
    let silent = Arc::new(Notify::new());
    for method in ["claims.look", "claims.keep", "claims.once"] {
        script.give((0..6).map(|_| Act::Hold(silent.clone())));
        let answer = s.raw().await.call(&call(method, method, "1")).await;
        let code = code(&answer);
        assert!(
            code == FAILED || code == TIMED_OUT,
            "{method}: {answer}; the node saw {} attempts",
            script.of(method).len()
        );
    }
    // No node can be reached: nothing was executed, and the client is told so.
    let unreachable = ["127.0.0.1:9".parse().expect("an address")];
    let s = scene(&Plan {
        nodes: &unreachable,
        deadline_ms: 1000,
        ..Plan::default()
    })
    .await;
    for method in ["claims.look", "claims.keep", "claims.once"] {
        let answer = s.raw().await.call(&call(method, method, "1")).await;
        assert_eq!(code(&answer), REFUSED, "{method}: {answer}");
    }
}

/// A caller that ends its own side waits for what it asked; one that leaves does not, and what was
/// not begun is not.
#[tokio::test]
async fn callers_that_end_their_side_and_callers_that_leave() {
    let (script, _nodes, list) = nodes(&["a"]).await;
    let s = scene(&Plan {
        nodes: &list,
        listener: "calls = 2",
        ..Plan::default()
    })
    .await;
    let mut raw = s.raw().await;
    let held = Arc::new(Notify::new());
    script.give([Act::Hold(held.clone())]);
    raw.write(call("claims.look", "last", "1").as_bytes()).await;
    raw.shut().await;
    script.came(1).await;
    held.notify_one();
    assert_eq!(raw.next().await["result"], "a", "its line had no end");
    assert_eq!(raw.rest().await, "");
    // One leaves at once, one after it has ended its side.
    for (round, shut) in [(0, false), (1, true)] {
        let before = script.seen.borrow().len();
        script.give([Act::Hold(held.clone()), Act::Hold(held.clone())]);
        let mut raw = s.raw().await;
        let members: Vec<String> = (0..50)
            .map(|n| call("claims.once", &format!("l{round}-{n}"), &n.to_string()))
            .collect();
        raw.send(&format!("[{}]", members.join(","))).await;
        script.came(before + 2).await;
        if shut {
            raw.shut().await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let begun = Instant::now();
        raw.leave();
        soon(async { while s.counts().await["requests_open"] != 0 {} }).await;
        assert!(
            begun.elapsed() < Duration::from_secs(10),
            "it is seen long before their time is up"
        );
        held.notify_waiters();
        assert_eq!(
            s.raw().await.call(&call("claims.look", "on", "1")).await["result"],
            "a"
        );
        let seen: Vec<String> = script.seen.borrow()[before..]
            .iter()
            .map(|s| s.text.clone())
            .collect();
        assert_eq!(
            seen.len(),
            3,
            "nothing more of the batch went out: {seen:#?}"
        );
    }
}

/// What is hostile gets an answer or a close, soon, and does not keep others waiting.
#[tokio::test]
async fn hostile_callers_get_an_answer_or_a_close() {
    let (script, _nodes, list) = nodes(&["a"]).await;
    let s = scene(&Plan {
        nodes: &list,
        listener: "text_kb = 64\nidle_ms = 700",
        ..Plan::default()
    })
    .await;
    let headers = Plan {
        nodes: &list,
        listener: "framing = \"headers\"",
        ..Plan::default()
    };
    let headed = scene(&headers).await;
    let long = "x".repeat(70_000);
    let deep = "[".repeat(100_000);
    let begun = Instant::now();
    for (scene, bytes, want) in [
        (&s, long.as_bytes(), -32600),
        (&s, deep.as_bytes(), -32700),
        (&s, b"{\"half\":", -32700),
        (&headed, b"Content-Length: 1000000000\r\n\r\n{", -32600),
        (&headed, b"Content-Length: -1\r\n\r\n{}", -32700),
        (&headed, b"Content-Length: 50\r\n\r\n{\"half\":", -32700),
        (&headed, b"noise\r\n\r\n", -32700),
    ] {
        let mut raw = scene.raw().await;
        raw.write(bytes).await;
        let rest = raw.rest().await;
        let answer: Value =
            serde_json::from_str(&rest[rest.find('{').unwrap_or(0)..]).unwrap_or_default();
        assert_eq!(
            code(&answer),
            want,
            "{:.40}: {rest}",
            String::from_utf8_lossy(bytes)
        );
    }
    // Each of the two that stop half-way has 2 s.
    assert!(
        begun.elapsed() < Duration::from_secs(15),
        "{:?}",
        begun.elapsed()
    );
    // A mark before a text is no harm. A byte at a time is, past its limit; whoever rests too long
    // is closed.
    let mut raw = s.raw().await;
    assert_eq!(
        raw.call(&format!("\u{feff}{}", call("claims.look", "bom", "1")))
            .await["result"],
        "a"
    );
    assert_eq!(raw.rest().await, "");
    let mut raw = s.raw().await;
    let begun = Instant::now();
    let text = call("claims.look", "slow", "1");
    let mut sent = 0;
    while begun.elapsed() < Duration::from_secs(3) {
        raw.write(&text.as_bytes()[sent..=sent]).await;
        sent += 1;
        tokio::time::sleep(Duration::from_millis(100)).await;
        if begun.elapsed() > Duration::from_millis(1900) {
            break;
        }
    }
    assert_eq!(code(&raw.next().await), -32700);
    assert!(begun.elapsed() < Duration::from_secs(4));
    // The error is the last; what is before it in the same bytes is answered first.
    let mut raw = headed.raw().await;
    let text = call("claims.once", "before", "4");
    raw.write(format!("Content-Length: {}\r\n\r\n{text}noise\r\n\r\n", text.len()).as_bytes())
        .await;
    let rest = raw.rest().await;
    let (one, two) = (rest.find("\"result\":\"a\""), rest.find("-32700"));
    assert!(one.is_some() && one < two, "{rest}");
    assert_eq!(script.of("\"before\"").len(), 1);
}

/// One pool takes HTTP requests and remote calls: one limit, one tenant's share, one set of counts.
#[tokio::test]
async fn http_and_remote_calls_share_one_pool() {
    let (script, _nodes, list) = nodes(&["a"]).await;
    let s = scene(&Plan {
        nodes: &list,
        calls: 8,
        ..Plan::default()
    })
    .await;
    assert_eq!(s.proxy.call("look").await, (200, "a".into()));
    let mut raw = s.raw().await;
    let held: Vec<Arc<Notify>> = (0..6).map(|_| Arc::default()).collect();
    script.give(held.iter().cloned().map(Act::Hold));
    let mut busy = 0;
    while s.counts().await["in_flight"].as_f64() < Some(4.0) {
        raw.send(&call("claims.once", "fill", &busy.to_string()))
            .await;
        busy += 1;
        script.came(busy).await;
    }
    // The limit of one node begins at 4: with that full of remote calls, a request over HTTP finds
    // no place.
    assert_eq!(s.proxy.call("once").await.0, 503);
    held.iter().for_each(|h| h.notify_one());
    for _ in 0..busy {
        assert_eq!(raw.next().await["result"], "a");
    }
    let counts = s.counts().await;
    let row = |class: &str, answer: &str| {
        let rows = counts["requests"].as_array().expect("rows");
        let of = rows
            .iter()
            .find(|r| r["class"] == class && r["tenant"] == "acme" && r["answer"] == answer);
        of.map_or(0, |r| r["count"].as_u64().unwrap_or(0))
    };
    assert_eq!(
        (row("look", "served"), row("once", "refused")),
        (1, 1),
        "{counts}"
    );
    assert_eq!(row("once", "served"), busy as u64);
}

/// Tenants by the call, by the connection, and none that is unknown; an unknown method by a class
/// that is unsafe.
#[tokio::test]
async fn tenants_and_unknown_methods() {
    let (script, _nodes, list) = nodes(&["a"]).await;
    let listener = "tenant_in = \"/who\"\nunknown = \"once\"";
    let s = scene(&Plan {
        nodes: &list,
        listener,
        ..Plan::default()
    })
    .await;
    let mut raw = s.raw().await;
    let ask = |who: &str| {
        format!(r#"{{"jsonrpc":"2.0","method":"anything","params":{{"who":{who}}},"id":1}}"#)
    };
    assert_eq!(raw.call(&ask("\"acme\"")).await["result"], "a");
    for who in ["\"nobody\"", "7", "null"] {
        assert_eq!(code(&raw.call(&ask(who)).await), -32602, "{who}");
    }
    script.give([Act::Cut(2)]);
    assert_eq!(
        code(&raw.call(&ask("\"acme\"")).await),
        FAILED,
        "nothing is known of it: it is not sent again"
    );
    assert_eq!(script.of("anything").len(), 2);
    let listener = "tenant_from = { \"127.0.0.2\" = \"acme\" }";
    let s = scene(&Plan {
        nodes: &list,
        listener,
        ..Plan::default()
    })
    .await;
    assert_eq!(
        code(&s.raw().await.call(&call("claims.look", "x", "1")).await),
        -32600,
        "127.0.0.1 is no tenant's"
    );
}

/// Listeners come and go with generations; one that can't be opened turns its change down.
#[tokio::test]
async fn listeners_change_by_transactions() {
    let (_script, _nodes, list) = nodes(&["a"]).await;
    let mut s = scene(&Plan {
        nodes: &list,
        ..Plan::default()
    })
    .await;
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let second = |at: &str| {
        format!(
            "[[listener]]\nname = \"more\"\nlisten = \"{at}\"\nprotocol = \"json-rpc\"\ntenant = \"acme\"\n\
             [[listener.method]]\nname = \"m\"\nclass = \"look\"\n"
        )
    };
    let at = taken.local_addr().expect("bound").to_string();
    let with = Plan {
        nodes: &list,
        more: &second(&at),
        ..Plan::default()
    }
    .text();
    let (status, said) = s.ask("POST", "/config/apply", &with).await;
    assert!(
        status == 422 && said.contains("listener more: 127.0.0.1:"),
        "{status} {said}"
    );
    let with = Plan {
        nodes: &list,
        more: &second("127.0.0.1:0"),
        ..Plan::default()
    }
    .text();
    let (status, said) = s.ask("POST", "/config/apply", &with).await;
    assert_eq!(status, 200, "{said}");
    let more = s.proxy.told("listener more on ").await;
    let m = r#"{"jsonrpc":"2.0","method":"m","id":1}"#;
    let mut raw = Raw::to(more).await;
    assert_eq!(raw.call(m).await["result"], "a");
    soon(async {
        while !s
            .ask("GET", "/config/status", "")
            .await
            .1
            .contains("generation 2 is committed")
        {}
    })
    .await;
    let (status, said) = s
        .ask(
            "POST",
            "/config/apply",
            &Plan {
                nodes: &list,
                ..Plan::default()
            }
            .text(),
        )
        .await;
    assert_eq!(status, 200, "{said}");
    assert_eq!(raw.rest().await, "", "its connections end");
    soon(async {
        while tokio::net::TcpStream::connect(more).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
    assert_eq!(
        s.raw().await.call(&call("claims.look", "x", "1")).await["result"],
        "a"
    );
}

/// A client library that others wrote.
#[tokio::test]
async fn a_client_of_somebody_elses_making() {
    let (_script, _nodes, list) = nodes(&["a"]).await;
    let s = scene(&Plan {
        nodes: &list,
        listener: "framing = \"run-on\"",
        ..Plan::default()
    })
    .await;
    let addr = s.addr;
    let told = tokio::task::spawn_blocking(move || {
        let client = jsonrpc::Client::with_transport(jsonrpc::simple_tcp::TcpTransport::new(addr));
        let params = jsonrpc::serde_json::value::to_raw_value(&json!({"claim": {"id": "c-1"}}))
            .expect("JSON");
        let one: String = client.call("claims.keep", Some(&params)).expect("served");
        let requests: Vec<_> = (0..3)
            .map(|_| client.build_request("claims.keep", Some(&params)))
            .collect();
        let batch = client.send_batch(&requests).expect("served");
        let none = client.call::<String>("claims.none", None);
        (one, batch.into_iter().flatten().count(), none)
    });
    let (one, batch, none) = soon(told).await.expect("no panic");
    assert_eq!((one.as_str(), batch), ("a", 3));
    assert!(
        matches!(&none, Err(jsonrpc::Error::Rpc(e)) if e.code == -32601),
        "{none:?}"
    );
}

/// Random pipelines, faults and hang-ups: exactly one answer for every call whose caller stayed, no
/// unsafe call sent again once its node had it, and a proxy that serves on.
#[tokio::test]
async fn random_pipelines_faults_and_hang_ups() {
    let (script, nodes, list) = nodes(&["a", "b", "c"]).await;
    let s = scene(&Plan {
        nodes: &list,
        calls: 4,
        deadline_ms: 600,
        ..Plan::default()
    })
    .await;
    let (mut answered, mut served, mut left) = (0, 0, 0);
    let unsafe_sent = |script: &Script| {
        let mut by = std::collections::HashMap::<String, usize>::new();
        for seen in script
            .seen
            .borrow()
            .iter()
            .filter(|s| s.text.contains("claims.once"))
        {
            *by.entry(
                seen.value()["params"]["claim"]["id"]
                    .as_str()
                    .expect("text")
                    .into(),
            )
            .or_default() += 1;
        }
        by
    };
    for seed in 0..1_000u64 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut raw = s.raw().await;
        let calls = 1 + rng.usize(..6);
        let mut texts = Vec::new();
        for n in 0..calls {
            let method = ["claims.look", "claims.keep", "claims.once"][rng.usize(..3)];
            texts.push(call(method, &format!("s{seed}-{n}"), &n.to_string()));
            script.give([match rng.u8(..16) {
                0 => Act::Cut(rng.usize(..38)),
                1 => Act::Close,
                2 => Act::Raw("{\"result\":0,\"id\":77}\n"),
                3 if seed % 20 == 0 => Act::Half(rng.usize(..38)),
                _ => Act::Serve,
            }]);
        }
        let batch = rng.bool();
        let text = if batch {
            format!("[{}]\n", texts.join(","))
        } else {
            texts.join("\n") + "\n"
        };
        // In pieces, as a network makes them.
        let at = rng.usize(..=text.len());
        raw.write(&text.as_bytes()[..at]).await;
        if rng.u8(..4) == 0 {
            nodes[rng.usize(..3)].break_all();
        }
        raw.write(&text.as_bytes()[at..]).await;
        if rng.u8(..10) == 0 {
            raw.leave();
            left += 1;
            continue;
        }
        raw.shut().await;
        let rest = raw.rest().await;
        let answers: Vec<Value> = rest
            .lines()
            .map(|l| {
                serde_json::from_str::<Value>(l).unwrap_or_else(|e| panic!("seed {seed}: {e}: {l}"))
            })
            .flat_map(|v| {
                if let Value::Array(list) = v {
                    list
                } else {
                    vec![v]
                }
            })
            .collect();
        let mut ids: Vec<u64> = answers.iter().filter_map(|a| a["id"].as_u64()).collect();
        ids.sort_unstable();
        assert!(
            ids.iter().copied().eq(0..calls as u64),
            "seed {seed}: {rest}"
        );
        for a in &answers {
            assert!(
                [0, REFUSED, FAILED, TIMED_OUT].contains(&code(a)),
                "seed {seed}: {a}"
            );
            served += usize::from(code(a) == 0);
        }
        answered += answers.len();
    }
    let twice: Vec<_> = unsafe_sent(&script)
        .into_iter()
        .filter(|(_, n)| *n > 1)
        .collect();
    assert!(twice.is_empty(), "sent again: {twice:?}");
    assert!(
        answered > 2_000 && served > answered / 2 && left > 50,
        "{answered} {served} {left}"
    );
    assert_eq!(s.counts().await["requests_open"], 0);
}

/// A node that takes a call's begin and not its end, and then breaks off: the call can't have run
/// there, and even an unsafe one goes elsewhere, once.
#[tokio::test]
async fn a_text_that_was_not_written_whole_never_ran() {
    let (script, _nodes, list) = nodes(&["good"]).await;
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a size");
    socket
        .bind("127.0.0.1:0".parse().expect("an address"))
        .expect("a port");
    let deaf = socket.listen(16).expect("it listens");
    let at = deaf.local_addr().expect("bound");
    let (broken, small) = (
        Arc::new(AtomicUsize::new(0)),
        Arc::new(watch::Sender::new(0)),
    );
    let release = Arc::new(Notify::new());
    let (count, came, released) = (broken.clone(), small.clone(), release.clone());
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = deaf.accept().await.expect("a connection");
            let (count, came, released) = (count.clone(), came.clone(), released.clone());
            tokio::spawn(async move {
                let mut begin = [0; 1024];
                loop {
                    let n = stream.read(&mut begin).await.unwrap_or(0);
                    let text = String::from_utf8_lossy(&begin[..n]).into_owned();
                    if n == 0 {
                        return;
                    }
                    // A call of which all fits is answered once it is told to.
                    if let Some(call) = text.strip_suffix("}\n") {
                        came.send_modify(|n| *n += 1);
                        released.notified().await;
                        let id = call
                            .rsplit_once(",\"id\":")
                            .expect("the proxy writes it last")
                            .1;
                        let answer =
                            format!("{{\"jsonrpc\":\"2.0\",\"result\":\"deaf\",\"id\":{id}}}\n");
                        stream.write_all(answer.as_bytes()).await.expect("open");
                        continue;
                    }
                    // Something has come, and far from all of it fits.
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    socket2::SockRef::from(&stream)
                        .set_linger(Some(Duration::ZERO))
                        .expect("a socket");
                    count.fetch_add(1, SeqCst);
                    return;
                }
            });
        }
    });
    let nodes = [list[0], at];
    let s = scene(&Plan {
        nodes: &nodes,
        listener: "text_kb = 16384",
        ..Plan::default()
    })
    .await;
    // Each node takes one of two calls, whichever comes first. The good one keeps its own in work,
    // so that the next goes to the other, which is held for as quick and as well.
    let held = Arc::new(Notify::new());
    script.give([Act::Hold(held.clone())]);
    let mut beside = [s.raw().await, s.raw().await];
    for (n, raw) in beside.iter_mut().enumerate() {
        raw.send(&call("claims.look", &format!("held-{n}"), "0"))
            .await;
    }
    script.came(1).await;
    soon(small.subscribe().wait_for(|n| *n == 1))
        .await
        .expect("open");
    release.notify_one();
    let answered = async |one: &mut Raw| one.next().await["result"].clone();
    let [one, two] = &mut beside;
    let first =
        tokio::select! { told = answered(one) => (told, 1), told = answered(two) => (told, 0) };
    assert_eq!(first.0, "deaf");
    let mut raw = s.raw().await;
    let filler = "x".repeat(8 << 20);
    let unwritten = async || {
        s.counts().await["resends"]["connect_failed"]
            .as_u64()
            .unwrap_or(0)
    };
    for n in 0..40 {
        if unwritten().await > 0 {
            break;
        }
        let text = call(
            "claims.once",
            &format!("big-{n}\",\"filler\":\"{filler}"),
            &n.to_string(),
        );
        let told = raw.call(&text).await;
        assert_eq!((&told["result"], &told["id"]), (&json!("good"), &json!(n)));
        assert_eq!(script.of(&format!("\"big-{n}\"")).len(), 1);
    }
    assert!(
        unwritten().await > 0 && broken.load(SeqCst) > 0,
        "none went to the deaf node"
    );
    held.notify_one();
    assert_eq!(answered(&mut beside[first.1]).await, "good");
}

/// 10,000 hostile frames, made of the codec's corpus, on 500 connections: each connection comes to
/// its end, the program serves on, and its memory does not grow with them.
#[tokio::test]
async fn ten_thousand_hostile_frames() {
    let (_script, _nodes, list) = nodes(&["a"]).await;
    let s = scene(&Plan {
        nodes: &list,
        listener: "text_kb = 64\ncalls = 4",
        ..Plan::default()
    })
    .await;
    let folder =
        std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../heathroad-jsonrpc/tests/corpus");
    let mut files: Vec<_> = std::fs::read_dir(folder)
        .expect("it is there")
        .map(|f| f.expect("read").path())
        .collect();
    files.sort();
    let corpus: Vec<Vec<u8>> = files
        .iter()
        .map(|f| std::fs::read(f).expect("a file"))
        .collect();
    let hostile = async |seeds: std::ops::Range<u64>| {
        for seed in seeds {
            let mut rng = fastrand::Rng::with_seed(seed);
            let mut raw = s.raw().await;
            let mut bytes = Vec::new();
            for _ in 0..20 {
                let mut frame = corpus[rng.usize(..corpus.len())].clone();
                let at = rng.usize(..frame.len());
                match rng.u8(..3) {
                    0 => frame[at] ^= 1 << rng.u8(..8),
                    1 => frame.truncate(at),
                    _ => frame.insert(at, b"{}[]\",:\\\n\0"[rng.usize(..10)]),
                }
                bytes.extend(frame);
            }
            // It may be closed half-way through, with an answer.
            let (begun, _) = (Instant::now(), raw.try_write(&bytes).await);
            let _ = raw.try_shut().await;
            raw.rest().await;
            assert!(begun.elapsed() < Duration::from_secs(20), "seed {seed}");
        }
    };
    hostile(0..100).await;
    let (_, before) = s.proxy.used();
    hostile(100..500).await;
    let (_, after) = s.proxy.used();
    assert!(after < before + 8 * 1024, "{before} KiB, then {after} KiB");
    assert_eq!(
        s.raw().await.call(&call("claims.look", "x", "1")).await["result"],
        "a"
    );
    assert_eq!(s.counts().await["requests_open"], 0);
}
