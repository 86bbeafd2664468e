//! What is measured: the daemon, or the yardstick, as a process of this program with an allocator
//! that counts. Each line that comes on its standard input is answered on standard output by what
//! was allocated until then.

use crate::bare;
use crate::case::{Case, Way};
use crate::node::Nodes;
use rustix::thread::{CpuSet, Pid, sched_getaffinity, sched_setaffinity};
use serde_json::{Value, json};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;
use std::io::{BufRead, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{ExitCode, Stdio};
use std::sync::OnceLock;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::TcpStream;
use tokio::process::{Child, ChildStderr, ChildStdin, ChildStdout, Command};
use tokio::time::timeout;

#[global_allocator]
static COUNTED: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Names what a process of this program is to be; none is the measuring one.
const BE: &str = "HEATHROAD_COST_SUBJECT";
/// The yardstick's backends.
const NODES: &str = "HEATHROAD_COST_NODES";
/// A program, with its arguments, that subjects are run under: one that counts instructions, say.
const UNDER: &str = "HEATHROAD_COST_UNDER";
/// The processors that this process began with.
static ALLOWED: OnceLock<Option<CpuSet>> = OnceLock::new();
/// What should come comes by then.
const SOON: Duration = Duration::from_secs(20);

/// Where this process is a subject, it is that until its end.
pub fn be_one() -> Option<ExitCode> {
    let subject = std::env::var(BE).ok()?;
    std::thread::spawn(|| {
        for line in std::io::stdin().lock().lines() {
            let s = COUNTED.stats();
            let told = [s.allocations + s.reallocations, s.bytes_allocated];
            let mut out = std::io::stdout().lock();
            if line.is_err()
                || writeln!(out, "{} {}", told[0], told[1])
                    .and_then(|()| out.flush())
                    .is_err()
            {
                break;
            }
        }
        // Whoever measured is gone.
        std::process::exit(0);
    });
    if subject == "daemon" {
        return Some(heathroad::main());
    }
    let nodes = std::env::var(NODES).unwrap_or_default();
    let nodes = nodes.split(',').filter_map(|n| n.parse().ok()).collect();
    Some(
        match bare::serve(nodes, |at| eprintln!("listening on {at}")) {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                eprintln!("bare: {e}");
                ExitCode::FAILURE
            }
        },
    )
}

/// A subject that runs.
pub struct Subject {
    /// Where callers go.
    pub at: SocketAddr,
    admin: Option<SocketAddr>,
    child: Child,
    tell: ChildStdin,
    told: Lines<BufReader<ChildStdout>>,
    files: Vec<PathBuf>,
    _log: Lines<BufReader<ChildStderr>>,
}

/// What a subject has used until now.
#[derive(Debug, Default, Clone)]
pub struct Used {
    /// Allocations, and those made larger.
    pub allocations: u64,
    /// Their bytes.
    pub bytes: u64,
    /// CPU time, in nanoseconds.
    pub cpu_ns: u64,
    /// The daemon's own figures.
    pub effort: Vec<(String, u64)>,
    /// Most memory that it ever held, in KiB.
    pub peak_kb: u64,
}

impl Drop for Subject {
    fn drop(&mut self) {
        // The process ends with its standard input; what can't be removed was not written.
        self.files
            .iter()
            .for_each(|f| drop(std::fs::remove_file(f)));
    }
}

/// Wanted within the one, given up after the other, in milliseconds: nothing is turned away for its
/// time.
pub const LONG: [f64; 2] = [20_000.0, 60_000.0];

fn settings([aim, give_up]: [f64; 2]) -> Value {
    let class = |name: &str, semantics: &str| {
        json!({"name": name, "aim": aim, "giveUp": give_up, "points": 1.0, "lateWorth": 0.0,
               "semantics": semantics, "group": "all", "window": 60_000.0})
    };
    json!({
        "slotNo": 0, "peersTotal": 1, "tier": 0, "locality": 0, "localities": ["a"], "tick": 5.0,
        "overShareWorth": 0.05, "discovery": "automatic", "tenants": [{"name": "acme", "quotaPerS": 1e6}],
        "classes": [class("look", "retryable"), class("keep", "dedup"), class("once", "fragile")],
        "caps": {"cancelling": true, "mayDuplicate": true, "retryAfter": true, "maxRetryAfter": 1000.0,
                 "tryLimit": 6, "openCap": 20_000, "connIdle": 60_000.0, "connectTimeout": 2000.0},
        "guarantees": {"coldFrom": 0.1, "cold": 9000.0, "fallMultiple": 3.0, "fall": 1000.0,
                       "stopSendingWithin": 500.0, "graceToAnswer": 20.0}
    })
}

