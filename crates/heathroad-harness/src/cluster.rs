//! A cluster of daemons with an emulated network and one backend, for tests. Daemons can be killed,
//! suspended and restarted with lost or outdated state, and links can fail.

use crate::clock::{Clock, Micros};
use crate::daemon::{self, Daemon};
use crate::emulator::network::Network;
use crate::http::{self, Buffer};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, timeout};

/// Time limit for an expected state.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);
/// Interval at which a state is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit for an admin request; an audit waits for unreachable members.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(9);
/// Time limit for a client request.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Time limit for a graceful shutdown.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Descriptor limit of each daemon.
const MAX_DESCRIPTORS: u32 = 256;

/// Configuration of a cluster.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// The routes file, `BACKEND` standing for the backend's address; a single pool if none.
    pub routes: Option<String>,
    /// Period of the membership protocol, in milliseconds.
    pub period_ms: u64,
    /// Time after which a proxy fences itself if it can't learn the required version.
    pub fence_unsure_after_ms: Option<u64>,
    /// Lease section of the fleet file.
    pub leases: String,
    /// Probation of a change, in milliseconds; 200 by default.
    pub probation_ms: Option<u64>,
}

/// A request that the backend received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendRequest {
    /// When it was received.
    pub at: Micros,
    /// The proxy that sent it, taken from the request id.
    pub proxy: u16,
    /// The configuration version that it was routed by.
    pub version: Option<String>,
}

/// Daemons, a network and a backend, all of which end when it is dropped.
pub struct Cluster {
    /// The network between the daemons.
    pub network: Network,
    /// The clock of the recorded requests.
    pub clock: Clock,
    daemons: Vec<Option<Daemon>>,
    backend_requests: Arc<Mutex<Vec<BackendRequest>>>,
    backend: SocketAddr,
    backend_task: JoinHandle<()>,
    hold: watch::Sender<bool>,
    program: PathBuf,
    folder: PathBuf,
    options: Options,
    calls: u64,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.daemons.clear();
        self.backend_task.abort();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

async fn serve(
    listener: TcpListener,
    clock: Clock,
    received: Arc<Mutex<Vec<BackendRequest>>>,
    held: watch::Receiver<bool>,
) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let (received, mut held) = (received.clone(), held.clone());
        tokio::spawn(async move {
            let mut buffer = Buffer::default();
            while let Ok(request) = buffer.request(&mut stream).await {
                let (at, proxy) = (clock.now(), (request.id.unwrap_or(0) >> 32) as u16);
                if let Ok(mut received) = received.lock() {
                    received.push(BackendRequest {
                        at,
                        proxy,
                        version: request.version,
                    });
                }
                let hold = *held.borrow_and_update();
                let waited = !hold || held.wait_for(|hold| !hold).await.is_ok();
                if !waited
                    || stream
                        .write_all(&http::encode_response(200, "", "done"))
                        .await
                        .is_err()
                {
                    return;
                }
            }
        });
    }
}

fn write_files(folder: &Path, options: &Options) -> std::io::Result<()> {
    daemon::write_fleet_files(
        folder,
        options.period_ms,
        options.fence_unsure_after_ms,
        &options.leases,
    )
}

