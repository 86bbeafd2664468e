//! What a change does, in words: which requests move where, and what becomes of pools.

use crate::condition::{Match, Request};
use crate::file::{Class, Config, Effect, Listener, Pool, Source, TenantFrom};
use crate::generation::Generation;
use crate::split::Share;
use std::collections::BTreeSet;

/// Lines that say what going from one generation to another does; none where nothing changes.
pub fn words(from: &Generation, to: &Generation) -> Vec<String> {
    let mut lines = Vec::new();
    pools(&from.config, &to.config, &mut lines);
    routes(from, to, &mut lines);
    listeners(&from.config, &to.config, &mut lines);
    lines
}

fn listeners(from: &Config, to: &Config, lines: &mut Vec<String>) {
    let of = |c: &'_ Config, name: &str| c.listeners.iter().find(|l| l.name == name).cloned();
    for new in &to.listeners {
        let name = &new.name;
        let Some(old) = of(from, name) else {
            lines.push(format!("listener {name} is new, on {}", new.address));
            continue;
        };
        if (&old.tenant, &old.unknown) != (&new.tenant, &new.unknown) {
            lines.push(format!(
                "listener {name}: its tenants or unknown methods are told otherwise"
            ));
        }
        let apart = |l: &Listener| Listener {
            methods: Default::default(),
            tenant: TenantFrom::Nothing,
            unknown: None,
            ..l.clone()
        };
        if apart(&old) != apart(new) {
            lines.push(format!(
                "listener {name} changes; connections to it end once they are answered"
            ));
        }
        let mut methods: Vec<_> = old.methods.keys().chain(new.methods.keys()).collect();
        methods.sort();
        methods.dedup();
        for method in methods {
            match (old.methods.get(method), new.methods.get(method)) {
                (Some(a), Some(b)) if a.class != b.class => {
                    lines.push(format!(
                        "listener {name}, method {method}: class {} instead of {}",
                        b.class, a.class
                    ));
                }
                (Some(a), Some(b)) if a != b => {
                    lines.push(format!(
                        "listener {name}, method {method}: its key lies elsewhere"
                    ));
                }
                (None, Some(b)) => lines.push(format!(
                    "listener {name} takes method {method}, class {}",
                    b.class
                )),
                (Some(_), None) => {
                    lines.push(format!("listener {name} takes method {method} no more"));
                }
                _ => {}
            }
        }
    }
    let gone = from.listeners.iter().filter(|l| of(to, &l.name).is_none());
    lines.extend(gone.map(|l| format!("listener {} is closed; what it has is finished", l.name)));
}

fn pools(from: &Config, to: &Config, lines: &mut Vec<String>) {
    let of = |c: &Config, name: &str| c.pools.iter().find(|p| p.name == name).cloned();
    for p in &to.pools {
        match of(from, &p.name) {
            None => lines.push(format!("pool {} is new: {}", p.name, source(&p.source))),
            Some(old) => pool(&old, p, lines),
        }
    }
    for p in from.pools.iter().filter(|p| of(to, &p.name).is_none()) {
        lines.push(format!(
            "pool {} is removed; what it has is finished",
            p.name
        ));
    }
}

fn source(s: &Source) -> String {
    match s {
        Source::List(members) => format!("{} listed backends", members.len()),
        Source::Registry { address, select } => {
            let at = address.map_or("the default registry".to_string(), |a| {
                format!("the registry at {a}")
            });
            let labels: Vec<String> = select.iter().map(|(k, v)| format!("{k} {v}")).collect();
            if labels.is_empty() {
                format!("all of {at}")
            } else {
                format!("{} of {at}", labels.join(", "))
            }
        }
    }
}

fn pool(old: &Pool, new: &Pool, lines: &mut Vec<String>) {
    let name = &new.name;
    match (&old.source, &new.source) {
        (Source::List(a), Source::List(b)) => {
            let [a, b] = [a, b].map(|list| list.iter().map(|m| m.address).collect::<BTreeSet<_>>());
            for (list, word) in [(&b - &a, "joins"), (&a - &b, "leaves")] {
                lines.extend(
                    list.iter()
                        .map(|m| format!("backend {m} {word} pool {name}")),
                );
            }
            if a == b && old.source != new.source {
                lines.push(format!(
                    "pool {name}: sites, blocks or weights of its backends change"
                ));
            }
        }
        (a, b) if a != b => lines.push(format!(
            "pool {name} takes its backends from {} instead of {}",
            source(b),
            source(a)
        )),
        _ => {}
    }
    for c in &new.classes {
        match old.classes.iter().find(|o| o.name == c.name) {
            None => lines.push(format!("pool {name} serves class {} from now on", c.name)),
            Some(o) => class(name, o, c, lines),
        }
    }
    for o in old
        .classes
        .iter()
        .filter(|o| new.classes.iter().all(|c| c.name != o.name))
    {
        lines.push(format!("pool {name} serves class {} no more", o.name));
    }
    if old.rpc != new.rpc {
        lines.push(format!(
            "pool {name}: its backends are called over JSON-RPC in another way, or no more"
        ));
    }
    let say = |x: Option<u32>| x.map_or("the daemon's own".to_string(), |x| x.to_string());
    if old.open != new.open {
        lines.push(format!(
            "pool {name}: most open requests {} instead of {}",
            say(new.open),
            say(old.open)
        ));
    }
}