/// The processor that a subject has for itself: the last one that this process may use, where there
/// are four or more.
fn own_processor() -> Option<usize> {
    let set = ALLOWED
        .get_or_init(|| sched_getaffinity(None).ok())
        .as_ref()?;
    let usable = || (0..CpuSet::MAX_CPU).filter(|cpu| set.is_set(*cpu));
    usable().next_back().filter(|_| usable().count() >= 4)
}

/// Callers and backends keep to the other processors. Threads that begin later, and those alone, do
/// the same.
pub fn measure_beside() -> Result<(), String> {
    let Some(last) = own_processor() else {
        return Ok(());
    };
    let mut set = sched_getaffinity(None).map_err(|e| e.to_string())?;
    set.unset(last);
    sched_setaffinity(None, &set).map_err(|e| format!("processors: {e}"))
}

fn start(be: &str, (name, value): (&str, &str)) -> Result<Child, String> {
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    let under = std::env::var(UNDER).unwrap_or_default();
    let mut words = under.split_whitespace();
    let mut command = match words.next() {
        None => Command::new(own),
        Some(program) => {
            let mut command = Command::new(program);
            command.args(words).arg(own);
            command
        }
    };
    command
        .env(BE, be)
        .env_remove("RELAY_LISTEN")
        .env_remove("RELAY_ADMIN")
        .env_remove("RELAY_DISCOVERY");
    command
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let child = command
        .env(name, value)
        .spawn()
        .map_err(|e| format!("{be}: {e}"))?;
    // A processor of its own, where there are enough: see `measure_beside`.
    let pid = child.id().and_then(|id| Pid::from_raw(id as i32));
    if let (Some(last), Some(pid)) = (own_processor(), pid) {
        let mut set = CpuSet::new();
        set.set(last);
        sched_setaffinity(Some(pid), &set).map_err(|e| format!("{be}: its processor: {e}"))?;
    }
    Ok(child)
}

async fn address(
    log: &mut Lines<BufReader<ChildStderr>>,
    says: &str,
) -> Result<SocketAddr, String> {
    let find = async {
        while let Some(line) = log.next_line().await.map_err(|e| e.to_string())? {
            if let Some((_, at)) = line.split_once(says) {
                return at.parse().map_err(|e| format!("{line}: {e}"));
            }
        }
        Err(format!("it ended before it said `{says}`"))
    };
    timeout(SOON, find)
        .await
        .map_err(|_| format!("it never said `{says}`"))?
}

