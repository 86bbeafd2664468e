//! The started program on loopback sockets: what callers get, and what backends see of it.

mod rig;

use http_body_util::Full;
use rig::*;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Two backends with common orders, discovery that lists them, and a proxy that holds the list.
struct Scene {
    orders: Arc<Orders>,
    a: Backend,
    b: Backend,
    discovery: Discovery,
    proxy: Proxy,
}

async fn scene(settings: serde_json::Value) -> Scene {
    let orders = Arc::new(Orders::default());
    let (a, b) = (
        Backend::start("a", &orders).await,
        Backend::start("b", &orders).await,
    );
    let discovery = Discovery::start(vec![a.line("SERVING"), b.line("SERVING")]).await;
    let proxy = Proxy::settled(&discovery, settings).await;
    Scene {
        orders,
        a,
        b,
        discovery,
        proxy,
    }
}

/// Settings with `cap` set to `value`.
fn with_cap(cap: &str, value: serde_json::Value) -> serde_json::Value {
    let mut s = settings();
    s["caps"][cap] = value;
    s
}

#[tokio::test]
async fn a_call_is_served_and_goes_on_as_it_came() {
    let s = scene(settings()).await;
    let body = "a claim".repeat(9000);
    let call = request("keep")
        .body(Full::from(body.clone()))
        .expect("well formed");
    let id = call.headers()["req-id"].clone();
    let (status, answer) = s.proxy.caller().await.send(call).await;
    assert_eq!(status, 200);
    let seen = s.orders.seen.borrow();
    let [(name, head, came)] = &seen[..] else {
        panic!("it runs once")
    };
    assert_eq!((answer.as_str(), came), (*name, &body.into()));
    assert_eq!(
        (head.method.as_str(), head.uri.to_string().as_str()),
        ("POST", "/keep?k=7f3a")
    );
    assert_eq!(
        (&head.headers["req-id"], &head.headers["idempotency-key"]),
        (&id, &"5c0f6e1a".parse().unwrap())
    );
    let left: u64 = head.headers["req-deadline-ms"]
        .to_str()
        .expect("text")
        .parse()
        .expect("a number");
    assert!((1..60_000).contains(&left), "{left} ms are left");
}

#[tokio::test]
async fn what_never_ran_is_sent_again_whatever_its_class() {
    let s = scene(settings()).await;
    for (n, status) in [503, 504].into_iter().enumerate() {
        s.orders.give([Do::Decline(status)]);
        assert_eq!(s.proxy.call("once").await.0, 200);
        assert_eq!(s.orders.seen.borrow().len(), 2 * (n + 1));
    }
}

/// An unsafe request that may have run is neither sent again nor refused; a safe one is sent again.
#[tokio::test]
async fn what_may_have_run_is_sent_again_only_if_that_is_safe() {
    for order in [
        || Do::Answer(500),
        || Do::Answer(503),
        || Do::Answer(429),
        || Do::Break,
        || Do::Half,
    ] {
        let s = scene(settings()).await;
        s.orders.give([order()]);
        assert_eq!(s.proxy.call("once").await.0, 502);
        assert_eq!(s.orders.seen.borrow().len(), 1);
        for class in ["look", "keep"] {
            let before = s.orders.seen.borrow().len();
            s.orders.give([order()]);
            let (status, body) = s.proxy.call(class).await;
            assert_eq!((status, body.len()), (200, 1));
            assert_eq!(s.orders.seen.borrow().len(), before + 2);
        }
    }
}

/// `b` declines first, so that the next attempt must go to the other, which can't be reached; after
/// that `b` serves. Only an ending that proves that nothing ran lets an unsafe request come that
/// far.
async fn goes_round(addr: std::net::SocketAddr) {
    let orders = Arc::new(Orders::default());
    let b = Backend::start("b", &orders).await;
    let discovery = Discovery::start(vec![line("a", addr, "SERVING"), b.line("SERVING")]).await;
    let proxy = Proxy::settled(&discovery, with_cap("connectTimeout", 250.0.into())).await;
    orders.give([Do::Decline(503)]);
    assert_eq!(proxy.call("once").await, (200, "b".into()));
    assert_eq!(orders.by("b"), 2);
}

#[tokio::test]
async fn a_refused_connection_proves_that_nothing_ran() {
    let addr = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port")
        .local_addr()
        .expect("bound");
    goes_round(addr).await;
}

#[tokio::test]
async fn a_connection_that_never_comes_up_proves_that_nothing_ran() {
    let (listener, _held) = silent().await;
    goes_round(listener.local_addr().expect("bound")).await;
}

