//! Two events that cross, on loopback sockets: a caller that leaves while its request waits,
//! answers that come too early or too late, a stop in the middle of what is being taken.
//! `docs/design/crossings.md` has the whole table.

mod rig;

use rig::*;
use serde_json::{Value, json};
use socket2::SockRef;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};

/// Settings with `caps` changed.
fn with_caps(caps: Value) -> Value {
    let mut s = settings();
    for (cap, value) in caps.as_object().expect("caps") {
        s["caps"][cap] = value.clone();
    }
    s
}

fn raw_request(line: &str, id: &str, more: &str) -> String {
    let owner = "Host: o\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000";
    format!("{line} HTTP/1.1\r\n{owner}\r\nReq-Id: {id}\r\n{more}\r\n")
}

/// What a bare backend saw on its connections: how many came and ended, and the ids of requests, in
/// order.
#[derive(Default, Clone)]
struct Seen {
    came: usize,
    ended: usize,
    ids: Vec<String>,
}

/// A backend that serves whatever request it gets, bodies aside.
fn bare(listener: TcpListener) -> Arc<watch::Sender<Seen>> {
    let seen = Arc::new(watch::Sender::new(Seen::default()));
    let saw = seen.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let saw = saw.clone();
            saw.send_modify(|s| s.came += 1);
            tokio::spawn(async move {
                let mut bytes = Vec::new();
                while stream.read_buf(&mut bytes).await.is_ok_and(|n| n > 0) {
                    let text = String::from_utf8_lossy(&bytes).into_owned();
                    let Some((head, _)) = text.split_once("\r\n\r\n") else {
                        continue;
                    };
                    let id = head
                        .lines()
                        .find_map(|l| l.strip_prefix("req-id: "))
                        .expect("an id");
                    saw.send_modify(|s| s.ids.push(id.to_string()));
                    bytes.clear();
                    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbare";
                    if stream.write_all(answer).await.is_err() {
                        break;
                    }
                }
                saw.send_modify(|s| s.ended += 1);
            });
        }
    });
    seen
}

/// How many connections to an address the system has: under way, and up.
fn connections(addr: SocketAddr) -> [usize; 2] {
    let port = format!(":{:04X}", addr.port());
    let table = std::fs::read_to_string("/proc/net/tcp").expect("a table");
    let fields = table
        .lines()
        .map(|line| line.split_whitespace().collect::<Vec<_>>());
    let states: Vec<String> = fields
        .filter(|f| f.get(2).is_some_and(|remote| remote.ends_with(&port)))
        .filter_map(|f| f.get(3).map(std::string::ToString::to_string))
        .collect();
    ["02", "01"].map(|state| states.iter().filter(|s| *s == state).count())
}

/// Ends a caller's connection and waits until the proxy has ended it too: by then it knows.
async fn leave(mut caller: TcpStream) {
    caller.shutdown().await.expect("open");
    // A reset ends it as well.
    let _ = soon(caller.read_to_end(&mut Vec::new())).await;
}

/// An attempt has no connection yet when its request ends, by its caller's leaving or by its time:
/// whatever the settings say of calling attempts off, it must not go out once the connection is
/// there.
async fn ends_during_a_connect(caps: Value, line: &str, leaves: bool) {
    let (listener, held) = silent().await;
    let addr = listener.local_addr().expect("bound");
    let discovery = Discovery::start(vec![rig::line("a", addr, "SERVING")]).await;
    let proxy = Proxy::settled(&discovery, with_caps(caps)).await;
    let mut caller = TcpStream::connect(proxy.addr).await.expect("it listens");
    let mut call = raw_request(line, "over", "");
    if !leaves {
        call = call.replace("60000", "400");
    }
    caller.write_all(call.as_bytes()).await.expect("open");
    soon(connecting(addr)).await;
    if leaves {
        leave(caller).await;
    } else {
        let mut answer = [0; 12];
        soon(caller.read_exact(&mut answer))
            .await
            .expect("an answer");
        assert_eq!(&answer, b"HTTP/1.1 503", "it never ran, whatever its class");
    }
    drop(held);
    let seen = bare(listener);
    // The queue has room again: one who is still there is served.
    assert_eq!(proxy.call("look").await.0, 200);
    // Until no connect is under way, and each connection that is up was taken and used.
    soon(async {
        loop {
            let s = seen.borrow().clone();
            if connections(addr) == [0, s.came - s.ended] && s.came <= s.ended + s.ids.len() {
                break;
            }
            tokio::task::yield_now().await;
        }
    })
    .await;
    assert!(
        !seen.borrow().ids.iter().any(|id| id == "over"),
        "it was sent on: {:?}",
        seen.borrow().ids
    );
}