impl Cluster {
    /// Starts `proxies` daemons at the same time and waits until all are ready.
    pub async fn start_all(
        program: &Path,
        proxies: u16,
        seed: u64,
        options: Options,
    ) -> Result<Cluster, String> {
        println!("fleet of {proxies}, seed {seed}");
        let clock = Clock::starting_in(Duration::ZERO);
        let ip = crate::runner::unique_loopback_network();
        let network =
            Network::start(ip, proxies, seed, clock).map_err(|e| format!("network: {e}"))?;
        let name = format!(
            "heathroad-membership-{}-{:x}",
            std::process::id(),
            fastrand::Rng::new().u32(..)
        );
        let folder = std::env::temp_dir().join(name);
        let made = std::fs::create_dir(&folder).and_then(|()| write_files(&folder, &options));
        made.map_err(|e| format!("{}: {e}", folder.display()))?;
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .map_err(|e| format!("backend: {e}"))?;
        let backend = listener.local_addr().map_err(|e| format!("backend: {e}"))?;
        let received = Arc::<Mutex<Vec<BackendRequest>>>::default();
        let hold = watch::Sender::new(false);
        let task = tokio::spawn(serve(listener, clock, received.clone(), hold.subscribe()));
        let daemons = (0..proxies).map(|_| None).collect();
        let program = program.to_path_buf();
        let mut cluster = Cluster {
            network,
            clock,
            daemons,
            backend_requests: received,
            backend,
            backend_task: task,
            hold,
            program,
            folder,
            options,
            calls: 0,
        };
        if let Some(routes) = &cluster.options.routes {
            let text = cluster.routes(routes);
            std::fs::write(cluster.folder.join("routes.toml"), text).map_err(|e| e.to_string())?;
        }
        // Concurrently, since a daemon may wait for a majority before it is ready.
        let mut starting = JoinSet::new();
        for proxy in 0..proxies {
            let (program, file, config) = cluster.launch(proxy)?;
            starting.spawn(async move {
                (
                    proxy,
                    daemon::start(&program, &file, &config, MAX_DESCRIPTORS).await,
                )
            });
        }
        while let Some(started) = starting.join_next().await {
            let (proxy, daemon) = started.map_err(|e| e.to_string())?;
            cluster.daemons[usize::from(proxy)] = Some(daemon?);
        }
        Ok(cluster)
    }

    /// Returns the text of a routes file with the backend's address filled in.
    pub fn routes(&self, text: &str) -> String {
        text.replace("BACKEND", &self.backend.to_string())
    }

    fn state(&self, proxy: u16) -> PathBuf {
        self.folder.join(format!("state-{proxy}"))
    }

    fn config(&self, proxy: u16) -> Value {
        let path = |name: &str| self.folder.join(name).display().to_string();
        let routes = self.options.routes.as_ref().map(|_| path("routes.toml"));
        let peers: Vec<String> = self
            .network
            .peers(proxy)
            .iter()
            .map(ToString::to_string)
            .collect();
        json!({
            "name": format!("proxy-{proxy}"), "listen": "127.0.0.1:0", "admin": "127.0.0.1:0",
            // No registry listens here: the last known list names the backend.
            "discovery": "127.0.0.1:9", "seed": format!("{:x}", self.network.seed.wrapping_add(u64::from(proxy))),
            "limits": {"cores": 1.0, "memory_mb": 32, "sockets": MAX_DESCRIPTORS},
            "peer_listen": self.network.listen_address(proxy).to_string(), "peers": peers,
            "fleet": path("fleet.toml"), "state": self.state(proxy).display().to_string(),
            "routes": routes, "probation_ms": self.options.probation_ms.unwrap_or(200),
            "known": {"seq": 1, "whole": true, "hosts": [{"host": "b", "dial": self.backend.to_string(), "site": "a",
                "class": "", "block": 0, "health": "SERVING", "share": 1.0, "born_ms": 0}]},
            "settings": {
                "slotNo": proxy, "peersTotal": self.daemons.len(), "tier": 0, "locality": 0, "localities": ["a"],
                "tick": 5.0, "overShareWorth": 0.05, "discovery": "automatic", "tenants": [],
                "classes": [{"name": "look", "aim": 1000.0, "giveUp": 4000.0, "points": 1.0, "semantics": "retryable",
                    "group": "all", "window": 0.0}],
                "caps": {"cancelling": true, "mayDuplicate": true, "retryAfter": true, "maxRetryAfter": 1000.0,
                    "tryLimit": 6, "openCap": 20_000, "connIdle": 15_000.0, "connectTimeout": 250.0},
                "guarantees": {"coldFrom": 0.2, "cold": 1000.0, "fallMultiple": 3.0, "fall": 2000.0,
                    "stopSendingWithin": 500.0, "graceToAnswer": 50.0}}
        })
    }

