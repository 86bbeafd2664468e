//! Tests of the program: error messages for invalid input, its output files, and cleanup.

mod common;

use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_heathroad-harness"));
    command
        .stdin(Stdio::null())
        .env("TMPDIR", env!("CARGO_TARGET_TMPDIR"));
    command
}

fn run(args: &[&str]) -> Output {
    program().args(args).output().expect("it starts")
}

fn file(name: &str, text: &str) -> PathBuf {
    let path =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("the folder for tests takes a file");
    path
}

#[test]
fn scenarios_are_named_and_explained() {
    let list = run(&["list"]);
    assert!(list.status.success());
    let list = String::from_utf8_lossy(&list.stdout).into_owned();
    let names: Vec<&str> = list
        .lines()
        .filter_map(|l| l.split_whitespace().next())
        .collect();
    assert!(
        names.len() >= 8 && names.contains(&"late-idempotent-retry"),
        "{list}"
    );
    for name in names {
        let explained = run(&["explain", name]);
        assert!(
            explained.status.success() && explained.stdout.len() > 200,
            "{name}"
        );
    }
}

#[test]
fn bad_input_is_one_line_that_names_file_field_and_reason() {
    let bad = |change: (&str, &str)| {
        let text = common::SMALL.replace(change.0, change.1);
        assert_ne!(text, common::SMALL, "{change:?}");
        text
    };
    let cases = [
        (
            bad(("rate = 60.0", "rate = 0.0")),
            "run.rate: 0 is not between",
        ),
        (
            bad(("rate = 60.0", "rate = \"fast\"")),
            "run.rate: invalid type",
        ),
        (
            bad(("rate = 60.0", "rte = 60.0")),
            "run.rte: unknown field `rte`",
        ),
        (
            bad(("what = \"drain\"", "what = \"explode\"")),
            "fault[0].what: unknown variant `explode`",
        ),
        (
            bad(("at_s = 1.0", "at_s = 9.0")),
            "fault[0].at_s: 9 is not between",
        ),
        (
            bad(("tier = \"store\"\n", "tier = \"shop\"\n")),
            "fault[0].tier: \"shop\" is no tier",
        ),
        (
            bad(("for_s = 2.5", "on = [\"store-4\"]")),
            "fault[0].on: \"store-4\" is not on the stage",
        ),
        (
            format!(
                "{}[[expect]]\nfigure = \"luck\"\nat_least = 1.0\n",
                common::SMALL
            ),
            "expect[0].figure",
        ),
        (
            format!("{}[[expect]]\nfigure = \"worth\"\n", common::SMALL),
            "expect[0]: neither",
        ),
        (bad(("title = \"small\"", "title = ")), "bad.toml:2: "),
        (
            format!(
                "{}[[repeat]]\nat_s = 1\nclass = \"payout\"\ntenant = \"zaria-foods\"\nafter_s = 1\n",
                common::SMALL
            ),
            "repeat[0].class: \"payout\" is no keyed class",
        ),
    ];
    for (text, expected) in cases {
        let path = file("bad.toml", &text);
        let out = run(&[path.to_str().expect("text")]);
        let output = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.code(), Some(2), "{expected}: {output}");
        assert!(
            output.contains(expected) && output.contains("bad.toml") && output.lines().count() == 1,
            "{expected}: {output}"
        );
    }
    for args in [
        &["no-such-scenario"][..],
        &["smoke", "--seconds", "0"],
        &["smoke", "--proxies", "999"],
        &["smoke", "--heathroad", "/nowhere"],
        &["smoke", "--json", "/nowhere/at/all"],
    ] {
        let mut args = args.to_vec();
        let daemon = common::daemon();
        if !args.contains(&"--heathroad") {
            args.extend(["--heathroad", daemon.to_str().expect("text")]);
        }
        let out = run(&args);
        assert_eq!(out.status.code(), Some(2), "{args:?}");
        assert_eq!(
            String::from_utf8_lossy(&out.stderr).lines().count(),
            1,
            "{args:?}"
        );
    }
}

/// Returns the child processes of a process, from `/proc`.
fn child_processes(pid: u32) -> Vec<u32> {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task"))
        .into_iter()
        .flatten()
        .flatten();
    let lists = tasks.filter_map(|t| std::fs::read_to_string(t.path().join("children")).ok());
    lists
        .flat_map(|l| {
            l.split_whitespace()
                .filter_map(|p| p.parse().ok())
                .collect::<Vec<u32>>()
        })
        .collect()
}

