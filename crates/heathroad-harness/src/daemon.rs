//! Real daemon processes: written configurations, starts, signals, ends. No child outlives its
//! handle.

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::collections::VecDeque;
use std::io::{self, BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// A daemon that is not ready by then will not be.
const READY: Duration = Duration::from_secs(15);
/// Pause between two looks at a process.
const LOOK: Duration = Duration::from_millis(10);
/// Lines of its log that are kept.
const LOG_LINES: usize = 20;
/// Longest line of its output that is kept.
const MAX_LINE: usize = 1 << 20;
/// Clock ticks of the system's accounts, a second; Linux tells processes nothing else.
const TICKS: u64 = 100;

/// Writes what daemons of one fleet are told of it: `fleet.toml`, ending with what it says of
/// duties, and a key beside it.
pub fn write_fleet_files(
    folder: &Path,
    period_ms: u64,
    fence_unsure_after_ms: Option<u64>,
    duties: &str,
) -> io::Result<()> {
    let unsure = fence_unsure_after_ms
        .map(|ms| format!("fence_unsure_after_ms = {ms}\n"))
        .unwrap_or_default();
    let file = format!(
        "name = \"rehearsal\"\nkey_file = \"fleet.key\"\ntells_backends = true\nperiod_ms = {period_ms}\n{unsure}{duties}"
    );
    std::fs::write(
        folder.join("fleet.key"),
        "a key for rehearsals alone, of some length\n",
    )?;
    std::fs::write(folder.join("fleet.toml"), file)
}

/// What a process has used.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// CPU time, in microseconds.
    pub cpu_us: u64,
    /// Most memory that it held, in KiB.
    pub peak_kb: u64,
}

#[derive(Default)]
struct Heard {
    listens: Option<SocketAddr>,
    admin: Option<SocketAddr>,
    remote: Option<SocketAddr>,
    log: VecDeque<String>,
    ended: bool,
}

/// A daemon's process.
pub struct Daemon {
    child: Child,
    heard: Arc<Mutex<Heard>>,
    log: Option<JoinHandle<()>>,
    /// Reads standard output to its end and keeps the last line.
    out: Option<JoinHandle<String>>,
    /// Where callers connect.
    pub listen_address: SocketAddr,
    /// Where it tells its counts.
    pub admin_address: SocketAddr,
    /// Where it takes calls over JSON-RPC, if it does.
    pub jsonrpc_address: Option<SocketAddr>,
    file: PathBuf,
}

/// Starts `program` with a configuration, under its own limit on descriptors, and waits until it is
/// ready.
pub async fn start(
    program: &Path,
    file: &Path,
    config: &Value,
    sockets: u32,
) -> Result<Daemon, String> {
    let fail =
        |what: &str, e: &dyn std::fmt::Display| format!("{}: {what}: {e}", program.display());
    std::fs::write(file, config.to_string()).map_err(|e| fail("its configuration", &e))?;
    let mut child = Command::new("/bin/sh")
        .args(["-c", "ulimit -n \"$1\" && exec \"$0\""])
        .arg(program)
        .arg(sockets.to_string())
        .env("RELAY_CONFIG", file)
        .env_remove("RELAY_LISTEN")
        .env_remove("RELAY_DISCOVERY")
        .env_remove("RELAY_ADMIN")
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .map_err(|e| fail("no start", &e))?;
    let heard = Arc::<Mutex<Heard>>::default();
    let log = child.stderr.take().map(|stderr| {
        let heard = heard.clone();
        std::thread::spawn(move || follow(BufReader::new(stderr), &heard))
    });
    let out = child
        .stdout
        .take()
        .map(|stdout| std::thread::spawn(move || last_line(BufReader::new(stdout))));
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
    let file = file.to_path_buf();
    let mut daemon = Daemon {
        child,
        heard,
        log,
        out,
        listen_address: nowhere,
        admin_address: nowhere,
        jsonrpc_address: None,
        file,
    };
    match timeout(READY, daemon.ready()).await {
        Ok(Ok(())) => Ok(daemon),
        Ok(Err(e)) => Err(fail("did not get ready", &e)),
        Err(_) => Err(fail("did not get ready in time", &daemon.last_log())),
    }
}

fn follow(lines: impl BufRead, heard: &Mutex<Heard>) {
    for line in lines.lines().map_while(Result::ok) {
        let Ok(mut heard) = heard.lock() else { return };
        let address = |says| {
            line.split_once(says)
                .and_then(|(_, a): (&str, &str)| a.trim().parse().ok())
        };
        heard.listens = address("listening on ").or(heard.listens);
        heard.admin = address("admin on ").or(heard.admin);
        heard.remote = address("listener remote on ").or(heard.remote);
        if heard.log.len() == LOG_LINES {
            heard.log.pop_front();
        }
        heard.log.push_back(line);
    }
    if let Ok(mut heard) = heard.lock() {
        heard.ended = true;
    }
}

