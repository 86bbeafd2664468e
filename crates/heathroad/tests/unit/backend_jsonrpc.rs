//! JSON-RPC connections to backends: which of them a call may use.

use super::races::{LONG, RunningAttempt, jsonrpc_call, pool, run, soon};
use super::*;
use bytes::Bytes;
use heathroad_balancer::api::Outcome;
use heathroad_jsonrpc::Framing;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

fn call(port: u16, framing: Framing) -> Rc<Call> {
    jsonrpc_call(port, framing, None)
}

fn transport(port: u16, framing: Framing) -> jsonrpc::Transport {
    match &*call(port, framing) {
        Call::JsonRpc(call) => call.transport,
        Call::Http(_) => unreachable!("a JSON-RPC call"),
    }
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
            // Connected means connected to the pool's own port, and nothing listens on this one.
            let other = transport(9, Framing::Lines);
            assert!(!pool.ensure_connection(&target, Some(other)).await);
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
            let find = |framing| pool.find_jsonrpc(&target, &transport(port, framing));
            assert!(find(Framing::Lines).is_some());
            assert!(find(Framing::Headers).is_none());
            // A process that drains keeps no connection, whatever its port and framing.
            pool.close_idle_connections(&target);
            assert!(find(Framing::Lines).is_none());
        })
        .await;
}

/// More than the system takes for a node that reads nothing, in bytes.
const LONG_TEXT: usize = 16 << 20;
/// A node that reads gets what is still written to it sooner.
const SILENCE: Duration = Duration::from_millis(300);

/// A connection that carries a call whose response is awaited and one that is half written.
struct HalfWritten {
    pool: Rc<Pool>,
    target: Rc<Target>,
    listener: TcpListener,
    node: BufReader<TcpStream>,
    awaited_line: String,
    awaited: RunningAttempt,
    half_written: RunningAttempt,
}

impl HalfWritten {
    async fn new() -> HalfWritten {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let pool = pool(8, true);
        let address = listener.local_addr().expect("bound");
        let target = pool.target("node", address, 0.0);
        let awaited = run(&pool, &target, call(address.port(), Framing::Lines));
        let (node, _) = soon(listener.accept()).await.expect("it came");
        let mut node = BufReader::new(node);
        let mut awaited_line = String::new();
        let read = soon(node.read_line(&mut awaited_line)).await;
        assert_ne!(read.expect("open"), 0);
        let params = Some(Bytes::from(format!("[\"{}\"]", "x".repeat(LONG_TEXT))));
        let long_call = jsonrpc_call(address.port(), Framing::Lines, params);
        let half_written = run(&pool, &target, long_call);
        assert_ne!(soon(node.read(&mut [0; 64])).await.expect("open"), 0);
        HalfWritten {
            pool,
            target,
            listener,
            node,
            awaited_line,
            awaited,
            half_written,
        }
    }
}

/// Answers the call in a line.
async fn answer(node: &mut BufReader<TcpStream>, line: &str) {
    let id = line.rsplit_once(':').expect("an id").1;
    let answer = format!("{{\"jsonrpc\":\"2.0\",\"result\":1,\"id\":{id}");
    soon(node.write_all(answer.as_bytes())).await.expect("open");
}

/// Guards against a call that is written on after it was reported as not sent: another call on the
/// connection kept it open, the node got the rest, and ran it beside its repeat.
#[tokio::test]
async fn a_call_cancelled_half_way_beside_another_is_not_written_on() {
    for cancel in [AttemptControl::abandon, AttemptControl::cancel] {
        LocalSet::new()
            .run_until(async {
                let mut s = HalfWritten::new().await;
                cancel(&s.half_written.control);
                assert_eq!(soon(s.half_written.outcome).await, Ok(Outcome::NotSent));
                let mut bytes = vec![0; 1 << 16];
                while let Ok(read) = timeout(SILENCE, s.node.read(&mut bytes)).await {
                    let read = read.expect("open");
                    assert_ne!(read, 0, "the other call lost its connection");
                    assert_ne!(bytes[read - 1], b'\n', "it got all of it");
                }
                answer(&mut s.node, &s.awaited_line).await;
                assert_eq!(soon(s.awaited.outcome).await, Ok(Outcome::Success));
                let ended = soon(s.node.read(&mut bytes)).await;
                assert_eq!(ended.unwrap_or(0), 0, "it is written on");
            })
            .await;
    }
}

/// Guards against a queued call that waits behind one which is not written on: it goes over another
/// connection.
#[tokio::test]
async fn a_call_queued_behind_a_cancelled_one_uses_another_connection() {
    LocalSet::new()
        .run_until(async {
            let s = HalfWritten::new().await;
            let port = s.target.address.port();
            let queued = run(&s.pool, &s.target, call(port, Framing::Lines));
            tokio::task::yield_now().await;
            s.half_written.control.cancel();
            assert_eq!(soon(s.half_written.outcome).await, Ok(Outcome::NotSent));
            let (second, _) = soon(s.listener.accept()).await.expect("it came");
            let (mut second, mut line) = (BufReader::new(second), String::new());
            assert_ne!(soon(second.read_line(&mut line)).await.expect("open"), 0);
            answer(&mut second, &line).await;
            assert_eq!(soon(queued.outcome).await, Ok(Outcome::Success));
        })
        .await;
}
