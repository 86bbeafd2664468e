//! Several daemons of one fleet with the kit's network between them, for plain tests: killed,
//! stalled, restarted with nothing or with an old copy of their state, their ways cut or spoilt;
//! and what one backend saw of what they did.

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

/// What must come, comes within this.
const LONG: Duration = Duration::from_secs(90);
/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(50);
/// An audit may take so long where some do not answer.
const ANSWER: Duration = Duration::from_secs(9);
/// A call is given up after this.
const CALL: Duration = Duration::from_secs(30);
/// A planned stop takes no longer.
const STOP: Duration = Duration::from_secs(10);
/// Descriptors of each.
const SOCKETS: u32 = 256;

/// How a fleet is.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// Routes and pools, as the text of their file, `BACKEND` standing for the backend's address;
    /// else each has one pool.
    pub routes: Option<String>,
    /// A period of the fleet's protocol, in milliseconds.
    pub period_ms: u64,
    /// A proxy that can't know what is required fences itself after so long.
    pub fence_unsure_after_ms: Option<u64>,
    /// What the fleet's file says of duties.
    pub leases: String,
    /// A change is watched for so long, in milliseconds; 200 where nothing is said.
    pub probation_ms: Option<u64>,
}

/// An attempt that came to the backend.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendRequest {
    /// When.
    pub at: Micros,
    /// Which proxy sent it, by the request's id.
    pub proxy: u16,
    /// By which version it was bound.
    pub version: Option<String>,
}

