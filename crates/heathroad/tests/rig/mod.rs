//! The started program between callers, backends and discovery on loopback sockets. Nothing here
//! decides or models anything: a backend does what a test tells it to, and tests wait for what they
//! see.
#![allow(dead_code, reason = "each test file uses its part of it")]

pub mod chain;
pub mod rpc;
pub mod rpc_scene;
pub mod scene;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::body::{Body, Frame, Incoming};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::process::{ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, ChildStderr, ChildStdout, Command};
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

/// No test waits longer than this for what must come.
pub const LONG: Duration = Duration::from_secs(30);

/// Waits for what must come.
pub async fn soon<T>(what: impl Future<Output = T>) -> T {
    timeout(LONG, what).await.expect("it comes")
}

/// What a backend does with a request.
pub enum Do {
    Serve,
    Answer(u16),
    Decline(u16),
    /// Ends the connection with no answer.
    Break,
    /// Ends it in the middle of an answer.
    Half,
    /// Serves once it is told to.
    Hold(Arc<Notify>),
}

/// What backends have in common: the orders for the next requests, wherever they go, and what came.
#[derive(Default)]
pub struct Orders {
    next: Mutex<VecDeque<Do>>,
    pub seen: watch::Sender<Vec<(&'static str, Parts, Bytes)>>,
    /// Requests that ended before their backend answered.
    pub left: watch::Sender<usize>,
}

impl Orders {
    pub fn give(&self, orders: impl IntoIterator<Item = Do>) {
        self.next.lock().expect("sound").extend(orders);
    }
    /// Waits until so many requests have come.
    pub async fn came(&self, n: usize) {
        soon(self.seen.subscribe().wait_for(|s| s.len() >= n))
            .await
            .expect("open");
    }
    pub fn by(&self, name: &str) -> usize {
        self.seen
            .borrow()
            .iter()
            .filter(|(n, ..)| *n == name)
            .count()
    }
}

struct Left<'a>(&'a Orders, bool);

impl Drop for Left<'_> {
    fn drop(&mut self) {
        if self.1 {
            self.0.left.send_modify(|n| *n += 1);
        }
    }
}

struct Broken(bool);

impl Body for Broken {
    type Data = Bytes;
    type Error = io::Error;
    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let first = !std::mem::replace(&mut self.0, true);
        Poll::Ready(Some(if first {
            Ok(Frame::data("half".into()))
        } else {
            Err(io::Error::other("cut"))
        }))
    }
}

pub struct Backend {
    pub name: &'static str,
    pub addr: SocketAddr,
    connections: Arc<AtomicUsize>,
    close: watch::Sender<()>,
    sever: watch::Sender<()>,
    /// Connections that are open now.
    pub open: Arc<watch::Sender<usize>>,
}

impl Backend {
    pub async fn start(name: &'static str, orders: &Arc<Orders>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        Backend::on(name, listener, orders)
    }