#[tokio::test]
async fn who_leaves_during_a_connect_is_not_sent_on() {
    let slow = 20_000.0;
    let caps = json!({"cancelling": false, "connectTimeout": slow});
    ends_during_a_connect(caps.clone(), "GET /look", true).await;
    ends_during_a_connect(caps, "POST /once", true).await;
    let caps = json!({"cancelling": false, "mayDuplicate": false, "connectTimeout": slow});
    ends_during_a_connect(caps, "GET /look", true).await;
    ends_during_a_connect(
        json!({"cancelling": true, "connectTimeout": slow}),
        "GET /look",
        true,
    )
    .await;
}

#[tokio::test]
async fn whose_time_ends_during_a_connect_is_not_sent_on() {
    for line in ["GET /look", "POST /once"] {
        let caps = json!({"cancelling": false, "connectTimeout": 20_000.0});
        ends_during_a_connect(caps, line, false).await;
    }
}

/// A caller leaves while its request is held for want of a backend: before its first attempt, or
/// between two.
#[tokio::test]
async fn who_leaves_while_held_is_not_sent_on() {
    for tried in [false, true] {
        let orders = Arc::new(Orders::default());
        let (a, b) = (
            Backend::start("a", &orders).await,
            Backend::start("b", &orders).await,
        );
        let discovery = Discovery::start(if tried {
            vec![a.line("SERVING")]
        } else {
            vec![]
        })
        .await;
        let proxy = Proxy::settled(&discovery, with_caps(json!({"cancelling": false}))).await;
        orders.give([Do::Decline(503)].into_iter().take(usize::from(tried)));
        let mut caller = TcpStream::connect(proxy.addr).await.expect("it listens");
        caller
            .write_all(raw_request("POST /once", "left", "").as_bytes())
            .await
            .expect("open");
        orders.came(usize::from(tried)).await;
        leave(caller).await;
        discovery.tell(vec![b.line("SERVING")]).await;
        assert_eq!(proxy.call("once").await, (200, "b".into()));
        assert_eq!(
            orders.seen.borrow().len(),
            1 + usize::from(tried),
            "what was held was sent on"
        );
    }
}

/// An answer that trickles for ever is one that does not come: its request ends in time.
#[tokio::test]
async fn a_body_that_trickles_is_given_up_in_time() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut text = b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n".to_vec();
                if !stream.read(&mut [0; 1024]).await.is_ok_and(|n| n > 0) {
                    return;
                }
                while stream.write_all(&text).await.is_ok() {
                    text = b"x".to_vec();
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            });
        }
    });
    let discovery = Discovery::start(vec![line("a", addr, "SERVING")]).await;
    let proxy = Proxy::settled(&discovery, settings()).await;
    let mut caller = TcpStream::connect(proxy.addr).await.expect("it listens");
    let call = raw_request("POST /once", "trickle", "").replace("60000", "900");
    caller.write_all(call.as_bytes()).await.expect("open");
    let mut answer = [0; 12];
    soon(caller.read_exact(&mut answer))
        .await
        .expect("an answer");
    assert!(
        answer.starts_with(b"HTTP/1.1 50") && !answer.ends_with(b"503"),
        "it may have run"
    );
}

