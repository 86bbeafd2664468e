//! The judge on real sockets: it names each vice of a deliberately bad proxy, and none of the sound
//! daemon.

mod common;

use common::*;
use heathroad_harness::checker::Rule;
use heathroad_harness::summary::{Code, Summary};

fn violated_rules(o: &Summary) -> Vec<Rule> {
    let mut rules: Vec<Rule> = o.verdict.violations.iter().map(|b| b.rule).collect();
    rules.sort_unstable();
    rules.dedup();
    rules
}

/// Its vices one by one, and without any: what the judge finds is that and nothing else.
#[test]
fn each_vice_of_a_bad_proxy_is_named() {
    let cases: [(&str, &[Rule], &str); 8] = [
        ("none", &[], ""),
        ("loses", &[Rule::Lost], "closed without an answer"),
        ("is-late", &[Rule::Lost], "owed an answer within"),
        ("mixes-up", &[Rule::Lost], "no backend made for it"),
        ("answers-twice", &[Rule::Lost], "second answer"),
        (
            "doubles",
            &[Rule::Double],
            "sent again though it may have run",
        ),
        ("refuses-what-ran", &[Rule::Double], "refused at"),
        ("keeps-sending", &[Rule::Drain], "is DRAINING"),
    ];
    for (vice, rules, proof) in cases {
        let o = rehearse(&bad_proxy(vice), SMALL, 7);
        assert_eq!(violated_rules(&o), rules, "{vice}: {}", o.table());
        let told = o
            .verdict
            .violations
            .iter()
            .all(|b| b.proof.contains(proof) && (b.rule == Rule::Cold || b.id.is_some()));
        assert!(told, "{vice}: {}", o.table());
        assert!(o.agrees(), "{vice}: {}", o.table());
    }
}

#[test]
fn a_cold_backend_that_is_pushed_over_is_named() {
    let o = rehearse(&bad_proxy("pushes-cold"), PUSHED, 7);
    assert!(violated_rules(&o).contains(&Rule::Cold), "{}", o.table());
    let breach = o
        .verdict
        .violations
        .iter()
        .find(|b| b.rule == Rule::Cold)
        .expect("just seen");
    assert!(
        breach.proof.contains("proxy-1") && breach.proof.contains("proxy-2"),
        "{}",
        breach.proof
    );
    let fell = o
        .record
        .event_log
        .incarnations
        .iter()
        .any(|l| l.overloaded_at.is_some());
    assert!(
        fell,
        "the stand-in fell over by it, and the judge says so from the ledgers alone"
    );
    // The same day with the daemon: its two proxies together stay within the budget.
    let sound = sound(PUSHED, 7);
    assert_eq!(violated_rules(&sound), [], "{}", sound.table());
    assert!(
        sound
            .record
            .event_log
            .incarnations
            .iter()
            .all(|l| l.overloaded_at.is_none())
    );
}

/// Bad clients among the others: the bad proxy takes any length and deadline, and is named for it.
#[test]
fn who_serves_what_cannot_be_used_is_named() {
    let rude = SMALL.replace("rude_per_s = 0.0", "rude_per_s = 10.0");
    let o = rehearse(&bad_proxy("none"), &rude, 7);
    assert_eq!(violated_rules(&o), [Rule::Lost], "{}", o.table());
    assert!(
        o.verdict
            .violations
            .iter()
            .all(|b| b.proof.contains("a client that sent")),
        "{}",
        o.table()
    );
    assert!(
        o.verdict.malformed_clients[1] > 0,
        "a head without end is owed a close: {}",
        o.table()
    );
    let sound = sound(&rude, 7);
    assert_eq!(
        (violated_rules(&sound), sound.verdict.malformed_clients[1]),
        (vec![], 0),
        "{}",
        sound.table()
    );
    assert!(sound.verdict.malformed_clients[0] > 20);
}

#[test]
fn false_counts_are_named() {
    let o = rehearse(&bad_proxy("miscounts"), SMALL, 7);
    assert_eq!(violated_rules(&o), [], "{}", o.table());
    assert!(!o.agrees());
    assert_eq!(
        o.code() as u8,
        if o.void.is_empty() {
            Code::Broken as u8
        } else {
            Code::Void as u8
        }
    );
    assert!(o.table().contains("served: seen"), "{}", o.table());
}

