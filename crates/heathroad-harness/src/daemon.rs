//! Real daemon processes: configuration files, start, signals and termination. A process is killed
//! when its handle is dropped.

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

/// Time limit for a daemon to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval at which a process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Number of log lines kept for error messages.
const LOG_LINES: usize = 20;
/// Maximum length of a line of standard output, in bytes.
const MAX_LINE_BYTES: usize = 1 << 20;
/// Clock ticks per second of /proc/PID/stat on Linux.
const TICKS_PER_SECOND: u64 = 100;

/// Writes `fleet.toml`, ending with the section `duties`, and the fleet's key file.
pub fn write_fleet_files(
    folder: &Path,
    period_ms: u64,
    fence_unsure_after_ms: Option<u64>,
    duties: &str,
) -> io::Result<()> {
    let fence_setting = fence_unsure_after_ms
        .map(|ms| format!("fence_unsure_after_ms = {ms}\n"))
        .unwrap_or_default();
    let file = format!(
        "name = \"rehearsal\"\nkey_file = \"fleet.key\"\ntells_backends = true\nperiod_ms = {period_ms}\n{fence_setting}{duties}"
    );
    std::fs::write(
        folder.join("fleet.key"),
        "a key for rehearsals alone, of some length\n",
    )?;
    std::fs::write(folder.join("fleet.toml"), file)
}

/// Resource usage of a process.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// CPU time, in microseconds.
    pub cpu_us: u64,
    /// Peak resident memory, in KiB.
    pub peak_kb: u64,
}

#[derive(Default)]
struct Output {
    listens: Option<SocketAddr>,
    admin: Option<SocketAddr>,
    remote: Option<SocketAddr>,
    log: VecDeque<String>,
    ended: bool,
}

/// A daemon process.
pub struct Daemon {
    child: Child,
    output: Arc<Mutex<Output>>,
    log: Option<JoinHandle<()>>,
    /// Returns the last line of standard output.
    stdout_reader: Option<JoinHandle<String>>,
    /// Address for clients.
    pub listen_address: SocketAddr,
    /// Admin address.
    pub admin_address: SocketAddr,
    /// Address of the JSON-RPC listener, if there is one.
    pub jsonrpc_address: Option<SocketAddr>,
    file: PathBuf,
}

/// Starts `program` with a configuration and a limit of `sockets` descriptors, and waits until it
/// is ready.
pub async fn start(
    program: &Path,
    file: &Path,
    config: &Value,
    sockets: u32,
) -> Result<Daemon, String> {
    let error =
        |what: &str, e: &dyn std::fmt::Display| format!("{}: {what}: {e}", program.display());
    std::fs::write(file, config.to_string())
        .map_err(|e| error("cannot write the configuration", &e))?;
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
        .map_err(|e| error("cannot start", &e))?;
    let output = Arc::<Mutex<Output>>::default();
    let log = child.stderr.take().map(|stderr| {
        let output = output.clone();
        std::thread::spawn(move || read_log(BufReader::new(stderr), &output))
    });
    let stdout_reader = child
        .stdout
        .take()
        .map(|stdout| std::thread::spawn(move || last_line(BufReader::new(stdout))));
    let unknown = SocketAddr::from(([127, 0, 0, 1], 0));
    let file = file.to_path_buf();
    let mut daemon = Daemon {
        child,
        output,
        log,
        stdout_reader,
        listen_address: unknown,
        admin_address: unknown,
        jsonrpc_address: None,
        file,
    };
    match timeout(READY_TIMEOUT, daemon.ready()).await {
        Ok(Ok(())) => Ok(daemon),
        Ok(Err(e)) => Err(error("exited before it was ready", &e)),
        Err(_) => Err(error("was not ready in time", &daemon.last_log())),
    }
}

fn read_log(lines: impl BufRead, output: &Mutex<Output>) {
    for line in lines.lines().map_while(Result::ok) {
        let Ok(mut output) = output.lock() else {
            return;
        };
        let address = |prefix| {
            line.split_once(prefix)
                .and_then(|(_, a): (&str, &str)| a.trim().parse().ok())
        };
        output.listens = address("listening on ").or(output.listens);
        output.admin = address("admin on ").or(output.admin);
        output.remote = address("listener remote on ").or(output.remote);
        if output.log.len() == LOG_LINES {
            output.log.pop_front();
        }
        output.log.push_back(line);
    }
    if let Ok(mut output) = output.lock() {
        output.ended = true;
    }
}