    pub fn on(name: &'static str, listener: TcpListener, orders: &Arc<Orders>) -> Self {
        let addr = listener.local_addr().expect("bound");
        let (connections, orders) = (Arc::<AtomicUsize>::default(), orders.clone());
        let (close, open) = (watch::Sender::new(()), Arc::new(watch::Sender::new(0)));
        let sever = watch::Sender::new(());
        let severing = sever.clone();
        let (count, closing, alive) = (connections.clone(), close.clone(), open.clone());
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("a connection");
                count.fetch_add(1, SeqCst);
                alive.send_modify(|n| *n += 1);
                let (orders, alive, mut closing) =
                    (orders.clone(), alive.clone(), closing.subscribe());
                let mut severed = severing.subscribe();
                tokio::spawn(async move {
                    let service = service_fn(|request| answer(name, &orders, request));
                    let connection =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                    let mut connection = pin!(connection);
                    let ended = tokio::select! {
                        _ = connection.as_mut() => true,
                        _ = closing.changed() => false,
                        // It ends at once, whatever it was about to answer.
                        _ = severed.changed() => true,
                    };
                    if !ended {
                        connection.as_mut().graceful_shutdown();
                        let _ = connection.await;
                    }
                    alive.send_modify(|n| *n -= 1);
                });
            }
        });
        Backend {
            name,
            addr,
            connections,
            close,
            sever,
            open,
        }
    }

    /// How many connections it has ever had.
    pub fn total(&self) -> usize {
        self.connections.load(SeqCst)
    }

    /// Closes all its connections, which are idle, and waits until they are.
    pub async fn close_idle(&self) {
        self.close.send_replace(());
        self.all_closed().await;
    }

    /// Breaks all its connections off, those in use too.
    pub async fn break_all(&self) {
        self.sever.send_replace(());
        self.all_closed().await;
    }

    pub async fn all_closed(&self) {
        soon(self.open.subscribe().wait_for(|n| *n == 0))
            .await
            .expect("open");
    }

    pub fn line(&self, health: &str) -> Value {
        line(self.name, self.addr, health)
    }
}

/// A backend that answers with bytes as they are: for the n-th request, counted over all its
/// connections, those that `bytes` gives for it, the second part after a moment. It closes nothing,
/// and serves where nothing is given.
pub async fn scripted(
    bytes: impl Fn(usize) -> Option<[Vec<u8>; 2]> + Send + Sync + 'static,
) -> Scripted {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("bound");
    let (count, open) = (
        Arc::new(AtomicUsize::new(0)),
        Arc::new(watch::Sender::new(0)),
    );
    let (requests, alive, bytes) = (count.clone(), open.clone(), Arc::new(bytes));
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let (count, alive, bytes) = (count.clone(), alive.clone(), bytes.clone());
            tokio::spawn(async move {
                alive.send_modify(|n| *n += 1);
                let mut seen = Vec::new();
                while stream.read_buf(&mut seen).await.is_ok_and(|n| n > 0) {
                    // Requests of these tests have no body.
                    if seen.ends_with(b"\r\n\r\n") {
                        seen.clear();
                        let plain = || {
                            [
                                b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood".to_vec(),
                                Vec::new(),
                            ]
                        };
                        let [one, two] = bytes(count.fetch_add(1, SeqCst)).unwrap_or_else(plain);
                        let _ = stream.write_all(&one).await;
                        if !two.is_empty() {
                            tokio::time::sleep(Duration::from_millis(50)).await;
                            let _ = stream.write_all(&two).await;
                        }
                    }
                }
                alive.send_modify(|n| *n -= 1);
            });
        }
    });
    Scripted {
        addr,
        requests,
        open,
    }
}

pub struct Scripted {
    pub addr: SocketAddr,
    pub requests: Arc<AtomicUsize>,
    /// Connections that are open now.
    pub open: Arc<watch::Sender<usize>>,
}

pub fn line(host: &str, addr: SocketAddr, health: &str) -> Value {
    json!({"host": host, "dial": addr.to_string(), "site": "a", "class": "m", "block": 1,
           "health": health, "share": 1.0, "born_ms": 0})
}

type Reply = Response<BoxBody<Bytes, io::Error>>;

async fn answer(
    name: &'static str,
    orders: &Orders,
    request: Request<Incoming>,
) -> io::Result<Reply> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let order = orders
        .next
        .lock()
        .expect("sound")
        .pop_front()
        .unwrap_or(Do::Serve);
    orders.seen.send_modify(|s| s.push((name, head, body)));
    let text = |text: &'static str| Full::new(Bytes::from(text)).map_err(|e| match e {}).boxed();
    let mut reply = Response::new(text(name));
    match order {
        Do::Serve => {}
        Do::Answer(status) => *reply.status_mut() = StatusCode::from_u16(status).expect("a status"),
        Do::Decline(status) => {
            *reply.status_mut() = StatusCode::from_u16(status).expect("a status");
            reply
                .headers_mut()
                .insert("srv-declined", "1".parse().expect("a value"));
        }
        Do::Break => return Err(io::Error::other("told to")),
        Do::Half => reply = Response::new(Broken(false).boxed()),
        Do::Hold(release) => {
            let mut left = Left(orders, true);
            release.notified().await;
            left.1 = false;
        }
    }
    Ok(reply)
}

