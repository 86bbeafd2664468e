//! Faults of processes and of the registry, checked by their entries in the event log, with real
//! daemons.

mod common;

use common::*;
use heathroad_harness::event_log::{Disposition, Health, ProcessEventKind};
use heathroad_harness::scenario::FaultKind;
use heathroad_harness::summary::Summary;

/// Two tiers, so that backends have sidecar proxies.
const PROCESSES: &str = r#"
title = "processes"
about = "proxies and backends that come and go"
[run]
seconds = 9.0
rate = 60.0
[clients]
hang_up = 0.0
rude_per_s = 0.0
[[tier]]
name = "gate"
backends = 3
work = 0.3
cores = 2
slots = 32
queue = 32
connections = 64
cold_from = 0.3
cold_s = 3.0
calls = 1
[[tier]]
name = "store"
backends = 3
work = 0.3
cores = 2
slots = 32
queue = 32
connections = 64
cold_from = 0.3
cold_s = 3.0
[[fault]]
what = "reload-proxy"
on = ["proxy-1"]
at_s = 0.5
[[fault]]
what = "drain"
on = ["store-1"]
at_s = 1.0
for_s = 2.0
[[fault]]
what = "replace"
on = ["gate-1"]
at_s = 1.5
for_s = 0.3
[[fault]]
what = "delete"
on = ["store-2"]
at_s = 2.5
[[fault]]
what = "kill-proxy"
on = ["proxy-2"]
at_s = 3.0
for_s = 0.5
[[fault]]
what = "stop-proxy"
on = ["proxy-1"]
at_s = 6.0
for_s = 0.2
"#;

fn process_events(o: &Summary, proxy: u16) -> Vec<ProcessEventKind> {
    let of = o
        .record
        .event_log
        .process_events
        .iter()
        .filter(|a| a.proxy == proxy);
    of.map(|a| a.kind).collect()
}

#[test]
fn process_faults_are_recorded_and_violate_no_rule() {
    let o = sound(PROCESSES, 2);
    assert!(
        o.verdict.violations.is_empty() && o.agrees() && o.record.errors.is_empty(),
        "{}",
        o.table()
    );
    let started = o.record.proxies.len() as u16;
    assert_eq!(started, 5, "two, and one at the side of each gate");
    use ProcessEventKind::{Killed, Reloaded, Started, Stopped};
    assert_eq!(
        process_events(&o, 0),
        [Started, Reloaded, Stopped, Started, Stopped]
    );
    assert_eq!(process_events(&o, 1), [Started, Killed, Started, Stopped]);
    // The sidecar of the replaced backend is killed with it and serves its replacement.
    assert_eq!(process_events(&o, 2), [Started, Killed, Started, Stopped]);

    let backend = |name: &str| {
        o.record
            .backends
            .iter()
            .position(|h| h == name)
            .expect(name) as u16
    };
    let update = |backend: u16, health| {
        o.record
            .event_log
            .registry_updates
            .iter()
            .find(|t| t.backend == backend && t.health == health)
    };
    let last_sent = |backend: u16| {
        let sent = o
            .record
            .event_log
            .arrivals
            .iter()
            .filter(|a| a.backend == backend);
        sent.map(|a| a.first_byte_at)
            .max()
            .expect("it was used before")
    };
    // A draining backend receives no requests after the grace period.
    let drained = update(backend("store-1"), Health::Draining)
        .expect("told")
        .at;
    assert!(last_sent(backend("store-1")) < drained + 550_000);
    assert!(
        update(backend("store-1"), Health::Deleted)
            .expect("told")
            .at
            > drained + 1_900_000
    );
    // A backend that is removed without a drain.
    assert!(update(backend("store-2"), Health::Draining).is_none());
    let gone = update(backend("store-2"), Health::Deleted)
        .expect("told")
        .at;
    assert!(last_sent(backend("store-2")) < gone + 550_000);
    // A replacement at the same address starts cold and is used.
    let replacement = o
        .record
        .backends
        .iter()
        .position(|h| h.starts_with("gate-1-new"))
        .expect("a replacement") as u16;
    assert!(
        o.record
            .event_log
            .incarnations
            .iter()
            .any(|l| l.backend == replacement && !l.warm)
    );
    assert!(
        o.record
            .event_log
            .arrivals
            .iter()
            .any(|a| a.backend == replacement && a.disposition == Disposition::Executed)
    );
    // The reloaded proxy receives later changes from the new registry address.
    assert!(
        o.record
            .event_log
            .registry_updates
            .iter()
            .any(|t| t.proxy == 0 && t.backend == replacement)
    );
    // Counts of killed processes are missing, and the comparison says so.
    assert!(o.lines.iter().any(|l| l.killed));
}

