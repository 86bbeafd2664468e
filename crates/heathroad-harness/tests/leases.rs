//! Leases of real daemons: one holder at a time, handover after failures, and audit collection.

mod common;

use common::daemon;
use heathroad_harness::clock::Clock;
use heathroad_harness::cluster::{Cluster, Options};
use heathroad_harness::emulator::fencing_server::{self, FencingServer};
use serde_json::Value;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::sleep;

const PERIOD_MS: u64 = 200;
const LEASE_MS: u64 = 1000;

/// Serializes the tests: concurrent clusters would delay each other, and a late holder loses its
/// lease.
static SERIAL: Mutex<()> = Mutex::const_new(());

fn lease_section(fencing_server: &FencingServer, voters: &str) -> String {
    format!(
        "[duties]\nvoters = {voters}\nlease_ms = {LEASE_MS}\n[[duty]]\nname = \"tick\"\nwork = \"call\"\naddress = \"{}\"\n\
         every_ms = 20\n[[duty]]\nname = \"collector\"\nwork = \"collect\"\nevery_ms = 500\n",
        fencing_server.address
    )
}

async fn fencing_server() -> FencingServer {
    let options = fencing_server::Options {
        check_tokens: true,
        delayed_share: 0.0,
        max_delay: Duration::ZERO,
        seed: 1,
    };
    FencingServer::start(Clock::starting_in(Duration::ZERO), options)
        .await
        .expect("a port")
}

