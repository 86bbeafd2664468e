//! Races between a stop, or a request to close, and what clients send. The order within a turn
//! matters: the system carries out at once what clients do, with no turn of the loop between it and
//! the stop.

use super::connections::ConnectionTable;
use super::http::HttpFrontend;
use super::jsonrpc::JsonRpcFrontend;
use crate::backend::{Limits, Pool};
use crate::engine::Engine;
use crate::engine::tests::settings;
use crate::metrics::{MetricsRegistry, PoolMetrics};
use crate::router::Router;
use heathroad_balancer::api::UpdateKind;
use serde_json::json;
use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{JoinHandle, LocalSet, spawn_blocking, spawn_local, yield_now};
use tokio::time::timeout;

const LONG: Duration = Duration::from_secs(20);

struct Scene {
    addr: SocketAddr,
    table: Rc<ConnectionTable>,
    engine: Rc<Engine>,
    stop: watch::Sender<bool>,
    serving: JoinHandle<()>,
}

/// Returns a frontend without backends, which rejects whatever it takes in the end.
async fn scene() -> Scene {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("bound");
    let limits = Limits {
        connections: 4,
        connect_timeout: LONG,
        idle_timeout: LONG,
        drain_grace: LONG,
        may_duplicate: true,
    };
    let table = Rc::<ConnectionTable>::default();
    let counts = PoolMetrics::new(&Rc::new(MetricsRegistry::new()), "", &settings().site);
    let (watching, _) = watch::channel(false);
    let engine = Engine::new(
        settings(),
        1,
        Rc::new(Pool::new(limits)),
        counts,
        None,
        watching,
    );
    let engine = engine.expect("good settings");
    let router = Rc::new(Router::SinglePool(engine.clone()));
    let (max_connections, max_buffered_bytes) = (100, 1 << 20);
    let front = HttpFrontend {
        router,
        settings: settings(),
        max_connections,
        max_buffered_bytes,
        table: table.clone(),
        budgets: None,
    };
    let (stop, stopped) = watch::channel(false);
    let serving = spawn_local(Rc::new(front).serve(listener, stopped));
    Scene {
        addr,
        table,
        engine,
        stop,
        serving,
    }
}

fn request(id: usize) -> String {
    format!("GET /look HTTP/1.1\r\nHost: o\r\nReq-Id: {id}\r\nReq-Deadline-Ms: 300\r\n\r\n")
}

fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).expect("the system takes it");
    stream.set_read_timeout(Some(LONG)).expect("a socket");
    stream
}

/// Reads until the connection ends, beside the loop.
async fn rest(mut stream: TcpStream) -> String {
    let read = spawn_blocking(move || {
        let mut bytes = Vec::new();
        // A reset ends it as well.
        let _ = stream.read_to_end(&mut bytes);
        String::from_utf8(bytes).expect("text")
    });
    timeout(LONG, read)
        .await
        .expect("it ends")
        .expect("no panic")
}

/// Returns the number of responses in a text.
fn answers(text: &str) -> usize {
    text.matches("HTTP/1.1 503").count()
}

/// Reads the next response, which has no body; none where the connection was closed.
async fn next(mut stream: TcpStream) -> (TcpStream, usize) {
    let read = spawn_blocking(move || {
        let (mut bytes, mut one) = (Vec::new(), [0]);
        while !bytes.ends_with(b"\r\n\r\n") && stream.read_exact(&mut one).is_ok() {
            bytes.push(one[0]);
        }
        (stream, answers(&String::from_utf8(bytes).expect("text")))
    });
    timeout(LONG, read)
        .await
        .expect("it comes")
        .expect("no panic")
}

/// Sends one request, and returns its connection.
async fn served_once(addr: SocketAddr, id: usize) -> TcpStream {
    let mut stream = connect(addr);
    stream.write_all(request(id).as_bytes()).expect("open");
    let (stream, answers) = next(stream).await;
    assert_eq!(answers, 1);
    stream
}

