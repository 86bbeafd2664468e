//! A small proxy for the judge's own tests: it keeps the four rules in the simplest way, but for
//! the one vice that its file name asks for. No model for anybody: one thread for each caller, no
//! limit, no retries.

use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime};

/// Every so many requests the vice shows, where it is one of single requests.
const EVERY: u64 = 10;

#[derive(Default)]
struct Shared {
    vice: String,
    /// By name: address, health, start.
    hosts: Mutex<BTreeMap<String, (SocketAddr, String, f64)>>,
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
    let vice = name
        .rsplit('/')
        .next()
        .unwrap_or_default()
        .trim_start_matches("bad-")
        .to_string();
    let path = std::env::var("RELAY_CONFIG").map_err(|e| e.to_string())?;
    let text = std::fs::read_to_string(&path).map_err(|e| e.to_string())?;
    let config: Value = serde_json::from_str(&text).map_err(|e| e.to_string())?;
    let shared = Arc::new(Shared {
        vice,
        ..Shared::default()
    });
    let listen = || TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string());
    let (front, admin) = (listen()?, listen()?);
    let registry: SocketAddr = config["discovery"]
        .as_str()
        .and_then(|a| a.parse().ok())
        .ok_or("no registry address")?;
    let cold = config["settings"]["guarantees"]["cold"]
        .as_f64()
        .unwrap_or(0.0);
    for (word, listener) in [("listening", &front), ("admin", &admin)] {
        eprintln!(
            "bad-proxy: {word} on {}",
            listener.local_addr().map_err(|e| e.to_string())?
        );
    }
    let s = shared.clone();
    thread::spawn(move || follow(&s, registry));
    let s = shared.clone();
    thread::spawn(move || {
        for stream in admin.incoming().flatten() {
            reply(stream, &counts(&s));
        }
    });
    let s = shared.clone();
    thread::spawn(move || {
        for stream in front.incoming().flatten() {
            let s = s.clone();
            thread::spawn(move || serve(&s, stream, cold));
        }
    });
    // Until told to stop, by the one signal that it takes notice of.
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
    let factor = if s.vice == "miscounts" { 2 } else { 1 };
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

/// Reads one message: its head and its body. None at the connection's end.
fn message(stream: &mut TcpStream, kept: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    loop {
        if let Some(end) = kept
            .windows(4)
            .position(|w| w == b"\r\n\r\n")
            .map(|p| p + 4)
        {
            let head = String::from_utf8_lossy(&kept[..end]).into_owned();
            let length = header(&head, "content-length")
                .and_then(|l| l.parse::<usize>().ok())
                .unwrap_or(0);
            if length > 1 << 16 {
                return None;
            }
            if kept.len() >= end + length {
                let rest = kept.split_off(end + length);
                let body = std::mem::replace(kept, rest).split_off(end);
                return Some((head, body));
            }
        }
        let mut part = [0; 4096];
        match stream.read(&mut part) {
            Ok(n) if n > 0 && kept.len() < 1 << 16 => kept.extend_from_slice(&part[..n]),
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

/// Asks the registry again and again.
fn follow(s: &Shared, registry: SocketAddr) {
    while !s.stop.load(SeqCst) {
        let page = (|| {
            let mut stream = TcpStream::connect(registry).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
            stream
                .write_all(b"GET /registry/instances HTTP/1.1\r\nHost: r\r\n\r\n")
                .ok()?;
            let (_, body) = message(&mut stream, &mut Vec::new())?;
            serde_json::from_slice::<Value>(&body).ok()
        })();
        if let (Some(page), Ok(mut hosts)) = (page, s.hosts.lock()) {
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
            *hosts = now;
        }
        thread::sleep(Duration::from_millis(50));
    }
}

fn pick(s: &Shared, turn: u64, cold: f64) -> Option<SocketAddr> {
    let now = SystemTime::UNIX_EPOCH.elapsed().ok()?.as_secs_f64() * 1000.0;
    let hosts = s.hosts.lock().ok()?;
    let young = |born: f64| born > 0.0 && now - born < cold;
    let mut pool: Vec<SocketAddr> = match s.vice.as_str() {
        "keeps-sending" => hosts.values().map(|h| h.0).collect(),
        "pushes-cold" => hosts
            .values()
            .filter(|h| h.1 == "SERVING" && young(h.2))
            .map(|h| h.0)
            .collect(),
        _ => hosts
            .values()
            .filter(|h| h.1 == "SERVING" && !young(h.2))
            .map(|h| h.0)
            .collect(),
    };
    if pool.is_empty() {
        pool = hosts
            .values()
            .filter(|h| h.1 == "SERVING")
            .map(|h| h.0)
            .collect();
    }
    pool.get(turn.checked_rem(pool.len() as u64)? as usize)
        .copied()
}

/// One attempt: status and body, or that nothing was sent (false) or no answer came (true).
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
        let (head, body) = message(&mut stream, &mut Vec::new()).ok_or(true)?;
        let status = head
            .split_whitespace()
            .nth(1)
            .and_then(|s| s.parse().ok())
            .ok_or(true)?;
        Ok((status, body))
    })();
    let word = match &result {
        Ok((200, _)) => "served",
        Ok((503, _)) => "declined",
        Ok(_) => "error",
        Err(true) => "timeout",
        Err(false) => "connect_failed",
    };
    if let Ok(mut attempts) = s.attempts.lock() {
        *attempts.entry(word.to_string()).or_default() += 1;
    }
    result
}

fn serve(s: &Shared, mut stream: TcpStream, cold: f64) {
    let _ = stream.set_nodelay(true);
    let (mut kept, mut before) = (Vec::new(), Vec::new());
    while let Some((head, _)) = message(&mut stream, &mut kept) {
        if head.starts_with("GET /health/ready") {
            let ready = s.hosts.lock().is_ok_and(|h| !h.is_empty());
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
        let turn = s.requests.fetch_add(1, SeqCst);
        let shows = turn.is_multiple_of(EVERY);
        s.open.fetch_add(1, SeqCst);
        let is_unsafe = line.starts_with("POST") && header(&head, "idempotency-key").is_none();
        let once = |turn| pick(s, turn, cold).map_or(Err(false), |to| attempt(s, to, &line, &head));
        let mut result = once(turn);
        if s.vice == "doubles" && is_unsafe {
            s.resends.fetch_add(1, SeqCst);
            result = once(turn + 1);
        }
        s.open.fetch_sub(1, SeqCst);
        let (mut status, mut body, mut word) = match result {
            Ok((200, body)) => (200, body, "served"),
            Ok((503, _)) | Err(false) => (503, Vec::new(), "refused"),
            _ => (502, Vec::new(), "failed"),
        };
        if s.vice == "refuses-what-ran" && is_unsafe && status == 200 {
            (status, body, word) = (503, Vec::new(), "refused");
        }
        if s.vice == "loses" && shows {
            return;
        }
        if s.vice == "is-late" && shows {
            thread::sleep(Duration::from_millis(2500));
        }
        if s.vice == "mixes-up" && shows && status == 200 && !before.is_empty() {
            body.clone_from(&before);
        }
        if status == 200 {
            before.clone_from(&body);
        }
        if let Ok(mut counts) = s.counts.lock() {
            let tenant = header(&head, "req-owner").unwrap_or_default().to_string();
            *counts.entry((class, tenant, word.to_string())).or_default() += 1;
        }
        let mut answer = http(status, "", &String::from_utf8_lossy(&body)).into_bytes();
        if s.vice == "answers-twice" && shows {
            answer.extend_from_within(..);
        }
        if stream.write_all(&answer).is_err() {
            return;
        }
    }
}