/// Discovery with a list that tests change, and the version that the proxy is known to hold.
pub struct Discovery {
    addr: SocketAddr,
    list: Arc<watch::Sender<(u64, Vec<Value>)>>,
    held: Arc<watch::Sender<u64>>,
    /// Connections that are open now.
    pub open: Arc<watch::Sender<usize>>,
    out: Arc<watch::Sender<bool>>,
}

impl Discovery {
    pub async fn start(hosts: Vec<Value>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("bound");
        let list = Arc::new(watch::Sender::new((1, hosts)));
        let held = Arc::new(watch::Sender::new(0));
        let open = Arc::new(watch::Sender::new(0));
        let (lists, holds, alive) = (list.clone(), held.clone(), open.clone());
        let out = Arc::new(watch::Sender::new(false));
        let outage = out.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("a connection");
                let (lists, holds, alive) = (lists.clone(), holds.clone(), alive.clone());
                let mut outage = outage.subscribe();
                if *outage.borrow() {
                    continue;
                }
                let service = service_fn(move |request: Request<Incoming>| {
                    let (mut list, holds) = (lists.subscribe(), holds.clone());
                    async move {
                        let after = request.uri().query().and_then(|q| q.strip_prefix("after="));
                        let after = after.and_then(|q| q.split('&').next()?.parse::<u64>().ok());
                        if let Some(after) = after {
                            holds.send_replace(after);
                            list.wait_for(|(seq, _)| *seq > after)
                                .await
                                .map_err(io::Error::other)?;
                        }
                        let (seq, hosts) = list.borrow().clone();
                        let text = json!({"seq": seq, "whole": true, "hosts": hosts}).to_string();
                        Ok::<_, io::Error>(Response::new(Full::new(Bytes::from(text))))
                    }
                });
                tokio::spawn(async move {
                    alive.send_modify(|n| *n += 1);
                    tokio::select! {
                        _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service) => {}
                        _ = outage.wait_for(|out| *out) => {}
                    }
                    alive.send_modify(|n| *n -= 1);
                });
            }
        });
        Discovery {
            addr,
            list,
            held,
            open,
            out,
        }
    }

    /// From now on connections end without an answer, or no more.
    pub fn outage(&self, out: bool) {
        self.out.send_replace(out);
    }

    /// The configuration of a proxy that asks here.
    pub fn config(&self, settings: Value) -> Value {
        json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": self.addr.to_string(),
               "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
               "settings": settings})
    }

    /// Waits until the proxy holds the present list.
    pub async fn settled(&self) {
        let now = self.list.borrow().0;
        soon(self.held.subscribe().wait_for(|held| *held >= now))
            .await
            .expect("open");
    }

    /// Changes the list and waits until the proxy holds it.
    pub async fn tell(&self, hosts: Vec<Value>) {
        self.list
            .send_modify(|(seq, list)| (*seq, *list) = (*seq + 1, hosts));
        self.settled().await;
    }
}

