//! Runs subjects by turns, and says what a request took.

use crate::case::Case;
use crate::load::{Callers, Seen};
use crate::node;
use crate::subject::{LONG, Subject, Used};
use serde_json::{Map, Value, json};

/// Requests of each connection before anything is measured, and the least of all together: the
/// limit has grown by then.
const WARM_UP: [u64; 2] = [20, 5_000];

/// A run of a subject, for each request.
struct Run {
    seen: Seen,
    cpu_us: f64,
    allocations: f64,
    bytes: f64,
    effort: Vec<(String, f64)>,
    peak_kb: u64,
}

async fn run(subject: &mut Subject, callers: &mut Callers, requests: u64) -> Result<Run, String> {
    let before = subject.used().await?;
    let seen = callers.run(requests).await?;
    let after = subject.used().await?;
    Ok(Run::of(&before, &after, seen, requests))
}

impl Run {
    fn of(before: &Used, after: &Used, seen: Seen, requests: u64) -> Run {
        let each = |after: u64, before: u64| after.saturating_sub(before) as f64 / requests as f64;
        let effort = after.effort.iter().zip(&before.effort);
        Run {
            seen,
            cpu_us: each(after.cpu_ns, before.cpu_ns) / 1000.0,
            allocations: each(after.allocations, before.allocations),
            bytes: each(after.bytes, before.bytes),
            effort: effort
                .map(|((name, a), (_, b))| (name.clone(), each(*a, *b)))
                .collect(),
            peak_kb: after.peak_kb,
        }
    }
}

fn median(of: impl Iterator<Item = f64>) -> f64 {
    let mut all: Vec<f64> = of.collect();
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied().unwrap_or(f64::NAN)
}

/// Counts of each case on one connection, as JSON, a line a case: what a request takes, without the
/// time.
pub async fn counts(cases: &[&'static Case], requests: u64) -> Result<(), String> {
    for case in cases {
        let nodes = node::start(case).await.map_err(|e| e.to_string())?;
        let mut daemon = Subject::daemon(case, &nodes, LONG).await?;
        let mut callers = Callers::new(case, daemon.at, 1);
        callers.run(requests / 4 + 100).await?;
        let run = run(&mut daemon, &mut callers, requests).await?;
        let mut figures: Map<String, Value> = run
            .effort
            .iter()
            .map(|(n, x)| (n.clone(), json!(x)))
            .collect();
        figures.insert("allocations".into(), json!(run.allocations));
        figures.insert("kilobytes".into(), json!(run.bytes / 1000.0));
        println!(
            "{}",
            json!({"case": case.name, "served": run.seen.served, "others": run.seen.others, "each": figures})
        );
    }
    Ok(())
}

/// Times and counts, as a table.
pub async fn table(
    cases: &[&'static Case],
    connections: &[usize],
    requests: u64,
    runs: usize,
    alone: bool,
) -> Result<(), String> {
    println!(
        "| case | connections | daemon us | bare us | ratio | allocations, bare's | KB, bare's | reads, writes, looks, tasks, \
         timers | p50 us, bare's | p99 us, bare's | not served | MB |\n|{}",
        " --- |".repeat(12)
    );
    for case in cases {
        for many in connections {
            row(case, *many, requests, runs, alone).await?;
        }
    }
    Ok(())
}

async fn row(
    case: &'static Case,
    many: usize,
    requests: u64,
    runs: usize,
    alone: bool,
) -> Result<(), String> {
    let nodes = node::start(case).await.map_err(|e| e.to_string())?;
    let mut subjects = vec![Subject::daemon(case, &nodes, LONG).await?];
    if case.bare() && !alone {
        subjects.push(Subject::bare(&nodes).await?);
    }
    let mut callers: Vec<Callers> = subjects
        .iter()
        .map(|s| Callers::new(case, s.at, many))
        .collect();
    for callers in &mut callers {
        callers
            .run((WARM_UP[0] * many as u64).max(WARM_UP[1]))
            .await?;
    }
    let mut done: Vec<Vec<Run>> = subjects.iter().map(|_| Vec::new()).collect();
    for _ in 0..runs {
        for ((subject, callers), done) in subjects.iter_mut().zip(&mut callers).zip(&mut done) {
            done.push(run(subject, callers, requests).await?);
        }
    }
    let list = |runs: &[Run]| {
        let each: Vec<String> = runs.iter().map(|r| format!("{:.1}", r.cpu_us)).collect();
        each.join(" ")
    };
    let both = |of: &dyn Fn(&Run) -> f64, digits: usize| {
        let sides: Vec<String> = done
            .iter()
            .map(|runs| format!("{:.digits$}", median(runs.iter().map(of))))
            .collect();
        sides.join(", ")
    };
    let daemon = &done[0];
    let bare = done.get(1).map_or("-".to_string(), |b| list(b));
    let ratio = done.get(1).map_or(f64::NAN, |b| {
        median(daemon.iter().map(|r| r.cpu_us)) / median(b.iter().map(|r| r.cpu_us))
    });
    let effort: Vec<String> = ["reads", "writes", "looks", "tasks", "timers"]
        .iter()
        .map(|name| {
            let of = |r: &Run| {
                r.effort
                    .iter()
                    .find(|(n, _)| n == name)
                    .map_or(f64::NAN, |(_, x)| *x)
            };
            format!("{:.2}", median(daemon.iter().map(of)))
        })
        .collect();
    let others: u64 = daemon.iter().map(|r| r.seen.others).sum();
    let peak = daemon.iter().map(|r| r.peak_kb).max().unwrap_or(0) as f64 / 1024.0;
    println!(
        "| {} | {many} | {} | {bare} | {ratio:.2} | {} | {} | {} | {} | {} | {others} | {peak:.1} |",
        case.name,
        list(daemon),
        both(&|r| r.allocations, 1),
        both(&|r| r.bytes / 1000.0, 1),
        effort.join(", "),
        both(&|r| f64::from(r.seen.percentile(0.5)), 0),
        both(&|r| f64::from(r.seen.percentile(0.99)), 0),
    );
    Ok(())
}