/// Clients wait in the accept queue when the listener closes, with and without their request.
#[tokio::test]
async fn clients_in_the_queue_at_the_stop_are_answered() {
    LocalSet::new()
        .run_until(async {
            let s = scene().await;
            yield_now().await;
            let mut callers: Vec<_> = (0..20).map(|_| connect(s.addr)).collect();
            for (id, caller) in callers.iter_mut().enumerate().filter(|(id, _)| id % 2 == 0) {
                caller.write_all(request(id).as_bytes()).expect("open");
            }
            s.stop.send_replace(true);
            // The others send a moment later.
            while s.table.descriptors() < callers.len() {
                assert!(!s.serving.is_finished(), "it closed on them");
                yield_now().await;
            }
            for (id, caller) in callers.iter_mut().enumerate().filter(|(id, _)| id % 2 == 1) {
                caller.write_all(request(id).as_bytes()).expect("open");
            }
            for caller in callers {
                let text = rest(caller).await;
                assert_eq!(answers(&text), 1, "{text:?}");
                assert!(
                    text.to_lowercase().contains("connection: close"),
                    "{text:?}"
                );
            }
            timeout(LONG, s.serving)
                .await
                .expect("it ends")
                .expect("no panic");
        })
        .await;
}

/// A request lies whole on an idle connection when the stop comes to close it.
#[tokio::test]
async fn a_request_unread_on_an_idle_connection_at_the_stop_is_answered() {
    LocalSet::new()
        .run_until(async {
            let s = scene().await;
            let mut busy = served_once(s.addr, 1).await;
            let idle = served_once(s.addr, 2).await;
            busy.write_all(request(3).as_bytes()).expect("open");
            s.stop.send_replace(true);
            assert_eq!(answers(&rest(busy).await), 1);
            assert_eq!(rest(idle).await, "", "one at rest is closed");
            timeout(LONG, s.serving)
                .await
                .expect("it ends")
                .expect("no panic");
        })
        .await;
}

/// A connection is asked to close in the turn in which its request arrives.
#[tokio::test]
async fn a_request_that_arrives_as_its_connection_is_shed_is_answered() {
    LocalSet::new()
        .run_until(async {
            let s = scene().await;
            let door = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
            // Its system takes connections, and nobody there answers: what is taken stays in work
            // until its time is up.
            let silent = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
            let host = json!({"host": "a", "dial": silent.local_addr().expect("bound"), "site": "a", "health": "SERVING"});
            s.engine.update_endpoints(UpdateKind::Snapshot, vec![serde_json::from_value(host).expect("a host")]);
            let mut answered = 0;
            for round in 0..5 {
                let mut caller = served_once(s.addr, 2 * round).await;
                let mut signal = connect(door.local_addr().expect("bound"));
                let (waits, _) = door.accept().expect("it came");
                waits.set_nonblocking(true).expect("a socket");
                let (waits, table) = (tokio::net::TcpStream::from_std(waits).expect("a socket"), s.table.clone());
                let sheds = spawn_local(async move {
                    waits.readable().await.expect("open");
                    table.shed_one();
                });
                while s.table.descriptors() > 1 {
                    yield_now().await;
                }
                yield_now().await;
                // The reactor hears of both in one look, of the signal first: the connection's task
                // knows of its request, and has its turn behind the one that asks it to leave.
                signal.write_all(b"x").expect("open");
                caller.write_all(request(2 * round + 1).as_bytes()).expect("open");
                answered += next(caller).await.1;
                sheds.await.expect("no panic");
                let counts = s.engine.metrics().registry().to_text(&[], crate::metrics::Descriptors { open: 0, max: 0 });
                assert!(!counts.contains("\"left\""), "round {round}: it was taken and dropped");
            }
            assert_ne!(answered, 0, "each was closed unread");
            s.serving.abort();
        })
        .await;
}

