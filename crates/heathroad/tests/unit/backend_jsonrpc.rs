//! JSON-RPC connections to backends: which of them a call may use.

use super::races::{LONG, pool, soon};
use super::*;
use bytes::Bytes;
use heathroad_jsonrpc::Framing;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};

fn call(port: u16, framing: Framing) -> Rc<Call> {
    let transport = jsonrpc::Transport {
        port: Some(port),
        framing,
        max_calls: 4,
        declined_code: None,
        carries_budget: false,
    };
    Rc::new(Call::JsonRpc(jsonrpc::Call {
        method: Bytes::from_static(b"\"once\""),
        params: None,
        is_notification: false,
        transport,
    }))
}

/// Starts a service that answers each call, a line each, with its name.
async fn service(name: &'static str) -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let port = listener.local_addr().expect("bound").port();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(async move {
                let (reader, mut writer) = stream.into_split();
                let mut lines = BufReader::new(reader).lines();
                while let Ok(Some(line)) = lines.next_line().await {
                    let id = line.rsplit_once(":").expect("an id").1;
                    let answer =
                        format!("{{\"jsonrpc\":\"2.0\",\"result\":\"{name}\",\"id\":{id}\n");
                    writer.write_all(answer.as_bytes()).await.expect("open");
                }
            });
        }
    });
    port
}

/// Runs a call and returns its `result` member.
async fn served(pool: &Rc<Pool>, target: &Rc<Target>, call: &Rc<Call>) -> String {
    let (control, expires_at) = (Rc::<AttemptControl>::default(), Instant::now() + LONG);
    let end = exchange(pool, call, target, expires_at, &control, None);
    let AttemptEnd::Served(member) = soon(end).await else {
        panic!("it was not served");
    };
    String::from_utf8(member.to_vec()).expect("text")
}

/// Guards against connections that are kept by process alone: after a change that added a pool on
/// another port of the same process, calls of either pool went to the port of the other one.
#[tokio::test]
async fn a_call_uses_connections_to_its_own_port_alone() {
    LocalSet::new()
        .run_until(async {
            let pool = pool(8, true);
            let (first, second) = (service("first").await, service("second").await);
            let target = pool.target("node", ([127, 0, 0, 1], first).into(), 0.0);
            for (port, name) in [(first, "first"), (second, "second"), (first, "first")] {
                let member = served(&pool, &target, &call(port, Framing::Lines)).await;
                assert!(member.contains(name), "{name}: {member}");
            }
            // Connected means connected to the pool's own port.
            let closed = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let port = closed.local_addr().expect("bound").port();
            drop(closed);
            let Call::JsonRpc(other) = &*call(port, Framing::Lines) else {
                unreachable!("a JSON-RPC call");
            };
            let transport = Some(other.transport);
            assert!(!pool.ensure_connection(&target, transport).await);
        })
        .await;
}

/// Guards against connections that are kept by process alone: calls were written in the framing of
/// another pool.
#[tokio::test]
async fn a_call_uses_connections_of_its_own_framing_alone() {
    LocalSet::new()
        .run_until(async {
            let pool = pool(8, true);
            let port = service("node").await;
            let target = pool.target("node", ([127, 0, 0, 1], port).into(), 0.0);
            served(&pool, &target, &call(port, Framing::Lines)).await;
            let transport = |framing| match &*call(port, framing) {
                Call::JsonRpc(call) => call.transport,
                Call::Http(_) => unreachable!("a JSON-RPC call"),
            };
            let find = |framing| pool.find_jsonrpc(&target, &transport(framing));
            assert!(find(Framing::Lines).is_some());
            assert!(find(Framing::Headers).is_none());
            // A process that drains keeps no connection, whatever its port and framing.
            pool.close_idle_connections(&target);
            assert!(find(Framing::Lines).is_none());
        })
        .await;
}