#[tokio::test]
async fn connections_are_kept_and_one_that_was_closed_carries_nothing() {
    let s = scene(settings()).await;
    let mut caller = s.proxy.caller().await;
    for _ in 0..20 {
        assert_eq!(caller.call("once").await.0, 200);
    }
    let connections = || s.a.total() + s.b.total();
    assert!(connections() <= 2, "{} connections", connections());
    // The backends' idle close must not become a reset, which would fail an unsafe request.
    s.a.close_idle().await;
    s.b.close_idle().await;
    for _ in 0..20 {
        assert_eq!(caller.call("once").await.0, 200);
    }
}

#[tokio::test]
async fn idle_connections_are_closed_before_the_backend_does() {
    let s = scene(with_cap("connIdle", 3000.0.into())).await;
    assert_eq!(s.proxy.call("look").await.0, 200);
    // The backends close nothing by themselves.
    s.a.all_closed().await;
    s.b.all_closed().await;
    assert_eq!(s.proxy.call("once").await.0, 200);
}

#[tokio::test]
async fn a_restarted_backend_is_not_sent_to_on_old_connections() {
    let s = scene(settings()).await;
    for _ in 0..20 {
        assert_eq!(s.proxy.call("once").await.0, 200);
    }
    let (mut a, mut b) = (s.a.line("SERVING"), s.b.line("SERVING"));
    (a["born_ms"], b["born_ms"]) = (1.0.into(), 1.0.into());
    s.discovery.tell(vec![a, b]).await;
    s.a.all_closed().await;
    s.b.all_closed().await;
    assert_eq!(s.proxy.call("once").await.0, 200);
}