/// A caller leaves, however it does, while its request is in work and more lies behind it: its
/// attempt is called off.
#[tokio::test]
async fn who_leaves_with_more_behind_a_request_is_seen_to_leave() {
    let orders = Arc::new(Orders::default());
    let a = Backend::start("a", &orders).await;
    let discovery = Discovery::start(vec![a.line("SERVING")]).await;
    let proxy = Proxy::settled(&discovery, with_caps(json!({"mayDuplicate": false}))).await;
    let second = raw_request("GET /look", "second", "");
    let many: String = (0..300)
        .map(|n| raw_request("GET /look", &format!("more-{n}"), ""))
        .collect();
    let behind = [second.clone(), "\0junk\r\n".to_string(), many];
    let (mut left, mut seen) = (0, 0);
    for (n, behind) in behind.iter().enumerate() {
        for reset in [false, true] {
            for later in [false, true] {
                orders.give([Do::Hold(Arc::new(Notify::new()))]);
                let mut caller = TcpStream::connect(proxy.addr).await.expect("it listens");
                let first = raw_request("GET /look", &format!("first-{n}-{reset}-{later}"), "");
                let at_once = if later {
                    first.clone()
                } else {
                    first.clone() + behind
                };
                caller.write_all(at_once.as_bytes()).await.expect("open");
                seen += 1;
                orders.came(seen).await;
                if later {
                    caller.write_all(behind.as_bytes()).await.expect("open");
                }
                if reset {
                    SockRef::from(&caller)
                        .set_linger(Some(Duration::ZERO))
                        .expect("a socket");
                }
                drop(caller);
                left += 1;
                soon(orders.left.subscribe().wait_for(|n| *n == left))
                    .await
                    .expect("open");
            }
        }
    }
    assert_eq!(proxy.call("look").await.0, 200);
    assert_eq!(
        orders.seen.borrow().len(),
        seen + 1,
        "nothing that lay behind was sent"
    );
}

/// Requests that come one behind another are all answered, in order, also where they were read
/// ahead.
#[tokio::test]
async fn what_lies_behind_a_request_is_served_in_its_turn() {
    let orders = Arc::new(Orders::default());
    let a = Backend::start("a", &orders).await;
    let discovery = Discovery::start(vec![a.line("SERVING")]).await;
    let proxy = Proxy::settled(&discovery, settings()).await;
    let release = Arc::new(Notify::new());
    orders.give([Do::Hold(release.clone())]);
    let mut caller = TcpStream::connect(proxy.addr).await.expect("it listens");
    caller
        .write_all(raw_request("GET /look", "p-0", "").as_bytes())
        .await
        .expect("open");
    orders.came(1).await;
    // More than the library and one read take at once; what is past the read-ahead itself is in
    // departures.rs.
    let pad = format!("X-Pad: {}\r\n", "p".repeat(3000));
    let rest: String = (1..100)
        .map(|n| raw_request("GET /look", &format!("p-{n}"), &pad))
        .collect();
    let (mut reader, mut writer) = caller.split();
    let mut answers = Vec::new();
    let write = async {
        writer.write_all(rest.as_bytes()).await.expect("open");
    };
    let read = async {
        // Only once what fits lies there.
        release.notify_one();
        while answers.windows(12).filter(|w| w == b"HTTP/1.1 200").count() < 100 {
            assert_ne!(reader.read_buf(&mut answers).await.expect("open"), 0);
        }
    };
    soon(async { tokio::join!(write, read) }).await;
    let ids: Vec<String> = orders
        .seen
        .borrow()
        .iter()
        .map(|(_, head, _)| head.headers["req-id"].to_str().unwrap().to_string())
        .collect();
    assert_eq!(ids, (0..100).map(|n| format!("p-{n}")).collect::<Vec<_>>());
}

/// A second SIGTERM and a SIGHUP in the middle of a stop end nothing and begin nothing.
#[tokio::test]
async fn signals_during_a_stop_change_nothing() {
    let orders = Arc::new(Orders::default());
    let a = Backend::start("a", &orders).await;
    let discovery = Discovery::start(vec![a.line("SERVING")]).await;
    let mut proxy = Proxy::settled(&discovery, settings()).await;
    let release = Arc::new(Notify::new());
    orders.give([Do::Hold(release.clone())]);
    let mut caller = proxy.caller().await;
    let held = tokio::spawn(async move { caller.call("once").await });
    orders.came(1).await;
    proxy.terminate().await;
    for signal in ["-TERM", "-HUP", "-TERM"] {
        proxy.send_signal(signal).await;
    }
    assert_eq!(
        proxy.call("look").await.0,
        200,
        "new ones are taken for a while"
    );
    release.notify_one();
    assert_eq!(held.await.expect("no panic").0, 200);
    assert_eq!(proxy.ended().await.code(), Some(0));
}

/// SIGTERM and SIGHUP before anything is known: an end with code 0, no list and no caller needed.
#[tokio::test]
async fn a_stop_before_it_is_ready() {
    let registry = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let discovery = Discovery::start(vec![]).await;
    let mut config = discovery.config(settings());
    // It takes connections and answers nothing.
    config["discovery"] = registry.local_addr().expect("bound").to_string().into();
    let mut proxy = Proxy::start_as(&config, "exec \"$0\"").await;
    let asks = soon(registry.accept()).await.expect("it asks");
    proxy.terminate().await;
    assert_eq!(proxy.ended().await.code(), Some(0));
    drop(asks);
}

