//! Tiers of proxies with servers between them: a server makes its calls through the next proxy and
//! copies the headers of budgets as they are, down and up.

use super::*;
use hyper::HeaderMap;
use std::sync::OnceLock;

/// What a server does with a request; the number counts its requests from 0.
pub type Acts = Arc<dyn Fn(usize, &HeaderMap) -> Act + Send + Sync>;

pub enum Act {
    /// Answers 200.
    Serve,
    /// Answers 500.
    Fail,
    /// Turns it away unseen.
    Decline,
    /// Answers 200 after so long.
    Slow(Duration),
    /// Makes so many calls below at once, and answers 200 if all were served.
    Call(usize),
    /// The same for one call, and copies nothing.
    Strip,
    /// Calls the same below over JSON-RPC, with what it was told.
    Rpc,
    /// Closes the connection without an answer.
    Vanish,
}

pub struct Server {
    pub addr: SocketAddr,
    /// Requests that came.
    pub came: Arc<AtomicUsize>,
}

impl Server {
    /// A server that calls below through the proxy whose address is told later.
    pub async fn start(below: &Arc<OnceLock<SocketAddr>>, acts: Acts) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("bound");
        let came = Arc::new(AtomicUsize::new(0));
        let (count, below) = (came.clone(), below.clone());
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("a connection");
                let (count, below, acts) = (count.clone(), below.clone(), acts.clone());
                let service = service_fn(move |request: Request<Incoming>| {
                    let (count, below, acts) = (count.clone(), below.clone(), acts.clone());
                    async move {
                        let (head, body) = request.into_parts();
                        body.collect().await.map_err(io::Error::other)?;
                        let act = acts(count.fetch_add(1, SeqCst), &head.headers);
                        carry_out(act, &head, below.get().copied()).await
                    }
                });
                tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
            }
        });
        Server { addr, came }
    }

    pub fn came(&self) -> usize {
        self.came.load(SeqCst)
    }
}

type Plain = Response<Full<Bytes>>;

fn status(code: u16) -> Plain {
    let mut reply = Response::new(Full::default());
    *reply.status_mut() = StatusCode::from_u16(code).expect("a status");
    reply
}

async fn carry_out(act: Act, head: &Parts, below: Option<SocketAddr>) -> io::Result<Plain> {
    Ok(match act {
        Act::Serve => status(200),
        Act::Fail => status(500),
        Act::Decline => {
            let mut reply = status(503);
            reply
                .headers_mut()
                .insert("srv-declined", "1".parse().expect("a value"));
            reply
        }
        Act::Slow(time) => {
            tokio::time::sleep(time).await;
            status(200)
        }
        Act::Vanish => return Err(io::Error::other("told to")),
        Act::Rpc => {
            let text = |name: &str| {
                head.headers
                    .get(name)
                    .and_then(|v| v.to_str().ok())
                    .unwrap_or_default()
            };
            let call = json!({"jsonrpc": "2.0", "id": 1, "method": "look", "params": {},
                "req-budget": text("req-budget"), "req-path": text("req-path")});
            let Some(below) = below else {
                return Ok(status(500));
            };
            let mut stream = TcpStream::connect(below).await?;
            stream.write_all(format!("{call}\n").as_bytes()).await?;
            let answer = BufReader::new(stream)
                .lines()
                .next_line()
                .await?
                .unwrap_or_default();
            let answer: Value = serde_json::from_str(&answer).map_err(io::Error::other)?;
            let mut reply = status(if answer.get("result").is_some() {
                200
            } else {
                500
            });
            if let Some(spent) = answer["req-spent"].as_str() {
                reply
                    .headers_mut()
                    .insert("req-spent", spent.parse().map_err(io::Error::other)?);
            }
            reply
        }
        Act::Strip => call(head, below, false).await.0,
        Act::Call(n) => {
            // Whoever drops these, as a server does whose caller has left, ends them.
            let (head, mut calls) = (Arc::new(head.headers.clone()), tokio::task::JoinSet::new());
            let path = head_path(&head);
            for _ in 0..n {
                let (headers, path) = (head.clone(), path.clone());
                calls.spawn(async move { call_with(&headers, &path, below, true).await });
            }
            let (mut reply, mut spent) = (status(200), None);
            while let Some(called) = calls.join_next().await {
                let (answer, told) = called.map_err(io::Error::other)?;
                if answer.status() != StatusCode::OK {
                    reply = status(500);
                }
                spent = told.or(spent);
            }
            if let Some(spent) = spent {
                reply.headers_mut().insert("req-spent", spent);
            }
            reply
        }
    })
}

fn head_path(headers: &HeaderMap) -> String {
    // Calls below are of the class that the caller's key header or its absence tells.
    if headers.contains_key("idempotency-key") {
        "/keep?k=7f3a"
    } else {
        "/look?k=7f3a"
    }
    .to_string()
}

