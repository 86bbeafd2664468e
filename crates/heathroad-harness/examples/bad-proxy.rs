//! A minimal proxy for tests of the invariant checker: it keeps the four rules except for the one
//! violation that its file name selects. It uses one thread per connection and never retries.

use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime};

/// Interval, in requests, of violations that affect single requests.
const VIOLATION_INTERVAL: u64 = 10;

#[derive(Default)]
struct Shared {
    violation: String,
    /// Address, health and start time of each backend, by name.
    backends: Mutex<BTreeMap<String, (SocketAddr, String, f64)>>,
    counts: Mutex<BTreeMap<(String, String, String), u64>>,
    attempts: Mutex<BTreeMap<String, u64>>,
    requests: AtomicU64,
    resends: AtomicU64,
    open: AtomicU64,
    stop: AtomicBool,
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("bad-proxy: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let name = std::env::args().next().unwrap_or_default();
    let violation = name
        .rsplit('/')
        .next()
        .unwrap_or_default()
        .trim_start_matches("bad-")
        .to_string();
    let path = std::env::var("RELAY_CONFIG").map_err(|e| e.to_string())?;
    let text = std::fs::read_to_string(&path).map_err(|e| e.to_string())?;
    let config: Value = serde_json::from_str(&text).map_err(|e| e.to_string())?;
    let shared = Arc::new(Shared {
        violation,
        ..Shared::default()
    });
    let listen = || TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string());
    let (listener, admin) = (listen()?, listen()?);
    let registry: SocketAddr = config["discovery"]
        .as_str()
        .and_then(|a| a.parse().ok())
        .ok_or("no registry address")?;
    let cold = config["settings"]["guarantees"]["cold"]
        .as_f64()
        .unwrap_or(0.0);
    for (label, listener) in [("listening", &listener), ("admin", &admin)] {
        eprintln!(
            "bad-proxy: {label} on {}",
            listener.local_addr().map_err(|e| e.to_string())?
        );
    }
    let s = shared.clone();
    thread::spawn(move || poll_registry(&s, registry));
    let s = shared.clone();
    thread::spawn(move || {
        for stream in admin.incoming().flatten() {
            reply(stream, &counts(&s));
        }
    });
    let s = shared.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let s = s.clone();
            thread::spawn(move || serve(&s, stream, cold));
        }
    });
    // Runs until SIGTERM.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| e.to_string())?;
    runtime.block_on(async {
        let term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate());
        if let Ok(mut term) = term {
            term.recv().await;
        }
    });
    shared.stop.store(true, SeqCst);
    thread::sleep(Duration::from_millis(300));
    println!("{}", counts(&shared));
    Ok(())
}

fn counts(s: &Shared) -> String {
    let factor = if s.violation == "miscounts" { 2 } else { 1 };
    let row = |((class, tenant, answer), n): (&(String, String, String), &u64)| {
        json!({"class": class, "tenant": tenant,
        "answer": answer, "count": if answer == "served" { n * factor } else { *n }})
    };
    let rows: Vec<Value> = s
        .counts
        .lock()
        .map(|c| c.iter().map(row).collect())
        .unwrap_or_default();
    let attempts = s.attempts.lock().map(|a| a.clone()).unwrap_or_default();
    let resends = json!({"served": s.resends.load(SeqCst)});
    json!({"requests": rows, "attempts": attempts, "resends": resends, "limit": 1.0, "in_flight": s.open.load(SeqCst)})
        .to_string()
}

fn reply(mut stream: TcpStream, body: &str) {
    let _ = stream.read(&mut [0; 1024]);
    let _ = stream.write_all(http(200, "", body).as_bytes());
}

fn http(status: u16, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} \r\nContent-Length: {}\r\n{headers}\r\n{body}",
        body.len()
    )
}

/// Reads a message's head and body; none at the end of the connection.
fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    loop {
        if let Some(end) = buffer
            .windows(4)
            .position(|w| w == b"\r\n\r\n")
            .map(|p| p + 4)
        {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let length = header(&head, "content-length")
                .and_then(|l| l.parse::<usize>().ok())
                .unwrap_or(0);
            if length > 1 << 16 {
                return None;
            }
            if buffer.len() >= end + length {
                let rest = buffer.split_off(end + length);
                let body = std::mem::replace(buffer, rest).split_off(end);
                return Some((head, body));
            }
        }
        let mut part = [0; 4096];
        match stream.read(&mut part) {
            Ok(n) if n > 0 && buffer.len() < 1 << 16 => buffer.extend_from_slice(&part[..n]),
            _ => return None,
        }
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let line = head.lines().skip(1).find(|l| {
        l.split(':')
            .next()
            .is_some_and(|n| n.eq_ignore_ascii_case(name))
    })?;
    Some(line.split_once(':')?.1.trim())
}

/// Polls the registry.
fn poll_registry(s: &Shared, registry: SocketAddr) {
    while !s.stop.load(SeqCst) {
        let page = (|| {
            let mut stream = TcpStream::connect(registry).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
            stream
                .write_all(b"GET /registry/instances HTTP/1.1\r\nHost: r\r\n\r\n")
                .ok()?;
            let (_, body) = read_message(&mut stream, &mut Vec::new())?;
            serde_json::from_slice::<Value>(&body).ok()
        })();
        if let (Some(page), Ok(mut backends)) = (page, s.backends.lock()) {
            let mut now = BTreeMap::new();
            for h in page["hosts"].as_array().into_iter().flatten() {
                let text = |name: &str| h[name].as_str().unwrap_or_default().to_string();
                let Ok(addr) = text("dial").parse() else {
                    continue;
                };
                now.insert(
                    text("host"),
                    (addr, text("health"), h["born_ms"].as_f64().unwrap_or(0.0)),
                );
            }
            *backends = now;
        }
        thread::sleep(Duration::from_millis(50));
    }
}