/// Several daemons, a network and a backend. All end when it is dropped.
pub struct Cluster {
    /// What is between them.
    pub network: Network,
    /// The clock of what is noted.
    pub clock: Clock,
    daemons: Vec<Option<Daemon>>,
    backend_requests: Arc<Mutex<Vec<BackendRequest>>>,
    backend: SocketAddr,
    serving: JoinHandle<()>,
    held: watch::Sender<bool>,
    program: PathBuf,
    folder: PathBuf,
    options: Options,
    calls: u64,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.daemons.clear();
        self.serving.abort();
        // What can't be removed was not written.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

async fn serve(
    listener: TcpListener,
    clock: Clock,
    noted: Arc<Mutex<Vec<BackendRequest>>>,
    held: watch::Receiver<bool>,
) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let (noted, mut held) = (noted.clone(), held.clone());
        tokio::spawn(async move {
            let mut buffer = Buffer::default();
            while let Ok(request) = buffer.request(&mut stream).await {
                let (at, proxy) = (clock.now(), (request.id.unwrap_or(0) >> 32) as u16);
                if let Ok(mut noted) = noted.lock() {
                    noted.push(BackendRequest {
                        at,
                        proxy,
                        version: request.version,
                    });
                }
                let hold = *held.borrow_and_update();
                // Its sender ends with the fleet.
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

fn write(folder: &Path, options: &Options) -> std::io::Result<()> {
    daemon::write_fleet_files(
        folder,
        options.period_ms,
        options.fence_unsure_after_ms,
        &options.leases,
    )
}

impl Cluster {
    /// Starts so many, with what a seed draws.
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
        let made = std::fs::create_dir(&folder).and_then(|()| write(&folder, &options));
        made.map_err(|e| format!("{}: {e}", folder.display()))?;
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .map_err(|e| format!("backend: {e}"))?;
        let backend = listener.local_addr().map_err(|e| format!("backend: {e}"))?;
        let noted = Arc::<Mutex<Vec<BackendRequest>>>::default();
        let held = watch::Sender::new(false);
        let serving = tokio::spawn(serve(listener, clock, noted.clone(), held.subscribe()));
        let daemons = (0..proxies).map(|_| None).collect();
        let program = program.to_path_buf();
        let mut cluster = Cluster {
            network,
            clock,
            daemons,
            backend_requests: noted,
            backend,
            serving,
            held,
            program,
            folder,
            options,
            calls: 0,
        };
        if let Some(routes) = &cluster.options.routes {
            let text = cluster.routes(routes);
            std::fs::write(cluster.folder.join("routes.toml"), text).map_err(|e| e.to_string())?;
        }
        // Together: where each waits for more than half of the others, none is ready alone.
        let mut starting = JoinSet::new();
        for proxy in 0..proxies {
            let (program, file, config) = cluster.launch(proxy)?;
            starting.spawn(async move {
                (
                    proxy,
                    daemon::start(&program, &file, &config, SOCKETS).await,
                )
            });
        }
        while let Some(started) = starting.join_next().await {
            let (proxy, daemon) = started.map_err(|e| e.to_string())?;
            cluster.daemons[usize::from(proxy)] = Some(daemon?);
        }
        Ok(cluster)
    }

    /// A text of routes with the backend's address in it.
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
            // Nobody tells lists here; the one that was known last names the backend.
            "discovery": "127.0.0.1:9", "seed": format!("{:x}", self.network.seed.wrapping_add(u64::from(proxy))),
            "limits": {"cores": 1.0, "memory_mb": 32, "sockets": SOCKETS},
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

    /// What one is started with: the program, its file and what is to stand there.
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

    /// Starts one, with the state that it has.
    pub async fn start(&mut self, proxy: u16) -> Result<(), String> {
        let (program, file, config) = self.launch(proxy)?;
        let daemon = daemon::start(&program, &file, &config, SOCKETS).await?;
        self.daemons[usize::from(proxy)] = Some(daemon);
        Ok(())
    }

    /// Has the fleet's file say something else of duties to whoever starts from now on.
    pub fn set_leases(&mut self, duties: String) -> Result<(), String> {
        self.options.leases = duties;
        write(&self.folder, &self.options).map_err(|e| e.to_string())
    }

    /// Asks one to let go of a duty.
    pub async fn release_lease(&self, proxy: u16, duty: &str) -> Result<(), String> {
        let path = format!("/duty/resign?name={duty}");
        let told = daemon::post(self.daemon(proxy)?.admin_address, &path, "")
            .await
            .map_err(|e| e.to_string())?;
        if told.0 == 200 {
            Ok(())
        } else {
            Err(String::from_utf8_lossy(&told.1).into_owned())
        }
    }

    /// Its process.
    pub fn daemon(&self, proxy: u16) -> Result<&Daemon, String> {
        let daemon = self.daemons[usize::from(proxy)].as_ref();
        daemon.ok_or_else(|| format!("proxy {proxy} does not run"))
    }

    /// Kills one outright.
    pub fn kill(&mut self, proxy: u16) {
        self.daemons[usize::from(proxy)] = None;
    }

    /// Stops one as planned.
    pub async fn stop(&mut self, proxy: u16) -> Result<(), String> {
        let Some(daemon) = self.daemons[usize::from(proxy)].take() else {
            return Ok(());
        };
        daemon.terminate().map_err(|e| e.to_string())?;
        let (_, well) = daemon.wait(STOP).await;
        if well {
            Ok(())
        } else {
            Err(format!("proxy {proxy} did not stop as planned"))
        }
    }

    /// Takes away all that one has kept.
    pub fn delete_state(&self, proxy: u16) -> std::io::Result<()> {
        std::fs::remove_dir_all(self.state(proxy))
    }

    /// A copy of what one has kept, to be put back later.
    pub fn copy_state(&self, proxy: u16) -> std::io::Result<Vec<(PathBuf, Vec<u8>)>> {
        let mut copy = Vec::new();
        for entry in std::fs::read_dir(self.state(proxy))? {
            let path = entry?.path();
            copy.push((path.clone(), std::fs::read(path)?));
        }
        Ok(copy)
    }

    /// Puts an old copy back in place of what it has kept since.
    pub fn restore_state(&self, proxy: u16, copy: &[(PathBuf, Vec<u8>)]) -> std::io::Result<()> {
        self.delete_state(proxy)?;
        std::fs::create_dir(self.state(proxy))?;
        copy.iter()
            .try_for_each(|(path, bytes)| std::fs::write(path, bytes))
    }

    /// Asks one at its admin address.
    pub async fn query(&self, proxy: u16, path: &str) -> Result<Value, String> {
        let admin = self.daemon(proxy)?.admin_address;
        let (status, body) = daemon::get_within(admin, path, ANSWER)
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

    /// Waits until what one answers is as wanted.
    pub async fn wait_until(
        &self,
        proxy: u16,
        path: &str,
        wanted: impl Fn(&Value) -> bool,
    ) -> Result<Value, String> {
        let mut last = Err("it did not answer".into());
        let look = async {
            loop {
                last = self.query(proxy, path).await;
                if let Ok(told) = &last
                    && wanted(told)
                {
                    return told.clone();
                }
                sleep(LOOK).await;
            }
        };
        match timeout(LONG, look).await {
            Ok(told) => Ok(told),
            Err(_) => Err(format!(
                "{path} of proxy {proxy} is not as wanted: {last:?}"
            )),
        }
    }

    /// Waits until one takes another to stand like this.
    pub async fn wait_for_standing(
        &self,
        proxy: u16,
        other: u16,
        standing: &str,
    ) -> Result<Value, String> {
        let stands = |told: &Value| told["members"][usize::from(other)]["standing"] == standing;
        self.wait_until(proxy, "/fleet/members", stands).await
    }

    /// Waits until all that run take each other for there.
    pub async fn wait_for_all_alive(&self) -> Result<(), String> {
        let there: Vec<u16> = (0..self.daemons.len() as u16)
            .filter(|p| self.daemon(*p).is_ok())
            .collect();
        for at in &there {
            for of in &there {
                self.wait_for_standing(*at, *of, "alive").await?;
            }
        }
        Ok(())
    }

    /// One request to one; its status.
    pub async fn call(&mut self, proxy: u16) -> Result<u16, String> {
        self.start_call(proxy)?.await
    }

    /// The same as something that goes on by itself.
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
                .map_err(|_| std::io::Error::other("no whole answer"))
        };
        Ok(async {
            let done = timeout(CALL, call).await;
            done.map_err(|_| "no answer".to_string())?
                .map_err(|e| e.to_string())
        })
    }

    /// Proposes a change of routes to one, and waits until it is committed.
    pub async fn apply(&self, proxy: u16, text: &str) -> Result<(), String> {
        self.propose(proxy, "/config/apply", text).await
    }

    /// The same, required of all within so many milliseconds from its commit on.
    pub async fn apply_required(
        &self,
        proxy: u16,
        text: &str,
        within_ms: u64,
    ) -> Result<(), String> {
        self.propose(
            proxy,
            &format!("/config/apply?required_ms={within_ms}"),
            text,
        )
        .await
    }

    async fn propose(&self, proxy: u16, path: &str, text: &str) -> Result<(), String> {
        let admin = self.daemon(proxy)?.admin_address;
        let told = daemon::post(admin, path, &self.routes(text))
            .await
            .map_err(|e| e.to_string())?;
        if told.0 != 200 {
            return Err(String::from_utf8_lossy(&told.1).into_owned());
        }
        self.wait_until(proxy, "/config/status", |s| s["open"].is_null())
            .await
            .map(drop)
    }

    /// The backend holds what comes from now on, to answer it once it holds no more.
    pub fn hold_responses(&self, hold: bool) {
        self.held.send_replace(hold);
    }

    /// What came to the backend so far.
    pub fn backend_requests(&self) -> Vec<BackendRequest> {
        self.backend_requests
            .lock()
            .map(|n| n.clone())
            .unwrap_or_default()
    }
}
