//! Shared test helpers: small scenarios and the programs that run them.
#![allow(dead_code, reason = "each test file uses some of the helpers")]

use heathroad_harness::load_generator::Progress;
use heathroad_harness::runner::{self, RunOptions};
use heathroad_harness::scenario;
use heathroad_harness::schedule::{self, Schedule};
use heathroad_harness::summary::Summary;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::{Arc, Mutex, OnceLock};
use tokio::sync::watch;

/// One tier, one drain, all classes; no client hangs up, so that every count is exact.
pub const SMALL: &str = r#"
title = "small"
about = "for the checker's own tests"
[run]
seconds = 4.0
rate = 60.0
[clients]
hang_up = 0.0
rude_per_s = 0.0
[[tier]]
name = "store"
backends = 3
work = 0.3
cores = 2
slots = 32
queue = 32
connections = 64
cold_from = 0.2
cold_s = 30.0
[[fault]]
what = "drain"
tier = "store"
at_s = 1.0
for_s = 2.5
"#;

/// A backend restarts cold under a load from two proxies that can overload it.
pub const PUSHED: &str = r#"
title = "pushed"
about = "a cold backend under load"
[run]
seconds = 6.0
rate = 80.0
[clients]
retries = 0
rude_per_s = 0.0
[[tier]]
name = "store"
backends = 4
work = 0.4
cores = 1
slots = 64
queue = 64
connections = 256
cold_from = 0.1
cold_s = 60.0
[[fault]]
what = "restart"
tier = "store"
at_s = 1.0
for_s = 0.2
"#;

/// Returns a routes file that depends on `n` only in its deadline.
pub fn routes(n: u64) -> String {
    format!(
        "[[pool]]\nname = \"all\"\nbackends = [\"BACKEND\"]\n[[pool.class]]\nname = \"look\"\neffect = \"safe\"\n\
         aim_ms = 1000\ndeadline_ms = {}\n[[route]]\nname = \"all\"\npool = \"all\"\n",
        4000 + n
    )
}

/// Returns a number from the environment, or the default.
pub fn number(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(default)
}

/// Serializes runs, since concurrent ones would delay each other.
static TURN: Mutex<()> = Mutex::new(());

fn target() -> PathBuf {
    let own = std::env::current_exe().expect("it runs");
    own.parent()
        .and_then(Path::parent)
        .expect("target/PROFILE/deps")
        .to_path_buf()
}

fn build(args: &[&str]) {
    let release = target().file_name().is_some_and(|n| n == "release");
    let mut command = Command::new(env!("CARGO"));
    command
        .args(["build", "--locked", "--quiet"])
        .args(args)
        .current_dir(env!("CARGO_MANIFEST_DIR"));
    if release {
        command.arg("--release");
    }
    assert!(command.status().expect("cargo runs").success());
}

/// Builds the daemon with the profile of the tests and returns its path.
pub fn daemon() -> PathBuf {
    static BUILT: OnceLock<()> = OnceLock::new();
    BUILT.get_or_init(|| build(&["-p", "heathroad"]));
    target().join("heathroad")
}

/// Returns the faulty proxy under a name that selects its defect.
pub fn bad_proxy(defect: &str) -> PathBuf {
    static BUILT: OnceLock<()> = OnceLock::new();
    BUILT.get_or_init(|| build(&["--example", "bad-proxy"]));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("bad-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder for tests takes a folder");
    let link = folder.join(format!("bad-{defect}"));
    match std::os::unix::fs::symlink(target().join("examples/bad-proxy"), &link) {
        Ok(()) => {}
        // Another test already created the link.
        Err(e) => assert_eq!(e.kind(), std::io::ErrorKind::AlreadyExists, "{e}"),
    }
    link
}

pub fn schedule(text: &str, seed: u64) -> Schedule {
    schedule::generate(
        scenario::parse("test.toml", text).expect("a good scenario"),
        seed,
    )
}

/// Runs a scenario and checks it.
pub fn run_scenario(program: &Path, text: &str, seed: u64) -> Summary {
    let _turn = TURN
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let (_stop, stop) = watch::channel(false);
    let (program, schedule) = (program.to_path_buf(), Arc::new(schedule(text, seed)));
    let options = RunOptions {
        program,
        schedule,
        progress: Arc::<Progress>::default(),
        stop,
    };
    Summary::of(runner::run(options).expect("the scenario runs"))
}

/// Runs a scenario with the daemon, up to three times while the run is void.
pub fn sound(text: &str, seed: u64) -> Summary {
    let daemon = daemon();
    for _ in 0..2 {
        let o = run_scenario(&daemon, text, seed);
        if o.void.is_empty() {
            return o;
        }
    }
    run_scenario(&daemon, text, seed)
}