fn last_line(mut out: impl BufRead) -> String {
    let mut last = String::new();
    loop {
        let mut line = String::new();
        match out.by_ref().take(MAX_LINE as u64).read_line(&mut line) {
            Ok(0) | Err(_) => return last,
            Ok(_) => last = line,
        }
    }
}

impl Daemon {
    async fn ready(&mut self) -> Result<(), String> {
        loop {
            let (listens, admin, remote, ended) = match self.heard.lock() {
                Ok(h) => (h.listens, h.admin, h.remote, h.ended),
                Err(_) => return Err("its log can't be read".into()),
            };
            if let (Some(listens), Some(admin)) = (listens, admin) {
                (
                    self.listen_address,
                    self.admin_address,
                    self.jsonrpc_address,
                ) = (listens, admin, remote);
                if get(listens, "/health/ready")
                    .await
                    .is_ok_and(|(status, _)| status == 200)
                {
                    return Ok(());
                }
            } else if ended {
                return Err(self.last_log());
            }
            sleep(LOOK).await;
        }
    }

    fn last_log(&self) -> String {
        let log = self
            .heard
            .lock()
            .map(|h| h.log.iter().cloned().collect::<Vec<_>>().join(" | "));
        log.ok()
            .filter(|l| !l.is_empty())
            .unwrap_or_else(|| "it said nothing".into())
    }

    /// The number of its process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Whether it has ended, and how.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Kills it outright.
    pub fn kill(&mut self) {
        // One that has just ended needs no kill; the wait takes its remains away.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| io::Error::other("no such process"))?;
        Ok(kill_process(pid, signal)?)
    }

    /// Writes a new configuration and tells it to read that.
    pub fn reload(&self, config: &Value) -> io::Result<()> {
        std::fs::write(&self.file, config.to_string())?;
        self.signal(Signal::HUP)
    }

    /// Stalls it: it does nothing until it is woken.
    pub fn suspend(&self) -> io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets a stalled one go on.
    pub fn resume(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Tells it to stop as planned.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Waits until it has ended; kills it if that takes too long. Its last line on standard output,
    /// which tells its counts, and whether it ended by itself and well.
    pub async fn wait(mut self, most: Duration) -> (Option<Value>, bool) {
        let until = Instant::now() + most;
        let status = loop {
            match self.ended() {
                Some(status) => break Some(status),
                None if Instant::now() >= until => break None,
                None => sleep(LOOK).await,
            }
        };
        self.kill();
        let line = self
            .out
            .take()
            .and_then(|out| out.join().ok())
            .unwrap_or_default();
        (
            serde_json::from_str(&line).ok(),
            status.is_some_and(|s| s.success()),
        )
    }

    /// What it has used until now.
    pub fn usage(&self) -> Usage {
        usage(self.pid()).unwrap_or_default()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
        for thread in [self.log.take()].into_iter().flatten() {
            // Its pipe has ended with the process.
            let _ = thread.join();
        }
        let _ = std::fs::remove_file(&self.file);
    }
}

/// What a process has used, by the system's accounts (proc(5): /proc/PID/stat, fields 14 and 15;
/// VmHWM).
fn usage(pid: u32) -> Option<Usage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |i: usize| fields.get(i)?.parse::<u64>().ok();
    let cpu_us = (ticks(11)? + ticks(12)?) * (1_000_000 / TICKS);
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
    let peak_kb = peak.split_whitespace().next()?.parse().ok()?;
    Some(Usage { cpu_us, peak_kb })
}

/// A call to a daemon that takes longer is not coming to an end.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// A plain GET on a connection of its own.
pub async fn get(addr: SocketAddr, path: &str) -> io::Result<(u16, Vec<u8>)> {
    get_within(addr, path, REQUEST_TIMEOUT).await
}

/// The same where an answer may take so long.
pub async fn get_within(
    addr: SocketAddr,
    path: &str,
    most: Duration,
) -> io::Result<(u16, Vec<u8>)> {
    call(
        addr,
        format!("GET {path} HTTP/1.1\r\nHost: heathroad\r\n\r\n"),
        most,
    )
    .await
}

/// A plain POST on a connection of its own.
pub async fn post(addr: SocketAddr, path: &str, body: &str) -> io::Result<(u16, Vec<u8>)> {
    let length = body.len();
    let head =
        format!("POST {path} HTTP/1.1\r\nHost: heathroad\r\nContent-Length: {length}\r\n\r\n");
    call(addr, head + body, REQUEST_TIMEOUT).await
}

async fn call(addr: SocketAddr, request: String, most: Duration) -> io::Result<(u16, Vec<u8>)> {
    let call = async {
        let mut stream = TcpStream::connect(addr).await?;
        stream.write_all(request.as_bytes()).await?;
        let mut buffer = crate::http::Buffer::default();
        let response = buffer.response(&mut stream).await;
        response
            .map_err(|_| io::Error::other("no whole answer"))
            .map(|r| (r.status, r.body))
    };
    timeout(most, call)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}
