//! What the started program tells of itself: counts that agree with what callers and backends saw,
//! and the command line.

mod rig;

use rig::*;
use serde_json::Value;
use std::process::{Command, Output};
use std::sync::Arc;
use tokio::sync::Notify;

/// How many requests of a class had an answer.
fn requests(counts: &Value, class: &str, answer: &str) -> u64 {
    let rows = counts["requests"].as_array().expect("rows");
    let row = rows
        .iter()
        .find(|r| r["class"] == class && r["answer"] == answer);
    row.map_or(0, |r| r["count"].as_u64().expect("a number"))
}

async fn admin_proxy(discovery: &Discovery) -> (Proxy, std::net::SocketAddr) {
    let mut config = discovery.config(settings());
    config["admin"] = "127.0.0.1:0".into();
    let (proxy, admin) = Proxy::start_with_admin(&config).await;
    discovery.settled().await;
    (proxy, admin)
}

#[tokio::test]
async fn counts_agree_with_what_was_seen_outside() {
    let orders = Arc::new(Orders::default());
    let (a, b) = (
        Backend::start("a", &orders).await,
        Backend::start("b", &orders).await,
    );
    let discovery = Discovery::start(vec![a.line("SERVING"), b.line("SERVING")]).await;
    let (mut proxy, admin) = admin_proxy(&discovery).await;
    for _ in 0..3 {
        assert_eq!(proxy.call("look").await.0, 200);
    }
    // One declined and sent again, one failed without, one that its caller leaves, one that can't
    // be used.
    orders.give([Do::Decline(503)]);
    assert_eq!(proxy.call("once").await.0, 200);
    orders.give([Do::Answer(500)]);
    assert_eq!(proxy.call("once").await.0, 502);
    let hold = Arc::new(Notify::new());
    orders.give([Do::Hold(hold.clone())]);
    let mut caller = proxy.caller().await;
    let left = tokio::spawn(async move { caller.call("keep").await });
    orders.came(7).await;
    left.abort();
    assert_eq!(proxy.call("nothing").await.0, 404);
    let seen = soon(async {
        loop {
            let seen = counts(admin).await;
            if requests(&seen, "keep", "left") == 1 {
                break seen;
            }
        }
    })
    .await;
    assert_eq!(requests(&seen, "look", "served"), 3);
    assert_eq!(
        (
            requests(&seen, "once", "served"),
            requests(&seen, "once", "failed")
        ),
        (1, 1)
    );
    assert_eq!(
        seen["requests"].as_array().expect("rows").len(),
        4,
        "{seen}"
    );
    assert_eq!(seen["requests"][0]["tenant"], "acme");
    let attempts = &seen["attempts"];
    let ended = |outcome: &str| attempts[outcome].as_u64().expect("a number");
    assert_eq!(
        (
            ended("served"),
            ended("declined"),
            ended("error"),
            ended("cancelled")
        ),
        (4, 1, 1, 1)
    );
    assert_eq!(
        (&seen["resends"]["declined"], &seen["unusable"]["404"]),
        (&1.into(), &1.into())
    );
    assert_eq!(seen["requests_open"], 0);
    assert!(seen["descriptors"].as_u64().expect("a number") > 5);
    assert_eq!(seen["descriptors_max"], 256);
    assert!(seen["limit"].as_f64().expect("a number") >= 1.0);

    discovery
        .tell(vec![a.line("DRAINING"), b.line("SERVING")])
        .await;
    let (_, text) = ask(admin, "GET", "/metrics", "").await;
    for line in [
        r#"heathroad_requests_total{pool="",class="look",tenant="acme",answer="served"} 3"#,
        r#"heathroad_attempts_total{pool="",outcome="declined"} 1"#,
        r#"heathroad_drains_total{pool="",notice="draining"} 1"#,
        "heathroad_descriptors_max 256",
        "# EOF",
    ] {
        assert!(text.lines().any(|l| l == line), "{line} is not in {text}");
    }
    hold.notify_one();

    // The same at a planned stop, as the last line of standard output.
    proxy.terminate().await;
    assert!(proxy.ended().await.success());
    let last: Value = serde_json::from_str(&proxy.last_words().await).expect("JSON");
    assert_eq!(last["requests"], seen["requests"]);
    assert_eq!(last["drains"]["draining"], 1);
}

