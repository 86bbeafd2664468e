//! Golden lists of what a running daemon tells of itself: metric families with their labels, and
//! key paths of `/counts`.

mod rig;

use rig::scene::{pool, route, scene};
use rig::*;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Labels whose values come from fixed sets; of others only the names are compared.
const FIXED_LABELS: [&str; 7] = [
    "after", "answer", "event", "notice", "outcome", "reason", "rule",
];

/// Every family with its type, every sample name with its label names, every value of a fixed set,
/// sorted.
fn metric_names(text: &str) -> String {
    let mut lines = BTreeSet::new();
    for line in text.lines() {
        if let Some(family) = line.strip_prefix("# TYPE ") {
            lines.insert(format!("family {family}"));
        }
        if line.starts_with('#') {
            continue;
        }
        let (sample, _) = line.rsplit_once(' ').expect("a sample and its figure");
        let (name, labels) = sample.split_once('{').unwrap_or((sample, "}"));
        let labels = labels.strip_suffix('}').expect("labels end");
        let labels: BTreeMap<&str, &str> = labels
            .split(',')
            .filter(|l| !l.is_empty())
            .map(|l| l.split_once('=').expect("a label"))
            .collect();
        lines.insert(format!(
            "sample {name} {:?}",
            labels.keys().collect::<Vec<_>>()
        ));
        for (label, value) in labels
            .iter()
            .filter(|(label, _)| FIXED_LABELS.contains(label))
        {
            lines.insert(format!("value {name} {label}={value}"));
        }
    }
    lines.into_iter().map(|line| line + "\n").collect()
}

fn collect_paths(value: &Value, path: &str, paths: &mut BTreeSet<String>) {
    paths.insert(path.to_string());
    match value {
        Value::Object(members) => {
            members
                .iter()
                .for_each(|(key, value)| collect_paths(value, &format!("{path}.{key}"), paths));
        }
        Value::Array(items) => items
            .iter()
            .for_each(|item| collect_paths(item, &format!("{path}[]"), paths)),
        _ => {}
    }
}

/// Every key path of a JSON text, sorted.
fn key_paths(text: &str) -> String {
    let mut paths = BTreeSet::new();
    collect_paths(
        &serde_json::from_str(text).expect("JSON"),
        "counts",
        &mut paths,
    );
    paths.into_iter().map(|path| path + "\n").collect()
}

async fn told(admin: SocketAddr) -> String {
    let (status, metrics) = ask(admin, "GET", "/metrics", "").await;
    assert_eq!(status, 200);
    let (status, counts) = ask(admin, "GET", "/counts", "").await;
    assert_eq!(status, 200);
    format!("{}{}", metric_names(&metrics), key_paths(&counts))
}

fn assert_golden(actual: &str, golden: &str) {
    assert!(actual == golden, "the actual list is:\n{actual}");
}

#[tokio::test]
async fn one_pool_tells_the_golden_metrics_and_counts() {
    let backend = Backend::start("a", &Arc::new(Orders::default())).await;
    let discovery = Discovery::start(vec![backend.line("SERVING")]).await;
    let mut config = discovery.config(settings());
    config["admin"] = "127.0.0.1:0".into();
    let (proxy, admin) = Proxy::start_with_admin(&config).await;
    discovery.settled().await;
    assert_eq!(proxy.call("look").await.0, 200);
    assert_eq!(proxy.call("unknown").await.0, 404);
    assert_golden(
        &told(admin).await,
        include_str!("golden/metrics_one_pool.txt"),
    );
}

#[tokio::test]
async fn routes_and_budget_tell_the_golden_metrics_and_counts() {
    let backend = Backend::start("a", &Arc::new(Orders::default())).await;
    let routes = format!(
        "{}{}",
        pool("main", &[backend.addr]),
        route("all", "", "main")
    );
    let scene = scene(&routes, 30_000, |config| {
        config["budget"] = json!({"name": "gate", "inner": ["127.0.0.1"], "lends": true});
    })
    .await;
    assert_eq!(scene.proxy.call("look").await.0, 200);
    assert_eq!(scene.proxy.call("unknown").await.0, 404);
    assert_golden(
        &told(scene.admin).await,
        include_str!("golden/metrics_routes_and_budget.txt"),
    );
}