impl Subject {
    /// Starts the daemon for a case whose requests are wanted and given up by these times.
    pub async fn daemon(case: &Case, nodes: &Nodes, times: [f64; 2]) -> Result<Subject, String> {
        let name = format!(
            "heathroad-bench-{}-{}",
            std::process::id(),
            nodes.registry.port()
        );
        let [file, routes] =
            ["json", "toml"].map(|e| std::env::temp_dir().join(format!("{name}.{e}")));
        let write = |f: &PathBuf, text: &str| {
            std::fs::write(f, text).map_err(|e| format!("{}: {e}", f.display()))
        };
        let mut config = json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": nodes.registry.to_string(),
            "admin": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "settings": settings(times),
            "limits": {"cores": 1.0, "memory_mb": 1024, "sockets": 16_384}});
        if let Some(text) = case.routes(&nodes.at) {
            write(&routes, &text)?;
            config["routes"] = routes.display().to_string().into();
        }
        if case.budget {
            config["budget"] = json!({"name": "gate", "inner": [], "lends": false});
        }
        let [fleet, key] =
            ["fleet", "key"].map(|e| std::env::temp_dir().join(format!("{name}.{e}")));
        if case.fleet {
            // Its one fellow is never there: what it asks of that one is next to nothing beside the
            // requests.
            write(&key, "a key that nobody else has")?;
            write(
                &fleet,
                &format!(
                    "name = \"cost\"\nkey_file = {:?}\n",
                    key.display().to_string()
                ),
            )?;
            config["fleet"] = fleet.display().to_string().into();
            config["peer_listen"] = "127.0.0.1:0".into();
            config["peers"] = json!(["127.0.0.1:9", "127.0.0.1:9"]);
        }
        write(&file, &config.to_string())?;
        let child = start("daemon", ("RELAY_CONFIG", &file.display().to_string()))?;
        let mut subject = Subject::of(child, vec![file, routes, fleet, key])?;
        if case.way == Way::Rpc {
            subject.at = address(&mut subject._log, "listener calls on ").await?;
        }
        let http = address(&mut subject._log, "listening on ").await?;
        if case.way != Way::Rpc {
            subject.at = http;
        }
        subject.admin = Some(address(&mut subject._log, "admin on ").await?);
        subject.ready(http).await?;
        Ok(subject)
    }

    /// Starts the yardstick.
    pub async fn bare(nodes: &Nodes) -> Result<Subject, String> {
        let list: Vec<String> = nodes.at.iter().map(SocketAddr::to_string).collect();
        let child = start("bare", (NODES, &list.join(",")))?;
        let mut subject = Subject::of(child, Vec::new())?;
        subject.at = address(&mut subject._log, "listening on ").await?;
        Ok(subject)
    }

    fn of(mut child: Child, files: Vec<PathBuf>) -> Result<Subject, String> {
        let (Some(tell), Some(out), Some(log)) =
            (child.stdin.take(), child.stdout.take(), child.stderr.take())
        else {
            return Err("its streams are not there".into());
        };
        let (told, log) = (BufReader::new(out).lines(), BufReader::new(log).lines());
        let at = SocketAddr::from(([127, 0, 0, 1], 0));
        Ok(Subject {
            at,
            admin: None,
            child,
            tell,
            told,
            files,
            _log: log,
        })
    }

    async fn ready(&self, http: SocketAddr) -> Result<(), String> {
        let wait = async {
            while !get(http, "/health/ready")
                .await
                .is_ok_and(|(status, _)| status == 200)
            {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(SOON, wait)
            .await
            .map_err(|_| "it is not ready".to_string())
    }

    /// What it has used until now.
    pub async fn used(&mut self) -> Result<Used, String> {
        let mut used = Used::default();
        if let Some(admin) = self.admin {
            let (_, body) = get(admin, "/counts").await?;
            let counts: Value = serde_json::from_str(&body).map_err(|e| format!("/counts: {e}"))?;
            let effort = counts["effort"].as_object().ok_or("/counts: no effort")?;
            used.effort = effort
                .iter()
                .filter_map(|(name, n)| Some((name.clone(), n.as_u64()?)))
                .collect();
        }
        self.tell
            .write_all(b"\n")
            .await
            .map_err(|e| e.to_string())?;
        let line = timeout(SOON, self.told.next_line())
            .await
            .map_err(|_| "it tells nothing")?;
        let line = line.map_err(|e| e.to_string())?.ok_or("it ended")?;
        let figures: Vec<u64> = line.split(' ').filter_map(|n| n.parse().ok()).collect();
        let [allocations, bytes] = figures[..] else {
            return Err(format!("it told {line:?}"));
        };
        (used.allocations, used.bytes) = (allocations, bytes);
        let id = self.child.id().ok_or("it ended")?;
        let tasks = std::fs::read_dir(format!("/proc/{id}/task")).map_err(|e| e.to_string())?;
        for task in tasks.flatten() {
            let stat = std::fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
            used.cpu_ns += stat
                .split(' ')
                .next()
                .and_then(|n| n.parse::<u64>().ok())
                .unwrap_or(0);
        }
        let status =
            std::fs::read_to_string(format!("/proc/{id}/status")).map_err(|e| e.to_string())?;
        let peak = status.lines().find_map(|l| {
            l.strip_prefix("VmHWM:")?
                .trim()
                .strip_suffix(" kB")?
                .parse()
                .ok()
        });
        used.peak_kb = peak.unwrap_or(0);
        Ok(used)
    }
}

/// Asks once, on a connection of its own; the status and the body.
async fn get(at: SocketAddr, path: &str) -> Result<(u16, String), String> {
    let ask = async {
        let mut stream = TcpStream::connect(at).await?;
        let request = format!("GET {path} HTTP/1.1\r\nHost: cost\r\nConnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        Ok::<_, std::io::Error>(answer)
    };
    let answer = timeout(SOON, ask)
        .await
        .map_err(|_| format!("{path}: no answer in time"))?;
    let answer = answer.map_err(|e| format!("{path}: {e}"))?;
    let status = answer
        .get(9..12)
        .and_then(|s| s.parse().ok())
        .ok_or(format!("{path}: no status"))?;
    let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    Ok((status, body.to_string()))
}
