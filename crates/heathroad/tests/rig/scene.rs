//! The started program with routes and pools, and changes to them at its admin address.

use super::*;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use tokio::task::JoinHandle;

/// A pool of listed backends that serves the classes of the rig.
pub fn pool(name: &str, backends: &[SocketAddr]) -> String {
    format!(
        "[[pool]]\nname = \"{name}\"\nbackends = {}\n{}",
        addresses(backends),
        classes(20_000, 60_000)
    )
}

/// The addresses as a list of a routes file.
pub fn addresses(backends: &[SocketAddr]) -> String {
    let list: Vec<String> = backends.iter().map(|a| format!("\"{a}\"")).collect();
    format!("[{}]", list.join(", "))
}

/// The classes of the rig, as tables of the pool before them.
pub fn classes(aim_ms: u32, deadline_ms: u32) -> String {
    let class = |name: &str, effect: &str| {
        format!(
            "[[pool.class]]\nname = \"{name}\"\n{effect}\naim_ms = {aim_ms}\ndeadline_ms = {deadline_ms}\n"
        )
    };
    [
        class("look", "effect = \"safe\""),
        class(
            "keep",
            "effect = \"keyed\"\ngroup = \"all\"\nwindow_ms = 60000",
        ),
        class("once", "effect = \"unsafe\""),
    ]
    .concat()
}

pub fn route(name: &str, when: &str, to: &str) -> String {
    format!("[[route]]\nname = \"{name}\"\n{when}\npool = \"{to}\"\n")
}

pub struct Scene {
    pub proxy: Proxy,
    pub admin: SocketAddr,
    pub config: Value,
    pub file: PathBuf,
    pub _discovery: Discovery,
}

/// A folder for the daemon's state.
pub fn folder() -> PathBuf {
    let folder = temporary("");
    std::fs::create_dir(&folder).expect("the folder for tests takes a folder");
    folder
}

/// A pool's classes alone.
pub fn classes_of(text: String) -> String {
    text[text.find("[[pool.class]]").expect("classes")..].to_string()
}

pub async fn scene(routes: &str, probation_ms: u64, change: impl Fn(&mut Value)) -> Scene {
    let discovery = Discovery::start(vec![]).await;
    let file = write_file(".toml", routes);
    let mut config = discovery.config(settings());
    config["admin"] = "127.0.0.1:0".into();
    config["routes"] = file.to_str().expect("text").into();
    config["probation_ms"] = probation_ms.into();
    change(&mut config);
    let (proxy, admin) = Proxy::start_with_admin(&config).await;
    let scene = Scene {
        proxy,
        admin,
        config,
        file,
        _discovery: discovery,
    };
    soon(async {
        while scene.ask("GET", "/config/status", "").await.0 != 200 || !scene.ready().await {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
    scene
}

impl Scene {
    pub async fn ready(&self) -> bool {
        let mut sender = connect(self.proxy.addr).await;
        let request = Request::get("/health/ready")
            .header("host", "p")
            .body(Full::default())
            .expect("well formed");
        soon(sender.send_request(request))
            .await
            .expect("an answer")
            .status()
            == 200
    }

    pub async fn ask(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        ask(self.admin, method, path, body).await
    }

    pub async fn status(&self) -> Value {
        serde_json::from_str(&self.ask("GET", "/config/status", "").await.1).expect("JSON")
    }

    /// Waits until a generation is in force and none is under way.
    pub async fn stands(&self, generation: u64) {
        soon(async {
            loop {
                let status = self.status().await;
                if status["generation"] == generation && status["open"].is_null() {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        })
        .await;
    }

    /// Applies a text and waits until it is in force.
    pub async fn apply(&self, routes: &str) {
        let before = self.status().await["generation"].clone();
        let (status, said) = self.ask("POST", "/config/apply", routes).await;
        assert_eq!(status, 200, "{said}");
        soon(async {
            while self.status().await["generation"] == before {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        })
        .await;
    }
}

pub async fn two_backends() -> (Arc<Orders>, Backend, Backend) {
    let orders = Arc::new(Orders::default());
    let (a, b) = (
        Backend::start("a", &orders).await,
        Backend::start("b", &orders).await,
    );
    (orders, a, b)
}

/// Callers that ask, one call after another, until they are told to end. Half of them look, half
/// act once.
pub struct Load {
    stop: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
    callers: Vec<JoinHandle<()>>,
}

impl Load {
    pub async fn start(proxy: &Proxy, callers: usize) -> Load {
        let mut load = Load {
            stop: Arc::default(),
            served: Arc::default(),
            callers: Vec::new(),
        };
        for n in 0..callers {
            let (mut caller, stop, served) =
                (proxy.caller().await, load.stop.clone(), load.served.clone());
            load.callers.push(tokio::spawn(async move {
                while !stop.load(SeqCst) {
                    let (status, _) = caller.call(if n % 2 == 0 { "look" } else { "once" }).await;
                    // More than the limit takes at first is refused, as ever; nothing fails.
                    assert!([200, 503].contains(&status), "{status}");
                    served.fetch_add(usize::from(status == 200), SeqCst);
                }
            }));
        }
        load
    }

    pub fn served(&self) -> usize {
        self.served.load(SeqCst)
    }

    /// Ends it; how many were served.
    pub async fn end(self) -> usize {
        self.stop.store(true, SeqCst);
        for caller in self.callers {
            soon(caller)
                .await
                .expect("every call was served or refused");
        }
        self.served.load(SeqCst)
    }
}