pub fn settings() -> Value {
    let class = |name: &str, semantics: &str| {
        json!({"name": name, "aim": 20_000.0, "giveUp": 60_000.0, "points": 1.0, "lateWorth": 0.0,
               "semantics": semantics, "group": "all", "window": 60_000.0})
    };
    json!({
        "slotNo": 0, "peersTotal": 1, "tier": 0, "locality": 0, "localities": ["a"], "tick": 5.0,
        "overShareWorth": 0.05, "discovery": "automatic", "tenants": [{"name": "acme", "quotaPerS": 1000.0}],
        "classes": [class("look", "retryable"), class("keep", "dedup"), class("once", "fragile")],
        "caps": {"cancelling": true, "mayDuplicate": true, "retryAfter": true, "maxRetryAfter": 1000.0,
                 "tryLimit": 6, "openCap": 1000, "connIdle": 60_000.0, "connectTimeout": 2000.0},
        "guarantees": {"coldFrom": 0.1, "cold": 9000.0, "fallMultiple": 3.0, "fall": 1000.0,
                       "stopSendingWithin": 500.0, "graceToAnswer": 20.0}
    })
}

pub struct Proxy {
    pub addr: SocketAddr,
    /// The file of its configuration.
    pub config: std::path::PathBuf,
    child: Child,
    out: BufReader<ChildStdout>,
    log: Log,
}

type Log = tokio::io::Lines<BufReader<ChildStderr>>;

fn spawn(config: &Value, command: &str) -> (Child, Log, std::path::PathBuf) {
    let path = write_config(&config.to_string());
    let mut child = Command::new("/bin/sh")
        .args(["-c", command, env!("CARGO_BIN_EXE_heathroad")])
        .env_remove("RELAY_LISTEN")
        // As in service: at the start the variable names the address too.
        .env(
            "RELAY_DISCOVERY",
            config["discovery"].as_str().expect("text"),
        )
        .env("RELAY_CONFIG", &path)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .expect("it starts");
    let log = BufReader::new(child.stderr.take().expect("piped")).lines();
    (child, log, path)
}

/// A path of its own in the folder for tests.
pub fn temporary(ending: &str) -> std::path::PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let name = format!(
        "{}-{}{ending}",
        std::process::id(),
        NEXT.fetch_add(1, SeqCst)
    );
    std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
}

/// Writes a file where the program finds it.
pub fn write_file(ending: &str, text: &str) -> std::path::PathBuf {
    let path = temporary(ending);
    std::fs::write(&path, text).expect("the folder for tests takes a file");
    path
}

/// Writes a configuration where the program finds it.
pub fn write_config(text: &str) -> std::path::PathBuf {
    write_file(".json", text)
}

/// Asks an admin address.
pub async fn ask(admin: SocketAddr, method: &str, path: &str, body: &str) -> (u16, String) {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "admin");
    let request = request
        .body(Full::from(body.to_string()))
        .expect("well formed");
    Caller(connect(admin).await).send(request).await
}

/// The counts that an admin address tells.
pub async fn counts(admin: SocketAddr) -> Value {
    let (status, text) = ask(admin, "GET", "/counts", "").await;
    assert_eq!(status, 200);
    serde_json::from_str(&text).expect("JSON")
}

impl Proxy {
    pub async fn start(discovery: &Discovery, settings: Value) -> Self {
        Proxy::start_as(&discovery.config(settings), "exec \"$0\"").await
    }

    /// Starts the program by a shell command in which it is `$0`.
    pub async fn start_as(config: &Value, command: &str) -> Self {
        let (mut child, mut log, path) = spawn(config, command);
        let out = BufReader::new(child.stdout.take().expect("piped"));
        let addr = said_address(&mut log, "listening on ").await;
        Proxy {
            addr,
            config: path,
            child,
            out,
            log,
        }
    }

    /// Starts the program with an admin address, which is told too.
    pub async fn start_with_admin(config: &Value) -> (Self, SocketAddr) {
        let mut proxy = Proxy::start_as(config, "exec \"$0\"").await;
        let admin = said_address(&mut proxy.log, "admin on ").await;
        (proxy, admin)
    }