/// Returns a backend that serves each request, and the ids of those that it received, in order.
fn serves(listener: TcpListener) -> Rc<RefCell<Vec<String>>> {
    let seen = Rc::<RefCell<Vec<String>>>::default();
    let saw = seen.clone();
    spawn_local(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("it comes");
            let saw = saw.clone();
            spawn_local(async move {
                let mut bytes = Vec::new();
                while stream.read_buf(&mut bytes).await.is_ok_and(|n| n > 0) {
                    let text = String::from_utf8(bytes.clone()).expect("text");
                    if text.ends_with("\r\n\r\n") {
                        let id = text
                            .lines()
                            .find_map(|l| l.strip_prefix("req-id: "))
                            .expect("an id");
                        saw.borrow_mut().push(id.to_string());
                        bytes.clear();
                        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";
                        stream.write_all(answer).await.expect("open");
                    }
                }
            });
        }
    });
    seen
}

/// Sends one request and reads its response; returns the connection.
async fn served(addr: SocketAddr, id: &str) -> TcpStream {
    let mut caller = tokio::net::TcpStream::connect(addr)
        .await
        .expect("it listens");
    let call = request(0)
        .replace("Req-Id: 0", &format!("Req-Id: {id}"))
        .replace(" 300", " 60000");
    caller.write_all(call.as_bytes()).await.expect("open");
    let mut answer = Vec::new();
    while !answer.ends_with(b"good") {
        assert_ne!(
            timeout(LONG, caller.read_buf(&mut answer))
                .await
                .expect("it comes")
                .expect("open"),
            0
        );
    }
    caller.into_std().expect("a socket")
}

/// Clients have left by the time at which their requests are read, by a close or a reset, on a new
/// connection, on one that had sent nothing so far, and on one that was served. A connection to a
/// backend is idle.
#[tokio::test]
async fn a_request_of_a_client_that_has_left_is_not_forwarded() {
    LocalSet::new()
        .run_until(async {
            let s = scene().await;
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let host = json!({"host": "a", "dial": listener.local_addr().expect("bound"), "site": "a", "health": "SERVING"});
            let seen = serves(listener);
            s.engine.update_endpoints(UpdateKind::Snapshot, vec![serde_json::from_value(host).expect("a host")]);
            drop(served(s.addr, "first").await);
            let mut expected = vec!["first".to_string()];
            for reset in [false, true] {
                for at in ["new", "quiet", "kept"] {
                    let wait_for = async |present| {
                        let all = async {
                            while s.table.descriptors() != present {
                                yield_now().await;
                            }
                        };
                        timeout(LONG, all).await.expect("places are taken and given back");
                    };
                    wait_for(0).await;
                    let mut caller = match at {
                        "kept" => served(s.addr, at).await,
                        _ => connect(s.addr),
                    };
                    expected.extend((at == "kept").then(|| at.to_string()));
                    if at != "new" {
                        wait_for(1).await;
                        // Its task has looked at it, and waits.
                        yield_now().await;
                    }
                    caller.write_all(request(7).replace(" 300", " 60000").as_bytes()).expect("open");
                    if reset {
                        socket2::SockRef::from(&caller).set_linger(Some(Duration::ZERO)).expect("a socket");
                    }
                    drop(caller);
                    // It came, and its turn has been: who comes behind it is served.
                    let behind = served(s.addr, "behind").await;
                    expected.push("behind".to_string());
                    drop(behind);
                    wait_for(0).await;
                    assert_eq!(*seen.borrow(), expected, "{at} {reset}");
                }
            }
            s.serving.abort();
        })
        .await;
}