fn effect(e: Effect) -> String {
    match e {
        Effect::Safe => "safe to repeat".into(),
        Effect::Unsafe => "never run twice".into(),
        Effect::Keyed { group, window_ms } => {
            format!("keyed, {group:?} for {window_ms} ms").to_lowercase()
        }
    }
}

fn class(pool: &str, old: &Class, new: &Class, lines: &mut Vec<String>) {
    let name = &new.name;
    if old.effect != new.effect {
        lines.push(format!(
            "pool {pool}, class {name}: {} instead of {}; calls that are out keep the old way",
            effect(new.effect),
            effect(old.effect)
        ));
    }
    for (what, a, b) in [
        ("aim", old.aim_ms, new.aim_ms),
        ("deadline", old.deadline_ms, new.deadline_ms),
    ] {
        if a != b {
            lines.push(format!(
                "pool {pool}, class {name}: {what} {b} ms instead of {a} ms"
            ));
        }
    }
    if old.worth != new.worth {
        lines.push(format!(
            "pool {pool}, class {name}: worth {} instead of {}",
            new.worth, old.worth
        ));
    }
}

/// A request that a match is the most general description of, with what no other match asks for
/// elsewhere.
fn example<'a>(m: &'a Match, host: &'a str, path: &'a str, r: impl FnOnce(&Request<'_>)) {
    let text = |t: &'a Option<String>| t.as_deref().unwrap_or("\u{1}");
    let header = |name: &str| {
        m.header
            .as_ref()
            .filter(|(n, _)| n == name)
            .map(|(_, value)| value.as_str())
    };
    r(&Request {
        listener: text(&m.listener),
        host,
        path,
        method: text(&m.method),
        class: text(&m.class),
        tenant: text(&m.tenant),
        header: &header,
    });
}

/// Where a generation sends what a match describes: pools by name with their parts.
fn goes(g: &Generation, m: &Match) -> Vec<(String, f64)> {
    let host = m
        .host
        .as_deref()
        .map_or("\u{1}".to_string(), |h| h.replace('*', "\u{1}"));
    let path = m
        .path
        .as_deref()
        .map_or("/\u{1}".to_string(), |p| p.replace('*', "\u{1}"));
    let mut found = Vec::new();
    example(m, &host, &path, |request| {
        let to: &[Share] = g.table.route(request).map_or(&[], |r| &r.to);
        let all: f64 = to.iter().map(|s| s.weight).sum();
        let some = to.iter().filter(|s| s.weight > 0.0);
        found = some
            .map(|s| (g.config.pools[s.pool].name.clone(), s.weight / all))
            .collect();
    });
    found.sort_by(|a, b| a.0.cmp(&b.0));
    found
}

fn shares(to: &[(String, f64)]) -> String {
    match to {
        [] => "nowhere".to_string(),
        [(pool, _)] => pool.clone(),
        many => {
            let parts: Vec<String> = many
                .iter()
                .map(|(p, part)| format!("{:.1}% to {p}", part * 100.0))
                .collect();
            parts.join(", ")
        }
    }
}

/// Every kind of request that a route of either side describes: where it went, and where it goes.
fn routes(from: &Generation, to: &Generation, lines: &mut Vec<String>) {
    let mut seen: Vec<&Match> = Vec::new();
    let mut known = std::collections::HashSet::new();
    for r in from.config.routes.iter().chain(&to.config.routes) {
        if known.insert(&r.when) {
            seen.push(&r.when);
        }
    }
    for m in seen {
        let [before, after] = [from, to].map(|g| goes(g, m));
        if before != after {
            lines.push(format!(
                "{} go to {} instead of {}",
                m.words(),
                shares(&after),
                shares(&before)
            ));
        }
    }
}