    /// Returns the program, the configuration file and the configuration of a daemon.
    fn launch(&self, proxy: u16) -> Result<(PathBuf, PathBuf, Value), String> {
        let (state, file) = (
            self.state(proxy),
            self.folder.join(format!("proxy-{proxy}.json")),
        );
        if !state.exists() {
            std::fs::create_dir(&state).map_err(|e| e.to_string())?;
        }
        Ok((self.program.clone(), file, self.config(proxy)))
    }

    /// Starts a daemon with its stored state.
    pub async fn start(&mut self, proxy: u16) -> Result<(), String> {
        let (program, file, config) = self.launch(proxy)?;
        let daemon = daemon::start(&program, &file, &config, MAX_DESCRIPTORS).await?;
        self.daemons[usize::from(proxy)] = Some(daemon);
        Ok(())
    }

    /// Replaces the lease section of the fleet file; daemons read it when they start.
    pub fn set_leases(&mut self, leases: String) -> Result<(), String> {
        self.options.leases = leases;
        write_files(&self.folder, &self.options).map_err(|e| e.to_string())
    }

    /// Asks a daemon to release a lease.
    pub async fn release_lease(&self, proxy: u16, lease: &str) -> Result<(), String> {
        let path = format!("/duty/resign?name={lease}");
        let response = daemon::post(self.daemon(proxy)?.admin_address, &path, "")
            .await
            .map_err(|e| e.to_string())?;
        if response.0 == 200 {
            Ok(())
        } else {
            Err(String::from_utf8_lossy(&response.1).into_owned())
        }
    }

    /// Returns the process of a daemon.
    pub fn daemon(&self, proxy: u16) -> Result<&Daemon, String> {
        let daemon = self.daemons[usize::from(proxy)].as_ref();
        daemon.ok_or_else(|| format!("proxy {proxy} is not running"))
    }

    /// Kills a daemon.
    pub fn kill(&mut self, proxy: u16) {
        self.daemons[usize::from(proxy)] = None;
    }

    /// Shuts a daemon down gracefully.
    pub async fn stop(&mut self, proxy: u16) -> Result<(), String> {
        let Some(daemon) = self.daemons[usize::from(proxy)].take() else {
            return Ok(());
        };
        daemon.terminate().map_err(|e| e.to_string())?;
        let (_, graceful) = daemon.wait(STOP_TIMEOUT).await;
        if graceful {
            Ok(())
        } else {
            Err(format!("proxy {proxy} did not shut down gracefully"))
        }
    }

    /// Deletes the stored state of a daemon.
    pub fn delete_state(&self, proxy: u16) -> std::io::Result<()> {
        std::fs::remove_dir_all(self.state(proxy))
    }

    /// Copies the stored state of a daemon.
    pub fn copy_state(&self, proxy: u16) -> std::io::Result<Vec<(PathBuf, Vec<u8>)>> {
        let mut copy = Vec::new();
        for entry in std::fs::read_dir(self.state(proxy))? {
            let path = entry?.path();
            copy.push((path.clone(), std::fs::read(path)?));
        }
        Ok(copy)
    }

    /// Replaces the stored state of a daemon by an earlier copy.
    pub fn restore_state(&self, proxy: u16, copy: &[(PathBuf, Vec<u8>)]) -> std::io::Result<()> {
        self.delete_state(proxy)?;
        std::fs::create_dir(self.state(proxy))?;
        copy.iter()
            .try_for_each(|(path, bytes)| std::fs::write(path, bytes))
    }

    /// Sends a GET request to a daemon's admin address and returns the JSON response.
    pub async fn query(&self, proxy: u16, path: &str) -> Result<Value, String> {
        let admin = self.daemon(proxy)?.admin_address;
        let (status, body) = daemon::get_within(admin, path, ADMIN_TIMEOUT)
            .await
            .map_err(|e| format!("{path}: {e}"))?;
        if status != 200 {
            return Err(format!(
                "{path}: {status}: {}",
                String::from_utf8_lossy(&body)
            ));
        }
        serde_json::from_slice(&body).map_err(|e| format!("{path}: {e}"))
    }