/// JSON-RPC clients wait in a listener's queue at the stop, with their call and without, and the
/// next call of a served one lies unread. Each call is answered, if only by a rejection.
#[tokio::test]
async fn calls_in_the_queue_and_unread_at_the_stop_are_answered() {
    let folder = std::env::temp_dir().join(format!("heathroad-queue-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (routes, config) = (folder.join("routes.toml"), folder.join("config.json"));
    let pool = "[[pool]]\nname = \"p\"\nbackends = [{ address = \"127.0.0.1:9\" }]\n[pool.rpc]\n";
    let class =
        "[[pool.class]]\nname = \"look\"\neffect = \"safe\"\naim_ms = 100\ndeadline_ms = 200\n";
    let route = "[[route]]\nname = \"all\"\npool = \"p\"\n";
    let listener = "[[listener]]\nname = \"calls\"\nlisten = \"127.0.0.1:0\"\nframing = \"lines\"\nprotocol = \"json-rpc\"\n";
    let method = "[[listener.method]]\nname = \"look\"\nclass = \"look\"\n";
    std::fs::write(&routes, [pool, class, route, listener, method].concat()).expect("written");
    let file_settings = json!({"slotNo": 0, "peersTotal": 1, "tier": 0, "locality": 0, "localities": ["a"], "tick": 5.0,
        "overShareWorth": 0.05, "discovery": "automatic", "tenants": [],
        "classes": [{"name": "look", "aim": 1000.0, "giveUp": 2000.0, "points": 1.0, "semantics": "retryable", "group": "all",
                     "window": 0.0}],
        "caps": {"cancelling": true, "retryAfter": false, "maxRetryAfter": 0.0, "tryLimit": 3, "openCap": 100,
                 "connIdle": 60_000.0, "connectTimeout": 2000.0},
        "guarantees": {"coldFrom": 0.1, "cold": 1000.0, "fallMultiple": 3.0, "fall": 1000.0, "stopSendingWithin": 500.0}});
    let text = json!({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
        "limits": {"sockets": 256, "memory_mb": 64}, "settings": file_settings});
    std::fs::write(&config, text.to_string()).expect("written");
    LocalSet::new()
        .run_until(async {
            let config = crate::configuration::check(&config).expect("a good file");
            let limits = Limits {
                connections: 4,
                connect_timeout: LONG,
                idle_timeout: LONG,
                drain_grace: LONG,
                may_duplicate: true,
            };
            let many =
                crate::router::startup::start(&routes, &config, &Rc::new(Pool::new(limits)), None);
            let many = many.expect("good routes");
            let addr = many.listeners()[0].1.local_addr().expect("bound");
            let table = Rc::<ConnectionTable>::default();
            let (max_connections, max_buffered_bytes) = (100, 1 << 20);
            let front = JsonRpcFrontend {
                pools: many,
                settings: settings(),
                max_connections,
                max_buffered_bytes,
                table: table.clone(),
                budgets: None,
            };
            let (stop, stopped) = watch::channel(false);
            let serving = spawn_local(Rc::new(front).serve(stopped));
            let call =
                |id: usize| format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"look\"}}\n");
            let mut kept = connect(addr);
            kept.write_all(call(1).as_bytes()).expect("open");
            let read = spawn_blocking(move || {
                let (mut line, mut one) = (Vec::new(), [0]);
                while line.last() != Some(&b'\n') && kept.read_exact(&mut one).is_ok() {
                    line.push(one[0]);
                }
                (kept, line)
            });
            let (mut kept, line) = timeout(LONG, read)
                .await
                .expect("it comes")
                .expect("no panic");
            assert!(line.ends_with(b"\n"), "it was answered");
            let before = table.descriptors();
            let mut callers: Vec<_> = (0..10).map(|_| connect(addr)).collect();
            for (id, caller) in callers.iter_mut().enumerate().filter(|(id, _)| id % 2 == 0) {
                caller.write_all(call(id).as_bytes()).expect("open");
            }
            kept.write_all(call(2).as_bytes()).expect("open");
            stop.send_replace(true);
            // The others send a moment later.
            while table.descriptors() < before + callers.len() {
                assert!(!serving.is_finished(), "it closed on them");
                yield_now().await;
            }
            for (id, caller) in callers.iter_mut().enumerate().filter(|(id, _)| id % 2 == 1) {
                caller.write_all(call(id).as_bytes()).expect("open");
            }
            for (id, caller) in callers.into_iter().chain([kept]).enumerate() {
                let text = rest(caller).await;
                assert_eq!(text.matches("\"error\"").count(), 1, "{id}: {text:?}");
            }
            timeout(LONG, serving)
                .await
                .expect("it ends")
                .expect("no panic");
        })
        .await;
    std::fs::remove_dir_all(folder).expect("a folder");
}