    /// The same, once its log has said something on the way.
    pub async fn start_and_hear(config: &Value, says: &str) -> (Self, SocketAddr) {
        let (mut child, mut log, path) = spawn(config, "exec \"$0\"");
        while !soon(log.next_line())
            .await
            .expect("readable")
            .expect("it goes on")
            .contains(says)
        {}
        let out = BufReader::new(child.stdout.take().expect("piped"));
        let addr = said_address(&mut log, "listening on ").await;
        let admin = said_address(&mut log, "admin on ").await;
        (
            Proxy {
                addr,
                config: path,
                child,
                out,
                log,
            },
            admin,
        )
    }

    /// Kills it outright and waits until it is gone.
    pub async fn kill(&mut self) {
        soon(self.child.kill()).await.expect("it ran");
    }

    /// Starts the program with listeners of these names, whose addresses are told, and an admin
    /// address.
    pub async fn start_with_listeners(
        config: &Value,
        names: &[&str],
    ) -> (Self, Vec<SocketAddr>, SocketAddr) {
        let (mut child, mut log, path) = spawn(config, "exec \"$0\"");
        let mut listeners = Vec::new();
        for name in names {
            listeners.push(said_address(&mut log, &format!("listener {name} on ")).await);
        }
        let out = BufReader::new(child.stdout.take().expect("piped"));
        let addr = said_address(&mut log, "listening on ").await;
        let admin = said_address(&mut log, "admin on ").await;
        (
            Proxy {
                addr,
                config: path,
                child,
                out,
                log,
            },
            listeners,
            admin,
        )
    }

    /// The address that the log tells next behind these words.
    pub async fn told(&mut self, says: &str) -> SocketAddr {
        said_address(&mut self.log, says).await
    }

    /// Its CPU time so far, in microseconds, and the most memory that it held, in KiB.
    pub fn used(&self) -> (u64, u64) {
        let id = self.child.id().expect("it runs");
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).expect("it runs");
        // Behind the name, which may hold anything: user and system time in ticks of 10 ms.
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split_whitespace()
            .collect();
        let ticks: u64 = [11, 12]
            .iter()
            .filter_map(|i| fields.get(*i)?.parse::<u64>().ok())
            .sum();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("it runs");
        let peak = status.lines().find_map(|l| {
            l.strip_prefix("VmHWM:")?
                .trim()
                .strip_suffix(" kB")?
                .parse()
                .ok()
        });
        (ticks * 10_000, peak.unwrap_or(0))
    }

    /// What the system says of the process: `S` where it sleeps, `R` where it runs, `T` where it is
    /// stopped.
    pub fn run_state(&self) -> char {
        let id = self.child.id().expect("it runs");
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).expect("it runs");
        stat.rsplit(')')
            .next()
            .and_then(|rest| rest.trim().chars().next())
            .expect("a state")
    }

    /// Waits until the log has a line that says so.
    pub async fn says(&mut self, what: &str) {
        while !soon(self.log.next_line())
            .await
            .expect("readable")
            .expect("it goes on")
            .contains(what)
        {}
    }

    /// The proxy, once it holds discovery's list.
    pub async fn settled(discovery: &Discovery, settings: Value) -> Self {
        let proxy = Proxy::start(discovery, settings).await;
        discovery.settled().await;
        proxy
    }

    /// Sends a signal.
    pub async fn send_signal(&mut self, signal: &str) {
        let id = self.child.id().expect("it runs").to_string();
        let sent = soon(Command::new("kill").args([signal, &id]).status()).await;
        assert!(sent.expect("kill runs").success());
    }

    /// Sends a signal and waits until the program's log says so.
    async fn signal(&mut self, signal: &str, says: &str) {
        self.send_signal(signal).await;
        while !soon(self.log.next_line())
            .await
            .expect("readable")
            .expect("it goes on")
            .contains(says)
        {}
    }

    /// Sends SIGTERM and waits until the program has taken notice.
    pub async fn terminate(&mut self) {
        self.signal("-TERM", "stopping").await;
    }

    /// Replaces the configuration, sends SIGHUP, and waits until the log has a line that says what
    /// came of it.
    pub async fn reload(&mut self, config: &str, says: &str) {
        std::fs::write(&self.config, config).expect("the folder for tests takes a file");
        self.signal("-HUP", says).await;
    }

    /// Returns whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("it ran").is_some()
    }

    pub async fn ended(&mut self) -> ExitStatus {
        soon(self.child.wait()).await.expect("it ran")
    }

    /// The last line that the ended program wrote to standard output.
    pub async fn last_words(&mut self) -> String {
        let mut text = String::new();
        soon(self.out.read_to_string(&mut text))
            .await
            .expect("text");
        text.lines().last().unwrap_or_default().to_string()
    }

    pub async fn caller(&self) -> Caller {
        Caller(connect(self.addr).await)
    }

    /// One call on a connection of its own: status and body.
    pub async fn call(&self, class: &str) -> (u16, String) {
        self.caller().await.call(class).await
    }
}

