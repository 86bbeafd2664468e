//! End-to-end tests of the invariant checker: it reports each defect of a deliberately faulty proxy,
//! and none of the daemon.

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

/// For each defect, and for none, the checker reports exactly the rules that it violates.
#[test]
fn each_defect_of_a_faulty_proxy_is_reported() {
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
    for (defect, rules, proof) in cases {
        let o = run_scenario(&bad_proxy(defect), SMALL, 7);
        assert_eq!(violated_rules(&o), rules, "{defect}: {}", o.table());
        let matches = o
            .verdict
            .violations
            .iter()
            .all(|b| b.proof.contains(proof) && (b.rule == Rule::Cold || b.id.is_some()));
        assert!(matches, "{defect}: {}", o.table());
        assert!(o.agrees(), "{defect}: {}", o.table());
    }
}

#[test]
fn overloading_a_cold_backend_is_reported() {
    let o = run_scenario(&bad_proxy("pushes-cold"), PUSHED, 7);
    assert!(violated_rules(&o).contains(&Rule::Cold), "{}", o.table());
    let violation = o
        .verdict
        .violations
        .iter()
        .find(|b| b.rule == Rule::Cold)
        .expect("just seen");
    assert!(
        violation.proof.contains("proxy-1") && violation.proof.contains("proxy-2"),
        "{}",
        violation.proof
    );
    let overloaded = o
        .record
        .event_log
        .incarnations
        .iter()
        .any(|l| l.overloaded_at.is_some());
    assert!(
        overloaded,
        "the emulator fails from the overload that the checker reports"
    );
    // Under the daemon's two proxies the backend stays within its limit.
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

/// The faulty proxy accepts malformed lengths and deadlines, which the checker reports.
#[test]
fn serving_malformed_requests_is_reported() {
    let malformed = SMALL.replace("rude_per_s = 0.0", "rude_per_s = 10.0");
    let o = run_scenario(&bad_proxy("none"), &malformed, 7);
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
        "an endless head must be answered with a close: {}",
        o.table()
    );
    let sound = sound(&malformed, 7);
    assert_eq!(
        (violated_rules(&sound), sound.verdict.malformed_clients[1]),
        (vec![], 0),
        "{}",
        sound.table()
    );
    assert!(sound.verdict.malformed_clients[0] > 20);
}

#[test]
fn false_counts_are_reported() {
    let o = run_scenario(&bad_proxy("miscounts"), SMALL, 7);
    assert_eq!(violated_rules(&o), [], "{}", o.table());
    assert!(!o.agrees());
    assert_eq!(
        o.code() as u8,
        if o.void.is_empty() {
            Code::Failed as u8
        } else {
            Code::Void as u8
        }
    );
    assert!(o.table().contains("served: seen"), "{}", o.table());
}

/// The same seed gives the same schedule and verdict; another seed gives another schedule.
#[test]
fn the_daemon_passes_and_one_seed_gives_one_verdict() {
    let mut digests = Vec::new();
    for _ in 0..3 {
        let o = sound(SMALL, 3);
        assert_eq!(o.code() as u8, Code::Passed as u8, "{}", o.table());
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

/// JSON-RPC calls, single and in batches, keep the rules while a backend resets connections
/// mid-response, and the daemon's counts agree.
#[test]
fn json_rpc_calls_are_checked_like_requests() {
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
fn a_scenario_without_a_jsonrpc_listener_is_rejected() {
    let remote = SMALL.replace("[clients]", "[clients]\nremote = 0.6");
    let said =
        heathroad_harness::scenario::parse("x.toml", &remote).expect_err("it has no listener");
    assert!(
        said.contains("clients.remote: `routes` have no listener"),
        "{said}"
    );
}

/// Backends of the last tier call the first tier: daemons with budgets end each looped call, and
/// without budgets the checker reports open loops.
#[test]
fn budgets_end_loops_and_open_loops_are_reported() {
    let tier = SMALL[SMALL.find("[[tier]]").expect("one")..SMALL.find("[[fault]]").expect("one")]
        .to_string();
    let gate_tier = tier
        .replace("store", "gate")
        .replace("cold_s", "calls = 1\ncold_s");
    let head = &SMALL[..SMALL.find("[[tier]]").expect("one")];
    let loop_fault = "[[fault]]\nwhat = \"loop\"\ntier = \"store\"\non = [\"store-1\"]\nat_s = 1.0\nfor_s = 1.0\n";
    let chain = format!("{head}{gate_tier}{tier}{loop_fault}");
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
        .find(|l| l.what == "looped calls ended")
        .expect("its line");
    assert!(ended.counted > 0 && ended.seen[0] > 0, "{ended:?}");
}