#[tokio::test]
async fn sends_to_a_cold_backend_are_counted() {
    let orders = Arc::new(Orders::default());
    let (a, b) = (
        Backend::start("a", &orders).await,
        Backend::start("b", &orders).await,
    );
    let unix = std::time::SystemTime::UNIX_EPOCH
        .elapsed()
        .expect("after 1970")
        .as_millis() as u64;
    let mut cold = a.line("SERVING");
    cold["born_ms"] = unix.into();
    let discovery = Discovery::start(vec![cold, b.line("SERVING")]).await;
    let (proxy, admin) = admin_proxy(&discovery).await;
    // What the warm one bears gives the cold one its budget.
    soon(async {
        while orders.by("a") == 0 {
            assert_eq!(proxy.call("look").await.0, 200);
        }
    })
    .await;
    let seen = counts(admin).await;
    assert_eq!(seen["cold_sends"], orders.by("a"));
    assert_eq!(seen["attempts"]["served"], orders.by("a") + orders.by("b"));
}

#[tokio::test]
async fn the_admin_address_answers_nothing_else_and_bounds_its_callers() {
    let discovery = Discovery::start(vec![]).await;
    let (_proxy, admin) = admin_proxy(&discovery).await;
    assert_eq!(ask(admin, "GET", "/other", "").await.0, 404);
    assert_eq!(ask(admin, "POST", "/counts", "").await.0, 405);
    // Four that say nothing hold all its places, for some seconds and not for ever.
    let mut silent = Vec::new();
    for _ in 0..4 {
        silent.push(
            soon(tokio::net::TcpStream::connect(admin))
                .await
                .expect("it listens"),
        );
    }
    assert_eq!(ask(admin, "GET", "/counts", "").await.0, 200);
}

fn run(args: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_heathroad");
    let mut command = Command::new(program);
    command
        .args(args)
        .env_remove("RELAY_CONFIG")
        .env_remove("RELAY_LISTEN")
        .env_remove("RELAY_DISCOVERY");
    command.output().expect("it starts")
}

#[test]
fn the_command_line_answers() {
    let help = run(&["--help"]);
    assert!(help.status.success());
    assert!(String::from_utf8_lossy(&help.stdout).contains("RELAY_CONFIG"));
    let version = run(&["--version"]);
    assert_eq!(
        String::from_utf8_lossy(&version.stdout),
        concat!("heathroad ", env!("CARGO_PKG_VERSION"), "\n")
    );
    assert_eq!(run(&["nonsense"]).status.code(), Some(2));
    let bare = run(&[]);
    assert_eq!(bare.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&bare.stderr).contains("RELAY_CONFIG is not set"));
}

#[test]
fn a_configuration_is_checked_without_a_start() {
    let config = |change: &dyn Fn(&mut Value)| {
        let mut config = serde_json::json!({
            "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "1",
            "limits": {"memory_mb": 32, "sockets": 256}, "settings": settings()
        });
        change(&mut config);
        write_config(&config.to_string())
    };
    let good = config(&|_| {});
    let good = run(&["check", good.to_str().expect("text")]);
    assert!(
        good.status.success(),
        "{}",
        String::from_utf8_lossy(&good.stderr)
    );
    assert!(String::from_utf8_lossy(&good.stdout).contains("3 classes, 1 tenants"));
    type Change<'a> = &'a dyn Fn(&mut Value);
    let changes: [(Change, &str); 3] = [
        (&|c| c["limits"]["sockets"] = 3.into(), "limits.sockets"),
        (
            &|c| c["settings"]["classes"][1]["aim"] = "soon".into(),
            "classes[1].aim",
        ),
        (&|c| c["admin"] = "nowhere".into(), "admin: nowhere"),
    ];
    for (change, says) in changes {
        let bad = run(&["check", config(change).to_str().expect("text")]);
        let text = String::from_utf8_lossy(&bad.stderr).into_owned();
        assert_eq!(bad.status.code(), Some(2));
        assert!(text.contains(says) && text.lines().count() == 1, "{text}");
    }
}