async fn cluster(proxies: u16, seed: u64, fencing_server: &FencingServer) -> Cluster {
    let options = Options {
        period_ms: PERIOD_MS,
        leases: lease_section(fencing_server, "[0, 1, 2]"),
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

/// Waits for an accepted call with a token above `above`; returns its member and token.
async fn wait_for_call(fencing_server: &FencingServer, above: u64) -> (u16, u64) {
    let poll = async {
        loop {
            if let Some(call) = fencing_server
                .calls()
                .iter()
                .rev()
                .find(|a| a.accepted && a.token > above)
            {
                return (call.member(), call.token);
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(60), poll)
        .await
        .expect("a call")
}

fn lease<'a>(response: &'a Value, name: &str) -> &'a Value {
    response["duties"]
        .as_array()
        .and_then(|d| d.iter().find(|d| d["name"] == name))
        .unwrap_or(&Value::Null)
}

fn spells(response: &Value) -> &[Value] {
    lease(response, "tick")["spells"]
        .as_array()
        .map_or(&[], Vec::as_slice)
}

/// After a kill, a suspension, a release and a shutdown another member must hold the lease with a
/// higher token, and the history must show it.
#[tokio::test]
async fn a_lease_is_handed_over() {
    let _serial = SERIAL.lock().await;
    let fencing_server = fencing_server().await;
    let mut cluster = cluster(5, 41, &fencing_server).await;
    let (first, one) = wait_for_call(&fencing_server, 0).await;
    let held = |t: &Value| lease(t, "tick")["holder"] == first;
    cluster
        .wait_until((first + 1) % 5, "/duty/list", held)
        .await
        .expect("voters say who holds it");
    cluster.kill(first);
    let (second, two) = wait_for_call(&fencing_server, one).await;
    cluster.start(first).await.expect("it starts again");
    cluster
        .wait_for_all_alive()
        .await
        .expect("all members alive");

    cluster
        .daemon(second)
        .expect("it runs")
        .suspend()
        .expect("stopped");
    let (third, three) = wait_for_call(&fencing_server, two).await;
    cluster
        .daemon(second)
        .expect("it runs")
        .resume()
        .expect("goes on");
    let lapsed = |t: &Value| {
        spells(t)
            .iter()
            .any(|s| s["place"] == second && s["why"] == "lapsed")
    };
    cluster
        .wait_until(second, "/duty/history", lapsed)
        .await
        .expect("it knows that its time was over");

    cluster
        .release_lease(third, "tick")
        .await
        .expect("it lets go");
    let (fourth, four) = wait_for_call(&fencing_server, three).await;
    assert_ne!(third, fourth);
    cluster.stop(fourth).await.expect("it stops as planned");
    let (fifth, _) = wait_for_call(&fencing_server, four).await;

    let all =
        |t: &Value| t["unreached"].as_array().is_some_and(Vec::is_empty) && spells(t).len() >= 5;
    let response = cluster
        .wait_until(fifth, "/duty/history", all)
        .await
        .expect("all who are there are asked");
    let of = |token: u64| {
        let token = format!("{token:016x}");
        spells(&response)
            .iter()
            .find(|s| s["token"] == token.as_str())
            .unwrap_or_else(|| panic!("{token}: {response}"))
    };
    // The first holder's own record is lost; the voters' grants bound its lease.
    assert!(
        of(one)["known"] == false && of(one)["to"].is_null(),
        "{response}"
    );
    assert!(of(one)["at_the_latest"].is_u64(), "{response}");
    assert_eq!(
        (of(two)["place"].as_u64(), &of(three)["why"]),
        (Some(second.into()), &"told".into()),
        "{response}"
    );
    assert_eq!(of(four)["resigned"], true, "{response}");
    assert_eq!(
        fencing_server::check(&fencing_server.calls()),
        Vec::<String>::new()
    );
    let numbers: Vec<u64> = fencing_server
        .calls()
        .iter()
        .filter(|a| a.accepted)
        .map(|a| a.number)
        .collect();
    assert!(
        numbers.windows(2).all(|w| w[1] == w[0] || w[1] == w[0] + 1),
        "checkpoints continue the sequence"
    );

    let picture = std::env::temp_dir().join(format!("duties-{}.svg", std::process::id()));
    let admin = cluster
        .daemon(fifth)
        .expect("it runs")
        .admin_address
        .to_string();
    let run_command = |args: &[&str]| {
        let mut command = std::process::Command::new(daemon());
        let done = command
            .arg("duty")
            .args(args)
            .args(["--admin", &admin])
            .output()
            .expect("it runs");
        assert!(
            done.status.success(),
            "{args:?}: {}",
            String::from_utf8_lossy(&done.stderr)
        );
        String::from_utf8_lossy(&done.stdout).into_owned()
    };
    let (list, history) = (
        run_command(&["list"]),
        run_command(&["history", "--picture", &picture.display().to_string()]),
    );
    assert!(
        list.contains(&format!("held by member {fifth}, token")),
        "{list}"
    );
    assert!(
        history.contains("at the latest, by its voters") && history.contains("(told)"),
        "{history}"
    );
    let drawn = std::fs::read_to_string(&picture).expect("it is drawn");
    std::fs::remove_file(&picture).expect("it is there");
    assert!(
        drawn.contains("url(#bound)") && drawn.contains(&format!("member {fifth}, token")),
        "{drawn}"
    );
}

/// A holder whose calls fail must release the lease, and another member must take it.
#[tokio::test]
async fn a_holder_whose_calls_fail_is_replaced() {
    let _serial = SERIAL.lock().await;
    let fencing_server = fencing_server().await;
    let cluster = cluster(4, 42, &fencing_server).await;
    let (first, _) = wait_for_call(&fencing_server, 0).await;
    fencing_server.set_status(Some(500));
    let given_back = |t: &Value| {
        lease(t, "tick")["unfit"]
            .as_str()
            .is_some_and(|w| w.contains("3 calls in a row"))
    };
    cluster
        .wait_until(first, "/duty/list", given_back)
        .await
        .expect("it gives it back, and says why");
    fencing_server.set_status(None);
    let poll = async {
        while !fencing_server.calls().iter().any(|a| a.member() != first) {
            sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(60), poll)
        .await
        .expect("another one acts");
    assert_eq!(
        fencing_server::check(&fencing_server.calls()),
        Vec::<String>::new()
    );
}

/// Without a majority of voters no lease is granted but requests are served. Tokens must grow even
/// after all voters restart, with or without their state.
#[tokio::test]
async fn voters_are_partitioned_and_killed_together() {
    let _serial = SERIAL.lock().await;
    let fencing_server = fencing_server().await;
    let mut cluster = cluster(5, 43, &fencing_server).await;
    let (_, mut last) = wait_for_call(&fencing_server, 0).await;
    cluster.network.partition(&[&[0], &[1], &[2]]);
    let nobody = |t: &Value| {
        lease(t, "tick")["majority_reached"] == false && lease(t, "tick")["held_here"].is_null()
    };
    for proxy in 0..5 {
        cluster
            .wait_until(proxy, "/duty/list", nobody)
            .await
            .expect("it says that no majority is there");
    }
    let before = fencing_server.calls().len();
    for proxy in 0..5 {
        assert_eq!(cluster.call(proxy).await, Ok(200));
    }
    sleep(Duration::from_millis(LEASE_MS)).await;
    assert_eq!(fencing_server.calls().len(), before, "nobody acts");
    cluster.network.heal();
    for forget in [false, true] {
        (_, last) = wait_for_call(&fencing_server, last).await;
        (0..3).for_each(|p| cluster.kill(p));
        for p in 0..3 {
            if forget {
                cluster.delete_state(p).expect("it is taken away");
            }
            cluster.start(p).await.expect("it starts again");
        }
    }
    wait_for_call(&fencing_server, last).await;
    assert_eq!(
        fencing_server::check(&fencing_server.calls()),
        Vec::<String>::new()
    );
}

/// The audit must cover a permanently lost member from the collector's copy, and from the voters'
/// mirrors once the collector is lost too.
#[tokio::test]
async fn the_audit_covers_a_permanently_lost_member() {
    let _serial = SERIAL.lock().await;
    let fencing_server = fencing_server().await;
    let mut cluster = cluster(5, 44, &fencing_server).await;
    let holder = |t: &Value| lease(t, "collector")["holder"].as_u64();
    let response = cluster
        .wait_until(0, "/duty/list", |t| holder(t).is_some())
        .await
        .expect("somebody collects");
    let collector = holder(&response).expect("somebody") as u16;
    let lost = (3..5).find(|p| *p != collector).expect("two are no voters");
    for _ in 0..4 {
        assert_eq!(cluster.call(lost).await, Ok(200));
    }
    let asked = (0..3).find(|p| *p != collector).expect("another voter");
    // Voters mirror the collection within two rounds.
    let mirrored = |t: &Value| t["members"][usize::from(lost)]["collected"]["pages"].is_array();
    sleep(Duration::from_millis(2500)).await;
    cluster.kill(lost);
    cluster.delete_state(lost).expect("it is taken away");
    cluster
        .wait_for_standing(asked, lost, "gone")
        .await
        .expect("its death is known");
    cluster
        .wait_until(asked, "/fleet/audit", mirrored)
        .await
        .expect("its activity is still reported");
    cluster.kill(collector);
    cluster.delete_state(collector).expect("it is taken away");
    for proxy in (0..5).filter(|p| *p != collector && *p != lost) {
        cluster
            .wait_for_standing(proxy, collector, "gone")
            .await
            .expect("its death is known");
        let audit = cluster
            .wait_until(proxy, "/fleet/audit", mirrored)
            .await
            .expect("a mirror reports it");
        let member = &audit["members"][usize::from(lost)];
        assert_eq!(
            (&member["reached"], &member["collected"]["reached"]),
            (&false.into(), &false.into())
        );
        let sent: u64 = member["collected"]["pages"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(|p| p["acts"]["sent"].as_u64())
            .sum();
        assert_eq!(sent, 4, "{member}");
    }
    // The next collector continues from the mirrored collection.
    let next = |t: &Value| holder(t).is_some_and(|h| h != u64::from(collector));
    cluster
        .wait_until(asked, "/duty/list", next)
        .await
        .expect("another one collects");
}

/// The voter set must be replaceable by a rolling restart, with a generation that asks both sets.
#[tokio::test]
async fn the_voter_set_is_replaced() {
    let _serial = SERIAL.lock().await;
    let fencing_server = fencing_server().await;
    let mut cluster = cluster(5, 45, &fencing_server).await;
    let (_, mut last) = wait_for_call(&fencing_server, 0).await;
    let sets = [
        "[2, 3, 4]\ngeneration = 1\nprevious = [0, 1, 2]",
        "[2, 3, 4]\ngeneration = 2",
    ];
    for set in sets {
        cluster
            .set_leases(lease_section(&fencing_server, set))
            .expect("written");
        for proxy in 0..5 {
            cluster.stop(proxy).await.expect("it stops as planned");
            cluster.start(proxy).await.expect("it starts again");
            cluster
                .wait_for_all_alive()
                .await
                .expect("all members alive");
        }
        (_, last) = wait_for_call(&fencing_server, last).await;
    }
    let voters = |t: &Value| {
        t["voters"] == serde_json::json!([2, 3, 4]) && lease(t, "tick")["holder"].is_u64()
    };
    let response = cluster
        .wait_until(0, "/duty/list", voters)
        .await
        .expect("the new ones vote");
    assert_eq!(response["votes"], false);
    assert_eq!(
        fencing_server::check(&fencing_server.calls()),
        Vec::<String>::new()
    );
}
