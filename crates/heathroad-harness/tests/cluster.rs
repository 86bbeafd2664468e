//! Membership and audit of several daemon processes under network and process faults.

mod common;

use common::{daemon, routes};
use heathroad_harness::cluster::{Cluster, Options};
use heathroad_harness::emulator::network::Delivery;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::UdpSocket;
use std::time::Duration;
use tokio::time::sleep;

const PERIOD_MS: u64 = 300;

async fn cluster(proxies: u16, seed: u64, with_routes: bool) -> Cluster {
    let routes = with_routes.then(|| routes(1));
    let options = Options {
        routes,
        period_ms: PERIOD_MS,
        fence_unsure_after_ms: None,
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

fn member(response: &Value, place: u16) -> &Value {
    &response["members"][usize::from(place)]
}

/// Returns a member's audited attempts by version.
fn audited_attempts(member: &Value) -> BTreeMap<String, u64> {
    let mut sent = BTreeMap::new();
    for page in member["pages"].as_array().expect("reached") {
        let digest = page["digest"].as_str().expect("a digest").to_string();
        *sent.entry(digest).or_insert(0) += page["acts"]["sent"].as_u64().expect("a count");
    }
    sent.retain(|_, n| *n > 0);
    sent
}

/// Returns the attempts of a proxy that the backend received, by version.
fn received_attempts(cluster: &Cluster, proxy: u16) -> BTreeMap<String, u64> {
    let mut seen = BTreeMap::new();
    for noted in cluster
        .backend_requests()
        .into_iter()
        .filter(|n| n.proxy == proxy)
    {
        *seen
            .entry(noted.version.expect("every attempt carries its version"))
            .or_insert(0) += 1;
    }
    seen
}

#[tokio::test]
async fn a_killed_proxy_is_reported_gone_and_returns_with_a_new_incarnation() {
    let mut cluster = cluster(4, 1, false).await;
    let life = |response: &Value| {
        member(response, 2)["incarnation"]["life"]
            .as_u64()
            .expect("a life")
    };
    let before = life(&cluster.query(0, "/fleet/members").await.expect("response"));
    cluster.kill(2);
    for at in [0, 1, 3] {
        let response = cluster
            .wait_for_standing(at, 2, "gone")
            .await
            .expect("its death is known");
        assert!(
            (0..4)
                .filter(|p| *p != 2)
                .all(|p| member(&response, p)["standing"] == "alive"),
            "{response}"
        );
    }
    // Its activity is unknown, and reported as unknown.
    let audit = cluster.query(0, "/fleet/audit").await.expect("response");
    assert_eq!(
        (
            &member(&audit, 2)["reached"],
            &member(&audit, 2)["unknown_until"]
        ),
        (&false.into(), &Value::Null)
    );
    cluster.start(2).await.expect("it starts again");
    cluster
        .wait_for_all_alive()
        .await
        .expect("all members alive");
    let after = life(&cluster.query(0, "/fleet/members").await.expect("response"));
    assert!(after > before);
    // Its record on disk covers the former incarnation, with its incomplete end.
    let response = cluster.query(0, "/fleet/audit").await.expect("response");
    let pages = member(&response, 2)["pages"]
        .as_array()
        .expect("reached")
        .clone();
    assert!(
        pages
            .iter()
            .any(|p| p["life"].as_u64() == Some(before) && p["torn"] == true),
        "{pages:?}"
    );
    // Without its state the record starts again.
    cluster.kill(2);
    cluster.delete_state(2).expect("its state is taken away");
    cluster.start(2).await.expect("it starts again");
    cluster
        .wait_for_all_alive()
        .await
        .expect("all members alive");
    let response = cluster.query(0, "/fleet/audit").await.expect("response");
    let pages = member(&response, 2)["pages"]
        .as_array()
        .expect("reached")
        .clone();
    assert!(
        pages.iter().all(|p| p["life"].as_u64() != Some(before)),
        "{pages:?}"
    );
}

/// A resumed proxy must notice its pause, suspect no other member and rejoin.
#[tokio::test]
async fn a_suspended_proxy_rejoins() {
    let cluster = cluster(4, 2, false).await;
    cluster
        .daemon(1)
        .expect("it runs")
        .suspend()
        .expect("stopped");
    cluster
        .wait_for_standing(0, 1, "gone")
        .await
        .expect("it says nothing");
    cluster
        .daemon(1)
        .expect("it runs")
        .resume()
        .expect("goes on");
    cluster
        .wait_for_all_alive()
        .await
        .expect("all members alive");
    let response = cluster.query(1, "/fleet/members").await.expect("response");
    let news = response["news"].as_array().expect("a list");
    assert!(news.iter().any(|n| n["news"]["what"] == "woke"), "{news:?}");
    let accused = |n: &&Value| n["news"]["what"] == "suspected" && n["news"]["by"] == 1;
    assert_eq!(news.iter().filter(accused).count(), 0, "{news:?}");
    let audit = cluster.query(3, "/fleet/audit").await.expect("response");
    let spells = member(&audit, 1)["spells"]
        .as_array()
        .expect("reached")
        .clone();
    assert!(
        spells.iter().any(|s| s["trouble"] == "stalled"),
        "{spells:?}"
    );
}

/// An audit during a partition must name the unreached members; one afterwards must complete it
/// consistently.
#[tokio::test]
async fn an_audit_during_and_after_a_partition() {
    let mut cluster = cluster(4, 3, true).await;
    for proxy in 0..4 {
        assert_eq!(cluster.call(proxy).await, Ok(200));
    }
    cluster.network.partition(&[&[0, 1], &[2, 3]]);
    cluster
        .wait_for_standing(0, 2, "gone")
        .await
        .expect("the other side is out of reach");
    cluster
        .apply(2, &routes(2))
        .await
        .expect("a change on the other side");
    assert_eq!(cluster.call(2).await, Ok(200));
    let during = cluster.query(0, "/fleet/audit").await.expect("response");
    assert_eq!(member(&during, 1)["reached"], true);
    let unknown = member(&during, 2);
    assert_eq!(
        (&unknown["reached"], &unknown["pages"]),
        (&false.into(), &Value::Null),
        "{unknown}"
    );
    assert!(
        unknown["last_acts"][0].is_string(),
        "the last known activity is reported"
    );
    cluster.network.heal();
    cluster
        .wait_for_all_alive()
        .await
        .expect("all members alive");
    let after = cluster.query(0, "/fleet/audit").await.expect("response");
    for place in [0, 1] {
        let pages = |response: &Value| {
            let pages = member(response, place)["pages"]
                .as_array()
                .expect("reached")
                .clone();
            pages
                .into_iter()
                .map(|p| (p["from"].clone(), p["digest"].clone()))
                .collect::<Vec<_>>()
        };
        let (was, is) = (pages(&during), pages(&after));
        // Clocks of other members are estimated.
        let near = |(a, b): (&(Value, Value), &(Value, Value))| {
            let at = |v: &Value| v.as_u64().expect("a time");
            a.1 == b.1 && at(&a.0).abs_diff(at(&b.0)) < 2000
        };
        assert!(was.iter().zip(&is).all(near), "{was:?} {is:?}");
    }
    let known = member(&after, 2);
    assert_eq!(audited_attempts(known), received_attempts(&cluster, 2));
    let last = member(&during, 2)["last_acts"][0]
        .as_str()
        .expect("a digest")
        .to_string();
    assert!(
        audited_attempts(known).contains_key(&last),
        "the last known activity is in the record: {known}"
    );
}

/// A one-way partition must not make a proxy suspect available members.
#[tokio::test]
async fn a_one_way_partition() {
    let cluster = cluster(3, 4, false).await;
    for other in [0, 1] {
        cluster
            .network
            .configure_link(other, 2, |w| w.blocked = true);
    }
    let cut = cluster
        .wait_until(2, "/fleet/members", |t| t["cut_off"] == true)
        .await
        .expect("it hears nobody");
    assert_eq!(
        [0, 1].map(|p| member(&cut, p)["standing"].clone()),
        ["alive", "alive"],
        "{cut}"
    );
    let others = cluster.query(0, "/fleet/members").await.expect("response");
    assert_eq!(member(&others, 1)["standing"], "alive");
    cluster.network.heal();
    cluster
        .wait_for_all_alive()
        .await
        .expect("all members alive");
    let audit = cluster.query(0, "/fleet/audit").await.expect("response");
    let spells = member(&audit, 2)["spells"]
        .as_array()
        .expect("reached")
        .clone();
    assert!(
        spells
            .iter()
            .any(|s| s["trouble"] == "cut_off" && s["to"].is_u64()),
        "{spells:?}"
    );
}

/// While changes spread over lossy links, the audit must attribute every attempt to the version that
/// the backend received.
#[tokio::test]
async fn the_audit_equals_the_attempts_at_the_backend() {
    let mut cluster = cluster(3, 5, true).await;
    cluster.network.configure_all(|w| {
        (w.loss, w.duplication, w.truncation) = (0.2, 0.1, 0.05);
        w.jitter = Duration::from_millis(30);
    });
    for round in 0..3 {
        let next = 2 + u64::from(round);
        cluster
            .apply(round, &routes(next))
            .await
            .expect("it is taken");
        // Each proxy is updated under load.
        for proxy in 0..3 {
            let there = |s: &Value| s["generation"] == next && s["open"].is_null();
            while !there(
                &cluster
                    .query(proxy, "/config/status")
                    .await
                    .expect("response"),
            ) {
                assert_eq!(cluster.call(proxy).await, Ok(200));
                sleep(Duration::from_millis(20)).await;
            }
            assert_eq!(cluster.call(proxy).await, Ok(200));
        }
    }
    cluster
        .wait_for_all_alive()
        .await
        .expect("all members alive");
    let all_reached = |t: &Value| (0..3).all(|p| member(t, p)["reached"] == true);
    let audit = cluster
        .wait_until(0, "/fleet/audit", all_reached)
        .await
        .expect("response");
    for proxy in 0..3 {
        assert_eq!(
            audited_attempts(member(&audit, proxy)),
            received_attempts(&cluster, proxy),
            "proxy {proxy}: {}",
            member(&audit, proxy)
        );
        assert!(
            received_attempts(&cluster, proxy).len() >= 3,
            "several versions"
        );
    }
    let (record, _) = cluster.network.messages();
    for fate in [
        Delivery::Delivered,
        Delivery::Duplicated,
        Delivery::Truncated,
        Delivery::Lost,
    ] {
        assert!(
            record.iter().any(|m| m.delivery == fate),
            "{fate:?} was done to none of {}",
            record.len()
        );
    }
    assert!(
        record
            .iter()
            .all(|m| m.delivery != Delivery::TooLong && m.length <= 256)
    );
    let mut dropped = [0, 0];
    for proxy in 0..3 {
        let response = cluster
            .query(proxy, "/fleet/members")
            .await
            .expect("response");
        let count = |why: &str| {
            response["traffic"]["dropped"][why]
                .as_u64()
                .expect("a count")
        };
        dropped[0] += count("torn") + count("forged");
        dropped[1] += count("replayed");
    }
    assert!(
        dropped.iter().all(|n| *n > 0),
        "truncated and repeated messages are counted: {dropped:?}"
    );
}

/// A request that is routed before a change and answered after it must be audited under the old
/// version.
#[tokio::test]
async fn a_late_response_is_audited_under_the_version_of_its_request() {
    let mut cluster = cluster(2, 6, true).await;
    cluster.hold_responses(true);
    let call = tokio::spawn(cluster.start_call(0).expect("it runs"));
    while cluster.backend_requests().is_empty() {
        sleep(Duration::from_millis(10)).await;
    }
    cluster.apply(0, &routes(2)).await.expect("it is taken");
    cluster.hold_responses(false);
    assert_eq!(call.await.expect("no panic"), Ok(200));
    let audit = cluster.query(1, "/fleet/audit").await.expect("response");
    let pages = member(&audit, 0)["pages"]
        .as_array()
        .expect("reached")
        .clone();
    let of = |generation: u64| {
        pages
            .iter()
            .rfind(|p| p["version"]["generation"] == generation)
            .expect("a page")
    };
    let (old, new) = (of(1), of(2));
    assert_eq!(
        (&old["acts"]["bound"], &old["acts"]["served"]),
        (&1.into(), &1.into()),
        "{old}"
    );
    assert!(old["last"].as_u64() > old["to"].as_u64(), "{old}");
    assert_eq!(
        (&new["acts"]["bound"], &new["acts"]["served"]),
        (&0.into(), &0.into()),
        "{new}"
    );
}

/// Without a fleet file nothing is sent or received on the peer port.
#[tokio::test]
async fn without_a_fleet_the_peers_port_stays_closed() {
    let port = UdpSocket::bind("127.0.0.1:0").expect("a port");
    port.set_nonblocking(true).expect("it can");
    let at = port.local_addr().expect("bound").to_string();
    let folder = std::env::temp_dir().join(format!("heathroad-alone-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let schedule = common::schedule(common::SMALL, 1);
    let classes: Vec<_> = schedule
        .scenario
        .class
        .iter()
        .map(|c| c.name.clone())
        .collect();
    let config = serde_json::json!({
        "listen": "127.0.0.1:0", "admin": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 256}, "peer_listen": at, "peers": [at, at],
        "known": {"seq": 1, "whole": true, "hosts": [{"host": "b", "dial": "127.0.0.1:9", "site": "a", "class": "",
            "block": 0, "health": "SERVING", "share": 1.0, "born_ms": 0}]},
        "settings": {
            "slotNo": 0, "peersTotal": 2, "tier": 0, "locality": 0, "localities": ["a"], "tick": 5.0,
            "overShareWorth": 0.05, "discovery": "automatic", "tenants": [],
            "classes": [{"name": classes[0], "aim": 1000.0, "points": 1.0, "semantics": "retryable", "group": "all",
                "window": 0.0}],
            "caps": {"cancelling": true, "retryAfter": false, "maxRetryAfter": 0.0, "tryLimit": 3, "openCap": 10,
                "connIdle": 15_000.0, "connectTimeout": 250.0},
            "guarantees": {"coldFrom": 0.1, "cold": 1000.0, "fallMultiple": 3.0, "stopSendingWithin": 500.0}}
    });
    let file = folder.join("alone.json");
    let daemon_process = heathroad_harness::daemon::start(&daemon(), &file, &config, 256)
        .await
        .expect("it starts");
    sleep(Duration::from_millis(1500)).await;
    let mut bytes = [0; 512];
    let datagram = port.recv_from(&mut bytes).map_err(|e| e.kind());
    assert_eq!(datagram.err(), Some(std::io::ErrorKind::WouldBlock));
    let response = heathroad_harness::daemon::get(daemon_process.admin_address, "/fleet/members")
        .await
        .expect("it answers");
    assert_eq!(response.0, 404);
    drop(daemon_process);
    std::fs::remove_dir_all(&folder).expect("it is there");
}
