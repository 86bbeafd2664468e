//! How long a client's JSON-RPC input is read: the time limit of each message, and the end of
//! input.

mod rig;

use rig::rpc::{Act, Node, PARSE_ERROR, REFUSED, Raw, Script, call, code};
use rig::rpc_scene::{Plan, Scene, nodes, scene};
use serde_json::Value;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

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

/// A connection that runs one call, which is all that it may, and whose node holds it.
struct BusyConnection {
    scene: Scene,
    script: Arc<Script>,
    _nodes: Vec<Node>,
    raw: Raw,
    held: Arc<Notify>,
}

impl BusyConnection {
    async fn new() -> BusyConnection {
        let (script, nodes, list) = nodes(&["a"]).await;
        let scene = scene(&Plan {
            nodes: &list,
            listener: "calls = 1",
            ..Plan::default()
        })
        .await;
        let held = Arc::new(Notify::new());
        script.give([Act::Hold(held.clone())]);
        let mut raw = scene.raw().await;
        raw.send(&call("claims.look", "held", "1")).await;
        script.came(1).await;
        BusyConnection {
            scene,
            script,
            _nodes: nodes,
            raw,
            held,
        }
    }

    /// Sends five notifications and a call in one write. The notifications are rejected at the
    /// limit of messages, two at a time.
    async fn crowd(&mut self) {
        let texts = ["n1", "n2", "n3", "n4", "n5"].map(|what| notification(what) + "\n");
        let text = call("claims.look", "behind", "2");
        self.raw
            .write(format!("{}{text}\n", texts.concat()).as_bytes())
            .await;
    }
}

/// Asserts that an answer refuses the call behind the notifications.
fn assert_refused(answer: &Value) {
    assert_eq!(
        (code(answer), &answer["id"]),
        (REFUSED, &Value::from(2)),
        "{answer}"
    );
}

/// Guards against messages that have arrived whole and are counted as incomplete: behind
/// notifications rejected at the limit of messages, a call waited in the buffer for the time
/// limit and was never answered.
#[tokio::test]
async fn whole_messages_behind_rejected_notifications_are_answered() {
    let mut s = BusyConnection::new().await;
    let begun = Instant::now();
    s.crowd().await;
    assert_refused(&s.raw.next().await);
    assert!(begun.elapsed() < MESSAGE_TIME, "{:?}", begun.elapsed());
    // The limit of an incomplete message still ends the input.
    s.raw.write(b"{\"half\":").await;
    tokio::time::sleep(MESSAGE_TIME + MESSAGE_TIME / 2).await;
    s.held.notify_one();
    assert_eq!(s.raw.next().await["result"], "a");
    assert_eq!(code(&s.raw.next().await), PARSE_ERROR);
    assert_eq!(s.raw.rest().await, "");
}

/// Guards against an end of input that joins the messages before it: the client closes its sending
/// side behind messages that lie in the buffer, and they were taken for one.
#[tokio::test]
async fn whole_messages_before_the_end_of_input_stay_apart() {
    let mut s = BusyConnection::new().await;
    s.crowd().await;
    s.raw.shut().await;
    assert_refused(&s.raw.next().await);
    s.held.notify_one();
    assert_eq!(s.raw.next().await["id"], 1);
    assert_eq!(s.raw.rest().await, "");
}

/// Guards against a planned stop that closes over messages which lie in the buffer: behind
/// notifications rejected at the limit of messages, a call was read and never answered.
#[tokio::test]
async fn whole_messages_at_a_planned_stop_are_answered() {
    let mut s = BusyConnection::new().await;
    let mut resting = s.scene.raw().await;
    let text = call("claims.look", "resting", "1");
    assert_eq!(resting.call(&text).await["result"], "a");
    s.script.came(2).await;
    s.scene.proxy.terminate().await;
    assert_eq!(resting.line().await, "", "the stop has begun");
    s.crowd().await;
    s.held.notify_one();
    let mut answers = [s.raw.next().await, s.raw.next().await];
    answers.sort_by_key(|answer| answer["id"].as_u64());
    assert_eq!(answers[0]["result"], "a");
    assert_refused(&answers[1]);
    assert_eq!(s.raw.rest().await, "");
    assert!(s.scene.proxy.ended().await.success());
}
