//! How long a client's JSON-RPC input is read: the time limit of each message, and the end of
//! input.

mod rig;

use rig::rpc::{Act, Raw, call, code};
use rig::rpc_scene::{Plan, nodes, scene};
use serde_json::Value;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

const REJECTED: i64 = -32001;
const PARSE_ERROR: i64 = -32700;
/// The time limit of one message.
const MESSAGE_TIME: Duration = Duration::from_secs(2);
/// How long the calls of a connection follow each other: several time limits would have passed.
const STREAM_TIME: Duration = Duration::from_millis(4500);
/// The time between two writes.
const PAUSE: Duration = Duration::from_millis(100);

fn framed(framing: &str, text: &str) -> String {
    match framing {
        "headers" => format!("Content-Length: {}\r\n\r\n{text}", text.len()),
        "lines" => format!("{text}\n"),
        _ => text.to_string(),
    }
}

fn notification(what: &str) -> String {
    format!(r#"{{"jsonrpc":"2.0","method":"claims.look","params":{{"claim":{{"id":"{what}"}}}}}}"#)
}

/// Returns the ids of the results in a text, whatever its framing.
fn result_ids(text: &str) -> BTreeSet<usize> {
    let results = text.split("\"result\":\"a\",\"id\":").skip(1);
    let ids = results.map(|rest| rest[..rest.find('}').expect("the end")].parse());
    ids.map(|id| id.expect("a number")).collect()
}

/// Guards against a time limit that one message leaves to the next: each write ends within a
/// message, for longer than the limit, and the connection was closed over calls sent whole.
#[tokio::test]
async fn each_message_has_a_time_limit_of_its_own() {
    let (_script, _nodes, list) = nodes(&["a"]).await;
    let streams = ["lines", "headers", "run-on"].map(|framing| {
        let list = &list;
        async move {
            let listener = format!("framing = \"{framing}\"");
            let plan = Plan {
                nodes: list,
                listener: &listener,
                ..Plan::default()
            };
            let s = scene(&plan).await;
            let mut raw = s.raw().await;
            let (begun, mut rest, mut sent) = (Instant::now(), String::new(), 0);
            while begun.elapsed() < STREAM_TIME {
                let text = framed(framing, &call("claims.once", "split", &sent.to_string()));
                let (first, second) = text.split_at(text.len() / 2);
                let written = raw.try_write(format!("{rest}{first}").as_bytes()).await;
                assert!(written.is_ok(), "{framing}: closed after {sent} calls");
                rest = second.to_string();
                sent += 1;
                tokio::time::sleep(PAUSE).await;
            }
            // The last one stays incomplete, and its limit counts from its own first byte.
            let stopped = Instant::now() - PAUSE;
            let answers = raw.rest().await;
            let waited = stopped.elapsed();
            assert_eq!(
                result_ids(&answers),
                (0..sent - 1).collect::<BTreeSet<_>>(),
                "{framing}: {answers}"
            );
            assert!(answers.contains("-32700"), "{framing}: {answers}");
            assert!(
                waited > MESSAGE_TIME - PAUSE && waited < MESSAGE_TIME * 2,
                "{framing}: closed after {waited:?}"
            );
        }
    });
    let [lines, headers, concatenated] = streams;
    tokio::join!(lines, headers, concatenated);
}

/// Sends five notifications and a call in one write while the only call that may run is held, so
/// that they are rejected at the limit of messages, two at a time.
async fn crowded(raw: &mut Raw) {
    let texts = ["n1", "n2", "n3", "n4", "n5"].map(|what| notification(what) + "\n");
    let text = call("claims.look", "behind", "2");
    raw.write(format!("{}{text}\n", texts.concat()).as_bytes())
        .await;
}

/// Guards against messages that have arrived whole and are counted as incomplete: behind
/// notifications rejected at the limit of messages, a call waited in the buffer for the time
/// limit and was never answered.
#[tokio::test]
async fn whole_messages_behind_rejected_notifications_are_answered() {
    let (script, _nodes, list) = nodes(&["a"]).await;
    let s = scene(&Plan {
        nodes: &list,
        listener: "calls = 1",
        ..Plan::default()
    })
    .await;
    let held = Arc::new(Notify::new());
    script.give([Act::Hold(held.clone())]);
    let mut raw = s.raw().await;
    raw.send(&call("claims.look", "held", "1")).await;
    script.came(1).await;
    let begun = Instant::now();
    crowded(&mut raw).await;
    let answer = raw.next().await;
    assert_eq!(
        (code(&answer), &answer["id"]),
        (REJECTED, &Value::from(2)),
        "{answer}"
    );
    assert!(begun.elapsed() < MESSAGE_TIME, "{:?}", begun.elapsed());
    // The limit of an incomplete message still ends the input.
    raw.write(b"{\"half\":").await;
    tokio::time::sleep(MESSAGE_TIME + MESSAGE_TIME / 2).await;
    held.notify_one();
    assert_eq!(raw.next().await["result"], "a");
    assert_eq!(code(&raw.next().await), PARSE_ERROR);
    assert_eq!(raw.rest().await, "");
}

/// Guards against an end of input that joins the messages before it: the client closes its sending
/// side behind messages that lie in the buffer, and they were taken for one.
#[tokio::test]
async fn whole_messages_before_the_end_of_input_stay_apart() {
    let (script, _nodes, list) = nodes(&["a"]).await;
    let s = scene(&Plan {
        nodes: &list,
        listener: "calls = 1",
        ..Plan::default()
    })
    .await;
    let held = Arc::new(Notify::new());
    script.give([Act::Hold(held.clone())]);
    let mut raw = s.raw().await;
    raw.send(&call("claims.look", "held", "1")).await;
    script.came(1).await;
    crowded(&mut raw).await;
    raw.shut().await;
    let answer = raw.next().await;
    assert_eq!(
        (code(&answer), &answer["id"]),
        (REJECTED, &Value::from(2)),
        "{answer}"
    );
    held.notify_one();
    assert_eq!(raw.next().await["id"], 1);
    assert_eq!(raw.rest().await, "");
}

/// Guards against a planned stop that closes over messages which lie in the buffer: behind
/// notifications rejected at the limit of messages, a call was read and never answered.
#[tokio::test]
async fn whole_messages_at_a_planned_stop_are_answered() {
    let (script, _nodes, list) = nodes(&["a"]).await;
    let mut s = scene(&Plan {
        nodes: &list,
        listener: "calls = 1",
        ..Plan::default()
    })
    .await;
    let mut resting = s.raw().await;
    let text = call("claims.look", "resting", "1");
    assert_eq!(resting.call(&text).await["result"], "a");
    let held = Arc::new(Notify::new());
    script.give([Act::Hold(held.clone())]);
    let mut raw = s.raw().await;
    raw.send(&call("claims.look", "held", "1")).await;
    script.came(2).await;
    s.proxy.terminate().await;
    assert_eq!(resting.line().await, "", "the stop has begun");
    crowded(&mut raw).await;
    held.notify_one();
    let mut answers = [raw.next().await, raw.next().await];
    answers.sort_by_key(|answer| answer["id"].as_u64());
    assert_eq!(answers[0]["result"], "a");
    assert_eq!(
        (code(&answers[1]), &answers[1]["id"]),
        (REJECTED, &Value::from(2)),
        "{}",
        answers[1]
    );
    assert_eq!(raw.rest().await, "");
    assert!(s.proxy.ended().await.success());
}