fn last_line(mut stdout_reader: impl BufRead) -> String {
    let mut last = String::new();
    loop {
        let mut line = String::new();
        match stdout_reader
            .by_ref()
            .take(MAX_LINE_BYTES as u64)
            .read_line(&mut line)
        {
            Ok(0) | Err(_) => return last,
            Ok(_) => last = line,
        }
    }
}

impl Daemon {
    async fn ready(&mut self) -> Result<(), String> {
        loop {
            let (listens, admin, remote, ended) = match self.output.lock() {
                Ok(h) => (h.listens, h.admin, h.remote, h.ended),
                Err(_) => return Err("cannot read its log".into()),
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
            sleep(POLL_INTERVAL).await;
        }
    }

    fn last_log(&self) -> String {
        let log = self
            .output
            .lock()
            .map(|h| h.log.iter().cloned().collect::<Vec<_>>().join(" | "));
        log.ok()
            .filter(|l| !l.is_empty())
            .unwrap_or_else(|| "no log output".into())
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the exit status once the process has ended.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Kills the process (SIGKILL) and waits for its end.
    pub fn kill(&mut self) {
        // Fails if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| io::Error::other("no such process"))?;
        Ok(kill_process(pid, signal)?)
    }

    /// Writes a new configuration and reloads it (SIGHUP).
    pub fn reload(&self, config: &Value) -> io::Result<()> {
        std::fs::write(&self.file, config.to_string())?;
        self.signal(Signal::HUP)
    }

    /// Suspends the process (SIGSTOP).
    pub fn suspend(&self) -> io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Resumes a suspended process (SIGCONT).
    pub fn resume(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Requests a graceful shutdown (SIGTERM).
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Waits up to `time_limit` for the process to end, then kills it. Returns the counts on the last line
    /// of its standard output, and whether it exited successfully.
    pub async fn wait(mut self, time_limit: Duration) -> (Option<Value>, bool) {
        let until = Instant::now() + time_limit;
        let status = loop {
            match self.ended() {
                Some(status) => break Some(status),
                None if Instant::now() >= until => break None,
                None => sleep(POLL_INTERVAL).await,
            }
        };
        self.kill();
        let line = self
            .stdout_reader
            .take()
            .and_then(|thread| thread.join().ok())
            .unwrap_or_default();
        (
            serde_json::from_str(&line).ok(),
            status.is_some_and(|s| s.success()),
        )
    }

    /// Returns the resource usage so far.
    pub fn usage(&self) -> Usage {
        usage(self.pid()).unwrap_or_default()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
        for thread in [self.log.take()].into_iter().flatten() {
            // The thread ends when the process closes the pipe.
            let _ = thread.join();
        }
        let _ = std::fs::remove_file(&self.file);
    }
}

/// Reads the usage of a process from /proc (see proc(5): stat fields 14 and 15, VmHWM).
fn usage(pid: u32) -> Option<Usage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |i: usize| fields.get(i)?.parse::<u64>().ok();
    let cpu_us = (ticks(11)? + ticks(12)?) * (1_000_000 / TICKS_PER_SECOND);
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
    let peak_kb = peak.split_whitespace().next()?.parse().ok()?;
    Some(Usage { cpu_us, peak_kb })
}

/// Time limit for requests to a daemon.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends a GET request on a new connection.
pub async fn get(addr: SocketAddr, path: &str) -> io::Result<(u16, Vec<u8>)> {
    get_within(addr, path, REQUEST_TIMEOUT).await
}

/// Sends a GET request with a time limit of `time_limit`.
pub async fn get_within(
    addr: SocketAddr,
    path: &str,
    time_limit: Duration,
) -> io::Result<(u16, Vec<u8>)> {
    call(
        addr,
        format!("GET {path} HTTP/1.1\r\nHost: heathroad\r\n\r\n"),
        time_limit,
    )
    .await
}

/// Sends a POST request on a new connection.
pub async fn post(addr: SocketAddr, path: &str, body: &str) -> io::Result<(u16, Vec<u8>)> {
    let length = body.len();
    let head =
        format!("POST {path} HTTP/1.1\r\nHost: heathroad\r\nContent-Length: {length}\r\n\r\n");
    call(addr, head + body, REQUEST_TIMEOUT).await
}

async fn call(
    addr: SocketAddr,
    request: String,
    time_limit: Duration,
) -> io::Result<(u16, Vec<u8>)> {
    let call = async {
        let mut stream = TcpStream::connect(addr).await?;
        stream.write_all(request.as_bytes()).await?;
        let mut buffer = crate::http::Buffer::default();
        let response = buffer.response(&mut stream).await;
        response
            .map_err(|_| io::Error::other("incomplete response"))
            .map(|r| (r.status, r.body))
    };
    timeout(time_limit, call)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}