/// A registry by hand: tells each call that comes, with the connection to answer it on.
struct Registry {
    listener: TcpListener,
    calls: tokio::sync::mpsc::UnboundedReceiver<(String, TcpStream)>,
    more: tokio::sync::mpsc::UnboundedSender<(String, TcpStream)>,
}

impl Registry {
    async fn start() -> Registry {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let (more, calls) = tokio::sync::mpsc::unbounded_channel();
        Registry {
            listener,
            calls,
            more,
        }
    }
    fn addr(&self) -> SocketAddr {
        self.listener.local_addr().expect("bound")
    }
    /// The next call, on a new connection or one that is listened to again.
    async fn call(&mut self) -> (String, TcpStream) {
        soon(async {
            loop {
                tokio::select! {
                    accepted = self.listener.accept() => self.listen(accepted.expect("it comes").0),
                    Some(call) = self.calls.recv() => return call,
                }
            }
        })
        .await
    }
    /// Reads the next call on a connection.
    fn listen(&self, mut stream: TcpStream) {
        let more = self.more.clone();
        tokio::spawn(async move {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                if !stream.read_buf(&mut head).await.is_ok_and(|n| n > 0) {
                    return;
                }
            }
            let head = String::from_utf8(head).expect("text");
            let target = head
                .split_whitespace()
                .nth(1)
                .expect("a target")
                .to_string();
            // The test may be over.
            let _ = more.send((target, stream));
        });
    }
    async fn answer(&self, mut stream: TcpStream, page: &str) {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", page.len());
        // One that was given up takes none.
        if stream.write_all((head + page).as_bytes()).await.is_ok() {
            self.listen(stream);
        }
    }
}

fn page(seq: u64, whole: bool, hosts: Vec<Value>) -> String {
    json!({"seq": seq, "whole": whole, "hosts": hosts}).to_string()
}

/// Two backends, and a proxy that follows a registry by hand and holds its first list of both.
async fn followed(orders: &Arc<Orders>) -> (Registry, Backend, Backend, Proxy, Discovery) {
    let (a, b) = (
        Backend::start("a", orders).await,
        Backend::start("b", orders).await,
    );
    let discovery = Discovery::start(vec![]).await;
    let mut registry = Registry::start().await;
    let mut config = discovery.config(settings());
    config["discovery"] = registry.addr().to_string().into();
    let proxy = Proxy::start_as(&config, "exec \"$0\"").await;
    let (target, stream) = registry.call().await;
    assert_eq!(target, "/registry/instances");
    let page = page(41, true, vec![a.line("SERVING"), b.line("SERVING")]);
    registry.answer(stream, &page).await;
    (registry, a, b, proxy, discovery)
}

/// The proxy sends to `b` alone: it has heard that `a` takes nothing new.
async fn only_b(proxy: &Proxy) {
    for _ in 0..20 {
        assert_eq!(proxy.call("look").await, (200, "b".into()));
    }
}

/// Answers a call and waits for the watch that follows, by when the proxy holds what it was told. A
/// proxy that was late itself has given the call up by then, and asks again: it is told again.
async fn told(registry: &mut Registry, stream: TcpStream, page: &str, then: &str) {
    registry.answer(stream, page).await;
    soon(async {
        loop {
            let (target, stream) = registry.call().await;
            if target.starts_with(then) {
                return;
            }
            registry.answer(stream, page).await;
        }
    })
    .await;
}

/// The watch falls silent, and so do the first calls that are made beside it: news that come by the
/// one after those count.
#[tokio::test]
async fn a_silent_watch_is_not_waited_for_and_its_reconnect_may_hang() {
    let orders = Arc::new(Orders::default());
    let (mut registry, a, b, proxy, _discovery) = followed(&orders).await;
    let (target, watch) = registry.call().await;
    assert!(
        target.starts_with("/registry/instances?after=41&wait_ms="),
        "{target}"
    );
    let (one, first) = registry.call().await;
    let (two, second) = registry.call().await;
    let (three, stream) = registry.call().await;
    let at_once = "/registry/instances?after=41&wait_ms=0";
    assert_eq!([one.as_str(), two.as_str(), three.as_str()], [at_once; 3]);
    let news = page(42, true, vec![a.line("DRAINING"), b.line("SERVING")]);
    told(&mut registry, stream, &news, "/registry/instances?after=42").await;
    only_b(&proxy).await;
    drop((watch, first, second));
}