/// A seed must determine the random faults.
#[test]
fn a_seed_determines_the_random_faults() {
    let text = include_str!("../../../scenarios/random-faults.toml");
    let faults = |seed| schedule(text, seed).faults;
    assert_eq!(faults(1), faults(1));
    assert_ne!(faults(1), faults(2));
    let mut kinds = std::collections::BTreeSet::new();
    for seed in 0..200 {
        for f in faults(seed) {
            assert!(
                f.at >= 2_000_000 && f.until >= f.at && f.until < 20_000_000,
                "{f:?}"
            );
            assert_eq!(f.targets.len(), 1, "{f:?}");
            kinds.insert(f.kind);
        }
    }
    assert_eq!(kinds.len(), 14, "{kinds:?}");
    assert!(!kinds.contains(&FaultKind::RegistryDown));
}

/// With the example routes three pools share backends, and together must respect the warm-up and
/// the drain of each backend.
#[test]
fn the_example_routes_keep_the_rules() {
    let example = include_str!("../../../deploy/routes.example.toml");
    let text = PROCESSES[..PROCESSES.find("[[fault]]").expect("its faults")].to_string()
        + "[[fault]]\nwhat = \"restart\"\non = [\"gate-1\"]\nat_s = 1.0\nfor_s = 0.3\n"
        + "[[fault]]\nwhat = \"drain\"\non = [\"gate-2\"]\nat_s = 5.0\nfor_s = 3.0\n";
    let text =
        format!("routes = \'\'\'\n{example}\'\'\'\n{text}").replace("rate = 60.0", "rate = 120.0");
    let o = sound(&text, 4);
    assert!(
        o.verdict.violations.is_empty() && o.agrees() && o.record.errors.is_empty(),
        "{}",
        o.table()
    );
    assert!(o.verdict.attempts_by_outcome[0] > 800, "{}", o.table());
    let pools = |c: &heathroad_harness::runner::ProxyCounts| {
        let rows = c.counts.as_ref()?.get("requests")?.as_array()?.clone();
        Some(
            rows.iter()
                .filter_map(|r| r.get("pool")?.as_str().map(String::from))
                .collect::<std::collections::BTreeSet<_>>(),
        )
    };
    let counted = o
        .record
        .proxy_counts
        .iter()
        .filter(|c| o.record.proxy_tiers[usize::from(c.proxy)] == 0)
        .filter_map(pools);
    let all: std::collections::BTreeSet<String> = counted.flatten().collect();
    assert_eq!(
        all.into_iter().collect::<Vec<_>>(),
        ["reads", "reads-trial", "writes"]
    );
    let cold = o.record.event_log.incarnations.iter().any(|l| !l.warm)
        && o.verdict.attempts_by_outcome[0] > 0;
    assert!(cold, "a gate came back cold");
}

/// While a proxy is suspended past the bound of a required change, the audit must equal what the
/// backends received, and no proxy may use an older generation past the bound.
#[test]
fn the_audit_equals_what_the_backends_received() {
    let o = sound(include_str!("../../../scenarios/proxy-stall.toml"), 3);
    assert!(
        o.verdict.violations.is_empty() && o.agrees() && o.record.errors.is_empty(),
        "{}",
        o.table()
    );
    assert_eq!(o.expectations.len(), 7, "{}", o.table());
    assert!(o.expectations.iter().all(|e| e.ok), "{}", o.table());
    assert_eq!(
        o.record.required_generations.len(),
        1,
        "one change was required"
    );
    assert!(
        o.record
            .event_log
            .process_events
            .iter()
            .any(|a| a.kind == ProcessEventKind::Stalled)
    );
    let versions: std::collections::BTreeSet<_> = o
        .record
        .event_log
        .arrivals
        .iter()
        .filter_map(|a| a.version.clone())
        .collect();
    assert!(
        versions.len() >= 2,
        "backends are told of versions: {versions:?}"
    );
    // An attempt that is missing in the audit is found, and one that no backend received.
    let mut seen = o.record;
    let extra = seen.event_log.arrivals[0].clone();
    seen.event_log
        .arrivals
        .push(heathroad_harness::event_log::Arrival {
            version: Some("other".into()),
            ..extra
        });
    assert_eq!(
        heathroad_harness::audit_check::figure(&seen, "fleet_unaccounted"),
        Some(1.0)
    );
    seen.event_log.arrivals.clear();
    assert!(heathroad_harness::audit_check::figure(&seen, "fleet_unaccounted") > Some(100.0));
    seen.fleet_audit = None;
    assert_eq!(
        heathroad_harness::audit_check::figure(&seen, "fleet_unaccounted"),
        None
    );
}