#[test]
fn files_of_routes_are_checked_and_compared() {
    let example =
        std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/routes.example.toml");
    let good = run(&["check", example.to_str().expect("text")]);
    assert!(
        good.status.success(),
        "{}",
        String::from_utf8_lossy(&good.stderr)
    );
    let text = std::fs::read_to_string(&example).expect("the example");
    let write = |name: &str, text: &str| {
        let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("{}-{name}", std::process::id()));
        std::fs::write(&path, text).expect("the folder for tests takes a file");
        path.to_str().expect("text").to_string()
    };
    let moved = write(
        "moved.toml",
        &text
            .replace("weight = 95", "weight = 50")
            .replace("weight = 5\n", "weight = 50\n"),
    );
    let diff = run(&["diff", example.to_str().expect("text"), &moved]);
    let said = String::from_utf8_lossy(&diff.stdout).into_owned();
    assert!(
        diff.status.success() && said.contains("instead of 95.0% to reads"),
        "{said}"
    );
    let same = run(&[
        "diff",
        example.to_str().expect("text"),
        example.to_str().expect("text"),
    ]);
    assert_eq!(
        String::from_utf8_lossy(&same.stdout),
        "no request moves, no pool changes\n"
    );
    // Everything that is wrong at once, a line each.
    let bad = write(
        "bad.toml",
        &text
            .replace("pool = \"writes\"", "pool = \"store\"")
            .replace("weight = 95", "weight = -1"),
    );
    let bad = run(&["check", &bad]);
    let said = String::from_utf8_lossy(&bad.stderr).into_owned();
    assert_eq!(bad.status.code(), Some(2));
    assert!(
        said.contains("no pool \"store\"")
            && said.contains("is -1; expected")
            && said.lines().count() >= 2,
        "{said}"
    );
}

/// Events are lines of JSON where that is asked for, with their fields; any other form is one clear
/// line and no start.
#[tokio::test]
async fn events_as_lines_of_json() {
    let orders = Arc::new(Orders::default());
    let backend = Backend::start("a", &orders).await;
    let discovery = Discovery::start(vec![backend.line("SERVING")]).await;
    let file = std::env::temp_dir().join(format!("heathroad-log-{}.json", std::process::id()));
    std::fs::write(&file, discovery.config(settings()).to_string()).expect("a file");
    let start = |log: &str| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_heathroad"));
        command
            .env("RELAY_CONFIG", &file)
            .env("RELAY_LOG", log)
            .env_remove("RELAY_LISTEN");
        command
            .env_remove("RELAY_DISCOVERY")
            .stderr(std::process::Stdio::piped())
            .spawn()
            .expect("it starts")
    };
    let mut child = start("json");
    let stderr = child.stderr.take().expect("piped");
    let mut line = String::new();
    std::io::BufRead::read_line(&mut std::io::BufReader::new(stderr), &mut line).expect("a line");
    child.kill().and_then(|()| child.wait()).expect("it ends");
    let told: Value = serde_json::from_str(&line).expect("JSON");
    let address = told["address"].as_str().expect("a field");
    assert_eq!(told["message"], format!("listening on {address}"));
    assert_eq!(
        (&told["level"], told["at"].is_u64()),
        (&"info".into(), true)
    );
    let bad = start("xml").wait_with_output().expect("it ends");
    assert_eq!(
        String::from_utf8_lossy(&bad.stderr),
        "heathroad: RELAY_LOG: \"xml\": expected text or json\n"
    );
    assert_eq!(bad.status.code(), Some(1));
    std::fs::remove_file(&file).expect("it is there");
}