/// The connections that a burst leaves behind grow old only if calls keep to the ones used last.
#[tokio::test]
async fn connections_that_are_not_needed_are_left_to_grow_old() {
    let orders = Arc::new(Orders::default());
    let a = Backend::start("a", &orders).await;
    let discovery = Discovery::start(vec![a.line("SERVING")]).await;
    let proxy = Proxy::settled(&discovery, with_cap("connIdle", 3000.0.into())).await;
    let release = Arc::new(Notify::new());
    orders.give([Do::Hold(release.clone()), Do::Hold(release.clone())]);
    let (mut one, mut two) = (proxy.caller().await, proxy.caller().await);
    let held = [
        tokio::spawn(async move { one.call("look").await }),
        tokio::spawn(async move { two.call("look").await }),
    ];
    orders.came(2).await;
    release.notify_one();
    release.notify_one();
    for call in held {
        assert_eq!(call.await.expect("no panic").0, 200);
    }
    assert_eq!(a.total(), 2);
    soon(async {
        while *a.open.borrow() > 1 {
            assert_eq!(proxy.call("look").await.0, 200);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    })
    .await;
    assert_eq!(a.total(), 2, "one of the two was used all the time");
}

#[tokio::test]
async fn nothing_new_goes_to_a_backend_that_drains_and_what_it_has_is_finished() {
    let s = scene(settings()).await;
    let release = Arc::new(Notify::new());
    s.orders.give([Do::Hold(release.clone())]);
    let mut caller = s.proxy.caller().await;
    let held = tokio::spawn(async move { caller.call("once").await });
    s.orders.came(1).await;
    let busy = s.orders.seen.borrow()[0].0;
    let (drains, other) = if busy == "a" {
        (&s.a, &s.b)
    } else {
        (&s.b, &s.a)
    };
    s.discovery
        .tell(vec![drains.line("DRAINING"), other.line("SERVING")])
        .await;
    for _ in 0..20 {
        assert_eq!(s.proxy.call("look").await, (200, other.name.into()));
    }
    release.notify_one();
    assert_eq!(held.await.expect("no panic"), (200, busy.into()));
    // Its connection is not kept either: nothing will go over it.
    drains.all_closed().await;
    s.discovery
        .tell(vec![drains.line("SERVING"), other.line("DRAINING")])
        .await;
    assert_eq!(s.proxy.call("look").await, (200, drains.name.into()));
}

#[tokio::test]
async fn a_connect_that_outlasts_the_grace_of_a_drain_carries_nothing() {
    let (listener, held) = silent().await;
    let addr = listener.local_addr().expect("bound");
    let discovery = Discovery::start(vec![line("a", addr, "SERVING")]).await;
    let proxy = Proxy::settled(&discovery, with_cap("connectTimeout", 20_000.0.into())).await;
    let mut caller = proxy.caller().await;
    let call = tokio::spawn(async move { caller.call("once").await });
    let orders = Arc::new(Orders::default());
    let b = Backend::start("b", &orders).await;
    soon(connecting(addr)).await;
    discovery
        .tell(vec![line("a", addr, "DRAINING"), b.line("SERVING")])
        .await;
    let told = Instant::now();
    tokio::time::sleep(Duration::from_millis(600)).await;
    // Only now does the queue get room, and the connection comes up when the system next tries.
    for _ in &held {
        drop(soon(listener.accept()).await.expect("queued"));
    }
    let (mut late, _) = soon(listener.accept()).await.expect("the proxy's");
    assert!(told.elapsed() > Duration::from_millis(500));
    assert_eq!(
        soon(late.read(&mut [0; 64])).await.expect("closed"),
        0,
        "something was sent after the grace"
    );
    assert_eq!(soon(call).await.expect("no panic"), (200, "b".into()));
}

#[tokio::test]
async fn a_caller_that_leaves_takes_its_attempt_along() {
    let s = scene(with_cap("mayDuplicate", false.into())).await;
    s.orders.give([Do::Hold(Arc::new(Notify::new()))]);
    let mut caller = s.proxy.caller().await;
    let call = tokio::spawn(async move { caller.call("look").await });
    s.orders.came(1).await;
    call.abort();
    // Where two attempts must not be out at once, one that is called off loses its connection.
    soon(s.orders.left.subscribe().wait_for(|n| *n == 1))
        .await
        .expect("open");
    assert_eq!(s.proxy.call("look").await.0, 200);
}

/// Settings under which a request past the limit is soon refused.
fn with_short_hold() -> serde_json::Value {
    let mut s = settings();
    for class in s["classes"].as_array_mut().expect("a list") {
        class["aim"] = 4000.0.into();
    }
    s
}

/// Calls that their backends hold, as many as the limit takes: the first past it is refused. With
/// what releases each; the last is for the refused one's, which the next call gets.
async fn fill(s: &Scene, limit: &str) -> (Vec<TcpStream>, Vec<Arc<Notify>>) {
    let (mut callers, mut releases, mut refusal) = (Vec::new(), Vec::new(), Vec::new());
    while refusal.is_empty() {
        let release = Arc::new(Notify::new());
        s.orders.give([Do::Hold(release.clone())]);
        releases.push(release);
        let mut caller = TcpStream::connect(s.proxy.addr).await.expect("it listens");
        let call = raw_request("GET /look", &callers.len().to_string(), limit);
        caller.write_all(call.as_bytes()).await.expect("open");
        tokio::select! {
            () = s.orders.came(callers.len() + 1) => callers.push(caller),
            read = caller.read_buf(&mut refusal) => assert_ne!(read.expect("open"), 0),
        }
    }
    assert!(
        refusal.starts_with(b"HTTP/1.1 503"),
        "{}",
        String::from_utf8_lossy(&refusal)
    );
    (callers, releases)
}

/// Once its connection is closed the proxy knows that a caller left.
async fn leave(mut caller: TcpStream) {
    caller.shutdown().await.expect("open");
    soon(caller.read_to_end(&mut Vec::new()))
        .await
        .expect("a close");
}

/// While all that `fill` sent runs on though nobody waits, no further call goes through; once it
/// has ended, one does.
async fn counts_until_it_ends(s: &Scene, releases: &[Arc<Notify>]) {
    let before = s.orders.seen.borrow().len();
    assert_eq!(
        s.proxy.call("look").await.0,
        503,
        "{before} calls run still"
    );
    assert_eq!(s.orders.seen.borrow().len(), before);
    releases.iter().for_each(|r| r.notify_one());
    soon(async { while s.proxy.call("look").await.0 != 200 {} }).await;
}

#[tokio::test]
async fn what_callers_left_counts_until_its_answer_has_come() {
    let s = scene(with_short_hold()).await;
    let (callers, releases) = fill(&s, "Req-Deadline-Ms: 60000").await;
    for caller in callers {
        leave(caller).await;
    }
    counts_until_it_ends(&s, &releases).await;
}

#[tokio::test]
async fn what_timed_out_counts_until_its_answer_has_come() {
    let s = scene(with_short_hold()).await;
    let (callers, releases) = fill(&s, "Req-Deadline-Ms: 1500").await;
    for mut caller in callers {
        // What is safe is refused when its time is up: to ask again is harmless.
        let mut answer = Vec::new();
        assert_ne!(soon(caller.read_buf(&mut answer)).await.expect("open"), 0);
        assert!(
            answer.starts_with(b"HTTP/1.1 503"),
            "{}",
            String::from_utf8_lossy(&answer)
        );
    }
    counts_until_it_ends(&s, &releases).await;
}

/// A tenant may have two requests in its share; `fill` has one beyond that refused. When the caller
/// of one of the two leaves, the next is inside the share and goes through past the limit.
#[tokio::test]
async fn a_caller_that_leaves_gives_its_share_back() {
    let mut small = with_short_hold();
    small["tenants"][0]["quotaPerS"] = 0.001.into();
    let s = scene(small).await;
    let (mut callers, releases) = fill(&s, "Req-Deadline-Ms: 60000").await;
    leave(callers.remove(0)).await;
    releases.last().expect("one a call").notify_one();
    assert_eq!(s.proxy.call("look").await.0, 200);
}

#[tokio::test]
async fn a_request_is_failed_before_its_caller_gives_up_and_its_connection_is_kept() {
    let s = scene(settings()).await;
    let release = Arc::new(Notify::new());
    s.orders.give([Do::Hold(release.clone())]);
    let call = request("once").body(Full::default()).expect("well formed");
    let (mut parts, body) = call.into_parts();
    parts
        .headers
        .insert("req-deadline-ms", "700".parse().expect("a value"));
    let start = Instant::now();
    let (status, _) = s
        .proxy
        .caller()
        .await
        .send(hyper::Request::from_parts(parts, body))
        .await;
    assert!(
        (500..600).contains(&status) && status != 503,
        "{status} promises nothing"
    );
    assert!(
        start.elapsed() >= Duration::from_millis(500),
        "it was given the time that it had"
    );
    // Nobody waits for the answer any more, but closing would spare the backend nothing. A close
    // would have been seen by the time that so many others were served.
    for _ in 0..20 {
        assert_eq!(s.proxy.call("look").await.0, 200);
    }
    assert_eq!(*s.orders.left.borrow(), 0);
    release.notify_one();
    for _ in 0..20 {
        assert_eq!(s.proxy.call("look").await.0, 200);
    }
    assert_eq!(
        (*s.a.open.borrow(), *s.b.open.borrow()),
        (s.a.total(), s.b.total()),
        "nothing was closed"
    );
}

#[tokio::test]
async fn at_a_planned_stop_all_that_was_taken_is_answered() {
    let mut s = scene(settings()).await;
    let release = Arc::new(Notify::new());
    s.orders.give([Do::Hold(release.clone())]);
    let (mut busy, mut idle) = (s.proxy.caller().await, s.proxy.caller().await);
    let held = tokio::spawn(async move { busy.call("once").await });
    s.orders.came(1).await;
    s.proxy.terminate().await;
    assert_eq!(
        idle.call("look").await.0,
        200,
        "connections at rest go on being used"
    );
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(
        s.proxy.call("look").await.0,
        200,
        "new ones are taken for a while"
    );
    soon(async {
        while idle.0.ready().await.is_ok() && TcpStream::connect(s.proxy.addr).await.is_ok() {}
    })
    .await;
    release.notify_one();
    assert_eq!(held.await.expect("no panic").0, 200);
    assert_eq!(s.proxy.ended().await.code(), Some(0));
}

#[tokio::test]
async fn a_planned_stop_does_not_wait_for_a_silent_backend() {
    let mut s = scene(settings()).await;
    s.orders.give([Do::Hold(Arc::new(Notify::new()))]);
    let mut caller = s.proxy.caller().await;
    let held = tokio::spawn(async move { caller.call("once").await });
    s.orders.came(1).await;
    s.proxy.terminate().await;
    let (status, _) = held.await.expect("no panic");
    assert_eq!(status, 504, "it may have run");
    assert_eq!(s.proxy.ended().await.code(), Some(0));
}

#[tokio::test]
async fn a_new_configuration_moves_the_proxy_to_another_discovery() {
    let mut s = scene(settings()).await;
    // The other discovery's version is lower than the one held: carried across, it would wait for
    // ever.
    s.discovery.tell(vec![s.a.line("SERVING")]).await;
    let other = Discovery::start(vec![s.b.line("SERVING")]).await;
    s.proxy.reload("{", "configuration kept").await;
    assert_eq!(s.proxy.call("look").await, (200, "a".into()));
    s.proxy
        .reload(&other.config(settings()).to_string(), "read again")
        .await;
    other.settled().await;
    soon(s.discovery.open.subscribe().wait_for(|n| *n == 0))
        .await
        .expect("open");
    for _ in 0..20 {
        assert_eq!(s.proxy.call("look").await, (200, "b".into()));
    }
    other.tell(vec![s.a.line("SERVING")]).await;
    assert_eq!(s.proxy.call("look").await, (200, "a".into()));
}

#[tokio::test]
async fn running_out_of_descriptors_ends_nothing() {
    let orders = Arc::new(Orders::default());
    let a = Backend::start("a", &orders).await;
    let discovery = Discovery::start(vec![a.line("SERVING")]).await;
    // The system allows far fewer than the configuration says.
    let config = discovery.config(settings());
    let proxy = Proxy::start_as(&config, "ulimit -n 24; exec \"$0\"").await;
    discovery.settled().await;
    let mut crowd = Vec::new();
    for _ in 0..60 {
        crowd.push(
            TcpStream::connect(proxy.addr)
                .await
                .expect("the system's queue takes it"),
        );
    }
    drop(crowd);
    for _ in 0..20 {
        assert_eq!(proxy.call("look").await.0, 200);
    }
}

#[tokio::test]
async fn callers_at_rest_do_not_keep_others_out() {
    let orders = Arc::new(Orders::default());
    let a = Backend::start("a", &orders).await;
    let discovery = Discovery::start(vec![a.line("SERVING")]).await;
    let mut config = discovery.config(settings());
    config["limits"]["sockets"] = 64.into();
    let proxy = Proxy::start_as(&config, "exec \"$0\"").await;
    discovery.settled().await;
    // Some have made a call and rest, some have never said a word; there is room for 40 at the
    // most.
    let (mut rest, mut mute) = (Vec::new(), Vec::new());
    for _ in 0..30 {
        let mut caller = proxy.caller().await;
        assert_eq!(caller.call("look").await.0, 200);
        rest.push(caller);
        mute.push(
            soon(TcpStream::connect(proxy.addr))
                .await
                .expect("the system takes it"),
        );
        mute.push(
            soon(TcpStream::connect(proxy.addr))
                .await
                .expect("the system takes it"),
        );
    }
    // Hundreds more that say nothing cost those who are served neither their places nor time.
    let mut usual = proxy.caller().await;
    assert_eq!(usual.call("look").await.0, 200);
    let start = Instant::now();
    for _ in 0..200 {
        mute.push(
            soon(TcpStream::connect(proxy.addr))
                .await
                .expect("the system takes it"),
        );
    }
    assert_eq!(
        usual.call("look").await.0,
        200,
        "it was served before and keeps its place"
    );
    assert_eq!(proxy.call("look").await.0, 200);
    assert!(
        start.elapsed() < Duration::from_secs(2),
        "nobody waited for a time limit"
    );
}

/// A head has 64 lines at the most; those of answers are held to that among the spoilt ones.
#[tokio::test]
async fn a_head_of_too_many_lines_is_turned_down() {
    let s = scene(settings()).await;
    for (more, status) in [(64 - 4, 200), (64 - 3, 431)] {
        let mut call = request("look");
        for n in 0..more {
            call = call.header(format!("x-{n}"), "p");
        }
        let call = call
            .body(Full::<bytes::Bytes>::default())
            .expect("well formed");
        assert_eq!(
            call.headers().len(),
            more + 4,
            "its own four, host among them"
        );
        assert_eq!(
            s.proxy.caller().await.send(call).await.0,
            status,
            "{more} more"
        );
    }
}

#[tokio::test]
async fn malformed_requests_are_turned_down_and_reach_no_backend() {
    let s = scene(settings()).await;
    let without = |class: &str, name: &str| {
        let mut call = request(class)
            .body(Full::<bytes::Bytes>::default())
            .expect("well formed");
        call.headers_mut().remove(name).expect("it was there");
        call
    };
    for (class, header) in [
        ("look", "req-id"),
        ("look", "req-owner"),
        ("look", "req-deadline-ms"),
        ("keep", "idempotency-key"),
    ] {
        assert_eq!(
            s.proxy.caller().await.send(without(class, header)).await.0,
            400,
            "{class} without {header}"
        );
    }
    let odd = [
        (request("look").uri("/nothing?k=1"), 404),
        (request("look").uri("/"), 404),
        (request("look").method("POST"), 405),
        (request("once").method("GET"), 405),
        (request("once").header("idempotency-key", "1"), 400),
        (request("look").header("req-owner", "other"), 400),
        (request("look").header("req-id", "second"), 400),
    ];
    for (call, status) in odd {
        let call = call.body(Full::default()).expect("well formed");
        assert_eq!(s.proxy.caller().await.send(call).await.0, status);
    }
    let body = vec![b'x'; 64 * 1024 + 1];
    let call = request("once").body(Full::from(body)).expect("well formed");
    assert_eq!(s.proxy.caller().await.send(call).await.0, 413);
    assert_eq!(s.orders.seen.borrow().len(), 0);
    let call = request("once")
        .body(Full::from(vec![b'x'; 64 * 1024]))
        .expect("well formed");
    assert_eq!(s.proxy.caller().await.send(call).await.0, 200);
}

/// Sends bytes as they are, and reads what comes until the proxy closes the connection.
async fn raw(addr: std::net::SocketAddr, bytes: &[u8]) -> String {
    let mut stream = soon(TcpStream::connect(addr)).await.expect("it listens");
    stream.write_all(bytes).await.expect("taken");
    let mut answer = Vec::new();
    // A close with bytes unread may end as a reset.
    let _ = soon(stream.read_to_end(&mut answer)).await;
    String::from_utf8(answer).expect("text")
}

fn raw_request(line: &str, id: &str, more: &str) -> String {
    let mut text = format!("{line} HTTP/1.1\r\nHost: o\r\nReq-Id: {id}\r\nReq-Owner: acme\r\n");
    for header in more.split('|') {
        text += &format!("{header}\r\n");
    }
    text + "\r\n"
}

#[tokio::test]
async fn what_hides_behind_a_second_length_does_not_go_on() {
    let s = scene(settings()).await;
    let hidden = raw_request("GET /look", "b", "Req-Deadline-Ms: 60000");
    let length = format!("Content-Length: {}", hidden.len() + 5);
    let (te, limit) = ("Transfer-Encoding: chunked", "Req-Deadline-Ms: 60000");
    for (more, status) in [
        (format!("{limit}|{length}|{te}"), "411"),
        (format!("{limit}|{te}|{length}"), "411"),
        (format!("{limit}|{te}"), "411"),
        (
            format!("{limit}|Content-Length: 4|Content-Length: 9"),
            "400",
        ),
        (format!("{limit}|Content-Length: -4"), "400"),
        (
            format!("{limit}|Content-Length: 99999999999999999999"),
            "400",
        ),
        (format!("{limit}|Content-Length: 3000000000"), "413"),
        (
            "Req-Deadline-Ms: +60000|Content-Length: 0".to_string(),
            "400",
        ),
    ] {
        let text = raw_request("POST /once", "a", &more) + "0\r\n\r\n" + &hidden;
        let answer = raw(s.proxy.addr, text.as_bytes()).await;
        let statuses: Vec<_> = answer.split("HTTP/1.1 ").skip(1).map(|a| &a[..3]).collect();
        assert_eq!(statuses, [status], "{more}");
    }
    assert_eq!(s.orders.seen.borrow().len(), 0, "nothing went on");
}

#[tokio::test]
async fn callers_that_send_nothing_or_no_end_are_not_waited_for() {
    let s = scene(settings()).await;
    let body = raw_request(
        "POST /once",
        "a",
        "Req-Deadline-Ms: 60000|Content-Length: 300",
    ) + "half";
    let head = "GET /look HTTP/1.1\r\nHost:";
    let start = Instant::now();
    let (mute, head, body) = tokio::join!(
        raw(s.proxy.addr, b""),
        raw(s.proxy.addr, head.as_bytes()),
        raw(s.proxy.addr, body.as_bytes())
    );
    assert!(
        start.elapsed() < Duration::from_secs(20),
        "well before any other limit"
    );
    assert_eq!((mute.as_str(), head.as_str()), ("", ""));
    assert!(body.starts_with("HTTP/1.1 408 "), "{body}");
    let endless = format!("GET /look HTTP/1.1\r\nX-Pad: {}", "p".repeat(200_000));
    let mut stream = soon(TcpStream::connect(s.proxy.addr))
        .await
        .expect("it listens");
    // It is closed while this is written.
    let _ = stream.write_all(endless.as_bytes()).await;
    let _ = soon(stream.read_to_end(&mut Vec::new())).await;
    assert_eq!(s.orders.seen.borrow().len(), 0);
}

#[tokio::test]
async fn the_id_of_an_open_request_is_not_taken_twice() {
    let s = scene(settings()).await;
    let release = Arc::new(Notify::new());
    s.orders.give([Do::Hold(release.clone())]);
    let call = || {
        let call = request("look")
            .header("x-try", "1")
            .body(Full::default())
            .expect("well formed");
        let (mut parts, body) = call.into_parts();
        parts
            .headers
            .insert("req-id", "5d468814b7549764".parse().expect("a value"));
        hyper::Request::from_parts(parts, body)
    };
    let (mut one, mut two) = (s.proxy.caller().await, s.proxy.caller().await);
    let first = tokio::spawn(async move { one.send(call()).await });
    s.orders.came(1).await;
    assert_eq!(two.send(call()).await.0, 409);
    release.notify_one();
    assert_eq!(first.await.expect("no panic").0, 200);
    assert_eq!(
        s.orders.seen.borrow().len(),
        1,
        "the second touched nothing"
    );
    assert_eq!(
        two.send(call()).await.0,
        200,
        "once it is closed the id is free"
    );
}

/// Another backend would turn it down as well, and it is not this one's fault.
#[tokio::test]
async fn what_a_backend_calls_malformed_is_not_sent_again() {
    let s = scene(settings()).await;
    for status in [400, 404, 413] {
        let before = s.orders.seen.borrow().len();
        s.orders.give([Do::Answer(status)]);
        assert_eq!(s.proxy.call("look").await.0, 502);
        assert_eq!(s.orders.seen.borrow().len(), before + 1);
    }
}

/// A request that waits behind another on its connection has its time from when it came.
#[tokio::test]
async fn the_time_of_a_request_counts_from_its_coming() {
    let s = scene(settings()).await;
    let release = Arc::new(Notify::new());
    s.orders.give([Do::Hold(release.clone())]);
    let first = raw_request("GET /look", "a", "Req-Deadline-Ms: 60000");
    let second = raw_request("GET /look", "b", "Req-Deadline-Ms: 300|Connection: close");
    let addr = s.proxy.addr;
    let text = first + &second;
    let answers = tokio::spawn(async move { raw(addr, text.as_bytes()).await });
    s.orders.came(1).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    release.notify_one();
    let answers = answers.await.expect("no panic");
    let statuses: Vec<_> = answers
        .split("HTTP/1.1 ")
        .skip(1)
        .map(|a| &a[..3])
        .collect();
    assert_eq!(statuses, ["200", "504"]);
    assert_eq!(
        s.orders.seen.borrow().len(),
        1,
        "its time was up before its turn"
    );
}

/// Bodies held in all are bounded by the memory that the configuration tells; what is past that is
/// refused.
#[tokio::test]
async fn bodies_do_not_outgrow_the_memory() {
    let orders = Arc::new(Orders::default());
    let a = Backend::start("a", &orders).await;
    let discovery = Discovery::start(vec![a.line("SERVING")]).await;
    let mut config = discovery.config(settings());
    config["limits"]["memory_mb"] = 8.into();
    let proxy = Proxy::start_as(&config, "exec \"$0\"").await;
    discovery.settled().await;
    // A quarter of it holds 32 such bodies. None of these ends; the first to pass the limit is told
    // at once.
    let mut parts = Vec::new();
    for n in 0..40 {
        let text = raw_request(
            "POST /once",
            &n.to_string(),
            "Req-Deadline-Ms: 60000|Content-Length: 65536",
        );
        let mut stream = soon(TcpStream::connect(proxy.addr))
            .await
            .expect("it listens");
        stream.write_all(text.as_bytes()).await.expect("taken");
        stream.write_all(&vec![b'x'; 65_535]).await.expect("taken");
        parts.push(stream);
    }
    let mut refused = 0;
    for mut stream in parts {
        let mut answer = [0; 12];
        soon(stream.read_exact(&mut answer))
            .await
            .expect("an answer");
        refused += usize::from(&answer == b"HTTP/1.1 503");
    }
    assert!((1..=8).contains(&refused), "{refused} were refused");
    assert_eq!(proxy.call("look").await.0, 200);
}

/// One scripted backend, and a proxy that knows no other.
async fn scripted_scene(
    bytes: impl Fn(usize) -> Option<[Vec<u8>; 2]> + Send + Sync + 'static,
) -> (Scripted, Proxy, Discovery) {
    let backend = scripted(bytes).await;
    let discovery = Discovery::start(vec![line("a", backend.addr, "SERVING")]).await;
    let proxy = Proxy::settled(&discovery, settings()).await;
    (backend, proxy, discovery)
}

#[tokio::test]
async fn a_spoilt_answer_is_given_up_at_once_and_may_have_run() {
    let head = |headers: &str, body: &str| format!("HTTP/1.1 200 OK\r\n{headers}\r\n{body}");
    let spoilt = [
        head("", "goes on to the end"),
        head("Content-Length: 4\r\nContent-Length: 4\r\n", "good"),
        head(
            "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
            "4\r\ngood\r\n0\r\n\r\n",
        ),
        head("Content-Length: 3000000000\r\n", "it keeps coming"),
        head("Content-Length: 65537\r\n", "it keeps coming"),
        // Shorter than it says, and longer: what was left out lies behind it.
        head("Content-Length: 10\r\n", "good"),
        head("Content-Length: 2\r\n", "good"),
        head("Transfer-Encoding: chunked\r\n", "4\r\ngood\r\nzz\r\n"),
        head(&"X-Pad: pppppppppppppppppppppppp\r\n".repeat(3000), ""),
        head(
            &("X-Pad: p\r\n".repeat(64) + "Content-Length: 4\r\n"),
            "good",
        ),
        "HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\ngood".to_string(),
        "noise".to_string() + "\r\n\r\n",
    ];
    let count = spoilt.len();
    let answers = spoilt.map(String::into_bytes);
    let (backend, proxy, _discovery) =
        scripted_scene(move |n| Some([answers.get(n)?.clone(), Vec::new()])).await;
    for n in 0..count {
        let start = Instant::now();
        assert_eq!(
            proxy.call("once").await.0,
            502,
            "spoilt answer {n} is neither served nor refused"
        );
        assert!(
            start.elapsed() < Duration::from_secs(4),
            "nothing is awaited on it"
        );
        soon(backend.open.subscribe().wait_for(|n| *n == 0))
            .await
            .expect("open");
    }
    assert_eq!(proxy.call("once").await, (200, "good".into()));
    assert_eq!(
        backend.requests.load(SeqCst),
        count + 1,
        "none was sent again"
    );
}

/// What comes behind a good answer is not the next request's, be it there already or late.
#[tokio::test]
async fn what_comes_behind_an_answer_never_answers_the_next_request() {
    let answer = |body: &str| {
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let hints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n";
    let bytes = move |n: usize| {
        let one = answer(&format!("answer {n}"));
        let (one, two) = match n % 4 {
            0 => (one.clone() + &one, String::new()),
            1 => (one.clone(), one),
            2 => (one, "noise\r\n\r\n".to_string()),
            _ => (hints.to_string() + &one, String::new()),
        };
        Some([one.into_bytes(), two.into_bytes()])
    };
    let (backend, proxy, _discovery) = scripted_scene(bytes).await;
    let mut caller = proxy.caller().await;
    for n in 0..24 {
        assert_eq!(caller.call("once").await, (200, format!("answer {n}")));
        if n % 4 != 3 {
            // Such a connection is of no further use, once more came than belonged to the answer.
            soon(backend.open.subscribe().wait_for(|n| *n == 0))
                .await
                .expect("open");
        }
    }
    assert_eq!(backend.requests.load(SeqCst), 24);
}

#[tokio::test]
async fn connections_belong_to_the_process_and_not_to_its_address() {
    let orders = Arc::new(Orders::default());
    let (a, other) = (
        Backend::start("a", &orders).await,
        Backend::start("b", &orders).await,
    );
    let discovery = Discovery::start(vec![line("old", a.addr, "SERVING")]).await;
    let proxy = Proxy::settled(&discovery, settings()).await;
    assert_eq!(proxy.call("once").await.0, 200);
    // A new one at the address of one that has gone: it knows nothing of the connections of the
    // other.
    discovery
        .tell(vec![
            line("new", a.addr, "SERVING"),
            line("old", a.addr, "DRAINING"),
        ])
        .await;
    a.all_closed().await;
    assert_eq!(proxy.call("once").await.0, 200);
    assert_eq!((a.total(), *a.open.borrow()), (2, 1));
    // And the old one's going takes nothing from it.
    discovery
        .tell(vec![line("new", a.addr, "SERVING"), other.line("DRAINING")])
        .await;
    assert_eq!(proxy.call("once").await.0, 200);
    assert_eq!((a.total(), *a.open.borrow()), (2, 1));
}

#[tokio::test]
async fn it_is_ready_once_there_is_a_backend_and_odd_entries_are_passed_over() {
    let orders = Arc::new(Orders::default());
    let a = Backend::start("a", &orders).await;
    let odd = serde_json::json!({"host": 5});
    let discovery = Discovery::start(vec![odd.clone()]).await;
    let proxy = Proxy::settled(&discovery, settings()).await;
    let ready = || {
        hyper::Request::get("/health/ready")
            .header("host", "p")
            .body(Full::default())
            .expect("good")
    };
    assert_eq!(proxy.caller().await.send(ready()).await.0, 503);
    discovery
        .tell(vec![odd, a.line("SERVING"), serde_json::json!("?")])
        .await;
    assert_eq!(proxy.caller().await.send(ready()).await.0, 200);
    assert_eq!(proxy.call("look").await, (200, "a".into()));
}

#[tokio::test]
async fn bad_input_ends_it_with_one_line() {
    let discovery = Discovery::start(Vec::new()).await;
    let good = discovery.config(settings());
    let mut no_class = good.clone();
    no_class["settings"]["classes"] = serde_json::json!([]);
    let mut bad_seed = good.clone();
    bad_seed["seed"] = "xyz".into();
    for (text, says) in [
        ("{".to_string(), "config: "),
        (no_class.to_string(), "classes"),
        (bad_seed.to_string(), "seed"),
        (good.to_string().replace("127.0.0.1:0", "nowhere"), "listen"),
        (good.to_string().replace("openCap", "other"), "openCap"),
    ] {
        let program = std::process::Command::new(env!("CARGO_BIN_EXE_heathroad"))
            .env_remove("RELAY_LISTEN")
            .env_remove("RELAY_DISCOVERY")
            .env("RELAY_CONFIG", write_config(&text))
            .output()
            .expect("it starts");
        let log = String::from_utf8(program.stderr).expect("text");
        assert!(
            !program.status.success() && log.lines().count() == 1,
            "{log}"
        );
        assert!(log.contains(says), "{log}");
    }
}
