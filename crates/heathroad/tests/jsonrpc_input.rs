//! How long a client's JSON-RPC input is read: the time limit of each message, and the end of
//! input.

mod rig;

use rig::rpc::call;
use rig::rpc_scene::{Plan, nodes, scene};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

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