    /// Waits until the response to an admin request satisfies `wanted`.
    pub async fn wait_until(
        &self,
        proxy: u16,
        path: &str,
        wanted: impl Fn(&Value) -> bool,
    ) -> Result<Value, String> {
        let mut last = Err("no response".into());
        let poll = async {
            loop {
                last = self.query(proxy, path).await;
                if let Ok(response) = &last
                    && wanted(response)
                {
                    return response.clone();
                }
                sleep(POLL_INTERVAL).await;
            }
        };
        match timeout(WAIT_TIMEOUT, poll).await {
            Ok(response) => Ok(response),
            Err(_) => Err(format!(
                "{path} of proxy {proxy} did not reach the expected state: {last:?}"
            )),
        }
    }

    /// Waits until a daemon reports the given standing of another member.
    pub async fn wait_for_standing(
        &self,
        proxy: u16,
        other: u16,
        standing: &str,
    ) -> Result<Value, String> {
        let stands = |r: &Value| r["members"][usize::from(other)]["standing"] == standing;
        self.wait_until(proxy, "/fleet/members", stands).await
    }

    /// Waits until all running daemons report each other as alive.
    pub async fn wait_for_all_alive(&self) -> Result<(), String> {
        let running: Vec<u16> = (0..self.daemons.len() as u16)
            .filter(|p| self.daemon(*p).is_ok())
            .collect();
        for at in &running {
            for of in &running {
                self.wait_for_standing(*at, *of, "alive").await?;
            }
        }
        Ok(())
    }

    /// Sends a client request to a daemon and returns the status.
    pub async fn call(&mut self, proxy: u16) -> Result<u16, String> {
        self.start_call(proxy)?.await
    }

    /// Like [`Cluster::call`], but returns a future that doesn't borrow the cluster.
    pub fn start_call(
        &mut self,
        proxy: u16,
    ) -> Result<impl Future<Output = Result<u16, String>> + use<>, String> {
        self.calls += 1;
        let (id, at) = (
            u64::from(proxy) << 32 | self.calls,
            self.daemon(proxy)?.listen_address,
        );
        let call = async move {
            let mut stream = TcpStream::connect(at).await?;
            let head = format!(
                "GET /look HTTP/1.1\r\nHost: x\r\nReq-Id: {id:016x}\r\nReq-Deadline-Ms: 4000\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).await?;
            let answer = Buffer::default().response(&mut stream).await;
            answer
                .map(|a| a.status)
                .map_err(|_| std::io::Error::other("incomplete response"))
        };
        Ok(async {
            let done = timeout(CALL_TIMEOUT, call).await;
            done.map_err(|_| "no response in time".to_string())?
                .map_err(|e| e.to_string())
        })
    }

    /// Applies new routes at a daemon and waits until the change is completed.
    pub async fn apply(&self, proxy: u16, text: &str) -> Result<(), String> {
        self.propose(proxy, "/config/apply", text).await
    }

    /// Like [`Cluster::apply`], required of all members `within_ms` after the commit.
    pub async fn apply_by(&self, proxy: u16, text: &str, within_ms: u64) -> Result<(), String> {
        self.propose(
            proxy,
            &format!("/config/apply?required_ms={within_ms}"),
            text,
        )
        .await
    }

    async fn propose(&self, proxy: u16, path: &str, text: &str) -> Result<(), String> {
        let admin = self.daemon(proxy)?.admin_address;
        let response = daemon::post(admin, path, &self.routes(text))
            .await
            .map_err(|e| e.to_string())?;
        if response.0 != 200 {
            return Err(String::from_utf8_lossy(&response.1).into_owned());
        }
        self.wait_until(proxy, "/config/status", |s| s["open"].is_null())
            .await
            .map(drop)
    }

    /// Makes the backend hold its responses, or send all of them.
    pub fn hold_responses(&self, hold: bool) {
        self.hold.send_replace(hold);
    }

    /// Returns the requests that the backend has received.
    pub fn backend_requests(&self) -> Vec<BackendRequest> {
        self.backend_requests
            .lock()
            .map(|n| n.clone())
            .unwrap_or_default()
    }
}
