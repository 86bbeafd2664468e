//! Propagation of configurations to proxies that lag behind, and fencing of those that can't update.

mod common;

use common::{daemon, routes};
use heathroad_harness::cluster::{Cluster, Options};
use heathroad_harness::http::{self, Buffer};
use serde_json::Value;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::sleep;

const PERIOD_MS: u64 = 300;

async fn cluster(proxies: u16, seed: u64, fence_unsure_after_ms: Option<u64>) -> Cluster {
    let options = Options {
        routes: Some(routes(1)),
        period_ms: PERIOD_MS,
        fence_unsure_after_ms,
        ..Options::default()
    };
    let cluster = Cluster::start_all(&daemon(), proxies, seed, options)
        .await
        .expect("it starts");
    cluster
        .wait_for_all_alive()
        .await
        .expect("all members alive");
    cluster
}

fn generation(status: &Value) -> u64 {
    status["generation"].as_u64().unwrap_or(0)
}

async fn wait_for_generation(cluster: &Cluster, proxy: u16, number: u64) {
    let there = |s: &Value| generation(s) == number && s["open"].is_null();
    cluster
        .wait_until(proxy, "/config/status", there)
        .await
        .expect("it is brought up");
}

#[tokio::test]
async fn a_lagging_proxy_is_updated() {
    let mut cluster = cluster(4, 11, None).await;
    let old = cluster.copy_state(3).expect("it is there");
    // A partitioned proxy is updated once the partition ends.
    cluster.network.partition(&[&[2]]);
    cluster.apply(0, &routes(2)).await.expect("it is taken");
    for proxy in [1, 3] {
        wait_for_generation(&cluster, proxy, 2).await;
    }
    assert_eq!(
        generation(&cluster.query(2, "/config/status").await.expect("response")),
        1
    );
    assert_eq!(
        cluster.call(2).await,
        Ok(200),
        "it is not required: who is cut off serves on"
    );
    cluster.network.heal();
    wait_for_generation(&cluster, 2, 2).await;
    // A proxy that returns with outdated state is updated.
    cluster.kill(3);
    cluster.restore_state(3, &old).expect("it is put back");
    cluster.start(3).await.expect("it starts");
    wait_for_generation(&cluster, 3, 2).await;
    // A later change gets a number above all known ones.
    cluster.apply(1, &routes(3)).await.expect("it is taken");
    for proxy in 0..4 {
        wait_for_generation(&cluster, proxy, 3).await;
    }
}

/// If the sources of an update are killed, a proxy must fetch it from another one.
#[tokio::test]
async fn update_sources_are_killed() {
    let mut cluster = cluster(4, 12, None).await;
    cluster.network.partition(&[&[3]]);
    cluster.apply(0, &routes(2)).await.expect("it is taken");
    for proxy in [1, 2] {
        wait_for_generation(&cluster, proxy, 2).await;
    }
    cluster.network.configure_all(|w| w.loss = 0.2);
    cluster.network.configure_links_of(3, |w| w.blocked = false);
    cluster.kill(0);
    cluster.kill(1);
    wait_for_generation(&cluster, 3, 2).await;
}

/// A proxy that can't apply a change must reject it once, and the audit must give the reason.
#[tokio::test]
async fn a_change_that_some_proxies_reject() {
    let cluster = cluster(3, 13, None).await;
    // Only one proxy can listen on this port.
    let port = std::net::TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .expect("a port")
        .port();
    let pool = routes(2).replace("[[route]]", "[pool.rpc]\nframing = \"lines\"\n[[route]]");
    let listener_routes = format!(
        "{pool}[[listener]]\nname = \"remote\"\nprotocol = \"json-rpc\"\nlisten = \"127.0.0.1:{port}\"\nframing = \"lines\"\n\
         [[listener.method]]\nname = \"look\"\nclass = \"look\"\n"
    );
    cluster
        .apply(0, &listener_routes)
        .await
        .expect("it is taken where it was proposed");
    let down = |response: &Value| {
        (1..3).all(|p| {
            response["members"][p]["turned_down"]
                .as_array()
                .is_some_and(|t| !t.is_empty())
        })
    };
    let audit = cluster
        .wait_until(0, "/fleet/audit", down)
        .await
        .expect("both turn it down");
    for proxy in 1..3 {
        let [down] = &audit["members"][proxy]["turned_down"]
            .as_array()
            .expect("a list")[..]
        else {
            panic!("it is turned down once: {audit}")
        };
        assert!(
            down["why"]
                .as_str()
                .is_some_and(|w| w.contains("listener remote")),
            "{down}"
        );
    }
    assert_eq!(
        generation(&cluster.query(1, "/config/status").await.expect("response")),
        1
    );
    // Numbers are fleet-wide: the next change is number 3, even at a proxy that rejected number 2.
    cluster.apply(1, &routes(3)).await.expect("it is taken");
    for proxy in 0..3 {
        wait_for_generation(&cluster, proxy, 3).await;
    }
}