async fn call(
    head: &Parts,
    below: Option<SocketAddr>,
    copies: bool,
) -> (Plain, Option<hyper::header::HeaderValue>) {
    call_with(&head.headers, &head_path(&head.headers), below, copies).await
}

async fn call_with(
    headers: &HeaderMap,
    path: &str,
    below: Option<SocketAddr>,
    copies: bool,
) -> (Plain, Option<hyper::header::HeaderValue>) {
    let keyed = path.starts_with("/keep");
    let mut request = request(if keyed { "keep" } else { "look" });
    for name in ["req-budget", "req-path"] {
        if let Some(value) = headers.get(name).filter(|_| copies) {
            request = request.header(name, value);
        }
    }
    let time = headers
        .get("req-deadline-ms")
        .cloned()
        .expect("proxies tell it");
    let mut request = request.body(Full::<Bytes>::default()).expect("well formed");
    request.headers_mut().insert("req-deadline-ms", time);
    let Some(below) = below else {
        return (status(500), None);
    };
    let Ok(stream) = TcpStream::connect(below).await else {
        return (status(500), None);
    };
    let Ok((mut sender, connection)) = handshake(TokioIo::new(stream)).await else {
        return (status(500), None);
    };
    tokio::spawn(connection);
    match sender.send_request(request).await {
        Ok(answer) => {
            let spent = answer
                .headers()
                .get("req-spent")
                .cloned()
                .filter(|_| copies);
            (status(answer.status().as_u16()), spent)
        }
        Err(_) => (status(500), None),
    }
}

/// Settings whose times are short.
pub fn quick() -> Value {
    let mut settings = settings();
    for class in settings["classes"].as_array_mut().expect("classes") {
        class["aim"] = json!(400.0);
        class["giveUp"] = json!(4000.0);
    }
    settings
}

/// A proxy over some servers, with its part of budgets, and its admin address.
pub async fn proxy_over(servers: &[SocketAddr], budget: Option<Value>) -> (Proxy, SocketAddr) {
    let names = ["a", "b", "c", "d"];
    let hosts = servers
        .iter()
        .zip(names)
        .map(|(at, name)| line(name, *at, "SERVING"))
        .collect();
    let discovery = Discovery::start(hosts).await;
    let mut config = discovery.config(quick());
    config["admin"] = "127.0.0.1:0".into();
    if let Some(budget) = budget {
        config["budget"] = budget;
    }
    let (proxy, admin) = Proxy::start_with_admin(&config).await;
    discovery.settled().await;
    (proxy, admin)
}

/// Attempts that went out of a proxy, as it counts them.
pub async fn attempts(admin: SocketAddr) -> u64 {
    let counts = counts(admin).await;
    let by = counts["attempts"].as_object().expect("by outcome");
    by.iter()
        .filter(|(how, _)| *how != "unsent")
        .filter_map(|(_, n)| n.as_u64())
        .sum()
}

/// A server of JSON-RPC in lines, which answers with what it was told, or first calls below over
/// HTTP with that.
pub async fn rpc_server(below: Option<Arc<OnceLock<SocketAddr>>>) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("bound");
    let came = Arc::new(AtomicUsize::new(0));
    let count = came.clone();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.expect("a connection");
            let (count, below) = (count.clone(), below.clone());
            tokio::spawn(async move {
                let (reader, mut writer) = stream.into_split();
                let mut lines = BufReader::new(reader).lines();
                while let Ok(Some(text)) = lines.next_line().await {
                    count.fetch_add(1, SeqCst);
                    let asked: Value = serde_json::from_str(&text).expect("proxies send JSON");
                    let mut answer = json!({"jsonrpc": "2.0", "id": asked["id"]});
                    answer["result"] = json!([asked["req-budget"], asked["req-path"]]);
                    if let Some(below) = &below {
                        let mut headers = HeaderMap::new();
                        for name in ["req-budget", "req-path"] {
                            let value = asked[name]
                                .as_str()
                                .expect("it is told")
                                .parse()
                                .expect("plain");
                            headers.insert(name, value);
                        }
                        headers.insert("req-deadline-ms", "5000".parse().expect("plain"));
                        let (reply, spent) =
                            call_with(&headers, "/look?k=7f3a", below.get().copied(), true).await;
                        if reply.status() != StatusCode::OK {
                            answer.as_object_mut().expect("an object").remove("result");
                            answer["error"] = json!({"code": -32603, "message": "below"});
                        }
                        if let Some(spent) = spent {
                            answer["req-spent"] = spent.to_str().expect("text").into();
                        }
                    }
                    if writer
                        .write_all(format!("{answer}\n").as_bytes())
                        .await
                        .is_err()
                    {
                        return;
                    }
                }
            });
        }
    });
    Server { addr, came }
}