fn pick(s: &Shared, number: u64, cold: f64) -> Option<SocketAddr> {
    let now = SystemTime::UNIX_EPOCH.elapsed().ok()?.as_secs_f64() * 1000.0;
    let backends = s.backends.lock().ok()?;
    let is_cold = |born: f64| born > 0.0 && now - born < cold;
    let mut pool: Vec<SocketAddr> = match s.violation.as_str() {
        "keeps-sending" => backends.values().map(|h| h.0).collect(),
        "pushes-cold" => backends
            .values()
            .filter(|h| h.1 == "SERVING" && is_cold(h.2))
            .map(|h| h.0)
            .collect(),
        _ => backends
            .values()
            .filter(|h| h.1 == "SERVING" && !is_cold(h.2))
            .map(|h| h.0)
            .collect(),
    };
    if pool.is_empty() {
        pool = backends
            .values()
            .filter(|h| h.1 == "SERVING")
            .map(|h| h.0)
            .collect();
    }
    pool.get(number.checked_rem(pool.len() as u64)? as usize)
        .copied()
}

/// Makes an attempt; `Err` is true if the request was sent but not answered.
fn attempt(s: &Shared, to: SocketAddr, line: &str, head: &str) -> Result<(u16, Vec<u8>), bool> {
    let result = (|| {
        let mut stream =
            TcpStream::connect_timeout(&to, Duration::from_millis(250)).map_err(|_| false)?;
        let _ = stream.set_nodelay(true);
        let wait = header(head, "req-deadline-ms")
            .and_then(|d| d.parse().ok())
            .unwrap_or(1000);
        stream
            .set_read_timeout(Some(
                Duration::from_millis(wait).max(Duration::from_millis(60))
                    - Duration::from_millis(40),
            ))
            .map_err(|_| false)?;
        let mut request = format!("{line}\r\nHost: b\r\n");
        for name in ["Req-Id", "Idempotency-Key", "Req-Deadline-Ms"] {
            if let Some(value) = header(head, name) {
                request += &format!("{name}: {value}\r\n");
            }
        }
        stream
            .write_all((request + "\r\n").as_bytes())
            .map_err(|_| false)?;
        let (head, body) = read_message(&mut stream, &mut Vec::new()).ok_or(true)?;
        let status = head
            .split_whitespace()
            .nth(1)
            .and_then(|s| s.parse().ok())
            .ok_or(true)?;
        Ok((status, body))
    })();
    let label = match &result {
        Ok((200, _)) => "served",
        Ok((503, _)) => "declined",
        Ok(_) => "error",
        Err(true) => "timeout",
        Err(false) => "connect_failed",
    };
    if let Ok(mut attempts) = s.attempts.lock() {
        *attempts.entry(label.to_string()).or_default() += 1;
    }
    result
}

fn serve(s: &Shared, mut stream: TcpStream, cold: f64) {
    let _ = stream.set_nodelay(true);
    let (mut buffer, mut previous_body) = (Vec::new(), Vec::new());
    while let Some((head, _)) = read_message(&mut stream, &mut buffer) {
        if head.starts_with("GET /health/ready") {
            let ready = s.backends.lock().is_ok_and(|h| !h.is_empty());
            let _ = stream.write_all(http(if ready { 200 } else { 503 }, "", "").as_bytes());
            continue;
        }
        let line = head.lines().next().unwrap_or_default().to_string();
        let class = line
            .split(['/', '?'])
            .nth(1)
            .unwrap_or_default()
            .to_string();
        let usable =
            header(&head, "req-id").is_some() && header(&head, "transfer-encoding").is_none();
        if !usable {
            let _ = stream.write_all(http(400, "Connection: close\r\n", "").as_bytes());
            return;
        }
        let number = s.requests.fetch_add(1, SeqCst);
        let violates = number.is_multiple_of(VIOLATION_INTERVAL);
        s.open.fetch_add(1, SeqCst);
        let is_unsafe = line.starts_with("POST") && header(&head, "idempotency-key").is_none();
        let once =
            |number| pick(s, number, cold).map_or(Err(false), |to| attempt(s, to, &line, &head));
        let mut result = once(number);
        if s.violation == "doubles" && is_unsafe {
            s.resends.fetch_add(1, SeqCst);
            result = once(number + 1);
        }
        s.open.fetch_sub(1, SeqCst);
        let (mut status, mut body, mut label) = match result {
            Ok((200, body)) => (200, body, "served"),
            Ok((503, _)) | Err(false) => (503, Vec::new(), "refused"),
            _ => (502, Vec::new(), "failed"),
        };
        if s.violation == "refuses-what-ran" && is_unsafe && status == 200 {
            (status, body, label) = (503, Vec::new(), "refused");
        }
        if s.violation == "loses" && violates {
            return;
        }
        if s.violation == "is-late" && violates {
            thread::sleep(Duration::from_millis(2500));
        }
        if s.violation == "mixes-up" && violates && status == 200 && !previous_body.is_empty() {
            body.clone_from(&previous_body);
        }
        if status == 200 {
            previous_body.clone_from(&body);
        }
        if let Ok(mut counts) = s.counts.lock() {
            let tenant = header(&head, "req-owner").unwrap_or_default().to_string();
            *counts
                .entry((class, tenant, label.to_string()))
                .or_default() += 1;
        }
        let mut answer = http(status, "", &String::from_utf8_lossy(&body)).into_bytes();
        if s.violation == "answers-twice" && violates {
            answer.extend_from_within(..);
        }
        if stream.write_all(&answer).is_err() {
            return;
        }
    }
}