/// Proxies with traffic must roll back a harmful change during probation while one without traffic
/// keeps it, and the audit must show both.
#[tokio::test]
async fn a_harmful_change_is_rolled_back_where_it_has_traffic() {
    let (routes, probation_ms) = (Some(routes(1)), Some(3000));
    let options = Options {
        routes,
        period_ms: PERIOD_MS,
        probation_ms,
        ..Options::default()
    };
    let mut cluster = Cluster::start_all(&daemon(), 3, 15, options)
        .await
        .expect("it starts");
    cluster
        .wait_for_all_alive()
        .await
        .expect("all members alive");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let harmful = common::routes(2).replace(
        "BACKEND",
        &listener.local_addr().expect("bound").to_string(),
    );
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buffer = Buffer::default();
                while buffer.request(&mut stream).await.is_ok() {
                    if stream
                        .write_all(&http::encode_response(500, "", ""))
                        .await
                        .is_err()
                    {
                        return;
                    }
                }
            });
        }
    });
    let admin = cluster.daemon(0).expect("it runs").admin_address;
    for n in 0..100 {
        if n == 60 {
            let response = heathroad_harness::daemon::post(admin, "/config/apply", &harmful).await;
            assert_eq!(response.expect("an answer").0, 200);
        }
        for proxy in 1..3 {
            assert_eq!(cluster.call(proxy).await, Ok(200));
        }
    }
    let end = tokio::time::Instant::now() + Duration::from_secs(60);
    let audit = loop {
        for proxy in [1, 2].repeat(30) {
            let _ = cluster.call(proxy).await;
        }
        let audit = cluster.query(0, "/fleet/audit").await.expect("response");
        let down = |p: usize| {
            audit["members"][p]["turned_down"]
                .as_array()
                .is_some_and(|t| !t.is_empty())
        };
        if down(1) && down(2) {
            break audit;
        }
        assert!(tokio::time::Instant::now() < end, "{audit}");
    };
    let generations: Vec<u64> = (0..3)
        .map(|p| {
            audit["members"][p]["pages"]
                .as_array()
                .and_then(|p| p.last())
                .expect("a page")
        })
        .map(|page| page["version"]["generation"].as_u64().expect("a number"))
        .collect();
    assert_eq!(generations[0], 2, "{audit}");
    for proxy in 1..3 {
        let why = audit["members"][proxy]["turned_down"][0]["why"]
            .as_str()
            .unwrap_or_default();
        assert!(why.contains("undone") && why.contains("pool all"), "{why}");
        let undone: u64 = audit["members"][proxy]["pages"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(|p| p["acts"]["undone"].as_u64())
            .sum();
        assert_eq!(undone, 1, "{audit}");
        assert_ne!(generations[proxy], 2);
        assert_eq!(cluster.call(proxy as u16).await, Ok(200));
    }
}

/// Two changes with the same number from both sides of a partition must be reported as a conflict
/// and not spread.
#[tokio::test]
async fn two_changes_with_the_same_number() {
    let cluster = cluster(4, 14, None).await;
    cluster.network.partition(&[&[0, 1], &[2, 3]]);
    cluster.apply(0, &routes(2)).await.expect("it is taken");
    cluster.apply(3, &routes(3)).await.expect("it is taken");
    for proxy in [1, 2] {
        wait_for_generation(&cluster, proxy, 2).await;
    }
    cluster.network.heal();
    for proxy in 0..4 {
        let both = |t: &Value| t["wanted"]["is"] == "both" && t["wanted"]["number"] == 2;
        cluster
            .wait_until(proxy, "/fleet/members", both)
            .await
            .expect("the conflict is known");
    }
    cluster.apply(2, &routes(4)).await.expect("it is taken");
    for proxy in 0..4 {
        wait_for_generation(&cluster, proxy, 3).await;
    }
}