/// One seed: the same plan and the same verdict, three times over; another seed is another plan.
#[test]
fn the_sound_daemon_keeps_all_and_one_seed_gives_one_verdict() {
    let mut digests = Vec::new();
    for _ in 0..3 {
        let o = sound(SMALL, 3);
        assert_eq!(o.code() as u8, Code::Kept as u8, "{}", o.table());
        assert!(
            o.record.event_log.arrivals.len() > 100 && o.verdict.attempts_by_outcome[0] > 100,
            "{}",
            o.table()
        );
        digests.push(o.record.schedule.digest.clone());
    }
    digests.dedup();
    assert_eq!(digests.len(), 1);
    assert_ne!(schedule(SMALL, 4).digest, digests[0]);
}

/// Calls over JSON-RPC, one by one and in batches, into the pool that HTTP goes to, while a node
/// breaks off in the middle of replies: each has its one answer, none that may have run runs again
/// unless it may, and the daemon's counts agree.
#[test]
fn calls_over_json_rpc_are_judged_like_requests() {
    let batches = heathroad_harness::scenario::load("jsonrpc-batches").expect("it is shipped");
    let routes = batches.routes.expect("it has routes");
    for batch in [1, 10] {
        let remote = SMALL
            .replace(
                "[clients]",
                &format!("[clients]\nremote = 0.6\nbatch = {batch}"),
            )
            .replace("[run]", &format!("routes = \"\"\"\n{routes}\"\"\"\n[run]"))
            + "[[fault]]\nwhat = \"reset\"\ntier = \"store\"\nat_s = 1.0\nfor_s = 2.0\nsize = 0.5\n";
        let o = sound(&remote, 9);
        assert!(
            o.verdict.violations.is_empty() && o.agrees() && o.record.errors.is_empty(),
            "{}",
            o.table()
        );
        assert!(
            o.verdict.figure("remote_served") > Some(80.0),
            "{}",
            o.table()
        );
        assert!(o.verdict.resends > 0, "{}", o.table());
    }
}

#[test]
fn a_scenario_without_a_listener_for_remote_calls_is_turned_down() {
    let remote = SMALL.replace("[clients]", "[clients]\nremote = 0.6");
    let said =
        heathroad_harness::scenario::parse("x.toml", &remote).expect_err("it has no listener");
    assert!(
        said.contains("clients.remote: `routes` have no listener"),
        "{said}"
    );
}

/// Backends of the last tier call the first again for a moment. Daemons that keep budgets end each
/// such call as it comes round; without budgets calls go round until their time is over, and the
/// judge says so.
#[test]
fn loops_are_ended_by_budgets_and_seen_without() {
    let tier = SMALL[SMALL.find("[[tier]]").expect("one")..SMALL.find("[[fault]]").expect("one")]
        .to_string();
    let gate_tier = tier
        .replace("store", "gate")
        .replace("cold_s", "calls = 1\ncold_s");
    let head = &SMALL[..SMALL.find("[[tier]]").expect("one")];
    let astray = "[[fault]]\nwhat = \"loop\"\ntier = \"store\"\non = [\"store-1\"]\nat_s = 1.0\nfor_s = 1.0\n";
    let chain = format!("{head}{gate_tier}{tier}{astray}");
    let without = sound(&chain, 5);
    assert!(without.verdict.loops_open > 0, "{}", without.table());
    let with = sound(
        &format!("{chain}[budget]\nattempts = 2\nshare = 0.2\ndepth = 20.0\n"),
        5,
    );
    assert_eq!(with.verdict.loops_open, 0, "{}", with.table());
    assert!(
        with.agrees() && with.verdict.violations.is_empty(),
        "{}",
        with.table()
    );
    let ended = with
        .lines
        .iter()
        .find(|l| l.what == "calls that came round, ended")
        .expect("its line");
    assert!(ended.counted > 0 && ended.seen[0] > 0, "{ended:?}");
}
