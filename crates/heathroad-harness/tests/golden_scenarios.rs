//! Golden copies of what a scenario file may hold: each key and value, and what it is read as. Keys in
//! the copies are those of the file, whatever the fields are called in the code.

use heathroad_harness::scenario::{
    BUILT_IN, Class, Clients, Effect, Expect, FIGURES, Fault, FaultKind, FleetRun, Group,
    RandomFaults, Rules, Run, Scenario, Tier, TimeOrRange, load, parse,
};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt::Write;

const ALL_KEYS: &str = include_str!("golden/all_keys.toml");

fn run(r: &Run) -> Value {
    json!({
        "seconds": r.seconds,
        "rate": r.rate,
        "proxies": r.proxies,
        "over_share_worth": r.over_share_worth,
        "memory_mb": r.memory_mb,
        "sockets": r.sockets,
        "retry_after_ms": r.retry_after_ms,
        "conn_idle_ms": r.conn_idle_ms,
        "connect_timeout_ms": r.connect_timeout_ms,
        "probation_s": r.probation_s,
    })
}

fn class(c: &Class) -> Value {
    let effect = match c.effect {
        Effect::Safe => "safe",
        Effect::Keyed => "keyed",
        Effect::Unsafe => "unsafe",
    };
    let group = match c.group {
        Group::All => "all",
        Group::Cell => "cell",
    };
    json!({
        "name": c.name,
        "share": c.share,
        "effect": effect,
        "group": group,
        "window_ms": c.window_ms,
        "aim_ms": c.aim_ms,
        "deadline_ms": c.deadline_ms,
        "worth": c.worth,
        "late_worth": c.late_worth,
        "work_ms": c.work_ms,
    })
}

fn tier(t: &Tier) -> Value {
    let kinds: Vec<Value> = t
        .kinds
        .iter()
        .map(|k| json!({"name": k.name, "backends": k.backends}))
        .collect();
    json!({
        "name": t.name,
        "backends": t.backends,
        "work": t.work,
        "cores": t.cores,
        "speed": t.speed,
        "slots": t.slots,
        "queue": t.queue,
        "connections": t.connections,
        "handshake_ms": t.handshake_ms,
        "cold_from": t.cold_from,
        "cold_s": t.cold_s,
        "warm_requests": t.warm_requests,
        "calls": t.calls,
        "kinds": kinds,
    })
}

fn clients(c: &Clients) -> Value {
    json!({
        "retries": c.retries,
        "backoff_ms": c.backoff_ms,
        "heed": c.heed,
        "patience": c.patience,
        "hang_up": c.hang_up,
        "slow": c.slow,
        "rude_per_s": c.rude_per_s,
        "remote": c.remote,
        "batch": c.batch,
    })
}

fn rules(r: &Rules) -> Value {
    json!({
        "drain_grace_ms": r.drain_grace_ms,
        "fall_multiple": r.fall_multiple,
        "fall_ms": r.fall_ms,
        "answer_grace_ms": r.answer_grace_ms,
    })
}

fn fleet(f: &FleetRun) -> Value {
    json!({
        "period_ms": f.period_ms,
        "fence_unsure_after_ms": f.fence_unsure_after_ms,
        "lease_ms": f.lease_ms,
    })
}

fn what(what: FaultKind) -> &'static str {
    match what {
        FaultKind::Silent => "silent",
        FaultKind::Hang => "hang",
        FaultKind::Crawl => "crawl",
        FaultKind::Restart => "restart",
        FaultKind::Starve => "starve",
        FaultKind::Drain => "drain",
        FaultKind::Delete => "delete",
        FaultKind::Replace => "replace",
        FaultKind::Reset => "reset",
        FaultKind::Spoil => "spoil",
        FaultKind::Decline => "decline",
        FaultKind::Loop => "loop",
        FaultKind::KillProxy => "kill-proxy",
        FaultKind::StopProxy => "stop-proxy",
        FaultKind::ReloadProxy => "reload-proxy",
        FaultKind::StallProxy => "stall-proxy",
        FaultKind::PauseProxy => "pause-proxy",
        FaultKind::CutProxy => "cut-proxy",
        FaultKind::DeafProxy => "deaf-proxy",
        FaultKind::RegistryLate => "registry-late",
        FaultKind::RegistryDown => "registry-down",
        FaultKind::RegistryDisorder => "registry-disorder",
        FaultKind::RegistryClock => "registry-clock",
    }
}

fn fault(f: &Fault) -> Value {
    let at_s = match f.at_s {
        TimeOrRange::At(at) => json!(at),
        TimeOrRange::Between(ends) => json!(ends),
    };
    json!({
        "what": what(f.what),
        "at_s": at_s,
        "for_s": f.for_s,
        "tier": f.tier,
        "on": f.on,
        "count": f.count,
        "size": f.size,
    })
}

fn drawn(d: &RandomFaults) -> Value {
    let kinds: Vec<&str> = d.kinds.iter().map(|k| what(*k)).collect();
    json!({"count": d.count, "kinds": kinds, "for_s": d.for_s})
}

