//! What the kit's tests share: small scenarios, and the programs to put them on with.
#![allow(dead_code, reason = "each test file uses its part of it")]

use heathroad_harness::load_generator::Progress;
use heathroad_harness::runner::{self, RunOptions};
use heathroad_harness::scenario;
use heathroad_harness::schedule::{self, Schedule};
use heathroad_harness::summary::Summary;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::{Arc, Mutex, OnceLock};
use tokio::sync::watch;

/// One tier, one drain, all classes; nobody hangs up, so that every count is exact.
pub const SMALL: &str = r#"
title = "small"
about = "for the judge's own tests"
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

/// A backend restarts cold under a load that two proxies together push it over with.
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

/// A text of routes that differs from others in its number alone.
pub fn routes(n: u64) -> String {
    format!(
        "[[pool]]\nname = \"all\"\nbackends = [\"BACKEND\"]\n[[pool.class]]\nname = \"look\"\neffect = \"safe\"\n\
         aim_ms = 1000\ndeadline_ms = {}\n[[route]]\nname = \"all\"\npool = \"all\"\n",
        4000 + n
    )
}

/// A number that the environment names, or the usual one.
pub fn number(name: &str, usual: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(usual)
}

/// Rehearsals take turns: side by side they would make each other late.
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

/// The daemon, built as these tests are.
pub fn daemon() -> PathBuf {
    static BUILT: OnceLock<()> = OnceLock::new();
    BUILT.get_or_init(|| build(&["-p", "heathroad"]));
    target().join("heathroad")
}

/// The bad proxy with a vice, which it reads from its name.
pub fn bad_proxy(vice: &str) -> PathBuf {
    static BUILT: OnceLock<()> = OnceLock::new();
    BUILT.get_or_init(|| build(&["--example", "bad-proxy"]));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("bad-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder for tests takes a folder");
    let link = folder.join(format!("bad-{vice}"));
    match std::os::unix::fs::symlink(target().join("examples/bad-proxy"), &link) {
        Ok(()) => {}
        // Another test has the same vice.
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

/// Puts a rehearsal on and judges it.
pub fn rehearse(program: &Path, text: &str, seed: u64) -> Summary {
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
    Summary::of(runner::run(options).expect("it can be put on"))
}

/// The same with the daemon, on a machine that was not late: a late one is given two more chances.
pub fn sound(text: &str, seed: u64) -> Summary {
    let daemon = daemon();
    for _ in 0..2 {
        let o = rehearse(&daemon, text, seed);
        if o.void.is_empty() {
            return o;
        }
    }
    rehearse(&daemon, text, seed)
}