/// The address that a line of the program's log tells.
async fn said_address(log: &mut Log, says: &str) -> SocketAddr {
    loop {
        let line = soon(log.next_line())
            .await
            .expect("readable")
            .expect("it goes on");
        if let Some((_, addr)) = line.split_once(says) {
            return addr.parse().expect("an address");
        }
    }
}

pub async fn connect(addr: SocketAddr) -> SendRequest<Full<Bytes>> {
    let stream = soon(TcpStream::connect(addr)).await.expect("it listens");
    let (sender, connection) = handshake(TokioIo::new(stream))
        .await
        .expect("nothing is sent yet");
    tokio::spawn(connection);
    sender
}

/// A request as callers send them.
pub fn request(class: &str) -> hyper::http::request::Builder {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    let request = Request::builder()
        .method(if class == "look" { "GET" } else { "POST" })
        .uri(format!("/{class}?k=7f3a"))
        .header("host", "origin.svc")
        .header("req-id", format!("{:016x}", NEXT.fetch_add(1, SeqCst)))
        .header("req-owner", "acme")
        .header("req-deadline-ms", "60000");
    if class == "keep" {
        request.header("idempotency-key", "5c0f6e1a")
    } else {
        request
    }
}

pub struct Caller(pub SendRequest<Full<Bytes>>);

impl Caller {
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> (u16, String) {
        soon(self.0.ready()).await.expect("open");
        let answer = soon(self.0.send_request(request)).await.expect("an answer");
        let status = answer.status().as_u16();
        let body = soon(answer.into_body().collect())
            .await
            .expect("a whole one")
            .to_bytes();
        (status, String::from_utf8(body.to_vec()).expect("text"))
    }

    pub async fn call(&mut self, class: &str) -> (u16, String) {
        self.send(request(class).body(Full::default()).expect("well formed"))
            .await
    }
}

/// A listener whose queue is full: connects to it neither succeed nor fail. The streams hold the
/// queue.
pub async fn silent() -> (TcpListener, Vec<TcpStream>) {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket
        .bind("127.0.0.1:0".parse().expect("an address"))
        .expect("a port");
    let listener = socket.listen(1).expect("it listens");
    let addr = listener.local_addr().expect("bound");
    let mut held = Vec::new();
    while let Ok(stream) = timeout(Duration::from_millis(300), TcpStream::connect(addr)).await {
        held.push(stream.expect("a connection"));
        assert!(held.len() < 100, "the queue fills up");
    }
    (listener, held)
}

/// Waits until somebody's connect to an address is under way, by the system's table of connections.
pub async fn connecting(addr: SocketAddr) {
    const SYN_SENT: &str = "02";
    let port = format!(":{:04X}", addr.port());
    let waits = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields.get(2).is_some_and(|remote| remote.ends_with(&port))
            && fields.get(3) == Some(&SYN_SENT)
    };
    while !std::fs::read_to_string("/proc/net/tcp")
        .expect("a table")
        .lines()
        .any(waits)
    {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