/// Ctrl-C ends all children, reports the run as void and leaves no temporary files.
#[test]
fn an_interrupted_run_ends_its_children_and_reports_what_it_saw() {
    let (json, page) = (file("out.json", ""), file("out.html", ""));
    let child = program()
        .args([
            "peak-load",
            "--heathroad",
            common::daemon().to_str().expect("text"),
        ])
        .args([
            "--json",
            json.to_str().expect("text"),
            "--report",
            page.to_str().expect("text"),
        ])
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("it starts");
    let pid = child.id();
    let mut child = child;
    let until = Instant::now() + Duration::from_secs(40);
    let mut children = Vec::new();
    // Load starts once two proxies and one per backend of the first two tiers run.
    while children.len() < 9 && Instant::now() < until {
        children = child_processes(pid);
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(children.len(), 9, "the daemons run");
    std::thread::sleep(Duration::from_secs(2));
    let sent = Command::new("kill")
        .args(["-INT", &pid.to_string()])
        .status();
    assert!(sent.expect("kill runs").success());
    let status = loop {
        match child.try_wait().expect("it ran") {
            Some(status) => break status,
            None if Instant::now() > until => panic!("it did not end"),
            None => std::thread::sleep(Duration::from_millis(50)),
        }
    };
    assert_eq!(status.code(), Some(3), "void");
    let report: Value =
        serde_json::from_slice(&std::fs::read(&json).expect("written")).expect("JSON");
    assert_eq!(
        (&report["void"], &report["rules"]["lost"]),
        (&true.into(), &0.into()),
        "{report}"
    );
    assert!(
        report["earned"].as_f64().expect("a number") > 0.0,
        "{report}"
    );
    let page = std::fs::read_to_string(&page).expect("written");
    assert!(page.contains("<svg") && page.ends_with("</html>\n"));
    for pid in children {
        assert!(
            !Path::new(&format!("/proc/{pid}")).exists(),
            "{pid} is still there"
        );
    }
    let folder = std::fs::read_dir(env!("CARGO_TARGET_TMPDIR"))
        .expect("a folder")
        .flatten();
    let left: Vec<_> = folder
        .filter(|f| {
            f.file_name()
                .to_string_lossy()
                .starts_with(&format!("heathroad-harness-{pid}-"))
        })
        .collect();
    assert!(left.is_empty(), "{left:?}");
}

/// A run in which the load generator or emulators run out of descriptors is void.
#[test]
fn a_run_that_runs_out_of_descriptors_is_void() {
    let out = Command::new("/bin/sh")
        .args([
            "-c",
            "ulimit -Sn 110 && exec \"$0\" smoke --seconds 3 --rate 600 --heathroad \"$1\"",
        ])
        .arg(env!("CARGO_BIN_EXE_heathroad-harness"))
        .arg(common::daemon())
        .env("TMPDIR", env!("CARGO_TARGET_TMPDIR"))
        .stdin(Stdio::null())
        .output()
        .expect("it starts");
    let output = String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned();
    assert_eq!(out.status.code(), Some(3), "{output}");
    assert!(
        output.contains("the load generator or the emulators ran out of descriptors")
            && output.contains("no verdict"),
        "{output}"
    );
}

/// The smoke scenario passes and reports its results as JSON.
#[test]
fn a_smoke_run_keeps_all_rules() {
    let daemon = common::daemon();
    let mut runs = 0;
    let (out, json) = loop {
        let args = [
            "smoke",
            "--seed",
            "5",
            "--json",
            "-",
            "--heathroad",
            daemon.to_str().expect("text"),
        ];
        let out = run(&args);
        runs += 1;
        // A void run on a slow machine is repeated.
        if out.status.code() != Some(3) || runs == 3 {
            let json: Value = serde_json::from_slice(&out.stdout).expect("JSON");
            break (out, json);
        }
    };
    assert_eq!(
        out.status.code(),
        Some(0),
        "{json} {}",
        String::from_utf8_lossy(&out.stderr)
    );
    let keys = [
        "scenario",
        "seed",
        "digest",
        "void",
        "asked",
        "earned",
        "rules",
        "agrees",
        "expectations",
        "latency_us",
        "cpu_us_per_request",
        "peak_rss_mb",
    ];
    for key in keys {
        assert!(!json[key].is_null(), "{key} is not in {json}");
    }
    assert_eq!(
        json["rules"],
        serde_json::json!({"lost": 0, "double": 0, "drain": 0, "cold": 0})
    );
    assert_eq!(
        (&json["agrees"], &json["scenario"], &json["seed"]),
        (&true.into(), &"smoke".into(), &5.into())
    );
}