/// A proxy that resumes with queued requests must not use a version older than the required one.
#[tokio::test]
async fn no_request_uses_an_old_version_past_its_bound() {
    // With self-fencing, and without it when the proxy knows the requirement before the pause.
    for (seed, fence_after_ms) in [(15, Some(5 * PERIOD_MS)), (16, None)] {
        let mut cluster = cluster(3, seed, fence_after_ms).await;
        assert_eq!(cluster.call(1).await, Ok(200));
        let old = cluster
            .backend_requests()
            .last()
            .and_then(|n| n.version.clone())
            .expect("response");
        let within = 3000;
        if fence_after_ms.is_some() {
            cluster
                .daemon(1)
                .expect("it runs")
                .suspend()
                .expect("stopped");
            cluster
                .apply_by(0, &routes(2), within)
                .await
                .expect("it is taken");
        } else {
            // The proxy learns of the change before it is suspended.
            cluster
                .apply_by(0, &routes(2), within)
                .await
                .expect("it is taken");
            let known = |t: &Value| t["required"][0]["number"] == 2;
            cluster
                .wait_until(1, "/fleet/members", known)
                .await
                .expect("it hears of it");
            cluster
                .daemon(1)
                .expect("it runs")
                .suspend()
                .expect("stopped");
        }
        let bound = cluster.clock.now() + within * 1000;
        let calls: Vec<_> = (0..20)
            .map(|_| tokio::spawn(cluster.start_call(1).expect("it runs")))
            .collect();
        sleep(Duration::from_millis(within + 1500)).await;
        assert!(cluster.clock.now() > bound);
        cluster
            .daemon(1)
            .expect("it runs")
            .resume()
            .expect("goes on");
        let mut refused = 0;
        for call in calls {
            let status = call.await.expect("no panic").expect("each is answered");
            assert!(status == 200 || status == 503, "{status}");
            refused += usize::from(status == 503);
        }
        let late: Vec<_> = cluster
            .backend_requests()
            .into_iter()
            .filter(|n| n.proxy == 1 && n.at > bound)
            .collect();
        assert!(
            late.iter().all(|n| n.version.as_ref() != Some(&old)),
            "{late:?}"
        );
        assert_eq!(
            refused + late.len(),
            20,
            "refused at once, or decided on what is required"
        );
        wait_for_generation(&cluster, 1, 2).await;
        let served = |t: &Value| t["fenced"] == false;
        cluster
            .wait_until(1, "/fleet/members", served)
            .await
            .expect("it is no longer fenced");
        assert_eq!(cluster.call(1).await, Ok(200));
        let audit = cluster.query(2, "/fleet/audit").await.expect("response");
        let spells = audit["members"][1]["spells"]
            .as_array()
            .expect("reached")
            .clone();
        let fenced = |s: &Value| s["trouble"] == "fenced" && s["to"].is_u64();
        assert!(refused == 0 || spells.iter().any(fenced), "{spells:?}");
    }
}

/// A partitioned proxy must fence itself, report that it is not ready, and recover.
#[tokio::test]
async fn a_partitioned_proxy_fences_itself() {
    let mut cluster = cluster(3, 17, Some(5 * PERIOD_MS)).await;
    cluster.network.partition(&[&[2]]);
    cluster
        .wait_until(2, "/fleet/members", |t| t["fenced"] == true)
        .await
        .expect("it can't know");
    assert_eq!(cluster.call(2).await, Ok(503));
    let listens = cluster.daemon(2).expect("it runs").listen_address;
    let ready = heathroad_harness::daemon::get(listens, "/health/ready")
        .await
        .expect("it answers");
    assert_eq!(ready.0, 503);
    assert_eq!(cluster.call(0).await, Ok(200), "two of three know");
    let short = cluster
        .apply_by(0, &routes(2), 1000)
        .await
        .expect_err("sooner than anybody could know");
    assert!(short.contains("expected 1500 at least"), "{short}");
    cluster.network.heal();
    cluster
        .wait_until(2, "/fleet/members", |t| t["fenced"] == false)
        .await
        .expect("it knows again");
    assert_eq!(cluster.call(2).await, Ok(200));
}

/// A suspended proxy must not cause the others, which form a majority, to be fenced.
#[tokio::test]
async fn a_majority_is_not_fenced() {
    let cluster = cluster(3, 18, Some(5 * PERIOD_MS)).await;
    let fenced = |audit: &Value, p: usize| {
        let spells = audit["members"][p]["spells"]
            .as_array()
            .expect("reached")
            .clone();
        spells.iter().filter(|s| s["trouble"] == "fenced").count()
    };
    let before = cluster.query(0, "/fleet/audit").await.expect("response");
    cluster
        .daemon(2)
        .expect("it runs")
        .suspend()
        .expect("stopped");
    sleep(Duration::from_millis(30 * PERIOD_MS)).await;
    cluster
        .wait_for_standing(0, 2, "gone")
        .await
        .expect("it says nothing");
    let after = cluster.query(0, "/fleet/audit").await.expect("response");
    for proxy in [0, 1] {
        assert_eq!(
            fenced(&after, proxy),
            fenced(&before, proxy),
            "proxy {proxy}: {after}"
        );
    }
}
