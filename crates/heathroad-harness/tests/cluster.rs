//! Several processes of the daemon with faults between them: what they know of each other, and what
//! their audit says.

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
    cluster.wait_for_all_alive().await.expect("all know all");
    cluster
}

fn member(told: &Value, place: u16) -> &Value {
    &told["members"][usize::from(place)]
}

/// Attempts by version that a member's record tells of, in all its pages.
fn sent(member: &Value) -> BTreeMap<String, u64> {
    let mut sent = BTreeMap::new();
    for page in member["pages"].as_array().expect("reached") {
        let digest = page["digest"].as_str().expect("a digest").to_string();
        *sent.entry(digest).or_insert(0) += page["acts"]["sent"].as_u64().expect("a count");
    }
    sent.retain(|_, n| *n > 0);
    sent
}

/// What the backend saw of a proxy, by version.
fn seen(cluster: &Cluster, proxy: u16) -> BTreeMap<String, u64> {
    let mut seen = BTreeMap::new();
    for noted in cluster
        .backend_requests()
        .into_iter()
        .filter(|n| n.proxy == proxy)
    {
        *seen
            .entry(noted.version.expect("every attempt tells its version"))
            .or_insert(0) += 1;
    }
    seen
}

#[tokio::test]
async fn a_killed_proxy_is_gone_for_all_and_comes_back_in_a_new_life() {
    let mut cluster = cluster(4, 1, false).await;
    let life = |told: &Value| {
        member(told, 2)["incarnation"]["life"]
            .as_u64()
            .expect("a life")
    };
    let before = life(&cluster.query(0, "/fleet/members").await.expect("told"));
    cluster.kill(2);
    for at in [0, 1, 3] {
        let told = cluster
            .wait_for_standing(at, 2, "gone")
            .await
            .expect("its death is known");
        assert!(
            (0..4)
                .filter(|p| *p != 2)
                .all(|p| member(&told, p)["standing"] == "alive"),
            "{told}"
        );
    }
    // Nobody is left to say what it did: that is told, and not guessed.
    let audit = cluster.query(0, "/fleet/audit").await.expect("told");
    assert_eq!(
        (
            &member(&audit, 2)["reached"],
            &member(&audit, 2)["unknown_until"]
        ),
        (&false.into(), &Value::Null)
    );
    cluster.start(2).await.expect("it starts again");
    cluster.wait_for_all_alive().await.expect("all know all");
    let after = life(&cluster.query(0, "/fleet/members").await.expect("told"));
    assert!(after > before);
    // Its record was on disk: its former life is known again, and where it is torn.
    let told = cluster.query(0, "/fleet/audit").await.expect("told");
    let pages = member(&told, 2)["pages"]
        .as_array()
        .expect("reached")
        .clone();
    assert!(
        pages
            .iter()
            .any(|p| p["life"].as_u64() == Some(before) && p["torn"] == true),
        "{pages:?}"
    );
    // With nothing kept, the loss shows as a record that begins anew.
    cluster.kill(2);
    cluster.delete_state(2).expect("its state is taken away");
    cluster.start(2).await.expect("it starts again");
    cluster.wait_for_all_alive().await.expect("all know all");
    let told = cluster.query(0, "/fleet/audit").await.expect("told");
    let pages = member(&told, 2)["pages"]
        .as_array()
        .expect("reached")
        .clone();
    assert!(
        pages.iter().all(|p| p["life"].as_u64() != Some(before)),
        "{pages:?}"
    );
}

/// A stalled proxy that wakes knows that it stalled, accuses nobody, and is among the others again.
#[tokio::test]
async fn a_stalled_proxy_wakes() {
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
    cluster.wait_for_all_alive().await.expect("all know all");
    let told = cluster.query(1, "/fleet/members").await.expect("told");
    let news = told["news"].as_array().expect("a list");
    assert!(news.iter().any(|n| n["news"]["what"] == "woke"), "{news:?}");
    let accused = |n: &&Value| n["news"]["what"] == "suspected" && n["news"]["by"] == 1;
    assert_eq!(news.iter().filter(accused).count(), 0, "{news:?}");
    let audit = cluster.query(3, "/fleet/audit").await.expect("told");
    let spells = member(&audit, 1)["spells"]
        .as_array()
        .expect("reached")
        .clone();
    assert!(
        spells.iter().any(|s| s["trouble"] == "stalled"),
        "{spells:?}"
    );
}