/// In an outage an agent takes calls and answers none, nor those after it. What it gets at the end
/// counts at once, and only a call that is made by then may hear of it: while nothing answers, none
/// waits.
#[tokio::test]
async fn in_an_outage_no_call_waits() {
    let orders = Arc::new(Orders::default());
    let (mut registry, a, b, proxy, _discovery) = followed(&orders).await;
    let mut hang = Vec::new();
    for n in 0..9 {
        let (target, stream) = registry.call().await;
        let at_once = target == "/registry/instances?after=41&wait_ms=0";
        assert!(at_once || n == 0, "call {n} of the outage waits: {target}");
        hang.push(stream);
    }
    let (_, stream) = registry.call().await;
    let news = page(42, false, vec![a.line("DRAINING")]);
    told(&mut registry, stream, &news, "/registry/instances?after=42").await;
    only_b(&proxy).await;
    drop((hang, b));
}

#[tokio::test]
async fn a_list_that_breaks_off_is_asked_for_again() {
    let orders = Arc::new(Orders::default());
    let (mut registry, a, b, proxy, _discovery) = followed(&orders).await;
    let news = page(42, false, vec![a.line("DRAINING")]);
    let (_, mut watch) = registry.call().await;
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
        news.len(),
        &news[..news.len() / 2]
    );
    watch.write_all(head.as_bytes()).await.expect("open");
    SockRef::from(&watch)
        .set_linger(Some(Duration::ZERO))
        .expect("a socket");
    drop(watch);
    let (target, stream) = registry.call().await;
    assert!(
        target.starts_with("/registry/instances?after=41"),
        "what was half heard is not held: {target}"
    );
    told(&mut registry, stream, &news, "/registry/instances?after=42").await;
    only_b(&proxy).await;
    drop(b);
}

/// A registry that has begun anew has nothing newer than what is held, for a long time: it is asked
/// for the whole list.
#[tokio::test]
async fn a_registry_that_begins_anew_is_heard() {
    let orders = Arc::new(Orders::default());
    let (mut registry, a, b, proxy, _discovery) = followed(&orders).await;
    let (_, watch) = registry.call().await;
    registry.answer(watch, &page(3, false, vec![])).await;
    let (target, stream) = registry.call().await;
    assert_eq!(target, "/registry/instances");
    let news = page(3, true, vec![a.line("DRAINING"), b.line("SERVING")]);
    told(&mut registry, stream, &news, "/registry/instances?after=3&").await;
    only_b(&proxy).await;
}

/// An indented list; entries that can't be read beside one that drains and says no more than that.
#[tokio::test]
async fn what_can_be_read_of_a_list_counts() {
    let orders = Arc::new(Orders::default());
    let (mut registry, a, b, proxy, _discovery) = followed(&orders).await;
    let odd = json!({"host": "c", "dial": "nowhere", "health": "SERVING"});
    let hosts = json!([odd, 7, {"host": a.name, "health": "DRAINING"}, {"host": "d"}]);
    let text = serde_json::to_string_pretty(&json!({"seq": 42, "whole": false, "hosts": hosts}))
        .expect("JSON");
    let (_, watch) = registry.call().await;
    told(&mut registry, watch, &text, "/registry/instances?after=42").await;
    only_b(&proxy).await;
    drop(b);
}

/// SIGHUP falls into an outage: the new registry says nothing at first. The old list holds until it
/// does.
#[tokio::test]
async fn a_new_configuration_in_an_outage() {
    let orders = Arc::new(Orders::default());
    let (mut registry, a, b, mut proxy, discovery) = followed(&orders).await;
    let (_, _watch) = registry.call().await;
    let mut other = Registry::start().await;
    let mut config = discovery.config(settings());
    config["discovery"] = other.addr().to_string().into();
    proxy.reload(&config.to_string(), "read again").await;
    let (target, hangs) = other.call().await;
    assert_eq!(target, "/registry/instances");
    assert_eq!(proxy.call("look").await.0, 200);
    let (target, stream) = other.call().await;
    assert_eq!(
        target, "/registry/instances",
        "it is asked again while the first call hangs"
    );
    let news = page(2, true, vec![a.line("DRAINING"), b.line("SERVING")]);
    told(&mut other, stream, &news, "/registry/instances?after=2&").await;
    only_b(&proxy).await;
    drop(hangs);
}
