//! Measures how long parsing and verification take for growing numbers of routes and expectations:
//! `cargo run --release --example verifier-bench -p heathroad-verifier`.

use heathroad_routing::generation::Generation;
use heathroad_verifier::expectations::parse;
use heathroad_verifier::{Environment, verify};
use std::error::Error;
use std::io::Write;
use std::time::{Duration, Instant};

const RUNS: usize = 5;
const CLASSES: usize = 10;

/// Returns `count` routes by tenant and class to two pools, some also by path, host and header.
fn routes(count: usize) -> String {
    let mut text = String::new();
    for pool in ["one", "two"] {
        let list: Vec<String> = (0..100)
            .map(|backend| {
                format!(
                    "{{ address = \"127.0.0.1:{}\", site = \"s{}\" }}",
                    9000 + backend,
                    backend % 4
                )
            })
            .collect();
        text += &format!(
            "[[pool]]\nname = {pool:?}\nbackends = [{}]\n",
            list.join(", ")
        );
        for class in 0..CLASSES {
            text += &format!(
                "[[pool.class]]\nname = \"c{class}\"\neffect = \"safe\"\naim_ms = 1\ndeadline_ms = 1\n"
            );
        }
    }
    text += "[[route]]\nname = \"all\"\npool = \"one\"\n";
    for i in 1..count {
        let (tenant, class) = (i / CLASSES, i % CLASSES);
        let narrowing = match i % 7 {
            0 => "path = \"/v2/*\"\n",
            1 => "path = \"/v2/*\"\nhost = \"*.example.org\"\n",
            2 => {
                "path = \"/v2/*\"\nhost = \"*.example.org\"\nheader = { name = \"X-Canary\", is = \"1\" }\n"
            }
            _ => "",
        };
        text += &format!(
            "[[route]]\nname = \"r{i}\"\ntenant = \"t{tenant}\"\nclass = \"c{class}\"\n{narrowing}\
             [[route.split]]\npool = \"one\"\nweight = 9\n[[route.split]]\npool = \"two\"\nweight = 1\n"
        );
    }
    text
}

/// Returns `count` expectations: a quarter each about all requests, one tenant, one class, and both.
fn expectations(count: usize) -> String {
    let requirements = "served = true\nlosing = { sites = 1 }\nnodes = { at_least = 3 }\nonly = { pools = [\"one\", \"two\"] }\n";
    let scope = |i: usize| match i % 4 {
        0 => String::new(),
        1 => format!("tenant = \"t{}\"\n", i % 50),
        2 => format!("class = \"c{}\"\n", i % CLASSES),
        _ => format!("tenant = \"t{}\"\nclass = \"c{}\"\n", i % 50, i % CLASSES),
    };
    (0..count)
        .map(|i| format!("[[expect]]\nname = \"e{i}\"\n{}{requirements}", scope(i)))
        .collect()
}

fn main() -> Result<(), Box<dyn Error>> {
    let mut out = std::io::stdout();
    writeln!(
        out,
        "routes  expectations  cases    parse ms  verify ms (min, median, max of {RUNS})"
    )?;
    for (route_count, expectation_count) in [
        (10, 20),
        (100, 50),
        (1_000, 50),
        (1_000, 200),
        (1_000, 1_000),
        (10_000, 200),
    ] {
        let (routes, expected) = (routes(route_count), expectations(expectation_count));
        let started = Instant::now();
        let generation = Generation::parse(1, "routes", &routes)?;
        let expected = parse("expect", &expected)?;
        let parse_time = started.elapsed();
        let mut durations: Vec<Duration> = Vec::new();
        let mut cases = 0;
        for _ in 0..RUNS {
            let started = Instant::now();
            let report = verify(&generation, &expected, &Environment::default())?;
            durations.push(started.elapsed());
            if !report.holds() {
                return Err(report.failures().join("\n").into());
            }
            cases = report.verdicts.iter().map(|v| v.case_count).sum();
        }
        durations.sort();
        let ms = |duration: Duration| duration.as_secs_f64() * 1e3;
        let [min, median, max] = [durations[0], durations[RUNS / 2], durations[RUNS - 1]].map(ms);
        writeln!(
            out,
            "{route_count:6}  {expectation_count:12}  {cases:8}  {:7.1}  {min:.1}, {median:.1}, {max:.1}",
            ms(parse_time)
        )?;
    }
    Ok(())
}