/// An audit that is asked during a cut says whom it did not reach; one that is asked after it fills
/// the gap and contradicts nothing.
#[tokio::test]
async fn an_audit_during_a_cut_and_after_it() {
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
    let during = cluster.query(0, "/fleet/audit").await.expect("told");
    assert_eq!(member(&during, 1)["reached"], true);
    let unknown = member(&during, 2);
    assert_eq!(
        (&unknown["reached"], &unknown["pages"]),
        (&false.into(), &Value::Null),
        "{unknown}"
    );
    assert!(
        unknown["last_acts"][0].is_string(),
        "what was heard last is told"
    );
    cluster.network.heal();
    cluster.wait_for_all_alive().await.expect("all know all");
    let after = cluster.query(0, "/fleet/audit").await.expect("told");
    for place in [0, 1] {
        let pages = |told: &Value| {
            let pages = member(told, place)["pages"]
                .as_array()
                .expect("reached")
                .clone();
            pages
                .into_iter()
                .map(|p| (p["from"].clone(), p["digest"].clone()))
                .collect::<Vec<_>>()
        };
        let (was, is) = (pages(&during), pages(&after));
        // Another's clock is known to some milliseconds.
        let near = |(a, b): (&(Value, Value), &(Value, Value))| {
            let at = |v: &Value| v.as_u64().expect("a time");
            a.1 == b.1 && at(&a.0).abs_diff(at(&b.0)) < 2000
        };
        assert!(was.iter().zip(&is).all(near), "{was:?} {is:?}");
    }
    let known = member(&after, 2);
    assert_eq!(sent(known), seen(&cluster, 2));
    let last = member(&during, 2)["last_acts"][0]
        .as_str()
        .expect("a digest")
        .to_string();
    assert!(
        sent(known).contains_key(&last),
        "what was heard last is in the record: {known}"
    );
}

/// A proxy that hears and is not heard, or the other way round, accuses nobody who is there.
#[tokio::test]
async fn a_cut_one_way() {
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
    let others = cluster.query(0, "/fleet/members").await.expect("told");
    assert_eq!(member(&others, 1)["standing"], "alive");
    cluster.network.heal();
    cluster.wait_for_all_alive().await.expect("all know all");
    let audit = cluster.query(0, "/fleet/audit").await.expect("told");
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

/// Changes come into force at one proxy after the other, under calls, over ways that lose, repeat
/// and tear: every attempt that the backend saw is in the audit under the version that the backend
/// was told, and no other.
#[tokio::test]
async fn the_audit_equals_what_the_backend_saw() {
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
        // Each is brought up in its own time, under calls.
        for proxy in 0..3 {
            let there = |s: &Value| s["generation"] == next && s["open"].is_null();
            while !there(&cluster.query(proxy, "/config/status").await.expect("told")) {
                assert_eq!(cluster.call(proxy).await, Ok(200));
                sleep(Duration::from_millis(20)).await;
            }
            assert_eq!(cluster.call(proxy).await, Ok(200));
        }
    }
    cluster.wait_for_all_alive().await.expect("all know all");
    let all_reached = |t: &Value| (0..3).all(|p| member(t, p)["reached"] == true);
    let audit = cluster
        .wait_until(0, "/fleet/audit", all_reached)
        .await
        .expect("told");
    for proxy in 0..3 {
        assert_eq!(
            sent(member(&audit, proxy)),
            seen(&cluster, proxy),
            "proxy {proxy}: {}",
            member(&audit, proxy)
        );
        assert!(seen(&cluster, proxy).len() >= 3, "several versions");
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
        let told = cluster.query(proxy, "/fleet/members").await.expect("told");
        let count = |why: &str| told["traffic"]["dropped"][why].as_u64().expect("a count");
        dropped[0] += count("torn") + count("forged");
        dropped[1] += count("replayed");
    }
    assert!(
        dropped.iter().all(|n| *n > 0),
        "half messages and repeats are told apart: {dropped:?}"
    );
}

/// A request that is bound before a change and answered long after it stands under the version that
/// it was bound to.
#[tokio::test]
async fn an_act_long_after_the_change_is_under_what_it_was_bound_to() {
    let mut cluster = cluster(2, 6, true).await;
    cluster.hold_responses(true);
    let call = tokio::spawn(cluster.start_call(0).expect("it runs"));
    while cluster.backend_requests().is_empty() {
        sleep(Duration::from_millis(10)).await;
    }
    cluster.apply(0, &routes(2)).await.expect("it is taken");
    cluster.hold_responses(false);
    assert_eq!(call.await.expect("no panic"), Ok(200));
    let audit = cluster.query(1, "/fleet/audit").await.expect("told");
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

/// Without a file of the fleet nothing is sent or read on the peers' port, and nothing is kept.
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
    let alone = heathroad_harness::daemon::start(&daemon(), &file, &config, 256)
        .await
        .expect("it starts");
    sleep(Duration::from_millis(1500)).await;
    let mut bytes = [0; 512];
    let heard = port.recv_from(&mut bytes).map_err(|e| e.kind());
    assert_eq!(heard.err(), Some(std::io::ErrorKind::WouldBlock));
    let told = heathroad_harness::daemon::get(alone.admin_address, "/fleet/members")
        .await
        .expect("it answers");
    assert_eq!(told.0, 404);
    drop(alone);
    std::fs::remove_dir_all(&folder).expect("it is there");
}