fn expect(e: &Expect) -> Value {
    json!({"figure": e.figure, "at_least": e.at_least, "at_most": e.at_most})
}

fn list<T>(items: &[T], one: impl Fn(&T) -> Value) -> Vec<Value> {
    items.iter().map(one).collect()
}

fn as_read(s: &Scenario) -> Value {
    json!({
        "title": s.title,
        "about": s.about,
        "run": run(&s.run),
        "class": list(&s.class, class),
        "tenant": list(&s.tenant, |t| json!({"name": t.name, "share": t.share, "usage": t.usage})),
        "tier": list(&s.tier, tier),
        "clients": clients(&s.clients),
        "rules": rules(&s.rules),
        "budget": s.budget.as_ref().map(
            |b| json!({"attempts": b.attempts, "share": b.share, "depth": b.depth}),
        ),
        "routes": s.routes,
        "fleet": s.fleet.as_ref().map(fleet),
        "change": list(&s.change, |c| json!({
            "on": c.on, "required_ms": c.required_ms, "at_s": c.at_s, "routes": c.routes,
        })),
        "fault": list(&s.fault, fault),
        "drawn": s.drawn.as_ref().map(drawn),
        "repeat": list(&s.repeat, |r| json!({
            "at_s": r.at_s, "class": r.class, "tenant": r.tenant, "after_s": r.after_s,
        })),
        "expect": list(&s.expect, expect),
    })
}

/// Writes one line for each value: its path in the file, and the value.
fn write_lines(out: &mut String, path: &str, value: &Value) {
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                write_lines(out, &format!("{path}.{key}"), value);
            }
        }
        Value::Array(items) if items.is_empty() => {
            writeln!(out, "{path} = []").expect("a text takes what is written");
        }
        Value::Array(items) => {
            for (i, value) in items.iter().enumerate() {
                write_lines(out, &format!("{path}[{i}]"), value);
            }
        }
        value => writeln!(out, "{path} = {value}").expect("a text takes what is written"),
    }
}

fn golden(scenarios: &BTreeMap<&str, Scenario>, skip: &[&str]) -> String {
    let mut out = String::new();
    for (name, scenario) in scenarios {
        let mut value = as_read(scenario);
        for key in skip {
            value.as_object_mut().expect("a table").remove(*key);
        }
        write_lines(&mut out, name, &value);
    }
    out
}

/// Compares with a golden copy; the first line that differs is named.
fn assert_golden(copy: &str, text: &str) {
    for (line, (was, is)) in copy.lines().zip(text.lines()).enumerate() {
        assert_eq!(was, is, "line {}", line + 1);
    }
    assert_eq!(copy.lines().count(), text.lines().count(), "lines");
    assert!(
        copy == text,
        "the copy and the text differ in their line ends"
    );
}

#[test]
fn every_key_of_a_scenario_file_is_read() {
    let scenario = parse("all_keys.toml", ALL_KEYS).expect("every key is known");
    let text = golden(&BTreeMap::from([("all_keys", scenario)]), &[]);
    assert_golden(include_str!("golden/all_keys.txt"), &text);
}

/// `title` and `about` are texts for readers: they may be worded anew.
#[test]
fn the_shipped_scenarios_are_read_as_before() {
    let scenarios = BUILT_IN
        .iter()
        .map(|(name, _)| (*name, load(name).expect("it is shipped")))
        .collect();
    let text = golden(&scenarios, &["title", "about"]);
    assert_golden(include_str!("golden/shipped_scenarios.txt"), &text);
}

#[test]
fn the_shipped_scenarios_and_the_figures_keep_their_names() {
    let shipped: Vec<&str> = BUILT_IN.iter().map(|(name, _)| *name).collect();
    let text = format!("{}\n\n{}\n", shipped.join("\n"), FIGURES.join("\n"));
    assert_golden(include_str!("golden/scenario_names.txt"), &text);
}

/// A key that is not known is an error that names it and the keys that are.
#[test]
fn an_unknown_key_is_refused_with_those_that_are_known() {
    let mut text = String::new();
    let tables = [
        "[run]",
        "[[class]]",
        "[[tenant]]",
        "[[tier]]",
        "[[tier.kinds]]",
        "[clients]",
        "[rules]",
        "[budget]",
        "[fleet]",
        "[drawn]",
        "[[fault]]",
        "[[change]]",
        "[[repeat]]",
        "[[expect]]",
    ];
    let top = ALL_KEYS.replacen("title =", "unheard_of = 1\ntitle =", 1);
    let files = std::iter::once(top).chain(
        tables.map(|table| ALL_KEYS.replacen(table, &format!("{table}\nunheard_of = 1"), 1)),
    );
    for file in files {
        let error = parse("all_keys.toml", &file).expect_err("a key that is not known");
        writeln!(text, "{error}").expect("a text takes what is written");
    }
    assert_golden(include_str!("golden/unknown_keys.txt"), &text);
}
